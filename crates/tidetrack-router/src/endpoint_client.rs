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
use tidetrack_plane::attempt::{self, Answered, Attempt, Echo};
use tidetrack_plane::body::WAITING;
use tidetrack_plane::dialect::AnswerFacts;
use tidetrack_plane::pool::{broke, most_rest, Pool};
use tidetrack_wire::headers;

/// A request to an endpoint.
pub struct EndpointRequest {
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
    pub deadline: Instant,
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
pub async fn run(requests: flume::Receiver<EndpointRequest>) {
    let pool = Rc::new(Pool::to_endpoints());
    let idle_sweeper = pool.clone();
    tokio::task::spawn_local(async move { idle_sweeper.keep_swept(|_| true).await });
    while let Ok(request) = requests.recv_async().await {
        tokio::task::spawn_local(request.execute(pool.clone()));
    }
}

impl EndpointRequest {
    async fn execute(mut self, pool: Rc<Pool>) {
        let attempt = Attempt {
            pool: &pool,
            read_answer,
            seen: &|_| {},
            endpoint: self.endpoint.as_str(),
            address: &self.address,
            attempt_id: Some(&self.attempt_id),
            echo: Echo::IfKnown,
            is_repeatable: self.is_repeatable,
            most_rest: most_rest(self.is_repeatable),
            until: self.deadline,
        };
        let result = tokio::select! {
            result = attempt::send(&attempt, || self.request.clone()) => result,
            () = self.reply.closed() => return,
        };
        let response = match result {
            Ok(response) => response,
            Err(err) => {
                // A thread that left does not ask why.
                drop(self.reply.send(Err(err)));
                return;
            }
        };
        let Answered { head, body, lease, .. } = response;
        let (part_sender, part_receiver) = mpsc::channel(WAITING);
        if self.reply.send(Ok(Reply { head, body: part_receiver })).is_err() {
            return;
        }
        if forward_body(body, &part_sender, self.deadline).await {
            pool.keep(self.endpoint.as_str(), lease, None);
            drop(part_sender.send(Ok(BodyPart::End)).await);
        }
    }
}

/// Passes a body on; tells whether it came to its end.
async fn forward_body(
    mut body: hyper::body::Incoming,
    part_sender: &mpsc::Sender<Result<BodyPart>>,
    deadline: Instant,
) -> bool {
    loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout_at(deadline.into(), body.frame()) => frame,
            () = part_sender.closed() => return false,
        };
        let part = match frame {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => Ok(BodyPart::Bytes(bytes)),
                // Trailers say nothing that is passed on.
                Err(_) => continue,
            },
            Ok(None) => return true,
            Ok(Some(Err(err))) => Err(interrupted_error(Code::EndpointFailed, &err.to_string())
                .with_disconnect_cause(broke(&err))),
            Err(_) => Err(interrupted_error(Code::Deadline, "the answer was not whole in time")),
        };
        let is_error = part.is_err();
        if part_sender.send(part).await.is_err() || is_error {
            return false;
        }
    }
}

fn interrupted_error(code: Code, message: &str) -> Error {
    Error::new(code, message).with_executed(Executed::Unknown)
}

/// Reads what the plane's client has to know of an answer. Refusals and load are read by whoever
/// asked, for the product's endpoints tell them in words of their own.
fn read_answer(head: &HeaderMap) -> AnswerFacts {
    let attempt_id = head.get(headers::ATTEMPT).and_then(|v| v.to_str().ok());
    AnswerFacts {
        attempt_id: attempt_id.map(str::to_string),
        is_sealed: true,
        ..AnswerFacts::default()
    }
}
