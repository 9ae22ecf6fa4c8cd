//! The control state of one host: what it knows and what it says to others.
//!
//! A node takes messages and the time and gives back actions; it never waits. Two hosts exchange
//! what changed since the other's last acknowledgement: members, narrowing facts, evidence and loans.
//! Configuration travels as the run of changes after the other's `complete_to`. Every merge is a
//! maximum, so messages may be lost, repeated, late or out of order.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use crate::change_log::ChangeLog;
use crate::events::Event;
use crate::evidence::{Counts, Evidence};
use crate::facts::Facts;
use crate::ids::{HostId, Incarnation, VersionRef};
use crate::limits::Limits;
use crate::membership::{Member, Members};
use crate::store::Store;
use crate::traffic::suspects::Suspects;
use crate::units::Millis;
use crate::view::{Confirmation, View, ViewBuilder};

mod duties;
mod exchange;
mod items;
mod knowledge;
mod links;
mod messages;
mod options;
mod pulls;

use items::ItemRoom;
use messages::ItemKey;
pub use messages::{Exchange, Item};
pub use options::NodeOptions;
use pulls::Pulls;

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
    peer_life: Option<Incarnation>,
    acked_by_peer: u64,
    acked_of_peer: u64,
    peer_complete_to: u64,
    /// What the peer was told that this host has.
    told_complete_to: u64,
    heard_at: Millis,
    sent_at: Millis,
    waiting: bool,
    probed: bool,
    items: ItemRoom,
}

/// What this host saw of a version, and what it has told of it.
#[derive(Clone, Copy, Debug, Default)]
struct OwnCounts {
    counts: Counts,
    told_at: Millis,
    untold: bool,
    unproven: bool,
}

/// The control state of one host.
#[derive(Debug)]
pub struct Node {
    options: NodeOptions,
    own: Incarnation,
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
    own_counts: BTreeMap<(VersionRef, u64), OwnCounts>,
    /// Versions that a running roll-out is about.
    watched: BTreeSet<VersionRef>,
    /// Sequence number of the last news that should not wait for a beat.
    urgent_seq: u64,
    pulls: Pulls,
    sought_at: Millis,
    items: ChangeLog<ItemKey, Item>,
    links: BTreeMap<HostId, Link>,
    seeds: BTreeMap<HostId, String>,
    peers: Option<(u64, Vec<(HostId, String)>)>,
    watcher: Cell<Option<(u64, bool)>>,
    confirmed: Option<Confirmation>,
    changed: bool,
    nonce: u64,
    log: Vec<Action>,
}

impl Node {
    /// Makes the state of a host that has just started.
    pub fn new(own: Member, options: NodeOptions, nonce: u64) -> Node {
        let incarnation = own.incarnation.clone();
        let mut items = ChangeLog::default();
        let item = Item::Member(own.clone());
        items.put(item.key(), item);
        Node {
            options,
            own: incarnation,
            members: Members::new(own),
            store: Store::default(),
            facts: Facts::default(),
            evidence: Evidence::default(),
            limits: Arc::default(),
            suspects: Arc::default(),
            own_counts: BTreeMap::new(),
            watched: BTreeSet::new(),
            urgent_seq: 0,
            pulls: Pulls::default(),
            sought_at: Millis(0),
            items,
            links: BTreeMap::new(),
            seeds: BTreeMap::new(),
            peers: None,
            watcher: Cell::new(None),
            confirmed: None,
            changed: false,
            nonce,
            log: Vec::new(),
        }
    }

    /// Gets this host's incarnation.
    pub fn own(&self) -> &Incarnation {
        &self.own
    }

    fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().expect("no holder of the lock panics")
    }

    /// Takes the platform's list of hosts: places to talk to.
    pub fn set_seeds(&mut self, seeds: BTreeMap<HostId, String>) {
        self.seeds = seeds;
        self.seeds.remove(&self.own.host);
        self.peers = None;
    }

    /// Tells, once, whether the view must be built again.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Gets the time since the configuration was confirmed to be the newest.
    pub fn fresh_age(&self, now: Millis) -> Option<Millis> {
        self.fresh_at().map(|at| now - at)
    }

    /// Gets the instant at which the configuration was last confirmed.
    pub fn fresh_at(&self) -> Option<Millis> {
        self.confirmed.map(|c| c.fresh_at)
    }

    /// Gets when the configuration was last confirmed, and when that was asked for.
    pub fn confirmed(&self) -> Option<Confirmation> {
        self.confirmed
    }

    /// Tells whether this host should keep a watch on the object API.
    ///
    /// Worked out anew only when the members change.
    pub fn is_watcher(&self) -> bool {
        let epoch = self.members.epoch();
        match self.watcher.get() {
            Some((at, watcher)) if at == epoch => watcher,
            _ => {
                let watcher = self.members.own_rank_in_domain("watch") < self.options.watchers;
                self.watcher.set(Some((epoch, watcher)));
                watcher
            }
        }
    }

    /// Tells whether this host should read the object API now, watcher or not.
    pub fn wants_poll(&self, now: Millis) -> bool {
        let age = self.fresh_age(now);
        !self.store.is_ready() || age.is_none_or(|a| a.0 > self.options.poll_ms)
    }

    /// Counts the hosts that share limits: all that are known and not dead.
    pub fn hosts(&self) -> usize {
        self.members.live().count()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.publish_evidence(now);
        self.note_suspects();
        self.judge_members(now);
        // A host that has met few others yet goes by the platform's list, lest its share be too large.
        let hosts = self.members.iter().count().max(self.seeds.len() + 1);
        self.limits().set_hosts(hosts);
        let mut actions = self.exchange_due(now);
        actions.extend(self.probes_due(now));
        actions.append(&mut self.log);
        actions
    }

    /// Logs which requests under suspicion were barred or cleared.
    fn note_suspects(&mut self) {
        for change in self.suspects.take_changes() {
            self.say(change.event(), change.to_string());
        }
    }

    fn say(&mut self, event: Event, text: String) {
        self.log.push(Action::Log(event, text));
    }

    /// Builds the traffic threads' view.
    pub fn view(&mut self, now: Millis, builder: &mut ViewBuilder) -> View {
        let (view, unreadable) = builder.build(&self.own, &self.store, &self.facts);
        for (key, why) in unreadable {
            self.say(Event::ConfigRejected, format!("{key}: {why}"));
        }
        let running = view.rollouts.iter().filter(|r| r.is_running());
        self.watched = running.flat_map(|r| [r.spec.from.clone(), r.spec.to.clone()]).collect();
        let mut limits = self.limits();
        for (id, w) in &view.workspaces {
            limits.set_limit(now, id, w.requests_per_second, w.concurrency);
        }
        limits.retain(|id| view.workspaces.contains_key(id));
        drop(limits);
        view
    }

    /// Lists the links: the host and how long it has been silent.
    pub fn link_ages(&self, now: Millis) -> Vec<(HostId, Millis)> {
        self.links.iter().map(|(h, l)| (h.clone(), now - l.heard_at)).collect()
    }

    /// Counts the entries told to others.
    pub fn items(&self) -> usize {
        self.items.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::{Kind, ObjectKey};
    use crate::facts::{Fact, Subject};
    use crate::membership::MemberState;
    use crate::store::Entry;

    use super::pulls::NO_ROOM;

    fn node(host: &str) -> Node {
        let own = Member {
            incarnation: format!("{host}~1").parse().expect("an incarnation"),
            beat: 1,
            state: MemberState::Alive,
            peer: host.to_string(),
            caller: String::new(),
            failure_domain: "a".parse().expect("a failure domain"),
        };
        Node::new(own, NodeOptions::default(), 1)
    }

    /// Lets `a` exchange with `b` as often as it wants at one time.
    fn talk(now: Millis, a: &mut Node, b: &mut Node) {
        for action in a.tick(now) {
            if let Action::Exchange { to, message, .. } = action {
                let nonce = message.nonce;
                let reply = b.on_exchange(now, message);
                a.on_reply(now, &to, now, nonce, reply);
            }
        }
    }

    fn pair() -> (Node, Node) {
        let (mut a, mut b) = (node("a"), node("b"));
        a.set_seeds([("b".parse().expect("a host"), "b".to_string())].into());
        talk(Millis(10_000), &mut a, &mut b);
        (a, b)
    }

    fn entry(name: &str, version: u64) -> Entry {
        Entry { key: ObjectKey::new(Kind::Model, name), version, body: Some("{}".into()) }
    }

    #[test]
    fn two_hosts_learn_of_each_other_and_of_the_configuration() {
        let (mut a, mut b) = pair();
        assert_eq!((a.hosts(), b.hosts()), (2, 2));
        a.on_list(Millis(10_000), 7, vec![entry("m", 7)]);
        talk(Millis(10_100), &mut a, &mut b);
        assert_eq!(b.store.complete_to(), 7);
    }

    #[test]
    fn a_fact_goes_both_ways_without_the_platform() {
        let (mut a, mut b) = pair();
        let subject = Subject::Withdrawn("m@1".parse().expect("a version"));
        b.learn(Fact { subject: subject.clone(), generation: 1 });
        talk(Millis(12_100), &mut a, &mut b);
        assert!(a.facts.bars_version(&"m@1".parse().expect("a version"), 1));
    }

    #[test]
    fn freshness_counts_from_when_it_was_asked() {
        let (mut a, mut b) = pair();
        b.on_list(Millis(10_500), 7, vec![]);
        let message = a.message_for(Millis(11_000), &"b".parse().expect("a host"), vec![], NO_ROOM);
        let nonce = message.nonce;
        let reply = b.on_exchange(Millis(11_500), message);
        a.on_reply(Millis(60_000), &"b".parse().expect("a host"), Millis(11_000), nonce, reply);
        assert_eq!(a.fresh_at(), Some(Millis(10_000)));
    }

    #[test]
    fn two_hosts_that_hold_each_other_dead_find_each_other_again() {
        let (mut a, mut b) = pair();
        for now in (15_000..22_000).step_by(500) {
            a.tick(Millis(now));
            b.tick(Millis(now));
        }
        let dead = |n: &Node| n.members.iter().filter(|m| !m.is_live()).count();
        assert_eq!((dead(&a), dead(&b)), (1, 1));
        for now in (25_000..33_000).step_by(500) {
            talk(Millis(now), &mut a, &mut b);
        }
        assert_eq!((dead(&a), dead(&b)), (0, 0));
    }

    #[test]
    fn a_host_that_has_left_does_not_call_itself() {
        let (mut a, _) = pair();
        let own = a.own().host.clone();
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
    fn a_silent_host_is_suspected_and_then_dead() {
        let (mut a, _) = pair();
        let b: HostId = "b".parse().expect("a host");
        a.tick(Millis(15_000));
        assert_eq!(a.members.lookup(&b).expect("b").state, MemberState::Suspect);
        a.tick(Millis(19_100));
        assert_eq!(a.members.lookup(&b).expect("b").state, MemberState::Dead);
    }
}
