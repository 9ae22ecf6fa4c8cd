//! What hosts tell each other of requests under which endpoints crashed, and what is logged of them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::events::Event;
use crate::ids::EndpointKey;
use crate::traffic::fingerprint::Fingerprint;

/// The end of an endpoint under a request, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Stands for its failure domain.
    #[serde(rename = "domain")]
    pub domain_hash: u16,
    /// Milliseconds for which the request had been there.
    #[serde(rename = "ran_ms")]
    pub run_ms: u32,
    /// Milliseconds since.
    #[serde(rename = "ago_ms")]
    pub age_ms: u32,
}

/// A request under which endpoints crashed, as hosts tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The newest crashes.
    pub crashes: Vec<CrashReport>,
    /// Milliseconds since a run came to its end, if one did.
    pub cleared_ms: Option<u32>,
}

/// What became of a request under suspicion, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectChange {
    /// It takes no more runs.
    Barred {
        /// The request.
        fingerprint: Fingerprint,
        /// Crashes that count against it.
        crashes: usize,
    },
    /// It is under no suspicion any more.
    Cleared(Fingerprint),
}

impl SuspectChange {
    /// Gets the event that it is logged as.
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
            SuspectChange::Barred { fingerprint, crashes } => {
                write!(f, "fingerprint={fingerprint} crashes={crashes}")
            }
            SuspectChange::Cleared(fingerprint) => write!(f, "fingerprint={fingerprint}"),
        }
    }
}
