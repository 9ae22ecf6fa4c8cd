//! The endpoints' API besides the OpenAI-compatible one.

use serde::{Deserialize, Serialize};

use tidetrack_core::units::Tokens;

/// An engine's load report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Work queued and running, in answer tokens.
    pub work: u64,
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Tokens that the engine can hold for one request.
    pub capacity_tokens: u64,
    /// Whether the endpoint is leaving.
    #[serde(default)]
    pub leaving: bool,
}

impl LoadReport {
    /// Renders the report as it stands in a header.
    pub fn to_header(&self) -> String {
        format!("{} {}", self.work, self.capacity_tokens)
    }
}

/// Reads a load header: work and capacity.
pub fn parse_load_header(value: &str) -> Option<(u64, Tokens)> {
    let (work, capacity) = value.split_once(' ')?;
    Some((work.parse().ok()?, Tokens(capacity.parse().ok()?)))
}

/// An ask to cancel an attempt, or to resume it from a token on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// The attempt.
    pub attempt: String,
    /// Tokens already had; for `resume`.
    #[serde(default)]
    pub from_token: u64,
}

/// What an order tells an engine to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Load a version's weights.
    Load,
    /// Unload a version.
    Unload,
}

/// A fenced order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The version of the object that granted the order; engines that check refuse lower ones.
    pub fence: u64,
    /// What to do.
    pub kind: OrderKind,
    /// With which version.
    pub version: String,
}

/// An ask for a rating.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingRequest {
    /// The request's id.
    pub request: String,
    /// The version that answered.
    pub version: String,
    /// The last message of the prompt.
    pub prompt: String,
    /// The answer.
    pub answer: String,
}

/// A rating.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// From 0 to 1.
    pub score: f64,
}
