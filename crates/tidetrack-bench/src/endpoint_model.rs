//! Simulates endpoints with batching, prefix caches, delayed load reports and degraded members, on
//! virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::sync::Arc;

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::placement::{
    request_work, ring_position_of, EndpointState, PlacementRequest, PoolEndpoint, PoolView,
};
use tidetrack_core::units::{Millis, Tokens};

/// Number of requests that an endpoint runs concurrently.
const SLOTS: usize = 8;

/// Time to generate one response token, in microseconds.
const TOKEN_US: u64 = 20_000;

/// Time to process one uncached prompt token, in microseconds.
const PREFILL_US: u64 = 60;

/// Divisor of the prefill time for a prompt whose prefix is cached.
const CACHED_PREFILL_DIVISOR: u64 = 10;

/// Number of prefixes in an endpoint's least-recently-used cache.
const CACHE_CAPACITY: usize = 24;

/// Factor by which a degraded endpoint is slower.
const SLOWDOWN_FACTOR: u64 = 4;

/// Interval between load reports and their age when they are read, in microseconds.
const REPORT_INTERVAL_AND_AGE_US: (u64, u64) = (1_000_000, 500_000);

/// Strategy that selects an endpoint for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementStrategy {
    /// Placement of the router, with early refusals.
    Tidetrack,
    /// Placement of the router, without early refusals.
    Unbounded,
    /// Round-robin over the endpoints, with a separate position per host.
    RoundRobin,
    /// Endpoint with the least work in the last load report.
    LeastReported,
    /// The less loaded of two random endpoints, by the last load report.
    RandomOfTwo,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of router hosts.
    pub hosts: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Whether half of the endpoints are degraded.
    pub has_degraded_endpoints: bool,
    /// Arrival rate as a multiple of the capacity of the endpoints.
    pub load: f64,
    /// Total number of requests.
    pub requests: usize,
    /// Deadline for the first token, in milliseconds after arrival.
    pub deadline_ms: u64,
    /// Endpoint selection strategy.
    pub strategy: PlacementStrategy,
}

/// Results of a simulation.
#[derive(Clone, Debug)]
pub struct SimulationOutcome {
    /// Times from arrival to the first token, in milliseconds.
    pub first_token_ms: Histogram<u64>,
    /// Responses whose first token met the deadline, per second of arrivals.
    pub goodput: f64,
    /// Requests refused before execution.
    pub refused_requests: usize,
    /// Responses whose first token missed the deadline.
    pub late_responses: usize,
}

struct Request {
    host: usize,
    arrived_us: u64,
    prefix: usize,
    prompt_tokens: u64,
    response_tokens: u64,
}

#[derive(Default)]
struct Endpoint {
    slowdown: u64,
    running: usize,
    waiting_requests: VecDeque<usize>,
    cache: VecDeque<usize>,
    outstanding_work: u64,
    work_history: VecDeque<(u64, u64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Completion(usize, usize),
    Report,
}

struct Host {
    pool: PoolView,
    reported: Vec<u64>,
    next_endpoint: usize,
}

fn build_hosts(config: &SimulationConfig) -> Vec<Host> {
    let endpoint = |i| PoolEndpoint {
        id: format!("e{i}").parse().expect("the endpoint name parses"),
        address: String::new(),
        failure_domain: "d".parse().expect("the failure domain name parses"),
        state: Arc::new(EndpointState::default()),
    };
    let slots = if config.strategy == PlacementStrategy::Unbounded { 0 } else { SLOTS as u32 };
    let host = |h| Host {
        pool: PoolView::new((0..config.endpoints).map(endpoint).collect(), slots),
        reported: vec![0; config.endpoints],
        next_endpoint: h,
    };
    (0..config.hosts).map(host).collect()
}

fn generate_requests(config: &SimulationConfig, rng: &mut StdRng) -> Vec<Request> {
    // Mean request: 1,000 prompt tokens, half of them cached (0.1 of the prefill time), and 60
    // response tokens.
    let speed: f64 = (0..config.endpoints)
        .map(|i| {
            if config.has_degraded_endpoints && i % 2 == 0 {
                1.0 / SLOWDOWN_FACTOR as f64
            } else {
                1.0
            }
        })
        .sum();
    let mean_us = 1_000.0 * 0.55 * PREFILL_US as f64 + 60.0 * TOKEN_US as f64;
    let rate = speed * SLOTS as f64 * 1e6 / mean_us * config.load;
    let mut now = 0.0;
    let request = |_| {
        now += -(1.0 - rng.random::<f64>()).ln() / rate * 1e6;
        // A few prefixes are frequent; one request in ten carries a long conversation history.
        let prefix = (200.0 * rng.random::<f64>().powi(3)) as usize;
        let is_long = rng.random_range(0..10) == 0;
        Request {
            host: rng.random_range(0..config.hosts),
            arrived_us: now as u64,
            prefix,
            prompt_tokens: if is_long { 6_000 } else { 440 },
            response_tokens: if is_long { 150 } else { 50 },
        }
    };
    (0..config.requests).map(request).collect()
}

/// State of one simulation.
struct Simulation<'a> {
    config: &'a SimulationConfig,
    hosts: Vec<Host>,
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    event_queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_sequence: u64,
    rng: StdRng,
    outcome: SimulationOutcome,
    responses_in_time: usize,
    last_event_us: u64,
}

/// Runs a simulation and returns its results.
pub fn simulate(config: &SimulationConfig) -> SimulationOutcome {
    let mut rng = StdRng::seed_from_u64(config.seed);
    let requests = generate_requests(config, &mut rng);
    let endpoint = |i| Endpoint {
        slowdown: if config.has_degraded_endpoints && i % 2 == 0 { SLOWDOWN_FACTOR } else { 1 },
        ..Endpoint::default()
    };
    let first_token_ms =
        Histogram::new_with_bounds(1, 10_000_000, 3).expect("the histogram bounds are valid");
    let mut simulation = Simulation {
        config,
        hosts: build_hosts(config),
        endpoints: (0..config.endpoints).map(endpoint).collect(),
        requests,
        event_queue: BinaryHeap::new(),
        next_sequence: 0,
        rng,
        outcome: SimulationOutcome {
            first_token_ms,
            goodput: 0.0,
            refused_requests: 0,
            late_responses: 0,
        },
        responses_in_time: 0,
        last_event_us: 1,
    };
    for i in 0..simulation.requests.len() {
        let at = simulation.requests[i].arrived_us;
        simulation.schedule(at, Event::Arrival(i));
    }
    simulation.schedule(0, Event::Report);
    simulation.run_events();
    let arrivals_us = simulation.requests.last().map_or(1, |r| r.arrived_us);
    simulation.outcome.goodput = simulation.responses_in_time as f64 / (arrivals_us as f64 / 1e6);
    simulation.outcome
}

impl Simulation<'_> {
    fn schedule(&mut self, at: u64, event: Event) {
        self.next_sequence += 1;
        self.event_queue.push(Reverse((at, self.next_sequence, event)));
    }

    fn run_events(&mut self) {
        let mut unfinished_requests = self.requests.len();
        while let Some(Reverse((now, _, event))) = self.event_queue.pop() {
            match event {
                Event::Arrival(r) => {
                    unfinished_requests -= usize::from(!self.handle_arrival(now, r))
                }
                Event::Completion(e, r) => {
                    self.handle_completion(now, e, r);
                    unfinished_requests -= 1;
                }
                Event::Report => {
                    self.update_reports(now);
                    if unfinished_requests > 0 {
                        self.schedule(now + REPORT_INTERVAL_AND_AGE_US.0, Event::Report);
                    }
                }
            }
            self.last_event_us = now;
        }
    }

    /// Sends a request to an endpoint, or counts it as refused. Reports whether it was accepted.
    fn handle_arrival(&mut self, now: u64, r: usize) -> bool {
        let Some(e) = self.place(now, r) else {
            self.outcome.refused_requests += 1;
            return false;
        };
        let request = &self.requests[r];
        let work = request_work(Tokens(request.prompt_tokens), Tokens(request.response_tokens));
        self.hosts[request.host].pool.endpoints()[e].state.begin_work(work);
        self.endpoints[e].outstanding_work += work;
        if self.endpoints[e].running < SLOTS {
            self.start(now, e, r);
        } else {
            self.endpoints[e].waiting_requests.push_back(r);
        }
        true
    }

    fn place(&mut self, now: u64, r: usize) -> Option<usize> {
        let request = &self.requests[r];
        let host = &mut self.hosts[request.host];
        let endpoint_count = self.config.endpoints;
        match self.config.strategy {
            PlacementStrategy::Tidetrack | PlacementStrategy::Unbounded => {
                let placement_request = PlacementRequest {
                    ring_position: ring_position_of(&request.prefix.to_le_bytes()),
                    salt: self.rng.random(),
                    required_tokens: Tokens(request.prompt_tokens + request.response_tokens),
                    tried: &[],
                    priority: 0,
                    ..PlacementRequest::default()
                };
                let selected =
                    host.pool.pick(Millis(now / 1_000 + 1_000_000), &placement_request).ok()?;
                selected.id.as_str()[1..].parse().ok()
            }
            PlacementStrategy::RoundRobin => {
                host.next_endpoint = (host.next_endpoint + 1) % endpoint_count;
                Some(host.next_endpoint)
            }
            PlacementStrategy::LeastReported => {
                (0..endpoint_count).min_by_key(|e| host.reported[*e])
            }
            PlacementStrategy::RandomOfTwo => {
                let (a, b) = (
                    self.rng.random_range(0..endpoint_count),
                    self.rng.random_range(0..endpoint_count),
                );
                Some(if host.reported[a] <= host.reported[b] { a } else { b })
            }
        }
    }

    fn start(&mut self, now: u64, e: usize, r: usize) {
        let request = &self.requests[r];
        let endpoint = &mut self.endpoints[e];
        endpoint.running += 1;
        let cached_position = endpoint.cache.iter().position(|p| *p == request.prefix);
        if let Some(at) = cached_position {
            endpoint.cache.remove(at);
        }
        endpoint.cache.push_back(request.prefix);
        if endpoint.cache.len() > CACHE_CAPACITY {
            endpoint.cache.pop_front();
        }
        let prefill = request.prompt_tokens * PREFILL_US
            / if cached_position.is_some() { CACHED_PREFILL_DIVISOR } else { 1 };
        let first_token_at = now + (prefill + TOKEN_US) * endpoint.slowdown;
        let completed_at = first_token_at + request.response_tokens * TOKEN_US * endpoint.slowdown;
        let elapsed_ms = (first_token_at - request.arrived_us) / 1_000;
        self.outcome.first_token_ms.saturating_record(elapsed_ms);
        match elapsed_ms <= self.config.deadline_ms {
            true => self.responses_in_time += 1,
            false => self.outcome.late_responses += 1,
        }
        self.schedule(completed_at, Event::Completion(e, r));
    }

    fn handle_completion(&mut self, now: u64, e: usize, r: usize) {
        let request = &self.requests[r];
        let work = request_work(Tokens(request.prompt_tokens), Tokens(request.response_tokens));
        let endpoint = &mut self.endpoints[e];
        endpoint.running -= 1;
        endpoint.outstanding_work -= work;
        let total = endpoint.outstanding_work;
        let endpoint_state = &self.hosts[request.host].pool.endpoints()[e].state;
        endpoint_state.end_work(work);
        endpoint_state.record_duration(work, now - request.arrived_us);
        // Each response reports the load of its endpoint at the time the response ends.
        endpoint_state.record_load_report(Millis(now / 1_000 + 1_000_000), total, Tokens(0));
        if let Some(next) = self.endpoints[e].waiting_requests.pop_front() {
            self.start(now, e, next);
        }
    }

    /// Gives every host the load of the endpoints as of the age of a load report.
    fn update_reports(&mut self, now: u64) {
        for e in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[e];
            endpoint.work_history.push_back((now, endpoint.outstanding_work));
            while endpoint.work_history.len() > 1
                && endpoint.work_history[1].0 + REPORT_INTERVAL_AND_AGE_US.1 <= now
            {
                endpoint.work_history.pop_front();
            }
            let outstanding_work = endpoint.work_history.front().map_or(0, |h| h.1);
            for host in &mut self.hosts {
                host.reported[e] = outstanding_work;
            }
        }
    }
}
