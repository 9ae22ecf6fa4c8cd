//! What hosts tell each other about suspects: which reports a message contains, and what a received one
//! changes.

use std::sync::atomic::Ordering;

use crate::traffic::fingerprint::Fingerprint;
use crate::traffic::gossip::{is_recent_change, is_repeat_due, select_reports};
use crate::units::Millis;

use super::crashes::{Crash, Suspect};
use super::verdicts::reevaluate;
use super::{State, SuspectKey, SuspectReport, Suspects, MAX_REPORTS_PER_MESSAGE};

impl Suspects {
    /// Adds the suspects and crashes that another host reports.
    pub fn receive_reports(&self, now: Millis, reports: &[SuspectReport]) {
        if reports.is_empty() {
            return;
        }
        let mut state = self.state();
        let mut has_change = false;
        for report in reports {
            has_change |= self.receive_report(&mut state, now, report);
        }
        if has_change {
            reevaluate(&self.opts, &mut state, now);
        }
    }

    /// Adds what another host reports about a suspect. Returns whether that changes anything.
    fn receive_report(&self, state: &mut State, now: Millis, report: &SuspectReport) -> bool {
        let instant_before = |ms: u32| Millis(now.0.saturating_sub(u64::from(ms)));
        let newest = report.crashes.iter().map(|c| instant_before(c.age_ms)).max();
        let is_old = newest.is_none_or(|at| now >= at + self.opts.retention);
        let key = SuspectKey::from(report.fingerprint);
        if is_old && !state.suspects.contains_key(&key) {
            return false;
        }
        let crashes: Vec<Crash> = report.crashes.iter().rev().map(|c| c.at(now)).collect();
        crashes.iter().for_each(|crash| state.ends.record(*crash));
        let completed_here = state.completions.last(key);
        let suspect = self.entry_or_evict(state, report.fingerprint);
        let mut is_news = suspect.add_caller(report.fingerprint.caller());
        for crash in crashes {
            is_news |= suspect.add_crash(crash);
        }
        if is_news {
            suspect.changed_at = now;
            self.has_unreported.store(true, Ordering::Relaxed);
        }
        let reported = report.cleared_ms.map(instant_before);
        let reported = reported.filter(|at| now < *at + self.opts.clear_duration);
        let cleared_at = match key.is_part() {
            true => reported.max(completed_here),
            false => reported.or(completed_here.map(|_| now)),
        };
        let is_cleared = cleared_at.is_some_and(|at| self.clear(state, now, at, key));
        if let Some(at) = cleared_at.filter(|at| is_cleared && reported >= Some(*at)) {
            let counts = &mut state.report_counts;
            counts.completions += 1;
            counts.max_completion_age = counts.max_completion_age.max(now - at);
        }
        is_news || is_cleared
    }

    /// Reports whether there are changes that have not been reported to any host.
    pub fn has_unreported(&self) -> bool {
        self.has_unreported.load(Ordering::Relaxed)
    }

    /// Reports whether there are recent changes that other hosts may not know yet.
    pub fn has_recent_changes(&self, now: Millis) -> bool {
        self.state().suspects.values().any(|s| is_recent_change(now, s.changed_at))
    }

    /// Returns the reports for one round of messages: recent changes, and at intervals the barred
    /// suspects, for hosts that missed earlier reports.
    pub fn reports_for_round(&self, now: Millis) -> Vec<SuspectReport> {
        self.build_reports(now, MAX_REPORTS_PER_MESSAGE, |fingerprint| {
            is_repeat_due(now, fingerprint.hash_prefix())
        })
    }

    /// Returns up to `max_reports` reports for one host: recent changes, then barred suspects in
    /// rotation.
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
        self.update_pending_verdicts(&mut state, now);
        let mut recent: Vec<(Fingerprint, &Suspect)> = Vec::new();
        let mut barred: Vec<(Fingerprint, &Suspect)> = Vec::new();
        for (key, suspect) in &state.suspects {
            let fingerprints = suspect.fingerprints(*key).map(|f| (f, suspect));
            if is_recent_change(now, suspect.changed_at) {
                recent.extend(fingerprints);
            } else if suspect.is_barred {
                barred.extend(fingerprints.filter(|(f, _)| is_due(f)));
            }
        }
        recent.sort_by_cached_key(|(fingerprint, s)| {
            let crashes = s.counting_crashes().count();
            std::cmp::Reverse((s.is_barred, crashes, s.is_part, s.changed_at, *fingerprint))
        });
        // A crash makes suspects of all requests that ran at the endpoint, and of their parts. Each of
        // them is reported in turn, so that no host lacks the one that turns out to be the cause.
        let mut next_recent = state.next_recent;
        let recent_changes = recent.len();
        if recent.len() > max_reports {
            let others = recent.split_off(max_reports / 2);
            recent = select_reports(&recent, &others, max_reports, &mut next_recent);
        }
        barred.sort_by_key(|(fingerprint, _)| *fingerprint);
        let mut next_barred = state.next_barred;
        let all = select_reports(&recent, &barred, max_reports, &mut next_barred);
        let reports = all.iter().map(|(fingerprint, s)| s.to_report(now, *fingerprint)).collect();
        state.next_barred = next_barred;
        state.next_recent = next_recent;
        state.report_counts.reported += recent_changes.min(max_reports);
        state.report_counts.deferred += recent_changes.saturating_sub(max_reports);
        reports
    }
}
