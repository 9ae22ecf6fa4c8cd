//! What integration tests and measurements share: a fault-injecting TCP proxy, router processes, and
//! a small fleet with its stand-ins.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub use tidetrack_load::caller;
pub mod crashing_endpoint;
pub mod fleet;
pub mod process;
pub mod proxy;

use std::time::{Duration, Instant};

/// How long a condition may take to come about before a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `poll` gives a value; panics with `condition` if it never does.
pub fn wait_for<T>(condition: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(Instant::now() < deadline, "{condition} did not come about in {WAIT_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
