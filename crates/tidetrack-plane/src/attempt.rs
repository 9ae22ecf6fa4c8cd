//! One attempt: sends a request to one endpoint and receives the head of its response.
//!
//! Every wait of an attempt ends at its deadline. What remains of a response that is not forwarded
//! is read in the background, only to use the connection again, and for a short time.

use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::disconnect::{format_error_chain, DisconnectCause};
use tidetrack_core::errors::{Error, Result};

use crate::dialect::ResponseFacts;
use crate::pool::{disconnect_cause, Lease, Pool, UsedConnections};
use crate::request_body::OutgoingBody;

/// Final statuses of HTTP. A response with another one, such as 101, is a failure of the endpoint.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// The transfer coding that marks the end of a body.
const CHUNKED: &str = "chunked";

/// The transfer coding that leaves a body as it is.
const IDENTITY: &str = "identity";

/// Maximum size in bytes of a discarded response body after which its connection is used again.
const MAX_DISCARDED_BYTES: usize = 64 << 10;

/// Maximum time for the rest of a discarded response to arrive. Its body usually comes with the
/// head; a new connection costs less than one that is kept open for a slow body.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(250);

/// A response that was checked to come from the endpoint itself and to belong to the attempt.
pub struct EndpointResponse {
    /// Status and headers.
    pub head: http::response::Parts,
    /// Information parsed from the headers.
    pub facts: ResponseFacts,
    /// Body, of which nothing has been read yet.
    pub body: Incoming,
    /// Connection that the body arrives on.
    pub lease: Lease,
}

impl EndpointResponse {
    /// Reports whether the complete body proves that the request was executed to its end. A body
    /// that ends when its connection closes looks complete even if the endpoint crashed, and an
    /// endpoint that reports a server error may have failed before it executed the request.
    pub fn proves_completion(&self) -> bool {
        self.is_framed() && !self.head.status.is_server_error()
    }

    /// Reports whether the body ends when its connection closes, and no end is marked in it.
    pub fn ends_with_connection(&self) -> bool {
        !self.is_framed() && !self.body.is_end_stream()
    }

    /// Reports whether the end of the body is marked. A transfer coding takes precedence over a length, and
    /// marks an end only if it is `chunked`.
    fn is_framed(&self) -> bool {
        let headers = &self.head.headers;
        let mut codings = transfer_codings(headers);
        match codings.next_back() {
            Some(last) => last == CHUNKED,
            None => headers.contains_key(CONTENT_LENGTH),
        }
    }
}

/// Returns the transfer codings of a message in the order in which they were applied, in lower case.
fn transfer_codings(headers: &HeaderMap) -> impl DoubleEndedIterator<Item = String> + '_ {
    let values = headers.get_all(TRANSFER_ENCODING).into_iter();
    let codings = values.flat_map(|value| value.as_bytes().split(|b| *b == b','));
    codings.map(|coding| String::from_utf8_lossy(coding.trim_ascii()).to_ascii_lowercase())
}

/// Reports whether the HTTP library leaves the body in a transfer coding that changes its bytes.
fn has_undecoded_body(headers: &HeaderMap) -> bool {
    transfer_codings(headers).any(|coding| !matches!(coding.as_str(), CHUNKED | IDENTITY))
}

/// Whether an endpoint must return the id of the attempt with its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdEcho {
    /// Every response contains the id.
    Required,
    /// Endpoints that do not support attempt ids omit the id. A different id still means that the
    /// response belongs to another request.
    Optional,
}

/// Parameters of an attempt.
pub struct Attempt<'a> {
    /// Pool that the connection is taken from and returned to.
    pub pool: &'a Rc<Pool>,
    /// Parses the head of a response.
    pub read_answer: fn(&HeaderMap) -> ResponseFacts,
    /// Called with the parsed head of each response of the endpoint, including refusals, but not
    /// with responses of status 421.
    pub on_head: &'a dyn Fn(&ResponseFacts),
    /// Called when any response begins, with whether its connection carried an earlier request.
    pub on_response: &'a dyn Fn(bool),
    /// Name of the endpoint, which is the key of its connections in the pool.
    pub endpoint: &'a str,
    /// IP address and port of the endpoint.
    pub address: &'a str,
    /// Id of the attempt; `None` if the request carries none.
    pub attempt_id: Option<&'a str>,
    /// Whether the response must contain the attempt id.
    pub echo: IdEcho,
    /// Whether the request may be sent to another endpoint after its connection is lost.
    pub is_repeatable: bool,
    /// Maximum time for which a reused connection may have been idle.
    pub max_idle: Duration,
    /// Connections that carried earlier attempts with the same id, and are not used again.
    pub used_connections: &'a UsedConnections,
    /// Instant at which the attempt is abandoned.
    pub deadline: Instant,
}

fn make_error(code: Code, text: impl Into<String>, executed: Executed) -> Error {
    Error::new(code, text).with_executed(executed)
}

/// Sends a request and waits for the head of the response. If the peer closes a reused connection
/// before anything is sent, the request is sent on another one.
///
/// The error states whether the request may have been executed.
pub async fn send<B: Into<OutgoingBody>>(
    attempt: &Attempt<'_>,
    make_request: impl Fn() -> Request<B>,
) -> Result<EndpointResponse> {
    let (head, body, lease) = exchange(attempt, make_request).await?;
    check_head(attempt, head, body, lease)
}

/// The unchecked head of a response, its body and the connection that it arrives on.
pub type RawResponse = (http::response::Parts, Incoming, Lease);

/// Sends a request and waits for the head of the response, without checking it.
pub async fn exchange<B: Into<OutgoingBody>>(
    attempt: &Attempt<'_>,
    make_request: impl Fn() -> Request<B>,
) -> Result<RawResponse> {
    let deadline = tokio::time::Instant::from_std(attempt.deadline);
    loop {
        let used = attempt.used_connections;
        let acquired =
            attempt.pool.acquire(attempt.endpoint, attempt.address, attempt.max_idle, used);
        let mut lease = tokio::time::timeout_at(deadline, acquired).await.map_err(|_| {
            let e = make_error(
                Code::EndpointUnreachable,
                "no connection before the deadline",
                Executed::No,
            );
            e.with_disconnect_cause(DisconnectCause::TimedOut)
        })??;
        used.record(&lease);
        lease.set_unrepeatable(!attempt.is_repeatable);
        let response = lease.sender.try_send_request(make_request().map(Into::into));
        match tokio::time::timeout_at(deadline, response).await {
            Err(_) => {
                return Err(make_error(
                    Code::Deadline,
                    "no response before the deadline",
                    Executed::Unknown,
                ))
            }
            Ok(Ok(resp)) => {
                (attempt.on_response)(lease.is_reused);
                let (head, body) = resp.into_parts();
                return Ok((head, body, lease));
            }
            Ok(Err(mut e)) => {
                let (text, cause) = (format_error_chain(e.error()), disconnect_cause(e.error()));
                match (e.take_message(), lease.is_reused) {
                    // The peer closed the idle connection before anything was sent.
                    (Some(_), true) => {}
                    (Some(_), false) => {
                        let e = make_error(Code::EndpointUnreachable, text, Executed::No);
                        return Err(e.with_disconnect_cause(cause));
                    }
                    (None, _) => {
                        let e = make_error(Code::EndpointFailed, text, Executed::Unknown);
                        return Err(e.with_disconnect_cause(cause));
                    }
                }
            }
        }
    }
}

/// Checks that a response comes from the endpoint itself and belongs to this attempt.
pub fn check_head(
    attempt: &Attempt<'_>,
    head: http::response::Parts,
    body: Incoming,
    lease: Lease,
) -> Result<EndpointResponse> {
    let facts = (attempt.read_answer)(&head.headers);
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        let text = format!("the response has status {}, which is no final one", head.status);
        return Err(make_error(Code::EndpointFailed, text, Executed::Unknown));
    }
    let is_id_absent_and_optional = attempt.echo == IdEcho::Optional && facts.attempt_id.is_none();
    if !is_id_absent_and_optional && facts.attempt_id.as_deref() != attempt.attempt_id {
        if lease.is_reused {
            attempt.pool.record_surplus(attempt.endpoint);
        }
        let text = format!("the response carries attempt id {:?}", facts.attempt_id);
        return Err(make_error(Code::WrongAnswer, text, Executed::Unknown));
    }
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        (attempt.on_head)(&facts);
    }
    if facts.has_not_executed || head.status == StatusCode::MISDIRECTED_REQUEST {
        let text = format!("the endpoint refused the request with status {}", head.status);
        let code = match head.status {
            StatusCode::MISDIRECTED_REQUEST => Code::EndpointMoved,
            _ => Code::EndpointRefused,
        };
        let refusal = make_error(code, text, Executed::No);
        discard_body(attempt.pool, attempt.endpoint, body, lease, facts.idle_time);
        return Err(refusal);
    }
    let is_success = head.status.is_success();
    let is_encoded = facts.is_encoded || has_undecoded_body(&head.headers);
    if !facts.has_response_seal || (is_success && is_encoded) {
        let text = format!(
            "the response with status {} has no seal of the endpoint or its body is encoded",
            head.status
        );
        return Err(make_error(Code::EndpointFailed, text, Executed::Unknown));
    }
    Ok(EndpointResponse { head, facts, body, lease })
}

/// Returns the connection of a response to the pool once the rest of its body, which nobody needs,
/// has been read. The connection is closed if the body is long or slow.
///
/// `idle_time` is the time after which the peer closes the idle connection, if announced. Must be
/// called on a `LocalSet`.
pub fn discard_body(
    pool: &Rc<Pool>,
    peer: &str,
    body: Incoming,
    lease: Lease,
    idle_time: Option<Duration>,
) {
    if body.is_end_stream() {
        return pool.release(peer, lease, idle_time);
    }
    let (pool, peer) = (pool.clone(), peer.to_string());
    tokio::task::spawn_local(async move {
        let rest = Limited::new(body, MAX_DISCARDED_BYTES).collect();
        // Dropping the lease closes the connection.
        if let Ok(Ok(_)) = tokio::time::timeout(DISCARD_TIMEOUT, rest).await {
            pool.release(&peer, lease, idle_time);
        }
    });
}
