//! Runs the load tool against real processes while one host is killed and another is terminated, and
//! checks that no guarantee is broken.

use std::path::Path;
use std::time::Duration;

use tidetrack_ctl::bill;
use tidetrack_load::load::{run, LoadOptions};
use tidetrack_testkit::fleet::{Fleet, FleetOptions, KEY};
use tidetrack_testkit::wait_for;

#[test]
fn load_over_failing_hosts_breaks_no_guarantee() {
    let options = FleetOptions { hosts: 4, domains: 2, ..FleetOptions::default() };
    let binary = Path::new(env!("CARGO_BIN_EXE_tidetrack-router"));
    let mut fleet = Fleet::start(binary, options).expect("the fleet starts");
    let load = LoadOptions {
        hosts: fleet.hosts.iter().map(|h| h.process().caller_address.clone()).collect(),
        key: KEY.into(),
        route: "chat".into(),
        non_repeatable_call: Some("vault/grant".into()),
        callers: 12,
        duration: Duration::from_secs(10),
        seed: 3,
    };

    let running = std::thread::spawn(move || run(&load, &|_, _| {}));
    wait_for("traffic", || (fleet.stable_engine.counts().finished > 50).then_some(()));
    // A paused host would block the callers connected to it. `promises.rs` covers that case.
    fleet.hosts[3].kill();
    let before = fleet.stable_engine.counts().finished;
    wait_for("traffic after the kill", || {
        (fleet.stable_engine.counts().finished > before + 20).then_some(())
    });
    fleet.hosts[1].process().terminate();
    let report = running.join().expect("the load thread does not panic");

    println!("{}", report.render());
    assert!(report.broken.is_empty(), "{}", report.render());
    assert!(report.answered > 100, "{}", report.render());
    let billed_kinds = report.versions.values().sum::<u64>();
    wait_for("a bill for each answered request", || {
        (bill::totals(&fleet.platform_client).ok()?.requests >= billed_kinds).then_some(())
    });
    assert!(
        fleet.service.run_counts().values().all(|n| *n == 1),
        "{:?}",
        fleet.service.run_counts()
    );
}
