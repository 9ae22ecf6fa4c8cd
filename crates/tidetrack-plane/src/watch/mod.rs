//! Keeps a host in sync with the store: first a list of each kind, then the changes after it. A few
//! hosts, the watchers, watch the store for the others, which receive the changes from host to host
//! (see `feed`). Later lists are read only if the store does not keep the changes any more, and for
//! the configuration, whose list is its newest state.
//!
//! A few hosts, the provers, also confirm that the configuration is the newest, by short reads, and
//! report this to the others. A host whose proof becomes too old nevertheless reads the
//! configuration itself and thereby detects that the store is unreachable. When the store responds
//! again, all kinds continue from the last known change.
//!
//! This module contains the shared state: `follow` lists and watches the store, `proof` keeps the
//! proof of the configuration recent, `fetch` gets changes reported by other hosts, `read` makes
//! the calls to the store, and `apply` applies received changes and keeps them for other hosts.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::watch;

use tidetrack_core::errors::Error;
use tidetrack_core::events::Event;
use tidetrack_core::traffic::control::{HostRoles, Input};
use tidetrack_core::traffic::feeds::Revisions;

use crate::call::{LargeReplyControl, LargeReplyLimiter};
use crate::dialect::FeedKind;
use crate::feed::{self, FeedLog, FeedReply};
use crate::pool::Pool;
use crate::shared::SharedRef;
use crate::store::StoreClient;

mod apply;
mod fetch;
mod follow;
mod proof;
mod read;

/// Synchronization of a host with the store, for all kinds.
pub struct StoreSync {
    shared: SharedRef,
    store: Rc<StoreClient>,
    /// Pooled connections to other hosts.
    host_pool: Pool,
    /// The latest changes, by kind.
    logs: RefCell<[FeedLog; FeedKind::COUNT]>,
    /// Revision of the newest known change, by kind.
    newest_changes: RefCell<Revisions>,
    /// Version of the newest configuration that was applied; 0 if there is none.
    catalog_version: Cell<u64>,
    /// Serializes the large replies of each kind.
    large_replies: [LargeReplyLimiter; FeedKind::COUNT],
    /// By kind, whether a fetch is waiting for a large reply to finish.
    has_waiting_fetch: RefCell<[bool; FeedKind::COUNT]>,
    /// By kind, whether a starting host is reading the first list from the store.
    is_listing: RefCell<[bool; FeedKind::COUNT]>,
    /// Notified whenever a kind has been brought to a state of the store.
    sync_events: watch::Sender<()>,
    /// Number of times that the store became reachable again. A change makes the other kinds
    /// continue.
    store_recoveries: watch::Sender<u64>,
    roles: watch::Receiver<HostRoles>,
    /// By kind, whether the last read of the store failed.
    is_unreachable: RefCell<[bool; FeedKind::COUNT]>,
    started_at: Instant,
}

impl StoreSync {
    /// Starts to follow all kinds, on the current thread.
    pub fn start(
        shared: SharedRef,
        store: Rc<StoreClient>,
        roles: watch::Receiver<HostRoles>,
    ) -> Rc<StoreSync> {
        let (store_recoveries, _) = watch::channel(0);
        let (sync_events, _) = watch::channel(());
        let store_sync = Rc::new(StoreSync {
            shared: shared.clone(),
            store,
            host_pool: Pool::default(),
            logs: RefCell::new(FeedKind::ALL.map(FeedLog::new)),
            newest_changes: RefCell::default(),
            catalog_version: Cell::default(),
            large_replies: Default::default(),
            has_waiting_fetch: RefCell::default(),
            is_listing: RefCell::default(),
            sync_events,
            store_recoveries,
            roles,
            is_unreachable: RefCell::default(),
            started_at: Instant::now(),
        });
        tokio::task::spawn_local(store_sync.clone().maintain_proof());
        for kind in FeedKind::ALL {
            tokio::task::spawn_local(store_sync.clone().follow_forever(kind));
        }
        let reply_source = store_sync.clone();
        let lookup = move |kind, after| reply_source.changes_after(kind, after);
        let address = shared.settings.peer_address;
        tokio::task::spawn_local(feed::serve(shared, address, lookup));
        let sync_for_pool = store_sync.clone();
        tokio::task::spawn_local(async move { sync_for_pool.host_pool.run_expiry(|_| true).await });
        store_sync
    }

    fn with_log<T>(&self, kind: FeedKind, f: impl FnOnce(&mut FeedLog) -> T) -> T {
        f(&mut self.logs.borrow_mut()[kind as usize])
    }

    /// Returns what another host needs to get from a revision to the newest one. The configuration
    /// is sent with its proof, as a starting host would otherwise have to request one next.
    fn changes_after(&self, kind: FeedKind, after: u64) -> Option<FeedReply> {
        let reply = self.with_log(kind, |log| log.changes_after(after))?;
        let age = self.shared.freshness.age(self.shared.now());
        Some(FeedReply { proof_age: age.filter(|_| kind == FeedKind::Catalog), ..reply })
    }

    fn position(&self, kind: FeedKind) -> u64 {
        self.with_log(kind, |log| log.position())
    }

    /// Returns the revision of the newest known change of a kind.
    fn newest_change(&self, kind: FeedKind) -> u64 {
        self.newest_changes.borrow().get(kind)
    }

    /// Returns the gate for a reply requested after a revision. A large reply is not read if newer
    /// changes arrive otherwise while it waits for the gate. A list, for which `after` is `None`,
    /// is always read.
    fn reply_gate(&self, kind: FeedKind, after: Option<u64>) -> LargeReplyControl<'_> {
        LargeReplyControl {
            limiter: &self.large_replies[kind as usize],
            is_obsolete: Box::new(move || {
                after.is_some_and(|after| self.newest_change(kind) > after)
            }),
            on_progress: Box::new(move || self.shared.send_input(Input::ReplyStarted(kind))),
        }
    }

    fn is_unreachable(&self, kind: FeedKind) -> bool {
        self.is_unreachable.borrow()[kind as usize]
    }

    /// Records that a kind could not be read. Returns false if its last read had failed already.
    fn record_failure(&self, kind: FeedKind, e: &Error) -> bool {
        let unreachable_before = *self.is_unreachable.borrow();
        if unreachable_before[kind as usize] {
            return false;
        }
        self.is_unreachable.borrow_mut()[kind as usize] = true;
        let kind_name = format!("{kind:?}");
        self.shared.journal.log(Event::PlatformLost, &[("kind", &kind_name), ("why", e)]);
        if unreachable_before == [false; FeedKind::COUNT] {
            self.shared.send_input(Input::StoreUnreachable);
        }
        true
    }

    /// Records that a kind was read.
    fn record_recovery(&self, kind: FeedKind) {
        if !std::mem::take(&mut self.is_unreachable.borrow_mut()[kind as usize]) {
            return;
        }
        self.shared.journal.log(Event::PlatformBack, &[("kind", &format!("{kind:?}"))]);
        if *self.is_unreachable.borrow() == [false; FeedKind::COUNT] {
            self.shared.send_input(Input::StoreReachable);
        }
        if kind == FeedKind::Catalog {
            self.store_recoveries.send_modify(|n| *n += 1);
        }
    }
}
