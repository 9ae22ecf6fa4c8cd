//! How often a host reads what it has read already.
//!
//! What users would see: a change of the configuration costs the object API and a small host's link
//! nearly twice its size, and what follows it waits as long. Order of events: the reader hands a change
//! to the control thread and asks at once for what follows the revision that traffic decides on, which
//! is still the one before; the object API answers at once with the same change. Evidence: the bytes
//! that pass between the host and the object API below. A list was not seen to be read twice.

use std::path::Path;

use tidetrack_core::config::{Model, Object, ObjectKey, ObjectKind};
use tidetrack_testkit::fleet::{Fleet, FleetOptions};
use tidetrack_wire::platform::config_object_name;

/// Bytes of a large object; the object API takes up to 1 MiB.
const LARGE_OBJECT_BYTES: usize = 600_000;

/// Large objects that are written one after the other.
const LARGE_OBJECTS: usize = 5;

/// Bytes of a small object.
const SMALL_OBJECT_BYTES: usize = 600;

/// Small objects that a host begins with.
const SMALL_OBJECTS: usize = 1_000;

fn fleet() -> Fleet {
    let options = FleetOptions { hosts: 1, ..FleetOptions::default() };
    Fleet::start(Path::new(env!("CARGO_BIN_EXE_tidetrack-router")), options).expect("a fleet")
}

/// Writes an object of about so many bytes; gives its version.
fn write(fleet: &Fleet, n: usize, bytes: usize) -> u64 {
    let serving = "model@1".parse().expect("a version");
    let object = Object::Model(Model { serving, description: "x".repeat(bytes) });
    let name = config_object_name(&ObjectKey::new(ObjectKind::Model, format!("model-{bytes}-{n}")));
    fleet.platform.write(&name, 0, &object.to_json()).expect("a write").version
}

fn wait_until_in_force(fleet: &Fleet, version: u64) {
    fleet.wait_all("the change in force", |status| status.applied_revision >= version);
}

#[test]
fn a_change_is_read_once() {
    let fleet = fleet();
    let (before, watches) = (fleet.hosts[0].to_platform.bytes(), fleet.objects.counts().watches);

    for n in 0..LARGE_OBJECTS {
        let version = write(&fleet, n, LARGE_OBJECT_BYTES);
        wait_until_in_force(&fleet, version);
    }

    let read_ratio = (fleet.hosts[0].to_platform.bytes() - before) as f64
        / (LARGE_OBJECTS * LARGE_OBJECT_BYTES) as f64;
    let watches = fleet.objects.counts().watches - watches;
    println!("{read_ratio:.2} times the changes were read, in {watches} watches");
    assert!(read_ratio < 1.2, "{read_ratio} times the changes");
}

#[test]
fn a_host_that_starts_reads_the_list_once() {
    let mut fleet = fleet();
    let last =
        (0..SMALL_OBJECTS).map(|n| write(&fleet, n, SMALL_OBJECT_BYTES)).max().expect("a version");
    wait_until_in_force(&fleet, last);
    fleet.hosts[0].kill();
    let (before, reads) = (fleet.hosts[0].to_platform.bytes(), fleet.objects.counts().reads);

    fleet.start_host(0).expect("a host");
    wait_until_in_force(&fleet, last);

    let read_ratio = (fleet.hosts[0].to_platform.bytes() - before) as f64
        / (SMALL_OBJECTS * SMALL_OBJECT_BYTES) as f64;
    let reads = fleet.objects.counts().reads - reads;
    println!("{read_ratio:.2} times the bodies were read, in {reads} gets and lists");
    // Names, versions and quotes are about a sixth more.
    assert!(read_ratio < 1.6, "{read_ratio} times the configuration");
}
