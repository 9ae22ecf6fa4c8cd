//! Memory that a host holds for the bodies of requests, and which bodies give way when there is no more.
//!
//! Bodies reserve memory as they grow. A part of it is left to small bodies. When the bound is
//! reached, bodies that are still arriving and make no progress give way, and also those of a workspace
//! that holds much more than the one that asks. Complete bodies never give way: their requests may be
//! running.

use std::collections::HashMap;

use crate::ids::WorkspaceId;
use crate::units::{MemorySize, Millis};

/// Share of a host's memory that may be held for request bodies.
const HOST_SHARE: f64 = 1.0 / 4.0;

/// Share of the bound that is left to small bodies.
const SMALL_SHARE: f64 = 1.0 / 4.0;

/// Size up to which a body is small, in bytes.
pub const SMALL_BODY_BYTES: u64 = 64 << 10;

/// Bytes that a body has to receive within `STALL_TIME` to make progress.
pub const PROGRESS_BYTES: u64 = 16 << 10;

/// Time without progress after which a body gives way, in milliseconds.
pub const STALL_TIME: Millis = Millis(1_000);

/// Ratio between the arriving bytes of two workspaces above which the bodies of the larger one give way.
const DOMINANCE: u64 = 2;

/// Share of a host's memory that bytes may take which have arrived on callers' connections and are not
/// read yet.
const UNREAD_SHARE: f64 = 1.0 / 8.0;

/// Minimum and maximum size of a connection's receive buffer, in bytes.
const RECEIVE_BUFFER_BYTES: (f64, f64) = (8.0 * 1_024.0, 64.0 * 1_024.0);

/// Share of a host's memory that callers' connections may take beside the bodies of their requests.
const CONNECTIONS_SHARE: f64 = 5.0 / 16.0;

/// Memory of a connection beside its request's body, in bytes: read buffers, a request's state and the
/// connection to its endpoint.
const CONNECTION_BYTES: f64 = 48.0 * 1_024.0;

/// Returns the maximum number of callers' connections of a host with this memory.
pub fn max_connections_in_memory(memory: MemorySize) -> usize {
    ((memory.bytes() * CONNECTIONS_SHARE / CONNECTION_BYTES) as usize).max(1)
}

/// Returns the size in bytes of the receive buffer of each of a host's connections to callers, for this
/// number of connections, accepted and waiting ones.
pub fn receive_buffer_bytes(memory: MemorySize, connections: usize) -> u32 {
    let share = memory.bytes() * UNREAD_SHARE / connections.max(1) as f64;
    share.clamp(RECEIVE_BUFFER_BYTES.0, RECEIVE_BUFFER_BYTES.1) as u32
}

/// Bounds of the memory that is held for request bodies, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// Bound of all bodies of the host.
    pub host: u64,
    /// Bound of the bodies that are not small.
    pub large: u64,
}

impl BodyLimits {
    /// Returns the bounds of a host with this memory.
    pub fn for_memory(memory: MemorySize) -> BodyLimits {
        let host = memory.bytes() * HOST_SHARE;
        BodyLimits { host: host as u64, large: (host * (1.0 - SMALL_SHARE)) as u64 }
    }

    /// Raises the bounds as far as a single body of this size needs it.
    pub fn for_body(self, bytes: u64) -> BodyLimits {
        let large = self.large.max(bytes);
        BodyLimits { host: self.host - self.large + large, large }
    }
}

/// Number of a body, unique within a [`BodyBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BodyNumber(u64);

#[derive(Clone)]
struct Body {
    workspace: Option<WorkspaceId>,
    /// Reserved bytes.
    bytes: u64,
    /// When the body last received `PROGRESS_BYTES`, or was opened.
    progress_at: Millis,
    is_complete: bool,
}

impl Body {
    fn is_large(&self) -> bool {
        self.bytes > SMALL_BODY_BYTES
    }

    /// Returns the bytes that count against the bound of large bodies.
    fn large_bytes(&self) -> u64 {
        if self.is_large() {
            self.bytes
        } else {
            0
        }
    }

    fn cost(&self, now: Millis) -> u128 {
        // One millisecond more, so that the larger of two bodies without a pause is chosen.
        u128::from(self.bytes) * u128::from((now - self.progress_at).0 + 1)
    }

    fn is_stalled(&self, now: Millis) -> bool {
        !self.is_complete && now - self.progress_at >= STALL_TIME
    }
}

/// Memory held for the bodies of requests.
pub struct BodyBudget {
    limits: BodyLimits,
    bodies: HashMap<BodyNumber, Body>,
    last_number: u64,
    held_bytes: u64,
    large_bytes: u64,
}

impl BodyBudget {
    /// Creates a budget of which nothing is in use.
    pub fn new(limits: BodyLimits) -> BodyBudget {
        let bodies = HashMap::new();
        BodyBudget { limits, bodies, last_number: 0, held_bytes: 0, large_bytes: 0 }
    }

    /// Returns the bounds.
    pub fn limits(&self) -> BodyLimits {
        self.limits
    }

    /// Replaces the bounds. Bodies that exceed the new ones keep what they have.
    pub fn set_limits(&mut self, limits: BodyLimits) {
        self.limits = limits;
    }

    /// Returns the number of bytes held for all bodies.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Adds a body without reserved bytes.
    pub fn open(&mut self, now: Millis, workspace: Option<WorkspaceId>) -> BodyNumber {
        self.last_number += 1;
        let number = BodyNumber(self.last_number);
        let body = Body { workspace, bytes: 0, progress_at: now, is_complete: false };
        self.bodies.insert(number, body);
        number
    }

    /// Reserves further bytes for a body. Returns the bodies that give way for it, whose bytes are no
    /// longer counted, or `None` if there is no room or the body itself has given way.
    pub fn reserve(
        &mut self,
        now: Millis,
        number: BodyNumber,
        bytes: u64,
    ) -> Option<Vec<BodyNumber>> {
        let evicted = self.choose_victims(now, number, bytes)?;
        evicted.iter().for_each(|victim| self.close(*victim));
        let body = self.bodies.get_mut(&number)?;
        let large_before = body.large_bytes();
        body.bytes += bytes;
        self.held_bytes += bytes;
        self.large_bytes += body.large_bytes() - large_before;
        Some(evicted)
    }

    /// Removes the stalled body with the most bytes times the time without progress, and returns its number;
    /// `None` if no body is stalled.
    pub fn evict_stalled(&mut self, now: Millis) -> Option<BodyNumber> {
        let stalled = self.bodies.iter().filter(|(_, body)| body.is_stalled(now));
        let number = stalled.max_by_key(|(n, body)| (body.cost(now), **n)).map(|(n, _)| *n)?;
        self.close(number);
        Some(number)
    }

    /// Records that a body has received `PROGRESS_BYTES` since it was opened or this was called.
    pub fn record_progress(&mut self, now: Millis, number: BodyNumber) {
        if let Some(body) = self.bodies.get_mut(&number) {
            body.progress_at = now;
        }
    }

    /// Records that a body is complete.
    pub fn complete(&mut self, number: BodyNumber) {
        if let Some(body) = self.bodies.get_mut(&number) {
            body.is_complete = true;
        }
    }

    /// Removes a body with all its bytes.
    pub fn close(&mut self, number: BodyNumber) {
        let Some(body) = self.bodies.remove(&number) else { return };
        self.held_bytes -= body.bytes;
        self.large_bytes -= body.large_bytes();
    }

    /// Returns the bodies that have to give way so that a body can grow, or `None` if that does not
    /// make enough room.
    fn choose_victims(
        &self,
        now: Millis,
        number: BodyNumber,
        bytes: u64,
    ) -> Option<Vec<BodyNumber>> {
        let body = self.bodies.get(&number)?;
        let grown = Body { bytes: body.bytes + bytes, ..body.clone() };
        let growth = grown.large_bytes() - body.large_bytes();
        let mut missing = (self.held_bytes + bytes).saturating_sub(self.limits.host);
        let mut missing_large = match grown.is_large() {
            true => (self.large_bytes + growth).saturating_sub(self.limits.large),
            false => 0,
        };
        let mut chosen = Vec::new();
        if missing == 0 && missing_large == 0 {
            return Some(chosen);
        }
        for (victim, body) in self.candidates(now, number) {
            if missing == 0 && missing_large == 0 {
                break;
            }
            if missing > 0 || body.is_large() {
                missing = missing.saturating_sub(body.bytes);
                missing_large = missing_large.saturating_sub(body.large_bytes());
                chosen.push(victim);
            }
        }
        (missing == 0 && missing_large == 0).then_some(chosen)
    }

    /// Returns the bodies that may be evicted for another one: stalled ones first, then those of the workspace with
    /// the most arriving bytes, and of these the ones with the most bytes times the time without progress.
    fn candidates(&self, now: Millis, number: BodyNumber) -> Vec<(BodyNumber, &Body)> {
        let Some(asking) = self.bodies.get(&number) else { return Vec::new() };
        let mut arriving: HashMap<Option<&WorkspaceId>, u64> = HashMap::new();
        for body in self.bodies.values().filter(|body| !body.is_complete) {
            *arriving.entry(body.workspace.as_ref()).or_default() += body.bytes;
        }
        let arriving_of =
            |body: &Body| arriving.get(&body.workspace.as_ref()).copied().unwrap_or(0);
        let own = arriving_of(asking);
        let dominates = |body: &Body| {
            body.workspace != asking.workspace && arriving_of(body) > own.max(1) * DOMINANCE
        };
        let is_candidate = |n: BodyNumber, body: &Body| {
            n != number && !body.is_complete && (body.is_stalled(now) || dominates(body))
        };
        let bodies = self.bodies.iter().map(|(n, body)| (*n, body));
        let mut candidates: Vec<(BodyNumber, &Body)> =
            bodies.filter(|(n, body)| is_candidate(*n, body)).collect();
        candidates.sort_by_key(|(n, body)| {
            let rank = (body.is_stalled(now), arriving_of(body), body.cost(now), *n);
            std::cmp::Reverse(rank)
        });
        candidates
    }
}
