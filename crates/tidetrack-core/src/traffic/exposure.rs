//! Which sessions meet a new version in a roll-out's first half.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use xxhash_rust::xxh3::xxh3_64;

use crate::placement::draw;
use crate::traffic::trial::{Phase, Side, TrialView};
use crate::units::Millis;

/// Share of sessions on the new version in the first half: half of the usual bound of 0.15, so that a
/// host hardly ever meets the bound below and has to move a session off the new version for it.
const FIRST_SHARE: f64 = 0.07;

/// Share of a host's requests that may meet the new version in the first half.
const MOST_SHARE: f64 = 0.14;

/// Requests that a host may send to the new version before the share counts.
const FREE_EXPOSURE: u64 = 6;

/// Sessions that one message tells at most.
const MOST_TOLD: usize = 200;

/// Names a session in messages.
pub type SessionKey = u32;

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
            draw: draw("version", session.unwrap_or(request)),
        }
    }
}

/// Sessions and counts of one service at one host, for the share of a new version.
///
/// A session that is at work on a proven version when a roll-out begins must stay there in its first
/// half. Only sessions whose draw would move them matter, so each host remembers just those it saw
/// of late, and the hosts tell them to each other while a roll-out is in its first half.
#[derive(Debug, Default)]
pub struct Exposure {
    all: AtomicU64,
    new: AtomicU64,
    held: Mutex<HashMap<SessionKey, Held>>,
}

/// A session that stays on the proven versions.
#[derive(Clone, Copy, Debug)]
struct Held {
    until: Millis,
    /// Whether this host saw it itself, and so tells it to others.
    is_own: bool,
}

impl Exposure {
    /// Decides where a request goes. `can_try` tells whether the new version has an endpoint.
    pub fn side(
        &self,
        now: Millis,
        who: SessionDraw,
        trial: Option<&TrialView>,
        can_try: bool,
        session_time: Millis,
    ) -> Side {
        match trial.map(|t| t.phase) {
            Some(Phase::Moved | Phase::Done) => return Side::New,
            Some(Phase::Barred) => return Side::Proven,
            Some(Phase::Sample) => drop(self.all.fetch_add(1, Ordering::Relaxed)),
            None => {}
        }
        if who.draw >= FIRST_SHARE {
            return Side::Proven;
        }
        let is_open = can_try && trial.is_some_and(|t| now >= t.sample_from);
        if is_open && self.has_room() && !self.is_held(now, who) {
            return Side::New;
        }
        self.hold(now, who, session_time);
        Side::Proven
    }

    /// Counts a request sent to the new version.
    pub fn sent_to_new(&self) {
        self.new.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes note that a session is at work on a proven version.
    pub fn hold(&self, now: Millis, who: SessionDraw, session_time: Millis) {
        if let Some(session) = who.session.filter(|_| who.draw < FIRST_SHARE) {
            let held = Held { until: now + session_time, is_own: true };
            self.held.lock().expect("no holder of the lock panics").insert(session, held);
        }
    }

    /// Takes sessions that another host tells.
    pub fn hold_told(&self, now: Millis, sessions: &[SessionKey], session_time: Millis) {
        let mut all = self.held.lock().expect("no holder of the lock panics");
        for session in sessions {
            let held = all.entry(*session).or_insert(Held { until: now, is_own: false });
            held.until = held.until.max(now + session_time);
        }
    }

    /// Lists the sessions that this host saw itself, and forgets those that have ended.
    pub fn own_held(&self, now: Millis) -> Vec<SessionKey> {
        let mut all = self.held.lock().expect("no holder of the lock panics");
        all.retain(|_, held| now < held.until);
        all.iter().filter(|(_, h)| h.is_own).map(|(s, _)| *s).take(MOST_TOLD).collect()
    }

    fn is_held(&self, now: Millis, who: SessionDraw) -> bool {
        let all = self.held.lock().expect("no holder of the lock panics");
        who.session.and_then(|s| all.get(&s)).is_some_and(|held| now < held.until)
    }

    fn has_room(&self) -> bool {
        let all = self.all.load(Ordering::Relaxed) as f64;
        self.new.load(Ordering::Relaxed) < (all * MOST_SHARE) as u64 + FREE_EXPOSURE
    }
}
