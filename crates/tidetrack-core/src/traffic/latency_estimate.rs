//! What this host expects of a run that it has not begun: how long it waits, and whether its answer
//! comes in time.
//!
//! Hosts tell each other the work they have at endpoints, so the work ahead of a run is known when
//! its endpoint is picked. What a host learns by itself is the pace: the time in which an endpoint
//! does a token of work, read from its answers' heads.

use std::collections::HashMap;

use crate::ids::ServiceId;
use crate::units::Millis;

/// Part of the older answers' weight that is left after a newer one: about the last fifty count.
const DECAY_FACTOR: f64 = 0.98;

/// Pace assumed before the first answers, in microseconds for one token of work, and the work for which
/// it counts.
const ASSUMED_PACE_US: f64 = 700.0;
const ASSUMED_WORK: f64 = 1_000.0;

/// An answer that is expected this early, as part of the objective, comes in time for sure. What is
/// expected is often too late, for endpoints read prompts piecewise, and a large request that is not
/// asked again keeps a poor answer.
const SURELY_IN_TIME: f64 = 1.0;

/// An answer that is expected this late, as part of the objective, surely does not.
const SURELY_LATE: f64 = 2.0;

/// Fading sums of what the answers of one service took.
#[derive(Clone, Copy, Debug)]
struct ServicePace {
    work: f64,
    us: f64,
}

impl Default for ServicePace {
    fn default() -> Self {
        ServicePace { work: ASSUMED_WORK, us: ASSUMED_WORK * ASSUMED_PACE_US }
    }
}

/// A run that may be begun at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlannedAttempt {
    /// Work that the endpoint has before it, in answer tokens.
    pub work_ahead: f64,
    /// The run's own.
    pub own_work: f64,
    /// Time since the request came.
    pub elapsed: Millis,
    /// Time within which its answer earns its full credit.
    pub objective: Millis,
}

/// What is expected of a planned run, in parts of the objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyEstimate {
    /// How long others' work goes before it.
    pub wait: f64,
    /// When its answer begins, counted from the request's coming.
    pub response_start: f64,
}

impl LatencyEstimate {
    /// Gets the chance that the answer comes in time.
    pub fn in_time_probability(&self) -> f64 {
        let lateness = (self.response_start - SURELY_IN_TIME) / (SURELY_LATE - SURELY_IN_TIME);
        1.0 - lateness.clamp(0.0, 1.0)
    }
}

/// What one host has learnt of its services.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimator {
    paces: HashMap<ServiceId, ServicePace>,
}

impl LatencyEstimator {
    /// Takes note of how long an answer took to begin, behind and with so much work.
    pub fn record_response_start(&mut self, service: &ServiceId, work: f64, us: f64) {
        let pace = self.paces.entry(service.clone()).or_default();
        pace.work = pace.work * DECAY_FACTOR + work;
        pace.us = pace.us * DECAY_FACTOR + us;
    }

    /// Gets the microseconds that a token of work takes.
    pub fn pace_us(&self, service: &ServiceId) -> f64 {
        let pace = self.paces.get(service).copied().unwrap_or_default();
        pace.us / pace.work.max(1.0)
    }

    /// Tells what is expected of a planned run.
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
