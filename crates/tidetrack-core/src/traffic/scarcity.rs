//! What the time of a service's endpoints is worth to the requests that are about to arrive.
//!
//! Optional work, such as a second opinion, occupies an endpoint and delays the requests that come
//! while its queue lasts. While queues are short against the objectives of these requests, the delay
//! costs nothing. Once waits approach an objective, each further delay makes some of them late.
//! The cost is the number of requests that arrive during the queue, times the fraction of their
//! objective by which the work delays them, times their value, for the requests that are at least
//! as urgent as the work itself. Less urgent ones yield to it at the endpoint.
//!
//! Values are weighted by rank, because the rank is all that the configuration tells about how
//! much a kind of request matters.

use std::collections::BTreeMap;

use crate::units::Millis;

/// Time over which demand is averaged. Bursts last for seconds.
const AVERAGING_TIME: Millis = Millis(2_000);

/// Decayed number of requests from which a rank counts as present: one within some seconds.
const MIN_COUNT: f64 = 0.05;

/// Factor between the values of requests of neighbouring ranks.
const RANK_VALUE_RATIO: f64 = 2.0;

/// Demand of one rank at one host.
#[derive(Clone, Copy, Debug)]
struct RankDemand {
    /// Decayed number of requests.
    count: f64,
    /// Decayed sum of the requests' values.
    value: f64,
    /// Decayed sum of the requests' objectives in seconds.
    objective_s: f64,
    updated_at: Millis,
}

impl RankDemand {
    fn decayed(&self, now: Millis) -> RankDemand {
        let age = (now - self.updated_at).0 as f64 / AVERAGING_TIME.0 as f64;
        let factor = (-age).exp();
        RankDemand {
            count: self.count * factor,
            value: self.value * factor,
            objective_s: self.objective_s * factor,
            updated_at: now,
        }
    }
}

/// Requests that a host has received lately for one service, by rank.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    ranks: BTreeMap<u8, RankDemand>,
}

/// Work that a host may send to an endpoint although no request depends on it.
#[derive(Clone, Copy, Debug)]
pub struct OptionalWork {
    /// Rank of the request that the work is for.
    pub rank: u8,
    /// Time for which the work occupies the endpoint, in seconds.
    pub own_s: f64,
    /// Time that requests wait at the endpoint before it, in seconds.
    pub wait_s: f64,
    /// Number of hosts that send to the service, each of which has about the demand of this one.
    pub hosts: usize,
    /// Number of endpoints that the demand is distributed over.
    pub endpoints: usize,
}

impl DemandTracker {
    /// Records a request with its objective and its value, in the unit of the models' prices.
    pub fn record(&mut self, now: Millis, rank: u8, objective: Millis, value: f64) {
        let empty = RankDemand { count: 0.0, value: 0.0, objective_s: 0.0, updated_at: now };
        let demand = self.ranks.entry(rank).or_insert(empty);
        *demand = demand.decayed(now);
        demand.count += 1.0;
        demand.value += value;
        demand.objective_s += objective.0 as f64 / 1e3;
    }

    /// Returns the ranks that requests have come with lately, with their demand.
    fn present_ranks(&self, now: Millis) -> impl Iterator<Item = (u8, RankDemand)> + '_ {
        let decayed = self.ranks.iter().map(move |(rank, demand)| (*rank, demand.decayed(now)));
        decayed.filter(|(_, demand)| demand.count >= MIN_COUNT)
    }

    /// Returns the shortest objective of the ranks; `None` without recent requests.
    pub fn shortest_objective(&self, now: Millis) -> Option<Millis> {
        let objectives_s = self.present_ranks(now).map(|(_, d)| d.objective_s / d.count);
        objectives_s.min_by(f64::total_cmp).map(|s| Millis((s * 1e3) as u64))
    }

    /// Returns the factor by which a request's value is weighted for its rank: 1 for the least
    /// urgent rank that the service has requests of.
    pub fn rank_weight(&self, now: Millis, rank: u8) -> f64 {
        let less_urgent = self.present_ranks(now).filter(|(other, _)| *other > rank).count();
        RANK_VALUE_RATIO.powi(less_urgent as i32)
    }

    /// Returns the value that requests lose because optional work delays them, in the unit of the
    /// models' prices.
    pub fn delay_cost(&self, now: Millis, work: OptionalWork) -> f64 {
        let per_endpoint = work.hosts as f64 / work.endpoints.max(1) as f64;
        let averaging_s = AVERAGING_TIME.0 as f64 / 1e3;
        let queue_s = work.wait_s + work.own_s;
        let cost = |(rank, demand): (u8, RankDemand)| {
            let value_per_s =
                demand.value / averaging_s * per_endpoint * self.rank_weight(now, rank);
            let objective_s = (demand.objective_s / demand.count).max(1e-3);
            // A short wait leaves time for a delay; close to the objective each delay is a loss.
            let scarcity = (work.wait_s / objective_s).min(1.0).powi(2);
            value_per_s * queue_s * (work.own_s / objective_s).min(1.0) * scarcity
        };
        self.present_ranks(now).filter(|(rank, _)| *rank <= work.rank).map(cost).sum()
    }
}
