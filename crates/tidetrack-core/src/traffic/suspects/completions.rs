//! Requests and prompt parts of which an execution recently completed on this host.

use std::collections::HashMap;

use crate::units::Millis;

use super::SuspectKey;

/// Maximum number of entries in each of the two maps. When the current one is full, it replaces the
/// older one.
const MAX_ENTRIES_PER_HALF: usize = 2_048;

/// An execution that completed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Completion {
    pub(super) sent_at: Millis,
    pub(super) completed_at: Millis,
}

/// The last completion of each suspect: the current map, then the previous one.
#[derive(Debug, Default)]
pub(super) struct RecentCompletions([HashMap<SuspectKey, Completion>; 2]);

impl RecentCompletions {
    /// Records that an execution completed.
    pub(super) fn record(&mut self, key: SuspectKey, completion: Completion) {
        if self.0[0].len() >= MAX_ENTRIES_PER_HALF {
            self.0.swap(0, 1);
            self.0[0].clear();
        }
        self.0[0].insert(key, completion);
    }

    /// Returns the last known completion.
    pub(super) fn last(&self, key: SuspectKey) -> Option<Completion> {
        self.0.iter().find_map(|half| half.get(&key)).copied()
    }
}
