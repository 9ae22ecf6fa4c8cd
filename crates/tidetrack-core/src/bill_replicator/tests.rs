//! Actions of the replicator in response to new bills and to the results of calls and writes.

use super::*;
use crate::ledger::{BillOutcome, LineItem};
use crate::units::{Micros, Tokens};

fn bill(number: u64) -> Bill {
    let item =
        LineItem("m@1".parse().expect("the version name parses"), Tokens(1), Tokens(1), Micros(1));
    Bill(number, "w".parse().expect("the workspace name parses"), vec![item], BillOutcome::Complete)
}

fn holder(incarnation: &str) -> Holder {
    Holder {
        incarnation: incarnation.parse().expect("the incarnation parses"),
        address: incarnation[..1].into(),
    }
}

fn replicator() -> BillReplicator {
    BillReplicator::new(Millis(0), "a~1".parse().expect("the incarnation parses"), Millis(5_000))
}

#[test]
fn releases_response_only_after_bill_is_held() {
    let mut replicator = replicator();
    replicator.set_holders(vec![holder("b~1")]);
    replicator.add_bill(bill(1));
    let actions = replicator.poll_actions(Millis(1));
    assert!(
        matches!(actions[..], [ReplicatorAction::Hold { batch: 1, .. }]),
        "expected one hold of batch 1: {actions:?}"
    );
    replicator.hold_done(Millis(2), 1, true);
    assert_eq!(replicator.poll_actions(Millis(2)), [ReplicatorAction::ReleaseResponse(1)]);
}

#[test]
fn releases_response_after_segment_write_without_holder() {
    let mut replicator = replicator();
    replicator.add_bill(bill(1));
    let actions = replicator.poll_actions(Millis(101));
    let [ReplicatorAction::Write(segment)] = &actions[..] else { panic!("{actions:?}") };
    replicator.write_done(Millis(2), &segment.origin, Some(segment.clone()));
    assert_eq!(replicator.poll_actions(Millis(2)), [ReplicatorAction::ReleaseResponse(1)]);
    assert_eq!(replicator.pending(), 0);
}

#[test]
fn sends_all_pending_bills_to_new_holder() {
    let mut replicator = replicator();
    replicator.set_holders(vec![holder("b~1")]);
    replicator.add_bill(bill(1));
    replicator.poll_actions(Millis(1));
    replicator.hold_done(Millis(2), 1, true);
    replicator.add_bill(bill(2));
    replicator.poll_actions(Millis(3));
    // The second call is in flight when a new incarnation replaces the holder.
    replicator.set_holders(vec![holder("b~2")]);
    replicator.hold_done(Millis(4), 2, true);
    let actions = replicator.poll_actions(Millis(4));
    let [ReplicatorAction::Hold { call, .. }] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!(call.bills.iter().map(Bill::number).collect::<Vec<_>>(), [1, 2]);
}

#[test]
fn flush_writes_bills_held_for_other_hosts() {
    let mut replicator = replicator();
    let dead: Incarnation = "d~1".parse().expect("the incarnation parses");
    let call =
        HoldCall { origin: dead.clone(), bills: vec![bill(7)], written: vec![], next_segment: 3 };
    assert!(replicator.hold_for(call));

    replicator.flush();
    let actions = replicator.poll_actions(Millis(1));

    let [ReplicatorAction::Write(segment)] = &actions[..] else { panic!("{actions:?}") };
    assert_eq!((&segment.origin, segment.bills[0].number()), (&dead, 7));
    replicator.write_done(Millis(2), &dead, Some(segment.clone()));
    assert_eq!(replicator.poll_actions(Millis(3)), [ReplicatorAction::Flushed(true)]);
}

#[test]
fn tries_next_holder_immediately_after_failure() {
    let mut replicator = replicator();
    replicator.set_holders(vec![holder("b~1"), holder("c~1")]);
    replicator.add_bill(bill(1));
    replicator.poll_actions(Millis(1));
    replicator.hold_done(Millis(2), 1, false);
    let actions = replicator.poll_actions(Millis(2));
    let [ReplicatorAction::Hold { holder: called, .. }] = &actions[..] else {
        panic!("{actions:?}")
    };
    assert_eq!(called, "c");
    replicator.set_holders(vec![holder("b~1"), holder("c~1")]);
    replicator.hold_done(Millis(3), 2, true);
    assert_eq!(replicator.poll_actions(Millis(3)), [ReplicatorAction::ReleaseResponse(1)]);
}

#[test]
fn reports_storage_unavailable_when_holder_and_segment_write_fail() {
    let mut replicator = replicator();
    replicator.set_holders(vec![holder("b~1")]);
    replicator.add_bill(bill(1));
    replicator.poll_actions(Millis(1));
    replicator.hold_done(Millis(2), 1, false);
    assert!(matches!(replicator.poll_actions(Millis(102))[..], [ReplicatorAction::Write(_)]));
    let origin = "a~1".parse().expect("the incarnation parses");
    replicator.write_done(Millis(103), &origin, None);
    assert!(replicator.is_storage_unavailable(Millis(104)));
    assert_eq!(replicator.pending(), 1);
}
