//! Many hosts' state machines under one virtual clock, with random faults drawn from a seed.
//!
//! The hosts' code is the core's own; what is small and fake here is what carries messages, the
//! object API, and traffic. Every host has a clock of its own that starts anywhere. After every step
//! the promises are checked against what only the test can see.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::config::{
    Kind, Object, ObjectKey, Pool, Rollout, RolloutState, Stage, Version, WhenStale, Withdrawal,
    Workspace,
};
use tidetrack_core::evidence::Counts;
use tidetrack_core::ids::{HostId, Incarnation, RequestId, VersionRef, WorkspaceId};
use tidetrack_core::keeper::{HoldCall, Holder, Keeper};
use tidetrack_core::ledger::Segment;
use tidetrack_core::membership::{Member, MemberState};
use tidetrack_core::node::{Action, Exchange, Node, NodeOptions};
use tidetrack_core::rollout::first_state;
use tidetrack_core::store::{Delta, Entry};
use tidetrack_core::tickets::{KeptAnswer, Ticket, TicketBook, TicketOptions};
use tidetrack_core::units::{Micros, Millis};
use tidetrack_core::view::{Chosen, View, ViewBuilder};

mod checks;
mod duties;
mod faults;
mod requests;

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

struct Platform {
    up: bool,
    revision: u64,
    objects: BTreeMap<ObjectKey, Entry>,
    writes: Vec<(u64, ObjectKey, u64)>,
    segments: BTreeMap<String, Segment>,
}

struct Host {
    name: HostId,
    domain: usize,
    offset: u64,
    life: u64,
    up: bool,
    paused_until: u64,
    cut_platform: bool,
    cut_peers: bool,
    node: Node,
    builder: ViewBuilder,
    view: View,
    keeper: Keeper,
    holders_epoch: Option<u64>,
    tickets: TicketBook,
    asked_platform_at: u64,
    writing_state: bool,
    rollout_since: (u64, u64),
    next_bill: u64,
    spent_told: u64,
    seen: BTreeMap<ObjectKey, u64>,
    born_at: u64,
}

enum Event {
    Tick(usize),
    Traffic(usize),
    Exchange {
        to: usize,
        from: usize,
        life: u64,
        sent_at: Millis,
        message: Box<Exchange>,
    },
    Reply {
        to: usize,
        from: HostId,
        life: u64,
        sent_at: Millis,
        nonce: u64,
        message: Box<Exchange>,
    },
    Failed {
        at: usize,
        life: u64,
        to: HostId,
    },
    Probed {
        at: usize,
        life: u64,
        target: HostId,
        reached: bool,
    },
    Read {
        by: usize,
        life: u64,
        asked_at: Millis,
        after: u64,
    },
    ReadDone {
        at: usize,
        life: u64,
        asked_at: Millis,
        list: Option<(u64, Vec<Entry>)>,
        delta: Option<Delta>,
    },
    Hold {
        to: usize,
        from: usize,
        life: u64,
        batch: u64,
        call: HoldCall,
    },
    HoldDone {
        at: usize,
        life: u64,
        batch: u64,
        held: bool,
    },
    Write {
        by: usize,
        life: u64,
        segment: Segment,
    },
    WriteDone {
        at: usize,
        life: u64,
        origin: Incarnation,
        stands: Option<Segment>,
    },
    WriteState {
        by: usize,
        life: u64,
        expected: u64,
        state: RolloutState,
    },
    StateDone {
        at: usize,
        life: u64,
        version: u64,
        state: RolloutState,
    },
    Done {
        at: usize,
        life: u64,
        chosen: Box<Chosen>,
    },
    Rate {
        at: usize,
        life: u64,
        chosen: Box<Chosen>,
    },
    TicketCall {
        to: usize,
        ticket: Ticket,
        hops: u32,
    },
    TicketDone {
        at: usize,
        life: u64,
        ticket: Ticket,
        lost: bool,
    },
    Operator,
    Fault,
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

fn old_version() -> VersionRef {
    "m@1".parse().expect("a version")
}

fn new_version() -> VersionRef {
    "m@2".parse().expect("a version")
}

fn workspace() -> WorkspaceId {
    "w".parse().expect("a workspace")
}

fn first_objects() -> Vec<(ObjectKey, Object)> {
    let pool = Pool { endpoints: BTreeMap::new(), slots: 1, fenced: false };
    let version = |_: &str| {
        Object::Version(Version {
            pool: "p".parse().expect("a pool"),
            generation: 1,
            price_in: Micros(1),
            price_out: Micros(1),
            context_tokens: 1,
        })
    };
    let stage = |share| Stage { share, cap: CAP, judged: 1_000_000 };
    let rollout = Rollout {
        from: old_version(),
        to: new_version(),
        stages: vec![stage(0.5)],
        when_stale: WhenStale::ProvenOnly,
        stale_ms: STALE_MS,
    };
    let allow = [old_version(), new_version()].into();
    let caller = Workspace {
        key_digests: BTreeSet::new(),
        allow,
        requests_per_second: LIMIT,
        concurrency: 1_000,
    };
    let model = tidetrack_core::config::Model { serving: old_version(), about: String::new() };
    vec![
        (ObjectKey::new(Kind::Pool, "p"), Object::Pool(pool)),
        (ObjectKey::new(Kind::Version, "m@1"), version("m@1")),
        (ObjectKey::new(Kind::Version, "m@2"), version("m@2")),
        (ObjectKey::new(Kind::Model, "m"), Object::Model(model)),
        (ObjectKey::new(Kind::Workspace, "w"), Object::Workspace(caller)),
        (ObjectKey::new(Kind::Rollout, "r"), Object::Rollout(rollout)),
        (ObjectKey::new(Kind::RolloutState, "r"), Object::RolloutState(first_state(1))),
    ]
}

fn member(name: &HostId, domain: usize, life: u64) -> Member {
    Member {
        incarnation: Incarnation { host: name.clone(), life },
        beat: 1,
        state: MemberState::Alive,
        peer: name.to_string(),
        caller: name.to_string(),
        failure_domain: format!("d{domain}").parse().expect("a failure domain"),
    }
}

impl Host {
    fn new(index: usize, domain: usize, life: u64, offset: u64, now: u64, all: usize) -> Host {
        let name: HostId = format!("h{index}").parse().expect("a host");
        let own = member(&name, domain, life);
        let incarnation = own.incarnation.clone();
        let mut node = Node::new(own, NodeOptions::default(), life);
        let seeds = (0..all).map(|i| format!("h{i}"));
        node.set_seeds(seeds.map(|h| (h.parse().expect("a host"), h)).collect());
        Host {
            name,
            domain,
            offset,
            life,
            up: true,
            paused_until: 0,
            cut_platform: false,
            cut_peers: false,
            node,
            builder: ViewBuilder::default(),
            view: View::default(),
            keeper: Keeper::new(Millis(now + offset), incarnation.clone(), Millis(2_000)),
            holders_epoch: None,
            tickets: TicketBook::new(incarnation, TicketOptions::default()),
            asked_platform_at: 0,
            writing_state: false,
            rollout_since: (0, 0),
            next_bill: 0,
            spent_told: 0,
            seen: BTreeMap::new(),
            born_at: now,
        }
    }

    fn spent(&self) -> u64 {
        self.builder.credits(&new_version(), 1).map_or(0, |c| c.spent())
    }
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

    /// Gets the host that an event happens on, with the life that it is meant for.
    fn place(event: &Event) -> Option<(usize, Option<u64>)> {
        match event {
            Event::Tick(h) | Event::Traffic(h) => Some((*h, None)),
            Event::Exchange { to, .. } | Event::Hold { to, .. } => Some((*to, None)),
            Event::TicketCall { to, .. } => Some((*to, None)),
            Event::Reply { to, life, .. } => Some((*to, Some(*life))),
            Event::Failed { at, life, .. }
            | Event::Probed { at, life, .. }
            | Event::ReadDone { at, life, .. }
            | Event::HoldDone { at, life, .. }
            | Event::WriteDone { at, life, .. }
            | Event::StateDone { at, life, .. }
            | Event::Done { at, life, .. }
            | Event::Rate { at, life, .. }
            | Event::TicketDone { at, life, .. } => Some((*at, Some(*life))),
            // These happen at the platform, whatever became of who asked.
            Event::Read { .. } | Event::Write { .. } | Event::WriteState { .. } => None,
            Event::Operator | Event::Fault => None,
        }
    }

    fn step(&mut self, event: Event) -> Result<(), String> {
        if let Some((host, life)) = World::place(&event) {
            let repeats = matches!(event, Event::Tick(_) | Event::Traffic(_));
            let h = &self.hosts[host];
            if !h.up || life.is_some_and(|l| l != h.life) {
                if repeats {
                    self.at(self.now + TICK_MS, event);
                }
                return Ok(());
            }
            if h.paused_until > self.now {
                // Whatever comes to a paused process waits in its sockets.
                let until = h.paused_until;
                self.at(until, event);
                return Ok(());
            }
        }
        match event {
            Event::Tick(h) => self.tick(h)?,
            Event::Traffic(h) => self.traffic(h)?,
            Event::Exchange { to, from, life, sent_at, message } => {
                self.exchange(to, from, life, sent_at, *message);
            }
            Event::Reply { to, from, sent_at, nonce, message, .. } => {
                let now = self.local(to);
                let sent_at = match self.schedule.broken {
                    Broken::FreshOnArrival => now,
                    _ => sent_at,
                };
                let started = Instant::now();
                self.hosts[to].node.on_reply(now, &from, sent_at, nonce, *message);
                self.seen.node_ns += started.elapsed().as_nanos() as u64;
                self.check_fresh(to)?;
            }
            Event::Failed { at, to, .. } => self.hosts[at].node.on_failed(&to),
            Event::Probed { at, target, reached, .. } => {
                let now = self.local(at);
                self.hosts[at].node.on_probe(now, &target, reached);
            }
            Event::Read { by, life, asked_at, after } => self.read(by, life, asked_at, after),
            Event::ReadDone { at, asked_at, list, delta, .. } => {
                let node = &mut self.hosts[at].node;
                if let Some((revision, entries)) = list {
                    node.on_list(asked_at, revision, entries);
                }
                if let Some(delta) = delta {
                    node.on_changes(asked_at, delta);
                }
                self.check_fresh(at)?;
            }
            Event::Hold { to, from, life, batch, call } => {
                let held = self.hosts[to].keeper.hold_for(call);
                if let Some(ms) = self.latency().filter(|_| self.reachable(to, from)) {
                    self.at(self.now + ms, Event::HoldDone { at: from, life, batch, held });
                }
            }
            Event::HoldDone { at, batch, held, .. } => {
                let now = self.local(at);
                self.hosts[at].keeper.hold_done(now, batch, held);
                self.pump(at);
            }
            Event::Write { by, life, segment } => self.write_segment(by, life, segment),
            Event::WriteDone { at, origin, stands, .. } => {
                let now = self.local(at);
                self.hosts[at].keeper.write_done(now, &origin, stands);
                self.pump(at);
            }
            Event::WriteState { by, life, expected, state } => {
                self.write_state(by, life, expected, state);
            }
            Event::StateDone { at, version, state, .. } => self.state_done(at, version, &state),
            Event::Done { at, chosen, .. } => self.done(at, *chosen),
            Event::Rate { at, chosen, .. } => self.rate(at, &chosen),
            Event::TicketCall { to, ticket, hops } => self.ticket_call(to, ticket, hops)?,
            Event::TicketDone { at, ticket, lost, .. } => {
                let now = self.local(at);
                let answer = (!lost).then_some(KeptAnswer { status: 200, body: None });
                self.hosts[at].tickets.done(now, &ticket, answer);
            }
            Event::Operator => self.operate(),
            Event::Fault => self.fault(),
        }
        self.check_cap()
    }

    fn tick(&mut self, h: usize) -> Result<(), String> {
        let now = self.local(h);
        self.at(self.now + TICK_MS, Event::Tick(h));
        let from = Instant::now();
        let actions = self.hosts[h].node.tick(now);
        self.seen.node_ns += from.elapsed().as_nanos() as u64;
        for action in actions {
            self.act(h, action);
        }
        let spent = self.hosts[h].spent();
        let told = std::mem::replace(&mut self.hosts[h].spent_told, spent);
        if spent > told {
            let counts = Counts { started: spent - told, ..Counts::default() };
            self.hosts[h].node.count(&new_version(), 1, true, &counts);
        }
        self.publish(h)?;
        self.ask_platform(h);
        self.rollout_duty(h);
        let epoch = self.hosts[h].node.members.epoch();
        if self.hosts[h].holders_epoch != Some(epoch) {
            self.hosts[h].holders_epoch = Some(epoch);
            let holders = self.hosts[h].node.members.holders().into_iter();
            let holders =
                holders.map(|m| Holder { life: m.incarnation.clone(), address: m.peer.clone() });
            let holders = holders.collect();
            self.hosts[h].keeper.set_holders(holders);
        }
        self.pump(h);
        self.check_limits()
    }

    fn publish(&mut self, h: usize) -> Result<(), String> {
        let now = self.local(h);
        let host = &mut self.hosts[h];
        if !host.node.take_changed() {
            return Ok(());
        }
        let view = host.node.view(now, &mut host.builder);
        let broken = self.schedule.broken == Broken::IgnoredWithdrawal;
        if !(broken && host.view.revision > 0) {
            host.view = view;
        }
        let mut reverted = None;
        for entry in host.node.store.iter() {
            let seen = host.seen.entry(entry.key.clone()).or_default();
            if entry.version < *seen {
                reverted =
                    Some(format!("{} went back from {seen} to {}", entry.key, entry.version));
            }
            *seen = entry.version;
        }
        if let Some(what) = reverted {
            return self.fail(what);
        }
        let view = self.hosts[h].view.clone();
        self.hosts[h].node.quarantine(&view);
        self.note_in_force();
        Ok(())
    }

    /// Notes when the last host had each revision in force.
    fn note_in_force(&mut self) {
        let up = self.hosts.iter().filter(|h| h.up);
        let least = up.map(|h| h.view.revision).min().unwrap_or(0);
        let reached: Vec<u64> = self.in_force.range(..=least).map(|(r, _)| *r).collect();
        for revision in reached {
            let accepted = self.in_force.remove(&revision).expect("it was listed");
            self.seen.in_force_ms.push(self.now - accepted);
        }
    }

    fn act(&mut self, h: usize, action: Action) {
        let life = self.hosts[h].life;
        match action {
            Action::Log(..) => {}
            Action::Exchange { to, message, .. } => {
                self.seen.messages += 1;
                self.seen.bytes += serde_json::to_string(&message).map_or(0, |s| s.len() as u64);
                let target = self.index(&to);
                let arrives = self.latency().filter(|_| self.reachable(h, target));
                let sent_at = self.local(h);
                match arrives {
                    Some(ms) => {
                        let message = Box::new(message);
                        let event = Event::Exchange { to: target, from: h, life, sent_at, message };
                        self.at(self.now + ms, event);
                    }
                    None => {
                        self.at(self.now + CALL_TIMEOUT_MS, Event::Failed { at: h, life, to });
                    }
                }
            }
            Action::Probe { via, target, .. } => {
                let (v, t) = (self.index(&via), self.index(&target));
                let paused = self.hosts[t].paused_until > self.now;
                let reached = self.reachable(h, v) && self.reachable(v, t) && !paused;
                self.at(self.now + 60, Event::Probed { at: h, life, target, reached });
            }
        }
    }

    fn exchange(&mut self, to: usize, from: usize, life: u64, sent_at: Millis, message: Exchange) {
        let now = self.local(to);
        let nonce = message.nonce;
        let from_instant = Instant::now();
        let reply = self.hosts[to].node.on_exchange(now, message);
        self.seen.node_ns += from_instant.elapsed().as_nanos() as u64;
        self.seen.messages += 1;
        self.seen.bytes += serde_json::to_string(&reply).map_or(0, |s| s.len() as u64);
        let name = self.hosts[to].name.clone();
        match self.latency().filter(|_| self.reachable(to, from)) {
            Some(ms) => {
                let message = Box::new(reply);
                let event = Event::Reply { to: from, from: name, life, sent_at, nonce, message };
                self.at(self.now + ms, event);
            }
            None => {
                let event = Event::Failed { at: from, life, to: name };
                self.at(self.now + CALL_TIMEOUT_MS, event);
            }
        }
    }

    /// The operator touches an object, and withdraws a version in the second half.
    fn operate(&mut self) {
        if self.now > self.schedule.length_ms {
            return;
        }
        let gap = self.rng.random_range(1_000..5_000);
        self.at(self.now + gap, Event::Operator);
        if !self.platform.up {
            return;
        }
        let withdraws = self.now > self.schedule.length_ms / 2;
        let version =
            if self.schedule.seed.is_multiple_of(3) { old_version() } else { new_version() };
        let (key, object) = match withdraws {
            true => {
                let withdrawal = Withdrawal { generation: 1, reason: String::new() };
                (ObjectKey::new(Kind::Withdrawal, version), Object::Withdrawal(withdrawal))
            }
            false => first_objects().swap_remove(3),
        };
        let present = self.platform.objects.get(&key).map_or(0, |e| e.version);
        if let Some(revision) = self.platform.write(self.now, &key, present, Some(object.to_json()))
        {
            self.in_force.insert(revision, self.now);
        }
    }
}

impl Platform {
    fn write(
        &mut self,
        now: u64,
        key: &ObjectKey,
        expected: u64,
        body: Option<String>,
    ) -> Option<u64> {
        let present = self.objects.get(key).map_or(0, |e| e.version);
        if present != expected {
            return None;
        }
        self.revision += 1;
        let version = self.revision;
        let entry = Entry { key: key.clone(), version, body: body.map(Into::into) };
        self.objects.insert(key.clone(), entry);
        self.writes.push((now, key.clone(), version));
        Some(version)
    }
}
