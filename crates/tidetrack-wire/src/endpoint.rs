//! The parts of the endpoints' API that are not OpenAI-compatible.

use serde::{Deserialize, Serialize};

use tidetrack_core::units::Tokens;

/// Load of an engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Work queued and in progress, in answer tokens.
    pub work: u64,
    /// Number of requests being executed.
    pub running: u32,
    /// Number of requests queued.
    pub waiting: u32,
    /// Number of tokens that the engine can hold for one request.
    pub capacity_tokens: u64,
    /// Whether the endpoint is leaving, so that it gets no new requests.
    #[serde(default)]
    pub leaving: bool,
}

impl LoadReport {
    /// Formats the work and the capacity as the value of the load header.
    pub fn to_header(&self) -> String {
        format!("{} {}", self.work, self.capacity_tokens)
    }
}

/// Parses the value of a load header into work and capacity. Returns `None` if it is malformed.
pub fn parse_load_header(value: &str) -> Option<(u64, Tokens)> {
    let (work, capacity) = value.split_once(' ')?;
    Some((work.parse().ok()?, Tokens(capacity.parse().ok()?)))
}

/// Request to cancel an attempt, or to resume it from a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRequest {
    /// Id of the attempt.
    pub attempt: String,
    /// Number of tokens received already; only used to resume.
    #[serde(default)]
    pub from_token: u64,
}

/// What an engine is ordered to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Load the weights of a version.
    Load,
    /// Unload a version.
    Unload,
}

/// An order to an engine, with a fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token: the version of the object that granted the order. Engines that check it
    /// refuse orders with a lower one.
    pub fence: u64,
    /// What to do.
    pub kind: OrderKind,
    /// Version to load or unload.
    pub version: String,
}

/// Request to rate a response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingRequest {
    /// Id of the request.
    pub request: String,
    /// Version that produced the response.
    pub version: String,
    /// Last message of the prompt.
    pub prompt: String,
    /// Text of the response.
    pub answer: String,
}

/// Rating of a response.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rating {
    /// Score from 0 to 1.
    pub score: f64,
}
