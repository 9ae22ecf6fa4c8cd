//! What integration tests and measurements share: a fault-injecting TCP proxy, router processes, and
//! a small fleet with its stand-ins.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub use tidetrack_load::caller;
pub mod crashing;
pub mod fleet;
pub mod process;
pub mod proxy;

use std::time::{Duration, Instant};

/// How long a condition may take to come about before a test fails.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until `done` gives a value; panics with `what` if it never does.
pub fn wait_for<T>(what: &str, mut done: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(value) = done() {
            return value;
        }
        assert!(Instant::now() < until, "{what} did not come about in {PATIENCE:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
