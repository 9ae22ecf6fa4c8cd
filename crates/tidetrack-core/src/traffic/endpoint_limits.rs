//! Limits that endpoints name on what they take from all hosts together.
//!
//! An endpoint in need tells with its answers how many requests a second it takes, and the sum over all hosts has to
//! keep to that. Hosts tell each other what an endpoint named last. As many hosts as it takes requests in a second
//! hold an equal share each, ranked alike at every host, those of its failure domain first; for the others it takes
//! nothing. An equal share for every host would be less than one request in minutes in a fleet of hundreds, and
//! one request of each, sent at once, many times the limit.
//!
//! The newest answer counts, whichever host it came to. A limit ends when an answer names none.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::EndpointKey;
use crate::traffic::gossip::{is_recent_change, is_repeat_due, select_reports};
use crate::units::{Millis, Rate};

/// Limits that one message tells at most.
const MAX_REPORTS_PER_MESSAGE: usize = 32;

/// How long it is told that a limit ended.
const ENDED_LIMIT_RETENTION: Millis = Millis(10_000);

/// Least rate that is shared out: an endpoint that gets nothing could never tell that its limit ended.
const MIN_RATE: Rate = Rate(0.1);

/// Steps of a rate in messages, a second.
const RATE_UNITS_PER_REQUEST: f64 = 1_000.0;

/// What an endpoint named last, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Requests a second, in thousandths; `None` after the limit's end.
    pub rate: Option<u32>,
    /// Milliseconds since the answer.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    rate: Option<Rate>,
    /// When the answer came.
    responded_at: Millis,
    /// When this host learned of it.
    learned_at: Millis,
}

/// What endpoints named, as one host knows it.
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    limits: BTreeMap<EndpointKey, KnownLimit>,
    has_unreported: bool,
    /// Endpoints whose shares are to be worked out anew.
    changed_endpoints: BTreeSet<EndpointKey>,
    next_repeat: usize,
}

impl EndpointLimits {
    /// Takes what an endpoint named in an answer that has just come.
    pub fn record_response(&mut self, now: Millis, endpoint: EndpointKey, rate: Option<Rate>) {
        if rate.is_some() || self.limits.contains_key(&endpoint) {
            self.insert(endpoint, KnownLimit { rate, responded_at: now, learned_at: now });
        }
    }

    /// Takes what another host tells.
    pub fn receive_reports(&mut self, now: Millis, reports: &[LimitReport]) {
        for report in reports {
            let responded_at = Millis(now.0.saturating_sub(u64::from(report.age_ms)));
            let rate = report.rate.map(|rate| Rate(f64::from(rate) / RATE_UNITS_PER_REQUEST));
            let known = self.limits.get(&report.endpoint);
            let is_newer = known.map_or(rate.is_some(), |known| {
                known.responded_at < responded_at && rate_units(known.rate) != report.rate
            });
            if is_newer {
                self.insert(report.endpoint, KnownLimit { rate, responded_at, learned_at: now });
            }
        }
    }

    fn insert(&mut self, endpoint: EndpointKey, limit: KnownLimit) {
        self.limits.insert(endpoint, limit);
        self.has_unreported = true;
        self.changed_endpoints.insert(endpoint);
    }

    /// Tells whether something is known here that no other host was told of.
    pub fn has_unreported(&self) -> bool {
        self.has_unreported
    }

    /// Gets the endpoints of which something else is known since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<EndpointKey> {
        std::mem::take(&mut self.changed_endpoints)
    }

    /// Tells whether nothing is known of any limit.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Gets what an endpoint named last; `None` if nothing is known of a limit.
    pub fn limit_of(&self, endpoint: EndpointKey) -> Option<Option<Rate>> {
        self.limits.get(&endpoint).map(|limit| limit.rate)
    }

    /// Lists what to tell other hosts in a round: what is new, and now and then the rest.
    pub fn reports_for_round(&mut self, now: Millis) -> Vec<LimitReport> {
        self.build_reports(now, |endpoint| is_repeat_due(now, endpoint.get()))
    }

    /// Lists what to tell a host that knows nothing: what is new, then the rest in turn.
    pub fn reports_for_new_host(&mut self, now: Millis) -> Vec<LimitReport> {
        self.build_reports(now, |_| true)
    }

    fn build_reports(
        &mut self,
        now: Millis,
        is_due: impl Fn(&EndpointKey) -> bool,
    ) -> Vec<LimitReport> {
        self.has_unreported = false;
        let (mut recent, mut older) = (Vec::new(), Vec::new());
        for (endpoint, limit) in &self.limits {
            let report = LimitReport {
                endpoint: *endpoint,
                rate: rate_units(limit.rate),
                age_ms: u32::try_from((now - limit.responded_at).0).unwrap_or(u32::MAX),
            };
            match is_recent_change(now, limit.learned_at) {
                true => recent.push(report),
                false if is_due(endpoint) => older.push(report),
                false => {}
            }
        }
        select_reports(&recent, &older, MAX_REPORTS_PER_MESSAGE, &mut self.next_repeat)
    }

    /// Forgets endpoints that are gone, and limits that ended a while ago.
    pub fn remove_expired(&mut self, now: Millis, is_listed: impl Fn(EndpointKey) -> bool) {
        self.limits.retain(|endpoint, limit| {
            let is_kept = limit.rate.is_some() || now < limit.learned_at + ENDED_LIMIT_RETENTION;
            is_kept && is_listed(*endpoint)
        });
    }
}

fn rate_units(rate: Option<Rate>) -> Option<u32> {
    // The cast stops at the largest number.
    rate.map(|rate| (rate.0 * RATE_UNITS_PER_REQUEST).round() as u32)
}

/// Gets how many hosts of a fleet share a limit, and what each of them may send.
pub fn split_limit(limit: Rate, hosts: usize) -> (usize, Rate) {
    let limit = limit.0.max(MIN_RATE.0);
    let holders = (limit.ceil() as usize).clamp(1, hosts.max(1));
    (holders, Rate(limit / holders as f64))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_add_up_to_the_limit_and_allow_a_request_every_two_seconds() {
        for (limit, hosts) in [(1.0, 7), (1.6, 295), (20.0, 7), (20.0, 295), (500.0, 295)] {
            let (holders, share) = split_limit(Rate(limit), hosts);

            assert!((share.0 * holders as f64 - limit).abs() < 1e-9);
            assert!(holders <= hosts);
            assert!(share.0 >= 0.5, "{share} each of {holders}");
        }
    }

    #[test]
    fn an_endpoint_with_a_rate_of_zero_still_gets_a_few_requests() {
        let (holders, share) = split_limit(Rate(0.0), 7);

        assert_eq!(holders, 1);
        assert!(share.0 > 0.0);
    }
}
