//! The traffic plane: accepts callers' requests, runs them on endpoints and relays the responses.
//!
//! One thread handles all traffic on an event loop (`server`, `exchange`, `attempt`, `relay`,
//! `pool`). Another owns the state of the fleet and calls the platform's store (`control`, `watch`,
//! `store`). They communicate through `shared`: the traffic thread routes by an immutable view that
//! the control thread publishes, and sends its observations back over a channel. A `Dialect`
//! defines the encoding of requests, responses and stored objects.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod attempt;
mod attempt_timing;
pub mod backlog;
pub mod bind;
pub mod body;
pub mod call;
pub mod choose;
pub mod clock;
pub mod closed_connections;
pub mod control;
pub mod crash;
pub mod dialect;
pub mod events;
pub mod exchange;
pub mod feed;
pub mod forward;
pub mod holders;
pub mod host;
pub mod job;
pub mod journal;
pub mod load_control;
mod load_probe;
pub mod metrics;
pub mod pages;
pub mod paths;
pub mod peers;
pub mod pending_work;
pub mod pool;
pub mod prepare;
pub mod relay;
pub mod reply_memory;
pub mod report;
pub mod request_body;
pub mod response_memory;
pub mod room;
pub mod second_opinion;
pub mod send;
pub mod server;
pub mod settings;
pub mod shared;
mod signals;
pub mod socket;
pub mod stall_aware_sleep;
pub mod store;
pub mod watch;

pub use host::Host;
pub use settings::HostSettings;
pub use signals::Signals;
