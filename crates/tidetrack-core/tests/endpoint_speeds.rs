//! Endpoint speeds: what one host measures, what hosts exchange, and what follows from it for the
//! estimate of an endpoint's load.

mod support;

use std::collections::HashMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use support::fleet::{Fleet, FleetHost, CLOCK_STEP_MS};
use support::{endpoint_record, freshness_confirmed_at, id, message_from, state_without_rollout};
use tidetrack_core::ids::{EndpointId, EndpointKey, ServiceId};
use tidetrack_core::placement::{EndpointState, PoolEndpoint, RelativeTimes, Slowdown};
use tidetrack_core::traffic::control::{Action, FleetState, Input};
use tidetrack_core::traffic::endpoint_speeds::{
    IncarnationHash, LoadControlReport, SpeedReport, REPORTS_PER_MESSAGE,
};
use tidetrack_core::traffic::endpoints::EndpointRecord;
use tidetrack_core::traffic::peers::{PeerMessage, PeerUpdate};
use tidetrack_core::units::{Millis, Tokens};

/// Persistent speed difference between endpoints, from the requirements.
const FACTOR: f64 = 2.4;

/// Multiple of the usual time between the usual and the slow endpoints: `FACTOR` has to be told apart
/// from 1 in either direction, and this is their geometric mean.
const BOUNDARY: f64 = 1.55;

/// Number of endpoints of the simulated service.
const ENDPOINTS: usize = 90;

/// Requests per second that each endpoint receives from all hosts together.
const REQUESTS_PER_ENDPOINT: f64 = 3.0;

/// Standard deviation of the logarithm of a response time.
const SPREAD: f64 = 0.45;

fn endpoint_name(i: usize) -> String {
    format!("e{i}")
}

fn endpoint_records(started: u64) -> Vec<EndpointRecord> {
    let record = |i| EndpointRecord {
        started: Some(Millis(started)),
        ..endpoint_record(&endpoint_name(i), "v1")
    };
    (0..ENDPOINTS).map(record).collect()
}

/// Returns the endpoints of a host by name, as its traffic sees them.
fn pool(host: &FleetHost) -> &[PoolEndpoint] {
    let view = host.view.as_ref().expect("the host has a view");
    view.services[&id::<ServiceId>("llm")].stable_pool.endpoints()
}

fn index_of(endpoint: &PoolEndpoint) -> usize {
    endpoint.id.as_str()[1..].parse().expect("the endpoint has a number")
}

/// A fleet whose hosts send requests to random endpoints.
struct SpeedFleet {
    fleet: Fleet,
    rng: StdRng,
    /// Relative response time of each endpoint.
    speeds: Vec<f64>,
}

impl SpeedFleet {
    /// Starts a fleet in which every third endpoint is slow.
    fn start(hosts: u32, seed: u64) -> SpeedFleet {
        let mut fleet = Fleet::start(hosts, seed);
        for host_index in 0..hosts as usize {
            fleet.handle_input(host_index, Input::EndpointList(endpoint_records(1)));
        }
        let speeds = (0..ENDPOINTS)
            .map(|i| if usize::is_multiple_of(i, 3) { FACTOR } else { 1.0 })
            .collect();
        SpeedFleet { fleet, rng: StdRng::seed_from_u64(seed), speeds }
    }

    fn run(&mut self, until: u64) {
        while self.fleet.now < until {
            self.fleet.run(self.fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
            let requests =
                REQUESTS_PER_ENDPOINT * ENDPOINTS as f64 * CLOCK_STEP_MS as f64 / 1_000.0;
            for _ in 0..requests.round() as usize {
                self.send_request();
            }
        }
    }

    fn send_request(&mut self) {
        let host_index = self.rng.random_range(0..self.fleet.hosts.len());
        let noise: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let endpoints = pool(&self.fleet.hosts[host_index]);
        let endpoint = &endpoints[self.rng.random_range(0..endpoints.len())];
        let ratio = self.speeds[index_of(endpoint)] * (SPREAD * noise).exp();
        endpoint.state.record_relative_time(Millis(self.fleet.now), ratio);
    }

    /// Returns the share of all pairs of a host and an endpoint for which the host takes the endpoint
    /// for slow or usual as it is.
    fn correct_share(&self) -> f64 {
        self.correct_share_of(|_| true)
    }

    fn correct_share_of(&self, is_counted: impl Fn(usize) -> bool) -> f64 {
        let (mut correct, mut all) = (0, 0);
        for host in &self.fleet.hosts {
            for e in pool(host).iter().filter(|e| is_counted(index_of(e))) {
                let is_slow = e.state.slowdown(Millis(self.fleet.now)).multiple() > BOUNDARY;
                correct += usize::from(is_slow == (self.speeds[index_of(e)] > BOUNDARY));
                all += 1;
            }
        }
        correct as f64 / all as f64
    }
}

#[test]
fn a_measured_endpoint_is_as_slow_as_its_responses_and_forgets_it() {
    let state = EndpointState::default();
    assert_eq!(state.slowdown(Millis(0)), Slowdown::default());

    state.record_relative_time(Millis(0), FACTOR);
    let after_one = state.slowdown(Millis(0)).multiple();
    (0..60).for_each(|_| state.record_relative_time(Millis(1_000), FACTOR));
    let after_many = state.slowdown(Millis(1_000)).multiple();
    state.set_other_relative_times(Millis(90_000), RelativeTimes::default(), 0.0);

    assert!(after_one < 1.4, "one response must not make an endpoint slow: {after_one}");
    assert!((2.2..=FACTOR).contains(&after_many), "{after_many}");
    let forgotten = state.slowdown(Millis(90_000)).multiple();
    assert!(forgotten < 1.1, "old measurements must lose their weight: {forgotten}");
}

#[test]
fn a_reported_slowdown_applies_at_once_and_ends_within_a_second() {
    let state = EndpointState::default();

    state.record_reported_slowdown(Millis(1_000), Slowdown::from_percent(250));
    let at = |ms| state.slowdown(Millis(ms)).multiple();

    assert!((at(1_000) - 2.5).abs() < 0.01, "{}", at(1_000));
    assert!((1.2..2.5).contains(&at(1_300)), "{}", at(1_300));
    assert!(at(2_200) < 1.05, "a passing slowdown must not be kept: {}", at(2_200));
    assert_eq!(state.persistent_slowdown(), Slowdown::default());
}

#[test]
fn invalid_ratios_are_ignored_and_single_large_ones_are_bounded() {
    let state = EndpointState::default();

    [f64::NAN, 0.0, -3.0].iter().for_each(|r| state.record_relative_time(Millis(0), *r));
    assert_eq!(state.slowdown(Millis(0)), Slowdown::default());
    state.record_relative_time(Millis(0), f64::INFINITY);

    let slowdown = state.slowdown(Millis(0)).multiple();
    assert!(slowdown < BOUNDARY, "one response that was held up must not slow it: {slowdown}");
}

#[test]
fn a_fresh_load_report_comes_first_only_where_load_control_applies() {
    let (plain, controlled) = (EndpointState::default(), EndpointState::default());
    controlled.prefer_reports();
    for state in [&plain, &controlled] {
        state.record_load_report(Millis(1_000), 4_000, Tokens(0));
        state.set_heard_share(0.5);
        state.set_peer_work(Millis(1_100), 70);
    }

    assert_eq!(plain.load(Millis(1_200)), 70.0);
    assert_eq!(controlled.load(Millis(1_200)), 4_000.0);
    assert_eq!(plain.load(Millis(1_500)), 70.0);
    let queued = controlled.load(Millis(1_500));
    let half_life_passed = 4_000.0 * 0.5_f64.sqrt();
    assert!((queued - half_life_passed).abs() < 0.5, "the queue still drains: {queued}");
}

#[test]
fn work_of_hosts_that_were_not_heard_is_added_once_the_reported_queue_has_drained() {
    let (plain, controlled) = (EndpointState::default(), EndpointState::default());
    controlled.prefer_reports();
    for state in [&plain, &controlled] {
        state.record_load_report(Millis(1_000), 4_000, Tokens(0));
        state.set_heard_share(0.5);
        state.set_peer_work(Millis(9_000), 70);
    }

    assert_eq!(plain.load(Millis(9_100)), 70.0);
    assert_eq!(controlled.load(Millis(9_100)), 140.0, "half of the hosts were not heard");
}

#[test]
fn hosts_of_a_fleet_of_67_learn_which_endpoints_are_slow_within_seconds() {
    let mut speed_fleet = SpeedFleet::start(67, 1);

    speed_fleet.run(12_000);

    let share = speed_fleet.correct_share();
    assert!(share >= 0.9, "endpoints told apart: {share}");
}

#[test]
fn hosts_of_a_fleet_of_295_learn_which_endpoints_are_slow_within_seconds() {
    let mut speed_fleet = SpeedFleet::start(295, 2);

    speed_fleet.run(16_000);

    let share = speed_fleet.correct_share();
    assert!(share >= 0.9, "endpoints told apart: {share}");
}

#[test]
fn both_halves_of_a_partitioned_fleet_go_on_learning() {
    let mut speed_fleet = SpeedFleet::start(67, 3);
    speed_fleet.run(10_000);

    speed_fleet.fleet.partitioned = (0..33).collect();
    let changed: Vec<usize> = (1..ENDPOINTS).step_by(3).take(10).collect();
    changed.iter().for_each(|i| speed_fleet.speeds[*i] = FACTOR);
    speed_fleet.run(50_000);

    let share = speed_fleet.correct_share();
    let changed_share = speed_fleet.correct_share_of(|i| changed.contains(&i));
    assert!(share >= 0.85, "endpoints told apart without the other half: {share}");
    assert!(changed_share >= 0.75, "endpoints that became slow afterwards: {changed_share}");
}

#[test]
fn a_host_that_restarts_hears_the_speeds_from_the_others() {
    let mut speed_fleet = SpeedFleet::start(67, 4);
    speed_fleet.run(12_000);

    speed_fleet.fleet.restart(20);
    speed_fleet.fleet.handle_input(20, Input::EndpointList(endpoint_records(1)));
    let is_slow = |e: &PoolEndpoint, now| e.state.slowdown(Millis(now)).multiple() > BOUNDARY;
    let now = speed_fleet.fleet.now;
    let slow_at_restart =
        pool(&speed_fleet.fleet.hosts[20]).iter().filter(|e| is_slow(e, now)).count();
    speed_fleet.run(26_000);

    let now = speed_fleet.fleet.now;
    let endpoints = pool(&speed_fleet.fleet.hosts[20]);
    let correct =
        endpoints.iter().filter(|e| is_slow(e, now) == index_of(e).is_multiple_of(3)).count();
    assert_eq!(slow_at_restart, 0, "a restarted host must treat all endpoints alike");
    assert!(correct as f64 >= 0.85 * ENDPOINTS as f64, "{correct} of {ENDPOINTS}");
}

/// Returns a message that claims an extreme speed for the endpoints.
fn absurd_message(from: u32, now: u64, endpoints: std::ops::Range<usize>) -> PeerMessage {
    let claim = RelativeTimes::new(Millis(now), 1e9, 1e9);
    let report = |record: &EndpointRecord| {
        SpeedReport::new(EndpointKey::from(&record.id), IncarnationHash::of(record), claim)
    };
    let speeds = endpoint_records(1)[endpoints].iter().map(report).collect();
    let load_control = LoadControlReport { speeds, ..LoadControlReport::default() };
    message_from(from, PeerUpdate { load_control, ..PeerUpdate::default() })
}

#[test]
fn a_host_with_absurd_figures_does_not_change_what_the_others_know() {
    let mut speed_fleet = SpeedFleet::start(67, 5);
    speed_fleet.run(12_000);
    let usual = endpoint_records(1)[1].id.clone();
    let find = |fleet: &Fleet| {
        let endpoint = pool(&fleet.hosts[0]).iter().find(|e| e.id == usual);
        endpoint.expect("the endpoint is in the pool").state.clone()
    };
    let before = find(&speed_fleet.fleet).slowdown(Millis(12_000)).multiple();

    for _ in 0..20 {
        let now = speed_fleet.fleet.now;
        let message = Box::new(absurd_message(30, now, 0..REPORTS_PER_MESSAGE));
        speed_fleet.fleet.handle_input(0, Input::PeerMessageReceived(message));
        speed_fleet.run(now + 100);
    }

    let now = Millis(speed_fleet.fleet.now);
    let after = find(&speed_fleet.fleet).slowdown(now).multiple();
    assert!(after < before * 1.35 && after < BOUNDARY, "{before} became {after}");
}

/// Passes time and returns the reports in the messages of the rounds, by receiver and in order.
fn reports_in_rounds(fleet_state: &mut FleetState, until: u64) -> Vec<Vec<SpeedReport>> {
    let freshness = freshness_confirmed_at(0);
    let mut reports = Vec::new();
    for now in (0..=until).step_by(CLOCK_STEP_MS) {
        for action in fleet_state.handle_input(Millis(now), Input::Tick, &freshness) {
            if let Action::SendMessages(messages) = action {
                reports.extend(messages.into_iter().map(|(_, m)| m.update.load_control.speeds));
            }
        }
    }
    reports
}

/// Returns the state of host 2, which knows the endpoints and host 3, and its own endpoints' states.
fn host_with_endpoints() -> (FleetState, HashMap<EndpointId, std::sync::Arc<EndpointState>>) {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_without_rollout(2, &freshness);
    for number in 3..=6 {
        let message = Box::new(message_from(number, PeerUpdate::default()));
        fleet_state.handle_input(Millis(0), Input::PeerMessageReceived(message), &freshness);
    }
    let list = Input::EndpointList(endpoint_records(1));
    let actions = fleet_state.handle_input(Millis(0), list, &freshness);
    let view = support::last_published_view(&actions).expect("the list changes the view");
    let endpoints = view.services[&id::<ServiceId>("llm")].stable_pool.endpoints();
    let states = endpoints.iter().map(|e| (e.id.clone(), e.state.clone())).collect();
    (fleet_state, states)
}

#[test]
fn a_host_that_measured_nothing_reports_no_speeds_and_passes_none_on() {
    let (mut fleet_state, _) = host_with_endpoints();
    let freshness = freshness_confirmed_at(0);
    let message = Box::new(absurd_message(3, 0, 0..REPORTS_PER_MESSAGE));
    fleet_state.handle_input(Millis(0), Input::PeerMessageReceived(message), &freshness);

    let reports = reports_in_rounds(&mut fleet_state, 3_000);

    assert!(reports.len() > 10, "{}", reports.len());
    assert!(reports.iter().all(Vec::is_empty), "heard figures must not be passed on");
}

#[test]
fn reports_are_bounded_per_message_and_cover_all_endpoints_in_time() {
    let (mut fleet_state, states) = host_with_endpoints();
    states.values().for_each(|s| (0..40).for_each(|_| s.record_relative_time(Millis(0), 1.0)));

    let reports = reports_in_rounds(&mut fleet_state, 10_000);

    let longest = reports.iter().map(Vec::len).max();
    let mut reported: Vec<EndpointKey> = reports.iter().flatten().map(|r| r.endpoint).collect();
    reported.sort_unstable();
    reported.dedup();
    assert_eq!(longest, Some(REPORTS_PER_MESSAGE));
    assert!(reported.len() >= ENDPOINTS * 9 / 10, "{} of {ENDPOINTS}", reported.len());
}

#[test]
fn a_restarted_endpoint_loses_its_figures_also_those_that_hosts_still_report() {
    let (mut fleet_state, states) = host_with_endpoints();
    let freshness = freshness_confirmed_at(0);
    let first = endpoint_records(1)[0].clone();
    states.values().for_each(|s| (0..20).for_each(|_| s.record_relative_time(Millis(0), 1.0)));
    (0..40).for_each(|_| states[&first.id].record_relative_time(Millis(0), FACTOR));
    let before = states[&first.id].slowdown(Millis(0)).multiple();

    let restarted = EndpointRecord { started: Some(Millis(2)), ..first.clone() };
    let restart = Input::Endpoint(restarted);
    let actions = fleet_state.handle_input(Millis(500), restart, &freshness);
    let mut view = support::last_published_view(&actions);
    for number in 3..=6 {
        let message = Box::new(absurd_message(number, 600, 0..1));
        fleet_state.handle_input(Millis(600), Input::PeerMessageReceived(message), &freshness);
    }
    for now in (650..1_500).step_by(CLOCK_STEP_MS) {
        let actions = fleet_state.handle_input(Millis(now), Input::Tick, &freshness);
        view = support::last_published_view(&actions).or(view);
    }

    let view = view.expect("the restart changes the view");
    let endpoints = view.services[&id::<ServiceId>("llm")].stable_pool.endpoints();
    let endpoint = endpoints.iter().find(|e| e.id == first.id).expect("it serves again");
    assert!(before > BOUNDARY, "{before}");
    assert_eq!(endpoint.state.slowdown(Millis(1_500)), Slowdown::default());
}

#[test]
fn an_operator_sees_a_slow_endpoint_once() {
    let (mut fleet_state, states) = host_with_endpoints();
    let freshness = freshness_confirmed_at(0);
    let slow: EndpointId = id(&endpoint_name(7));
    for (endpoint, state) in &states {
        let ratio = if *endpoint == slow { FACTOR } else { 1.0 };
        (0..40).for_each(|_| state.record_relative_time(Millis(0), ratio));
    }

    let mut logged = Vec::new();
    for now in (0..3_000).step_by(CLOCK_STEP_MS) {
        for action in fleet_state.handle_input(Millis(now), Input::Tick, &freshness) {
            if let Action::Log(event, text) = action {
                logged.extend((event.number() == 248).then_some(text));
            }
        }
    }

    assert_eq!(logged.len(), 1, "{logged:?}");
    assert!(logged[0].starts_with("endpoint=e7 service=llm slow=true"), "{logged:?}");
}

#[test]
fn endpoints_that_are_all_equally_slow_are_usual() {
    let (mut fleet_state, states) = host_with_endpoints();
    states.values().for_each(|s| (0..30).for_each(|_| s.record_relative_time(Millis(0), FACTOR)));

    reports_in_rounds(&mut fleet_state, 300);

    let slowdown = states[&id::<EndpointId>("e5")].slowdown(Millis(300)).multiple();
    assert!((slowdown - 1.0).abs() < 0.02, "the model's times contain what is common: {slowdown}");
}
