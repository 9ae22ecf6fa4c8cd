//! Measures the latency and CPU time that the router adds to a request, compared with requests sent
//! directly to the engine in the same run.

use std::io::Read;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use anyhow::Result;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use tidetrack_standin::engine::EngineOptions;
use tidetrack_testkit::caller::Caller;
use tidetrack_testkit::fleet::{Fleet, FleetOptions, KEY};

use crate::control::router_binary;
use crate::record::{SeriesByName, SeriesCollector};

const COMMAND: &str = "tidetrack-bench path";

/// Number of concurrent streams.
const STREAMS: usize = 50;

/// Number of requests that each stream thread sends.
const REQUESTS_PER_STREAM: usize = 40;

/// Number of tokens in each response.
const TOKENS_PER_RESPONSE: u64 = 20;

/// Time the engine takes to generate one token, in microseconds.
const TOKEN_TIME_US: u64 = 5_000;

/// Upper limit of the random pause before each request of a stream thread, in milliseconds.
const MAX_PAUSE_MS: u64 = 100;

/// Upper bound on the increase of the 99th percentile of the time to the first event, in milliseconds.
pub const MAX_ADDED_P99_MS: f64 = 5.0;

/// Upper bound on the router's resident memory, in MiB.
pub const MAX_RESIDENT_MIB: f64 = 32.0;

struct LoadResult {
    first_event_us: Histogram<u64>,
    total_us: Histogram<u64>,
    failed: usize,
    seconds: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the histogram bounds are valid")
}

/// Sends `STREAMS` concurrent streams to a host and collects their latencies.
fn run_load(caller: &Caller) -> LoadResult {
    let barrier = Arc::new(Barrier::new(STREAMS));
    let started_at = Instant::now();
    let threads: Vec<_> = (0..STREAMS)
        .map(|i| {
            let (caller, barrier) = (caller.clone(), barrier.clone());
            std::thread::spawn(move || {
                barrier.wait();
                let mut rng = StdRng::seed_from_u64(i as u64);
                let mut request = |n| {
                    // The random pause keeps the streams from all starting at the same instant.
                    std::thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
                    send_request(&caller, i * REQUESTS_PER_STREAM + n)
                };
                (0..REQUESTS_PER_STREAM).map(&mut request).collect::<Vec<_>>()
            })
        })
        .collect();
    let mut load_result =
        LoadResult { first_event_us: histogram(), total_us: histogram(), failed: 0, seconds: 0.0 };
    for thread in threads {
        for result in thread.join().expect("the stream thread does not panic") {
            match result {
                Some((first_event, total)) => {
                    load_result.first_event_us.saturating_record(first_event.as_micros() as u64);
                    load_result.total_us.saturating_record(total.as_micros() as u64);
                }
                None => load_result.failed += 1,
            }
        }
    }
    load_result.seconds = started_at.elapsed().as_secs_f64();
    load_result
}

/// Sends one streaming request and returns the times to its first bytes and to its end.
///
/// Returns `None` if the request fails or its stream ends without the `[DONE]` marker.
fn send_request(caller: &Caller, n: usize) -> Option<(Duration, Duration)> {
    let started_at = Instant::now();
    let mut response = caller
        .chat_request("chat", &format!("n{n}"), true, TOKENS_PER_RESPONSE)
        .send_lazy()
        .ok()?;
    let mut buf = [0; 4096];
    let read_bytes = response.read(&mut buf).ok()?;
    let first_event = started_at.elapsed();
    let mut rest = Vec::new();
    response.read_to_end(&mut rest).ok()?;
    let total = started_at.elapsed();
    let is_complete = String::from_utf8_lossy(&rest).contains("[DONE]");
    (response.status_code == 200 && read_bytes > 0 && is_complete).then_some((first_event, total))
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Runs the benchmark and prints the results next to their bounds and the direct baseline.
pub fn run() -> Result<SeriesByName> {
    let engine = EngineOptions {
        slots: 256,
        token_us: TOKEN_TIME_US,
        token_us_each: 0,
        answer_tokens: TOKENS_PER_RESPONSE,
        ..EngineOptions::default()
    };
    let options = FleetOptions {
        hosts: 2,
        engine,
        bypasses_proxies: true,
        threads: 64,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(&router_binary()?, options)?;
    let host = &fleet.hosts[0];
    let direct_caller = Caller { host: fleet.stable_address.clone(), key: KEY.into() };
    run_load(&host.caller());
    let cpu_ticks = host.process().cpu_ticks()?;
    let routed_result = run_load(&host.caller());
    let cpu_ticks = host.process().cpu_ticks()? - cpu_ticks;
    let direct_result = run_load(&direct_caller);
    let request_count = (STREAMS * REQUESTS_PER_STREAM) as f64;
    let resident_mib = host.process().resident_kib()? as f64 / 1024.0;
    println!("{STREAMS} concurrent streams, {TOKENS_PER_RESPONSE} tokens of {TOKEN_TIME_US} us, {request_count} requests");
    println!("             first p50  p99   total p50  p99   requests/s  failed");
    for (name, result) in [("straight", &direct_result), ("routed", &routed_result)] {
        println!(
            "{name:<12} {:>8.2} {:>6.2} {:>9.2} {:>6.2} {:>9.1} {:>7}",
            quantile_ms(&result.first_event_us, 0.5),
            quantile_ms(&result.first_event_us, 0.99),
            quantile_ms(&result.total_us, 0.5),
            quantile_ms(&result.total_us, 0.99),
            request_count / result.seconds,
            result.failed
        );
    }
    let added_ms = |q| {
        quantile_ms(&routed_result.first_event_us, q)
            - quantile_ms(&direct_result.first_event_us, q)
    };
    let cpu_ms = cpu_ticks as f64 * 10.0 / request_count;
    println!(
        "added time to the first event: p50 {:.2} ms, p99 {:.2} ms (bound {MAX_ADDED_P99_MS})",
        added_ms(0.5),
        added_ms(0.99)
    );
    println!("CPU time: {cpu_ms:.2} ms per request; resident {resident_mib:.1} MiB (bound {MAX_RESIDENT_MIB})");
    let mut collector = SeriesCollector::default();
    let mut add_point = |name: &str, unit: &str, value: f64| {
        collector.add_point(name, (unit, "streams", COMMAND), STREAMS as f64, value);
    };
    add_point("path-added-p50", "ms", added_ms(0.5));
    add_point("path-added-p99", "ms", added_ms(0.99));
    add_point("path-core", "core ms a request", cpu_ms);
    add_point("path-resident", "MiB", resident_mib);
    Ok(collector.into_series())
}
