//! A plain service whose endpoints refuse requests when full, with callers that return when they are
//! told to, on hosts that hear each other late.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::ids::{EndpointId, ServiceId};
use tidetrack_core::traffic::fair_share::{sum_reports, FairShares, UsageReport, WorkspaceKey};
use tidetrack_core::traffic::overload::{Admission, Arrival, Overload};
use tidetrack_core::traffic::places::{FreePlaces, Places};
use tidetrack_core::units::Millis;

use super::id;

pub const RANKS: u8 = 3;
const SLOTS: usize = 6;
const HOLD_MS: u64 = 60;
const LINK_MS: u64 = 1;
const MAX_ATTEMPTS: u32 = 3;
const MAX_WAIT_MS: u64 = 100;
const REQUEST_WORK: f64 = 400.0;
const GOSSIP_INTERVAL_MS: u64 = 250;
const GOSSIP_FANOUT: usize = 8;
const GOSSIP_LOSS: f64 = 0.05;
/// Retry delay of hosts without load control.
const FIXED_RETRY_MS: u64 = 300;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub hosts: usize,
    pub endpoints: usize,
    pub workspaces: usize,
    pub has_load_control: bool,
    /// Requested work as a fraction of the capacity, without the first workspace's surge.
    pub usual: f64,
    pub surge: f64,
    /// Multiple of its usual requests that the first workspace sends during the surge.
    pub hot_factor: f64,
    pub surge_from: u64,
    pub surge_until: u64,
    pub until: u64,
    /// When half of the hosts stop hearing the others.
    pub hosts_deaf_from: Option<u64>,
    /// When half of the endpoints vanish.
    pub endpoints_lost_from: Option<u64>,
    pub seed: u64,
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests and served requests that first arrived in the surge, by rank.
    pub by_rank: BTreeMap<u8, (u32, u32)>,
    /// The same for the first workspace, and for the others.
    pub hot: (u32, u32),
    pub others: (u32, u32),
    /// Times at which load control rejected requests.
    pub refused_at: Vec<u64>,
    /// Times of all rejections.
    pub rejected_at: Vec<u64>,
    /// Times at which rejected callers returned.
    pub returned_at: Vec<u64>,
    /// Attempts that endpoints refused.
    pub refused_attempts: u32,
    pub attempts: u32,
}

impl Outcome {
    pub fn served(&self, rank: u8) -> f64 {
        rate(self.by_rank[&rank])
    }

    pub fn refused_between(&self, from: u64, until: u64) -> usize {
        self.refused_at.iter().filter(|at| (from..until).contains(at)).count()
    }

    /// Returns the largest number of returns within any tenth of a second of a period.
    pub fn largest_return_peak(&self, from: u64, until: u64) -> usize {
        let mut peaks: HashMap<u64, usize> = HashMap::new();
        for at in self.returned_at.iter().filter(|at| (from..until).contains(at)) {
            *peaks.entry(at / 100).or_default() += 1;
        }
        peaks.into_values().max().unwrap_or(0)
    }
}

pub fn rate((all, served): (u32, u32)) -> f64 {
    f64::from(served) / f64::from(all.max(1))
}

impl Scenario {
    pub fn new(hosts: usize) -> Scenario {
        Scenario {
            hosts,
            endpoints: (hosts / 12).max(6),
            workspaces: 20,
            has_load_control: true,
            usual: 0.6,
            surge: 2.0,
            hot_factor: 1.0,
            surge_from: 3_000,
            surge_until: 13_000,
            until: 17_000,
            hosts_deaf_from: None,
            endpoints_lost_from: None,
            seed: 7,
        }
    }

    /// Returns the number of requests per millisecond that all endpoints can serve.
    pub fn capacity_per_ms(&self) -> f64 {
        (self.endpoints * SLOTS) as f64 / HOLD_MS as f64
    }
}

#[derive(Clone, Debug)]
struct Request {
    rank: u8,
    workspace: usize,
    deadline: u64,
    is_counted: bool,
}

#[derive(Clone, Debug)]
struct Attempt {
    host: usize,
    request: Request,
    tried: Vec<usize>,
    wait_until: u64,
}

#[derive(Clone, Debug)]
enum Step {
    NextCaller,
    Arrive(usize, Request),
    Choose(Attempt),
    AtEndpoint(Attempt, usize),
    Refused(Attempt, usize),
    Ended(Attempt, usize),
    PlaceFree(usize),
    Gossip,
}

struct Host {
    overload: Overload,
    places: Places,
    shares: FairShares,
    heard: HashMap<usize, (u64, Vec<UsageReport>)>,
}

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    steps: HashMap<u64, Step>,
    next_step: u64,
    hosts: Vec<Host>,
    running: Vec<usize>,
    endpoint_ids: Vec<EndpointId>,
    service: ServiceId,
    workspaces: Vec<WorkspaceKey>,
    round: usize,
    outcome: Outcome,
}

pub fn simulate(scenario: &Scenario) -> Outcome {
    let host = || Host {
        overload: Overload::default(),
        places: Places::default(),
        shares: FairShares::default(),
        heard: HashMap::new(),
    };
    let workspace = |i| format!("{i:08x}").parse().expect("the workspace key parses");
    let mut simulation = Simulation {
        rng: StdRng::seed_from_u64(scenario.seed),
        now: 0,
        queue: BinaryHeap::new(),
        steps: HashMap::new(),
        next_step: 0,
        hosts: (0..scenario.hosts).map(|_| host()).collect(),
        running: vec![0; scenario.endpoints],
        endpoint_ids: (0..scenario.endpoints).map(|i| id(&format!("i-{i:04}"))).collect(),
        service: id("plain"),
        workspaces: (1..=scenario.workspaces).map(workspace).collect(),
        round: 0,
        outcome: Outcome::default(),
        scenario: scenario.clone(),
    };
    simulation.push(0, Step::NextCaller);
    simulation.push(GOSSIP_INTERVAL_MS, Step::Gossip);
    while let Some(Reverse((at, number))) = simulation.queue.pop() {
        simulation.now = at;
        let step = simulation.steps.remove(&number).expect("each entry has a step");
        simulation.run(step);
    }
    simulation.outcome
}

impl Simulation {
    fn push(&mut self, at: u64, step: Step) {
        self.next_step += 1;
        self.queue.push(Reverse((at, self.next_step)));
        self.steps.insert(self.next_step, step);
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::NextCaller => self.call(),
            Step::Arrive(host, request) => self.arrive(host, request),
            Step::Choose(attempt) => self.choose(attempt),
            Step::AtEndpoint(attempt, endpoint) => self.at_endpoint(attempt, endpoint),
            Step::Refused(attempt, endpoint) => self.refused(attempt, endpoint),
            Step::Ended(attempt, endpoint) => self.ended(&attempt, endpoint),
            Step::PlaceFree(endpoint) => self.running[endpoint] -= 1,
            Step::Gossip => self.gossip(),
        }
    }

    /// Sends the requests of one millisecond.
    fn call(&mut self) {
        let scenario = self.scenario.clone();
        let is_surge = (scenario.surge_from..scenario.surge_until).contains(&self.now);
        let load = if is_surge { scenario.surge } else { scenario.usual };
        let usual_share = scenario.usual / scenario.workspaces as f64;
        let hot = if is_surge { usual_share * scenario.hot_factor } else { 0.0 };
        let per_ms = (load + hot) * scenario.capacity_per_ms();
        let mut left = per_ms;
        while self.rng.random::<f64>() < left {
            left -= 1.0;
            let is_hot = self.rng.random::<f64>() < hot / (load + hot);
            let any = self.rng.random_range(0..scenario.workspaces);
            let request = Request {
                rank: self.rng.random_range(0..RANKS),
                workspace: if is_hot { 0 } else { any },
                deadline: self.now + 1_000,
                is_counted: is_surge,
            };
            if is_surge {
                self.counts(&request, |count| count.0 += 1);
            }
            let host = self.rng.random_range(0..scenario.hosts);
            self.arrive(host, request);
        }
        if self.now < scenario.until {
            self.push(self.now + 1, Step::NextCaller);
        }
    }

    fn counts(&mut self, request: &Request, f: impl Fn(&mut (u32, u32))) {
        f(self.outcome.by_rank.entry(request.rank).or_default());
        match request.workspace {
            0 => f(&mut self.outcome.hot),
            _ => f(&mut self.outcome.others),
        }
    }

    fn arrival(&mut self, host: usize, request: &Request) -> Arrival {
        let now = Millis(self.now);
        let workspace = self.workspaces[request.workspace];
        let state = &mut self.hosts[host];
        let admissible = state.overload.admissible(now, &self.service);
        Arrival {
            rank: request.rank,
            work: REQUEST_WORK,
            time_left: Millis(request.deadline.saturating_sub(self.now)),
            start: None,
            places: self
                .endpoint_ids
                .iter()
                .fold(FreePlaces::default(), |sum, id| sum.plus(state.places.free(now, id))),
            share: state.shares.estimate(now, &self.service, workspace, request.rank, admissible),
            draws: [self.rng.random(), self.rng.random()],
        }
    }

    fn arrive(&mut self, host: usize, request: Request) {
        let now = Millis(self.now);
        let wait_until = self.now + MAX_WAIT_MS;
        if self.scenario.has_load_control {
            let workspace = self.workspaces[request.workspace];
            let state = &mut self.hosts[host];
            state.shares.record(now, &self.service, workspace, request.rank, REQUEST_WORK);
            let arrival = self.arrival(host, &request);
            let decision = self.hosts[host].overload.decide(now, &self.service, &arrival);
            if let Admission::Refuse { retry_after, .. } = decision {
                self.outcome.refused_at.push(self.now);
                return self.reject(request, retry_after.0);
            }
        }
        self.choose(Attempt { host, request, tried: Vec::new(), wait_until });
    }

    fn reject(&mut self, request: Request, retry_after: u64) {
        self.outcome.rejected_at.push(self.now);
        let at = self.now + retry_after;
        if at + HOLD_MS < request.deadline {
            self.outcome.returned_at.push(at);
            let host = self.rng.random_range(0..self.scenario.hosts);
            self.push(at, Step::Arrive(host, request));
        }
    }

    fn choose(&mut self, attempt: Attempt) {
        let now = Millis(self.now);
        let places = &self.hosts[attempt.host].places;
        let full_until = |i: usize| places.full_until(now, &self.endpoint_ids[i]);
        let untried: Vec<usize> =
            (0..self.scenario.endpoints).filter(|i| !attempt.tried.contains(i)).collect();
        let usable: Vec<usize> = match self.scenario.has_load_control {
            true => untried.iter().copied().filter(|i| full_until(*i).is_none()).collect(),
            false => untried.clone(),
        };
        if usable.is_empty() {
            let next = untried.iter().filter_map(|i| full_until(*i)).min().map(|at| at.0);
            return match next.filter(|at| *at <= attempt.wait_until) {
                Some(at) => self.push(at, Step::Choose(attempt)),
                None => self.turn_away(attempt),
            };
        }
        let endpoint = usable[self.rng.random_range(0..usable.len())];
        self.outcome.attempts += 1;
        self.hosts[attempt.host].places.record_send(&self.endpoint_ids[endpoint]);
        self.push(self.now + LINK_MS, Step::AtEndpoint(attempt, endpoint));
    }

    fn turn_away(&mut self, attempt: Attempt) {
        let Attempt { host, request, .. } = attempt;
        if !self.scenario.has_load_control {
            return self.reject(request, FIXED_RETRY_MS);
        }
        let now = Millis(self.now);
        let arrival = self.arrival(host, &request);
        let overload = &mut self.hosts[host].overload;
        overload.record_turned_away(now, &self.service, request.rank, REQUEST_WORK);
        let retry_after = overload.retry_after(now, &self.service, &arrival);
        self.reject(request, retry_after.0);
    }

    fn at_endpoint(&mut self, attempt: Attempt, endpoint: usize) {
        let is_lost = self.scenario.endpoints_lost_from.is_some_and(|from| self.now >= from)
            && endpoint.is_multiple_of(2);
        if is_lost || self.running[endpoint] >= SLOTS {
            self.outcome.refused_attempts += 1;
            return self.push(self.now + LINK_MS, Step::Refused(attempt, endpoint));
        }
        self.running[endpoint] += 1;
        let hold = self.rng.random_range(HOLD_MS / 2..=HOLD_MS * 3 / 2);
        self.push(self.now + hold, Step::PlaceFree(endpoint));
        self.push(self.now + hold + LINK_MS, Step::Ended(attempt, endpoint));
    }

    fn refused(&mut self, mut attempt: Attempt, endpoint: usize) {
        let now = Millis(self.now);
        let Host { overload, places, .. } = &mut self.hosts[attempt.host];
        overload.record_refused_attempt(now, &self.service);
        let hold = overload.hold_time(&self.service);
        places.record_refused(now, &self.endpoint_ids[endpoint], hold);
        attempt.tried.push(endpoint);
        let rank = attempt.request.rank;
        let may_ask = !self.scenario.has_load_control
            || overload.may_ask_another(now, &self.service, rank, REQUEST_WORK);
        match may_ask && attempt.tried.len() < MAX_ATTEMPTS as usize {
            true => self.choose(attempt),
            false => self.turn_away(attempt),
        }
    }

    fn ended(&mut self, attempt: &Attempt, endpoint: usize) {
        let now = Millis(self.now);
        let taken = self.running[endpoint] as u64;
        let Host { overload, places, .. } = &mut self.hosts[attempt.host];
        let endpoint_id = &self.endpoint_ids[endpoint];
        places.record_accepted(endpoint_id);
        places.record_report(now, endpoint_id, SLOTS as u64, taken);
        overload.record_accepted(now, &self.service, attempt.request.rank, REQUEST_WORK);
        overload.record_room(&self.service, SLOTS as u64, taken);
        overload.record_hold(&self.service, Millis(HOLD_MS));
        if attempt.request.is_counted && self.now <= attempt.request.deadline {
            self.counts(&attempt.request, |count| count.1 += 1);
        }
    }

    fn gossip(&mut self) {
        let now = Millis(self.now);
        let hosts = self.hosts.len();
        self.round += 1;
        for from in 0..hosts {
            let reports = self.hosts[from].shares.reports(now);
            for i in 0..GOSSIP_FANOUT.min(hosts - 1) {
                let to = (from + 1 + (self.round * GOSSIP_FANOUT + i) % (hosts - 1)) % hosts;
                let is_deaf = self.scenario.hosts_deaf_from.is_some_and(|at| self.now >= at)
                    && to.is_multiple_of(2);
                if !is_deaf && self.rng.random::<f64>() >= GOSSIP_LOSS {
                    self.hosts[to].heard.insert(from, (self.now, reports.clone()));
                }
            }
        }
        for host in &mut self.hosts {
            let heard = host.heard.values();
            let reports = heard.flat_map(|(at, r)| r.iter().map(move |r| (r, now - Millis(*at))));
            let remote = sum_reports(reports);
            host.shares.set_remote(now, || remote);
        }
        if self.now < self.scenario.until {
            self.push(self.now + GOSSIP_INTERVAL_MS, Step::Gossip);
        }
    }
}
