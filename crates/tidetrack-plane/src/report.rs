//! Logs, counts and reports the results of attempts and requests.

use std::time::Duration;

use tidetrack_core::codes::Code;
use tidetrack_core::disconnect::DisconnectCause;
use tidetrack_core::errors::Error;
use tidetrack_core::events::Event;
use tidetrack_core::ids::ModelId;
use tidetrack_core::placement::SharedAddress;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::judge::{AttemptOutcome, ObservedResponse};
use tidetrack_core::traffic::reachability::{FailedConnect, FailureCause};
use tidetrack_core::units::Millis;

use crate::job::{ChosenEndpoint, Job, Traffic};
use crate::pool::CONNECT_TIMEOUT;

/// Logs a failed attempt and counts it against its endpoint.
pub fn record_failed_attempt(
    traffic: &Traffic,
    job: &Job,
    chosen: &ChosenEndpoint,
    model: Option<&ModelId>,
    e: &Error,
    elapsed: Duration,
) {
    let shared = &traffic.shared;
    let executed = format!("{:?}", e.executed);
    shared.journal.log(
        Event::AttemptFailed,
        &[
            ("request", &job.id),
            ("endpoint", &chosen.id),
            ("code", &e.code),
            ("why", &e.message),
            ("broke", &e.disconnect_cause.map_or("-", DisconnectCause::as_str)),
            ("ran", &executed),
            ("ms", &elapsed.as_millis()),
        ],
    );
    shared.metrics.record_attempt("failed");
    // The other host counts the failures of its endpoints.
    if chosen.forwarded_to.is_some() {
        return;
    }
    if e.disconnect_cause.is_some() || e.code == Code::EndpointUnreachable {
        let is_unreachable = e.code == Code::EndpointUnreachable;
        let guard = chosen.state.guard();
        guard.with_window(|window, _| window.record_failure(shared.now(), is_unreachable));
    }
    if let Some(cause) = e.disconnect_cause {
        shared.metrics.record_disconnect(cause);
    }
    match e.code {
        // A refusal for lack of capacity says nothing about the endpoint's health.
        Code::EndpointRefused => {}
        // Neither does a slow response of an endpoint that serves other requests, but it is
        // reported as a long response time.
        Code::Deadline => {
            let since = Millis(shared.now().0.saturating_sub(elapsed.as_millis() as u64));
            if chosen.state.was_active_since(since) {
                let observation =
                    AttemptObservation::from_elapsed(AttemptOutcome::TimedOut, elapsed);
                report_attempt(traffic, job, chosen, model, &observation);
            } else {
                chosen.state.record_silence(shared.now());
                traffic.paths.record_silence(traffic, &job.service, chosen);
                shared.send_input(Input::EndpointLost(chosen.id.clone()));
            }
        }
        Code::EndpointUnreachable if e.disconnect_cause == Some(DisconnectCause::TimedOut) => {
            record_connect_timeout(traffic, job, chosen, elapsed);
        }
        Code::EndpointUnreachable => {
            chosen.state.record_withheld_failure(shared.now(), true);
            traffic.paths.record_failure(traffic, &job.service, chosen, true);
        }
        Code::EndpointMoved => {
            record_moved(traffic, job, chosen, model);
            shared.send_input(Input::EndpointLost(chosen.id.clone()));
            traffic.pool.close_idle(chosen.id.as_str());
        }
        // The endpoint ended or the network failed; neither says anything about its version.
        _ if e.disconnect_cause.is_some() => {
            chosen.state.record_withheld_failure(shared.now(), false);
            traffic.paths.record_failure(traffic, &job.service, chosen, false);
            traffic.pool.close_idle(chosen.id.as_str());
        }
        _ => {
            chosen.state.record_outcome(shared.now(), false);
            shared.send_input(Input::EndpointLost(chosen.id.clone()));
            traffic.pool.close_idle(chosen.id.as_str());
        }
    }
}

/// Records that another endpoint has the address of the chosen one. If it has served requests, all other entries at
/// the address are of ended endpoints too, and no request has to find that out.
fn record_moved(traffic: &Traffic, job: &Job, chosen: &ChosenEndpoint, model: Option<&ModelId>) {
    let now = traffic.shared.now();
    let view = traffic.shared.view.load();
    let pools = view.services.get(&job.service).map(|s| [&s.stable_pool, &s.canary_pool]);
    let endpoints = pools.iter().flatten().flat_map(|pool| pool.endpoints());
    let shared_address = SharedAddress::judge(now, endpoints, &chosen.id, &chosen.address);
    // An endpoint without the model refuses in the same way.
    if model.is_some() && !shared_address.is_replaced {
        return chosen.state.record_unreachable(now);
    }
    chosen.state.record_moved(now);
    chosen.state.report_failure();
    shared_address.former.iter().for_each(|former| former.state.record_moved(now));
}

/// Records a connect that timed out without any response, either against its endpoint or against
/// the network path.
fn record_connect_timeout(
    traffic: &Traffic,
    job: &Job,
    chosen: &ChosenEndpoint,
    elapsed: Duration,
) {
    // The connect was cut short by the request's own deadline, so it says nothing.
    if elapsed < CONNECT_TIMEOUT {
        return;
    }
    let now = traffic.shared.now();
    let millis_before_now = |time: Duration| Millis(now.0.saturating_sub(time.as_millis() as u64));
    let last_prompt_at = traffic.pool.last_prompt_at().map(|at| millis_before_now(at.elapsed()));
    let connect = FailedConnect {
        endpoint: chosen.id.clone(),
        failure_domain: chosen.failure_domain.clone(),
        live: chosen.state.clone(),
        began: millis_before_now(elapsed),
        ended: now,
    };
    let cause = traffic.reachability.borrow_mut().record_failed_connect(connect, last_prompt_at);
    traffic.shared.metrics.record_silent_connect(cause.as_str());
    match cause {
        FailureCause::Endpoint => {
            traffic.paths.record_failure(traffic, &job.service, chosen, true);
        }
        FailureCause::NetworkPath => {
            traffic.paths.record_silence(traffic, &job.service, chosen);
        }
    }
}

/// Logs and counts a request whose response is forwarded.
pub fn record_response(
    traffic: &Traffic,
    job: &Job,
    chosen: &ChosenEndpoint,
    model: Option<&ModelId>,
    status: u16,
) {
    let shared = &traffic.shared;
    let elapsed = job.started_at.elapsed();
    let route = job.admitted.route.name.as_str();
    let fields: [(&'static str, &dyn std::fmt::Display); 6] = [
        ("request", &job.id),
        ("route", &route),
        ("endpoint", &chosen.id),
        ("model", &model.map_or("-", ModelId::as_str)),
        ("status", &status),
        ("ms", &elapsed.as_millis()),
    ];
    match status < 500 {
        true => shared.journal.log_routine(Event::RequestDone, &fields),
        false => shared.journal.log(Event::RequestDone, &fields),
    }
    shared.metrics.record_request(route, &status.to_string());
    shared.metrics.record_objective(route, status < 400 && elapsed <= job.objective());
    shared.metrics.record_first_byte(route, elapsed.as_secs_f64() * 1_000.0);
    shared.metrics.record_attempt("answered");
}

/// What was observed of an attempt.
pub struct AttemptObservation {
    /// How the attempt ended, or that it is in progress.
    pub outcome: AttemptOutcome,
    /// Time to the response, or to the first event of a stream; `None` if neither was received.
    pub response_time: Option<Duration>,
    /// Mean time in milliseconds between the events of a stream; `None` if it was not measured.
    pub mean_gap_ms: Option<f64>,
    /// Whether the pace was already reported; the observation is then only logged.
    pub is_pace_reported: bool,
}

impl AttemptObservation {
    /// Creates an observation of an attempt of which only the elapsed time is known.
    pub fn from_elapsed(outcome: AttemptOutcome, elapsed: Duration) -> AttemptObservation {
        AttemptObservation {
            outcome,
            response_time: Some(elapsed),
            mean_gap_ms: None,
            is_pace_reported: false,
        }
    }
}

/// Reports an observation to the control thread, and logs it if the endpoint runs a version under
/// roll-out.
pub fn report_attempt(
    traffic: &Traffic,
    job: &Job,
    chosen: &ChosenEndpoint,
    model: Option<&ModelId>,
    observation: &AttemptObservation,
) {
    let shared = &traffic.shared;
    let load = chosen.state.load(shared.now());
    let head_ms = observation.response_time.map(|d| d.as_secs_f64() * 1_000.0);
    let has_failed_before = job
        .has_failed
        .replace(job.has_failed.get() || observation.outcome == AttemptOutcome::Failed);
    if let Some(version) = &chosen.canary_version {
        shared.metrics.record_version_attempt(job.service.as_str(), observation.outcome.as_str());
        shared.journal.log_routine(
            Event::VersionSeen,
            &[
                ("request", &job.id),
                ("route", &job.admitted.route.name),
                ("endpoint", &chosen.id),
                ("version", version),
                ("model", &model.map_or("-", ModelId::as_str)),
                ("end", &observation.outcome.as_str()),
                ("has_failed", &has_failed_before),
                ("head_ms", &format_args!("{:.0}", head_ms.unwrap_or(-1.0))),
                ("gap_ms", &format_args!("{:.1}", observation.mean_gap_ms.unwrap_or(-1.0))),
                ("load", &format_args!("{load:.0}")),
                ("loaded", &chosen.is_loaded),
            ],
        );
    }
    if observation.is_pace_reported || chosen.forwarded_to.is_some() {
        return;
    }
    shared.send_input(Input::ResponseObserved(ObservedResponse {
        service: job.service.clone(),
        canary_version: chosen.canary_version.clone(),
        endpoint: chosen.id.clone(),
        is_load_concentrated: chosen.is_loaded,
        route: job.admitted.route.name.clone(),
        model: model.cloned(),
        outcome: observation.outcome,
        has_failed_before,
        is_stream: job.admitted.route.work.is_stream(),
        load,
        head_ms,
        gap_ms: observation.mean_gap_ms,
    }));
}
