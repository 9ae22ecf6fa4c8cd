//! Endpoints that fail much more than the rest of their pool: many hosts, each of which sees a few
//! answers, find them together.

mod support;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_core::ids::ServiceId;
use tidetrack_core::placement::{ring_position_of, PlacementRequest};
use tidetrack_core::traffic::control::Input;
use tidetrack_core::units::{Millis, Tokens};

use support::fleet::{Fleet, CLOCK_STEP_MS};
use support::{endpoint_record, id};

/// Share of the answers that a grey endpoint loses.
const LOST_ANSWERS: f64 = 0.35;

/// How requests of a fleet went.
#[derive(Clone, Copy, Debug, Default)]
struct Went {
    sent: u32,
    failed: u32,
    to_grey: u32,
}

/// A fleet whose hosts send requests to one pool.
struct Callers {
    fleet: Fleet,
    draws: StdRng,
    /// Names of the endpoints that fail.
    grey: Vec<String>,
    /// Share of the answers that every endpoint fails.
    usual: f64,
}

impl Callers {
    fn start(hosts: u32, endpoints: usize) -> Callers {
        let mut fleet = Fleet::start(hosts, 7);
        for i in 0..hosts as usize {
            let records = (0..endpoints).map(|n| endpoint_record(&format!("e{n}"), "v1")).collect();
            fleet.handle_input(i, Input::EndpointList(records));
        }
        fleet.run(4_000, |_, _| {});
        Callers { fleet, draws: StdRng::seed_from_u64(8), grey: Vec::new(), usual: 0.0 }
    }

    fn grey(mut self, names: &[&str]) -> Callers {
        self.grey = names.iter().map(|n| n.to_string()).collect();
        self
    }

    /// Lets time pass while each host sends so many requests a second.
    fn run(&mut self, ms: u64, a_second: f64) -> Went {
        let until = self.fleet.now + ms;
        let mut went = Went::default();
        while self.fleet.now < until {
            self.fleet.run(self.fleet.now + CLOCK_STEP_MS as u64, |_, _| {});
            for host in 0..self.fleet.hosts.len() {
                if self.draws.random::<f64>() < a_second * CLOCK_STEP_MS as f64 / 1_000.0 {
                    self.send(host, &mut went);
                }
            }
        }
        went
    }

    fn send(&mut self, host: usize, went: &mut Went) {
        let now = Millis(self.fleet.now);
        let view = self.fleet.hosts[host].view.clone().expect("a view");
        let salt = self.draws.random::<u64>();
        let ask = PlacementRequest {
            ring_position: ring_position_of(&salt.to_le_bytes()),
            salt,
            required_tokens: Tokens(0),
            tried: &[],
            priority: 0,
            ..PlacementRequest::default()
        };
        let pool = &view.services[&id::<ServiceId>("llm")].stable_pool;
        let picked = pool.pick(now, &ask).expect("an endpoint");
        let is_grey = self.grey.iter().any(|g| g == picked.id.as_str());
        let lost = if is_grey { LOST_ANSWERS } else { self.usual };
        let failed = self.draws.random::<f64>() < lost;
        picked.state.record_outcome(now, !failed);
        went.sent += 1;
        went.failed += u32::from(failed);
        went.to_grey += u32::from(is_grey);
    }

    /// Counts the endpoints that a host avoids.
    fn avoided(&self, host: usize) -> usize {
        let view = self.fleet.hosts[host].view.as_ref().expect("a view");
        let pool = &view.services[&id::<ServiceId>("llm")].stable_pool;
        let now = Millis(self.fleet.now);
        pool.endpoints().iter().filter(|e| e.state.is_ejected(now)).count()
    }
}

#[test]
fn a_large_fleet_leaves_endpoints_that_lose_a_third_of_their_answers() {
    let mut callers = Callers::start(83, 8).grey(&["e1", "e4", "e6"]);

    let first = callers.run(1_500, 3.0);
    let later = callers.run(4_000, 3.0);

    assert!(first.to_grey > 50, "{first:?}");
    let share = f64::from(later.to_grey) / f64::from(later.sent);
    assert!(share < 0.15, "{later:?}, {share:.2} of them to endpoints that lose answers");
}

#[test]
fn it_leaves_them_also_where_every_endpoint_fails_some_requests() {
    let mut callers = Callers::start(83, 8).grey(&["e1", "e4", "e6"]);
    callers.usual = 0.09;

    callers.run(1_500, 3.0);
    let later = callers.run(4_000, 3.0);

    let share = f64::from(later.to_grey) / f64::from(later.sent);
    assert!(share < 0.2, "{later:?}, {share:.2} of them to endpoints that lose answers");
}

#[test]
fn a_small_fleet_leaves_them_too() {
    let mut callers = Callers::start(9, 8).grey(&["e2"]);

    callers.run(1_500, 10.0);
    let later = callers.run(4_000, 10.0);

    let share = f64::from(later.to_grey) / f64::from(later.sent);
    assert!(share < 0.06, "{later:?}, {share:.2} of them to endpoints that lose answers");
}

#[test]
fn failures_that_all_endpoints_share_drive_nobody_away() {
    let mut callers = Callers::start(12, 8);
    callers.usual = 0.3;

    callers.run(6_000, 6.0);

    // Some failures in a row by chance still eject for a moment.
    let avoided = (0..12).map(|host| callers.avoided(host)).sum::<usize>();
    assert!(avoided <= 12, "{avoided} endpoints avoided by 12 hosts");
}

#[test]
fn one_host_that_cannot_reach_an_endpoint_drives_no_other_away() {
    let mut callers = Callers::start(9, 8);
    let now = Millis(callers.fleet.now);
    let view = callers.fleet.hosts[0].view.clone().expect("a view");
    let pool = &view.services[&id::<ServiceId>("llm")].stable_pool;

    (0..40).for_each(|_| pool.endpoints()[3].state.record_outcome(now, false));
    callers.run(1_000, 2.0);

    assert_eq!((1..9).map(|host| callers.avoided(host)).sum::<usize>(), 0);
}

#[test]
fn an_endpoint_that_is_well_again_is_used_again() {
    let mut callers = Callers::start(9, 8).grey(&["e2"]);
    callers.run(3_000, 10.0);
    callers.grey.clear();

    callers.run(9_000, 10.0);

    assert_eq!((0..9).map(|host| callers.avoided(host)).sum::<usize>(), 0);
    callers.grey.push("e2".into());
    let used = callers.run(500, 10.0);
    assert!(used.to_grey > 0, "{used:?}");
}
