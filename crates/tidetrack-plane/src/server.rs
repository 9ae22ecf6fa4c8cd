//! Callers' side: accepts connections and keeps to the limits on heads, bodies and rest.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Notify};

use tidetrack_core::events::Event;
use tidetrack_core::traffic::catalog::CallerLimits;

use crate::body::AnswerBody;
use crate::closes::{CloseReason, Closed};
use crate::shared::{Shared, SharedRef};

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Pause before accepting again after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time that a page's bytes wait unacknowledged: whoever asked stands still or is cut off, and
/// keeps others from what a host gives at a time.
const PAGE_UNACKED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Bytes of a page that wait in the HTTP library, beside one part of its body. With the usual 417 KB a whole
/// configuration would count as given before any of it is on its way.
const PAGE_BUFFER_BYTES: usize = 32 << 10;

/// Bytes of a page that wait unsent in the system, which would take megabytes: a window of some 10 KB goes
/// out at a time.
const PAGE_MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Time by which a connection may rest for longer than its limit. The limit counts from when the caller has
/// the answer; the host sees only when the system took it. What the system holds of one goes over a line of
/// 10 Mbit/s at 1.2 MB a second, and a collected answer has 1 MB at most.
const IDLE_DELIVERY_ALLOWANCE: Duration = Duration::from_millis(1_000);

/// Smallest buffer that the HTTP library takes for a head.
const MIN_HEAD_BUFFER: usize = 8_192;

/// What a connection of a caller is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// Nothing, since then.
    Idle(Instant),
    /// Sending a head, since then.
    ReceivingHead(Instant),
    /// Waiting for an answer, or taking it.
    HandlingRequest,
    /// Taking the end of an answer that the HTTP library holds as a whole.
    FlushingResponse,
}

/// State of one connection, shared by its reader, its requests and its watchdog.
struct ConnectionState {
    phase: Cell<ConnectionPhase>,
    changed: Notify,
    /// Requests that came.
    requests: Cell<u32>,
    /// When the connection came up, or the last answer had been taken.
    idle_since: Cell<Instant>,
    /// Whether the caller ended the connection.
    is_closed_by_caller: Cell<bool>,
    /// Whether bytes were left unread at the end.
    has_unread: Cell<bool>,
}

impl ConnectionState {
    fn new() -> ConnectionState {
        let now = Instant::now();
        ConnectionState {
            phase: Cell::new(ConnectionPhase::Idle(now)),
            changed: Notify::new(),
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

    /// Takes note that a request came.
    fn record_request(&self) {
        self.requests.set(self.requests.get() + 1);
        self.set_phase(ConnectionPhase::HandlingRequest);
    }

    /// Takes note that the HTTP library holds the rest of an answer.
    fn record_response_end(&self) {
        self.idle_since.set(Instant::now());
        self.set_phase(ConnectionPhase::FlushingResponse);
    }

    /// Takes note that nothing is left to be sent. The rest begins here, not at the end of the answer's body:
    /// over a slow line much of that is still to be sent.
    fn record_flush(&self) {
        if self.phase.get() == ConnectionPhase::FlushingResponse {
            let now = Instant::now();
            self.idle_since.set(now);
            self.set_phase(ConnectionPhase::Idle(now));
        }
    }

    /// Notices the first byte of a head.
    fn record_received_bytes(&self) {
        if matches!(self.phase.get(), ConnectionPhase::Idle(_)) {
            self.set_phase(ConnectionPhase::ReceivingHead(Instant::now()));
        }
    }

    /// Gets when the connection oversteps a limit, if it stays as it is.
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

    /// Waits until the connection has overstepped a limit; the newest limits count.
    async fn wait_for_timeout(&self, limits: impl Fn() -> CallerLimits) {
        loop {
            let Some(deadline) = self.timeout_at(limits()) else {
                self.changed.notified().await;
                continue;
            };
            let sleep = tokio::time::sleep_until(tokio::time::Instant::from_std(deadline));
            tokio::select! {
                () = self.changed.notified() => {}
                // In a late turn the time runs out and a request is read at once; only the state
                // that the time belongs to can overstep it. The limit may have been raised meanwhile.
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

/// A caller's socket that tells when bytes come.
struct ObservedStream {
    stream: TcpStream,
    state: Rc<ConnectionState>,
}

impl ObservedStream {
    /// Takes note of a write that found nobody.
    fn record_write_result(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(polled, Poll::Ready(Err(_))) {
            self.state.is_closed_by_caller.set(true);
        }
        polled
    }
}

impl Drop for ObservedStream {
    fn drop(&mut self) {
        let socket = socket2::SockRef::from(&self.stream);
        // Without bytes to be read there is an error, which tells as much.
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
                self.state.record_received_bytes()
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
        // The HTTP library flushes once the system has taken all that it held.
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

/// Stages of a planned stop, as connections see them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// The host serves.
    Serving,
    /// Requests are refused, and resting connections closed.
    Closing,
}

/// Opens a listening socket.
pub fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).map_err(|e| anyhow::anyhow!("listen on {address}: {e}"))?;
    Ok(socket.listen(LISTEN_BACKLOG)?)
}

/// Connections of callers that are open.
#[derive(Default)]
pub struct Connections {
    open: RefCell<usize>,
    slot_freed: Notify,
}

impl Connections {
    /// Counts the open connections.
    pub fn open(&self) -> usize {
        *self.open.borrow()
    }
}

/// Answers one request.
pub type Handler = Rc<dyn Fn(Request<Incoming>) -> Pin<Box<dyn Future<Output = HandlerResponse>>>>;

/// What a handler gives back.
pub type HandlerResponse = Response<AnswerBody>;

/// How callers are served.
#[derive(Clone)]
pub struct ServerOptions {
    /// Most connections at a time; more wait to be accepted.
    pub max_connections: usize,
    /// Gets the limits. Open connections follow the newest, but for the size of their heads.
    pub limits: Rc<dyn Fn() -> CallerLimits>,
    /// Answers a request.
    pub handler: Handler,
    /// Is told of a connection that could not be accepted.
    pub on_accept_error: Rc<dyn Fn(&io::Error)>,
    /// Is told of a connection that the host closed.
    pub on_closed: Rc<dyn Fn(&Closed)>,
}

/// Accepts callers' connections until the process ends.
pub async fn accept_loop(
    listener: TcpListener,
    opts: ServerOptions,
    connections: Rc<Connections>,
    stage: watch::Receiver<StopStage>,
) {
    loop {
        while connections.open() >= opts.max_connections {
            connections.slot_freed.notified().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                *connections.open.borrow_mut() += 1;
                let (opts, connections) = (opts.clone(), connections.clone());
                let stage = stage.clone();
                tokio::task::spawn_local(async move {
                    run_connection(opts, stream, stage).await;
                    *connections.open.borrow_mut() -= 1;
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

/// Carries one connection until it ends, and tells if the host closed it.
async fn run_connection(opts: ServerOptions, stream: TcpStream, stage: watch::Receiver<StopStage>) {
    if let Err(e) = stream.set_nodelay(true) {
        return (opts.on_accept_error)(&e);
    }
    let state = Rc::new(ConnectionState::new());
    // The socket is closed when this returns.
    let why = serve_until_end(&opts, stream, stage, &state).await;
    let Some(why) = why else { return };
    (opts.on_closed)(&Closed {
        why,
        requests: state.requests.get(),
        rested: state.idle_since.get().elapsed(),
        is_served: state.phase.get() == ConnectionPhase::HandlingRequest,
        has_unread: state.has_unread.get(),
    });
}

/// Serves a connection until it ends; gets why the host closed it, if it did.
async fn serve_until_end(
    opts: &ServerOptions,
    stream: TcpStream,
    mut stage: watch::Receiver<StopStage>,
    state: &Rc<ConnectionState>,
) -> Option<CloseReason> {
    let service = service_fn(|req| handle_request(&opts.handler, state.clone(), req));
    let io = TokioIo::new(ObservedStream { stream, state: state.clone() });
    let conn = Builder::new()
        .max_buf_size((opts.limits)().max_head_bytes.max(MIN_HEAD_BUFFER))
        .half_close(false)
        .serve_connection(io, service);
    let mut conn = std::pin::pin!(conn);
    let mut shutdown_reason = None;
    loop {
        tokio::select! {
            // What has come is read before a limit is looked at, so that no request that waits unread
            // is closed away.
            biased;
            result = conn.as_mut() => {
                let why = shutdown_reason.unwrap_or_else(|| close_reason(&result));
                return (!state.is_closed_by_caller.get()).then_some(why);
            }
            () = state.wait_for_timeout(&*opts.limits), if shutdown_reason.is_none() => {
                if !matches!(state.phase.get(), ConnectionPhase::Idle(_)) {
                    return Some(CloseReason::SlowHead);
                }
                shutdown_reason = Some(CloseReason::Rest);
                conn.as_mut().graceful_shutdown();
            }
            () = wait_for_closing(&mut stage), if shutdown_reason.is_none() => {
                shutdown_reason = Some(CloseReason::Stop);
                conn.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Tells why a connection ended that was not told to.
fn close_reason(result: &hyper::Result<()>) -> CloseReason {
    match result {
        Ok(()) => CloseReason::Answer,
        Err(e) if e.is_parse() => CloseReason::BadRequest,
        Err(e) if e.is_user() => CloseReason::BrokenOff,
        Err(_) => CloseReason::Otherwise,
    }
}

async fn wait_for_closing(stage: &mut watch::Receiver<StopStage>) {
    // Without a sender the process is at its end.
    let _ = stage.wait_for(|stage| *stage == StopStage::Closing).await;
}

async fn handle_request(
    handler: &Handler,
    state: Rc<ConnectionState>,
    req: Request<Incoming>,
) -> Result<HandlerResponse, Infallible> {
    state.record_request();
    let resp = handler(req).await;
    Ok(resp.map(|body| body.on_end(move || state.record_response_end())))
}

/// Makes a short plain answer.
fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut resp = Response::new(AnswerBody::whole(text.into()));
    *resp.status_mut() = status;
    resp
}

/// Serves pages that are made at once, on an address of their own, until the process ends.
pub async fn serve_pages<B>(
    shared: SharedRef,
    listener: TcpListener,
    make_page: impl Fn(&Request<Incoming>) -> Response<B> + 'static,
) where
    B: Body + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let make_page = Rc::new(make_page);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                shared.journal.line(Event::AcceptFailed, &[("why", &e)]);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let make_page = make_page.clone();
        let socket = socket2::SockRef::from(&stream);
        if let Err(e) = socket.set_tcp_notsent_lowat(PAGE_MAX_UNSENT_BYTES) {
            // What is given is bounded less well then.
            shared.journal.line(Event::AcceptFailed, &[("why", &e)]);
        }
        if let Err(e) = socket.set_tcp_user_timeout(Some(PAGE_UNACKED_TIMEOUT)) {
            shared.journal.line(Event::AcceptFailed, &[("why", &e)]);
            continue;
        }
        tokio::task::spawn_local(async move {
            let service = service_fn(|req| {
                let resp = make_page(&req);
                async move { Ok::<_, Infallible>(resp) }
            });
            // Whoever asks and leaves asks again.
            let mut builder = Builder::new();
            builder.max_buf_size(PAGE_BUFFER_BYTES);
            drop(builder.serve_connection(TokioIo::new(stream), service).await);
        });
    }
}

/// Serves readiness and metrics on an address of their own.
pub async fn serve_readiness_and_metrics(shared: SharedRef, listener: TcpListener) {
    let page_shared = shared.clone();
    serve_pages(shared, listener, move |req| readiness_or_metrics_page(&page_shared, req)).await;
}

fn readiness_or_metrics_page(shared: &Shared, req: &Request<Incoming>) -> Response<AnswerBody> {
    match req.uri().path() {
        path if path == shared.dialect.readiness_path => match shared.is_ready() {
            true => text_response(StatusCode::OK, "ready\n"),
            false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        METRICS_PATH => match shared.metrics.text() {
            Ok(text) => text_response(StatusCode::OK, text),
            Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        },
        _ => text_response(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

/// Where metrics are told.
pub const METRICS_PATH: &str = "/metrics";
