//! The settings of a host's process.

use std::net::SocketAddr;

use tidetrack_core::ids::{FailureDomain, HostId};
use tidetrack_core::traffic::cascade::CascadeOptions;
use tidetrack_core::traffic::exposure::ExposureBound;
use tidetrack_core::traffic::suspects::SuspectOptions;
use tidetrack_core::units::{Bandwidth, MemorySize, Millis};

/// The settings of a host's process.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// The unique name of the host.
    pub host: HostId,
    /// The failure domain that the host belongs to.
    pub failure_domain: FailureDomain,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address of the readiness check.
    pub readiness_address: SocketAddr,
    /// Address at which metrics are served. `None` if they are not served.
    pub metrics_address: Option<SocketAddr>,
    /// UDP address for messages from other hosts.
    pub peer_address: SocketAddr,
    /// Addresses of other hosts for the first contact. Empty if there are none.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Maximum number of open file descriptors.
    pub max_files: usize,
    /// Bandwidth of the host's network link in each direction.
    pub link: Bandwidth,
    /// Memory of the host, of which a share may be held for callers that read slowly.
    pub memory: MemorySize,
    /// Limits that apply to the fleet as a whole.
    pub bounds: Bounds,
    /// Whether load control applies to all services. Otherwise it applies to those whose endpoints
    /// report their present speed.
    pub load_control: bool,
    /// Options for choosing the model of a cascade.
    pub cascade: CascadeOptions,
    /// Options for handling requests that may have crashed endpoints.
    pub suspects: SuspectOptions,
}

/// Limits that apply to the fleet as a whole, set by the settings of each host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which no host accepts a revoked key any more, in milliseconds. `None` sets no
    /// bound.
    pub revocation_bound: Option<Millis>,
    /// Number of further attempts allowed per first attempt, over all hosts.
    pub retry_ratio: f64,
    /// Sliding window over which the attempts are counted, in milliseconds.
    pub retry_window: Millis,
    /// Time without requests after which a session has ended, in milliseconds.
    pub session_timeout: Millis,
    /// Time from a stop signal until the process is killed, in milliseconds.
    pub stop_timeout: Millis,
    /// Share of a service's requests that a version under roll-out may receive before its deadline.
    pub canary_exposure: ExposureBound,
}
