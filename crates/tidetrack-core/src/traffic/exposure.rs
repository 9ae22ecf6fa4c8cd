//! Which sessions meet a new version before all of them do.
//!
//! What hosts tell each other of sessions is passed on by whoever hears it, so it reaches a large
//! fleet in a few rounds; to keep that small, the sample shrinks as the fleet grows. Requests that
//! belong to no session need no such word: their share is the same in every fleet, and of the
//! requests that a version may get beyond its share each host has a part for them, so that a
//! service with few requests shows how its version does.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::VersionName;
use crate::placement::draw;
use crate::traffic::canary::{CanaryView, Phase, ReleaseTrack};
use crate::units::{Millis, Share};

/// Largest share of sessions on the new version before all move.
pub const MAX_SAMPLE_SHARE: f64 = 0.07;

/// Part of the bound on a version's requests that the sample is: a host hardly ever meets its own share of
/// the bound and has to move a session off the new version for it, and half of the bound is left for the end.
const SAMPLE_BOUND_FRACTION: f64 = 0.4;

/// Part of the allowance that is spent on the sample; the rest is for what hosts count apart.
const SAMPLE_ALLOWANCE_FRACTION: f64 = 0.8;

/// Part of the bound that each host keeps its own requests to.
const HOST_BOUND_FRACTION: f64 = 0.93;

/// Requests that a host may send to the new version before the share counts.
const FREE_REQUESTS: u64 = 6;

/// Sessions that one message tells at most: about 1 KB.
const MAX_SESSIONS_PER_MESSAGE: usize = 200;

/// Steps in which messages tell how long a session is still held, in milliseconds.
const HOLD_STEP_MS: u64 = 100;

/// How long a host tells others of a request of a session, while no version is under roll-out: a few rounds.
/// Otherwise what a host knew of sessions at work would end with it, and the next order would part them.
const RECENT_PERIOD: Millis = Millis(1_000);

/// Names a session in messages.
pub type SessionKey = u32;

/// How many of a service's requests a version under roll-out may get before its deadline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// Share of all requests from the order on.
    pub share: Share,
    /// Requests beyond that share, over all hosts.
    pub allowance: u32,
}

impl ExposureBound {
    /// Gets one host's part of the allowance, in a fleet of so many.
    pub fn extra_requests(&self, hosts: usize) -> f64 {
        f64::from(self.allowance) * SAMPLE_ALLOWANCE_FRACTION / hosts.max(1) as f64
    }
}

/// A session that stays on the proven versions, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionReport {
    /// The session.
    pub session: SessionKey,
    /// How much longer it stays there, in steps of a tenth of a second.
    pub remaining_steps: u16,
}

/// Hosts up to which the sample is the largest: a larger fleet with few requests each would see too little of a slow
/// version, one with many would tell each other too many sessions.
const MAX_FULL_SAMPLE_HOSTS: f64 = 45.0;

/// Gets the share of sessions that meet a new version before all move, over the whole of that time.
pub fn full_sample_share(bound: Share) -> f64 {
    (bound.0 * SAMPLE_BOUND_FRACTION).min(MAX_SAMPLE_SHARE)
}

/// Gets the share of sessions that meet a new version first, in a fleet of so many hosts: the more
/// hosts, the more traffic, and the fewer sessions show how a version does.
pub fn initial_sample_share(hosts: usize, bound: Share) -> f64 {
    full_sample_share(bound) * (MAX_FULL_SAMPLE_HOSTS / hosts as f64).min(1.0)
}

/// Who a request belongs to, for the draw of versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionHash {
    /// The session; `None` for a request that stands alone.
    pub session: Option<SessionKey>,
    /// Its draw, from 0 up to 1; the same at every host.
    pub hash_fraction: f64,
}

impl SessionHash {
    /// Draws for a session, or for a request that has none.
    pub fn new(session: Option<&str>, request: &str) -> SessionHash {
        SessionHash {
            session: session.map(|name| xxh3_64(name.as_bytes()) as SessionKey),
            hash_fraction: draw("version", session.unwrap_or(request)),
        }
    }
}

/// Sessions and counts of one service at one host, for the share of a new version.
///
/// A session that is at work on a proven version when a roll-out begins must stay there until all move.
/// Only sessions whose draw would move them matter, so each host remembers just those it saw of late, and
/// the hosts tell them to each other until then.
#[derive(Debug, Default)]
pub struct Exposure {
    total_requests: AtomicU64,
    canary_requests: AtomicU64,
    /// Those of the new version's that had not failed before.
    canary_first_attempts: AtomicU64,
    held_sessions: Mutex<HashMap<SessionKey, HeldSession>>,
    /// Whether a session began here that no other host was told of.
    has_unreported: AtomicBool,
    extra_requests: Mutex<Option<ExtraRequests>>,
    is_inconclusive: AtomicBool,
}

/// This host's part of a roll-out's allowance, as far as it was taken.
#[derive(Debug)]
struct ExtraRequests {
    version: VersionName,
    /// When this host began to earn it: one that started in between must not take all of it again.
    earning_since: Millis,
    /// What it began with, from 0 up to 1, so that the parts of many hosts make up the whole.
    initial_fraction: f64,
    spent: u32,
}

/// A session that stays on the proven versions.
#[derive(Clone, Copy, Debug)]
struct HeldSession {
    until: Millis,
    /// Its draw, if this host saw the session itself.
    hash_fraction: Option<f64>,
    /// When this host saw it last.
    seen_at: Millis,
}

impl Exposure {
    /// Decides where a request goes. `has_canary_endpoint` tells whether the new version has an endpoint. A session
    /// that is sent to the proven versions stays there for `hold_for`.
    pub fn choose_track(
        &self,
        now: Millis,
        session_hash: SessionHash,
        canary: Option<&CanaryView>,
        has_canary_endpoint: bool,
        hold_for: Millis,
    ) -> ReleaseTrack {
        match canary.map(|view| view.phase_at(now)) {
            Some(Phase::Moved | Phase::Done) => return ReleaseTrack::Canary,
            Some(Phase::Barred) => return ReleaseTrack::Stable,
            Some(Phase::Sample) => drop(self.total_requests.fetch_add(1, Ordering::Relaxed)),
            None => {}
        }
        let sampled =
            canary.filter(|view| has_canary_endpoint && self.is_sampled(now, session_hash, view));
        let may_switch =
            |view: &CanaryView| now >= view.sample_grows_at || !self.is_held(now, session_hash);
        if sampled.is_some_and(|view| self.is_below_bound(view.bound.share) && may_switch(view)) {
            return ReleaseTrack::Canary;
        }
        self.hold(now, session_hash, hold_for);
        ReleaseTrack::Stable
    }

    /// Tells whether a request belongs to the sample.
    fn is_sampled(&self, now: Millis, session_hash: SessionHash, canary: &CanaryView) -> bool {
        match session_hash.session {
            Some(_) => session_hash.hash_fraction < canary.sample_at(now),
            None if now < canary.sample_starts_at => false,
            // Such a request leaves no run behind that would go on at the new version, so a version in doubt may
            // get what is kept for those, too.
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

    /// Takes one request of this host's part of the allowance, if it has earned one: it does so evenly over the
    /// time of the sample.
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

    /// Takes note of whether the version under roll-out looks bad, but not clearly so.
    pub fn set_inconclusive(&self, is_inconclusive: bool) {
        self.is_inconclusive.store(is_inconclusive, Ordering::Relaxed);
    }

    /// Counts a request sent to the new version, for which an endpoint may have failed before.
    pub fn record_canary_attempt(&self, has_failed: bool) {
        self.canary_requests.fetch_add(1, Ordering::Relaxed);
        self.canary_first_attempts.fetch_add(u64::from(!has_failed), Ordering::Relaxed);
    }

    /// Gets the requests sent to the new version so far that had not failed before.
    pub fn canary_first_attempts(&self) -> u64 {
        self.canary_first_attempts.load(Ordering::Relaxed)
    }

    /// Takes note that a session is at work on a proven version.
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
            let known = sessions.entry(session).or_insert(held);
            *known = HeldSession { until: known.until.max(held.until), ..held };
        }
    }

    /// Takes sessions that another host tells.
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

    /// Tells whether a session began here that no other host was told of: what this host knows would end with it.
    pub fn has_unreported(&self) -> bool {
        self.has_unreported.load(Ordering::Relaxed)
    }

    /// Lists the sessions to tell other hosts, those seen here and those heard of, when a roll-out's
    /// sample is `sample`; forgets those that have ended.
    pub fn reports(&self, now: Millis, sample: f64) -> Vec<SessionReport> {
        self.collect_reports(now, |held| {
            held.hash_fraction.is_none_or(|fraction| fraction < sample)
        })
    }

    /// Lists the sessions that were seen here of late, for a roll-out with any sample: by the time it begins this
    /// host may have ended.
    pub fn recent_reports(&self, now: Millis) -> Vec<SessionReport> {
        self.collect_reports(now, |held| {
            held.hash_fraction.is_some() && now < held.seen_at + RECENT_PERIOD
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
            // Rounded down: what is passed on many times must not live for ever.
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

    /// Tells whether one more of this host's requests may meet a version that is held to a bound.
    pub fn is_below_bound(&self, bound: Share) -> bool {
        let max_requests =
            self.total_requests.load(Ordering::Relaxed) as f64 * bound.0 * HOST_BOUND_FRACTION;
        self.canary_requests.load(Ordering::Relaxed) < max_requests as u64 + FREE_REQUESTS
    }
}
