//! Endpoints that restart under the same id.

mod support;

use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::endpoints::EndpointRecord;
use tidetrack_core::units::Millis;

use support::{
    endpoint_record, freshness_confirmed_at, id, last_published_view, state_without_rollout,
};

/// Returns an endpoint update for `o1` whose process started at `at`, in milliseconds.
fn record_started_at(at: u64, version: &str) -> Input {
    let started = Some(Millis(at));
    Input::Endpoint(EndpointRecord { started, ..endpoint_record("o1", version) })
}

/// Guards against carrying state over from an endpoint's previous process. State is learned per id,
/// and a restart may keep the id, so an endpoint that failed before its restart stayed ejected
/// after it.
#[test]
fn a_restarted_endpoint_gets_a_new_state() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_without_rollout(2, &freshness);
    let mut view_after = |at: u64, input: Input| {
        let mut actions = fleet_state.handle_input(Millis(at), input, &freshness);
        actions.extend(fleet_state.handle_input(Millis(at + 200), Input::Tick, &freshness));
        last_published_view(&actions).expect("a view must be published")
    };
    let view = view_after(100, record_started_at(1_000, "v1"));
    let before = &view.services[&id("llm")].stable_pool.endpoints()[2];
    assert_eq!(before.id.as_str(), "o1");
    (0..10).for_each(|_| before.state.record_outcome(Millis(300), false));
    before.state.begin_work(500);

    let view = view_after(400, record_started_at(2_000, "v1"));

    let after = &view.services[&id("llm")].stable_pool.endpoints()[2];
    assert!(before.state.is_ejected(Millis(600)) && before.state.is_leaving());
    assert!(!after.state.is_ejected(Millis(600)) && !after.state.is_leaving());
    assert_eq!(after.state.own_work(), 0);
}

#[test]
fn a_delayed_update_of_an_earlier_incarnation_is_ignored() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_without_rollout(2, &freshness);
    fleet_state.handle_input(Millis(100), record_started_at(2_000, "v1"), &freshness);
    let leaving = EndpointRecord {
        started: Some(Millis(1_000)),
        is_leaving: true,
        ..endpoint_record("o1", "v1")
    };

    fleet_state.handle_input(Millis(200), Input::Endpoint(leaving), &freshness);
    let actions = fleet_state.handle_input(Millis(400), record_started_at(2_000, "v1"), &freshness);

    let view = last_published_view(&actions).expect("a view must be published");
    let stable_endpoints = view.services[&id("llm")].stable_pool.endpoints();
    assert!(stable_endpoints.iter().any(|e| e.id.as_str() == "o1" && !e.state.is_leaving()));
}
