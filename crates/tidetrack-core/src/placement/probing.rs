//! Whether endpoints are asked for their load before an attempt is sent.
//!
//! Reports arrive with responses, so a host of a large fleet knows most endpoints by reports that
//! are seconds old, while queues and speeds change several times a second. A wrong choice costs a
//! long attempt, and everything beside it, a large part of an objective. A probe takes a round trip
//! and has a price, so only long attempts are worth one, and only two candidates are asked: the
//! better of two removes most of the bad choices, and further ones add little.

use crate::units::Millis;

use super::separation::AttemptLength;
use super::EndpointState;

/// Age up to which a report is as good as a probe. Speeds change several times a second.
const FRESH_REPORT_AGE: Millis = Millis(100);

/// Fraction of the objective that the answers to probes are waited for.
const MAX_WAIT_FRACTION: f64 = 0.02;

/// Longest time in milliseconds that the answers to probes are waited for.
const MAX_WAIT_MS: f64 = 40.0;

/// Reports whether an endpoint gets nothing beyond its share, because it falls over from refusing
/// requests, is cold or has named a limit.
pub fn is_restricted(state: &EndpointState) -> bool {
    state.guard().is_active() || state.is_limited()
}

/// Reports whether an endpoint is probed before an attempt of this length is sent to it.
pub fn needs_probe(now: Millis, length: AttemptLength, state: &EndpointState) -> bool {
    let is_report_old = now >= state.reported_at() + FRESH_REPORT_AGE;
    length == AttemptLength::Long && is_report_old && !is_restricted(state)
}

/// Returns how long the answers to probes are waited for before a request with this objective is
/// sent anyway.
pub fn max_probe_wait(objective: Millis) -> Millis {
    Millis((objective.0 as f64 * MAX_WAIT_FRACTION).min(MAX_WAIT_MS) as u64)
}
