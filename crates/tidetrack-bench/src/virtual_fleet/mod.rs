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
mod duties;
mod event;
mod faults;
mod host;
mod platform;
mod requests;
mod steps;

use event::Event;
use host::Host;
use platform::{first_objects, Platform};

/// Most unjudged requests on the new version, in every stage.
pub const CAP: u64 = 20;

/// Roll-outs of a large fleet are looked at when the clock is a multiple of this.
const DUTY_MS: u64 = 300;

/// A host's tick.
const TICK_MS: u64 = 50;

/// A call that got no answer has failed after this time.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// A change must be in force after this time without faults.
const IN_FORCE_MS: u64 = 4_000;

/// Time for a fleet to find itself after the last fault.
const SETTLE_MS: u64 = 11_000;

/// A host that could not confirm its configuration for so long is stale.
const STALE_MS: u64 = 10_000;

/// Larger fleets are only measured: the checks look at all hosts after every step.
const MOST_CHECKED: usize = 20;

/// The longest that a loan can run.
const LOAN_MS: u64 = 5_000;

/// Time between two losses of a failure domain: the first must be found out and made good.
const KILLS_APART_MS: u64 = 18_000;

/// Traffic goes on for so long after everything is healed.
const HEALED_TRAFFIC_MS: u64 = 18_000;

/// Requests a second of the one workspace.
const LIMIT: f64 = 100.0;

/// A guard that a test breaks on purpose, to show that the checks see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// None: everything must hold.
    Nothing,
    /// Traffic decides on the first view that it got.
    IgnoredWithdrawal,
    /// A holder that takes over writes under a name of its own.
    DoubleFlush,
    /// Credits are not asked for.
    IgnoredCap,
    /// An answer is ended before its bill is safe.
    EarlyEnd,
    /// A ticket is run by whichever host it comes to.
    SharedTicket,
    /// Freshness is counted from when an answer arrived.
    FreshOnArrival,
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
    pub length_ms: u64,
    /// Whether faults are drawn.
    pub faults: bool,
    /// True quality of the new version.
    pub new_quality: f64,
    /// The broken guard.
    pub broken: Broken,
}

impl Schedule {
    /// Makes the schedule of a seed.
    pub fn of(seed: u64) -> Schedule {
        let new_quality = if seed.is_multiple_of(2) { 0.85 } else { 0.3 };
        let broken = Broken::Nothing;
        Schedule {
            seed,
            hosts: 5,
            domains: 3,
            length_ms: 30_000,
            faults: true,
            new_quality,
            broken,
        }
    }
}

/// What a run saw, for reports.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Messages between hosts.
    pub messages: u64,
    /// Bytes of them, as JSON.
    pub bytes: u64,
    /// Faults.
    pub faults: u64,
    /// Nanoseconds spent in the hosts' control state.
    pub node_ns: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests on the new version.
    pub exposed: u64,
    /// Calls with a ticket.
    pub tickets: u64,
    /// Milliseconds until each accepted change was in force on the last host.
    pub in_force_ms: Vec<u64>,
}

/// The world of one schedule.
pub struct World {
    schedule: Schedule,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    rng: StdRng,
    platform: Platform,
    hosts: Vec<Host>,
    last_fault: u64,
    healed: bool,
    next_kill: u64,
    /// Credits spent by lives that are gone, and answers judged, as the test sees them.
    spent_by_dead: u64,
    judged: u64,
    started: u64,
    answered: BTreeSet<RequestId>,
    made: BTreeSet<RequestId>,
    runs: HashMap<Ticket, u64>,
    in_force: BTreeMap<u64, u64>,
    disagreed_at: u64,
    /// What was seen.
    pub seen: Seen,
}

impl World {
    /// Makes the world of a schedule.
    pub fn new(schedule: Schedule) -> World {
        let mut rng = StdRng::seed_from_u64(schedule.seed);
        let mut platform = Platform {
            up: true,
            revision: 0,
            objects: BTreeMap::new(),
            writes: Vec::new(),
            segments: BTreeMap::new(),
        };
        for (key, object) in first_objects() {
            platform.write(0, &key, 0, Some(object.to_json()));
        }
        let count = schedule.hosts;
        let hosts = (0..count)
            .map(|i| {
                let offset = rng.random_range(1_000_000..1_000_000_000);
                Host::new(i, i % schedule.domains, rng.random::<u32>().into(), offset, 0, count)
            })
            .collect();
        let mut world = World {
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            rng,
            platform,
            hosts,
            last_fault: 0,
            healed: false,
            next_kill: 0,
            spent_by_dead: 0,
            judged: 0,
            started: 0,
            answered: BTreeSet::new(),
            made: BTreeSet::new(),
            runs: HashMap::new(),
            in_force: BTreeMap::new(),
            disagreed_at: 0,
            seen: Seen::default(),
            schedule,
        };
        for i in 0..count {
            world.at(i as u64 % TICK_MS, Event::Tick(i));
            world.at(200 + i as u64, Event::Traffic(i));
        }
        world.at(3_000, Event::Operator);
        if world.schedule.faults {
            world.at(2_000, Event::Fault);
        }
        world
    }

    /// Runs the whole schedule and heals at its end; gives the first broken promise.
    pub fn run(&mut self) -> Result<(), String> {
        self.run_until(self.schedule.length_ms)?;
        self.heal();
        self.run_until(self.schedule.length_ms + HEALED_TRAFFIC_MS + 20_000)?;
        self.check_ledger()
    }

    /// Runs up to an instant.
    pub fn run_until(&mut self, until: u64) -> Result<(), String> {
        while let Some(Reverse((at, order))) = self.queue.pop() {
            if at > until {
                self.queue.push(Reverse((at, order)));
                return Ok(());
            }
            self.now = at;
            let event = self.events.remove(&order).expect("every queued number has an event");
            self.step(event)?;
        }
        Ok(())
    }

    fn fail<T>(&self, what: String) -> Result<T, String> {
        Err(format!("seed {} at {} ms: {what}", self.schedule.seed, self.now))
    }

    fn at(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order)));
        self.events.insert(self.order, event);
    }

    /// Draws the time of a message on its way; `None` if it is lost.
    fn latency(&mut self) -> Option<u64> {
        if !self.schedule.faults || self.healed {
            return Some(self.rng.random_range(1..10));
        }
        match self.rng.random_range(0..100) {
            0..3 => None,
            3..6 => Some(self.rng.random_range(500..2_500)),
            _ => Some(self.rng.random_range(1..30)),
        }
    }

    fn local(&self, host: usize) -> Millis {
        Millis(self.now + self.hosts[host].offset)
    }

    fn index(&self, name: &HostId) -> usize {
        name.as_str()[1..].parse().expect("hosts are named h and a number")
    }

    fn reachable(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.hosts[from], &self.hosts[to]);
        a.up && b.up && !a.cut_peers && !b.cut_peers
    }

    fn platform_reachable(&self, host: usize) -> bool {
        self.platform.up && self.hosts[host].up && !self.hosts[host].cut_platform
    }
}
