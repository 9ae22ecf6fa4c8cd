//! The entry host's process: it takes callers' requests, decides with `tidetrack-core` and talks with
//! endpoints, the platform and other hosts.
//!
//! One thread owns the control state (`control`); a pool of threads carries traffic (`server`,
//! `chat`, `services`), and one event loop serves callers' connections (`server`) and asks endpoints for
//! them (`endpoint_client`); one thread runs the calls between hosts (`peers`); one keeps the bills
//! (`billing`). They meet in `shared` and by `flume` channels.

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
