//! Callers' side: takes requests from the traffic plane's server, hands them to traffic threads and
//! checks what can be checked early.
//!
//! A panic in one request ends that request only. What waits for a thread is bounded; past the bound
//! requests are refused at once.

use std::net::TcpListener;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use flume::{Receiver, Sender, TrySendError};
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, Method};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use serde_json::json;
use tokio::runtime::Builder;
use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{unknown_name, Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::{RouteId, WorkspaceId};
use tidetrack_core::limits::Admission;
use tidetrack_core::message_auth::digest;
use tidetrack_core::placement::{hash_fraction, rendezvous};
use tidetrack_core::session::Session;
use tidetrack_core::traffic::catalog::CallerLimits;
use tidetrack_core::units::Millis;
use tidetrack_core::view::View;
use tidetrack_plane::body::ResponseBody;
use tidetrack_plane::closed_connections::CloseLog;
use tidetrack_plane::server::{accept_loop, HandlerResponse, ServerOptions, StopStage};
use tidetrack_wire::caller::{SessionRequest, SessionResponse, TicketResponse};

use crate::admin;
use crate::callers::{self, ReplyBody, Request};
use crate::chat::{self, RequestContext};
use crate::endpoint_client::{self, EndpointRequest};
use crate::metrics::Labels;
use crate::outcome::{self, ResponseHeaders};
use crate::services::{self, SERVICES_PATH};
use crate::shared::Shared;
use crate::upstream::Upstream;

/// Bodies up to this size, in bytes, have arrived with the head.
const SMALL_BODY: usize = 1024;

/// Multiple of the largest body that is read and dropped, so that the caller sees the refusal.
const DROPPED_TIMES: usize = 2;

/// When to come back to a host whose threads or bodies are at their bound, in milliseconds.
const RETRY_BUSY_MS: u64 = 1_000;

/// Largest head of a request in bytes.
const HEAD_BYTES: usize = 64 << 10;

/// Longest time for a head to arrive.
const HEAD_TIME: Millis = Millis(10_000);

/// Longest rest of a kept connection.
const IDLE_TIME: Millis = Millis(60_000);

/// A request that was taken, with when it came.
pub struct Taken {
    request: Request,
    began: Instant,
}

/// The listening side for callers: an event loop on a thread of its own.
pub struct Listening {
    stop: flume::Sender<()>,
    stopped: flume::Receiver<()>,
}

impl Listening {
    /// Makes the two ends of the listening side's stop.
    pub fn new() -> (Listening, ListeningEnd) {
        let (stop, asked) = flume::bounded(1);
        let (done, stopped) = flume::bounded(1);
        (Listening { stop, stopped }, ListeningEnd { asked, done })
    }

    /// Takes no more requests, and closes all connections.
    pub fn stop(&self) {
        // It may have stopped before; then nothing is left to wait for.
        if self.stop.try_send(()).is_ok() {
            let _ = self.stopped.recv();
        }
    }
}

/// The event loop's end of a stop.
pub struct ListeningEnd {
    asked: flume::Receiver<()>,
    done: flume::Sender<()>,
}

/// Serves callers' connections, and asks endpoints for them, on the present thread until the listening side is stopped.
pub fn serve_callers(
    shared: Arc<Shared>,
    listener: TcpListener,
    end: ListeningEnd,
    threads: Sender<Taken>,
    errands: Receiver<EndpointRequest>,
) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_io().enable_time().build()?;
    listener.set_nonblocking(true)?;
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let (_stage, stage_seen) = watch::channel(StopStage::Serving);
        let opts = server_options(shared, threads);
        tokio::task::spawn_local(endpoint_client::run(errands));
        tokio::task::spawn_local(accept_loop(listener, opts, Rc::default(), stage_seen));
        // The other end is gone when the process ends.
        let _ = end.asked.recv_async().await;
        std::io::Result::Ok(())
    })?;
    drop(local);
    // Nobody waits where the other end is gone.
    let _ = end.done.try_send(());
    Ok(())
}

fn server_options(shared: Arc<Shared>, threads: Sender<Taken>) -> ServerOptions {
    let limits = &shared.settings.limits;
    let caller_limits = CallerLimits {
        max_head_bytes: HEAD_BYTES,
        max_body_bytes: limits.body_bytes,
        head_timeout: HEAD_TIME,
        idle_timeout: IDLE_TIME,
    };
    let (for_log, for_closes, closes) = (shared.clone(), shared.clone(), CloseLog::default());
    ServerOptions {
        max_connections: limits.connections,
        limits: Rc::new(move || caller_limits),
        on_accept_error: Rc::new(move |e| for_log.log(Event::AcceptFailed, &e.to_string())),
        on_closed: Rc::new(move |closed| {
            if let Some(left_out) = closes.admit(closed) {
                let text = format!("{closed} more_before={left_out}");
                for_closes.log(Event::CallerClosed, &text);
            }
        }),
        handler: Rc::new(move |req| Box::pin(take(shared.clone(), threads.clone(), req))),
    }
}

/// Counts an answer as under way until its connection is done with it.
struct UnderWay(Arc<Shared>);

impl UnderWay {
    fn new(shared: &Arc<Shared>) -> UnderWay {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        UnderWay(shared.clone())
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Reads a request, hands it to a thread and waits for the head of its answer.
async fn take(
    shared: Arc<Shared>,
    threads: Sender<Taken>,
    req: http::Request<Incoming>,
) -> HandlerResponse {
    let began = Instant::now();
    let under_way = UnderWay::new(&shared);
    let (head, body) = req.into_parts();
    let body = read_body(&shared, &head.headers, body).await;
    let (reply, answer) = oneshot::channel();
    let taken = Taken { request: Request::new(head, body, reply), began };
    match threads.try_send(taken) {
        Ok(()) => {}
        Err(TrySendError::Full(taken)) => {
            let e = Error::new(Code::Overloaded, "all threads of the host are busy");
            refuse(&shared, taken.request, &e.with_retry_after(RETRY_BUSY_MS));
        }
        // The threads are gone; the request is dropped and answered below.
        Err(TrySendError::Disconnected(_)) => {}
    }
    let resp = answer.await.unwrap_or_else(|_| {
        // The thread panicked, or the process ends.
        callers::response_head(500).map(|()| ReplyBody::Complete(Bytes::new()))
    });
    resp.map(|body| ResponseBody::from(body).on_end(move || drop(under_way)))
}

/// Reads a body within its bounds of size and time.
async fn read_body(shared: &Shared, headers: &HeaderMap, body: Incoming) -> Result<Bytes> {
    let limits = &shared.settings.limits;
    let announced = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    let reading = Counted::new(&shared.reading);
    let is_large = announced.map_or(!body.is_end_stream(), |n: usize| n > SMALL_BODY);
    // What bodies on their way take of the memory is bounded.
    if is_large && reading.0.load(Ordering::Acquire) as usize > limits.threads.div_ceil(2) {
        let e = Error::new(Code::Overloaded, "too many bodies are on their way");
        return Err(e.with_retry_after(RETRY_BUSY_MS));
    }
    let late = |_| {
        let message = format!("the body took longer than {} ms", limits.body_ms);
        Error::new(Code::TooSlow, message)
    };
    let collected = collect(body, limits.body_bytes);
    tokio::time::timeout(Duration::from_millis(limits.body_ms), collected).await.map_err(late)?
}

async fn collect(mut body: Incoming, most: usize) -> Result<Bytes> {
    let mut whole = Vec::new();
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| outcome::bad_body("the body ends early"))?;
        let Some(data) = frame.data_ref() else { continue };
        read += data.len();
        if read <= most {
            whole.extend_from_slice(data);
        } else if read > most * DROPPED_TIMES {
            break;
        }
    }
    match read > most {
        true => Err(Error::new(Code::TooLarge, format!("the body is larger than {most} bytes"))),
        false => Ok(whole.into()),
    }
}

/// Carries requests until the accept loop is gone.
pub fn traffic_loop(shared: Arc<Shared>, requests: Receiver<Taken>, upstream: Upstream) {
    for taken in requests {
        let handled = catch_unwind(AssertUnwindSafe(|| handle(&shared, taken, &upstream)));
        if handled.is_err() {
            shared.metrics.event("thread_panicked");
            shared.log(Event::ThreadPanicked, "");
        }
    }
}

/// Counts something for as long as it lives.
struct Counted<'a>(&'a AtomicU64);

impl<'a> Counted<'a> {
    fn new(count: &'a AtomicU64) -> Counted<'a> {
        count.fetch_add(1, Ordering::AcqRel);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Room within a workspace's limits, given back when dropped.
struct RoomTaken<'a> {
    shared: &'a Shared,
    workspace: WorkspaceId,
}

impl Drop for RoomTaken<'_> {
    fn drop(&mut self) {
        self.shared.limits().release(&self.workspace);
    }
}

fn refuse(shared: &Shared, request: Request, e: &Error) {
    let id = shared.next_id();
    outcome::record_outcome(shared, &id, &Labels::default(), &Err(e.clone()));
    let headers = ResponseHeaders::new(&id, &request);
    drop(outcome::send_error_response(request, &headers, e));
}

/// What a path is.
enum Page {
    Health,
    Ready,
    Metrics,
    Status,
    Facts,
    Chat,
    Models,
    Sessions,
    Tickets,
    Service,
}

fn page_of(request: &Request) -> Result<Page> {
    let path = request.url().split('?').next().unwrap_or_default();
    let (page, method) = match path {
        "/healthz" => (Page::Health, Method::GET),
        "/readyz" => (Page::Ready, Method::GET),
        "/metrics" => (Page::Metrics, Method::GET),
        "/admin/status" => (Page::Status, Method::GET),
        "/admin/facts" => (Page::Facts, Method::POST),
        "/v1/chat/completions" => (Page::Chat, Method::POST),
        "/v1/models" => (Page::Models, Method::GET),
        "/v1/sessions" => (Page::Sessions, Method::POST),
        "/v1/tickets" => (Page::Tickets, Method::POST),
        _ if path.starts_with(SERVICES_PATH) => (Page::Service, request.method().clone()),
        _ => {
            let shown: String = path.chars().take(80).collect();
            return Err(unknown_name(Code::UnknownRoute, "path", &shown));
        }
    };
    match *request.method() == method {
        true => Ok(page),
        false => Err(Error::new(Code::BadMethod, format!("{path} takes {method}"))),
    }
}

fn handle(shared: &Shared, taken: Taken, upstream: &Upstream) {
    let page = match page_of(&taken.request) {
        Ok(page) => page,
        Err(e) => return refuse(shared, taken.request, &e),
    };
    match page {
        Page::Health => admin::send(taken.request, admin::health()),
        Page::Ready => admin::send(taken.request, admin::readiness(shared)),
        Page::Metrics => admin::send(taken.request, admin::metrics(shared)),
        Page::Status | Page::Facts => operator(shared, taken.request, &page),
        other => caller(shared, taken, upstream, &other),
    }
}

fn operator(shared: &Shared, mut request: Request, page: &Page) {
    let allowed = admin::check_operator(shared, &request);
    let answer = allowed.and_then(|()| match page {
        Page::Facts => {
            let body = request.take_body()?;
            Ok(serde_json::to_vec(&admin::take_fact(shared, &body)?))
        }
        _ => Ok(serde_json::to_vec(&admin::status(shared)?)),
    });
    let headers = ResponseHeaders::default();
    let sent = match answer {
        Ok(Ok(body)) => outcome::send_response(request, &headers, 200, "application/json", body),
        Ok(Err(e)) => {
            let e = Error::new(Code::Internal, e.to_string());
            outcome::send_error_response(request, &headers, &e)
        }
        Err(e) => outcome::send_error_response(request, &headers, &e),
    };
    // An operator that has left asks again.
    drop(sent);
}

/// Finds the workspace of a request.
fn authenticate(view: &View, request: &Request) -> Result<WorkspaceId> {
    let no_key = || Error::new(Code::NoKey, "the request carries no bearer key");
    let key = admin::bearer(request).ok_or_else(no_key)?;
    Ok(view.workspace_by_key_digest(&digest(key.as_bytes()))?.0.clone())
}

fn caller(shared: &Shared, mut taken: Taken, upstream: &Upstream, page: &Page) {
    let id = shared.next_id();
    let admitted = admit(shared, &mut taken.request, page);
    let (labels, result) = match admitted {
        Err(e) => {
            let headers = ResponseHeaders::new(&id, &taken.request);
            drop(outcome::send_error_response(taken.request, &headers, &e));
            (Labels::default(), Err(e))
        }
        Ok(Admitted { workspace, body, room }) => {
            let caller = RequestContext {
                shared,
                upstream,
                id: id.clone(),
                workspace,
                received_at: taken.began,
            };
            let done = match page {
                Page::Chat => chat::run(&caller, taken.request, &body),
                Page::Service => services::run(&caller, taken.request, body),
                _ => small(&caller, taken.request, &body, page),
            };
            drop(room);
            done
        }
    };
    outcome::record_outcome(shared, &id, &labels, &result);
}

struct Admitted<'a> {
    workspace: WorkspaceId,
    body: Vec<u8>,
    room: Option<RoomTaken<'a>>,
}

/// Checks a caller's request as early as it can be checked.
fn admit<'a>(shared: &'a Shared, request: &mut Request, page: &Page) -> Result<Admitted<'a>> {
    shared.gate.check()?;
    let workspace = authenticate(&shared.view.load(), request)?;
    let body = request.take_body()?;
    if matches!(page, Page::Chat) {
        shared.billing.check()?;
    }
    let room = match page {
        Page::Chat | Page::Service => Some(take_room(shared, &workspace)?),
        _ => None,
    };
    shared.retries.lock().expect("no holder of the lock panics").earn();
    Ok(Admitted { workspace, body, room })
}

fn take_room<'a>(shared: &'a Shared, workspace: &WorkspaceId) -> Result<RoomTaken<'a>> {
    match shared.limits().try_acquire(shared.now(), workspace) {
        Admission::Granted => Ok(RoomTaken { shared, workspace: workspace.clone() }),
        Admission::Refused { retry_after_ms } => {
            let message = format!("the limits of {workspace} are reached on this host");
            Err(Error::new(Code::OverLimit, message).with_retry_after(retry_after_ms))
        }
    }
}

/// Answers the small calls: models, sessions and tickets.
fn small(
    caller: &RequestContext<'_>,
    request: Request,
    body: &[u8],
    page: &Page,
) -> (Labels, Result<()>) {
    let view = caller.shared.view.load_full();
    let headers = ResponseHeaders::new(&caller.id, &request);
    let labels = Labels { workspace: caller.workspace.to_string(), ..Labels::default() };
    let answer = match page {
        Page::Models => Ok(models(caller, &view)),
        Page::Sessions => make_session(caller, &view, body).map(|made| json!(made)),
        _ => make_ticket(caller, &view).map(|made| json!(made)),
    };
    let sent = match &answer {
        Ok(value) => outcome::send_json(request, &headers, 200, value),
        Err(e) => outcome::send_error_response(request, &headers, e),
    };
    // A caller that has left asks again.
    drop(sent);
    (labels, answer.map(|_| ()))
}

/// Lists what a workspace may name as `model`: routes, and models with an allowed version.
fn models(caller: &RequestContext<'_>, view: &View) -> serde_json::Value {
    let allowed = |m: &tidetrack_core::config::Model| {
        let workspace = view.workspaces.get(&caller.workspace);
        workspace.is_some_and(|w| w.allow.contains(&m.serving))
    };
    let mut names: Vec<String> = view.policies.keys().map(RouteId::to_string).collect();
    names.extend(view.models.iter().filter(|(_, m)| allowed(m)).map(|(id, _)| id.to_string()));
    names.sort();
    names.dedup();
    let entries = names
        .into_iter()
        .map(|id| json!({"id": id, "object": "model", "owned_by": "tidetrack", "created": 0}));
    json!({"object": "list", "data": entries.collect::<Vec<_>>()})
}

/// Starts a session before its first request, so that two first requests meet one version.
fn make_session(caller: &RequestContext<'_>, view: &View, body: &[u8]) -> Result<SessionResponse> {
    let ask: SessionRequest = serde_json::from_slice(body).map_err(outcome::bad_body)?;
    let route: RouteId = ask.model.parse()?;
    let no_ring = || Error::new(Code::NotReady, "no key ring yet");
    let ring = view.key_ring.as_ref().ok_or_else(no_ring)?;
    let workspace = view.workspaces.get(&caller.workspace);
    let workspace = workspace.ok_or_else(|| Error::new(Code::NoKey, "the workspace is gone"))?;
    let model = match view.policies.get(&route) {
        Some(policy) => policy.spec.fallback.first().cloned(),
        None => ask.model.parse().ok().filter(|m| view.models.contains_key(m)),
    };
    let model = model.ok_or_else(|| unknown_name(Code::UnknownRoute, "route", &route))?;
    let id = caller.id.to_string();
    let draw = hash_fraction("version", &id);
    let chosen = view.choose_version(workspace, &model, draw, caller.shared.confirm())?;
    // Nothing runs yet: the credit is taken again by each of the session's requests.
    if let Some(credit) = &chosen.credit {
        credit.refund();
    }
    let session = Session {
        workspace: caller.workspace.clone(),
        route,
        version: chosen.version.clone(),
        generation: chosen.generation,
        nonce: rendezvous("session", &id),
    };
    Ok(SessionResponse { session: session.to_token(ring), version: chosen.version.to_string() })
}

fn make_ticket(caller: &RequestContext<'_>, view: &View) -> Result<TicketResponse> {
    if caller.shared.leaving.load(Ordering::Acquire) {
        return Err(Error::new(Code::Draining, "the host is leaving; ask another"));
    }
    let no_ring = || Error::new(Code::NotReady, "no key ring yet");
    let ring = view.key_ring.as_ref().ok_or_else(no_ring)?;
    let ticket = caller.shared.tickets().issue(caller.shared.now(), &caller.workspace)?;
    Ok(TicketResponse { ticket: ticket.to_token(ring) })
}
