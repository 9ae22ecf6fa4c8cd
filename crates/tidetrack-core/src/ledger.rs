//! The ledger bills each request exactly once although hosts have no persistent storage.
//!
//! Each host numbers its bills. Before the last byte of a response is sent, the bill is held by one
//! other host or is part of a segment in the object API. Segments are named by incarnation and
//! number and are only created if absent. They are written by the origin or, after its death, by
//! the holder. If both write the same number, the second reads the stored segment and writes its
//! remaining bills under the next number. Totals count each request id once. The copy at the holder
//! is a send buffer: it is only read to write segments and is dropped once the segment is stored.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, RequestId, VersionRef, WorkspaceId};
use crate::units::{Micros, Tokens};

/// Maximum number of bills in one segment. A bill takes about 100 bytes, so a segment stays well
/// below a megabyte.
pub const MAX_SEGMENT_BILLS: usize = 5_000;

/// Maximum number of bills held for one other incarnation.
pub const MAX_HELD_BILLS: usize = 50_000;

/// How a billed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BillOutcome {
    /// The complete response was sent.
    #[serde(rename = "whole")]
    Complete,
    /// The response was cut off; the part that was sent is billed.
    #[serde(rename = "broken")]
    Truncated,
}

/// One line of a bill: the usage of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineItem(
    /// Version that served the request.
    pub VersionRef,
    /// Prompt tokens.
    pub Tokens,
    /// Answer tokens.
    pub Tokens,
    /// Cost in micros.
    pub Micros,
);

/// The bill of one request. It is serialized as an array rather than an object to save space.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill(
    /// Number of the bill, unique within its incarnation.
    pub u64,
    /// Workspace that is charged.
    pub WorkspaceId,
    /// Usage by version.
    pub Vec<LineItem>,
    /// How the request ended.
    pub BillOutcome,
);

impl Bill {
    /// Returns the bill's number.
    pub fn number(&self) -> u64 {
        self.0
    }

    /// Returns the total cost of all line items.
    pub fn cost(&self) -> Micros {
        Micros(self.2.iter().map(|p| p.3 .0).sum())
    }
}

/// A segment of the ledger as stored in the object API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Incarnation that created the bills.
    pub origin: Incarnation,
    /// Number of the segment, counted from 1 for each origin.
    pub number: u64,
    /// The bills.
    pub bills: Vec<Bill>,
}

impl Segment {
    /// Returns the name of the object that stores this segment.
    pub fn object_name(&self) -> String {
        segment_name(&self.origin, self.number)
    }
}

/// Returns the name of the object that stores a segment.
pub fn segment_name(origin: &Incarnation, number: u64) -> String {
    format!("ledger/{origin}/{number}")
}

/// Bills of one incarnation that are not in the object API yet, and the number of the next segment.
///
/// Both the origin and its holder keep such a list and follow the same rules.
#[derive(Clone, Debug)]
pub struct PendingBills {
    origin: Incarnation,
    bills: BTreeMap<u64, Bill>,
    next_segment: u64,
}

impl PendingBills {
    /// Creates an empty list for the bills of `origin`.
    pub fn new(origin: Incarnation) -> PendingBills {
        PendingBills { origin, bills: BTreeMap::new(), next_segment: 1 }
    }

    /// Returns the number of the next segment.
    pub fn next_segment(&self) -> u64 {
        self.next_segment
    }

    /// Records that all segments below `number` are in the object API.
    pub fn advance_to(&mut self, number: u64) {
        self.next_segment = self.next_segment.max(number);
    }

    /// Adds a bill; a bill with the same number is replaced.
    pub fn add(&mut self, bill: Bill) {
        self.bills.insert(bill.number(), bill);
    }

    /// Builds the next segment from the pending bills, lowest numbers first. Returns `None` if
    /// there are no bills.
    pub fn build_segment(&self) -> Option<Segment> {
        let bills: Vec<Bill> = self.bills.values().take(MAX_SEGMENT_BILLS).cloned().collect();
        (!bills.is_empty()).then(|| Segment {
            origin: self.origin.clone(),
            number: self.next_segment,
            bills,
        })
    }

    /// Removes the bills of a segment that is stored in the object API and moves to the next
    /// number.
    pub fn remove_stored(&mut self, segment: &Segment) {
        segment.bills.iter().for_each(|b| {
            self.bills.remove(&b.number());
        });
        self.next_segment = self.next_segment.max(segment.number + 1);
    }

    /// Removes the bills with these numbers, which are in the object API.
    pub fn remove_written(&mut self, numbers: &[u64]) {
        numbers.iter().for_each(|n| {
            self.bills.remove(n);
        });
    }

    /// Iterates over the bills from `number` upwards.
    pub fn bills_from(&self, number: u64) -> impl Iterator<Item = &Bill> {
        self.bills.range(number..).map(|(_, b)| b)
    }

    /// Returns the number of pending bills.
    pub fn len(&self) -> usize {
        self.bills.len()
    }

    /// Reports whether there are no pending bills.
    pub fn is_empty(&self) -> bool {
        self.bills.is_empty()
    }
}

/// Copies of bills that a host holds for other hosts.
#[derive(Clone, Debug, Default)]
pub struct HeldBills {
    by_origin: BTreeMap<Incarnation, PendingBills>,
}

impl HeldBills {
    /// Holds bills of another incarnation. Returns false, and adds none of them, if they exceed the
    /// capacity.
    ///
    /// The bills numbered in `written` are dropped first; segments below `next_segment` are in the
    /// object API.
    pub fn hold(
        &mut self,
        origin: &Incarnation,
        bills: Vec<Bill>,
        written: &[u64],
        next_segment: u64,
    ) -> bool {
        let pending = self
            .by_origin
            .entry(origin.clone())
            .or_insert_with(|| PendingBills::new(origin.clone()));
        pending.remove_written(written);
        pending.advance_to(next_segment);
        if pending.len() + bills.len() > MAX_HELD_BILLS {
            return false;
        }
        bills.into_iter().for_each(|b| pending.add(b));
        true
    }

    /// Returns the incarnations for which bills are held.
    pub fn origins(&self) -> Vec<Incarnation> {
        self.by_origin.keys().cloned().collect()
    }

    /// Returns the bills held for one incarnation.
    pub fn pending(&mut self, origin: &Incarnation) -> Option<&mut PendingBills> {
        self.by_origin.get_mut(origin)
    }

    /// Removes incarnations for which no bills are held.
    pub fn remove_empty(&mut self) {
        self.by_origin.retain(|_, p| !p.is_empty());
    }

    /// Returns the number of bills held.
    pub fn len(&self) -> usize {
        self.by_origin.values().map(PendingBills::len).sum()
    }

    /// Reports whether no bills are held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Total usage of one workspace and version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UsageTotal {
    /// Number of line items of the version.
    pub requests: u64,
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Answer tokens.
    pub tokens_out: u64,
    /// Cost in micros.
    pub cost: Micros,
}

/// Totals of a ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerTotals {
    /// Usage by workspace and version.
    pub by_version: BTreeMap<(WorkspaceId, VersionRef), UsageTotal>,
    /// Number of distinct requests billed.
    pub requests: u64,
    /// Number of bills skipped because their request had already been counted.
    pub duplicates: u64,
    /// Number of requests whose response was cut off.
    pub truncated: u64,
}

/// Sums up segments, counting each request once.
pub fn sum_segments<'a>(segments: impl IntoIterator<Item = &'a Segment>) -> LedgerTotals {
    let mut seen: BTreeSet<RequestId> = BTreeSet::new();
    let mut totals = LedgerTotals::default();
    for segment in segments {
        for bill in &segment.bills {
            let id = RequestId { incarnation: segment.origin.clone(), number: bill.number() };
            if !seen.insert(id) {
                totals.duplicates += 1;
                continue;
            }
            totals.requests += 1;
            totals.truncated += u64::from(bill.3 == BillOutcome::Truncated);
            for LineItem(version, tokens_in, tokens_out, cost) in &bill.2 {
                let key = (bill.1.clone(), version.clone());
                let total = totals.by_version.entry(key).or_default();
                total.requests += 1;
                total.tokens_in += tokens_in.0;
                total.tokens_out += tokens_out.0;
                total.cost += *cost;
            }
        }
    }
    totals
}

#[cfg(test)]
mod tests {
    use super::*;

    fn bill(number: u64) -> Bill {
        let item = LineItem(
            "m@1".parse().expect("the version name parses"),
            Tokens(10),
            Tokens(5),
            Micros(7),
        );
        Bill(
            number,
            "w".parse().expect("the workspace name parses"),
            vec![item],
            BillOutcome::Complete,
        )
    }

    fn origin() -> Incarnation {
        "a~1".parse().expect("the incarnation parses")
    }

    /// Creates a segment if absent and returns the segment that is stored.
    fn create(api: &mut BTreeMap<u64, Segment>, segment: Segment) -> Segment {
        api.entry(segment.number).or_insert(segment).clone()
    }

    #[test]
    fn concurrent_segment_writers_bill_each_request_once() {
        let mut own = PendingBills::new(origin());
        let mut held = PendingBills::new(origin());
        (1..=3).for_each(|n| own.add(bill(n)));
        (2..=4).for_each(|n| held.add(bill(n)));
        let mut api = BTreeMap::new();
        while !own.is_empty() || !held.is_empty() {
            for writer in [&mut held, &mut own] {
                if let Some(segment) = writer.build_segment() {
                    writer.remove_stored(&create(&mut api, segment));
                }
            }
        }
        let totals = sum_segments(api.values());
        assert_eq!(totals.requests, 4);
        assert_eq!(
            totals.by_version.values().next().expect("the version has a total").cost,
            Micros(28)
        );
    }

    #[test]
    fn bill_serializes_as_compact_array() {
        let text = serde_json::to_string(&bill(12345)).expect("the bill serializes to JSON");
        assert_eq!(text, r#"[12345,"w",[["m@1",10,5,7]],"whole"]"#);
    }
}
