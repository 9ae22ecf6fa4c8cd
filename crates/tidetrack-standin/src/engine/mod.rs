//! Stand-in of a model engine.
//!
//! It batches: a bounded number of requests run at a time, by priority, and each token takes longer
//! the more run. Prompt prefixes are cached in limited memory, with events that come late and with
//! gaps. It reports load with a lag, cancels, resumes, and takes fenced orders. The answer names the
//! version, the last message and its own true quality, which the stand-in of the rating service
//! reads; that is how a bad version is bad.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use anyhow::Result;
use serde_json::json;
use tiny_http::Request;

use tidetrack_core::placement::request_work;
use tidetrack_core::units::Tokens;
use tidetrack_wire::caller::ChatRequest;
use tidetrack_wire::endpoint::{AttemptRequest, LoadReport, Order, OrderKind};
use tidetrack_wire::headers;

use crate::http::{self, make_header, Running};

mod cache;
mod options;
mod run;

pub use options::{CacheEvent, EngineCounts, EngineFaults, EngineOptions};
use run::Run;

#[derive(Default)]
struct State {
    running: u32,
    waiting: Vec<(i64, u64)>,
    ticket: u64,
    work: u64,
    cache: VecDeque<u64>,
    cached: HashSet<u64>,
    events: VecDeque<CacheEvent>,
    event: u64,
    reports: VecDeque<(Instant, LoadReport)>,
    cancelled: HashSet<String>,
    kept: HashMap<String, Vec<String>>,
    faults: EngineFaults,
    counts: EngineCounts,
    loaded: HashSet<String>,
    fence: u64,
}

/// An engine, shared with whoever started it.
#[derive(Clone)]
pub struct Engine {
    options: Arc<EngineOptions>,
    shared: Arc<(Mutex<State>, Condvar)>,
    served: Arc<AtomicU64>,
}

impl Engine {
    /// Makes an engine.
    pub fn new(options: EngineOptions) -> Engine {
        let state = State { loaded: [options.version.clone()].into(), ..State::default() };
        Engine {
            options: Arc::new(options),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            served: Arc::default(),
        }
    }

    /// Serves the engine on `address`.
    pub fn serve(&self, address: &str) -> Result<Running> {
        let engine = self.clone();
        http::serve(address, move |request| engine.handle(request))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no holder of the lock panics")
    }

    /// Sets how it misbehaves.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    /// Gets what it counted.
    pub fn counts(&self) -> EngineCounts {
        self.lock().counts.clone()
    }

    fn handle(&self, mut request: Request) {
        let (path, query) = http::split_url(request.url());
        match path.as_str() {
            "/v1/chat/completions" => self.chat(request),
            "/v1/load" => {
                let report = self.lagging_report();
                http::reply(request, 200, &report);
            }
            "/v1/cancel" => match http::json::<AttemptRequest>(&mut request) {
                Ok(ask) => {
                    self.lock().cancelled.insert(ask.attempt);
                    self.shared.1.notify_all();
                    http::reply(request, 200, &"ok");
                }
                Err(e) => http::reply(request, 400, &e.to_string()),
            },
            "/v1/resume" => self.resume(request),
            "/v1/orders" => self.order(request),
            "/v1/cache-events" => {
                let after = query.get("after").and_then(|v| v.parse().ok()).unwrap_or(0u64);
                let state = self.lock();
                let events: Vec<CacheEvent> =
                    state.events.iter().filter(|e| e.number > after).cloned().collect();
                drop(state);
                http::reply(request, 200, &events);
            }
            "/v1/faults" => match http::json(&mut request) {
                Ok(faults) => {
                    self.set_faults(faults);
                    http::reply(request, 200, &"ok");
                }
                Err(e) => http::reply(request, 400, &e.to_string()),
            },
            "/v1/counts" => http::reply(request, 200, &self.counts()),
            _ => http::reply(request, 404, &"no such path"),
        }
    }

    fn order(&self, mut request: Request) {
        let order: Order = match http::json(&mut request) {
            Ok(order) => order,
            Err(e) => return http::reply(request, 400, &e.to_string()),
        };
        let mut state = self.lock();
        if self.options.fenced && order.fence < state.fence {
            drop(state);
            return http::reply(request, 409, &"a later fence was seen");
        }
        state.fence = state.fence.max(order.fence);
        match order.kind {
            OrderKind::Load => state.loaded.insert(order.version),
            OrderKind::Unload => state.loaded.remove(&order.version),
        };
        drop(state);
        http::reply(request, 200, &"ok");
    }

    fn report(state: &State, options: &EngineOptions) -> LoadReport {
        LoadReport {
            work: state.work,
            running: state.running,
            waiting: state.waiting.len() as u32,
            capacity_tokens: options.capacity_tokens,
            leaving: state.faults.leaving,
        }
    }

    /// Gets the report as it was some time ago.
    fn lagging_report(&self) -> LoadReport {
        let lag = Duration::from_millis(self.options.report_lag_ms);
        let mut state = self.lock();
        let now = Self::report(&state, &self.options);
        state.reports.push_back((Instant::now(), now.clone()));
        while state.reports.len() > 1 && state.reports[1].0.elapsed() >= lag {
            state.reports.pop_front();
        }
        let report = state.reports.front().map(|(_, r)| r.clone()).unwrap_or(now.clone());
        LoadReport { leaving: now.leaving, ..report }
    }

    fn chat(&self, mut request: Request) {
        let attempt = http::header(&request, headers::ATTEMPT).unwrap_or_default();
        let priority = http::header(&request, headers::PRIORITY).and_then(|p| p.parse().ok());
        let chat: ChatRequest = match http::json(&mut request) {
            Ok(chat) => chat,
            Err(e) => return http::reply(request, 400, &e.to_string()),
        };
        if let Some(why) = self.refuses(&chat) {
            let response = http::text_response(503, json!(why).to_string())
                .with_header(make_header(headers::NOT_RUN, "1"))
                .with_header(make_header(headers::ATTEMPT, &attempt));
            let response = match self.lock().faults.leaving {
                true => response.with_header(make_header(headers::LEAVING, "1")),
                false => response,
            };
            return http::send(request, response);
        }
        let answer_tokens = chat.max_tokens.unwrap_or(self.options.answer_tokens).max(1);
        let work = request_work(Tokens(chat.prompt_tokens()), Tokens(answer_tokens));
        self.take_slot(priority.unwrap_or(0), work);
        let run = Run {
            engine: self,
            id: format!("chatcmpl-{}", self.served.fetch_add(1, Ordering::Relaxed)),
            attempt,
            answer: self.answer(&chat, answer_tokens),
            chat,
        };
        run.run(request);
        self.give_slot(work);
    }

    fn refuses(&self, chat: &ChatRequest) -> Option<&'static str> {
        let mut state = self.lock();
        if state.faults.leaving {
            return Some("leaving");
        }
        if state.faults.refuse_next > 0 {
            state.faults.refuse_next -= 1;
            return Some("refused");
        }
        let need = chat.prompt_tokens() + chat.max_tokens.unwrap_or(self.options.answer_tokens);
        (need > self.options.capacity_tokens).then_some("too long")
    }

    /// Waits for a slot: the highest priority first, then who came first.
    fn take_slot(&self, priority: i64, work: u64) {
        let mut state = self.lock();
        state.ticket += 1;
        let me = (-priority, state.ticket);
        state.waiting.push(me);
        state.work += work;
        loop {
            let first = state.waiting.iter().min() == Some(&me);
            if first && state.running < self.options.slots {
                state.waiting.retain(|w| *w != me);
                state.running += 1;
                self.shared.1.notify_all();
                return;
            }
            state = self.shared.1.wait(state).expect("no holder of the lock panics");
        }
    }

    fn give_slot(&self, work: u64) {
        let mut state = self.lock();
        state.running -= 1;
        state.work -= work;
        self.shared.1.notify_all();
    }

    /// Makes the tokens of the answer.
    fn answer(&self, chat: &ChatRequest, tokens: u64) -> Vec<String> {
        let quality = self.lock().faults.quality.unwrap_or(self.options.quality);
        let said = chat.messages.last().and_then(|m| m.content.as_str()).unwrap_or_default();
        let head: String = said.chars().take(80).collect();
        let first = format!("[{} q={quality:.3}] {head}", self.options.version);
        let more = (1..tokens).map(|i| format!(" w{i}"));
        std::iter::once(first).chain(more).collect()
    }

    fn token_time(&self) -> Duration {
        let running = u64::from(self.lock().running.max(1));
        Duration::from_micros(self.options.token_us + self.options.token_us_each * (running - 1))
    }

    /// Waits for `time` or until the attempt is cancelled; tells whether it was.
    fn wait(&self, attempt: &str, time: Duration) -> bool {
        let until = Instant::now() + time;
        let mut state = self.lock();
        loop {
            if state.cancelled.contains(attempt) {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.expect("no holder of the lock panics").0;
        }
    }

    /// Gives the rest of an attempt's answer from a token on.
    fn resume(&self, mut request: Request) {
        let ask: AttemptRequest = match http::json(&mut request) {
            Ok(ask) => ask,
            Err(e) => return http::reply(request, 400, &e.to_string()),
        };
        let kept = self.lock().kept.get(&ask.attempt).cloned();
        match kept {
            Some(tokens) => {
                let from = (ask.from_token as usize).min(tokens.len());
                http::reply(request, 200, &tokens[from..].to_vec());
            }
            None => http::reply(request, 404, &"no such attempt"),
        }
    }
}
