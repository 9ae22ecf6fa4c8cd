//! Canary judge: compares the responses of a canary version, as counted by all hosts, with those of
//! the stable versions.

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

/// Minimum number of recently failed responses, over all hosts, to bar the version.
const MIN_FAILED_TO_BAR: f32 = 3.5;

/// Minimum share of failed responses to bar the version.
const MIN_FAILED_SHARE: f32 = 0.17;

/// Minimum ratio between the canary's share of failed responses and that of the stable versions.
const MIN_FAILED_RATIO: f32 = 2.5;

/// Minimum number of recently failed or slow responses to bar the version. It is higher than
/// [`MIN_FAILED_TO_BAR`] because load makes responses slow, too.
const MIN_BAD_TO_BAR: f32 = 6.0;

/// Minimum share of failed or slow responses to bar the version.
const MIN_BAD_SHARE: f32 = 0.3;

/// Minimum ratio between the canary's share of failed or slow responses and that of the stable
/// versions.
const MIN_BAD_RATIO: f32 = 2.5;

/// Minimum log-likelihood ratio of the canary's share against that of the stable versions. It keeps
/// chance from barring a version: where one call in seven fails on any version, four failures in
/// twelve calls are not significant.
const MIN_RECENT_LOG_RATIO: f32 = 6.0;

/// Half-life of the recent counts in milliseconds. It is short so that a version which turns bad
/// late is found as soon as one that was bad from the start.
const HALF_LIFE_MS: f32 = 4_000.0;

/// Outcome of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The stream is still running and has had enough events to measure its pace. Its later end is
    /// not reported again.
    InProgress,
    /// The response was complete.
    Complete,
    /// The endpoint failed.
    Failed,
    /// The attempt was abandoned because it took too long.
    TimedOut,
    /// The response was discarded in favor of a larger model's response.
    Superseded,
    /// The caller disconnected.
    CallerLeft,
    /// The response was interrupted before its end.
    Interrupted,
}

impl AttemptOutcome {
    /// Returns the name of the outcome in logs and metrics.
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

/// Measurements of one attempt's response, used to judge versions.
#[derive(Clone, Debug)]
pub struct ObservedResponse {
    /// Service that was requested.
    pub service: ServiceId,
    /// Version under roll-out if the endpoint runs it; `None` for a stable version.
    pub canary_version: Option<VersionName>,
    /// Endpoint that was sent the attempt.
    pub endpoint: EndpointId,
    /// Whether the request was sent to an endpoint that takes the concentrated load of the sample;
    /// see `load_concentration`.
    pub is_load_concentrated: bool,
    /// Route of the request.
    pub route: RouteId,
    /// Model that was requested; `None` for plain services.
    pub model: Option<ModelId>,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// Whether an earlier attempt of the same request failed at an endpoint.
    pub has_failed_before: bool,
    /// Whether the response is a stream.
    pub is_stream: bool,
    /// Work at the endpoint in response tokens, as known to the hosts at that time.
    pub load: f64,
    /// Time to the head of the response in milliseconds; `None` if there was no head.
    pub head_ms: Option<f64>,
    /// Mean time between the events of a stream in milliseconds; `None` if it was not measured.
    pub gap_ms: Option<f64>,
}

impl ObservedResponse {
    /// Reports whether the endpoint failed.
    pub fn is_failure(&self) -> bool {
        self.outcome == AttemptOutcome::Failed
    }

    /// Reports whether the response counts as evidence about its version.
    ///
    /// An interrupted response does not, unless its pace was known before: the interruption is
    /// caused by the end of the endpoint or by the network. Later attempts of a request that has
    /// failed before do not count either, because such a request may fail at any endpoint and the
    /// attempts are not independent.
    fn is_evidence(&self) -> bool {
        !self.has_failed_before
            && (self.outcome != AttemptOutcome::Interrupted || self.gap_ms.is_some())
    }

    fn route_class(&self) -> u8 {
        route_class(xxh3_64(self.route.as_str().as_bytes()))
    }
}

/// Response counts with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RecentCounts {
    /// All responses.
    pub total: f32,
    /// Failed responses.
    pub failed: f32,
    /// Failed or slow responses.
    pub bad: f32,
    /// Requests sent, where they are counted; otherwise 0.
    pub sent: f32,
}

impl RecentCounts {
    fn add(&mut self, is_failed: bool, is_slow: bool) {
        self.total += 1.0;
        self.failed += f32::from(u8::from(is_failed));
        self.bad += f32::from(u8::from(is_failed || is_slow));
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

    /// Returns the number of requests that shares are taken of. Failures arrive sooner than
    /// successful responses, so while traffic rises, as after the cutover, most responses received
    /// so far are failures. Requests without a response are therefore included.
    fn judged_requests(&self) -> f32 {
        self.total.max(self.sent)
    }

    fn share(&self, fraction: f32) -> f32 {
        fraction / self.judged_requests().max(1.0)
    }
}

/// One host's counts for a roll-out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Recent responses of the canary version.
    pub canary: RecentCounts,
    /// Recent responses of the stable versions.
    pub stable: RecentCounts,
    /// Responses of both over a longer time.
    pub samples: Samples,
    /// Plain calls to the canary version since the cutover.
    pub since_cutover: CutoverCounts,
    /// Key of an endpoint with a bad response from the canary version; 0 if there was none.
    pub bad_endpoint: u32,
    /// Whether more than one endpoint gave bad responses.
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

    /// Adds the counts of another host, decayed by their age.
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

    /// Returns the reason to bar the version, if any: a high share of its recent responses is
    /// failed or slow, well above that of the stable versions, or its long-term sample is
    /// significantly worse than theirs.
    pub fn bar_reason(&self, basis: VerdictBasis) -> Option<BarReason> {
        let recent = self.is_recently_bad(basis).then_some(BarReason::Recent);
        recent.or_else(|| self.samples.regression(basis).map(BarReason::Sample))
    }

    /// Reports whether the version looks bad without enough evidence to bar it.
    pub fn is_inconclusive(&self) -> bool {
        self.samples.is_inconclusive()
            || self.samples.is_inconclusive_since_cutover(&self.since_cutover)
    }

    /// Returns the reason to bar the version on its responses since the cutover, if any.
    pub fn bar_reason_since_cutover(&self, basis: VerdictBasis) -> Option<BarReason> {
        let is_failing = self.samples.fails_since_cutover(&self.since_cutover, basis);
        is_failing.then_some(BarReason::Sample(Regression::FailsSinceCutover))
    }

    fn is_recently_bad(&self, basis: VerdictBasis) -> bool {
        let (canary, stable) = (&self.canary, &self.stable);
        let exceeds_baseline = |counted: f32, baseline: f32, min_share: f32, min_ratio: f32| {
            let is_significant =
                log_likelihood_ratio(counted, canary.judged_requests(), baseline + SHARE_MARGIN)
                    >= MIN_RECENT_LOG_RATIO + basis.threshold_surcharge();
            is_significant && canary.share(counted) >= min_share.max(baseline * min_ratio)
        };
        // The recent counts may hold few failures by chance, and a host that has just started knows
        // only a part of the counts, so the long-term share of failures is used if it is higher.
        let (_, stable_sample) = self.samples.totals();
        let baseline_share = |failed: f32, total: f32| match total >= MIN_STABLE_RESPONSES {
            true => estimated_share(failed, total),
            false => failed / total.max(1.0),
        };
        let recent_failed = baseline_share(stable.failed, stable.judged_requests());
        let baseline_failed = recent_failed
            .max(baseline_share(stable_sample.outcomes.failed, stable_sample.outcomes.total));
        let is_failing = canary.failed >= MIN_FAILED_TO_BAR
            && exceeds_baseline(canary.failed, baseline_failed, MIN_FAILED_SHARE, MIN_FAILED_RATIO);
        let baseline_bad = stable.share(stable.bad);
        let is_bad = canary.bad >= MIN_BAD_TO_BAR
            && exceeds_baseline(canary.bad, baseline_bad, MIN_BAD_SHARE, MIN_BAD_RATIO);
        (is_failing || is_bad) && (self.has_several_bad_endpoints || basis.endpoints < 2)
    }
}

/// Reason to bar a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BarReason {
    /// A high share of its recent responses is bad.
    Recent,
    /// Its sample is worse than that of the stable versions.
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

/// Collects one host's counts for a roll-out.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    tally: Tally,
    decayed_at: Millis,
    /// Requests sent to the canary version at the last call of `record_sent_total`. The total
    /// covers all roll-outs of the service on this host.
    last_sent_total: Option<u64>,
}

impl Judge {
    /// Returns the counts, decayed to the present time.
    pub fn tally(&mut self, now: Millis) -> &Tally {
        self.tally.decay(now - self.decayed_at);
        self.decayed_at = now;
        &self.tally
    }

    /// Records the total number of requests that this host has sent to canary versions of the
    /// service.
    pub fn record_sent_total(&mut self, now: Millis, sent_total: u64) {
        self.tally(now);
        let previous_total = self.last_sent_total.replace(sent_total).unwrap_or(sent_total);
        self.tally.canary.sent += sent_total.saturating_sub(previous_total) as f32;
    }

    /// Records a response of a stable version, compared with the baseline before it.
    pub fn record_stable(&mut self, now: Millis, response: &ObservedResponse, baseline: &Baseline) {
        if !response.is_evidence() {
            return;
        }
        let comparison = baseline.compare(response);
        self.tally(now);
        self.tally.stable.add(comparison.is_failed, comparison.is_slow);
        self.tally.samples.add_stable(response.route_class(), comparison);
    }

    /// Records a response of the canary version before the cutover.
    pub fn record_canary(&mut self, now: Millis, response: &ObservedResponse, baseline: &Baseline) {
        self.record_canary_response(now, response, baseline, true);
    }

    /// Records a response of the canary version after the cutover.
    pub fn record_after_cutover(
        &mut self,
        now: Millis,
        response: &ObservedResponse,
        baseline: &Baseline,
    ) {
        // Failed streams end sooner than successful ones, and the roll-out completes before most of
        // the latter have ended, so streams would make the sample look worse than it is.
        self.record_canary_response(now, response, baseline, !response.is_stream);
        if response.is_evidence() && !response.is_stream {
            let group = endpoint_group(EndpointKey::from(&response.endpoint).get());
            self.tally.since_cutover.add(response.route_class(), group, response.is_failure());
        }
    }

    /// Records a response of the canary version. `counts_in_sample` states whether it is added to
    /// the sample.
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
            self.tally.samples.add_concentrated_load(group, comparison.is_failed);
            return;
        }
        self.tally.canary.add(comparison.is_failed, comparison.is_slow);
        if counts_in_sample {
            self.tally.samples.add_canary(route, group, comparison);
        }
        if comparison.is_failed || comparison.is_slow {
            // 0 means that there is no bad endpoint.
            self.tally.record_bad_endpoint(endpoint.max(1));
        }
    }
}
