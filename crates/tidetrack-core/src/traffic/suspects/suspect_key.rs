//! What evidence about crashes is kept by.

use crate::traffic::fingerprint::{ContentHash, Fingerprint};

/// Identifies a suspect: a request of a workspace, or a prompt part in the requests of all workspaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum SuspectKey {
    Request(Fingerprint),
    Part(ContentHash),
}

impl SuspectKey {
    pub(super) fn is_part(self) -> bool {
        matches!(self, SuspectKey::Part(_))
    }

    /// Returns the fingerprint of the suspect in the requests of a workspace, given by its hash.
    pub(super) fn fingerprint(self, caller: u32) -> Fingerprint {
        match self {
            SuspectKey::Request(fingerprint) => fingerprint,
            SuspectKey::Part(content) => Fingerprint::of_content(caller, content),
        }
    }
}

impl From<Fingerprint> for SuspectKey {
    fn from(fingerprint: Fingerprint) -> SuspectKey {
        match fingerprint.is_part() {
            true => SuspectKey::Part(fingerprint.content()),
            false => SuspectKey::Request(fingerprint),
        }
    }
}
