//! The object API behind a slow link.
//!
//! The tests guard against fixed time limits of two or three seconds for reads and writes, applied however
//! much data has been transferred. Each retry then starts from the beginning and fails as well. A host that
//! is alone, or whose neighbors are as slow, keeps deciding on an old configuration forever after a large
//! change, and bills stored during an outage are never written.

use std::path::Path;
use std::time::{Duration, Instant};

use tidetrack_core::config::{Model, Object, ObjectKey, ObjectKind};
use tidetrack_router::settings::Times;
use tidetrack_standin::objects::{Platform, PlatformFaults};
use tidetrack_testkit::fleet::{Fleet, FleetOptions};
use tidetrack_testkit::proxy::{Fault, Proxy};
use tidetrack_testkit::wait_for;
use tidetrack_wire::platform::{config_object_name, ListedHost, ListedState, PlatformClient};

/// Rate of a 1 Mbit/s link, in bytes per second.
const SLOW_BYTES_PER_SECOND: u64 = 125_000;

/// Size of a change in bytes. It takes 4.8 s over the slow link.
const LARGE_CHANGE_BYTES: usize = 600_000;

/// Size in bytes of a segment with 5,000 bills, the maximum per segment. It takes 2.4 s over the slow link.
const SEGMENT_BYTES: usize = 300_000;

#[test]
fn a_large_change_is_read_over_a_slow_link() {
    let options = FleetOptions { hosts: 1, ..FleetOptions::default() };
    let fleet = Fleet::start(Path::new(env!("CARGO_BIN_EXE_tidetrack-router")), options)
        .expect("the fleet starts");
    let serving = "model@1".parse().expect("the version name parses");
    let object = Object::Model(Model { serving, description: "x".repeat(LARGE_CHANGE_BYTES) });
    let name = config_object_name(&ObjectKey::new(ObjectKind::Model, "large"));
    fleet.hosts[0].platform_proxy.set_fault(Fault::ConnectionRate(SLOW_BYTES_PER_SECOND));
    let (start, before) = (Instant::now(), fleet.hosts[0].platform_proxy.transferred_bytes());

    let version = fleet
        .platform_client
        .write(&name, 0, &object.to_json())
        .expect("the store accepts the write")
        .version;
    let in_force = || fleet.hosts[0].status().is_some_and(|s| s.applied_revision >= version);
    while !in_force() && start.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(100));
    }

    let read_ratio = (fleet.hosts[0].platform_proxy.transferred_bytes() - before) as f64
        / LARGE_CHANGE_BYTES as f64;
    println!(
        "after {:?}: in force: {}, bytes read: {read_ratio:.2} times the change",
        start.elapsed(),
        in_force()
    );
    assert!(
        in_force(),
        "change not in force: {read_ratio:.2} times its bytes were read in {:?}",
        start.elapsed()
    );
}

#[test]
fn a_large_segment_is_written_over_a_slow_link() {
    let store = Platform::default();
    let running = store.serve("127.0.0.1:0").expect("the store starts");
    let proxy = Proxy::with_target(&running.address()).expect("the proxy starts");
    proxy.set_fault(Fault::ConnectionRate(SLOW_BYTES_PER_SECOND));
    let client = PlatformClient::new(&proxy.address());
    let start = Instant::now();

    let written = client.write_confirmed("ledger/a~1/1", 0, &"x".repeat(SEGMENT_BYTES));

    println!("{written:?} after {:?}, {} bytes", start.elapsed(), proxy.transferred_bytes());
    assert!(written.is_ok(), "{written:?}");
    assert!(
        proxy.transferred_bytes() < 2 * SEGMENT_BYTES as u64,
        "{} bytes",
        proxy.transferred_bytes()
    );
}

#[test]
fn a_write_whose_reply_is_lost_is_resolved_over_a_slow_link() {
    let store = Platform::default();
    let running = store.serve("127.0.0.1:0").expect("the store starts");
    let proxy = Proxy::with_target(&running.address()).expect("the proxy starts");
    proxy.set_fault(Fault::ConnectionRate(SLOW_BYTES_PER_SECOND));
    store.set_faults(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() });
    let client = PlatformClient::new(&proxy.address());

    let written = client.write_confirmed("ledger/a~1/1", 0, &"x".repeat(SEGMENT_BYTES));

    println!("{written:?}, {} bytes", proxy.transferred_bytes());
    assert!(written.is_ok(), "{written:?}");
}

#[test]
fn a_change_does_not_wait_for_the_list_of_a_large_fleet() {
    let times = Times { hosts_read_interval_ms: 1_000, ..FleetOptions::default().times };
    let options = FleetOptions { hosts: 1, times, ..FleetOptions::default() };
    let fleet = Fleet::start(Path::new(env!("CARGO_BIN_EXE_tidetrack-router")), options)
        .expect("the fleet starts");
    // Target fleet size: 540 hosts in front of 4,200 endpoints.
    let endpoint = |n: usize| ListedHost {
        name: format!("endpoint-of-a-large-fleet-{n:04}"),
        role: "endpoint".into(),
        address: format!("10.0.{}.{}:8000", n / 250, n % 250),
        state: ListedState::Live,
    };
    fleet.platform_standin.set_hosts((0..4_740).map(endpoint).collect());
    fleet.hosts[0].platform_proxy.set_fault(Fault::ConnectionRate(SLOW_BYTES_PER_SECOND));
    let serving = "model@1".parse().expect("the version name parses");
    let small = Object::Model(Model { serving, description: String::new() }).to_json();

    let delays: Vec<Duration> = (0..12)
        .map(|n| {
            let name = config_object_name(&ObjectKey::new(ObjectKind::Model, format!("small-{n}")));
            let start = Instant::now();
            let version = fleet
                .platform_client
                .write(&name, 0, &small)
                .expect("the store accepts the write")
                .version;
            wait_for("the host's application of the change", || {
                fleet.hosts[0].status().filter(|s| s.applied_revision >= version).map(|_| ())
            });
            std::thread::sleep(Duration::from_millis(400));
            start.elapsed() - Duration::from_millis(400)
        })
        .collect();

    println!("{delays:?}");
    assert!(delays.iter().all(|delays| *delays < Duration::from_millis(1_000)), "{delays:?}");
}
