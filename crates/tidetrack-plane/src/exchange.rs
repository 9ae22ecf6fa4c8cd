//! One request, from its head to the head of its answer.
//!
//! The loop here only carries out what the core decides: admission, side of a roll-out, endpoint,
//! model, whether to try again. Each decision is one line of the log.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use tidetrack_core::codes::{Code, Ran};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::{EndpointId, ModelId, ServiceId, VersionName};
use tidetrack_core::placement::{draw, place_of, work_of, Ask, EndpointLive};
use tidetrack_core::retry::{may_retry, Failed};
use tidetrack_core::traffic::budget::{SendAgain, SendBudget};
use tidetrack_core::traffic::cascade::{self, GenerationSize, Prospect};
use tidetrack_core::traffic::control::{Input, ServiceView};
use tidetrack_core::traffic::gate::{self, Admitted};
use tidetrack_core::traffic::outlook::Outlook;
use tidetrack_core::traffic::trial::{Observed, SessionDraw, Side};
use tidetrack_core::units::{Millis, Tokens};

use crate::attempt::{self, Answered, Attempt};
use crate::body::AnswerBody;
use crate::dialect::{Handover, RequestFacts};
use crate::pool::Pool;
use crate::relay;
use crate::shared::SharedRef;

/// Work that a plain call counts as.
const PLAIN_WORK: u64 = 400;

/// Work that one request counts as which an endpoint tells as running. An engine reads prompts one
/// after another, but makes the tokens of all that run together, so what runs adds little.
const RUNNING_WORK: u64 = 40;

/// Work that one request counts as which an endpoint tells as waiting.
const WAITING_WORK: u64 = 400;

/// Multiple of its work that reading a shared part again counts as: it costs its price, delays what
/// runs there, and drives other parts from the endpoint's memory.
const REREAD_TIMES: f64 = 4.0;

/// Part of the generated tokens that counts as work once the prompt has been read.
const GENERATED_PART: f64 = 0.1;

/// When to come back after a refusal for want of room, in milliseconds.
const RETRY_FULL_MS: u64 = 300;

/// When to come back to a host that is stopping; another host takes the request at once.
const RETRY_LEAVING_MS: u64 = 50;

/// Part of the objective after which an attempt at an endpoint that has fallen silent altogether is
/// given up for another.
const SILENT_PART: f64 = 0.8;

/// Multiple of the objective after which an attempt is given up although its endpoint still serves
/// other requests.
const SLOW_TIMES: f64 = 2.0;

/// Least patience with an attempt, for objectives shorter than an endpoint's usual time.
const LEAST_PATIENCE: Duration = Duration::from_millis(150);

/// Part of the objective after which no second opinion is asked.
const SECOND_OPINION_PART: f64 = 0.6;

/// What the traffic thread owns.
pub struct Traffic {
    /// What the threads share.
    pub shared: SharedRef,
    /// Connections to endpoints.
    pub pool: Pool,
    budgets: RefCell<HashMap<ServiceId, SendBudget>>,
    outlook: RefCell<Outlook>,
    /// Requests that are not answered in full yet.
    pub in_flight: Cell<usize>,
    /// Whether new requests are refused because the host stops.
    pub refuses: Cell<bool>,
    numbers: Cell<u64>,
}

impl Traffic {
    /// Makes the state of the traffic thread.
    pub fn new(shared: SharedRef) -> Traffic {
        Traffic {
            shared,
            pool: Pool::default(),
            budgets: RefCell::default(),
            outlook: RefCell::default(),
            in_flight: Cell::new(0),
            refuses: Cell::new(false),
            numbers: Cell::new(0),
        }
    }

    fn next_number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    fn with_budget<T>(&self, service: &ServiceId, f: impl FnOnce(&mut SendBudget) -> T) -> T {
        let bounds = &self.shared.settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let new = || SendBudget::new(bounds.resend_ratio, bounds.resend_window);
        f(budgets.entry(service.clone()).or_insert_with(new))
    }
}

/// Counts a request as in flight for as long as it lives.
struct InFlight(Rc<Traffic>);

impl InFlight {
    fn new(traffic: &Rc<Traffic>) -> InFlight {
        traffic.in_flight.set(traffic.in_flight.get() + 1);
        InFlight(traffic.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// A request that was admitted, as its attempts need it.
pub struct Job {
    /// Its id in the log: the caller's, or this host's number.
    pub id: String,
    /// What its head says.
    pub facts: RequestFacts,
    /// Its route and workspace.
    pub admitted: Admitted,
    /// Method of the request.
    pub method: Method,
    /// Path and query, unaltered.
    pub uri: Uri,
    /// The caller's head.
    pub head: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When its head had been read.
    pub began: Instant,
    /// When it is given up.
    pub until: Instant,
    /// The service it goes to.
    pub service: ServiceId,
}

impl Job {
    fn is_engine(&self) -> bool {
        self.facts.size.is_some()
    }

    /// Gets the work that an endpoint without the request's shared prefix does in addition.
    fn reread(&self, weight: f64) -> u64 {
        let shared = self.facts.shared_tokens.unwrap_or(Tokens(0));
        let work = work_of(shared, Tokens(0)) as f64 * weight * REREAD_TIMES;
        (work as u64).max(1)
    }

    fn objective(&self) -> Duration {
        Duration::from_millis(self.admitted.route.objective.0)
    }

    /// Gets the work the request counts as at an endpoint; `weight` is the model's.
    fn work(&self, weight: f64) -> u64 {
        let of_size = self.facts.size.as_ref();
        let full = of_size.map_or(PLAIN_WORK, |s| work_of(s.prompt, Tokens(0)));
        ((full as f64 * weight) as u64).max(1)
    }

    /// Gets the work that is left once the prompt has been read.
    fn work_left(&self, weight: f64) -> u64 {
        let of_size = self.facts.size.as_ref();
        of_size.map_or(0, |s| (s.generated() * GENERATED_PART * weight) as u64)
    }
}

/// An endpoint that was chosen for an attempt.
#[derive(Clone)]
pub struct Chosen {
    /// Its id.
    pub id: EndpointId,
    /// Its address.
    pub address: String,
    /// Its load and health.
    pub live: Arc<EndpointLive>,
    /// The version under roll-out, if the endpoint runs it.
    pub new_version: Option<VersionName>,
}

/// Work handed to an endpoint, until dropped.
pub struct WorkShare {
    live: Arc<EndpointLive>,
    work: u64,
    work_left: u64,
}

impl WorkShare {
    fn new(live: &Arc<EndpointLive>, job: &Job, weight: f64) -> WorkShare {
        let work = job.work(weight);
        live.begin(work);
        WorkShare { live: live.clone(), work, work_left: job.work_left(weight) }
    }

    /// Takes note that the endpoint has begun to answer: the prompt is read.
    fn answer_began(&mut self) {
        self.live.begin(self.work_left);
        self.live.end(self.work);
        self.work = self.work_left;
    }
}

impl Drop for WorkShare {
    fn drop(&mut self) {
        self.live.end(self.work);
    }
}

/// What the attempts of a request have led to so far.
#[derive(Clone, Default)]
pub struct Tries {
    /// Endpoints that were tried.
    pub tried: Vec<EndpointId>,
    /// Endpoints that the request was sent to.
    pub sent: u32,
    /// Whether the request has run, as far as is known.
    pub ran: Option<Ran>,
}

impl Tries {
    fn note_ran(&mut self, ran: Ran) {
        let worst = match (self.ran, ran) {
            (Some(Ran::Yes), _) | (_, Ran::Yes) => Ran::Yes,
            (Some(Ran::Unknown), _) | (_, Ran::Unknown) => Ran::Unknown,
            _ => Ran::No,
        };
        self.ran = Some(worst);
    }
}

/// Serves one request.
pub async fn serve(traffic: Rc<Traffic>, req: Request<Incoming>) -> Response<AnswerBody> {
    let began = Instant::now();
    let in_flight = InFlight::new(&traffic);
    let attempt_id = (traffic.shared.dialect.read_request)(req.headers()).map(|f| f.attempt_id);
    let attempt_id = attempt_id.ok().flatten();
    let guard = LeaveGuard::new(&traffic, attempt_id.clone().unwrap_or_default());
    let resp = match prepare(&traffic, req, began).await {
        Err(e) => refuse(&traffic, attempt_id.as_deref(), "", began, &e),
        Ok(job) => {
            let job = Rc::new(job);
            let served = run(&traffic, &job).await;
            served.unwrap_or_else(|e| {
                let route = job.admitted.route.name.as_str();
                refuse(&traffic, attempt_id.as_deref(), route, began, &e)
            })
        }
    };
    guard.disarm();
    let mut resp = resp.map(|body| body.on_end(move || drop(in_flight)));
    if traffic.shared.is_leaving() {
        let close = http::HeaderValue::from_static("close");
        resp.headers_mut().insert(http::header::CONNECTION, close);
    }
    resp
}

/// Logs a caller that leaves before the head of its answer: the request is then dropped where it
/// stands, which closes its connection to the endpoint.
struct LeaveGuard {
    traffic: Rc<Traffic>,
    id: String,
    is_armed: bool,
}

impl LeaveGuard {
    fn new(traffic: &Rc<Traffic>, id: String) -> LeaveGuard {
        LeaveGuard { traffic: traffic.clone(), id, is_armed: true }
    }

    fn disarm(mut self) {
        self.is_armed = false;
    }
}

impl Drop for LeaveGuard {
    fn drop(&mut self) {
        if self.is_armed {
            self.traffic.shared.journal.line(Event::CallerLeft, &[("request", &self.id)]);
        }
    }
}

/// Answers a request that is not served, and logs why.
fn refuse(
    traffic: &Traffic,
    attempt_id: Option<&str>,
    route: &str,
    began: Instant,
    e: &Error,
) -> Response<AnswerBody> {
    let shared = &traffic.shared;
    let ran = format!("{:?}", e.ran);
    let ms = began.elapsed().as_millis();
    let retry_after_ms = e.retry_after_ms.unwrap_or(0);
    shared.journal.line(
        Event::RequestRefused,
        &[
            ("request", &attempt_id.unwrap_or("-")),
            ("route", &route),
            ("code", &e.code),
            ("why", &e.message),
            ("ran", &ran),
            ("retry_after_ms", &retry_after_ms),
            ("ms", &ms),
        ],
    );
    shared.metrics.request(route, &e.code.to_string());
    let resp = (shared.dialect.refusal)(e, attempt_id);
    resp.map(AnswerBody::whole)
}

/// Admits a request and reads its body.
async fn prepare(traffic: &Rc<Traffic>, req: Request<Incoming>, began: Instant) -> Result<Job> {
    let shared = &traffic.shared;
    if traffic.refuses.get() {
        let e = Error::new(Code::Draining, "the host is stopping; ask another");
        return Err(e.with_retry_after(RETRY_LEAVING_MS));
    }
    let (head, body) = req.into_parts();
    let facts = (shared.dialect.read_request)(&head.headers)?;
    let hostname = head.headers.get(http::header::HOST).and_then(|h| h.to_str().ok());
    let entry = gate::Entry {
        hostname: hostname.or(head.uri.host()).unwrap_or_default(),
        path: head.uri.path(),
        key: facts.key.as_deref(),
    };
    let view = shared.view.load_full();
    let bound = shared.settings.bounds.revoke_within;
    let catalog = view.catalog.as_deref();
    let admitted = gate::admit(catalog, &shared.fresh, shared.now(), bound, entry)?;
    let limits = catalog.map(|c| c.limits).unwrap_or_default();
    let route = &admitted.route;
    let held = Duration::from_millis(route.timeout.0);
    let time = facts.time_left.map_or(held, |t| held.min(Duration::from_millis(t.0)));
    let until = began + time;
    let body = read_body(body, limits.body_bytes, until).await?;
    let id = facts.attempt_id.clone().unwrap_or_else(|| format!("#{}", traffic.next_number()));
    let target = route.pick_target(draw("target", &id)).cloned();
    let service = target.ok_or_else(|| Error::new(Code::UnknownRoute, "the route goes nowhere"))?;
    let age = shared.fresh.age(shared.now()).map_or(-1, |a| a.0 as i64);
    shared.journal.routine(
        Event::RequestAdmitted,
        &[
            ("request", &id),
            ("route", &route.name),
            ("service", &service),
            ("session", &facts.session.as_deref().unwrap_or("-")),
            ("config", &catalog.map_or(0, |c| c.version)),
            ("config_age_ms", &age),
            ("time_ms", &time.as_millis()),
        ],
    );
    Ok(Job {
        id,
        facts,
        admitted,
        method: head.method,
        uri: head.uri,
        head: head.headers,
        body,
        began,
        until,
        service,
    })
}

async fn read_body(body: Incoming, most: usize, until: Instant) -> Result<Bytes> {
    let whole = Limited::new(body, most).collect();
    let until = tokio::time::Instant::from_std(until);
    let late = |_| Error::new(Code::TooSlow, "the body did not arrive in time");
    let whole = tokio::time::timeout_at(until, whole).await.map_err(late)?;
    let too_large =
        |e: Box<dyn std::error::Error + Send + Sync>| match e
            .downcast_ref::<http_body_util::LengthLimitError>()
        {
            Some(_) => Error::new(Code::TooLarge, format!("the body is larger than {most} bytes")),
            None => Error::new(Code::BadBody, e.to_string()),
        };
    Ok(whole.map_err(too_large)?.to_bytes())
}

/// Runs a request until an answer can be passed on, or there is nothing left to try.
async fn run(traffic: &Rc<Traffic>, job: &Rc<Job>) -> Result<Response<AnswerBody>> {
    let route = &job.admitted.route;
    let mut tries = Tries::default();
    let mut model = cascade::first_model(route).cloned();
    let mut why = SendAgain::Failure;
    let mut fallback: Option<Response<AnswerBody>> = None;
    loop {
        let sent = match try_once(traffic, job, &mut tries, model.as_ref(), why).await {
            Ok(sent) => sent,
            Err(Stop::Final(e)) => return fallback.map_or(Err(e), Ok),
            Err(Stop::Again) => continue,
        };
        let Sent { answered, chosen, share, began } = sent;
        let status = answered.head.status;
        if status.is_success() {
            if let Some(larger) = larger_model(traffic, job, &tries, model.as_ref(), &answered) {
                why = SendAgain::SecondOpinion;
                model = Some(larger);
                // Dropping the answer closes its connection, and the endpoint stops.
                continue;
            }
            let sent = Sent { answered, chosen: chosen.clone(), share, began };
            match pass_on(traffic, job, &tries, model.as_ref(), sent).await {
                Ok(resp) => return Ok(resp),
                Err(e) => {
                    failed_attempt(traffic, job, &chosen, model.as_ref(), &e, began.elapsed());
                    tries.note_ran(Ran::Yes);
                    if !may_go_on(job, &tries) {
                        return Err(gave_up(job, &tries, e));
                    }
                    why = SendAgain::Failure;
                    continue;
                }
            }
        }
        tries.note_ran(Ran::Yes);
        let is_failure = status.is_server_error();
        observe(traffic, job, &chosen, model.as_ref(), is_failure, Some(began.elapsed()), None);
        chosen.live.note(traffic.shared.now(), !is_failure);
        let resp = whole_answer(traffic, job, answered, &chosen, model.as_ref()).await;
        drop(share);
        if !is_failure || !may_go_on(job, &tries) {
            return resp;
        }
        fallback = resp.ok().or(fallback);
        why = SendAgain::Failure;
    }
}

/// Why an attempt led to no answer.
enum Stop {
    /// Nothing more can be tried.
    Final(Error),
    /// Another endpoint may be tried.
    Again,
}

/// An answer with what belongs to its attempt.
struct Sent {
    answered: Answered,
    chosen: Chosen,
    share: WorkShare,
    began: Instant,
}

/// Makes one attempt.
async fn try_once(
    traffic: &Rc<Traffic>,
    job: &Job,
    tries: &mut Tries,
    model: Option<&ModelId>,
    why: SendAgain,
) -> std::result::Result<Sent, Stop> {
    let chosen = match choose(traffic, job, tries, model) {
        Ok(chosen) => chosen,
        Err(e) => return Err(Stop::Final(gave_up(job, tries, e))),
    };
    if let Err(e) = check_before_send(traffic, job, tries, why) {
        return Err(Stop::Final(gave_up(job, tries, e)));
    }
    let mut share = WorkShare::new(&chosen.live, job, weight_of(traffic, job, model));
    let began = Instant::now();
    match send(traffic, job, tries, &chosen, model, None).await {
        Ok(answered) => {
            share.answer_began();
            note_load(traffic, &chosen, &answered);
            Ok(Sent { answered, chosen, share, began })
        }
        Err(e) => {
            failed_attempt(traffic, job, &chosen, model, &e, began.elapsed());
            tries.note_ran(e.ran);
            match may_go_on(job, tries) {
                true => Err(Stop::Again),
                false => Err(Stop::Final(gave_up(job, tries, e))),
            }
        }
    }
}

/// Takes the load that an endpoint tells with an answer.
fn note_load(traffic: &Traffic, chosen: &Chosen, answered: &Answered) {
    if let Some(load) = answered.facts.load {
        let work = load.running * RUNNING_WORK + load.waiting * WAITING_WORK;
        chosen.live.report(traffic.shared.now(), work, Tokens(0));
    }
}

/// Checks, right before a send, that the request may still be passed on.
fn check_before_send(traffic: &Traffic, job: &Job, tries: &Tries, why: SendAgain) -> Result<()> {
    let shared = &traffic.shared;
    let now = shared.now();
    let bound = shared.settings.bounds.revoke_within;
    let needs_proof = job.admitted.holder.is_some();
    if needs_proof && bound.is_some_and(|bound| !shared.fresh.holds(now, bound)) {
        let e = Error::new(Code::Stale, "the configuration was not confirmed for too long");
        return Err(e.with_retry_after(RETRY_FULL_MS));
    }
    if tries.sent == 0 {
        traffic.with_budget(&job.service, |b| b.first(now));
        return Ok(());
    }
    match traffic.with_budget(&job.service, |b| b.take(now, why)) {
        true => Ok(()),
        false => Err(Error::new(Code::RetryBudget, "the budget of further sends is spent")),
    }
}

/// Chooses the endpoint of the next attempt.
fn choose(traffic: &Traffic, job: &Job, tries: &Tries, model: Option<&ModelId>) -> Result<Chosen> {
    let view = traffic.shared.view.load();
    let service = view.services.get(&job.service).ok_or_else(|| full("no endpoint is listed"))?;
    let who = SessionDraw::new(job.facts.session.as_deref(), &job.id);
    let now = traffic.shared.now();
    let session_time = traffic.shared.settings.bounds.session_time;
    let drawn = service.side(now, who, session_time);
    let other = match drawn {
        Side::Proven => Side::New,
        Side::New => Side::Proven,
    };
    let sides = [drawn, other].into_iter();
    let sides = sides.filter(|side| *side == Side::Proven || !service.is_barred());
    let reread = job.reread(weight_of(traffic, job, model));
    let mut last = full("no endpoint can be used");
    // Where all endpoints were tried, all but the last are tried again.
    let untried = tries.tried.as_slice();
    let but_last = &untried[untried.len().saturating_sub(1)..];
    for (side, tried) in sides.flat_map(|side| [(side, untried), (side, but_last)]) {
        match pick(traffic, job, tried, service, side, reread) {
            Ok(chosen) => {
                if side == Side::Proven {
                    service.exposure.hold(now, who, session_time);
                }
                return Ok(chosen);
            }
            Err(e) => last = e,
        }
    }
    Err(last)
}

fn full(text: &str) -> Error {
    Error::new(Code::Overloaded, text).with_retry_after(RETRY_FULL_MS)
}

fn pick(
    traffic: &Traffic,
    job: &Job,
    tried: &[EndpointId],
    service: &ServiceView,
    side: Side,
    reread: u64,
) -> Result<Chosen> {
    let place = job.facts.shared_prefix.as_deref().unwrap_or(&job.id);
    let ask = Ask {
        place: place_of(place.as_bytes()),
        salt: place_of(job.id.as_bytes()).wrapping_add(tried.len() as u64),
        need: Tokens(0),
        tried,
        priority: 0,
        reread,
    };
    let picked = service.pool(side).pick(traffic.shared.now(), &ask)?;
    let new_version = match side {
        Side::Proven => None,
        Side::New => service.trial.as_ref().map(|t| t.version.clone()),
    };
    if new_version.is_some() {
        service.exposure.sent_to_new();
    }
    Ok(Chosen {
        id: picked.id.clone(),
        address: picked.address.clone(),
        live: picked.live.clone(),
        new_version,
    })
}

/// Waits until an attempt is to be given up for another one: soon if the endpoint has fallen silent
/// altogether, later if it is only slow.
async fn impatience(traffic: &Traffic, job: &Job, tries: &Tries, chosen: &Chosen) {
    let route = &job.admitted.route;
    if tries.sent >= route.most_attempts || !route.work.is_repeatable() {
        return std::future::pending().await;
    }
    let sent_at = traffic.shared.now();
    let silent = job.objective().mul_f64(SILENT_PART).max(LEAST_PATIENCE);
    let slow = job.objective().mul_f64(SLOW_TIMES).max(LEAST_PATIENCE * 2);
    tokio::time::sleep(silent).await;
    if chosen.live.was_heard_since(sent_at) {
        tokio::time::sleep(slow.saturating_sub(silent)).await;
    }
}

/// Gets a model's weight in the work of an endpoint, by its price beside the largest model's.
fn weight_of(traffic: &Traffic, job: &Job, model: Option<&ModelId>) -> f64 {
    let view = traffic.shared.view.load();
    let service = view.catalog.as_ref().and_then(|c| c.services.get(&job.service));
    match (service, model) {
        (Some(service), Some(model)) => service.weight_of(model),
        _ => 1.0,
    }
}

/// Sends a request to a chosen endpoint.
pub async fn send(
    traffic: &Traffic,
    job: &Job,
    tries: &mut Tries,
    chosen: &Chosen,
    model: Option<&ModelId>,
    last_event: Option<u64>,
) -> Result<Answered> {
    let shared = &traffic.shared;
    tries.tried.push(chosen.id.clone());
    tries.sent += 1;
    let load = chosen.live.load(shared.now()) as u64;
    let reported_at = chosen.live.reported_at();
    let load_age = match reported_at {
        Millis(0) => -1,
        at => (shared.now() - at).0 as i64,
    };
    shared.journal.routine(
        Event::AttemptSent,
        &[
            ("request", &job.id),
            ("attempt", &tries.sent),
            ("endpoint", &chosen.id),
            ("model", &model.map_or("-", ModelId::as_str)),
            ("new_version", &chosen.new_version.as_ref().map_or("-", VersionName::as_str)),
            ("load", &load),
            ("load_age_ms", &load_age),
        ],
    );
    let attempt = Attempt {
        pool: &traffic.pool,
        dialect: &shared.dialect,
        endpoint: chosen.id.as_str(),
        address: &chosen.address,
        attempt_id: job.facts.attempt_id.as_deref(),
        until: job.until,
    };
    let make = |_| make_request(traffic, job, chosen, model, last_event);
    let sent = tokio::select! {
        sent = attempt::send(&attempt, make) => sent?,
        () = impatience(traffic, job, tries, chosen) => {
            return Err(Error::new(Code::Deadline, "no answer in time").with_ran(Ran::Unknown));
        }
    };
    chosen.live.heard(shared.now());
    Ok(sent)
}

fn make_request(
    traffic: &Traffic,
    job: &Job,
    chosen: &Chosen,
    model: Option<&ModelId>,
    last_event: Option<u64>,
) -> Request<Full<Bytes>> {
    let left = job.until.saturating_duration_since(Instant::now());
    let handover = Handover {
        time_left: Millis(left.as_millis() as u64),
        endpoint: &chosen.id,
        workspace: job.admitted.holder.as_ref().map(|h| &h.workspace),
        rank: job.is_engine().then(|| job.admitted.rank()),
        model,
        last_event: last_event.or(job.facts.last_event),
    };
    let mut req = Request::new(Full::new(job.body.clone()));
    *req.method_mut() = job.method.clone();
    *req.uri_mut() = job.uri.clone();
    *req.headers_mut() = (traffic.shared.dialect.endpoint_head)(&job.head, &handover);
    req
}

/// Logs a failed attempt and lets it count against the endpoint.
pub fn failed_attempt(
    traffic: &Traffic,
    job: &Job,
    chosen: &Chosen,
    model: Option<&ModelId>,
    e: &Error,
    took: Duration,
) {
    let shared = &traffic.shared;
    let ran = format!("{:?}", e.ran);
    shared.journal.line(
        Event::AttemptFailed,
        &[
            ("request", &job.id),
            ("endpoint", &chosen.id),
            ("code", &e.code),
            ("why", &e.message),
            ("ran", &ran),
        ],
    );
    shared.metrics.attempt("failed");
    match e.code {
        // A refusal for want of room says nothing about the endpoint's health.
        Code::EndpointRefused => {}
        // Neither does slowness of an endpoint that serves others, but it counts as a long time.
        Code::Deadline => {
            let since = Millis(shared.now().0.saturating_sub(took.as_millis() as u64));
            if chosen.live.was_heard_since(since) {
                observe(traffic, job, chosen, model, false, Some(took), None);
            } else {
                chosen.live.note(shared.now(), false);
            }
        }
        // A break is the endpoint's end or the network's doing, and says nothing of its version.
        _ => {
            chosen.live.note(shared.now(), false);
            traffic.pool.forget(chosen.id.as_str());
        }
    }
}

/// Tells whether another attempt may follow a failed one.
fn may_go_on(job: &Job, tries: &Tries) -> bool {
    let route = &job.admitted.route;
    let failed = Failed {
        ran: tries.ran.unwrap_or(Ran::No),
        repeatable: route.work.is_repeatable(),
        answered_in_part: false,
    };
    tries.sent < route.most_attempts && Instant::now() < job.until && may_retry(failed)
}

/// Makes the final error of a request: it says whether the request may have run.
fn gave_up(job: &Job, tries: &Tries, last: Error) -> Error {
    let ran = tries.ran.unwrap_or(Ran::No);
    if Instant::now() >= job.until {
        return Error::new(Code::Deadline, last.message).with_ran(ran);
    }
    match ran {
        Ran::No if last.retry_after_ms.is_some() => last.with_ran(Ran::No),
        Ran::No if last.code.status() == 503 => {
            last.with_ran(Ran::No).with_retry_after(RETRY_FULL_MS)
        }
        Ran::No => full(&last.message),
        _ => Error::new(Code::EndpointFailed, last.message).with_ran(ran),
    }
}

/// Gets the larger model that an answer is to be dropped for.
fn larger_model(
    traffic: &Traffic,
    job: &Job,
    tries: &Tries,
    model: Option<&ModelId>,
    answered: &Answered,
) -> Option<ModelId> {
    let route = &job.admitted.route;
    let (model, size) = (model?, job.facts.size.as_ref()?);
    let confidence = answered.facts.confidence?;
    if tries.sent >= route.most_attempts || !route.work.is_repeatable() {
        return None;
    }
    if job.began.elapsed() > job.objective().mul_f64(SECOND_OPINION_PART) {
        return None;
    }
    let view = traffic.shared.view.load();
    let service = view.catalog.as_ref()?.services.get(&job.service)?;
    let opts = &traffic.shared.settings.cascade;
    let prospect = prospect(traffic, job, tries, confidence, size);
    let larger = cascade::better_model(route, service, model, prospect, size, opts)?;
    traffic.shared.journal.routine(
        Event::AnswerDropped,
        &[
            ("request", &job.id),
            ("model", model),
            ("confidence", &confidence),
            ("in_time", &format_args!("{:.2}", prospect.in_time)),
            ("wait", &format_args!("{:.2}", prospect.wait)),
            ("larger", larger),
            ("worth", &size.worth(opts)),
            ("price", &size.price(service.price_of(larger))),
        ],
    );
    Some(larger.clone())
}

/// Gets what is known about a second run, and takes note of how long the first one waited.
fn prospect(
    traffic: &Traffic,
    job: &Job,
    tries: &Tries,
    confidence: u8,
    size: &GenerationSize,
) -> Prospect {
    let route = &job.admitted.route;
    let mut outlook = traffic.outlook.borrow_mut();
    let waited = job.began.elapsed().as_secs_f64() / job.objective().as_secs_f64().max(0.001);
    if tries.sent == 1 {
        outlook.waited(&route.name, waited);
    }
    let now = traffic.shared.now();
    let largest = route.models.last();
    let in_time = largest.map_or(1.0, |m| outlook.chance(now, &route.name, m, size));
    Prospect { confidence, in_time, wait: outlook.wait(&route.name) }
}

/// Passes a successful answer on, as a whole or as a stream.
async fn pass_on(
    traffic: &Rc<Traffic>,
    job: &Rc<Job>,
    tries: &Tries,
    model: Option<&ModelId>,
    sent: Sent,
) -> Result<Response<AnswerBody>> {
    let Sent { answered, chosen, share, began } = sent;
    if job.admitted.route.work.is_stream() {
        let model = model.cloned();
        let stream = relay::Stream::new(traffic, job, model, answered, chosen, share, began);
        return stream.begin(tries.clone()).await;
    }
    let resp = whole_answer(traffic, job, answered, &chosen, model).await?;
    chosen.live.note(traffic.shared.now(), true);
    observe(traffic, job, &chosen, model, false, Some(began.elapsed()), None);
    drop(share);
    Ok(resp)
}

/// Collects an answer and makes the caller's from it.
async fn whole_answer(
    traffic: &Traffic,
    job: &Job,
    answered: Answered,
    chosen: &Chosen,
    model: Option<&ModelId>,
) -> Result<Response<AnswerBody>> {
    let Answered { head, facts, body, lease } = answered;
    let until = tokio::time::Instant::from_std(job.until);
    let late = |_| Error::new(Code::Deadline, "the answer was not whole in time");
    let collected = tokio::time::timeout_at(until, attempt::collect(body, lease));
    let (body, lease) = collected.await.map_err(late)??;
    traffic.pool.keep(chosen.id.as_str(), lease, facts.idle_time);
    answered_line(traffic, job, chosen, model, head.status.as_u16());
    let mut resp = Response::new(AnswerBody::whole(body));
    *resp.status_mut() = head.status;
    *resp.headers_mut() = (traffic.shared.dialect.caller_head)(head.headers);
    Ok(resp)
}

/// Logs and counts a request whose answer is passed on.
pub fn answered_line(
    traffic: &Traffic,
    job: &Job,
    chosen: &Chosen,
    model: Option<&ModelId>,
    status: u16,
) {
    let shared = &traffic.shared;
    let took = job.began.elapsed();
    let route = job.admitted.route.name.as_str();
    let fields: [(&'static str, &dyn std::fmt::Display); 6] = [
        ("request", &job.id),
        ("route", &route),
        ("endpoint", &chosen.id),
        ("model", &model.map_or("-", ModelId::as_str)),
        ("status", &status),
        ("ms", &took.as_millis()),
    ];
    if let (Some(model), Some(size)) = (model, &job.facts.size) {
        let in_time = took <= job.objective();
        let route = &job.admitted.route.name;
        traffic.outlook.borrow_mut().answered(shared.now(), route, model, size, in_time);
    }
    match status < 500 {
        true => shared.journal.routine(Event::RequestDone, &fields),
        false => shared.journal.line(Event::RequestDone, &fields),
    }
    shared.metrics.request(route, &status.to_string());
    shared.metrics.objective(route, status < 400 && took <= job.objective());
    shared.metrics.first_byte(route, took.as_secs_f64() * 1_000.0);
    shared.metrics.attempt("answered");
}

/// Tells the control thread what was seen of an answer.
pub fn observe(
    traffic: &Traffic,
    job: &Job,
    chosen: &Chosen,
    model: Option<&ModelId>,
    failed: bool,
    head: Option<Duration>,
    gap_ms: Option<f64>,
) {
    traffic.shared.tell(Input::Observed(Observed {
        service: job.service.clone(),
        new_version: chosen.new_version.clone(),
        endpoint: chosen.id.clone(),
        route: job.admitted.route.name.clone(),
        model: model.cloned(),
        failed,
        head_ms: head.map(|d| d.as_secs_f64() * 1_000.0),
        gap_ms,
    }));
}

/// Chooses an endpoint on which a broken stream goes on.
pub fn choose_again(
    traffic: &Traffic,
    job: &Job,
    tries: &Tries,
    model: Option<&ModelId>,
) -> Result<(Chosen, WorkShare)> {
    let route = &job.admitted.route;
    if tries.sent >= route.most_attempts {
        return Err(Error::new(Code::EndpointFailed, "no attempt is left"));
    }
    let chosen = choose(traffic, job, tries, model)?;
    check_before_send(traffic, job, tries, SendAgain::Failure)?;
    let share = WorkShare::new(&chosen.live, job, weight_of(traffic, job, model));
    Ok((chosen, share))
}
