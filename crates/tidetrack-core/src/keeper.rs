//! The keeper of the bills: a copy on another host before the last byte, segments in the object API.
//!
//! Bills that arrive while a call to the holder is under way go together in the next one, so the
//! cost of a copy is shared under load. Bills that requests wait for go before those that an earlier
//! holder has, and a call that failed or was slow is followed by a smaller one: a new holder is given all
//! that is pending, over a path that may be slow. Where no host can hold a copy, a segment is written at once.
//! The keeper never waits: it gives back actions, and the ends of calls come in as messages.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::Incarnation;
use crate::ledger::{Bill, Held, Pending, Segment};
use crate::units::Millis;

/// How long new requests are refused after no place for a bill was found.
const UNSAFE_FOR: Millis = Millis(500);

/// A failed call to the holder is tried again after this time.
const HOLD_AGAIN: Millis = Millis(300);

/// Segments that stand in for a holder are written at most this often: after the loss of a failure
/// domain many hosts lack one at the same time, and the object API takes about 100 writes a second.
const DIRECT_EVERY: Millis = Millis(100);

/// Most bills in one call to the holder: about 100 KB.
const HOLD_MOST: usize = 2_000;

/// Fewest bills that a call is cut down to: about 3 KB, a few packets.
const HOLD_LEAST: usize = 62;

/// A call should take no longer than this: a bill that comes meanwhile waits for its end.
const HOLD_AIM: Millis = Millis(250);

/// Of a call, a part in so many is left to bills that an earlier holder has: requests never starve them.
const MOVED_PART: usize = 4;

/// Written bills that are worth a call of their own to the holder.
const WRITTEN_WORTH: usize = 200;

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

/// A call to the holder under way.
#[derive(Debug)]
struct Holding {
    batch: u64,
    began: Millis,
    bills: Vec<u64>,
    written: Vec<u64>,
}

/// How far the bills of a gone origin were passed on.
#[derive(Debug, Default)]
struct Passing {
    holder: String,
    /// Bills held for the origin when it began; once they are others, it begins anew.
    held: usize,
    /// Bills below this number were taken.
    next: u64,
    /// The call under way: its number, when it began, and its last bill.
    call: Option<(u64, Millis, u64)>,
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

    /// Counts the bills that were called safe and that the present holder does not have yet: those
    /// that an earlier holder has.
    pub fn on_the_move(&self) -> usize {
        self.unheld.keys().filter(|n| !self.waiting.contains(n)).count()
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

    /// Writes everything, what is held for others included; the end comes as `Flushed`.
    ///
    /// An origin may have died without this host having noticed yet, and then nobody else has its bills.
    /// One that lives meets its segment written, and queues anew what it lacks.
    pub fn flush(&mut self) {
        self.flushing = true;
        self.write(&self.origin.clone());
        self.held.origins().iter().for_each(|origin| self.write(origin));
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

    /// Has the holder hold what it lacks, one call at a time.
    fn hold(&mut self, now: Millis) {
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
        let is_of = |p: &Passing| p.call.is_some_and(|(number, ..)| number == batch);
        let origin = self.passed_on.iter().find(|(_, p)| is_of(p)).map(|(o, _)| o.clone());
        if let Some(origin) = origin {
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
    fn resize(&mut self, in_time: bool) {
        self.hold_most = match in_time {
            true => (self.hold_most * 2).min(HOLD_MOST),
            false => (self.hold_most / 2).max(HOLD_LEAST),
        };
    }

    fn tell_safe(&mut self, number: u64) {
        if self.waiting.remove(&number) {
            self.out.push(KeeperAction::Safe(number));
        }
    }

    /// Gives out the next segment of an origin, one at a time.
    fn write(&mut self, origin: &Incarnation) {
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

    /// Has the own holder hold a gone origin's bills too, while they cannot be written, a call at a time.
    fn pass_on(&mut self, now: Millis, origin: &Incarnation) {
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
    fn pass_done(&mut self, now: Millis, origin: &Incarnation, held: bool) {
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

    fn end_flush(&mut self, safe: bool) {
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::ledger::{Ended, Part};
    use crate::units::{Micros, Tokens};

    fn bill(number: u64) -> Bill {
        let part = Part("m@1".parse().expect("a version"), Tokens(1), Tokens(1), Micros(1));
        Bill(number, "w".parse().expect("a workspace"), vec![part], Ended::Whole)
    }

    fn holder(life: &str) -> Holder {
        Holder { life: life.parse().expect("an incarnation"), address: life[..1].into() }
    }

    fn keeper() -> Keeper {
        Keeper::new(Millis(0), "a~1".parse().expect("an incarnation"), Millis(5_000))
    }

    #[test]
    fn a_bill_is_safe_once_it_is_held_and_not_before() {
        let mut keeper = keeper();
        keeper.set_holders(vec![holder("b~1")]);
        keeper.keep(bill(1));
        let actions = keeper.pump(Millis(1));
        assert!(matches!(actions[..], [KeeperAction::Hold { batch: 1, .. }]), "{actions:?}");
        keeper.hold_done(Millis(2), 1, true);
        assert_eq!(keeper.pump(Millis(2)), [KeeperAction::Safe(1)]);
    }

    #[test]
    fn without_a_holder_a_segment_makes_it_safe() {
        let mut keeper = keeper();
        keeper.keep(bill(1));
        let actions = keeper.pump(Millis(101));
        let [KeeperAction::Write(segment)] = &actions[..] else { panic!("{actions:?}") };
        keeper.write_done(Millis(2), &segment.origin, Some(segment.clone()));
        assert_eq!(keeper.pump(Millis(2)), [KeeperAction::Safe(1)]);
        assert_eq!(keeper.pending(), 0);
    }

    #[test]
    fn a_new_holder_is_given_what_the_old_one_had() {
        let mut keeper = keeper();
        keeper.set_holders(vec![holder("b~1")]);
        keeper.keep(bill(1));
        keeper.pump(Millis(1));
        keeper.hold_done(Millis(2), 1, true);
        keeper.keep(bill(2));
        keeper.pump(Millis(3));
        // The second call is under way when another life takes the old one's place.
        keeper.set_holders(vec![holder("b~2")]);
        keeper.hold_done(Millis(4), 2, true);
        let actions = keeper.pump(Millis(4));
        let [KeeperAction::Hold { call, .. }] = &actions[..] else { panic!("{actions:?}") };
        assert_eq!(call.bills.iter().map(Bill::number).collect::<Vec<_>>(), [1, 2]);
    }

    #[test]
    fn a_planned_stop_writes_what_is_held_for_others_first() {
        let mut keeper = keeper();
        let dead: Incarnation = "d~1".parse().expect("an incarnation");
        let call = HoldCall {
            origin: dead.clone(),
            bills: vec![bill(7)],
            written: vec![],
            next_segment: 3,
        };
        assert!(keeper.hold_for(call));

        keeper.flush();
        let actions = keeper.pump(Millis(1));

        let [KeeperAction::Write(segment)] = &actions[..] else { panic!("{actions:?}") };
        assert_eq!((&segment.origin, segment.bills[0].number()), (&dead, 7));
        keeper.write_done(Millis(2), &dead, Some(segment.clone()));
        assert_eq!(keeper.pump(Millis(3)), [KeeperAction::Flushed(true)]);
    }

    #[test]
    fn when_a_holder_fails_the_next_is_asked_at_once() {
        let mut keeper = keeper();
        keeper.set_holders(vec![holder("b~1"), holder("c~1")]);
        keeper.keep(bill(1));
        keeper.pump(Millis(1));
        keeper.hold_done(Millis(2), 1, false);
        let actions = keeper.pump(Millis(2));
        let [KeeperAction::Hold { holder: asked, .. }] = &actions[..] else {
            panic!("{actions:?}")
        };
        assert_eq!(asked, "c");
        keeper.set_holders(vec![holder("b~1"), holder("c~1")]);
        keeper.hold_done(Millis(3), 2, true);
        assert_eq!(keeper.pump(Millis(3)), [KeeperAction::Safe(1)]);
    }

    #[test]
    fn with_no_place_at_all_new_work_is_refused_and_nothing_is_called_safe() {
        let mut keeper = keeper();
        keeper.set_holders(vec![holder("b~1")]);
        keeper.keep(bill(1));
        keeper.pump(Millis(1));
        keeper.hold_done(Millis(2), 1, false);
        assert!(matches!(keeper.pump(Millis(102))[..], [KeeperAction::Write(_)]));
        let origin = "a~1".parse().expect("an incarnation");
        keeper.write_done(Millis(103), &origin, None);
        assert!(keeper.is_unsafe(Millis(104)));
        assert_eq!(keeper.pending(), 1);
    }
}
