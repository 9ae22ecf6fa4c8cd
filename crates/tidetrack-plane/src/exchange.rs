//! One request, from its head to the head of its answer.
//!
//! The loop here only carries out what the core decides: admission, side of a roll-out, endpoint,
//! model, whether to try again. Each decision is one line of the log.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::ids::ModelId;
use tidetrack_core::placement::hash_fraction;
use tidetrack_core::retry::{may_retry, FailedAttempt};
use tidetrack_core::traffic::bootstrap::hold_time;
use tidetrack_core::traffic::fingerprint::{Fingerprint, RequestIdentity};
use tidetrack_core::traffic::judge::AttemptOutcome;
use tidetrack_core::traffic::{admission, cascade};

use tidetrack_core::units::Millis;

use crate::attempt::{self, Answered};
use crate::body::AnswerBody;
use crate::choose::{check_before_send, choose, full, weight_of, RETRY_FULL_MS};
use crate::clock::BootInstant;
use crate::crash::note_crash;
use crate::dialect::RequestFacts;
use crate::job::{Chosen, InFlight, Job, Traffic, Tries, WorkShare};
use crate::relay;
use crate::report::{answered_line, failed_attempt, observe, Seen};
use crate::second_run::larger_model;
use crate::send::{note_load, send};

/// When to come back to a host that is stopping; another host takes the request at once.
const RETRY_LEAVING_MS: u64 = 50;

/// Pause between looks whether a host that starts can serve.
const START_LOOK: Duration = Duration::from_millis(10);

/// Serves one request.
pub async fn serve(traffic: Rc<Traffic>, req: Request<Incoming>) -> Response<AnswerBody> {
    let began = Instant::now();
    let in_flight = InFlight::new(&traffic);
    let facts = (traffic.shared.dialect.parse_request_head)(req.headers());
    let attempt_id = facts.as_ref().ok().and_then(|f| f.attempt_id.clone());
    let guard = LeaveGuard::new(&traffic, attempt_id.clone().unwrap_or_default());
    let resp = match prepare(&traffic, facts, req, began).await {
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
            self.traffic.shared.journal.log(Event::CallerLeft, &[("request", &self.id)]);
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
    let ran = format!("{:?}", e.executed);
    let ms = began.elapsed().as_millis();
    let retry_after_ms = e.retry_after_ms.unwrap_or(0);
    shared.journal.log(
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
    shared.metrics.record_request(route, &e.code.to_string());
    let resp = (shared.dialect.build_error_response)(e, attempt_id);
    resp.map(AnswerBody::whole)
}

/// Admits a request and reads its body.
async fn prepare(
    traffic: &Rc<Traffic>,
    facts: Result<RequestFacts>,
    req: Request<Incoming>,
    began: Instant,
) -> Result<Job> {
    let shared = &traffic.shared;
    if traffic.refuses.get() {
        let e = Error::new(Code::Draining, "the host is stopping; ask another");
        return Err(e.with_retry_after(RETRY_LEAVING_MS));
    }
    let (head, body) = req.into_parts();
    let facts = facts?;
    let hostname = head.headers.get(http::header::HOST).and_then(|h| h.to_str().ok());
    let entry = admission::AdmissionRequest {
        hostname: hostname.or(head.uri.host()).unwrap_or_default(),
        path: head.uri.path(),
        key: facts.key.as_deref(),
    };
    wait_for_start(traffic, facts.time_left).await;
    let view = shared.view.load_full();
    let bound = shared.settings.bounds.revocation_bound;
    let catalog = view.catalog.as_deref();
    let admitted = admission::admit(catalog, &shared.freshness, shared.now(), bound, entry)?;
    let limits = catalog.map(|c| c.limits).unwrap_or_default();
    let route = &admitted.route;
    let held = Duration::from_millis(route.timeout.0);
    let time = facts.time_left.map_or(held, |t| held.min(Duration::from_millis(t.0)));
    let (until, due) =
        (began + time, BootInstant::now().saturating_add(time.saturating_sub(began.elapsed())));
    let body = read_body(body, limits.max_body_bytes, until).await?;
    let fingerprint = Fingerprint::of(&RequestIdentity {
        workspace: admitted.holder.as_ref().map(|h| &h.workspace),
        hostname: entry.hostname,
        method: head.method.as_str(),
        path: head.uri.path_and_query().map_or(entry.path, |path| path.as_str()),
        body: &body,
    });
    let id = facts.attempt_id.clone().unwrap_or_else(|| format!("#{}", traffic.next_number()));
    let running = shared.suspects.admit(shared.now(), fingerprint)?;
    let target = route.pick_target(hash_fraction("target", &id)).cloned();
    let service = target.ok_or_else(|| Error::new(Code::UnknownRoute, "the route goes nowhere"))?;
    let age = shared.freshness.age(shared.now()).map_or(-1, |a| a.0 as i64);
    shared.journal.log_routine(
        Event::RequestAdmitted,
        &[
            ("request", &id),
            ("route", &route.name),
            ("service", &service),
            ("fingerprint", &fingerprint),
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
        fingerprint,
        running,
        has_failed: Cell::new(false),
        method: head.method,
        uri: head.uri,
        head: head.headers,
        body,
        began,
        until,
        due,
        service,
    })
}

/// Holds a request for a moment where this host has just started and is about to know what it serves by.
async fn wait_for_start(traffic: &Traffic, time_left: Option<Millis>) {
    let shared = &traffic.shared;
    let since_start = shared.clock.since_start();
    let until = since_start + hold_time(since_start, time_left);
    while !shared.can_serve() && shared.clock.since_start() < until {
        tokio::time::sleep(START_LOOK).await;
    }
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
    let mut fallback: Option<Response<AnswerBody>> = None;
    loop {
        let sent = match try_once(traffic, job, &mut tries, model.as_ref()).await {
            Ok(sent) => sent,
            Err(Stop::Final(e)) => return fallback.ok_or(e),
            Err(Stop::Again) => continue,
        };
        let Sent { answered, chosen, share, began } = sent;
        let status = answered.head.status;
        if status.is_success() {
            if let Some(larger) =
                larger_model(traffic, job, &tries, model.as_ref(), &chosen, &answered).await
            {
                // The second run was taken from the budget, and its endpoint reached, before the answer
                // at hand is dropped.
                tries.is_paid = true;
                tries.note_ran(Executed::Yes);
                chosen.live.record_outcome(traffic.shared.now(), true);
                let seen = Seen::ended(AttemptOutcome::Superseded, began.elapsed());
                observe(traffic, job, &chosen, model.as_ref(), &seen);
                model = Some(larger);
                // Dropping the answer closes its connection, and the endpoint stops.
                continue;
            }
            let sent = Sent { answered, chosen, share, began };
            match pass_on(traffic, job, &mut tries, model.as_ref(), sent).await {
                Ok(resp) => return Ok(resp),
                Err(e) => {
                    tries.note_ran(Executed::Yes);
                    if !may_go_on(job, &tries) {
                        return Err(gave_up(job, &tries, e));
                    }
                    continue;
                }
            }
        }
        tries.note_ran(Executed::Yes);
        let is_failure = status.is_server_error();
        let end = if is_failure { AttemptOutcome::Failed } else { AttemptOutcome::Complete };
        let seen = Seen::ended(end, began.elapsed());
        observe(traffic, job, &chosen, model.as_ref(), &seen);
        chosen.live.record_outcome(traffic.shared.now(), !is_failure);
        let resp = whole_answer(traffic, job, answered, &chosen, model.as_ref()).await;
        drop(share);
        if !is_failure || !may_go_on(job, &tries) {
            return resp;
        }
        fallback = resp.ok().or(fallback);
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
) -> std::result::Result<Sent, Stop> {
    let chosen = match choose(traffic, job, tries, model) {
        Ok(chosen) => chosen,
        Err(e) => return Err(Stop::Final(gave_up(job, tries, e))),
    };
    if let Err(e) = check_before_send(traffic, job, tries) {
        return Err(Stop::Final(gave_up(job, tries, e)));
    }
    let mut share = WorkShare::new(&chosen, job, weight_of(traffic, job, model));
    let work = chosen.live.load(traffic.shared.now());
    let began = Instant::now();
    match send(traffic, job, tries, &chosen, model, None).await {
        Ok(answered) => {
            if job.is_engine() {
                let us = began.elapsed().as_micros() as f64;
                traffic.outlook.borrow_mut().record_response_start(&job.service, work, us);
            }
            share.answer_began();
            note_load(traffic, &chosen, &answered);
            Ok(Sent { answered, chosen, share, began })
        }
        Err(e) => {
            failed_attempt(traffic, job, &chosen, model, &e, began.elapsed());
            note_crash(traffic, job, &chosen, &e, began).await;
            tries.note_ran(e.executed);
            match may_go_on(job, tries) {
                true => Err(Stop::Again),
                false => Err(Stop::Final(gave_up(job, tries, e))),
            }
        }
    }
}

/// Tells whether another attempt may follow a failed one.
fn may_go_on(job: &Job, tries: &Tries) -> bool {
    let route = &job.admitted.route;
    let failed = FailedAttempt {
        ran: tries.ran.unwrap_or(Executed::No),
        is_repeatable: route.work.is_repeatable(),
        has_partial_response: false,
    };
    tries.sent < route.max_attempts && !job.is_over() && may_retry(failed)
}

/// Makes the final error of a request: it says whether the request may have run.
fn gave_up(job: &Job, tries: &Tries, last: Error) -> Error {
    let ran = tries.ran.unwrap_or(Executed::No);
    if job.is_over() {
        return Error::new(Code::Deadline, last.message).with_executed(ran);
    }
    match ran {
        // It is no use to come back, whatever became of it.
        _ if last.code == Code::CrashesEndpoints => last.with_executed(ran),
        Executed::No if last.retry_after_ms.is_some() => last.with_executed(Executed::No),
        Executed::No if last.code.status() == 503 => {
            last.with_executed(Executed::No).with_retry_after(RETRY_FULL_MS)
        }
        Executed::No => full(&last.message),
        _ => Error::new(Code::EndpointFailed, last.message).with_executed(ran),
    }
}

/// Passes a successful answer on, as a whole or as a stream. Whichever endpoint fails here has that
/// counted.
async fn pass_on(
    traffic: &Rc<Traffic>,
    job: &Rc<Job>,
    tries: &mut Tries,
    model: Option<&ModelId>,
    sent: Sent,
) -> Result<Response<AnswerBody>> {
    let Sent { answered, chosen, share, began } = sent;
    if job.admitted.route.work.is_stream() {
        let model = model.cloned();
        let stream = relay::Stream::new(traffic, job, model, answered, chosen, share, began);
        return stream.begin(tries).await;
    }
    let resp = match whole_answer(traffic, job, answered, &chosen, model).await {
        Ok(resp) => resp,
        Err(e) => {
            failed_attempt(traffic, job, &chosen, model, &e, began.elapsed());
            note_crash(traffic, job, &chosen, &e, began).await;
            return Err(e);
        }
    };
    chosen.live.record_outcome(traffic.shared.now(), true);
    let seen = Seen::ended(AttemptOutcome::Complete, began.elapsed());
    observe(traffic, job, &chosen, model, &seen);
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
    let shows_good_end = answered.shows_good_end();
    let Answered { head, facts, body, lease } = answered;
    let until = tokio::time::Instant::from_std(job.until);
    let late = |_| Error::new(Code::Deadline, "the answer was not whole in time");
    let collected = tokio::time::timeout_at(until, attempt::collect(body, lease));
    let (body, lease) = collected.await.map_err(late)??;
    traffic.pool.keep(chosen.id.as_str(), lease, facts.idle_time);
    if shows_good_end {
        traffic.shared.suspects.record_completion(traffic.shared.now(), job.fingerprint);
    }
    answered_line(traffic, job, chosen, model, head.status.as_u16());
    let mut resp = Response::new(AnswerBody::whole(body));
    *resp.status_mut() = head.status;
    *resp.headers_mut() = (traffic.shared.dialect.build_caller_head)(head.headers);
    Ok(resp)
}
