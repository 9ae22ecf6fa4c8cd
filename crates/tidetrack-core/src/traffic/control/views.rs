//! The view that traffic decides on, made of the present beliefs.

use std::collections::HashMap;

use crate::ids::ServiceId;
use crate::placement::{PoolEndpoint, PoolView};
use crate::traffic::canary::{Canary, Phase};
use crate::traffic::view::{FleetView, ServiceView};

use super::Beliefs;

impl Beliefs {
    /// Makes the view of the present beliefs.
    pub(super) fn view(&mut self) -> FleetView {
        let mut sides: HashMap<ServiceId, (Vec<PoolEndpoint>, Vec<PoolEndpoint>)> = HashMap::new();
        let mut live = HashMap::new();
        for record in self.table.records() {
            let trial = self.trials.get(&record.service);
            let is_new = trial.is_some_and(|t| t.order.version == record.version);
            let phase = trial.map(Canary::phase);
            let kept = self.live.get(&record.id).cloned().unwrap_or_default();
            live.insert(record.id.clone(), kept.clone());
            let may_serve = match (is_new, phase) {
                _ if record.is_leaving => false,
                (true, phase) => phase != Some(Phase::Barred),
                (false, Some(Phase::Done)) => false,
                (false, _) => self.versions.may_serve(record),
            };
            if !may_serve {
                continue;
            }
            let endpoint = PoolEndpoint {
                id: record.id.clone(),
                address: record.address.to_string(),
                failure_domain: record.failure_domain.clone(),
                live: kept,
            };
            let (proven, new) = sides.entry(record.service.clone()).or_default();
            if is_new { new } else { proven }.push(endpoint);
        }
        self.live = live;
        let services = sides.into_iter().map(|(s, (p, n))| (s.clone(), self.service(&s, p, n)));
        let services: Vec<(ServiceId, ServiceView)> = services.collect();
        // A host that has just started may hold all of them until it has read the roll-outs.
        self.could_send |= !services.is_empty();
        let are_held = !self.could_send && self.table.records().next().is_some();
        FleetView {
            catalog: self.catalog.clone(),
            services: services.into_iter().collect(),
            has_endpoints: self.has_endpoints && !are_held,
        }
    }

    fn service(
        &mut self,
        service: &ServiceId,
        proven: Vec<PoolEndpoint>,
        new: Vec<PoolEndpoint>,
    ) -> ServiceView {
        let spread = self.peers.propagation_time();
        let hosts = self.hosts();
        let trial = self.trials.get_mut(service).map(|t| t.view(spread, hosts));
        let exposure = self.exposures.entry(service.clone()).or_default().clone();
        let prefixes = self.prefixes.entry(service.clone()).or_default().clone();
        let pool = |endpoints| PoolView::new(endpoints, 0);
        ServiceView { proven: pool(proven), new: pool(new), trial, exposure, prefixes }
    }
}
