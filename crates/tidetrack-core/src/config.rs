//! The configuration model of a router: objects of the system's own kinds. Hosts on the users' platform have
//! `traffic::catalog` in its place.
//!
//! An object is known by its kind and name and is kept as JSON in the platform's object API. The
//! declared kinds come from the operators' folder; the system's kinds are written by commands and
//! hosts and are never touched by `apply`.

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

/// Makes the kinds and their objects of one table: a kind's type, its name in keys, and whether operators
/// declare objects of it.
macro_rules! kinds {
    ($($name:ident, $text:literal, $declared:literal;)*) => {
        /// The kind of an object.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Kind { $(#[doc = $text] $name,)* }

        impl Kind {
            /// All kinds.
            pub const ALL: &'static [Kind] = &[$(Kind::$name),*];

            /// Gets the kind's name, as it stands in keys.
            pub fn as_str(self) -> &'static str {
                match self { $(Kind::$name => $text,)* }
            }

            /// Tells whether operators declare objects of this kind in a folder.
            pub fn is_declared(self) -> bool {
                match self { $(Kind::$name => $declared,)* }
            }
        }

        /// An object of any kind.
        #[derive(Clone, Debug, PartialEq, Serialize)]
        #[serde(untagged)]
        pub enum Object { $(#[doc = $text] $name($name),)* }

        impl Object {
            /// Reads an object of the given kind from JSON text.
            pub fn from_json(kind: Kind, text: &str) -> Result<Object, serde_json::Error> {
                Ok(match kind { $(Kind::$name => Object::$name(serde_json::from_str(text)?),)* })
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
    RolloutState, "rollout-state", false;
}

/// The key of an object: `kind/name`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ObjectKey {
    /// The kind.
    pub kind: Kind,
    /// The name within the kind.
    pub name: String,
}

impl ObjectKey {
    /// Makes a key.
    pub fn new(kind: Kind, name: impl fmt::Display) -> ObjectKey {
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
        let kind = Kind::ALL.iter().find(|k| k.as_str() == kind).ok_or_else(bad)?;
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

/// A workspace: who may call, what it may run and how much.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// SHA-256 digests of the workspace's keys, in hexadecimal.
    pub key_digests: BTreeSet<String>,
    /// Versions that may answer the workspace's requests.
    pub allow: BTreeSet<VersionRef>,
    /// Requests a second over the whole fleet.
    #[serde(default = "default_rate")]
    pub requests_per_second: f64,
    /// Requests at a time over the whole fleet.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
}

fn default_rate() -> f64 {
    1000.0
}

fn default_concurrency() -> u32 {
    1000
}

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The version that serves when no roll-out says otherwise.
    pub serving: VersionRef,
    /// For people.
    #[serde(default)]
    pub about: String,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The endpoints that hold it.
    pub pool: PoolId,
    /// Raised by the operator to admit a withdrawn version again.
    #[serde(default = "default_generation")]
    pub generation: u64,
    /// Price of a thousand prompt tokens.
    pub price_in: Micros,
    /// Price of a thousand answer tokens.
    pub price_out: Micros,
    /// Longest prompt and answer together, in tokens.
    #[serde(default = "default_context")]
    pub context_tokens: u64,
}

fn default_generation() -> u64 {
    1
}

fn default_context() -> u64 {
    32_768
}

/// A pool of like endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The endpoints by name.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Requests that one endpoint runs at a time before it queues.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the endpoints check fences: they refuse an order older than one they have seen.
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
    /// `ip:port`.
    pub address: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The endpoints by name.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    /// Calls that must not be repeated, as `METHOD /path-prefix`.
    #[serde(default)]
    pub once: BTreeSet<String>,
    /// Workspaces that may call it.
    pub workspaces: BTreeSet<WorkspaceId>,
    /// Milliseconds for one call.
    #[serde(default = "default_service_deadline")]
    pub deadline_ms: u64,
}

fn default_service_deadline() -> u64 {
    10_000
}

impl Service {
    /// Tells whether a call must not be repeated.
    pub fn is_once(&self, method: &str, path: &str) -> bool {
        self.once.iter().any(|rule| match rule.split_once(' ') {
            Some((m, prefix)) => m == method && path.starts_with(prefix),
            None => false,
        })
    }
}

/// How far a policy is in force beside the old scripts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Decides and records the decision; the caller's own choice of model runs.
    Observe,
    /// Decides for the share of requests given; the caller's choice runs for the rest.
    Share(f64),
    /// Decides for every request.
    Full,
}

impl Mode {
    /// Tells whether the policy decides for a request drawn at `draw`, from 0 up to 1.
    pub fn is_in_force(self, draw: f64) -> bool {
        match self {
            Mode::Observe => false,
            Mode::Share(share) => draw < share,
            Mode::Full => true,
        }
    }
}

/// A routing policy; its name is the route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The program, in Rhai.
    pub program: String,
    /// How far it is in force.
    #[serde(default = "default_mode")]
    pub mode: Mode,
    /// Models used when the program fails.
    pub fallback: Vec<ModelId>,
    /// Steps that one run may take.
    #[serde(default = "default_steps")]
    pub max_steps: u64,
    /// Milliseconds for one request.
    #[serde(default = "default_deadline")]
    pub deadline_ms: u64,
    /// Cases that `check` runs.
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

/// A declared case: a request and the models that the policy must choose for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyCase {
    /// Size of the prompt in characters.
    #[serde(default)]
    pub prompt_chars: i64,
    /// The request's tags.
    #[serde(default)]
    pub tags: Vec<String>,
    /// The request's workspace.
    #[serde(default)]
    pub workspace: String,
    /// The models expected, cheapest rung first.
    pub expect: Vec<ModelId>,
}

/// A roll-out of a version, in stages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// The version that is proven.
    pub from: VersionRef,
    /// The version that is rolled out.
    pub to: VersionRef,
    /// The stages in order.
    pub stages: Vec<Stage>,
    /// What a host does that cannot confirm its configuration.
    #[serde(default)]
    pub when_stale: WhenStale,
    /// Age of the last confirmation at which a host counts as stale, in milliseconds.
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
    /// Share of the requests that the new version answers.
    pub share: f64,
    /// Most requests on the new version, running or answered, that are not judged yet.
    pub cap: u64,
    /// Judged answers needed before the next stage.
    pub judged: u64,
}

/// What a host does with an unproven version when its configuration may be old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WhenStale {
    /// Goes on.
    GoOn,
    /// Sends new work to the proven version only.
    #[default]
    ProvenOnly,
    /// Refuses the route's requests.
    Stop,
}

/// A service-level objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Objective {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The route.
    pub route: RouteId,
    /// The first token counts as in time up to here.
    pub first_token_ms: u64,
    /// Share of requests that must be answered and in time.
    pub target: f64,
    /// Days that the objective is kept over.
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
    /// Generations up to this one are withdrawn.
    pub generation: u64,
    /// Why, for people.
    #[serde(default)]
    pub reason: String,
}

/// Whether a roll-out is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RolloutPhase {
    /// Stages are run and judged.
    Running,
    /// No new work on the new version until it is resumed.
    Paused,
    /// Given up; the proven version serves.
    Aborted,
    /// Done; the new version serves.
    Done,
}

/// Where a roll-out stands, with its exposure credits.
///
/// `granted` only grows. A host may put at most as many requests on the new version, over its whole
/// life, as its incarnation was granted. The writer keeps the sum of the grants within the stage's
/// cap plus the answers known to be judged, so the cap holds with no message per request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutState {
    /// Where it stands.
    pub phase: RolloutPhase,
    /// The stage, from 0.
    pub stage: usize,
    /// The generation of the new version that the credits are for.
    pub generation: u64,
    /// Credits granted so far, by incarnation.
    #[serde(default)]
    pub granted: BTreeMap<Incarnation, u64>,
    /// Answers judged so far, by incarnation, as known when the grants were written.
    #[serde(default)]
    pub judged: BTreeMap<Incarnation, u64>,
    /// The operation that wrote this state, to settle a lost reply.
    #[serde(default)]
    pub op: String,
}

impl Object {
    /// Renders the object as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("objects have only text keys")
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn once_rules_match_method_and_prefix() {
        let service = Service {
            endpoints: BTreeMap::new(),
            once: ["POST /checkout".to_string()].into(),
            workspaces: BTreeSet::new(),
            deadline_ms: 1,
        };
        assert!(service.is_once("POST", "/checkout/7"));
        assert!(!service.is_once("GET", "/checkout/7"));
        assert!(!service.is_once("POST", "/books"));
    }

    #[test]
    fn keys_round_trip() {
        let key = ObjectKey::new(Kind::RolloutState, "tagger-2");
        assert_eq!(key.to_string().parse::<ObjectKey>().expect("a key"), key);
        assert!("gadget/x".parse::<ObjectKey>().is_err());
    }
}
