//! Answers of a new version since all traffic moved to it.
//!
//! A version may be bad only at the load that all traffic brings. The counts of its sample would dilute what shows
//! then, and there is little time before the roll-out is completed, which cannot be taken back. So answers
//! are counted anew from the move on, by route and by group of endpoints, and the worst groups are left out: an endpoint
//! may fail for reasons of its own, and all of them get traffic at once.
//!
//! Streams are not counted: a failure comes sooner than a good answer, so within a second of the move most of what has
//! come of them are failures.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Share of the groups of endpoints that is left out, the worst ones.
const EXCLUDED_FRACTION: f64 = 0.4;

/// Answers of a class of routes at a group of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct RouteGroupCounts {
    route: u8,
    group: u8,
    total: u16,
    failed: u16,
}

/// Sums of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseTotals {
    /// All answers.
    pub total: f32,
    /// Those that failed.
    pub failed: f32,
}

/// Counts of answers since the move.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CutoverCounts {
    counts: Vec<RouteGroupCounts>,
}

impl CutoverCounts {
    /// Counts an answer.
    pub fn add(&mut self, route: u8, group: u8, failed: bool) {
        let counts = self.count_mut(route, group);
        counts.total = counts.total.saturating_add(1);
        counts.failed = counts.failed.saturating_add(u16::from(failed));
    }

    /// Adds another host's counts.
    pub fn merge(&mut self, other: &CutoverCounts) {
        for other_counts in &other.counts {
            let counts = self.count_mut(other_counts.route, other_counts.group);
            counts.total = counts.total.saturating_add(other_counts.total);
            counts.failed = counts.failed.saturating_add(other_counts.failed);
        }
    }

    /// Counts the groups of endpoints that answered.
    pub fn group_count(&self) -> usize {
        self.failed_shares().len()
    }

    /// Gets the counts without the worst groups of endpoints.
    pub fn without_worst(&self) -> CutoverCounts {
        let mut shares = self.failed_shares();
        shares.sort_by(|a, b| a.1.total_cmp(&b.1));
        shares.truncate(shares.len() - excluded_groups(shares.len()));
        let is_kept = |c: &&RouteGroupCounts| shares.iter().any(|(group, _)| *group == c.group);
        CutoverCounts { counts: self.counts.iter().filter(is_kept).copied().collect() }
    }

    /// Gets the answers on a class of routes.
    pub fn totals_on_route(&self, route: u8) -> ResponseTotals {
        sum_counts(self.counts.iter().filter(|c| c.route == route))
    }

    /// Gets the answers on all routes.
    pub fn totals(&self) -> ResponseTotals {
        sum_counts(&self.counts)
    }

    /// Gets the share of failed answers of each group of endpoints.
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
        let at = self.counts.iter().position(is_match).unwrap_or_else(|| {
            self.counts.push(RouteGroupCounts { route, group, total: 0, failed: 0 });
            self.counts.len() - 1
        });
        &mut self.counts[at]
    }
}

/// Gets how many of so many groups of endpoints are left out.
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
