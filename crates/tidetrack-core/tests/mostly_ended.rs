//! Verdicts about endpoints in pools most of whose endpoints have ended.

use std::collections::HashMap;
use std::sync::Arc;

use tidetrack_core::ids::{EndpointId, EndpointKey, FailureDomain, ServiceId};
use tidetrack_core::placement::{
    EndpointState, Locality, PlacementRequest, PoolEndpoint, PoolView,
};
use tidetrack_core::traffic::endpoint_paths::{EndpointPaths, PathState};
use tidetrack_core::traffic::outliers::{OutlierDetector, RequestCounts};
use tidetrack_core::units::Millis;

const NOW: Millis = Millis(10_000);

/// Number of endpoints that have not ended.
const SOUND: usize = 4;

fn service() -> ServiceId {
    "desk".parse().expect("the service id parses")
}

fn id(n: usize) -> EndpointId {
    format!("e-{n}").parse().expect("the endpoint id parses")
}

fn key(n: usize) -> EndpointKey {
    EndpointKey::from(&id(n))
}

/// Guards against memory of unreached endpoints that outlives the contact with others on which it rests: a host
/// that reaches none of the listed endpoints has to find that out.
#[test]
fn failures_raise_a_suspicion_once_no_reached_endpoint_is_listed_any_more() {
    let mut paths = EndpointPaths::default();
    paths.record_contact(&service(), key(0));
    (1..6).for_each(|n| paths.record_unreached(&service(), key(n)));
    let listed: Vec<EndpointKey> = (1..6).map(key).collect();
    paths.retain_listed(&service(), &listed);

    let starts: Vec<bool> = (1..6)
        .map(|n| paths.record_failure(NOW + Millis(n), &service(), key(n as usize)))
        .collect();

    assert_eq!(paths.state(&service()), PathState::Suspected, "{starts:?}");
}

/// Guards against failures that all endpoints in use share and that count as theirs, because ended ones, which get
/// no requests, are taken for typical.
#[test]
fn endpoints_that_all_fail_as_often_are_no_outliers_beside_ended_ones() {
    let unreachable = |state: &EndpointState| state.record_withheld_failure(NOW, true);
    check_outliers_beside("unreachable", unreachable);
    check_outliers_beside("moved", |state| state.record_moved(NOW));
    check_outliers_beside("silent", |state| (0..3).for_each(|_| state.record_silence(NOW)));
    check_outliers_beside("late failure", |state| {
        state.record_withheld_failure(NOW, true);
        state.record_silence(NOW);
    });
}

/// Guards against the same fault through ended endpoints that were not tried yet or whose ejection has just ended.
#[test]
fn endpoints_that_all_fail_as_often_are_no_outliers_beside_untried_ones() {
    check_outliers_beside("untried", |_| {});
    check_outliers_beside("ejected before", |state| {
        state.record_withheld_failure(Millis(8_999), true);
    });
}

/// Guards against ended endpoints that count as typical because this host used them before they ended.
#[test]
fn endpoints_that_all_fail_as_often_are_no_outliers_beside_ones_used_before() {
    check_outliers_beside_used(|_| {}, Millis(40_000));
    check_outliers_beside_used(|state| state.record_withheld_failure(Millis(10_500), true), NOW);
}

/// Checks that none of the endpoints in use is avoided beside ones that served at `NOW`, ended as `end` brings about,
/// and are not ejected `later`.
fn check_outliers_beside_used(end: impl Fn(&EndpointState), later: Millis) {
    let now = later + Millis(3_000);
    for listed in [8, 12, 24, 64] {
        let states: HashMap<EndpointId, EndpointState> =
            (0..listed).map(|n| (id(n), EndpointState::default())).collect();
        (SOUND..listed).for_each(|n| states[&id(n)].record_outcome(NOW, true));
        let mut detector = OutlierDetector::default();
        detector.record(NOW, states.iter(), &HashMap::new());
        (SOUND..listed).for_each(|n| end(&states[&id(n)]));
        for n in 0..SOUND {
            (0..30).for_each(|i| states[&id(n)].record_outcome(now, i % 4 != 0));
        }
        detector.record(now, states.iter(), &HashMap::new());
        let pool: Vec<EndpointId> = (0..listed).map(id).collect();

        let outliers = detector.find_outliers(now, &pool);

        assert!(outliers.is_empty(), "{} of {SOUND} in use, {listed} listed", outliers.len());
    }
}

/// Guards against an outlier that a host does not find because its own requests go to one endpoint only.
#[test]
fn a_host_that_uses_one_endpoint_compares_it_with_those_that_others_use() {
    let reported = RequestCounts { all: 60.0, failed: 20.0 };
    for (failing, expected) in [(1, 1), (SOUND, 0)] {
        for listed in [SOUND, 24, 64] {
            let states: HashMap<EndpointId, EndpointState> =
                (0..listed).map(|n| (id(n), EndpointState::default())).collect();
            (0..SOUND).for_each(|n| states[&id(n)].set_peer_work(NOW, 400));
            (0..9).for_each(|n| states[&id(0)].record_outcome(NOW, n % 3 != 0));
            let peer_counts = (0..failing).map(|n| (key(n), reported)).collect();
            let mut detector = OutlierDetector::default();
            detector.record(NOW, states.iter(), &peer_counts);
            let pool: Vec<EndpointId> = (0..listed).map(id).collect();

            let outliers = detector.find_outliers(NOW, &pool);

            let found: Vec<&EndpointId> = outliers.iter().map(|o| &o.endpoint).collect();
            let expected: Vec<EndpointId> = (0..expected).map(id).collect();
            assert_eq!(found, expected.iter().collect::<Vec<_>>(), "{failing} of {listed} fail");
        }
    }
}

/// Checks that none of the endpoints in use is avoided beside ended ones in a state that `end` brings about.
fn check_outliers_beside(kind: &str, end: impl Fn(&EndpointState)) {
    for listed in [SOUND, 8, 12, 24, 64] {
        let states: HashMap<EndpointId, EndpointState> =
            (0..listed).map(|n| (id(n), EndpointState::default())).collect();
        for n in 0..listed {
            let state = &states[&id(n)];
            match n < SOUND {
                true => (0..30).for_each(|n| state.record_outcome(NOW, n % 4 != 0)),
                false => end(state),
            }
        }
        let mut detector = OutlierDetector::default();
        detector.record(NOW, states.iter(), &HashMap::new());
        let pool: Vec<EndpointId> = (0..listed).map(id).collect();

        let outliers = detector.find_outliers(NOW, &pool);

        let count = outliers.len();
        assert!(outliers.is_empty(), "{kind}: {count} of {SOUND} in use, {listed} listed");
    }
}

/// Guards against refusals because the home endpoint of a request is full while others are idle.
#[test]
fn an_idle_endpoint_is_found_beside_a_full_one_in_a_pool_of_ended_ones() {
    for listed in [SOUND, 24, 64, 400] {
        let pool = pool(listed);
        let local: FailureDomain = "hall".parse().expect("the failure domain parses");
        let request = |salt| PlacementRequest {
            ring_position: 77,
            salt,
            locality: Some(Locality { failure_domain: &local, crossing_work: 500 }),
            ..PlacementRequest::default()
        };
        let home = pool.pick(NOW, &request(0)).expect("an endpoint is usable").clone();
        home.state.begin_work(8 * 512 + 1);

        let refused = (0..1_000).filter(|salt| pool.pick(NOW, &request(*salt)).is_err()).count();

        println!("{listed} listed: {refused} of 1,000 refused");
        assert_eq!(refused, 0, "of 1,000 with {} idle endpoints, {listed} listed", SOUND - 1);
    }
}

/// Returns a pool with eight slots per endpoint, of which only the last endpoints are not ejected.
fn pool(listed: usize) -> PoolView {
    let endpoint = |n: usize| {
        let state = EndpointState::default();
        if n < listed - SOUND {
            state.record_withheld_failure(NOW, true);
        }
        PoolEndpoint {
            id: id(n),
            address: format!("127.0.0.1:{}", 1_000 + n),
            failure_domain: "hall".parse().expect("the failure domain parses"),
            state: Arc::new(state),
        }
    };
    PoolView::new((0..listed).map(endpoint).collect(), 8)
}

/// Guards against ejections of tens of seconds that an answered probe doesn't end: an endpoint that ends while
/// it runs several requests breaks their connections before or after it refuses a new one.
#[test]
fn an_endpoint_that_is_reached_again_is_used_whatever_failed_last() {
    let state = EndpointState::default();
    state.record_withheld_failure(NOW, true);
    (0..7).for_each(|_| state.record_withheld_failure(NOW, false));
    println!("ejected for {}", state.ejected_until() - NOW);

    state.record_reached();

    assert!(!state.is_ejected(NOW + Millis(1)), "ejected until {}", state.ejected_until());
}
