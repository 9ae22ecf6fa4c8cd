//! The messages in which hosts tell each other what they know.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{EndpointKey, FailureDomain, HostId, ServiceId, VersionName};
use crate::traffic::endpoint_limits::ToldLimit;
use crate::traffic::exposure::ToldSession;
use crate::traffic::feeds::Revisions;
use crate::traffic::judge::Tally;
use crate::traffic::outliers::RequestCounts;
use crate::traffic::prefixes::ToldRead;
use crate::traffic::suspects::ToldSuspect;
use crate::traffic::usual::ToldUsual;
use crate::units::Millis;

/// A proof of the configuration, as it is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldProof {
    /// The version that was the newest.
    pub version: u64,
    /// Milliseconds since the proving read began.
    pub age_ms: u64,
}

/// A version that its teller holds bad.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Barred {
    /// The service.
    pub service: ServiceId,
    /// The version.
    pub version: VersionName,
}

/// Counts of a version under roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToldTally {
    /// The service.
    pub service: ServiceId,
    /// The version under roll-out.
    pub version: VersionName,
    /// Milliseconds since the order, as the teller knows it.
    pub age_ms: u64,
    /// The counts.
    pub tally: Tally,
    /// What is usual on the proven versions.
    pub usual: ToldUsual,
}

/// What a host tells of itself, the same for all receivers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Its proof of the configuration.
    pub proof: Option<ToldProof>,
    /// Work it has at endpoints.
    pub loads: Vec<(EndpointKey, u32)>,
    /// How its requests went at endpoints that some host saw fail.
    pub results: Vec<(EndpointKey, RequestCounts)>,
    /// Its counts of roll-outs.
    pub tallies: Vec<ToldTally>,
    /// Versions it holds bad.
    pub barred: Vec<Barred>,
    /// The newest changes of the store it knows.
    pub changed: Revisions,
    /// Up to where it knows the store.
    pub complete: Revisions,
    /// Sessions at work on proven versions of services under roll-out.
    pub sessions: Vec<(ServiceId, Vec<ToldSession>)>,
    /// Where it had shared parts read of late.
    pub reads: Vec<(ServiceId, Vec<ToldRead>)>,
    /// Requests under which endpoints crashed.
    pub suspects: Vec<ToldSuspect>,
    /// Limits that endpoints named.
    pub limits: Vec<ToldLimit>,
}

/// One message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sender.
    pub from: HostId,
    /// Tells two starts of the sender apart.
    pub incarnation: u64,
    /// Where the sender hears messages.
    pub address: SocketAddr,
    /// Where the sender stands.
    pub failure_domain: FailureDomain,
    /// Whether the sender has a link to give many others what it holds.
    pub is_strong: bool,
    /// Whether the sender waits for an answer.
    pub wants_reply: bool,
    /// The sender's clock, in milliseconds. Only the sender makes sense of it.
    pub stamp_ms: u64,
    /// The stamp of the last message that the sender had from the receiver.
    pub echo_ms: Option<u64>,
    /// Other hosts that the sender hears.
    pub hints: Vec<SocketAddr>,
    /// What the sender tells.
    pub news: News,
}

/// A message that its sender wants answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Question {
    /// Where the answer goes.
    pub address: SocketAddr,
    /// The sender's stamp.
    pub stamp_ms: u64,
    /// Whether the sender had not heard this host before.
    pub is_first: bool,
}

impl Question {
    /// Gets the question that a message asks, if any.
    pub fn of(msg: &PeerMessage) -> Option<Question> {
        let is_first = msg.echo_ms.is_none();
        let question = Question { address: msg.address, stamp_ms: msg.stamp_ms, is_first };
        msg.wants_reply.then_some(question)
    }
}

/// What a message proves to its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedProof {
    /// The version that was the newest.
    pub version: u64,
    /// The latest instant, by the receiver's clock, at which the proving read can be relied on to
    /// have begun.
    pub began: Millis,
}
