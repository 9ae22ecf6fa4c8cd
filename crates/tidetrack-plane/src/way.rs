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
const WRITTEN_FOR: Duration = Duration::from_millis(1_200);

/// A connection on which nothing moves is probed this often, so that one whose other end is cut off or
/// without power is noticed while a request or a watch waits on it.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Probes that may stay unanswered; on links that lose a few packets in a hundred, three in a row are
/// not lost by chance.
const PROBES: u32 = 3;

/// Limit that lets all these probes be sent: it ends between the last of them and the next.
const QUIET_FOR: Duration = Duration::from_millis(3_500);

/// Time after the last write from which a connection counts as quiet. The limit on what was written runs
/// from its first repetition, 0.2 to 0.4 s after it, and is over by then; the first probe without an answer
/// would end the connection 2 s after the last sign of life.
const QUIET_AFTER: Duration = Duration::from_millis(1_800);

/// Most bytes of a request that the other end surely has room for before it reads: a quarter of the
/// room that systems give to a new connection.
const ROOM: usize = 16 << 10;

/// Which ends a connection leads to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Ends {
    /// The store and other hosts: a lost call is made again at once, elsewhere too, and costs little.
    #[default]
    Own,
    /// Endpoints: a connection that is given up may be an answer lost.
    Endpoints,
}

/// Whether a request waits on a connection that can't go elsewhere if it breaks.
pub type Waits = Rc<Cell<bool>>;

/// A socket of a connection.
pub struct Way {
    stream: TcpStream,
    ends: Ends,
    waits: Waits,
    limit: Duration,
    /// Bytes that were written since the other end spoke last.
    written: usize,
    /// Runs while a write may be unacknowledged.
    becomes_quiet: Option<Pin<Box<Sleep>>>,
}

impl Way {
    /// Sets the limits of a connection that came up.
    pub fn new(stream: TcpStream, ends: Ends, waits: Waits) -> io::Result<Way> {
        stream.set_nodelay(true)?;
        let probes = TcpKeepalive::new()
            .with_time(PROBE_EVERY)
            .with_interval(PROBE_EVERY)
            .with_retries(PROBES);
        SockRef::from(&stream).set_tcp_keepalive(&probes)?;
        let (limit, written, becomes_quiet) = (Duration::ZERO, 0, None);
        let mut way = Way { stream, ends, waits, limit, written, becomes_quiet };
        way.limit_silence(WRITTEN_FOR)?;
        Ok(way)
    }

    fn limit_silence(&mut self, limit: Duration) -> io::Result<()> {
        if limit != self.limit {
            SockRef::from(&self.stream).set_tcp_user_timeout(Some(limit))?;
            self.limit = limit;
        }
        Ok(())
    }

    /// Sets the limit for bytes that are about to be written.
    fn writes(&mut self, cx: &mut Context<'_>, bytes: usize) -> io::Result<()> {
        if self.ends == Ends::Own {
            return Ok(());
        }
        let has_room = self.written.saturating_add(bytes) <= ROOM;
        self.limit_silence(if has_room { WRITTEN_FOR } else { QUIET_FOR })?;
        let at = Instant::now() + QUIET_AFTER;
        match &mut self.becomes_quiet {
            Some(sleep) => sleep.as_mut().reset(at),
            None => self.becomes_quiet = Some(Box::pin(tokio::time::sleep_until(at))),
        }
        // A connection that waits for its answer is not read until it is woken.
        self.look_whether_quiet(cx)
    }

    /// Sets the limit for a quiet connection when it has become one.
    fn look_whether_quiet(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let sleep = self.becomes_quiet.as_mut();
        if sleep.is_some_and(|sleep| sleep.as_mut().poll(cx).is_ready()) {
            self.becomes_quiet = None;
            if self.written == 0 || self.waits.get() {
                self.limit_silence(QUIET_FOR)?;
            }
        }
        Ok(())
    }

    /// Takes note that the other end spoke: it has what was written.
    fn has_spoken(&mut self) -> io::Result<()> {
        self.written = 0;
        match (self.ends, &self.becomes_quiet) {
            (Ends::Endpoints, None) => self.limit_silence(QUIET_FOR),
            _ => Ok(()),
        }
    }

    fn has_written(&mut self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = polled {
            self.written = self.written.saturating_add(*bytes);
        }
    }
}

impl AsyncRead for Way {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.look_whether_quiet(cx)?;
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.has_spoken()?;
        }
        polled
    }
}

impl AsyncWrite for Way {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.writes(cx, buf.len())?;
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.has_written(&polled);
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
        self.writes(cx, bufs.iter().map(|buf| buf.len()).sum())?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.has_written(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
