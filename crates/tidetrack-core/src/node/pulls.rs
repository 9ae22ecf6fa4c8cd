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
const FIRST_ROOM: usize = 32 * 1024;

/// Fewest bytes asked for: a link of 1 Mbit/s carries them in 16 ms, a call's frame in the same.
const LEAST_ROOM: usize = 2 * 1024;

/// An answer should take no longer than this, for what is urgent may have to wait behind it.
pub(super) const ANSWER_AIM: Millis = Millis(250);

/// A host that has not answered for so long, three times the aim, is held silent: another is asked.
const PATIENCE: Millis = Millis(750);

/// Room for no more than what is small enough to be told to everyone.
pub(super) const NO_ROOM: usize = 0;

/// What is asked for, and of whom.
#[derive(Clone, Debug)]
pub(super) struct Pulls {
    /// The host that is being asked, and since when.
    asked: Option<(HostId, Millis)>,
    room: usize,
}

impl Default for Pulls {
    fn default() -> Self {
        Pulls { asked: None, room: FIRST_ROOM }
    }
}

impl Pulls {
    /// Tells whether a host may be asked now.
    fn is_free(&self, now: Millis) -> bool {
        self.asked.as_ref().is_none_or(|(_, at)| now - *at >= PATIENCE)
    }

    /// Takes note that a host is asked; gives the room for its answer.
    pub(super) fn begin(&mut self, now: Millis, from: &HostId) -> usize {
        if self.asked.is_some() {
            self.shrink();
        }
        self.asked = Some((from.clone(), now));
        self.room
    }

    /// Takes note of an answer, if it is that of the host being asked.
    pub(super) fn answered(&mut self, now: Millis, from: &HostId, most: usize) {
        let Some((_, at)) = self.asked.take_if(|(host, _)| host == from) else { return };
        match now - at <= ANSWER_AIM {
            true => self.room = (self.room * 2).min(most),
            false => self.shrink(),
        }
    }

    /// Takes note that a call to a host failed.
    pub(super) fn failed(&mut self, from: &HostId) {
        if self.asked.take_if(|(host, _)| host == from).is_some() {
            self.shrink();
        }
    }

    fn shrink(&mut self) {
        self.room = (self.room / 2).max(LEAST_ROOM);
    }
}

impl Node {
    /// Chooses the host to ask for changes that this one lacks: the last that was heard of those that
    /// have them. `None` while another is being asked.
    pub(super) fn source(&self, now: Millis) -> Option<(HostId, String)> {
        if !self.pulls.is_free(now) {
            return None;
        }
        let complete_to = self.store.complete_to();
        let is_fit = |(_, link): &(&HostId, &Link)| {
            link.peer_complete_to > complete_to
                && !link.waiting
                && now - link.heard_at <= self.heard_lately()
        };
        let address = |host: &HostId| {
            let member = self.members.lookup(host).filter(|m| m.is_live())?;
            Some((host.clone(), member.peer.clone()))
        };
        let fit = self.links.iter().filter(is_fit);
        let fit = fit.filter_map(|(host, link)| Some((link.heard_at, address(host)?)));
        fit.max_by_key(|(heard_at, _)| *heard_at).map(|(_, source)| source)
    }
}
