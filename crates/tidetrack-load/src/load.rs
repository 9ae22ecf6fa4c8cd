//! Load made of seeded, random mixes of requests that resemble the users' workloads.

use std::collections::BTreeMap;
use std::io::Read;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_wire::headers;

use crate::caller::{send, Caller, Reply};
use crate::report::{Quantiles, Report};

/// Number of requests in one conversation.
const REQUESTS_PER_CONVERSATION: usize = 4;

/// Options of a load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses of the hosts, as `ip:port`.
    pub hosts: Vec<String>,
    /// API key of the workspace.
    pub key: String,
    /// Route of the chat requests.
    pub route: String,
    /// Service and path of calls that must not be repeated, such as `lending/checkout`. `None` makes
    /// no such calls.
    pub non_repeatable_call: Option<String>,
    /// Number of concurrent callers.
    pub callers: usize,
    /// How long requests are started.
    pub duration: Duration,
    /// Seed of the random requests.
    pub seed: u64,
}

/// Size and options of a chat request.
struct RequestShape {
    prompt_chars: usize,
    max_tokens: u64,
    is_streaming: bool,
    is_tagged: bool,
}

impl RequestShape {
    fn random(rng: &mut StdRng) -> RequestShape {
        match rng.random_range(0..10) {
            0..4 => RequestShape {
                prompt_chars: rng.random_range(20..120),
                max_tokens: 6,
                is_streaming: false,
                is_tagged: true,
            },
            4..8 => RequestShape {
                prompt_chars: rng.random_range(400..3_000),
                max_tokens: 40,
                is_streaming: true,
                is_tagged: false,
            },
            _ => RequestShape {
                prompt_chars: rng.random_range(8_000..30_000),
                max_tokens: 80,
                is_streaming: true,
                is_tagged: false,
            },
        }
    }
}

struct LoadResults {
    first_event_times: Histogram<u64>,
    completion_times: Histogram<u64>,
    report: Report,
}

fn increment(counts: &mut BTreeMap<String, u64>, name: &str) {
    *counts.entry(name.to_string()).or_default() += 1;
}

/// Runs a load and returns its report. Calls `progress` every second with the elapsed seconds and the
/// number of chat requests answered so far.
pub fn run(load: &LoadOptions, progress: &(dyn Fn(u64, u64) + Sync)) -> Report {
    let histogram =
        || Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are in order");
    let report = Report { seed: load.seed, ..Report::default() };
    let results = Mutex::new(LoadResults {
        first_event_times: histogram(),
        completion_times: histogram(),
        report,
    });
    let answered = AtomicU64::new(0);
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        for caller_index in 0..load.callers {
            let (results, answered) = (&results, &answered);
            scope.spawn(move || {
                run_caller(load, caller_index as u64, started_at, results, answered)
            });
        }
        scope.spawn(|| {
            while started_at.elapsed() < load.duration {
                std::thread::sleep(Duration::from_secs(1));
                progress(started_at.elapsed().as_secs(), answered.load(Ordering::Relaxed));
            }
        });
    });
    let seconds = started_at.elapsed().as_secs_f64();
    let LoadResults { first_event_times, completion_times, mut report } =
        results.into_inner().expect("no holder of the lock panics");
    report.per_second = report.answered as f64 / seconds;
    report.first = quantiles(&first_event_times);
    report.whole = quantiles(&completion_times);
    report
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let ms = |q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    Quantiles { p50: ms(0.5), p95: ms(0.95), p99: ms(0.99) }
}

fn run_caller(
    load: &LoadOptions,
    caller_index: u64,
    started_at: Instant,
    results: &Mutex<LoadResults>,
    answered: &AtomicU64,
) {
    let mut rng = StdRng::seed_from_u64(load.seed.wrapping_mul(1_000_003) + caller_index);
    let mut request_number = 0;
    while started_at.elapsed() < load.duration {
        request_number += 1;
        let marker = format!("caller {caller_index} asks {request_number}:");
        match (rng.random_range(0..10), &load.non_repeatable_call) {
            (0, Some(path)) => call_twice_with_ticket(load, path, &marker, &mut rng, results),
            (1..4, _) => conversation(load, &marker, &mut rng, results, answered),
            _ => {
                let shape = RequestShape::random(&mut rng);
                chat(load, &marker, &shape, None, &mut rng, results, answered);
            }
        }
    }
}

fn random_host(load: &LoadOptions, rng: &mut StdRng) -> Caller {
    let host = load.hosts[rng.random_range(0..load.hosts.len())].clone();
    Caller { host, key: load.key.clone() }
}

/// Sends a chat request and records its result. Returns the version and the session token if the
/// response is complete.
fn chat(
    load: &LoadOptions,
    marker: &str,
    shape: &RequestShape,
    session: Option<&str>,
    rng: &mut StdRng,
    results: &Mutex<LoadResults>,
    answered: &AtomicU64,
) -> Option<(String, String)> {
    let filler =
        "what became of the borrowed book and its reader ".repeat(shape.prompt_chars / 48 + 1);
    let text = format!("{marker} {filler}");
    let mut request = random_host(load, rng).chat_request(
        &load.route,
        &text,
        shape.is_streaming,
        shape.max_tokens,
    );
    if shape.is_tagged {
        request = request.with_header(headers::TAGS, "tag");
    }
    if let Some(token) = session {
        request = request.with_header(headers::SESSION, token);
    }
    let (reply, first_event_time, completion_time) = send_timed(request);
    let mut results = results.lock().expect("no holder of the lock panics");
    results.report.requests += 1;
    let is_complete = reply.status == 200 && (!shape.is_streaming || reply.is_complete_stream());
    if !is_complete {
        let code = if reply.code().is_empty() { "no answer".to_string() } else { reply.code() };
        increment(&mut results.report.codes, &code);
        return None;
    }
    if !reply.text().contains(marker) {
        increment(&mut results.report.broken, "an answer was another caller's");
    }
    answered.fetch_add(1, Ordering::Relaxed);
    results.report.answered += 1;
    results.first_event_times.saturating_record(first_event_time.as_micros() as u64);
    results.completion_times.saturating_record(completion_time.as_micros() as u64);
    increment(&mut results.report.versions, reply.version());
    Some((reply.version().to_string(), reply.header(headers::SESSION).to_string()))
}

/// Sends a request. Returns the response and the times to its first body bytes and to its end.
fn send_timed(request: minreq::Request) -> (Reply, Duration, Duration) {
    let started_at = Instant::now();
    let Ok(mut response) = request.send_lazy() else {
        return (Reply::default(), started_at.elapsed(), started_at.elapsed());
    };
    let mut body = vec![0; 4_096];
    let read = response.read(&mut body).unwrap_or(0);
    let first_event_time = started_at.elapsed();
    body.truncate(read);
    let is_body_complete = response.read_to_end(&mut body).is_ok();
    let reply = Reply {
        status: response.status_code,
        headers: response.headers.clone(),
        body: String::from_utf8_lossy(&body).to_string(),
        is_body_complete,
    };
    (reply, first_event_time, started_at.elapsed())
}

/// Sends the requests of a conversation to random hosts and checks that its version stays the same.
fn conversation(
    load: &LoadOptions,
    marker: &str,
    rng: &mut StdRng,
    results: &Mutex<LoadResults>,
    answered: &AtomicU64,
) {
    let shape =
        RequestShape { prompt_chars: 600, max_tokens: 20, is_streaming: true, is_tagged: false };
    let Some((version, token)) = chat(load, marker, &shape, None, rng, results, answered) else {
        return;
    };
    for _ in 1..REQUESTS_PER_CONVERSATION {
        let next = chat(load, marker, &shape, Some(&token), rng, results, answered);
        if next.is_some_and(|(v, _)| v != version) {
            let mut results = results.lock().expect("no holder of the lock panics");
            increment(&mut results.report.broken, "a session moved to another version");
        }
    }
}

/// Sends a call that must not be repeated twice with the same ticket, each time to a random host, and
/// checks that it ran only once.
fn call_twice_with_ticket(
    load: &LoadOptions,
    path: &str,
    marker: &str,
    rng: &mut StdRng,
    results: &Mutex<LoadResults>,
) {
    let Some(ticket) = random_host(load, rng).request_ticket() else { return };
    let mut replies = Vec::new();
    for _ in 0..2 {
        let request = random_host(load, rng).post(&format!("/v1/services/{path}"), marker);
        replies.push(send(request.with_header(headers::TICKET, &ticket)));
    }
    let mut results = results.lock().expect("no holder of the lock panics");
    results.report.requests += replies.len() as u64;
    for reply in &replies {
        match reply.status {
            200 => results.report.answered += 1,
            _ => increment(&mut results.report.codes, &reply.code()),
        }
        // The service's stand-in reports how often it ran a request with this body.
        let has_run_again = reply.status == 200 && !reply.body.contains("\"times\":1");
        if has_run_again {
            increment(&mut results.report.broken, "a call with a ticket ran again");
        }
    }
}
