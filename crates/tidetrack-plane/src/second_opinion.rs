//! Whether an answer at hand is dropped for a larger model's.
//!
//! The core weighs; here is put together what it weighs: the answer's confidence, the endpoint that a
//! second run would go to, what is expected of it there, and the budget. An answer is dropped only once
//! a connection to that endpoint is up: on a full line there is none to be had in time.

use std::time::Instant;

use tidetrack_core::events::Event;
use tidetrack_core::ids::ModelId;
use tidetrack_core::traffic::budget::FurtherAttempt;
use tidetrack_core::traffic::cascade::{self, SecondOpinionEstimate};

use crate::attempt::EndpointResponse;
use crate::choose::plan;
use crate::job::{Chosen, Job, Traffic, Tries};
use crate::pool::max_idle_time;
use crate::report::record_failed_attempt;

/// Gets the larger model that an answer is to be dropped for.
pub async fn model_for_second_opinion(
    traffic: &Traffic,
    job: &Job,
    tries: &Tries,
    model: Option<&ModelId>,
    chosen: &Chosen,
    response: &EndpointResponse,
) -> Option<ModelId> {
    let route = &job.admitted.route;
    let (model, size) = (model?, job.facts.size.as_ref()?);
    let confidence = response.facts.confidence?;
    let view = traffic.shared.view.load_full();
    let service = view.catalog.as_ref()?.services.get(&job.service)?;
    let opts = &traffic.shared.settings.cascade;
    let larger = cascade::second_opinion_model(route, model)?;
    let (candidate, planned) = plan(traffic, job, tries, larger, chosen)?;
    let latency = traffic.outlook.borrow().estimate(&job.service, planned);
    let estimate = SecondOpinionEstimate {
        confidence,
        in_time_probability: latency.in_time_probability(),
        wait: latency.wait,
    };
    let comparison = cascade::weigh_second_opinion(route, service, model, estimate, size, opts)?;
    let now = traffic.shared.now();
    let can_retry = tries.sent < route.max_attempts && route.work.is_repeatable();
    let has_budget =
        || traffic.with_budget(&job.service, |b| b.try_acquire(now, FurtherAttempt::SecondOpinion));
    let keep_reason = match comparison.is_worth_it() {
        false => Some("cost"),
        true if !can_retry => Some("attempts"),
        true if !has_budget() => Some("budget"),
        true if !is_reachable(traffic, job, larger, &candidate).await => {
            traffic.with_budget(&job.service, |b| b.refund(now));
            Some("connection")
        }
        true => None,
    };
    let event = if keep_reason.is_some() { Event::AnswerKept } else { Event::AnswerDropped };
    traffic.shared.metrics.second_run(keep_reason.unwrap_or("asked"));
    traffic.shared.journal.routine(
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
            ("larger", comparison.larger_model),
            ("gain", &format_args!("{:.3}", comparison.gain)),
            ("cost", &format_args!("{:.3}", comparison.cost)),
        ],
    );
    keep_reason.is_none().then(|| comparison.larger_model.clone())
}

/// Tells whether a connection to the endpoint of a second run is up, or comes up in time.
async fn is_reachable(traffic: &Traffic, job: &Job, model: &ModelId, candidate: &Chosen) -> bool {
    let started_at = Instant::now();
    let max_idle = max_idle_time(job.admitted.route.work.is_repeatable());
    match traffic.pool.prepare(candidate.id.as_str(), &candidate.address, max_idle).await {
        Ok(()) => true,
        Err(e) => {
            record_failed_attempt(traffic, job, candidate, Some(model), &e, started_at.elapsed());
            false
        }
    }
}
