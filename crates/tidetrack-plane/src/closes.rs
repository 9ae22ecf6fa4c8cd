//! Connections of callers that the host closes: why, and in what state.
//!
//! A caller that sees its connection end without an answer may have sent a request that crossed the
//! close, or one that was left unread. Only a line at the close tells these apart from answers that were
//! cut.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

use tidetrack_core::events::Event;

use crate::shared::Shared;

/// Why the host closed a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// It had rested for as long as it may.
    Rest,
    /// A head was not whole in time.
    SlowHead,
    /// The host stops.
    Stop,
    /// It had been answered, and nothing more was to come on it.
    Answer,
    /// What came is no request.
    BadRequest,
    /// An answer was broken off.
    BrokenOff,
    /// Otherwise.
    Otherwise,
}

impl CloseReason {
    /// Gets the word for it in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::Rest => "rest",
            CloseReason::SlowHead => "slow_head",
            CloseReason::Stop => "stop",
            CloseReason::Answer => "answer",
            CloseReason::BadRequest => "bad_request",
            CloseReason::BrokenOff => "broken_off",
            CloseReason::Otherwise => "other",
        }
    }
}

/// A connection that the host closed.
#[derive(Clone, Copy, Debug)]
pub struct Closed {
    /// Why.
    pub why: CloseReason,
    /// Requests that came on it.
    pub requests: u32,
    /// Time since the last of them was answered, or since the connection came up.
    pub rested: Duration,
    /// Whether a request was waiting for its answer, or the answer was being taken.
    pub is_served: bool,
    /// Whether bytes of the caller's were left unread, which resets the connection.
    pub has_unread: bool,
}

impl Closed {
    /// Tells whether it may have cost the caller an answer, as far as can be seen here.
    fn is_odd(&self) -> bool {
        self.is_served || self.has_unread
    }
}

impl fmt::Display for Closed {
    /// For the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Closed { why, requests, rested, is_served, has_unread } = self;
        write!(f, "why={} requests={requests} rested_ms={}", why.as_str(), rested.as_millis())?;
        write!(f, " served={is_served} unread={has_unread}")
    }
}

/// Lines of one kind in a span. Callers close and come by the hundred when a host stops.
const MOST_LINES: u32 = 20;

/// The span.
const SPAN: Duration = Duration::from_secs(1);

/// Bounds lines of a kind, and counts those that were left out.
#[derive(Debug)]
struct Bound {
    since: Cell<Instant>,
    lines: Cell<u32>,
    left_out: Cell<u64>,
}

impl Bound {
    fn new(now: Instant) -> Bound {
        Bound { since: Cell::new(now), lines: Cell::new(0), left_out: Cell::new(0) }
    }

    /// Takes a line, and gets how many were left out before it; `None` leaves it out.
    fn take(&self, now: Instant) -> Option<u64> {
        if now.saturating_duration_since(self.since.get()) >= SPAN {
            self.since.set(now);
            self.lines.set(0);
        }
        if self.lines.get() >= MOST_LINES {
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.left_out.replace(0))
    }
}

/// Bounds the lines about connections that a host closes; those that may have cost an answer by themselves.
#[derive(Debug)]
pub struct Closes {
    usual: Bound,
    odd: Bound,
}

impl Default for Closes {
    fn default() -> Closes {
        let now = Instant::now();
        Closes { usual: Bound::new(now), odd: Bound::new(now) }
    }
}

impl Closes {
    /// Takes a line for a connection, and gets how many of its kind were left out before it; `None`
    /// leaves it out.
    pub fn take(&self, closed: &Closed) -> Option<u64> {
        let bound = if closed.is_odd() { &self.odd } else { &self.usual };
        bound.take(Instant::now())
    }

    /// Logs and counts a connection that was closed.
    pub fn note(&self, shared: &Shared, closed: &Closed) {
        shared.metrics.closed(closed.why.as_str(), closed.has_unread);
        let Some(left_out) = self.take(closed) else { return };
        shared.journal.line(
            Event::CallerClosed,
            &[
                ("why", &closed.why.as_str()),
                ("requests", &closed.requests),
                ("rested_ms", &closed.rested.as_millis()),
                ("served", &closed.is_served),
                ("unread", &closed.has_unread),
                ("more_before", &left_out),
            ],
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_bounded_and_those_left_out_are_told_with_the_next() {
        let start = Instant::now();
        let bound = Bound::new(start);

        let written = (0..50).filter(|_| bound.take(start).is_some()).count();
        let next = bound.take(start + SPAN);

        assert_eq!((written, next), (20, Some(30)));
    }
}
