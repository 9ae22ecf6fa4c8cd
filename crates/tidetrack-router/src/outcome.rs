//! Responses to callers, and the metrics and log lines about the outcome of a request.

use http::{HeaderName, HeaderValue, Response};
use serde::Serialize;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::RequestId;
use tidetrack_wire::caller::ErrorResponse;
use tidetrack_wire::headers;

use crate::callers::{self, BodySender, Request};
use crate::metrics::RequestLabels;
use crate::shared::Shared;

/// Appends a header. A value that is not a valid header value is replaced by an empty one.
fn append_header(head: &mut Response<()>, name: &str, value: &str) {
    let value = HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""));
    if let Ok(name) = HeaderName::from_bytes(name.as_bytes()) {
        head.headers_mut().append(name, value);
    }
}

/// Returns the value of a header of a caller's request, or `None` if it is absent or not ASCII
/// text.
pub fn header_value<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Headers of a response.
#[derive(Clone, Debug, Default)]
pub struct ResponseHeaders(Vec<(String, String)>);

impl ResponseHeaders {
    /// Creates headers with the request id and, if the caller sent one, the caller's own request
    /// id.
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

    /// Appends the headers to a response head.
    fn apply_to(&self, mut head: Response<()>) -> Response<()> {
        self.0.iter().for_each(|(name, value)| append_header(&mut head, name, value));
        head
    }
}

/// Sends a complete response. Fails if the caller has disconnected.
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

/// Sends a complete response with a JSON body.
pub fn send_json<T: Serialize>(
    request: Request,
    headers: &ResponseHeaders,
    status: u16,
    value: &T,
) -> std::io::Result<()> {
    let body = serde_json::to_vec(value).map_err(std::io::Error::other)?;
    send_response(request, headers, status, "application/json", body)
}

/// Sends an error response, with `Retry-After` headers if the error has a time to retry after.
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

/// A streamed response in progress. Each event is sent without buffering.
pub struct EventStream {
    body_sender: BodySender,
}

impl EventStream {
    /// Sends the response head and starts the stream.
    pub fn start(request: Request, headers: &ResponseHeaders) -> std::io::Result<EventStream> {
        let mut head = callers::response_head(200);
        append_header(&mut head, "Content-Type", "text/event-stream");
        append_header(&mut head, "Cache-Control", "no-cache");
        Ok(EventStream { body_sender: request.start_response(headers.apply_to(head))? })
    }

    /// Sends one event with the given data. Fails if the caller has disconnected.
    pub fn send_event(&mut self, data: &str) -> std::io::Result<()> {
        self.body_sender.send(format!("data: {data}\n\n").into_bytes())
    }

    /// Sends an error event instead of the end marker, so that the caller does not wait for more.
    pub fn end_with_error(&mut self, err: &Error) {
        let error_event =
            serde_json::to_string(&ErrorResponse::from_error(err)).unwrap_or_default();
        // A failed send means that the caller has disconnected.
        let _ = self.send_event(&error_event);
    }
}

/// Records the outcome of a request in the metrics and the log.
pub fn record_outcome(
    shared: &Shared,
    id: &RequestId,
    labels: &RequestLabels,
    outcome: &Result<()>,
) {
    match outcome {
        Ok(()) => {
            shared.metrics.record_request(labels, "TT-0");
            shared.log(Event::RequestDone, &id.to_string());
        }
        Err(err) => {
            shared.metrics.record_request(labels, &err.code.to_string());
            let executed = format!("{:?}", err.executed).to_lowercase();
            shared.log(Event::RequestRefused, &format!("{id} {err} ran={executed}"));
        }
    }
}

/// Returns the error for a request body that the API does not accept.
pub fn bad_body(message: impl ToString) -> Error {
    Error::new(Code::BadBody, message.to_string())
}
