//! Detection of requests that crash endpoints.
//!
//! Some requests crash every endpoint that runs them, and callers send them again to any host.
//! Limiting the retries of one request on one host does not contain them; what counts is how many
//! endpoints have crashed while running the request, over all hosts. Hosts therefore report to each
//! other which endpoints crashed under which fingerprint, and after a few crashes the fingerprint is
//! barred on all hosts. A suspect is a request, or a prompt part that many requests share, that may
//! have crashed an endpoint.
//!
//! What merely ran beside the cause must not be barred, and endpoints also crash for other reasons.
//! An execution that completes therefore clears a request and its parts on all hosts; crashes that a
//! barred suspect explains do not count against others (`verdicts`); and simultaneous crashes count
//! as one: against requests those of endpoints in one failure domain, against parts all of them.
//!
//! A completed request is cleared for a while, since identical requests are sent by the thousand. A
//! completed part is cleared of the earlier crashes only: a part in wide use completes again and
//! again, and one that endpoints begin to crash on never does, but for executions that were sent before.
//!
//! A part is one suspect for all workspaces, so that what clears it and what counts against it cannot
//! come apart. A bar holds for the workspaces whose requests crashed endpoints, and for all others only
//! if there are two such workspaces, so that no workspace can bar the prompts of others.
//!
//! The number of suspects is bounded, in total and per caller, and each suspect expires after a
//! time.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::codes::Code;
use crate::errors::{Error, Result};
use crate::ids::{EndpointId, EndpointKey, FailureDomain};
use crate::traffic::fingerprint::Fingerprint;
use crate::units::Millis;

mod completions;
mod crashes;
mod exchange;
mod recent_ends;
mod reports;
mod suspect_key;
mod verdicts;

pub use reports::{CrashReport, ReportCounts, SuspectChange, SuspectReport};

use completions::RecentCompletions;
use crashes::{Crash, Suspect};
use recent_ends::RecentEnds;
use suspect_key::SuspectKey;
use verdicts::reevaluate;

/// Number of crashes from which a host runs at most one copy of a request at a time.
const EXCLUSIVE_FROM_CRASHES: usize = 2;

/// Retry delay, in milliseconds, for a suspect that may run only one copy at a time and is already
/// running.
const EXCLUSIVE_RETRY_AFTER_MS: u64 = 1_000;

/// Time after a crash in which most other hosts learn of it.
const CRASH_REPORT_TIME: Millis = Millis(300);

/// Maximum number of suspects reported in one message.
pub const MAX_REPORTS_PER_MESSAGE: usize = 16;

/// Maximum number of suspects in the reply to a host's first message. The host has to know them
/// before it sends requests to endpoints.
pub const MAX_REPORTS_IN_FIRST_REPLY: usize = 24;

/// Settings for barring requests that crash endpoints. Times are in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SuspectOptions {
    /// Number of crashes from which a request is barred.
    #[serde(rename = "barred_from")]
    pub bar_threshold: usize,
    /// How long a request stays barred after its last crash. Afterwards one copy at a time runs
    /// again, since the fault that made endpoints crash may have been fixed; the next crash bars
    /// the request again.
    #[serde(rename = "barred_for")]
    pub bar_duration: Millis,
    /// How long a suspect is stored after its last crash.
    #[serde(rename = "kept_for")]
    pub retention: Millis,
    /// How long crashes do not count against a request after it was cleared.
    #[serde(rename = "cleared_for")]
    pub clear_duration: Millis,
    /// Maximum number of suspects stored.
    #[serde(rename = "most")]
    pub max_suspects: usize,
    /// Maximum number of suspects stored per caller.
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

#[derive(Debug, Default)]
struct State {
    suspects: HashMap<SuspectKey, Suspect>,
    /// The number of running copies of each request, and of each part that is on trial, on this host.
    running_copies: HashMap<Fingerprint, u32>,
    completions: RecentCompletions,
    ends: RecentEnds,
    /// When a verdict may next change without further reports; `None` if none is pending.
    next_verdict_at: Option<Millis>,
    changes: Vec<SuspectChange>,
    report_counts: ReportCounts,
    /// Index of the next barred suspect to repeat in reports.
    next_barred: usize,
    /// Index of the next recently changed suspect to report, of those for which a message has no room.
    next_recent: usize,
}

/// A bar on a suspect.
#[derive(Clone, Copy, Debug)]
struct Bar {
    /// Number of crashes that count against the suspect.
    crashes: usize,
    last_crash_at: Millis,
}

/// Requests that may have crashed endpoints, from this host's observations and other hosts'
/// reports.
#[derive(Debug, Default)]
pub struct Suspects {
    opts: SuspectOptions,
    trial_delay: Millis,
    state: Mutex<State>,
    has_unreported: AtomicBool,
}

/// Counts a copy of a request as running until dropped.
#[derive(Debug)]
pub struct RunningRequest {
    suspects: Arc<Suspects>,
    counted: Vec<Fingerprint>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut state = self.suspects.state();
        for fingerprint in &self.counted {
            if let Some(copies) = state.running_copies.get_mut(fingerprint) {
                *copies -= 1;
                if *copies == 0 {
                    state.running_copies.remove(fingerprint);
                }
            }
        }
    }
}

impl Suspects {
    /// Creates an empty set of suspects with the given options.
    pub fn new(opts: SuspectOptions) -> Suspects {
        Suspects { opts, ..Suspects::default() }
    }

    /// Extends each bar on this host by a fraction from 0 to 1 of its time. With a different fraction on
    /// each host, one of them tries a barred suspect first, and the others learn how that ended.
    pub fn with_trial_delay(self, fraction: f64) -> Suspects {
        let trial_delay = Millis((self.opts.bar_duration.0 as f64 * fraction) as u64);
        Suspects { trial_delay, ..self }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Admits a request with the given fingerprints.
    ///
    /// Returns an error if one of them is barred, or if it has crashed several endpoints and already
    /// runs on this host.
    pub fn admit(
        self: &Arc<Self>,
        now: Millis,
        fingerprints: impl AsRef<[Fingerprint]>,
    ) -> Result<RunningRequest> {
        let mut state = self.state();
        self.update_pending_verdicts(&mut state, now);
        let mut counted = Vec::new();
        for fingerprint in fingerprints.as_ref() {
            let is_exclusive = self.check_locked(&state, now, *fingerprint)?;
            if is_exclusive && state.running_copies.contains_key(fingerprint) {
                let message = format!(
                    "{} {fingerprint} may run only once at a time on this host and is already running: \
                     endpoints crashed several times while running it",
                    kind_of(*fingerprint)
                );
                return Err(Error::new(Code::SuspectRuns, message)
                    .with_retry_after(EXCLUSIVE_RETRY_AFTER_MS));
            }
            if is_exclusive || !fingerprint.is_part() {
                counted.push(*fingerprint);
            }
        }
        for fingerprint in &counted {
            *state.running_copies.entry(*fingerprint).or_default() += 1;
        }
        Ok(RunningRequest { suspects: self.clone(), counted })
    }

    /// Returns an error if one of the fingerprints of a request is barred. Called before each attempt.
    pub fn check(&self, now: Millis, fingerprints: impl AsRef<[Fingerprint]>) -> Result<()> {
        let mut state = self.state();
        self.update_pending_verdicts(&mut state, now);
        fingerprints
            .as_ref()
            .iter()
            .try_for_each(|fingerprint| self.check_locked(&state, now, *fingerprint).map(drop))
    }

    fn update_pending_verdicts(&self, state: &mut State, now: Millis) {
        if state.next_verdict_at.is_some_and(|at| now >= at) {
            reevaluate(&self.opts, state, now);
        }
    }

    /// Returns an error if a fingerprint is barred, or else whether only one copy of it may run at a
    /// time.
    fn check_locked(&self, state: &State, now: Millis, fingerprint: Fingerprint) -> Result<bool> {
        let suspect = state.suspects.get(&fingerprint.into());
        let suspect = suspect.filter(|s| !self.is_expired(s, now));
        let Some(bar) = suspect.and_then(|s| s.bar_for(fingerprint.caller())) else {
            let crashes = suspect.map_or(0, |s| s.crash_count);
            return Ok(crashes >= EXCLUSIVE_FROM_CRASHES && !fingerprint.is_part());
        };
        if now >= bar.last_crash_at + self.opts.bar_duration + self.trial_delay {
            return Ok(true);
        }
        let (kind, crashes) = (kind_of(fingerprint), bar.crashes);
        let message = format!(
            "{kind} {fingerprint} is barred: endpoints crashed {crashes} times while running it"
        );
        Err(Error::new(Code::CrashesEndpoints, message))
    }

    /// Returns how long a request that endpoints crashed on waits before its next attempt. From the
    /// second crash on, the other hosts have to know of the last crash first. Otherwise copies of
    /// the request, or requests with the same part, on several hosts would crash all endpoints of a
    /// small service before any of the hosts counted enough crashes to bar it.
    pub fn attempt_delay(&self, now: Millis, fingerprints: impl AsRef<[Fingerprint]>) -> Millis {
        let state = self.state();
        let delay = |fingerprint: &Fingerprint| match state.suspects.get(&(*fingerprint).into()) {
            Some(s) if s.crash_count >= EXCLUSIVE_FROM_CRASHES && !s.is_barred => {
                s.last_crash_at() + CRASH_REPORT_TIME - now
            }
            _ => Millis(0),
        };
        fingerprints.as_ref().iter().map(delay).max().unwrap_or_default()
    }

    /// Records that an endpoint crashed while running a request that was sent to it at `sent_at`.
    /// Returns the number of crashes that count against the request as a whole. The crash is ignored
    /// for the request if an execution of it completed recently.
    pub fn record_crash(
        &self,
        now: Millis,
        fingerprints: impl AsRef<[Fingerprint]>,
        endpoint: &EndpointId,
        domain: &FailureDomain,
        sent_at: Millis,
    ) -> usize {
        let fingerprints = fingerprints.as_ref();
        let crash = Crash {
            endpoint: EndpointKey::from(endpoint),
            domain_hash: xxh3_64(domain.as_str().as_bytes()) as u16,
            sent_at,
            crashed_at: now,
        };
        let mut state = self.state();
        state.ends.record(crash);
        for fingerprint in fingerprints {
            let completed_at = state.completions.last((*fingerprint).into());
            if !fingerprint.is_part() && completed_at.is_some() {
                continue;
            }
            let suspect = self.entry_or_evict(&mut state, *fingerprint);
            let is_new_crash = suspect.add_crash(crash);
            if suspect.add_caller(fingerprint.caller()) || is_new_crash {
                suspect.changed_at = now;
                self.has_unreported.store(true, Ordering::Relaxed);
            }
            if let Some(at) = completed_at {
                suspect.clear(at);
            }
        }
        reevaluate(&self.opts, &mut state, now);
        let request = fingerprints.first().and_then(|f| state.suspects.get(&(*f).into()));
        request.map_or(0, |s| s.crash_count)
    }

    /// Records that an execution of a request completed, and clears the request and its parts.
    pub fn record_completion(&self, now: Millis, fingerprints: impl AsRef<[Fingerprint]>) {
        let mut state = self.state();
        let mut is_cleared = false;
        for fingerprint in fingerprints.as_ref() {
            let key = SuspectKey::from(*fingerprint);
            state.completions.record(now, key);
            is_cleared |= self.clear(&mut state, now, now, key);
        }
        if is_cleared {
            reevaluate(&self.opts, &mut state, now);
        }
    }

    /// Clears a suspect because an execution completed at `at`. Returns whether that changes anything.
    fn clear(&self, state: &mut State, now: Millis, at: Millis, key: SuspectKey) -> bool {
        let Some(suspect) = state.suspects.get_mut(&key) else { return false };
        let was_barred = suspect.is_barred;
        if !suspect.clear(at) {
            return false;
        }
        suspect.changed_at = now;
        if was_barred && !suspect.is_barred || !key.is_part() {
            state.changes.push(SuspectChange::Cleared(suspect.fingerprint(key)));
        }
        self.has_unreported.store(true, Ordering::Relaxed);
        true
    }

    /// Returns the changes since the last call, for the log.
    pub fn take_changes(&self) -> Vec<SuspectChange> {
        std::mem::take(&mut self.state().changes)
    }

    /// Returns what was reported and learned since the last call, for the log.
    pub fn take_report_counts(&self) -> ReportCounts {
        std::mem::take(&mut self.state().report_counts)
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.state().suspects.len()
    }

    /// Reports whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the entry of a request, creating it if necessary. If a limit is reached, another
    /// entry is evicted first.
    fn entry_or_evict<'a>(
        &self,
        state: &'a mut State,
        fingerprint: Fingerprint,
    ) -> &'a mut Suspect {
        let key = SuspectKey::from(fingerprint);
        if !state.suspects.contains_key(&key) {
            let caller = fingerprint.caller();
            let own = state.suspects.values().filter(|s| s.owner() == caller).count();
            if own >= self.opts.max_suspects_per_caller {
                state.evict(|s| s.owner() == caller);
            } else if state.suspects.len() >= self.opts.max_suspects {
                // Evicts an entry of the caller that has the most entries.
                let mut entries_per_caller: HashMap<u32, usize> = HashMap::new();
                for suspect in state.suspects.values() {
                    *entries_per_caller.entry(suspect.owner()).or_default() += 1;
                }
                let largest =
                    entries_per_caller.into_iter().max_by_key(|(caller, n)| (*n, *caller));
                let largest = largest.map(|(caller, _)| caller);
                state.evict(|s| Some(s.owner()) == largest);
            }
        }
        state.suspects.entry(key).or_insert_with(|| Suspect::new(fingerprint))
    }

    fn is_expired(&self, suspect: &Suspect, now: Millis) -> bool {
        now >= suspect.last_crash_at() + self.opts.retention
    }

    fn remove_expired(&self, state: &mut State, now: Millis) {
        state.suspects.retain(|_, suspect| {
            let has_clearance_expired = |at: Millis| now >= at + self.opts.clear_duration;
            let is_innocent = suspect.cleared_at.is_some_and(has_clearance_expired)
                && suspect.counting_crashes().next().is_none();
            !self.is_expired(suspect, now) && !is_innocent
        });
    }
}

impl State {
    /// Evicts the least important of the candidates: those that are not barred first, then those
    /// with the fewest crashes, then whole requests, then those with the oldest crashes.
    fn evict(&mut self, is_candidate: impl Fn(&Suspect) -> bool) {
        let candidates = self.suspects.iter().filter(|(_, s)| is_candidate(s));
        let least_important = candidates.min_by_key(|(key, s)| {
            (s.is_barred, s.crashes.len(), s.is_part, s.last_crash_at(), **key)
        });
        if let Some(key) = least_important.map(|(key, _)| *key) {
            self.suspects.remove(&key);
        }
    }
}

fn kind_of(fingerprint: Fingerprint) -> &'static str {
    match fingerprint.is_part() {
        true => "prompt part",
        false => "request",
    }
}
