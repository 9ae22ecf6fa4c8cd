//! Keeps the beliefs of a host at the store's state: a list of each kind, then a watch from there.
//!
//! The configuration's watch also proves freshness: each of its replies, and each list, was the
//! store's newest state at some moment after the call began. Losing the store is noticed there, for
//! its waits are short; the other kinds then start again from a list.

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

/// How long the store holds the configuration's watch of a host that proves it for others too. A
/// proof is at most about twice as old, which leaves room within the usual bound of 5 s on
/// revocation.
const PROVING_WAIT: Millis = Millis(1_300);

/// Age of the proof at which a host that relies on others' proofs reads the configuration itself.
const PROOF_WANTED: Millis = Millis(2_200);

/// Pause between looks at the proof's age.
const PROOF_LOOK: Duration = Duration::from_millis(200);

/// How long the store holds the other watches. A dead connection is noticed by its probes.
const OTHER_WAIT: Millis = Millis(20_000);

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
}

impl Watches {
    /// Starts the watches of all kinds on the present thread.
    pub fn start(shared: SharedRef, store: Rc<Store>, proves: watch::Receiver<bool>) {
        let (returns, _) = watch::channel(0);
        let watches = Rc::new(Watches { shared, store, returns, proves });
        tokio::task::spawn_local(watches.clone().keep_proof());
        for kind in [Kind::Catalog, Kind::Endpoints, Kind::Rollouts] {
            tokio::task::spawn_local(watches.clone().keep(kind));
        }
    }

    /// Keeps one kind for as long as the process runs.
    async fn keep(self: Rc<Self>, kind: Kind) {
        let mut returns = self.returns.subscribe();
        let mut pause = FIRST_PAUSE;
        let mut is_lost = false;
        loop {
            returns.mark_unchanged();
            let e = tokio::select! {
                e = self.follow(kind, &mut is_lost) => e,
                _ = returns.changed(), if kind != Kind::Catalog => continue,
            };
            if e.code == Code::HistoryGone {
                self.shared.journal.line(Event::HistoryGone, &[("kind", &format!("{kind:?}"))]);
                pause = FIRST_PAUSE;
                continue;
            }
            if !is_lost {
                is_lost = true;
                pause = FIRST_PAUSE;
                self.lost(kind, &e);
            }
            tokio::time::sleep(jittered(pause)).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Reads the configuration when no proof has come from elsewhere for a while. A failed read is
    /// not made again at once: the watch notices that the store is lost, and returns.
    async fn keep_proof(self: Rc<Self>) {
        loop {
            tokio::time::sleep(PROOF_LOOK).await;
            let age = self.shared.fresh.age(self.shared.now());
            let is_wanted = age.is_some_and(|age| age >= PROOF_WANTED) && !*self.proves.borrow();
            if is_wanted && self.read_all(Kind::Catalog).await.is_err() {
                tokio::time::sleep(LONGEST_PAUSE).await;
            }
        }
    }

    fn lost(&self, kind: Kind, e: &Error) {
        let kind_name = format!("{kind:?}");
        self.shared.journal.line(Event::PlatformLost, &[("kind", &kind_name), ("why", e)]);
        if kind == Kind::Catalog {
            self.shared.tell(Input::StoreLost);
        }
    }

    fn back(&self, kind: Kind) {
        self.shared.journal.line(Event::PlatformBack, &[("kind", &format!("{kind:?}"))]);
        if kind == Kind::Catalog {
            self.shared.tell(Input::StoreBack);
            self.returns.send_modify(|n| *n += 1);
        }
    }

    /// Lists a kind and follows its changes until a call fails.
    async fn follow(&self, kind: Kind, is_lost: &mut bool) -> Error {
        let mut revision = match self.read_all(kind).await {
            Ok(revision) => revision,
            Err(e) => return e,
        };
        if std::mem::take(is_lost) {
            self.back(kind);
        }
        loop {
            match self.read_changes(kind, revision).await {
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
            Kind::Catalog => self.shared.fresh.proved(listed.began),
            Kind::Endpoints => self.shared.tell(Input::EndpointList(endpoints)),
            Kind::Rollouts => self.shared.tell(Input::RolloutList(rollouts)),
        }
        Ok(listed.revision)
    }

    async fn read_changes(&self, kind: Kind, after: u64) -> Result<u64> {
        let proves = kind == Kind::Catalog && *self.proves.borrow();
        let wait = if proves { PROVING_WAIT } else { OTHER_WAIT };
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
            self.shared.fresh.proved(began);
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
