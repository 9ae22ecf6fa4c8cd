//! Reads a kind from the store, as a list or as the changes after a revision.

use std::time::Duration;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::units::Millis;

use crate::dialect::{Age, FeedKind};
use crate::feed::{Chunk, ListChunk};
use crate::store::{Cause, Purpose};

use super::intake::FROM_STORE;
use super::Watches;

impl Watches {
    /// Reads the changes after a revision from the store, which may wait for one, or the whole kind if they
    /// are forgotten, or more than a reply may have: each try would end there.
    pub(super) async fn read_store(
        &self,
        kind: FeedKind,
        after: u64,
        wait: Millis,
        cause: Cause,
    ) -> Result<()> {
        match self.read_changes(kind, after, wait, cause).await {
            Err(e) if matches!(e.code, Code::HistoryGone | Code::ReplyTooLarge) => {
                let kind_name = format!("{kind:?}");
                self.shared.journal.line(Event::HistoryGone, &[("kind", &kind_name), ("why", &e)]);
                self.read_all(kind, None, Cause::HistoryGone).await
            }
            result => result,
        }
    }

    /// Lists a kind. The first list may be a little old, for the changes since follow; a later one is
    /// news to other hosts, for it may hold changes that were not told one by one. So may a first one of
    /// endpoints or roll-outs: changes made while all hosts that watch started anew are told by nobody
    /// else. Only the newest listed change is told of it, which all know otherwise, or each start would
    /// cost every host a list. `after` is the revision whose next change is wanted, where anything but
    /// that is not.
    pub(super) async fn read_all(
        &self,
        kind: FeedKind,
        after: Option<u64>,
        cause: Cause,
    ) -> Result<()> {
        let is_first = self.position(kind) == 0;
        let age = if is_first && kind != FeedKind::Catalog { Age::OfLate } else { Age::Newest };
        let purpose = Purpose { kind, cause, age };
        let newest_listed = loop {
            let listed = self.store.list(purpose, &self.gate(kind, after)).await?;
            let (at, newest) = (listed.revision, listed.newest);
            let pages: Vec<Vec<u8>> = listed.pages.iter().map(|page| page.to_vec()).collect();
            let bytes = pages.iter().map(Vec::len).sum();
            let before = self.newest(kind);
            let list = ListChunk { at, pages };
            let is_taken = self.take_list(kind, listed.objects, &listed.unreadable, list, newest);
            let is_new = is_taken && self.newest(kind) > before;
            self.note_reply(kind, FROM_STORE, bytes, listed.body_time, is_new);
            if kind == FeedKind::Catalog {
                self.catalog_read(listed.began);
            }
            // A list that is older than what is known has nothing new; of one object nothing is missing.
            if is_taken || kind.is_single_object() {
                break newest;
            }
        };
        if age == Age::OfLate {
            self.caught_up(kind, Some(newest_listed));
            let since = self.read_changes(kind, self.position(kind), Millis(0), cause).await;
            since.or_else(unless_needless)?;
        } else if !is_first {
            self.caught_up(kind, Some(self.newest(kind)));
        }
        Ok(())
    }

    /// Reads the changes of a kind after a revision; the store may wait for one.
    pub(super) async fn read_changes(
        &self,
        kind: FeedKind,
        after: u64,
        wait: Millis,
        cause: Cause,
    ) -> Result<()> {
        let dialect = &self.shared.dialect.store;
        let began = self.shared.now();
        let call = (dialect.watch)(kind, after, wait);
        let gate = self.gate(kind, Some(after));
        let purpose = Purpose { kind, cause, age: Age::Newest };
        let wait = Duration::from_millis(wait.0);
        let reply = self.store.call(&call, purpose, wait, Some(&gate)).await?;
        let changes = (dialect.read_changes)(kind, &reply.body)?;
        let to = changes.revision;
        // The store's revision rises with changes of other kinds too, so it does not tell.
        let is_new = changes.newest.is_some_and(|newest| newest > self.position(kind));
        if is_new {
            // Other hosts have no use for the states before the newest, each of which may be a megabyte.
            let is_cut = kind.is_single_object() && changes.changes.len() > 1;
            let bytes = match is_cut {
                true => (dialect.last_change)(&reply.body)?,
                false => reply.body.to_vec(),
            };
            self.take(kind, changes, Chunk { to, bytes });
        }
        self.note_reply(kind, FROM_STORE, reply.body.len(), reply.body_time, is_new);
        self.log(kind, |log| log.advance(to));
        self.caught_up(kind, None);
        if kind == FeedKind::Catalog {
            self.catalog_read(began);
        }
        Ok(())
    }
}

/// Takes a reply that was not needed any more for one that came.
pub(super) fn unless_needless(e: Error) -> Result<()> {
    match e.code {
        Code::ReplyNotNeeded => Ok(()),
        _ => Err(e),
    }
}
