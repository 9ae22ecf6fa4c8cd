//! The configuration in force: routes, services, limits and workspaces, as one immutable value.

use std::collections::{BTreeMap, HashMap};

use crate::errors::{bad_value, Result};
use crate::ids::{ModelId, RouteId, ServiceId, WorkspaceId};
use crate::traffic::cold_endpoints::ColdStart;
use crate::units::{Millis, Tokens};

/// Smallest weight of a model in an engine's work; the smallest models take about a tenth of the
/// time of the largest.
const MIN_MODEL_WEIGHT: f64 = 0.1;

/// Kind of requests that a route carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A call that may be executed at most once.
    Once,
    /// A call that may be executed again.
    Repeatable,
    /// A stream of events.
    Stream {
        /// Whether another endpoint can continue the stream after a given event.
        resumable: bool,
    },
}

impl WorkKind {
    /// Reports whether a request may be executed a second time while the caller has not received
    /// any part of a response.
    pub fn is_repeatable(self) -> bool {
        matches!(self, WorkKind::Repeatable | WorkKind::Stream { resumable: true })
    }

    /// Reports whether the response is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, WorkKind::Stream { .. })
    }
}

/// A service that a route sends requests to, with its share of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the sum over the route's targets.
    pub weight: u32,
}

/// A route: which requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: RouteId,
    /// Value of the `Host` header that the route matches, in lower case.
    pub hostname: String,
    /// Prefix of the paths that the route matches; starts and ends with a slash.
    pub path_prefix: String,
    /// Services that the route's requests are sent to.
    pub targets: Vec<Target>,
    /// Kind of the route's requests.
    pub work: WorkKind,
    /// Longest time for which a request may be held.
    pub timeout: Millis,
    /// Time within which a response, or the first event of a stream, earns its full credit.
    pub objective: Millis,
    /// Longest interval between events of a stream that still meets the objective; `None` if there
    /// is no such limit.
    pub max_event_gap: Option<Millis>,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Largest number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Models that the router chooses from, the smallest first; empty if the caller chooses.
    pub models: Vec<ModelId>,
}

/// A model that a service's endpoints serve.
#[derive(Clone, Debug, PartialEq)]
pub struct PricedModel {
    /// Name of the model.
    pub name: ModelId,
    /// Price of 1,000 generated tokens; prompt tokens count at a quarter.
    pub price: f64,
}

/// Properties that all endpoints of a service share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts from all hosts together.
    pub max_connections: u32,
    /// Requests that an endpoint processes concurrently; `None` if it is not a model engine.
    pub slots: Option<u32>,
    /// Capacity of an engine's memory in tokens; `None` if it is not known.
    pub memory: Option<Tokens>,
    /// Models that the engines serve; empty if the endpoints are not model engines.
    pub models: Vec<PricedModel>,
    /// Path on which endpoints tell their load at once; `None` if there is none.
    pub health_path: Option<String>,
    /// How endpoints behave after their start; `None` if they have their full capacity at once.
    pub cold_start: Option<ColdStart>,
}

impl Service {
    /// Returns a model's weight in an engine's work: its price relative to the most expensive
    /// model. Price stands in for execution time, which is not declared.
    pub fn model_weight(&self, model: &ModelId) -> f64 {
        let highest_price = self.highest_price();
        match self.models.iter().find(|m| m.name == *model) {
            Some(m) if highest_price > 0.0 => (m.price / highest_price).max(MIN_MODEL_WEIGHT),
            _ => 1.0,
        }
    }

    /// Returns the price of 1,000 tokens of the most expensive model; 0 without models.
    pub fn highest_price(&self) -> f64 {
        self.models.iter().map(|m| m.price).fold(0.0, f64::max)
    }

    /// Returns the price of 1,000 tokens of a model; 0 if the model is not listed.
    pub fn model_price(&self, model: &ModelId) -> f64 {
        self.models.iter().find(|m| m.name == *model).map_or(0.0, |m| m.price)
    }
}

/// Limits on the size and duration of what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
    /// Largest request body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request head to arrive.
    pub head_timeout: Millis,
    /// Longest time for which a keep-alive connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    /// Limits in force until a configuration is known.
    fn default() -> Self {
        CallerLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

impl CallerLimits {
    /// Largest size that is calculated with, in bytes.
    const MAX_BYTES: usize = 1 << 40;

    /// Caps values that stand for no limit, so that sums do not overflow.
    pub fn bounded(self) -> CallerLimits {
        CallerLimits {
            max_head_bytes: self.max_head_bytes.min(CallerLimits::MAX_BYTES),
            max_body_bytes: self.max_body_bytes.min(CallerLimits::MAX_BYTES),
            head_timeout: self.head_timeout.min(Millis::MAX_STATED),
            idle_timeout: self.idle_timeout.min(Millis::MAX_STATED),
        }
    }
}

/// Checks the timeout of a route, in milliseconds. Fails if it is below 1, since no request could be
/// answered in time, or above [`Millis::MAX_STATED`].
pub fn parse_route_timeout(ms: f64) -> Result<Millis> {
    match Millis::from_stated("the timeout of a route", ms)? {
        Millis(0) => {
            Err(bad_value("the timeout of a route", &format!("{ms} ms"), "a time above 0"))
        }
        timeout => Ok(timeout),
    }
}

/// A workspace that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Urgency of the workspace's requests, which takes precedence over the route's; `None` if it
    /// has none.
    pub rank: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version number, which only increases.
    pub version: u64,
    pub routes: Vec<std::sync::Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Workspaces by key; `None` if the configuration has no workspaces and requests need no key.
    pub keys: Option<HashMap<String, KeyHolder>>,
}

/// Owner of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// No workspace: the route is public or the configuration has no workspaces.
    Anonymous,
    /// The workspace that the request's key belongs to.
    Holder(KeyHolder),
    /// A key is required, and the request has none or an unknown one.
    Unknown,
}

impl Catalog {
    /// Returns the route of a request: of the routes for this hostname, the one with the longest
    /// matching path prefix.
    pub fn route(&self, hostname: &str, path: &str) -> Option<&std::sync::Arc<Route>> {
        let hostname = hostname.split(':').next().unwrap_or_default();
        let is_match = |r: &&std::sync::Arc<Route>| {
            r.hostname.eq_ignore_ascii_case(hostname) && path.starts_with(&r.path_prefix)
        };
        self.routes.iter().filter(is_match).max_by_key(|r| r.path_prefix.len())
    }

    /// Returns the owner of a request with the given key.
    pub fn identify(&self, route: &Route, key: Option<&str>) -> Identity {
        let Some(keys) = &self.keys else { return Identity::Anonymous };
        match key.and_then(|key| keys.get(key)) {
            Some(holder) => Identity::Holder(holder.clone()),
            None if route.is_public => Identity::Anonymous,
            None => Identity::Unknown,
        }
    }
}

impl Route {
    /// Picks the service for a request. `hash_fraction` is a uniform value in `[0, 1)`.
    pub fn pick_target(&self, hash_fraction: f64) -> Option<&ServiceId> {
        let total: f64 = self.targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut remaining = hash_fraction * total;
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|t| &t.service)
    }
}
