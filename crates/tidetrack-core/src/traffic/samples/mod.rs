//! Long-term samples of the responses of a canary version and of the stable versions, combined over
//! all hosts.
//!
//! A version may be bad in a part of its responses, on a single route, or slightly in all of them,
//! and it gets few requests before it has to be detected. The counts of all hosts are therefore
//! kept with slow decay and evaluated by a sequential test: the log-likelihood ratio of the
//! canary's share against the stable versions' share plus a margin. For a share within the margin,
//! the expected ratio falls with each response, so frequent evaluation does not make a good version
//! look bad.
//!
//! A single endpoint may perform badly for reasons unrelated to its version. Endpoints are
//! therefore counted in groups, and a version is worse only if it is so without its worst group,
//! too.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::traffic::baseline::ResponseComparison;
use crate::traffic::cutover_counts::CutoverCounts;
use crate::traffic::verdict_basis::VerdictBasis;
use crate::units::Millis;

mod call_times;
mod counts;
mod groups;
mod log_ratio;

pub use call_times::{time_step, CallTimes};
pub use counts::{OutcomeCounts, Sample};
pub use groups::{combined_group, endpoint_group, needs_combination};
pub use log_ratio::{estimated_share, log_likelihood_ratio};

use counts::{above_pace, bad, failed, far_late, late, not_failed, total, CountSelector};
use log_ratio::signed_log_likelihood_ratio;

/// Half-life of the counts in milliseconds, several times the time within which a bad version has
/// to be detected.
const HALF_LIFE_MS: f32 = 60_000.0;

/// Number of classes into which routes are hashed.
const ROUTE_CLASSES: u64 = 16;

/// Minimum log-likelihood ratio for a regression; a single evaluation reaches it by chance in 1 of
/// 400 cases.
const REGRESSION_MIN_LOG_RATIO: f32 = 6.0;

/// Minimum log-likelihood ratio of all endpoint groups except the worst one. Requiring several bad
/// groups separates a bad version from an endpoint that is bad for its own reasons.
const OTHER_GROUPS_MIN_LOG_RATIO: f32 = 2.5;

/// Minimum decayed count of bad responses for a regression. Hosts that restart each know only a
/// part of the responses, and the more hosts evaluate such parts, the more often a few bad
/// responses look significant to one of them.
const MIN_BAD_RESPONSES: f32 = 5.5;

/// Minimum log-likelihood ratio for an inconclusive result. Good versions often reach it by chance,
/// so it only affects how much evidence is collected.
const INCONCLUSIVE_MIN_LOG_RATIO: f32 = 1.0;

/// Like [`REGRESSION_MIN_LOG_RATIO`], for responses since the cutover. It is lower because these
/// are evaluated only a few times, and good versions rarely reach it as the worst endpoint groups
/// are excluded.
const SINCE_CUTOVER_MIN_LOG_RATIO: f32 = 4.0;

/// Like [`REGRESSION_MIN_LOG_RATIO`], for the distribution of the times of plain calls. It is lower
/// because the ratio is averaged over the alternatives and allows for some slow calls.
const CALL_TIMES_MIN_LOG_RATIO: f32 = 4.0;

/// Like [`REGRESSION_MIN_LOG_RATIO`], for a single one of several routes.
const SINGLE_ROUTE_MIN_LOG_RATIO: f32 = 7.0;

/// Tolerated difference between the canary's share of failed or late responses and that of the
/// stable versions.
pub const SHARE_MARGIN: f32 = 0.02;

/// Tolerated difference between the canary's share of responses above the baseline pace and that of
/// the stable versions. Nearly half of the stable responses are above the pace but hardly any of a
/// good version's sample, whose endpoints are nearly idle, so up to a quarter of a version's
/// endpoints may be several times as slow without detection.
const PACE_MARGIN: f32 = 0.05;

/// Minimum number of responses of the stable versions for their shares to be meaningful.
pub const MIN_STABLE_RESPONSES: f32 = 20.0;

/// Minimum number of endpoint groups with bad responses for a regression, for versions that have
/// enough endpoints.
const MIN_REGRESSED_GROUPS: usize = 3;

/// Fraction of the endpoint groups with concentrated load that is excluded, worst first. Few groups
/// take the load at a time, and one endpoint in five may fail 40 % of its responses for its own
/// reasons.
const EXCLUDED_FRACTION: f64 = 0.4;

/// Factor by which endpoints that fail for their own reasons may exceed the mean share of failures.
/// The endpoints that take the concentrated load may be mostly of this kind.
const FAULTY_ENDPOINT_RATIO: f32 = 4.0;

/// Like [`SHARE_MARGIN`], for endpoints with concentrated load after the worst are excluded. It is
/// smaller because a version that fails once half of an endpoint's capacity is in use fails only a
/// small share of these responses.
const CONCENTRATED_LOAD_MARGIN: f32 = 0.01;

/// Samples of a class of routes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct RouteSamples {
    route: u8,
    canary: Sample,
    stable: Sample,
}

/// Counts of a group of endpoints of the canary version.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct GroupCounts {
    group: u8,
    canary: OutcomeCounts,
    /// Responses of the group's endpoints under concentrated load, and the failed ones among them.
    /// These counts do not decay.
    concentrated_total: u16,
    concentrated_failed: u16,
}

impl GroupCounts {
    fn merge(&mut self, other: &GroupCounts) {
        self.canary.merge(&other.canary);
        self.concentrated_total = self.concentrated_total.saturating_add(other.concentrated_total);
        self.concentrated_failed =
            self.concentrated_failed.saturating_add(other.concentrated_failed);
    }

    fn concentrated_failed_share(&self) -> f32 {
        f32::from(self.concentrated_failed) / f32::from(self.concentrated_total.max(1))
    }
}

/// Way in which a canary version is worse than the stable versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Regression {
    /// A higher share of its responses fails.
    Fails,
    /// A higher share of its responses fails on some route.
    FailsOnRoute,
    /// A higher share of its responses fails at endpoints under concentrated load.
    FailsUnderLoad,
    /// A higher share of its plain calls fails since the cutover.
    FailsSinceCutover,
    /// It has a higher share of late plain calls, or of late and failed ones together.
    Late,
    /// A part of its plain calls takes several times as long.
    SlowerCalls,
    /// A higher share of its responses is above the baseline pace.
    Slower,
    /// A higher share of its responses is above the baseline pace on some route.
    SlowerOnRoute,
}

impl fmt::Display for Regression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Regression::Fails => "fails",
            Regression::FailsOnRoute => "fails_on_route",
            Regression::FailsUnderLoad => "fails_under_load",
            Regression::FailsSinceCutover => "fails_since_move",
            Regression::Late => "late",
            Regression::SlowerCalls => "slower_calls",
            Regression::Slower => "slower",
            Regression::SlowerOnRoute => "slower_on_route",
        })
    }
}

/// Samples of the canary version and the stable versions, by route class and endpoint group.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Samples {
    routes: Vec<RouteSamples>,
    groups: Vec<GroupCounts>,
    /// Response times of plain calls. Messages carry them in a `CallTimesReport`.
    #[serde(skip)]
    pub call_times: CallTimes,
}

/// Returns the class of a route from the hash of its name.
pub fn route_class(hash: u64) -> u8 {
    (hash % ROUTE_CLASSES) as u8
}

impl Samples {
    /// Adds a response of a stable version.
    pub fn add_stable(&mut self, route: u8, comparison: ResponseComparison) {
        self.route_mut(route).stable.add(comparison);
        if let Some(step) = comparison.time_step {
            self.call_times.add_stable(route, step);
        }
    }

    /// Adds a response of the canary version.
    pub fn add_canary(&mut self, route: u8, group: u8, comparison: ResponseComparison) {
        self.route_mut(route).canary.add(comparison);
        self.group_mut(group).canary.add(comparison);
        if let Some(step) = comparison.time_step {
            self.call_times.add_canary(route, group, step);
        }
    }

    /// Adds a response of a canary endpoint under concentrated load.
    pub fn add_concentrated_load(&mut self, group: u8, is_failed: bool) {
        let counts = self.group_mut(group);
        counts.concentrated_total = counts.concentrated_total.saturating_add(1);
        counts.concentrated_failed =
            counts.concentrated_failed.saturating_add(u16::from(is_failed));
    }

    /// Decays the counts by the given time.
    pub fn decay(&mut self, age: Millis) {
        let fraction = (-(age.0 as f32) / HALF_LIFE_MS).exp2();
        for route in &mut self.routes {
            route.canary.decay(fraction);
            route.stable.decay(fraction);
        }
        self.groups.iter_mut().for_each(|group| group.canary.decay(fraction));
    }

    /// Adds the counts of another host.
    pub fn merge(&mut self, other: &Samples) {
        for route in &other.routes {
            let own_counts = self.route_mut(route.route);
            own_counts.canary.merge(&route.canary);
            own_counts.stable.merge(&route.stable);
        }
        other.groups.iter().for_each(|group| self.group_mut(group.group).merge(group));
        self.call_times.merge(&other.call_times);
    }

    /// Returns the samples of the canary version and of the stable versions, summed over all
    /// routes.
    pub fn totals(&self) -> (Sample, Sample) {
        let mut totals = (Sample::default(), Sample::default());
        for route in &self.routes {
            totals.0.merge(&route.canary);
            totals.1.merge(&route.stable);
        }
        totals
    }

    /// Returns the way in which the canary version is worse than the stable versions, if any.
    pub fn regression(&self, basis: VerdictBasis) -> Option<Regression> {
        let VerdictBasis { endpoints, .. } = basis;
        let min_log_ratio = REGRESSION_MIN_LOG_RATIO + basis.threshold_surcharge();
        let single_route_min_log_ratio = SINGLE_ROUTE_MIN_LOG_RATIO + basis.threshold_surcharge();
        let (canary, stable) = self.totals();
        if stable.outcomes.total < MIN_STABLE_RESPONSES {
            return None;
        }
        if self.fails_under_load(&stable.outcomes, endpoints, min_log_ratio) {
            return Some(Regression::FailsUnderLoad);
        }
        let is_slower = pace_log_ratio(&canary, &stable) >= min_log_ratio;
        let tests: [(Regression, bool, CountSelector); 7] = [
            (Regression::Fails, self.is_regressed(failed, total, min_log_ratio), failed),
            (Regression::Late, self.is_regressed(late, not_failed, min_log_ratio), late),
            (Regression::Late, self.is_regressed(far_late, not_failed, min_log_ratio), far_late),
            (Regression::Late, self.is_regressed(bad, total, min_log_ratio), bad),
            (Regression::FailsOnRoute, self.fails_on_route(single_route_min_log_ratio), failed),
            (Regression::Slower, is_slower, above_pace),
            (
                Regression::SlowerOnRoute,
                self.is_slower_on_route(single_route_min_log_ratio),
                above_pace,
            ),
        ];
        let is_confirmed = |(_, is_over_threshold, count): &&(Regression, bool, CountSelector)| {
            *is_over_threshold && self.has_enough_groups(endpoints, *count)
        };
        let regression = tests.iter().find(is_confirmed).map(|(regression, ..)| *regression);
        let has_slower_calls = || {
            let surcharge = basis.threshold_surcharge();
            self.has_slower_calls(endpoints, CALL_TIMES_MIN_LOG_RATIO + surcharge)
        };
        regression.or_else(|| has_slower_calls().then_some(Regression::SlowerCalls))
    }

    /// Reports whether a part of the plain calls takes significantly longer than on the stable
    /// versions, both with and without any one endpoint group.
    fn has_slower_calls(&self, endpoints: usize, min_log_ratio: f32) -> bool {
        let min_without_worst =
            if endpoints < 2 { 0.0 } else { f64::from(INCONCLUSIVE_MIN_LOG_RATIO) };
        self.call_times.log_ratio() >= f64::from(min_log_ratio)
            && self.call_times.log_ratio_without_worst_group() >= min_without_worst
    }

    /// Reports whether enough endpoint groups have a nonzero count, given the number of endpoints
    /// of the version.
    fn has_enough_groups(&self, endpoints: usize, count: CountSelector) -> bool {
        self.counted_groups(count) >= min_regressed_groups(endpoints)
    }

    /// Returns the number of endpoint groups with a nonzero count.
    fn counted_groups(&self, count: CountSelector) -> usize {
        self.groups.iter().filter(|group| count(&group.canary) >= 0.5).count()
    }

    /// Reports whether the canary version has a significantly higher share `numerator` /
    /// `denominator` than the stable versions on the same routes, both with and without its worst
    /// endpoint group.
    fn is_regressed(
        &self,
        numerator: CountSelector,
        denominator: CountSelector,
        min_log_ratio: f32,
    ) -> bool {
        let counted: f32 = self.routes.iter().map(|route| numerator(&route.canary.outcomes)).sum();
        let other_fractions = self.fractions_without_worst_group(numerator, denominator);
        counted >= MIN_BAD_RESPONSES
            && self.log_ratio(numerator, denominator, (1.0, 1.0)) >= min_log_ratio
            && self.log_ratio(numerator, denominator, other_fractions) >= OTHER_GROUPS_MIN_LOG_RATIO
    }

    /// Returns the log-likelihood ratio of the canary's share against that of the stable versions,
    /// with the canary's counts multiplied by the given fractions. It is summed over the routes,
    /// because failure rates differ between them: one call in seven may fail on one route and none
    /// on another.
    fn log_ratio(
        &self,
        numerator: CountSelector,
        denominator: CountSelector,
        (numerator_fraction, denominator_fraction): (f32, f32),
    ) -> f32 {
        let route_log_ratio = |route: &RouteSamples| {
            let (canary, stable) = (&route.canary.outcomes, &route.stable.outcomes);
            let baseline = estimated_share(numerator(stable), denominator(stable)) + SHARE_MARGIN;
            signed_log_likelihood_ratio(
                numerator(canary) * numerator_fraction,
                denominator(canary) * denominator_fraction,
                baseline,
            )
        };
        self.routes.iter().map(route_log_ratio).sum()
    }

    /// Reports whether the canary version looks worse than the stable versions without enough
    /// evidence for a regression.
    pub fn is_inconclusive(&self) -> bool {
        let (canary, stable) = self.totals();
        let ratios: [(CountSelector, CountSelector); 4] =
            [(failed, total), (late, not_failed), (far_late, not_failed), (bad, total)];
        let is_inconclusive = |(numerator, denominator)| {
            self.log_ratio(numerator, denominator, (1.0, 1.0)) >= INCONCLUSIVE_MIN_LOG_RATIO
        };
        let is_slow = pace_log_ratio(&canary, &stable) >= INCONCLUSIVE_MIN_LOG_RATIO;
        stable.outcomes.total >= MIN_STABLE_RESPONSES
            && (is_slow
                || ratios.into_iter().any(is_inconclusive)
                || self.call_times.log_ratio() >= f64::from(INCONCLUSIVE_MIN_LOG_RATIO))
    }

    /// Returns the fractions of the numerator and of the denominator that remain without the
    /// endpoint group whose numerator exceeds the mean most.
    fn fractions_without_worst_group(
        &self,
        numerator: CountSelector,
        denominator: CountSelector,
    ) -> (f32, f32) {
        let counted: f32 = self.groups.iter().map(|group| numerator(&group.canary)).sum();
        let total: f32 = self.groups.iter().map(|group| denominator(&group.canary)).sum();
        let mean = counted / total.max(1.0);
        let excess =
            |group: &&GroupCounts| numerator(&group.canary) - denominator(&group.canary) * mean;
        let worst = self.groups.iter().max_by(|a, b| excess(a).total_cmp(&excess(b)));
        let (worst_counted, worst_total) = worst
            .filter(|_| self.groups.len() > 1)
            .map_or((0.0, 0.0), |group| (numerator(&group.canary), denominator(&group.canary)));
        (1.0 - worst_counted / counted.max(1.0), 1.0 - worst_total / total.max(1.0))
    }

    fn fails_on_route(&self, min_log_ratio: f32) -> bool {
        self.routes.iter().any(|route| {
            let baseline =
                estimated_share(route.stable.outcomes.failed, route.stable.outcomes.total);
            log_likelihood_ratio(
                route.canary.outcomes.failed,
                route.canary.outcomes.total,
                baseline + SHARE_MARGIN,
            ) >= min_log_ratio
        })
    }

    /// Reports whether responses under concentrated load fail more often than those of the stable
    /// versions. The worst groups are excluded, because few endpoints have taken the load and some
    /// of them may fail for their own reasons.
    fn fails_under_load(
        &self,
        stable: &OutcomeCounts,
        endpoints: usize,
        min_log_ratio: f32,
    ) -> bool {
        let mut groups: Vec<&GroupCounts> =
            self.groups.iter().filter(|group| group.concentrated_total > 0).collect();
        if groups.len() < min_regressed_groups(endpoints) {
            return false;
        }
        groups.sort_by(|a, b| {
            a.concentrated_failed_share().total_cmp(&b.concentrated_failed_share())
        });
        let excluded_count = (groups.len() as f64 * EXCLUDED_FRACTION) as usize;
        groups.truncate(groups.len() - excluded_count);
        let (failed, total) = concentrated_totals(groups);
        let baseline = estimated_share(stable.failed, stable.total) * FAULTY_ENDPOINT_RATIO
            + CONCENTRATED_LOAD_MARGIN;
        log_likelihood_ratio(failed, total, baseline) >= min_log_ratio
    }

    /// Reports whether responses since the cutover fail more often than those of the stable
    /// versions on the same routes, with the worst endpoint groups excluded.
    pub fn fails_since_cutover(&self, since_cutover: &CutoverCounts, basis: VerdictBasis) -> bool {
        let without_worst = since_cutover.without_worst();
        since_cutover.group_count() >= min_regressed_groups(basis.endpoints)
            && without_worst.totals().failed >= MIN_BAD_RESPONSES
            && self.log_ratio_since_cutover(&without_worst)
                >= SINCE_CUTOVER_MIN_LOG_RATIO + basis.threshold_surcharge()
    }

    /// Reports whether the canary version looks worse since the cutover without enough evidence for
    /// a regression.
    pub fn is_inconclusive_since_cutover(&self, since_cutover: &CutoverCounts) -> bool {
        self.log_ratio_since_cutover(&since_cutover.without_worst()) >= INCONCLUSIVE_MIN_LOG_RATIO
    }

    /// Returns the log-likelihood ratio of the failures since the cutover, or 0 if the stable
    /// versions have too few responses.
    fn log_ratio_since_cutover(&self, since_cutover: &CutoverCounts) -> f32 {
        let (_, stable) = self.totals();
        if stable.outcomes.total < MIN_STABLE_RESPONSES {
            return 0.0;
        }
        let route_log_ratio = |route: &RouteSamples| {
            let baseline =
                estimated_share(route.stable.outcomes.failed, route.stable.outcomes.total)
                    + SHARE_MARGIN;
            let canary_totals = since_cutover.totals_on_route(route.route);
            signed_log_likelihood_ratio(canary_totals.failed, canary_totals.total, baseline)
        };
        self.routes.iter().map(route_log_ratio).sum()
    }

    fn is_slower_on_route(&self, min_log_ratio: f32) -> bool {
        self.routes
            .iter()
            .any(|route| pace_log_ratio(&route.canary, &route.stable) >= min_log_ratio)
    }

    fn route_mut(&mut self, route: u8) -> &mut RouteSamples {
        let index =
            self.routes.iter().position(|samples| samples.route == route).unwrap_or_else(|| {
                let (canary, stable) = (Sample::default(), Sample::default());
                self.routes.push(RouteSamples { route, canary, stable });
                self.routes.len() - 1
            });
        &mut self.routes[index]
    }

    /// Returns the counts of a group, which are combined with those of others if there are too many.
    fn group_mut(&mut self, group: u8) -> &mut GroupCounts {
        let groups = self.groups.iter().map(|counts| counts.group);
        match needs_combination(groups.chain([group])) {
            true => {
                self.combine_groups();
                self.counts_mut(combined_group(group))
            }
            false => self.counts_mut(group),
        }
    }

    fn combine_groups(&mut self) {
        if self.groups.iter().all(|counts| counts.group == combined_group(counts.group)) {
            return;
        }
        for counts in std::mem::take(&mut self.groups) {
            self.counts_mut(combined_group(counts.group)).merge(&counts);
        }
    }

    fn counts_mut(&mut self, group: u8) -> &mut GroupCounts {
        let index =
            self.groups.iter().position(|counts| counts.group == group).unwrap_or_else(|| {
                let canary = OutcomeCounts::default();
                self.groups.push(GroupCounts {
                    group,
                    canary,
                    concentrated_total: 0,
                    concentrated_failed: 0,
                });
                self.groups.len() - 1
            });
        &mut self.groups[index]
    }
}

impl fmt::Display for Samples {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (canary, stable) = self.totals();
        let (concentrated_failed, concentrated_total) = concentrated_totals(&self.groups);
        write!(
            f,
            "all_failed={:.1} all_bad={:.1} all={:.1} above={:.1} paced={:.1} proven_above={:.1} \
             proven_paced={:.1} loaded_failed={:.0} loaded={:.0} late={:.1} far_late={:.1} \
             proven_late={:.1} proven_far_late={:.1} proven_all={:.1} late_groups={} groups={} \
             late_ratio={:.1} late_ratio_rest={:.1} times_ratio={:.1} \
             times_ratio_rest={:.1}",
            canary.outcomes.failed,
            canary.outcomes.bad,
            canary.outcomes.total,
            canary.outcomes.above_pace,
            canary.pace_compared,
            stable.outcomes.above_pace,
            stable.pace_compared,
            concentrated_failed,
            concentrated_total,
            late(&canary.outcomes),
            canary.outcomes.far_late,
            late(&stable.outcomes),
            stable.outcomes.far_late,
            stable.outcomes.total,
            self.counted_groups(late),
            self.groups.len(),
            self.log_ratio(late, not_failed, (1.0, 1.0)),
            self.log_ratio(late, not_failed, self.fractions_without_worst_group(late, not_failed)),
            self.call_times.log_ratio(),
            self.call_times.log_ratio_without_worst_group()
        )
    }
}

/// Returns the number of failed responses and of all responses under concentrated load.
fn concentrated_totals<'a>(groups: impl IntoIterator<Item = &'a GroupCounts>) -> (f32, f32) {
    groups.into_iter().fold((0.0, 0.0), |(failed, total), group| {
        (failed + f32::from(group.concentrated_failed), total + f32::from(group.concentrated_total))
    })
}

/// Returns the minimum number of endpoint groups with bad responses for a version with the given
/// number of endpoints. With three or more endpoints it is below their number, because one of them
/// may have no bad response by chance and two may share a group.
fn min_regressed_groups(endpoints: usize) -> usize {
    match endpoints {
        0..=2 => endpoints,
        _ => MIN_REGRESSED_GROUPS.min(endpoints - 1),
    }
}

fn pace_log_ratio(canary: &Sample, stable: &Sample) -> f32 {
    log_likelihood_ratio(
        canary.outcomes.above_pace,
        canary.pace_compared,
        estimated_share(stable.outcomes.above_pace, stable.pace_compared) + PACE_MARGIN,
    )
}
