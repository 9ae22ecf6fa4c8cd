//! A budget of further sends that holds across hosts without a message.
//!
//! The fleet-wide bound is a share of the first sends in a sliding window plus a constant. Each host
//! keeps to the same share of its own first sends, so the sum over hosts keeps to it whatever their
//! number; the constant is left as the margin for sends that cross a window's edge.

use std::collections::VecDeque;

use crate::units::Millis;

/// Part of the shared ratio that a host uses. The rest covers first sends that the bound counts in
/// another window than this host does.
const USED_PART: f64 = 0.9;

/// Part of a host's further sends that only failures may use, not second opinions.
const KEPT_FOR_FAILURES: f64 = 0.15;

/// Further sends that a host may make in a window without first sends behind them.
const FREE_SENDS: f64 = 2.0;

/// Buckets of a window; the window is counted in steps of this part.
const BUCKETS: u64 = 50;

/// Why a request is to be sent once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendAgain {
    /// The earlier attempt failed or is too slow.
    Failure,
    /// A larger model is asked for a better answer.
    SecondOpinion,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    firsts: u32,
    further: u32,
}

/// The budget of one service at one host.
#[derive(Clone, Debug)]
pub struct SendBudget {
    ratio: f64,
    window: Millis,
    buckets: VecDeque<Bucket>,
}

impl SendBudget {
    /// Makes a budget of `ratio` further sends for each first send in any `window`.
    pub fn new(ratio: f64, window: Millis) -> SendBudget {
        SendBudget { ratio, window, buckets: VecDeque::new() }
    }

    /// Counts a request's first send.
    pub fn first(&mut self, now: Millis) {
        self.bucket(now).firsts += 1;
    }

    /// Takes one further send; tells whether there was one.
    pub fn take(&mut self, now: Millis, why: SendAgain) -> bool {
        let (firsts, further) = self.totals(now);
        let part = match why {
            SendAgain::Failure => 1.0,
            SendAgain::SecondOpinion => 1.0 - KEPT_FOR_FAILURES,
        };
        let most = self.ratio * USED_PART * part * f64::from(firsts) + FREE_SENDS;
        let granted = f64::from(further) + 1.0 <= most;
        if granted {
            self.bucket(now).further += 1;
        }
        granted
    }

    /// Gives a further send back that was taken at a time and reached nobody.
    pub fn give_back(&mut self, taken_at: Millis) {
        let number = taken_at.0 / self.step();
        // It is known to have reached nobody only some buckets later. One that left the window counts no
        // more.
        let mut buckets = self.buckets.iter_mut().rev();
        if let Some(bucket) = buckets.find(|b| b.number <= number && b.further > 0) {
            bucket.further -= 1;
        }
    }

    fn totals(&mut self, now: Millis) -> (u32, u32) {
        self.bucket(now);
        let sum = |f: fn(&Bucket) -> u32| self.buckets.iter().map(f).sum();
        (sum(|b| b.firsts), sum(|b| b.further))
    }

    /// Gets the length of a bucket, in milliseconds.
    fn step(&self) -> u64 {
        (self.window.0 / BUCKETS).max(1)
    }

    /// Gets the bucket of `now` and drops those that left the window.
    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let number = now.0 / self.step();
        while self.buckets.front().is_some_and(|b| b.number + BUCKETS <= number) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
