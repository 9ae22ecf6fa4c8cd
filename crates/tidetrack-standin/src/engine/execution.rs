//! Execution of one request: sends a complete or streamed response and applies the injected faults.

use std::io::Write;
use std::time::Duration;

use serde_json::json;
use tiny_http::{Request, Response};

use tidetrack_core::placement::hash_fraction;
use tidetrack_wire::caller::{ChatRequest, STREAM_END};
use tidetrack_wire::{headers, stream};

use crate::http::{self, make_header};

use super::Engine;

/// A request that holds a slot of the engine.
pub(super) struct Execution<'a> {
    pub(super) engine: &'a Engine,
    pub(super) id: String,
    pub(super) attempt: String,
    pub(super) chat: ChatRequest,
    pub(super) tokens: Vec<String>,
}

impl Execution<'_> {
    pub(super) fn execute(self, request: Request) {
        let last_message =
            self.chat.messages.last().map(|m| m.content.to_string()).unwrap_or_default();
        let (should_fail, loses_response) = {
            let mut state = self.engine.lock();
            state.counts.started += 1;
            *state.counts.attempts.entry(self.attempt.clone()).or_default() += 1;
            *state.counts.prompts.entry(last_message).or_default() += 1;
            let fail_percentage = f64::from(state.faults.fail_percent);
            let fails_by_percentage =
                hash_fraction("fail", &self.attempt) * 100.0 < fail_percentage;
            let should_fail = state.faults.fail_next > 0 || fails_by_percentage;
            state.faults.fail_next = state.faults.fail_next.saturating_sub(1);
            let loses_response = state.faults.lose_next > 0;
            state.faults.lose_next = state.faults.lose_next.saturating_sub(1);
            state.stored_responses.insert(self.attempt.clone(), self.tokens.clone());
            (should_fail, loses_response)
        };
        let computed_prompt_tokens = self.engine.prefill(&self.chat);
        let delay = self.engine.lock().faults.delay_ms;
        let prefill =
            Duration::from_micros(computed_prompt_tokens * self.engine.options.prefill_us)
                + Duration::from_millis(delay);
        if self.engine.wait_for_cancellation(&self.attempt, prefill) {
            self.count_cancelled();
            return http::close_connection(request);
        }
        match () {
            () if should_fail => http::reply_json(request, 500, &"the engine failed"),
            () if loses_response => {
                self.count_finished();
                http::close_connection(request);
            }
            () if self.chat.stream => self.send_stream(request),
            () => self.send_complete(request),
        }
    }

    fn count_cancelled(&self) {
        self.engine.lock().counts.cancelled += 1;
    }

    fn count_finished(&self) {
        self.engine.lock().counts.finished += 1;
    }

    fn attempt_header(&self) -> String {
        let mut state = self.engine.lock();
        let is_swapped = state.faults.swap_next > 0;
        state.faults.swap_next = state.faults.swap_next.saturating_sub(1);
        if is_swapped {
            format!("{}-other", self.attempt)
        } else {
            self.attempt.clone()
        }
    }

    fn load_header(&self) -> String {
        Engine::report(&self.engine.lock(), &self.engine.options).to_header()
    }

    fn usage(&self, completion_tokens: usize) -> serde_json::Value {
        let prompt_tokens = self.chat.prompt_tokens();
        json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens as u64,
        })
    }

    fn send_complete(&self, request: Request) {
        for _ in &self.tokens {
            if self.engine.wait_for_cancellation(&self.attempt, self.engine.time_per_token()) {
                self.count_cancelled();
                return http::close_connection(request);
            }
        }
        self.count_finished();
        let body = json!({
            "id": self.id, "object": "chat.completion", "model": self.chat.model,
            "choices": [{
                "index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": self.tokens.concat()},
            }],
            "usage": self.usage(self.tokens.len()),
        });
        let response = http::text_response(200, body.to_string())
            .with_header(make_header(headers::ATTEMPT, &self.attempt_header()))
            .with_header(make_header(headers::LOAD, &self.load_header()));
        http::send_response(request, response);
    }

    fn send_stream(&self, request: Request) {
        let head = Response::empty(200)
            .with_header(make_header("Content-Type", "text/event-stream"))
            .with_header(make_header(headers::ATTEMPT, &self.attempt_header()))
            .with_header(make_header(headers::LOAD, &self.load_header()));
        let Ok(mut body) = stream::begin(request, head) else { return self.count_cancelled() };
        let cut_after_tokens = self.engine.lock().faults.cut_after;
        for (i, token) in self.tokens.iter().enumerate() {
            if cut_after_tokens == Some(i as u64) {
                return body.get_mut().abort();
            }
            let is_last = i + 1 == self.tokens.len();
            let is_cancelled =
                self.engine.wait_for_cancellation(&self.attempt, self.engine.time_per_token());
            if is_cancelled || self.send_chunk(&mut body, token, is_last).is_err() {
                return self.count_cancelled();
            }
        }
        let usage = json!({
            "id": self.id, "object": "chat.completion.chunk", "model": self.chat.model,
            "choices": [], "usage": self.usage(self.tokens.len()),
        });
        self.count_finished();
        // A router that has disconnected by now has received all tokens of the response.
        let _ = body.write_all(format!("data: {usage}\n\ndata: {STREAM_END}\n\n").as_bytes());
    }

    fn send_chunk(&self, out: &mut impl Write, token: &str, is_last: bool) -> std::io::Result<()> {
        let finish_reason = if is_last { json!("stop") } else { json!(null) };
        let chunk = json!({
            "id": self.id, "object": "chat.completion.chunk", "model": self.chat.model,
            "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": finish_reason}],
        });
        out.write_all(format!("data: {chunk}\n\n").as_bytes())
    }
}
