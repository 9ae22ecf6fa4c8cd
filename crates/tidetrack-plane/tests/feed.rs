//! The log of changes that a host keeps to relay them to other hosts.

use tidetrack_core::traffic::feeds::FeedKind;
use tidetrack_plane::feed::{parse_changes_path, ChangeBatch, FeedLog, ListSnapshot};

fn batch(newest_revision: u64) -> ChangeBatch {
    ChangeBatch { newest_revision, bytes: newest_revision.to_string().into_bytes() }
}

fn list(revision: u64) -> ListSnapshot {
    ListSnapshot { revision, pages: vec![format!("list {revision}").into_bytes()] }
}

/// Returns a log that starts with a list at revision 10 and holds changes up to revision 30.
fn log() -> FeedLog {
    let mut log = FeedLog::default();
    assert!(log.reset_to_list(list(10)));
    assert!(log.push(batch(20)));
    assert!(log.push(batch(30)));
    log
}

#[test]
fn only_missing_changes_are_returned() {
    let changes = log().changes_after(20).expect("the log covers revision 20");

    assert_eq!((changes.complete_to, changes.list), (30, None));
    assert_eq!(changes.batches, vec![batch(30)]);
}

#[test]
fn a_host_behind_the_list_also_gets_the_list() {
    let changes = log().changes_after(5).expect("the log returns the list and changes");

    assert_eq!(changes.list, Some(list(10)));
    assert_eq!(changes.batches, vec![batch(20), batch(30)]);
}

#[test]
fn outdated_changes_and_lists_are_rejected() {
    let mut log = log();

    assert!(!log.push(batch(30)));
    assert!(!log.push(batch(25)));
    assert!(!log.reset_to_list(list(29)));

    assert_eq!(log.position(), 30);
    assert_eq!(
        log.changes_after(10).expect("the log covers revision 10").batches,
        vec![batch(20), batch(30)]
    );
}

#[test]
fn a_full_log_drops_its_oldest_changes_and_reports_them_missing() {
    let mut log = log();
    let large = |newest_revision| ChangeBatch { newest_revision, bytes: vec![0; 200 << 10] };

    log.push(large(40));
    log.push(large(50));

    assert_eq!(log.changes_after(10), None);
    assert_eq!(log.changes_after(30), None);
    assert_eq!(log.changes_after(40).expect("the log covers revision 40").batches, vec![large(50)]);
}

#[test]
fn advancing_without_changes_moves_the_position() {
    let mut log = log();

    log.advance(45);

    let changes = log.changes_after(30).expect("the log covers the revision");
    assert_eq!((changes.complete_to, changes.batches), (45, vec![]));
}

#[test]
fn only_well_formed_change_paths_are_parsed() {
    assert_eq!(parse_changes_path("/changes/Endpoints/17"), Some((FeedKind::Endpoints, 17)));
    for path in ["/changes/Endpoints/", "/changes/Other/17", "/changes/Endpoints/-1", "/", "/x/1"] {
        assert_eq!(parse_changes_path(path), None, "{path}");
    }
}

#[test]
fn a_single_object_feed_returns_only_the_newest_state() {
    let mut log = FeedLog::new(FeedKind::Catalog);
    log.reset_to_list(list(10));
    log.push(batch(20));
    log.push(batch(30));

    let changes: Vec<_> = [5, 10, 20]
        .map(|after| log.changes_after(after).expect("the newest state is available"))
        .into();

    assert!(
        changes.iter().all(|t| t.list.is_none() && t.batches == vec![batch(30)]),
        "{changes:?}"
    );
    assert!(log.changes_after(30).expect("the log covers the revision").batches.is_empty());
}

#[test]
fn a_log_without_its_list_reports_changes_before_it_as_missing() {
    let mut log = FeedLog::new(FeedKind::Endpoints);
    let list = ListSnapshot { revision: 5, pages: vec![vec![0; 10], vec![0; 20]] };
    assert!(log.reset_to_list(list));
    assert_eq!(log.list_bytes(), 30);

    log.drop_list();

    assert_eq!(log.list_bytes(), 0);
    assert!(log.changes_after(0).is_none());
    assert_eq!(log.changes_after(5).map(|reply| reply.complete_to), Some(5));
}
