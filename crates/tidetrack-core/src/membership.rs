//! Membership: which hosts are alive, as seen by each host.
//!
//! Every host exchanges messages with a few others, chosen by rendezvous hashing so that the links form
//! one connected graph, and forwards the updates that it receives. A host that is silent on a link is
//! first probed through two others, then marked as suspect, then as dead. It refutes such reports with
//! a higher state version. The platform's list of hosts only supplies addresses for first contacts: it
//! lags behind and does not decide which hosts are alive.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{FailureDomain, HostId, Incarnation};
use crate::placement::rendezvous;
use crate::units::Millis;

/// Number of links that each host opens.
pub const LINKS_PER_HOST: usize = 3;

/// Maximum number of hosts that may hold copies of a host's bills. When one fails, the next one is asked
/// at once.
pub const MAX_HOLDERS: usize = 3;

/// The state of a host. At equal state versions, the later state in this list takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// The host responds.
    Alive,
    /// The host reported that it is shutting down.
    Leaving,
    /// The host is silent on a link and could not be probed.
    Suspect,
    /// The host stayed silent, or reported that it has left.
    Dead,
}

/// What is known about one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Current incarnation of the host.
    pub incarnation: Incarnation,
    /// Version of this entry. The host itself raises it to refute a report about it, or to replace the
    /// entry of an earlier incarnation.
    #[serde(rename = "beat")]
    pub state_version: u64,
    /// State of the host.
    pub state: MemberState,
    /// Address for other hosts, as `ip:port`.
    #[serde(rename = "peer")]
    pub peer_address: String,
    /// Address for callers, as `ip:port`.
    #[serde(rename = "caller")]
    pub caller_address: String,
    /// Failure domain that the host runs in.
    pub failure_domain: FailureDomain,
}

impl Member {
    /// Reports whether this entry replaces `old`.
    fn supersedes(&self, old: &Member) -> bool {
        let rank = |m: &Member| (m.state_version, m.state, m.incarnation.nonce);
        rank(self) > rank(old)
    }

    /// Reports whether the host is not considered dead.
    pub fn is_live(&self) -> bool {
        self.state != MemberState::Dead
    }
}

/// The member list of one host, which includes the host itself.
#[derive(Clone, Debug)]
pub struct Members {
    own_host: HostId,
    by_host: BTreeMap<HostId, Member>,
    /// When each suspect host became suspect.
    suspected_at: BTreeMap<HostId, Millis>,
    /// When each dead host was marked as dead.
    dead_at: BTreeMap<HostId, Millis>,
    epoch: u64,
}

/// The result of merging a member entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberUpdate {
    /// The entry was not newer than the known one.
    Old,
    /// The entry was newer and must be forwarded.
    New,
    /// The entry is a wrong report about this host, which must be refuted.
    Refute,
}

impl Members {
    /// Creates a member list that contains only this host.
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

    /// Returns a number that increases with every change of the list.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns this host's own entry.
    pub fn own_member(&self) -> &Member {
        &self.by_host[&self.own_host]
    }

    /// Merges a member entry received from another host.
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

    /// Raises the state version of this host above that of a wrong report about it.
    fn merge_own(&mut self, reported: &Member) -> MemberUpdate {
        let own_member = self
            .by_host
            .get_mut(&self.own_host)
            .expect("the member list always contains its own host");
        let is_unchanged =
            reported.incarnation == own_member.incarnation && reported.state == own_member.state;
        if reported.state_version < own_member.state_version
            || (reported.state_version == own_member.state_version && is_unchanged)
        {
            return MemberUpdate::Old;
        }
        own_member.state_version = reported.state_version + 1;
        MemberUpdate::Refute
    }

    /// Records when a host became suspect or dead, and clears the times that no longer apply.
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

    /// Sets this host's state, such as leaving, and returns the entry to publish.
    pub fn set_own_state(&mut self, state: MemberState) -> Member {
        let own_member = self
            .by_host
            .get_mut(&self.own_host)
            .expect("the member list always contains its own host");
        own_member.state = state;
        own_member.state_version += 1;
        self.epoch += 1;
        own_member.clone()
    }

    /// Raises another host's state at its current state version. Returns the entry to publish, or `None` if
    /// the host is unknown or already in that state or a later one.
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

    /// Returns the hosts that have been suspect for `duration` or longer.
    pub fn suspected_for(&self, now: Millis, duration: Millis) -> Vec<HostId> {
        let overdue = self.suspected_at.iter().filter(|(_, at)| now - **at >= duration);
        overdue.map(|(h, _)| h.clone()).collect()
    }

    /// Removes the hosts that have been dead for `duration` or longer, and returns them.
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

    /// Returns the entry of a host, or `None` if the host is unknown.
    pub fn lookup(&self, host: &HostId) -> Option<&Member> {
        self.by_host.get(host)
    }

    /// Iterates over all known hosts, this one included.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_host.values()
    }

    /// Iterates over the hosts that are not considered dead, this one included.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.by_host.values().filter(|m| m.is_live())
    }

    /// Reports whether an incarnation is gone: it is dead, or another incarnation of its host replaced it.
    /// An incarnation of an unknown host is not gone.
    pub fn is_gone(&self, incarnation: &Incarnation) -> bool {
        match self.by_host.get(&incarnation.host) {
            None => false,
            Some(m) => m.incarnation != *incarnation || m.state == MemberState::Dead,
        }
    }

    /// Returns the hosts in state `Alive`, ordered by rendezvous hash for `key`, highest first.
    pub fn ranked(&self, key: &str) -> Vec<&Member> {
        let mut all: Vec<&Member> = self.live().filter(|m| m.state == MemberState::Alive).collect();
        all.sort_by_key(|m| std::cmp::Reverse(rendezvous(key, m.incarnation.host.as_str())));
        all
    }

    /// Returns this host's rank for `key` among the hosts in state `Alive`; 0 is the first.
    pub fn rank_for(&self, key: &str) -> usize {
        let own_hash = rendezvous(key, self.own_host.as_str());
        self.live()
            .filter(|m| m.state == MemberState::Alive && m.incarnation.host != self.own_host)
            .filter(|m| rendezvous(key, m.incarnation.host.as_str()) > own_hash)
            .count()
    }

    /// Returns this host's rank for `key` among the hosts in state `Alive` of its own failure domain.
    pub fn rank_in_domain(&self, key: &str) -> usize {
        let domain = &self.own_member().failure_domain;
        let own_hash = rendezvous(key, self.own_host.as_str());
        self.live()
            .filter(|m| m.failure_domain == *domain && m.incarnation.host != self.own_host)
            .filter(|m| m.state == MemberState::Alive)
            .filter(|m| rendezvous(key, m.incarnation.host.as_str()) > own_hash)
            .count()
    }

    /// Chooses the hosts that this one opens links to: those with the highest hash of the pair of hosts,
    /// which is the same at both ends. The first one is in another failure domain if there is any.
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

    /// Returns the hash of the pair of this host and another, independent of their order.
    fn link_hash(&self, other: &HostId) -> u64 {
        let (a, b) = (self.own_host.as_str(), other.as_str());
        rendezvous(a.min(b), a.max(b))
    }

    /// Returns the hosts that may hold copies of this host's bills, in order of preference. Hosts in other
    /// failure domains precede those in this host's own.
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

    /// Returns the hash key that orders the possible holders of this host's bills.
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
            incarnation: Incarnation { host: host.parse().expect("the host name parses"), nonce },
            state_version: 1,
            state: MemberState::Alive,
            peer_address: String::new(),
            caller_address: String::new(),
            failure_domain: "a".parse().expect("the failure domain parses"),
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
        restarted.merge(
            Millis(0),
            old.lookup(&"x".parse().expect("the host name parses"))
                .expect("member x is known")
                .clone(),
        );
        assert_eq!(old.merge(Millis(1), restarted.own_member().clone()), MemberUpdate::New);
        assert!(old.is_gone(&"x~384".parse().expect("the incarnation parses")));
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
                    edges.push((i, j.expect("the edge leads to a known host")));
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
