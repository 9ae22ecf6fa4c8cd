//! Attempts at endpoints that refuse a request and do not complete the exchange.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::Full;
use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::Error;
use tidetrack_plane::attempt::{self, Attempt, EndpointResponse, IdEcho};
use tidetrack_plane::dialect::ResponseFacts;
use tidetrack_plane::pool::{Pool, UsedConnections};
use tokio::task::LocalSet;

/// Time until the deadline of an attempt.
const TIME_LEFT: Duration = Duration::from_secs(4);

/// Bound on the time that a refusal may take, although its endpoint does not complete it.
const PROMPT: Duration = Duration::from_millis(300);

/// Bound on the time for which a connection is kept for the rest of a refusal.
const RELEASE_TIME: Duration = Duration::from_secs(1);

/// Bound on a whole test, for attempts without an end.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of a body that does not fit the buffers of a connection, in bytes.
const LONG_BODY_BYTES: usize = 32 << 20;

const EMPTY_REFUSAL: &str = "HTTP/1.1 503 X\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n";

/// Starts an endpoint that answers the first read of each connection with `response` and leaves all further bytes
/// unread. The receiver gets the time at which a connection was closed by the peer, if `waits_for_close`.
fn start_endpoint(
    response: &'static str,
    waits_for_close: bool,
) -> (String, mpsc::Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port is available");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        let mut kept = Vec::new();
        for mut stream in listener.incoming().flatten() {
            assert!(stream.read(&mut [0; 1_024]).expect("a request arrives") > 0);
            stream.write_all(response.as_bytes()).expect("the peer reads the response");
            if waits_for_close {
                let end = stream.read(&mut [0; 1_024]);
                assert!(matches!(end, Ok(0) | Err(_)), "{end:?}");
                // The receiver of a test that does not wait for it is gone.
                let _ = tx.send(Instant::now());
            }
            kept.push(stream);
        }
    });
    (address, rx)
}

fn read_answer(head: &HeaderMap) -> ResponseFacts {
    ResponseFacts { has_not_executed: head.contains_key("refused"), ..ResponseFacts::default() }
}

/// Makes one attempt with a body of the given size.
async fn send(
    pool: &Rc<Pool>,
    address: &str,
    body_bytes: usize,
) -> Result<EndpointResponse, Error> {
    let attempt = Attempt {
        pool,
        read_answer,
        on_head: &|_| {},
        on_response: &|_| {},
        endpoint: "e-1",
        address,
        attempt_id: None,
        echo: IdEcho::Optional,
        is_repeatable: true,
        max_idle: Duration::MAX,
        used_connections: &UsedConnections::default(),
        deadline: Instant::now() + TIME_LEFT,
    };
    let body = Bytes::from(vec![0; body_bytes]);
    attempt::send(&attempt, || Request::new(Full::new(body.clone()))).await
}

fn run(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let test = async { tokio::time::timeout(TEST_TIMEOUT, test).await };
    LocalSet::new().block_on(&runtime, test).expect("the test ends in time");
}

async fn assert_refused_promptly(pool: &Rc<Pool>, address: &str, body_bytes: usize) {
    let started_at = Instant::now();

    let e = send(pool, address, body_bytes).await.map(|r| r.head).expect_err("it is refused");

    assert_eq!((e.code, e.executed), (Code::EndpointRefused, Executed::No), "{e:?}");
    assert!(started_at.elapsed() < PROMPT, "{:?}", started_at.elapsed());
}

/// Guards against an attempt without an end: the rest of a refusal was awaited to use the connection again.
#[test]
fn a_refusal_is_returned_at_its_head_and_its_connection_closed_if_the_body_does_not_come() {
    let refusal = "HTTP/1.1 503 X\r\nRefused: 1\r\nContent-Length: 12\r\n\r\n";
    let (address, closed) = start_endpoint(refusal, true);

    run(async {
        let pool = Rc::new(Pool::for_endpoints());
        assert_refused_promptly(&pool, &address, 0).await;
        let refused_at = Instant::now();
        tokio::time::sleep(RELEASE_TIME).await;

        let closed_at = closed.try_recv().expect("the connection is closed");
        assert!(closed_at - refused_at < RELEASE_TIME, "{:?}", closed_at - refused_at);
        assert!(!pool.has_proven_idle("e-1"));
    });
}

/// Guards against a connection that is lost with each refusal.
#[test]
fn the_connection_of_a_refusal_is_used_again_once_its_body_is_read() {
    let refusal = "HTTP/1.1 503 X\r\nRefused: 1\r\nContent-Length: 4\r\n\r\nfull";
    let (address, _closed) = start_endpoint(refusal, false);

    run(async {
        let pool = Rc::new(Pool::for_endpoints());
        assert_refused_promptly(&pool, &address, 0).await;
        tokio::time::sleep(Duration::from_millis(50)).await;

        assert!(pool.has_proven_idle("e-1"));
    });
}

/// Guards against a request that waits for a connection on which an earlier one is still being written.
#[test]
fn a_connection_whose_endpoint_refused_without_reading_the_body_holds_up_no_other_request() {
    let (address, _closed) = start_endpoint(EMPTY_REFUSAL, false);

    run(async {
        let pool = Rc::new(Pool::for_endpoints());
        assert_refused_promptly(&pool, &address, LONG_BODY_BYTES).await;

        assert_refused_promptly(&pool, &address, 0).await;
    });
}
