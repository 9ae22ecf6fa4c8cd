//! Admission: decides whether a request may be passed on, given this host's configuration.

use std::sync::Arc;

use crate::codes::Code;
use crate::errors::{Error, Result};
use crate::traffic::catalog::{Catalog, Identity, KeyHolder, Route};
use crate::traffic::freshness::Freshness;
use crate::traffic::retired_keys::RetiredKeys;
use crate::units::Millis;

/// Retry delay, in milliseconds, for a host without a configuration or without a recent proof of
/// it. By then a load balancer sends new connections to another host, or a read of the store has
/// completed.
const NOT_READY_RETRY_AFTER_MS: u64 = 500;

/// Returns the error for a host whose configuration has not been confirmed for too long.
pub fn stale_config_error() -> Error {
    Error::new(Code::Stale, "the configuration was not confirmed for too long")
        .with_retry_after(NOT_READY_RETRY_AFTER_MS)
}

/// The parts of a request that admission depends on.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// The value of the `Host` header.
    pub hostname: &'a str,
    /// The request path.
    pub path: &'a str,
    /// The key in the request; `None` if it has none.
    pub key: Option<&'a str>,
    /// Keys that are accepted although the configuration no longer has them, for the further attempts
    /// of a request that another host admitted.
    pub retired_keys: Option<&'a RetiredKeys>,
}

/// A request that may be passed on.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The route that the request matched.
    pub route: Arc<Route>,
    /// The workspace that the request's key belongs to; `None` for a request without a known key
    /// on a route that needs none.
    pub holder: Option<KeyHolder>,
}

impl AdmittedRequest {
    /// Returns the priority rank of the request, where 0 is the most urgent: that of the workspace
    /// if it has one, otherwise that of the route.
    pub fn rank(&self) -> u8 {
        let workspace_rank = self.holder.as_ref().and_then(|h| h.rank);
        workspace_rank.unwrap_or(self.route.rank)
    }
}

/// Decides whether a request may be passed on.
///
/// Without a `revocation_bound`, the configuration needs no recent proof.
///
/// Returns an error if the host has no configuration, if the configuration has not been confirmed
/// for too long, if no route matches, or if the route needs a key and the request has no valid one.
pub fn admit(
    catalog: Option<&Catalog>,
    freshness: &Freshness,
    now: Millis,
    revocation_bound: Option<Millis>,
    request: AdmissionRequest<'_>,
) -> Result<AdmittedRequest> {
    let not_ready = || {
        Error::new(Code::NotReady, "this host has not received a configuration yet")
            .with_retry_after(NOT_READY_RETRY_AFTER_MS)
    };
    let catalog = catalog.ok_or_else(not_ready)?;
    let is_fresh =
        revocation_bound.is_none_or(|max_age| freshness.permits_keyed_requests(now, max_age));
    let Some(route) = catalog.route(request.hostname, request.path) else {
        // A host with an outdated configuration cannot tell an unknown route from a new one.
        return Err(if is_fresh {
            Error::new(Code::UnknownRoute, "no route matches the host name and path")
        } else {
            stale_config_error()
        });
    };
    let retired_holder = || {
        let (key, max_age) = request.key.zip(revocation_bound)?;
        request.retired_keys?.holder(now, key, max_age).cloned()
    };
    let identity = match catalog.identify(route, request.key) {
        Identity::Unknown => retired_holder().map_or(Identity::Unknown, Identity::Holder),
        identity => identity,
    };
    match identity {
        Identity::Anonymous => Ok(AdmittedRequest { route: route.clone(), holder: None }),
        _ if !is_fresh => Err(stale_config_error()),
        Identity::Holder(holder) => {
            Ok(AdmittedRequest { route: route.clone(), holder: Some(holder) })
        }
        Identity::Unknown => Err(Error::new(
            Code::NoKey,
            "the request has no key, or one that belongs to no workspace",
        )),
    }
}
