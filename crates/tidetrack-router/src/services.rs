//! Calls to plain services, with the tickets and claims that prevent a second execution of calls
//! that must not be repeated.

use std::time::{Duration, Instant};

use http::Method;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::{unknown_name, Error, Result};
use tidetrack_core::ids::{EndpointId, ServiceId};
use tidetrack_core::message_auth::digest;
use tidetrack_core::placement::{rendezvous, PlacementRequest};
use tidetrack_core::retry::{may_retry, FailedAttempt};
use tidetrack_core::tickets::{StoredResponse, Ticket, TicketAdmission};
use tidetrack_core::traffic::fingerprint::{Fingerprint, RequestIdentity};
use tidetrack_core::units::Tokens;
use tidetrack_core::view::{ServiceView, View};
use tidetrack_wire::headers;
use tidetrack_wire::platform::CLAIM_PREFIX;

use crate::callers::Request;
use crate::chat::RequestContext;
use crate::control::ControlMsg;
use crate::metrics::RequestLabels;
use crate::outcome::{self, header_value, ResponseHeaders};
use crate::upstream::{Attempt, AttemptParams};

/// Path prefix of service calls.
pub const SERVICES_PATH: &str = "/v1/services/";

/// Maximum number of attempts per call.
const MAX_ATTEMPTS: usize = 3;

/// Time after which a caller may retry when its claim could not be written, in milliseconds.
const CLAIM_RETRY_AFTER_MS: u64 = 2_000;

/// Work that a call adds to the load of an endpoint, in response tokens.
const WORK_PER_CALL: u64 = 50;

/// Timeout in seconds of a call that is forwarded to another host.
const FORWARD_TIMEOUT_SECONDS: u64 = 15;

/// Maximum size of a service's response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A complete response of a service.
struct ServiceResponse {
    status: u16,
    content_type: String,
    /// Id of the endpoint that responded; empty if unknown, as for a replayed response.
    endpoint: String,
    body: Vec<u8>,
}

/// How a call is protected against a second execution.
enum ExecutionGuard {
    /// The call may be repeated.
    Repeatable,
    /// The call must not be repeated, but has neither a ticket nor an idempotency key by which a
    /// repetition could be recognized.
    Unguarded,
    /// The call has a ticket that this incarnation issued.
    Ticket(Ticket),
    /// The call's idempotency key is claimed by an object in the object API. `name` and `version`
    /// identify that object.
    Claim { name: String, version: u64 },
}

/// A service call that is being processed.
struct Call<'a, 'c> {
    context: &'a RequestContext<'c>,
    service: &'a ServiceView,
    name: ServiceId,
    method: Method,
    path: String,
    content_type: String,
    body: Vec<u8>,
    fingerprint: Fingerprint,
    labels: RequestLabels,
    deadline: Instant,
}

/// Processes a service call and sends the response. Returns the labels under which its metrics are
/// recorded, and the error that was sent, if any.
pub fn run(
    context: &RequestContext<'_>,
    request: Request,
    body: Vec<u8>,
) -> (RequestLabels, Result<()>) {
    let view = context.shared.view.load_full();
    let mut headers = ResponseHeaders::new(&context.id, &request);
    let mut labels =
        RequestLabels { workspace: context.workspace.to_string(), ..RequestLabels::default() };
    let result = resolve_service(context, &view, &request).and_then(|(name, service, path)| {
        labels.route = name.to_string();
        let fingerprint = Fingerprint::of(&RequestIdentity {
            workspace: Some(&context.workspace),
            hostname: "",
            method: request.method().as_str(),
            path: request.url(),
            prompt_parts: &[],
            body: &[&body],
        });
        let mut call = Call {
            context,
            service,
            fingerprint,
            name,
            method: request.method().clone(),
            path,
            content_type: header_value(&request, "Content-Type").unwrap_or_default().to_string(),
            body,
            labels: labels.clone(),
            deadline: context.received_at + Duration::from_millis(service.spec.deadline_ms),
        };
        let response = call.respond(&view, &request);
        labels = call.labels;
        response
    });
    let send_result = match &result {
        Ok(response) => {
            headers.add(headers::ENDPOINT, response.endpoint.clone());
            let body = response.body.clone();
            outcome::send_response(request, &headers, response.status, &response.content_type, body)
        }
        Err(err) => outcome::send_error_response(request, &headers, err),
    };
    // A failed send means that the caller has disconnected. The outcome of the call is recorded
    // anyway.
    drop(send_result);
    (labels, result.map(|_| ()))
}

/// Returns the id and the configuration of the service that a request names, and the path within
/// it. Fails if the service is unknown or the workspace is not allowed to call it.
fn resolve_service<'v>(
    context: &RequestContext<'_>,
    view: &'v View,
    request: &Request,
) -> Result<(ServiceId, &'v ServiceView, String)> {
    let relative_url = request.url().strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (name, path) =
        relative_url.split_at(relative_url.find(['/', '?']).unwrap_or(relative_url.len()));
    let no_service =
        || unknown_name(Code::UnknownRoute, "service", &name.chars().take(64).collect::<String>());
    let id: ServiceId = name.parse().map_err(|_| no_service())?;
    let service = view.services.get(&id).ok_or_else(no_service)?;
    if !service.spec.workspaces.contains(&context.workspace) {
        let message = format!("the workspace is not allowed to call service {id}");
        return Err(Error::new(Code::NotAllowed, message));
    }
    let path = if path.starts_with('/') { path.to_string() } else { format!("/{path}") };
    Ok((id, service, path))
}

impl Call<'_, '_> {
    /// Executes the call, replays the stored response of its ticket, or forwards it to the host
    /// that issued its ticket.
    fn respond(&mut self, view: &View, request: &Request) -> Result<ServiceResponse> {
        let guard = match self.service.spec.is_non_repeatable(self.method.as_str(), &self.path) {
            false => ExecutionGuard::Repeatable,
            true => match self.acquire_guard(view, request)? {
                Some(guard) => guard,
                None => return self.forward(request),
            },
        };
        if let ExecutionGuard::Ticket(ticket) = &guard {
            let admitted =
                self.context.shared.tickets().admit(self.context.shared.now(), ticket)?;
            if let TicketAdmission::Replay(stored) = admitted {
                return replay_response(stored);
            }
        }
        let result = self.run_attempts(matches!(guard, ExecutionGuard::Repeatable));
        self.settle_guard(&guard, &result);
        result
    }

    /// Returns the protection of a call that must not be repeated, or `None` if another host issued
    /// its ticket and has to execute it.
    fn acquire_guard(&self, view: &View, request: &Request) -> Result<Option<ExecutionGuard>> {
        if let Some(token) = header_value(request, headers::TICKET) {
            let no_key_ring = || Error::new(Code::NotReady, "the key ring has not been loaded yet");
            let ring = view.key_ring.as_ref().ok_or_else(no_key_ring)?;
            let ticket = Ticket::from_token(token.trim(), &self.context.workspace, ring)?;
            let is_issued_here = ticket.issued_by == self.context.shared.incarnation;
            return Ok(is_issued_here.then_some(ExecutionGuard::Ticket(ticket)));
        }
        match header_value(request, headers::IDEMPOTENCY_KEY) {
            Some(key) => self.claim(key).map(Some),
            None => Ok(Some(ExecutionGuard::Unguarded)),
        }
    }

    /// Claims an idempotency key by creating an object in the object API. Only the host that
    /// creates the object may execute the call.
    fn claim(&self, key: &str) -> Result<ExecutionGuard> {
        let RequestContext { workspace, id, shared, .. } = self.context;
        let digest = digest(format!("{}\n{key}", self.name).as_bytes());
        let name = format!("{CLAIM_PREFIX}{workspace}/{digest}");
        let body = serde_json::json!({"request": id.to_string()}).to_string();
        match shared.platform.write_confirmed(&name, 0, &body) {
            Ok(claim_object) => Ok(ExecutionGuard::Claim { name, version: claim_object.version }),
            Err(err) if err.code == Code::Conflict => {
                let message = "a call with this idempotency key was already forwarded";
                Err(Error::new(Code::KeyReused, message))
            }
            // The call was not sent to an endpoint, even if the claim was written after all.
            Err(err) => Err(err.with_executed(Executed::No).with_retry_after(CLAIM_RETRY_AFTER_MS)),
        }
    }

    /// Records the outcome of a call that must not be repeated. If the call was not executed, its
    /// ticket becomes usable again and its claim is deleted.
    fn settle_guard(&self, guard: &ExecutionGuard, result: &Result<ServiceResponse>) {
        let shared = self.context.shared;
        let was_not_executed = matches!(result, Err(err) if err.executed == Executed::No);
        match guard {
            ExecutionGuard::Ticket(ticket) if was_not_executed => {
                shared.tickets().reset_unused(shared.now(), ticket)
            }
            ExecutionGuard::Ticket(ticket) => {
                let stored = result.as_ref().ok();
                let stored = stored.map(|response| StoredResponse {
                    status: response.status,
                    body: Some(response.body.clone()),
                });
                shared.tickets().record_outcome(shared.now(), ticket, stored);
            }
            // If the deletion fails, the only effect is that a permissible repetition is refused.
            ExecutionGuard::Claim { name, version } if was_not_executed => {
                drop(shared.platform.delete(name, *version));
            }
            ExecutionGuard::Claim { .. }
            | ExecutionGuard::Repeatable
            | ExecutionGuard::Unguarded => {}
        }
    }

    /// Runs attempts until one succeeds or the call may not be retried.
    fn run_attempts(&mut self, is_repeatable: bool) -> Result<ServiceResponse> {
        let mut tried = Vec::new();
        let mut may_have_run = false;
        loop {
            let err = match self.run_attempt(&mut tried, is_repeatable) {
                Ok(response) => return Ok(response),
                Err(err) => err,
            };
            may_have_run |= err.executed != Executed::No;
            let failed_attempt =
                FailedAttempt { ran: err.executed, is_repeatable, has_partial_response: false };
            let should_retry = tried.len() < MAX_ATTEMPTS
                && may_retry(failed_attempt)
                && !matches!(err.code, Code::Overloaded | Code::CrashesEndpoints)
                && Instant::now() < self.deadline;
            let should_retry = should_retry && {
                let retries = self.context.shared.retry_budget.lock();
                retries.expect("no holder of the lock panics").try_acquire()
            };
            if !should_retry {
                return Err(if may_have_run && err.executed == Executed::No {
                    err.with_executed(Executed::Unknown)
                } else {
                    err
                });
            }
        }
    }

    /// Sends the call to one endpoint, which is added to `tried`.
    fn run_attempt(
        &mut self,
        tried: &mut Vec<EndpointId>,
        is_repeatable: bool,
    ) -> Result<ServiceResponse> {
        let shared = self.context.shared;
        shared.wait_for_confirmation();
        shared.suspects.check(shared.now(), self.fingerprint)?;
        let salt = rendezvous("endpoint", &self.context.id.to_string());
        let placement_request = PlacementRequest {
            ring_position: salt,
            salt,
            required_tokens: Tokens(0),
            tried,
            priority: 0,
            ..PlacementRequest::default()
        };
        let endpoint = self.service.pool.pick(shared.now(), &placement_request)?.clone();
        tried.push(endpoint.id.clone());
        self.labels.failure_domain = endpoint.failure_domain.to_string();
        let request = http::Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(http::header::CONTENT_TYPE, &self.content_type)
            .header(headers::REQUEST_ID, self.context.id.to_string());
        let params = AttemptParams {
            shared,
            upstream: self.context.upstream,
            endpoint,
            work: WORK_PER_CALL,
            id: format!("{}/{}-{}", self.context.id, self.name, tried.len()),
            fingerprint: self.fingerprint,
            deadline: self.deadline,
            accepts_any_status: true,
            is_repeatable,
        };
        let (mut attempt, mut reply) = Attempt::send(params, request, self.body.clone())?;
        let content_type = reply.head.headers.get(http::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|v| v.to_str().ok());
        let content_type = content_type.unwrap_or("application/octet-stream").to_string();
        match attempt.read_body(&mut reply, MAX_RESPONSE_BYTES) {
            Ok(body) => {
                attempt.record_success();
                let endpoint = attempt.endpoint().id.to_string();
                let status = reply.head.status.as_u16();
                Ok(ServiceResponse { status, content_type, endpoint, body })
            }
            Err(err) => {
                attempt.record_failure(&err);
                Err(err)
            }
        }
    }

    /// Forwards a call to the host that issued its ticket.
    fn forward(&self, request: &Request) -> Result<ServiceResponse> {
        let shared = self.context.shared;
        let ticket_gone = |reason: &str| {
            Error::new(Code::TicketGone, format!("{reason}; the call is not repeated"))
        };
        if header_value(request, headers::FORWARDED).is_some() {
            return Err(ticket_gone(
                "the call was forwarded to an incarnation that did not issue its ticket",
            ));
        }
        let address = self
            .locate_ticket_host(request)?
            .ok_or_else(|| ticket_gone("the host that issued the ticket is gone"))?;
        let method = minreq::Method::Custom(self.method.as_str().to_string());
        let mut forwarded_request =
            minreq::Request::new(method, format!("http://{address}{}", request.url()))
                .with_body(self.body.clone())
                .with_header(headers::FORWARDED, shared.incarnation.to_string());
        for name in ["Authorization", "Content-Type", headers::TICKET, headers::CALLER_REQUEST_ID] {
            if let Some(value) = header_value(request, name) {
                forwarded_request = forwarded_request.with_header(name, value);
            }
        }
        let response = forwarded_request.with_timeout(FORWARD_TIMEOUT_SECONDS).send();
        let response = response.map_err(|err| ticket_gone(&err.to_string()))?;
        if headers::is_missing_response(response.status_code, &response.headers) {
            return Err(ticket_gone("the host that issued the ticket sent no response"));
        }
        let content_type = headers::find(&response.headers, "Content-Type");
        Ok(ServiceResponse {
            status: response.status_code,
            content_type: content_type.unwrap_or("application/json").to_string(),
            endpoint: headers::find(&response.headers, headers::ENDPOINT)
                .unwrap_or_default()
                .to_string(),
            body: response.as_bytes().to_vec(),
        })
    }

    /// Returns the address of the host that issued the call's ticket, or `None` if that incarnation
    /// is gone.
    fn locate_ticket_host(&self, request: &Request) -> Result<Option<String>> {
        let shared = self.context.shared;
        let view = shared.view.load();
        let token = header_value(request, headers::TICKET).unwrap_or_default();
        let no_key_ring = || Error::new(Code::NotReady, "the key ring has not been loaded yet");
        let ring = view.key_ring.as_ref().ok_or_else(no_key_ring)?;
        let ticket = Ticket::from_token(token.trim(), &self.context.workspace, ring)?;
        let (reply_sender, reply_receiver) = flume::bounded(1);
        let msg = ControlMsg::Locate { incarnation: ticket.issued_by, reply: reply_sender };
        let host_stopping = || Error::new(Code::Draining, "the host is shutting down");
        shared.control.send(msg).map_err(|_| host_stopping())?;
        reply_receiver.recv().map_err(|_| host_stopping())
    }
}

/// Returns the stored response of a call that was already executed, or an error if the body was too
/// large to store.
fn replay_response(stored: StoredResponse) -> Result<ServiceResponse> {
    let body = stored.body.ok_or_else(|| {
        let message = "the call was executed, but its response was too large to store";
        Error::new(Code::TicketSpent, message).with_executed(Executed::Yes)
    })?;
    Ok(ServiceResponse {
        status: stored.status,
        content_type: "application/json".into(),
        endpoint: String::new(),
        body,
    })
}
