//! Buffers of the responses to callers that read slowly, counted against the host's bound.
//!
//! The core crate decides which responses are shed; this module holds their bytes and aborts them.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::Notify;

use tidetrack_core::events::Event;
use tidetrack_core::traffic::reader_backlog::{BacklogLimits, ReaderBacklog, StreamNumber};

use crate::body::{BodyChunk, ResponseAborted, ResponseBody};
use crate::job::Job;
use crate::shared::SharedRef;

/// Memory of a queued chunk beside its bytes: its place in the queue and its share of an allocation.
const CHUNK_OVERHEAD_BYTES: usize = 64;

/// Interval at which a stream that is paused by the host's bound checks it again. Its own caller's
/// progress wakes it at once.
const HOST_BOUND_POLL: Duration = Duration::from_millis(50);

/// Bytes that the host holds for its callers.
pub struct HostBacklog {
    shared: SharedRef,
    decisions: RefCell<ReaderBacklog>,
    queues: RefCell<HashMap<StreamNumber, Weak<Queue>>>,
}

impl HostBacklog {
    /// Creates an empty backlog with the bounds of the host's memory.
    pub fn new(shared: &SharedRef) -> Rc<HostBacklog> {
        let limits = BacklogLimits::for_memory(shared.settings.memory);
        Rc::new(HostBacklog {
            shared: shared.clone(),
            decisions: RefCell::new(ReaderBacklog::new(limits)),
            queues: RefCell::default(),
        })
    }

    /// Creates a buffered body of a stream, and the sender that feeds it.
    pub fn stream(self: &Rc<HostBacklog>, job: &Job) -> (BacklogSender, ResponseBody) {
        let queue = self.open(job);
        (BacklogSender(queue.clone()), ResponseBody::from_backlog(BacklogReceiver(queue), None))
    }

    /// Creates the body of a whole response from its segments, each of which is counted until the
    /// caller's connection takes it. A caller that reads nothing of it for as long as its
    /// request may take is disconnected.
    pub fn whole_response(self: &Rc<HostBacklog>, job: &Job, segments: Vec<Bytes>) -> ResponseBody {
        if segments.is_empty() {
            return ResponseBody::from_bytes(Bytes::new());
        }
        let queue = self.open(job);
        let length = segments.iter().map(|segment| segment.len() as u64).sum();
        segments.into_iter().for_each(|segment| queue.push(segment));
        let sender = BacklogSender(queue.clone());
        sender.end();
        let limit = job.deadline.saturating_duration_since(job.started_at);
        tokio::task::spawn_local(async move { sender.wait_until_read(limit).await });
        ResponseBody::from_backlog(BacklogReceiver(queue), Some(length))
    }

    /// Counts a request body until the returned guard is dropped.
    pub fn hold_request_body(self: &Rc<HostBacklog>, bytes: usize) -> HeldBody {
        let now = self.shared.now();
        let shed = self.decisions.borrow_mut().add_body(now, bytes as u64);
        self.shed(&shed);
        HeldBody { backlog: self.clone(), bytes: bytes as u64 }
    }

    fn open(self: &Rc<HostBacklog>, job: &Job) -> Rc<Queue> {
        let workspace = job.admitted.holder.as_ref().map(|h| h.workspace.clone());
        let number = self.decisions.borrow_mut().open(self.shared.now(), workspace);
        let queue = Rc::new(Queue {
            backlog: self.clone(),
            number,
            request: job.id.clone(),
            chunks: RefCell::default(),
            reader: RefCell::default(),
            changed: Notify::new(),
            abort_connection: RefCell::default(),
            read_at: Cell::new(Instant::now()),
            has_ended: Cell::new(false),
            is_closed: Cell::new(false),
            is_shed: Cell::new(false),
            is_paused: Cell::new(false),
        });
        self.queues.borrow_mut().insert(number, Rc::downgrade(&queue));
        queue
    }

    /// Aborts responses that were shed for the host's bound.
    fn shed(&self, numbers: &[StreamNumber]) {
        for number in numbers {
            let queue = self.queues.borrow().get(number).and_then(Weak::upgrade);
            if let Some(queue) = queue {
                queue.shed("host_bound");
            }
        }
        self.shared.metrics.record_held_bytes(self.decisions.borrow().held_bytes());
    }
}

/// Guard that counts the bytes of a request body until it is dropped.
pub struct HeldBody {
    backlog: Rc<HostBacklog>,
    bytes: u64,
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.backlog.decisions.borrow_mut().release_body(self.bytes);
    }
}

/// Chunks of one response that the caller's connection has not taken yet.
struct Queue {
    backlog: Rc<HostBacklog>,
    number: StreamNumber,
    request: String,
    chunks: RefCell<VecDeque<BodyChunk>>,
    reader: RefCell<Option<Waker>>,
    /// Signalled when the caller disconnects, the response is shed, or the caller takes a chunk of a
    /// paused stream.
    changed: Notify,
    /// Ends the caller's connection. A connection whose caller reads nothing does not take the
    /// error at the end of its body.
    abort_connection: RefCell<Option<Box<dyn FnOnce()>>>,
    read_at: Cell<Instant>,
    has_ended: Cell<bool>,
    is_closed: Cell<bool>,
    is_shed: Cell<bool>,
    /// Whether the sender waits for free space. A sender that does not wait is not woken for each chunk.
    is_paused: Cell<bool>,
}

impl Queue {
    fn has_reader(&self) -> bool {
        !self.is_closed.get() && !self.is_shed.get()
    }

    fn push(&self, bytes: Bytes) {
        let held = (bytes.len() + CHUNK_OVERHEAD_BYTES) as u64;
        self.chunks.borrow_mut().push_back(Ok(bytes));
        self.wake_reader();
        let now = self.backlog.shared.now();
        let shed = self.backlog.decisions.borrow_mut().add(now, self.number, held);
        self.backlog.shed(&shed);
    }

    fn poll_pop(&self, cx: &mut Context<'_>) -> Poll<Option<BodyChunk>> {
        let chunk = self.chunks.borrow_mut().pop_front();
        match &chunk {
            Some(Ok(bytes)) => {
                let held = (bytes.len() + CHUNK_OVERHEAD_BYTES) as u64;
                let mut decisions = self.backlog.decisions.borrow_mut();
                decisions.release(self.backlog.shared.now(), self.number, held);
                self.backlog.shared.metrics.record_held_bytes(decisions.held_bytes());
                self.read_at.set(Instant::now());
                if self.is_paused.get() {
                    self.changed.notify_one();
                }
            }
            Some(Err(_)) => {}
            None if self.has_ended.get() => return Poll::Ready(None),
            None => {
                *self.reader.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            }
        }
        Poll::Ready(chunk)
    }

    fn wake_reader(&self) {
        let reader = self.reader.borrow_mut().take();
        if let Some(reader) = reader {
            reader.wake();
        }
    }

    /// Drops the held chunks and aborts the caller's connection.
    fn shed(&self, reason: &'static str) {
        if self.is_shed.replace(true) {
            return;
        }
        let shared = &self.backlog.shared;
        let chunks = std::mem::take(&mut *self.chunks.borrow_mut());
        let bytes: usize = chunks.iter().flatten().map(Bytes::len).sum();
        self.chunks.borrow_mut().push_back(Err(ResponseAborted));
        self.backlog.decisions.borrow_mut().close(self.number);
        let unread_ms = self.read_at.get().elapsed().as_millis();
        shared.metrics.record_shed_stream(reason);
        shared.journal.log(
            Event::StreamShed,
            &[
                ("request", &self.request),
                ("why", &reason),
                ("bytes", &bytes),
                ("unread_ms", &unread_ms),
            ],
        );
        self.wake_reader();
        self.changed.notify_one();
        let abort = self.abort_connection.borrow_mut().take();
        if let Some(abort) = abort {
            abort();
        }
    }
}

/// Result of passing an event to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// The event was passed on or buffered.
    Accepted,
    /// The caller has disconnected, or its response was shed.
    NoReader,
}

/// Feeds a buffered body.
pub struct BacklogSender(Rc<Queue>);

impl BacklogSender {
    /// Buffers a chunk, and waits while the bound of the stream or of the host is reached. A response
    /// that is still paused at the deadline is aborted.
    pub async fn send(&self, bytes: Bytes, deadline: Instant) -> Sent {
        if !self.0.has_reader() {
            return Sent::NoReader;
        }
        self.0.push(bytes);
        loop {
            if !self.0.has_reader() {
                return Sent::NoReader;
            }
            if !self.0.backlog.decisions.borrow().is_full(self.0.number) {
                return Sent::Accepted;
            }
            if deadline <= Instant::now() {
                self.0.shed("deadline");
                return Sent::NoReader;
            }
            let poll_at = deadline.min(Instant::now() + HOST_BOUND_POLL);
            self.0.is_paused.set(true);
            tokio::select! {
                () = self.0.changed.notified() => {}
                () = tokio::time::sleep_until(tokio::time::Instant::from_std(poll_at)) => {}
            }
            self.0.is_paused.set(false);
        }
    }

    /// Marks the response as complete.
    pub fn end(&self) {
        self.0.has_ended.set(true);
        self.0.wake_reader();
    }

    /// Ends the response with an error after the buffered chunks.
    pub fn abort(&self) {
        if self.0.has_reader() {
            self.0.chunks.borrow_mut().push_back(Err(ResponseAborted));
        }
        self.end();
    }

    /// Reports whether the response was shed.
    pub fn is_shed(&self) -> bool {
        self.0.is_shed.get()
    }

    /// Waits until the caller has disconnected or the response was shed.
    pub async fn closed(&self) {
        while self.0.has_reader() {
            self.0.changed.notified().await;
        }
    }

    /// Waits until the caller's connection has taken the whole response. Aborts it if the connection
    /// takes nothing for `limit`.
    pub async fn wait_until_read(&self, limit: Duration) {
        while self.0.has_reader() {
            let limit_at = self.0.read_at.get() + limit;
            if limit_at <= Instant::now() {
                return self.0.shed("unread");
            }
            tokio::select! {
                () = self.0.changed.notified() => {}
                () = tokio::time::sleep_until(tokio::time::Instant::from_std(limit_at)) => {}
            }
        }
    }
}

impl Drop for BacklogSender {
    fn drop(&mut self) {
        // A response whose sender is dropped before its end must not look complete.
        if !self.0.has_ended.get() {
            self.abort();
        }
    }
}

/// The reading end of a buffered body.
pub struct BacklogReceiver(Rc<Queue>);

impl BacklogReceiver {
    /// Returns the next chunk, or `None` at the end of a complete response.
    pub fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<BodyChunk>> {
        self.0.poll_pop(cx)
    }

    /// Sets the callback that ends the connection when the response is shed.
    pub fn set_abort_callback(&self, f: impl FnOnce() + 'static) {
        *self.0.abort_connection.borrow_mut() = Some(Box::new(f));
    }
}

impl Drop for BacklogReceiver {
    fn drop(&mut self) {
        let queue = &self.0;
        queue.is_closed.set(true);
        queue.chunks.borrow_mut().clear();
        let mut decisions = queue.backlog.decisions.borrow_mut();
        decisions.close(queue.number);
        queue.backlog.shared.metrics.record_held_bytes(decisions.held_bytes());
        queue.backlog.queues.borrow_mut().remove(&queue.number);
        queue.changed.notify_one();
    }
}
