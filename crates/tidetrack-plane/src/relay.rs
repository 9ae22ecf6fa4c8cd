//! Passes a stream on, event by event, and goes on at another endpoint when one breaks.
//!
//! Only whole events are passed on. The head goes to the caller with the first of them, so that a
//! stream that breaks before it is an attempt like any other. After that the answer keeps its head;
//! a break is mended by a run at another endpoint that goes on after the last event passed on, or
//! the caller's connection is broken off too.
//!
//! Silence is no break. An endpoint that falls silent may still make the answer, and often the way to it
//! is only crowded. It is listened to until another one is at work in its place, and on if none can be
//! had; but two don't work on one answer for long.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::disconnect::{format_error_chain, DisconnectCause};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::ModelId;
use tidetrack_core::placement::EndpointState;
use tidetrack_core::traffic::catalog::WorkKind;
use tidetrack_core::traffic::judge::AttemptOutcome;

use crate::attempt::Answered;
use crate::body::{AnswerBody, BrokenOff, Piece};
use crate::choose::choose_again;
use crate::crash::note_crash;
use crate::events::{EventSplitter, StreamEvent};
use crate::job::{Chosen, Held, Job, Traffic, Tries, WorkShare};
use crate::patience::wait_running;
use crate::pool::{broke, Lease};
use crate::report::{answered_line, failed_attempt, observe, Seen};
use crate::send::{drop_attempt, send};

/// Multiple of the longest pause in time after which a stream goes on elsewhere, if nothing else came
/// from its endpoint either. A new run reads the prompt again, so a short stall is better borne.
const SILENT_TIMES: f64 = 1.3;

/// The same for an endpoint that serves others meanwhile.
const STALLED_TIMES: f64 = 3.0;

/// How long a silent endpoint is listened to after the request was written to another one: two may not
/// be at work on a stream for 400 ms, and a host on a part of a core sees its timers 100 ms late.
const MOST_SHARED: Duration = Duration::from_millis(250);

/// The longest pause where the route names none.
const USUAL_GAP: Duration = Duration::from_millis(1_200);

/// A stream that is passed on.
pub struct Stream {
    traffic: Rc<Traffic>,
    job: Rc<Job>,
    model: Option<ModelId>,
    source: Source,
    head: Option<http::response::Parts>,
    last_event: Option<u64>,
    events: u32,
}

/// Events of an endpoint's after which its pace is told. A long answer of a slow version would be the last
/// one to end, and those that are told first would be the quick ones.
const EVENTS_TO_TELL: u32 = 9;

/// Where the events come from.
struct Source {
    body: Incoming,
    /// Whether the answer, once whole, shows that its request ran to a good end.
    shows_good_end: bool,
    lease: Lease,
    idle_time: Option<Duration>,
    chosen: Chosen,
    share: Option<WorkShare>,
    splitter: EventSplitter,
    sent_at: Instant,
    first_event: Option<Instant>,
    events: u32,
    /// Whether its pace was told.
    is_told: bool,
}

/// What came next.
enum Next {
    Event(StreamEvent),
    End,
}

impl Stream {
    /// Makes a stream of an answer whose head has come.
    pub fn new(
        traffic: &Rc<Traffic>,
        job: &Rc<Job>,
        model: Option<ModelId>,
        answered: Answered,
        chosen: Chosen,
        share: WorkShare,
        sent_at: Instant,
    ) -> Stream {
        let (head, source) = Source::new(answered, chosen, share, sent_at);
        let last_event = job.facts.last_event;
        Stream {
            traffic: traffic.clone(),
            job: job.clone(),
            model,
            source,
            head: Some(head),
            last_event,
            events: 0,
        }
    }

    /// Waits for the first event and makes the caller's answer; the rest is passed on by a task.
    pub async fn begin(mut self, tries: &mut Tries) -> Result<Response<AnswerBody>> {
        let first = match self.next(tries).await {
            Ok(next) => next,
            Err(e) => {
                let e = e.with_executed(Executed::Yes);
                self.source_failed(&e).await;
                return Err(e);
            }
        };
        let (tx, body) = AnswerBody::piped();
        let head = self.head.take().ok_or_else(|| Error::new(Code::Internal, "no head"))?;
        let status = head.status;
        let (chosen, model) = (&self.source.chosen, self.model.as_ref());
        answered_line(&self.traffic, &self.job, chosen, model, status.as_u16());
        let mut resp = Response::new(body);
        *resp.status_mut() = status;
        *resp.headers_mut() = (self.traffic.shared.dialect.build_caller_head)(head.headers);
        tokio::task::spawn_local(self.run(tx, first, tries.clone()));
        Ok(resp)
    }

    /// Passes events on until the end, the caller's leaving or a break that cannot be mended.
    async fn run(mut self, tx: mpsc::Sender<Piece>, first: Next, mut tries: Tries) {
        let mut next = Ok(first);
        loop {
            match next {
                Ok(Next::Event(event)) => {
                    // An event out of order is not passed on; its endpoint is left like one that breaks off.
                    if let Err(e) = self.take_note(&event) {
                        next = Err(e);
                        continue;
                    }
                    if tx.send(Ok(event.bytes)).await.is_err() {
                        return self.caller_left();
                    }
                }
                Ok(Next::End) => return self.finish(),
                Err(e) => {
                    if let Err(e) = self.resume(&mut tries, e).await {
                        return self.cut(&tx, &e).await;
                    }
                }
            }
            next = tokio::select! {
                next = self.next(&mut tries) => next,
                () = tx.closed() => return self.caller_left(),
            };
        }
    }

    /// Checks that an event follows the last one.
    fn take_note(&mut self, event: &StreamEvent) -> Result<()> {
        if let (Some(id), Some(last)) = (event.id, self.last_event) {
            if id <= last {
                let text = format!("event {id} came after {last}");
                return Err(Error::new(Code::WrongAnswer, text).with_executed(Executed::Yes));
            }
        }
        self.last_event = event.id.or(self.last_event);
        self.events += 1;
        if self.source.events == EVENTS_TO_TELL {
            self.observe(AttemptOutcome::InProgress);
        }
        Ok(())
    }

    /// Gets the next event, or an error if the endpoint breaks off or the time is over.
    async fn next(&mut self, tries: &mut Tries) -> Result<Next> {
        let until = tokio::time::Instant::from_std(self.job.until);
        loop {
            let can_move = self.can_move(tries);
            let silence = silence(&self.traffic, &self.job, self.source.chosen.live.clone());
            tokio::select! {
                biased;
                next = self.source.next() => return self.heard(next),
                () = silence, if can_move => {}
                () = tokio::time::sleep_until(until) => return Err(late("the stream took too long")),
            }
            if let Some(next) = self.leave_silent(tries).await {
                return next;
            }
        }
    }

    /// Goes on at another endpoint in place of a silent one; gets what the silent one says meanwhile.
    ///
    /// The silent one is read on while a connection to the other comes up, for it may still make the
    /// answer, and the other may never be reached. If it speaks first, the other attempt is dropped. Once
    /// the other has the request, the silent one is dropped at its first word, and soon in any case, so
    /// that not both work on the answer.
    async fn leave_silent(&mut self, tries: &mut Tries) -> Option<Result<Next>> {
        let (traffic, job, model) = (self.traffic.clone(), self.job.clone(), self.model.clone());
        let held = Rc::new(Held::new(self.source.chosen.id.clone()));
        tries.held = Some(held.clone());
        let mut broken = None;
        // What the other attempt led to, or else what the silent one said before.
        let came = {
            let asked = ask_another(&traffic, &job, model.as_ref(), self.last_event, tries);
            let mut asked = std::pin::pin!(asked);
            let mut shared = std::pin::pin!(held.shared_for(MOST_SHARED));
            loop {
                tokio::select! {
                    biased;
                    next = self.source.next(), if broken.is_none() => match next {
                        Ok(next) => break Err(next),
                        Err(e) => {
                            held.let_go();
                            broken = Some(e);
                        }
                    },
                    moved = asked.as_mut() => break Ok(moved),
                    () = shared.as_mut(), if broken.is_none() => {
                        held.let_go();
                        self.source.close();
                        broken = Some(late("the stream fell silent"));
                    }
                }
            }
        };
        tries.held = None;
        let moved = match came {
            Err(next) => {
                drop_attempt(&traffic, &job, tries, &held);
                self.stayed("its endpoint spoke again");
                return Some(self.heard(Ok(next)));
            }
            Ok(moved) => moved,
        };
        match (moved, broken) {
            (Ok(other), broken) => {
                let why = broken.unwrap_or_else(|| late("the stream fell silent"));
                self.source_failed(&why).await;
                self.go_on_at(other, &why);
                None
            }
            (Err(_), Some(broken)) => Some(Err(broken)),
            (Err(e), None) => {
                self.stayed(&e.message);
                None
            }
        }
    }

    /// Takes note that something came from the endpoint.
    fn heard(&self, next: Result<Next>) -> Result<Next> {
        self.source.chosen.live.record_activity(self.traffic.shared.now());
        next
    }

    /// Tells whether the answer can go on at another endpoint. One of which the caller holds events
    /// needs their ids for that.
    fn can_move(&self, tries: &Tries) -> bool {
        let route = &self.job.admitted.route;
        let is_resumable = route.work == WorkKind::Stream { resumable: true };
        let is_known = self.head.is_some() || self.last_event.is_some();
        is_resumable && is_known && tries.sent < route.max_attempts
    }

    /// Logs that a silent endpoint is waited for.
    fn stayed(&self, why: &str) {
        self.traffic.shared.journal.log(
            Event::StreamStayed,
            &[
                ("request", &self.job.id),
                ("endpoint", &self.source.chosen.id),
                ("after_event", &self.last_event.unwrap_or(0)),
                ("why", &why),
            ],
        );
    }

    /// Logs that the present endpoint failed, and counts it.
    async fn source_failed(&self, why: &Error) {
        let sent_at = self.source.sent_at;
        let chosen = &self.source.chosen;
        let model = self.model.as_ref();
        failed_attempt(&self.traffic, &self.job, chosen, model, why, sent_at.elapsed());
        note_crash(&self.traffic, &self.job, chosen, why, sent_at).await;
    }

    /// Goes on with another endpoint's answer. A caller that has no head yet gets that one's.
    fn go_on_at(&mut self, (head, source): (http::response::Parts, Source), why: &Error) {
        self.traffic.shared.journal.log(
            Event::StreamResumed,
            &[
                ("request", &self.job.id),
                ("endpoint", &source.chosen.id),
                ("after_event", &self.last_event.unwrap_or(0)),
                ("why", &why.message),
            ],
        );
        if let Some(unsent) = &mut self.head {
            *unsent = head;
        }
        self.source = source;
    }

    /// Goes on at another endpoint after the last event that was passed on, in place of one that broke
    /// off.
    async fn resume(&mut self, tries: &mut Tries, why: Error) -> Result<()> {
        self.source_failed(&why).await;
        if !self.can_move(tries) || self.job.is_over() {
            return Err(why);
        }
        let model = self.model.clone();
        let last = self.last_event;
        let other = ask_another(&self.traffic, &self.job, model.as_ref(), last, tries).await?;
        self.go_on_at(other, &why);
        Ok(())
    }

    /// Ends a stream that came to its end.
    fn finish(mut self) {
        self.observe(AttemptOutcome::Complete);
        if self.source.shows_good_end {
            let shared = &self.traffic.shared;
            shared.suspects.record_completion(shared.now(), self.job.fingerprint);
        }
        let Stream { traffic, source, .. } = self;
        source.chosen.live.record_outcome(traffic.shared.now(), true);
        traffic.pool.keep(source.chosen.id.as_str(), source.lease, source.idle_time);
    }

    /// Tells how far the present endpoint's answer came: when its pace is known, or else at its end.
    fn observe(&mut self, end: AttemptOutcome) {
        let source = &mut self.source;
        let is_told = std::mem::replace(&mut source.is_told, true);
        let head = source.first_event.map(|at| at - source.sent_at);
        let seen = Seen { end, head, gap_ms: source.mean_gap_ms(), is_told };
        observe(&self.traffic, &self.job, &source.chosen, self.model.as_ref(), &seen);
    }

    fn caller_left(mut self) {
        self.observe(AttemptOutcome::CallerLeft);
        let fields: [(&'static str, &dyn std::fmt::Display); 2] =
            [("request", &self.job.id), ("events", &self.events)];
        self.traffic.shared.journal.log(Event::CallerLeft, &fields);
    }

    /// Breaks the caller's connection off, so that the stream does not look whole.
    async fn cut(mut self, tx: &mpsc::Sender<Piece>, why: &Error) {
        self.observe(AttemptOutcome::Interrupted);
        self.traffic.shared.journal.log(
            Event::AnswerCut,
            &[
                ("request", &self.job.id),
                ("endpoint", &self.source.chosen.id),
                ("events", &self.events),
                ("code", &why.code),
                ("why", &why.message),
                ("broke", &why.disconnect_cause.map_or("-", DisconnectCause::as_str)),
            ],
        );
        // A caller that has left needs no sign.
        let _ = tx.send(Err(BrokenOff)).await;
    }
}

fn late(text: &str) -> Error {
    Error::new(Code::Deadline, text).with_executed(Executed::Yes)
}

/// Waits until a silent stream is to go on elsewhere.
async fn silence(traffic: &Traffic, job: &Job, live: Arc<EndpointState>) {
    let gap =
        job.admitted.route.max_event_gap.map_or(USUAL_GAP, |gap| Duration::from_millis(gap.0));
    let since = traffic.shared.now();
    let (silent, stalled) = (gap.mul_f64(SILENT_TIMES), gap.mul_f64(STALLED_TIMES));
    wait_running(silent).await;
    if live.was_active_since(since) {
        wait_running(stalled.saturating_sub(silent)).await;
    }
}

/// Asks other endpoints to go on after an event, one after another for as long as attempts are left,
/// until one has begun to answer.
///
/// What reaches nobody costs no attempt while a silent endpoint is listened to: a stream may stall often,
/// and attempts are kept for a break. Connects are bounded for each search, and silences space those out.
async fn ask_another(
    traffic: &Rc<Traffic>,
    job: &Job,
    model: Option<&ModelId>,
    last_event: Option<u64>,
    tries: &mut Tries,
) -> Result<(http::response::Parts, Source)> {
    tries.unreached = 0;
    loop {
        let (chosen, share) = choose_again(traffic, job, tries, model)?;
        let sent_at = Instant::now();
        let failed = match send(traffic, job, tries, &chosen, model, last_event).await {
            Ok(answered) if answered.head.status.is_success() => {
                return Ok(Source::new(answered, chosen, share, sent_at));
            }
            Ok(answered) => {
                let text = format!("going on was answered with {}", answered.head.status);
                Error::new(Code::EndpointFailed, text).with_executed(Executed::Yes)
            }
            Err(e) => e,
        };
        failed_attempt(traffic, job, &chosen, model, &failed, sent_at.elapsed());
        note_crash(traffic, job, &chosen, &failed, sent_at).await;
        // One that was given up may be at work for a moment yet.
        if let Some(held) = tries.held.as_ref().filter(|_| failed.code != Code::Deadline) {
            held.other_failed();
        }
        let is_held = tries.held.as_ref().is_some_and(|held| held.is_heard());
        let is_out_of_reach = is_held && tries.unreached >= job.admitted.route.max_attempts;
        if is_out_of_reach || job.is_over() {
            return Err(failed);
        }
    }
}

impl Source {
    fn new(
        answered: Answered,
        chosen: Chosen,
        share: WorkShare,
        sent_at: Instant,
    ) -> (http::response::Parts, Source) {
        let shows_good_end = answered.shows_good_end();
        let Answered { head, facts, body, lease } = answered;
        let source = Source {
            shows_good_end,
            body,
            lease,
            idle_time: facts.idle_time,
            chosen,
            share: Some(share),
            splitter: EventSplitter::default(),
            sent_at,
            first_event: None,
            events: 0,
            is_told: false,
        };
        (head, source)
    }

    /// Ends the endpoint's work.
    fn close(&mut self) {
        self.lease.close();
        self.share = None;
    }

    async fn next(&mut self) -> Result<Next> {
        let broken =
            |text: String| Error::new(Code::EndpointFailed, text).with_executed(Executed::Yes);
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.events += 1;
                self.first_event.get_or_insert_with(Instant::now);
                return Ok(Next::Event(event));
            }
            if self.splitter.is_overlong() {
                return Err(broken("an event without an end".into()));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Some(Err(e)) => {
                    return Err(broken(format_error_chain(&e)).with_disconnect_cause(broke(&e)))
                }
                None if self.splitter.has_part() => {
                    return Err(broken("half an event".into())
                        .with_disconnect_cause(DisconnectCause::Closed));
                }
                None => return Ok(Next::End),
            }
        }
    }

    fn mean_gap_ms(&self) -> Option<f64> {
        let first = self.first_event?;
        let gaps = self.events.checked_sub(1).filter(|n| *n >= 2)?;
        Some(first.elapsed().as_secs_f64() * 1_000.0 / f64::from(gaps))
    }
}
