//! Construction of the view that traffic uses.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::ids::{EndpointId, ServiceId};
use crate::placement::{EndpointState, PoolEndpoint, PoolView};
use crate::traffic::canary::{Canary, Phase};
use crate::traffic::endpoints::EndpointRecord;
use crate::traffic::view::{FleetView, ServiceView};
use crate::units::Millis;

use super::{Action, FleetState};

/// How long the state of an endpoint without an entry is kept.
const LAPSED_RETENTION: Millis = Millis(600_000);

impl FleetState {
    /// Rebuilds the view if it is outdated. Call this when no input is queued: changes arrive in
    /// bursts.
    pub fn refresh_view(&mut self, now: Millis) -> Option<Action> {
        if !std::mem::take(&mut self.is_view_outdated) {
            return None;
        }
        self.last_view = Some(now);
        Some(Action::PublishView(Arc::new(self.build_view(now))))
    }

    /// Keeps what endpoints said of themselves while their entries are missing. Entries lapse with the
    /// store and come back.
    fn keep_lapsed_states(
        &mut self,
        now: Millis,
        previous: HashMap<EndpointId, Arc<EndpointState>>,
    ) {
        let listed = &self.endpoint_states;
        self.lapsed_states
            .retain(|id, (_, since)| !listed.contains_key(id) && now < *since + LAPSED_RETENTION);
        let lapsed = previous
            .into_iter()
            .filter(|(id, _)| !listed.contains_key(id))
            .filter(|(_, state)| state.has_announced_leave() || state.is_resting(now));
        self.lapsed_states.extend(lapsed.map(|(id, state)| (id, (state, now))));
    }

    /// Returns the services whose version under roll-out has an endpoint that may serve.
    fn services_with_canary_endpoints(&self) -> HashSet<ServiceId> {
        let is_usable = |record: &&EndpointRecord| {
            let canary = self.canaries.get(&record.service);
            canary.is_some_and(|t| t.order.version == record.version)
                && !record.is_leaving
                && self.evacuations.permits(&record.failure_domain)
        };
        self.table.records().filter(is_usable).map(|record| record.service.clone()).collect()
    }

    /// Builds a view of the current state.
    pub(super) fn build_view(&mut self, now: Millis) -> FleetView {
        let mut pools: HashMap<ServiceId, (Vec<PoolEndpoint>, Vec<PoolEndpoint>)> = HashMap::new();
        let mut endpoint_states = HashMap::new();
        let mut evacuated_services = HashSet::new();
        let mut evacuated_endpoints: BTreeMap<_, usize> =
            self.evacuations.domains().map(|domain| (domain.clone(), 0)).collect();
        let services_on_canary = self.services_with_canary_endpoints();
        if self.has_listed_endpoints {
            for (service, canary) in &mut self.canaries {
                canary.record_availability(now, services_on_canary.contains(service));
            }
        }
        for record in self.table.records() {
            let canary = self.canaries.get(&record.service);
            let is_canary = canary.is_some_and(|t| t.order.version == record.version);
            let phase = canary.map(Canary::phase);
            let known = self.endpoint_states.get(&record.id);
            let known =
                known.or_else(|| self.lapsed_states.get(&record.id).map(|(state, _)| state));
            let endpoint_state = known.cloned().unwrap_or_default();
            // A list replaces entries without updating the states of their endpoints.
            endpoint_state.set_leaving(record.is_leaving);
            endpoint_states.insert(record.id.clone(), endpoint_state.clone());
            let may_serve = match (is_canary, phase) {
                _ if record.is_leaving => false,
                (true, phase) => phase != Some(Phase::Barred),
                (false, Some(Phase::Done)) if services_on_canary.contains(&record.service) => false,
                (false, _) => self.versions.may_serve(record),
            };
            if !may_serve {
                continue;
            }
            if !self.evacuations.permits(&record.failure_domain) {
                if let Some(n) = evacuated_endpoints.get_mut(&record.failure_domain) {
                    *n += 1;
                    evacuated_services.insert(record.service.clone());
                }
                continue;
            }
            let endpoint = PoolEndpoint {
                id: record.id.clone(),
                address: record.address.to_string(),
                failure_domain: record.failure_domain.clone(),
                state: endpoint_state,
            };
            let (stable_endpoints, canary_endpoints) =
                pools.entry(record.service.clone()).or_default();
            if is_canary { canary_endpoints } else { stable_endpoints }.push(endpoint);
        }
        let previous = std::mem::replace(&mut self.endpoint_states, endpoint_states);
        self.keep_lapsed_states(now, previous);
        evacuated_services.retain(|service| !pools.contains_key(service));
        let services = pools.into_iter().map(|(id, (stable, canary))| {
            (id.clone(), self.build_service_view(&id, stable, canary))
        });
        let services: Vec<(ServiceId, ServiceView)> = services.collect();
        // A host that has just started may withhold all versions until it has read the roll-outs.
        self.was_ever_routable |= !services.is_empty() || !evacuated_services.is_empty();
        let are_all_withheld = !self.was_ever_routable && self.table.records().next().is_some();
        FleetView {
            retired_keys: self.retired_keys.clone(),
            catalog: self.catalog.clone(),
            services: services.into_iter().collect(),
            evacuated_services,
            evacuated_endpoints,
            has_endpoints: self.has_listed_endpoints
                && self.evacuations.is_known()
                && !are_all_withheld,
        }
    }

    fn build_service_view(
        &mut self,
        service: &ServiceId,
        stable_endpoints: Vec<PoolEndpoint>,
        canary_endpoints: Vec<PoolEndpoint>,
    ) -> ServiceView {
        let spread = self.peers.propagation_time();
        let hosts = self.host_count();
        let canary = self.canaries.get_mut(service).map(|t| t.view(spread, hosts));
        let exposure = self.exposures.entry(service.clone()).or_default().clone();
        let prefixes = self.prefixes.entry(service.clone()).or_default().clone();
        let pool = |endpoints| PoolView::new(endpoints, 0);
        ServiceView {
            stable_pool: pool(stable_endpoints),
            canary_pool: pool(canary_endpoints),
            canary,
            exposure,
            prefixes,
        }
    }
}
