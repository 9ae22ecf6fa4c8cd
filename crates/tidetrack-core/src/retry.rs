//! Rules and budget for retries.
//!
//! A failed attempt may only be repeated if it certainly was not executed, or if the call is
//! repeatable; in both cases only if no part of a response was sent to the caller. Retries use a
//! budget that grows with the number of first attempts, so they cannot amplify an overload.

use crate::codes::Executed;

/// Retries earned per first attempt, in thousandths.
const EARNED_PER_REQUEST: u64 = 100;

/// Largest balance of the budget, in thousandths of a retry.
const MAX_SAVED: u64 = 10_000;

/// Cost of one retry, in thousandths.
const RETRY_COST: u64 = 1000;

/// Budget of retries.
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
    /// Records a first attempt, which adds to the budget.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(MAX_SAVED);
    }

    /// Takes one retry from the budget. Returns whether one was available.
    pub fn try_acquire(&mut self) -> bool {
        let is_affordable = self.saved >= RETRY_COST;
        if is_affordable {
            self.saved -= RETRY_COST;
        }
        is_affordable
    }
}

/// Properties of a failed attempt that decide about a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the attempt was executed.
    pub ran: Executed,
    /// Whether the call may be executed more than once.
    pub is_repeatable: bool,
    /// Whether part of a response was sent to the caller.
    pub has_partial_response: bool,
}

/// Reports whether a failed attempt may be retried, regardless of the budget.
pub fn may_retry(failed: FailedAttempt) -> bool {
    match failed.ran {
        Executed::No => !failed.has_partial_response,
        Executed::Unknown | Executed::Yes => failed.is_repeatable && !failed.has_partial_response,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn attempts_that_may_have_run_are_retried_only_if_repeatable() {
        let failed = FailedAttempt {
            ran: Executed::Unknown,
            is_repeatable: false,
            has_partial_response: false,
        };
        assert!(!may_retry(failed));
        assert!(may_retry(FailedAttempt { is_repeatable: true, ..failed }));
        assert!(may_retry(FailedAttempt { ran: Executed::No, ..failed }));
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
        assert!((1_000..=1_020).contains(&retries), "{retries} retries");
    }
}
