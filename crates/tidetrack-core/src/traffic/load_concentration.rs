//! Shows how a new version does where an endpoint has much to do.
//!
//! A sample spread over as many endpoints as the proven versions have leaves each of them idle, and a version
//! whose answers fail under load is good there. So once the sample has grown (`exposure`), a fleet that is large
//! enough sends it to a few endpoints at a time, the same ones at every host, so that each has several times as
//! much to do as a proven one in the mean, which is what the busiest of these have. After a while others take
//! their turn: an endpoint may fail for reasons of its own.
//!
//! What is compared there is whether answers fail. Times are not: no proven endpoint is as busy with prompts that
//! it has not read before, and of what the others do there one of many hosts knows little. A part of the sample
//! goes on to all endpoints, so that a version that turns slow later is told from the proven ones at rest.

use crate::traffic::canary::{CanaryView, Phase};
use crate::units::Millis;

/// How many times as much as a proven endpoint in the mean an endpoint gets at least: about what the busiest of
/// many have.
const TARGET_LOAD_RATIO: f64 = 2.5;

/// Below this multiple an endpoint that had the whole sample would be no busier than many proven ones.
const MIN_LOAD_RATIO: f64 = 2.0;

/// How long an endpoint has its turn: several runs, for it reads each prompt's shared part anew at first, and
/// requests have to come together.
const WINDOW: Millis = Millis(4_500);

/// Endpoints that have the sample now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConcentrationWindow {
    /// Which turn it is.
    pub index: u64,
    /// How many endpoints have it.
    pub endpoints: usize,
}

/// Gets the turn at an instant, if the sample of a roll-out beside so many proven endpoints is given to few.
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
    let index = (now - canary.sample_grows_at).0 / WINDOW.0;
    let endpoints = ((load_ratio / TARGET_LOAD_RATIO) as usize).max(1);
    Some(ConcentrationWindow { index, endpoints })
}
