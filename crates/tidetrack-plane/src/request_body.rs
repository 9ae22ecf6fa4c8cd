//! Bodies of requests: read into memory that is bounded over the whole host, kept in segments, and
//! sent to endpoints from there.
//!
//! The core crate decides which bodies get memory; this module holds the bytes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::Notify;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::WorkspaceId;
use tidetrack_core::traffic::body_budget::{BodyBudget, BodyLimits, BodyNumber, PROGRESS_BYTES};

use crate::choose::RETRY_OVERLOADED_MS;
use crate::shared::SharedRef;

/// Size in bytes of the first segment of a body of unknown length.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;

/// Size in bytes of the first segment of a body of known length, unless the body is smaller.
const FIRST_KNOWN_SEGMENT_BYTES: usize = 16 << 10;

/// Maximum size of a segment in bytes.
const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// Time for which the rest of a refused body is read. Closing a connection with unread bytes resets it,
/// and the caller may then not receive the refusal.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// A complete request body. Clones share its bytes.
#[derive(Clone, Debug, Default)]
pub struct RequestBody {
    segments: Arc<[Bytes]>,
    len: usize,
}

impl RequestBody {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Reports whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the segments, in order.
    pub fn segments(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(|segment| &segment[..])
    }
}

/// Body of a request that the host sends.
#[derive(Debug, Default)]
pub struct OutgoingBody {
    segments: Arc<[Bytes]>,
    /// Index of the next segment.
    next: usize,
    remaining: u64,
}

impl From<&RequestBody> for OutgoingBody {
    fn from(body: &RequestBody) -> OutgoingBody {
        OutgoingBody { segments: body.segments.clone(), next: 0, remaining: body.len as u64 }
    }
}

impl From<Full<Bytes>> for OutgoingBody {
    fn from(body: Full<Bytes>) -> OutgoingBody {
        let segments: Arc<[Bytes]> = body.into_inner().into_iter().collect();
        let remaining = segments.iter().map(|segment| segment.len() as u64).sum();
        OutgoingBody { segments, next: 0, remaining }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        let segment = self.segments.get(self.next).filter(|_| self.remaining > 0).cloned();
        Poll::Ready(segment.map(|segment| {
            self.next += 1;
            self.remaining -= segment.len() as u64;
            Ok(Frame::data(segment))
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining)
    }
}

/// Memory of the host for request bodies.
pub struct BodyMemory {
    shared: SharedRef,
    budget: RefCell<BodyBudget>,
    /// Signals that tell arriving bodies that they have to give way.
    evictions: RefCell<HashMap<BodyNumber, Rc<Notify>>>,
    /// Largest body that callers may send, for which the bounds were last set.
    max_body_bytes: Cell<usize>,
}

impl BodyMemory {
    /// Creates the memory of a host, of which nothing is in use.
    pub fn new(shared: &SharedRef) -> Rc<BodyMemory> {
        let limits = BodyLimits::for_memory(shared.settings.memory);
        Rc::new(BodyMemory {
            shared: shared.clone(),
            budget: RefCell::new(BodyBudget::new(limits)),
            evictions: RefCell::default(),
            max_body_bytes: Cell::default(),
        })
    }

    /// Reads a whole body of a workspace's request. Returns it with the guard of its memory.
    ///
    /// Fails with `TooLarge` if the body exceeds `max_bytes` or announces to, with `NoBodyMemory` if
    /// the host has no memory for it or it has to give way, and with `BadBody` if it can't be read.
    pub async fn read(
        self: &Rc<BodyMemory>,
        body: &mut Incoming,
        workspace: Option<&WorkspaceId>,
        max_bytes: usize,
    ) -> Result<(RequestBody, Option<BodyHold>)> {
        let announced = body.size_hint().exact();
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(too_large_error(max_bytes));
        }
        if body.is_end_stream() {
            return Ok((RequestBody::default(), None));
        }
        self.allow_for(max_bytes);
        let hold = self.open(workspace);
        let mut segments = Segments::new(announced.map(|len| len as usize));
        loop {
            segments.reserve(&hold)?;
            let frame = tokio::select! {
                biased;
                () = hold.evicted.notified() => {
                    return Err(no_memory_error("the body gave way to others"));
                }
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|e| Error::new(Code::BadBody, e.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            if segments.len + data.len() > max_bytes {
                return Err(too_large_error(max_bytes));
            }
            segments.append(&data, &hold)?;
        }
        hold.complete();
        Ok((segments.finish(), Some(hold)))
    }

    /// Makes a body give way that makes no progress, if there is one.
    pub fn evict_stalled(&self) {
        let stalled = self.budget.borrow_mut().evict_stalled(self.shared.now());
        self.notify(stalled);
    }

    fn notify(&self, evicted: impl IntoIterator<Item = BodyNumber>) {
        for number in evicted {
            if let Some(evicted) = self.evictions.borrow_mut().remove(&number) {
                evicted.notify_one();
            }
        }
    }

    /// Raises the bounds if a single body needs more than its share of the memory.
    fn allow_for(&self, max_bytes: usize) {
        if self.max_body_bytes.replace(max_bytes) == max_bytes {
            return;
        }
        let limits = BodyLimits::for_memory(self.shared.settings.memory);
        let raised = limits.for_body((max_bytes + MAX_SEGMENT_BYTES) as u64);
        self.budget.borrow_mut().set_limits(raised);
        if raised != limits {
            let memory = self.shared.settings.memory;
            self.shared.journal.log(
                Event::BodyBoundRaised,
                &[("max_body", &max_bytes), ("memory_mb", &memory.0), ("bound", &raised.host)],
            );
        }
    }

    fn open(self: &Rc<BodyMemory>, workspace: Option<&WorkspaceId>) -> BodyHold {
        let number = self.budget.borrow_mut().open(self.shared.now(), workspace.cloned());
        let evicted = Rc::new(Notify::new());
        self.evictions.borrow_mut().insert(number, evicted.clone());
        BodyHold { memory: self.clone(), number, evicted }
    }

    fn record_use(&self) {
        self.shared.metrics.record_request_body_bytes(self.budget.borrow().held_bytes());
    }
}

/// Guard of the memory of one body, which is given back when it is dropped.
pub struct BodyHold {
    memory: Rc<BodyMemory>,
    number: BodyNumber,
    evicted: Rc<Notify>,
}

impl BodyHold {
    /// Reserves memory before it is allocated. Bodies that have to give way for it are notified.
    fn reserve(&self, bytes: usize) -> Result<()> {
        let now = self.memory.shared.now();
        let reserved = self.memory.budget.borrow_mut().reserve(now, self.number, bytes as u64);
        let evicted = reserved
            .ok_or_else(|| no_memory_error("the host has no memory left for the request's body"))?;
        self.memory.notify(evicted);
        self.memory.record_use();
        Ok(())
    }

    fn record_progress(&self) {
        let now = self.memory.shared.now();
        self.memory.budget.borrow_mut().record_progress(now, self.number);
    }

    fn complete(&self) {
        self.memory.budget.borrow_mut().complete(self.number);
        self.memory.evictions.borrow_mut().remove(&self.number);
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.memory.budget.borrow_mut().close(self.number);
        self.memory.evictions.borrow_mut().remove(&self.number);
        self.memory.record_use();
    }
}

/// Bytes of a body that is being read, in segments whose memory was reserved before.
struct Segments {
    full: Vec<Bytes>,
    current: Vec<u8>,
    len: usize,
    announced: Option<usize>,
    /// Length at which the body next has made progress.
    progress_at: usize,
}

impl Segments {
    fn new(announced: Option<usize>) -> Segments {
        let (full, current) = (Vec::new(), Vec::new());
        Segments { full, current, len: 0, announced, progress_at: PROGRESS_BYTES as usize }
    }

    /// Makes room for at least one more byte, unless the body is complete.
    fn reserve(&mut self, hold: &BodyHold) -> Result<()> {
        let has_room = self.current.len() < self.current.capacity();
        if has_room || self.announced == Some(self.len) {
            return Ok(());
        }
        let bytes = match self.announced {
            None => self.len.clamp(FIRST_SEGMENT_BYTES, MAX_SEGMENT_BYTES),
            Some(announced) => {
                let bytes = self.len.clamp(FIRST_KNOWN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
                bytes.min(announced - self.len)
            }
        };
        hold.reserve(bytes)?;
        let full = std::mem::replace(&mut self.current, Vec::with_capacity(bytes));
        self.full.extend(Some(full).filter(|full| !full.is_empty()).map(Bytes::from));
        Ok(())
    }

    /// Copies bytes, so that the buffer in which they were received can be used again.
    fn append(&mut self, mut data: &[u8], hold: &BodyHold) -> Result<()> {
        while !data.is_empty() {
            self.reserve(hold)?;
            let room = self.current.capacity() - self.current.len();
            let (now, later) = data.split_at(data.len().min(room));
            self.current.extend_from_slice(now);
            self.len += now.len();
            data = later;
        }
        if self.len >= self.progress_at {
            self.progress_at = self.len + PROGRESS_BYTES as usize;
            hold.record_progress();
        }
        Ok(())
    }

    fn finish(mut self) -> RequestBody {
        self.full.push(Bytes::from(self.current));
        RequestBody { segments: self.full.into(), len: self.len }
    }
}

fn too_large_error(max_bytes: usize) -> Error {
    Error::new(Code::TooLarge, format!("the body is larger than {max_bytes} bytes"))
}

fn no_memory_error(text: &str) -> Error {
    Error::new(Code::NoBodyMemory, text).with_retry_after(RETRY_OVERLOADED_MS)
}

/// Reads and drops the rest of a refused body in the background. Must be called on a `LocalSet`.
pub fn discard(mut body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    tokio::task::spawn_local(async move {
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        // Dropping the body closes the connection.
        let _ = tokio::time::timeout(DISCARD_TIME, rest).await;
    });
}
