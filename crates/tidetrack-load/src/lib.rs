//! Load generator for a running fleet that checks the router's guarantees while it runs, and a
//! comparison of two reports.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

pub mod caller;
pub mod load;
pub mod report;
