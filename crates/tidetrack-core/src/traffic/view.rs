//! What traffic decides on: the configuration and each service's endpoints, at one moment.

use std::collections::HashMap;
use std::sync::Arc;

use crate::errors::Result;
use crate::ids::ServiceId;
use crate::placement::{PlacementRequest, PoolEndpoint, PoolView};
use crate::traffic::catalog::Catalog;
use crate::traffic::exposure::{Exposure, SessionDraw};
use crate::traffic::loading::turn_at;
use crate::traffic::prefixes::Prefixes;
use crate::traffic::trial::{Phase, Side, TrialView};
use crate::units::Millis;

/// A service's endpoints, as traffic sees them.
#[derive(Debug)]
pub struct ServiceView {
    /// Endpoints of proven versions.
    pub stable_pool: PoolView,
    /// Endpoints of the version under roll-out.
    pub canary_pool: PoolView,
    /// The roll-out, if there is one.
    pub canary: Option<TrialView>,
    /// Sessions and counts for the share of a new version.
    pub exposure: Arc<Exposure>,
    /// Which endpoints have read which shared parts of prompts.
    pub prefixes: Arc<Prefixes>,
}

/// An endpoint that was picked for a request.
#[derive(Clone, Copy, Debug)]
pub struct PickedEndpoint<'a> {
    /// The endpoint.
    pub endpoint: &'a PoolEndpoint,
    /// Whether it is given more of a new version's sample than its part, to have as much to do as busy ones.
    pub is_loaded: bool,
}

impl ServiceView {
    /// Decides which side a request goes to.
    pub fn side(&self, now: Millis, session: SessionDraw, session_lifetime: Millis) -> Side {
        let has_canary = !self.canary_pool.endpoints().is_empty();
        self.exposure.side(now, session, self.canary.as_ref(), has_canary, session_lifetime)
    }

    /// Tells whether the version under roll-out is barred.
    pub fn is_barred(&self) -> bool {
        self.canary.as_ref().is_some_and(|t| t.phase == Phase::Barred)
    }

    /// Tells whether a request that was drawn for the proven versions may meet the new one where they have
    /// no endpoint for it: not beyond the bound, for all requests may come to that at once.
    pub fn can_fall_back(&self, now: Millis) -> bool {
        self.canary.as_ref().is_some_and(|canary| match canary.phase_at(now) {
            Phase::Sample => self.exposure.has_room(canary.bound.share),
            Phase::Moved | Phase::Done => true,
            Phase::Barred => false,
        })
    }

    /// Tells whether an endpoint belongs to the service.
    pub fn has_endpoint(&self, id: &str) -> bool {
        let all = self.stable_pool.endpoints().iter().chain(self.canary_pool.endpoints());
        all.into_iter().any(|e| e.id.as_str() == id)
    }

    /// Picks an endpoint of a side, for a request with this draw of versions.
    pub fn pick(
        &self,
        now: Millis,
        side: Side,
        session: SessionDraw,
        request: &PlacementRequest<'_>,
    ) -> Result<PickedEndpoint<'_>> {
        if let Some(endpoint) = self.load_probe_endpoint(now, side, session, request) {
            return Ok(PickedEndpoint { endpoint, is_loaded: true });
        }
        let endpoint = self.pool(side).pick(now, request)?;
        Ok(PickedEndpoint { endpoint, is_loaded: false })
    }

    /// Gets the new version's endpoint that is loaded now, if any is.
    fn load_probe_endpoint(
        &self,
        now: Millis,
        side: Side,
        session: SessionDraw,
        request: &PlacementRequest<'_>,
    ) -> Option<&PoolEndpoint> {
        let canary = self.canary.as_ref().filter(|_| side == Side::New)?;
        if session.draw < canary.idle_sample {
            return None;
        }
        let turn = turn_at(canary, now, self.stable_pool.endpoints().len())?;
        let hash_key = format!("turn {}", turn.number);
        self.canary_pool.pick_among_ranked(now, request, &hash_key, turn.endpoints)
    }

    /// Gets the endpoints of a side.
    pub fn pool(&self, side: Side) -> &PoolView {
        match side {
            Side::Proven => &self.stable_pool,
            Side::New => &self.canary_pool,
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
