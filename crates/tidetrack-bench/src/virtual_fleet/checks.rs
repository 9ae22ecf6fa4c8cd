//! What must hold after every step, against what only the test can see.

use std::collections::BTreeSet;

use tidetrack_core::config::{ObjectKey, ObjectKind};
use tidetrack_core::ids::RequestId;
use tidetrack_core::ledger::{sum_segments, Bill};
use tidetrack_core::view::ChosenVersion;

use super::platform::{new_version, workspace};
use super::{
    Host, World, CAP, IN_FORCE_MS, LIMIT, LOAN_MS, MOST_CHECKED, SETTLE_MS, STALE_MS, TICK_MS,
};

impl World {
    /// A host's word on how fresh it is must be true: it has all that was accepted by then.
    pub(super) fn check_fresh(&self, h: usize) -> Result<(), String> {
        let host = &self.hosts[h];
        let Some(at) = host.node.confirmed_at() else { return Ok(()) };
        let at = at.0.saturating_sub(host.offset);
        for (accepted, key, version) in self.platform.writes.iter().rev() {
            if *accepted < at {
                let has = host.node.store.lookup(key).map_or(0, |e| e.version);
                if has < *version {
                    let what = format!("{} says it is fresh as of {at} and lacks {key}", host.name);
                    return self.fail(what);
                }
            }
            if accepted + 20_000 < at {
                break;
            }
        }
        Ok(())
    }

    /// No new work on a withdrawn version, once the withdrawal could be known.
    pub(super) fn check_withdrawn(&self, h: usize, chosen: &ChosenVersion) -> Result<(), String> {
        let key = ObjectKey::new(ObjectKind::Withdrawal, chosen.version.to_string());
        let writes = &self.platform.writes;
        let Some((accepted, ..)) = writes.iter().find(|(_, k, _)| *k == key) else { return Ok(()) };
        let quiet = self.now >= self.last_fault + SETTLE_MS;
        let healthy = self.platform.up
            && self.hosts.iter().all(|h| h.up && !h.cut_peers && !h.cut_platform)
            && self.hosts.iter().all(|h| h.paused_until + SETTLE_MS < self.now);
        let born = self.hosts[h].born_at;
        if (quiet && healthy || !self.schedule.faults) && *accepted + IN_FORCE_MS < self.now {
            return self.fail(format!("h{h} put work on {} after its withdrawal", chosen.version));
        }
        // What a host was told itself binds it at once; a stale host keeps off unproven versions.
        let now = self.local(h);
        let host = &self.hosts[h];
        let stale = host.node.confirmation_age(now).is_none_or(|a| a.0 > STALE_MS);
        if stale && chosen.version == new_version() {
            return self.fail(format!("h{h}, stale, put work on an unproven version"));
        }
        let known = host.node.store.lookup(&key).is_some();
        if known && self.now > born + TICK_MS * 2 && host.view.revision >= *accepted {
            let version = host.view.versions.get(&chosen.version);
            if version.is_some_and(|v| v.is_barred) {
                return self.fail(format!("h{h} put work on a version that it knows is barred"));
            }
        }
        Ok(())
    }

    /// Never more unjudged requests on the new version than the cap, over the whole fleet.
    pub(super) fn check_cap(&self) -> Result<(), String> {
        if self.hosts.len() > MOST_CHECKED {
            return Ok(());
        }
        let alive: u64 = self.hosts.iter().filter(|h| h.up).map(Host::spent).sum();
        let spent = (alive + self.spent_by_dead).max(self.started);
        match spent <= CAP + self.judged {
            true => Ok(()),
            false => {
                let what = format!("{spent} on the new version, {} judged, cap {CAP}", self.judged);
                self.fail(what)
            }
        }
    }

    /// The shares never sum past the limit while the hosts agree on how many they are.
    pub(super) fn check_limits(&mut self) -> Result<(), String> {
        if self.hosts.len() > MOST_CHECKED {
            return Ok(());
        }
        let settled = |h: &Host| !h.up || self.now > h.born_at + 5_000;
        let counts: BTreeSet<usize> =
            self.hosts.iter().filter(|h| h.up).map(|h| h.node.members.iter().count()).collect();
        // A loan made while they disagreed may still run.
        if counts.len() != 1 || !self.hosts.iter().all(settled) {
            self.disagreed_at = self.now;
        }
        if self.now < self.disagreed_at + LOAN_MS {
            return Ok(());
        }
        let mut sum = 0.0;
        for h in 0..self.hosts.len() {
            let now = self.local(h);
            if self.hosts[h].up {
                let limits = self.hosts[h].node.limits.clone();
                let rates = limits.lock().expect("no holder of the lock panics").rates(now);
                sum += rates.get(&workspace()).copied().unwrap_or(0.0);
            }
        }
        let agreed = *counts.first().expect("there is one");
        let up = self.hosts.iter().filter(|h| h.up).count();
        if agreed >= up && sum > LIMIT + 1e-6 {
            return self.fail(format!("shares sum to {sum}, limit {LIMIT}"));
        }
        Ok(())
    }

    /// Every answered request is in the ledger; none is there that was not made; none counts twice.
    pub(super) fn check_ledger(&mut self) -> Result<(), String> {
        let mut billed: BTreeSet<RequestId> = BTreeSet::new();
        for segment in self.platform.segments.values() {
            let id =
                |b: &Bill| RequestId { incarnation: segment.origin.clone(), number: b.number() };
            billed.extend(segment.bills.iter().map(id));
        }
        if let Some(lost) = self.answered.difference(&billed).next() {
            return self.fail(format!("{lost} was answered and not billed"));
        }
        if let Some(extra) = billed.difference(&self.made).next() {
            return self.fail(format!("{extra} was billed and never made"));
        }
        let totals = sum_segments(self.platform.segments.values());
        if totals.requests != billed.len() as u64 {
            return self.fail(format!("{} requests, {} counted", billed.len(), totals.requests));
        }
        self.seen.answered = self.answered.len() as u64;
        Ok(())
    }
}
