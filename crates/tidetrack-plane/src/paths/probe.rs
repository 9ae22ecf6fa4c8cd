//! Probes of single endpoints, which cause no work there.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{HeaderValue, HOST};
use http::Request;
use http_body_util::Full;
use tokio::sync::Semaphore;

use tidetrack_core::ids::{EndpointKey, ServiceId};
use tidetrack_core::placement::PoolEndpoint;
use tidetrack_core::traffic::probe_rounds::ProbeOutcome;

use crate::job::Traffic;

/// Maximum time from the start of a probe to its response.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of probes under way that decide about paths, each of which needs a file descriptor.
const MAX_DECIDING_PROBES: usize = 128;

/// Maximum number of probes under way that detect recoveries, which must not delay those that decide.
const MAX_RECOVERY_PROBES: usize = 64;

/// Bounds on the probes under way.
#[derive(Debug)]
pub(super) struct ProbeSlots {
    deciding: Semaphore,
    recovery: Semaphore,
}

impl Default for ProbeSlots {
    fn default() -> ProbeSlots {
        ProbeSlots {
            deciding: Semaphore::new(MAX_DECIDING_PROBES),
            recovery: Semaphore::new(MAX_RECOVERY_PROBES),
        }
    }
}

/// What a probe is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbePurpose {
    /// The probe decides about the paths, or whether a failure is its endpoint's.
    Decision,
    /// The probe finds out whether an endpoint, or the paths to it, are back.
    Recovery,
}

/// Probes an endpoint on a new connection, and returns the outcome with the time that the probe took. A response
/// counts as contact with the service.
///
/// An endpoint that falls over from refusing requests may refuse a probe too, so it is only connected to.
pub(super) async fn probe(
    traffic: &Traffic,
    service: &ServiceId,
    endpoint: &PoolEndpoint,
    purpose: ProbePurpose,
) -> (ProbeOutcome, Duration) {
    let monitor = &traffic.paths;
    let slots = match purpose {
        ProbePurpose::Decision => &monitor.probe_slots.deciding,
        ProbePurpose::Recovery => &monitor.probe_slots.recovery,
    };
    // Fails only if the semaphore is closed, which it never is.
    let _slot = slots.acquire().await.ok();
    let started_at = Instant::now();
    let key = EndpointKey::from(&endpoint.id);
    monitor.paths.borrow_mut().record_probe(traffic.shared.now(), service, key);
    let outcome = send_probe(traffic, endpoint).await;
    let took = started_at.elapsed();
    traffic.shared.metrics.record_path_probe(outcome.as_str(), outcome.is_answered());
    if outcome.is_answered() {
        endpoint.state.record_reached();
        match endpoint.state.guard().is_active() {
            true => monitor.record_contact(traffic, service, &endpoint.id),
            false => monitor.record_response(traffic, service, &endpoint.id, false),
        }
    }
    (outcome, took)
}

async fn send_probe(traffic: &Traffic, endpoint: &PoolEndpoint) -> ProbeOutcome {
    let started_at = Instant::now();
    let mut lease = match traffic.pool.open(&endpoint.address).await {
        Ok(lease) => lease,
        Err(e) => return e.disconnect_cause.map_or(ProbeOutcome::Broken, ProbeOutcome::from),
    };
    if endpoint.state.guard().is_active() {
        return ProbeOutcome::Answered;
    }
    let Ok(host) = HeaderValue::from_str(&endpoint.address) else { return ProbeOutcome::Broken };
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.uri_mut() = http::Uri::from_static(traffic.shared.dialect.probe_path);
    req.headers_mut().insert(HOST, host);
    let response = lease.sender.send_request(req.map(Into::into));
    match tokio::time::timeout_at((started_at + PROBE_TIMEOUT).into(), response).await {
        Ok(Ok(_)) => ProbeOutcome::Answered,
        Ok(Err(_)) => ProbeOutcome::Broken,
        Err(_) => ProbeOutcome::Mute,
    }
}
