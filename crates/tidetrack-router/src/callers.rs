//! Callers' requests, as the traffic threads see them.
//!
//! The traffic plane's server reads a request on its event loop, body and all, and hands it to a
//! thread; what the thread answers goes back over a channel. A caller that leaves closes that
//! channel, so the thread learns of it with the next piece it sends.

use std::io;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};
use tokio::sync::{mpsc, oneshot};

use tidetrack_core::errors::Result;
use tidetrack_plane::body::{AnswerBody, Piece, WAITING};

/// The body of an answer, on its way to the event loop.
pub enum ReplyBody {
    /// All of it.
    Complete(Bytes),
    /// Pieces as they come.
    Streamed(mpsc::Receiver<Piece>),
}

impl From<ReplyBody> for AnswerBody {
    fn from(body: ReplyBody) -> AnswerBody {
        match body {
            ReplyBody::Complete(bytes) => AnswerBody::whole(bytes),
            ReplyBody::Streamed(piece_receiver) => AnswerBody::from_pieces(piece_receiver),
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

fn caller_disconnected() -> io::Error {
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
        let response = head.map(|()| ReplyBody::Complete(body.into()));
        self.reply.send(response).map_err(|_| caller_disconnected())
    }

    /// Sends the head of an answer whose pieces follow.
    pub fn start_response(self, head: Response<()>) -> io::Result<BodySender> {
        let (piece_sender, piece_receiver) = mpsc::channel(WAITING);
        let response = head.map(|()| ReplyBody::Streamed(piece_receiver));
        self.reply.send(response).map_err(|_| caller_disconnected())?;
        Ok(BodySender(piece_sender))
    }
}

/// Sends the pieces of an answer. Dropping it ends the body properly.
pub struct BodySender(mpsc::Sender<Piece>);

impl BodySender {
    /// Sends a piece, waiting for a slow caller.
    pub fn send(&self, bytes: Vec<u8>) -> io::Result<()> {
        self.0.blocking_send(Ok(bytes.into())).map_err(|_| caller_disconnected())
    }
}

/// Makes the head of an answer.
pub fn response_head(status: u16) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    head
}
