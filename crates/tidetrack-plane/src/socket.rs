//! A TCP socket with limits on how long the other end may be silent.
//!
//! The operating system has a single timeout for all kinds of silence, and it also makes a single
//! unanswered keepalive probe end a connection. A request that has just been written must be
//! acknowledged soon. On a quiet connection, however, a probe or its response may be lost or
//! delayed without a fault; and if more bytes are written than the other end can buffer, some stay
//! unacknowledged until it reads. These cases get a longer timeout, unless a request that can be
//! retried elsewhere is waiting on the connection: for that one it matters more to leave an end
//! without power soon.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};

/// Time after which unacknowledged bytes break a connection to an end that is disconnected or
/// without power. It is short enough for another endpoint to respond in time, and longer than three
/// consecutive packet losses.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval of the keepalive probes on an idle connection. They detect an end that is disconnected
/// or without power while a request or a watch waits on it.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of probes that may stay unanswered. On links that lose a few percent of their packets,
/// three consecutive losses do not happen by chance.
const MAX_LOST_PROBES: u32 = 3;

/// Timeout of a quiet connection. It ends between the last permitted probe and the next one.
const QUIET_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Time after the last write from which a connection counts as quiet. The timeout for written bytes
/// starts with their first retransmission, 0.2 to 0.4 s after the write, and has passed by then.
/// Otherwise the first unanswered probe would end the connection 2 s after the last packet
/// received.
const QUIET_DELAY: Duration = Duration::from_millis(1_800);

/// Number of request bytes that the other end can certainly buffer before it reads: a quarter of
/// the receive buffer that operating systems give a new connection.
const MIN_RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// What a connection leads to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerKind {
    /// The store or another host. A lost call is cheap and is retried at once, also elsewhere.
    #[default]
    Internal,
    /// An endpoint. Giving up a connection may lose a response.
    Endpoint,
}

/// Whether a request that cannot be retried elsewhere is waiting on the connection.
pub type PinnedRequestFlag = Rc<Cell<bool>>;

/// Whether a connection carries a request, and whether the other end has sent bytes while it carried none.
#[derive(Clone, Debug, Default)]
pub struct SurplusFlags(Rc<SurplusState>);

#[derive(Debug, Default)]
struct SurplusState {
    is_idle: Cell<bool>,
    has_surplus: Cell<bool>,
}

impl SurplusFlags {
    /// Records whether the connection carries no request.
    pub fn set_idle(&self, is_idle: bool) {
        self.0.is_idle.set(is_idle);
    }

    /// Reports whether bytes were received that belong to no request.
    pub fn has_surplus(&self) -> bool {
        self.0.has_surplus.get()
    }

    fn record_read(&self) {
        if self.0.is_idle.get() {
            self.0.has_surplus.set(true);
        }
    }
}

/// A connected socket with silence limits.
pub struct MonitoredSocket {
    stream: TcpStream,
    peer_kind: PeerKind,
    has_pinned_request: PinnedRequestFlag,
    surplus: SurplusFlags,
    timeout: Duration,
    /// Bytes written since the other end last sent any.
    unanswered_bytes: usize,
    /// Pending while written bytes may still be unacknowledged.
    quiet_timer: Option<Pin<Box<Sleep>>>,
}

impl MonitoredSocket {
    /// Sets up keepalive and the timeout of a new connection.
    pub fn new(
        stream: TcpStream,
        peer_kind: PeerKind,
        has_pinned_request: PinnedRequestFlag,
        surplus: SurplusFlags,
    ) -> io::Result<MonitoredSocket> {
        stream.set_nodelay(true)?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(MAX_LOST_PROBES);
        SockRef::from(&stream).set_tcp_keepalive(&probes)?;
        let (timeout, unanswered_bytes, quiet_timer) = (Duration::ZERO, 0, None);
        let mut socket = MonitoredSocket {
            stream,
            peer_kind,
            has_pinned_request,
            surplus,
            timeout,
            unanswered_bytes,
            quiet_timer,
        };
        socket.set_timeout(UNACKNOWLEDGED_TIMEOUT)?;
        Ok(socket)
    }

    fn set_timeout(&mut self, timeout: Duration) -> io::Result<()> {
        if timeout != self.timeout {
            SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout))?;
            self.timeout = timeout;
        }
        Ok(())
    }

    /// Sets the timeout for bytes that are about to be written.
    fn before_write(&mut self, cx: &mut Context<'_>, bytes: usize) -> io::Result<()> {
        if self.peer_kind == PeerKind::Internal {
            return Ok(());
        }
        let fits_buffer = self.unanswered_bytes.saturating_add(bytes) <= MIN_RECEIVE_BUFFER_BYTES;
        self.set_timeout(if fits_buffer { UNACKNOWLEDGED_TIMEOUT } else { QUIET_TIMEOUT })?;
        let quiet_at = Instant::now() + QUIET_DELAY;
        match &mut self.quiet_timer {
            Some(timer) => timer.as_mut().reset(quiet_at),
            None => self.quiet_timer = Some(Box::pin(tokio::time::sleep_until(quiet_at))),
        }
        // A connection that waits for its response is not polled until it is woken, so the timer is
        // polled here to register the waker.
        self.poll_quiet_timer(cx)
    }

    /// Sets the timeout of a quiet connection once the timer has expired.
    fn poll_quiet_timer(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let timer = self.quiet_timer.as_mut();
        if timer.is_some_and(|timer| timer.as_mut().poll(cx).is_ready()) {
            self.quiet_timer = None;
            if self.unanswered_bytes == 0 || self.has_pinned_request.get() {
                self.set_timeout(QUIET_TIMEOUT)?;
            }
        }
        Ok(())
    }

    /// Records that the other end sent bytes, and has thus received what was written.
    fn record_read(&mut self) -> io::Result<()> {
        self.surplus.record_read();
        self.unanswered_bytes = 0;
        match (self.peer_kind, &self.quiet_timer) {
            (PeerKind::Endpoint, None) => self.set_timeout(QUIET_TIMEOUT),
            _ => Ok(()),
        }
    }

    fn record_write(&mut self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = polled {
            self.unanswered_bytes = self.unanswered_bytes.saturating_add(*bytes);
        }
    }
}

impl AsyncRead for MonitoredSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_quiet_timer(cx)?;
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.record_read()?;
        }
        polled
    }
}

impl AsyncWrite for MonitoredSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.before_write(cx, buf.len())?;
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write(cx, bufs.iter().map(|buf| buf.len()).sum())?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
