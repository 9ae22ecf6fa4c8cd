//! Modelled endpoints on virtual time: batching, prefix caches, reports that lag, some degraded.

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

/// Slots of an endpoint.
const SLOTS: usize = 8;

/// Microseconds of one answer token.
const TOKEN_US: u64 = 20_000;

/// Microseconds of one prompt token that is not cached.
const PREFILL_US: u64 = 60;

/// A cached prompt costs one part in so many.
const CACHED_PART: u64 = 10;

/// Prefixes that an endpoint's cache holds.
const CACHE: usize = 24;

/// A degraded endpoint is slower by this factor.
const SLOW: u64 = 4;

/// Reports are read this often and are so old by then, in microseconds.
const REPORT_US: (u64, u64) = (1_000_000, 500_000);

/// How a request is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placer {
    /// The router's own.
    Tidetrack,
    /// The router's own, without early refusals.
    Unbounded,
    /// Each host in turn.
    RoundRobin,
    /// The least loaded by the last report.
    LeastReported,
    /// The better of two drawn, by the last report.
    RandomOfTwo,
}

/// How a run is made.
#[derive(Clone, Debug)]
pub struct Run {
    /// The seed.
    pub seed: u64,
    /// Entry hosts.
    pub hosts: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Whether half of them are degraded.
    pub degraded: bool,
    /// Requests a second over what the endpoints can do in a second.
    pub load: f64,
    /// Requests.
    pub requests: usize,
    /// A first token after so many milliseconds is too late.
    pub deadline_ms: u64,
    /// How requests are placed.
    pub placer: Placer,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Milliseconds to the first token.
    pub first_ms: Histogram<u64>,
    /// Answers in time, a second.
    pub goodput: f64,
    /// Requests refused before anything ran.
    pub refused: usize,
    /// Answers that came too late.
    pub late: usize,
}

struct Request {
    host: usize,
    came_us: u64,
    prefix: usize,
    prompt: u64,
    answer: u64,
}

#[derive(Default)]
struct Endpoint {
    slow: u64,
    running: usize,
    queue: VecDeque<usize>,
    cache: VecDeque<usize>,
    work: u64,
    history: VecDeque<(u64, u64)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(usize, usize),
    Report,
}

struct Host {
    pool: PoolView,
    reported: Vec<u64>,
    turn: usize,
}

fn hosts_of(run: &Run) -> Vec<Host> {
    let endpoint = |i| PoolEndpoint {
        id: format!("e{i}").parse().expect("an endpoint"),
        address: String::new(),
        failure_domain: "d".parse().expect("a failure domain"),
        state: Arc::new(EndpointState::default()),
    };
    let slots = if run.placer == Placer::Unbounded { 0 } else { SLOTS as u32 };
    let host = |h| Host {
        pool: PoolView::new((0..run.endpoints).map(endpoint).collect(), slots),
        reported: vec![0; run.endpoints],
        turn: h,
    };
    (0..run.hosts).map(host).collect()
}

fn requests_of(run: &Run, rng: &mut StdRng) -> Vec<Request> {
    // A mean request: 1,000 prompt tokens half of them cached, 60 answer tokens.
    let speed: f64 = (0..run.endpoints)
        .map(|i| if run.degraded && i % 2 == 0 { 1.0 / SLOW as f64 } else { 1.0 })
        .sum();
    let mean_us = 1_000.0 * 0.55 * PREFILL_US as f64 + 60.0 * TOKEN_US as f64;
    let rate = speed * SLOTS as f64 * 1e6 / mean_us * run.load;
    let mut now = 0.0;
    let request = |_| {
        now += -(1.0 - rng.random::<f64>()).ln() / rate * 1e6;
        // Few prefixes are met often; one request in ten is a long history.
        let prefix = (200.0 * rng.random::<f64>().powi(3)) as usize;
        let long = rng.random_range(0..10) == 0;
        Request {
            host: rng.random_range(0..run.hosts),
            came_us: now as u64,
            prefix,
            prompt: if long { 6_000 } else { 440 },
            answer: if long { 150 } else { 50 },
        }
    };
    (0..run.requests).map(request).collect()
}

/// The world of one run.
struct World<'a> {
    run: &'a Run,
    hosts: Vec<Host>,
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    rng: StdRng,
    outcome: Outcome,
    in_time: usize,
    ended_us: u64,
}

/// Carries a run out.
pub fn simulate(run: &Run) -> Outcome {
    let mut rng = StdRng::seed_from_u64(run.seed);
    let requests = requests_of(run, &mut rng);
    let endpoint = |i| Endpoint {
        slow: if run.degraded && i % 2 == 0 { SLOW } else { 1 },
        ..Endpoint::default()
    };
    let first_ms = Histogram::new_with_bounds(1, 10_000_000, 3).expect("the bounds are in order");
    let mut world = World {
        run,
        hosts: hosts_of(run),
        endpoints: (0..run.endpoints).map(endpoint).collect(),
        requests,
        queue: BinaryHeap::new(),
        order: 0,
        rng,
        outcome: Outcome { first_ms, goodput: 0.0, refused: 0, late: 0 },
        in_time: 0,
        ended_us: 1,
    };
    for i in 0..world.requests.len() {
        let at = world.requests[i].came_us;
        world.push(at, Event::Arrive(i));
    }
    world.push(0, Event::Report);
    world.go();
    let arrivals_us = world.requests.last().map_or(1, |r| r.came_us);
    world.outcome.goodput = world.in_time as f64 / (arrivals_us as f64 / 1e6);
    world.outcome
}

impl World<'_> {
    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, event)));
    }

    fn go(&mut self) {
        let mut left = self.requests.len();
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            match event {
                Event::Arrive(r) => left -= usize::from(!self.arrive(now, r)),
                Event::End(e, r) => {
                    self.end(now, e, r);
                    left -= 1;
                }
                Event::Report => {
                    self.report(now);
                    if left > 0 {
                        self.push(now + REPORT_US.0, Event::Report);
                    }
                }
            }
            self.ended_us = now;
        }
    }

    /// Places a request; tells whether it was taken.
    fn arrive(&mut self, now: u64, r: usize) -> bool {
        let Some(e) = self.place(now, r) else {
            self.outcome.refused += 1;
            return false;
        };
        let request = &self.requests[r];
        let work = request_work(Tokens(request.prompt), Tokens(request.answer));
        self.hosts[request.host].pool.endpoints()[e].state.begin_work(work);
        self.endpoints[e].work += work;
        if self.endpoints[e].running < SLOTS {
            self.start(now, e, r);
        } else {
            self.endpoints[e].queue.push_back(r);
        }
        true
    }

    fn place(&mut self, now: u64, r: usize) -> Option<usize> {
        let request = &self.requests[r];
        let host = &mut self.hosts[request.host];
        let count = self.run.endpoints;
        match self.run.placer {
            Placer::Tidetrack | Placer::Unbounded => {
                let ask = PlacementRequest {
                    ring_position: ring_position_of(&request.prefix.to_le_bytes()),
                    salt: self.rng.random(),
                    required_tokens: Tokens(request.prompt + request.answer),
                    tried: &[],
                    priority: 0,
                    ..PlacementRequest::default()
                };
                let picked = host.pool.pick(Millis(now / 1_000 + 1_000_000), &ask).ok()?;
                picked.id.as_str()[1..].parse().ok()
            }
            Placer::RoundRobin => {
                host.turn = (host.turn + 1) % count;
                Some(host.turn)
            }
            Placer::LeastReported => (0..count).min_by_key(|e| host.reported[*e]),
            Placer::RandomOfTwo => {
                let (a, b) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
                Some(if host.reported[a] <= host.reported[b] { a } else { b })
            }
        }
    }

    fn start(&mut self, now: u64, e: usize, r: usize) {
        let request = &self.requests[r];
        let endpoint = &mut self.endpoints[e];
        endpoint.running += 1;
        let hit = endpoint.cache.iter().position(|p| *p == request.prefix);
        if let Some(at) = hit {
            endpoint.cache.remove(at);
        }
        endpoint.cache.push_back(request.prefix);
        if endpoint.cache.len() > CACHE {
            endpoint.cache.pop_front();
        }
        let prefill = request.prompt * PREFILL_US / if hit.is_some() { CACHED_PART } else { 1 };
        let first = now + (prefill + TOKEN_US) * endpoint.slow;
        let end = first + request.answer * TOKEN_US * endpoint.slow;
        let ms = (first - request.came_us) / 1_000;
        self.outcome.first_ms.saturating_record(ms);
        match ms <= self.run.deadline_ms {
            true => self.in_time += 1,
            false => self.outcome.late += 1,
        }
        self.push(end, Event::End(e, r));
    }

    fn end(&mut self, now: u64, e: usize, r: usize) {
        let request = &self.requests[r];
        let work = request_work(Tokens(request.prompt), Tokens(request.answer));
        let endpoint = &mut self.endpoints[e];
        endpoint.running -= 1;
        endpoint.work -= work;
        let total = endpoint.work;
        let live = &self.hosts[request.host].pool.endpoints()[e].state;
        live.end_work(work);
        live.record_duration(work, now - request.came_us);
        // An answer carries the load as it is when the answer ends.
        live.record_load_report(Millis(now / 1_000 + 1_000_000), total, Tokens(0));
        if let Some(next) = self.endpoints[e].queue.pop_front() {
            self.start(now, e, next);
        }
    }

    /// Every host reads what the endpoints' load was a while ago.
    fn report(&mut self, now: u64) {
        for e in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[e];
            endpoint.history.push_back((now, endpoint.work));
            while endpoint.history.len() > 1 && endpoint.history[1].0 + REPORT_US.1 <= now {
                endpoint.history.pop_front();
            }
            let work = endpoint.history.front().map_or(0, |h| h.1);
            for host in &mut self.hosts {
                host.reported[e] = work;
            }
        }
    }
}
