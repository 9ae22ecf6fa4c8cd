//! Callers' requests, as the traffic threads see them.
//!
//! The server reads the head and the body of a request on its event loop and passes the request to
//! a thread. The thread sends the response back over a channel. When a caller disconnects, that
//! channel is closed and the thread's next send fails.

use std::io;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};
use tokio::sync::{mpsc, oneshot};

use tidetrack_core::errors::Result;
use tidetrack_plane::body::{BodyChunk, ResponseBody, MAX_QUEUED_CHUNKS};

/// A response body that a thread sends to the event loop.
pub enum ReplyBody {
    /// The complete body.
    Complete(Bytes),
    /// The pieces of a body that is streamed.
    Streamed(mpsc::Receiver<BodyChunk>),
}

impl From<ReplyBody> for ResponseBody {
    fn from(body: ReplyBody) -> ResponseBody {
        match body {
            ReplyBody::Complete(bytes) => ResponseBody::from_bytes(bytes),
            ReplyBody::Streamed(piece_receiver) => ResponseBody::from_receiver(piece_receiver),
        }
    }
}

/// A request whose body has been read, or failed to be read.
pub struct Request {
    method: Method,
    url: String,
    headers: HeaderMap,
    body: Result<Bytes>,
    reply: oneshot::Sender<Response<ReplyBody>>,
}

/// Returns the error for a response that cannot be sent because the caller has disconnected.
fn caller_disconnected() -> io::Error {
    io::Error::new(io::ErrorKind::BrokenPipe, "the caller has disconnected")
}

impl Request {
    /// Creates a request from its head and the result of reading its body. The response is sent to
    /// `reply`.
    pub fn new(
        head: http::request::Parts,
        body: Result<Bytes>,
        reply: oneshot::Sender<Response<ReplyBody>>,
    ) -> Request {
        let url = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_string();
        Request { method: head.method, url, headers: head.headers, body, reply }
    }

    /// Returns the method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// Returns the path and the query.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Takes the body out of the request, or returns the error with which reading it failed. Later
    /// calls return an empty body.
    pub fn take_body(&mut self) -> Result<Vec<u8>> {
        std::mem::replace(&mut self.body, Ok(Bytes::new())).map(Vec::from)
    }

    /// Sends a complete response.
    pub fn respond(self, head: Response<()>, body: Vec<u8>) -> io::Result<()> {
        let response = head.map(|()| ReplyBody::Complete(body.into()));
        self.reply.send(response).map_err(|_| caller_disconnected())
    }

    /// Sends the head of a streamed response and returns the sender of its body.
    pub fn start_response(self, head: Response<()>) -> io::Result<BodySender> {
        let (piece_sender, piece_receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let response = head.map(|()| ReplyBody::Streamed(piece_receiver));
        self.reply.send(response).map_err(|_| caller_disconnected())?;
        Ok(BodySender(piece_sender))
    }
}

/// Sends the pieces of a response body. Dropping it ends the body normally.
pub struct BodySender(mpsc::Sender<BodyChunk>);

impl BodySender {
    /// Sends a piece. Blocks while the channel to a slow caller is full; fails if the caller has
    /// disconnected.
    pub fn send(&self, bytes: Vec<u8>) -> io::Result<()> {
        self.0.blocking_send(Ok(bytes.into())).map_err(|_| caller_disconnected())
    }
}

/// Returns a response head with the given status, or with status 500 if that is not a valid status.
pub fn response_head(status: u16) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    head
}
