//! Entries of former lifetimes at the address of an endpoint that runs.

use std::sync::Arc;

use tidetrack_core::ids::EndpointId;
use tidetrack_core::placement::{EndpointState, PoolEndpoint, SharedAddress};
use tidetrack_core::units::Millis;

const NOW: Millis = Millis(10_000);

const ADDRESS: &str = "127.0.0.1:1000";

fn id(n: usize) -> EndpointId {
    format!("e-{n}").parse().expect("the endpoint id parses")
}

/// Returns three entries at one address, and one at another.
fn entries() -> Vec<PoolEndpoint> {
    let entry = |(n, address): (usize, &str)| PoolEndpoint {
        id: id(n),
        address: address.to_string(),
        failure_domain: "hall".parse().expect("the failure domain parses"),
        state: Arc::new(EndpointState::default()),
    };
    [ADDRESS, ADDRESS, ADDRESS, "127.0.0.1:2000"].into_iter().enumerate().map(entry).collect()
}

#[test]
fn all_entries_beside_one_that_serves_are_of_ended_endpoints() {
    let entries = entries();
    entries[1].state.record_outcome(NOW, true);

    let judged = SharedAddress::judge(NOW, &entries, &id(0), ADDRESS);

    assert!(judged.is_replaced);
    assert_eq!(judged.former.iter().map(|e| &e.id).collect::<Vec<_>>(), [&id(2)]);
}

#[test]
fn entries_at_an_address_are_not_judged_before_one_of_them_has_served() {
    let entries = entries();
    entries[3].state.record_outcome(NOW, true);

    let judged = SharedAddress::judge(NOW, &entries, &id(0), ADDRESS);

    assert!(!judged.is_replaced && judged.former.is_empty());
}

#[test]
fn entries_that_are_ejected_already_are_left_alone() {
    let entries = entries();
    entries[1].state.record_outcome(NOW, true);
    entries[2].state.record_moved(NOW);

    let judged = SharedAddress::judge(NOW, &entries, &id(0), ADDRESS);

    assert!(judged.is_replaced && judged.former.is_empty());
}
