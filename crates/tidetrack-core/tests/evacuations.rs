//! Evacuated failure domains: nothing is sent to their endpoints, by any host that may know of the
//! order.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use tidetrack_core::ids::FailureDomain;
use tidetrack_core::placement::PlacementRequest;
use tidetrack_core::traffic::canary::ReleaseTrack;
use tidetrack_core::traffic::control::{FleetState, Input};
use tidetrack_core::traffic::endpoints::EndpointRecord;
use tidetrack_core::traffic::feeds::FeedKind;
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::view::FleetView;
use tidetrack_core::units::Millis;

use support::{
    catalog, caught_up_input, endpoint_record, fleet_state, freshness_confirmed_at,
    last_published_view, rollout_list,
};

fn domains(names: &[&str]) -> BTreeSet<FailureDomain> {
    names.iter().map(|name| support::id(name)).collect()
}

/// Returns the state of a host that knows two endpoints in each of two failure domains, but not yet
/// which domains are evacuated.
fn state_with_two_domains(freshness: &Freshness) -> FleetState {
    let in_domain = |name: &str, domain: &str| EndpointRecord {
        failure_domain: support::id(domain),
        ..endpoint_record(name, "v1")
    };
    let endpoints = vec![
        in_domain("a1", "a"),
        in_domain("a2", "a"),
        in_domain("b1", "b"),
        in_domain("b2", "b"),
    ];
    let mut fleet_state = fleet_state(2);
    for input in [
        Input::Catalog(Arc::new(catalog(3))),
        Input::EndpointList(endpoints),
        caught_up_input(FeedKind::Endpoints, 10),
        rollout_list(Vec::new()),
        caught_up_input(FeedKind::Rollouts, 10),
    ] {
        fleet_state.handle_input(Millis(0), input, freshness);
    }
    fleet_state
}

/// Applies an input and returns the view that follows from it.
fn view_after(fleet_state: &mut FleetState, input: Input, freshness: &Freshness) -> Arc<FleetView> {
    let actions = fleet_state.handle_input(Millis(500), input, freshness);
    last_published_view(&actions).expect("a view is published")
}

/// Returns the failure domains of the endpoints that any of many requests is sent to.
fn domains_sent_to(view: &FleetView) -> BTreeSet<FailureDomain> {
    let Some(service) = view.services.get(&support::id("llm")) else { return BTreeSet::new() };
    let pool = service.pool(ReleaseTrack::Stable);
    let pick = |n: u64| {
        let request = PlacementRequest {
            ring_position: n << 56,
            salt: n,
            reread_work: n % 2 * 1_000,
            ..PlacementRequest::default()
        };
        pool.pick(Millis(500), &request).expect("an endpoint is picked").failure_domain.clone()
    };
    (0..256).map(pick).collect()
}

#[test]
fn an_evacuated_domain_receives_nothing_until_it_is_taken_back() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_with_two_domains(&freshness);
    let evacuated = Input::EvacuationList(domains(&["a"]));
    let ended = Input::EvacuationEnded(support::id("a"));

    let during = view_after(&mut fleet_state, evacuated, &freshness);
    let after = view_after(&mut fleet_state, ended, &freshness);

    assert_eq!(domains_sent_to(&during), domains(&["b"]));
    assert_eq!(during.evacuated_endpoints, [(support::id("a"), 2)].into());
    assert_eq!(domains_sent_to(&after), domains(&["a", "b"]));
    assert!(after.evacuated_endpoints.is_empty());
}

#[test]
fn a_service_whose_domains_are_all_evacuated_is_reported_as_such() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_with_two_domains(&freshness);
    fleet_state.handle_input(Millis(0), Input::EvacuationList(domains(&["a"])), &freshness);

    let view = view_after(&mut fleet_state, Input::EvacuationStarted(support::id("b")), &freshness);

    assert!(domains_sent_to(&view).is_empty());
    assert!(view.evacuated_services.contains(&support::id("llm")));
    assert!(view.has_endpoints, "the host is ready to refuse requests with the reason");
}

/// Guards against a host that sends to an evacuated domain because it has not read the orders yet.
#[test]
fn a_starting_host_sends_nothing_before_it_knows_the_orders() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_with_two_domains(&freshness);

    let before =
        view_after(&mut fleet_state, Input::EndpointRemoved(support::id("b2")), &freshness);
    let after = view_after(&mut fleet_state, Input::EvacuationList(domains(&["b"])), &freshness);

    assert!(!before.has_endpoints && before.services.is_empty());
    assert!(after.has_endpoints);
    assert_eq!(domains_sent_to(&after), domains(&["a"]));
}

#[test]
fn an_endpoint_that_starts_in_an_evacuated_domain_receives_nothing() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_with_two_domains(&freshness);
    fleet_state.handle_input(Millis(0), Input::EvacuationList(domains(&["a"])), &freshness);

    let started = Input::Endpoint(endpoint_record("a3", "v1"));
    let view = view_after(&mut fleet_state, started, &freshness);

    assert_eq!(domains_sent_to(&view), domains(&["b"]));
    assert_eq!(view.evacuated_endpoints, [(support::id("a"), 3)].into());
}
