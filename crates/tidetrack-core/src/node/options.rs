//! Times and sizes of a node, as the settings give them.

use serde::{Deserialize, Serialize};

/// Times and sizes of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeOptions {
    /// A link exchanges at least this often, in milliseconds.
    pub beat_ms: u64,
    /// A link with news exchanges after this many milliseconds.
    pub news_ms: u64,
    /// Silence on a link after which others are asked to probe.
    pub silent_ms: u64,
    /// A suspect is held dead after this many milliseconds.
    pub suspect_ms: u64,
    /// A host held dead, or listed and never met, is called this often, one at a time.
    pub seek_ms: u64,
    /// A dead host is forgotten after this many milliseconds.
    pub forget_ms: u64,
    /// Hosts of each failure domain that watch the object API.
    pub watchers: usize,
    /// The other hosts read the object API when nothing confirmed their copy for so long.
    pub poll_ms: u64,
    /// Own evidence of a version under roll-out is passed on at most this often; the time is
    /// multiplied by the number of hosts, so that what all of them send each host stays the same.
    pub evidence_ms_a_host: u64,
    /// Larger runs of changes are announced, and sent to those who ask.
    pub push_bytes: usize,
    /// Most objects in one message.
    pub objects_most: usize,
    /// Most bytes of objects in one message.
    pub object_bytes: usize,
    /// Most items in one message.
    pub items_most: usize,
}

impl Default for NodeOptions {
    fn default() -> Self {
        NodeOptions {
            beat_ms: 2_000,
            news_ms: 25,
            silent_ms: 5_000,
            suspect_ms: 4_000,
            seek_ms: 2_000,
            forget_ms: 120_000,
            watchers: 2,
            poll_ms: 15_000,
            evidence_ms_a_host: 150,
            push_bytes: 2_048,
            objects_most: 200,
            object_bytes: 256 * 1024,
            items_most: 400,
        }
    }
}
