//! Repeated reads of configuration that a host has already read.
//!
//! The first test guards against reading each change nearly twice, which doubles the load on the object API
//! and on a small host's link and delays later changes. The reader passes a change to the control thread
//! and immediately requests what follows the revision in force, which is still the previous one, so the
//! object API returns the same change again. The tests count the bytes between the host and the object API.
//! The second test checks that a list is not read twice either; that fault has not been observed.

use std::path::Path;

use tidetrack_core::config::{Model, Object, ObjectKey, ObjectKind};
use tidetrack_testkit::fleet::{Fleet, FleetOptions};
use tidetrack_wire::platform::config_object_name;

/// Size of a large object in bytes. The object API accepts up to 1 MiB.
const LARGE_OBJECT_BYTES: usize = 600_000;

/// Number of large objects, written one after another.
const LARGE_OBJECTS: usize = 5;

/// Size of a small object in bytes.
const SMALL_OBJECT_BYTES: usize = 600;

/// Number of small objects that exist when a host starts.
const SMALL_OBJECTS: usize = 1_000;

fn fleet() -> Fleet {
    let options = FleetOptions { hosts: 1, ..FleetOptions::default() };
    Fleet::start(Path::new(env!("CARGO_BIN_EXE_tidetrack-router")), options)
        .expect("the fleet starts")
}

/// Writes an object with a description of `bytes` bytes and returns its version.
fn write(fleet: &Fleet, n: usize, bytes: usize) -> u64 {
    let serving = "model@1".parse().expect("the version name parses");
    let object = Object::Model(Model { serving, description: "x".repeat(bytes) });
    let name = config_object_name(&ObjectKey::new(ObjectKind::Model, format!("model-{bytes}-{n}")));
    fleet
        .platform_client
        .write(&name, 0, &object.to_json())
        .expect("the store accepts the write")
        .version
}

fn wait_until_in_force(fleet: &Fleet, version: u64) {
    fleet.wait_for_hosts("the change in force", |status| status.applied_revision >= version);
}

#[test]
fn a_change_is_read_once() {
    let fleet = fleet();
    let (before, watches) = (
        fleet.hosts[0].platform_proxy.transferred_bytes(),
        fleet.platform_standin.counts().watches,
    );

    for n in 0..LARGE_OBJECTS {
        let version = write(&fleet, n, LARGE_OBJECT_BYTES);
        wait_until_in_force(&fleet, version);
    }

    let read_ratio = (fleet.hosts[0].platform_proxy.transferred_bytes() - before) as f64
        / (LARGE_OBJECTS * LARGE_OBJECT_BYTES) as f64;
    let watches = fleet.platform_standin.counts().watches - watches;
    println!("bytes read: {read_ratio:.2} times the changes, in {watches} watches");
    assert!(read_ratio < 1.2, "the host read {read_ratio} times the bytes of the changes");
}

#[test]
fn a_host_that_starts_reads_the_list_once() {
    let mut fleet = fleet();
    let last = (0..SMALL_OBJECTS)
        .map(|n| write(&fleet, n, SMALL_OBJECT_BYTES))
        .max()
        .expect("at least one object is written");
    wait_until_in_force(&fleet, last);
    fleet.hosts[0].kill();
    let (before, reads) =
        (fleet.hosts[0].platform_proxy.transferred_bytes(), fleet.platform_standin.counts().reads);

    fleet.start_host(0).expect("the host starts");
    wait_until_in_force(&fleet, last);

    let read_ratio = (fleet.hosts[0].platform_proxy.transferred_bytes() - before) as f64
        / (SMALL_OBJECTS * SMALL_OBJECT_BYTES) as f64;
    let reads = fleet.platform_standin.counts().reads - reads;
    println!("bytes read: {read_ratio:.2} times the objects, in {reads} gets and lists");
    // Names, versions and quotation marks add about one sixth.
    assert!(read_ratio < 1.6, "the host read {read_ratio} times the bytes of the configuration");
}
