//! Answers of a new version and of the proven ones as two samples, counted by all hosts together.
//!
//! A version may be bad in a part of its answers only, on one route only, or a little in all of them, and it
//! gets few requests before it must be found. So nothing is thrown away that any host saw: counts fade
//! slowly, and a test that may be looked at any time weighs them. It is the likelihood ratio of the share that
//! the new version shows against the proven versions' share and a margin; at a share within the margin its
//! expectation falls with each answer, so looking often does not make a good version look bad.
//!
//! One endpoint of a version may do badly for reasons of its own. Endpoints are counted in groups, and a version
//! is worse only if it is so without its worst group too.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::traffic::baseline::ResponseComparison;
use crate::traffic::cutover_counts::CutoverCounts;
use crate::traffic::verdict_basis::VerdictBasis;
use crate::units::Millis;

/// Counts halve in this time: several times the time in which a version has to be found.
const HALF_LIFE_MS: f32 = 60_000.0;

/// Routes are counted in so many classes.
const ROUTE_CLASSES: u64 = 16;

/// Endpoints are counted in so many groups.
const ENDPOINT_GROUPS: u32 = 16;

/// Likelihood ratio, as a logarithm, from which a version is worse: 1 in 400 by chance at a single look.
const REGRESSION_MIN_LOG_RATIO: f32 = 6.0;

/// The same for what all groups of endpoints but the worst one counted: that several do badly tells a version from
/// an endpoint with reasons of its own.
const OTHER_GROUPS_MIN_LOG_RATIO: f32 = 2.5;

/// Least of what is counted that tells a version from chance. Hosts that start again know each a part of the
/// answers, and the more of them look, the more often a few bad ones stand out for one of them.
const MIN_COUNTED: f32 = 5.5;

/// The same from which a version is doubted: often by chance, so it decides nothing but how much is looked at.
const INCONCLUSIVE_MIN_LOG_RATIO: f32 = 1.0;

/// The same as the first for what came since all traffic moved: it is looked at a few times, and good versions reach it
/// rarely, for the worst groups of endpoints are left out.
const SINCE_CUTOVER_MIN_LOG_RATIO: f32 = 4.0;

/// The same as the first for one route out of several.
const SINGLE_ROUTE_MIN_LOG_RATIO: f32 = 7.0;

/// Share of failed or slow answers over the proven versions' that is borne.
pub const SHARE_MARGIN: f32 = 0.02;

/// Share of answers above the usual pace, over the proven versions', that is borne. Nearly half of these are, and
/// hardly any of a good version's sample at rest, so a quarter of its endpoints may be several times as slow.
const PACE_MARGIN: f32 = 0.05;

/// Answers of the proven versions before their share says anything.
pub const MIN_STABLE_RESPONSES: f32 = 20.0;

/// Endpoints that have to do badly before the version does, where it has as many.
const MIN_REGRESSED_GROUPS: usize = 3;

/// Share of the groups of loaded endpoints that is left out, the worst ones: few have a turn, and one in five may
/// fail four answers in ten for reasons of its own.
const EXCLUDED_FRACTION: f64 = 0.4;

/// Where some endpoints fail for reasons of their own, they do so many times as often as all in the mean: those that
/// have a turn may be mostly such ones.
const FAULTY_ENDPOINT_RATIO: f32 = 4.0;

/// The margin for loaded endpoints, of which the worst are left out: a version that fails where half of an endpoint's
/// places are taken fails a small part of their answers.
const CONCENTRATED_MARGIN: f32 = 0.01;

/// Counts of a kind of answers, which fade with time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// All answers.
    #[serde(with = "crate::traffic::compact_count")]
    pub total: f32,
    /// Those that failed.
    #[serde(with = "crate::traffic::compact_count")]
    pub failed: f32,
    /// Those that failed, and plain calls that took clearly longer than is usual: past its time an
    /// endpoint may answer with a failure.
    #[serde(with = "crate::traffic::compact_count")]
    pub bad: f32,
    /// Plain calls that took several times as long as is usual.
    #[serde(with = "crate::traffic::compact_count")]
    pub far_late: f32,
    /// Those above the usual pace.
    #[serde(with = "crate::traffic::compact_count")]
    pub above_pace: f32,
}

impl OutcomeCounts {
    fn add(&mut self, comparison: ResponseComparison) {
        let as_count = |holds: bool| f32::from(u8::from(holds));
        self.total += 1.0;
        self.failed += as_count(comparison.is_failed);
        // A stream that begins late may have read a prompt that is kept elsewhere; its pace tells.
        self.bad += as_count(comparison.is_failed || comparison.is_late);
        self.far_late += as_count(comparison.is_far_late);
        self.above_pace += as_count(comparison.is_above_pace == Some(true));
    }

    fn decay(&mut self, fraction: f32) {
        let OutcomeCounts { total, failed, bad, far_late, above_pace } = self;
        for count in [total, failed, bad, far_late, above_pace] {
            *count *= fraction;
        }
    }

    fn merge(&mut self, other: &OutcomeCounts) {
        self.total += other.total;
        self.failed += other.failed;
        self.bad += other.bad;
        self.far_late += other.far_late;
        self.above_pace += other.above_pace;
    }
}

/// Counts of answers whose paces are weighed too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// The answers.
    pub outcomes: OutcomeCounts,
    /// Those whose pace could be compared.
    #[serde(with = "crate::traffic::compact_count")]
    pub pace_compared: f32,
}

impl Sample {
    fn add(&mut self, comparison: ResponseComparison) {
        self.outcomes.add(comparison);
        self.pace_compared += f32::from(u8::from(comparison.is_above_pace.is_some()));
    }

    fn decay(&mut self, fraction: f32) {
        self.outcomes.decay(fraction);
        self.pace_compared *= fraction;
    }

    fn merge(&mut self, other: &Sample) {
        self.outcomes.merge(&other.outcomes);
        self.pace_compared += other.pace_compared;
    }
}

/// Counts of a class of routes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct RouteSamples {
    route: u8,
    canary: Sample,
    stable: Sample,
}

/// Counts of a group of the new version's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct GroupCounts {
    group: u8,
    canary: OutcomeCounts,
    /// Answers while its endpoints were loaded, and those of them that failed; these don't fade.
    concentrated_total: u16,
    concentrated_failed: u16,
}

impl GroupCounts {
    fn concentrated_failed_share(&self) -> f32 {
        f32::from(self.concentrated_failed) / f32::from(self.concentrated_total.max(1))
    }
}

/// In what a version is worse than the proven ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Regression {
    /// More of its answers fail.
    Fails,
    /// More of its answers fail on some route.
    FailsOnRoute,
    /// More of its answers fail at endpoints that have much to do.
    FailsUnderLoad,
    /// More of its plain calls fail since all of them go there.
    FailsSinceCutover,
    /// More of its plain calls fail or take clearly longer.
    Late,
    /// Its answers take longer.
    Slower,
    /// Its answers take longer on some route.
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
            Regression::Slower => "slower",
            Regression::SlowerOnRoute => "slower_on_route",
        })
    }
}

/// Both samples.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Samples {
    routes: Vec<RouteSamples>,
    groups: Vec<GroupCounts>,
}

/// Names a class of routes by a route's hash.
pub fn route_class(hash: u64) -> u8 {
    (hash % ROUTE_CLASSES) as u8
}

/// Names a group of endpoints by an endpoint's key.
pub fn endpoint_group(key: u32) -> u8 {
    (key % ENDPOINT_GROUPS) as u8
}

impl Samples {
    /// Counts an answer of a proven version.
    pub fn add_stable(&mut self, route: u8, comparison: ResponseComparison) {
        self.route_mut(route).stable.add(comparison);
    }

    /// Counts an answer of the new version.
    pub fn add_canary(&mut self, route: u8, group: u8, comparison: ResponseComparison) {
        self.route_mut(route).canary.add(comparison);
        self.group_mut(group).canary.add(comparison);
    }

    /// Counts an answer of the new version from an endpoint that was loaded.
    pub fn add_concentrated(&mut self, group: u8, failed: bool) {
        let counts = self.group_mut(group);
        counts.concentrated_total = counts.concentrated_total.saturating_add(1);
        counts.concentrated_failed = counts.concentrated_failed.saturating_add(u16::from(failed));
    }

    /// Lets the counts fade for some time.
    pub fn decay(&mut self, age: Millis) {
        let fraction = (-(age.0 as f32) / HALF_LIFE_MS).exp2();
        for route in &mut self.routes {
            route.canary.decay(fraction);
            route.stable.decay(fraction);
        }
        self.groups.iter_mut().for_each(|group| group.canary.decay(fraction));
    }

    /// Adds another host's counts.
    pub fn merge(&mut self, other: &Samples) {
        for route in &other.routes {
            let own_counts = self.route_mut(route.route);
            own_counts.canary.merge(&route.canary);
            own_counts.stable.merge(&route.stable);
        }
        for group in &other.groups {
            let own_counts = self.group_mut(group.group);
            own_counts.canary.merge(&group.canary);
            own_counts.concentrated_total =
                own_counts.concentrated_total.saturating_add(group.concentrated_total);
            own_counts.concentrated_failed =
                own_counts.concentrated_failed.saturating_add(group.concentrated_failed);
        }
    }

    /// Sums the samples of the new and the proven versions over all routes.
    pub fn totals(&self) -> (Sample, Sample) {
        let mut totals = (Sample::default(), Sample::default());
        for route in &self.routes {
            totals.0.merge(&route.canary);
            totals.1.merge(&route.stable);
        }
        totals
    }

    /// Tells in what a version is worse than the proven ones, if it is.
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
        tests.iter().find(is_confirmed).map(|(regression, ..)| *regression)
    }

    /// Tells whether several endpoints counted something, as far as the version has several.
    fn has_enough_groups(&self, endpoints: usize, count: CountSelector) -> bool {
        let groups = self.groups.iter().filter(|group| count(&group.canary) >= 0.5).count();
        groups >= min_regressed_groups(endpoints)
    }

    /// Tells whether the new version counts more of something, out of some answers, than the proven ones do on the
    /// same routes, and still does without its worst group of endpoints.
    fn is_regressed(
        &self,
        numerator: CountSelector,
        denominator: CountSelector,
        min_log_ratio: f32,
    ) -> bool {
        let counted: f32 = self.routes.iter().map(|route| numerator(&route.canary.outcomes)).sum();
        let other_fractions = self.fractions_without_worst_group(numerator, denominator);
        counted >= MIN_COUNTED
            && self.log_ratio(numerator, denominator, (1.0, 1.0)) >= min_log_ratio
            && self.log_ratio(numerator, denominator, other_fractions) >= OTHER_GROUPS_MIN_LOG_RATIO
    }

    /// Gets the likelihood ratio, as a logarithm, of such parts of what was counted and of the answers it is out of,
    /// at the new version. Route by route: one call in seven may fail on one, and none on another.
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

    /// Tells whether the new version looks worse than the proven ones, too little to say so.
    pub fn is_inconclusive(&self) -> bool {
        let (canary, stable) = self.totals();
        let ratios: [(CountSelector, CountSelector); 4] =
            [(failed, total), (late, not_failed), (far_late, not_failed), (bad, total)];
        let is_inconclusive = |(numerator, denominator)| {
            self.log_ratio(numerator, denominator, (1.0, 1.0)) >= INCONCLUSIVE_MIN_LOG_RATIO
        };
        let is_slow = pace_log_ratio(&canary, &stable) >= INCONCLUSIVE_MIN_LOG_RATIO;
        stable.outcomes.total >= MIN_STABLE_RESPONSES
            && (is_slow || ratios.into_iter().any(is_inconclusive))
    }

    /// Gets which parts of what was counted, and of the answers it is out of, are not of the group of endpoints that
    /// counted most beyond the mean.
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

    /// Tells whether more answers fail at loaded endpoints than the proven versions' do, leaving the worst ones
    /// out: few endpoints had a turn, and some may have failed for reasons of their own.
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
        let excluded = (groups.len() as f64 * EXCLUDED_FRACTION) as usize;
        groups.truncate(groups.len() - excluded);
        let (failed, total) = concentrated_totals(groups);
        let baseline = estimated_share(stable.failed, stable.total) * FAULTY_ENDPOINT_RATIO
            + CONCENTRATED_MARGIN;
        log_likelihood_ratio(failed, total, baseline) >= min_log_ratio
    }

    /// Tells whether more answers fail since all traffic moved than the proven versions' do on the same routes, leaving
    /// the worst endpoints out.
    pub fn fails_since_cutover(&self, since_cutover: &CutoverCounts, basis: VerdictBasis) -> bool {
        let without_worst = since_cutover.without_worst();
        since_cutover.group_count() >= min_regressed_groups(basis.endpoints)
            && without_worst.totals().failed >= MIN_COUNTED
            && self.log_ratio_since_cutover(&without_worst)
                >= SINCE_CUTOVER_MIN_LOG_RATIO + basis.threshold_surcharge()
    }

    /// Tells whether the new version looks worse since all traffic moved, too little to say so.
    pub fn is_inconclusive_since_cutover(&self, since_cutover: &CutoverCounts) -> bool {
        self.log_ratio_since_cutover(&since_cutover.without_worst()) >= INCONCLUSIVE_MIN_LOG_RATIO
    }

    /// Gets the likelihood ratio, as a logarithm, of what failed since all traffic moved; 0 while too little is known
    /// of the proven versions.
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
        let at =
            self.routes.iter().position(|samples| samples.route == route).unwrap_or_else(|| {
                let (canary, stable) = (Sample::default(), Sample::default());
                self.routes.push(RouteSamples { route, canary, stable });
                self.routes.len() - 1
            });
        &mut self.routes[at]
    }

    fn group_mut(&mut self, group: u8) -> &mut GroupCounts {
        let at = self.groups.iter().position(|counts| counts.group == group).unwrap_or_else(|| {
            let canary = OutcomeCounts::default();
            self.groups.push(GroupCounts {
                group,
                canary,
                concentrated_total: 0,
                concentrated_failed: 0,
            });
            self.groups.len() - 1
        });
        &mut self.groups[at]
    }
}

impl fmt::Display for Samples {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (canary, stable) = self.totals();
        let (concentrated_failed, concentrated_total) = concentrated_totals(&self.groups);
        write!(
            f,
            "all_failed={:.1} all_bad={:.1} all={:.1} above={:.1} paced={:.1} proven_above={:.1} \
             proven_paced={:.1} loaded_failed={:.0} loaded={:.0}",
            canary.outcomes.failed,
            canary.outcomes.bad,
            canary.outcomes.total,
            canary.outcomes.above_pace,
            canary.pace_compared,
            stable.outcomes.above_pace,
            stable.pace_compared,
            concentrated_failed,
            concentrated_total
        )
    }
}

/// Sums the answers of loaded endpoints that failed, and all of them.
fn concentrated_totals<'a>(groups: impl IntoIterator<Item = &'a GroupCounts>) -> (f32, f32) {
    groups.into_iter().fold((0.0, 0.0), |(failed, total), group| {
        (failed + f32::from(group.concentrated_failed), total + f32::from(group.concentrated_total))
    })
}

/// Gets how many groups of a version with so many endpoints have to do badly. Of three or more, one may be spared
/// by chance, and two may be of one group.
fn min_regressed_groups(endpoints: usize) -> usize {
    match endpoints {
        0..=2 => endpoints,
        _ => MIN_REGRESSED_GROUPS.min(endpoints - 1),
    }
}

/// What is counted of a sample.
type CountSelector = fn(&OutcomeCounts) -> f32;

fn failed(counts: &OutcomeCounts) -> f32 {
    counts.failed
}

fn bad(counts: &OutcomeCounts) -> f32 {
    counts.bad
}

fn late(counts: &OutcomeCounts) -> f32 {
    counts.bad - counts.failed
}

fn far_late(counts: &OutcomeCounts) -> f32 {
    counts.far_late
}

fn total(counts: &OutcomeCounts) -> f32 {
    counts.total
}

/// Those that may be late: where many fail on any version, these tell more without them.
fn not_failed(counts: &OutcomeCounts) -> f32 {
    counts.total - counts.failed
}

fn above_pace(counts: &OutcomeCounts) -> f32 {
    counts.above_pace
}

/// Estimates the proven versions' share; with few answers it is not taken for small.
pub fn estimated_share(counted: f32, total: f32) -> f32 {
    (counted + 1.0) / (total + 2.0)
}

fn pace_log_ratio(canary: &Sample, stable: &Sample) -> f32 {
    log_likelihood_ratio(
        canary.outcomes.above_pace,
        canary.pace_compared,
        estimated_share(stable.outcomes.above_pace, stable.pace_compared) + PACE_MARGIN,
    )
}

/// Gets the logarithm of the likelihood ratio of the share that was counted against a usual one; 0 if it is
/// not over that. The counts may have faded.
pub fn log_likelihood_ratio(counted: f32, total: f32, baseline: f32) -> f32 {
    signed_log_likelihood_ratio(counted, total, baseline).max(0.0)
}

/// Gets the same, below 0 for a share under the usual one.
fn signed_log_likelihood_ratio(counted: f32, total: f32, baseline: f32) -> f32 {
    let (share, baseline) = ((counted / total.max(1.0)).min(1.0), baseline.min(0.99));
    let divergence = |share: f32, baseline: f32| match share {
        0.0 => 0.0,
        share => share * (share / baseline).ln(),
    };
    let log_ratio = total * (divergence(share, baseline) + divergence(1.0 - share, 1.0 - baseline));
    if share < baseline {
        -log_ratio
    } else {
        log_ratio
    }
}
