//! How a request ends: what the caller gets, and what is counted and logged of it.

use http::{HeaderName, HeaderValue, Response};
use serde::Serialize;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::RequestId;
use tidetrack_wire::caller::ErrorResponse;
use tidetrack_wire::headers;

use crate::callers::{self, BodySender, Request};
use crate::metrics::Labels;
use crate::shared::Shared;

/// Sets a header; a value that cannot be one is left empty.
fn append_header(head: &mut Response<()>, name: &str, value: &str) {
    let value = HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""));
    if let Ok(name) = HeaderName::from_bytes(name.as_bytes()) {
        head.headers_mut().append(name, value);
    }
}

/// Gets a header of a caller's request.
pub fn header_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Headers of an answer.
#[derive(Clone, Debug, Default)]
pub struct ResponseHeaders(Vec<(String, String)>);

impl ResponseHeaders {
    /// Starts with the request's id and the caller's own, if it gave one.
    pub fn new(id: &RequestId, request: &Request) -> ResponseHeaders {
        let mut response_headers = ResponseHeaders::default();
        response_headers.add(headers::REQUEST_ID, id.to_string());
        if let Some(caller_request_id) = header_value(request, headers::CALLER_REQUEST_ID) {
            response_headers.add(headers::CALLER_REQUEST_ID, caller_request_id.to_string());
        }
        response_headers
    }

    /// Adds a header.
    pub fn add(&mut self, name: &str, value: impl Into<String>) {
        self.0.push((name.to_string(), value.into()));
    }

    fn apply_to(&self, mut head: Response<()>) -> Response<()> {
        self.0.iter().for_each(|(name, value)| append_header(&mut head, name, value));
        head
    }
}

/// Sends a whole answer.
pub fn send_response(
    request: Request,
    headers: &ResponseHeaders,
    status: u16,
    content_type: &str,
    body: Vec<u8>,
) -> std::io::Result<()> {
    let mut head = callers::response_head(status);
    append_header(&mut head, "Content-Type", content_type);
    request.respond(headers.apply_to(head), body)
}

/// Sends a whole answer in JSON.
pub fn send_json<T: Serialize>(
    request: Request,
    headers: &ResponseHeaders,
    status: u16,
    value: &T,
) -> std::io::Result<()> {
    let body = serde_json::to_vec(value).map_err(std::io::Error::other)?;
    send_response(request, headers, status, "application/json", body)
}

/// Sends a refusal.
pub fn send_error_response(
    request: Request,
    headers: &ResponseHeaders,
    err: &Error,
) -> std::io::Result<()> {
    let mut headers = headers.clone();
    if let Some(ms) = err.retry_after_ms {
        headers.add("Retry-After", ms.div_ceil(1_000).max(1).to_string());
        headers.add("Retry-After-Ms", ms.to_string());
    }
    send_json(request, &headers, err.code.status(), &ErrorResponse::from_error(err))
}

/// A streamed answer under way. Each event leaves at once.
pub struct EventStream {
    body_sender: BodySender,
}

impl EventStream {
    /// Sends the head of the answer.
    pub fn start(request: Request, headers: &ResponseHeaders) -> std::io::Result<EventStream> {
        let mut head = callers::response_head(200);
        append_header(&mut head, "Content-Type", "text/event-stream");
        append_header(&mut head, "Cache-Control", "no-cache");
        Ok(EventStream { body_sender: request.start_response(headers.apply_to(head))? })
    }

    /// Sends one event's data.
    pub fn send_event(&mut self, data: &str) -> std::io::Result<()> {
        self.body_sender.send(format!("data: {data}\n\n").into_bytes())
    }

    /// Ends the body with an error in the place of the end marker, so that the caller need not
    /// wait.
    pub fn end_with_error(&mut self, err: &Error) {
        let error_event =
            serde_json::to_string(&ErrorResponse::from_error(err)).unwrap_or_default();
        // A caller that has left misses nothing it waits for.
        let _ = self.send_event(&error_event);
    }
}

/// Counts and logs the end of a request.
pub fn record_outcome(shared: &Shared, id: &RequestId, labels: &Labels, outcome: &Result<()>) {
    match outcome {
        Ok(()) => {
            shared.metrics.request(labels, "TT-0");
            shared.log(Event::RequestDone, &id.to_string());
        }
        Err(err) => {
            shared.metrics.request(labels, &err.code.to_string());
            let executed = format!("{:?}", err.executed).to_lowercase();
            shared.log(Event::RequestRefused, &format!("{id} {err} ran={executed}"));
        }
    }
}

/// Makes the error of a body that is not what the API takes.
pub fn bad_body(message: impl ToString) -> Error {
    Error::new(Code::BadBody, message.to_string())
}
