//! When a host tells others what it knows.
//!
//! News is told in each round for a while, after which those who heard it tell it on. Messages get lost and hosts
//! start, so the rest is told again now and then, in turn where there is much of it.

use crate::units::Millis;

/// How long something new is told: some rounds, after which two dozen others tell it on.
const TOLD_FOR: Millis = Millis(800);

/// How often the rest is told again, and for how long each time: a round at the least.
const TOLD_AGAIN: Millis = Millis(2_000);
const AGAIN_FOR: Millis = Millis(300);

/// Tells whether something that became known at `known_at` is news.
pub fn is_news(now: Millis, known_at: Millis) -> bool {
    now < known_at + TOLD_FOR
}

/// Tells whether a round at `now` tells something again. Its `phase` keeps all from being told at once.
pub fn is_told_again(now: Millis, phase: u32) -> bool {
    (now.0 + u64::from(phase)) % TOLD_AGAIN.0 < AGAIN_FOR.0
}

/// Picks up to `most` to tell: news first, then the rest from the place of `turn` on, which moves on by these.
pub fn news_then_rest<T: Copy>(news: &[T], rest: &[T], most: usize, turn: &mut usize) -> Vec<T> {
    let left = most.saturating_sub(news.len()).min(rest.len());
    let again = rest.iter().cycle().skip(*turn % rest.len().max(1)).take(left);
    *turn = turn.wrapping_add(left);
    news.iter().take(most).chain(again).copied().collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_rest_takes_its_turn_in_the_room_that_news_leave() {
        let mut turn = 0;

        let first = news_then_rest(&[9], &[1, 2, 3], 3, &mut turn);
        let second = news_then_rest(&[9], &[1, 2, 3], 3, &mut turn);
        let crowded = news_then_rest(&[7, 8, 9], &[1, 2, 3], 2, &mut turn);

        assert_eq!(first, [9, 1, 2]);
        assert_eq!(second, [9, 3, 1]);
        assert_eq!(crowded, [7, 8]);
    }

    #[test]
    fn what_is_known_is_told_again_for_a_part_of_the_time() {
        let rounds = (0..TOLD_AGAIN.0).filter(|now| is_told_again(Millis(*now), 1_234));

        assert_eq!(rounds.count() as u64, AGAIN_FOR.0);
    }
}
