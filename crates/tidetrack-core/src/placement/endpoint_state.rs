//! Load and health of one endpoint as a host knows them.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use crate::units::{Millis, Rate, Tokens};

use super::ejection::Ejection;
use super::refusal_guard::RefusalGuard;
use super::speed::EndpointSpeed;

/// Half-life, in milliseconds, of the weight of an endpoint's load report.
const REPORT_HALF_LIFE_MS: f64 = 8_000.0;

/// How long the work reported by the other hosts is used.
const PEER_WORK_RETENTION: Millis = Millis(1_000);

/// Age up to which an endpoint's own load report is preferred to the sum of the other hosts' work where
/// load control applies. An endpoint executes a few requests in this time.
const FRESH_REPORT_AGE: Millis = Millis(300);

/// Half-life, in milliseconds, of the reported work where load control applies. Queues of an
/// overloaded endpoint take about a second to drain.
const QUEUE_HALF_LIFE_MS: f64 = 1_000.0;

/// Smallest share of the other hosts by which the work of those heard lately is divided. With fewer
/// heard, the sum says little about the others.
const MIN_HEARD_SHARE: f64 = 0.25;

/// Weight of the newest sample in the moving average of an endpoint's pace.
const PACE_WEIGHT: f64 = 0.2;

/// Pace assumed before the first response, in microseconds per token of work.
const DEFAULT_PACE_US: f64 = 20_000.0;

/// Work, in answer tokens, that is added to every endpoint's load, so that small differences in
/// load do not move a prefix away from the endpoint that caches it.
const BASE_WORK: f64 = 400.0;

/// Load and health of an endpoint, shared by all traffic threads.
#[derive(Debug, Default)]
pub struct EndpointState {
    own_work: AtomicU64,
    reported_other_work: AtomicU64,
    reported_at: AtomicU64,
    capacity_tokens: AtomicU64,
    ejection: Ejection,
    is_leaving: AtomicBool,
    /// Whether a response of the endpoint said that it leaves.
    has_announced_leave: AtomicBool,
    is_evacuated: AtomicBool,
    /// Recent pace in microseconds per token of work; 0 before the first response.
    pace_us: AtomicU64,
    /// When the endpoint last sent anything, in milliseconds.
    last_activity_at: AtomicU64,
    /// Work that the other hosts reported to have at the endpoint, in answer tokens.
    peer_work: AtomicU64,
    /// When `peer_work` was computed, in milliseconds; 0 if never.
    peer_work_at: AtomicU64,
    /// Successful and failed requests since the last call of `take_outcomes`. Requests that were
    /// given up are not counted.
    succeeded: AtomicU32,
    failed: AtomicU32,
    /// Whether a request has ever succeeded.
    has_succeeded: AtomicBool,
    /// End of the avoidance as an outlier of its pool, in milliseconds.
    avoided_until: AtomicU64,
    /// Limit that the endpoint last reported, in requests per 1,000 seconds; 0 if none.
    reported_limit: AtomicU64,
    /// Interval between this host's requests in microseconds; 0 if unlimited, `NO_SENDS` if this
    /// host may not send at all.
    send_gap_us: AtomicU64,
    /// When this host may send its next request, in microseconds.
    next_send_us: AtomicU64,
    /// Refusals per second that the endpoint last said it bears, plus 1; 0 if it does not say that it
    /// falls over from them.
    reported_max_refusals: AtomicU64,
    /// Number of requests that this host has at the endpoint.
    in_flight: AtomicU32,
    /// Access to the endpoint if it falls over from refusing requests.
    guard: RefusalGuard,
    /// End of the time for which the endpoint asked this host to send nothing, in milliseconds.
    rests_until: AtomicU64,
    /// Measured and reported speed.
    pub(super) speed: EndpointSpeed,
    /// Whether a fresh load report is preferred to the sum of the other hosts' work.
    prefers_reports: AtomicBool,
    /// Share of the other hosts whose work `peer_work` contains, as the bits of an `f64`.
    heard_share: AtomicU64,
}

/// Value of `send_gap_us` if this host has no share of the endpoint's limit.
const NO_SENDS: u64 = u64::MAX;

/// Microseconds per millisecond.
const US_PER_MS: u64 = 1_000;

/// How many requests this host may send to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendAllowance {
    /// Any number of requests.
    Unlimited,
    /// Up to this rate, at even intervals.
    Share(Rate),
    /// No requests: other hosts share the endpoint's limit.
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

/// Numbers of successful and failed requests at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Successful requests.
    pub succeeded: u32,
    /// Failed requests.
    pub failed: u32,
}

impl EndpointState {
    /// Adds work, in answer tokens, that this host sends to the endpoint.
    pub fn begin_work(&self, work: u64) {
        self.own_work.fetch_add(work, Ordering::Relaxed);
    }

    /// Records that this host begins a request at the endpoint.
    pub fn begin_request(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the end of a request.
    pub fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Subtracts work that was finished.
    pub fn end_work(&self, work: u64) {
        self.own_work.fetch_sub(work, Ordering::Relaxed);
    }

    /// Records the endpoint's report of its total work and capacity.
    ///
    /// This host's own work is subtracted from the total, so that only the share of the other hosts
    /// ages until the next report.
    pub fn record_load_report(&self, now: Millis, work: u64, capacity: Tokens) {
        let own = self.own_work.load(Ordering::Relaxed);
        self.reported_other_work.store(work.saturating_sub(own), Ordering::Relaxed);
        self.reported_at.store(now.0, Ordering::Relaxed);
        self.capacity_tokens.store(capacity.0, Ordering::Relaxed);
    }

    /// Returns when the endpoint last reported its load.
    pub fn reported_at(&self) -> Millis {
        Millis(self.reported_at.load(Ordering::Relaxed))
    }

    /// Prefers the endpoint's fresh load reports to the other hosts' work from now on. Called where
    /// load control applies.
    pub fn prefer_reports(&self) {
        self.prefers_reports.store(true, Ordering::Relaxed);
    }

    /// Estimates the endpoint's total work in answer tokens.
    pub fn load(&self, now: Millis) -> f64 {
        self.own_work() as f64 + self.others_work(now)
    }

    /// Returns this host's own work at the endpoint in answer tokens.
    pub fn own_work(&self) -> u64 {
        self.own_work.load(Ordering::Relaxed)
    }

    /// Records the work that the other hosts reported to have at the endpoint.
    pub fn set_peer_work(&self, now: Millis, work: u64) {
        self.peer_work.store(work, Ordering::Relaxed);
        self.peer_work_at.store(now.0.max(1), Ordering::Relaxed);
    }

    /// Reports whether other hosts have recently reported to have work at the endpoint.
    pub fn has_peer_work(&self, now: Millis) -> bool {
        let received_at = self.peer_work_at.load(Ordering::Relaxed);
        let is_recent = received_at > 0 && now < Millis(received_at) + PEER_WORK_RETENTION;
        is_recent && self.peer_work.load(Ordering::Relaxed) > 0
    }

    /// Sets the share of the other hosts that were heard lately. The work at the endpoint of those that
    /// were not is estimated where load control applies.
    pub fn set_heard_share(&self, share: f64) {
        self.heard_share.store(share.clamp(MIN_HEARD_SHARE, 1.0).to_bits(), Ordering::Relaxed);
    }

    /// Estimates the other hosts' work: by their own reports if these are recent, otherwise by the
    /// endpoint's last load report. Where load control applies, a fresh load report comes first, and
    /// the hosts' reports are scaled up for the hosts that were not heard lately.
    fn others_work(&self, now: Millis) -> f64 {
        let prefers_reports = self.prefers_reports.load(Ordering::Relaxed);
        let reported_at = self.reported_at();
        let reported = self.reported_other_work.load(Ordering::Relaxed) as f64;
        if prefers_reports && reported_at.0 > 0 && now <= reported_at + FRESH_REPORT_AGE {
            return reported;
        }
        let received_at = self.peer_work_at.load(Ordering::Relaxed);
        if received_at > 0 && now < Millis(received_at) + PEER_WORK_RETENTION {
            let work = self.peer_work.load(Ordering::Relaxed) as f64;
            let heard_share = f64::from_bits(self.heard_share.load(Ordering::Relaxed));
            if !prefers_reports || heard_share <= 0.0 {
                return work;
            }
            // A long queue outlives the report of it, and other hosts' reports lag behind.
            let age = (now - reported_at).0 as f64;
            let remaining = reported * (-age / QUEUE_HALF_LIFE_MS).exp2();
            return (work / heard_share).max(remaining);
        }
        let others = self.reported_other_work.load(Ordering::Relaxed) as f64;
        let age = (now - self.reported_at()).0 as f64;
        others * (-age / REPORT_HALF_LIFE_MS).exp2()
    }

    /// Records that the endpoint sent anything.
    pub fn record_activity(&self, now: Millis) {
        self.last_activity_at.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Reports whether the endpoint has sent anything since an instant.
    pub fn was_active_since(&self, instant: Millis) -> bool {
        self.last_activity_at.load(Ordering::Relaxed) > instant.0
    }

    /// Records that a response with this amount of work took `us` microseconds.
    pub fn record_duration(&self, work: u64, us: u64) {
        let sample = us as f64 / work.max(1) as f64;
        let previous = self.pace();
        let is_known = self.pace_us.load(Ordering::Relaxed) > 0;
        let pace = if is_known { previous + (sample - previous) * PACE_WEIGHT } else { sample };
        self.pace_us.store(pace.max(1.0) as u64, Ordering::Relaxed);
    }

    /// Returns the recent pace in microseconds per token of work.
    pub fn pace(&self) -> f64 {
        match self.pace_us.load(Ordering::Relaxed) {
            0 => DEFAULT_PACE_US,
            pace => pace as f64,
        }
    }

    /// Estimates the time, in microseconds, until a new request is served: the work ahead of it
    /// times the pace.
    pub(super) fn cost(&self, now: Millis) -> f64 {
        (self.load(now) + BASE_WORK) * self.pace()
    }

    /// Reports whether the endpoint has capacity for a request of this size at all; `true` if the
    /// capacity is unknown.
    pub fn has_capacity_for(&self, tokens: Tokens) -> bool {
        let capacity = self.capacity_tokens.load(Ordering::Relaxed);
        capacity == 0 || tokens.0 <= capacity
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&self, now: Millis, is_success: bool) {
        if is_success {
            self.succeeded.fetch_add(1, Ordering::Relaxed);
            self.has_succeeded.store(true, Ordering::Relaxed);
            self.ejection.clear();
            return;
        }
        self.failed.fetch_add(1, Ordering::Relaxed);
        self.ejection.record_failure(now, self.guard.is_active());
    }

    /// Records that an attempt was given up because the endpoint sent nothing. This may be caused
    /// by the request itself, so it is not reported to other hosts.
    pub fn record_silence(&self, now: Millis) {
        self.ejection.record_failure(now, self.guard.is_active());
    }

    /// Records that the endpoint could not be used at all. Unlike with failed responses, one such
    /// failure ejects the endpoint.
    pub fn record_unreachable(&self, now: Millis) {
        self.ejection.eject_on_next_failure();
        self.record_outcome(now, false);
    }

    /// Records that another endpoint has the address now. It is reported to other hosts only once
    /// `report_failure` is called.
    pub fn record_moved(&self, now: Millis) {
        self.ejection.record_moved(now, self.guard.is_active());
    }

    /// Reports whether the endpoint has completed a request and not failed since.
    pub fn has_served(&self) -> bool {
        self.has_succeeded.load(Ordering::Relaxed) && self.consecutive_failures() == 0
    }

    /// Returns the number of consecutive failures.
    pub fn consecutive_failures(&self) -> u32 {
        self.ejection.consecutive_failures()
    }

    /// Reverses the ejection caused by a single failed connect, which is withheld. `failures_before`
    /// is the number of consecutive failures before it. The failed connect then counts as one
    /// ordinary failure.
    pub fn undo_unreachable(&self, failures_before: u32) {
        self.ejection.undo_unreachable(failures_before);
    }

    /// Records a failure of which it is not yet known whether the endpoint or the network path
    /// caused it: it counts towards an ejection, and is reported to other hosts only once
    /// `report_failure` is called. One that leaves no connection ejects the endpoint.
    pub fn record_withheld_failure(&self, now: Millis, is_unreachable: bool) {
        match is_unreachable {
            true => self.ejection.record_unreachable(now, self.guard.is_active()),
            false => self.ejection.record_disconnect(now, self.guard.is_active()),
        }
    }

    /// Records that a probe was answered, which ends an ejection because of failed connections.
    pub fn record_reached(&self) {
        self.ejection.record_reached();
    }

    /// Reports whether the endpoint's last failure was one of a connection, and not a response.
    pub fn has_failed_connection(&self) -> bool {
        self.ejection.is_connection_failure()
    }

    /// Reports a withheld failure to other hosts.
    pub fn report_failure(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends an ejection and forgets the failures before it, because the endpoint did not cause them.
    pub fn clear_ejection(&self) {
        self.ejection.clear();
    }

    /// Returns the outcomes of requests since the last call, and resets them.
    pub fn take_outcomes(&self) -> Outcomes {
        let take = |count: &AtomicU32| match count.load(Ordering::Relaxed) {
            0 => 0,
            _ => count.swap(0, Ordering::Relaxed),
        };
        Outcomes { succeeded: take(&self.succeeded), failed: take(&self.failed) }
    }

    /// Avoids the endpoint until `until` because it fails more often than its pool, by the counts
    /// of all hosts. Unlike an ejection, this is not ended by a successful response.
    pub fn avoid_until(&self, until: Millis) {
        self.avoided_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Returns the end of the ejection after failures, without avoidance as an outlier; in the past if there is none.
    pub fn ejected_until(&self) -> Millis {
        self.ejection.until()
    }

    /// Reports whether the endpoint is ejected after failures or avoided as an outlier.
    pub fn is_ejected(&self, now: Millis) -> bool {
        self.ejection.until().max(Millis(self.avoided_until.load(Ordering::Relaxed))) > now
    }

    /// Stores the limit that the endpoint reported. Returns whether it differs from the stored one.
    pub fn update_reported_limit(&self, limit: Option<Rate>) -> bool {
        const UNITS_PER_REQUEST_PER_SECOND: f64 = 1_000.0;
        // A limit of zero must not be stored as 0, which means no limit.
        let units =
            limit.map_or(0, |limit| ((limit.0 * UNITS_PER_REQUEST_PER_SECOND) as u64).max(1));
        self.reported_limit.swap(units, Ordering::Relaxed) != units
    }

    /// Sets how many requests this host may send to the endpoint.
    pub fn set_send_allowance(&self, allowance: SendAllowance) {
        const US_PER_SECOND: f64 = 1e6;
        let gap = match allowance {
            SendAllowance::Unlimited => 0,
            SendAllowance::Share(rate) => ((US_PER_SECOND / rate.0) as u64).clamp(1, NO_SENDS - 1),
            SendAllowance::Denied => NO_SENDS,
        };
        self.send_gap_us.store(gap, Ordering::Relaxed);
    }

    /// Reports whether the number of requests that this host may send is limited.
    pub fn is_limited(&self) -> bool {
        self.send_gap_us.load(Ordering::Relaxed) != 0
    }

    /// Stores how many refusals per second the endpoint says it bears; `None` if it does not say that
    /// it falls over from them. Returns the previous value if it differs.
    pub fn update_max_refusals(&self, max_refusals: Option<u32>) -> Option<Option<u32>> {
        let stored = max_refusals.map_or(0, |n| u64::from(n) + 1);
        let previous = self.reported_max_refusals.swap(stored, Ordering::Relaxed);
        let previous_refusals = previous.checked_sub(1).and_then(|n| u32::try_from(n).ok());
        (previous != stored).then_some(previous_refusals)
    }

    /// Returns how many refusals per second the endpoint says it bears; `None` if it does not say that
    /// it falls over from them.
    pub fn max_refusals(&self) -> Option<u32> {
        let stored = self.reported_max_refusals.load(Ordering::Relaxed).checked_sub(1);
        stored.and_then(|n| u32::try_from(n).ok())
    }

    /// Returns the number of requests that this host has at the endpoint.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the access to the endpoint, which is restricted if it falls over from refusing requests.
    pub fn guard(&self) -> &RefusalGuard {
        &self.guard
    }

    /// Records that the endpoint asked this host to send nothing until `until`.
    pub fn rest_until(&self, until: Millis) {
        self.rests_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Reports whether the endpoint has asked this host to send nothing now.
    pub fn is_resting(&self, now: Millis) -> bool {
        self.rests_until.load(Ordering::Relaxed) > now.0
    }

    /// Estimates when the endpoint may be picked for a caller's next request; `None` if this host may
    /// not send to it at all.
    pub fn next_send_at(&self, now: Millis) -> Option<Millis> {
        let limited_until = self.limited_until(now)?;
        Some(limited_until.max(self.guard.next_pick_at(now)))
    }

    /// Returns the end of the pause that a limit on this host's rate or the endpoint's own request
    /// demands; `None` if this host may not send at all.
    fn limited_until(&self, now: Millis) -> Option<Millis> {
        let earliest = now.max(Millis(self.rests_until.load(Ordering::Relaxed)));
        match self.send_gap_us.load(Ordering::Relaxed) {
            0 => Some(earliest),
            NO_SENDS => None,
            _ => {
                let next_send_us = self.next_send_us.load(Ordering::Relaxed);
                Some(earliest.max(Millis(next_send_us.div_ceil(US_PER_MS))))
            }
        }
    }

    /// Reports whether this host itself may send a request now.
    pub fn can_send(&self, now: Millis) -> bool {
        self.is_within_limits(now) && self.guard.permits_sending(now)
    }

    /// Reports whether the endpoint may be picked for a request now, which this host sends itself or
    /// forwards. `is_forwarded` states whether it has come from another host already.
    pub fn can_be_picked(&self, now: Millis, is_forwarded: bool) -> bool {
        self.is_within_limits(now) && self.guard.permits_pick(now, is_forwarded)
    }

    fn is_within_limits(&self, now: Millis) -> bool {
        self.limited_until(now).is_some_and(|until| until <= now)
    }

    /// Records a request: under a limit, the next one has to wait.
    pub fn record_send(&self, now: Millis) {
        let gap = self.send_gap_us.load(Ordering::Relaxed);
        if gap != NO_SENDS {
            let now_us = now.0.saturating_mul(US_PER_MS);
            let next = self.next_send_us.load(Ordering::Relaxed).max(now_us);
            self.next_send_us.store(next.saturating_add(gap), Ordering::Relaxed);
        }
    }

    /// Sets whether the endpoint is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.is_leaving.store(is_leaving, Ordering::Release);
    }

    /// Sets whether the endpoint's failure domain is evacuated.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        self.is_evacuated.store(is_evacuated, Ordering::Release);
    }

    /// Reports whether the endpoint's failure domain is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated.load(Ordering::Acquire)
    }

    /// Records that a response of the endpoint said that it leaves. This holds for the rest of the
    /// endpoint's incarnation, whatever its entry says. Returns whether it is new.
    pub fn record_leave_announcement(&self) -> bool {
        !self.has_announced_leave.swap(true, Ordering::AcqRel)
    }

    /// Reports whether a response of the endpoint said that it leaves.
    pub fn has_announced_leave(&self) -> bool {
        self.has_announced_leave.load(Ordering::Acquire)
    }

    /// Reports whether new requests may be sent to the endpoint: it is not leaving, by its entry or
    /// its responses, and its failure domain is not evacuated.
    pub fn is_open(&self) -> bool {
        !self.is_leaving() && !self.has_announced_leave() && !self.is_evacuated()
    }

    /// Reports whether the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }
}
