//! Requests under which endpoints crash: when they are barred, which others must not be, and how hosts of fleets of
//! all sizes learn of it.

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

/// Time after which hosts in touch know what one of them learned, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Sends of a request that may follow that time, as the users' pages have it.
const MOST_LATE: usize = 3;

/// How long a run lasts until its endpoint crashes, in milliseconds.
const RUN_MS: u64 = 30;

fn print_of(workspace: &str, body: &str) -> Fingerprint {
    let workspace: WorkspaceId = id(workspace);
    Fingerprint::of(&RequestIdentity {
        workspace: Some(&workspace),
        hostname: "shop.example",
        method: "POST",
        path: "/a/x",
        body: body.as_bytes(),
    })
}

fn crash(of: &Suspects, at: u64, print: Fingerprint, endpoint: &str, domain: &str) -> usize {
    let sent_at = Millis(at.saturating_sub(RUN_MS));
    of.record_crash(Millis(at), print, &id(endpoint), &id(domain), sent_at)
}

/// Crashes endpoints under a request one after another, a second apart.
fn crash_times(of: &Suspects, from: u64, print: Fingerprint, times: u64) {
    for n in 0..times {
        crash(of, from + n * 1_000, print, &format!("{from}-e{n}"), "hall");
    }
}

fn code_of(of: &Arc<Suspects>, at: u64, print: Fingerprint) -> Option<Code> {
    of.admit(Millis(at), print).err().map(|e| e.code)
}

#[test]
fn a_request_is_barred_after_three_crashes_and_no_other_one_is() {
    let suspects = Arc::new(Suspects::default());
    let (deadly, other) = (print_of("north", "deadly"), print_of("south", "deadly"));

    crash_times(&suspects, 1_000, deadly, 3);

    assert_eq!(code_of(&suspects, 4_000, deadly), Some(Code::CrashesEndpoints));
    assert!(suspects.check(Millis(4_000), deadly).is_err());
    assert_eq!(code_of(&suspects, 4_000, other), None);
    let changes = suspects.take_changes();
    assert_eq!(changes, [SuspectChange::Barred { fingerprint: deadly, crashes: 3 }]);
}

#[test]
fn a_request_under_which_two_endpoints_crashed_runs_once_at_a_time() {
    let suspects = Arc::new(Suspects::default());
    let print = print_of("north", "maybe");
    crash_times(&suspects, 1_000, print, 2);

    let running = suspects.admit(Millis(3_000), print).expect("it may run once");

    assert_eq!(code_of(&suspects, 3_000, print), Some(Code::SuspectRuns));
    drop(running);
    assert_eq!(code_of(&suspects, 3_000, print), None);
}

#[test]
fn a_run_that_comes_to_its_end_clears_a_request_before_and_after_crashes() {
    let suspects = Arc::new(Suspects::default());
    let (before, after) = (print_of("north", "before"), print_of("north", "after"));

    suspects.record_completion(Millis(500), before);
    crash_times(&suspects, 1_000, before, 5);
    crash_times(&suspects, 1_000, after, 3);
    suspects.record_completion(Millis(5_000), after);

    assert_eq!(code_of(&suspects, 6_000, before), None);
    assert_eq!(code_of(&suspects, 6_000, after), None);
}

/// Guards against barring a request whose copies ran in a rack that lost its power.
#[test]
fn endpoints_of_a_domain_that_end_at_once_count_as_one_crash() {
    let suspects = Arc::new(Suspects::default());
    let print = print_of("north", "alike");

    let end = |n: u64| crash(&suspects, 1_000 + n, print, &format!("e{n}"), "hall");
    let counted: Vec<usize> = (0..6).map(end).collect();

    assert_eq!(counted, [1; 6]);
    assert_eq!(code_of(&suspects, 2_000, print), None);
}

/// Guards against barring a request that was sent to the endpoints which another one crashed.
#[test]
fn crashes_that_a_barred_request_explains_count_against_no_other() {
    let suspects = Arc::new(Suspects::default());
    let (deadly, beside) = (print_of("north", "deadly"), print_of("north", "beside"));

    for n in 0..5 {
        let (at, endpoint) = (1_000 + n * 400, format!("e{n}"));
        if n > 0 && n < 4 {
            crash(&suspects, at, beside, &endpoint, "hall");
        }
        crash(&suspects, at, deadly, &endpoint, "hall");
    }

    assert_eq!(code_of(&suspects, 4_000, deadly), Some(Code::CrashesEndpoints));
    assert_eq!(code_of(&suspects, 4_000, beside), None);
}

#[test]
fn what_is_remembered_is_bounded_and_no_caller_drives_out_anothers() {
    let opts = SuspectOptions {
        max_suspects: 64,
        max_suspects_per_caller: 16,
        ..SuspectOptions::default()
    };
    let suspects = Arc::new(Suspects::new(opts));
    let barred = print_of("north", "deadly");
    crash_times(&suspects, 1_000, barred, 3);

    for n in 0..200 {
        crash(&suspects, 5_000 + n, print_of("south", &n.to_string()), "e", "hall");
    }
    let of_south = suspects.len() - 1;
    for n in 0..200 {
        let workspace = format!("w{}", n % 20);
        crash(&suspects, 6_000 + n, print_of(&workspace, &n.to_string()), "e", "hall");
    }

    assert_eq!(of_south, 16);
    assert_eq!(suspects.len(), 64);
    assert_eq!(code_of(&suspects, 7_000, barred), Some(Code::CrashesEndpoints));
    assert!(suspects.reports_for_round(Millis(7_000)).len() <= MAX_REPORTS_PER_MESSAGE);
}

/// Guards against a bar that stays for ever though what made endpoints crash has been mended.
#[test]
fn a_barred_request_may_run_once_some_time_after_the_last_crash_and_is_barred_by_the_next() {
    let suspects = Arc::new(Suspects::default());
    let print = print_of("north", "deadly");
    let SuspectOptions { bar_duration, retention, .. } = SuspectOptions::default();
    crash_times(&suspects, 1_000, print, 3);
    let over = 3_000 + bar_duration.0;

    let before = code_of(&suspects, over - 1, print);
    let running = suspects.admit(Millis(over), print).expect("it may run once");
    let beside = code_of(&suspects, over, print);
    crash(&suspects, over + RUN_MS, print, "another", "hall");
    drop(running);
    let after = code_of(&suspects, over + 1_000, print);
    suspects.reports_for_round(Millis(over + RUN_MS + retention.0));

    assert_eq!(before, Some(Code::CrashesEndpoints));
    assert_eq!(beside, Some(Code::SuspectRuns));
    assert_eq!(after, Some(Code::CrashesEndpoints));
    assert!(suspects.is_empty());
}

/// What a play of a deadly request saw.
#[derive(Debug, Default)]
struct Played {
    crashes: usize,
    /// Sends later than hosts had to know of the third crash.
    late: usize,
}

/// Sends a request that crashes endpoints to another host at each step, for some seconds.
fn play(hosts: u32, seed: u64) -> (Fleet, Played) {
    let mut fleet = Fleet::start(hosts, seed);
    fleet.run(4_000, |_, _| {});
    let deadly = print_of("north", "deadly");
    let mut played = Played::default();
    let mut third = None;
    while fleet.now < 12_000 {
        let host = fleet.rng.random_range(0..hosts as usize);
        let now = fleet.now + RUN_MS;
        let suspects = fleet.hosts[host].fleet_state.suspects().clone();
        if suspects.admit(Millis(fleet.now), deadly).is_ok() {
            let n = played.crashes;
            let (endpoint, domain) = (format!("e{n}"), format!("hall-{}", n % 4));
            crash(&suspects, now, deadly, &endpoint, &domain);
            played.crashes += 1;
            played.late += usize::from(third.is_some_and(|at| fleet.now > at + CONTACT_MS));
            third = third.or((played.crashes == 3).then_some(now));
        }
        fleet.run(fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
    }
    (fleet, played)
}

/// Guards against each of many hosts counting for itself.
#[test]
fn a_request_that_comes_to_another_host_each_time_is_barred_in_fleets_of_all_sizes() {
    for (hosts, seeds) in [(7, 20), (67, 6), (295, 2)] {
        for seed in 0..seeds {
            let (_, played) = play(hosts, seed);
            println!("{hosts} hosts, seed {seed}: {played:?}");
            assert!(played.crashes >= 3, "{played:?}");
            assert!(played.late <= MOST_LATE, "{hosts} hosts, seed {seed}: {played:?}");
        }
    }
}

#[test]
fn a_host_that_starts_knows_barred_requests_from_the_first_answers_of_others() {
    let (mut fleet, _) = play(7, 1);
    let deadly = print_of("north", "deadly");

    fleet.restart(3);
    fleet.run(fleet.now + 500, |_, _| {});

    let suspects = fleet.hosts[3].fleet_state.suspects();
    assert_eq!(code_of(suspects, fleet.now, deadly), Some(Code::CrashesEndpoints));
}

/// Guards against a machine that goes on after a suspension with what it knew before.
#[test]
fn a_host_that_was_suspended_knows_barred_requests_soon() {
    for hosts in [7, 67, 295] {
        let mut fleet = Fleet::start(hosts, 6);
        fleet.run(4_000, |_, _| {});
        let print = print_of("north", "deadly");
        let suspended = hosts as usize / 2;
        fleet.suspended = vec![suspended];
        for host in 0..3 {
            let (endpoint, domain) = (format!("e{host}"), format!("hall-{host}"));
            crash(fleet.hosts[host].fleet_state.suspects(), fleet.now, print, &endpoint, &domain);
        }
        fleet.run(fleet.now + 8_000, |_, _| {});

        fleet.suspended.clear();
        fleet.run(fleet.now + 500, |_, _| {});

        let code = code_of(fleet.hosts[suspended].fleet_state.suspects(), fleet.now, print);
        assert_eq!(code, Some(Code::CrashesEndpoints), "{hosts} hosts");
    }
}

#[test]
fn a_run_that_ended_well_at_one_host_clears_its_request_at_all() {
    let mut fleet = Fleet::start(67, 5);
    fleet.run(4_000, |_, _| {});
    let print = print_of("north", "alike");
    for host in 0..3 {
        let now = fleet.now + host as u64 * 10;
        let (endpoint, domain) = (format!("e{host}"), format!("hall-{host}"));
        crash(fleet.hosts[host].fleet_state.suspects(), now, print, &endpoint, &domain);
    }
    fleet.hosts[40].fleet_state.suspects().record_completion(Millis(fleet.now), print);

    fleet.run(fleet.now + CONTACT_MS, |_, _| {});

    let codes = fleet.hosts.iter().map(|h| code_of(h.fleet_state.suspects(), fleet.now, print));
    assert_eq!(codes.flatten().count(), 0);
}
