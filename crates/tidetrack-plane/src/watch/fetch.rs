//! Fetches changes that another host reported, from that host or from the store.

use std::net::SocketAddr;
use std::rc::Rc;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::Result;
use tidetrack_core::events::Event;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::feeds::{Fetch, FetchSource};
use tidetrack_core::traffic::store_position::{era_of, StorePosition};
use tidetrack_core::units::Millis;

use crate::call::not_needed_error;
use crate::dialect::FeedKind;
use crate::feed;
use crate::store::CallReason;

use super::apply::SOURCE_HOST;
use super::read::ignore_unneeded;
use super::StoreSync;

impl StoreSync {
    /// Fetches changes that another host reported. Does not read a first list of a kind from the
    /// store while another such read is in progress.
    pub async fn fetch(self: Rc<Self>, fetch: Fetch) {
        let (kind, after) = (fetch.kind, fetch.after);
        let is_first_list = after == 0 && fetch.source == FetchSource::Store;
        // A first list takes seconds on a narrow link, and a second one in parallel would take as
        // long again.
        if is_first_list
            && std::mem::replace(&mut self.is_listing.borrow_mut()[kind as usize], true)
        {
            return;
        }
        self.fetch_once(fetch).await;
        if is_first_list {
            self.is_listing.borrow_mut()[kind as usize] = false;
        }
    }

    async fn fetch_once(&self, fetch: Fetch) {
        let (kind, after) = (fetch.kind, fetch.after);
        // A reply that is being received may contain the changes, so a single waiting fetch is
        // enough.
        if std::mem::replace(&mut self.has_waiting_fetch.borrow_mut()[kind as usize], true) {
            return;
        }
        self.large_replies[kind as usize].wait_until_free().await;
        self.has_waiting_fetch.borrow_mut()[kind as usize] = false;
        let result = match fetch.source {
            _ if self.newest_change(kind) > after => Err(not_needed_error()),
            FetchSource::Host(address) => self.fetch_from_host(kind, after, address).await,
            // Of a single object only the newest version is needed, and a host without any state
            // needs the whole list.
            FetchSource::Store if kind.is_single_object() || after == 0 => {
                let reason = if after == 0 { CallReason::Start } else { CallReason::Reported };
                self.read_list(kind, Some(after), reason).await
            }
            FetchSource::Store => {
                self.read_changes_or_list(kind, after, Millis(0), CallReason::Reported).await
            }
        };
        // A slow reply that was dropped in favour of another one delivered nothing, so the next
        // attempt uses another source.
        let is_known = self.newest_change(kind) > after;
        self.shared.metrics.record_feed_call(match (&result, fetch.source) {
            (Err(e), _) if e.code == Code::ReplyNotNeeded && is_known => "known",
            (Ok(()), FetchSource::Host(_)) => "host",
            (Err(_), FetchSource::Host(_)) => "host_failed",
            (Ok(()), FetchSource::Store) => "store",
            (Err(_), FetchSource::Store) => "store_failed",
        });
        if let Err(e) = result.or_else(|e| if is_known { ignore_unneeded(e) } else { Err(e) }) {
            let source = match fetch.source {
                FetchSource::Host(address) => address.to_string(),
                FetchSource::Store => "store".into(),
            };
            let kind_name = format!("{kind:?}");
            self.shared.journal.log_routine(
                Event::ChangesNotGot,
                &[
                    ("kind", &kind_name),
                    ("after", &StorePosition::from_packed(after)),
                    ("source", &source),
                    ("why", &e),
                ],
            );
            self.shared.send_input(Input::FetchFailed(fetch));
            if after == 0 && fetch.source == FetchSource::Store {
                self.record_failure(kind, &e);
            }
        }
    }

    async fn fetch_from_host(&self, kind: FeedKind, after: u64, address: SocketAddr) -> Result<()> {
        let gate = self.reply_gate(kind, Some(after));
        let requested_at = self.shared.now();
        let mut hold = self.store.reply_memory.open();
        let (feed_reply, response) =
            feed::fetch_changes(&self.host_pool, address, kind, after, &gate, &mut hold).await?;
        let before = self.newest_change(kind);
        if let Some(list) = feed_reply.list {
            let (mut objects, mut unreadable, mut newest) = (Vec::new(), Vec::new(), 0);
            for page in &list.pages {
                let page = (self.shared.dialect.store.read_page)(kind, page)?;
                let page = page.in_era(era_of(list.revision));
                self.store.log_unreadable(&page.unreadable);
                newest = page.newest_change.max(newest);
                objects.extend(page.objects);
                unreadable.extend(page.unreadable.into_iter().map(|object| object.name));
            }
            self.apply_list(kind, objects, &unreadable, list, newest);
        }
        for batch in feed_reply.batches {
            let changes = (self.shared.dialect.store.read_changes)(kind, &batch.bytes)?;
            let changes = changes.in_era(era_of(batch.newest_revision));
            self.apply_changes(kind, changes, batch);
        }
        let is_new = self.newest_change(kind) > before;
        self.record_reply(kind, SOURCE_HOST, response.body.len(), response.body_time, is_new);
        self.with_log(kind, |log| log.advance(feed_reply.complete_to));
        self.report_position(kind, None);
        if let Some(age) = feed_reply.proof_age {
            // The proof is sent after the configuration, which is as new as the sender's, so the
            // proof applies to it.
            self.shared.send_input(Input::ConfigConfirmed(requested_at - age));
        }
        Ok(())
    }
}
