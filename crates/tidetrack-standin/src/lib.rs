//! Small stand-ins for the systems that tidetrack connects to: the platform with its object API and
//! host list, a model engine, a plain service and a rating service.
//!
//! Each stand-in serves its protocol over HTTP from threads of the process that starts it. All but
//! the rating service inject the faults that `POST /v1/faults` sets. They are used by tests,
//! measurements and the quickstart.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod engine;
pub mod http;
pub mod objects;
pub mod rater;
pub mod service;
