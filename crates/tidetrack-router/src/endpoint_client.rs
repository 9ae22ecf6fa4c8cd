//! Requests to endpoints, sent from the event loop that serves callers.
//!
//! The thread of a caller's request sends an [`EndpointRequest`] over a channel and waits for the
//! head of the response, then for each part of its body. The HTTP client of the traffic plane
//! manages connections, verifies the attempt id and enforces the deadline. A thread that no longer
//! needs the response drops its receiver, and the connection is closed.

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
use tidetrack_plane::crash::{ended_endpoint_error, has_endpoint_ended};
use tidetrack_plane::dialect::ResponseFacts;
use tidetrack_plane::pool::{disconnect_cause, max_idle_time, Pool, UsedConnections};
use tidetrack_wire::headers;

/// A request to send to an endpoint.
pub struct EndpointRequest {
    /// Endpoint to send the request to.
    pub endpoint: EndpointId,
    /// Address of the endpoint as `ip:port`.
    pub address: String,
    /// Attempt id that the response has to contain if it contains one.
    pub attempt_id: String,
    /// Request with its complete body.
    pub request: Request<Full<Bytes>>,
    /// Whether the request may be executed twice.
    pub is_repeatable: bool,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Receives the head of the response, or the error.
    pub reply: oneshot::Sender<Result<Reply>>,
}

/// A part of a response body.
pub enum BodyPart {
    /// The next bytes of the body.
    Bytes(Bytes),
    /// The body is complete.
    End,
}

/// The head of a response and a receiver for its body.
pub struct Reply {
    /// Status and headers.
    pub head: Parts,
    /// Parts of the body. Without a final [`BodyPart::End`], the body is incomplete.
    pub body: mpsc::Receiver<Result<BodyPart>>,
}

/// Sends requests until all senders have been dropped.
pub async fn run(requests: flume::Receiver<EndpointRequest>) {
    let pool = Rc::new(Pool::for_endpoints());
    let idle_sweeper = pool.clone();
    tokio::task::spawn_local(async move { idle_sweeper.run_expiry(|_| true).await });
    while let Ok(request) = requests.recv_async().await {
        tokio::task::spawn_local(request.execute(pool.clone()));
    }
}

impl EndpointRequest {
    /// Sends the request and forwards the response to the waiting thread. The connection is
    /// returned to the pool only if the body was complete.
    async fn execute(mut self, pool: Rc<Pool>) {
        // The id belongs to this attempt alone.
        let used_connections = UsedConnections::default();
        let attempt = Attempt {
            pool: &pool,
            read_answer,
            on_head: &|_| {},
            on_response: &|_| {},
            endpoint: self.endpoint.as_str(),
            address: &self.address,
            attempt_id: Some(&self.attempt_id),
            echo: IdEcho::Optional,
            is_repeatable: self.is_repeatable,
            max_idle: max_idle_time(self.is_repeatable),
            used_connections: &used_connections,
            deadline: self.deadline,
        };
        let result = tokio::select! {
            result = attempt::send(&attempt, || self.request.clone()) => result,
            () = self.reply.closed() => return,
        };
        let response = match result {
            Ok(response) => response,
            Err(err) => {
                // The thread may have stopped waiting; the error is dropped then.
                drop(self.reply.send(Err(err)));
                return;
            }
        };
        let ends_with_connection = response.ends_with_connection();
        let EndpointResponse { head, body, lease, .. } = response;
        let (part_sender, part_receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        if self.reply.send(Ok(Reply { head, body: part_receiver })).is_err() {
            return;
        }
        if forward_body(body, &part_sender, self.deadline).await {
            let name = self.endpoint.as_str();
            let was_cut_off =
                ends_with_connection && has_endpoint_ended(&pool, name, &self.address).await;
            pool.release(name, lease, None);
            let end = if was_cut_off { Err(ended_endpoint_error()) } else { Ok(BodyPart::End) };
            drop(part_sender.send(end).await);
        }
    }
}

/// Forwards a body to the waiting thread. Returns true if it was forwarded completely.
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
                // Trailers are not forwarded.
                Err(_) => continue,
            },
            Ok(None) => return true,
            Ok(Some(Err(err))) => Err(interrupted_error(Code::EndpointFailed, &err.to_string())
                .with_disconnect_cause(disconnect_cause(&err))),
            Err(_) => Err(interrupted_error(
                Code::Deadline,
                "the response was not complete by the deadline",
            )),
        };
        let is_error = part.is_err();
        if part_sender.send(part).await.is_err() || is_error {
            return false;
        }
    }
}

/// Returns the error for a response that is incomplete. The request may have been executed.
fn interrupted_error(code: Code, message: &str) -> Error {
    Error::new(code, message).with_executed(Executed::Unknown)
}

/// Returns the header values that the HTTP client of the traffic plane needs. Refusals and load are
/// not among them: this product's endpoints report them in headers of their own, which the thread
/// of the request parses.
fn read_answer(head: &HeaderMap) -> ResponseFacts {
    let attempt_id = head.get(headers::ATTEMPT).and_then(|v| v.to_str().ok());
    ResponseFacts {
        attempt_id: attempt_id.map(str::to_string),
        has_response_seal: true,
        ..ResponseFacts::default()
    }
}
