//! Stand-in for a model engine.
//!
//! It runs a bounded number of requests concurrently, in order of priority, and each token takes
//! longer the more requests run. It caches a bounded number of prompt blocks and records cache
//! events, some of which are lost. It reports its load with a lag, cancels and resumes attempts, and
//! accepts load and unload orders that carry a fence. The response contains the version, the last
//! message and the true quality of the response. The rating service's stand-in reads this quality,
//! so a bad version is simulated by a low quality.

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

use crate::http::{self, make_header, RunningServer};

mod cache;
mod execution;
mod options;

use execution::Execution;
pub use options::{CacheEvent, EngineCounts, EngineFaults, EngineOptions};

#[derive(Default)]
struct State {
    running: u32,
    queue: Vec<(i64, u64)>,
    last_queue_number: u64,
    outstanding_work: u64,
    cache_order: VecDeque<u64>,
    cached_blocks: HashSet<u64>,
    cache_events: VecDeque<CacheEvent>,
    last_event_number: u64,
    past_reports: VecDeque<(Instant, LoadReport)>,
    cancelled_attempts: HashSet<String>,
    stored_responses: HashMap<String, Vec<String>>,
    faults: EngineFaults,
    counts: EngineCounts,
    loaded_versions: HashSet<String>,
    highest_fence: u64,
}

/// Handle of the engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    options: Arc<EngineOptions>,
    shared: Arc<(Mutex<State>, Condvar)>,
    served_requests: Arc<AtomicU64>,
}

impl Engine {
    /// Creates an engine that has loaded the version named in its options.
    pub fn new(options: EngineOptions) -> Engine {
        let state = State { loaded_versions: [options.version.clone()].into(), ..State::default() };
        Engine {
            options: Arc::new(options),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            served_requests: Arc::default(),
        }
    }

    /// Starts serving the engine on `address`.
    pub fn serve(&self, address: &str) -> Result<RunningServer> {
        let engine = self.clone();
        http::serve(address, move |request| engine.handle(request))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no holder of the lock panics")
    }

    /// Replaces the faults that the engine injects.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.lock().faults = faults;
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> EngineCounts {
        self.lock().counts.clone()
    }

    fn handle(&self, mut request: Request) {
        let (path, query) = http::split_url(request.url());
        match path.as_str() {
            "/v1/chat/completions" => self.handle_chat(request),
            "/v1/load" => {
                let report = self.delayed_report();
                http::reply_json(request, 200, &report);
            }
            "/v1/cancel" => match http::read_json::<AttemptRequest>(&mut request) {
                Ok(attempt_request) => {
                    self.lock().cancelled_attempts.insert(attempt_request.attempt);
                    self.shared.1.notify_all();
                    http::reply_json(request, 200, &"ok");
                }
                Err(e) => http::reply_json(request, 400, &e.to_string()),
            },
            "/v1/resume" => self.handle_resume(request),
            "/v1/orders" => self.handle_order(request),
            "/v1/cache-events" => {
                let after = query.get("after").and_then(|v| v.parse().ok()).unwrap_or(0u64);
                let state = self.lock();
                let events: Vec<CacheEvent> =
                    state.cache_events.iter().filter(|e| e.number > after).cloned().collect();
                drop(state);
                http::reply_json(request, 200, &events);
            }
            "/v1/faults" => match http::read_json(&mut request) {
                Ok(faults) => {
                    self.set_faults(faults);
                    http::reply_json(request, 200, &"ok");
                }
                Err(e) => http::reply_json(request, 400, &e.to_string()),
            },
            "/v1/counts" => http::reply_json(request, 200, &self.counts()),
            _ => http::reply_json(request, 404, &"no such path"),
        }
    }

    fn handle_order(&self, mut request: Request) {
        let order: Order = match http::read_json(&mut request) {
            Ok(order) => order,
            Err(e) => return http::reply_json(request, 400, &e.to_string()),
        };
        let mut state = self.lock();
        if self.options.fenced && order.fence < state.highest_fence {
            drop(state);
            return http::reply_json(request, 409, &"a later fence was seen");
        }
        state.highest_fence = state.highest_fence.max(order.fence);
        match order.kind {
            OrderKind::Load => state.loaded_versions.insert(order.version),
            OrderKind::Unload => state.loaded_versions.remove(&order.version),
        };
        drop(state);
        http::reply_json(request, 200, &"ok");
    }

    fn report(state: &State, options: &EngineOptions) -> LoadReport {
        LoadReport {
            work: state.outstanding_work,
            running: state.running,
            waiting: state.queue.len() as u32,
            capacity_tokens: options.capacity_tokens,
            leaving: state.faults.leaving,
        }
    }

    /// Returns an earlier load report that is at least as old as the configured lag, or the oldest
    /// one if none is. Whether the engine is leaving is always current. Each call adds a report.
    fn delayed_report(&self) -> LoadReport {
        let lag = Duration::from_millis(self.options.report_lag_ms);
        let mut state = self.lock();
        let current = Self::report(&state, &self.options);
        state.past_reports.push_back((Instant::now(), current.clone()));
        while state.past_reports.len() > 1 && state.past_reports[1].0.elapsed() >= lag {
            state.past_reports.pop_front();
        }
        let report = state.past_reports.front().map(|(_, r)| r.clone()).unwrap_or(current.clone());
        LoadReport { leaving: current.leaving, ..report }
    }

    fn handle_chat(&self, mut request: Request) {
        let attempt = http::header(&request, headers::ATTEMPT).unwrap_or_default();
        let priority = http::header(&request, headers::PRIORITY).and_then(|p| p.parse().ok());
        let chat: ChatRequest = match http::read_json(&mut request) {
            Ok(chat) => chat,
            Err(e) => return http::reply_json(request, 400, &e.to_string()),
        };
        if let Some(reason) = self.refusal_reason(&chat) {
            let response = http::text_response(503, json!(reason).to_string())
                .with_header(make_header(headers::NOT_RUN, "1"))
                .with_header(make_header(headers::ATTEMPT, &attempt));
            let response = match self.lock().faults.leaving {
                true => response.with_header(make_header(headers::LEAVING, "1")),
                false => response,
            };
            return http::send_response(request, response);
        }
        let answer_tokens = chat.max_tokens.unwrap_or(self.options.answer_tokens).max(1);
        let work = request_work(Tokens(chat.prompt_tokens()), Tokens(answer_tokens));
        self.acquire_slot(priority.unwrap_or(0), work);
        let execution = Execution {
            engine: self,
            id: format!("chatcmpl-{}", self.served_requests.fetch_add(1, Ordering::Relaxed)),
            attempt,
            tokens: self.generate_tokens(&chat, answer_tokens),
            chat,
        };
        execution.execute(request);
        self.release_slot(work);
    }

    fn refusal_reason(&self, chat: &ChatRequest) -> Option<&'static str> {
        let mut state = self.lock();
        if state.faults.leaving {
            return Some("leaving");
        }
        if state.faults.refuse_next > 0 {
            state.faults.refuse_next -= 1;
            return Some("refused");
        }
        let needed_tokens =
            chat.prompt_tokens() + chat.max_tokens.unwrap_or(self.options.answer_tokens);
        (needed_tokens > self.options.capacity_tokens).then_some("too long")
    }

    /// Waits for a slot. Slots are granted by priority, highest first, then in order of arrival.
    fn acquire_slot(&self, priority: i64, work: u64) {
        let mut state = self.lock();
        state.last_queue_number += 1;
        let queue_entry = (-priority, state.last_queue_number);
        state.queue.push(queue_entry);
        state.outstanding_work += work;
        loop {
            let is_next = state.queue.iter().min() == Some(&queue_entry);
            if is_next && state.running < self.options.slots {
                state.queue.retain(|w| *w != queue_entry);
                state.running += 1;
                self.shared.1.notify_all();
                return;
            }
            state = self.shared.1.wait(state).expect("no holder of the lock panics");
        }
    }

    fn release_slot(&self, work: u64) {
        let mut state = self.lock();
        state.running -= 1;
        state.outstanding_work -= work;
        self.shared.1.notify_all();
    }

    /// Generates the tokens of the response.
    fn generate_tokens(&self, chat: &ChatRequest, tokens: u64) -> Vec<String> {
        let quality = self.lock().faults.quality.unwrap_or(self.options.quality);
        let last_message =
            chat.messages.last().and_then(|m| m.content.as_str()).unwrap_or_default();
        let excerpt: String = last_message.chars().take(80).collect();
        let first_token = format!("[{} q={quality:.3}] {excerpt}", self.options.version);
        let other_tokens = (1..tokens).map(|i| format!(" w{i}"));
        std::iter::once(first_token).chain(other_tokens).collect()
    }

    fn time_per_token(&self) -> Duration {
        let running = u64::from(self.lock().running.max(1));
        Duration::from_micros(self.options.token_us + self.options.token_us_each * (running - 1))
    }

    /// Waits until the timeout expires or the attempt is cancelled. Reports whether it was cancelled.
    fn wait_for_cancellation(&self, attempt: &str, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        loop {
            if state.cancelled_attempts.contains(attempt) {
                return true;
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let wait_result = self.shared.1.wait_timeout(state, remaining);
            state = wait_result.expect("no holder of the lock panics").0;
        }
    }

    /// Sends the tokens of an attempt's response from the requested position on.
    fn handle_resume(&self, mut request: Request) {
        let attempt_request: AttemptRequest = match http::read_json(&mut request) {
            Ok(attempt_request) => attempt_request,
            Err(e) => return http::reply_json(request, 400, &e.to_string()),
        };
        let stored_tokens = self.lock().stored_responses.get(&attempt_request.attempt).cloned();
        match stored_tokens {
            Some(tokens) => {
                let from = (attempt_request.from_token as usize).min(tokens.len());
                http::reply_json(request, 200, &tokens[from..].to_vec());
            }
            None => http::reply_json(request, 404, &"no such attempt"),
        }
    }
}
