//! One request as it runs: its answer whole or as a stream, with the faults that were asked for.

use std::io::Write;
use std::time::Duration;

use serde_json::json;
use tiny_http::{Request, Response};

use tidetrack_core::placement::hash_fraction;
use tidetrack_wire::caller::{ChatRequest, STREAM_END};
use tidetrack_wire::{headers, stream};

use crate::http::{self, make_header};

use super::Engine;

/// One request as it runs.
pub(super) struct Run<'a> {
    pub(super) engine: &'a Engine,
    pub(super) id: String,
    pub(super) attempt: String,
    pub(super) chat: ChatRequest,
    pub(super) answer: Vec<String>,
}

impl Run<'_> {
    pub(super) fn run(self, request: Request) {
        let said = self.chat.messages.last().map(|m| m.content.to_string()).unwrap_or_default();
        let (fail, lose) = {
            let mut state = self.engine.lock();
            state.counts.started += 1;
            *state.counts.attempts.entry(self.attempt.clone()).or_default() += 1;
            *state.counts.prompts.entry(said).or_default() += 1;
            let percent = f64::from(state.faults.fail_percent);
            let by_share = hash_fraction("fail", &self.attempt) * 100.0 < percent;
            let fail = state.faults.fail_next > 0 || by_share;
            state.faults.fail_next = state.faults.fail_next.saturating_sub(1);
            let lose = state.faults.lose_next > 0;
            state.faults.lose_next = state.faults.lose_next.saturating_sub(1);
            state.kept.insert(self.attempt.clone(), self.answer.clone());
            (fail, lose)
        };
        let computed = self.engine.prefill(&self.chat);
        let delay = self.engine.lock().faults.delay_ms;
        let prefill = Duration::from_micros(computed * self.engine.options.prefill_us)
            + Duration::from_millis(delay);
        if self.engine.wait(&self.attempt, prefill) {
            self.count_cancelled();
            return http::hang_up(request);
        }
        match () {
            () if fail => http::reply(request, 500, &"the engine failed"),
            () if lose => {
                self.count_finished();
                http::hang_up(request);
            }
            () if self.chat.stream => self.stream(request),
            () => self.whole(request),
        }
    }

    fn count_cancelled(&self) {
        self.engine.lock().counts.cancelled += 1;
    }

    fn count_finished(&self) {
        self.engine.lock().counts.finished += 1;
    }

    fn echoed(&self) -> String {
        let mut state = self.engine.lock();
        let swap = state.faults.swap_next > 0;
        state.faults.swap_next = state.faults.swap_next.saturating_sub(1);
        if swap {
            format!("{}-other", self.attempt)
        } else {
            self.attempt.clone()
        }
    }

    fn load_header(&self) -> String {
        Engine::report(&self.engine.lock(), &self.engine.options).to_header()
    }

    fn usage(&self, answered: usize) -> serde_json::Value {
        let prompt = self.chat.prompt_tokens();
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": answered,
            "total_tokens": prompt + answered as u64,
        })
    }

    fn whole(&self, request: Request) {
        for _ in &self.answer {
            if self.engine.wait(&self.attempt, self.engine.token_time()) {
                self.count_cancelled();
                return http::hang_up(request);
            }
        }
        self.count_finished();
        let body = json!({
            "id": self.id, "object": "chat.completion", "model": self.chat.model,
            "choices": [{
                "index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": self.answer.concat()},
            }],
            "usage": self.usage(self.answer.len()),
        });
        let response = http::text_response(200, body.to_string())
            .with_header(make_header(headers::ATTEMPT, &self.echoed()))
            .with_header(make_header(headers::LOAD, &self.load_header()));
        http::send(request, response);
    }

    fn stream(&self, request: Request) {
        let head = Response::empty(200)
            .with_header(make_header("Content-Type", "text/event-stream"))
            .with_header(make_header(headers::ATTEMPT, &self.echoed()))
            .with_header(make_header(headers::LOAD, &self.load_header()));
        let Ok(mut body) = stream::begin(request, head) else { return self.count_cancelled() };
        let cut = self.engine.lock().faults.cut_after;
        for (i, token) in self.answer.iter().enumerate() {
            if cut == Some(i as u64) {
                return body.get_mut().abort();
            }
            let last = i + 1 == self.answer.len();
            let stopped = self.engine.wait(&self.attempt, self.engine.token_time());
            if stopped || self.send_chunk(&mut body, token, last).is_err() {
                return self.count_cancelled();
            }
        }
        let usage = json!({
            "id": self.id, "object": "chat.completion.chunk", "model": self.chat.model,
            "choices": [], "usage": self.usage(self.answer.len()),
        });
        self.count_finished();
        // The router that has left by now has had its whole answer.
        let _ = body.write_all(format!("data: {usage}\n\ndata: {STREAM_END}\n\n").as_bytes());
    }

    fn send_chunk(&self, out: &mut impl Write, token: &str, last: bool) -> std::io::Result<()> {
        let finish = if last { json!("stop") } else { json!(null) };
        let chunk = json!({
            "id": self.id, "object": "chat.completion.chunk", "model": self.chat.model,
            "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": finish}],
        });
        out.write_all(format!("data: {chunk}\n\n").as_bytes())
    }
}
