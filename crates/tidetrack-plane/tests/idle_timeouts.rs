//! Idle timeouts of caller connections after responses that are delivered slowly.
//!
//! The tests guard against closing a connection whose caller was idle for less than the timeout. The HTTP
//! library accepts a whole response at once, but sending it over a slow link takes part of the timeout. If
//! idle time starts when the library accepts the response, or if the timeout in force when the connection
//! was opened is used, the server closes the connection just as the next request arrives.

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

/// Receive buffer of a caller, in bytes. It is small, as on a slow link, so that little of a response is in
/// flight at a time.
const RECEIVE_BUFFER_BYTES: usize = 8 << 10;

/// Maximum time that a caller waits for bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of chunks in which a caller reads a response body.
const BODY_CHUNKS: u32 = 20;

/// A server on its own thread, which runs until the process ends.
struct Server {
    address: SocketAddr,
    /// Idle timeout and head timeout, in milliseconds.
    limit: Arc<AtomicU64>,
}

fn options(limit: Arc<AtomicU64>, response_bytes: usize) -> ServerOptions {
    ServerOptions {
        max_connections: 8,
        receive_buffer: None,
        on_full: Rc::new(|| {}),
        limits: Rc::new(move || {
            let limit = Millis(limit.load(Ordering::Relaxed));
            CallerLimits { head_timeout: limit, idle_timeout: limit, ..CallerLimits::default() }
        }),
        handler: Rc::new(move |_| {
            let body = ResponseBody::from_bytes(Bytes::from(vec![b'x'; response_bytes]));
            Box::pin(async move { Response::new(body) })
        }),
        on_accept_error: Rc::new(|e| panic!("accept failed: {e}")),
        on_closed: Rc::new(|_| {}),
    }
}

/// Starts a server that answers each request with a body of `response_bytes` bytes.
fn start_server(limit: Duration, response_bytes: usize) -> Server {
    let limit = u64::try_from(limit.as_millis()).expect("the duration fits into u64 milliseconds");
    let limit = Arc::new(AtomicU64::new(limit));
    let (tx, rx) = mpsc::channel();
    let server_limit = limit.clone();
    std::thread::spawn(move || {
        let rt = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the runtime starts");
        let any_port = "127.0.0.1:0".parse().expect("the loopback address parses");
        LocalSet::new().block_on(&rt, async move {
            let listener = listen(any_port).expect("the server listens");
            tx.send(listener.local_addr().expect("the listener has an address"))
                .expect("the test waits for the address");
            let (_stage, stage) = watch::channel(StopStage::Serving);
            let opts = options(server_limit, response_bytes);
            accept_loop(listener, opts, Rc::new(Connections::default()), stage).await;
        });
    });
    Server { address: rx.recv().expect("the server starts"), limit }
}

fn connect(server: &Server) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("the socket is created");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("the socket option is set");
    socket.connect(&server.address.into()).expect("the server listens");
    let caller = TcpStream::from(socket);
    caller.set_read_timeout(Some(READ_TIMEOUT)).expect("the socket option is set");
    caller
}

/// Sends a request and reports whether a response with status 200 begins.
fn send_request(caller: &mut TcpStream) -> bool {
    // If the connection is closed, the read below fails, so a failed write is ignored.
    drop(caller.write_all(REQUEST));
    let mut start = [0; 12];
    caller.read_exact(&mut start).is_ok() && start.starts_with(b"HTTP/1.1 200")
}

/// Reads the remainder of a response in chunks, with a pause before each chunk.
fn read_response(caller: &mut TcpStream, response_bytes: usize, pause: Duration) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0; 1];
        caller.read_exact(&mut byte).expect("the response head arrives");
        head.extend(byte);
    }
    let chunk = response_bytes.div_ceil(BODY_CHUNKS as usize);
    let mut remaining = response_bytes;
    while remaining > 0 {
        std::thread::sleep(pause);
        let mut bytes = vec![0; chunk.min(remaining)];
        caller.read_exact(&mut bytes).expect("the response body arrives");
        remaining -= bytes.len();
    }
}

#[test]
fn idle_time_starts_when_the_caller_has_received_the_response() {
    let response_bytes = 300_000;
    let server = start_server(Duration::from_millis(1_000), response_bytes);
    let mut caller = connect(&server);
    assert!(send_request(&mut caller), "the first request got no response");
    read_response(&mut caller, response_bytes, Duration::from_millis(600) / BODY_CHUNKS);

    std::thread::sleep(Duration::from_millis(700));

    assert!(
        send_request(&mut caller),
        "the connection was closed after an idle time of 0.7 of the timeout"
    );
}

#[test]
fn a_connection_is_not_idle_while_its_response_is_read() {
    let response_bytes = 16 << 20;
    let server = start_server(Duration::from_millis(500), response_bytes);
    let mut caller = connect(&server);
    assert!(send_request(&mut caller), "the first request got no response");

    std::thread::sleep(Duration::from_millis(2_500));
    read_response(&mut caller, response_bytes, Duration::ZERO);

    assert!(send_request(&mut caller), "the connection was closed without any idle time");
}

#[test]
fn a_raised_idle_timeout_applies_to_open_connections() {
    let response_bytes = 10;
    let server = start_server(Duration::from_millis(300), response_bytes);
    let mut caller = connect(&server);
    assert!(send_request(&mut caller), "the first request got no response");
    read_response(&mut caller, response_bytes, Duration::ZERO);

    server.limit.store(20_000, Ordering::Relaxed);
    assert!(send_request(&mut caller), "the second request got no response");
    read_response(&mut caller, response_bytes, Duration::ZERO);
    std::thread::sleep(Duration::from_millis(2_000));

    assert!(
        send_request(&mut caller),
        "the connection was closed after a tenth of its idle timeout"
    );
}

#[test]
fn a_connection_idle_beyond_the_timeout_is_closed() {
    let response_bytes = 10;
    let server = start_server(Duration::from_millis(300), response_bytes);
    let mut caller = connect(&server);
    assert!(send_request(&mut caller), "the first request got no response");
    read_response(&mut caller, response_bytes, Duration::ZERO);

    let ended = caller.read(&mut [0; 1]);

    assert!(matches!(ended, Ok(0)), "{ended:?}");
}
