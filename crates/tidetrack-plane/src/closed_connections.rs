//! Log lines and metrics for callers' connections that the host closes, with the reason and the
//! state.
//!
//! A caller whose connection ends without a response may have sent a request at the moment of the
//! close, or one that was left unread. Only a log line at the close distinguishes these cases from
//! interrupted responses.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

use tidetrack_core::events::Event;

use crate::shared::Shared;

/// Why the host closed a caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CloseReason {
    /// The connection reached its maximum idle time.
    IdleTimeout,
    /// The head of a request was not complete in time.
    HeaderTimeout,
    /// The host is stopping.
    HostStop,
    /// The last response was sent, and no further request was to follow on the connection.
    ResponseComplete,
    /// The received bytes are not a valid request.
    BadRequest,
    /// A response was aborted.
    ResponseAborted,
    /// The maximum number of connections was open, and another one was to be accepted.
    NoRoom,
    /// Any other reason.
    Other,
}

impl CloseReason {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::IdleTimeout => "rest",
            CloseReason::HeaderTimeout => "slow_head",
            CloseReason::HostStop => "stop",
            CloseReason::ResponseComplete => "answer",
            CloseReason::BadRequest => "bad_request",
            CloseReason::ResponseAborted => "broken_off",
            CloseReason::NoRoom => "room",
            CloseReason::Other => "other",
        }
    }
}

/// A connection that the host closed.
#[derive(Clone, Copy, Debug)]
pub struct ClosedConnection {
    /// Why it was closed.
    pub reason: CloseReason,
    /// Number of requests received on the connection.
    pub requests: u32,
    /// Time since the last response, or since the connection was accepted.
    pub idle_time: Duration,
    /// Whether a request was waiting for its response, or a response was being sent.
    pub is_serving: bool,
    /// Whether received bytes were left unread, which resets the connection.
    pub has_unread: bool,
}

impl ClosedConnection {
    /// Reports whether the close may have cost the caller a response, as far as this host can tell.
    fn may_have_lost_response(&self) -> bool {
        self.is_serving || self.has_unread
    }
}

impl fmt::Display for ClosedConnection {
    /// Formats the fields for a log line.
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

/// Maximum number of log lines per interval. When a host stops, callers' connections close and
/// reopen by the hundreds.
const MAX_LINES_PER_INTERVAL: u32 = 20;

/// Interval over which log lines are counted.
const LIMIT_INTERVAL: Duration = Duration::from_secs(1);

/// Limits the number of log lines and counts the suppressed ones.
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

    /// Admits a line and returns the number of lines suppressed before it. Returns `None` if the
    /// line is to be suppressed.
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

/// Limits the log lines about closed connections. Closes that may have cost a response have a limit
/// of their own.
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
    /// Admits a line for a connection and returns the number of suppressed lines of the same
    /// category before it. Returns `None` if the line is to be suppressed.
    pub fn admit(&self, closed: &ClosedConnection) -> Option<u64> {
        let limiter =
            if closed.may_have_lost_response() { &self.suspicious } else { &self.ordinary };
        limiter.admit(Instant::now())
    }

    /// Counts a closed connection and logs it within the limits.
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
