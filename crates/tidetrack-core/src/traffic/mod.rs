//! Decisions of the traffic plane: which requests may pass, which version, model and endpoint run
//! them, when to try again, and what this host believes about the fleet.
//!
//! The modules take values and times and give back values; sockets, clocks and threads are the
//! business of `tidetrack-plane`.

pub mod admission;
pub mod basis;
pub mod bootstrap;
pub mod budget;
pub mod cascade;
pub mod catalog;
pub mod control;
pub mod endpoint_limits;
pub mod endpoints;
pub mod exposure;
pub mod feeds;
pub mod fingerprint;
pub mod freshness;
mod gossip;
mod isolation;
pub mod judge;
pub mod loading;
pub mod moved;
pub mod outliers;
pub mod outlook;
pub mod peers;
pub mod prefixes;
pub mod reachability;
pub mod samples;
mod short;
pub mod stagger;
pub mod suspects;
pub mod trial;
pub mod usual;
pub mod view;
