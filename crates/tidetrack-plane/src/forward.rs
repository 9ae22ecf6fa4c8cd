//! Forwards requests to other hosts and runs requests that other hosts forward.
//!
//! Forwarded requests are HTTP requests on connections between hosts, with the caller's method, path,
//! headers and body, and one header that holds a [`ForwardedRequest`]. Responses carry a
//! [`ForwardResult`] in the same way. The connections share their address with the relay of store
//! changes and begin with a byte that no HTTP request begins with. The control thread accepts them
//! and passes them to the traffic thread. The receiver checks API keys itself, so a connection of
//! this kind permits nothing that a caller could not do.

use std::collections::HashMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::watch;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::{HostId, ModelId};
use tidetrack_core::traffic::budget::{AttemptBudget, FurtherAttempt};
use tidetrack_core::traffic::forwarding::{
    may_forward_elsewhere, pick_host, ForwardResult, ForwardedRequest, HolderDecline,
    MAX_HOSTS_PER_REQUEST, NO_LOSS_MS,
};
use tidetrack_core::traffic::stop::StopStage;
use tidetrack_core::units::Millis;

use crate::attempt::{self, Attempt, EndpointResponse, IdEcho};
use crate::body::ResponseBody;
use crate::choose::RETRY_OVERLOADED_MS;
use crate::exchange::serve_forwarded;
use crate::holders::{record_declined_endpoint, record_unreached};
use crate::job::{AttemptHistory, ChosenEndpoint, Job, PrefixLocation, Traffic};
use crate::request_body::OutgoingBody;
use crate::stall_aware_sleep::stall_aware_sleep;

/// First byte of a connection that carries forwarded requests.
pub const CONNECTION_PREAMBLE: u8 = 0x01;

/// Header of a forwarded request.
const FORWARDED_REQUEST: HeaderName = HeaderName::from_static("tidetrack-forwarded");

/// Header of the response to a forwarded request.
const FORWARD_RESULT: HeaderName = HeaderName::from_static("tidetrack-forward-result");

/// Headers that concern a single connection.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
    EXPECT,
];

/// Bytes that the head of a forwarded request may have beside those of a caller's head, for the added
/// header.
const ADDED_HEAD_BYTES: usize = 8 << 10;

/// Interval at which it is checked whether a host that works on a forwarded request is still heard.
const HOST_LOSS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Numbers of requests that this host has forwarded and not finished, by host.
pub type OutstandingForwards = HashMap<HostId, usize>;

/// Chooses another host for a request whose service this host does not reach. Fails at once if no
/// host is known that can take it.
pub fn choose_host(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
) -> Result<ChosenEndpoint> {
    let no_path = || {
        Error::new(Code::NoPath, "no network path to the service's endpoints at any known host")
            .with_retry_after(RETRY_OVERLOADED_MS)
    };
    choose_untried_host(traffic, job, attempts, |_| false).ok_or_else(no_path)
}

/// Chooses another host that may have some of its shares of the endpoints' limits left; `None` if none is
/// known.
pub fn choose_host_with_share(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
) -> Option<ChosenEndpoint> {
    let now = traffic.shared.now();
    let shares = traffic.idle_shares.borrow();
    if !shares.may_ask(now, &job.service) || attempts.forward_count >= MAX_HOSTS_PER_REQUEST {
        return None;
    }
    let has_declined = |host: &HostId| shares.has_declined(now, &job.service, host);
    choose_untried_host(traffic, job, attempts, has_declined)
}

/// Chooses a host that this request was not forwarded to before; `None` if it may not be forwarded or no
/// host is known that can take it.
fn choose_untried_host(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    is_excluded: impl Fn(&HostId) -> bool,
) -> Option<ChosenEndpoint> {
    if job.is_forwarded {
        return None;
    }
    let targets = traffic.shared.forward_targets.load();
    let outstanding = traffic.outstanding_forwards.borrow();
    let is_tried = |host: &HostId| is_excluded(host) || attempts.has_tried_host(host);
    let outstanding = |host: &HostId| outstanding.get(host).copied().unwrap_or(0);
    let target = pick_host(&targets, &job.service, &job.id, is_tried, outstanding)?;
    Some(ChosenEndpoint {
        // Names of hosts and endpoints have the same form.
        id: target.host.as_str().parse().ok()?,
        address: target.address.to_string(),
        failure_domain: traffic.shared.settings.failure_domain.clone(),
        state: Arc::default(),
        prefix: PrefixLocation::None,
        canary_version: None,
        is_loaded: false,
        forwarded_to: Some(target.host.clone()),
    })
}

/// Counts a forwarded request until it is dropped.
struct OutstandingGuard<'a> {
    traffic: &'a Traffic,
    host: &'a HostId,
}

impl<'a> OutstandingGuard<'a> {
    fn new(traffic: &'a Traffic, host: &'a HostId) -> OutstandingGuard<'a> {
        *traffic.outstanding_forwards.borrow_mut().entry(host.clone()).or_default() += 1;
        OutstandingGuard { traffic, host }
    }
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        let mut outstanding = self.traffic.outstanding_forwards.borrow_mut();
        if let Some(n) = outstanding.get_mut(self.host) {
            *n -= 1;
            if *n == 0 {
                outstanding.remove(self.host);
            }
        }
    }
}

/// Forwards a request to the chosen host and waits for the head of the response. The response is the
/// endpoint's, as if it had been received from it; an error of the other host is returned as such.
pub async fn send(
    traffic: &Traffic,
    job: &Job,
    attempts: &mut AttemptHistory,
    chosen: &ChosenEndpoint,
    host: &HostId,
    model: Option<&ModelId>,
    resume_after: Option<u64>,
) -> Result<EndpointResponse> {
    let _guard = OutstandingGuard::new(traffic, host);
    attempts.tried_hosts.push(host.clone());
    attempts.tried.push(chosen.id.clone());
    attempts.forward_count += 1;
    let charge = ForwardCharge::acquire(traffic, job, attempts);
    attempts.is_next_charged = false;
    let started_at = Instant::now();
    let reason = match chosen.asked_endpoint() {
        Some(_) => "holder",
        None if traffic.paths.is_lost(&job.service) => "path",
        None => "share",
    };
    let log = |event, outcome: &dyn std::fmt::Display, endpoint: &dyn std::fmt::Display| {
        let fields: [(&'static str, &dyn std::fmt::Display); 7] = [
            ("request", &job.id),
            ("service", &job.service),
            ("for", &reason),
            ("to", host),
            ("outcome", outcome),
            ("endpoint", endpoint),
            ("ms", &started_at.elapsed().as_millis()),
        ];
        traffic.shared.journal.log_routine(event, &fields);
    };
    log(Event::RequestForwarded, &"-", &"-");
    let used_connections = attempts.used_connections.clone();
    let attempt = Attempt {
        pool: &traffic.host_pool,
        read_answer: traffic.shared.dialect.parse_response_head,
        on_head: &|_| {},
        on_response: &|_| {},
        endpoint: chosen.peer_name(),
        address: &chosen.address,
        attempt_id: job.facts.attempt_id.as_deref(),
        echo: IdEcho::Required,
        is_repeatable: job.admitted.route.work.is_repeatable(),
        max_idle: Duration::MAX,
        used_connections: &used_connections,
        deadline: job.deadline,
    };
    let is_open = attempts.is_open.clone();
    let make_request = || {
        is_open.set(true);
        let mut envelope = build_envelope(traffic, job, attempts, model, resume_after);
        envelope.endpoint = chosen.asked_endpoint().cloned();
        envelope.is_next_charged = charge.is_acquired;
        build_request(job, &envelope)
    };
    let exchange = async {
        tokio::select! {
            biased;
            response = attempt::exchange(&attempt, make_request) => response,
            () = wait_for_host_loss(traffic, job, host) => {
                Err(Error::new(Code::EndpointFailed, "the host is not heard any more")
                    .with_executed(Executed::Unknown))
            }
        }
    };
    let (mut head, body, lease) = match exchange.await {
        Ok(response) => response,
        Err(e) => {
            // The other host may have made an attempt before the connection was lost.
            match e.executed {
                Executed::No => charge.refund(traffic, job),
                _ => attempts.sent_count += 1,
            }
            // A request that was too slow says nothing about the holder.
            if e.code != Code::Deadline {
                record_unreached(traffic, job, attempts, chosen, host);
            }
            log(Event::ForwardEnded, &e, &"-");
            traffic.shared.metrics.record_forward("lost");
            return Err(e);
        }
    };
    let result = take_header::<ForwardResult>(&mut head.headers, &FORWARD_RESULT)
        .ok_or_else(|| Error::new(Code::EndpointFailed, "the host returned no forwarding result"));
    let result = match result {
        Ok(result) => result,
        Err(e) => {
            log(Event::ForwardEnded, &e, &"-");
            return Err(e);
        }
    };
    if result.attempts <= attempts.sent_count {
        charge.refund(traffic, job);
    }
    attempts.sent_count = attempts.sent_count.max(result.attempts);
    if let Some(e) = result.error {
        match chosen.asked_endpoint() {
            Some(endpoint) if e.code == Code::Overloaded && result.decline.is_none() => {
                record_declined_endpoint(traffic, job, endpoint, &e);
            }
            Some(endpoint) if result.decline == Some(HolderDecline::ShareInUse) => {
                attempts.tried.retain(|id| id != endpoint);
            }
            Some(_) if result.decline.is_some() || may_forward_elsewhere(&e) => {
                record_unreached(traffic, job, attempts, chosen, host);
            }
            None if e.code == Code::Overloaded => {
                let now = traffic.shared.now();
                traffic.idle_shares.borrow_mut().record_decline(now, &job.service, host);
            }
            _ => {}
        }
        attempt::discard_body(&traffic.host_pool, chosen.peer_name(), body, lease, None);
        log(Event::ForwardEnded, &e, &"-");
        traffic.shared.metrics.record_forward("declined");
        return Err(e);
    }
    let endpoint = result.endpoint.map_or_else(|| "-".to_string(), |id| id.to_string());
    log(Event::ForwardEnded, &head.status.as_u16(), &endpoint);
    traffic.shared.metrics.record_forward("answered");
    attempt::check_head(&attempt, head, body, lease)
}

/// Waits until a host that a request was forwarded to is no longer heard, as a suspended one is not. Never returns
/// for a request that cannot be repeated.
async fn wait_for_host_loss(traffic: &Traffic, job: &Job, host: &HostId) {
    if !job.admitted.route.work.is_repeatable() {
        return std::future::pending().await;
    }
    let is_heard = || traffic.shared.forward_targets.load().iter().any(|t| t.host == *host);
    while is_heard() {
        stall_aware_sleep(HOST_LOSS_POLL_INTERVAL).await;
    }
}

/// A further attempt of a forwarded request, in the budget of this host. The other host may have too
/// little traffic of its own to pay for the requests of hosts that are cut off; if this host cannot pay
/// either, the other one decides.
struct ForwardCharge {
    is_acquired: bool,
    acquired_at: Millis,
}

impl ForwardCharge {
    fn acquire(traffic: &Traffic, job: &Job, attempts: &AttemptHistory) -> ForwardCharge {
        let now = traffic.shared.now();
        let acquire = |b: &mut AttemptBudget| b.try_acquire(now, FurtherAttempt::Failure);
        let is_acquired = attempts.is_next_charged
            || attempts.sent_count > 0 && traffic.with_budget(&job.service, acquire);
        ForwardCharge { is_acquired, acquired_at: now }
    }

    fn refund(&self, traffic: &Traffic, job: &Job) {
        if self.is_acquired {
            traffic.with_budget(&job.service, |b| b.refund(self.acquired_at));
        }
    }
}

fn build_envelope(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    model: Option<&ModelId>,
    resume_after: Option<u64>,
) -> ForwardedRequest {
    let lost_for_ms = match traffic.paths.is_lost(&job.service) {
        true => traffic.paths.lost_for(traffic, &job.service).as_millis() as u64,
        false => NO_LOSS_MS,
    };
    ForwardedRequest {
        from: traffic.shared.settings.host.clone(),
        request: job.id.clone(),
        time_left_ms: job.time_left().as_millis() as u64,
        config: job.config,
        lost_for_ms,
        attempts: attempts.sent_count,
        executed: attempts.executed,
        is_next_charged: false,
        // The receiver chooses the model of a request whose response has not begun.
        model: model.filter(|_| resume_after.is_some()).cloned(),
        last_event: resume_after,
        endpoint: None,
        is_last_host: attempts.forward_count >= MAX_HOSTS_PER_REQUEST,
    }
}

fn build_request(job: &Job, envelope: &ForwardedRequest) -> Request<OutgoingBody> {
    let mut req = Request::new(OutgoingBody::from(&job.body));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.uri.clone();
    *req.headers_mut() = job.headers.clone();
    strip_hop_by_hop(req.headers_mut());
    set_header(req.headers_mut(), &FORWARDED_REQUEST, envelope);
    req
}

/// Removes the headers that concern only the caller's connection.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let options: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    options.iter().for_each(|name| drop(headers.remove(name.as_str())));
    HOP_BY_HOP.iter().for_each(|name| drop(headers.remove(name)));
}

/// Sets a header to a value in JSON, whose other characters than ASCII are escaped.
fn set_header(headers: &mut HeaderMap, name: &HeaderName, value: &impl Serialize) {
    let text = serde_json::to_string(value).unwrap_or_default();
    let escaped: String = text
        .chars()
        .flat_map(|c| match c.is_ascii() {
            true => vec![c],
            false => c.escape_unicode().filter(|c| !matches!(c, '{' | '}')).collect(),
        })
        .collect();
    if let Ok(value) = HeaderValue::from_str(&escaped) {
        headers.insert(name.clone(), value);
    }
}

/// Removes a header and returns its value, or `None` if it is missing or cannot be decoded.
fn take_header<T: DeserializeOwned>(headers: &mut HeaderMap, name: &HeaderName) -> Option<T> {
    let value = headers.remove(name)?;
    serde_json::from_slice(value.as_bytes()).ok()
}

/// Adds the result to the response to a forwarded request.
pub fn set_result(resp: &mut Response<ResponseBody>, result: &ForwardResult) {
    set_header(resp.headers_mut(), &FORWARD_RESULT, result);
}

/// Removes and returns what the forwarding host said about a request.
pub fn take_envelope(req: &mut Request<Incoming>) -> Result<ForwardedRequest> {
    let missing = || Error::new(Code::BadValue, "a forwarded request has no valid description");
    take_header(req.headers_mut(), &FORWARDED_REQUEST).ok_or_else(missing)
}

/// Serves connections of other hosts that the control thread has accepted, until the process ends.
pub async fn serve_connections(
    traffic: Rc<Traffic>,
    connections: flume::Receiver<std::net::TcpStream>,
    stage: watch::Receiver<StopStage>,
) {
    while let Ok(stream) = connections.recv_async().await {
        match TcpStream::from_std(stream) {
            Ok(stream) => {
                tokio::task::spawn_local(serve_connection(traffic.clone(), stream, stage.clone()));
            }
            Err(e) => traffic.shared.journal.log(Event::AcceptFailed, &[("why", &e)]),
        }
    }
}

/// Serves one connection until the other host closes it or this host stops.
async fn serve_connection(
    traffic: Rc<Traffic>,
    stream: TcpStream,
    mut stage: watch::Receiver<StopStage>,
) {
    if let Err(e) = stream.set_nodelay(true) {
        return traffic.shared.journal.log(Event::AcceptFailed, &[("why", &e)]);
    }
    let service = service_fn(|req| {
        let traffic = traffic.clone();
        async move { Ok::<_, Infallible>(serve_forwarded(traffic, req).await) }
    });
    let limits = traffic.shared.view.load().catalog.as_ref().map(|c| c.limits).unwrap_or_default();
    let conn = Builder::new()
        .max_buf_size(limits.max_head_bytes + ADDED_HEAD_BYTES)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut conn = std::pin::pin!(conn);
    let is_closing = |stage: &StopStage| *stage >= StopStage::Closing;
    tokio::select! {
        // A host whose connection breaks sees the error itself.
        _ = conn.as_mut() => return,
        // The sender is dropped only at the end of the process.
        _ = stage.wait_for(is_closing) => conn.as_mut().graceful_shutdown(),
    }
    let _ = conn.await;
}
