//! Chat requests: from the caller's body to the answer's end marker.
//!
//! A request runs through the rungs that its policy plans. A rung before the last is judged and only
//! then shown; the last one is streamed as it comes. The bill is safe before the end marker leaves.

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
use crate::outcome::{self, header_of, AnswerHeaders};
use crate::shared::Shared;
use crate::upstream::Upstream;

mod attempts;
mod flow;
mod judged;

use flow::Out;

/// What is known of a caller before its body is looked at.
pub struct Caller<'a> {
    /// The router's shared state.
    pub shared: &'a Shared,
    /// The way to endpoints.
    pub upstream: &'a Upstream,
    /// The request's id.
    pub id: RequestId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// When the request came.
    pub began: Instant,
}

/// A chat request on its way.
struct Call<'a> {
    caller: &'a Caller<'a>,
    chat: ChatRequest,
    fingerprint: Fingerprint,
    route: RouteId,
    session: Option<Session>,
    draw: f64,
    deadline: Instant,
    wants_usage: bool,
    priority: i64,
    labels: RequestLabels,
    parts: Vec<LineItem>,
    first_token_ms: Cell<Option<f64>>,
    may_have_run: bool,
}

/// What one rung gave.
struct Answer {
    chosen: ChosenVersion,
    endpoint: PoolEndpoint,
    text: String,
    usage: Usage,
    body: Vec<u8>,
}

/// Runs a chat request and answers it.
pub fn run(caller: &Caller<'_>, request: Request, body: &[u8]) -> (RequestLabels, Result<()>) {
    let headers = AnswerHeaders::new(&caller.id, &request);
    let mut labels =
        RequestLabels { workspace: caller.workspace.to_string(), ..RequestLabels::default() };
    let view = caller.shared.view.load_full();
    let call = Call::read(caller, &view, &request, body);
    let mut out = Out { request: Some(request), headers, stream: None };
    let result = call.and_then(|mut call| {
        let result = call.answer(&view, &mut out);
        call.note_objectives(&view, result.is_ok());
        labels = call.labels;
        result
    });
    if let Err(e) = &result {
        refuse(&mut out, e);
    }
    (labels, result)
}

fn refuse(out: &mut Out, e: &Error) {
    // A caller that has left misses nothing.
    match (out.request.take(), out.stream.as_mut()) {
        (Some(request), _) => drop(outcome::send_refusal(request, &out.headers, e)),
        (None, Some(stream)) => stream.fail(e),
        (None, None) => {}
    }
}

/// Reads the number of a header.
fn number_of(request: &Request, name: &str) -> Option<i64> {
    header_of(request, name)?.trim().parse().ok()
}

impl<'a> Call<'a> {
    fn read(
        caller: &'a Caller<'a>,
        view: &View,
        request: &Request,
        body: &[u8],
    ) -> Result<Call<'a>> {
        let chat: ChatRequest = serde_json::from_slice(body).map_err(outcome::bad_body)?;
        if chat.messages.is_empty() {
            return Err(outcome::bad_body("`messages` is empty"));
        }
        let route: RouteId = chat.model.parse().map_err(|_| {
            let shown: String = chat.model.chars().take(80).collect();
            Error::new(Code::UnknownRoute, format!("no route named {shown:?}"))
        })?;
        let session = match (header_of(request, headers::SESSION), &view.key_ring) {
            (Some(token), Some(ring)) => {
                Some(Session::from_token(token.trim(), &caller.workspace, ring)?)
            }
            (Some(_), None) => return Err(Error::new(Code::NotReady, "no key ring yet")),
            (None, _) => None,
        };
        if session.as_ref().is_some_and(|s| s.route != route) {
            return Err(Error::new(Code::BadToken, "the session is of another route"));
        }
        let most = view.policies.get(&route).map_or(30_000, |p| p.spec.deadline_ms);
        let asked = number_of(request, headers::DEADLINE).map(|ms| ms.max(1) as u64);
        let deadline = caller.began + Duration::from_millis(asked.map_or(most, |a| a.min(most)));
        let draw = hash_fraction("version", &caller.id.to_string());
        Ok(Call {
            route: route.clone(),
            wants_usage: chat.stream_options.as_ref().is_some_and(|o| o.include_usage),
            priority: number_of(request, headers::PRIORITY).unwrap_or(0),
            draw,
            labels: RequestLabels {
                workspace: caller.workspace.to_string(),
                route: route.to_string(),
                ..RequestLabels::default()
            },
            fingerprint: Fingerprint::of(&RequestIdentity {
                workspace: Some(&caller.workspace),
                hostname: "",
                method: request.method().as_str(),
                path: request.url(),
                body,
            }),
            caller,
            chat,
            session,
            deadline,
            parts: Vec::new(),
            first_token_ms: Cell::new(None),
            may_have_run: false,
        })
    }

    fn shared(&self) -> &'a Shared {
        self.caller.shared
    }

    fn answer(&mut self, view: &View, out: &mut Out) -> Result<()> {
        let result = self.answer_by_plan(view, out);
        // A refusal after an attempt that may have run must not say that nothing was.
        match result {
            Err(e) if e.executed == Executed::No && self.may_have_run => {
                Err(e.with_executed(Executed::Unknown))
            }
            other => other,
        }
    }

    fn answer_by_plan(&mut self, view: &View, out: &mut Out) -> Result<()> {
        let request = out.request.as_ref().expect("the answer has not begun");
        let plan = self.plan(view, request)?;
        let rungs = plan.rungs.len();
        let mut last = Error::new(Code::NoVersion, "the plan has no rung");
        for (i, model) in plan.rungs.iter().enumerate() {
            let judged = plan.accept.filter(|_| i + 1 < rungs);
            match self.rung(model, judged, out) {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(e) if out.has_begun() || e.code == Code::Deadline => return Err(e),
                Err(e) => last = e,
            }
        }
        // Work that was judged and put aside was done all the same.
        if !self.parts.is_empty() {
            self.bill(BillOutcome::Truncated)?;
        }
        Err(last)
    }

    /// Plans the rungs: the session's version, the policy's choice, or the caller's own.
    fn plan(&self, view: &View, request: &Request) -> Result<Plan> {
        if let Some(session) = &self.session {
            return Ok(Plan { rungs: vec![session.version.model.clone()], accept: None });
        }
        let Ok(policy) = view.policy(&self.route) else {
            return self.callers_choice(view, self.route.as_str());
        };
        let features = Features {
            workspace: self.caller.workspace.to_string(),
            route: self.route.to_string(),
            tags: tags_of(request),
            prompt_chars: self.chat.prompt_chars() as i64,
            priority: self.priority,
        };
        let (plan, failed) =
            policy.decide(&features, &load_of(view, &policy.spec.fallback, self.shared()));
        if let Some(e) = failed {
            self.shared().metrics.count_event("policy_failed");
            self.shared().log(Event::PolicyFailed, &format!("{}: {e}", self.route));
        }
        let script = header_of(request, headers::SCRIPT_CHOICE);
        match script {
            Some(choice) if !policy.spec.mode.is_enforced(self.draw) => {
                let text = format!(
                    "{} {}: policy {:?}, script {choice}",
                    self.caller.id, self.route, plan.rungs
                );
                self.shared().log(Event::PolicyObserved, &text);
                self.callers_choice(view, choice)
            }
            _ => Ok(plan),
        }
    }

    fn callers_choice(&self, view: &View, name: &str) -> Result<Plan> {
        let unknown = || Error::new(Code::UnknownRoute, format!("no route or model named {name}"));
        let model: ModelId = name.parse().map_err(|_| unknown())?;
        match view.models.contains_key(&model) {
            true => Ok(Plan { rungs: vec![model], accept: None }),
            false => Err(unknown()),
        }
    }

    fn add_part(&mut self, view: &View, chosen: &ChosenVersion, usage: Usage) {
        let Some(v) = view.versions.get(&chosen.version) else { return };
        let (tokens_in, tokens_out) =
            (Tokens(usage.prompt_tokens), Tokens(usage.completion_tokens));
        let cost = v.spec.price_in.cost_of(tokens_in) + v.spec.price_out.cost_of(tokens_out);
        self.shared().metrics.record_usage(&self.labels, usage.total_tokens, cost.0);
        self.parts.push(LineItem(chosen.version.clone(), tokens_in, tokens_out, cost));
    }

    /// Makes the bill safe. Must come before the answer's last byte.
    fn bill(&mut self, ended: BillOutcome) -> Result<()> {
        let parts = std::mem::take(&mut self.parts);
        let bill = Bill(self.caller.id.number, self.caller.workspace.clone(), parts, ended);
        let from = Instant::now();
        let kept = self.shared().billing.keep(bill);
        self.shared().metrics.record_bill_wait(from.elapsed().as_secs_f64() * 1_000.0);
        kept
    }

    fn set_headers(
        &self,
        view: &View,
        chosen: &ChosenVersion,
        endpoint: &PoolEndpoint,
        out: &mut Out,
    ) {
        if out.has_begun() {
            return;
        }
        let Some(request) = &out.request else { return };
        let mut headers = AnswerHeaders::new(&self.caller.id, request);
        headers.add(headers::VERSION, chosen.version.to_string());
        headers.add(headers::ENDPOINT, endpoint.id.to_string());
        if let Some(ring) = &view.key_ring {
            let session = self.session.clone().unwrap_or_else(|| Session {
                workspace: self.caller.workspace.clone(),
                route: self.route.clone(),
                version: chosen.version.clone(),
                generation: chosen.generation,
                nonce: self.place(),
            });
            headers.add(headers::SESSION, session.to_token(ring));
        }
        out.headers = headers;
    }

    fn note_first_token(&self) {
        let ms = self.caller.began.elapsed().as_secs_f64() * 1_000.0;
        self.first_token_ms.set(Some(ms));
        self.shared().metrics.record_first_token(&self.labels, ms);
    }

    /// Counts the request against its objectives. The caller's own faults do not count.
    fn note_objectives(&self, view: &View, good: bool) {
        for objective in &view.objectives {
            if objective.workspace == self.caller.workspace && objective.route == self.route {
                let name = format!("{}/{}", objective.workspace, objective.route);
                let limit = objective.first_token_ms as f64;
                let in_time = self.first_token_ms.get().is_some_and(|ms| ms <= limit);
                self.shared().metrics.record_objective(&self.labels, &name, good && in_time);
            }
        }
    }
}

fn tags_of(request: &Request) -> Vec<String> {
    let tags = header_of(request, headers::TAGS).unwrap_or_default();
    tags.split(',').map(str::trim).filter(|t| !t.is_empty()).map(str::to_string).collect()
}

/// Endpoints of a pool that are looked at for a policy's `load`.
const LOADS_SAMPLED: usize = 4;

/// Work of one busy slot, in answer tokens.
const SLOT_WORK: f64 = 256.0;

/// Gets the share of busy slots of the models that a policy falls back on, from a few endpoints.
fn load_of(view: &View, models: &[ModelId], shared: &Shared) -> Vec<(ModelId, f64)> {
    let now = shared.now();
    let load = |model: &ModelId| {
        let serving = &view.models.get(model)?.serving;
        let pool = view.pools.get(&view.versions.get(serving)?.spec.pool)?;
        let some = pool.endpoints().iter().take(LOADS_SAMPLED);
        let loads: Vec<f64> = some.map(|e| e.state.load(now)).collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        Some((model.clone(), mean / SLOT_WORK))
    };
    models.iter().filter_map(load).collect()
}
