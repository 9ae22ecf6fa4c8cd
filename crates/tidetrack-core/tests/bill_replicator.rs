//! Replication of a host's bills when their holder changes while many bills are pending.
//!
//! Guards against responses whose last byte is late or missing after a failure domain is lost while
//! the object API cannot be written. With thousands of bills pending, the holder fails and the next
//! holder is sent all of them again, oldest first. The few bills that requests wait for are sent
//! last, and a call that is too large for the network path times out and is retried with the same
//! size. The tests check the bills in each call.

use tidetrack_core::bill_replicator::{BillReplicator, HoldCall, Holder, ReplicatorAction};
use tidetrack_core::ids::Incarnation;
use tidetrack_core::ledger::{Bill, BillOutcome, LineItem};
use tidetrack_core::units::{Micros, Millis, Tokens};

/// Number of bills pending when the holder fails: about a minute of the bills of a busy host.
const PENDING_BILLS: u64 = 5_000;

fn bill(number: u64) -> Bill {
    let line_item =
        LineItem("m@1".parse().expect("the version name parses"), Tokens(1), Tokens(1), Micros(1));
    Bill(
        number,
        "w".parse().expect("the workspace name parses"),
        vec![line_item],
        BillOutcome::Complete,
    )
}

fn holder(incarnation: &str) -> Holder {
    Holder {
        incarnation: incarnation.parse().expect("the incarnation parses"),
        address: incarnation[..1].into(),
    }
}

/// Returns the batch number and the content of the only hold call among the actions.
fn hold_call(actions: &[ReplicatorAction]) -> (u64, &HoldCall) {
    let hold_calls: Vec<(u64, &HoldCall)> = actions
        .iter()
        .filter_map(|action| match action {
            ReplicatorAction::Hold { batch, call, .. } => Some((*batch, call)),
            _ => None,
        })
        .collect();
    assert_eq!(hold_calls.len(), 1, "not one hold call: {hold_calls:?}");
    hold_calls[0]
}

/// Returns a replicator whose bills are all held by `b`, at 1,000 ms.
fn replicator_with_held_bills() -> BillReplicator {
    let origin: Incarnation = "a~1".parse().expect("the incarnation parses");
    // No segment is written, as if the object API were unreachable.
    let mut replicator = BillReplicator::new(Millis(0), origin, Millis(1_000_000));
    replicator.set_holders(vec![holder("b~1")]);
    (1..=PENDING_BILLS).for_each(|n| replicator.add_bill(bill(n)));
    let mut held_bills = 0;
    while held_bills < PENDING_BILLS {
        let actions = replicator.poll_actions(Millis(1_000));
        let (batch, call) = hold_call(&actions);
        held_bills += call.bills.len() as u64;
        replicator.hold_done(Millis(1_000), batch, true);
    }
    replicator.poll_actions(Millis(1_000));
    replicator
}

#[test]
fn a_bill_that_a_request_waits_for_is_sent_before_bills_held_earlier() {
    let mut replicator = replicator_with_held_bills();
    replicator.set_holders(vec![holder("c~1")]);
    replicator.add_bill(bill(PENDING_BILLS + 1));

    let actions = replicator.poll_actions(Millis(2_000));

    let (_, call) = hold_call(&actions);
    assert!(
        call.bills.iter().any(|b| b.number() == PENDING_BILLS + 1),
        "newest bill not among the {} bills of the call",
        call.bills.len()
    );
}

#[test]
fn a_failed_hold_call_is_retried_with_fewer_bills() {
    let mut replicator = replicator_with_held_bills();
    replicator.set_holders(vec![holder("c~1"), holder("d~1")]);
    let actions = replicator.poll_actions(Millis(2_000));
    let (batch, call) = hold_call(&actions);
    let first_call_size = call.bills.len();

    replicator.hold_done(Millis(3_500), batch, false);
    let actions = replicator.poll_actions(Millis(3_500));

    let (_, call) = hold_call(&actions);
    assert!(
        call.bills.len() * 2 <= first_call_size,
        "first call of {first_call_size} bills, the next of {}",
        call.bills.len()
    );
}

#[test]
fn all_bills_held_earlier_reach_the_new_holder_while_new_bills_arrive() {
    let mut replicator = replicator_with_held_bills();
    replicator.set_holders(vec![holder("c~1")]);
    let mut held_again = 0;

    for round in 0..40 {
        // In each round, as many new bills arrive as one call may carry.
        (0..2_000).for_each(|n| replicator.add_bill(bill(PENDING_BILLS + 1 + round * 2_000 + n)));
        let now = Millis(2_000 + 300 * round);
        let actions = replicator.poll_actions(now);
        let (batch, call) = hold_call(&actions);
        held_again += call.bills.iter().filter(|b| b.number() <= PENDING_BILLS).count();
        replicator.hold_done(now, batch, true);
    }

    assert_eq!(held_again, PENDING_BILLS as usize);
}

/// Returns a replicator with pending bills of its own that holds as many for a failed host.
fn replicator_with_bills_of(failed_origin: &Incarnation) -> BillReplicator {
    let mut replicator = replicator_with_held_bills();
    let bills = (1..=PENDING_BILLS).map(bill).collect();
    let call = HoldCall { origin: failed_origin.clone(), bills, written: vec![], next_segment: 1 };
    assert!(replicator.hold_for(call));
    replicator
}

/// Lets the replicator take over the bills of a failed host, and fails the write of their segment.
fn fail_segment_write(replicator: &mut BillReplicator, failed_origin: &Incarnation) {
    replicator.take_over(std::slice::from_ref(failed_origin));
    let actions = replicator.poll_actions(Millis(2_000));
    assert!(
        actions.iter().any(|a| matches!(a, ReplicatorAction::Write(_))),
        "no segment write requested: {actions:?}"
    );
    replicator.write_done(Millis(2_000), failed_origin, None);
}

#[test]
fn bills_of_a_failed_host_are_forwarded_in_limited_calls_and_each_once() {
    let failed_origin: Incarnation = "g~1".parse().expect("the incarnation parses");
    let mut replicator = replicator_with_bills_of(&failed_origin);
    fail_segment_write(&mut replicator, &failed_origin);

    let mut forwarded: Vec<u64> = Vec::new();
    for _ in 0..20 {
        let actions = replicator.poll_actions(Millis(2_000));
        if actions.is_empty() {
            break;
        }
        let (batch, call) = hold_call(&actions);
        assert!(call.bills.len() <= 2_000, "{} bills in a call", call.bills.len());
        forwarded.extend(call.bills.iter().map(Bill::number));
        replicator.hold_done(Millis(2_010), batch, true);
    }
    fail_segment_write(&mut replicator, &failed_origin);
    let actions_after_retry = replicator.poll_actions(Millis(2_020));

    assert_eq!(forwarded, (1..=PENDING_BILLS).collect::<Vec<_>>());
    assert!(actions_after_retry.is_empty(), "{actions_after_retry:?}");
}

#[test]
fn a_failed_forward_call_is_retried_with_fewer_bills() {
    let failed_origin: Incarnation = "g~1".parse().expect("the incarnation parses");
    let mut replicator = replicator_with_bills_of(&failed_origin);
    fail_segment_write(&mut replicator, &failed_origin);
    let actions = replicator.poll_actions(Millis(2_000));
    let (batch, call) = hold_call(&actions);
    let first_call_size = call.bills.len();

    replicator.hold_done(Millis(3_500), batch, false);
    fail_segment_write(&mut replicator, &failed_origin);
    let actions = replicator.poll_actions(Millis(3_500));

    let (_, call) = hold_call(&actions);
    assert_eq!(call.bills[0].number(), 1);
    assert!(
        call.bills.len() * 2 <= first_call_size,
        "first call of {first_call_size} bills, the next of {}",
        call.bills.len()
    );
}
