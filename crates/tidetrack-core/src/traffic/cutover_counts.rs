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

use crate::traffic::samples::{combined_group, needs_combination};

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

impl RouteGroupCounts {
    fn merge(&mut self, other: &RouteGroupCounts) {
        self.total = self.total.saturating_add(other.total);
        self.failed = self.failed.saturating_add(other.failed);
    }
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
        self.add_counts(RouteGroupCounts { route, group, total: 1, failed: u16::from(is_failed) });
    }

    /// Adds the counts of another host.
    pub fn merge(&mut self, other: &CutoverCounts) {
        other.counts.iter().for_each(|counts| self.add_counts(*counts));
    }

    /// Adds counts, which are combined with those of other groups if there are too many.
    fn add_counts(&mut self, added: RouteGroupCounts) {
        let groups = self.counts.iter().map(|counts| counts.group);
        let group = match needs_combination(groups.chain([added.group])) {
            true => {
                self.combine_groups();
                combined_group(added.group)
            }
            false => added.group,
        };
        self.count_mut(added.route, group).merge(&added);
    }

    fn combine_groups(&mut self) {
        if self.counts.iter().all(|counts| counts.group == combined_group(counts.group)) {
            return;
        }
        for counts in std::mem::take(&mut self.counts) {
            self.count_mut(counts.route, combined_group(counts.group)).merge(&counts);
        }
    }

    /// Returns the number of endpoint groups with responses.
    pub fn group_count(&self) -> usize {
        self.groups().len()
    }

    /// Returns the counts without the worst endpoint groups.
    pub fn without_worst(&self) -> CutoverCounts {
        let mut shares = self.failed_shares();
        shares.sort_by(|a, b| a.1.total_cmp(&b.1));
        shares.truncate(shares.len() - excluded_groups(shares.len()));
        let is_kept = |c: &&RouteGroupCounts| shares.iter().any(|(group, _)| *group == c.group);
        CutoverCounts { counts: self.counts.iter().filter(is_kept).copied().collect() }
    }

    fn groups(&self) -> BTreeSet<u8> {
        self.counts.iter().map(|c| c.group).collect()
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
        let failed_share = |group: u8| {
            let totals = sum_counts(self.counts.iter().filter(|c| c.group == group));
            (group, totals.failed / totals.total.max(1.0))
        };
        self.groups().into_iter().map(failed_share).collect()
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
