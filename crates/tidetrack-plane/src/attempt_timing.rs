//! How long attempts take under load control: collects the input of the decisions in
//! `tidetrack_core::traffic::service_times`, `scarcity` and `placement`, and records what responses
//! teach.

use std::time::Duration;

use tidetrack_core::ids::ModelId;
use tidetrack_core::placement::{AttemptLength, PlacementTiming, SentWork, Slowdown};
use tidetrack_core::traffic::service_times::AttemptWork;

use crate::job::{ChosenEndpoint, Job, Traffic};

/// Fraction of the shortest objective of a service from which an attempt counts as long: requests
/// beside it lose that much of their time.
const LONG_ATTEMPT_FRACTION: f64 = 0.1;

/// Counts a generation in the demand of its service under load control.
pub fn record_demand(traffic: &Traffic, job: &Job) {
    let Some(size) = job.facts.size.as_ref().filter(|_| traffic.has_load_control(&job.service))
    else {
        return;
    };
    let view = traffic.shared.view.load();
    let service = view.catalog.as_ref().and_then(|c| c.services.get(&job.service));
    let price = service.map_or(0.0, |s| s.highest_price());
    let value = size.estimated_value(price, &traffic.shared.settings.cascade);
    let (now, rank) = (traffic.shared.now(), job.admitted.rank());
    let objective = job.admitted.route.objective;
    traffic.with_demand(&job.service, |demand| demand.record(now, rank, objective, value));
}

/// Returns the work of an attempt at a chosen endpoint, behind the given work.
pub fn attempt_work(
    traffic: &Traffic,
    job: &Job,
    chosen: &ChosenEndpoint,
    weight: f64,
    ahead: f64,
) -> AttemptWork {
    AttemptWork {
        own: job.work(weight, chosen.prefix.is_available()) as f64,
        ahead,
        slowdown: chosen.state.slowdown(traffic.shared.now()).multiple(),
    }
}

/// Returns the length of an attempt on a model relative to the shortest objective of its service;
/// `None` if the request is not a generation or no objective is known.
pub fn attempt_length(
    traffic: &Traffic,
    job: &Job,
    model: Option<&ModelId>,
    weight: f64,
) -> Option<AttemptLength> {
    const US_PER_MS: f64 = 1e3;
    job.facts.size.as_ref()?;
    let now = traffic.shared.now();
    let objective = traffic.with_demand(&job.service, |d| d.shortest_objective(now))?;
    let whole_prompt =
        AttemptWork { own: job.work(weight, false) as f64, ahead: 0.0, slowdown: 1.0 };
    let times = traffic.service_times.borrow();
    let own_us = times.estimate_start(&job.service, model, whole_prompt).own_us;
    let is_long = own_us > objective.0 as f64 * US_PER_MS * LONG_ATTEMPT_FRACTION;
    Some(if is_long { AttemptLength::Long } else { AttemptLength::Short })
}

/// Returns how the endpoints' times count for an attempt on a model, under load control.
pub fn placement_timing(
    traffic: &Traffic,
    job: &Job,
    model: Option<&ModelId>,
    weight: f64,
) -> PlacementTiming {
    let length = attempt_length(traffic, job, model, weight);
    PlacementTiming {
        own_work: job.work(weight, true) as f64,
        separation: length
            .and_then(|length| traffic.with_lengths(&job.service, |mix| mix.separation(length))),
    }
}

/// Counts the work of an attempt among that of long or short ones, under load control.
pub fn record_length(
    traffic: &Traffic,
    job: &Job,
    model: Option<&ModelId>,
    weight: f64,
    work: AttemptWork,
) {
    const US_PER_S: f64 = 1e6;
    if !traffic.has_load_control(&job.service) {
        return;
    }
    let Some(length) = attempt_length(traffic, job, model, weight) else { return };
    // All hosts have to agree on the sets, whatever the speed of the endpoints that each of them chose.
    let usual_speed = AttemptWork { slowdown: 1.0, ..work };
    let times = traffic.service_times.borrow();
    let own_us = times.estimate_start(&job.service, model, usual_speed).own_us;
    let now = traffic.shared.now();
    let rank = job.admitted.rank();
    let rank_weight = traffic.with_demand(&job.service, |demand| demand.rank_weight(now, rank));
    let seconds = own_us / US_PER_S;
    let sent = SentWork { length, seconds, tokens: work.own, weight: rank_weight };
    traffic.with_lengths(&job.service, |mix| mix.record(now, sent));
}

/// Records how long a response took to start, for its model and for the speed of its endpoint.
pub fn record_start(
    traffic: &Traffic,
    job: &Job,
    chosen: &ChosenEndpoint,
    model: Option<&ModelId>,
    work: AttemptWork,
    present_slowdown: Slowdown,
    took: Duration,
) {
    let mut times = traffic.service_times.borrow_mut();
    // The slowness of a new version is for its roll-out to judge, by comparison with the stable ones.
    if chosen.canary_version.is_none() {
        let present = present_slowdown.multiple();
        let ratio = times.relative_time(&job.service, model, work, present, took);
        ratio.into_iter().for_each(|ratio| {
            chosen.state.record_relative_time(traffic.shared.now(), ratio);
        });
    }
    times.record_start(&job.service, model, work, took);
}
