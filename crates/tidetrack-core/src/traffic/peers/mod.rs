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
use crate::traffic::feeds::Kind;
use crate::traffic::judge::Tally;
use crate::traffic::outliers::RequestCounts;
use crate::traffic::usual::ToldUsual;
use crate::units::Millis;

mod messages;

pub use messages::{Barred, News, PeerMessage, Question, RelayedProof, ToldProof, ToldTally};

/// Hosts that one round of messages goes to.
const FANOUT: usize = 8;

/// A host that was not heard for this time is gone, in a fleet in which a round reaches all.
const GONE_AFTER: Millis = Millis(3_000);

/// Rounds come this often.
pub const ROUND_EVERY: Millis = Millis(250);

/// In a large fleet a host is gone when so many turns of its passed in silence: two messages in a row
/// may be lost by chance, on links that lose a few in a hundred.
const TURNS_MISSED: u64 = 3;

/// Loads older than this are not counted any more.
const LOAD_KEPT: Millis = Millis(1_500);

/// Addresses of other hosts that a message names.
const HINTS: usize = 6;

/// Addresses that the answer to a host's first message names: enough that a host which starts knows
/// most of some hundred others after a few answers.
const FIRST_HINTS: usize = 48;

/// Hosts of a failure domain that watch the store. Two, for one may be cut off from it unnoticed.
const WATCHERS: usize = 2;

/// Hosts of a fleet that prove the configuration themselves at short intervals.
const PROVERS: usize = 3;

/// Another host, as far as it is known.
#[derive(Clone, Debug)]
struct Peer {
    incarnation: u64,
    address: SocketAddr,
    failure_domain: FailureDomain,
    is_strong: bool,
    heard_at: Millis,
    stamp_ms: u64,
    news: News,
}

/// The last word of a host that ended on a roll-out. A fleet whose hosts are replaced one after another
/// would know a version by the answers of the last seconds only.
#[derive(Clone, Debug)]
struct LeftTally {
    from: HostId,
    incarnation: u64,
    heard_at: Millis,
    told: ToldTally,
}

/// All other hosts.
#[derive(Clone, Debug)]
pub struct PeerBook {
    host: HostId,
    incarnation: u64,
    address: SocketAddr,
    failure_domain: FailureDomain,
    is_strong: bool,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<HostId, Peer>,
    /// What hosts that ended counted of roll-outs.
    left: Vec<LeftTally>,
    hinted: BTreeMap<SocketAddr, Millis>,
    turn: usize,
    /// Counts the questions for a proof, to ask another host each time.
    asked: usize,
}

impl PeerBook {
    /// Makes a book of a host that knows only where some others may be.
    pub fn new(
        host: HostId,
        address: SocketAddr,
        failure_domain: FailureDomain,
        seeds: Vec<SocketAddr>,
    ) -> PeerBook {
        let seeds = seeds.into_iter().filter(|s| *s != address).collect();
        // Hosts begin at different places: what several know must not go to the same few at once.
        let start = xxh3_64(host.as_str().as_bytes()) as usize;
        PeerBook {
            host,
            incarnation: 0,
            address,
            failure_domain,
            is_strong: false,
            seeds,
            peers: BTreeMap::new(),
            left: Vec::new(),
            hinted: BTreeMap::new(),
            turn: start,
            asked: start,
        }
    }

    /// Names this start of the host.
    pub fn started_as(self, incarnation: u64) -> PeerBook {
        PeerBook { incarnation, ..self }
    }

    /// Tells whether this host has a link to give many others what it holds.
    pub fn strong(self, is_strong: bool) -> PeerBook {
        PeerBook { is_strong, ..self }
    }

    /// Takes a message; gives back the proof it carries, if it is one for this host.
    pub fn hear(&mut self, now: Millis, msg: PeerMessage) -> Option<RelayedProof> {
        if msg.from == self.host {
            return None;
        }
        self.hinted.remove(&msg.address);
        for hint in msg.hints {
            let is_known = hint == self.address || self.peers.values().any(|p| p.address == hint);
            if !is_known {
                self.hinted.entry(hint).or_insert(now);
            }
        }
        let proof = msg.news.proof.zip(msg.echo_ms).map(|(proof, echo_ms)| RelayedProof {
            version: proof.version,
            began: Millis(echo_ms.min(now.0).saturating_sub(proof.age_ms)),
        });
        let of_before = self.peers.get(&msg.from).filter(|p| p.incarnation != msg.incarnation);
        if let Some(before) = of_before.cloned() {
            self.keep_tallies(&msg.from, before);
        }
        // It had only fallen silent.
        self.left.retain(|left| left.from != msg.from || left.incarnation != msg.incarnation);
        let peer = Peer {
            incarnation: msg.incarnation,
            address: msg.address,
            failure_domain: msg.failure_domain,
            is_strong: msg.is_strong,
            heard_at: now,
            stamp_ms: msg.stamp_ms,
            news: msg.news,
        };
        self.peers.insert(msg.from, peer);
        proof
    }

    /// Forgets hosts that fell silent; lists them.
    pub fn sweep(&mut self, now: Millis) -> Vec<HostId> {
        self.hinted.retain(|_, since| now < *since + GONE_AFTER);
        let gone_after = Millis(GONE_AFTER.0.max(self.turn_time().0 * TURNS_MISSED));
        let is_gone = |p: &Peer| now >= p.heard_at + gone_after;
        let gone: Vec<HostId> =
            self.peers.iter().filter(|(_, p)| is_gone(p)).map(|(h, _)| h.clone()).collect();
        for host in &gone {
            if let Some(peer) = self.peers.remove(host) {
                self.keep_tallies(host, peer);
            }
        }
        gone
    }

    /// Keeps what a host counted of roll-outs that has ended.
    fn keep_tallies(&mut self, from: &HostId, peer: Peer) {
        let Peer { incarnation, heard_at, news, .. } = peer;
        let left = |told| LeftTally { from: from.clone(), incarnation, heard_at, told };
        self.left.extend(news.tallies.into_iter().map(left));
    }

    /// Forgets what ended hosts counted of roll-outs that are over.
    pub fn forget_tallies(&mut self, is_over: impl Fn(&ToldTally) -> bool) {
        self.left.retain(|left| !is_over(&left.told));
    }

    /// Makes the messages of one round, with their receivers.
    pub fn round(&mut self, now: Millis, news: &News) -> Vec<(SocketAddr, PeerMessage)> {
        let known = self.peers.values().map(|p| (p.address, Some(p.stamp_ms)));
        let receivers: Vec<(SocketAddr, Option<u64>)> =
            known.cycle().skip(self.turn_at()).take(self.peers.len().min(FANOUT)).collect();
        let mut messages: Vec<(SocketAddr, PeerMessage)> = receivers
            .into_iter()
            .map(|(address, echo)| (address, self.message(now, echo, HINTS, news)))
            .collect();
        messages.extend(self.meet(now, news));
        messages
    }

    /// Makes first messages to hosts that were not heard yet.
    pub fn meet(&mut self, now: Millis, news: &News) -> Vec<(SocketAddr, PeerMessage)> {
        let unheard: Vec<SocketAddr> = self.unheard();
        let at = self.turn % unheard.len().max(1);
        let first = unheard.iter().cycle().skip(at).take(unheard.len().min(FANOUT));
        let first = first.map(|address| {
            let message = self.message(now, None, HINTS, news);
            (*address, PeerMessage { wants_reply: true, ..message })
        });
        let first = first.collect();
        self.turn = self.turn.wrapping_add(FANOUT);
        first
    }

    /// Gets a host that knows a kind up to a revision and can give it, but for one that could not: of the own failure
    /// domain and with a strong link where there is such a one, and not the same one for all that ask.
    pub fn holder(
        &mut self,
        kind: Kind,
        revision: u64,
        except: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let holds = |p: &&Peer| p.news.complete.get(kind) >= revision && Some(p.address) != except;
        let rank = |p: &Peer| (self.is_near(&p.failure_domain), p.is_strong);
        let best = self.peers.values().filter(holds).map(rank).max()?;
        let all: Vec<SocketAddr> = self
            .peers
            .values()
            .filter(|p| holds(p) && rank(p) == best)
            .map(|p| p.address)
            .collect();
        self.asked = self.asked.wrapping_add(1);
        Some(all[self.asked % all.len()])
    }

    /// Lists the addresses at which hosts may be that were not heard yet.
    fn unheard(&self) -> Vec<SocketAddr> {
        let is_known = |address: &SocketAddr| self.peers.values().any(|p| p.address == *address);
        self.seeds.iter().chain(self.hinted.keys()).filter(|a| !is_known(a)).copied().collect()
    }

    /// Gets the place of the next receiver among the hosts that are heard.
    fn turn_at(&self) -> usize {
        self.turn % self.peers.len().max(1)
    }

    /// Makes a message to a host whose last stamp was `echo_ms`.
    fn message(&self, now: Millis, echo_ms: Option<u64>, hints: usize, news: &News) -> PeerMessage {
        let known = self.peers.values().map(|p| p.address);
        let hints = hints.min(self.peers.len());
        PeerMessage {
            from: self.host.clone(),
            incarnation: self.incarnation,
            address: self.address,
            failure_domain: self.failure_domain.clone(),
            is_strong: self.is_strong,
            wants_reply: false,
            stamp_ms: now.0,
            echo_ms,
            hints: known.cycle().skip(self.turn_at()).take(hints).collect(),
            news: news.clone(),
        }
    }

    /// Answers a question that came just now; a host's first one is answered with many hints, of them first hosts
    /// that can give it what they hold.
    pub fn reply(&self, now: Millis, to: &Question, news: &News) -> PeerMessage {
        let hints = if to.is_first { FIRST_HINTS } else { HINTS };
        let mut reply = self.message(now, Some(to.stamp_ms), hints, news);
        if to.is_first {
            let strong = self.peers.values().filter(|p| p.is_strong).map(|p| p.address);
            let others = reply.hints.iter().copied();
            let first: Vec<SocketAddr> = strong.take(FIRST_HINTS / 2).chain(others).collect();
            reply.hints = first;
            reply.hints.truncate(FIRST_HINTS);
        }
        reply
    }

    /// Lists the other hosts that prove the configuration.
    fn provers(&self) -> Vec<&Peer> {
        let mut provers: Vec<(Rank, &Peer)> =
            self.peers.iter().map(|(host, p)| (prover_rank(p.is_strong, host), p)).collect();
        provers.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        provers.into_iter().take(PROVERS).map(|(_, peer)| peer).collect()
    }

    /// Makes messages to the hosts that prove the configuration, beside a round: what a large fleet counts within a
    /// second is known to few hosts in time.
    pub fn messages_to_provers(&self, now: Millis, news: &News) -> Vec<(SocketAddr, PeerMessage)> {
        let message = |p: &Peer| (p.address, self.message(now, Some(p.stamp_ms), 0, news));
        self.provers().into_iter().map(message).collect()
    }

    /// Asks one of the hosts that prove the configuration, another one each time.
    pub fn ask_prover(&mut self, now: Millis, news: &News) -> Option<(SocketAddr, PeerMessage)> {
        let provers = self.provers();
        let peer = *provers.get(self.asked % provers.len().max(1))?;
        let message =
            PeerMessage { wants_reply: true, ..self.message(now, Some(peer.stamp_ms), 0, news) };
        let address = peer.address;
        self.asked = self.asked.wrapping_add(1);
        Some((address, message))
    }

    /// Sums the work that the other hosts have at endpoints.
    pub fn loads(&self, now: Millis) -> HashMap<EndpointKey, u64> {
        let mut loads = HashMap::new();
        for peer in self.peers.values().filter(|p| now < p.heard_at + LOAD_KEPT) {
            for (key, work) in &peer.news.loads {
                *loads.entry(*key).or_default() += u64::from(*work);
            }
        }
        loads
    }

    /// Sums how the other hosts' requests went at endpoints that some host saw fail.
    pub fn results(&self, now: Millis) -> HashMap<EndpointKey, RequestCounts> {
        let mut results: HashMap<EndpointKey, RequestCounts> = HashMap::new();
        for peer in self.peers.values() {
            for (key, told) in &peer.news.results {
                let sum = results.entry(*key).or_default();
                *sum = sum.plus(told.as_reported(now - peer.heard_at));
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
        let all = self.told_of(service, version);
        all.map(move |(told, heard_at)| (told.tally.clone(), now - heard_at))
    }

    /// Lists what the other hosts hold for usual beside a version under roll-out.
    pub fn usual<'a>(
        &'a self,
        service: &'a ServiceId,
        version: &'a VersionName,
    ) -> impl Iterator<Item = &'a ToldUsual> + 'a {
        self.told_of(service, version).map(|(told, _)| &told.usual)
    }

    /// Lists what was told of a version under roll-out, and when; also by hosts that ended.
    fn told_of<'a>(
        &'a self,
        service: &'a ServiceId,
        version: &'a VersionName,
    ) -> impl Iterator<Item = (&'a ToldTally, Millis)> + 'a {
        let of_peers = self
            .peers
            .values()
            .flat_map(|p| p.news.tallies.iter().map(move |told| (told, p.heard_at)));
        let all = of_peers.chain(self.left.iter().map(|left| (&left.told, left.heard_at)));
        all.filter(move |(told, _)| told.service == *service && told.version == *version)
    }

    /// Tells whether another host holds a version bad.
    pub fn is_barred(&self, service: &ServiceId, version: &VersionName) -> bool {
        let names = |b: &Barred| b.service == *service && b.version == *version;
        self.peers.values().any(|p| p.news.barred.iter().any(names))
    }

    /// Tells whether this host is one of the few that prove the configuration themselves. Every host
    /// ranks those it hears alike; where they hear different ones, a few more or fewer prove, and a
    /// host without a relayed proof proves for itself.
    pub fn is_prover(&self) -> bool {
        let own = prover_rank(self.is_strong, &self.host);
        let before = self.peers.iter().filter(|(host, p)| prover_rank(p.is_strong, host) > own);
        before.count() < PROVERS
    }

    /// Tells whether this host is one of the few of its failure domain that watch the store.
    pub fn is_watcher(&self) -> bool {
        let own = watcher_rank(self.is_strong, &self.host);
        self.watchers().filter(|(rank, _)| *rank > own).count() < WATCHERS
    }

    /// Tells whether this host is one of the first so many for a job, those of a failure domain before others.
    pub fn is_among_first(&self, job: &str, domain: &FailureDomain, count: usize) -> bool {
        let rank =
            |host: &HostId, of: &FailureDomain| (of == domain, rendezvous(job, host.as_str()));
        let own = rank(&self.host, &self.failure_domain);
        let before = self.peers.iter().filter(|(host, p)| rank(host, &p.failure_domain) > own);
        before.take(count).count() < count
    }

    /// Ranks the other hosts of the failure domain for watching the store.
    fn watchers(&self) -> impl Iterator<Item = (Rank, &Peer)> {
        let near = self.peers.iter().filter(|(_, p)| self.is_near(&p.failure_domain));
        near.map(|(host, p)| (watcher_rank(p.is_strong, host), p))
    }

    /// Tells whether a failure domain is this host's own.
    pub fn is_near(&self, failure_domain: &FailureDomain) -> bool {
        *failure_domain == self.failure_domain
    }

    /// Gets the time in which a host has sent one message to each other.
    pub fn turn_time(&self) -> Millis {
        Millis(ROUND_EVERY.0 * self.peers.len().div_ceil(FANOUT) as u64)
    }

    /// Gets the time within which news that hosts pass on has gone from one host to all others.
    pub fn spread(&self) -> Millis {
        let hops = (self.peers.len().max(1) as f64).log(FANOUT as f64).ceil().max(1.0) as u64;
        // One round more, for a message may be lost.
        Millis(ROUND_EVERY.0 * (hops + 1))
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
fn prover_rank(is_strong: bool, host: &HostId) -> Rank {
    (is_strong, rendezvous("prover", host.as_str()))
}

/// Ranks hosts for watching the store.
fn watcher_rank(is_strong: bool, host: &HostId) -> Rank {
    (is_strong, rendezvous("watch", host.as_str()))
}
