//! How an engine behaves and misbehaves, and what it counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How an engine behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// The version that it serves, `model@version`.
    pub version: String,
    /// Requests that run at a time.
    pub slots: u32,
    /// Microseconds for one token when one request runs.
    pub token_us: u64,
    /// Microseconds more for each further request running.
    pub token_us_each: u64,
    /// Microseconds for one prompt token that is not cached.
    pub prefill_us: u64,
    /// Tokens that one request may hold.
    pub capacity_tokens: u64,
    /// Blocks of prompts that the cache holds.
    pub cache_blocks: usize,
    /// Tokens of an answer when the request does not say.
    pub answer_tokens: u64,
    /// True quality of the answers, from 0 to 1.
    pub quality: f64,
    /// The load report is so old.
    pub report_lag_ms: u64,
    /// One cache event in so many is lost; 0 loses none.
    pub event_gap: u64,
    /// Whether orders below the highest fence seen are refused.
    pub fenced: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            version: "model@1".into(),
            slots: 16,
            token_us: 2_000,
            token_us_each: 50,
            prefill_us: 20,
            capacity_tokens: 32_768,
            cache_blocks: 2_000,
            answer_tokens: 16,
            quality: 0.85,
            report_lag_ms: 200,
            event_gap: 10,
            fenced: true,
        }
    }
}

/// How an engine misbehaves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// So many of the next requests fail after they ran.
    pub fail_next: u32,
    /// Of every hundred requests, so many fail.
    pub fail_percent: u32,
    /// Every stream is cut after so many tokens.
    pub cut_after: Option<u64>,
    /// So many of the next answers carry another attempt's id.
    pub swap_next: u32,
    /// So many of the next requests run and lose their answer.
    pub lose_next: u32,
    /// So many of the next requests are refused before they run.
    pub refuse_next: u32,
    /// The engine says that it is leaving and refuses new work.
    pub leaving: bool,
    /// Another quality of the answers.
    pub quality: Option<f64>,
    /// Milliseconds more before the first token.
    pub delay_ms: u64,
}

/// What an engine counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests that began to run.
    pub started: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests cancelled or left by the router.
    pub cancelled: u64,
    /// Prompt tokens met in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// How often each attempt began to run.
    pub attempts: BTreeMap<String, u64>,
    /// How often a request with each last message began to run.
    pub prompts: BTreeMap<String, u64>,
}

/// A cache event: blocks that came in or went out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number; a gap shows a lost one.
    pub number: u64,
    /// The block.
    pub block: u64,
    /// Whether it came in.
    pub stored: bool,
}
