//! What is logged, counted and told of attempts and answers.

use std::time::Duration;

use tidetrack_core::codes::Code;
use tidetrack_core::disconnect::DisconnectCause;
use tidetrack_core::errors::Error;
use tidetrack_core::events::Event;
use tidetrack_core::ids::ModelId;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::judge::{AttemptOutcome, ObservedResponse};
use tidetrack_core::traffic::reachability::{FailedConnect, FailureCause};
use tidetrack_core::units::Millis;

use crate::job::{Chosen, Job, Traffic};
use crate::pool::CONNECT_WITHIN;

/// Logs a failed attempt and lets it count against the endpoint.
pub fn failed_attempt(
    traffic: &Traffic,
    job: &Job,
    chosen: &Chosen,
    model: Option<&ModelId>,
    e: &Error,
    took: Duration,
) {
    let shared = &traffic.shared;
    let ran = format!("{:?}", e.executed);
    shared.journal.log(
        Event::AttemptFailed,
        &[
            ("request", &job.id),
            ("endpoint", &chosen.id),
            ("code", &e.code),
            ("why", &e.message),
            ("broke", &e.disconnect_cause.map_or("-", DisconnectCause::as_str)),
            ("ran", &ran),
            ("ms", &took.as_millis()),
        ],
    );
    shared.metrics.record_attempt("failed");
    if let Some(broke) = e.disconnect_cause {
        shared.metrics.record_disconnect(broke);
    }
    match e.code {
        // A refusal for want of room says nothing about the endpoint's health.
        Code::EndpointRefused => {}
        // Neither does slowness of an endpoint that serves others, but it counts as a long time.
        Code::Deadline => {
            let since = Millis(shared.now().0.saturating_sub(took.as_millis() as u64));
            if chosen.live.was_active_since(since) {
                let seen = Seen::ended(AttemptOutcome::TimedOut, took);
                observe(traffic, job, chosen, model, &seen);
            } else {
                chosen.live.record_silence(shared.now());
            }
        }
        Code::EndpointUnreachable if e.disconnect_cause == Some(DisconnectCause::TimedOut) => {
            gave_no_sign(traffic, chosen, took);
        }
        Code::EndpointUnreachable | Code::EndpointMoved => {
            chosen.live.record_unreachable(shared.now());
            traffic.pool.forget(chosen.id.as_str());
        }
        // A break is the endpoint's end or the network's doing, and says nothing of its version.
        _ => {
            chosen.live.record_outcome(shared.now(), false);
            traffic.pool.forget(chosen.id.as_str());
        }
    }
}

/// Lets a connect that gave no sign of life count against its endpoint, or against the way.
fn gave_no_sign(traffic: &Traffic, chosen: &Chosen, took: Duration) {
    // One that ended with its request's time says nothing.
    if took < CONNECT_WITHIN {
        return;
    }
    let now = traffic.shared.now();
    let ago = |time: Duration| Millis(now.0.saturating_sub(time.as_millis() as u64));
    let prompt_at = traffic.pool.prompt_at().map(|at| ago(at.elapsed()));
    let connect = FailedConnect {
        endpoint: chosen.id.clone(),
        failure_domain: chosen.failure_domain.clone(),
        live: chosen.live.clone(),
        began: ago(took),
        ended: now,
    };
    let blame = traffic.reach.borrow_mut().record_failed_connect(connect, prompt_at);
    traffic.shared.metrics.record_silent_connect(blame.as_str());
    if blame == FailureCause::Endpoint {
        traffic.pool.forget(chosen.id.as_str());
    }
}

/// Logs and counts a request whose answer is passed on.
pub fn answered_line(
    traffic: &Traffic,
    job: &Job,
    chosen: &Chosen,
    model: Option<&ModelId>,
    status: u16,
) {
    let shared = &traffic.shared;
    let took = job.began.elapsed();
    let route = job.admitted.route.name.as_str();
    let fields: [(&'static str, &dyn std::fmt::Display); 6] = [
        ("request", &job.id),
        ("route", &route),
        ("endpoint", &chosen.id),
        ("model", &model.map_or("-", ModelId::as_str)),
        ("status", &status),
        ("ms", &took.as_millis()),
    ];
    match status < 500 {
        true => shared.journal.log_routine(Event::RequestDone, &fields),
        false => shared.journal.log(Event::RequestDone, &fields),
    }
    shared.metrics.record_request(route, &status.to_string());
    shared.metrics.record_objective(route, status < 400 && took <= job.objective());
    shared.metrics.record_first_byte(route, took.as_secs_f64() * 1_000.0);
    shared.metrics.record_attempt("answered");
}

/// What was seen of an attempt, as far as it came.
pub struct Seen {
    /// How it ended.
    pub end: AttemptOutcome,
    /// Time to the answer, of a stream to its first event.
    pub head: Option<Duration>,
    /// Mean milliseconds between the events of a stream.
    pub gap_ms: Option<f64>,
    /// Whether its pace was told before; it is only logged then.
    pub is_told: bool,
}

impl Seen {
    /// Makes what was seen of an attempt that has only a time.
    pub fn ended(end: AttemptOutcome, took: Duration) -> Seen {
        Seen { end, head: Some(took), gap_ms: None, is_told: false }
    }
}

/// Tells the control thread what was seen of an attempt, and logs it if a version under roll-out had it.
pub fn observe(
    traffic: &Traffic,
    job: &Job,
    chosen: &Chosen,
    model: Option<&ModelId>,
    seen: &Seen,
) {
    let shared = &traffic.shared;
    let load = chosen.live.load(shared.now());
    let head_ms = seen.head.map(|d| d.as_secs_f64() * 1_000.0);
    let has_failed_before =
        job.has_failed.replace(job.has_failed.get() || seen.end == AttemptOutcome::Failed);
    if let Some(version) = &chosen.new_version {
        shared.metrics.record_version_attempt(job.service.as_str(), seen.end.as_str());
        shared.journal.log_routine(
            Event::VersionSeen,
            &[
                ("request", &job.id),
                ("route", &job.admitted.route.name),
                ("endpoint", &chosen.id),
                ("version", version),
                ("model", &model.map_or("-", ModelId::as_str)),
                ("end", &seen.end.as_str()),
                ("has_failed", &has_failed_before),
                ("head_ms", &format_args!("{:.0}", head_ms.unwrap_or(-1.0))),
                ("gap_ms", &format_args!("{:.1}", seen.gap_ms.unwrap_or(-1.0))),
                ("load", &format_args!("{load:.0}")),
                ("loaded", &chosen.is_loaded),
            ],
        );
    }
    if seen.is_told {
        return;
    }
    shared.send_input(Input::ResponseObserved(ObservedResponse {
        service: job.service.clone(),
        canary_version: chosen.new_version.clone(),
        endpoint: chosen.id.clone(),
        is_load_concentrated: chosen.is_loaded,
        route: job.admitted.route.name.clone(),
        model: model.cloned(),
        outcome: seen.end,
        has_failed_before,
        is_stream: job.admitted.route.work.is_stream(),
        load,
        head_ms,
        gap_ms: seen.gap_ms,
    }));
}
