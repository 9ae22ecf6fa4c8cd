//! What hosts tell each other, and what one host makes of it.
//!
//! Every few hundred milliseconds a host sends a small message to a few others, in turn. Lost ones
//! don't matter, for each tells the present state: the host's own load on endpoints, its counts of a
//! roll-out, versions it holds bad, and how old its proof of the configuration is. The number of
//! messages a host sends doesn't grow with the fleet; what it hears of each other host is older then.
//!
//! A proof can be passed on without comparing clocks: a host's message repeats the sender's stamp of
//! the last message it got from the receiver. The receiver knows that its stamp was made before the
//! answer, so the proof began no later than its own stamp less the age that was told.
//!
//! In a large fleet the last message of most hosts is seconds old, and so is what it proves. A host
//! whose proof grows old therefore asks one of those that prove the configuration, which answers at
//! once.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{EndpointKey, FailureDomain, HostId, ServiceId, VersionName};
use crate::placement::rendezvous;
use crate::traffic::feeds::FeedKind;
use crate::traffic::judge::Tally;
use crate::traffic::outliers::Results;
use crate::traffic::usual::ToldUsual;
use crate::units::Millis;

mod messages;

pub use messages::{
    BarredVersion, PeerMessage, PeerUpdate, ProofReport, RelayedProof, ReplyRequest, TallyReport,
};

/// Hosts that one round of messages goes to.
const FANOUT: usize = 8;

/// A host that was not heard for this time is gone, in a fleet in which a round reaches all.
const PEER_TIMEOUT: Millis = Millis(3_000);

/// Rounds come this often.
pub const ROUND_INTERVAL: Millis = Millis(250);

/// In a large fleet a host is gone when so many turns of its passed in silence: two messages in a row
/// may be lost by chance, on links that lose a few in a hundred.
const MAX_MISSED_CYCLES: u64 = 3;

/// Loads older than this are not counted any more.
const MAX_LOAD_AGE: Millis = Millis(1_500);

/// Addresses of other hosts that a message names.
const ADDRESSES_PER_MESSAGE: usize = 6;

/// Addresses that the answer to a host's first message names: enough that a host which starts knows
/// most of some hundred others after a few answers.
const ADDRESSES_IN_FIRST_REPLY: usize = 48;

/// Hosts of a failure domain that watch the store. Two, for one may be cut off from it unnoticed.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Hosts of a fleet that prove the configuration themselves at short intervals.
const MAX_PROVERS: usize = 3;

/// Another host, as far as it is known.
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

/// The last word of a host that ended on a roll-out. A fleet whose hosts are replaced one after another
/// would know a version by the answers of the last seconds only.
#[derive(Clone, Debug)]
struct DepartedTally {
    from: HostId,
    incarnation: u64,
    received_at: Millis,
    report: TallyReport,
}

/// All other hosts.
#[derive(Clone, Debug)]
pub struct PeerTable {
    host: HostId,
    incarnation: u64,
    address: SocketAddr,
    failure_domain: FailureDomain,
    is_well_connected: bool,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<HostId, Peer>,
    /// What hosts that ended counted of roll-outs.
    departed_tallies: Vec<DepartedTally>,
    unconfirmed_addresses: BTreeMap<SocketAddr, Millis>,
    receiver_offset: usize,
    /// Counts the questions for a proof, to ask another host each time.
    request_count: usize,
}

impl PeerTable {
    /// Makes a book of a host that knows only where some others may be.
    pub fn new(
        host: HostId,
        address: SocketAddr,
        failure_domain: FailureDomain,
        seeds: Vec<SocketAddr>,
    ) -> PeerTable {
        let seeds = seeds.into_iter().filter(|s| *s != address).collect();
        // Hosts begin at different places: what several know must not go to the same few at once.
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

    /// Names this start of the host.
    pub fn with_incarnation(self, incarnation: u64) -> PeerTable {
        PeerTable { incarnation, ..self }
    }

    /// Tells whether this host has a link to give many others what it holds.
    pub fn with_well_connected(self, is_well_connected: bool) -> PeerTable {
        PeerTable { is_well_connected, ..self }
    }

    /// Takes a message; gives back the proof it carries, if it is one for this host.
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
            self.retain_tallies(&msg.from, previous);
        }
        // It had only fallen silent.
        self.departed_tallies.retain(|departed| {
            departed.from != msg.from || departed.incarnation != msg.incarnation
        });
        let peer = Peer {
            incarnation: msg.incarnation,
            address: msg.address,
            failure_domain: msg.failure_domain,
            is_well_connected: msg.is_well_connected,
            received_at: now,
            stamp_ms: msg.stamp_ms,
            update: msg.update,
        };
        self.peers.insert(msg.from, peer);
        proof
    }

    /// Forgets hosts that fell silent; lists them.
    pub fn remove_silent_peers(&mut self, now: Millis) -> Vec<HostId> {
        self.unconfirmed_addresses.retain(|_, since| now < *since + PEER_TIMEOUT);
        let gone_after = Millis(PEER_TIMEOUT.0.max(self.cycle_time().0 * MAX_MISSED_CYCLES));
        let is_gone = |p: &Peer| now >= p.received_at + gone_after;
        let gone: Vec<HostId> =
            self.peers.iter().filter(|(_, p)| is_gone(p)).map(|(h, _)| h.clone()).collect();
        for host in &gone {
            if let Some(peer) = self.peers.remove(host) {
                self.retain_tallies(host, peer);
            }
        }
        gone
    }

    /// Keeps what a host counted of roll-outs that has ended.
    fn retain_tallies(&mut self, from: &HostId, peer: Peer) {
        let Peer { incarnation, received_at, update, .. } = peer;
        let departed =
            |report| DepartedTally { from: from.clone(), incarnation, received_at, report };
        self.departed_tallies.extend(update.tallies.into_iter().map(departed));
    }

    /// Forgets what ended hosts counted of roll-outs that are over.
    pub fn remove_tallies(&mut self, is_over: impl Fn(&TallyReport) -> bool) {
        self.departed_tallies.retain(|departed| !is_over(&departed.report));
    }

    /// Makes the messages of one round, with their receivers.
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

    /// Makes first messages to hosts that were not heard yet.
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

    /// Gets a host that knows a kind up to a revision and can give it, but for one that could not: of the own failure
    /// domain and with a strong link where there is such a one, and not the same one for all that ask.
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

    /// Lists the addresses at which hosts may be that were not heard yet.
    fn list_unconfirmed_addresses(&self) -> Vec<SocketAddr> {
        let is_known = |address: &SocketAddr| self.peers.values().any(|p| p.address == *address);
        self.seeds
            .iter()
            .chain(self.unconfirmed_addresses.keys())
            .filter(|a| !is_known(a))
            .copied()
            .collect()
    }

    /// Gets the place of the next receiver among the hosts that are heard.
    fn receiver_index(&self) -> usize {
        self.receiver_offset % self.peers.len().max(1)
    }

    /// Makes a message to a host whose last stamp was `echo_ms`.
    fn build_message(
        &self,
        now: Millis,
        echo_ms: Option<u64>,
        known_addresses: usize,
        update: &PeerUpdate,
    ) -> PeerMessage {
        let known = self.peers.values().map(|p| p.address);
        let known_addresses = known_addresses.min(self.peers.len());
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
                .take(known_addresses)
                .collect(),
            update: update.clone(),
        }
    }

    /// Answers a question that came just now; a host's first one is answered with many hints, of them first hosts
    /// that can give it what they hold.
    pub fn build_reply(
        &self,
        now: Millis,
        request: &ReplyRequest,
        update: &PeerUpdate,
    ) -> PeerMessage {
        let known_addresses =
            if request.is_first_contact { ADDRESSES_IN_FIRST_REPLY } else { ADDRESSES_PER_MESSAGE };
        let mut reply = self.build_message(now, Some(request.stamp_ms), known_addresses, update);
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

    /// Lists the other hosts that prove the configuration.
    fn provers(&self) -> Vec<&Peer> {
        let mut provers: Vec<(Rank, &Peer)> = self
            .peers
            .iter()
            .map(|(host, p)| (prover_rank(p.is_well_connected, host), p))
            .collect();
        provers.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        provers.into_iter().take(MAX_PROVERS).map(|(_, peer)| peer).collect()
    }

    /// Makes messages to the hosts that prove the configuration, beside a round: what a large fleet counts within a
    /// second is known to few hosts in time.
    pub fn prover_messages(
        &self,
        now: Millis,
        update: &PeerUpdate,
    ) -> Vec<(SocketAddr, PeerMessage)> {
        let message = |p: &Peer| (p.address, self.build_message(now, Some(p.stamp_ms), 0, update));
        self.provers().into_iter().map(message).collect()
    }

    /// Asks one of the hosts that prove the configuration, another one each time.
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

    /// Sums the work that the other hosts have at endpoints.
    pub fn loads(&self, now: Millis) -> HashMap<EndpointKey, u64> {
        let mut loads = HashMap::new();
        for peer in self.peers.values().filter(|p| now < p.received_at + MAX_LOAD_AGE) {
            for (key, work) in &peer.update.loads {
                *loads.entry(*key).or_default() += u64::from(*work);
            }
        }
        loads
    }

    /// Sums how the other hosts' requests went at endpoints that some host saw fail.
    pub fn results(&self, now: Millis) -> HashMap<EndpointKey, Results> {
        let mut results: HashMap<EndpointKey, Results> = HashMap::new();
        for peer in self.peers.values() {
            for (key, report) in &peer.update.results {
                let sum = results.entry(*key).or_default();
                *sum = sum.plus(report.as_told(now - peer.received_at));
            }
        }
        results
    }

    /// Lists the other hosts' counts of a roll-out, with their ages; those of hosts that ended too.
    pub fn tallies<'a>(
        &'a self,
        now: Millis,
        service: &'a ServiceId,
        version: &'a VersionName,
    ) -> impl Iterator<Item = (Tally, Millis)> + 'a {
        let all = self.tally_reports(service, version);
        all.map(move |(report, received_at)| (report.tally.clone(), now - received_at))
    }

    /// Lists what the other hosts hold for usual beside a version under roll-out.
    pub fn baselines<'a>(
        &'a self,
        service: &'a ServiceId,
        version: &'a VersionName,
    ) -> impl Iterator<Item = &'a ToldUsual> + 'a {
        self.tally_reports(service, version).map(|(report, _)| &report.baseline)
    }

    /// Lists what was told of a version under roll-out, and when; also by hosts that ended.
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

    /// Tells whether another host holds a version bad.
    pub fn is_barred(&self, service: &ServiceId, version: &VersionName) -> bool {
        let is_match = |b: &BarredVersion| b.service == *service && b.version == *version;
        self.peers.values().any(|p| p.update.barred_versions.iter().any(is_match))
    }

    /// Tells whether this host is one of the few that prove the configuration themselves. Every host
    /// ranks those it hears alike; where they hear different ones, a few more or fewer prove, and a
    /// host without a relayed proof proves for itself.
    pub fn is_prover(&self) -> bool {
        let own_rank = prover_rank(self.is_well_connected, &self.host);
        let higher_ranked =
            self.peers.iter().filter(|(host, p)| prover_rank(p.is_well_connected, host) > own_rank);
        higher_ranked.count() < MAX_PROVERS
    }

    /// Tells whether this host is one of the few of its failure domain that watch the store.
    pub fn is_watcher(&self) -> bool {
        let own_rank = watcher_rank(self.is_well_connected, &self.host);
        self.ranked_local_peers().filter(|(rank, _)| *rank > own_rank).count() < WATCHERS_PER_DOMAIN
    }

    /// Tells whether this host is one of the first so many for a job, those of a failure domain before others.
    pub fn is_ranked_within(&self, job: &str, domain: &FailureDomain, count: usize) -> bool {
        let rank =
            |host: &HostId, of: &FailureDomain| (of == domain, rendezvous(job, host.as_str()));
        let own_rank = rank(&self.host, &self.failure_domain);
        let higher_ranked =
            self.peers.iter().filter(|(host, p)| rank(host, &p.failure_domain) > own_rank);
        higher_ranked.take(count).count() < count
    }

    /// Ranks the other hosts of the failure domain for watching the store.
    fn ranked_local_peers(&self) -> impl Iterator<Item = (Rank, &Peer)> {
        let local = self.peers.iter().filter(|(_, p)| self.is_local_domain(&p.failure_domain));
        local.map(|(host, p)| (watcher_rank(p.is_well_connected, host), p))
    }

    /// Tells whether a failure domain is this host's own.
    pub fn is_local_domain(&self, failure_domain: &FailureDomain) -> bool {
        *failure_domain == self.failure_domain
    }

    /// Gets the time in which a host has sent one message to each other.
    pub fn cycle_time(&self) -> Millis {
        Millis(ROUND_INTERVAL.0 * self.peers.len().div_ceil(FANOUT) as u64)
    }

    /// Gets the time within which news that hosts pass on has gone from one host to all others.
    pub fn propagation_time(&self) -> Millis {
        let hops = (self.peers.len().max(1) as f64).log(FANOUT as f64).ceil().max(1.0) as u64;
        // One round more, for a message may be lost.
        Millis(ROUND_INTERVAL.0 * (hops + 1))
    }

    /// Counts the other hosts that are heard.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Tells whether no other host is heard.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }
}

/// A host's place among those that may do something for others: strong ones go first.
type Rank = (bool, u64);

/// Ranks hosts for proving the configuration.
fn prover_rank(is_well_connected: bool, host: &HostId) -> Rank {
    (is_well_connected, rendezvous("prover", host.as_str()))
}

/// Ranks hosts for watching the store.
fn watcher_rank(is_well_connected: bool, host: &HostId) -> Rank {
    (is_well_connected, rendezvous("watch", host.as_str()))
}
