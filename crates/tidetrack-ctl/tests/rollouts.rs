//! The verbs of `rollout` against writers that come between.

use tidetrack_core::codes::Code;
use tidetrack_core::config::{Object, ObjectKey, ObjectKind, RolloutPhase, RolloutState};
use tidetrack_core::declare::read_folder;
use tidetrack_core::ids::RolloutId;
use tidetrack_ctl::{apply, rollout};
use tidetrack_standin::http::Running;
use tidetrack_standin::objects::{Platform, PlatformFaults};
use tidetrack_wire::platform::{config_name, PlatformClient};

const ENDPOINTS: &str = include_str!("../../../examples/library/endpoints.toml");
const MODELS: &str = include_str!("../../../examples/library/models.toml");
const WORKSPACES: &str = include_str!("../../../examples/library/workspaces.toml");

struct World {
    objects: Platform,
    client: PlatformClient,
    id: RolloutId,
    _running: Running,
}

/// Starts a platform on which the example's roll-out has been started.
fn started() -> World {
    let objects = Platform::default();
    let running = objects.serve("127.0.0.1:0").expect("a platform");
    let client = PlatformClient::new(&running.address());
    let files =
        [("endpoints.toml", ENDPOINTS), ("models.toml", MODELS), ("workspaces.toml", WORKSPACES)];
    let files: Vec<(String, String)> =
        files.iter().map(|(n, t)| (n.to_string(), t.to_string())).collect();
    let declared = read_folder(&files).expect("sound declarations");
    let lines = apply::diff(&client, &declared, false).expect("a difference");
    assert!(apply::apply(&client, &lines, &mut |_, _| {}).failure().is_none());
    let id: RolloutId = "scholar-2".parse().expect("a roll-out");
    rollout::act(&client, &id, rollout::Verb::Start).expect("a start");
    World { objects, client, id, _running: running }
}

fn state(world: &World) -> RolloutState {
    let key = ObjectKey::new(ObjectKind::RolloutState, &world.id);
    let stored = world.client.fetch(&config_name(&key)).expect("a state");
    let body = stored.body.expect("a body");
    match Object::from_json(ObjectKind::RolloutState, &body).expect("a sound state") {
        Object::RolloutState(state) => state,
        other => panic!("{other:?}"),
    }
}

/// Lets another writer come right before the next update.
fn write_first(world: &World, state: RolloutState) {
    let body = Some(Object::RolloutState(state).to_json());
    world.objects.set_faults(PlatformFaults { write_first: body, ..PlatformFaults::default() });
}

#[test]
fn a_host_that_writes_grants_in_between_does_not_stop_an_operator() {
    let world = started();
    let mut granted = state(&world);
    granted.granted.insert("router-1~1".parse().expect("an incarnation"), 5);
    write_first(&world, granted.clone());

    let next = rollout::act(&world.client, &world.id, rollout::Verb::Advance);

    let next = next.expect("the verb is carried out");
    assert_eq!((next.stage, &next.granted), (1, &granted.granted));
    assert_eq!(state(&world), next);
}

#[test]
fn an_operator_does_not_advance_a_rollout_that_went_on_in_between() {
    let world = started();
    let mut other = state(&world);
    other.stage = 1;
    write_first(&world, other.clone());

    let refused = rollout::act(&world.client, &world.id, rollout::Verb::Advance);

    assert_eq!(refused.expect_err("a conflict").code, Code::Conflict);
    assert_eq!(state(&world), other);
}

#[test]
fn an_abort_holds_also_if_the_rollout_went_on_in_between() {
    let world = started();
    let mut other = state(&world);
    other.stage = 1;
    write_first(&world, other);

    let aborted = rollout::act(&world.client, &world.id, rollout::Verb::Abort);

    assert_eq!(aborted.expect("the verb is carried out").phase, RolloutPhase::Aborted);
    assert_eq!(state(&world).phase, RolloutPhase::Aborted);
}
