//! From whom this host gets the changes of the configuration that it lacks, and how much at a time.
//!
//! Many hosts have the same changes. One of them is asked at a time: copies that share a link only
//! make each other late, and what is small and urgent with them. An ask names the bytes that there is
//! room for, which follow what the path has lately carried in a short while; an ask that failed is
//! made again for half as much, so that a slow path carries something before the call is given up.

use crate::ids::HostId;
use crate::units::Millis;

use super::{Link, Node};

/// Bytes asked for at first: a link of 1 Mbit/s carries them in about 0.3 s.
const INITIAL_PULL_BYTES: usize = 32 * 1024;

/// Fewest bytes asked for: a link of 1 Mbit/s carries them in 16 ms, a call's frame in the same.
const MIN_PULL_BYTES: usize = 2 * 1024;

/// An answer should take no longer than this, for what is urgent may have to wait behind it.
pub(super) const TARGET_RESPONSE_TIME: Millis = Millis(250);

/// A host that has not answered for so long, three times the aim, is held silent: another is asked.
const PULL_TIMEOUT: Millis = Millis(750);

/// Room for no more than what is small enough to be told to everyone.
pub(super) const SMALL_DELTA_ONLY: usize = 0;

/// What is asked for, and of whom.
#[derive(Clone, Debug)]
pub(super) struct ConfigPull {
    /// The host that is being asked, and since when.
    in_flight: Option<(HostId, Millis)>,
    max_bytes: usize,
}

impl Default for ConfigPull {
    fn default() -> Self {
        ConfigPull { in_flight: None, max_bytes: INITIAL_PULL_BYTES }
    }
}

impl ConfigPull {
    /// Tells whether a host may be asked now.
    fn can_start(&self, now: Millis) -> bool {
        self.in_flight.as_ref().is_none_or(|(_, at)| now - *at >= PULL_TIMEOUT)
    }

    /// Takes note that a host is asked; gives the room for its answer.
    pub(super) fn begin(&mut self, now: Millis, from: &HostId) -> usize {
        if self.in_flight.is_some() {
            self.halve_size();
        }
        self.in_flight = Some((from.clone(), now));
        self.max_bytes
    }

    /// Takes note of an answer, if it is that of the host being asked.
    pub(super) fn on_response(&mut self, now: Millis, from: &HostId, upper_limit: usize) {
        let Some((_, at)) = self.in_flight.take_if(|(host, _)| host == from) else { return };
        match now - at <= TARGET_RESPONSE_TIME {
            true => self.max_bytes = (self.max_bytes * 2).min(upper_limit),
            false => self.halve_size(),
        }
    }

    /// Takes note that a call to a host failed.
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
    /// Chooses the host to ask for changes that this one lacks: the last that was heard of those that
    /// have them. `None` while another is being asked.
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
