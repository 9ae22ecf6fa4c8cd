//! `withdraw` and the verbs of `rollout`: conditional updates of objects that the system maintains
//! itself.

use tidetrack_core::codes::Code;
use tidetrack_core::config::{
    Object, ObjectKey, ObjectKind, RolloutPhase, RolloutState, Version, Withdrawal,
};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::ids::{RolloutId, VersionRef};
use tidetrack_core::rollout::initial_state;
use tidetrack_wire::platform::{config_object_name, PlatformClient};

/// Maximum number of attempts at an update that conflicts with writes of hosts. Each host writes
/// the object at most every few hundred milliseconds, so a second conflict is rare.
const MAX_WRITE_ATTEMPTS: usize = 8;

/// An operator's command for a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Start, or start again after the roll-out has ended.
    Start,
    /// Send no new work to the canary version.
    Pause,
    /// Continue after a pause.
    Resume,
    /// Move to the next stage without waiting for evidence.
    Advance,
    /// End the roll-out without completing it.
    Abort,
}

impl std::str::FromStr for Verb {
    type Err = Error;

    fn from_str(s: &str) -> Result<Verb> {
        Ok(match s {
            "start" => Verb::Start,
            "pause" => Verb::Pause,
            "resume" => Verb::Resume,
            "advance" => Verb::Advance,
            "abort" => Verb::Abort,
            _ => {
                let message =
                    format!("unknown verb {s:?}; expected start, pause, resume, advance or abort");
                return Err(Error::new(Code::BadUsage, message));
            }
        })
    }
}

fn read(platform: &PlatformClient, key: &ObjectKey) -> Result<(u64, Object)> {
    let stored = platform.fetch(&config_object_name(key)).map_err(|e| match e.code {
        Code::ObjectGone => Error::new(Code::ObjectGone, format!("{key} does not exist")),
        _ => e,
    })?;
    let body = stored.body.unwrap_or_default();
    let object = Object::from_json(key.kind, &body)
        .map_err(|e| Error::new(Code::BadDeclaration, format!("{key}: {e}")))?;
    Ok((stored.version, object))
}

fn version_of(platform: &PlatformClient, version: &VersionRef) -> Result<Version> {
    match read(platform, &ObjectKey::new(ObjectKind::Version, version))?.1 {
        Object::Version(v) => Ok(v),
        _ => Err(Error::new(Code::Internal, "the object is not a version")),
    }
}

/// Withdraws the current generation of a version. Returns the object's version in the store.
pub fn withdraw(platform: &PlatformClient, version: &VersionRef, reason: &str) -> Result<u64> {
    let generation = version_of(platform, version)?.generation;
    let key = ObjectKey::new(ObjectKind::Withdrawal, version);
    let stored_version = match read(platform, &key) {
        Ok((object_version, Object::Withdrawal(w))) if w.generation >= generation => {
            return Ok(object_version)
        }
        Ok((object_version, _)) => object_version,
        Err(e) if e.code == Code::ObjectGone => 0,
        Err(e) => return Err(e),
    };
    let body = Object::Withdrawal(Withdrawal { generation, reason: reason.into() }).to_json();
    Ok(platform.write_confirmed(&config_object_name(&key), stored_version, &body)?.version)
}

/// The stored state of a roll-out, with the data needed to apply a verb.
struct RolloutSnapshot {
    key: ObjectKey,
    object_version: u64,
    state: Option<RolloutState>,
    generation: u64,
    stages: usize,
}

impl RolloutSnapshot {
    fn read(platform: &PlatformClient, id: &RolloutId) -> Result<RolloutSnapshot> {
        let Object::Rollout(spec) = read(platform, &ObjectKey::new(ObjectKind::Rollout, id))?.1
        else {
            return Err(Error::new(Code::Internal, "the object is not a roll-out"));
        };
        let generation = version_of(platform, &spec.to)?.generation;
        let key = ObjectKey::new(ObjectKind::RolloutState, id);
        let (object_version, state) = match read(platform, &key) {
            Ok((object_version, Object::RolloutState(state))) => (object_version, Some(state)),
            Ok(_) => return Err(Error::new(Code::Internal, "the object is not a roll-out state")),
            Err(e) if e.code == Code::ObjectGone => (0, None),
            Err(e) => return Err(e),
        };
        Ok(RolloutSnapshot { key, object_version, state, generation, stages: spec.stages.len() })
    }

    /// Returns the part of the state that operators decide by; the rest is the hosts' counts.
    fn operator_view(&self) -> Option<(RolloutPhase, usize, u64)> {
        self.state.as_ref().map(|s| (s.phase, s.stage, s.generation))
    }
}

/// Reports whether a verb has the same meaning in every stage of a roll-out.
fn is_stage_independent(verb: Verb) -> bool {
    matches!(verb, Verb::Pause | Verb::Abort)
}

/// Applies a verb to a roll-out and returns the new state.
///
/// Hosts write their counts to the same object. An update that conflicts with such a write is
/// repeated, as long as the verb still has the meaning that it had when the operator gave it.
pub fn apply_verb(platform: &PlatformClient, id: &RolloutId, verb: Verb) -> Result<RolloutState> {
    let first = RolloutSnapshot::read(platform, id)?;
    let expected_view = first.operator_view();
    let mut snapshot = first;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let state = snapshot.state.clone();
        let mut next_state = next_state(state, verb, snapshot.generation, snapshot.stages)?;
        next_state.operation_id = format!("ctl-{:016x}", rand::random::<u64>());
        let body = Object::RolloutState(next_state.clone()).to_json();
        match platform.write_confirmed(
            &config_object_name(&snapshot.key),
            snapshot.object_version,
            &body,
        ) {
            Ok(_) => return Ok(next_state),
            Err(e) if e.code == Code::Conflict => snapshot = RolloutSnapshot::read(platform, id)?,
            Err(e) => return Err(e),
        }
        if snapshot.operator_view() != expected_view && !is_stage_independent(verb) {
            let message = "the roll-out changed phase or stage meanwhile; check it and retry";
            return Err(Error::new(Code::Conflict, message));
        }
    }
    Err(Error::new(Code::Conflict, "the state of the roll-out kept changing; try again"))
}

fn next_state(
    state: Option<RolloutState>,
    verb: Verb,
    generation: u64,
    stages: usize,
) -> Result<RolloutState> {
    let conflict = |message: String| Err(Error::new(Code::Conflict, message));
    let Some(mut state) = state else {
        return match verb {
            Verb::Start => Ok(initial_state(generation)),
            _ => conflict("the roll-out has not been started".to_string()),
        };
    };
    let phase = state.phase;
    match (verb, phase) {
        (Verb::Start, RolloutPhase::Aborted | RolloutPhase::Done) => {
            if state.generation >= generation {
                let message =
                    format!("generation {generation} ended as {phase:?}; raise it to start again");
                return conflict(message);
            }
            return Ok(initial_state(generation));
        }
        (Verb::Pause, RolloutPhase::Running) => state.phase = RolloutPhase::Paused,
        (Verb::Resume, RolloutPhase::Paused) => state.phase = RolloutPhase::Running,
        (Verb::Abort, RolloutPhase::Running | RolloutPhase::Paused) => {
            state.phase = RolloutPhase::Aborted;
        }
        (Verb::Advance, RolloutPhase::Running) if state.stage + 1 < stages => state.stage += 1,
        (Verb::Advance, RolloutPhase::Running) => state.phase = RolloutPhase::Done,
        _ => return conflict(format!("the verb does not apply to a roll-out that is {phase:?}")),
    }
    Ok(state)
}
