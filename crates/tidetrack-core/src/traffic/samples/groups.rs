//! Groups of endpoints, in which the responses of a version are counted.
//!
//! Endpoints are hashed into many groups, so that the few endpoints of a small service are in
//! different ones. Where more groups than can be reported have counts, they are combined into few.
//! The numbers of combined groups come before those of all others, so a host can tell which kind
//! another one reports.

/// Number of groups after combination, and thus the largest number of groups with counts.
pub const MAX_GROUPS: u8 = 16;

/// Number of groups into which endpoints are hashed, a multiple of `MAX_GROUPS`.
const HASHED_GROUPS: u32 = 240;

/// Returns the group of an endpoint from its key.
pub fn endpoint_group(key: u32) -> u8 {
    MAX_GROUPS + (key % HASHED_GROUPS) as u8
}

/// Returns the combined group that a group belongs to.
pub fn combined_group(group: u8) -> u8 {
    match group < MAX_GROUPS {
        true => group,
        false => (group - MAX_GROUPS) % MAX_GROUPS,
    }
}

/// Reports whether counts of the given groups have to be combined: some are already, or there are
/// too many.
pub fn needs_combination(groups: impl Iterator<Item = u8>) -> bool {
    let mut seen = [false; 256];
    let mut count = 0;
    for group in groups {
        if group < MAX_GROUPS {
            return true;
        }
        count += usize::from(!std::mem::replace(&mut seen[usize::from(group)], true));
    }
    count > usize::from(MAX_GROUPS)
}
