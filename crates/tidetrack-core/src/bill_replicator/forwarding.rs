//! Sends a copy of a gone host's bills to this host's holder while they cannot be written.

use super::replication::TARGET_HOLD_TIME;
use super::{BillReplicator, HoldCall, ReplicatorAction};
use crate::ids::Incarnation;
use crate::ledger::Bill;
use crate::units::Millis;

/// Progress of forwarding the bills of one gone origin.
#[derive(Debug, Default)]
pub(super) struct Forwarding {
    holder: String,
    /// Number of bills held for the origin when forwarding began. It starts again if this changes.
    held_count: usize,
    /// Bills below this number have been sent.
    next_number: u64,
    /// The unanswered call: its number, its start time and the number of its last bill.
    in_flight: Option<(u64, Millis, u64)>,
}

impl BillReplicator {
    /// Returns the gone origin whose bills were sent with this call, if any.
    pub(super) fn forwarded_origin(&self, batch: u64) -> Option<Incarnation> {
        let has_batch = |p: &Forwarding| p.in_flight.is_some_and(|(number, ..)| number == batch);
        self.forwarding_by_origin.iter().find(|(_, p)| has_batch(p)).map(|(o, _)| o.clone())
    }

    /// Sends the next bills of a gone origin to the holder. Called while they cannot be written;
    /// one call is in flight at a time.
    pub(super) fn forward_bills(&mut self, now: Millis, origin: &Incarnation) {
        let Some(holder) = self.holders.front().map(|h| h.address.clone()) else { return };
        let Some(pending) = self.held.pending(origin) else { return };
        let held_count = pending.len();
        let forwarding = self.forwarding_by_origin.entry(origin.clone()).or_default();
        if forwarding.in_flight.is_some() {
            return;
        }
        if forwarding.holder != holder || forwarding.held_count != held_count {
            *forwarding =
                Forwarding { holder: holder.clone(), held_count, ..Forwarding::default() };
        }
        let bills: Vec<Bill> =
            pending.bills_from(forwarding.next_number).take(self.max_hold_bills).cloned().collect();
        let Some(last) = bills.last().map(Bill::number) else { return };
        self.last_batch += 1;
        forwarding.in_flight = Some((self.last_batch, now, last));
        let (origin, next_segment) = (origin.clone(), pending.next_segment());
        let call = HoldCall { origin, bills, written: Vec::new(), next_segment };
        self.actions.push(ReplicatorAction::Hold { holder, batch: self.last_batch, call });
    }

    /// Handles the result of a call that forwarded bills.
    pub(super) fn forward_done(&mut self, now: Millis, origin: &Incarnation, is_held: bool) {
        let Some(forwarding) = self.forwarding_by_origin.get_mut(origin) else { return };
        let Some((_, started_at, last)) = forwarding.in_flight.take() else { return };
        forwarding.next_number = last + 1;
        self.adjust_hold_size(is_held && now - started_at <= TARGET_HOLD_TIME);
        match is_held {
            true => self.forward_bills(now, origin),
            // Forwarding starts again at the next failed write.
            false => drop(self.forwarding_by_origin.remove(origin)),
        }
    }
}
