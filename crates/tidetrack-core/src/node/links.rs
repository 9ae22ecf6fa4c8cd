//! Which hosts a node talks with, when, and what it makes of their silence.

use std::collections::BTreeSet;

use crate::ids::HostId;
use crate::membership::{Member, MemberState, LINKS};
use crate::units::Millis;

use super::messages::{Item, ItemKey};
use super::pulls::NO_ROOM;
use super::{Action, Link, Node};

/// Hosts asked to probe a silent one.
const PROBES: usize = 2;

impl Node {
    /// Lists the hosts to talk to, with addresses. Worked out anew only when the members change.
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

    fn choose_peers(&self) -> Vec<(HostId, String)> {
        let links = self.members.links();
        let mut peers: Vec<(HostId, String)> =
            links.iter().map(|m| (m.incarnation.host.clone(), m.peer.clone())).collect();
        // A host that is not connected yet asks the listed ones until it is.
        let lacking = LINKS.saturating_sub(peers.len());
        let dead = |h: &HostId| self.members.lookup(h).is_some_and(|m| !m.is_live());
        let known: BTreeSet<HostId> = peers.iter().map(|(h, _)| h.clone()).collect();
        let more = self.seeds.iter().filter(|(h, _)| !known.contains(*h) && !dead(h));
        peers.extend(more.take(lacking).map(|(h, a)| (h.clone(), a.clone())));
        peers
    }

    pub(super) fn exchange_due(&mut self, now: Millis) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut wanted = self.peers();
        let pull = self.source(now);
        if let Some(lost) = self.lost_host(now) {
            wanted.push(lost);
        }
        if let Some(pull) = &pull {
            wanted.retain(|(h, _)| *h != pull.0);
            wanted.push(pull.clone());
        }
        let asks = if wanted.is_empty() { Vec::new() } else { self.limits().loan_requests(now) };
        let asked = (self.nonce as usize) % wanted.len().max(1);
        let opened = wanted.len();
        wanted.extend(self.callers_with_news(now, &wanted));
        for (i, (host, address)) in wanted.into_iter().enumerate() {
            let asks = if i == asked { asks.clone() } else { Vec::new() };
            let pulls = pull.as_ref().is_some_and(|(h, _)| *h == host);
            let beats = i < opened;
            if self.is_due(now, &host, !asks.is_empty(), pulls, beats) {
                let room = if pulls { self.pulls.begin(now, &host) } else { NO_ROOM };
                let message = self.message_for(now, &host, asks, room);
                let link = self.links.entry(host.clone()).or_default();
                link.sent_at = now;
                link.waiting = true;
                actions.push(Action::Exchange { to: host, address, message });
            }
        }
        actions
    }

    /// Gets the time within which a host that calls this one is heard again.
    pub(super) fn heard_lately(&self) -> Millis {
        Millis(self.options.beat_ms * 2 + self.options.beat_ms / 2)
    }

    /// Lists the hosts that call this one and that it has no link of its own to, if there is news.
    ///
    /// They are told at once like the others: a host that nobody links to would otherwise learn of a
    /// change only with its own next beat.
    fn callers_with_news(&self, now: Millis, known: &[(HostId, String)]) -> Vec<(HostId, String)> {
        let heard = self.heard_lately();
        let calls = |(host, link): &(&HostId, &Link)| {
            let told = link.told_complete_to.max(link.peer_complete_to);
            let news = link.acked_by_peer < self.urgent_seq || told < self.store.complete_to();
            news && now - link.heard_at <= heard && !known.iter().any(|(h, _)| h == *host)
        };
        let address = |host: &HostId| {
            let member = self.members.lookup(host).filter(|m| m.is_live())?;
            Some((host.clone(), member.peer.clone()))
        };
        self.links.iter().filter(calls).filter_map(|(h, _)| address(h)).collect()
    }

    /// Picks, now and then, a host that is held dead or was never met: after a partition both sides
    /// hold each other dead, and without this neither would call the other.
    pub(super) fn lost_host(&mut self, now: Millis) -> Option<(HostId, String)> {
        if now - self.sought_at < Millis(self.options.seek_ms) {
            return None;
        }
        self.sought_at = now;
        // This host itself is held dead once it has left.
        let is_other = |m: &&Member| m.incarnation.host != self.own.host;
        let dead = self.members.iter().filter(|m| !m.is_live()).filter(is_other);
        let dead = dead.map(|m| (m.incarnation.host.clone(), m.peer.clone()));
        let unmet = self.seeds.iter().filter(|(h, _)| self.members.lookup(h).is_none());
        let lost: Vec<(HostId, String)> =
            dead.chain(unmet.map(|(h, a)| (h.clone(), a.clone()))).collect();
        let turn = self.nonce as usize % lost.len().max(1);
        lost.into_iter().nth(turn)
    }

    fn is_due(
        &mut self,
        now: Millis,
        host: &HostId,
        asking: bool,
        pulls: bool,
        beats: bool,
    ) -> bool {
        let urgent = self.urgent_seq;
        let has_suspects = self.suspects.has_recent_changes(now);
        let complete_to = self.store.complete_to();
        let beat = Millis(self.options.beat_ms);
        let link = self.links.entry(host.clone()).or_insert_with(|| Link {
            heard_at: now,
            sent_at: now - beat,
            ..Link::default()
        });
        let passed = now - link.sent_at;
        if link.waiting && passed < Millis(self.options.beat_ms * 2) {
            return false;
        }
        let told = link.told_complete_to.max(link.peer_complete_to);
        let news = link.acked_by_peer < urgent
            || told < complete_to
            || link.items.is_cut()
            || has_suspects;
        pulls
            || (beats && passed.0 >= self.options.beat_ms)
            || ((news || asking) && passed.0 >= self.options.news_ms)
            || (beats && link.peer_life.is_none() && passed.0 >= self.options.beat_ms / 4)
    }

    pub(super) fn judge_members(&mut self, now: Millis) {
        for host in self.members.suspected_for(now, Millis(self.options.suspect_ms)) {
            if let Some(member) = self.members.set_state(now, &host, MemberState::Dead) {
                self.pass_on_member(member);
            }
        }
        for host in self.members.forget_dead(now, Millis(self.options.forget_ms)) {
            self.items.remove(&ItemKey::Member(host.clone()));
            self.links.remove(&host);
        }
    }

    pub(super) fn pass_on_member(&mut self, member: Member) {
        self.say_member(&member);
        self.put_urgent(Item::Member(member), None);
    }

    /// Lists the probes for links that have gone silent.
    pub(super) fn probes_due(&mut self, now: Millis) -> Vec<Action> {
        let silent = Millis(self.options.silent_ms);
        let quiet = |(host, link): (&HostId, &Link)| {
            let live = self.members.lookup(host).is_some_and(|m| m.state < MemberState::Suspect);
            (live && !link.probed && now - link.heard_at >= silent).then(|| host.clone())
        };
        let quiet: Vec<HostId> = self.links.iter().filter_map(quiet).collect();
        quiet.into_iter().flat_map(|host| self.probe(now, &host)).collect()
    }

    fn probe(&mut self, now: Millis, target: &HostId) -> Vec<Action> {
        if let Some(link) = self.links.get_mut(target) {
            link.probed = true;
        }
        let Some(target_member) = self.members.lookup(target).cloned() else { return Vec::new() };
        let vias: Vec<Member> = self
            .members
            .ranked(target.as_str())
            .into_iter()
            .filter(|m| m.incarnation.host != *target && m.incarnation.host != self.own.host)
            .take(PROBES)
            .cloned()
            .collect();
        if vias.is_empty() {
            self.on_probe(now, target, false);
        }
        let probe_of = |via: Member| Action::Probe {
            via: via.incarnation.host,
            via_address: via.peer,
            target: target.clone(),
            target_address: target_member.peer.clone(),
        };
        vias.into_iter().map(probe_of).collect()
    }

    /// Takes the outcome of a probe: a host that others reach is left alone for a while.
    pub fn on_probe(&mut self, now: Millis, target: &HostId, reached: bool) {
        let silent = Millis(self.options.silent_ms);
        let linked = self.peers().iter().any(|(h, _)| h == target);
        if reached && !linked {
            // It lives and has chosen other hosts to call.
            self.links.remove(target);
            return;
        }
        let Some(link) = self.links.get_mut(target) else { return };
        if reached {
            link.heard_at = now;
            link.probed = false;
        } else if now - link.heard_at >= silent {
            if let Some(member) = self.members.set_state(now, target, MemberState::Suspect) {
                self.pass_on_member(member);
            }
        }
    }
}
