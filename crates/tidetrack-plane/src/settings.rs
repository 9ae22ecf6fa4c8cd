//! The settings of a host's process.

use std::net::SocketAddr;

use tidetrack_core::ids::{FailureDomain, HostId};
use tidetrack_core::traffic::cascade::CascadeOptions;
use tidetrack_core::traffic::exposure::ExposureBound;
use tidetrack_core::traffic::suspects::SuspectOptions;
use tidetrack_core::units::{Bandwidth, Millis};

/// The settings of a host's process.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// The host's name.
    pub host: HostId,
    /// The failure domain it stands in.
    pub failure_domain: FailureDomain,
    /// Where callers are served.
    pub caller_address: SocketAddr,
    /// Where readiness is told.
    pub readiness_address: SocketAddr,
    /// Where metrics are told.
    pub metrics_address: Option<SocketAddr>,
    /// Where messages of other hosts are heard, over UDP.
    pub peer_address: SocketAddr,
    /// Where some other hosts may hear messages.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Most files the process may have open.
    pub max_files: usize,
    /// What the host's link passes, each way.
    pub link: Bandwidth,
    /// Bounds that the fleet keeps to.
    pub bounds: Bounds,
    /// What the choice of the model rests on.
    pub cascade: CascadeOptions,
    /// How requests are treated under which endpoints crash.
    pub suspects: SuspectOptions,
}

/// Bounds that the fleet keeps to. They come with the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// A key taken away passes no request on after this time, on any host; `None` sets no bound.
    pub revocation_bound: Option<Millis>,
    /// Further sends allowed for each first one, over all hosts.
    pub retry_ratio: f64,
    /// The sliding window in which these are counted.
    pub retry_window: Millis,
    /// A session has ended when nothing came of it for this time.
    pub session_timeout: Millis,
    /// Time from a stop signal until the process is ended by force.
    pub stop_timeout: Millis,
    /// What a version under roll-out may get of a service's requests before its deadline.
    pub canary_exposure: ExposureBound,
}
