//! Retry rules and budget.
//!
//! An attempt may be made again only if it surely did not run, or if the call may be repeated and
//! nothing of an answer has gone to the caller. Retries draw on a budget that grows with first
//! attempts, so they cannot multiply an overload.

use crate::codes::Executed;

/// Retries allowed for each first attempt, in thousandths.
const EARNED_PER_REQUEST: u64 = 100;

/// Most retries saved up, in thousandths.
const MOST_SAVED: u64 = 10_000;

/// The cost of one retry, in thousandths.
const RETRY_COST: u64 = 1000;

/// A budget of retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved: MOST_SAVED }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MOST_SAVED);
    }

    /// Takes one retry; tells whether there was one.
    pub fn take(&mut self) -> bool {
        let enough = self.saved >= RETRY_COST;
        if enough {
            self.saved -= RETRY_COST;
        }
        enough
    }
}

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failed {
    /// Whether it ran.
    pub ran: Executed,
    /// Whether the call may be repeated.
    pub repeatable: bool,
    /// Whether a part of an answer went to the caller.
    pub answered_in_part: bool,
}

/// Tells whether a failed attempt may be made again, budget aside.
pub fn may_retry(failed: Failed) -> bool {
    match failed.ran {
        Executed::No => !failed.answered_in_part,
        Executed::Unknown | Executed::Yes => failed.repeatable && !failed.answered_in_part,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_may_have_run_is_repeated_only_if_repeatable() {
        let failed = Failed { ran: Executed::Unknown, repeatable: false, answered_in_part: false };
        assert!(!may_retry(failed));
        assert!(may_retry(Failed { repeatable: true, ..failed }));
        assert!(may_retry(Failed { ran: Executed::No, ..failed }));
        assert!(!may_retry(Failed { repeatable: true, answered_in_part: true, ..failed }));
    }

    #[test]
    fn retries_are_a_tenth_of_requests_in_the_long_run() {
        let mut budget = RetryBudget::default();
        let mut retries = 0;
        for _ in 0..10_000 {
            budget.earn();
            retries += u32::from(budget.take());
        }
        assert!((1_000..=1_020).contains(&retries), "{retries}");
    }
}
