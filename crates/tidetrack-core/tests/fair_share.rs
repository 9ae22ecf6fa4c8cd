//! Fair shares of workspaces in a contended service.

mod support;

use tidetrack_core::ids::{ServiceId, WorkspaceId};
use tidetrack_core::traffic::fair_share::{sum_reports, FairShares, WorkspaceKey};
use tidetrack_core::units::Millis;

use support::id;
use support::overload_simulation::{rate, simulate, Scenario};

/// Share of other workspaces' requests that may be lost although the service has room for them.
const MAX_LOSS: f64 = 0.05;

const FLEETS: [usize; 3] = [4, 67, 295];

fn service() -> ServiceId {
    id("plain")
}

fn workspace(n: usize) -> WorkspaceKey {
    WorkspaceKey::from(&id::<WorkspaceId>(&format!("workspace-{n}")))
}

/// Returns shares in which ten workspaces have requested the same, and the first ten times as much.
fn shares_with_one_hot_workspace(now: Millis) -> FairShares {
    let mut shares = FairShares::default();
    for n in 0..10 {
        for rank in 0..2 {
            let work = if n == 0 { 5_000.0 } else { 500.0 };
            shares.record(now, &service(), workspace(n), rank, work);
        }
    }
    shares
}

#[test]
fn with_room_no_workspace_is_held_back() {
    let now = Millis(1_000);
    let mut shares = shares_with_one_hot_workspace(now);

    let estimate = shares.estimate(now, &service(), workspace(0), 1, 1.0);

    assert_eq!(estimate.excess, 0.0);
    assert!(!estimate.is_above());
}

#[test]
fn a_workspace_above_its_share_gives_way_with_its_less_urgent_requests_first() {
    let now = Millis(1_000);
    let mut shares = shares_with_one_hot_workspace(now);

    // 13,300 of 19,000 can be done: 9,000 for the others, and 4,300 of the 10,000.
    let urgent = shares.estimate(now, &service(), workspace(0), 0, 0.7);
    let less_urgent = shares.estimate(now, &service(), workspace(0), 1, 0.7);
    let other = shares.estimate(now, &service(), workspace(1), 1, 0.7);

    assert!(urgent.is_above());
    assert_eq!(less_urgent.excess, 1.0);
    assert!((urgent.excess - 0.14).abs() < 0.01, "{urgent:?}");
    assert_eq!(other.excess, 0.0);
}

#[test]
fn workspaces_that_request_the_same_are_not_above_their_shares() {
    let (now, mut shares) = (Millis(1_000), FairShares::default());
    (0..10).for_each(|n| shares.record(now, &service(), workspace(n), 0, 1_000.0));

    let estimate = shares.estimate(now, &service(), workspace(3), 0, 0.5);

    assert!(!estimate.is_above(), "{estimate:?}");
    assert_eq!(estimate.excess, 0.0);
}

#[test]
fn a_surge_that_reaches_other_hosts_is_recognized_and_old_reports_lose_weight() {
    let now = Millis(1_000);
    let mut own = FairShares::default();
    (0..10).for_each(|n| own.record(now, &service(), workspace(n), 0, 1_000.0));
    let reports = shares_with_one_hot_workspace(now).reports(now);
    let mut estimate = |age: Millis| {
        let received = reports.iter().map(|r| (r, age));
        own.set_remote(now, || sum_reports(received));
        own.estimate(now + Millis(100), &service(), workspace(0), 0, 0.5)
    };

    let recent = estimate(Millis(200));
    let old = estimate(Millis(60_000));

    assert!(recent.is_above(), "{recent:?}");
    assert!(!old.is_above(), "{old:?}");
}

#[test]
fn reports_name_few_workspaces_however_many_there_are() {
    let (now, mut shares) = (Millis(1_000), FairShares::default());
    for n in 0..2_000 {
        let service = id(&format!("service-{}", n % 3));
        shares.record(now, &service, workspace(n), 0, 100.0 + n as f64);
    }

    let reports = shares.reports(now);

    let named: usize = reports.iter().map(|r| r.largest.len()).sum();
    assert!(named <= 6, "{named}");
    assert!(shares.reports(now + Millis(120_000)).is_empty(), "idle workspaces are kept");
}

#[test]
fn a_surging_workspace_does_not_crowd_out_the_others() {
    for hosts in FLEETS {
        // The others ask for less than the capacity, and the first one for more than is left.
        let scenario = Scenario { surge: 0.6, hot_factor: 40.0, ..Scenario::new(hosts) };

        let outcome = simulate(&scenario);

        println!("{hosts} hosts: hot {}, others {}", rate(outcome.hot), rate(outcome.others));
        assert!(rate(outcome.others) >= 1.0 - MAX_LOSS, "{hosts}: {}", rate(outcome.others));
    }
}

#[test]
fn in_an_overload_a_workspace_with_ten_times_its_usual_is_not_served_more_than_others() {
    for hosts in FLEETS {
        let scenario = Scenario { surge: 1.7, hot_factor: 10.0, ..Scenario::new(hosts) };

        let outcome = simulate(&scenario);

        let (hot, others) = (rate(outcome.hot), rate(outcome.others));
        println!("{hosts} hosts: hot {hot}, others {others}");
        assert!(hot <= others, "{hosts} hosts: {hot} of the hot workspace, {others} of the others");
    }
}

#[test]
fn a_failure_halfway_does_not_leave_the_others_to_a_surging_workspace() {
    for hosts in FLEETS {
        // Half of the capacity is left, which is enough for the others.
        let scenario = Scenario {
            usual: 0.4,
            surge: 0.4,
            hot_factor: 40.0,
            hosts_deaf_from: Some(8_000),
            endpoints_lost_from: Some(8_000),
            ..Scenario::new(hosts)
        };

        let outcome = simulate(&scenario);

        let (hot, others) = (rate(outcome.hot), rate(outcome.others));
        println!("{hosts} hosts: hot {hot}, others {others}");
        assert!(hot <= others, "{hosts} hosts: {hot} of the hot workspace, {others} of the others");
    }
}
