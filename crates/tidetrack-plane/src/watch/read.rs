//! Reads a kind from the store, as a list or as the changes after a revision.

use std::time::Duration;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::traffic::store_position::StorePosition;
use tidetrack_core::units::Millis;

use crate::call::unavailable_error;
use crate::dialect::{FeedKind, ListAge};
use crate::feed::{ChangeBatch, ListSnapshot};
use crate::store::{CallPurpose, CallReason};

use super::apply::SOURCE_STORE;
use super::follow::{jittered, INITIAL_PAUSE};
use super::StoreSync;

/// Number of lists older than the known state after which a read has failed.
const MAX_OLD_LISTS: u32 = 3;

impl StoreSync {
    /// Reads the changes of a kind after a revision, for which the store may wait up to `wait`.
    /// Reads the whole list if the store does not keep these changes any more or if they exceed the
    /// size limit of a reply, since every retry would fail in the same way.
    pub(super) async fn read_changes_or_list(
        &self,
        kind: FeedKind,
        after: u64,
        wait: Millis,
        reason: CallReason,
    ) -> Result<()> {
        match self.read_changes(kind, after, wait, reason).await {
            Err(e) if matches!(e.code, Code::HistoryGone | Code::ReplyTooLarge) => {
                let kind_name = format!("{kind:?}");
                self.shared.journal.log(Event::HistoryGone, &[("kind", &kind_name), ("why", &e)]);
                self.read_list(kind, None, CallReason::HistoryGone).await
            }
            result => result,
        }
    }

    /// Lists a kind. The first list may be slightly old, since the changes after it are read next.
    /// A later list is reported to other hosts, because it may contain changes that were not
    /// reported individually. The same applies to a first list of endpoints or roll-outs: if all
    /// watchers restarted at the same time, no other host reports the changes made meanwhile. For a
    /// first list only the newest listed change is reported. Other hosts usually know it, whereas
    /// the revision of the list would make every host fetch a list at each start. `after` is the
    /// revision after which a change is needed; the read is dropped if one arrives otherwise. If it
    /// is `None`, the list is always read.
    pub(super) async fn read_list(
        &self,
        kind: FeedKind,
        after: Option<u64>,
        reason: CallReason,
    ) -> Result<()> {
        let is_first = self.position(kind) == 0;
        let age =
            if is_first && kind != FeedKind::Catalog { ListAge::Recent } else { ListAge::Newest };
        let purpose = CallPurpose { kind, reason, age };
        let mut old_lists = 0;
        let newest_listed = loop {
            let listing = self.store.list(purpose, &self.reply_gate(kind, after)).await?;
            let (revision, newest) = (listing.revision, listing.newest_change);
            // Each page is copied into a buffer of its size, and freed.
            let pages: Vec<Vec<u8>> = listing.pages.into_iter().map(|page| page.to_vec()).collect();
            let bytes = pages.iter().map(Vec::len).sum();
            let before = self.newest_change(kind);
            let list = ListSnapshot { revision, pages };
            let is_applied =
                self.apply_list(kind, listing.objects, &listing.unreadable, list, newest);
            let is_new = is_applied && self.newest_change(kind) > before;
            self.record_reply(kind, SOURCE_STORE, bytes, listing.body_time, is_new);
            if kind == FeedKind::Catalog {
                self.record_catalog_read(listing.started_at);
            }
            // A list older than the known state contains nothing new and is read again. A kind with
            // a single object needs no further list.
            if is_applied || kind.is_single_object() {
                break newest;
            }
            old_lists += 1;
            if old_lists == MAX_OLD_LISTS {
                return Err(unavailable_error("the lists are older than the known state"));
            }
            tokio::time::sleep(jittered(INITIAL_PAUSE)).await;
        };
        if age == ListAge::Recent {
            self.report_position(kind, Some(newest_listed));
            let since = self.read_changes(kind, self.position(kind), Millis(0), reason).await;
            since.or_else(ignore_unneeded)?;
        } else if !is_first {
            self.report_position(kind, Some(self.newest_change(kind)));
        }
        Ok(())
    }

    /// Reads the changes of a kind after a revision, for which the store may wait up to `wait`.
    pub(super) async fn read_changes(
        &self,
        kind: FeedKind,
        after: u64,
        wait: Millis,
        reason: CallReason,
    ) -> Result<()> {
        let dialect = &self.shared.dialect.store;
        let started_at = self.shared.now();
        let position = StorePosition::from_packed(after);
        let call = (dialect.watch)(kind, position.revision, wait);
        let gate = self.reply_gate(kind, Some(after));
        let purpose = CallPurpose { kind, reason, age: ListAge::Newest };
        let wait = Duration::from_millis(wait.0);
        let mut hold = self.store.reply_memory.open();
        let reply = self.store.call(&call, purpose, wait, Some(&gate), &mut hold).await?;
        let era = (dialect.read_era)(&reply.headers);
        // The revision after which the changes were requested stands for another state in this era.
        if era != position.era {
            let text = "the store was restored from a copy, and counts its revisions anew";
            return Err(Error::new(Code::HistoryGone, text));
        }
        let changes = (dialect.read_changes)(kind, &reply.body)?.in_era(era);
        let newest_revision = changes.revision;
        // The store's revision also rises with changes of other kinds, so it does not show whether
        // this kind changed.
        let is_new = changes.newest_change.is_some_and(|newest| newest > self.position(kind));
        if is_new {
            // Other hosts do not need the versions before the newest one, each of which may take a
            // megabyte.
            let keeps_only_last = kind.is_single_object() && changes.changes.len() > 1;
            let bytes = match keeps_only_last {
                true => (dialect.last_change)(&reply.body)?,
                false => reply.body.to_vec(),
            };
            self.apply_changes(kind, changes, ChangeBatch { newest_revision, bytes });
        }
        self.record_reply(kind, SOURCE_STORE, reply.body.len(), reply.body_time, is_new);
        self.with_log(kind, |log| log.advance(newest_revision));
        self.report_position(kind, None);
        if kind == FeedKind::Catalog {
            self.record_catalog_read(started_at);
        }
        Ok(())
    }
}

/// Treats a reply that was dropped as unneeded like a successful one.
pub(super) fn ignore_unneeded(e: Error) -> Result<()> {
    match e.code {
        Code::ReplyNotNeeded => Ok(()),
        _ => Err(e),
    }
}
