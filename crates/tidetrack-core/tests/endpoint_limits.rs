//! Limits that endpoints name: the sum over the hosts of fleets of all sizes, and how a limit ends.

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

/// Time after which hosts in touch know what one of them learned, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// The time over which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// The endpoint that names a limit.
const LIMITED: &str = "o1";

/// Requests in a window that are allowed, as the users' pages have it.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

fn live_at(fleet: &Fleet, host: usize) -> Arc<EndpointState> {
    let view = fleet.hosts[host].view.as_ref().expect("a view");
    let service = &view.services[&id::<ServiceId>("llm")];
    let limited: EndpointId = id(LIMITED);
    let found = service.stable_pool.endpoints().iter().find(|e| e.id == limited);
    found.expect("the endpoint is listed").state.clone()
}

/// Lets hosts send to the endpoint whatever they may for some time; its answers name `limit`. Gets when requests came.
fn send(fleet: &mut Fleet, for_ms: u64, limit: Option<f64>) -> Vec<u64> {
    let until = fleet.now + for_ms;
    let mut came = Vec::new();
    while fleet.now < until {
        for host in 0..fleet.hosts.len() {
            if fleet.suspended.contains(&host) {
                continue;
            }
            let live = live_at(fleet, host);
            let has_request = fleet.rng.random::<f64>() < 0.5;
            if !has_request || !live.can_send(Millis(fleet.now)) {
                continue;
            }
            live.record_send(Millis(fleet.now));
            came.push(fleet.now);
            let named = limit.map(Rate);
            if live.update_reported_limit(named) {
                fleet.handle_input(host, Input::LimitReported(id(LIMITED), named));
            }
        }
        fleet.run(fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
    }
    came
}

fn most_in_window(came: &[u64], from: u64) -> usize {
    let after: Vec<u64> = came.iter().copied().filter(|at| *at >= from).collect();
    let within = |at: &u64| after.iter().filter(|a| (*at..*at + WINDOW_MS).contains(a)).count();
    after.iter().map(within).max().unwrap_or(0)
}

/// Guards against shares that add up to more than the limit.
#[test]
fn all_hosts_together_keep_to_a_limit_in_fleets_of_all_sizes() {
    for (hosts, limit) in [(7, 1.0), (7, 20.0), (67, 1.6), (67, 30.0), (295, 1.0), (295, 20.0)] {
        let mut fleet = Fleet::start(hosts, 3);
        fleet.run(4_000, |_, _| {});
        let named_at = fleet.now;

        let came = send(&mut fleet, 12_000, Some(limit));

        let most = most_in_window(&came, named_at + CONTACT_MS);
        let least = limit * WINDOW_MS as f64 / 1_000.0 * 0.5;
        println!("{hosts} hosts, {limit} a second: {most} in 4 s, {} allowed", allowed(limit));
        assert!(most <= allowed(limit), "{hosts} hosts, {limit} a second: {most}");
        assert!(most as f64 >= least, "{hosts} hosts, {limit} a second: {most}");
    }
}

#[test]
fn a_limit_ends_for_all_hosts_when_an_answer_names_none() {
    let mut fleet = Fleet::start(67, 4);
    fleet.run(4_000, |_, _| {});
    send(&mut fleet, 5_000, Some(2.0));

    send(&mut fleet, CONTACT_MS, None);

    let now = Millis(fleet.now);
    let may_send = (0..67).filter(|host| live_at(&fleet, *host).can_send(now)).count();
    assert_eq!(may_send, 67);
}

/// Guards against a limit that stays for ever where the hosts that held its shares are gone.
#[test]
fn other_hosts_take_over_the_share_of_one_that_ended() {
    let mut fleet = Fleet::start(7, 5);
    fleet.run(4_000, |_, _| {});
    send(&mut fleet, 4_000, Some(1.0));
    let now = Millis(fleet.now);
    let holds = |fleet: &Fleet, host: usize| live_at(fleet, host).next_send_at(now).is_some();
    let holder = (0..7).find(|host| holds(&fleet, *host)).expect("a host has the share");

    fleet.restart(holder);
    let came = send(&mut fleet, 12_000, Some(1.0));

    let most = most_in_window(&came, fleet.now - 12_000 + CONTACT_MS);
    assert!((3..=allowed(1.0)).contains(&most), "{most}");
}

/// Guards against a machine that takes all shares after a suspension, as it has lost sight of all other hosts.
#[test]
fn a_host_that_was_suspended_leaves_the_others_their_shares() {
    for (hosts, limit) in [(7, 1.0), (67, 4.0), (295, 4.0)] {
        let mut fleet = Fleet::start(hosts, 7);
        fleet.run(4_000, |_, _| {});
        send(&mut fleet, 4_000, Some(limit));
        fleet.suspended = (0..hosts as usize).step_by(4).collect();
        send(&mut fleet, 8_000, Some(limit));

        fleet.suspended.clear();
        let resumed_at = fleet.now;
        let came = send(&mut fleet, CONTACT_MS + 2 * WINDOW_MS, Some(limit));

        let (at_once, most) =
            (most_in_window(&came, resumed_at), most_in_window(&came, resumed_at + CONTACT_MS));
        println!("{hosts} hosts, {limit} a second: {at_once} in 4 s at first, then {most}");
        assert!(at_once <= allowed(limit), "{hosts} hosts, {limit} a second: {at_once} at once");
        assert!(most <= allowed(limit), "{hosts} hosts, {limit} a second: {most}");
    }
}

/// Guards against a limit that each part of a fleet takes as a whole, once a cut has parted them.
#[test]
fn a_few_hosts_that_are_cut_off_do_not_take_the_whole_limit() {
    for (hosts, limit) in [(7, 4.0), (67, 8.0), (295, 20.0)] {
        let mut fleet = Fleet::start(hosts, 8);
        fleet.run(4_000, |_, _| {});
        send(&mut fleet, 4_000, Some(limit));
        fleet.partitioned = (0..hosts as usize * 2 / 5).collect();

        let came = send(&mut fleet, 20_000, Some(limit));

        let most = most_in_window(&came, fleet.now - 20_000);
        println!("{hosts} hosts, {limit} a second: {most} in 4 s, {} allowed", allowed(limit));
        assert!(most <= allowed(limit), "{hosts} hosts, {limit} a second: {most}");
    }
}

#[test]
fn a_pool_that_takes_no_more_for_now_refuses_at_once_with_the_time_of_the_next_send() {
    let mut fleet = Fleet::start(1, 6);
    fleet.run(1_000, |_, _| {});
    let now = Millis(fleet.now);
    let view = fleet.hosts[0].view.clone().expect("a view");
    let service = &view.services[&id::<ServiceId>("llm")];
    for endpoint in service.pool(ReleaseTrack::Stable).endpoints() {
        endpoint.state.set_send_allowance(SendAllowance::Share(Rate(2.0)));
        endpoint.state.record_send(now);
    }

    let pool = service.pool(ReleaseTrack::Stable);
    let refused = pool.pick(now, &PlacementRequest::default()).expect_err("none takes more");

    assert_eq!(refused.code, Code::Overloaded);
    assert_eq!(refused.retry_after_ms, Some(500));
    assert!(pool.pick(now + Millis(500), &PlacementRequest::default()).is_ok());
}
