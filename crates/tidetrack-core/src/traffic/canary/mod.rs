//! Canary roll-outs: the share of traffic that a canary version gets over time, and the progress
//! records that hosts write to the store.
//!
//! For most of a roll-out a small, fixed share of the sessions (the sample) runs on the canary
//! version; see `exposure`. In a large fleet the sample grows in the second half and is sent to a
//! few endpoints at a time; see `load_concentration`. Shortly before the deadline comes the
//! cutover: at one age of the order, all requests go to the canary version and none go back. The
//! roll-out is completed soon afterwards. Because a fault may stay hidden until late, the share of
//! all requests that a version gets is limited by this schedule alone and does not depend on a
//! verdict.
//!
//! All hosts judge the version on their combined counts; see `judge`. The first host that finds the
//! version bad bars it at once, reports this to the others, and writes it to the store. Both this
//! write and the completion are made by whichever host is first, conditional on the object's
//! revision.

use crate::ids::VersionName;
use crate::traffic::exposure::{
    full_sample_share, initial_sample_share, ExposureBound, MAX_SAMPLE_SHARE,
};
use crate::traffic::judge::{BarReason, Judge, Tally};
use crate::traffic::store_position::era_of;
use crate::traffic::verdict_basis::VerdictBasis;
use crate::units::{Millis, Share};

mod order;

pub use order::{
    parse_rollout_duration, ProgressWrite, ProgressWriter, RolloutOrder, RolloutProgress,
    RolloutState,
};

/// Change in the known age of an order from which the traffic view is rebuilt. Smaller changes are
/// ignored, because message delays vary by a few milliseconds.
const AGE_TOLERANCE: Millis = Millis(15);

/// Time that is added to the propagation time of an update before a sample begins. Hosts have at
/// least this long to report their sessions to each other.
const MIN_PROPAGATION_TIME: Millis = Millis(500);

/// Limit on the requests that a version may get between its order and its deadline, used if the
/// settings do not specify one.
pub const DEFAULT_EXPOSURE_BOUND: ExposureBound =
    ExposureBound { share: Share(0.15), allowance: 0 };

/// Fraction of the exposure bound that is reserved for attempts that still run on the stable
/// version when it stops and then continue on the canary version. It covers the requests of about
/// one second in a roll-out of 24 s.
const RUNNING_ATTEMPTS_RESERVE: f64 = 0.2;

/// Fraction of the roll-out's duration after which the sample grows, in fleets that start with a
/// small one. A session keeps its version through the first half, and hosts know the order's age
/// only to within some milliseconds.
const SAMPLE_GROWTH_FRACTION: f64 = 0.53;

/// Fraction of the grown sample that continues to go to all canary endpoints, most of which have
/// little to do, instead of the few that take the concentrated load.
const UNCONCENTRATED_FRACTION: f64 = 0.1;

/// Fraction of the time between cutover and deadline after which the roll-out is completed. Until
/// then, attempts on the stable version can end and faults that need the full traffic can show. The
/// rest of the time is left for the write to be accepted.
const COMPLETION_FRACTION: f64 = 0.55;

/// Like [`COMPLETION_FRACTION`], for a version that looks bad without enough evidence: the later
/// time lets more responses arrive.
const INCONCLUSIVE_COMPLETION_FRACTION: f64 = 0.65;

/// Fractions of the time between cutover and deadline by which hosts delay the completion write, so
/// that a host that collects the tallies writes first: the delay of hosts that watch the store, the
/// delay of all others, and the range of the stagger within each group.
const WATCHER_COMPLETION_DELAY: f64 = 0.15;
const NON_WATCHER_COMPLETION_DELAY: f64 = 0.35;
const COMPLETION_STAGGER: f64 = 0.03;

/// Upper limit of the stagger delay before a write that precedes the completion.
const MAX_WRITE_STAGGER: Millis = Millis(400);

/// Additional delay of such a write on hosts that do not watch the store. It is some gossip rounds
/// longer than a write needs to become known to all hosts.
const NON_WATCHER_WRITE_DELAY: Millis = Millis(1_500);

/// Interval of progress writes as a fraction of the roll-out's duration. Hosts that start during
/// the roll-out read its age and sample from them.
const PROGRESS_WRITE_INTERVAL: f64 = 0.4;

/// Time between two log lines with the evidence about a version.
const EVIDENCE_LOG_INTERVAL: Millis = Millis(2_000);

/// Phase of a roll-out, which decides where requests of the service go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A small share of the sessions runs on the canary version.
    Sample,
    /// After the cutover: all requests go to the canary version, and attempts on the stable
    /// versions run to their end.
    Moved,
    /// Only endpoints of the canary version remain.
    Done,
    /// The canary version is bad and gets no more requests.
    Barred,
}

/// Group of versions whose endpoints serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseTrack {
    /// Endpoints of the stable versions.
    Stable,
    /// Endpoints of the version under roll-out.
    Canary,
}

impl ReleaseTrack {
    /// Returns the name of the track in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ReleaseTrack::Stable => "proven",
            ReleaseTrack::Canary => "new",
        }
    }
}

/// Immutable view of a roll-out that request routing uses.
#[derive(Clone, Debug, PartialEq)]
pub struct CanaryView {
    /// Canary version.
    pub version: VersionName,
    /// Last known phase, without the cutover, which depends on the time; see
    /// [`CanaryView::phase_at`].
    pub phase: Phase,
    /// Start of the initial sample. By then the hosts have reported to each other which sessions
    /// are active on the stable versions.
    pub sample_starts_at: Millis,
    /// Share of the sessions in the initial sample.
    pub initial_sample: f64,
    /// Time at which the sample grows. From then on, an active session may switch to the canary
    /// version, as all do at the cutover, and stays there.
    pub sample_grows_at: Millis,
    /// Share of the sessions in the sample after it has grown.
    pub grown_sample: f64,
    /// Share of the sessions whose requests are never sent to endpoints with concentrated load.
    pub unconcentrated_sample: f64,
    /// Share of the requests without a session that go to the canary version.
    pub sessionless_sample: f64,
    /// Like `sessionless_sample`, while the version looks bad without enough evidence.
    pub inconclusive_sessionless_sample: f64,
    /// Number of further sessionless requests that this host may send to the canary version before
    /// the cutover.
    pub extra_requests: f64,
    /// Limit on the requests that the canary version may get before the deadline.
    pub bound: ExposureBound,
    /// Time of the cutover. Hosts derive it from the order's age instead of acting on a message, so
    /// that all of them switch at nearly the same instant and no session meets one host before and
    /// another after the cutover.
    pub cutover_at: Millis,
}

/// Sample shares and cutover time of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SampleShares {
    /// Share of the sessions until the sample grows.
    initial: f64,
    /// Share of the sessions after the sample has grown.
    grown: f64,
    /// Cutover time as a fraction of the roll-out's duration.
    cutover_fraction: f64,
}

impl CanaryView {
    /// Returns the share of the sessions on the canary version at a time before the cutover.
    pub fn sample_at(&self, now: Millis) -> f64 {
        match now {
            _ if now < self.sample_starts_at => 0.0,
            _ if now < self.sample_grows_at => self.initial_sample,
            _ => self.grown_sample,
        }
    }

    /// Returns the phase at a given time, including the cutover.
    pub fn phase_at(&self, now: Millis) -> Phase {
        match self.phase {
            Phase::Sample if now >= self.cutover_at => Phase::Moved,
            phase => phase,
        }
    }
}

/// State of a roll-out on one host.
#[derive(Debug)]
pub struct Canary {
    /// Latest known order, with its progress.
    pub order: RolloutOrder,
    /// Start of the order on this host's clock, as early as any known age implies.
    started_at: Millis,
    /// Since when the version has had endpoints that may serve; `None` if it has none.
    available_since: Option<Millis>,
    /// Value of `started_at` in the last view given to request routing.
    published_start: Millis,
    /// Time at which this host barred the version; `None` if it has not.
    barred_at: Option<Millis>,
    /// Time at which the store turned out to have lost the completion; `None` if it has not.
    completed_at: Option<Millis>,
    /// Whether the version was barred on this host's own evaluation of the counts and not on
    /// another host's report.
    is_own_verdict: bool,
    /// Limit on the requests that the version may get before the deadline.
    bound: ExposureBound,
    /// Counts of responses from which the verdict is made.
    pub judge: Judge,
    /// Whether the version looks bad without enough evidence to bar it.
    pub is_inconclusive: bool,
    /// Time at which a pending progress write may be retried; `None` if none is pending.
    write_retry_at: Option<Millis>,
    /// Time of the last log line with the evidence.
    evidence_logged_at: Option<Millis>,
}

impl Canary {
    /// Starts tracking an order for a version with the given exposure bound.
    pub fn new(now: Millis, order: RolloutOrder, bound: ExposureBound) -> Canary {
        let mut canary = Canary {
            order,
            started_at: now,
            available_since: Some(Millis(0)),
            published_start: now,
            barred_at: None,
            completed_at: None,
            is_own_verdict: false,
            bound,
            judge: Judge::default(),
            is_inconclusive: false,
            write_retry_at: None,
            evidence_logged_at: None,
        };
        canary.update_start_from_progress(now);
        canary
    }

    /// Applies a newer state of the same store object. An order for another version replaces this
    /// roll-out; an older revision is ignored.
    pub fn update(&mut self, now: Millis, order: RolloutOrder) {
        if order.revision < self.order.revision {
            return;
        }
        if order.version != self.order.version {
            *self = Canary::new(now, order, self.bound);
            return;
        }
        let is_restored = era_of(order.revision) > era_of(self.order.revision);
        let phase = self.phase();
        self.order = order;
        self.write_retry_at = None;
        self.update_start_from_progress(now);
        // A restored store has lost a verdict that was written after its copy was made.
        if is_restored && self.phase() != phase {
            match phase {
                Phase::Barred => self.barred_at = Some(now),
                Phase::Done => self.completed_at = Some(now),
                Phase::Sample | Phase::Moved => {}
            }
        }
    }

    fn update_start_from_progress(&mut self, now: Millis) {
        if let Some(progress) = self.progress() {
            self.started_at = self.started_at.min(now - progress.elapsed);
        }
    }

    /// Returns the stored progress if it belongs to the current version.
    fn progress(&self) -> Option<&RolloutProgress> {
        self.order.progress.as_ref().filter(|p| p.version == self.order.version)
    }

    /// Updates the start time from the order's age as another host knows it, and reports whether
    /// the traffic view has to be rebuilt.
    pub fn update_start_from_peer(&mut self, now: Millis, age: Millis) -> bool {
        self.started_at = self.started_at.min(now - age);
        self.started_at + AGE_TOLERANCE <= self.published_start
    }

    /// Records whether the version has an endpoint that may serve.
    pub fn record_availability(&mut self, now: Millis, is_available: bool) {
        match is_available {
            true => drop(self.available_since.get_or_insert(now)),
            false => self.available_since = None,
        }
    }

    /// Reports whether the roll-out may be completed at this age of the order. The old endpoints
    /// stop with the completion, so the version must have had endpoints for at least the usual time
    /// between the cutover and the completion.
    fn may_complete(&self, now: Millis, write_delay: Millis, hosts: usize) -> bool {
        let completion_age = self.completion_age(hosts);
        let min_available_time = completion_age - self.cutover_age(hosts);
        self.age(now) >= completion_age + write_delay
            && self.available_since.is_some_and(|since| now >= since + min_available_time)
    }

    /// Returns the order's age.
    pub fn age(&self, now: Millis) -> Millis {
        now - self.started_at
    }

    /// Returns the share of the sessions in the initial sample: the stored value if it is valid,
    /// otherwise the value that this host would write.
    pub fn sample_share(&self, hosts: usize) -> f64 {
        let stored = self.progress().and_then(|p| p.sample);
        let is_valid = |s: &f64| (0.0..=MAX_SAMPLE_SHARE).contains(s);
        stored.filter(is_valid).unwrap_or_else(|| initial_sample_share(hosts, self.bound.share))
    }

    /// Calculates the sample shares and the cutover time.
    ///
    /// The initial sample of a large fleet uses less of the exposure bound than allowed. Most of
    /// the remainder goes to the grown sample, and the rest makes the cutover 0.01 of the duration
    /// earlier, which gives attempts on the stable version time to end. The cutover is as late as
    /// possible while both samples and all later traffic stay within the bound.
    fn sample_shares(&self, hosts: usize) -> SampleShares {
        let min_stable_share = 1.0 - self.bound.share.0 * (1.0 - RUNNING_ATTEMPTS_RESERVE);
        let (initial, full_share) = (self.sample_share(hosts), full_sample_share(self.bound.share));
        let constant_sample_cutover = min_stable_share / (1.0 - full_share);
        let grown =
            (full_share * constant_sample_cutover / SAMPLE_GROWTH_FRACTION - initial).max(initial);
        let cutover_fraction =
            (min_stable_share + SAMPLE_GROWTH_FRACTION * (initial - grown)) / (1.0 - grown);
        SampleShares { initial, grown, cutover_fraction: cutover_fraction.clamp(0.0, 1.0) }
    }

    /// Returns the order's age at the cutover.
    fn cutover_age(&self, hosts: usize) -> Millis {
        self.fraction_of_duration(self.sample_shares(hosts).cutover_fraction)
    }

    /// Returns the order's age at which the roll-out is completed.
    fn completion_age(&self, hosts: usize) -> Millis {
        let cutover_age = self.cutover_age(hosts);
        let remaining_ms = (self.order.duration - cutover_age).0 as f64;
        let fraction = if self.is_inconclusive {
            INCONCLUSIVE_COMPLETION_FRACTION
        } else {
            COMPLETION_FRACTION
        };
        cutover_age + Millis((remaining_ms * fraction) as u64)
    }

    /// Reports whether the cutover time has passed.
    pub fn has_cut_over(&self, now: Millis, hosts: usize) -> bool {
        now >= self.cutover_at(hosts)
    }

    /// Returns the time of the cutover, which may be in the past.
    pub fn cutover_at(&self, hosts: usize) -> Millis {
        self.started_at + self.cutover_age(hosts)
    }

    /// Creates the view for request routing. `propagation_time` is the time that an update takes to
    /// reach all `hosts`.
    pub fn view(&mut self, propagation_time: Millis, hosts: usize) -> CanaryView {
        self.published_start = self.started_at;
        let shares = self.sample_shares(hosts);
        CanaryView {
            version: self.order.version.clone(),
            phase: self.phase(),
            sample_starts_at: self.started_at + propagation_time + MIN_PROPAGATION_TIME,
            initial_sample: shares.initial,
            sample_grows_at: self.started_at + self.fraction_of_duration(SAMPLE_GROWTH_FRACTION),
            grown_sample: shares.grown,
            unconcentrated_sample: shares.grown * UNCONCENTRATED_FRACTION,
            sessionless_sample: full_sample_share(self.bound.share),
            inconclusive_sessionless_sample: full_sample_share(self.bound.share)
                + self.bound.share.0 * RUNNING_ATTEMPTS_RESERVE,
            extra_requests: self.bound.extra_requests(hosts),
            bound: self.bound,
            cutover_at: self.started_at + self.fraction_of_duration(shares.cutover_fraction),
        }
    }

    /// Returns the phase without regard to the cutover, which depends on the time alone.
    pub fn phase(&self) -> Phase {
        match self.progress() {
            Some(p) if p.state == RolloutState::RolledBack => Phase::Barred,
            Some(p) if p.state == RolloutState::Completed => Phase::Done,
            _ if self.completed_at.is_some() => Phase::Done,
            _ if self.barred_at.is_some() => Phase::Barred,
            _ => Phase::Sample,
        }
    }

    /// Judges the version on the combined tally of all hosts, and returns the reason if this call
    /// bars it. `basis_since_cutover` covers only the tallies that were reported after the cutover.
    pub fn judge(
        &mut self,
        now: Millis,
        tally: &Tally,
        basis: VerdictBasis,
        basis_since_cutover: VerdictBasis,
    ) -> Option<BarReason> {
        let is_undecided = self.phase() == Phase::Sample;
        self.is_inconclusive = is_undecided && tally.is_inconclusive();
        let bar_reason =
            tally.bar_reason(basis).or_else(|| tally.bar_reason_since_cutover(basis_since_cutover));
        let bar_reason = bar_reason.filter(|_| is_undecided)?;
        self.is_own_verdict = self.bar(now);
        self.is_own_verdict.then_some(bar_reason)
    }

    /// Bars the version on this host's or another host's verdict, and reports whether it was not
    /// barred or completed before.
    pub fn bar(&mut self, now: Millis) -> bool {
        let is_newly_barred = self.phase() == Phase::Sample;
        if is_newly_barred {
            self.barred_at = Some(now);
            self.write_retry_at = None;
        }
        is_newly_barred
    }

    /// Reports whether the evidence is due to be logged, and if so records it as logged now.
    pub fn is_log_due(&mut self, now: Millis) -> bool {
        let is_undecided = self.phase() == Phase::Sample;
        let is_due = is_undecided
            && self.evidence_logged_at.is_none_or(|at| now >= at + EVIDENCE_LOG_INTERVAL);
        if is_due {
            self.evidence_logged_at = Some(now);
        }
        is_due
    }

    /// Reports whether the roll-out is completed or its version is barred, so that no further
    /// evidence is needed.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase(), Phase::Done | Phase::Barred)
    }

    /// Returns how long this host delays the next write so that others can make it first. After the
    /// cutover, a host that has found the version bad itself writes without delay, because a
    /// completion that is written first cannot be undone.
    pub fn write_delay(&self, now: Millis, writer: ProgressWriter, hosts: usize) -> Millis {
        if self.barred_at.is_none() && self.has_cut_over(now, hosts) {
            let remaining_ms = (self.order.duration - self.cutover_age(hosts)).0 as f64;
            let delay = match writer {
                ProgressWriter { collects_tallies: true, .. } => 0.0,
                ProgressWriter { watches_store: true, .. } => WATCHER_COMPLETION_DELAY,
                _ => NON_WATCHER_COMPLETION_DELAY,
            };
            return Millis(
                (remaining_ms * (delay + writer.stagger_fraction * COMPLETION_STAGGER)) as u64,
            );
        }
        if self.is_own_verdict && self.barred_at.is_some_and(|at| self.has_cut_over(at, hosts)) {
            return Millis(0);
        }
        let delay = if writer.watches_store { Millis(0) } else { NON_WATCHER_WRITE_DELAY };
        delay + Millis((writer.stagger_fraction * MAX_WRITE_STAGGER.0 as f64) as u64)
    }

    /// Reports whether this host is about to complete the roll-out.
    pub fn is_completion_due(&self, now: Millis, write_delay: Millis, hosts: usize) -> bool {
        let is_write_pending = self.write_retry_at.is_some_and(|until| now < until);
        let is_due = self.may_complete(now, write_delay, hosts);
        is_due && !is_write_pending && self.phase() == Phase::Sample
    }

    /// Returns the progress to write now, if any, and blocks further writes for `retry_after`.
    /// `write_delay` is the time that this host leaves others to make the write first.
    pub fn take_due_write(
        &mut self,
        now: Millis,
        write_delay: Millis,
        retry_after: Millis,
        hosts: usize,
    ) -> Option<ProgressWrite> {
        if self.write_retry_at.is_some_and(|until| now < until) {
            return None;
        }
        let progress = RolloutProgress {
            sample: Some(self.sample_share(hosts)),
            ..self.next_progress(now, write_delay, hosts)?
        };
        self.write_retry_at = Some(now + retry_after);
        let revision = self.order.revision;
        Some(ProgressWrite { service: self.order.service.clone(), revision, progress })
    }

    /// Returns the given fraction of the roll-out's duration.
    fn fraction_of_duration(&self, fraction: f64) -> Millis {
        Millis((self.order.duration.0 as f64 * fraction) as u64)
    }

    fn next_progress(
        &self,
        now: Millis,
        write_delay: Millis,
        hosts: usize,
    ) -> Option<RolloutProgress> {
        let elapsed = now - self.started_at;
        let version = self.order.version.clone();
        let with_state = |state| RolloutProgress { state, version, elapsed, sample: None };
        let stored = self.progress();
        if let Some(RolloutState::Completed | RolloutState::RolledBack) = stored.map(|p| p.state) {
            return None;
        }
        if let Some(since) = self.completed_at {
            return (now >= since + write_delay).then(|| with_state(RolloutState::Completed));
        }
        if let Some(since) = self.barred_at {
            let is_write_due = now >= since + write_delay;
            return is_write_due.then(|| with_state(RolloutState::RolledBack));
        }
        if self.may_complete(now, write_delay, hosts) {
            return Some(with_state(RolloutState::Completed));
        }
        // While the version has no endpoints, nothing follows that a host has to know.
        if stored.is_some_and(|p| p.elapsed >= self.order.duration) {
            return None;
        }
        let due_after = self.fraction_of_duration(PROGRESS_WRITE_INTERVAL) + write_delay;
        let is_due = stored.is_none_or(|p| elapsed >= p.elapsed + due_after);
        let has_waited = stored.is_some() || elapsed >= write_delay;
        (is_due && has_waited).then(|| with_state(RolloutState::InProgress))
    }
}
