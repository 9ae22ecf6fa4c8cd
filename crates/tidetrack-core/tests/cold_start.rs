//! A whole fleet that starts at once: who asks the store, and when all know what they need.

mod support;

use std::sync::Arc;

use tidetrack_core::traffic::bootstrap::hold_time;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::feeds::FeedKind;
use tidetrack_core::units::{Bandwidth, Millis};

use support::fleet::{ColdStartConfig, Fleet};
use support::{
    catalog, caught_up, fleet_state, freshness_confirmed_at, id, last_published_view, record,
    rollouts,
};

/// A configuration of 1,400 routes.
const CATALOG_BYTES: u64 = 337_000;

/// When half of the hosts knew the endpoints and the configuration as each read them for itself, in milliseconds after
/// the start. Messages take up to 50 ms more here than on links.
const MAX_HALF_KNOWN_MS: u64 = 900;

/// Longest that a fleet is given to know all.
const START_TIMEOUT_MS: u64 = 4_000;

fn start_config(hosts: u32, well_connected_hosts: u32) -> ColdStartConfig {
    ColdStartConfig {
        hosts,
        domains: 6,
        well_connected_hosts,
        fast_link: Bandwidth(200.0),
        slow_link: Bandwidth(20.0),
        endpoints: 166,
        catalog_bytes: CATALOG_BYTES,
    }
}

/// What a start took.
#[derive(Debug)]
struct StartResult {
    /// When half of the hosts knew all, and all of them.
    half_known_at: u64,
    all_known_at: u64,
    /// Reads of the store.
    store_calls: usize,
    /// Messages that a host sent.
    messages_per_host: usize,
}

fn run_cold_start(config: &ColdStartConfig, seed: u64) -> StartResult {
    let mut fleet = Fleet::start_cold(config, seed);
    let hosts = config.hosts as usize;
    let (mut half_known_at, mut all_known_at) = (START_TIMEOUT_MS, START_TIMEOUT_MS);
    while fleet.now < START_TIMEOUT_MS {
        fleet.run(fleet.now + 10, |_, _| {});
        let has_all_feeds =
            |i: &usize| fleet.known_endpoints[*i] > 0 && fleet.known_catalog[*i] > 0;
        let caught_up_hosts = (0..hosts).filter(has_all_feeds).count();
        if caught_up_hosts * 2 >= hosts {
            half_known_at = half_known_at.min(fleet.now);
        }
        if caught_up_hosts == hosts {
            all_known_at = all_known_at.min(fleet.now);
        }
    }
    StartResult {
        half_known_at,
        all_known_at,
        store_calls: fleet.store_calls,
        messages_per_host: fleet.messages_sent / hosts,
    }
}

/// What was seen: 295 hosts that were killed together asked the store the same, 3.2 calls each at full price, and knew
/// the configuration after 0.9 s: 295 copies of 337 KB on the store's link; 2,469 requests were refused until then.
/// Cause: each host that started listed every kind for itself. Evidence: the counts of such a start, 295 lists of the
/// configuration and 590 reads of changes.
#[test]
fn a_fleet_that_starts_at_once_reads_the_store_from_few_hosts() {
    for (hosts, well_connected_hosts, seed) in [(295, 18, 1), (295, 18, 2), (540, 30, 3)] {
        let result = run_cold_start(&start_config(hosts, well_connected_hosts), seed);
        println!("{hosts} hosts: {result:?}");

        assert!(
            result.half_known_at <= MAX_HALF_KNOWN_MS && result.all_known_at < START_TIMEOUT_MS,
            "{hosts} hosts: {result:?}"
        );
        // Four times what rounds of eight messages would be.
        assert!(result.messages_per_host <= 512, "{hosts} hosts: {result:?}");
        // Each for itself would be two for each host.
        assert!(result.store_calls <= hosts as usize / 2, "{hosts} hosts: {result:?}");
    }
}

/// Strong links spare time, not answers: where there are none, those that all know read first, and a few others.
#[test]
fn a_fleet_of_slow_links_starts_too() {
    let result = run_cold_start(&start_config(91, 0), 1);
    println!("{result:?}");

    assert!(result.all_known_at < START_TIMEOUT_MS, "{result:?}");
    // Each for itself would be two for each host.
    assert!(result.store_calls <= 91 * 3 / 2, "{result:?}");
}

/// A host whose word is lost, or that knows only hosts which are gone, reads the store.
#[test]
fn a_host_that_reaches_no_other_host_reads_the_store() {
    let mut config = start_config(12, 0);
    config.domains = 3;
    let mut fleet = Fleet::start_cold(&config, 1);
    fleet.unresponsive = (0..12).collect();

    fleet.run(START_TIMEOUT_MS, |_, _| {});

    assert!(
        fleet.known_endpoints.iter().all(|revision| *revision > 0),
        "{:?}",
        fleet.known_endpoints
    );
    assert!(fleet.known_catalog.iter().all(|revision| *revision > 0));
    let kind_count = [FeedKind::Catalog, FeedKind::Endpoints].len();
    assert!(fleet.store_calls >= 12 * kind_count, "{}", fleet.store_calls);
}

/// A caller that wants its answer soon is not kept from asking elsewhere, and nobody is held by a host that is not
/// about to know anything.
#[test]
fn a_request_is_held_during_bootstrap_for_part_of_its_remaining_time() {
    let hold_time_ms =
        |elapsed, remaining: Option<u64>| hold_time(Millis(elapsed), remaining.map(Millis)).0;

    let (short_deadline, long_deadline, no_deadline) =
        (hold_time_ms(50, Some(1_500)), hold_time_ms(50, Some(20_000)), hold_time_ms(50, None));
    let (near_bootstrap_end, after_bootstrap) =
        (hold_time_ms(900, Some(20_000)), hold_time_ms(5_000, Some(20_000)));

    assert!(short_deadline < 100 && no_deadline == 0, "{short_deadline} {no_deadline}");
    assert!((400..=500).contains(&long_deadline), "{long_deadline}");
    assert_eq!((near_bootstrap_end, after_bootstrap), (100, 0));
}

/// Guards against a host that is ready while it holds all endpoints until it has read the roll-outs.
#[test]
fn a_starting_host_has_endpoints_once_it_may_send_requests_to_one() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = fleet_state(2);
    fleet_state.handle_input(Millis(0), Input::Catalog(Arc::new(catalog(3))), &freshness);
    let endpoints = vec![record("o1", "v1"), record("n1", "v2")];

    let after_list =
        fleet_state.handle_input(Millis(10), Input::EndpointList(endpoints), &freshness);
    fleet_state.handle_input(Millis(11), caught_up(FeedKind::Endpoints, 10), &freshness);
    fleet_state.handle_input(Millis(12), rollouts(Vec::new()), &freshness);
    let after_rollouts =
        fleet_state.handle_input(Millis(13), caught_up(FeedKind::Rollouts, 10), &freshness);

    let view_before_rollouts = last_published_view(&after_list).expect("a view");
    let view_after_rollouts = last_published_view(&after_rollouts).expect("a view");
    assert!(!view_before_rollouts.has_endpoints && view_before_rollouts.services.is_empty());
    assert!(
        view_after_rollouts.has_endpoints && view_after_rollouts.services.contains_key(&id("llm"))
    );
}

/// Guards against holding the only version of a service for the moment between the list and its revision.
#[test]
fn endpoints_of_the_only_version_of_a_service_serve_as_soon_as_they_are_listed() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = fleet_state(2);
    fleet_state.handle_input(Millis(0), Input::Catalog(Arc::new(catalog(3))), &freshness);

    let actions = fleet_state.handle_input(
        Millis(10),
        Input::EndpointList(vec![record("o1", "v1")]),
        &freshness,
    );

    let view = last_published_view(&actions).expect("a view");
    assert!(view.has_endpoints && view.services.contains_key(&id("llm")));
}
