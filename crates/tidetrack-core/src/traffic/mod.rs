//! Decisions of the traffic plane: which requests are admitted, which version, model and endpoint
//! serve them, when they are retried, and what this host knows about the fleet.
//!
//! The modules take values and times and return values. Sockets, clocks and threads belong to
//! `tidetrack-plane`.

pub mod admission;
pub mod baseline;
pub mod body_budget;
pub mod bootstrap;
pub mod brittle_endpoints;
pub mod budget;
pub mod canary;
pub mod cascade;
pub mod catalog;
pub mod cold_endpoints;
mod compact_count;
pub mod control;
pub mod cutover_counts;
pub mod endpoint_limits;
pub mod endpoint_paths;
pub mod endpoint_speeds;
pub mod endpoints;
pub mod evacuations;
pub mod event_numbering;
pub mod event_sequence;
pub mod exposure;
pub mod fair_share;
pub mod feeds;
pub mod fingerprint;
pub mod forwarding;
pub mod freshness;
mod gossip;
pub mod idle_shares;
mod isolation;
pub mod judge;
pub mod latency_estimate;
pub mod list_progress;
pub mod load_concentration;
pub mod outliers;
pub mod overload;
pub mod peers;
pub mod places;
pub mod prefix_index;
pub mod probe_rounds;
pub mod reachability;
pub mod reader_backlog;
pub mod reply_limits;
pub mod response_times;
pub mod retired_keys;
pub mod samples;
pub mod scarcity;
pub mod service_times;
pub mod stagger;
pub mod stop;
pub mod store_position;
pub mod suspects;
pub mod verdict_basis;
pub mod view;
