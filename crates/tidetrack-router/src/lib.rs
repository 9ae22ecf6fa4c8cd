//! The router process: accepts requests from callers, decides with `tidetrack-core` and
//! communicates with endpoints, the platform and other hosts.
//!
//! One thread owns the control state (`control`). A pool of threads processes requests (`server`,
//! `chat`, `services`). One event loop serves the connections of callers (`server`) and sends
//! requests to endpoints (`endpoint_client`). One thread runs the calls between hosts (`peers`) and one
//! runs the bill replicator (`billing`). The threads share state in `shared` and communicate
//! through `flume` channels.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod admin;
pub mod billing;
pub mod callers;
pub mod chat;
pub mod control;
pub mod endpoint_client;
pub mod loads;
pub mod logging;
pub mod metrics;
pub mod outcome;
pub mod peers;
pub mod platform_io;
pub mod rating;
pub mod router;
pub mod server;
pub mod services;
pub mod settings;
pub mod shared;
pub mod timers;
pub mod upstream;

pub use router::Router;
pub use settings::Settings;
