//! The decision logic of tidetrack, without I/O.
//!
//! The code in this crate takes messages and the current time and returns values or lists of actions, so
//! that the same code runs with sockets in `tidetrack-router` and with a virtual clock in tests and
//! benchmarks. No module opens a socket, reads a clock or starts a thread.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod bill_replicator;
pub mod change_log;
pub mod codes;
pub mod config;
pub mod declare;
pub mod disconnect;
pub mod errors;
pub mod events;
pub mod evidence;
pub mod facts;
pub mod ids;
pub mod ledger;
pub mod limits;
pub mod membership;
pub mod message_auth;
pub mod node;
pub mod placement;
pub mod policy;
pub mod retry;
pub mod rollout;
pub mod session;
pub mod store;
pub mod tickets;
pub mod traffic;
pub mod units;
pub mod view;
