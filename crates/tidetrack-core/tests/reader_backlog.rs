//! The memory held for slow readers, and which streams are shed.

use tidetrack_core::ids::WorkspaceId;
use tidetrack_core::traffic::reader_backlog::{BacklogLimits, ReaderBacklog, StreamNumber};
use tidetrack_core::units::{MemorySize, Millis};

const SMALLEST_HOST: MemorySize = MemorySize(120.0);
const KIB: u64 = 1 << 10;

fn workspace(name: &str) -> Option<WorkspaceId> {
    Some(name.parse().expect("a valid workspace name"))
}

fn backlog_of(host: u64, stream: u64) -> ReaderBacklog {
    ReaderBacklog::new(BacklogLimits { host, stream })
}

fn open_many(backlog: &mut ReaderBacklog, name: &str, n: usize) -> Vec<StreamNumber> {
    (0..n).map(|_| backlog.open(Millis(0), workspace(name))).collect()
}

/// Guards against a host of 120 MB that holds as much as its endpoints send.
#[test]
fn the_smallest_host_keeps_its_bound_with_many_callers_that_read_nothing() {
    let limits = BacklogLimits::for_memory(SMALLEST_HOST);
    let mut backlog = ReaderBacklog::new(limits);
    let streams = open_many(&mut backlog, "north", 400);

    let mut highest = 0;
    for round in 0..400 {
        for stream in &streams {
            if !backlog.is_full(*stream) {
                backlog.add(Millis(round * 10), *stream, 8 * KIB);
            }
            highest = highest.max(backlog.held_bytes());
        }
    }

    assert!(limits.host <= 120 * KIB * KIB / 4, "{limits:?}");
    assert!(limits.stream < limits.host, "{limits:?}");
    assert!(highest <= limits.host, "{highest} bytes were held, {} are allowed", limits.host);
}

/// Guards against a workspace with many slow callers that costs another one its few streams.
#[test]
fn only_streams_of_the_workspace_that_holds_the_most_are_shed() {
    let mut backlog = backlog_of(2_000 * KIB, 250 * KIB);
    let few = open_many(&mut backlog, "few", 3);
    let many = open_many(&mut backlog, "many", 60);
    let mut shed = Vec::new();

    for stream in &few {
        shed.extend(backlog.add(Millis(0), *stream, 200 * KIB));
    }
    for stream in &many {
        shed.extend(backlog.add(Millis(500), *stream, 100 * KIB));
    }

    assert!(!shed.is_empty());
    assert!(shed.iter().all(|s| many.contains(s)), "a stream of the other workspace was shed");
}

/// Guards against aborting callers that read, while others have stopped.
#[test]
fn a_stream_without_progress_is_shed_before_one_of_the_same_size_that_is_read() {
    let mut backlog = backlog_of(300 * KIB, 200 * KIB);
    let streams = open_many(&mut backlog, "north", 3);
    backlog.add(Millis(0), streams[0], 101 * KIB);
    backlog.add(Millis(0), streams[1], 100 * KIB);
    backlog.release(Millis(4_000), streams[0], KIB);

    let shed = backlog.add(Millis(5_000), streams[2], 101 * KIB);

    assert_eq!(shed, [streams[1]]);
}

/// Guards against shedding small backlogs while a large one remains.
#[test]
fn the_largest_of_the_streams_without_progress_is_shed() {
    let mut backlog = backlog_of(300 * KIB, 300 * KIB);
    let streams = open_many(&mut backlog, "north", 3);
    backlog.add(Millis(0), streams[0], 40 * KIB);
    backlog.add(Millis(0), streams[1], 240 * KIB);

    let shed = backlog.add(Millis(5_000), streams[2], 40 * KIB);

    assert_eq!(shed, [streams[1]]);
    assert_eq!(backlog.held_bytes(), 80 * KIB);
}

/// Guards against a stream that stays paused after its caller has read it.
#[test]
fn a_full_stream_is_read_again_after_its_caller_has_taken_bytes() {
    let mut backlog = backlog_of(300 * KIB, 100 * KIB);
    let stream = backlog.open(Millis(0), workspace("north"));
    backlog.add(Millis(0), stream, 100 * KIB);
    let was_full = backlog.is_full(stream);

    backlog.release(Millis(1), stream, 10 * KIB);

    assert!(was_full);
    assert!(!backlog.is_full(stream));
}

/// Guards against request bodies that are held beside the bound, and against stopping callers that
/// keep up while the bodies alone exceed it.
#[test]
fn request_bodies_count_but_pause_no_stream_that_is_read() {
    let mut backlog = backlog_of(300 * KIB, 100 * KIB);
    let (slow, quick) =
        (backlog.open(Millis(0), workspace("a")), backlog.open(Millis(0), workspace("b")));
    backlog.add(Millis(0), slow, 90 * KIB);

    let shed = backlog.add_body(Millis(10), 320 * KIB);

    assert_eq!(shed, [slow]);
    assert!(!backlog.is_full(quick));
    backlog.release_body(320 * KIB);
    assert_eq!(backlog.held_bytes(), 0);
}

/// Guards against bytes that are still counted for ended streams, and against a late release of a
/// stream that was shed.
#[test]
fn ended_streams_hold_nothing() {
    let mut backlog = backlog_of(300 * KIB, 300 * KIB);
    let streams = open_many(&mut backlog, "north", 2);
    backlog.add(Millis(0), streams[0], 200 * KIB);
    let shed = backlog.add(Millis(1), streams[1], 150 * KIB);

    shed.iter().for_each(|s| backlog.release(Millis(2), *s, 50 * KIB));
    streams.iter().for_each(|s| backlog.close(*s));

    assert_eq!(backlog.held_bytes(), 0);
}
