//! Response counts of a canary version since the cutover.
//!
//! Some versions are bad only under the load of all traffic. The counts of the sample would dilute
//! such evidence, and little time is left before the roll-out is completed, which cannot be undone.
//! Responses are therefore counted separately from the cutover on, by route class and endpoint
//! group. The worst groups are excluded: an endpoint may fail for its own reasons, and all of them
//! get traffic at once.
//!
//! Streams are not counted. A failure arrives sooner than a successful response, so within a second
//! of the cutover most ended streams are failures.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Fraction of the endpoint groups that is excluded, worst first.
const EXCLUDED_FRACTION: f64 = 0.4;

/// Counts for a route class at an endpoint group.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct RouteGroupCounts {
    route: u8,
    group: u8,
    total: u16,
    failed: u16,
}

/// Sums over several route classes or endpoint groups.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseTotals {
    /// All responses.
    pub total: f32,
    /// Failed responses.
    pub failed: f32,
}

/// Counts since the cutover, by route class and endpoint group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CutoverCounts {
    counts: Vec<RouteGroupCounts>,
}

impl CutoverCounts {
    /// Adds a response.
    pub fn add(&mut self, route: u8, group: u8, is_failed: bool) {
        let counts = self.count_mut(route, group);
        counts.total = counts.total.saturating_add(1);
        counts.failed = counts.failed.saturating_add(u16::from(is_failed));
    }

    /// Adds the counts of another host.
    pub fn merge(&mut self, other: &CutoverCounts) {
        for other_counts in &other.counts {
            let counts = self.count_mut(other_counts.route, other_counts.group);
            counts.total = counts.total.saturating_add(other_counts.total);
            counts.failed = counts.failed.saturating_add(other_counts.failed);
        }
    }

    /// Returns the number of endpoint groups with responses.
    pub fn group_count(&self) -> usize {
        self.failed_shares().len()
    }

    /// Returns the counts without the worst endpoint groups.
    pub fn without_worst(&self) -> CutoverCounts {
        let mut shares = self.failed_shares();
        shares.sort_by(|a, b| a.1.total_cmp(&b.1));
        shares.truncate(shares.len() - excluded_groups(shares.len()));
        let is_kept = |c: &&RouteGroupCounts| shares.iter().any(|(group, _)| *group == c.group);
        CutoverCounts { counts: self.counts.iter().filter(is_kept).copied().collect() }
    }

    /// Returns the sums for a route class.
    pub fn totals_on_route(&self, route: u8) -> ResponseTotals {
        sum_counts(self.counts.iter().filter(|c| c.route == route))
    }

    /// Returns the sums over all routes.
    pub fn totals(&self) -> ResponseTotals {
        sum_counts(&self.counts)
    }

    /// Returns the share of failed responses of each endpoint group.
    fn failed_shares(&self) -> Vec<(u8, f32)> {
        let groups: BTreeSet<u8> = self.counts.iter().map(|c| c.group).collect();
        let failed_share = |group: u8| {
            let totals = sum_counts(self.counts.iter().filter(|c| c.group == group));
            (group, totals.failed / totals.total.max(1.0))
        };
        groups.into_iter().map(failed_share).collect()
    }

    fn count_mut(&mut self, route: u8, group: u8) -> &mut RouteGroupCounts {
        let is_match = |c: &RouteGroupCounts| c.route == route && c.group == group;
        let index = self.counts.iter().position(is_match).unwrap_or_else(|| {
            self.counts.push(RouteGroupCounts { route, group, total: 0, failed: 0 });
            self.counts.len() - 1
        });
        &mut self.counts[index]
    }
}

/// Returns how many of the given number of endpoint groups are excluded.
fn excluded_groups(groups: usize) -> usize {
    match groups {
        0 | 1 => 0,
        _ => ((groups as f64 * EXCLUDED_FRACTION) as usize).max(1),
    }
}

fn sum_counts<'a>(counts: impl IntoIterator<Item = &'a RouteGroupCounts>) -> ResponseTotals {
    counts.into_iter().fold(ResponseTotals::default(), |sum, counts| ResponseTotals {
        total: sum.total + f32::from(counts.total),
        failed: sum.failed + f32::from(counts.failed),
    })
}
