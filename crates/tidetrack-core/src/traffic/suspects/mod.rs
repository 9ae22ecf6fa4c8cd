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
use crate::traffic::gossip::{is_recent_change, is_repeat_due, select_reports};
use crate::units::Millis;

mod reports;

pub use reports::{CrashReport, SuspectChange, SuspectReport};

/// Crashes from which a request runs at one place at a time on a host.
const EXCLUSIVE_FROM_CRASHES: usize = 2;

/// When to come back for a request that is under suspicion and runs already, in milliseconds.
const EXCLUSIVE_RETRY_AFTER_MS: u64 = 1_000;

/// Crashes of one endpoint within this time are one crash that several hosts saw: what is told ages on its way.
const DUPLICATE_CRASH_WINDOW: Millis = Millis(2_000);

/// Endpoints of a failure domain that end within this time have a cause in common.
const COMMON_CAUSE_WINDOW: Millis = Millis(300);

/// Crashes that are remembered of one request.
const MAX_CRASHES_PER_SUSPECT: usize = 16;

/// Crashes that are told of one request.
const MAX_CRASHES_PER_REPORT: usize = 6;

/// Requests that one message tells at most.
pub const MAX_REPORTS_PER_MESSAGE: usize = 16;

/// Requests that the answer to a host's first message tells at most: it has to know them before it sends.
pub const MAX_REPORTS_IN_FIRST_REPLY: usize = 24;

/// Fingerprints of runs that ended well, in each of two halves that take turns.
const MAX_COMPLETED_PER_HALF: usize = 2_048;

/// How suspicion is handled. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SuspectOptions {
    /// Crashes from which a request is barred.
    #[serde(rename = "barred_from")]
    pub bar_threshold: usize,
    /// How long it is barred after the last crash. What made endpoints crash may have been mended by then, so one copy
    /// at a time runs again; the next crash bars it anew.
    #[serde(rename = "barred_for")]
    pub bar_duration: Millis,
    /// How long a request is remembered after the last crash.
    #[serde(rename = "kept_for")]
    pub retention: Millis,
    /// How long a cleared request is under no new suspicion.
    #[serde(rename = "cleared_for")]
    pub clear_duration: Millis,
    /// Requests that are remembered.
    #[serde(rename = "most")]
    pub max_suspects: usize,
    /// Those of one caller.
    #[serde(rename = "most_of_caller")]
    pub max_suspects_per_caller: usize,
}

impl Default for SuspectOptions {
    fn default() -> SuspectOptions {
        SuspectOptions {
            bar_threshold: 3,
            bar_duration: Millis(600_000),
            retention: Millis(3_600_000),
            clear_duration: Millis(60_000),
            max_suspects: 1_024,
            max_suspects_per_caller: 128,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    endpoint: EndpointKey,
    domain_hash: u16,
    /// When the request had been sent there.
    sent_at: Millis,
    crashed_at: Millis,
}

impl Crash {
    fn is_duplicate_of(&self, other: &Crash) -> bool {
        self.endpoint == other.endpoint
            && time_between(self.crashed_at, other.crashed_at) <= DUPLICATE_CRASH_WINDOW
    }

    /// Tells whether both endpoints may have ended for one reason beside the request. A send that followed the first
    /// end speaks against that.
    fn has_common_cause(&self, other: &Crash) -> bool {
        let overlap = self.sent_at < other.crashed_at && other.sent_at < self.crashed_at;
        overlap
            && self.domain_hash == other.domain_hash
            && time_between(self.crashed_at, other.crashed_at) <= COMMON_CAUSE_WINDOW
    }
}

fn time_between(a: Millis, b: Millis) -> Millis {
    Millis(a.0.abs_diff(b.0))
}

fn elapsed_ms(now: Millis, at: Millis) -> u32 {
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
    fn record_crash(&mut self, crash: Crash) -> bool {
        if self.crashes.iter().any(|known| known.is_duplicate_of(&crash)) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES_PER_SUSPECT {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Gets when an endpoint last ended under it.
    fn last_crash_at(&self) -> Millis {
        self.crashes.iter().map(|c| c.crashed_at).max().unwrap_or_default()
    }

    /// Gets what may be told of it at `now`.
    fn to_report(&self, now: Millis, fingerprint: Fingerprint) -> SuspectReport {
        let newest = self.crashes.iter().rev().take(MAX_CRASHES_PER_REPORT);
        let crash_report = |c: &Crash| CrashReport {
            endpoint: c.endpoint,
            domain_hash: c.domain_hash,
            run_ms: elapsed_ms(c.crashed_at, c.sent_at),
            age_ms: elapsed_ms(now, c.crashed_at),
        };
        SuspectReport {
            fingerprint,
            crashes: newest.map(crash_report).collect(),
            cleared_ms: self.cleared_at.map(|at| elapsed_ms(now, at)),
        }
    }
}

#[derive(Debug, Default)]
struct State {
    suspects: HashMap<Fingerprint, Suspect>,
    /// Requests that are being served, and how many copies of each.
    running_copies: HashMap<Fingerprint, u32>,
    /// Requests of which a run came to its end of late, in two halves.
    recently_completed: [HashSet<Fingerprint>; 2],
    changes: Vec<SuspectChange>,
    /// Place of the next barred request to be told again.
    next_barred: usize,
}

/// What a host knows of requests under which endpoints crashed, its own and what others tell.
#[derive(Debug, Default)]
pub struct Suspects {
    opts: SuspectOptions,
    state: Mutex<State>,
    has_unreported: AtomicBool,
}

/// A request that is being served, until dropped.
#[derive(Debug)]
pub struct RunningRequest {
    suspects: Arc<Suspects>,
    fingerprint: Fingerprint,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.suspects.state();
        if let Some(copies) = state.running_copies.get_mut(&self.fingerprint) {
            *copies -= 1;
            if *copies == 0 {
                state.running_copies.remove(&self.fingerprint);
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
    pub fn admit(
        self: &Arc<Self>,
        now: Millis,
        fingerprint: Fingerprint,
    ) -> Result<RunningRequest> {
        let mut state = self.state();
        let crashes = self.check_locked(&state, now, fingerprint)?;
        let copies = state.running_copies.entry(fingerprint).or_default();
        if crashes >= EXCLUSIVE_FROM_CRASHES && *copies > 0 {
            let message = format!(
                "endpoints crashed {crashes} times while they ran request {fingerprint}, and it runs already"
            );
            return Err(
                Error::new(Code::SuspectRuns, message).with_retry_after(EXCLUSIVE_RETRY_AFTER_MS)
            );
        }
        *copies += 1;
        Ok(RunningRequest { suspects: self.clone(), fingerprint })
    }

    /// Checks, before each send, that a request is not barred.
    pub fn check(&self, now: Millis, fingerprint: Fingerprint) -> Result<()> {
        self.check_locked(&self.state(), now, fingerprint).map(drop)
    }

    /// Checks the same; gets the crashes that count against the request.
    fn check_locked(&self, state: &State, now: Millis, fingerprint: Fingerprint) -> Result<usize> {
        let Some(suspect) = state.suspects.get(&fingerprint) else { return Ok(0) };
        let crashes = self.count_crashes(state, now, fingerprint);
        if crashes < self.opts.bar_threshold
            || now >= suspect.last_crash_at() + self.opts.bar_duration
        {
            return Ok(crashes);
        }
        let message = format!(
            "endpoints crashed {crashes} times while they ran request {fingerprint}; it is not run any more"
        );
        Err(Error::new(Code::CrashesEndpoints, message))
    }

    /// Takes note that an endpoint ended while it ran a request that was sent there at `sent_at`; gets the crashes
    /// that count against the request.
    pub fn record_crash(
        &self,
        now: Millis,
        fingerprint: Fingerprint,
        endpoint: &EndpointId,
        domain: &FailureDomain,
        sent_at: Millis,
    ) -> usize {
        let domain_hash = xxh3_64(domain.as_str().as_bytes()) as u16;
        let crash =
            Crash { endpoint: EndpointKey::from(endpoint), domain_hash, sent_at, crashed_at: now };
        let mut state = self.state();
        if state.has_completed_recently(&fingerprint) {
            return 0;
        }
        let suspect = self.entry_or_evict(&mut state, fingerprint);
        if suspect.record_crash(crash) {
            suspect.changed_at = now;
            self.has_unreported.store(true, Ordering::Relaxed);
        }
        self.reevaluate(&mut state, now);
        self.count_crashes(&state, now, fingerprint)
    }

    /// Takes note that a run of a request came to its end.
    pub fn record_completion(&self, now: Millis, fingerprint: Fingerprint) {
        let mut state = self.state();
        if state.recently_completed[0].len() >= MAX_COMPLETED_PER_HALF {
            state.recently_completed.swap(0, 1);
            state.recently_completed[0].clear();
        }
        state.recently_completed[0].insert(fingerprint);
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
        state.changes.push(SuspectChange::Cleared(fingerprint));
        self.has_unreported.store(true, Ordering::Relaxed);
    }

    /// Takes what another host tells.
    pub fn receive_reports(&self, now: Millis, reports: &[SuspectReport]) {
        if reports.is_empty() {
            return;
        }
        let mut state = self.state();
        for report in reports {
            self.receive_report(&mut state, now, report);
        }
        self.reevaluate(&mut state, now);
    }

    fn receive_report(&self, state: &mut State, now: Millis, report: &SuspectReport) {
        let instant_before = |ms: u32| Millis(now.0.saturating_sub(u64::from(ms)));
        let newest = report.crashes.iter().map(|c| instant_before(c.age_ms)).max();
        let is_old = newest.is_none_or(|at| now >= at + self.opts.retention);
        if is_old && !state.suspects.contains_key(&report.fingerprint) {
            return;
        }
        let suspect = self.entry_or_evict(state, report.fingerprint);
        let mut has_new_crash = false;
        for crash_report in report.crashes.iter().rev() {
            let (endpoint, domain_hash, crashed_at) = (
                crash_report.endpoint,
                crash_report.domain_hash,
                instant_before(crash_report.age_ms),
            );
            let sent_at = Millis(crashed_at.0.saturating_sub(u64::from(crash_report.run_ms)));
            has_new_crash |=
                suspect.record_crash(Crash { endpoint, domain_hash, sent_at, crashed_at });
        }
        if has_new_crash {
            suspect.changed_at = now;
            self.has_unreported.store(true, Ordering::Relaxed);
        }
        let cleared_at = match report.cleared_ms.map(instant_before) {
            None if state.has_completed_recently(&report.fingerprint) => Some(now),
            at => at.filter(|at| now < *at + self.opts.clear_duration),
        };
        if let Some(at) = cleared_at {
            self.clear(state, now, at, report.fingerprint);
        }
    }

    /// Tells whether something is known here that no other host was told of.
    pub fn has_unreported(&self) -> bool {
        self.has_unreported.load(Ordering::Relaxed)
    }

    /// Tells whether something became known here of late that others may not know.
    pub fn has_recent_changes(&self, now: Millis) -> bool {
        self.state().suspects.values().any(|s| is_recent_change(now, s.changed_at))
    }

    /// Lists what to tell other hosts in a round: what is new, and now and then what is barred, for hosts that missed
    /// it.
    pub fn reports_for_round(&self, now: Millis) -> Vec<SuspectReport> {
        self.build_reports(now, MAX_REPORTS_PER_MESSAGE, |fingerprint| {
            is_repeat_due(now, fingerprint.hash_start())
        })
    }

    /// Lists up to `max_reports` requests to tell one other host: what is new, then barred ones in turn.
    pub fn reports_for_host(&self, now: Millis, max_reports: usize) -> Vec<SuspectReport> {
        self.build_reports(now, max_reports, |_| true)
    }

    fn build_reports(
        &self,
        now: Millis,
        max_reports: usize,
        is_due: impl Fn(&Fingerprint) -> bool,
    ) -> Vec<SuspectReport> {
        self.has_unreported.store(false, Ordering::Relaxed);
        let mut state = self.state();
        self.remove_expired(&mut state, now);
        let mut recent: Vec<(&Fingerprint, &Suspect)> = Vec::new();
        let mut barred: Vec<(&Fingerprint, &Suspect)> = Vec::new();
        for (fingerprint, suspect) in &state.suspects {
            if is_recent_change(now, suspect.changed_at) {
                recent.push((fingerprint, suspect));
            } else if suspect.is_barred && is_due(fingerprint) {
                barred.push((fingerprint, suspect));
            }
        }
        recent.sort_by_key(|(fingerprint, s)| {
            std::cmp::Reverse((s.is_barred, s.crashes.len(), s.changed_at, **fingerprint))
        });
        barred.sort_by_key(|(fingerprint, _)| **fingerprint);
        let mut next_barred = state.next_barred;
        let all = select_reports(&recent, &barred, max_reports, &mut next_barred);
        let reports = all.iter().map(|(fingerprint, s)| s.to_report(now, **fingerprint)).collect();
        state.next_barred = next_barred;
        reports
    }

    /// Gets what changed since the last call, for the log.
    pub fn take_changes(&self) -> Vec<SuspectChange> {
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
    fn entry_or_evict<'a>(
        &self,
        state: &'a mut State,
        fingerprint: Fingerprint,
    ) -> &'a mut Suspect {
        if !state.suspects.contains_key(&fingerprint) {
            let caller = fingerprint.caller();
            let is_own = |f: &Fingerprint| f.caller() == caller;
            let own = state.suspects.keys().filter(|f| is_own(f)).count();
            if own >= self.opts.max_suspects_per_caller {
                state.evict(is_own);
            } else if state.suspects.len() >= self.opts.max_suspects {
                // Whoever has most of the room gives way.
                let mut entries_per_caller: HashMap<u32, usize> = HashMap::new();
                for f in state.suspects.keys() {
                    *entries_per_caller.entry(f.caller()).or_default() += 1;
                }
                let largest =
                    entries_per_caller.into_iter().max_by_key(|(caller, n)| (*n, *caller));
                let largest = largest.map(|(caller, _)| caller);
                state.evict(|f| Some(f.caller()) == largest);
            }
        }
        state.suspects.entry(fingerprint).or_default()
    }

    /// Counts the crashes that speak against a request.
    fn count_crashes(&self, state: &State, now: Millis, fingerprint: Fingerprint) -> usize {
        let Some(suspect) = state.suspects.get(&fingerprint) else { return 0 };
        if self.is_expired(suspect, now) || suspect.cleared_at.is_some() {
            return 0;
        }
        // A single crash bars nothing, so what else explains it does not matter.
        if suspect.crashes.len() < EXCLUSIVE_FROM_CRASHES {
            return suspect.crashes.len();
        }
        // One that ran beside a barred request saw a part of what that one did.
        let is_larger_barred =
            |other: &&Suspect| other.is_barred && other.crashes.len() > suspect.crashes.len();
        let others: Vec<&Suspect> = state.suspects.values().filter(is_larger_barred).collect();
        let mut counted: Vec<&Crash> = Vec::new();
        for crash in &suspect.crashes {
            let is_duplicate =
                |other: &&Suspect| other.crashes.iter().any(|c| c.is_duplicate_of(crash));
            let is_explained = others.iter().any(is_duplicate);
            if !is_explained && !counted.iter().any(|c| c.has_common_cause(crash)) {
                counted.push(crash);
            }
        }
        counted.len()
    }

    fn is_expired(&self, suspect: &Suspect, now: Millis) -> bool {
        now >= suspect.last_crash_at() + self.opts.retention
    }

    /// Finds requests that are barred by what is known now, and those that no longer are.
    fn reevaluate(&self, state: &mut State, now: Millis) {
        let may_change = |s: &Suspect| s.is_barred || s.crashes.len() >= self.opts.bar_threshold;
        let all = state.suspects.iter().filter(|(_, s)| may_change(s));
        let all: Vec<Fingerprint> = all.map(|(f, _)| *f).collect();
        for fingerprint in all {
            let crashes = self.count_crashes(state, now, fingerprint);
            let is_barred = crashes >= self.opts.bar_threshold;
            let Some(suspect) = state.suspects.get_mut(&fingerprint) else { continue };
            if is_barred && !suspect.is_barred {
                state.changes.push(SuspectChange::Barred { fingerprint, crashes });
            } else if suspect.is_barred && !is_barred && suspect.cleared_at.is_none() {
                state.changes.push(SuspectChange::Cleared(fingerprint));
            }
            suspect.is_barred = is_barred;
        }
    }

    fn remove_expired(&self, state: &mut State, now: Millis) {
        state.suspects.retain(|_, suspect| {
            let has_clearance_expired = |at: Millis| now >= at + self.opts.clear_duration;
            !self.is_expired(suspect, now) && !suspect.cleared_at.is_some_and(has_clearance_expired)
        });
    }
}

impl State {
    fn has_completed_recently(&self, fingerprint: &Fingerprint) -> bool {
        self.recently_completed.iter().any(|half| half.contains(fingerprint))
    }

    /// Forgets the entry that matters least of some.
    fn evict(&mut self, is_candidate: impl Fn(&Fingerprint) -> bool) {
        let candidates = self.suspects.iter().filter(|(f, _)| is_candidate(f));
        let least_important =
            candidates.min_by_key(|(f, s)| (s.is_barred, s.crashes.len(), s.last_crash_at(), **f));
        if let Some(fingerprint) = least_important.map(|(f, _)| *f) {
            self.suspects.remove(&fingerprint);
        }
    }
}
