//! Distribution of the rates that endpoints can process over the hosts that send to them: of limits
//! that endpoints report, and of the rates that cold endpoints can process.

use std::collections::HashSet;

use crate::events::Event;
use crate::ids::{EndpointId, EndpointKey};
use crate::placement::{EndpointAccess, SendAllowance};
use crate::traffic::brittle_endpoints::RefusalShares;
use crate::traffic::endpoint_limits::split_limit;
use crate::traffic::endpoints::EndpointRecord;
use crate::units::{Millis, Rate};

use super::{Action, ColdStart, FleetState};

/// Longest time for which computed shares are kept if neither a limit nor the number of hosts
/// changes.
const MAX_ALLOTMENT_AGE: Millis = Millis(2_000);

impl FleetState {
    /// Records for how long an endpoint stays cold according to its entry. An endpoint that counts as
    /// cold already may have returned with a new state, which has no limit yet.
    pub(super) fn record_cold_entry(
        &mut self,
        now: Millis,
        id: &EndpointId,
        cold_for: Millis,
        actions: &mut Vec<Action>,
    ) {
        if self.cold_start_of(id).is_none() {
            return;
        }
        self.cold_endpoints.record_entry(now, id, cold_for);
        if self.cold_endpoints.is_cold(now, id) {
            self.limit_cold_endpoint(now, id, actions);
        }
    }

    /// Records that an endpoint may have been restarted unnoticed.
    pub(super) fn record_possible_restart(
        &mut self,
        now: Millis,
        id: &EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let Some(cold_start) = self.cold_start_of(id) else { return };
        self.cold_endpoints.record_possible_restart(now, id, &cold_start);
        self.limit_cold_endpoint(now, id, actions);
    }

    /// Records that an endpoint was lost, so that it may be restarted from now on.
    pub(super) fn record_endpoint_loss(
        &mut self,
        now: Millis,
        id: &EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let Some(cold_start) = self.cold_start_of(id) else { return };
        let Some(state) = self.endpoint_states.get(id) else { return };
        self.cold_endpoints.record_loss(now, id, state.ejected_until(), &cold_start);
        self.limit_cold_endpoint(now, id, actions);
    }

    /// Returns how an endpoint behaves after its start.
    fn cold_start_of(&self, id: &EndpointId) -> Option<ColdStart> {
        let record = self.table.get(id)?;
        self.catalog.as_ref()?.services.get(&record.service)?.cold_start
    }

    /// Limits what this host sends to a cold endpoint, unless it is limited as such already. Takes
    /// effect at once, also for requests that use the current view.
    fn limit_cold_endpoint(&mut self, now: Millis, id: &EndpointId, actions: &mut Vec<Action>) {
        let has_reported_limit = self.limits.limit_of(EndpointKey::from(id)).flatten().is_some();
        // The next view uses this state.
        let state = self.endpoint_states.entry(id.clone()).or_default();
        if state.is_limited() && !has_reported_limit {
            return;
        }
        let is_isolated = self.is_isolated(now);
        let Some(record) = self.table.get(id) else { return };
        if let Some(allowance) = self.allocate(now, record, is_isolated, true) {
            let text = format!("endpoint={id} allotted={allowance}");
            actions.push(Action::Log(Event::EndpointCold, text));
        }
    }

    /// Reports whether this host may know only a small part of the fleet.
    pub(super) fn is_isolated(&mut self, now: Millis) -> bool {
        let hosts = self.host_count();
        self.isolation.is_isolated(now, hosts)
    }

    /// Computes what this host may send to each endpoint with a limited rate, if the inputs may have
    /// changed.
    pub(super) fn allocate_send_limits(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let hosts = self.host_count();
        let is_isolated = self.is_isolated(now);
        let warmed = self.cold_endpoints.remove_warm(now);
        if self.limits.is_empty() && self.cold_endpoints.is_empty() && warmed.is_empty() {
            return;
        }
        let changed = self.limits.take_changed();
        let is_recent = |(at, computed_for): (Millis, usize)| {
            now < at + MAX_ALLOTMENT_AGE && computed_for == hosts
        };
        if changed.is_empty() && warmed.is_empty() && self.last_allotment.is_some_and(is_recent) {
            return;
        }
        self.last_allotment = Some((now, hosts));
        let listed: HashSet<EndpointKey> =
            self.table.records().map(|r| EndpointKey::from(&r.id)).collect();
        self.limits.remove_expired(now, |key| listed.contains(&key));
        for record in self.table.records() {
            let key = EndpointKey::from(&record.id);
            let reported = self.limits.limit_of(key);
            let is_cold = self.cold_endpoints.is_cold(now, &record.id);
            if reported.is_none() && !is_cold && !warmed.contains(&record.id) {
                continue;
            }
            let is_changed = changed.contains(&key);
            let Some(allowance) = self.allocate(now, record, is_isolated, is_changed) else {
                continue;
            };
            let (Some(limit), Some(state)) = (reported, self.endpoint_states.get(&record.id))
            else {
                continue;
            };
            // The stored limit is what the next response's limit is compared with.
            if state.update_reported_limit(limit) || is_changed {
                let text = match limit {
                    Some(limit) => {
                        format!("endpoint={} limit={limit} allotted={allowance}", record.id)
                    }
                    None => format!("endpoint={} limit=-", record.id),
                };
                actions.push(Action::Log(Event::EndpointLimited, text));
            }
        }
    }

    /// Sets what this host may send to an endpoint, and returns it. Returns `None` if the previous
    /// allowance is kept. `is_changed` states whether the endpoint's limit has just changed.
    fn allocate(
        &self,
        now: Millis,
        record: &EndpointRecord,
        is_isolated: bool,
        is_changed: bool,
    ) -> Option<SendAllowance> {
        let state = self.endpoint_states.get(&record.id)?;
        let reported = self.limits.limit_of(EndpointKey::from(&record.id)).flatten();
        let is_cold = self.cold_endpoints.is_cold(now, &record.id);
        let cold_rate = self.cold_start_of(&record.id).filter(|_| is_cold).map(|c| c.rate);
        let limits = [reported, cold_rate].into_iter().flatten();
        let limit = limits.min_by(|a, b| a.0.total_cmp(&b.0));
        // The other hosts divide the whole limit among themselves, and this host goes on sending at
        // its previous share in addition. Without this check it would take a larger share.
        if is_isolated && limit.is_some() && state.is_limited() && !is_changed {
            return None;
        }
        let allowance = match limit {
            None => SendAllowance::Unlimited,
            // A host that knows few others would rank among the first for every endpoint.
            Some(_) if is_cold && (is_isolated || now < self.bootstrap_until) => {
                SendAllowance::Denied
            }
            Some(limit) => match state.guard().access() {
                EndpointAccess::Direct => {
                    let (holders, share) = split_limit(limit, self.host_count());
                    let hash_key = record.id.as_str();
                    match self.peers.is_ranked_within(hash_key, &record.failure_domain, holders) {
                        true => SendAllowance::Share(share),
                        false => SendAllowance::Denied,
                    }
                }
                // The holders keep to the limit.
                EndpointAccess::Forwarded => SendAllowance::Unlimited,
                EndpointAccess::StandIn(_) => SendAllowance::Share(limit),
                EndpointAccess::Holder(_) => {
                    let max_refusals = state.max_refusals().unwrap_or(0);
                    let shares = RefusalShares::new(max_refusals, self.host_count());
                    let senders = if shares.has_stand_in() { 1 } else { shares.holders };
                    SendAllowance::Share(Rate(limit.0 / senders as f64))
                }
            },
        };
        state.set_send_allowance(allowance);
        Some(allowance)
    }
}
