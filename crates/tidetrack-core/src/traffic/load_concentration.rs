//! Concentrates the sample of a canary version on few endpoints, to test the version under load.
//!
//! A sample that is spread over as many endpoints as the stable versions have leaves each of them
//! nearly idle, and a version that fails under load would look good. Once the sample has grown (see
//! `exposure`), a large enough fleet therefore sends it to a few endpoints at a time, the same ones
//! on every host. Each of them gets several times the mean load of a stable endpoint, about as much
//! as the busiest of these. After a while other endpoints take over, because an endpoint may fail
//! for its own reasons.
//!
//! Only failures are compared under concentrated load. Times are not: no stable endpoint has as
//! much work with prompts that are not in its cache, and a single host knows little of the load
//! that other hosts put on these endpoints. A part of the sample still goes to all endpoints, so
//! that a version that becomes slow later can be compared with the stable versions at low load.

use crate::traffic::canary::{CanaryView, Phase};
use crate::units::Millis;

/// Minimum load of an endpoint under concentrated load, as a multiple of the mean load of a stable
/// endpoint. The busiest of many stable endpoints have about as much.
const TARGET_LOAD_RATIO: f64 = 2.5;

/// Minimum multiple that one endpoint must reach with the whole sample. Below it, the endpoint
/// would not be busier than many stable ones.
const MIN_LOAD_RATIO: f64 = 2.0;

/// Time for which an endpoint takes the concentrated load. It lasts for several attempts, because
/// the endpoint first has to read the shared part of each prompt, and requests must accumulate.
const CONCENTRATION_WINDOW_LENGTH: Millis = Millis(4_500);

/// Endpoints that take the concentrated load during one time window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcentrationWindow {
    /// Index of the window, counted from 0 when the sample grows.
    pub index: u64,
    /// Number of endpoints that take the load.
    pub endpoints: usize,
}

/// Returns the concentration window at the given time, or `None` if the sample is not concentrated
/// then. `stable_endpoints` is the number of endpoints of the stable versions.
pub fn concentration_window_at(
    canary: &CanaryView,
    now: Millis,
    stable_endpoints: usize,
) -> Option<ConcentrationWindow> {
    let load_ratio = (canary.grown_sample - canary.unconcentrated_sample) * stable_endpoints as f64;
    if canary.phase_at(now) != Phase::Sample
        || now < canary.sample_grows_at
        || load_ratio < MIN_LOAD_RATIO
    {
        return None;
    }
    let index = (now - canary.sample_grows_at).0 / CONCENTRATION_WINDOW_LENGTH.0;
    let endpoints = ((load_ratio / TARGET_LOAD_RATIO) as usize).max(1);
    Some(ConcentrationWindow { index, endpoints })
}
