//! What this host knows of the store's changes, and where it gets what it lacks.
//!
//! A few hosts of each failure domain watch the store; the others hear from them, and from each
//! other, up to which change somebody knows each kind. A host that hears of a change it lacks gets it
//! from the host that told it. Where that fails, or takes too long, it reads the store itself, so a
//! host depends on no single other one. A host that starts lacks everything, and gets it the same way.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::units::{Bandwidth, Millis};

/// How long a change is left to hosts of the own failure domain to be told, before it is got from
/// another one: bytes between failure domains cost.
const REMOTE_DOMAIN_DELAY: Millis = Millis(200);

/// How long after the first word of a change the store is read for it.
const STORE_READ_DELAY: Millis = Millis(700);

/// How long after a read of the configuration told of a later revision of the store the endpoints are read
/// up to there. Mostly those that watch bring the change before: they let changes gather for 0.6 s, at
/// different times, and it goes round in 0.3 s. The configuration is read every 1.5 s at the latest, and
/// the users' bound on requests at endpoints that leave is 3 s.
const REQUIRED_REVISION_DELAY: Millis = Millis(400);

/// How much longer a host that does not watch the store leaves a read up to a revision to those that do, which it
/// asks then.
const WATCHER_READ_ALLOWANCE: Millis = Millis(500);

/// Pause between looks for a host that knows what is wanted: a try has failed by then, or brought too little.
const QUERY_INTERVAL: Millis = Millis(400);

/// Pause after a failed read of the store, beside the time of a try.
const STORE_RETRY_DELAY: Millis = Millis(600);

/// Time after which a try counts as failed if nothing is coming in. A large reply takes longer than that
/// on a narrow link, and a second one beside it only makes both slower.
const FETCH_TIMEOUT: Millis = Millis(400);

/// A kind of objects that hosts follow in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FeedKind {
    /// The configuration.
    Catalog,
    /// The endpoints.
    Endpoints,
    /// The roll-outs.
    Rollouts,
}

impl FeedKind {
    /// All kinds.
    pub const ALL: [FeedKind; 3] = [FeedKind::Catalog, FeedKind::Endpoints, FeedKind::Rollouts];

    /// Tells whether the kind has a single object, so that its newest state is all there is to know.
    pub fn is_single_object(self) -> bool {
        self == FeedKind::Catalog
    }

    /// Gets the word for it in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FeedKind::Catalog => "Catalog",
            FeedKind::Endpoints => "Endpoints",
            FeedKind::Rollouts => "Rollouts",
        }
    }
}

/// A revision of the store for each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions([u64; 3]);

impl Revisions {
    /// Gets a kind's revision.
    pub fn get(&self, kind: FeedKind) -> u64 {
        self.0[kind as usize]
    }

    /// Raises a kind's revision; it never falls.
    pub fn raise(&mut self, kind: FeedKind, to: u64) {
        let at = &mut self.0[kind as usize];
        *at = (*at).max(to);
    }
}

/// Time in which a host's link passes what it gives to other hosts at once. Twelve hosts that ask a host
/// with a link of 10 Mbit/s for 1 MB each would wait ten seconds and hold its callers' answers up; the
/// store gives it to them in a tenth of one.
const LARGE_REPLY_TIME_BUDGET: Millis = Millis(300);

/// Size from which a reply with changes counts as large, in bytes: at 10 Mbit/s it takes 50 ms. News of
/// endpoints, a few hundred bytes each, is smaller and does not wait for a configuration.
pub const LARGE_REPLY_BYTES: usize = 64 << 10;

/// What a host gives to others at present.
#[derive(Clone, Debug)]
pub struct ReplyLimiter {
    max_bytes: u64,
    /// Sizes of the large replies under way.
    active_sizes: Vec<u64>,
}

impl ReplyLimiter {
    /// Makes the state of a host that gives nothing yet.
    pub fn new(link: Bandwidth) -> ReplyLimiter {
        ReplyLimiter { max_bytes: link.bytes_in(LARGE_REPLY_TIME_BUDGET), active_sizes: Vec::new() }
    }

    /// Begins a reply; `false` if the link has enough to do with others. One large reply may always go out.
    pub fn try_begin(&mut self, bytes: u64) -> bool {
        if bytes <= LARGE_REPLY_BYTES as u64 {
            return true;
        }
        let others: u64 = self.active_sizes.iter().sum();
        let can_begin = others == 0 || others + bytes <= self.max_bytes;
        if can_begin {
            self.active_sizes.push(bytes);
        }
        can_begin
    }

    /// Takes note that a reply is out, or given up.
    pub fn end(&mut self, bytes: u64) {
        if let Some(at) = self.active_sizes.iter().position(|size| *size == bytes) {
            self.active_sizes.swap_remove(at);
        }
    }
}

/// Where changes are got from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchSource {
    /// Another host.
    Host(SocketAddr),
    /// The store.
    Store,
}

/// Changes that are to be got now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Of this kind.
    pub kind: FeedKind,
    /// After this revision.
    pub after: u64,
    /// From there.
    pub source: FetchSource,
}

/// A change that somebody told of and this host lacks.
#[derive(Clone, Copy, Debug)]
struct MissingRevision {
    /// When another host first told of it; `None` if only the store did.
    reported_at: Option<Millis>,
    /// When the store is read for it.
    store_read_at: Millis,
    reported_revision: u64,
    /// The revision up to which it is wanted, whoever tells of changes.
    required_revision: u64,
    last_attempt_at: Option<Millis>,
    /// Whether that was at the store.
    was_store_tried_last: bool,
    /// Whether hosts could not give it.
    has_host_failed: bool,
    /// When a host that may know it is asked next, before the store is.
    next_query_at: Option<Millis>,
}

impl MissingRevision {
    fn new(reported_revision: u64, store_read_at: Millis) -> MissingRevision {
        MissingRevision {
            reported_at: None,
            store_read_at,
            reported_revision,
            required_revision: 0,
            last_attempt_at: None,
            was_store_tried_last: false,
            has_host_failed: false,
            next_query_at: None,
        }
    }
}

/// How far this host follows each kind.
#[derive(Clone, Debug, Default)]
pub struct FeedTracker {
    /// Every change up to here is known; 0 if the kind was never listed.
    complete: Revisions,
    /// The newest change that is known; this is what other hosts are told.
    newest_changes: Revisions,
    missing_revisions: [Option<MissingRevision>; 3],
}

impl FeedTracker {
    /// Lacks all kinds from now on, and reads the store for them at `store_read_at` unless hosts gave them before.
    pub fn start_bootstrap(&mut self, store_read_at: Millis) {
        self.missing_revisions =
            FeedKind::ALL.map(|_| Some(MissingRevision::new(1, store_read_at)));
    }

    /// Gets the newest known changes.
    pub fn newest_changes(&self) -> Revisions {
        self.newest_changes
    }

    /// Takes note that every change up to `complete` is known, the newest of them `changed`; tells
    /// whether that is news for other hosts.
    pub fn record_complete(
        &mut self,
        now: Millis,
        kind: FeedKind,
        complete: u64,
        changed: Option<u64>,
    ) -> bool {
        let has_advanced = complete > self.complete.get(kind);
        self.complete.raise(kind, complete);
        let previous = self.newest_changes.get(kind);
        self.newest_changes.raise(kind, changed.unwrap_or(0));
        let complete = self.complete.get(kind);
        let missing = &mut self.missing_revisions[kind as usize];
        *missing = missing.filter(|l| l.reported_revision > complete);
        // While changes come one after another some are always lacked, but others give them: what is lacked now was
        // told of later than what just came.
        if let Some(missing) =
            missing.as_mut().filter(|l| has_advanced && l.required_revision <= complete)
        {
            if missing.reported_at.is_some() {
                missing.reported_at = Some(now);
                missing.store_read_at = missing.store_read_at.max(now + STORE_READ_DELAY);
            }
        }
        self.newest_changes.get(kind) > previous
    }

    /// Takes note that a reply with changes of a kind is coming in: what is lacked may be in it.
    pub fn record_incoming(&mut self, now: Millis, kind: FeedKind) {
        if let Some(missing) = &mut self.missing_revisions[kind as usize] {
            missing.last_attempt_at = Some(now);
        }
    }

    /// Takes note that a try failed: the store is next, at once after a host, and after a pause if it
    /// was the store that failed.
    pub fn record_failure(&mut self, now: Millis, fetch: &Fetch) {
        if let Some(missing) = &mut self.missing_revisions[fetch.kind as usize] {
            missing.last_attempt_at =
                (fetch.source == FetchSource::Store).then_some(now + STORE_RETRY_DELAY);
            // While many hosts start, one that has enough to do with others declines.
            missing.has_host_failed = fetch.after > 0;
        }
    }

    /// Takes note that the store was at a revision when the configuration was read there. Those that watch
    /// for this host may be away from the store and not know it, so a revision beyond the known ones is
    /// word of a change of the endpoints, unless it is accounted for soon. It may be one of another kind;
    /// the read is short then. A host that relies on others' proofs and had to read has not heard them, so
    /// it does not wait for their news either.
    pub fn record_store_revision(&mut self, now: Millis, revision: u64, is_prover: bool) {
        let store_read_at = if is_prover { now + REQUIRED_REVISION_DELAY } else { now };
        self.add_requirement(FeedKind::Endpoints, revision, store_read_at);
    }

    /// Takes note that a kind has to be known up to a revision: it is read unless others bring it soon. One read
    /// by those that watch for others is enough for all, so a host that does not, `stagger_delay` being given, asks hosts for
    /// it, and the store once its turn has come.
    pub fn request_revision(
        &mut self,
        now: Millis,
        kind: FeedKind,
        revision: u64,
        stagger_delay: Option<Millis>,
    ) {
        let next_query_at = now + REQUIRED_REVISION_DELAY + WATCHER_READ_ALLOWANCE;
        let was_not_missing = self.missing_revisions[kind as usize].is_none();
        self.add_requirement(
            kind,
            revision,
            stagger_delay.map_or(now + REQUIRED_REVISION_DELAY, |stagger_delay| {
                next_query_at + stagger_delay
            }),
        );
        if let Some(missing) =
            self.missing_revisions[kind as usize].as_mut().filter(|_| was_not_missing)
        {
            missing.next_query_at = stagger_delay.map(|_| next_query_at);
        }
    }

    /// Gets what is to be asked of hosts before the store: of one that `holder` names as knowing a kind up to a
    /// revision.
    pub fn due_host_queries(
        &mut self,
        now: Millis,
        mut holder: impl FnMut(FeedKind, u64) -> Option<SocketAddr>,
    ) -> Vec<Fetch> {
        let mut due = Vec::new();
        for kind in FeedKind::ALL {
            let after = self.complete.get(kind);
            let Some(missing) = &mut self.missing_revisions[kind as usize] else { continue };
            // Or hosts that do not know enough would be asked for ever.
            let is_store_next = now >= missing.store_read_at && !missing.was_store_tried_last;
            if is_store_next || missing.next_query_at.is_none_or(|at| now < at) {
                continue;
            }
            missing.next_query_at = Some(now + QUERY_INTERVAL);
            if let Some(holder) = holder(kind, missing.required_revision) {
                missing.last_attempt_at = Some(now);
                missing.was_store_tried_last = false;
                due.push(Fetch { kind, after, source: FetchSource::Host(holder) });
            }
        }
        due
    }

    fn add_requirement(&mut self, kind: FeedKind, revision: u64, store_read_at: Millis) {
        let after = self.complete.get(kind);
        // A kind that was never listed is being listed.
        if after == 0 || revision <= after {
            return;
        }
        let missing = self.missing_revisions[kind as usize]
            .get_or_insert(MissingRevision::new(revision, store_read_at));
        missing.reported_revision = missing.reported_revision.max(revision);
        missing.required_revision = missing.required_revision.max(revision);
        missing.store_read_at = missing.store_read_at.min(store_read_at);
    }

    /// Gets the revision up to which every change of a kind is known; 0 if it was never listed.
    pub fn complete(&self, kind: FeedKind) -> u64 {
        self.complete.get(kind)
    }

    /// Takes what another host knows; gets what is to be got from it.
    pub fn receive_revisions(
        &mut self,
        now: Millis,
        reported: &Revisions,
        from: SocketAddr,
        is_local_domain: bool,
    ) -> Vec<Fetch> {
        let source = FetchSource::Host(from);
        FeedKind::ALL
            .into_iter()
            .filter_map(|k| self.fetch_if_missing(now, k, reported.get(k), source, is_local_domain))
            .collect()
    }

    /// Tells whether this host knows nothing of some kind since its start.
    pub fn is_bootstrapping(&self) -> bool {
        FeedKind::ALL.into_iter().any(|k| self.complete.get(k) == 0)
    }

    /// Lists the kinds of which this host knows nothing since its start, and another one does. Nothing may have
    /// changed for long, so that no change is told.
    pub fn bootstrap_kinds(&self, reported: &Revisions) -> Vec<FeedKind> {
        let is_missing = |k: &FeedKind| {
            self.complete.get(*k) == 0 && self.missing_revisions[*k as usize].is_some()
        };
        FeedKind::ALL.into_iter().filter(|k| is_missing(k) && reported.get(*k) > 0).collect()
    }

    /// Gets a kind of which this host knows nothing from a host that holds it, unless it is being got.
    pub fn retry_bootstrap(
        &mut self,
        now: Millis,
        kind: FeedKind,
        holder: SocketAddr,
    ) -> Option<Fetch> {
        let missing = self.missing_revisions[kind as usize]
            .as_mut()
            .filter(|_| self.complete.0[kind as usize] == 0)?;
        let is_attempt_active = missing.last_attempt_at.is_some_and(|at| now < at + FETCH_TIMEOUT);
        // From then on the store and hosts take turns.
        let is_store_next = now >= missing.store_read_at && !missing.was_store_tried_last;
        if is_attempt_active || is_store_next {
            return None;
        }
        missing.last_attempt_at = Some(now);
        missing.was_store_tried_last = false;
        Some(Fetch { kind, after: 0, source: FetchSource::Host(holder) })
    }

    /// Gets up to where each kind is known.
    pub fn complete_revisions(&self) -> Revisions {
        self.complete
    }

    fn fetch_if_missing(
        &mut self,
        now: Millis,
        kind: FeedKind,
        reported_revision: u64,
        source: FetchSource,
        is_local_domain: bool,
    ) -> Option<Fetch> {
        let after = self.complete.get(kind);
        // A kind that was never listed is being got.
        if after == 0 || reported_revision <= after {
            return None;
        }
        let missing = self.missing_revisions[kind as usize]
            .get_or_insert(MissingRevision::new(reported_revision, now + STORE_READ_DELAY));
        let reported_at = *missing.reported_at.get_or_insert(now);
        missing.reported_revision = missing.reported_revision.max(reported_revision);
        let is_attempt_active = missing.last_attempt_at.is_some_and(|at| now < at + FETCH_TIMEOUT);
        if is_attempt_active
            || missing.has_host_failed
            || !(is_local_domain || now >= reported_at + REMOTE_DOMAIN_DELAY)
        {
            return None;
        }
        // Word comes from many hosts and at any time: each of their tries would be the next one, and the
        // store never asked.
        if now >= missing.store_read_at && !missing.was_store_tried_last {
            return None;
        }
        missing.last_attempt_at = Some(now);
        missing.was_store_tried_last = false;
        Some(Fetch { kind, after, source })
    }

    /// Gets what is to be read from the store, because hosts did not give it.
    pub fn due_store_reads(&mut self, now: Millis) -> Vec<Fetch> {
        let mut due = Vec::new();
        for kind in FeedKind::ALL {
            let Some(missing) = &mut self.missing_revisions[kind as usize] else { continue };
            let is_attempt_active =
                missing.last_attempt_at.is_some_and(|at| now < at + FETCH_TIMEOUT);
            if !is_attempt_active && (missing.has_host_failed || now >= missing.store_read_at) {
                missing.last_attempt_at = Some(now);
                missing.was_store_tried_last = true;
                missing.has_host_failed = false;
                let after = self.complete.get(kind);
                due.push(Fetch { kind, after, source: FetchSource::Store });
            }
        }
        due
    }
}
