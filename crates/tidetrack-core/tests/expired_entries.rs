//! Endpoints that leave while a host has lost the store that the others reach.
//!
//! What users saw: an endpoint that had said that it leaves got a request 4 s later, over a host that was
//! ready again for 0.3 s.
//!
//! Order of events: large replies filled the host's link, and one of its calls to the store failed. It took
//! the store for away. The entries of endpoints that went in that time were kept, as they would be back if
//! the store had been away for their heartbeats too; until all kinds had been read again, and 2.3 s longer.
//!
//! Cause: a host's own loss of the store was taken for an outage of the store, although reads that other
//! hosts told of, and its own of another kind, showed that the store answered.
//!
//! Evidence: of the record, the host's time unready (74.0 to 78.0 s), the endpoint's leaving (74.5 s) and the
//! request (78.3 s); of the code, the first three tests here: the endpoint that left was still believed in.
//! That the host had lost the store at that time is inferred, its log was not kept.

mod support;

use std::collections::BTreeSet;

use tidetrack_core::ids::{EndpointId, ServiceId};
use tidetrack_core::traffic::control::{FleetState, Input};
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::peers::{PeerMessage, PeerUpdate, ProofReport};
use tidetrack_core::units::Millis;

use support::{id, last_published_view, message_from, record, with_endpoints};

/// Time between inputs; a busy host has one every few milliseconds.
const INPUT_INTERVAL_MS: u64 = 50;

/// Time between reads of the configuration.
const READ_INTERVAL_MS: u64 = 1_000;

/// Word of another host that read the configuration just now.
fn peer_proof(now: u64) -> Input {
    let update =
        PeerUpdate { proof: Some(ProofReport { version: 3, age_ms: 0 }), ..PeerUpdate::default() };
    Input::PeerMessageReceived(Box::new(PeerMessage {
        echo_ms: Some(now),
        ..message_from(2, update)
    }))
}

/// A host on a moving clock.
struct Host {
    fleet_state: FleetState,
    freshness: Freshness,
    now: u64,
    known_endpoints: BTreeSet<EndpointId>,
}

impl Host {
    fn new() -> Host {
        let freshness = Freshness::default();
        let (fleet_state, known_endpoints) = (with_endpoints(1, &freshness), BTreeSet::new());
        Host { fleet_state, freshness, now: 0, known_endpoints }
    }

    fn handle_input(&mut self, input: Input) {
        let actions = self.fleet_state.handle_input(Millis(self.now), input, &self.freshness);
        if let Some(view) = last_published_view(&actions) {
            let stable_pool = &view.services[&id::<ServiceId>("llm")].stable_pool;
            self.known_endpoints = stable_pool.endpoints().iter().map(|e| e.id.clone()).collect();
        }
    }

    /// Lets time pass; `read_input` makes what tells of a read of the store.
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

    assert!(!host.knows_endpoint("o1"), "an endpoint that left is still asked");
    assert!(host.knows_endpoint("o2"));
}

#[test]
fn an_entry_missing_from_the_list_after_only_this_host_lost_the_store_is_dropped() {
    let mut host = Host::new();
    let peer_read = |now| Some(peer_proof(now));
    host.run_until(5_000, peer_read);
    host.handle_input(Input::StoreUnreachable);

    host.run_until(8_000, peer_read);
    host.handle_input(Input::EndpointList(vec![record("o2", "v1")]));
    host.handle_input(Input::StoreReachable);
    host.run_until(8_500, peer_read);

    assert!(!host.knows_endpoint("o1"), "an endpoint that left is still asked");
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

    assert!(!host.knows_endpoint("o1"), "an endpoint that left is still asked");
}

#[test]
fn an_entry_that_expired_in_an_outage_is_kept_although_another_host_reads_first() {
    let mut host = Host::new();
    let peer_read = |now| Some(peer_proof(now));
    host.run_until(5_000, peer_read);
    host.handle_input(Input::StoreUnreachable);
    host.run_until(15_000, |_| None);

    // Others are served a moment before this host, and list what has not come back yet.
    host.handle_input(peer_proof(15_000));
    host.run_until(15_500, peer_read);
    host.handle_input(Input::EndpointList(vec![record("o2", "v1")]));
    host.handle_input(Input::StoreReachable);
    host.run_until(16_500, peer_read);

    assert!(host.knows_endpoint("o1"), "its entry has time to come back");
    assert!(host.knows_endpoint("o2"));
}

#[test]
fn an_entry_that_expired_in_an_outage_and_does_not_return_is_dropped_in_time() {
    let mut host = Host::new();
    let peer_read = |now| Some(peer_proof(now));
    host.run_until(5_000, peer_read);
    host.handle_input(Input::StoreUnreachable);
    host.run_until(15_000, |_| None);

    host.handle_input(Input::EndpointList(vec![record("o2", "v1")]));
    host.handle_input(Input::StoreReachable);
    host.run_until(18_000, peer_read);

    assert!(!host.knows_endpoint("o1"));
    assert!(host.knows_endpoint("o2"));
}
