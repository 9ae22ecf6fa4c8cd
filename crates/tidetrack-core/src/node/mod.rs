//! The control state of one host: what it knows and what it says to others.
//!
//! A node takes messages and the time and gives back actions; it never waits. Two hosts exchange
//! what changed since the other's last acknowledgement: members, narrowing facts, evidence and loans.
//! Configuration travels as the run of changes after the other's `complete_to`. Every merge is a
//! maximum, so messages may be lost, repeated, late or out of order.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use crate::events::Event;
use crate::evidence::{Evidence, VersionCounts};
use crate::facts::Facts;
use crate::ids::{HostId, Incarnation, VersionRef};
use crate::journal::Journal;
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

/// What a node wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Exchange with a host.
    Exchange {
        /// The host.
        to: HostId,
        /// `ip:port`.
        address: String,
        /// What to say.
        message: Exchange,
    },
    /// Ask `via` to call `target`.
    Probe {
        /// Who is asked.
        via: HostId,
        /// `ip:port` of who is asked.
        via_address: String,
        /// Who is called.
        target: HostId,
        /// `ip:port` of who is called.
        target_address: String,
    },
    /// Write a log line.
    Log(Event, String),
}

#[derive(Clone, Debug, Default)]
struct Link {
    peer_incarnation: Option<Incarnation>,
    acked_by_peer: u64,
    received_seq: u64,
    peer_complete_to: u64,
    /// What the peer was told that this host has.
    reported_complete_to: u64,
    last_received_at: Millis,
    sent_at: Millis,
    is_awaiting_reply: bool,
    is_probed: bool,
    item_limit: ItemLimit,
}

/// What this host saw of a version, and what it has told of it.
#[derive(Clone, Copy, Debug, Default)]
struct LocalCounts {
    counts: VersionCounts,
    published_at: Millis,
    is_unpublished: bool,
    is_canary: bool,
}

/// The control state of one host.
#[derive(Debug)]
pub struct Node {
    options: NodeOptions,
    incarnation: Incarnation,
    /// Who is alive.
    pub members: Members,
    /// The configuration.
    pub store: Store,
    /// Narrowing facts.
    pub facts: Facts,
    /// Evidence about versions.
    pub evidence: Evidence,
    /// Shares of the workspaces' limits; traffic threads use them too.
    pub limits: Arc<Mutex<Limits>>,
    /// Requests under which endpoints crashed; traffic threads use them too.
    pub suspects: Arc<Suspects>,
    local_counts: BTreeMap<(VersionRef, u64), LocalCounts>,
    /// Versions that a running roll-out is about.
    rollout_versions: BTreeSet<VersionRef>,
    /// Sequence number of the last news that should not wait for a beat.
    urgent_seq: u64,
    config_pull: ConfigPull,
    last_reconnect_at: Millis,
    items: Journal<ItemKey, Item>,
    links: BTreeMap<HostId, Link>,
    seeds: BTreeMap<HostId, String>,
    peers: Option<(u64, Vec<(HostId, String)>)>,
    watcher_cache: Cell<Option<(u64, bool)>>,
    confirmation: Option<ConfigConfirmation>,
    has_changed: bool,
    nonce: u64,
    pending_log: Vec<Action>,
}

impl Node {
    /// Makes the state of a host that has just started.
    pub fn new(own: Member, options: NodeOptions, nonce: u64) -> Node {
        let own_incarnation = own.incarnation.clone();
        let mut items = Journal::default();
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

    /// Gets this host's incarnation.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().expect("no holder of the lock panics")
    }

    /// Takes the platform's list of hosts: places to talk to.
    pub fn set_seeds(&mut self, seeds: BTreeMap<HostId, String>) {
        self.seeds = seeds;
        self.seeds.remove(&self.incarnation.host);
        self.peers = None;
    }

    /// Tells, once, whether the view must be built again.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Gets the time since the configuration was confirmed to be the newest.
    pub fn confirmation_age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at().map(|at| now - at)
    }

    /// Gets the instant at which the configuration was last confirmed.
    pub fn confirmed_at(&self) -> Option<Millis> {
        self.confirmation.map(|c| c.confirmed_at)
    }

    /// Gets when the configuration was last confirmed, and when that was asked for.
    pub fn confirmation(&self) -> Option<ConfigConfirmation> {
        self.confirmation
    }

    /// Tells whether this host should keep a watch on the object API.
    ///
    /// Worked out anew only when the members change.
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

    /// Tells whether this host should read the object API now, watcher or not.
    pub fn needs_poll(&self, now: Millis) -> bool {
        let age = self.confirmation_age(now);
        !self.store.is_ready() || age.is_none_or(|a| a.0 > self.options.max_confirmation_age_ms)
    }

    /// Counts the hosts that share limits: all that are known and not dead.
    pub fn live_host_count(&self) -> usize {
        self.members.live().count()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.publish_evidence(now);
        self.log_suspect_changes();
        self.expire_members(now);
        // A host that has met few others yet goes by the platform's list, lest its share be too large.
        let hosts = self.members.iter().count().max(self.seeds.len() + 1);
        self.limits().set_hosts(hosts);
        let mut actions = self.due_exchanges(now);
        actions.extend(self.due_probes(now));
        actions.append(&mut self.pending_log);
        actions
    }

    /// Logs which requests under suspicion were barred or cleared.
    fn log_suspect_changes(&mut self) {
        for change in self.suspects.take_changes() {
            self.push_log(change.event(), change.to_string());
        }
    }

    fn push_log(&mut self, event: Event, text: String) {
        self.pending_log.push(Action::Log(event, text));
    }

    /// Builds the traffic threads' view.
    pub fn view(&mut self, now: Millis, builder: &mut ViewBuilder) -> View {
        let (view, unreadable) = builder.build(&self.incarnation, &self.store, &self.facts);
        for (key, reason) in unreadable {
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

    /// Lists the links: the host and how long it has been silent.
    pub fn link_silences(&self, now: Millis) -> Vec<(HostId, Millis)> {
        self.links.iter().map(|(h, l)| (h.clone(), now - l.last_received_at)).collect()
    }

    /// Counts the entries told to others.
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
            incarnation: format!("{host}~1").parse().expect("an incarnation"),
            state_version: 1,
            state: MemberState::Alive,
            peer_address: host.to_string(),
            caller_address: String::new(),
            failure_domain: "a".parse().expect("a failure domain"),
        };
        Node::new(own, NodeOptions::default(), 1)
    }

    /// Lets `a` exchange with `b` as often as it wants at one time.
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
        a.set_seeds([("b".parse().expect("a host"), "b".to_string())].into());
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
        let subject = Subject::Withdrawn("m@1".parse().expect("a version"));
        b.add_fact(Fact { subject: subject.clone(), generation: 1 });
        exchange_between(Millis(12_100), &mut a, &mut b);
        assert!(a.facts.is_version_barred(&"m@1".parse().expect("a version"), 1));
    }

    #[test]
    fn confirmation_age_counts_from_the_request() {
        let (mut a, mut b) = connected_pair();
        b.on_list(Millis(10_500), 7, vec![]);
        let message =
            a.message_for(Millis(11_000), &"b".parse().expect("a host"), vec![], SMALL_DELTA_ONLY);
        let nonce = message.nonce;
        let reply = b.on_exchange(Millis(11_500), message);
        a.on_reply(Millis(60_000), &"b".parse().expect("a host"), Millis(11_000), nonce, reply);
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
        let b: HostId = "b".parse().expect("a host");
        a.tick(Millis(15_000));
        assert_eq!(a.members.lookup(&b).expect("b").state, MemberState::Suspect);
        a.tick(Millis(19_100));
        assert_eq!(a.members.lookup(&b).expect("b").state, MemberState::Dead);
    }
}
