//! Chooses the hosts that a node exchanges with, schedules the exchanges and detects silent hosts.

use std::collections::BTreeSet;

use crate::ids::HostId;
use crate::membership::{Member, MemberState, LINKS_PER_HOST};
use crate::units::Millis;

use super::config_pull::SMALL_DELTA_ONLY;
use super::messages::{Item, ItemKey};
use super::{Action, Link, Node};

/// Number of hosts that are asked to probe a silent host.
const INDIRECT_PROBES: usize = 2;

impl Node {
    /// Returns the hosts that this one exchanges with, and their addresses. The result is recomputed only
    /// when the members change.
    pub(super) fn peers(&mut self) -> Vec<(HostId, String)> {
        let epoch = self.members.epoch();
        match &self.peers {
            Some((at, peers)) if *at == epoch => peers.clone(),
            _ => {
                let peers = self.choose_peers();
                self.peers = Some((epoch, peers.clone()));
                peers
            }
        }
    }

    /// Chooses the hosts to exchange with: this host's links, and listed hosts if there are too few links.
    fn choose_peers(&self) -> Vec<(HostId, String)> {
        let links = self.members.links();
        let mut peers: Vec<(HostId, String)> =
            links.iter().map(|m| (m.incarnation.host.clone(), m.peer_address.clone())).collect();
        // With fewer links than `LINKS_PER_HOST`, the host also contacts hosts that the platform lists.
        let missing = LINKS_PER_HOST.saturating_sub(peers.len());
        let is_dead = |h: &HostId| self.members.lookup(h).is_some_and(|m| !m.is_live());
        let linked: BTreeSet<HostId> = peers.iter().map(|(h, _)| h.clone()).collect();
        let listed = self.seeds.iter().filter(|(h, _)| !linked.contains(*h) && !is_dead(h));
        peers.extend(listed.take(missing).map(|(h, a)| (h.clone(), a.clone())));
        peers
    }

    /// Starts the exchanges that are due. One of them carries the loan requests, and the one with the pull
    /// source requests the missing configuration changes.
    pub(super) fn due_exchanges(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut targets = self.peers();
        let source = self.pull_source(now);
        if let Some(candidate) = self.reconnect_candidate(now) {
            targets.push(candidate);
        }
        if let Some(source) = &source {
            targets.retain(|(h, _)| *h != source.0);
            targets.push(source.clone());
        }
        let loan_requests =
            if targets.is_empty() { Vec::new() } else { self.limits().loan_requests(now) };
        let loan_target = (self.nonce as usize) % targets.len().max(1);
        let heartbeat_targets = targets.len();
        targets.extend(self.inbound_peers_to_update(now, &targets));
        for (i, (host, address)) in targets.into_iter().enumerate() {
            let loan_requests = if i == loan_target { loan_requests.clone() } else { Vec::new() };
            let is_pull = source.as_ref().is_some_and(|(h, _)| *h == host);
            let has_heartbeat = i < heartbeat_targets;
            if self.is_exchange_due(now, &host, !loan_requests.is_empty(), is_pull, has_heartbeat) {
                let max_reply_bytes =
                    if is_pull { self.config_pull.begin(now, &host) } else { SMALL_DELTA_ONLY };
                let message = self.message_for(now, &host, loan_requests, max_reply_bytes);
                let link = self.links.entry(host.clone()).or_default();
                link.sent_at = now;
                link.is_awaiting_reply = true;
                actions.push(Action::Exchange { to: host, address, message });
            }
        }
        actions
    }

    /// Returns the time since its last message within which a host counts as connected: two and a half
    /// heartbeats.
    pub(super) fn recent_contact_window(&self) -> Millis {
        Millis(self.options.heartbeat_ms * 2 + self.options.heartbeat_ms / 2)
    }

    /// Returns the hosts that recently called this one, are not in `excluded` and lack an update.
    ///
    /// They are sent the update at once. A host that no other host links to would otherwise receive a
    /// change only with its own next heartbeat.
    fn inbound_peers_to_update(
        &self,
        now: Millis,
        excluded: &[(HostId, String)],
    ) -> Vec<(HostId, String)> {
        let window = self.recent_contact_window();
        let needs_update = |(host, link): &(&HostId, &Link)| {
            let reported = link.reported_complete_to.max(link.peer_complete_to);
            let has_update =
                link.acked_by_peer < self.urgent_seq || reported < self.store.complete_to();
            has_update
                && now - link.last_received_at <= window
                && !excluded.iter().any(|(h, _)| h == *host)
        };
        let address = |host: &HostId| {
            let member = self.members.lookup(host).filter(|m| m.is_live())?;
            Some((host.clone(), member.peer_address.clone()))
        };
        self.links.iter().filter(needs_update).filter_map(|(h, _)| address(h)).collect()
    }

    /// Returns a host that is considered dead, or is listed by the platform but unknown, at most once per
    /// `reconnect_interval_ms`. After a partition both sides consider each other dead, and without these
    /// attempts neither would contact the other again.
    pub(super) fn reconnect_candidate(&mut self, now: Millis) -> Option<(HostId, String)> {
        if now - self.last_reconnect_at < Millis(self.options.reconnect_interval_ms) {
            return None;
        }
        self.last_reconnect_at = now;
        // A host that has left marks itself as dead and must not contact itself.
        let is_other = |m: &&Member| m.incarnation.host != self.incarnation.host;
        let dead = self.members.iter().filter(|m| !m.is_live()).filter(is_other);
        let dead = dead.map(|m| (m.incarnation.host.clone(), m.peer_address.clone()));
        let unknown = self.seeds.iter().filter(|(h, _)| self.members.lookup(h).is_none());
        let candidates: Vec<(HostId, String)> =
            dead.chain(unknown.map(|(h, a)| (h.clone(), a.clone()))).collect();
        let index = self.nonce as usize % candidates.len().max(1);
        candidates.into_iter().nth(index)
    }

    /// Reports whether an exchange with a host is due. `has_heartbeat` is set for the hosts that this one
    /// contacts at every heartbeat even without updates; the others are contacted only with updates or
    /// loan requests.
    fn is_exchange_due(
        &mut self,
        now: Millis,
        host: &HostId,
        has_loan_requests: bool,
        is_pull: bool,
        has_heartbeat: bool,
    ) -> bool {
        let urgent_seq = self.urgent_seq;
        let has_suspects = self.suspects.has_recent_changes(now);
        let complete_to = self.store.complete_to();
        let heartbeat = Millis(self.options.heartbeat_ms);
        let link = self.links.entry(host.clone()).or_insert_with(|| Link {
            last_received_at: now,
            sent_at: now - heartbeat,
            ..Link::default()
        });
        let elapsed = now - link.sent_at;
        if link.is_awaiting_reply && elapsed < Millis(self.options.heartbeat_ms * 2) {
            return false;
        }
        let reported = link.reported_complete_to.max(link.peer_complete_to);
        let has_updates = link.acked_by_peer < urgent_seq
            || reported < complete_to
            || link.item_limit.is_truncated()
            || has_suspects;
        is_pull
            || (has_heartbeat && elapsed.0 >= self.options.heartbeat_ms)
            || ((has_updates || has_loan_requests) && elapsed.0 >= self.options.update_delay_ms)
            || (has_heartbeat
                && link.peer_incarnation.is_none()
                && elapsed.0 >= self.options.heartbeat_ms / 4)
    }

    /// Marks hosts that stayed suspect for too long as dead, and forgets hosts that have long been dead.
    pub(super) fn expire_members(&mut self, now: Millis) {
        for host in self.members.suspected_for(now, Millis(self.options.suspect_timeout_ms)) {
            if let Some(member) = self.members.set_state(now, &host, MemberState::Dead) {
                self.publish_member(member);
            }
        }
        for host in self.members.forget_dead(now, Millis(self.options.dead_retention_ms)) {
            self.items.remove(&ItemKey::Member(host.clone()));
            self.links.remove(&host);
        }
    }

    /// Logs and publishes the new state of a host.
    pub(super) fn publish_member(&mut self, member: Member) {
        self.log_member_state(&member);
        self.publish_urgent(Item::Member(member), None);
    }

    /// Returns the probes of live hosts whose links have been silent for `silence_timeout_ms`.
    pub(super) fn due_probes(&mut self, now: Millis) -> Vec<Action> {
        let timeout = Millis(self.options.silence_timeout_ms);
        let silent = |(host, link): (&HostId, &Link)| {
            let is_live = self.members.lookup(host).is_some_and(|m| m.state < MemberState::Suspect);
            (is_live && !link.is_probed && now - link.last_received_at >= timeout)
                .then(|| host.clone())
        };
        let silent: Vec<HostId> = self.links.iter().filter_map(silent).collect();
        silent.into_iter().flat_map(|host| self.probe(now, &host)).collect()
    }

    /// Asks `INDIRECT_PROBES` other hosts to probe the target. If there is no other host, the probe counts
    /// as failed.
    fn probe(&mut self, now: Millis, target: &HostId) -> Vec<Action> {
        if let Some(link) = self.links.get_mut(target) {
            link.is_probed = true;
        }
        let Some(target_member) = self.members.lookup(target).cloned() else { return Vec::new() };
        let relays: Vec<Member> = self
            .members
            .ranked(target.as_str())
            .into_iter()
            .filter(|m| {
                m.incarnation.host != *target && m.incarnation.host != self.incarnation.host
            })
            .take(INDIRECT_PROBES)
            .cloned()
            .collect();
        if relays.is_empty() {
            self.on_probe(now, target, false);
        }
        let to_probe = |via: Member| Action::Probe {
            via: via.incarnation.host,
            via_address: via.peer_address,
            target: target.clone(),
            target_address: target_member.peer_address.clone(),
        };
        relays.into_iter().map(to_probe).collect()
    }

    /// Applies the outcome of a probe. A host that another one could reach is not probed again until its
    /// link has been silent once more. A host that could not be reached and is still silent becomes
    /// suspect.
    pub fn on_probe(&mut self, now: Millis, target: &HostId, is_reachable: bool) {
        let timeout = Millis(self.options.silence_timeout_ms);
        let is_linked = self.peers().iter().any(|(h, _)| h == target);
        if is_reachable && !is_linked {
            // The host is alive but has links to other hosts, so no messages are expected from it.
            self.links.remove(target);
            return;
        }
        let Some(link) = self.links.get_mut(target) else { return };
        if is_reachable {
            link.last_received_at = now;
            link.is_probed = false;
        } else if now - link.last_received_at >= timeout {
            if let Some(member) = self.members.set_state(now, target, MemberState::Suspect) {
                self.publish_member(member);
            }
        }
    }
}
