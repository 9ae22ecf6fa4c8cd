//! Membership: who is alive, as each host sees it.
//!
//! Every host talks with a few others, chosen by rendezvous so that the links make one connected
//! graph, and passes on what it learns. A host that a link finds silent is asked for through two
//! others, then suspected, then held dead; it refutes with a higher beat. The platform's list names
//! hosts to talk to; it decides nothing by itself, for it lags.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, HostId, Incarnation};
use crate::placement::rendezvous;
use crate::units::Millis;

/// Links that each host opens.
pub const LINKS_PER_HOST: usize = 3;

/// Hosts that may hold a host's bills: when one fails the next is asked at once.
pub const MAX_HOLDERS: usize = 3;

/// How a host is seen. Later in the list wins at the same beat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It says itself that it is leaving.
    Leaving,
    /// A link finds it silent.
    Suspect,
    /// It stayed silent, or said that it left.
    Dead,
}

/// What is known of one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host's present life.
    pub incarnation: Incarnation,
    /// Raised by the host itself to refute, or to replace an earlier life.
    #[serde(rename = "beat")]
    pub state_version: u64,
    /// How it is seen.
    pub state: MemberState,
    /// `ip:port` for other hosts.
    #[serde(rename = "peer")]
    pub peer_address: String,
    /// `ip:port` for callers.
    #[serde(rename = "caller")]
    pub caller_address: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
}

impl Member {
    /// Tells whether this is news beside `old`.
    fn supersedes(&self, old: &Member) -> bool {
        let rank = |m: &Member| (m.state_version, m.state, m.incarnation.nonce);
        rank(self) > rank(old)
    }

    /// Tells whether the host may be talked to and counted on.
    pub fn is_live(&self) -> bool {
        self.state != MemberState::Dead
    }
}

/// What a host knows of all hosts, itself included.
#[derive(Clone, Debug)]
pub struct Members {
    own_host: HostId,
    by_host: BTreeMap<HostId, Member>,
    suspected_at: BTreeMap<HostId, Millis>,
    dead_at: BTreeMap<HostId, Millis>,
    epoch: u64,
}

/// What came of merging a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberUpdate {
    /// Nothing new.
    Old,
    /// News to pass on.
    New,
    /// Someone else's word about this host itself: it must be refuted.
    Refute,
}

impl Members {
    /// Makes a list that holds only this host.
    pub fn new(own_member: Member) -> Members {
        let host = own_member.incarnation.host.clone();
        Members {
            own_host: host.clone(),
            by_host: [(host, own_member)].into(),
            suspected_at: BTreeMap::new(),
            dead_at: BTreeMap::new(),
            epoch: 0,
        }
    }

    /// Gets a number that grows whenever anything of the list changes.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Gets this host's own entry.
    pub fn own_member(&self) -> &Member {
        &self.by_host[&self.own_host]
    }

    /// Merges what another host says.
    pub fn merge(&mut self, now: Millis, member: Member) -> MemberUpdate {
        let host = member.incarnation.host.clone();
        if host == self.own_host {
            return self.merge_own(&member);
        }
        if self.by_host.get(&host).is_some_and(|old| !member.supersedes(old)) {
            return MemberUpdate::Old;
        }
        self.record_state_time(now, &host, member.state);
        self.by_host.insert(host, member);
        self.epoch += 1;
        MemberUpdate::New
    }

    /// Raises the own beat past what others believe of this host.
    fn merge_own(&mut self, reported: &Member) -> MemberUpdate {
        let own_member =
            self.by_host.get_mut(&self.own_host).expect("the own entry is always there");
        let same =
            reported.incarnation == own_member.incarnation && reported.state == own_member.state;
        if reported.state_version < own_member.state_version
            || (reported.state_version == own_member.state_version && same)
        {
            return MemberUpdate::Old;
        }
        own_member.state_version = reported.state_version + 1;
        MemberUpdate::Refute
    }

    fn record_state_time(&mut self, now: Millis, host: &HostId, state: MemberState) {
        match state {
            MemberState::Suspect => {
                self.suspected_at.entry(host.clone()).or_insert(now);
                self.dead_at.remove(host);
            }
            MemberState::Dead => {
                self.suspected_at.remove(host);
                self.dead_at.entry(host.clone()).or_insert(now);
            }
            MemberState::Alive | MemberState::Leaving => {
                self.suspected_at.remove(host);
                self.dead_at.remove(host);
            }
        }
    }

    /// Sets the own state, such as leaving; gets the entry to pass on.
    pub fn set_own_state(&mut self, state: MemberState) -> Member {
        let own_member =
            self.by_host.get_mut(&self.own_host).expect("the own entry is always there");
        own_member.state = state;
        own_member.state_version += 1;
        self.epoch += 1;
        own_member.clone()
    }

    /// Sets another host's state at its present beat; gets the entry if that is news.
    pub fn set_state(&mut self, now: Millis, host: &HostId, state: MemberState) -> Option<Member> {
        let member = self.by_host.get(host)?;
        if *host == self.own_host || member.state >= state {
            return None;
        }
        let member = Member { state, ..member.clone() };
        self.record_state_time(now, host, state);
        self.by_host.insert(host.clone(), member.clone());
        self.epoch += 1;
        Some(member)
    }

    /// Lists hosts suspected for `duration` or longer.
    pub fn suspected_for(&self, now: Millis, duration: Millis) -> Vec<HostId> {
        let overdue = self.suspected_at.iter().filter(|(_, at)| now - **at >= duration);
        overdue.map(|(h, _)| h.clone()).collect()
    }

    /// Forgets hosts held dead for `duration` or longer; lists them.
    pub fn forget_dead(&mut self, now: Millis, duration: Millis) -> Vec<HostId> {
        let expired = self.dead_at.iter().filter(|(_, at)| now - **at >= duration);
        let expired: Vec<HostId> = expired.map(|(h, _)| h.clone()).collect();
        for host in &expired {
            self.by_host.remove(host);
            self.dead_at.remove(host);
            self.epoch += 1;
        }
        expired
    }

    /// Gets what is known of a host.
    pub fn lookup(&self, host: &HostId) -> Option<&Member> {
        self.by_host.get(host)
    }

    /// Lists all hosts known, this one included.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_host.values()
    }

    /// Lists the hosts not held dead, this one included.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.by_host.values().filter(|m| m.is_live())
    }

    /// Tells whether an incarnation is gone: dead, or replaced by another life of its host.
    pub fn is_gone(&self, incarnation: &Incarnation) -> bool {
        match self.by_host.get(&incarnation.host) {
            None => false,
            Some(m) => m.incarnation != *incarnation || m.state == MemberState::Dead,
        }
    }

    /// Ranks the live hosts for a job, best first.
    pub fn ranked(&self, key: &str) -> Vec<&Member> {
        let mut all: Vec<&Member> = self.live().filter(|m| m.state == MemberState::Alive).collect();
        all.sort_by_key(|m| std::cmp::Reverse(rendezvous(key, m.incarnation.host.as_str())));
        all
    }

    /// Gets this host's rank for a job among the live hosts; 0 is first.
    pub fn rank_for(&self, key: &str) -> usize {
        let own_hash = rendezvous(key, self.own_host.as_str());
        self.live()
            .filter(|m| m.state == MemberState::Alive && m.incarnation.host != self.own_host)
            .filter(|m| rendezvous(key, m.incarnation.host.as_str()) > own_hash)
            .count()
    }

    /// Gets this host's rank for a job within its own failure domain.
    pub fn rank_in_domain(&self, key: &str) -> usize {
        let domain = &self.own_member().failure_domain;
        let own_hash = rendezvous(key, self.own_host.as_str());
        self.live()
            .filter(|m| m.failure_domain == *domain && m.incarnation.host != self.own_host)
            .filter(|m| m.state == MemberState::Alive)
            .filter(|m| rendezvous(key, m.incarnation.host.as_str()) > own_hash)
            .count()
    }

    /// Chooses the hosts that this one opens links to: the nearest by a hash that both ends share,
    /// the first of them in another failure domain.
    pub fn links(&self) -> Vec<&Member> {
        let mut others: Vec<&Member> =
            self.live().filter(|m| m.incarnation.host != self.own_host).collect();
        others.sort_by_key(|m| std::cmp::Reverse(self.link_hash(&m.incarnation.host)));
        let domain = &self.own_member().failure_domain;
        if let Some(i) = others.iter().position(|m| m.failure_domain != *domain) {
            let remote = others.remove(i);
            others.insert(0, remote);
        }
        others.truncate(LINKS_PER_HOST);
        others
    }

    fn link_hash(&self, other: &HostId) -> u64 {
        let (a, b) = (self.own_host.as_str(), other.as_str());
        rendezvous(a.min(b), a.max(b))
    }

    /// Chooses the hosts that may hold this one's bills, best first: those of other failure domains
    /// come before those of the own.
    pub fn holders(&self) -> Vec<&Member> {
        let domain = &self.own_member().failure_domain;
        let eligible =
            |m: &&Member| m.state == MemberState::Alive && m.incarnation.host != self.own_host;
        let mut eligible: Vec<&Member> = self.live().filter(eligible).collect();
        eligible.sort_by_cached_key(|m| {
            let rank = rendezvous("holder", self.holder_hash_key(m).as_str());
            std::cmp::Reverse((m.failure_domain != *domain, rank))
        });
        eligible.truncate(MAX_HOLDERS);
        eligible
    }

    fn holder_hash_key(&self, m: &Member) -> String {
        format!("{}>{}", self.own_host, m.incarnation.host)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    fn member(host: &str, nonce: u64) -> Member {
        Member {
            incarnation: Incarnation { host: host.parse().expect("a host"), nonce },
            state_version: 1,
            state: MemberState::Alive,
            peer_address: String::new(),
            caller_address: String::new(),
            failure_domain: "a".parse().expect("a failure domain"),
        }
    }

    #[test]
    fn a_suspect_refutes_with_a_higher_state_version() {
        let mut members = Members::new(member("x", 7));
        let reported = Member { state: MemberState::Suspect, ..member("x", 7) };
        assert_eq!(members.merge(Millis(0), reported), MemberUpdate::Refute);
        assert_eq!(
            (members.own_member().state_version, members.own_member().state),
            (2, MemberState::Alive)
        );
    }

    #[test]
    fn a_new_incarnation_replaces_the_old_one() {
        let mut old = Members::new(member("y", 1));
        old.merge(Millis(0), Member { state_version: 5, ..member("x", 900) });
        let mut restarted = Members::new(member("x", 3));
        restarted.merge(Millis(0), old.lookup(&"x".parse().expect("a host")).expect("x").clone());
        assert_eq!(old.merge(Millis(1), restarted.own_member().clone()), MemberUpdate::New);
        assert!(old.is_gone(&"x~384".parse().expect("an incarnation")));
    }

    #[test]
    fn links_form_a_connected_graph() {
        for n in [2usize, 7, 60, 540] {
            let names: Vec<String> = (0..n).map(|i| format!("h{i}")).collect();
            let mut edges: Vec<(usize, usize)> = Vec::new();
            for (i, name) in names.iter().enumerate() {
                let mut members = Members::new(member(name, 1));
                for other in &names {
                    members.merge(Millis(0), member(other, 1));
                }
                for link in members.links() {
                    let j = names.iter().position(|n| *n == link.incarnation.host.as_str());
                    edges.push((i, j.expect("a known host")));
                }
            }
            let mut reached: BTreeSet<usize> = [0].into();
            let mut hops = 0;
            loop {
                let next: BTreeSet<usize> = edges
                    .iter()
                    .flat_map(|(a, b)| [(*a, *b), (*b, *a)])
                    .filter(|(a, _)| reached.contains(a))
                    .map(|(_, b)| b)
                    .chain(reached.iter().copied())
                    .collect();
                if next.len() == reached.len() {
                    break;
                }
                reached = next;
                hops += 1;
            }
            assert_eq!(reached.len(), n);
            assert!(hops <= 8, "{hops} hops for {n} hosts");
        }
    }
}
