//! Selects the sessions and requests that go to a canary version before the cutover.
//!
//! Hosts report active sessions to each other and pass on the reports they receive, so that a
//! report reaches a large fleet within a few rounds. To limit this traffic, the sample shrinks as
//! the fleet grows. Requests without a session need no reports, so their share is the same in every
//! fleet. Each host may also send a part of the allowance, the requests that a version may get
//! beyond its share, as sessionless requests, so that a service with few requests yields enough
//! evidence about its version.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::VersionName;
use crate::placement::hash_fraction;
use crate::traffic::canary::{CanaryView, Phase, ReleaseTrack};
use crate::units::{Millis, Share};

/// Maximum share of sessions on the canary version before the cutover.
pub const MAX_SAMPLE_SHARE: f64 = 0.07;

/// Sample size as a fraction of the exposure bound. At this size a host rarely reaches its own
/// limit, where it would have to move a session off the canary version, and half of the bound
/// remains for the time after the cutover.
const SAMPLE_BOUND_FRACTION: f64 = 0.4;

/// Fraction of the allowance that is spent on the sample. The rest covers the inaccuracy of hosts
/// that count independently.
const SAMPLE_ALLOWANCE_FRACTION: f64 = 0.8;

/// Fraction of the exposure bound to which each host limits its own requests.
const HOST_BOUND_FRACTION: f64 = 0.93;

/// Requests that a host may send to the canary version before the share is enforced.
const FREE_REQUESTS_PER_HOST: u64 = 6;

/// Maximum number of sessions reported in one message, about 1 KB.
const MAX_SESSIONS_PER_MESSAGE: usize = 200;

/// Unit of the remaining hold time in messages, in milliseconds.
const HOLD_STEP_MS: u64 = 100;

/// Time during which a host reports a session after its last request while no roll-out is running;
/// it spans a few rounds. Without these reports, a host's knowledge of active sessions would be
/// lost when it stops, and the next roll-out would split these sessions between versions.
const SESSION_REPORT_PERIOD: Millis = Millis(1_000);

/// Hash that identifies a session in messages.
pub type SessionKey = u32;

/// Limit on the share of a service's requests that a version under roll-out may get before its
/// deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// Share of all requests since the order.
    pub share: Share,
    /// Number of requests beyond the share, over all hosts.
    pub allowance: u32,
}

impl ExposureBound {
    /// Returns one host's part of the allowance in a fleet of the given size.
    pub fn extra_requests(&self, hosts: usize) -> f64 {
        f64::from(self.allowance) * SAMPLE_ALLOWANCE_FRACTION / hosts.max(1) as f64
    }
}

/// Report that a session stays on the stable versions, as sent between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionReport {
    /// Session that stays.
    pub session: SessionKey,
    /// Remaining hold time in units of 100 ms.
    pub remaining_steps: u16,
}

/// Fleet size up to which the sample has its full size. With a lower limit, a fleet of many hosts
/// with few requests each would see too little of a slow version; with a higher one, hosts with
/// many requests would report too many sessions to each other.
const MAX_FULL_SAMPLE_HOSTS: f64 = 45.0;

/// Returns the mean share of sessions on the canary version over the time before the cutover.
pub fn full_sample_share(bound: Share) -> f64 {
    (bound.0 * SAMPLE_BOUND_FRACTION).min(MAX_SAMPLE_SHARE)
}

/// Returns the share of sessions in the initial sample for a fleet of the given size. A larger
/// fleet has more traffic, so a smaller share of the sessions is enough to judge a version.
pub fn initial_sample_share(hosts: usize, bound: Share) -> f64 {
    full_sample_share(bound) * (MAX_FULL_SAMPLE_HOSTS / hosts as f64).min(1.0)
}

/// Identity of a request for the selection of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionHash {
    /// Session of the request; `None` if it has none.
    pub session: Option<SessionKey>,
    /// Uniform hash value in [0, 1), the same on every host.
    pub hash_fraction: f64,
}

impl SessionHash {
    /// Creates the hash of a session, or of the request if it has no session.
    pub fn new(session: Option<&str>, request: &str) -> SessionHash {
        SessionHash {
            session: session.map(|name| xxh3_64(name.as_bytes()) as SessionKey),
            hash_fraction: hash_fraction("version", session.unwrap_or(request)),
        }
    }
}

/// Active sessions and request counts of one service on one host, which limit the share of a canary
/// version.
///
/// A session that is active on a stable version when a roll-out begins stays there until the
/// cutover or until the sample grows. This matters only for sessions whose hash would put them into
/// the sample, so each host remembers only recent sessions of that kind, and hosts report them to
/// each other.
#[derive(Debug, Default)]
pub struct Exposure {
    total_requests: AtomicU64,
    canary_requests: AtomicU64,
    /// Requests to the canary version that were the first attempt of a request or followed no
    /// failure.
    canary_first_attempts: AtomicU64,
    held_sessions: Mutex<HashMap<SessionKey, HeldSession>>,
    /// Whether a session began on this host that has not been reported to any other host.
    has_unreported: AtomicBool,
    extra_requests: Mutex<Option<ExtraRequests>>,
    is_inconclusive: AtomicBool,
}

/// Budget of further sessionless requests, this host's part of a roll-out's allowance.
#[derive(Debug)]
struct ExtraRequests {
    version: VersionName,
    /// Time since which the budget accrues. A host that starts during the roll-out must not spend
    /// the whole budget again.
    earning_since: Millis,
    /// Initial value in [0, 1). It varies between hosts so that the fractional budgets of many
    /// hosts add up to the whole allowance.
    initial_fraction: f64,
    spent: u32,
}

/// Session that stays on the stable versions.
#[derive(Clone, Copy, Debug)]
struct HeldSession {
    until: Millis,
    /// Hash value of the session if this host has seen it itself; `None` if it was only reported.
    hash_fraction: Option<f64>,
    /// Time of the last request on this host; 0 if the session was only reported.
    seen_at: Millis,
}

impl Exposure {
    /// Selects the release track of a request. `has_canary_endpoint` states whether the canary
    /// version has an endpoint. A session that is sent to the stable versions stays there for
    /// `hold_for`.
    pub fn choose_track(
        &self,
        now: Millis,
        session_hash: SessionHash,
        canary: Option<&CanaryView>,
        has_canary_endpoint: bool,
        hold_for: Millis,
    ) -> ReleaseTrack {
        match canary.map(|view| view.phase_at(now)) {
            Some(Phase::Moved | Phase::Done) if has_canary_endpoint => return ReleaseTrack::Canary,
            Some(Phase::Barred) => return ReleaseTrack::Stable,
            Some(Phase::Sample) => drop(self.total_requests.fetch_add(1, Ordering::Relaxed)),
            Some(Phase::Moved | Phase::Done) | None => {}
        }
        let sampled_canary =
            canary.filter(|view| has_canary_endpoint && self.is_sampled(now, session_hash, view));
        let can_switch =
            |view: &CanaryView| now >= view.sample_grows_at || !self.is_held(now, session_hash);
        if sampled_canary
            .is_some_and(|view| self.is_below_bound(view.bound.share) && can_switch(view))
        {
            return ReleaseTrack::Canary;
        }
        self.hold(now, session_hash, hold_for);
        ReleaseTrack::Stable
    }

    /// Reports whether a request belongs to the sample.
    fn is_sampled(&self, now: Millis, session_hash: SessionHash, canary: &CanaryView) -> bool {
        match session_hash.session {
            Some(_) => session_hash.hash_fraction < canary.sample_at(now),
            None if now < canary.sample_starts_at => false,
            // The bound has a reserve for attempts that continue on the canary version after the
            // stable one stops. A sessionless request leaves no such attempt, so this reserve may
            // be used while the version looks bad without enough evidence.
            None if self.is_inconclusive.load(Ordering::Relaxed)
                && session_hash.hash_fraction < canary.inconclusive_sessionless_sample =>
            {
                true
            }
            None => {
                session_hash.hash_fraction < canary.sessionless_sample
                    || self.spend_extra_request(now, session_hash, canary)
            }
        }
    }

    /// Takes one request from this host's budget of the allowance if one has accrued, and reports
    /// whether it did. The budget accrues evenly over the time of the sample.
    fn spend_extra_request(
        &self,
        now: Millis,
        session_hash: SessionHash,
        canary: &CanaryView,
    ) -> bool {
        let mut extra = self.extra_requests.lock().expect("no holder of the lock panics");
        let extra = match extra.as_mut().filter(|s| s.version == canary.version) {
            Some(extra) => extra,
            None => extra.insert(ExtraRequests {
                version: canary.version.clone(),
                earning_since: now,
                initial_fraction: session_hash.hash_fraction,
                spent: 0,
            }),
        };
        let sample_ms = (canary.cutover_at - canary.sample_starts_at).0.max(1) as f64;
        let earned = extra.initial_fraction
            + canary.extra_requests * (now - extra.earning_since).0 as f64 / sample_ms;
        let can_spend = earned >= f64::from(extra.spent + 1);
        extra.spent += u32::from(can_spend);
        can_spend
    }

    /// Records whether the version under roll-out looks bad without enough evidence.
    pub fn set_inconclusive(&self, is_inconclusive: bool) {
        self.is_inconclusive.store(is_inconclusive, Ordering::Relaxed);
    }

    /// Counts a request sent to the canary version. `has_failed` states whether an earlier attempt
    /// of the request failed at an endpoint.
    pub fn record_canary_attempt(&self, has_failed: bool) {
        self.canary_requests.fetch_add(1, Ordering::Relaxed);
        self.canary_first_attempts.fetch_add(u64::from(!has_failed), Ordering::Relaxed);
    }

    /// Returns the number of requests sent to the canary version that had no failed attempt before.
    pub fn canary_first_attempts(&self) -> u64 {
        self.canary_first_attempts.load(Ordering::Relaxed)
    }

    /// Records that a session is active on a stable version.
    pub fn hold(&self, now: Millis, session_hash: SessionHash, hold_for: Millis) {
        if let Some(session) =
            session_hash.session.filter(|_| session_hash.hash_fraction < MAX_SAMPLE_SHARE)
        {
            let held = HeldSession {
                until: now + hold_for,
                hash_fraction: Some(session_hash.hash_fraction),
                seen_at: now,
            };
            let mut sessions = self.held_sessions.lock().expect("no holder of the lock panics");
            if sessions.get(&session).is_none_or(|known| now >= known.until) {
                self.has_unreported.store(true, Ordering::Relaxed);
            }
            let session_hold = sessions.entry(session).or_insert(held);
            *session_hold = HeldSession { until: session_hold.until.max(held.until), ..held };
        }
    }

    /// Records sessions that another host reported.
    pub fn hold_reported(&self, now: Millis, reports: &[SessionReport]) {
        let mut sessions = self.held_sessions.lock().expect("no holder of the lock panics");
        for report in reports {
            let until = now + Millis(u64::from(report.remaining_steps) * HOLD_STEP_MS);
            let held = sessions.entry(report.session).or_insert(HeldSession {
                until,
                hash_fraction: None,
                seen_at: Millis(0),
            });
            held.until = held.until.max(until);
        }
    }

    /// Reports whether a session began on this host that has not been reported yet, and would be
    /// forgotten if the host stopped now.
    pub fn has_unreported(&self) -> bool {
        self.has_unreported.load(Ordering::Relaxed)
    }

    /// Returns the reports of active sessions, both seen on this host and received from others,
    /// that matter for a roll-out with the given sample share. Removes expired sessions.
    pub fn reports(&self, now: Millis, sample: f64) -> Vec<SessionReport> {
        self.collect_reports(now, |held| {
            held.hash_fraction.is_none_or(|fraction| fraction < sample)
        })
    }

    /// Returns the reports of sessions seen recently on this host, for a later roll-out with any
    /// sample share. They are sent early because this host may have stopped by then.
    pub fn recent_reports(&self, now: Millis) -> Vec<SessionReport> {
        self.collect_reports(now, |held| {
            held.hash_fraction.is_some() && now < held.seen_at + SESSION_REPORT_PERIOD
        })
    }

    fn collect_reports(
        &self,
        now: Millis,
        is_reported: impl Fn(&HeldSession) -> bool,
    ) -> Vec<SessionReport> {
        self.has_unreported.store(false, Ordering::Relaxed);
        let mut sessions = self.held_sessions.lock().expect("no holder of the lock panics");
        sessions.retain(|_, held| now < held.until);
        let report_of = |(session, held): (&SessionKey, &HeldSession)| {
            // Rounded down so that a report that is passed on many times still expires.
            let remaining_steps = (held.until - now).0 / HOLD_STEP_MS;
            SessionReport {
                session: *session,
                remaining_steps: u16::try_from(remaining_steps).unwrap_or(u16::MAX),
            }
        };
        let mut reports: Vec<SessionReport> =
            sessions.iter().filter(|(_, held)| is_reported(held)).map(report_of).collect();
        reports.retain(|r| r.remaining_steps > 0);
        reports.sort_by_key(|r| std::cmp::Reverse((r.remaining_steps, r.session)));
        reports.truncate(MAX_SESSIONS_PER_MESSAGE);
        reports
    }

    fn is_held(&self, now: Millis, session_hash: SessionHash) -> bool {
        let sessions = self.held_sessions.lock().expect("no holder of the lock panics");
        session_hash.session.and_then(|s| sessions.get(&s)).is_some_and(|held| now < held.until)
    }

    /// Reports whether this host may send one more request to a version with the given exposure
    /// bound.
    pub fn is_below_bound(&self, bound: Share) -> bool {
        let max_requests =
            self.total_requests.load(Ordering::Relaxed) as f64 * bound.0 * HOST_BOUND_FRACTION;
        self.canary_requests.load(Ordering::Relaxed) < max_requests as u64 + FREE_REQUESTS_PER_HOST
    }
}
