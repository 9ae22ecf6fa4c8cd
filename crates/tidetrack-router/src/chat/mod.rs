//! Processing of chat requests, from the parsed body to the end marker of the response.
//!
//! The policy of a route plans a cascade: a list of models, called rungs, that are tried in order.
//! The response of a rung before the last is buffered and judged, and is sent to the caller only if
//! it is accepted. The response of the last rung is streamed to the caller as it arrives if the
//! caller requested a stream. The bill is stored in a second place before the end of the response
//! is sent.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::{ModelId, RequestId, RouteId, WorkspaceId};
use tidetrack_core::ledger::{Bill, BillOutcome, LineItem};
use tidetrack_core::placement::{hash_fraction, PoolEndpoint};
use tidetrack_core::policy::{Features, Plan};
use tidetrack_core::session::Session;
use tidetrack_core::traffic::fingerprint::{Fingerprint, RequestIdentity};
use tidetrack_core::units::Tokens;
use tidetrack_core::view::{ChosenVersion, View};
use tidetrack_wire::caller::{ChatRequest, Usage};
use tidetrack_wire::headers;

use crate::callers::Request;
use crate::metrics::RequestLabels;
use crate::outcome::{self, header_value, ResponseHeaders};
use crate::shared::Shared;
use crate::upstream::Upstream;

mod attempts;
mod buffered;
mod stream_relay;

use stream_relay::ResponseSink;

/// Properties of a request that are known before its body is parsed.
pub struct RequestContext<'a> {
    /// State shared by all threads of the router.
    pub shared: &'a Shared,
    /// Channels through which requests are sent to endpoints.
    pub upstream: &'a Upstream,
    /// Id that the router assigned to the request.
    pub id: RequestId,
    /// Workspace of the caller's key.
    pub workspace: WorkspaceId,
    /// Time at which the host started to receive the request.
    pub received_at: Instant,
}

/// A chat request that is being processed.
struct Call<'a> {
    context: &'a RequestContext<'a>,
    chat: ChatRequest,
    fingerprint: Fingerprint,
    route: RouteId,
    session: Option<Session>,
    /// Uniform hash value in [0, 1) of the request id. It decides between stable and canary version
    /// and whether the policy is enforced.
    version_fraction: f64,
    deadline: Instant,
    /// Whether the caller requested an event with the token usage at the end of the stream.
    wants_usage: bool,
    /// Priority set by the caller; 0 by default. It is also passed to the endpoint.
    priority: i64,
    labels: RequestLabels,
    /// Line items of the bill for the responses received so far, including rejected ones.
    line_items: Vec<LineItem>,
    /// Time from receipt of the request to the first token sent, in milliseconds; `None` until
    /// then.
    first_token_ms: Cell<Option<f64>>,
    /// Whether an endpoint may have executed any of the attempts.
    may_have_run: bool,
}

/// The complete response of one rung.
struct RungResponse {
    chosen: ChosenVersion,
    endpoint: PoolEndpoint,
    text: String,
    usage: Usage,
    /// Body as received from the endpoint.
    body: Vec<u8>,
}

/// Processes a chat request and sends the response. Returns the labels under which its metrics are
/// recorded, and the error that was sent, if any.
pub fn run(
    context: &RequestContext<'_>,
    request: Request,
    body: &[u8],
) -> (RequestLabels, Result<()>) {
    let headers = ResponseHeaders::new(&context.id, &request);
    let mut labels =
        RequestLabels { workspace: context.workspace.to_string(), ..RequestLabels::default() };
    let view = context.shared.view.load_full();
    let call = Call::parse(context, &view, &request, body);
    let mut sink = ResponseSink { request: Some(request), headers, stream: None };
    let result = call.and_then(|mut call| {
        let result = call.respond(&view, &mut sink);
        call.record_objectives(&view, result.is_ok());
        labels = call.labels;
        result
    });
    if let Err(err) = &result {
        send_error(&mut sink, err);
    }
    (labels, result)
}

/// Sends an error as the response, or as the last event if the stream has already started.
fn send_error(sink: &mut ResponseSink, err: &Error) {
    // A failed send means that the caller has disconnected and needs no response.
    match (sink.request.take(), sink.stream.as_mut()) {
        (Some(request), _) => drop(outcome::send_error_response(request, &sink.headers, err)),
        (None, Some(stream)) => stream.end_with_error(err),
        (None, None) => {}
    }
}

/// Returns the integer value of a header, or `None` if it is absent or not an integer.
fn parse_number_header(request: &Request, name: &str) -> Option<i64> {
    header_value(request, name)?.trim().parse().ok()
}

impl<'a> Call<'a> {
    /// Parses and validates a request. Fails if the body, the route or the session token is
    /// invalid, or if there is a session token but no key ring to verify it.
    fn parse(
        context: &'a RequestContext<'a>,
        view: &View,
        request: &Request,
        body: &[u8],
    ) -> Result<Call<'a>> {
        let chat: ChatRequest = serde_json::from_slice(body).map_err(outcome::bad_body)?;
        if chat.messages.is_empty() {
            return Err(outcome::bad_body("`messages` is empty"));
        }
        let route: RouteId = chat.model.parse().map_err(|_| {
            let truncated_name: String = chat.model.chars().take(80).collect();
            Error::new(Code::UnknownRoute, format!("no route named {truncated_name:?}"))
        })?;
        let session = match (header_value(request, headers::SESSION), &view.key_ring) {
            (Some(token), Some(ring)) => {
                Some(Session::from_token(token.trim(), &context.workspace, ring)?)
            }
            (Some(_), None) => {
                return Err(Error::new(Code::NotReady, "the key ring has not been loaded yet"))
            }
            (None, _) => None,
        };
        if session.as_ref().is_some_and(|s| s.route != route) {
            return Err(Error::new(Code::BadToken, "the session token belongs to another route"));
        }
        let max_deadline_ms = view.policies.get(&route).map_or(30_000, |p| p.spec.deadline_ms);
        let requested_ms =
            parse_number_header(request, headers::DEADLINE).map(|ms| ms.max(1) as u64);
        let deadline = context.received_at
            + Duration::from_millis(
                requested_ms.map_or(max_deadline_ms, |ms| ms.min(max_deadline_ms)),
            );
        let version_fraction = hash_fraction("version", &context.id.to_string());
        Ok(Call {
            route: route.clone(),
            wants_usage: chat.stream_options.as_ref().is_some_and(|o| o.include_usage),
            priority: parse_number_header(request, headers::PRIORITY).unwrap_or(0),
            version_fraction,
            labels: RequestLabels {
                workspace: context.workspace.to_string(),
                route: route.to_string(),
                ..RequestLabels::default()
            },
            fingerprint: Fingerprint::of(&RequestIdentity {
                workspace: Some(&context.workspace),
                hostname: "",
                method: request.method().as_str(),
                path: request.url(),
                prompt_parts: &[],
                body: &[body],
            }),
            context,
            chat,
            session,
            deadline,
            line_items: Vec::new(),
            first_token_ms: Cell::new(None),
            may_have_run: false,
        })
    }

    fn shared(&self) -> &'a Shared {
        self.context.shared
    }

    /// Runs the plan and sends the response.
    fn respond(&mut self, view: &View, sink: &mut ResponseSink) -> Result<()> {
        let result = self.run_plan(view, sink);
        // If an earlier attempt may have been executed, the error must not claim that nothing was.
        match result {
            Err(err) if err.executed == Executed::No && self.may_have_run => {
                Err(err.with_executed(Executed::Unknown))
            }
            other => other,
        }
    }

    /// Runs the rungs in order until the response of one has been sent. Returns the error of the
    /// last rung that failed.
    fn run_plan(&mut self, view: &View, sink: &mut ResponseSink) -> Result<()> {
        let request = sink.request.as_ref().expect("the response has not started");
        let plan = self.plan(view, request)?;
        let rungs = plan.rungs.len();
        let mut last_error = Error::new(Code::NoVersion, "the policy's plan contains no model");
        for (index, model) in plan.rungs.iter().enumerate() {
            let min_score = plan.accept.filter(|_| index + 1 < rungs);
            match self.run_rung(model, min_score, sink) {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(err) if sink.has_started() || err.code == Code::Deadline => return Err(err),
                Err(err) => last_error = err,
            }
        }
        // Responses that were judged and rejected are billed too, since the work was done.
        if !self.line_items.is_empty() {
            self.store_bill(BillOutcome::Truncated)?;
        }
        Err(last_error)
    }

    /// Returns the models to try. A session keeps the model of its version. Otherwise the route's
    /// policy decides; a route without a policy names a model. If the policy is not enforced for
    /// this request and the caller's script made a choice, that choice is used and both are logged.
    fn plan(&self, view: &View, request: &Request) -> Result<Plan> {
        if let Some(session) = &self.session {
            return Ok(Plan { rungs: vec![session.version.model.clone()], accept: None });
        }
        let Ok(policy) = view.policy(&self.route) else {
            return self.plan_single_model(view, self.route.as_str());
        };
        let features = Features {
            workspace: self.context.workspace.to_string(),
            route: self.route.to_string(),
            tags: parse_tags(request),
            prompt_chars: self.chat.prompt_chars() as i64,
            priority: self.priority,
        };
        let (plan, policy_error) =
            policy.decide(&features, &fallback_loads(view, &policy.spec.fallback, self.shared()));
        if let Some(err) = policy_error {
            self.shared().metrics.count_event("policy_failed");
            self.shared().log(Event::PolicyFailed, &format!("{}: {err}", self.route));
        }
        let script_choice = header_value(request, headers::SCRIPT_CHOICE);
        match script_choice {
            Some(choice) if !policy.spec.mode.is_enforced(self.version_fraction) => {
                let text = format!(
                    "{} {}: policy {:?}, script {choice}",
                    self.context.id, self.route, plan.rungs
                );
                self.shared().log(Event::PolicyObserved, &text);
                self.plan_single_model(view, choice)
            }
            _ => Ok(plan),
        }
    }

    /// Returns a plan with one model, or an error if no model has this name.
    fn plan_single_model(&self, view: &View, name: &str) -> Result<Plan> {
        let unknown_name =
            || Error::new(Code::UnknownRoute, format!("no route or model named {name}"));
        let model: ModelId = name.parse().map_err(|_| unknown_name())?;
        match view.models.contains_key(&model) {
            true => Ok(Plan { rungs: vec![model], accept: None }),
            false => Err(unknown_name()),
        }
    }

    /// Adds the cost of a response to the bill and to the metrics.
    fn add_line_item(&mut self, view: &View, chosen: &ChosenVersion, usage: Usage) {
        let Some(version) = view.versions.get(&chosen.version) else { return };
        let (tokens_in, tokens_out) =
            (Tokens(usage.prompt_tokens), Tokens(usage.completion_tokens));
        let cost =
            version.spec.price_in.cost_of(tokens_in) + version.spec.price_out.cost_of(tokens_out);
        self.shared().metrics.record_usage(&self.labels, usage.total_tokens, cost.0);
        self.line_items.push(LineItem(chosen.version.clone(), tokens_in, tokens_out, cost));
    }

    /// Stores the bill in a second place. Must be called before the last byte of the response is
    /// sent. Fails if the bill is not stored in time.
    fn store_bill(&mut self, outcome: BillOutcome) -> Result<()> {
        let line_items = std::mem::take(&mut self.line_items);
        let bill =
            Bill(self.context.id.number, self.context.workspace.clone(), line_items, outcome);
        let store_started_at = Instant::now();
        let result = self.shared().billing.store(bill);
        self.shared().metrics.record_bill_wait(store_started_at.elapsed().as_secs_f64() * 1_000.0);
        result
    }

    /// Sets the response headers that name the version, the endpoint and the session. Does nothing
    /// if the headers have already been sent.
    fn set_headers(
        &self,
        view: &View,
        chosen: &ChosenVersion,
        endpoint: &PoolEndpoint,
        sink: &mut ResponseSink,
    ) {
        if sink.has_started() {
            return;
        }
        let Some(request) = &sink.request else { return };
        let mut headers = ResponseHeaders::new(&self.context.id, request);
        headers.add(headers::VERSION, chosen.version.to_string());
        headers.add(headers::ENDPOINT, endpoint.id.to_string());
        if let Some(ring) = &view.key_ring {
            let session = self.session.clone().unwrap_or_else(|| Session {
                workspace: self.context.workspace.clone(),
                route: self.route.clone(),
                version: chosen.version.clone(),
                generation: chosen.generation,
                nonce: self.ring_position(),
            });
            headers.add(headers::SESSION, session.to_token(ring));
        }
        sink.headers = headers;
    }

    /// Records the time to the first token.
    fn record_first_token(&self) {
        let ms = self.context.received_at.elapsed().as_secs_f64() * 1_000.0;
        self.first_token_ms.set(Some(ms));
        self.shared().metrics.record_first_token(&self.labels, ms);
    }

    /// Counts the request for each objective of its workspace and route. It meets an objective if
    /// it succeeded and its first token was sent within the objective's time. Requests that fail to
    /// parse are not counted, since that is the caller's fault.
    fn record_objectives(&self, view: &View, succeeded: bool) {
        for objective in &view.objectives {
            if objective.workspace == self.context.workspace && objective.route == self.route {
                let name = format!("{}/{}", objective.workspace, objective.route);
                let limit = objective.first_token_ms as f64;
                let in_time = self.first_token_ms.get().is_some_and(|ms| ms <= limit);
                self.shared().metrics.record_objective(&self.labels, &name, succeeded && in_time);
            }
        }
    }
}

/// Returns the tags of the comma-separated tags header.
fn parse_tags(request: &Request) -> Vec<String> {
    let tags = header_value(request, headers::TAGS).unwrap_or_default();
    tags.split(',').map(str::trim).filter(|t| !t.is_empty()).map(str::to_string).collect()
}

/// Maximum number of endpoints of a pool whose load is averaged for a policy's `load`.
const MAX_SAMPLED_ENDPOINTS: usize = 4;

/// Work of one busy slot, in response tokens.
const WORK_PER_SLOT: f64 = 256.0;

/// Returns the share of busy slots of each of a policy's fallback models, estimated from a few
/// endpoints of its pool. Models without a pool are omitted.
fn fallback_loads(view: &View, models: &[ModelId], shared: &Shared) -> Vec<(ModelId, f64)> {
    let now = shared.now();
    let mean_load = |model: &ModelId| {
        let serving = &view.models.get(model)?.serving;
        let pool = view.pools.get(&view.versions.get(serving)?.spec.pool)?;
        let sampled = pool.endpoints().iter().take(MAX_SAMPLED_ENDPOINTS);
        let loads: Vec<f64> = sampled.map(|endpoint| endpoint.state.load(now)).collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        Some((model.clone(), mean / WORK_PER_SLOT))
    };
    models.iter().filter_map(mean_load).collect()
}
