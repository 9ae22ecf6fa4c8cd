//! The keeper's answers to bills, to the ends of calls and to the ends of writes.

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
    let call =
        HoldCall { origin: dead.clone(), bills: vec![bill(7)], written: vec![], next_segment: 3 };
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
    let [KeeperAction::Hold { holder: asked, .. }] = &actions[..] else { panic!("{actions:?}") };
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
