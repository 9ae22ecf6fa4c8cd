//! What a host's bills go through when their holder changes while many are pending.
//!
//! What users would see: answers whose last byte comes late or not at all, after a failure domain is
//! lost while the object API cannot be written. Order of events: thousands of bills are pending; the
//! holder goes; the next one is given all of them anew, oldest first, and the few bills that requests
//! wait for come last; a call that is too large for the path is given up and made again in the same
//! size. Evidence: the bills of the calls below.

use tidetrack_core::bill_replicator::{BillReplicator, HoldCall, Holder, ReplicatorAction};
use tidetrack_core::ids::Incarnation;
use tidetrack_core::ledger::{Bill, BillOutcome, LineItem};
use tidetrack_core::units::{Micros, Millis, Tokens};

/// Bills pending when the holder goes: about a minute of a busy host's.
const PENDING: u64 = 5_000;

fn bill(number: u64) -> Bill {
    let part = LineItem("m@1".parse().expect("a version"), Tokens(1), Tokens(1), Micros(1));
    Bill(number, "w".parse().expect("a workspace"), vec![part], BillOutcome::Complete)
}

fn holder(life: &str) -> Holder {
    Holder { incarnation: life.parse().expect("an incarnation"), address: life[..1].into() }
}

/// Gets the one call to a holder among the actions.
fn call_of(actions: &[ReplicatorAction]) -> (u64, &HoldCall) {
    let calls: Vec<(u64, &HoldCall)> = actions
        .iter()
        .filter_map(|action| match action {
            ReplicatorAction::Hold { batch, call, .. } => Some((*batch, call)),
            _ => None,
        })
        .collect();
    assert_eq!(calls.len(), 1, "{calls:?}");
    calls[0]
}

/// Makes a keeper whose bills are all held by `b`, at 1,000 ms.
fn keeper_with_pending() -> BillReplicator {
    let origin: Incarnation = "a~1".parse().expect("an incarnation");
    // No segment is written: the object API cannot be reached.
    let mut keeper = BillReplicator::new(Millis(0), origin, Millis(1_000_000));
    keeper.set_holders(vec![holder("b~1")]);
    (1..=PENDING).for_each(|n| keeper.add_bill(bill(n)));
    let mut safe = 0;
    while safe < PENDING {
        let actions = keeper.poll_actions(Millis(1_000));
        let (batch, call) = call_of(&actions);
        safe += call.bills.len() as u64;
        keeper.hold_done(Millis(1_000), batch, true);
    }
    keeper.poll_actions(Millis(1_000));
    keeper
}

#[test]
fn a_bill_that_a_request_waits_for_goes_before_those_that_were_safe() {
    let mut keeper = keeper_with_pending();
    keeper.set_holders(vec![holder("c~1")]);
    keeper.add_bill(bill(PENDING + 1));

    let actions = keeper.poll_actions(Millis(2_000));

    let (_, call) = call_of(&actions);
    assert!(call.bills.iter().any(|b| b.number() == PENDING + 1), "{} bills", call.bills.len());
}

#[test]
fn a_call_that_failed_is_made_again_for_fewer_bills() {
    let mut keeper = keeper_with_pending();
    keeper.set_holders(vec![holder("c~1"), holder("d~1")]);
    let actions = keeper.poll_actions(Millis(2_000));
    let (batch, call) = call_of(&actions);
    let first = call.bills.len();

    keeper.hold_done(Millis(3_500), batch, false);
    let actions = keeper.poll_actions(Millis(3_500));

    let (_, call) = call_of(&actions);
    assert!(call.bills.len() * 2 <= first, "{first} bills, then {}", call.bills.len());
}

#[test]
fn all_bills_that_were_safe_reach_the_new_holder_while_requests_go_on() {
    let mut keeper = keeper_with_pending();
    keeper.set_holders(vec![holder("c~1")]);
    let mut held = 0;

    for round in 0..40 {
        // As many new bills as a call may carry come meanwhile.
        (0..2_000).for_each(|n| keeper.add_bill(bill(PENDING + 1 + round * 2_000 + n)));
        let now = Millis(2_000 + 300 * round);
        let actions = keeper.poll_actions(now);
        let (batch, call) = call_of(&actions);
        held += call.bills.iter().filter(|b| b.number() <= PENDING).count();
        keeper.hold_done(now, batch, true);
    }

    assert_eq!(held, PENDING as usize);
}

/// Makes a keeper with bills pending that holds as many for a host that is gone.
fn keeper_with_bills_of(gone: &Incarnation) -> BillReplicator {
    let mut keeper = keeper_with_pending();
    let bills = (1..=PENDING).map(bill).collect();
    let call = HoldCall { origin: gone.clone(), bills, written: vec![], next_segment: 1 };
    assert!(keeper.hold_for(call));
    keeper
}

/// Gives the keeper the bills of a host that is gone, and lets the write of its segment fail.
fn fail_to_write_for(keeper: &mut BillReplicator, gone: &Incarnation) {
    keeper.take_over(std::slice::from_ref(gone));
    let actions = keeper.poll_actions(Millis(2_000));
    assert!(actions.iter().any(|a| matches!(a, ReplicatorAction::Write(_))), "{actions:?}");
    keeper.write_done(Millis(2_000), gone, None);
}

#[test]
fn bills_of_a_gone_host_are_passed_on_a_call_at_a_time_and_each_once() {
    let gone: Incarnation = "g~1".parse().expect("an incarnation");
    let mut keeper = keeper_with_bills_of(&gone);
    fail_to_write_for(&mut keeper, &gone);

    let mut passed: Vec<u64> = Vec::new();
    for _ in 0..20 {
        let actions = keeper.poll_actions(Millis(2_000));
        if actions.is_empty() {
            break;
        }
        let (batch, call) = call_of(&actions);
        assert!(call.bills.len() <= 2_000, "{} bills in a call", call.bills.len());
        passed.extend(call.bills.iter().map(Bill::number));
        keeper.hold_done(Millis(2_010), batch, true);
    }
    fail_to_write_for(&mut keeper, &gone);
    let again = keeper.poll_actions(Millis(2_020));

    assert_eq!(passed, (1..=PENDING).collect::<Vec<_>>());
    assert!(again.is_empty(), "{again:?}");
}

#[test]
fn a_failed_call_to_pass_bills_on_is_made_again_for_fewer() {
    let gone: Incarnation = "g~1".parse().expect("an incarnation");
    let mut keeper = keeper_with_bills_of(&gone);
    fail_to_write_for(&mut keeper, &gone);
    let actions = keeper.poll_actions(Millis(2_000));
    let (batch, call) = call_of(&actions);
    let first = call.bills.len();

    keeper.hold_done(Millis(3_500), batch, false);
    fail_to_write_for(&mut keeper, &gone);
    let actions = keeper.poll_actions(Millis(3_500));

    let (_, call) = call_of(&actions);
    assert_eq!(call.bills[0].number(), 1);
    assert!(call.bills.len() * 2 <= first, "{first} bills, then {}", call.bills.len());
}
