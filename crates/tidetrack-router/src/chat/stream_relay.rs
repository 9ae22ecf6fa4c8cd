//! Relay of a streamed response from the endpoint to the caller.

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_wire::caller::{ResponsePart, Usage, STREAM_END};
use tidetrack_wire::endpoint::AttemptRequest;

use crate::callers::Request;
use crate::outcome::{EventStream, ResponseHeaders};
use crate::upstream::{Attempt, EventReader};

use super::Call;

/// Timeout in seconds of the request that resumes an interrupted stream.
const RESUME_TIMEOUT_SECONDS: u64 = 5;

/// The caller's side of a response. The request is present until the response starts.
pub(super) struct ResponseSink {
    pub(super) request: Option<Request>,
    pub(super) headers: ResponseHeaders,
    pub(super) stream: Option<EventStream>,
}

impl ResponseSink {
    /// Returns the stream to the caller and starts the response if it has not started. Fails if the
    /// caller has disconnected.
    pub(super) fn open_stream(&mut self) -> std::io::Result<&mut EventStream> {
        if let Some(request) = self.request.take() {
            self.stream = Some(EventStream::start(request, &self.headers)?);
        }
        self.stream.as_mut().ok_or_else(|| std::io::Error::other("the caller has disconnected"))
    }

    /// Reports whether the response to the caller has started.
    pub(super) fn has_started(&self) -> bool {
        self.request.is_none()
    }
}

/// State of a stream that is relayed to the caller.
#[derive(Default)]
pub(super) struct StreamRelay {
    /// Number of chunks with text received so far.
    pub(super) chunks: u64,
    pub(super) text: String,
    pub(super) usage: Option<Usage>,
    /// Event with the token usage, which is sent only if the caller requested it.
    usage_event: Option<String>,
    last_chunk: Option<String>,
}

impl StreamRelay {
    /// Relays events until the end marker. The end marker and the event with the token usage are
    /// not relayed; [`StreamRelay::finish`] sends them.
    pub(super) fn relay_events(
        &mut self,
        events: &mut EventReader,
        attempt: &Attempt<'_>,
        call: &Call<'_>,
        sink: &mut ResponseSink,
    ) -> Result<()> {
        loop {
            let data = events.next_data(attempt)?;
            let Some(data) = data else { return Err(attempt.endpoint_error("stream ended early")) };
            if data == STREAM_END {
                return Ok(());
            }
            let part: ResponsePart = serde_json::from_str(&data)
                .map_err(|err| attempt.endpoint_error(&err.to_string()))?;
            if part.choices.is_empty() {
                self.usage = part.usage;
                self.usage_event = Some(data);
                continue;
            }
            if self.chunks == 0 {
                call.record_first_token();
            }
            self.chunks += 1;
            self.text.push_str(part.text());
            self.usage = part.usage.or(self.usage);
            sink.open_stream()
                .and_then(|s| s.send_event(&data))
                .map_err(|err| caller_disconnected(&err))?;
            self.last_chunk = Some(data);
        }
    }

    /// Requests the rest of an interrupted response from the endpoint and relays it.
    pub(super) fn resume(&mut self, attempt: &Attempt<'_>, sink: &mut ResponseSink) -> Result<()> {
        let resume_request =
            AttemptRequest { attempt: attempt.id().to_string(), from_token: self.chunks };
        let body =
            serde_json::to_string(&resume_request).expect("the resume request can be serialized");
        let url = format!("http://{}/v1/resume", attempt.endpoint().address);
        let response =
            minreq::post(url).with_body(body).with_timeout(RESUME_TIMEOUT_SECONDS).send();
        let response = response.map_err(|err| attempt.endpoint_error(&err.to_string()))?;
        if response.status_code != 200 {
            return Err(attempt.endpoint_error("the endpoint cannot resume the response"));
        }
        let tokens: Vec<String> = serde_json::from_slice(response.as_bytes())
            .map_err(|err| attempt.endpoint_error(&err.to_string()))?;
        let count = tokens.len();
        for (index, token) in tokens.into_iter().enumerate() {
            let reason = if index + 1 == count { "stop".into() } else { serde_json::Value::Null };
            let chunk = serde_json::json!({"id": attempt.id(), "object": "chat.completion.chunk",
                "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": reason}]});
            sink.open_stream()
                .and_then(|s| s.send_event(&chunk.to_string()))
                .map_err(|err| caller_disconnected(&err))?;
            self.chunks += 1;
            self.text.push_str(&token);
        }
        Ok(())
    }

    /// Sends the event with the token usage, if the caller requested it, and the end marker.
    pub(super) fn finish(&self, wants_usage: bool, sink: &mut ResponseSink) -> std::io::Result<()> {
        let stream = sink.open_stream()?;
        if let Some(event) = self.usage_event.as_ref().filter(|_| wants_usage) {
            stream.send_event(event)?;
        }
        stream.send_event(STREAM_END)
    }
}

fn caller_disconnected(err: &std::io::Error) -> Error {
    Error::new(Code::CallerLeft, format!("the caller disconnected: {err}"))
}
