//! Timing and size options of a node, as given in the settings.

use serde::{Deserialize, Serialize};

/// Timing and size options of a node. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NodeOptions {
    /// Heartbeat interval: maximum time between two exchanges on a link.
    #[serde(rename = "beat_ms")]
    pub heartbeat_ms: u64,
    /// Minimum time between two exchanges on a link that has updates to send.
    #[serde(rename = "news_ms")]
    pub update_delay_ms: u64,
    /// Time without a message on a link after which other hosts are asked to probe its peer.
    #[serde(rename = "silent_ms")]
    pub silence_timeout_ms: u64,
    /// Time after which a suspect host is considered dead.
    #[serde(rename = "suspect_ms")]
    pub suspect_timeout_ms: u64,
    /// Interval of the attempts to contact hosts that are considered dead, or are listed by the platform
    /// but unknown; each attempt contacts one host.
    #[serde(rename = "seek_ms")]
    pub reconnect_interval_ms: u64,
    /// Time after which a dead host is removed from the member list.
    #[serde(rename = "forget_ms")]
    pub dead_retention_ms: u64,
    /// Number of hosts in each failure domain that watch the object API.
    #[serde(rename = "watchers")]
    pub watchers_per_domain: usize,
    /// Time without a confirmation of its configuration after which any host reads the object API.
    #[serde(rename = "poll_ms")]
    pub max_confirmation_age_ms: u64,
    /// Minimum interval, per host of the fleet, at which a host publishes its counts of a canary version.
    /// It grows with the number of hosts so that the traffic that each host receives stays constant.
    #[serde(rename = "evidence_ms_a_host")]
    pub evidence_interval_per_host_ms: u64,
    /// Maximum bytes of configuration changes that are sent unrequested; larger ones are announced and
    /// sent on request.
    #[serde(rename = "push_bytes")]
    pub max_push_bytes: usize,
    /// Maximum number of objects in one message.
    #[serde(rename = "objects_most")]
    pub max_objects: usize,
    /// Maximum bytes of objects in one message.
    #[serde(rename = "object_bytes")]
    pub max_object_bytes: usize,
    /// Maximum number of items in one message.
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
