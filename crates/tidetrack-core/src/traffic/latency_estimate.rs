//! Latency estimate for an attempt that has not begun: how long it waits, and whether its response
//! starts in time.
//!
//! Hosts report to each other the work they have at endpoints, so the work ahead of an attempt is
//! known when its endpoint is picked. Each host measures the pace itself, the time that an endpoint
//! takes per token of work, from the time to the heads of its responses.

use std::collections::HashMap;

use crate::ids::ServiceId;
use crate::units::Millis;

/// Factor by which the weight of older responses decays with each new one, so that about the last
/// 50 count.
const DECAY_FACTOR: f64 = 0.98;

/// Pace in microseconds per token of work that is assumed before the first responses, and the
/// amount of work that the assumption counts for.
const ASSUMED_PACE_US: f64 = 700.0;
const ASSUMED_WORK: f64 = 1_000.0;

/// Estimated start of the response, as a fraction of the objective, up to which it is certain to be
/// in time. Estimates are often too late, because endpoints read prompts in chunks. With a lower
/// value, large requests would get no second opinion and keep a poor response.
const SURELY_IN_TIME: f64 = 1.0;

/// Estimated start of the response, as a fraction of the objective, from which it is certain to be
/// late.
const SURELY_LATE: f64 = 2.0;

/// Sums of the work and of the duration of one service's responses, with exponential decay.
#[derive(Clone, Copy, Debug)]
struct ServicePace {
    work: f64,
    duration_us: f64,
}

impl Default for ServicePace {
    fn default() -> Self {
        ServicePace { work: ASSUMED_WORK, duration_us: ASSUMED_WORK * ASSUMED_PACE_US }
    }
}

/// Attempt that may be started at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlannedAttempt {
    /// Work queued at the endpoint, in response tokens.
    pub work_ahead: f64,
    /// Work of the attempt itself, in response tokens.
    pub own_work: f64,
    /// Time since the request arrived.
    pub elapsed: Millis,
    /// Time within which the response earns its full value.
    pub objective: Millis,
}

/// Latency estimate of a planned attempt, in fractions of the objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyEstimate {
    /// Time during which the attempt waits for other work.
    pub wait: f64,
    /// Start of the response, counted from the arrival of the request.
    pub response_start: f64,
}

impl LatencyEstimate {
    /// Returns the probability that the response starts in time.
    pub fn in_time_probability(&self) -> f64 {
        let lateness = (self.response_start - SURELY_IN_TIME) / (SURELY_LATE - SURELY_IN_TIME);
        1.0 - lateness.clamp(0.0, 1.0)
    }
}

/// Estimates latencies from the paces that one host has measured for its services.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimator {
    paces: HashMap<ServiceId, ServicePace>,
}

impl LatencyEstimator {
    /// Records the microseconds that a response took to start, and the work in tokens done until
    /// then, including the work queued ahead.
    pub fn record_response_start(&mut self, service: &ServiceId, work: f64, duration_us: f64) {
        let pace = self.paces.entry(service.clone()).or_default();
        pace.work = pace.work * DECAY_FACTOR + work;
        pace.duration_us = pace.duration_us * DECAY_FACTOR + duration_us;
    }

    /// Returns the microseconds that the service takes per token of work.
    pub fn pace_us(&self, service: &ServiceId) -> f64 {
        let pace = self.paces.get(service).copied().unwrap_or_default();
        pace.duration_us / pace.work.max(1.0)
    }

    /// Estimates the latency of a planned attempt.
    pub fn estimate(&self, service: &ServiceId, planned: PlannedAttempt) -> LatencyEstimate {
        let objective_us = (planned.objective.0.max(1) * 1_000) as f64;
        let pace = self.pace_us(service);
        let wait = planned.work_ahead * pace / objective_us;
        let elapsed = planned.elapsed.0 as f64 / planned.objective.0.max(1) as f64;
        LatencyEstimate {
            wait,
            response_start: elapsed + wait + planned.own_work * pace / objective_us,
        }
    }
}
