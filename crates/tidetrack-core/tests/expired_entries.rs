//! Endpoints that leave while one host has lost the store and the other hosts still reach it.
//!
//! Guards against requests to an endpoint that has left. An endpoint that had announced that it was
//! leaving got a request 4 s later, through a host that had been ready again for 0.3 s.
//!
//! Large replies filled the host's link and one of its calls to the store failed, so it considered
//! the store unreachable. It kept the entries of endpoints that left during that time, because in
//! an outage of the store the endpoints' heartbeats would be missing too, and the entries would
//! return. It kept them until all kinds had been read again, and for 2.3 s more.
//!
//! The fault was that a host's own loss of the store was treated as an outage of the store,
//! although reads reported by other hosts, and the host's own reads of another kind, showed that
//! the store was reachable.
//!
//! The records show that the host was not ready from 74.0 to 78.0 s, that the endpoint left at 74.5
//! s, and that the request was sent at 78.3 s. That the host had lost the store is inferred, as its
//! log was not kept. The first three tests reproduce the fault in the code.

mod support;

use std::collections::BTreeSet;

use tidetrack_core::ids::{EndpointId, ServiceId};
use tidetrack_core::traffic::control::{FleetState, Input};
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::peers::{PeerMessage, PeerUpdate, ProofReport};
use tidetrack_core::units::Millis;

use support::{endpoint_record, id, last_published_view, message_from, state_with_endpoints};

/// Interval between inputs, in milliseconds. A busy host receives one every few milliseconds.
const INPUT_INTERVAL_MS: u64 = 50;

/// Interval between reads of the configuration, in milliseconds.
const READ_INTERVAL_MS: u64 = 1_000;

/// Returns a message from another host that has just read the configuration.
fn peer_proof(now: u64) -> Input {
    let update =
        PeerUpdate { proof: Some(ProofReport { version: 3, age_ms: 0 }), ..PeerUpdate::default() };
    Input::PeerMessageReceived(Box::new(PeerMessage {
        echo_ms: Some(now),
        ..message_from(2, update)
    }))
}

/// A host on a simulated clock.
struct Host {
    fleet_state: FleetState,
    freshness: Freshness,
    now: u64,
    known_endpoints: BTreeSet<EndpointId>,
}

impl Host {
    fn new() -> Host {
        let freshness = Freshness::default();
        let (fleet_state, known_endpoints) = (state_with_endpoints(1, &freshness), BTreeSet::new());
        Host { fleet_state, freshness, now: 0, known_endpoints }
    }

    fn handle_input(&mut self, input: Input) {
        let actions = self.fleet_state.handle_input(Millis(self.now), input, &self.freshness);
        if let Some(view) = last_published_view(&actions) {
            let stable_pool = &view.services[&id::<ServiceId>("llm")].stable_pool;
            self.known_endpoints = stable_pool.endpoints().iter().map(|e| e.id.clone()).collect();
        }
    }

    /// Advances the clock to `until`, in milliseconds. `read_input` returns the input for a read of
    /// the store, if there is one.
    fn run_until(&mut self, until: u64, read_input: impl Fn(u64) -> Option<Input>) {
        while self.now < until {
            self.now += INPUT_INTERVAL_MS;
            self.handle_input(Input::Tick);
            if self.now.is_multiple_of(READ_INTERVAL_MS) {
                read_input(self.now).into_iter().for_each(|input| self.handle_input(input));
            }
        }
    }

    fn knows_endpoint(&self, endpoint: &str) -> bool {
        self.known_endpoints.contains(&id::<EndpointId>(endpoint))
    }
}

#[test]
fn an_entry_removed_while_only_this_host_has_lost_the_store_is_dropped() {
    let mut host = Host::new();
    let peer_read = |now| Some(peer_proof(now));
    host.run_until(5_000, peer_read);
    host.handle_input(Input::StoreUnreachable);

    host.run_until(5_500, peer_read);
    host.handle_input(Input::EndpointRemoved(id("o1")));
    host.run_until(6_500, peer_read);

    assert!(!host.knows_endpoint("o1"), "an endpoint that left still gets requests");
    assert!(host.knows_endpoint("o2"));
}

#[test]
fn an_entry_missing_from_the_list_after_only_this_host_lost_the_store_is_dropped() {
    let mut host = Host::new();
    let peer_read = |now| Some(peer_proof(now));
    host.run_until(5_000, peer_read);
    host.handle_input(Input::StoreUnreachable);

    host.run_until(8_000, peer_read);
    host.handle_input(Input::EndpointList(vec![endpoint_record("o2", "v1")]));
    host.handle_input(Input::StoreReachable);
    host.run_until(8_500, peer_read);

    assert!(!host.knows_endpoint("o1"), "an endpoint that left still gets requests");
    assert!(host.knows_endpoint("o2"));
}

#[test]
fn an_entry_removed_while_this_host_still_reads_another_kind_is_dropped() {
    let mut host = Host::new();
    let read_input = |now: u64| Some(Input::ConfigConfirmed(Millis(now)));
    host.run_until(5_000, read_input);
    host.handle_input(Input::StoreUnreachable);

    host.run_until(5_500, read_input);
    host.handle_input(Input::EndpointRemoved(id("o1")));
    host.run_until(6_500, read_input);

    assert!(!host.knows_endpoint("o1"), "an endpoint that left still gets requests");
}

#[test]
fn an_entry_that_expired_in_an_outage_is_kept_although_another_host_reads_first() {
    let mut host = Host::new();
    let peer_read = |now| Some(peer_proof(now));
    host.run_until(5_000, peer_read);
    host.handle_input(Input::StoreUnreachable);
    host.run_until(15_000, |_| None);

    // Another host reads the store just before this one, and the list lacks entries that have not
    // returned yet.
    host.handle_input(peer_proof(15_000));
    host.run_until(15_500, peer_read);
    host.handle_input(Input::EndpointList(vec![endpoint_record("o2", "v1")]));
    host.handle_input(Input::StoreReachable);
    host.run_until(16_500, peer_read);

    assert!(host.knows_endpoint("o1"), "the entry is dropped before it could return");
    assert!(host.knows_endpoint("o2"));
}

#[test]
fn an_entry_that_expired_in_an_outage_and_does_not_return_is_dropped_in_time() {
    let mut host = Host::new();
    let peer_read = |now| Some(peer_proof(now));
    host.run_until(5_000, peer_read);
    host.handle_input(Input::StoreUnreachable);
    host.run_until(15_000, |_| None);

    host.handle_input(Input::EndpointList(vec![endpoint_record("o2", "v1")]));
    host.handle_input(Input::StoreReachable);
    host.run_until(18_000, peer_read);

    assert!(!host.knows_endpoint("o1"));
    assert!(host.knows_endpoint("o2"));
}
