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
use crate::placement::{EndpointLive, Outcomes};
use crate::units::Millis;

/// Counts halve in this time: long enough for a fleet of 83 hosts to hear of each other, which takes
/// 2.6 s, short enough for an endpoint that was well until now.
const HALF_LIFE_MS: f32 = 3_000.0;

/// Failed requests, over all hosts, from which an endpoint can be an outlier.
const LEAST_FAILED: f32 = 3.0;

/// Most failed requests that one other host's word counts as: less than `LEAST_FAILED`, for a host may
/// be cut off by itself.
const MOST_FROM_ONE_HOST: f32 = 2.0;

/// How far an outlier's share of failed requests lies over its pool's median at least. Endpoints that
/// lose a few answers in a hundred are better borne than done without.
const LEAST_EXCESS: f32 = 0.12;

/// The same in standard errors of the share, lest chance drive an endpoint away where all fail often.
const LEAST_ERRORS: f32 = 3.0;

/// Smallest median that the standard error is reckoned from.
const LEAST_MEDIAN: f32 = 0.02;

/// Failed requests, faded, from which a host tells its counts of an endpoint: one failure is told for one
/// half-life.
const TOLD_FROM: f32 = 0.5;

/// Requests, faded, below which an endpoint's results are forgotten.
const FORGOTTEN_BELOW: f32 = 0.05;

/// How long an endpoint is avoided at first. Its word has then reached every host, so what is heard
/// later is of requests sent later.
const FIRST_SPAN: Millis = Millis(3_000);

/// Longest time for which it is avoided when it fails again and again.
const LONGEST_SPAN: Millis = Millis(12_000);

/// Smallest pool that has outliers: of two, neither is the usual one.
const SMALLEST_POOL: usize = 3;

/// Part of a pool that may be avoided, one endpoint in so many, rounded up: those left carry the load of all.
const AVOIDED_ONE_IN: usize = 3;

/// How requests at one endpoint went; fades with time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// All requests.
    pub all: f32,
    /// Those that failed.
    pub failed: f32,
}

impl Results {
    fn scaled(self, part: f32) -> Results {
        Results { all: self.all * part, failed: self.failed * part }
    }

    fn faded(self, age: Millis) -> Results {
        self.scaled((-(age.0 as f32) / HALF_LIFE_MS).exp2())
    }

    /// Adds other results.
    pub fn plus(self, other: Results) -> Results {
        Results { all: self.all + other.all, failed: self.failed + other.failed }
    }

    fn without(self, other: Results) -> Results {
        let failed = (self.failed - other.failed).max(0.0);
        Results { all: (self.all - other.all).max(failed), failed }
    }

    fn share(self) -> f32 {
        self.failed / self.all.max(1.0)
    }

    /// Tells whether enough failed, and a share well over the usual one.
    fn exceeds(self, usual: f32) -> bool {
        let usual_part = usual.max(LEAST_MEDIAN);
        let error = (usual_part * (1.0 - usual_part) / self.all.max(1.0)).sqrt();
        let excess = self.share() - usual;
        self.failed >= LEAST_FAILED && excess >= LEAST_EXCESS.max(error * LEAST_ERRORS)
    }

    /// Gets these results as the word of one other host, some time later.
    pub fn as_told(self, age: Millis) -> Results {
        let capped = (MOST_FROM_ONE_HOST / self.failed.max(MOST_FROM_ONE_HOST)).min(1.0);
        self.scaled(capped).faded(age)
    }
}

/// Results as of some time.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    results: Results,
    at: Millis,
}

impl Fading {
    fn now(self, now: Millis) -> Results {
        self.results.faded(now - self.at)
    }
}

/// What this host holds of one endpoint.
#[derive(Clone, Debug, Default)]
struct Standing {
    /// How this host's own requests went of late.
    own: Fading,
    /// How those of all hosts went.
    all: Fading,
    /// Results that do not count any more.
    forgiven: Fading,
    /// Until when it is avoided, and for how long in all; `None` if it never was.
    avoided: Option<(Millis, Millis)>,
    /// Whether it is in use again since.
    is_back: bool,
}

/// An endpoint that is to be avoided.
#[derive(Clone, Debug, PartialEq)]
pub struct Outlier {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How its requests went.
    pub results: Results,
    /// The median share of failed requests in its pool.
    pub median: f32,
    /// Until when it is avoided.
    pub until: Millis,
}

impl fmt::Display for Outlier {
    /// For the log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Outlier { endpoint, results, median, until } = self;
        write!(f, "endpoint={endpoint} failed={:.1} of={:.1}", results.failed, results.all)?;
        write!(f, " median={median:.2} until_ms={}", until.0)
    }
}

/// The standing of the endpoints that were asked of late, here or by hosts that tell of them.
#[derive(Clone, Debug, Default)]
pub struct Outliers {
    standings: HashMap<EndpointId, Standing>,
}

impl Outliers {
    /// Takes in how requests went since the last call, here and, as `told`, at the other hosts.
    pub fn count<'a>(
        &mut self,
        now: Millis,
        live: impl Iterator<Item = (&'a EndpointId, &'a EndpointLive)>,
        told: &HashMap<EndpointKey, Results>,
    ) {
        for (id, live) in live {
            let news = live.take_outcomes();
            let others = told.get(&EndpointKey::from(id)).copied();
            if news == Outcomes::default() && others.is_none() {
                continue;
            }
            let standing = self.standings.entry(id.clone()).or_default();
            standing.count(now, news, others.unwrap_or_default());
        }
        self.standings.retain(|_, standing| {
            standing.come_back(now);
            standing.is_remembered(now)
        });
    }

    /// Lists this host's results of the endpoints that it or another host saw fail of late.
    pub fn told(&self, now: Millis) -> Vec<(EndpointKey, Results)> {
        let told = self.standings.iter().filter_map(|(id, standing)| {
            let own = standing.own.now(now);
            let is_told = standing.all.now(now).failed >= TOLD_FROM && own.all >= TOLD_FROM;
            is_told.then(|| (EndpointKey::from(id), own))
        });
        told.collect()
    }

    /// Lists the endpoints in use that fail often enough to be compared with their pools.
    pub fn suspects(&self, now: Millis) -> Vec<EndpointId> {
        let suspects = self.standings.iter().filter(|(_, s)| s.is_suspect(now));
        suspects.map(|(id, _)| id.clone()).collect()
    }

    /// Finds the endpoints of a pool that are to be avoided from now on.
    pub fn judge(&mut self, now: Millis, pool: &[EndpointId]) -> Vec<Outlier> {
        if pool.len() < SMALLEST_POOL {
            return Vec::new();
        }
        let median = self.median(now, pool);
        let mut outliers: Vec<Outlier> = Vec::new();
        let mut avoided = 0;
        for id in pool {
            let Some(standing) = self.standings.get(id) else { continue };
            let results = standing.counting(now);
            if standing.is_avoided(now) {
                avoided += 1;
            } else if results.exceeds(median) {
                outliers.push(Outlier { endpoint: id.clone(), results, median, until: now });
            }
        }
        outliers.sort_by(|a, b| b.results.share().total_cmp(&a.results.share()));
        outliers.truncate(pool.len().div_ceil(AVOIDED_ONE_IN).saturating_sub(avoided));
        for outlier in &mut outliers {
            if let Some(standing) = self.standings.get_mut(&outlier.endpoint) {
                outlier.until = standing.avoid(now);
            }
        }
        outliers
    }

    /// Gets the median share of failed requests of a pool.
    fn median(&self, now: Millis, pool: &[EndpointId]) -> f32 {
        let share = |id: &EndpointId| {
            self.standings.get(id).map_or(0.0, |standing| standing.counting(now).share())
        };
        let mut shares: Vec<f32> = pool.iter().map(share).collect();
        shares.sort_by(f32::total_cmp);
        shares[(shares.len() - 1) / 2]
    }
}

impl Standing {
    fn count(&mut self, now: Millis, news: Outcomes, others: Results) {
        let (good, failed) = (news.good as f32, news.failed as f32);
        let own = self.own.now(now).plus(Results { all: good + failed, failed });
        self.own = Fading { results: own, at: now };
        self.all = Fading { results: own.plus(others), at: now };
    }

    /// Gets the results that count.
    fn counting(&self, now: Millis) -> Results {
        self.all.now(now).without(self.forgiven.now(now))
    }

    fn is_suspect(&self, now: Millis) -> bool {
        !self.is_avoided(now) && self.counting(now).exceeds(0.0)
    }

    fn is_avoided(&self, now: Millis) -> bool {
        self.avoided.is_some_and(|(until, _)| now < until)
    }

    /// Begins to avoid the endpoint; tells until when. It is for longer if it was not long ago.
    fn avoid(&mut self, now: Millis) -> Millis {
        let span = match self.avoided {
            Some((until, span)) if now < until + span => Millis(span.0 * 2).min(LONGEST_SPAN),
            _ => FIRST_SPAN,
        };
        let until = now + span;
        self.avoided = Some((until, span));
        self.is_back = false;
        until
    }

    /// Forgives what was seen before, when the endpoint comes into use again.
    fn come_back(&mut self, now: Millis) {
        if self.avoided.is_some() && !self.is_avoided(now) && !self.is_back {
            self.is_back = true;
            self.forgiven = Fading { results: self.all.now(now), at: now };
        }
    }

    /// Tells whether anything is left that may count.
    fn is_remembered(&self, now: Millis) -> bool {
        let was_avoided = self.avoided.is_some_and(|(until, span)| now < until + span);
        was_avoided || self.all.now(now).all >= FORGOTTEN_BELOW
    }
}
