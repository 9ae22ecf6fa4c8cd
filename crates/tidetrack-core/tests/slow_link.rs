//! A host behind a slow link catches up with a large configuration.
//!
//! Guards against a host that keeps using an old configuration and receives a withdrawal more than
//! a second late. It comes about when some thousand objects change and the host requests them from
//! every host that has them, so that each reply carries the same range of changes. The copies share
//! the link, none completes before the call times out, all are started again, and small urgent
//! messages queue behind them. In this state, the bytes started are several times the size of the
//! configuration, four copies are transferred at a time, and calls fail although no message is
//! lost.

use std::collections::BTreeMap;

use tidetrack_core::config::{ObjectKey, ObjectKind};
use tidetrack_core::evidence::{EvidenceKey, VersionCounts};
use tidetrack_core::facts::{Fact, Subject};
use tidetrack_core::ids::{HostId, VersionRef};
use tidetrack_core::membership::{Member, MemberState};
use tidetrack_core::node::{Action, Exchange, Item, Node, NodeOptions};
use tidetrack_core::store::{Delta, Entry};
use tidetrack_core::units::Millis;

/// Timeout of a call between hosts, in milliseconds. The router uses the same value.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// Tick interval of the control thread, in milliseconds.
const TICK_INTERVAL_MS: u64 = 25;

/// Number of hosts, including the one behind the slow link.
const HOSTS: usize = 8;

/// Index of the host behind the slow link.
const SLOW_HOST: usize = 0;

/// Size of an object in bytes: about that of a version with its prices and limits.
const OBJECT_BYTES: usize = 600;

/// Time in milliseconds until all hosts know each other; then the configuration changes.
const SETTLE_TIME_MS: u64 = 10_000;

/// Start of the hosts' clocks in milliseconds. It is not 0 because a node takes a time of 0 as long
/// past.
const CLOCK_START_MS: u64 = 1_000_000;

fn host_id(i: usize) -> HostId {
    format!("h{i}").parse().expect("the host name parses")
}

fn host_index(host: &HostId) -> usize {
    host.as_str()[1..].parse().expect("hosts are named h and a number")
}

fn node(i: usize) -> Node {
    let member = Member {
        incarnation: format!("h{i}~1").parse().expect("the incarnation parses"),
        state_version: 1,
        state: MemberState::Alive,
        peer_address: format!("h{i}"),
        caller_address: String::new(),
        failure_domain: format!("d{}", i % 3).parse().expect("the failure domain parses"),
    };
    let mut node = Node::new(member, NodeOptions::default(), i as u64);
    node.set_seeds((0..HOSTS).map(|h| (host_id(h), format!("h{h}"))).collect());
    node
}

fn objects(count: u64, revision: u64) -> Vec<Entry> {
    let body = |n: u64| format!("{{\"about\":\"{n:0width$}\"}}", width = OBJECT_BYTES - 12);
    let entry = |n: u64| Entry {
        key: ObjectKey::new(ObjectKind::Model, format!("m{n}")),
        version: revision + n,
        body: Some(body(n).into()),
    };
    (1..=count).map(entry).collect()
}

fn withdrawal() -> Fact {
    Fact { subject: Subject::Withdrawn(version()), generation: 1 }
}

/// Returns a message that carries the evidence of `count` observers about a version, each with one
/// started request. Its sender exchanges messages with nobody else.
fn evidence(count: u64) -> Exchange {
    let evidence_item = |n: u64| {
        let observer = format!("host-{n:04}~1").parse().expect("the incarnation parses");
        let counts = VersionCounts { started: 1, ..VersionCounts::default() };
        Item::Evidence(EvidenceKey { version: version(), generation: 1, observer }, counts)
    };
    Exchange {
        from: "x~1".parse().expect("the incarnation parses"),
        nonce: 1,
        after_seq: 0,
        last_seq: count,
        acked_seq: 0,
        complete_to: 0,
        confirmation_age_ms: None,
        max_reply_bytes: Some(0),
        changes: None,
        items: (0..count).map(evidence_item).collect(),
        suspects: Vec::new(),
        loan_requests: Vec::new(),
        loans: Vec::new(),
    }
}

fn version() -> VersionRef {
    "m@1".parse().expect("the version name parses")
}

/// A message that is being transferred.
struct Transfer {
    call: u64,
    to: usize,
    remaining_bytes: f64,
    is_reply: bool,
    message: Exchange,
}

/// A call that waits for its reply.
struct PendingCall {
    from: usize,
    to: HostId,
    sent_at: u64,
    nonce: u64,
}

/// How a link divides its bandwidth among transfers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LinkSharing {
    /// All transfers get equal shares.
    EqualShares,
    /// Transfers are served in the order in which they were sent, as by a queue in front of the
    /// link.
    FirstInFirstOut,
}

/// Hosts of which one is behind a slow link, with the same bandwidth in both directions.
struct Network {
    now: u64,
    nodes: Vec<Node>,
    calls: BTreeMap<u64, PendingCall>,
    next_call: u64,
    transfers: Vec<Transfer>,
    bytes_per_ms: f64,
    sharing: LinkSharing,
    /// Index of a paused host, which receives and sends nothing.
    paused: Option<usize>,
    /// Bytes of objects in the messages that were sent to the slow host, complete or not.
    object_bytes_started: usize,
    /// Maximum number of messages with objects that were in transfer to the slow host at a time.
    max_concurrent_copies: usize,
    failed_calls: usize,
}

impl Network {
    fn new(bits_per_second: u64, sharing: LinkSharing) -> Network {
        Network {
            now: 0,
            nodes: (0..HOSTS).map(node).collect(),
            calls: BTreeMap::new(),
            next_call: 0,
            transfers: Vec::new(),
            bytes_per_ms: bits_per_second as f64 / 8_000.0,
            sharing,
            paused: None,
            object_bytes_started: 0,
            max_concurrent_copies: 0,
            failed_calls: 0,
        }
    }

    /// Returns a network whose hosts know each other and have the first configuration.
    fn new_settled(bits_per_second: u64, sharing: LinkSharing) -> Network {
        let mut network = Network::new(bits_per_second, sharing);
        for node in &mut network.nodes {
            node.on_list(Millis(CLOCK_START_MS), 1, Vec::new());
        }
        network.run_until(SETTLE_TIME_MS);
        assert_eq!(network.nodes[SLOW_HOST].live_host_count(), HOSTS);
        (network.object_bytes_started, network.max_concurrent_copies, network.failed_calls) =
            (0, 0, 0);
        network
    }

    /// Applies `count` changes at all hosts but the slow one, as if each had read them from the
    /// object API. Returns the last revision.
    fn apply_change(&mut self, count: u64) -> u64 {
        let from = self.nodes[1].store.complete_to();
        let (to, entries) = (from + count, objects(count, from));
        let requested_at = self.clock();
        for (i, node) in self.nodes.iter_mut().enumerate() {
            if i != SLOW_HOST {
                node.on_changes(requested_at, Delta { from, to, entries: entries.clone() });
            }
        }
        to
    }

    fn clock(&self) -> Millis {
        Millis(CLOCK_START_MS + self.now)
    }

    fn run_until(&mut self, until: u64) {
        while self.now < until {
            self.step();
        }
    }

    /// Runs while `condition` holds, for at most `max_ms`. Returns the time in milliseconds until
    /// it ceased to hold, or `None` if it still holds at the end.
    fn time_while(
        &mut self,
        max_ms: u64,
        mut condition: impl FnMut(&Network) -> bool,
    ) -> Option<u64> {
        let started_at = self.now;
        while self.now < started_at + max_ms {
            if !condition(self) {
                return Some(self.now - started_at);
            }
            self.step();
        }
        None
    }

    fn step(&mut self) {
        self.now += 1;
        let timed_out: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, c)| self.now >= c.sent_at + CALL_TIMEOUT_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in timed_out {
            let call = self.calls.remove(&id).expect("the call was listed as timed out");
            // The connection is closed, so the rest of its message is not sent.
            self.transfers.retain(|t| t.call != id);
            self.failed_calls += 1;
            self.nodes[call.from].on_exchange_failed(&call.to);
        }
        self.transfer_bytes();
        for i in 0..HOSTS {
            if self.now % TICK_INTERVAL_MS == i as u64 && self.paused != Some(i) {
                let now = self.clock();
                let actions = self.nodes[i].tick(now);
                actions.into_iter().for_each(|action| self.execute(i, action));
            }
        }
    }

    fn execute(&mut self, from: usize, action: Action) {
        let Action::Exchange { to, message, .. } = action else { return };
        self.next_call += 1;
        let call = PendingCall { from, to: to.clone(), sent_at: self.now, nonce: message.nonce };
        self.calls.insert(self.next_call, call);
        self.send(self.next_call, from, host_index(&to), false, message);
    }

    fn send(&mut self, call: u64, from: usize, to: usize, is_reply: bool, message: Exchange) {
        let bytes = serde_json::to_string(&message).expect("the message serializes as JSON").len();
        if to == SLOW_HOST {
            self.object_bytes_started += message.changes.as_ref().map_or(0, Delta::body_bytes);
        }
        let uses_slow_link = from == SLOW_HOST || to == SLOW_HOST;
        // The other links transfer a message within a step.
        let remaining_bytes = if uses_slow_link { bytes as f64 } else { 0.0 };
        self.transfers.push(Transfer { call, to, remaining_bytes, is_reply, message });
    }

    /// Transfers the bytes of one step in each direction of the slow link, and delivers the
    /// messages that are complete.
    fn transfer_bytes(&mut self) {
        for is_inbound in [true, false] {
            let uses_direction =
                |t: &&mut Transfer| t.remaining_bytes > 0.0 && (t.to == SLOW_HOST) == is_inbound;
            let mut transfers: Vec<&mut Transfer> =
                self.transfers.iter_mut().filter(uses_direction).collect();
            let mut budget_bytes = self.bytes_per_ms;
            let share = match self.sharing {
                LinkSharing::EqualShares => budget_bytes / transfers.len().max(1) as f64,
                LinkSharing::FirstInFirstOut => budget_bytes,
            };
            for transfer in &mut transfers {
                let transferred_bytes = share.min(budget_bytes).min(transfer.remaining_bytes);
                transfer.remaining_bytes -= transferred_bytes;
                budget_bytes -= transferred_bytes;
            }
        }
        let carries_objects = |t: &&Transfer| t.to == SLOW_HOST && t.message.changes.is_some();
        self.max_concurrent_copies =
            self.max_concurrent_copies.max(self.transfers.iter().filter(carries_objects).count());
        let arrived: Vec<Transfer> = self
            .transfers
            .extract_if(.., |t| t.remaining_bytes <= 0.0 && self.paused != Some(t.to))
            .collect();
        arrived.into_iter().for_each(|transfer| self.deliver(transfer));
    }

    fn deliver(&mut self, transfer: Transfer) {
        let now = self.clock();
        if !transfer.is_reply {
            let reply = self.nodes[transfer.to].on_exchange(now, transfer.message);
            let Some(call) = self.calls.get(&transfer.call) else { return };
            let caller = call.from;
            return self.send(transfer.call, transfer.to, caller, true, reply);
        }
        let Some(call) = self.calls.remove(&transfer.call) else { return };
        let sent_at = Millis(CLOCK_START_MS + call.sent_at);
        self.nodes[transfer.to].on_reply(now, &call.to, sent_at, call.nonce, transfer.message);
    }

    fn has_withdrawal(&self) -> bool {
        self.nodes[SLOW_HOST].facts.is_version_barred(&version(), 1)
    }
}

/// How a host behind a slow link received a change and a withdrawal.
#[derive(Debug)]
struct CatchUpResult {
    /// Bytes of objects that were sent to the host, divided by the size of the change.
    object_bytes_ratio: f64,
    /// Maximum number of messages with objects that were in transfer to the host at a time.
    max_concurrent_copies: usize,
    /// Time until the host had the whole change, in milliseconds; `None` if it never had.
    catch_up_ms: Option<u64>,
    /// Time until the host received a withdrawal made during the transfer, in milliseconds; `None`
    /// if it did not arrive.
    withdrawal_ms: Option<u64>,
    failed_calls: usize,
}

/// Changes `count` objects, withdraws a version at host `origin` 300 ms later, and measures how the
/// slow host receives both.
fn measure_catch_up(
    bits_per_second: u64,
    sharing: LinkSharing,
    count: u64,
    origin: usize,
) -> CatchUpResult {
    let mut network = Network::new_settled(bits_per_second, sharing);
    let to = network.apply_change(count);
    let started_at = network.now;
    network.run_until(started_at + 300);
    network.nodes[origin].add_fact(withdrawal());
    let withdrawal_ms = network.time_while(60_000, |network| !network.has_withdrawal());
    let is_caught_up = |network: &Network| network.nodes[SLOW_HOST].store.complete_to() >= to;
    network.time_while(60_000, |network| !is_caught_up(network));
    let catch_up_ms = is_caught_up(&network).then(|| network.now - started_at);
    let result = CatchUpResult {
        object_bytes_ratio: network.object_bytes_started as f64
            / (count as f64 * OBJECT_BYTES as f64),
        max_concurrent_copies: network.max_concurrent_copies,
        catch_up_ms,
        withdrawal_ms,
        failed_calls: network.failed_calls,
    };
    println!(
        "{bits_per_second} bit/s {sharing:?}, {count} objects, withdrawn at {origin}: {result:?}"
    );
    result
}

#[test]
fn a_large_change_is_fetched_about_once_over_a_link_of_10_mbit() {
    let result = measure_catch_up(10_000_000, LinkSharing::EqualShares, 4_000, 5);

    // The transfer of one copy of the change takes 1.9 s.
    assert!(
        result.object_bytes_ratio < 1.3
            && result.max_concurrent_copies == 1
            && result.failed_calls == 0,
        "{result:?}"
    );
    assert!(result.catch_up_ms.is_some_and(|ms| ms < 4_000), "{result:?}");
}

#[test]
fn a_large_change_arrives_over_a_link_of_1_mbit() {
    let result = measure_catch_up(1_000_000, LinkSharing::EqualShares, 1_000, 5);

    // The transfer of one copy takes 4.9 s. Any time beyond that is spent on further copies and
    // timed-out calls.
    assert!(result.object_bytes_ratio < 1.5, "{result:?}");
    assert!(result.catch_up_ms.is_some_and(|ms| ms < 9_000), "{result:?}");
}

#[test]
fn a_withdrawal_does_not_wait_behind_a_large_change() {
    let results: Vec<CatchUpResult> = (1..HOSTS)
        .map(|origin| measure_catch_up(1_000_000, LinkSharing::FirstInFirstOut, 1_000, origin))
        .collect();

    assert!(results.iter().all(|m| m.withdrawal_ms.is_some_and(|ms| ms < 500)), "{results:?}");
}

#[test]
fn a_host_that_pauses_during_a_request_delays_a_change_only_briefly() {
    let mut network = Network::new_settled(10_000_000, LinkSharing::EqualShares);
    let to = network.apply_change(400);
    let requested_host = |network: &Network| {
        network.calls.values().find(|c| c.from == SLOW_HOST).map(|c| host_index(&c.to))
    };
    network.time_while(5_000, |network| requested_host(network).is_none());
    network.paused = requested_host(&network);

    let elapsed =
        network.time_while(20_000, |network| network.nodes[SLOW_HOST].store.complete_to() < to);

    println!("{:?} paused: {elapsed:?}", network.paused);
    assert!(network.paused.is_some());
    assert!(elapsed.is_some_and(|ms| ms < 1_500), "{elapsed:?}");
}

#[test]
fn evidence_of_a_large_fleet_reaches_a_host_behind_a_slow_link() {
    // The evidence of 540 hosts about two versions under roll-out.
    let evidence_count = 1_080;
    let mut network = Network::new_settled(1_000_000, LinkSharing::EqualShares);
    let now = network.clock();
    (1..HOSTS).for_each(|i| drop(network.nodes[i].on_exchange(now, evidence(evidence_count))));

    let started_at = network.now;
    let known_count =
        |network: &Network| network.nodes[SLOW_HOST].evidence.total(&version(), 1).started;
    let elapsed = network.time_while(60_000, |network| known_count(network) < evidence_count);

    println!(
        "{evidence_count} items of evidence: {elapsed:?}, {} known, {} calls failed",
        known_count(&network),
        network.failed_calls
    );
    assert!(network.now > started_at);
    assert!(
        elapsed.is_some_and(|ms| ms < 10_000),
        "evidence known after {elapsed:?} ms, {} calls failed",
        network.failed_calls
    );
}

#[test]
fn a_withdrawal_does_not_wait_behind_the_evidence_of_a_large_fleet() {
    let elapsed: Vec<Option<u64>> = (1..HOSTS)
        .map(|origin| {
            let mut network = Network::new_settled(1_000_000, LinkSharing::FirstInFirstOut);
            let now = network.clock();
            (1..HOSTS).for_each(|i| drop(network.nodes[i].on_exchange(now, evidence(1_080))));
            network.run_until(network.now + 100);
            network.nodes[origin].add_fact(withdrawal());
            network.time_while(60_000, |network| !network.has_withdrawal())
        })
        .collect();

    println!("withdrawn after {elapsed:?}");
    assert!(elapsed.iter().all(|elapsed| elapsed.is_some_and(|ms| ms < 500)), "{elapsed:?}");
}
