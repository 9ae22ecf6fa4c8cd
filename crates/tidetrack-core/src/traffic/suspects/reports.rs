//! Reports of suspects between hosts, and the changes that are logged about them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::events::Event;
use crate::ids::EndpointKey;
use crate::traffic::fingerprint::Fingerprint;

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
    },
    /// The request is no longer barred, or an execution of it completed.
    Cleared(Fingerprint),
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
            SuspectChange::Barred { fingerprint, crashes } => {
                write!(f, "fingerprint={fingerprint} crashes={crashes}")
            }
            SuspectChange::Cleared(fingerprint) => write!(f, "fingerprint={fingerprint}"),
        }
    }
}
