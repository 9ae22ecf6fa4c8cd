//! The search for hosts that have some of their shares of the endpoints' limits left.

use tidetrack_core::ids::{HostId, ServiceId};
use tidetrack_core::traffic::idle_shares::IdleShares;
use tidetrack_core::units::Millis;

const NOW: Millis = Millis(10_000);

fn service(name: &str) -> ServiceId {
    name.parse().expect("the service id parses")
}

fn host(n: u64) -> HostId {
    format!("h-{n}").parse().expect("the host id parses")
}

#[test]
fn a_host_that_declined_is_not_asked_for_a_while() {
    let mut shares = IdleShares::default();
    let desk = service("desk");

    shares.record_decline(NOW, &desk, &host(1));

    let has_declined = |at: Millis, n: u64| shares.has_declined(at, &desk, &host(n));
    assert!(has_declined(NOW + Millis(100), 1));
    assert!(!has_declined(NOW + Millis(100), 2));
    assert!(!has_declined(NOW + Millis(300), 1));
    assert!(!shares.has_declined(NOW, &service("other"), &host(1)));
}

/// Guards against asking host after host for each request while the whole fleet is overloaded.
#[test]
fn no_host_is_asked_for_a_moment_after_several_declined() {
    for hosts in [7, 84, 295] {
        let mut shares = IdleShares::default();
        let desk = service("desk");
        let mut asked = 0;

        for ms in 0..1_000 {
            let now = NOW + Millis(ms);
            let untried = (0..hosts).find(|n| !shares.has_declined(now, &desk, &host(*n)));
            if let Some(n) = untried.filter(|_| shares.may_ask(now, &desk)) {
                shares.record_decline(now, &desk, &host(n));
                asked += 1;
            }
        }

        assert!((4..=30).contains(&asked), "{asked} of 1,000 requests asked {hosts} hosts");
    }
}
