//! Counts of responses by outcome, with exponential decay, and functions that select one of them.

use serde::{Deserialize, Serialize};

use crate::traffic::baseline::ResponseComparison;

/// Response counts with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// All responses.
    #[serde(with = "crate::traffic::compact_count")]
    pub total: f32,
    /// Failed responses.
    #[serde(with = "crate::traffic::compact_count")]
    pub failed: f32,
    /// Failed responses and late plain calls. They are counted together because an endpoint that
    /// exceeds its own time limit may respond with a failure.
    #[serde(with = "crate::traffic::compact_count")]
    pub bad: f32,
    /// Plain calls that took several times as long as the baseline.
    #[serde(with = "crate::traffic::compact_count")]
    pub far_late: f32,
    /// Responses whose pace was above the baseline.
    #[serde(with = "crate::traffic::compact_count")]
    pub above_pace: f32,
}

impl OutcomeCounts {
    pub(super) fn add(&mut self, comparison: ResponseComparison) {
        let as_count = |holds: bool| f32::from(u8::from(holds));
        self.total += 1.0;
        self.failed += as_count(comparison.is_failed);
        // A stream that starts late is not counted as bad: it may have had to read a prompt that is
        // cached on another endpoint. Slow streams are detected by their pace.
        self.bad += as_count(comparison.is_failed || comparison.is_late);
        self.far_late += as_count(comparison.is_far_late);
        self.above_pace += as_count(comparison.is_above_pace == Some(true));
    }

    pub(super) fn decay(&mut self, fraction: f32) {
        let OutcomeCounts { total, failed, bad, far_late, above_pace } = self;
        for count in [total, failed, bad, far_late, above_pace] {
            *count *= fraction;
        }
    }

    pub(super) fn merge(&mut self, other: &OutcomeCounts) {
        self.total += other.total;
        self.failed += other.failed;
        self.bad += other.bad;
        self.far_late += other.far_late;
        self.above_pace += other.above_pace;
    }
}

/// Response counts together with the number of responses whose pace was compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Counts by outcome.
    pub outcomes: OutcomeCounts,
    /// Responses whose pace could be compared with the baseline.
    #[serde(with = "crate::traffic::compact_count")]
    pub pace_compared: f32,
}

impl Sample {
    pub(super) fn add(&mut self, comparison: ResponseComparison) {
        self.outcomes.add(comparison);
        self.pace_compared += f32::from(u8::from(comparison.is_above_pace.is_some()));
    }

    pub(super) fn decay(&mut self, fraction: f32) {
        self.outcomes.decay(fraction);
        self.pace_compared *= fraction;
    }

    pub(super) fn merge(&mut self, other: &Sample) {
        self.outcomes.merge(&other.outcomes);
        self.pace_compared += other.pace_compared;
    }
}

/// Function that selects a count from [`OutcomeCounts`].
pub(super) type CountSelector = fn(&OutcomeCounts) -> f32;

pub(super) fn failed(counts: &OutcomeCounts) -> f32 {
    counts.failed
}

pub(super) fn bad(counts: &OutcomeCounts) -> f32 {
    counts.bad
}

pub(super) fn late(counts: &OutcomeCounts) -> f32 {
    counts.bad - counts.failed
}

pub(super) fn far_late(counts: &OutcomeCounts) -> f32 {
    counts.far_late
}

pub(super) fn total(counts: &OutcomeCounts) -> f32 {
    counts.total
}

/// Counts the responses that can be late. Where many responses fail on any version, the share of
/// late ones is more significant without the failed ones.
pub(super) fn not_failed(counts: &OutcomeCounts) -> f32 {
    counts.total - counts.failed
}

pub(super) fn above_pace(counts: &OutcomeCounts) -> f32 {
    counts.above_pace
}
