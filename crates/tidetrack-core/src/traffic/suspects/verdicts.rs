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

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::ids::EndpointKey;
use crate::traffic::fingerprint::{ContentHash, Fingerprint};
use crate::units::Millis;

use super::crashes::Crash;
use super::{Bar, State, SuspectChange, SuspectOptions, EXCLUSIVE_FROM_CRASHES};

/// Number of crashes from which a part is barred although another suspect ran at all of them: by then
/// a sound one would almost certainly have completed.
const MAX_UNDECIDED_CRASHES: usize = 5;

/// Suspects with the same contents, which only the workspace tells apart.
struct Candidate {
    members: Vec<Fingerprint>,
    is_part: bool,
    /// Crashes that count against any of the members.
    crashes: Vec<Crash>,
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
    candidates.sort_by_key(|c| Reverse((c.crashes.len(), c.is_part)));
    let index = CrashIndex::new(&candidates);
    let mut is_barred = vec![false; candidates.len()];
    state.barred_for_all.clear();
    for (n, candidate) in candidates.iter().enumerate() {
        let explains = |m: usize| is_barred[m] && has_precedence(&candidates[m], candidate);
        let is_unexplained = |crash: &&Crash| !index.candidates_at(crash).any(explains);
        let unexplained = candidate.crashes.iter().filter(is_unexplained);
        let counted = merge_common_causes(unexplained, candidate.is_part);
        is_barred[n] = counted.len() >= opts.bar_threshold
            && (!candidate.is_part
                || counted.len() >= MAX_UNDECIDED_CRASHES
                || is_singled_out(&index, n, &counted));
        update_members(state, now, candidate, counted.len(), is_barred[n]);
        if is_barred[n] && candidate.members.len() > 1 {
            let last_crash_at = candidate.crashes.iter().map(|c| c.crashed_at).max();
            let bar =
                Bar { crashes: counted.len(), last_crash_at: last_crash_at.unwrap_or_default() };
            let content = candidate.members[0].content();
            state.barred_for_all.insert(content, bar);
        }
    }
}

/// Returns the candidates with more than one crash, after updating the other suspects: a single crash
/// never restricts anything.
fn collect_candidates(opts: &SuspectOptions, state: &mut State, now: Millis) -> Vec<Candidate> {
    let mut by_content: HashMap<ContentHash, Candidate> = HashMap::new();
    for (fingerprint, suspect) in &state.suspects {
        let is_expired = now >= suspect.last_crash_at() + opts.retention;
        let mut counting = suspect.counting_crashes().peekable();
        if is_expired || counting.peek().is_none() {
            continue;
        }
        let candidate = by_content.entry(fingerprint.content()).or_insert_with(|| Candidate {
            members: Vec::new(),
            is_part: suspect.is_part,
            crashes: Vec::new(),
        });
        candidate.members.push(*fingerprint);
        for crash in counting {
            if !candidate.crashes.iter().any(|known| known.is_duplicate_of(crash)) {
                candidate.crashes.push(*crash);
            }
        }
    }
    let mut idle: Vec<Fingerprint> = Vec::new();
    for (fingerprint, suspect) in &state.suspects {
        let candidate = by_content.get(&fingerprint.content());
        let crashes = candidate.map_or(0, |c| c.crashes.len());
        if crashes < EXCLUSIVE_FROM_CRASHES && (suspect.is_barred || suspect.crash_count != crashes)
        {
            idle.push(*fingerprint);
        }
    }
    for fingerprint in idle {
        let crashes = by_content.get(&fingerprint.content()).map_or(0, |c| c.crashes.len());
        state.set_verdict(fingerprint, crashes, false);
    }
    by_content.into_values().filter(|c| c.crashes.len() >= EXCLUSIVE_FROM_CRASHES).collect()
}

/// Reports whether a barred candidate explains its crashes for another one. One that ran beside the
/// cause shares only some of the cause's crashes, and a request all of those of its part.
fn has_precedence(barred: &Candidate, other: &Candidate) -> bool {
    let (barred, other) =
        ((barred.crashes.len(), barred.is_part), (other.crashes.len(), other.is_part));
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

/// Sets the verdict on the members of a candidate, and records the changes for the log.
fn update_members(
    state: &mut State,
    now: Millis,
    candidate: &Candidate,
    crashes: usize,
    is_barred: bool,
) {
    for fingerprint in &candidate.members {
        let was_barred = state.set_verdict(*fingerprint, crashes, is_barred);
        if is_barred && !was_barred {
            let completed_at = state.last_completion(fingerprint.content());
            state.changes.push(SuspectChange::Barred {
                fingerprint: *fingerprint,
                crashes,
                workspaces: candidate.members.len(),
                completed_ms: completed_at.map(|at| (now - at).0),
            });
        }
    }
}

impl State {
    /// Sets the verdict on a suspect, and records for the log that it is no longer barred. Returns whether
    /// it was barred.
    fn set_verdict(&mut self, fingerprint: Fingerprint, crashes: usize, is_barred: bool) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        let was_barred = std::mem::replace(&mut suspect.is_barred, is_barred);
        suspect.crash_count = crashes;
        if was_barred && !is_barred {
            self.changes.push(SuspectChange::Cleared(fingerprint));
        }
        was_barred
    }

    /// Returns when an execution of any workspace's request with the content last completed, as far as
    /// this host knows.
    fn last_completion(&self, content: ContentHash) -> Option<Millis> {
        let same = self.suspects.iter().filter(|(f, _)| f.content() == content);
        let reported = same.filter_map(|(_, s)| s.cleared_at).max();
        reported.max(self.completions.last_of_content(content))
    }
}
