//! Keeps the beliefs of a host at the store's state: a list of each kind, then changes from there. A
//! few hosts watch the store for them; the others get them host to host (`feed`). A list follows later
//! only where the store has forgotten the changes, and for the configuration, whose list is its newest state.
//!
//! A few hosts also prove that the configuration is the newest, by short reads; the others are told.
//! A host whose proof grows old all the same reads for itself, and notices there that it has lost the
//! store; once the store answers again, all kinds go on from the last change they know.
//!
//! Here is what the jobs share: `follow` lists and watches the store, `proof` keeps a young proof of the
//! configuration, `catch` gets what other hosts told of, `read` makes the calls to the store, and `intake`
//! applies what came and keeps it for others.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::watch;

use tidetrack_core::errors::Error;
use tidetrack_core::events::Event;
use tidetrack_core::traffic::control::{HostRoles, Input};
use tidetrack_core::traffic::feeds::Revisions;

use crate::call::{LargeReplyControl, LargeReplyLimiter};
use crate::dialect::FeedKind;
use crate::feed::{self, FeedLog, Told};
use crate::pool::Pool;
use crate::shared::SharedRef;
use crate::store::Store;

mod catch;
mod follow;
mod intake;
mod proof;
mod read;

/// What the watches of a host share.
pub struct Watches {
    shared: SharedRef,
    store: Rc<Store>,
    /// Connections to other hosts.
    hosts: Pool,
    /// The newest changes, by kind.
    logs: RefCell<[FeedLog; 3]>,
    /// The newest known change, by kind.
    newest: RefCell<Revisions>,
    /// By kind, where large replies wait for each other.
    large: [LargeReplyLimiter; 3],
    /// By kind, whether a try waits until no large reply is coming in.
    is_waiting: RefCell<[bool; 3]>,
    /// By kind, whether a host that starts lists it from the store.
    is_listing: RefCell<[bool; 3]>,
    /// Tells that a kind was brought to a state of the store.
    brought: watch::Sender<()>,
    /// Counts the returns of the store, for the other kinds to start again.
    returns: watch::Sender<u64>,
    duties: watch::Receiver<HostRoles>,
    /// By kind, whether the store did not answer the last read.
    is_lost: RefCell<[bool; 3]>,
    started: Instant,
}

impl Watches {
    /// Starts the watches of all kinds on the present thread.
    pub fn start(
        shared: SharedRef,
        store: Rc<Store>,
        duties: watch::Receiver<HostRoles>,
    ) -> Rc<Watches> {
        let (returns, _) = watch::channel(0);
        let (brought, _) = watch::channel(());
        let watches = Rc::new(Watches {
            shared: shared.clone(),
            store,
            hosts: Pool::default(),
            logs: RefCell::new(FeedKind::ALL.map(FeedLog::of)),
            newest: RefCell::default(),
            large: Default::default(),
            is_waiting: RefCell::default(),
            is_listing: RefCell::default(),
            brought,
            returns,
            duties,
            is_lost: RefCell::default(),
            started: Instant::now(),
        });
        tokio::task::spawn_local(watches.clone().keep_proof());
        for kind in FeedKind::ALL {
            tokio::task::spawn_local(watches.clone().keep(kind));
        }
        let told = watches.clone();
        let told = move |kind, after| told.told(kind, after);
        let address = shared.settings.peer_address;
        tokio::task::spawn_local(feed::serve(shared, address, told));
        let swept = watches.clone();
        tokio::task::spawn_local(async move { swept.hosts.run_expiry(|_| true).await });
        watches
    }

    fn log<T>(&self, kind: FeedKind, f: impl FnOnce(&mut FeedLog) -> T) -> T {
        f(&mut self.logs.borrow_mut()[kind as usize])
    }

    /// Gets what brings another host from a revision to the newest one. With the configuration goes the proof of it,
    /// or a host that starts would have to ask for one next.
    fn told(&self, kind: FeedKind, after: u64) -> Option<Told> {
        let told = self.log(kind, |log| log.after(after))?;
        let age = self.shared.fresh.age(self.shared.now());
        Some(Told { proof_age: age.filter(|_| kind == FeedKind::Catalog), ..told })
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
    fn gate(&self, kind: FeedKind, after: Option<u64>) -> LargeReplyControl<'_> {
        LargeReplyControl {
            limiter: &self.large[kind as usize],
            is_obsolete: Box::new(move || after.is_some_and(|after| self.newest(kind) > after)),
            on_progress: Box::new(move || self.shared.tell(Input::ReplyStarted(kind))),
        }
    }

    fn is_lost(&self, kind: FeedKind) -> bool {
        self.is_lost.borrow()[kind as usize]
    }

    /// Takes note that a kind could not be read; tells whether that is news.
    fn lost(&self, kind: FeedKind, e: &Error) -> bool {
        let before = *self.is_lost.borrow();
        if before[kind as usize] {
            return false;
        }
        self.is_lost.borrow_mut()[kind as usize] = true;
        let kind_name = format!("{kind:?}");
        self.shared.journal.line(Event::PlatformLost, &[("kind", &kind_name), ("why", e)]);
        if before == [false; 3] {
            self.shared.tell(Input::StoreUnreachable);
        }
        true
    }

    /// Takes note that a kind was read.
    fn back(&self, kind: FeedKind) {
        if !std::mem::take(&mut self.is_lost.borrow_mut()[kind as usize]) {
            return;
        }
        self.shared.journal.line(Event::PlatformBack, &[("kind", &format!("{kind:?}"))]);
        if *self.is_lost.borrow() == [false; 3] {
            self.shared.tell(Input::StoreReachable);
        }
        if kind == FeedKind::Catalog {
            self.returns.send_modify(|n| *n += 1);
        }
    }
}
