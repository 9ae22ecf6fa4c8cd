//! A connection's socket, with limits on how long its other end may be silent.
//!
//! The system has one limit for all kinds of silence, and with it even a single probe without an answer
//! ends a connection. A request that has just been written is to be acknowledged soon. On a quiet
//! connection a probe or its answer may be lost or held up with nothing wrong; and of more bytes than the
//! other end has room for, some wait until it reads on. Those get a longer limit, unless a request waits
//! there that may as well go elsewhere: for that one, to leave an end without power soon is worth more.

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

/// Time after which unacknowledged bytes break a connection to an end that is cut off or without power,
/// soon enough for another endpoint to answer in time. Three losses of a packet in a row do not last
/// that long.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A connection on which nothing moves is probed this often, so that one whose other end is cut off or
/// without power is noticed while a request or a watch waits on it.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes that may stay unanswered; on links that lose a few packets in a hundred, three in a row are
/// not lost by chance.
const MAX_LOST_PROBES: u32 = 3;

/// Limit that lets all these probes be sent: it ends between the last of them and the next.
const QUIET_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Time after the last write from which a connection counts as quiet. The limit on what was written runs
/// from its first repetition, 0.2 to 0.4 s after it, and is over by then; the first probe without an answer
/// would end the connection 2 s after the last sign of life.
const QUIET_DELAY: Duration = Duration::from_millis(1_800);

/// Most bytes of a request that the other end surely has room for before it reads: a quarter of the
/// room that systems give to a new connection.
const MIN_RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Which ends a connection leads to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerKind {
    /// The store and other hosts: a lost call is made again at once, elsewhere too, and costs little.
    #[default]
    Internal,
    /// Endpoints: a connection that is given up may be an answer lost.
    Endpoint,
}

/// Whether a request waits on a connection that can't go elsewhere if it breaks.
pub type PinnedRequestFlag = Rc<Cell<bool>>;

/// A socket of a connection.
pub struct MonitoredSocket {
    stream: TcpStream,
    peer_kind: PeerKind,
    pinned_request: PinnedRequestFlag,
    timeout: Duration,
    /// Bytes that were written since the other end spoke last.
    unread_bytes: usize,
    /// Runs while a write may be unacknowledged.
    quiet_timer: Option<Pin<Box<Sleep>>>,
}

impl MonitoredSocket {
    /// Sets the limits of a connection that came up.
    pub fn new(
        stream: TcpStream,
        peer_kind: PeerKind,
        pinned_request: PinnedRequestFlag,
    ) -> io::Result<MonitoredSocket> {
        stream.set_nodelay(true)?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(MAX_LOST_PROBES);
        SockRef::from(&stream).set_tcp_keepalive(&probes)?;
        let (timeout, unread_bytes, quiet_timer) = (Duration::ZERO, 0, None);
        let mut socket = MonitoredSocket {
            stream,
            peer_kind,
            pinned_request,
            timeout,
            unread_bytes,
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

    /// Sets the limit for bytes that are about to be written.
    fn before_write(&mut self, cx: &mut Context<'_>, bytes: usize) -> io::Result<()> {
        if self.peer_kind == PeerKind::Internal {
            return Ok(());
        }
        let fits_buffer = self.unread_bytes.saturating_add(bytes) <= MIN_RECEIVE_BUFFER_BYTES;
        self.set_timeout(if fits_buffer { UNACKNOWLEDGED_TIMEOUT } else { QUIET_TIMEOUT })?;
        let quiet_at = Instant::now() + QUIET_DELAY;
        match &mut self.quiet_timer {
            Some(timer) => timer.as_mut().reset(quiet_at),
            None => self.quiet_timer = Some(Box::pin(tokio::time::sleep_until(quiet_at))),
        }
        // A connection that waits for its answer is not read until it is woken.
        self.poll_quiet_timer(cx)
    }

    /// Sets the limit for a quiet connection when it has become one.
    fn poll_quiet_timer(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let timer = self.quiet_timer.as_mut();
        if timer.is_some_and(|timer| timer.as_mut().poll(cx).is_ready()) {
            self.quiet_timer = None;
            if self.unread_bytes == 0 || self.pinned_request.get() {
                self.set_timeout(QUIET_TIMEOUT)?;
            }
        }
        Ok(())
    }

    /// Takes note that the other end spoke: it has what was written.
    fn record_read(&mut self) -> io::Result<()> {
        self.unread_bytes = 0;
        match (self.peer_kind, &self.quiet_timer) {
            (PeerKind::Endpoint, None) => self.set_timeout(QUIET_TIMEOUT),
            _ => Ok(()),
        }
    }

    fn record_write(&mut self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = polled {
            self.unread_bytes = self.unread_bytes.saturating_add(*bytes);
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
