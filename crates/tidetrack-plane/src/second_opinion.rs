//! Decides whether a response is dropped for a second opinion by a larger model.
//!
//! `tidetrack_core::traffic::cascade` compares gain and cost. This module collects its input: the
//! confidence of the response, the endpoint that a second attempt would be sent to, the latency
//! estimate for that endpoint, and the budget. A response is dropped only once a connection to that
//! endpoint is established, because on a saturated link no connection is established in time.

use std::time::Instant;

use tidetrack_core::events::Event;
use tidetrack_core::ids::ModelId;
use tidetrack_core::traffic::budget::FurtherAttempt;
use tidetrack_core::traffic::cascade::{self, ContendedEstimate, SecondOpinionEstimate};
use tidetrack_core::traffic::latency_estimate::{LatencyEstimate, PlannedAttempt};
use tidetrack_core::traffic::scarcity::OptionalWork;
use tidetrack_core::units::Millis;

use crate::attempt::EndpointResponse;
use crate::attempt_timing::attempt_work;
use crate::choose::{model_weight, plan_attempt};
use crate::job::{AttemptHistory, ChosenEndpoint, Job, Traffic};
use crate::load_control;
use crate::pool::max_idle_time;
use crate::report::record_failed_attempt;

/// Returns the larger model that a response is to be dropped for, or `None` if the response is
/// kept.
pub async fn model_for_second_opinion(
    traffic: &Traffic,
    job: &Job,
    tries: &AttemptHistory,
    model: Option<&ModelId>,
    chosen: &ChosenEndpoint,
    response: &EndpointResponse,
) -> Option<ModelId> {
    // A resumed response keeps its model, and the host that chooses the endpoints asks for opinions.
    if chosen.forwarded_to.is_some() || job.resumed_model.is_some() {
        return None;
    }
    let route = &job.admitted.route;
    let (model, size) = (model?, job.facts.size.as_ref()?);
    let confidence = response.facts.confidence?;
    let view = traffic.shared.view.load_full();
    let service = view.catalog.as_ref()?.services.get(&job.service)?;
    let opts = &traffic.shared.settings.cascade;
    let larger = cascade::second_opinion_model(route, model)?;
    let (candidate, planned) = plan_attempt(traffic, job, tries, larger, chosen)?;
    let (latency, tradeoff) = if traffic.has_load_control(&job.service) {
        let contended = estimate_contended(traffic, job, confidence, larger, &candidate, planned);
        let (latency, estimate) = contended?;
        let tradeoff =
            cascade::weigh_contended_second_opinion(route, service, model, estimate, size, opts)?;
        (latency, tradeoff)
    } else {
        let latency = traffic.latency_estimator.borrow().estimate(&job.service, planned);
        let estimate = SecondOpinionEstimate {
            confidence,
            in_time_probability: latency.in_time_probability(),
            wait: latency.wait,
        };
        (latency, cascade::weigh_second_opinion(route, service, model, estimate, size, opts)?)
    };
    let now = traffic.shared.now();
    let is_deferred = || load_control::defers_optional_work(traffic, job);
    let can_retry = tries.sent_count < route.max_attempts && route.work.is_repeatable();
    let try_acquire_budget =
        || load_control::try_acquire(traffic, job, FurtherAttempt::SecondOpinion);
    let keep_reason = match tradeoff.is_worth_it() {
        false => Some("cost"),
        true if is_deferred() => Some("share"),
        true if !can_retry => Some("attempts"),
        true if !try_acquire_budget() => Some("budget"),
        true if !is_reachable(traffic, job, larger, &candidate).await => {
            traffic.with_budget(&job.service, |b| b.refund(now));
            Some("connection")
        }
        true => None,
    };
    let event = if keep_reason.is_some() { Event::AnswerKept } else { Event::AnswerDropped };
    traffic.shared.metrics.record_second_run(keep_reason.unwrap_or("asked"));
    traffic.shared.journal.log_routine(
        event,
        &[
            ("request", &job.id),
            ("model", model),
            ("kept_for", &keep_reason.unwrap_or("-")),
            ("confidence", &confidence),
            ("prompt", &size.prompt_tokens),
            ("ahead", &format_args!("{:.0}", planned.work_ahead)),
            ("own", &format_args!("{:.0}", planned.own_work)),
            ("wait", &format_args!("{:.2}", latency.wait)),
            ("begins", &format_args!("{:.2}", latency.response_start)),
            ("larger", tradeoff.larger_model),
            ("gain", &format_args!("{:.3}", tradeoff.gain)),
            ("cost", &format_args!("{:.3}", tradeoff.cost)),
        ],
    );
    keep_reason.is_none().then(|| tradeoff.larger_model.clone())
}

/// Estimates a second attempt under load control, with its latency in fractions of the objective.
fn estimate_contended(
    traffic: &Traffic,
    job: &Job,
    confidence: u8,
    larger: &ModelId,
    candidate: &ChosenEndpoint,
    planned: PlannedAttempt,
) -> Option<(LatencyEstimate, ContendedEstimate)> {
    const US_PER_MS: f64 = 1e3;
    const US_PER_S: f64 = 1e6;
    let shared = &traffic.shared;
    let now = shared.now();
    let view = shared.view.load();
    let service = view.services.get(&job.service)?;
    let weight = model_weight(traffic, job, Some(larger));
    let work = attempt_work(traffic, job, candidate, weight, planned.work_ahead);
    let times = traffic.service_times.borrow();
    let start = times.estimate_start(&job.service, Some(larger), work);
    let elapsed_us = planned.elapsed.0 as f64 * US_PER_MS;
    let objective_us = planned.objective.0.max(1) as f64 * US_PER_MS;
    let expected_tokens = job.facts.size.as_ref()?.estimated_generated_tokens();
    let time_left = Millis(job.time_left().as_millis() as u64);
    let optional_work = OptionalWork {
        rank: job.admitted.rank(),
        own_s: start.own_us / US_PER_S,
        wait_s: start.wait_us / US_PER_S,
        hosts: shared.forward_targets.load().len() + 1,
        endpoints: service.stable_pool.endpoints().len() + service.canary_pool.endpoints().len(),
    };
    let (rank_weight, delay_cost) = traffic.with_demand(&job.service, |demand| {
        (demand.rank_weight(now, optional_work.rank), demand.delay_cost(now, optional_work))
    });
    let estimate = ContendedEstimate {
        confidence,
        is_present_in_time: planned.elapsed <= planned.objective,
        in_time_probability: start.probability_within(objective_us - elapsed_us),
        completion_probability: times.completion_probability(
            &job.service,
            Some(larger),
            start,
            expected_tokens,
            time_left,
        ),
        rank_weight,
        delay_cost,
    };
    let latency = LatencyEstimate {
        wait: start.wait_us / objective_us,
        response_start: (elapsed_us + start.start_us) / objective_us,
    };
    Some((latency, estimate))
}

/// Reports whether a connection to the endpoint of a second attempt is available or is established
/// in time.
async fn is_reachable(
    traffic: &Traffic,
    job: &Job,
    model: &ModelId,
    candidate: &ChosenEndpoint,
) -> bool {
    // Another host connects to the endpoint.
    if candidate.forwarded_to.is_some() {
        return true;
    }
    let started_at = Instant::now();
    let max_idle = max_idle_time(job.admitted.route.work.is_repeatable());
    match traffic
        .pool
        .ensure_idle_connection(candidate.id.as_str(), &candidate.address, max_idle)
        .await
    {
        Ok(()) => true,
        Err(e) => {
            record_failed_attempt(traffic, job, candidate, Some(model), &e, started_at.elapsed());
            false
        }
    }
}
