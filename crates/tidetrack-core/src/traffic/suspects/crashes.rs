//! The crashes that are held against one suspect.

use crate::ids::EndpointKey;
use crate::traffic::fingerprint::Fingerprint;
use crate::units::Millis;

use super::{Bar, CrashReport, SuspectKey, SuspectReport};

/// Crashes of one endpoint within this time count as one crash that several hosts observed.
/// Reported ages do not include the transmission delay, so hosts date the same crash differently.
const DUPLICATE_CRASH_WINDOW: Millis = Millis(2_000);

/// Endpoints of one failure domain that crash within this time are assumed to have a common cause.
const COMMON_CAUSE_WINDOW: Millis = Millis(300);

/// Endpoints in any failure domains that crash within this time are assumed to have a common cause
/// if the suspect is a prompt part: one in wide use runs at nearly all of them.
pub(super) const SIMULTANEOUS_WINDOW: Millis = Millis(100);

/// Maximum number of crashes stored per suspect. A part in wide use runs at most of the endpoints that
/// end together.
const MAX_CRASHES_PER_SUSPECT: usize = 64;

/// Maximum number of crashes in one suspect's report.
const MAX_CRASHES_PER_REPORT: usize = 6;

/// Number of workspaces with crashes from which a bar on a part holds for all workspaces. No more of
/// them are stored.
const WORKSPACES_FOR_GENERAL_BAR: usize = 2;

#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub(super) endpoint: EndpointKey,
    pub(super) domain_hash: u16,
    /// When the request was sent to the endpoint.
    pub(super) sent_at: Millis,
    pub(super) crashed_at: Millis,
}

impl Crash {
    pub(super) fn is_duplicate_of(&self, other: &Crash) -> bool {
        self.endpoint == other.endpoint
            && time_between(self.crashed_at, other.crashed_at) <= DUPLICATE_CRASH_WINDOW
    }

    /// Reports whether both crashes may have a common cause other than the suspect: the endpoints
    /// crashed almost together, ran the suspect at the same time, and are in one failure domain, or
    /// the suspect is a part. If it was sent to one endpoint only after the other had crashed, both
    /// crashes count against it.
    pub(super) fn has_common_cause(&self, other: &Crash, is_part: bool) -> bool {
        let has_overlap = self.sent_at < other.crashed_at && other.sent_at < self.crashed_at;
        let time = time_between(self.crashed_at, other.crashed_at);
        let is_same_domain = self.domain_hash == other.domain_hash;
        has_overlap
            && (is_same_domain && time <= COMMON_CAUSE_WINDOW
                || is_part && time <= SIMULTANEOUS_WINDOW)
    }
}

pub(super) fn time_between(a: Millis, b: Millis) -> Millis {
    Millis(a.0.abs_diff(b.0))
}

fn elapsed_ms(now: Millis, at: Millis) -> u32 {
    u32::try_from((now - at).0).unwrap_or(u32::MAX)
}

#[derive(Clone, Debug, Default)]
pub(super) struct Suspect {
    /// Whether this is a prompt part, and not a whole request.
    pub(super) is_part: bool,
    /// Hashes of the workspaces whose requests crashed endpoints, without repetitions.
    pub(super) callers: Vec<u32>,
    /// Crashes in the order in which this host learned of them.
    pub(super) crashes: Vec<Crash>,
    /// When the last execution completed, as far as is known.
    pub(super) cleared_at: Option<Millis>,
    /// When this host last learned something new about the suspect.
    pub(super) changed_at: Millis,
    /// Number of crashes that count against the suspect and that nothing else explains.
    pub(super) crash_count: usize,
    /// Whether the suspect is barred. The bar ends some time after the last crash, but this flag stays
    /// set.
    pub(super) is_barred: bool,
}

impl Suspect {
    /// Creates the suspect that a fingerprint identifies.
    pub(super) fn new(fingerprint: Fingerprint) -> Suspect {
        let callers = vec![fingerprint.caller()];
        Suspect { is_part: fingerprint.is_part(), callers, ..Suspect::default() }
    }

    /// Returns the workspace that the suspect's entry is charged to.
    pub(super) fn owner(&self) -> u32 {
        self.callers[0]
    }

    /// Returns the fingerprint of the suspect in the requests of its owner.
    pub(super) fn fingerprint(&self, key: SuspectKey) -> Fingerprint {
        key.fingerprint(self.owner())
    }

    /// Returns the fingerprints of the suspect in the requests of all its workspaces.
    pub(super) fn fingerprints(&self, key: SuspectKey) -> impl Iterator<Item = Fingerprint> + '_ {
        self.callers.iter().map(move |caller| key.fingerprint(*caller))
    }

    /// Records that endpoints crashed under requests of a workspace. Returns whether that is news.
    pub(super) fn add_caller(&mut self, caller: u32) -> bool {
        let is_news =
            self.callers.len() < WORKSPACES_FOR_GENERAL_BAR && !self.callers.contains(&caller);
        if is_news {
            self.callers.push(caller);
        }
        is_news
    }

    /// Returns the bar that holds for requests of a workspace; `None` if there is none.
    pub(super) fn bar_for(&self, caller: u32) -> Option<Bar> {
        let is_general = self.callers.len() >= WORKSPACES_FOR_GENERAL_BAR;
        let bar = Bar { crashes: self.crash_count, last_crash_at: self.last_crash_at() };
        (self.is_barred && (is_general || self.callers.contains(&caller))).then_some(bar)
    }

    /// Returns the crashes of which the suspect has not been cleared.
    pub(super) fn counting_crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| match self.cleared_at {
            None => true,
            Some(at) => self.is_part && crash.crashed_at > at,
        })
    }

    /// Clears the suspect because an execution completed at `at`. Returns whether that changes
    /// anything.
    pub(super) fn clear(&mut self, at: Millis) -> bool {
        let is_changed = match self.is_part {
            true => self.counting_crashes().any(|crash| crash.crashed_at <= at),
            false => self.cleared_at.is_none(),
        };
        self.cleared_at = self.cleared_at.max(Some(at));
        let is_suspect = self.counting_crashes().next().is_some();
        self.is_barred &= is_suspect;
        is_changed
    }

    /// Adds a crash. Returns false if it is a duplicate of a known one.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        if self.crashes.iter().any(|known| known.is_duplicate_of(&crash)) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES_PER_SUSPECT {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Returns the time of the last crash.
    pub(super) fn last_crash_at(&self) -> Millis {
        self.crashes.iter().map(|c| c.crashed_at).max().unwrap_or_default()
    }

    /// Returns the suspect's report to other hosts on the requests of one workspace, with ages relative
    /// to `now`.
    pub(super) fn to_report(&self, now: Millis, fingerprint: Fingerprint) -> SuspectReport {
        // One report names all crashes. Those on further workspaces only add the workspace.
        let is_first = self.owner() == fingerprint.caller();
        let max_crashes = if is_first { MAX_CRASHES_PER_REPORT } else { 1 };
        let newest = self.crashes.iter().rev().take(max_crashes);
        let crash_report = |c: &Crash| CrashReport {
            endpoint: c.endpoint,
            domain_hash: c.domain_hash,
            run_ms: elapsed_ms(c.crashed_at, c.sent_at),
            age_ms: elapsed_ms(now, c.crashed_at),
        };
        SuspectReport {
            fingerprint,
            crashes: newest.map(crash_report).collect(),
            cleared_ms: self.cleared_at.map(|at| elapsed_ms(now, at)),
        }
    }
}
