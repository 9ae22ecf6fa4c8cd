//! The age of proofs according to the process clock.

use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::units::Millis;
use tidetrack_plane::clock::Clock;

#[test]
fn a_proof_from_before_process_start_keeps_its_age() {
    let clock = Clock::start();
    let freshness = Freshness::default();

    // Another host read the configuration 4 s ago, before this process started.
    freshness.record_proof(clock.now() - Millis(4_000));

    assert!(!freshness.permits_keyed_requests(clock.now(), Millis(5_000)));
}
