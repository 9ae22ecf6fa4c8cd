//! Requests and prompt parts of which an execution recently completed on this host.

use std::collections::HashMap;

use crate::traffic::fingerprint::{ContentHash, Fingerprint};
use crate::units::Millis;

/// Maximum number of fingerprints in each of the two maps. When the current one is full, it replaces
/// the older one.
const MAX_ENTRIES_PER_HALF: usize = 2_048;

/// The time of the last completion by fingerprint: the current map, then the previous one.
#[derive(Debug, Default)]
pub(super) struct RecentCompletions([HashMap<Fingerprint, Millis>; 2]);

impl RecentCompletions {
    /// Records that an execution completed.
    pub(super) fn record(&mut self, now: Millis, fingerprint: Fingerprint) {
        if self.0[0].len() >= MAX_ENTRIES_PER_HALF {
            self.0.swap(0, 1);
            self.0[0].clear();
        }
        self.0[0].insert(fingerprint, now);
    }

    /// Returns when the last known execution completed.
    pub(super) fn last(&self, fingerprint: Fingerprint) -> Option<Millis> {
        self.0.iter().find_map(|half| half.get(&fingerprint)).copied()
    }

    /// Returns when the last known execution of any workspace's request with the content completed.
    pub(super) fn last_of_content(&self, content: ContentHash) -> Option<Millis> {
        let all = self.0.iter().flatten();
        all.filter(|(f, _)| f.content() == content).map(|(_, at)| *at).max()
    }
}
