//! Calls to plain services, and the tickets and claims that keep some of them to one run.

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
use crate::chat::Caller;
use crate::control::ControlMsg;
use crate::metrics::RequestLabels;
use crate::outcome::{self, header_of, AnswerHeaders};
use crate::upstream::{Attempt, Begin};

/// Path under which services are called.
pub const SERVICES_PATH: &str = "/v1/services/";

/// Most attempts at one call.
const MOST_ATTEMPTS: usize = 3;

/// When to come back after a claim could not be written, in milliseconds.
const RETRY_CLAIM_MS: u64 = 2_000;

/// Work that a call counts as, in answer tokens.
const CALL_WORK: u64 = 50;

/// Seconds that a call passed on to another host may take.
const FORWARD_SECONDS: u64 = 15;

/// Largest answer of a service, in bytes.
const LARGEST_ANSWER: usize = 16 << 20;

/// An answer of a service.
struct ServiceAnswer {
    status: u16,
    content_type: String,
    endpoint: String,
    body: Vec<u8>,
}

/// What keeps a call that must not be repeated to one run.
enum Once {
    /// The call may be repeated.
    Free,
    /// It may not, and the caller gave nothing to tell a repeat by.
    Bare,
    /// It has a ticket of this incarnation.
    Ticket(Ticket),
    /// It has a key that is claimed in the object API, at the version given.
    Claim { name: String, version: u64 },
}

/// A call on its way.
struct Call<'a, 'c> {
    caller: &'a Caller<'c>,
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

/// Runs a call to a service and answers it.
pub fn run(caller: &Caller<'_>, request: Request, body: Vec<u8>) -> (RequestLabels, Result<()>) {
    let view = caller.shared.view.load_full();
    let mut headers = AnswerHeaders::new(&caller.id, &request);
    let mut labels =
        RequestLabels { workspace: caller.workspace.to_string(), ..RequestLabels::default() };
    let result = find(caller, &view, &request).and_then(|(name, service, path)| {
        labels.route = name.to_string();
        let fingerprint = Fingerprint::of(&RequestIdentity {
            workspace: Some(&caller.workspace),
            hostname: "",
            method: request.method().as_str(),
            path: request.url(),
            body: &body,
        });
        let mut call = Call {
            caller,
            service,
            fingerprint,
            name,
            method: request.method().clone(),
            path,
            content_type: header_of(&request, "Content-Type").unwrap_or_default().to_string(),
            body,
            labels: labels.clone(),
            deadline: caller.began + Duration::from_millis(service.spec.deadline_ms),
        };
        let answer = call.answer(&view, &request);
        labels = call.labels;
        answer
    });
    let sent = match &result {
        Ok(answer) => {
            headers.add(headers::ENDPOINT, answer.endpoint.clone());
            let body = answer.body.clone();
            outcome::send_whole(request, &headers, answer.status, &answer.content_type, body)
        }
        Err(e) => outcome::send_refusal(request, &headers, e),
    };
    // A caller that has left misses nothing; the call's end is recorded all the same.
    drop(sent);
    (labels, result.map(|_| ()))
}

/// Finds the service that a request names, and the path within it.
fn find<'v>(
    caller: &Caller<'_>,
    view: &'v View,
    request: &Request,
) -> Result<(ServiceId, &'v ServiceView, String)> {
    let rest = request.url().strip_prefix(SERVICES_PATH).unwrap_or_default();
    let (name, path) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
    let no_service =
        || unknown_name(Code::UnknownRoute, "service", &name.chars().take(64).collect::<String>());
    let id: ServiceId = name.parse().map_err(|_| no_service())?;
    let service = view.services.get(&id).ok_or_else(no_service)?;
    if !service.spec.workspaces.contains(&caller.workspace) {
        let message = format!("the workspace may not call {id}");
        return Err(Error::new(Code::NotAllowed, message));
    }
    let path = if path.starts_with('/') { path.to_string() } else { format!("/{path}") };
    Ok((id, service, path))
}

impl Call<'_, '_> {
    fn answer(&mut self, view: &View, request: &Request) -> Result<ServiceAnswer> {
        let once = match self.service.spec.is_non_repeatable(self.method.as_str(), &self.path) {
            false => Once::Free,
            true => match self.admit_once(view, request)? {
                Some(once) => once,
                None => return self.forward(request),
            },
        };
        if let Once::Ticket(ticket) = &once {
            let admitted = self.caller.shared.tickets().admit(self.caller.shared.now(), ticket)?;
            if let TicketAdmission::Replay(kept) = admitted {
                return repeat(kept);
            }
        }
        let result = self.attempts(matches!(once, Once::Free));
        self.settle(&once, &result);
        result
    }

    /// Finds what keeps the call to one run; `None` if another host must run it.
    fn admit_once(&self, view: &View, request: &Request) -> Result<Option<Once>> {
        if let Some(token) = header_of(request, headers::TICKET) {
            let no_ring = || Error::new(Code::NotReady, "no key ring yet");
            let ring = view.key_ring.as_ref().ok_or_else(no_ring)?;
            let ticket = Ticket::from_token(token.trim(), &self.caller.workspace, ring)?;
            let ours = ticket.issued_by == self.caller.shared.incarnation;
            return Ok(ours.then_some(Once::Ticket(ticket)));
        }
        match header_of(request, headers::IDEMPOTENCY_KEY) {
            Some(key) => self.claim(key).map(Some),
            None => Ok(Some(Once::Bare)),
        }
    }

    /// Claims a caller's key in the object API: whoever creates the object may run the call.
    fn claim(&self, key: &str) -> Result<Once> {
        let Caller { workspace, id, shared, .. } = self.caller;
        let digest = digest(format!("{}\n{key}", self.name).as_bytes());
        let name = format!("{CLAIM_PREFIX}{workspace}/{digest}");
        let body = serde_json::json!({"request": id.to_string()}).to_string();
        match shared.platform.write_confirmed(&name, 0, &body) {
            Ok(written) => Ok(Once::Claim { name, version: written.version }),
            Err(e) if e.code == Code::Conflict => {
                let message = "a call with this key was handed on before";
                Err(Error::new(Code::KeyReused, message))
            }
            // Nothing was handed on, whatever became of the claim.
            Err(e) => Err(e.with_executed(Executed::No).with_retry_after(RETRY_CLAIM_MS)),
        }
    }

    /// Records the end of a call that must not be repeated.
    fn settle(&self, once: &Once, result: &Result<ServiceAnswer>) {
        let shared = self.caller.shared;
        let not_run = matches!(result, Err(e) if e.executed == Executed::No);
        match once {
            Once::Ticket(ticket) if not_run => shared.tickets().reset_unused(shared.now(), ticket),
            Once::Ticket(ticket) => {
                let kept = result.as_ref().ok();
                let kept =
                    kept.map(|a| StoredResponse { status: a.status, body: Some(a.body.clone()) });
                shared.tickets().record_outcome(shared.now(), ticket, kept);
            }
            // A claim that cannot be taken back only refuses a repeat that would have been right.
            Once::Claim { name, version } if not_run => {
                drop(shared.platform.delete(name, *version));
            }
            Once::Claim { .. } | Once::Free | Once::Bare => {}
        }
    }

    fn attempts(&mut self, is_repeatable: bool) -> Result<ServiceAnswer> {
        let mut tried = Vec::new();
        let mut may_have_run = false;
        loop {
            let e = match self.attempt(&mut tried, is_repeatable) {
                Ok(answer) => return Ok(answer),
                Err(e) => e,
            };
            may_have_run |= e.executed != Executed::No;
            let failed =
                FailedAttempt { ran: e.executed, is_repeatable, has_partial_response: false };
            let again = tried.len() < MOST_ATTEMPTS
                && may_retry(failed)
                && !matches!(e.code, Code::Overloaded | Code::CrashesEndpoints)
                && Instant::now() < self.deadline;
            let again = again && {
                let retries = self.caller.shared.retry_budget.lock();
                retries.expect("no holder of the lock panics").try_acquire()
            };
            if !again {
                return Err(if may_have_run && e.executed == Executed::No {
                    e.with_executed(Executed::Unknown)
                } else {
                    e
                });
            }
        }
    }

    fn attempt(
        &mut self,
        tried: &mut Vec<EndpointId>,
        is_repeatable: bool,
    ) -> Result<ServiceAnswer> {
        let shared = self.caller.shared;
        shared.wait_for_confirmation();
        shared.suspects.check(shared.now(), self.fingerprint)?;
        let salt = rendezvous("endpoint", &self.caller.id.to_string());
        let ask = PlacementRequest {
            ring_position: salt,
            salt,
            required_tokens: Tokens(0),
            tried,
            priority: 0,
            ..PlacementRequest::default()
        };
        let endpoint = self.service.pool.pick(shared.now(), &ask)?.clone();
        tried.push(endpoint.id.clone());
        self.labels.failure_domain = endpoint.failure_domain.to_string();
        let request = http::Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(http::header::CONTENT_TYPE, &self.content_type)
            .header(headers::REQUEST_ID, self.caller.id.to_string());
        let begin = Begin {
            shared,
            upstream: self.caller.upstream,
            endpoint,
            work: CALL_WORK,
            id: format!("{}/{}-{}", self.caller.id, self.name, tried.len()),
            fingerprint: self.fingerprint,
            deadline: self.deadline,
            any_status: true,
            is_repeatable,
        };
        let (mut attempt, mut reply) = Attempt::send(begin, request, self.body.clone())?;
        let content_type = reply.head.headers.get(http::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|v| v.to_str().ok());
        let content_type = content_type.unwrap_or("application/octet-stream").to_string();
        match attempt.read_body(&mut reply, LARGEST_ANSWER) {
            Ok(body) => {
                attempt.succeeded();
                let endpoint = attempt.endpoint().id.to_string();
                let status = reply.head.status.as_u16();
                Ok(ServiceAnswer { status, content_type, endpoint, body })
            }
            Err(e) => {
                attempt.failed(&e);
                Err(e)
            }
        }
    }

    /// Passes a call on to the host that made its ticket.
    fn forward(&self, request: &Request) -> Result<ServiceAnswer> {
        let shared = self.caller.shared;
        let gone = |why: &str| Error::new(Code::TicketGone, format!("{why}; not repeated"));
        if header_of(request, headers::FORWARDED).is_some() {
            return Err(gone("the call was passed on to the wrong life of a host"));
        }
        let address = self.locate(request)?.ok_or_else(|| gone("the ticket's host is gone"))?;
        let method = minreq::Method::Custom(self.method.as_str().to_string());
        let mut passed = minreq::Request::new(method, format!("http://{address}{}", request.url()))
            .with_body(self.body.clone())
            .with_header(headers::FORWARDED, shared.incarnation.to_string());
        for name in ["Authorization", "Content-Type", headers::TICKET, headers::CALLER_REQUEST_ID] {
            if let Some(value) = header_of(request, name) {
                passed = passed.with_header(name, value);
            }
        }
        let response = passed.with_timeout(FORWARD_SECONDS).send();
        let response = response.map_err(|e| gone(&e.to_string()))?;
        if headers::is_missing_response(response.status_code, &response.headers) {
            return Err(gone("the ticket's host gave no answer"));
        }
        let content_type = headers::find(&response.headers, "Content-Type");
        Ok(ServiceAnswer {
            status: response.status_code,
            content_type: content_type.unwrap_or("application/json").to_string(),
            endpoint: headers::find(&response.headers, headers::ENDPOINT)
                .unwrap_or_default()
                .to_string(),
            body: response.as_bytes().to_vec(),
        })
    }

    fn locate(&self, request: &Request) -> Result<Option<String>> {
        let shared = self.caller.shared;
        let view = shared.view.load();
        let token = header_of(request, headers::TICKET).unwrap_or_default();
        let no_ring = || Error::new(Code::NotReady, "no key ring yet");
        let ring = view.key_ring.as_ref().ok_or_else(no_ring)?;
        let ticket = Ticket::from_token(token.trim(), &self.caller.workspace, ring)?;
        let (tx, rx) = flume::bounded(1);
        let msg = ControlMsg::Locate { incarnation: ticket.issued_by, reply: tx };
        let ends = || Error::new(Code::Draining, "the host ends");
        shared.control.send(msg).map_err(|_| ends())?;
        rx.recv().map_err(|_| ends())
    }
}

fn repeat(kept: StoredResponse) -> Result<ServiceAnswer> {
    let body = kept.body.ok_or_else(|| {
        let message = "the call ran; its answer was too large to keep";
        Error::new(Code::TicketSpent, message).with_executed(Executed::Yes)
    })?;
    Ok(ServiceAnswer {
        status: kept.status,
        content_type: "application/json".into(),
        endpoint: String::new(),
        body,
    })
}
