//! Simulates a fleet of hosts on one virtual clock, with random faults generated from a seed.
//!
//! The hosts run the state machines of `tidetrack_core`; the message transport, the object API and the
//! traffic are simulated. Each host has its own clock with a random offset. The invariants are checked
//! during the simulation against global state that no single host can see.

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

/// Maximum number of requests on the canary version without a judgment, in every stage.
pub const EXPOSURE_CAP: u64 = 20;

/// Large fleets evaluate roll-outs only when the clock is a multiple of this, in milliseconds.
const ROLLOUT_CHECK_INTERVAL_MS: u64 = 300;

/// Interval between two ticks of a host, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;

/// Time after which a call without a response fails, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Time within which a change must be in force when there are no faults, in milliseconds.
const MAX_IN_FORCE_MS: u64 = 4_000;

/// Time for the hosts to recover after the last fault, in milliseconds.
const SETTLE_MS: u64 = 11_000;

/// Age of the last confirmation after which the configuration of a host is stale, in milliseconds.
const STALE_MS: u64 = 10_000;

/// Largest fleet for which the fleet-wide invariants are checked: these checks visit all hosts after
/// every step or tick, which is too slow for larger fleets.
const MAX_CHECKED_HOSTS: usize = 20;

/// Maximum duration of a rate limit loan, in milliseconds.
const MAX_LOAN_MS: u64 = 5_000;

/// Minimum time between two losses of a failure domain, in milliseconds: the fleet must detect the
/// first loss and restore the lost copies before the next one.
const MIN_DOMAIN_LOSS_INTERVAL_MS: u64 = 18_000;

/// Duration of the traffic after all faults have ended, in milliseconds.
const TRAFFIC_AFTER_FAULTS_MS: u64 = 18_000;

/// Limit of requests per second of the only workspace.
const REQUESTS_PER_SECOND_LIMIT: f64 = 100.0;

/// A bug that a test injects to prove that the invariant checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// No bug: all invariants must hold.
    NoBug,
    /// Hosts keep using the first view that they received.
    IgnoredWithdrawal,
    /// A holder that takes over bills writes them under a different incarnation.
    DoubleFlush,
    /// Requests go to the canary version without a credit.
    IgnoredCap,
    /// A response is ended before its bill is replicated.
    EarlyResponseEnd,
    /// The host that receives a ticket executes it, even if another host issued it.
    SharedTicket,
    /// The age of the configuration is measured from the arrival of a reply, not from its request.
    FreshnessFromArrival,
}

/// Parameters of a simulated schedule of faults.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Duration of the phase with faults, in milliseconds.
    pub fault_phase_ms: u64,
    /// Whether random faults occur.
    pub has_faults: bool,
    /// True quality of the canary version, in [0, 1].
    pub canary_quality: f64,
    /// Bug to inject.
    pub injected_bug: InjectedBug,
}

impl Schedule {
    /// Creates the schedule for a seed: even seeds have a good canary version, odd seeds a bad one.
    pub fn of(seed: u64) -> Schedule {
        let canary_quality = if seed.is_multiple_of(2) { 0.85 } else { 0.3 };
        let injected_bug = InjectedBug::NoBug;
        Schedule {
            seed,
            hosts: 5,
            domains: 3,
            fault_phase_ms: 30_000,
            has_faults: true,
            canary_quality,
            injected_bug,
        }
    }
}

/// Counters of a simulation.
#[derive(Clone, Debug, Default)]
pub struct RunStats {
    /// Messages sent between hosts.
    pub messages: u64,
    /// Total size of the messages as JSON, in bytes.
    pub bytes: u64,
    /// Number of fault events.
    pub faults: u64,
    /// Real time spent in the hosts' control-plane state machines, in nanoseconds.
    pub control_state_ns: u64,
    /// Requests whose response was released. Set by the final ledger check.
    pub answered: u64,
    /// Requests sent to the canary version.
    pub canary_requests: u64,
    /// Tickets issued.
    pub tickets: u64,
    /// Time until each accepted change was in force on all running hosts, in milliseconds.
    pub in_force_ms: Vec<u64>,
}

/// Simulation of one schedule.
pub struct Simulation {
    schedule: Schedule,
    now: u64,
    last_sequence: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    rng: StdRng,
    platform: Platform,
    hosts: Vec<Host>,
    last_fault_at: u64,
    have_faults_ended: bool,
    next_domain_loss_at: u64,
    /// Credits spent by stopped incarnations, counted by the test itself.
    spent_by_stopped_hosts: u64,
    judged_canary_responses: u64,
    started_canary_requests: u64,
    answered: BTreeSet<RequestId>,
    completed_requests: BTreeSet<RequestId>,
    executions: HashMap<Ticket, u64>,
    revisions_not_in_force: BTreeMap<u64, u64>,
    last_disagreement_at: u64,
    /// Counters of the simulation so far.
    pub stats: RunStats,
}

impl Simulation {
    /// Creates the hosts and the object API of a schedule.
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
            last_sequence: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            rng,
            platform,
            hosts,
            last_fault_at: 0,
            have_faults_ended: false,
            next_domain_loss_at: 0,
            spent_by_stopped_hosts: 0,
            judged_canary_responses: 0,
            started_canary_requests: 0,
            answered: BTreeSet::new(),
            completed_requests: BTreeSet::new(),
            executions: HashMap::new(),
            revisions_not_in_force: BTreeMap::new(),
            last_disagreement_at: 0,
            stats: RunStats::default(),
            schedule,
        };
        for i in 0..count {
            simulation.schedule_event(i as u64 % TICK_INTERVAL_MS, Event::Tick(i));
            simulation.schedule_event(200 + i as u64, Event::Traffic(i));
        }
        simulation.schedule_event(3_000, Event::Operator);
        if simulation.schedule.has_faults {
            simulation.schedule_event(2_000, Event::Fault);
        }
        simulation
    }

    /// Runs the whole schedule, ends all faults and checks the ledger.
    ///
    /// Returns the first violated invariant as an error.
    pub fn run(&mut self) -> Result<(), String> {
        self.run_until(self.schedule.fault_phase_ms)?;
        self.end_faults();
        self.run_until(self.schedule.fault_phase_ms + TRAFFIC_AFTER_FAULTS_MS + 20_000)?;
        self.check_ledger()
    }

    /// Runs all events up to the virtual time `until`, in milliseconds.
    ///
    /// Returns the first violated invariant as an error.
    pub fn run_until(&mut self, until: u64) -> Result<(), String> {
        while let Some(Reverse((at, sequence))) = self.queue.pop() {
            if at > until {
                self.queue.push(Reverse((at, sequence)));
                return Ok(());
            }
            self.now = at;
            let event =
                self.events.remove(&sequence).expect("every queued sequence number has an event");
            self.handle_event(event)?;
        }
        Ok(())
    }

    fn fail<T>(&self, message: String) -> Result<T, String> {
        Err(format!("seed {} at {} ms: {message}", self.schedule.seed, self.now))
    }

    fn schedule_event(&mut self, at: u64, event: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse((at, self.last_sequence)));
        self.events.insert(self.last_sequence, event);
    }

    /// Returns a random message delay in milliseconds, or `None` if the message is lost.
    fn latency(&mut self) -> Option<u64> {
        if !self.schedule.has_faults || self.have_faults_ended {
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

    fn host_index(&self, name: &HostId) -> usize {
        name.as_str()[1..].parse().expect("hosts are named h and a number")
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.hosts[from], &self.hosts[to]);
        a.is_up && b.is_up && !a.is_cut_from_peers && !b.is_cut_from_peers
    }

    fn is_platform_reachable(&self, host: usize) -> bool {
        self.platform.is_up && self.hosts[host].is_up && !self.hosts[host].is_cut_from_platform
    }
}
