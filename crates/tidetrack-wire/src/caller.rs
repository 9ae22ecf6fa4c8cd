//! The callers' API: the parts of the OpenAI-compatible messages that the router reads and writes.
//!
//! The router only replaces the model's name and the request for usage in a request's body, so
//! unknown members reach the endpoint unchanged.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use tidetrack_core::codes::Executed;
use tidetrack_core::errors::Error;

/// A chat request. Members that the router does not use are kept in `rest`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// The route, or the model if the policy leaves the choice to the caller.
    pub model: String,
    /// The messages of the conversation, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Whether the response is to be streamed.
    #[serde(default, skip_serializing_if = "is_false")]
    pub stream: bool,
    /// Maximum length of the response in tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Options of a streamed response.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
    /// All other members.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

fn is_false(b: &bool) -> bool {
    !b
}

/// Options of a streamed response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether the last chunk is to report the usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// A text or a list of content parts, unchanged.
    #[serde(default)]
    pub content: Value,
    /// All other members.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

impl ChatMessage {
    /// Creates a message whose content is text.
    pub fn text(role: &str, content: &str) -> ChatMessage {
        let content = Value::String(content.to_string());
        ChatMessage { role: role.to_string(), content, rest: Map::new() }
    }

    /// Returns the number of characters of the message's text.
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

/// Characters counted as one token where no better estimate is available.
pub const CHARS_PER_TOKEN: u64 = 4;

impl ChatRequest {
    /// Returns the number of characters of the prompt, all messages together.
    pub fn prompt_chars(&self) -> usize {
        self.messages.iter().map(ChatMessage::chars).sum()
    }

    /// Estimates the number of tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        (self.prompt_chars() as u64).div_ceil(CHARS_PER_TOKEN)
    }
}

/// Tokens used by a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the response.
    pub completion_tokens: u64,
    /// Tokens of the prompt and the response together; 0 if not given.
    #[serde(default)]
    pub total_tokens: u64,
}

/// The members that the router reads from a complete response or from a chunk of a stream.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct ResponsePart {
    /// Choices; empty in a chunk that only reports usage.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Usage, if reported.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// One choice of a response or chunk.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Choice {
    /// The message; only in a complete response.
    #[serde(default)]
    pub message: Option<ChatText>,
    /// The text added by a chunk; only in a stream.
    #[serde(default)]
    pub delta: Option<ChatText>,
    /// Why the response ended; only in the complete response or the last chunk of the choice.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Text of a message or a chunk.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct ChatText {
    /// The text, if there is any.
    #[serde(default)]
    pub content: Option<String>,
}

impl ResponsePart {
    /// Returns the text of the first choice, or an empty text.
    pub fn text(&self) -> &str {
        let choice = self.choices.first();
        let text = choice.and_then(|c| c.message.as_ref().or(c.delta.as_ref()));
        text.and_then(|t| t.content.as_deref()).unwrap_or_default()
    }

    /// Reports whether this part ends the response.
    pub fn is_final(&self) -> bool {
        self.choices.iter().any(|c| c.finish_reason.is_some())
    }
}

/// Data of the event that ends a stream.
pub const STREAM_END: &str = "[DONE]";

/// The body of an error response to a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorResponse {
    /// Description of the error.
    pub error: ErrorBody,
}

/// Members of an error response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Result code, such as `TT-1008`.
    pub code: String,
    /// Message for people.
    pub message: String,
    /// Error class for client libraries: `invalid_request_error` or `server_error`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Whether the request was executed before it failed.
    pub ran: Executed,
}

impl ErrorResponse {
    /// Builds the response body for an error.
    pub fn from_error(e: &Error) -> ErrorResponse {
        let kind = if e.code.status() < 500 { "invalid_request_error" } else { "server_error" };
        ErrorResponse {
            error: ErrorBody {
                code: e.code.to_string(),
                message: e.message.clone(),
                kind: kind.to_string(),
                ran: e.executed,
            },
        }
    }
}

/// Response to a request for a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionResponse {
    /// Token of the session.
    pub session: String,
    /// Version that serves the session.
    pub version: String,
}

/// Request for a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRequest {
    /// The route.
    pub model: String,
}

/// Response to a request for a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketResponse {
    /// Token of the ticket.
    pub ticket: String,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unknown_members_survive_a_round_trip() {
        let text =
            r#"{"model":"m","messages":[{"role":"user","content":"hi","name":"x"}],"seed":7}"#;
        let req: ChatRequest = serde_json::from_str(text).expect("the request parses");
        assert_eq!(
            serde_json::to_value(&req).expect("the request serializes to JSON"),
            serde_json::from_str::<Value>(text).expect("the text parses as JSON")
        );
        assert_eq!(req.prompt_chars(), 2);
    }
}
