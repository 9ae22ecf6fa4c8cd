//! Decides when a starting host reads the store, and when it waits for other hosts to read it.
//!
//! If a whole fleet starts at once, every host needs the same data from the store. Well-connected
//! hosts, which can pass copies on to many others, therefore read the store at once, as do the
//! seeds, which the other hosts contact first. The rest wait for a while, discover these hosts and
//! receive their state from them. No host depends on that: one that has received nothing reads the
//! store itself, at a random time, so that the first few of these can serve the others.
//!
//! If a whole failure domain starts, callers reach such hosts meanwhile. Their requests can be
//! served within a moment, so each is held for a part of the time until its deadline rather than
//! sent on to another host that has no configuration either. This covers only the load in the first
//! second after a whole fleet was killed: a host that has received no configuration by then rejects
//! requests at once.

use crate::units::{Bandwidth, Millis};

/// Link bandwidth from which a host is well-connected. Such a link sends a dozen copies of a
/// configuration of some hundred KB in a third of a second.
const WELL_CONNECTED_BANDWIDTH: Bandwidth = Bandwidth(100.0);

/// Minimum time that a host waits for others to read the store. By then they have read it, and this
/// host has discovered some of them.
const MIN_STORE_READ_DELAY: Millis = Millis(400);

/// Time, in milliseconds, over which hosts that received nothing spread their reads of the store.
const STORE_READ_STAGGER_MS: f64 = 1_000.0;

/// Time after the start in which the hosts of a large fleet discover each other.
pub const DISCOVERY_TIME: Millis = Millis(1_500);

/// Interval between first messages to other hosts during discovery.
pub const DISCOVERY_ROUND_INTERVAL: Millis = Millis(100);

/// Time after the start in which a host normally receives the configuration that it needs to serve
/// requests.
const MAX_BOOTSTRAP_TIME: Millis = Millis(1_000);

/// A request is held for at most the time until its deadline divided by this. Callers' deadlines
/// are about ten times their target latency.
const HOLD_DIVISOR: u64 = 16;

/// Maximum time that a request is held.
const MAX_HOLD_TIME: Millis = Millis(500);

/// Returns how long a host that cannot serve yet may hold a request. Returns zero if the request
/// has no deadline.
pub fn hold_time(time_since_start: Millis, time_to_deadline: Option<Millis>) -> Millis {
    let deadline_share = Millis(time_to_deadline.unwrap_or_default().0 / HOLD_DIVISOR);
    (MAX_BOOTSTRAP_TIME - time_since_start).min(deadline_share).min(MAX_HOLD_TIME)
}

/// What a host knows about itself when it starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BootstrapInfo {
    /// The bandwidth of the host's link.
    pub link: Bandwidth,
    /// Whether the host is a seed, which the other hosts contact first, or has no seeds to contact.
    pub is_seed: bool,
    /// A random number in [0, 1) that spreads the hosts' reads of the store.
    pub random_fraction: f64,
}

impl BootstrapInfo {
    /// Returns how long the host waits for others before it reads the store.
    pub fn store_read_delay(&self) -> Millis {
        match self.is_seed || is_well_connected(self.link) {
            true => Millis(0),
            false => {
                MIN_STORE_READ_DELAY + Millis((self.random_fraction * STORE_READ_STAGGER_MS) as u64)
            }
        }
    }
}

/// Reports whether a host with this link bandwidth is well-connected. Such hosts are preferred for
/// reading the store, watching it and proving the configuration for others.
pub fn is_well_connected(link: Bandwidth) -> bool {
    link >= WELL_CONNECTED_BANDWIDTH
}
