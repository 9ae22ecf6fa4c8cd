//! The verbs of `evacuate` against the platform's stand-in.

use tidetrack_core::codes::Code;
use tidetrack_core::declare::read_folder;
use tidetrack_core::ids::FailureDomain;
use tidetrack_ctl::{apply, evacuation};
use tidetrack_standin::http::RunningServer;
use tidetrack_standin::objects::Platform;
use tidetrack_wire::platform::PlatformClient;

const ENDPOINTS: &str = include_str!("../../../examples/library/endpoints.toml");
const MODELS: &str = include_str!("../../../examples/library/models.toml");
const WORKSPACES: &str = include_str!("../../../examples/library/workspaces.toml");

/// Starts a platform with the example's declarations.
fn start_platform() -> (PlatformClient, RunningServer) {
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
    (client, running)
}

fn domain(name: &str) -> FailureDomain {
    name.parse().expect("the name parses")
}

#[test]
fn an_evacuation_is_listed_with_its_reason_until_it_is_ended() {
    let (client, _running) = start_platform();

    evacuation::start(&client, &domain("hall-1"), "new switches").expect("the order is accepted");
    evacuation::start(&client, &domain("hall-1"), "new racks").expect("the order is repeated");
    let during = evacuation::list(&client).expect("the orders can be listed");
    evacuation::end(&client, &domain("hall-1")).expect("the order is ended");
    let after = evacuation::list(&client).expect("the orders can be listed");

    assert_eq!(during, [("hall-1".to_string(), "new racks".to_string())].into());
    assert!(evacuation::render(&during, &[]).contains("new racks"));
    assert!(after.is_empty());
}

#[test]
fn a_domain_without_endpoints_is_not_evacuated() {
    let (client, _running) = start_platform();

    let unknown = evacuation::start(&client, &domain("hal"), "").expect_err("no such domain");
    let not_evacuated = evacuation::end(&client, &domain("hall-1")).expect_err("nothing to end");

    assert_eq!((unknown.code, not_evacuated.code), (Code::BadValue, Code::ObjectGone));
    assert!(evacuation::list(&client).expect("the orders can be listed").is_empty());
}
