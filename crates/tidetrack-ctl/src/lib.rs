//! The operator commands as functions, used by `tidetrackctl` and the quickstart.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod apply;
pub mod bill;
pub mod calls;
pub mod dry_run;
pub mod evacuation;
pub mod explain;
pub mod folder;
pub mod rollout;
pub mod status;
