//! Orders of roll-outs and their progress, as they stand in the store.

use crate::errors::{bad_value, Result};
use crate::ids::{ServiceId, VersionName};
use crate::units::Millis;

/// State of a roll-out in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// The roll-out is running.
    InProgress,
    /// The canary version is in place, and the old endpoints stop.
    Completed,
    /// The canary version was bad, and its endpoints are withdrawn.
    RolledBack,
}

/// Progress of a roll-out as hosts write it to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutProgress {
    /// Whether the roll-out is running, completed or rolled back.
    pub state: RolloutState,
    /// Version that this progress refers to.
    pub version: VersionName,
    /// Time since the order, as known to the host that wrote the progress.
    pub elapsed: Millis,
    /// Share of the sessions in the initial sample, stored so that all hosts sample the same
    /// sessions. `None` if the writer did not record it.
    pub sample: Option<f64>,
}

/// An operator's order to roll out a version, with the progress that hosts have written for it.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// Service whose version changes.
    pub service: ServiceId,
    /// Version to roll out.
    pub version: VersionName,
    /// Time from the order to its deadline.
    pub duration: Millis,
    /// Revision of the store object at its last change.
    pub revision: u64,
    /// Last written progress, if any. It may belong to an earlier order.
    pub progress: Option<RolloutProgress>,
}

/// Checks the time from an order to its deadline, in seconds. Fails if it is not above zero or is
/// longer than [`Millis::MAX_STATED`]: an order without a time for its sample would move all
/// requests to a version that nobody has judged.
pub fn parse_rollout_duration(seconds: f64) -> Result<Millis> {
    const MS_PER_SECOND: f64 = 1_000.0;
    match Millis::from_stated("the duration of a roll-out", seconds * MS_PER_SECOND)? {
        Millis(0) => {
            Err(bad_value("the duration of a roll-out", &format!("{seconds} s"), "a time above 0"))
        }
        duration => Ok(duration),
    }
}

/// A progress update to be written to the store, conditional on the order's revision.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgressWrite {
    /// Service of the roll-out.
    pub service: ServiceId,
    /// Revision that the object must still have for the write to succeed.
    pub revision: u64,
    /// Progress to store.
    pub progress: RolloutProgress,
}

/// Properties of a host that determine when it may write a roll-out's progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgressWriter {
    /// Whether the host watches the store and therefore sees the writes of others first.
    pub watches_store: bool,
    /// Whether all hosts send their tallies to this host after the cutover.
    pub collects_tallies: bool,
    /// Hash fraction in [0, 1) that staggers this host's writes against those of similar hosts.
    pub stagger_fraction: f64,
}
