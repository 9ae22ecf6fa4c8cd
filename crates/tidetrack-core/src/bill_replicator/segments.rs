//! Writes segments of bills to the object API, for this host and for hosts that are gone.

use super::{BillReplicator, ReplicatorAction};
use crate::ids::Incarnation;
use crate::ledger::{Bill, Segment};
use crate::units::Millis;

/// How long new requests are refused after a bill could not be stored anywhere.
const UNAVAILABLE_TIME: Millis = Millis(500);

impl BillReplicator {
    /// Writes all bills, including those held for other hosts. `Flushed` reports the end.
    ///
    /// An origin may have died without this host having noticed it yet; then this host has the only
    /// copy of its bills. An origin that is still alive finds that its segment number is taken and
    /// writes the bills that the stored segment lacks under the next number.
    pub fn flush(&mut self) {
        self.is_flushing = true;
        self.start_write(&self.origin.clone());
        self.held.origins().iter().for_each(|origin| self.start_write(origin));
    }

    /// Starts writing the next segment of an origin, unless one is being written.
    pub(super) fn start_write(&mut self, origin: &Incarnation) {
        let segment = match *origin == self.origin {
            true => self.own_bills.build_segment(),
            false => self.held.pending(origin).and_then(|p| p.build_segment()),
        };
        let Some(segment) = segment else { return };
        if self.origins_in_write.insert(origin.clone()) {
            self.actions.push(ReplicatorAction::Write(segment));
        }
    }

    /// Handles the result of a write. `stored` is the segment that the object API has under this
    /// number, or `None` if that is unknown.
    pub fn write_done(&mut self, now: Millis, origin: &Incarnation, stored: Option<Segment>) {
        self.origins_in_write.remove(origin);
        if *origin != self.origin {
            match (stored, self.held.pending(origin)) {
                (Some(segment), Some(pending)) => {
                    pending.remove_stored(&segment);
                    self.start_write(origin);
                }
                _ => self.forward_bills(now, origin),
            }
            return self.held.remove_empty();
        }
        match stored {
            Some(segment) => self.record_own_segment(&segment),
            None => {
                if !self.awaiting_replication.is_empty() && self.hold_in_flight.is_none() {
                    self.unavailable_until = now + UNAVAILABLE_TIME;
                }
                // The bills at the holder still have the second copy that they had when their
                // responses finished.
                let is_safe = self.unreplicated.is_empty();
                self.finish_flush(is_safe);
            }
        }
    }

    /// Records that a segment of this host's bills is in the object API.
    fn record_own_segment(&mut self, segment: &Segment) {
        self.own_bills.remove_stored(segment);
        self.unavailable_until = Millis(0);
        for number in segment.bills.iter().map(Bill::number) {
            self.unreplicated.remove(&number);
            self.written.push(number);
            self.release_response(number);
        }
        if self.is_flushing {
            self.start_write(&self.origin.clone());
        }
    }

    /// Reports the end of a flush, if one is in progress.
    pub(super) fn finish_flush(&mut self, is_safe: bool) {
        if std::mem::take(&mut self.is_flushing) {
            self.actions.push(ReplicatorAction::Flushed(is_safe));
        }
    }

    /// Writes the bills held for incarnations that are gone.
    pub fn take_over(&mut self, gone: &[Incarnation]) {
        gone.iter().for_each(|origin| self.start_write(origin));
        self.held.remove_empty();
    }
}
