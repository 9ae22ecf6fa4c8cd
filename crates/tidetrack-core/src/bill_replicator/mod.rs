//! The keeper of the bills: a copy on another host before the last byte, segments in the object API.
//!
//! The keeper never waits: it gives back actions, and the ends of calls come in as messages. What it
//! does is in three files:
//!
//! - `hold_in_flight`: has another host, the holder, hold the own bills.
//! - `segments`: writes bills to the object API, the own ones and those of hosts that are gone.
//! - `forwarding`: has the holder hold what a gone host left, while it cannot be written.

mod forwarding;
mod replication;
mod segments;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;
use crate::ledger::{Bill, HeldBills, PendingBills, Segment};
use crate::units::Millis;

use self::forwarding::Forwarding;
use self::replication::{HoldInFlight, MAX_HOLD_BILLS};

/// Segments that stand in for a holder are written at most this often: after the loss of a failure
/// domain many hosts lack one at the same time, and the object API takes about 100 writes a second.
const DIRECT_WRITE_INTERVAL: Millis = Millis(100);

/// Bills to hold, and numbers of those that need not be held any more.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldCall {
    /// Whose bills.
    pub origin: Incarnation,
    /// The bills.
    pub bills: Vec<Bill>,
    /// Bills that stand in the object API.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub written: Vec<u64>,
    /// Segments of the origin below this number stand.
    pub next_segment: u64,
}

/// A host that may hold bills.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The host's life: another one at the same address holds nothing of what this one held.
    pub incarnation: Incarnation,
    /// `ip:port`.
    pub address: String,
}

/// What a keeper wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicatorAction {
    /// Have the holder hold bills; say how it ended with `hold_done`.
    Hold {
        /// `ip:port` of the holder.
        holder: String,
        /// The call's number.
        batch: u64,
        /// The bills.
        call: HoldCall,
    },
    /// Create a segment if absent; say what stands with `write_done`.
    Write(Segment),
    /// A bill is safe: the request's last byte may leave.
    ReleaseResponse(u64),
    /// Find out which of these incarnations are gone; say so with `take_over`.
    CheckGone(Vec<Incarnation>),
    /// A flush ended; tells whether every bill stands or is held.
    Flushed(bool),
}

/// The keeper of one host's bills and of the copies it holds for others.
#[derive(Debug)]
pub struct BillReplicator {
    origin: Incarnation,
    own_bills: PendingBills,
    held: HeldBills,
    /// Hosts that may hold bills; the first one is asked, and moves to the end when it fails.
    holders: VecDeque<Holder>,
    /// Failed calls to holders in a row.
    consecutive_failures: usize,
    /// Bills that the present holder does not have.
    unreplicated: BTreeMap<u64, Bill>,
    hold_in_flight: Option<HoldInFlight>,
    /// Most bills in the next call.
    max_hold_bills: usize,
    last_batch: u64,
    hold_retry_at: Option<Millis>,
    /// Bills whose requests wait for them to be safe.
    awaiting_replication: BTreeSet<u64>,
    /// Bills that stand in the object API and that the holder may drop.
    written: Vec<u64>,
    /// Origins with a segment being written.
    origins_in_write: BTreeSet<Incarnation>,
    /// Bills of gone origins that were passed on.
    forwarding_by_origin: BTreeMap<Incarnation, Forwarding>,
    is_flushing: bool,
    flush_interval: Millis,
    last_flush_at: Millis,
    unavailable_until: Millis,
    /// When a segment was last written because no holder could hold.
    last_direct_write_at: Millis,
    actions: Vec<ReplicatorAction>,
}

impl BillReplicator {
    /// Makes a keeper that writes segments every `flush_interval`.
    pub fn new(now: Millis, origin: Incarnation, flush_interval: Millis) -> BillReplicator {
        BillReplicator {
            own_bills: PendingBills::new(origin.clone()),
            origin,
            held: HeldBills::default(),
            holders: VecDeque::new(),
            consecutive_failures: 0,
            unreplicated: BTreeMap::new(),
            hold_in_flight: None,
            max_hold_bills: MAX_HOLD_BILLS,
            last_batch: 0,
            hold_retry_at: None,
            awaiting_replication: BTreeSet::new(),
            written: Vec::new(),
            origins_in_write: BTreeSet::new(),
            forwarding_by_origin: BTreeMap::new(),
            is_flushing: false,
            flush_interval,
            last_flush_at: now,
            unavailable_until: Millis(0),
            last_direct_write_at: Millis(0),
            actions: Vec::new(),
        }
    }

    /// Counts the own bills that are not in the object API yet.
    pub fn pending(&self) -> usize {
        self.own_bills.len()
    }

    /// Gets the life of the host that holds the own bills now.
    pub fn holder(&self) -> Option<&Incarnation> {
        self.holders.front().map(|h| &h.incarnation)
    }

    /// Counts the bills held for others.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no place for a bill was found of late.
    pub fn is_storage_unavailable(&self, now: Millis) -> bool {
        now < self.unavailable_until
    }

    /// Takes a bill whose request waits for it to be safe.
    pub fn add_bill(&mut self, bill: Bill) {
        self.awaiting_replication.insert(bill.number());
        self.unreplicated.insert(bill.number(), bill.clone());
        self.own_bills.add(bill);
    }

    /// Holds bills for another host; tells whether all of them are held.
    pub fn hold_for(&mut self, call: HoldCall) -> bool {
        self.held.hold(&call.origin, call.bills, &call.written, call.next_segment)
    }

    /// Does what is due; gives back what is to be done.
    pub fn poll_actions(&mut self, now: Millis) -> Vec<ReplicatorAction> {
        self.start_hold(now);
        if now - self.last_flush_at >= self.flush_interval {
            self.last_flush_at = now;
            self.start_write(&self.origin.clone());
            let origins = self.held.origins();
            if !origins.is_empty() {
                self.actions.push(ReplicatorAction::CheckGone(origins));
            }
        }
        // Without a holder, only a segment makes a bill safe.
        let has_no_holder = self.holders.is_empty() || self.hold_retry_at.is_some();
        let is_direct_write_due = now - self.last_direct_write_at >= DIRECT_WRITE_INTERVAL;
        if !self.awaiting_replication.is_empty() && has_no_holder && is_direct_write_due {
            self.last_direct_write_at = now;
            self.start_write(&self.origin.clone());
        }
        if self.is_flushing && self.own_bills.is_empty() && self.origins_in_write.is_empty() {
            self.finish_flush(true);
        }
        std::mem::take(&mut self.actions)
    }
}
