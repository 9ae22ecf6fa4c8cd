//! Tracks how far this host has followed the store's changes, and where it fetches those that it
//! lacks.
//!
//! A feed is the sequence of store changes of one kind, which hosts relay to each other. A few
//! hosts in each failure domain, the watchers, watch the store. The others learn from them, and
//! from each other, up to which revision some host knows each kind. A host that lacks a change
//! fetches it from the host that reported it. If that fails or takes too long, it reads the store
//! itself, so that no host depends on any single other one. A starting host lacks everything and
//! fetches it in the same way.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::units::{Bandwidth, Millis};

/// How long to wait for a host in the local failure domain to report a change before it is fetched
/// from another domain, since traffic between failure domains costs money.
const REMOTE_DOMAIN_DELAY: Millis = Millis(200);

/// Delay from the first report of a change until the store is read for it.
const STORE_READ_DELAY: Millis = Millis(700);

/// Delay from learning of a later store revision, by a read of the configuration, until the
/// endpoints are read up to that revision. Usually the watchers deliver the change earlier: they
/// collect changes for 0.6 s, each at different times, and relaying takes 0.3 s. The configuration
/// is read at least every 1.5 s, and the users' limit for requests to endpoints that are leaving is
/// 3 s.
const REQUIRED_REVISION_DELAY: Millis = Millis(400);

/// Additional time that a host which does not watch the store gives the watchers to read a required
/// revision before it queries them for it.
const WATCHER_READ_ALLOWANCE: Millis = Millis(500);

/// Interval between queries to hosts for a required revision. By then the previous attempt has
/// failed or returned too little.
const QUERY_INTERVAL: Millis = Millis(400);

/// Delay after a failed read of the store, in addition to the timeout of an attempt.
const STORE_RETRY_DELAY: Millis = Millis(600);

/// Time without incoming data after which an attempt counts as failed. A large reply takes longer
/// than this on a narrow link, and a second one in parallel would only slow down both.
const FETCH_TIMEOUT: Millis = Millis(400);

/// A kind of objects whose changes hosts follow in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FeedKind {
    /// The configuration, a single object.
    Catalog,
    /// The registered endpoints.
    Endpoints,
    /// The roll-out orders and their progress.
    Rollouts,
    /// The failure domains that operators have evacuated.
    Evacuations,
}

impl FeedKind {
    /// Number of kinds.
    pub const COUNT: usize = 4;

    /// All kinds, in the order of their discriminants.
    pub const ALL: [FeedKind; FeedKind::COUNT] =
        [FeedKind::Catalog, FeedKind::Endpoints, FeedKind::Rollouts, FeedKind::Evacuations];

    /// Reports whether the kind has a single object, so that its newest state replaces all earlier
    /// changes.
    pub fn is_single_object(self) -> bool {
        self == FeedKind::Catalog
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FeedKind::Catalog => "Catalog",
            FeedKind::Endpoints => "Endpoints",
            FeedKind::Rollouts => "Rollouts",
            FeedKind::Evacuations => "Evacuations",
        }
    }
}

/// A store revision for each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions([u64; FeedKind::COUNT]);

impl Revisions {
    /// Returns the revision of a kind.
    pub fn get(&self, kind: FeedKind) -> u64 {
        self.0[kind as usize]
    }

    /// Raises the revision of a kind to at least `to`. It never decreases.
    pub fn raise(&mut self, kind: FeedKind, to: u64) {
        let at = &mut self.0[kind as usize];
        *at = (*at).max(to);
    }
}

/// Time in which a host's link has to be able to send all its concurrent large replies. If twelve
/// hosts each requested 1 MB from a host with a link of 10 Mbit/s, they would wait ten seconds and
/// delay the responses to that host's callers; the store delivers the same data in a tenth of a
/// second.
const LARGE_REPLY_TIME_BUDGET: Millis = Millis(300);

/// Size in bytes from which a reply with changes counts as large; at 10 Mbit/s it takes 50 ms to
/// send. Updates of endpoints take a few hundred bytes each, so they stay below this and do not
/// wait for configurations.
pub const LARGE_REPLY_BYTES: usize = 64 << 10;

/// Limits the large replies that a host sends to other hosts at the same time.
#[derive(Clone, Debug)]
pub struct ReplyLimiter {
    max_bytes: u64,
    /// Sizes in bytes of the large replies being sent.
    active_sizes: Vec<u64>,
}

impl ReplyLimiter {
    /// Creates a limiter for a host with the given link bandwidth.
    pub fn new(link: Bandwidth) -> ReplyLimiter {
        ReplyLimiter { max_bytes: link.bytes_in(LARGE_REPLY_TIME_BUDGET), active_sizes: Vec::new() }
    }

    /// Starts a reply of the given size. Returns false if the link is busy with other large
    /// replies. One large reply is always admitted.
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

    /// Records that a reply was sent or aborted.
    pub fn end(&mut self, bytes: u64) {
        if let Some(at) = self.active_sizes.iter().position(|size| *size == bytes) {
            self.active_sizes.swap_remove(at);
        }
    }
}

/// Where changes are fetched from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchSource {
    /// Another host, by its peer address.
    Host(SocketAddr),
    /// The store itself.
    Store,
}

/// A fetch of changes that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The kind of the changes.
    pub kind: FeedKind,
    /// Fetches changes after this revision; 0 fetches the complete state.
    pub after: u64,
    /// Where the changes are fetched from.
    pub source: FetchSource,
}

/// A revision that this host lacks, and the state of its attempts to fetch it.
#[derive(Clone, Copy, Debug)]
struct MissingRevision {
    /// When another host first reported the revision; `None` if only the store has.
    reported_at: Option<Millis>,
    /// When the store is read for it.
    store_read_at: Millis,
    reported_revision: u64,
    /// The revision that has to be reached regardless of what other hosts report; 0 if none.
    required_revision: u64,
    last_attempt_at: Option<Millis>,
    /// Whether the last attempt was a read of the store.
    is_last_attempt_at_store: bool,
    /// Whether an attempt has failed since the kind was first listed, so that the store is read
    /// without waiting for `store_read_at`. A read of the store resets it.
    has_attempt_failed: bool,
    /// When to query another host next, before the store is read; `None` if hosts are not queried.
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
            is_last_attempt_at_store: false,
            has_attempt_failed: false,
            next_query_at: None,
        }
    }
}

/// Tracks for each kind which revisions this host knows, lacks and fetches.
#[derive(Clone, Debug, Default)]
pub struct FeedTracker {
    /// The revision up to which every change is known; 0 if the kind has never been listed.
    complete: Revisions,
    /// The newest known change, as reported to other hosts.
    newest_changes: Revisions,
    missing_revisions: [Option<MissingRevision>; FeedKind::COUNT],
}

impl FeedTracker {
    /// Marks all kinds as missing. Reads the store at `store_read_at` for those that no host has
    /// delivered by then.
    pub fn start_bootstrap(&mut self, store_read_at: Millis) {
        self.missing_revisions =
            FeedKind::ALL.map(|_| Some(MissingRevision::new(1, store_read_at)));
    }

    /// Returns the newest known change of each kind.
    pub fn newest_changes(&self) -> Revisions {
        self.newest_changes
    }

    /// Records that every change up to `complete` is known, the newest of them at `changed`, if
    /// there was one. Returns whether that is a newer change to report to other hosts.
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
        // During a series of changes there is always a missing revision, although other hosts
        // deliver each one. What is still missing was reported later than the changes that just
        // arrived, so its delay restarts.
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

    /// Records that data of a reply with changes of a kind is arriving. The reply may contain the
    /// missing revision, so the attempt does not time out.
    pub fn record_incoming(&mut self, now: Millis, kind: FeedKind) {
        if let Some(missing) = &mut self.missing_revisions[kind as usize] {
            missing.last_attempt_at = Some(now);
        }
    }

    /// Records that an attempt failed. The store is read next: at once if a host failed, after a
    /// delay if the store did.
    pub fn record_failure(&mut self, now: Millis, fetch: &Fetch) {
        if let Some(missing) = &mut self.missing_revisions[fetch.kind as usize] {
            missing.last_attempt_at =
                (fetch.source == FetchSource::Store).then_some(now + STORE_RETRY_DELAY);
            // During a bootstrap, hosts decline requests while they are busy, so a failure there
            // does not make this host read the store early.
            missing.has_attempt_failed = fetch.after > 0;
        }
    }

    /// Records the store's revision at a read of the configuration. Watchers may be disconnected
    /// from the store without noticing, so a revision beyond the known ones is taken as a change of
    /// the endpoints unless it is accounted for soon. If it belongs to another kind, the read
    /// returns little. A host that is not a prover reads the configuration only if it has received
    /// no relayed proofs, so it does not wait for relayed changes either.
    pub fn record_store_revision(&mut self, now: Millis, revision: u64, is_prover: bool) {
        let store_read_at = if is_prover { now + REQUIRED_REVISION_DELAY } else { now };
        self.add_requirement(FeedKind::Endpoints, revision, store_read_at);
    }

    /// Records that a kind has to be known up to a revision. The store is read unless other hosts
    /// deliver the revision soon. One read by a watcher serves all hosts. A host that is not a
    /// watcher therefore first queries other hosts, and reads the store only after its
    /// `stagger_delay`, which is `None` for watchers.
    pub fn request_revision(
        &mut self,
        now: Millis,
        kind: FeedKind,
        revision: u64,
        stagger_delay: Option<Millis>,
    ) {
        let next_query_at = now + REQUIRED_REVISION_DELAY + WATCHER_READ_ALLOWANCE;
        let is_newly_missing = self.missing_revisions[kind as usize].is_none();
        self.add_requirement(
            kind,
            revision,
            stagger_delay.map_or(now + REQUIRED_REVISION_DELAY, |stagger_delay| {
                next_query_at + stagger_delay
            }),
        );
        if let Some(missing) =
            self.missing_revisions[kind as usize].as_mut().filter(|_| is_newly_missing)
        {
            missing.next_query_at = stagger_delay.map(|_| next_query_at);
        }
    }

    /// Returns the queries to other hosts that are due before the store is read. `holder` returns a
    /// host that knows a kind up to a revision.
    pub fn due_host_queries(
        &mut self,
        now: Millis,
        mut holder: impl FnMut(FeedKind, u64) -> Option<SocketAddr>,
    ) -> Vec<Fetch> {
        let mut due = Vec::new();
        for kind in FeedKind::ALL {
            let after = self.complete.get(kind);
            let Some(missing) = &mut self.missing_revisions[kind as usize] else { continue };
            // Without this check, hosts that lack the revision would be queried forever.
            let is_store_next = now >= missing.store_read_at && !missing.is_last_attempt_at_store;
            if is_store_next || missing.next_query_at.is_none_or(|at| now < at) {
                continue;
            }
            missing.next_query_at = Some(now + QUERY_INTERVAL);
            if let Some(holder) = holder(kind, missing.required_revision) {
                missing.last_attempt_at = Some(now);
                missing.is_last_attempt_at_store = false;
                due.push(Fetch { kind, after, source: FetchSource::Host(holder) });
            }
        }
        due
    }

    fn add_requirement(&mut self, kind: FeedKind, revision: u64, store_read_at: Millis) {
        let after = self.complete.get(kind);
        // A kind that has never been listed is being listed already.
        if after == 0 || revision <= after {
            return;
        }
        let missing = self.missing_revisions[kind as usize]
            .get_or_insert(MissingRevision::new(revision, store_read_at));
        missing.reported_revision = missing.reported_revision.max(revision);
        missing.required_revision = missing.required_revision.max(revision);
        missing.store_read_at = missing.store_read_at.min(store_read_at);
    }

    /// Returns the revision up to which every change of a kind is known; 0 if it has never been
    /// listed.
    pub fn complete(&self, kind: FeedKind) -> u64 {
        self.complete.get(kind)
    }

    /// Processes the newest changes that another host reports. Returns the fetches from that host
    /// that are due.
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

    /// Reports whether this host has not yet received the initial state of some kind.
    pub fn is_bootstrapping(&self) -> bool {
        FeedKind::ALL.into_iter().any(|k| self.complete.get(k) == 0)
    }

    /// Returns the kinds whose initial state this host lacks and the reporting host has. This
    /// covers kinds without recent changes, for which no change is reported.
    pub fn bootstrap_kinds(&self, reported: &Revisions) -> Vec<FeedKind> {
        let is_missing = |k: &FeedKind| {
            self.complete.get(*k) == 0 && self.missing_revisions[*k as usize].is_some()
        };
        FeedKind::ALL.into_iter().filter(|k| is_missing(k) && reported.get(*k) > 0).collect()
    }

    /// Returns a fetch of a kind's initial state from a host that has it, unless an attempt is in
    /// progress or the store is next.
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
        // Once the store read is due, attempts alternate between the store and other hosts.
        let is_store_next = now >= missing.store_read_at && !missing.is_last_attempt_at_store;
        if is_attempt_active || is_store_next {
            return None;
        }
        missing.last_attempt_at = Some(now);
        missing.is_last_attempt_at_store = false;
        Some(Fetch { kind, after: 0, source: FetchSource::Host(holder) })
    }

    /// Returns the revision up to which each kind is completely known.
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
        // A kind that has never been listed is being fetched already.
        if after == 0 || reported_revision <= after {
            return None;
        }
        let missing = self.missing_revisions[kind as usize]
            .get_or_insert(MissingRevision::new(reported_revision, now + STORE_READ_DELAY));
        let reported_at = *missing.reported_at.get_or_insert(now);
        missing.reported_revision = missing.reported_revision.max(reported_revision);
        let is_attempt_active = missing.last_attempt_at.is_some_and(|at| now < at + FETCH_TIMEOUT);
        if is_attempt_active
            || missing.has_attempt_failed
            || !(is_local_domain || now >= reported_at + REMOTE_DOMAIN_DELAY)
        {
            return None;
        }
        // Reports arrive from many hosts at any time. Without this check each one would start the
        // next attempt, and the store would never be read.
        if now >= missing.store_read_at && !missing.is_last_attempt_at_store {
            return None;
        }
        missing.last_attempt_at = Some(now);
        missing.is_last_attempt_at_store = false;
        Some(Fetch { kind, after, source })
    }

    /// Returns the store reads that are due because no host delivered the missing revision.
    pub fn due_store_reads(&mut self, now: Millis) -> Vec<Fetch> {
        let mut due = Vec::new();
        for kind in FeedKind::ALL {
            let Some(missing) = &mut self.missing_revisions[kind as usize] else { continue };
            let is_attempt_active =
                missing.last_attempt_at.is_some_and(|at| now < at + FETCH_TIMEOUT);
            if !is_attempt_active && (missing.has_attempt_failed || now >= missing.store_read_at) {
                missing.last_attempt_at = Some(now);
                missing.is_last_attempt_at_store = true;
                missing.has_attempt_failed = false;
                let after = self.complete.get(kind);
                due.push(Fetch { kind, after, source: FetchSource::Store });
            }
        }
        due
    }
}
