//! Ranks by which a few hosts take on tasks for all others, without an election.

use crate::ids::{FailureDomain, HostId, ServiceId};
use crate::placement::rendezvous;

use super::{Peer, PeerTable};

/// Number of hosts per failure domain that watch the store. There are two because one may lose its
/// connection to the store without noticing.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Number of hosts in the fleet that read the configuration at short intervals to prove it for
/// others.
const MAX_PROVERS: usize = 3;

impl PeerTable {
    /// Returns the other hosts that read the configuration to prove it.
    pub(super) fn provers(&self) -> Vec<&Peer> {
        let mut provers: Vec<(Rank, &Peer)> = self
            .peers
            .iter()
            .map(|(host, p)| (prover_rank(p.is_well_connected, host), p))
            .collect();
        provers.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        provers.into_iter().take(MAX_PROVERS).map(|(_, peer)| peer).collect()
    }

    /// Reports whether this host is one of the few that read the configuration to prove it. All
    /// hosts use the same ranking. Where they know different peers, there are a few more or fewer
    /// provers; a host that receives no relayed proof reads the configuration itself.
    pub fn is_prover(&self) -> bool {
        let own_rank = prover_rank(self.is_well_connected, &self.host);
        let higher_ranked =
            self.peers.iter().filter(|(host, p)| prover_rank(p.is_well_connected, host) > own_rank);
        higher_ranked.count() < MAX_PROVERS
    }

    /// Reports whether this host is one of the few in its failure domain that watch the store.
    pub fn is_watcher(&self) -> bool {
        let own_rank = watcher_rank(self.is_well_connected, &self.host);
        self.ranked_local_peers().filter(|(rank, _)| *rank > own_rank).count() < WATCHERS_PER_DOMAIN
    }

    /// Reports whether this host ranks among the first `count` for a job. Hosts in the given
    /// failure domain rank before all others.
    pub fn is_ranked_within(&self, job: &str, domain: &FailureDomain, count: usize) -> bool {
        let own_rank = holder_rank(job, domain, &self.host, &self.failure_domain);
        let higher_ranked = self
            .peers
            .iter()
            .filter(|(host, p)| holder_rank(job, domain, host, &p.failure_domain) > own_rank);
        higher_ranked.take(count).count() < count
    }

    /// Returns this host's rank, from 0, for a task that needs paths to a service; `None` if `count` or
    /// more hosts rank before it. Hosts that are stopping, or have lost their paths to the service, do
    /// not count. Hosts in the given failure domain rank before all others.
    pub fn rank_as_holder(
        &self,
        task: &str,
        domain: &FailureDomain,
        service: &ServiceId,
        count: usize,
    ) -> Option<usize> {
        let own_rank = holder_rank(task, domain, &self.host, &self.failure_domain);
        let may_hold = |p: &Peer| !p.update.is_leaving && !p.update.lost_services.contains(service);
        let higher_ranked = self.peers.iter().filter(|(host, p)| {
            may_hold(p) && holder_rank(task, domain, host, &p.failure_domain) > own_rank
        });
        let rank = higher_ranked.take(count).count();
        (rank < count).then_some(rank)
    }

    /// Returns the other hosts of the local failure domain with their ranks for watching the store.
    fn ranked_local_peers(&self) -> impl Iterator<Item = (Rank, &Peer)> {
        let local = self.peers.iter().filter(|(_, p)| self.is_local_domain(&p.failure_domain));
        local.map(|(host, p)| (watcher_rank(p.is_well_connected, host), p))
    }
}

/// A host's rank for a task that it performs for others. Well-connected hosts rank first.
type Rank = (bool, u64);

/// Returns a host's rank for a task that concerns an endpoint in a failure domain. Hosts in that domain
/// rank before all others.
pub fn holder_rank(
    task: &str,
    domain: &FailureDomain,
    host: &HostId,
    host_domain: &FailureDomain,
) -> (bool, u64) {
    (host_domain == domain, rendezvous(task, host.as_str()))
}

/// Returns a host's rank for reading the configuration to prove it.
fn prover_rank(is_well_connected: bool, host: &HostId) -> Rank {
    (is_well_connected, rendezvous("prover", host.as_str()))
}

/// Returns a host's rank for watching the store.
fn watcher_rank(is_well_connected: bool, host: &HostId) -> Rank {
    (is_well_connected, rendezvous("watch", host.as_str()))
}
