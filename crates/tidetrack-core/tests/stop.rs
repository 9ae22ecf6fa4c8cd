//! Planned stops of a host: their stages, and what interrupted requests are told.

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::ids::RouteId;
use tidetrack_core::traffic::response_times::ResponseTimes;
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

/// Guards against requests that a stopping host sends although it has to interrupt them.
#[test]
fn a_request_is_sent_during_a_stop_only_if_it_usually_ends_before_the_interruption() {
    let schedule = StopSchedule::new(Millis(8_000));
    let check = |elapsed, usual: Option<u64>, time_left| {
        schedule.check_time(Millis(elapsed), usual.map(Millis), Millis(time_left)).is_ok()
    };

    assert!(check(0, Some(7_400), 11_000));
    assert!(!check(0, Some(7_401), 11_000));
    assert!(check(900, Some(6_500), 11_000));
    assert!(!check(901, Some(6_500), 11_000));
    // The deadline ends it before.
    assert!(check(2_000, Some(6_500), 5_000));
    // Nothing is known about its time.
    assert!(check(2_000, None, 11_000));
    assert!(!check(7_401, None, 11_000));
}

#[test]
fn the_usual_time_covers_nearly_all_of_the_latest_responses_of_a_route() {
    let (slow, quick): (RouteId, RouteId) =
        ("slow".parse().expect("a name"), "quick".parse().expect("a name"));
    let mut times = ResponseTimes::default();
    assert_eq!(times.usual(&slow), None);

    times.record(&slow, Millis(6_000));
    times.record(&slow, Millis(6_500));
    assert_eq!(times.usual(&slow), Some(Millis(6_500)));

    (0..100).for_each(|n| times.record(&quick, Millis(10 + n % 10)));
    assert_eq!(times.usual(&quick), Some(Millis(19)));
    // One slow response among many is not usual.
    times.record(&quick, Millis(9_000));
    assert!(times.usual(&quick) < Some(Millis(20)));
    (0..31).for_each(|_| times.record(&quick, Millis(9_000)));
    assert_eq!(times.usual(&quick), Some(Millis(9_000)));
}
