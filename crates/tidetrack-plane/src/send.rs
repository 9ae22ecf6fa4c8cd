//! Sending a request to a chosen endpoint, and waiting no longer than is sensible.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::{ModelId, VersionName};
use tidetrack_core::traffic::control::Input;
use tidetrack_core::units::{Millis, Tokens};

use crate::attempt::{self, Answered, Attempt, Echo};
use crate::choose::take_next_send;
use crate::dialect::{EndpointRequestInfo, ResponseFacts};
use crate::job::{Chosen, Held, Job, Traffic, Tries};
use crate::patience::wait_running;
use crate::pool::most_rest;

/// Work, in answer tokens, that one request counts as which an endpoint tells as running. An engine reads
/// prompts one after another, but makes the tokens of all that run together, so what runs adds little.
const RUNNING_WORK: u64 = 40;

/// Work, in answer tokens, that one request counts as which an endpoint tells as waiting.
const WAITING_WORK: u64 = 400;

/// Multiple of the objective after which an attempt is given up at an endpoint from which nothing came
/// meanwhile. An endpoint that is gone is noticed by its connection, 1.2 s after a request that it does
/// not acknowledge was first repeated and 2 s after its last sign of life; one that is only busy would
/// have its work thrown away, and a host of a large fleet hears little from each endpoint.
const SILENT_TIMES: f64 = 1.6;

/// Multiple of the objective after which an attempt is given up although its endpoint still serves
/// other requests.
const SLOW_TIMES: f64 = 3.0;

/// Least patience with an attempt, for objectives shorter than an endpoint's usual time.
const LEAST_PATIENCE: Duration = Duration::from_millis(150);

/// Sends a request to a chosen endpoint; `goes_on_after` is the last event of a run that it goes on.
pub async fn send(
    traffic: &Traffic,
    job: &Job,
    tries: &mut Tries,
    chosen: &Chosen,
    model: Option<&ModelId>,
    goes_on_after: Option<u64>,
) -> Result<Answered> {
    let shared = &traffic.shared;
    chosen.live.record_send(shared.now());
    tries.tried.push(chosen.id.clone());
    tries.sent += 1;
    tries.sent_at = shared.now();
    tries.is_paid = false;
    let load = chosen.live.load(shared.now()) as u64;
    let reported_at = chosen.live.reported_at();
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
            ("attempt", &tries.sent),
            ("endpoint", &chosen.id),
            ("model", &model.map_or("-", ModelId::as_str)),
            ("new_version", &chosen.new_version.as_ref().map_or("-", VersionName::as_str)),
            ("shared", &shared_tokens),
            ("prefix", &chosen.prefix),
            ("load", &load),
            ("load_age_ms", &load_age),
        ],
    );
    // A run that goes on, or in a silent endpoint's place, gets a new connection: where one comes up, the
    // way to the endpoint is open, and its answer will be here soon after it begins. A kept one proves
    // nothing, and the silent endpoint would be let go for it.
    let most_rest = match goes_on_after.is_some() || tries.held.is_some() {
        true => Duration::ZERO,
        false => most_rest(job.admitted.route.work.is_repeatable()),
    };
    let attempt = Attempt {
        pool: &traffic.pool,
        read_answer: shared.dialect.parse_response_head,
        seen: &|facts| note_limit(traffic, chosen, facts),
        endpoint: chosen.id.as_str(),
        address: &chosen.address,
        attempt_id: job.facts.attempt_id.as_deref(),
        echo: Echo::Always,
        is_repeatable: job.admitted.route.work.is_repeatable(),
        most_rest,
        until: job.until,
    };
    let held = tries.held.clone();
    if let Some(held) = &held {
        held.connects();
    }
    let make = || {
        if let Some(held) = &held {
            held.writes();
        }
        make_request(traffic, job, chosen, model, goes_on_after)
    };
    let began = Instant::now();
    let sent = tokio::select! {
        biased;
        sent = attempt::send(&attempt, make) => sent,
        () = impatience(traffic, job, tries, chosen, model) => {
            Err(Error::new(Code::Deadline, "no answer in time").with_executed(Executed::Unknown))
        }
    };
    match &sent {
        Ok(_) => {
            chosen.live.record_activity(shared.now());
            traffic.pool.came(began);
        }
        Err(e) if e.code == Code::EndpointUnreachable => {
            tries.not_reached.push(chosen.id.clone());
            reached_nobody(traffic, job, tries);
        }
        Err(_) => {}
    }
    sent
}

/// Takes an attempt back that reached no endpoint: it counts neither as one of the request's nor in
/// the budget. Each search for an endpoint has as many of these for nothing as the request has attempts.
fn reached_nobody(traffic: &Traffic, job: &Job, tries: &mut Tries) {
    if tries.unreached >= job.admitted.route.max_attempts {
        return;
    }
    tries.unreached += 1;
    tries.sent -= 1;
    if tries.sent > 0 {
        traffic.with_budget(&job.service, |b| b.refund(tries.sent_at));
    }
}

/// Takes note that the attempt under way is dropped, as the endpoint in whose place it was made spoke
/// again. Its endpoint may be asked again; before its request was written it cost nothing.
pub fn drop_attempt(traffic: &Traffic, job: &Job, tries: &mut Tries, held: &Held) {
    tries.tried.pop();
    if held.is_connecting() {
        reached_nobody(traffic, job, tries);
    }
}

fn make_request(
    traffic: &Traffic,
    job: &Job,
    chosen: &Chosen,
    model: Option<&ModelId>,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let left = job.time_left();
    let handover = EndpointRequestInfo {
        time_left: Millis(left.as_millis() as u64),
        endpoint: &chosen.id,
        workspace: job.admitted.holder.as_ref().map(|h| &h.workspace),
        rank: job.is_engine().then(|| job.admitted.rank()),
        model,
        last_event: last_event.or(job.facts.last_event),
        prefix_cache_address: chosen.prefix.source(),
    };
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.uri.clone();
    *req.headers_mut() = (traffic.shared.dialect.build_endpoint_head)(&job.head, &handover);
    req
}

/// Waits until an attempt is to be given up for another one: soon if the endpoint has fallen silent
/// altogether, later if it is only slow. Without another one to be had it is waited for, as the answer
/// may still be made.
async fn impatience(
    traffic: &Traffic,
    job: &Job,
    tries: &mut Tries,
    chosen: &Chosen,
    model: Option<&ModelId>,
) {
    let route = &job.admitted.route;
    if tries.sent >= route.max_attempts || !route.work.is_repeatable() {
        return std::future::pending().await;
    }
    let silent = job.objective().mul_f64(SILENT_TIMES).max(LEAST_PATIENCE);
    let slow = job.objective().mul_f64(SLOW_TIMES).max(LEAST_PATIENCE * 2);
    loop {
        let since = traffic.shared.now();
        wait_running(silent).await;
        if chosen.live.was_active_since(since) {
            wait_running(slow.saturating_sub(silent)).await;
        }
        if take_next_send(traffic, job, tries, model) {
            return;
        }
    }
}

/// Takes the limit that an endpoint names with an answer, or that it names none. A refusal may come from a part of it
/// that knows of no limit, so one that names none says nothing.
fn note_limit(traffic: &Traffic, chosen: &Chosen, facts: &ResponseFacts) {
    if facts.has_not_executed && facts.limit.is_none() {
        return;
    }
    if chosen.live.update_reported_limit(facts.limit) {
        traffic.shared.send_input(Input::LimitReported(chosen.id.clone(), facts.limit));
    }
}

/// Takes the load that an endpoint tells with an answer.
pub fn note_load(traffic: &Traffic, chosen: &Chosen, answered: &Answered) {
    if let Some(load) = answered.facts.load {
        let work = load.running * RUNNING_WORK + load.waiting * WAITING_WORK;
        chosen.live.record_load_report(traffic.shared.now(), work, Tokens(0));
    }
}
