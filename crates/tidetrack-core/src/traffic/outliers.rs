//! Detection of endpoints that fail far more of their requests than the rest of their pool.
//!
//! One host of many sends too few requests to an endpoint to distinguish bad luck from an endpoint
//! that loses every third response. Each host therefore counts the outcomes of its requests,
//! reports its counts for endpoints with recent failures to the other hosts, and judges by the sum.
//! An endpoint is compared with the other endpoints of its pool, because failures that all of them
//! share are caused by the requests or by the version. An outlier is avoided for a few seconds and
//! then judged by what happens afterwards. The report of one host alone never makes other hosts
//! avoid an endpoint, and part of each pool always stays in use.
//!
//! Most endpoints of a list may have ended, so a listed endpoint without known failures is not
//! typical for that reason. The comparison is with a sample of the pool: the endpoints that this host
//! has used lately, whatever the outcome. Endpoints that are known only because they failed elsewhere
//! would make failures look typical in a large fleet. A host that has used too few endpoints adds those
//! that other hosts use.

use std::collections::{HashMap, HashSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, EndpointKey};
use crate::placement::{EndpointState, Outcomes};
use crate::units::Millis;

/// Half-life of the counts in milliseconds. Hosts hear from each other in less time.
const HALF_LIFE_MS: f32 = 3_000.0;

/// Smallest decayed number of failed requests, over all hosts, for an outlier.
const MIN_FAILED: f32 = 3.0;

/// Largest number of failed requests that counts from one other host. It is below `MIN_FAILED`,
/// because a single host may be cut off from an endpoint by its own network.
const MAX_FAILED_PER_HOST: f32 = 2.0;

/// Smallest difference between an outlier's share of failed requests and its pool's median share.
/// An endpoint that loses a few responses in a hundred is better kept in use than avoided.
const MIN_EXCESS_SHARE: f32 = 0.12;

/// The same difference in standard errors of the share, so that chance does not make endpoints
/// outliers where all of them fail often.
const MIN_STANDARD_ERRORS: f32 = 3.0;

/// Smallest median share used to compute the standard error.
const MIN_MEDIAN: f32 = 0.02;

/// Smallest decayed number of failed requests for which a host reports its counts of an endpoint. A
/// single failure is reported for one half-life.
const MIN_REPORTED: f32 = 0.5;

/// Decayed number of requests below which an endpoint's counts are dropped.
const MIN_RETAINED: f32 = 0.05;

/// Duration of an endpoint's first avoidance. By its end the counts that led to it have reached
/// every host, so counts received later are of requests sent later.
const INITIAL_AVOIDANCE: Millis = Millis(3_000);

/// Longest avoidance of an endpoint that fails repeatedly.
const MAX_AVOIDANCE: Millis = Millis(12_000);

/// Smallest pool, and smallest sample of it, in which outliers are detected: of two endpoints, neither
/// can be called typical.
const MIN_POOL_SIZE: usize = 3;

/// Time for which an endpoint that this host has used counts towards the sample of its pool.
const MAX_USE_AGE: Millis = Millis(30_000);

/// One endpoint in this number, rounded up, may be avoided in a pool; the remaining ones have to
/// carry the load of all.
const AVOIDED_DIVISOR: usize = 3;

/// Exponentially decaying counts of the requests to one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// All requests.
    pub all: f32,
    /// Failed requests.
    pub failed: f32,
}

impl RequestCounts {
    fn scaled(self, factor: f32) -> RequestCounts {
        RequestCounts { all: self.all * factor, failed: self.failed * factor }
    }

    fn decayed(self, age: Millis) -> RequestCounts {
        self.scaled((-(age.0 as f32) / HALF_LIFE_MS).exp2())
    }

    /// Returns the sum of both counts.
    pub fn plus(self, other: RequestCounts) -> RequestCounts {
        RequestCounts { all: self.all + other.all, failed: self.failed + other.failed }
    }

    fn minus(self, other: RequestCounts) -> RequestCounts {
        let failed = (self.failed - other.failed).max(0.0);
        RequestCounts { all: (self.all - other.all).max(failed), failed }
    }

    fn failed_share(self) -> f32 {
        self.failed / self.all.max(1.0)
    }

    /// Reports whether enough requests failed, and a share well above the typical one.
    fn exceeds(self, typical_share: f32) -> bool {
        let floored_share = typical_share.max(MIN_MEDIAN);
        let error = (floored_share * (1.0 - floored_share) / self.all.max(1.0)).sqrt();
        let excess = self.failed_share() - typical_share;
        self.failed >= MIN_FAILED && excess >= MIN_EXCESS_SHARE.max(error * MIN_STANDARD_ERRORS)
    }

    /// Returns these counts as reported by one other host `age` ago: decayed, and capped at
    /// `MAX_FAILED_PER_HOST` failures.
    pub fn as_reported(self, age: Millis) -> RequestCounts {
        let cap_factor = (MAX_FAILED_PER_HOST / self.failed.max(MAX_FAILED_PER_HOST)).min(1.0);
        self.scaled(cap_factor).decayed(age)
    }
}

/// Counts and the time at which they were last updated.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCounts {
    counts: RequestCounts,
    updated_at: Millis,
}

impl DecayingCounts {
    fn value_at(self, now: Millis) -> RequestCounts {
        self.counts.decayed(now - self.updated_at)
    }
}

/// What this host knows about one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointHistory {
    /// Recent requests of this host.
    own: DecayingCounts,
    /// Recent requests of all hosts.
    all: DecayingCounts,
    /// Requests from before the last avoidance ended; they are subtracted from `all`.
    discounted: DecayingCounts,
    /// End and duration of the last avoidance; `None` if there was none.
    avoidance: Option<(Millis, Millis)>,
    /// Whether the endpoint has been in use again since the last avoidance.
    is_readmitted: bool,
    /// When this host last saw the outcome of a request since the last avoidance.
    used_at: Option<Millis>,
}

/// An endpoint that has to be avoided.
#[derive(Clone, Debug, PartialEq)]
pub struct Outlier {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Recent requests to the endpoint, from all hosts.
    pub counts: RequestCounts,
    /// Median share of failed requests in its pool.
    pub median: f32,
    /// When the avoidance ends.
    pub avoided_until: Millis,
}

impl fmt::Display for Outlier {
    /// Formats the details for the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outlier { endpoint, counts, median, avoided_until } = self;
        write!(f, "endpoint={endpoint} failed={:.1} of={:.1}", counts.failed, counts.all)?;
        write!(f, " median={median:.2} until_ms={}", avoided_until.0)
    }
}

/// Recent counts of endpoints that this host or another one sent requests to.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    histories: HashMap<EndpointId, EndpointHistory>,
    /// Endpoints that are ejected after failures.
    ejected: HashSet<EndpointId>,
    /// Endpoints that are not ejected and whose last request from this host failed.
    failing: HashSet<EndpointId>,
    /// Endpoints at which other hosts have requests and whose last request from this host did not fail.
    used_by_peers: HashSet<EndpointId>,
}

impl OutlierDetector {
    /// Adds the outcomes of this host's requests since the last call, and the counts `peer_counts`
    /// that other hosts reported.
    pub fn record<'a>(
        &mut self,
        now: Millis,
        endpoint_states: impl Iterator<Item = (&'a EndpointId, &'a EndpointState)>,
        peer_counts: &HashMap<EndpointKey, RequestCounts>,
    ) {
        self.ejected.clear();
        self.failing.clear();
        self.used_by_peers.clear();
        for (id, state) in endpoint_states {
            if state.ejected_until() > now {
                self.ejected.insert(id.clone());
            } else if state.consecutive_failures() > 0 {
                self.failing.insert(id.clone());
            } else if state.has_peer_work(now) {
                self.used_by_peers.insert(id.clone());
            }
            let outcomes = state.take_outcomes();
            let others = peer_counts.get(&EndpointKey::from(id)).copied();
            if outcomes == Outcomes::default() && others.is_none() {
                continue;
            }
            let history = self.histories.entry(id.clone()).or_default();
            history.record(now, outcomes, others.unwrap_or_default());
        }
        self.histories.retain(|_, history| {
            history.readmit_if_due(now);
            history.is_retained(now)
        });
    }

    /// Returns this host's counts of the endpoints that this host or another one recently saw fail.
    pub fn reports(&self, now: Millis) -> Vec<(EndpointKey, RequestCounts)> {
        let reports = self.histories.iter().filter_map(|(id, history)| {
            let own = history.own.value_at(now);
            let is_reported =
                history.all.value_at(now).failed >= MIN_REPORTED && own.all >= MIN_REPORTED;
            is_reported.then(|| (EndpointKey::from(id), own))
        });
        reports.collect()
    }

    /// Returns the endpoints that are in use and fail often enough to be compared with their pools.
    pub fn candidates(&self, now: Millis) -> Vec<EndpointId> {
        let candidates = self.histories.iter().filter(|(_, s)| s.is_candidate(now));
        candidates.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the endpoints of a pool that have to be avoided from now on, and starts to avoid
    /// them.
    pub fn find_outliers(&mut self, now: Millis, pool: &[EndpointId]) -> Vec<Outlier> {
        let pool: Vec<&EndpointId> = pool.iter().filter(|id| !self.ejected.contains(*id)).collect();
        let sample = self.sample(now, &pool);
        if sample.len() < MIN_POOL_SIZE {
            return Vec::new();
        }
        let median = self.median(now, &sample);
        let mut outliers: Vec<Outlier> = Vec::new();
        let mut avoided_count = 0;
        for id in &pool {
            let Some(history) = self.histories.get(*id) else { continue };
            let counts = history.current_counts(now);
            if history.is_avoided(now) {
                avoided_count += 1;
            } else if counts.exceeds(median) {
                outliers.push(Outlier {
                    endpoint: (*id).clone(),
                    counts,
                    median,
                    avoided_until: now,
                });
            }
        }
        outliers.sort_by(|a, b| b.counts.failed_share().total_cmp(&a.counts.failed_share()));
        outliers.truncate(pool.len().div_ceil(AVOIDED_DIVISOR).saturating_sub(avoided_count));
        for outlier in &mut outliers {
            if let Some(history) = self.histories.get_mut(&outlier.endpoint) {
                outlier.avoided_until = history.avoid(now);
            }
        }
        outliers
    }

    /// Returns the endpoints of a pool with which the others are compared.
    fn sample<'a>(&self, now: Millis, pool: &[&'a EndpointId]) -> Vec<&'a EndpointId> {
        let is_used = |id: &EndpointId| {
            let history = self.histories.get(id).filter(|history| history.was_used(now));
            // Failures that may have been caused by the network path are not among the counts.
            history.is_some_and(|h| h.has_own_failures(now) || !self.failing.contains(id))
        };
        let used: Vec<&EndpointId> = pool.iter().copied().filter(|id| is_used(id)).collect();
        if used.len() >= MIN_POOL_SIZE {
            return used;
        }
        let is_used_by_peers = |id: &EndpointId| {
            let history = self.histories.get(id);
            self.used_by_peers.contains(id)
                || history.is_some_and(|h| h.current_counts(now).failed >= MIN_REPORTED)
        };
        pool.iter().copied().filter(|id| is_used(id) || is_used_by_peers(id)).collect()
    }

    /// Returns the median share of failed requests in a sample.
    fn median(&self, now: Millis, sample: &[&EndpointId]) -> f32 {
        let share = |id: &&EndpointId| {
            self.histories
                .get(*id)
                .map_or(0.0, |history| history.current_counts(now).failed_share())
        };
        let mut shares: Vec<f32> = sample.iter().map(share).collect();
        shares.sort_by(f32::total_cmp);
        shares[(shares.len() - 1) / 2]
    }
}

impl EndpointHistory {
    fn record(&mut self, now: Millis, outcomes: Outcomes, others: RequestCounts) {
        let (succeeded, failed) = (outcomes.succeeded as f32, outcomes.failed as f32);
        if outcomes != Outcomes::default() {
            self.used_at = Some(now);
        }
        let own = self.own.value_at(now).plus(RequestCounts { all: succeeded + failed, failed });
        self.own = DecayingCounts { counts: own, updated_at: now };
        self.all = DecayingCounts { counts: own.plus(others), updated_at: now };
    }

    /// Returns the counts that an evaluation uses: all recent requests without the discounted ones.
    fn current_counts(&self, now: Millis) -> RequestCounts {
        self.all.value_at(now).minus(self.discounted.value_at(now))
    }

    /// Reports whether this host has used the endpoint lately.
    fn was_used(&self, now: Millis) -> bool {
        self.used_at.is_some_and(|used_at| now < used_at + MAX_USE_AGE)
    }

    /// Reports whether requests of this host have failed lately.
    fn has_own_failures(&self, now: Millis) -> bool {
        self.own.value_at(now).failed >= MIN_REPORTED
    }

    fn is_candidate(&self, now: Millis) -> bool {
        !self.is_avoided(now) && self.current_counts(now).exceeds(0.0)
    }

    fn is_avoided(&self, now: Millis) -> bool {
        self.avoidance.is_some_and(|(avoided_until, _)| now < avoided_until)
    }

    /// Starts an avoidance and returns when it ends. The duration doubles if the last avoidance
    /// ended recently.
    fn avoid(&mut self, now: Millis) -> Millis {
        let duration = match self.avoidance {
            Some((avoided_until, duration)) if now < avoided_until + duration => {
                Millis(duration.0 * 2).min(MAX_AVOIDANCE)
            }
            _ => INITIAL_AVOIDANCE,
        };
        let avoided_until = now + duration;
        self.avoidance = Some((avoided_until, duration));
        self.is_readmitted = false;
        avoided_until
    }

    /// Discounts all earlier requests once an avoidance has ended.
    fn readmit_if_due(&mut self, now: Millis) {
        if self.avoidance.is_some() && !self.is_avoided(now) && !self.is_readmitted {
            self.is_readmitted = true;
            self.used_at = None;
            self.discounted = DecayingCounts { counts: self.all.value_at(now), updated_at: now };
        }
    }

    /// Reports whether this entry can still affect an evaluation.
    fn is_retained(&self, now: Millis) -> bool {
        let was_recently_avoided =
            self.avoidance.is_some_and(|(avoided_until, duration)| now < avoided_until + duration);
        was_recently_avoided || self.was_used(now) || self.all.value_at(now).all >= MIN_RETAINED
    }
}
