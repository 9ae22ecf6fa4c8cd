//! Messages that two hosts send each other in an exchange.

use serde::{Deserialize, Serialize};

use crate::evidence::{EvidenceKey, VersionCounts};
use crate::facts::{Fact, Subject};
use crate::ids::{HostId, Incarnation};
use crate::limits::{Loan, LoanRequest};
use crate::membership::Member;
use crate::store::Delta;
use crate::traffic::suspects::SuspectReport;

/// A piece of state that hosts gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Item {
    /// A host and its state.
    Member(Member),
    /// A fact that bars a version or an endpoint from new work.
    Fact(Fact),
    /// The counts that one incarnation observed for one generation of a version.
    Evidence(EvidenceKey, VersionCounts),
}

/// Key of an item: an item replaces an older one with the same key.
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

/// One half of an exchange between two hosts: the request or the reply. The field names are short on the
/// wire because an exchange is sent with every heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exchange {
    /// Incarnation of the sender.
    #[serde(rename = "f")]
    pub from: Incarnation,
    /// Number chosen by the requesting host and returned in the reply.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Sequence number of the sender after which `items` start.
    #[serde(rename = "a")]
    pub after_seq: u64,
    /// Sequence number of the sender up to which `items` are complete.
    #[serde(rename = "s")]
    pub last_seq: u64,
    /// Sequence number of the receiver up to which the sender has all items.
    #[serde(rename = "k")]
    pub acked_seq: u64,
    /// Revision up to which the sender's configuration is complete.
    #[serde(rename = "c")]
    pub complete_to: u64,
    /// Milliseconds since the sender's configuration was confirmed to be the newest; `None` if it never
    /// was.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub confirmation_age_ms: Option<u64>,
    /// Maximum bytes of configuration changes that the requesting host accepts in the reply. 0 accepts
    /// only changes small enough to be pushed; hosts of an earlier release do not send the field.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub max_reply_bytes: Option<usize>,
    /// Configuration changes that the receiver lacks.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub changes: Option<Delta>,
    /// Other state that changed since the receiver's last acknowledgement.
    #[serde(rename = "i", default, skip_serializing_if = "Vec::is_empty")]
    pub items: Vec<Item>,
    /// Requests that may have crashed endpoints.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectReport>,
    /// Loans of workspace limits that the sender requests.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub loan_requests: Vec<LoanRequest>,
    /// Loans of workspace limits that the sender grants.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loans: Vec<Loan>,
}
