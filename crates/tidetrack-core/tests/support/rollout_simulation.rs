//! Answers of two versions' endpoints as the hosts of a fleet see them, drawn by a seed.
//!
//! An engine makes an event each 20 ms, one in three each 26 ms, and slower the more it has to do: twice as
//! slow at a load of 250. That is how engines answered in plays of a bad roll-out whose every attempt was
//! logged: a median of 25 ms at a load below 50, 30, 38, 47 and 60 at 100, 200, 400 and 800. Most sampled
//! sessions meet idle endpoints, while the proven ones are at work. A plain call takes 20 ms, one in a hundred
//! five times as long; of one of its routes one call in seven fails on any version.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::traffic::canary::{Phase, RolloutState};
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::judge::{AttemptOutcome, ObservedResponse};
use tidetrack_core::units::Millis;

use super::fleet::{Fleet, FleetHost, STEP};
use super::{id, order, record};

/// Hosts of the fleet.
const HOSTS: u32 = 9;

/// When the version is ordered; the hosts have met by then.
const ROLLOUT_STARTS_AT: u64 = 4_000;

/// Load at which an engine is twice as slow as at rest.
const DOUBLING_LOAD: f64 = 250.0;

/// Time between two restarts of hosts, on days on which they restart.
const RESTART_INTERVAL: u64 = 600;

/// The time in which a day is busy.
const HIGH_LOAD_TIME: std::ops::Range<u64> = 10_000..16_000;

/// What a service does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Streams of an engine.
    Streams,
    /// Plain calls.
    Calls,
}

impl ServiceKind {
    fn endpoint_count(self) -> usize {
        match self {
            ServiceKind::Streams => 18,
            ServiceKind::Calls => 4,
        }
    }

    /// Gets the answers in a second of the proven versions and of the new one.
    fn rates(self) -> [f64; 2] {
        match self {
            ServiceKind::Streams => [80.0, 5.5],
            ServiceKind::Calls => [45.0, 3.0],
        }
    }

    /// Lists the routes, with their shares of the requests and the shares that always fail.
    fn routes(self) -> &'static [(&'static str, f64, f64)] {
        match self {
            ServiceKind::Streams => &[("all", 0.2, 0.0), ("books", 0.5, 0.0), ("tags", 0.3, 0.0)],
            ServiceKind::Calls => &[("lend", 0.7, 0.004), ("return", 0.3, 0.14)],
        }
    }
}

/// How a version does.
#[derive(Clone, Copy, Debug)]
pub struct VersionBehavior {
    /// What the service does.
    pub service: ServiceKind,
    /// The share of the answers that is bad.
    pub affected_share: f64,
    /// These take so many times as long; 0 if they fail.
    pub slowdown: f64,
    /// Only those of the first route.
    pub on_first_route: bool,
}

impl VersionBehavior {
    /// A version like the proven one.
    pub fn healthy(service: ServiceKind) -> VersionBehavior {
        VersionBehavior { service, affected_share: 0.0, slowdown: 1.0, on_first_route: false }
    }

    /// A version of an engine all of whose answers take so many times as long.
    pub fn slower(slowdown: f64) -> VersionBehavior {
        VersionBehavior {
            affected_share: 1.0,
            slowdown,
            ..VersionBehavior::healthy(ServiceKind::Streams)
        }
    }

    /// A version a share of whose answers fails.
    pub fn failing(service: ServiceKind, affected_share: f64) -> VersionBehavior {
        VersionBehavior { affected_share, slowdown: 0.0, ..VersionBehavior::healthy(service) }
    }

    /// A version a share of whose calls takes so many times as long.
    pub fn with_slow_calls(affected_share: f64, slowdown: f64) -> VersionBehavior {
        VersionBehavior { affected_share, slowdown, ..VersionBehavior::healthy(ServiceKind::Calls) }
    }

    /// The same, on the first route only.
    pub fn on_first_route(self) -> VersionBehavior {
        VersionBehavior { on_first_route: true, ..self }
    }
}

/// What else happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    Undisturbed,
    /// One in six endpoints of the new version is four times as slow, of calls one in four.
    SlowEndpoints,
    /// One in six endpoints of both versions fails four in ten, of calls one in four.
    FailingEndpoints,
    /// The load of all endpoints is four times as high for six seconds.
    HighLoad,
    /// A third of the requests.
    FewRequests,
    /// The hosts start again one after another, all the time.
    RestartingHosts,
    /// When all traffic has moved, the new endpoints are a third slower: they read prompts that the proven
    /// ones keep.
    ColdCaches,
}

impl Scenario {
    /// All of them.
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

/// A roll-out under way.
pub struct RolloutSimulation {
    pub fleet: Fleet,
    rng: StdRng,
    scenario: Scenario,
    version: VersionBehavior,
    /// Answers of the new version that hosts saw.
    pub canary_responses: usize,
}

impl RolloutSimulation {
    /// Starts a fleet and orders the version.
    pub fn new(seed: u64, scenario: Scenario, version: VersionBehavior) -> RolloutSimulation {
        let mut fleet = Fleet::start(HOSTS, seed);
        (0..HOSTS as usize).for_each(|i| add_endpoints(&mut fleet, i, version.service));
        let rng = StdRng::seed_from_u64(seed + 1);
        let mut simulation =
            RolloutSimulation { fleet, rng, scenario, version, canary_responses: 0 };
        // A version that is not ordered yet is not sent to.
        while simulation.fleet.now < ROLLOUT_STARTS_AT {
            simulation.step(false);
        }
        simulation.fleet.set_rollout_order(order(1, None));
        simulation
    }

    /// Plays until all hosts hold the version bad; gets the answers of its that they had seen by then, or
    /// `None` if it was never barred.
    pub fn run_until_barred(&mut self) -> Option<usize> {
        let deadline = ROLLOUT_STARTS_AT + order(1, None).duration.0;
        while self.fleet.now < deadline {
            self.step(true);
            if self.fleet.hosts.iter().all(has_barred_version) {
                return Some(self.canary_responses);
            }
        }
        None
    }

    /// Plays to the deadline; tells whether the version was completed.
    pub fn run_to_completion(&mut self) -> bool {
        let barred = self.run_until_barred();
        let progress = self.fleet.rollout.as_ref().and_then(|o| o.progress.as_ref());
        barred.is_none() && progress.is_some_and(|p| p.state == RolloutState::Completed)
    }

    /// Lets a step pass, with the answers that come in it.
    fn step(&mut self, with_canary: bool) {
        if self.scenario == Scenario::RestartingHosts
            && self.fleet.now.is_multiple_of(RESTART_INTERVAL)
        {
            let host = (self.fleet.now / RESTART_INTERVAL) as usize % HOSTS as usize;
            self.fleet.restart(host);
            add_endpoints(&mut self.fleet, host, self.version.service);
        }
        self.fleet.run(self.fleet.now + STEP as u64, |_, _| {});
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

    /// Tells whether all traffic meets the new version.
    fn has_cut_over(&self) -> bool {
        let view = self.fleet.hosts[0].view.as_ref().expect("a view");
        let canary = view.services.get(&id("llm")).and_then(|s| s.canary.as_ref());
        canary.is_some_and(|t| t.phase_at(Millis(self.fleet.now)) == Phase::Moved)
    }

    /// Draws how many answers of a rate come in one step.
    fn draw_response_count(&mut self, rate: f64) -> usize {
        let rate_divisor = if self.scenario == Scenario::FewRequests { 3.0 } else { 1.0 };
        let mean = rate / rate_divisor * STEP as f64 / 1_000.0;
        let whole_responses = mean.floor();
        whole_responses as usize + usize::from(self.rng.random::<f64>() < mean - whole_responses)
    }

    /// Draws around zero, about as a normal distribution of deviation 1.
    fn draw_normal(&mut self) -> f64 {
        (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0
    }

    /// Draws a route, and whether a request there fails on any version.
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
        let has_sample = is_canary && !self.has_cut_over();
        let typical_load: f64 = if has_sample { 20.0 } else { 150.0 };
        let is_high_load =
            self.scenario == Scenario::HighLoad && HIGH_LOAD_TIME.contains(&self.fleet.now);
        typical_load * if is_high_load { 4.0 } else { 1.0 } * self.draw_normal().exp()
    }

    /// Gets how many times as slow an endpoint is for reasons of its own.
    fn endpoint_slowdown(&self, n: usize, is_canary: bool) -> f64 {
        let is_faulty = n.is_multiple_of(self.faulty_endpoint_interval());
        match self.scenario {
            Scenario::SlowEndpoints if is_canary && is_faulty => 4.0,
            Scenario::ColdCaches if is_canary && self.has_cut_over() => 1.33,
            _ => 1.0,
        }
    }

    /// Gets of how many endpoints one does badly on days on which some do.
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

/// Tells a host of the endpoints of both versions.
fn add_endpoints(fleet: &mut Fleet, host: usize, service: ServiceKind) {
    for endpoint_number in 3..=service.endpoint_count() {
        fleet.handle_input(host, Input::Endpoint(record(&format!("o{endpoint_number}"), "v1")));
        fleet.handle_input(host, Input::Endpoint(record(&format!("n{endpoint_number}"), "v2")));
    }
}

/// Tells whether a host holds the version bad.
fn has_barred_version(host: &FleetHost) -> bool {
    let view = host.view.as_ref().expect("a view");
    view.services[&id("llm")].is_barred()
}
