//! `withdraw` and the verbs of `rollout`: conditional updates of the system's own objects.

use tidetrack_core::codes::Code;
use tidetrack_core::config::{
    Object, ObjectKey, ObjectKind, RolloutPhase, RolloutState, Version, Withdrawal,
};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::ids::{RolloutId, VersionRef};
use tidetrack_core::rollout::initial_state;
use tidetrack_wire::platform::{config_name, PlatformClient};

/// Updates tried against hosts that write to the same object. Each of them writes at most every few
/// hundred milliseconds, so a second conflict is rare.
const WRITE_TRIES: usize = 8;

/// What an operator does with a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// Begin, or begin again after an end.
    Start,
    /// Put no new work on the new version.
    Pause,
    /// Go on after a pause.
    Resume,
    /// Go to the next stage without waiting for evidence.
    Advance,
    /// Give up.
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
                let message = format!("no verb {s:?}; start, pause, resume, advance, abort");
                return Err(Error::new(Code::BadUsage, message));
            }
        })
    }
}

fn read(platform: &PlatformClient, key: &ObjectKey) -> Result<(u64, Object)> {
    let stored = platform.fetch(&config_name(key)).map_err(|e| match e.code {
        Code::ObjectGone => Error::new(Code::ObjectGone, format!("no {key}")),
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
        _ => Err(Error::new(Code::Internal, "a version of another kind")),
    }
}

/// Withdraws a version's present generation.
pub fn withdraw(platform: &PlatformClient, version: &VersionRef, reason: &str) -> Result<u64> {
    let generation = version_of(platform, version)?.generation;
    let key = ObjectKey::new(ObjectKind::Withdrawal, version);
    let there = match read(platform, &key) {
        Ok((at, Object::Withdrawal(w))) if w.generation >= generation => return Ok(at),
        Ok((at, _)) => at,
        Err(e) if e.code == Code::ObjectGone => 0,
        Err(e) => return Err(e),
    };
    let body = Object::Withdrawal(Withdrawal { generation, reason: reason.into() }).to_json();
    Ok(platform.write_settled(&config_name(&key), there, &body)?.version)
}

/// A roll-out's state as it was read, with what a verb needs to know beside it.
struct Standing {
    key: ObjectKey,
    at: u64,
    state: Option<RolloutState>,
    generation: u64,
    stages: usize,
}

impl Standing {
    fn read(platform: &PlatformClient, id: &RolloutId) -> Result<Standing> {
        let Object::Rollout(spec) = read(platform, &ObjectKey::new(ObjectKind::Rollout, id))?.1
        else {
            return Err(Error::new(Code::Internal, "a roll-out of another kind"));
        };
        let generation = version_of(platform, &spec.to)?.generation;
        let key = ObjectKey::new(ObjectKind::RolloutState, id);
        let (at, state) = match read(platform, &key) {
            Ok((at, Object::RolloutState(state))) => (at, Some(state)),
            Ok(_) => return Err(Error::new(Code::Internal, "a state of another kind")),
            Err(e) if e.code == Code::ObjectGone => (0, None),
            Err(e) => return Err(e),
        };
        Ok(Standing { key, at, state, generation, stages: spec.stages.len() })
    }

    /// Gets what an operator sees of the state; the rest is the hosts' accounts.
    fn seen(&self) -> Option<(RolloutPhase, usize, u64)> {
        self.state.as_ref().map(|s| (s.phase, s.stage, s.generation))
    }
}

/// Tells whether a verb means the same although the roll-out went on to another stage.
fn fits_any_stage(verb: Verb) -> bool {
    matches!(verb, Verb::Pause | Verb::Abort)
}

/// Carries out a verb on a roll-out; gets the state that stands then.
///
/// Hosts write their accounts to the same object. An update that met such a write is made again, as
/// long as the verb still means what it meant when the operator gave it.
pub fn act(platform: &PlatformClient, id: &RolloutId, verb: Verb) -> Result<RolloutState> {
    let first = Standing::read(platform, id)?;
    let meant = first.seen();
    let mut standing = first;
    for _ in 0..WRITE_TRIES {
        let state = standing.state.clone();
        let mut next = next(state, verb, standing.generation, standing.stages)?;
        next.operation_id = format!("ctl-{:016x}", rand::random::<u64>());
        let body = Object::RolloutState(next.clone()).to_json();
        match platform.write_settled(&config_name(&standing.key), standing.at, &body) {
            Ok(_) => return Ok(next),
            Err(e) if e.code == Code::Conflict => standing = Standing::read(platform, id)?,
            Err(e) => return Err(e),
        }
        if standing.seen() != meant && !fits_any_stage(verb) {
            let why = "the roll-out went on meanwhile; look at it and decide again";
            return Err(Error::new(Code::Conflict, why));
        }
    }
    Err(Error::new(Code::Conflict, "the roll-out is written to all the time; try again"))
}

fn next(
    state: Option<RolloutState>,
    verb: Verb,
    generation: u64,
    stages: usize,
) -> Result<RolloutState> {
    let refuse = |why: String| Err(Error::new(Code::Conflict, why));
    let Some(mut state) = state else {
        return match verb {
            Verb::Start => Ok(initial_state(generation)),
            _ => refuse("the roll-out was not started".to_string()),
        };
    };
    let phase = state.phase;
    match (verb, phase) {
        (Verb::Start, RolloutPhase::Aborted | RolloutPhase::Done) => {
            if state.generation >= generation {
                let why =
                    format!("generation {generation} ended {phase:?}; raise it to start again");
                return refuse(why);
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
        _ => return refuse(format!("the roll-out is {phase:?}")),
    }
    Ok(state)
}
