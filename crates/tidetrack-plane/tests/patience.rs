//! Waiting in a process that gets no core for a while.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tidetrack_plane::stall_aware_sleep::stall_aware_sleep;

/// What is waited for.
const WAITED: Duration = Duration::from_millis(50);

/// A time without a core that makes a timer far too late.
const AWAY: Duration = Duration::from_millis(250);

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime.expect("a runtime"), test);
}

/// Takes the core away `times` times, as a stop of the process does.
fn take_core(times: u32) -> Rc<Cell<u32>> {
    let taken = Rc::new(Cell::new(0));
    let counts = taken.clone();
    tokio::task::spawn_local(async move {
        while counts.get() < times {
            counts.set(counts.get() + 1);
            std::thread::sleep(AWAY);
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    });
    taken
}

/// What may be seen on a host on a small part of a core: an endpoint that is gone for good is never left,
/// since each wait for it begins anew as its timer was late. Found by reading.
#[test]
fn a_wait_ends_where_each_timer_is_late() {
    run(async {
        let taken = take_core(40);

        stall_aware_sleep(WAITED).await;

        assert!(taken.get() <= 6, "it waited through {} times without a core", taken.get());
    });
}

#[test]
fn a_wait_counts_anew_after_a_time_without_a_core() {
    run(async {
        take_core(1);
        let began = Instant::now();

        stall_aware_sleep(WAITED).await;

        let took = began.elapsed();
        assert!(took >= AWAY + WAITED, "{took:?}");
    });
}
