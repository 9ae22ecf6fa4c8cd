//! Replies of other hosts that come slowly, and when the changes in them are got elsewhere.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use tidetrack_core::traffic::feeds::{FeedKind, FeedTracker, Fetch, FetchSource, Revisions};
use tidetrack_core::units::Millis;
use tidetrack_plane::call::{LargeReplyControl, LargeReplyLimiter};
use tidetrack_plane::feed;
use tidetrack_plane::pool::Pool;
use tokio::task::LocalSet;

/// The revision that this host knows, and the one that another host tells of.
const KNOWN: u64 = 10;
const TOLD: u64 = 12;

/// Bytes of a reply with some endpoints, and how they come.
const SMALL_REPLY: usize = 4_000;
const PIECE: usize = 200;
const PIECE_EVERY: Duration = Duration::from_millis(250);

/// Time in which news that one host does not give is asked for at the store.
const ELSEWHERE_WITHIN: Duration = Duration::from_millis(1_500);

/// Pause between messages of hosts that tell of the change.
const TOLD_EVERY: Duration = Duration::from_millis(50);

/// Starts a host that answers one question, in pieces.
fn dripping_host() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        assert!(stream.read(&mut [0; 1_024]).expect("a question") > 0);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {SMALL_REPLY}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("a reader");
        for _ in 0..SMALL_REPLY / PIECE {
            if stream.write_all(&[0; PIECE]).is_err() {
                return;
            }
            std::thread::sleep(PIECE_EVERY);
        }
    });
    address
}

/// Millisecond of the test's clock.
fn at(began: Instant) -> Millis {
    Millis(u64::try_from(began.elapsed().as_millis()).expect("a short time"))
}

/// Asks a host for changes of the endpoints, while hosts go on telling of them; lists what else was asked
/// for, and when.
async fn ask_host(address: SocketAddr, within: Duration) -> Vec<(Duration, Fetch)> {
    let feeds = RefCell::new(FeedTracker::default());
    feeds.borrow_mut().record_complete(Millis(0), FeedKind::Endpoints, KNOWN, Some(KNOWN));
    let mut told = Revisions::default();
    told.raise(FeedKind::Endpoints, TOLD);
    let began = Instant::now();
    feeds.borrow_mut().receive_revisions(at(began), &told, address, true);
    let turns = LargeReplyLimiter::default();
    let gate = LargeReplyControl {
        limiter: &turns,
        is_obsolete: Box::new(|| false),
        on_progress: Box::new(|| {
            feeds.borrow_mut().record_incoming(at(began), FeedKind::Endpoints)
        }),
    };
    let pool = Pool::default();
    let mut asked = Vec::new();
    let telling = async {
        while began.elapsed() < within {
            tokio::time::sleep(TOLD_EVERY).await;
            let mut feeds = feeds.borrow_mut();
            let catches = feeds.receive_revisions(at(began), &told, address, true);
            let catches = catches.into_iter().chain(feeds.due_store_reads(at(began)));
            asked.extend(catches.map(|c| (began.elapsed(), c)));
        }
    };
    tokio::select! {
        result = feed::fetch_changes(&pool, address, FeedKind::Endpoints, KNOWN, &gate) => {
            panic!("the reply has ended: {:?}", result.err());
        }
        () = telling => asked,
    }
}

/// A host's entries of endpoints were seven seconds old, with bounds of two and three on them: the host
/// that it had asked for the news sent 800 bytes a second, and each piece kept the try from counting as
/// failed, so nobody else was asked, not even the store. Evidence: `FeedTracker::record_incoming` came each 200 ms for a
/// reply of 4 KB, at any rate.
#[test]
fn a_small_reply_that_drips_is_got_elsewhere() {
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let rt = rt.expect("a runtime starts");
    let address = dripping_host();

    let asked = LocalSet::new().block_on(&rt, ask_host(address, ELSEWHERE_WITHIN));

    assert!(asked.iter().any(|(_, catch)| catch.source == FetchSource::Store), "{asked:?}");
}
