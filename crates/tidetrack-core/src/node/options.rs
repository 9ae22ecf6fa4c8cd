//! Times and sizes of a node, as the settings give them.

use serde::{Deserialize, Serialize};

/// Times and sizes of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeOptions {
    /// A link exchanges at least this often, in milliseconds.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// A link with news exchanges after this many milliseconds.
    #[serde(rename = "news_ms")]
    pub update_delay_ms: u64,
    /// Silence on a link after which others are asked to probe.
    #[serde(rename = "silent_ms")]
    pub silence_timeout_ms: u64,
    /// A suspect is held dead after this many milliseconds.
    #[serde(rename = "suspect_ms")]
    pub suspect_timeout_ms: u64,
    /// A host held dead, or listed and never met, is called this often, one at a time.
    #[serde(rename = "seek_ms")]
    pub reconnect_interval_ms: u64,
    /// A dead host is forgotten after this many milliseconds.
    #[serde(rename = "forget_ms")]
    pub dead_retention_ms: u64,
    /// Hosts of each failure domain that watch the object API.
    #[serde(rename = "watchers")]
    pub watchers_per_domain: usize,
    /// The other hosts read the object API when nothing confirmed their copy for so long.
    #[serde(rename = "poll_ms")]
    pub max_confirmation_age_ms: u64,
    /// Own evidence of a version under roll-out is passed on at most this often; the time is
    /// multiplied by the number of hosts, so that what all of them send each host stays the same.
    #[serde(rename = "evidence_ms_a_host")]
    pub evidence_interval_per_host_ms: u64,
    /// Larger runs of changes are announced, and sent to those who ask.
    #[serde(rename = "push_bytes")]
    pub max_push_bytes: usize,
    /// Most objects in one message.
    #[serde(rename = "objects_most")]
    pub max_objects: usize,
    /// Most bytes of objects in one message.
    #[serde(rename = "object_bytes")]
    pub max_object_bytes: usize,
    /// Most items in one message.
    #[serde(rename = "items_most")]
    pub max_items: usize,
}

impl Default for NodeOptions {
    fn default() -> Self {
        NodeOptions {
            heartbeat_ms: 2_000,
            update_delay_ms: 25,
            silence_timeout_ms: 5_000,
            suspect_timeout_ms: 4_000,
            reconnect_interval_ms: 2_000,
            dead_retention_ms: 120_000,
            watchers_per_domain: 2,
            max_confirmation_age_ms: 15_000,
            evidence_interval_per_host_ms: 150,
            max_push_bytes: 2_048,
            max_objects: 200,
            max_object_bytes: 256 * 1024,
            max_items: 400,
        }
    }
}
