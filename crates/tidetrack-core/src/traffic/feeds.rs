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
const FAR_AFTER: Millis = Millis(200);

/// How long after the first word of a change the store is read for it.
const STORE_AFTER: Millis = Millis(700);

/// How long after a read of the configuration told of a later revision of the store the endpoints are read
/// up to there. Mostly those that watch bring the change before: they let changes gather for 0.6 s, at
/// different times, and it goes round in 0.3 s. The configuration is read every 1.5 s at the latest, and
/// the users' bound on requests at endpoints that leave is 3 s.
const SEEN_AFTER: Millis = Millis(400);

/// How much longer a host that does not watch the store leaves a read up to a revision to those that do, which it
/// asks then.
const WATCHERS_READ_FOR: Millis = Millis(500);

/// Pause between looks for a host that knows what is wanted: a try has failed by then, or brought too little.
const MIN_PROOF_REQUEST_INTERVAL: Millis = Millis(400);

/// Pause after a failed read of the store, beside the time of a try.
const STORE_AGAIN: Millis = Millis(600);

/// Time after which a try counts as failed if nothing is coming in. A large reply takes longer than that
/// on a narrow link, and a second one beside it only makes both slower.
const TRY_WITHIN: Millis = Millis(400);

/// A kind of objects that hosts follow in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// The configuration.
    Catalog,
    /// The endpoints.
    Endpoints,
    /// The roll-outs.
    Rollouts,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 3] = [Kind::Catalog, Kind::Endpoints, Kind::Rollouts];

    /// Tells whether the kind has a single object, so that its newest state is all there is to know.
    pub fn is_one_object(self) -> bool {
        self == Kind::Catalog
    }

    /// Gets the word for it in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Catalog => "Catalog",
            Kind::Endpoints => "Endpoints",
            Kind::Rollouts => "Rollouts",
        }
    }
}

/// A revision of the store for each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions([u64; 3]);

impl Revisions {
    /// Gets a kind's revision.
    pub fn get(&self, kind: Kind) -> u64 {
        self.0[kind as usize]
    }

    /// Raises a kind's revision; it never falls.
    pub fn raise(&mut self, kind: Kind, to: u64) {
        let at = &mut self.0[kind as usize];
        *at = (*at).max(to);
    }
}

/// Time in which a host's link passes what it gives to other hosts at once. Twelve hosts that ask a host
/// with a link of 10 Mbit/s for 1 MB each would wait ten seconds and hold its callers' answers up; the
/// store gives it to them in a tenth of one.
const GIVES_WITHIN: Millis = Millis(300);

/// Size from which a reply with changes counts as large, in bytes: at 10 Mbit/s it takes 50 ms. News of
/// endpoints, a few hundred bytes each, is smaller and does not wait for a configuration.
pub const LARGE_REPLY: usize = 64 << 10;

/// What a host gives to others at present.
#[derive(Clone, Debug)]
pub struct Giving {
    most: u64,
    /// Sizes of the large replies under way.
    sizes: Vec<u64>,
}

impl Giving {
    /// Makes the state of a host that gives nothing yet.
    pub fn new(link: Bandwidth) -> Giving {
        Giving { most: link.bytes_in(GIVES_WITHIN), sizes: Vec::new() }
    }

    /// Begins a reply; `false` if the link has enough to do with others. One large reply may always go out.
    pub fn begin(&mut self, bytes: u64) -> bool {
        if bytes <= LARGE_REPLY as u64 {
            return true;
        }
        let others: u64 = self.sizes.iter().sum();
        let may_begin = others == 0 || others + bytes <= self.most;
        if may_begin {
            self.sizes.push(bytes);
        }
        may_begin
    }

    /// Takes note that a reply is out, or given up.
    pub fn end(&mut self, bytes: u64) {
        if let Some(at) = self.sizes.iter().position(|size| *size == bytes) {
            self.sizes.swap_remove(at);
        }
    }
}

/// Where changes are got from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Another host.
    Host(SocketAddr),
    /// The store.
    Store,
}

/// Changes that are to be got now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Catch {
    /// Of this kind.
    pub kind: Kind,
    /// After this revision.
    pub after: u64,
    /// From there.
    pub source: Source,
}

/// A change that somebody told of and this host lacks.
#[derive(Clone, Copy, Debug)]
struct Lack {
    /// When another host first told of it; `None` if only the store did.
    told_at: Option<Millis>,
    /// When the store is read for it.
    due_at: Millis,
    wanted: u64,
    /// The revision up to which it is wanted, whoever tells of changes.
    needed: u64,
    tried_at: Option<Millis>,
    /// Whether that was at the store.
    is_store_tried: bool,
    /// Whether hosts could not give it.
    is_failed: bool,
    /// When a host that may know it is asked next, before the store is.
    ask_at: Option<Millis>,
}

impl Lack {
    fn of(wanted: u64, due_at: Millis) -> Lack {
        Lack {
            told_at: None,
            due_at,
            wanted,
            needed: 0,
            tried_at: None,
            is_store_tried: false,
            is_failed: false,
            ask_at: None,
        }
    }
}

/// How far this host follows each kind.
#[derive(Clone, Debug, Default)]
pub struct Feeds {
    /// Every change up to here is known; 0 if the kind was never listed.
    complete: Revisions,
    /// The newest change that is known; this is what other hosts are told.
    changed: Revisions,
    lacks: [Option<Lack>; 3],
}

impl Feeds {
    /// Lacks all kinds from now on, and reads the store for them at `due_at` unless hosts gave them before.
    pub fn join(&mut self, due_at: Millis) {
        self.lacks = Kind::ALL.map(|_| Some(Lack::of(1, due_at)));
    }

    /// Gets the newest known changes.
    pub fn changed(&self) -> Revisions {
        self.changed
    }

    /// Takes note that every change up to `complete` is known, the newest of them `changed`; tells
    /// whether that is news for other hosts.
    pub fn caught_up(
        &mut self,
        now: Millis,
        kind: Kind,
        complete: u64,
        changed: Option<u64>,
    ) -> bool {
        let is_forward = complete > self.complete.get(kind);
        self.complete.raise(kind, complete);
        let before = self.changed.get(kind);
        self.changed.raise(kind, changed.unwrap_or(0));
        let complete = self.complete.get(kind);
        let lack = &mut self.lacks[kind as usize];
        *lack = lack.filter(|l| l.wanted > complete);
        // While changes come one after another some are always lacked, but others give them: what is lacked now was
        // told of later than what just came.
        if let Some(lack) = lack.as_mut().filter(|l| is_forward && l.needed <= complete) {
            if lack.told_at.is_some() {
                lack.told_at = Some(now);
                lack.due_at = lack.due_at.max(now + STORE_AFTER);
            }
        }
        self.changed.get(kind) > before
    }

    /// Takes note that a reply with changes of a kind is coming in: what is lacked may be in it.
    pub fn coming(&mut self, now: Millis, kind: Kind) {
        if let Some(lack) = &mut self.lacks[kind as usize] {
            lack.tried_at = Some(now);
        }
    }

    /// Takes note that a try failed: the store is next, at once after a host, and after a pause if it
    /// was the store that failed.
    pub fn failed(&mut self, now: Millis, catch: &Catch) {
        if let Some(lack) = &mut self.lacks[catch.kind as usize] {
            lack.tried_at = (catch.source == Source::Store).then_some(now + STORE_AGAIN);
            // While many hosts start, one that has enough to do with others declines.
            lack.is_failed = catch.after > 0;
        }
    }

    /// Takes note that the store was at a revision when the configuration was read there. Those that watch
    /// for this host may be away from the store and not know it, so a revision beyond the known ones is
    /// word of a change of the endpoints, unless it is accounted for soon. It may be one of another kind;
    /// the read is short then. A host that relies on others' proofs and had to read has not heard them, so
    /// it does not wait for their news either.
    pub fn store_seen(&mut self, now: Millis, revision: u64, proves_for_others: bool) {
        let due_at = if proves_for_others { now + SEEN_AFTER } else { now };
        self.lack(Kind::Endpoints, revision, due_at);
    }

    /// Takes note that a kind has to be known up to a revision: it is read unless others bring it soon. One read
    /// by those that watch for others is enough for all, so a host that does not, `turn` being given, asks hosts for
    /// it, and the store once its turn has come.
    pub fn wants(&mut self, now: Millis, kind: Kind, revision: u64, turn: Option<Millis>) {
        let ask_at = now + SEEN_AFTER + WATCHERS_READ_FOR;
        let is_new = self.lacks[kind as usize].is_none();
        self.lack(kind, revision, turn.map_or(now + SEEN_AFTER, |turn| ask_at + turn));
        if let Some(lack) = self.lacks[kind as usize].as_mut().filter(|_| is_new) {
            lack.ask_at = turn.map(|_| ask_at);
        }
    }

    /// Gets what is to be asked of hosts before the store: of one that `holder` names as knowing a kind up to a
    /// revision.
    pub fn due_of_host(
        &mut self,
        now: Millis,
        mut holder: impl FnMut(Kind, u64) -> Option<SocketAddr>,
    ) -> Vec<Catch> {
        let mut due = Vec::new();
        for kind in Kind::ALL {
            let after = self.complete.get(kind);
            let Some(lack) = &mut self.lacks[kind as usize] else { continue };
            // Or hosts that do not know enough would be asked for ever.
            let is_stores_turn = now >= lack.due_at && !lack.is_store_tried;
            if is_stores_turn || lack.ask_at.is_none_or(|at| now < at) {
                continue;
            }
            lack.ask_at = Some(now + MIN_PROOF_REQUEST_INTERVAL);
            if let Some(holder) = holder(kind, lack.needed) {
                lack.tried_at = Some(now);
                lack.is_store_tried = false;
                due.push(Catch { kind, after, source: Source::Host(holder) });
            }
        }
        due
    }

    fn lack(&mut self, kind: Kind, revision: u64, due_at: Millis) {
        let after = self.complete.get(kind);
        // A kind that was never listed is being listed.
        if after == 0 || revision <= after {
            return;
        }
        let lack = self.lacks[kind as usize].get_or_insert(Lack::of(revision, due_at));
        lack.wanted = lack.wanted.max(revision);
        lack.needed = lack.needed.max(revision);
        lack.due_at = lack.due_at.min(due_at);
    }

    /// Gets the revision up to which every change of a kind is known; 0 if it was never listed.
    pub fn complete(&self, kind: Kind) -> u64 {
        self.complete.get(kind)
    }

    /// Takes what another host knows; gets what is to be got from it.
    pub fn told(
        &mut self,
        now: Millis,
        told: &Revisions,
        from: SocketAddr,
        is_near: bool,
    ) -> Vec<Catch> {
        let source = Source::Host(from);
        Kind::ALL
            .into_iter()
            .filter_map(|k| self.told_of(now, k, told.get(k), source, is_near))
            .collect()
    }

    /// Tells whether this host knows nothing of some kind since its start.
    pub fn is_joining(&self) -> bool {
        Kind::ALL.into_iter().any(|k| self.complete.get(k) == 0)
    }

    /// Lists the kinds of which this host knows nothing since its start, and another one does. Nothing may have
    /// changed for long, so that no change is told.
    pub fn joins(&self, told: &Revisions) -> Vec<Kind> {
        let lacks = |k: &Kind| self.complete.get(*k) == 0 && self.lacks[*k as usize].is_some();
        Kind::ALL.into_iter().filter(|k| lacks(k) && told.get(*k) > 0).collect()
    }

    /// Gets a kind of which this host knows nothing from a host that holds it, unless it is being got.
    pub fn again(&mut self, now: Millis, kind: Kind, holder: SocketAddr) -> Option<Catch> {
        let lack =
            self.lacks[kind as usize].as_mut().filter(|_| self.complete.0[kind as usize] == 0)?;
        let is_tried = lack.tried_at.is_some_and(|at| now < at + TRY_WITHIN);
        // From then on the store and hosts take turns.
        let is_stores_turn = now >= lack.due_at && !lack.is_store_tried;
        if is_tried || is_stores_turn {
            return None;
        }
        lack.tried_at = Some(now);
        lack.is_store_tried = false;
        Some(Catch { kind, after: 0, source: Source::Host(holder) })
    }

    /// Gets up to where each kind is known.
    pub fn all_complete(&self) -> Revisions {
        self.complete
    }

    fn told_of(
        &mut self,
        now: Millis,
        kind: Kind,
        wanted: u64,
        source: Source,
        is_near: bool,
    ) -> Option<Catch> {
        let after = self.complete.get(kind);
        // A kind that was never listed is being got.
        if after == 0 || wanted <= after {
            return None;
        }
        let lack = self.lacks[kind as usize].get_or_insert(Lack::of(wanted, now + STORE_AFTER));
        let told_at = *lack.told_at.get_or_insert(now);
        lack.wanted = lack.wanted.max(wanted);
        let is_tried = lack.tried_at.is_some_and(|at| now < at + TRY_WITHIN);
        if is_tried || lack.is_failed || !(is_near || now >= told_at + FAR_AFTER) {
            return None;
        }
        // Word comes from many hosts and at any time: each of their tries would be the next one, and the
        // store never asked.
        if now >= lack.due_at && !lack.is_store_tried {
            return None;
        }
        lack.tried_at = Some(now);
        lack.is_store_tried = false;
        Some(Catch { kind, after, source })
    }

    /// Gets what is to be read from the store, because hosts did not give it.
    pub fn due(&mut self, now: Millis) -> Vec<Catch> {
        let mut due = Vec::new();
        for kind in Kind::ALL {
            let Some(lack) = &mut self.lacks[kind as usize] else { continue };
            let is_tried = lack.tried_at.is_some_and(|at| now < at + TRY_WITHIN);
            if !is_tried && (lack.is_failed || now >= lack.due_at) {
                lack.tried_at = Some(now);
                lack.is_store_tried = true;
                lack.is_failed = false;
                let after = self.complete.get(kind);
                due.push(Catch { kind, after, source: Source::Store });
            }
        }
        due
    }
}
