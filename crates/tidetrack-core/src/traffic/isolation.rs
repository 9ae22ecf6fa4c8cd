//! Whether a host has lost sight of most others.
//!
//! A host that hears few others of a sudden was suspended or cut off more likely than all others have ended. What hosts
//! divide among those they hear must not be taken as a whole then.

use crate::units::Millis;

/// How long the size of the fleet is remembered at the least, and at most twice as long. Hosts that are gone for good
/// leave their parts idle for that time.
const FLEET_SIZE_WINDOW: Millis = Millis(20_000);

/// How many hosts of the fleet were heard of late, this one among them.
#[derive(Clone, Copy, Debug, Default)]
pub struct IsolationDetector {
    /// When the present stretch began.
    window_start: Millis,
    /// The most of that stretch, and of the one before.
    max_hosts: usize,
    previous_max_hosts: usize,
}

impl IsolationDetector {
    /// Takes note of how many are heard; tells whether that is less than half of those of late.
    pub fn is_isolated(&mut self, now: Millis, heard_hosts: usize) -> bool {
        if now >= self.window_start + FLEET_SIZE_WINDOW {
            *self = IsolationDetector {
                window_start: now,
                max_hosts: 0,
                previous_max_hosts: self.max_hosts,
            };
        }
        self.max_hosts = self.max_hosts.max(heard_hosts);
        heard_hosts * 2 < self.max_hosts.max(self.previous_max_hosts)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_host_that_hears_less_than_half_is_isolated_until_the_fleet_size_expires() {
        let mut detector = IsolationDetector::default();

        let at_start = detector.is_isolated(Millis(1_000), 10);
        let fewer = detector.is_isolated(Millis(2_000), 5);
        let few = detector.is_isolated(Millis(3_000), 4);
        let later = detector.is_isolated(Millis(22_000), 4);
        let last = detector.is_isolated(Millis(43_000), 4);

        assert_eq!([at_start, fewer, few, later, last], [false, false, true, true, false]);
    }
}
