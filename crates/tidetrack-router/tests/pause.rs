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
const PAUSED: u64 = 10_000;

/// The first one after it.
const RESUMED: u64 = 12_500;

fn confirmed(fresh_at: u64, asked_at: u64) -> Option<ConfigConfirmation> {
    Some(ConfigConfirmation { confirmed_at: Millis(fresh_at), requested_at: Millis(asked_at) })
}

/// The gate of a host that was confirmed 1.5 s before its pause.
fn paused() -> AdmissionState {
    let gate = AdmissionState::default();
    gate.tick(Millis(PAUSED), confirmed(PAUSED - 1_500, PAUSED - 1_000), true);
    gate
}

#[test]
fn an_answer_to_a_question_from_before_a_pause_confirms_nothing_after_it() {
    let gate = paused();

    gate.tick(Millis(RESUMED), confirmed(PAUSED - 600, PAUSED - 100), true);

    assert!(gate.is_unconfirmed(Millis(RESUMED + 5)));
}

#[test]
fn an_answer_that_is_noticed_later_confirms_nothing_either() {
    let gate = paused();

    gate.tick(Millis(RESUMED), confirmed(PAUSED - 1_500, PAUSED - 1_000), true);
    gate.tick(Millis(RESUMED + 20), confirmed(PAUSED - 600, PAUSED - 100), true);

    assert!(gate.is_unconfirmed(Millis(RESUMED + 25)));
}

#[test]
fn an_answer_to_a_question_after_a_pause_confirms() {
    let gate = paused();

    gate.tick(Millis(RESUMED), confirmed(PAUSED - 1_500, PAUSED - 1_000), true);
    let before = gate.is_unconfirmed(Millis(RESUMED + 5));
    // The other host's own proof was older than the question.
    gate.tick(Millis(RESUMED + 50), confirmed(RESUMED - 1_000, RESUMED + 20), true);

    assert!(before);
    assert!(!gate.is_unconfirmed(Millis(RESUMED + 55)));
}

#[test]
fn without_an_answer_a_host_goes_on_as_in_an_outage_after_a_while() {
    let gate = paused();

    for now in (RESUMED..RESUMED + 2_100).step_by(100) {
        gate.tick(Millis(now), confirmed(PAUSED - 1_500, PAUSED - 1_000), true);
    }

    assert!(!gate.is_unconfirmed(Millis(RESUMED + 2_100)));
}
