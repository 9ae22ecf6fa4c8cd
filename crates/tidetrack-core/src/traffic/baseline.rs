//! What is usual on a service's proven versions.
//!
//! A new version's endpoints have little to do while they get a sample, and an engine is faster the less it
//! has to do: at rest a version that takes twice as long is no slower than the proven one at work. So paces
//! are compared at equal load. An engine makes the events of all that run together, so their pace depends on
//! the load and hardly on the request. A plain call has no pace: what is usual differs by its route and by
//! whether its connection is new, and of four endpoints a slow one makes a quarter of the calls.
//!
//! One of many hosts sees few answers of a route, and for as long as it knows nothing usual each answer of
//! the new version would pass for a good one. So hosts tell each other what is usual while a version is under
//! roll-out, and each compares with what all of them saw.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{ModelId, RouteId};
use crate::traffic::judge::ObservedResponse;

/// Weight of the newest value in a running mean.
const MEAN_WEIGHT: f64 = 0.05;

/// Answers of the proven versions before their mean says anything.
const MIN_RESPONSES: u32 = 8;

/// An answer is slow past this multiple of the proven versions' mean.
const SLOW_RATIO: f64 = 3.5;

/// Slack of a slow answer over the proven versions' mean, for small means, in milliseconds.
const SLOW_SLACK_MS: f64 = 40.0;

/// A plain call is late past this multiple of the proven versions' mean. The share of late ones is weighed beside
/// theirs, so it need not be rare: a version that takes several times as long is late in nearly all of its calls.
const LATE_RATIO: f64 = 2.0;

/// The same for a call that is far late: hardly any of the proven versions' is, so few of them tell.
const FAR_LATE_RATIO: f64 = 4.0;

/// Slack of a late call over the proven versions' mean, in milliseconds: calls of a sample come on connections
/// that are new or have rested, some milliseconds later.
const LATE_SLACK_MS: f64 = 15.0;

/// Slack of a pace over the usual one, in milliseconds, for small paces.
const PACE_SLACK_MS: f64 = 1.0;

/// Work, in answer tokens, that the first step of the load ends at; each further step ends at about twice. It is the
/// work that hosts know of when the pace is told: what an endpoint told with the head of its answer is older.
const FIRST_LOAD_STEP: f64 = 50.0;

/// Steps of the load.
const LOAD_STEPS: u8 = 10;

/// Answers that a mean counts as at most where it is put together with others: later ones fade earlier ones out.
const MAX_WEIGHT: u32 = 40;

/// Means that one message tells of a service at most, about 10 bytes each.
const MAX_MEANS_PER_MESSAGE: usize = 64;

/// A running mean.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    value: f64,
    responses: u32,
}

/// What a mean is of, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MeanKind {
    /// Milliseconds to the head of an answer to a kind of request.
    Head(u32),
    /// Milliseconds between the events of an answer to a kind of request.
    Gap(u32),
    /// Logarithm of the pace at a step of the load.
    Pace(u8),
}

/// A mean, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeanReport {
    /// What it is of.
    pub kind: MeanKind,
    /// The mean.
    pub value: f32,
    /// Answers that it counts as.
    pub responses: u8,
}

/// What is usual on a service's proven versions, as one host saw it.
pub type BaselineReport = Vec<MeanReport>;

impl RunningMean {
    fn add(&mut self, value: f64) {
        self.responses = self.responses.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.responses));
        self.value += (value - self.value) * weight;
    }

    /// Puts two means of the same together.
    fn merge(self, other: RunningMean) -> RunningMean {
        let responses = self.responses + other.responses;
        let weight = f64::from(other.responses) / f64::from(responses.max(1));
        RunningMean { value: self.value + (other.value - self.value) * weight, responses }
    }

    /// Gets it as it counts beside others.
    fn capped(self) -> RunningMean {
        RunningMean { responses: self.responses.min(MAX_WEIGHT), ..self }
    }

    fn reliable_value(&self) -> Option<f64> {
        (self.responses >= MIN_RESPONSES).then_some(self.value)
    }
}

/// Names a kind of request: a route and a model.
fn request_kind_hash(route: &RouteId, model: Option<&ModelId>) -> u32 {
    let model = model.map_or(0, |m| xxh3_64(m.as_str().as_bytes()));
    xxh3_64_with_seed(route.as_str().as_bytes(), model) as u32
}

/// How an answer compares with what is usual.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseComparison {
    /// Whether it was a failure of the endpoint's.
    pub is_failed: bool,
    /// Whether it was several times as slow as is usual.
    pub is_slow: bool,
    /// Whether it was a plain call that took clearly longer than is usual.
    pub is_late: bool,
    /// Whether it was a plain call that took several times as long as is usual.
    pub is_far_late: bool,
    /// Whether it was above the usual pace; `None` if it has no pace, or none is known.
    pub is_above_pace: Option<bool>,
}

/// What is usual on the proven versions of a service.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    local: BTreeMap<MeanKind, RunningMean>,
    /// What other hosts told, put together.
    remote: BTreeMap<MeanKind, RunningMean>,
}

impl Baseline {
    /// Compares an answer with what is usual so far.
    pub fn compare(&self, response: &ObservedResponse) -> ResponseComparison {
        let is_failed = response.is_failure();
        let is_slow = !is_failed && self.is_slow(response);
        let is_successful_call = !is_failed && !response.is_stream;
        let is_late = is_successful_call && self.is_late(response, LATE_RATIO);
        let is_far_late = is_successful_call && self.is_late(response, FAR_LATE_RATIO);
        ResponseComparison {
            is_failed,
            is_slow,
            is_late,
            is_far_late,
            is_above_pace: self.is_above_pace(response),
        }
    }

    /// Learns from an answer of a proven version.
    pub fn learn(&mut self, response: &ObservedResponse) {
        if response.is_failure() {
            return;
        }
        let request_kind = request_kind_hash(&response.route, response.model.as_ref());
        let pace = event_pace_ms(response).map(f64::ln);
        let values = [
            (MeanKind::Head(request_kind), response.head_ms),
            (MeanKind::Gap(request_kind), response.gap_ms),
            (MeanKind::Pace(load_step(response.load)), pace),
        ];
        for (kind, value) in values {
            if let Some(value) = value {
                self.local.entry(kind).or_default().add(value);
            }
        }
    }

    /// Gets what this host saw, for others.
    pub fn report(&self) -> BaselineReport {
        let reports = self.local.iter().map(|(kind, mean)| MeanReport {
            kind: *kind,
            value: mean.value as f32,
            responses: mean.capped().responses as u8,
        });
        reports.take(MAX_MEANS_PER_MESSAGE).collect()
    }

    /// Takes what all other hosts told last.
    pub fn set_remote_reports<'a>(&mut self, reports: impl Iterator<Item = &'a BaselineReport>) {
        self.remote.clear();
        for report in reports.flatten().filter(|report| report.value.is_finite()) {
            let mean = RunningMean {
                value: f64::from(report.value),
                responses: u32::from(report.responses),
            };
            let merged = self.remote.entry(report.kind).or_default();
            *merged = merged.merge(mean);
        }
    }

    /// Gets a mean of all hosts.
    fn mean(&self, kind: MeanKind) -> Option<f64> {
        let get =
            |means: &BTreeMap<MeanKind, RunningMean>| means.get(&kind).copied().unwrap_or_default();
        get(&self.local).capped().merge(get(&self.remote)).reliable_value()
    }

    fn exceeds_mean(&self, kind: MeanKind, ms: Option<f64>, ratio: f64, slack_ms: f64) -> bool {
        let ms_and_mean = ms.zip(self.mean(kind));
        ms_and_mean.is_some_and(|(ms, mean)| ms > mean * ratio + slack_ms)
    }

    fn is_slow(&self, response: &ObservedResponse) -> bool {
        let request_kind = request_kind_hash(&response.route, response.model.as_ref());
        let is_slow = |kind, ms| self.exceeds_mean(kind, ms, SLOW_RATIO, SLOW_SLACK_MS);
        is_slow(MeanKind::Head(request_kind), response.head_ms)
            || is_slow(MeanKind::Gap(request_kind), response.gap_ms)
    }

    fn is_late(&self, response: &ObservedResponse, ratio: f64) -> bool {
        let request_kind = request_kind_hash(&response.route, response.model.as_ref());
        self.exceeds_mean(MeanKind::Head(request_kind), response.head_ms, ratio, LATE_SLACK_MS)
    }

    fn is_above_pace(&self, response: &ObservedResponse) -> Option<bool> {
        let ms = event_pace_ms(response)?;
        let log_pace = self.pace_at(load_step(response.load))?;
        Some(ms > log_pace.exp() + PACE_SLACK_MS)
    }

    /// Gets the usual pace at a step of the load, or else at the next one that is known: rather a higher
    /// step, at which slowness counts less.
    fn pace_at(&self, step: u8) -> Option<f64> {
        let at = |step| self.mean(MeanKind::Pace(step));
        (step..LOAD_STEPS).chain((0..step).rev()).find_map(at)
    }
}

/// Gets the time between the events of a stream, in milliseconds.
fn event_pace_ms(response: &ObservedResponse) -> Option<f64> {
    response.gap_ms.filter(|ms| response.is_stream && !response.is_failure() && *ms > 0.0)
}

fn load_step(load: f64) -> u8 {
    let step = (1.0 + load.max(0.0) / FIRST_LOAD_STEP).log2();
    (step as u8).min(LOAD_STEPS - 1)
}
