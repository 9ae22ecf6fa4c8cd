//! Asks two candidates of a long attempt for their load before it is sent.
//!
//! The answers are recorded like the reports in responses, and the candidate that is then expected
//! to finish first gets the attempt. A probe that is not answered in time changes nothing.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Uri};
use http_body_util::Full;

use tidetrack_core::events::Event;
use tidetrack_core::ids::ModelId;
use tidetrack_core::placement::probing::{max_probe_wait, needs_probe};

use crate::attempt::discard_body;
use crate::attempt_timing::attempt_length;
use crate::choose::{model_weight, plan_alternative, recheck};
use crate::job::{AttemptHistory, ChosenEndpoint, Job, Traffic};
use crate::pool::{max_idle_time, UsedConnections};
use crate::send::{record_announcements, record_load};

/// Returns the endpoint that an attempt is sent to: the chosen one, or an alternative if probes of
/// both show that it is likely to finish earlier.
pub async fn probe_candidates(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    model: Option<&ModelId>,
    chosen: ChosenEndpoint,
) -> ChosenEndpoint {
    let Some(path) = health_path(traffic, job) else { return chosen };
    let weight = model_weight(traffic, job, model);
    let Some(length) = attempt_length(traffic, job, model, weight) else { return chosen };
    let is_probed = |e: &ChosenEndpoint| needs_probe(traffic.shared.now(), length, &e.state);
    // The endpoint that another host asks for, or that a roll-out needs requests at, is not replaced,
    // and without network paths no other endpoint can be asked.
    let is_fixed = chosen.forwarded_to.is_some()
        || job.is_forwarded
        || chosen.is_loaded
        || traffic.paths.is_lost(&job.service);
    if is_fixed || !is_probed(&chosen) {
        return chosen;
    }
    let Some(alternative) = plan_alternative(traffic, job, attempts, model, &chosen) else {
        return chosen;
    };
    let max_wait = max_probe_wait(job.admitted.route.objective);
    let max_wait = Duration::from_millis(max_wait.0).min(job.time_left());
    let started_at = Instant::now();
    let probe_alternative = async {
        if is_probed(&alternative) {
            probe(traffic, job, &alternative, &path).await;
        }
    };
    let probes = async { tokio::join!(probe(traffic, job, &chosen, &path), probe_alternative) };
    let is_answered = tokio::time::timeout(max_wait, probes).await.is_ok();
    let picked = recheck(traffic, job, model, &chosen, alternative);
    traffic.shared.metrics.record_load_probe(is_answered, picked.id != chosen.id);
    traffic.shared.journal.log_routine(
        Event::CandidatesProbed,
        &[
            ("request", &job.id),
            ("first", &chosen.id),
            ("picked", &picked.id),
            ("answered", &is_answered),
            ("ms", &started_at.elapsed().as_millis()),
        ],
    );
    picked
}

/// Returns the path that endpoints of a request's service tell their load on, if the request is
/// under load control and the endpoints report their present speed.
fn health_path(traffic: &Traffic, job: &Job) -> Option<Uri> {
    if !job.is_generation() || !traffic.has_reported_speed(&job.service) {
        return None;
    }
    let view = traffic.shared.view.load();
    let service = view.catalog.as_ref()?.services.get(&job.service)?;
    service.health_path.as_ref()?.parse().ok()
}

/// Asks one endpoint for its load and records the answer. Failures are not recorded: a probe says
/// nothing about how requests fare.
async fn probe(traffic: &Traffic, job: &Job, endpoint: &ChosenEndpoint, path: &Uri) {
    let max_idle = max_idle_time(job.admitted.route.work.is_repeatable());
    let (name, used) = (endpoint.id.as_str(), UsedConnections::default());
    let acquired = traffic.pool.acquire(name, &endpoint.address, max_idle, &used).await;
    let Ok(mut lease) = acquired else { return };
    let mut req = Request::new(Full::new(Bytes::new()));
    *req.method_mut() = Method::GET;
    *req.uri_mut() = path.clone();
    if let Ok(host) = http::HeaderValue::from_str(&endpoint.address) {
        req.headers_mut().insert(http::header::HOST, host);
    }
    let Ok(resp) = lease.sender.try_send_request(req.map(Into::into)).await else { return };
    let (head, body) = resp.into_parts();
    let facts = (traffic.shared.dialect.parse_response_head)(&head.headers);
    if facts.attempt_id.is_some() {
        // A probe has no id, so this is a surplus response to an earlier request.
        return traffic.pool.record_surplus(name);
    }
    record_announcements(traffic, endpoint, &facts);
    if let Some(load) = facts.load.filter(|_| head.status.is_success()) {
        record_load(traffic, &job.service, endpoint, load);
    }
    discard_body(&traffic.pool, name, body, lease, facts.idle_time);
}
