//! What two hosts say to each other in an exchange.

use serde::{Deserialize, Serialize};

use crate::evidence::{EvidenceKey, VersionCounts};
use crate::facts::{Fact, Subject};
use crate::ids::{HostId, Incarnation};
use crate::limits::{Loan, LoanAsk};
use crate::membership::Member;
use crate::store::Delta;
use crate::traffic::suspects::ToldSuspect;

/// Something that hosts tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Item {
    /// A host as it is seen.
    Member(Member),
    /// A narrowing fact.
    Fact(Fact),
    /// A cell of evidence.
    Evidence(EvidenceKey, VersionCounts),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ItemKey {
    Fact(Subject),
    Member(HostId),
    Evidence(EvidenceKey),
}

impl Item {
    pub(super) fn key(&self) -> ItemKey {
        match self {
            Item::Member(m) => ItemKey::Member(m.incarnation.host.clone()),
            Item::Fact(f) => ItemKey::Fact(f.subject.clone()),
            Item::Evidence(k, _) => ItemKey::Evidence(k.clone()),
        }
    }
}

/// One half of an exchange between two hosts. Its names are short on the wire: it is sent every beat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// Who says it.
    #[serde(rename = "f")]
    pub from: Incarnation,
    /// Drawn by the asker; the reply gives it back.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// The sender's sequence number after which `items` begin.
    #[serde(rename = "a")]
    pub after_seq: u64,
    /// The sender's sequence number up to which `items` reach.
    #[serde(rename = "s")]
    pub last_seq: u64,
    /// The receiver's sequence number up to which the sender has everything.
    #[serde(rename = "k")]
    pub acked_seq: u64,
    /// The sender's configuration is whole up to this revision.
    #[serde(rename = "c")]
    pub complete_to: u64,
    /// Time since the sender's configuration was confirmed to be the newest.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub confirmation_age_ms: Option<u64>,
    /// Bytes of changes that the asker has room for in the reply; 0 is room for a small run only, and
    /// absent is what hosts of an earlier release say.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub max_reply_bytes: Option<usize>,
    /// Changes of the configuration that the receiver lacks.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Delta>,
    /// What else changed.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub items: Vec<Item>,
    /// Requests under which endpoints crashed.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<ToldSuspect>,
    /// Shares wanted.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub loan_requests: Vec<LoanAsk>,
    /// Shares lent.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loans: Vec<Loan>,
}
