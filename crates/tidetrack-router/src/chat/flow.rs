//! A streamed answer on its way from the endpoint to the caller.

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_wire::caller::{ResponsePart, Usage, STREAM_END};
use tidetrack_wire::endpoint::AttemptRequest;

use crate::callers::Request;
use crate::outcome::{AnswerHeaders, Stream};
use crate::upstream::{Attempt, Events};

use super::Call;

/// Seconds that resuming a cut stream may take.
const RESUME_SECONDS: u64 = 5;

/// Where an answer goes.
pub(super) struct Out {
    pub(super) request: Option<Request>,
    pub(super) headers: AnswerHeaders,
    pub(super) stream: Option<Stream>,
}

impl Out {
    /// Begins the answer's stream if it has not begun.
    pub(super) fn stream(&mut self) -> std::io::Result<&mut Stream> {
        if let Some(request) = self.request.take() {
            self.stream = Some(Stream::begin(request, &self.headers)?);
        }
        self.stream.as_mut().ok_or_else(|| std::io::Error::other("the caller has left"))
    }

    pub(super) fn has_begun(&self) -> bool {
        self.request.is_none()
    }
}

/// What came of a stream so far.
#[derive(Default)]
pub(super) struct Flow {
    pub(super) chunks: u64,
    pub(super) text: String,
    pub(super) usage: Option<Usage>,
    usage_event: Option<String>,
    last_chunk: Option<String>,
}

impl Flow {
    /// Passes events on until the end marker. The end marker itself is held back.
    pub(super) fn pass(
        &mut self,
        events: &mut Events,
        attempt: &Attempt<'_>,
        call: &Call<'_>,
        out: &mut Out,
    ) -> Result<()> {
        loop {
            let data = events.next_data(attempt)?;
            let Some(data) = data else { return Err(attempt.cut("the stream was cut")) };
            if data == STREAM_END {
                return Ok(());
            }
            let part: ResponsePart =
                serde_json::from_str(&data).map_err(|e| attempt.cut(&e.to_string()))?;
            if part.choices.is_empty() {
                self.usage = part.usage;
                self.usage_event = Some(data);
                continue;
            }
            if self.chunks == 0 {
                call.note_first_token();
            }
            self.chunks += 1;
            self.text.push_str(part.text());
            self.usage = part.usage.or(self.usage);
            out.stream().and_then(|s| s.event(&data)).map_err(|e| caller_left(&e))?;
            self.last_chunk = Some(data);
        }
    }

    /// Asks the endpoint for the rest of an answer that was cut, and passes it on.
    pub(super) fn resume(&mut self, attempt: &Attempt<'_>, out: &mut Out) -> Result<()> {
        let ask = AttemptRequest { attempt: attempt.id().to_string(), from_token: self.chunks };
        let body = serde_json::to_string(&ask).expect("an ask is plain text");
        let url = format!("http://{}/v1/resume", attempt.endpoint().address);
        let response = minreq::post(url).with_body(body).with_timeout(RESUME_SECONDS).send();
        let response = response.map_err(|e| attempt.cut(&e.to_string()))?;
        if response.status_code != 200 {
            return Err(attempt.cut("the answer cannot be resumed"));
        }
        let tokens: Vec<String> =
            serde_json::from_slice(response.as_bytes()).map_err(|e| attempt.cut(&e.to_string()))?;
        let count = tokens.len();
        for (i, token) in tokens.into_iter().enumerate() {
            let finish = if i + 1 == count { "stop".into() } else { serde_json::Value::Null };
            let chunk = serde_json::json!({"id": attempt.id(), "object": "chat.completion.chunk",
                "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": finish}]});
            out.stream().and_then(|s| s.event(&chunk.to_string())).map_err(|e| caller_left(&e))?;
            self.chunks += 1;
            self.text.push_str(&token);
        }
        Ok(())
    }

    /// Sends what was held back: the usage, if it was asked for, and the end marker.
    pub(super) fn finish(&self, wants_usage: bool, out: &mut Out) -> std::io::Result<()> {
        let stream = out.stream()?;
        if let Some(event) = self.usage_event.as_ref().filter(|_| wants_usage) {
            stream.event(event)?;
        }
        stream.event(STREAM_END)
    }
}

fn caller_left(e: &std::io::Error) -> Error {
    Error::new(Code::CallerLeft, format!("the caller left: {e}"))
}
