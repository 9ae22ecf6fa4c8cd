//! What other hosts report, and changes of the configuration and of the evacuated failure domains.

use std::sync::Arc;

use crate::events::Event;
use crate::ids::EndpointId;
use crate::traffic::catalog::Catalog;
use crate::traffic::endpoints::EndpointRecord;
use crate::traffic::evacuations::EvacuationChange;
use crate::traffic::feeds::Revisions;
use crate::traffic::peers::{BarredVersion, PeerMessage};
use crate::units::Millis;

use super::versions::WithholdReason;
use super::{Action, FleetState, ViewUpdate};

impl FleetState {
    /// Applies a message from another host and returns how soon the view has to reflect it.
    pub(super) fn handle_peer_message(
        &mut self,
        now: Millis,
        msg: PeerMessage,
        actions: &mut Vec<Action>,
    ) -> ViewUpdate {
        let mut view_update = ViewUpdate::None;
        let previous = self.peers.len();
        let from = msg.from.clone();
        for (service, sessions) in &msg.update.sessions {
            let exposure = self.exposures.entry(service.clone()).or_default();
            exposure.hold_reported(now, sessions);
        }
        for (service, reads) in &msg.update.prefix_reads {
            if let Some(prefixes) = self.prefixes.get(service) {
                prefixes.record_reports(now, reads);
            }
        }
        self.suspects.receive_reports(now, &msg.update.suspects);
        self.limits.receive_reports(now, &msg.update.limits);
        self.brittle.receive_reports(now, &msg.update.brittle);
        if msg.from != self.host {
            self.speeds.receive(now, &msg.from, &msg.update.load_control.speeds);
        }
        for report in &msg.update.tallies {
            match self.canaries.get_mut(&report.service) {
                Some(canary) if canary.order.version == report.version => {
                    if canary.update_start_from_peer(now, Millis(report.age_ms)) {
                        view_update = ViewUpdate::Deferred;
                    }
                }
                // The sender may not know yet that the roll-out has ended.
                Some(_) => {}
                None => {
                    let (service, version) = (report.service.clone(), report.version.clone());
                    if self.versions.handle_report(now, BarredVersion { service, version }) {
                        view_update = ViewUpdate::Immediate;
                    }
                }
            }
        }
        for barred in &msg.update.barred_versions {
            let canary = self.canaries.get(&barred.service);
            // The canary version of the current roll-out is handled when it is judged.
            let is_not_current = canary.is_none_or(|t| t.order.version != barred.version);
            if is_not_current
                && !self.versions.is_bad(barred)
                && self.table.has_version(&barred.service, &barred.version)
            {
                self.versions.withhold(now, barred.clone(), WithholdReason::Bad);
                view_update = ViewUpdate::Immediate;
            }
        }
        let reported_version = msg.update.proof.map_or(0, |proof| proof.version);
        self.newest_reported_version = self.newest_reported_version.max(reported_version);
        let is_local = self.peers.is_local_domain(&msg.failure_domain);
        let missing =
            self.feeds.receive_revisions(now, &msg.update.newest_changes, msg.address, is_local);
        actions.extend(missing.into_iter().map(Action::Fetch));
        let complete = msg.update.complete_revisions;
        let proof = self.peers.receive(now, msg);
        self.fetch_missing(now, &complete, actions);
        if self.peers.len() > previous {
            actions.push(Action::Log(Event::PeerAlive, format!("peer={from}")));
        }
        if self.brittle.take_changed() {
            self.update_endpoint_access(now, actions);
        }
        if let Some(proof) = &proof {
            self.table.record_store_read(proof.began);
        }
        let own_version = self.catalog.as_ref().map(|c| c.version);
        if let Some(proof) = proof.filter(|p| Some(p.version) == own_version) {
            self.confirm_config(proof.began, actions);
        }
        view_update
    }

    /// Counts a read of the store that began at `began` as a proof of the configuration, unless another
    /// host has a newer one: a store that was restored from a copy may have lost it.
    pub(super) fn confirm_config(&self, began: Millis, actions: &mut Vec<Action>) {
        let own_version = self.catalog.as_ref().map_or(0, |c| c.version);
        if own_version >= self.newest_reported_version {
            actions.push(Action::ConfigConfirmed(began));
        }
    }

    /// Fetches data that this host has lacked since its start from a host that reported having it.
    fn fetch_missing(&mut self, now: Millis, reported: &Revisions, actions: &mut Vec<Action>) {
        for kind in self.feeds.bootstrap_kinds(reported) {
            let holder = self.peers.pick_holder(kind, 1, None);
            let fetch = holder.and_then(|from| self.feeds.retry_bootstrap(now, kind, from));
            actions.extend(fetch.map(Action::Fetch));
        }
    }

    pub(super) fn apply_catalog(
        &mut self,
        now: Millis,
        catalog: Arc<Catalog>,
        actions: &mut Vec<Action>,
    ) -> bool {
        // The configuration never goes back to an older version, whatever path that version arrived
        // by.
        if self.catalog.as_ref().is_some_and(|c| c.version >= catalog.version) {
            return false;
        }
        let text = format!("version={} routes={}", catalog.version, catalog.routes.len());
        actions.push(Action::Log(Event::ConfigApplied, text));
        if let Some(previous) = &self.catalog {
            let retired_keys = Arc::make_mut(&mut self.retired_keys);
            retired_keys.remove_expired(now);
            retired_keys.record_change(now, previous, &catalog);
        }
        self.catalog = Some(catalog);
        true
    }

    /// Applies a change of the evacuated failure domains. Returns whether there is one.
    pub(super) fn apply_evacuations(
        &mut self,
        now: Millis,
        change: EvacuationChange,
        actions: &mut Vec<Action>,
    ) -> bool {
        for domain in &change.started {
            let n = self.table.records().filter(|r| r.failure_domain == *domain).count();
            let text = format!("domain={domain} endpoints={n}");
            actions.push(Action::Log(Event::DomainEvacuated, text));
        }
        for domain in &change.ended {
            actions.push(Action::Log(Event::EvacuationEnded, format!("domain={domain}")));
            let endpoints = self.table.records().filter(|r| r.failure_domain == *domain);
            let endpoints: Vec<EndpointId> = endpoints.map(|r| r.id.clone()).collect();
            for id in endpoints {
                self.record_possible_restart(now, &id, actions);
            }
        }
        !change.is_empty()
    }

    /// Applies a new or changed entry of an endpoint.
    pub(super) fn apply_endpoint(
        &mut self,
        now: Millis,
        record: EndpointRecord,
        actions: &mut Vec<Action>,
    ) {
        self.reset_if_restarted(&record);
        let text = format!(
            "endpoint={} service={} version={} leaving={}",
            record.id, record.service, record.version, record.is_leaving
        );
        actions.push(Action::Log(Event::EndpointChanged, text));
        // Takes effect at once for requests that use the current view.
        if let Some(state) = self.endpoint_states.get(&record.id) {
            state.set_leaving(record.is_leaving);
        }
        self.versions.add_endpoint(now, &record);
        let (id, cold_for) = (record.id.clone(), record.cold_for);
        self.table.upsert(record);
        self.record_cold_entry(now, &id, cold_for, actions);
        self.update_endpoint_access(now, actions);
    }

    /// Drops the load and health of an endpoint's previous incarnation, since they describe another
    /// process. Requests that use the current view avoid the endpoint until the next view.
    pub(super) fn reset_if_restarted(&mut self, record: &EndpointRecord) {
        if !self.table.is_new_incarnation(record) {
            return;
        }
        self.lapsed_states.remove(&record.id);
        if let Some(previous) = self.endpoint_states.remove(&record.id) {
            previous.set_leaving(true);
        }
    }
}
