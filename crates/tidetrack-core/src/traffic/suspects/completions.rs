//! Requests and prompt parts of which an execution recently completed on this host.

use std::collections::HashMap;

use crate::units::Millis;

use super::SuspectKey;

/// Maximum number of entries in each of the two maps. When the current one is full, it replaces the
/// older one.
const MAX_ENTRIES_PER_HALF: usize = 2_048;

/// The time of the last completion: the current map, then the previous one.
#[derive(Debug, Default)]
pub(super) struct RecentCompletions([HashMap<SuspectKey, Millis>; 2]);

impl RecentCompletions {
    /// Records that an execution completed.
    pub(super) fn record(&mut self, now: Millis, key: SuspectKey) {
        if self.0[0].len() >= MAX_ENTRIES_PER_HALF {
            self.0.swap(0, 1);
            self.0[0].clear();
        }
        self.0[0].insert(key, now);
    }

    /// Returns when the last known execution completed.
    pub(super) fn last(&self, key: SuspectKey) -> Option<Millis> {
        self.0.iter().find_map(|half| half.get(&key)).copied()
    }
}
