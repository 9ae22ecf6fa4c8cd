//! Admission: whether a request may be passed on at all, from what this host knows.

use std::sync::Arc;

use crate::codes::Code;
use crate::errors::{Error, Result};
use crate::traffic::catalog::{Catalog, Identity, KeyHolder, Route};
use crate::traffic::freshness::Freshness;
use crate::units::Millis;

/// When to come back to a host that has no configuration yet or no fresh one, in milliseconds: by
/// then a balancer sends new connections to another host, or a read of the store was answered.
const RETRY_NOT_READY_MS: u64 = 500;

/// Makes the refusal of a host whose configuration was not confirmed for too long.
pub fn stale() -> Error {
    Error::new(Code::Stale, "the configuration was not confirmed for too long")
        .with_retry_after(RETRY_NOT_READY_MS)
}

/// What is asked at the gate.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// The `Host` header.
    pub hostname: &'a str,
    /// The path.
    pub path: &'a str,
    /// The key, if one was sent.
    pub key: Option<&'a str>,
}

/// A request that may pass.
#[derive(Clone, Debug)]
pub struct Admitted {
    /// Its route.
    pub route: Arc<Route>,
    /// The workspace whose key it carried.
    pub holder: Option<KeyHolder>,
}

impl Admitted {
    /// Gets the request's urgency: the workspace's goes before the route's.
    pub fn rank(&self) -> u8 {
        let of_holder = self.holder.as_ref().and_then(|h| h.rank);
        of_holder.unwrap_or(self.route.rank)
    }
}

/// Decides whether a request may pass.
pub fn admit(
    catalog: Option<&Catalog>,
    fresh: &Freshness,
    now: Millis,
    revoke_within: Option<Millis>,
    entry: Entry<'_>,
) -> Result<Admitted> {
    let not_ready =
        || Error::new(Code::NotReady, "no configuration yet").with_retry_after(RETRY_NOT_READY_MS);
    let catalog = catalog.ok_or_else(not_ready)?;
    let is_fresh = revoke_within.is_none_or(|bound| fresh.holds(now, bound));
    let Some(route) = catalog.route(entry.hostname, entry.path) else {
        // A host with an old configuration can't tell an unknown route from a new one.
        return Err(if is_fresh {
            Error::new(Code::UnknownRoute, "no such route")
        } else {
            stale()
        });
    };
    match catalog.identify(route, entry.key) {
        Identity::Anonymous => Ok(Admitted { route: route.clone(), holder: None }),
        _ if !is_fresh => Err(stale()),
        Identity::Holder(holder) => Ok(Admitted { route: route.clone(), holder: Some(holder) }),
        Identity::Unknown => Err(Error::new(Code::NoKey, "no workspace holds this key")),
    }
}
