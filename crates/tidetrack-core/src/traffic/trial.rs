//! Roll-outs: how much traffic a new version gets, and when it is judged.
//!
//! A roll-out has two halves. In the first, a fixed small share of the sessions is on the new
//! version, drawn by hash so that every host draws alike, and each host keeps to the share on its own
//! count, so the bound holds without a message. In the second, all requests go to the new version,
//! and none goes back. Every host judges from what it sees itself; the first that finds the version
//! bad bars it at once and writes so to the store, where all others read it. The step from half to
//! half and the end are writes of whichever host is first, under the object's revision.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::{EndpointId, ModelId, RouteId, ServiceId, VersionName};
use crate::placement::draw;
use crate::units::Millis;

/// Share of sessions on the new version in the first half: half of the usual bound of 0.15, so that a
/// host hardly ever meets the bound below and has to move a session off the new version for it.
const FIRST_SHARE: f64 = 0.07;

/// Share of a host's requests that may meet the new version in the first half.
const MOST_SHARE: f64 = 0.14;

/// Requests that a host may send to the new version before the share counts.
const FREE_EXPOSURE: u64 = 6;

/// Sessions that one message tells at most.
const MOST_TOLD: usize = 200;

/// Time that the hosts have at least to tell each other their sessions before a sample begins.
const LEAST_SPREAD: Millis = Millis(500);

/// Part of the time after which all traffic moves. Over a half, for hosts learn of the order at
/// slightly different times and sessions must not move early.
const MOVE_AT: f64 = 0.56;

/// Part of the time after which the roll-out is completed; what the old version still runs has the
/// time since the move to end.
const COMPLETE_AT: f64 = 0.86;

/// Progress is written down in steps of this part, for hosts that start in between.
const PROGRESS_STEP: f64 = 0.4;

/// Failed answers that bar the version, over all hosts.
const FAILED_TO_BAR: f32 = 3.5;

/// Least share of failed answers that bars the version.
const FAILED_SHARE: f32 = 0.17;

/// Least multiple of the proven versions' share of failed answers.
const FAILED_TIMES: f32 = 2.5;

/// Failed or slow answers that bar the version: more, for load makes answers slow too.
const BAD_TO_BAR: f32 = 6.0;

/// Least share of failed or slow answers that bars the version.
const BAD_SHARE: f32 = 0.3;

/// Least multiple of the proven versions' share of failed or slow answers.
const BAD_TIMES: f32 = 2.5;

/// Counts halve in this time, so that a version which turns bad late is found as soon as one that
/// was bad from the start.
const HALF_LIFE_MS: f32 = 4_000.0;

/// Weight of the newest value in a running mean.
const MEAN_WEIGHT: f64 = 0.05;

/// An answer is slow past this multiple of the old version's mean.
const SLOW_TIMES: f64 = 3.5;

/// Slack of a slow answer over the old version's mean, for small means, in milliseconds.
const SLOW_SLACK_MS: f64 = 40.0;

/// Answers of the old version before its mean says anything.
const LEAST_SEEN: u32 = 8;

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
    /// Whether all traffic has moved.
    pub has_moved: bool,
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

/// Where requests of a service go with respect to a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// A small share of the sessions is on the new version.
    Sample,
    /// All requests go to the new version, and the old ones end.
    Moved,
    /// Only the new version is left.
    Done,
    /// The new version is bad; nothing goes there.
    Barred,
}

/// Which endpoints a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Those of the proven versions.
    Proven,
    /// Those of the version under roll-out.
    New,
}

/// A roll-out as traffic sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialView {
    /// The new version.
    pub version: VersionName,
    /// Where requests go.
    pub phase: Phase,
    /// When the first half's sample begins: by then the hosts have told each other which sessions
    /// are at work on the proven versions.
    pub sample_from: Millis,
}

/// Names a session in messages.
pub type SessionKey = u32;

/// Who a request belongs to, for the draw of versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SessionDraw {
    /// The session; `None` for a request that stands alone.
    pub session: Option<SessionKey>,
    /// Its draw, from 0 up to 1; the same at every host.
    pub draw: f64,
}

impl SessionDraw {
    /// Draws for a session, or for a request that has none.
    pub fn new(session: Option<&str>, request: &str) -> SessionDraw {
        SessionDraw {
            session: session.map(|name| xxh3_64(name.as_bytes()) as SessionKey),
            draw: draw("version", session.unwrap_or(request)),
        }
    }
}

/// Sessions and counts of one service at one host, for the share of a new version.
///
/// A session that is at work on a proven version when a roll-out begins must stay there in its first
/// half. Only sessions whose draw would move them matter, so each host remembers just those it saw
/// of late, and the hosts tell them to each other while a roll-out is in its first half.
#[derive(Debug, Default)]
pub struct Exposure {
    all: AtomicU64,
    new: AtomicU64,
    held: Mutex<HashMap<SessionKey, Held>>,
}

/// A session that stays on the proven versions.
#[derive(Clone, Copy, Debug)]
struct Held {
    until: Millis,
    /// Whether this host saw it itself, and so tells it to others.
    is_own: bool,
}

impl Exposure {
    /// Decides where a request goes. `can_try` tells whether the new version has an endpoint.
    pub fn side(
        &self,
        now: Millis,
        who: SessionDraw,
        trial: Option<&TrialView>,
        can_try: bool,
        session_time: Millis,
    ) -> Side {
        match trial.map(|t| t.phase) {
            Some(Phase::Moved | Phase::Done) => return Side::New,
            Some(Phase::Barred) => return Side::Proven,
            Some(Phase::Sample) => drop(self.all.fetch_add(1, Ordering::Relaxed)),
            None => {}
        }
        if who.draw >= FIRST_SHARE {
            return Side::Proven;
        }
        let is_open = can_try && trial.is_some_and(|t| now >= t.sample_from);
        if is_open && self.has_room() && !self.is_held(now, who) {
            return Side::New;
        }
        self.hold(now, who, session_time);
        Side::Proven
    }

    /// Counts a request sent to the new version.
    pub fn sent_to_new(&self) {
        self.new.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes note that a session is at work on a proven version.
    pub fn hold(&self, now: Millis, who: SessionDraw, session_time: Millis) {
        if let Some(session) = who.session.filter(|_| who.draw < FIRST_SHARE) {
            let held = Held { until: now + session_time, is_own: true };
            self.held.lock().expect("no holder of the lock panics").insert(session, held);
        }
    }

    /// Takes sessions that another host tells.
    pub fn hold_told(&self, now: Millis, sessions: &[SessionKey], session_time: Millis) {
        let mut all = self.held.lock().expect("no holder of the lock panics");
        for session in sessions {
            let held = all.entry(*session).or_insert(Held { until: now, is_own: false });
            held.until = held.until.max(now + session_time);
        }
    }

    /// Lists the sessions that this host saw itself, and forgets those that have ended.
    pub fn own_held(&self, now: Millis) -> Vec<SessionKey> {
        let mut all = self.held.lock().expect("no holder of the lock panics");
        all.retain(|_, held| now < held.until);
        all.iter().filter(|(_, h)| h.is_own).map(|(s, _)| *s).take(MOST_TOLD).collect()
    }

    fn is_held(&self, now: Millis, who: SessionDraw) -> bool {
        let all = self.held.lock().expect("no holder of the lock panics");
        who.session.and_then(|s| all.get(&s)).is_some_and(|held| now < held.until)
    }

    fn has_room(&self) -> bool {
        let all = self.all.load(Ordering::Relaxed) as f64;
        self.new.load(Ordering::Relaxed) < (all * MOST_SHARE) as u64 + FREE_EXPOSURE
    }
}

/// What was seen of one answer, for the judgement of versions.
#[derive(Clone, Debug)]
pub struct Observed {
    /// The service.
    pub service: ServiceId,
    /// The version under roll-out, if the endpoint runs it.
    pub new_version: Option<VersionName>,
    /// The endpoint that answered.
    pub endpoint: EndpointId,
    /// The request's route.
    pub route: RouteId,
    /// The model, if it is an engine.
    pub model: Option<ModelId>,
    /// Whether the answer was a failure of the endpoint's.
    pub failed: bool,
    /// Milliseconds to the head of the answer.
    pub head_ms: Option<f64>,
    /// Mean milliseconds between the events of a stream.
    pub gap_ms: Option<f64>,
}

/// A running mean.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    seen: u32,
}

impl Mean {
    fn add(&mut self, value: f64) {
        self.seen += 1;
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.seen));
        self.value += (value - self.value) * weight;
    }

    fn is_slow(&self, value: f64) -> bool {
        self.seen >= LEAST_SEEN && value > self.value * SLOW_TIMES + SLOW_SLACK_MS
    }
}

/// What is usual for a kind of request on the proven versions.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    head: Mean,
    gap: Mean,
}

/// Counts of answers, which fade with time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Count {
    /// All answers.
    pub all: f32,
    /// Those that failed.
    pub failed: f32,
    /// Those that failed or were slow.
    pub bad: f32,
}

impl Count {
    fn add(&mut self, failed: bool, slow: bool) {
        self.all += 1.0;
        self.failed += f32::from(u8::from(failed));
        self.bad += f32::from(u8::from(failed || slow));
    }

    fn fade(&mut self, part: f32) {
        self.all *= part;
        self.failed *= part;
        self.bad *= part;
    }

    fn sum(&mut self, other: &Count) {
        self.all += other.all;
        self.failed += other.failed;
        self.bad += other.bad;
    }

    fn share(&self, part: f32) -> f32 {
        part / self.all.max(1.0)
    }
}

/// What one host counted of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Answers of the new version.
    pub new: Count,
    /// Answers of the proven versions.
    pub proven: Count,
    /// Names one endpoint with a bad answer of the new version; 0 if there was none.
    pub bad_endpoint: u32,
    /// Whether several endpoints gave bad answers.
    pub several: bool,
}

impl Tally {
    fn fade(&mut self, age: Millis) {
        let part = (-(age.0 as f32) / HALF_LIFE_MS).exp2();
        self.new.fade(part);
        self.proven.fade(part);
    }

    fn note_bad(&mut self, endpoint: u32) {
        self.several |= self.bad_endpoint != 0 && self.bad_endpoint != endpoint;
        self.bad_endpoint = endpoint;
    }

    /// Adds another host's counts of some age.
    pub fn add(&mut self, mut other: Tally, age: Millis) {
        other.fade(age);
        self.new.sum(&other.new);
        self.proven.sum(&other.proven);
        self.several |= other.several;
        if other.bad_endpoint != 0 {
            self.note_bad(other.bad_endpoint);
        }
    }

    /// A version is bad when its share of failed or bad answers is high, well over the proven
    /// versions', and not the doing of one endpoint.
    pub fn shows_bad(&self, endpoints: usize) -> bool {
        let (new, proven) = (&self.new, &self.proven);
        let over = |least: f32, times: f32, usual: f32| least.max(usual * times);
        let usual_failed = proven.share(proven.failed);
        let fails = new.failed >= FAILED_TO_BAR
            && new.share(new.failed) >= over(FAILED_SHARE, FAILED_TIMES, usual_failed);
        let usual_bad = proven.share(proven.bad);
        let is_bad =
            new.bad >= BAD_TO_BAR && new.share(new.bad) >= over(BAD_SHARE, BAD_TIMES, usual_bad);
        (fails || is_bad) && (self.several || endpoints < 2)
    }
}

/// One host's counts of a roll-out, and what it holds usual.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    usual: BTreeMap<(RouteId, Option<ModelId>), Usual>,
    tally: Tally,
    counted_at: Millis,
}

impl Judge {
    /// Gets the counts as of now.
    pub fn tally(&mut self, now: Millis) -> Tally {
        self.tally.fade(now - self.counted_at);
        self.counted_at = now;
        self.tally
    }

    /// Takes an answer of a proven version.
    pub fn see_proven(&mut self, now: Millis, seen: &Observed) {
        let slow = self.is_slow(seen);
        self.tally(now);
        self.tally.proven.add(seen.failed, slow);
        if seen.failed {
            return;
        }
        let usual = self.usual.entry((seen.route.clone(), seen.model.clone())).or_default();
        if let Some(ms) = seen.head_ms {
            usual.head.add(ms);
        }
        if let Some(ms) = seen.gap_ms {
            usual.gap.add(ms);
        }
    }

    /// Takes an answer of the new version. Slowness counts only beside the proven versions, under
    /// the same load.
    pub fn see_new(&mut self, now: Millis, seen: &Observed, beside_proven: bool) {
        let slow = beside_proven && self.is_slow(seen);
        self.tally(now);
        self.tally.new.add(seen.failed, slow);
        if seen.failed || slow {
            // Zero stands for none.
            let name = xxh3_64(seen.endpoint.as_str().as_bytes()) as u32;
            self.tally.note_bad(name.max(1));
        }
    }

    fn is_slow(&self, seen: &Observed) -> bool {
        let Some(usual) = self.usual.get(&(seen.route.clone(), seen.model.clone())) else {
            return false;
        };
        seen.head_ms.is_some_and(|ms| usual.head.is_slow(ms))
            || seen.gap_ms.is_some_and(|ms| usual.gap.is_slow(ms))
    }
}

/// A roll-out as one host sees it.
#[derive(Debug)]
pub struct Trial {
    /// The order.
    pub order: RolloutOrder,
    /// When the order began, by this host's clock as far as it knows.
    began: Millis,
    /// Whether this host found the version bad.
    is_bad: bool,
    /// The judgement.
    pub judge: Judge,
    /// Progress that is being written, and when it may be tried again.
    writing_until: Option<Millis>,
}

impl Trial {
    /// Takes up an order.
    pub fn new(now: Millis, order: RolloutOrder) -> Trial {
        let mut trial = Trial {
            order,
            began: now,
            is_bad: false,
            judge: Judge::default(),
            writing_until: None,
        };
        trial.learn_age(now);
        trial
    }

    /// Takes a newer state of the same object; another version begins a new trial.
    pub fn update(&mut self, now: Millis, order: RolloutOrder) {
        if order.revision < self.order.revision {
            return;
        }
        if order.version != self.order.version {
            let judge = std::mem::take(&mut self.judge);
            *self = Trial::new(now, order);
            // What is usual on the proven versions stays known.
            self.judge.usual = judge.usual;
            return;
        }
        self.order = order;
        self.writing_until = None;
        self.learn_age(now);
    }

    fn learn_age(&mut self, now: Millis) {
        if let Some(progress) = self.progress() {
            self.began = self.began.min(now - progress.elapsed);
        }
    }

    /// Gets the written progress, if it is about this order.
    fn progress(&self) -> Option<&Progress> {
        self.order.progress.as_ref().filter(|p| p.version == self.order.version)
    }

    /// Gets the roll-out as traffic sees it; `spread` is the time that news takes to all hosts.
    pub fn view(&self, spread: Millis) -> TrialView {
        TrialView {
            version: self.order.version.clone(),
            phase: self.phase(),
            sample_from: self.began + spread + LEAST_SPREAD,
        }
    }

    /// Gets where requests go.
    pub fn phase(&self) -> Phase {
        match self.progress() {
            Some(p) if p.state == RolloutState::RolledBack => Phase::Barred,
            Some(p) if p.state == RolloutState::Completed => Phase::Done,
            _ if self.is_bad => Phase::Barred,
            Some(p) if p.has_moved => Phase::Moved,
            _ => Phase::Sample,
        }
    }

    /// Takes an answer of the new version.
    pub fn see_new(&mut self, now: Millis, seen: &Observed) {
        let beside_proven = self.phase() == Phase::Sample;
        self.judge.see_new(now, seen, beside_proven);
    }

    /// Judges the version by the counts of all hosts; tells whether it is barred by that.
    pub fn judge(&mut self, all: &Tally, endpoints: usize) -> bool {
        let is_open = matches!(self.phase(), Phase::Sample | Phase::Moved);
        is_open && all.shows_bad(endpoints) && self.bar()
    }

    /// Bars the version, on this host's or another's judgement; tells whether that is news.
    pub fn bar(&mut self) -> bool {
        let is_news = matches!(self.phase(), Phase::Sample | Phase::Moved);
        if is_news {
            self.is_bad = true;
            self.writing_until = None;
        }
        is_news
    }

    /// Tells whether this host holds the version bad.
    pub fn is_bad(&self) -> bool {
        self.phase() == Phase::Barred
    }

    /// Gets the progress to be written now, if any. `patience` is this host's place in the order of
    /// writers, as a time: others may be first.
    pub fn due(&mut self, now: Millis, patience: Millis, again: Millis) -> Option<ProgressWrite> {
        if self.writing_until.is_some_and(|until| now < until) {
            return None;
        }
        let progress = self.next(now, patience)?;
        self.writing_until = Some(now + again);
        let revision = self.order.revision;
        Some(ProgressWrite { service: self.order.service.clone(), revision, progress })
    }

    fn next(&self, now: Millis, patience: Millis) -> Option<Progress> {
        let elapsed = now - self.began;
        let version = self.order.version.clone();
        let at = |state, has_moved| Progress { state, version, elapsed, has_moved };
        let written = self.progress();
        if let Some(RolloutState::Completed | RolloutState::RolledBack) = written.map(|p| p.state) {
            return None;
        }
        if self.is_bad {
            return Some(at(RolloutState::RolledBack, false));
        }
        let part = |part: f64| Millis((self.order.duration.0 as f64 * part) as u64) + patience;
        let has_moved = written.is_some_and(|p| p.has_moved);
        if has_moved && elapsed >= part(COMPLETE_AT) {
            return Some(at(RolloutState::Completed, true));
        }
        let moves = !has_moved && elapsed >= part(MOVE_AT);
        let last = written.map(|p| p.elapsed);
        let step = part(PROGRESS_STEP);
        let is_due = moves || last.is_none_or(|last| elapsed >= last + step);
        let waited = written.is_some() || elapsed >= patience;
        (is_due && waited).then(|| at(RolloutState::InProgress, has_moved || moves))
    }
}
