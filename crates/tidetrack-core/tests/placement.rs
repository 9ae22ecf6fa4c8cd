//! Placement of requests on the endpoints of a pool.

use std::sync::Arc;

use tidetrack_core::codes::Code;
use tidetrack_core::ids::{EndpointKey, FailureDomain};
use tidetrack_core::placement::{
    EndpointState, Locality, PlacementRequest, PoolEndpoint, PoolView,
};
use tidetrack_core::units::{Millis, Tokens};

fn pool(n: usize) -> PoolView {
    let endpoint = |i| PoolEndpoint {
        id: format!("e{i}").parse().expect("the endpoint id parses"),
        address: String::new(),
        failure_domain: "a".parse().expect("the failure domain parses"),
        state: Arc::default(),
    };
    PoolView::new((0..n).map(endpoint).collect(), 16)
}

fn request(ring_position: u64, salt: u64) -> PlacementRequest<'static> {
    PlacementRequest {
        ring_position,
        salt,
        required_tokens: Tokens(100),
        tried: &[],
        priority: 0,
        ..PlacementRequest::default()
    }
}

#[test]
fn a_ring_position_maps_to_the_same_endpoint_until_it_is_loaded() {
    let pool = pool(20);
    let first = pool.pick(Millis(0), &request(77, 1)).expect("an endpoint must be picked").clone();
    let second = pool.pick(Millis(0), &request(77, 2)).expect("an endpoint must be picked");
    assert_eq!(first.id, second.id);
    first.state.begin_work(8_000);
    let other = pool.pick(Millis(0), &request(77, 3)).expect("an endpoint must be picked");
    assert_ne!(first.id, other.id);
}

#[test]
fn a_slow_endpoint_is_skipped_for_a_faster_one() {
    let pool = pool(8);
    let home = pool.pick(Millis(0), &request(9, 1)).expect("an endpoint must be picked").clone();
    home.state.record_duration(100, 100 * 80_000);
    let other_picks = (0..20).filter(|s| {
        pool.pick(Millis(0), &request(9, *s)).expect("an endpoint must be picked").id != home.id
    });
    assert!(other_picks.count() >= 19);
}

#[test]
fn a_full_pool_refuses_low_priority_requests_first() {
    let pool = pool(3);
    pool.endpoints().iter().for_each(|e| e.state.begin_work(16 * 512 + 1));
    assert_eq!(
        pool.pick(Millis(0), &request(1, 1)).expect_err("a full pool must refuse").code,
        Code::Overloaded
    );
    assert!(pool.pick(Millis(0), &PlacementRequest { priority: 1, ..request(1, 1) }).is_ok());
}

#[test]
fn leaving_full_and_ejected_endpoints_are_skipped() {
    let pool = pool(4);
    pool.endpoints()[0].state.set_leaving(true);
    pool.endpoints()[1].state.record_load_report(Millis(0), 0, Tokens(50));
    (0..3).for_each(|_| pool.endpoints()[2].state.record_outcome(Millis(0), false));
    for ring_position in 0..200u64 {
        let pick = pool
            .pick(Millis(1), &request(ring_position << 56, ring_position))
            .expect("an endpoint must be picked");
        assert_eq!(pick.id.as_str(), "e3");
    }
}

#[test]
fn ejection_never_empties_a_pool_but_leaving_does() {
    let pool = pool(2);
    for e in pool.endpoints() {
        (0..3).for_each(|_| e.state.record_outcome(Millis(0), false));
    }
    assert!(pool.pick(Millis(1), &request(5, 5)).is_ok());
    pool.endpoints().iter().for_each(|e| e.state.set_leaving(true));
    assert_eq!(
        pool.pick(Millis(1), &request(5, 5)).expect_err("no endpoint must be available").code,
        Code::Overloaded
    );
}

#[test]
fn a_request_larger_than_every_endpoint_is_too_long() {
    let pool = pool(2);
    pool.endpoints().iter().for_each(|e| e.state.record_load_report(Millis(0), 0, Tokens(10)));
    assert_eq!(
        pool.pick(Millis(1), &request(5, 5)).expect_err("no endpoint must be available").code,
        Code::TooLong
    );
}

#[test]
fn an_old_load_report_decays_and_own_work_does_not() {
    let endpoint_state = EndpointState::default();
    endpoint_state.begin_work(100);
    endpoint_state.record_load_report(Millis(0), 300, Tokens(0));
    assert_eq!(endpoint_state.load(Millis(0)), 300.0);
    assert_eq!(endpoint_state.load(Millis(8_000)), 200.0);
    endpoint_state.end_work(100);
    assert!(endpoint_state.load(Millis(80_000)) < 1.0);
}

/// Returns a request whose shared prefix takes `reread_work` to read again on another endpoint.
fn request_with_prefix(ring_position: u64, reread_work: u64) -> PlacementRequest<'static> {
    PlacementRequest { reread_work, ..request(ring_position, 1) }
}

#[test]
fn a_prefix_stays_on_its_endpoint_until_rereading_it_elsewhere_is_cheaper() {
    let pool = pool(12);
    let home = pool
        .pick(Millis(0), &request_with_prefix(77, 1_000))
        .expect("an endpoint must be picked")
        .clone();

    home.state.begin_work(400);
    let somewhat_loaded =
        pool.pick(Millis(0), &request_with_prefix(77, 1_000)).expect("an endpoint must be picked");
    home.state.begin_work(2_000);
    let loaded =
        pool.pick(Millis(0), &request_with_prefix(77, 1_000)).expect("an endpoint must be picked");

    assert_eq!(somewhat_loaded.id, home.id);
    assert_ne!(loaded.id, home.id);
}

#[test]
fn a_prefix_that_overloads_its_endpoint_gets_the_same_second_endpoint_on_every_host() {
    let hosts = [pool(12), pool(12), pool(12)];

    let second: Vec<String> = hosts
        .iter()
        .map(|pool| {
            let request = request_with_prefix(77, 1_000);
            pool.pick(Millis(0), &request)
                .expect("an endpoint must be picked")
                .state
                .begin_work(800);
            pool.pick(Millis(0), &request).expect("an endpoint must be picked").id.to_string()
        })
        .collect();

    assert!(
        second.iter().all(|id| *id == second[0]),
        "second endpoints differ between hosts: {second:?}"
    );
}

/// Returns the locality of a host in the given failure domain.
fn locality_in(own_domain: &FailureDomain) -> Option<Locality<'_>> {
    Some(Locality { failure_domain: own_domain, crossing_work: 500 })
}

/// Returns a pool whose endpoints are spread evenly over three failure domains.
fn pool_of_domains(n: usize) -> PoolView {
    let mut endpoints = pool(n).endpoints().to_vec();
    for (i, e) in endpoints.iter_mut().enumerate() {
        e.failure_domain = ["a", "b", "c"][i % 3].parse().expect("the failure domain parses");
    }
    PoolView::new(endpoints, 16)
}

#[test]
fn the_own_failure_domain_is_preferred_until_crossing_to_another_is_cheaper() {
    let pool = pool_of_domains(12);
    let own_domain = "b".parse().expect("the failure domain parses");
    let locality = locality_in(&own_domain);
    let request =
        |ring_position| PlacementRequest { locality, ..request_with_prefix(ring_position, 100) };
    let picked = |ring_position| {
        pool.pick(Millis(0), &request(ring_position))
            .expect("an endpoint must be picked")
            .failure_domain
            .clone()
    };

    let idle: Vec<_> = (0..64u64).map(|i| picked(i << 58)).collect();
    let endpoints_in_own_domain =
        pool.endpoints().iter().filter(|e| e.failure_domain == own_domain);
    endpoints_in_own_domain.for_each(|e| e.state.begin_work(800));
    let loaded = picked(1 << 58);

    assert!(idle.iter().all(|domain| *domain == own_domain));
    assert_ne!(loaded, own_domain);
}

#[test]
fn a_loaded_home_endpoint_in_a_large_pool_is_replaced_by_one_of_the_own_failure_domain() {
    let pool = pool_of_domains(150);
    let own_domain = "b".parse().expect("the failure domain parses");
    let locality = locality_in(&own_domain);
    let request = |salt| PlacementRequest { locality, salt, ..request_with_prefix(77, 100) };
    for _ in 0..2 {
        pool.pick(Millis(0), &request(0))
            .expect("an endpoint must be picked")
            .state
            .begin_work(2_000);
    }

    let picked = |salt| {
        pool.pick(Millis(0), &request(salt))
            .expect("an endpoint must be picked")
            .failure_domain
            .clone()
    };
    let picks_in_own_domain = (0..200).filter(|salt| picked(*salt) == own_domain).count();

    // With four candidates drawn from the whole pool and no others, one request in five found no
    // endpoint in its own failure domain.
    assert!(
        picks_in_own_domain >= 195,
        "{picks_in_own_domain} of 200 picks in the own failure domain"
    );
}

#[test]
fn an_endpoint_known_to_hold_a_prefix_is_preferred_over_the_ring() {
    let pool = pool_of_domains(12);
    let own_domain = "b".parse().expect("the failure domain parses");
    let locality = locality_in(&own_domain);
    let request = |prefix_holders| PlacementRequest {
        locality,
        prefix_holders,
        ..request_with_prefix(77, 1_000)
    };
    let home = pool.pick(Millis(0), &request(&[])).expect("an endpoint must be picked").clone();
    let other = pool.endpoints().iter().find(|e| e.failure_domain == own_domain && e.id != home.id);
    let other = other.expect("the failure domain must have another endpoint");

    let prefix_holders = [EndpointKey::from(&other.id)];
    let picked =
        pool.pick(Millis(0), &request(&prefix_holders)).expect("an endpoint must be picked");
    other.state.begin_work(2_000);
    let loaded =
        pool.pick(Millis(0), &request(&prefix_holders)).expect("an endpoint must be picked");

    assert_eq!(picked.id, other.id);
    assert_ne!(loaded.id, other.id);
}

#[test]
fn work_reported_by_hosts_overrides_an_old_load_report() {
    let endpoint_state = EndpointState::default();
    endpoint_state.record_load_report(Millis(0), 4_000, Tokens(0));

    endpoint_state.set_peer_work(Millis(100), 70);

    assert_eq!(endpoint_state.load(Millis(200)), 70.0);
    assert!(
        endpoint_state.load(Millis(1_500)) > 3_000.0,
        "without recent peer reports, the endpoint's own report must count"
    );
}

#[test]
fn an_endpoint_that_cannot_be_reached_is_ejected_at_once() {
    let pool = pool(3);
    let unreachable = pool
        .pick(Millis(0), &request_with_prefix(5, 10))
        .expect("an endpoint must be picked")
        .clone();

    unreachable.state.record_unreachable(Millis(0));

    assert!(unreachable.state.is_ejected(Millis(1)));
    assert_ne!(
        pool.pick(Millis(1), &request_with_prefix(5, 10)).expect("an endpoint must be picked").id,
        unreachable.id
    );
}
