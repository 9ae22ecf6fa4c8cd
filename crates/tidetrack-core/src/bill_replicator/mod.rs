//! The keeper of the bills: a copy on another host before the last byte, segments in the object API.
//!
//! The keeper never waits: it gives back actions, and the ends of calls come in as messages. What it
//! does is in three files:
//!
//! - `holding`: has another host, the holder, hold the own bills.
//! - `segments`: writes bills to the object API, the own ones and those of hosts that are gone.
//! - `passing`: has the holder hold what a gone host left, while it cannot be written.

mod forwarding;
mod replication;
mod segments;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;
use crate::ledger::{Bill, Held, Pending, Segment};
use crate::units::Millis;

use self::forwarding::Passing;
use self::replication::{Holding, HOLD_MOST};

/// Segments that stand in for a holder are written at most this often: after the loss of a failure
/// domain many hosts lack one at the same time, and the object API takes about 100 writes a second.
const DIRECT_EVERY: Millis = Millis(100);

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
    pub life: Incarnation,
    /// `ip:port`.
    pub address: String,
}

/// What a keeper wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum KeeperAction {
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
    Safe(u64),
    /// Find out which of these incarnations are gone; say so with `take_over`.
    AskGone(Vec<Incarnation>),
    /// A flush ended; tells whether every bill stands or is held.
    Flushed(bool),
}

/// The keeper of one host's bills and of the copies it holds for others.
#[derive(Debug)]
pub struct Keeper {
    origin: Incarnation,
    own: Pending,
    held: Held,
    /// Hosts that may hold bills; the first one is asked, and moves to the end when it fails.
    holders: VecDeque<Holder>,
    /// Failed calls to holders in a row.
    failures: usize,
    /// Bills that the present holder does not have.
    unheld: BTreeMap<u64, Bill>,
    holding: Option<Holding>,
    /// Most bills in the next call.
    hold_most: usize,
    batches: u64,
    hold_after: Option<Millis>,
    /// Bills whose requests wait for them to be safe.
    waiting: BTreeSet<u64>,
    /// Bills that stand in the object API and that the holder may drop.
    written: Vec<u64>,
    /// Origins with a segment being written.
    writing: BTreeSet<Incarnation>,
    /// Bills of gone origins that were passed on.
    passed_on: BTreeMap<Incarnation, Passing>,
    flushing: bool,
    flush_every: Millis,
    flushed_at: Millis,
    unsafe_until: Millis,
    /// When a segment was last written because no holder could hold.
    direct_at: Millis,
    out: Vec<KeeperAction>,
}

impl Keeper {
    /// Makes a keeper that writes segments every `flush_every`.
    pub fn new(now: Millis, origin: Incarnation, flush_every: Millis) -> Keeper {
        Keeper {
            own: Pending::new(origin.clone()),
            origin,
            held: Held::default(),
            holders: VecDeque::new(),
            failures: 0,
            unheld: BTreeMap::new(),
            holding: None,
            hold_most: HOLD_MOST,
            batches: 0,
            hold_after: None,
            waiting: BTreeSet::new(),
            written: Vec::new(),
            writing: BTreeSet::new(),
            passed_on: BTreeMap::new(),
            flushing: false,
            flush_every,
            flushed_at: now,
            unsafe_until: Millis(0),
            direct_at: Millis(0),
            out: Vec::new(),
        }
    }

    /// Counts the own bills that are not in the object API yet.
    pub fn pending(&self) -> usize {
        self.own.len()
    }

    /// Gets the life of the host that holds the own bills now.
    pub fn holder(&self) -> Option<&Incarnation> {
        self.holders.front().map(|h| &h.life)
    }

    /// Counts the bills held for others.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Tells whether no place for a bill was found of late.
    pub fn is_unsafe(&self, now: Millis) -> bool {
        now < self.unsafe_until
    }

    /// Takes a bill whose request waits for it to be safe.
    pub fn keep(&mut self, bill: Bill) {
        self.waiting.insert(bill.number());
        self.unheld.insert(bill.number(), bill.clone());
        self.own.add(bill);
    }

    /// Holds bills for another host; tells whether all of them are held.
    pub fn hold_for(&mut self, call: HoldCall) -> bool {
        self.held.hold(&call.origin, call.bills, &call.written, call.next_segment)
    }

    /// Does what is due; gives back what is to be done.
    pub fn pump(&mut self, now: Millis) -> Vec<KeeperAction> {
        self.hold(now);
        if now - self.flushed_at >= self.flush_every {
            self.flushed_at = now;
            self.write(&self.origin.clone());
            let origins = self.held.origins();
            if !origins.is_empty() {
                self.out.push(KeeperAction::AskGone(origins));
            }
        }
        // Without a holder, only a segment makes a bill safe.
        let no_holder = self.holders.is_empty() || self.hold_after.is_some();
        let direct_due = now - self.direct_at >= DIRECT_EVERY;
        if !self.waiting.is_empty() && no_holder && direct_due {
            self.direct_at = now;
            self.write(&self.origin.clone());
        }
        if self.flushing && self.own.is_empty() && self.writing.is_empty() {
            self.end_flush(true);
        }
        std::mem::take(&mut self.out)
    }
}
