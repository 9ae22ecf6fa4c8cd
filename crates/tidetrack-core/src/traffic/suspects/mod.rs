//! Requests under which endpoints crash.
//!
//! Some requests crash every endpoint that begins to run them, and come again at any host. A bound on the retries
//! of one request at one host does not hold them: what has to be known is how many endpoints ended under a request
//! in all, at all hosts together. So hosts tell each other which endpoints ended under which fingerprint, and a
//! request takes no more runs anywhere once a few have.
//!
//! Requests that merely ran beside such a one must not be refused for it, and endpoints crash for other reasons
//! too. A run that comes to its end clears a request, here and at all hosts; crashes that a barred request explains
//! count against no other; and endpoints of one failure domain that end at the same moment count as one.
//!
//! The room is fixed, each caller has a part of it, and everything is forgotten after a time.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::codes::Code;
use crate::errors::{Error, Result};
use crate::ids::{EndpointId, EndpointKey, FailureDomain};
use crate::traffic::fingerprint::Fingerprint;
use crate::traffic::gossip::{is_news, is_told_again, news_then_rest};
use crate::units::Millis;

mod reports;

pub use reports::{Change, ToldCrash, ToldSuspect};

/// Crashes from which a request runs at one place at a time on a host.
const ALONE_FROM: usize = 2;

/// When to come back for a request that is under suspicion and runs already, in milliseconds.
const RETRY_ALONE_MS: u64 = 1_000;

/// Crashes of one endpoint within this time are one crash that several hosts saw: what is told ages on its way.
const SAME_CRASH: Millis = Millis(2_000);

/// Endpoints of a failure domain that end within this time have a cause in common.
const SAME_MOMENT: Millis = Millis(300);

/// Crashes that are remembered of one request.
const MOST_CRASHES: usize = 16;

/// Crashes that are told of one request.
const CRASHES_TOLD: usize = 6;

/// Requests that one message tells at most.
pub const MOST_TOLD: usize = 16;

/// Requests that the answer to a host's first message tells at most: it has to know them before it sends.
pub const FIRST_TOLD: usize = 24;

/// Fingerprints of runs that ended well, in each of two halves that take turns.
const MOST_RECENT: usize = 2_048;

/// How suspicion is handled. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SuspectOptions {
    /// Crashes from which a request is barred.
    pub barred_from: usize,
    /// How long it is barred after the last crash. What made endpoints crash may have been mended by then, so one copy
    /// at a time runs again; the next crash bars it anew.
    pub barred_for: Millis,
    /// How long a request is remembered after the last crash.
    pub kept_for: Millis,
    /// How long a cleared request is under no new suspicion.
    pub cleared_for: Millis,
    /// Requests that are remembered.
    pub most: usize,
    /// Those of one caller.
    pub most_of_caller: usize,
}

impl Default for SuspectOptions {
    fn default() -> SuspectOptions {
        SuspectOptions {
            barred_from: 3,
            barred_for: Millis(600_000),
            kept_for: Millis(3_600_000),
            cleared_for: Millis(60_000),
            most: 1_024,
            most_of_caller: 128,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    endpoint: EndpointKey,
    domain: u16,
    /// When the request had been sent there.
    sent_at: Millis,
    at: Millis,
}

impl Crash {
    fn is_same(&self, other: &Crash) -> bool {
        self.endpoint == other.endpoint && apart(self.at, other.at) <= SAME_CRASH
    }

    /// Tells whether both endpoints may have ended for one reason beside the request. A send that followed the first
    /// end speaks against that.
    fn has_common_cause(&self, other: &Crash) -> bool {
        let overlap = self.sent_at < other.at && other.sent_at < self.at;
        overlap && self.domain == other.domain && apart(self.at, other.at) <= SAME_MOMENT
    }
}

fn apart(a: Millis, b: Millis) -> Millis {
    Millis(a.0.abs_diff(b.0))
}

fn age_ms(now: Millis, at: Millis) -> u32 {
    u32::try_from((now - at).0).unwrap_or(u32::MAX)
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    /// In the order in which they became known.
    crashes: Vec<Crash>,
    cleared_at: Option<Millis>,
    /// When this host learned something new of it.
    changed_at: Millis,
    /// Whether so many crashes count against it that it is barred for a time after the last one.
    is_barred: bool,
}

impl Suspect {
    /// Adds a crash; tells whether it was not known.
    fn add(&mut self, crash: Crash) -> bool {
        if self.crashes.iter().any(|known| known.is_same(&crash)) {
            return false;
        }
        if self.crashes.len() >= MOST_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Gets when an endpoint last ended under it.
    fn last_at(&self) -> Millis {
        self.crashes.iter().map(|c| c.at).max().unwrap_or_default()
    }

    /// Gets what may be told of it at `now`.
    fn told(&self, now: Millis, fingerprint: Fingerprint) -> ToldSuspect {
        let newest = self.crashes.iter().rev().take(CRASHES_TOLD);
        let told = |c: &Crash| ToldCrash {
            endpoint: c.endpoint,
            domain: c.domain,
            ran_ms: age_ms(c.at, c.sent_at),
            ago_ms: age_ms(now, c.at),
        };
        ToldSuspect {
            fingerprint,
            crashes: newest.map(told).collect(),
            cleared_ms: self.cleared_at.map(|at| age_ms(now, at)),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Requests that are being served, and how many copies of each.
    running: HashMap<Fingerprint, u32>,
    /// Requests of which a run came to its end of late, in two halves.
    recent: [HashSet<Fingerprint>; 2],
    changes: Vec<Change>,
    /// Place of the next barred request to be told again.
    turn: usize,
}

/// What a host knows of requests under which endpoints crashed, its own and what others tell.
#[derive(Debug, Default)]
pub struct Suspects {
    opts: SuspectOptions,
    state: Mutex<State>,
    has_untold: AtomicBool,
}

/// A request that is being served, until dropped.
#[derive(Debug)]
pub struct Running {
    suspects: Arc<Suspects>,
    fingerprint: Fingerprint,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.suspects.state();
        if let Some(copies) = state.running.get_mut(&self.fingerprint) {
            *copies -= 1;
            if *copies == 0 {
                state.running.remove(&self.fingerprint);
            }
        }
    }
}

impl Suspects {
    /// Makes a memory with other options.
    pub fn new(opts: SuspectOptions) -> Suspects {
        Suspects { opts, ..Suspects::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Admits a request unless it is barred, or runs here already and is close to that.
    pub fn admit(self: &Arc<Self>, now: Millis, fingerprint: Fingerprint) -> Result<Running> {
        let mut state = self.state();
        let crashes = self.check_in(&state, now, fingerprint)?;
        let copies = state.running.entry(fingerprint).or_default();
        if crashes >= ALONE_FROM && *copies > 0 {
            let text = format!(
                "endpoints crashed {crashes} times while they ran request {fingerprint}, and it runs already"
            );
            return Err(Error::new(Code::SuspectRuns, text).with_retry_after(RETRY_ALONE_MS));
        }
        *copies += 1;
        Ok(Running { suspects: self.clone(), fingerprint })
    }

    /// Checks, before each send, that a request is not barred.
    pub fn check(&self, now: Millis, fingerprint: Fingerprint) -> Result<()> {
        self.check_in(&self.state(), now, fingerprint).map(drop)
    }

    /// Checks the same; gets the crashes that count against the request.
    fn check_in(&self, state: &State, now: Millis, fingerprint: Fingerprint) -> Result<usize> {
        let Some(suspect) = state.suspects.get(&fingerprint) else { return Ok(0) };
        let crashes = self.crashes(state, now, fingerprint);
        if crashes < self.opts.barred_from || now >= suspect.last_at() + self.opts.barred_for {
            return Ok(crashes);
        }
        let text = format!(
            "endpoints crashed {crashes} times while they ran request {fingerprint}; it is not run any more"
        );
        Err(Error::new(Code::CrashesEndpoints, text))
    }

    /// Takes note that an endpoint ended while it ran a request that was sent there at `sent_at`; gets the crashes
    /// that count against the request.
    pub fn crashed(
        &self,
        now: Millis,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
        domain: &FailureDomain,
        sent_at: Millis,
    ) -> usize {
        let domain = xxh3_64(domain.as_str().as_bytes()) as u16;
        let crash = Crash { endpoint: EndpointKey::from(endpoint), domain, sent_at, at: now };
        let mut state = self.state();
        if state.has_ended_well(&fingerprint) {
            return 0;
        }
        let suspect = self.entry(&mut state, fingerprint);
        if suspect.add(crash) {
            suspect.changed_at = now;
            self.has_untold.store(true, Ordering::Relaxed);
        }
        self.look(&mut state, now);
        self.crashes(&state, now, fingerprint)
    }

    /// Takes note that a run of a request came to its end.
    pub fn ended_well(&self, now: Millis, fingerprint: Fingerprint) {
        let mut state = self.state();
        if state.recent[0].len() >= MOST_RECENT {
            state.recent.swap(0, 1);
            state.recent[0].clear();
        }
        state.recent[0].insert(fingerprint);
        if state.suspects.contains_key(&fingerprint) {
            self.clear(&mut state, now, now, fingerprint);
        }
    }

    /// Clears a request that is remembered, as of `at`.
    fn clear(&self, state: &mut State, now: Millis, at: Millis, fingerprint: Fingerprint) {
        let Some(suspect) = state.suspects.get_mut(&fingerprint) else { return };
        if suspect.cleared_at.is_some() {
            return;
        }
        suspect.cleared_at = Some(at);
        suspect.changed_at = now;
        suspect.is_barred = false;
        state.changes.push(Change::Cleared(fingerprint));
        self.has_untold.store(true, Ordering::Relaxed);
    }

    /// Takes what another host tells.
    pub fn hear(&self, now: Millis, told: &[ToldSuspect]) {
        if told.is_empty() {
            return;
        }
        let mut state = self.state();
        for told in told {
            self.hear_one(&mut state, now, told);
        }
        self.look(&mut state, now);
    }

    fn hear_one(&self, state: &mut State, now: Millis, told: &ToldSuspect) {
        let ago = |ms: u32| Millis(now.0.saturating_sub(u64::from(ms)));
        let newest = told.crashes.iter().map(|c| ago(c.ago_ms)).max();
        let is_old = newest.is_none_or(|at| now >= at + self.opts.kept_for);
        if is_old && !state.suspects.contains_key(&told.fingerprint) {
            return;
        }
        let suspect = self.entry(state, told.fingerprint);
        let mut is_news = false;
        for told in told.crashes.iter().rev() {
            let (endpoint, domain, at) = (told.endpoint, told.domain, ago(told.ago_ms));
            let sent_at = Millis(at.0.saturating_sub(u64::from(told.ran_ms)));
            is_news |= suspect.add(Crash { endpoint, domain, sent_at, at });
        }
        if is_news {
            suspect.changed_at = now;
            self.has_untold.store(true, Ordering::Relaxed);
        }
        let cleared_at = match told.cleared_ms.map(ago) {
            None if state.has_ended_well(&told.fingerprint) => Some(now),
            at => at.filter(|at| now < *at + self.opts.cleared_for),
        };
        if let Some(at) = cleared_at {
            self.clear(state, now, at, told.fingerprint);
        }
    }

    /// Tells whether something is known here that no other host was told of.
    pub fn has_untold(&self) -> bool {
        self.has_untold.load(Ordering::Relaxed)
    }

    /// Tells whether something became known here of late that others may not know.
    pub fn has_news(&self, now: Millis) -> bool {
        self.state().suspects.values().any(|s| is_news(now, s.changed_at))
    }

    /// Lists what to tell other hosts in a round: what is new, and now and then what is barred, for hosts that missed
    /// it.
    pub fn told(&self, now: Millis) -> Vec<ToldSuspect> {
        self.tell(now, MOST_TOLD, |fingerprint| is_told_again(now, fingerprint.hash_start()))
    }

    /// Lists up to `most` requests to tell one other host: what is new, then barred ones in turn.
    pub fn told_to_one(&self, now: Millis, most: usize) -> Vec<ToldSuspect> {
        self.tell(now, most, |_| true)
    }

    fn tell(
        &self,
        now: Millis,
        most: usize,
        is_told: impl Fn(&Fingerprint) -> bool,
    ) -> Vec<ToldSuspect> {
        self.has_untold.store(false, Ordering::Relaxed);
        let mut state = self.state();
        self.forget(&mut state, now);
        let mut fresh: Vec<(&Fingerprint, &Suspect)> = Vec::new();
        let mut barred: Vec<(&Fingerprint, &Suspect)> = Vec::new();
        for (fingerprint, suspect) in &state.suspects {
            if is_news(now, suspect.changed_at) {
                fresh.push((fingerprint, suspect));
            } else if suspect.is_barred && is_told(fingerprint) {
                barred.push((fingerprint, suspect));
            }
        }
        fresh.sort_by_key(|(fingerprint, s)| {
            std::cmp::Reverse((s.is_barred, s.crashes.len(), s.changed_at, **fingerprint))
        });
        barred.sort_by_key(|(fingerprint, _)| **fingerprint);
        let mut turn = state.turn;
        let all = news_then_rest(&fresh, &barred, most, &mut turn);
        let told = all.iter().map(|(fingerprint, s)| s.told(now, **fingerprint)).collect();
        state.turn = turn;
        told
    }

    /// Gets what changed since the last call, for the log.
    pub fn take_changes(&self) -> Vec<Change> {
        std::mem::take(&mut self.state().changes)
    }

    /// Counts the requests that are remembered.
    pub fn len(&self) -> usize {
        self.state().suspects.len()
    }

    /// Tells whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Gets the entry of a request, in the place of another one if there is no room.
    fn entry<'a>(&self, state: &'a mut State, fingerprint: Fingerprint) -> &'a mut Suspect {
        if !state.suspects.contains_key(&fingerprint) {
            let caller = fingerprint.caller();
            let is_own = |f: &Fingerprint| f.caller() == caller;
            let own = state.suspects.keys().filter(|f| is_own(f)).count();
            if own >= self.opts.most_of_caller {
                state.evict(is_own);
            } else if state.suspects.len() >= self.opts.most {
                // Whoever has most of the room gives way.
                let mut of_callers: HashMap<u32, usize> = HashMap::new();
                for f in state.suspects.keys() {
                    *of_callers.entry(f.caller()).or_default() += 1;
                }
                let largest = of_callers.into_iter().max_by_key(|(caller, n)| (*n, *caller));
                let largest = largest.map(|(caller, _)| caller);
                state.evict(|f| Some(f.caller()) == largest);
            }
        }
        state.suspects.entry(fingerprint).or_default()
    }

    /// Counts the crashes that speak against a request.
    fn crashes(&self, state: &State, now: Millis, fingerprint: Fingerprint) -> usize {
        let Some(suspect) = state.suspects.get(&fingerprint) else { return 0 };
        if self.has_lapsed(suspect, now) || suspect.cleared_at.is_some() {
            return 0;
        }
        // A single crash bars nothing, so what else explains it does not matter.
        if suspect.crashes.len() < ALONE_FROM {
            return suspect.crashes.len();
        }
        // One that ran beside a barred request saw a part of what that one did.
        let is_larger =
            |other: &&Suspect| other.is_barred && other.crashes.len() > suspect.crashes.len();
        let others: Vec<&Suspect> = state.suspects.values().filter(is_larger).collect();
        let mut counted: Vec<&Crash> = Vec::new();
        for crash in &suspect.crashes {
            let is_same = |other: &&Suspect| other.crashes.iter().any(|c| c.is_same(crash));
            let is_explained = others.iter().any(is_same);
            if !is_explained && !counted.iter().any(|c| c.has_common_cause(crash)) {
                counted.push(crash);
            }
        }
        counted.len()
    }

    fn has_lapsed(&self, suspect: &Suspect, now: Millis) -> bool {
        now >= suspect.last_at() + self.opts.kept_for
    }

    /// Finds requests that are barred by what is known now, and those that no longer are.
    fn look(&self, state: &mut State, now: Millis) {
        let may_change = |s: &Suspect| s.is_barred || s.crashes.len() >= self.opts.barred_from;
        let all = state.suspects.iter().filter(|(_, s)| may_change(s));
        let all: Vec<Fingerprint> = all.map(|(f, _)| *f).collect();
        for fingerprint in all {
            let crashes = self.crashes(state, now, fingerprint);
            let is_barred = crashes >= self.opts.barred_from;
            let Some(suspect) = state.suspects.get_mut(&fingerprint) else { continue };
            if is_barred && !suspect.is_barred {
                state.changes.push(Change::Barred { fingerprint, crashes });
            } else if suspect.is_barred && !is_barred && suspect.cleared_at.is_none() {
                state.changes.push(Change::Cleared(fingerprint));
            }
            suspect.is_barred = is_barred;
        }
    }

    fn forget(&self, state: &mut State, now: Millis) {
        state.suspects.retain(|_, suspect| {
            let is_past = |at: Millis| now >= at + self.opts.cleared_for;
            !self.has_lapsed(suspect, now) && !suspect.cleared_at.is_some_and(is_past)
        });
    }
}

impl State {
    fn has_ended_well(&self, fingerprint: &Fingerprint) -> bool {
        self.recent.iter().any(|half| half.contains(fingerprint))
    }

    /// Forgets the entry that matters least of some.
    fn evict(&mut self, is_meant: impl Fn(&Fingerprint) -> bool) {
        let meant = self.suspects.iter().filter(|(f, _)| is_meant(f));
        let least = meant.min_by_key(|(f, s)| (s.is_barred, s.crashes.len(), s.last_at(), **f));
        if let Some(fingerprint) = least.map(|(f, _)| *f) {
            self.suspects.remove(&fingerprint);
        }
    }
}
