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
    IdleTimeout,
    /// A head was not whole in time.
    HeaderTimeout,
    /// The host stops.
    HostStop,
    /// It had been answered, and nothing more was to come on it.
    ResponseComplete,
    /// What came is no request.
    BadRequest,
    /// An answer was broken off.
    ResponseAborted,
    /// Otherwise.
    Other,
}

impl CloseReason {
    /// Gets the word for it in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::IdleTimeout => "rest",
            CloseReason::HeaderTimeout => "slow_head",
            CloseReason::HostStop => "stop",
            CloseReason::ResponseComplete => "answer",
            CloseReason::BadRequest => "bad_request",
            CloseReason::ResponseAborted => "broken_off",
            CloseReason::Other => "other",
        }
    }
}

/// A connection that the host closed.
#[derive(Clone, Copy, Debug)]
pub struct ClosedConnection {
    /// Why.
    pub reason: CloseReason,
    /// Requests that came on it.
    pub requests: u32,
    /// Time since the last of them was answered, or since the connection came up.
    pub idle_time: Duration,
    /// Whether a request was waiting for its answer, or the answer was being taken.
    pub is_serving: bool,
    /// Whether bytes of the caller's were left unread, which resets the connection.
    pub has_unread: bool,
}

impl ClosedConnection {
    /// Tells whether it may have cost the caller an answer, as far as can be seen here.
    fn may_have_lost_response(&self) -> bool {
        self.is_serving || self.has_unread
    }
}

impl fmt::Display for ClosedConnection {
    /// For the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ClosedConnection { reason, requests, idle_time, is_serving, has_unread } = self;
        write!(
            f,
            "why={} requests={requests} rested_ms={}",
            reason.as_str(),
            idle_time.as_millis()
        )?;
        write!(f, " served={is_serving} unread={has_unread}")
    }
}

/// Lines of one kind in a span. Callers close and come by the hundred when a host stops.
const MAX_LINES_PER_INTERVAL: u32 = 20;

/// The span.
const LIMIT_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds lines of a kind, and counts those that were left out.
#[derive(Debug)]
struct LineLimiter {
    interval_started_at: Cell<Instant>,
    line_count: Cell<u32>,
    suppressed_count: Cell<u64>,
}

impl LineLimiter {
    fn new(now: Instant) -> LineLimiter {
        LineLimiter {
            interval_started_at: Cell::new(now),
            line_count: Cell::new(0),
            suppressed_count: Cell::new(0),
        }
    }

    /// Takes a line, and gets how many were left out before it; `None` leaves it out.
    fn admit(&self, now: Instant) -> Option<u64> {
        if now.saturating_duration_since(self.interval_started_at.get()) >= LIMIT_INTERVAL {
            self.interval_started_at.set(now);
            self.line_count.set(0);
        }
        if self.line_count.get() >= MAX_LINES_PER_INTERVAL {
            self.suppressed_count.set(self.suppressed_count.get() + 1);
            return None;
        }
        self.line_count.set(self.line_count.get() + 1);
        Some(self.suppressed_count.replace(0))
    }
}

/// Bounds the lines about connections that a host closes; those that may have cost an answer by themselves.
#[derive(Debug)]
pub struct CloseLog {
    ordinary: LineLimiter,
    suspicious: LineLimiter,
}

impl Default for CloseLog {
    fn default() -> CloseLog {
        let now = Instant::now();
        CloseLog { ordinary: LineLimiter::new(now), suspicious: LineLimiter::new(now) }
    }
}

impl CloseLog {
    /// Takes a line for a connection, and gets how many of its kind were left out before it; `None`
    /// leaves it out.
    pub fn admit(&self, closed: &ClosedConnection) -> Option<u64> {
        let limiter =
            if closed.may_have_lost_response() { &self.suspicious } else { &self.ordinary };
        limiter.admit(Instant::now())
    }

    /// Logs and counts a connection that was closed.
    pub fn record(&self, shared: &Shared, closed: &ClosedConnection) {
        shared.metrics.record_closed_connection(closed.reason.as_str(), closed.has_unread);
        let Some(suppressed_count) = self.admit(closed) else { return };
        shared.journal.log(
            Event::CallerClosed,
            &[
                ("why", &closed.reason.as_str()),
                ("requests", &closed.requests),
                ("rested_ms", &closed.idle_time.as_millis()),
                ("served", &closed.is_serving),
                ("unread", &closed.has_unread),
                ("more_before", &suppressed_count),
            ],
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limiter_reports_suppressed_lines_with_next_admitted_line() {
        let start = Instant::now();
        let limiter = LineLimiter::new(start);

        let written = (0..50).filter(|_| limiter.admit(start).is_some()).count();
        let next_suppressed = limiter.admit(start + LIMIT_INTERVAL);

        assert_eq!((written, next_suppressed), (20, Some(30)));
    }
}
