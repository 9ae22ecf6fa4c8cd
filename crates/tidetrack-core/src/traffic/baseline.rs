//! Baseline of a service: response times and stream paces of its stable versions.
//!
//! The endpoints of a canary version have little to do while they get only a sample, and an engine
//! is faster the less load it has. A version that takes twice as long may therefore look as fast at
//! low load as the stable version at its normal load, so paces are compared at equal load. An
//! engine produces the events of all running streams together; their pace depends on the load and
//! hardly on the request. A plain call has no pace. Its baseline depends on the route and on
//! whether its connection is new, and if one endpoint in four is slow, a quarter of the calls are
//! slow.
//!
//! A single host sees few responses of a route, and as long as it has no baseline it would count
//! every response of the canary version as good. Hosts therefore report their baselines to each
//! other during a roll-out, and each host compares with the combined values.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{ModelId, RouteId};
use crate::traffic::judge::ObservedResponse;
use crate::traffic::samples::time_step;

/// Minimum weight of the newest value in a running mean.
const MEAN_WEIGHT: f64 = 0.05;

/// Minimum number of responses of the stable versions for their mean to be used.
const MIN_RESPONSES: u32 = 8;

/// Ratio to the mean of the stable versions above which a response is slow.
const SLOW_RATIO: f64 = 3.5;

/// Slack in milliseconds that is added to the limit of a slow response, for small means.
const SLOW_SLACK_MS: f64 = 40.0;

/// Ratio to the mean of the stable versions above which a plain call is late. The share of late
/// calls is compared with that of the stable versions, so late calls need not be rare there: a
/// version that takes several times as long is late in nearly all of its calls.
const LATE_RATIO: f64 = 2.0;

/// Like [`LATE_RATIO`], for a call that is far too late. Hardly any call to a stable version is, so
/// a few of them are significant.
const FAR_LATE_RATIO: f64 = 4.0;

/// Slack in milliseconds that is added to the limit of a late call. Calls of a sample use new or
/// idle connections and take some milliseconds longer.
const LATE_SLACK_MS: f64 = 15.0;

/// Slack in milliseconds over the baseline pace, for small values.
const PACE_SLACK_MS: f64 = 1.0;

/// Upper end of the first load step, in response tokens of work; each further step ends at about
/// twice the previous one. The load is the work that the hosts know of when the pace is reported,
/// because the load that the endpoint sent with the head of its response is older.
const FIRST_LOAD_STEP: f64 = 50.0;

/// Number of load steps.
const LOAD_STEPS: u8 = 10;

/// Maximum number of responses for which a mean counts when it is combined with others. Means are
/// running averages in which newer responses displace older ones.
const MAX_WEIGHT: u32 = 40;

/// Maximum number of means of a service in one message, about 10 bytes each.
const MAX_MEANS_PER_MESSAGE: usize = 64;

/// Running mean and the number of responses behind it.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    value: f64,
    responses: u32,
}

/// Quantity that a mean describes, as sent between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MeanKind {
    /// Milliseconds to the head of the response, by request kind.
    Head(u32),
    /// Milliseconds between the events of a stream, by request kind.
    Gap(u32),
    /// Logarithm of the pace in milliseconds per event, by load step.
    Pace(u8),
}

/// Mean of one quantity, as sent between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeanReport {
    /// Quantity that the mean describes.
    pub kind: MeanKind,
    /// Value of the mean.
    pub value: f32,
    /// Number of responses that the mean counts for, capped at `MAX_WEIGHT`.
    pub responses: u8,
}

/// Baseline of a service as one host observed it.
pub type BaselineReport = Vec<MeanReport>;

impl RunningMean {
    fn add(&mut self, value: f64) {
        self.responses = self.responses.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.responses));
        self.value += (value - self.value) * weight;
    }

    /// Combines two means of the same quantity, weighted by their responses.
    fn merge(self, other: RunningMean) -> RunningMean {
        let responses = self.responses + other.responses;
        let weight = f64::from(other.responses) / f64::from(responses.max(1));
        RunningMean { value: self.value + (other.value - self.value) * weight, responses }
    }

    /// Limits the weight of the mean for a combination with others.
    fn capped(self) -> RunningMean {
        RunningMean { responses: self.responses.min(MAX_WEIGHT), ..self }
    }

    fn reliable_value(&self) -> Option<f64> {
        (self.responses >= MIN_RESPONSES).then_some(self.value)
    }
}

/// Returns a hash that identifies a kind of request: its route and model.
fn request_kind_hash(route: &RouteId, model: Option<&ModelId>) -> u32 {
    let model = model.map_or(0, |m| xxh3_64(m.as_str().as_bytes()));
    xxh3_64_with_seed(route.as_str().as_bytes(), model) as u32
}

/// Result of comparing a response with the baseline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseComparison {
    /// Whether the endpoint failed.
    pub is_failed: bool,
    /// Whether the response was several times as slow as the baseline.
    pub is_slow: bool,
    /// Whether this was a plain call that took clearly longer than the baseline.
    pub is_late: bool,
    /// Whether this was a plain call that took several times as long as the baseline.
    pub is_far_late: bool,
    /// Whether the pace was above the baseline; `None` if the response has no pace or there is no
    /// baseline for it.
    pub is_above_pace: Option<bool>,
    /// Step of the response time of a successful plain call; `None` for other responses.
    pub time_step: Option<u8>,
}

/// Baseline of the stable versions of a service.
#[derive(Clone, Debug, Default)]
pub struct Baseline {
    local: BTreeMap<MeanKind, RunningMean>,
    /// Combined means that other hosts reported.
    remote: BTreeMap<MeanKind, RunningMean>,
}

impl Baseline {
    /// Compares a response with the present baseline.
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
            time_step: response.head_ms.filter(|_| is_successful_call).map(time_step),
        }
    }

    /// Updates the baseline with a response of a stable version. Failures are ignored.
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

    /// Returns the means observed on this host, for other hosts.
    pub fn report(&self) -> BaselineReport {
        let reports = self.local.iter().map(|(kind, mean)| MeanReport {
            kind: *kind,
            value: mean.value as f32,
            responses: mean.capped().responses as u8,
        });
        reports.take(MAX_MEANS_PER_MESSAGE).collect()
    }

    /// Replaces the means of other hosts by their latest reports.
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

    /// Returns the mean over all hosts, or `None` if it is based on too few responses.
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

    /// Returns the logarithm of the baseline pace at a load step. If the step has no baseline, the
    /// nearest higher step is used, or else the nearest lower one: against the pace at a higher
    /// load, a response is less likely to look slow.
    fn pace_at(&self, step: u8) -> Option<f64> {
        let at = |step| self.mean(MeanKind::Pace(step));
        (step..LOAD_STEPS).chain((0..step).rev()).find_map(at)
    }
}

/// Returns the mean time between the events of a successful stream in milliseconds.
fn event_pace_ms(response: &ObservedResponse) -> Option<f64> {
    response.gap_ms.filter(|ms| response.is_stream && !response.is_failure() && *ms > 0.0)
}

fn load_step(load: f64) -> u8 {
    let step = (1.0 + load.max(0.0) / FIRST_LOAD_STEP).log2();
    (step as u8).min(LOAD_STEPS - 1)
}
