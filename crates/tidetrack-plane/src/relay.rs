//! Passes a stream on, event by event, and goes on at another endpoint when one breaks.
//!
//! Only whole events are passed on. The head goes to the caller with the first of them, so that a
//! stream that breaks before it is an attempt like any other. After that the answer keeps its head;
//! a break is mended by a run at another endpoint that goes on after the last event passed on, or
//! the caller's connection is broken off too.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use tidetrack_core::codes::{Code, Ran};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::ModelId;
use tidetrack_core::placement::EndpointLive;
use tidetrack_core::traffic::catalog::Work;

use crate::attempt::Answered;
use crate::body::{AnswerBody, BrokenOff, Piece};
use crate::choose::choose_again;
use crate::events::{EventSplitter, StreamEvent};
use crate::job::{Chosen, Job, Traffic, Tries, WorkShare};
use crate::pool::Lease;
use crate::report::{answered_line, failed_attempt, observe};
use crate::send::send;

/// Multiple of the longest pause in time after which a stream goes on elsewhere, if nothing else came
/// from its endpoint either. A new run reads the prompt again, so a short stall is better borne.
const SILENT_TIMES: f64 = 1.3;

/// The same for an endpoint that serves others meanwhile.
const STALLED_TIMES: f64 = 3.0;

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
    /// Whether the stream can go on elsewhere. If not, a silent endpoint is waited for.
    can_move: bool,
}

/// Where the events come from.
struct Source {
    body: Incoming,
    lease: Lease,
    idle_time: Option<Duration>,
    chosen: Chosen,
    _share: WorkShare,
    splitter: EventSplitter,
    sent_at: Instant,
    first_event: Option<Instant>,
    events: u32,
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
            can_move: true,
        }
    }

    /// Waits for the first event and makes the caller's answer; the rest is passed on by a task.
    pub async fn begin(mut self, tries: Tries) -> Result<Response<AnswerBody>> {
        self.can_move = tries.sent < self.job.admitted.route.most_attempts;
        let first = match self.next().await {
            Ok(next) => next,
            Err(e) => return Err(e.with_ran(Ran::Yes)),
        };
        let (tx, body) = AnswerBody::piped();
        let head = self.head.take().ok_or_else(|| Error::new(Code::Internal, "no head"))?;
        let status = head.status;
        let (chosen, model) = (&self.source.chosen, self.model.as_ref());
        answered_line(&self.traffic, &self.job, chosen, model, status.as_u16());
        let mut resp = Response::new(body);
        *resp.status_mut() = status;
        *resp.headers_mut() = (self.traffic.shared.dialect.caller_head)(head.headers);
        tokio::task::spawn_local(self.run(tx, first, tries));
        Ok(resp)
    }

    /// Passes events on until the end, the caller's leaving or a break that cannot be mended.
    async fn run(mut self, tx: mpsc::Sender<Piece>, first: Next, mut tries: Tries) {
        let mut next = Ok(first);
        loop {
            match next {
                Ok(Next::Event(event)) => {
                    if let Err(e) = self.take_note(&event) {
                        return self.cut(&tx, &e).await;
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
            self.can_move = tries.sent < self.job.admitted.route.most_attempts;
            next = tokio::select! {
                next = self.next() => next,
                () = tx.closed() => return self.caller_left(),
            };
        }
    }

    /// Checks that an event follows the last one.
    fn take_note(&mut self, event: &StreamEvent) -> Result<()> {
        if let (Some(id), Some(last)) = (event.id, self.last_event) {
            if id <= last {
                let text = format!("event {id} came after {last}");
                return Err(Error::new(Code::WrongAnswer, text).with_ran(Ran::Yes));
            }
        }
        self.last_event = event.id.or(self.last_event);
        self.events += 1;
        Ok(())
    }

    /// Gets the next event, or an error if the endpoint breaks off or falls silent.
    async fn next(&mut self) -> Result<Next> {
        let until = tokio::time::Instant::from_std(self.job.until);
        let silence = silence(&self.traffic, &self.job, self.source.chosen.live.clone());
        let late = |text: &str| Error::new(Code::Deadline, text).with_ran(Ran::Yes);
        let next = tokio::select! {
            next = self.source.next() => next,
            () = silence, if self.can_move => return Err(late("the stream fell silent")),
            () = tokio::time::sleep_until(until) => return Err(late("the stream took too long")),
        };
        self.source.chosen.live.heard(self.traffic.shared.now());
        next
    }

    /// Goes on at another endpoint after the last event that was passed on.
    async fn resume(&mut self, tries: &mut Tries, mut why: Error) -> Result<()> {
        let job = self.job.clone();
        loop {
            let took = self.source.sent_at.elapsed();
            failed_attempt(
                &self.traffic,
                &job,
                &self.source.chosen,
                self.model.as_ref(),
                &why,
                took,
            );
            let is_resumable = job.admitted.route.work == Work::Stream { resumable: true };
            if !is_resumable || self.last_event.is_none() || Instant::now() >= job.until {
                return Err(why);
            }
            let model = self.model.clone();
            let (chosen, share) = choose_again(&self.traffic, &job, tries, model.as_ref())?;
            let last = self.last_event;
            let sent_at = Instant::now();
            let sent = send(&self.traffic, &job, tries, &chosen, model.as_ref(), last).await;
            match sent {
                Ok(answered) if answered.head.status.is_success() => {
                    self.traffic.shared.journal.line(
                        Event::StreamResumed,
                        &[
                            ("request", &job.id),
                            ("endpoint", &chosen.id),
                            ("after_event", &last.unwrap_or(0)),
                            ("why", &why.message),
                        ],
                    );
                    self.source = Source::new(answered, chosen, share, sent_at).1;
                    return Ok(());
                }
                Ok(answered) => {
                    let text = format!("resuming was answered with {}", answered.head.status);
                    why = Error::new(Code::EndpointFailed, text).with_ran(Ran::Yes);
                    self.source = Source::new(answered, chosen, share, sent_at).1;
                }
                Err(e) => {
                    let took = sent_at.elapsed();
                    failed_attempt(&self.traffic, &job, &chosen, model.as_ref(), &e, took);
                    return Err(e);
                }
            }
        }
    }

    /// Ends a stream that came to its end.
    fn finish(self) {
        let Stream { traffic, job, model, source, .. } = self;
        source.chosen.live.note(traffic.shared.now(), true);
        let head = source.first_event.map(|at| at - source.sent_at);
        let gap = source.mean_gap_ms();
        observe(&traffic, &job, &source.chosen, model.as_ref(), false, head, gap);
        traffic.pool.keep(source.chosen.id.as_str(), source.lease, source.idle_time);
    }

    fn caller_left(self) {
        let fields: [(&'static str, &dyn std::fmt::Display); 2] =
            [("request", &self.job.id), ("events", &self.events)];
        self.traffic.shared.journal.line(Event::CallerLeft, &fields);
    }

    /// Breaks the caller's connection off, so that the stream does not look whole.
    async fn cut(self, tx: &mpsc::Sender<Piece>, why: &Error) {
        self.traffic.shared.journal.line(
            Event::AnswerCut,
            &[
                ("request", &self.job.id),
                ("endpoint", &self.source.chosen.id),
                ("events", &self.events),
                ("code", &why.code),
                ("why", &why.message),
            ],
        );
        // A caller that has left needs no sign.
        let _ = tx.send(Err(BrokenOff)).await;
    }
}

/// Waits until a silent stream is to go on elsewhere.
async fn silence(traffic: &Traffic, job: &Job, live: Arc<EndpointLive>) {
    let route = &job.admitted.route;
    if !route.work.is_repeatable() {
        return std::future::pending().await;
    }
    let gap = route.most_gap.map_or(USUAL_GAP, |gap| Duration::from_millis(gap.0));
    let since = traffic.shared.now();
    let (silent, stalled) = (gap.mul_f64(SILENT_TIMES), gap.mul_f64(STALLED_TIMES));
    tokio::time::sleep(silent).await;
    if live.was_heard_since(since) {
        tokio::time::sleep(stalled.saturating_sub(silent)).await;
    }
}

impl Source {
    fn new(
        answered: Answered,
        chosen: Chosen,
        share: WorkShare,
        sent_at: Instant,
    ) -> (http::response::Parts, Source) {
        let Answered { head, facts, body, lease } = answered;
        let source = Source {
            body,
            lease,
            idle_time: facts.idle_time,
            chosen,
            _share: share,
            splitter: EventSplitter::default(),
            sent_at,
            first_event: None,
            events: 0,
        };
        (head, source)
    }

    async fn next(&mut self) -> Result<Next> {
        let broken = |text: String| Error::new(Code::EndpointFailed, text).with_ran(Ran::Yes);
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
                Some(Err(e)) => return Err(broken(e.to_string())),
                None if self.splitter.has_part() => return Err(broken("half an event".into())),
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
