//! Hosts of a large fleet together, on virtual time: what they tell each other has to suffice, for
//! calls to the store must not grow with them.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::ids::ServiceId;
use tidetrack_core::traffic::control::{Action, Beliefs, Input};
use tidetrack_core::traffic::exposure::SessionDraw;
use tidetrack_core::traffic::feeds::{Catch, Kind, Source};
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::peers::PeerMessage;
use tidetrack_core::traffic::trial::{ProgressWrite, RolloutOrder, Side};
use tidetrack_core::traffic::view::FleetView;
use tidetrack_core::units::Millis;

use support::{host, id, order, record, view_of, with_endpoints};

/// Time between the reads of a host that proves the configuration.
const PROVE_EVERY: u64 = 1_500;

/// Time on the way of a message.
const ON_THE_WAY: u64 = 2;

/// Share of the messages that are lost.
const LOST: f64 = 0.03;

/// Step of the virtual clock.
const STEP: usize = 50;

/// Time that getting changes from a host or the store takes.
const CATCH_TIME: u64 = 10;

/// Latest that a host hears of a change of a roll-out.
const LATEST_WORD: u64 = 600;

/// Time for which a session is held after a request's start.
const HOLD_FOR: Millis = Millis(13_000);

struct FleetHost {
    beliefs: Beliefs,
    fresh: Freshness,
    /// When it proves the configuration next, if it does.
    proves_at: u64,
    view: Option<Arc<FleetView>>,
}

struct Fleet {
    hosts: Vec<FleetHost>,
    seed: StdRng,
    now: u64,
    /// The store's newest revision; all its changes are endpoints'.
    revision: u64,
    /// What the hosts know of it.
    known: Vec<u64>,
    /// Changes that are being got: when they come, by which host, up to where; `None` if that fails.
    catching: Vec<(u64, usize, Catch, Option<u64>)>,
    /// Hosts that do not answer others.
    deaf: Vec<usize>,
    /// Whether the store fails the calls of hosts that do not watch it.
    store_is_down: bool,
    /// Calls to the store by hosts that do not watch it.
    calls: usize,
    /// The roll-out as it stands in the store.
    rollout: Option<RolloutOrder>,
    /// When hosts hear of the roll-out's states.
    told: Vec<(u64, usize, RolloutOrder)>,
    /// Messages sent in the last step.
    on_the_way: Vec<(SocketAddr, PeerMessage)>,
    sent: usize,
}

impl Fleet {
    /// Starts hosts that each have read the store.
    fn start(hosts: u32, seed: u64) -> Fleet {
        let start = |n| {
            let fresh = Freshness::default();
            fresh.proved(Millis(0));
            let proves_at = u64::from(n) * 17 % PROVE_EVERY;
            FleetHost { beliefs: with_endpoints(n, &fresh), fresh, proves_at, view: None }
        };
        let mut fleet = Fleet {
            hosts: (1..=hosts).map(start).collect(),
            seed: StdRng::seed_from_u64(seed),
            now: 0,
            revision: 10,
            known: vec![10; hosts as usize],
            catching: Vec::new(),
            deaf: Vec::new(),
            store_is_down: false,
            calls: 0,
            rollout: None,
            told: Vec::new(),
            on_the_way: Vec::new(),
            sent: 0,
        };
        for i in 0..fleet.hosts.len() {
            let listed = Input::CaughtUp { kind: Kind::Endpoints, complete: 10, changed: None };
            fleet.take(i, listed);
            fleet.take(i, Input::RolloutList(Vec::new()));
        }
        fleet
    }

    /// Lets time pass to `until`; `look` is shown each host at each step.
    fn run(&mut self, until: u64, mut look: impl FnMut(u64, &FleetHost)) {
        while self.now < until {
            self.now += STEP as u64;
            self.deliver();
            self.catch();
            self.tell_rollout();
            for i in 0..self.hosts.len() {
                self.prove(i);
                self.watch(i);
                self.take(i, Input::Tick);
                look(self.now, &self.hosts[i]);
            }
        }
    }

    /// Lets a host read the configuration, if it proves it and the time has come.
    fn prove(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        if host.beliefs.is_prover() && self.now >= host.proves_at {
            host.fresh.proved(Millis(self.now));
            host.proves_at = self.now + PROVE_EVERY;
        }
    }

    /// Lets a host that watches the store see its changes.
    fn watch(&mut self, i: usize) {
        if self.hosts[i].beliefs.is_watcher() && self.known[i] < self.revision {
            self.caught_up(i, self.revision);
        }
    }

    fn caught_up(&mut self, i: usize, to: u64) {
        self.known[i] = self.known[i].max(to);
        let changed = Some(to);
        self.take(i, Input::CaughtUp { kind: Kind::Endpoints, complete: to, changed });
    }

    /// Gives hosts what they asked for.
    fn catch(&mut self) {
        let now = self.now;
        let (ready, later) =
            std::mem::take(&mut self.catching).into_iter().partition(|c| c.0 <= now);
        self.catching = later;
        for (_, i, catch, to) in ready {
            match to {
                Some(to) => self.caught_up(i, to),
                None => self.take(i, Input::CatchFailed(catch)),
            }
        }
    }

    fn begin_to_catch(&mut self, i: usize, catch: Catch) {
        assert_eq!(catch.kind, Kind::Endpoints);
        let to = match catch.source {
            Source::Store => {
                self.calls += 1;
                (!self.store_is_down).then_some(self.revision)
            }
            Source::Host(address) => {
                let from = (0..self.hosts.len()).find(|i| host(*i as u32 + 1).1 == address);
                from.filter(|from| !self.deaf.contains(from)).map(|from| self.known[from])
            }
        };
        self.catching.push((self.now + CATCH_TIME, i, catch, to));
    }

    fn deliver(&mut self) {
        // A message is answered at once, so there is one more way within a step.
        for _ in 0..2 {
            for (address, message) in std::mem::take(&mut self.on_the_way) {
                let to = (0..self.hosts.len()).find(|i| host(*i as u32 + 1).1 == address);
                if let Some(to) = to.filter(|_| self.seed.random::<f64>() >= LOST) {
                    self.take(to, Input::Heard(message));
                }
            }
        }
    }

    fn take(&mut self, i: usize, input: Input) {
        let (mut wanted, mut written) = (Vec::new(), Vec::new());
        let host = &mut self.hosts[i];
        for action in host.beliefs.take(Millis(self.now + ON_THE_WAY), input, &host.fresh) {
            match action {
                Action::Send(messages) => {
                    self.sent += messages.len();
                    self.on_the_way.extend(messages);
                }
                Action::Proved(began) => host.fresh.proved(began),
                Action::Catch(catch) => wanted.push(catch),
                Action::Publish(view) => host.view = Some(view),
                Action::Write(write) => written.push(write),
                _ => {}
            }
        }
        wanted.into_iter().for_each(|catch| self.begin_to_catch(i, catch));
        written.into_iter().for_each(|write| self.write(write));
    }

    /// Takes a write of the roll-out's progress, if it is based on the newest state.
    fn write(&mut self, write: ProgressWrite) {
        let Some(order) = self.rollout.clone().filter(|o| o.revision == write.revision) else {
            return;
        };
        let (revision, progress) = (order.revision + 1, Some(write.progress));
        self.order(RolloutOrder { revision, progress, ..order });
    }

    /// Changes the roll-out; hosts hear of it at different times.
    fn order(&mut self, order: RolloutOrder) {
        for i in 0..self.hosts.len() {
            let at = self.now + self.seed.random_range(20..LATEST_WORD);
            self.told.push((at, i, order.clone()));
        }
        self.rollout = Some(order);
    }

    fn tell_rollout(&mut self) {
        let now = self.now;
        let (ready, later) = std::mem::take(&mut self.told).into_iter().partition(|t| t.0 <= now);
        self.told = later;
        for (_, i, order) in ready {
            self.take(i, Input::Rollout(order));
        }
    }

    /// Sends a request of a session to a host; gets the side it goes to.
    fn request(&mut self, i: usize, session: &str) -> Side {
        let host = &self.hosts[i];
        let view = host.view.as_ref().expect("a view");
        let service = &view.services[&id::<ServiceId>("llm")];
        let side = service.side(Millis(self.now), SessionDraw::new(Some(session), "r"), HOLD_FOR);
        if side == Side::New {
            service.exposure.sent_to_new();
        }
        side
    }

    /// Changes the store and lets time pass until all hosts know; gets how long that took.
    fn change(&mut self) -> u64 {
        self.revision += 1;
        let began = self.now;
        while self.known.iter().any(|k| *k < self.revision) {
            self.run(self.now + STEP as u64, |_, _| {});
            assert!(self.now < began + 10_000, "{:?}", self.known);
        }
        self.now - began
    }
}

/// Age of the proof at which a host reads the configuration itself.
const PROOF_WANTED: Millis = Millis(2_500);

#[test]
fn proofs_of_a_few_hosts_keep_a_large_fleet_from_reading_the_configuration() {
    let mut fleet = Fleet::start(83, 1);
    fleet.run(3_000, |_, _| {});
    let mut too_old = 0;
    let mut looks = 0;

    fleet.run(13_000, |now, host| {
        looks += 1;
        let age = host.fresh.age(Millis(now)).expect("a proof");
        too_old += usize::from(age >= PROOF_WANTED);
    });

    let provers = fleet.hosts.iter().filter(|h| h.beliefs.is_prover()).count();
    assert_eq!(provers, 3);
    // A message and its repetition may both be lost.
    assert!(too_old * 500 < looks, "{too_old} of {looks}");
}

#[test]
fn messages_of_a_host_do_not_grow_with_the_fleet() {
    let sent_by_one = |hosts: u32| {
        let mut fleet = Fleet::start(hosts, 2);
        fleet.run(3_000, |_, _| {});
        fleet.sent = 0;
        fleet.run(8_000, |_, _| {});
        fleet.sent as f64 / f64::from(hosts) / 5.0
    };

    let (some, many) = (sent_by_one(20), sent_by_one(120));

    println!("messages a host and second: {some:.1} of 20 hosts, {many:.1} of 120");
    assert!(many < some * 1.1, "{some} {many}");
}
#[test]
fn a_fleet_that_starts_is_known_to_all_of_its_hosts_within_seconds() {
    let mut fleet = Fleet::start(83, 3);

    fleet.run(3_500, |_, _| {});

    let heard: Vec<usize> = fleet.hosts.iter().map(|h| h.beliefs.peers().len()).collect();
    assert!(heard.iter().all(|n| *n >= 80), "{heard:?}");
}

#[test]
fn changes_reach_a_large_fleet_from_the_few_that_watch_the_store() {
    let mut fleet = Fleet::start(83, 4);
    fleet.run(4_000, |_, _| {});

    let took: Vec<u64> = (0..20).map(|_| fleet.change()).collect();

    let watchers = fleet.hosts.iter().filter(|h| h.beliefs.is_watcher()).count();
    assert_eq!(watchers, 2);
    assert!(took.iter().all(|ms| *ms <= 1_000), "{took:?}");
    assert!(fleet.calls <= 20, "{} calls", fleet.calls);
}

#[test]
fn a_host_reads_the_store_itself_when_no_host_gives_it_a_change() {
    let mut fleet = Fleet::start(12, 5);
    fleet.run(4_000, |_, _| {});
    fleet.deaf = (0..12).collect();

    let took = fleet.change();

    assert!(took <= 1_000, "{took} ms");
    assert!((1..=10).contains(&fleet.calls), "{} calls", fleet.calls);
}

#[test]
fn a_host_that_can_get_a_change_nowhere_asks_the_store_now_and_then() {
    let mut fleet = Fleet::start(12, 6);
    fleet.run(4_000, |_, _| {});
    fleet.deaf = (0..12).collect();
    fleet.store_is_down = true;
    fleet.revision += 1;

    fleet.run(14_000, |_, _| {});

    // Ten hosts in ten seconds.
    assert!((50..=150).contains(&fleet.calls), "{} calls", fleet.calls);
}

/// A session whose requests follow each other, each at some host.
struct Session {
    name: String,
    next_at: u64,
    last: Option<Side>,
}

/// What sessions met in a roll-out.
#[derive(Debug, Default)]
struct Moves {
    /// Requests in the first half that met the new version after the old one.
    early: usize,
    /// Requests that met the old version after the new one.
    back: usize,
    /// Requests of the first half that met the new version, and all of it.
    sampled: usize,
    all: usize,
}

/// Plays a roll-out of 20 s under sessions whose requests come from 0.05 to 4 s after each other.
fn sessions_in_a_rollout(hosts: u32, sessions: usize, seed: u64) -> Moves {
    let mut fleet = Fleet::start(hosts, seed);
    fleet.run(4_000, |_, _| {});
    let mut seed = StdRng::seed_from_u64(seed + 1);
    let mut all: Vec<Session> = (0..sessions)
        .map(|n| Session {
            name: format!("s{n}"),
            next_at: seed.random_range(0..8_000),
            last: None,
        })
        .collect();
    let began = 9_000;
    let mut moves = Moves::default();
    for step in 0..500 {
        fleet.run(4_000 + (step + 1) * STEP as u64, |_, _| {});
        if fleet.now == began {
            fleet.order(order(1, None));
        }
        let is_first_half = (began..began + 10_000).contains(&fleet.now);
        let now = fleet.now;
        for session in all.iter_mut().filter(|s| s.next_at <= now) {
            let at = seed.random_range(0..hosts as usize);
            let side = fleet.request(at, &session.name);
            let is_early = is_first_half && side == Side::New && session.last == Some(Side::Proven);
            moves.early += usize::from(is_early);
            moves.back += usize::from(side == Side::Proven && session.last == Some(Side::New));
            moves.sampled += usize::from(is_first_half && side == Side::New);
            moves.all += usize::from(is_first_half);
            session.last = Some(side);
            // Some requests are short calls right after each other.
            let pause = if seed.random::<f64>() < 0.5 { 50..250 } else { 200..4_000 };
            session.next_at = fleet.now + seed.random_range(pause);
            // Now and then a reader begins a new session.
            if seed.random::<f64>() < 0.15 {
                session.name.push('x');
                session.last = None;
            }
        }
    }
    moves
}

#[test]
fn sessions_keep_their_version_through_a_rollout_of_a_large_fleet() {
    let all: Vec<Moves> = (1..=4).map(|seed| sessions_in_a_rollout(83, 900, seed)).collect();

    println!("{all:?}");
    assert!(all.iter().all(|m| m.early <= 3 && m.back <= 3), "{all:?}");
    assert!(all.iter().map(|m| m.early).sum::<usize>() <= 1, "{all:?}");
    assert!(all.iter().all(|m| m.sampled >= 20), "{all:?}");
}

#[test]
fn sessions_keep_their_version_through_a_rollout_of_a_small_fleet() {
    let moves = sessions_in_a_rollout(7, 300, 8);

    println!("{moves:?}");
    assert!(moves.early <= 3 && moves.back <= 3, "{moves:?}");
    assert!(moves.sampled * 100 <= moves.all * 14, "{moves:?}");
}

#[test]
fn many_changes_of_endpoints_make_few_views() {
    let fresh = Freshness::default();
    let mut beliefs = with_endpoints(1, &fresh);
    let mut views = Vec::new();
    // A service of a thousand endpoints is replaced in two seconds.
    for i in 0..1_000u64 {
        let now = Millis(1_000 + 2 * i);
        let new = record(&format!("i-{i}"), "v1");
        let actions = beliefs.take(now, Input::Endpoint(new), &fresh);
        views.extend(view_of(&actions).map(|view| (now, view)));
    }
    let last = view_of(&beliefs.take(Millis(3_100), Input::Tick, &fresh));

    assert!(views.len() <= 21, "{} views", views.len());
    let shown = last.expect("a view of the last changes");
    assert_eq!(shown.services[&id::<ServiceId>("llm")].proven.endpoints().len(), 1_004);
}
