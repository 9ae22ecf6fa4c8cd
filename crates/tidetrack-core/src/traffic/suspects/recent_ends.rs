//! Ends of endpoints that this host knows of, whatever ran there.

use std::collections::HashMap;

use crate::ids::EndpointKey;
use crate::units::Millis;

use super::crashes::Crash;

/// Maximum number of ends that are stored.
const MAX_ENDS: usize = 1_024;

/// The last end of each endpoint.
#[derive(Debug, Default)]
pub(super) struct RecentEnds(HashMap<EndpointKey, Crash>);

impl RecentEnds {
    /// Records the end of an endpoint. If there are too many, the oldest half is dropped.
    pub(super) fn record(&mut self, end: Crash) {
        let known = self.0.entry(end.endpoint).or_insert(end);
        if !known.is_duplicate_of(&end) && known.crashed_at < end.crashed_at {
            *known = end;
        }
        if self.0.len() > MAX_ENDS {
            let mut times: Vec<Millis> = self.0.values().map(|end| end.crashed_at).collect();
            let (_, median, _) = times.select_nth_unstable(MAX_ENDS / 2);
            let median = *median;
            self.0.retain(|_, end| end.crashed_at > median);
        }
    }

    /// Returns the ends in the order of their times.
    pub(super) fn sorted(&self) -> Vec<Crash> {
        let mut ends: Vec<Crash> = self.0.values().copied().collect();
        ends.sort_unstable_by_key(|end| end.crashed_at);
        ends
    }
}

/// Returns those of the ends, which are sorted, that are at most `window` from a point in time.
pub(super) fn ends_around(ends: &[Crash], at: Millis, window: Millis) -> &[Crash] {
    let from = ends.partition_point(|end| end.crashed_at + window < at);
    let to = ends.partition_point(|end| end.crashed_at <= at + window);
    &ends[from..to]
}
