//! Keeps a second copy of each bill on another host and writes bills to the object API in segments.
//!
//! The last byte of a response is only sent once the request's bill is stored in a second place: at
//! the holder or in the object API. The replicator does no I/O and never blocks: it returns actions,
//! and the results of those actions are passed back to it. It is split into three files:
//!
//! - `replication`: sends this host's bills to another host, the holder.
//! - `segments`: writes bills to the object API, both those of this host and those of hosts that
//!   are gone.
//! - `forwarding`: sends the bills of a gone host to the holder while they cannot be written.

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

/// Minimum time between segments that are written because no holder is available. After the loss of
/// a failure domain many hosts lack a holder at the same time, and the object API takes about 100
/// writes per second.
const DIRECT_WRITE_INTERVAL: Millis = Millis(100);

/// A call that asks another host to hold bills and to drop those that have been written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HoldCall {
    /// The incarnation that created the bills.
    pub origin: Incarnation,
    /// Bills to hold.
    pub bills: Vec<Bill>,
    /// Numbers of bills that are in the object API and that the receiver may drop.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub written: Vec<u64>,
    /// Number of the next segment; all segments of the origin below it are in the object API.
    pub next_segment: u64,
}

/// A host that can hold bills of other hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The host's incarnation. A later incarnation at the same address holds none of the bills that
    /// this one held.
    pub incarnation: Incarnation,
    /// Address as `ip:port`.
    pub address: String,
}

/// An action that the caller of [`BillReplicator::poll_actions`] has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicatorAction {
    /// Send bills to the holder; report the result with `hold_done`.
    Hold {
        /// Address of the holder as `ip:port`.
        holder: String,
        /// Number of the call, unique within this replicator.
        batch: u64,
        /// The call to send.
        call: HoldCall,
    },
    /// Create the segment if it is absent; report the segment that is stored with `write_done`.
    Write(Segment),
    /// The bill with this number is stored in a second place: the last byte of its request may be
    /// sent.
    ReleaseResponse(u64),
    /// Find out which of these incarnations are gone; report them with `take_over`.
    CheckGone(Vec<Incarnation>),
    /// A flush has ended. The flag is true if every bill is in the object API or at a holder.
    Flushed(bool),
}

/// Replicates one host's bills and holds copies of other hosts' bills.
#[derive(Debug)]
pub struct BillReplicator {
    origin: Incarnation,
    own_bills: PendingBills,
    held: HeldBills,
    /// Hosts that can hold bills. The first is the current holder; it moves to the end when a call
    /// to it fails.
    holders: VecDeque<Holder>,
    /// Number of failed calls to holders since the last success.
    consecutive_failures: usize,
    /// Bills that the current holder has not acknowledged.
    unreplicated: BTreeMap<u64, Bill>,
    hold_in_flight: Option<HoldInFlight>,
    /// Maximum number of bills in the next call.
    max_hold_bills: usize,
    last_batch: u64,
    hold_retry_at: Option<Millis>,
    /// Numbers of bills whose requests may not finish until the bill is stored in a second place.
    awaiting_replication: BTreeSet<u64>,
    /// Numbers of bills that are in the object API and that the holder may drop.
    written: Vec<u64>,
    /// Origins for which a segment is being written.
    origins_in_write: BTreeSet<Incarnation>,
    /// Progress of forwarding the bills of gone origins.
    forwarding_by_origin: BTreeMap<Incarnation, Forwarding>,
    is_flushing: bool,
    flush_interval: Millis,
    last_flush_at: Millis,
    unavailable_until: Millis,
    /// When a segment was last written because no holder was available.
    last_direct_write_at: Millis,
    actions: Vec<ReplicatorAction>,
}

impl BillReplicator {
    /// Creates a replicator that writes a segment every `flush_interval`.
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

    /// Returns the number of this host's bills that are not in the object API yet.
    pub fn pending(&self) -> usize {
        self.own_bills.len()
    }

    /// Returns the incarnation of the current holder of this host's bills.
    pub fn holder(&self) -> Option<&Incarnation> {
        self.holders.front().map(|h| &h.incarnation)
    }

    /// Returns the number of bills held for other hosts.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Reports whether a recent attempt to store a bill failed at both the holder and the object
    /// API. New requests are refused meanwhile.
    pub fn is_storage_unavailable(&self, now: Millis) -> bool {
        now < self.unavailable_until
    }

    /// Adds a bill whose request waits until the bill is stored in a second place.
    pub fn add_bill(&mut self, bill: Bill) {
        self.awaiting_replication.insert(bill.number());
        self.unreplicated.insert(bill.number(), bill.clone());
        self.own_bills.add(bill);
    }

    /// Holds bills for another host. Returns false, and holds none of them, if there is no
    /// capacity.
    pub fn hold_for(&mut self, call: HoldCall) -> bool {
        self.held.hold(&call.origin, call.bills, &call.written, call.next_segment)
    }

    /// Starts the holds and writes that are due and returns the actions to carry out.
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
        // Without a holder, a bill is stored in a second place only by writing a segment.
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
