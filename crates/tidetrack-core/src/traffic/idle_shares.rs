//! The search for hosts with an idle share of the limits of a service's endpoints.
//!
//! The limit on an endpoint is divided among hosts, which takes no account of where callers connect.
//! When most of them connect to one host, its share is used up while the shares of the others lie
//! idle. Shares that follow demand were weighed: they need reports of each host's demand, take a
//! while to move, and the callers move on after a few seconds. Instead, a host that has used up its
//! share forwards requests to hosts that may have some left: the limit holds whatever happens, and it
//! works from the first request, at the price of one more hop. Closing connections so that callers
//! come back elsewhere was weighed too: it costs each of them a connection, and they may come back to
//! the same host.
//!
//! If all hosts have used up their shares, asking them is of no use. A host that declined is left
//! alone for a while, and after several declined requests no host is asked for a moment.

use std::collections::HashMap;

use crate::ids::{HostId, ServiceId};
use crate::units::Millis;

/// How long a host that has declined a request is not asked again.
const DECLINE_RETENTION: Millis = Millis(250);

/// Number of requests that may be declined within `DECLINE_RETENTION` before no host is asked.
const MAX_DECLINES: usize = 6;

/// The hosts that recently declined requests because their shares were used up.
#[derive(Debug, Default)]
pub struct IdleShares {
    declines: HashMap<ServiceId, Vec<(HostId, Millis)>>,
}

impl IdleShares {
    /// Records that a host declined a request.
    pub fn record_decline(&mut self, now: Millis, service: &ServiceId, host: &HostId) {
        let declines = self.declines.entry(service.clone()).or_default();
        declines.retain(|(_, at)| now < *at + DECLINE_RETENTION);
        declines.push((host.clone(), now));
    }

    /// Reports whether hosts may be asked for their shares of the limits of a service.
    pub fn may_ask(&self, now: Millis, service: &ServiceId) -> bool {
        self.recent_declines(now, service).count() < MAX_DECLINES
    }

    /// Reports whether a host has recently declined a request for a service.
    pub fn has_declined(&self, now: Millis, service: &ServiceId, host: &HostId) -> bool {
        self.recent_declines(now, service).any(|declined| declined == host)
    }

    fn recent_declines<'a>(
        &'a self,
        now: Millis,
        service: &ServiceId,
    ) -> impl Iterator<Item = &'a HostId> {
        let declines = self.declines.get(service).into_iter().flatten();
        declines.filter(move |(_, at)| now < *at + DECLINE_RETENTION).map(|(host, _)| host)
    }
}
