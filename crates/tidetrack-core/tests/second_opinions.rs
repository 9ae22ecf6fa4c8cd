//! Decision to discard a response for that of a larger model, and the latency estimate for such a
//! second opinion.

mod support;

use tidetrack_core::ids::{ModelId, ServiceId};
use tidetrack_core::traffic::cascade::{
    weigh_second_opinion, CascadeOptions, GenerationSize, SecondOpinionEstimate,
};
use tidetrack_core::traffic::latency_estimate::{LatencyEstimator, PlannedAttempt};
use tidetrack_core::units::{Millis, Tokens};

use support::{catalog, id, route};

fn generation_size(prompt: u64, max_generated_tokens: u64) -> GenerationSize {
    GenerationSize {
        prompt_tokens: Tokens(prompt),
        max_generated_tokens: Tokens(max_generated_tokens),
        generated_tokens_hint: None,
    }
}

fn larger_model_if_worthwhile(estimate: SecondOpinionEstimate) -> Option<String> {
    let catalog = catalog(1);
    let service = &catalog.services[&id::<ServiceId>("llm")];
    let (route, small) = (route("all", "/a/"), id::<ModelId>("small"));
    let opts = CascadeOptions::default();
    let generation_size = generation_size(800, 400);
    let decision = weigh_second_opinion(&route, service, &small, estimate, &generation_size, &opts);
    decision.filter(|w| w.is_worth_it()).map(|w| w.larger_model.to_string())
}

#[test]
fn a_low_confidence_response_gets_a_second_opinion_unless_time_or_capacity_is_short() {
    let low_confidence =
        SecondOpinionEstimate { confidence: 20, in_time_probability: 1.0, wait: 0.05 };

    assert_eq!(larger_model_if_worthwhile(low_confidence).as_deref(), Some("large"));
    assert_eq!(
        larger_model_if_worthwhile(SecondOpinionEstimate { confidence: 95, ..low_confidence }),
        None
    );
    assert_eq!(
        larger_model_if_worthwhile(SecondOpinionEstimate {
            in_time_probability: 0.05,
            ..low_confidence
        }),
        None
    );
    assert_eq!(
        larger_model_if_worthwhile(SecondOpinionEstimate { wait: 1.0, ..low_confidence }),
        None
    );
}

#[test]
fn confidence_is_interpreted_as_odds_not_as_a_probability() {
    let catalog = catalog(1);
    let service = &catalog.services[&id::<ServiceId>("llm")];
    let (route, opts) = (route("all", "/a/"), CascadeOptions::default());
    let gain_at = |confidence| {
        let estimate = SecondOpinionEstimate { confidence, in_time_probability: 1.0, wait: 0.0 };
        let generation_size = generation_size(800, 400);
        weigh_second_opinion(&route, service, &id("small"), estimate, &generation_size, &opts)
            .expect("a larger model must exist")
            .gain
    };

    let (high_confidence, even_odds, low_confidence, worst) =
        (gain_at(75), gain_at(45), gain_at(20), gain_at(0));

    assert!(
        high_confidence < 0.02 * worst,
        "gain at high confidence: {high_confidence} of {worst}"
    );
    assert!((0.4..0.6).contains(&(even_odds / worst)), "gain at even odds: {even_odds} of {worst}");
    assert!(low_confidence > 0.95 * worst, "gain at low confidence: {low_confidence} of {worst}");
}

#[test]
fn the_price_unit_does_not_affect_the_model_choice() {
    let route = route("all", "/a/");
    let opts = CascadeOptions::default();
    let is_discarded = |price_factor: f64, confidence: u8| {
        let mut service = catalog(1).services[&id::<ServiceId>("llm")].clone();
        service.models.iter_mut().for_each(|m| m.price *= price_factor);
        let estimate = SecondOpinionEstimate { confidence, in_time_probability: 1.0, wait: 0.05 };
        let (small, generation_size) = (id::<ModelId>("small"), generation_size(800, 400));
        let decision =
            weigh_second_opinion(&route, &service, &small, estimate, &generation_size, &opts);
        decision.expect("a larger model must exist").is_worth_it()
    };

    let with_original_prices: Vec<bool> =
        (0..=100).map(|confidence| is_discarded(1.0, confidence)).collect();
    let with_scaled_prices: Vec<bool> =
        (0..=100).map(|confidence| is_discarded(10.0, confidence)).collect();

    assert_eq!(with_original_prices, with_scaled_prices);
    assert!(with_original_prices[0] && !with_original_prices[100]);
}

fn planned_attempt(work_ahead: f64, elapsed: u64) -> PlannedAttempt {
    PlannedAttempt {
        work_ahead,
        own_work: 500.0,
        elapsed: Millis(elapsed),
        objective: Millis(4_000),
    }
}

#[test]
fn an_attempt_is_estimated_late_behind_queued_work_and_in_time_without_it() {
    let estimator = LatencyEstimator::default();
    let estimate_for = |planned_attempt| estimator.estimate(&id("llm"), planned_attempt);

    let (idle, busy) =
        (estimate_for(planned_attempt(0.0, 200)), estimate_for(planned_attempt(14_000.0, 200)));
    let late = estimate_for(planned_attempt(0.0, 9_000));

    assert_eq!(idle.wait, 0.0);
    assert_eq!(idle.in_time_probability(), 1.0);
    assert!(busy.wait > 1.0 && busy.in_time_probability() == 0.0);
    assert_eq!(late.in_time_probability(), 0.0);
}

#[test]
fn the_estimated_pace_follows_recent_responses() {
    let mut estimator = LatencyEstimator::default();
    let service = id::<ServiceId>("llm");
    let mut learned_pace = |us_per_token: f64| {
        (0..300)
            .for_each(|_| estimator.record_response_start(&service, 400.0, 400.0 * us_per_token));
        estimator.pace_us(&service)
    };

    let (slow_pace, fast_pace) = (learned_pace(5_000.0), learned_pace(300.0));

    assert!((slow_pace - 5_000.0).abs() < 50.0, "estimated pace: {slow_pace} us per token");
    assert!((fast_pace - 300.0).abs() < 50.0, "estimated pace: {fast_pace} us per token");
}
