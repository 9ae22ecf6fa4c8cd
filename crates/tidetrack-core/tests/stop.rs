//! Planned stops of a host: their stages, and what interrupted requests are told.

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::traffic::stop::{interruption, StopSchedule, StopStage};
use tidetrack_core::units::Millis;

/// Guards against a stop that leaves no time to answer the requests which it interrupts.
#[test]
fn requests_are_interrupted_before_the_process_ends_however_short_the_stop() {
    for stop_timeout in [500, 1_000, 2_000, 5_000, 8_000, 30_000] {
        let schedule = StopSchedule::new(Millis(stop_timeout));
        let first = (0..stop_timeout)
            .map(Millis)
            .find(|elapsed| schedule.stage(*elapsed) == StopStage::Interrupting);
        let end = (0..stop_timeout).map(Millis).find(|elapsed| schedule.is_over(*elapsed, false));
        assert!(first.is_some() && first < end, "{stop_timeout} ms: {first:?} {end:?}");
    }
}

#[test]
fn the_stages_of_a_stop_follow_each_other() {
    let schedule = StopSchedule::new(Millis(8_000));

    assert_eq!(schedule.stage(Millis(0)), StopStage::Serving);
    assert_eq!(schedule.stage(Millis(2_300)), StopStage::Closing);
    assert_eq!(schedule.stage(Millis(7_399)), StopStage::Closing);
    assert_eq!(schedule.stage(Millis(7_400)), StopStage::Interrupting);
    assert!(!schedule.is_over(Millis(2_999), true));
    assert!(schedule.is_over(Millis(3_000), true));
    assert!(!schedule.is_over(Millis(7_649), false));
    assert!(schedule.is_over(Millis(7_650), false));
}

/// Guards against a status that promises no execution for a request that may have been executed.
#[test]
fn an_interrupted_request_is_refused_only_if_it_was_not_executed() {
    let not_sent = interruption(Executed::No);
    assert_eq!((not_sent.code, not_sent.executed), (Code::Draining, Executed::No));
    assert!(not_sent.retry_after_ms.is_some());

    for executed in [Executed::Unknown, Executed::Yes] {
        let e = interruption(executed);
        assert_eq!((e.code, e.code.status(), e.executed), (Code::HostStopped, 502, executed));
        assert_eq!(e.retry_after_ms, None);
    }
}
