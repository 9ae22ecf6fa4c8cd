//! Rests of callers' connections after answers that take their time on the way.
//!
//! What callers saw: a connection that they had used in good time, counted from the end of their last
//! answer, was closed as their next request came. Order of events: the HTTP library had taken the whole of an
//! answer at once; it went over a slow line for some of the connection's idle time; the caller let the rest
//! pass and asked again. Cause: the rest was counted from when the library took the answer, and by the limit
//! that held when the connection came up. Evidence: the tests below; the server ends the connection although
//! the caller rested for less than the limit.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use socket2::{Domain, Socket, Type};
use tidetrack_core::traffic::catalog::CallerLimits;
use tidetrack_core::units::Millis;
use tidetrack_plane::body::ResponseBody;
use tidetrack_plane::server::{accept_loop, listen, Connections, ServerOptions, StopStage};
use tokio::sync::watch;
use tokio::task::LocalSet;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Room for what comes to a caller, in bytes, as on a slow line: little of an answer is on its way at a time.
const SMALL_BUFFER: usize = 8 << 10;

/// Longest wait for bytes of an answer.
const ANSWERED_WITHIN: Duration = Duration::from_secs(5);

/// Parts in which a caller takes a long answer.
const PARTS: u32 = 20;

/// A server on a thread of its own; the thread ends with the process.
struct Server {
    address: SocketAddr,
    /// Limit of a rest and of a head, in milliseconds.
    limit: Arc<AtomicU64>,
}

fn options(limit: Arc<AtomicU64>, answer: usize) -> ServerOptions {
    ServerOptions {
        max_connections: 8,
        limits: Rc::new(move || {
            let limit = Millis(limit.load(Ordering::Relaxed));
            CallerLimits { head_timeout: limit, idle_timeout: limit, ..CallerLimits::default() }
        }),
        handler: Rc::new(move |_| {
            let body = ResponseBody::from_bytes(Bytes::from(vec![b'x'; answer]));
            Box::pin(async move { Response::new(body) })
        }),
        on_accept_error: Rc::new(|e| panic!("accept: {e}")),
        on_closed: Rc::new(|_| {}),
    }
}

/// Starts a server whose answers have so many bytes.
fn serve(limit: Duration, answer: usize) -> Server {
    let limit = u64::try_from(limit.as_millis()).expect("a short time");
    let limit = Arc::new(AtomicU64::new(limit));
    let (tx, rx) = mpsc::channel();
    let of_server = limit.clone();
    std::thread::spawn(move || {
        let rt = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime starts");
        let any_port = "127.0.0.1:0".parse().expect("an address");
        LocalSet::new().block_on(&rt, async move {
            let listener = listen(any_port).expect("the server listens");
            tx.send(listener.local_addr().expect("an address")).expect("the test waits for it");
            let (_stage, stage) = watch::channel(StopStage::Serving);
            let opts = options(of_server, answer);
            accept_loop(listener, opts, Rc::new(Connections::default()), stage).await;
        });
    });
    Server { address: rx.recv().expect("the server starts"), limit }
}

fn connect(server: &Server) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(SMALL_BUFFER).expect("an option");
    socket.connect(&server.address.into()).expect("the server listens");
    let caller = TcpStream::from(socket);
    caller.set_read_timeout(Some(ANSWERED_WITHIN)).expect("an option");
    caller
}

/// Sends a request; tells whether an answer begins.
fn ask(caller: &mut TcpStream) -> bool {
    // A connection that was closed shows at the read.
    drop(caller.write_all(REQUEST));
    let mut start = [0; 12];
    caller.read_exact(&mut start).is_ok() && start.starts_with(b"HTTP/1.1 200")
}

/// Reads the rest of an answer, in parts with pauses.
fn take(caller: &mut TcpStream, answer: usize, pause: Duration) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0; 1];
        caller.read_exact(&mut byte).expect("the head comes");
        head.extend(byte);
    }
    let part = answer.div_ceil(PARTS as usize);
    let mut left = answer;
    while left > 0 {
        std::thread::sleep(pause);
        let mut bytes = vec![0; part.min(left)];
        caller.read_exact(&mut bytes).expect("the body comes");
        left -= bytes.len();
    }
}

#[test]
fn a_rest_is_counted_from_when_the_caller_has_the_answer() {
    let answer = 300_000;
    let server = serve(Duration::from_millis(1_000), answer);
    let mut caller = connect(&server);
    assert!(ask(&mut caller), "first request");
    take(&mut caller, answer, Duration::from_millis(600) / PARTS);

    std::thread::sleep(Duration::from_millis(700));

    assert!(ask(&mut caller), "the connection was closed after a rest of 0.7 of the limit");
}

#[test]
fn a_connection_does_not_rest_while_its_answer_is_taken() {
    let answer = 16 << 20;
    let server = serve(Duration::from_millis(500), answer);
    let mut caller = connect(&server);
    assert!(ask(&mut caller), "first request");

    std::thread::sleep(Duration::from_millis(2_500));
    take(&mut caller, answer, Duration::ZERO);

    assert!(ask(&mut caller), "the connection was closed after no rest at all");
}

#[test]
fn a_limit_that_is_raised_counts_for_open_connections() {
    let answer = 10;
    let server = serve(Duration::from_millis(300), answer);
    let mut caller = connect(&server);
    assert!(ask(&mut caller), "first request");
    take(&mut caller, answer, Duration::ZERO);

    server.limit.store(20_000, Ordering::Relaxed);
    assert!(ask(&mut caller), "second request");
    take(&mut caller, answer, Duration::ZERO);
    std::thread::sleep(Duration::from_millis(2_000));

    assert!(ask(&mut caller), "the connection was closed after a tenth of its limit");
}

#[test]
fn a_connection_that_rests_beyond_the_limit_is_closed() {
    let answer = 10;
    let server = serve(Duration::from_millis(300), answer);
    let mut caller = connect(&server);
    assert!(ask(&mut caller), "first request");
    take(&mut caller, answer, Duration::ZERO);

    let ended = caller.read(&mut [0; 1]);

    assert!(matches!(ended, Ok(0)), "{ended:?}");
}
