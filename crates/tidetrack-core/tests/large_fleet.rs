//! Hosts of a large fleet together, on virtual time: what they tell each other has to suffice, for
//! calls to the store must not grow with them.

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

/// Age of the proof at which a host reads the configuration itself.
const PROOF_WANTED: Millis = Millis(2_500);

#[test]
fn proofs_of_a_few_hosts_keep_a_large_fleet_from_reading_the_configuration() {
    let mut fleet = Fleet::start(83, 1);
    fleet.run(3_000, |_, _| {});
    let mut too_old = 0;
    let mut looks = 0;

    fleet.run(13_000, |now, host| {
        looks += 1;
        let age = host.freshness.age(Millis(now)).expect("a proof");
        too_old += usize::from(age >= PROOF_WANTED);
    });

    let provers = fleet.hosts.iter().filter(|h| h.fleet_state.is_prover()).count();
    assert_eq!(provers, 3);
    // A message and its repetition may both be lost.
    assert!(too_old * 500 < looks, "{too_old} of {looks}");
}

#[test]
fn messages_of_a_host_do_not_grow_with_the_fleet() {
    let sent_by_one = |hosts: u32| {
        let mut fleet = Fleet::start(hosts, 2);
        fleet.run(3_000, |_, _| {});
        fleet.messages_sent = 0;
        fleet.run(8_000, |_, _| {});
        fleet.messages_sent as f64 / f64::from(hosts) / 5.0
    };

    let (some, many) = (sent_by_one(20), sent_by_one(120));

    println!("messages a host and second: {some:.1} of 20 hosts, {many:.1} of 120");
    assert!(many < some * 1.1, "{some} {many}");
}
#[test]
fn a_fleet_that_starts_is_known_to_all_of_its_hosts_within_seconds() {
    let mut fleet = Fleet::start(83, 3);

    fleet.run(3_500, |_, _| {});

    let heard: Vec<usize> = fleet.hosts.iter().map(|h| h.fleet_state.peers().len()).collect();
    assert!(heard.iter().all(|n| *n >= 80), "{heard:?}");
}

#[test]
fn changes_reach_a_large_fleet_from_the_few_that_watch_the_store() {
    let mut fleet = Fleet::start(83, 4);
    fleet.run(4_000, |_, _| {});

    let took: Vec<u64> = (0..20).map(|_| fleet.change_endpoints()).collect();

    let watchers = fleet.hosts.iter().filter(|h| h.fleet_state.is_watcher()).count();
    assert_eq!(watchers, 2);
    assert!(took.iter().all(|ms| *ms <= 1_000), "{took:?}");
    assert!(fleet.store_calls <= 20, "{} calls", fleet.store_calls);
}

/// Endpoints of a service that start again under their ids, each twice in two seconds, one after another.
const STORM: (u64, u64) = (160, 2_000);

/// What was seen: while endpoints started one after another, most of 295 hosts read the changes from the store. The
/// figures are told by the test; what is given to a host is each change once and a half.
#[test]
fn endpoints_that_all_start_again_twice_are_known_to_hundreds_of_hosts_by_a_few_calls() {
    const HOSTS: u32 = 300;
    let (endpoints, within) = STORM;
    let mut fleet = Fleet::start(HOSTS, 5);
    fleet.run(10_000, |_, _| {});
    let (calls, given) = (fleet.store_calls, fleet.relayed_bytes);

    let began = fleet.now;
    let changes = 2 * endpoints;
    while fleet.now < began + within {
        let due = changes * (fleet.now - began + CLOCK_STEP_MS as u64) / within;
        fleet.endpoints_revision = fleet.endpoints_revision.max(10 + due);
        fleet.run(fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
    }
    let all_known = |fleet: &Fleet| {
        fleet.known_endpoints.iter().all(|known| *known >= fleet.endpoints_revision)
    };
    while !all_known(&fleet) && fleet.now < began + within + 5_000 {
        fleet.run(fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
    }

    let (calls, given) = (fleet.store_calls - calls, fleet.relayed_bytes - given);
    let after = fleet.now - began - within;
    println!("{calls} calls to the store, {given} bytes given, all known {after} ms later");
    assert!(calls <= HOSTS as usize / 10, "{calls} calls");
    assert!(after <= 2_000, "{after} ms");
    assert!(given <= u64::from(HOSTS) * changes * ENDPOINT_CHANGE_BYTES * 3 / 2, "{given} bytes");
}

#[test]
fn a_host_reads_the_store_itself_when_no_host_gives_it_a_change() {
    let mut fleet = Fleet::start(12, 5);
    fleet.run(4_000, |_, _| {});
    fleet.unresponsive = (0..12).collect();

    let took = fleet.change_endpoints();

    assert!(took <= 1_000, "{took} ms");
    assert!((1..=10).contains(&fleet.store_calls), "{} calls", fleet.store_calls);
}

#[test]
fn a_host_that_can_get_a_change_nowhere_asks_the_store_now_and_then() {
    let mut fleet = Fleet::start(12, 6);
    fleet.run(4_000, |_, _| {});
    fleet.unresponsive = (0..12).collect();
    fleet.is_store_down = true;
    fleet.endpoints_revision += 1;

    fleet.run(14_000, |_, _| {});

    // Ten hosts in ten seconds.
    assert!((50..=150).contains(&fleet.store_calls), "{} calls", fleet.store_calls);
}

/// A host that watches the store may be away from it and not know, and then all its failure domain heard of
/// no endpoint any more. Evidence: `platform/tests/endpoint_news.rs`.
#[test]
fn endpoints_are_known_in_time_though_those_that_watch_see_nothing() {
    let mut fleet = Fleet::start(67, 7);
    fleet.run(4_000, |_, _| {});
    fleet.are_watches_stalled = true;

    let change = |n: u64| -> u64 {
        // Changes come at all times between two proofs.
        fleet.run(fleet.now + 130 * n, |_, _| {});
        fleet.change_endpoints()
    };
    let took: Vec<u64> = (0..20).map(change).collect();

    println!("{took:?} ms, {} calls", fleet.store_calls);
    assert!(took.iter().all(|ms| *ms <= 2_500), "{took:?}");
    assert!(fleet.store_calls <= 60, "{} calls, of three hosts for 20 changes", fleet.store_calls);
}

/// A host was ready again and 0.3 s later sent a request to an endpoint that had left 3.8 s before. A host that
/// hears no others for a while, on a full link, is ready by a read of its own; its news of endpoints are then
/// as old as its proof was. Evidence: the users' record of the request and of readiness.
#[test]
fn a_host_that_has_to_prove_the_configuration_itself_reads_the_endpoints_at_once() {
    let mut fleet = Fleet::start(12, 8);
    fleet.run(4_000, |_, _| {});
    let mut calls_at_once = |proves: bool| {
        let proves_as_asked = |i: &usize| fleet.hosts[*i].fleet_state.is_prover() == proves;
        let host = (0..12).find(proves_as_asked).expect("a host of either sort");
        let before = fleet.store_calls;
        fleet.handle_input(host, Input::StoreRevisionSeen(fleet.endpoints_revision + 1));
        fleet.store_calls - before
    };

    let (of_prover, of_other) = (calls_at_once(true), calls_at_once(false));

    assert_eq!(of_prover, 0, "those that watch mostly bring it");
    assert_eq!(of_other, 1);
}

/// A session whose requests follow each other, each at some host.
struct Session {
    name: String,
    next_at: u64,
    last: Option<ReleaseTrack>,
}

/// What sessions met in a roll-out.
#[derive(Debug, Default)]
struct Moves {
    /// Requests in the first half that met the new version after the old one.
    early: usize,
    /// Requests that met the old version after the new one.
    back: usize,
    /// Requests of the first half that met the new version, and all of it.
    sampled: usize,
    all: usize,
}

/// Plays a roll-out of 20 s under sessions whose requests come from 0.05 to 4 s after each other.
fn sessions_in_a_rollout(hosts: u32, sessions: usize, seed: u64) -> Moves {
    let mut fleet = Fleet::start(hosts, seed);
    fleet.run(4_000, |_, _| {});
    let mut seed = StdRng::seed_from_u64(seed + 1);
    let mut all: Vec<Session> = (0..sessions)
        .map(|n| Session {
            name: format!("s{n}"),
            next_at: seed.random_range(0..8_000),
            last: None,
        })
        .collect();
    let began = 9_000;
    let mut moves = Moves::default();
    for step in 0..500 {
        fleet.run(4_000 + (step + 1) * CLOCK_STEP_MS as u64, |_, _| {});
        if fleet.now == began {
            fleet.set_rollout_order(rollout_order(1, None));
        }
        let is_first_half = (began..began + 10_000).contains(&fleet.now);
        let now = fleet.now;
        for session in all.iter_mut().filter(|s| s.next_at <= now) {
            let at = seed.random_range(0..hosts as usize);
            let side = fleet.send_session_request(at, &session.name);
            let is_early = is_first_half
                && side == ReleaseTrack::Canary
                && session.last == Some(ReleaseTrack::Stable);
            moves.early += usize::from(is_early);
            moves.back += usize::from(
                side == ReleaseTrack::Stable && session.last == Some(ReleaseTrack::Canary),
            );
            moves.sampled += usize::from(is_first_half && side == ReleaseTrack::Canary);
            moves.all += usize::from(is_first_half);
            session.last = Some(side);
            // Some requests are short calls right after each other.
            let pause = if seed.random::<f64>() < 0.5 { 50..250 } else { 200..4_000 };
            session.next_at = fleet.now + seed.random_range(pause);
            // Now and then a reader begins a new session.
            if seed.random::<f64>() < 0.15 {
                session.name.push('x');
                session.last = None;
            }
        }
    }
    moves
}

#[test]
fn sessions_keep_their_version_through_a_rollout_of_a_large_fleet() {
    let all: Vec<Moves> = (1..=4).map(|seed| sessions_in_a_rollout(83, 900, seed)).collect();

    println!("{all:?}");
    assert!(all.iter().all(|m| m.early <= 3 && m.back <= 3), "{all:?}");
    assert!(all.iter().map(|m| m.early).sum::<usize>() <= 1, "{all:?}");
    assert!(all.iter().all(|m| m.sampled >= 20), "{all:?}");
}

#[test]
fn sessions_keep_their_version_through_a_rollout_of_a_small_fleet() {
    let moves = sessions_in_a_rollout(7, 300, 8);

    println!("{moves:?}");
    assert!(moves.early <= 3 && moves.back <= 3, "{moves:?}");
    assert!(moves.sampled * 100 <= moves.all * 14, "{moves:?}");
}

#[test]
fn many_changes_of_endpoints_make_few_views() {
    let fresh = Freshness::default();
    let mut beliefs = state_without_rollout(1, &fresh);
    let mut views = Vec::new();
    // A service of a thousand endpoints is replaced in two seconds.
    for i in 0..1_000u64 {
        let now = Millis(1_000 + 2 * i);
        let new = endpoint_record(&format!("i-{i}"), "v1");
        let actions = beliefs.handle_input(now, Input::Endpoint(new), &fresh);
        views.extend(last_published_view(&actions).map(|view| (now, view)));
    }
    let last = last_published_view(&beliefs.handle_input(Millis(3_100), Input::Tick, &fresh));

    assert!(views.len() <= 21, "{} views", views.len());
    let shown = last.expect("a view of the last changes");
    assert_eq!(shown.services[&id::<ServiceId>("llm")].stable_pool.endpoints().len(), 1_004);
}

/// Hosts of a fleet with a wide link, and all of them.
const WIDE_HOSTS: usize = 8;
const LINKED_HOSTS: usize = 67;

/// Bytes a millisecond of a wide host's link, a small one's (10 Mbit/s), and of the store's.
const WIDE: f64 = 25_000.0;
const NARROW: f64 = 1_250.0;
const OF_STORE: f64 = 125_000.0;

/// Bytes of a configuration of some thousand routes.
const LARGE: u64 = 1_000_000;

/// What a large change did to a fleet.
#[derive(Debug)]
struct LargeChange {
    /// Copies that hosts began to get: by the host with the most, and by all.
    most_copies: usize,
    copies: usize,
    /// Hosts that began to get so many copies: none, one, two, three, more.
    hosts_by_copies: [usize; 5],
    /// What came of it over the hosts' links, in whole copies.
    came: f64,
    /// Calls to the store by hosts that do not watch it.
    calls: usize,
    /// Time until an endpoint's change half a second later is known everywhere, in milliseconds.
    small_took: u64,
    /// Time until the large one is.
    large_took: u64,
}

/// Plays a change of the configuration in a fleet of a few wide hosts and many narrow ones, and one of
/// an endpoint while it is on its way.
fn large_change(seed: u64) -> LargeChange {
    let mut fleet = Fleet::start(LINKED_HOSTS as u32, seed);
    let mut links = vec![NARROW; LINKED_HOSTS];
    // The wide ones are spread over the fleet.
    (0..WIDE_HOSTS).for_each(|n| links[n * LINKED_HOSTS / WIDE_HOSTS] = WIDE);
    fleet.set_link_bandwidths(links, OF_STORE);
    fleet.run(4_000, |_, _| {});
    fleet.store_calls = 0;
    fleet.change_catalog(LARGE);
    let began = fleet.now;
    fleet.run(began + 500, |_, _| {});

    let small_took = fleet.change_endpoints();
    let large_took = fleet.run_until_catalog(began + 60_000) - began;

    let mut hosts_by_copies = [0; 5];
    fleet.catalog_copies.iter().for_each(|n| hosts_by_copies[(*n).min(4)] += 1);
    LargeChange {
        most_copies: fleet.catalog_copies.iter().copied().max().unwrap_or(0),
        copies: fleet.catalog_copies.iter().sum(),
        hosts_by_copies,
        came: fleet.links.received_large_bytes.iter().sum::<f64>() / LARGE as f64,
        calls: fleet.store_calls,
        small_took,
        large_took,
    }
}

#[test]
fn a_large_change_is_got_once_and_a_small_one_passes_beside_it() {
    let all: Vec<LargeChange> = (1..=4).map(large_change).collect();

    for c in &all {
        println!(
            "copies: {} in all, {} at one host, hosts with 0, 1, 2, 3 and more {:?}; {:.1} came; {} \
             calls to the store; the small change took {} ms, the large one {} ms",
            c.copies, c.most_copies, c.hosts_by_copies, c.came, c.calls, c.small_took, c.large_took
        );
    }
    assert!(all.iter().all(|c| c.most_copies <= 2), "{all:?}");
    assert!(all.iter().all(|c| c.small_took <= 3_000), "{all:?}");
}
