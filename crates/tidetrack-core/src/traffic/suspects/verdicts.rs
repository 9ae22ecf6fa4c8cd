//! Decides which suspects are barred.
//!
//! Everything that ran at an endpoint when it crashed is suspected, so the cause has to be told from
//! what ran beside it. Counts of crashes against completions alone would bar a rare sound part that
//! ran beside three crashes and has not completed yet. The intersection of all crashes would be empty
//! with two causes, or if an endpoint also crashed for another reason. A likelihood would need the
//! frequency of each part at all hosts. So the suspects are judged as a cover of the crashes, the one
//! with the most crashes first: what it explains does not count against others. The rare part's
//! crashes are among those of the cause, which has more as soon as one endpoint crashes without it.
//!
//! A part is barred once it is singled out, that is, no other suspect ran at all of its crashes. Parts
//! that only ever occur together cannot be told apart, and are barred together after a few more
//! crashes.

use std::cell::LazyCell;
use std::cmp::Reverse;
use std::collections::HashMap;

use crate::ids::EndpointKey;
use crate::units::Millis;

use super::crashes::{time_between, Crash, SIMULTANEOUS_WINDOW};
use super::recent_ends::ends_around;
use super::{State, SuspectChange, SuspectKey, SuspectOptions, EXCLUSIVE_FROM_CRASHES};

/// Number of crashes from which a part is barred although another suspect ran at all of them, or although
/// it has completed before: by then a sound one would almost certainly have completed again.
const MAX_UNDECIDED_CRASHES: usize = 5;

/// Time after a crash in which completions at other endpoints become known on most hosts.
const COMPLETION_REPORT_TIME: Millis = Millis(400);

/// A suspect with several crashes.
struct Candidate {
    key: SuspectKey,
    /// Crashes that count against the suspect.
    crashes: Vec<Crash>,
    /// Whether the suspect is a part that is known to have completed, before or after the crashes. A
    /// sound one is then likely to complete again soon.
    has_completed: bool,
}

impl Candidate {
    /// Reports whether the suspect is likely to have caused a crash: the endpoints that ended at about the
    /// same time without it, and without a barred suspect, are no more than those that ended with it.
    fn is_likely_cause(
        &self,
        crash: &Crash,
        unexplained: &[&Crash],
        ends: &[Crash],
        is_explained: impl Fn(&Crash) -> bool,
    ) -> bool {
        let is_near =
            |c: &&&Crash| time_between(c.crashed_at, crash.crashed_at) <= SIMULTANEOUS_WINDOW;
        let with_suspect = unexplained.iter().filter(is_near).count();
        let is_other_cause = |end: &&Crash| {
            !self.crashes.iter().any(|c| c.is_duplicate_of(end)) && !is_explained(end)
        };
        let near = ends_around(ends, crash.crashed_at, SIMULTANEOUS_WINDOW);
        // One more than there are with the suspect decides.
        near.iter().filter(is_other_cause).take(with_suspect + 1).count() <= with_suspect
    }
}

/// Candidates by the crashes that they ran at.
struct CrashIndex(HashMap<EndpointKey, Vec<(Crash, usize)>>);

impl CrashIndex {
    fn new(candidates: &[Candidate]) -> CrashIndex {
        let mut index: HashMap<EndpointKey, Vec<(Crash, usize)>> = HashMap::new();
        for (n, candidate) in candidates.iter().enumerate() {
            for crash in &candidate.crashes {
                index.entry(crash.endpoint).or_default().push((*crash, n));
            }
        }
        CrashIndex(index)
    }

    /// Returns the candidates that ran at the endpoint when it crashed.
    fn candidates_at<'a>(&'a self, crash: &'a Crash) -> impl Iterator<Item = usize> + 'a {
        let entries = self.0.get(&crash.endpoint).into_iter().flatten();
        entries.filter(|(other, _)| other.is_duplicate_of(crash)).map(|(_, n)| *n)
    }
}

/// Updates which suspects are barred after crashes were added or suspects were cleared, and records
/// the changes.
pub(super) fn reevaluate(opts: &SuspectOptions, state: &mut State, now: Millis) {
    let mut candidates = collect_candidates(opts, state, now);
    candidates.sort_by_key(|c| Reverse((c.crashes.len(), c.key.is_part())));
    let index = CrashIndex::new(&candidates);
    let ends = LazyCell::new(|| state.ends.sorted());
    let mut next_verdict_at = None;
    let mut is_barred = vec![false; candidates.len()];
    let mut verdicts = Vec::with_capacity(candidates.len());
    for (n, candidate) in candidates.iter().enumerate() {
        let is_part = candidate.key.is_part();
        let explains = |m: usize| is_barred[m] && has_precedence(&candidates[m], candidate);
        let is_unexplained = |crash: &&Crash| !index.candidates_at(crash).any(explains);
        let unexplained: Vec<&Crash> = candidate.crashes.iter().filter(is_unexplained).collect();
        let mut counted = merge_common_causes(unexplained.iter().copied(), is_part);
        if counted.len() >= opts.bar_threshold {
            let is_explained = |end: &Crash| index.candidates_at(end).any(|m| is_barred[m]);
            let is_likely_cause = |crash: &&Crash| {
                candidate.is_likely_cause(crash, &unexplained, &ends, is_explained)
            };
            let caused = unexplained.iter().copied().filter(is_likely_cause);
            counted = merge_common_causes(caused, is_part);
            if counted.len() >= opts.bar_threshold && candidate.has_completed {
                let counts_from = |crash: &Crash| crash.crashed_at + COMPLETION_REPORT_TIME;
                let pending = counted.iter().map(|c| counts_from(c)).filter(|at| *at > now).min();
                next_verdict_at = [next_verdict_at, pending].into_iter().flatten().min();
                counted.retain(|crash| counts_from(crash) <= now);
            }
        }
        is_barred[n] = counted.len() >= opts.bar_threshold
            && (!is_part
                || counted.len() >= MAX_UNDECIDED_CRASHES
                || !candidate.has_completed && is_singled_out(&index, n, &counted));
        verdicts.push((candidate.key, counted.len()));
    }
    state.next_verdict_at = next_verdict_at;
    for ((key, crashes), is_barred) in verdicts.into_iter().zip(is_barred) {
        state.set_verdict(now, key, crashes, is_barred);
    }
}

/// Returns the suspects with more than one crash, after updating the others: a single crash never
/// restricts anything.
fn collect_candidates(opts: &SuspectOptions, state: &mut State, now: Millis) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    let mut others = Vec::new();
    for (key, suspect) in &state.suspects {
        let is_expired = now >= suspect.last_crash_at() + opts.retention;
        let crashes: Vec<Crash> = match is_expired {
            true => Vec::new(),
            false => suspect.counting_crashes().copied().collect(),
        };
        if crashes.len() >= EXCLUSIVE_FROM_CRASHES {
            let is_known = suspect.cleared_at.is_some() || state.completions.last(*key).is_some();
            let has_completed = key.is_part() && is_known;
            candidates.push(Candidate { key: *key, crashes, has_completed });
        } else if suspect.is_barred || suspect.crash_count != crashes.len() {
            others.push((*key, crashes.len()));
        }
    }
    for (key, crashes) in others {
        state.set_verdict(now, key, crashes, false);
    }
    candidates
}

/// Reports whether a barred candidate explains its crashes for another one. One that ran beside the
/// cause shares only some of the cause's crashes, and a request all of those of its part.
fn has_precedence(barred: &Candidate, other: &Candidate) -> bool {
    let (barred, other) =
        ((barred.crashes.len(), barred.key.is_part()), (other.crashes.len(), other.key.is_part()));
    barred > other
}

fn merge_common_causes<'a>(
    crashes: impl Iterator<Item = &'a Crash>,
    is_part: bool,
) -> Vec<&'a Crash> {
    let mut merged: Vec<&Crash> = Vec::new();
    for crash in crashes {
        if !merged.iter().any(|c| c.has_common_cause(crash, is_part)) {
            merged.push(crash);
        }
    }
    merged
}

/// Reports whether no other candidate ran at all of these crashes of a candidate.
fn is_singled_out(index: &CrashIndex, n: usize, crashes: &[&Crash]) -> bool {
    let [first, rest @ ..] = crashes else { return false };
    let mut others = index.candidates_at(first).filter(|m| *m != n);
    !others.any(|m| rest.iter().all(|crash| index.candidates_at(crash).any(|o| o == m)))
}

impl State {
    /// Sets the verdict on a suspect, and records a change for the log.
    fn set_verdict(&mut self, now: Millis, key: SuspectKey, crashes: usize, is_barred: bool) {
        let Some(suspect) = self.suspects.get_mut(&key) else { return };
        let was_barred = std::mem::replace(&mut suspect.is_barred, is_barred);
        suspect.crash_count = crashes;
        let fingerprint = suspect.fingerprint(key);
        if is_barred && !was_barred {
            let completed_at = suspect.cleared_at.max(self.completions.last(key));
            self.changes.push(SuspectChange::Barred {
                fingerprint,
                crashes,
                workspaces: suspect.callers.len(),
                completed_ms: completed_at.map(|at| (now - at).0),
            });
        } else if was_barred && !is_barred {
            self.changes.push(SuspectChange::Cleared(fingerprint));
        }
    }
}
