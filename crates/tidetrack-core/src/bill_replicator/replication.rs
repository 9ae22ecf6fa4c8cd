//! The own bills at the holder: who holds them, which go in the next call, how a call ended.
//!
//! Bills that arrive while a call to the holder is under way go together in the next one, so the
//! cost of a copy is shared under load. Bills that requests wait for go before those that an earlier
//! holder has, and a call that failed or was slow is followed by a smaller one: a new holder is given all
//! that is pending, over a path that may be slow. Where no host can hold a copy, a segment is written at once.

use std::collections::VecDeque;

use super::{HoldCall, Holder, Keeper, KeeperAction};
use crate::ledger::Bill;
use crate::units::Millis;

/// A failed call to the holder is tried again after this time.
const HOLD_AGAIN: Millis = Millis(300);

/// Most bills in one call to the holder: about 100 KB.
pub(super) const HOLD_MOST: usize = 2_000;

/// Fewest bills that a call is cut down to: about 3 KB, a few packets.
const HOLD_LEAST: usize = 62;

/// A call should take no longer than this: a bill that comes meanwhile waits for its end.
pub(super) const HOLD_AIM: Millis = Millis(250);

/// Of a call, a part in so many is left to bills that an earlier holder has: requests never starve them.
const MOVED_PART: usize = 4;

/// Written bills that are worth a call of their own to the holder.
const WRITTEN_WORTH: usize = 200;

/// A call to the holder under way.
#[derive(Debug)]
pub(super) struct Holding {
    batch: u64,
    began: Millis,
    bills: Vec<u64>,
    written: Vec<u64>,
}

impl Keeper {
    /// Counts the bills that were called safe and that the present holder does not have yet: those
    /// that an earlier holder has.
    pub fn on_the_move(&self) -> usize {
        self.unheld.keys().filter(|n| !self.waiting.contains(n)).count()
    }

    /// Learns who may hold this host's bills, best first. The one that holds them now is kept.
    pub fn set_holders(&mut self, holders: Vec<Holder>) {
        let mut holders = VecDeque::from(holders);
        let present = self.holders.front().cloned();
        let kept = holders.iter().position(|h| Some(h) == present.as_ref());
        if let Some(at) = kept {
            holders.rotate_left(at);
        }
        self.holders = holders;
        if kept.is_none() {
            self.begin_anew();
        }
    }

    /// Gives the present holder all that is pending, what another has yet to acknowledge included.
    fn begin_anew(&mut self) {
        self.holding = None;
        self.hold_after = None;
        self.unheld = self.own.from(0).map(|b| (b.number(), b.clone())).collect();
    }

    /// Has the holder hold what it lacks, one call at a time.
    pub(super) fn hold(&mut self, now: Millis) {
        let too_early = self.hold_after.is_some_and(|at| now < at);
        let nothing = self.unheld.is_empty() && self.written.len() < WRITTEN_WORTH;
        if self.holding.is_some() || too_early || nothing {
            return;
        }
        let Some(holder) = self.holders.front().map(|h| h.address.clone()) else { return };
        let bills = self.next_to_hold();
        self.batches += 1;
        let written = std::mem::take(&mut self.written);
        self.holding = Some(Holding {
            batch: self.batches,
            began: now,
            bills: bills.iter().map(Bill::number).collect(),
            written: written.clone(),
        });
        let origin = self.origin.clone();
        let call = HoldCall { origin, bills, written, next_segment: self.own.next_segment() };
        self.out.push(KeeperAction::Hold { holder, batch: self.batches, call });
    }

    /// Chooses the bills of the next call: what requests wait for first, then what is to be moved.
    fn next_to_hold(&self) -> Vec<Bill> {
        let waited = self.waiting.iter().filter(|n| self.unheld.contains_key(n)).count();
        let moved = self.unheld.len() - waited;
        let left_to_moved = moved.min(self.hold_most / MOVED_PART);
        let waited = self.waiting.iter().filter_map(|n| self.unheld.get(n));
        let mut bills: Vec<Bill> = waited.take(self.hold_most - left_to_moved).cloned().collect();
        let moved = self.unheld.values().filter(|b| !self.waiting.contains(&b.number()));
        bills.extend(moved.take(self.hold_most - bills.len()).cloned());
        bills.sort_by_key(Bill::number);
        bills
    }

    /// Takes the end of a call to the holder.
    pub fn hold_done(&mut self, now: Millis, batch: u64, held: bool) {
        if let Some(origin) = self.passed_by(batch) {
            return self.pass_done(now, &origin, held);
        }
        let Some(call) = self.holding.take_if(|h| h.batch == batch) else { return };
        self.resize(held && now - call.began <= HOLD_AIM);
        if !held {
            self.written.extend(call.written);
            self.failures += 1;
            self.holders.rotate_left(1.min(self.holders.len()));
            self.begin_anew();
            // All of them failed: segments stand in until one answers again.
            if self.failures >= self.holders.len() {
                self.hold_after = Some(now + HOLD_AGAIN);
            }
            return;
        }
        self.failures = 0;
        self.hold_after = None;
        self.unsafe_until = Millis(0);
        for number in call.bills {
            self.unheld.remove(&number);
            self.tell_safe(number);
        }
    }

    /// Sets the size of the next call by how the last one went.
    pub(super) fn resize(&mut self, in_time: bool) {
        self.hold_most = match in_time {
            true => (self.hold_most * 2).min(HOLD_MOST),
            false => (self.hold_most / 2).max(HOLD_LEAST),
        };
    }

    /// Lets the request go that waits for a bill to be safe, if one does.
    pub(super) fn tell_safe(&mut self, number: u64) {
        if self.waiting.remove(&number) {
            self.out.push(KeeperAction::Safe(number));
        }
    }
}
