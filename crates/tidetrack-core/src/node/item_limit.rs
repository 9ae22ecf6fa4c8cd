//! How many items a message to another host carries, and which go first.
//!
//! After a partition or a start there may be thousands of them, and all neighbours have the same. A
//! link begins with few and carries more as they are acknowledged in time, so that together they do
//! not fill a slow path with what can wait. Narrowing facts go ahead of everything else.

use crate::ids::HostId;

use super::messages::Item;
use super::{Link, Node};

/// Items of a link's first message: about 3 KB, a few packets.
const INITIAL_ITEMS: usize = 50;

/// Fewest items of a message: about 1 KB, one packet.
const MIN_ITEMS: usize = 16;

/// How many items a message of a link carries.
#[derive(Clone, Copy, Debug)]
pub(super) struct ItemLimit {
    max_items: usize,
    is_truncated: bool,
}

impl Default for ItemLimit {
    fn default() -> Self {
        ItemLimit { max_items: INITIAL_ITEMS, is_truncated: false }
    }
}

impl ItemLimit {
    /// Tells whether the last message left items out: the next one follows soon, not with a beat.
    pub(super) fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Takes note that items were acknowledged.
    pub(super) fn on_acknowledged(&mut self, is_late: bool, max_items: usize) {
        match is_late {
            true => self.halve(),
            false => self.max_items = (self.max_items * 2).min(max_items),
        }
    }

    /// Halves the items of the next message.
    pub(super) fn halve(&mut self) {
        self.max_items = (self.max_items / 2).max(MIN_ITEMS);
    }
}

impl Node {
    /// Chooses the items of a message, and the sequence number up to which they leave nothing out.
    pub(super) fn items_for(&mut self, host: &HostId, link: &Link) -> (u64, Vec<Item>) {
        let cursor = link.acked_by_peer;
        let max_items = link.item_limit.max_items.min(self.options.max_items);
        let mut pending = self.items.news_for(link.peer_incarnation.as_ref(), cursor);
        let mut items = Vec::new();
        let mut seq = cursor;
        for (item_seq, item) in pending.by_ref().take(max_items) {
            seq = item_seq;
            items.push(item.clone());
        }
        let mut is_truncated = false;
        for (_, item) in pending {
            is_truncated = true;
            // They merge as a maximum: one that comes again with its turn does no harm.
            if matches!(item, Item::Fact(_)) {
                items.push(item.clone());
            }
        }
        if let Some(link) = self.links.get_mut(host) {
            link.item_limit.is_truncated = is_truncated;
        }
        (if is_truncated { seq } else { self.items.seq() }, items)
    }
}
