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
use crate::closed_connections::{CloseReason, ClosedConnection};
use crate::shared::{Shared, SharedRef};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Pause before accepting again after a connection could not be accepted.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Longest time that a page's bytes wait unacknowledged: whoever asked stands still or is cut off, and
/// keeps others from what a host gives at a time.
const PAGE_TAKEN_WITHIN: Duration = Duration::from_millis(2_000);

/// Bytes of a page that wait in the HTTP library, beside one part of its body. With the usual 417 KB a whole
/// configuration would count as given before any of it is on its way.
const PAGE_WAITS: usize = 32 << 10;

/// Bytes of a page that wait unsent in the system, which would take megabytes: a window of some 10 KB goes
/// out at a time.
const PAGE_UNSENT: u32 = 16 << 10;

/// Time by which a connection may rest for longer than its limit. The limit counts from when the caller has
/// the answer; the host sees only when the system took it. What the system holds of one goes over a line of
/// 10 Mbit/s at 1.2 MB a second, and a collected answer has 1 MB at most.
const ON_ITS_WAY: Duration = Duration::from_millis(1_000);

/// Smallest buffer that the HTTP library takes for a head.
const LEAST_HEAD_BUFFER: usize = 8_192;

/// What a connection of a caller is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    /// Nothing, since then.
    Resting(Instant),
    /// Sending a head, since then.
    SendingHead(Instant),
    /// Waiting for an answer, or taking it.
    Served,
    /// Taking the end of an answer that the HTTP library holds as a whole.
    TakingEnd,
}

/// State of one connection, shared by its reader, its requests and its watchdog.
struct ConnState {
    doing: Cell<Doing>,
    changed: Notify,
    /// Requests that came.
    requests: Cell<u32>,
    /// When the connection came up, or the last answer had been taken.
    rests_since: Cell<Instant>,
    /// Whether the caller ended the connection.
    has_left: Cell<bool>,
    /// Whether bytes were left unread at the end.
    has_unread: Cell<bool>,
}

impl ConnState {
    fn new() -> ConnState {
        let now = Instant::now();
        ConnState {
            doing: Cell::new(Doing::Resting(now)),
            changed: Notify::new(),
            requests: Cell::new(0),
            rests_since: Cell::new(now),
            has_left: Cell::new(false),
            has_unread: Cell::new(false),
        }
    }

    fn set(&self, doing: Doing) {
        self.doing.set(doing);
        self.changed.notify_one();
    }

    /// Takes note that a request came.
    fn begins_to_serve(&self) {
        self.requests.set(self.requests.get() + 1);
        self.set(Doing::Served);
    }

    /// Takes note that the HTTP library holds the rest of an answer.
    fn answer_ended(&self) {
        self.rests_since.set(Instant::now());
        self.set(Doing::TakingEnd);
    }

    /// Takes note that nothing is left to be sent. The rest begins here, not at the end of the answer's body:
    /// over a slow line much of that is still to be sent.
    fn flushed(&self) {
        if self.doing.get() == Doing::TakingEnd {
            let now = Instant::now();
            self.rests_since.set(now);
            self.set(Doing::Resting(now));
        }
    }

    /// Notices the first byte of a head.
    fn bytes_came(&self) {
        if matches!(self.doing.get(), Doing::Resting(_)) {
            self.set(Doing::SendingHead(Instant::now()));
        }
    }

    /// Gets when the connection oversteps a limit, if it stays as it is.
    fn may_until(&self, limits: CallerLimits) -> Option<Instant> {
        match self.doing.get() {
            Doing::Resting(since) => {
                Some(since + Duration::from_millis(limits.idle_timeout.0) + ON_ITS_WAY)
            }
            Doing::SendingHead(since) => Some(since + Duration::from_millis(limits.head_timeout.0)),
            Doing::Served | Doing::TakingEnd => None,
        }
    }

    /// Waits until the connection has overstepped a limit; the newest limits count.
    async fn overstepped(&self, limits: impl Fn() -> CallerLimits) {
        loop {
            let Some(until) = self.may_until(limits()) else {
                self.changed.notified().await;
                continue;
            };
            let sleep = tokio::time::sleep_until(tokio::time::Instant::from_std(until));
            tokio::select! {
                () = self.changed.notified() => {}
                // In a late turn the time runs out and a request is read at once; only the state
                // that the time belongs to can overstep it. The limit may have been raised meanwhile.
                () = sleep => {
                    let until = self.may_until(limits());
                    if until.is_some_and(|until| until <= Instant::now()) {
                        return;
                    }
                }
            }
        }
    }
}

/// A caller's socket that tells when bytes come.
struct Observing {
    stream: TcpStream,
    state: Rc<ConnState>,
}

impl Observing {
    /// Takes note of a write that found nobody.
    fn note_write(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(polled, Poll::Ready(Err(_))) {
            self.state.has_left.set(true);
        }
        polled
    }
}

impl Drop for Observing {
    fn drop(&mut self) {
        let socket = socket2::SockRef::from(&self.stream);
        // Without bytes to be read there is an error, which tells as much.
        let has_unread = (&*socket).read(&mut [0; 1]).is_ok_and(|bytes| bytes > 0);
        self.state.has_unread.set(has_unread);
    }
}

impl AsyncRead for Observing {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        match &polled {
            Poll::Ready(Ok(())) if buf.filled().len() > before => self.state.bytes_came(),
            Poll::Ready(_) => self.state.has_left.set(true),
            Poll::Pending => {}
        }
        polled
    }
}

impl AsyncWrite for Observing {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_write(polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes once the system has taken all that it held.
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.state.flushed();
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
        self.note_write(polled)
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
    Ok(socket.listen(BACKLOG)?)
}

/// Connections of callers that are open.
#[derive(Default)]
pub struct Connections {
    open: RefCell<usize>,
    freed: Notify,
}

impl Connections {
    /// Counts the open connections.
    pub fn open(&self) -> usize {
        *self.open.borrow()
    }
}

/// Answers one request.
pub type Handler = Rc<dyn Fn(Request<Incoming>) -> Pin<Box<dyn Future<Output = Answer>>>>;

/// What a handler gives back.
pub type Answer = Response<AnswerBody>;

/// How callers are served.
#[derive(Clone)]
pub struct ServerOptions {
    /// Most connections at a time; more wait to be accepted.
    pub most_connections: usize,
    /// Gets the limits. Open connections follow the newest, but for the size of their heads.
    pub limits: Rc<dyn Fn() -> CallerLimits>,
    /// Answers a request.
    pub handler: Handler,
    /// Is told of a connection that could not be accepted.
    pub accept_failed: Rc<dyn Fn(&io::Error)>,
    /// Is told of a connection that the host closed.
    pub closed: Rc<dyn Fn(&ClosedConnection)>,
}

/// Accepts callers' connections until the process ends.
pub async fn accept_loop(
    listener: TcpListener,
    opts: ServerOptions,
    connections: Rc<Connections>,
    stage: watch::Receiver<StopStage>,
) {
    loop {
        while connections.open() >= opts.most_connections {
            connections.freed.notified().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                *connections.open.borrow_mut() += 1;
                let (opts, connections) = (opts.clone(), connections.clone());
                let stage = stage.clone();
                tokio::task::spawn_local(async move {
                    carry(opts, stream, stage).await;
                    *connections.open.borrow_mut() -= 1;
                    connections.freed.notify_one();
                });
            }
            Err(e) => {
                (opts.accept_failed)(&e);
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

/// Carries one connection until it ends, and tells if the host closed it.
async fn carry(opts: ServerOptions, stream: TcpStream, stage: watch::Receiver<StopStage>) {
    if let Err(e) = stream.set_nodelay(true) {
        return (opts.accept_failed)(&e);
    }
    let state = Rc::new(ConnState::new());
    // The socket is closed when this returns.
    let reason = serve_until_end(&opts, stream, stage, &state).await;
    let Some(reason) = reason else { return };
    (opts.closed)(&ClosedConnection {
        reason,
        requests: state.requests.get(),
        idle_time: state.rests_since.get().elapsed(),
        is_serving: state.doing.get() == Doing::Served,
        has_unread: state.has_unread.get(),
    });
}

/// Serves a connection until it ends; gets why the host closed it, if it did.
async fn serve_until_end(
    opts: &ServerOptions,
    stream: TcpStream,
    mut stage: watch::Receiver<StopStage>,
    state: &Rc<ConnState>,
) -> Option<CloseReason> {
    let service = service_fn(|req| answer(&opts.handler, state.clone(), req));
    let io = TokioIo::new(Observing { stream, state: state.clone() });
    let conn = Builder::new()
        .max_buf_size((opts.limits)().max_head_bytes.max(LEAST_HEAD_BUFFER))
        .half_close(false)
        .serve_connection(io, service);
    let mut conn = std::pin::pin!(conn);
    let mut closing_for = None;
    loop {
        tokio::select! {
            // What has come is read before a limit is looked at, so that no request that waits unread
            // is closed away.
            biased;
            ended = conn.as_mut() => {
                let why = closing_for.unwrap_or_else(|| why_ended(&ended));
                return (!state.has_left.get()).then_some(why);
            }
            () = state.overstepped(&*opts.limits), if closing_for.is_none() => {
                if !matches!(state.doing.get(), Doing::Resting(_)) {
                    return Some(CloseReason::HeaderTimeout);
                }
                closing_for = Some(CloseReason::IdleTimeout);
                conn.as_mut().graceful_shutdown();
            }
            () = closing(&mut stage), if closing_for.is_none() => {
                closing_for = Some(CloseReason::HostStop);
                conn.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Tells why a connection ended that was not told to.
fn why_ended(ended: &hyper::Result<()>) -> CloseReason {
    match ended {
        Ok(()) => CloseReason::ResponseComplete,
        Err(e) if e.is_parse() => CloseReason::BadRequest,
        Err(e) if e.is_user() => CloseReason::ResponseAborted,
        Err(_) => CloseReason::Other,
    }
}

async fn closing(stage: &mut watch::Receiver<StopStage>) {
    // Without a sender the process is at its end.
    let _ = stage.wait_for(|stage| *stage == StopStage::Closing).await;
}

async fn answer(
    handler: &Handler,
    state: Rc<ConnState>,
    req: Request<Incoming>,
) -> Result<Answer, Infallible> {
    state.begins_to_serve();
    let resp = handler(req).await;
    Ok(resp.map(|body| body.on_end(move || state.answer_ended())))
}

/// Makes a short plain answer.
fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut resp = Response::new(AnswerBody::whole(text.into()));
    *resp.status_mut() = status;
    resp
}

/// Serves pages that are made at once, on an address of their own, until the process ends.
pub async fn serve_pages<B>(
    shared: SharedRef,
    listener: TcpListener,
    page: impl Fn(&Request<Incoming>) -> Response<B> + 'static,
) where
    B: Body + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let page = Rc::new(page);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                shared.journal.log(Event::AcceptFailed, &[("why", &e)]);
                tokio::time::sleep(ACCEPT_AGAIN).await;
                continue;
            }
        };
        let page = page.clone();
        let socket = socket2::SockRef::from(&stream);
        if let Err(e) = socket.set_tcp_notsent_lowat(PAGE_UNSENT) {
            // What is given is bounded less well then.
            shared.journal.log(Event::AcceptFailed, &[("why", &e)]);
        }
        if let Err(e) = socket.set_tcp_user_timeout(Some(PAGE_TAKEN_WITHIN)) {
            shared.journal.log(Event::AcceptFailed, &[("why", &e)]);
            continue;
        }
        tokio::task::spawn_local(async move {
            let service = service_fn(|req| {
                let resp = page(&req);
                async move { Ok::<_, Infallible>(resp) }
            });
            // Whoever asks and leaves asks again.
            let mut builder = Builder::new();
            builder.max_buf_size(PAGE_WAITS);
            drop(builder.serve_connection(TokioIo::new(stream), service).await);
        });
    }
}

/// Serves readiness and metrics on an address of their own.
pub async fn serve_small(shared: SharedRef, listener: TcpListener) {
    let of_page = shared.clone();
    serve_pages(shared, listener, move |req| small_page(&of_page, req)).await;
}

fn small_page(shared: &Shared, req: &Request<Incoming>) -> Response<AnswerBody> {
    match req.uri().path() {
        path if path == shared.dialect.readiness_path => match shared.is_ready() {
            true => plain(StatusCode::OK, "ready\n"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        METRICS_PATH => match shared.metrics.to_text() {
            Ok(text) => plain(StatusCode::OK, text),
            Err(e) => plain(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        },
        _ => plain(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

/// Where metrics are told.
pub const METRICS_PATH: &str = "/metrics";
