//! The cost of optional work: in an overload, long work of little urgency must not take the room of
//! urgent requests.

mod support;

use tidetrack_core::traffic::cascade::{
    weigh_contended_second_opinion, CascadeOptions, ContendedEstimate, GenerationSize,
};
use tidetrack_core::traffic::scarcity::{DemandTracker, OptionalWork};
use tidetrack_core::units::{Millis, Tokens};

use support::{catalog, id, route};

const URGENT: u8 = 0;
const LESS_URGENT: u8 = 1;
const RELAXED: u8 = 2;

/// Two seconds of demand at one of 67 hosts: urgent requests and less urgent ones with an objective of
/// 1 s, and relaxed ones with 4 s.
fn demand() -> DemandTracker {
    let mut demand = DemandTracker::default();
    for i in 0..10 {
        demand.record(Millis(i * 200), URGENT, Millis(1_000), 1.0);
        demand.record(Millis(i * 200), LESS_URGENT, Millis(1_000), 1.0);
        if i % 3 == 0 {
            demand.record(Millis(i * 200), RELAXED, Millis(4_000), 4.0);
        }
    }
    demand
}

fn optional(rank: u8, own_s: f64, wait_s: f64) -> OptionalWork {
    OptionalWork { rank, own_s, wait_s, hosts: 67, endpoints: 90 }
}

#[test]
fn long_work_of_little_urgency_costs_urgent_requests_much_in_an_overload_and_nothing_in_calm() {
    let demand = demand();
    let now = Millis(2_000);

    let calm = demand.delay_cost(now, optional(RELAXED, 0.4, 0.0));
    let overload = demand.delay_cost(now, optional(RELAXED, 0.4, 1.0));

    assert_eq!(calm, 0.0);
    // The value of a relaxed request is 4.
    assert!(overload > 4.0, "{overload}");
}

#[test]
fn short_urgent_work_stays_affordable_in_an_overload_that_stops_long_work() {
    let demand = demand();
    let now = Millis(2_000);

    let long = demand.delay_cost(now, optional(RELAXED, 0.4, 0.7));
    let short = demand.delay_cost(now, optional(URGENT, 0.03, 0.7));

    assert!(short * 10.0 < long, "short {short}, long {long}");
}

#[test]
fn delay_of_less_urgent_requests_does_not_count_against_urgent_work() {
    let mut relaxed_only = DemandTracker::default();
    (0..10).for_each(|i| relaxed_only.record(Millis(i * 200), RELAXED, Millis(4_000), 4.0));

    let cost = relaxed_only.delay_cost(Millis(2_000), optional(URGENT, 0.4, 3.0));

    assert_eq!(cost, 0.0);
}

#[test]
fn demand_that_has_ended_is_forgotten_within_seconds() {
    let demand = demand();

    let during = demand.delay_cost(Millis(2_000), optional(RELAXED, 0.4, 1.0));
    let later = demand.delay_cost(Millis(12_000), optional(RELAXED, 0.4, 1.0));

    assert!(later < during * 0.02, "during {during}, later {later}");
}

#[test]
fn a_rank_without_recent_requests_changes_neither_weights_nor_lengths() {
    let mut demand = demand();
    demand.record(Millis(0), 9, Millis(50), 1.0);
    let now = Millis(60_000);
    demand.record(now, URGENT, Millis(1_000), 1.0);

    assert_eq!(demand.rank_weight(now, URGENT), 1.0);
    assert_eq!(demand.shortest_objective(now), Some(Millis(1_000)));
}

#[test]
fn second_opinions_are_not_asked_that_would_miss_the_deadline_or_cost_others_more_than_they_gain() {
    let catalog = catalog(1);
    let service = &catalog.services[&id("llm")];
    let (route, opts) = (route("all", "/a/"), CascadeOptions::default());
    let size = GenerationSize {
        prompt_tokens: Tokens(800),
        max_generated_tokens: Tokens(400),
        generated_tokens_hint: None,
    };
    let asks = |estimate: ContendedEstimate| {
        let small = id("small");
        weigh_contended_second_opinion(&route, service, &small, estimate, &size, &opts)
            .is_some_and(|tradeoff| tradeoff.is_worth_it())
    };
    let poor_response = ContendedEstimate {
        confidence: 10,
        is_present_in_time: true,
        in_time_probability: 0.95,
        completion_probability: 1.0,
        rank_weight: 1.0,
        delay_cost: 0.0,
    };

    assert!(asks(poor_response));
    assert!(!asks(ContendedEstimate { completion_probability: 0.02, ..poor_response }));
    assert!(!asks(ContendedEstimate { delay_cost: 1e6, ..poor_response }));
    assert!(!asks(ContendedEstimate { confidence: 95, ..poor_response }));
}
