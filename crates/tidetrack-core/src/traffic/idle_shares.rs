//! The search for hosts with an idle share of the limits of a service's endpoints.
//!
//! The limit on an endpoint is divided among hosts without regard to where callers connect. When most
//! of them connect to one host, its share is used up while the shares of the others lie idle. That
//! host then forwards requests to hosts that may have some left, at the price of one more hop. The
//! limit holds whatever happens, as no host takes over the share of another. Shares that followed
//! demand would take a while to move, and the callers would have moved on by then; connections that
//! are closed may come back to the same host.
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
