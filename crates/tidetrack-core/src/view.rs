//! The view that a router's traffic threads decide on: the configuration, compiled. Hosts on the users'
//! platform have `traffic::view` in its place.
//!
//! The control thread builds a view whenever the configuration or a narrowing fact changes. What
//! must outlive a view (endpoint load, credits, compiled programs) is shared from one to the next.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::codes::Code;
use crate::config::{
    Endpoint, Kind, Model, Object, ObjectKey, Objective, Policy, Rollout, RolloutPhase,
    RolloutState, Service, Version, WhenStale, Workspace,
};
use crate::errors::{unknown, Error, Result};
use crate::facts::{Fact, Facts, Subject};
use crate::ids::{
    EndpointId, Incarnation, ModelId, PoolId, RolloutId, RouteId, ServiceId, VersionRef,
    WorkspaceId,
};
use crate::message_auth::KeyRing;
use crate::placement::{EndpointLive, PoolEndpoint, PoolView};
use crate::policy::{Features, Plan, Program};
use crate::rollout::Credits;
use crate::store::{Entry, Store};
use crate::units::Millis;

/// A version as traffic sees it.
#[derive(Clone, Debug)]
pub struct VersionView {
    /// The declaration.
    pub spec: Version,
    /// Whether it takes no new work.
    pub barred: bool,
    /// Credits, while a roll-out of it is not done.
    pub unproven: Option<Arc<Credits>>,
}

/// A roll-out as traffic sees it.
#[derive(Clone, Debug)]
pub struct RolloutView {
    /// Its name.
    pub id: RolloutId,
    /// The declaration.
    pub spec: Rollout,
    /// Where it stands; absent before it is started.
    pub state: Option<RolloutState>,
    /// Revision of the state, for conditional updates; 0 if absent.
    pub state_version: u64,
}

impl RolloutView {
    /// Tells whether its stages are being run.
    pub fn is_running(&self) -> bool {
        self.state.as_ref().is_some_and(|s| s.phase == RolloutPhase::Running)
    }

    /// Tells whether a host so sure of its configuration counts as stale.
    fn is_stale(&self, fresh: Freshness) -> bool {
        fresh.age.0 > self.spec.stale_ms
    }

    /// Tells whether such a host may put work on the new version.
    fn may_use_new(&self, fresh: Freshness) -> bool {
        !self.is_stale(fresh) || self.spec.when_stale == WhenStale::GoOn
    }
}

/// A policy as traffic sees it.
#[derive(Debug)]
pub struct PolicyView {
    /// The declaration.
    pub spec: Policy,
    /// The compiled program; absent if it does not compile.
    pub program: Option<Program>,
}

impl PolicyView {
    /// Decides; on failure gives the declared fallback and the reason.
    pub fn decide(&self, features: &Features, load: &[(ModelId, f64)]) -> (Plan, Option<Error>) {
        let fallback = || Plan { rungs: self.spec.fallback.clone(), accept: None };
        let Some(program) = &self.program else {
            let err = Error::new(Code::BadPolicy, "the program does not compile");
            return (fallback(), Some(err));
        };
        match program.decide(features, load) {
            Ok(plan) => (plan, None),
            Err(e) => (fallback(), Some(e)),
        }
    }
}

/// A service as traffic sees it.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// The declaration.
    pub spec: Service,
    /// Its endpoints.
    pub pool: PoolView,
}

/// The configuration, compiled for traffic threads.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Nothing is missing up to this revision.
    pub revision: u64,
    /// The fleet's keys.
    pub ring: Option<KeyRing>,
    /// Workspaces by key digest.
    pub keys: HashMap<String, WorkspaceId>,
    /// Workspaces.
    pub workspaces: HashMap<WorkspaceId, Workspace>,
    /// Models.
    pub models: HashMap<ModelId, Model>,
    /// Versions.
    pub versions: HashMap<VersionRef, VersionView>,
    /// Pools.
    pub pools: HashMap<PoolId, Arc<PoolView>>,
    /// Services.
    pub services: HashMap<ServiceId, Arc<ServiceView>>,
    /// Policies.
    pub policies: HashMap<RouteId, Arc<PolicyView>>,
    /// Roll-outs.
    pub rollouts: Vec<RolloutView>,
    /// Objectives.
    pub objectives: Vec<Objective>,
}

/// Slots of a pool whose work is not bounded: plain services say themselves when they are full.
const NO_BOUND: u32 = 0;

/// When to come back to a version that takes no work now, in milliseconds: by then routers have looked at
/// the roll-out again, which they do every 300 ms.
const RETRY_VERSION_MS: u64 = 1_000;

/// What is shared from one view to the next.
#[derive(Debug, Default)]
pub struct ViewBuilder {
    /// Endpoints' load and health, by name and address.
    live: HashMap<(EndpointId, String), Arc<EndpointLive>>,
    /// Credits, by version and generation.
    credits: HashMap<(VersionRef, u64), Arc<Credits>>,
    /// Policies, each with the revision that it was compiled from.
    policies: HashMap<RouteId, (u64, Arc<PolicyView>)>,
}

impl ViewBuilder {
    /// Builds the view of a store and facts; also lists the objects that cannot be read.
    pub fn build(
        &mut self,
        own: &Incarnation,
        store: &Store,
        facts: &Facts,
    ) -> (View, Vec<(ObjectKey, String)>) {
        let (objects, unreadable) = store.objects();
        let mut view = View { revision: store.complete_to(), ..View::default() };
        let mut states: BTreeMap<String, (u64, RolloutState)> = BTreeMap::new();
        let mut withdrawn: HashMap<String, u64> = HashMap::new();
        for (key, version, object) in objects {
            match object {
                Object::RolloutState(s) => {
                    states.insert(key.name, (version, s));
                }
                Object::Withdrawal(w) => {
                    withdrawn.insert(key.name, w.generation);
                }
                other => self.add(&mut view, facts, key, version, other),
            }
        }
        for (version, v) in &mut view.versions {
            let generation = v.spec.generation;
            let by_object = withdrawn.get(&version.to_string()).is_some_and(|g| *g >= generation);
            v.barred = by_object || facts.bars_version(version, generation);
        }
        for rollout in &mut view.rollouts {
            if let Some((version, state)) = states.remove(rollout.id.as_str()) {
                rollout.state_version = version;
                rollout.state = Some(state);
            }
        }
        self.join_rollouts(own, &mut view);
        (view, unreadable)
    }

    /// Adds an object to a view.
    fn add(
        &mut self,
        view: &mut View,
        facts: &Facts,
        key: ObjectKey,
        version: u64,
        object: Object,
    ) {
        // Names were checked when the object was accepted; one that does not parse is left out.
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
                view.keys.extend(w.key_digests.iter().map(|d| (d.clone(), id.clone())));
                view.workspaces.insert(id, w);
            }
            Object::Model(m) => {
                view.models.insert(name!(), m);
            }
            Object::Version(spec) => {
                let v = VersionView { spec, barred: false, unproven: None };
                view.versions.insert(name!(), v);
            }
            Object::Pool(p) => {
                let pool = self.pool(&p.endpoints, p.slots, facts, version);
                view.pools.insert(name!(), Arc::new(pool));
            }
            Object::Service(spec) => {
                let pool = self.pool(&spec.endpoints, NO_BOUND, facts, version);
                view.services.insert(name!(), Arc::new(ServiceView { spec, pool }));
            }
            Object::Policy(spec) => {
                let id: RouteId = name!();
                let policy = self.policy(&id, version, spec);
                view.policies.insert(id, policy);
            }
            Object::Rollout(spec) => {
                let rollout = RolloutView { id: name!(), spec, state: None, state_version: 0 };
                view.rollouts.push(rollout);
            }
            Object::Objective(o) => view.objectives.push(o),
            Object::KeyRing(ring) => view.ring = Some(ring),
            Object::Withdrawal(_) | Object::RolloutState(_) => {}
        }
    }

    /// Makes the view of a pool that was declared at a revision.
    fn pool(
        &mut self,
        endpoints: &BTreeMap<EndpointId, Endpoint>,
        slots: u32,
        facts: &Facts,
        declared_at: u64,
    ) -> PoolView {
        let view_of = |(id, e): (&EndpointId, &Endpoint)| {
            let live = self.live.entry((id.clone(), e.address.clone())).or_default().clone();
            live.set_leaving(facts.is_leaving(id, declared_at));
            PoolEndpoint {
                id: id.clone(),
                address: e.address.clone(),
                failure_domain: e.failure_domain.clone(),
                live,
            }
        };
        PoolView::new(endpoints.iter().map(view_of).collect(), slots)
    }

    /// Compiles a policy, unless that was done for the same revision.
    fn policy(&mut self, id: &RouteId, version: u64, spec: Policy) -> Arc<PolicyView> {
        match self.policies.get(id) {
            Some((v, policy)) if *v == version => policy.clone(),
            _ => {
                let program = Program::compile(&spec).ok();
                let policy = Arc::new(PolicyView { spec, program });
                self.policies.insert(id.clone(), (version, policy.clone()));
                policy
            }
        }
    }

    /// Gives versions under roll-out their credits and bars those that were given up.
    fn join_rollouts(&mut self, own: &Incarnation, view: &mut View) {
        for rollout in &view.rollouts {
            let Some(v) = view.versions.get_mut(&rollout.spec.to) else { continue };
            let generation = v.spec.generation;
            let key = (rollout.spec.to.clone(), generation);
            let credits = self.credits.entry(key).or_default().clone();
            let state = rollout.state.as_ref().filter(|s| s.generation == generation);
            match state.map(|s| s.phase) {
                Some(RolloutPhase::Done) => {}
                Some(RolloutPhase::Aborted) => v.barred = true,
                _ => v.unproven = Some(credits.clone()),
            }
            if let Some(state) = state {
                credits.grant(state.granted.get(own).copied().unwrap_or(0));
            }
        }
    }

    /// Gets the credits of a version's generation, if any were ever made.
    pub fn credits(&self, version: &VersionRef, generation: u64) -> Option<&Arc<Credits>> {
        self.credits.get(&(version.clone(), generation))
    }
}

/// When the configuration was last confirmed to be the newest, as a host has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// It was the newest at this time.
    pub fresh_at: Millis,
    /// The question whose answer confirmed it was asked at this time.
    pub asked_at: Millis,
}

/// How sure this host is of its configuration, read at the moment of dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// Time since the configuration was last confirmed.
    pub age: Millis,
}

/// A version chosen for a request.
#[derive(Clone, Debug)]
pub struct Chosen {
    /// The version.
    pub version: VersionRef,
    /// Its generation.
    pub generation: u64,
    /// Its pool.
    pub pool: PoolId,
    /// The credit taken, if the version is unproven.
    pub credit: Option<Arc<Credits>>,
}

impl View {
    /// Finds the workspace of a key's digest.
    pub fn workspace_of(&self, digest: &str) -> Result<(&WorkspaceId, &Workspace)> {
        let no_key = || Error::new(Code::NoKey, "the key is not known");
        let id = self.keys.get(digest).ok_or_else(no_key)?;
        Ok((id, self.workspaces.get(id).ok_or_else(no_key)?))
    }

    /// Finds a route's policy.
    pub fn policy(&self, route: &RouteId) -> Result<&Arc<PolicyView>> {
        self.policies.get(route).ok_or_else(|| unknown(Code::UnknownRoute, "route", route))
    }

    /// Checks that a version may take new work for a workspace, without taking a credit.
    pub fn check_version(&self, workspace: &Workspace, v: &VersionRef) -> Result<&VersionView> {
        if !workspace.allow.contains(v) {
            let message = format!("the workspace does not allow {v}");
            return Err(Error::new(Code::NotAllowed, message));
        }
        let found = self.versions.get(v);
        let found = found.ok_or_else(|| unknown(Code::NoVersion, "version", v))?;
        if found.barred {
            return Err(Error::new(Code::NoVersion, format!("{v} takes no new work")));
        }
        Ok(found)
    }

    /// Finds the roll-out that a model's requests meet: of those under way or done, the one written last.
    fn rollout_of(&self, model: &ModelId) -> Option<(&RolloutView, &RolloutState)> {
        let running = |r: &&RolloutView| {
            r.spec.from.model == *model
                && r.state
                    .as_ref()
                    .is_some_and(|s| matches!(s.phase, RolloutPhase::Running | RolloutPhase::Done))
        };
        let found = self.rollouts.iter().filter(running).max_by_key(|r| r.state_version)?;
        Some((found, found.state.as_ref()?))
    }

    /// Chooses the version that answers a new request for a model.
    ///
    /// `draw` is from 0 up to 1 and decides who meets a version under roll-out.
    pub fn choose(
        &self,
        workspace: &Workspace,
        model: &ModelId,
        draw: f64,
        fresh: Freshness,
    ) -> Result<Chosen> {
        let m = self.models.get(model).ok_or_else(|| unknown(Code::NoVersion, "model", model))?;
        let Some((rollout, state)) = self.rollout_of(model) else {
            return self.chosen(workspace, &m.serving);
        };
        if state.phase == RolloutPhase::Done {
            let to = self.chosen(workspace, &rollout.spec.to);
            return to.or_else(|_| self.chosen(workspace, &rollout.spec.from));
        }
        if rollout.is_stale(fresh) && rollout.spec.when_stale == WhenStale::Stop {
            let message = format!("configuration not confirmed for {}", fresh.age);
            return Err(Error::new(Code::Stale, message).with_retry_after(RETRY_VERSION_MS));
        }
        let stage = rollout.spec.stages.get(state.stage);
        let meets_new = stage.is_some_and(|s| draw < s.share);
        if meets_new && rollout.may_use_new(fresh) {
            if let Ok(chosen) = self.chosen(workspace, &rollout.spec.to) {
                return Ok(chosen);
            }
        }
        self.chosen(workspace, &rollout.spec.from)
    }

    /// Chooses the version that a session keeps.
    pub fn choose_kept(
        &self,
        workspace: &Workspace,
        version: &VersionRef,
        generation: u64,
        fresh: Freshness,
    ) -> Result<Chosen> {
        let ended = || {
            Error::new(Code::SessionEnded, format!("{version} is withdrawn; start a new session"))
        };
        let found = self.versions.get(version).ok_or_else(ended)?;
        if found.barred || found.spec.generation != generation {
            return Err(ended());
        }
        if found.unproven.is_some() {
            self.check_unproven(version, fresh)?;
        }
        self.chosen(workspace, version)
    }

    /// Checks that work on a version under roll-out may go on.
    fn check_unproven(&self, version: &VersionRef, fresh: Freshness) -> Result<()> {
        let Some(rollout) = self.rollouts.iter().find(|r| r.spec.to == *version) else {
            return Ok(());
        };
        let is_running = rollout.is_running();
        if is_running && rollout.may_use_new(fresh) {
            return Ok(());
        }
        let code = if is_running { Code::Stale } else { Code::NoVersion };
        let message = format!("{version} takes no work now; the session keeps it");
        Err(Error::new(code, message).with_retry_after(RETRY_VERSION_MS))
    }

    /// Checks a version and takes a credit where it is unproven.
    fn chosen(&self, workspace: &Workspace, version: &VersionRef) -> Result<Chosen> {
        let v = self.check_version(workspace, version)?;
        if let Some(credits) = &v.unproven {
            if !credits.take() {
                let message = format!("the exposure cap of {version} is reached");
                let refusal = Error::new(Code::NoVersion, message);
                return Err(refusal.with_retry_after(RETRY_VERSION_MS));
            }
        }
        Ok(Chosen {
            version: version.clone(),
            generation: v.spec.generation,
            pool: v.spec.pool.clone(),
            credit: v.unproven.clone(),
        })
    }

    /// Checks a chosen version again, at the last moment before its work leaves the host.
    pub fn still_good(&self, workspace: &Workspace, chosen: &Chosen) -> Result<()> {
        let v = self.check_version(workspace, &chosen.version)?;
        match v.spec.generation == chosen.generation {
            true => Ok(()),
            false => Err(Error::new(Code::NoVersion, "the version was replaced meanwhile")),
        }
    }

    /// Lists the endpoints of all pools, for reads of their loads.
    pub fn pool_endpoints(&self) -> impl Iterator<Item = &PoolEndpoint> {
        self.pools.values().flat_map(|p| p.endpoints().iter())
    }
}

/// Lists the facts that follow from accepted withdrawals, so that they spread host to host.
pub fn facts_of_store(store: &Store) -> Vec<Fact> {
    let entries = store.iter().filter(|e| e.key.kind == Kind::Withdrawal);
    let fact_of = |e: &Entry| {
        let body = e.body.as_ref()?;
        let Ok(Object::Withdrawal(w)) = Object::from_json(Kind::Withdrawal, body) else {
            return None;
        };
        let subject = Subject::Withdrawn(e.key.name.parse().ok()?);
        Some(Fact { subject, generation: w.generation })
    };
    entries.filter_map(fact_of).collect()
}
