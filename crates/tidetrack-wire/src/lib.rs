//! The messages of all interfaces, and a client of the platform's API.
//!
//! This crate only has the formats of the callers' API, the endpoints' API, the platform's API and
//! the calls between hosts. The decisions based on them are in `tidetrack-core`.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod caller;
pub mod endpoint;
pub mod headers;
pub mod peer;
pub mod platform;
pub mod stream;
