//! Endpoints that fail much more of their requests than the rest of their pool.
//!
//! One host of many sends an endpoint too few requests to tell a run of bad luck from an endpoint that
//! loses every third answer. So each host counts how its requests went, tells the others its counts of
//! the endpoints that anyone saw fail of late, and judges by the sum. An endpoint stands beside the
//! others of its pool: what all fail alike is the requests' own doing or the version's. It is left alone
//! for a few seconds and then judged by what comes after; one host's word alone drives no other host
//! away, and a part of each pool is always used.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointId, EndpointKey};
use crate::placement::{EndpointState, Outcomes};
use crate::units::Millis;

/// Counts halve in this time: long enough for a fleet of 83 hosts to hear of each other, which takes
/// 2.6 s, short enough for an endpoint that was well until now.
const HALF_LIFE_MS: f32 = 3_000.0;

/// Failed requests, over all hosts, from which an endpoint can be an outlier.
const MIN_FAILED: f32 = 3.0;

/// Most failed requests that one other host's word counts as: less than `MIN_FAILED`, for a host may
/// be cut off by itself.
const MAX_FAILED_PER_HOST: f32 = 2.0;

/// How far an outlier's share of failed requests lies over its pool's median at least. Endpoints that
/// lose a few answers in a hundred are better borne than done without.
const MIN_EXCESS_SHARE: f32 = 0.12;

/// The same in standard errors of the share, lest chance drive an endpoint away where all fail often.
const MIN_STANDARD_ERRORS: f32 = 3.0;

/// Smallest median that the standard error is reckoned from.
const MIN_MEDIAN: f32 = 0.02;

/// Failed requests, faded, from which a host tells its counts of an endpoint: one failure is told for one
/// half-life.
const MIN_REPORTED: f32 = 0.5;

/// Requests, faded, below which an endpoint's results are forgotten.
const MIN_RETAINED: f32 = 0.05;

/// How long an endpoint is avoided at first. Its word has then reached every host, so what is heard
/// later is of requests sent later.
const INITIAL_AVOIDANCE: Millis = Millis(3_000);

/// Longest time for which it is avoided when it fails again and again.
const MAX_AVOIDANCE: Millis = Millis(12_000);

/// Smallest pool that has outliers: of two, neither is the usual one.
const MIN_POOL_SIZE: usize = 3;

/// Part of a pool that may be avoided, one endpoint in so many, rounded up: those left carry the load of all.
const AVOIDED_DIVISOR: usize = 3;

/// How requests at one endpoint went; fades with time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// All requests.
    pub all: f32,
    /// Those that failed.
    pub failed: f32,
}

impl RequestCounts {
    fn scaled(self, factor: f32) -> RequestCounts {
        RequestCounts { all: self.all * factor, failed: self.failed * factor }
    }

    fn decayed(self, age: Millis) -> RequestCounts {
        self.scaled((-(age.0 as f32) / HALF_LIFE_MS).exp2())
    }

    /// Adds other results.
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

    /// Tells whether enough failed, and a share well over the usual one.
    fn exceeds(self, typical_share: f32) -> bool {
        let floored_share = typical_share.max(MIN_MEDIAN);
        let error = (floored_share * (1.0 - floored_share) / self.all.max(1.0)).sqrt();
        let excess = self.failed_share() - typical_share;
        self.failed >= MIN_FAILED && excess >= MIN_EXCESS_SHARE.max(error * MIN_STANDARD_ERRORS)
    }

    /// Gets these results as the word of one other host, some time later.
    pub fn as_reported(self, age: Millis) -> RequestCounts {
        let cap_factor = (MAX_FAILED_PER_HOST / self.failed.max(MAX_FAILED_PER_HOST)).min(1.0);
        self.scaled(cap_factor).decayed(age)
    }
}

/// Results as of some time.
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

/// What this host holds of one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointHistory {
    /// How this host's own requests went of late.
    own: DecayingCounts,
    /// How those of all hosts went.
    all: DecayingCounts,
    /// Results that do not count any more.
    discounted: DecayingCounts,
    /// Until when it is avoided, and for how long in all; `None` if it never was.
    avoidance: Option<(Millis, Millis)>,
    /// Whether it is in use again since.
    is_readmitted: bool,
}

/// An endpoint that is to be avoided.
#[derive(Clone, Debug, PartialEq)]
pub struct Outlier {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How its requests went.
    pub counts: RequestCounts,
    /// The median share of failed requests in its pool.
    pub median: f32,
    /// Until when it is avoided.
    pub avoided_until: Millis,
}

impl fmt::Display for Outlier {
    /// For the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outlier { endpoint, counts, median, avoided_until } = self;
        write!(f, "endpoint={endpoint} failed={:.1} of={:.1}", counts.failed, counts.all)?;
        write!(f, " median={median:.2} until_ms={}", avoided_until.0)
    }
}

/// The standing of the endpoints that were asked of late, here or by hosts that tell of them.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    histories: HashMap<EndpointId, EndpointHistory>,
}

impl OutlierDetector {
    /// Takes in how requests went since the last call, here and, as `reports`, at the other hosts.
    pub fn record<'a>(
        &mut self,
        now: Millis,
        live: impl Iterator<Item = (&'a EndpointId, &'a EndpointState)>,
        peer_counts: &HashMap<EndpointKey, RequestCounts>,
    ) {
        for (id, live) in live {
            let outcomes = live.take_outcomes();
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

    /// Lists this host's results of the endpoints that it or another host saw fail of late.
    pub fn reports(&self, now: Millis) -> Vec<(EndpointKey, RequestCounts)> {
        let peer_counts = self.histories.iter().filter_map(|(id, history)| {
            let own = history.own.value_at(now);
            let is_reported =
                history.all.value_at(now).failed >= MIN_REPORTED && own.all >= MIN_REPORTED;
            is_reported.then(|| (EndpointKey::from(id), own))
        });
        peer_counts.collect()
    }

    /// Lists the endpoints in use that fail often enough to be compared with their pools.
    pub fn candidates(&self, now: Millis) -> Vec<EndpointId> {
        let candidates = self.histories.iter().filter(|(_, s)| s.is_candidate(now));
        candidates.map(|(id, _)| id.clone()).collect()
    }

    /// Finds the endpoints of a pool that are to be avoided from now on.
    pub fn find_outliers(&mut self, now: Millis, pool: &[EndpointId]) -> Vec<Outlier> {
        if pool.len() < MIN_POOL_SIZE {
            return Vec::new();
        }
        let median = self.median(now, pool);
        let mut outliers: Vec<Outlier> = Vec::new();
        let mut avoided_count = 0;
        for id in pool {
            let Some(history) = self.histories.get(id) else { continue };
            let counts = history.current_counts(now);
            if history.is_avoided(now) {
                avoided_count += 1;
            } else if counts.exceeds(median) {
                outliers.push(Outlier { endpoint: id.clone(), counts, median, avoided_until: now });
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

    /// Gets the median share of failed requests of a pool.
    fn median(&self, now: Millis, pool: &[EndpointId]) -> f32 {
        let share = |id: &EndpointId| {
            self.histories.get(id).map_or(0.0, |history| history.current_counts(now).failed_share())
        };
        let mut shares: Vec<f32> = pool.iter().map(share).collect();
        shares.sort_by(f32::total_cmp);
        shares[(shares.len() - 1) / 2]
    }
}

impl EndpointHistory {
    fn record(&mut self, now: Millis, outcomes: Outcomes, others: RequestCounts) {
        let (good, failed) = (outcomes.succeeded as f32, outcomes.failed as f32);
        let own = self.own.value_at(now).plus(RequestCounts { all: good + failed, failed });
        self.own = DecayingCounts { counts: own, updated_at: now };
        self.all = DecayingCounts { counts: own.plus(others), updated_at: now };
    }

    /// Gets the results that count.
    fn current_counts(&self, now: Millis) -> RequestCounts {
        self.all.value_at(now).minus(self.discounted.value_at(now))
    }

    fn is_candidate(&self, now: Millis) -> bool {
        !self.is_avoided(now) && self.current_counts(now).exceeds(0.0)
    }

    fn is_avoided(&self, now: Millis) -> bool {
        self.avoidance.is_some_and(|(avoided_until, _)| now < avoided_until)
    }

    /// Begins to avoid the endpoint; tells until when. It is for longer if it was not long ago.
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

    /// Forgives what was seen before, when the endpoint comes into use again.
    fn readmit_if_due(&mut self, now: Millis) {
        if self.avoidance.is_some() && !self.is_avoided(now) && !self.is_readmitted {
            self.is_readmitted = true;
            self.discounted = DecayingCounts { counts: self.all.value_at(now), updated_at: now };
        }
    }

    /// Tells whether anything is left that may count.
    fn is_retained(&self, now: Millis) -> bool {
        let was_recently_avoided =
            self.avoidance.is_some_and(|(avoided_until, duration)| now < avoided_until + duration);
        was_recently_avoided || self.all.value_at(now).all >= MIN_RETAINED
    }
}
