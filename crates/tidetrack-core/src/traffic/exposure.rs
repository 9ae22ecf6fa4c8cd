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
use crate::placement::hash_fraction;
use crate::traffic::trial::{Phase, Side, TrialView};
use crate::units::{Millis, Share};

/// Largest share of sessions on the new version before all move.
pub const MOST_SAMPLED: f64 = 0.07;

/// Part of the bound on a version's requests that the sample is: a host hardly ever meets its own share of
/// the bound and has to move a session off the new version for it, and half of the bound is left for the end.
const SAMPLED_PART: f64 = 0.4;

/// Part of the allowance that is spent on the sample; the rest is for what hosts count apart.
const ALLOWANCE_PART: f64 = 0.8;

/// Part of the bound that each host keeps its own requests to.
const KEPT_PART: f64 = 0.93;

/// Requests that a host may send to the new version before the share counts.
const FREE_EXPOSURE: u64 = 6;

/// Sessions that one message tells at most: about 1 KB.
const MOST_TOLD: usize = 200;

/// Steps in which messages tell how long a session is still held, in milliseconds.
const HELD_STEP_MS: u64 = 100;

/// How long a host tells others of a request of a session, while no version is under roll-out: a few rounds.
/// Otherwise what a host knew of sessions at work would end with it, and the next order would part them.
const TOLD_FOR: Millis = Millis(1_000);

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
    pub fn spare(&self, hosts: usize) -> f64 {
        f64::from(self.allowance) * ALLOWANCE_PART / hosts.max(1) as f64
    }
}

/// A session that stays on the proven versions, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldSession {
    /// The session.
    pub session: SessionKey,
    /// How much longer it stays there, in steps of a tenth of a second.
    pub left: u16,
}

/// Hosts up to which the sample is the largest: a larger fleet with few requests each would see too little of a slow
/// version, one with many would tell each other too many sessions.
const FULL_SAMPLE_HOSTS: f64 = 45.0;

/// Gets the share of sessions that meet a new version before all move, over the whole of that time.
pub fn full_sample(bound: Share) -> f64 {
    (bound.0 * SAMPLED_PART).min(MOST_SAMPLED)
}

/// Gets the share of sessions that meet a new version first, in a fleet of so many hosts: the more
/// hosts, the more traffic, and the fewer sessions show how a version does.
pub fn sample_of(hosts: usize, bound: Share) -> f64 {
    full_sample(bound) * (FULL_SAMPLE_HOSTS / hosts as f64).min(1.0)
}

/// Who a request belongs to, for the draw of versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionDraw {
    /// The session; `None` for a request that stands alone.
    pub session: Option<SessionKey>,
    /// Its draw, from 0 up to 1; the same at every host.
    pub draw: f64,
}

impl SessionDraw {
    /// Draws for a session, or for a request that has none.
    pub fn new(session: Option<&str>, request: &str) -> SessionDraw {
        SessionDraw {
            session: session.map(|name| xxh3_64(name.as_bytes()) as SessionKey),
            draw: hash_fraction("version", session.unwrap_or(request)),
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
    all: AtomicU64,
    new: AtomicU64,
    /// Those of the new version's that had not failed before.
    new_first: AtomicU64,
    held: Mutex<HashMap<SessionKey, Held>>,
    /// Whether a session began here that no other host was told of.
    has_untold: AtomicBool,
    spare: Mutex<Option<Spare>>,
    is_doubted: AtomicBool,
}

/// This host's part of a roll-out's allowance, as far as it was taken.
#[derive(Debug)]
struct Spare {
    version: VersionName,
    /// When this host began to earn it: one that started in between must not take all of it again.
    began: Millis,
    /// What it began with, from 0 up to 1, so that the parts of many hosts make up the whole.
    first: f64,
    taken: u32,
}

/// A session that stays on the proven versions.
#[derive(Clone, Copy, Debug)]
struct Held {
    until: Millis,
    /// Its draw, if this host saw the session itself.
    draw: Option<f64>,
    /// When this host saw it last.
    seen_at: Millis,
}

impl Exposure {
    /// Decides where a request goes. `can_try` tells whether the new version has an endpoint. A session
    /// that is sent to the proven versions stays there for `hold_for`.
    pub fn side(
        &self,
        now: Millis,
        who: SessionDraw,
        trial: Option<&TrialView>,
        can_try: bool,
        hold_for: Millis,
    ) -> Side {
        match trial.map(|t| t.phase_at(now)) {
            Some(Phase::Moved | Phase::Done) => return Side::New,
            Some(Phase::Barred) => return Side::Proven,
            Some(Phase::Sample) => drop(self.all.fetch_add(1, Ordering::Relaxed)),
            None => {}
        }
        let sampled = trial.filter(|t| can_try && self.is_sampled(now, who, t));
        let may_move = |t: &TrialView| now >= t.grows_at || !self.is_held(now, who);
        if sampled.is_some_and(|t| self.has_room(t.bound.share) && may_move(t)) {
            return Side::New;
        }
        self.hold(now, who, hold_for);
        Side::Proven
    }

    /// Tells whether a request belongs to the sample.
    fn is_sampled(&self, now: Millis, who: SessionDraw, trial: &TrialView) -> bool {
        match who.session {
            Some(_) => who.draw < trial.sample_at(now),
            None if now < trial.sample_from => false,
            // Such a request leaves no run behind that would go on at the new version, so a version in doubt may
            // get what is kept for those, too.
            None if self.is_doubted.load(Ordering::Relaxed) && who.draw < trial.doubted_sample => {
                true
            }
            None => who.draw < trial.lone_sample || self.takes_spare(now, who, trial),
        }
    }

    /// Takes one request of this host's part of the allowance, if it has earned one: it does so evenly over the
    /// time of the sample.
    fn takes_spare(&self, now: Millis, who: SessionDraw, trial: &TrialView) -> bool {
        let mut spare = self.spare.lock().expect("no holder of the lock panics");
        let spare = match spare.as_mut().filter(|s| s.version == trial.version) {
            Some(spare) => spare,
            None => spare.insert(Spare {
                version: trial.version.clone(),
                began: now,
                first: who.draw,
                taken: 0,
            }),
        };
        let time = (trial.moves_at - trial.sample_from).0.max(1) as f64;
        let earned = spare.first + trial.spare * (now - spare.began).0 as f64 / time;
        let has_one = earned >= f64::from(spare.taken + 1);
        spare.taken += u32::from(has_one);
        has_one
    }

    /// Takes note of whether the version under roll-out looks bad, but not clearly so.
    pub fn doubt(&self, is_doubted: bool) {
        self.is_doubted.store(is_doubted, Ordering::Relaxed);
    }

    /// Counts a request sent to the new version, for which an endpoint may have failed before.
    pub fn sent_to_new(&self, has_failed: bool) {
        self.new.fetch_add(1, Ordering::Relaxed);
        self.new_first.fetch_add(u64::from(!has_failed), Ordering::Relaxed);
    }

    /// Gets the requests sent to the new version so far that had not failed before.
    pub fn sent_first(&self) -> u64 {
        self.new_first.load(Ordering::Relaxed)
    }

    /// Takes note that a session is at work on a proven version.
    pub fn hold(&self, now: Millis, who: SessionDraw, hold_for: Millis) {
        if let Some(session) = who.session.filter(|_| who.draw < MOST_SAMPLED) {
            let held = Held { until: now + hold_for, draw: Some(who.draw), seen_at: now };
            let mut all = self.held.lock().expect("no holder of the lock panics");
            if all.get(&session).is_none_or(|known| now >= known.until) {
                self.has_untold.store(true, Ordering::Relaxed);
            }
            let known = all.entry(session).or_insert(held);
            *known = Held { until: known.until.max(held.until), ..held };
        }
    }

    /// Takes sessions that another host tells.
    pub fn hold_told(&self, now: Millis, sessions: &[ToldSession]) {
        let mut all = self.held.lock().expect("no holder of the lock panics");
        for told in sessions {
            let until = now + Millis(u64::from(told.left) * HELD_STEP_MS);
            let held =
                all.entry(told.session).or_insert(Held { until, draw: None, seen_at: Millis(0) });
            held.until = held.until.max(until);
        }
    }

    /// Tells whether a session began here that no other host was told of: what this host knows would end with it.
    pub fn has_untold(&self) -> bool {
        self.has_untold.load(Ordering::Relaxed)
    }

    /// Lists the sessions to tell other hosts, those seen here and those heard of, when a roll-out's
    /// sample is `sample`; forgets those that have ended.
    pub fn told(&self, now: Millis, sample: f64) -> Vec<ToldSession> {
        self.tell(now, |held| held.draw.is_none_or(|draw| draw < sample))
    }

    /// Lists the sessions that were seen here of late, for a roll-out with any sample: by the time it begins this
    /// host may have ended.
    pub fn told_of_late(&self, now: Millis) -> Vec<ToldSession> {
        self.tell(now, |held| held.draw.is_some() && now < held.seen_at + TOLD_FOR)
    }

    fn tell(&self, now: Millis, is_told: impl Fn(&Held) -> bool) -> Vec<ToldSession> {
        self.has_untold.store(false, Ordering::Relaxed);
        let mut all = self.held.lock().expect("no holder of the lock panics");
        all.retain(|_, held| now < held.until);
        let told = |(session, held): (&SessionKey, &Held)| {
            // Rounded down: what is passed on many times must not live for ever.
            let left = (held.until - now).0 / HELD_STEP_MS;
            ToldSession { session: *session, left: u16::try_from(left).unwrap_or(u16::MAX) }
        };
        let mut told: Vec<ToldSession> =
            all.iter().filter(|(_, held)| is_told(held)).map(told).collect();
        told.retain(|t| t.left > 0);
        told.sort_by_key(|t| std::cmp::Reverse((t.left, t.session)));
        told.truncate(MOST_TOLD);
        told
    }

    fn is_held(&self, now: Millis, who: SessionDraw) -> bool {
        let all = self.held.lock().expect("no holder of the lock panics");
        who.session.and_then(|s| all.get(&s)).is_some_and(|held| now < held.until)
    }

    /// Tells whether one more of this host's requests may meet a version that is held to a bound.
    pub fn has_room(&self, bound: Share) -> bool {
        let most = self.all.load(Ordering::Relaxed) as f64 * bound.0 * KEPT_PART;
        self.new.load(Ordering::Relaxed) < most as u64 + FREE_EXPOSURE
    }
}
