//! Memory for whole responses while they are collected from endpoints.
//!
//! A response reserves memory as it grows, and is not read while there is none. So that responses which
//! hold a part each don't wait for each other, one of them at a time may go on without reservation.
//! What is collected is then held for its caller by `backlog`.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::{Semaphore, SemaphorePermit};

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::disconnect::format_error_chain;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::traffic::reader_backlog::collected_bytes;
use tidetrack_core::units::MemorySize;

use crate::pool::disconnect_cause;

/// Maximum size in bytes of a response body that is collected before it is forwarded.
pub const MAX_COLLECTED_BYTES: usize = 1 << 20;

/// Bytes of a response that are collected without a reservation. Most whole responses are smaller.
const UNRESERVED_BYTES: usize = 16 << 10;

/// Maximum size of a segment in bytes.
const SEGMENT_BYTES: usize = 16 << 10;

/// Size in bytes of the first segment of a body of unknown length.
const FIRST_SEGMENT_BYTES: usize = 2 << 10;

/// Bytes per permit of the semaphore.
const PERMIT_BYTES: usize = 1 << 10;

/// A response body in segments, with the reservation of its memory.
#[derive(Default)]
pub struct CollectedBody<'a> {
    /// The bytes.
    pub segments: Vec<Bytes>,
    /// Number of bytes.
    pub len: usize,
    reserved: Option<SemaphorePermit<'a>>,
    /// Permission to go on without reservations.
    unlimited: Option<SemaphorePermit<'a>>,
}

/// Memory for responses that are being collected.
pub struct ResponseMemory {
    permits: Semaphore,
    unlimited: Semaphore,
}

impl ResponseMemory {
    /// Creates the memory of a host, of which nothing is in use.
    pub fn new(memory: MemorySize) -> ResponseMemory {
        let bytes = (collected_bytes(memory) as usize).max(MAX_COLLECTED_BYTES);
        let permits = Semaphore::new(bytes / PERMIT_BYTES);
        ResponseMemory { permits, unlimited: Semaphore::new(1) }
    }

    /// Reads a complete body of at most `MAX_COLLECTED_BYTES`. Waits while there is no memory for it.
    ///
    /// Fails with `EndpointFailed` if the body breaks off or is too large.
    pub async fn collect(&self, mut body: Incoming) -> Result<CollectedBody<'_>> {
        if body.size_hint().lower() > MAX_COLLECTED_BYTES as u64 {
            return Err(too_large_error());
        }
        let announced = body.size_hint().exact().map(|len| len as usize);
        let mut collected = CollectedBody::default();
        let mut segment: Vec<u8> = Vec::new();
        loop {
            if announced != Some(collected.len) {
                self.make_room(&mut collected, &mut segment, announced).await;
            }
            let Some(frame) = body.frame().await else { break };
            let mut frame = frame.map_err(body_error)?.into_data().unwrap_or_default();
            if collected.len + frame.len() > MAX_COLLECTED_BYTES {
                return Err(too_large_error());
            }
            while !frame.is_empty() {
                self.make_room(&mut collected, &mut segment, announced).await;
                let room = segment.capacity() - segment.len();
                let part = frame.split_to(frame.len().min(room));
                segment.extend_from_slice(&part);
                collected.len += part.len();
            }
        }
        collected.push(segment);
        Ok(collected)
    }

    /// Begins another segment if the present one is full.
    async fn make_room<'a>(
        &'a self,
        collected: &mut CollectedBody<'a>,
        segment: &mut Vec<u8>,
        announced: Option<usize>,
    ) {
        if segment.len() < segment.capacity() {
            return;
        }
        let bytes = match announced {
            Some(announced) => announced - collected.len,
            None => collected.len.max(FIRST_SEGMENT_BYTES),
        };
        let bytes = bytes.min(SEGMENT_BYTES);
        self.reserve(collected, bytes).await;
        collected.push(std::mem::replace(segment, Vec::with_capacity(bytes)));
    }

    async fn reserve<'a>(&'a self, collected: &mut CollectedBody<'a>, bytes: usize) {
        if collected.len + bytes <= UNRESERVED_BYTES || collected.unlimited.is_some() {
            return;
        }
        let permits = bytes.div_ceil(PERMIT_BYTES) as u32;
        // The semaphores are never closed.
        tokio::select! {
            biased;
            Ok(permit) = self.permits.acquire_many(permits) => match &mut collected.reserved {
                Some(reserved) => reserved.merge(permit),
                None => collected.reserved = Some(permit),
            },
            Ok(permit) = self.unlimited.acquire() => collected.unlimited = Some(permit),
            else => {}
        }
    }
}

impl CollectedBody<'_> {
    fn push(&mut self, segment: Vec<u8>) {
        if !segment.is_empty() {
            self.segments.push(segment.into());
        }
    }
}

fn too_large_error() -> Error {
    let text = format!("the response is larger than {MAX_COLLECTED_BYTES} bytes");
    Error::new(Code::EndpointFailed, text).with_executed(Executed::Yes)
}

fn body_error(e: hyper::Error) -> Error {
    Error::new(Code::EndpointFailed, format_error_chain(&e))
        .with_executed(Executed::Yes)
        .with_disconnect_cause(disconnect_cause(&e))
}
