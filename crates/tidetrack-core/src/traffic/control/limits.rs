//! Distribution of the limits that endpoints report over the hosts that send to them.

use std::collections::HashSet;

use crate::events::Event;
use crate::ids::EndpointKey;
use crate::placement::SendAllowance;
use crate::traffic::endpoint_limits::split_limit;
use crate::units::Millis;

use super::{Action, FleetState};

/// Longest time for which computed shares are kept if neither a limit nor the number of hosts
/// changes.
const MAX_ALLOTMENT_AGE: Millis = Millis(2_000);

impl FleetState {
    /// Computes what this host may send to each endpoint with a reported limit, if the inputs may
    /// have changed.
    pub(super) fn allocate_send_limits(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let hosts = self.host_count();
        let is_isolated = self.isolation.is_isolated(now, hosts);
        if self.limits.is_empty() {
            return;
        }
        let changed = self.limits.take_changed();
        let is_recent = |(at, computed_for): (Millis, usize)| {
            now < at + MAX_ALLOTMENT_AGE && computed_for == hosts
        };
        if changed.is_empty() && self.last_allotment.is_some_and(is_recent) {
            return;
        }
        self.last_allotment = Some((now, hosts));
        let listed: HashSet<EndpointKey> =
            self.table.records().map(|r| EndpointKey::from(&r.id)).collect();
        self.limits.remove_expired(now, |key| listed.contains(&key));
        for record in self.table.records() {
            let key = EndpointKey::from(&record.id);
            let Some(reported) = self.limits.limit_of(key) else { continue };
            let Some(state) = self.endpoint_states.get(&record.id) else { continue };
            // The other hosts divide the whole limit among themselves, and this host goes on
            // sending at its previous share in addition. Without this check it would take a larger
            // share.
            if is_isolated && reported.is_some() && state.is_limited() && !changed.contains(&key) {
                continue;
            }
            let allowance = match reported {
                None => SendAllowance::Unlimited,
                Some(limit) => {
                    let (holders, share) = split_limit(limit, hosts);
                    let hash_key = record.id.as_str();
                    match self.peers.is_ranked_within(hash_key, &record.failure_domain, holders) {
                        true => SendAllowance::Share(share),
                        false => SendAllowance::Denied,
                    }
                }
            };
            state.set_send_allowance(allowance);
            // The stored limit is what the next response's limit is compared with.
            if state.update_reported_limit(reported) || changed.contains(&key) {
                let text = match reported {
                    Some(limit) => {
                        format!("endpoint={} limit={limit} allotted={allowance}", record.id)
                    }
                    None => format!("endpoint={} limit=-", record.id),
                };
                actions.push(Action::Log(Event::EndpointLimited, text));
            }
        }
    }
}
