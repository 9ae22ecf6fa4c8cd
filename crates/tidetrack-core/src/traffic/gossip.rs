//! When a host tells others what it knows.
//!
//! News is told in each round for a while, after which those who heard it tell it on. Messages get lost and hosts
//! start, so the rest is told again now and then, in turn where there is much of it.

use crate::units::Millis;

/// How long something new is told: some rounds, after which two dozen others tell it on.
const RECENT_WINDOW: Millis = Millis(800);

/// How often the rest is told again, and for how long each time: a round at the least.
const REPEAT_INTERVAL: Millis = Millis(2_000);
const REPEAT_WINDOW: Millis = Millis(300);

/// Tells whether something that became known at `learned_at` is news.
pub fn is_recent_change(now: Millis, learned_at: Millis) -> bool {
    now < learned_at + RECENT_WINDOW
}

/// Tells whether a round at `now` tells something repeated. Its `phase` keeps all from being told at once.
pub fn is_repeat_due(now: Millis, phase: u32) -> bool {
    (now.0 + u64::from(phase)) % REPEAT_INTERVAL.0 < REPEAT_WINDOW.0
}

/// Picks up to `max_reports` to tell: recent first, then the older from the place of `next_older` on, which moves on by these.
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
