//! Keeps the beliefs of a host at the store's state: a list of each kind, then a watch from there.
//!
//! A few hosts also prove that the configuration is the newest, by short reads; the others are told.
//! A host whose proof grows old all the same reads for itself, and notices there that it has lost the
//! store; once the store answers again, all kinds start again from a list.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::units::Millis;

use crate::dialect::{Change, Kind, Stored};
use crate::shared::SharedRef;
use crate::store::Store;

/// Age of its proof at which a host that proves the configuration for others reads it. With the time
/// until others ask for it, a proof stays within half of the usual bound of 5 s on revocation.
const PROVE_EVERY: Millis = Millis(1_500);

/// Age of the proof at which a host that relies on others' proofs reads the configuration itself.
const PROOF_WANTED: Millis = Millis(2_500);

/// Pause between looks at the proof's age.
const PROOF_LOOK: Duration = Duration::from_millis(200);

/// How long the store holds a watch. A dead connection is noticed by its probes.
const WATCH_WAIT: Millis = Millis(20_000);

/// Pause after a change of the endpoints, in which others gather for one reply: endpoints start and
/// leave in groups, and an entry counts within two seconds.
const ENDPOINTS_SETTLE: Duration = Duration::from_millis(600);

/// First pause after a failed call; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// What the watches of a host share.
pub struct Watches {
    shared: SharedRef,
    store: Rc<Store>,
    /// Counts the returns of the store, for the other kinds to start again.
    returns: watch::Sender<u64>,
    /// Whether this host proves the configuration at short intervals.
    proves: watch::Receiver<bool>,
    /// Whether the store did not answer the last read of the configuration.
    is_lost: Cell<bool>,
    /// Revision up to which the configuration was read; 0 if it was not.
    catalog_at: Cell<u64>,
}

impl Watches {
    /// Starts the watches of all kinds on the present thread.
    pub fn start(shared: SharedRef, store: Rc<Store>, proves: watch::Receiver<bool>) {
        let (returns, _) = watch::channel(0);
        let (is_lost, catalog_at) = (Cell::new(false), Cell::new(0));
        let watches = Rc::new(Watches { shared, store, returns, proves, is_lost, catalog_at });
        tokio::task::spawn_local(watches.clone().keep_proof());
        for kind in [Kind::Catalog, Kind::Endpoints, Kind::Rollouts] {
            tokio::task::spawn_local(watches.clone().keep(kind));
        }
    }

    /// Keeps one kind for as long as the process runs.
    async fn keep(self: Rc<Self>, kind: Kind) {
        let mut returns = self.returns.subscribe();
        let mut pause = FIRST_PAUSE;
        let mut is_logged = false;
        loop {
            returns.mark_unchanged();
            let e = tokio::select! {
                e = self.follow(kind, &mut is_logged) => e,
                _ = returns.changed(), if kind != Kind::Catalog => continue,
            };
            if e.code == Code::HistoryGone {
                self.shared.journal.line(Event::HistoryGone, &[("kind", &format!("{kind:?}"))]);
                pause = FIRST_PAUSE;
                continue;
            }
            if kind == Kind::Catalog {
                self.lost(&e);
            } else if !is_logged {
                self.log_lost(kind, &e);
            }
            if !std::mem::replace(&mut is_logged, true) {
                pause = FIRST_PAUSE;
            }
            tokio::time::sleep(jittered(pause)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Reads the configuration at short intervals if others rely on it, and otherwise when no proof has
    /// come from elsewhere for a while.
    async fn keep_proof(self: Rc<Self>) {
        let mut pause = FIRST_PAUSE;
        loop {
            tokio::time::sleep(PROOF_LOOK).await;
            let age = self.shared.fresh.age(self.shared.now());
            let wanted = if *self.proves.borrow() { PROVE_EVERY } else { PROOF_WANTED };
            let after = self.catalog_at.get();
            if after == 0 || age.is_none_or(|age| age < wanted) {
                continue;
            }
            match self.read_changes(Kind::Catalog, after, Millis(0)).await {
                Ok(_) => {
                    pause = FIRST_PAUSE;
                    self.back();
                }
                // The watch meets the same, and lists.
                Err(e) if e.code == Code::HistoryGone => {}
                Err(e) => {
                    self.lost(&e);
                    tokio::time::sleep(jittered(pause)).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    fn log_lost(&self, kind: Kind, e: &Error) {
        let kind = format!("{kind:?}");
        self.shared.journal.line(Event::PlatformLost, &[("kind", &kind), ("why", e)]);
    }

    /// Takes note that the configuration could not be read.
    fn lost(&self, e: &Error) {
        if !self.is_lost.replace(true) {
            self.log_lost(Kind::Catalog, e);
            self.shared.tell(Input::StoreLost);
        }
    }

    /// Takes note that the configuration was read.
    fn back(&self) {
        if self.is_lost.replace(false) {
            self.shared.journal.line(Event::PlatformBack, &[]);
            self.shared.tell(Input::StoreBack);
            self.returns.send_modify(|n| *n += 1);
        }
    }

    /// Lists a kind and follows its changes until a call fails.
    async fn follow(&self, kind: Kind, is_logged: &mut bool) -> Error {
        let mut revision = match self.read_all(kind).await {
            Ok(revision) => revision,
            Err(e) => return e,
        };
        *is_logged = false;
        loop {
            match self.read_changes(kind, revision, WATCH_WAIT).await {
                Ok(next) if next > revision => {
                    revision = next;
                    tokio::time::sleep(settle_time(kind)).await;
                }
                Ok(_) => {}
                Err(e) => return e,
            }
        }
    }

    async fn read_all(&self, kind: Kind) -> Result<u64> {
        let listed = self.store.list(kind).await?;
        let mut endpoints = Vec::new();
        let mut rollouts = Vec::new();
        for object in listed.objects {
            match object {
                Stored::Catalog(catalog) => self.shared.tell(Input::Catalog(Arc::new(catalog))),
                Stored::Endpoint(record) => endpoints.push(record),
                Stored::Rollout(order) => rollouts.push(order),
            }
        }
        match kind {
            Kind::Catalog => self.catalog_read(listed.began, listed.revision),
            Kind::Endpoints => self.shared.tell(Input::EndpointList(endpoints)),
            Kind::Rollouts => self.shared.tell(Input::RolloutList(rollouts)),
        }
        Ok(listed.revision)
    }

    /// Takes note of a read of the configuration.
    fn catalog_read(&self, began: Millis, revision: u64) {
        self.shared.fresh.proved(began);
        self.catalog_at.set(self.catalog_at.get().max(revision));
        self.back();
    }

    /// Reads the changes of a kind after a revision; the store may wait for one.
    async fn read_changes(&self, kind: Kind, after: u64, wait: Millis) -> Result<u64> {
        let dialect = &self.shared.dialect.store;
        let began = self.shared.now();
        let call = (dialect.watch)(kind, after, wait);
        let bytes = self.store.call(&call, Duration::from_millis(wait.0)).await?;
        let changes = (dialect.read_changes)(kind, &bytes)?;
        for change in changes.changes {
            match change {
                Change::Put(Stored::Catalog(c)) => self.shared.tell(Input::Catalog(Arc::new(c))),
                Change::Put(Stored::Endpoint(r)) => self.shared.tell(Input::Endpoint(r)),
                Change::Put(Stored::Rollout(o)) => self.shared.tell(Input::Rollout(o)),
                Change::EndpointGone(id) => self.shared.tell(Input::EndpointGone(id)),
                Change::RolloutGone(service) => self.shared.tell(Input::RolloutGone(service)),
                Change::Unreadable(e) => self.store.note_unreadable(&[e]),
            }
        }
        if kind == Kind::Catalog {
            self.catalog_read(began, changes.revision);
        }
        Ok(changes.revision.max(after))
    }
}

/// Gets how long changes gather before the next watch begins.
fn settle_time(kind: Kind) -> Duration {
    match kind {
        Kind::Endpoints => ENDPOINTS_SETTLE,
        Kind::Catalog | Kind::Rollouts => Duration::ZERO,
    }
}

/// Draws a pause around `pause`, so that hosts do not come back in step.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + rand::random::<f64>())
}
