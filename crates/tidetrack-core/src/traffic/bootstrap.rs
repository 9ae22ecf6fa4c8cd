//! Who reads the store when hosts start, and who leaves that to others.
//!
//! A fleet may start as a whole, and then every host asks the store the same. So hosts whose links can pass
//! copies on to many others read it at once, and those that the others know from the start; the rest wait for
//! a while, meet these, and are given what they hold. Nobody depends on that: a host that was given nothing
//! reads the store after all, at a time of its own, so that a few which do so first serve the others.
//!
//! Callers reach such hosts meanwhile, where a whole failure domain starts. What they ask for can be served in a
//! moment, so it is held for a part of the time that they leave, instead of being sent to the next host that
//! knows as little. This answers the load of the second after a whole fleet was killed, and no other: a host
//! that has not come to know anything in its first second refuses at once.

use crate::units::{Bandwidth, Millis};

/// A link that passes a dozen copies of a configuration of some hundred KB in a third of a second.
const WELL_CONNECTED_BANDWIDTH: Bandwidth = Bandwidth(100.0);

/// How long a host at least leaves the store to others: they have read it by then, and it has met some of them.
const MIN_STORE_READ_DELAY: Millis = Millis(400);

/// Time in which hosts that were given nothing read the store, in milliseconds.
const STORE_READ_STAGGER_MS: f64 = 1_000.0;

/// Time from the start in which hosts of a large fleet have met.
pub const DISCOVERY_TIME: Millis = Millis(1_500);

/// Pause between first messages to others until then.
pub const DISCOVERY_ROUND_INTERVAL: Millis = Millis(100);

/// Time after a start in which a host comes to know what it serves by.
const MAX_BOOTSTRAP_TIME: Millis = Millis(1_000);

/// One in so many parts of the time that a caller leaves is what it may be held for: callers leave some ten times
/// of what they aim at.
const HOLD_DIVISOR: u64 = 16;

/// Longest that a request is held.
const MAX_HOLD_TIME: Millis = Millis(500);

/// Gets how long a request may be held by a host that started some time ago and cannot serve yet.
pub fn hold_time(time_since_start: Millis, time_to_deadline: Option<Millis>) -> Millis {
    let fraction = Millis(time_to_deadline.unwrap_or_default().0 / HOLD_DIVISOR);
    (MAX_BOOTSTRAP_TIME - time_since_start).min(fraction).min(MAX_HOLD_TIME)
}

/// What a host knows of itself when it starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BootstrapInfo {
    /// What its link passes.
    pub link: Bandwidth,
    /// Whether the others know it from the start, or it knows of no others.
    pub is_seed: bool,
    /// Drawn for it, from 0 up to 1.
    pub hash_fraction: f64,
}

impl BootstrapInfo {
    /// Gets how long it leaves the store to others.
    pub fn store_read_delay(&self) -> Millis {
        match self.is_seed || is_well_connected(self.link) {
            true => Millis(0),
            false => {
                MIN_STORE_READ_DELAY + Millis((self.hash_fraction * STORE_READ_STAGGER_MS) as u64)
            }
        }
    }
}

/// Tells whether a host with such a link reads, follows and proves for others before one that has less.
pub fn is_well_connected(link: Bandwidth) -> bool {
    link >= WELL_CONNECTED_BANDWIDTH
}
