//! Invariants of the simulation, checked against global state that no single host can see.

use std::collections::BTreeSet;

use tidetrack_core::config::{ObjectKey, ObjectKind};
use tidetrack_core::ids::RequestId;
use tidetrack_core::ledger::{sum_segments, Bill};
use tidetrack_core::view::ChosenVersion;

use super::platform::{canary_version, workspace};
use super::{
    Host, Simulation, EXPOSURE_CAP, MAX_CHECKED_HOSTS, MAX_IN_FORCE_MS, MAX_LOAN_MS,
    REQUESTS_PER_SECOND_LIMIT, SETTLE_MS, STALE_MS, TICK_INTERVAL_MS,
};

impl Simulation {
    /// Checks that a host has every change accepted before the time as of which it reports its
    /// configuration as confirmed.
    pub(super) fn check_freshness(&self, h: usize) -> Result<(), String> {
        let host = &self.hosts[h];
        let Some(at) = host.node.confirmed_at() else { return Ok(()) };
        let at = at.0.saturating_sub(host.offset);
        for (accepted, key, version) in self.platform.writes.iter().rev() {
            if *accepted < at {
                let stored_version = host.node.store.lookup(key).map_or(0, |e| e.version);
                if stored_version < *version {
                    let message =
                        format!("{} reports its configuration as confirmed at {at} ms but lacks the newest version of {key}", host.name);
                    return self.fail(message);
                }
            }
            if accepted + 20_000 < at {
                break;
            }
        }
        Ok(())
    }

    /// Checks that a host starts no request on a withdrawn version once it must know the withdrawal, and
    /// none on the canary version while its configuration is stale. Versions without a withdrawal are
    /// not checked.
    pub(super) fn check_withdrawn(&self, h: usize, chosen: &ChosenVersion) -> Result<(), String> {
        let key = ObjectKey::new(ObjectKind::Withdrawal, chosen.version.to_string());
        let writes = &self.platform.writes;
        let Some((accepted, ..)) = writes.iter().find(|(_, k, _)| *k == key) else { return Ok(()) };
        let has_settled = self.now >= self.last_fault_at + SETTLE_MS;
        let is_healthy = self.platform.is_up
            && self
                .hosts
                .iter()
                .all(|h| h.is_up && !h.is_cut_from_peers && !h.is_cut_from_platform)
            && self.hosts.iter().all(|h| h.paused_until + SETTLE_MS < self.now);
        let started_at = self.hosts[h].started_at;
        if (has_settled && is_healthy || !self.schedule.has_faults)
            && *accepted + MAX_IN_FORCE_MS < self.now
        {
            return self.fail(format!(
                "h{h} started a request on {} after its withdrawal",
                chosen.version
            ));
        }
        // A withdrawal in its own store binds a host at once. A stale host must not use the canary
        // version.
        let now = self.host_time(h);
        let host = &self.hosts[h];
        let is_stale = host.node.confirmation_age(now).is_none_or(|a| a.0 > STALE_MS);
        if is_stale && chosen.version == canary_version() {
            return self.fail(format!(
                "h{h} started a request on the canary version with a stale configuration"
            ));
        }
        let knows_withdrawal = host.node.store.lookup(&key).is_some();
        if knows_withdrawal
            && self.now > started_at + TICK_INTERVAL_MS * 2
            && host.view.revision >= *accepted
        {
            let version = host.view.versions.get(&chosen.version);
            if version.is_some_and(|v| v.is_barred) {
                return self.fail(format!(
                    "h{h} started a request on a version that its view marks as barred"
                ));
            }
        }
        Ok(())
    }

    /// Checks that the fleet never has more unjudged requests on the canary version than the cap.
    pub(super) fn check_cap(&self) -> Result<(), String> {
        if self.hosts.len() > MAX_CHECKED_HOSTS {
            return Ok(());
        }
        let alive: u64 = self.hosts.iter().filter(|h| h.is_up).map(Host::spent).sum();
        let spent = (alive + self.spent_by_stopped_hosts).max(self.started_canary_requests);
        match spent <= EXPOSURE_CAP + self.judged_canary_responses {
            true => Ok(()),
            false => {
                let message = format!(
                    "{spent} requests on the canary version, {} judged, cap {EXPOSURE_CAP}",
                    self.judged_canary_responses
                );
                self.fail(message)
            }
        }
    }

    /// Checks that the hosts' shares never exceed the limit while the hosts agree on their number.
    pub(super) fn check_limits(&mut self) -> Result<(), String> {
        if self.hosts.len() > MAX_CHECKED_HOSTS {
            return Ok(());
        }
        let has_joined = |h: &Host| !h.is_up || self.now > h.started_at + 5_000;
        let member_counts: BTreeSet<usize> =
            self.hosts.iter().filter(|h| h.is_up).map(|h| h.node.members.iter().count()).collect();
        // A loan made while the hosts disagreed may still be active.
        if member_counts.len() != 1 || !self.hosts.iter().all(has_joined) {
            self.last_disagreement_at = self.now;
        }
        if self.now < self.last_disagreement_at + MAX_LOAN_MS {
            return Ok(());
        }
        let mut sum = 0.0;
        for h in 0..self.hosts.len() {
            let now = self.host_time(h);
            if self.hosts[h].is_up {
                let limits = self.hosts[h].node.limits.clone();
                let rates = limits.lock().expect("no holder of the lock panics").rates(now);
                sum += rates.get(&workspace()).copied().unwrap_or(0.0);
            }
        }
        let member_count = *member_counts.first().expect("at least one host is up");
        let running_count = self.hosts.iter().filter(|h| h.is_up).count();
        if member_count >= running_count && sum > REQUESTS_PER_SECOND_LIMIT + 1e-6 {
            return self.fail(format!(
                "the rate shares sum to {sum} requests/s, limit {REQUESTS_PER_SECOND_LIMIT}"
            ));
        }
        Ok(())
    }

    /// Checks that the ledger contains every request whose response was released, no request that was
    /// not completed, and no request twice.
    pub(super) fn check_ledger(&mut self) -> Result<(), String> {
        let mut billed: BTreeSet<RequestId> = BTreeSet::new();
        for segment in self.platform.segments.values() {
            let id =
                |b: &Bill| RequestId { incarnation: segment.origin.clone(), number: b.number() };
            billed.extend(segment.bills.iter().map(id));
        }
        if let Some(lost) = self.answered.difference(&billed).next() {
            return self.fail(format!("{lost} was answered but not billed"));
        }
        if let Some(unexpected) = billed.difference(&self.completed_requests).next() {
            return self.fail(format!("{unexpected} was billed but never completed"));
        }
        let totals = sum_segments(self.platform.segments.values());
        if totals.requests != billed.len() as u64 {
            return self.fail(format!(
                "the ledger has {} distinct requests but its totals count {}",
                billed.len(),
                totals.requests
            ));
        }
        self.stats.answered = self.answered.len() as u64;
        Ok(())
    }
}
