//! Choice of endpoints in pools most of whose endpoints have ended and are ejected.

use std::collections::HashMap;
use std::sync::Arc;

use tidetrack_core::ids::FailureDomain;
use tidetrack_core::placement::{
    ring_position_of, EndpointState, Locality, PlacementRequest, PoolEndpoint, PoolView,
};
use tidetrack_core::units::Millis;

const NOW: Millis = Millis(10_000);

const REQUESTS: usize = 2_000;

fn domain(n: usize) -> FailureDomain {
    format!("hall-{}", n % 4).parse().expect("the failure domain parses")
}

/// Returns a pool in four failure domains, of which only the last endpoints are not ejected.
fn pool(endpoints: usize, sound: usize) -> PoolView {
    let endpoint = |n: usize| {
        let state = EndpointState::default();
        if n < endpoints - sound {
            state.record_withheld_failure(NOW, true);
        }
        PoolEndpoint {
            id: format!("e-{n}").parse().expect("the endpoint id parses"),
            address: format!("127.0.0.1:{}", 1_000 + n),
            failure_domain: domain(n),
            state: Arc::new(state),
        }
    };
    PoolView::new((0..endpoints).map(endpoint).collect(), 0)
}

/// Guards against requests that are sent to ejected endpoints because none of a sample is usable.
#[test]
fn requests_are_sent_to_the_few_endpoints_that_are_not_ejected() {
    for (endpoints, sound) in [(24, 4), (41, 1), (64, 4), (400, 4), (400, 1)] {
        let pool = pool(endpoints, sound);
        let local = domain(0);
        let mut picked: HashMap<String, usize> = HashMap::new();
        for n in 0..REQUESTS {
            let request = PlacementRequest {
                ring_position: ring_position_of(format!("r-{n}").as_bytes()),
                salt: n as u64,
                locality: Some(Locality { failure_domain: &local, crossing_work: 500 }),
                ..PlacementRequest::default()
            };
            let endpoint = pool.pick(NOW, &request).expect("an endpoint is usable");
            assert!(!endpoint.state.is_ejected(NOW), "{} of {endpoints}", endpoint.id);
            *picked.entry(endpoint.id.to_string()).or_default() += 1;
        }
        println!("{sound} sound of {endpoints}: {picked:?}");
    }
}

/// Guards against the opposite: without any usable endpoint, an ejected one is better than none.
#[test]
fn an_ejected_endpoint_is_used_if_all_are() {
    let pool = pool(64, 0);

    let picked = pool.pick(NOW, &PlacementRequest::default());

    assert!(picked.is_ok(), "{picked:?}");
}
