//! Waiting for somebody else, counted in time in which this process could have heard them.

use std::time::{Duration, Instant};

/// Latest that a timer fires in a process that runs: a host on a part of a core gets its slice once in
/// 100 ms.
const LATEST_TIMER: Duration = Duration::from_millis(100);

/// Waits for a time during which this process ran.
///
/// A process that was stopped or had no core has read nothing meanwhile: what came waits in its
/// sockets, so that the time counts anew.
pub async fn wait_running(time: Duration) {
    loop {
        let until = Instant::now() + time;
        tokio::time::sleep_until(tokio::time::Instant::from_std(until)).await;
        if until.elapsed() <= LATEST_TIMER {
            return;
        }
    }
}
