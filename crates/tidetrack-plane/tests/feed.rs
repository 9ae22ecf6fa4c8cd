//! Changes that a host keeps for others.

use tidetrack_core::traffic::feeds::FeedKind;
use tidetrack_plane::feed::{parse_changes_path, ChangeBatch, FeedLog, ListSnapshot};

fn batch(newest_revision: u64) -> ChangeBatch {
    ChangeBatch { newest_revision, bytes: newest_revision.to_string().into_bytes() }
}

fn list(revision: u64) -> ListSnapshot {
    ListSnapshot { revision, pages: vec![format!("list {revision}").into_bytes()] }
}

/// A log that begins with a list at 10 and knows changes up to 30.
fn log() -> FeedLog {
    let mut log = FeedLog::default();
    assert!(log.reset_to_list(list(10)));
    assert!(log.push(batch(20)));
    assert!(log.push(batch(30)));
    log
}

#[test]
fn a_host_gets_just_the_changes_it_lacks() {
    let told = log().changes_after(20).expect("changes after 20");

    assert_eq!((told.complete_to, told.list), (30, None));
    assert_eq!(told.batches, vec![batch(30)]);
}

#[test]
fn a_host_that_is_behind_the_list_gets_the_list_too() {
    let told = log().changes_after(5).expect("a list and changes");

    assert_eq!(told.list, Some(list(10)));
    assert_eq!(told.batches, vec![batch(20), batch(30)]);
}

#[test]
fn changes_and_lists_that_are_older_than_what_is_known_are_not_taken() {
    let mut log = log();

    assert!(!log.push(batch(30)));
    assert!(!log.push(batch(25)));
    assert!(!log.reset_to_list(list(29)));

    assert_eq!(log.position(), 30);
    assert_eq!(log.changes_after(10).expect("changes").batches, vec![batch(20), batch(30)]);
}

#[test]
fn a_log_drops_its_oldest_changes_and_does_not_pretend_to_have_them() {
    let mut log = log();
    let large = |newest_revision| ChangeBatch { newest_revision, bytes: vec![0; 200 << 10] };

    log.push(large(40));
    log.push(large(50));

    assert_eq!(log.changes_after(10), None);
    assert_eq!(log.changes_after(30), None);
    assert_eq!(log.changes_after(40).expect("changes after 40").batches, vec![large(50)]);
}

#[test]
fn quiet_time_counts_as_known() {
    let mut log = log();

    log.advance(45);

    let told = log.changes_after(30).expect("nothing new");
    assert_eq!((told.complete_to, told.batches), (45, vec![]));
}

#[test]
fn only_well_formed_questions_are_understood() {
    assert_eq!(parse_changes_path("/changes/Endpoints/17"), Some((FeedKind::Endpoints, 17)));
    for path in ["/changes/Endpoints/", "/changes/Other/17", "/changes/Endpoints/-1", "/", "/x/1"] {
        assert_eq!(parse_changes_path(path), None, "{path}");
    }
}

#[test]
fn of_a_kind_with_one_object_only_the_newest_state_is_given() {
    let mut log = FeedLog::new(FeedKind::Catalog);
    log.reset_to_list(list(10));
    log.push(batch(20));
    log.push(batch(30));

    let told: Vec<_> =
        [5, 10, 20].map(|after| log.changes_after(after).expect("the newest")).into();

    assert!(told.iter().all(|t| t.list.is_none() && t.batches == vec![batch(30)]), "{told:?}");
    assert!(log.changes_after(30).expect("nothing new").batches.is_empty());
}
