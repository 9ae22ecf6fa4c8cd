//! What this host may send to endpoints that named limits.

use std::collections::HashSet;

use crate::events::Event;
use crate::ids::EndpointKey;
use crate::placement::Allotted;
use crate::traffic::endpoint_limits::split_limit;
use crate::units::Millis;

use super::{Action, Beliefs};

/// How long shares stay where nothing is known to have changed.
const ALLOT_EVERY: Millis = Millis(2_000);

impl Beliefs {
    /// Works out what this host may send to endpoints that named limits, if that may have changed.
    pub(super) fn allot(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let hosts = self.hosts();
        let is_alone = self.sight.is_isolated(now, hosts);
        if self.limits.is_empty() {
            return;
        }
        let changed = self.limits.take_changed();
        let is_young = |(at, of): (Millis, usize)| now < at + ALLOT_EVERY && of == hosts;
        if changed.is_empty() && self.allotted.is_some_and(is_young) {
            return;
        }
        self.allotted = Some((now, hosts));
        let listed: HashSet<EndpointKey> =
            self.table.records().map(|r| EndpointKey::from(&r.id)).collect();
        self.limits.remove_expired(now, |key| listed.contains(&key));
        for record in self.table.records() {
            let key = EndpointKey::from(&record.id);
            let Some(named) = self.limits.limit_of(key) else { continue };
            let Some(live) = self.live.get(&record.id) else { continue };
            // The others divide the whole among themselves, and this host adds to it what it had.
            if is_alone && named.is_some() && live.is_limited() && !changed.contains(&key) {
                continue;
            }
            let allotted = match named {
                None => Allotted::All,
                Some(limit) => {
                    let (holders, share) = split_limit(limit, hosts);
                    let job = record.id.as_str();
                    match self.peers.is_ranked_within(job, &record.failure_domain, holders) {
                        true => Allotted::Share(share),
                        false => Allotted::Nothing,
                    }
                }
            };
            live.allot(allotted);
            // What an answer names next is compared with this.
            if live.names_limit(named) || changed.contains(&key) {
                let text = match named {
                    Some(limit) => {
                        format!("endpoint={} limit={limit} allotted={allotted}", record.id)
                    }
                    None => format!("endpoint={} limit=-", record.id),
                };
                actions.push(Action::Note(Event::EndpointLimited, text));
            }
        }
    }
}
