//! A store that is restored from an older copy: the order of positions, and what stays in force of
//! endpoints and roll-outs.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use tidetrack_core::ids::EndpointId;
use tidetrack_core::traffic::canary::{
    Canary, Phase, RolloutOrder, RolloutProgress, RolloutState, DEFAULT_EXPOSURE_BOUND,
};
use tidetrack_core::traffic::control::{Action, FleetState, Input};
use tidetrack_core::traffic::endpoints::{EndpointRecord, EndpointTable};
use tidetrack_core::traffic::feeds::FeedKind;
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::peers::{PeerUpdate, ProofReport};
use tidetrack_core::traffic::store_position::StorePosition;
use tidetrack_core::traffic::view::FleetView;
use tidetrack_core::units::Millis;

use support::{
    catalog, caught_up_input, endpoint_record, fleet_state, freshness_confirmed_at, id,
    last_published_view, message_from, rollout_list, rollout_order, state_without_rollout,
};

const NOW: Millis = Millis(100_000);

/// Time after which running endpoints have written their entries again.
const REWRITE_TIME: Millis = Millis(2_300);

/// Time after which the store has removed the entries of endpoints that have ended.
const REMOVAL_TIME: Millis = Millis(6_000);

fn position(era: u64, revision: u64) -> u64 {
    StorePosition { era, revision }.packed()
}

fn record(id: &str, is_leaving: bool, started: u64) -> EndpointRecord {
    EndpointRecord {
        id: id.parse().expect("the endpoint id parses"),
        service: "desk".parse().expect("the service id parses"),
        address: "127.0.0.1:8000".parse().expect("the address parses"),
        failure_domain: "hall".parse().expect("the failure domain parses"),
        version: "v1".parse().expect("the version parses"),
        slots: 8,
        started: Some(Millis(started)),
        is_leaving,
        cold_for: Millis(0),
    }
}

fn ids(table: &EndpointTable) -> Vec<(String, bool)> {
    table.records().map(|r| (r.id.to_string(), r.is_leaving)).collect()
}

#[test]
fn positions_are_ordered_by_era_and_without_an_era_are_revisions() {
    assert_eq!(position(0, 4_711), 4_711);
    assert!(position(1, 4_711) < position(2, 12));
    assert!(position(2, 12) < position(2, 13));
    let parsed = StorePosition::from_packed(position(3, 99));
    assert_eq!((parsed.era, parsed.revision, parsed.to_string()), (3, 99, "3:99".to_string()));
}

/// Guards against sending to endpoints that the copy lists as ready, and dropping those that it lacks.
#[test]
fn the_list_of_a_restored_store_undoes_nothing_that_endpoints_wrote() {
    let mut table = EndpointTable::default();
    let [leaving, ended, young] = ["leaving", "ended", "young"];
    table.replace(
        Millis(1_000),
        vec![record(leaving, true, 1), record(ended, false, 1), record(young, false, 1)],
    );
    table.remove(Millis(50_000), &ended.parse::<EndpointId>().expect("the endpoint id parses"));

    table.mark_restored(NOW);
    table.replace(NOW, vec![record(leaving, false, 1), record(ended, false, 1)]);
    let after_list = ids(&table);
    table.sweep(NOW + REWRITE_TIME);

    let expected = [(leaving.to_string(), true), (young.to_string(), false)];
    assert_eq!(after_list, expected);
    assert_eq!(ids(&table), expected[..1]);
}

/// Guards against keeping endpoints out of use for good that wrote their entries again before the list was read.
#[test]
fn endpoints_that_a_restored_store_still_lists_as_ready_are_used_after_a_while() {
    let mut table = EndpointTable::default();
    let [returned, ended, leaving] = ["returned", "ended", "leaving"];
    table.replace(Millis(1_000), [returned, ended, leaving].map(|id| record(id, true, 1)).into());
    table.remove(Millis(50_000), &id(ended));
    let listed = || vec![record(returned, false, 1), record(ended, false, 1)];

    table.mark_restored(NOW);
    table.replace(NOW, [listed(), vec![record(leaving, false, 1)]].concat());
    table.upsert(record(leaving, true, 1));
    let early = table.take_confirmed(NOW + REWRITE_TIME);
    let late = table.take_confirmed(NOW + REMOVAL_TIME);

    assert_eq!(early, []);
    let by_id = |records: Vec<EndpointRecord>| records.into_iter().map(|r| (r.id.clone(), r));
    assert_eq!(
        by_id(late).collect::<BTreeMap<_, _>>(),
        by_id(listed()).collect::<BTreeMap<_, _>>()
    );
}

/// Guards against using endpoints that leave or have ended, since an outage kept them from saying so in time.
#[test]
fn an_outage_after_the_restoration_gives_endpoints_the_whole_time_again() {
    let returned_at = NOW + Millis(10_000);
    let mut table = EndpointTable::default();
    table.replace(Millis(1_000), vec![record("leaving", true, 1)]);
    table.mark_restored(NOW);
    table.replace(NOW, vec![record("leaving", false, 1)]);

    table.mark_store_unreachable();
    table.mark_store_reachable(returned_at);
    for ms in (0..=5_000).step_by(1_000) {
        table.record_store_read(returned_at + Millis(ms));
    }
    let early = table.take_confirmed(returned_at + Millis(5_000));
    let late = table.take_confirmed(returned_at + REMOVAL_TIME);

    assert_eq!((early.len(), late.len()), (0, 1));
}

/// Guards against avoiding an endpoint for good whose return a host learns from a list.
#[test]
fn an_endpoint_that_a_list_shows_to_have_returned_is_open() {
    let freshness = freshness_confirmed_at(0);
    let mut state = state_with_orders(&freshness);
    let leaving = EndpointRecord { is_leaving: true, ..endpoint_record("e1", "v1") };
    let listed = vec![endpoint_record("e1", "v1"), endpoint_record("e2", "v2")];

    view_after(&mut state, vec![Input::Endpoint(leaving)], &freshness);
    let view = view_after(&mut state, vec![Input::EndpointList(listed)], &freshness);

    let endpoint = &view.services[&id("llm")].stable_pool.endpoints()[0];
    assert!(endpoint.state.is_open());
}

#[test]
fn an_endpoint_that_started_anew_is_used_although_its_last_run_had_left() {
    let mut table = EndpointTable::default();
    table.replace(Millis(1_000), vec![record("a", true, 1), record("b", false, 1)]);
    table.remove(Millis(2_000), &"b".parse::<EndpointId>().expect("the endpoint id parses"));

    table.mark_restored(NOW);
    table.replace(NOW, vec![record("a", false, 2), record("b", false, 2)]);

    assert_eq!(ids(&table), [("a".to_string(), false), ("b".to_string(), false)]);
}

/// Guards against sending to the address of an earlier incarnation, which the copy lists.
#[test]
fn the_copy_does_not_replace_an_incarnation_that_started_later() {
    let address = "127.0.0.1:8001".parse().expect("the address parses");
    let known = EndpointRecord { address, ..record("a", false, 2) };
    let mut table = EndpointTable::default();
    table.replace(Millis(1_000), vec![known.clone()]);

    table.mark_restored(NOW);
    table.replace(NOW, vec![record("a", false, 1)]);

    assert_eq!(table.get(&known.id), Some(&known));
    assert_eq!(table.take_confirmed(NOW + REMOVAL_TIME), [record("a", false, 1)]);
}

fn order(revision: u64, state: Option<RolloutState>) -> RolloutOrder {
    let version = || "v2".parse().expect("the version parses");
    RolloutOrder {
        service: "desk".parse().expect("the service id parses"),
        version: version(),
        duration: Millis(60_000),
        revision,
        progress: state.map(|state| RolloutProgress {
            state,
            version: version(),
            elapsed: Millis(5_000),
            sample: Some(0.1),
        }),
    }
}

/// Guards against taking up a roll-out again whose verdict was written after the copy was made.
#[test]
fn a_verdict_that_the_restored_store_lacks_stays_in_force_and_is_written_again() {
    for (state, phase) in
        [(RolloutState::RolledBack, Phase::Barred), (RolloutState::Completed, Phase::Done)]
    {
        let decided = order(position(1, 90), Some(state));
        let mut canary = Canary::new(NOW, decided, DEFAULT_EXPOSURE_BOUND);

        canary.update(NOW, order(position(2, 40), Some(RolloutState::InProgress)));
        let write = canary.take_due_write(NOW, Millis(0), Millis(500), 7);

        assert_eq!(canary.phase(), phase);
        let write = write.expect("the verdict is written again");
        assert_eq!((write.progress.state, write.revision), (state, position(2, 40)));
    }
}

/// Returns the state of a host that knows one endpoint of either version and a roll-out, while domain `b` is
/// evacuated.
fn state_with_orders(freshness: &Freshness) -> FleetState {
    let mut state = fleet_state(2);
    let endpoints = vec![endpoint_record("e1", "v1"), endpoint_record("e2", "v2")];
    for input in [
        Input::Catalog(Arc::new(catalog(3))),
        Input::EndpointList(endpoints),
        caught_up_input(FeedKind::Endpoints, 10),
        rollout_list(vec![rollout_order(9, None)]),
        caught_up_input(FeedKind::Rollouts, 10),
        Input::EvacuationList([id("b")].into()),
        caught_up_input(FeedKind::Evacuations, 10),
    ] {
        state.handle_input(Millis(0), input, freshness);
    }
    state
}

/// Applies inputs and returns the last view that follows from them.
fn view_after(state: &mut FleetState, inputs: Vec<Input>, freshness: &Freshness) -> Arc<FleetView> {
    let mut actions = Vec::new();
    for (n, input) in inputs.into_iter().chain([Input::Tick]).enumerate() {
        actions.extend(state.handle_input(Millis(2_000 + n as u64 * 2_000), input, freshness));
    }
    last_published_view(&actions).expect("a view is published")
}

/// Guards against versions that wait for roll-outs once more when endpoints known to have ended are used again.
#[test]
fn versions_of_endpoints_that_are_used_after_a_while_serve_at_once() {
    let freshness = freshness_confirmed_at(0);
    let mut state = state_without_rollout(2, &freshness);
    let endpoints = [("o1", "v1"), ("o2", "v1"), ("n1", "v2"), ("n2", "v2")];
    let removed = endpoints.map(|(name, _)| (1_000, Input::EndpointRemoved(id(name))));
    let listed = endpoints.map(|(name, version)| endpoint_record(name, version));
    let restored = [
        (2_000, Input::Tick),
        (3_000, Input::StoreRestored(FeedKind::Endpoints)),
        (3_000, Input::EndpointList(listed.into())),
        (3_000, caught_up_input(FeedKind::Endpoints, 20)),
        (3_000, caught_up_input(FeedKind::Rollouts, 20)),
        (4_000, Input::Tick),
        (3_000 + REMOVAL_TIME.0, Input::Tick),
    ];

    let inputs = removed.into_iter().chain(restored);
    let actions = inputs.map(|(at, input)| state.handle_input(Millis(at), input, &freshness));
    let view = last_published_view(&actions.last().expect("inputs were handled"));

    let view = view.expect("a view is published");
    assert_eq!(view.services[&id("llm")].stable_pool.endpoints().len(), endpoints.len());
}

/// Guards against withholding a version for good by an unreadable order that a list shows to be gone.
#[test]
fn a_version_serves_once_a_list_lacks_the_unreadable_order() {
    let freshness = freshness_confirmed_at(0);
    let mut state = state_with_orders(&freshness);
    let inputs = vec![
        Input::RolloutRemoved(id("llm")),
        Input::RolloutUnreadable(id("llm")),
        Input::Endpoint(endpoint_record("e3", "v3")),
        caught_up_input(FeedKind::Endpoints, 12),
        rollout_list(Vec::new()),
        caught_up_input(FeedKind::Rollouts, 20),
    ];

    let view = view_after(&mut state, inputs, &freshness);

    let endpoints = view.services[&id("llm")].stable_pool.endpoints();
    assert!(endpoints.iter().any(|e| e.id == id("e3")));
}

/// Guards against taking back orders because the copy was made before they were given.
#[test]
fn orders_that_the_copy_lacks_stay_in_force_and_later_lists_count() {
    let freshness = freshness_confirmed_at(0);
    let mut state = state_with_orders(&freshness);
    let lists = || vec![rollout_list(Vec::new()), Input::EvacuationList([].into())];
    let restored = [FeedKind::Rollouts, FeedKind::Evacuations].map(Input::StoreRestored);

    let view = view_after(&mut state, restored.into_iter().chain(lists()).collect(), &freshness);
    let is_rolled_out = |view: &FleetView| view.services[&id("llm")].canary.is_some();
    let after_copy = (is_rolled_out(&view), view.evacuated_endpoints.contains_key(&id("b")));
    let view = view_after(&mut state, lists(), &freshness);
    let after_list = (is_rolled_out(&view), view.evacuated_endpoints.contains_key(&id("b")));

    assert_eq!((after_copy, after_list), ((true, true), (false, false)));
}

/// Guards against roll-outs that go on for good since their order was removed before the restored store was read.
#[test]
fn an_order_removed_before_the_restored_store_was_read_ends() {
    let freshness = freshness_confirmed_at(0);
    let mut state = state_with_orders(&freshness);
    let restored = [Input::StoreRestored(FeedKind::Rollouts), rollout_list(Vec::new())];
    let endpoints = vec![endpoint_record("e1", "v1"), endpoint_record("e2", "v2")];

    let minute = (0..30).map(|_| Input::Tick);
    let inputs = restored.into_iter().chain(minute).chain([Input::EndpointList(endpoints)]);
    let view = view_after(&mut state, inputs.collect(), &freshness);

    assert!(view.services[&id("llm")].canary.is_none());
}

/// Guards against missing evacuations for good that started or ended before the restored store was read.
#[test]
fn evacuations_that_a_restored_store_lists_are_in_force_after_a_while() {
    let freshness = freshness_confirmed_at(0);
    let mut state = state_with_orders(&freshness);
    let mut evacuated_after = |inputs: Vec<(u64, Input)>| {
        let inputs = inputs.into_iter();
        let actions = inputs
            .flat_map(|(at, input)| state.handle_input(NOW + Millis(at), input, &freshness))
            .collect::<Vec<_>>();
        let view = last_published_view(&actions).expect("a view is published");
        view.evacuated_endpoints.keys().map(|domain| domain.to_string()).collect::<Vec<_>>()
    };

    let early = evacuated_after(vec![
        (0, Input::StoreRestored(FeedKind::Evacuations)),
        (0, Input::EvacuationList([id("a"), id("c")].into())),
        (1_000, Input::EvacuationStarted(id("d"))),
        (2_000, Input::EvacuationEnded(id("c"))),
        (REWRITE_TIME.0, Input::Tick),
    ]);
    let late = evacuated_after(vec![(REMOVAL_TIME.0, Input::Tick)]);

    assert_eq!((early, late), (vec!["b".into(), "d".into()], vec!["a".into(), "d".into()]));
}

/// Guards against keeping a revoked key in force because the copy, which lacks its removal, confirms the older
/// configuration.
#[test]
fn a_read_proves_no_configuration_while_another_host_has_a_newer_one() {
    let freshness = freshness_confirmed_at(0);
    let mut state = state_with_orders(&freshness);
    let is_confirmed = |state: &mut FleetState, at: u64| {
        let read = Input::ConfigConfirmed(Millis(at));
        let actions = state.handle_input(Millis(at), read, &freshness);
        actions.iter().any(|action| matches!(action, Action::ConfigConfirmed(_)))
    };
    let proof = Some(ProofReport { version: 4, age_ms: 0 });
    let newer = message_from(3, PeerUpdate { proof, ..PeerUpdate::default() });

    let before = is_confirmed(&mut state, 100);
    state.handle_input(Millis(200), Input::PeerMessageReceived(Box::new(newer)), &freshness);
    let outdated = is_confirmed(&mut state, 300);
    state.handle_input(Millis(400), Input::Catalog(Arc::new(catalog(4))), &freshness);
    let after = is_confirmed(&mut state, 500);

    assert_eq!((before, outdated, after), (true, false, true));
}
