//! Keeps the beliefs of a host at the store's state: a list of each kind, then changes from there. A
//! few hosts watch the store for them; the others get them host to host (`feed`). A list follows later
//! only where the store has forgotten the changes.
//!
//! A few hosts also prove that the configuration is the newest, by short reads; the others are told.
//! A host whose proof grows old all the same reads for itself, and notices there that it has lost the
//! store; once the store answers again, all kinds go on from the last change they know.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::traffic::control::{Duties, Input};
use tidetrack_core::traffic::feeds::{Catch, Revisions, Source, LARGE_REPLY};
use tidetrack_core::units::Millis;

use crate::call::{needless, Gate, OneAtATime};
use crate::dialect::{Age, Change, Changes, Kind, Stored};
use crate::feed::{self, Chunk, FeedLog, ListChunk};
use crate::pool::Pool;
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

/// Longest pause after failed calls of a host that others rely on.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// The same for all other hosts: they hear from those that the store is back.
const LONGEST_PAUSE_OF_MANY: Duration = Duration::from_secs(2);

/// Time from the start in which hosts of a large fleet have met, so that few of them begin to watch.
const MEETING_TIME: Duration = Duration::from_millis(1_500);

/// Time for the body of a reply from which it has a line of its own, like a large one: the store is in
/// the same region.
const SLOW_REPLY: Duration = Duration::from_millis(300);

/// Where a reply with changes came from, in logs and metrics.
const FROM_STORE: &str = "store";
const FROM_HOST: &str = "host";

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
    large: [OneAtATime; 3],
    /// By kind, whether a try waits until no large reply is coming in.
    is_waiting: RefCell<[bool; 3]>,
    /// Counts the returns of the store, for the other kinds to start again.
    returns: watch::Sender<u64>,
    duties: watch::Receiver<Duties>,
    /// By kind, whether the store did not answer the last read.
    is_lost: RefCell<[bool; 3]>,
    started: Instant,
}

impl Watches {
    /// Starts the watches of all kinds on the present thread.
    pub fn start(
        shared: SharedRef,
        store: Rc<Store>,
        duties: watch::Receiver<Duties>,
    ) -> Rc<Watches> {
        let (returns, _) = watch::channel(0);
        let watches = Rc::new(Watches {
            shared: shared.clone(),
            store,
            hosts: Pool::default(),
            logs: RefCell::new(Kind::ALL.map(FeedLog::of)),
            newest: RefCell::default(),
            large: Default::default(),
            is_waiting: RefCell::default(),
            returns,
            duties,
            is_lost: RefCell::default(),
            started: Instant::now(),
        });
        tokio::task::spawn_local(watches.clone().keep_proof());
        for kind in Kind::ALL {
            tokio::task::spawn_local(watches.clone().keep(kind));
        }
        let told = watches.clone();
        let told = move |kind, after| told.log(kind, |log| log.after(after));
        let address = shared.settings.peer_address;
        tokio::task::spawn_local(feed::serve(shared, address, told));
        let swept = watches.clone();
        tokio::task::spawn_local(async move { swept.hosts.keep_swept(|_| true).await });
        watches
    }

    fn log<T>(&self, kind: Kind, f: impl FnOnce(&mut FeedLog) -> T) -> T {
        f(&mut self.logs.borrow_mut()[kind as usize])
    }

    fn position(&self, kind: Kind) -> u64 {
        self.log(kind, |log| log.position())
    }

    /// Gets the revision of the newest known change of a kind.
    fn newest(&self, kind: Kind) -> u64 {
        self.newest.borrow().get(kind)
    }

    /// Lets a large reply in that was asked for after a revision, unless the next changes came otherwise
    /// while it waited; a list is always needed.
    fn gate(&self, kind: Kind, after: Option<u64>) -> Gate<'_> {
        Gate {
            turns: &self.large[kind as usize],
            is_needless: Box::new(move || after.is_some_and(|after| self.newest(kind) > after)),
            is_coming: Box::new(move || self.shared.tell(Input::Coming(kind))),
        }
    }

    /// Gets changes that another host told of.
    pub async fn catch(self: Rc<Self>, catch: Catch) {
        let (kind, after) = (catch.kind, catch.after);
        // What is coming in already may bring it, to one that waits as to several.
        if std::mem::replace(&mut self.is_waiting.borrow_mut()[kind as usize], true) {
            return;
        }
        self.large[kind as usize].is_free().await;
        self.is_waiting.borrow_mut()[kind as usize] = false;
        let result = match catch.source {
            _ if self.newest(kind) > after => Err(needless()),
            Source::Host(address) => self.ask_host(kind, after, address).await,
            // Of several versions only the newest is wanted.
            Source::Store if kind.is_one_object() => self.read_all(kind, Some(after)).await,
            Source::Store => self.read_store(kind, after).await,
        };
        // A slow reply that was given up for another one brought nothing: the next try is elsewhere.
        let is_known = self.newest(kind) > after;
        self.shared.metrics.feed_call(match (&result, catch.source) {
            (Err(e), _) if e.code == Code::ReplyNotNeeded && is_known => "known",
            (Ok(()), Source::Host(_)) => "host",
            (Err(_), Source::Host(_)) => "host_failed",
            (Ok(()), Source::Store) => "store",
            (Err(_), Source::Store) => "store_failed",
        });
        if let Err(e) = result.or_else(|e| if is_known { unless_needless(e) } else { Err(e) }) {
            let source = match catch.source {
                Source::Host(address) => address.to_string(),
                Source::Store => "store".into(),
            };
            let kind_name = format!("{kind:?}");
            self.shared.journal.routine(
                Event::ChangesNotGot,
                &[("kind", &kind_name), ("after", &after), ("source", &source), ("why", &e)],
            );
            self.shared.tell(Input::CatchFailed(catch));
        }
    }

    /// Reads the changes after a revision from the store, or the whole kind if they are forgotten.
    async fn read_store(&self, kind: Kind, after: u64) -> Result<()> {
        match self.read_changes(kind, after, Millis(0)).await {
            Err(e) if e.code == Code::HistoryGone => {
                self.shared.journal.line(Event::HistoryGone, &[("kind", &format!("{kind:?}"))]);
                self.read_all(kind, None).await
            }
            result => result,
        }
    }

    async fn ask_host(&self, kind: Kind, after: u64, address: SocketAddr) -> Result<()> {
        let gate = self.gate(kind, Some(after));
        let (told, reply) = feed::ask(&self.hosts, address, kind, after, &gate).await?;
        let before = self.newest(kind);
        if let Some(list) = told.list {
            let (mut objects, mut newest) = (Vec::new(), 0);
            for page in &list.pages {
                let page = (self.shared.dialect.store.read_page)(kind, page)?;
                self.store.note_unreadable(&page.unreadable);
                newest = page.newest.max(newest);
                objects.extend(page.objects);
            }
            self.take_list(kind, objects, list, newest);
        }
        for chunk in told.chunks {
            let changes = (self.shared.dialect.store.read_changes)(kind, &chunk.bytes)?;
            self.take(kind, changes, chunk);
        }
        let is_new = self.newest(kind) > before;
        self.note_reply(kind, FROM_HOST, reply.body.len(), reply.body_time, is_new);
        self.log(kind, |log| log.advance(told.complete));
        self.caught_up(kind, None);
        Ok(())
    }

    /// Counts a reply with changes, and logs it if it was large or slow.
    fn note_reply(
        &self,
        kind: Kind,
        source: &'static str,
        bytes: usize,
        body_time: Duration,
        is_new: bool,
    ) {
        self.shared.metrics.feed_bytes(kind.as_str(), source, is_new, bytes);
        if bytes < LARGE_REPLY && body_time < SLOW_REPLY {
            return;
        }
        let ms = body_time.as_millis();
        self.shared.journal.line(
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
    fn take(&self, kind: Kind, changes: Changes, chunk: Chunk) {
        let newest = changes.newest.unwrap_or(chunk.to);
        // A reply may be of a later state than what is known, and yet hold known changes only.
        if newest <= self.position(kind) || !self.log(kind, |log| log.push(chunk)) {
            return;
        }
        self.newest.borrow_mut().raise(kind, newest);
        // Of several states of one object the last one counts; the others must not be in force, not even
        // for a moment.
        let last = changes.changes.len().saturating_sub(1);
        let skipped = if kind.is_one_object() { last } else { 0 };
        for change in changes.changes.into_iter().skip(skipped) {
            match change {
                Change::Put(Stored::Catalog(c)) => self.shared.tell(Input::Catalog(Arc::new(c))),
                Change::Put(Stored::Endpoint(r)) => self.shared.tell(Input::Endpoint(r)),
                Change::Put(Stored::Rollout(o)) => self.shared.tell(Input::Rollout(o)),
                Change::EndpointGone(id) => self.shared.tell(Input::EndpointGone(id)),
                Change::RolloutGone(service) => self.shared.tell(Input::RolloutGone(service)),
                Change::Unreadable(e) => self.store.note_unreadable(&[e]),
            }
        }
        self.caught_up(kind, changes.newest);
    }

    fn caught_up(&self, kind: Kind, changed: Option<u64>) {
        let complete = self.position(kind);
        self.shared.tell(Input::CaughtUp { kind, complete, changed });
    }

    /// Keeps one kind for as long as the process runs.
    async fn keep(self: Rc<Self>, kind: Kind) {
        let mut returns = self.returns.subscribe();
        let mut pause = FIRST_PAUSE;
        loop {
            returns.mark_unchanged();
            let e = tokio::select! {
                e = self.follow(kind) => e,
                () = self.is_to_go_on(&mut returns), if kind != Kind::Catalog => continue,
            };
            if e.code == Code::ReplyNotNeeded {
                // The store answers; a list of it came too slowly beside another reply.
                tokio::time::sleep(jittered(FIRST_PAUSE)).await;
                continue;
            }
            if e.code == Code::HistoryGone {
                pause = FIRST_PAUSE;
                continue;
            }
            if self.lost(kind, &e) {
                pause = FIRST_PAUSE;
            }
            tokio::time::sleep(jittered(pause)).await;
            pause = (pause * 2).min(self.longest_pause(kind));
        }
    }

    /// Waits until the store is back, on a host that watches it; the others hear from those.
    async fn is_to_go_on(&self, returns: &mut watch::Receiver<u64>) {
        // Neither sender ends before the process.
        let _ = returns.changed().await;
        let _ = self.duties.clone().wait_for(|duties| duties.watches).await;
    }

    /// Gets the longest pause after failed calls: hosts that others rely on, or that know nothing yet,
    /// try more often.
    fn longest_pause(&self, kind: Kind) -> Duration {
        let duties = *self.duties.borrow();
        if duties.proves || duties.watches || self.position(kind) == 0 {
            LONGEST_PAUSE
        } else {
            LONGEST_PAUSE_OF_MANY
        }
    }

    /// Reads the configuration at short intervals if others rely on it, and otherwise when no proof has
    /// come from elsewhere for a while.
    async fn keep_proof(self: Rc<Self>) {
        let mut pause = FIRST_PAUSE;
        loop {
            tokio::time::sleep(PROOF_LOOK).await;
            let wanted = if self.duties.borrow().proves { PROVE_EVERY } else { PROOF_WANTED };
            let after = self.position(Kind::Catalog);
            let age = self.shared.fresh.age(self.shared.now());
            let Some(age) = age.filter(|_| after > 0) else { continue };
            // After a loss, a young proof of another host says that the store answers again.
            let is_back = self.is_lost(Kind::Catalog) && age < PROVE_EVERY;
            // A configuration that is coming in is not the newest until it has come, and neither is ours.
            let is_coming = self.large[Kind::Catalog as usize].is_taken();
            if (age < wanted && !is_back) || is_coming {
                continue;
            }
            match self.read_store(Kind::Catalog, after).await.or_else(unless_needless) {
                Ok(()) => {
                    pause = FIRST_PAUSE;
                    self.shared.tell(Input::StoreSeen(self.position(Kind::Catalog)));
                }
                Err(e) => {
                    self.lost(Kind::Catalog, &e);
                    tokio::time::sleep(jittered(pause)).await;
                    pause = (pause * 2).min(self.longest_pause(Kind::Catalog));
                }
            }
        }
    }

    fn is_lost(&self, kind: Kind) -> bool {
        self.is_lost.borrow()[kind as usize]
    }

    /// Takes note that a kind could not be read; tells whether that is news.
    fn lost(&self, kind: Kind, e: &Error) -> bool {
        let before = *self.is_lost.borrow();
        if before[kind as usize] {
            return false;
        }
        self.is_lost.borrow_mut()[kind as usize] = true;
        let kind_name = format!("{kind:?}");
        self.shared.journal.line(Event::PlatformLost, &[("kind", &kind_name), ("why", e)]);
        if before == [false; 3] {
            self.shared.tell(Input::StoreLost);
        }
        true
    }

    /// Takes note that a kind was read.
    fn back(&self, kind: Kind) {
        if !std::mem::take(&mut self.is_lost.borrow_mut()[kind as usize]) {
            return;
        }
        self.shared.journal.line(Event::PlatformBack, &[("kind", &format!("{kind:?}"))]);
        if *self.is_lost.borrow() == [false; 3] {
            self.shared.tell(Input::StoreBack);
        }
        if kind == Kind::Catalog {
            self.returns.send_modify(|n| *n += 1);
        }
    }

    /// Brings a kind to the store's state and follows its changes until a call fails.
    async fn follow(&self, kind: Kind) -> Error {
        let brought = match self.position(kind) {
            0 => self.read_all(kind, None).await,
            // A list would be hundreds of times as large, for this host and all that hear from it.
            after => self.read_store(kind, after).await.or_else(unless_needless),
        };
        if let Err(e) = brought {
            return e;
        }
        self.back(kind);
        let mut duties = self.duties.clone();
        tokio::time::sleep_until((self.started + self.first_watch_after()).into()).await;
        loop {
            if duties.wait_for(|duties| duties.watches).await.is_err() {
                return Error::new(Code::Internal, "the control thread ends");
            }
            let before = self.position(kind);
            if let Err(e) =
                self.read_changes(kind, before, WATCH_WAIT).await.or_else(unless_needless)
            {
                return e;
            }
            if self.position(kind) > before {
                tokio::time::sleep(settle_time(kind)).await;
            }
        }
    }

    /// Gets the time after the start in which a host that may have others leaves the watches to them.
    fn first_watch_after(&self) -> Duration {
        if self.shared.settings.seeds.is_empty() {
            Duration::ZERO
        } else {
            MEETING_TIME
        }
    }

    /// Lists a kind. The first list may be a little old, for the changes since follow; a later one is
    /// news to other hosts, for it may hold changes that were not told one by one. So may a first one of
    /// endpoints or roll-outs: changes made while all hosts that watch started anew are told by nobody
    /// else. Only the newest listed change is told of it, which all know otherwise, or each start would
    /// cost every host a list. `after` is the revision whose next change is wanted, where anything but
    /// that is not.
    async fn read_all(&self, kind: Kind, after: Option<u64>) -> Result<()> {
        let is_first = self.position(kind) == 0;
        let age = if is_first && kind != Kind::Catalog { Age::OfLate } else { Age::Newest };
        let newest_listed = loop {
            let listed = self.store.list(kind, age, &self.gate(kind, after)).await?;
            let (at, newest) = (listed.revision, listed.newest);
            let pages: Vec<Vec<u8>> = listed.pages.iter().map(|page| page.to_vec()).collect();
            let bytes = pages.iter().map(Vec::len).sum();
            let before = self.newest(kind);
            let list = ListChunk { at, pages };
            let is_taken = self.take_list(kind, listed.objects, list, newest);
            let is_new = is_taken && self.newest(kind) > before;
            self.note_reply(kind, FROM_STORE, bytes, listed.body_time, is_new);
            if kind == Kind::Catalog {
                self.catalog_read(listed.began);
            }
            // A list that is older than what is known has nothing new; of one object nothing is missing.
            if is_taken || kind.is_one_object() {
                break newest;
            }
        };
        if age == Age::OfLate {
            self.caught_up(kind, Some(newest_listed));
            let since = self.read_changes(kind, self.position(kind), Millis(0)).await;
            since.or_else(unless_needless)?;
        } else if !is_first {
            self.caught_up(kind, Some(self.newest(kind)));
        }
        Ok(())
    }

    /// Takes a whole list, unless newer changes are known already: these must not be undone. `newest` is
    /// the newest change of a listed object.
    fn take_list(&self, kind: Kind, objects: Vec<Stored>, list: ListChunk, newest: u64) -> bool {
        // What was removed is not listed, so a list is news up to the revision it was taken at. A kind
        // with one object is only news if that was changed: hosts told otherwise would each get another
        // copy of a configuration they know.
        let newest = if kind.is_one_object() { newest } else { list.at };
        if !self.log(kind, |log| log.listed(list)) {
            return false;
        }
        self.newest.borrow_mut().raise(kind, newest);
        let mut endpoints = Vec::new();
        let mut rollouts = Vec::new();
        for object in objects {
            match object {
                Stored::Catalog(catalog) => self.shared.tell(Input::Catalog(Arc::new(catalog))),
                Stored::Endpoint(record) => endpoints.push(record),
                Stored::Rollout(order) => rollouts.push(order),
            }
        }
        match kind {
            Kind::Catalog => {}
            Kind::Endpoints => self.shared.tell(Input::EndpointList(endpoints)),
            Kind::Rollouts => self.shared.tell(Input::RolloutList(rollouts)),
        }
        self.caught_up(kind, None);
        true
    }

    /// Takes note of a read of the configuration.
    fn catalog_read(&self, began: Millis) {
        // Not taken note of here: what was read may wait to be put in force, and a proof that holds
        // before that would be one of the configuration before.
        self.shared.tell(Input::Proved(began));
        self.back(Kind::Catalog);
    }

    /// Reads the changes of a kind after a revision; the store may wait for one.
    async fn read_changes(&self, kind: Kind, after: u64, wait: Millis) -> Result<()> {
        let dialect = &self.shared.dialect.store;
        let began = self.shared.now();
        let call = (dialect.watch)(kind, after, wait);
        let gate = self.gate(kind, Some(after));
        let reply = self.store.call(&call, Duration::from_millis(wait.0), Some(&gate)).await?;
        let changes = (dialect.read_changes)(kind, &reply.body)?;
        let to = changes.revision;
        // The store's revision rises with changes of other kinds too, so it does not tell.
        let is_new = changes.newest.is_some_and(|newest| newest > self.position(kind));
        if is_new {
            // Other hosts have no use for the states before the newest, each of which may be a megabyte.
            let is_cut = kind.is_one_object() && changes.changes.len() > 1;
            let bytes = match is_cut {
                true => (dialect.last_change)(&reply.body)?,
                false => reply.body.to_vec(),
            };
            self.take(kind, changes, Chunk { to, bytes });
        }
        self.note_reply(kind, FROM_STORE, reply.body.len(), reply.body_time, is_new);
        self.log(kind, |log| log.advance(to));
        self.caught_up(kind, None);
        if kind == Kind::Catalog {
            self.catalog_read(began);
        }
        Ok(())
    }
}

/// Takes a reply that was not needed any more for one that came.
fn unless_needless(e: Error) -> Result<()> {
    match e.code {
        Code::ReplyNotNeeded => Ok(()),
        _ => Err(e),
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
