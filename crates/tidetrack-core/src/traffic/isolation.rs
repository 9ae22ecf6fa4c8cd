//! Whether a host has lost sight of most others.
//!
//! A host that hears few others of a sudden was suspended or cut off more likely than all others have ended. What hosts
//! divide among those they hear must not be taken as a whole then.

use crate::units::Millis;

/// How long the size of the fleet is remembered at the least, and at most twice as long. Hosts that are gone for good
/// leave their parts idle for that time.
const REMEMBERED_FOR: Millis = Millis(20_000);

/// How many hosts of the fleet were heard of late, this one among them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sight {
    /// When the present stretch began.
    began: Millis,
    /// The most of that stretch, and of the one before.
    most: usize,
    most_before: usize,
}

impl Sight {
    /// Takes note of how many are heard; tells whether that is less than half of those of late.
    pub fn is_lost(&mut self, now: Millis, hosts: usize) -> bool {
        if now >= self.began + REMEMBERED_FOR {
            *self = Sight { began: now, most: 0, most_before: self.most };
        }
        self.most = self.most.max(hosts);
        hosts * 2 < self.most.max(self.most_before)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_host_that_hears_few_has_lost_sight_of_the_others_for_a_time() {
        let mut sight = Sight::default();

        let at_start = sight.is_lost(Millis(1_000), 10);
        let fewer = sight.is_lost(Millis(2_000), 5);
        let few = sight.is_lost(Millis(3_000), 4);
        let later = sight.is_lost(Millis(22_000), 4);
        let at_last = sight.is_lost(Millis(43_000), 4);

        assert_eq!([at_start, fewer, few, later, at_last], [false, false, true, true, false]);
    }
}
