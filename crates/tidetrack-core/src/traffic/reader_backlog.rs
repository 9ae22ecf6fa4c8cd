//! Memory that a host holds for callers that read slowly, and which streams are shed when it is exceeded.

use std::collections::HashMap;

use crate::ids::WorkspaceId;
use crate::units::{MemorySize, Millis};

/// Share of a host's memory that may be held for callers. Most of the memory of the smallest hosts
/// is taken by the program, its routing state and its connections.
const HOST_SHARE: f64 = 1.0 / 8.0;

/// Share of the host's bound that one stream may hold.
const STREAM_SHARE: f64 = 1.0 / 8.0;

/// Share of a host's memory that whole responses may take while they are collected.
const COLLECTED_SHARE: f64 = 1.0 / 16.0;

/// Returns the bound in bytes of the whole responses that a host with this memory collects at a time.
pub fn collected_bytes(memory: MemorySize) -> u64 {
    (memory.bytes() * COLLECTED_SHARE) as u64
}

/// Bytes from which a stream may be shed. A stream with less is usually read by a caller that keeps
/// up, and aborting it frees little.
const MIN_SHED_BYTES: u64 = 16 << 10;

/// Bounds of the memory that is held for callers, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BacklogLimits {
    /// Bound of all streams and bodies of the host.
    pub host: u64,
    /// Bound of one stream.
    pub stream: u64,
}

impl BacklogLimits {
    /// Returns the bounds of a host with this memory.
    pub fn for_memory(memory: MemorySize) -> BacklogLimits {
        let host = memory.bytes() * HOST_SHARE;
        BacklogLimits { host: host as u64, stream: (host * STREAM_SHARE) as u64 }
    }
}

/// Number of a stream, unique within a [`ReaderBacklog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamNumber(u64);

struct StreamBacklog {
    workspace: Option<WorkspaceId>,
    bytes: u64,
    /// When the caller last took bytes, or when the first bytes were held for it.
    progress_at: Millis,
}

/// Bytes that a host holds for its callers.
pub struct ReaderBacklog {
    limits: BacklogLimits,
    streams: HashMap<StreamNumber, StreamBacklog>,
    last_number: u64,
    stream_bytes: u64,
    body_bytes: u64,
}

impl ReaderBacklog {
    /// Creates an empty backlog.
    pub fn new(limits: BacklogLimits) -> ReaderBacklog {
        let streams = HashMap::new();
        ReaderBacklog { limits, streams, last_number: 0, stream_bytes: 0, body_bytes: 0 }
    }

    /// Returns the number of bytes held for all streams and bodies.
    pub fn held_bytes(&self) -> u64 {
        self.stream_bytes + self.body_bytes
    }

    /// Returns the number of bytes held for a stream, or 0 if it was shed or closed.
    pub fn stream_bytes(&self, stream: StreamNumber) -> u64 {
        self.streams.get(&stream).map_or(0, |s| s.bytes)
    }

    /// Adds a stream without held bytes.
    pub fn open(&mut self, now: Millis, workspace: Option<WorkspaceId>) -> StreamNumber {
        self.last_number += 1;
        let number = StreamNumber(self.last_number);
        self.streams.insert(number, StreamBacklog { workspace, bytes: 0, progress_at: now });
        number
    }

    /// Counts bytes that are held for a stream. Returns the streams to abort, whose bytes are no
    /// longer counted.
    pub fn add(&mut self, now: Millis, stream: StreamNumber, bytes: u64) -> Vec<StreamNumber> {
        let Some(backlog) = self.streams.get_mut(&stream) else { return Vec::new() };
        if backlog.bytes == 0 {
            backlog.progress_at = now;
        }
        backlog.bytes += bytes;
        self.stream_bytes += bytes;
        self.shed(now)
    }

    /// Counts bytes that the caller of a stream has taken.
    pub fn release(&mut self, now: Millis, stream: StreamNumber, bytes: u64) {
        let Some(backlog) = self.streams.get_mut(&stream) else { return };
        let bytes = bytes.min(backlog.bytes);
        backlog.bytes -= bytes;
        backlog.progress_at = now;
        self.stream_bytes -= bytes;
    }

    /// Removes a stream with all its bytes.
    pub fn close(&mut self, stream: StreamNumber) {
        if let Some(backlog) = self.streams.remove(&stream) {
            self.stream_bytes -= backlog.bytes;
        }
    }

    /// Counts the bytes of a request body, which is held until its request ends. Returns the streams
    /// to abort.
    pub fn add_body(&mut self, now: Millis, bytes: u64) -> Vec<StreamNumber> {
        self.body_bytes += bytes;
        self.shed(now)
    }

    /// Removes the bytes of a request body.
    pub fn release_body(&mut self, bytes: u64) {
        self.body_bytes = self.body_bytes.saturating_sub(bytes);
    }

    /// Reports whether reading a stream from its endpoint has to pause: its bound is reached, or the
    /// host's bound is and no stream is large enough to be shed. A stream without held bytes never
    /// pauses, because its caller has read everything.
    pub fn is_full(&self, stream: StreamNumber) -> bool {
        let bytes = self.stream_bytes(stream);
        bytes >= self.limits.stream || (bytes > 0 && self.held_bytes() >= self.limits.host)
    }

    /// Removes streams until the host's bound is kept or no stream is large enough.
    fn shed(&mut self, now: Millis) -> Vec<StreamNumber> {
        let mut shed = Vec::new();
        while self.held_bytes() > self.limits.host {
            let Some(stream) = self.stream_to_shed(now) else { break };
            self.close(stream);
            shed.push(stream);
        }
        shed
    }

    /// Returns the next stream to shed. It belongs to the workspace that holds the most, so that many
    /// slow callers of one workspace do not cost the others their streams. Within the workspace, it
    /// is the one with the most bytes times the time without progress.
    fn stream_to_shed(&self, now: Millis) -> Option<StreamNumber> {
        let mut by_workspace: HashMap<Option<&WorkspaceId>, u64> = HashMap::new();
        let sheddable = || self.streams.iter().filter(|(_, s)| s.bytes >= MIN_SHED_BYTES);
        for (_, stream) in sheddable() {
            *by_workspace.entry(stream.workspace.as_ref()).or_default() += stream.bytes;
        }
        let (workspace, _) = by_workspace.into_iter().max_by_key(|(id, bytes)| (*bytes, *id))?;
        let cost = |stream: &StreamBacklog| {
            // One millisecond more, so that the larger of two streams without a pause is chosen.
            let stalled_ms = (now - stream.progress_at).0 + 1;
            u128::from(stream.bytes) * u128::from(stalled_ms)
        };
        sheddable()
            .filter(|(_, s)| s.workspace.as_ref() == workspace)
            .max_by_key(|(number, s)| (cost(s), **number))
            .map(|(number, _)| *number)
    }
}
