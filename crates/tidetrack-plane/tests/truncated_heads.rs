//! Attempts at peers, endpoints or other hosts, whose connection ends in the head of a response.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::Full;
use socket2::SockRef;
use tidetrack_core::codes::Executed;
use tidetrack_plane::attempt::{self, Attempt, IdEcho};
use tidetrack_plane::dialect::ResponseFacts;
use tidetrack_plane::pool::{Pool, UsedConnections};
use tokio::task::LocalSet;

const TIME_LEFT: Duration = Duration::from_secs(4);

/// Heads of a success, a refusal, a success behind an interim response, and a response that another host passes on.
const HEADS: [&str; 5] = [
    "HTTP/1.1 200 OK\r\nId: a1\r\nSeal: x\r\nContent-Length: 4\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: a1\r\nSeal: x\r\n\r\n",
    "HTTP/1.1 503 X\r\nId: a1\r\nRefused: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: a1\r\nSeal: x\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTidetrack-Forward-Result: {}\r\nId: a1\r\nSeal: x\r\nTransfer-Encoding: chunked\r\n\r\n",
];

fn read_answer(head: &HeaderMap) -> ResponseFacts {
    ResponseFacts {
        attempt_id: head.get("id").and_then(|id| id.to_str().ok()).map(str::to_string),
        has_response_seal: head.contains_key("seal"),
        has_not_executed: head.contains_key("refused"),
        ..ResponseFacts::default()
    }
}

/// Starts a peer that answers connection n with the first n bytes of a head, and closes or resets it.
fn start_peer(head: &'static str, is_reset: bool) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port is available");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    std::thread::spawn(move || {
        for (n, mut stream) in listener.incoming().flatten().take(head.len()).enumerate() {
            assert!(stream.read(&mut [0; 1_024]).expect("a request arrives") > 0);
            stream.write_all(&head.as_bytes()[..n]).expect("the peer reads the response");
            if is_reset {
                let socket = SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).expect("cannot set the socket option");
            }
        }
    });
    address
}

/// Guards against an incomplete head that is taken for a response, or for the promise of a refusal.
#[test]
fn a_head_that_stops_in_its_middle_is_no_response_and_promises_nothing() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    for (head, is_reset) in HEADS.into_iter().flat_map(|head| [(head, false), (head, true)]) {
        let address = start_peer(head, is_reset);
        LocalSet::new().block_on(&runtime, async {
            let pool = Rc::new(Pool::for_endpoints());
            for n in 0..head.len() {
                let attempt = Attempt {
                    pool: &pool,
                    read_answer,
                    on_head: &|_| {},
                    on_response: &|_| {},
                    endpoint: "e-1",
                    address: &address,
                    attempt_id: Some("a1"),
                    echo: IdEcho::Required,
                    is_repeatable: false,
                    max_idle: Duration::MAX,
                    used_connections: &UsedConnections::default(),
                    deadline: Instant::now() + TIME_LEFT,
                };
                let request = || Request::new(Full::new(Bytes::new()));

                let response = attempt::send(&attempt, request).await;

                let text = &head[..n];
                let e = response.map(|r| r.head).expect_err(text);
                assert_eq!(e.executed, Executed::Unknown, "{text:?}: {e:?}");
            }
        });
    }
}
