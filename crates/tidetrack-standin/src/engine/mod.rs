//! Stand-in of a model engine.
//!
//! It batches: a bounded number of requests run at a time, by priority, and each token takes longer
//! the more run. Prompt prefixes are cached in limited memory, with events that come late and with
//! gaps. It reports load with a lag, cancels, resumes, and takes fenced orders. The answer names the
//! version, the last message and its own true quality, which the stand-in of the rating service
//! reads; that is how a bad version is bad.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use anyhow::Result;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::{Request, Response};

use tidetrack_core::placement::{draw, place_of, work_of};
use tidetrack_core::units::Tokens;
use tidetrack_wire::caller::{ChatRequest, DONE};
use tidetrack_wire::endpoint::{AttemptAsk, LoadReport, Order, OrderKind};
use tidetrack_wire::headers;
use tidetrack_wire::stream;

use crate::http::{self, make_header, Running};

/// Characters of a prompt that make one cached block.
const BLOCK_CHARS: usize = 256;

/// How an engine behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// The version that it serves, `model@version`.
    pub version: String,
    /// Requests that run at a time.
    pub slots: u32,
    /// Microseconds for one token when one request runs.
    pub token_us: u64,
    /// Microseconds more for each further request running.
    pub token_us_each: u64,
    /// Microseconds for one prompt token that is not cached.
    pub prefill_us: u64,
    /// Tokens that one request may hold.
    pub capacity_tokens: u64,
    /// Blocks of prompts that the cache holds.
    pub cache_blocks: usize,
    /// Tokens of an answer when the request does not say.
    pub answer_tokens: u64,
    /// True quality of the answers, from 0 to 1.
    pub quality: f64,
    /// The load report is so old.
    pub report_lag_ms: u64,
    /// One cache event in so many is lost; 0 loses none.
    pub event_gap: u64,
    /// Whether orders below the highest fence seen are refused.
    pub fenced: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            version: "model@1".into(),
            slots: 16,
            token_us: 2_000,
            token_us_each: 50,
            prefill_us: 20,
            capacity_tokens: 32_768,
            cache_blocks: 2_000,
            answer_tokens: 16,
            quality: 0.85,
            report_lag_ms: 200,
            event_gap: 10,
            fenced: true,
        }
    }
}

/// How an engine misbehaves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// So many of the next requests fail after they ran.
    pub fail_next: u32,
    /// Of every hundred requests, so many fail.
    pub fail_percent: u32,
    /// Every stream is cut after so many tokens.
    pub cut_after: Option<u64>,
    /// So many of the next answers carry another attempt's id.
    pub swap_next: u32,
    /// So many of the next requests run and lose their answer.
    pub lose_next: u32,
    /// So many of the next requests are refused before they run.
    pub refuse_next: u32,
    /// The engine says that it is leaving and refuses new work.
    pub leaving: bool,
    /// Another quality of the answers.
    pub quality: Option<f64>,
    /// Milliseconds more before the first token.
    pub delay_ms: u64,
}

/// What an engine counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests that began to run.
    pub started: u64,
    /// Requests that ran to their end.
    pub finished: u64,
    /// Requests cancelled or left by the router.
    pub cancelled: u64,
    /// Prompt tokens met in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// How often each attempt began to run.
    pub attempts: BTreeMap<String, u64>,
    /// How often a request with each last message began to run.
    pub prompts: BTreeMap<String, u64>,
}

/// A cache event: blocks that came in or went out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The event's number; a gap shows a lost one.
    pub number: u64,
    /// The block.
    pub block: u64,
    /// Whether it came in.
    pub stored: bool,
}

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
            "/v1/cancel" => match http::json::<AttemptAsk>(&mut request) {
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
        let work = work_of(Tokens(chat.prompt_tokens()), Tokens(answer_tokens));
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

    /// Looks the prompt up in the cache block by block; gets the tokens to compute.
    fn prefill(&self, chat: &ChatRequest) -> u64 {
        let mut text = String::new();
        chat.messages.iter().for_each(|m| text.push_str(&m.content.to_string()));
        let chars: Vec<char> = text.chars().collect();
        let mut state = self.lock();
        let mut hash = 0u64;
        let mut computed = 0;
        for block in chars.chunks(BLOCK_CHARS) {
            let text: String = block.iter().collect();
            hash = place_of(format!("{hash}{text}").as_bytes());
            let tokens = (block.len() as u64).div_ceil(4);
            if state.cached.contains(&hash) {
                state.counts.cached_tokens += tokens;
            } else {
                computed += tokens;
                self.store_block(&mut state, hash);
            }
        }
        state.counts.computed_tokens += computed;
        computed
    }

    fn store_block(&self, state: &mut State, block: u64) {
        state.cache.push_back(block);
        state.cached.insert(block);
        self.tell(state, block, true);
        while state.cache.len() > self.options.cache_blocks {
            if let Some(old) = state.cache.pop_front() {
                state.cached.remove(&old);
                self.tell(state, old, false);
            }
        }
    }

    fn tell(&self, state: &mut State, block: u64, stored: bool) {
        state.event += 1;
        let number = state.event;
        let lost = self.options.event_gap > 0 && number.is_multiple_of(self.options.event_gap);
        if !lost {
            state.events.push_back(CacheEvent { number, block, stored });
        }
        while state.events.len() > self.options.cache_blocks {
            state.events.pop_front();
        }
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
        let ask: AttemptAsk = match http::json(&mut request) {
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

/// One request as it runs.
struct Run<'a> {
    engine: &'a Engine,
    id: String,
    attempt: String,
    chat: ChatRequest,
    answer: Vec<String>,
}

impl Run<'_> {
    fn run(self, request: Request) {
        let said = self.chat.messages.last().map(|m| m.content.to_string()).unwrap_or_default();
        let (fail, lose) = {
            let mut state = self.engine.lock();
            state.counts.started += 1;
            *state.counts.attempts.entry(self.attempt.clone()).or_default() += 1;
            *state.counts.prompts.entry(said).or_default() += 1;
            let percent = f64::from(state.faults.fail_percent);
            let by_share = draw("fail", &self.attempt) * 100.0 < percent;
            let fail = state.faults.fail_next > 0 || by_share;
            state.faults.fail_next = state.faults.fail_next.saturating_sub(1);
            let lose = state.faults.lose_next > 0;
            state.faults.lose_next = state.faults.lose_next.saturating_sub(1);
            state.kept.insert(self.attempt.clone(), self.answer.clone());
            (fail, lose)
        };
        let computed = self.engine.prefill(&self.chat);
        let delay = self.engine.lock().faults.delay_ms;
        let prefill = Duration::from_micros(computed * self.engine.options.prefill_us)
            + Duration::from_millis(delay);
        if self.engine.wait(&self.attempt, prefill) {
            self.count_cancelled();
            return http::hang_up(request);
        }
        match () {
            () if fail => http::reply(request, 500, &"the engine failed"),
            () if lose => {
                self.count_finished();
                http::hang_up(request);
            }
            () if self.chat.stream => self.stream(request),
            () => self.whole(request),
        }
    }

    fn count_cancelled(&self) {
        self.engine.lock().counts.cancelled += 1;
    }

    fn count_finished(&self) {
        self.engine.lock().counts.finished += 1;
    }

    fn echoed(&self) -> String {
        let mut state = self.engine.lock();
        let swap = state.faults.swap_next > 0;
        state.faults.swap_next = state.faults.swap_next.saturating_sub(1);
        if swap {
            format!("{}-other", self.attempt)
        } else {
            self.attempt.clone()
        }
    }

    fn load_header(&self) -> String {
        Engine::report(&self.engine.lock(), &self.engine.options).to_header()
    }

    fn usage(&self, answered: usize) -> serde_json::Value {
        let prompt = self.chat.prompt_tokens();
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": answered,
            "total_tokens": prompt + answered as u64,
        })
    }

    fn whole(&self, request: Request) {
        for _ in &self.answer {
            if self.engine.wait(&self.attempt, self.engine.token_time()) {
                self.count_cancelled();
                return http::hang_up(request);
            }
        }
        self.count_finished();
        let body = json!({
            "id": self.id, "object": "chat.completion", "model": self.chat.model,
            "choices": [{
                "index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": self.answer.concat()},
            }],
            "usage": self.usage(self.answer.len()),
        });
        let response = http::text_response(200, body.to_string())
            .with_header(make_header(headers::ATTEMPT, &self.echoed()))
            .with_header(make_header(headers::LOAD, &self.load_header()));
        http::send(request, response);
    }

    fn stream(&self, request: Request) {
        let head = Response::empty(200)
            .with_header(make_header("Content-Type", "text/event-stream"))
            .with_header(make_header(headers::ATTEMPT, &self.echoed()))
            .with_header(make_header(headers::LOAD, &self.load_header()));
        let Ok(mut body) = stream::begin(request, head) else { return self.count_cancelled() };
        let cut = self.engine.lock().faults.cut_after;
        for (i, token) in self.answer.iter().enumerate() {
            if cut == Some(i as u64) {
                return body.get_mut().break_off();
            }
            let last = i + 1 == self.answer.len();
            let stopped = self.engine.wait(&self.attempt, self.engine.token_time());
            if stopped || self.send_chunk(&mut body, token, last).is_err() {
                return self.count_cancelled();
            }
        }
        let usage = json!({
            "id": self.id, "object": "chat.completion.chunk", "model": self.chat.model,
            "choices": [], "usage": self.usage(self.answer.len()),
        });
        self.count_finished();
        // The router that has left by now has had its whole answer.
        let _ = body.write_all(format!("data: {usage}\n\ndata: {DONE}\n\n").as_bytes());
    }

    fn send_chunk(&self, out: &mut impl Write, token: &str, last: bool) -> std::io::Result<()> {
        let finish = if last { json!("stop") } else { json!(null) };
        let chunk = json!({
            "id": self.id, "object": "chat.completion.chunk", "model": self.chat.model,
            "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": finish}],
        });
        out.write_all(format!("data: {chunk}\n\n").as_bytes())
    }
}
