//! Positions in the history of the store.
//!
//! A store that is restored from an older copy loses the changes since that copy, and hands out their
//! revisions again. It counts its restorations: each begins a new era. Positions are therefore ordered
//! by era first and by revision second. Everything that compares, stores or reports a position uses
//! its packed form, a single number with that order, so a host that hears of an era late neither
//! pushes positions of the era before on others nor ignores the new ones. Positions of a store that
//! reports no era are its revisions.

use std::fmt;

/// Number of low bits of a packed position that hold the revision.
const REVISION_BITS: u32 = 48;

/// Largest revision that a packed position can hold.
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;

/// Largest era that a packed position can hold.
const MAX_ERA: u64 = u64::MAX >> REVISION_BITS;

/// A revision of the store, with the era that it was handed out in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StorePosition {
    /// Number of the era; 0 if the store reports none.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}

impl StorePosition {
    /// Returns the position as a single number. Values that are too large are reduced to the largest
    /// ones.
    pub fn packed(self) -> u64 {
        self.era.min(MAX_ERA) << REVISION_BITS | self.revision.min(MAX_REVISION)
    }

    /// Returns the position that a number stands for.
    pub fn from_packed(packed: u64) -> StorePosition {
        StorePosition { era: packed >> REVISION_BITS, revision: packed & MAX_REVISION }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => self.revision.fmt(f),
            era => write!(f, "{era}:{}", self.revision),
        }
    }
}

/// Returns the era of a packed position.
pub fn era_of(packed: u64) -> u64 {
    StorePosition::from_packed(packed).era
}
