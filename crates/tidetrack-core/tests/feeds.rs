//! From which source a host fetches missing changes, and when it fetches them again.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use tidetrack_core::ids::{EndpointId, ServiceId};
use tidetrack_core::placement::hash_fraction;
use tidetrack_core::traffic::control::{Action, Input};
use tidetrack_core::traffic::feeds::{
    FeedKind, FeedTracker, Fetch, FetchSource, ReplyLimiter, Revisions,
};
use tidetrack_core::traffic::freshness::Freshness;
use tidetrack_core::traffic::stagger::stagger_delay;
use tidetrack_core::units::{Bandwidth, Millis};

use support::{catalog, id, last_published_view, state_with_endpoints, state_without_rollout};

/// Interval between the messages in which other hosts report the change, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 50;

fn reporting_host() -> SocketAddr {
    "10.1.0.7:7340".parse().expect("the address parses")
}

/// Returns the feeds of a host that knows all changes of the configuration up to revision 10.
fn caught_up_feeds() -> FeedTracker {
    let mut feeds = FeedTracker::default();
    feeds.record_complete(Millis(0), FeedKind::Catalog, 10, Some(10));
    feeds
}

/// Reports revision 12 of the configuration at each interval in `from..to`. Returns the fetches and
/// their times in milliseconds.
fn report_revision(
    feeds: &mut FeedTracker,
    from: u64,
    to: u64,
    mut before_report: impl FnMut(&mut FeedTracker, u64),
) -> Vec<(u64, Fetch)> {
    let mut reported = Revisions::default();
    reported.raise(FeedKind::Catalog, 12);
    let mut fetches = Vec::new();
    for now in (from..to).step_by(REPORT_INTERVAL_MS as usize) {
        before_report(feeds, now);
        let host_fetches = feeds.receive_revisions(Millis(now), &reported, reporting_host(), true);
        fetches.extend(
            host_fetches.into_iter().chain(feeds.due_store_reads(Millis(now))).map(|c| (now, c)),
        );
    }
    fetches
}

#[test]
fn a_change_that_is_being_received_is_not_requested_again() {
    let mut feeds = caught_up_feeds();

    // A part of a large reply arrives over a slow link every 200 ms, for three seconds.
    let fetches = report_revision(&mut feeds, 0, 3_000, |feeds, now| {
        if now > 0 && now % 200 == 0 {
            feeds.record_incoming(Millis(now), FeedKind::Catalog);
        }
    });

    let first_fetch =
        Fetch { kind: FeedKind::Catalog, after: 10, source: FetchSource::Host(reporting_host()) };
    assert_eq!(fetches, vec![(0, first_fetch)]);
}

#[test]
fn a_stalled_reply_is_requested_from_another_source() {
    let mut feeds = caught_up_feeds();

    let fetches = report_revision(&mut feeds, 0, 3_000, |feeds, now| {
        if now == 200 || now == 400 {
            feeds.record_incoming(Millis(now), FeedKind::Catalog);
        }
    });

    let second_fetch = fetches.get(1).expect("a second fetch is made");
    assert!((800..=900).contains(&second_fetch.0), "second fetch at the wrong time: {fetches:?}");
}

#[test]
fn requests_alternate_between_hosts_and_the_store_while_all_fail() {
    let mut feeds = caught_up_feeds();

    let fetches = report_revision(&mut feeds, 0, 2_000, |_, _| {});

    let are_store_reads: Vec<bool> =
        fetches.iter().map(|(_, c)| c.source == FetchSource::Store).collect();
    assert_eq!(
        are_store_reads,
        [false, false, true, false, true],
        "store read in the wrong places: {fetches:?}"
    );
}

/// Guards against needless reads of the store while endpoints start or leave one after another: 295
/// hosts made 801 such reads in a day, although no host had failed to relay the changes. A host
/// that received some changes already lacked later ones, and these were treated as missing since
/// the first change was missing.
#[test]
fn the_store_is_not_read_while_other_hosts_relay_consecutive_changes() {
    let mut feeds = caught_up_feeds();
    let mut sources = Vec::new();

    for now in (0..4_000).step_by(REPORT_INTERVAL_MS as usize) {
        let mut reported = Revisions::default();
        reported.raise(FeedKind::Catalog, 12 + now / REPORT_INTERVAL_MS);
        let host_fetches = feeds.receive_revisions(Millis(now), &reported, reporting_host(), true);
        sources.extend(
            host_fetches.into_iter().chain(feeds.due_store_reads(Millis(now))).map(|c| c.source),
        );
        // The reply lacks the newest change, which was made after the reply was sent.
        if now % 200 == 0 {
            feeds.record_complete(
                Millis(now),
                FeedKind::Catalog,
                11 + now / REPORT_INTERVAL_MS,
                None,
            );
        }
    }

    assert!(sources.len() > 5, "too few fetches: {sources:?}");
    assert!(!sources.contains(&FetchSource::Store), "fetched from the store: {sources:?}");
}

#[test]
fn a_change_of_another_kind_does_not_wait_for_a_large_one() {
    let mut feeds = caught_up_feeds();
    feeds.record_complete(Millis(0), FeedKind::Endpoints, 10, Some(10));
    feeds.record_incoming(Millis(0), FeedKind::Catalog);

    let mut reported = Revisions::default();
    reported.raise(FeedKind::Endpoints, 11);
    let fetches = feeds.receive_revisions(Millis(50), &reported, reporting_host(), true);

    assert_eq!(fetches.len(), 1, "not one fetch: {fetches:?}");
}

#[test]
fn endpoints_are_read_up_to_the_seen_store_revision_unless_a_host_relays_them_first() {
    let mut feeds = caught_up_feeds();
    feeds.record_complete(Millis(0), FeedKind::Endpoints, 10, Some(10));
    feeds.record_store_revision(Millis(0), 12, true);
    let mut already_updated = feeds.clone();
    let due = |feeds: &mut FeedTracker| -> Vec<(u64, Fetch)> {
        let due = |now| feeds.due_store_reads(Millis(now)).into_iter().map(move |c| (now, c));
        (0..1_000).step_by(REPORT_INTERVAL_MS as usize).flat_map(due).collect()
    };

    already_updated.record_complete(Millis(100), FeedKind::Endpoints, 12, Some(11));

    let store_read = Fetch { kind: FeedKind::Endpoints, after: 10, source: FetchSource::Store };
    assert_eq!(due(&mut feeds).first(), Some(&(400, store_read)));
    assert_eq!(due(&mut already_updated), Vec::new());
}

/// Guards against many hosts reading the store at once: after a partition of 104 of 295 hosts had
/// ended, 204 hosts read the roll-outs from the store within two seconds, to learn about the
/// versions of the returning endpoints. Each queried the watcher once, and read the store itself if
/// the watcher did not have the revision yet.
#[test]
fn a_required_revision_is_requested_from_hosts_that_have_it_before_the_store() {
    let mut feeds = FeedTracker::default();
    feeds.record_complete(Millis(0), FeedKind::Rollouts, 10, Some(10));
    feeds.request_revision(Millis(0), FeedKind::Rollouts, 12, Some(Millis(600)));
    let mut fetches = Vec::new();

    for now in (0..2_000).step_by(REPORT_INTERVAL_MS as usize) {
        let is_revision_available = now >= 1_200;
        let find_holder =
            |_, revision| (is_revision_available && revision == 12).then(reporting_host);
        let host_queries = feeds.due_host_queries(Millis(now), find_holder);
        fetches.extend(
            host_queries
                .into_iter()
                .chain(feeds.due_store_reads(Millis(now)))
                .map(|c| (now, c.source)),
        );
    }

    assert_eq!(
        fetches[0].1,
        FetchSource::Host(reporting_host()),
        "not fetched from the reporting host: {fetches:?}"
    );
    assert!((1_200..1_700).contains(&fetches[0].0), "first fetch at the wrong time: {fetches:?}");
    let first_store_read = fetches.iter().find(|(_, source)| *source == FetchSource::Store);
    assert!(
        first_store_read.is_some_and(|(at, _)| *at >= 1_500),
        "store not read, or too early: {fetches:?}"
    );
}

/// In a large fleet, one host in ten has sent its request by the time the first response has
/// reached all hosts, and all hosts may send theirs within a second.
#[test]
fn few_of_many_hosts_send_a_request_at_once() {
    for (hosts, max_early) in [(1, 1), (7, 7), (90, 18), (295, 29), (540, 54)] {
        let fractions = (0..hosts).map(|n| hash_fraction("ask", &format!("host-{n}")));
        let delays: Vec<Millis> =
            fractions.map(|fraction| stagger_delay(fraction, hosts)).collect();

        let early = delays.iter().filter(|delay| **delay <= Millis(450)).count();
        assert!((1..=max_early).contains(&early), "{hosts} hosts, {early} within 450 ms");
        assert!(
            delays.iter().all(|delay| *delay <= Millis(900)),
            "a delay above 900 ms: {delays:?}"
        );
    }
}

#[test]
fn the_store_is_not_read_for_a_revision_that_is_already_known() {
    let mut feeds = caught_up_feeds();
    feeds.record_complete(Millis(100), FeedKind::Endpoints, 12, Some(11));

    feeds.record_store_revision(Millis(0), 12, true);

    assert_eq!(feeds.due_store_reads(Millis(5_000)), Vec::new());
}

#[test]
fn concurrent_replies_are_limited_by_the_link_bandwidth() {
    let mut slow_limiter = ReplyLimiter::new(Bandwidth(10.0));
    let mut fast_limiter = ReplyLimiter::new(Bandwidth(200.0));
    const REPLY_BYTES: u64 = 1_000_000;

    let slow_replies = (0..12).filter(|_| slow_limiter.try_begin(REPLY_BYTES)).count();
    let fast_replies = (0..12).filter(|_| fast_limiter.try_begin(REPLY_BYTES)).count();
    slow_limiter.end(REPLY_BYTES);

    assert_eq!((slow_replies, fast_replies), (1, 7));
    assert!(
        slow_limiter.try_begin(REPLY_BYTES),
        "no reply is allowed after the first one has ended"
    );
}

#[test]
fn small_replies_are_sent_beside_a_large_one() {
    let mut limiter = ReplyLimiter::new(Bandwidth(10.0));
    assert!(limiter.try_begin(1_000_000));

    let small_replies = (0..60).filter(|_| limiter.try_begin(4_000)).count();

    assert_eq!(small_replies, 60);
}

/// Guards against a host that denies requests with a valid key: it had lost the store, then read a
/// configuration with a new key, and for 10 ms still decided by the previous one. The proof was
/// already fresh, but the new configuration was not published yet.
#[test]
fn a_proof_takes_effect_only_after_its_configuration_is_published() {
    let freshness = Freshness::default();
    let mut fleet_state = state_with_endpoints(1, &freshness);

    let mut actions =
        fleet_state.handle_input(Millis(10), Input::Catalog(Arc::new(catalog(4))), &freshness);
    actions.extend(fleet_state.handle_input(
        Millis(10),
        Input::ConfigConfirmed(Millis(5)),
        &freshness,
    ));

    let publishes_catalog = |a: &Action| matches!(a, Action::PublishView(view) if view.catalog.as_ref().is_some_and(|c| c.version == 4));
    let published_at = actions
        .iter()
        .position(publishes_catalog)
        .expect("a view with the configuration is published");
    let confirmed_at = actions.iter().position(|a| matches!(a, Action::ConfigConfirmed(Millis(5))));
    assert!(
        confirmed_at.is_some_and(|confirmed_at| confirmed_at > published_at),
        "not confirmed after the view: {actions:?}"
    );
}

/// Guards against sending requests to an endpoint after its entry has expired; one was sent 3.4 s
/// after. The host had lost the store for a while and kept the entry for 2.3 s after the store
/// returned. It kept it even longer because it checked for expired entries only after 100 ms
/// without any input. In the log, the store returned 2.6 s before the request, and the host logged
/// nothing between.
#[test]
fn an_expired_entry_is_dropped_in_time_on_a_busy_host() {
    let freshness = Freshness::default();
    let mut fleet_state = state_without_rollout(1, &freshness);
    fleet_state.handle_input(Millis(1_000), Input::StoreUnreachable, &freshness);
    fleet_state.handle_input(Millis(1_500), Input::EndpointRemoved(id("o1")), &freshness);
    fleet_state.handle_input(Millis(2_000), Input::StoreReachable, &freshness);

    // The host receives an input every 20 ms.
    let mut last_view = None;
    for now in (2_000..5_000).step_by(20) {
        let actions = fleet_state.handle_input(
            Millis(now),
            Input::ReplyStarted(FeedKind::Rollouts),
            &freshness,
        );
        last_view = last_published_view(&actions).or(last_view);
    }

    let last_view = last_view.expect("a view without the entry is published");
    let endpoints = last_view.services[&id::<ServiceId>("llm")].stable_pool.endpoints();
    assert!(
        endpoints.iter().all(|e| e.id != id::<EndpointId>("o1")),
        "the endpoint with the expired entry still gets requests"
    );
}
