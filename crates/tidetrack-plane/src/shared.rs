//! What the threads of a host share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use arc_swap::ArcSwap;

use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::suspects::Suspects;
use tidetrack_core::traffic::view::FleetView;
use tidetrack_core::units::Millis;

use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::settings::HostSettings;

/// What the threads of a host share.
pub struct Shared {
    /// The settings the process started with.
    pub settings: HostSettings,
    /// How others are spoken to.
    pub dialect: Dialect,
    /// The clock.
    pub clock: Clock,
    /// What traffic decides on.
    pub view: ArcSwap<FleetView>,
    /// The youngest proof that the configuration is the newest.
    pub freshness: Freshness,
    /// Requests under which endpoints crashed.
    pub suspects: Arc<Suspects>,
    /// Whether the host is stopping.
    pub is_leaving: AtomicBool,
    /// Inputs for the control thread.
    pub input_sender: flume::Sender<Input>,
    /// Logs.
    pub journal: Journal,
    /// Metrics.
    pub metrics: Metrics,
}

impl Shared {
    /// Gets the time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Sends an input to the control thread.
    pub fn send_input(&self, input: Input) {
        // The control thread ends after all others; an input sent later concerns nobody.
        let _ = self.input_sender.send(input);
    }

    /// Tells whether the host is stopping.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Acquire)
    }

    /// Tells whether the host takes requests.
    pub fn is_ready(&self) -> bool {
        self.can_serve() && !self.is_leaving()
    }

    /// Tells whether the host knows what it serves by: a fresh configuration and the endpoints.
    pub fn can_serve(&self) -> bool {
        let view = self.view.load();
        let bound = self.settings.bounds.revocation_bound;
        let is_fresh =
            bound.is_none_or(|bound| self.freshness.permits_keyed_requests(self.now(), bound));
        view.catalog.is_some() && view.has_endpoints && is_fresh
    }
}

/// A reference to what the threads share.
pub type SharedRef = Arc<Shared>;
