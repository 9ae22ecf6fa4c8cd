//! State exchanged between hosts, and one host's view of the others.
//!
//! Every few hundred milliseconds a host sends a small message to a few other hosts, in rotation. A
//! lost message does no harm, because each one carries the complete current state: the host's own
//! load on endpoints, its tallies of a roll-out, the versions that it bars, and the age of its
//! proof of the configuration. The number of messages that a host sends does not grow with the
//! fleet; in a larger fleet the information about each other host is older instead.
//!
//! A proof is a read of the configuration that confirmed its newest version, with the age of that
//! read. It can be relayed without comparing clocks: each message echoes the timestamp of the last
//! message that its sender received from its receiver. The receiver knows that it made this
//! timestamp before the sender replied, so the read began no earlier than the echoed timestamp
//! minus the reported age.
//!
//! In a large fleet the last message from most hosts is seconds old, and so is the proof in it. A
//! host whose proof becomes old therefore queries one of the provers, the hosts that read the
//! configuration for others, and receives a reply at once.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{EndpointKey, FailureDomain, HostId, ServiceId, VersionName};
use crate::traffic::baseline::BaselineReport;
use crate::traffic::fair_share::{sum_reports, RemoteUsage};
use crate::traffic::feeds::FeedKind;
use crate::traffic::forwarding::{max_silence, ForwardTarget};
use crate::traffic::judge::Tally;
use crate::traffic::outliers::RequestCounts;
use crate::units::Millis;

mod messages;
mod roles;

pub use roles::holder_rank;

pub use messages::{
    BarredVersion, PeerMessage, PeerUpdate, ProofReport, RelayedProof, ReplyRequest, TallyReport,
};

/// Number of hosts that receive the messages of one round.
const FANOUT: usize = 8;

/// Time without a message after which a host is removed, in a fleet small enough for one round to
/// reach all hosts.
const PEER_TIMEOUT: Millis = Millis(3_000);

/// Interval between rounds of messages.
pub const ROUND_INTERVAL: Millis = Millis(250);

/// Number of silent cycles after which a host is removed in a large fleet. Two consecutive messages
/// may be lost by chance on links that lose a few percent of their packets.
const MAX_MISSED_CYCLES: u64 = 3;

/// Age from which a reported load is ignored.
const MAX_LOAD_AGE: Millis = Millis(1_500);

/// Maximum number of other hosts' addresses in a message.
const ADDRESSES_PER_MESSAGE: usize = 6;

/// Maximum number of addresses in the reply to a host's first message. With this many, a starting
/// host knows most of a hundred other hosts after a few replies.
const ADDRESSES_IN_FIRST_REPLY: usize = 48;

/// The last known state of another host.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    address: SocketAddr,
    failure_domain: FailureDomain,
    is_well_connected: bool,
    received_at: Millis,
    stamp_ms: u64,
    update: PeerUpdate,
}

/// The last tally that a departed host reported for a roll-out. Without it, in a fleet whose hosts
/// are replaced one after another, a version would be judged only by the responses of the last few
/// seconds.
#[derive(Clone, Debug)]
struct DepartedTally {
    from: HostId,
    incarnation: u64,
    received_at: Millis,
    report: TallyReport,
}

/// The other hosts of the fleet and the state that they last reported.
#[derive(Clone, Debug)]
pub struct PeerTable {
    host: HostId,
    incarnation: u64,
    address: SocketAddr,
    failure_domain: FailureDomain,
    is_well_connected: bool,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<HostId, Peer>,
    /// Roll-out tallies of hosts that stopped or restarted.
    departed_tallies: Vec<DepartedTally>,
    unconfirmed_addresses: BTreeMap<SocketAddr, Millis>,
    receiver_offset: usize,
    /// Counts queries for proofs and changes, so that each goes to another host.
    request_count: usize,
}

impl PeerTable {
    /// Creates a table that contains no other host yet, only the seed addresses to contact.
    pub fn new(
        host: HostId,
        address: SocketAddr,
        failure_domain: FailureDomain,
        seeds: Vec<SocketAddr>,
    ) -> PeerTable {
        let seeds = seeds.into_iter().filter(|s| *s != address).collect();
        // Each host starts its rotation at another position. Otherwise all hosts that know the same
        // peers would send to the same few at once.
        let start = xxh3_64(host.as_str().as_bytes()) as usize;
        PeerTable {
            host,
            incarnation: 0,
            address,
            failure_domain,
            is_well_connected: false,
            seeds,
            peers: BTreeMap::new(),
            departed_tallies: Vec::new(),
            unconfirmed_addresses: BTreeMap::new(),
            receiver_offset: start,
            request_count: start,
        }
    }

    /// Sets the incarnation, which identifies this run of the host's process.
    pub fn with_incarnation(self, incarnation: u64) -> PeerTable {
        PeerTable { incarnation, ..self }
    }

    /// Sets whether this host's link is fast enough to serve many other hosts.
    pub fn with_well_connected(self, is_well_connected: bool) -> PeerTable {
        PeerTable { is_well_connected, ..self }
    }

    /// Stores the state in a message and returns the proof that it relays, if it echoes a timestamp
    /// of this host.
    pub fn receive(&mut self, now: Millis, msg: PeerMessage) -> Option<RelayedProof> {
        if msg.from == self.host {
            return None;
        }
        self.unconfirmed_addresses.remove(&msg.address);
        for address in msg.known_addresses {
            let is_known =
                address == self.address || self.peers.values().any(|p| p.address == address);
            if !is_known {
                self.unconfirmed_addresses.entry(address).or_insert(now);
            }
        }
        let proof = msg.update.proof.zip(msg.echo_ms).map(|(proof, echo_ms)| RelayedProof {
            version: proof.version,
            began: Millis(echo_ms.min(now.0).saturating_sub(proof.age_ms)),
        });
        let previous_incarnation =
            self.peers.get(&msg.from).filter(|p| p.incarnation != msg.incarnation);
        if let Some(previous) = previous_incarnation.cloned() {
            self.store_departed_tallies(&msg.from, previous);
        }
        // A host that is heard again under the same incarnation was only silent, so its tallies are
        // no longer those of a departed host.
        self.departed_tallies.retain(|departed| {
            departed.from != msg.from || departed.incarnation != msg.incarnation
        });
        let mut update = msg.update;
        for report in std::mem::take(&mut update.load_control.call_times) {
            let is_same =
                |t: &&mut TallyReport| t.service == report.service && t.version == report.version;
            if let Some(tally_report) = update.tallies.iter_mut().find(is_same) {
                tally_report.tally.samples.call_times = report.times;
            }
        }
        let peer = Peer {
            incarnation: msg.incarnation,
            address: msg.address,
            failure_domain: msg.failure_domain,
            is_well_connected: msg.is_well_connected,
            received_at: now,
            stamp_ms: msg.stamp_ms,
            update,
        };
        self.peers.insert(msg.from, peer);
        proof
    }

    /// Removes hosts that have been silent for too long and returns them.
    pub fn remove_silent_peers(&mut self, now: Millis) -> Vec<HostId> {
        self.unconfirmed_addresses.retain(|_, since| now < *since + PEER_TIMEOUT);
        let silence_timeout = Millis(PEER_TIMEOUT.0.max(self.cycle_time().0 * MAX_MISSED_CYCLES));
        let is_silent = |p: &Peer| now >= p.received_at + silence_timeout;
        let silent_hosts: Vec<HostId> =
            self.peers.iter().filter(|(_, p)| is_silent(p)).map(|(h, _)| h.clone()).collect();
        for host in &silent_hosts {
            if let Some(peer) = self.peers.remove(host) {
                self.store_departed_tallies(host, peer);
            }
        }
        silent_hosts
    }

    /// Keeps the roll-out tallies of a host that stopped or restarted.
    fn store_departed_tallies(&mut self, from: &HostId, peer: Peer) {
        let Peer { incarnation, received_at, update, .. } = peer;
        let departed =
            |report| DepartedTally { from: from.clone(), incarnation, received_at, report };
        self.departed_tallies.extend(update.tallies.into_iter().map(departed));
    }

    /// Removes the tallies of departed hosts for roll-outs that are finished.
    pub fn remove_departed_tallies(&mut self, is_finished: impl Fn(&TallyReport) -> bool) {
        self.departed_tallies.retain(|departed| !is_finished(&departed.report));
    }

    /// Builds the messages of one round, each with the address of its receiver.
    pub fn round_messages(
        &mut self,
        now: Millis,
        update: &PeerUpdate,
    ) -> Vec<(SocketAddr, PeerMessage)> {
        let known = self.peers.values().map(|p| (p.address, Some(p.stamp_ms)));
        let receivers: Vec<(SocketAddr, Option<u64>)> =
            known.cycle().skip(self.receiver_index()).take(self.peers.len().min(FANOUT)).collect();
        let mut messages: Vec<(SocketAddr, PeerMessage)> = receivers
            .into_iter()
            .map(|(address, echo_ms)| {
                (address, self.build_message(now, echo_ms, ADDRESSES_PER_MESSAGE, update))
            })
            .collect();
        messages.extend(self.first_contact_messages(now, update));
        messages
    }

    /// Builds first messages to addresses from which no message has been received yet.
    pub fn first_contact_messages(
        &mut self,
        now: Millis,
        update: &PeerUpdate,
    ) -> Vec<(SocketAddr, PeerMessage)> {
        let unconfirmed: Vec<SocketAddr> = self.list_unconfirmed_addresses();
        let offset = self.receiver_offset % unconfirmed.len().max(1);
        let messages = unconfirmed.iter().cycle().skip(offset).take(unconfirmed.len().min(FANOUT));
        let messages = messages.map(|address| {
            let message = self.build_message(now, None, ADDRESSES_PER_MESSAGE, update);
            (*address, PeerMessage { wants_reply: true, ..message })
        });
        let messages = messages.collect();
        self.receiver_offset = self.receiver_offset.wrapping_add(FANOUT);
        messages
    }

    /// Selects a host that has every change of a kind up to `revision`, other than `excluded`.
    /// Prefers hosts in the local failure domain, then well-connected ones, and rotates among
    /// equals so that not all queries go to the same host.
    pub fn pick_holder(
        &mut self,
        kind: FeedKind,
        revision: u64,
        excluded: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let holds = |p: &&Peer| {
            p.update.complete_revisions.get(kind) >= revision && Some(p.address) != excluded
        };
        let rank = |p: &Peer| (self.is_local_domain(&p.failure_domain), p.is_well_connected);
        let best = self.peers.values().filter(holds).map(rank).max()?;
        let all: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|p| holds(p) && rank(p) == best)
            .map(|p| p.address)
            .collect();
        self.request_count = self.request_count.wrapping_add(1);
        Some(all[self.request_count % all.len()])
    }

    /// Reports whether there are seed or learned addresses from which no message has been received yet.
    pub fn has_unconfirmed_addresses(&self) -> bool {
        !self.list_unconfirmed_addresses().is_empty()
    }

    /// Returns the seed and learned addresses from which no message has been received yet.
    fn list_unconfirmed_addresses(&self) -> Vec<SocketAddr> {
        let is_known = |address: &SocketAddr| self.peers.values().any(|p| p.address == *address);
        self.seeds
            .iter()
            .chain(self.unconfirmed_addresses.keys())
            .filter(|a| !is_known(a))
            .copied()
            .collect()
    }

    /// Returns the index of the next receiver among the known hosts.
    fn receiver_index(&self) -> usize {
        self.receiver_offset % self.peers.len().max(1)
    }

    /// Builds a message to a host whose last timestamp was `echo_ms`, with up to `address_count`
    /// addresses of other hosts.
    fn build_message(
        &self,
        now: Millis,
        echo_ms: Option<u64>,
        address_count: usize,
        update: &PeerUpdate,
    ) -> PeerMessage {
        let known = self.peers.values().map(|p| p.address);
        let address_count = address_count.min(self.peers.len());
        PeerMessage {
            from: self.host.clone(),
            incarnation: self.incarnation,
            address: self.address,
            failure_domain: self.failure_domain.clone(),
            is_well_connected: self.is_well_connected,
            wants_reply: false,
            stamp_ms: now.0,
            echo_ms,
            known_addresses: known
                .cycle()
                .skip(self.receiver_index())
                .take(address_count)
                .collect(),
            update: update.clone(),
        }
    }

    /// Builds the reply to a request that has just been received. The reply to a host's first
    /// message contains many addresses, beginning with well-connected hosts, which can serve it the
    /// state that it lacks.
    pub fn build_reply(
        &self,
        now: Millis,
        request: &ReplyRequest,
        update: &PeerUpdate,
    ) -> PeerMessage {
        let address_count =
            if request.is_first_contact { ADDRESSES_IN_FIRST_REPLY } else { ADDRESSES_PER_MESSAGE };
        let mut reply = self.build_message(now, Some(request.stamp_ms), address_count, update);
        if request.is_first_contact {
            let well_connected =
                self.peers.values().filter(|p| p.is_well_connected).map(|p| p.address);
            let others = reply.known_addresses.iter().copied();
            let addresses: Vec<SocketAddr> =
                well_connected.take(ADDRESSES_IN_FIRST_REPLY / 2).chain(others).collect();
            reply.known_addresses = addresses;
            reply.known_addresses.truncate(ADDRESSES_IN_FIRST_REPLY);
        }
        reply
    }

    /// Builds messages to the provers, in addition to those of a round. In a large fleet, tallies
    /// that change within a second would otherwise reach few hosts in time.
    pub fn prover_messages(
        &self,
        now: Millis,
        update: &PeerUpdate,
    ) -> Vec<(SocketAddr, PeerMessage)> {
        let message = |p: &Peer| (p.address, self.build_message(now, Some(p.stamp_ms), 0, update));
        self.provers().into_iter().map(message).collect()
    }

    /// Builds a query for a fresh proof to one of the provers, to another one with each call.
    pub fn proof_request(
        &mut self,
        now: Millis,
        update: &PeerUpdate,
    ) -> Option<(SocketAddr, PeerMessage)> {
        let provers = self.provers();
        let peer = *provers.get(self.request_count % provers.len().max(1))?;
        let message = PeerMessage {
            wants_reply: true,
            ..self.build_message(now, Some(peer.stamp_ms), 0, update)
        };
        let address = peer.address;
        self.request_count = self.request_count.wrapping_add(1);
        Some((address, message))
    }

    /// Returns the hosts that were heard lately, as targets of forwarded requests.
    pub fn forward_targets(&self, now: Millis) -> Vec<ForwardTarget> {
        let silence = max_silence(self.cycle_time());
        let heard = self.peers.iter().filter(|(_, p)| now < p.received_at + silence);
        let target = |(host, p): (&HostId, &Peer)| ForwardTarget {
            host: host.clone(),
            address: p.address,
            failure_domain: p.failure_domain.clone(),
            is_local: self.is_local_domain(&p.failure_domain),
            is_leaving: p.update.is_leaving,
            lost_services: p.update.lost_services.clone(),
        };
        heard.map(target).collect()
    }

    /// Returns the share of the other hosts that `loads` contains; 1 if there are none.
    pub fn heard_share(&self, now: Millis) -> f64 {
        let heard = self.peers.values().filter(|p| now < p.received_at + MAX_LOAD_AGE).count();
        if self.is_empty() {
            1.0
        } else {
            heard as f64 / self.len() as f64
        }
    }

    /// Sums the outstanding work of the other hosts at each endpoint.
    pub fn loads(&self, now: Millis) -> HashMap<EndpointKey, u64> {
        let mut loads = HashMap::new();
        for peer in self.peers.values().filter(|p| now < p.received_at + MAX_LOAD_AGE) {
            for (key, work) in &peer.update.loads {
                *loads.entry(*key).or_default() += u64::from(*work);
            }
        }
        loads
    }

    /// Sums the usage of services by workspace at the other hosts.
    pub fn usage(&self, now: Millis) -> HashMap<ServiceId, RemoteUsage> {
        let peers = self.peers.values();
        sum_reports(peers.flat_map(|p| {
            p.update.load_control.usage.iter().map(move |r| (r, now - p.received_at))
        }))
    }

    /// Sums the other hosts' results at endpoints where some host has seen failures.
    pub fn results(&self, now: Millis) -> HashMap<EndpointKey, RequestCounts> {
        let mut results: HashMap<EndpointKey, RequestCounts> = HashMap::new();
        for peer in self.peers.values() {
            for (key, report) in &peer.update.results {
                let sum = results.entry(*key).or_default();
                *sum = sum.plus(report.as_reported(now - peer.received_at));
            }
        }
        results
    }

    /// Returns the tallies that other hosts reported for a version under roll-out, with their ages.
    /// Tallies of departed hosts are included.
    pub fn tallies<'a>(
        &'a self,
        now: Millis,
        service: &'a ServiceId,
        version: &'a VersionName,
    ) -> impl Iterator<Item = (Tally, Millis)> + 'a {
        let all = self.tally_reports(service, version);
        all.map(move |(report, received_at)| (report.tally.clone(), now - received_at))
    }

    /// Returns the baselines that other hosts reported with their tallies of a version under
    /// roll-out.
    pub fn baselines<'a>(
        &'a self,
        service: &'a ServiceId,
        version: &'a VersionName,
    ) -> impl Iterator<Item = &'a BaselineReport> + 'a {
        self.tally_reports(service, version).map(|(report, _)| &report.baseline)
    }

    /// Returns the reports for a version under roll-out with the times at which they were received.
    /// Reports of departed hosts are included.
    fn tally_reports<'a>(
        &'a self,
        service: &'a ServiceId,
        version: &'a VersionName,
    ) -> impl Iterator<Item = (&'a TallyReport, Millis)> + 'a {
        let current = self
            .peers
            .values()
            .flat_map(|p| p.update.tallies.iter().map(move |report| (report, p.received_at)));
        let all = current.chain(
            self.departed_tallies.iter().map(|departed| (&departed.report, departed.received_at)),
        );
        all.filter(move |(report, _)| report.service == *service && report.version == *version)
    }

    /// Reports whether another host bars a version.
    pub fn is_barred(&self, service: &ServiceId, version: &VersionName) -> bool {
        let is_match = |b: &BarredVersion| b.service == *service && b.version == *version;
        self.peers.values().any(|p| p.update.barred_versions.iter().any(is_match))
    }

    /// Reports whether a failure domain is the one that this host runs in.
    pub fn is_local_domain(&self, failure_domain: &FailureDomain) -> bool {
        *failure_domain == self.failure_domain
    }

    /// Returns the time in which a host sends one message to each other host.
    pub fn cycle_time(&self) -> Millis {
        Millis(ROUND_INTERVAL.0 * self.peers.len().div_ceil(FANOUT) as u64)
    }

    /// Returns the time in which an update that hosts pass on reaches all hosts.
    pub fn propagation_time(&self) -> Millis {
        let hops = (self.peers.len().max(1) as f64).log(FANOUT as f64).ceil().max(1.0) as u64;
        // One extra round allows for a lost message.
        Millis(ROUND_INTERVAL.0 * (hops + 1))
    }

    /// Returns the number of other hosts that are known.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Reports whether no other host is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}
