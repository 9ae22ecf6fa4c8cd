//! The simulated object API, its initial objects, and the operator that changes them.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;

use tidetrack_core::config::{
    Object, ObjectKey, ObjectKind, Pool, Rollout, Stage, Version, WhenStale, Withdrawal, Workspace,
};
use tidetrack_core::ids::{VersionRef, WorkspaceId};
use tidetrack_core::ledger::Segment;
use tidetrack_core::rollout::initial_state;
use tidetrack_core::store::Entry;
use tidetrack_core::units::Micros;

use super::{Event, Simulation, EXPOSURE_CAP, REQUESTS_PER_SECOND_LIMIT, STALE_MS};

pub(super) struct Platform {
    pub(super) is_up: bool,
    pub(super) revision: u64,
    pub(super) objects: BTreeMap<ObjectKey, Entry>,
    pub(super) writes: Vec<(u64, ObjectKey, u64)>,
    pub(super) segments: BTreeMap<String, Segment>,
}

pub(super) fn stable_version() -> VersionRef {
    "m@1".parse().expect("the version name parses")
}

pub(super) fn canary_version() -> VersionRef {
    "m@2".parse().expect("the version name parses")
}

pub(super) fn workspace() -> WorkspaceId {
    "w".parse().expect("the workspace name parses")
}

pub(super) fn initial_objects() -> Vec<(ObjectKey, Object)> {
    let pool = Pool { endpoints: BTreeMap::new(), slots: 1, fenced: false };
    let version = |_: &str| {
        Object::Version(Version {
            pool: "p".parse().expect("the pool name parses"),
            generation: 1,
            price_in: Micros(1),
            price_out: Micros(1),
            context_tokens: 1,
        })
    };
    let stage = |share| Stage { share, cap: EXPOSURE_CAP, judged: 1_000_000 };
    let rollout = Rollout {
        from: stable_version(),
        to: canary_version(),
        stages: vec![stage(0.5)],
        when_stale: WhenStale::StableOnly,
        stale_ms: STALE_MS,
    };
    let allow = [stable_version(), canary_version()].into();
    let caller = Workspace {
        key_digests: BTreeSet::new(),
        allow,
        requests_per_second: REQUESTS_PER_SECOND_LIMIT,
        concurrency: 1_000,
    };
    let model =
        tidetrack_core::config::Model { serving: stable_version(), description: String::new() };
    vec![
        (ObjectKey::new(ObjectKind::Pool, "p"), Object::Pool(pool)),
        (ObjectKey::new(ObjectKind::Version, "m@1"), version("m@1")),
        (ObjectKey::new(ObjectKind::Version, "m@2"), version("m@2")),
        (ObjectKey::new(ObjectKind::Model, "m"), Object::Model(model)),
        (ObjectKey::new(ObjectKind::Workspace, "w"), Object::Workspace(caller)),
        (ObjectKey::new(ObjectKind::Rollout, "r"), Object::Rollout(rollout)),
        (ObjectKey::new(ObjectKind::RolloutState, "r"), Object::RolloutState(initial_state(1))),
    ]
}

impl Platform {
    pub(super) fn write(
        &mut self,
        now: u64,
        key: &ObjectKey,
        expected: u64,
        body: Option<String>,
    ) -> Option<u64> {
        let present = self.objects.get(key).map_or(0, |e| e.version);
        if present != expected {
            return None;
        }
        self.revision += 1;
        let version = self.revision;
        let entry = Entry { key: key.clone(), version, body: body.map(Into::into) };
        self.objects.insert(key.clone(), entry);
        self.writes.push((now, key.clone(), version));
        Some(version)
    }
}

impl Simulation {
    /// Rewrites the model object, or withdraws a version in the second half of the fault phase.
    pub(super) fn run_operator(&mut self) {
        if self.now > self.schedule.fault_phase_ms {
            return;
        }
        let gap = self.rng.random_range(1_000..5_000);
        self.schedule_event(self.now + gap, Event::Operator);
        if !self.platform.is_up {
            return;
        }
        let is_withdrawing = self.now > self.schedule.fault_phase_ms / 2;
        let version =
            if self.schedule.seed.is_multiple_of(3) { stable_version() } else { canary_version() };
        let (key, object) = match is_withdrawing {
            true => {
                let withdrawal = Withdrawal { generation: 1, reason: String::new() };
                (ObjectKey::new(ObjectKind::Withdrawal, version), Object::Withdrawal(withdrawal))
            }
            false => initial_objects().swap_remove(3),
        };
        let present = self.platform.objects.get(&key).map_or(0, |e| e.version);
        if let Some(revision) = self.platform.write(self.now, &key, present, Some(object.to_json()))
        {
            self.revisions_not_in_force.insert(revision, self.now);
        }
    }
}
