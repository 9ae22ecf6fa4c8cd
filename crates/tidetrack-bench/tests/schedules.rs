//! Runs thousands of seeded fault schedules and checks the invariants; each failure names its seed.
//! Further tests inject one bug each and check that the invariants detect it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use tidetrack_bench::virtual_fleet::{InjectedBug, RunStats, Schedule, Simulation};

const SCHEDULE_COUNT: u64 = 2_000;

/// Number of seeds within which an injected bug must be detected.
const SEEDS_PER_BUG: u64 = 300;

fn run(schedule: Schedule) -> Result<RunStats, String> {
    let mut simulation = Simulation::new(schedule);
    simulation.run()?;
    Ok(simulation.stats)
}

#[test]
fn every_invariant_holds_in_every_schedule() {
    let next = AtomicU64::new(0);
    let failed: Mutex<Vec<String>> = Mutex::default();
    let sums: Mutex<[u64; 4]> = Mutex::default();
    let only_seed = std::env::var("TIDETRACK_SEED").ok().and_then(|s| s.parse::<u64>().ok());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(4, usize::from) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= SCHEDULE_COUNT || only_seed.is_some() && seed > 0 {
                    return;
                }
                match run(Schedule::of(only_seed.unwrap_or(seed))) {
                    Ok(stats) => {
                        let mut sums = sums.lock().expect("no thread panics");
                        let add =
                            [stats.faults, stats.answered, stats.canary_requests, stats.tickets];
                        sums.iter_mut().zip(add).for_each(|(sum, n)| *sum += n);
                    }
                    Err(e) => failed.lock().expect("no thread panics").push(e),
                }
            });
        }
    });
    let mut failed = failed.into_inner().expect("no thread panics");
    failed.sort();
    let [faults, answered, canary_requests, tickets] = sums.into_inner().expect("no thread panics");
    println!(
        "{faults} faults, {answered} answered, {canary_requests} on the canary version, {tickets} tickets"
    );
    let count = failed.len();
    assert!(
        failed.is_empty(),
        "{count} of {SCHEDULE_COUNT} schedules failed:\n{}",
        failed[..count.min(12)].join("\n")
    );
    assert!(
        only_seed.is_some()
            || faults > SCHEDULE_COUNT
                && answered > SCHEDULE_COUNT * 100
                && canary_requests > SCHEDULE_COUNT
    );
}

#[test]
fn the_same_seed_produces_the_same_run() {
    let first = run(Schedule::of(7)).expect("all invariants hold");
    let second = run(Schedule::of(7)).expect("all invariants hold");
    assert_eq!(
        (first.messages, first.bytes, first.answered),
        (second.messages, second.bytes, second.answered)
    );
}

fn assert_detected(injected_bug: InjectedBug, expected_message: &str) {
    let runs = (0..SEEDS_PER_BUG).map(|seed| run(Schedule { injected_bug, ..Schedule::of(seed) }));
    let found: Vec<String> = runs.filter_map(Result::err).collect();
    assert!(
        found.iter().any(|e| e.contains(expected_message)),
        "{injected_bug:?} was not detected; the failures were: {found:?}"
    );
}

#[test]
fn an_ignored_withdrawal_is_detected() {
    assert_detected(InjectedBug::IgnoredWithdrawal, "after its withdrawal");
}

#[test]
fn a_double_flush_is_detected() {
    assert_detected(InjectedBug::DoubleFlush, "billed but never completed");
}

#[test]
fn an_ignored_exposure_cap_is_detected() {
    assert_detected(InjectedBug::IgnoredCap, "cap 20");
}

#[test]
fn a_response_ended_before_its_bill_is_replicated_is_detected() {
    assert_detected(InjectedBug::EarlyResponseEnd, "not billed");
}

#[test]
fn a_ticket_executed_by_another_host_is_detected() {
    assert_detected(InjectedBug::SharedTicket, "was executed twice");
}

#[test]
fn freshness_measured_from_reply_arrival_is_detected() {
    assert_detected(InjectedBug::FreshnessFromArrival, "reports its configuration as confirmed");
}
