//! Replication of this host's bills to the holder.
//!
//! One call is in flight at a time. Bills that arrive meanwhile share the next call, which reduces
//! the cost per bill under load. Bills that requests wait for are sent before bills that a previous
//! holder already has. After a failed or slow call the next one is smaller, because a new holder is
//! sent all pending bills, possibly over a slow network path. If no host can hold a copy, a segment
//! is written at once.

use std::collections::VecDeque;

use super::{BillReplicator, HoldCall, Holder, ReplicatorAction};
use crate::ledger::Bill;
use crate::units::Millis;

/// Delay before calls are retried after all holders have failed.
const HOLD_RETRY_DELAY: Millis = Millis(300);

/// Maximum number of bills in one call to the holder, about 100 KB.
pub(super) const MAX_HOLD_BILLS: usize = 2_000;

/// Minimum number of bills to which a call is reduced: about 3 KB, a few packets.
const MIN_HOLD_BILLS: usize = 62;

/// Target duration of a call. A bill that arrives during a call waits until it has ended.
pub(super) const TARGET_HOLD_TIME: Millis = Millis(250);

/// One in this many bills of a call is reserved for bills that a previous holder has, so that the
/// bills which requests wait for never starve them.
const TRANSFER_SHARE_DIVISOR: usize = 4;

/// Number of written bills from which a call is made only to let the holder drop them.
const MIN_WRITTEN_TO_REPORT: usize = 200;

/// A call to the holder that has not been answered.
#[derive(Debug)]
pub(super) struct HoldInFlight {
    batch: u64,
    started_at: Millis,
    bills: Vec<u64>,
    written: Vec<u64>,
}

impl BillReplicator {
    /// Returns the number of bills whose requests have finished but that the current holder does
    /// not have yet; a previous holder has them.
    pub fn bills_to_transfer(&self) -> usize {
        self.unreplicated.keys().filter(|n| !self.awaiting_replication.contains(n)).count()
    }

    /// Sets the hosts that can hold this host's bills, best first. The current holder remains the
    /// first if it is among them.
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

    /// Queues all pending bills for the current holder, including those of an unanswered call.
    fn restart_replication(&mut self) {
        self.hold_in_flight = None;
        self.hold_retry_at = None;
        self.unreplicated = self.own_bills.bills_from(0).map(|b| (b.number(), b.clone())).collect();
    }

    /// Sends the holder the bills that it lacks, unless a call is in flight.
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

    /// Selects the bills of the next call: first those that requests wait for, then those that a
    /// previous holder has.
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

    /// Handles the result of a call to the holder.
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
            // All holders have failed: segments are written instead until a holder accepts bills
            // again.
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

    /// Doubles or halves the size of the next call, depending on whether the last one met its
    /// target.
    pub(super) fn adjust_hold_size(&mut self, is_in_time: bool) {
        self.max_hold_bills = match is_in_time {
            true => (self.max_hold_bills * 2).min(MAX_HOLD_BILLS),
            false => (self.max_hold_bills / 2).max(MIN_HOLD_BILLS),
        };
    }

    /// Releases the response that waits for this bill, if there is one.
    pub(super) fn release_response(&mut self, number: u64) {
        if self.awaiting_replication.remove(&number) {
            self.actions.push(ReplicatorAction::ReleaseResponse(number));
        }
    }
}
