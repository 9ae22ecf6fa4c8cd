//! Bounds of the replies of the store and of other hosts while they are received.

use crate::units::MemorySize;

/// Share of a host's memory that the replies under way may take. One of them at a time may exceed it.
const TOTAL_SHARE: f64 = 1.0 / 16.0;

/// Maximum size of a single reply, as a fraction of the host's memory.
const REPLY_SHARE: f64 = 1.0 / 16.0;

/// Maximum size of a single reply in bytes, on a host with any amount of memory; a page of the store has about
/// 1 MB.
const MAX_REPLY_BYTES: f64 = 8.0 * 1_048_576.0;

/// Share of a host's memory that the lists may take which it keeps for other hosts.
const KEPT_LISTS_SHARE: f64 = 1.0 / 8.0;

/// Returns the bound in bytes of the lists that a host with this memory keeps for other hosts.
pub fn kept_list_bytes(memory: MemorySize) -> usize {
    (memory.bytes() * KEPT_LISTS_SHARE) as usize
}

/// Bounds in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyLimits {
    /// Bound of all replies under way.
    pub total: usize,
    /// Bound of a single reply.
    pub reply: usize,
}

impl ReplyLimits {
    /// Returns the bounds of a host with this memory.
    pub fn for_memory(memory: MemorySize) -> ReplyLimits {
        ReplyLimits {
            total: (memory.bytes() * TOTAL_SHARE) as usize,
            reply: (memory.bytes() * REPLY_SHARE).min(MAX_REPLY_BYTES) as usize,
        }
    }
}
