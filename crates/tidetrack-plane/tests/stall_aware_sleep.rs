//! Sleeping in a process that temporarily gets no CPU time.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tidetrack_plane::stall_aware_sleep::stall_aware_sleep;

/// Duration of the sleep under test.
const SLEEP_DURATION: Duration = Duration::from_millis(50);

/// Duration of a stall, long enough for a timer to count as late.
const STALL_DURATION: Duration = Duration::from_millis(250);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime.expect("the runtime starts"), test);
}

/// Blocks the thread `stalls` times, as a stopped process would be. Returns the count of stalls so far.
fn stall_thread(stalls: u32) -> Rc<Cell<u32>> {
    let stall_count = Rc::new(Cell::new(0));
    let shared_count = stall_count.clone();
    tokio::task::spawn_local(async move {
        while shared_count.get() < stalls {
            shared_count.set(shared_count.get() + 1);
            std::thread::sleep(STALL_DURATION);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    stall_count
}

/// Guards against a sleep that never ends on a host with a small share of a core. If every late timer
/// restarts the sleep, an endpoint that is permanently gone is never given up.
#[test]
fn a_sleep_ends_even_if_every_timer_is_late() {
    run(async {
        let stall_count = stall_thread(40);

        stall_aware_sleep(SLEEP_DURATION).await;

        assert!(stall_count.get() <= 6, "the sleep lasted through {} stalls", stall_count.get());
    });
}

#[test]
fn a_sleep_restarts_after_a_stall() {
    run(async {
        stall_thread(1);
        let start = Instant::now();

        stall_aware_sleep(SLEEP_DURATION).await;

        let elapsed = start.elapsed();
        assert!(elapsed >= STALL_DURATION + SLEEP_DURATION, "{elapsed:?}");
    });
}
