//! Many requesters come at once with bodies within the manifest's limit. Usage: `scene HOST_BINARY`.
//! The platform's stand-in ends a host process that goes over `limits.memory-mb`, as the platform does. Exits with 1
//! if more than three requests from kept channels that a host had passed on to a sound replica ended without an
//! answer, 0 if not, 2 if the case could not run. `TROUBLE=0` leaves the burst out.

#[path = "standins.rs"]
mod standins;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::exit;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use standins::*;

/// Requesters of the machine in usual times.
const USUAL: usize = 14;
/// `x` of a `burst`: as many requesters come within it.
const BURST: f64 = 1.7;
/// How long a burst lasts.
const BURST_TIME: Duration = Duration::from_secs(3);
/// Time after the last request is sent in which answers still come.
const LAST_ANSWERS: Duration = Duration::from_secs(6);
/// Bytes of a request body; `max-body-bytes` is 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// How long a requester waits after a request that failed.
const AFTER_FAILURE: Duration = Duration::from_secs(1);
/// `limits.memory-mb` of the settings.
const MEMORY_KB: u64 = 110 * 1_000;

const MANIFEST: &str = r#"{"version":7,"routes":[{"name":"r-sum","hostname":"shop.example","path-prefix":"/summary/","route-kind":"streaming","timeout-ms":25000,"objective-ms":3000,"priority":0,"service":"llm","max-attempts":3,"public":false,"sticky":true,"resumable":true,"gap-target-ms":1200}],"services":[{"name":"llm","health-path":"/healthz","max-conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":431395,"models":[{"name":"m0","cost":0.3}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"hule930","api-keys":["k1"],"priority":1}]}"#;

/// Resident memory of a process in kB; 0 if it has ended.
fn resident_kb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS"));
    line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// An engine: it reads a long prompt for two seconds and then sends events for another two.
fn engine(record: &Arc<Record>, id: &str) -> Arc<Replica> {
    Replica::start(record, id, "llm", |_, req, w, _| {
        std::thread::sleep(Duration::from_secs(2));
        stream_head(w, req)?;
        for n in 1..=20 {
            chunk(w, &format!("id: {n}\ndata: piece {n}\n\n"))?;
            std::thread::sleep(Duration::from_millis(100));
        }
        w.write_all(b"0\r\n\r\n")?;
        Ok(true)
    })
}

#[derive(Default)]
struct Outcomes {
    served: AtomicU64,
    /// Requests that were written whole on a kept channel, which ended before the first byte of an answer.
    unanswered: Mutex<Vec<(String, u64)>>,
    other: AtomicU64,
}

/// Sends one request after another on a kept channel until `end`.
fn requester(to: SocketAddr, name: usize, end: Instant, record: Arc<Record>, outcomes: Arc<Outcomes>) {
    let body = "b".repeat(BODY_BYTES);
    let mut channel: Option<Reader> = None;
    let mut count = 0;
    let mut is_kept;
    while Instant::now() < end {
        is_kept = channel.is_some();
        let Some(mut reader) = channel.take().or_else(|| {
            let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(25))).ok()?;
            Some(Reader::new(stream))
        }) else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        count += 1;
        let id = format!("q{name:02}-{count}");
        let extra = "Tidetrack-Model: m0\r\nTidetrack-Token-Usage: 1460,80\r\nTidetrack-Prompt-Prefix: 5c1e07a2:800,e4402b7d:250\r\n";
        let req = request("POST", "/summary/1", &id, Some("k1"), 25_000, extra, &body);
        if reader.stream.write_all(&req).is_err() {
            record.add(format!("requester: {id} could not be sent whole"));
            outcomes.other.fetch_add(1, Ordering::Relaxed);
            std::thread::sleep(AFTER_FAILURE);
            continue;
        }
        let kind = if is_kept { "a kept" } else { "a new" };
        record.add(format!("requester: {id} sent whole on {kind} channel"));
        match reader.head() {
            Ok(Some(head)) => match reader.body(&head, true) {
                Ok(_) if head.status() == 200 => {
                    record.add(format!("requester: {id} answered 200, whole"));
                    outcomes.served.fetch_add(1, Ordering::Relaxed);
                    channel = Some(reader);
                }
                result => {
                    record.add(format!("requester: {id} answered {}, whole: {}", head.status(), result.is_ok()));
                    outcomes.other.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(AFTER_FAILURE);
                }
            },
            _ => {
                record.add(format!("requester: {id} got no answer, its channel ended"));
                if is_kept {
                    outcomes.unanswered.lock().unwrap().push((id, record.ms()));
                }
                std::thread::sleep(AFTER_FAILURE);
            }
        }
    }
}

fn main() {
    let binary = std::env::args().nth(1).unwrap_or_else(|| exit(2));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::new();
    let store = Store::start(&record);
    let dir = temp_dir("memory");
    let engines: Vec<Arc<Replica>> = (0..3).map(|i| engine(&record, &format!("i-{i}"))).collect();
    for e in &engines {
        store.put("servers", &e.id, &e.spec("hall", "v1", "ready"));
    }
    store.put("config", "main", MANIFEST);
    let plan = HostPlan::new("edge-hall-1", "hall");
    let seeds = [plan.addresses[2]];
    let mut host = plan.start(&dir, &binary, store.address, &seeds, CONTRACTS);
    if !host.wait_ready(Duration::from_secs(15)) {
        exit(2);
    }
    record.add(format!("host ready, {} kB resident", resident_kb(host.child.id())));
    let (outcomes, caller) = (Arc::new(Outcomes::default()), host.caller);
    let end = Instant::now() + Duration::from_secs(24);
    let mut requesters = Vec::new();
    let mut start = |name: usize, end: Instant| {
        let (record, outcomes) = (record.clone(), outcomes.clone());
        requesters.push(std::thread::spawn(move || requester(caller, name, end, record, outcomes)));
    };
    // The platform watches the memory of the process and starts it again a moment after it has ended.
    let mut peak_kb = 0;
    let mut ends_ms: Vec<u64> = Vec::new();
    let mut started = 0;
    let begin = Instant::now();
    let extra = (USUAL as f64 * BURST).round() as usize - USUAL;
    let mut bursts = if has_trouble { vec![12_000u64] } else { Vec::new() };
    while Instant::now() < end + LAST_ANSWERS {
        let elapsed = begin.elapsed();
        // The usual requesters come one after the other.
        while started < USUAL && elapsed >= Duration::from_millis(300 * started as u64) {
            start(started, end);
            started += 1;
        }
        if bursts.first().is_some_and(|at| elapsed >= Duration::from_millis(*at)) {
            let at = bursts.remove(0);
            record.add(format!("burst: {extra} more requesters come at once, for 3 s"));
            for n in 0..extra {
                start(USUAL + (at / 1_000) as usize * 10 + n, Instant::now() + BURST_TIME);
            }
        }
        let kb = resident_kb(host.child.id());
        peak_kb = peak_kb.max(kb);
        if kb > MEMORY_KB {
            record.add(format!("platform: the host has {kb} kB, over limits.memory-mb=110; it is killed"));
            ends_ms.push(record.ms());
            host.signal("KILL");
            let _ = host.child.wait();
            std::thread::sleep(Duration::from_millis(300));
            host = plan.start(&dir, &binary, store.address, &seeds, CONTRACTS);
            record.add("platform: the host is started again");
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    for r in requesters {
        let _ = r.join();
    }
    // A request counts if a replica, which is sound throughout, had begun to run it.
    let has_run = |id: &str| engines.iter().any(|e| e.runs.lock().unwrap().iter().any(|run| run.id == id));
    let unanswered = outcomes.unanswered.lock().unwrap().clone();
    let lost: Vec<&(String, u64)> = unanswered.iter().filter(|(id, _)| has_run(id)).collect();
    let served = outcomes.served.load(Ordering::Relaxed);
    record.add(format!(
        "check: peak {peak_kb} kB, the host went over its memory {} times; {served} served; {} requests that a \
         replica had begun to run from kept channels ended without an answer (at most three may)",
        ends_ms.len(),
        lost.len()
    ));
    record.write("record.txt");
    drop(host);
    let _ = std::fs::remove_dir_all(&dir);
    println!("trouble={has_trouble} peak_kb={peak_kb} ends={} served={served} lost={}", ends_ms.len(), lost.len());
    exit(match (served >= 20, lost.len() > 3) {
        (_, true) => 1,
        (true, false) => 0,
        (false, false) => 2,
    });
}
