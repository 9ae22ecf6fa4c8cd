//! Who reads the store when hosts start, and who leaves that to others.
//!
//! A fleet may start as a whole, and then every host asks the store the same. So hosts whose links can pass
//! copies on to many others read it at once, and those that the others know from the start; the rest wait for
//! a while, meet these, and are given what they hold. Nobody depends on that: a host that was given nothing
//! reads the store after all, at a time of its own, so that a few which do so first serve the others.

use crate::units::{Bandwidth, Millis};

/// A link that passes a dozen copies of a configuration of some hundred KB in a third of a second.
const PASSES_COPIES_ON: Bandwidth = Bandwidth(100.0);

/// How long a host at least leaves the store to others: they have read it by then, and it has met some of them.
const LEFT_TO_OTHERS: Millis = Millis(400);

/// Time in which hosts that were given nothing read the store, in milliseconds.
const TURNS_MS: f64 = 1_000.0;

/// How long hosts that start tell the others of themselves more often.
pub const MEETING_TIME: Millis = Millis(1_500);

/// Pause between their messages then.
pub const MEETING_ROUND: Millis = Millis(100);

/// What a host knows of itself when it starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Starter {
    /// What its link passes.
    pub link: Bandwidth,
    /// Whether the others know it from the start, or it knows of no others.
    pub is_known: bool,
    /// Drawn for it, from 0 up to 1.
    pub draw: f64,
}

impl Starter {
    /// Gets how long it leaves the store to others.
    pub fn waits(&self) -> Millis {
        match self.is_known || is_strong(self.link) {
            true => Millis(0),
            false => LEFT_TO_OTHERS + Millis((self.draw * TURNS_MS) as u64),
        }
    }
}

/// Tells whether a host with such a link reads, follows and proves for others before one that has less.
pub fn is_strong(link: Bandwidth) -> bool {
    link >= PASSES_COPIES_ON
}
