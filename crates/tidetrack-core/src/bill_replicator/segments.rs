//! Segments: bills written to the object API, for this host and for hosts that are gone.

use super::{Keeper, KeeperAction};
use crate::ids::Incarnation;
use crate::ledger::{Bill, Segment};
use crate::units::Millis;

/// How long new requests are refused after no place for a bill was found.
const UNSAFE_FOR: Millis = Millis(500);

impl Keeper {
    /// Writes everything, what is held for others included; the end comes as `Flushed`.
    ///
    /// An origin may have died without this host having noticed yet, and then nobody else has its bills.
    /// One that lives meets its segment written, and queues anew what it lacks.
    pub fn flush(&mut self) {
        self.flushing = true;
        self.write(&self.origin.clone());
        self.held.origins().iter().for_each(|origin| self.write(origin));
    }

    /// Gives out the next segment of an origin, one at a time.
    pub(super) fn write(&mut self, origin: &Incarnation) {
        let segment = match *origin == self.origin {
            true => self.own.segment(),
            false => self.held.pending(origin).and_then(|p| p.segment()),
        };
        let Some(segment) = segment else { return };
        if self.writing.insert(origin.clone()) {
            self.out.push(KeeperAction::Write(segment));
        }
    }

    /// Takes the end of a write: what stands under the segment's number, if that is known.
    pub fn write_done(&mut self, now: Millis, origin: &Incarnation, stands: Option<Segment>) {
        self.writing.remove(origin);
        if *origin != self.origin {
            match (stands, self.held.pending(origin)) {
                (Some(segment), Some(pending)) => {
                    pending.stands(&segment);
                    self.write(origin);
                }
                _ => self.pass_on(now, origin),
            }
            return self.held.sweep();
        }
        match stands {
            Some(segment) => self.own_stands(&segment),
            None => {
                if !self.waiting.is_empty() && self.holding.is_none() {
                    self.unsafe_until = now + UNSAFE_FOR;
                }
                // What another host holds is as safe as it was before the last byte left.
                let safe = self.unheld.is_empty();
                self.end_flush(safe);
            }
        }
    }

    /// Takes note that a segment of the own bills stands.
    fn own_stands(&mut self, segment: &Segment) {
        self.own.stands(segment);
        self.unsafe_until = Millis(0);
        for number in segment.bills.iter().map(Bill::number) {
            self.unheld.remove(&number);
            self.written.push(number);
            self.tell_safe(number);
        }
        if self.flushing {
            self.write(&self.origin.clone());
        }
    }

    /// Says how a flush ended, if one is under way.
    pub(super) fn end_flush(&mut self, safe: bool) {
        if std::mem::take(&mut self.flushing) {
            self.out.push(KeeperAction::Flushed(safe));
        }
    }

    /// Writes what is held for incarnations that are gone.
    pub fn take_over(&mut self, gone: &[Incarnation]) {
        gone.iter().for_each(|origin| self.write(origin));
        self.held.sweep();
    }
}
