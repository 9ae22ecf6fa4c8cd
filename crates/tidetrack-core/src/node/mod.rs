//! The control state of one host: what it knows and what it says to others.
//!
//! A node takes messages and the time and gives back actions; it never waits. Two hosts exchange
//! what changed since the other's last acknowledgement: members, narrowing facts, evidence and loans.
//! Configuration travels as the run of changes after the other's `complete_to`. Every merge is a
//! maximum, so messages may be lost, repeated, late or out of order.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use serde::{Deserialize, Serialize};

use crate::events::Event;
use crate::evidence::{CellKey, Counts, Evidence};
use crate::facts::{Fact, Facts};
use crate::ids::{HostId, Incarnation, VersionRef};
use crate::journal::Journal;
use crate::limits::{Limits, LoanAsk};
use crate::membership::{Member, MemberNews, MemberState, Members};
use crate::store::{Delta, Entry, Store};
use crate::units::Millis;
use crate::view::{facts_of_store, View, ViewBuilder};

mod duties;
mod items;
mod links;
mod messages;
mod pulls;

use items::ItemRoom;
use messages::ItemKey;
pub use messages::{Exchange, Item};
use pulls::{Pulls, ANSWER_AIM, NO_ROOM};

/// Times and sizes of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeOptions {
    /// A link exchanges at least this often, in milliseconds.
    pub beat_ms: u64,
    /// A link with news exchanges after this many milliseconds.
    pub news_ms: u64,
    /// Silence on a link after which others are asked to probe.
    pub silent_ms: u64,
    /// A suspect is held dead after this many milliseconds.
    pub suspect_ms: u64,
    /// A host held dead, or listed and never met, is called this often, one at a time.
    pub seek_ms: u64,
    /// A dead host is forgotten after this many milliseconds.
    pub forget_ms: u64,
    /// Hosts of each failure domain that watch the object API.
    pub watchers: usize,
    /// The other hosts read the object API when nothing confirmed their copy for so long.
    pub poll_ms: u64,
    /// Own evidence of a version under roll-out is passed on at most this often; the time is
    /// multiplied by the number of hosts, so that what all of them send each host stays the same.
    pub evidence_ms_a_host: u64,
    /// Larger runs of changes are announced, and sent to those who ask.
    pub push_bytes: usize,
    /// Most objects in one message.
    pub objects_most: usize,
    /// Most bytes of objects in one message.
    pub object_bytes: usize,
    /// Most items in one message.
    pub items_most: usize,
}

impl Default for NodeOptions {
    fn default() -> Self {
        NodeOptions {
            beat_ms: 2_000,
            news_ms: 25,
            silent_ms: 5_000,
            suspect_ms: 4_000,
            seek_ms: 2_000,
            forget_ms: 120_000,
            watchers: 2,
            poll_ms: 15_000,
            evidence_ms_a_host: 150,
            push_bytes: 2_048,
            objects_most: 200,
            object_bytes: 256 * 1024,
            items_most: 400,
        }
    }
}

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
    own_counts: BTreeMap<(VersionRef, u64), OwnCounts>,
    /// Versions that a running roll-out is about.
    watched: BTreeSet<VersionRef>,
    /// Sequence number of the last news that should not wait for a beat.
    urgent_seq: u64,
    pulls: Pulls,
    sought_at: Millis,
    items: Journal<ItemKey, Item>,
    links: BTreeMap<HostId, Link>,
    seeds: BTreeMap<HostId, String>,
    peers: Option<(u64, Vec<(HostId, String)>)>,
    watcher: Cell<Option<(u64, bool)>>,
    fresh_at: Option<Millis>,
    changed: bool,
    nonce: u64,
    log: Vec<Action>,
}

impl Node {
    /// Makes the state of a host that has just started.
    pub fn new(own: Member, options: NodeOptions, nonce: u64) -> Node {
        let incarnation = own.incarnation.clone();
        let mut items = Journal::default();
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
            fresh_at: None,
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
        self.fresh_at.map(|at| now - at)
    }

    /// Gets the instant at which the configuration was last confirmed.
    pub fn fresh_at(&self) -> Option<Millis> {
        self.fresh_at
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
        self.judge_members(now);
        // A host that has met few others yet goes by the platform's list, lest its share be too large.
        let hosts = self.members.iter().count().max(self.seeds.len() + 1);
        self.limits().set_hosts(hosts);
        let mut actions = self.exchange_due(now);
        actions.extend(self.probes_due(now));
        actions.append(&mut self.log);
        actions
    }

    fn say(&mut self, event: Event, text: String) {
        self.log.push(Action::Log(event, text));
    }

    fn message_for(
        &mut self,
        now: Millis,
        host: &HostId,
        asks: Vec<LoanAsk>,
        room: usize,
    ) -> Exchange {
        self.nonce = self.nonce.wrapping_add(1);
        let link = self.links.get(host).cloned().unwrap_or_default();
        let (seq, items) = self.items_for(host, &link);
        let complete_to = self.store.complete_to();
        let behind = link.peer_life.is_some() && link.peer_complete_to < complete_to;
        // A large run of changes is only announced: of many who have it, one will be asked for it.
        let objects = behind.then(|| self.small_run_since(link.peer_complete_to)).flatten();
        if let Some(link) = self.links.get_mut(host) {
            link.told_complete_to = complete_to;
        }
        Exchange {
            from: self.own.clone(),
            nonce: self.nonce,
            after: link.acked_by_peer,
            seq,
            acked: link.acked_of_peer,
            complete_to,
            fresh_age_ms: self.fresh_age(now).map(|a| a.0),
            room: Some(room),
            objects,
            items,
            asks,
            loans: Vec::new(),
        }
    }

    /// Gets the changes after `from` if they are few enough to be told to whoever lacks them.
    fn small_run_since(&self, from: u64) -> Option<Delta> {
        let most = self.options.push_bytes;
        let run = self.store.since(from, self.options.objects_most, most);
        let is_whole = run.to == self.store.complete_to();
        (is_whole && run.body_bytes() <= most).then_some(run)
    }

    /// Gets the changes after `from` that the other side has room for; one that names none is a host
    /// of an earlier release, which takes what it is given.
    fn run_for(&self, from: u64, room: Option<usize>) -> Option<Delta> {
        let bytes = match room {
            Some(NO_ROOM) => return self.small_run_since(from),
            Some(room) => room.min(self.options.object_bytes),
            None => self.options.object_bytes,
        };
        Some(self.store.since(from, self.options.objects_most, bytes))
    }

    /// Answers another host's half of an exchange.
    pub fn on_exchange(&mut self, now: Millis, message: Exchange) -> Exchange {
        let host = message.from.host.clone();
        let (nonce, peer_complete_to, room) = (message.nonce, message.complete_to, message.room);
        let loans = self.limits().grant(now, &message.asks);
        self.absorb(now, None, message);
        let link = self.links.get(&host).cloned().unwrap_or_default();
        let (seq, items) = self.items_for(&host, &link);
        let behind = peer_complete_to < self.store.complete_to();
        Exchange {
            from: self.own.clone(),
            nonce,
            after: link.acked_by_peer,
            seq,
            acked: link.acked_of_peer,
            complete_to: self.store.complete_to(),
            fresh_age_ms: self.fresh_age(now).map(|a| a.0),
            room: None,
            objects: behind.then(|| self.run_for(peer_complete_to, room)).flatten(),
            items,
            asks: Vec::new(),
            loans,
        }
    }

    /// Takes the reply to an exchange that was sent at `sent_at` with `nonce`.
    pub fn on_reply(&mut self, now: Millis, to: &HostId, sent_at: Millis, nonce: u64, r: Exchange) {
        if let Some(link) = self.links.get_mut(to) {
            link.waiting = false;
        }
        self.pulls.answered(now, to, self.options.object_bytes);
        if r.from.host == *to && r.nonce == nonce {
            self.limits().accept(sent_at, &r.loans);
            self.absorb(now, Some(sent_at), r);
        }
    }

    /// Takes note that an exchange failed.
    pub fn on_failed(&mut self, to: &HostId) {
        self.pulls.failed(to);
        if let Some(link) = self.links.get_mut(to) {
            link.waiting = false;
            link.items.narrow();
        }
    }

    /// Merges what the other side says. `asked_at` is there if this is a reply.
    fn absorb(&mut self, now: Millis, asked_at: Option<Millis>, message: Exchange) {
        let own_life = self.own.clone();
        let link = self.links.entry(message.from.host.clone()).or_default();
        if link.peer_life.as_ref() != Some(&message.from) {
            *link = Link { sent_at: link.sent_at, ..Link::default() };
            link.peer_life = Some(message.from.clone());
        }
        link.heard_at = now;
        link.probed = false;
        if message.acked > link.acked_by_peer {
            let is_late = asked_at.is_some_and(|at| now - at > ANSWER_AIM);
            link.items.acknowledged(is_late, self.options.items_most);
            link.acked_by_peer = message.acked;
        }
        link.peer_complete_to = link.peer_complete_to.max(message.complete_to);
        // Items that begin past what this life has would leave a gap: they count for nothing.
        if message.after <= link.acked_of_peer {
            link.acked_of_peer = link.acked_of_peer.max(message.seq);
        }
        debug_assert!(message.from != own_life);
        let (complete_to, fresh) = (message.complete_to, message.fresh_age_ms);
        if let Some(delta) = message.objects {
            self.merge_objects(delta);
        }
        let from = message.from;
        for item in message.items {
            self.merge_item(now, &from, item);
        }
        // The other side's word holds from when it was asked, never from when it arrived.
        if let (Some(asked_at), Some(age)) = (asked_at, fresh) {
            if complete_to <= self.store.complete_to() {
                self.confirm(asked_at - Millis(age));
            }
        }
    }

    fn confirm(&mut self, at: Millis) {
        self.fresh_at = Some(self.fresh_at.map_or(at, |old| old.max(at)));
    }

    fn merge_objects(&mut self, delta: Delta) {
        if self.store.merge(delta) {
            self.configuration_changed();
        }
    }

    /// Has the view built anew, and lets accepted withdrawals spread as facts.
    fn configuration_changed(&mut self) {
        self.changed = true;
        for fact in facts_of_store(&self.store) {
            self.learn(fact);
        }
    }

    fn merge_item(&mut self, now: Millis, from: &Incarnation, item: Item) {
        let news = match &item {
            Item::Fact(fact) => {
                self.learn_from(fact.clone(), Some(from.clone()));
                return;
            }
            Item::Evidence(key, counts) => self.evidence.merge(key.clone(), counts),
            Item::Member(member) => match self.members.merge(now, member.clone()) {
                MemberNews::Old => false,
                MemberNews::New => {
                    self.say_member(member);
                    true
                }
                MemberNews::Refute => {
                    let own = Item::Member(self.members.own().clone());
                    self.put_urgent(own, None);
                    false
                }
            },
        };
        if news && matches!(item, Item::Evidence(..)) {
            self.items.put_from(item.key(), item, Some(from.clone()));
        } else if news {
            self.put_urgent(item, Some(from.clone()));
        }
    }

    /// Records news that should not wait for a beat.
    fn put_urgent(&mut self, item: Item, from: Option<Incarnation>) {
        self.items.put_from(item.key(), item, from);
        self.urgent_seq = self.items.seq();
    }

    fn say_member(&mut self, member: &Member) {
        let event = match member.state {
            MemberState::Alive | MemberState::Leaving => Event::PeerAlive,
            MemberState::Suspect => Event::PeerSuspect,
            MemberState::Dead => Event::PeerDead,
        };
        self.say(event, format!("{} {:?}", member.incarnation, member.state));
    }

    /// Learns a narrowing fact; tells whether it was news.
    pub fn learn(&mut self, fact: Fact) -> bool {
        self.learn_from(fact, None)
    }

    fn learn_from(&mut self, fact: Fact, from: Option<Incarnation>) -> bool {
        let news = self.facts.merge(fact.clone());
        if news {
            self.changed = true;
            self.say(Event::VersionBarred, format!("{:?} {}", fact.subject, fact.generation));
            self.put_urgent(Item::Fact(fact), from);
        }
        news
    }

    /// Takes a full list from the object API, asked for at `asked_at`.
    pub fn on_list(&mut self, asked_at: Millis, revision: u64, entries: Vec<Entry>) {
        if self.store.merge_list(revision, entries) {
            self.configuration_changed();
        }
        if revision >= self.store.complete_to() {
            self.confirm(asked_at);
        }
    }

    /// Takes the changes that the object API gave for a question asked at `asked_at`.
    pub fn on_changes(&mut self, asked_at: Millis, delta: Delta) {
        let to = delta.to;
        self.merge_objects(delta);
        if to >= self.store.complete_to() {
            self.confirm(asked_at);
        }
    }

    /// Takes an object that this host wrote itself, ahead of the watch.
    pub fn on_written(&mut self, delta: Delta) {
        self.merge_objects(delta);
    }

    /// Counts what this host saw of a version. An unproven version's counts are passed on sooner.
    pub fn count(&mut self, version: &VersionRef, generation: u64, unproven: bool, add: &Counts) {
        let own = self.own_counts.entry((version.clone(), generation)).or_default();
        own.counts.add(add);
        own.untold = true;
        own.unproven = unproven;
        let counts = own.counts;
        let seen_by = self.own.clone();
        self.evidence.merge(CellKey { version: version.clone(), generation, seen_by }, &counts);
    }

    /// Passes on own evidence of the versions that a running roll-out is about.
    fn publish_evidence(&mut self, now: Millis) {
        let every = self.hosts() as u64 * self.options.evidence_ms_a_host;
        for ((version, generation), own) in &mut self.own_counts {
            let every = if own.unproven { every } else { every * PROVEN_FACTOR };
            let due = own.untold && now - own.told_at >= Millis(every);
            if due && self.watched.contains(version) {
                own.untold = false;
                own.told_at = now;
                let seen_by = self.own.clone();
                let key = CellKey { version: version.clone(), generation: *generation, seen_by };
                let item = Item::Evidence(key, own.counts);
                self.items.put(item.key(), item);
            }
        }
    }

    /// Says to all that this host is leaving, or has left.
    pub fn announce(&mut self, state: MemberState) {
        let own = Item::Member(self.members.set_own_state(state));
        self.put_urgent(own, None);
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

/// Evidence of the proven version is passed on so much more seldom than of the new one.
const PROVEN_FACTOR: u64 = 3;

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::{Kind, ObjectKey};
    use crate::facts::Subject;

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
