//! Staggered start of hosts that would otherwise all query the store at once.
//!
//! What one host learns from the store, the others receive within a second. The first host
//! therefore queries at once, and the number of hosts that have queried then grows exponentially
//! until all have. No host depends on the first ones, which may be unable to reach the store. This
//! limits the load on the store after the hosts that read it for the whole fleet have failed.

use crate::units::Millis;

/// Time within which all hosts have been able to query the store.
const STAGGER_WINDOW: Millis = Millis(900);

/// Returns the delay before a host queries the store, for a uniform hash value in [0, 1) and the
/// number of hosts in the fleet.
pub fn stagger_delay(hash_fraction: f64, hosts: usize) -> Millis {
    if hosts < 2 {
        return Millis(0);
    }
    let hosts = hosts as f64;
    let position = 1.0 + hash_fraction.max(1.0 / hosts).ln() / hosts.ln();
    Millis((STAGGER_WINDOW.0 as f64 * position) as u64)
}
