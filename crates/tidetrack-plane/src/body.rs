//! Bodies of the responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::backlog::BacklogReceiver;

/// Maximum number of body chunks queued for a slow caller; beyond that, reading from the endpoint
/// pauses.
pub const MAX_QUEUED_CHUNKS: usize = 16;

/// Error for a response that ended before it was complete. The connection is then aborted, so that
/// the caller does not take the response for a complete one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseAborted;

impl std::fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the response was aborted before it was complete")
    }
}

impl std::error::Error for ResponseAborted {}

/// A chunk of a body that is fed through a channel, or the error that aborts the response.
pub type BodyChunk = Result<Bytes, ResponseAborted>;

enum Source {
    Complete(Option<Bytes>),
    Channel(mpsc::Receiver<BodyChunk>),
    /// A buffer, and the number of bytes that remain if the length is known.
    Backlog(BacklogReceiver, Option<u64>),
}

/// Body of a response. The `on_end` callbacks run when the connection has finished with it.
pub struct ResponseBody {
    source: Source,
    on_end: Option<Box<dyn FnOnce()>>,
}

impl ResponseBody {
    /// Creates a body from its complete bytes.
    pub fn from_bytes(bytes: Bytes) -> ResponseBody {
        ResponseBody { source: Source::Complete(Some(bytes)), on_end: None }
    }

    /// Creates a body and the channel that feeds its chunks.
    pub fn channel() -> (mpsc::Sender<BodyChunk>, ResponseBody) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
        (tx, ResponseBody::from_receiver(rx))
    }

    /// Creates a body whose chunks are read from `rx`.
    pub fn from_receiver(rx: mpsc::Receiver<BodyChunk>) -> ResponseBody {
        ResponseBody { source: Source::Channel(rx), on_end: None }
    }

    /// Creates a body that is read from a buffer; `length` is its length if it is known.
    pub fn from_backlog(buffer: BacklogReceiver, length: Option<u64>) -> ResponseBody {
        ResponseBody { source: Source::Backlog(buffer, length), on_end: None }
    }

    /// Sets the callback that ends the connection when a buffered body is shed.
    pub fn set_abort_callback(&self, f: impl FnOnce() + 'static) {
        if let Source::Backlog(buffer, _) = &self.source {
            buffer.set_abort_callback(f);
        }
    }

    /// Adds a callback that runs when the connection has finished with the body, after those added
    /// before.
    pub fn on_end(mut self, f: impl FnOnce() + 'static) -> ResponseBody {
        let previous = self.on_end.take();
        self.on_end = Some(Box::new(move || {
            if let Some(previous) = previous {
                previous();
            }
            f();
        }));
        self
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(f) = self.on_end.take() {
            f();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match &mut self.source {
            Source::Complete(bytes) => {
                Poll::Ready(bytes.take().filter(|b| !b.is_empty()).map(|b| Ok(Frame::data(b))))
            }
            Source::Channel(rx) => rx.poll_recv(cx).map(|chunk| chunk.map(|c| c.map(Frame::data))),
            Source::Backlog(buffer, remaining) => Pin::new(buffer).poll_next(cx).map(|chunk| {
                if let (Some(Ok(bytes)), Some(remaining)) = (&chunk, remaining) {
                    *remaining = remaining.saturating_sub(bytes.len() as u64);
                }
                chunk.map(|c| c.map(Frame::data))
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Source::Backlog(_, remaining) => *remaining == Some(0),
            Source::Channel(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Source::Backlog(_, Some(remaining)) => SizeHint::with_exact(*remaining),
            Source::Channel(_) | Source::Backlog(_, None) => SizeHint::default(),
        }
    }
}
