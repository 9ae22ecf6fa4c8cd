//! What traffic decides on: the configuration and each service's endpoints, at one moment.

use std::collections::HashMap;
use std::sync::Arc;

use crate::errors::Result;
use crate::ids::ServiceId;
use crate::placement::{Ask, PoolEndpoint, PoolView};
use crate::traffic::canary::{CanaryView, Phase, ReleaseTrack};
use crate::traffic::catalog::Catalog;
use crate::traffic::exposure::{Exposure, SessionHash};
use crate::traffic::load_concentration::concentration_window_at;
use crate::traffic::prefix_index::PrefixIndex;
use crate::units::Millis;

/// A service's endpoints, as traffic sees them.
#[derive(Debug)]
pub struct ServiceView {
    /// Endpoints of proven versions.
    pub proven: PoolView,
    /// Endpoints of the version under roll-out.
    pub new: PoolView,
    /// The roll-out, if there is one.
    pub trial: Option<CanaryView>,
    /// Sessions and counts for the share of a new version.
    pub exposure: Arc<Exposure>,
    /// Which endpoints have read which shared parts of prompts.
    pub prefixes: Arc<PrefixIndex>,
}

/// An endpoint that was picked for a request.
#[derive(Clone, Copy, Debug)]
pub struct Picked<'a> {
    /// The endpoint.
    pub endpoint: &'a PoolEndpoint,
    /// Whether it is given more of a new version's sample than its part, to have as much to do as busy ones.
    pub is_loaded: bool,
}

impl ServiceView {
    /// Decides which side a request goes to.
    pub fn side(&self, now: Millis, who: SessionHash, hold_for: Millis) -> ReleaseTrack {
        let can_try = !self.new.endpoints().is_empty();
        self.exposure.choose_track(now, who, self.trial.as_ref(), can_try, hold_for)
    }

    /// Tells whether the version under roll-out is barred.
    pub fn is_barred(&self) -> bool {
        self.trial.as_ref().is_some_and(|t| t.phase == Phase::Barred)
    }

    /// Tells whether a request that was drawn for the proven versions may meet the new one where they have
    /// no endpoint for it: not beyond the bound, for all requests may come to that at once.
    pub fn may_fall_back(&self, now: Millis) -> bool {
        self.trial.as_ref().is_some_and(|trial| match trial.phase_at(now) {
            Phase::Sample => self.exposure.is_below_bound(trial.bound.share),
            Phase::Moved | Phase::Done => true,
            Phase::Barred => false,
        })
    }

    /// Tells whether an endpoint belongs to the service.
    pub fn has_endpoint(&self, id: &str) -> bool {
        let all = self.proven.endpoints().iter().chain(self.new.endpoints());
        all.into_iter().any(|e| e.id.as_str() == id)
    }

    /// Picks an endpoint of a side, for a request with this draw of versions.
    pub fn pick(
        &self,
        now: Millis,
        side: ReleaseTrack,
        who: SessionHash,
        ask: &Ask<'_>,
    ) -> Result<Picked<'_>> {
        if let Some(endpoint) = self.loaded(now, side, who, ask) {
            return Ok(Picked { endpoint, is_loaded: true });
        }
        let endpoint = self.pool(side).pick(now, ask)?;
        Ok(Picked { endpoint, is_loaded: false })
    }

    /// Gets the new version's endpoint that is loaded now, if any is.
    fn loaded(
        &self,
        now: Millis,
        side: ReleaseTrack,
        who: SessionHash,
        ask: &Ask<'_>,
    ) -> Option<&PoolEndpoint> {
        let trial = self.trial.as_ref().filter(|_| side == ReleaseTrack::Canary)?;
        if who.hash_fraction < trial.unconcentrated_sample {
            return None;
        }
        let turn = concentration_window_at(trial, now, self.proven.endpoints().len())?;
        let job = format!("turn {}", turn.index);
        self.new.pick_of_first(now, ask, &job, turn.endpoints)
    }

    /// Gets the endpoints of a side.
    pub fn pool(&self, side: ReleaseTrack) -> &PoolView {
        match side {
            ReleaseTrack::Stable => &self.proven,
            ReleaseTrack::Canary => &self.new,
        }
    }
}

/// What traffic decides on.
#[derive(Debug, Default)]
pub struct FleetView {
    /// The configuration in force; `None` until one is known.
    pub catalog: Option<Arc<Catalog>>,
    /// The services by name.
    pub services: HashMap<ServiceId, ServiceView>,
    /// Whether endpoints were listed at all since the start.
    pub has_endpoints: bool,
}
