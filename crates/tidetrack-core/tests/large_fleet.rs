//! Simulated large fleets on virtual time. Hosts have to learn nearly everything from each other,
//! because the number of calls to the store must not grow with the fleet.

mod support;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::ids::ServiceId;
use tidetrack_core::traffic::canary::ReleaseTrack;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::units::Millis;

use support::fleet::{Fleet, CLOCK_STEP_MS, ENDPOINT_CHANGE_BYTES};
use support::{endpoint_record, id, last_published_view, rollout_order, state_without_rollout};

/// Age of the newest proof, a confirmed read of the configuration, at which a host reads the
/// configuration itself.
const MAX_PROOF_AGE: Millis = Millis(2_500);

#[test]
fn proofs_of_a_few_hosts_keep_a_large_fleet_from_reading_the_configuration() {
    let mut fleet = Fleet::start(83, 1);
    fleet.run(3_000, |_, _| {});
    let mut stale_count = 0;
    let mut samples = 0;

    fleet.run(13_000, |now, host| {
        samples += 1;
        let age = host.freshness.age(Millis(now)).expect("the host must have a proof");
        stale_count += usize::from(age >= MAX_PROOF_AGE);
    });

    let provers = fleet.hosts.iter().filter(|h| h.fleet_state.is_prover()).count();
    assert_eq!(provers, 3);
    // A message and its retransmission may both be lost.
    assert!(stale_count * 500 < samples, "proof too old in {stale_count} of {samples} samples");
}

#[test]
fn messages_per_host_do_not_grow_with_the_fleet() {
    let messages_per_host_and_second = |hosts: u32| {
        let mut fleet = Fleet::start(hosts, 2);
        fleet.run(3_000, |_, _| {});
        fleet.messages_sent = 0;
        fleet.run(8_000, |_, _| {});
        fleet.messages_sent as f64 / f64::from(hosts) / 5.0
    };

    let (small_fleet_rate, large_fleet_rate) =
        (messages_per_host_and_second(20), messages_per_host_and_second(120));

    println!(
        "messages per host and second: {small_fleet_rate:.1} with 20 hosts, \
         {large_fleet_rate:.1} with 120"
    );
    assert!(
        large_fleet_rate < small_fleet_rate * 1.1,
        "messages per host and second: {small_fleet_rate} with 20 hosts, \
         {large_fleet_rate} with 120"
    );
}
#[test]
fn hosts_of_a_starting_fleet_know_each_other_within_seconds() {
    let mut fleet = Fleet::start(83, 3);

    fleet.run(3_500, |_, _| {});

    let known_hosts: Vec<usize> = fleet.hosts.iter().map(|h| h.fleet_state.peers().len()).collect();
    assert!(known_hosts.iter().all(|n| *n >= 80), "hosts known to each host: {known_hosts:?}");
}

#[test]
fn changes_reach_a_large_fleet_from_a_few_watchers() {
    let mut fleet = Fleet::start(83, 4);
    fleet.run(4_000, |_, _| {});

    let latencies_ms: Vec<u64> = (0..20).map(|_| fleet.change_endpoints()).collect();

    let watchers = fleet.hosts.iter().filter(|h| h.fleet_state.is_watcher()).count();
    assert_eq!(watchers, 2);
    assert!(latencies_ms.iter().all(|ms| *ms <= 1_000), "latencies in ms: {latencies_ms:?}");
    assert!(fleet.store_calls <= 20, "{} calls to the store", fleet.store_calls);
}

/// Number of endpoints of a service that restart under their ids, and the time in milliseconds in
/// which each of them restarts twice, one after another.
const RESTART_BURST: (u64, u64) = (160, 2_000);

/// Guards against hosts that read endpoint changes from the store during a burst of restarts. Most
/// of 295 hosts did so while endpoints restarted one after another. Each host may receive at most
/// 1.5 times the bytes of all changes.
#[test]
fn a_burst_of_endpoint_restarts_reaches_hundreds_of_hosts_with_few_store_calls() {
    const HOSTS: u32 = 300;
    let (endpoints, burst_ms) = RESTART_BURST;
    let mut fleet = Fleet::start(HOSTS, 5);
    fleet.run(10_000, |_, _| {});
    let (calls, relayed_bytes) = (fleet.store_calls, fleet.relayed_bytes);

    let started_at = fleet.now;
    let changes = 2 * endpoints;
    while fleet.now < started_at + burst_ms {
        let changes_so_far = changes * (fleet.now - started_at + CLOCK_STEP_MS as u64) / burst_ms;
        fleet.endpoints_revision = fleet.endpoints_revision.max(10 + changes_so_far);
        fleet.run(fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
    }
    let all_hosts_know = |fleet: &Fleet| {
        fleet.known_endpoints.iter().all(|known| *known >= fleet.endpoints_revision)
    };
    while !all_hosts_know(&fleet) && fleet.now < started_at + burst_ms + 5_000 {
        fleet.run(fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
    }

    let (calls, relayed_bytes) = (fleet.store_calls - calls, fleet.relayed_bytes - relayed_bytes);
    let delay_ms = fleet.now - started_at - burst_ms;
    println!(
        "{calls} calls to the store, {relayed_bytes} bytes relayed, all hosts up to \
         date after {delay_ms} ms"
    );
    assert!(calls <= HOSTS as usize / 10, "{calls} calls to the store");
    assert!(delay_ms <= 2_000, "all hosts up to date only after {delay_ms} ms");
    assert!(
        relayed_bytes <= u64::from(HOSTS) * changes * ENDPOINT_CHANGE_BYTES * 3 / 2,
        "{relayed_bytes} bytes relayed"
    );
}

#[test]
fn a_host_reads_the_store_when_no_other_host_relays_a_change() {
    let mut fleet = Fleet::start(12, 5);
    fleet.run(4_000, |_, _| {});
    fleet.unresponsive = (0..12).collect();

    let latency_ms = fleet.change_endpoints();

    assert!(latency_ms <= 1_000, "change known only after {latency_ms} ms");
    assert!((1..=10).contains(&fleet.store_calls), "{} calls to the store", fleet.store_calls);
}

#[test]
fn a_host_without_any_source_of_a_change_retries_the_store_at_a_low_rate() {
    let mut fleet = Fleet::start(12, 6);
    fleet.run(4_000, |_, _| {});
    fleet.unresponsive = (0..12).collect();
    fleet.is_store_down = true;
    fleet.endpoints_revision += 1;

    fleet.run(14_000, |_, _| {});

    // Ten hosts read the store for ten seconds, about once a second each.
    assert!((50..=150).contains(&fleet.store_calls), "{} calls to the store", fleet.store_calls);
}

/// Guards against a watcher that has lost the store without noticing; all hosts of its failure
/// domain then received no endpoint changes. `platform/tests/endpoint_news.rs` reproduces the
/// fault.
#[test]
fn endpoint_changes_arrive_in_time_although_the_watchers_see_none() {
    let mut fleet = Fleet::start(67, 7);
    fleet.run(4_000, |_, _| {});
    fleet.are_watches_stalled = true;

    let change = |n: u64| -> u64 {
        // Varies the time of the change between two proofs.
        fleet.run(fleet.now + 130 * n, |_, _| {});
        fleet.change_endpoints()
    };
    let latencies_ms: Vec<u64> = (0..20).map(change).collect();

    println!("latencies {latencies_ms:?} ms, {} calls to the store", fleet.store_calls);
    assert!(latencies_ms.iter().all(|ms| *ms <= 2_500), "latencies in ms: {latencies_ms:?}");
    assert!(
        fleet.store_calls <= 60,
        "{} calls to the store by three hosts for 20 changes",
        fleet.store_calls
    );
}

/// Guards against requests to endpoints that have been removed. A host that hears from no other
/// host for a while, for example because its link is saturated, becomes ready again by its own read
/// of the configuration, but its endpoints are then as old as its previous proof. One such host
/// sent a request to an endpoint 0.3 s after it became ready and 3.8 s after the endpoint was
/// removed.
#[test]
fn a_host_that_makes_its_own_proof_reads_the_endpoints_at_once() {
    let mut fleet = Fleet::start(12, 8);
    fleet.run(4_000, |_, _| {});
    let mut immediate_store_calls = |is_prover: bool| {
        let has_requested_role = |i: &usize| fleet.hosts[*i].fleet_state.is_prover() == is_prover;
        let host = (0..12)
            .find(has_requested_role)
            .expect("the fleet must have a prover and another host");
        let before = fleet.store_calls;
        fleet.handle_input(host, Input::StoreRevisionSeen(fleet.endpoints_revision + 1));
        fleet.store_calls - before
    };

    let (calls_of_prover, calls_of_other_host) =
        (immediate_store_calls(true), immediate_store_calls(false));

    assert_eq!(calls_of_prover, 0, "a prover usually receives the change from a watcher");
    assert_eq!(calls_of_other_host, 1);
}

/// Session whose requests are sent one after another, each to a random host.
struct Session {
    name: String,
    next_at: u64,
    last_track: Option<ReleaseTrack>,
}

/// Counts of requests by the versions that their sessions met during a roll-out.
#[derive(Debug, Default)]
struct VersionChanges {
    /// Requests in the first half of the roll-out that were sent to the canary version although the
    /// previous one of the session was sent to the stable version.
    early_changes: usize,
    /// Requests that were sent to the stable version although the previous one of the session was
    /// sent to the canary version.
    reverted_changes: usize,
    /// Requests in the first half of the roll-out: those sent to the canary version, and all.
    canary_requests: usize,
    total_requests: usize,
}

/// Simulates a roll-out of 20 s with sessions that pause from 0.05 to 4 s between requests.
fn run_sessions_through_rollout(hosts: u32, sessions: usize, seed: u64) -> VersionChanges {
    let mut fleet = Fleet::start(hosts, seed);
    fleet.run(4_000, |_, _| {});
    let mut rng = StdRng::seed_from_u64(seed + 1);
    let mut active_sessions: Vec<Session> = (0..sessions)
        .map(|n| Session {
            name: format!("s{n}"),
            next_at: rng.random_range(0..8_000),
            last_track: None,
        })
        .collect();
    let started_at = 9_000;
    let mut changes = VersionChanges::default();
    for step in 0..500 {
        fleet.run(4_000 + (step + 1) * CLOCK_STEP_MS as u64, |_, _| {});
        if fleet.now == started_at {
            fleet.set_rollout_order(rollout_order(1, None));
        }
        let is_first_half = (started_at..started_at + 10_000).contains(&fleet.now);
        let now = fleet.now;
        for session in active_sessions.iter_mut().filter(|s| s.next_at <= now) {
            let host_index = rng.random_range(0..hosts as usize);
            let track = fleet.send_session_request(host_index, &session.name);
            let is_early_change = is_first_half
                && track == ReleaseTrack::Canary
                && session.last_track == Some(ReleaseTrack::Stable);
            changes.early_changes += usize::from(is_early_change);
            changes.reverted_changes += usize::from(
                track == ReleaseTrack::Stable && session.last_track == Some(ReleaseTrack::Canary),
            );
            changes.canary_requests += usize::from(is_first_half && track == ReleaseTrack::Canary);
            changes.total_requests += usize::from(is_first_half);
            session.last_track = Some(track);
            // Half of the requests are short calls that follow each other immediately.
            let pause_ms = if rng.random::<f64>() < 0.5 { 50..250 } else { 200..4_000 };
            session.next_at = fleet.now + rng.random_range(pause_ms);
            // After 15% of the requests, the caller starts a new session.
            if rng.random::<f64>() < 0.15 {
                session.name.push('x');
                session.last_track = None;
            }
        }
    }
    changes
}

#[test]
fn sessions_keep_their_version_through_a_rollout_of_a_large_fleet() {
    let outcomes: Vec<VersionChanges> =
        (1..=4).map(|seed| run_sessions_through_rollout(83, 900, seed)).collect();

    println!("version changes: {outcomes:?}");
    assert!(
        outcomes.iter().all(|m| m.early_changes <= 3 && m.reverted_changes <= 3),
        "version changes: {outcomes:?}"
    );
    assert!(
        outcomes.iter().map(|m| m.early_changes).sum::<usize>() <= 1,
        "version changes: {outcomes:?}"
    );
    assert!(outcomes.iter().all(|m| m.canary_requests >= 20), "version changes: {outcomes:?}");
}

#[test]
fn sessions_keep_their_version_through_a_rollout_of_a_small_fleet() {
    let changes = run_sessions_through_rollout(7, 300, 8);

    println!("version changes: {changes:?}");
    assert!(
        changes.early_changes <= 3 && changes.reverted_changes <= 3,
        "version changes: {changes:?}"
    );
    assert!(
        changes.canary_requests * 100 <= changes.total_requests * 14,
        "version changes: {changes:?}"
    );
}

#[test]
fn many_endpoint_changes_publish_few_views() {
    let freshness = Freshness::default();
    let mut fleet_state = state_without_rollout(1, &freshness);
    let mut views = Vec::new();
    // A service with 1,000 endpoints is replaced within two seconds.
    for i in 0..1_000u64 {
        let now = Millis(1_000 + 2 * i);
        let added_record = endpoint_record(&format!("i-{i}"), "v1");
        let actions = fleet_state.handle_input(now, Input::Endpoint(added_record), &freshness);
        views.extend(last_published_view(&actions).map(|view| (now, view)));
    }
    let last_view =
        last_published_view(&fleet_state.handle_input(Millis(3_100), Input::Tick, &freshness));

    assert!(views.len() <= 21, "{} views published", views.len());
    let final_view = last_view.expect("a view with the last changes must be published");
    assert_eq!(final_view.services[&id::<ServiceId>("llm")].stable_pool.endpoints().len(), 1_004);
}

/// Number of hosts with a fast link, and of all hosts of the fleet.
const FAST_HOSTS: usize = 8;
const FLEET_HOSTS: usize = 67;

/// Bandwidth in bytes per millisecond of a fast host's link, of a slow host's link (10 Mbit/s), and
/// of the store's link.
const FAST_LINK: f64 = 25_000.0;
const SLOW_LINK: f64 = 1_250.0;
const STORE_LINK: f64 = 125_000.0;

/// Size of a configuration with a few thousand routes.
const LARGE_CATALOG_BYTES: u64 = 1_000_000;

/// Effects of a large configuration change on a fleet.
#[derive(Debug)]
struct LargeChangeOutcome {
    /// Copies of the configuration that hosts started to receive: the largest number on one host,
    /// and the total.
    max_copies_per_host: usize,
    total_copies: usize,
    /// Number of hosts that started to receive 0, 1, 2, 3, and more copies.
    hosts_by_copies: [usize; 5],
    /// Bytes that all hosts received over their links, in units of one copy.
    received_copies: f64,
    /// Calls to the store by hosts that are not watchers.
    calls: usize,
    /// Time in milliseconds until all hosts know an endpoint change that is made 500 ms after the
    /// configuration change.
    endpoint_change_ms: u64,
    /// Time in milliseconds until all hosts know the configuration change.
    catalog_change_ms: u64,
}

/// Simulates a configuration change in a fleet of a few hosts with fast links and many with slow
/// ones, and an endpoint change while the configuration is still being transferred.
fn run_large_change(seed: u64) -> LargeChangeOutcome {
    let mut fleet = Fleet::start(FLEET_HOSTS as u32, seed);
    let mut bandwidths = vec![SLOW_LINK; FLEET_HOSTS];
    // The hosts with fast links are spread evenly over the fleet.
    (0..FAST_HOSTS).for_each(|n| bandwidths[n * FLEET_HOSTS / FAST_HOSTS] = FAST_LINK);
    fleet.set_link_bandwidths(bandwidths, STORE_LINK);
    fleet.run(4_000, |_, _| {});
    fleet.store_calls = 0;
    fleet.change_catalog(LARGE_CATALOG_BYTES);
    let started_at = fleet.now;
    fleet.run(started_at + 500, |_, _| {});

    let endpoint_change_ms = fleet.change_endpoints();
    let catalog_change_ms = fleet.run_until_catalog(started_at + 60_000) - started_at;

    let mut hosts_by_copies = [0; 5];
    fleet.catalog_copies.iter().for_each(|n| hosts_by_copies[(*n).min(4)] += 1);
    LargeChangeOutcome {
        max_copies_per_host: fleet.catalog_copies.iter().copied().max().unwrap_or(0),
        total_copies: fleet.catalog_copies.iter().sum(),
        hosts_by_copies,
        received_copies: fleet.links.received_large_bytes.iter().sum::<f64>()
            / LARGE_CATALOG_BYTES as f64,
        calls: fleet.store_calls,
        endpoint_change_ms,
        catalog_change_ms,
    }
}

#[test]
fn a_large_change_is_fetched_at_most_twice_per_host_and_does_not_block_a_small_one() {
    let outcomes: Vec<LargeChangeOutcome> = (1..=4).map(run_large_change).collect();

    for c in &outcomes {
        println!(
            "copies: {} in total, at most {} per host, hosts with 0, 1, 2, 3 and more: {:?}; \
             {:.1} received; {} calls to the store; the endpoint change took {} ms, \
             the configuration change {} ms",
            c.total_copies,
            c.max_copies_per_host,
            c.hosts_by_copies,
            c.received_copies,
            c.calls,
            c.endpoint_change_ms,
            c.catalog_change_ms
        );
    }
    assert!(
        outcomes.iter().all(|c| c.max_copies_per_host <= 2),
        "copies or latency over the limit: {outcomes:?}"
    );
    assert!(
        outcomes.iter().all(|c| c.endpoint_change_ms <= 3_000),
        "copies or latency over the limit: {outcomes:?}"
    );
}
