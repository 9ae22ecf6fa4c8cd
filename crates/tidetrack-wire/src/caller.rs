//! The callers' API: the OpenAI-compatible shapes that the router reads and writes.
//!
//! A request's body is passed to the endpoint as it came but for the model's name and the ask for
//! usage, so unknown members live on.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use tidetrack_core::codes::Ran;
use tidetrack_core::errors::Error;

/// A chat request. Members that the router does not need are kept in `rest`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The route, or a model where a policy leaves the choice to the caller.
    pub model: String,
    /// The conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    #[serde(default, skip_serializing_if = "is_false")]
    pub stream: bool,
    /// Longest answer in tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// What a stream carries besides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
    /// All else.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

fn is_false(b: &bool) -> bool {
    !b
}

/// What a stream carries besides the answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether the last chunk gives the usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// Text, or parts as they came.
    #[serde(default)]
    pub content: Value,
    /// All else.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

impl ChatMessage {
    /// Makes a message of text.
    pub fn text(role: &str, content: &str) -> ChatMessage {
        let content = Value::String(content.to_string());
        ChatMessage { role: role.to_string(), content, rest: Map::new() }
    }

    /// Gets the characters of the message's text.
    pub fn chars(&self) -> usize {
        match &self.content {
            Value::String(s) => s.chars().count(),
            Value::Array(parts) => parts.iter().map(part_char_count).sum(),
            _ => 0,
        }
    }
}

fn part_char_count(part: &Value) -> usize {
    part.get("text").and_then(Value::as_str).map_or(0, |s| s.chars().count())
}

/// Characters that are counted as one token where nothing better is known.
pub const CHARS_PER_TOKEN: u64 = 4;

impl ChatRequest {
    /// Gets the characters of the whole prompt.
    pub fn prompt_chars(&self) -> usize {
        self.messages.iter().map(ChatMessage::chars).sum()
    }

    /// Estimates the prompt's tokens.
    pub fn prompt_tokens(&self) -> u64 {
        (self.prompt_chars() as u64).div_ceil(CHARS_PER_TOKEN)
    }
}

/// Tokens that an answer used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Both.
    #[serde(default)]
    pub total_tokens: u64,
}

/// The part of a whole answer or a stream's chunk that the router reads.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct ResponsePart {
    /// What was chosen; empty in a chunk that only gives usage.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// The usage, if given.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// One choice of an answer or chunk.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Choice {
    /// The message of a whole answer.
    #[serde(default)]
    pub message: Option<ChatText>,
    /// The addition of a chunk.
    #[serde(default)]
    pub delta: Option<ChatText>,
    /// Why the answer ended, on its last chunk.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// The text of a message or a chunk.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct ChatText {
    /// The text.
    #[serde(default)]
    pub content: Option<String>,
}

impl ResponsePart {
    /// Gets the text of the first choice.
    pub fn text(&self) -> &str {
        let choice = self.choices.first();
        let text = choice.and_then(|c| c.message.as_ref().or(c.delta.as_ref()));
        text.and_then(|t| t.content.as_deref()).unwrap_or_default()
    }

    /// Tells whether this part ends the answer.
    pub fn is_final(&self) -> bool {
        self.choices.iter().any(|c| c.finish_reason.is_some())
    }
}

/// The line that ends a stream.
pub const STREAM_END: &str = "[DONE]";

/// A refusal or failure, as callers get it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// What went wrong.
    pub error: ErrorBody,
}

/// The members of a refusal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The result code.
    pub code: String,
    /// For a person.
    pub message: String,
    /// For client libraries: `invalid_request_error` or `server_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Whether the request had been run.
    pub ran: Ran,
}

impl ErrorResponse {
    /// Makes the refusal of an error.
    pub fn from_error(e: &Error) -> ErrorResponse {
        let kind = if e.code.status() < 500 { "invalid_request_error" } else { "server_error" };
        ErrorResponse {
            error: ErrorBody {
                code: e.code.to_string(),
                message: e.message.clone(),
                kind: kind.to_string(),
                ran: e.ran,
            },
        }
    }
}

/// The answer to an ask for a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionResponse {
    /// The token.
    pub session: String,
    /// The version that the session keeps.
    pub version: String,
}

/// An ask for a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRequest {
    /// The route.
    pub model: String,
}

/// The answer to an ask for a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketResponse {
    /// The ticket.
    pub ticket: String,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unknown_members_survive_a_round_trip() {
        let text =
            r#"{"model":"m","messages":[{"role":"user","content":"hi","name":"x"}],"seed":7}"#;
        let req: ChatRequest = serde_json::from_str(text).expect("a request");
        assert_eq!(
            serde_json::to_value(&req).expect("JSON"),
            serde_json::from_str::<Value>(text).expect("JSON")
        );
        assert_eq!(req.prompt_chars(), 2);
    }
}
