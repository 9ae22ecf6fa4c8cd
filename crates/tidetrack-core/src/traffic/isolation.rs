//! Detects that a host is isolated from most of the fleet.
//!
//! A host that suddenly hears few others was more likely suspended or disconnected than left by all
//! of them. While it is isolated it must not treat the hosts that it hears as the whole fleet, and
//! take over shares that belong to the others.

use crate::units::Millis;

/// Minimum time for which the size of the fleet is remembered; the maximum is twice as long. The
/// shares of hosts that stopped for good stay unused for that time.
const FLEET_SIZE_WINDOW: Millis = Millis(20_000);

/// Tracks how many hosts were heard recently, including this one.
#[derive(Clone, Copy, Debug, Default)]
pub struct IsolationDetector {
    /// When the current window began.
    window_start: Millis,
    /// The maximum number of hosts heard in the current window.
    max_hosts: usize,
    /// The maximum number of hosts heard in the window before the current one.
    previous_max_hosts: usize,
}

impl IsolationDetector {
    /// Records the number of hosts that are heard. Reports whether it is less than half of the
    /// recent maximum.
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

        let all_heard = detector.is_isolated(Millis(1_000), 10);
        let half_heard = detector.is_isolated(Millis(2_000), 5);
        let fewer_heard = detector.is_isolated(Millis(3_000), 4);
        let after_one_window = detector.is_isolated(Millis(22_000), 4);
        let after_two_windows = detector.is_isolated(Millis(43_000), 4);

        assert_eq!(
            [all_heard, half_heard, fewer_heard, after_one_window, after_two_windows],
            [false, false, true, true, false]
        );
    }
}
