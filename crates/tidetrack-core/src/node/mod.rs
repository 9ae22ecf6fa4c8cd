//! The control state of one host and the gossip protocol that keeps the hosts in agreement.
//!
//! A node is a state machine without I/O: it takes messages and the current time, returns actions
//! and never blocks. In an exchange, two hosts send each other what changed since the other's last
//! acknowledgement: members, facts that restrict what may run, evidence about versions and loans.
//! Configuration is sent as the consecutive changes after the other host's `complete_to`. Every
//! merge takes the maximum of two states, so messages may be lost, duplicated, delayed or reordered.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use crate::change_log::ChangeLog;
use crate::events::Event;
use crate::evidence::{Evidence, VersionCounts};
use crate::facts::Facts;
use crate::ids::{HostId, Incarnation, VersionRef};
use crate::limits::Limits;
use crate::membership::{Member, Members};
use crate::store::Store;
use crate::traffic::suspects::Suspects;
use crate::units::Millis;
use crate::view::{ConfigConfirmation, View, ViewBuilder};

mod config_pull;
mod exchange;
mod item_limit;
mod links;
mod merge;
mod messages;
mod options;
mod rollout_control;

use config_pull::ConfigPull;
use item_limit::ItemLimit;
use messages::ItemKey;
pub use messages::{Exchange, Item};
pub use options::NodeOptions;

/// An action that the caller of a node must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send one half of an exchange to a host.
    Exchange {
        /// Receiver of the message.
        to: HostId,
        /// Peer address of the receiver, as `ip:port`.
        address: String,
        /// The message to send.
        message: Exchange,
    },
    /// Ask `via` to check whether it can reach `target` (an indirect probe).
    Probe {
        /// Host that makes the check.
        via: HostId,
        /// Peer address of `via`, as `ip:port`.
        via_address: String,
        /// Host that is checked.
        target: HostId,
        /// Peer address of `target`, as `ip:port`.
        target_address: String,
    },
    /// Write a log line with the given detail text.
    Log(Event, String),
}

/// State of the exchanges with one other host.
#[derive(Clone, Debug, Default)]
struct Link {
    /// Incarnation that sent the last message; `None` before the first one.
    peer_incarnation: Option<Incarnation>,
    /// Sequence number in this host's journal up to which the peer has all items.
    acked_by_peer: u64,
    /// Sequence number in the peer's journal up to which this host has all items.
    received_seq: u64,
    /// Revision up to which the peer's configuration is complete, as last reported.
    peer_complete_to: u64,
    /// Revision that this host last reported to the peer as its own `complete_to`.
    reported_complete_to: u64,
    /// When this host last received a message from the peer.
    last_received_at: Millis,
    /// When this host last sent a request to the peer.
    sent_at: Millis,
    is_awaiting_reply: bool,
    /// Whether the peer has been probed since its last message.
    is_probed: bool,
    item_limit: ItemLimit,
}

/// What this host observed of a version, and when it last published that to other hosts.
#[derive(Clone, Copy, Debug, Default)]
struct LocalCounts {
    counts: VersionCounts,
    published_at: Millis,
    is_unpublished: bool,
    /// Whether the version is the canary of a roll-out, whose counts are published more often.
    is_canary: bool,
}

/// The control state of one host.
#[derive(Debug)]
pub struct Node {
    options: NodeOptions,
    incarnation: Incarnation,
    /// The known hosts and their states.
    pub members: Members,
    /// This host's copy of the configuration.
    pub store: Store,
    /// Facts that bar versions and endpoints from new work.
    pub facts: Facts,
    /// Counts of requests, errors and ratings per version, from all hosts.
    pub evidence: Evidence,
    /// This host's shares of the workspaces' limits, shared with the traffic threads.
    pub limits: Arc<Mutex<Limits>>,
    /// Requests that may have crashed endpoints, shared with the traffic threads.
    pub suspects: Arc<Suspects>,
    /// This host's own counts by version and generation.
    local_counts: BTreeMap<(VersionRef, u64), LocalCounts>,
    /// Stable and canary versions of the running roll-outs.
    rollout_versions: BTreeSet<VersionRef>,
    /// Sequence number of the last item that is sent without waiting for the next heartbeat.
    urgent_seq: u64,
    config_pull: ConfigPull,
    /// When this host last tried to contact a dead or unknown host.
    last_reconnect_at: Millis,
    /// The items that this host gossips.
    items: ChangeLog<ItemKey, Item>,
    links: BTreeMap<HostId, Link>,
    /// Peer addresses of the other hosts that the platform lists.
    seeds: BTreeMap<HostId, String>,
    /// Cached result of `peers()` with the membership epoch that it was computed for.
    peers: Option<(u64, Vec<(HostId, String)>)>,
    /// Cached result of `is_watcher()` with the membership epoch that it was computed for.
    watcher_cache: Cell<Option<(u64, bool)>>,
    confirmation: Option<ConfigConfirmation>,
    /// Whether the view must be rebuilt.
    has_changed: bool,
    /// Number of the last exchange that this host started.
    nonce: u64,
    /// Log lines to return from the next tick.
    pending_log: Vec<Action>,
}

impl Node {
    /// Creates the state of a host that has just started. Its exchanges are numbered from `nonce` on.
    pub fn new(own: Member, options: NodeOptions, nonce: u64) -> Node {
        let own_incarnation = own.incarnation.clone();
        let mut items = ChangeLog::default();
        let item = Item::Member(own.clone());
        items.put(item.key(), item);
        Node {
            options,
            incarnation: own_incarnation,
            members: Members::new(own),
            store: Store::default(),
            facts: Facts::default(),
            evidence: Evidence::default(),
            limits: Arc::default(),
            suspects: Arc::default(),
            local_counts: BTreeMap::new(),
            rollout_versions: BTreeSet::new(),
            urgent_seq: 0,
            config_pull: ConfigPull::default(),
            last_reconnect_at: Millis(0),
            items,
            links: BTreeMap::new(),
            seeds: BTreeMap::new(),
            peers: None,
            watcher_cache: Cell::new(None),
            confirmation: None,
            has_changed: false,
            nonce,
            pending_log: Vec::new(),
        }
    }

    /// Returns this host's incarnation.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().expect("no holder of the lock panics")
    }

    /// Sets the addresses of the hosts that the platform lists, used to make the first contacts.
    pub fn set_seeds(&mut self, seeds: BTreeMap<HostId, String>) {
        self.seeds = seeds;
        self.seeds.remove(&self.incarnation.host);
        self.peers = None;
    }

    /// Reports whether the view must be rebuilt, and clears that flag.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Returns the time since the configuration was last confirmed to be the newest, or `None` if it
    /// never was.
    pub fn confirmation_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at().map(|at| now - at)
    }

    /// Returns the time at which the configuration was last known to be the newest.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmation.map(|c| c.confirmed_at)
    }

    /// Returns the last confirmation of the configuration, or `None` if there was none.
    pub fn confirmation(&self) -> Option<ConfigConfirmation> {
        self.confirmation
    }

    /// Reports whether this host is one of those that watch the object API for its failure domain.
    ///
    /// The result is recomputed only when the members change.
    pub fn is_watcher(&self) -> bool {
        let epoch = self.members.epoch();
        match self.watcher_cache.get() {
            Some((at, is_watcher)) if at == epoch => is_watcher,
            _ => {
                let is_watcher =
                    self.members.rank_in_domain("watch") < self.options.watchers_per_domain;
                self.watcher_cache.set(Some((epoch, is_watcher)));
                is_watcher
            }
        }
    }

    /// Reports whether this host must read the object API itself because its configuration is missing
    /// or has not been confirmed for `max_confirmation_age_ms`. This does not depend on `is_watcher()`.
    pub fn needs_poll(&self, now: Millis) -> bool {
        let age = self.confirmation_age(now);
        !self.store.is_ready() || age.is_none_or(|a| a.0 > self.options.max_confirmation_age_ms)
    }

    /// Returns the number of hosts that are known and not dead, this one included.
    pub fn live_host_count(&self) -> usize {
        self.members.live().count()
    }

    /// Runs the periodic work and returns the actions that are due.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.publish_evidence(now);
        self.log_suspect_changes();
        self.expire_members(now);
        // A host that has just started knows few members. It also counts the hosts that the platform
        // lists, since its share of the limits would otherwise be too large.
        let hosts = self.members.iter().count().max(self.seeds.len() + 1);
        self.limits().set_hosts(hosts);
        let mut actions = self.due_exchanges(now);
        actions.extend(self.due_probes(now));
        actions.append(&mut self.pending_log);
        actions
    }

    /// Logs which suspect requests were barred or cleared.
    fn log_suspect_changes(&mut self) {
        for change in self.suspects.take_changes() {
            self.push_log(change.event(), change.to_string());
        }
    }

    fn push_log(&mut self, event: Event, text: String) {
        self.pending_log.push(Action::Log(event, text));
    }

    /// Builds the view for the traffic threads, logs the objects that cannot be parsed and applies the
    /// workspaces' limits.
    pub fn view(&mut self, now: Millis, builder: &mut ViewBuilder) -> View {
        let (view, invalid) = builder.build(&self.incarnation, &self.store, &self.facts);
        for (key, reason) in invalid {
            self.push_log(Event::ConfigRejected, format!("{key}: {reason}"));
        }
        let running_rollouts = view.rollouts.iter().filter(|r| r.is_running());
        self.rollout_versions =
            running_rollouts.flat_map(|r| [r.spec.from.clone(), r.spec.to.clone()]).collect();
        let mut limits = self.limits();
        for (id, w) in &view.workspaces {
            limits.set_limit(now, id, w.requests_per_second, w.concurrency);
        }
        limits.retain(|id| view.workspaces.contains_key(id));
        drop(limits);
        view
    }

    /// Returns each linked host with the time since its last message.
    pub fn link_silences(&self, now: Millis) -> Vec<(HostId, Millis)> {
        self.links.iter().map(|(h, l)| (h.clone(), now - l.last_received_at)).collect()
    }

    /// Returns the number of items that this host gossips.
    pub fn item_count(&self) -> usize {
        self.items.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::{ObjectKey, ObjectKind};
    use crate::facts::{Fact, Subject};
    use crate::membership::MemberState;
    use crate::store::Entry;

    use super::config_pull::SMALL_DELTA_ONLY;

    fn node(host: &str) -> Node {
        let own = Member {
            incarnation: format!("{host}~1").parse().expect("the incarnation parses"),
            state_version: 1,
            state: MemberState::Alive,
            peer_address: host.to_string(),
            caller_address: String::new(),
            failure_domain: "a".parse().expect("the failure domain parses"),
        };
        Node::new(own, NodeOptions::default(), 1)
    }

    /// Delivers all exchanges that `a` starts at `now` to `b`, and the replies to `a`.
    fn exchange_between(now: Millis, a: &mut Node, b: &mut Node) {
        for action in a.tick(now) {
            if let Action::Exchange { to, message, .. } = action {
                let nonce = message.nonce;
                let reply = b.on_exchange(now, message);
                a.on_reply(now, &to, now, nonce, reply);
            }
        }
    }

    fn connected_pair() -> (Node, Node) {
        let (mut a, mut b) = (node("a"), node("b"));
        a.set_seeds([("b".parse().expect("the host name parses"), "b".to_string())].into());
        exchange_between(Millis(10_000), &mut a, &mut b);
        (a, b)
    }

    fn entry(name: &str, version: u64) -> Entry {
        Entry { key: ObjectKey::new(ObjectKind::Model, name), version, body: Some("{}".into()) }
    }

    #[test]
    fn two_hosts_exchange_membership_and_configuration() {
        let (mut a, mut b) = connected_pair();
        assert_eq!((a.live_host_count(), b.live_host_count()), (2, 2));
        a.on_list(Millis(10_000), 7, vec![entry("m", 7)]);
        exchange_between(Millis(10_100), &mut a, &mut b);
        assert_eq!(b.store.complete_to(), 7);
    }

    #[test]
    fn facts_spread_between_hosts_without_the_platform() {
        let (mut a, mut b) = connected_pair();
        let subject = Subject::Withdrawn("m@1".parse().expect("the version name parses"));
        b.add_fact(Fact { subject: subject.clone(), generation: 1 });
        exchange_between(Millis(12_100), &mut a, &mut b);
        assert!(a.facts.is_version_barred(&"m@1".parse().expect("the version name parses"), 1));
    }

    #[test]
    fn confirmation_age_counts_from_the_request() {
        let (mut a, mut b) = connected_pair();
        b.on_list(Millis(10_500), 7, vec![]);
        let message = a.message_for(
            Millis(11_000),
            &"b".parse().expect("the host name parses"),
            vec![],
            SMALL_DELTA_ONLY,
        );
        let nonce = message.nonce;
        let reply = b.on_exchange(Millis(11_500), message);
        a.on_reply(
            Millis(60_000),
            &"b".parse().expect("the host name parses"),
            Millis(11_000),
            nonce,
            reply,
        );
        assert_eq!(a.confirmed_at(), Some(Millis(10_000)));
    }

    #[test]
    fn two_hosts_that_consider_each_other_dead_reconnect() {
        let (mut a, mut b) = connected_pair();
        for now in (15_000..22_000).step_by(500) {
            a.tick(Millis(now));
            b.tick(Millis(now));
        }
        let dead = |n: &Node| n.members.iter().filter(|m| !m.is_live()).count();
        assert_eq!((dead(&a), dead(&b)), (1, 1));
        for now in (25_000..33_000).step_by(500) {
            exchange_between(Millis(now), &mut a, &mut b);
        }
        assert_eq!((dead(&a), dead(&b)), (0, 0));
    }

    #[test]
    fn a_host_that_has_left_does_not_call_itself() {
        let (mut a, _) = connected_pair();
        let own = a.incarnation().host.clone();
        a.announce(MemberState::Dead);

        let called: Vec<HostId> = (12_000..40_000)
            .step_by(500)
            .flat_map(|now| a.tick(Millis(now)))
            .filter_map(|action| match action {
                Action::Exchange { to, .. } => Some(to),
                _ => None,
            })
            .collect();

        assert!(!called.is_empty());
        assert!(!called.contains(&own), "{called:?}");
    }

    #[test]
    fn a_silent_host_becomes_suspect_and_then_dead() {
        let (mut a, _) = connected_pair();
        let b: HostId = "b".parse().expect("the host name parses");
        a.tick(Millis(15_000));
        assert_eq!(a.members.lookup(&b).expect("member b is known").state, MemberState::Suspect);
        a.tick(Millis(19_100));
        assert_eq!(a.members.lookup(&b).expect("member b is known").state, MemberState::Dead);
    }
}
