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

use crate::clock::BootInstant;
use crate::socket::{MonitoredSocket, PeerKind, PinnedRequestFlag};

/// Longest time for a connection to come up. Within a region one takes a few milliseconds; the rest
/// covers a lost packet.
pub const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// Idle connections kept to one endpoint.
const MOST_IDLE: usize = 24;

/// How long a connection rests at most, where its other end names no time.
const USUAL_IDLE: Duration = Duration::from_secs(20);

/// Part of the named time after which a resting connection is not used any more.
const USED_IDLE_PART: f64 = 0.7;

/// Longest rest of a connection for a request that must not be sent twice. Endpoints may forget a
/// connection without a word once it rested for some 300 ms; whether the request came there is then not
/// known, and a new connection costs a millisecond.
const REST_FOR_ONCE: Duration = Duration::from_millis(200);

/// Gets the longest rest of a connection on which a request may go.
pub fn most_rest(is_repeatable: bool) -> Duration {
    if is_repeatable {
        Duration::MAX
    } else {
        REST_FOR_ONCE
    }
}

/// Pause between sweeps of connections that rest.
const SWEEP: Duration = Duration::from_secs(5);

/// Largest head of an answer, in bytes.
const MOST_HEAD_BYTES: usize = 64 << 10;

/// A connection that one request uses. Dropped without being kept, it is closed.
pub struct Lease {
    /// Sends the request.
    pub sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    waits: PinnedRequestFlag,
    /// Whether it carried an earlier request.
    pub is_reused: bool,
}

impl Lease {
    /// Sets whether the request about to be sent can't go elsewhere if the connection breaks.
    pub fn waits(&self, waits: bool) {
        self.waits.set(waits);
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
    since: BootInstant,
    until: BootInstant,
}

/// Connections by the name of their other end.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<HashMap<String, Vec<Idle>>>,
    ends: PeerKind,
    /// When the last one began of what came up or was answered promptly.
    prompt_at: Cell<Option<Instant>>,
}

impl Pool {
    /// Makes a pool of connections to endpoints.
    pub fn to_endpoints() -> Pool {
        Pool { ends: PeerKind::Endpoint, ..Pool::default() }
    }

    /// Takes a kept connection that rested no longer than `most_rest`, or opens one.
    pub async fn take(&self, name: &str, address: &str, most_rest: Duration) -> Result<Lease> {
        while let Some(mut idle) = self.pop(name, most_rest) {
            let is_usable = BootInstant::now() < idle.until && !idle.lease.sender.is_closed();
            if is_usable && idle.lease.sender.ready().await.is_ok() {
                idle.lease.is_reused = true;
                return Ok(idle.lease);
            }
        }
        self.open(address).await
    }

    /// Sees to it that a connection is kept for a request that is about to be sent.
    pub async fn prepare(&self, name: &str, address: &str, most_rest: Duration) -> Result<()> {
        let now = BootInstant::now();
        let is_usable = |newest: &Idle| {
            newest.since.elapsed() <= most_rest
                && now < newest.until
                && !newest.lease.sender.is_closed()
        };
        let newest_is_usable =
            self.idle.borrow().get(name).and_then(|of_end| of_end.last()).is_some_and(is_usable);
        if !newest_is_usable {
            let lease = self.open(address).await?;
            self.keep(name, lease, None);
        }
        Ok(())
    }

    async fn open(&self, address: &str) -> Result<Lease> {
        let began = Instant::now();
        let lease = open(address, self.ends).await?;
        self.came(began);
        Ok(lease)
    }

    /// Takes note that something came that was asked for at an instant.
    pub fn came(&self, began: Instant) {
        if began.elapsed().as_millis() <= u128::from(MAX_PROMPT_LATENCY.0) {
            self.prompt_at.set(Some(began));
        }
    }

    /// Gets when the last one began of what came up or was answered promptly.
    pub fn prompt_at(&self) -> Option<Instant> {
        self.prompt_at.get()
    }

    /// Keeps a connection whose answer has come to its end.
    pub fn keep(&self, name: &str, lease: Lease, idle_time: Option<Duration>) {
        if lease.sender.is_closed() {
            return;
        }
        let rest = idle_time.unwrap_or(USUAL_IDLE).mul_f64(USED_IDLE_PART);
        let mut all = self.idle.borrow_mut();
        let of_end = all.entry(name.to_string()).or_default();
        if of_end.len() < MOST_IDLE {
            let now = BootInstant::now();
            of_end.push(Idle { lease, since: now, until: now.saturating_add(rest) });
        }
    }

    /// Closes all connections to an end.
    pub fn forget(&self, name: &str) {
        self.idle.borrow_mut().remove(name);
    }

    /// Closes connections that rested too long, and those whose other end is not `wanted`.
    fn sweep(&self, wanted: impl Fn(&str) -> bool) {
        let now = BootInstant::now();
        self.idle.borrow_mut().retain(|name, of_end| {
            of_end.retain(|i| now < i.until && !i.lease.sender.is_closed());
            !of_end.is_empty() && wanted(name)
        });
    }

    /// Sweeps again and again, until the process ends.
    pub async fn keep_swept(&self, wanted: impl Fn(&str) -> bool) {
        loop {
            tokio::time::sleep(SWEEP).await;
            self.sweep(&wanted);
        }
    }

    /// Gets the connection that rested least, if it rested no longer than `most_rest`.
    fn pop(&self, name: &str, most_rest: Duration) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let of_end = idle.get_mut(name)?;
        of_end.pop_if(|newest| newest.since.elapsed() <= most_rest)
    }
}

fn unreachable(address: &str, why: &str, broke: DisconnectCause) -> Error {
    let text = format!("connect to {address}: {why}");
    Error::new(Code::EndpointUnreachable, text)
        .with_executed(Executed::No)
        .with_disconnect_cause(broke)
}

/// Tells how a connection broke from the HTTP library's error.
pub fn broke(e: &hyper::Error) -> DisconnectCause {
    match DisconnectCause::from_error(e) {
        // The end of the connection in the middle of a message is no error of its socket.
        DisconnectCause::Other if e.is_incomplete_message() || e.is_closed() => {
            DisconnectCause::Closed
        }
        broke => broke,
    }
}

/// Opens a connection.
async fn open(address: &str, ends: PeerKind) -> Result<Lease> {
    let of_socket =
        |e: std::io::Error| unreachable(address, &e.to_string(), DisconnectCause::from_error(&e));
    let parsed: SocketAddr = address
        .parse()
        .map_err(|e| unreachable(address, &format_error_chain(&e), DisconnectCause::Other))?;
    let stream = tokio::time::timeout(CONNECT_WITHIN, TcpStream::connect(parsed))
        .await
        .map_err(|_| unreachable(address, "timed out", DisconnectCause::TimedOut))?
        .map_err(of_socket)?;
    let waits = PinnedRequestFlag::default();
    let way = MonitoredSocket::new(stream, ends, waits.clone()).map_err(of_socket)?;
    let (sender, conn) = Builder::new()
        .max_buf_size(MOST_HEAD_BYTES)
        .handshake(TokioIo::new(way))
        .await
        .map_err(|e| unreachable(address, &format_error_chain(&e), broke(&e)))?;
    let task = tokio::task::spawn_local(async move {
        // Whoever waits for the answer sees the same error.
        drop(conn.await);
    });
    Ok(Lease { sender, task, waits, is_reused: false })
}
