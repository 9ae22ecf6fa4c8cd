//! Endpoints that start again under their ids.

mod support;

use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::endpoints::EndpointRecord;
use tidetrack_core::units::Millis;

use support::{
    endpoint_record, freshness_confirmed_at, id, last_published_view, state_without_rollout,
};

/// An entry of an endpoint that started at some time.
fn started(at: u64, version: &str) -> Input {
    let started = Some(Millis(at));
    Input::Endpoint(EndpointRecord { started, ..endpoint_record("o1", version) })
}

/// What was promised: a restart brought a new id, so what was learnt by id was of one process. It may come under
/// the same id now. Evidence: the endpoint that failed before its restart stayed ejected after it.
#[test]
fn an_endpoint_that_starts_again_begins_anew() {
    let fresh = freshness_confirmed_at(0);
    let mut beliefs = state_without_rollout(2, &fresh);
    let mut view_after = |at: u64, input: Input| {
        let mut actions = beliefs.handle_input(Millis(at), input, &fresh);
        actions.extend(beliefs.handle_input(Millis(at + 200), Input::Tick, &fresh));
        last_published_view(&actions).expect("a view")
    };
    let view = view_after(100, started(1_000, "v1"));
    let before = &view.services[&id("llm")].stable_pool.endpoints()[2];
    assert_eq!(before.id.as_str(), "o1");
    (0..10).for_each(|_| before.state.record_outcome(Millis(300), false));
    before.state.begin_work(500);

    let view = view_after(400, started(2_000, "v1"));

    let after = &view.services[&id("llm")].stable_pool.endpoints()[2];
    assert!(before.state.is_ejected(Millis(600)) && before.state.is_leaving());
    assert!(!after.state.is_ejected(Millis(600)) && !after.state.is_leaving());
    assert_eq!(after.state.own_work(), 0);
}

#[test]
fn news_of_an_earlier_start_that_comes_late_changes_nothing() {
    let fresh = freshness_confirmed_at(0);
    let mut beliefs = state_without_rollout(2, &fresh);
    beliefs.handle_input(Millis(100), started(2_000, "v1"), &fresh);
    let leaving = EndpointRecord {
        started: Some(Millis(1_000)),
        is_leaving: true,
        ..endpoint_record("o1", "v1")
    };

    beliefs.handle_input(Millis(200), Input::Endpoint(leaving), &fresh);
    let again = beliefs.handle_input(Millis(400), started(2_000, "v1"), &fresh);

    let view = last_published_view(&again).expect("a view");
    let proven = view.services[&id("llm")].stable_pool.endpoints();
    assert!(proven.iter().any(|e| e.id.as_str() == "o1" && !e.state.is_leaving()));
}
