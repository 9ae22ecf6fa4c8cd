//! What the router adds to a request, against going straight to the engine in the same run.

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
use crate::record::{Gather, Record};

const COMMAND: &str = "tidetrack-bench path";

/// Streams at a time.
const STREAMS: usize = 50;

/// Requests of each stream's thread.
const REQUESTS: usize = 40;

/// Tokens of an answer.
const TOKENS: u64 = 20;

/// Time of one token, in microseconds.
const TOKEN_US: u64 = 5_000;

/// Longest pause between two requests of a stream's thread, in milliseconds.
const MOST_PAUSE_MS: u64 = 100;

/// Bound on the added 99th percentile, in milliseconds.
pub const BOUND_ADDED_P99_MS: f64 = 5.0;

/// Bound on the resident memory, in MiB.
pub const BOUND_RESIDENT_MIB: f64 = 32.0;

struct Timed {
    first_us: Histogram<u64>,
    whole_us: Histogram<u64>,
    failed: usize,
    seconds: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are in order")
}

/// Runs streams at a time against a host.
fn load(caller: &Caller) -> Timed {
    let barrier = Arc::new(Barrier::new(STREAMS));
    let from = Instant::now();
    let threads: Vec<_> = (0..STREAMS)
        .map(|i| {
            let (caller, barrier) = (caller.clone(), barrier.clone());
            std::thread::spawn(move || {
                barrier.wait();
                let mut rng = StdRng::seed_from_u64(i as u64);
                let mut request = |n| {
                    // Without a pause of random length all streams would begin at one instant.
                    std::thread::sleep(Duration::from_millis(rng.random_range(0..MOST_PAUSE_MS)));
                    one(&caller, i * REQUESTS + n)
                };
                (0..REQUESTS).map(&mut request).collect::<Vec<_>>()
            })
        })
        .collect();
    let mut timed = Timed { first_us: histogram(), whole_us: histogram(), failed: 0, seconds: 0.0 };
    for thread in threads {
        for result in thread.join().expect("a caller") {
            match result {
                Some((first, whole)) => {
                    timed.first_us.saturating_record(first.as_micros() as u64);
                    timed.whole_us.saturating_record(whole.as_micros() as u64);
                }
                None => timed.failed += 1,
            }
        }
    }
    timed.seconds = from.elapsed().as_secs_f64();
    timed
}

/// Makes one request; gets the times to its first event and its end.
fn one(caller: &Caller, n: usize) -> Option<(Duration, Duration)> {
    let from = Instant::now();
    let mut response =
        caller.chat_request("chat", &format!("n{n}"), true, TOKENS).send_lazy().ok()?;
    let mut buf = [0; 4096];
    let read = response.read(&mut buf).ok()?;
    let first = from.elapsed();
    let mut rest = Vec::new();
    response.read_to_end(&mut rest).ok()?;
    let whole = from.elapsed();
    let ended = String::from_utf8_lossy(&rest).contains("[DONE]");
    (response.status_code == 200 && read > 0 && ended).then_some((first, whole))
}

fn ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// Measures the path and prints figure, bound and baseline.
pub fn run() -> Result<Record> {
    let engine = EngineOptions {
        slots: 256,
        token_us: TOKEN_US,
        token_us_each: 0,
        answer_tokens: TOKENS,
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
    let direct = Caller { host: fleet.stable_address.clone(), key: KEY.into() };
    load(&host.caller());
    let ticks = host.process().cpu_ticks()?;
    let routed = load(&host.caller());
    let ticks = host.process().cpu_ticks()? - ticks;
    let straight = load(&direct);
    let requests = (STREAMS * REQUESTS) as f64;
    let resident = host.process().resident_kib()? as f64 / 1024.0;
    println!("{STREAMS} streams at a time, {TOKENS} tokens of {TOKEN_US} us, {requests} requests");
    println!("             first p50  p99   whole p50  p99   requests/s  failed");
    for (name, t) in [("straight", &straight), ("routed", &routed)] {
        println!(
            "{name:<12} {:>8.2} {:>6.2} {:>9.2} {:>6.2} {:>9.1} {:>7}",
            ms(&t.first_us, 0.5),
            ms(&t.first_us, 0.99),
            ms(&t.whole_us, 0.5),
            ms(&t.whole_us, 0.99),
            requests / t.seconds,
            t.failed
        );
    }
    let added = |q| ms(&routed.first_us, q) - ms(&straight.first_us, q);
    let cpu = ticks as f64 * 10.0 / requests;
    println!(
        "added to the first event: p50 {:.2} ms, p99 {:.2} ms (bound {BOUND_ADDED_P99_MS})",
        added(0.5),
        added(0.99)
    );
    println!("processor time: {cpu:.2} ms a request; resident {resident:.1} MiB (bound {BOUND_RESIDENT_MIB})");
    let mut gather = Gather::default();
    let mut point = |name: &str, unit: &str, figure: f64| {
        gather.point(name, (unit, "streams", COMMAND), STREAMS as f64, figure);
    };
    point("path-added-p50", "ms", added(0.5));
    point("path-added-p99", "ms", added(0.99));
    point("path-core", "core ms a request", cpu);
    point("path-resident", "MiB", resident);
    Ok(gather.into_record())
}
