//! One attempt: a request goes to one endpoint, and the head of its answer comes back.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::disconnect::{format_error_chain, DisconnectCause};
use tidetrack_core::errors::{Error, Result};

use crate::dialect::AnswerFacts;
use crate::pool::{disconnect_cause, Lease, Pool};

/// Largest answer that is collected before it is passed on, in bytes.
pub const MAX_COLLECTED_BYTES: usize = 1 << 20;

/// An answer whose head is the endpoint's own.
pub struct EndpointResponse {
    /// Head of the answer.
    pub head: http::response::Parts,
    /// What the head says.
    pub facts: AnswerFacts,
    /// Body of the answer.
    pub body: Incoming,
    /// The connection it comes on.
    pub lease: Lease,
}

impl EndpointResponse {
    /// Tells whether the answer, once whole, shows that its request ran to a good end. One that ends with its connection
    /// looks whole where its endpoint crashed, and an endpoint may fail a request before running it.
    pub fn proves_completion(&self) -> bool {
        let headers = &self.head.headers;
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        is_framed && !self.head.status.is_server_error()
    }
}

/// Whether an endpoint repeats the attempt's id with its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdEcho {
    /// Each answer does.
    Required,
    /// Some endpoints do not know of it; an answer with another id is another's all the same.
    Optional,
}

/// An attempt to be made.
pub struct Attempt<'a> {
    /// The pool of connections.
    pub pool: &'a Pool,
    /// Reads the head of an answer.
    pub read_answer: fn(&HeaderMap) -> AnswerFacts,
    /// Is shown what the head of the endpoint's own answer says, a refusal's too.
    pub on_head: &'a dyn Fn(&AnswerFacts),
    /// Name of the endpoint.
    pub endpoint: &'a str,
    /// Its address.
    pub address: &'a str,
    /// The attempt's id.
    pub attempt_id: Option<&'a str>,
    /// Whether the answer must repeat it.
    pub echo: IdEcho,
    /// Whether it may go elsewhere after a break.
    pub is_repeatable: bool,
    /// Longest rest of the connection it may go on.
    pub max_idle: Duration,
    /// When to give up.
    pub deadline: Instant,
}

fn make_error(code: Code, text: impl Into<String>, executed: Executed) -> Error {
    Error::new(code, text).with_executed(executed)
}

/// Sends a request and waits for the head of its answer.
///
/// The error tells whether the request may have run.
pub async fn send(
    attempt: &Attempt<'_>,
    make_request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<EndpointResponse> {
    let deadline = tokio::time::Instant::from_std(attempt.deadline);
    loop {
        let acquired = attempt.pool.acquire(attempt.endpoint, attempt.address, attempt.max_idle);
        let mut lease = tokio::time::timeout_at(deadline, acquired).await.map_err(|_| {
            let e = make_error(Code::EndpointUnreachable, "no connection in time", Executed::No);
            e.with_disconnect_cause(DisconnectCause::TimedOut)
        })??;
        lease.set_unrepeatable(!attempt.is_repeatable);
        let response = lease.sender.try_send_request(make_request());
        match tokio::time::timeout_at(deadline, response).await {
            Err(_) => {
                return Err(make_error(Code::Deadline, "no answer in time", Executed::Unknown))
            }
            Ok(Ok(resp)) => return check_head(attempt, resp, lease).await,
            Ok(Err(mut e)) => {
                let (text, cause) = (format_error_chain(e.error()), disconnect_cause(e.error()));
                match (e.take_message(), lease.is_reused) {
                    // The other end had closed the connection before anything was sent.
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

/// Checks that an answer is the endpoint's own and belongs to this request.
async fn check_head(
    attempt: &Attempt<'_>,
    resp: http::Response<Incoming>,
    lease: Lease,
) -> Result<EndpointResponse> {
    let (head, body) = resp.into_parts();
    let facts = (attempt.read_answer)(&head.headers);
    let is_id_absent_and_optional = attempt.echo == IdEcho::Optional && facts.attempt_id.is_none();
    if !is_id_absent_and_optional && facts.attempt_id.as_deref() != attempt.attempt_id {
        let text = format!("the answer is for {:?}", facts.attempt_id);
        return Err(make_error(Code::WrongAnswer, text, Executed::Unknown));
    }
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        (attempt.on_head)(&facts);
    }
    if facts.did_not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
        let text = format!("the endpoint refused with {}", head.status);
        let code = match head.status {
            StatusCode::MISDIRECTED_REQUEST => Code::EndpointMoved,
            _ => Code::EndpointRefused,
        };
        let refusal = make_error(code, text, Executed::No);
        let response = EndpointResponse { head, facts, body, lease };
        reuse_after_refusal(attempt, response).await;
        return Err(refusal);
    }
    let is_success = head.status.is_success();
    if !facts.is_sealed || (is_success && facts.is_encoded) {
        let text = format!("an answer with {} that nobody vouches for", head.status);
        return Err(make_error(Code::EndpointFailed, text, Executed::Unknown));
    }
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(make_error(
            Code::EndpointFailed,
            "the endpoint changed protocols",
            Executed::Unknown,
        ));
    }
    Ok(EndpointResponse { head, facts, body, lease })
}

async fn reuse_after_refusal(attempt: &Attempt<'_>, response: EndpointResponse) {
    let idle_time = response.facts.idle_time;
    if let Ok((_, lease)) = collect(response.body, response.lease).await {
        attempt.pool.release(attempt.endpoint, lease, idle_time);
    }
}

/// Collects a whole body; the connection can then be kept.
pub async fn collect(body: Incoming, lease: Lease) -> Result<(Bytes, Lease)> {
    let collected = Limited::new(body, MAX_COLLECTED_BYTES).collect().await;
    let collected = collected.map_err(|e| {
        let error = make_error(Code::EndpointFailed, format_error_chain(e.as_ref()), Executed::Yes);
        match e.downcast_ref::<hyper::Error>() {
            Some(e) => error.with_disconnect_cause(disconnect_cause(e)),
            None => error,
        }
    })?;
    Ok((collected.to_bytes(), lease))
}
