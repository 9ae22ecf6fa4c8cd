//! Suspects, which are requests that may have crashed an endpoint: when they are barred, which
//! requests must not be barred, and how hosts in fleets of all sizes learn about them.

mod support;

use std::sync::Arc;

use rand::RngExt;

use tidetrack_core::codes::Code;
use tidetrack_core::ids::WorkspaceId;
use tidetrack_core::traffic::fingerprint::{Fingerprint, RequestIdentity};
use tidetrack_core::traffic::suspects::{
    SuspectChange, SuspectOptions, Suspects, MAX_REPORTS_PER_MESSAGE,
};
use tidetrack_core::units::Millis;

use support::fleet::{Fleet, CLOCK_STEP_MS};
use support::id;

/// Time after which connected hosts know what one of them has learned, in milliseconds.
const PROPAGATION_MS: u64 = 3_000;

/// Number of attempts that may be sent after that time, as documented for users.
const MAX_LATE_ATTEMPTS: usize = 3;

/// Time from the start of an attempt to the crash of its endpoint, in milliseconds.
const EXECUTION_MS: u64 = 30;

fn fingerprint_of(workspace: &str, body: &str) -> Fingerprint {
    let workspace: WorkspaceId = id(workspace);
    Fingerprint::of(&RequestIdentity {
        workspace: Some(&workspace),
        hostname: "shop.example",
        method: "POST",
        path: "/a/x",
        prompt_parts: &[],
        body: &[body.as_bytes()],
    })
}

fn record_crash_at(
    suspects: &Suspects,
    at: u64,
    fingerprint: Fingerprint,
    endpoint: &str,
    failure_domain: &str,
) -> usize {
    let sent_at = Millis(at.saturating_sub(EXECUTION_MS));
    suspects.record_crash(Millis(at), fingerprint, &id(endpoint), &id(failure_domain), sent_at)
}

/// Records crashes of different endpoints under a request, one second apart.
fn record_crashes(suspects: &Suspects, from: u64, fingerprint: Fingerprint, times: u64) {
    for n in 0..times {
        record_crash_at(suspects, from + n * 1_000, fingerprint, &format!("{from}-e{n}"), "hall");
    }
}

fn admission_error_code(
    suspects: &Arc<Suspects>,
    at: u64,
    fingerprint: Fingerprint,
) -> Option<Code> {
    suspects.admit(Millis(at), fingerprint).err().map(|e| e.code)
}

#[test]
fn a_request_is_barred_after_three_crashes_and_no_other_one_is() {
    let suspects = Arc::new(Suspects::default());
    let (crashing_request, other) =
        (fingerprint_of("north", "deadly"), fingerprint_of("south", "deadly"));

    record_crashes(&suspects, 1_000, crashing_request, 3);

    assert_eq!(
        admission_error_code(&suspects, 4_000, crashing_request),
        Some(Code::CrashesEndpoints)
    );
    assert!(suspects.check(Millis(4_000), crashing_request).is_err());
    assert_eq!(admission_error_code(&suspects, 4_000, other), None);
    let changes = suspects.take_changes();
    let barred = SuspectChange::Barred {
        fingerprint: crashing_request,
        crashes: 3,
        workspaces: 1,
        completed_ms: None,
    };
    assert_eq!(changes, [barred]);
}

#[test]
fn a_request_with_two_crashes_runs_on_one_endpoint_at_a_time() {
    let suspects = Arc::new(Suspects::default());
    let fingerprint = fingerprint_of("north", "maybe");
    record_crashes(&suspects, 1_000, fingerprint, 2);

    let execution =
        suspects.admit(Millis(3_000), fingerprint).expect("one execution must be admitted");

    assert_eq!(admission_error_code(&suspects, 3_000, fingerprint), Some(Code::SuspectRuns));
    drop(execution);
    assert_eq!(admission_error_code(&suspects, 3_000, fingerprint), None);
}

#[test]
fn a_completed_execution_clears_a_request_before_and_after_crashes() {
    let suspects = Arc::new(Suspects::default());
    let (completed_before, completed_after) =
        (fingerprint_of("north", "before"), fingerprint_of("north", "after"));

    suspects.record_completion(Millis(500), completed_before);
    record_crashes(&suspects, 1_000, completed_before, 5);
    record_crashes(&suspects, 1_000, completed_after, 3);
    suspects.record_completion(Millis(5_000), completed_after);

    assert_eq!(admission_error_code(&suspects, 6_000, completed_before), None);
    assert_eq!(admission_error_code(&suspects, 6_000, completed_after), None);
}

/// Guards against barring a request whose copies ran in a rack that lost power.
#[test]
fn simultaneous_crashes_in_a_failure_domain_count_as_one() {
    let suspects = Arc::new(Suspects::default());
    let fingerprint = fingerprint_of("north", "alike");

    let record_failure =
        |n: u64| record_crash_at(&suspects, 1_000 + n, fingerprint, &format!("e{n}"), "hall");
    let crash_counts: Vec<usize> = (0..6).map(record_failure).collect();

    assert_eq!(crash_counts, [1; 6]);
    assert_eq!(admission_error_code(&suspects, 2_000, fingerprint), None);
}

/// Guards against barring a request for crashes that another request on the same endpoints caused.
#[test]
fn crashes_caused_by_a_barred_request_do_not_count_against_other_requests() {
    let suspects = Arc::new(Suspects::default());
    let (crashing_request, concurrent) =
        (fingerprint_of("north", "deadly"), fingerprint_of("north", "beside"));

    for n in 0..5 {
        let (at, endpoint) = (1_000 + n * 400, format!("e{n}"));
        if n > 0 && n < 4 {
            record_crash_at(&suspects, at, concurrent, &endpoint, "hall");
        }
        record_crash_at(&suspects, at, crashing_request, &endpoint, "hall");
    }

    assert_eq!(
        admission_error_code(&suspects, 4_000, crashing_request),
        Some(Code::CrashesEndpoints)
    );
    assert_eq!(admission_error_code(&suspects, 4_000, concurrent), None);
}

#[test]
fn stored_suspects_are_bounded_in_total_and_per_caller() {
    let opts = SuspectOptions {
        max_suspects: 64,
        max_suspects_per_caller: 16,
        ..SuspectOptions::default()
    };
    let suspects = Arc::new(Suspects::new(opts));
    let barred = fingerprint_of("north", "deadly");
    record_crashes(&suspects, 1_000, barred, 3);

    for n in 0..200 {
        record_crash_at(&suspects, 5_000 + n, fingerprint_of("south", &n.to_string()), "e", "hall");
    }
    let suspects_of_south = suspects.len() - 1;
    for n in 0..200 {
        let workspace = format!("w{}", n % 20);
        record_crash_at(
            &suspects,
            6_000 + n,
            fingerprint_of(&workspace, &n.to_string()),
            "e",
            "hall",
        );
    }

    assert_eq!(suspects_of_south, 16);
    assert_eq!(suspects.len(), 64);
    assert_eq!(admission_error_code(&suspects, 7_000, barred), Some(Code::CrashesEndpoints));
    assert!(suspects.reports_for_round(Millis(7_000)).len() <= MAX_REPORTS_PER_MESSAGE);
}

/// Guards against a bar that never ends although the cause of the crashes has been fixed.
#[test]
fn a_barred_request_may_run_once_after_the_bar_duration_and_the_next_crash_bars_it_again() {
    let suspects = Arc::new(Suspects::default());
    let fingerprint = fingerprint_of("north", "deadly");
    let SuspectOptions { bar_duration, retention, .. } = SuspectOptions::default();
    record_crashes(&suspects, 1_000, fingerprint, 3);
    let bar_ends_at = 3_000 + bar_duration.0;

    let before = admission_error_code(&suspects, bar_ends_at - 1, fingerprint);
    let execution =
        suspects.admit(Millis(bar_ends_at), fingerprint).expect("one execution must be admitted");
    let concurrent = admission_error_code(&suspects, bar_ends_at, fingerprint);
    record_crash_at(&suspects, bar_ends_at + EXECUTION_MS, fingerprint, "another", "hall");
    drop(execution);
    let after = admission_error_code(&suspects, bar_ends_at + 1_000, fingerprint);
    suspects.reports_for_round(Millis(bar_ends_at + EXECUTION_MS + retention.0));

    assert_eq!(before, Some(Code::CrashesEndpoints));
    assert_eq!(concurrent, Some(Code::SuspectRuns));
    assert_eq!(after, Some(Code::CrashesEndpoints));
    assert!(suspects.is_empty());
}

/// Counts of a simulation of a request that crashes endpoints.
#[derive(Debug, Default)]
struct CrashSimulation {
    crashes: usize,
    /// Attempts sent after the time by which hosts must know of the third crash.
    late_attempts: usize,
}

/// Sends a request that crashes its endpoint to a random host at each step, for eight seconds of
/// virtual time.
fn run_crashing_request(hosts: u32, seed: u64) -> (Fleet, CrashSimulation) {
    let mut fleet = Fleet::start(hosts, seed);
    fleet.run(4_000, |_, _| {});
    let crashing_request = fingerprint_of("north", "deadly");
    let mut simulation = CrashSimulation::default();
    let mut third_crash_at = None;
    while fleet.now < 12_000 {
        let host = fleet.rng.random_range(0..hosts as usize);
        let now = fleet.now + EXECUTION_MS;
        let suspects = fleet.hosts[host].fleet_state.suspects().clone();
        if suspects.admit(Millis(fleet.now), crashing_request).is_ok() {
            let n = simulation.crashes;
            let (endpoint, failure_domain) = (format!("e{n}"), format!("hall-{}", n % 4));
            record_crash_at(&suspects, now, crashing_request, &endpoint, &failure_domain);
            simulation.crashes += 1;
            simulation.late_attempts +=
                usize::from(third_crash_at.is_some_and(|at| fleet.now > at + PROPAGATION_MS));
            third_crash_at = third_crash_at.or((simulation.crashes == 3).then_some(now));
        }
        fleet.run(fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
    }
    (fleet, simulation)
}

/// Guards against hosts that count only the crashes they observed themselves.
#[test]
fn a_request_sent_to_a_different_host_each_time_is_barred_in_fleets_of_all_sizes() {
    for (hosts, seeds) in [(7, 20), (67, 6), (295, 2)] {
        for seed in 0..seeds {
            let (_, simulation) = run_crashing_request(hosts, seed);
            println!("{hosts} hosts, seed {seed}: {simulation:?}");
            assert!(simulation.crashes >= 3, "barred too early: {simulation:?}");
            assert!(
                simulation.late_attempts <= MAX_LATE_ATTEMPTS,
                "{hosts} hosts, seed {seed}: {simulation:?}"
            );
        }
    }
}

#[test]
fn a_starting_host_learns_barred_requests_from_the_first_replies_of_other_hosts() {
    let (mut fleet, _) = run_crashing_request(7, 1);
    let crashing_request = fingerprint_of("north", "deadly");

    fleet.restart(3);
    fleet.run(fleet.now + 500, |_, _| {});

    let suspects = fleet.hosts[3].fleet_state.suspects();
    assert_eq!(
        admission_error_code(suspects, fleet.now, crashing_request),
        Some(Code::CrashesEndpoints)
    );
}

/// Guards against a resumed host that acts on the state it had before it was suspended.
#[test]
fn a_resumed_host_learns_barred_requests_soon() {
    for hosts in [7, 67, 295] {
        let mut fleet = Fleet::start(hosts, 6);
        fleet.run(4_000, |_, _| {});
        let fingerprint = fingerprint_of("north", "deadly");
        let suspended = hosts as usize / 2;
        fleet.suspended = vec![suspended];
        for host in 0..3 {
            let (endpoint, failure_domain) = (format!("e{host}"), format!("hall-{host}"));
            record_crash_at(
                fleet.hosts[host].fleet_state.suspects(),
                fleet.now,
                fingerprint,
                &endpoint,
                &failure_domain,
            );
        }
        fleet.run(fleet.now + 8_000, |_, _| {});

        fleet.suspended.clear();
        fleet.run(fleet.now + 500, |_, _| {});

        let code = admission_error_code(
            fleet.hosts[suspended].fleet_state.suspects(),
            fleet.now,
            fingerprint,
        );
        assert_eq!(code, Some(Code::CrashesEndpoints), "not barred on the resumed host of {hosts}");
    }
}

#[test]
fn a_completed_execution_on_one_host_clears_the_request_on_all_hosts() {
    let mut fleet = Fleet::start(67, 5);
    fleet.run(4_000, |_, _| {});
    let fingerprint = fingerprint_of("north", "alike");
    for host in 0..3 {
        let now = fleet.now + host as u64 * 10;
        let (endpoint, failure_domain) = (format!("e{host}"), format!("hall-{host}"));
        record_crash_at(
            fleet.hosts[host].fleet_state.suspects(),
            now,
            fingerprint,
            &endpoint,
            &failure_domain,
        );
    }
    fleet.hosts[40].fleet_state.suspects().record_completion(Millis(fleet.now), fingerprint);

    fleet.run(fleet.now + PROPAGATION_MS, |_, _| {});

    let codes = fleet
        .hosts
        .iter()
        .map(|h| admission_error_code(h.fleet_state.suspects(), fleet.now, fingerprint));
    assert_eq!(codes.flatten().count(), 0);
}

/// Guards against copies of a request on several hosts that crash all endpoints of a small service
/// before any host has counted enough crashes to bar it.
#[test]
fn a_request_waits_after_its_second_crash_until_other_hosts_know_of_it() {
    let suspects = Suspects::default();
    let fingerprint = fingerprint_of("north", "deadly");
    let delay_at = |at: u64| suspects.attempt_delay(Millis(at), fingerprint).0;

    let unknown = delay_at(1_000);
    record_crash_at(&suspects, 1_000, fingerprint, "e1", "hall-1");
    let after_one = delay_at(1_000);
    record_crash_at(&suspects, 1_100, fingerprint, "e2", "hall-2");
    let after_two = [delay_at(1_100), delay_at(1_250), delay_at(1_400)];
    record_crash_at(&suspects, 1_450, fingerprint, "e3", "hall-3");
    let barred = delay_at(1_450);

    assert_eq!((unknown, after_one, after_two, barred), (0, 0, [300, 150, 0], 0));
}
