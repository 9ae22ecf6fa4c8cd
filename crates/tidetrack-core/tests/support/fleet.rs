//! Hosts of a fleet together, on virtual time: messages are lost, changes of the store come late, and
//! the larger they are, the more of a host's link they take.

use std::net::SocketAddr;
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::ids::ServiceId;
use tidetrack_core::placement::hash_fraction;
use tidetrack_core::traffic::bootstrap::{is_well_connected, BootstrapInfo};
use tidetrack_core::traffic::canary::{
    ProgressWrite, ReleaseTrack, RolloutOrder, DEFAULT_EXPOSURE_BOUND,
};
use tidetrack_core::traffic::control::{Action, FleetState, Input};
use tidetrack_core::traffic::exposure::{ExposureBound, SessionHash};
use tidetrack_core::traffic::feeds::{FeedKind, Fetch, FetchSource, ReplyLimiter};
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::peers::{PeerMessage, PeerTable};
use tidetrack_core::traffic::view::FleetView;
use tidetrack_core::units::{Bandwidth, Millis};

use super::links::{End, Ended, Links};
use super::{caught_up, host, host_at, id, rollouts, with_endpoints, with_endpoints_again};

/// Time between the reads of a host that proves the configuration.
pub const PROVE_EVERY: u64 = 1_500;

/// Time on the way of a message.
pub const ON_THE_WAY: u64 = 2;

/// Share of the messages that are lost.
pub const LOST: f64 = 0.03;

/// Step of the virtual clock.
pub const STEP: usize = 50;

/// Bytes of a change of an endpoint.
pub const ENDPOINT_BYTES: u64 = 400;

/// Pause between the words that a large reply is coming in, as the plane has it.
pub const WORD_EVERY: u64 = 200;

/// Latest that a host hears of a change of a roll-out.
pub const LATEST_WORD: u64 = 600;

/// Time for which a session is held after a request's start.
pub const HOLD_FOR: Millis = Millis(13_000);

pub struct FleetHost {
    pub beliefs: FleetState,
    pub fresh: Freshness,
    /// When it proves the configuration next, if it does.
    pub proves_at: u64,
    pub view: Option<Arc<FleetView>>,
}

/// Changes that come to a host.
#[derive(Clone, Debug)]
pub enum Coming {
    /// What it asked for, up to where; `None` if that fails.
    Caught(usize, Fetch, Option<u64>),
    /// What the store shows a host that watches it.
    Watched(usize, FeedKind, u64),
}

/// Addresses of hosts that all know from the start.
const SEEDS: u32 = 3;

/// The store's link.
const STORE_LINK: Bandwidth = Bandwidth(1_000.0);

/// A fleet that starts as a whole.
pub struct ColdStart {
    pub hosts: u32,
    pub domains: u32,
    /// Hosts with strong links.
    pub strong: u32,
    pub strong_link: Bandwidth,
    pub weak_link: Bandwidth,
    /// Changes of endpoints that the store holds.
    pub endpoints: u64,
    pub catalog_bytes: u64,
}

impl ColdStart {
    fn link_of(&self, n: u32) -> Bandwidth {
        if n <= self.strong {
            self.strong_link
        } else {
            self.weak_link
        }
    }
}

pub struct Fleet {
    pub hosts: Vec<FleetHost>,
    pub seed: StdRng,
    pub now: u64,
    /// The store's newest revision of the endpoints.
    pub revision: u64,
    /// What the hosts know of it.
    pub known: Vec<u64>,
    /// The store's newest revision of the configuration, and the bytes of a change.
    pub catalog: (u64, u64),
    /// What the hosts know of it.
    pub known_catalog: Vec<u64>,
    /// Replies with the newest configuration that each host began to get.
    pub copies: Vec<usize>,
    /// What each host gives to others.
    pub giving: Vec<ReplyLimiter>,
    /// The links, and the changes that are under way over them.
    pub links: Links<Coming>,
    /// Hosts that do not answer others.
    pub deaf: Vec<usize>,
    /// Hosts whose machines are suspended: they do nothing, and what is sent to them is lost.
    pub suspended: Vec<usize>,
    /// Hosts that hear each other only; the rest hear each other.
    pub cut_off: Vec<usize>,
    /// Whether the store shows those that watch it nothing.
    pub are_watchers_blind: bool,
    /// Whether the store fails the calls of hosts that do not watch it.
    pub store_is_down: bool,
    /// Calls to the store by hosts that do not watch it.
    pub calls: usize,
    /// Bytes of changes that hosts gave each other.
    pub given_bytes: u64,
    /// The roll-out as it stands in the store.
    pub rollout: Option<RolloutOrder>,
    /// When hosts hear of the roll-out's states.
    pub told: Vec<(u64, usize, RolloutOrder)>,
    /// Messages sent in the last step.
    pub on_the_way: Vec<(SocketAddr, PeerMessage)>,
    pub sent: usize,
}

impl Fleet {
    /// Starts hosts that each have read the store.
    pub fn start(hosts: u32, seed: u64) -> Fleet {
        Fleet::start_bounded(hosts, seed, DEFAULT_EXPOSURE_BOUND)
    }

    /// Starts hosts that keep versions under roll-out to a bound.
    pub fn start_bounded(hosts: u32, seed: u64, bound: ExposureBound) -> Fleet {
        let start = |n| {
            let fresh = Freshness::default();
            fresh.record_proof(Millis(0));
            let proves_at = u64::from(n) * 17 % PROVE_EVERY;
            let beliefs = with_endpoints(n, &fresh).with_exposure_bound(bound);
            FleetHost { beliefs, fresh, proves_at, view: None }
        };
        let mut fleet = Fleet {
            hosts: (1..=hosts).map(start).collect(),
            seed: StdRng::seed_from_u64(seed),
            now: 0,
            revision: 10,
            known: vec![10; hosts as usize],
            catalog: (10, 0),
            known_catalog: vec![10; hosts as usize],
            copies: vec![0; hosts as usize],
            giving: vec![ReplyLimiter::new(Bandwidth(f64::INFINITY)); hosts as usize],
            links: Links::wide(hosts as usize),
            deaf: Vec::new(),
            suspended: Vec::new(),
            cut_off: Vec::new(),
            are_watchers_blind: false,
            store_is_down: false,
            calls: 0,
            given_bytes: 0,
            rollout: None,
            told: Vec::new(),
            on_the_way: Vec::new(),
            sent: 0,
        };
        for i in 0..fleet.hosts.len() {
            fleet.take(i, caught_up(FeedKind::Endpoints, 10));
            fleet.take(i, caught_up(FeedKind::Catalog, 10));
            fleet.take(i, rollouts(Vec::new()));
            fleet.take(i, caught_up(FeedKind::Rollouts, 10));
        }
        fleet
    }

    /// Starts hosts that know nothing but three others, of which the first ones of each failure domain have strong
    /// links. The store holds so many changes of endpoints, and a configuration of so many bytes.
    pub fn start_cold(starts: &ColdStart, seed: u64) -> Fleet {
        let hosts = starts.hosts;
        let start = |n: u32| {
            let link = starts.link_of(n);
            let is_seed = n <= SEEDS;
            let starter = BootstrapInfo {
                link,
                is_seed,
                random_fraction: hash_fraction("start", &format!("{n} {seed}")),
            };
            let (name, address) = host(n);
            let seeds = (1..=SEEDS).map(|n| host(n).1).collect();
            let domain = id(&format!("hall-{}", n % starts.domains));
            let book = PeerTable::new(name, address, domain, seeds)
                .with_well_connected(is_well_connected(link));
            let beliefs = FleetState::new(host(n).0, book).with_bootstrap(Millis(0), starter);
            FleetHost { beliefs, fresh: Freshness::default(), proves_at: PROVE_EVERY, view: None }
        };
        let all = hosts as usize;
        let mut fleet = Fleet {
            hosts: (1..=hosts).map(start).collect(),
            seed: StdRng::seed_from_u64(seed),
            now: 0,
            revision: starts.endpoints,
            known: vec![0; all],
            catalog: (starts.endpoints, starts.catalog_bytes),
            known_catalog: vec![0; all],
            copies: vec![0; all],
            giving: Vec::new(),
            links: Links::wide(all),
            deaf: Vec::new(),
            suspended: Vec::new(),
            cut_off: Vec::new(),
            are_watchers_blind: true,
            store_is_down: false,
            calls: 0,
            given_bytes: 0,
            rollout: None,
            told: Vec::new(),
            on_the_way: Vec::new(),
            sent: 0,
        };
        let bytes_a_ms = |link: Bandwidth| link.bytes_in(Millis(1)) as f64;
        let links = (1..=hosts).map(|n| bytes_a_ms(starts.link_of(n))).collect();
        fleet.set_links(links, bytes_a_ms(STORE_LINK));
        // Of roll-outs there is none.
        (0..all).for_each(|i| fleet.take(i, caught_up(FeedKind::Rollouts, 1)));
        fleet
    }

    /// Starts a host again that holds nothing of before, with the roll-out as it stands in the store.
    pub fn restart(&mut self, i: usize) {
        let (n, incarnation) = (i as u32 + 1, self.now);
        let fresh = Freshness::default();
        fresh.record_proof(Millis(self.now));
        let beliefs = with_endpoints_again(n, incarnation, &fresh);
        let proves_at = self.now + PROVE_EVERY;
        self.hosts[i] = FleetHost { beliefs, fresh, proves_at, view: None };
        self.told.retain(|(_, to, _)| *to != i);
        self.take(i, caught_up(FeedKind::Endpoints, self.revision));
        self.take(i, caught_up(FeedKind::Catalog, self.catalog.0));
        let orders = self.rollout.iter().cloned().collect();
        self.take(i, rollouts(orders));
        self.take(i, caught_up(FeedKind::Rollouts, self.revision));
    }

    /// Lets time pass to `until`; `look` is shown each host at each step.
    pub fn run(&mut self, until: u64, mut look: impl FnMut(u64, &FleetHost)) {
        while self.now < until {
            self.now += STEP as u64;
            self.deliver();
            self.catch();
            self.tell_rollout();
            let all = 0..self.hosts.len();
            let awake: Vec<usize> = all.filter(|i| !self.suspended.contains(i)).collect();
            for i in awake {
                self.prove(i);
                self.watch(i);
                self.take(i, Input::Tick);
                look(self.now, &self.hosts[i]);
            }
        }
    }

    /// Lets a host read the configuration, if it proves it and the time has come.
    pub fn prove(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        if host.beliefs.is_prover() && self.now >= host.proves_at {
            host.fresh.record_proof(Millis(self.now));
            host.proves_at = self.now + PROVE_EVERY;
            self.take(i, Input::StoreRevisionSeen(self.revision));
        }
    }

    /// Lets a host that watches the store see its changes.
    pub fn watch(&mut self, i: usize) {
        if !self.hosts[i].beliefs.is_watcher() || self.are_watchers_blind {
            return;
        }
        for kind in [FeedKind::Catalog, FeedKind::Endpoints] {
            let (known, newest) = (self.known(i, kind), self.newest(kind));
            let is_kind = |c: &&Coming| matches!(c, Coming::Watched(_, k, _) if *k == kind);
            if known >= newest || self.links.under_way_to(i).any(|c| is_kind(&c)) {
                continue;
            }
            if self.links.is_wide(i) {
                self.caught_up(i, kind, newest);
            } else {
                let bytes = self.bytes_of(kind, known, newest);
                self.note_copy(i, kind, known, Some(newest));
                let load = Coming::Watched(i, kind, newest);
                self.links.begin(self.now, End::Store, i, bytes, load);
            }
        }
    }

    /// Gets what a host knows of a kind.
    fn known(&self, i: usize, kind: FeedKind) -> u64 {
        match kind {
            FeedKind::Catalog => self.known_catalog[i],
            FeedKind::Endpoints => self.known[i],
            FeedKind::Rollouts => unreachable!("hosts are told of roll-outs"),
        }
    }

    /// Gets the store's newest revision of a kind.
    fn newest(&self, kind: FeedKind) -> u64 {
        match kind {
            FeedKind::Catalog => self.catalog.0,
            FeedKind::Endpoints => self.revision,
            FeedKind::Rollouts => unreachable!("hosts are told of roll-outs"),
        }
    }

    /// Takes note of a copy of the newest configuration that a host begins to get.
    fn note_copy(&mut self, i: usize, kind: FeedKind, after: u64, to: Option<u64>) {
        let is_newest = to.is_some_and(|to| to > after && to == self.catalog.0);
        self.copies[i] += usize::from(kind == FeedKind::Catalog && is_newest);
    }

    /// Gets the bytes of the changes of a kind after a revision.
    fn bytes_of(&self, kind: FeedKind, after: u64, to: u64) -> u64 {
        match kind {
            // Only the newest is given.
            FeedKind::Catalog => self.catalog.1 * u64::from(to > after),
            FeedKind::Endpoints | FeedKind::Rollouts => ENDPOINT_BYTES * to.saturating_sub(after),
        }
    }

    /// Gives all hosts links of so many bytes a millisecond.
    pub fn set_links(&mut self, links: Vec<f64>, store: f64) {
        const BITS_A_BYTE: f64 = 8.0;
        // Bytes a millisecond are thousands a second, and a link is told in millions of bits.
        let giving = |link: &f64| ReplyLimiter::new(Bandwidth(link * BITS_A_BYTE / 1e3));
        self.giving = links.iter().map(giving).collect();
        (self.links.hosts, self.links.store) = (links, store);
    }

    pub fn caught_up(&mut self, i: usize, kind: FeedKind, to: u64) {
        let known = match kind {
            FeedKind::Catalog => &mut self.known_catalog[i],
            FeedKind::Endpoints | FeedKind::Rollouts => &mut self.known[i],
        };
        *known = (*known).max(to);
        let newest = *known;
        self.links.drop_large(i, |coming| match coming {
            Coming::Caught(_, catch, _) => catch.kind == kind && catch.after < newest,
            Coming::Watched(_, k, _) => *k == kind,
        });
        self.take(i, Input::CaughtUp { kind, complete: to, changed: Some(to) });
    }

    /// Gives hosts what they asked for.
    pub fn catch(&mut self) {
        for ended in self.links.pass(self.now) {
            match ended {
                Ended::Whole(Coming::Caught(i, catch, Some(to))) => {
                    self.caught_up(i, catch.kind, to);
                }
                Ended::Whole(Coming::Caught(i, catch, None))
                | Ended::Late(Coming::Caught(i, catch, _)) => {
                    self.take(i, Input::FetchFailed(catch));
                }
                Ended::Whole(Coming::Watched(i, kind, to)) => self.caught_up(i, kind, to),
                // The watch begins anew.
                Ended::Late(Coming::Watched(..)) => {}
            }
        }
        for (from, bytes) in std::mem::take(&mut self.links.given) {
            self.giving[from].end(bytes);
        }
        if self.now.is_multiple_of(WORD_EVERY) {
            let is_coming = |i: &usize| self.links.is_large_coming(*i);
            let told: Vec<usize> = (0..self.hosts.len()).filter(is_coming).collect();
            told.into_iter().for_each(|i| self.take(i, Input::ReplyStarted(FeedKind::Catalog)));
        }
    }

    /// Asks for changes at once, where the plane waits for a large reply that is coming in: so what the
    /// decisions ask for too often is seen.
    pub fn begin_to_catch(&mut self, i: usize, catch: Fetch) {
        let (from, to) = match catch.source {
            FetchSource::Store => {
                self.calls += 1;
                (End::Store, (!self.store_is_down).then_some(self.newest(catch.kind)))
            }
            FetchSource::Host(address) => {
                let from = host_at(address).filter(|i| *i < self.hosts.len());
                let from = from.expect("a host of the fleet");
                let is_heard = !self.deaf.contains(&from);
                (End::Host(from), is_heard.then(|| self.known(from, catch.kind)))
            }
        };
        let mut to = to;
        let mut bytes = to.map_or(0, |to| self.bytes_of(catch.kind, catch.after, to));
        if let End::Host(from) = from {
            if !self.giving[from].try_begin(bytes) {
                // It declines, because its link has enough to do.
                (to, bytes) = (None, 0);
            }
            self.given_bytes += bytes;
        }
        self.note_copy(i, catch.kind, catch.after, to);
        self.links.begin(self.now, from, i, bytes, Coming::Caught(i, catch, to));
    }

    pub fn deliver(&mut self) {
        // A message is answered at once, so there is one more way within a step.
        for _ in 0..2 {
            for (address, message) in std::mem::take(&mut self.on_the_way) {
                let to = host_at(address).filter(|i| *i < self.hosts.len());
                let is_cut_off = |i: Option<usize>| i.is_some_and(|i| self.cut_off.contains(&i));
                let is_cut = is_cut_off(to) != is_cut_off(host_at(message.address));
                let to = to.filter(|i| !is_cut && !self.suspended.contains(i));
                if let Some(to) = to.filter(|_| self.seed.random::<f64>() >= LOST) {
                    self.take(to, Input::PeerMessageReceived(Box::new(message)));
                }
            }
        }
    }

    pub fn take(&mut self, i: usize, input: Input) {
        let (mut wanted, mut written) = (Vec::new(), Vec::new());
        let host = &mut self.hosts[i];
        for action in host.beliefs.handle_input(Millis(self.now + ON_THE_WAY), input, &host.fresh) {
            match action {
                Action::SendMessages(messages) => {
                    self.sent += messages.len();
                    self.on_the_way.extend(messages);
                }
                Action::ConfigConfirmed(began) => host.fresh.record_proof(began),
                Action::Fetch(catch) => wanted.push(catch),
                Action::PublishView(view) => host.view = Some(view),
                Action::WriteProgress(write) => written.push(write),
                _ => {}
            }
        }
        wanted.into_iter().for_each(|catch| self.begin_to_catch(i, catch));
        written.into_iter().for_each(|write| self.write(write));
    }

    /// Takes a write of the roll-out's progress, if it is based on the newest state.
    pub fn write(&mut self, write: ProgressWrite) {
        let Some(order) = self.rollout.clone().filter(|o| o.revision == write.revision) else {
            return;
        };
        let (revision, progress) = (order.revision + 1, Some(write.progress));
        self.order(RolloutOrder { revision, progress, ..order });
    }

    /// Changes the roll-out; hosts hear of it at different times.
    pub fn order(&mut self, order: RolloutOrder) {
        for i in 0..self.hosts.len() {
            let at = self.now + self.seed.random_range(20..LATEST_WORD);
            self.told.push((at, i, order.clone()));
        }
        self.rollout = Some(order);
    }

    pub fn tell_rollout(&mut self) {
        let now = self.now;
        let (ready, later) = std::mem::take(&mut self.told).into_iter().partition(|t| t.0 <= now);
        self.told = later;
        for (_, i, order) in ready {
            self.take(i, Input::Rollout(order));
        }
    }

    /// Sends a request of a session to a host; gets the side it goes to.
    pub fn request(&mut self, i: usize, session: &str) -> ReleaseTrack {
        self.call(i, SessionHash::new(Some(session), "r"), HOLD_FOR)
    }

    /// Sends a request to a host; gets the side it goes to.
    pub fn call(&mut self, i: usize, who: SessionHash, hold_for: Millis) -> ReleaseTrack {
        let host = &self.hosts[i];
        let view = host.view.as_ref().expect("a view");
        let service = &view.services[&id::<ServiceId>("llm")];
        let side = service.side(Millis(self.now), who, hold_for);
        if side == ReleaseTrack::Canary {
            service.exposure.record_canary_attempt(false);
        }
        side
    }

    /// Changes the configuration by so many bytes.
    pub fn change_catalog(&mut self, bytes: u64) {
        self.catalog = (self.catalog.0 + 1, bytes);
        self.copies.fill(0);
    }

    /// Lets time pass until all hosts know the newest configuration, or to `until`; gets the time.
    pub fn run_until_catalog(&mut self, until: u64) -> u64 {
        while self.now < until && self.known_catalog.iter().any(|k| *k < self.catalog.0) {
            self.run(self.now + STEP as u64, |_, _| {});
        }
        self.now
    }

    /// Changes the store and lets time pass until all hosts know; gets how long that took.
    pub fn change(&mut self) -> u64 {
        self.revision += 1;
        let began = self.now;
        while self.known.iter().any(|k| *k < self.revision) {
            self.run(self.now + STEP as u64, |_, _| {});
            assert!(self.now < began + 10_000, "{:?}", self.known);
        }
        self.now - began
    }
}
