//! How many items a message to another host carries, and which go first.
//!
//! After a partition or a start there may be thousands of them, and all neighbours have the same. A
//! link begins with few and carries more as they are acknowledged in time, so that together they do
//! not fill a slow path with what can wait. Narrowing facts go ahead of everything else.

use crate::ids::HostId;

use super::messages::Item;
use super::{Link, Node};

/// Items of a link's first message: about 3 KB, a few packets.
const FIRST_ITEMS: usize = 50;

/// Fewest items of a message: about 1 KB, one packet.
const LEAST_ITEMS: usize = 16;

/// How many items a message of a link carries.
#[derive(Clone, Copy, Debug)]
pub(super) struct ItemRoom {
    most: usize,
    is_cut: bool,
}

impl Default for ItemRoom {
    fn default() -> Self {
        ItemRoom { most: FIRST_ITEMS, is_cut: false }
    }
}

impl ItemRoom {
    /// Tells whether the last message left items out: the next one follows soon, not with a beat.
    pub(super) fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Takes note that items were acknowledged.
    pub(super) fn acknowledged(&mut self, is_late: bool, most: usize) {
        match is_late {
            true => self.narrow(),
            false => self.most = (self.most * 2).min(most),
        }
    }

    /// Halves the items of the next message.
    pub(super) fn narrow(&mut self) {
        self.most = (self.most / 2).max(LEAST_ITEMS);
    }
}

impl Node {
    /// Chooses the items of a message, and the sequence number up to which they leave nothing out.
    pub(super) fn items_for(&mut self, host: &HostId, link: &Link) -> (u64, Vec<Item>) {
        let cursor = link.acked_by_peer;
        let most = link.items.most.min(self.options.items_most);
        let mut news = self.items.changes_for(link.peer_life.as_ref(), cursor);
        let mut items = Vec::new();
        let mut seq = cursor;
        for (at, item) in news.by_ref().take(most) {
            seq = at;
            items.push(item.clone());
        }
        let mut is_cut = false;
        for (_, item) in news {
            is_cut = true;
            // They merge as a maximum: one that comes again with its turn does no harm.
            if matches!(item, Item::Fact(_)) {
                items.push(item.clone());
            }
        }
        if let Some(link) = self.links.get_mut(host) {
            link.items.is_cut = is_cut;
        }
        (if is_cut { seq } else { self.items.seq() }, items)
    }
}
