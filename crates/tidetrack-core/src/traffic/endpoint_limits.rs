//! Rate limits that endpoints declare for the requests of all hosts together.
//!
//! An overloaded endpoint declares in its responses how many requests per second it accepts, and
//! the hosts together have to stay below that. Hosts report to each other what each endpoint
//! declared last. As many hosts as the endpoint accepts requests per second hold an equal share
//! each; all hosts use the same ranking, in which those in the endpoint's failure domain come
//! first. The other hosts send it nothing. With an equal share for every host, a host in a fleet of
//! hundreds would be allowed less than one request in minutes, and if each host sent one request at
//! once, they would exceed the limit many times.
//!
//! The newest response counts, whichever host received it. A limit ends when a response declares
//! none.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::EndpointKey;
use crate::traffic::gossip::{is_recent_change, is_repeat_due, select_reports};
use crate::units::{Millis, Rate};

/// Maximum number of limits reported in one message.
const MAX_REPORTS_PER_MESSAGE: usize = 32;

/// How long the end of a limit is stored and reported.
const ENDED_LIMIT_RETENTION: Millis = Millis(10_000);

/// Minimum rate that is shared out. An endpoint that received no requests could never declare that
/// its limit has ended.
const MIN_RATE: Rate = Rate(0.1);

/// Units per request in the rates of reports, which are in thousandths of a request per second.
const RATE_UNITS_PER_REQUEST: f64 = 1_000.0;

/// The limit that an endpoint declared last, as hosts report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The endpoint that declared the limit.
    pub endpoint: EndpointKey,
    /// Thousandths of a request per second; `None` if the limit has ended.
    pub rate: Option<u32>,
    /// Milliseconds since the response that declared it.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    rate: Option<Rate>,
    /// When the response arrived.
    responded_at: Millis,
    /// When this host learned of the limit.
    learned_at: Millis,
}

/// The limits that endpoints declared, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    limits: BTreeMap<EndpointKey, KnownLimit>,
    has_unreported: bool,
    /// Whether it is stored and reported that an endpoint declares no limit as long as it is listed, even
    /// if it has never declared one.
    keeps_ended: bool,
    /// Endpoints whose shares have to be recomputed.
    changed_endpoints: BTreeSet<EndpointKey>,
    next_repeat: usize,
}

impl EndpointLimits {
    /// Creates limits of which it is also kept that endpoints declare none.
    pub fn keeping_ended() -> EndpointLimits {
        EndpointLimits { keeps_ended: true, ..EndpointLimits::default() }
    }

    /// Records the limit that an endpoint declared in a response that has just arrived; `None` if
    /// it declared none.
    pub fn record_response(&mut self, now: Millis, endpoint: EndpointKey, rate: Option<Rate>) {
        if rate.is_some() || self.keeps_ended || self.limits.contains_key(&endpoint) {
            self.insert(endpoint, KnownLimit { rate, responded_at: now, learned_at: now });
        }
    }

    /// Adds the limits that another host reports, where they are newer than the known ones.
    pub fn receive_reports(&mut self, now: Millis, reports: &[LimitReport]) {
        for report in reports {
            let responded_at = Millis(now.0.saturating_sub(u64::from(report.age_ms)));
            let rate = report.rate.map(|rate| Rate(f64::from(rate) / RATE_UNITS_PER_REQUEST));
            let known = self.limits.get(&report.endpoint);
            let is_newer = known.map_or(rate.is_some() || self.keeps_ended, |known| {
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

    /// Reports whether there are changes that have not been reported to any host.
    pub fn has_unreported(&self) -> bool {
        self.has_unreported
    }

    /// Returns the endpoints whose limits have changed since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<EndpointKey> {
        std::mem::take(&mut self.changed_endpoints)
    }

    /// Reports whether no limit is known.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns the limit that an endpoint declared last. The outer `None` means that no limit is
    /// known, the inner one that the limit has ended.
    pub fn limit_of(&self, endpoint: EndpointKey) -> Option<Option<Rate>> {
        self.limits.get(&endpoint).map(|limit| limit.rate)
    }

    /// Returns the reports for one round of messages: recent changes, and at intervals all other
    /// limits.
    pub fn reports_for_round(&mut self, now: Millis) -> Vec<LimitReport> {
        self.build_reports(now, |endpoint| is_repeat_due(now, endpoint.get()))
    }

    /// Returns the reports for a host that knows no limits: recent changes, then the other limits
    /// in rotation.
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

    /// Removes limits of endpoints that are no longer listed, and limits that ended some time ago.
    pub fn remove_expired(&mut self, now: Millis, is_listed: impl Fn(EndpointKey) -> bool) {
        self.limits.retain(|endpoint, limit| {
            let is_kept = self.keeps_ended
                || limit.rate.is_some()
                || now < limit.learned_at + ENDED_LIMIT_RETENTION;
            is_kept && is_listed(*endpoint)
        });
    }
}

fn rate_units(rate: Option<Rate>) -> Option<u32> {
    // The cast saturates at the largest value.
    rate.map(|rate| (rate.0 * RATE_UNITS_PER_REQUEST).round() as u32)
}

/// Returns how many hosts of a fleet share a limit, and the rate that each of them may send.
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
            assert!(share.0 >= 0.5, "share of {share} for each of {holders} holders");
        }
    }

    #[test]
    fn an_endpoint_with_a_rate_of_zero_still_gets_a_few_requests() {
        let (holders, share) = split_limit(Rate(0.0), 7);

        assert_eq!(holders, 1);
        assert!(share.0 > 0.0);
    }
}
