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

use super::links::{LinkEnd, Links, TransferOutcome};
use super::{
    caught_up, host, host_at, id, rollouts, with_endpoints, with_endpoints_of_incarnation,
};

/// Time between the reads of a host that proves the configuration.
pub const PROOF_READ_INTERVAL: u64 = 1_500;

/// Time on the way of a message.
pub const MESSAGE_DELAY: u64 = 2;

/// Share of the messages that are lost.
pub const MESSAGE_LOSS: f64 = 0.03;

/// Step of the virtual clock.
pub const STEP: usize = 50;

/// Bytes of a change of an endpoint.
pub const ENDPOINT_CHANGE_BYTES: u64 = 400;

/// Pause between the words that a large reply is coming in, as the plane has it.
pub const RECEIVING_NOTICE_INTERVAL: u64 = 200;

/// Latest that a host hears of a change of a roll-out.
pub const MAX_ROLLOUT_DELAY: u64 = 600;

/// Time for which a session is held after a request's start.
pub const SESSION_HOLD_TIME: Millis = Millis(13_000);

pub struct FleetHost {
    pub fleet_state: FleetState,
    pub freshness: Freshness,
    /// When it proves the configuration next, if it does.
    pub next_proof_read_at: u64,
    pub view: Option<Arc<FleetView>>,
}

/// Changes that come to a host.
#[derive(Clone, Debug)]
pub enum IncomingChange {
    /// What it asked for, up to where; `None` if that fails.
    Fetched(usize, Fetch, Option<u64>),
    /// What the store shows a host that watches it.
    Watched(usize, FeedKind, u64),
}

/// Addresses of hosts that all know from the start.
const SEED_HOSTS: u32 = 3;

/// The store's link.
const STORE_LINK: Bandwidth = Bandwidth(1_000.0);

/// A fleet that starts as a whole.
pub struct ColdStartConfig {
    pub hosts: u32,
    pub domains: u32,
    /// Hosts with strong links.
    pub well_connected_hosts: u32,
    pub fast_link: Bandwidth,
    pub slow_link: Bandwidth,
    /// Changes of endpoints that the store holds.
    pub endpoints: u64,
    pub catalog_bytes: u64,
}

impl ColdStartConfig {
    fn link_bandwidth(&self, n: u32) -> Bandwidth {
        if n <= self.well_connected_hosts {
            self.fast_link
        } else {
            self.slow_link
        }
    }
}

pub struct Fleet {
    pub hosts: Vec<FleetHost>,
    pub rng: StdRng,
    pub now: u64,
    /// The store's newest revision of the endpoints.
    pub revision: u64,
    /// What the hosts know of it.
    pub known_endpoints: Vec<u64>,
    /// The store's newest revision of the configuration, and the bytes of a change.
    pub catalog: (u64, u64),
    /// What the hosts know of it.
    pub known_catalog: Vec<u64>,
    /// Replies with the newest configuration that each host began to get.
    pub catalog_copies: Vec<usize>,
    /// What each host gives to others.
    pub reply_limiters: Vec<ReplyLimiter>,
    /// The links, and the changes that are under way over them.
    pub links: Links<IncomingChange>,
    /// Hosts that do not answer others.
    pub unresponsive: Vec<usize>,
    /// Hosts whose machines are suspended: they do nothing, and what is sent to them is lost.
    pub suspended: Vec<usize>,
    /// Hosts that hear each other only; the rest hear each other.
    pub partitioned: Vec<usize>,
    /// Whether the store shows those that watch it nothing.
    pub are_watches_stalled: bool,
    /// Whether the store fails the calls of hosts that do not watch it.
    pub is_store_down: bool,
    /// Calls to the store by hosts that do not watch it.
    pub store_calls: usize,
    /// Bytes of changes that hosts gave each other.
    pub relayed_bytes: u64,
    /// The roll-out as it stands in the store.
    pub rollout: Option<RolloutOrder>,
    /// When hosts hear of the roll-out's states.
    pub pending_rollouts: Vec<(u64, usize, RolloutOrder)>,
    /// Messages sent in the last step.
    pub messages_in_transit: Vec<(SocketAddr, PeerMessage)>,
    pub messages_sent: usize,
}

impl Fleet {
    /// Starts hosts that each have read the store.
    pub fn start(hosts: u32, seed: u64) -> Fleet {
        Fleet::start_with_bound(hosts, seed, DEFAULT_EXPOSURE_BOUND)
    }

    /// Starts hosts that keep versions under roll-out to a bound.
    pub fn start_with_bound(hosts: u32, seed: u64, bound: ExposureBound) -> Fleet {
        let start = |n| {
            let freshness = Freshness::default();
            freshness.record_proof(Millis(0));
            let next_proof_read_at = u64::from(n) * 17 % PROOF_READ_INTERVAL;
            let fleet_state = with_endpoints(n, &freshness).with_exposure_bound(bound);
            FleetHost { fleet_state, freshness, next_proof_read_at, view: None }
        };
        let mut fleet = Fleet {
            hosts: (1..=hosts).map(start).collect(),
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            revision: 10,
            known_endpoints: vec![10; hosts as usize],
            catalog: (10, 0),
            known_catalog: vec![10; hosts as usize],
            catalog_copies: vec![0; hosts as usize],
            reply_limiters: vec![ReplyLimiter::new(Bandwidth(f64::INFINITY)); hosts as usize],
            links: Links::unlimited(hosts as usize),
            unresponsive: Vec::new(),
            suspended: Vec::new(),
            partitioned: Vec::new(),
            are_watches_stalled: false,
            is_store_down: false,
            store_calls: 0,
            relayed_bytes: 0,
            rollout: None,
            pending_rollouts: Vec::new(),
            messages_in_transit: Vec::new(),
            messages_sent: 0,
        };
        for i in 0..fleet.hosts.len() {
            fleet.handle_input(i, caught_up(FeedKind::Endpoints, 10));
            fleet.handle_input(i, caught_up(FeedKind::Catalog, 10));
            fleet.handle_input(i, rollouts(Vec::new()));
            fleet.handle_input(i, caught_up(FeedKind::Rollouts, 10));
        }
        fleet
    }

    /// Starts hosts that know nothing but three others, of which the first ones of each failure domain have strong
    /// links. The store holds so many changes of endpoints, and a configuration of so many bytes.
    pub fn start_cold(config: &ColdStartConfig, seed: u64) -> Fleet {
        let hosts = config.hosts;
        let start = |n: u32| {
            let link = config.link_bandwidth(n);
            let is_seed = n <= SEED_HOSTS;
            let bootstrap_info = BootstrapInfo {
                link,
                is_seed,
                random_fraction: hash_fraction("start", &format!("{n} {seed}")),
            };
            let (name, address) = host(n);
            let seeds = (1..=SEED_HOSTS).map(|n| host(n).1).collect();
            let failure_domain = id(&format!("hall-{}", n % config.domains));
            let peer_table = PeerTable::new(name, address, failure_domain, seeds)
                .with_well_connected(is_well_connected(link));
            let fleet_state =
                FleetState::new(host(n).0, peer_table).with_bootstrap(Millis(0), bootstrap_info);
            FleetHost {
                fleet_state,
                freshness: Freshness::default(),
                next_proof_read_at: PROOF_READ_INTERVAL,
                view: None,
            }
        };
        let host_count = hosts as usize;
        let mut fleet = Fleet {
            hosts: (1..=hosts).map(start).collect(),
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            revision: config.endpoints,
            known_endpoints: vec![0; host_count],
            catalog: (config.endpoints, config.catalog_bytes),
            known_catalog: vec![0; host_count],
            catalog_copies: vec![0; host_count],
            reply_limiters: Vec::new(),
            links: Links::unlimited(host_count),
            unresponsive: Vec::new(),
            suspended: Vec::new(),
            partitioned: Vec::new(),
            are_watches_stalled: true,
            is_store_down: false,
            store_calls: 0,
            relayed_bytes: 0,
            rollout: None,
            pending_rollouts: Vec::new(),
            messages_in_transit: Vec::new(),
            messages_sent: 0,
        };
        let bytes_per_ms = |link: Bandwidth| link.bytes_in(Millis(1)) as f64;
        let link_bandwidths = (1..=hosts).map(|n| bytes_per_ms(config.link_bandwidth(n))).collect();
        fleet.set_link_bandwidths(link_bandwidths, bytes_per_ms(STORE_LINK));
        // Of roll-outs there is none.
        (0..host_count).for_each(|i| fleet.handle_input(i, caught_up(FeedKind::Rollouts, 1)));
        fleet
    }

    /// Starts a host again that holds nothing of before, with the roll-out as it stands in the store.
    pub fn restart(&mut self, i: usize) {
        let (n, incarnation) = (i as u32 + 1, self.now);
        let freshness = Freshness::default();
        freshness.record_proof(Millis(self.now));
        let fleet_state = with_endpoints_of_incarnation(n, incarnation, &freshness);
        let next_proof_read_at = self.now + PROOF_READ_INTERVAL;
        self.hosts[i] = FleetHost { fleet_state, freshness, next_proof_read_at, view: None };
        self.pending_rollouts.retain(|(_, to, _)| *to != i);
        self.handle_input(i, caught_up(FeedKind::Endpoints, self.revision));
        self.handle_input(i, caught_up(FeedKind::Catalog, self.catalog.0));
        let orders = self.rollout.iter().cloned().collect();
        self.handle_input(i, rollouts(orders));
        self.handle_input(i, caught_up(FeedKind::Rollouts, self.revision));
    }

    /// Lets time pass to `until`; `observe` is shown each host at each step.
    pub fn run(&mut self, until: u64, mut observe: impl FnMut(u64, &FleetHost)) {
        while self.now < until {
            self.now += STEP as u64;
            self.deliver();
            self.deliver_transfers();
            self.deliver_rollout_orders();
            let all_hosts = 0..self.hosts.len();
            let active_hosts: Vec<usize> =
                all_hosts.filter(|i| !self.suspended.contains(i)).collect();
            for i in active_hosts {
                self.read_proof(i);
                self.deliver_watched_changes(i);
                self.handle_input(i, Input::Tick);
                observe(self.now, &self.hosts[i]);
            }
        }
    }

    /// Lets a host read the configuration, if it proves it and the time has come.
    pub fn read_proof(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        if host.fleet_state.is_prover() && self.now >= host.next_proof_read_at {
            host.freshness.record_proof(Millis(self.now));
            host.next_proof_read_at = self.now + PROOF_READ_INTERVAL;
            self.handle_input(i, Input::StoreRevisionSeen(self.revision));
        }
    }

    /// Lets a host that watches the store see its changes.
    pub fn deliver_watched_changes(&mut self, i: usize) {
        if !self.hosts[i].fleet_state.is_watcher() || self.are_watches_stalled {
            return;
        }
        for kind in [FeedKind::Catalog, FeedKind::Endpoints] {
            let (known, newest_revision) =
                (self.known_revision(i, kind), self.newest_revision(kind));
            let is_kind =
                |c: &&IncomingChange| matches!(c, IncomingChange::Watched(_, k, _) if *k == kind);
            if known >= newest_revision || self.links.payloads_to(i).any(|c| is_kind(&c)) {
                continue;
            }
            if self.links.is_unlimited(i) {
                self.record_caught_up(i, kind, newest_revision);
            } else {
                let bytes = self.change_bytes(kind, known, newest_revision);
                self.count_catalog_copy(i, kind, known, Some(newest_revision));
                let payload = IncomingChange::Watched(i, kind, newest_revision);
                self.links.begin_transfer(self.now, LinkEnd::Store, i, bytes, payload);
            }
        }
    }

    /// Gets what a host knows of a kind.
    fn known_revision(&self, i: usize, kind: FeedKind) -> u64 {
        match kind {
            FeedKind::Catalog => self.known_catalog[i],
            FeedKind::Endpoints => self.known_endpoints[i],
            FeedKind::Rollouts => unreachable!("hosts are told of roll-outs"),
        }
    }

    /// Gets the store's newest revision of a kind.
    fn newest_revision(&self, kind: FeedKind) -> u64 {
        match kind {
            FeedKind::Catalog => self.catalog.0,
            FeedKind::Endpoints => self.revision,
            FeedKind::Rollouts => unreachable!("hosts are told of roll-outs"),
        }
    }

    /// Takes note of a copy of the newest configuration that a host begins to get.
    fn count_catalog_copy(&mut self, i: usize, kind: FeedKind, after: u64, to: Option<u64>) {
        let is_newest = to.is_some_and(|to| to > after && to == self.catalog.0);
        self.catalog_copies[i] += usize::from(kind == FeedKind::Catalog && is_newest);
    }

    /// Gets the bytes of the changes of a kind after a revision.
    fn change_bytes(&self, kind: FeedKind, after: u64, to: u64) -> u64 {
        match kind {
            // Only the newest is given.
            FeedKind::Catalog => self.catalog.1 * u64::from(to > after),
            FeedKind::Endpoints | FeedKind::Rollouts => {
                ENDPOINT_CHANGE_BYTES * to.saturating_sub(after)
            }
        }
    }

    /// Gives all hosts links of so many bytes a millisecond.
    pub fn set_link_bandwidths(&mut self, host_bandwidths: Vec<f64>, store_bandwidth: f64) {
        const BITS_PER_BYTE: f64 = 8.0;
        // Bytes a millisecond are thousands a second, and a link is told in millions of bits.
        let limiter = |link: &f64| ReplyLimiter::new(Bandwidth(link * BITS_PER_BYTE / 1e3));
        self.reply_limiters = host_bandwidths.iter().map(limiter).collect();
        (self.links.host_bandwidths, self.links.store_bandwidth) =
            (host_bandwidths, store_bandwidth);
    }

    pub fn record_caught_up(&mut self, i: usize, kind: FeedKind, to: u64) {
        let known = match kind {
            FeedKind::Catalog => &mut self.known_catalog[i],
            FeedKind::Endpoints | FeedKind::Rollouts => &mut self.known_endpoints[i],
        };
        *known = (*known).max(to);
        let newest_revision = *known;
        self.links.drop_obsolete_large(i, |change| match change {
            IncomingChange::Fetched(_, fetch, _) => {
                fetch.kind == kind && fetch.after < newest_revision
            }
            IncomingChange::Watched(_, k, _) => *k == kind,
        });
        self.handle_input(i, Input::CaughtUp { kind, complete: to, changed: Some(to) });
    }

    /// Gives hosts what they asked for.
    pub fn deliver_transfers(&mut self) {
        for ended in self.links.advance(self.now) {
            match ended {
                TransferOutcome::Complete(IncomingChange::Fetched(i, fetch, Some(to))) => {
                    self.record_caught_up(i, fetch.kind, to);
                }
                TransferOutcome::Complete(IncomingChange::Fetched(i, fetch, None))
                | TransferOutcome::TimedOut(IncomingChange::Fetched(i, fetch, _)) => {
                    self.handle_input(i, Input::FetchFailed(fetch));
                }
                TransferOutcome::Complete(IncomingChange::Watched(i, kind, to)) => {
                    self.record_caught_up(i, kind, to)
                }
                // The watch begins anew.
                TransferOutcome::TimedOut(IncomingChange::Watched(..)) => {}
            }
        }
        for (from, bytes) in std::mem::take(&mut self.links.finished_sends) {
            self.reply_limiters[from].end(bytes);
        }
        if self.now.is_multiple_of(RECEIVING_NOTICE_INTERVAL) {
            let is_receiving = |i: &usize| self.links.is_receiving_large(*i);
            let receiving_hosts: Vec<usize> = (0..self.hosts.len()).filter(is_receiving).collect();
            receiving_hosts
                .into_iter()
                .for_each(|i| self.handle_input(i, Input::ReplyStarted(FeedKind::Catalog)));
        }
    }

    /// Asks for changes at once, where the plane waits for a large reply that is coming in: so what the
    /// decisions ask for too often is seen.
    pub fn begin_fetch(&mut self, i: usize, fetch: Fetch) {
        let (from, to) = match fetch.source {
            FetchSource::Store => {
                self.store_calls += 1;
                (LinkEnd::Store, (!self.is_store_down).then_some(self.newest_revision(fetch.kind)))
            }
            FetchSource::Host(address) => {
                let from = host_at(address).filter(|i| *i < self.hosts.len());
                let from = from.expect("a host of the fleet");
                let is_responsive = !self.unresponsive.contains(&from);
                (LinkEnd::Host(from), is_responsive.then(|| self.known_revision(from, fetch.kind)))
            }
        };
        let mut to = to;
        let mut bytes = to.map_or(0, |to| self.change_bytes(fetch.kind, fetch.after, to));
        if let LinkEnd::Host(from) = from {
            if !self.reply_limiters[from].try_begin(bytes) {
                // It declines, because its link has enough to do.
                (to, bytes) = (None, 0);
            }
            self.relayed_bytes += bytes;
        }
        self.count_catalog_copy(i, fetch.kind, fetch.after, to);
        self.links.begin_transfer(self.now, from, i, bytes, IncomingChange::Fetched(i, fetch, to));
    }

    pub fn deliver(&mut self) {
        // A message is answered at once, so there is one more way within a step.
        for _ in 0..2 {
            for (address, message) in std::mem::take(&mut self.messages_in_transit) {
                let to = host_at(address).filter(|i| *i < self.hosts.len());
                let is_in_partition =
                    |i: Option<usize>| i.is_some_and(|i| self.partitioned.contains(&i));
                let is_separated = is_in_partition(to) != is_in_partition(host_at(message.address));
                let to = to.filter(|i| !is_separated && !self.suspended.contains(i));
                if let Some(to) = to.filter(|_| self.rng.random::<f64>() >= MESSAGE_LOSS) {
                    self.handle_input(to, Input::PeerMessageReceived(Box::new(message)));
                }
            }
        }
    }

    pub fn handle_input(&mut self, i: usize, input: Input) {
        let (mut fetches, mut progress_writes) = (Vec::new(), Vec::new());
        let host = &mut self.hosts[i];
        for action in
            host.fleet_state.handle_input(Millis(self.now + MESSAGE_DELAY), input, &host.freshness)
        {
            match action {
                Action::SendMessages(messages) => {
                    self.messages_sent += messages.len();
                    self.messages_in_transit.extend(messages);
                }
                Action::ConfigConfirmed(started_at) => host.freshness.record_proof(started_at),
                Action::Fetch(fetch) => fetches.push(fetch),
                Action::PublishView(view) => host.view = Some(view),
                Action::WriteProgress(write) => progress_writes.push(write),
                _ => {}
            }
        }
        fetches.into_iter().for_each(|fetch| self.begin_fetch(i, fetch));
        progress_writes.into_iter().for_each(|write| self.write_progress(write));
    }

    /// Takes a write of the roll-out's progress, if it is based on the newest state.
    pub fn write_progress(&mut self, write: ProgressWrite) {
        let Some(order) = self.rollout.clone().filter(|o| o.revision == write.revision) else {
            return;
        };
        let (revision, progress) = (order.revision + 1, Some(write.progress));
        self.set_rollout_order(RolloutOrder { revision, progress, ..order });
    }

    /// Changes the roll-out; hosts hear of it at different times.
    pub fn set_rollout_order(&mut self, order: RolloutOrder) {
        for i in 0..self.hosts.len() {
            let at = self.now + self.rng.random_range(20..MAX_ROLLOUT_DELAY);
            self.pending_rollouts.push((at, i, order.clone()));
        }
        self.rollout = Some(order);
    }

    pub fn deliver_rollout_orders(&mut self) {
        let now = self.now;
        let (ready, later) =
            std::mem::take(&mut self.pending_rollouts).into_iter().partition(|t| t.0 <= now);
        self.pending_rollouts = later;
        for (_, i, order) in ready {
            self.handle_input(i, Input::Rollout(order));
        }
    }

    /// Sends a request of a session to a host; gets the side it goes to.
    pub fn send_session_request(&mut self, i: usize, session: &str) -> ReleaseTrack {
        self.send_request(i, SessionHash::new(Some(session), "r"), SESSION_HOLD_TIME)
    }

    /// Sends a request to a host; gets the side it goes to.
    pub fn send_request(
        &mut self,
        i: usize,
        session: SessionHash,
        hold_for: Millis,
    ) -> ReleaseTrack {
        let host = &self.hosts[i];
        let view = host.view.as_ref().expect("a view");
        let service = &view.services[&id::<ServiceId>("llm")];
        let track = service.side(Millis(self.now), session, hold_for);
        if track == ReleaseTrack::Canary {
            service.exposure.record_canary_attempt(false);
        }
        track
    }

    /// Changes the configuration by so many bytes.
    pub fn change_catalog(&mut self, bytes: u64) {
        self.catalog = (self.catalog.0 + 1, bytes);
        self.catalog_copies.fill(0);
    }

    /// Lets time pass until all hosts know the newest configuration, or to `until`; gets the time.
    pub fn run_until_catalog(&mut self, until: u64) -> u64 {
        while self.now < until && self.known_catalog.iter().any(|k| *k < self.catalog.0) {
            self.run(self.now + STEP as u64, |_, _| {});
        }
        self.now
    }

    /// Changes the store and lets time pass until all hosts know; gets how long that took.
    pub fn change_endpoints(&mut self) -> u64 {
        self.revision += 1;
        let started_at = self.now;
        while self.known_endpoints.iter().any(|k| *k < self.revision) {
            self.run(self.now + STEP as u64, |_, _| {});
            assert!(self.now < started_at + 10_000, "{:?}", self.known_endpoints);
        }
        self.now - started_at
    }
}
