//! Benchmarks of tidetrack and the simulated fleet that the seeded fault tests use.
//!
//! Each benchmark prints its results, with bounds and baselines from the same run where it has them.
//! `docs/CAPACITY.md` and `docs/BENCHMARKS.md` are rendered from the results.

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
