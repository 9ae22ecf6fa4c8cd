//! Ejection of an endpoint after consecutive failures.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use crate::units::Millis;

/// Number of consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// Duration of an endpoint's first ejection in milliseconds; it doubles with each further failure.
const INITIAL_EJECTION_MS: u64 = 1_000;

/// Largest number of doublings of an ejection's duration.
const MAX_DOUBLINGS: u32 = 5;

/// Largest number of doublings of the ejection of an endpoint to which no connection was established: probes,
/// not callers' requests, find out whether it can be reached again.
const MAX_UNREACHABLE_DOUBLINGS: u32 = 3;

/// Number of doublings of the first ejection of an endpoint whose address another one has: it has ended, and
/// its entry is about to be removed unless the store is away.
const MOVED_DOUBLINGS: u32 = 3;

/// Largest number of doublings for an endpoint that falls over from refusing requests and to which no connection was
/// established; it returns after some seconds.
const MAX_GUARDED_DOUBLINGS: u32 = 1;

/// Consecutive failures of an endpoint, and the end of the ejection that follows from them.
#[derive(Debug, Default)]
pub(super) struct Ejection {
    consecutive_failures: AtomicU32,
    /// End of the ejection, in milliseconds; 0 if there was none.
    until: AtomicU64,
    /// Whether the last failure was one of a connection, and not a response.
    is_connection_failure: AtomicBool,
}

impl Ejection {
    /// Records a failure. One host alone tries a guarded endpoint again, so that its return is seen early.
    pub(super) fn record_failure(&self, now: Millis, is_guarded: bool) {
        self.count_failure(now, if is_guarded { 0 } else { MAX_DOUBLINGS });
        self.is_connection_failure.store(false, Ordering::Relaxed);
    }

    /// Records that another endpoint has the address.
    pub(super) fn record_moved(&self, now: Millis, is_guarded: bool) {
        let failures_before = FAILURES_TO_EJECT - 1 + MOVED_DOUBLINGS;
        self.consecutive_failures.fetch_max(failures_before, Ordering::Relaxed);
        self.record_failure(now, is_guarded);
    }

    /// Records that a connection to the endpoint broke.
    pub(super) fn record_disconnect(&self, now: Millis, is_guarded: bool) {
        self.record_failure(now, is_guarded);
        self.is_connection_failure.store(true, Ordering::Relaxed);
    }

    /// Records that no connection to the endpoint was established, which ejects it.
    pub(super) fn record_unreachable(&self, now: Millis, is_guarded: bool) {
        self.eject_on_next_failure();
        let max_doublings =
            if is_guarded { MAX_GUARDED_DOUBLINGS } else { MAX_UNREACHABLE_DOUBLINGS };
        self.count_failure(now, max_doublings);
        self.is_connection_failure.store(true, Ordering::Relaxed);
    }

    fn count_failure(&self, now: Millis, max_doublings: u32) {
        let consecutive_failures = self.consecutive_failures.fetch_add(1, Ordering::Relaxed) + 1;
        if consecutive_failures >= FAILURES_TO_EJECT {
            let doublings = (consecutive_failures - FAILURES_TO_EJECT).min(max_doublings);
            let until = now.0 + (INITIAL_EJECTION_MS << doublings);
            self.until.store(until, Ordering::Relaxed);
        }
    }

    /// Makes the next failure eject the endpoint.
    pub(super) fn eject_on_next_failure(&self) {
        self.consecutive_failures.fetch_max(FAILURES_TO_EJECT - 1, Ordering::Relaxed);
    }

    /// Records that a probe was answered, which ends an ejection because of failed connections.
    pub(super) fn record_reached(&self) {
        if self.is_connection_failure.load(Ordering::Relaxed) {
            self.clear();
        }
    }

    /// Turns the ejection after a failed connect back into one ordinary failure. `failures_before` is the number of
    /// consecutive failures before it.
    pub(super) fn undo_unreachable(&self, failures_before: u32) {
        let consecutive_failures = failures_before + 1;
        self.consecutive_failures.store(consecutive_failures, Ordering::Relaxed);
        self.is_connection_failure.store(false, Ordering::Relaxed);
        if consecutive_failures < FAILURES_TO_EJECT {
            self.until.store(0, Ordering::Relaxed);
        }
    }

    /// Ends the ejection and forgets the failures.
    pub(super) fn clear(&self) {
        self.is_connection_failure.store(false, Ordering::Relaxed);
        self.consecutive_failures.store(0, Ordering::Relaxed);
        self.until.store(0, Ordering::Relaxed);
    }

    /// Reports whether the last failure was one of a connection.
    pub(super) fn is_connection_failure(&self) -> bool {
        self.is_connection_failure.load(Ordering::Relaxed)
    }

    /// Returns the number of consecutive failures.
    pub(super) fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures.load(Ordering::Relaxed)
    }

    /// Returns the end of the ejection; in the past if there is none.
    pub(super) fn until(&self) -> Millis {
        Millis(self.until.load(Ordering::Relaxed))
    }
}
