//! A budget of further attempts that holds across hosts without communication.
//!
//! The fleet-wide limit is a share of the first attempts in a sliding window plus a constant. Each
//! host limits itself to the same share of its own first attempts, so the sum over all hosts keeps
//! the limit for any number of hosts. The constant is left as a margin for attempts at the edge of
//! a window.

use std::collections::VecDeque;

use crate::units::Millis;

/// Part of the shared ratio that a host uses. The rest covers first attempts that the fleet-wide
/// limit counts in another window than this host does.
const USED_RATIO_SHARE: f64 = 0.9;

/// Part of a host's further attempts that is reserved for failures and not available to second
/// opinions.
const RESERVED_FOR_FAILURES: f64 = 0.15;

/// The same part while the service is contended, when failures are frequent and second opinions delay
/// other requests.
const RESERVED_UNDER_CONTENTION: f64 = 0.5;

/// Further attempts that a host may make in a window without any first attempt.
const FREE_ATTEMPTS: f64 = 2.0;

/// Number of buckets that a window is divided into; counts expire one bucket at a time.
const BUCKETS_PER_WINDOW: u64 = 50;

/// Why a request is attempted again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FurtherAttempt {
    /// The earlier attempt failed or is too slow.
    Failure,
    /// A larger model is asked for a better response.
    SecondOpinion,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    first_attempts: u32,
    further_attempts: u32,
}

/// Budget of one service on one host.
#[derive(Clone, Debug)]
pub struct AttemptBudget {
    ratio: f64,
    window: Millis,
    buckets: VecDeque<Bucket>,
}

impl AttemptBudget {
    /// Creates a budget of `ratio` further attempts per first attempt within any `window`.
    pub fn new(ratio: f64, window: Millis) -> AttemptBudget {
        AttemptBudget { ratio, window, buckets: VecDeque::new() }
    }

    /// Records a request's first attempt.
    pub fn record_first(&mut self, now: Millis) {
        self.bucket(now).first_attempts += 1;
    }

    /// Takes one further attempt from the budget. Returns whether one was available.
    pub fn try_acquire(&mut self, now: Millis, reason: FurtherAttempt) -> bool {
        let usable_share = match reason {
            FurtherAttempt::Failure => 1.0,
            FurtherAttempt::SecondOpinion => 1.0 - RESERVED_FOR_FAILURES,
        };
        self.try_acquire_share(now, usable_share)
    }

    /// Takes one further attempt from the budget of a contended service. `rank_share` is the share of
    /// the budget that requests of this rank may use: less urgent ones leave the rest to others.
    /// Returns whether an attempt was available.
    pub fn try_acquire_contended(
        &mut self,
        now: Millis,
        reason: FurtherAttempt,
        rank_share: f64,
    ) -> bool {
        let usable_share = match reason {
            FurtherAttempt::Failure => rank_share,
            FurtherAttempt::SecondOpinion => rank_share * (1.0 - RESERVED_UNDER_CONTENTION),
        };
        self.try_acquire_share(now, usable_share)
    }

    /// Takes one further attempt if the number of them stays within a share of the budget.
    fn try_acquire_share(&mut self, now: Millis, usable_share: f64) -> bool {
        let (first_attempts, further_attempts) = self.totals(now);
        let max_further = self.ratio * USED_RATIO_SHARE * usable_share * f64::from(first_attempts)
            + FREE_ATTEMPTS;
        let is_granted = f64::from(further_attempts) + 1.0 <= max_further;
        if is_granted {
            self.bucket(now).further_attempts += 1;
        }
        is_granted
    }

    /// Returns a further attempt to the budget that was acquired at `acquired_at` and did not reach
    /// an endpoint.
    pub fn refund(&mut self, acquired_at: Millis) {
        let number = acquired_at.0 / self.bucket_length();
        // That an attempt did not reach an endpoint is only known some buckets later. An attempt
        // that has left the window no longer counts.
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

    /// Returns the length of a bucket in milliseconds.
    fn bucket_length(&self) -> u64 {
        (self.window.0 / BUCKETS_PER_WINDOW).max(1)
    }

    /// Returns the bucket of `now` and drops buckets that have left the window.
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
