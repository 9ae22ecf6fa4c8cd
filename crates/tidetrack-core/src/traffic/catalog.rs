//! The configuration in force: routes, services, limits and workspaces, as one immutable value.

use std::collections::{BTreeMap, HashMap};

use crate::ids::{ModelId, RouteId, ServiceId, WorkspaceId};
use crate::units::{Millis, Tokens};

/// Least weight of a model in an engine's work; the smallest models take about a tenth of the
/// largest's time.
const MIN_MODEL_WEIGHT: f64 = 0.1;

/// What kind of work a route carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A call that may run at most once.
    Once,
    /// A call that may run again.
    Repeatable,
    /// A stream of events; it may be continued at another endpoint if `resumable`.
    Stream {
        /// Whether another endpoint can go on after a given event.
        resumable: bool,
    },
}

impl WorkKind {
    /// Tells whether a request may be run a second time while the caller holds nothing of it.
    pub fn is_repeatable(self) -> bool {
        matches!(self, WorkKind::Repeatable | WorkKind::Stream { resumable: true })
    }

    /// Tells whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, WorkKind::Stream { .. })
    }
}

/// One service a route sends to, with its share of the route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// A route: which requests it takes and how they are to be treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: RouteId,
    /// The `Host` it answers to, in lower case.
    pub hostname: String,
    /// The path it begins with; starts and ends with a slash.
    pub path_prefix: String,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// What kind of work it is.
    pub work: WorkKind,
    /// Longest time a request may be held.
    pub timeout: Millis,
    /// Time within which an answer, or a stream's first event, earns its full credit.
    pub objective: Millis,
    /// Longest pause between a stream's events that is still in time.
    pub max_event_gap: Option<Millis>,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Models the system chooses among, the smallest first; empty if the caller chooses.
    pub models: Vec<ModelId>,
}

/// A model that a service's endpoints serve.
#[derive(Clone, Debug, PartialEq)]
pub struct PricedModel {
    /// Its name.
    pub name: ModelId,
    /// Price of 1,000 generated tokens; tokens read count at a quarter.
    pub price: f64,
}

/// What the endpoints of a service share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Connections one endpoint accepts from all hosts together.
    pub max_connections: u32,
    /// Requests an endpoint works on at a time, if it is a model engine.
    pub slots: Option<u32>,
    /// Tokens an engine's memory holds.
    pub memory: Option<Tokens>,
    /// The models, if it is a model engine.
    pub models: Vec<PricedModel>,
}

impl Service {
    /// Gets a model's weight in an engine's work: its price beside the dearest model's, for the time a
    /// model takes is not declared.
    pub fn model_weight(&self, model: &ModelId) -> f64 {
        let highest_price = self.models.iter().map(|m| m.price).fold(0.0, f64::max);
        match self.models.iter().find(|m| m.name == *model) {
            Some(m) if highest_price > 0.0 => (m.price / highest_price).max(MIN_MODEL_WEIGHT),
            _ => 1.0,
        }
    }

    /// Gets the price of 1,000 tokens of a model; 0 if it is not listed.
    pub fn model_price(&self, model: &ModelId) -> f64 {
        self.models.iter().find(|m| m.name == *model).map_or(0.0, |m| m.price)
    }
}

/// Bounds on what callers send and how long they take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub max_head_bytes: usize,
    /// Largest body in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_timeout: Millis,
    /// Longest rest of a kept connection.
    pub idle_timeout: Millis,
}

impl Default for CallerLimits {
    /// The values used until a configuration is known.
    fn default() -> Self {
        CallerLimits {
            max_head_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            head_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// A workspace that holds keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its urgency, which goes before the route's.
    pub rank: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Number of the version; it only rises.
    pub version: u64,
    /// The routes.
    pub routes: Vec<std::sync::Arc<Route>>,
    /// The services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Bounds for callers.
    pub limits: CallerLimits,
    /// Holders by key; `None` where requests need no key at all.
    pub keys: Option<HashMap<String, KeyHolder>>,
}

/// Who a request belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Identity {
    /// No workspace: the route is public or the configuration has no workspaces.
    Anonymous,
    /// The holder of the request's key.
    Holder(KeyHolder),
    /// A key is needed and the request has none, or one that nobody holds.
    Unknown,
}

impl Catalog {
    /// Finds the route of a request: the longest prefix of the path among the host's routes.
    pub fn route(&self, hostname: &str, path: &str) -> Option<&std::sync::Arc<Route>> {
        let hostname = hostname.split(':').next().unwrap_or_default();
        let is_match = |r: &&std::sync::Arc<Route>| {
            r.hostname.eq_ignore_ascii_case(hostname) && path.starts_with(&r.path_prefix)
        };
        self.routes.iter().filter(is_match).max_by_key(|r| r.path_prefix.len())
    }

    /// Finds whom a request belongs to.
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
    /// Picks the service of one request; `hash_fraction` is from 0 up to 1.
    pub fn pick_target(&self, hash_fraction: f64) -> Option<&ServiceId> {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut remaining = hash_fraction * f64::from(total);
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|t| &t.service)
    }
}
