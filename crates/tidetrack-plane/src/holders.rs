//! Requests to endpoints that only their holders may send to, as seen by the other hosts.

use tidetrack_core::errors::Error;
use tidetrack_core::ids::{EndpointId, HostId};
use tidetrack_core::placement::{EndpointAccess, EndpointState, PoolEndpoint};
use tidetrack_core::traffic::forwarding::{
    pick_holder, ForwardTarget, HolderChoice, MAX_HOSTS_PER_REQUEST,
};
use tidetrack_core::units::Millis;

use crate::job::{AttemptHistory, ChosenEndpoint, Job, Traffic};

/// Who sends a request to a picked endpoint.
pub enum SenderChoice {
    /// This host.
    Own,
    /// Another host, which holds the endpoint.
    Other(ForwardTarget),
    /// No host that is known and was not tried.
    None,
}

/// Chooses who sends a request to an endpoint that was picked for it. Only the holders send to an endpoint that
/// falls over from refusing requests.
pub fn choose_sender(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    endpoint: &PoolEndpoint,
) -> SenderChoice {
    let guard = endpoint.state.guard();
    let is_asked_first =
        matches!(guard.access(), EndpointAccess::Direct | EndpointAccess::Holder(_));
    if job.is_forwarded || is_asked_first {
        return SenderChoice::Own;
    }
    // The stand-in is not asked for a place that the holder does not have.
    if attempts.tried.contains(&endpoint.id) {
        return SenderChoice::None;
    }
    let targets = traffic.shared.forward_targets.load();
    let own = (&traffic.shared.settings.host, &traffic.shared.settings.failure_domain);
    let now = traffic.shared.now();
    let is_tried = |host: &HostId| attempts.has_tried_host(host) || guard.is_unreached(now, host);
    match pick_holder(&targets, own, &job.service, endpoint, &job.id, is_tried) {
        Some(HolderChoice::Other(host)) if attempts.forward_count < MAX_HOSTS_PER_REQUEST => {
            SenderChoice::Other(host.clone())
        }
        Some(HolderChoice::Own) if guard.permits_sending(now) => SenderChoice::Own,
        _ => SenderChoice::None,
    }
}

/// Records that the holder of an endpoint could not send to it. Another holder may, so the endpoint may be tried again.
pub fn record_unreached(
    traffic: &Traffic,
    job: &Job,
    attempts: &mut AttemptHistory,
    chosen: &ChosenEndpoint,
    host: &HostId,
) {
    if let Some(endpoint) = chosen.asked_endpoint() {
        attempts.tried.retain(|id| id != endpoint);
        with_endpoint(traffic, job, endpoint, |state| {
            state.guard().record_unreached(traffic.shared.now(), host);
        });
    }
}

/// Records that the holder of an endpoint has no place there, so that requests of the next moment are not
/// forwarded in vain.
pub fn record_declined_endpoint(traffic: &Traffic, job: &Job, endpoint: &EndpointId, e: &Error) {
    let place_after = Millis(e.retry_after_ms.unwrap_or(0));
    with_endpoint(traffic, job, endpoint, |state| {
        state.guard().record_decline(traffic.shared.now(), place_after);
    });
}

/// Calls `f` with the state of an endpoint of a request's service, if it is known.
fn with_endpoint(traffic: &Traffic, job: &Job, id: &EndpointId, f: impl FnOnce(&EndpointState)) {
    let view = traffic.shared.view.load();
    let Some(service) = view.services.get(&job.service) else { return };
    let pools = [&service.stable_pool, &service.canary_pool];
    let mut endpoints = pools.into_iter().flat_map(|pool| pool.endpoints());
    if let Some(endpoint) = endpoints.find(|e| e.id == *id) {
        f(&endpoint.state);
    }
}
