//! Retry rules and budget.
//!
//! An attempt may be made again only if it surely did not run, or if the call may be repeated and
//! nothing of an answer has gone to the caller. Retries draw on a budget that grows with first
//! attempts, so they cannot multiply an overload.

use crate::codes::Ran;

/// Retries allowed for each first attempt, in thousandths.
const EARNED_PER_REQUEST: u64 = 100;

/// Most retries saved up, in thousandths.
const MAX_SAVED: u64 = 10_000;

/// The cost of one retry, in thousandths.
const RETRY_COST: u64 = 1000;

/// A budget of retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { saved: MAX_SAVED }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Takes one retry; tells whether there was one.
    pub fn try_acquire(&mut self) -> bool {
        let is_affordable = self.saved >= RETRY_COST;
        if is_affordable {
            self.saved -= RETRY_COST;
        }
        is_affordable
    }
}

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether it ran.
    pub ran: Ran,
    /// Whether the call may be repeated.
    pub is_repeatable: bool,
    /// Whether a part of an answer went to the caller.
    pub has_partial_response: bool,
}

/// Tells whether a failed attempt may be made again, budget aside.
pub fn may_retry(failed: FailedAttempt) -> bool {
    match failed.ran {
        Ran::No => !failed.has_partial_response,
        Ran::Unknown | Ran::Yes => failed.is_repeatable && !failed.has_partial_response,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn attempts_that_may_have_run_are_retried_only_if_repeatable() {
        let failed =
            FailedAttempt { ran: Ran::Unknown, is_repeatable: false, has_partial_response: false };
        assert!(!may_retry(failed));
        assert!(may_retry(FailedAttempt { is_repeatable: true, ..failed }));
        assert!(may_retry(FailedAttempt { ran: Ran::No, ..failed }));
        assert!(!may_retry(FailedAttempt {
            is_repeatable: true,
            has_partial_response: true,
            ..failed
        }));
    }

    #[test]
    fn retries_are_limited_to_a_tenth_of_requests() {
        let mut budget = RetryBudget::default();
        let mut retries = 0;
        for _ in 0..10_000 {
            budget.earn();
            retries += u32::from(budget.try_acquire());
        }
        assert!((1_000..=1_020).contains(&retries), "{retries}");
    }
}
