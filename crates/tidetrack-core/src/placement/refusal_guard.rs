//! Access of this host to an endpoint that falls over from refusing requests.
//!
//! A few hosts hold such an endpoint: only they send to it, each within its share of the refusals that
//! the endpoint bears, and all others forward their requests to them. The sum over all hosts is thus
//! bounded before anything is refused. The holder that is asked first has nearly all of the requests,
//! so it knows what the endpoint has room for.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::ids::HostId;
use crate::units::Millis;

use super::refusal_window::{RefusalWindow, WindowTicket};

/// Longest time for which no request is forwarded after a holder had no place. Places become free at
/// any moment.
const MAX_DECLINE_PAUSE: Millis = Millis(50);

/// Time for which a holder is not asked after it did not reach the endpoint.
const UNREACHED_RETENTION: Millis = Millis(250);

/// Whether and how this host may send to an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointAccess {
    /// Like all other hosts.
    #[default]
    Direct,
    /// Only through a holder.
    Forwarded,
    /// Within this number of refusals per second, if the holder cannot be asked.
    StandIn(u32),
    /// Within this number of refusals per second.
    Holder(u32),
}

impl EndpointAccess {
    /// Returns this host's share of the refusals; `None` if it has none or they are not limited.
    fn share(self) -> Option<u32> {
        match self {
            EndpointAccess::Direct | EndpointAccess::Forwarded => None,
            EndpointAccess::StandIn(share) | EndpointAccess::Holder(share) => Some(share),
        }
    }
}

impl fmt::Display for EndpointAccess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointAccess::Direct => f.write_str("direct"),
            EndpointAccess::Forwarded => f.write_str("forwarded"),
            EndpointAccess::StandIn(share) => write!(f, "stand-in:{share}"),
            EndpointAccess::Holder(share) => write!(f, "holder:{share}"),
        }
    }
}

#[derive(Debug, Default)]
struct GuardState {
    access: EndpointAccess,
    window: RefusalWindow,
    /// End of the time for which no request is forwarded after a holder had no place.
    declined_until: Millis,
    /// When the holder that had no place expects to have one for a caller that returns.
    place_at: Millis,
    /// Holders that did not reach the endpoint, or were not reached, and the end of the time for which
    /// they are not asked.
    unreached: Vec<(HostId, Millis)>,
}

/// This host's access to an endpoint, and its requests there while it holds it.
#[derive(Debug, Default)]
pub struct RefusalGuard {
    is_active: AtomicBool,
    state: Mutex<GuardState>,
}

impl RefusalGuard {
    fn lock(&self) -> MutexGuard<'_, GuardState> {
        // Each change leaves the state consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports whether the access to the endpoint is restricted.
    pub fn is_active(&self) -> bool {
        self.is_active.load(Ordering::Acquire)
    }

    /// Returns this host's access.
    pub fn access(&self) -> EndpointAccess {
        match self.is_active() {
            false => EndpointAccess::Direct,
            true => self.lock().access,
        }
    }

    /// Sets this host's access and returns the previous one. A host that begins to hold the endpoint
    /// knows nothing of its room.
    pub fn set_access(&self, access: EndpointAccess) -> EndpointAccess {
        let mut state = self.lock();
        if state.access.share().is_none() && access.share().is_some() {
            state.window = RefusalWindow::default();
        }
        self.is_active.store(access != EndpointAccess::Direct, Ordering::Release);
        std::mem::replace(&mut state.access, access)
    }

    /// Reports whether this host itself may send a request now.
    pub fn permits_sending(&self, now: Millis) -> bool {
        if !self.is_active() {
            return true;
        }
        let mut state = self.lock();
        match state.access {
            EndpointAccess::Direct => true,
            EndpointAccess::Forwarded => false,
            EndpointAccess::StandIn(share) | EndpointAccess::Holder(share) => {
                state.window.may_send(now, share)
            }
        }
    }

    /// Reports whether the endpoint may be picked for a request, which this host sends itself or
    /// forwards to a holder. A request that another host has forwarded is not forwarded again.
    pub fn permits_pick(&self, now: Millis, is_forwarded: bool) -> bool {
        match self.access() {
            EndpointAccess::Forwarded | EndpointAccess::StandIn(_) if !is_forwarded => {
                now >= self.lock().declined_until
            }
            _ => self.permits_sending(now),
        }
    }

    /// Records that the holder had no place for a request, and after which time it expects to have one.
    pub fn record_decline(&self, now: Millis, place_after: Millis) {
        let mut state = self.lock();
        state.declined_until = now + place_after.min(MAX_DECLINE_PAUSE);
        state.place_at = now + place_after;
    }

    /// Records that a holder did not reach the endpoint, or was not reached itself.
    pub fn record_unreached(&self, now: Millis, holder: &HostId) {
        let mut state = self.lock();
        state.unreached.retain(|(host, until)| host != holder && now < *until);
        state.unreached.push((holder.clone(), now + UNREACHED_RETENTION));
    }

    /// Reports whether a holder recently did not reach the endpoint, or was not reached itself.
    pub fn is_unreached(&self, now: Millis, holder: &HostId) -> bool {
        self.lock().unreached.iter().any(|(host, until)| host == holder && now < *until)
    }

    /// Estimates when the endpoint may be picked for a caller's request; `now` if at once.
    pub fn next_pick_at(&self, now: Millis) -> Millis {
        if !self.is_active() {
            return now;
        }
        let mut state = self.lock();
        match state.access {
            EndpointAccess::Direct => now,
            EndpointAccess::Forwarded | EndpointAccess::StandIn(_) => state.place_at.max(now),
            EndpointAccess::Holder(share) => state.window.next_send_at(now, share),
        }
    }

    /// Reports whether all that keeps this host from sending is that the outcome of as many requests is
    /// open as its share permits, so that a stand-in may send.
    pub fn is_share_in_use(&self, now: Millis) -> bool {
        match self.access() {
            EndpointAccess::Holder(share) => self.lock().window.is_share_in_use(now, share),
            _ => false,
        }
    }

    /// Begins a request of this host; `None` if the access is not restricted.
    pub fn begin(&self) -> Option<WindowTicket> {
        if !self.is_active() {
            return None;
        }
        Some(self.lock().window.begin())
    }

    /// Calls `f` with the window, and with this host's share of the refusals.
    pub fn with_window<T>(&self, f: impl FnOnce(&mut RefusalWindow, u32) -> T) -> T {
        let mut state = self.lock();
        let share = state.access.share().unwrap_or(0);
        f(&mut state.window, share)
    }
}
