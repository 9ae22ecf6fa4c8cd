//! The caller's end of a relayed stream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::backlog::{BacklogSender, Sent};
use crate::body::{BodyChunk, ResponseAborted, ResponseBody};
use crate::job::{Job, Traffic};

/// The caller's end of a stream: a buffer under load control, or else a short channel.
pub(super) enum CallerStream {
    Channel(mpsc::Sender<BodyChunk>),
    Buffer(BacklogSender),
}

impl CallerStream {
    /// Creates the body of a caller's response and the end that feeds it.
    pub(super) fn new(traffic: &Rc<Traffic>, job: &Job) -> (CallerStream, ResponseBody) {
        if traffic.has_load_control(&job.service) {
            let (tx, body) = traffic.backlog.stream(job);
            (CallerStream::Buffer(tx), body)
        } else {
            let (tx, body) = ResponseBody::channel();
            (CallerStream::Channel(tx), body)
        }
    }

    /// Passes an event on. Waits while the channel or buffer is full. While this waits, the endpoint
    /// is not read, and its silence is not measured.
    pub(super) async fn send(&self, bytes: Bytes, deadline: Instant) -> Sent {
        match self {
            CallerStream::Channel(tx) => match tx.send(Ok(bytes)).await {
                Ok(()) => Sent::Accepted,
                Err(_) => Sent::NoReader,
            },
            CallerStream::Buffer(tx) => tx.send(bytes, deadline).await,
        }
    }

    /// Waits until the caller has disconnected or its response was shed.
    pub(super) async fn closed(&self) {
        match self {
            CallerStream::Channel(tx) => tx.closed().await,
            CallerStream::Buffer(tx) => tx.closed().await,
        }
    }

    /// Reports whether the response was shed because of its slow caller.
    pub(super) fn is_shed(&self) -> bool {
        matches!(self, CallerStream::Buffer(tx) if tx.is_shed())
    }

    /// Ends a complete stream. A buffered one is aborted if its caller reads nothing for `limit`.
    pub(super) async fn finish(self, limit: Duration) {
        if let CallerStream::Buffer(tx) = self {
            tx.end();
            tx.wait_until_read(limit).await;
        }
    }

    /// Ends a stream so that it does not look complete, after the events that were passed on.
    pub(super) async fn abort(self, limit: Duration) {
        match self {
            // The caller may have disconnected already.
            CallerStream::Channel(tx) => drop(tx.send(Err(ResponseAborted)).await),
            CallerStream::Buffer(tx) => {
                tx.abort();
                tx.wait_until_read(limit).await;
            }
        }
    }
}
