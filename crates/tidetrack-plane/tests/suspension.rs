//! Ages of proofs and clock readings on a machine that is suspended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::units::Millis;
use tidetrack_plane::clock::{BootInstant, Clock, SuspensionDetector};

/// Time since machine start, in milliseconds, as set by the test.
static NOW_MS: AtomicU64 = AtomicU64::new(50_000);

fn now() -> Duration {
    Duration::from_millis(NOW_MS.load(Ordering::Relaxed))
}

/// Guards against a configuration whose age does not include the time of a suspension.
#[test]
fn a_proof_is_older_by_the_time_in_which_the_machine_was_suspended() {
    let bound = Millis(5_000);
    let clock = Clock::with_source(now);
    let freshness = Freshness::default();
    freshness.record_proof(clock.now());
    let was_fresh = freshness.permits_keyed_requests(clock.now(), bound);

    NOW_MS.fetch_add(4_000, Ordering::Relaxed);

    assert!(was_fresh);
    assert!(!freshness.permits_keyed_requests(clock.now(), bound));
    assert_eq!(clock.since_start(), Millis(4_000));
}

#[test]
fn a_suspension_is_detected_once_and_a_stopped_process_is_not_one() {
    let mut suspensions = SuspensionDetector::default();
    let s = Duration::from_secs;
    let clock_readings = [(s(1), s(1)), (s(9), s(9)), (s(14), s(10)), (s(15), s(11))];

    let suspensions_seen: Vec<Option<Duration>> = clock_readings
        .iter()
        .map(|(boot, monotonic)| suspensions.update(*boot, *monotonic))
        .collect();

    assert_eq!(suspensions_seen, [None, None, Some(s(4)), None]);
}

#[test]
fn boot_instants_advance_with_the_clock() {
    let (start, monotonic) = (BootInstant::now(), Instant::now());
    let due = start.saturating_add(Duration::from_millis(30));

    std::thread::sleep(Duration::from_millis(30));

    assert!(start.elapsed() >= Duration::from_millis(30));
    assert!(start.elapsed() <= monotonic.elapsed() + Duration::from_secs(1));
    assert_eq!(due.remaining(), Duration::ZERO);
}
