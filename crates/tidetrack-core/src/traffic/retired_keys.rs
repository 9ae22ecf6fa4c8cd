//! Keys that were removed from the configuration a short time ago.
//!
//! A key that was valid when a request arrived is valid for all its attempts, also if another host makes
//! them. That host cannot ask with which configuration the request was admitted, so it remembers the
//! keys that it has removed itself, for a part of the bound on revocations.

use std::collections::HashMap;

use crate::traffic::catalog::{Catalog, KeyHolder};
use crate::units::Millis;

/// Divisor of the bound on revocations that gives how long a removed key is remembered. The rest of the
/// bound covers the time until a host has the configuration without the key.
const BOUND_DIVISOR: u64 = 2;

/// Removed keys with their workspaces and the times of their removal.
#[derive(Clone, Debug, Default)]
pub struct RetiredKeys(HashMap<String, (KeyHolder, Millis)>);

impl RetiredKeys {
    /// Records the keys that a new configuration no longer has, and forgets those that it has again.
    pub fn record_change(&mut self, now: Millis, previous: &Catalog, next: &Catalog) {
        let is_valid = |key: &String| next.keys.as_ref().is_some_and(|keys| keys.contains_key(key));
        self.0.retain(|key, _| !is_valid(key));
        let removed = previous.keys.iter().flatten().filter(|(key, _)| !is_valid(key));
        self.0.extend(removed.map(|(key, holder)| (key.clone(), (holder.clone(), now))));
    }

    /// Returns the workspace of a key that was removed recently.
    pub fn holder(&self, now: Millis, key: &str, revocation_bound: Millis) -> Option<&KeyHolder> {
        let max_age = Millis(revocation_bound.0 / BOUND_DIVISOR);
        let (holder, removed_at) = self.0.get(key)?;
        (now < *removed_at + max_age).then_some(holder)
    }

    /// Forgets keys that were removed longer ago than any bound reaches.
    pub fn remove_expired(&mut self, now: Millis) {
        const MAX_AGE: Millis = Millis(60_000);
        self.0.retain(|_, (_, removed_at)| now < *removed_at + MAX_AGE);
    }
}
