//! Pulls missing configuration changes from one other host at a time, with an adaptive size.
//!
//! Many hosts have the same changes. Only one is requested at a time, because copies that share a
//! network link delay each other and any small urgent messages. A request names the maximum bytes of
//! the response. That size doubles when responses arrive within `TARGET_RESPONSE_TIME` and is halved
//! when they are late or fail, so that even a slow path delivers something before the call times out.

use crate::ids::HostId;
use crate::units::Millis;

use super::{Link, Node};

/// Size of the first request; a 1 Mbit/s link transfers it in about 0.3 s.
const INITIAL_PULL_BYTES: usize = 32 * 1024;

/// Minimum size of a request. A 1 Mbit/s link transfers it in 16 ms, about the time that the framing of
/// a call takes as well.
const MIN_PULL_BYTES: usize = 2 * 1024;

/// Target time for a response, since urgent messages may have to wait behind it.
pub(super) const TARGET_RESPONSE_TIME: Millis = Millis(250);

/// Time after which an unanswered request is abandoned and another host is asked: three times the
/// target.
const PULL_TIMEOUT: Millis = Millis(750);

/// Size limit that requests no more than the changes that are small enough to be pushed.
pub(super) const SMALL_DELTA_ONLY: usize = 0;

/// State of the pull request and its size limit.
#[derive(Clone, Debug)]
pub(super) struct ConfigPull {
    /// The host that was asked and the time of the request, while the response is pending.
    in_flight: Option<(HostId, Millis)>,
    /// Maximum bytes of the next response.
    max_bytes: usize,
}

impl Default for ConfigPull {
    fn default() -> Self {
        ConfigPull { in_flight: None, max_bytes: INITIAL_PULL_BYTES }
    }
}

impl ConfigPull {
    /// Reports whether a new request may be sent now.
    fn can_start(&self, now: Millis) -> bool {
        self.in_flight.as_ref().is_none_or(|(_, at)| now - *at >= PULL_TIMEOUT)
    }

    /// Records a request to a host and returns the size limit for its response. The limit is halved if the
    /// previous request is still unanswered.
    pub(super) fn begin(&mut self, now: Millis, from: &HostId) -> usize {
        if self.in_flight.is_some() {
            self.halve_size();
        }
        self.in_flight = Some((from.clone(), now));
        self.max_bytes
    }

    /// Adapts the size limit to a response, if it comes from the host that was asked.
    pub(super) fn on_response(&mut self, now: Millis, from: &HostId, upper_limit: usize) {
        let Some((_, at)) = self.in_flight.take_if(|(host, _)| host == from) else { return };
        match now - at <= TARGET_RESPONSE_TIME {
            true => self.max_bytes = (self.max_bytes * 2).min(upper_limit),
            false => self.halve_size(),
        }
    }

    /// Halves the size limit after a failed call, if it was to the host that was asked.
    pub(super) fn on_failure(&mut self, from: &HostId) {
        if self.in_flight.take_if(|(host, _)| host == from).is_some() {
            self.halve_size();
        }
    }

    fn halve_size(&mut self) {
        self.max_bytes = (self.max_bytes / 2).max(MIN_PULL_BYTES);
    }
}

impl Node {
    /// Returns the host to request missing changes from: of those that have them, the one whose last
    /// message is the most recent. Returns `None` while a request is pending.
    pub(super) fn pull_source(&self, now: Millis) -> Option<(HostId, String)> {
        if !self.config_pull.can_start(now) {
            return None;
        }
        let complete_to = self.store.complete_to();
        let is_candidate = |(_, link): &(&HostId, &Link)| {
            link.peer_complete_to > complete_to
                && !link.is_awaiting_reply
                && now - link.last_received_at <= self.recent_contact_window()
        };
        let address = |host: &HostId| {
            let member = self.members.lookup(host).filter(|m| m.is_live())?;
            Some((host.clone(), member.peer_address.clone()))
        };
        let candidates = self.links.iter().filter(is_candidate);
        let candidates =
            candidates.filter_map(|(host, link)| Some((link.last_received_at, address(host)?)));
        candidates
            .max_by_key(|(last_received_at, _)| *last_received_at)
            .map(|(_, pull_source)| pull_source)
    }
}
