//! Answers that are whole before the caller sees them: judged, rated and then given.

use tidetrack_core::errors::Result;
use tidetrack_core::events::Event;
use tidetrack_core::evidence::VersionCounts;
use tidetrack_core::ledger::BillOutcome;
use tidetrack_core::view::{ChosenVersion, View};
use tidetrack_wire::caller::STREAM_END;
use tidetrack_wire::endpoint::RatingRequest;

use crate::outcome;
use crate::rating::{self, RateJob};

use super::flow::Out;
use super::{Answer, Call};

/// Seconds that a judgement inside a cascade may take.
const JUDGE_SECONDS: u64 = 1;

impl Call<'_> {
    /// Judges a whole answer if need be, and gives it to the caller if it is good enough.
    pub(super) fn judge(
        &mut self,
        answer: Answer,
        view: &View,
        judged: Option<f64>,
        out: &mut Out,
    ) -> Result<bool> {
        self.add_part(view, &answer.chosen, answer.usage);
        if let Some(accept) = judged {
            if !self.is_good(&answer, accept) {
                return Ok(false);
            }
        }
        self.note_first_token();
        self.bill(BillOutcome::Complete)?;
        self.set_headers(view, &answer.chosen, &answer.endpoint, out);
        if judged.is_none() {
            self.offer_rating(&answer.chosen, &answer.text);
        }
        let sent = match self.chat.stream {
            true => self.send_as_stream(&answer, out),
            false => match out.request.take() {
                Some(request) => {
                    outcome::send_whole(request, &out.headers, 200, "application/json", answer.body)
                }
                None => Ok(()),
            },
        };
        if sent.is_err() {
            self.shared().log(Event::CallerLeft, &self.caller.id.to_string());
        }
        Ok(true)
    }

    /// Checks an answer of a rung that is not the last: it says something and is rated well.
    fn is_good(&self, answer: &Answer, accept: f64) -> bool {
        if answer.text.trim().is_empty() {
            return false;
        }
        let Some(address) = self.shared().settings.rating_address.as_deref() else { return false };
        let ask = self.rate_ask(&answer.chosen, &answer.text);
        let Ok(score) = rating::rate(address, &ask, JUDGE_SECONDS) else { return false };
        let mut counts = VersionCounts::default();
        counts.add_rating(score);
        let ChosenVersion { version, generation, credit, .. } = &answer.chosen;
        self.shared().record_counts(version, *generation, credit.is_some(), counts);
        score >= accept
    }

    fn rate_ask(&self, chosen: &ChosenVersion, text: &str) -> RatingRequest {
        let last = self.chat.messages.last().and_then(|m| m.content.as_str()).unwrap_or_default();
        RatingRequest {
            request: self.caller.id.to_string(),
            version: chosen.version.to_string(),
            prompt: last.to_string(),
            answer: text.to_string(),
        }
    }

    pub(super) fn offer_rating(&self, chosen: &ChosenVersion, text: &str) {
        let job = RateJob {
            ask: self.rate_ask(chosen, text),
            version: chosen.version.clone(),
            generation: chosen.generation,
            unproven: chosen.credit.is_some(),
        };
        rating::offer(self.shared(), job);
    }

    fn send_as_stream(&self, answer: &Answer, out: &mut Out) -> std::io::Result<()> {
        let chunk = serde_json::json!({
            "id": self.caller.id.to_string(), "object": "chat.completion.chunk",
            "model": answer.chosen.version.model.to_string(),
            "choices": [{"index": 0, "delta": {"role": "assistant", "content": answer.text},
                "finish_reason": "stop"}],
        });
        let wants_usage = self.wants_usage;
        let stream = out.stream()?;
        stream.event(&chunk.to_string())?;
        if wants_usage {
            let usage = serde_json::json!({"id": self.caller.id.to_string(),
                "object": "chat.completion.chunk", "choices": [], "usage": answer.usage});
            stream.event(&usage.to_string())?;
        }
        stream.event(STREAM_END)
    }
}
