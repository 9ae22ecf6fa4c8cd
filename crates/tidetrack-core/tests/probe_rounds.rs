//! Rounds of probes: which endpoints are asked, in which order, when, and what outcomes say about them.

use std::sync::Arc;

use tidetrack_core::ids::{EndpointId, EndpointKey, ServiceId};
use tidetrack_core::placement::{EndpointState, PoolEndpoint};
use tidetrack_core::traffic::endpoint_paths::{EndpointPaths, ProbeRank};
use tidetrack_core::traffic::probe_rounds::{
    is_slow, probe_order, recheck_lead_time, ProbeOutcome, RoundCause, RoundProgress,
};
use tidetrack_core::units::Millis;

const NOW: Millis = Millis(10_000);

/// Time of an answer that came without a wait, and of one that did not.
const PROMPT: Millis = Millis(3);
const LATE: Millis = Millis(300);

fn service() -> ServiceId {
    "desk".parse().expect("the service id parses")
}

fn endpoint(id: &str, failure_domain: &str) -> PoolEndpoint {
    PoolEndpoint {
        id: id.parse::<EndpointId>().expect("the endpoint id parses"),
        address: format!("{id}.test:80"),
        failure_domain: failure_domain.parse().expect("the failure domain parses"),
        state: Arc::new(EndpointState::default()),
    }
}

#[test]
fn reached_endpoints_are_probed_first_and_failed_ones_last_in_alternating_domains() {
    let endpoints = ["hall", "hall", "attic"].map(|domain| {
        ["unknown", "reached", "failed"].map(|rank| (format!("{rank}-{domain}"), domain))
    });
    let listed: Vec<PoolEndpoint> = endpoints
        .iter()
        .flatten()
        .enumerate()
        .map(|(n, (id, domain))| endpoint(&format!("{id}-{n}"), domain))
        .collect();
    let mut paths = EndpointPaths::default();
    for e in &listed {
        match e.id.as_str() {
            id if id.starts_with("reached") => {
                paths.record_contact(&service(), EndpointKey::from(&e.id));
            }
            id if id.starts_with("failed") => {
                paths.record_unreached(&service(), EndpointKey::from(&e.id));
            }
            _ => {}
        }
    }

    let order = probe_order(&paths, &service(), listed);

    let ranks: Vec<ProbeRank> = order.iter().map(|(_, rank)| *rank).collect();
    assert_eq!(ranks[..3], [ProbeRank::Reached; 3]);
    assert_eq!(ranks[3..6], [ProbeRank::Unknown; 3]);
    assert_eq!(ranks[6..], [ProbeRank::Failed; 3]);
    for of_rank in order.chunks(3) {
        assert_ne!(of_rank[0].0.failure_domain, of_rank[1].0.failure_domain);
    }
}

#[test]
fn all_endpoints_are_probed_until_one_answers() {
    let mut round = RoundProgress::default();
    (0..6).for_each(|_| round.record_start(ProbeRank::Unknown));

    assert!(!round.has_answer());
    for rank in [ProbeRank::Reached, ProbeRank::Unknown, ProbeRank::Failed] {
        assert!(round.needs_probe(rank, false), "{rank:?}");
    }
}

/// Guards against rounds that end while endpoints of which nothing is known do not answer.
#[test]
fn unknown_endpoints_are_probed_until_all_that_were_asked_have_answered() {
    let mut round = RoundProgress::default();
    round.record_answer(ProbeRank::Reached, "a:1", PROMPT);
    (0..6).for_each(|_| round.record_start(ProbeRank::Unknown));
    (0..5).for_each(|n| round.record_answer(ProbeRank::Unknown, &format!("b:{n}"), PROMPT));
    // One endpoint answers for several entries.
    (0..4).for_each(|_| round.record_answer(ProbeRank::Unknown, "b:0", PROMPT));
    assert!(round.needs_probe(ProbeRank::Unknown, false));
    assert!(!round.needs_probe(ProbeRank::Reached, false));

    round.record_answer(ProbeRank::Unknown, "b:5", PROMPT);

    assert!(!round.needs_probe(ProbeRank::Unknown, false));
    assert!(round.needs_probe(ProbeRank::Failed, true), "ejected endpoints are always probed");
}

#[test]
fn failed_probes_concern_their_endpoints_only_beside_a_prompt_answer() {
    let mut round = RoundProgress::default();
    round.record_answer(ProbeRank::Reached, "a:1", LATE);
    assert!(round.has_answer() && !round.blames_endpoints());

    round.record_answer(ProbeRank::Unknown, "a:2", PROMPT);

    assert!(round.blames_endpoints());
}

/// Guards against endpoints that serve requests but are slow, and would be probed and ejected again and again.
#[test]
fn a_reached_endpoint_that_is_mute_is_slow_unless_requests_fail() {
    let counts = |cause: RoundCause, rank| cause.counts_failure(rank, ProbeOutcome::Mute);

    assert!(!counts(RoundCause::Endpoints, ProbeRank::Reached));
    assert!(counts(RoundCause::Endpoints, ProbeRank::Unknown));
    assert!(counts(RoundCause::Suspicion, ProbeRank::Reached));
    assert!(RoundCause::Endpoints.counts_failure(ProbeRank::Reached, ProbeOutcome::Silent));
}

#[test]
fn an_endpoint_that_responds_to_requests_but_not_to_a_probe_is_slow() {
    let state = EndpointState::default();
    assert!(!is_slow(NOW, ProbeOutcome::Mute, &state));

    state.record_activity(NOW - Millis(1_000));

    assert!(is_slow(NOW, ProbeOutcome::Mute, &state));
    assert!(!is_slow(NOW, ProbeOutcome::Silent, &state));
    assert!(!is_slow(NOW + Millis(1_000), ProbeOutcome::Mute, &state));
}

#[test]
fn a_single_probe_without_a_response_does_not_count_against_an_endpoint() {
    let conclusive = [ProbeOutcome::Refused, ProbeOutcome::Silent, ProbeOutcome::Broken];

    assert!(conclusive.into_iter().all(ProbeOutcome::is_conclusive));
    assert!(!ProbeOutcome::Mute.is_conclusive() && !ProbeOutcome::Answered.is_conclusive());
}

/// Guards against rounds that are dropped because one was started a moment ago.
#[test]
fn a_round_that_is_wanted_soon_after_another_is_deferred() {
    let mut paths = EndpointPaths::default();

    assert_eq!(paths.schedule_round(NOW, &service()), Some(NOW));
    let deferred = paths.schedule_round(NOW + Millis(300), &service());
    assert_eq!(deferred, Some(NOW + Millis(1_000)));
    assert_eq!(paths.schedule_round(NOW + Millis(600), &service()), None);
    assert_eq!(paths.schedule_round(NOW + Millis(5_000), &service()), Some(NOW + Millis(5_000)));
}

#[test]
fn hosts_probe_unreached_endpoints_again_at_different_times() {
    let [earliest, latest] = [0.0, 0.999].map(recheck_lead_time);

    assert!(earliest >= Millis(500) && latest >= earliest + Millis(300));
}
