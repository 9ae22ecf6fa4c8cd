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

use crate::attempt::EndpointResponse;
use crate::body::{BodyChunk, ResponseAborted, ResponseBody};
use crate::choose::choose_again;
use crate::crash::detect_crash;
use crate::events::{EventSplitter, StreamEvent};
use crate::job::{Chosen, Held, Job, Traffic, Tries, WorkShare};
use crate::pool::{disconnect_cause, Lease};
use crate::report::{record_failed_attempt, record_response, report_attempt, AttemptObservation};
use crate::send::{record_dropped_attempt, send};
use crate::stall_aware_sleep::stall_aware_sleep;

/// Multiple of the longest pause in time after which a stream goes on elsewhere, if nothing else came
/// from its endpoint either. A new run reads the prompt again, so a short stall is better borne.
const SILENT_GAP_RATIO: f64 = 1.3;

/// The same for an endpoint that serves others meanwhile.
const STALLED_GAP_RATIO: f64 = 3.0;

/// How long a silent endpoint is listened to after the request was written to another one: two may not
/// be at work on a stream for 400 ms, and a host on a part of a core sees its timers 100 ms late.
const MAX_CONCURRENT_TIME: Duration = Duration::from_millis(250);

/// The longest pause where the route names none.
const DEFAULT_MAX_EVENT_GAP: Duration = Duration::from_millis(1_200);

/// A stream that is passed on.
pub struct StreamRelay {
    traffic: Rc<Traffic>,
    job: Rc<Job>,
    model: Option<ModelId>,
    source: Source,
    head: Option<http::response::Parts>,
    last_event: Option<u64>,
    event_count: u32,
}

/// Events of an endpoint's after which its pace is told. A long answer of a slow version would be the last
/// one to end, and those that are told first would be the quick ones.
const EVENTS_BEFORE_PACE_REPORT: u32 = 9;

/// Where the events come from.
struct Source {
    body: Incoming,
    /// Whether the answer, once whole, shows that its request ran to a good end.
    proves_completion: bool,
    lease: Lease,
    idle_time: Option<Duration>,
    chosen: Chosen,
    work_share: Option<WorkShare>,
    splitter: EventSplitter,
    sent_at: Instant,
    first_event: Option<Instant>,
    event_count: u32,
    /// Whether its pace was told.
    is_pace_reported: bool,
}

/// What came next.
enum StreamItem {
    Event(StreamEvent),
    End,
}

impl StreamRelay {
    /// Makes a stream of an answer whose head has come.
    pub fn new(
        traffic: &Rc<Traffic>,
        job: &Rc<Job>,
        model: Option<ModelId>,
        response: EndpointResponse,
        chosen: Chosen,
        work_share: WorkShare,
        sent_at: Instant,
    ) -> StreamRelay {
        let (head, source) = Source::new(response, chosen, work_share, sent_at);
        let last_event = job.facts.last_event;
        StreamRelay {
            traffic: traffic.clone(),
            job: job.clone(),
            model,
            source,
            head: Some(head),
            last_event,
            event_count: 0,
        }
    }

    /// Waits for the first event and makes the caller's answer; the rest is passed on by a task.
    pub async fn start(mut self, tries: &mut Tries) -> Result<Response<ResponseBody>> {
        let first_item = match self.next(tries).await {
            Ok(next) => next,
            Err(e) => {
                let e = e.with_executed(Executed::Yes);
                self.record_source_failure(&e).await;
                return Err(e);
            }
        };
        let (tx, body) = ResponseBody::channel();
        let head = self.head.take().ok_or_else(|| Error::new(Code::Internal, "no head"))?;
        let status = head.status;
        let (chosen, model) = (&self.source.chosen, self.model.as_ref());
        record_response(&self.traffic, &self.job, chosen, model, status.as_u16());
        let mut resp = Response::new(body);
        *resp.status_mut() = status;
        *resp.headers_mut() = (self.traffic.shared.dialect.caller_head)(head.headers);
        tokio::task::spawn_local(self.relay_items(tx, first_item, tries.clone()));
        Ok(resp)
    }

    /// Passes events on until the end, the caller's leaving or a break that cannot be mended.
    async fn relay_items(
        mut self,
        tx: mpsc::Sender<BodyChunk>,
        first_item: StreamItem,
        mut tries: Tries,
    ) {
        let mut next = Ok(first_item);
        loop {
            match next {
                Ok(StreamItem::Event(event)) => {
                    // An event out of order is not passed on; its endpoint is left like one that breaks off.
                    if let Err(e) = self.record_event(&event) {
                        next = Err(e);
                        continue;
                    }
                    if tx.send(Ok(event.bytes)).await.is_err() {
                        return self.record_caller_left();
                    }
                }
                Ok(StreamItem::End) => return self.finish(),
                Err(e) => {
                    if let Err(e) = self.resume(&mut tries, e).await {
                        return self.abort_response(&tx, &e).await;
                    }
                }
            }
            next = tokio::select! {
                next = self.next(&mut tries) => next,
                () = tx.closed() => return self.record_caller_left(),
            };
        }
    }

    /// Checks that an event follows the last one.
    fn record_event(&mut self, event: &StreamEvent) -> Result<()> {
        if let (Some(id), Some(last_id)) = (event.id, self.last_event) {
            if id <= last_id {
                let text = format!("event {id} came after {last_id}");
                return Err(Error::new(Code::WrongAnswer, text).with_executed(Executed::Yes));
            }
        }
        self.last_event = event.id.or(self.last_event);
        self.event_count += 1;
        if self.source.event_count == EVENTS_BEFORE_PACE_REPORT {
            self.report_progress(AttemptOutcome::InProgress);
        }
        Ok(())
    }

    /// Gets the next event, or an error if the endpoint breaks off or the time is over.
    async fn next(&mut self, tries: &mut Tries) -> Result<StreamItem> {
        let deadline = tokio::time::Instant::from_std(self.job.until);
        loop {
            let can_resume_elsewhere = self.can_resume_elsewhere(tries);
            let silence =
                wait_for_silence(&self.traffic, &self.job, self.source.chosen.live.clone());
            tokio::select! {
                biased;
                next = self.source.next() => return self.record_source_activity(next),
                () = silence, if can_resume_elsewhere => {}
                () = tokio::time::sleep_until(deadline) => return Err(timeout_error("the stream took too long")),
            }
            if let Some(next) = self.replace_silent_source(tries).await {
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
    async fn replace_silent_source(&mut self, tries: &mut Tries) -> Option<Result<StreamItem>> {
        let (traffic, job, model) = (self.traffic.clone(), self.job.clone(), self.model.clone());
        let silent_endpoint = Rc::new(Held::new(self.source.chosen.id.clone()));
        tries.held = Some(silent_endpoint.clone());
        let mut source_error = None;
        // What the other attempt led to, or else what the silent one said before.
        let outcome = {
            let attempt = resume_elsewhere(&traffic, &job, model.as_ref(), self.last_event, tries);
            let mut attempt = std::pin::pin!(attempt);
            let mut concurrent = std::pin::pin!(silent_endpoint.shared_for(MAX_CONCURRENT_TIME));
            loop {
                tokio::select! {
                    biased;
                    next = self.source.next(), if source_error.is_none() => match next {
                        Ok(next) => break Err(next),
                        Err(e) => {
                            silent_endpoint.let_go();
                            source_error = Some(e);
                        }
                    },
                    replacement = attempt.as_mut() => break Ok(replacement),
                    () = concurrent.as_mut(), if source_error.is_none() => {
                        silent_endpoint.let_go();
                        self.source.close();
                        source_error = Some(timeout_error("the stream fell silent"));
                    }
                }
            }
        };
        tries.held = None;
        let replacement = match outcome {
            Err(next) => {
                record_dropped_attempt(&traffic, &job, tries, &silent_endpoint);
                self.log_source_kept("its endpoint spoke again");
                return Some(self.record_source_activity(Ok(next)));
            }
            Ok(replacement) => replacement,
        };
        match (replacement, source_error) {
            (Ok(replacement), source_error) => {
                let reason =
                    source_error.unwrap_or_else(|| timeout_error("the stream fell silent"));
                self.record_source_failure(&reason).await;
                self.switch_source(replacement, &reason);
                None
            }
            (Err(_), Some(source_error)) => Some(Err(source_error)),
            (Err(e), None) => {
                self.log_source_kept(&e.message);
                None
            }
        }
    }

    /// Takes note that something came from the endpoint.
    fn record_source_activity(&self, next: Result<StreamItem>) -> Result<StreamItem> {
        self.source.chosen.live.record_activity(self.traffic.shared.now());
        next
    }

    /// Tells whether the answer can go on at another endpoint. One of which the caller holds events
    /// needs their ids for that.
    fn can_resume_elsewhere(&self, tries: &Tries) -> bool {
        let route = &self.job.admitted.route;
        let is_resumable = route.work == WorkKind::Stream { resumable: true };
        let has_resume_point = self.head.is_some() || self.last_event.is_some();
        is_resumable && has_resume_point && tries.sent < route.max_attempts
    }

    /// Logs that a silent endpoint is waited for.
    fn log_source_kept(&self, reason: &str) {
        self.traffic.shared.journal.line(
            Event::StreamStayed,
            &[
                ("request", &self.job.id),
                ("endpoint", &self.source.chosen.id),
                ("after_event", &self.last_event.unwrap_or(0)),
                ("why", &reason),
            ],
        );
    }

    /// Logs that the present endpoint failed, and counts it.
    async fn record_source_failure(&self, reason: &Error) {
        let sent_at = self.source.sent_at;
        let chosen = &self.source.chosen;
        let model = self.model.as_ref();
        record_failed_attempt(&self.traffic, &self.job, chosen, model, reason, sent_at.elapsed());
        detect_crash(&self.traffic, &self.job, chosen, reason, sent_at).await;
    }

    /// Goes on with another endpoint's answer. A caller that has no head yet gets that one's.
    fn switch_source(&mut self, (head, source): (http::response::Parts, Source), reason: &Error) {
        self.traffic.shared.journal.line(
            Event::StreamResumed,
            &[
                ("request", &self.job.id),
                ("endpoint", &source.chosen.id),
                ("after_event", &self.last_event.unwrap_or(0)),
                ("why", &reason.message),
            ],
        );
        if let Some(pending_head) = &mut self.head {
            *pending_head = head;
        }
        self.source = source;
    }

    /// Goes on at another endpoint after the last event that was passed on, in place of one that broke
    /// off.
    async fn resume(&mut self, tries: &mut Tries, reason: Error) -> Result<()> {
        self.record_source_failure(&reason).await;
        if !self.can_resume_elsewhere(tries) || self.job.is_over() {
            return Err(reason);
        }
        let model = self.model.clone();
        let last_event = self.last_event;
        let replacement =
            resume_elsewhere(&self.traffic, &self.job, model.as_ref(), last_event, tries).await?;
        self.switch_source(replacement, &reason);
        Ok(())
    }

    /// Ends a stream that came to its end.
    fn finish(mut self) {
        self.report_progress(AttemptOutcome::Complete);
        if self.source.proves_completion {
            let shared = &self.traffic.shared;
            shared.suspects.record_completion(shared.now(), self.job.fingerprint);
        }
        let StreamRelay { traffic, source, .. } = self;
        source.chosen.live.record_outcome(traffic.shared.now(), true);
        traffic.pool.release(source.chosen.id.as_str(), source.lease, source.idle_time);
    }

    /// Tells how far the present endpoint's answer came: when its pace is known, or else at its end.
    fn report_progress(&mut self, outcome: AttemptOutcome) {
        let source = &mut self.source;
        let is_pace_reported = std::mem::replace(&mut source.is_pace_reported, true);
        let response_time = source.first_event.map(|at| at - source.sent_at);
        let observation = AttemptObservation {
            outcome,
            response_time,
            mean_gap_ms: source.mean_gap_ms(),
            is_pace_reported,
        };
        report_attempt(&self.traffic, &self.job, &source.chosen, self.model.as_ref(), &observation);
    }

    fn record_caller_left(mut self) {
        self.report_progress(AttemptOutcome::CallerLeft);
        let fields: [(&'static str, &dyn std::fmt::Display); 2] =
            [("request", &self.job.id), ("events", &self.event_count)];
        self.traffic.shared.journal.line(Event::CallerLeft, &fields);
    }

    /// Breaks the caller's connection off, so that the stream does not look whole.
    async fn abort_response(mut self, tx: &mpsc::Sender<BodyChunk>, reason: &Error) {
        self.report_progress(AttemptOutcome::Interrupted);
        self.traffic.shared.journal.line(
            Event::AnswerCut,
            &[
                ("request", &self.job.id),
                ("endpoint", &self.source.chosen.id),
                ("events", &self.event_count),
                ("code", &reason.code),
                ("why", &reason.message),
                ("broke", &reason.disconnect_cause.map_or("-", DisconnectCause::as_str)),
            ],
        );
        // A caller that has left needs no sign.
        let _ = tx.send(Err(ResponseAborted)).await;
    }
}

fn timeout_error(text: &str) -> Error {
    Error::new(Code::Deadline, text).with_executed(Executed::Yes)
}

/// Waits until a silent stream is to go on elsewhere.
async fn wait_for_silence(traffic: &Traffic, job: &Job, live: Arc<EndpointState>) {
    let max_gap = job
        .admitted
        .route
        .max_event_gap
        .map_or(DEFAULT_MAX_EVENT_GAP, |gap| Duration::from_millis(gap.0));
    let since = traffic.shared.now();
    let (silent_timeout, stalled_timeout) =
        (max_gap.mul_f64(SILENT_GAP_RATIO), max_gap.mul_f64(STALLED_GAP_RATIO));
    stall_aware_sleep(silent_timeout).await;
    if live.was_active_since(since) {
        stall_aware_sleep(stalled_timeout.saturating_sub(silent_timeout)).await;
    }
}

/// Asks other endpoints to go on after an event, one after another for as long as attempts are left,
/// until one has begun to answer.
///
/// What reaches nobody costs no attempt while a silent endpoint is listened to: a stream may stall often,
/// and attempts are kept for a break. Connects are bounded for each search, and silences space those out.
async fn resume_elsewhere(
    traffic: &Rc<Traffic>,
    job: &Job,
    model: Option<&ModelId>,
    last_event: Option<u64>,
    tries: &mut Tries,
) -> Result<(http::response::Parts, Source)> {
    tries.unreached = 0;
    loop {
        let (chosen, work_share) = choose_again(traffic, job, tries, model)?;
        let sent_at = Instant::now();
        let error = match send(traffic, job, tries, &chosen, model, last_event).await {
            Ok(response) if response.head.status.is_success() => {
                return Ok(Source::new(response, chosen, work_share, sent_at));
            }
            Ok(response) => {
                let text = format!("going on was answered with {}", response.head.status);
                Error::new(Code::EndpointFailed, text).with_executed(Executed::Yes)
            }
            Err(e) => e,
        };
        record_failed_attempt(traffic, job, &chosen, model, &error, sent_at.elapsed());
        detect_crash(traffic, job, &chosen, &error, sent_at).await;
        // One that was given up may be at work for a moment yet.
        if let Some(held) = tries.held.as_ref().filter(|_| error.code != Code::Deadline) {
            held.other_failed();
        }
        let is_silent_heard = tries.held.as_ref().is_some_and(|held| held.is_heard());
        let has_exhausted_connects =
            is_silent_heard && tries.unreached >= job.admitted.route.max_attempts;
        if has_exhausted_connects || job.is_over() {
            return Err(error);
        }
    }
}

impl Source {
    fn new(
        response: EndpointResponse,
        chosen: Chosen,
        work_share: WorkShare,
        sent_at: Instant,
    ) -> (http::response::Parts, Source) {
        let proves_completion = response.proves_completion();
        let EndpointResponse { head, facts, body, lease } = response;
        let source = Source {
            proves_completion,
            body,
            lease,
            idle_time: facts.idle_time,
            chosen,
            work_share: Some(work_share),
            splitter: EventSplitter::default(),
            sent_at,
            first_event: None,
            event_count: 0,
            is_pace_reported: false,
        };
        (head, source)
    }

    /// Ends the endpoint's work.
    fn close(&mut self) {
        self.lease.close();
        self.work_share = None;
    }

    async fn next(&mut self) -> Result<StreamItem> {
        let make_error =
            |text: String| Error::new(Code::EndpointFailed, text).with_executed(Executed::Yes);
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.event_count += 1;
                self.first_event.get_or_insert_with(Instant::now);
                return Ok(StreamItem::Event(event));
            }
            if self.splitter.is_overlong() {
                return Err(make_error("an event without an end".into()));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        self.splitter.push(data);
                    }
                }
                Some(Err(e)) => {
                    return Err(make_error(format_error_chain(&e))
                        .with_disconnect_cause(disconnect_cause(&e)))
                }
                None if self.splitter.has_partial_event() => {
                    return Err(make_error("half an event".into())
                        .with_disconnect_cause(DisconnectCause::Closed));
                }
                None => return Ok(StreamItem::End),
            }
        }
    }

    fn mean_gap_ms(&self) -> Option<f64> {
        let first_event = self.first_event?;
        let gap_count = self.event_count.checked_sub(1).filter(|n| *n >= 2)?;
        Some(first_event.elapsed().as_secs_f64() * 1_000.0 / f64::from(gap_count))
    }
}
