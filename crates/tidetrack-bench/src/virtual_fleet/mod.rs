//! Many hosts' state machines under one virtual clock, with random faults drawn from a seed.
//!
//! The hosts' code is the core's own; what is small and fake here is what carries messages, the
//! object API, and traffic. Every host has a clock of its own that starts anywhere. After every step
//! the promises are checked against what only the test can see.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::ids::{HostId, RequestId};
use tidetrack_core::tickets::Ticket;
use tidetrack_core::units::Millis;

mod checks;
mod event;
mod exchange;
mod faults;
mod host;
mod platform;
mod platform_access;
mod requests;

use event::Event;
use host::Host;
use platform::{initial_objects, Platform};

/// Most unjudged requests on the new version, in every stage.
pub const EXPOSURE_CAP: u64 = 20;

/// Roll-outs of a large fleet are looked at when the clock is a multiple of this.
const ROLLOUT_CHECK_INTERVAL_MS: u64 = 300;

/// A host's tick.
const TICK_INTERVAL_MS: u64 = 50;

/// A call that got no answer has failed after this time.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// A change must be in force after this time without faults.
const MAX_IN_FORCE_MS: u64 = 4_000;

/// Time for a fleet to find itself after the last fault.
const SETTLE_MS: u64 = 11_000;

/// A host that could not confirm its configuration for so long is stale.
const STALE_MS: u64 = 10_000;

/// Larger fleets are only measured: the checks look at all hosts after every step.
const MAX_CHECKED_HOSTS: usize = 20;

/// The longest that a loan can run.
const MAX_LOAN_MS: u64 = 5_000;

/// Time between two losses of a failure domain: the first must be found out and made good.
const MIN_DOMAIN_LOSS_INTERVAL_MS: u64 = 18_000;

/// Traffic goes on for so long after everything is healed.
const TRAFFIC_AFTER_FAULTS_MS: u64 = 18_000;

/// Requests a second of the one workspace.
const REQUESTS_PER_SECOND_LIMIT: f64 = 100.0;

/// A guard that a test breaks on purpose, to show that the checks see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// None: everything must hold.
    NoBug,
    /// Traffic decides on the first view that it got.
    IgnoredWithdrawal,
    /// A holder that takes over writes under a name of its own.
    DoubleFlush,
    /// Credits are not asked for.
    IgnoredCap,
    /// An answer is ended before its bill is safe.
    EarlyResponseEnd,
    /// A ticket is run by whichever host it comes to.
    SharedTicket,
    /// Freshness is counted from when an answer arrived.
    FreshnessFromArrival,
}

/// How a schedule is made.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// The seed of everything random.
    pub seed: u64,
    /// Hosts.
    pub hosts: usize,
    /// Failure domains.
    pub domains: usize,
    /// Length before everything is healed, in milliseconds.
    pub fault_phase_ms: u64,
    /// Whether faults are drawn.
    pub faults: bool,
    /// True quality of the new version.
    pub canary_quality: f64,
    /// The broken guard.
    pub injected_bug: InjectedBug,
}

impl Schedule {
    /// Makes the schedule of a seed.
    pub fn of(seed: u64) -> Schedule {
        let canary_quality = if seed.is_multiple_of(2) { 0.85 } else { 0.3 };
        let injected_bug = InjectedBug::NoBug;
        Schedule {
            seed,
            hosts: 5,
            domains: 3,
            fault_phase_ms: 30_000,
            faults: true,
            canary_quality,
            injected_bug,
        }
    }
}

/// What a run saw, for reports.
#[derive(Clone, Debug, Default)]
pub struct RunStats {
    /// Messages between hosts.
    pub messages: u64,
    /// Bytes of them, as JSON.
    pub bytes: u64,
    /// Faults.
    pub faults: u64,
    /// Nanoseconds spent in the hosts' control state.
    pub control_state_ns: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests on the new version.
    pub canary_requests: u64,
    /// Calls with a ticket.
    pub tickets: u64,
    /// Milliseconds until each accepted change was in force on the last host.
    pub in_force_ms: Vec<u64>,
}

/// The world of one schedule.
pub struct Simulation {
    schedule: Schedule,
    now: u64,
    next_sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    rng: StdRng,
    platform: Platform,
    hosts: Vec<Host>,
    last_fault_at: u64,
    is_healed: bool,
    next_domain_loss_at: u64,
    /// Credits spent by lives that are gone, and answers judged, as the test sees them.
    spent_by_stopped_hosts: u64,
    judged: u64,
    started: u64,
    answered: BTreeSet<RequestId>,
    completed_requests: BTreeSet<RequestId>,
    executions: HashMap<Ticket, u64>,
    in_force: BTreeMap<u64, u64>,
    last_disagreement_at: u64,
    /// What was seen.
    pub stats: RunStats,
}

impl Simulation {
    /// Makes the world of a schedule.
    pub fn new(schedule: Schedule) -> Simulation {
        let mut rng = StdRng::seed_from_u64(schedule.seed);
        let mut platform = Platform {
            is_up: true,
            revision: 0,
            objects: BTreeMap::new(),
            writes: Vec::new(),
            segments: BTreeMap::new(),
        };
        for (key, object) in initial_objects() {
            platform.write(0, &key, 0, Some(object.to_json()));
        }
        let count = schedule.hosts;
        let hosts = (0..count)
            .map(|i| {
                let offset = rng.random_range(1_000_000..1_000_000_000);
                Host::new(i, i % schedule.domains, rng.random::<u32>().into(), offset, 0, count)
            })
            .collect();
        let mut simulation = Simulation {
            now: 0,
            next_sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            rng,
            platform,
            hosts,
            last_fault_at: 0,
            is_healed: false,
            next_domain_loss_at: 0,
            spent_by_stopped_hosts: 0,
            judged: 0,
            started: 0,
            answered: BTreeSet::new(),
            completed_requests: BTreeSet::new(),
            executions: HashMap::new(),
            in_force: BTreeMap::new(),
            last_disagreement_at: 0,
            stats: RunStats::default(),
            schedule,
        };
        for i in 0..count {
            simulation.schedule_event(i as u64 % TICK_INTERVAL_MS, Event::Tick(i));
            simulation.schedule_event(200 + i as u64, Event::Traffic(i));
        }
        simulation.schedule_event(3_000, Event::Operator);
        if simulation.schedule.faults {
            simulation.schedule_event(2_000, Event::Fault);
        }
        simulation
    }

    /// Runs the whole schedule and heals at its end; gives the first broken promise.
    pub fn run(&mut self) -> Result<(), String> {
        self.run_until(self.schedule.fault_phase_ms)?;
        self.end_faults();
        self.run_until(self.schedule.fault_phase_ms + TRAFFIC_AFTER_FAULTS_MS + 20_000)?;
        self.check_ledger()
    }

    /// Runs up to an instant.
    pub fn run_until(&mut self, until: u64) -> Result<(), String> {
        while let Some(Reverse((at, next_sequence))) = self.queue.pop() {
            if at > until {
                self.queue.push(Reverse((at, next_sequence)));
                return Ok(());
            }
            self.now = at;
            let event =
                self.events.remove(&next_sequence).expect("every queued number has an event");
            self.step(event)?;
        }
        Ok(())
    }

    fn fail<T>(&self, message: String) -> Result<T, String> {
        Err(format!("seed {} at {} ms: {message}", self.schedule.seed, self.now))
    }

    fn schedule_event(&mut self, at: u64, event: Event) {
        self.next_sequence += 1;
        self.queue.push(Reverse((at, self.next_sequence)));
        self.events.insert(self.next_sequence, event);
    }

    /// Draws the time of a message on its way; `None` if it is lost.
    fn latency(&mut self) -> Option<u64> {
        if !self.schedule.faults || self.is_healed {
            return Some(self.rng.random_range(1..10));
        }
        match self.rng.random_range(0..100) {
            0..3 => None,
            3..6 => Some(self.rng.random_range(500..2_500)),
            _ => Some(self.rng.random_range(1..30)),
        }
    }

    fn host_time(&self, host: usize) -> Millis {
        Millis(self.now + self.hosts[host].offset)
    }

    fn index(&self, name: &HostId) -> usize {
        name.as_str()[1..].parse().expect("hosts are named h and a number")
    }

    fn reachable(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.hosts[from], &self.hosts[to]);
        a.is_up && b.is_up && !a.is_cut_from_peers && !b.is_cut_from_peers
    }

    fn platform_reachable(&self, host: usize) -> bool {
        self.platform.is_up && self.hosts[host].is_up && !self.hosts[host].is_cut_from_platform
    }
}
