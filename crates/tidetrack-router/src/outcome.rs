//! How a request ends: what the caller gets, and what is counted and logged of it.

use http::{HeaderName, HeaderValue, Response};
use serde::Serialize;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::RequestId;
use tidetrack_wire::caller::ErrorResponse;
use tidetrack_wire::headers;

use crate::callers::{self, Pieces, Request};
use crate::metrics::RequestLabels;
use crate::shared::Shared;

/// Sets a header; a value that cannot be one is left empty.
fn set(head: &mut Response<()>, name: &str, value: &str) {
    let value = HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""));
    if let Ok(name) = HeaderName::from_bytes(name.as_bytes()) {
        head.headers_mut().append(name, value);
    }
}

/// Gets a header of a caller's request.
pub fn header_of<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Headers of an answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerHeaders(Vec<(String, String)>);

impl AnswerHeaders {
    /// Starts with the request's id and the caller's own, if it gave one.
    pub fn new(id: &RequestId, request: &Request) -> AnswerHeaders {
        let mut all = AnswerHeaders::default();
        all.add(headers::REQUEST_ID, id.to_string());
        if let Some(own) = header_of(request, headers::CALLER_REQUEST_ID) {
            all.add(headers::CALLER_REQUEST_ID, own.to_string());
        }
        all
    }

    /// Adds a header.
    pub fn add(&mut self, name: &str, value: impl Into<String>) {
        self.0.push((name.to_string(), value.into()));
    }

    fn on(&self, mut head: Response<()>) -> Response<()> {
        self.0.iter().for_each(|(name, value)| set(&mut head, name, value));
        head
    }
}

/// Sends a whole answer.
pub fn send_whole(
    request: Request,
    headers: &AnswerHeaders,
    status: u16,
    content_type: &str,
    body: Vec<u8>,
) -> std::io::Result<()> {
    let mut head = callers::head(status);
    set(&mut head, "Content-Type", content_type);
    request.respond(headers.on(head), body)
}

/// Sends a whole answer in JSON.
pub fn send_json<T: Serialize>(
    request: Request,
    headers: &AnswerHeaders,
    status: u16,
    value: &T,
) -> std::io::Result<()> {
    let body = serde_json::to_vec(value).map_err(std::io::Error::other)?;
    send_whole(request, headers, status, "application/json", body)
}

/// Sends a refusal.
pub fn send_refusal(request: Request, headers: &AnswerHeaders, e: &Error) -> std::io::Result<()> {
    let mut headers = headers.clone();
    if let Some(ms) = e.retry_after_ms {
        headers.add("Retry-After", ms.div_ceil(1_000).max(1).to_string());
        headers.add("Retry-After-Ms", ms.to_string());
    }
    send_json(request, &headers, e.code.status(), &ErrorResponse::from_error(e))
}

/// A streamed answer under way. Each event leaves at once.
pub struct Stream {
    pieces: Pieces,
}

impl Stream {
    /// Sends the head of the answer.
    pub fn begin(request: Request, headers: &AnswerHeaders) -> std::io::Result<Stream> {
        let mut head = callers::head(200);
        set(&mut head, "Content-Type", "text/event-stream");
        set(&mut head, "Cache-Control", "no-cache");
        Ok(Stream { pieces: request.begin(headers.on(head))? })
    }

    /// Sends one event's data.
    pub fn event(&mut self, data: &str) -> std::io::Result<()> {
        self.pieces.send(format!("data: {data}\n\n").into_bytes())
    }

    /// Ends the body with an error in the place of the end marker, so that the caller need not wait.
    pub fn fail(&mut self, e: &Error) {
        let refusal = serde_json::to_string(&ErrorResponse::from_error(e)).unwrap_or_default();
        // A caller that has left misses nothing it waits for.
        let _ = self.event(&refusal);
    }
}

/// Counts and logs the end of a request.
pub fn note(shared: &Shared, id: &RequestId, labels: &RequestLabels, outcome: &Result<()>) {
    match outcome {
        Ok(()) => {
            shared.metrics.record_request(labels, "TT-0");
            shared.log(Event::RequestDone, &id.to_string());
        }
        Err(e) => {
            shared.metrics.record_request(labels, &e.code.to_string());
            let ran = format!("{:?}", e.executed).to_lowercase();
            shared.log(Event::RequestRefused, &format!("{id} {e} ran={ran}"));
        }
    }
}

/// Makes the error of a body that is not what the API takes.
pub fn bad_body(why: impl ToString) -> Error {
    Error::new(Code::BadBody, why.to_string())
}
