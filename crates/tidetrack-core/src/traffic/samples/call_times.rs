//! Distribution of the response times of plain calls, of a canary version and of the stable versions.
//!
//! A limit on the response time tells only whether a call exceeds it. A version whose calls take
//! three times as long may stay below a limit that normal calls must not exceed, and among few calls
//! only the whole distribution is significant. Successful calls are therefore counted by steps of
//! their response time, and the counts of the canary version are compared with the distribution of
//! the stable versions under two hypotheses: that the version is as fast, and that a part of its
//! calls takes several times as long. The ratio is averaged over the alternatives, so that frequent
//! evaluation rarely finds a good version slow.
//!
//! The steps and the tolerated share allow for calls that are slow for other reasons, such as new
//! connections.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{combined_group, needs_combination, MIN_STABLE_RESPONSES};

/// Number of steps of the response time.
const STEPS: usize = 24;

/// Number of steps for each doubling of the response time.
const STEPS_PER_OCTAVE: f64 = 3.0;

/// Milliseconds that are added to a response time before its step is taken, so that small absolute
/// differences between short calls do not count.
const SLACK_MS: f64 = 10.0;

/// Factors by which slow calls take longer, in the alternatives.
const SLOW_FACTORS: [f64; 3] = [3.0, 5.0, 8.0];

/// Shares of slow calls in the alternatives.
const SLOW_SHARES: [f64; 3] = [0.25, 0.5, 1.0];

/// Factors by which the calls of a good version may take longer.
const GOOD_FACTORS: [f64; 2] = [1.0, 1.2];

/// Tolerated share of calls that take several times as long on a good version.
const TOLERATED_SHARE: f64 = 0.02;

/// Probability that the calls of a route are slow on a version that is slow.
const AFFECTED_ROUTE_PROBABILITY: f64 = 0.5;

/// Calls that are added to each step of the stable versions' counts.
const PRIOR_CALLS: f64 = 0.1;

/// Number of points of a step from which its calls are assumed to be distributed evenly.
const POINTS_PER_STEP: usize = 4;

/// Maximum number of calls of the canary version that one host counts; a busier service shows a
/// difference within fewer calls.
const MAX_CANARY_CALLS: u32 = 256;

/// Share of calls per step.
type Distribution = [f64; STEPS];

/// What a count refers to: route class, endpoint group (0 for stable versions) and step.
type CountKey = (u8, u8, u8);

/// Numbers of successful plain calls by route class, endpoint group and step of the response time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallTimes {
    stable: BTreeMap<CountKey, u16>,
    canary: BTreeMap<CountKey, u16>,
}

/// Returns the step of a response time in milliseconds.
pub fn time_step(ms: f64) -> u8 {
    let step = STEPS_PER_OCTAVE * (1.0 + ms.max(0.0) / SLACK_MS).log2();
    (step as usize).min(STEPS - 1) as u8
}

/// Returns the response time in milliseconds at a position on the scale of steps.
fn time_at(position: f64) -> f64 {
    ((position / STEPS_PER_OCTAVE).exp2() - 1.0) * SLACK_MS
}

fn add(counts: &mut BTreeMap<CountKey, u16>, key: CountKey, calls: u16) {
    let count = counts.entry(key).or_default();
    *count = count.saturating_add(calls);
}

impl CallTimes {
    /// Adds a call to a stable version.
    pub fn add_stable(&mut self, route: u8, step: u8) {
        add(&mut self.stable, (route, 0, step), 1);
    }

    /// Adds a call to an endpoint of the canary version.
    pub fn add_canary(&mut self, route: u8, group: u8, step: u8) {
        if self.canary.values().map(|n| u32::from(*n)).sum::<u32>() < MAX_CANARY_CALLS {
            add(&mut self.canary, (route, group, step), 1);
        }
    }

    /// Adds the counts of another host.
    pub fn merge(&mut self, other: &CallTimes) {
        other.stable.iter().for_each(|(key, calls)| add(&mut self.stable, *key, *calls));
        other.canary.iter().for_each(|(key, calls)| add(&mut self.canary, *key, *calls));
    }

    /// Returns the log-likelihood ratio of the canary's response times being several times as long
    /// against being like the stable versions'.
    pub fn log_ratio(&self) -> f64 {
        Comparison::new(self).log_ratio(None)
    }

    /// Returns the smallest log-likelihood ratio without the calls of one endpoint group; 0 if there
    /// are no two groups.
    pub fn log_ratio_without_worst_group(&self) -> f64 {
        let comparison = Comparison::new(self);
        let calls = comparison.routes.iter().flat_map(|route| &route.canary);
        let groups: BTreeSet<u8> = calls.map(|(group, ..)| *group).collect();
        if groups.len() < 2 {
            return 0.0;
        }
        let ratios = groups.into_iter().map(|group| comparison.log_ratio(Some(group)));
        ratios.fold(f64::INFINITY, f64::min)
    }

    /// Returns the distribution of the stable versions' response times on a route; `None` if they
    /// have too few calls.
    fn stable_distribution(&self, route: u8) -> Option<Distribution> {
        let mut calls = [0.0; STEPS];
        for ((_, _, step), n) in self.stable.iter().filter(|((r, ..), _)| *r == route) {
            calls[usize::from(*step).min(STEPS - 1)] += f64::from(*n);
        }
        let total: f64 = calls.iter().sum();
        if total < f64::from(MIN_STABLE_RESPONSES) {
            return None;
        }
        // Few calls leave gaps between the steps, so each call also counts for the adjacent ones.
        let smoothed = std::array::from_fn(|step| {
            let below = calls[step.saturating_sub(1)];
            let above = calls[(step + 1).min(STEPS - 1)];
            0.25 * below + 0.5 * calls[step] + 0.25 * above + PRIOR_CALLS
        });
        Some(normalized(smoothed))
    }
}

fn normalized(weights: Distribution) -> Distribution {
    let total: f64 = weights.iter().sum();
    weights.map(|weight| weight / total)
}

/// Returns the distribution in which all calls take `factor` times as long.
fn stretched(distribution: &Distribution, factor: f64) -> Distribution {
    let mut stretched = [0.0; STEPS];
    for (step, share) in distribution.iter().enumerate() {
        for point in 0..POINTS_PER_STEP {
            let position = step as f64 + (point as f64 + 0.5) / POINTS_PER_STEP as f64;
            let target = time_step(time_at(position) * factor);
            stretched[usize::from(target)] += share / POINTS_PER_STEP as f64;
        }
    }
    stretched
}

/// Returns the distribution in which a share of the calls follows `other`.
fn mixed(distribution: &Distribution, other: &Distribution, share: f64) -> Distribution {
    std::array::from_fn(|step| distribution[step] * (1.0 - share) + other[step] * share)
}

/// Logarithms of the distributions expected on a route, and the calls of the canary version by
/// endpoint group and step.
struct RouteComparison {
    good: Vec<Distribution>,
    slow: Vec<Distribution>,
    canary: Vec<(u8, usize, f64)>,
}

struct Comparison {
    routes: Vec<RouteComparison>,
}

impl Comparison {
    fn new(times: &CallTimes) -> Comparison {
        let routes: BTreeSet<u8> = times.canary.keys().map(|(route, ..)| *route).collect();
        let has_combined_groups =
            needs_combination(times.canary.keys().map(|(_, group, _)| *group));
        let compare = |route: u8| {
            let stable = times.stable_distribution(route)?;
            let stretched_by = |factor: f64| stretched(&stable, factor);
            let slow = SLOW_FACTORS.map(stretched_by);
            let any_slow = std::array::from_fn(|step| {
                slow.iter().map(|d| d[step]).sum::<f64>() / SLOW_FACTORS.len() as f64
            });
            let log_of = |d: Distribution| mixed(&d, &any_slow, TOLERATED_SHARE).map(f64::ln);
            let shares = |d: &Distribution| SLOW_SHARES.map(|share| mixed(&stable, d, share));
            let calls = times.canary.iter().filter(|((r, ..), _)| *r == route);
            let calls = calls.map(|((_, group, step), n)| {
                let group = if has_combined_groups { combined_group(*group) } else { *group };
                (group, usize::from(*step).min(STEPS - 1), f64::from(*n))
            });
            Some(RouteComparison {
                good: GOOD_FACTORS.map(stretched_by).map(log_of).to_vec(),
                slow: slow.iter().flat_map(shares).map(log_of).collect(),
                canary: calls.collect(),
            })
        };
        Comparison { routes: routes.into_iter().filter_map(compare).collect() }
    }

    /// Returns the log-likelihood ratio over all routes, without the calls of a group if one is given.
    fn log_ratio(&self, without: Option<u8>) -> f64 {
        let alternatives = SLOW_FACTORS.len() * SLOW_SHARES.len();
        let mut sums = vec![0.0; alternatives];
        for route in &self.routes {
            let log_likelihood = |logs: &Distribution| -> f64 {
                let calls = route.canary.iter().filter(|(group, ..)| Some(*group) != without);
                calls.map(|(_, step, n)| n * logs[*step]).sum()
            };
            let good = route.good.iter().map(log_likelihood).fold(f64::NEG_INFINITY, f64::max);
            for (sum, slow) in sums.iter_mut().zip(&route.slow) {
                let ratio = (log_likelihood(slow) - good).exp();
                let unaffected = 1.0 - AFFECTED_ROUTE_PROBABILITY;
                *sum += (unaffected + AFFECTED_ROUTE_PROBABILITY * ratio).ln();
            }
        }
        let mean_ratio = sums.iter().map(|sum| sum.exp()).sum::<f64>() / alternatives as f64;
        mean_ratio.ln()
    }
}
