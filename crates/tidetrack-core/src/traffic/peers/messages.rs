//! The messages in which hosts exchange their state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointKey, FailureDomain, HostId, ServiceId, VersionName};
use crate::traffic::baseline::BaselineReport;
use crate::traffic::endpoint_limits::LimitReport;
use crate::traffic::exposure::SessionReport;
use crate::traffic::fair_share::UsageReport;
use crate::traffic::feeds::Revisions;
use crate::traffic::judge::Tally;
use crate::traffic::outliers::RequestCounts;
use crate::traffic::prefix_index::PrefixReport;
use crate::traffic::suspects::SuspectReport;
use crate::units::Millis;

/// A proof of the configuration, as a host reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProofReport {
    /// The configuration version that the read confirmed as the newest.
    pub version: u64,
    /// Milliseconds since the read began.
    pub age_ms: u64,
}

/// A version that the reporting host bars.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BarredVersion {
    pub service: ServiceId,
    pub version: VersionName,
}

/// One host's tally of a version under roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TallyReport {
    pub service: ServiceId,
    /// The version under roll-out.
    pub version: VersionName,
    /// Milliseconds since the roll-out was ordered, as known to the sender.
    pub age_ms: u64,
    /// The sender's decaying counts of successful, failed and slow responses.
    pub tally: Tally,
    /// The sender's baseline, which comes from the stable versions.
    pub baseline: BaselineReport,
}

/// The state that a host reports about itself. It is the same for all receivers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The sender's proof of the configuration; `None` if it has none.
    pub proof: Option<ProofReport>,
    /// The sender's outstanding work at each endpoint.
    pub loads: Vec<(EndpointKey, u32)>,
    /// Results of the sender's requests at endpoints where some host has seen failures.
    pub results: Vec<(EndpointKey, RequestCounts)>,
    /// The sender's tallies of versions under roll-out.
    pub tallies: Vec<TallyReport>,
    /// Versions that the sender bars.
    pub barred_versions: Vec<BarredVersion>,
    /// For each feed, the revision of the newest change known to the sender.
    pub newest_changes: Revisions,
    /// For each feed, the revision up to which the sender knows every change.
    pub complete_revisions: Revisions,
    /// Active sessions on stable versions of services under roll-out.
    pub sessions: Vec<(ServiceId, Vec<SessionReport>)>,
    /// Endpoints that recently processed prompt prefixes shared by several requests.
    pub prefix_reads: Vec<(ServiceId, Vec<PrefixReport>)>,
    /// Requests that may have crashed endpoints.
    pub suspects: Vec<SuspectReport>,
    /// Rate limits that endpoints have declared.
    pub limits: Vec<LimitReport>,
    /// Refusals per second that endpoints say they bear before they fall over.
    pub brittle: Vec<LimitReport>,
    /// Services to whose endpoints the sender has lost its network paths.
    pub lost_services: Vec<ServiceId>,
    /// Whether the sender is stopping.
    pub is_leaving: bool,
    /// Usage of services by workspace. Empty without load control.
    pub usage: Vec<UsageReport>,
}

/// A message from one host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The host that sends the message.
    pub from: HostId,
    /// Identifies the run of the sender's process; changes with each start.
    pub incarnation: u64,
    /// The address at which the sender receives messages.
    pub address: SocketAddr,
    /// The failure domain that the sender runs in.
    pub failure_domain: FailureDomain,
    /// Whether the sender's link is fast enough to serve many other hosts.
    pub is_well_connected: bool,
    /// Whether the sender expects a reply at once.
    pub wants_reply: bool,
    /// The sender's clock in milliseconds. Only the sender may interpret it.
    pub stamp_ms: u64,
    /// The timestamp of the last message that the sender received from the receiver; `None` if it
    /// has received none.
    pub echo_ms: Option<u64>,
    /// Addresses of other hosts from which the sender receives messages.
    pub known_addresses: Vec<SocketAddr>,
    /// The sender's reported state.
    pub update: PeerUpdate,
}

/// A request for a reply to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyRequest {
    /// The address that the reply is sent to.
    pub address: SocketAddr,
    /// The timestamp of the message, which the reply echoes.
    pub stamp_ms: u64,
    /// Whether the sender had received no message from this host before.
    pub is_first_contact: bool,
}

impl ReplyRequest {
    /// Returns the reply request in a message; `None` if the sender expects no reply.
    pub fn from_message(msg: &PeerMessage) -> Option<ReplyRequest> {
        let is_first_contact = msg.echo_ms.is_none();
        let request =
            ReplyRequest { address: msg.address, stamp_ms: msg.stamp_ms, is_first_contact };
        msg.wants_reply.then_some(request)
    }
}

/// A proof of the configuration that another host relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedProof {
    /// The configuration version that the read confirmed as the newest.
    pub version: u64,
    /// An instant on the receiver's clock that the read did not begin before. It is the echoed
    /// timestamp minus the reported age.
    pub began: Millis,
}
