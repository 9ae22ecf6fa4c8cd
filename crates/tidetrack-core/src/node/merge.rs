//! Merges updates from the object API, from other hosts and from this host's own traffic.
//!
//! Every merge takes the maximum of two states. Updates that change the state are forwarded.

use crate::events::Event;
use crate::evidence::{EvidenceKey, VersionCounts};
use crate::facts::Fact;
use crate::ids::{Incarnation, VersionRef};
use crate::membership::{Member, MemberState, MemberUpdate};
use crate::store::{Delta, Entry};
use crate::units::Millis;
use crate::view::{withdrawal_facts, ConfigConfirmation};

use super::messages::Item;
use super::Node;

/// The counts of a stable version are published at an interval this many times that of a canary.
const STABLE_INTERVAL_FACTOR: u64 = 3;

impl Node {
    /// Records that the response to a request sent at `requested_at` confirmed the configuration to have
    /// been the newest `age` before that request.
    pub(super) fn confirm(&mut self, requested_at: Millis, age: Millis) {
        let old = self.confirmation.unwrap_or_default();
        self.confirmation = Some(ConfigConfirmation {
            confirmed_at: old.confirmed_at.max(requested_at - age),
            requested_at: old.requested_at.max(requested_at),
        });
    }

    /// Merges configuration changes.
    pub(super) fn merge_objects(&mut self, delta: Delta) {
        if self.store.merge(delta) {
            self.on_configuration_changed();
        }
    }

    /// Marks the view for a rebuild and publishes the withdrawals in the configuration as facts.
    fn on_configuration_changed(&mut self) {
        self.has_changed = true;
        for fact in withdrawal_facts(&self.store) {
            self.add_fact(fact);
        }
    }

    /// Merges an item that incarnation `from` sent, and forwards it if it is new. Facts and members are
    /// forwarded at once, counts with the next heartbeat.
    pub(super) fn merge_item(&mut self, now: Millis, from: &Incarnation, item: Item) {
        let is_new = match &item {
            Item::Fact(fact) => {
                self.add_fact_from(fact.clone(), Some(from.clone()));
                return;
            }
            Item::Evidence(key, counts) => self.evidence.merge(key.clone(), counts),
            Item::Member(member) => match self.members.merge(now, member.clone()) {
                MemberUpdate::Old => false,
                MemberUpdate::New => {
                    self.log_member_state(member);
                    true
                }
                MemberUpdate::Refute => {
                    let own = Item::Member(self.members.own_member().clone());
                    self.publish_urgent(own, None);
                    false
                }
            },
        };
        if is_new && matches!(item, Item::Evidence(..)) {
            self.items.put_from(item.key(), item, Some(from.clone()));
        } else if is_new {
            self.publish_urgent(item, Some(from.clone()));
        }
    }

    /// Publishes an item without waiting for the next heartbeat. `from` is the host it was received from,
    /// to which it is not sent back.
    pub(super) fn publish_urgent(&mut self, item: Item, from: Option<Incarnation>) {
        self.items.put_from(item.key(), item, from);
        self.urgent_seq = self.items.seq();
    }

    pub(super) fn log_member_state(&mut self, member: &Member) {
        let event = match member.state {
            MemberState::Alive | MemberState::Leaving => Event::PeerAlive,
            MemberState::Suspect => Event::PeerSuspect,
            MemberState::Dead => Event::PeerDead,
        };
        self.push_log(event, format!("{} {:?}", member.incarnation, member.state));
    }

    /// Adds a fact of this host and publishes it; reports whether it was new.
    pub fn add_fact(&mut self, fact: Fact) -> bool {
        self.add_fact_from(fact, None)
    }

    fn add_fact_from(&mut self, fact: Fact, from: Option<Incarnation>) -> bool {
        let is_new = self.facts.merge(fact.clone());
        if is_new {
            self.has_changed = true;
            self.push_log(Event::VersionBarred, format!("{:?} {}", fact.subject, fact.generation));
            self.publish_urgent(Item::Fact(fact), from);
        }
        is_new
    }

    /// Merges the full list that the object API returned for a request sent at `requested_at`.
    pub fn on_list(&mut self, requested_at: Millis, revision: u64, entries: Vec<Entry>) {
        if self.store.merge_list(revision, entries) {
            self.on_configuration_changed();
        }
        if revision >= self.store.complete_to() {
            self.confirm(requested_at, Millis(0));
        }
    }

    /// Merges the changes that the object API returned for a request sent at `requested_at`.
    pub fn on_changes(&mut self, requested_at: Millis, delta: Delta) {
        let to = delta.to;
        self.merge_objects(delta);
        if to >= self.store.complete_to() {
            self.confirm(requested_at, Millis(0));
        }
    }

    /// Merges an object that this host wrote itself, before the watch delivers it.
    pub fn on_object_written(&mut self, delta: Delta) {
        self.merge_objects(delta);
    }

    /// Adds to this host's counts for a version. The counts of a canary are published more often.
    pub fn record_counts(
        &mut self,
        version: &VersionRef,
        generation: u64,
        is_canary: bool,
        delta: &VersionCounts,
    ) {
        let local = self.local_counts.entry((version.clone(), generation)).or_default();
        local.counts.add(delta);
        local.is_unpublished = true;
        local.is_canary = is_canary;
        let counts = local.counts;
        let observer = self.incarnation.clone();
        self.evidence
            .merge(EvidenceKey { version: version.clone(), generation, observer }, &counts);
    }

    /// Publishes this host's changed counts of the versions in running roll-outs, when they are due.
    pub(super) fn publish_evidence(&mut self, now: Millis) {
        let interval = self.live_host_count() as u64 * self.options.evidence_interval_per_host_ms;
        for ((version, generation), local) in &mut self.local_counts {
            let interval =
                if local.is_canary { interval } else { interval * STABLE_INTERVAL_FACTOR };
            let is_due = local.is_unpublished && now - local.published_at >= Millis(interval);
            if is_due && self.rollout_versions.contains(version) {
                local.is_unpublished = false;
                local.published_at = now;
                let observer = self.incarnation.clone();
                let key =
                    EvidenceKey { version: version.clone(), generation: *generation, observer };
                let item = Item::Evidence(key, local.counts);
                self.items.put(item.key(), item);
            }
        }
    }

    /// Publishes a new state of this host: it is leaving, or has left.
    pub fn announce(&mut self, state: MemberState) {
        let own = Item::Member(self.members.set_own_state(state));
        self.publish_urgent(own, None);
    }
}
