//! Applies what came, and keeps it for other hosts.

use std::sync::Arc;
use std::time::Duration;

use tidetrack_core::events::Event;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::feeds::LARGE_REPLY_BYTES;

use crate::dialect::{Change, ChangeSet, DecodedObject, FeedKind, UnreadableObject};
use crate::feed::{ChangeBatch, ListSnapshot};

use super::StoreSync;

/// Time for the body of a reply from which it has a line of its own, like a large one: the store is in
/// the same region.
const SLOW_REPLY_TIME: Duration = Duration::from_millis(300);

/// Where a reply with changes came from, in logs and metrics.
pub(super) const SOURCE_STORE: &str = "store";
pub(super) const SOURCE_HOST: &str = "host";

impl StoreSync {
    /// Counts a reply with changes, and logs it if it was large or slow.
    pub(super) fn record_reply(
        &self,
        kind: FeedKind,
        source: &'static str,
        bytes: usize,
        body_time: Duration,
        is_new: bool,
    ) {
        self.shared.metrics.record_feed_bytes(kind.as_str(), source, is_new, bytes);
        if bytes < LARGE_REPLY_BYTES && body_time < SLOW_REPLY_TIME {
            return;
        }
        let ms = body_time.as_millis();
        self.shared.journal.log(
            Event::LargeReplyCame,
            &[
                ("kind", &kind.as_str()),
                ("source", &source),
                ("bytes", &bytes),
                ("body_ms", &ms),
                ("is_new", &is_new),
            ],
        );
    }

    /// Applies changes that are new, and keeps them for other hosts.
    pub(super) fn apply_changes(&self, kind: FeedKind, changes: ChangeSet, batch: ChangeBatch) {
        let newest = changes.newest_change.unwrap_or(batch.newest_revision);
        // A reply may be of a later state than what is known, and yet hold known changes only.
        if newest <= self.position(kind) || !self.log(kind, |log| log.push(batch)) {
            return;
        }
        self.newest.borrow_mut().raise(kind, newest);
        // Of several states of one object the last one counts; the others must not be in force, not even
        // for a moment.
        let last = changes.changes.len().saturating_sub(1);
        let skipped = if kind.is_single_object() { last } else { 0 };
        for change in changes.changes.into_iter().skip(skipped) {
            match change {
                Change::Put(DecodedObject::Catalog(c)) => {
                    self.shared.send_input(Input::Catalog(Arc::new(c)))
                }
                Change::Put(DecodedObject::Endpoint(r)) => {
                    self.shared.send_input(Input::Endpoint(r))
                }
                Change::Put(DecodedObject::Rollout(o)) => self.shared.send_input(Input::Rollout(o)),
                Change::EndpointRemoved(id) => self.shared.send_input(Input::EndpointRemoved(id)),
                Change::RolloutRemoved(service) => {
                    self.shared.send_input(Input::RolloutRemoved(service))
                }
                Change::Unreadable(object) => self.report_unreadable(kind, object),
            }
        }
        self.report_position(kind, changes.newest_change);
    }

    /// Takes a whole list, unless newer changes are known already: these must not be undone. `newest` is
    /// the newest change of a listed object.
    pub(super) fn apply_list(
        &self,
        kind: FeedKind,
        objects: Vec<DecodedObject>,
        unreadable: &[String],
        list: ListSnapshot,
        newest: u64,
    ) -> bool {
        // What was removed is not listed, so a list is news up to the revision it was taken at. A kind
        // with one object is only news if that was changed: hosts told otherwise would each get another
        // copy of a configuration they know.
        let newest = if kind.is_single_object() { newest } else { list.revision };
        if !self.log(kind, |log| log.reset_to_list(list)) {
            return false;
        }
        self.newest.borrow_mut().raise(kind, newest);
        let mut endpoints = Vec::new();
        let mut rollouts = Vec::new();
        for object in objects {
            match object {
                DecodedObject::Catalog(catalog) => {
                    self.shared.send_input(Input::Catalog(Arc::new(catalog)))
                }
                DecodedObject::Endpoint(record) => endpoints.push(record),
                DecodedObject::Rollout(order) => rollouts.push(order),
            }
        }
        match kind {
            FeedKind::Catalog => {}
            FeedKind::Endpoints => self.shared.send_input(Input::EndpointList(endpoints)),
            FeedKind::Rollouts => {
                let unreadable = unreadable.iter().filter_map(|name| name.parse().ok()).collect();
                self.shared.send_input(Input::RolloutList { orders: rollouts, unreadable });
            }
        }
        self.report_position(kind, None);
        true
    }

    /// Takes note of a change to a state that cannot be read.
    fn report_unreadable(&self, kind: FeedKind, object: UnreadableObject) {
        self.store.log_unreadable(std::slice::from_ref(&object));
        let input = match kind {
            // The last good configuration stays in force.
            FeedKind::Catalog => None,
            // What it was before says nothing of what it is now.
            FeedKind::Endpoints => object.name.parse().ok().map(Input::EndpointUnreadable),
            FeedKind::Rollouts => object.name.parse().ok().map(Input::RolloutUnreadable),
        };
        // A name that is none of ours belongs to nothing that is known.
        input.into_iter().for_each(|input| self.shared.send_input(input));
    }

    pub(super) fn report_position(&self, kind: FeedKind, changed: Option<u64>) {
        let complete = self.position(kind);
        self.sync_events.send_replace(());
        self.shared.send_input(Input::CaughtUp { kind, complete, changed });
    }
}
