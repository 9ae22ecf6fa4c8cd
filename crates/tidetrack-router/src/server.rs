//! Caller-facing server: accepts requests from the HTTP server of `tidetrack-plane`, queues them
//! for the request threads and performs the checks that are possible before routing.
//!
//! A panic while processing a request ends only that request. The queue for the threads is bounded;
//! when it is full, requests are rejected immediately.

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
use crate::metrics::RequestLabels;
use crate::outcome::{self, ResponseHeaders};
use crate::services::{self, SERVICES_PATH};
use crate::shared::Shared;
use crate::upstream::Upstream;

/// Maximum size in bytes of a body that is exempt from the limit on concurrent body reads. Such a
/// body usually arrives together with the head.
const SMALL_BODY_BYTES: usize = 1024;

/// A body that exceeds the size limit is still read, and discarded, up to this multiple of the
/// limit, so that the caller finishes sending and receives the error response.
const MAX_DISCARDED_RATIO: usize = 2;

/// Delay in milliseconds after which a caller should retry when all threads are busy or too many
/// bodies are being read.
const OVERLOAD_RETRY_AFTER_MS: u64 = 1_000;

/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Time within which a request head must arrive.
const HEAD_TIMEOUT: Millis = Millis(10_000);

/// Time after which an idle keep-alive connection is closed.
const IDLE_TIMEOUT: Millis = Millis(60_000);

/// A request in the queue for the request threads, with the time at which its head arrived.
pub struct QueuedRequest {
    request: Request,
    received_at: Instant,
}

/// Handle for stopping the event loop that serves callers, which runs on its own thread.
pub struct CallerListener {
    stop_sender: flume::Sender<()>,
    stopped_receiver: flume::Receiver<()>,
}

impl CallerListener {
    /// Creates the handle and the signal that the event loop waits for.
    pub fn new() -> (CallerListener, StopSignal) {
        let (stop_sender, stop_receiver) = flume::bounded(1);
        let (stopped_sender, stopped_receiver) = flume::bounded(1);
        (
            CallerListener { stop_sender, stopped_receiver },
            StopSignal { stop_receiver, stopped_sender },
        )
    }

    /// Stops accepting requests and closes all connections; returns after the event loop has ended.
    pub fn stop(&self) {
        // Sending fails if the event loop was stopped before; there is nothing to wait for then.
        if self.stop_sender.try_send(()).is_ok() {
            let _ = self.stopped_receiver.recv();
        }
    }
}

/// The event loop's side of a [`CallerListener`]: receives the stop request and confirms it.
pub struct StopSignal {
    stop_receiver: flume::Receiver<()>,
    stopped_sender: flume::Sender<()>,
}

/// Serves the connections of callers and sends requests to endpoints on the current thread, until
/// the [`CallerListener`] is stopped or dropped.
///
/// Returns an error if the runtime or the listener cannot be set up.
pub fn serve_callers(
    shared: Arc<Shared>,
    listener: TcpListener,
    stop_signal: StopSignal,
    request_queue: Sender<QueuedRequest>,
    endpoint_requests: Receiver<EndpointRequest>,
) -> std::io::Result<()> {
    let runtime = Builder::new_current_thread().enable_io().enable_time().build()?;
    listener.set_nonblocking(true)?;
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let (_stage_sender, stage_receiver) = watch::channel(StopStage::Serving);
        let opts = server_options(shared, request_queue);
        tokio::task::spawn_local(endpoint_client::run(endpoint_requests));
        tokio::task::spawn_local(accept_loop(listener, opts, Rc::default(), stage_receiver));
        // The sender is dropped only when the process ends, which also means stop.
        let _ = stop_signal.stop_receiver.recv_async().await;
        std::io::Result::Ok(())
    })?;
    drop(local);
    // If the `CallerListener` was dropped, nothing waits for the confirmation.
    let _ = stop_signal.stopped_sender.try_send(());
    Ok(())
}

fn server_options(shared: Arc<Shared>, request_queue: Sender<QueuedRequest>) -> ServerOptions {
    let limits = &shared.settings.limits;
    let caller_limits = CallerLimits {
        max_head_bytes: MAX_HEAD_BYTES,
        max_body_bytes: limits.max_body_bytes,
        head_timeout: HEAD_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
    };
    let (accept_shared, close_shared, close_log) =
        (shared.clone(), shared.clone(), CloseLog::default());
    ServerOptions {
        max_connections: limits.max_connections,
        receive_buffer: None,
        on_full: Rc::new(|| {}),
        limits: Rc::new(move || caller_limits),
        on_accept_error: Rc::new(move |err| {
            accept_shared.log(Event::AcceptFailed, &err.to_string())
        }),
        on_closed: Rc::new(move |closed| {
            if let Some(suppressed_count) = close_log.admit(closed) {
                let detail = format!("{closed} more_before={suppressed_count}");
                close_shared.log(Event::CallerClosed, &detail);
            }
        }),
        handler: Rc::new(move |req| {
            Box::pin(dispatch_request(shared.clone(), request_queue.clone(), req))
        }),
    }
}

/// Counts a request as in flight until its response has been sent or its connection is closed.
struct InFlightGuard(Arc<Shared>);

impl InFlightGuard {
    fn new(shared: &Arc<Shared>) -> InFlightGuard {
        shared.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(shared.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Reads a request, queues it for a request thread and waits for the head of the response.
async fn dispatch_request(
    shared: Arc<Shared>,
    request_queue: Sender<QueuedRequest>,
    req: http::Request<Incoming>,
) -> HandlerResponse {
    let received_at = Instant::now();
    let in_flight_guard = InFlightGuard::new(&shared);
    let (head, body) = req.into_parts();
    let body = read_body(&shared, &head.headers, body).await;
    let (reply_sender, reply_receiver) = oneshot::channel();
    let queued = QueuedRequest { request: Request::new(head, body, reply_sender), received_at };
    match request_queue.try_send(queued) {
        Ok(()) => {}
        Err(TrySendError::Full(queued)) => {
            let err =
                Error::new(Code::Overloaded, "all request threads are busy and the queue is full");
            reject_request(&shared, queued.request, &err.with_retry_after(OVERLOAD_RETRY_AFTER_MS));
        }
        // The threads have ended; the request is dropped and the code below responds with status
        // 500.
        Err(TrySendError::Disconnected(_)) => {}
    }
    let response = reply_receiver.await.unwrap_or_else(|_| {
        // The request thread panicked or the process is ending.
        callers::response_head(500).map(|()| ReplyBody::Complete(Bytes::new()))
    });
    response.map(|body| ResponseBody::from(body).on_end(move || drop(in_flight_guard)))
}

/// Reads a body within the limits on its size and arrival time.
///
/// Returns `Overloaded` if too many large bodies are being read, `TooSlow` if the body does not
/// arrive in time, and `TooLarge` if it exceeds the size limit.
async fn read_body(shared: &Shared, headers: &HeaderMap, body: Incoming) -> Result<Bytes> {
    let limits = &shared.settings.limits;
    let content_length = headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
    let body_reads = CounterGuard::new(&shared.body_reads);
    let is_large = content_length.map_or(!body.is_end_stream(), |n: usize| n > SMALL_BODY_BYTES);
    // Bounds the memory that partially received bodies occupy.
    if is_large && body_reads.0.load(Ordering::Acquire) as usize > limits.threads.div_ceil(2) {
        let err = Error::new(Code::Overloaded, "too many request bodies are being read");
        return Err(err.with_retry_after(OVERLOAD_RETRY_AFTER_MS));
    }
    let timeout_error = |_| {
        let message = format!("the body did not arrive within {} ms", limits.body_timeout_ms);
        Error::new(Code::TooSlow, message)
    };
    let body_read = collect_body(body, limits.max_body_bytes);
    tokio::time::timeout(Duration::from_millis(limits.body_timeout_ms), body_read)
        .await
        .map_err(timeout_error)?
}

async fn collect_body(mut body: Incoming, max_bytes: usize) -> Result<Bytes> {
    let mut collected = Vec::new();
    let mut total_bytes = 0;
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|_| outcome::bad_body("the body could not be read to its end"))?;
        let Some(data) = frame.data_ref() else { continue };
        total_bytes += data.len();
        if total_bytes <= max_bytes {
            collected.extend_from_slice(data);
        } else if total_bytes > max_bytes * MAX_DISCARDED_RATIO {
            break;
        }
    }
    match total_bytes > max_bytes {
        true => Err(Error::new(
            Code::TooLarge,
            format!("the body exceeds the limit of {max_bytes} bytes"),
        )),
        false => Ok(collected.into()),
    }
}

/// Processes queued requests until the accept loop has ended. Runs on each request thread.
pub fn process_requests(
    shared: Arc<Shared>,
    requests: Receiver<QueuedRequest>,
    upstream: Upstream,
) {
    for queued in requests {
        let handled = catch_unwind(AssertUnwindSafe(|| handle_request(&shared, queued, &upstream)));
        if handled.is_err() {
            shared.metrics.count_event("thread_panicked");
            shared.log(Event::ThreadPanicked, "");
        }
    }
}

/// Increments a counter for as long as the guard lives.
struct CounterGuard<'a>(&'a AtomicU64);

impl<'a> CounterGuard<'a> {
    fn new(count: &'a AtomicU64) -> CounterGuard<'a> {
        count.fetch_add(1, Ordering::AcqRel);
        CounterGuard(count)
    }
}

impl Drop for CounterGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Permission for one request under the limits of a workspace, released on drop.
struct WorkspacePermit<'a> {
    shared: &'a Shared,
    workspace: WorkspaceId,
}

impl Drop for WorkspacePermit<'_> {
    fn drop(&mut self) {
        self.shared.limits().release(&self.workspace);
    }
}

fn reject_request(shared: &Shared, request: Request, err: &Error) {
    let id = shared.next_id();
    outcome::record_outcome(shared, &id, &RequestLabels::default(), &Err(err.clone()));
    let headers = ResponseHeaders::new(&id, &request);
    drop(outcome::send_error_response(request, &headers, err));
}

/// The API path of a request.
enum ApiPath {
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

fn parse_path(request: &Request) -> Result<ApiPath> {
    let path = request.url().split('?').next().unwrap_or_default();
    let (api_path, method) = match path {
        "/healthz" => (ApiPath::Health, Method::GET),
        "/readyz" => (ApiPath::Ready, Method::GET),
        "/metrics" => (ApiPath::Metrics, Method::GET),
        "/admin/status" => (ApiPath::Status, Method::GET),
        "/admin/facts" => (ApiPath::Facts, Method::POST),
        "/v1/chat/completions" => (ApiPath::Chat, Method::POST),
        "/v1/models" => (ApiPath::Models, Method::GET),
        "/v1/sessions" => (ApiPath::Sessions, Method::POST),
        "/v1/tickets" => (ApiPath::Tickets, Method::POST),
        _ if path.starts_with(SERVICES_PATH) => (ApiPath::Service, request.method().clone()),
        _ => {
            let truncated_path: String = path.chars().take(80).collect();
            return Err(unknown_name(Code::UnknownRoute, "path", &truncated_path));
        }
    };
    match *request.method() == method {
        true => Ok(api_path),
        false => {
            Err(Error::new(Code::BadMethod, format!("{path} supports only the method {method}")))
        }
    }
}

fn handle_request(shared: &Shared, queued: QueuedRequest, upstream: &Upstream) {
    let api_path = match parse_path(&queued.request) {
        Ok(api_path) => api_path,
        Err(err) => return reject_request(shared, queued.request, &err),
    };
    match api_path {
        ApiPath::Health => admin::send_page(queued.request, admin::health()),
        ApiPath::Ready => admin::send_page(queued.request, admin::readiness(shared)),
        ApiPath::Metrics => admin::send_page(queued.request, admin::metrics(shared)),
        ApiPath::Status | ApiPath::Facts => {
            handle_operator_request(shared, queued.request, &api_path)
        }
        other => handle_caller_request(shared, queued, upstream, &other),
    }
}

fn handle_operator_request(shared: &Shared, mut request: Request, api_path: &ApiPath) {
    let authorized = admin::check_operator(shared, &request);
    let result = authorized.and_then(|()| match api_path {
        ApiPath::Facts => {
            let body = request.take_body()?;
            Ok(serde_json::to_vec(&admin::add_fact(shared, &body)?))
        }
        _ => Ok(serde_json::to_vec(&admin::status(shared)?)),
    });
    let headers = ResponseHeaders::default();
    let send_result = match result {
        Ok(Ok(body)) => outcome::send_response(request, &headers, 200, "application/json", body),
        Ok(Err(err)) => {
            let err = Error::new(Code::Internal, err.to_string());
            outcome::send_error_response(request, &headers, &err)
        }
        Err(err) => outcome::send_error_response(request, &headers, &err),
    };
    // An operator that disconnected can repeat the request.
    drop(send_result);
}

/// Returns the workspace that the bearer key of a request belongs to.
fn authenticate(view: &View, request: &Request) -> Result<WorkspaceId> {
    let missing_key =
        || Error::new(Code::NoKey, "the request has no bearer key in the Authorization header");
    let key = admin::bearer_key(request).ok_or_else(missing_key)?;
    Ok(view.workspace_by_key_digest(&digest(key.as_bytes()))?.0.clone())
}

fn handle_caller_request(
    shared: &Shared,
    mut queued: QueuedRequest,
    upstream: &Upstream,
    api_path: &ApiPath,
) {
    let id = shared.next_id();
    let admitted = admit(shared, &mut queued.request, api_path);
    let (labels, result) = match admitted {
        Err(err) => {
            let headers = ResponseHeaders::new(&id, &queued.request);
            drop(outcome::send_error_response(queued.request, &headers, &err));
            (RequestLabels::default(), Err(err))
        }
        Ok(Admitted { workspace, body, permit }) => {
            let caller = RequestContext {
                shared,
                upstream,
                id: id.clone(),
                workspace,
                received_at: queued.received_at,
            };
            let labeled_result = match api_path {
                ApiPath::Chat => chat::run(&caller, queued.request, &body),
                ApiPath::Service => services::run(&caller, queued.request, body),
                _ => handle_local_request(&caller, queued.request, &body, api_path),
            };
            drop(permit);
            labeled_result
        }
    };
    outcome::record_outcome(shared, &id, &labels, &result);
}

struct Admitted<'a> {
    workspace: WorkspaceId,
    body: Vec<u8>,
    permit: Option<WorkspacePermit<'a>>,
}

/// Performs the checks that precede routing: whether the host accepts requests, the caller's key,
/// whether the body was received, whether bills can be stored (chat only), and the limits of the
/// workspace (chat and services). Each admitted request adds to the retry budget.
fn admit<'a>(
    shared: &'a Shared,
    request: &mut Request,
    api_path: &ApiPath,
) -> Result<Admitted<'a>> {
    shared.admission.check()?;
    let workspace = authenticate(&shared.view.load(), request)?;
    let body = request.take_body()?;
    if matches!(api_path, ApiPath::Chat) {
        shared.billing.check()?;
    }
    let permit = match api_path {
        ApiPath::Chat | ApiPath::Service => Some(acquire_permit(shared, &workspace)?),
        _ => None,
    };
    shared.retry_budget.lock().expect("no holder of the lock panics").earn();
    Ok(Admitted { workspace, body, permit })
}

fn acquire_permit<'a>(shared: &'a Shared, workspace: &WorkspaceId) -> Result<WorkspacePermit<'a>> {
    match shared.limits().try_acquire(shared.now(), workspace) {
        Admission::Granted => Ok(WorkspacePermit { shared, workspace: workspace.clone() }),
        Admission::Refused { retry_after_ms } => {
            let message = format!("workspace {workspace} has reached its limits on this host");
            Err(Error::new(Code::OverLimit, message).with_retry_after(retry_after_ms))
        }
    }
}

/// Responds to the requests that need no endpoint: models, sessions and tickets.
fn handle_local_request(
    caller: &RequestContext<'_>,
    request: Request,
    body: &[u8],
    api_path: &ApiPath,
) -> (RequestLabels, Result<()>) {
    let view = caller.shared.view.load_full();
    let headers = ResponseHeaders::new(&caller.id, &request);
    let labels =
        RequestLabels { workspace: caller.workspace.to_string(), ..RequestLabels::default() };
    let result = match api_path {
        ApiPath::Models => Ok(list_models(caller, &view)),
        ApiPath::Sessions => create_session(caller, &view, body).map(|created| json!(created)),
        _ => create_ticket(caller, &view).map(|created| json!(created)),
    };
    let send_result = match &result {
        Ok(value) => outcome::send_json(request, &headers, 200, value),
        Err(err) => outcome::send_error_response(request, &headers, err),
    };
    // A caller that disconnected can repeat the request.
    drop(send_result);
    (labels, result.map(|_| ()))
}

/// Lists the names that a workspace may use as `model`: all routes, and the models whose serving
/// version the workspace allows.
fn list_models(caller: &RequestContext<'_>, view: &View) -> serde_json::Value {
    let is_allowed = |model_spec: &tidetrack_core::config::Model| {
        let workspace = view.workspaces.get(&caller.workspace);
        workspace.is_some_and(|workspace_spec| workspace_spec.allow.contains(&model_spec.serving))
    };
    let mut names: Vec<String> = view.policies.keys().map(RouteId::to_string).collect();
    names.extend(
        view.models
            .iter()
            .filter(|(_, model_spec)| is_allowed(model_spec))
            .map(|(id, _)| id.to_string()),
    );
    names.sort();
    names.dedup();
    let entries = names
        .into_iter()
        .map(|id| json!({"id": id, "object": "model", "owned_by": "tidetrack", "created": 0}));
    json!({"object": "list", "data": entries.collect::<Vec<_>>()})
}

/// Creates a session before its first request, so that two concurrent first requests use the same
/// version.
fn create_session(
    caller: &RequestContext<'_>,
    view: &View,
    body: &[u8],
) -> Result<SessionResponse> {
    let session_request: SessionRequest =
        serde_json::from_slice(body).map_err(outcome::bad_body)?;
    let route: RouteId = session_request.model.parse()?;
    let no_key_ring =
        || Error::new(Code::NotReady, "the host has no key ring for sessions and tickets yet");
    let ring = view.key_ring.as_ref().ok_or_else(no_key_ring)?;
    let workspace = view.workspaces.get(&caller.workspace);
    let workspace = workspace
        .ok_or_else(|| Error::new(Code::NoKey, "the workspace of the API key no longer exists"))?;
    let model = match view.policies.get(&route) {
        Some(policy) => policy.spec.fallback.first().cloned(),
        None => session_request
            .model
            .parse()
            .ok()
            .filter(|model_spec| view.models.contains_key(model_spec)),
    };
    let model = model.ok_or_else(|| unknown_name(Code::UnknownRoute, "route", &route))?;
    let id = caller.id.to_string();
    let version_fraction = hash_fraction("version", &id);
    let choice = view.choose_version(
        workspace,
        &model,
        version_fraction,
        caller.shared.wait_for_confirmation(),
    )?;
    // No request runs yet: each request of the session acquires its own credit.
    if let Some(credit) = &choice.credit {
        credit.refund();
    }
    let session = Session {
        workspace: caller.workspace.clone(),
        route,
        version: choice.version.clone(),
        generation: choice.generation,
        nonce: rendezvous("session", &id),
    };
    Ok(SessionResponse { session: session.to_token(ring), version: choice.version.to_string() })
}

fn create_ticket(caller: &RequestContext<'_>, view: &View) -> Result<TicketResponse> {
    if caller.shared.is_leaving.load(Ordering::Acquire) {
        return Err(Error::new(
            Code::Draining,
            "the host is shutting down; send the request to another host",
        ));
    }
    let no_key_ring =
        || Error::new(Code::NotReady, "the host has no key ring for sessions and tickets yet");
    let ring = view.key_ring.as_ref().ok_or_else(no_key_ring)?;
    let ticket = caller.shared.tickets().issue(caller.shared.now(), &caller.workspace)?;
    Ok(TicketResponse { ticket: ticket.to_token(ring) })
}
