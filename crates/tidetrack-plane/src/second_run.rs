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

use crate::attempt::Answered;
use crate::choose::plan;
use crate::job::{Chosen, Job, Traffic, Tries};
use crate::pool::most_rest;
use crate::report::failed_attempt;

/// Gets the larger model that an answer is to be dropped for.
pub async fn larger_model(
    traffic: &Traffic,
    job: &Job,
    tries: &Tries,
    model: Option<&ModelId>,
    chosen: &Chosen,
    answered: &Answered,
) -> Option<ModelId> {
    let route = &job.admitted.route;
    let (model, size) = (model?, job.facts.size.as_ref()?);
    let confidence = answered.facts.confidence?;
    let view = traffic.shared.view.load_full();
    let service = view.catalog.as_ref()?.services.get(&job.service)?;
    let opts = &traffic.shared.settings.cascade;
    let larger = cascade::second_opinion_model(route, model)?;
    let (next, planned) = plan(traffic, job, tries, larger, chosen)?;
    let expected = traffic.outlook.borrow().estimate(&job.service, planned);
    let prospect = SecondOpinionEstimate {
        confidence,
        in_time_probability: expected.in_time_probability(),
        wait: expected.wait,
    };
    let weighed = cascade::weigh_second_opinion(route, service, model, prospect, size, opts)?;
    let now = traffic.shared.now();
    let may_drop = tries.sent < route.max_attempts && route.work.is_repeatable();
    let budget =
        || traffic.with_budget(&job.service, |b| b.try_acquire(now, FurtherAttempt::SecondOpinion));
    let kept_for = match weighed.is_worth_it() {
        false => Some("cost"),
        true if !may_drop => Some("attempts"),
        true if !budget() => Some("budget"),
        true if !is_reached(traffic, job, larger, &next).await => {
            traffic.with_budget(&job.service, |b| b.refund(now));
            Some("connection")
        }
        true => None,
    };
    let event = if kept_for.is_some() { Event::AnswerKept } else { Event::AnswerDropped };
    traffic.shared.metrics.record_second_run(kept_for.unwrap_or("asked"));
    traffic.shared.journal.log_routine(
        event,
        &[
            ("request", &job.id),
            ("model", model),
            ("kept_for", &kept_for.unwrap_or("-")),
            ("confidence", &confidence),
            ("prompt", &size.prompt_tokens),
            ("ahead", &format_args!("{:.0}", planned.work_ahead)),
            ("own", &format_args!("{:.0}", planned.own_work)),
            ("wait", &format_args!("{:.2}", expected.wait)),
            ("begins", &format_args!("{:.2}", expected.response_start)),
            ("larger", weighed.larger_model),
            ("gain", &format_args!("{:.3}", weighed.gain)),
            ("cost", &format_args!("{:.3}", weighed.cost)),
        ],
    );
    kept_for.is_none().then(|| weighed.larger_model.clone())
}

/// Tells whether a connection to the endpoint of a second run is up, or comes up in time.
async fn is_reached(traffic: &Traffic, job: &Job, model: &ModelId, next: &Chosen) -> bool {
    let began = Instant::now();
    let rest = most_rest(job.admitted.route.work.is_repeatable());
    match traffic.pool.prepare(next.id.as_str(), &next.address, rest).await {
        Ok(()) => true,
        Err(e) => {
            failed_attempt(traffic, job, next, Some(model), &e, began.elapsed());
            false
        }
    }
}
