//! Pooled connections to endpoints, to the store and to other hosts.
//!
//! A connection carries one request at a time. It returns to the pool only after a complete
//! response that belongs to its request. In all other cases it is closed, which also makes the
//! endpoint stop its work.
//!
//! A faulty peer may send a response twice, and the second copy arrives in the place of the response to
//! a later request. Only the attempt id shows which one it is, so a request does not use a connection
//! again that has carried its id, and connections to a peer that sent surplus bytes are not used again
//! for a while.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::disconnect::{format_error_chain, DisconnectCause};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::traffic::reachability::MAX_PROMPT_LATENCY;

use crate::clock::BootInstant;
use crate::forward::CONNECTION_PREAMBLE;
use crate::request_body::OutgoingBody;
use crate::socket::{MonitoredSocket, PeerKind, PinnedRequestFlag, SurplusFlags};

/// Maximum time for a connection to be established. Within a region this takes a few milliseconds;
/// the rest allows for the loss of a packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of idle connections per peer.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// Idle time after which a peer is assumed to close a connection, if it does not announce one.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(20);

/// Maximum time until an idle connection accepts a request. A peer that responded without reading
/// the whole request may leave the connection busy with the rest of it for good.
const MAX_READY_WAIT: Duration = Duration::from_millis(5);

/// Fraction of the peer's idle time after which an idle connection is no longer used.
const IDLE_TIME_FRACTION: f64 = 0.7;

/// Maximum idle time of a connection for a request that must not be sent twice. Endpoints may
/// silently forget a connection that was idle for about 300 ms; it is then unknown whether they
/// received the request, and a new connection takes only a millisecond.
const MAX_IDLE_IF_UNREPEATABLE: Duration = Duration::from_millis(200);

/// Returns the maximum time for which a connection may have been idle to carry a request.
pub fn max_idle_time(is_repeatable: bool) -> Duration {
    if is_repeatable {
        Duration::MAX
    } else {
        MAX_IDLE_IF_UNREPEATABLE
    }
}

/// Interval at which idle connections are checked for expiry.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum size in bytes of the head of a response.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Time after surplus bytes of a peer in which its connections carry one request each.
const SURPLUS_MEMORY: Duration = Duration::from_secs(10);

/// Number of a connection, unique within the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConnectionNumber(u64);

impl ConnectionNumber {
    fn next() -> ConnectionNumber {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        ConnectionNumber(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

/// The connections that carried the attempts of one request, which share an id. Clones share the record.
#[derive(Clone, Debug, Default)]
pub struct UsedConnections(Rc<RefCell<Vec<ConnectionNumber>>>);

impl UsedConnections {
    fn contains(&self, lease: &Lease) -> bool {
        self.0.borrow().contains(&lease.number)
    }

    /// Records that a connection is about to carry an attempt.
    pub fn record(&self, lease: &Lease) {
        self.0.borrow_mut().push(lease.number);
    }
}

/// A connection in use by one request. It is closed when dropped, unless it is returned to the
/// pool.
pub struct Lease {
    /// Sends the request.
    pub sender: SendRequest<OutgoingBody>,
    number: ConnectionNumber,
    task: JoinHandle<()>,
    is_unrepeatable: PinnedRequestFlag,
    surplus: SurplusFlags,
    /// Whether the connection carried an earlier request.
    pub is_reused: bool,
}

impl Lease {
    /// Sets whether the next request cannot be sent elsewhere if the connection is lost.
    pub fn set_unrepeatable(&self, is_unrepeatable: bool) {
        self.is_unrepeatable.set(is_unrepeatable);
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.task.abort();
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.close();
    }
}

struct IdleConnection {
    lease: Lease,
    /// Whether a response was received on it. A connection that was only accepted may not work.
    has_responded: bool,
    idle_since: BootInstant,
    expires_at: BootInstant,
}

/// Connections, by the name of the peer.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<String, Vec<IdleConnection>>>,
    peer_kind: PeerKind,
    /// Bytes that are sent at the start of each connection.
    preamble: &'static [u8],
    /// Start of the latest connect or request that succeeded within `MAX_PROMPT_LATENCY`.
    last_prompt_at: Cell<Option<Instant>>,
    /// When surplus bytes of a peer were last seen, by the name of the peer.
    surplus_seen_at: RefCell<HashMap<String, Instant>>,
}

impl Pool {
    /// Creates a pool of connections to endpoints.
    pub fn for_endpoints() -> Pool {
        Pool { peer_kind: PeerKind::Endpoint, ..Pool::default() }
    }

    /// Creates a pool of connections to other hosts that carry forwarded requests.
    pub fn for_forwarding() -> Pool {
        const PREAMBLE: [u8; 1] = [CONNECTION_PREAMBLE];
        Pool { preamble: &PREAMBLE, ..Pool::for_endpoints() }
    }

    /// Reports whether a pooled connection to a peer has worked and may still be usable. `acquire`
    /// returns such a connection first.
    pub fn has_proven_idle(&self, name: &str) -> bool {
        let idle = self.idle.borrow();
        let now = BootInstant::now();
        let is_usable = |i: &IdleConnection| {
            i.has_responded && now < i.expires_at && !i.lease.sender.is_closed()
        };
        idle.get(name).is_some_and(|connections| connections.iter().any(is_usable))
    }

    /// Returns a pooled connection that was idle for at most `max_idle` and is not one of `used`, or opens one.
    pub async fn acquire(
        &self,
        name: &str,
        address: &str,
        max_idle: Duration,
        used: &UsedConnections,
    ) -> Result<Lease> {
        while let Some(mut idle) = self.pop_newest(name, max_idle, used) {
            if idle.lease.surplus.has_surplus() {
                self.record_surplus(name);
                break;
            }
            idle.lease.surplus.set_idle(false);
            let is_usable = BootInstant::now() < idle.expires_at && !idle.lease.sender.is_closed();
            let ready = tokio::time::timeout(MAX_READY_WAIT, idle.lease.sender.ready());
            if is_usable && matches!(ready.await, Ok(Ok(()))) {
                idle.lease.is_reused = true;
                return Ok(idle.lease);
            }
        }
        self.open(address).await
    }

    /// Makes sure that a connection is in the pool for a request that is about to be sent.
    pub async fn ensure_idle_connection(
        &self,
        name: &str,
        address: &str,
        max_idle: Duration,
    ) -> Result<()> {
        let now = BootInstant::now();
        let is_usable = |i: &IdleConnection| {
            i.idle_since.elapsed() <= max_idle && now < i.expires_at && !i.lease.sender.is_closed()
        };
        let has_usable = self
            .idle
            .borrow()
            .get(name)
            .is_some_and(|connections| connections.iter().any(is_usable));
        if !has_usable {
            let lease = self.open(address).await?;
            self.store(name, lease, None, false);
        }
        Ok(())
    }

    /// Opens a connection that belongs to no pool yet.
    pub async fn open(&self, address: &str) -> Result<Lease> {
        let started_at = Instant::now();
        let lease = open(address, self.peer_kind, self.preamble).await?;
        self.record_response(started_at);
        Ok(lease)
    }

    /// Records a successful connect or response, by the instant at which it was started.
    pub fn record_response(&self, started_at: Instant) {
        if started_at.elapsed().as_millis() <= u128::from(MAX_PROMPT_LATENCY.0) {
            self.last_prompt_at.set(Some(started_at));
        }
    }

    /// Returns the start of the latest connect or request that succeeded within
    /// `MAX_PROMPT_LATENCY`.
    pub fn last_prompt_at(&self) -> Option<Instant> {
        self.last_prompt_at.get()
    }

    /// Returns a connection to the pool after a complete response. `idle_time` is the time after
    /// which the peer closes it, if announced.
    pub fn release(&self, name: &str, lease: Lease, idle_time: Option<Duration>) {
        if !self.has_sent_surplus(name) {
            self.store(name, lease, idle_time, true);
        }
    }

    /// Records that a peer sent a response that belongs to no request or to an earlier one, and closes its idle
    /// connections.
    pub fn record_surplus(&self, name: &str) {
        self.close_idle(name);
        self.surplus_seen_at.borrow_mut().insert(name.to_string(), Instant::now());
    }

    fn has_sent_surplus(&self, name: &str) -> bool {
        let seen_at = self.surplus_seen_at.borrow();
        seen_at.get(name).is_some_and(|at| at.elapsed() < SURPLUS_MEMORY)
    }

    fn store(&self, name: &str, lease: Lease, idle_time: Option<Duration>, has_responded: bool) {
        if lease.sender.is_closed() {
            return;
        }
        let usable_time = idle_time.unwrap_or(DEFAULT_IDLE_TIME).mul_f64(IDLE_TIME_FRACTION);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(name.to_string()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            lease.surplus.set_idle(true);
            let now = BootInstant::now();
            let expires_at = now.saturating_add(usable_time);
            let connection = IdleConnection { lease, has_responded, idle_since: now, expires_at };
            match has_responded {
                true => connections.push(connection),
                false => connections.insert(0, connection),
            }
        }
    }

    /// Closes all idle connections to a peer.
    pub fn close_idle(&self, name: &str) {
        self.idle.borrow_mut().remove(name);
    }

    /// Closes connections that have expired, and those to peers for which `is_wanted` returns
    /// false.
    fn remove_expired(&self, is_wanted: impl Fn(&str) -> bool) {
        let now = BootInstant::now();
        let mut surplus_seen_at = self.surplus_seen_at.borrow_mut();
        surplus_seen_at.retain(|_, at| at.elapsed() < SURPLUS_MEMORY);
        self.idle.borrow_mut().retain(|name, connections| {
            if connections.iter().any(|i| i.lease.surplus.has_surplus()) {
                surplus_seen_at.insert(name.clone(), Instant::now());
                return false;
            }
            connections.retain(|i| now < i.expires_at && !i.lease.sender.is_closed());
            !connections.is_empty() && is_wanted(name)
        });
    }

    /// Closes expired and unwanted connections periodically until the process ends.
    pub async fn run_expiry(&self, is_wanted: impl Fn(&str) -> bool) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            self.remove_expired(&is_wanted);
        }
    }

    /// Removes and returns the most recently used connection, or one that was only accepted if there
    /// is no other, if it was idle for at most `max_idle` and is not one of `used`.
    fn pop_newest(
        &self,
        name: &str,
        max_idle: Duration,
        used: &UsedConnections,
    ) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(name)?;
        let is_allowed =
            |i: &IdleConnection| i.idle_since.elapsed() <= max_idle && !used.contains(&i.lease);
        let at = connections.iter().rposition(is_allowed)?;
        Some(connections.remove(at))
    }
}

fn unreachable_error(address: &str, reason: &str, cause: DisconnectCause) -> Error {
    let text = format!("connect to {address}: {reason}");
    Error::new(Code::EndpointUnreachable, text)
        .with_executed(Executed::No)
        .with_disconnect_cause(cause)
}

/// Returns the cause of a lost connection from an error of the HTTP library.
pub fn disconnect_cause(e: &hyper::Error) -> DisconnectCause {
    match DisconnectCause::from_error(e) {
        // A connection that ends in the middle of a message is not reported as a socket error.
        DisconnectCause::Other if e.is_incomplete_message() || e.is_closed() => {
            DisconnectCause::Closed
        }
        cause => cause,
    }
}

/// Opens a connection.
async fn open(address: &str, peer_kind: PeerKind, preamble: &[u8]) -> Result<Lease> {
    let to_connect_error = |e: std::io::Error| {
        unreachable_error(address, &e.to_string(), DisconnectCause::from_error(&e))
    };
    let parsed: SocketAddr = address
        .parse()
        .map_err(|e| unreachable_error(address, &format_error_chain(&e), DisconnectCause::Other))?;
    let mut stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(parsed))
        .await
        .map_err(|_| unreachable_error(address, "timed out", DisconnectCause::TimedOut))?
        .map_err(to_connect_error)?;
    // The buffer of a new socket takes these bytes at once.
    stream.write_all(preamble).await.map_err(to_connect_error)?;
    let is_unrepeatable = PinnedRequestFlag::default();
    let surplus = SurplusFlags::default();
    let socket = MonitoredSocket::new(stream, peer_kind, is_unrepeatable.clone(), surplus.clone())
        .map_err(to_connect_error)?;
    let (sender, conn) =
        Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(socket)).await.map_err(
            |e| unreachable_error(address, &format_error_chain(&e), disconnect_cause(&e)),
        )?;
    let task = tokio::task::spawn_local(async move {
        // The error is also returned to the request that waits for the response.
        drop(conn.await);
    });
    let number = ConnectionNumber::next();
    Ok(Lease { sender, number, task, is_unrepeatable, surplus, is_reused: false })
}
