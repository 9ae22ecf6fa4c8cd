//! The object API behind a slow link.
//!
//! What users would see: a host alone, or whose neighbours are as slow, decides on an old configuration
//! for good once a change is large, and bills that were kept through an outage are never written. Order
//! of events: a read or a write begins; it is given up after a fixed two or three seconds, however much
//! of it has passed; the next try begins from nothing and is given up as well. Evidence: the tries and
//! the bytes below.

use std::path::Path;
use std::time::{Duration, Instant};

use tidetrack_core::config::{Model, Object, ObjectKey, ObjectKind};
use tidetrack_router::settings::Times;
use tidetrack_standin::objects::{Platform, PlatformFaults};
use tidetrack_testkit::fleet::{Fleet, FleetOptions};
use tidetrack_testkit::proxy::{Fault, Proxy};
use tidetrack_testkit::wait_for;
use tidetrack_wire::platform::{config_object_name, ListedHost, ListedState, PlatformClient};

/// Bytes a second of a link of 1 Mbit/s.
const SLOW: u64 = 125_000;

/// Bytes of a change: 4.8 s over the slow link.
const LARGE: usize = 600_000;

/// Bytes of a segment with 5,000 bills, the most that one carries: 2.4 s over the slow link.
const SEGMENT: usize = 300_000;

#[test]
fn a_change_that_is_large_for_the_link_is_read_all_the_same() {
    let options = FleetOptions { hosts: 1, ..FleetOptions::default() };
    let fleet =
        Fleet::start(Path::new(env!("CARGO_BIN_EXE_tidetrack-router")), options).expect("a fleet");
    let serving = "model@1".parse().expect("a version");
    let object = Object::Model(Model { serving, description: "x".repeat(LARGE) });
    let name = config_object_name(&ObjectKey::new(ObjectKind::Model, "large"));
    fleet.hosts[0].platform_proxy.set_fault(Fault::ConnectionRate(SLOW));
    let (began, before) = (Instant::now(), fleet.hosts[0].platform_proxy.transferred_bytes());

    let version =
        fleet.platform_client.write(&name, 0, &object.to_json()).expect("a write").version;
    let in_force = || fleet.hosts[0].status().is_some_and(|s| s.applied_revision >= version);
    while !in_force() && began.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(100));
    }

    let read = (fleet.hosts[0].platform_proxy.transferred_bytes() - before) as f64 / LARGE as f64;
    println!("{:?} in force: {}, {read:.2} times the change", began.elapsed(), in_force());
    assert!(in_force(), "{read:.2} times the change were read in {:?}", began.elapsed());
}

#[test]
fn a_segment_that_is_large_for_the_link_is_written_all_the_same() {
    let store = Platform::default();
    let running = store.serve("127.0.0.1:0").expect("a store");
    let proxy = Proxy::with_target(&running.address()).expect("a proxy");
    proxy.set_fault(Fault::ConnectionRate(SLOW));
    let client = PlatformClient::new(&proxy.address());
    let began = Instant::now();

    let written = client.write_confirmed("ledger/a~1/1", 0, &"x".repeat(SEGMENT));

    println!("{written:?} after {:?}, {} bytes", began.elapsed(), proxy.transferred_bytes());
    assert!(written.is_ok(), "{written:?}");
    assert!(proxy.transferred_bytes() < 2 * SEGMENT as u64, "{} bytes", proxy.transferred_bytes());
}

#[test]
fn a_write_whose_reply_is_lost_is_settled_over_a_slow_link() {
    let store = Platform::default();
    let running = store.serve("127.0.0.1:0").expect("a store");
    let proxy = Proxy::with_target(&running.address()).expect("a proxy");
    proxy.set_fault(Fault::ConnectionRate(SLOW));
    store.set_faults(PlatformFaults { lose_replies: 1, ..PlatformFaults::default() });
    let client = PlatformClient::new(&proxy.address());

    let written = client.write_confirmed("ledger/a~1/1", 0, &"x".repeat(SEGMENT));

    println!("{written:?}, {} bytes", proxy.transferred_bytes());
    assert!(written.is_ok(), "{written:?}");
}

#[test]
fn a_change_does_not_wait_for_the_list_of_a_large_fleet() {
    let times = Times { hosts_read_interval_ms: 1_000, ..FleetOptions::default().times };
    let options = FleetOptions { hosts: 1, times, ..FleetOptions::default() };
    let fleet =
        Fleet::start(Path::new(env!("CARGO_BIN_EXE_tidetrack-router")), options).expect("a fleet");
    // The size aimed at: 4,200 endpoints before 540 hosts.
    let endpoint = |n: usize| ListedHost {
        name: format!("endpoint-of-a-large-fleet-{n:04}"),
        role: "endpoint".into(),
        address: format!("10.0.{}.{}:8000", n / 250, n % 250),
        state: ListedState::Live,
    };
    fleet.platform_standin.set_hosts((0..4_740).map(endpoint).collect());
    fleet.hosts[0].platform_proxy.set_fault(Fault::ConnectionRate(SLOW));
    let serving = "model@1".parse().expect("a version");
    let small = Object::Model(Model { serving, description: String::new() }).to_json();

    let took: Vec<Duration> = (0..12)
        .map(|n| {
            let name = config_object_name(&ObjectKey::new(ObjectKind::Model, format!("small-{n}")));
            let began = Instant::now();
            let version = fleet.platform_client.write(&name, 0, &small).expect("a write").version;
            wait_for("the change in force", || {
                fleet.hosts[0].status().filter(|s| s.applied_revision >= version).map(|_| ())
            });
            std::thread::sleep(Duration::from_millis(400));
            began.elapsed() - Duration::from_millis(400)
        })
        .collect();

    println!("{took:?}");
    assert!(took.iter().all(|took| *took < Duration::from_millis(1_000)), "{took:?}");
}
