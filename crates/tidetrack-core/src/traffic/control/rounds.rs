//! What a host does again and again: it tells others what it knows, judges new versions and endpoints by
//! all hosts' counts, and writes a roll-out's progress.

use std::collections::BTreeSet;

use crate::events::Event;
use crate::ids::{EndpointId, EndpointKey, ServiceId, VersionName};
use crate::placement::draw;
use crate::traffic::baseline::Baseline;
use crate::traffic::canary::{Canary, Phase, ProgressWriter};
use crate::traffic::endpoints::EndpointRecord;
use crate::traffic::freshness::Freshness;
use crate::traffic::peers::{BarredVersion, PeerUpdate, ProofReport, TallyReport, ROUND_INTERVAL};
use crate::traffic::verdict_basis::VerdictBasis;
use crate::units::Millis;

use super::{Action, Beliefs, Duties};

/// A write that brought no news is tried again after this time.
const WRITE_AGAIN: Millis = Millis(700);

/// Age of the proof of the configuration at which a host asks another for a younger one. A prover's is
/// up to 1.5 s old, so this asks about once a second; three questions more fit in before the host reads
/// the configuration itself.
const ASK_FOR_PROOF: Millis = Millis(1_600);

/// Least time between questions for a proof.
const ASK_AGAIN: Millis = Millis(300);

impl Beliefs {
    /// Tells other hosts what this one knows, and takes in what they told; tells whether the view
    /// changed.
    pub(super) fn do_round(
        &mut self,
        now: Millis,
        fresh: &Freshness,
        actions: &mut Vec<Action>,
    ) -> bool {
        self.duties = Duties {
            proves: self.peers.is_prover(),
            watches: self.peers.is_watcher(),
            hosts: self.hosts(),
        };
        let trials = &self.trials;
        self.peers.remove_departed_tallies(|told| {
            trials
                .get(&told.service)
                .is_none_or(|t| t.order.version != told.version || t.is_finished())
        });
        for host in self.peers.remove_silent_peers(now) {
            actions.push(Action::Note(Event::PeerDead, format!("peer={host}")));
        }
        // In a round and not on a tick: ticks come only when nothing else does, and a busy host would keep
        // entries that lapsed.
        let is_swept = self.table.sweep(now);
        self.judge_endpoints(now, actions);
        self.note_suspects(actions);
        self.allot(now, actions);
        let is_swept = self.look_at_versions(now, actions) || is_swept;
        self.told = self.news(now, fresh);
        let mut messages = self.peers.round_messages(now, &self.told);
        if self.trials.values().any(|t| !t.is_finished() && t.has_cut_over(now, self.duties.hosts))
        {
            messages.extend(self.peers.prover_messages(now, &self.told));
        }
        actions.push(Action::Send(messages));
        if !self.peers.is_empty() {
            let loads = self.peers.loads(now);
            for (id, live) in &self.live {
                let work = loads.get(&EndpointKey::from(id)).copied().unwrap_or(0);
                live.told_by_hosts(now, work);
            }
        }
        for (service, trial) in self.trials.iter().filter(|(_, trial)| !trial.is_finished()) {
            let usual = self.usual.entry(service.clone()).or_default();
            usual.set_remote_reports(self.peers.baselines(service, &trial.order.version));
        }
        let services: Vec<ServiceId> = self.trials.keys().cloned().collect();
        services.iter().map(|s| self.judge(now, s, actions)).fold(is_swept, |a, b| a | b)
    }

    /// Logs which requests under suspicion were barred or cleared.
    fn note_suspects(&self, actions: &mut Vec<Action>) {
        for change in self.suspects.take_changes() {
            actions.push(Action::Note(change.event(), change.to_string()));
        }
    }

    /// Forgets versions that are gone, and lets others serve; tells whether the view changed.
    fn look_at_versions(&mut self, now: Millis, actions: &mut Vec<Action>) -> bool {
        let is_swept = self.versions.sweep(now, self.table.records());
        let is_cleared = self.clear_versions(now);
        let untold = self.versions.untold();
        for service in untold.difference(&self.untold) {
            actions.push(Action::Note(Event::RolloutsUnknown, format!("service={service}")));
        }
        self.untold = untold;
        is_swept || is_cleared
    }

    /// Finds endpoints that fail much more than their pools, and avoids them.
    fn judge_endpoints(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let live = self.live.iter().map(|(id, live)| (id, live.as_ref()));
        self.outliers.count(now, live, &self.peers.results(now));
        for pool in self.pools_of(&self.outliers.suspects(now)) {
            for outlier in self.outliers.judge(now, &pool) {
                if let Some(live) = self.live.get(&outlier.endpoint) {
                    live.avoid_until(outlier.until);
                }
                actions.push(Action::Note(Event::EndpointAvoided, outlier.to_string()));
            }
        }
    }

    /// Lists the pools that some endpoints belong to: those of a service that run one version.
    fn pools_of(&self, endpoints: &[EndpointId]) -> Vec<Vec<EndpointId>> {
        let of_pool = |r: &EndpointRecord| (r.service.clone(), r.version.clone());
        let records = endpoints.iter().filter_map(|id| self.table.get(id));
        let names: BTreeSet<(ServiceId, VersionName)> = records.map(of_pool).collect();
        let pool = |(service, version): &(ServiceId, VersionName)| {
            let records = self.table.records().filter(|r| !r.is_leaving);
            let records = records.filter(|r| r.service == *service && r.version == *version);
            records.map(|r| r.id.clone()).collect()
        };
        names.iter().map(pool).collect()
    }

    /// Asks a host that proves the configuration, when this one's proof grows old.
    pub(super) fn ask_for_proof(
        &mut self,
        now: Millis,
        fresh: &Freshness,
        actions: &mut Vec<Action>,
    ) {
        let is_old = fresh.age(now).is_none_or(|age| age >= ASK_FOR_PROOF);
        let is_wanted = is_old && self.catalog.is_some();
        if !is_wanted || now < self.last_asked + ASK_AGAIN || self.is_prover() {
            return;
        }
        self.last_asked = now;
        actions.extend(self.peers.proof_request(now, &self.told).map(|m| Action::Send(vec![m])));
    }

    pub(super) fn told_proof(&self, now: Millis, fresh: &Freshness) -> Option<ProofReport> {
        let proof = self.catalog.as_ref().zip(fresh.age(now));
        proof.map(|(c, age)| ProofReport { version: c.version, age_ms: age.0 })
    }

    fn news(&mut self, now: Millis, fresh: &Freshness) -> PeerUpdate {
        let proof = self.told_proof(now, fresh);
        let loads = self.live.iter().map(|(id, live)| (id, live.own_work()));
        let mut news = PeerUpdate {
            proof,
            results: self.outliers.told(now),
            suspects: self.suspects.reports_for_round(now),
            limits: self.limits.reports_for_round(now),
            newest_changes: self.feeds.newest_changes(),
            complete_revisions: self.feeds.complete_revisions(),
            barred_versions: self.versions.bad().cloned().collect(),
            loads: loads
                .filter(|(_, work)| *work > 0)
                .map(|(id, work)| (id.into(), u32::try_from(work).unwrap_or(u32::MAX)))
                .collect(),
            ..PeerUpdate::default()
        };
        let turn = self.peers.cycle_time() + ROUND_INTERVAL;
        for (service, prefixes) in &self.prefixes {
            let reads = prefixes.reports(now, turn);
            if !reads.is_empty() {
                news.prefix_reads.push((service.clone(), reads));
            }
        }
        let hosts = self.hosts();
        for (service, exposure) in &self.exposures {
            let is_open = |trial: &Canary| !trial.is_finished();
            if !self.trials.get(service).is_some_and(is_open) {
                let told = exposure.recent_reports(now);
                news.sessions.extend((!told.is_empty()).then(|| (service.clone(), told)));
            }
        }
        for (service, trial) in &mut self.trials {
            let (service, version) = (service.clone(), trial.order.version.clone());
            match trial.phase() {
                Phase::Barred => news.barred_versions.push(BarredVersion { service, version }),
                Phase::Done => {}
                Phase::Sample | Phase::Moved => {
                    if let Some(exposure) = self.exposures.get(&service) {
                        let sample = trial.sample_share(hosts);
                        news.sessions.push((service.clone(), exposure.reports(now, sample)));
                    }
                    let tally = trial.judge.tally(now).clone();
                    let age_ms = trial.age(now).0;
                    let baseline =
                        self.usual.get(&service).map(Baseline::report).unwrap_or_default();
                    news.tallies.push(TallyReport { service, version, age_ms, tally, baseline });
                }
            }
        }
        news
    }

    /// Judges a service's new version by all hosts' counts; tells whether it is barred by that.
    pub(super) fn judge(
        &mut self,
        now: Millis,
        service: &ServiceId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let hosts = self.hosts();
        let Some(trial) = self.trials.get_mut(service).filter(|t| !t.is_finished()) else {
            return false;
        };
        let version = trial.order.version.clone();
        let is_new = |r: &&EndpointRecord| r.service == *service && r.version == version;
        let endpoints = self.table.records().filter(is_new).count();
        if let Some(exposure) = self.exposures.get(service) {
            trial.judge.record_sent_total(now, exposure.canary_first_attempts());
        }
        let mut all = trial.judge.tally(now).clone();
        let mut basis = VerdictBasis { endpoints, hosts, counted_hosts: 1 };
        let mut since_move = basis;
        let moved_at = trial.cutover_at(hosts);
        for (tally, age) in self.peers.tallies(now, service, &version) {
            all.add(tally, age);
            basis.counted_hosts += 1;
            since_move.counted_hosts += usize::from(now >= moved_at + age);
        }
        if trial.is_log_due(now) {
            let age_ms = trial.age(now).0;
            let moved = trial.has_cut_over(now, hosts);
            let text = format!(
                "service={service} version={version} age_ms={age_ms} moved={moved} hosts={hosts} \
                 counted={} counted_since_move={} endpoints={endpoints} {all}",
                basis.counted_hosts, since_move.counted_hosts
            );
            actions.push(Action::Note(Event::RolloutEvidence, text));
        }
        let told = self.peers.is_barred(service, &version) && trial.bar(now);
        let bad = trial.judge(now, &all, basis, since_move);
        if let Some(exposure) = self.exposures.get(service) {
            exposure.set_inconclusive(trial.is_inconclusive);
        }
        let why = match bad {
            Some(bad) => bad.to_string(),
            None if told => "told".into(),
            None => return false,
        };
        let text = format!(
            "service={service} version={version} why={why} hosts={hosts} counted={} \
             counted_since_move={} {all}",
            basis.counted_hosts, since_move.counted_hosts
        );
        actions.push(Action::Note(Event::VersionBarred, text));
        true
    }

    /// Judges versions whose roll-outs this host is about to complete by what came since the last round; tells whether
    /// one is barred by that.
    pub(super) fn judge_before_end(&mut self, now: Millis, actions: &mut Vec<Action>) -> bool {
        let hosts = self.hosts();
        let is_ending = |(service, trial): &(&ServiceId, &Canary)| {
            let patience = self.patience(now, service, trial);
            trial.is_completion_due(now, patience, hosts)
        };
        let ending: Vec<ServiceId> =
            self.trials.iter().filter(is_ending).map(|(service, _)| service.clone()).collect();
        ending.iter().map(|s| self.judge(now, s, actions)).fold(false, |a, b| a | b)
    }

    /// Gets how long this host leaves the next write about a roll-out to others.
    fn patience(&self, now: Millis, service: &ServiceId, trial: &Canary) -> Millis {
        // A host alone has nobody to wait for.
        if self.peers.is_empty() {
            return Millis(0);
        }
        let job = format!("{service}/{}", trial.order.version);
        let writer = ProgressWriter {
            watches_store: self.is_watcher(),
            collects_tallies: self.is_prover(),
            stagger_fraction: draw(&job, self.host.as_str()),
        };
        trial.write_delay(now, writer, self.hosts())
    }

    pub(super) fn write_progress(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let hosts = self.hosts();
        let waits = |(service, trial)| self.patience(now, service, trial);
        let patience: Vec<Millis> = self.trials.iter().map(waits).collect();
        for (trial, patience) in self.trials.values_mut().zip(patience) {
            let due = trial.take_due_write(now, patience, WRITE_AGAIN, hosts);
            actions.extend(due.map(Action::Write));
        }
    }
}
