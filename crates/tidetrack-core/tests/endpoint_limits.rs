//! Rate limits that endpoints report: the total rate of all hosts in fleets of all sizes, and how a
//! limit ends.

mod support;

use std::sync::Arc;

use rand::RngExt;

use tidetrack_core::codes::Code;
use tidetrack_core::ids::{EndpointId, ServiceId};
use tidetrack_core::placement::{EndpointState, PlacementRequest, SendAllowance};
use tidetrack_core::traffic::canary::ReleaseTrack;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::units::{Millis, Rate};

use support::fleet::{Fleet, CLOCK_STEP_MS};
use support::id;

/// Time after which connected hosts know what one of them has learned, in milliseconds.
const PROPAGATION_MS: u64 = 3_000;

/// Length of the window in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Endpoint that reports a limit.
const LIMITED_ENDPOINT: &str = "o1";

/// Returns the largest number of requests that a window may contain at a limit in requests per
/// second, as documented for users.
fn max_requests_per_window(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

fn endpoint_state_at(fleet: &Fleet, host: usize) -> Arc<EndpointState> {
    let view = fleet.hosts[host].view.as_ref().expect("a view must be published");
    let service = &view.services[&id::<ServiceId>("llm")];
    let limited: EndpointId = id(LIMITED_ENDPOINT);
    let found = service.stable_pool.endpoints().iter().find(|e| e.id == limited);
    found.expect("the limited endpoint must be in the pool").state.clone()
}

/// Makes all hosts send to the limited endpoint whenever their share permits, for `duration_ms`.
/// Its responses report `limit`, in requests per second. Returns the times at which requests were
/// sent.
fn send_requests(fleet: &mut Fleet, duration_ms: u64, limit: Option<f64>) -> Vec<u64> {
    let ends_at = fleet.now + duration_ms;
    let mut send_times = Vec::new();
    while fleet.now < ends_at {
        for host in 0..fleet.hosts.len() {
            if fleet.suspended.contains(&host) {
                continue;
            }
            let endpoint_state = endpoint_state_at(fleet, host);
            let has_request = fleet.rng.random::<f64>() < 0.5;
            if !has_request || !endpoint_state.can_send(Millis(fleet.now)) {
                continue;
            }
            endpoint_state.record_send(Millis(fleet.now));
            send_times.push(fleet.now);
            let reported_limit = limit.map(Rate);
            if endpoint_state.update_reported_limit(reported_limit) {
                fleet
                    .handle_input(host, Input::LimitReported(id(LIMITED_ENDPOINT), reported_limit));
            }
        }
        fleet.run(fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
    }
    send_times
}

fn max_in_any_window(send_times: &[u64], from: u64) -> usize {
    let sent_after: Vec<u64> = send_times.iter().copied().filter(|at| *at >= from).collect();
    let count_in_window =
        |at: &u64| sent_after.iter().filter(|a| (*at..*at + WINDOW_MS).contains(a)).count();
    sent_after.iter().map(count_in_window).max().unwrap_or(0)
}

/// Guards against shares whose sum exceeds the limit.
#[test]
fn all_hosts_together_keep_to_a_limit_in_fleets_of_all_sizes() {
    for (hosts, limit) in [(7, 1.0), (7, 20.0), (67, 1.6), (67, 30.0), (295, 1.0), (295, 20.0)] {
        let mut fleet = Fleet::start(hosts, 3);
        fleet.run(4_000, |_, _| {});
        let limit_reported_at = fleet.now;

        let send_times = send_requests(&mut fleet, 12_000, Some(limit));

        let max_count = max_in_any_window(&send_times, limit_reported_at + PROPAGATION_MS);
        let min_expected = limit * WINDOW_MS as f64 / 1_000.0 * 0.5;
        println!(
            "{hosts} hosts, limit {limit} per second: {max_count} requests in 4 s, {} allowed",
            max_requests_per_window(limit)
        );
        assert!(
            max_count <= max_requests_per_window(limit),
            "{hosts} hosts, limit {limit} per second: {max_count} requests in 4 s"
        );
        assert!(
            max_count as f64 >= min_expected,
            "{hosts} hosts, limit {limit} per second: {max_count} requests in 4 s"
        );
    }
}

#[test]
fn a_limit_ends_on_all_hosts_when_a_response_names_none() {
    let mut fleet = Fleet::start(67, 4);
    fleet.run(4_000, |_, _| {});
    send_requests(&mut fleet, 5_000, Some(2.0));

    send_requests(&mut fleet, PROPAGATION_MS, None);

    let now = Millis(fleet.now);
    let unlimited_hosts =
        (0..67).filter(|host| endpoint_state_at(&fleet, *host).can_send(now)).count();
    assert_eq!(unlimited_hosts, 67);
}

/// Guards against a limit that never ends because the hosts that held its shares are gone.
#[test]
fn other_hosts_take_over_the_share_of_a_restarted_host() {
    let mut fleet = Fleet::start(7, 5);
    fleet.run(4_000, |_, _| {});
    send_requests(&mut fleet, 4_000, Some(1.0));
    let now = Millis(fleet.now);
    let has_share =
        |fleet: &Fleet, host: usize| endpoint_state_at(fleet, host).next_send_at(now).is_some();
    let holder =
        (0..7).find(|host| has_share(&fleet, *host)).expect("one host must hold the share");

    fleet.restart(holder);
    let send_times = send_requests(&mut fleet, 12_000, Some(1.0));

    let max_count = max_in_any_window(&send_times, fleet.now - 12_000 + PROPAGATION_MS);
    assert!((3..=max_requests_per_window(1.0)).contains(&max_count), "{max_count} requests in 4 s");
}

/// Guards against a resumed host that takes all shares because it considers itself the only host
/// left.
#[test]
fn a_resumed_host_does_not_take_the_shares_of_other_hosts() {
    for (hosts, limit) in [(7, 1.0), (67, 4.0), (295, 4.0)] {
        let mut fleet = Fleet::start(hosts, 7);
        fleet.run(4_000, |_, _| {});
        send_requests(&mut fleet, 4_000, Some(limit));
        fleet.suspended = (0..hosts as usize).step_by(4).collect();
        send_requests(&mut fleet, 8_000, Some(limit));

        fleet.suspended.clear();
        let resumed_at = fleet.now;
        let send_times = send_requests(&mut fleet, PROPAGATION_MS + 2 * WINDOW_MS, Some(limit));

        let (max_after_resume, max_count) = (
            max_in_any_window(&send_times, resumed_at),
            max_in_any_window(&send_times, resumed_at + PROPAGATION_MS),
        );
        println!(
            "{hosts} hosts, limit {limit} per second: {max_after_resume} requests in 4 s after \
             the resume, then {max_count}"
        );
        assert!(
            max_after_resume <= max_requests_per_window(limit),
            "{hosts} hosts, limit {limit} per second: {max_after_resume} requests in 4 s \
             after the resume"
        );
        assert!(
            max_count <= max_requests_per_window(limit),
            "{hosts} hosts, limit {limit} per second: {max_count} requests in 4 s"
        );
    }
}

/// Guards against a network partition in which both parts of the fleet use the full limit.
#[test]
fn partitioned_hosts_do_not_use_the_full_limit_on_both_sides() {
    for (hosts, limit) in [(7, 4.0), (67, 8.0), (295, 20.0)] {
        let mut fleet = Fleet::start(hosts, 8);
        fleet.run(4_000, |_, _| {});
        send_requests(&mut fleet, 4_000, Some(limit));
        fleet.partitioned = (0..hosts as usize * 2 / 5).collect();

        let send_times = send_requests(&mut fleet, 20_000, Some(limit));

        let max_count = max_in_any_window(&send_times, fleet.now - 20_000);
        println!(
            "{hosts} hosts, limit {limit} per second: {max_count} requests in 4 s, {} allowed",
            max_requests_per_window(limit)
        );
        assert!(
            max_count <= max_requests_per_window(limit),
            "{hosts} hosts, limit {limit} per second: {max_count} requests in 4 s"
        );
    }
}

#[test]
fn a_pool_at_its_limit_refuses_at_once_with_the_time_of_the_next_send() {
    let mut fleet = Fleet::start(1, 6);
    fleet.run(1_000, |_, _| {});
    let now = Millis(fleet.now);
    let view = fleet.hosts[0].view.clone().expect("a view must be published");
    let service = &view.services[&id::<ServiceId>("llm")];
    for endpoint in service.pool(ReleaseTrack::Stable).endpoints() {
        endpoint.state.set_send_allowance(SendAllowance::Share(Rate(2.0)));
        endpoint.state.record_send(now);
    }

    let pool = service.pool(ReleaseTrack::Stable);
    let refused = pool
        .pick(now, &PlacementRequest::default())
        .expect_err("all endpoints must be at their limit");

    assert_eq!(refused.code, Code::Overloaded);
    assert_eq!(refused.retry_after_ms, Some(500));
    assert!(pool.pick(now + Millis(500), &PlacementRequest::default()).is_ok());
}
