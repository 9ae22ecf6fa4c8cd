//! Learned response times: large requests must not be taken for slow ones, and stalls not for the
//! usual time.

mod support;

use std::time::Duration;

use tidetrack_core::ids::{ModelId, ServiceId};
use tidetrack_core::traffic::service_times::{AttemptWork, ServiceTimes};
use tidetrack_core::units::Millis;

use support::id;

/// Time that an endpoint takes to start a response: 60 ms and 0.25 ms for each token of work.
fn true_start(work: AttemptWork) -> Duration {
    Duration::from_secs_f64((0.06 + (work.own + work.ahead) * 0.00025) * work.slowdown)
}

fn work(own: f64, ahead: f64) -> AttemptWork {
    AttemptWork { own, ahead, slowdown: 1.0 }
}

/// Times learned from 400 small requests, with a large one in each ten.
fn learned(service: &ServiceId, model: &ModelId) -> ServiceTimes {
    let mut times = ServiceTimes::default();
    for i in 0..400 {
        let own = if i % 10 == 0 { 2_000.0 } else { 100.0 + f64::from(i % 7) * 40.0 };
        let sent = work(own, f64::from(i % 5) * 100.0);
        times.record_start(service, Some(model), sent, true_start(sent));
    }
    times
}

#[test]
fn a_large_request_is_not_expected_as_late_as_its_size_times_the_pace_of_small_ones() {
    let (service, model) = (id::<ServiceId>("llm"), id::<ModelId>("large"));
    let times = learned(&service, &model);
    let large = work(6_000.0, 0.0);

    let estimate = times.estimate_start(&service, Some(&model), large);

    let ratio = estimate.start_us / (true_start(large).as_secs_f64() * 1e6);
    assert!((0.67..1.5).contains(&ratio), "expected {ratio} of the true time");
}

#[test]
fn probability_of_a_start_falls_from_nearly_one_to_nearly_zero_around_the_true_time() {
    let (service, model) = (id::<ServiceId>("llm"), id::<ModelId>("large"));
    let times = learned(&service, &model);
    let large = work(2_000.0, 0.0);
    let true_us = true_start(large).as_secs_f64() * 1e6;

    let estimate = times.estimate_start(&service, Some(&model), large);

    assert!(estimate.probability_within(true_us * 2.5) > 0.9);
    assert!(estimate.probability_within(true_us * 0.4) < 0.1);
    assert_eq!(estimate.probability_within(0.0), 0.0);
}

#[test]
fn a_slow_endpoint_is_expected_to_be_late_by_its_slowdown() {
    let (service, model) = (id::<ServiceId>("llm"), id::<ModelId>("large"));
    let times = learned(&service, &model);
    let usual = times.estimate_start(&service, Some(&model), work(1_000.0, 500.0));

    let slow = AttemptWork { slowdown: 2.5, ..work(1_000.0, 500.0) };
    let estimate = times.estimate_start(&service, Some(&model), slow);

    assert!((estimate.start_us / usual.start_us - 2.5).abs() < 1e-9);
}

#[test]
fn a_few_stalls_of_seconds_do_not_make_all_requests_look_slow() {
    let (service, model) = (id::<ServiceId>("llm"), id::<ModelId>("large"));
    let mut times = learned(&service, &model);
    let usual = times.estimate_start(&service, Some(&model), work(200.0, 0.0));

    for _ in 0..2 {
        times.record_start(&service, Some(&model), work(200.0, 0.0), Duration::from_secs(30));
    }
    let estimate = times.estimate_start(&service, Some(&model), work(200.0, 0.0));

    assert!(estimate.start_us < usual.start_us * 1.5, "{} us", estimate.start_us);
}

#[test]
fn a_generation_that_cannot_end_before_its_deadline_is_recognised() {
    let (service, model) = (id::<ServiceId>("llm"), id::<ModelId>("large"));
    let mut times = learned(&service, &model);
    for _ in 0..100 {
        let generation = Duration::from_millis(300 * 9);
        times.record_generation(&service, Some(&model), 300.0, generation);
    }
    let start = times.estimate_start(&service, Some(&model), work(200.0, 0.0));
    let ends_within = |tokens: f64, ms: u64| {
        times.completion_probability(&service, Some(&model), start, tokens, Millis(ms))
    };

    assert!(ends_within(300.0, 12_000) > 0.95);
    assert!(ends_within(3_000.0, 12_000) < 0.1);
}

#[test]
fn models_do_not_teach_each_other() {
    let (service, model) = (id::<ServiceId>("llm"), id::<ModelId>("large"));
    let times = learned(&service, &model);
    let untaught = ServiceTimes::default();
    let other = id::<ModelId>("small");

    let estimate = times.estimate_start(&service, Some(&other), work(100.0, 0.0));

    assert_eq!(estimate, untaught.estimate_start(&service, Some(&other), work(100.0, 0.0)));
}
