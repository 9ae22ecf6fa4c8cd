//! What counts as a confirmation of the configuration after a pause of the process.
//!
//! What was seen: a host that had been paused while a version was withdrawn ran a request on it, first
//! thing after.
//!
//! Order of events: the host asked another one, and was paused. The version was withdrawn and gone from all
//! other hosts. The host went on, found an answer to its question in its socket, given before the withdrawal,
//! and took its configuration for confirmed.
//!
//! Cause: an answer that came after the pause was taken for one to a question asked after it; so was one
//! that had come just before, between two looks of the control thread.
//!
//! Evidence: the first two tests here, in which the gate says confirmed although nothing was asked after
//! the pause. In the run that was seen other tests had used up the descriptors of the test's process, so that
//! the host may also have met nobody and gone on as in an outage: the two are not told apart.

use tidetrack_core::units::Millis;
use tidetrack_core::view::ConfigConfirmation;
use tidetrack_router::shared::AdmissionState;

/// The last look of the control thread before the pause.
const PAUSED_AT_MS: u64 = 10_000;

/// The first one after it.
const RESUMED_AT_MS: u64 = 12_500;

fn confirmed(proof_at: u64, queried_at: u64) -> Option<ConfigConfirmation> {
    Some(ConfigConfirmation { confirmed_at: Millis(proof_at), requested_at: Millis(queried_at) })
}

/// The gate of a host that was confirmed 1.5 s before its pause.
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
    // The other host's own proof was older than the question.
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
