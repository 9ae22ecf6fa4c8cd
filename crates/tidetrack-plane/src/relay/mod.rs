//! Forwards an event stream to the caller, and resumes it at another endpoint if it is interrupted.
//!
//! Only complete events are forwarded. The head is sent to the caller together with the first
//! event, so a stream that is interrupted before its first event is retried like any other attempt.
//! From then on the head cannot change. After an interruption another attempt resumes the stream
//! after its last trusted event, see [`EventSequence`]; if this is impossible, the caller's connection is
//! aborted too.
//!
//! Silence is not treated as an interruption. A silent endpoint may still complete the response,
//! and often only the network path to it is congested. The endpoint is listened to until another
//! one works in its place, and for longer if no other one is available, but two endpoints do not
//! work on one response for long.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::Response;
use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::disconnect::DisconnectCause;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::ModelId;
use tidetrack_core::traffic::catalog::WorkKind;
use tidetrack_core::traffic::event_sequence::{EventSequence, SequenceError};
use tidetrack_core::traffic::judge::AttemptOutcome;
use tidetrack_core::traffic::stop;

use crate::attempt::EndpointResponse;
use crate::backlog::Sent;
use crate::body::ResponseBody;
use crate::crash::{detect_crash, ended_endpoint_error, has_endpoint_ended};
use crate::events::StreamEvent;
use crate::job::{AttemptHistory, ChosenEndpoint, Job, SilentEndpoint, Traffic};
use crate::pending_work::PendingWork;
use crate::report::{record_failed_attempt, record_response, report_attempt, AttemptObservation};
use crate::send::record_dropped_attempt;

mod caller_stream;
mod resume;
mod source;

use caller_stream::CallerStream;
use resume::{resume_elsewhere, timeout_error, wait_for_silence};
use source::{Source, StreamItem};

/// How long a silent endpoint is listened to after the request was written to another one. Two
/// endpoints must not work on a stream for 400 ms, and a host with a fraction of a core sees its
/// timers fire up to 100 ms late.
const MAX_CONCURRENT_TIME: Duration = Duration::from_millis(250);

/// A stream that is forwarded to a caller.
pub struct StreamRelay {
    traffic: Rc<Traffic>,
    job: Rc<Job>,
    model: Option<ModelId>,
    source: Source,
    head: Option<http::response::Parts>,
    sequence: EventSequence<StreamEvent>,
    /// Whether the response of the current endpoint has ended.
    has_ended: bool,
    event_count: u32,
}

/// Number of events from an endpoint after which its pace is reported. If the pace were reported
/// only at the end, the reports on a slow version would be biased: its quick responses end first,
/// and its long responses last.
const EVENTS_BEFORE_PACE_REPORT: u32 = 9;

impl StreamRelay {
    /// Creates a stream relay from a response whose head was received.
    pub fn new(
        traffic: &Rc<Traffic>,
        job: &Rc<Job>,
        model: Option<ModelId>,
        response: EndpointResponse,
        chosen: ChosenEndpoint,
        work_share: PendingWork,
        sent_at: Instant,
    ) -> StreamRelay {
        let last_event_id = job.facts.last_event;
        let numbering =
            traffic.event_numberings.borrow().get(&job.service).cloned().unwrap_or_default();
        let is_resumable = job.admitted.route.work == WorkKind::Stream { resumable: true };
        let sequence =
            EventSequence::new(numbering, last_event_id, is_resumable, chosen.id.as_str());
        let (head, source) = Source::new(response, chosen, work_share, sent_at, last_event_id);
        StreamRelay {
            traffic: traffic.clone(),
            job: job.clone(),
            model,
            source,
            head: Some(head),
            sequence,
            has_ended: false,
            event_count: 0,
        }
    }

    /// Waits for the first event and creates the caller's response. A spawned task forwards the
    /// remaining events. Returns an error if the stream fails before its first event.
    pub async fn start(mut self, tries: &mut AttemptHistory) -> Result<Response<ResponseBody>> {
        tries.record_executed(Executed::Yes);
        let first_item = match self.next(tries).await {
            Ok(next) => next,
            Err(e) => {
                let e = e.with_executed(Executed::Yes);
                self.record_source_failure(&e).await;
                return Err(e);
            }
        };
        let (tx, body) = CallerStream::new(&self.traffic, &self.job);
        let head = self.head.take().ok_or_else(|| {
            Error::new(Code::Internal, "the head of the response was already taken")
        })?;
        let status = head.status;
        let (chosen, model) = (&self.source.chosen, self.model.as_ref());
        record_response(&self.traffic, &self.job, chosen, model, status.as_u16());
        let mut resp = Response::new(body);
        *resp.status_mut() = status;
        *resp.headers_mut() = (self.traffic.shared.dialect.build_caller_head)(head.headers);
        tokio::task::spawn_local(self.relay_items(tx, first_item, tries.clone()));
        Ok(resp)
    }

    /// Forwards events until the stream ends, the caller disconnects, or an interruption cannot be
    /// recovered from.
    async fn relay_items(
        mut self,
        tx: CallerStream,
        first_item: StreamItem,
        mut tries: AttemptHistory,
    ) {
        let traffic = self.traffic.clone();
        let mut next = Ok(first_item);
        let time_limit = self.job.deadline.saturating_duration_since(self.job.started_at);
        loop {
            match next {
                Ok(StreamItem::Event(event)) => {
                    self.record_event();
                    if tx.send(event.bytes, self.job.deadline).await == Sent::NoReader {
                        return self.record_caller_left(&tx);
                    }
                }
                Ok(StreamItem::End) => {
                    self.finish();
                    return tx.finish(time_limit).await;
                }
                Err(e) => {
                    let resumed = tokio::select! {
                        biased;
                        resumed = self.resume(&mut tries, e) => resumed,
                        () = tx.closed() => return self.record_caller_left(&tx),
                        () = traffic.wait_for_interruption() => Err(stop::interruption(Executed::Yes)),
                    };
                    if let Err(e) = resumed {
                        self.abort_response(&e);
                        return tx.abort(time_limit).await;
                    }
                }
            }
            next = tokio::select! {
                next = self.next(&mut tries) => next,
                () = tx.closed() => return self.record_caller_left(&tx),
                () = traffic.wait_for_interruption() => {
                    self.abort_response(&stop::interruption(Executed::Yes));
                    return tx.abort(time_limit).await;
                }
            };
        }
    }

    /// Records an event that is about to be forwarded.
    fn record_event(&mut self) {
        self.event_count += 1;
        if self.source.event_count >= EVENTS_BEFORE_PACE_REPORT && !self.source.is_pace_reported {
            self.report_progress(AttemptOutcome::InProgress);
        }
    }

    /// Adds what the endpoint sent to the sequence of events. Returns `WrongAnswer` if it cannot continue
    /// the response; its endpoint is then replaced as if it had disconnected.
    fn add_item(&mut self, item: StreamItem) -> Result<()> {
        let added = match item {
            StreamItem::Event(event) => self.sequence.push(event.id, event),
            StreamItem::End => {
                let ended = self.sequence.end(!self.source.ends_with_connection);
                self.has_ended = ended.is_ok();
                ended
            }
        };
        let observations = self.sequence.take_observations();
        if !observations.is_empty() {
            let mut numberings = self.traffic.event_numberings.borrow_mut();
            let numbering = numberings.entry(self.job.service.clone()).or_default();
            observations.into_iter().for_each(|observation| numbering.record(observation));
        }
        added.map_err(|e| {
            let make_error = |code| Error::new(code, e.to_string()).with_executed(Executed::Yes);
            match e {
                SequenceError::Unconfirmed => {
                    make_error(Code::EndpointFailed).with_disconnect_cause(DisconnectCause::Closed)
                }
                _ => make_error(Code::WrongAnswer),
            }
        })
    }

    /// Removes and returns an item that the caller may receive.
    fn take_item(&mut self) -> Option<StreamItem> {
        let event = self.sequence.pop().map(StreamItem::Event);
        event.or_else(|| self.has_ended.then_some(StreamItem::End))
    }

    /// Returns the next event that the caller may receive, or an error if the endpoint disconnects or the
    /// request's time is over. A silent endpoint may be replaced meanwhile.
    async fn next(&mut self, tries: &mut AttemptHistory) -> Result<StreamItem> {
        loop {
            if let Some(item) = self.take_item() {
                return Ok(item);
            }
            match self.next_of_source(tries).await? {
                StreamItem::Event(event) if !event.is_event => return Ok(StreamItem::Event(event)),
                StreamItem::End if self.was_cut_off().await => return Err(ended_endpoint_error()),
                item => self.add_item(item)?,
            }
        }
    }

    /// Reports whether a response that ended with its connection may have been cut off by the end of its
    /// endpoint.
    async fn was_cut_off(&self) -> bool {
        let Source { chosen, ends_with_connection, .. } = &self.source;
        let pool = self.traffic.pool_of(chosen);
        *ends_with_connection && has_endpoint_ended(pool, chosen.peer_name(), &chosen.address).await
    }

    /// Returns what the endpoint sends next, or an error if it disconnects or the request's time is over. A
    /// silent endpoint may be replaced meanwhile.
    async fn next_of_source(&mut self, tries: &mut AttemptHistory) -> Result<StreamItem> {
        let deadline = tokio::time::Instant::from_std(self.job.deadline);
        loop {
            let can_resume_elsewhere = self.can_resume_elsewhere(tries);
            let silence =
                wait_for_silence(&self.traffic, &self.job, self.source.chosen.state.clone());
            let is_endpoint_silent = tokio::select! {
                biased;
                next = self.source.next() => return self.record_source_activity(next),
                is_endpoint_silent = silence, if can_resume_elsewhere => is_endpoint_silent,
                () = tokio::time::sleep_until(deadline) =>
                    return Err(timeout_error("the stream did not end before the deadline")),
            };
            let chosen = &self.source.chosen;
            if is_endpoint_silent && chosen.forwarded_to.is_none() {
                self.traffic.paths.record_silence(&self.traffic, &self.job.service, chosen);
            }
            if let Some(next) = self.replace_silent_source(tries).await {
                return next;
            }
        }
    }

    /// Tries to replace a silent endpoint by another one. Returns an item or error of the silent
    /// endpoint if it sends one first, and `None` if the stream continues, from either endpoint.
    ///
    /// The silent endpoint is still read while a connection to the other one is established,
    /// because it may complete the response and the other one may be unreachable. The endpoint that
    /// sends data first continues the response, and the other one is dropped. The silent endpoint
    /// is dropped at the latest `MAX_CONCURRENT_TIME` after the request was written to the other
    /// one, so that two endpoints do not work on the response for long.
    async fn replace_silent_source(
        &mut self,
        tries: &mut AttemptHistory,
    ) -> Option<Result<StreamItem>> {
        let (traffic, job, model) = (self.traffic.clone(), self.job.clone(), self.model.clone());
        let silent_endpoint = Rc::new(SilentEndpoint::new(self.source.chosen.id.clone()));
        tries.silent_endpoint = Some(silent_endpoint.clone());
        let mut source_error = None;
        // Result of the other attempt, or else the item that the silent endpoint sent first.
        let outcome = {
            let resume_point = self.sequence.resume_point();
            let attempt = resume_elsewhere(&traffic, &job, model.as_ref(), resume_point, tries);
            let mut attempt = std::pin::pin!(attempt);
            let mut concurrent_limit =
                std::pin::pin!(silent_endpoint.wait_until_shared_for(MAX_CONCURRENT_TIME));
            loop {
                tokio::select! {
                    biased;
                    next = self.source.next(), if source_error.is_none() => match next {
                        Ok(next) => break Err(next),
                        Err(e) => {
                            silent_endpoint.stop_listening();
                            self.source.close();
                            source_error = Some(e);
                        }
                    },
                    replacement = attempt.as_mut() => break Ok(replacement),
                    () = concurrent_limit.as_mut(), if source_error.is_none() => {
                        silent_endpoint.stop_listening();
                        self.source.close();
                        source_error =
                            Some(timeout_error("the endpoint sent no events for too long"));
                    }
                }
            }
        };
        tries.silent_endpoint = None;
        let replacement = match outcome {
            Err(next) => {
                record_dropped_attempt(&traffic, &job, tries, &silent_endpoint);
                self.log_source_kept("its endpoint sent data again");
                return Some(self.record_source_activity(Ok(next)));
            }
            Ok(replacement) => replacement,
        };
        match (replacement, source_error) {
            (Ok(replacement), source_error) => {
                let reason = source_error
                    .unwrap_or_else(|| timeout_error("the endpoint sent no events for too long"));
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

    /// Records that the endpoint sent data, and returns the item unchanged.
    fn record_source_activity(&self, next: Result<StreamItem>) -> Result<StreamItem> {
        self.source.chosen.state.record_activity(self.traffic.shared.now());
        next
    }

    /// Reports whether another endpoint can continue the response. Once the caller has received
    /// events, this requires their ids.
    fn can_resume_elsewhere(&self, tries: &AttemptHistory) -> bool {
        let route = &self.job.admitted.route;
        let is_resumable = route.work == WorkKind::Stream { resumable: true };
        let has_resume_point = self.head.is_some() || self.sequence.resume_point().is_some();
        is_resumable && has_resume_point && tries.sent_count < route.max_attempts
    }

    /// Logs that the stream stays with its silent endpoint.
    fn log_source_kept(&self, reason: &str) {
        self.traffic.shared.journal.log(
            Event::StreamStayed,
            &[
                ("request", &self.job.id),
                ("endpoint", &self.source.chosen.id),
                ("after_event", &self.sequence.resume_point().unwrap_or(0)),
                ("why", &reason),
            ],
        );
    }

    /// Logs that the current endpoint failed, and counts the failure against it.
    async fn record_source_failure(&self, reason: &Error) {
        let sent_at = self.source.sent_at;
        let chosen = &self.source.chosen;
        let model = self.model.as_ref();
        record_failed_attempt(&self.traffic, &self.job, chosen, model, reason, sent_at.elapsed());
        detect_crash(&self.traffic, &self.job, chosen, reason, sent_at).await;
    }

    /// Continues with another endpoint's response. If the caller has not received a head yet, it
    /// gets the head of that response.
    fn switch_source(&mut self, (head, source): (http::response::Parts, Source), reason: &Error) {
        self.traffic.shared.journal.log(
            Event::StreamResumed,
            &[
                ("request", &self.job.id),
                ("endpoint", &source.chosen.id),
                ("after_event", &self.sequence.resume_point().unwrap_or(0)),
                ("why", &reason.message),
            ],
        );
        if let Some(pending_head) = &mut self.head {
            *pending_head = head;
        }
        self.sequence.resume(source.chosen.id.as_str());
        self.has_ended = false;
        self.source = source;
    }

    /// Resumes the stream at another endpoint, after the last trusted event, because the current
    /// endpoint failed. That one may still work on the response, and is stopped first.
    async fn resume(&mut self, tries: &mut AttemptHistory, reason: Error) -> Result<()> {
        self.source.close();
        self.record_source_failure(&reason).await;
        if !self.can_resume_elsewhere(tries) || self.job.is_expired() {
            return Err(reason);
        }
        let model = self.model.clone();
        let resume_point = self.sequence.resume_point();
        let replacement =
            resume_elsewhere(&self.traffic, &self.job, model.as_ref(), resume_point, tries).await?;
        self.switch_source(replacement, &reason);
        Ok(())
    }

    /// Completes a stream that has ended, and returns its connection to the pool.
    fn finish(mut self) {
        self.traffic.record_response_time(&self.job);
        self.report_progress(AttemptOutcome::Complete);
        if self.source.proves_completion {
            let shared = &self.traffic.shared;
            shared.suspects.record_completion(shared.now(), &self.job.fingerprints);
        }
        self.record_generation_time();
        let StreamRelay { traffic, source, .. } = self;
        source.chosen.state.record_outcome(traffic.shared.now(), true);
        let pool = traffic.pool_of(&source.chosen);
        pool.release(source.chosen.peer_name(), source.lease, source.idle_time);
    }

    /// Records how long a whole response took after its first event.
    fn record_generation_time(&self) {
        let traffic = &self.traffic;
        let size = self.job.facts.size.as_ref();
        let is_whole = self.source.event_count == self.event_count;
        let first_event_at = self.source.first_event_at.filter(|_| is_whole);
        let (Some(size), Some(first_event_at)) = (size, first_event_at) else { return };
        if traffic.has_load_control(&self.job.service) {
            traffic.service_times.borrow_mut().record_generation(
                &self.job.service,
                self.model.as_ref(),
                size.estimated_generated_tokens(),
                first_event_at.elapsed(),
            );
        }
    }

    /// Reports the response time and pace of the current endpoint: once the pace is known, or else
    /// at the end of its response.
    fn report_progress(&mut self, outcome: AttemptOutcome) {
        let source = &mut self.source;
        let is_pace_reported = std::mem::replace(&mut source.is_pace_reported, true);
        let response_time = source.first_event_at.map(|at| at - source.sent_at);
        let observation = AttemptObservation {
            outcome,
            response_time,
            mean_gap_ms: source.mean_gap_ms(),
            is_pace_reported,
        };
        report_attempt(&self.traffic, &self.job, &source.chosen, self.model.as_ref(), &observation);
    }

    fn record_caller_left(mut self, tx: &CallerStream) {
        self.report_progress(AttemptOutcome::CallerLeft);
        if tx.is_shed() {
            return;
        }
        let fields: [(&'static str, &dyn std::fmt::Display); 2] =
            [("request", &self.job.id), ("events", &self.event_count)];
        self.traffic.shared.journal.log(Event::CallerLeft, &fields);
    }

    /// Reports and logs that the caller's response is aborted.
    fn abort_response(mut self, reason: &Error) {
        self.report_progress(AttemptOutcome::Interrupted);
        self.traffic.shared.journal.log(
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
    }
}
