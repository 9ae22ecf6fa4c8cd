//! A whole fleet that starts at once: which hosts read the store, and when all hosts have the data
//! they need.

mod support;

use std::sync::Arc;

use tidetrack_core::traffic::bootstrap::hold_time;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::feeds::FeedKind;
use tidetrack_core::units::{Bandwidth, Millis};

use support::fleet::{ColdStartConfig, Fleet};
use support::{
    catalog, caught_up_input, endpoint_record, fleet_state, freshness_confirmed_at, id,
    last_published_view, no_evacuations, rollout_list,
};

/// Size in bytes of a configuration with 1,400 routes.
const CATALOG_BYTES: u64 = 337_000;

/// Time after the start within which half of the hosts have the endpoints and the configuration, in
/// milliseconds. This is the time it took when each host read them from the store itself. Messages
/// take up to 50 ms longer here than on real links.
const MAX_HALF_KNOWN_MS: u64 = 900;

/// Time after the start at which the simulation ends, in milliseconds.
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

/// Measurements of one start of a fleet.
#[derive(Debug)]
struct StartResult {
    /// Time at which half of the hosts had all data, in milliseconds.
    half_known_at: u64,
    /// Time at which all hosts had all data, in milliseconds.
    all_known_at: u64,
    /// Number of fetches from the store.
    store_calls: usize,
    /// Number of messages per host.
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

/// Guards against a start at which each host lists every kind from the store itself. When 295 hosts
/// were killed together, each made 3.2 calls to the store at full cost, for 295 lists of the
/// configuration and 590 reads of changes in all. With 295 copies of 337 KB on the store's link,
/// the hosts had the configuration after 0.9 s, and 2,469 requests were refused until then.
#[test]
fn a_fleet_that_starts_at_once_reads_the_store_from_few_hosts() {
    for (hosts, well_connected_hosts, seed) in [(295, 18, 1), (295, 18, 2), (540, 30, 3)] {
        let result = run_cold_start(&start_config(hosts, well_connected_hosts), seed);
        println!("{hosts} hosts: {result:?}");

        assert!(
            result.half_known_at <= MAX_HALF_KNOWN_MS && result.all_known_at < START_TIMEOUT_MS,
            "{hosts} hosts: {result:?}"
        );
        // Four times the number of messages in regular rounds of eight.
        assert!(result.messages_per_host <= 512, "{hosts} hosts: {result:?}");
        // If each host read the store itself, there would be two fetches per host.
        assert!(result.store_calls <= hosts as usize / 2, "{hosts} hosts: {result:?}");
    }
}

/// Hosts with fast links shorten the start but are not required: without any, the seeds and a few
/// other hosts read the store first.
#[test]
fn a_fleet_of_slow_links_starts_too() {
    let result = run_cold_start(&start_config(91, 0), 1);
    println!("{result:?}");

    assert!(result.all_known_at < START_TIMEOUT_MS, "{result:?}");
    // If each host read the store itself, there would be two fetches per host.
    assert!(result.store_calls <= 91 * 3 / 2, "{result:?}");
}

/// A host that cannot fetch anything from the other hosts reads the store.
#[test]
fn a_host_that_reaches_no_other_host_reads_the_store() {
    let mut config = start_config(12, 0);
    config.domains = 3;
    let mut fleet = Fleet::start_cold(&config, 1);
    fleet.unresponsive = (0..12).collect();

    fleet.run(START_TIMEOUT_MS, |_, _| {});

    assert!(
        fleet.known_endpoints.iter().all(|revision| *revision > 0),
        "a host knows no endpoints, revisions: {:?}",
        fleet.known_endpoints
    );
    assert!(fleet.known_catalog.iter().all(|revision| *revision > 0));
    let kind_count = [FeedKind::Catalog, FeedKind::Endpoints].len();
    assert!(fleet.store_calls >= 12 * kind_count, "{} calls to the store", fleet.store_calls);
}

/// A request with a short deadline is held so briefly that its caller can try another host, and a
/// host whose bootstrap time is over holds no requests.
#[test]
fn a_request_is_held_during_bootstrap_for_part_of_its_remaining_time() {
    let hold_time_ms =
        |elapsed, remaining: Option<u64>| hold_time(Millis(elapsed), remaining.map(Millis)).0;

    let (short_deadline, long_deadline, no_deadline) =
        (hold_time_ms(50, Some(1_500)), hold_time_ms(50, Some(20_000)), hold_time_ms(50, None));
    let (near_bootstrap_end, after_bootstrap) =
        (hold_time_ms(900, Some(20_000)), hold_time_ms(5_000, Some(20_000)));

    assert!(
        short_deadline < 100 && no_deadline == 0,
        "hold times in ms: short deadline {short_deadline}, none {no_deadline}"
    );
    assert!(
        (400..=500).contains(&long_deadline),
        "hold time with a long deadline: {long_deadline} ms"
    );
    assert_eq!((near_bootstrap_end, after_bootstrap), (100, 0));
}

/// Guards against a host that reports that it has endpoints while it still withholds all of them
/// until it has read the roll-outs.
#[test]
fn a_starting_host_has_endpoints_once_it_may_send_requests_to_one() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = fleet_state(2);
    fleet_state.handle_input(Millis(0), Input::Catalog(Arc::new(catalog(3))), &freshness);
    fleet_state.handle_input(Millis(0), no_evacuations(), &freshness);
    let endpoints = vec![endpoint_record("o1", "v1"), endpoint_record("n1", "v2")];

    let after_list =
        fleet_state.handle_input(Millis(10), Input::EndpointList(endpoints), &freshness);
    fleet_state.handle_input(Millis(11), caught_up_input(FeedKind::Endpoints, 10), &freshness);
    fleet_state.handle_input(Millis(12), rollout_list(Vec::new()), &freshness);
    let after_rollouts =
        fleet_state.handle_input(Millis(13), caught_up_input(FeedKind::Rollouts, 10), &freshness);

    let view_before_rollouts = last_published_view(&after_list).expect("a view is published");
    let view_after_rollouts = last_published_view(&after_rollouts).expect("a view is published");
    assert!(!view_before_rollouts.has_endpoints && view_before_rollouts.services.is_empty());
    assert!(
        view_after_rollouts.has_endpoints && view_after_rollouts.services.contains_key(&id("llm"))
    );
}

/// Guards against withholding the only version of a service between the list of endpoints and its
/// revision.
#[test]
fn endpoints_of_the_only_version_of_a_service_serve_as_soon_as_they_are_listed() {
    let freshness = freshness_confirmed_at(0);
    let mut fleet_state = fleet_state(2);
    fleet_state.handle_input(Millis(0), Input::Catalog(Arc::new(catalog(3))), &freshness);
    fleet_state.handle_input(Millis(0), no_evacuations(), &freshness);

    let actions = fleet_state.handle_input(
        Millis(10),
        Input::EndpointList(vec![endpoint_record("o1", "v1")]),
        &freshness,
    );

    let view = last_published_view(&actions).expect("a view is published");
    assert!(view.has_endpoints && view.services.contains_key(&id("llm")));
}
