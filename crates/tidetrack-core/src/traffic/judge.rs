//! Judgement of a new version by the answers that all hosts saw, beside those of the proven versions.

use std::fmt;

use crate::ids::{EndpointId, EndpointKey, ModelId, RouteId, ServiceId, VersionName};
use crate::traffic::baseline::Baseline;
use crate::traffic::cutover_counts::CutoverCounts;
use crate::traffic::samples::{
    endpoint_group, estimated_share, log_likelihood_ratio, route_class, Regression, Samples,
    MIN_STABLE_RESPONSES, SHARE_MARGIN,
};
use crate::traffic::verdict_basis::VerdictBasis;
use crate::units::Millis;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Failed answers that bar the version, over all hosts.
const MIN_FAILED_TO_BAR: f32 = 3.5;

/// Least share of failed answers that bars the version.
const MIN_FAILED_SHARE: f32 = 0.17;

/// Least multiple of the proven versions' share of failed answers.
const MIN_FAILED_RATIO: f32 = 2.5;

/// Failed or slow answers that bar the version: more, for load makes answers slow too.
const MIN_BAD_TO_BAR: f32 = 6.0;

/// Least share of failed or slow answers that bars the version.
const MIN_BAD_SHARE: f32 = 0.3;

/// Least multiple of the proven versions' share of failed or slow answers.
const MIN_BAD_RATIO: f32 = 2.5;

/// Likelihood ratio of these shares against the proven versions', as a logarithm: where one call in seven fails
/// on any version, four failures of twelve are chance.
const MIN_RECENT_LOG_RATIO: f32 = 6.0;

/// Counts halve in this time, so that a version which turns bad late is found as soon as one that
/// was bad from the start.
const HALF_LIFE_MS: f32 = 4_000.0;

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Its stream goes on, and has made enough events to tell its pace. What becomes of it is not told again.
    InProgress,
    /// With a whole answer.
    Complete,
    /// With a failure of the endpoint's.
    Failed,
    /// It was given up for its time.
    TimedOut,
    /// Its answer was dropped for a larger model's.
    Superseded,
    /// The caller left.
    CallerLeft,
    /// The answer broke off.
    Interrupted,
}

impl AttemptOutcome {
    /// Gets the word for it in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptOutcome::InProgress => "under_way",
            AttemptOutcome::Complete => "whole",
            AttemptOutcome::Failed => "failed",
            AttemptOutcome::TimedOut => "given_up",
            AttemptOutcome::Superseded => "dropped",
            AttemptOutcome::CallerLeft => "left",
            AttemptOutcome::Interrupted => "cut",
        }
    }
}

/// What was seen of one answer, for the judgement of versions.
#[derive(Clone, Debug)]
pub struct ObservedResponse {
    /// The service.
    pub service: ServiceId,
    /// The version under roll-out, if the endpoint runs it.
    pub canary_version: Option<VersionName>,
    /// The endpoint that answered.
    pub endpoint: EndpointId,
    /// Whether it was given more of the new version's sample than its part (`loading`).
    pub is_load_concentrated: bool,
    /// The request's route.
    pub route: RouteId,
    /// The model, if it is an engine.
    pub model: Option<ModelId>,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Whether an endpoint failed for the same request before.
    pub has_failed_before: bool,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Work at the endpoint, in answer tokens, as hosts know of it then.
    pub load: f64,
    /// Milliseconds to the head of the answer.
    pub head_ms: Option<f64>,
    /// Mean milliseconds between the events of a stream.
    pub gap_ms: Option<f64>,
}

impl ObservedResponse {
    /// Tells whether the answer was a failure of the endpoint's.
    pub fn is_failure(&self) -> bool {
        self.outcome == AttemptOutcome::Failed
    }

    /// Tells whether it says anything of its version: a break is the endpoint's end or the network's doing,
    /// but for the pace that the answer had before it. A request for which an endpoint failed may fail at any other,
    /// so what becomes of its further attempts is no evidence of its own.
    fn is_evidence(&self) -> bool {
        !self.has_failed_before
            && (self.outcome != AttemptOutcome::Interrupted || self.gap_ms.is_some())
    }

    fn route_class(&self) -> u8 {
        route_class(xxh3_64(self.route.as_str().as_bytes()))
    }
}

/// Counts of answers, which fade with time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecentCounts {
    /// All answers.
    pub total: f32,
    /// Those that failed.
    pub failed: f32,
    /// Those that failed or were slow.
    pub bad: f32,
    /// Requests that were sent, where they are counted.
    pub sent: f32,
}

impl RecentCounts {
    fn add(&mut self, failed: bool, slow: bool) {
        self.total += 1.0;
        self.failed += f32::from(u8::from(failed));
        self.bad += f32::from(u8::from(failed || slow));
    }

    fn decay(&mut self, fraction: f32) {
        self.total *= fraction;
        self.failed *= fraction;
        self.bad *= fraction;
        self.sent *= fraction;
    }

    fn merge(&mut self, other: &RecentCounts) {
        self.total += other.total;
        self.failed += other.failed;
        self.bad += other.bad;
        self.sent += other.sent;
    }

    /// Gets the requests whose share is judged. A failure comes sooner than a good answer, so while the requests
    /// grow many, as after the move, most answers that have come are failures: one that is still open counts.
    fn judged_requests(&self) -> f32 {
        self.total.max(self.sent)
    }

    fn share(&self, fraction: f32) -> f32 {
        fraction / self.judged_requests().max(1.0)
    }
}

/// What one host counted of a roll-out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers of the new version, of late.
    pub canary: RecentCounts,
    /// Answers of the proven versions, of late.
    pub stable: RecentCounts,
    /// Answers of both over a longer time.
    pub samples: Samples,
    /// Plain calls of the new version since all traffic moved to it.
    pub since_cutover: CutoverCounts,
    /// Names one endpoint with a bad answer of the new version; 0 if there was none.
    pub bad_endpoint: u32,
    /// Whether several endpoints gave bad answers.
    pub has_several_bad_endpoints: bool,
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (canary, stable, since_cutover) =
            (&self.canary, &self.stable, self.since_cutover.totals());
        write!(
            f,
            "failed={:.1} bad={:.1} of={:.1} proven_failed={:.1} proven_bad={:.1} proven_of={:.1} {} \
             moved_failed={:.0} moved_of={:.0}",
            canary.failed,
            canary.bad,
            canary.total,
            stable.failed,
            stable.bad,
            stable.total,
            self.samples,
            since_cutover.failed,
            since_cutover.total
        )
    }
}

impl Tally {
    fn decay(&mut self, age: Millis) {
        let fraction = (-(age.0 as f32) / HALF_LIFE_MS).exp2();
        self.canary.decay(fraction);
        self.stable.decay(fraction);
        self.samples.decay(age);
    }

    fn record_bad_endpoint(&mut self, endpoint: u32) {
        self.has_several_bad_endpoints |= self.bad_endpoint != 0 && self.bad_endpoint != endpoint;
        self.bad_endpoint = endpoint;
    }

    /// Adds another host's counts of some age.
    pub fn add(&mut self, mut other: Tally, age: Millis) {
        other.decay(age);
        self.canary.merge(&other.canary);
        self.stable.merge(&other.stable);
        self.samples.merge(&other.samples);
        self.since_cutover.merge(&other.since_cutover);
        self.has_several_bad_endpoints |= other.has_several_bad_endpoints;
        if other.bad_endpoint != 0 {
            self.record_bad_endpoint(other.bad_endpoint);
        }
    }

    /// Tells in what a version is bad, if it is: a high share of its answers of late fails or is slow, well over the
    /// proven versions', or its sample as a whole is worse than theirs.
    pub fn bar_reason(&self, basis: VerdictBasis) -> Option<BarReason> {
        let recent = self.is_recently_bad(basis).then_some(BarReason::Recent);
        recent.or_else(|| self.samples.regression(basis).map(BarReason::Sample))
    }

    /// Tells whether a version looks bad, too little to say so.
    pub fn is_inconclusive(&self) -> bool {
        self.samples.is_inconclusive()
            || self.samples.is_inconclusive_since_cutover(&self.since_cutover)
    }

    /// Tells in what a version is bad since all traffic moved to it, if it is.
    pub fn bar_reason_since_cutover(&self, basis: VerdictBasis) -> Option<BarReason> {
        let fails = self.samples.fails_since_cutover(&self.since_cutover, basis);
        fails.then_some(BarReason::Sample(Regression::FailsSinceCutover))
    }

    fn is_recently_bad(&self, basis: VerdictBasis) -> bool {
        let (canary, stable) = (&self.canary, &self.stable);
        let exceeds_baseline = |counted: f32, baseline: f32, min_share: f32, min_ratio: f32| {
            let is_significant =
                log_likelihood_ratio(counted, canary.judged_requests(), baseline + SHARE_MARGIN)
                    >= MIN_RECENT_LOG_RATIO + basis.threshold_surcharge();
            is_significant && canary.share(counted) >= min_share.max(baseline * min_ratio)
        };
        // Of late few may have failed by chance, or few be known of: hosts that start again know a part.
        let (_, stable_sample) = self.samples.totals();
        let baseline_share = |failed: f32, total: f32| match total >= MIN_STABLE_RESPONSES {
            true => estimated_share(failed, total),
            false => failed / total.max(1.0),
        };
        let recent_failed = baseline_share(stable.failed, stable.judged_requests());
        let baseline_failed = recent_failed
            .max(baseline_share(stable_sample.outcomes.failed, stable_sample.outcomes.total));
        let fails = canary.failed >= MIN_FAILED_TO_BAR
            && exceeds_baseline(canary.failed, baseline_failed, MIN_FAILED_SHARE, MIN_FAILED_RATIO);
        let baseline_bad = stable.share(stable.bad);
        let is_bad = canary.bad >= MIN_BAD_TO_BAR
            && exceeds_baseline(canary.bad, baseline_bad, MIN_BAD_SHARE, MIN_BAD_RATIO);
        (fails || is_bad) && (self.has_several_bad_endpoints || basis.endpoints < 2)
    }
}

/// In what a version is bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BarReason {
    /// In a high share of its answers of late.
    Recent,
    /// In its sample as a whole.
    Sample(Regression),
}

impl fmt::Display for BarReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BarReason::Recent => f.write_str("of_late"),
            BarReason::Sample(regression) => regression.fmt(f),
        }
    }
}

/// One host's counts of a roll-out.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    tally: Tally,
    decayed_at: Millis,
    /// Requests sent to the new version when that was looked at last, as this host's traffic counts them: over all
    /// of its roll-outs.
    last_sent_total: Option<u64>,
}

impl Judge {
    /// Gets the counts as of now.
    pub fn tally(&mut self, now: Millis) -> &Tally {
        self.tally.decay(now - self.decayed_at);
        self.decayed_at = now;
        &self.tally
    }

    /// Takes note of how many requests this host has sent to the new version so far.
    pub fn record_sent_total(&mut self, now: Millis, sent_total: u64) {
        self.tally(now);
        let previous_total = self.last_sent_total.replace(sent_total).unwrap_or(sent_total);
        self.tally.canary.sent += sent_total.saturating_sub(previous_total) as f32;
    }

    /// Takes an answer of a proven version, beside what was usual before it.
    pub fn record_stable(&mut self, now: Millis, response: &ObservedResponse, baseline: &Baseline) {
        if !response.is_evidence() {
            return;
        }
        let comparison = baseline.compare(response);
        self.tally(now);
        self.tally.stable.add(comparison.is_failed, comparison.is_slow);
        self.tally.samples.add_stable(response.route_class(), comparison);
    }

    /// Takes an answer of the new version.
    pub fn record_canary(&mut self, now: Millis, response: &ObservedResponse, baseline: &Baseline) {
        self.record_canary_response(now, response, baseline, true);
    }

    /// Takes an answer of the new version that came after all traffic moved to it.
    pub fn record_after_cutover(
        &mut self,
        now: Millis,
        response: &ObservedResponse,
        baseline: &Baseline,
    ) {
        // Failures of streams come sooner than good answers, and the roll-out ends before most of these have come.
        self.record_canary_response(now, response, baseline, !response.is_stream);
        if response.is_evidence() && !response.is_stream {
            let group = endpoint_group(EndpointKey::from(&response.endpoint).get());
            self.tally.since_cutover.add(response.route_class(), group, response.is_failure());
        }
    }

    /// Takes an answer of the new version; `counts_in_sample` tells whether it counts beside those of the sample.
    fn record_canary_response(
        &mut self,
        now: Millis,
        response: &ObservedResponse,
        baseline: &Baseline,
        counts_in_sample: bool,
    ) {
        if !response.is_evidence() {
            return;
        }
        let comparison = baseline.compare(response);
        let endpoint = EndpointKey::from(&response.endpoint).get();
        self.tally(now);
        let (route, group) = (response.route_class(), endpoint_group(endpoint));
        if response.is_load_concentrated {
            self.tally.samples.add_concentrated(group, comparison.is_failed);
            return;
        }
        self.tally.canary.add(comparison.is_failed, comparison.is_slow);
        if counts_in_sample {
            self.tally.samples.add_canary(route, group, comparison);
        }
        if comparison.is_failed || comparison.is_slow {
            // Zero stands for none.
            self.tally.record_bad_endpoint(endpoint.max(1));
        }
    }
}
