//! Responses that are buffered completely, judged if the plan requires it, and then sent.

use tidetrack_core::errors::Result;
use tidetrack_core::events::Event;
use tidetrack_core::evidence::VersionCounts;
use tidetrack_core::ledger::BillOutcome;
use tidetrack_core::view::{ChosenVersion, View};
use tidetrack_wire::caller::STREAM_END;
use tidetrack_wire::endpoint::RatingRequest;

use crate::outcome;
use crate::rating::{self, RatingJob};

use super::stream_relay::ResponseSink;
use super::{Call, RungResponse};

/// Timeout in seconds of a rating request inside a cascade.
const JUDGE_TIMEOUT_S: u64 = 1;

impl Call<'_> {
    /// Sends a buffered response to the caller. With a `min_score`, the response is judged first;
    /// returns false if it is rejected. The response is billed in both cases.
    pub(super) fn judge_and_send(
        &mut self,
        response: RungResponse,
        view: &View,
        min_score: Option<f64>,
        sink: &mut ResponseSink,
    ) -> Result<bool> {
        self.add_line_item(view, &response.chosen, response.usage);
        if let Some(min_score) = min_score {
            if !self.is_acceptable(&response, min_score) {
                return Ok(false);
            }
        }
        self.record_first_token();
        self.store_bill(BillOutcome::Complete)?;
        self.set_headers(view, &response.chosen, &response.endpoint, sink);
        if min_score.is_none() {
            self.submit_for_rating(&response.chosen, &response.text);
        }
        let send_result = match self.chat.stream {
            true => self.send_as_stream(&response, sink),
            false => match sink.request.take() {
                Some(request) => outcome::send_response(
                    request,
                    &sink.headers,
                    200,
                    "application/json",
                    response.body,
                ),
                None => Ok(()),
            },
        };
        if send_result.is_err() {
            self.shared().log(Event::CallerLeft, &self.context.id.to_string());
        }
        Ok(true)
    }

    /// Reports whether the response is not empty and the rating service gives it at least
    /// `min_score`. A response that cannot be rated is rejected.
    fn is_acceptable(&self, response: &RungResponse, min_score: f64) -> bool {
        if response.text.trim().is_empty() {
            return false;
        }
        let Some(addr) = self.shared().settings.rating_address.as_deref() else { return false };
        let request = self.rating_request(&response.chosen, &response.text);
        let Ok(score) = rating::fetch_score(addr, &request, JUDGE_TIMEOUT_S) else { return false };
        let mut counts = VersionCounts::default();
        counts.add_rating(score);
        let ChosenVersion { version, generation, credit, .. } = &response.chosen;
        self.shared().record_counts(version, *generation, credit.is_some(), counts);
        score >= min_score
    }

    /// Returns the rating request for a response, with the last message of the chat as the prompt.
    fn rating_request(&self, chosen: &ChosenVersion, text: &str) -> RatingRequest {
        let last_message =
            self.chat.messages.last().and_then(|m| m.content.as_str()).unwrap_or_default();
        RatingRequest {
            request: self.context.id.to_string(),
            version: chosen.version.to_string(),
            prompt: last_message.to_string(),
            answer: text.to_string(),
        }
    }

    /// Queues a response for rating.
    pub(super) fn submit_for_rating(&self, chosen: &ChosenVersion, text: &str) {
        let job = RatingJob {
            rating_request: self.rating_request(chosen, text),
            version: chosen.version.clone(),
            generation: chosen.generation,
            is_canary: chosen.credit.is_some(),
        };
        rating::submit(self.shared(), job);
    }

    /// Sends a buffered response as a stream with a single chunk.
    fn send_as_stream(
        &self,
        response: &RungResponse,
        sink: &mut ResponseSink,
    ) -> std::io::Result<()> {
        let chunk = serde_json::json!({
            "id": self.context.id.to_string(), "object": "chat.completion.chunk",
            "model": response.chosen.version.model.to_string(),
            "choices": [{"index": 0, "delta": {"role": "assistant", "content": response.text},
                "finish_reason": "stop"}],
        });
        let wants_usage = self.wants_usage;
        let stream = sink.open_stream()?;
        stream.send_event(&chunk.to_string())?;
        if wants_usage {
            let usage = serde_json::json!({"id": self.context.id.to_string(),
                "object": "chat.completion.chunk", "choices": [], "usage": response.usage});
            stream.send_event(&usage.to_string())?;
        }
        stream.send_event(STREAM_END)
    }
}
