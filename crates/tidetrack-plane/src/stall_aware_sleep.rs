//! Waiting for somebody else, counted in time in which this process could have heard them.

use std::time::{Duration, Instant};

/// Latest that a timer fires in a process that runs: a host on a part of a core gets its slice once in
/// 100 ms.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);

/// How often the time counts anew at most: a process whose timers are all late waits for an end too.
const MAX_RESTARTS: u32 = 2;

/// Waits for a time during which this process ran.
///
/// A process that was stopped or had no core has read nothing meanwhile: what came waits in its
/// sockets, so that the time counts anew. It does so a few times only, for on a small part of a core
/// each timer may be late, and whoever is gone for good must be left all the same.
pub async fn stall_aware_sleep(duration: Duration) {
    for _ in 0..=MAX_RESTARTS {
        let deadline = Instant::now() + duration;
        tokio::time::sleep_until(tokio::time::Instant::from_std(deadline)).await;
        if deadline.elapsed() <= MAX_TIMER_DELAY {
            return;
        }
    }
}
