//! Decisions of the traffic plane, on a clock that the tests control.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use tidetrack_core::codes::Code;
use tidetrack_core::ids::{EndpointId, ServiceId, VersionName};
use tidetrack_core::placement::PoolView;
use tidetrack_core::traffic::admission::{admit, AdmissionRequest};
use tidetrack_core::traffic::budget::{AttemptBudget, FurtherAttempt};
use tidetrack_core::traffic::canary::{
    Canary, Phase, ReleaseTrack, RolloutOrder, RolloutState, DEFAULT_EXPOSURE_BOUND,
};
use tidetrack_core::traffic::control::{Action, FleetState, Input};
use tidetrack_core::traffic::endpoints::{EndpointRecord, EndpointTable};
use tidetrack_core::traffic::exposure::{Exposure, ExposureBound, SessionHash, MAX_SAMPLE_SHARE};
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::judge::{AttemptOutcome, ObservedResponse};
use tidetrack_core::traffic::peers::{PeerMessage, PeerTable, PeerUpdate, ProofReport};
use tidetrack_core::units::{Millis, Share};

use support::{
    catalog, endpoint_record, fleet_state, freshness_confirmed_at, host, id, last_published_view,
    message_from, rollout_order, rollout_progress, state_with_rollout, written_states,
    REVOCATION_BOUND,
};

fn admission_request<'a>(path: &'a str, key: Option<&'a str>) -> AdmissionRequest<'a> {
    AdmissionRequest { hostname: "shop.example:80", path, key, retired_keys: None }
}

#[test]
fn the_longest_prefix_matches_and_the_workspace_rank_overrides_the_route_rank() {
    let catalog = catalog(1);

    let request = admission_request("/a/books/7", Some("north-key"));
    let admitted =
        admit(Some(&catalog), &freshness_confirmed_at(0), Millis(10), REVOCATION_BOUND, request);

    let admitted = admitted.expect("an admitted request with a valid key");
    assert_eq!(admitted.route.name.as_str(), "books");
    assert_eq!(admitted.rank(), 0);
}

#[test]
fn a_host_without_configuration_refuses_with_a_retry_delay() {
    let refused = admit(
        None,
        &Freshness::default(),
        Millis(10),
        REVOCATION_BOUND,
        admission_request("/a/", None),
    );

    let refused = refused.expect_err("a call without configuration is refused");
    assert_eq!(refused.code, Code::NotReady);
    assert!(refused.retry_after_ms.is_some());
}

#[test]
fn with_an_old_proof_known_and_unknown_keys_and_routes_are_refused_as_stale() {
    let catalog = catalog(1);
    let freshness = freshness_confirmed_at(1_000);
    let admit_at = |now: u64, path, key| {
        admit(
            Some(&catalog),
            &freshness,
            Millis(now),
            REVOCATION_BOUND,
            admission_request(path, key),
        )
        .map(|a| a.route)
    };

    let with_fresh_proof = admit_at(4_000, "/a/", Some("north-key"));
    let with_stale_proof = admit_at(4_900, "/a/", Some("north-key"))
        .expect_err("a refusal because the proof is too old");
    let unknown_key =
        admit_at(4_900, "/a/", Some("other-key")).expect_err("a refusal of a key that may be new");
    let unknown_route = admit_at(4_900, "/new/", Some("north-key"))
        .expect_err("a refusal of a route that may be new");

    assert!(with_fresh_proof.is_ok());
    assert_eq!(
        (with_stale_proof.code, unknown_key.code, unknown_route.code),
        (Code::Stale, Code::Stale, Code::Stale)
    );
    assert_eq!(
        admit_at(1_500, "/a/", Some("x")).expect_err("a call with an unknown key is refused").code,
        Code::NoKey
    );
    assert_eq!(
        admit_at(1_500, "/new/", None).expect_err("a call to an unknown route is refused").code,
        Code::UnknownRoute
    );
}

#[test]
fn further_attempts_stay_within_the_ratio_in_every_window() {
    let mut budget = AttemptBudget::new(0.9, Millis(10_000));
    let mut first_attempts: Vec<u64> = Vec::new();
    let mut further_attempts: Vec<u64> = Vec::new();

    // A minute with few failures, and a burst of failures from 20 s to 25 s.
    for t in 0..60_000u64 {
        if t % 20 == 0 {
            budget.record_first(Millis(t));
            first_attempts.push(t);
        }
        let wants_attempt = (20_000..25_000).contains(&t) || t % 40 == 0;
        if wants_attempt && budget.try_acquire(Millis(t), FurtherAttempt::Failure) {
            further_attempts.push(t);
        }
    }

    for start in (0..50_000).step_by(500) {
        let count_in_window = |times: &[u64]| {
            times.iter().filter(|t| (start..start + 10_000).contains(*t)).count() as f64
        };
        assert!(
            count_in_window(&further_attempts) <= 0.9 * count_in_window(&first_attempts) + 10.0,
            "window from {start}"
        );
    }
}

#[test]
fn second_opinions_leave_some_further_attempts_for_failures() {
    let mut budget = AttemptBudget::new(0.9, Millis(10_000));
    (0..100).for_each(|_| budget.record_first(Millis(0)));

    while budget.try_acquire(Millis(1), FurtherAttempt::SecondOpinion) {}

    assert!(budget.try_acquire(Millis(1), FurtherAttempt::Failure));
}

fn endpoint_ids(table: &EndpointTable) -> Vec<String> {
    table.records().map(|r| r.id.to_string()).collect()
}

#[test]
fn entries_that_expired_during_a_store_outage_are_kept_for_a_grace_period() {
    let mut table = EndpointTable::default();
    table.replace(Millis(0), vec![endpoint_record("e1", "v1"), endpoint_record("e2", "v1")]);

    table.mark_store_unreachable();
    table.mark_store_reachable(Millis(10_000));
    table.replace(Millis(10_000), vec![endpoint_record("e1", "v1")]);
    table.sweep(Millis(11_500));
    let ids_in_grace_period = endpoint_ids(&table);
    table.sweep(Millis(12_500));

    assert_eq!(ids_in_grace_period, ["e1", "e2"]);
    assert_eq!(endpoint_ids(&table), ["e1"]);
}

#[test]
fn entries_removed_while_the_store_is_reachable_are_dropped_at_once() {
    let mut table = EndpointTable::default();
    table.replace(Millis(0), vec![endpoint_record("e1", "v1"), endpoint_record("e2", "v1")]);

    table.remove(Millis(100), &id("e1"));
    table.replace(Millis(200), vec![]);

    assert!(endpoint_ids(&table).is_empty());
}

#[test]
fn a_leaving_entry_is_not_kept_through_an_outage() {
    let mut table = EndpointTable::default();
    let leaving = EndpointRecord { is_leaving: true, ..endpoint_record("e1", "v1") };
    table.replace(Millis(0), vec![leaving]);

    table.mark_store_unreachable();
    table.remove(Millis(100), &id("e1"));

    assert!(endpoint_ids(&table).is_empty());
}

/// The cutover is late enough that the sample before it and all requests after it stay within the
/// exposure bound. A part of the bound is reserved for attempts that are still running on the
/// canary version.
#[test]
fn a_rollout_cuts_over_within_the_exposure_bound_and_completes_before_its_deadline() {
    let mut canary = Canary::new(Millis(0), rollout_order(1, None), DEFAULT_EXPOSURE_BOUND);
    let view = canary.view(Millis(500), 2);
    let mut revision = 1;
    let mut state_writes = Vec::new();

    for t in (0..20_000).step_by(100) {
        if let Some(write) = canary.take_due_write(Millis(t), Millis(50), Millis(700), 2) {
            assert_eq!(write.revision, revision);
            revision += 1;
            state_writes.push((t, write.progress.state));
            canary.update(Millis(t), rollout_order(revision, Some(write.progress)));
        }
    }

    let completed_at = state_writes
        .iter()
        .find(|(_, s)| *s == RolloutState::Completed)
        .expect("the roll-out is completed")
        .0;
    let cutover_at = view.cutover_at.0;
    let exposed =
        (view.initial_sample * cutover_at as f64 + (20_000 - cutover_at) as f64) / 20_000.0;
    assert!((0.11..0.13).contains(&exposed), "exposed share: {exposed}");
    assert!(
        (cutover_at + 500..19_600).contains(&completed_at),
        "cutover at {cutover_at}, {state_writes:?}"
    );
    assert_eq!((view.phase_at(Millis(cutover_at)), canary.phase()), (Phase::Moved, Phase::Done));
    assert!(
        canary.has_cut_over(Millis(cutover_at), 2) && state_writes.len() <= 4,
        "{state_writes:?}"
    );
}

/// Guards against a completion, with which the old endpoints stop, before the version has served.
#[test]
fn a_version_whose_endpoints_come_after_the_deadline_is_completed_only_after_it_has_served() {
    let mut canary = Canary::new(Millis(0), rollout_order(1, None), DEFAULT_EXPOSURE_BOUND);
    canary.record_availability(Millis(0), false);

    let write = canary.take_due_write(Millis(25_000), Millis(0), Millis(0), 2);
    let is_due_without_endpoints = canary.is_completion_due(Millis(30_000), Millis(0), 2);
    canary.record_availability(Millis(30_000), true);
    let is_due_at_once = canary.is_completion_due(Millis(30_100), Millis(0), 2);
    let is_due_later = canary.is_completion_due(Millis(33_000), Millis(0), 2);

    assert_eq!(write.map(|w| w.progress.state), Some(RolloutState::InProgress));
    assert_eq!((is_due_without_endpoints, is_due_at_once, is_due_later), (false, false, true));
}

#[test]
fn the_configured_bound_determines_the_sample_and_the_cutover_time() {
    let bound_with_share = |share| ExposureBound { share: Share(share), ..DEFAULT_EXPOSURE_BOUND };
    let view = |share| {
        Canary::new(Millis(0), rollout_order(1, None), bound_with_share(share)).view(Millis(0), 2)
    };

    let (small_share, large_share) = (view(0.05), view(0.3));

    assert!(
        small_share.initial_sample < 0.021 && small_share.cutover_at > Millis(19_500),
        "{small_share:?}"
    );
    assert!(
        large_share.initial_sample <= MAX_SAMPLE_SHARE && large_share.cutover_at < Millis(16_500),
        "{large_share:?}"
    );
}

#[test]
fn a_host_that_starts_during_a_rollout_resumes_from_the_stored_progress() {
    let stored_progress = rollout_progress(RolloutState::InProgress, 15_000);

    let mut canary = Canary::new(
        Millis(100_000),
        rollout_order(7, Some(stored_progress)),
        DEFAULT_EXPOSURE_BOUND,
    );
    let write = canary
        .take_due_write(Millis(104_600), Millis(0), Millis(700), 2)
        .expect("the write of the completion is due");

    assert_eq!(write.progress.state, RolloutState::Completed);
}

#[test]
fn progress_of_an_earlier_order_is_ignored() {
    let mut earlier_progress = rollout_progress(RolloutState::Completed, 15_000);
    earlier_progress.version = id("v1");

    let canary =
        Canary::new(Millis(0), rollout_order(7, Some(earlier_progress)), DEFAULT_EXPOSURE_BOUND);

    assert_eq!(canary.phase(), Phase::Sample);
}

/// Returns a session whose hash fraction is in the canary sample.
fn session_in_initial_sample() -> SessionHash {
    let mut sessions = (0..).map(|i| SessionHash::new(Some(&format!("s{i}")), "r"));
    sessions.find(|s| s.hash_fraction < 0.01).expect("one session in a hundred has such a fraction")
}

#[test]
fn an_active_session_stays_on_the_stable_version_on_another_host_too() {
    let (first_host, second_host) = (Exposure::default(), Exposure::default());
    let canary =
        Canary::new(Millis(0), rollout_order(1, None), DEFAULT_EXPOSURE_BOUND).view(Millis(0), 2);
    let session = session_in_initial_sample();
    let track_at = |e: &Exposure, now| {
        e.choose_track(Millis(now), session, Some(&canary), true, Millis(5_000))
    };

    let before_rollout = first_host.choose_track(Millis(0), session, None, false, Millis(5_000));
    second_host.hold_reported(Millis(300), &first_host.reports(Millis(300), 1.0));
    let on_second_host = track_at(&second_host, 2_000);
    let after_hold_time = track_at(&second_host, 9_000);

    assert_eq!(
        (before_rollout, on_second_host, after_hold_time),
        (ReleaseTrack::Stable, ReleaseTrack::Stable, ReleaseTrack::Canary)
    );
}

#[test]
fn the_canary_share_of_a_host_is_bounded_for_any_hash_fractions() {
    let exposure = Exposure::default();
    let canary =
        Canary::new(Millis(0), rollout_order(1, None), DEFAULT_EXPOSURE_BOUND).view(Millis(0), 2);

    // Requests without a session, with a hash fraction that always selects the canary version.
    let session = SessionHash { session: None, hash_fraction: 0.0 };
    let canary_requests = (0..1_000)
        .filter(|_| {
            exposure.choose_track(Millis(5_000), session, Some(&canary), true, Millis(5_000))
                == ReleaseTrack::Canary
        })
        .inspect(|_| exposure.record_canary_attempt(false))
        .count();

    assert!(canary_requests <= 150, "{canary_requests} canary requests");
}

fn observed_response(endpoint: &str, is_canary: bool, has_failed: bool) -> Input {
    Input::ResponseObserved(ObservedResponse {
        service: id("llm"),
        canary_version: is_canary.then(|| id::<VersionName>("v2")),
        endpoint: id(endpoint),
        is_load_concentrated: false,
        route: id("all"),
        model: None,
        outcome: if has_failed { AttemptOutcome::Failed } else { AttemptOutcome::Complete },
        has_failed_before: false,
        is_stream: true,
        load: 0.0,
        head_ms: Some(50.0),
        gap_ms: None,
    })
}

#[test]
fn a_bad_version_is_barred_at_once_and_its_rollback_is_written() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_with_rollout(2, &freshness);
    (0..40).for_each(|_| {
        drop(fleet_state.handle_input(
            Millis(10),
            observed_response("o1", false, false),
            &freshness,
        ))
    });

    let mut actions = Vec::new();
    for i in 0..8 {
        let endpoint = if i % 2 == 0 { "n1" } else { "n2" };
        actions.extend(fleet_state.handle_input(
            Millis(20),
            observed_response(endpoint, true, i % 2 == 0 || i > 2),
            &freshness,
        ));
    }

    assert!(written_states(&actions).contains(&RolloutState::RolledBack));
    let view = last_published_view(&actions).expect("a new view is published");
    let service = &view.services[&id::<ServiceId>("llm")];
    assert!(service.is_barred() && service.canary_pool.endpoints().is_empty());
}

#[test]
fn one_bad_endpoint_does_not_bar_a_version() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_with_rollout(2, &freshness);

    let mut actions = Vec::new();
    for _ in 0..10 {
        actions.extend(fleet_state.handle_input(
            Millis(20),
            observed_response("n1", true, true),
            &freshness,
        ));
        actions.extend(fleet_state.handle_input(
            Millis(20),
            observed_response("n2", true, false),
            &freshness,
        ));
    }

    assert!(!written_states(&actions).contains(&RolloutState::RolledBack));
}

#[test]
fn a_canary_version_as_faulty_as_the_stable_one_is_not_barred() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_with_rollout(2, &freshness);

    let mut actions = Vec::new();
    for i in 0..60 {
        let endpoint = if i % 2 == 0 { "n1" } else { "n2" };
        actions.extend(fleet_state.handle_input(
            Millis(20),
            observed_response("o1", false, i % 5 == 0),
            &freshness,
        ));
        actions.extend(fleet_state.handle_input(
            Millis(20),
            observed_response(endpoint, true, i % 5 == 0),
            &freshness,
        ));
    }

    assert!(!written_states(&actions).contains(&RolloutState::RolledBack));
}

/// Runs the hosts in steps of 50 ms and delivers their messages without loss. Returns the other
/// actions of each host.
fn run_message_rounds(
    hosts: &mut [(FleetState, Freshness)],
    from: u64,
    to: u64,
) -> Vec<Vec<Action>> {
    let mut actions_by_host: Vec<Vec<Action>> = hosts.iter().map(|_| Vec::new()).collect();
    for now in (from..to).step_by(50) {
        let mut outgoing: Vec<(SocketAddr, PeerMessage)> = Vec::new();
        for (i, (fleet_state, freshness)) in hosts.iter_mut().enumerate() {
            for action in fleet_state.handle_input(Millis(now), Input::Tick, freshness) {
                match action {
                    Action::SendMessages(messages) => outgoing.extend(messages),
                    action => actions_by_host[i].push(action),
                }
            }
        }
        for (address, message) in outgoing {
            let to = (1..=hosts.len() as u32).position(|n| host(n).1 == address);
            let Some(to) = to else { continue };
            let (fleet_state, freshness) = &mut hosts[to];
            let actions = fleet_state.handle_input(
                Millis(now + 1),
                Input::PeerMessageReceived(Box::new(message)),
                freshness,
            );
            actions_by_host[to].extend(actions);
        }
    }
    actions_by_host
}

#[test]
fn hosts_bar_a_version_on_their_combined_tallies() {
    let freshness = || freshness_confirmed_at(0);
    let mut hosts: Vec<(FleetState, Freshness)> =
        (1..=5).map(|n| (state_with_rollout(n, &freshness()), freshness())).collect();
    run_message_rounds(&mut hosts, 0, 2_000);

    // Each host observes two responses, one of which failed: too few for a verdict by one host.
    let mut actions_alone = Vec::new();
    for (i, (fleet_state, freshness)) in hosts.iter_mut().enumerate() {
        let endpoint = if i % 2 == 0 { "n1" } else { "n2" };
        for failed in [true, false] {
            let input = observed_response(endpoint, true, failed);
            actions_alone.extend(fleet_state.handle_input(Millis(2_001), input, freshness));
        }
    }
    let actions_after_rounds = run_message_rounds(&mut hosts, 2_050, 3_500);

    assert!(!written_states(&actions_alone).contains(&RolloutState::RolledBack));
    let has_barred_version = |actions: &Vec<Action>| {
        last_published_view(actions)
            .is_some_and(|v| v.services[&id::<ServiceId>("llm")].is_barred())
    };
    assert!(actions_after_rounds.iter().all(has_barred_version));
}

#[test]
fn a_relayed_proof_never_appears_younger_than_it_is() {
    let mut peer_table = PeerTable::new(id("h1"), host(1).1, id("hall"), vec![]);
    let update = PeerUpdate {
        proof: Some(ProofReport { version: 3, age_ms: 400 }),
        ..PeerUpdate::default()
    };
    let message_with_echo = |echo_ms| PeerMessage { echo_ms, ..message_from(2, update.clone()) };

    let without_echo = peer_table.receive(Millis(9_000), message_with_echo(None));
    // The message echoes a message sent at 8,000 ms. The time that it was on its way is unknown, so the
    // age of the proof is subtracted from 8,000 ms.
    let proof = peer_table
        .receive(Millis(9_500), message_with_echo(Some(8_000)))
        .expect("the message gives a proof");

    assert_eq!(without_echo, None);
    assert_eq!((proof.version, proof.began), (3, Millis(7_600)));
}

#[test]
fn a_proof_of_another_version_is_ignored() {
    let mut hosts = vec![
        (state_with_rollout(1, &freshness_confirmed_at(0)), freshness_confirmed_at(0)),
        (state_with_rollout(2, &freshness_confirmed_at(0)), freshness_confirmed_at(0)),
    ];
    let newer = Input::Catalog(Arc::new(catalog(4)));
    let freshness = freshness_confirmed_at(0);
    hosts[0].0.handle_input(Millis(1), newer, &freshness);

    let actions = run_message_rounds(&mut hosts, 0, 3_000);

    let confirms_config =
        |a: &Vec<Action>| a.iter().any(|a| matches!(a, Action::ConfigConfirmed(_)));
    assert!(!confirms_config(&actions[0]) && !confirms_config(&actions[1]));
}

#[test]
fn a_few_provers_confirm_the_configuration_for_all_hosts() {
    let freshness = || freshness_confirmed_at(0);
    let mut hosts: Vec<(FleetState, Freshness)> =
        (1..=20).map(|n| (state_with_rollout(n, &freshness()), freshness())).collect();

    let actions = run_message_rounds(&mut hosts, 0, 4_000);

    let provers = hosts.iter().filter(|(b, _)| b.is_prover()).count();
    assert_eq!(provers, 3);
    let confirms_config =
        |a: &Vec<Action>| a.iter().any(|a| matches!(a, Action::ConfigConfirmed(_)));
    assert!(actions.iter().all(confirms_config), "a host has received no proof");
}

#[test]
fn messages_per_round_do_not_grow_with_the_fleet() {
    let messages_per_round = |n: u32| {
        let mut peer_table = PeerTable::new(id("h0"), host(0).1, id("hall"), vec![]);
        for i in 1..=n {
            peer_table.receive(Millis(0), message_from(i, PeerUpdate::default()));
        }
        peer_table.round_messages(Millis(1), &PeerUpdate::default()).len()
    };

    assert_eq!((messages_per_round(8), messages_per_round(539)), (8, 8));
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = fleet_state(2);

    let after_newer =
        fleet_state.handle_input(Millis(0), Input::Catalog(Arc::new(catalog(9))), &freshness);
    let after_older =
        fleet_state.handle_input(Millis(1), Input::Catalog(Arc::new(catalog(8))), &freshness);

    let published_version =
        |actions: &[Action]| last_published_view(actions)?.catalog.as_ref().map(|c| c.version);
    assert_eq!((published_version(&after_newer), published_version(&after_older)), (Some(9), None));
}

#[test]
fn after_completion_only_the_canary_version_serves() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_with_rollout(2, &freshness);
    let completed = rollout_progress(RolloutState::Completed, 18_000);

    let actions = fleet_state.handle_input(
        Millis(9),
        Input::Rollout(rollout_order(5, Some(completed))),
        &freshness,
    );

    let view = last_published_view(&actions).expect("a new view is published");
    let service = &view.services[&id::<ServiceId>("llm")];
    let canary_ids: Vec<&EndpointId> =
        service.canary_pool.endpoints().iter().map(|e| &e.id).collect();
    assert!(service.stable_pool.endpoints().is_empty());
    assert_eq!(canary_ids.len(), 2);
}

#[test]
fn a_barred_version_stays_barred_during_the_next_rollout() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_with_rollout(2, &freshness);
    let barred = rollout_progress(RolloutState::RolledBack, 4_000);
    fleet_state.handle_input(
        Millis(4_000),
        Input::Rollout(rollout_order(5, Some(barred))),
        &freshness,
    );

    let next_order = RolloutOrder { version: id("v3"), ..rollout_order(6, None) };
    fleet_state.handle_input(
        Millis(4_100),
        Input::Endpoint(endpoint_record("x1", "v3")),
        &freshness,
    );
    let actions = fleet_state.handle_input(Millis(4_200), Input::Rollout(next_order), &freshness);

    let view = last_published_view(&actions).expect("a new view is published");
    let service = &view.services[&id::<ServiceId>("llm")];
    let pool_endpoint_ids = |pool: &PoolView| -> Vec<String> {
        pool.endpoints().iter().map(|e| e.id.to_string()).collect()
    };
    assert_eq!(pool_endpoint_ids(&service.stable_pool), ["o1", "o2"]);
    assert_eq!(pool_endpoint_ids(&service.canary_pool), ["x1"]);
}

#[test]
fn a_barred_version_may_be_ordered_again() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_with_rollout(2, &freshness);
    let barred = rollout_progress(RolloutState::RolledBack, 4_000);
    fleet_state.handle_input(
        Millis(4_000),
        Input::Rollout(rollout_order(5, Some(barred))),
        &freshness,
    );
    let intermediate_order = RolloutOrder { version: id("v3"), ..rollout_order(6, None) };
    fleet_state.handle_input(Millis(4_100), Input::Rollout(intermediate_order), &freshness);

    let actions =
        fleet_state.handle_input(Millis(4_200), Input::Rollout(rollout_order(7, None)), &freshness);

    let view = last_published_view(&actions).expect("a new view is published");
    assert_eq!(view.services[&id::<ServiceId>("llm")].canary_pool.endpoints().len(), 2);
}

#[test]
fn a_superseded_version_is_forgotten_once_no_endpoint_has_run_it_for_a_while() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = state_with_rollout(2, &freshness);
    let next_order = RolloutOrder { version: id("v3"), ..rollout_order(6, None) };
    fleet_state.handle_input(Millis(4_200), Input::Rollout(next_order), &freshness);
    let reported_barred_count = |fleet_state: &mut FleetState, at: u64| {
        let actions = fleet_state.handle_input(Millis(at), Input::Tick, &freshness);
        let first_message = actions.iter().find_map(|a| match a {
            Action::SendMessages(messages) => messages.first(),
            _ => None,
        });
        first_message.expect("a message goes to another host").1.update.barred_versions.len()
    };

    let while_endpoints_run = reported_barred_count(&mut fleet_state, 70_000);
    fleet_state.handle_input(Millis(70_100), Input::EndpointRemoved(id("n1")), &freshness);
    fleet_state.handle_input(Millis(70_100), Input::EndpointRemoved(id("n2")), &freshness);
    let soon_after_removal = reported_barred_count(&mut fleet_state, 75_000);
    let long_after_removal = reported_barred_count(&mut fleet_state, 131_000);

    assert_eq!((while_endpoints_run, soon_after_removal, long_after_removal), (1, 1, 0));
}

/// Guards against an interrupted stream that is cut off for lack of retry budget although its
/// request was sent to no other endpoint. An attempt whose connection is not established is
/// refunded some buckets after it was acquired; the refund was lost because it was taken from the
/// current bucket, which was empty. The log then showed E311 (budget spent) right after E302 (timed
/// out) at a host that had made no further attempt.
#[test]
fn an_attempt_that_never_connected_is_refunded_after_a_delay_too() {
    let mut budget = AttemptBudget::new(0.0, Millis(10_000));
    let second = |n: u64| Millis(n * 1_000);

    let granted_and_refunded: Vec<bool> = (0..6)
        .map(|n| {
            let is_granted = budget.try_acquire(second(n), FurtherAttempt::Failure);
            // Other requests use the budget before the connection is known to have failed.
            budget.record_first(second(n) + Millis(400));
            budget.refund(second(n));
            is_granted
        })
        .collect();
    let granted_without_refund: Vec<bool> =
        (6..9).map(|n| budget.try_acquire(second(n), FurtherAttempt::Failure)).collect();

    assert_eq!(granted_and_refunded, [true; 6]);
    assert_eq!(granted_without_refund, [true, true, false]);
}
