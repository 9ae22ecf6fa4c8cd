//! Simulates a roll-out: draws pseudo-random responses of the endpoints of two versions and passes
//! them to the hosts of a fleet.
//!
//! An engine sends an event every 20 ms, and every third endpoint sends one every 26 ms. The
//! interval grows with the load and doubles at a load of 250. This model follows the attempts
//! logged in runs of a bad roll-out, in which the median interval was 25 ms at a load below 50, and
//! 30, 38, 47 and 60 ms at loads of 100, 200, 400 and 800. Most sessions of the canary sample reach
//! idle endpoints, while the endpoints of the stable version are under load. A plain call takes 20
//! ms, and one call in a hundred takes five times as long. On one of the routes, one call in seven
//! fails with either version.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::traffic::canary::{Phase, RolloutState};
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::judge::{AttemptOutcome, ObservedResponse};
use tidetrack_core::units::Millis;

use super::fleet::{Fleet, FleetHost, CLOCK_STEP_MS};
use super::{endpoint_record, id, rollout_order};

/// Number of hosts in the fleet.
const HOSTS: u32 = 9;

/// Time at which the roll-out is ordered, in milliseconds. By then the hosts know each other.
const ROLLOUT_STARTS_AT: u64 = 4_000;

/// Load at which an engine takes twice as long per event as when idle.
const DOUBLING_LOAD: f64 = 250.0;

/// Interval between two restarts in `Scenario::RestartingHosts`, in milliseconds.
const RESTART_INTERVAL: u64 = 600;

/// Period of high load in `Scenario::HighLoad`, in milliseconds.
const HIGH_LOAD_TIME: std::ops::Range<u64> = 10_000..16_000;

/// The kind of service that is simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Streamed responses of an engine.
    Streams,
    /// Calls with a single response.
    Calls,
}

impl ServiceKind {
    fn endpoint_count(self) -> usize {
        match self {
            ServiceKind::Streams => 18,
            ServiceKind::Calls => 4,
        }
    }

    /// Returns the responses per second of the stable and of the canary version, during the sample.
    fn rates(self) -> [f64; 2] {
        match self {
            ServiceKind::Streams => [80.0, 5.5],
            ServiceKind::Calls => [45.0, 3.0],
        }
    }

    /// Returns the routes, each with its share of the requests and the share of its requests that
    /// fails with either version.
    fn routes(self) -> &'static [(&'static str, f64, f64)] {
        match self {
            ServiceKind::Streams => &[("all", 0.2, 0.0), ("books", 0.5, 0.0), ("tags", 0.3, 0.0)],
            ServiceKind::Calls => &[("lend", 0.7, 0.004), ("return", 0.3, 0.14)],
        }
    }
}

/// How the responses of a version differ from those of the stable version.
#[derive(Clone, Copy, Debug)]
pub struct VersionBehavior {
    /// The kind of service that the version belongs to.
    pub service: ServiceKind,
    /// Share of the responses that are slow or fail.
    pub affected_share: f64,
    /// Factor by which the affected responses take longer; 0 if they fail.
    pub slowdown: f64,
    /// Whether only responses on the first route are affected.
    pub on_first_route: bool,
}

impl VersionBehavior {
    /// Returns a version that behaves like the stable one.
    pub fn healthy(service: ServiceKind) -> VersionBehavior {
        VersionBehavior { service, affected_share: 0.0, slowdown: 1.0, on_first_route: false }
    }

    /// Returns a version of an engine whose responses all take longer by the factor `slowdown`.
    pub fn slower(slowdown: f64) -> VersionBehavior {
        VersionBehavior {
            affected_share: 1.0,
            slowdown,
            ..VersionBehavior::healthy(ServiceKind::Streams)
        }
    }

    /// Returns a version of which a share of the responses fails.
    pub fn failing(service: ServiceKind, affected_share: f64) -> VersionBehavior {
        VersionBehavior { affected_share, slowdown: 0.0, ..VersionBehavior::healthy(service) }
    }

    /// Returns a version of which a share of the calls takes longer by the factor `slowdown`.
    pub fn with_slow_calls(affected_share: f64, slowdown: f64) -> VersionBehavior {
        VersionBehavior { affected_share, slowdown, ..VersionBehavior::healthy(ServiceKind::Calls) }
    }

    /// Restricts the affected responses to the first route.
    pub fn on_first_route(self) -> VersionBehavior {
        VersionBehavior { on_first_route: true, ..self }
    }
}

/// Conditions under which the roll-out runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// No disturbance.
    Undisturbed,
    /// Some endpoints of the canary version take four times as long: one in six for streams, one in
    /// four for calls.
    SlowEndpoints,
    /// Some endpoints of both versions fail 40 % of their requests: one in six for streams, one in
    /// four for calls.
    FailingEndpoints,
    /// The load of all endpoints is four times as high for six seconds.
    HighLoad,
    /// The rate of requests is a third of the usual one.
    FewRequests,
    /// The hosts restart one after another, throughout the roll-out.
    RestartingHosts,
    /// After the cutover, the canary endpoints take a third longer, because they process prompts
    /// that the stable endpoints have cached.
    ColdCaches,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 7] = [
        Scenario::Undisturbed,
        Scenario::SlowEndpoints,
        Scenario::FailingEndpoints,
        Scenario::HighLoad,
        Scenario::FewRequests,
        Scenario::RestartingHosts,
        Scenario::ColdCaches,
    ];
}

/// A simulated roll-out in a fleet.
pub struct RolloutSimulation {
    pub fleet: Fleet,
    rng: StdRng,
    scenario: Scenario,
    version: VersionBehavior,
    /// Number of responses of the canary version that the hosts have observed.
    pub canary_responses: usize,
}

impl RolloutSimulation {
    /// Starts a fleet, runs it until the hosts know each other, and orders the roll-out.
    pub fn new(seed: u64, scenario: Scenario, version: VersionBehavior) -> RolloutSimulation {
        let mut fleet = Fleet::start(HOSTS, seed);
        (0..HOSTS as usize).for_each(|i| add_endpoints(&mut fleet, i, version.service));
        let rng = StdRng::seed_from_u64(seed + 1);
        let mut simulation =
            RolloutSimulation { fleet, rng, scenario, version, canary_responses: 0 };
        // Without a roll-out order, the canary version gets no requests.
        while simulation.fleet.now < ROLLOUT_STARTS_AT {
            simulation.step(false);
        }
        simulation.fleet.set_rollout_order(rollout_order(1, None));
        simulation
    }

    /// Runs until all hosts have barred the canary version. Returns the number of its responses
    /// that they had observed by then, or `None` if it was not barred before the deadline.
    pub fn run_until_barred(&mut self) -> Option<usize> {
        let deadline = ROLLOUT_STARTS_AT + rollout_order(1, None).duration.0;
        while self.fleet.now < deadline {
            self.step(true);
            if self.fleet.hosts.iter().all(has_barred_version) {
                return Some(self.canary_responses);
            }
        }
        None
    }

    /// Runs to the deadline or until all hosts have barred the version. Reports whether the
    /// roll-out was completed.
    pub fn run_to_completion(&mut self) -> bool {
        let barred = self.run_until_barred();
        let progress = self.fleet.rollout.as_ref().and_then(|o| o.progress.as_ref());
        barred.is_none() && progress.is_some_and(|p| p.state == RolloutState::Completed)
    }

    /// Advances the fleet by one step and records the responses of that step.
    fn step(&mut self, with_canary: bool) {
        if self.scenario == Scenario::RestartingHosts
            && self.fleet.now.is_multiple_of(RESTART_INTERVAL)
        {
            let host = (self.fleet.now / RESTART_INTERVAL) as usize % HOSTS as usize;
            self.fleet.restart(host);
            add_endpoints(&mut self.fleet, host, self.version.service);
        }
        self.fleet.run(self.fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
        let [stable, canary] = self.version.service.rates();
        let [stable, canary] =
            if self.has_cut_over() { [0.0, stable + canary] } else { [stable, canary] };
        let [stable, canary] = [stable, canary].map(|rate| self.draw_response_count(rate));
        (0..stable).for_each(|_| self.record_response(false));
        if with_canary {
            (0..canary).for_each(|_| self.record_response(true));
            self.canary_responses += canary;
        }
    }

    /// Reports whether the cutover has happened, so that all requests go to the canary version.
    fn has_cut_over(&self) -> bool {
        let view = self.fleet.hosts[0].view.as_ref().expect("the host has a view");
        let canary = view.services.get(&id("llm")).and_then(|s| s.canary.as_ref());
        canary.is_some_and(|t| t.phase_at(Millis(self.fleet.now)) == Phase::Moved)
    }

    /// Draws the number of responses in one step, for a rate in responses per second.
    fn draw_response_count(&mut self, rate: f64) -> usize {
        let rate_divisor = if self.scenario == Scenario::FewRequests { 3.0 } else { 1.0 };
        let mean = rate / rate_divisor * CLOCK_STEP_MS as f64 / 1_000.0;
        let whole_responses = mean.floor();
        whole_responses as usize + usize::from(self.rng.random::<f64>() < mean - whole_responses)
    }

    /// Draws a number from an approximate normal distribution with mean 0 and standard deviation 1.
    fn draw_normal(&mut self) -> f64 {
        (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0
    }

    /// Draws a route, and whether the request fails regardless of the version.
    fn draw_route(&mut self) -> (&'static str, bool) {
        let routes = self.version.service.routes();
        let mut remaining = self.rng.random::<f64>();
        let selected = routes.iter().find(|(_, share, _)| {
            remaining -= share;
            remaining < 0.0
        });
        let (name, _, failure_rate) = selected.unwrap_or(&routes[0]);
        (name, self.rng.random::<f64>() < *failure_rate)
    }

    fn draw_load(&mut self, is_canary: bool) -> f64 {
        let is_sampling = is_canary && !self.has_cut_over();
        let typical_load: f64 = if is_sampling { 20.0 } else { 150.0 };
        let is_high_load =
            self.scenario == Scenario::HighLoad && HIGH_LOAD_TIME.contains(&self.fleet.now);
        typical_load * if is_high_load { 4.0 } else { 1.0 } * self.draw_normal().exp()
    }

    /// Returns the factor by which an endpoint takes longer because of the scenario.
    fn endpoint_slowdown(&self, endpoint_number: usize, is_canary: bool) -> f64 {
        let is_faulty = endpoint_number.is_multiple_of(self.faulty_endpoint_interval());
        match self.scenario {
            Scenario::SlowEndpoints if is_canary && is_faulty => 4.0,
            Scenario::ColdCaches if is_canary && self.has_cut_over() => 1.33,
            _ => 1.0,
        }
    }

    /// Returns n if every n-th endpoint is faulty, in the scenarios with faulty endpoints.
    fn faulty_endpoint_interval(&self) -> usize {
        match self.version.service {
            ServiceKind::Streams => 6,
            ServiceKind::Calls => 4,
        }
    }

    fn record_response(&mut self, is_canary: bool) {
        let endpoint_number = self.rng.random_range(1..=self.version.service.endpoint_count());
        let (route, mut failed) = self.draw_route();
        let load = self.draw_load(is_canary);
        let first_route = self.version.service.routes()[0].0;
        let is_affected = is_canary && (!self.version.on_first_route || route == first_route);
        let is_bad = is_affected && self.rng.random::<f64>() < self.version.affected_share;
        let is_faulty = self.scenario == Scenario::FailingEndpoints
            && endpoint_number.is_multiple_of(self.faulty_endpoint_interval());
        failed |= is_faulty && self.rng.random::<f64>() < 0.4;
        failed |= is_bad && self.version.slowdown == 0.0;
        let slowdown = if is_bad && !failed { self.version.slowdown } else { 1.0 };
        let slowdown = slowdown * self.endpoint_slowdown(endpoint_number, is_canary);
        let is_stream = self.version.service == ServiceKind::Streams;
        let (head_ms, gap_ms) = match is_stream {
            true => {
                let base_gap = if endpoint_number.is_multiple_of(3) { 26.0 } else { 20.0 };
                let noise = (0.15 * self.draw_normal()).exp();
                let gap = base_gap * slowdown * (1.0 + load / DOUBLING_LOAD) * noise;
                (gap * 4.0, Some(gap).filter(|_| !failed))
            }
            false => {
                let tail_factor = if self.rng.random::<f64>() < 0.01 { 5.0 } else { 1.0 };
                (20.0 * slowdown * tail_factor * (0.4 * self.draw_normal()).exp(), None)
            }
        };
        let prefix = if is_canary { 'n' } else { 'o' };
        let response = ObservedResponse {
            service: id("llm"),
            canary_version: is_canary.then(|| id("v2")),
            endpoint: id(&format!("{prefix}{endpoint_number}")),
            is_load_concentrated: false,
            route: id(route),
            model: None,
            outcome: if failed { AttemptOutcome::Failed } else { AttemptOutcome::Complete },
            has_failed_before: false,
            is_stream,
            load,
            head_ms: Some(head_ms),
            gap_ms,
        };
        let host = self.rng.random_range(0..HOSTS as usize);
        self.fleet.handle_input(host, Input::ResponseObserved(response));
    }
}

/// Adds endpoints of both versions to a host. The first two of each are known already.
fn add_endpoints(fleet: &mut Fleet, host: usize, service: ServiceKind) {
    for endpoint_number in 3..=service.endpoint_count() {
        fleet.handle_input(
            host,
            Input::Endpoint(endpoint_record(&format!("o{endpoint_number}"), "v1")),
        );
        fleet.handle_input(
            host,
            Input::Endpoint(endpoint_record(&format!("n{endpoint_number}"), "v2")),
        );
    }
}

/// Reports whether a host has barred the canary version.
fn has_barred_version(host: &FleetHost) -> bool {
    let view = host.view.as_ref().expect("the host has a view");
    view.services[&id("llm")].is_barred()
}
