//! Waiting in a process that gets no core for a while.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tidetrack_plane::stall_aware_sleep::stall_aware_sleep;

/// What is waited for.
const SLEEP_DURATION: Duration = Duration::from_millis(50);

/// A time without a core that makes a timer far too late.
const STALL_DURATION: Duration = Duration::from_millis(250);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime.expect("a runtime"), test);
}

/// Takes the core away `times` times, as a stop of the process does.
fn stall_thread(stalls: u32) -> Rc<Cell<u32>> {
    let stall_count = Rc::new(Cell::new(0));
    let task_count = stall_count.clone();
    tokio::task::spawn_local(async move {
        while task_count.get() < stalls {
            task_count.set(task_count.get() + 1);
            std::thread::sleep(STALL_DURATION);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    stall_count
}

/// What may be seen on a host on a small part of a core: an endpoint that is gone for good is never left,
/// since each wait for it begins anew as its timer was late. Found by reading.
#[test]
fn a_sleep_ends_even_if_every_timer_is_late() {
    run(async {
        let stall_count = stall_thread(40);

        stall_aware_sleep(SLEEP_DURATION).await;

        assert!(
            stall_count.get() <= 6,
            "it waited through {} times without a core",
            stall_count.get()
        );
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
