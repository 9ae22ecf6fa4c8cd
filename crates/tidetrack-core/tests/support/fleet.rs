//! A simulated fleet on virtual time. Messages between hosts are lost, changes of the store arrive
//! late, and large changes take up a host's link.

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
    caught_up_input, host, host_index_of, id, rollout_list, state_with_endpoints,
    state_with_endpoints_of_incarnation,
};

/// Interval between the reads by which a prover confirms the configuration, in milliseconds.
pub const PROOF_READ_INTERVAL: u64 = 1_500;

/// Latency of a message between hosts, in milliseconds.
pub const MESSAGE_DELAY: u64 = 2;

/// Fraction of the messages that are lost.
pub const MESSAGE_LOSS: f64 = 0.03;

/// Step of the virtual clock, in milliseconds.
pub const CLOCK_STEP_MS: usize = 50;

/// Size of one endpoint change in a reply, in bytes.
pub const ENDPOINT_CHANGE_BYTES: u64 = 400;

/// Interval at which a host is notified that a large reply is still being received, in
/// milliseconds. The traffic plane uses the same interval.
pub const RECEIVING_NOTICE_INTERVAL: u64 = 200;

/// Exclusive upper limit of the delay after which a host receives a change of a roll-out, in
/// milliseconds.
pub const MAX_ROLLOUT_DELAY: u64 = 600;

/// Time for which a session keeps its version after the start of a request.
pub const SESSION_HOLD_TIME: Millis = Millis(13_000);

/// A simulated host and the view that it published last.
pub struct FleetHost {
    pub fleet_state: FleetState,
    pub freshness: Freshness,
    /// Time of the next read that confirms the configuration, in milliseconds. Only used while the
    /// host is a prover.
    pub next_proof_read_at: u64,
    pub view: Option<Arc<FleetView>>,
}

/// Changes on their way to a host. The first field is the index of the receiving host.
#[derive(Clone, Debug)]
pub enum IncomingChange {
    /// The reply to a fetch, and the revision up to which it is complete, or `None` if the fetch
    /// fails.
    Fetched(usize, Fetch, Option<u64>),
    /// Changes of a kind up to a revision, which the store sends to a watcher.
    Watched(usize, FeedKind, u64),
}

/// Number of seed hosts, whose addresses all hosts are configured with.
const SEED_HOSTS: u32 = 3;

/// Bandwidth of the store's link, in a fleet that starts cold.
const STORE_LINK: Bandwidth = Bandwidth(1_000.0);

/// Configuration of a fleet whose hosts all start at once without any data.
pub struct ColdStartConfig {
    pub hosts: u32,
    pub domains: u32,
    /// Number of hosts with fast links.
    pub well_connected_hosts: u32,
    pub fast_link: Bandwidth,
    pub slow_link: Bandwidth,
    /// Number of endpoint changes in the store.
    pub endpoints: u64,
    pub catalog_bytes: u64,
}

impl ColdStartConfig {
    fn link_bandwidth(&self, host_number: u32) -> Bandwidth {
        if host_number <= self.well_connected_hosts {
            self.fast_link
        } else {
            self.slow_link
        }
    }
}

/// Simulated hosts, the store they read, and the network between them.
pub struct Fleet {
    pub hosts: Vec<FleetHost>,
    pub rng: StdRng,
    pub now: u64,
    /// Newest revision of the endpoints in the store.
    pub endpoints_revision: u64,
    /// Revision of the endpoints that each host is complete up to.
    pub known_endpoints: Vec<u64>,
    /// Newest revision of the configuration in the store, and the size of a reply with it in bytes.
    pub catalog: (u64, u64),
    /// Revision of the configuration that each host is complete up to.
    pub known_catalog: Vec<u64>,
    /// Number of replies with the newest configuration that were started towards each host.
    pub catalog_copies: Vec<usize>,
    /// Limits the replies that each host sends at once.
    pub reply_limiters: Vec<ReplyLimiter>,
    /// The links, and the changes being transferred over them.
    pub links: Links<IncomingChange>,
    /// Hosts that do not reply to the fetches of other hosts.
    pub unresponsive: Vec<usize>,
    /// Hosts whose machines are suspended: they process nothing, and messages to them are lost.
    pub suspended: Vec<usize>,
    /// Hosts on one side of a network partition. Messages between the two sides are lost.
    pub partitioned: Vec<usize>,
    /// Whether the watchers of the store receive no changes.
    pub are_watches_stalled: bool,
    /// Whether fetches from the store fail. Watches continue to deliver changes.
    pub is_store_down: bool,
    /// Number of fetches from the store; changes delivered to watchers are not counted.
    pub store_calls: usize,
    /// Bytes of changes that hosts sent in reply to each other's fetches.
    pub relayed_bytes: u64,
    /// The roll-out stored in the store.
    pub rollout: Option<RolloutOrder>,
    /// Changes of the roll-out that hosts have yet to receive: delivery time, host index and order.
    pub pending_rollouts: Vec<(u64, usize, RolloutOrder)>,
    /// Messages that are not delivered yet, with the addresses of their receivers.
    pub messages_in_transit: Vec<(SocketAddr, PeerMessage)>,
    pub messages_sent: usize,
}

impl Fleet {
    /// Starts a fleet whose hosts have read the store.
    pub fn start(hosts: u32, seed: u64) -> Fleet {
        Fleet::start_with_bound(hosts, seed, DEFAULT_EXPOSURE_BOUND)
    }

    /// Starts a fleet whose hosts have read the store and limit the exposure of canary versions to
    /// `bound`.
    pub fn start_with_bound(hosts: u32, seed: u64, bound: ExposureBound) -> Fleet {
        let new_host = |host_number| {
            let freshness = Freshness::default();
            freshness.record_proof(Millis(0));
            let next_proof_read_at = u64::from(host_number) * 17 % PROOF_READ_INTERVAL;
            let fleet_state =
                state_with_endpoints(host_number, &freshness).with_exposure_bound(bound);
            FleetHost { fleet_state, freshness, next_proof_read_at, view: None }
        };
        let mut fleet = Fleet {
            hosts: (1..=hosts).map(new_host).collect(),
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            endpoints_revision: 10,
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
        for host_index in 0..fleet.hosts.len() {
            fleet.handle_input(host_index, caught_up_input(FeedKind::Endpoints, 10));
            fleet.handle_input(host_index, caught_up_input(FeedKind::Catalog, 10));
            fleet.handle_input(host_index, rollout_list(Vec::new()));
            fleet.handle_input(host_index, caught_up_input(FeedKind::Rollouts, 10));
            fleet.handle_input(host_index, caught_up_input(FeedKind::Evacuations, 10));
        }
        fleet
    }

    /// Starts a fleet whose hosts know only the addresses of the seeds. The hosts with the lowest
    /// numbers have fast links; as hosts are assigned to the failure domains in rotation, these are
    /// spread over the domains.
    pub fn start_cold(config: &ColdStartConfig, seed: u64) -> Fleet {
        let hosts = config.hosts;
        let new_host = |host_number: u32| {
            let link = config.link_bandwidth(host_number);
            let is_seed = host_number <= SEED_HOSTS;
            let bootstrap_info = BootstrapInfo {
                link,
                is_seed,
                random_fraction: hash_fraction("start", &format!("{host_number} {seed}")),
            };
            let (name, address) = host(host_number);
            let seeds = (1..=SEED_HOSTS).map(|host_number| host(host_number).1).collect();
            let failure_domain = id(&format!("hall-{}", host_number % config.domains));
            let peer_table = PeerTable::new(name, address, failure_domain, seeds)
                .with_well_connected(is_well_connected(link));
            let fleet_state = FleetState::new(host(host_number).0, peer_table)
                .with_bootstrap(Millis(0), bootstrap_info);
            FleetHost {
                fleet_state,
                freshness: Freshness::default(),
                next_proof_read_at: PROOF_READ_INTERVAL,
                view: None,
            }
        };
        let host_count = hosts as usize;
        let mut fleet = Fleet {
            hosts: (1..=hosts).map(new_host).collect(),
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            endpoints_revision: config.endpoints,
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
        let link_bandwidths = (1..=hosts)
            .map(|host_number| bytes_per_ms(config.link_bandwidth(host_number)))
            .collect();
        fleet.set_link_bandwidths(link_bandwidths, bytes_per_ms(STORE_LINK));
        // The store contains no orders of operators.
        for host_index in 0..host_count {
            fleet.handle_input(host_index, caught_up_input(FeedKind::Rollouts, 1));
            fleet.handle_input(host_index, caught_up_input(FeedKind::Evacuations, 1));
        }
        fleet
    }

    /// Restarts a host without its earlier state. It receives the stored roll-out at once.
    pub fn restart(&mut self, host_index: usize) {
        let (host_number, incarnation) = (host_index as u32 + 1, self.now);
        let freshness = Freshness::default();
        freshness.record_proof(Millis(self.now));
        let fleet_state = state_with_endpoints_of_incarnation(host_number, incarnation, &freshness);
        let next_proof_read_at = self.now + PROOF_READ_INTERVAL;
        self.hosts[host_index] =
            FleetHost { fleet_state, freshness, next_proof_read_at, view: None };
        self.pending_rollouts.retain(|(_, to, _)| *to != host_index);
        self.handle_input(
            host_index,
            caught_up_input(FeedKind::Endpoints, self.endpoints_revision),
        );
        self.handle_input(host_index, caught_up_input(FeedKind::Catalog, self.catalog.0));
        let orders = self.rollout.iter().cloned().collect();
        self.handle_input(host_index, rollout_list(orders));
        let revision = self.endpoints_revision;
        self.handle_input(host_index, caught_up_input(FeedKind::Rollouts, revision));
        self.handle_input(host_index, caught_up_input(FeedKind::Evacuations, revision));
    }

    /// Advances the clock to `until`, in milliseconds, and calls `observe` for each running host at
    /// each step.
    pub fn run(&mut self, until: u64, mut observe: impl FnMut(u64, &FleetHost)) {
        while self.now < until {
            self.now += CLOCK_STEP_MS as u64;
            self.deliver_messages();
            self.deliver_transfers();
            self.deliver_rollout_orders();
            let all_hosts = 0..self.hosts.len();
            let active_hosts: Vec<usize> =
                all_hosts.filter(|host_index| !self.suspended.contains(host_index)).collect();
            for host_index in active_hosts {
                self.read_proof(host_index);
                self.deliver_watched_changes(host_index);
                self.handle_input(host_index, Input::Tick);
                observe(self.now, &self.hosts[host_index]);
            }
        }
    }

    /// Lets a prover confirm the configuration if its next read is due.
    pub fn read_proof(&mut self, host_index: usize) {
        let host = &mut self.hosts[host_index];
        if host.fleet_state.is_prover() && self.now >= host.next_proof_read_at {
            host.freshness.record_proof(Millis(self.now));
            host.next_proof_read_at = self.now + PROOF_READ_INTERVAL;
            self.handle_input(host_index, Input::StoreRevisionSeen(self.endpoints_revision));
        }
    }

    /// Starts to deliver the changes that a watcher of the store lacks, at once if its link is
    /// unlimited.
    pub fn deliver_watched_changes(&mut self, host_index: usize) {
        if !self.hosts[host_index].fleet_state.is_watcher() || self.are_watches_stalled {
            return;
        }
        for kind in [FeedKind::Catalog, FeedKind::Endpoints] {
            let (known, newest_revision) =
                (self.known_revision(host_index, kind), self.newest_revision(kind));
            let is_kind =
                |c: &&IncomingChange| matches!(c, IncomingChange::Watched(_, k, _) if *k == kind);
            if known >= newest_revision || self.links.payloads_to(host_index).any(|c| is_kind(&c)) {
                continue;
            }
            if self.links.is_unlimited(host_index) {
                self.record_caught_up(host_index, kind, newest_revision);
            } else {
                let bytes = self.change_bytes(kind, known, newest_revision);
                self.count_catalog_copy(host_index, kind, known, Some(newest_revision));
                let payload = IncomingChange::Watched(host_index, kind, newest_revision);
                self.links.begin_transfer(self.now, LinkEnd::Store, host_index, bytes, payload);
            }
        }
    }

    /// Returns the revision of a kind that a host is complete up to.
    fn known_revision(&self, host_index: usize, kind: FeedKind) -> u64 {
        match kind {
            FeedKind::Catalog => self.known_catalog[host_index],
            FeedKind::Endpoints => self.known_endpoints[host_index],
            FeedKind::Rollouts | FeedKind::Evacuations => {
                unreachable!("hosts receive orders directly")
            }
        }
    }

    /// Returns the newest revision of a kind in the store.
    fn newest_revision(&self, kind: FeedKind) -> u64 {
        match kind {
            FeedKind::Catalog => self.catalog.0,
            FeedKind::Endpoints => self.endpoints_revision,
            FeedKind::Rollouts | FeedKind::Evacuations => {
                unreachable!("hosts receive orders directly")
            }
        }
    }

    /// Counts a reply that is started towards a host if it contains the newest configuration.
    fn count_catalog_copy(
        &mut self,
        host_index: usize,
        kind: FeedKind,
        after: u64,
        to: Option<u64>,
    ) {
        let is_newest = to.is_some_and(|to| to > after && to == self.catalog.0);
        self.catalog_copies[host_index] += usize::from(kind == FeedKind::Catalog && is_newest);
    }

    /// Returns the size in bytes of the changes of a kind after the revision `after` up to `to`.
    fn change_bytes(&self, kind: FeedKind, after: u64, to: u64) -> u64 {
        match kind {
            // Only the newest configuration is sent, not the ones between.
            FeedKind::Catalog => self.catalog.1 * u64::from(to > after),
            FeedKind::Endpoints | FeedKind::Rollouts | FeedKind::Evacuations => {
                ENDPOINT_CHANGE_BYTES * to.saturating_sub(after)
            }
        }
    }

    /// Sets the link bandwidths of the hosts and of the store, in bytes per millisecond.
    pub fn set_link_bandwidths(&mut self, host_bandwidths: Vec<f64>, store_bandwidth: f64) {
        const BITS_PER_BYTE: f64 = 8.0;
        // One byte per millisecond is 1e3 bytes per second, and `Bandwidth` is in units of 1e6 bits
        // per second.
        let limiter = |link: &f64| ReplyLimiter::new(Bandwidth(link * BITS_PER_BYTE / 1e3));
        self.reply_limiters = host_bandwidths.iter().map(limiter).collect();
        (self.links.host_bandwidths, self.links.store_bandwidth) =
            (host_bandwidths, store_bandwidth);
    }

    /// Records that a host is complete up to a revision of a kind, drops its transfers that this makes
    /// obsolete, and notifies the host.
    pub fn record_caught_up(&mut self, host_index: usize, kind: FeedKind, to: u64) {
        let known = match kind {
            FeedKind::Catalog => &mut self.known_catalog[host_index],
            FeedKind::Endpoints | FeedKind::Rollouts | FeedKind::Evacuations => {
                &mut self.known_endpoints[host_index]
            }
        };
        *known = (*known).max(to);
        let newest_revision = *known;
        self.links.drop_obsolete_large(host_index, |change| match change {
            IncomingChange::Fetched(_, fetch, _) => {
                fetch.kind == kind && fetch.after < newest_revision
            }
            IncomingChange::Watched(_, k, _) => *k == kind,
        });
        self.handle_input(host_index, Input::CaughtUp { kind, complete: to, changed: Some(to) });
    }

    /// Advances the links and passes completed and failed transfers to their hosts. Also notifies
    /// the hosts that are still receiving a large reply.
    pub fn deliver_transfers(&mut self) {
        for outcome in self.links.advance(self.now) {
            match outcome {
                TransferOutcome::Complete(IncomingChange::Fetched(host_index, fetch, Some(to))) => {
                    self.record_caught_up(host_index, fetch.kind, to);
                }
                TransferOutcome::Complete(IncomingChange::Fetched(host_index, fetch, None))
                | TransferOutcome::TimedOut(IncomingChange::Fetched(host_index, fetch, _)) => {
                    self.handle_input(host_index, Input::FetchFailed(fetch));
                }
                TransferOutcome::Complete(IncomingChange::Watched(host_index, kind, to)) => {
                    self.record_caught_up(host_index, kind, to)
                }
                // The watcher's next step starts the transfer again.
                TransferOutcome::TimedOut(IncomingChange::Watched(..)) => {}
            }
        }
        for (from, bytes) in std::mem::take(&mut self.links.finished_sends) {
            self.reply_limiters[from].end(bytes);
        }
        if self.now.is_multiple_of(RECEIVING_NOTICE_INTERVAL) {
            let is_receiving = |host_index: &usize| self.links.is_receiving_large(*host_index);
            let receiving_hosts: Vec<usize> = (0..self.hosts.len()).filter(is_receiving).collect();
            receiving_hosts.into_iter().for_each(|host_index| {
                self.handle_input(host_index, Input::ReplyStarted(FeedKind::Catalog))
            });
        }
    }

    /// Starts a fetch at once. The traffic plane would first wait for a large reply that is being
    /// received; without this wait, needless fetches show up in the counts.
    pub fn begin_fetch(&mut self, host_index: usize, fetch: Fetch) {
        let (sender, to_revision) = match fetch.source {
            FetchSource::Store => {
                self.store_calls += 1;
                (LinkEnd::Store, (!self.is_store_down).then_some(self.newest_revision(fetch.kind)))
            }
            FetchSource::Host(address) => {
                let sender =
                    host_index_of(address).filter(|host_index| *host_index < self.hosts.len());
                let sender = sender.expect("the sender is a host of the fleet");
                let is_responsive = !self.unresponsive.contains(&sender);
                (
                    LinkEnd::Host(sender),
                    is_responsive.then(|| self.known_revision(sender, fetch.kind)),
                )
            }
        };
        let mut to_revision = to_revision;
        let mut bytes = to_revision
            .map_or(0, |to_revision| self.change_bytes(fetch.kind, fetch.after, to_revision));
        if let LinkEnd::Host(sender) = sender {
            if !self.reply_limiters[sender].try_begin(bytes) {
                // The host declines the fetch because its link is busy.
                (to_revision, bytes) = (None, 0);
            }
            self.relayed_bytes += bytes;
        }
        self.count_catalog_copy(host_index, fetch.kind, fetch.after, to_revision);
        self.links.begin_transfer(
            self.now,
            sender,
            host_index,
            bytes,
            IncomingChange::Fetched(host_index, fetch, to_revision),
        );
    }

    /// Delivers the messages in transit, except those that are lost.
    pub fn deliver_messages(&mut self) {
        // A reply to a message is sent at once, so it arrives within the same step.
        for _ in 0..2 {
            for (address, message) in std::mem::take(&mut self.messages_in_transit) {
                let to = host_index_of(address).filter(|host_index| *host_index < self.hosts.len());
                let is_in_partition = |host_index: Option<usize>| {
                    host_index.is_some_and(|host_index| self.partitioned.contains(&host_index))
                };
                let is_separated =
                    is_in_partition(to) != is_in_partition(host_index_of(message.address));
                let to =
                    to.filter(|host_index| !is_separated && !self.suspended.contains(host_index));
                if let Some(to) = to.filter(|_| self.rng.random::<f64>() >= MESSAGE_LOSS) {
                    self.handle_input(to, Input::PeerMessageReceived(Box::new(message)));
                }
            }
        }
    }

    /// Passes an input to a host and carries out the resulting actions.
    pub fn handle_input(&mut self, host_index: usize, input: Input) {
        let (mut fetches, mut progress_writes) = (Vec::new(), Vec::new());
        let host = &mut self.hosts[host_index];
        for action in
            host.fleet_state.handle_input(Millis(self.now + MESSAGE_DELAY), input, &host.freshness)
        {
            match action {
                Action::SendMessages(messages) => {
                    self.messages_sent += messages.len();
                    self.messages_in_transit.extend(messages);
                }
                Action::ConfigConfirmed(started_at) => host.freshness.record_proof(started_at),
                // Hosts receive evacuation orders directly.
                Action::Fetch(fetch) if fetch.kind == FeedKind::Evacuations => {}
                Action::Fetch(fetch) => fetches.push(fetch),
                Action::PublishView(view) => host.view = Some(view),
                Action::WriteProgress(write) => progress_writes.push(write),
                _ => {}
            }
        }
        fetches.into_iter().for_each(|fetch| self.begin_fetch(host_index, fetch));
        progress_writes.into_iter().for_each(|write| self.write_progress(write));
    }

    /// Stores the progress of the roll-out if the write is based on the newest revision.
    pub fn write_progress(&mut self, write: ProgressWrite) {
        let Some(order) = self.rollout.clone().filter(|o| o.revision == write.revision) else {
            return;
        };
        let (revision, progress) = (order.revision + 1, Some(write.progress));
        self.set_rollout_order(RolloutOrder { revision, progress, ..order });
    }

    /// Replaces the stored roll-out. Each host receives it after a random delay.
    pub fn set_rollout_order(&mut self, order: RolloutOrder) {
        for host_index in 0..self.hosts.len() {
            let delivery_time = self.now + self.rng.random_range(20..MAX_ROLLOUT_DELAY);
            self.pending_rollouts.push((delivery_time, host_index, order.clone()));
        }
        self.rollout = Some(order);
    }

    /// Delivers the roll-out orders whose delivery time has come.
    pub fn deliver_rollout_orders(&mut self) {
        let now = self.now;
        let (due_orders, remaining_orders) =
            std::mem::take(&mut self.pending_rollouts).into_iter().partition(|t| t.0 <= now);
        self.pending_rollouts = remaining_orders;
        for (_, host_index, order) in due_orders {
            self.handle_input(host_index, Input::Rollout(order));
        }
    }

    /// Sends a request of a session to a host and returns the release track that serves it.
    pub fn send_session_request(&mut self, host_index: usize, session: &str) -> ReleaseTrack {
        self.send_request(host_index, SessionHash::new(Some(session), "r"), SESSION_HOLD_TIME)
    }

    /// Sends a request to a host and returns the release track that serves it.
    pub fn send_request(
        &mut self,
        host_index: usize,
        session: SessionHash,
        hold_time: Millis,
    ) -> ReleaseTrack {
        let host = &self.hosts[host_index];
        let view = host.view.as_ref().expect("the host has a view");
        let service = &view.services[&id::<ServiceId>("llm")];
        let track = service.side(Millis(self.now), session, hold_time);
        if track == ReleaseTrack::Canary {
            service.exposure.record_canary_attempt(false);
        }
        track
    }

    /// Stores a new configuration of the given size and resets the counts of its copies.
    pub fn change_catalog(&mut self, bytes: u64) {
        self.catalog = (self.catalog.0 + 1, bytes);
        self.catalog_copies.fill(0);
    }

    /// Advances the clock until all hosts have the newest configuration, or to `until`. Returns the
    /// time reached.
    pub fn run_until_catalog(&mut self, until: u64) -> u64 {
        while self.now < until && self.known_catalog.iter().any(|k| *k < self.catalog.0) {
            self.run(self.now + CLOCK_STEP_MS as u64, |_, _| {});
        }
        self.now
    }

    /// Adds an endpoint change to the store and advances the clock until all hosts have it. Returns
    /// the time taken, in milliseconds.
    pub fn change_endpoints(&mut self) -> u64 {
        self.endpoints_revision += 1;
        let started_at = self.now;
        while self.known_endpoints.iter().any(|k| *k < self.endpoints_revision) {
            self.run(self.now + CLOCK_STEP_MS as u64, |_, _| {});
            assert!(
                self.now < started_at + 10_000,
                "endpoint change not known after 10 s: {:?}",
                self.known_endpoints
            );
        }
        self.now - started_at
    }
}
