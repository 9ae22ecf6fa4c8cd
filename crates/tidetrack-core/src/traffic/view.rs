//! The view that traffic uses: a snapshot of the configuration and of each service's endpoints.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::errors::Result;
use crate::ids::{FailureDomain, ServiceId};
use crate::placement::{PlacementRequest, PoolEndpoint, PoolView};
use crate::traffic::canary::{CanaryView, Phase, ReleaseTrack};
use crate::traffic::catalog::Catalog;
use crate::traffic::exposure::{Exposure, SessionHash};
use crate::traffic::load_concentration::concentration_window_at;
use crate::traffic::prefix_index::PrefixIndex;
use crate::traffic::retired_keys::RetiredKeys;
use crate::units::Millis;

/// Endpoints and roll-out state of one service.
#[derive(Debug)]
pub struct ServiceView {
    /// Endpoints of the stable versions.
    pub stable_pool: PoolView,
    /// Endpoints of the canary version.
    pub canary_pool: PoolView,
    /// Current roll-out; `None` if there is none.
    pub canary: Option<CanaryView>,
    /// Sessions and request counts that limit the canary version's share of the requests.
    pub exposure: Arc<Exposure>,
    /// Which endpoints hold which shared prefixes of prompts.
    pub prefixes: Arc<PrefixIndex>,
}

/// An endpoint chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct PickedEndpoint<'a> {
    /// The endpoint.
    pub endpoint: &'a PoolEndpoint,
    /// Whether the request was directed to one of the few canary endpoints that receive most of the
    /// canary sample for a while, so that they are as busy as busy stable endpoints.
    pub is_loaded: bool,
}

impl ServiceView {
    /// Returns the side, stable or canary, that serves a request. A session that is assigned to the
    /// canary version stays assigned for `session_lifetime`.
    pub fn side(
        &self,
        now: Millis,
        session: SessionHash,
        session_lifetime: Millis,
    ) -> ReleaseTrack {
        let has_canary = !self.canary_pool.endpoints().is_empty();
        self.exposure.choose_track(now, session, self.canary.as_ref(), has_canary, session_lifetime)
    }

    /// Reports whether the canary version is barred.
    pub fn is_barred(&self) -> bool {
        self.canary.as_ref().is_some_and(|t| t.phase == Phase::Barred)
    }

    /// Reports whether a request assigned to the stable versions may go to the canary version if no
    /// stable endpoint is available. During the canary sample this is limited by the exposure
    /// bound, because all requests may need it at the same time.
    pub fn can_fall_back(&self, now: Millis) -> bool {
        self.canary.as_ref().is_some_and(|canary| match canary.phase_at(now) {
            Phase::Sample => self.exposure.is_below_bound(canary.bound.share),
            Phase::Moved | Phase::Done => true,
            Phase::Barred => false,
        })
    }

    /// Reports whether an endpoint belongs to the service.
    pub fn has_endpoint(&self, id: &str) -> bool {
        let all = self.stable_pool.endpoints().iter().chain(self.canary_pool.endpoints());
        all.into_iter().any(|e| e.id.as_str() == id)
    }

    /// Picks an endpoint of a side for a request of this session.
    pub fn pick(
        &self,
        now: Millis,
        side: ReleaseTrack,
        session: SessionHash,
        request: &PlacementRequest<'_>,
    ) -> Result<PickedEndpoint<'_>> {
        if let Some(endpoint) = self.load_probe_endpoint(now, side, session, request) {
            return Ok(PickedEndpoint { endpoint, is_loaded: true });
        }
        let endpoint = self.pool(side).pick(now, request)?;
        Ok(PickedEndpoint { endpoint, is_loaded: false })
    }

    /// Picks one of the few canary endpoints that receive most of the canary sample now; `None` if
    /// there are none or the session is not among those sent to them.
    fn load_probe_endpoint(
        &self,
        now: Millis,
        side: ReleaseTrack,
        session: SessionHash,
        request: &PlacementRequest<'_>,
    ) -> Option<&PoolEndpoint> {
        let canary = self.canary.as_ref().filter(|_| side == ReleaseTrack::Canary)?;
        if session.hash_fraction < canary.unconcentrated_sample {
            return None;
        }
        let turn = concentration_window_at(canary, now, self.stable_pool.endpoints().len())?;
        let hash_key = format!("turn {}", turn.index);
        self.canary_pool.pick_among_ranked(now, request, &hash_key, turn.endpoints)
    }

    /// Returns the endpoints of a side.
    pub fn pool(&self, side: ReleaseTrack) -> &PoolView {
        match side {
            ReleaseTrack::Stable => &self.stable_pool,
            ReleaseTrack::Canary => &self.canary_pool,
        }
    }
}

/// Snapshot of everything that traffic decides by.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Configuration in force; `None` until one is known.
    pub catalog: Option<Arc<Catalog>>,
    /// Keys that the configuration has lost recently.
    pub retired_keys: Arc<RetiredKeys>,
    /// Services with at least one endpoint that may serve.
    pub services: HashMap<ServiceId, ServiceView>,
    /// Services whose endpoints are all in evacuated failure domains.
    pub evacuated_services: HashSet<ServiceId>,
    /// Number of endpoints that are passed over in each evacuated failure domain.
    pub evacuated_endpoints: BTreeMap<FailureDomain, usize>,
    /// Whether the list of endpoints is known. It counts as unknown while a host that has just
    /// started withholds all versions, or does not know which failure domains are evacuated.
    pub has_endpoints: bool,
}
