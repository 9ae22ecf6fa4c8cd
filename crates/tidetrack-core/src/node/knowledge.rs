//! What a node knows, and how it merges what the object API, other hosts and its own traffic tell it.
//!
//! Every merge is a maximum; what was news is passed on.

use crate::events::Event;
use crate::evidence::{CellKey, Counts};
use crate::facts::Fact;
use crate::ids::{Incarnation, VersionRef};
use crate::membership::{Member, MemberNews, MemberState};
use crate::store::{Delta, Entry};
use crate::units::Millis;
use crate::view::{facts_of_store, Confirmation};

use super::messages::Item;
use super::Node;

/// Evidence of the proven version is passed on so much more seldom than of the new one.
const PROVEN_FACTOR: u64 = 3;

impl Node {
    /// Takes note that an answer confirmed the configuration as it was `age` before the question.
    pub(super) fn confirm(&mut self, asked_at: Millis, age: Millis) {
        let old = self.confirmed.unwrap_or_default();
        self.confirmed = Some(Confirmation {
            fresh_at: old.fresh_at.max(asked_at - age),
            asked_at: old.asked_at.max(asked_at),
        });
    }

    pub(super) fn merge_objects(&mut self, delta: Delta) {
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

    pub(super) fn merge_item(&mut self, now: Millis, from: &Incarnation, item: Item) {
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
    pub(super) fn put_urgent(&mut self, item: Item, from: Option<Incarnation>) {
        self.items.put_from(item.key(), item, from);
        self.urgent_seq = self.items.seq();
    }

    pub(super) fn say_member(&mut self, member: &Member) {
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
            self.confirm(asked_at, Millis(0));
        }
    }

    /// Takes the changes that the object API gave for a question asked at `asked_at`.
    pub fn on_changes(&mut self, asked_at: Millis, delta: Delta) {
        let to = delta.to;
        self.merge_objects(delta);
        if to >= self.store.complete_to() {
            self.confirm(asked_at, Millis(0));
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
    pub(super) fn publish_evidence(&mut self, now: Millis) {
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
}
