//! Proof that this host's configuration was recently the newest.
//!
//! A key can be revoked at any time, even while this host is disconnected. A host therefore serves
//! keyed requests only while it holds a recent proof: a read of the configuration that the store
//! answered with its newest state. The age of a proof is measured from the start of the read on the
//! monotonic clock, so that neither a slow reply nor a pause of the process makes an old proof look
//! recent.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::units::Millis;

/// Fraction of the revocation bound up to which a proof may be used. The rest covers a watch that
/// has received nothing for a second, and the transmission of the request to the endpoint.
const USABLE_FRACTION: f64 = 0.7;

/// The most recent proof, shared by the threads of a host.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Start of the read, in milliseconds, plus one; 0 if there is no proof.
    read_began_plus_one: AtomicU64,
}

impl Freshness {
    /// Records a read that began at `began` and returned the newest state.
    pub fn record_proof(&self, began: Millis) {
        self.read_began_plus_one.fetch_max(began.0 + 1, Ordering::AcqRel);
    }

    /// Returns the age of the most recent proof; `None` if there is none.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        match self.read_began_plus_one.load(Ordering::Acquire) {
            0 => None,
            began => Some(Millis(now.0.saturating_sub(began - 1))),
        }
    }

    /// Reports whether the proof is recent enough to pass on keyed requests, given the time within
    /// which a revoked key has to be rejected.
    pub fn permits_keyed_requests(&self, now: Millis, revocation_bound: Millis) -> bool {
        let max_age_ms = (revocation_bound.0 as f64 * USABLE_FRACTION) as u64;
        self.age(now).is_some_and(|age| age.0 <= max_age_ms)
    }
}
