//! Gets changes that another host told of, from it or from the store.

use std::net::SocketAddr;
use std::rc::Rc;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::Result;
use tidetrack_core::events::Event;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::feeds::{Fetch, FetchSource};
use tidetrack_core::units::Millis;

use crate::call::not_needed_error;
use crate::dialect::FeedKind;
use crate::feed;
use crate::store::Cause;

use super::intake::FROM_HOST;
use super::read::unless_needless;
use super::Watches;

impl Watches {
    /// Gets changes that another host told of.
    pub async fn catch(self: Rc<Self>, catch: Fetch) {
        let (kind, after) = (catch.kind, catch.after);
        let lists = after == 0 && catch.source == FetchSource::Store;
        // A first list takes seconds on a narrow link, and begun again it would take as long again.
        if lists && std::mem::replace(&mut self.is_listing.borrow_mut()[kind as usize], true) {
            return;
        }
        self.get(catch).await;
        if lists {
            self.is_listing.borrow_mut()[kind as usize] = false;
        }
    }

    async fn get(&self, catch: Fetch) {
        let (kind, after) = (catch.kind, catch.after);
        // What is coming in already may bring it, to one that waits as to several.
        if std::mem::replace(&mut self.is_waiting.borrow_mut()[kind as usize], true) {
            return;
        }
        self.large[kind as usize].wait_until_free().await;
        self.is_waiting.borrow_mut()[kind as usize] = false;
        let result = match catch.source {
            _ if self.newest(kind) > after => Err(not_needed_error()),
            FetchSource::Host(address) => self.ask_host(kind, after, address).await,
            // Of several versions only the newest is wanted, and who knows nothing wants all.
            FetchSource::Store if kind.is_single_object() || after == 0 => {
                let cause = if after == 0 { Cause::Start } else { Cause::Told };
                self.read_all(kind, Some(after), cause).await
            }
            FetchSource::Store => self.read_store(kind, after, Millis(0), Cause::Told).await,
        };
        // A slow reply that was given up for another one brought nothing: the next try is elsewhere.
        let is_known = self.newest(kind) > after;
        self.shared.metrics.feed_call(match (&result, catch.source) {
            (Err(e), _) if e.code == Code::ReplyNotNeeded && is_known => "known",
            (Ok(()), FetchSource::Host(_)) => "host",
            (Err(_), FetchSource::Host(_)) => "host_failed",
            (Ok(()), FetchSource::Store) => "store",
            (Err(_), FetchSource::Store) => "store_failed",
        });
        if let Err(e) = result.or_else(|e| if is_known { unless_needless(e) } else { Err(e) }) {
            let source = match catch.source {
                FetchSource::Host(address) => address.to_string(),
                FetchSource::Store => "store".into(),
            };
            let kind_name = format!("{kind:?}");
            self.shared.journal.routine(
                Event::ChangesNotGot,
                &[("kind", &kind_name), ("after", &after), ("source", &source), ("why", &e)],
            );
            self.shared.tell(Input::FetchFailed(catch));
            if after == 0 && catch.source == FetchSource::Store {
                self.lost(kind, &e);
            }
        }
    }

    async fn ask_host(&self, kind: FeedKind, after: u64, address: SocketAddr) -> Result<()> {
        let gate = self.gate(kind, Some(after));
        let asked_at = self.shared.now();
        let (told, reply) = feed::ask(&self.hosts, address, kind, after, &gate).await?;
        let before = self.newest(kind);
        if let Some(list) = told.list {
            let (mut objects, mut unreadable, mut newest) = (Vec::new(), Vec::new(), 0);
            for page in &list.pages {
                let page = (self.shared.dialect.store.read_page)(kind, page)?;
                self.store.note_unreadable(&page.unreadable);
                newest = page.newest.max(newest);
                objects.extend(page.objects);
                unreadable.extend(page.unreadable.into_iter().map(|object| object.name));
            }
            self.take_list(kind, objects, &unreadable, list, newest);
        }
        for chunk in told.chunks {
            let changes = (self.shared.dialect.store.read_changes)(kind, &chunk.bytes)?;
            self.take(kind, changes, chunk);
        }
        let is_new = self.newest(kind) > before;
        self.note_reply(kind, FROM_HOST, reply.body.len(), reply.body_time, is_new);
        self.log(kind, |log| log.advance(told.complete));
        self.caught_up(kind, None);
        if let Some(age) = told.proof_age {
            // Told after the configuration, which is as new as the teller's: so the proof holds for it.
            self.shared.tell(Input::ConfigConfirmed(asked_at - age));
        }
        Ok(())
    }
}
