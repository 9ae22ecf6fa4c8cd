//! Keeps the beliefs of a host at the store's state: a list of each kind, then changes from there. A
//! few hosts watch the store for them; the others get them host to host (`feed`). A list follows later
//! only where the store has forgotten the changes, and for the configuration, whose list is its newest state.
//!
//! A few hosts also prove that the configuration is the newest, by short reads; the others are reply.
//! A host whose proof grows old all the same reads for itself, and notices there that it has lost the
//! store; once the store answers again, all kinds go on from the last change they know.
//!
//! Here is what the jobs share: `follow` lists and watches the store, `proof` keeps a young proof of the
//! configuration, `fetch` gets what other hosts told of, `read` makes the calls to the store, and `intake`
//! applies what came and keeps it for others.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::watch;

use tidetrack_core::errors::Error;
use tidetrack_core::events::Event;
use tidetrack_core::traffic::control::{HostRoles, Input};
use tidetrack_core::traffic::feeds::Revisions;

use crate::call::{Gate, OneAtATime};
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

/// What the watches of a host share.
pub struct StoreSync {
    shared: SharedRef,
    store: Rc<StoreClient>,
    /// Connections to other hosts.
    host_pool: Pool,
    /// The newest changes, by kind.
    logs: RefCell<[FeedLog; 3]>,
    /// The newest known change, by kind.
    newest: RefCell<Revisions>,
    /// By kind, where large replies wait for each other.
    large_replies: [OneAtATime; 3],
    /// By kind, whether a try waits until no large reply is coming in.
    has_waiting_fetch: RefCell<[bool; 3]>,
    /// By kind, whether a host that starts lists it from the store.
    is_listing: RefCell<[bool; 3]>,
    /// Tells that a kind was brought to a state of the store.
    sync_events: watch::Sender<()>,
    /// Counts the returns of the store, for the other kinds to start again.
    store_recoveries: watch::Sender<u64>,
    roles: watch::Receiver<HostRoles>,
    /// By kind, whether the store did not answer the last read.
    is_unreachable: RefCell<[bool; 3]>,
    started_at: Instant,
}

impl StoreSync {
    /// Starts the watches of all kinds on the present thread.
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
            newest: RefCell::default(),
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
        let pool_owner = store_sync.clone();
        tokio::task::spawn_local(async move { pool_owner.host_pool.keep_swept(|_| true).await });
        store_sync
    }

    fn log<T>(&self, kind: FeedKind, f: impl FnOnce(&mut FeedLog) -> T) -> T {
        f(&mut self.logs.borrow_mut()[kind as usize])
    }

    /// Gets what brings another host from a revision to the newest one. With the configuration goes the proof of it,
    /// or a host that starts would have to ask for one next.
    fn changes_after(&self, kind: FeedKind, after: u64) -> Option<FeedReply> {
        let reply = self.log(kind, |log| log.changes_after(after))?;
        let age = self.shared.freshness.age(self.shared.now());
        Some(FeedReply { proof_age: age.filter(|_| kind == FeedKind::Catalog), ..reply })
    }

    fn position(&self, kind: FeedKind) -> u64 {
        self.log(kind, |log| log.position())
    }

    /// Gets the revision of the newest known change of a kind.
    fn newest(&self, kind: FeedKind) -> u64 {
        self.newest.borrow().get(kind)
    }

    /// Lets a large reply in that was asked for after a revision, unless the next changes came otherwise
    /// while it waited; a list is always needed.
    fn reply_gate(&self, kind: FeedKind, after: Option<u64>) -> Gate<'_> {
        Gate {
            turns: &self.large_replies[kind as usize],
            is_needless: Box::new(move || after.is_some_and(|after| self.newest(kind) > after)),
            is_coming: Box::new(move || self.shared.send_input(Input::ReplyStarted(kind))),
        }
    }

    fn is_unreachable(&self, kind: FeedKind) -> bool {
        self.is_unreachable.borrow()[kind as usize]
    }

    /// Takes note that a kind could not be read; tells whether that is news.
    fn record_failure(&self, kind: FeedKind, e: &Error) -> bool {
        let unreachable_before = *self.is_unreachable.borrow();
        if unreachable_before[kind as usize] {
            return false;
        }
        self.is_unreachable.borrow_mut()[kind as usize] = true;
        let kind_name = format!("{kind:?}");
        self.shared.journal.log(Event::PlatformLost, &[("kind", &kind_name), ("why", e)]);
        if unreachable_before == [false; 3] {
            self.shared.send_input(Input::StoreUnreachable);
        }
        true
    }

    /// Takes note that a kind was read.
    fn record_recovery(&self, kind: FeedKind) {
        if !std::mem::take(&mut self.is_unreachable.borrow_mut()[kind as usize]) {
            return;
        }
        self.shared.journal.log(Event::PlatformBack, &[("kind", &format!("{kind:?}"))]);
        if *self.is_unreachable.borrow() == [false; 3] {
            self.shared.send_input(Input::StoreReachable);
        }
        if kind == FeedKind::Catalog {
            self.store_recoveries.send_modify(|n| *n += 1);
        }
    }
}
