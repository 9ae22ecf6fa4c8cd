//! Placement of long and short attempts: short ones must not end up beside long ones while both kinds
//! have room of their own, and neither may be refused for it.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use tidetrack_core::placement::probing::needs_probe;
use tidetrack_core::placement::{
    ring_position_of, AttemptLength, EndpointState, LengthMix, PlacementRequest, PlacementTiming,
    PoolEndpoint, PoolView, SentWork, Slowdown,
};
use tidetrack_core::units::{Millis, Tokens};

use support::id;

const NOW: Millis = Millis(60_000);

fn pool(endpoints: usize) -> PoolView {
    let endpoint = |i: usize| PoolEndpoint {
        id: id(&format!("e{i:03}")),
        address: format!("10.0.0.{i}:80"),
        failure_domain: id(&format!("d{}", i % 4)),
        state: Arc::new(EndpointState::default()),
    };
    PoolView::new((0..endpoints).map(endpoint).collect(), 12)
}

/// A mix in which long attempts have three fifths of the work.
fn mix() -> LengthMix {
    let mut mix = LengthMix::default();
    let sent = |length, seconds, tokens| SentWork { length, seconds, tokens, weight: 1.0 };
    for _ in 0..10 {
        mix.record(NOW, sent(AttemptLength::Long, 0.3, 1_200.0));
        (0..10).for_each(|_| mix.record(NOW, sent(AttemptLength::Short, 0.02, 80.0)));
    }
    mix
}

fn pick(pool: &PoolView, mix: &LengthMix, length: AttemptLength, number: u64) -> String {
    let (own_work, reread_work) = match length {
        AttemptLength::Long => (1_200.0, 500),
        AttemptLength::Short => (80.0, 20),
    };
    let name = format!("request {number}");
    let request = PlacementRequest {
        ring_position: ring_position_of(name.as_bytes()),
        salt: ring_position_of(name.as_bytes()),
        required_tokens: Tokens(0),
        reread_work,
        timing: Some(PlacementTiming { own_work, separation: mix.separation(length) }),
        ..PlacementRequest::default()
    };
    pool.pick(NOW, &request).expect("an endpoint is picked").id.to_string()
}

#[test]
fn short_attempts_are_not_placed_beside_long_ones_while_there_is_room() {
    let (pool, mix) = (pool(112), mix());

    let long: BTreeSet<String> =
        (0..300).map(|n| pick(&pool, &mix, AttemptLength::Long, n)).collect();
    let short: BTreeSet<String> =
        (0..300).map(|n| pick(&pool, &mix, AttemptLength::Short, n)).collect();

    assert!(long.is_disjoint(&short), "{:?}", long.intersection(&short).collect::<Vec<_>>());
    assert!(long.len() > 30 && short.len() > 30, "long {}, short {}", long.len(), short.len());
}

#[test]
fn hosts_with_other_traffic_agree_about_nearly_all_endpoints() {
    let (pool, mix) = (pool(112), mix());
    let mut other_mix = mix.clone();
    let sent = SentWork { length: AttemptLength::Short, seconds: 0.4, tokens: 80.0, weight: 1.0 };
    other_mix.record(NOW, sent);

    let long: BTreeSet<String> =
        (0..300).map(|n| pick(&pool, &mix, AttemptLength::Long, n)).collect();
    let other_short: BTreeSet<String> =
        (0..300).map(|n| pick(&pool, &other_mix, AttemptLength::Short, n)).collect();

    assert!(long.intersection(&other_short).count() <= 4);
}

#[test]
fn long_attempts_use_the_other_set_when_their_own_is_much_busier() {
    let (pool, mix) = (pool(112), mix());
    let long: BTreeSet<String> =
        (0..300).map(|n| pick(&pool, &mix, AttemptLength::Long, n)).collect();
    for e in pool.endpoints().iter().filter(|e| long.contains(e.id.as_str())) {
        e.state.begin_work(20_000);
    }

    let picked = pick(&pool, &mix, AttemptLength::Long, 1_000);

    assert!(!long.contains(&picked), "{picked} is a busy endpoint");
}

#[test]
fn requests_are_served_by_either_set_after_the_loss_of_the_other() {
    let (pool, mix) = (pool(112), mix());
    let short: BTreeSet<String> =
        (0..300).map(|n| pick(&pool, &mix, AttemptLength::Short, n)).collect();
    for e in pool.endpoints().iter().filter(|e| short.contains(e.id.as_str())) {
        e.state.set_leaving(true);
    }

    let picked = pick(&pool, &mix, AttemptLength::Short, 1_000);

    assert!(!short.contains(&picked));
}

#[test]
fn endpoints_are_not_separated_without_long_attempts() {
    let mut mix = LengthMix::default();
    let sent = SentWork { length: AttemptLength::Short, seconds: 0.02, tokens: 80.0, weight: 1.0 };
    (0..100).for_each(|_| mix.record(NOW, sent));

    assert!(mix.separation(AttemptLength::Short).is_none());
}

#[test]
fn a_slow_endpoint_does_not_get_a_request_that_an_equally_busy_fast_one_can_take() {
    let pool = pool(8);
    let slow: BTreeSet<String> =
        pool.endpoints().iter().take(4).map(|e| e.id.to_string()).collect();
    for e in pool.endpoints().iter().take(4) {
        e.state.record_reported_slowdown(NOW, Slowdown::from_percent(250));
    }
    let mix = LengthMix::default();

    let picked: BTreeSet<String> =
        (0..100).map(|n| pick(&pool, &mix, AttemptLength::Long, n)).collect();

    assert!(picked.is_disjoint(&slow), "{picked:?}");
}

#[test]
fn only_long_attempts_at_endpoints_without_a_fresh_report_are_probed() {
    let (known, unknown) = (EndpointState::default(), EndpointState::default());
    known.record_load_report(NOW, 40, Tokens(0));

    assert!(needs_probe(NOW, AttemptLength::Long, &unknown));
    assert!(!needs_probe(NOW, AttemptLength::Short, &unknown));
    assert!(!needs_probe(NOW, AttemptLength::Long, &known));
    assert!(needs_probe(NOW + Millis(500), AttemptLength::Long, &known));
}
