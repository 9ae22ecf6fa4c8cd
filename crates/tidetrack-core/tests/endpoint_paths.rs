//! Detection of lost network paths, and the choice of hosts that take the requests of others.

use std::collections::HashMap;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::Error;
use tidetrack_core::ids::{EndpointId, EndpointKey, HostId, ServiceId};
use tidetrack_core::traffic::endpoint_paths::{EndpointPaths, PathState, ProbeRank};
use tidetrack_core::traffic::forwarding::{may_forward_elsewhere, pick_host, ForwardTarget};
use tidetrack_core::traffic::probe_rounds::{restoring_batch_size, wave_sizes};
use tidetrack_core::units::Millis;

const NOW: Millis = Millis(10_000);

/// Number of endpoints of the service.
const POOL: usize = 6;

fn service() -> ServiceId {
    "desk".parse().expect("the service id parses")
}

fn endpoint(n: usize) -> EndpointKey {
    let id: EndpointId = format!("e-{n}").parse().expect("the endpoint id parses");
    EndpointKey::from(&id)
}

/// Returns the keys of the first endpoints, as they are listed.
fn listed(count: usize) -> Vec<EndpointKey> {
    (0..count).map(endpoint).collect()
}

/// Returns the paths of a host to which two endpoints have just failed.
fn suspected_paths() -> EndpointPaths {
    let mut paths = EndpointPaths::default();
    paths.record_failure(NOW, &service(), endpoint(0));
    paths.record_failure(NOW, &service(), endpoint(1));
    paths
}

#[test]
fn repeated_failures_of_one_endpoint_raise_no_suspicion() {
    let mut paths = EndpointPaths::default();

    let starts = (0..5).map(|n| paths.record_failure(NOW + Millis(n), &service(), endpoint(0)));

    assert!(!starts.fold(false, |any, start| any | start));
    assert_eq!(paths.state(&service()), PathState::Up);
}

#[test]
fn failures_of_two_endpoints_start_probes_once() {
    let mut paths = EndpointPaths::default();
    paths.record_failure(NOW, &service(), endpoint(0));

    let second = paths.record_failure(NOW + Millis(1_200), &service(), endpoint(1));
    let third = paths.record_failure(NOW + Millis(1_300), &service(), endpoint(2));

    assert_eq!((second, third), (true, false));
    assert_eq!(paths.state(&service()), PathState::Suspected);
}

/// Guards against hosts that trust established connections because of responses before the cut.
#[test]
fn a_suspicion_dates_back_to_the_first_failure() {
    let mut paths = EndpointPaths::default();
    paths.record_failure(NOW, &service(), endpoint(0));

    let before = paths.suspicious_since(&service());
    paths.record_failure(NOW + Millis(300), &service(), endpoint(1));

    assert_eq!((before, paths.suspicious_since(&service())), (None, Some(NOW)));
}

#[test]
fn failures_that_are_far_apart_raise_no_suspicion() {
    let mut paths = EndpointPaths::default();
    paths.record_failure(NOW, &service(), endpoint(0));

    let starts = paths.record_failure(NOW + Millis(2_000), &service(), endpoint(1));

    assert!(!starts);
}

#[test]
fn one_answered_probe_ends_a_suspicion() {
    let mut paths = suspected_paths();
    paths.record_unanswered_probe(&service(), endpoint(2), &listed(POOL));

    let ended = paths.record_contact(&service(), endpoint(3));

    assert_eq!((ended.state, paths.state(&service())), (PathState::Suspected, PathState::Up));
}

/// Records unanswered probes of all endpoints of the pool, and returns for each whether it decided.
fn leave_all_probes_unanswered(paths: &mut EndpointPaths) -> Vec<bool> {
    let listed = listed(POOL);
    let mut probe = |n: usize| paths.record_unanswered_probe(&service(), endpoint(n), &listed);
    (0..POOL).map(&mut probe).collect()
}

#[test]
fn paths_are_lost_after_probes_of_all_endpoints_and_restored_by_a_response() {
    let mut paths = suspected_paths();

    let decided = leave_all_probes_unanswered(&mut paths);
    let lost = paths.lost_services();
    let ended = paths.record_contact(&service(), endpoint(3));

    assert_eq!((decided, lost), (vec![false, false, false, false, false, true], vec![service()]));
    assert_eq!((ended.state, paths.lost_services()), (PathState::Lost, vec![]));
}

/// Guards against taking paths for lost because most of the listed endpoints have ended.
#[test]
fn paths_are_not_lost_before_all_listed_endpoints_leave_a_probe_unanswered() {
    for (pool, ended) in [(18, 5), (18, 17), (24, 23), (64, 63), (400, 399)] {
        let listed = listed(pool);
        let mut paths = suspected_paths();

        let mut probe = |n: usize| paths.record_unanswered_probe(&service(), endpoint(n), &listed);
        let is_decided = (0..ended).any(&mut probe);

        assert!(!is_decided, "{ended} of {pool} have ended");
        assert_eq!(paths.state(&service()), PathState::Suspected, "{ended} of {pool}");
    }
}

/// Guards against verdicts on a list that has changed: an endpoint that was listed meanwhile is asked too.
#[test]
fn an_endpoint_that_is_listed_during_a_suspicion_has_to_be_probed_too() {
    let mut paths = suspected_paths();

    let before = (0..POOL)
        .map(|n| paths.record_unanswered_probe(&service(), endpoint(n), &listed(POOL + 1)));
    let is_lost_before = before.fold(false, |any, is_lost| any | is_lost);
    let is_lost = paths.record_unanswered_probe(&service(), endpoint(POOL), &listed(POOL + 1));

    assert_eq!((is_lost_before, is_lost), (false, true));
}

/// Guards against what was learnt before a loss deciding after it.
#[test]
fn nothing_is_known_of_endpoints_after_a_loss_but_what_was_reached_since() {
    let mut paths = suspected_paths();
    paths.record_contact(&service(), endpoint(2));
    paths.record_unreached(&service(), endpoint(0));
    let rank = |paths: &EndpointPaths, n| paths.probe_rank(&service(), endpoint(n));
    let before = [0, 1, 2].map(|n| rank(&paths, n));
    paths.suspect(NOW, &service());
    leave_all_probes_unanswered(&mut paths);

    let ended = paths.record_contact(&service(), endpoint(1));

    let after = [0, 1, 2].map(|n| rank(&paths, n));
    assert_eq!(before, [ProbeRank::Failed, ProbeRank::Unknown, ProbeRank::Reached]);
    assert_eq!(after, [ProbeRank::Unknown, ProbeRank::Reached, ProbeRank::Unknown]);
    assert_eq!(ended.state, PathState::Lost);
}

/// Guards against ejections that the lost paths caused, and against the end of those that they did not cause.
#[test]
fn a_contact_tells_which_endpoints_failed_since_the_suspicion_began() {
    let mut paths = suspected_paths();
    paths.record_contact(&service(), endpoint(3));
    paths.record_failure(NOW + Millis(5_000), &service(), endpoint(2));
    paths.record_failure(NOW + Millis(5_001), &service(), endpoint(4));
    leave_all_probes_unanswered(&mut paths);
    paths.record_failure(NOW + Millis(9_000), &service(), endpoint(5));

    let ended = paths.record_contact(&service(), endpoint(3));

    assert_eq!(ended.failed, [2, 4, 5].map(endpoint).into());
}

/// Guards against refusals for want of a path while endpoints stand still for a moment.
#[test]
fn a_loss_counts_as_a_short_interruption_for_a_while_from_the_first_failure() {
    let mut paths = suspected_paths();
    let while_suspected = paths.interruption_end(&service());
    leave_all_probes_unanswered(&mut paths);

    let while_lost = paths.interruption_end(&service());
    paths.record_contact(&service(), endpoint(0));

    assert_eq!((while_suspected, while_lost), (None, Some(NOW + Millis(2_000))));
    assert_eq!(paths.interruption_end(&service()), None);
}

/// Guards against requests that wait for several rounds of probes, as each may take as long as they wait.
#[test]
fn one_round_of_probes_decides_about_pools_of_any_size() {
    /// Waves begin 25 ms after each other, and a probe takes 400 ms at most: a round takes less than 600 ms.
    const MAX_WAVES: usize = 8;
    for pool in [1, 2, 3, 4, 5, 60, 540] {
        let mut paths = EndpointPaths::default();
        paths.suspect(NOW, &service());
        let listed = listed(pool);

        let decided: Vec<bool> = (0..pool)
            .map(|n| paths.record_unanswered_probe(&service(), endpoint(n), &listed))
            .collect();

        assert_eq!(decided.last(), Some(&true), "pool of {pool}: {decided:?}");
        assert_eq!(decided.iter().filter(|is_lost| **is_lost).count(), 1, "pool of {pool}");
        assert!(wave_sizes().take(MAX_WAVES).sum::<usize>() >= pool, "pool of {pool}");
    }
}

/// Guards against endpoints that come back among many that don't, and are found late.
#[test]
fn lost_paths_are_looked_for_at_all_endpoints_in_the_same_time_whatever_their_number() {
    for pool in [1, 4, 8, 9, 60, 540] {
        assert!(restoring_batch_size(pool) >= 1, "pool of {pool}");
        assert!(restoring_batch_size(pool) * 8 >= pool, "pool of {pool}");
        assert!(pool > 8 || restoring_batch_size(pool) == 1, "pool of {pool}");
    }
}

/// Guards against taking the end of an only endpoint for lost paths.
#[test]
fn failures_of_an_only_endpoint_raise_no_suspicion_unless_another_service_is_lost() {
    let mut paths = EndpointPaths::default();

    let starts = paths.record_failure(NOW, &service(), endpoint(0));
    let is_lost = paths.record_unanswered_probe(&service(), endpoint(0), &listed(1));
    let starts_with_others = paths.suspect(NOW, &service());
    let is_lost_with_others = paths.record_unanswered_probe(&service(), endpoint(0), &listed(1));

    assert_eq!((starts, is_lost), (false, false));
    assert_eq!((starts_with_others, is_lost_with_others), (true, true));
}

fn host(n: usize) -> HostId {
    format!("h-{n}").parse().expect("the host id parses")
}

/// Returns hosts in four failure domains, of which the first is the local one. Those that `has_lost` selects have no
/// paths to the service.
fn targets(hosts: usize, has_lost: impl Fn(usize) -> bool) -> Vec<ForwardTarget> {
    let target = |n: usize| ForwardTarget {
        host: host(n),
        address: format!("127.0.0.1:{}", 1_000 + n).parse().expect("the address parses"),
        failure_domain: format!("hall-{}", n % 4).parse().expect("the failure domain parses"),
        is_local: n.is_multiple_of(4),
        is_leaving: false,
        lost_services: if has_lost(n) { vec![service()] } else { vec![] },
    };
    (1..hosts).map(target).collect()
}

/// Forwards 10,000 requests of one host and returns how many each other host gets.
fn distribute(targets: &[ForwardTarget]) -> HashMap<HostId, usize> {
    let mut counts = HashMap::new();
    for n in 0..10_000 {
        let request = format!("r-{n}");
        if let Some(t) = pick_host(targets, &service(), &request, |_| false, |_| 0) {
            *counts.entry(t.host.clone()).or_default() += 1;
        }
    }
    counts
}

/// Guards against hosts that all forward to the same few others.
#[test]
fn forwarded_requests_are_spread_over_all_hosts_with_paths() {
    for hosts in [7, 84, 295] {
        for (what, is_cut) in [
            ("a tenth", Box::new(|n: usize| n.is_multiple_of(10)) as Box<dyn Fn(usize) -> bool>),
            ("the local domain", Box::new(|n: usize| n.is_multiple_of(4))),
        ] {
            let targets = targets(hosts, &is_cut);
            let usable = targets.iter().filter(|t| t.lost_services.is_empty()).count();

            let counts = distribute(&targets);

            let most = counts.values().max().copied().unwrap_or(0);
            let total: usize = counts.values().sum();
            assert_eq!(total, 10_000);
            assert_eq!(counts.len(), usable, "{what} of {hosts} cut");
            assert!(most * usable <= total * 3, "{what} of {hosts} cut: {most} at one host");
        }
    }
}

#[test]
fn all_requests_go_to_the_only_host_with_paths_and_none_without_one() {
    for hosts in [7, 84, 295] {
        let one_left = distribute(&targets(hosts, |n| n != 3));
        let none_left = distribute(&targets(hosts, |_| true));

        assert_eq!(one_left, HashMap::from([(host(3), 10_000)]));
        assert!(none_left.is_empty());
    }
}

#[test]
fn a_host_that_declined_is_not_asked_again() {
    let targets = targets(7, |_| false);
    let first = pick_host(&targets, &service(), "r", |_| false, |_| 0).expect("a host is known");

    let second = pick_host(&targets, &service(), "r", |h| *h == first.host, |_| 0);

    assert!(second.is_some_and(|second| second.host != first.host));
}

#[test]
fn only_what_was_certainly_not_executed_is_forwarded_elsewhere() {
    let declined = Error::new(Code::NoPath, "no path");
    let unknown = Error::new(Code::Overloaded, "full").with_executed(Executed::Unknown);
    let final_refusal = Error::new(Code::CrashesEndpoints, "barred");

    let may_forward = [&declined, &unknown, &final_refusal].map(may_forward_elsewhere);

    assert_eq!(may_forward, [true, false, false]);
}
