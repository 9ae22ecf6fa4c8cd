//! Load after the start of endpoints: all hosts learn of an empty endpoint at the same time and
//! place their next requests. Counts what the endpoint receives from all of them while it is cold,
//! and what callers receive.

mod support;

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use rand::RngExt;

use tidetrack_core::ids::{EndpointId, FailureDomain, ServiceId};
use tidetrack_core::placement::{
    ring_position_of, EndpointState, Locality, PlacementRequest, PoolEndpoint,
};
use tidetrack_core::traffic::canary::ReleaseTrack;
use tidetrack_core::traffic::catalog::{Catalog, Service};
use tidetrack_core::traffic::cold_endpoints::ColdStart;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::endpoints::EndpointRecord;
use tidetrack_core::units::{Millis, Rate};

use support::fleet::{Fleet, CLOCK_STEP_MS};
use support::{catalog, endpoint_record, id};

/// How endpoints behave after their start.
const COLD_START: ColdStart = ColdStart { duration: Millis(3_000), rate: Rate(8.8) };

/// Maximum number of requests to a cold endpoint in any second, as documented for users: 1.5 times
/// the rate that it can process, and 5 more.
const MAX_REQUESTS_PER_SECOND: usize = (8.8 * 1.5) as usize + 5;

/// Requests per second that callers send to one host, in a burst.
const REQUESTS_PER_HOST: f64 = 11.0;

/// Number of different prompt prefixes.
const PREFIXES: u64 = 850;

/// Work of a request, and of reading its prefix again, in answer tokens.
const REQUEST_WORK: u64 = 1_000;
const REREAD_WORK: u64 = 900;

/// Time for which a request runs, in milliseconds.
const RUN_TIME_MS: u64 = 1_500;

/// Time between the starts of two endpoints, in milliseconds.
const START_INTERVAL_MS: u64 = 700;

/// Number of endpoints that start in one simulation.
const STARTED_ENDPOINTS: u64 = 10;

/// What a simulation counted.
#[derive(Debug, Default)]
struct Outcome {
    /// The largest number of requests in any second to any endpoint while it was cold.
    max_per_second: usize,
    requests: usize,
    refused: usize,
}

/// Endpoints in use by simulated requests, which end at a given time in milliseconds.
struct RunningRequests(VecDeque<(u64, Arc<EndpointState>)>);

impl RunningRequests {
    fn end_due(&mut self, now: u64) {
        while self.0.front().is_some_and(|(ends_at, _)| *ends_at <= now) {
            if let Some((_, state)) = self.0.pop_front() {
                state.end_work(REQUEST_WORK);
            }
        }
    }
}

fn catalog_with(cold_start: Option<ColdStart>) -> Input {
    let base = catalog(4);
    let service = Service { cold_start, ..base.services[&id::<ServiceId>("llm")].clone() };
    let services = [(id("llm"), service)].into();
    Input::Catalog(Arc::new(Catalog { services, ..base }))
}

fn record(n: u64, cold_for: Millis) -> EndpointRecord {
    EndpointRecord {
        failure_domain: id("hall"),
        cold_for,
        ..endpoint_record(&format!("e{n}"), "v1")
    }
}

/// Starts a fleet in front of 5 endpoints for each 3 hosts, all warm.
fn start_fleet(hosts: u32, cold_start: Option<ColdStart>, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(hosts, seed);
    let records: Vec<EndpointRecord> =
        (0..u64::from(hosts) * 5 / 3).map(|n| record(n, Millis(0))).collect();
    for host in 0..fleet.hosts.len() {
        fleet.handle_input(host, catalog_with(cold_start));
        fleet.handle_input(host, Input::EndpointList(records.clone()));
    }
    fleet
}

fn pick(fleet: &Fleet, host: usize, prefix: u64, salt: u64) -> Option<PoolEndpoint> {
    let domain: FailureDomain = id("hall");
    let request = PlacementRequest {
        ring_position: ring_position_of(&prefix.to_le_bytes()),
        salt,
        reread_work: REREAD_WORK,
        locality: Some(Locality { failure_domain: &domain, crossing_work: 500 }),
        ..PlacementRequest::default()
    };
    let view = fleet.hosts[host].view.as_ref().expect("a view is published");
    let pool = view.services[&id::<ServiceId>("llm")].pool(ReleaseTrack::Stable);
    pool.pick(Millis(fleet.now), &request).ok().cloned()
}

/// Makes callers send requests to all hosts while endpoints start one after another; all hosts learn
/// of each start at once. A tenth of the hosts is cut off from the others shortly before.
fn play(hosts: u32, cold_start: Option<ColdStart>, seed: u64) -> Outcome {
    let mut fleet = start_fleet(hosts, cold_start, seed);
    let first_start = 3_000;
    let mut outcome = Outcome::default();
    let mut running = RunningRequests(VecDeque::new());
    let mut starts: Vec<u64> = Vec::new();
    let mut sends: Vec<(u64, EndpointId)> = Vec::new();
    let ends_at = first_start + STARTED_ENDPOINTS * START_INTERVAL_MS + COLD_START.duration.0;
    while fleet.now < ends_at {
        if fleet.now >= 1_500 && fleet.partitioned.is_empty() {
            fleet.partitioned = (0..hosts as usize).step_by(10).collect();
        }
        let next = first_start + starts.len() as u64 * START_INTERVAL_MS;
        if fleet.now >= next && (starts.len() as u64) < STARTED_ENDPOINTS {
            let started = record(1_000 + starts.len() as u64, COLD_START.duration);
            starts.push(fleet.now);
            for host in 0..fleet.hosts.len() {
                fleet.handle_input(host, Input::Endpoint(started.clone()));
            }
        }
        running.end_due(fleet.now);
        for host in 0..fleet.hosts.len() {
            let probability = REQUESTS_PER_HOST * CLOCK_STEP_MS as f64 / 1_000.0;
            if fleet.rng.random::<f64>() >= probability {
                continue;
            }
            let (prefix, salt) = (fleet.rng.random_range(0..PREFIXES), fleet.rng.random());
            outcome.requests += 1;
            let Some(endpoint) = pick(&fleet, host, prefix, salt) else {
                outcome.refused += 1;
                continue;
            };
            endpoint.state.record_send(Millis(fleet.now));
            endpoint.state.begin_work(REQUEST_WORK);
            running.0.push_back((fleet.now + RUN_TIME_MS, endpoint.state.clone()));
            sends.push((fleet.now, endpoint.id));
        }
        fleet.run(fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
    }
    for (n, started_at) in starts.iter().enumerate() {
        let endpoint: EndpointId = id(&format!("e{}", 1_000 + n));
        let cold = *started_at..*started_at + COLD_START.duration.0;
        let times: Vec<u64> = sends
            .iter()
            .filter(|(at, e)| *e == endpoint && cold.contains(at))
            .map(|(at, _)| *at)
            .collect();
        let in_second =
            |from: &u64| times.iter().filter(|at| (*from..*from + 1_000).contains(*at)).count();
        let most = times.iter().map(in_second).max().unwrap_or(0);
        outcome.max_per_second = outcome.max_per_second.max(most);
    }
    outcome
}

/// Shows that the simulated load does overwhelm endpoints whose rate is not shared out.
#[test]
fn hosts_that_do_not_know_of_cold_starts_exceed_the_bound() {
    let outcome = play(84, None, 1);

    println!("{outcome:?}, {MAX_REQUESTS_PER_SECOND} allowed per second");
    assert!(outcome.max_per_second > MAX_REQUESTS_PER_SECOND, "{outcome:?}");
}

/// Guards against hosts that all prefer an empty endpoint at the moment at which they learn of it.
#[test]
fn cold_endpoints_receive_no_more_than_they_can_process_from_84_hosts() {
    for seed in 1..=5 {
        let outcome = play(84, Some(COLD_START), seed);

        println!("seed {seed}: {outcome:?}, {MAX_REQUESTS_PER_SECOND} allowed per second");
        assert!(outcome.max_per_second <= MAX_REQUESTS_PER_SECOND, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.refused, 0, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn cold_endpoints_receive_no_more_than_they_can_process_from_300_hosts() {
    let outcome = play(300, Some(COLD_START), 1);

    println!("{outcome:?}, {MAX_REQUESTS_PER_SECOND} allowed per second");
    assert!(outcome.max_per_second <= MAX_REQUESTS_PER_SECOND, "{outcome:?}");
    assert_eq!(outcome.refused, 0, "{outcome:?}");
}

/// Returns what a host may send to an endpoint: the first time at which it may, if any.
fn next_send(fleet: &Fleet, host: usize, endpoint: &str) -> Option<Millis> {
    let view = fleet.hosts[host].view.as_ref().expect("a view is published");
    let pool = view.services[&id::<ServiceId>("llm")].pool(ReleaseTrack::Stable);
    let endpoint = pool.endpoints().iter().find(|e| e.id.as_str() == endpoint)?;
    endpoint.state.next_send_at(Millis(fleet.now))
}

#[test]
fn all_hosts_send_to_an_endpoint_that_is_warm_again() {
    let mut fleet = start_fleet(20, Some(COLD_START), 3);
    fleet.run(2_000, |_, _| {});
    let now = fleet.now;
    for host in 0..20 {
        fleet.handle_input(host, Input::Endpoint(record(0, Millis(1_000))));
    }
    let senders = |fleet: &Fleet| (0..20).filter(|h| next_send(fleet, *h, "e0").is_some()).count();

    let while_cold = senders(&fleet);
    fleet.run(now + 2_000, |_, _| {});
    let when_warm = senders(&fleet);

    assert_eq!((while_cold, when_warm), (9, 20));
}

/// Guards against a herd at the end of an evacuation: the endpoints may have been restarted, and
/// their entries may reach a host later than the end.
#[test]
fn endpoints_of_a_domain_that_is_taken_back_count_as_cold() {
    let mut fleet = start_fleet(20, Some(COLD_START), 4);
    fleet.run(2_000, |_, _| {});
    let evacuated: BTreeSet<FailureDomain> = [id("hall")].into();
    for host in 0..20 {
        fleet.handle_input(host, Input::EvacuationList(evacuated.clone()));
    }
    fleet.run(3_000, |_, _| {});

    for host in 0..20 {
        fleet.handle_input(host, Input::EvacuationEnded(id("hall")));
    }

    for endpoint in ["e0", "e7", "e19"] {
        let senders = (0..20).filter(|h| next_send(&fleet, *h, endpoint).is_some()).count();
        assert_eq!(senders, 9, "{endpoint}");
    }
}

/// Guards against hosts that all try an endpoint again when its ejection ends, before its new entry
/// has arrived.
#[test]
fn an_endpoint_that_was_lost_counts_as_cold_without_a_new_entry() {
    let mut fleet = start_fleet(20, Some(COLD_START), 5);
    fleet.run(2_000, |_, _| {});

    for host in 0..20 {
        fleet.handle_input(host, Input::EndpointLost(id("e3")));
    }

    let senders = (0..20).filter(|host| next_send(&fleet, *host, "e3").is_some()).count();
    assert_eq!(senders, 9);
}

/// Guards against a host that takes the share of the whole fleet while it knows few other hosts.
#[test]
fn a_host_that_is_cut_off_sends_nothing_to_an_endpoint_that_becomes_cold() {
    let mut fleet = start_fleet(20, Some(COLD_START), 6);
    fleet.run(2_000, |_, _| {});
    fleet.partitioned = vec![0, 1];
    fleet.run(8_000, |_, _| {});

    for host in 0..20 {
        fleet.handle_input(host, Input::Endpoint(record(0, Millis(3_000))));
    }

    let senders: Vec<usize> = (0..20).filter(|h| next_send(&fleet, *h, "e0").is_some()).collect();
    assert!(!senders.contains(&0) && !senders.contains(&1), "{senders:?}");
    assert_eq!(senders.len(), 9, "{senders:?}");
}

/// Guards against an endpoint that is not limited when it returns, because it counted as cold already
/// when its entry was removed.
#[test]
fn an_endpoint_that_returns_while_it_counts_as_cold_is_limited_at_once() {
    let mut fleet = start_fleet(20, Some(COLD_START), 7);
    fleet.run(2_000, |_, _| {});
    for host in 0..20 {
        fleet.handle_input(host, Input::EndpointLost(id("e3")));
        fleet.handle_input(host, Input::EndpointRemoved(id("e3")));
    }
    fleet.run(2_500, |_, _| {});

    for host in 0..20 {
        fleet.handle_input(host, Input::Endpoint(record(3, Millis(3_000))));
    }

    let senders = (0..20).filter(|host| next_send(&fleet, *host, "e3").is_some()).count();
    assert_eq!(senders, 9);
}
