//! Whether an answer is dropped for a larger model's, and what is expected of such a run.

mod support;

use tidetrack_core::ids::{ModelId, ServiceId};
use tidetrack_core::traffic::cascade::{
    weigh_second_opinion, CascadeOptions, GenerationSize, SecondOpinionEstimate,
};
use tidetrack_core::traffic::latency_estimate::{LatencyEstimator, PlannedAttempt};
use tidetrack_core::units::{Millis, Tokens};

use support::{catalog, id, route};

fn size(prompt: u64, most: u64) -> GenerationSize {
    GenerationSize {
        prompt_tokens: Tokens(prompt),
        max_generated_tokens: Tokens(most),
        generated_tokens_hint: None,
    }
}

fn larger(prospect: SecondOpinionEstimate) -> Option<String> {
    let catalog = catalog(1);
    let service = &catalog.services[&id::<ServiceId>("llm")];
    let (route, small) = (route("all", "/a/"), id::<ModelId>("small"));
    let opts = CascadeOptions::default();
    let size = size(800, 400);
    let weighed = weigh_second_opinion(&route, service, &small, prospect, &size, &opts);
    weighed.filter(|w| w.is_worth_it()).map(|w| w.larger_model.to_string())
}

#[test]
fn a_doubtful_answer_is_asked_again_unless_time_or_engines_are_short() {
    let doubtful = SecondOpinionEstimate { confidence: 20, in_time_probability: 1.0, wait: 0.05 };

    assert_eq!(larger(doubtful).as_deref(), Some("large"));
    assert_eq!(larger(SecondOpinionEstimate { confidence: 95, ..doubtful }), None);
    assert_eq!(larger(SecondOpinionEstimate { in_time_probability: 0.05, ..doubtful }), None);
    assert_eq!(larger(SecondOpinionEstimate { wait: 1.0, ..doubtful }), None);
}

#[test]
fn a_confidence_is_read_as_odds_and_not_as_a_chance() {
    let catalog = catalog(1);
    let service = &catalog.services[&id::<ServiceId>("llm")];
    let (route, opts) = (route("all", "/a/"), CascadeOptions::default());
    let gain = |confidence| {
        let prospect = SecondOpinionEstimate { confidence, in_time_probability: 1.0, wait: 0.0 };
        let size = size(800, 400);
        weigh_second_opinion(&route, service, &id("small"), prospect, &size, &opts)
            .expect("a larger model")
            .gain
    };

    let (sure, even, doubtful, worst) = (gain(75), gain(45), gain(20), gain(0));

    assert!(sure < 0.02 * worst, "{sure} of {worst}");
    assert!((0.4..0.6).contains(&(even / worst)), "{even} of {worst}");
    assert!(doubtful > 0.95 * worst, "{doubtful} of {worst}");
}

#[test]
fn the_unit_of_prices_does_not_bear_on_the_choice_of_a_model() {
    let route = route("all", "/a/");
    let opts = CascadeOptions::default();
    let dropped = |unit: f64, confidence: u8| {
        let mut service = catalog(1).services[&id::<ServiceId>("llm")].clone();
        service.models.iter_mut().for_each(|m| m.price *= unit);
        let prospect = SecondOpinionEstimate { confidence, in_time_probability: 1.0, wait: 0.05 };
        let (small, size) = (id::<ModelId>("small"), size(800, 400));
        let weighed = weigh_second_opinion(&route, &service, &small, prospect, &size, &opts);
        weighed.expect("a larger model").is_worth_it()
    };

    let in_cents: Vec<bool> = (0..=100).map(|confidence| dropped(1.0, confidence)).collect();
    let in_thousandths: Vec<bool> = (0..=100).map(|confidence| dropped(10.0, confidence)).collect();

    assert_eq!(in_cents, in_thousandths);
    assert!(in_cents[0] && !in_cents[100]);
}

fn planned(work_ahead: f64, elapsed: u64) -> PlannedAttempt {
    PlannedAttempt {
        work_ahead,
        own_work: 500.0,
        elapsed: Millis(elapsed),
        objective: Millis(4_000),
    }
}

#[test]
fn a_run_is_expected_late_behind_much_work_and_in_time_again_when_that_is_done() {
    let outlook = LatencyEstimator::default();
    let expect = |planned| outlook.estimate(&id("llm"), planned);

    let (idle, busy) = (expect(planned(0.0, 200)), expect(planned(14_000.0, 200)));
    let late = expect(planned(0.0, 9_000));

    assert_eq!(idle.wait, 0.0);
    assert_eq!(idle.in_time_probability(), 1.0);
    assert!(busy.wait > 1.0 && busy.in_time_probability() == 0.0);
    assert_eq!(late.in_time_probability(), 0.0);
}

#[test]
fn the_pace_of_answers_is_learnt_and_a_slow_spell_forgotten() {
    let mut outlook = LatencyEstimator::default();
    let service = id::<ServiceId>("llm");
    let mut answers = |us_each: f64| {
        (0..300).for_each(|_| outlook.record_response_start(&service, 400.0, 400.0 * us_each));
        outlook.pace_us(&service)
    };

    let (slow, quick) = (answers(5_000.0), answers(300.0));

    assert!((slow - 5_000.0).abs() < 50.0, "{slow}");
    assert!((quick - 300.0).abs() < 50.0, "{quick}");
}
