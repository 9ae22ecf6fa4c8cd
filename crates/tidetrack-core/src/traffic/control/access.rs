//! This host's access to the endpoints that fall over from refusing requests.

use std::collections::{BTreeMap, HashSet};

use crate::events::Event;
use crate::ids::{EndpointId, EndpointKey, ServiceId};
use crate::placement::EndpointAccess;
use crate::traffic::brittle_endpoints::RefusalShares;
use crate::traffic::endpoints::EndpointRecord;
use crate::units::Millis;

use super::{Action, FleetState};

impl FleetState {
    /// Records how many refusals per second an endpoint says it bears.
    pub(super) fn record_max_refusals(
        &mut self,
        now: Millis,
        id: &EndpointId,
        max_refusals: Option<u32>,
        actions: &mut Vec<Action>,
    ) {
        self.brittle.record_response(now, EndpointKey::from(id), max_refusals);
        self.update_endpoint_access(now, actions);
    }

    /// Sets this host's access to each endpoint that has said how many refusals it bears. Takes effect
    /// at once, also for requests that use the current view.
    pub(super) fn update_endpoint_access(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.brittle.is_empty() {
            return;
        }
        let listed: HashSet<EndpointKey> =
            self.table.records().map(|r| EndpointKey::from(&r.id)).collect();
        self.brittle.remove_expired(now, |key| listed.contains(&key));
        let is_isolated = self.is_isolated(now);
        let least = self.least_max_refusals();
        let mut has_changed = false;
        for record in self.table.records() {
            let Some(state) = self.endpoint_states.get(&record.id) else { continue };
            let said = self.brittle.max_refusals(EndpointKey::from(&record.id));
            let max_refusals = said.unwrap_or_else(|| least.get(&record.service).copied());
            if max_refusals.is_none() && !state.guard().is_active() {
                continue;
            }
            let access = self.access_to(now, record, max_refusals, is_isolated);
            state.update_max_refusals(max_refusals);
            let previous = state.guard().set_access(access);
            if previous != access {
                let max_refusals = max_refusals.map_or("-".into(), |n| n.to_string());
                let text = format!(
                    "endpoint={} max_refusals={max_refusals} access={access} previous={previous} \
                     hosts={}",
                    record.id,
                    self.host_count()
                );
                actions.push(Action::Log(Event::EndpointAccess, text));
                has_changed = true;
            }
        }
        if has_changed {
            // What this host may send under other limits depends on its access.
            self.last_allotment = None;
            self.allocate_send_limits(now, actions);
        }
    }

    /// Returns the least number of refusals per second that any endpoint of a service says it bears.
    fn least_max_refusals(&self) -> BTreeMap<ServiceId, u32> {
        let mut least: BTreeMap<ServiceId, u32> = BTreeMap::new();
        for record in self.table.records() {
            let said = self.brittle.max_refusals(EndpointKey::from(&record.id)).flatten();
            if let Some(max_refusals) = said {
                let least = least.entry(record.service.clone()).or_insert(max_refusals);
                *least = (*least).min(max_refusals);
            }
        }
        least
    }

    /// Reports whether this host has just started and has not heard yet from hosts that others named.
    fn is_discovering(&self, now: Millis) -> bool {
        now < self.bootstrap_until && self.peers.has_unconfirmed_addresses()
    }

    fn access_to(
        &self,
        now: Millis,
        record: &EndpointRecord,
        max_refusals: Option<u32>,
        is_isolated: bool,
    ) -> EndpointAccess {
        let Some(max_refusals) = max_refusals else { return EndpointAccess::Direct };
        let known = self.endpoint_states.get(&record.id).map(|state| state.guard().access());
        if is_isolated || self.is_discovering(now) {
            // A host that knows few others would rank first for every endpoint. One that held the
            // endpoint before keeps its share, which no other host takes over.
            return match known {
                Some(access @ (EndpointAccess::Holder(_) | EndpointAccess::StandIn(_))) => access,
                _ => EndpointAccess::Forwarded,
            };
        }
        if self.is_leaving || self.lost_services.contains(&record.service) {
            return EndpointAccess::Forwarded;
        }
        let shares = RefusalShares::new(max_refusals, self.host_count());
        shares.access(self.peers.rank_as_holder(
            record.id.as_str(),
            &record.failure_domain,
            &record.service,
            shares.holders,
        ))
    }
}
