//! Memory for request bodies: bounds, and which bodies give way.

use proptest::prelude::*;

use tidetrack_core::ids::WorkspaceId;
use tidetrack_core::traffic::body_budget::{
    BodyBudget, BodyLimits, BodyNumber, SMALL_BODY_BYTES, STALL_TIME,
};
use tidetrack_core::units::{MemorySize, Millis};

const MIB: u64 = 1 << 20;

/// Bounds of 4 MiB, 3 of them for large bodies.
const LIMITS: BodyLimits = BodyLimits { host: 4 * MIB, large: 3 * MIB };

fn workspace(name: &str) -> Option<WorkspaceId> {
    Some(name.parse().expect("the name is valid"))
}

/// Opens a body with reserved bytes; `None` if there is no room for it.
fn open(budget: &mut BodyBudget, at: u64, owner: &str, bytes: u64) -> Option<BodyNumber> {
    let number = budget.open(Millis(at), workspace(owner));
    budget.reserve(Millis(at), number, bytes).map(|_| number)
}

#[test]
fn a_stalled_body_gives_way_and_one_that_makes_progress_does_not() {
    let mut budget = BodyBudget::new(LIMITS);
    let stalled = open(&mut budget, 0, "a", MIB).expect("there is room");
    let steady = open(&mut budget, 0, "a", 2 * MIB).expect("there is room");
    let asking = budget.open(Millis(0), workspace("a"));

    let at_once = budget.reserve(Millis(0), asking, MIB);
    budget.record_progress(STALL_TIME, steady);
    let later = budget.reserve(STALL_TIME, asking, MIB);
    let too_much = budget.reserve(STALL_TIME, asking, MIB);

    assert_eq!((at_once, later, too_much), (None, Some(vec![stalled]), None));
    assert_eq!(budget.held_bytes(), 3 * MIB);
}

#[test]
fn the_largest_stalled_body_is_evicted_first_and_others_not_at_all() {
    let mut budget = BodyBudget::new(LIMITS);
    let small = open(&mut budget, 0, "a", 1_000).expect("there is room");
    let large = open(&mut budget, 0, "a", MIB).expect("there is room");
    let complete = open(&mut budget, 0, "a", MIB).expect("there is room");
    budget.complete(complete);

    let early = budget.evict_stalled(Millis(999));
    let late: Vec<_> = (0..3).map(|_| budget.evict_stalled(STALL_TIME)).collect();

    assert_eq!((early, late), (None, vec![Some(large), Some(small), None]));
    assert_eq!(budget.held_bytes(), MIB);
}

#[test]
fn complete_bodies_never_give_way() {
    let mut budget = BodyBudget::new(LIMITS);
    let complete = open(&mut budget, 0, "a", 3 * MIB).expect("there is room");
    budget.complete(complete);

    let refused = open(&mut budget, 100_000, "b", MIB);

    assert_eq!((refused, budget.held_bytes()), (None, 3 * MIB));
}

#[test]
fn large_bodies_leave_room_for_small_ones() {
    let mut budget = BodyBudget::new(LIMITS);
    while open(&mut budget, 0, "a", MIB / 4).is_some() {}

    let small = (0..16).filter_map(|_| open(&mut budget, 0, "a", SMALL_BODY_BYTES)).count();

    assert_eq!((small, budget.held_bytes()), (16, 4 * MIB));
}

#[test]
fn bodies_of_a_workspace_that_holds_much_more_give_way() {
    let mut budget = BodyBudget::new(LIMITS);
    let mut bodies = Vec::new();
    bodies.extend(open(&mut budget, 0, "a", 2 * MIB));
    bodies.extend(open(&mut budget, 0, "a", MIB));

    let own = budget.open(Millis(0), workspace("a"));
    let other = budget.open(Millis(0), workspace("b"));

    assert_eq!(budget.reserve(Millis(10), own, MIB), None);
    assert_eq!(budget.reserve(Millis(10), other, MIB), Some(vec![bodies[0]]));
    assert_eq!(budget.reserve(Millis(10), bodies[0], 1), None);
}

/// Small bodies that stall make no room among the large ones, so they are not given up for those.
#[test]
fn no_body_gives_way_in_vain() {
    let mut budget = BodyBudget::new(LIMITS);
    let large = open(&mut budget, 0, "a", 3 * MIB).expect("there is room");
    budget.complete(large);
    let small = open(&mut budget, 0, "a", 1_000).expect("there is room");

    let refused = open(&mut budget, 10_000, "a", MIB / 2);

    assert_eq!(refused, None);
    assert_eq!(budget.reserve(Millis(10_000), small, 1_000), Some(Vec::new()));
}

#[test]
fn the_bounds_of_a_small_host_allow_one_body_of_the_maximum_size() {
    let limits = BodyLimits::for_memory(MemorySize(8.0)).for_body(4 * MIB);
    let mut budget = BodyBudget::new(limits);

    assert_eq!(limits, BodyLimits { host: 4 * MIB + MIB / 2, large: 4 * MIB });
    assert!(open(&mut budget, 0, "a", 4 * MIB).is_some());
    assert_eq!(BodyLimits::for_memory(MemorySize(110.0)).for_body(4 * MIB).host, 110 * MIB / 4);
}

proptest! {
    #[test]
    fn the_bounds_hold_and_all_bytes_are_given_back(
        steps in prop::collection::vec((0u8..4, 0usize..12, 1u64..600_000, 0u64..600), 1..400),
    ) {
        let mut budget = BodyBudget::new(LIMITS);
        let (mut now, mut bodies) = (0, Vec::new());
        for (action, which, bytes, pause) in steps {
            now += pause;
            let body = bodies.get(which).copied();
            match (action, body) {
                (0, None) => {
                    let owner = if which % 2 == 0 { "a" } else { "b" };
                    bodies.push(budget.open(Millis(now), workspace(owner)));
                }
                (0 | 1, Some(body)) => {
                    let before = budget.held_bytes();
                    let evicted = budget.reserve(Millis(now), body, bytes);
                    prop_assert!(evicted.is_some() || budget.held_bytes() == before);
                    prop_assert!(!evicted.unwrap_or_default().contains(&body));
                }
                (2, Some(body)) => budget.complete(body),
                (3, Some(body)) => {
                    budget.close(body);
                    bodies.remove(which);
                }
                _ => {}
            }
            prop_assert!(budget.held_bytes() <= LIMITS.host);
        }
        bodies.into_iter().for_each(|body| budget.close(body));
        prop_assert_eq!(budget.held_bytes(), 0);
    }
}
