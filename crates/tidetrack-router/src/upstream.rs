//! Attempts at endpoints: what a thread holds of one, and what its end means.
//!
//! The request itself is carried out on the event loop (`errands`), by the same client as on the users'
//! platform: it checks the attempt's id, keeps connections and holds the deadline. What is known of a
//! failed attempt, above all whether it ran, is told by its error.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use flume::{Receiver, Sender};
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::sync::oneshot;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::disconnect::DisconnectCause;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::placement::PoolEndpoint;
use tidetrack_core::traffic::fingerprint::Fingerprint;
use tidetrack_core::units::Millis;
use tidetrack_plane::events::EventSplitter;
use tidetrack_wire::endpoint::{parse_load_header, AttemptRequest};
use tidetrack_wire::headers;

use crate::control::ControlMsg;
use crate::errands::{BodyPart, Errand, Reply};
use crate::shared::Shared;

/// Seconds that a call to cancel may take.
const CANCEL_SECONDS: u64 = 1;

/// Longest wait for the outcome of a new connection to an endpoint that broke one off.
const LOOK_WITHIN: Duration = Duration::from_millis(150);

/// Pause before the second look at an endpoint that took the new connection.
const LOOK_AGAIN_AFTER: Duration = Duration::from_millis(30);

/// When to come back to a pool whose endpoint refused, in milliseconds.
const RETRY_REFUSED_MS: u64 = 1_000;

/// An attempt to cancel: the endpoint's address and the attempt's id.
pub type Cancel = (String, String);

/// What the threads of requests reach endpoints through.
#[derive(Clone)]
pub struct Upstream {
    /// Takes requests to endpoints.
    pub errands: Sender<Errand>,
    /// Takes attempts to cancel.
    pub cancels: Sender<Cancel>,
}

/// Cancels attempts until all senders are gone.
pub fn cancel_loop(cancels: Receiver<Cancel>) {
    for (address, attempt) in cancels {
        let ask = AttemptRequest { attempt, from_token: 0 };
        let body = serde_json::to_string(&ask).expect("an ask is plain text");
        let request = minreq::post(format!("http://{address}/v1/cancel")).with_body(body);
        // An endpoint that cannot be reached has no work to cancel, or drops it with its connection.
        let _ = request.with_timeout(CANCEL_SECONDS).send();
    }
}

/// One attempt under way; it cancels itself when dropped unfinished.
pub struct Attempt<'a> {
    shared: &'a Shared,
    upstream: &'a Upstream,
    endpoint: PoolEndpoint,
    work: u64,
    began: Instant,
    id: String,
    fingerprint: Fingerprint,
    /// Whether the answer tells a failure of the endpoint's.
    is_failure: bool,
    finished: bool,
}

/// What an attempt needs to begin.
pub struct Begin<'a> {
    /// The router's shared state.
    pub shared: &'a Shared,
    /// The way to endpoints.
    pub upstream: &'a Upstream,
    /// The endpoint.
    pub endpoint: PoolEndpoint,
    /// Work of the request in answer tokens.
    pub work: u64,
    /// The attempt's id.
    pub id: String,
    /// What stays the same when the caller sends the request again.
    pub fingerprint: Fingerprint,
    /// When the request must have ended.
    pub deadline: Instant,
    /// Whether any status is an answer, as with plain services.
    pub any_status: bool,
    /// Whether the request may run twice.
    pub is_repeatable: bool,
}

impl<'a> Attempt<'a> {
    /// Sends a request to the endpoint and reads the head of the answer.
    pub fn send(
        begin: Begin<'a>,
        request: http::request::Builder,
        body: impl Into<Bytes>,
    ) -> Result<(Attempt<'a>, Reply)> {
        let Begin { any_status, is_repeatable, deadline, .. } = begin;
        let mut attempt = Attempt::start(begin);
        let host = &attempt.endpoint.address;
        // An endpoint that breaks off closes the connection only if it was told not to keep it.
        let request = request
            .header(http::header::HOST, host)
            .header(http::header::CONNECTION, "close")
            .header(headers::ATTEMPT, &attempt.id)
            .body(Full::new(body.into()));
        let sent = request
            .map_err(|e| Error::new(Code::BadBody, e.to_string()))
            .and_then(|request| attempt.exchange(request, is_repeatable, deadline))
            .and_then(|reply| attempt.read_head(&reply, any_status).map(|()| reply));
        match sent {
            Ok(reply) => {
                attempt.is_failure = reply.head.status.is_server_error();
                Ok((attempt, reply))
            }
            Err(e) => {
                attempt.failed(&e);
                Err(e)
            }
        }
    }

    fn start(begin: Begin<'a>) -> Attempt<'a> {
        begin.endpoint.state.begin_work(begin.work);
        Attempt {
            shared: begin.shared,
            upstream: begin.upstream,
            endpoint: begin.endpoint,
            work: begin.work,
            began: Instant::now(),
            id: begin.id,
            fingerprint: begin.fingerprint,
            is_failure: false,
            finished: false,
        }
    }

    /// Has the request carried out on the event loop.
    fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        is_repeatable: bool,
        until: Instant,
    ) -> Result<Reply> {
        let (reply, answer) = oneshot::channel();
        let errand = Errand {
            endpoint: self.endpoint.id.clone(),
            address: self.endpoint.address.clone(),
            attempt_id: self.id.clone(),
            request,
            is_repeatable,
            until,
            reply,
        };
        let ends = || Error::new(Code::Draining, "the host ends");
        self.upstream.errands.send(errand).map_err(|_| ends())?;
        let answer = answer.blocking_recv().map_err(|_| ends().with_executed(Executed::Unknown))?;
        answer.map_err(|e| self.named(e))
    }

    /// Gets the endpoint.
    pub fn endpoint(&self) -> &PoolEndpoint {
        &self.endpoint
    }

    /// Gets the attempt's id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Adds the endpoint's name to an error.
    fn named(&self, e: Error) -> Error {
        Error { message: format!("{}: {}", self.endpoint.id, e.message), ..e }
    }

    /// Makes the error of an answer that broke off.
    pub fn cut(&self, why: &str) -> Error {
        let message = format!("{}: {why}", self.endpoint.id);
        Error::new(Code::EndpointFailed, message).with_executed(Executed::Unknown)
    }

    /// Gets the next part of a body; `None` at its end.
    pub fn next_part(&self, reply: &mut Reply) -> Result<Option<Bytes>> {
        match reply.body.blocking_recv() {
            Some(Ok(BodyPart::Bytes(bytes))) => Ok(Some(bytes)),
            Some(Ok(BodyPart::End)) => Ok(None),
            Some(Err(e)) => Err(self.named(e)),
            None => Err(self.cut("the answer broke off")),
        }
    }

    /// Reads a whole body of at most so many bytes.
    pub fn read_body(&self, reply: &mut Reply, most: usize) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        while let Some(part) = self.next_part(reply)? {
            body.extend_from_slice(&part);
            if body.len() > most {
                return Err(self.cut(&format!("the answer is larger than {most} bytes")));
            }
        }
        Ok(body)
    }

    fn read_head(&self, reply: &Reply, any_status: bool) -> Result<()> {
        let find = |name| reply.head.headers.get(name).and_then(|v| v.to_str().ok());
        if let Some((work, capacity)) = find(headers::LOAD).and_then(parse_load_header) {
            self.endpoint.state.record_load_report(self.shared.now(), work, capacity);
        }
        if find(headers::LEAVING).is_some() {
            self.endpoint.state.set_leaving(true);
            let _ =
                self.shared.control.send(ControlMsg::EndpointLeaving(self.endpoint.id.to_string()));
        }
        let is_own = find(headers::ATTEMPT).is_some();
        match reply.head.status {
            status if status.is_success() => Ok(()),
            StatusCode::SERVICE_UNAVAILABLE if is_own && find(headers::NOT_RUN).is_some() => {
                let message = format!("{} refused", self.endpoint.id);
                Err(Error::new(Code::EndpointRefused, message).with_retry_after(RETRY_REFUSED_MS))
            }
            _ if any_status => Ok(()),
            status => Err(self.cut(&format!("answered {}", status.as_u16()))),
        }
    }

    /// Takes note that the attempt failed; cancels what may still run.
    pub fn failed(&mut self, e: &Error) {
        if e.code == Code::WrongAnswer {
            self.shared.metrics.count_event("answer_mismatch");
            self.shared.log(Event::AnswerMismatch, &self.id);
        }
        // A refusal is no sign of ill health, and a deadline may be the caller's own.
        let ill = !matches!(e.code, Code::EndpointRefused | Code::Deadline | Code::CallerLeft);
        if ill {
            self.endpoint.state.record_outcome(self.shared.now(), false);
        }
        if e.executed != Executed::No
            && matches!(e.disconnect_cause, Some(DisconnectCause::Closed | DisconnectCause::Reset))
        {
            self.note_crash();
        }
        self.shared.metrics.count_event("attempt_failed");
        self.shared.log(Event::AttemptFailed, &format!("{} {e}", self.id));
        self.finish(e.executed != Executed::No);
    }

    /// Takes note of the crash of an endpoint at whose address nobody listens any more.
    fn note_crash(&self) {
        if !has_ended(&self.endpoint.address) {
            return;
        }
        let now = self.shared.now();
        let sent_at = Millis(now.0.saturating_sub(self.began.elapsed().as_millis() as u64));
        let PoolEndpoint { id, failure_domain, state, .. } = &self.endpoint;
        state.record_unreachable(now);
        let suspects = &self.shared.suspects;
        let crashes = suspects.record_crash(now, self.fingerprint, id, failure_domain, sent_at);
        self.shared.metrics.count_event("endpoint_crashed");
        let text = format!("{} {id} fingerprint={} crashes={crashes}", self.id, self.fingerprint);
        self.shared.log(Event::EndpointCrashed, &text);
    }

    /// Takes note that the whole answer was read.
    pub fn succeeded(&mut self) {
        // An endpoint may fail a request before running it.
        if !self.is_failure {
            self.shared.suspects.record_completion(self.shared.now(), self.fingerprint);
        }
        self.endpoint.state.record_outcome(self.shared.now(), true);
        self.endpoint.state.record_duration(self.work, self.began.elapsed().as_micros() as u64);
        self.finish(false);
    }

    fn finish(&mut self, cancel: bool) {
        if self.finished {
            return;
        }
        self.finished = true;
        self.endpoint.state.end_work(self.work);
        if cancel {
            let _ = self.upstream.cancels.send((self.endpoint.address.clone(), self.id.clone()));
        }
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        self.finish(true);
    }
}

/// Tells whether nobody listens at an address any more. A process that ends may do so for a moment after its connections
/// have been closed, so one that takes a connection is looked at once more.
fn has_ended(address: &str) -> bool {
    let Ok(address) = address.parse::<SocketAddr>() else { return false };
    let connect = || TcpStream::connect_timeout(&address, LOOK_WITHIN).map_err(|e| e.kind());
    let last = connect().and_then(|_| {
        std::thread::sleep(LOOK_AGAIN_AFTER);
        connect()
    });
    last.is_err_and(|kind| kind == ErrorKind::ConnectionRefused)
}

/// Reads the data of a stream's events, one by one.
pub struct Events {
    reply: Reply,
    splitter: EventSplitter,
    waiting: VecDeque<String>,
}

impl Events {
    /// Begins to read.
    pub fn new(reply: Reply) -> Events {
        Events { reply, splitter: EventSplitter::default(), waiting: VecDeque::new() }
    }

    /// Gets the next event's data; `None` at the end of the body.
    pub fn next_data(&mut self, attempt: &Attempt<'_>) -> Result<Option<String>> {
        loop {
            if let Some(data) = self.waiting.pop_front() {
                return Ok(Some(data));
            }
            if let Some(event) = self.splitter.next_event() {
                self.waiting.extend(data_of(&event.bytes));
            } else if self.splitter.is_overlong() {
                return Err(attempt.cut("an event without an end"));
            } else {
                match attempt.next_part(&mut self.reply)? {
                    Some(part) => self.splitter.push(&part),
                    None => return Ok(None),
                }
            }
        }
    }
}

/// Gets the data lines of an event.
fn data_of(event: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(event);
    let lines = text.lines().filter_map(|line| line.trim_end().strip_prefix("data:"));
    lines.map(|data| data.trim_start().to_string()).collect()
}
