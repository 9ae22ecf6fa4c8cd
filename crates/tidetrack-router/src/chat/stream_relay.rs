//! A streamed answer on its way from the endpoint to the caller.

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_wire::caller::{ResponsePart, Usage, STREAM_END};
use tidetrack_wire::endpoint::AttemptRequest;

use crate::callers::Request;
use crate::outcome::{EventStream, ResponseHeaders};
use crate::upstream::{Attempt, EventReader};

use super::Call;

/// Seconds that resuming a cut stream may take.
const RESUME_TIMEOUT_SECONDS: u64 = 5;

/// Where an answer goes.
pub(super) struct ResponseSink {
    pub(super) request: Option<Request>,
    pub(super) headers: ResponseHeaders,
    pub(super) stream: Option<EventStream>,
}

impl ResponseSink {
    /// Begins the answer's stream if it has not begun.
    pub(super) fn open_stream(&mut self) -> std::io::Result<&mut EventStream> {
        if let Some(request) = self.request.take() {
            self.stream = Some(EventStream::start(request, &self.headers)?);
        }
        self.stream.as_mut().ok_or_else(|| std::io::Error::other("the caller has left"))
    }

    pub(super) fn has_started(&self) -> bool {
        self.request.is_none()
    }
}

/// What came of a stream so far.
#[derive(Default)]
pub(super) struct StreamRelay {
    pub(super) chunks: u64,
    pub(super) text: String,
    pub(super) usage: Option<Usage>,
    usage_event: Option<String>,
    last_chunk: Option<String>,
}

impl StreamRelay {
    /// Passes events on until the end marker. The end marker itself is held back.
    pub(super) fn relay_events(
        &mut self,
        events: &mut EventReader,
        attempt: &Attempt<'_>,
        call: &Call<'_>,
        sink: &mut ResponseSink,
    ) -> Result<()> {
        loop {
            let data = events.next_data(attempt)?;
            let Some(data) = data else {
                return Err(attempt.interrupted_error("the stream was cut"));
            };
            if data == STREAM_END {
                return Ok(());
            }
            let part: ResponsePart = serde_json::from_str(&data)
                .map_err(|err| attempt.interrupted_error(&err.to_string()))?;
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

    /// Asks the endpoint for the rest of an answer that was cut, and passes it on.
    pub(super) fn resume(&mut self, attempt: &Attempt<'_>, sink: &mut ResponseSink) -> Result<()> {
        let resume_request =
            AttemptRequest { attempt: attempt.id().to_string(), from_token: self.chunks };
        let body = serde_json::to_string(&resume_request).expect("an ask is plain text");
        let url = format!("http://{}/v1/resume", attempt.endpoint().address);
        let response =
            minreq::post(url).with_body(body).with_timeout(RESUME_TIMEOUT_SECONDS).send();
        let response = response.map_err(|err| attempt.interrupted_error(&err.to_string()))?;
        if response.status_code != 200 {
            return Err(attempt.interrupted_error("the answer cannot be resumed"));
        }
        let tokens: Vec<String> = serde_json::from_slice(response.as_bytes())
            .map_err(|err| attempt.interrupted_error(&err.to_string()))?;
        let count = tokens.len();
        for (index, token) in tokens.into_iter().enumerate() {
            let finish_reason =
                if index + 1 == count { "stop".into() } else { serde_json::Value::Null };
            let chunk = serde_json::json!({"id": attempt.id(), "object": "chat.completion.chunk",
                "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": finish_reason}]});
            sink.open_stream()
                .and_then(|s| s.send_event(&chunk.to_string()))
                .map_err(|err| caller_disconnected(&err))?;
            self.chunks += 1;
            self.text.push_str(&token);
        }
        Ok(())
    }

    /// Sends what was held back: the usage, if it was asked for, and the end marker.
    pub(super) fn finish(&self, wants_usage: bool, sink: &mut ResponseSink) -> std::io::Result<()> {
        let stream = sink.open_stream()?;
        if let Some(event) = self.usage_event.as_ref().filter(|_| wants_usage) {
            stream.send_event(event)?;
        }
        stream.send_event(STREAM_END)
    }
}

fn caller_disconnected(err: &std::io::Error) -> Error {
    Error::new(Code::CallerLeft, format!("the caller left: {err}"))
}
