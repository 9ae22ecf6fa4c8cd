//! Applies received changes and keeps them for other hosts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tidetrack_core::events::Event;
use tidetrack_core::traffic::catalog::Catalog;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::feeds::LARGE_REPLY_BYTES;
use tidetrack_core::traffic::reply_limits::kept_list_bytes;
use tidetrack_core::traffic::store_position::era_of;

use crate::dialect::{Change, ChangeSet, DecodedObject, FeedKind, UnreadableObject};
use crate::feed::{ChangeBatch, FeedLog, ListSnapshot};

use super::StoreSync;

/// Transfer time of a body from which its reply is logged individually, like a large one. The store
/// is in the same region, so replies normally take less.
const SLOW_REPLY_TIME: Duration = Duration::from_millis(300);

/// Source of a reply with changes, in logs and metrics.
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
        // A reply may have a later store revision than the known state and still contain only known
        // changes.
        if newest <= self.position(kind) {
            return;
        }
        let last = changes.changes.last();
        if last.is_some_and(|change| matches!(change, Change::Put(o) if self.is_superseded(o))) {
            self.with_log(kind, |log| log.advance(batch.newest_revision));
            return self.report_position(kind, changes.newest_change);
        }
        if !self.with_log(kind, |log| log.push(batch)) {
            return;
        }
        self.newest_changes.borrow_mut().raise(kind, newest);
        // Of several versions of a single object only the last one is applied. The others must not
        // take effect even for a moment.
        let last = changes.changes.len().saturating_sub(1);
        let skipped = if kind.is_single_object() { last } else { 0 };
        for change in changes.changes.into_iter().skip(skipped) {
            match change {
                Change::Put(DecodedObject::Catalog(c)) => self.apply_catalog(c),
                Change::Put(DecodedObject::Endpoint(r)) => {
                    self.shared.send_input(Input::Endpoint(r))
                }
                Change::Put(DecodedObject::Rollout(o)) => self.shared.send_input(Input::Rollout(o)),
                Change::Put(DecodedObject::Evacuation(domain)) => {
                    self.shared.send_input(Input::EvacuationStarted(domain))
                }
                Change::EndpointRemoved(id) => self.shared.send_input(Input::EndpointRemoved(id)),
                Change::RolloutRemoved(service) => {
                    self.shared.send_input(Input::RolloutRemoved(service))
                }
                Change::EvacuationRemoved(domain) => {
                    self.shared.send_input(Input::EvacuationEnded(domain))
                }
                Change::Unreadable(object) => self.report_unreadable(kind, object),
            }
        }
        self.report_position(kind, changes.newest_change);
    }

    /// Applies a complete list. Returns false, without applying it, if newer changes are known
    /// already, since the list would undo them. `newest` is the revision of the newest change of a
    /// listed object.
    pub(super) fn apply_list(
        &self,
        kind: FeedKind,
        objects: Vec<DecodedObject>,
        unreadable: &[String],
        list: ListSnapshot,
        newest: u64,
    ) -> bool {
        // Removed objects are not listed, so a list may bring changes up to its own revision. For a
        // kind with a single object it only counts as new if the object changed; otherwise each
        // host would fetch another copy of a configuration that it already has.
        let newest = if kind.is_single_object() { newest } else { list.revision };
        if list.revision < self.position(kind) {
            return false;
        }
        if objects.iter().any(|object| self.is_superseded(object)) {
            self.with_log(kind, |log| log.advance(list.revision));
            self.report_position(kind, None);
            return true;
        }
        self.announce_era(kind, list.revision);
        if !self.with_log(kind, |log| log.reset_to_list(list)) {
            return false;
        }
        self.limit_kept_lists(kind);
        self.newest_changes.borrow_mut().raise(kind, newest);
        let mut endpoints = Vec::new();
        let mut rollouts = Vec::new();
        let mut evacuated_domains = BTreeSet::new();
        for object in objects {
            match object {
                DecodedObject::Catalog(catalog) => self.apply_catalog(catalog),
                DecodedObject::Endpoint(record) => endpoints.push(record),
                DecodedObject::Rollout(order) => rollouts.push(order),
                DecodedObject::Evacuation(domain) => drop(evacuated_domains.insert(domain)),
            }
        }
        match kind {
            FeedKind::Catalog => {}
            FeedKind::Endpoints => self.shared.send_input(Input::EndpointList(endpoints)),
            FeedKind::Rollouts => {
                let unreadable = unreadable.iter().filter_map(|name| name.parse().ok()).collect();
                self.shared.send_input(Input::RolloutList { orders: rollouts, unreadable });
            }
            FeedKind::Evacuations => {
                self.shared.send_input(Input::EvacuationList(evacuated_domains))
            }
        }
        self.report_position(kind, None);
        true
    }

    /// Drops the list of a kind if the lists of all kinds take more memory than they may.
    fn limit_kept_lists(&self, kind: FeedKind) {
        let max_bytes = kept_list_bytes(self.shared.settings.memory);
        let mut logs = self.logs.borrow_mut();
        let bytes: usize = logs.iter().map(FeedLog::list_bytes).sum();
        if bytes > max_bytes {
            logs[kind as usize].drop_list();
            drop(logs);
            let fields: [(&'static str, &dyn std::fmt::Display); 3] =
                [("kind", &kind.as_str()), ("bytes", &bytes), ("max_bytes", &max_bytes)];
            self.shared.journal.log(Event::ListNotKept, &fields);
        }
    }

    fn apply_catalog(&self, catalog: Catalog) {
        self.catalog_version.set(self.catalog_version.get().max(catalog.version));
        self.shared.send_input(Input::Catalog(Arc::new(catalog)));
    }

    /// Reports whether a restored store holds an older configuration than the one in force, which is
    /// then kept, also for other hosts.
    fn is_superseded(&self, object: &DecodedObject) -> bool {
        matches!(object, DecodedObject::Catalog(c) if c.version < self.catalog_version.get())
    }

    /// Tells the control thread if a list at a position is the first known one of a restored store.
    fn announce_era(&self, kind: FeedKind, position: u64) {
        let known = self.position(kind);
        if known > 0 && era_of(position) > era_of(known) {
            self.shared.send_input(Input::StoreRestored(kind));
        }
    }

    /// Reports a change to a state that could not be decoded.
    fn report_unreadable(&self, kind: FeedKind, object: UnreadableObject) {
        self.store.log_unreadable(std::slice::from_ref(&object));
        let input = match kind {
            // The last valid configuration stays in force.
            FeedKind::Catalog => None,
            // The previous state of the object does not tell anything about the new one.
            FeedKind::Endpoints => object.name.parse().ok().map(Input::EndpointUnreadable),
            FeedKind::Rollouts => object.name.parse().ok().map(Input::RolloutUnreadable),
            // An order consists of nothing but the name of the domain.
            FeedKind::Evacuations => None,
        };
        // An invalid name cannot belong to a known object.
        input.into_iter().for_each(|input| self.shared.send_input(input));
    }

    pub(super) fn report_position(&self, kind: FeedKind, changed: Option<u64>) {
        let complete = self.position(kind);
        self.sync_events.send_replace(());
        self.shared.send_input(Input::CaughtUp { kind, complete, changed });
    }
}
