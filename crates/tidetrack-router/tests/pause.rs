//! Which responses confirm the configuration after a pause of the process.
//!
//! The tests guard against a host that executes a request on a withdrawn version right after a pause. The
//! host queries another host and is paused; meanwhile the version is withdrawn on all other hosts. When the
//! host resumes, it reads a response from its socket that was sent before the withdrawal, and treats its
//! configuration as confirmed.
//!
//! Two responses must not count: one that arrives after the pause to a query sent before it, and one that
//! arrived just before the pause, between two ticks of the control thread. The first two tests fail if the
//! admission state is confirmed although no query was sent after the pause. The same symptom can also arise
//! when a host finds no peers, for example because file descriptors are exhausted, and continues as in an
//! outage; the symptom alone does not distinguish the two causes.

use tidetrack_core::units::Millis;
use tidetrack_core::view::ConfigConfirmation;
use tidetrack_router::shared::AdmissionState;

/// Time of the control thread's last tick before the pause, in milliseconds.
const PAUSED_AT_MS: u64 = 10_000;

/// Time of the control thread's first tick after the pause, in milliseconds.
const RESUMED_AT_MS: u64 = 12_500;

fn confirmed(proof_at: u64, queried_at: u64) -> Option<ConfigConfirmation> {
    Some(ConfigConfirmation { confirmed_at: Millis(proof_at), requested_at: Millis(queried_at) })
}

/// Returns the admission state of a host whose configuration was confirmed 1.5 s before its pause.
fn paused_state() -> AdmissionState {
    let admission = AdmissionState::default();
    admission.tick(
        Millis(PAUSED_AT_MS),
        confirmed(PAUSED_AT_MS - 1_500, PAUSED_AT_MS - 1_000),
        true,
    );
    admission
}

#[test]
fn a_response_to_a_query_from_before_a_pause_confirms_nothing() {
    let admission = paused_state();

    admission.tick(Millis(RESUMED_AT_MS), confirmed(PAUSED_AT_MS - 600, PAUSED_AT_MS - 100), true);

    assert!(admission.is_unconfirmed(Millis(RESUMED_AT_MS + 5)));
}

#[test]
fn a_response_processed_after_a_pause_confirms_nothing() {
    let admission = paused_state();

    admission.tick(
        Millis(RESUMED_AT_MS),
        confirmed(PAUSED_AT_MS - 1_500, PAUSED_AT_MS - 1_000),
        true,
    );
    admission.tick(
        Millis(RESUMED_AT_MS + 20),
        confirmed(PAUSED_AT_MS - 600, PAUSED_AT_MS - 100),
        true,
    );

    assert!(admission.is_unconfirmed(Millis(RESUMED_AT_MS + 25)));
}

#[test]
fn a_response_to_a_query_after_a_pause_confirms() {
    let admission = paused_state();

    admission.tick(
        Millis(RESUMED_AT_MS),
        confirmed(PAUSED_AT_MS - 1_500, PAUSED_AT_MS - 1_000),
        true,
    );
    let before = admission.is_unconfirmed(Millis(RESUMED_AT_MS + 5));
    // The proof of the other host is older than the query.
    admission.tick(
        Millis(RESUMED_AT_MS + 50),
        confirmed(RESUMED_AT_MS - 1_000, RESUMED_AT_MS + 20),
        true,
    );

    assert!(before);
    assert!(!admission.is_unconfirmed(Millis(RESUMED_AT_MS + 55)));
}

#[test]
fn without_a_response_a_host_eventually_continues_as_in_an_outage() {
    let admission = paused_state();

    for now in (RESUMED_AT_MS..RESUMED_AT_MS + 2_100).step_by(100) {
        admission.tick(Millis(now), confirmed(PAUSED_AT_MS - 1_500, PAUSED_AT_MS - 1_000), true);
    }

    assert!(!admission.is_unconfirmed(Millis(RESUMED_AT_MS + 2_100)));
}
