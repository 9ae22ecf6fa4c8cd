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
use crate::traffic::judge::Observed;

/// Weight of the newest value in a running mean.
const MEAN_WEIGHT: f64 = 0.05;

/// Answers of the proven versions before their mean says anything.
const LEAST_SEEN: u32 = 8;

/// An answer is slow past this multiple of the proven versions' mean.
const SLOW_TIMES: f64 = 3.5;

/// Slack of a slow answer over the proven versions' mean, for small means, in milliseconds.
const SLOW_SLACK_MS: f64 = 40.0;

/// A plain call is late past this multiple of the proven versions' mean. The share of late ones is weighed beside
/// theirs, so it need not be rare: a version that takes several times as long is late in nearly all of its calls.
const LATE_TIMES: f64 = 2.0;

/// The same for a call that is far late: hardly any of the proven versions' is, so few of them tell.
const FAR_LATE_TIMES: f64 = 4.0;

/// Slack of a late call over the proven versions' mean, in milliseconds: calls of a sample come on connections
/// that are new or have rested, some milliseconds later.
const LATE_SLACK_MS: f64 = 15.0;

/// Slack of a pace over the usual one, in milliseconds, for small paces.
const PACE_SLACK_MS: f64 = 1.0;

/// Work, in answer tokens, that the first step of the load ends at; each further step ends at about twice. It is the
/// work that hosts know of when the pace is told: what an endpoint told with the head of its answer is older.
const LOAD_STEP: f64 = 50.0;

/// Steps of the load.
const LOAD_STEPS: u8 = 10;

/// Answers that a mean counts as at most where it is put together with others: later ones fade earlier ones out.
const MOST_WEIGHT: u32 = 40;

/// Means that one message tells of a service at most, about 10 bytes each.
const MOST_TOLD: usize = 64;

/// A running mean.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    seen: u32,
}

/// What a mean is of, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MeanOf {
    /// Milliseconds to the head of an answer to a kind of request.
    Head(u32),
    /// Milliseconds between the events of an answer to a kind of request.
    Gap(u32),
    /// Logarithm of the pace at a step of the load.
    Pace(u8),
}

/// A mean, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToldMean {
    /// What it is of.
    pub of: MeanOf,
    /// The mean.
    pub value: f32,
    /// Answers that it counts as.
    pub seen: u8,
}

/// What is usual on a service's proven versions, as one host saw it.
pub type ToldUsual = Vec<ToldMean>;

impl Mean {
    fn add(&mut self, value: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.seen));
        self.value += (value - self.value) * weight;
    }

    /// Puts two means of the same together.
    fn plus(self, other: Mean) -> Mean {
        let seen = self.seen + other.seen;
        let part = f64::from(other.seen) / f64::from(seen.max(1));
        Mean { value: self.value + (other.value - self.value) * part, seen }
    }

    /// Gets it as it counts beside others.
    fn weighed(self) -> Mean {
        Mean { seen: self.seen.min(MOST_WEIGHT), ..self }
    }

    fn known(&self) -> Option<f64> {
        (self.seen >= LEAST_SEEN).then_some(self.value)
    }
}

/// Names a kind of request: a route and a model.
fn kind_of(route: &RouteId, model: Option<&ModelId>) -> u32 {
    let model = model.map_or(0, |m| xxh3_64(m.as_str().as_bytes()));
    xxh3_64_with_seed(route.as_str().as_bytes(), model) as u32
}

/// How an answer compares with what is usual.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Measured {
    /// Whether it was a failure of the endpoint's.
    pub failed: bool,
    /// Whether it was several times as slow as is usual.
    pub slow: bool,
    /// Whether it was a plain call that took clearly longer than is usual.
    pub late: bool,
    /// Whether it was a plain call that took several times as long as is usual.
    pub far_late: bool,
    /// Whether it was above the usual pace; `None` if it has no pace, or none is known.
    pub above: Option<bool>,
}

/// What is usual on the proven versions of a service.
#[derive(Clone, Debug, Default)]
pub struct Usual {
    own: BTreeMap<MeanOf, Mean>,
    /// What other hosts told, put together.
    others: BTreeMap<MeanOf, Mean>,
}

impl Usual {
    /// Compares an answer with what is usual so far.
    pub fn measure(&self, seen: &Observed) -> Measured {
        let failed = seen.failed();
        let slow = !failed && self.is_slow(seen);
        let is_call = !failed && !seen.is_stream;
        let late = is_call && self.is_late(seen, LATE_TIMES);
        let far_late = is_call && self.is_late(seen, FAR_LATE_TIMES);
        Measured { failed, slow, late, far_late, above: self.is_above(seen) }
    }

    /// Learns from an answer of a proven version.
    pub fn learn(&mut self, seen: &Observed) {
        if seen.failed() {
            return;
        }
        let kind = kind_of(&seen.route, seen.model.as_ref());
        let pace = pace_of(seen).map(f64::ln);
        let values = [
            (MeanOf::Head(kind), seen.head_ms),
            (MeanOf::Gap(kind), seen.gap_ms),
            (MeanOf::Pace(step_of(seen.load)), pace),
        ];
        for (of, value) in values {
            if let Some(value) = value {
                self.own.entry(of).or_default().add(value);
            }
        }
    }

    /// Gets what this host saw, for others.
    pub fn told(&self) -> ToldUsual {
        let told = self.own.iter().map(|(of, mean)| ToldMean {
            of: *of,
            value: mean.value as f32,
            seen: mean.weighed().seen as u8,
        });
        told.take(MOST_TOLD).collect()
    }

    /// Takes what all other hosts told last.
    pub fn hear<'a>(&mut self, told: impl Iterator<Item = &'a ToldUsual>) {
        self.others.clear();
        for told in told.flatten().filter(|told| told.value.is_finite()) {
            let mean = Mean { value: f64::from(told.value), seen: u32::from(told.seen) };
            let sum = self.others.entry(told.of).or_default();
            *sum = sum.plus(mean);
        }
    }

    /// Gets a mean of all hosts.
    fn mean(&self, of: MeanOf) -> Option<f64> {
        let get = |means: &BTreeMap<MeanOf, Mean>| means.get(&of).copied().unwrap_or_default();
        get(&self.own).weighed().plus(get(&self.others)).known()
    }

    fn is_over(&self, of: MeanOf, ms: Option<f64>, times: f64, slack_ms: f64) -> bool {
        let usual = ms.zip(self.mean(of));
        usual.is_some_and(|(ms, usual)| ms > usual * times + slack_ms)
    }

    fn is_slow(&self, seen: &Observed) -> bool {
        let kind = kind_of(&seen.route, seen.model.as_ref());
        let is_slow = |of, ms| self.is_over(of, ms, SLOW_TIMES, SLOW_SLACK_MS);
        is_slow(MeanOf::Head(kind), seen.head_ms) || is_slow(MeanOf::Gap(kind), seen.gap_ms)
    }

    fn is_late(&self, seen: &Observed, times: f64) -> bool {
        let kind = kind_of(&seen.route, seen.model.as_ref());
        self.is_over(MeanOf::Head(kind), seen.head_ms, times, LATE_SLACK_MS)
    }

    fn is_above(&self, seen: &Observed) -> Option<bool> {
        let ms = pace_of(seen)?;
        let usual = self.usual_pace(step_of(seen.load))?;
        Some(ms > usual.exp() + PACE_SLACK_MS)
    }

    /// Gets the usual pace at a step of the load, or else at the next one that is known: rather a higher
    /// step, at which slowness counts less.
    fn usual_pace(&self, step: u8) -> Option<f64> {
        let at = |step| self.mean(MeanOf::Pace(step));
        (step..LOAD_STEPS).chain((0..step).rev()).find_map(at)
    }
}

/// Gets the time between the events of a stream, in milliseconds.
fn pace_of(seen: &Observed) -> Option<f64> {
    seen.gap_ms.filter(|ms| seen.is_stream && !seen.failed() && *ms > 0.0)
}

fn step_of(load: f64) -> u8 {
    let step = (1.0 + load.max(0.0) / LOAD_STEP).log2();
    (step as u8).min(LOAD_STEPS - 1)
}
