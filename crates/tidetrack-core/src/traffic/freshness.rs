//! Proof that this host's configuration was the newest not long ago.
//!
//! A key may be taken away at any time, also while this host is cut off. So a host serves keyed
//! requests only while it holds a young proof: a read of the configuration that the store answered
//! as its newest state. The age counts from the moment the read began, on the steady clock, so
//! neither a slow reply nor a pause of the process can make an old proof look young.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::units::Millis;

/// Part of the revocation bound after which a proof is too old: what is left covers a watch that
/// heard nothing for a second, and the way to the endpoint.
const USABLE_FRACTION: f64 = 0.7;

/// The youngest proof, shared by the threads of a host.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Start of the proving read plus one; 0 if there is none.
    read_began_plus_one: AtomicU64,
}

impl Freshness {
    /// Takes note of a read that began at `began` and was answered with the newest state.
    pub fn record_proof(&self, began: Millis) {
        self.read_began_plus_one.fetch_max(began.0 + 1, Ordering::AcqRel);
    }

    /// Gets the age of the youngest proof.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        match self.read_began_plus_one.load(Ordering::Acquire) {
            0 => None,
            began => Some(Millis(now.0.saturating_sub(began - 1))),
        }
    }

    /// Tells whether keyed requests may be passed on, given the bound on revocation.
    pub fn permits_keyed_requests(&self, now: Millis, revocation_bound: Millis) -> bool {
        let max_age_ms = (revocation_bound.0 as f64 * USABLE_FRACTION) as u64;
        self.age(now).is_some_and(|age| age.0 <= max_age_ms)
    }
}
