//! Division of the refusals that endpoints bear among the hosts that hold them.
//!
//! An endpoint that falls over from refusing requests says how many refusals per second it bears, and
//! counts the refused requests of all hosts. A few hosts hold it, by the same ranking on every host,
//! and no other host sends to it. Hosts report to each other what endpoints say, so that this holds
//! from the first response that says it, long before anything is refused. An endpoint that has not
//! responded yet, of a service whose others are brittle, is taken for brittle too.
//!
//! Where an endpoint bears few refusals, it has two holders: one that all hosts ask, which therefore
//! knows what the endpoint has room for, and a stand-in for the time in which hosts do not reach the
//! first one. Each has half of the refusals, so the sum also holds while some hosts ask one of them
//! and some the other. An endpoint that bears many has more holders, and in a small fleet all hosts
//! send to it.

use crate::ids::EndpointKey;
use crate::placement::EndpointAccess;
use crate::traffic::endpoint_limits::{EndpointLimits, LimitReport};
use crate::units::{Millis, Rate};

/// Refusals per second from which on an endpoint has one more holder.
const REFUSALS_PER_HOLDER: u32 = 16;

/// Number of holders of an endpoint that bears few refusals.
const MIN_HOLDERS: usize = 2;

/// How the refusals that an endpoint bears are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RefusalShares {
    /// Number of hosts that hold the endpoint.
    pub holders: usize,
    /// Refusals per second that each of them may cause.
    pub share: u32,
}

impl RefusalShares {
    /// Divides `max_refusals` per second in a fleet of `hosts` hosts. An endpoint that bears fewer than
    /// two has a single holder.
    pub fn new(max_refusals: u32, hosts: usize) -> RefusalShares {
        if (max_refusals as usize) < MIN_HOLDERS {
            return RefusalShares { holders: 1, share: max_refusals };
        }
        let wanted = (max_refusals / REFUSALS_PER_HOLDER) as usize;
        let holders = wanted.min(hosts).max(MIN_HOLDERS);
        RefusalShares { holders, share: max_refusals / u32::try_from(holders).unwrap_or(u32::MAX) }
    }

    /// Returns the access of the host with the given rank, from 0; `None` if it ranks behind all
    /// holders.
    pub fn access(&self, rank: Option<usize>) -> EndpointAccess {
        match rank.filter(|rank| *rank < self.holders) {
            None => EndpointAccess::Forwarded,
            Some(rank) if self.has_stand_in() && rank > 0 => EndpointAccess::StandIn(self.share),
            Some(_) => EndpointAccess::Holder(self.share),
        }
    }

    /// Reports whether one of the holders is asked only if the other one does not respond.
    pub fn has_stand_in(&self) -> bool {
        self.holders == MIN_HOLDERS
    }
}

/// What endpoints say about the refusals that they bear, as known to one host.
#[derive(Clone, Debug)]
pub struct BrittleEndpoints {
    /// Refusals per second.
    limits: EndpointLimits,
}

impl Default for BrittleEndpoints {
    fn default() -> BrittleEndpoints {
        BrittleEndpoints { limits: EndpointLimits::keeping_ended() }
    }
}

impl BrittleEndpoints {
    /// Records how many refusals per second an endpoint says it bears; `None` if it no longer says so.
    pub fn record_response(
        &mut self,
        now: Millis,
        endpoint: EndpointKey,
        max_refusals: Option<u32>,
    ) {
        self.limits.record_response(now, endpoint, max_refusals.map(|n| Rate(f64::from(n))));
    }

    /// Adds what another host reports.
    pub fn receive_reports(&mut self, now: Millis, reports: &[LimitReport]) {
        self.limits.receive_reports(now, reports);
    }

    /// Returns the reports for one round of messages.
    pub fn reports_for_round(&mut self, now: Millis) -> Vec<LimitReport> {
        self.limits.reports_for_round(now)
    }

    /// Returns the reports for a host that knows nothing yet.
    pub fn reports_for_new_host(&mut self, now: Millis) -> Vec<LimitReport> {
        self.limits.reports_for_new_host(now)
    }

    /// Reports whether there are changes that have not been reported to any host.
    pub fn has_unreported(&self) -> bool {
        self.limits.has_unreported()
    }

    /// Reports whether endpoints have said something else since the last call.
    pub fn take_changed(&mut self) -> bool {
        !self.limits.take_changed().is_empty()
    }

    /// Reports whether no endpoint is known that has said anything.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the refusals per second that an endpoint bears. The outer `None` means that it has said
    /// nothing, the inner one that it no longer says so.
    pub fn max_refusals(&self, endpoint: EndpointKey) -> Option<Option<u32>> {
        // The cast saturates.
        self.limits.limit_of(endpoint).map(|limit| limit.map(|rate| rate.0 as u32))
    }

    /// Removes endpoints that are no longer listed.
    pub fn remove_expired(&mut self, now: Millis, is_listed: impl Fn(EndpointKey) -> bool) {
        self.limits.remove_expired(now, is_listed);
    }
}
