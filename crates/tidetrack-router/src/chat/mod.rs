//! Chat requests: from the caller's body to the answer's end marker.
//!
//! A request runs through the rungs that its policy plans. A rung before the last is judged and only
//! then shown; the last one is streamed as it comes. The bill is safe before the end marker leaves.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tidetrack_core::codes::{Code, Ran};
use tidetrack_core::config::Workspace;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::evidence::Counts;
use tidetrack_core::ids::{EndpointId, ModelId, RequestId, RouteId, WorkspaceId};
use tidetrack_core::ledger::{Bill, Ended, Part};
use tidetrack_core::placement::{draw, place_of, rendezvous, work_of, Ask, PoolEndpoint};
use tidetrack_core::policy::{Features, Plan};
use tidetrack_core::retry::{may_retry, Failed};
use tidetrack_core::session::Session;
use tidetrack_core::units::Tokens;
use tidetrack_core::view::{Chosen, View};
use tidetrack_wire::caller::{AnswerPart, ChatRequest, StreamOptions, Usage, DONE};
use tidetrack_wire::endpoint::RateAsk;
use tidetrack_wire::headers;

use crate::callers::Request;
use crate::metrics::Labels;
use crate::outcome::{self, header_of, AnswerHeaders};
use crate::rating::{self, RateJob};
use crate::shared::Shared;
use crate::upstream::{Attempt, Begin, Events, Upstream};

mod flow;

use flow::{Flow, Out};

/// Most attempts at one rung.
const MOST_ATTEMPTS: usize = 3;

/// Answer tokens assumed where a request does not say.
const ASSUMED_ANSWER: u64 = 256;

/// Characters of a prompt that decide its place on the ring.
const PREFIX_CHARS: usize = 512;

/// Largest whole answer, in bytes: some hundred thousand tokens.
const LARGEST_ANSWER: usize = 4 << 20;

/// Seconds that a judgement inside a cascade may take.
const JUDGE_SECONDS: u64 = 1;

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
    route: RouteId,
    session: Option<Session>,
    draw: f64,
    deadline: Instant,
    wants_usage: bool,
    priority: i64,
    labels: Labels,
    parts: Vec<Part>,
    first_token_ms: Cell<Option<f64>>,
    may_have_run: bool,
}

/// What one rung gave.
struct Answer {
    chosen: Chosen,
    endpoint: PoolEndpoint,
    text: String,
    usage: Usage,
    body: Vec<u8>,
}

/// Runs a chat request and answers it.
pub fn run(caller: &Caller<'_>, request: Request, body: &[u8]) -> (Labels, Result<()>) {
    let headers = AnswerHeaders::new(&caller.id, &request);
    let mut labels = Labels { workspace: caller.workspace.to_string(), ..Labels::default() };
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
        let session = match (header_of(request, headers::SESSION), &view.ring) {
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
        let draw = draw("version", &caller.id.to_string());
        Ok(Call {
            route: route.clone(),
            wants_usage: chat.stream_options.as_ref().is_some_and(|o| o.include_usage),
            priority: number_of(request, headers::PRIORITY).unwrap_or(0),
            draw,
            labels: Labels {
                workspace: caller.workspace.to_string(),
                route: route.to_string(),
                ..Labels::default()
            },
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
            Err(e) if e.ran == Ran::No && self.may_have_run => Err(e.with_ran(Ran::Unknown)),
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
            self.bill(Ended::Broken)?;
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
            self.shared().metrics.event("policy_failed");
            self.shared().log(Event::PolicyFailed, &format!("{}: {e}", self.route));
        }
        let script = header_of(request, headers::SCRIPT_CHOICE);
        match script {
            Some(choice) if !view.in_force(policy.spec.mode, self.draw) => {
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

    /// Runs one rung; tells whether its answer was given to the caller.
    fn rung(&mut self, model: &ModelId, judged: Option<f64>, out: &mut Out) -> Result<bool> {
        let mut tried: Vec<EndpointId> = Vec::new();
        let mut chosen: Option<Chosen> = None;
        let mut first: Option<Error> = None;
        loop {
            let tried_before = tried.len();
            let result = self.attempt(model, &mut chosen, &mut tried, judged, out);
            let e = match result {
                Ok(given) => {
                    self.may_have_run = true;
                    return Ok(given);
                }
                Err(e) => e,
            };
            self.may_have_run |= e.ran != Ran::No;
            // That no other endpoint is left says less than why one is looked for.
            let e = match first.take() {
                Some(first) if e.code == Code::Overloaded => first,
                _ => e,
            };
            first = Some(e.clone());
            let failed = Failed { ran: e.ran, repeatable: true, answered_in_part: out.has_begun() };
            let again = tried.len() > tried_before
                && tried.len() < MOST_ATTEMPTS
                && is_attempts_fault(e.code)
                && may_retry(failed)
                && Instant::now() < self.deadline;
            if !again || !self.take_retry() {
                self.give_back(&chosen);
                return Err(e);
            }
        }
    }

    /// Gives the credit back if no attempt of the request can have run.
    fn give_back(&self, chosen: &Option<Chosen>) {
        let credit = chosen.as_ref().and_then(|c| c.credit.as_ref());
        if let Some(credit) = credit.filter(|_| !self.may_have_run) {
            credit.give_back();
        }
    }

    fn take_retry(&self) -> bool {
        let mut retries = self.shared().retries.lock().expect("no holder of the lock panics");
        retries.take()
    }

    fn attempt(
        &mut self,
        model: &ModelId,
        chosen: &mut Option<Chosen>,
        tried: &mut Vec<EndpointId>,
        judged: Option<f64>,
        out: &mut Out,
    ) -> Result<bool> {
        let fresh = self.shared().confirm();
        let view = self.shared().view.load_full();
        let workspace = self.workspace(&view)?;
        if chosen.is_none() {
            *chosen = Some(match &self.session {
                Some(s) => view.choose_kept(workspace, &s.version, s.generation, fresh)?,
                None => view.choose(workspace, model, self.draw, fresh)?,
            });
        }
        let chosen = chosen.as_ref().expect("a version was chosen").clone();
        let endpoint = self.pick(&view, &chosen, tried)?;
        tried.push(endpoint.id.clone());
        self.labels.version = chosen.version.to_string();
        self.labels.failure_domain = endpoint.failure_domain.to_string();
        let attempt = format!("{}/{}-{}", self.caller.id, chosen.version.model, tried.len());
        // The last look before work leaves: a withdrawal that came meanwhile counts.
        let view = self.shared().view.load_full();
        view.still_good(self.workspace(&view)?, &chosen)?;
        let begin = Begin {
            shared: self.shared(),
            upstream: self.caller.upstream,
            endpoint,
            work: work_of(Tokens(self.chat.prompt_tokens()), Tokens(self.answer_tokens())),
            id: attempt,
            deadline: self.deadline,
            any_status: false,
            is_repeatable: true,
        };
        let result = match judged {
            None if self.chat.stream => self.streamed(begin, &view, &chosen, out),
            _ => self.whole(begin, &chosen).and_then(|a| self.judge(a, &view, judged, out)),
        };
        self.count(&chosen, &result);
        result
    }

    /// Counts the end of an attempt as evidence about the version.
    fn count(&self, chosen: &Chosen, result: &Result<bool>) {
        let counts = match result {
            Ok(_) => Counts { answered: 1, ..Counts::default() },
            Err(e) if e.ran != Ran::No && e.code == Code::EndpointFailed => {
                Counts { errors: 1, ..Counts::default() }
            }
            Err(_) => return,
        };
        let unproven = chosen.credit.is_some();
        self.shared().count(&chosen.version, chosen.generation, unproven, counts);
    }

    fn workspace<'v>(&self, view: &'v View) -> Result<&'v Workspace> {
        let gone = || Error::new(Code::NoKey, "the workspace is gone");
        view.workspaces.get(&self.caller.workspace).ok_or_else(gone)
    }

    fn answer_tokens(&self) -> u64 {
        self.chat.max_tokens.unwrap_or(ASSUMED_ANSWER)
    }

    fn pick(&self, view: &View, chosen: &Chosen, tried: &[EndpointId]) -> Result<PoolEndpoint> {
        let need = self.chat.prompt_tokens() + self.answer_tokens();
        let context = view.versions.get(&chosen.version).map_or(0, |v| v.spec.context_tokens);
        if need > context {
            let message = format!("{need} tokens; {} takes {context}", chosen.version);
            return Err(Error::new(Code::TooLong, message));
        }
        let pool = view.pools.get(&chosen.pool);
        let no_pool = || Error::new(Code::NoVersion, format!("no pool named {}", chosen.pool));
        let ask = Ask {
            place: self.place(),
            salt: rendezvous("endpoint", &self.caller.id.to_string()),
            need: Tokens(need),
            tried,
            priority: self.priority,
            reread: 0,
        };
        pool.ok_or_else(no_pool)?.pick(self.shared().now(), &ask).cloned()
    }

    /// Gets the place on the ring: the session's, or that of the prompt's beginning.
    fn place(&self) -> u64 {
        if let Some(session) = &self.session {
            return place_of(&session.nonce.to_le_bytes());
        }
        let first = self.chat.messages.first().and_then(|m| m.content.as_str()).unwrap_or_default();
        let prefix: String = first.chars().take(PREFIX_CHARS).collect();
        place_of(prefix.as_bytes())
    }

    /// Makes the request that an endpoint gets.
    fn upstream_request(&self, chosen: &Chosen, stream: bool) -> (http::request::Builder, Vec<u8>) {
        let mut chat = self.chat.clone();
        chat.model = chosen.version.model.to_string();
        chat.stream = stream;
        chat.stream_options = stream.then_some(StreamOptions { include_usage: true });
        let body = serde_json::to_vec(&chat).expect("a request that was read can be written");
        let request = http::Request::post("/v1/chat/completions")
            .header(http::header::CONTENT_TYPE, "application/json")
            .header(headers::PRIORITY, self.priority)
            .header(headers::VERSION, chosen.version.to_string());
        (request, body)
    }

    /// Gets a whole answer.
    fn whole(&self, begin: Begin<'_>, chosen: &Chosen) -> Result<Answer> {
        let (request, body) = self.upstream_request(chosen, false);
        let (mut attempt, mut reply) = Attempt::send(begin, request, body)?;
        let parsed = attempt.read_body(&mut reply, LARGEST_ANSWER).and_then(|body| {
            let part = serde_json::from_slice::<AnswerPart>(&body);
            part.map(|part| (part, body)).map_err(|e| attempt.cut(&e.to_string()))
        });
        match parsed {
            Ok((part, body)) => {
                attempt.succeeded();
                let text = part.text().to_string();
                let usage = part.usage.unwrap_or_else(|| self.assumed_usage(&text));
                let endpoint = attempt.endpoint().clone();
                Ok(Answer { chosen: chosen.clone(), endpoint, text, usage, body })
            }
            Err(e) => {
                attempt.failed(&e);
                Err(e)
            }
        }
    }

    fn assumed_usage(&self, text: &str) -> Usage {
        let completion_tokens = (text.chars().count() as u64).div_ceil(4);
        let prompt_tokens = self.chat.prompt_tokens();
        let total_tokens = prompt_tokens + completion_tokens;
        Usage { prompt_tokens, completion_tokens, total_tokens }
    }

    /// Judges a whole answer if need be, and gives it to the caller if it is good enough.
    fn judge(
        &mut self,
        answer: Answer,
        view: &View,
        judged: Option<f64>,
        out: &mut Out,
    ) -> Result<bool> {
        self.add_part(view, &answer.chosen, answer.usage);
        if let Some(accept) = judged {
            if !self.is_good(&answer, accept) {
                return Ok(false);
            }
        }
        self.note_first_token();
        self.bill(Ended::Whole)?;
        self.set_headers(view, &answer.chosen, &answer.endpoint, out);
        if judged.is_none() {
            self.offer_rating(&answer.chosen, &answer.text);
        }
        let sent = match self.chat.stream {
            true => self.send_as_stream(&answer, out),
            false => match out.request.take() {
                Some(request) => {
                    outcome::send_whole(request, &out.headers, 200, "application/json", answer.body)
                }
                None => Ok(()),
            },
        };
        if sent.is_err() {
            self.shared().log(Event::CallerLeft, &self.caller.id.to_string());
        }
        Ok(true)
    }

    /// Checks an answer of a rung that is not the last: it says something and is rated well.
    fn is_good(&self, answer: &Answer, accept: f64) -> bool {
        if answer.text.trim().is_empty() {
            return false;
        }
        let Some(address) = self.shared().settings.rating.as_deref() else { return false };
        let ask = self.rate_ask(&answer.chosen, &answer.text);
        let Ok(score) = rating::rate(address, &ask, JUDGE_SECONDS) else { return false };
        let mut counts = Counts::default();
        counts.rate(score);
        let Chosen { version, generation, credit, .. } = &answer.chosen;
        self.shared().count(version, *generation, credit.is_some(), counts);
        score >= accept
    }

    fn rate_ask(&self, chosen: &Chosen, text: &str) -> RateAsk {
        let last = self.chat.messages.last().and_then(|m| m.content.as_str()).unwrap_or_default();
        RateAsk {
            request: self.caller.id.to_string(),
            version: chosen.version.to_string(),
            prompt: last.to_string(),
            answer: text.to_string(),
        }
    }

    fn offer_rating(&self, chosen: &Chosen, text: &str) {
        let job = RateJob {
            ask: self.rate_ask(chosen, text),
            version: chosen.version.clone(),
            generation: chosen.generation,
            unproven: chosen.credit.is_some(),
        };
        rating::offer(self.shared(), job);
    }

    fn send_as_stream(&self, answer: &Answer, out: &mut Out) -> std::io::Result<()> {
        let chunk = serde_json::json!({
            "id": self.caller.id.to_string(), "object": "chat.completion.chunk",
            "model": answer.chosen.version.model.to_string(),
            "choices": [{"index": 0, "delta": {"role": "assistant", "content": answer.text},
                "finish_reason": "stop"}],
        });
        let wants_usage = self.wants_usage;
        let stream = out.stream()?;
        stream.event(&chunk.to_string())?;
        if wants_usage {
            let usage = serde_json::json!({"id": self.caller.id.to_string(),
                "object": "chat.completion.chunk", "choices": [], "usage": answer.usage});
            stream.event(&usage.to_string())?;
        }
        stream.event(DONE)
    }

    /// Passes a stream on event by event.
    fn streamed(
        &mut self,
        begin: Begin<'_>,
        view: &View,
        chosen: &Chosen,
        out: &mut Out,
    ) -> Result<bool> {
        let (request, body) = self.upstream_request(chosen, true);
        let (mut attempt, reply) = Attempt::send(begin, request, body)?;
        let mut flow = Flow::default();
        self.set_headers(view, chosen, attempt.endpoint(), out);
        let passed = flow.pass(&mut Events::new(reply), &attempt, self, out);
        let passed = match passed {
            Err(e) if e.code == Code::EndpointFailed && out.has_begun() => {
                flow.resume(&attempt, out).map_err(|_| e)
            }
            other => other,
        };
        let usage = flow.usage.unwrap_or_else(|| Usage {
            prompt_tokens: self.chat.prompt_tokens(),
            completion_tokens: flow.chunks,
            total_tokens: self.chat.prompt_tokens() + flow.chunks,
        });
        if let Err(e) = passed {
            attempt.failed(&e);
            if out.has_begun() {
                self.add_part(view, chosen, usage);
                self.bill(Ended::Broken)?;
            }
            return Err(e);
        }
        attempt.succeeded();
        self.add_part(view, chosen, usage);
        self.bill(Ended::Whole)?;
        self.offer_rating(chosen, &flow.text);
        if flow.finish(self.wants_usage, out).is_err() {
            self.shared().log(Event::CallerLeft, &self.caller.id.to_string());
        }
        Ok(true)
    }

    fn add_part(&mut self, view: &View, chosen: &Chosen, usage: Usage) {
        let Some(v) = view.versions.get(&chosen.version) else { return };
        let (tokens_in, tokens_out) =
            (Tokens(usage.prompt_tokens), Tokens(usage.completion_tokens));
        let cost = v.spec.price_in.cost_of(tokens_in) + v.spec.price_out.cost_of(tokens_out);
        self.shared().metrics.usage(&self.labels, usage.total_tokens, cost.0);
        self.parts.push(Part(chosen.version.clone(), tokens_in, tokens_out, cost));
    }

    /// Makes the bill safe. Must come before the answer's last byte.
    fn bill(&mut self, ended: Ended) -> Result<()> {
        let parts = std::mem::take(&mut self.parts);
        let bill = Bill(self.caller.id.number, self.caller.workspace.clone(), parts, ended);
        let from = Instant::now();
        let kept = self.shared().billing.keep(bill);
        self.shared().metrics.bill_wait(from.elapsed().as_secs_f64() * 1_000.0);
        kept
    }

    fn set_headers(&self, view: &View, chosen: &Chosen, endpoint: &PoolEndpoint, out: &mut Out) {
        if out.has_begun() {
            return;
        }
        let Some(request) = &out.request else { return };
        let mut headers = AnswerHeaders::new(&self.caller.id, request);
        headers.add(headers::VERSION, chosen.version.to_string());
        headers.add(headers::ENDPOINT, endpoint.id.to_string());
        if let Some(ring) = &view.ring {
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
        self.shared().metrics.first_token(&self.labels, ms);
    }

    /// Counts the request against its objectives. The caller's own faults do not count.
    fn note_objectives(&self, view: &View, good: bool) {
        for objective in &view.objectives {
            if objective.workspace == self.caller.workspace && objective.route == self.route {
                let name = format!("{}/{}", objective.workspace, objective.route);
                let limit = objective.first_token_ms as f64;
                let in_time = self.first_token_ms.get().is_some_and(|ms| ms <= limit);
                self.shared().metrics.objective(&self.labels, &name, good && in_time);
            }
        }
    }
}

/// Tells whether an error is one that another endpoint may not have.
fn is_attempts_fault(code: Code) -> bool {
    matches!(
        code,
        Code::EndpointFailed
            | Code::EndpointRefused
            | Code::EndpointUnreachable
            | Code::WrongAnswer
    )
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
        let loads: Vec<f64> = some.map(|e| e.live.load(now)).collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        Some((model.clone(), mean / SLOT_WORK))
    };
    models.iter().filter_map(load).collect()
}
