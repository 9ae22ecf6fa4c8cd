//! The compiled configuration on which a router's traffic threads make their decisions. Hosts on the
//! users' platform use `traffic::view` instead.
//!
//! The control thread builds a view whenever the configuration or a fact that bars something changes.
//! State that must outlive a view (endpoint load, credits, compiled programs) is shared between
//! successive views.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use crate::codes::Code;
use crate::config::{
    Endpoint, Model, Object, ObjectKey, ObjectKind, Objective, Policy, Rollout, RolloutPhase,
    RolloutState, Service, Version, WhenStale, Workspace,
};
use crate::errors::{unknown_name, Error, Result};
use crate::facts::{Fact, Facts, Subject};
use crate::ids::{
    EndpointId, FailureDomain, Incarnation, ModelId, PoolId, RolloutId, RouteId, ServiceId,
    VersionRef, WorkspaceId,
};
use crate::message_auth::KeyRing;
use crate::placement::{EndpointState, PoolEndpoint, PoolView};
use crate::policy::{Features, Plan, Program};
use crate::rollout::Credits;
use crate::store::{Entry, Store};
use crate::units::Millis;

/// A version in the compiled configuration.
#[derive(Clone, Debug)]
pub struct VersionView {
    /// The declared version.
    pub spec: Version,
    /// Whether the version is withdrawn, quarantined or aborted and takes no new work.
    pub is_barred: bool,
    /// Credits for new requests while the version is the canary of an unfinished roll-out; `None` for a
    /// stable version.
    pub canary_credits: Option<Arc<Credits>>,
}

/// A roll-out in the compiled configuration.
#[derive(Clone, Debug)]
pub struct RolloutView {
    /// Name of the roll-out.
    pub id: RolloutId,
    /// The declared roll-out.
    pub spec: Rollout,
    /// Current state; `None` before the roll-out is started.
    pub state: Option<RolloutState>,
    /// Revision of the state, for conditional updates; 0 if there is no state.
    pub state_version: u64,
}

impl RolloutView {
    /// Reports whether the roll-out is in phase `Running`.
    pub fn is_running(&self) -> bool {
        self.state.as_ref().is_some_and(|s| s.phase == RolloutPhase::Running)
    }

    /// Reports whether a configuration of this freshness is stale for the roll-out.
    fn is_stale(&self, freshness: Freshness) -> bool {
        freshness.age.0 > self.spec.stale_ms
    }

    /// Reports whether a host with a configuration of this freshness may send work to the canary version.
    fn allows_canary(&self, freshness: Freshness) -> bool {
        !self.is_stale(freshness) || self.spec.when_stale == WhenStale::Continue
    }
}

/// A policy in the compiled configuration.
#[derive(Debug)]
pub struct PolicyView {
    /// The declared policy.
    pub spec: Policy,
    /// The compiled program; `None` if it does not compile.
    pub program: Option<Program>,
}

impl PolicyView {
    /// Runs the policy's program. On failure, returns the plan of the declared fallback models and the
    /// error.
    pub fn decide(&self, features: &Features, load: &[(ModelId, f64)]) -> (Plan, Option<Error>) {
        let fallback = || Plan { rungs: self.spec.fallback.clone(), accept: None };
        let Some(program) = &self.program else {
            let err = Error::new(Code::BadPolicy, "the policy's program does not compile");
            return (fallback(), Some(err));
        };
        match program.decide(features, load) {
            Ok(plan) => (plan, None),
            Err(e) => (fallback(), Some(e)),
        }
    }
}

/// A service in the compiled configuration.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// The declared service.
    pub spec: Service,
    /// The service's endpoints.
    pub pool: PoolView,
}

/// The configuration, compiled for the traffic threads.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Revision of the object API up to which the configuration is complete.
    pub revision: u64,
    /// Keys that authenticate the tokens issued by the fleet; `None` if none are declared.
    pub key_ring: Option<KeyRing>,
    /// Workspaces by the SHA-256 digests of their keys, in hexadecimal.
    pub workspaces_by_key_digest: HashMap<String, WorkspaceId>,
    /// Workspaces by name.
    pub workspaces: HashMap<WorkspaceId, Workspace>,
    /// Models by name.
    pub models: HashMap<ModelId, Model>,
    /// Versions of models.
    pub versions: HashMap<VersionRef, VersionView>,
    /// Pools of endpoints by name.
    pub pools: HashMap<PoolId, Arc<PoolView>>,
    /// Plain services by name.
    pub services: HashMap<ServiceId, Arc<ServiceView>>,
    /// Policies by route.
    pub policies: HashMap<RouteId, Arc<PolicyView>>,
    /// Declared roll-outs, whether started or not.
    pub rollouts: Vec<RolloutView>,
    /// Evacuated failure domains.
    pub evacuated_domains: BTreeSet<FailureDomain>,
    /// Service-level objectives.
    pub objectives: Vec<Objective>,
}

/// Slot count that means no limit. It is used for plain services, which refuse calls themselves when they
/// are at capacity.
const UNLIMITED_SLOTS: u32 = 0;

/// Retry delay for a version that takes no work at present, in milliseconds. Routers evaluate a roll-out
/// every 300 ms, so its state has been evaluated again by then.
const VERSION_RETRY_AFTER_MS: u64 = 1_000;

/// Builds views and holds the state that successive views share.
#[derive(Debug, Default)]
pub struct ViewBuilder {
    /// Load and health of endpoints, by name and address.
    endpoint_states: HashMap<(EndpointId, String), Arc<EndpointState>>,
    /// Credits by version and generation.
    credits: HashMap<(VersionRef, u64), Arc<Credits>>,
    /// Compiled policies with the revisions that they were compiled from.
    policies: HashMap<RouteId, (u64, Arc<PolicyView>)>,
}

impl ViewBuilder {
    /// Builds the view of a configuration and facts. Also returns the objects that cannot be parsed, with
    /// the reasons.
    pub fn build(
        &mut self,
        own_incarnation: &Incarnation,
        store: &Store,
        facts: &Facts,
    ) -> (View, Vec<(ObjectKey, String)>) {
        let (objects, invalid) = store.objects();
        // An order without a valid name is not that of any domain.
        let evacuated_domain = |(key, _, object): &(ObjectKey, u64, Object)| match object {
            Object::Evacuation(_) => key.name.parse().ok(),
            _ => None,
        };
        let evacuated_domains = objects.iter().filter_map(evacuated_domain).collect();
        let mut view = View { revision: store.complete_to(), evacuated_domains, ..View::default() };
        let mut states: BTreeMap<String, (u64, RolloutState)> = BTreeMap::new();
        let mut withdrawn: HashMap<String, u64> = HashMap::new();
        for (key, revision, object) in objects {
            match object {
                Object::RolloutState(s) => {
                    states.insert(key.name, (revision, s));
                }
                Object::Withdrawal(w) => {
                    withdrawn.insert(key.name, w.generation);
                }
                other => self.add(&mut view, facts, key, revision, other),
            }
        }
        for (version, v) in &mut view.versions {
            let generation = v.spec.generation;
            let is_withdrawn =
                withdrawn.get(&version.to_string()).is_some_and(|g| *g >= generation);
            v.is_barred = is_withdrawn || facts.is_version_barred(version, generation);
        }
        for rollout in &mut view.rollouts {
            if let Some((revision, state)) = states.remove(rollout.id.as_str()) {
                rollout.state_version = revision;
                rollout.state = Some(state);
            }
        }
        self.apply_rollouts(own_incarnation, &mut view);
        (view, invalid)
    }

    /// Adds an object of the configuration to a view.
    fn add(
        &mut self,
        view: &mut View,
        facts: &Facts,
        key: ObjectKey,
        revision: u64,
        object: Object,
    ) {
        // Names are checked when an object is accepted. An object whose name does not parse is skipped.
        macro_rules! name {
            () => {
                match key.name.parse() {
                    Ok(name) => name,
                    Err(_) => return,
                }
            };
        }
        match object {
            Object::Workspace(w) => {
                let id: WorkspaceId = name!();
                view.workspaces_by_key_digest
                    .extend(w.key_digests.iter().map(|d| (d.clone(), id.clone())));
                view.workspaces.insert(id, w);
            }
            Object::Model(m) => {
                view.models.insert(name!(), m);
            }
            Object::Version(spec) => {
                let v = VersionView { spec, is_barred: false, canary_credits: None };
                view.versions.insert(name!(), v);
            }
            Object::Pool(p) => {
                let pool = self.build_pool(view, &p.endpoints, p.slots, facts, revision);
                view.pools.insert(name!(), Arc::new(pool));
            }
            Object::Service(spec) => {
                let pool = self.build_pool(view, &spec.endpoints, UNLIMITED_SLOTS, facts, revision);
                view.services.insert(name!(), Arc::new(ServiceView { spec, pool }));
            }
            Object::Policy(spec) => {
                let id: RouteId = name!();
                let policy = self.compile_policy(&id, revision, spec);
                view.policies.insert(id, policy);
            }
            Object::Rollout(spec) => {
                let rollout = RolloutView { id: name!(), spec, state: None, state_version: 0 };
                view.rollouts.push(rollout);
            }
            Object::Objective(o) => view.objectives.push(o),
            Object::KeyRing(key_ring) => view.key_ring = Some(key_ring),
            Object::Withdrawal(_) | Object::RolloutState(_) | Object::Evacuation(_) => {}
        }
    }

    /// Builds the view of a pool that was declared at revision `declared_at`.
    fn build_pool(
        &mut self,
        view: &View,
        endpoints: &BTreeMap<EndpointId, Endpoint>,
        slots: u32,
        facts: &Facts,
        declared_at: u64,
    ) -> PoolView {
        let to_pool_endpoint = |(id, e): (&EndpointId, &Endpoint)| {
            let state =
                self.endpoint_states.entry((id.clone(), e.address.clone())).or_default().clone();
            state.set_leaving(facts.is_leaving(id, declared_at));
            state.set_evacuated(view.evacuated_domains.contains(&e.failure_domain));
            PoolEndpoint {
                id: id.clone(),
                address: e.address.clone(),
                failure_domain: e.failure_domain.clone(),
                state,
            }
        };
        PoolView::new(endpoints.iter().map(to_pool_endpoint).collect(), slots)
    }

    /// Compiles a policy, or returns the cached one if its revision is unchanged.
    fn compile_policy(&mut self, id: &RouteId, revision: u64, spec: Policy) -> Arc<PolicyView> {
        match self.policies.get(id) {
            Some((compiled_from, policy)) if *compiled_from == revision => policy.clone(),
            _ => {
                let program = Program::compile(&spec).ok();
                let policy = Arc::new(PolicyView { spec, program });
                self.policies.insert(id.clone(), (revision, policy.clone()));
                policy
            }
        }
    }

    /// Attaches credits to the canary versions, applies the grants to this host, and bars the canary
    /// versions of aborted roll-outs.
    fn apply_rollouts(&mut self, own_incarnation: &Incarnation, view: &mut View) {
        for rollout in &view.rollouts {
            let Some(v) = view.versions.get_mut(&rollout.spec.to) else { continue };
            let generation = v.spec.generation;
            let key = (rollout.spec.to.clone(), generation);
            let credits = self.credits.entry(key).or_default().clone();
            let state = rollout.state.as_ref().filter(|s| s.generation == generation);
            match state.map(|s| s.phase) {
                Some(RolloutPhase::Done) => {}
                Some(RolloutPhase::Aborted) => v.is_barred = true,
                _ => v.canary_credits = Some(credits.clone()),
            }
            if let Some(state) = state {
                credits.grant(state.granted.get(own_incarnation).copied().unwrap_or(0));
            }
        }
    }

    /// Returns the credits of a generation of a version, or `None` if it was never in a roll-out.
    pub fn credits(&self, version: &VersionRef, generation: u64) -> Option<&Arc<Credits>> {
        self.credits.get(&(version.clone(), generation))
    }
}

/// When a host's configuration was last confirmed to be the newest. Times are of the host's own clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigConfirmation {
    /// Time at which the configuration was the newest.
    pub confirmed_at: Millis,
    /// Time of the request whose response confirmed it.
    pub requested_at: Millis,
}

/// The age of this host's configuration, read when a request is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Time since the configuration was last known to be the newest.
    pub age: Millis,
}

/// A version chosen for a request.
#[derive(Clone, Debug)]
pub struct ChosenVersion {
    /// The model and version.
    pub version: VersionRef,
    /// Generation of the version.
    pub generation: u64,
    /// Pool of endpoints that serve the version.
    pub pool: PoolId,
    /// Credits from which one was spent for the request; `None` unless the version is a canary.
    pub credit: Option<Arc<Credits>>,
}

impl View {
    /// Returns the workspace to which the key with this digest belongs, or an error with `NoKey`.
    pub fn workspace_by_key_digest(&self, digest: &str) -> Result<(&WorkspaceId, &Workspace)> {
        let no_key = || Error::new(Code::NoKey, "the key does not belong to any workspace");
        let id = self.workspaces_by_key_digest.get(digest).ok_or_else(no_key)?;
        Ok((id, self.workspaces.get(id).ok_or_else(no_key)?))
    }

    /// Returns the policy of a route, or an error with `UnknownRoute`.
    pub fn policy(&self, route: &RouteId) -> Result<&Arc<PolicyView>> {
        self.policies.get(route).ok_or_else(|| unknown_name(Code::UnknownRoute, "route", route))
    }

    /// Returns a version if it may take new work for a workspace. Does not spend a credit.
    pub fn check_version(&self, workspace: &Workspace, v: &VersionRef) -> Result<&VersionView> {
        if !workspace.allow.contains(v) {
            let message = format!("the workspace does not allow version {v}");
            return Err(Error::new(Code::NotAllowed, message));
        }
        let found = self.versions.get(v);
        let found = found.ok_or_else(|| unknown_name(Code::NoVersion, "version", v))?;
        if found.is_barred {
            return Err(Error::new(
                Code::NoVersion,
                format!("version {v} is barred from new work"),
            ));
        }
        Ok(found)
    }

    /// Returns the roll-out that applies to a model's requests: of those that are running or done, the one
    /// whose state was written last.
    fn current_rollout(&self, model: &ModelId) -> Option<(&RolloutView, &RolloutState)> {
        let is_relevant = |r: &&RolloutView| {
            r.spec.from.model == *model
                && r.state
                    .as_ref()
                    .is_some_and(|s| matches!(s.phase, RolloutPhase::Running | RolloutPhase::Done))
        };
        let found = self.rollouts.iter().filter(is_relevant).max_by_key(|r| r.state_version)?;
        Some((found, found.state.as_ref()?))
    }

    /// Chooses the version that serves a new request for a model.
    ///
    /// `hash_fraction` is a uniform value in [0, 1). While a roll-out is running, the canary version is
    /// chosen if `hash_fraction` is below the share of the current stage and a credit is left.
    pub fn choose_version(
        &self,
        workspace: &Workspace,
        model: &ModelId,
        hash_fraction: f64,
        freshness: Freshness,
    ) -> Result<ChosenVersion> {
        let m =
            self.models.get(model).ok_or_else(|| unknown_name(Code::NoVersion, "model", model))?;
        let Some((rollout, state)) = self.current_rollout(model) else {
            return self.reserve_version(workspace, &m.serving);
        };
        if state.phase == RolloutPhase::Done {
            let to = self.reserve_version(workspace, &rollout.spec.to);
            return to.or_else(|_| self.reserve_version(workspace, &rollout.spec.from));
        }
        if rollout.is_stale(freshness) && rollout.spec.when_stale == WhenStale::Stop {
            let message = format!("the configuration has not been confirmed for {}", freshness.age);
            return Err(Error::new(Code::Stale, message).with_retry_after(VERSION_RETRY_AFTER_MS));
        }
        let stage = rollout.spec.stages.get(state.stage);
        let is_in_canary_share = stage.is_some_and(|s| hash_fraction < s.share);
        if is_in_canary_share && rollout.allows_canary(freshness) {
            if let Ok(chosen) = self.reserve_version(workspace, &rollout.spec.to) {
                return Ok(chosen);
            }
        }
        self.reserve_version(workspace, &rollout.spec.from)
    }

    /// Returns the version to which a session is bound, or an error if it can no longer serve the session.
    pub fn choose_session_version(
        &self,
        workspace: &Workspace,
        version: &VersionRef,
        generation: u64,
        freshness: Freshness,
    ) -> Result<ChosenVersion> {
        let session_ended = || {
            Error::new(
                Code::SessionEnded,
                format!("version {version} is withdrawn; start a new session"),
            )
        };
        let found = self.versions.get(version).ok_or_else(session_ended)?;
        if found.is_barred || found.spec.generation != generation {
            return Err(session_ended());
        }
        if found.canary_credits.is_some() {
            self.check_canary(version, freshness)?;
        }
        self.reserve_version(workspace, version)
    }

    /// Checks that a canary version may serve more requests of a session.
    fn check_canary(&self, version: &VersionRef, freshness: Freshness) -> Result<()> {
        let Some(rollout) = self.rollouts.iter().find(|r| r.spec.to == *version) else {
            return Ok(());
        };
        let is_running = rollout.is_running();
        if is_running && rollout.allows_canary(freshness) {
            return Ok(());
        }
        let code = if is_running { Code::Stale } else { Code::NoVersion };
        let message = format!(
            "canary version {version} takes no work at present; the session stays bound to it"
        );
        Err(Error::new(code, message).with_retry_after(VERSION_RETRY_AFTER_MS))
    }

    /// Checks a version and spends a credit if it is a canary.
    fn reserve_version(
        &self,
        workspace: &Workspace,
        version: &VersionRef,
    ) -> Result<ChosenVersion> {
        let v = self.check_version(workspace, version)?;
        if let Some(credits) = &v.canary_credits {
            if !credits.try_spend() {
                let message = format!("the exposure cap of canary version {version} is reached");
                let refusal = Error::new(Code::NoVersion, message);
                return Err(refusal.with_retry_after(VERSION_RETRY_AFTER_MS));
            }
        }
        Ok(ChosenVersion {
            version: version.clone(),
            generation: v.spec.generation,
            pool: v.spec.pool.clone(),
            credit: v.canary_credits.clone(),
        })
    }

    /// Checks a chosen version again immediately before its request is sent to an endpoint.
    pub fn check_still_valid(&self, workspace: &Workspace, chosen: &ChosenVersion) -> Result<()> {
        let v = self.check_version(workspace, &chosen.version)?;
        match v.spec.generation == chosen.generation {
            true => Ok(()),
            false => {
                Err(Error::new(Code::NoVersion, "the version was replaced by another generation"))
            }
        }
    }

    /// Returns the outstanding work of this host in each evacuated failure domain, in answer tokens.
    pub fn evacuated_work(&self) -> BTreeMap<FailureDomain, u64> {
        let mut work: BTreeMap<FailureDomain, u64> =
            self.evacuated_domains.iter().map(|domain| (domain.clone(), 0)).collect();
        let services = self.services.values().flat_map(|s| s.pool.endpoints().iter());
        for endpoint in self.pool_endpoints().chain(services) {
            if let Some(work) = work.get_mut(&endpoint.failure_domain) {
                *work += endpoint.state.own_work();
            }
        }
        work
    }

    /// Iterates over the endpoints of all pools, so that their loads can be read.
    pub fn pool_endpoints(&self) -> impl Iterator<Item = &PoolEndpoint> {
        self.pools.values().flat_map(|p| p.endpoints().iter())
    }
}

/// Returns the facts for the withdrawals in the configuration, which hosts gossip so that a withdrawal
/// also reaches hosts that cannot read the object API.
pub fn withdrawal_facts(store: &Store) -> Vec<Fact> {
    let entries = store.iter().filter(|e| e.key.kind == ObjectKind::Withdrawal);
    let to_fact = |e: &Entry| {
        let body = e.body.as_ref()?;
        let Ok(Object::Withdrawal(w)) = Object::from_json(ObjectKind::Withdrawal, body) else {
            return None;
        };
        let subject = Subject::Withdrawn(e.key.name.parse().ok()?);
        Some(Fact { subject, generation: w.generation })
    };
    entries.filter_map(to_fact).collect()
}
