//! Evidence about versions: sums of ratings and errors, and a sequential test that compares two versions.
//!
//! Every incarnation counts what it observes of each version. The counts never decrease, so hosts can
//! merge them in any order and any number of times. The test uses confidence sequences (normal mixture,
//! Robbins 1970; with a plug-in variance as in Waudby-Smith et al., 2021), which remain valid however
//! often they are evaluated. `docs/BENCHMARKS.md` gives the measured rate of false stops.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, VersionRef};

/// Fixed-point representation of a score of 1 in the sums.
pub const SCORE_SCALE: u64 = 1000;

/// Probability that one comparison finds a version worse that is not.
pub const DEFAULT_ALPHA: f64 = 0.005;

/// Number of observations for which the confidence sequence is tuned to be narrowest.
const TUNING_COUNT: f64 = 200.0;

/// Minimum number of observations of each version for a comparison to be conclusive.
const MIN_SAMPLES: u64 = 20;

/// Minimum standard deviation assumed, since a few equal ratings would otherwise seem to be certain.
const MIN_STD_DEVIATION: f64 = 0.05;

/// Counts of the requests, errors and ratings observed for one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u64; 6]", into = "[u64; 6]")]
pub struct VersionCounts {
    /// Requests sent to the version.
    pub started: u64,
    /// Requests that ended with a response.
    pub answered: u64,
    /// Requests that ended with an endpoint error.
    pub errors: u64,
    /// Responses that were rated.
    pub rated: u64,
    /// Sum of the ratings, in units of 1/1000.
    pub score_sum: u64,
    /// Sum of the squares of the ratings, in units of 1/1000000.
    pub score_sum_squares: u64,
}

// The counts are serialized as an array in the order of their declaration.
impl From<[u64; 6]> for VersionCounts {
    fn from(
        [started, answered, errors, rated, score_sum, score_sum_squares]: [u64; 6],
    ) -> VersionCounts {
        VersionCounts { started, answered, errors, rated, score_sum, score_sum_squares }
    }
}

impl From<VersionCounts> for [u64; 6] {
    fn from(c: VersionCounts) -> [u64; 6] {
        [c.started, c.answered, c.errors, c.rated, c.score_sum, c.score_sum_squares]
    }
}

impl VersionCounts {
    /// Adds one rating; the score is clamped to [0, 1].
    pub fn add_rating(&mut self, score: f64) {
        let score = (score.clamp(0.0, 1.0) * SCORE_SCALE as f64).round() as u64;
        self.rated += 1;
        self.score_sum += score;
        self.score_sum_squares += score * score;
    }

    /// Returns the number of requests that were judged, that is, rated or ended with an error.
    pub fn judged_count(&self) -> u64 {
        self.rated + self.errors
    }

    /// Returns the mean rating, or 0 if there are no ratings.
    pub fn mean_score(&self) -> f64 {
        match self.rated {
            0 => 0.0,
            n => self.score_sum as f64 / n as f64 / SCORE_SCALE as f64,
        }
    }

    /// Returns the standard deviation of the ratings, at least `MIN_STD_DEVIATION`.
    fn std_deviation(&self) -> f64 {
        let n = self.rated.max(1) as f64;
        let square = self.score_sum_squares as f64 / n / (SCORE_SCALE * SCORE_SCALE) as f64;
        (square - self.mean_score() * self.mean_score()).max(0.0).sqrt().max(MIN_STD_DEVIATION)
    }

    /// Merges another state of the same counts, keeping the one with more events since counts never
    /// decrease. Reports whether `other` was newer.
    pub fn merge_max(&mut self, other: &VersionCounts) -> bool {
        let is_newer = other.event_count() > self.event_count();
        if is_newer {
            *self = *other;
        }
        is_newer
    }

    /// Adds the counts of another incarnation or of new events.
    pub fn add(&mut self, other: &VersionCounts) {
        self.started += other.started;
        self.answered += other.answered;
        self.errors += other.errors;
        self.rated += other.rated;
        self.score_sum += other.score_sum;
        self.score_sum_squares += other.score_sum_squares;
    }

    /// Returns the difference to an earlier state of the same counts, 0 where a count decreased.
    pub fn difference(&self, earlier: &VersionCounts) -> VersionCounts {
        VersionCounts {
            started: self.started - earlier.started.min(self.started),
            answered: self.answered - earlier.answered.min(self.answered),
            errors: self.errors - earlier.errors.min(self.errors),
            rated: self.rated - earlier.rated.min(self.rated),
            score_sum: self.score_sum - earlier.score_sum.min(self.score_sum),
            score_sum_squares: self.score_sum_squares
                - earlier.score_sum_squares.min(self.score_sum_squares),
        }
    }

    /// Returns the total number of events, which increases with every event.
    pub fn event_count(&self) -> u64 {
        self.started + self.answered + self.errors + self.rated
    }
}

/// The result of comparing a canary version with a stable one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence does not show that the canary version is worse.
    Inconclusive,
    /// The canary version is worse.
    Bad,
}

/// Returns half the width of the confidence sequence for a mean after `n` values, at error probability
/// `alpha`.
fn confidence_radius(n: u64, std_deviation: f64, alpha: f64) -> f64 {
    let n = n.max(1) as f64;
    let log = -2.0 * alpha.ln();
    let rho2 = (log + (log + 1.0).ln()) / TUNING_COUNT;
    let a = n * rho2 + 1.0;
    std_deviation * (2.0 * a / (n * n * rho2) * (a.sqrt() / alpha).ln()).sqrt()
}

/// Compares the counts of a canary version with those of a stable one, by ratings and by errors, with the
/// error probability `alpha` split evenly between the two tests.
pub fn compare(candidate: &VersionCounts, stable: &VersionCounts, alpha: f64) -> Verdict {
    let ratings = has_lower_mean(candidate, stable, alpha / 2.0);
    let errors = has_higher_error_rate(candidate, stable, alpha / 2.0);
    if ratings || errors {
        Verdict::Bad
    } else {
        Verdict::Inconclusive
    }
}

/// Reports whether the canary version's mean rating is significantly lower.
fn has_lower_mean(candidate: &VersionCounts, stable: &VersionCounts, alpha: f64) -> bool {
    if candidate.rated < MIN_SAMPLES || stable.rated < MIN_SAMPLES {
        return false;
    }
    let candidate_radius =
        confidence_radius(candidate.rated, candidate.std_deviation(), alpha / 2.0);
    let stable_radius = confidence_radius(stable.rated, stable.std_deviation(), alpha / 2.0);
    // The errors of the two means are independent, so the squares of the radii add up.
    stable.mean_score() - candidate.mean_score()
        > (candidate_radius * candidate_radius + stable_radius * stable_radius).sqrt()
}

/// Reports whether the canary version's error rate is significantly higher. The rates are smoothed by one
/// added error and one added success.
fn has_higher_error_rate(candidate: &VersionCounts, stable: &VersionCounts, alpha: f64) -> bool {
    let candidate_count = candidate.answered + candidate.errors;
    let stable_count = stable.answered + stable.errors;
    if candidate_count < MIN_SAMPLES || stable_count < MIN_SAMPLES {
        return false;
    }
    let smoothed_rate = |errors: u64, n: u64| (errors as f64 + 1.0) / (n as f64 + 2.0);
    let radius_of = |p: f64, n: u64| confidence_radius(n, (p * (1.0 - p)).sqrt(), alpha / 2.0);
    let (candidate_rate, stable_rate) = (
        smoothed_rate(candidate.errors, candidate_count),
        smoothed_rate(stable.errors, stable_count),
    );
    let (candidate_radius, stable_radius) =
        (radius_of(candidate_rate, candidate_count), radius_of(stable_rate, stable_count));
    candidate_rate - stable_rate
        > (candidate_radius * candidate_radius + stable_radius * stable_radius).sqrt()
}

/// Key of the counts that one incarnation observed for one generation of a version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(VersionRef, u64, Incarnation)", into = "(VersionRef, u64, Incarnation)")]
pub struct EvidenceKey {
    /// Model and version.
    pub version: VersionRef,
    /// Generation of the version.
    pub generation: u64,
    /// Incarnation that made the observations.
    pub observer: Incarnation,
}

impl From<(VersionRef, u64, Incarnation)> for EvidenceKey {
    fn from((version, generation, observer): (VersionRef, u64, Incarnation)) -> EvidenceKey {
        EvidenceKey { version, generation, observer }
    }
}

impl From<EvidenceKey> for (VersionRef, u64, Incarnation) {
    fn from(k: EvidenceKey) -> (VersionRef, u64, Incarnation) {
        (k.version, k.generation, k.observer)
    }
}

/// All evidence that is known to a host.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    counts_by_key: BTreeMap<EvidenceKey, VersionCounts>,
}

impl Evidence {
    /// Merges the counts of one key and reports whether they were newer.
    pub fn merge(&mut self, key: EvidenceKey, counts: &VersionCounts) -> bool {
        self.counts_by_key.entry(key).or_default().merge_max(counts)
    }

    /// Returns the sum of all incarnations' counts for a generation of a version.
    pub fn total(&self, version: &VersionRef, generation: u64) -> VersionCounts {
        let mut total = VersionCounts::default();
        self.counts_by_incarnation(version, generation).for_each(|(_, counts)| total.add(counts));
        total
    }

    /// Iterates over the incarnations that observed a generation of a version, with their counts.
    pub fn counts_by_incarnation<'a>(
        &'a self,
        version: &'a VersionRef,
        generation: u64,
    ) -> impl Iterator<Item = (&'a Incarnation, &'a VersionCounts)> {
        let matches = move |k: &EvidenceKey| k.version == *version && k.generation == generation;
        self.counts_by_key.iter().filter(move |(k, _)| matches(k)).map(|(k, c)| (&k.observer, c))
    }

    /// Returns the counts of one key; all zero if there are none.
    pub fn counts(&self, key: &EvidenceKey) -> VersionCounts {
        self.counts_by_key.get(key).copied().unwrap_or_default()
    }

    /// Returns the number of keys with counts.
    pub fn len(&self) -> usize {
        self.counts_by_key.len()
    }

    /// Reports whether there are no counts.
    pub fn is_empty(&self) -> bool {
        self.counts_by_key.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn counts(n: u64, score: impl Fn(u64) -> f64) -> VersionCounts {
        let mut c = VersionCounts { started: n, answered: n, ..VersionCounts::default() };
        (0..n).for_each(|i| c.add_rating(score(i)));
        c
    }

    #[test]
    fn a_clear_drop_is_detected_and_equal_versions_are_inconclusive() {
        let good = counts(200, |i| if i % 2 == 0 { 0.9 } else { 0.7 });
        let same = counts(200, |i| if i % 2 == 0 { 0.9 } else { 0.7 });
        let bad = counts(60, |i| if i % 2 == 0 { 0.6 } else { 0.4 });
        assert_eq!(compare(&same, &good, DEFAULT_ALPHA), Verdict::Inconclusive);
        assert_eq!(compare(&bad, &good, DEFAULT_ALPHA), Verdict::Bad);
    }

    #[test]
    fn errors_count_without_ratings() {
        let good = VersionCounts { answered: 500, errors: 2, ..VersionCounts::default() };
        let bad = VersionCounts { answered: 30, errors: 30, ..VersionCounts::default() };
        assert_eq!(compare(&bad, &good, DEFAULT_ALPHA), Verdict::Bad);
    }

    #[test]
    fn merging_is_a_maximum() {
        let (small, large) = (counts(3, |_| 0.5), counts(5, |_| 0.5));
        let mut merged = large;
        assert!(!merged.merge_max(&small));
        assert_eq!(merged, large);
    }
}
