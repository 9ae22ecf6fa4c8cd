//! Requests to endpoints, carried out on the event loop that serves callers.
//!
//! The thread of a request hands an errand over and waits for the head of the answer, then for each
//! part of its body. The plane's client does the rest: kept connections, the check of the attempt's
//! id, the deadline. A thread that no longer wants the answer drops its end, and the connection is
//! closed.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use http::response::Parts;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use tokio::sync::{mpsc, oneshot};

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::ids::EndpointId;
use tidetrack_plane::attempt::{self, Attempt, EndpointResponse, IdEcho};
use tidetrack_plane::body::MAX_QUEUED_CHUNKS;
use tidetrack_plane::dialect::ResponseFacts;
use tidetrack_plane::pool::{disconnect_cause, max_idle_time, Pool};
use tidetrack_wire::headers;

/// A request to an endpoint.
pub struct Errand {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: String,
    /// The attempt's id.
    pub attempt_id: String,
    /// The request.
    pub request: Request<Full<Bytes>>,
    /// Whether it may run twice.
    pub is_repeatable: bool,
    /// When to give up.
    pub until: Instant,
    /// Takes the answer.
    pub reply: oneshot::Sender<Result<Reply>>,
}

/// A part of an answer's body.
pub enum BodyPart {
    /// Some bytes.
    Bytes(Bytes),
    /// The body has come to its end.
    End,
}

/// The head of an answer, and its body as it comes.
pub struct Reply {
    /// The head.
    pub head: Parts,
    /// The body; ends without `BodyPart::End` where it broke off.
    pub body: mpsc::Receiver<Result<BodyPart>>,
}

/// Carries errands out until the other end is gone.
pub async fn run(errands: flume::Receiver<Errand>) {
    let pool = Rc::new(Pool::for_endpoints());
    let swept = pool.clone();
    tokio::task::spawn_local(async move { swept.run_expiry(|_| true).await });
    while let Ok(errand) = errands.recv_async().await {
        tokio::task::spawn_local(errand.carry_out(pool.clone()));
    }
}

impl Errand {
    async fn carry_out(mut self, pool: Rc<Pool>) {
        let attempt = Attempt {
            pool: &pool,
            read_answer,
            on_head: &|_| {},
            endpoint: self.endpoint.as_str(),
            address: &self.address,
            attempt_id: Some(&self.attempt_id),
            echo: IdEcho::Optional,
            is_repeatable: self.is_repeatable,
            max_idle: max_idle_time(self.is_repeatable),
            deadline: self.until,
        };
        let sent = tokio::select! {
            sent = attempt::send(&attempt, || self.request.clone()) => sent,
            () = self.reply.closed() => return,
        };
        let answered = match sent {
            Ok(answered) => answered,
            Err(e) => {
                // A thread that left does not ask why.
                drop(self.reply.send(Err(e)));
                return;
            }
        };
        let EndpointResponse { head, body, lease, .. } = answered;
        let (parts, taken) = mpsc::channel(MAX_QUEUED_CHUNKS);
        if self.reply.send(Ok(Reply { head, body: taken })).is_err() {
            return;
        }
        if pass_on(body, &parts, self.until).await {
            pool.release(self.endpoint.as_str(), lease, None);
            drop(parts.send(Ok(BodyPart::End)).await);
        }
    }
}

/// Passes a body on; tells whether it came to its end.
async fn pass_on(
    mut body: hyper::body::Incoming,
    parts: &mpsc::Sender<Result<BodyPart>>,
    until: Instant,
) -> bool {
    loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout_at(until.into(), body.frame()) => frame,
            () = parts.closed() => return false,
        };
        let part = match frame {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => Ok(BodyPart::Bytes(bytes)),
                // Trailers say nothing that is passed on.
                Err(_) => continue,
            },
            Ok(None) => return true,
            Ok(Some(Err(e))) => Err(broken(Code::EndpointFailed, &e.to_string())
                .with_disconnect_cause(disconnect_cause(&e))),
            Err(_) => Err(broken(Code::Deadline, "the answer was not whole in time")),
        };
        let is_over = part.is_err();
        if parts.send(part).await.is_err() || is_over {
            return false;
        }
    }
}

fn broken(code: Code, why: &str) -> Error {
    Error::new(code, why).with_executed(Executed::Unknown)
}

/// Reads what the plane's client has to know of an answer. Refusals and load are read by whoever
/// asked, for the product's endpoints tell them in words of their own.
fn read_answer(head: &HeaderMap) -> ResponseFacts {
    let attempt_id = head.get(headers::ATTEMPT).and_then(|v| v.to_str().ok());
    ResponseFacts {
        attempt_id: attempt_id.map(str::to_string),
        has_response_seal: true,
        ..ResponseFacts::default()
    }
}
