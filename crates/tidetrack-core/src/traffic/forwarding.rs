//! Forwarding of requests between hosts.
//!
//! A host that has lost its paths to the endpoints of a service forwards the service's requests to a
//! host that still has them, and one that has used up its share of the endpoints' limits to a host
//! that may have some left (`idle_shares`). The other host runs the request as if it came from a
//! caller: with its own admission, limits and priorities. It also decides about attempts, release
//! track and model, so that each decision is made once; the attempts that the first host made before
//! count against the route's maximum, and the next one is charged to that host's retry budget as far
//! as it can pay. A forwarded request is never forwarded again. A host that cannot run it says at
//! once that it has not, and the first host tries another one.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::codes::{Code, Executed};
use crate::errors::Error;
use crate::ids::{EndpointId, FailureDomain, HostId, ModelId, ServiceId};
use crate::placement::{hash_fraction, rendezvous, PoolEndpoint};
use crate::traffic::brittle_endpoints::RefusalShares;
use crate::traffic::peers::holder_rank;
use crate::units::Millis;

/// Maximum number of hosts that one request is forwarded to.
pub const MAX_HOSTS_PER_REQUEST: u32 = 3;

/// Number of hosts that are compared for each request. With two, requests prefer the local failure
/// domain without all going to the few hosts that may be left there.
const COMPARED_HOSTS: usize = 2;

/// Value of `lost_for_ms` in a request that is forwarded although the paths work. Any contact of the
/// receiver with the endpoints is recent enough.
pub const NO_LOSS_MS: u64 = u64::MAX;

/// What a host tells another one with a forwarded request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The host that forwards the request.
    pub from: HostId,
    /// Id of the request in the logs of both hosts.
    pub request: String,
    /// Time until the request's deadline.
    pub time_left_ms: u64,
    /// Version of the configuration by which the request was admitted.
    pub config: u64,
    /// Time since the first failure that showed the loss of the sender's paths; `NO_LOSS_MS` if they work.
    pub lost_for_ms: u64,
    /// Attempts at endpoints that count against the route's maximum.
    pub attempts: u32,
    /// Whether these attempts were executed; `None` if there were none.
    pub executed: Option<Executed>,
    /// Whether the next attempt is charged to the sender's retry budget.
    pub is_next_charged: bool,
    /// The model of an interrupted response that is resumed; otherwise the receiver chooses.
    pub model: Option<ModelId>,
    /// Id of the last event of an interrupted stream.
    pub last_event: Option<u64>,
    /// The endpoint that the receiver is asked for, because it holds it; `None` if it chooses among
    /// all endpoints.
    #[serde(default)]
    pub endpoint: Option<EndpointId>,
    /// Whether this is the last host that is asked, which therefore keeps the request waiting for a
    /// moment instead of leaving it to a stand-in.
    #[serde(default)]
    pub is_last_host: bool,
}

/// What a host returns with the response to a forwarded request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ForwardResult {
    /// Attempts at endpoints so far, including those before the request was forwarded.
    pub attempts: u32,
    /// The endpoint whose response this is; `None` if there is none.
    pub endpoint: Option<EndpointId>,
    /// The error if the response is the host's own.
    pub error: Option<Error>,
    /// Why another holder of the endpoint that was asked for may send the request; `None` if the
    /// endpoint has no place.
    #[serde(default)]
    pub decline: Option<HolderDecline>,
}

/// Why a holder does not send a request to an endpoint although that may have a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderDecline {
    /// It does not hold the endpoint, or does not reach it.
    Unreached,
    /// The outcome of as many requests is open as its share of the refusals permits.
    ShareInUse,
}

/// A host that requests can be forwarded to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardTarget {
    /// The host's id.
    pub host: HostId,
    /// Address at which it accepts connections of other hosts.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// Whether it is in the failure domain of this host.
    pub is_local: bool,
    /// Whether it is stopping: it takes no requests, and finishes those that it has.
    pub is_leaving: bool,
    /// Services that it has no paths to.
    pub lost_services: Vec<ServiceId>,
}

impl ForwardTarget {
    /// Reports whether requests for a service may be forwarded to the host.
    pub fn takes_requests(&self, service: &ServiceId) -> bool {
        !self.is_leaving && !self.lost_services.contains(service)
    }
}

/// Picks the host that a request is forwarded to, or `None` if no host is known that has paths to
/// the service. `is_tried` selects hosts that were asked already, and `outstanding` returns the
/// number of requests that this host has forwarded and not finished.
pub fn pick_host<'a>(
    targets: &'a [ForwardTarget],
    service: &ServiceId,
    request: &str,
    is_tried: impl Fn(&HostId) -> bool,
    outstanding: impl Fn(&HostId) -> usize,
) -> Option<&'a ForwardTarget> {
    let is_usable = |t: &&ForwardTarget| t.takes_requests(service) && !is_tried(&t.host);
    let mut usable: Vec<&ForwardTarget> = targets.iter().filter(is_usable).collect();
    let rank = |t: &ForwardTarget| hash_fraction(request, t.host.as_str());
    usable.sort_by(|a, b| rank(a).total_cmp(&rank(b)));
    let compared = usable.into_iter().take(COMPARED_HOSTS);
    compared.min_by_key(|t| (!t.is_local, outstanding(&t.host)))
}

/// The host that sends a request to an endpoint that only its holders may send to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderChoice<'a> {
    /// This host itself.
    Own,
    /// Another host, which the request is forwarded to.
    Other(&'a ForwardTarget),
}

/// Picks the holder of an endpoint that is asked first, or the next one if hosts were tried already;
/// `None` if no other holder is known. `own` are the id and failure domain of this host.
pub fn pick_holder<'a>(
    targets: &'a [ForwardTarget],
    own: (&HostId, &FailureDomain),
    service: &ServiceId,
    endpoint: &PoolEndpoint,
    request: &str,
    is_tried: impl Fn(&HostId) -> bool,
) -> Option<HolderChoice<'a>> {
    let max_refusals = endpoint.state.max_refusals()?;
    let shares = RefusalShares::new(max_refusals, targets.len() + 1);
    let (task, domain) = (endpoint.id.as_str(), &endpoint.failure_domain);
    let others = targets.iter().filter(|t| t.takes_requests(service)).map(|t| {
        (holder_rank(task, domain, &t.host, &t.failure_domain), HolderChoice::Other(t), &t.host)
    });
    let own = (holder_rank(task, domain, own.0, own.1), HolderChoice::Own, own.0);
    let mut holders: Vec<_> = others.chain([own]).collect();
    holders.sort_unstable_by_key(|(rank, _, _)| std::cmp::Reverse(*rank));
    holders.truncate(shares.holders);
    if !shares.has_stand_in() {
        // All of them are equal, so requests are spread over them.
        holders.sort_by_key(|(_, _, host)| rendezvous(request, host.as_str()));
    }
    let choice = holders.into_iter().find(|(_, _, host)| !is_tried(host));
    choice.map(|(_, choice, _)| choice)
}

/// Reports whether an error of a host that a request was forwarded to leaves it to another host.
pub fn may_forward_elsewhere(e: &Error) -> bool {
    let is_host_specific = matches!(
        e.code,
        Code::NoPath
            | Code::Draining
            | Code::NotReady
            | Code::Stale
            | Code::Overloaded
            | Code::NoBodyMemory
    );
    is_host_specific && e.executed == Executed::No
}

/// Returns for how long another host may have been silent to be used, in a fleet in which each host
/// sends a message to each other one once in `cycle`.
pub fn max_silence(cycle: Millis) -> Millis {
    const MIN_SILENCE: Millis = Millis(1_000);
    MIN_SILENCE.max(cycle + cycle)
}
