//! Periodic work of a host: it reports its state to other hosts, judges canary versions and
//! endpoints by the counts of all hosts, and writes the progress of roll-outs.

use std::collections::BTreeSet;

use crate::events::Event;
use crate::ids::{EndpointId, EndpointKey, ServiceId, VersionName};
use crate::placement::{hash_fraction, EndpointState};
use crate::traffic::baseline::Baseline;
use crate::traffic::canary::{Canary, Phase, ProgressWriter};
use crate::traffic::endpoint_speeds::{CallTimesReport, LoadControlReport};
use crate::traffic::endpoints::EndpointRecord;
use crate::traffic::freshness::Freshness;
use crate::traffic::peers::{BarredVersion, PeerUpdate, ProofReport, TallyReport, ROUND_INTERVAL};
use crate::traffic::suspects::ReportCounts;
use crate::traffic::verdict_basis::VerdictBasis;
use crate::units::Millis;

use super::{Action, FleetState, HostRoles};

/// Time after which a progress write is repeated if its effect has not been observed.
const WRITE_RETRY_INTERVAL: Millis = Millis(700);

/// Age of the configuration's proof at which a host requests a newer one from another host. The
/// proof of a prover is up to 1.5 s old, so a host requests one about once a second. Three more
/// requests fit in before the host reads the configuration itself.
const PROOF_REFRESH_AGE: Millis = Millis(1_600);

/// Shortest interval between two requests for a proof.
const MIN_PROOF_REQUEST_INTERVAL: Millis = Millis(300);

/// Shortest interval between two lines about what hosts told each other about suspects.
const SUSPECT_LOG_INTERVAL: Millis = Millis(1_000);

/// Shortest interval between two rounds of messages.
const MIN_ROUND_INTERVAL: Millis = Millis(100);

impl FleetState {
    /// Reports whether a round of messages is due. The interval is shorter when a session began
    /// here, an endpoint crashed under a request or reported a limit, or paths were lost or
    /// restored, and no other host knows about it yet.
    pub(super) fn is_round_due(&self, now: Millis) -> bool {
        let has_unreported_session =
            self.exposures.values().any(|exposure| exposure.has_unreported());
        let has_unreported = has_unreported_session
            || self.suspects.has_unreported()
            || self.limits.has_unreported()
            || self.brittle.has_unreported()
            || self.has_unreported_availability;
        let interval = if has_unreported { MIN_ROUND_INTERVAL } else { ROUND_INTERVAL };
        now >= self.last_round + interval
    }

    /// Reports this host's state to other hosts and evaluates what they reported. Returns whether
    /// the view changed.
    pub(super) fn run_round(
        &mut self,
        now: Millis,
        fresh: &Freshness,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.roles = HostRoles {
            is_prover: self.peers.is_prover(),
            is_watcher: self.peers.is_watcher(),
            host_count: self.host_count(),
        };
        let canaries = &self.canaries;
        self.peers.remove_departed_tallies(|tally| {
            canaries
                .get(&tally.service)
                .is_none_or(|t| t.order.version != tally.version || t.is_finished())
        });
        for host in self.peers.remove_silent_peers(now) {
            actions.push(Action::Log(Event::PeerDead, format!("peer={host}")));
        }
        let confirmed = self.table.take_confirmed(now);
        // Lapsed entries are removed here and not on a tick: ticks only occur when there is no
        // other input, so a busy host would keep them.
        let has_view_changed = self.table.sweep(now) || !confirmed.is_empty();
        for record in confirmed {
            self.apply_endpoint(now, record, actions);
        }
        let change = self.evacuations.apply_confirmed(now);
        let has_view_changed = self.apply_evacuations(now, change, actions) || has_view_changed;
        self.detect_outliers(now, actions);
        self.log_suspect_changes(now, actions);
        self.update_endpoint_access(now, actions);
        self.allocate_send_limits(now, actions);
        let has_view_changed = self.update_versions(now, actions) || has_view_changed;
        self.last_update = self.build_update(now, fresh);
        self.has_unreported_availability = false;
        // Also while all paths work: requests are forwarded from the moment in which they are lost.
        actions.push(Action::PublishForwardTargets(self.peers.forward_targets(now)));
        // Replies and queries don't contain speeds: a host with a special role would send many.
        let load_control = LoadControlReport {
            call_times: self.last_update.load_control.call_times.clone(),
            ..self.build_load_control_report(now, actions)
        };
        let update = PeerUpdate { load_control, ..self.last_update.clone() };
        let mut messages = self.peers.round_messages(now, &update);
        if self
            .canaries
            .values()
            .any(|t| !t.is_finished() && t.has_cut_over(now, self.roles.host_count))
        {
            messages.extend(self.peers.prover_messages(now, &self.last_update));
        }
        actions.push(Action::SendMessages(messages));
        self.fair_shares.with(|shares| shares.set_remote(now, || self.peers.usage(now)));
        if !self.peers.is_empty() {
            let loads = self.peers.loads(now);
            let heard_share = self.peers.heard_share(now);
            for (id, state) in &self.endpoint_states {
                let work = loads.get(&EndpointKey::from(id)).copied().unwrap_or(0);
                state.set_peer_work(now, work);
                state.set_heard_share(heard_share);
            }
        }
        for (service, canary) in self.canaries.iter().filter(|(_, canary)| !canary.is_finished()) {
            let baseline = self.baselines.entry(service.clone()).or_default();
            baseline.set_remote_reports(self.peers.baselines(service, &canary.order.version));
        }
        let services: Vec<ServiceId> = self.canaries.keys().cloned().collect();
        services
            .iter()
            .map(|s| self.judge_version(now, s, actions))
            .fold(has_view_changed, |a, b| a | b)
    }

    /// Combines the measured speeds of the endpoints with those of the other hosts. Returns this host's
    /// report for load control, which tells speeds and usage by workspace.
    fn build_load_control_report(
        &mut self,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> LoadControlReport {
        let states = &self.endpoint_states;
        let records = self.table.records();
        let endpoints: Vec<(&EndpointRecord, &EndpointState)> =
            records.filter_map(|r| Some((r, states.get(&r.id)?.as_ref()))).collect();
        for change in self.speeds.update_states(now, &endpoints) {
            actions.push(Action::Log(change.event(), change.to_string()));
        }
        LoadControlReport {
            speeds: self.speeds.reports_for_round(now, &self.host, &endpoints),
            usage: self.fair_shares.with(|shares| shares.reports(now)),
            call_times: Vec::new(),
        }
    }

    /// Logs requests that were barred or cleared as causes of crashes, and at intervals what hosts told
    /// each other about them.
    fn log_suspect_changes(&mut self, now: Millis, actions: &mut Vec<Action>) {
        for change in self.suspects.take_changes() {
            actions.push(Action::Log(change.event(), change.to_string()));
        }
        if now >= self.last_suspect_log + SUSPECT_LOG_INTERVAL {
            self.last_suspect_log = now;
            let counts = self.suspects.take_report_counts();
            if counts != ReportCounts::default() {
                actions.push(Action::Log(Event::SuspectReports, counts.to_string()));
            }
        }
    }

    /// Removes versions that no endpoint runs any more and releases versions that may serve now.
    /// Returns whether the view changed.
    fn update_versions(&mut self, now: Millis, actions: &mut Vec<Action>) -> bool {
        let listed = self.table.records().chain(self.table.unconfirmed());
        let has_view_changed = self.versions.sweep(now, listed);
        let has_released = self.release_versions(now);
        let awaiting = self.versions.awaiting_rollouts();
        for service in awaiting.difference(&self.services_awaiting_rollouts) {
            actions.push(Action::Log(Event::RolloutsUnknown, format!("service={service}")));
        }
        self.services_awaiting_rollouts = awaiting;
        has_view_changed || has_released
    }

    /// Finds endpoints that fail much more often than the rest of their pools, and avoids them.
    fn detect_outliers(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let endpoint_states = self.endpoint_states.iter().map(|(id, state)| (id, state.as_ref()));
        self.outliers.record(now, endpoint_states, &self.peers.results(now));
        for pool in self.pools_containing(&self.outliers.candidates(now)) {
            for outlier in self.outliers.find_outliers(now, &pool) {
                if let Some(state) = self.endpoint_states.get(&outlier.endpoint) {
                    state.avoid_until(outlier.avoided_until);
                }
                actions.push(Action::Log(Event::EndpointAvoided, outlier.to_string()));
            }
        }
    }

    /// Returns the pools that contain the given endpoints. A pool is the set of a service's
    /// endpoints that run one version and are not leaving.
    pub(super) fn pools_containing(&self, endpoints: &[EndpointId]) -> Vec<Vec<EndpointId>> {
        let pool_key = |r: &EndpointRecord| (r.service.clone(), r.version.clone());
        let records = endpoints.iter().filter_map(|id| self.table.get(id));
        let pool_keys: BTreeSet<(ServiceId, VersionName)> = records.map(pool_key).collect();
        let pool = |(service, version): &(ServiceId, VersionName)| {
            let records = self.table.records().filter(|r| !r.is_leaving);
            let records = records.filter(|r| r.service == *service && r.version == *version);
            records.map(|r| r.id.clone()).collect()
        };
        pool_keys.iter().map(pool).collect()
    }

    /// Requests a proof of the configuration from a prover when this host's own proof is too old.
    pub(super) fn request_proof(
        &mut self,
        now: Millis,
        fresh: &Freshness,
        actions: &mut Vec<Action>,
    ) {
        let is_old = fresh.age(now).is_none_or(|age| age >= PROOF_REFRESH_AGE);
        let is_wanted = is_old && self.catalog.is_some();
        if !is_wanted
            || now < self.last_proof_request + MIN_PROOF_REQUEST_INTERVAL
            || self.is_prover()
        {
            return;
        }
        self.last_proof_request = now;
        actions.extend(
            self.peers.proof_request(now, &self.last_update).map(|m| Action::SendMessages(vec![m])),
        );
    }

    pub(super) fn proof_report(&self, now: Millis, fresh: &Freshness) -> Option<ProofReport> {
        let proof = self.catalog.as_ref().zip(fresh.age(now));
        proof.map(|(c, age)| ProofReport { version: c.version, age_ms: age.0 })
    }

    fn build_update(&mut self, now: Millis, fresh: &Freshness) -> PeerUpdate {
        let proof = self.proof_report(now, fresh);
        let loads = self.endpoint_states.iter().map(|(id, state)| (id, state.own_work()));
        let mut update = PeerUpdate {
            proof,
            results: self.outliers.reports(now),
            suspects: self.suspects.reports_for_round(now),
            limits: self.limits.reports_for_round(now),
            brittle: self.brittle.reports_for_round(now),
            newest_changes: self.feeds.newest_changes(),
            complete_revisions: self.feeds.complete_revisions(),
            lost_services: self.lost_services.clone(),
            is_leaving: self.is_leaving,
            barred_versions: self.versions.bad_versions().cloned().collect(),
            loads: loads
                .filter(|(_, work)| *work > 0)
                .map(|(id, work)| (id.into(), u32::try_from(work).unwrap_or(u32::MAX)))
                .collect(),
            ..PeerUpdate::default()
        };
        let relay_time = self.peers.cycle_time() + ROUND_INTERVAL;
        for (service, prefixes) in &self.prefixes {
            let reads = prefixes.reports(now, relay_time);
            if !reads.is_empty() {
                update.prefix_reads.push((service.clone(), reads));
            }
        }
        let hosts = self.host_count();
        for (service, exposure) in &self.exposures {
            let is_active = |canary: &Canary| !canary.is_finished();
            if !self.canaries.get(service).is_some_and(is_active) {
                let sessions = exposure.recent_reports(now);
                update.sessions.extend((!sessions.is_empty()).then(|| (service.clone(), sessions)));
            }
        }
        for (service, canary) in &mut self.canaries {
            let (service, version) = (service.clone(), canary.order.version.clone());
            match canary.phase() {
                Phase::Barred => update.barred_versions.push(BarredVersion { service, version }),
                Phase::Done => {}
                Phase::Sample | Phase::Moved => {
                    if let Some(exposure) = self.exposures.get(&service) {
                        let sample = canary.sample_share(hosts);
                        update.sessions.push((service.clone(), exposure.reports(now, sample)));
                    }
                    let tally = canary.judge.tally(now).clone();
                    update.load_control.call_times.push(CallTimesReport {
                        service: service.clone(),
                        version: version.clone(),
                        times: tally.samples.call_times.clone(),
                    });
                    let age_ms = canary.age(now).0;
                    let baseline =
                        self.baselines.get(&service).map(Baseline::report).unwrap_or_default();
                    update.tallies.push(TallyReport { service, version, age_ms, tally, baseline });
                }
            }
        }
        update
    }

    /// Judges a service's canary version by the counts of all hosts. Returns whether the version
    /// was barred.
    pub(super) fn judge_version(
        &mut self,
        now: Millis,
        service: &ServiceId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let hosts = self.host_count();
        let Some(canary) = self.canaries.get_mut(service).filter(|t| !t.is_finished()) else {
            return false;
        };
        let version = canary.order.version.clone();
        let is_canary_endpoint =
            |r: &&EndpointRecord| r.service == *service && r.version == version;
        let endpoints = self.table.records().filter(is_canary_endpoint).count();
        if let Some(exposure) = self.exposures.get(service) {
            canary.judge.record_sent_total(now, exposure.canary_first_attempts());
        }
        let mut total = canary.judge.tally(now).clone();
        let mut basis = VerdictBasis { endpoints, hosts, counted_hosts: 1 };
        let mut since_cutover = basis;
        let cutover_at = canary.cutover_at(hosts);
        for (tally, age) in self.peers.tallies(now, service, &version) {
            total.add(tally, age);
            basis.counted_hosts += 1;
            since_cutover.counted_hosts += usize::from(now >= cutover_at + age);
        }
        if canary.is_log_due(now) {
            let age_ms = canary.age(now).0;
            let moved = canary.has_cut_over(now, hosts);
            let text = format!(
                "service={service} version={version} age_ms={age_ms} moved={moved} hosts={hosts} \
                 counted={} counted_since_move={} endpoints={endpoints} {total}",
                basis.counted_hosts, since_cutover.counted_hosts
            );
            actions.push(Action::Log(Event::RolloutEvidence, text));
        }
        let is_reported_barred = self.peers.is_barred(service, &version) && canary.bar(now);
        let finding = canary.judge(now, &total, basis, since_cutover);
        if let Some(exposure) = self.exposures.get(service) {
            exposure.set_inconclusive(canary.is_inconclusive);
        }
        let reason = match finding {
            Some(finding) => finding.to_string(),
            None if is_reported_barred => "told".into(),
            None => return false,
        };
        let text = format!(
            "service={service} version={version} why={reason} hosts={hosts} counted={} \
             counted_since_move={} {total}",
            basis.counted_hosts, since_cutover.counted_hosts
        );
        actions.push(Action::Log(Event::VersionBarred, text));
        true
    }

    /// Judges again, with the counts since the last round, the versions whose roll-outs this host
    /// is about to complete. Returns whether any of them was barred.
    pub(super) fn judge_before_completion(
        &mut self,
        now: Millis,
        actions: &mut Vec<Action>,
    ) -> bool {
        let hosts = self.host_count();
        let is_completing = |(service, canary): &(&ServiceId, &Canary)| {
            let write_delay = self.write_delay(now, service, canary);
            canary.is_completion_due(now, write_delay, hosts)
        };
        let completing: Vec<ServiceId> = self
            .canaries
            .iter()
            .filter(is_completing)
            .map(|(service, _)| service.clone())
            .collect();
        completing.iter().map(|s| self.judge_version(now, s, actions)).fold(false, |a, b| a | b)
    }

    /// Returns how long this host waits for another host to make the next write about a roll-out.
    fn write_delay(&self, now: Millis, service: &ServiceId, canary: &Canary) -> Millis {
        // A single host has no other host to wait for.
        if self.peers.is_empty() {
            return Millis(0);
        }
        let hash_key = format!("{service}/{}", canary.order.version);
        let writer = ProgressWriter {
            watches_store: self.is_watcher(),
            collects_tallies: self.is_prover(),
            stagger_fraction: hash_fraction(&hash_key, self.host.as_str()),
        };
        canary.write_delay(now, writer, self.host_count())
    }

    /// Writes the progress of roll-outs that is due. A host that has not read the list of endpoints yet
    /// leaves this to others.
    pub(super) fn write_progress(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if !self.has_listed_endpoints {
            return;
        }
        let hosts = self.host_count();
        let delay_of = |(service, canary)| self.write_delay(now, service, canary);
        let write_delay: Vec<Millis> = self.canaries.iter().map(delay_of).collect();
        for (canary, write_delay) in self.canaries.values_mut().zip(write_delay) {
            let due = canary.take_due_write(now, write_delay, WRITE_RETRY_INTERVAL, hosts);
            actions.extend(due.map(Action::WriteProgress));
        }
    }
}
