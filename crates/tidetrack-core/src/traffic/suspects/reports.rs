//! Reports of suspects between hosts, and the changes that are logged about them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::events::Event;
use crate::ids::EndpointKey;
use crate::traffic::fingerprint::Fingerprint;
use crate::units::Millis;

use super::crashes::Crash;

/// A crash of an endpoint while it ran a suspect request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The endpoint that crashed.
    pub endpoint: EndpointKey,
    /// Hash of the endpoint's failure domain.
    #[serde(rename = "domain")]
    pub domain_hash: u16,
    /// Milliseconds between sending the request to the endpoint and the crash.
    #[serde(rename = "ran_ms")]
    pub run_ms: u32,
    /// Milliseconds since the crash.
    #[serde(rename = "ago_ms")]
    pub age_ms: u32,
}

impl CrashReport {
    /// Returns the crash that a report which was received at `now` describes.
    pub(super) fn at(&self, now: Millis) -> Crash {
        let crashed_at = Millis(now.0.saturating_sub(u64::from(self.age_ms)));
        Crash {
            endpoint: self.endpoint,
            domain_hash: self.domain_hash,
            sent_at: Millis(crashed_at.0.saturating_sub(u64::from(self.run_ms))),
            crashed_at,
        }
    }
}

/// A request that may have crashed endpoints, as hosts report it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The newest crashes, newest first.
    pub crashes: Vec<CrashReport>,
    /// Milliseconds since an execution of the request completed; `None` if none has.
    pub cleared_ms: Option<u32>,
}

/// A change of a suspect's state, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectChange {
    /// The request is barred and gets no more attempts.
    Barred {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Number of crashes that count against the request.
        crashes: usize,
        /// Number of workspaces whose requests crashed endpoints, as far as this host stores them.
        workspaces: usize,
        /// Milliseconds since the last completion that this host knows of; `None` if it knows of none.
        completed_ms: Option<u64>,
    },
    /// The request is no longer barred, or an execution of it completed.
    Cleared(Fingerprint),
}

/// What a host reported and learned about suspects since the counts were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportCounts {
    /// Number of reports of recent changes in messages.
    pub reported: usize,
    /// Number of reports of recent changes for which a message had no room.
    pub deferred: usize,
    /// Number of completions that this host learned of from reports.
    pub completions: usize,
    /// Largest age of such a completion at its arrival.
    pub max_completion_age: Millis,
}

impl fmt::Display for ReportCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ReportCounts { reported, deferred, completions, max_completion_age } = self;
        write!(f, "reported={reported} deferred={deferred} completions={completions} ")?;
        write!(f, "max_completion_age_ms={}", max_completion_age.0)
    }
}

impl SuspectChange {
    /// Returns the event under which the change is logged.
    pub fn event(&self) -> Event {
        match self {
            SuspectChange::Barred { .. } => Event::RequestBarred,
            SuspectChange::Cleared(_) => Event::RequestCleared,
        }
    }
}

impl fmt::Display for SuspectChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SuspectChange::Barred { fingerprint, crashes, workspaces, completed_ms } => {
                write!(f, "fingerprint={fingerprint} crashes={crashes} workspaces={workspaces}")?;
                match completed_ms {
                    Some(ms) => write!(f, " completed_ms={ms}"),
                    None => write!(f, " completed_ms=-"),
                }
            }
            SuspectChange::Cleared(fingerprint) => write!(f, "fingerprint={fingerprint}"),
        }
    }
}
