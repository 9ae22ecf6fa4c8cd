//! The verbs of `rollout` with concurrent writers.

use tidetrack_core::codes::Code;
use tidetrack_core::config::{Object, ObjectKey, ObjectKind, RolloutPhase, RolloutState};
use tidetrack_core::declare::read_folder;
use tidetrack_core::ids::RolloutId;
use tidetrack_ctl::{apply, rollout};
use tidetrack_standin::http::RunningServer;
use tidetrack_standin::objects::{Platform, PlatformFaults};
use tidetrack_wire::platform::{config_object_name, PlatformClient};

const ENDPOINTS: &str = include_str!("../../../examples/library/endpoints.toml");
const MODELS: &str = include_str!("../../../examples/library/models.toml");
const WORKSPACES: &str = include_str!("../../../examples/library/workspaces.toml");

struct TestPlatform {
    objects: Platform,
    client: PlatformClient,
    id: RolloutId,
    _running: RunningServer,
}

/// Starts a platform with the example's declarations and starts its roll-out.
fn with_started_rollout() -> TestPlatform {
    let objects = Platform::default();
    let running = objects.serve("127.0.0.1:0").expect("the platform starts to serve");
    let client = PlatformClient::new(&running.address());
    let files =
        [("endpoints.toml", ENDPOINTS), ("models.toml", MODELS), ("workspaces.toml", WORKSPACES)];
    let files: Vec<(String, String)> =
        files.iter().map(|(n, t)| (n.to_string(), t.to_string())).collect();
    let declared = read_folder(&files).expect("the declarations are valid");
    let lines = apply::diff(&client, &declared, false).expect("the declarations can be compared");
    assert!(apply::apply(&client, &lines, &mut |_, _| {}).first_failure().is_none());
    let id: RolloutId = "scholar-2".parse().expect("the roll-out id parses");
    rollout::apply_verb(&client, &id, rollout::Verb::Start).expect("the start verb is carried out");
    TestPlatform { objects, client, id, _running: running }
}

fn stored_state(platform: &TestPlatform) -> RolloutState {
    let key = ObjectKey::new(ObjectKind::RolloutState, &platform.id);
    let stored =
        platform.client.fetch(&config_object_name(&key)).expect("the state object can be fetched");
    let body = stored.body.expect("the state object has a body");
    match Object::from_json(ObjectKind::RolloutState, &body).expect("the roll-out state parses") {
        Object::RolloutState(state) => state,
        other => panic!("not a roll-out state: {other:?}"),
    }
}

/// Makes another writer write `state` immediately before the next update.
fn inject_conflicting_write(platform: &TestPlatform, state: RolloutState) {
    let body = Some(Object::RolloutState(state).to_json());
    platform.objects.set_faults(PlatformFaults { write_first: body, ..PlatformFaults::default() });
}

#[test]
fn advance_is_retried_after_concurrent_grant_write() {
    let platform = with_started_rollout();
    let mut with_grant = stored_state(&platform);
    with_grant.granted.insert("router-1~1".parse().expect("the incarnation parses"), 5);
    inject_conflicting_write(&platform, with_grant.clone());

    let next = rollout::apply_verb(&platform.client, &platform.id, rollout::Verb::Advance);

    let next = next.expect("the verb is carried out");
    assert_eq!((next.stage, &next.granted), (1, &with_grant.granted));
    assert_eq!(stored_state(&platform), next);
}

#[test]
fn advance_fails_if_stage_changed_concurrently() {
    let platform = with_started_rollout();
    let mut advanced = stored_state(&platform);
    advanced.stage = 1;
    inject_conflicting_write(&platform, advanced.clone());

    let refused = rollout::apply_verb(&platform.client, &platform.id, rollout::Verb::Advance);

    assert_eq!(refused.expect_err("the verb is refused with a conflict").code, Code::Conflict);
    assert_eq!(stored_state(&platform), advanced);
}

#[test]
fn abort_succeeds_if_stage_changed_concurrently() {
    let platform = with_started_rollout();
    let mut advanced = stored_state(&platform);
    advanced.stage = 1;
    inject_conflicting_write(&platform, advanced);

    let aborted = rollout::apply_verb(&platform.client, &platform.id, rollout::Verb::Abort);

    assert_eq!(aborted.expect("the verb is carried out").phase, RolloutPhase::Aborted);
    assert_eq!(stored_state(&platform).phase, RolloutPhase::Aborted);
}
