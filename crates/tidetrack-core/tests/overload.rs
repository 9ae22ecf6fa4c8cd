//! Admission control: single decisions, and an overload of a plain service on fleets of several sizes.

mod support;

use std::time::Duration;

use tidetrack_core::ids::ServiceId;
use tidetrack_core::traffic::budget::{AttemptBudget, FurtherAttempt};
use tidetrack_core::traffic::fair_share::ShareEstimate;
use tidetrack_core::traffic::overload::{
    abandons_busy_endpoint, remaining_us, Admission, Arrival, Overload, RejectReason,
};
use tidetrack_core::traffic::places::{FreePlaces, Places};
use tidetrack_core::traffic::service_times::{AttemptWork, ServiceTimes, StartEstimate};
use tidetrack_core::units::Millis;

use support::id;
use support::overload_simulation::{rate, simulate, Outcome, Scenario, RANKS};

/// Largest difference, in favour of a less urgent rank, between the rates at which ranks are served.
const MAX_INVERSION: f64 = 0.05;

/// Share of requests that may be lost although the service has room for them: three endpoints may be
/// full by chance, and what hosts know of them is old.
const MAX_LOSS: f64 = 0.05;

/// Time after an overload within which hosts notice that there is room.
const RECOVERY_MS: u64 = 2_500;

const FLEETS: [usize; 3] = [4, 67, 295];

fn service() -> ServiceId {
    id("llm")
}

/// Returns the estimate for an attempt with work that takes 300 microseconds per token.
fn start(own: f64, ahead: f64) -> StartEstimate {
    let work = AttemptWork { own, ahead, slowdown: 1.0 };
    ServiceTimes::default().estimate_start(&service(), None, work)
}

fn arrival(rank: u8, time_left: u64, start: StartEstimate) -> Arrival {
    Arrival {
        rank,
        work: start.own_us / 300.0,
        time_left: Millis(time_left),
        start: Some(start),
        places: FreePlaces::default(),
        share: ShareEstimate::WITHIN,
        draws: [0.5, 0.5],
    }
}

fn print(scenario: &Scenario, outcome: &Outcome) {
    let ranks: Vec<String> =
        (0..RANKS).map(|rank| format!("{:.3}", outcome.served(rank))).collect();
    println!(
        "hosts={} load_control={} served={} hot={:.3} others={:.3} rejected={} before={} after={} \
         returns={} peak={} peak_after={} refused_attempts={}/{}",
        scenario.hosts,
        scenario.has_load_control,
        ranks.join(","),
        rate(outcome.hot),
        rate(outcome.others),
        outcome.rejected_at.len(),
        outcome.refused_between(0, scenario.surge_from),
        outcome.refused_between(scenario.surge_until + RECOVERY_MS, u64::MAX),
        outcome.returned_at.len(),
        outcome.largest_return_peak(0, scenario.surge_until),
        outcome.largest_return_peak(scenario.surge_until, u64::MAX),
        outcome.refused_attempts,
        outcome.attempts,
    );
}

fn assert_ranks_in_order(scenario: &Scenario, outcome: &Outcome) {
    for rank in 1..RANKS {
        let (urgent, less_urgent) = (outcome.served(rank - 1), outcome.served(rank));
        assert!(
            urgent >= less_urgent - MAX_INVERSION,
            "{} hosts: {urgent} of rank {}, {less_urgent} of the next",
            scenario.hosts,
            rank - 1
        );
    }
}

#[test]
fn in_an_overload_urgent_requests_do_not_fail_for_less_urgent_ones() {
    for hosts in FLEETS {
        let scenario = Scenario::new(hosts);

        let outcome = simulate(&scenario);

        print(&scenario, &outcome);
        assert_ranks_in_order(&scenario, &outcome);
        // The most urgent rank asks for two thirds of the capacity.
        assert!(outcome.served(0) >= 1.0 - MAX_LOSS, "{hosts} hosts: {}", outcome.served(0));
    }
}

#[test]
fn nothing_is_rejected_by_load_control_before_an_overload_and_soon_after_it() {
    for hosts in FLEETS {
        let scenario = Scenario::new(hosts);

        let outcome = simulate(&scenario);

        let after = scenario.surge_until + RECOVERY_MS;
        assert_eq!(outcome.refused_between(0, scenario.surge_from), 0, "{hosts} hosts, before");
        assert_eq!(outcome.refused_between(after, u64::MAX), 0, "{hosts} hosts, after");
    }
}

#[test]
fn rejected_callers_do_not_return_in_a_second_peak() {
    for hosts in FLEETS {
        let scenario = Scenario::new(hosts);

        let outcome = simulate(&scenario);

        let during = outcome.largest_return_peak(0, scenario.surge_until);
        let after = outcome.largest_return_peak(scenario.surge_until, u64::MAX);
        assert!(after <= during, "{hosts} hosts: {after} returns after, {during} during");
    }
}

#[test]
fn a_failure_halfway_does_not_invert_the_ranks() {
    for hosts in FLEETS {
        let scenario = Scenario {
            hosts_deaf_from: Some(8_000),
            endpoints_lost_from: Some(8_000),
            ..Scenario::new(hosts)
        };

        let outcome = simulate(&scenario);

        print(&scenario, &outcome);
        assert_ranks_in_order(&scenario, &outcome);
    }
}

#[test]
fn a_request_that_would_start_after_its_deadline_is_not_sent() {
    let (mut overload, now) = (Overload::default(), Millis(1_000));
    // 12 s of work are ahead.
    let late = arrival(0, 2_000, start(100.0, 40_000.0));

    let decision = overload.decide(now, &service(), &late);

    match decision {
        Admission::Refuse { reason: RejectReason::Deadline, retry_after } => {
            assert!(retry_after >= Millis(10_000), "the backlog has not drained at {retry_after}");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn nothing_is_rejected_for_its_deadline_while_waits_are_short_or_places_are_free() {
    let (mut overload, now) = (Overload::default(), Millis(1_000));
    let short = arrival(9, 2_000, start(100.0, 1_000.0));
    let free_place = FreePlaces { free: 1, slots: 24 };
    let free = Arrival { places: free_place, ..arrival(9, 2_000, start(100.0, 40_000.0)) };

    assert_eq!(overload.decide(now, &service(), &short), Admission::Admit);
    assert_eq!(overload.decide(now, &service(), &free), Admission::Admit);
}

#[test]
fn a_large_request_is_not_rejected_for_its_size_alone() {
    let (mut overload, now) = (Overload::default(), Millis(1_000));
    // Its own work is estimated at 2.4 s.
    let large = arrival(2, 2_000, start(8_000.0, 1_000.0));

    assert_eq!(overload.decide(now, &service(), &large), Admission::Admit);
}

#[test]
fn less_urgent_requests_give_way_to_one_that_was_rejected_for_its_deadline() {
    let (mut overload, now) = (Overload::default(), Millis(1_000));
    let urgent = arrival(0, 500, start(100.0, 4_000.0));
    let less_urgent = arrival(2, 8_000, start(100.0, 4_000.0));

    let rejected = overload.decide(now, &service(), &urgent);
    let during = overload.decide(now + Millis(100), &service(), &less_urgent);
    let after = overload.decide(now + Millis(6_000), &service(), &less_urgent);

    assert!(matches!(rejected, Admission::Refuse { .. }), "{rejected:?}");
    assert!(matches!(during, Admission::Refuse { .. }), "{during:?}");
    assert_eq!(after, Admission::Admit);
}

#[test]
fn a_retry_delay_leaves_time_before_the_deadline_if_the_backlog_allows_it() {
    let (mut overload, now) = (Overload::default(), Millis(1_000));
    for _ in 0..200 {
        overload.record_turned_away(now, &service(), 1, 100.0);
    }
    for draw in [0.0, 0.5, 0.999] {
        let request =
            Arrival { start: None, draws: [0.0, draw], ..arrival(1, 2_000, start(100.0, 0.0)) };

        let retry_after = overload.retry_after(now, &service(), &request);

        assert!(retry_after < request.time_left, "{retry_after}");
    }
}

#[test]
fn an_endpoint_that_refused_is_not_asked_again_before_a_place_is_expected() {
    let (mut places, now, endpoint) = (Places::default(), Millis(1_000), id("i-1"));
    places.record_report(now, &endpoint, 6, 6);

    places.record_refused(now, &endpoint, Millis(60));
    let first = places.full_until(now, &endpoint);
    places.record_refused(now, &endpoint, Millis(60));
    let second = places.full_until(now, &endpoint);
    places.record_accepted(&endpoint);

    assert_eq!(first, Some(now + Millis(10)));
    assert_eq!(second, Some(now + Millis(20)));
    assert_eq!(places.full_until(now, &endpoint), None);
}

#[test]
fn under_contention_less_urgent_requests_and_second_opinions_leave_budget_to_failures() {
    let now = Millis(1_000);
    let granted = |reason, rank_share| {
        let mut budget = AttemptBudget::new(0.1, Millis(10_000));
        (0..1_000).for_each(|_| budget.record_first(now));
        (0..1_000).filter(|_| budget.try_acquire_contended(now, reason, rank_share)).count()
    };

    let urgent = granted(FurtherAttempt::Failure, 1.0);
    let less_urgent = granted(FurtherAttempt::Failure, 0.5);
    let second_opinions = granted(FurtherAttempt::SecondOpinion, 1.0);

    assert!(less_urgent < urgent, "{less_urgent} of {urgent}");
    assert!(second_opinions * 3 < urgent * 2, "{second_opinions} of {urgent}");
}

#[test]
fn a_busy_endpoint_is_not_given_up_for_one_that_is_as_busy() {
    let present = start(100.0, 4_000.0);
    let elapsed = Duration::from_millis(300).as_secs_f64() * 1e6;
    let left = remaining_us(present, elapsed);

    assert!(!abandons_busy_endpoint(false, left, present.start_us));
    assert!(abandons_busy_endpoint(false, left, start(100.0, 0.0).start_us));
    assert!(!abandons_busy_endpoint(true, left, start(100.0, 0.0).start_us));
}
