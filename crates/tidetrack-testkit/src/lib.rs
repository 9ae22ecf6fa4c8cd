//! Support code shared by integration tests and measurements: a fault-injecting TCP proxy, router
//! processes, an endpoint that crashes, and a small fleet with its stand-ins.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub use tidetrack_load::caller;
pub mod crashing_endpoint;
pub mod fleet;
pub mod process;
pub mod proxy;

use std::time::{Duration, Instant};

/// Maximum time to wait for a condition before a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Calls `poll` every 10 ms until it returns a value, and returns that value. Panics with the name of
/// the `condition` if there is none within [`WAIT_TIMEOUT`].
pub fn wait_for<T>(condition: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "timed out after {WAIT_TIMEOUT:?} waiting for: {condition}"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
}
