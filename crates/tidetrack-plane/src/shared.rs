//! State shared by the threads of a host.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use arc_swap::ArcSwap;

use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::fair_share::SharedFairShares;
use tidetrack_core::traffic::forwarding::ForwardTarget;
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::suspects::Suspects;
use tidetrack_core::traffic::view::FleetView;
use tidetrack_core::units::Millis;

use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::settings::HostSettings;

/// State shared by the threads of a host.
pub struct Shared {
    /// The settings with which the process started.
    pub settings: HostSettings,
    /// Encoding of requests, responses and stored objects.
    pub dialect: Dialect,
    /// The clock of the process.
    pub clock: Clock,
    /// The current view of the fleet, by which requests are routed.
    pub view: ArcSwap<FleetView>,
    /// Hosts that requests can be forwarded to.
    pub forward_targets: ArcSwap<Vec<ForwardTarget>>,
    /// Channel for connections with forwarded requests to the traffic thread.
    pub forwarded_connections: flume::Sender<std::net::TcpStream>,
    /// Age of the newest proof that the configuration is current.
    pub freshness: Freshness,
    /// Requests that may have crashed endpoints.
    pub suspects: Arc<Suspects>,
    /// Usage of services under load control, by workspace.
    pub fair_shares: SharedFairShares,
    /// Whether the host is stopping.
    pub is_leaving: AtomicBool,
    /// Channel for inputs to the control thread.
    pub input_sender: flume::Sender<Input>,
    /// The log of the process.
    pub journal: Journal,
    /// The metrics of the process.
    pub metrics: Metrics,
}

impl Shared {
    /// Returns the current time of the host's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Sends an input to the control thread.
    pub fn send_input(&self, input: Input) {
        // The control thread ends after all others, so an input that cannot be sent is not needed
        // any more.
        let _ = self.input_sender.send(input);
    }

    /// Reports whether the host is stopping.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Reports whether the host accepts requests.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && !self.is_leaving()
    }

    /// Reports whether the host has what it needs to serve: a configuration, confirmed within the
    /// revocation bound if one is set, and the list of endpoints.
    pub fn can_serve(&self) -> bool {
        let view = self.view.load();
        let bound = self.settings.bounds.revocation_bound;
        let is_fresh =
            bound.is_none_or(|bound| self.freshness.permits_keyed_requests(self.now(), bound));
        view.catalog.is_some() && view.has_endpoints && is_fresh
    }
}

/// A reference to the shared state.
pub type SharedRef = Arc<Shared>;
