//! Measurements of tidetrack, and the virtual fleet that its seeded tests run on.
//!
//! Each measurement prints its figure, its bound and its baseline from one run, and records the
//! points from which `docs_dir/CAPACITY.md` and `docs_dir/BENCHMARKS.md` are made.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod capacity;
pub mod control;
pub mod decisions;
pub mod endpoint_model;
pub mod path;
pub mod record;
pub mod spread;
pub mod state;
pub mod virtual_fleet;
