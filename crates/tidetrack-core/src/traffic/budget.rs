//! A budget of further sends that holds across hosts without a message.
//!
//! The fleet-wide bound is a share of the first sends in a sliding window plus a constant. Each host
//! keeps to the same share of its own first sends, so the sum over hosts keeps to it whatever their
//! number; the constant is left as the margin for sends that cross a window's edge.

use std::collections::VecDeque;

use crate::units::Millis;

/// Part of the shared ratio that a host uses. The rest covers first sends that the bound counts in
/// another window than this host does.
const USED_RATIO_SHARE: f64 = 0.9;

/// Part of a host's further sends that only failures may use, not second opinions.
const RESERVED_FOR_FAILURES: f64 = 0.15;

/// Further sends that a host may make in a window without first sends behind them.
const FREE_ATTEMPTS: f64 = 2.0;

/// Buckets of a window; the window is counted in steps of this part.
const BUCKETS_PER_WINDOW: u64 = 50;

/// Why a request is to be sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FurtherAttempt {
    /// The earlier attempt failed or is too slow.
    Failure,
    /// A larger model is asked for a better answer.
    SecondOpinion,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    first_attempts: u32,
    further_attempts: u32,
}

/// The budget of one service at one host.
#[derive(Clone, Debug)]
pub struct AttemptBudget {
    ratio: f64,
    window: Millis,
    buckets: VecDeque<Bucket>,
}

impl AttemptBudget {
    /// Makes a budget of `ratio` further sends for each first send in any `window`.
    pub fn new(ratio: f64, window: Millis) -> AttemptBudget {
        AttemptBudget { ratio, window, buckets: VecDeque::new() }
    }

    /// Counts a request's first send.
    pub fn record_first(&mut self, now: Millis) {
        self.bucket(now).first_attempts += 1;
    }

    /// Takes one further send; tells whether there was one.
    pub fn try_acquire(&mut self, now: Millis, reason: FurtherAttempt) -> bool {
        let (first_attempts, further_attempts) = self.totals(now);
        let usable_share = match reason {
            FurtherAttempt::Failure => 1.0,
            FurtherAttempt::SecondOpinion => 1.0 - RESERVED_FOR_FAILURES,
        };
        let max_further = self.ratio * USED_RATIO_SHARE * usable_share * f64::from(first_attempts)
            + FREE_ATTEMPTS;
        let is_granted = f64::from(further_attempts) + 1.0 <= max_further;
        if is_granted {
            self.bucket(now).further_attempts += 1;
        }
        is_granted
    }

    /// Gives a further send back that was taken at a time and reached nobody.
    pub fn refund(&mut self, acquired_at: Millis) {
        let number = acquired_at.0 / self.bucket_length();
        // It is known to have reached nobody only some buckets later. One that left the window counts no
        // more.
        let mut buckets = self.buckets.iter_mut().rev();
        if let Some(bucket) = buckets.find(|b| b.number <= number && b.further_attempts > 0) {
            bucket.further_attempts -= 1;
        }
    }

    fn totals(&mut self, now: Millis) -> (u32, u32) {
        self.bucket(now);
        let sum_of = |f: fn(&Bucket) -> u32| self.buckets.iter().map(f).sum();
        (sum_of(|b| b.first_attempts), sum_of(|b| b.further_attempts))
    }

    /// Gets the length of a bucket, in milliseconds.
    fn bucket_length(&self) -> u64 {
        (self.window.0 / BUCKETS_PER_WINDOW).max(1)
    }

    /// Gets the bucket of `now` and drops those that left the window.
    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let number = now.0 / self.bucket_length();
        while self.buckets.front().is_some_and(|b| b.number + BUCKETS_PER_WINDOW <= number) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
