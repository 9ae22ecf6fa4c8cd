//! Kept connections to endpoints and to the store.
//!
//! A connection carries one request at a time. It goes back to the pool only after a whole answer
//! that was its own; in every other case it is closed, which also tells the endpoint to stop.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::disconnect::{format_error_chain, DisconnectCause};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::traffic::reachability::MAX_PROMPT_LATENCY;

use crate::clock::Moment;
use crate::way::{Ends, Waits, Way};

/// Longest time for a connection to come up. Within a region one takes a few milliseconds; the rest
/// covers a lost packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle connections kept to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// How long a connection rests at most, where its other end names no time.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(20);

/// Part of the named time after which a resting connection is not used any more.
const IDLE_TIME_FRACTION: f64 = 0.7;

/// Longest rest of a connection for a request that must not be sent twice. Endpoints may forget a
/// connection without a word once it rested for some 300 ms; whether the request came there is then not
/// known, and a new connection costs a millisecond.
const MAX_IDLE_IF_UNREPEATABLE: Duration = Duration::from_millis(200);

/// Gets the longest rest of a connection on which a request may go.
pub fn max_idle_time(is_repeatable: bool) -> Duration {
    if is_repeatable {
        Duration::MAX
    } else {
        MAX_IDLE_IF_UNREPEATABLE
    }
}

/// Pause between sweeps of connections that rest.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// A connection that one request uses. Dropped without being kept, it is closed.
pub struct Lease {
    /// Sends the request.
    pub sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    is_unrepeatable: Waits,
    /// Whether it carried an earlier request.
    pub is_reused: bool,
}

impl Lease {
    /// Sets whether the request about to be sent can't go elsewhere if the connection breaks.
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

struct Idle {
    lease: Lease,
    idle_since: Moment,
    expires_at: Moment,
}

/// Connections by the name of their other end.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<String, Vec<Idle>>>,
    peer_kind: Ends,
    /// When the last one began of what came up or was answered promptly.
    last_prompt_at: Cell<Option<Instant>>,
}

impl Pool {
    /// Makes a pool of connections to endpoints.
    pub fn for_endpoints() -> Pool {
        Pool { peer_kind: Ends::Endpoints, ..Pool::default() }
    }

    /// Takes a kept connection that rested no longer than `max_idle`, or opens one.
    pub async fn acquire(&self, name: &str, address: &str, max_idle: Duration) -> Result<Lease> {
        while let Some(mut idle) = self.pop_newest(name, max_idle) {
            let is_usable = Moment::now() < idle.expires_at && !idle.lease.sender.is_closed();
            if is_usable && idle.lease.sender.ready().await.is_ok() {
                idle.lease.is_reused = true;
                return Ok(idle.lease);
            }
        }
        self.open(address).await
    }

    /// Sees to it that a connection is kept for a request that is about to be sent.
    pub async fn prepare(&self, name: &str, address: &str, max_idle: Duration) -> Result<()> {
        let now = Moment::now();
        let is_usable = |newest: &Idle| {
            newest.idle_since.elapsed() <= max_idle
                && now < newest.expires_at
                && !newest.lease.sender.is_closed()
        };
        let newest_is_usable = self
            .idle
            .borrow()
            .get(name)
            .and_then(|connections| connections.last())
            .is_some_and(is_usable);
        if !newest_is_usable {
            let lease = self.open(address).await?;
            self.release(name, lease, None);
        }
        Ok(())
    }

    async fn open(&self, address: &str) -> Result<Lease> {
        let started_at = Instant::now();
        let lease = open(address, self.peer_kind).await?;
        self.record_response(started_at);
        Ok(lease)
    }

    /// Takes note that something came that was asked for at an instant.
    pub fn record_response(&self, started_at: Instant) {
        if started_at.elapsed().as_millis() <= u128::from(MAX_PROMPT_LATENCY.0) {
            self.last_prompt_at.set(Some(started_at));
        }
    }

    /// Gets when the last one began of what came up or was answered promptly.
    pub fn last_prompt_at(&self) -> Option<Instant> {
        self.last_prompt_at.get()
    }

    /// Keeps a connection whose answer has come to its end.
    pub fn release(&self, name: &str, lease: Lease, idle_time: Option<Duration>) {
        if lease.sender.is_closed() {
            return;
        }
        let usable_time = idle_time.unwrap_or(DEFAULT_IDLE_TIME).mul_f64(IDLE_TIME_FRACTION);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(name.to_string()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            let now = Moment::now();
            connections.push(Idle { lease, idle_since: now, expires_at: now.after(usable_time) });
        }
    }

    /// Closes all connections to an end.
    pub fn close_idle(&self, name: &str) {
        self.idle.borrow_mut().remove(name);
    }

    /// Closes connections that rested too long, and those whose other end is not `is_wanted`.
    fn remove_expired(&self, is_wanted: impl Fn(&str) -> bool) {
        let now = Moment::now();
        self.idle.borrow_mut().retain(|name, connections| {
            connections.retain(|i| now < i.expires_at && !i.lease.sender.is_closed());
            !connections.is_empty() && is_wanted(name)
        });
    }

    /// Sweeps again and again, until the process ends.
    pub async fn run_expiry(&self, is_wanted: impl Fn(&str) -> bool) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            self.remove_expired(&is_wanted);
        }
    }

    /// Gets the connection that rested least, if it rested no longer than `max_idle`.
    fn pop_newest(&self, name: &str, max_idle: Duration) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(name)?;
        connections.pop_if(|newest| newest.idle_since.elapsed() <= max_idle)
    }
}

fn unreachable_error(address: &str, reason: &str, cause: DisconnectCause) -> Error {
    let text = format!("connect to {address}: {reason}");
    Error::new(Code::EndpointUnreachable, text)
        .with_executed(Executed::No)
        .with_disconnect_cause(cause)
}

/// Tells how a connection broke from the HTTP library's error.
pub fn disconnect_cause(e: &hyper::Error) -> DisconnectCause {
    match DisconnectCause::from_error(e) {
        // The end of the connection in the middle of a message is no error of its socket.
        DisconnectCause::Other if e.is_incomplete_message() || e.is_closed() => {
            DisconnectCause::Closed
        }
        cause => cause,
    }
}

/// Opens a connection.
async fn open(address: &str, peer_kind: Ends) -> Result<Lease> {
    let to_connect_error = |e: std::io::Error| {
        unreachable_error(address, &e.to_string(), DisconnectCause::from_error(&e))
    };
    let parsed: SocketAddr = address
        .parse()
        .map_err(|e| unreachable_error(address, &format_error_chain(&e), DisconnectCause::Other))?;
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(parsed))
        .await
        .map_err(|_| unreachable_error(address, "timed out", DisconnectCause::TimedOut))?
        .map_err(to_connect_error)?;
    let is_unrepeatable = Waits::default();
    let socket = Way::new(stream, peer_kind, is_unrepeatable.clone()).map_err(to_connect_error)?;
    let (sender, conn) =
        Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(socket)).await.map_err(
            |e| unreachable_error(address, &format_error_chain(&e), disconnect_cause(&e)),
        )?;
    let task = tokio::task::spawn_local(async move {
        // Whoever waits for the answer sees the same error.
        drop(conn.await);
    });
    Ok(Lease { sender, task, is_unrepeatable, is_reused: false })
}
