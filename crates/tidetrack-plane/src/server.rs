//! HTTP/1 server for callers: accepts connections and enforces the limits on request head size, head time
//! and idle time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use anyhow::Context as _;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Notify};

use tidetrack_core::traffic::catalog::CallerLimits;
pub use tidetrack_core::traffic::stop::StopStage;

use crate::body::ResponseBody;
use crate::closed_connections::{CloseReason, ClosedConnection};

/// Length of the queue of connections that wait to be accepted.
pub const LISTEN_BACKLOG: u32 = 1_024;

/// Delay before the next `accept` after a failed one.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time added to the idle timeout of a connection. The timeout is meant to start when the caller has received
/// the response, but the host only sees when the kernel accepted the last bytes.
const IDLE_DELIVERY_ALLOWANCE: Duration = Duration::from_millis(1_000);

/// Bytes of one request above which the receive buffer is enlarged.
const LARGE_REQUEST_BYTES: usize = 16 << 10;

/// Size in bytes of the receive buffer while a large body is read.
const LARGE_RECEIVE_BUFFER: u32 = 32 << 10;

/// Maximum number of connections with an enlarged receive buffer.
const MAX_LARGE_BUFFERS: usize = 64;

/// Interval at which connections are asked to give way for another one.
const MAKE_ROOM_INTERVAL: Duration = Duration::from_millis(20);

/// Smallest head buffer size in bytes that the HTTP library accepts.
const MIN_HEAD_BUFFER: usize = 8_192;

/// Phase of a caller's connection, which determines the timeout that applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// No request is in progress, since the given instant.
    Idle(Instant),
    /// The caller is sending a request head, since the given instant.
    ReceivingHead(Instant),
    /// The caller is waiting for a response or receiving it.
    HandlingRequest,
    /// The HTTP library has the complete response, and the caller is receiving the rest of it.
    FlushingResponse,
}

/// State of one connection, shared by its reader, its requests and its watchdog.
struct ConnectionState {
    phase: Cell<ConnectionPhase>,
    changed: Notify,
    /// Signalled when the response in progress is aborted and its caller may not be reading.
    aborted: Notify,
    /// Signalled when the connection is to be closed for another one, unless it handles a request.
    gives_way: Notify,
    /// Number of requests received.
    requests: Cell<u32>,
    /// When the connection was accepted or the last response was completely written.
    idle_since: Cell<Instant>,
    /// Whether a read or write showed that the caller closed the connection.
    is_closed_by_caller: Cell<bool>,
    /// Whether received bytes were still unread when the socket was closed.
    has_unread: Cell<bool>,
}

impl ConnectionState {
    fn new() -> ConnectionState {
        let now = Instant::now();
        ConnectionState {
            phase: Cell::new(ConnectionPhase::Idle(now)),
            changed: Notify::new(),
            aborted: Notify::new(),
            gives_way: Notify::new(),
            requests: Cell::new(0),
            idle_since: Cell::new(now),
            is_closed_by_caller: Cell::new(false),
            has_unread: Cell::new(false),
        }
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        self.phase.set(phase);
        self.changed.notify_one();
    }

    /// Counts a request and enters the phase in which it is handled.
    fn record_request(&self) {
        self.requests.set(self.requests.get() + 1);
        self.set_phase(ConnectionPhase::HandlingRequest);
    }

    /// Records that the response body has ended, so that the HTTP library has the rest of the response.
    fn record_response_end(&self) {
        self.idle_since.set(Instant::now());
        self.set_phase(ConnectionPhase::FlushingResponse);
    }

    /// Records that all buffered bytes were written. The idle time starts here and not at the end of the
    /// response body, because on a slow link much of the body is not sent yet at that point.
    fn record_flush(&self) {
        if self.phase.get() == ConnectionPhase::FlushingResponse {
            let now = Instant::now();
            self.idle_since.set(now);
            self.set_phase(ConnectionPhase::Idle(now));
        }
    }

    /// Records received bytes; on an idle connection they start a request head.
    fn record_received_bytes(&self) {
        if matches!(self.phase.get(), ConnectionPhase::Idle(_)) {
            self.set_phase(ConnectionPhase::ReceivingHead(Instant::now()));
        }
    }

    /// Returns when the connection times out if it stays in its present phase, or `None` if that phase has
    /// no timeout.
    fn timeout_at(&self, limits: CallerLimits) -> Option<Instant> {
        match self.phase.get() {
            ConnectionPhase::Idle(since) => {
                Some(since + Duration::from_millis(limits.idle_timeout.0) + IDLE_DELIVERY_ALLOWANCE)
            }
            ConnectionPhase::ReceivingHead(since) => {
                Some(since + Duration::from_millis(limits.head_timeout.0))
            }
            ConnectionPhase::HandlingRequest | ConnectionPhase::FlushingResponse => None,
        }
    }

    /// Returns since when the connection has been without a complete request head, and whether it is
    /// idle; `None` if it handles a request.
    fn waiting_since(&self) -> Option<(Instant, bool)> {
        match self.phase.get() {
            ConnectionPhase::Idle(since) => Some((since, true)),
            ConnectionPhase::ReceivingHead(since) => Some((since, false)),
            ConnectionPhase::HandlingRequest | ConnectionPhase::FlushingResponse => None,
        }
    }

    /// Waits until the connection has timed out under the limits in force at that time.
    async fn wait_for_timeout(&self, limits: impl Fn() -> CallerLimits) {
        loop {
            let Some(deadline) = self.timeout_at(limits()) else {
                self.changed.notified().await;
                continue;
            };
            let sleep = tokio::time::sleep_until(tokio::time::Instant::from_std(deadline));
            tokio::select! {
                () = self.changed.notified() => {}
                // If the thread is scheduled late, the timer expires although a request has just been
                // read, so the deadline is computed again for the present phase. The limit may also have
                // been raised in the meantime.
                () = sleep => {
                    let deadline = self.timeout_at(limits());
                    if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
                        return;
                    }
                }
            }
        }
    }
}

/// A caller's socket that records reads, writes and flushes in the state of its connection.
struct ObservedStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
    /// Size in bytes of the receive buffer, except while a large body is read; `None` if the system
    /// sizes it.
    receive_buffer: Option<u32>,
    /// Bytes read of the request in progress.
    request_bytes: usize,
    connections: Rc<Connections>,
    has_large_buffer: bool,
}

impl ObservedStream {
    /// Enlarges the receive buffer while a large body is read, and makes it small again before the next
    /// request. On a long path the rate of a body is limited by the size of the buffer.
    fn adjust_receive_buffer(&mut self, read_bytes: usize) {
        let Some(receive_buffer) = self.receive_buffer else { return };
        if self.state.phase.get() != ConnectionPhase::HandlingRequest {
            self.request_bytes = 0;
            if self.has_large_buffer {
                self.release_large_buffer();
                self.set_receive_buffer(receive_buffer);
            }
            return;
        }
        self.request_bytes += read_bytes;
        let large_buffers = &self.connections.large_buffers;
        if self.request_bytes >= LARGE_REQUEST_BYTES
            && !self.has_large_buffer
            && receive_buffer < LARGE_RECEIVE_BUFFER
            && large_buffers.get() < MAX_LARGE_BUFFERS
        {
            large_buffers.set(large_buffers.get() + 1);
            self.has_large_buffer = true;
            self.set_receive_buffer(LARGE_RECEIVE_BUFFER);
        }
    }

    fn release_large_buffer(&mut self) {
        if std::mem::take(&mut self.has_large_buffer) {
            let large_buffers = &self.connections.large_buffers;
            large_buffers.set(large_buffers.get() - 1);
        }
    }

    fn set_receive_buffer(&self, bytes: u32) {
        // The connection works with a buffer of any size.
        let _ = socket2::SockRef::from(&self.stream).set_recv_buffer_size(bytes as usize);
    }
}

impl ObservedStream {
    /// Marks the connection as closed by the caller if a write failed.
    fn record_write_result(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(polled, Poll::Ready(Err(_))) {
            self.state.is_closed_by_caller.set(true);
        }
        polled
    }
}

impl Drop for ObservedStream {
    fn drop(&mut self) {
        self.release_large_buffer();
        let socket = socket2::SockRef::from(&self.stream);
        // The socket is non-blocking: without unread bytes the read fails or returns 0.
        let has_unread = (&*socket).read(&mut [0; 1]).is_ok_and(|bytes| bytes > 0);
        self.state.has_unread.set(has_unread);
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        match &polled {
            Poll::Ready(Ok(())) if buf.filled().len() > before => {
                self.state.record_received_bytes();
                let read_bytes = buf.filled().len() - before;
                self.adjust_receive_buffer(read_bytes);
            }
            Poll::Ready(_) => self.state.is_closed_by_caller.set(true),
            Poll::Pending => {}
        }
        polled
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write_result(polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes after the kernel has accepted all buffered bytes.
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.state.record_flush();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write_result(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// Opens a listening socket with address reuse. Fails if the address can't be bound.
pub fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    listen_on(TcpSocket::new_v4()?, address)
}

/// Opens a listening socket like [`listen`]. Its connections have receive buffers of this size in bytes,
/// which bounds what arrives on connections that are not read.
pub fn listen_with_buffer(address: SocketAddr, bytes: u32) -> anyhow::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // The connections inherit the size. Setting it later would not shrink what was offered before.
    socket.set_recv_buffer_size(bytes)?;
    listen_on(socket, address)
}

fn listen_on(socket: TcpSocket, address: SocketAddr) -> anyhow::Result<TcpListener> {
    socket.set_reuseaddr(true)?;
    let listener = socket.bind(address).and_then(|()| socket.listen(LISTEN_BACKLOG));
    listener.with_context(|| format!("cannot listen on {address}"))
}

/// Open connections of callers, and the signal that one has closed.
#[derive(Default)]
pub struct Connections {
    open: RefCell<HashMap<u64, Rc<ConnectionState>>>,
    last_number: Cell<u64>,
    slot_freed: Notify,
    /// Number of connections with an enlarged receive buffer.
    large_buffers: Cell<usize>,
}

impl Connections {
    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.borrow().len()
    }

    /// Asks the connection that has been idle for longest to close, or else the one that has been sending a
    /// request head for longest.
    fn make_room(&self) {
        let open = self.open.borrow();
        let waiting = open.values().filter_map(|state| Some((state.waiting_since()?, state)));
        let longest = waiting.min_by_key(|((since, is_idle), _)| (!is_idle, *since));
        if let Some((_, state)) = longest {
            state.gives_way.notify_one();
        }
    }
}

/// Function that handles one request.
pub type Handler = Rc<dyn Fn(Request<Incoming>) -> Pin<Box<dyn Future<Output = HandlerResponse>>>>;

/// Response returned by a [`Handler`].
pub type HandlerResponse = Response<ResponseBody>;

/// Limits and callbacks of the server for callers.
#[derive(Clone)]
pub struct ServerOptions {
    /// Maximum number of open connections. Idle ones are closed for further ones.
    pub max_connections: usize,
    /// Called while a connection waits because the maximum number is open.
    pub on_full: Rc<dyn Fn()>,
    /// Size in bytes of the receive buffers that connections have from their listener; `None` if the
    /// system sizes them.
    pub receive_buffer: Option<u32>,
    /// Returns the limits in force. Open connections use new timeouts at once, but keep the head size limit
    /// with which they were accepted.
    pub limits: Rc<dyn Fn() -> CallerLimits>,
    /// Handles a request.
    pub handler: Handler,
    /// Called with the error when a connection could not be accepted or set up.
    pub on_accept_error: Rc<dyn Fn(&io::Error)>,
    /// Called after the host has closed a connection.
    pub on_closed: Rc<dyn Fn(&ClosedConnection)>,
}

/// Accepts connections of callers until the process ends. While the maximum number is open, connections
/// without a request give way.
pub async fn accept_loop(
    listener: TcpListener,
    opts: ServerOptions,
    connections: Rc<Connections>,
    stage: watch::Receiver<StopStage>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                while connections.open() >= opts.max_connections {
                    connections.make_room();
                    (opts.on_full)();
                    let freed = connections.slot_freed.notified();
                    let _ = tokio::time::timeout(MAKE_ROOM_INTERVAL, freed).await;
                }
                let number = connections.last_number.get() + 1;
                connections.last_number.set(number);
                let state = Rc::new(ConnectionState::new());
                connections.open.borrow_mut().insert(number, state.clone());
                let (opts, connections) = (opts.clone(), connections.clone());
                let stage = stage.clone();
                tokio::task::spawn_local(async move {
                    run_connection(opts, stream, stage, state, &connections).await;
                    connections.open.borrow_mut().remove(&number);
                    connections.slot_freed.notify_one();
                });
            }
            Err(e) => {
                (opts.on_accept_error)(&e);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection until it ends and calls `on_closed` if the host closed it.
async fn run_connection(
    opts: ServerOptions,
    stream: TcpStream,
    stage: watch::Receiver<StopStage>,
    state: Rc<ConnectionState>,
    connections: &Rc<Connections>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        return (opts.on_accept_error)(&e);
    }
    // The socket is closed when this call returns, which sets `has_unread`.
    let reason = serve_until_end(&opts, stream, stage, &state, connections).await;
    let Some(reason) = reason else { return };
    (opts.on_closed)(&ClosedConnection {
        reason,
        requests: state.requests.get(),
        idle_time: state.idle_since.get().elapsed(),
        is_serving: state.phase.get() == ConnectionPhase::HandlingRequest,
        has_unread: state.has_unread.get(),
    });
}

/// Serves a connection until it ends. Returns the reason if the host closed it, or `None` if the caller did.
async fn serve_until_end(
    opts: &ServerOptions,
    stream: TcpStream,
    mut stage: watch::Receiver<StopStage>,
    state: &Rc<ConnectionState>,
    connections: &Rc<Connections>,
) -> Option<CloseReason> {
    let service = service_fn(|req| handle_request(&opts.handler, state.clone(), req));
    let io = TokioIo::new(ObservedStream {
        stream,
        state: state.clone(),
        receive_buffer: opts.receive_buffer,
        request_bytes: 0,
        connections: connections.clone(),
        has_large_buffer: false,
    });
    let conn = Builder::new()
        .max_buf_size((opts.limits)().max_head_bytes.max(MIN_HEAD_BUFFER))
        .half_close(false)
        .serve_connection(io, service);
    let mut conn = std::pin::pin!(conn);
    let mut shutdown_reason = None;
    loop {
        tokio::select! {
            // Received bytes are read before a timeout is checked, so that no connection is closed while
            // it has an unread request.
            biased;
            result = conn.as_mut() => {
                let why = shutdown_reason.unwrap_or_else(|| close_reason(&result));
                return (!state.is_closed_by_caller.get()).then_some(why);
            }
            () = state.wait_for_timeout(&*opts.limits), if shutdown_reason.is_none() => {
                if !matches!(state.phase.get(), ConnectionPhase::Idle(_)) {
                    return Some(CloseReason::HeaderTimeout);
                }
                shutdown_reason = Some(CloseReason::IdleTimeout);
                conn.as_mut().graceful_shutdown();
            }
            () = state.gives_way.notified(), if shutdown_reason.is_none() => {
                match state.waiting_since() {
                    None => {}
                    Some((_, false)) => return Some(CloseReason::NoRoom),
                    Some((_, true)) => {
                        shutdown_reason = Some(CloseReason::NoRoom);
                        conn.as_mut().graceful_shutdown();
                    }
                }
            }
            // A caller that reads nothing keeps the HTTP library from taking the end of the body.
            () = state.aborted.notified() => return Some(CloseReason::ResponseAborted),
            () = wait_for_closing(&mut stage), if shutdown_reason.is_none() => {
                shutdown_reason = Some(CloseReason::HostStop);
                conn.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Derives the reason for the end of a connection that was not asked to shut down.
fn close_reason(result: &hyper::Result<()>) -> CloseReason {
    match result {
        Ok(()) => CloseReason::ResponseComplete,
        Err(e) if e.is_parse() => CloseReason::BadRequest,
        Err(e) if e.is_user() => CloseReason::ResponseAborted,
        Err(_) => CloseReason::Other,
    }
}

/// Waits until the host closes its idle connections.
async fn wait_for_closing(stage: &mut watch::Receiver<StopStage>) {
    // The wait fails only if the sender was dropped, which happens at the end of the process.
    let _ = stage.wait_for(|stage| *stage >= StopStage::Closing).await;
}

/// Passes a request to the handler and tracks the phase of its connection.
async fn handle_request(
    handler: &Handler,
    state: Rc<ConnectionState>,
    req: Request<Incoming>,
) -> Result<HandlerResponse, Infallible> {
    state.record_request();
    let resp = handler(req).await;
    let aborted = state.clone();
    resp.body().set_abort_callback(move || aborted.aborted.notify_one());
    Ok(resp.map(|body| body.on_end(move || state.record_response_end())))
}
