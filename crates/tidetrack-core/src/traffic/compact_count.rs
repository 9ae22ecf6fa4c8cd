//! Compact encoding of counts in messages between hosts. Counts are rounded to whole multiples of a
//! small step, because most of them are small or zero and take few bytes as integers.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Number of encoding steps per unit of a count.
const STEPS_PER_COUNT: f32 = 64.0;

/// Serializes a count as a whole number of steps.
pub fn serialize<S: Serializer>(count: &f32, serializer: S) -> Result<S::Ok, S::Error> {
    ((count * STEPS_PER_COUNT).round() as u32).serialize(serializer)
}

/// Deserializes a count. Fails if the value is not a valid `u32`.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f32, D::Error> {
    Ok(u32::deserialize(deserializer)? as f32 / STEPS_PER_COUNT)
}
