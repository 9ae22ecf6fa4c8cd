//! Schedule by which a host reports what it knows to other hosts.
//!
//! A recent change is reported in every round for a while, after which the hosts that received it
//! pass it on. Messages can be lost and hosts start at any time, so older information is repeated
//! at intervals, in rotation if there is too much of it for one message.

use crate::units::Millis;

/// How long a change counts as recent. The rounds in this time reach two dozen hosts, which then
/// pass the change on.
const RECENT_WINDOW: Millis = Millis(800);

/// Interval at which older information is repeated.
const REPEAT_INTERVAL: Millis = Millis(2_000);

/// How long each repetition lasts; it covers at least one round.
const REPEAT_WINDOW: Millis = Millis(300);

/// Reports whether something that a host learned at `learned_at` is still a recent change.
pub fn is_recent_change(now: Millis, learned_at: Millis) -> bool {
    now < learned_at + RECENT_WINDOW
}

/// Reports whether a round at `now` repeats an older report. Different values of `phase`, in
/// milliseconds, spread the repetitions over the interval.
pub fn is_repeat_due(now: Millis, phase: u32) -> bool {
    (now.0 + u64::from(phase)) % REPEAT_INTERVAL.0 < REPEAT_WINDOW.0
}

/// Selects up to `max_reports` reports: the recent ones first, then older ones from index
/// `next_older` on. Advances `next_older` by the number of older reports selected.
pub fn select_reports<T: Copy>(
    recent: &[T],
    older: &[T],
    max_reports: usize,
    next_older: &mut usize,
) -> Vec<T> {
    let remaining = max_reports.saturating_sub(recent.len()).min(older.len());
    let repeated = older.iter().cycle().skip(*next_older % older.len().max(1)).take(remaining);
    *next_older = next_older.wrapping_add(remaining);
    recent.iter().take(max_reports).chain(repeated).copied().collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn older_reports_rotate_through_the_places_that_recent_ones_leave() {
        let mut next_older = 0;

        let first = select_reports(&[9], &[1, 2, 3], 3, &mut next_older);
        let second = select_reports(&[9], &[1, 2, 3], 3, &mut next_older);
        let limited = select_reports(&[7, 8, 9], &[1, 2, 3], 2, &mut next_older);

        assert_eq!(first, [9, 1, 2]);
        assert_eq!(second, [9, 3, 1]);
        assert_eq!(limited, [7, 8]);
    }

    #[test]
    fn an_older_report_is_due_for_one_window_per_interval() {
        let due = (0..REPEAT_INTERVAL.0).filter(|now| is_repeat_due(Millis(*now), 1_234));

        assert_eq!(due.count() as u64, REPEAT_WINDOW.0);
    }
}
