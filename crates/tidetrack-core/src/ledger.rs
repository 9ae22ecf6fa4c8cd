//! The ledger: each request billed exactly once on hosts that keep nothing.
//!
//! A host numbers its bills. Before a request's last byte leaves, its bill is held by one other host
//! or is in a segment of the object API. Segments are objects named by incarnation and number and
//! are created only if absent: the origin, or after its death the holder, writes them; whoever comes
//! second reads what stands there and writes the rest under the next number. Totals count each
//! request id once. The held copy is a send buffer: nothing is ever read from it but by its own
//! writer, and it is dropped once the segment stands.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, RequestId, VersionRef, WorkspaceId};
use crate::units::{Micros, Tokens};

/// Most bills in one segment: about 100 bytes each, well within a megabyte.
pub const MAX_SEGMENT_BILLS: usize = 5_000;

/// Most bills held for one other incarnation.
pub const MAX_HELD_BILLS: usize = 50_000;

/// How a billed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BillOutcome {
    /// The whole answer was given.
    #[serde(rename = "whole")]
    Complete,
    /// The answer broke off; what was given is billed.
    #[serde(rename = "broken")]
    Truncated,
}

/// One part of a bill: the work of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineItem(
    /// The version.
    pub VersionRef,
    /// Prompt tokens.
    pub Tokens,
    /// Answer tokens.
    pub Tokens,
    /// Cost.
    pub Micros,
);

/// The bill of one request, with its parts. Kept as a list, not a map, to be short.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill(
    /// The number of the bill in its incarnation.
    pub u64,
    /// Who pays.
    pub WorkspaceId,
    /// What was run.
    pub Vec<LineItem>,
    /// How it ended.
    pub BillOutcome,
);

impl Bill {
    /// Gets the bill's number.
    pub fn number(&self) -> u64 {
        self.0
    }

    /// Gets the sum of the parts.
    pub fn cost(&self) -> Micros {
        Micros(self.2.iter().map(|p| p.3 .0).sum())
    }
}

/// A segment of the ledger, as it stands in the object API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Whose bills these are.
    pub origin: Incarnation,
    /// The segment's number.
    pub number: u64,
    /// The bills.
    pub bills: Vec<Bill>,
}

impl Segment {
    /// Gets the name of the object that holds the segment.
    pub fn object_name(&self) -> String {
        segment_name(&self.origin, self.number)
    }
}

/// Gets the name of the object that holds a segment.
pub fn segment_name(origin: &Incarnation, number: u64) -> String {
    format!("ledger/{origin}/{number}")
}

/// Bills of one incarnation that are not yet in the object API, and the next segment's number.
///
/// The origin and a holder each have one; the rules are the same for both.
#[derive(Clone, Debug)]
pub struct PendingBills {
    origin: Incarnation,
    bills: BTreeMap<u64, Bill>,
    next_segment: u64,
}

impl PendingBills {
    /// Makes an empty list for an incarnation's bills.
    pub fn new(origin: Incarnation) -> PendingBills {
        PendingBills { origin, bills: BTreeMap::new(), next_segment: 1 }
    }

    /// Gets the number of the next segment.
    pub fn next_segment(&self) -> u64 {
        self.next_segment
    }

    /// Learns that segments below `number` stand.
    pub fn advance_to(&mut self, number: u64) {
        self.next_segment = self.next_segment.max(number);
    }

    /// Adds a bill.
    pub fn add(&mut self, bill: Bill) {
        self.bills.insert(bill.number(), bill);
    }

    /// Makes the next segment of what is pending; `None` if nothing is.
    pub fn build_segment(&self) -> Option<Segment> {
        let bills: Vec<Bill> = self.bills.values().take(MAX_SEGMENT_BILLS).cloned().collect();
        (!bills.is_empty()).then(|| Segment {
            origin: self.origin.clone(),
            number: self.next_segment,
            bills,
        })
    }

    /// Takes note of what stands in the object API under a segment's number.
    pub fn remove_stored(&mut self, segment: &Segment) {
        segment.bills.iter().for_each(|b| {
            self.bills.remove(&b.number());
        });
        self.next_segment = self.next_segment.max(segment.number + 1);
    }

    /// Drops the given bills: they are in the object API.
    pub fn remove_written(&mut self, numbers: &[u64]) {
        numbers.iter().for_each(|n| {
            self.bills.remove(n);
        });
    }

    /// Lists the bills from a number on.
    pub fn bills_from(&self, number: u64) -> impl Iterator<Item = &Bill> {
        self.bills.range(number..).map(|(_, b)| b)
    }

    /// Counts the bills.
    pub fn len(&self) -> usize {
        self.bills.len()
    }

    /// Tells whether nothing is pending.
    pub fn is_empty(&self) -> bool {
        self.bills.is_empty()
    }
}

/// The copies that a host holds for others.
#[derive(Clone, Debug, Default)]
pub struct HeldBills {
    by_origin: BTreeMap<Incarnation, PendingBills>,
}

impl HeldBills {
    /// Holds bills of another incarnation; tells whether there was room for all.
    ///
    /// `written` bills need not be held any more; segments below `next_segment` stand.
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

    /// Lists the incarnations that copies are held for.
    pub fn origins(&self) -> Vec<Incarnation> {
        self.by_origin.keys().cloned().collect()
    }

    /// Gets the bills held for one incarnation.
    pub fn pending(&mut self, origin: &Incarnation) -> Option<&mut PendingBills> {
        self.by_origin.get_mut(origin)
    }

    /// Forgets incarnations for which nothing is held.
    pub fn remove_empty(&mut self) {
        self.by_origin.retain(|_, p| !p.is_empty());
    }

    /// Counts the bills held.
    pub fn len(&self) -> usize {
        self.by_origin.values().map(PendingBills::len).sum()
    }

    /// Tells whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Totals of one workspace and version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UsageTotal {
    /// Bills with a part of the version.
    pub requests: u64,
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Answer tokens.
    pub tokens_out: u64,
    /// Cost.
    pub cost: Micros,
}

/// The totals of a ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerTotals {
    /// By workspace and version.
    pub by_version: BTreeMap<(WorkspaceId, VersionRef), UsageTotal>,
    /// Requests billed.
    pub requests: u64,
    /// Bills met a second time and left out.
    pub duplicates: u64,
    /// Bills whose answer broke off.
    pub truncated: u64,
}

/// Adds up segments, counting each request once.
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
        let item = LineItem("m@1".parse().expect("a version"), Tokens(10), Tokens(5), Micros(7));
        Bill(number, "w".parse().expect("a workspace"), vec![item], BillOutcome::Complete)
    }

    fn origin() -> Incarnation {
        "a~1".parse().expect("an incarnation")
    }

    /// Creates a segment if absent; gives back what stands.
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
        assert_eq!(totals.by_version.values().next().expect("a total").cost, Micros(28));
    }

    #[test]
    fn bill_serializes_as_compact_array() {
        let text = serde_json::to_string(&bill(12345)).expect("JSON");
        assert_eq!(text, r#"[12345,"w",[["m@1",10,5,7]],"whole"]"#);
    }
}
