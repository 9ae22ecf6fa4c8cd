//! The two halves of an exchange: what a node says to another host, and what it takes from one.

use crate::ids::HostId;
use crate::limits::LoanRequest;
use crate::store::Delta;
use crate::traffic::suspects::MAX_REPORTS_PER_MESSAGE;
use crate::units::Millis;

use super::messages::Exchange;
use super::pulls::{ANSWER_AIM, NO_ROOM};
use super::{Link, Node};

impl Node {
    pub(super) fn message_for(
        &mut self,
        now: Millis,
        host: &HostId,
        asks: Vec<LoanRequest>,
        room: usize,
    ) -> Exchange {
        self.nonce = self.nonce.wrapping_add(1);
        let link = self.links.get(host).cloned().unwrap_or_default();
        let (seq, items) = self.items_for(host, &link);
        let complete_to = self.store.complete_to();
        let behind = link.peer_life.is_some() && link.peer_complete_to < complete_to;
        // A large run of changes is only announced: of many who have it, one will be asked for it.
        let objects = behind.then(|| self.small_run_since(link.peer_complete_to)).flatten();
        if let Some(link) = self.links.get_mut(host) {
            link.told_complete_to = complete_to;
        }
        Exchange {
            from: self.own.clone(),
            nonce: self.nonce,
            after: link.acked_by_peer,
            seq,
            acked: link.acked_of_peer,
            complete_to,
            fresh_age_ms: self.fresh_age(now).map(|a| a.0),
            room: Some(room),
            objects,
            items,
            suspects: self.suspects.reports_for_host(now, MAX_REPORTS_PER_MESSAGE),
            asks,
            loans: Vec::new(),
        }
    }

    /// Gets the changes after `from` if they are few enough to be told to whoever lacks them.
    fn small_run_since(&self, from: u64) -> Option<Delta> {
        let run = self.run_for(from, None)?;
        let is_whole = run.to == self.store.complete_to();
        (is_whole && run.body_bytes() <= self.options.push_bytes).then_some(run)
    }

    /// Gets the changes after `from` that the other side has room for; one that names none is a host
    /// of an earlier release, which takes what it is given.
    fn run_for(&self, from: u64, room: Option<usize>) -> Option<Delta> {
        let bytes = match room {
            Some(NO_ROOM) => return self.small_run_since(from),
            Some(room) => room.min(self.options.object_bytes),
            None => self.options.object_bytes,
        };
        Some(self.store.since(from, self.options.objects_most, bytes))
    }

    /// Answers another host's half of an exchange.
    pub fn on_exchange(&mut self, now: Millis, message: Exchange) -> Exchange {
        let host = message.from.host.clone();
        let (nonce, peer_complete_to, room) = (message.nonce, message.complete_to, message.room);
        let loans = self.limits().grant(now, &message.asks);
        self.absorb(now, None, message);
        let link = self.links.get(&host).cloned().unwrap_or_default();
        let (seq, items) = self.items_for(&host, &link);
        let behind = peer_complete_to < self.store.complete_to();
        Exchange {
            from: self.own.clone(),
            nonce,
            after: link.acked_by_peer,
            seq,
            acked: link.acked_of_peer,
            complete_to: self.store.complete_to(),
            fresh_age_ms: self.fresh_age(now).map(|a| a.0),
            room: None,
            objects: behind.then(|| self.run_for(peer_complete_to, room)).flatten(),
            items,
            suspects: self.suspects.reports_for_host(now, MAX_REPORTS_PER_MESSAGE),
            asks: Vec::new(),
            loans,
        }
    }

    /// Takes the reply to an exchange that was sent at `sent_at` with `nonce`.
    pub fn on_reply(&mut self, now: Millis, to: &HostId, sent_at: Millis, nonce: u64, r: Exchange) {
        if let Some(link) = self.links.get_mut(to) {
            link.waiting = false;
        }
        self.pulls.answered(now, to, self.options.object_bytes);
        if r.from.host == *to && r.nonce == nonce {
            self.limits().accept_loans(sent_at, &r.loans);
            self.absorb(now, Some(sent_at), r);
        }
    }

    /// Takes note that an exchange failed.
    pub fn on_failed(&mut self, to: &HostId) {
        self.pulls.failed(to);
        if let Some(link) = self.links.get_mut(to) {
            link.waiting = false;
            link.items.narrow();
        }
    }

    /// Merges what the other side says. `asked_at` is there if this is a reply.
    fn absorb(&mut self, now: Millis, asked_at: Option<Millis>, message: Exchange) {
        let own_life = self.own.clone();
        let link = self.links.entry(message.from.host.clone()).or_default();
        if link.peer_life.as_ref() != Some(&message.from) {
            *link = Link { sent_at: link.sent_at, ..Link::default() };
            link.peer_life = Some(message.from.clone());
        }
        link.heard_at = now;
        link.probed = false;
        if message.acked > link.acked_by_peer {
            let is_late = asked_at.is_some_and(|at| now - at > ANSWER_AIM);
            link.items.acknowledged(is_late, self.options.items_most);
            link.acked_by_peer = message.acked;
        }
        link.peer_complete_to = link.peer_complete_to.max(message.complete_to);
        // Items that begin past what this life has would leave a gap: they count for nothing.
        if message.after <= link.acked_of_peer {
            link.acked_of_peer = link.acked_of_peer.max(message.seq);
        }
        debug_assert!(message.from != own_life);
        let (complete_to, fresh) = (message.complete_to, message.fresh_age_ms);
        if let Some(delta) = message.objects {
            self.merge_objects(delta);
        }
        self.suspects.receive_reports(now, &message.suspects);
        let from = message.from;
        for item in message.items {
            self.merge_item(now, &from, item);
        }
        // The other side's word holds from when it was asked, never from when it arrived.
        if let (Some(asked_at), Some(age)) = (asked_at, fresh) {
            if complete_to <= self.store.complete_to() {
                self.confirm(asked_at, Millis(age));
            }
        }
    }
}
