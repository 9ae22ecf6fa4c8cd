//! Slow replies of other hosts, and the point at which their changes are fetched from another source.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use tidetrack_core::traffic::feeds::{FeedKind, FeedTracker, Fetch, FetchSource, Revisions};
use tidetrack_core::units::{MemorySize, Millis};
use tidetrack_plane::call::{LargeReplyControl, LargeReplyLimiter};
use tidetrack_plane::feed;
use tidetrack_plane::pool::Pool;
use tidetrack_plane::reply_memory::ReplyMemory;
use tokio::task::LocalSet;

/// Revision that this host already has, and the newer one that another host reports.
const KNOWN_REVISION: u64 = 10;
const REPORTED_REVISION: u64 = 12;

/// Size of a small reply in bytes. It is sent in chunks of `CHUNK_BYTES`, one per `CHUNK_INTERVAL`.
const REPLY_BYTES: usize = 4_000;
const CHUNK_BYTES: usize = 200;
const CHUNK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time before changes that one host does not deliver are requested from the store.
const MAX_TIME_TO_STORE_READ: Duration = Duration::from_millis(1_500);

/// Interval between messages of hosts that report the change.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Starts a host that answers one request, sending the body in chunks with pauses.
fn start_slow_host() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port is available");
    let address = listener.local_addr().expect("the listener has an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the connection is established");
        assert!(stream.read(&mut [0; 1_024]).expect("a request arrives") > 0);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {REPLY_BYTES}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the caller reads the response head");
        for _ in 0..REPLY_BYTES / CHUNK_BYTES {
            if stream.write_all(&[0; CHUNK_BYTES]).is_err() {
                return;
            }
            std::thread::sleep(CHUNK_INTERVAL);
        }
    });
    address
}

/// Returns the time since `start` in milliseconds.
fn elapsed_millis(start: Instant) -> Millis {
    Millis(
        u64::try_from(start.elapsed().as_millis())
            .expect("the duration fits into u64 milliseconds"),
    )
}

/// Requests endpoint changes from a host for `duration` while hosts keep reporting them. Returns the
/// other fetches that become due, each with the time since the start.
async fn fetch_from_host(address: SocketAddr, duration: Duration) -> Vec<(Duration, Fetch)> {
    let feeds = RefCell::new(FeedTracker::default());
    feeds.borrow_mut().record_complete(
        Millis(0),
        FeedKind::Endpoints,
        KNOWN_REVISION,
        Some(KNOWN_REVISION),
    );
    let mut reported = Revisions::default();
    reported.raise(FeedKind::Endpoints, REPORTED_REVISION);
    let start = Instant::now();
    feeds.borrow_mut().receive_revisions(elapsed_millis(start), &reported, address, true);
    let limiter = LargeReplyLimiter::default();
    let reply_control = LargeReplyControl {
        limiter: &limiter,
        is_obsolete: Box::new(|| false),
        on_progress: Box::new(|| {
            feeds.borrow_mut().record_incoming(elapsed_millis(start), FeedKind::Endpoints)
        }),
    };
    let pool = Pool::default();
    let memory = ReplyMemory::new(MemorySize(64.0));
    let mut hold = memory.open();
    let mut fetches = Vec::new();
    let reporting = async {
        while start.elapsed() < duration {
            tokio::time::sleep(REPORT_INTERVAL).await;
            let mut feeds = feeds.borrow_mut();
            let due_fetches =
                feeds.receive_revisions(elapsed_millis(start), &reported, address, true);
            let due_fetches =
                due_fetches.into_iter().chain(feeds.due_store_reads(elapsed_millis(start)));
            fetches.extend(due_fetches.map(|c| (start.elapsed(), c)));
        }
    };
    tokio::select! {
        result = feed::fetch_changes(&pool, address, FeedKind::Endpoints, KNOWN_REVISION, &reply_control, &mut hold) => {
            panic!("the slow reply ended before the test did: {:?}", result.err());
        }
        () = reporting => fetches,
    }
}

/// Guards against stale endpoint entries (seven seconds old, with limits of two and three seconds) when
/// the queried host sends only 800 bytes per second. Each chunk calls `FeedTracker::record_incoming`,
/// every 200 ms for a 4 KB reply at any rate; if that alone keeps the fetch from counting as failed, no
/// other host and not even the store is asked.
#[test]
fn a_slow_small_reply_is_fetched_from_the_store() {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let rt = rt.expect("the runtime starts");
    let address = start_slow_host();

    let fetches = LocalSet::new().block_on(&rt, fetch_from_host(address, MAX_TIME_TO_STORE_READ));

    assert!(fetches.iter().any(|(_, fetch)| fetch.source == FetchSource::Store), "{fetches:?}");
}
