//! State of the fleet as one host knows it, and the view that the host's traffic uses.
//!
//! [`FleetState`] handles one input at a time and returns the actions that follow from it. It
//! builds a new view whenever something that requests depend on has changed. Submodule `rounds`
//! holds the periodic work (reports to other hosts, evaluation of versions and endpoints),
//! `rollouts` the handling of roll-out orders, `versions` the rules for versions that are not under
//! a known roll-out, `limits` the distribution of endpoint limits, `roles` the work that a host
//! does for others, `messages` the inputs and actions, and `views` the construction of the view.
//!
//! Terms: a *proof* is a read of the configuration that confirmed its newest version, together with
//! the age of that read; a *prover* makes such reads for other hosts; a *watcher* watches the store
//! for other hosts; *feeds* are store changes that hosts relay to each other; a *suspect* is a
//! request that may have crashed an endpoint.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::events::Event;
use crate::ids::{EndpointId, EndpointKey, HostId, ServiceId};
use crate::placement::EndpointState;
use crate::traffic::baseline::Baseline;
use crate::traffic::bootstrap::{BootstrapInfo, DISCOVERY_ROUND_INTERVAL, DISCOVERY_TIME};
use crate::traffic::brittle_endpoints::BrittleEndpoints;
use crate::traffic::canary::{Canary, DEFAULT_EXPOSURE_BOUND};
use crate::traffic::catalog::Catalog;
use crate::traffic::cold_endpoints::{ColdEndpoints, ColdStart};
use crate::traffic::endpoint_limits::EndpointLimits;
use crate::traffic::endpoint_speeds::EndpointSpeeds;
use crate::traffic::endpoints::EndpointTable;
use crate::traffic::evacuations::Evacuations;
use crate::traffic::exposure::{Exposure, ExposureBound};
use crate::traffic::fair_share::SharedFairShares;
use crate::traffic::feeds::{FeedKind, FeedTracker, FetchSource};
use crate::traffic::freshness::Freshness;
use crate::traffic::isolation::IsolationDetector;
use crate::traffic::outliers::OutlierDetector;
use crate::traffic::peers::{PeerTable, PeerUpdate, ReplyRequest};
use crate::traffic::prefix_index::PrefixIndex;
use crate::traffic::retired_keys::RetiredKeys;
use crate::traffic::suspects::{Suspects, MAX_REPORTS_IN_FIRST_REPLY};
use crate::units::Millis;

use versions::Versions;

/// Longest time that a view stays outdated while endpoint changes arrive in bursts. Hundreds of
/// changes arrive when a fleet starts or a large service is replaced, and building a view of
/// thousands of endpoints takes milliseconds.
const MAX_VIEW_DELAY: Millis = Millis(100);

mod access;
mod limits;
mod messages;
mod roles;
mod rollouts;
mod rounds;
mod updates;
mod versions;
mod views;

pub use messages::{Action, Input};
pub use roles::HostRoles;

/// How soon a state change has to be reflected in the published view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ViewUpdate {
    /// The view is not affected.
    None,
    /// The view may wait for further changes, for up to `MAX_VIEW_DELAY`.
    Deferred,
    /// The view is rebuilt at once.
    Immediate,
}

impl ViewUpdate {
    fn immediate_if(changed: bool) -> ViewUpdate {
        if changed {
            ViewUpdate::Immediate
        } else {
            ViewUpdate::None
        }
    }
}

/// What one host knows about the fleet.
#[derive(Debug)]
pub struct FleetState {
    host: HostId,
    catalog: Option<Arc<Catalog>>,
    table: EndpointTable,
    has_listed_endpoints: bool,
    evacuations: Evacuations,
    cold_endpoints: ColdEndpoints,
    /// Whether any service has had a usable endpoint since the host started.
    was_ever_routable: bool,
    canaries: BTreeMap<ServiceId, Canary>,
    /// Versions that are not under a known roll-out.
    versions: Versions,
    /// Limit on the share of a service's requests that a canary version may receive before its
    /// deadline.
    exposure_bound: ExposureBound,
    /// Services with a version withheld until roll-outs are read, as last logged.
    services_awaiting_rollouts: BTreeSet<ServiceId>,
    /// Baselines of the stable versions, by service.
    baselines: HashMap<ServiceId, Baseline>,
    exposures: HashMap<ServiceId, Arc<Exposure>>,
    prefixes: HashMap<ServiceId, Arc<PrefixIndex>>,
    endpoint_states: HashMap<EndpointId, Arc<EndpointState>>,
    /// States of endpoints whose entries are missing, if the endpoints said that they leave or asked
    /// for rest, with the time at which the entry was missed.
    lapsed_states: HashMap<EndpointId, (Arc<EndpointState>, Millis)>,
    outliers: OutlierDetector,
    /// Speeds of endpoints that the other hosts measured.
    speeds: EndpointSpeeds,
    /// Newest version of the configuration that another host has proved.
    newest_reported_version: u64,
    /// By kind, whether the next list is the state of a copy from which the store was restored.
    lists_of_copy: [bool; FeedKind::COUNT],
    /// Requests that may have crashed an endpoint; shared with the traffic threads, which add to it
    /// and query it.
    suspects: Arc<Suspects>,
    /// Usage by workspace; shared with the traffic threads, which add to it and query it.
    fair_shares: SharedFairShares,
    /// Limits that endpoints reported.
    limits: EndpointLimits,
    /// Limits of endpoints that would fall over from refusing requests.
    brittle: BrittleEndpoints,
    /// When shares of the endpoints' limits were last computed, and for how many hosts.
    last_allotment: Option<(Millis, usize)>,
    /// Services to whose endpoints this host has lost its network paths.
    lost_services: Vec<ServiceId>,
    /// Keys that the configuration has lost recently.
    retired_keys: Arc<RetiredKeys>,
    /// Whether the host is stopping.
    is_leaving: bool,
    /// Whether `lost_services` or `is_leaving` has changed since the last round.
    has_unreported_availability: bool,
    /// Detects that this host hears less than half of the recent fleet.
    isolation: IsolationDetector,
    peers: PeerTable,
    feeds: FeedTracker,
    /// End of the bootstrap period, during which a host that still lacks data contacts others more
    /// often.
    bootstrap_until: Millis,
    last_bootstrap_message: Millis,
    last_round: Millis,
    /// When the reports about suspects were last logged.
    last_suspect_log: Millis,
    last_proof_request: Millis,
    /// When the last view was built; `None` before the first one.
    last_view: Option<Millis>,
    /// Whether the state has changed since the last view was built.
    is_view_outdated: bool,
    /// Roles as of the last round.
    roles: HostRoles,
    /// Update sent in the last round.
    last_update: PeerUpdate,
}

impl FleetState {
    /// Creates the state of a host that knows only the addresses of some other hosts.
    pub fn new(host: HostId, peers: PeerTable) -> FleetState {
        FleetState {
            host,
            peers,
            feeds: FeedTracker::default(),
            bootstrap_until: Millis(0),
            last_bootstrap_message: Millis(0),
            last_round: Millis(0),
            last_suspect_log: Millis(0),
            last_proof_request: Millis(0),
            last_view: None,
            is_view_outdated: false,
            roles: HostRoles::default(),
            last_update: PeerUpdate::default(),
            catalog: None,
            table: EndpointTable::default(),
            has_listed_endpoints: false,
            evacuations: Evacuations::default(),
            cold_endpoints: ColdEndpoints::default(),
            was_ever_routable: false,
            canaries: BTreeMap::new(),
            versions: Versions::default(),
            exposure_bound: DEFAULT_EXPOSURE_BOUND,
            services_awaiting_rollouts: BTreeSet::new(),
            baselines: HashMap::new(),
            exposures: HashMap::new(),
            prefixes: HashMap::new(),
            endpoint_states: HashMap::new(),
            lapsed_states: HashMap::new(),
            outliers: OutlierDetector::default(),
            speeds: EndpointSpeeds::default(),
            newest_reported_version: 0,
            lists_of_copy: Default::default(),
            suspects: Arc::default(),
            fair_shares: SharedFairShares::default(),
            limits: EndpointLimits::default(),
            brittle: BrittleEndpoints::default(),
            last_allotment: None,
            lost_services: Vec::new(),
            retired_keys: Arc::default(),
            is_leaving: false,
            has_unreported_availability: false,
            isolation: IsolationDetector::default(),
        }
    }

    /// Starts bootstrapping at `now`: all data has to be fetched from other hosts or the store.
    pub fn with_bootstrap(mut self, now: Millis, bootstrap: BootstrapInfo) -> FleetState {
        self.feeds.start_bootstrap(now + bootstrap.store_read_delay());
        FleetState { bootstrap_until: now + DISCOVERY_TIME, ..self }
    }

    /// Sets the limit on the share of requests that canary versions may receive.
    pub fn with_exposure_bound(self, exposure_bound: ExposureBound) -> FleetState {
        FleetState { exposure_bound, ..self }
    }

    /// Uses `suspects`, which is shared with the traffic threads.
    pub fn with_suspects(self, suspects: Arc<Suspects>) -> FleetState {
        FleetState { suspects, ..self }
    }

    /// Uses `fair_shares`, which is shared with the traffic threads.
    pub fn with_fair_shares(self, fair_shares: SharedFairShares) -> FleetState {
        FleetState { fair_shares, ..self }
    }

    /// Returns the requests that may have crashed endpoints.
    pub fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// Reports whether this host watches the store for other hosts.
    pub fn is_watcher(&self) -> bool {
        self.roles.is_watcher
    }

    /// Returns the work that this host does for other hosts.
    pub fn roles(&self) -> HostRoles {
        self.roles
    }

    /// Returns the number of known hosts, including this one.
    fn host_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the other known hosts.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Reports whether this host confirms the configuration with the store itself, at short
    /// intervals.
    pub fn is_prover(&self) -> bool {
        self.roles.is_prover
    }

    /// Applies an input and returns the resulting actions. `fresh` is the proof of the
    /// configuration that this host can pass on.
    pub fn handle_input(&mut self, now: Millis, input: Input, fresh: &Freshness) -> Vec<Action> {
        let mut actions = Vec::new();
        let question = match &input {
            Input::PeerMessageReceived(msg) => ReplyRequest::from_message(msg),
            _ => None,
        };
        let mut view_update = self.apply(now, input, &mut actions);
        if let Some(question) = question {
            let mut update =
                PeerUpdate { proof: self.proof_report(now, fresh), ..self.last_update.clone() };
            if question.is_first_contact {
                update.suspects = self.suspects.reports_for_host(now, MAX_REPORTS_IN_FIRST_REPLY);
                update.limits = self.limits.reports_for_new_host(now);
                update.brittle = self.brittle.reports_for_new_host(now);
            }
            let reply = self.peers.build_reply(now, &question, &update);
            actions.push(Action::SendMessages(vec![(question.address, reply)]));
        }
        self.request_proof(now, fresh, &mut actions);
        let holder = |kind, revision| self.peers.pick_holder(kind, revision, None);
        let from_hosts = self.feeds.due_host_queries(now, holder);
        actions.extend(from_hosts.into_iter().map(Action::Fetch));
        actions.extend(self.feeds.due_store_reads(now).into_iter().map(Action::Fetch));
        let is_bootstrapping = now < self.bootstrap_until && self.feeds.is_bootstrapping();
        if is_bootstrapping && now >= self.last_bootstrap_message + DISCOVERY_ROUND_INTERVAL {
            self.last_bootstrap_message = now;
            actions.push(Action::SendMessages(
                self.peers.first_contact_messages(now, &self.last_update),
            ));
        }
        if self.is_round_due(now) {
            self.last_round = now;
            view_update =
                view_update.max(ViewUpdate::immediate_if(self.run_round(now, fresh, &mut actions)));
        }
        view_update = view_update
            .max(ViewUpdate::immediate_if(self.judge_before_completion(now, &mut actions)));
        self.is_view_outdated |= view_update > ViewUpdate::None;
        let is_due = self.last_view.is_none_or(|at| now >= at + MAX_VIEW_DELAY);
        if is_due || view_update == ViewUpdate::Immediate {
            actions.extend(self.refresh_view(now));
        }
        self.write_progress(now, &mut actions);
        actions
    }

    /// Reports, once, whether the list of a kind that is being applied is that of a restored store.
    fn takes_list_of_copy(&mut self, kind: FeedKind) -> bool {
        std::mem::take(&mut self.lists_of_copy[kind as usize])
    }

    /// Applies an input and returns how soon the view has to reflect it.
    fn apply(&mut self, now: Millis, input: Input, actions: &mut Vec<Action>) -> ViewUpdate {
        match input {
            Input::Catalog(catalog) => {
                ViewUpdate::immediate_if(self.apply_catalog(now, catalog, actions))
            }
            Input::EndpointList(records) => {
                self.has_listed_endpoints = true;
                records.iter().for_each(|r| self.versions.add_endpoint(now, r));
                records.iter().for_each(|r| self.reset_if_restarted(r));
                // At start both lists are read, in either order.
                self.canaries.keys().for_each(|service| self.versions.release_for_order(service));
                let cold: Vec<(EndpointId, Millis)> =
                    records.iter().map(|r| (r.id.clone(), r.cold_for)).collect();
                self.table.replace(now, records);
                for (id, cold_for) in cold {
                    self.record_cold_entry(now, &id, cold_for, actions);
                }
                self.release_versions(now);
                self.update_endpoint_access(now, actions);
                let n = self.table.records().count();
                let leaving = self.table.records().filter(|r| r.is_leaving).count();
                let unconfirmed = self.table.unconfirmed().count();
                let text = format!("endpoints={n} leaving={leaving} unconfirmed={unconfirmed}");
                actions.push(Action::Log(Event::EndpointsListed, text));
                ViewUpdate::Immediate
            }
            Input::Endpoint(record) if self.table.is_outdated(&record) => ViewUpdate::None,
            Input::Endpoint(record) => {
                self.apply_endpoint(now, record, actions);
                ViewUpdate::Deferred
            }
            Input::EndpointRemoved(id) => {
                actions.push(Action::Log(Event::EndpointGone, format!("endpoint={id}")));
                self.table.remove(now, &id);
                if let Some(state) =
                    self.endpoint_states.get(&id).filter(|_| !self.table.contains(&id))
                {
                    state.set_leaving(true);
                }
                ViewUpdate::Deferred
            }
            Input::EndpointUnreadable(id) => {
                // The entry was overwritten, it did not lapse. It is therefore not retained through
                // an outage.
                self.table.remove_now(&id);
                if let Some(state) = self.endpoint_states.get(&id) {
                    state.set_leaving(true);
                }
                ViewUpdate::Deferred
            }
            Input::RolloutList { orders, unreadable } => {
                let is_in_list = |s: &ServiceId| {
                    orders.iter().any(|o| o.service == *s) || unreadable.contains(s)
                };
                unreadable.iter().for_each(|s| self.versions.mark_order_unreadable(s.clone()));
                // Orders that the copy of a restored store lacks are written again.
                let keeps_missing = self.takes_list_of_copy(FeedKind::Rollouts);
                let gone: Vec<ServiceId> = self
                    .canaries
                    .keys()
                    .filter(|s| !keeps_missing && !is_in_list(s))
                    .cloned()
                    .collect();
                for service in &gone {
                    self.remove_order(now, service);
                }
                if !keeps_missing {
                    self.versions.retain_unreadable(is_in_list);
                }
                orders.into_iter().for_each(|o| self.apply_order(now, o, actions));
                ViewUpdate::Immediate
            }
            Input::Rollout(order) => {
                self.apply_order(now, order, actions);
                ViewUpdate::Immediate
            }
            Input::RolloutUnreadable(service) => {
                self.versions.mark_order_unreadable(service);
                ViewUpdate::None
            }
            Input::RolloutRemoved(service) => {
                ViewUpdate::immediate_if(self.remove_order(now, &service))
            }
            Input::EvacuationList(domains)
                if self.evacuations.is_known()
                    && self.takes_list_of_copy(FeedKind::Evacuations) =>
            {
                self.evacuations.replace_later(now, domains);
                ViewUpdate::None
            }
            Input::EvacuationList(domains) => {
                let was_known = self.evacuations.is_known();
                let change = self.evacuations.replace(domains);
                ViewUpdate::immediate_if(self.apply_evacuations(now, change, actions) || !was_known)
            }
            Input::EvacuationStarted(domain) => {
                let change = self.evacuations.start(domain);
                ViewUpdate::immediate_if(self.apply_evacuations(now, change, actions))
            }
            Input::EvacuationEnded(domain) => {
                let change = self.evacuations.end(domain);
                ViewUpdate::immediate_if(self.apply_evacuations(now, change, actions))
            }
            Input::CaughtUp { kind, complete, changed } => {
                let is_first = self.feeds.complete(kind) == 0;
                if self.feeds.record_complete(now, kind, complete, changed) || is_first {
                    // Triggers a round at once, to inform other hosts.
                    self.last_round = Millis(0);
                }
                if kind == FeedKind::Endpoints {
                    self.versions.set_endpoints_revision(complete);
                }
                ViewUpdate::immediate_if(self.release_versions(now))
            }
            Input::ConfigConfirmed(began) => {
                self.table.record_store_read(began);
                self.confirm_config(began, actions);
                ViewUpdate::None
            }
            Input::StoreRevisionSeen(revision) => {
                self.feeds.record_store_revision(now, revision, self.roles.is_prover);
                ViewUpdate::None
            }
            Input::ReplyStarted(kind) => {
                self.feeds.record_incoming(now, kind);
                ViewUpdate::None
            }
            Input::FetchFailed(fetch) => {
                self.feeds.record_failure(now, &fetch);
                if let (FetchSource::Host(from), 0) = (fetch.source, fetch.after) {
                    let other = self.peers.pick_holder(fetch.kind, 1, Some(from));
                    let retry =
                        other.and_then(|from| self.feeds.retry_bootstrap(now, fetch.kind, from));
                    actions.extend(retry.map(Action::Fetch));
                }
                ViewUpdate::None
            }
            Input::StoreRestored(kind) => {
                self.lists_of_copy[kind as usize] = true;
                if kind == FeedKind::Endpoints {
                    self.table.mark_restored(now);
                }
                ViewUpdate::None
            }
            Input::StoreUnreachable => {
                self.table.mark_store_unreachable();
                ViewUpdate::None
            }
            Input::StoreReachable => {
                self.table.mark_store_reachable(now);
                ViewUpdate::None
            }
            Input::ResponseObserved(observed) => {
                ViewUpdate::immediate_if(self.observe_response(now, &observed, actions))
            }
            Input::LimitReported(id, rate) => {
                self.limits.record_response(now, EndpointKey::from(&id), rate);
                self.allocate_send_limits(now, actions);
                ViewUpdate::None
            }
            Input::MaxRefusalsReported(id, max_refusals) => {
                self.record_max_refusals(now, &id, max_refusals, actions);
                ViewUpdate::None
            }
            Input::EndpointLost(id) => {
                self.record_endpoint_loss(now, &id, actions);
                ViewUpdate::None
            }
            Input::LostServices(services) => {
                self.lost_services = services;
                self.has_unreported_availability = true;
                self.update_endpoint_access(now, actions);
                ViewUpdate::None
            }
            Input::Leaving => {
                self.is_leaving = true;
                self.has_unreported_availability = true;
                self.update_endpoint_access(now, actions);
                ViewUpdate::None
            }
            Input::PeerMessageReceived(msg) => self.handle_peer_message(now, *msg, actions),
            Input::Tick => ViewUpdate::None,
        }
    }
}
