//! Decisions of the traffic plane: which requests are admitted, which version, model and endpoint
//! serve them, when they are retried, and what this host knows about the fleet.
//!
//! The modules take values and times and return values. Sockets, clocks and threads belong to
//! `tidetrack-plane`.

pub mod basis;
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
pub mod gate;
pub mod joining;
pub mod judge;
pub mod loading;
pub mod moved;
pub mod outliers;
pub mod outlook;
pub mod peers;
pub mod prefixes;
pub mod reach;
pub mod samples;
mod short;
mod sight;
pub mod suspects;
mod telling;
pub mod trial;
pub mod turns;
pub mod usual;
pub mod view;
