//! A request to an endpoint that runs nothing and shows whether the endpoint is reached.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{HeaderValue, HOST};
use http::Request;
use http_body_util::Full;
use tokio::sync::Semaphore;

use tidetrack_core::disconnect::DisconnectCause;
use tidetrack_core::ids::ServiceId;
use tidetrack_core::placement::PoolEndpoint;

use crate::job::Traffic;

/// Maximum time from the start of a probe to its response.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of probes under way, each of which needs a file descriptor.
const MAX_PROBES: usize = 128;

/// What became of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeOutcome {
    /// The endpoint sent a response.
    Answered,
    /// The connection was refused.
    Refused,
    /// No connection was established in time.
    Silent,
    /// The connection broke, or no response arrived on it in time.
    Broken,
}

impl ProbeOutcome {
    pub(super) fn is_answered(self) -> bool {
        self == ProbeOutcome::Answered
    }

    /// Returns the label used in metrics.
    fn as_str(self) -> &'static str {
        match self {
            ProbeOutcome::Answered => "answered",
            ProbeOutcome::Refused => "refused",
            ProbeOutcome::Silent => "silent",
            ProbeOutcome::Broken => "broken",
        }
    }
}

impl From<DisconnectCause> for ProbeOutcome {
    fn from(cause: DisconnectCause) -> ProbeOutcome {
        match cause {
            DisconnectCause::Refused => ProbeOutcome::Refused,
            DisconnectCause::TimedOut => ProbeOutcome::Silent,
            _ => ProbeOutcome::Broken,
        }
    }
}

/// Bound on the probes under way.
#[derive(Debug)]
pub(super) struct ProbeSlots(Semaphore);

impl Default for ProbeSlots {
    fn default() -> ProbeSlots {
        ProbeSlots(Semaphore::new(MAX_PROBES))
    }
}

/// Probes an endpoint on a new connection. A response counts as contact with the service.
pub(super) async fn probe(
    traffic: &Traffic,
    service: &ServiceId,
    endpoint: &PoolEndpoint,
) -> ProbeOutcome {
    // Fails only if the semaphore is closed, which it never is.
    let _slot = traffic.paths.probe_slots.0.acquire().await.ok();
    let now = traffic.shared.now();
    traffic.paths.paths.borrow_mut().record_probe(now, service, (&endpoint.id).into());
    let outcome = send_probe(traffic, endpoint).await;
    traffic.shared.metrics.record_path_probe(outcome.as_str(), outcome.is_answered());
    if outcome.is_answered() {
        endpoint.state.record_reached();
        traffic.paths.record_response(traffic, service, &endpoint.id, false);
    }
    outcome
}

async fn send_probe(traffic: &Traffic, endpoint: &PoolEndpoint) -> ProbeOutcome {
    let started_at = Instant::now();
    let mut lease = match traffic.pool.open(&endpoint.address).await {
        Ok(lease) => lease,
        Err(e) => return e.disconnect_cause.map_or(ProbeOutcome::Broken, ProbeOutcome::from),
    };
    let Ok(host) = HeaderValue::from_str(&endpoint.address) else { return ProbeOutcome::Broken };
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.uri_mut() = http::Uri::from_static(traffic.shared.dialect.probe_path);
    req.headers_mut().insert(HOST, host);
    let response = lease.sender.send_request(req.map(Into::into));
    match tokio::time::timeout_at((started_at + PROBE_TIMEOUT).into(), response).await {
        Ok(Ok(_)) => ProbeOutcome::Answered,
        _ => ProbeOutcome::Broken,
    }
}
