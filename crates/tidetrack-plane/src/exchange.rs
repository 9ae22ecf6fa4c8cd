//! Handling of one request, from its head to the head of its response.
//!
//! The loop in this module only carries out the decisions of the core crate: admission, release track,
//! endpoint, model, and whether another attempt is made. Each decision is logged on one line.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use http::{Request, Response};
use hyper::body::Incoming;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::{EndpointId, ModelId};
use tidetrack_core::placement::{EndpointAccess, EndpointState};
use tidetrack_core::retry::{may_retry, FailedAttempt};
use tidetrack_core::traffic::cascade;
use tidetrack_core::traffic::forwarding::{
    may_forward_elsewhere, ForwardResult, ForwardedRequest, HolderDecline, MAX_HOSTS_PER_REQUEST,
};
use tidetrack_core::traffic::judge::AttemptOutcome;
use tidetrack_core::traffic::stop;

use crate::attempt::EndpointResponse;
use crate::attempt_timing::{attempt_work, record_demand, record_length, record_start};
use crate::body::ResponseBody;
use crate::choose::{
    check_before_send, model_weight, overloaded_error, record_prefix_use, RETRY_OVERLOADED_MS,
};
use crate::crash::{
    detect_crash, ended_endpoint_error, has_endpoint_ended, wait_for_crash_reports,
};
use crate::forward::{set_result, take_envelope};
use crate::job::{AttemptHistory, ChosenEndpoint, InFlight, Job, Traffic};
use crate::load_control;
use crate::load_probe::probe_candidates;
use crate::pending_work::PendingWork;
use crate::prepare::prepare;
use crate::relay;
use crate::report::{record_failed_attempt, record_response, report_attempt, AttemptObservation};
use crate::request_body;
use crate::room::choose_or_wait;
use crate::second_opinion::model_for_second_opinion;
use crate::send::{record_reported_load, send};

/// Size in bytes up to which a whole response is not counted in the memory that is held for callers,
/// except under load control.
const MAX_UNCOUNTED_RESPONSE: usize = 16 << 10;

/// Handles one request of a caller. Errors become error responses, so this always returns a response.
pub async fn serve(traffic: Rc<Traffic>, req: Request<Incoming>) -> Response<ResponseBody> {
    run(&traffic, req, None).await.0
}

/// Handles one request that another host forwards. The response says how it came about.
pub async fn serve_forwarded(
    traffic: Rc<Traffic>,
    mut req: Request<Incoming>,
) -> Response<ResponseBody> {
    let (mut resp, result) = match take_envelope(&mut req) {
        Ok(envelope) => run(&traffic, req, Some(envelope)).await,
        Err(e) => {
            let resp = refuse(&traffic, None, "", Instant::now(), &e);
            (resp, ForwardResult { error: Some(e), ..ForwardResult::default() })
        }
    };
    set_result(&mut resp, &result);
    resp
}

/// Runs a request. Returns its response, and for another host how that came about.
async fn run(
    traffic: &Rc<Traffic>,
    req: Request<Incoming>,
    envelope: Option<ForwardedRequest>,
) -> (Response<ResponseBody>, ForwardResult) {
    let started_at = Instant::now();
    let in_flight = InFlight::new(traffic);
    let (head, mut body) = req.into_parts();
    let facts = (traffic.shared.dialect.parse_request_head)(&head.headers);
    let attempt_id = facts.as_ref().ok().and_then(|f| f.attempt_id.clone());
    let guard = DisconnectGuard::new(traffic, attempt_id.clone().unwrap_or_default());
    let mut attempts = AttemptHistory::of_forwarded(envelope.as_ref());
    let asked = envelope.as_ref().and_then(|e| e.endpoint.clone());
    let mut error = None;
    let prepared = tokio::select! {
        biased;
        job = prepare(traffic, facts, head, &mut body, started_at, envelope) => job,
        () = traffic.wait_for_interruption() => Err(stop::refusal()),
    };
    let resp = match prepared {
        Err(e) => {
            let mut resp = refuse(traffic, attempt_id.as_deref(), "", started_at, &e);
            if matches!(e.code, Code::TooLarge | Code::TooSlow | Code::NoBodyMemory) {
                let close = http::HeaderValue::from_static("close");
                resp.headers_mut().insert(http::header::CONNECTION, close);
            }
            request_body::discard(body);
            error = Some(e);
            resp
        }
        Ok(job) => {
            let job = Rc::new(job);
            if !job.is_forwarded {
                record_demand(traffic, &job);
            }
            let result = tokio::select! {
                biased;
                result = run_attempts(traffic, &job, &mut attempts) => result,
                // Dropping the attempt in progress closes its connection, which stops its endpoint's work.
                () = traffic.wait_for_interruption() => {
                    Err(stop::interruption(attempts.executed_so_far()))
                }
            };
            result.unwrap_or_else(|e| {
                let route = job.admitted.route.name.as_str();
                let resp = refuse(traffic, attempt_id.as_deref(), route, started_at, &e);
                error = Some(e);
                resp
            })
        }
    };
    guard.disarm();
    let endpoint = attempts.tried.last().filter(|_| error.is_none()).cloned();
    let decline = asked.filter(|_| error.is_some()).and_then(|id| holder_decline(traffic, &id));
    let result = ForwardResult { attempts: attempts.sent_count, endpoint, error, decline };
    let mut resp = resp.map(|body| body.on_end(move || drop(in_flight)));
    if traffic.shared.is_leaving() {
        let close = http::HeaderValue::from_static("close");
        resp.headers_mut().insert(http::header::CONNECTION, close);
    }
    (resp, result)
}

/// Returns why another holder may send a request to an endpoint that this host was asked for and did not send it to.
fn holder_decline(traffic: &Traffic, endpoint: &EndpointId) -> Option<HolderDecline> {
    let now = traffic.shared.now();
    let view = traffic.shared.view.load();
    let pools = view.services.values().flat_map(|s| [&s.stable_pool, &s.canary_pool]);
    let mut endpoints = pools.flat_map(|pool| pool.endpoints());
    let state = endpoints.find(|e| e.id == *endpoint).map(|e| &e.state);
    let is_reached = |state: &&Arc<EndpointState>| {
        state.guard().access() != EndpointAccess::Forwarded && !state.is_ejected(now)
    };
    match state.filter(is_reached) {
        None => Some(HolderDecline::Unreached),
        Some(state) if state.guard().is_share_in_use(now) => Some(HolderDecline::ShareInUse),
        Some(_) => None,
    }
}

/// Logs that the caller disconnected before the head of its response was ready. The future of the request is
/// dropped in that case, which also drops this guard and closes the connection to the endpoint.
struct DisconnectGuard {
    traffic: Rc<Traffic>,
    id: String,
    is_armed: bool,
}

impl DisconnectGuard {
    fn new(traffic: &Rc<Traffic>, id: String) -> DisconnectGuard {
        DisconnectGuard { traffic: traffic.clone(), id, is_armed: true }
    }

    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.is_armed {
            self.traffic.shared.journal.log(Event::CallerLeft, &[("request", &self.id)]);
        }
    }
}

/// Logs a failed request with the reason and builds its error response.
fn refuse(
    traffic: &Traffic,
    attempt_id: Option<&str>,
    route: &str,
    started_at: Instant,
    e: &Error,
) -> Response<ResponseBody> {
    let shared = &traffic.shared;
    let executed = format!("{:?}", e.executed);
    let elapsed_ms = started_at.elapsed().as_millis();
    let retry_after_ms = e.retry_after_ms.unwrap_or(0);
    shared.journal.log(
        Event::RequestRefused,
        &[
            ("request", &attempt_id.unwrap_or("-")),
            ("route", &route),
            ("code", &e.code),
            ("why", &e.message),
            ("ran", &executed),
            ("retry_after_ms", &retry_after_ms),
            ("ms", &elapsed_ms),
        ],
    );
    shared.metrics.record_request(route, &e.code.to_string());
    let resp = (shared.dialect.build_error_response)(e, attempt_id);
    resp.map(ResponseBody::from_bytes)
}

/// Makes attempts until a response can be forwarded to the caller or no further attempt is possible.
async fn run_attempts(
    traffic: &Rc<Traffic>,
    job: &Rc<Job>,
    attempts: &mut AttemptHistory,
) -> Result<Response<ResponseBody>> {
    let route = &job.admitted.route;
    let mut model = job.resumed_model.clone().or_else(|| cascade::first_model(route).cloned());
    load_control::admit(traffic, job, attempts, model.as_ref())?;
    let mut fallback: Option<Response<ResponseBody>> = None;
    loop {
        let attempt_response = match make_attempt(traffic, job, attempts, model.as_ref()).await {
            Ok(attempt_response) => attempt_response,
            Err(AttemptError::Final(e)) => {
                return fallback.ok_or_else(|| load_control::turn_away(traffic, job, attempts, e))
            }
            Err(AttemptError::Retry) => continue,
        };
        let AttemptResponse { response, chosen, pending_work, started_at } = attempt_response;
        let status = response.head.status;
        if status.is_success() {
            let larger = match traffic.check_stop_time(job) {
                Ok(()) => {
                    let model = model.as_ref();
                    model_for_second_opinion(traffic, job, attempts, model, &chosen, &response)
                        .await
                }
                // A larger model would not answer in time, and the present response would be lost.
                Err(_) => None,
            };
            if let Some(larger) = larger {
                // The attempt on the larger model has already been charged to the retry budget, and its
                // endpoint was reached, before the present response is dropped.
                attempts.is_next_charged = true;
                attempts.record_executed(Executed::Yes);
                chosen.state.record_outcome(traffic.shared.now(), true);
                let observation = AttemptObservation::from_elapsed(
                    AttemptOutcome::Superseded,
                    started_at.elapsed(),
                );
                report_attempt(traffic, job, &chosen, model.as_ref(), &observation);
                model = Some(larger);
                // Dropping the response closes its connection, which stops the endpoint's work.
                continue;
            }
            let attempt_response = AttemptResponse { response, chosen, pending_work, started_at };
            match forward_response(traffic, job, attempts, model.as_ref(), attempt_response).await {
                Ok(resp) => return Ok(resp),
                Err(e) => {
                    attempts.record_executed(Executed::Yes);
                    if !can_attempt_again(job, attempts) {
                        return Err(final_error(job, attempts, e));
                    }
                    continue;
                }
            }
        }
        attempts.record_executed(Executed::Yes);
        let is_failure = status.is_server_error();
        let outcome = if is_failure { AttemptOutcome::Failed } else { AttemptOutcome::Complete };
        let observation = AttemptObservation::from_elapsed(outcome, started_at.elapsed());
        report_attempt(traffic, job, &chosen, model.as_ref(), &observation);
        chosen.state.record_outcome(traffic.shared.now(), !is_failure);
        let resp = collect_response(traffic, job, response, &chosen, model.as_ref()).await;
        drop(pending_work);
        if !is_failure || !can_attempt_again(job, attempts) {
            return resp;
        }
        fallback = resp.ok().or(fallback);
    }
}

/// Outcome of an attempt that returned no response.
enum AttemptError {
    /// No further attempt is possible.
    Final(Error),
    /// Another endpoint can be tried.
    Retry,
}

/// Response of an endpoint, with the state of the attempt that returned it.
struct AttemptResponse {
    response: EndpointResponse,
    chosen: ChosenEndpoint,
    pending_work: PendingWork,
    started_at: Instant,
}

/// Chooses an endpoint and sends the request to it. Returns when the head of the response has arrived.
async fn make_attempt(
    traffic: &Rc<Traffic>,
    job: &Job,
    attempts: &mut AttemptHistory,
    model: Option<&ModelId>,
) -> std::result::Result<AttemptResponse, AttemptError> {
    let check_stop_time = |attempts: &AttemptHistory| {
        let checked = traffic.check_stop_time(job);
        checked.map_err(|e| AttemptError::Final(final_error(job, attempts, e)))
    };
    check_stop_time(attempts)?;
    wait_for_crash_reports(traffic, job).await;
    traffic.paths.wait_for_decision(&job.service, job.deadline).await;
    load_control::wait_for_place(traffic, job, attempts).await;
    let chosen = match choose_or_wait(traffic, job, attempts, model).await {
        Ok(chosen) => chosen,
        Err(e) => return Err(AttemptError::Final(final_error(job, attempts, e))),
    };
    let chosen = probe_candidates(traffic, job, attempts, model, chosen).await;
    check_stop_time(attempts)?;
    record_prefix_use(traffic, job, model, &chosen);
    if let Err(e) = check_before_send(traffic, job, attempts, &chosen) {
        return Err(AttemptError::Final(final_error(job, attempts, e)));
    }
    let weight = model_weight(traffic, job, model);
    let ahead = chosen.state.load(traffic.shared.now());
    let attempt_work = attempt_work(traffic, job, &chosen, weight, ahead);
    if chosen.forwarded_to.is_none() {
        record_length(traffic, job, model, weight, attempt_work);
    }
    let mut pending_work = PendingWork::new(traffic, &chosen, job, weight);
    let work_ahead = chosen.state.load(traffic.shared.now());
    let present_slowdown = chosen.state.present_slowdown(traffic.shared.now());
    let started_at = Instant::now();
    match send(traffic, job, attempts, &chosen, &pending_work, model, None).await {
        Ok(response) => {
            let is_error = response.head.status.is_server_error();
            load_control::record_response_start(
                traffic,
                job,
                &chosen,
                is_error,
                started_at.elapsed(),
            );
            // An error that is returned at once says nothing about how fast the endpoint works.
            let teaches_times = response.head.status.is_success() && chosen.forwarded_to.is_none();
            if teaches_times && traffic.has_load_control(&job.service) {
                let took = started_at.elapsed();
                record_start(traffic, job, &chosen, model, attempt_work, present_slowdown, took);
            }
            if job.is_generation() && chosen.forwarded_to.is_none() {
                let elapsed_us = started_at.elapsed().as_micros() as f64;
                traffic.latency_estimator.borrow_mut().record_response_start(
                    &job.service,
                    work_ahead,
                    elapsed_us,
                );
            }
            pending_work.record_response_start();
            record_reported_load(traffic, job, &chosen, &response);
            Ok(AttemptResponse { response, chosen, pending_work, started_at })
        }
        Err(e) => {
            if e.disconnect_cause.is_some() || e.executed == Executed::No {
                pending_work.record_closed();
            }
            record_failed_attempt(traffic, job, &chosen, model, &e, started_at.elapsed());
            detect_crash(traffic, job, &chosen, &e, started_at).await;
            attempts.record_executed(e.executed);
            let is_final = chosen.forwarded_to.is_some()
                && e.executed == Executed::No
                && e.code != Code::EndpointUnreachable
                && !may_forward_elsewhere(&e);
            let may_ask_another = load_control::may_ask_another(traffic, job, attempts, &e);
            match !is_final && may_ask_another && can_attempt_again(job, attempts) {
                true => Err(AttemptError::Retry),
                false => Err(AttemptError::Final(final_error(job, attempts, e))),
            }
        }
    }
}

/// Reports whether another attempt is allowed after a failed one, by attempt count, time and repeatability.
fn can_attempt_again(job: &Job, attempts: &AttemptHistory) -> bool {
    let route = &job.admitted.route;
    let failed = FailedAttempt {
        ran: attempts.executed.unwrap_or(Executed::No),
        is_repeatable: route.work.is_repeatable(),
        has_partial_response: false,
    };
    attempts.sent_count < route.max_attempts
        && attempts.forward_count < MAX_HOSTS_PER_REQUEST
        && !job.is_expired()
        && may_retry(failed)
}

/// Builds the final error of a request, which states whether the request may have been executed.
fn final_error(job: &Job, attempts: &AttemptHistory, last_error: Error) -> Error {
    let executed = attempts.executed.unwrap_or(Executed::No);
    if job.is_expired() {
        return Error::new(Code::Deadline, last_error.message).with_executed(executed);
    }
    match executed {
        // A retry is useless whether or not the request was executed, so the error is returned without
        // a new `Retry-After`.
        _ if last_error.code == Code::CrashesEndpoints => last_error.with_executed(executed),
        // Another host refused the request for a reason of its own, such as its configuration.
        Executed::No if last_error.code.status() < 500 => last_error,
        Executed::No if last_error.retry_after_ms.is_some() => {
            last_error.with_executed(Executed::No)
        }
        Executed::No if last_error.code.status() == 503 => {
            last_error.with_executed(Executed::No).with_retry_after(RETRY_OVERLOADED_MS)
        }
        Executed::No => overloaded_error(&last_error.message),
        _ => Error::new(Code::EndpointFailed, last_error.message).with_executed(executed),
    }
}

/// Forwards a successful response to the caller, collected or as a stream. If the endpoint fails while its
/// response is read, the failure is recorded against it.
async fn forward_response(
    traffic: &Rc<Traffic>,
    job: &Rc<Job>,
    attempts: &mut AttemptHistory,
    model: Option<&ModelId>,
    attempt_response: AttemptResponse,
) -> Result<Response<ResponseBody>> {
    let AttemptResponse { response, chosen, pending_work, started_at } = attempt_response;
    if job.admitted.route.work.is_stream() {
        let model = model.cloned();
        let stream = relay::StreamRelay::new(
            traffic,
            job,
            model,
            response,
            chosen,
            pending_work,
            started_at,
        );
        return stream.start(attempts).await;
    }
    let resp = match collect_response(traffic, job, response, &chosen, model).await {
        Ok(resp) => resp,
        Err(e) => {
            record_failed_attempt(traffic, job, &chosen, model, &e, started_at.elapsed());
            detect_crash(traffic, job, &chosen, &e, started_at).await;
            return Err(e);
        }
    };
    traffic.record_response_time(job);
    chosen.state.record_outcome(traffic.shared.now(), true);
    let observation =
        AttemptObservation::from_elapsed(AttemptOutcome::Complete, started_at.elapsed());
    report_attempt(traffic, job, &chosen, model, &observation);
    drop(pending_work);
    Ok(resp)
}

/// Reads a whole response and builds the caller's response from it. Fails if the body breaks off or is late.
async fn collect_response(
    traffic: &Traffic,
    job: &Job,
    response: EndpointResponse,
    chosen: &ChosenEndpoint,
    model: Option<&ModelId>,
) -> Result<Response<ResponseBody>> {
    let proves_completion = response.proves_completion();
    let ends_with_connection = response.ends_with_connection();
    let EndpointResponse { head, facts, body, lease } = response;
    let collected = traffic.response_memory.collect(body);
    let collected =
        tokio::time::timeout_at(job.deadline.into(), collected).await.map_err(|_| {
            Error::new(Code::Deadline, "the response was not complete before the deadline")
        })??;
    let (pool, name) = (traffic.pool_of(chosen), chosen.peer_name());
    if ends_with_connection && has_endpoint_ended(pool, name, &chosen.address).await {
        return Err(ended_endpoint_error());
    }
    pool.release(name, lease, facts.idle_time);
    if proves_completion {
        traffic.shared.suspects.record_completion(traffic.shared.now(), &job.fingerprints);
    }
    record_response(traffic, job, chosen, model, head.status.as_u16());
    let is_held = collected.len > MAX_UNCOUNTED_RESPONSE || traffic.has_load_control(&job.service);
    let body = match is_held {
        true => traffic.backlog.whole_response(job, collected.segments),
        false => ResponseBody::from_bytes(collected.segments.concat().into()),
    };
    let mut resp = Response::new(body);
    *resp.status_mut() = head.status;
    *resp.headers_mut() = (traffic.shared.dialect.build_caller_head)(head.headers);
    Ok(resp)
}
