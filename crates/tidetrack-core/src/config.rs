//! The configuration model of a router: workspaces, models, pools, policies, roll-outs and so on. Hosts on
//! the users' platform use `traffic::catalog` instead.
//!
//! An object is identified by its kind and name and is stored as JSON in the platform's object API. The
//! declared kinds are read from the operators' folder. The other kinds are written by commands and hosts,
//! and `apply` never changes them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::errors::{bad_value, Error, Result};
use crate::ids::{
    EndpointId, FailureDomain, Incarnation, ModelId, PoolId, RouteId, VersionRef, WorkspaceId,
};
use crate::message_auth::KeyRing;
use crate::units::Micros;

/// Defines `ObjectKind` and `Object` from one table with a row per kind: its type, its name in object keys,
/// and whether operators declare objects of it.
macro_rules! kinds {
    ($($name:ident, $text:literal, $declared:literal;)*) => {
        /// The kind of an object.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum ObjectKind { $(#[doc = $text] $name,)* }

        impl ObjectKind {
            /// All kinds.
            pub const ALL: &'static [ObjectKind] = &[$(ObjectKind::$name),*];

            /// Returns the kind's name as used in object keys.
            pub fn as_str(self) -> &'static str {
                match self { $(ObjectKind::$name => $text,)* }
            }

            /// Reports whether operators declare objects of this kind in their folder.
            pub fn is_declared(self) -> bool {
                match self { $(ObjectKind::$name => $declared,)* }
            }
        }

        /// An object of any kind.
        #[derive(Clone, Debug, PartialEq, Serialize)]
        #[serde(untagged)]
        pub enum Object { $(#[doc = $text] $name($name),)* }

        impl Object {
            /// Parses an object of the given kind from JSON text.
            pub fn from_json(kind: ObjectKind, text: &str) -> Result<Object, serde_json::Error> {
                Ok(match kind { $(ObjectKind::$name => Object::$name(serde_json::from_str(text)?),)* })
            }
        }
    };
}

kinds! {
    Workspace, "workspace", true;
    Model, "model", true;
    Version, "version", true;
    Pool, "pool", true;
    Service, "service", true;
    Policy, "policy", true;
    Rollout, "rollout", true;
    Objective, "objective", true;
    KeyRing, "keyring", true;
    Withdrawal, "withdrawal", false;
    Evacuation, "evacuation", false;
    RolloutState, "rollout-state", false;
}

/// The key of an object: `kind/name`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object, unique within its kind.
    pub name: String,
}

impl ObjectKey {
    /// Creates a key. The name is not checked.
    pub fn new(kind: ObjectKind, name: impl fmt::Display) -> ObjectKey {
        ObjectKey { kind, name: name.to_string() }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl FromStr for ObjectKey {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let bad = || bad_value("object key", s, "kind/name");
        let (kind, name) = s.split_once('/').ok_or_else(bad)?;
        let kind = ObjectKind::ALL.iter().find(|k| k.as_str() == kind).ok_or_else(bad)?;
        Ok(ObjectKey { kind: *kind, name: name.to_string() })
    }
}

impl TryFrom<String> for ObjectKey {
    type Error = Error;

    fn try_from(s: String) -> Result<Self> {
        s.parse()
    }
}

impl From<ObjectKey> for String {
    fn from(k: ObjectKey) -> String {
        k.to_string()
    }
}

/// A workspace: the keys of its callers, the versions that they may use, and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// SHA-256 digests of the workspace's API keys, in hexadecimal.
    pub key_digests: BTreeSet<String>,
    /// Versions that may serve the workspace's requests.
    pub allow: BTreeSet<VersionRef>,
    /// Maximum requests per second over the whole fleet.
    #[serde(default = "default_rate")]
    pub requests_per_second: f64,
    /// Maximum concurrent requests over the whole fleet.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

fn default_rate() -> f64 {
    1000.0
}

fn default_concurrency() -> u32 {
    1000
}

/// A language model that callers can request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version that serves requests unless a roll-out selects another one.
    pub serving: VersionRef,
    /// Description for readers; it has no effect on routing.
    #[serde(rename = "about", default)]
    pub description: String,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Pool of endpoints that serve the version.
    pub pool: PoolId,
    /// Generation of the version. The operator raises it to admit a withdrawn version again.
    #[serde(default = "default_generation")]
    pub generation: u64,
    /// Price per 1000 prompt tokens.
    pub price_in: Micros,
    /// Price per 1000 completion tokens.
    pub price_out: Micros,
    /// Context length: maximum of prompt and completion together, in tokens.
    #[serde(default = "default_context")]
    pub context_tokens: u64,
}

fn default_generation() -> u64 {
    1
}

fn default_context() -> u64 {
    32_768
}

/// A pool of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Number of requests that one endpoint runs concurrently before it queues further ones.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the endpoints check fencing tokens, that is, refuse an order older than one that they have
    /// already seen.
    #[serde(default)]
    pub fenced: bool,
}

fn default_slots() -> u32 {
    16
}

/// An endpoint of a pool or a service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Address as `ip:port`.
    pub address: String,
    /// Failure domain that the endpoint runs in.
    pub failure_domain: FailureDomain,
}

/// A plain HTTP service, not a language model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Calls that must not be retried, as `METHOD /path-prefix`.
    #[serde(rename = "once", default)]
    pub non_repeatable: BTreeSet<String>,
    /// Workspaces that may call the service.
    pub workspaces: BTreeSet<WorkspaceId>,
    /// Deadline of one call, in milliseconds.
    #[serde(default = "default_service_deadline")]
    pub deadline_ms: u64,
}

fn default_service_deadline() -> u64 {
    10_000
}

impl Service {
    /// Reports whether a call must not be retried.
    pub fn is_non_repeatable(&self, method: &str, path: &str) -> bool {
        self.non_repeatable.iter().any(|rule| match rule.split_once(' ') {
            Some((m, prefix)) => m == method && path.starts_with(prefix),
            None => false,
        })
    }
}

/// The share of requests for which a policy decides, in place of the callers' own scripts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// The policy's decision is only recorded; the model chosen by the caller is used.
    Observe,
    /// The policy decides for this share of requests, from 0 to 1; for the rest, the model chosen by the
    /// caller is used.
    Share(f64),
    /// The policy decides for every request.
    Full,
}

impl Mode {
    /// Reports whether the policy decides for a request with the uniform value `hash_fraction` in [0, 1).
    pub fn is_enforced(self, hash_fraction: f64) -> bool {
        match self {
            Mode::Observe => false,
            Mode::Share(share) => hash_fraction < share,
            Mode::Full => true,
        }
    }
}

/// A routing policy; its name is the route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Source text of the program, in Rhai.
    pub program: String,
    /// Share of requests for which the policy decides.
    #[serde(default = "default_mode")]
    pub mode: Mode,
    /// Models to use when the program fails, in order.
    pub fallback: Vec<ModelId>,
    /// Maximum number of Rhai operations in one run of the program.
    #[serde(default = "default_steps")]
    pub max_steps: u64,
    /// Deadline of one request, in milliseconds.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Test cases that `check` runs.
    #[serde(default)]
    pub cases: Vec<PolicyCase>,
}

fn default_mode() -> Mode {
    Mode::Full
}

fn default_steps() -> u64 {
    10_000
}

fn default_deadline() -> u64 {
    30_000
}

/// A declared test case: a request and the models that the policy must choose for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyCase {
    /// Length of the prompt in characters.
    #[serde(default)]
    pub prompt_chars: i64,
    /// Tags of the request.
    #[serde(default)]
    pub tags: Vec<String>,
    /// Workspace of the request.
    #[serde(default)]
    pub workspace: String,
    /// Expected models of the cascade, cheapest first.
    pub expect: Vec<ModelId>,
}

/// A staged roll-out of a version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The stable version.
    pub from: VersionRef,
    /// The canary version, which is rolled out.
    pub to: VersionRef,
    /// Stages in the order in which they run.
    pub stages: Vec<Stage>,
    /// Behaviour of a host whose configuration is stale.
    #[serde(default)]
    pub when_stale: WhenStale,
    /// Age of the last confirmation above which a host's configuration is stale, in milliseconds.
    #[serde(default = "default_stale_ms")]
    pub stale_ms: u64,
}

fn default_stale_ms() -> u64 {
    20_000
}

/// One stage of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Share of the requests that the canary version serves, from 0 to 1.
    pub share: f64,
    /// Exposure limit: maximum number of requests on the canary version, running or finished, that have not
    /// been judged yet.
    pub cap: u64,
    /// Number of judged responses, over all stages so far, that are required for the next stage.
    pub judged: u64,
}

/// How a host treats a canary version when its configuration is stale.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenStale {
    /// Continues to send work to the canary version.
    #[serde(rename = "go-on")]
    Continue,
    /// Sends new work only to the stable version.
    #[default]
    #[serde(rename = "proven-only")]
    StableOnly,
    /// Refuses new requests for the model.
    Stop,
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// Workspace whose requests are measured.
    pub workspace: WorkspaceId,
    /// Route whose requests are measured.
    pub route: RouteId,
    /// Maximum time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Share of requests that must succeed within that time, from 0 up to but excluding 1.
    pub target: f64,
    /// Length of the window over which the objective is evaluated, in days.
    #[serde(default = "default_window_days")]
    pub window_days: u32,
}

fn default_window_days() -> u32 {
    28
}

/// An accepted withdrawal of a version, up to a generation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Highest withdrawn generation; all earlier ones are withdrawn too.
    pub generation: u64,
    /// Reason, for readers.
    #[serde(default)]
    pub reason: String,
}

/// An order to send nothing further to the endpoints of the failure domain that it is named after. It
/// is in force until it is deleted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// Reason, for readers.
    #[serde(default)]
    pub reason: String,
}

/// The phase of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutPhase {
    /// The stages are being run and judged.
    Running,
    /// The canary version gets no new work until the roll-out is resumed.
    Paused,
    /// The roll-out was aborted; the stable version serves.
    Aborted,
    /// The roll-out is complete; the canary version serves all requests.
    Done,
}

/// The stored state of a roll-out, with its exposure credits.
///
/// `granted` never decreases. Over its whole run, an incarnation may send at most as many requests to the
/// canary version as it was granted. The writer of the state keeps the sum of the grants within the
/// stage's cap plus the number of responses known to be judged, so the cap holds without a message per
/// request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutState {
    /// Current phase.
    pub phase: RolloutPhase,
    /// Index of the current stage, from 0.
    pub stage: usize,
    /// Generation of the canary version to which the credits apply.
    pub generation: u64,
    /// Total credits granted so far, by incarnation.
    #[serde(default)]
    pub granted: BTreeMap<Incarnation, u64>,
    /// Number of responses judged so far, by incarnation, as known when the grants were written.
    #[serde(default)]
    pub judged: BTreeMap<Incarnation, u64>,
    /// Identifier of the write operation. A writer whose reply was lost can tell by it whether its write
    /// succeeded.
    #[serde(rename = "op", default)]
    pub operation_id: String,
}

impl Object {
    /// Serializes the object as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("the maps of an object have only string keys")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn non_repeatable_rules_match_method_and_prefix() {
        let service = Service {
            endpoints: BTreeMap::new(),
            non_repeatable: ["POST /checkout".to_string()].into(),
            workspaces: BTreeSet::new(),
            deadline_ms: 1,
        };
        assert!(service.is_non_repeatable("POST", "/checkout/7"));
        assert!(!service.is_non_repeatable("GET", "/checkout/7"));
        assert!(!service.is_non_repeatable("POST", "/books"));
    }

    #[test]
    fn keys_round_trip() {
        let key = ObjectKey::new(ObjectKind::RolloutState, "tagger-2");
        assert_eq!(key.to_string().parse::<ObjectKey>().expect("the object key parses"), key);
        assert!("gadget/x".parse::<ObjectKey>().is_err());
    }
}
