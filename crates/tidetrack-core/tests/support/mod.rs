//! Fixtures shared by the tests of the traffic decisions.

// Each test file uses only some of the fixtures.
#![allow(dead_code)]

pub mod fleet;
pub mod links;
pub mod overload_simulation;
pub mod rollout_simulation;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use tidetrack_core::ids::HostId;
use tidetrack_core::traffic::canary::{RolloutOrder, RolloutProgress, RolloutState};
use tidetrack_core::traffic::catalog::{
    Catalog, KeyHolder, PricedModel, Route, Service, Target, WorkKind,
};
use tidetrack_core::traffic::control::{Action, FleetState, Input};
use tidetrack_core::traffic::endpoints::EndpointRecord;
use tidetrack_core::traffic::feeds::FeedKind;
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::peers::{PeerMessage, PeerTable, PeerUpdate};
use tidetrack_core::traffic::view::FleetView;
use tidetrack_core::units::Millis;

/// Parses a name or identifier.
pub fn id<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the name or identifier parses")
}

pub fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: id(name),
        hostname: "shop.example".into(),
        path_prefix: prefix.into(),
        targets: vec![Target { service: id("llm"), weight: 1 }],
        work: WorkKind::Stream { resumable: true },
        timeout: Millis(20_000),
        objective: Millis(1_500),
        max_event_gap: Some(Millis(1_200)),
        rank: 1,
        max_attempts: 3,
        is_public: false,
        models: vec![id("small"), id("large")],
    }
}

pub fn catalog(version: u64) -> Catalog {
    let holder = KeyHolder { workspace: id("north"), rank: Some(0) };
    let models = vec![
        PricedModel { name: id("small"), price: 0.02 },
        PricedModel { name: id("large"), price: 0.35 },
    ];
    Catalog {
        version,
        routes: vec![Arc::new(route("all", "/a/")), Arc::new(route("books", "/a/books/"))],
        services: [(id("llm"), Service { models, ..Service::default() })].into(),
        keys: Some([("north-key".to_string(), holder)].into()),
        ..Catalog::default()
    }
}

/// Time within which a revoked key has to be rejected.
pub const REVOCATION_BOUND: Option<Millis> = Some(Millis(5_000));

/// Returns the freshness of a configuration that a read begun at `confirmed_at` has confirmed.
pub fn freshness_confirmed_at(confirmed_at: u64) -> Freshness {
    let freshness = Freshness::default();
    freshness.record_proof(Millis(confirmed_at));
    freshness
}

pub fn endpoint_record(name: &str, version: &str) -> EndpointRecord {
    EndpointRecord {
        id: id(name),
        service: id("llm"),
        address: "10.0.0.1:80".parse().expect("the address parses"),
        failure_domain: id("a"),
        version: id(version),
        slots: 8,
        started: None,
        is_leaving: false,
        cold_for: Millis(0),
    }
}

pub fn rollout_order(revision: u64, progress: Option<RolloutProgress>) -> RolloutOrder {
    RolloutOrder {
        service: id("llm"),
        version: id("v2"),
        duration: Millis(20_000),
        revision,
        progress,
    }
}

pub fn rollout_progress(state: RolloutState, elapsed: u64) -> RolloutProgress {
    RolloutProgress { state, version: id("v2"), elapsed: Millis(elapsed), sample: None }
}

/// Returns the name and the address of a host.
pub fn host(host_number: u32) -> (HostId, SocketAddr) {
    (
        id(&format!("h{host_number}")),
        format!("10.0.{}.{}:7", host_number / 250, host_number % 250)
            .parse()
            .expect("the address parses"),
    )
}

/// Returns the index, among all hosts, of the host with an address. The address is one that `host`
/// returns. Returns `None` for an IPv6 address and for the address of `host(0)`, which has no
/// index.
pub fn host_index_of(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, _, high_byte, low_byte] = address.ip().octets();
    (usize::from(high_byte) * 250 + usize::from(low_byte)).checked_sub(1)
}

pub fn fleet_state(host_number: u32) -> FleetState {
    fleet_state_of_incarnation(host_number, 0)
}

/// Returns the empty state of one incarnation of a host.
pub fn fleet_state_of_incarnation(host_number: u32, incarnation: u64) -> FleetState {
    let ((name, address), (_, seed)) = (host(host_number), host(1));
    let peer_table = PeerTable::new(name.clone(), address, id("hall"), vec![seed]);
    FleetState::new(name, peer_table.with_incarnation(incarnation))
}

/// Returns the state of a host that knows a configuration and the endpoints of two versions.
pub fn state_with_endpoints(host_number: u32, freshness: &Freshness) -> FleetState {
    add_endpoints(fleet_state(host_number), freshness)
}

fn add_endpoints(mut fleet_state: FleetState, freshness: &Freshness) -> FleetState {
    let endpoints = vec![
        endpoint_record("o1", "v1"),
        endpoint_record("o2", "v1"),
        endpoint_record("n1", "v2"),
        endpoint_record("n2", "v2"),
    ];
    fleet_state.handle_input(Millis(0), Input::Catalog(Arc::new(catalog(3))), freshness);
    fleet_state.handle_input(Millis(0), Input::EndpointList(endpoints), freshness);
    fleet_state.handle_input(Millis(0), no_evacuations(), freshness);
    fleet_state
}

/// Returns a message from a host that is not a reply to a message of the receiver.
pub fn message_from(host_number: u32, update: PeerUpdate) -> PeerMessage {
    let (from, address) = host(host_number);
    PeerMessage {
        from,
        incarnation: 0,
        address,
        failure_domain: id("hall"),
        is_well_connected: false,
        wants_reply: false,
        stamp_ms: 1,
        echo_ms: None,
        known_addresses: vec![],
        update,
    }
}

/// Returns the input for a list of roll-outs without unreadable entries.
pub fn rollout_list(orders: Vec<RolloutOrder>) -> Input {
    Input::RolloutList { orders, unreadable: Vec::new() }
}

/// Returns the input for an empty list of evacuated failure domains.
pub fn no_evacuations() -> Input {
    Input::EvacuationList(BTreeSet::new())
}

/// Returns the same state as `state_with_endpoints`, for a given incarnation of the host.
pub fn state_with_endpoints_of_incarnation(
    host_number: u32,
    incarnation: u64,
    freshness: &Freshness,
) -> FleetState {
    add_endpoints(fleet_state_of_incarnation(host_number, incarnation), freshness)
}

/// Returns the input which says that all changes of a kind are known up to a revision.
pub fn caught_up_input(kind: FeedKind, complete: u64) -> Input {
    Input::CaughtUp { kind, complete, changed: None }
}

/// Returns the state of a host that knows endpoints of two versions and has read that there are no
/// roll-outs.
pub fn state_without_rollout(host_number: u32, freshness: &Freshness) -> FleetState {
    let mut fleet_state = state_with_endpoints(host_number, freshness);
    fleet_state.handle_input(Millis(0), caught_up_input(FeedKind::Endpoints, 10), freshness);
    fleet_state.handle_input(Millis(0), rollout_list(Vec::new()), freshness);
    fleet_state.handle_input(Millis(0), caught_up_input(FeedKind::Rollouts, 10), freshness);
    fleet_state
}

/// Returns the state of a host that knows endpoints of two versions and a roll-out of the second one.
pub fn state_with_rollout(host_number: u32, freshness: &Freshness) -> FleetState {
    let mut fleet_state = state_with_endpoints(host_number, freshness);
    fleet_state.handle_input(Millis(0), rollout_list(vec![rollout_order(1, None)]), freshness);
    fleet_state
}

/// Returns the roll-out states that the actions write, in order.
pub fn written_states(actions: &[Action]) -> Vec<RolloutState> {
    let state = |a: &Action| match a {
        Action::WriteProgress(write) => Some(write.progress.state),
        _ => None,
    };
    actions.iter().filter_map(state).collect()
}

/// Returns the view that the last publishing action publishes, or `None` if no action does.
pub fn last_published_view(actions: &[Action]) -> Option<Arc<FleetView>> {
    let view = |a: &Action| match a {
        Action::PublishView(view) => Some(view.clone()),
        _ => None,
    };
    actions.iter().rev().find_map(view)
}
