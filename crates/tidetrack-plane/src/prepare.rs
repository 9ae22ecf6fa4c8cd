//! Preparation of a request: admission, its body and the selection of its service.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::request::Parts;
use hyper::body::Incoming;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::placement::hash_fraction;
use tidetrack_core::traffic::admission;
use tidetrack_core::traffic::bootstrap::hold_time;
use tidetrack_core::traffic::fingerprint::{RequestFingerprints, RequestIdentity};
use tidetrack_core::traffic::forwarding::ForwardedRequest;
use tidetrack_core::traffic::stop::{self, StopStage};
use tidetrack_core::units::Millis;

use crate::clock::BootInstant;
use crate::dialect::RequestFacts;
use crate::job::{Job, Traffic};

/// Interval at which a request that arrived during startup checks whether the host can serve.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Admits a request, reads its body and selects its service. Fails if the request is refused, its body is
/// invalid or late, or its route has no target.
pub async fn prepare(
    traffic: &Rc<Traffic>,
    facts: Result<RequestFacts>,
    head: Parts,
    body: &mut Incoming,
    started_at: Instant,
    envelope: Option<ForwardedRequest>,
) -> Result<Job> {
    let shared = &traffic.shared;
    if *traffic.stop_stage.borrow() >= StopStage::Closing {
        return Err(stop::refusal());
    }
    let mut facts = facts?;
    if let Some(envelope) = &envelope {
        facts.time_left = Some(Millis(envelope.time_left_ms));
        facts.last_event = envelope.last_event.or(facts.last_event);
    }
    let hostname = head.headers.get(http::header::HOST).and_then(|h| h.to_str().ok());
    wait_until_ready(traffic, facts.time_left).await;
    let view = shared.view.load_full();
    let is_further_attempt = envelope.as_ref().is_some_and(|e| e.executed.is_some());
    let admission_request = admission::AdmissionRequest {
        hostname: hostname.or(head.uri.host()).unwrap_or_default(),
        path: head.uri.path(),
        key: facts.key.as_deref(),
        retired_keys: Some(&*view.retired_keys).filter(|_| is_further_attempt),
    };
    let revocation_bound = shared.settings.bounds.revocation_bound;
    let catalog = view.catalog.as_deref();
    let config = catalog.map_or(0, |c| c.version);
    // This host may not know a route or key by which the other one has admitted the request.
    let is_outdated = envelope.as_ref().is_some_and(|e| config < e.config);
    let admission_error = |e: Error| match is_outdated {
        true => Error::new(
            Code::NotReady,
            format!("the request was admitted by a newer configuration than this host has: {e}"),
        ),
        false => e,
    };
    let admitted = admission::admit(
        catalog,
        &shared.freshness,
        shared.now(),
        revocation_bound,
        admission_request,
    )
    .map_err(admission_error)?;
    let limits = catalog.map(|c| c.limits).unwrap_or_default();
    let route = &admitted.route;
    let route_timeout = Duration::from_millis(route.timeout.0);
    let timeout =
        facts.time_left.map_or(route_timeout, |t| route_timeout.min(Duration::from_millis(t.0)));
    let (deadline, suspend_aware_deadline) = (
        started_at + timeout,
        BootInstant::now().saturating_add(timeout.saturating_sub(started_at.elapsed())),
    );
    let workspace = admitted.holder.as_ref().map(|h| &h.workspace);
    let read = traffic.body_memory.read(body, workspace, limits.max_body_bytes);
    let timed_out = |_| Error::new(Code::TooSlow, "the body did not arrive in time");
    let read = tokio::time::timeout_at(deadline.into(), read).await.map_err(timed_out)?;
    let (body, body_hold) = read?;
    let segments: Vec<&[u8]> = body.segments().collect();
    let identity = RequestIdentity {
        workspace,
        hostname: admission_request.hostname,
        method: head.method.as_str(),
        path: head.uri.path_and_query().map_or(admission_request.path, |path| path.as_str()),
        prompt_parts: &facts.prompt_parts,
        body: &segments,
    };
    let fingerprints = RequestFingerprints::of(&identity);
    let is_forwarded = envelope.is_some();
    let is_last_host = envelope.as_ref().is_some_and(|e| e.is_last_host);
    // A holder that does not reach its endpoint says so.
    let lost_for = envelope.as_ref().filter(|e| e.endpoint.is_none());
    let lost_for = lost_for.map(|e| Duration::from_millis(e.lost_for_ms));
    let (forwarded_id, asked_endpoint, resumed_model) =
        envelope.map_or((None, None, None), |e| (Some(e.request), e.endpoint, e.model));
    let id = facts
        .attempt_id
        .clone()
        .or(forwarded_id)
        .unwrap_or_else(|| format!("#{}", traffic.next_request_number()));
    let running_request = shared.suspects.admit(shared.now(), &fingerprints)?;
    let target = route.pick_target(hash_fraction("target", &id)).cloned();
    let service =
        target.ok_or_else(|| Error::new(Code::UnknownRoute, "the route has no target service"))?;
    if let Some(lost_for) = lost_for {
        traffic.paths.probe_unless_contacted_within(traffic, &service, lost_for);
    }
    let config_age_ms = shared.freshness.age(shared.now()).map_or(-1, |a| a.0 as i64);
    shared.journal.log_routine(
        Event::RequestAdmitted,
        &[
            ("request", &id),
            ("route", &route.name),
            ("service", &service),
            ("fingerprint", &fingerprints.request()),
            ("parts", &facts.logged_parts()),
            ("session", &facts.session.as_deref().unwrap_or("-")),
            ("config", &config),
            ("config_age_ms", &config_age_ms),
            ("time_ms", &timeout.as_millis()),
        ],
    );
    let held_body =
        traffic.has_load_control(&service).then(|| traffic.backlog.hold_request_body(body.len()));
    Ok(Job {
        held_body,
        id,
        is_forwarded,
        asked_endpoint,
        is_last_host,
        resumed_model,
        facts,
        admitted,
        config,
        fingerprints,
        running_request,
        has_failed: Cell::new(false),
        was_interrupted: Cell::new(false),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
        body_hold,
        started_at,
        deadline,
        suspend_aware_deadline,
        service,
    })
}

/// Delays a request on a recently started host until the host can serve or the startup hold time is over.
async fn wait_until_ready(traffic: &Traffic, time_left: Option<Millis>) {
    let shared = &traffic.shared;
    let since_start = shared.clock.since_start();
    let deadline = since_start + hold_time(since_start, time_left);
    while !shared.can_serve() && shared.clock.since_start() < deadline {
        tokio::time::sleep(STARTUP_POLL_INTERVAL).await;
    }
}
