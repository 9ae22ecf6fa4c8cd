//! Roll-outs: how much traffic a new version gets, and what is written down about it.
//!
//! For most of its time a fixed small share of the sessions is on the new version (`exposure`), in a large fleet
//! a larger one in the second half, which goes to a few endpoints at a time (`loading`). Shortly
//! before the deadline all requests move there, at one instant of the order's age, and none goes back; soon
//! after that the roll-out is completed. Nobody knows of a version whether it is bad in a way that has not
//! shown yet, so no verdict is needed to keep its share of all requests under the bound: the times alone do.
//!
//! The hosts judge on what they saw together (`judge`); the first that finds the version bad bars it at once,
//! tells the others, and writes so to the store. That and the end are writes of whichever host is first,
//! under the object's revision.

use crate::ids::{ServiceId, VersionName};
use crate::traffic::exposure::{
    full_sample_share, initial_sample_share, ExposureBound, MAX_SAMPLE_SHARE,
};
use crate::traffic::judge::{BarReason, Judge, Tally};
use crate::traffic::verdict_basis::VerdictBasis;
use crate::units::{Millis, Share};

/// Difference in an order's age for which traffic's view is made anew: messages differ by a few
/// milliseconds on their way.
const AGE_TOLERANCE: Millis = Millis(15);

/// Time that the hosts have at least to tell each other their sessions before a sample begins.
const MIN_PROPAGATION_TIME: Millis = Millis(500);

/// What a version may get from its order to its deadline, where the settings name nothing.
pub const DEFAULT_EXPOSURE_BOUND: ExposureBound =
    ExposureBound { share: Share(0.15), allowance: 0 };

/// Part of the bound that is kept for runs which the old version had not ended when it stops, and which go on
/// at the new one: the requests of about a second of a roll-out of 24 s.
const RUNNING_ATTEMPTS_RESERVE: f64 = 0.2;

/// Part of the roll-out's time after which the sample grows, in fleets in which it was small: a session stays on
/// its version through the first half, and hosts know the order's age to some milliseconds.
const SAMPLE_GROWTH_FRACTION: f64 = 0.53;

/// Part of the grown sample that goes on to endpoints with little to do.
const UNCONCENTRATED_FRACTION: f64 = 0.1;

/// Part of the time between the move and the deadline after which the roll-out is completed. What the old
/// version still runs has that time to end, and what fails only once all traffic is there to show; the rest is for the
/// write to be taken.
const COMPLETION_FRACTION: f64 = 0.55;

/// The same while the version is in doubt: more answers come until then.
const INCONCLUSIVE_COMPLETION_FRACTION: f64 = 0.65;

/// Parts of that time for which hosts leave the end to those that collect the counts: hosts that watch the store, the
/// others, and the turns within each.
const WATCHER_COMPLETION_DELAY: f64 = 0.15;
const NON_WATCHER_COMPLETION_DELAY: f64 = 0.35;
const COMPLETION_STAGGER: f64 = 0.03;

/// Longest that a host leaves a write before the end to others; hosts draw their turn within it.
const MAX_WRITE_STAGGER: Millis = Millis(400);

/// How long a host that does not watch the store leaves such a write to those that do: some rounds more than
/// a write needs to be known everywhere.
const NON_WATCHER_WRITE_DELAY: Millis = Millis(1_500);

/// Progress is written down in steps of this part, for hosts that start in between.
const PROGRESS_WRITE_INTERVAL: f64 = 0.4;

/// Time between two lines of the log on what is known of a version.
const EVIDENCE_LOG_INTERVAL: Millis = Millis(2_000);

/// What the store holds of a roll-out's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// It goes on.
    InProgress,
    /// The new version is in place; the old endpoints stop.
    Completed,
    /// The new version was bad; its endpoints leave.
    RolledBack,
}

/// How far a roll-out has come, as the hosts write it down.
#[derive(Clone, Debug, PartialEq)]
pub struct Progress {
    /// Its state.
    pub state: RolloutState,
    /// The version the state is about.
    pub version: VersionName,
    /// Time since the order, as the writer knew it.
    pub elapsed: Millis,
    /// Share of the sessions that meet the new version first, so that all hosts sample the same ones.
    pub sample: Option<f64>,
}

/// An operator's order to bring a version in, with what the hosts have written about it.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceId,
    /// The new version.
    pub version: VersionName,
    /// Time from the order to its deadline.
    pub duration: Millis,
    /// Revision of the object's last change.
    pub revision: u64,
    /// Progress written down, if any; it may be about an earlier order.
    pub progress: Option<Progress>,
}

/// A change of a roll-out's progress to be written under the order's revision.
#[derive(Clone, Debug, PartialEq)]
pub struct ProgressWrite {
    /// The service.
    pub service: ServiceId,
    /// The revision it is based on.
    pub revision: u64,
    /// The progress.
    pub progress: Progress,
}

/// A host's place among those that may write a roll-out's progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgressWriter {
    /// Whether it watches the store, and so hears first what others wrote.
    pub watches_store: bool,
    /// Whether all hosts tell it their counts once all traffic has moved.
    pub collects_tallies: bool,
    /// Its turn among its like, from 0 up to 1.
    pub stagger_fraction: f64,
}

/// Where requests of a service go with respect to a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A small share of the sessions is on the new version.
    Sample,
    /// All requests go to the new version, and the old ones end.
    Moved,
    /// Only the new version is remaining_ms.
    Done,
    /// The new version is bad; nothing goes there.
    Barred,
}

/// Which endpoints a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseTrack {
    /// Those of the proven versions.
    Stable,
    /// Those of the version under roll-out.
    Canary,
}

impl ReleaseTrack {
    /// Gets the word for it in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ReleaseTrack::Stable => "proven",
            ReleaseTrack::Canary => "new",
        }
    }
}

/// A roll-out as traffic sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct CanaryView {
    /// The new version.
    pub version: VersionName,
    /// Where requests go.
    pub phase: Phase,
    /// When the first half's sample begins: by then the hosts have told each other which sessions
    /// are at work on the proven versions.
    pub sample_starts_at: Millis,
    /// Share of the sessions in the sample.
    pub initial_sample: f64,
    /// When the sample grows: from then on a session may move to the new version, as all do at the move, and
    /// stays there.
    pub sample_grows_at: Millis,
    /// Share of the sessions in the sample from then on.
    pub grown_sample: f64,
    /// Share of the sessions whose requests are never given to loaded endpoints.
    pub unconcentrated_sample: f64,
    /// Share of the requests that belong to no session in the sample.
    pub sessionless_sample: f64,
    /// The same while the version is in doubt.
    pub inconclusive_sessionless_sample: f64,
    /// Such requests that this host sends there besides, up to the move.
    pub extra_requests: f64,
    /// What the version may get of all requests.
    pub bound: ExposureBound,
    /// When all traffic moves. Hosts move at one instant, as near as they know the order's age, and not
    /// as they hear of it: a session must not find one host moved and the next one not.
    pub cutover_at: Millis,
}

/// Shares of a service's sessions that meet a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SampleShares {
    /// Share of the first part of the time.
    initial: f64,
    /// Share from then on.
    grown: f64,
    /// Part of the time at which all traffic moves.
    cutover_fraction: f64,
}

impl CanaryView {
    /// Gets the share of the sessions that meet the new version, before all move.
    pub fn sample_at(&self, now: Millis) -> f64 {
        match now {
            _ if now < self.sample_starts_at => 0.0,
            _ if now < self.sample_grows_at => self.initial_sample,
            _ => self.grown_sample,
        }
    }

    /// Gets where requests go at an instant.
    pub fn phase_at(&self, now: Millis) -> Phase {
        match self.phase {
            Phase::Sample if now >= self.cutover_at => Phase::Moved,
            phase => phase,
        }
    }
}

/// A roll-out as one host sees it.
#[derive(Debug)]
pub struct Canary {
    /// The order.
    pub order: RolloutOrder,
    /// When the order began, by this host's clock as far as it knows.
    started_at: Millis,
    /// The same, as traffic's view shows it.
    published_start: Millis,
    /// When this host took the version for bad, if it did.
    barred_at: Option<Millis>,
    /// Whether it did so on the counts, and not on another host's word.
    is_own_verdict: bool,
    /// What the version may get of all requests before the deadline.
    bound: ExposureBound,
    /// The judgement.
    pub judge: Judge,
    /// Whether the version looks bad, but not clearly so.
    pub is_inconclusive: bool,
    /// Progress that is being written, and when it may be tried again.
    write_retry_at: Option<Millis>,
    /// When its evidence was logged last.
    evidence_logged_at: Option<Millis>,
}

impl Canary {
    /// Takes up an order of a version that may get so much of the requests before the deadline.
    pub fn new(now: Millis, order: RolloutOrder, bound: ExposureBound) -> Canary {
        let mut canary = Canary {
            order,
            started_at: now,
            published_start: now,
            barred_at: None,
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

    /// Takes a newer state of the same object; another version begins a new trial.
    pub fn update(&mut self, now: Millis, order: RolloutOrder) {
        if order.revision < self.order.revision {
            return;
        }
        if order.version != self.order.version {
            *self = Canary::new(now, order, self.bound);
            return;
        }
        self.order = order;
        self.write_retry_at = None;
        self.update_start_from_progress(now);
    }

    fn update_start_from_progress(&mut self, now: Millis) {
        if let Some(progress) = self.progress() {
            self.started_at = self.started_at.min(now - progress.elapsed);
        }
    }

    /// Gets the written progress, if it is about this order.
    fn progress(&self) -> Option<&Progress> {
        self.order.progress.as_ref().filter(|p| p.version == self.order.version)
    }

    /// Takes the age of the order as another host knows it; tells whether traffic should know.
    pub fn update_start_from_peer(&mut self, now: Millis, age: Millis) -> bool {
        self.started_at = self.started_at.min(now - age);
        self.started_at + AGE_TOLERANCE <= self.published_start
    }

    /// Gets the order's age.
    pub fn age(&self, now: Millis) -> Millis {
        now - self.started_at
    }

    /// Gets the share of the sessions that meet the new version first: what is written, or what this
    /// host would write.
    pub fn sample_share(&self, hosts: usize) -> f64 {
        let written = self.progress().and_then(|p| p.sample);
        let is_valid = |s: &f64| (0.0..=MAX_SAMPLE_SHARE).contains(s);
        written.filter(is_valid).unwrap_or_else(|| initial_sample_share(hosts, self.bound.share))
    }

    /// Gets the shares of the roll-out. Most of what a large fleet's smaller sample leaves of the bound goes to the
    /// grown one, and lets all traffic move 0.01 of the time sooner, for the old runs to end; it moves as late as
    /// keeps both samples and everything after them within the bound.
    fn shares(&self, hosts: usize) -> SampleShares {
        let min_stable_share = 1.0 - self.bound.share.0 * (1.0 - RUNNING_ATTEMPTS_RESERVE);
        let (initial, full_share) = (self.sample_share(hosts), full_sample_share(self.bound.share));
        let uniform_cutover = min_stable_share / (1.0 - full_share);
        let grown = (full_share * uniform_cutover / SAMPLE_GROWTH_FRACTION - initial).max(initial);
        let cutover_fraction =
            (min_stable_share + SAMPLE_GROWTH_FRACTION * (initial - grown)) / (1.0 - grown);
        SampleShares { initial, grown, cutover_fraction: cutover_fraction.clamp(0.0, 1.0) }
    }

    /// Gets the order's age at which all traffic moves.
    fn cutover_age(&self, hosts: usize) -> Millis {
        self.fraction_of_duration(self.shares(hosts).cutover_fraction)
    }

    /// Gets the order's age at which the roll-out is completed.
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

    /// Tells whether all traffic has moved.
    pub fn has_cut_over(&self, now: Millis, hosts: usize) -> bool {
        now >= self.cutover_at(hosts)
    }

    /// Gets when all traffic moves, or moved.
    pub fn cutover_at(&self, hosts: usize) -> Millis {
        self.started_at + self.cutover_age(hosts)
    }

    /// Gets the roll-out as traffic sees it; `propagation_time` is the time that news takes to tally `hosts`.
    pub fn view(&mut self, propagation_time: Millis, hosts: usize) -> CanaryView {
        self.published_start = self.started_at;
        let shares = self.shares(hosts);
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

    /// Gets where requests go, but for the move: that is the clock's.
    pub fn phase(&self) -> Phase {
        match self.progress() {
            Some(p) if p.state == RolloutState::RolledBack => Phase::Barred,
            Some(p) if p.state == RolloutState::Completed => Phase::Done,
            _ if self.barred_at.is_some() => Phase::Barred,
            _ => Phase::Sample,
        }
    }

    /// Judges the version by the counts of all hosts; tells in what it is bad, if it is barred by that. `basis_since_cutover` is
    /// the basis of those that were told since all traffic moved.
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

    /// Bars the version, on this host's or another's judgement; tells whether that is news.
    pub fn bar(&mut self, now: Millis) -> bool {
        let is_newly_barred = self.phase() == Phase::Sample;
        if is_newly_barred {
            self.barred_at = Some(now);
            self.write_retry_at = None;
        }
        is_newly_barred
    }

    /// Tells whether its evidence is to be logged now; it is then taken as logged.
    pub fn is_log_due(&mut self, now: Millis) -> bool {
        let is_undecided = self.phase() == Phase::Sample;
        let is_due = is_undecided
            && self.evidence_logged_at.is_none_or(|at| now >= at + EVIDENCE_LOG_INTERVAL);
        if is_due {
            self.evidence_logged_at = Some(now);
        }
        is_due
    }

    /// Tells whether nothing is to be found out about the version any more.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase(), Phase::Done | Phase::Barred)
    }

    /// Gets how long a host leaves the next write to others. Once all traffic has moved, whoever finds the version bad
    /// writes it at once: a completion that comes first cannot be taken back.
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

    /// Tells whether the roll-out is about to be completed by this host.
    pub fn is_completion_due(&self, now: Millis, write_delay: Millis, hosts: usize) -> bool {
        let is_write_pending = self.write_retry_at.is_some_and(|until| now < until);
        let is_due = self.age(now) >= self.completion_age(hosts) + write_delay;
        is_due && !is_write_pending && self.phase() == Phase::Sample
    }

    /// Gets the progress to be written now, if any. `write_delay` is this host's place in the order of
    /// writers, as a time: others may be first.
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
        let progress = Progress {
            sample: Some(self.sample_share(hosts)),
            ..self.next_progress(now, write_delay, hosts)?
        };
        self.write_retry_at = Some(now + retry_after);
        let revision = self.order.revision;
        Some(ProgressWrite { service: self.order.service.clone(), revision, progress })
    }

    /// Gets a part of the roll-out's time.
    fn fraction_of_duration(&self, fraction: f64) -> Millis {
        Millis((self.order.duration.0 as f64 * fraction) as u64)
    }

    fn next_progress(&self, now: Millis, write_delay: Millis, hosts: usize) -> Option<Progress> {
        let elapsed = now - self.started_at;
        let version = self.order.version.clone();
        let with_state = |state| Progress { state, version, elapsed, sample: None };
        let written = self.progress();
        if let Some(RolloutState::Completed | RolloutState::RolledBack) = written.map(|p| p.state) {
            return None;
        }
        if let Some(since) = self.barred_at {
            let is_write_due = now >= since + write_delay;
            return is_write_due.then(|| with_state(RolloutState::RolledBack));
        }
        if elapsed >= self.completion_age(hosts) + write_delay {
            return Some(with_state(RolloutState::Completed));
        }
        let due_after = self.fraction_of_duration(PROGRESS_WRITE_INTERVAL) + write_delay;
        let is_due = written.is_none_or(|p| elapsed >= p.elapsed + due_after);
        let has_waited = written.is_some() || elapsed >= write_delay;
        (is_due && has_waited).then(|| with_state(RolloutState::InProgress))
    }
}
