//! Limits the number of items in a message to another host, and orders them by priority.
//!
//! After a partition or a start, thousands of items may be pending, and all neighbours send the same
//! ones. Each link starts with few items per message and doubles them while they are acknowledged in
//! time, so that the links together do not fill a slow network path with items that can wait. Facts
//! are sent regardless of the limit.

use crate::ids::HostId;

use super::messages::Item;
use super::{Link, Node};

/// Items in the first message of a link: about 3 KB, a few packets.
const INITIAL_ITEMS: usize = 50;

/// Minimum limit on the items in a message: about 1 KB, one packet.
const MIN_ITEMS: usize = 16;

/// Limit on the items in a message of a link, adapted to the acknowledgements.
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
    /// Reports whether the last message left items out. The next message is then sent without waiting for
    /// the heartbeat.
    pub(super) fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Adapts the limit to an acknowledgement: halves it if that was late, else doubles it up to
    /// `max_items`.
    pub(super) fn on_acknowledged(&mut self, is_late: bool, max_items: usize) {
        match is_late {
            true => self.halve(),
            false => self.max_items = (self.max_items * 2).min(max_items),
        }
    }

    /// Halves the limit for the next message, down to `MIN_ITEMS`.
    pub(super) fn halve(&mut self) {
        self.max_items = (self.max_items / 2).max(MIN_ITEMS);
    }
}

impl Node {
    /// Returns the items of a message and the sequence number up to which no item is left out. Facts beyond
    /// the limit are included.
    pub(super) fn items_for(&mut self, host: &HostId, link: &Link) -> (u64, Vec<Item>) {
        let cursor = link.acked_by_peer;
        let max_items = link.item_limit.max_items.min(self.options.max_items);
        let mut pending = self.items.changes_for(link.peer_incarnation.as_ref(), cursor);
        let mut items = Vec::new();
        let mut seq = cursor;
        for (item_seq, item) in pending.by_ref().take(max_items) {
            seq = item_seq;
            items.push(item.clone());
        }
        let mut is_truncated = false;
        for (_, item) in pending {
            is_truncated = true;
            // A fact may be sent again in its regular place: merging takes the maximum, so duplicates
            // have no effect.
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
