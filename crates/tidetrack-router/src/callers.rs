//! Callers' requests, as the traffic threads see them.
//!
//! The traffic plane's server reads a request on its event loop, body and all, and hands it to a
//! thread; what the thread answers goes back over a channel. A caller that leaves closes that channel,
//! so the thread learns of it with the next piece it sends.

use std::io;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};
use tokio::sync::{mpsc, oneshot};

use tidetrack_core::errors::Result;
use tidetrack_plane::body::{BodyChunk, ResponseBody, MAX_QUEUED_CHUNKS};

/// The body of an answer, on its way to the event loop.
pub enum ReplyBody {
    /// All of it.
    Whole(Bytes),
    /// Pieces as they come.
    Pieces(mpsc::Receiver<BodyChunk>),
}

impl From<ReplyBody> for ResponseBody {
    fn from(body: ReplyBody) -> ResponseBody {
        match body {
            ReplyBody::Whole(bytes) => ResponseBody::from_bytes(bytes),
            ReplyBody::Pieces(rx) => ResponseBody::from_receiver(rx),
        }
    }
}

/// A request that was read.
pub struct Request {
    method: Method,
    url: String,
    headers: HeaderMap,
    body: Result<Bytes>,
    reply: oneshot::Sender<Response<ReplyBody>>,
}

fn has_left() -> io::Error {
    io::Error::new(io::ErrorKind::BrokenPipe, "the caller has left")
}

impl Request {
    /// Makes a request of its head and what reading its body gave.
    pub fn new(
        head: http::request::Parts,
        body: Result<Bytes>,
        reply: oneshot::Sender<Response<ReplyBody>>,
    ) -> Request {
        let url = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_string();
        Request { method: head.method, url, headers: head.headers, body, reply }
    }

    /// Gets the method.
    pub fn method(&self) -> &Method {
        &self.method
    }

    /// Gets path and query.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Gets the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Takes the body, or the reason why it could not be read.
    pub fn take_body(&mut self) -> Result<Vec<u8>> {
        std::mem::replace(&mut self.body, Ok(Bytes::new())).map(Vec::from)
    }

    /// Sends a whole answer.
    pub fn respond(self, head: Response<()>, body: Vec<u8>) -> io::Result<()> {
        let resp = head.map(|()| ReplyBody::Whole(body.into()));
        self.reply.send(resp).map_err(|_| has_left())
    }

    /// Sends the head of an answer whose pieces follow.
    pub fn begin(self, head: Response<()>) -> io::Result<Pieces> {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let resp = head.map(|()| ReplyBody::Pieces(rx));
        self.reply.send(resp).map_err(|_| has_left())?;
        Ok(Pieces(tx))
    }
}

/// Sends the pieces of an answer. Dropping it ends the body properly.
pub struct Pieces(mpsc::Sender<BodyChunk>);

impl Pieces {
    /// Sends a piece, waiting for a slow caller.
    pub fn send(&self, bytes: Vec<u8>) -> io::Result<()> {
        self.0.blocking_send(Ok(bytes.into())).map_err(|_| has_left())
    }
}

/// Makes the head of an answer.
pub fn head(status: u16) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    head
}
