//! The own bills at the holder: who holds them, which go in the next call, how a call ended.
//!
//! Bills that arrive while a call to the holder is under way go together in the next one, so the
//! cost of a copy is shared under load. Bills that requests wait for go before those that an earlier
//! holder has, and a call that failed or was slow is followed by a smaller one: a new holder is given all
//! that is pending, over a path that may be slow. Where no host can hold a copy, a segment is written at once.

use std::collections::VecDeque;

use super::{BillReplicator, HoldCall, Holder, ReplicatorAction};
use crate::ledger::Bill;
use crate::units::Millis;

/// A failed call to the holder is tried again after this time.
const HOLD_RETRY_DELAY: Millis = Millis(300);

/// Most bills in one call to the holder: about 100 KB.
pub(super) const MAX_HOLD_BILLS: usize = 2_000;

/// Fewest bills that a call is cut down to: about 3 KB, a few packets.
const MIN_HOLD_BILLS: usize = 62;

/// A call should take no longer than this: a bill that comes meanwhile waits for its end.
pub(super) const TARGET_HOLD_TIME: Millis = Millis(250);

/// Of a call, a part in so many is left to bills that an earlier holder has: requests never starve them.
const TRANSFER_SHARE_DIVISOR: usize = 4;

/// Written bills that are worth a call of their own to the holder.
const MIN_WRITTEN_TO_REPORT: usize = 200;

/// A call to the holder under way.
#[derive(Debug)]
pub(super) struct HoldInFlight {
    batch: u64,
    started_at: Millis,
    bills: Vec<u64>,
    written: Vec<u64>,
}

impl BillReplicator {
    /// Counts the bills that were called safe and that the present holder does not have yet: those
    /// that an earlier holder has.
    pub fn bills_to_transfer(&self) -> usize {
        self.unreplicated.keys().filter(|n| !self.awaiting_replication.contains(n)).count()
    }

    /// Learns who may hold this host's bills, best first. The one that holds them now is kept.
    pub fn set_holders(&mut self, holders: Vec<Holder>) {
        let mut holders = VecDeque::from(holders);
        let current = self.holders.front().cloned();
        let current_index = holders.iter().position(|h| Some(h) == current.as_ref());
        if let Some(at) = current_index {
            holders.rotate_left(at);
        }
        self.holders = holders;
        if current_index.is_none() {
            self.restart_replication();
        }
    }

    /// Gives the present holder all that is pending, what another has yet to acknowledge included.
    fn restart_replication(&mut self) {
        self.hold_in_flight = None;
        self.hold_retry_at = None;
        self.unreplicated = self.own_bills.bills_from(0).map(|b| (b.number(), b.clone())).collect();
    }

    /// Has the holder hold what it lacks, one call at a time.
    pub(super) fn start_hold(&mut self, now: Millis) {
        let is_backing_off = self.hold_retry_at.is_some_and(|at| now < at);
        let has_nothing_to_send =
            self.unreplicated.is_empty() && self.written.len() < MIN_WRITTEN_TO_REPORT;
        if self.hold_in_flight.is_some() || is_backing_off || has_nothing_to_send {
            return;
        }
        let Some(holder) = self.holders.front().map(|h| h.address.clone()) else { return };
        let bills = self.next_hold_bills();
        self.last_batch += 1;
        let written = std::mem::take(&mut self.written);
        self.hold_in_flight = Some(HoldInFlight {
            batch: self.last_batch,
            started_at: now,
            bills: bills.iter().map(Bill::number).collect(),
            written: written.clone(),
        });
        let origin = self.origin.clone();
        let call = HoldCall { origin, bills, written, next_segment: self.own_bills.next_segment() };
        self.actions.push(ReplicatorAction::Hold { holder, batch: self.last_batch, call });
    }

    /// Chooses the bills of the next call: what requests wait for first, then what is to be moved.
    fn next_hold_bills(&self) -> Vec<Bill> {
        let awaited =
            self.awaiting_replication.iter().filter(|n| self.unreplicated.contains_key(n)).count();
        let to_transfer = self.unreplicated.len() - awaited;
        let reserved_for_transfer = to_transfer.min(self.max_hold_bills / TRANSFER_SHARE_DIVISOR);
        let awaited = self.awaiting_replication.iter().filter_map(|n| self.unreplicated.get(n));
        let mut bills: Vec<Bill> =
            awaited.take(self.max_hold_bills - reserved_for_transfer).cloned().collect();
        let to_transfer =
            self.unreplicated.values().filter(|b| !self.awaiting_replication.contains(&b.number()));
        bills.extend(to_transfer.take(self.max_hold_bills - bills.len()).cloned());
        bills.sort_by_key(Bill::number);
        bills
    }

    /// Takes the end of a call to the holder.
    pub fn hold_done(&mut self, now: Millis, batch: u64, is_held: bool) {
        if let Some(origin) = self.forwarded_origin(batch) {
            return self.forward_done(now, &origin, is_held);
        }
        let Some(call) = self.hold_in_flight.take_if(|h| h.batch == batch) else { return };
        self.adjust_hold_size(is_held && now - call.started_at <= TARGET_HOLD_TIME);
        if !is_held {
            self.written.extend(call.written);
            self.consecutive_failures += 1;
            self.holders.rotate_left(1.min(self.holders.len()));
            self.restart_replication();
            // All of them failed: segments stand in until one answers again.
            if self.consecutive_failures >= self.holders.len() {
                self.hold_retry_at = Some(now + HOLD_RETRY_DELAY);
            }
            return;
        }
        self.consecutive_failures = 0;
        self.hold_retry_at = None;
        self.unavailable_until = Millis(0);
        for number in call.bills {
            self.unreplicated.remove(&number);
            self.release_response(number);
        }
    }

    /// Sets the size of the next call by how the last one went.
    pub(super) fn adjust_hold_size(&mut self, is_in_time: bool) {
        self.max_hold_bills = match is_in_time {
            true => (self.max_hold_bills * 2).min(MAX_HOLD_BILLS),
            false => (self.max_hold_bills / 2).max(MIN_HOLD_BILLS),
        };
    }

    /// Lets the request go that waits for a bill to be safe, if one does.
    pub(super) fn release_response(&mut self, number: u64) {
        if self.awaiting_replication.remove(&number) {
            self.actions.push(ReplicatorAction::ReleaseResponse(number));
        }
    }
}
