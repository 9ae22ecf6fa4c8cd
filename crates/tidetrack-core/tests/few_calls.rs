//! Roll-outs of a plain service with few requests, in a simulated fleet on virtual time; the hosts
//! decide which calls are sent to the canary version.

mod support;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::ids::EndpointId;
use tidetrack_core::traffic::canary::{Phase, ReleaseTrack, RolloutState};
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::exposure::{ExposureBound, SessionHash};
use tidetrack_core::traffic::judge::{AttemptOutcome, ObservedResponse};
use tidetrack_core::units::{Millis, Share};

use support::fleet::{Fleet, CLOCK_STEP_MS, SESSION_HOLD_TIME};
use support::{endpoint_record, id, rollout_order};

/// Start of the roll-out, in milliseconds; by then, all hosts have discovered each other.
const ROLLOUT_STARTS_AT: u64 = 4_000;

/// Number of simulations of each case.
const SEED_COUNT: u64 = 24;

/// Largest number of requests that a version may receive before its verdict: a share of all
/// requests and a fixed allowance.
const EXPOSURE_BOUND: ExposureBound = ExposureBound { share: Share(0.15), allowance: 30 };

/// Share of calls that carry no information about a version because they are rejected or answered
/// immediately.
const TRIVIAL_CALL_SHARE: f64 = 0.33;

/// Share of calls on the second route, and the share of those that fails on any version.
const SECOND_ROUTE_SHARE_AND_FAILURE_RATE: (f64, f64) = (0.3, 0.24);

/// Number of endpoints to which a call may be sent, including the first.
const MAX_ATTEMPTS: usize = 3;

/// Median duration of a call of a stable version, in milliseconds; durations have a log-normal
/// distribution.
const BASELINE_CALL_MS: f64 = 30.0;

/// Service and behavior of its canary version.
#[derive(Clone, Copy, Debug)]
struct RolloutCase {
    hosts: u32,
    endpoint_count: usize,
    /// Calls per second.
    calls_per_second: f64,
    /// Share of the canary version's calls that are slow.
    slow_share: f64,
    /// Factor by which slow calls take longer.
    slowdown: f64,
    /// Share of the canary version's calls that fail after the cutover.
    failure_rate_after_cutover: f64,
    /// Share of failed calls of any version that fail again on another endpoint.
    repeat_failure_rate: f64,
}

impl Default for RolloutCase {
    fn default() -> RolloutCase {
        RolloutCase {
            hosts: 7,
            endpoint_count: 4,
            calls_per_second: 24.6,
            slow_share: 0.0,
            slowdown: 1.0,
            failure_rate_after_cutover: 0.0,
            repeat_failure_rate: 0.0,
        }
    }
}

/// Result of a roll-out.
#[derive(Debug, Default)]
struct RolloutOutcome {
    is_barred: bool,
    is_completed: bool,
    /// Number of calls sent to the canary version before the deadline, and of all calls in that
    /// time.
    canary_calls: usize,
    total_calls: usize,
}

struct RolloutSimulation {
    fleet: Fleet,
    rng: StdRng,
    case: RolloutCase,
    outcome: RolloutOutcome,
}

impl RolloutSimulation {
    fn new(seed: u64, case: RolloutCase) -> RolloutSimulation {
        let mut fleet = Fleet::start_with_bound(case.hosts, seed, EXPOSURE_BOUND);
        for host in 0..case.hosts as usize {
            for n in 3..=case.endpoint_count {
                fleet.handle_input(host, Input::Endpoint(endpoint_record(&format!("o{n}"), "v1")));
                fleet.handle_input(host, Input::Endpoint(endpoint_record(&format!("n{n}"), "v2")));
            }
        }
        let rng = StdRng::seed_from_u64(seed + 1);
        RolloutSimulation { fleet, rng, case, outcome: RolloutOutcome::default() }
    }

    /// Runs a roll-out to its deadline or until all hosts have barred the version.
    fn run(mut self) -> RolloutOutcome {
        self.run_until(ROLLOUT_STARTS_AT, false);
        self.fleet.set_rollout_order(rollout_order(1, None));
        self.run_until(ROLLOUT_STARTS_AT + rollout_order(1, None).duration.0, true);
        let progress = self.fleet.rollout.as_ref().and_then(|o| o.progress.as_ref());
        self.outcome.is_completed = progress.is_some_and(|p| p.state == RolloutState::Completed);
        self.outcome
    }

    fn run_until(&mut self, end: u64, has_rollout_order: bool) {
        while self.fleet.now < end && !self.outcome.is_barred {
            self.fleet.run(self.fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
            let mean = self.case.calls_per_second * CLOCK_STEP_MS as f64 / 1_000.0;
            let calls = mean as usize + usize::from(self.rng.random::<f64>() < mean.fract());
            (0..calls).for_each(|_| self.send_call(has_rollout_order));
            self.outcome.is_barred = has_rollout_order && self.is_barred();
        }
    }

    fn is_barred(&self) -> bool {
        self.fleet.hosts.iter().all(|host| {
            let view = host.view.as_ref().expect("a view must be published");
            let canary = view.services[&id("llm")].canary.as_ref();
            canary.is_some_and(|t| t.phase == Phase::Barred)
        })
    }

    fn send_call(&mut self, has_rollout_order: bool) {
        let host = self.rng.random_range(0..self.fleet.hosts.len());
        let request_id = format!("r{}", self.rng.random::<u64>());
        let track = match has_rollout_order {
            true => self.fleet.send_request(
                host,
                SessionHash::new(None, &request_id),
                SESSION_HOLD_TIME,
            ),
            false => ReleaseTrack::Stable,
        };
        self.outcome.total_calls += usize::from(has_rollout_order);
        self.outcome.canary_calls += usize::from(track == ReleaseTrack::Canary);
        let response = self.draw_response(track);
        self.fleet.handle_input(host, Input::ResponseObserved(response.clone()));
        if response.is_failure() && self.case.repeat_failure_rate > 0.0 {
            self.retry(host, track, response);
        }
    }

    /// Retries a failed call on up to two more endpoints of the same version until it succeeds.
    fn retry(&mut self, host: usize, track: ReleaseTrack, failed_response: ObservedResponse) {
        for _ in 1..MAX_ATTEMPTS {
            let is_repeat_failure = self.rng.random::<f64>() < self.case.repeat_failure_rate;
            let outcome =
                if is_repeat_failure { AttemptOutcome::Failed } else { AttemptOutcome::Complete };
            let endpoint = self.draw_endpoint(track);
            let response = ObservedResponse {
                outcome,
                endpoint,
                has_failed_before: true,
                ..failed_response.clone()
            };
            self.fleet.handle_input(host, Input::ResponseObserved(response));
            if !is_repeat_failure {
                return;
            }
        }
    }

    /// Picks a random endpoint of a version.
    fn draw_endpoint(&mut self, track: ReleaseTrack) -> EndpointId {
        let n = self.rng.random_range(1..=self.case.endpoint_count);
        id(&format!("{}{n}", if track == ReleaseTrack::Canary { 'n' } else { 'o' }))
    }

    /// Reports whether all calls are sent to the canary version.
    fn has_cut_over(&self) -> bool {
        let view = self.fleet.hosts[0].view.as_ref().expect("a view must be published");
        let canary = view.services[&id("llm")].canary.as_ref();
        canary.is_some_and(|t| t.phase_at(Millis(self.fleet.now)) == Phase::Moved)
    }

    fn draw_response(&mut self, track: ReleaseTrack) -> ObservedResponse {
        let endpoint = self.draw_endpoint(track);
        let is_canary = track == ReleaseTrack::Canary;
        let is_trivial = self.rng.random::<f64>() < TRIVIAL_CALL_SHARE;
        let (second_route_share, second_route_failure_rate) = SECOND_ROUTE_SHARE_AND_FAILURE_RATE;
        let is_second_route = self.rng.random::<f64>() < second_route_share;
        let failure_rate_after_cutover = if is_canary && self.has_cut_over() {
            self.case.failure_rate_after_cutover
        } else {
            0.0
        };
        let has_failed = !is_trivial
            && (is_second_route && self.rng.random::<f64>() < second_route_failure_rate
                || failure_rate_after_cutover > 0.0
                    && self.rng.random::<f64>() < failure_rate_after_cutover);
        let is_slow = is_canary && self.rng.random::<f64>() < self.case.slow_share;
        let slowdown = if is_slow { self.case.slowdown } else { 1.0 };
        let normal_deviate = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let ms = if is_trivial {
            2.0
        } else {
            BASELINE_CALL_MS * slowdown * (0.4 * normal_deviate).exp()
        };
        ObservedResponse {
            service: id("llm"),
            canary_version: is_canary.then(|| id("v2")),
            endpoint,
            is_load_concentrated: false,
            route: id(match (is_trivial, is_second_route) {
                (true, _) => "probe",
                (false, true) => "return",
                (false, false) => "lend",
            }),
            model: None,
            outcome: if has_failed { AttemptOutcome::Failed } else { AttemptOutcome::Complete },
            has_failed_before: false,
            is_stream: false,
            load: 0.0,
            head_ms: Some(ms),
            gap_ms: None,
        }
    }
}

/// Runs a bad version with each seed and returns how often it was barred.
fn count_barred(case: RolloutCase) -> u64 {
    let barred_count = (0..SEED_COUNT)
        .filter(|seed| RolloutSimulation::new(*seed, case).run().is_barred)
        .count() as u64;
    println!("{case:?}: barred in {barred_count} of {SEED_COUNT} simulations");
    barred_count
}

/// Guards against completing a slow version of a service with few requests. A quarter or half of
/// the calls of a plain service's version took eight times as long, yet it was completed, and 11
/// and 15 requests over the limit were sent to it after the 50th slow response because no other
/// version was left.
///
/// The sample's share of 0.06 of 12 or 25 calls per second yields 16 or 30 calls per roll-out, a
/// third of which are rejected or answered immediately on any version. Of the other sampled calls,
/// 5 of 9 and 7 of 21 were late, compared with 1 in 30 on the stable version. Half of the
/// allowance, which is granted regardless of the share, was unused.
#[test]
fn a_version_with_half_of_its_calls_slow_is_barred_at_low_traffic_before_the_cutover() {
    let case = RolloutCase {
        hosts: 6,
        endpoint_count: 3,
        calls_per_second: 11.9,
        slow_share: 0.5,
        slowdown: 8.0,
        ..RolloutCase::default()
    };

    assert_eq!(count_barred(case), SEED_COUNT);
}

/// The second case of the fault above: a quarter of the calls is slow, at twice the request rate.
#[test]
fn a_quarter_of_slow_calls_of_a_service_with_few_requests_is_found_before_the_move() {
    let case = RolloutCase { slow_share: 0.25, slowdown: 8.0, ..RolloutCase::default() };

    assert_eq!(count_barred(case), SEED_COUNT);
}

/// Guards against completing a version of which half of the calls take three or more times as long.
#[test]
fn a_version_with_half_of_its_calls_several_times_slower_is_barred_at_low_traffic() {
    let case = RolloutCase { slow_share: 0.5, slowdown: 3.0, ..RolloutCase::default() };

    for slowdown in [3.0, 4.0, 6.0] {
        assert_eq!(count_barred(RolloutCase { slowdown, ..case }), SEED_COUNT);
    }
}

/// The allowance is shared by all hosts, and a good version is completed however much of it is
/// used.
#[test]
fn a_good_version_stays_within_the_exposure_bound_and_is_completed() {
    let small = RolloutCase::default();
    let large = RolloutCase { hosts: 83, endpoint_count: 10, calls_per_second: 60.0, ..small };

    for (case, seed_count) in [(small, SEED_COUNT), (large, 4)] {
        for seed in 0..seed_count {
            let outcome = RolloutSimulation::new(seed, case).run();

            let max_canary_calls = EXPOSURE_BOUND.share.0 * outcome.total_calls as f64
                + f64::from(EXPOSURE_BOUND.allowance);
            assert!(outcome.is_completed, "not completed: {case:?}, seed {seed}");
            assert!(
                (outcome.canary_calls as f64) <= max_canary_calls,
                "too many canary calls: {case:?}, seed {seed}: {outcome:?}"
            );
        }
    }
}

/// A version with an inconclusive verdict receives more calls to reach a verdict sooner, but never
/// more than the bound.
#[test]
fn a_version_with_an_inconclusive_verdict_stays_within_the_exposure_bound() {
    let case = RolloutCase { slow_share: 0.1, slowdown: 8.0, ..RolloutCase::default() };
    for seed in 0..SEED_COUNT {
        let outcome = RolloutSimulation::new(seed, case).run();

        let max_canary_calls = EXPOSURE_BOUND.share.0 * outcome.total_calls as f64
            + f64::from(EXPOSURE_BOUND.allowance);
        assert!(
            (outcome.canary_calls as f64) <= max_canary_calls,
            "too many canary calls: seed {seed}: {outcome:?}"
        );
    }
}

/// Good version of a plain service on hundreds of hosts.
const HUNDREDS_OF_HOSTS: RolloutCase = RolloutCase {
    hosts: 295,
    endpoint_count: 6,
    calls_per_second: 218.0,
    slow_share: 0.0,
    slowdown: 1.0,
    failure_rate_after_cutover: 0.0,
    repeat_failure_rate: 0.0,
};

#[test]
fn a_good_version_of_a_plain_service_is_completed_on_hundreds_of_hosts() {
    let outcome = RolloutSimulation::new(0, HUNDREDS_OF_HOSTS).run();

    assert!(outcome.is_completed, "not completed: {outcome:?}");
}

/// With this seed, 15 of 22 responses on the second route fail by chance, where a share of 0.24
/// fails on any version: more than four standard deviations.
#[test]
fn a_good_version_is_completed_where_one_route_fails_often() {
    let outcome = RolloutSimulation::new(13, HUNDREDS_OF_HOSTS).run();

    assert!(outcome.is_completed, "not completed: {outcome:?}");
}

/// Guards against a host that records the completion before it has received the failures since the
/// cutover.
#[test]
fn a_version_that_fails_after_the_cutover_is_not_completed_on_hundreds_of_hosts() {
    let case = RolloutCase {
        calls_per_second: 450.0,
        failure_rate_after_cutover: 0.21,
        ..HUNDREDS_OF_HOSTS
    };

    let outcome = RolloutSimulation::new(0, case).run();

    assert!(outcome.is_barred && !outcome.is_completed, "not barred, or completed: {outcome:?}");
}

/// Guards against the same premature completion in a fleet of dozens of hosts with few endpoints.
#[test]
fn a_version_that_fails_after_the_cutover_is_not_completed_on_dozens_of_hosts() {
    let case = RolloutCase {
        hosts: 83,
        endpoint_count: 4,
        calls_per_second: 300.0,
        failure_rate_after_cutover: 0.21,
        ..HUNDREDS_OF_HOSTS
    };

    let completed: Vec<u64> =
        (0..8).filter(|seed| RolloutSimulation::new(*seed, case).run().is_completed).collect();

    assert!(completed.is_empty(), "completed with seeds {completed:?}");
}

/// Guards against counting every attempt of a request that fails on any endpoint as separate
/// evidence against a version.
#[test]
fn a_good_version_is_completed_although_failed_calls_fail_again_on_retry() {
    let case = RolloutCase {
        hosts: 67,
        endpoint_count: 8,
        calls_per_second: 250.0,
        repeat_failure_rate: 0.72,
        ..RolloutCase::default()
    };

    let incomplete: Vec<u64> = (0..SEED_COUNT)
        .filter(|seed| !RolloutSimulation::new(*seed, case).run().is_completed)
        .collect();

    assert!(incomplete.is_empty(), "not completed with seeds {incomplete:?} of {SEED_COUNT}");
}
