//! Options, injected faults and counters of the engine.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Options of the engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// The version that the engine serves, as `model@version`.
    pub version: String,
    /// Maximum concurrent requests.
    pub slots: u32,
    /// Time to generate one token while a single request runs, in microseconds.
    pub token_us: u64,
    /// Additional time per token for each further concurrent request, in microseconds.
    pub token_us_each: u64,
    /// Time to process one prompt token that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Maximum tokens of one request, prompt and response together.
    pub capacity_tokens: u64,
    /// Maximum number of prompt blocks in the cache, and of cache events that are retained.
    pub cache_blocks: usize,
    /// Tokens of a response if the request sets no maximum.
    pub answer_tokens: u64,
    /// True quality of the responses, from 0 to 1.
    pub quality: f64,
    /// Lag of the load report, in milliseconds.
    pub report_lag_ms: u64,
    /// Every n-th cache event is lost; 0 loses none.
    pub event_gap: u64,
    /// Whether orders with a fence below the highest one received are refused.
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

/// Faults that the engine injects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Number of upcoming requests that fail with status 500 after the prompt is processed.
    pub fail_next: u32,
    /// Percentage of attempts that fail, selected by a hash of the attempt's ID.
    pub fail_percent: u32,
    /// Number of tokens after which every stream is cut; `None` cuts no stream.
    pub cut_after: Option<u64>,
    /// Number of upcoming responses that carry the ID of another attempt.
    pub swap_next: u32,
    /// Number of upcoming requests that run, but whose connection is closed without a response.
    pub lose_next: u32,
    /// Number of upcoming requests that are refused before they run.
    pub refuse_next: u32,
    /// Whether the engine announces that it is leaving and refuses new requests.
    pub leaving: bool,
    /// Quality that overrides the one in the options; `None` keeps that.
    pub quality: Option<f64>,
    /// Additional delay before the first token, in milliseconds.
    pub delay_ms: u64,
}

/// Counters of the engine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests that started to run.
    pub started: u64,
    /// Requests that generated all their tokens, or that ran and lost their response on purpose.
    pub finished: u64,
    /// Requests that the router cancelled or whose stream it closed.
    pub cancelled: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens that were not cached and had to be processed.
    pub computed_tokens: u64,
    /// How often each attempt started to run, by its ID.
    pub attempts: BTreeMap<String, u64>,
    /// How often a request started to run, by the content of its last message as JSON text.
    pub prompts: BTreeMap<String, u64>,
}

/// A cache event: one block was stored in the cache or evicted from it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap indicates a lost event.
    pub number: u64,
    /// Hash of the prompt prefix that ends with the block.
    pub block: u64,
    /// Whether the block was stored; `false` if it was evicted.
    pub stored: bool,
}
