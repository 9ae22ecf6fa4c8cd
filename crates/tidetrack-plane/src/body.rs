//! Bodies of the answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// Pieces of an answer that may wait for a slow reader; more hold the endpoint up.
pub const WAITING: usize = 16;

/// The answer ended before it was whole. The connection is then broken off, so that the caller
/// cannot take it for complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for BrokenOff {}

/// What may be sent into a piped body.
pub type Piece = Result<Bytes, BrokenOff>;

enum Source {
    Whole(Option<Bytes>),
    Piped(mpsc::Receiver<Piece>),
}

/// The body of an answer; `on_end` runs when the connection is done with it.
pub struct AnswerBody {
    source: Source,
    on_end: Option<Box<dyn FnOnce()>>,
}

impl AnswerBody {
    /// Makes a body that is there as a whole.
    pub fn whole(bytes: Bytes) -> AnswerBody {
        AnswerBody { source: Source::Whole(Some(bytes)), on_end: None }
    }

    /// Makes a body that comes piece by piece.
    pub fn piped() -> (mpsc::Sender<Piece>, AnswerBody) {
        let (tx, rx) = mpsc::channel(WAITING);
        (tx, AnswerBody::from_pieces(rx))
    }

    /// Makes a body from pieces that come over a channel.
    pub fn from_pieces(rx: mpsc::Receiver<Piece>) -> AnswerBody {
        AnswerBody { source: Source::Piped(rx), on_end: None }
    }

    /// Adds what is to be done when the connection is done with the body.
    pub fn on_end(mut self, f: impl FnOnce() + 'static) -> AnswerBody {
        let before = self.on_end.take();
        self.on_end = Some(Box::new(move || {
            if let Some(before) = before {
                before();
            }
            f();
        }));
        self
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(f) = self.on_end.take() {
            f();
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut self.source {
            Source::Whole(bytes) => {
                Poll::Ready(bytes.take().filter(|b| !b.is_empty()).map(|b| Ok(Frame::data(b))))
            }
            Source::Piped(rx) => rx.poll_recv(cx).map(|piece| piece.map(|p| p.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.source, Source::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Source::Piped(_) => SizeHint::default(),
        }
    }
}
