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

use crate::dialect::ResponseFacts;
use crate::pool::{broke, Lease, Pool};

/// Largest answer that is collected before it is passed on, in bytes.
pub const MOST_COLLECTED: usize = 1 << 20;

/// An answer whose head is the endpoint's own.
pub struct Answered {
    /// Head of the answer.
    pub head: http::response::Parts,
    /// What the head says.
    pub facts: ResponseFacts,
    /// Body of the answer.
    pub body: Incoming,
    /// The connection it comes on.
    pub lease: Lease,
}

impl Answered {
    /// Tells whether the answer, once whole, shows that its request ran to a good end. One that ends with its connection
    /// looks whole where its endpoint crashed, and an endpoint may fail a request before running it.
    pub fn shows_good_end(&self) -> bool {
        let headers = &self.head.headers;
        let is_framed =
            headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
        is_framed && !self.head.status.is_server_error()
    }
}

/// Whether an endpoint repeats the attempt's id with its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Echo {
    /// Each answer does.
    Always,
    /// Some endpoints do not know of it; an answer with another id is another's all the same.
    IfKnown,
}

/// An attempt to be made.
pub struct Attempt<'a> {
    /// The pool of connections.
    pub pool: &'a Pool,
    /// Reads the head of an answer.
    pub read_answer: fn(&HeaderMap) -> ResponseFacts,
    /// Is shown what the head of the endpoint's own answer says, a refusal's too.
    pub seen: &'a dyn Fn(&ResponseFacts),
    /// Name of the endpoint.
    pub endpoint: &'a str,
    /// Its address.
    pub address: &'a str,
    /// The attempt's id.
    pub attempt_id: Option<&'a str>,
    /// Whether the answer must repeat it.
    pub echo: Echo,
    /// Whether it may go elsewhere after a break.
    pub is_repeatable: bool,
    /// Longest rest of the connection it may go on.
    pub most_rest: Duration,
    /// When to give up.
    pub until: Instant,
}

fn failed(code: Code, text: impl Into<String>, ran: Executed) -> Error {
    Error::new(code, text).with_executed(ran)
}

/// Sends a request and waits for the head of its answer.
///
/// The error tells whether the request may have run.
pub async fn send(
    attempt: &Attempt<'_>,
    make: impl Fn() -> Request<Full<Bytes>>,
) -> Result<Answered> {
    let until = tokio::time::Instant::from_std(attempt.until);
    loop {
        let taken = attempt.pool.take(attempt.endpoint, attempt.address, attempt.most_rest);
        let mut lease = tokio::time::timeout_at(until, taken).await.map_err(|_| {
            let e = failed(Code::EndpointUnreachable, "no connection in time", Executed::No);
            e.with_disconnect_cause(DisconnectCause::TimedOut)
        })??;
        lease.waits(!attempt.is_repeatable);
        let sent = lease.sender.try_send_request(make());
        match tokio::time::timeout_at(until, sent).await {
            Err(_) => return Err(failed(Code::Deadline, "no answer in time", Executed::Unknown)),
            Ok(Ok(resp)) => return judge_head(attempt, resp, lease).await,
            Ok(Err(mut e)) => {
                let (text, broke) = (format_error_chain(e.error()), broke(e.error()));
                match (e.take_message(), lease.is_reused) {
                    // The other end had closed the connection before anything was sent.
                    (Some(_), true) => {}
                    (Some(_), false) => {
                        let e = failed(Code::EndpointUnreachable, text, Executed::No);
                        return Err(e.with_disconnect_cause(broke));
                    }
                    (None, _) => {
                        let e = failed(Code::EndpointFailed, text, Executed::Unknown);
                        return Err(e.with_disconnect_cause(broke));
                    }
                }
            }
        }
    }
}

/// Checks that an answer is the endpoint's own and belongs to this request.
async fn judge_head(
    attempt: &Attempt<'_>,
    resp: http::Response<Incoming>,
    lease: Lease,
) -> Result<Answered> {
    let (head, body) = resp.into_parts();
    let facts = (attempt.read_answer)(&head.headers);
    let may_lack = attempt.echo == Echo::IfKnown && facts.attempt_id.is_none();
    if !may_lack && facts.attempt_id.as_deref() != attempt.attempt_id {
        let text = format!("the answer is for {:?}", facts.attempt_id);
        return Err(failed(Code::WrongAnswer, text, Executed::Unknown));
    }
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        (attempt.seen)(&facts);
    }
    if facts.has_not_executed || head.status == StatusCode::MISDIRECTED_REQUEST {
        let text = format!("the endpoint refused with {}", head.status);
        let code = match head.status {
            StatusCode::MISDIRECTED_REQUEST => Code::EndpointMoved,
            _ => Code::EndpointRefused,
        };
        let refused = failed(code, text, Executed::No);
        let answered = Answered { head, facts, body, lease };
        keep_after_refusal(attempt, answered).await;
        return Err(refused);
    }
    let is_success = head.status.is_success();
    if !facts.has_response_seal || (is_success && facts.is_encoded) {
        let text = format!("an answer with {} that nobody vouches for", head.status);
        return Err(failed(Code::EndpointFailed, text, Executed::Unknown));
    }
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(failed(
            Code::EndpointFailed,
            "the endpoint changed protocols",
            Executed::Unknown,
        ));
    }
    Ok(Answered { head, facts, body, lease })
}

async fn keep_after_refusal(attempt: &Attempt<'_>, answered: Answered) {
    let idle_time = answered.facts.idle_time;
    if let Ok((_, lease)) = collect(answered.body, answered.lease).await {
        attempt.pool.keep(attempt.endpoint, lease, idle_time);
    }
}

/// Collects a whole body; the connection can then be kept.
pub async fn collect(body: Incoming, lease: Lease) -> Result<(Bytes, Lease)> {
    let whole = Limited::new(body, MOST_COLLECTED).collect().await;
    let whole = whole.map_err(|e| {
        let failed = failed(Code::EndpointFailed, format_error_chain(e.as_ref()), Executed::Yes);
        match e.downcast_ref::<hyper::Error>() {
            Some(e) => failed.with_disconnect_cause(broke(e)),
            None => failed,
        }
    })?;
    Ok((whole.to_bytes(), lease))
}
