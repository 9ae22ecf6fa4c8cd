//! Attempts: requests to one endpoint, as the thread of a caller's request sees them.
//!
//! The event loop (`endpoint_client`) sends the request with the HTTP client of the traffic plane,
//! which verifies the attempt id in the response, manages connections and enforces the deadline.
//! The error of a failed attempt says whether the request may have been executed.

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
use crate::endpoint_client::{BodyPart, EndpointRequest, Reply};
use crate::shared::Shared;

/// Timeout in seconds of a cancel request.
const CANCEL_TIMEOUT_SECONDS: u64 = 1;

/// Timeout of the connection that probes an endpoint after it closed a connection early.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay before the second probe of an endpoint that accepted the first.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(30);

/// Time after which a caller may retry when an endpoint refused its request, in milliseconds.
const REFUSED_RETRY_AFTER_MS: u64 = 1_000;

/// A request to cancel an attempt: the endpoint's address and the attempt id.
pub type CancelRequest = (String, String);

/// Channels through which request threads reach endpoints.
#[derive(Clone)]
pub struct Upstream {
    /// Requests for the event loop to send to endpoints.
    pub requests: Sender<EndpointRequest>,
    /// Attempts to cancel.
    pub cancels: Sender<CancelRequest>,
}

/// Cancels attempts until all senders have been dropped.
pub fn cancel_loop(cancels: Receiver<CancelRequest>) {
    for (address, attempt) in cancels {
        let cancel_request = AttemptRequest { attempt, from_token: 0 };
        let body =
            serde_json::to_string(&cancel_request).expect("a cancel request can be serialized");
        let request = minreq::post(format!("http://{address}/v1/cancel")).with_body(body);
        // An endpoint that cannot be reached has nothing to cancel, or stops the work when its
        // connection closes.
        let _ = request.with_timeout(CANCEL_TIMEOUT_SECONDS).send();
    }
}

/// An attempt in progress. If it is dropped before it is finished, it is cancelled at the endpoint.
pub struct Attempt<'a> {
    shared: &'a Shared,
    upstream: &'a Upstream,
    endpoint: PoolEndpoint,
    work: u64,
    started_at: Instant,
    id: String,
    fingerprint: Fingerprint,
    /// Whether the response has a 5xx status.
    has_error_status: bool,
    is_finished: bool,
}

/// Parameters of an attempt.
pub struct AttemptParams<'a> {
    /// State shared by all threads of the router.
    pub shared: &'a Shared,
    /// Channels to the event loop.
    pub upstream: &'a Upstream,
    /// Endpoint to send the request to.
    pub endpoint: PoolEndpoint,
    /// Work that the request adds to the endpoint's load, in response tokens.
    pub work: u64,
    /// Attempt id, which the endpoint returns in its response.
    pub id: String,
    /// Fingerprint of the caller's request, which is the same when the caller sends it again.
    pub fingerprint: Fingerprint,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Whether responses with any status are passed to the caller, as for plain services. Otherwise
    /// a status that is not 2xx is an error.
    pub accepts_any_status: bool,
    /// Whether the request may be executed twice.
    pub is_repeatable: bool,
}

impl<'a> Attempt<'a> {
    /// Sends a request to the endpoint and waits for the head of the response. Failures are
    /// recorded as by [`Attempt::record_failure`].
    pub fn send(
        params: AttemptParams<'a>,
        request: http::request::Builder,
        body: impl Into<Bytes>,
    ) -> Result<(Attempt<'a>, Reply)> {
        let AttemptParams { accepts_any_status, is_repeatable, deadline, .. } = params;
        let mut attempt = Attempt::start(params);
        let host = &attempt.endpoint.address;
        // An endpoint that aborts a response closes the connection only if the request forbids
        // keep-alive.
        let request = request
            .header(http::header::HOST, host)
            .header(http::header::CONNECTION, "close")
            .header(headers::ATTEMPT, &attempt.id)
            .body(Full::new(body.into()));
        let result = request
            .map_err(|err| Error::new(Code::BadBody, err.to_string()))
            .and_then(|request| attempt.exchange(request, is_repeatable, deadline))
            .and_then(|reply| attempt.read_head(&reply, accepts_any_status).map(|()| reply));
        match result {
            Ok(reply) => {
                attempt.has_error_status = reply.head.status.is_server_error();
                Ok((attempt, reply))
            }
            Err(err) => {
                attempt.record_failure(&err);
                Err(err)
            }
        }
    }

    /// Creates an attempt and adds its work to the endpoint's load.
    fn start(params: AttemptParams<'a>) -> Attempt<'a> {
        params.endpoint.state.begin_work(params.work);
        Attempt {
            shared: params.shared,
            upstream: params.upstream,
            endpoint: params.endpoint,
            work: params.work,
            started_at: Instant::now(),
            id: params.id,
            fingerprint: params.fingerprint,
            has_error_status: false,
            is_finished: false,
        }
    }

    /// Passes the request to the event loop and waits for the head of the response.
    fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        is_repeatable: bool,
        deadline: Instant,
    ) -> Result<Reply> {
        let (reply, reply_receiver) = oneshot::channel();
        let endpoint_request = EndpointRequest {
            endpoint: self.endpoint.id.clone(),
            address: self.endpoint.address.clone(),
            attempt_id: self.id.clone(),
            request,
            is_repeatable,
            deadline,
            reply,
        };
        let host_stopping = || Error::new(Code::Draining, "the host is shutting down");
        self.upstream.requests.send(endpoint_request).map_err(|_| host_stopping())?;
        let result = reply_receiver
            .blocking_recv()
            .map_err(|_| host_stopping().with_executed(Executed::Unknown))?;
        result.map_err(|err| self.with_endpoint_name(err))
    }

    /// Returns the endpoint that the request was sent to.
    pub fn endpoint(&self) -> &PoolEndpoint {
        &self.endpoint
    }

    /// Returns the attempt id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Prefixes the message of an error with the endpoint id.
    fn with_endpoint_name(&self, err: Error) -> Error {
        Error { message: format!("{}: {}", self.endpoint.id, err.message), ..err }
    }

    /// Returns the error for an incomplete or invalid response. The request may have been executed.
    pub fn endpoint_error(&self, reason: &str) -> Error {
        let message = format!("{}: {reason}", self.endpoint.id);
        Error::new(Code::EndpointFailed, message).with_executed(Executed::Unknown)
    }

    /// Waits for the next part of a body. Returns `None` at its end, and an error if the connection
    /// was lost before.
    pub fn next_body_part(&self, reply: &mut Reply) -> Result<Option<Bytes>> {
        match reply.body.blocking_recv() {
            Some(Ok(BodyPart::Bytes(bytes))) => Ok(Some(bytes)),
            Some(Ok(BodyPart::End)) => Ok(None),
            Some(Err(err)) => Err(self.with_endpoint_name(err)),
            None => Err(self.endpoint_error("the response ended early")),
        }
    }

    /// Reads a complete body. Fails if it is larger than `max_bytes`.
    pub fn read_body(&self, reply: &mut Reply, max_bytes: usize) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        while let Some(part) = self.next_body_part(reply)? {
            body.extend_from_slice(&part);
            if body.len() > max_bytes {
                return Err(
                    self.endpoint_error(&format!("the response is larger than {max_bytes} bytes"))
                );
            }
        }
        Ok(body)
    }

    /// Records the load and the shutdown notice in the head of a response. Returns an error if the
    /// endpoint refused the request, or if the status is not 2xx and only a 2xx status is accepted.
    fn read_head(&self, reply: &Reply, accepts_any_status: bool) -> Result<()> {
        let header = |name| reply.head.headers.get(name).and_then(|v| v.to_str().ok());
        if let Some((work, capacity)) = header(headers::LOAD).and_then(parse_load_header) {
            self.endpoint.state.record_load_report(self.shared.now(), work, capacity);
        }
        if header(headers::LEAVING).is_some() {
            self.endpoint.state.set_leaving(true);
            let _ =
                self.shared.control.send(ControlMsg::EndpointLeaving(self.endpoint.id.to_string()));
        }
        let is_from_endpoint = header(headers::ATTEMPT).is_some();
        match reply.head.status {
            status if status.is_success() => Ok(()),
            StatusCode::SERVICE_UNAVAILABLE
                if is_from_endpoint && header(headers::NOT_RUN).is_some() =>
            {
                let message = format!("{} refused the request", self.endpoint.id);
                Err(Error::new(Code::EndpointRefused, message)
                    .with_retry_after(REFUSED_RETRY_AFTER_MS))
            }
            _ if accepts_any_status => Ok(()),
            status => {
                Err(self.endpoint_error(&format!("responded with status {}", status.as_u16())))
            }
        }
    }

    /// Records a failed attempt and cancels it at the endpoint if it may still be running.
    pub fn record_failure(&mut self, err: &Error) {
        if err.code == Code::WrongAnswer {
            self.shared.metrics.count_event("answer_mismatch");
            self.shared.log(Event::AnswerMismatch, &self.id);
        }
        // A refusal does not mean that the endpoint is unhealthy, and the caller may have set the
        // deadline that was missed.
        let is_endpoint_fault =
            !matches!(err.code, Code::EndpointRefused | Code::Deadline | Code::CallerLeft);
        if is_endpoint_fault {
            self.endpoint.state.record_outcome(self.shared.now(), false);
        }
        if err.executed != Executed::No
            && matches!(
                err.disconnect_cause,
                Some(DisconnectCause::Closed | DisconnectCause::Reset)
            )
        {
            self.record_crash();
        }
        self.shared.metrics.count_event("attempt_failed");
        self.shared.log(Event::AttemptFailed, &format!("{} {err}", self.id));
        self.finish(err.executed != Executed::No);
    }

    /// Records a crash of the endpoint if its address refuses connections, with the request as a
    /// suspect.
    fn record_crash(&self) {
        if !refuses_connections(&self.endpoint.address) {
            return;
        }
        let now = self.shared.now();
        let sent_at = Millis(now.0.saturating_sub(self.started_at.elapsed().as_millis() as u64));
        let PoolEndpoint { id, failure_domain, state, .. } = &self.endpoint;
        state.record_unreachable(now);
        let suspects = &self.shared.suspects;
        let crashes = suspects.record_crash(now, self.fingerprint, id, failure_domain, sent_at);
        self.shared.metrics.count_event("endpoint_crashed");
        let text = format!("{} {id} fingerprint={} crashes={crashes}", self.id, self.fingerprint);
        self.shared.log(Event::EndpointCrashed, &text);
    }

    /// Records that the complete response was read.
    pub fn record_success(&mut self) {
        // A 5xx status does not prove that the endpoint survives the request: it may have failed
        // before executing it.
        if !self.has_error_status {
            self.shared.suspects.record_completion(self.shared.now(), self.fingerprint);
        }
        self.endpoint.state.record_outcome(self.shared.now(), true);
        self.endpoint
            .state
            .record_duration(self.work, self.started_at.elapsed().as_micros() as u64);
        self.finish(false);
    }

    /// Removes the request's work from the endpoint's load and, with `should_cancel`, cancels the
    /// attempt. Only the first call has an effect.
    fn finish(&mut self, should_cancel: bool) {
        if self.is_finished {
            return;
        }
        self.is_finished = true;
        self.endpoint.state.end_work(self.work);
        if should_cancel {
            let _ = self.upstream.cancels.send((self.endpoint.address.clone(), self.id.clone()));
        }
    }
}

impl Drop for Attempt<'_> {
    fn drop(&mut self) {
        self.finish(true);
    }
}

/// Reports whether an address refuses connections. A process that is exiting may still accept
/// connections for a moment after its existing ones have been closed, so an address that accepts
/// the first probe is probed again.
fn refuses_connections(address: &str) -> bool {
    let Ok(address) = address.parse::<SocketAddr>() else { return false };
    let connect =
        || TcpStream::connect_timeout(&address, PROBE_CONNECT_TIMEOUT).map_err(|err| err.kind());
    let last_result = connect().and_then(|_| {
        std::thread::sleep(SECOND_PROBE_DELAY);
        connect()
    });
    last_result.is_err_and(|kind| kind == ErrorKind::ConnectionRefused)
}

/// Reads the data of server-sent events one by one.
pub struct EventReader {
    reply: Reply,
    splitter: EventSplitter,
    pending_data: VecDeque<String>,
}

impl EventReader {
    /// Creates a reader of the body of a response.
    pub fn new(reply: Reply) -> EventReader {
        EventReader { reply, splitter: EventSplitter::default(), pending_data: VecDeque::new() }
    }

    /// Waits for the next data line. Returns `None` at the end of the body, and an error if the
    /// body is interrupted or an event is too long.
    pub fn next_data(&mut self, attempt: &Attempt<'_>) -> Result<Option<String>> {
        loop {
            if let Some(data) = self.pending_data.pop_front() {
                return Ok(Some(data));
            }
            if let Some(event) = self.splitter.next_event() {
                self.pending_data.extend(data_lines(&event.bytes));
            } else if self.splitter.is_overlong() {
                return Err(attempt.endpoint_error("an event of the stream is too long"));
            } else {
                match attempt.next_body_part(&mut self.reply)? {
                    Some(part) => self.splitter.push(&part),
                    None => return Ok(None),
                }
            }
        }
    }
}

/// Returns the data lines of an event without the `data:` prefix.
fn data_lines(event: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(event);
    let lines = text.lines().filter_map(|line| line.trim_end().strip_prefix("data:"));
    lines.map(|data| data.trim_start().to_string()).collect()
}
