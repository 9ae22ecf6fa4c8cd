//! Caller connections whose timeouts expire in the same scheduler pass in which a request arrives.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use tidetrack_core::traffic::catalog::CallerLimits;
use tidetrack_core::units::Millis;
use tidetrack_plane::body::ResponseBody;
use tidetrack_plane::server::{accept_loop, listen, Connections, ServerOptions, StopStage};
use tokio::runtime::Runtime;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Idle timeout and head timeout, long enough for a busy machine to serve the first part in time.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which the server's thread is blocked: longer than the timeout plus the extra second that an
/// idle connection is allowed.
const STALL_DURATION: Duration = Duration::from_millis(2_200);

/// Number of concurrent connections. The runtime polls ready events in random order, so among this many
/// connections every order occurs.
const CONNECTIONS: usize = 64;

/// Time that the handler takes, so that a request is still in progress at the end of its scheduler pass.
const HANDLER_DURATION: Duration = Duration::from_millis(5);

/// Time in which all connections are served.
const RUN_DURATION: Duration = Duration::from_millis(200);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// A server that runs only while the test drives its runtime, and its callers.
struct Fixture {
    rt: Runtime,
    local: LocalSet,
    callers: Vec<TcpStream>,
    dropped: Rc<Cell<usize>>,
    _stage: watch::Sender<StopStage>,
}

/// Counts a request whose handler is dropped before it returns a response.
struct DropGuard {
    dropped: Rc<Cell<usize>>,
    is_armed: Cell<bool>,
}

impl DropGuard {
    fn disarm(&self) {
        self.is_armed.set(false);
    }
}

impl Drop for DropGuard {
    fn drop(&mut self) {
        if self.is_armed.get() {
            self.dropped.set(self.dropped.get() + 1);
        }
    }
}

fn options(dropped: Rc<Cell<usize>>) -> ServerOptions {
    ServerOptions {
        max_connections: CONNECTIONS * 2,
        receive_buffer: None,
        on_full: Rc::new(|| {}),
        limits: Rc::new(|| {
            let limit = Millis(
                u64::try_from(TIMEOUT.as_millis())
                    .expect("the duration fits into u64 milliseconds"),
            );
            CallerLimits { head_timeout: limit, idle_timeout: limit, ..CallerLimits::default() }
        }),
        handler: Rc::new(move |_| {
            let guard = DropGuard { dropped: dropped.clone(), is_armed: Cell::new(true) };
            Box::pin(async move {
                tokio::time::sleep(HANDLER_DURATION).await;
                guard.disarm();
                Response::new(ResponseBody::from_bytes(Bytes::from_static(b"ok")))
            })
        }),
        on_accept_error: Rc::new(|e| panic!("accept failed: {e}")),
        on_closed: Rc::new(|_| {}),
    }
}

fn fixture() -> Fixture {
    let rt = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime starts");
    let local = LocalSet::new();
    let any_port = "127.0.0.1:0".parse().expect("the loopback address parses");
    let listener = rt.block_on(async { listen(any_port) }).expect("the server listens");
    let address = listener.local_addr().expect("the listener has an address");
    let dropped = Rc::new(Cell::new(0));
    let (_stage, stage) = watch::channel(StopStage::Serving);
    let opts = options(dropped.clone());
    local.spawn_local(accept_loop(listener, opts, Rc::new(Connections::default()), stage));
    let callers = (0..CONNECTIONS)
        .map(|_| {
            let caller = TcpStream::connect(address).expect("the server listens");
            caller.set_read_timeout(Some(RUN_DURATION)).expect("the read timeout is set");
            caller
        })
        .collect();
    Fixture { rt, local, callers, dropped, _stage }
}

impl Fixture {
    fn send(&mut self, bytes: &[u8]) {
        for caller in &mut self.callers {
            caller.write_all(bytes).expect("the bytes are sent");
        }
    }

    /// Runs the server for `RUN_DURATION`.
    fn run(&self) {
        let sleep = self.local.run_until(async { tokio::time::sleep(RUN_DURATION).await });
        self.rt.block_on(sleep);
    }

    /// Counts the callers that received a response with status 200.
    fn count_ok_responses(&mut self) -> usize {
        let has_ok_response = |caller: &mut TcpStream| {
            let mut buf = [0; 1_024];
            caller.read(&mut buf).is_ok_and(|n| buf[..n].starts_with(b"HTTP/1.1 200"))
        };
        self.callers.iter_mut().filter_map(|caller| has_ok_response(caller).then_some(())).count()
    }
}

/// Guards against dropping a complete request without a response or a refusal. The host's thread runs
/// late, after the idle timeout has passed and a request has arrived. The request is read and forwarded,
/// and in the same scheduler pass its connection is dropped, because the idle timeout is applied to a
/// connection that is no longer idle. The host then logs the admission, the attempt and the caller's
/// disconnect within a millisecond, one idle timeout (15 s) after the last response, while the caller sees
/// the host close the connection.
#[test]
fn a_request_read_as_the_idle_timeout_expires_is_answered() {
    let mut fixture = fixture();
    fixture.send(REQUEST);
    fixture.run();
    assert_eq!(fixture.count_ok_responses(), CONNECTIONS, "not every first request got a response");

    fixture.send(REQUEST);
    std::thread::sleep(STALL_DURATION);
    fixture.run();

    assert_eq!((fixture.dropped.get(), fixture.count_ok_responses()), (0, CONNECTIONS));
}

/// Guards against the same fault for a request head whose last bytes arrive before its timeout but are
/// read after it.
#[test]
fn a_head_completed_as_the_head_timeout_expires_is_answered() {
    let mut fixture = fixture();
    let (start, end) = REQUEST.split_at(REQUEST.len() / 2);
    fixture.send(start);
    fixture.run();

    fixture.send(end);
    std::thread::sleep(STALL_DURATION);
    fixture.run();

    assert_eq!((fixture.dropped.get(), fixture.count_ok_responses()), (0, CONNECTIONS));
}
