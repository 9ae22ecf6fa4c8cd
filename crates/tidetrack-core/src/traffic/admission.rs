//! Admission: whether a request may be passed on at all, from what this host knows.

use std::sync::Arc;

use crate::codes::Code;
use crate::errors::{Error, Result};
use crate::traffic::catalog::{Catalog, Identity, KeyHolder, Route};
use crate::traffic::freshness::Freshness;
use crate::units::Millis;

/// When to come back to a host that has no configuration yet or no fresh one, in milliseconds: by
/// then a balancer sends new connections to another host, or a read of the store was answered.
const NOT_READY_RETRY_AFTER_MS: u64 = 500;

/// Makes the refusal of a host whose configuration was not confirmed for too long.
pub fn stale_config_error() -> Error {
    Error::new(Code::Stale, "the configuration was not confirmed for too long")
        .with_retry_after(NOT_READY_RETRY_AFTER_MS)
}

/// What is asked at the gate.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The `Host` header.
    pub hostname: &'a str,
    /// The path.
    pub path: &'a str,
    /// The key, if one was sent.
    pub key: Option<&'a str>,
}

/// A request that may pass.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Its route.
    pub route: Arc<Route>,
    /// The workspace whose key it carried.
    pub holder: Option<KeyHolder>,
}

impl AdmittedRequest {
    /// Gets the request's urgency: the workspace's goes before the route's.
    pub fn rank(&self) -> u8 {
        let workspace_rank = self.holder.as_ref().and_then(|h| h.rank);
        workspace_rank.unwrap_or(self.route.rank)
    }
}

/// Decides whether a request may pass.
pub fn admit(
    catalog: Option<&Catalog>,
    freshness: &Freshness,
    now: Millis,
    revocation_bound: Option<Millis>,
    request: AdmissionRequest<'_>,
) -> Result<AdmittedRequest> {
    let not_ready = || {
        Error::new(Code::NotReady, "no configuration yet")
            .with_retry_after(NOT_READY_RETRY_AFTER_MS)
    };
    let catalog = catalog.ok_or_else(not_ready)?;
    let is_fresh =
        revocation_bound.is_none_or(|max_age| freshness.permits_keyed_requests(now, max_age));
    let Some(route) = catalog.route(request.hostname, request.path) else {
        // A host with an old configuration can't tell an unknown route from a new one.
        return Err(if is_fresh {
            Error::new(Code::UnknownRoute, "no such route")
        } else {
            stale_config_error()
        });
    };
    match catalog.identify(route, request.key) {
        Identity::Anyone => Ok(AdmittedRequest { route: route.clone(), holder: None }),
        _ if !is_fresh => Err(stale_config_error()),
        Identity::Holder(holder) => {
            Ok(AdmittedRequest { route: route.clone(), holder: Some(holder) })
        }
        Identity::Unknown => Err(Error::new(Code::NoKey, "no workspace holds this key")),
    }
}
