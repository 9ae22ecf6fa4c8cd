//! Expected response times by service and model.
//!
//! The time until a response starts is modelled as a fixed part plus the work of the attempt and
//! the work queued ahead of it, each times a pace. The three parts are learned from the responses
//! that this host receives, for each model by itself: the fixed part of a small request must not
//! be taken for the pace of a large one. The deviations of single responses from the model are
//! learned too, as the spread of the logarithm of their ratio, so that the probability of a start
//! within a given time is known. The time of a generation after its start is proportional to the
//! expected number of tokens.

use std::collections::HashMap;

use crate::ids::{ModelId, ServiceId};
use crate::units::Millis;

/// Fixed part in microseconds that is assumed before the first responses.
const ASSUMED_FIXED_US: f64 = 40_000.0;

/// Pace in microseconds per token of work that is assumed before the first responses.
const ASSUMED_PACE_US: f64 = 300.0;

/// Time in microseconds for one generated token that is assumed before the first responses.
const ASSUMED_TOKEN_US: f64 = 8_000.0;

/// Variance of the logarithm of a response time's deviation before the first responses.
const ASSUMED_VARIANCE: f64 = 0.25;

/// Smallest variance: even on an idle service, responses deviate from any model.
const MIN_VARIANCE: f64 = 0.04;

/// Weight of the newest response in the learned figures.
const LEARNING_RATE: f64 = 0.1;

/// Largest deviation, as a logarithm, that a single response may teach. A response that was held up
/// for seconds says little about the usual one.
const MAX_DEVIATION: f64 = 1.5;

/// Variance of the logarithm of a generation's length relative to its estimate.
const LENGTH_VARIANCE: f64 = 0.25;

/// Number of responses after which a model's times tell how fast an endpoint is. Before, they are
/// mostly the assumed ones, and a deviation from them says nothing about the endpoint.
const MIN_LEARNED_STARTS: u32 = 32;

/// Slope at which the logistic function approximates the normal distribution.
const LOGISTIC_SLOPE: f64 = 1.702;

/// Attempt of which the time to its start is estimated or was measured.
#[derive(Clone, Copy, Debug)]
pub struct AttemptWork {
    /// Work of the attempt itself until its response starts, in response tokens.
    pub own: f64,
    /// Work queued at the endpoint before it, in response tokens.
    pub ahead: f64,
    /// How long work takes at the endpoint, as a multiple of the usual time.
    pub slowdown: f64,
}

/// Estimated time until a response starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StartEstimate {
    /// Part of the time that the work ahead takes, in microseconds.
    pub wait_us: f64,
    /// Time in which the attempt itself occupies the endpoint, in microseconds.
    pub own_us: f64,
    /// Median time until the response starts, in microseconds.
    pub start_us: f64,
    /// Variance of the logarithm of the time.
    variance: f64,
    /// How long work takes at the endpoint, as a multiple of the usual time.
    slowdown: f64,
}

impl StartEstimate {
    /// Returns the probability that the response starts within a time.
    pub fn probability_within(&self, us: f64) -> f64 {
        log_normal_probability(us, self.start_us, self.variance)
    }
}

/// Figures learned for one model of a service.
#[derive(Clone, Copy, Debug)]
struct ModelTimes {
    fixed_us: f64,
    own_pace_us: f64,
    ahead_pace_us: f64,
    token_us: f64,
    variance: f64,
    /// Number of response starts that were learned.
    starts: u32,
}

impl Default for ModelTimes {
    fn default() -> Self {
        ModelTimes {
            fixed_us: ASSUMED_FIXED_US,
            own_pace_us: ASSUMED_PACE_US,
            ahead_pace_us: ASSUMED_PACE_US,
            token_us: ASSUMED_TOKEN_US,
            variance: ASSUMED_VARIANCE,
            starts: 0,
        }
    }
}

impl ModelTimes {
    fn estimate(&self, work: AttemptWork) -> StartEstimate {
        let wait_us = work.ahead * self.ahead_pace_us * work.slowdown;
        let own_us = work.own * self.own_pace_us * work.slowdown;
        let start_us = self.fixed_us * work.slowdown + own_us + wait_us;
        StartEstimate {
            wait_us,
            own_us,
            start_us,
            variance: self.variance,
            slowdown: work.slowdown,
        }
    }

    /// Moves each part towards the measured time, in proportion to its share of the estimate. All
    /// parts stay positive, and long responses do not outweigh short ones.
    fn learn_start(&mut self, work: AttemptWork, measured_us: f64) {
        let estimate = self.estimate(work);
        let deviation = (measured_us.max(1.0) / estimate.start_us).ln();
        let deviation = deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.variance += (deviation * deviation - self.variance) * LEARNING_RATE;
        self.variance = self.variance.max(MIN_VARIANCE);
        let step = |part_us: f64| (LEARNING_RATE * deviation * part_us / estimate.start_us).exp();
        self.fixed_us *= step(self.fixed_us * work.slowdown);
        self.own_pace_us *= step(estimate.own_us);
        self.ahead_pace_us *= step(estimate.wait_us);
        self.starts = self.starts.saturating_add(1);
    }

    fn learn_generation(&mut self, tokens: f64, measured_us: f64) {
        let expected_us = tokens * self.token_us;
        let deviation = (measured_us.max(1.0) / expected_us).ln();
        self.token_us *= (LEARNING_RATE * deviation.clamp(-MAX_DEVIATION, MAX_DEVIATION)).exp();
    }
}

/// Response times that one host has learned from its own responses.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    models: HashMap<ServiceId, HashMap<Option<ModelId>, ModelTimes>>,
}

impl ServiceTimes {
    /// Records how long a response took to start.
    pub fn record_start(
        &mut self,
        service: &ServiceId,
        model: Option<&ModelId>,
        work: AttemptWork,
        measured: std::time::Duration,
    ) {
        self.times_mut(service, model).learn_start(work, measured.as_secs_f64() * 1e6);
    }

    /// Records how long a complete generation took after its start, with the number of tokens that
    /// were expected of it.
    pub fn record_generation(
        &mut self,
        service: &ServiceId,
        model: Option<&ModelId>,
        expected_tokens: f64,
        measured: std::time::Duration,
    ) {
        if expected_tokens >= 1.0 {
            let times = self.times_mut(service, model);
            times.learn_generation(expected_tokens, measured.as_secs_f64() * 1e6);
        }
    }

    /// Estimates the time until the response of an attempt starts.
    pub fn estimate_start(
        &self,
        service: &ServiceId,
        model: Option<&ModelId>,
        work: AttemptWork,
    ) -> StartEstimate {
        self.times(service, model).estimate(work)
    }

    /// Returns the ratio of a measured time to the expected time of an attempt at a usual endpoint;
    /// `None` while too few responses of the model are known. `present_slowdown` is what the endpoint
    /// reported, which is not usual for it.
    pub fn relative_time(
        &self,
        service: &ServiceId,
        model: Option<&ModelId>,
        work: AttemptWork,
        present_slowdown: f64,
        measured: std::time::Duration,
    ) -> Option<f64> {
        let times = self.times(service, model);
        let expected = times.estimate(AttemptWork { slowdown: present_slowdown, ..work });
        let ratio = measured.as_secs_f64() * 1e6 / expected.start_us;
        (times.starts >= MIN_LEARNED_STARTS).then_some(ratio)
    }

    /// Returns the probability that a generation ends within a time from the sending of its
    /// attempt.
    pub fn completion_probability(
        &self,
        service: &ServiceId,
        model: Option<&ModelId>,
        start: StartEstimate,
        expected_tokens: f64,
        time: Millis,
    ) -> f64 {
        let token_us = self.times(service, model).token_us * start.slowdown;
        let generation_us = expected_tokens * token_us;
        let end_us = start.start_us + generation_us;
        log_normal_probability(time.0 as f64 * 1e3, end_us, start.variance.max(LENGTH_VARIANCE))
    }

    fn times(&self, service: &ServiceId, model: Option<&ModelId>) -> ModelTimes {
        let models = self.models.get(service);
        models.and_then(|m| m.get(&model.cloned())).copied().unwrap_or_default()
    }

    fn times_mut(&mut self, service: &ServiceId, model: Option<&ModelId>) -> &mut ModelTimes {
        self.models.entry(service.clone()).or_default().entry(model.cloned()).or_default()
    }
}

/// Returns the probability that a log-normal time with the given median and variance of its
/// logarithm is at most `time`.
fn log_normal_probability(time: f64, median: f64, variance: f64) -> f64 {
    if time <= 0.0 {
        return 0.0;
    }
    let distance = (time / median.max(1.0)).ln() / variance.sqrt();
    1.0 / (1.0 + (-LOGISTIC_SLOPE * distance).exp())
}
