//! Counts in messages between hosts, as whole numbers of small parts: most are small, many are none, and a message
//! has to stay small.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Parts that a count of one is told as.
const STEPS_PER_COUNT: f32 = 64.0;

/// Writes a count.
pub fn serialize<S: Serializer>(count: &f32, serializer: S) -> Result<S::Ok, S::Error> {
    ((count * STEPS_PER_COUNT).round() as u32).serialize(serializer)
}

/// Reads a count.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f32, D::Error> {
    Ok(u32::deserialize(deserializer)? as f32 / STEPS_PER_COUNT)
}
