//! Memory for replies of the store and of other hosts, from their first part until their content is applied.
//!
//! A reply reserves memory as it grows, and is not read while there is none. So that replies which hold
//! a part each don't wait for each other, one of them at a time may go on without reservations, up to
//! the maximum size of a reply or list.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{Semaphore, SemaphorePermit};

use tidetrack_core::errors::Result;
use tidetrack_core::traffic::feeds::LARGE_REPLY_BYTES;
use tidetrack_core::traffic::reply_limits::ReplyLimits;
use tidetrack_core::units::MemorySize;

use crate::call::unavailable_error;

/// Minimum and maximum size of a segment of a reply, in bytes.
const SEGMENT_BYTES: (usize, usize) = (4 << 10, 64 << 10);

/// Bytes per permit of the semaphore.
const PERMIT_BYTES: usize = 1 << 10;

/// Maximum time for which a reply waits for memory. Replies of the maximum size take less time on a link
/// that is not congested.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Memory for the replies that a host is receiving.
pub struct ReplyMemory {
    limits: ReplyLimits,
    permits: Semaphore,
    unlimited: Semaphore,
}

impl ReplyMemory {
    /// Creates the memory of a host, of which nothing is in use.
    pub fn new(memory: MemorySize) -> ReplyMemory {
        let limits = ReplyLimits::for_memory(memory);
        let permits = Semaphore::new(limits.total / PERMIT_BYTES);
        ReplyMemory { limits, permits, unlimited: Semaphore::new(1) }
    }

    /// Opens a reservation for one reply, or for the pages of one list.
    pub fn open(&self) -> ReplyHold<'_> {
        ReplyHold { memory: self, bytes: 0, reserved: None, unlimited: None }
    }
}

/// The memory of a reply or list, which is given back on drop.
pub struct ReplyHold<'a> {
    memory: &'a ReplyMemory,
    /// Bytes that were allocated.
    bytes: usize,
    reserved: Option<SemaphorePermit<'a>>,
    /// Permission to go on without reservations.
    unlimited: Option<SemaphorePermit<'a>>,
}

impl ReplyHold<'_> {
    /// Returns the maximum size of a single reply in bytes.
    pub fn max_reply_bytes(&self) -> usize {
        self.memory.limits.reply
    }

    /// Reserves memory before it is allocated. Small replies don't wait for it.
    async fn reserve(&mut self, bytes: usize) -> Result<()> {
        self.bytes += bytes;
        if self.bytes <= LARGE_REPLY_BYTES || self.unlimited.is_some() {
            return Ok(());
        }
        let permits = bytes.div_ceil(PERMIT_BYTES) as u32;
        let wait = async {
            // The semaphores are never closed.
            tokio::select! {
                biased;
                Ok(permit) = self.memory.permits.acquire_many(permits) => match &mut self.reserved {
                    Some(reserved) => reserved.merge(permit),
                    None => self.reserved = Some(permit),
                },
                Ok(permit) = self.memory.unlimited.acquire() => self.unlimited = Some(permit),
                else => {}
            }
        };
        let waited = tokio::time::timeout(MAX_WAIT, wait).await;
        waited.map_err(|_| unavailable_error("other replies take the memory for this one"))
    }
}

/// Bytes of a reply that is being received, in segments whose memory was reserved before.
#[derive(Default)]
pub struct Segments {
    full: Vec<Vec<u8>>,
    current: Vec<u8>,
    len: usize,
}

impl Segments {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Reports whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Copies bytes, so that the buffer in which they were received can be used again. Waits while there
    /// is no memory for them, and fails if that takes too long.
    pub async fn append(&mut self, mut data: &[u8], hold: &mut ReplyHold<'_>) -> Result<()> {
        while !data.is_empty() {
            if self.current.len() == self.current.capacity() {
                let bytes = self.len.clamp(SEGMENT_BYTES.0, SEGMENT_BYTES.1);
                hold.reserve(bytes).await?;
                let full = std::mem::replace(&mut self.current, Vec::with_capacity(bytes));
                self.full.extend(Some(full).filter(|full| !full.is_empty()));
            }
            let room = self.current.capacity() - self.current.len();
            let (now, later) = data.split_at(data.len().min(room));
            self.current.extend_from_slice(now);
            self.len += now.len();
            data = later;
        }
        Ok(())
    }

    /// Returns the bytes in a single buffer.
    pub fn finish(self) -> Bytes {
        if self.full.is_empty() {
            return self.current.into();
        }
        let mut bytes = Vec::with_capacity(self.len);
        // Each segment is freed once it has been copied.
        self.full.into_iter().chain([self.current]).for_each(|segment| bytes.extend(segment));
        bytes.into()
    }
}
