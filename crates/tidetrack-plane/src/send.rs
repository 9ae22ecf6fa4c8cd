//! Sends a request to a chosen endpoint and limits the time that the attempt may take.

use std::convert::Infallible;
use std::time::{Duration, Instant};

use http::Request;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::{ModelId, ServiceId, VersionName};
use tidetrack_core::traffic::control::Input;
use tidetrack_core::units::{Millis, Tokens};

use crate::attempt::{self, Attempt, EndpointResponse, IdEcho};
use crate::attempt_timing::attempt_work;
use crate::choose::{model_weight, reserve_next_attempt};
use crate::dialect::{EndpointRequestInfo, ReportedLoad, ResponseFacts};
use crate::forward;
use crate::job::{AttemptHistory, ChosenEndpoint, Job, SilentEndpoint, Traffic};
use crate::load_control;
use crate::pending_work::PendingWork;
use crate::pool::max_idle_time;
use crate::request_body::OutgoingBody;
use crate::stall_aware_sleep::stall_aware_sleep;

/// Work in response tokens that a request counts as if an endpoint reports it as running. An engine
/// reads prompts one after another but generates the tokens of all running requests together, so
/// running requests add little.
const WORK_PER_RUNNING_REQUEST: u64 = 40;

/// Work in response tokens that a request counts as if an endpoint reports it as waiting.
const WORK_PER_WAITING_REQUEST: u64 = 400;

/// Multiple of the objective after which an attempt is abandoned if its endpoint sent nothing
/// meanwhile. An endpoint that has disappeared is detected by its connection, 1.2 s after the first
/// retransmission of an unacknowledged request or 2 s after the last packet from the endpoint. A
/// shorter timeout would discard the work of endpoints that are only busy, and a host in a large
/// fleet receives little data from each endpoint.
const SILENT_TIMEOUT_RATIO: f64 = 1.6;

/// Multiple of the objective after which an attempt is abandoned even though its endpoint still
/// responds to other requests.
const SLOW_TIMEOUT_RATIO: f64 = 3.0;

/// Minimum timeout of an attempt, used if the objective is shorter than the endpoint's usual
/// response time.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);

/// Multiple of the usual time of a route's responses after which probes ask whether an endpoint that has not been
/// reached yet has ended.
const UNUSUAL_TIME_RATIO: u32 = 2;

/// Smallest such time.
const MIN_FIRST_RESPONSE_DELAY: Duration = Duration::from_millis(200);

/// Longest time for which an endpoint is left alone at its own request. A wrong value must not take it
/// out of use for good.
const MAX_REST: Duration = Duration::from_secs(60);

/// Fraction of a rest over which the hosts' returns are spread.
const REST_SPREAD: f64 = 0.1;

/// Sends a request to a chosen endpoint and returns the response once its head is received.
/// `resume_after` is the id of the last event received if the attempt resumes an interrupted
/// stream.
///
/// Fails with `Deadline` if the attempt is abandoned for another one or the request's time is over,
/// and with the error of the attempt otherwise.
pub async fn send(
    traffic: &Traffic,
    job: &Job,
    tries: &mut AttemptHistory,
    chosen: &ChosenEndpoint,
    pending_work: &PendingWork,
    model: Option<&ModelId>,
    resume_after: Option<u64>,
) -> Result<EndpointResponse> {
    if let Some(host) = &chosen.forwarded_to {
        return forward::send(traffic, job, tries, chosen, host, model, resume_after).await;
    }
    let shared = &traffic.shared;
    chosen.state.record_send(shared.now());
    load_control::record_send(traffic, job, chosen);
    tries.tried.push(chosen.id.clone());
    tries.sent_count += 1;
    tries.last_sent_at = shared.now();
    tries.is_next_charged = false;
    let load = chosen.state.load(shared.now()) as u64;
    let reported_at = chosen.state.reported_at();
    let load_age = match reported_at {
        Millis(0) => -1,
        at => (shared.now() - at).0 as i64,
    };
    let shared_tokens = job.facts.shared_tokens.map_or(0, |t| t.0);
    if shared_tokens > 0 {
        shared.metrics.record_shared_tokens(chosen.prefix.as_str(), shared_tokens);
    }
    shared.journal.log_routine(
        Event::AttemptSent,
        &[
            ("request", &job.id),
            ("attempt", &tries.sent_count),
            ("endpoint", &chosen.id),
            ("model", &model.map_or("-", ModelId::as_str)),
            ("new_version", &chosen.canary_version.as_ref().map_or("-", VersionName::as_str)),
            ("shared", &shared_tokens),
            ("prefix", &chosen.prefix),
            ("load", &load),
            ("load_age_ms", &load_age),
            ("ejected", &chosen.state.is_ejected(shared.now())),
        ],
    );
    // An attempt that resumes a stream or replaces a silent endpoint uses a new connection: once it
    // is established, the network path to the endpoint works, and the response will arrive soon
    // after it starts. A pooled connection proves nothing, and the silent endpoint would be
    // abandoned for it.
    let max_idle = match resume_after.is_some() || tries.silent_endpoint.is_some() {
        true => Duration::ZERO,
        false => max_idle_time(job.admitted.route.work.is_repeatable()),
    };
    let (silent_endpoint, used_connections) =
        (tries.silent_endpoint.clone(), tries.used_connections.clone());
    let attempt = Attempt {
        pool: &traffic.pool,
        read_answer: shared.dialect.parse_response_head,
        on_head: &|facts| {
            record_announcements(traffic, chosen, facts);
            match facts.has_not_executed {
                true => {
                    record_refusal(traffic, &job.id, chosen, pending_work, facts);
                    // A full endpoint would otherwise look like an idle one to this host.
                    if let Some(load) =
                        facts.load.filter(|_| traffic.has_load_control(&job.service))
                    {
                        record_load(traffic, &job.service, chosen, load);
                    }
                    load_control::record_refusal(traffic, job, chosen, facts);
                }
                false => pending_work.record_accepted(shared.now()),
            }
            record_reported_limit(traffic, chosen, facts);
        },
        on_response: &|is_reused| {
            traffic.paths.record_response(traffic, &job.service, &chosen.id, is_reused);
        },
        endpoint: chosen.id.as_str(),
        address: &chosen.address,
        attempt_id: job.facts.attempt_id.as_deref(),
        echo: IdEcho::Required,
        is_repeatable: job.admitted.route.work.is_repeatable(),
        max_idle,
        used_connections: &used_connections,
        deadline: job.deadline,
    };
    if let Some(silent_endpoint) = &silent_endpoint {
        silent_endpoint.record_connect_start();
    }
    let is_open = tries.is_open.clone();
    let make_request = || {
        is_open.set(true);
        pending_work.record_written(shared.now());
        if let Some(silent_endpoint) = &silent_endpoint {
            silent_endpoint.record_write_start();
        }
        build_request(traffic, job, chosen, model, resume_after)
    };
    let started_at = Instant::now();
    let response = tokio::select! {
        biased;
        response = attempt::send(&attempt, make_request) => response,
        () = wait_for_attempt_timeout(traffic, job, tries, chosen, model) => {
            Err(Error::new(Code::Deadline, "the endpoint did not respond in time")
                .with_executed(Executed::Unknown))
        }
        never = watch_first_response(traffic, job, chosen) => match never {},
    };
    match &response {
        Ok(_) => {
            chosen.state.record_activity(shared.now());
            traffic.pool.record_response(started_at);
        }
        Err(e) if e.code == Code::EndpointUnreachable => {
            tries.unreachable.push(chosen.id.clone());
            refund_unreached_attempt(traffic, job, tries);
        }
        Err(_) => {}
    }
    response
}

/// Refunds an attempt that reached no endpoint: it counts neither against the request's maximum
/// number of attempts nor against the budget of further attempts. Each search for an endpoint gets
/// at most `max_attempts` refunds.
fn refund_unreached_attempt(traffic: &Traffic, job: &Job, tries: &mut AttemptHistory) {
    if tries.connect_failures >= job.admitted.route.max_attempts {
        return;
    }
    tries.connect_failures += 1;
    tries.sent_count -= 1;
    if tries.sent_count > 0 {
        traffic.with_budget(&job.service, |b| b.refund(tries.last_sent_at));
    }
}

/// Records that the current attempt is dropped because the silent endpoint that it was to replace
/// has sent data again. The endpoint of the dropped attempt may be tried again, and the attempt is
/// refunded if its request was not written yet.
pub fn record_dropped_attempt(
    traffic: &Traffic,
    job: &Job,
    tries: &mut AttemptHistory,
    silent_endpoint: &SilentEndpoint,
) {
    tries.tried.pop();
    if silent_endpoint.is_connecting() {
        refund_unreached_attempt(traffic, job, tries);
    }
}

fn build_request(
    traffic: &Traffic,
    job: &Job,
    chosen: &ChosenEndpoint,
    model: Option<&ModelId>,
    resume_after: Option<u64>,
) -> Request<OutgoingBody> {
    let remaining = job.time_left();
    let handover = EndpointRequestInfo {
        time_left: Millis(remaining.as_millis() as u64),
        endpoint: &chosen.id,
        workspace: job.admitted.holder.as_ref().map(|h| &h.workspace),
        rank: job.is_generation().then(|| job.admitted.rank()),
        model,
        last_event: resume_after.or(job.facts.last_event),
        prefix_cache_address: chosen.prefix.source_address(),
    };
    let mut req = Request::new(OutgoingBody::from(&job.body));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.uri.clone();
    *req.headers_mut() = (traffic.shared.dialect.build_endpoint_head)(&job.headers, &handover);
    req
}

/// Waits until an attempt is to be abandoned for another one: early if the endpoint is completely
/// silent, later if it is only slow. Returns after it has taken the other attempt from the budget.
/// Keeps waiting while no further attempt is allowed, because the endpoint may still respond.
async fn wait_for_attempt_timeout(
    traffic: &Traffic,
    job: &Job,
    tries: &mut AttemptHistory,
    chosen: &ChosenEndpoint,
    model: Option<&ModelId>,
) {
    let route = &job.admitted.route;
    if tries.sent_count >= route.max_attempts || !route.work.is_repeatable() {
        return std::future::pending().await;
    }
    let silent_timeout = job.objective().mul_f64(SILENT_TIMEOUT_RATIO).max(MIN_ATTEMPT_TIMEOUT);
    let slow_timeout = job.objective().mul_f64(SLOW_TIMEOUT_RATIO).max(MIN_ATTEMPT_TIMEOUT * 2);
    let started_at = Instant::now();
    let weight = model_weight(traffic, job, model);
    // The load contains the work of this attempt already.
    let own = job.work(weight, chosen.prefix.is_available()) as f64;
    let ahead = (chosen.state.load(traffic.shared.now()) - own).max(0.0);
    let work = attempt_work(traffic, job, chosen, weight, ahead);
    let start = traffic.service_times.borrow().estimate_start(&job.service, model, work);
    loop {
        let since = traffic.shared.now();
        stall_aware_sleep(silent_timeout).await;
        if chosen.state.was_active_since(since) {
            stall_aware_sleep(slow_timeout.saturating_sub(silent_timeout)).await;
            let elapsed = started_at.elapsed();
            if load_control::waits_for_busy_endpoint(
                traffic, job, tries, chosen, model, start, elapsed,
            ) {
                continue;
            }
        }
        // The attempt in progress may end in time although a further one would not.
        let may_abandon = traffic.check_stop_time(job).is_ok();
        if may_abandon && reserve_next_attempt(traffic, job, tries, model) {
            return;
        }
    }
}

/// Starts probes if an attempt at an endpoint that this host has not reached yet takes much longer than requests
/// of the route usually do. Never returns.
async fn watch_first_response(traffic: &Traffic, job: &Job, chosen: &ChosenEndpoint) -> Infallible {
    let usual_time = traffic.response_times.borrow().usual(&job.admitted.route.name);
    let delay = match usual_time {
        Some(usual) => Duration::from_millis(usual.0) * UNUSUAL_TIME_RATIO,
        None => job.objective().mul_f64(SILENT_TIMEOUT_RATIO),
    };
    let delay = delay.max(MIN_FIRST_RESPONSE_DELAY);
    traffic.paths.watch_first_response(traffic, &job.service, &chosen.id, delay).await
}

/// Records what an endpoint says about itself in the head of a response: that it is leaving, or that it wants no
/// requests for a time.
pub fn record_announcements(traffic: &Traffic, chosen: &ChosenEndpoint, facts: &ResponseFacts) {
    if facts.is_leaving && chosen.state.record_leave_announcement() {
        traffic.shared.journal.log(Event::EndpointLeaves, &[("endpoint", &chosen.id)]);
    }
    match facts.rest.as_ref().filter(|_| facts.has_not_executed) {
        None => {}
        Some(Ok(rest)) => {
            let rest = Duration::from_millis(rest.0).min(MAX_REST);
            let spread = rest.mul_f64(REST_SPREAD * rand::random::<f64>());
            let now = traffic.shared.now();
            chosen.state.rest_until(now + Millis((rest + spread).as_millis() as u64));
        }
        Some(Err(value)) => {
            let fields: [(&'static str, &dyn std::fmt::Display); 2] =
                [("endpoint", &chosen.id), ("value", value)];
            traffic.shared.journal.log(Event::RestIgnored, &fields);
        }
    }
}

/// Records that an endpoint has refused a request.
fn record_refusal(
    traffic: &Traffic,
    request: &str,
    chosen: &ChosenEndpoint,
    pending_work: &PendingWork,
    facts: &ResponseFacts,
) {
    let now = traffic.shared.now();
    let is_brittle = facts.max_refusals.is_some() || chosen.state.guard().is_active();
    traffic.shared.metrics.record_refusal(is_brittle);
    pending_work.record_refused(now);
    if is_brittle {
        let guard = chosen.state.guard();
        let (recent, fits) =
            guard.with_window(|window, _| (window.recent_refusals(now), window.max_concurrent()));
        let fits = fits.map_or("-".to_string(), |n| n.to_string());
        let fields: [(&'static str, &dyn std::fmt::Display); 6] = [
            ("request", &request),
            ("endpoint", &chosen.id),
            ("access", &guard.access()),
            ("in_flight", &chosen.state.in_flight()),
            ("refused_last_s", &recent),
            ("fits", &fits),
        ];
        traffic.shared.journal.log(Event::BrittleRefusal, &fields);
    }
}

/// Records the limits that an endpoint reports in the head of a response, or that it reports none. A
/// refusal may come from a component of the endpoint that does not know them, so what it does not
/// say is ignored.
fn record_reported_limit(traffic: &Traffic, chosen: &ChosenEndpoint, facts: &ResponseFacts) {
    match &facts.max_refusals {
        Some(Err(value)) => {
            let fields: [(&'static str, &dyn std::fmt::Display); 2] =
                [("endpoint", &chosen.id), ("value", value)];
            traffic.shared.journal.log_routine(Event::MaxRefusalsIgnored, &fields);
        }
        Some(Ok(max_refusals)) => record_max_refusals(traffic, chosen, Some(*max_refusals)),
        None if facts.has_not_executed => {}
        None => record_max_refusals(traffic, chosen, None),
    }
    if facts.has_not_executed && facts.limit.is_none() {
        return;
    }
    if chosen.state.update_reported_limit(facts.limit) {
        traffic.shared.send_input(Input::LimitReported(chosen.id.clone(), facts.limit));
    }
}

/// Records how many refusals per second an endpoint says it bears, or that it does not say so.
fn record_max_refusals(traffic: &Traffic, chosen: &ChosenEndpoint, max_refusals: Option<u32>) {
    let Some(previous) = chosen.state.update_max_refusals(max_refusals) else { return };
    let text = |n: Option<u32>| n.map_or("-".to_string(), |n| n.to_string());
    let fields: [(&'static str, &dyn std::fmt::Display); 3] = [
        ("endpoint", &chosen.id),
        ("max_refusals", &text(max_refusals)),
        ("previous", &text(previous)),
    ];
    traffic.shared.journal.log(Event::EndpointBrittle, &fields);
    traffic.shared.send_input(Input::MaxRefusalsReported(chosen.id.clone(), max_refusals));
}

/// Records the load that an endpoint reports in the head of a response.
pub fn record_reported_load(
    traffic: &Traffic,
    job: &Job,
    chosen: &ChosenEndpoint,
    response: &EndpointResponse,
) {
    if let Some(load) = response.facts.load {
        load_control::record_load(traffic, job, chosen, &load);
        record_load(traffic, &job.service, chosen, load);
    }
}

/// Records the load that an endpoint of a service reports.
pub fn record_load(
    traffic: &Traffic,
    service: &ServiceId,
    chosen: &ChosenEndpoint,
    load: ReportedLoad,
) {
    if load.slowdown.is_some() {
        traffic.record_reported_speed(service);
    }
    let work = load.running * WORK_PER_RUNNING_REQUEST + load.waiting * WORK_PER_WAITING_REQUEST;
    let now = traffic.shared.now();
    chosen.state.record_load_report(now, work, Tokens(0));
    if traffic.has_load_control(service) {
        if let Some(slowdown) = load.slowdown {
            chosen.state.record_reported_slowdown(now, slowdown);
        }
        if load.slots.is_some() {
            chosen.state.prefer_reports();
        }
    }
}
