//! The exchange protocol: builds the request and the reply, and applies what the other host sent.

use crate::ids::HostId;
use crate::limits::LoanRequest;
use crate::store::Delta;
use crate::traffic::suspects::MAX_REPORTS_PER_MESSAGE;
use crate::units::Millis;

use super::config_pull::{SMALL_DELTA_ONLY, TARGET_RESPONSE_TIME};
use super::messages::Exchange;
use super::{Link, Node};

impl Node {
    /// Builds the request half of an exchange with `host`. The reply may carry configuration changes of
    /// up to `max_reply_bytes`.
    pub(super) fn message_for(
        &mut self,
        now: Millis,
        host: &HostId,
        loan_requests: Vec<LoanRequest>,
        max_reply_bytes: usize,
    ) -> Exchange {
        self.nonce = self.nonce.wrapping_add(1);
        let link = self.links.get(host).cloned().unwrap_or_default();
        let (last_seq, items) = self.items_for(host, &link);
        let complete_to = self.store.complete_to();
        let is_peer_behind = link.peer_incarnation.is_some() && link.peer_complete_to < complete_to;
        // Large changes are only announced by `complete_to`. Many hosts have them, and the receiver
        // requests them from one.
        let changes =
            is_peer_behind.then(|| self.small_delta_since(link.peer_complete_to)).flatten();
        if let Some(link) = self.links.get_mut(host) {
            link.reported_complete_to = complete_to;
        }
        Exchange {
            from: self.incarnation.clone(),
            nonce: self.nonce,
            after_seq: link.acked_by_peer,
            last_seq,
            acked_seq: link.received_seq,
            complete_to,
            confirmation_age_ms: self.confirmation_age(now).map(|a| a.0),
            max_reply_bytes: Some(max_reply_bytes),
            changes,
            items,
            suspects: self.suspects.reports_for_host(now, MAX_REPORTS_PER_MESSAGE),
            loan_requests,
            loans: Vec::new(),
        }
    }

    /// Returns the changes after revision `from` if they are small enough to be sent without a
    /// request, that is, at most `max_push_bytes`.
    fn small_delta_since(&self, from: u64) -> Option<Delta> {
        let delta = self.delta_for(from, None)?;
        let is_complete = delta.to == self.store.complete_to();
        (is_complete && delta.body_bytes() <= self.options.max_push_bytes).then_some(delta)
    }

    /// Returns the changes after revision `from` up to the size that the other host accepts. A host of an
    /// earlier release names no size and accepts up to `max_object_bytes`.
    fn delta_for(&self, from: u64, max_reply_bytes: Option<usize>) -> Option<Delta> {
        let bytes = match max_reply_bytes {
            Some(SMALL_DELTA_ONLY) => return self.small_delta_since(from),
            Some(max_reply_bytes) => max_reply_bytes.min(self.options.max_object_bytes),
            None => self.options.max_object_bytes,
        };
        Some(self.store.changes_since(from, self.options.max_objects, bytes))
    }

    /// Applies the request half of an exchange from another host and returns the reply.
    pub fn on_exchange(&mut self, now: Millis, message: Exchange) -> Exchange {
        let host = message.from.host.clone();
        let (nonce, peer_complete_to, max_reply_bytes) =
            (message.nonce, message.complete_to, message.max_reply_bytes);
        let loans = self.limits().grant(now, &message.loan_requests);
        self.apply_message(now, None, message);
        let link = self.links.get(&host).cloned().unwrap_or_default();
        let (last_seq, items) = self.items_for(&host, &link);
        let is_peer_behind = peer_complete_to < self.store.complete_to();
        Exchange {
            from: self.incarnation.clone(),
            nonce,
            after_seq: link.acked_by_peer,
            last_seq,
            acked_seq: link.received_seq,
            complete_to: self.store.complete_to(),
            confirmation_age_ms: self.confirmation_age(now).map(|a| a.0),
            max_reply_bytes: None,
            changes: is_peer_behind
                .then(|| self.delta_for(peer_complete_to, max_reply_bytes))
                .flatten(),
            items,
            suspects: self.suspects.reports_for_host(now, MAX_REPORTS_PER_MESSAGE),
            loan_requests: Vec::new(),
            loans,
        }
    }

    /// Applies the reply to the exchange that was sent to host `to` at `sent_at` with `nonce`. A reply from
    /// another host or with another nonce is ignored.
    pub fn on_reply(
        &mut self,
        now: Millis,
        to: &HostId,
        sent_at: Millis,
        nonce: u64,
        reply: Exchange,
    ) {
        if let Some(link) = self.links.get_mut(to) {
            link.is_awaiting_reply = false;
        }
        self.config_pull.on_response(now, to, self.options.max_object_bytes);
        if reply.from.host == *to && reply.nonce == nonce {
            self.limits().accept_loans(sent_at, &reply.loans);
            self.apply_message(now, Some(sent_at), reply);
        }
    }

    /// Records that an exchange with a host failed; the next messages to it are smaller.
    pub fn on_exchange_failed(&mut self, to: &HostId) {
        self.config_pull.on_failure(to);
        if let Some(link) = self.links.get_mut(to) {
            link.is_awaiting_reply = false;
            link.item_limit.halve();
        }
    }

    /// Merges a message of another host. `requested_at` is the time of the request if this is a reply.
    fn apply_message(&mut self, now: Millis, requested_at: Option<Millis>, message: Exchange) {
        let own_incarnation = self.incarnation.clone();
        let link = self.links.entry(message.from.host.clone()).or_default();
        if link.peer_incarnation.as_ref() != Some(&message.from) {
            *link = Link { sent_at: link.sent_at, ..Link::default() };
            link.peer_incarnation = Some(message.from.clone());
        }
        link.last_received_at = now;
        link.is_probed = false;
        if message.acked_seq > link.acked_by_peer {
            let is_late = requested_at.is_some_and(|at| now - at > TARGET_RESPONSE_TIME);
            link.item_limit.on_acknowledged(is_late, self.options.max_items);
            link.acked_by_peer = message.acked_seq;
        }
        link.peer_complete_to = link.peer_complete_to.max(message.complete_to);
        // Items that start after what this incarnation has received leave a gap, so they are merged
        // but not acknowledged.
        if message.after_seq <= link.received_seq {
            link.received_seq = link.received_seq.max(message.last_seq);
        }
        debug_assert!(message.from != own_incarnation);
        let (complete_to, confirmation_age_ms) = (message.complete_to, message.confirmation_age_ms);
        if let Some(delta) = message.changes {
            self.merge_objects(delta);
        }
        self.suspects.receive_reports(now, &message.suspects);
        let from = message.from;
        for item in message.items {
            self.merge_item(now, &from, item);
        }
        // The age in a reply is counted from the time of the request, not from the arrival of the
        // reply: the other host may have computed it at any time in between.
        if let (Some(requested_at), Some(age)) = (requested_at, confirmation_age_ms) {
            if complete_to <= self.store.complete_to() {
                self.confirm(requested_at, Millis(age));
            }
        }
    }
}
