//! The bills of a gone host that cannot be written: the own holder is given a copy of them too.

use super::replication::HOLD_AIM;
use super::{HoldCall, Keeper, KeeperAction};
use crate::ids::Incarnation;
use crate::ledger::Bill;
use crate::units::Millis;

/// How far the bills of a gone origin were passed on.
#[derive(Debug, Default)]
pub(super) struct Passing {
    holder: String,
    /// Bills held for the origin when it began; once they are others, it begins anew.
    held: usize,
    /// Bills below this number were taken.
    next: u64,
    /// The call under way: its number, when it began, and its last bill.
    call: Option<(u64, Millis, u64)>,
}

impl Keeper {
    /// Finds the gone origin whose bills a call passes on.
    pub(super) fn passed_by(&self, batch: u64) -> Option<Incarnation> {
        let is_of = |p: &Passing| p.call.is_some_and(|(number, ..)| number == batch);
        self.passed_on.iter().find(|(_, p)| is_of(p)).map(|(o, _)| o.clone())
    }

    /// Has the own holder hold a gone origin's bills too, while they cannot be written, a call at a time.
    pub(super) fn pass_on(&mut self, now: Millis, origin: &Incarnation) {
        let Some(holder) = self.holders.front().map(|h| h.address.clone()) else { return };
        let Some(pending) = self.held.pending(origin) else { return };
        let held = pending.len();
        let passing = self.passed_on.entry(origin.clone()).or_default();
        if passing.call.is_some() {
            return;
        }
        if passing.holder != holder || passing.held != held {
            *passing = Passing { holder: holder.clone(), held, ..Passing::default() };
        }
        let bills: Vec<Bill> = pending.from(passing.next).take(self.hold_most).cloned().collect();
        let Some(last) = bills.last().map(Bill::number) else { return };
        self.batches += 1;
        passing.call = Some((self.batches, now, last));
        let (origin, next_segment) = (origin.clone(), pending.next_segment());
        let call = HoldCall { origin, bills, written: Vec::new(), next_segment };
        self.out.push(KeeperAction::Hold { holder, batch: self.batches, call });
    }

    /// Takes the end of a call that passed bills on.
    pub(super) fn pass_done(&mut self, now: Millis, origin: &Incarnation, held: bool) {
        let Some(passing) = self.passed_on.get_mut(origin) else { return };
        let Some((_, began, last)) = passing.call.take() else { return };
        passing.next = last + 1;
        self.resize(held && now - began <= HOLD_AIM);
        match held {
            true => self.pass_on(now, origin),
            // Passed on again at the next failed write.
            false => drop(self.passed_on.remove(origin)),
        }
    }
}
