//! Sleep that counts only time in which this process was able to receive data.

use std::time::{Duration, Instant};

/// Maximum delay of a timer in a running process: a host with a fraction of a core is scheduled
/// once in 100 ms.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of times that the sleep is restarted, so that it also ends in a process whose
/// timers are always late.
const MAX_RESTARTS: u32 = 2;

/// Sleeps for a duration during which this process was running.
///
/// A process that was stopped or got no CPU time has read nothing meanwhile: data that arrived
/// waits in its socket buffers, so the sleep is restarted. It is restarted only a few times,
/// because with a small fraction of a core every timer may be late, and a peer that has disappeared
/// must be abandoned nevertheless.
pub async fn stall_aware_sleep(duration: Duration) {
    for _ in 0..=MAX_RESTARTS {
        let deadline = Instant::now() + duration;
        tokio::time::sleep_until(tokio::time::Instant::from_std(deadline)).await;
        if deadline.elapsed() <= MAX_TIMER_DELAY {
            return;
        }
    }
}
