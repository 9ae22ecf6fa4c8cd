//! Load control of requests and attempts: collects the input of the decisions in
//! `tidetrack_core::traffic::overload`, and carries them out.
//!
//! It applies only to services for which `Traffic::has_load_control` is true. Services with endpoints
//! that fall over from refusing requests are left to their holders, which grant waits of their own.

use std::fmt::Display;
use std::time::{Duration, Instant};

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::{EndpointId, ModelId};
use tidetrack_core::placement::PoolEndpoint;
use tidetrack_core::traffic::budget::{AttemptBudget, FurtherAttempt};
use tidetrack_core::traffic::fair_share::{ShareEstimate, WorkspaceKey};
use tidetrack_core::traffic::overload::{
    abandons_busy_endpoint, remaining_us, Admission, Arrival, RejectReason,
};
use tidetrack_core::traffic::places::FreePlaces;
use tidetrack_core::traffic::service_times::StartEstimate;
use tidetrack_core::units::Millis;

use crate::attempt_timing::attempt_work;
use crate::choose::{model_weight, overloaded_error, plan_attempt_for};
use crate::dialect::{ReportedLoad, ResponseFacts};
use crate::job::{AttemptHistory, ChosenEndpoint, Job, Traffic};

/// Maximum time for which a request waits for a free place.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Maximum fraction of a request's remaining time for which it waits.
const MAX_TIME_LEFT_FRACTION: f64 = 0.25;

/// Reports whether load control decides about a request. The host that forwarded a request has
/// decided about it.
fn applies(traffic: &Traffic, job: &Job) -> bool {
    traffic.has_load_control(&job.service) && !job.is_forwarded && !is_brittle(traffic, job)
}

fn is_brittle(traffic: &Traffic, job: &Job) -> bool {
    let view = traffic.shared.view.load();
    let Some(service) = view.services.get(&job.service) else { return false };
    let is_guarded = |e: &PoolEndpoint| e.state.guard().is_active();
    let pools = [&service.stable_pool, &service.canary_pool];
    pools.iter().any(|pool| pool.endpoints().iter().any(is_guarded))
}

/// Decides whether a request is admitted. Returns the error for a request that is rejected.
pub fn admit(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    model: Option<&ModelId>,
) -> Result<()> {
    if !applies(traffic, job) {
        return Ok(());
    }
    let now = traffic.shared.now();
    let weight = model_weight(traffic, job, model);
    let work = job.work(weight, false) as f64;
    if let Some(holder) = &job.admitted.holder {
        let (workspace, rank) = (WorkspaceKey::from(&holder.workspace), job.admitted.rank());
        let fair_shares = &traffic.shared.fair_shares;
        fair_shares.with(|shares| shares.record(now, &job.service, workspace, rank, work));
    }
    let start = match refuses_when_full(traffic, job) {
        // Such an endpoint has no queue.
        true => None,
        false => estimate_start(traffic, job, attempts, model),
    };
    let arrival = describe(traffic, job, work, start);
    let admission = traffic.overload.borrow_mut().decide(now, &job.service, &arrival);
    match admission {
        Admission::Admit => {
            // Engines queue what they are sent, so a generation has found its place.
            if job.is_generation() && !refuses_when_full(traffic, job) {
                record_accepted(traffic, job, work);
            }
            Ok(())
        }
        Admission::Refuse { reason, retry_after } => {
            record_rejection(traffic, job, &arrival, reason.as_str(), retry_after);
            let text = match reason {
                RejectReason::Deadline => "no endpoint is expected to respond before the deadline",
                RejectReason::Contended => "the service is contended by requests as urgent or more",
                RejectReason::FairShare => "the workspace uses more than its share of the service",
            };
            Err(overloaded_error(text).with_retry_after(retry_after.0))
        }
    }
}

/// Returns the error of a request that found no place at any endpoint, with the time at which its
/// caller may retry. Leaves other errors as they are.
pub fn turn_away(traffic: &Traffic, job: &Job, attempts: &AttemptHistory, e: Error) -> Error {
    let is_refused = matches!(e.code, Code::Overloaded | Code::EndpointRefused)
        && e.executed == Executed::No
        && !attempts.tried.is_empty();
    if !is_refused || !applies(traffic, job) || !refuses_when_full(traffic, job) {
        return e;
    }
    let now = traffic.shared.now();
    let work = job.work(1.0, false) as f64;
    let arrival = describe(traffic, job, work, None);
    let retry_after = {
        let mut overload = traffic.overload.borrow_mut();
        overload.record_turned_away(now, &job.service, job.admitted.rank(), work);
        overload.retry_after(now, &job.service, &arrival)
    };
    record_rejection(traffic, job, &arrival, "full", retry_after);
    e.with_retry_after(retry_after.0)
}

fn describe(traffic: &Traffic, job: &Job, work: f64, start: Option<StartEstimate>) -> Arrival {
    Arrival {
        rank: job.admitted.rank(),
        work,
        time_left: Millis(job.time_left().as_millis() as u64),
        start,
        places: free_places(traffic, job),
        share: share(traffic, job),
        draws: [rand::random(), rand::random()],
    }
}

fn share(traffic: &Traffic, job: &Job) -> ShareEstimate {
    let Some(holder) = &job.admitted.holder else { return ShareEstimate::WITHIN };
    let now = traffic.shared.now();
    let admissible = traffic.overload.borrow().admissible(now, &job.service);
    if admissible >= 1.0 {
        return ShareEstimate::WITHIN;
    }
    let (key, rank) = (WorkspaceKey::from(&holder.workspace), job.admitted.rank());
    let fair_shares = &traffic.shared.fair_shares;
    fair_shares.with(|shares| shares.estimate(now, &job.service, key, rank, admissible))
}

fn record_rejection(
    traffic: &Traffic,
    job: &Job,
    arrival: &Arrival,
    reason: &'static str,
    retry_after: Millis,
) {
    const US_PER_MS: f64 = 1e3;
    let start = arrival.start;
    let start_ms = |f: fn(StartEstimate) -> f64| start.map_or(-1.0, |s| f(s) / US_PER_MS);
    let fields: [(&'static str, &dyn Display); 12] = [
        ("request", &job.id),
        ("service", &job.service),
        ("why", &reason),
        ("wait_ms", &format_args!("{:.0}", start_ms(|s| s.wait_us))),
        ("start_ms", &format_args!("{:.0}", start_ms(|s| s.start_us))),
        ("time_left_ms", &arrival.time_left.0),
        ("free", &arrival.places.free),
        ("slots", &arrival.places.slots),
        ("rank", &arrival.rank),
        ("work", &format_args!("{:.0}", arrival.work)),
        ("share", &format_args!("{:.2}", arrival.share.multiple)),
        ("retry_after_ms", &retry_after.0),
    ];
    traffic.shared.journal.log_routine(Event::LoadRejected, &fields);
    traffic.shared.metrics.record_load_rejection(job.service.as_str(), reason);
}

/// Reports whether a request's optional work is left out because its service is contended and its
/// workspace uses more than its fair share.
pub fn defers_optional_work(traffic: &Traffic, job: &Job) -> bool {
    applies(traffic, job) && share(traffic, job).is_above()
}

/// Takes a further attempt from the budget of a request's service: under contention, the less urgent
/// requests and second opinions leave a part of it to others.
pub fn try_acquire(traffic: &Traffic, job: &Job, reason: FurtherAttempt) -> bool {
    let now = traffic.shared.now();
    let rank_share = contended_budget_share(traffic, job);
    traffic.with_budget(&job.service, |budget: &mut AttemptBudget| match rank_share {
        None => budget.try_acquire(now, reason),
        Some(rank_share) => budget.try_acquire_contended(now, reason, rank_share),
    })
}

fn contended_budget_share(traffic: &Traffic, job: &Job) -> Option<f64> {
    if !traffic.has_load_control(&job.service) {
        return None;
    }
    let now = traffic.shared.now();
    let overload = traffic.overload.borrow();
    let is_contended = overload.is_contended(now, &job.service);
    is_contended.then(|| overload.budget_share(now, &job.service, job.admitted.rank()))
}

/// Estimates the start of the response at the endpoint that would be chosen now.
fn estimate_start(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    model: Option<&ModelId>,
) -> Option<StartEstimate> {
    let (chosen, planned) = plan_attempt_for(traffic, job, attempts, model, None)?;
    let weight = model_weight(traffic, job, model);
    let work = attempt_work(traffic, job, &chosen, weight, planned.work_ahead);
    Some(traffic.service_times.borrow().estimate_start(&job.service, model, work))
}

/// Calls `f` with the id of each endpoint of a request's service that may be sent to.
fn for_endpoints(traffic: &Traffic, job: &Job, mut f: impl FnMut(&EndpointId)) {
    let now = traffic.shared.now();
    let view = traffic.shared.view.load();
    let Some(service) = view.services.get(&job.service) else { return };
    for pool in [&service.stable_pool, &service.canary_pool] {
        let is_usable = |e: &&PoolEndpoint| e.state.is_open() && !e.state.is_ejected(now);
        pool.endpoints().iter().filter(is_usable).for_each(|e| f(&e.id));
    }
}

fn free_places(traffic: &Traffic, job: &Job) -> FreePlaces {
    let now = traffic.shared.now();
    let places = traffic.places.borrow();
    let mut sum = FreePlaces::default();
    for_endpoints(traffic, job, |id| sum = sum.plus(places.free(now, id)));
    sum
}

fn refuses_when_full(traffic: &Traffic, job: &Job) -> bool {
    let now = traffic.shared.now();
    let places = traffic.places.borrow();
    if !places.has_refusals(now) {
        return false;
    }
    let mut refuses = false;
    for_endpoints(traffic, job, |id| refuses |= places.refuses_when_full(now, id));
    refuses
}

/// Returns the endpoints of a request's service that have refused a request because they are full,
/// and are not expected to have a free place yet.
pub fn full_endpoints(traffic: &Traffic, job: &Job) -> Vec<EndpointId> {
    let now = traffic.shared.now();
    if !traffic.places.borrow().has_refusals(now) || !applies(traffic, job) {
        return Vec::new();
    }
    let places = traffic.places.borrow();
    let mut full = Vec::new();
    for_endpoints(traffic, job, |id| {
        if places.full_until(now, id).is_some() {
            full.push(id.clone());
        }
    });
    full
}

/// Waits a short time while all endpoints that were not tried are full.
pub async fn wait_for_place(traffic: &Traffic, job: &Job, attempts: &AttemptHistory) {
    let has_refusals = traffic.places.borrow().has_refusals(traffic.shared.now());
    if !has_refusals || !applies(traffic, job) {
        return;
    }
    let max_wait = MAX_WAIT.min(job.time_left().mul_f64(MAX_TIME_LEFT_FRACTION));
    let until = Instant::now() + max_wait;
    loop {
        let now = traffic.shared.now();
        let mut next_free: Option<Millis> = None;
        for_endpoints(traffic, job, |id| {
            if !attempts.tried.contains(id) {
                let free_at = traffic.places.borrow().full_until(now, id).unwrap_or(now);
                next_free = Some(next_free.map_or(free_at, |at| at.min(free_at)));
            }
        });
        let Some(wait) = next_free.map(|at| Duration::from_millis((at - now).0)) else { return };
        if wait.is_zero() || Instant::now() + wait > until {
            return;
        }
        tokio::time::sleep(wait).await;
    }
}

/// Records that a request is sent to an endpoint.
pub fn record_send(traffic: &Traffic, job: &Job, chosen: &ChosenEndpoint) {
    if traffic.has_load_control(&job.service) {
        traffic.places.borrow_mut().record_send(&chosen.id);
    }
}

/// Records that an endpoint has refused a request, unless it wants a rest, is leaving or falls over
/// from refusing requests: these are not for lack of places.
pub fn record_refusal(
    traffic: &Traffic,
    job: &Job,
    chosen: &ChosenEndpoint,
    facts: &ResponseFacts,
) {
    let is_for_load = facts.rest.is_none()
        && facts.max_refusals.is_none()
        && !facts.is_leaving
        && !chosen.state.guard().is_active();
    if !traffic.has_load_control(&job.service) || !is_for_load {
        return;
    }
    let now = traffic.shared.now();
    let mut overload = traffic.overload.borrow_mut();
    overload.record_refused_attempt(now, &job.service);
    let hold = overload.hold_time(&job.service);
    let mut places = traffic.places.borrow_mut();
    if let Some(ReportedLoad { running, waiting, slots: Some(slots), .. }) = facts.load {
        places.record_report(now, &chosen.id, slots, running + waiting);
    }
    places.record_refused(now, &chosen.id, hold);
}

/// Reports whether a request whose attempt failed may ask another endpoint. Under contention, an
/// endpoint's refusal ends the less urgent requests.
pub fn may_ask_another(traffic: &Traffic, job: &Job, attempts: &AttemptHistory, e: &Error) -> bool {
    // A request of which an endpoint has executed a part has its place.
    let may_have_run = attempts.executed.is_some_and(|executed| executed != Executed::No);
    if e.code != Code::EndpointRefused || may_have_run || !applies(traffic, job) {
        return true;
    }
    let (now, work) = (traffic.shared.now(), job.work(1.0, false) as f64);
    let overload = traffic.overload.borrow();
    overload.may_ask_another(now, &job.service, job.admitted.rank(), work)
}

/// Records that a plain request was executed, with the time until its response started.
pub fn record_response_start(
    traffic: &Traffic,
    job: &Job,
    chosen: &ChosenEndpoint,
    is_error: bool,
    elapsed: Duration,
) {
    let is_own = chosen.forwarded_to.is_none();
    if !traffic.has_load_control(&job.service) || !is_own || is_error {
        return;
    }
    traffic.places.borrow_mut().record_accepted(&chosen.id);
    let held = Millis(elapsed.as_millis() as u64);
    traffic.overload.borrow_mut().record_hold(&job.service, held);
    let counts_here = !job.is_generation() || refuses_when_full(traffic, job);
    if counts_here && !job.is_forwarded {
        record_accepted(traffic, job, job.work(1.0, false) as f64);
    }
}

fn record_accepted(traffic: &Traffic, job: &Job, work: f64) {
    let (now, rank) = (traffic.shared.now(), job.admitted.rank());
    traffic.overload.borrow_mut().record_accepted(now, &job.service, rank, work);
}

/// Records the places that an endpoint reports.
pub fn record_load(traffic: &Traffic, job: &Job, chosen: &ChosenEndpoint, load: &ReportedLoad) {
    let Some(slots) = load.slots.filter(|_| traffic.has_load_control(&job.service)) else { return };
    let taken = load.running.saturating_add(load.waiting);
    traffic.places.borrow_mut().record_report(traffic.shared.now(), &chosen.id, slots, taken);
    traffic.overload.borrow_mut().record_room(&job.service, slots, taken);
}

/// Reports whether an attempt at a busy endpoint is kept, because no other endpoint is expected to
/// respond sooner or the service is contended. `start` is the estimate with which it was sent.
pub fn waits_for_busy_endpoint(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    chosen: &ChosenEndpoint,
    model: Option<&ModelId>,
    start: StartEstimate,
    elapsed: Duration,
) -> bool {
    if !traffic.has_load_control(&job.service) {
        return false;
    }
    const US_PER_MS: f64 = 1e3;
    let now = traffic.shared.now();
    let is_contended = traffic.overload.borrow().is_contended(now, &job.service);
    let present_us = remaining_us(start, elapsed.as_secs_f64() * 1e6);
    let other = estimate_start(traffic, job, attempts, model);
    let other_us = other.map_or(f64::INFINITY, |s| s.start_us);
    if abandons_busy_endpoint(is_contended, present_us, other_us) {
        return false;
    }
    let fields: [(&'static str, &dyn Display); 6] = [
        ("request", &job.id),
        ("endpoint", &chosen.id),
        ("contended", &is_contended),
        ("elapsed_ms", &elapsed.as_millis()),
        ("remaining_ms", &format_args!("{:.0}", present_us / US_PER_MS)),
        ("other_ms", &format_args!("{:.0}", other_us / US_PER_MS)),
    ];
    traffic.shared.journal.log_routine(Event::BusyAwaited, &fields);
    true
}
