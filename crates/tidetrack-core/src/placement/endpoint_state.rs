//! What a host knows of one endpoint's load and health.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use crate::units::{Millis, Rate, Tokens};

/// A report's weight halves every so many milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 8_000.0;

/// What the other hosts tell of their work counts for this time.
const PEER_WORK_RETENTION: Millis = Millis(1_000);

/// Weight of the newest answer in an endpoint's pace.
const PACE_WEIGHT: f64 = 0.2;

/// Pace assumed before the first answer, in microseconds for one token of work.
const DEFAULT_PACE_US: f64 = 20_000.0;

/// Failures in a row after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// First span of an ejection, in milliseconds; it doubles up to a limit.
const INITIAL_EJECTION_MS: u64 = 1_000;

/// Doublings of the ejection's span.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

/// Work, in answer tokens, that every endpoint counts as having besides, so that small differences do not
/// drive a prefix from its cache.
const BASE_WORK: f64 = 400.0;

/// What this host knows of an endpoint's load and health. Shared by all traffic threads.
#[derive(Debug, Default)]
pub struct EndpointState {
    own_work: AtomicU64,
    reported_other_work: AtomicU64,
    reported_at: AtomicU64,
    capacity_tokens: AtomicU64,
    consecutive_failures: AtomicU32,
    ejected_until: AtomicU64,
    leaving: AtomicBool,
    /// Microseconds that a token of work took of late; 0 before the first answer.
    pace_us: AtomicU64,
    /// When anything was last heard from the endpoint.
    last_activity_at: AtomicU64,
    /// Work that the other hosts said they have there.
    peer_work: AtomicU64,
    /// When that was summed; 0 if never.
    peer_work_at: AtomicU64,
    /// Requests that went well and that failed since they were taken in last; given up ones are not
    /// counted.
    succeeded: AtomicU32,
    failed: AtomicU32,
    /// Until when it is avoided because it fails more than its pool.
    avoided_until: AtomicU64,
    /// What it named last as a limit, in requests in a thousand seconds; 0 for none.
    reported_limit: AtomicU64,
    /// Microseconds between this host's sends; 0 for no limit, `NO_SENDS` for none at all.
    send_gap_us: AtomicU64,
    /// When this host may send next, in microseconds.
    next_send_us: AtomicU64,
}

/// Stands for the gap between sends where this host has no share of a limit.
const NO_SENDS: u64 = u64::MAX;

/// Microseconds of a millisecond.
const US_PER_MS: u64 = 1_000;

/// What one host may send to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendAllowance {
    /// Whatever it has.
    Unlimited,
    /// So many requests a second.
    Share(Rate),
    /// Nothing: other hosts share what the endpoint takes.
    Denied,
}

impl fmt::Display for SendAllowance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SendAllowance::Unlimited => f.write_str("all"),
            SendAllowance::Share(rate) => rate.fmt(f),
            SendAllowance::Denied => f.write_str("nothing"),
        }
    }
}

/// How many requests at an endpoint went well, and how many failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Those that went well.
    pub succeeded: u32,
    /// Those that failed.
    pub failed: u32,
}

impl EndpointState {
    /// Counts work handed to the endpoint.
    pub fn begin_work(&self, work: u64) {
        self.own_work.fetch_add(work, Ordering::Relaxed);
    }

    /// Counts work as ended.
    pub fn end_work(&self, work: u64) {
        self.own_work.fetch_sub(work, Ordering::Relaxed);
    }

    /// Takes a report of the endpoint's whole work and room.
    ///
    /// The part of it that is this host's own is taken off, so that later only the others' part is
    /// old.
    pub fn record_load_report(&self, now: Millis, work: u64, capacity: Tokens) {
        let own = self.own_work.load(Ordering::Relaxed);
        self.reported_other_work.store(work.saturating_sub(own), Ordering::Relaxed);
        self.reported_at.store(now.0, Ordering::Relaxed);
        self.capacity_tokens.store(capacity.0, Ordering::Relaxed);
    }

    /// Gets the instant of the last report.
    pub fn reported_at(&self) -> Millis {
        Millis(self.reported_at.load(Ordering::Relaxed))
    }

    /// Estimates the endpoint's work in answer tokens.
    pub fn load(&self, now: Millis) -> f64 {
        self.own_work() as f64 + self.others_work(now)
    }

    /// Gets this host's own work at the endpoint.
    pub fn own_work(&self) -> u64 {
        self.own_work.load(Ordering::Relaxed)
    }

    /// Takes the work that the other hosts say they have at the endpoint.
    pub fn set_peer_work(&self, now: Millis, work: u64) {
        self.peer_work.store(work, Ordering::Relaxed);
        self.peer_work_at.store(now.0.max(1), Ordering::Relaxed);
    }

    /// Estimates the other hosts' work: as they tell it, else from the endpoint's last report.
    fn others_work(&self, now: Millis) -> f64 {
        let received_at = self.peer_work_at.load(Ordering::Relaxed);
        if received_at > 0 && now < Millis(received_at) + PEER_WORK_RETENTION {
            return self.peer_work.load(Ordering::Relaxed) as f64;
        }
        let others = self.reported_other_work.load(Ordering::Relaxed) as f64;
        let age = (now - self.reported_at()).0 as f64;
        others * (-age / REPORT_HALF_LIFE_MS).exp2()
    }

    /// Takes note that something came from the endpoint.
    pub fn record_activity(&self, now: Millis) {
        self.last_activity_at.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Tells whether anything came from the endpoint since an instant.
    pub fn was_active_since(&self, instant: Millis) -> bool {
        self.last_activity_at.load(Ordering::Relaxed) > instant.0
    }

    /// Takes note of how long an answer took.
    pub fn record_duration(&self, work: u64, us: u64) {
        let sample = us as f64 / work.max(1) as f64;
        let previous = self.pace();
        let is_known = self.pace_us.load(Ordering::Relaxed) > 0;
        let pace = if is_known { previous + (sample - previous) * PACE_WEIGHT } else { sample };
        self.pace_us.store(pace.max(1.0) as u64, Ordering::Relaxed);
    }

    /// Gets the microseconds that a token of work took of late.
    pub fn pace(&self) -> f64 {
        match self.pace_us.load(Ordering::Relaxed) {
            0 => DEFAULT_PACE_US,
            pace => pace as f64,
        }
    }

    /// Estimates what a request would meet here: work before it, by the time that work takes.
    pub(super) fn cost(&self, now: Millis) -> f64 {
        (self.load(now) + BASE_WORK) * self.pace()
    }

    /// Tells whether a request of so many tokens can be held at all, as far as is known.
    pub fn has_capacity_for(&self, tokens: Tokens) -> bool {
        let capacity = self.capacity_tokens.load(Ordering::Relaxed);
        capacity == 0 || tokens.0 <= capacity
    }

    /// Records how an attempt went.
    pub fn record_outcome(&self, now: Millis, is_success: bool) {
        if is_success {
            self.succeeded.fetch_add(1, Ordering::Relaxed);
            self.consecutive_failures.store(0, Ordering::Relaxed);
            self.ejected_until.store(0, Ordering::Relaxed);
            return;
        }
        self.failed.fetch_add(1, Ordering::Relaxed);
        self.eject_after_failures(now);
    }

    /// Records that an attempt was given up because the endpoint kept silent. That may be the work's
    /// doing, so other hosts are not told of it.
    pub fn record_silence(&self, now: Millis) {
        self.eject_after_failures(now);
    }

    fn eject_after_failures(&self, now: Millis) {
        let consecutive_failures = self.consecutive_failures.fetch_add(1, Ordering::Relaxed) + 1;
        if consecutive_failures >= FAILURES_TO_EJECT {
            let doublings = (consecutive_failures - FAILURES_TO_EJECT).min(MAX_EJECTION_DOUBLINGS);
            let until = now.0 + (INITIAL_EJECTION_MS << doublings);
            self.ejected_until.store(until, Ordering::Relaxed);
        }
    }

    /// Records that the endpoint could not be reached: unlike a failed answer, one is enough.
    pub fn record_unreachable(&self, now: Millis) {
        self.consecutive_failures.fetch_max(FAILURES_TO_EJECT - 1, Ordering::Relaxed);
        self.record_outcome(now, false);
    }

    /// Gets how often it failed in a row.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures.load(Ordering::Relaxed)
    }

    /// Takes back that the endpoint was left for one connect that could not be made, before which it had
    /// failed so often in a row. That connect counts as one failure more, and other hosts are not told.
    pub fn undo_unreachable(&self, failures_before: u32) {
        let consecutive_failures = failures_before + 1;
        self.consecutive_failures.store(consecutive_failures, Ordering::Relaxed);
        if consecutive_failures < FAILURES_TO_EJECT {
            self.ejected_until.store(0, Ordering::Relaxed);
        }
        // Where it was told already, it stays told.
        let decrement = |failed: u32| failed.checked_sub(1);
        let _ = self.failed.fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
    }

    /// Gets how requests went since the last call.
    pub fn take_outcomes(&self) -> Outcomes {
        let take = |count: &AtomicU32| match count.load(Ordering::Relaxed) {
            0 => 0,
            _ => count.swap(0, Ordering::Relaxed),
        };
        Outcomes { succeeded: take(&self.succeeded), failed: take(&self.failed) }
    }

    /// Avoids the endpoint for a while because it fails more than its pool, by all hosts' counts. One
    /// answer of its that goes well does not end that.
    pub fn avoid_until(&self, until: Millis) {
        self.avoided_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Tells whether the endpoint is ejected for its failures.
    pub fn is_ejected(&self, now: Millis) -> bool {
        let value_of = |at: &AtomicU64| at.load(Ordering::Relaxed);
        value_of(&self.ejected_until).max(value_of(&self.avoided_until)) > now.0
    }

    /// Takes what the endpoint names as a limit; tells whether that is new.
    pub fn update_reported_limit(&self, limit: Option<Rate>) -> bool {
        const UNITS_PER_REQUEST_PER_SECOND: f64 = 1_000.0;
        // A limit of nothing is a limit, too.
        let units =
            limit.map_or(0, |limit| ((limit.0 * UNITS_PER_REQUEST_PER_SECOND) as u64).max(1));
        self.reported_limit.swap(units, Ordering::Relaxed) != units
    }

    /// Sets what this host may send to the endpoint.
    pub fn set_send_allowance(&self, allowance: SendAllowance) {
        const SECOND_US: f64 = 1e6;
        let gap = match allowance {
            SendAllowance::Unlimited => 0,
            SendAllowance::Share(rate) => ((SECOND_US / rate.0) as u64).clamp(1, NO_SENDS - 1),
            SendAllowance::Denied => NO_SENDS,
        };
        self.send_gap_us.store(gap, Ordering::Relaxed);
    }

    /// Tells whether this host may not send whatever it has.
    pub fn is_limited(&self) -> bool {
        self.send_gap_us.load(Ordering::Relaxed) != 0
    }

    /// Gets when this host may send to the endpoint; `None` if it may not.
    pub fn next_send_at(&self, now: Millis) -> Option<Millis> {
        match self.send_gap_us.load(Ordering::Relaxed) {
            0 => Some(now),
            NO_SENDS => None,
            _ => {
                Some(now.max(Millis(self.next_send_us.load(Ordering::Relaxed).div_ceil(US_PER_MS))))
            }
        }
    }

    /// Tells whether this host may send to the endpoint now.
    pub fn can_send(&self, now: Millis) -> bool {
        self.next_send_at(now).is_some_and(|from| from <= now)
    }

    /// Takes note of a send: the next one has to wait where there is a limit.
    pub fn record_send(&self, now: Millis) {
        let gap = self.send_gap_us.load(Ordering::Relaxed);
        if gap != 0 && gap != NO_SENDS {
            let now_us = now.0.saturating_mul(US_PER_MS);
            let next = self.next_send_us.load(Ordering::Relaxed).max(now_us).saturating_add(gap);
            self.next_send_us.store(next, Ordering::Relaxed);
        }
    }

    /// Marks the endpoint as leaving or not.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Tells whether the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
}
