//! Requesters leave just after the model replica that served their streams has crashed.
//!
//! 36 streams run at six model replicas. One replica is killed; the hosts ask others to continue its streams, which
//! read the prompts again. 100 ms later the requesters of these streams leave. Checked: at how many of these requests
//! replicas are still at work half a second after that.

use std::collections::BTreeMap;
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{Deployment, LLM};
use crate::record::{now_ms, Record};
use crate::requester::{Channel, Request, KEY};

/// Fields of the route, as in the sheet's `chapter-summary`.
const ROUTE: &str = r#""path-prefix":"/lohu930/","route-kind":"streaming","timeout-ms":25000,"objective-ms":3000,"priority":1,"service":"anbabi-llm","max-attempts":3,"sticky":true,"resumable":true,"gap-target-ms":1200"#;

const HOSTS: usize = 3;
const REPLICAS: usize = 6;
const STREAMS: usize = 36;
/// Prompt tokens: the sheet's largest prompts have 70,000.
const SHARED_TOKENS: u64 = 14_000;
const OWN_TOKENS: u64 = 34_000;
const DEADLINE: Duration = Duration::from_millis(25_000);
/// At most a fifth of the requesters leave.
const MAX_LEAVING: usize = STREAMS / 5;
const BETWEEN_STREAMS: Duration = Duration::from_millis(180);
const LEAVE_AFTER: Duration = Duration::from_millis(100);
const GRACE_MS: u64 = 500;

#[derive(Default)]
struct Stream {
    /// Replica that sent the latest event, from the event itself.
    replica: Option<String>,
    events: u64,
    channel: Option<std::net::TcpStream>,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Option<String>> {
    let options = vec![vec!["engine=1".to_string(), "gap_ms=100".into(), "events=180".into()]; REPLICAS];
    let mut deployment = Deployment::start(ROUTE, LLM, HOSTS, options)?;
    record.line("all hosts are ready; streams begin");
    let streams: Arc<Vec<Mutex<Stream>>> = Arc::new((0..STREAMS).map(|_| Mutex::default()).collect());
    for n in 0..STREAMS {
        let address = deployment.hosts[n % HOSTS].frontend.clone();
        let (streams, record) = (streams.clone(), record.clone());
        std::thread::spawn(move || read_stream(n, &address, &streams[n], &record));
        std::thread::sleep(BETWEEN_STREAMS);
    }
    wait_for_events(&streams, 5)?;
    let by_replica = streams_by_replica(&streams);
    record.line(&format!("all streams run: {by_replica:?}"));
    let usable = by_replica.iter().filter(|(_, all)| all.len() <= MAX_LEAVING);
    let (victim, leaving) = usable
        .max_by_key(|(_, all)| all.len())
        .map(|(id, all)| (id.clone(), all.clone()))
        .ok_or_else(|| std::io::Error::other("no replica has few enough streams"))?;
    if has_trouble {
        let crashed = deployment.replicas.iter_mut().find(|r| r.id == victim);
        crashed.ok_or_else(|| std::io::Error::other("unknown replica"))?.kill();
        record.line(&format!("replica {victim} has crashed (SIGKILL)"));
    }
    std::thread::sleep(LEAVE_AFTER);
    let left_ms = now_ms();
    for n in &leaving {
        if let Some(channel) = &streams[*n].lock().expect("no holder of the lock panics").channel {
            let _ = channel.shutdown(Shutdown::Both);
        }
        record.line(&format!("requester {n}: leaves, and closes its channel"));
    }
    // The store drops the entry of a crashed replica after three pings of silence.
    std::thread::sleep(Duration::from_millis(3_600));
    if has_trouble {
        deployment.store.remove("servers", &victim);
    }
    std::thread::sleep(Duration::from_millis(400));
    deployment.record_reports(record, &["resumed", "caller left", "endpoint crashed"]);
    Ok(judge(&deployment, &leaving, left_ms, record))
}

/// Sends a request and counts its events, until the stream ends or the requester has left.
fn read_stream(n: usize, address: &str, stream: &Mutex<Stream>, record: &Record) {
    let Ok(mut channel) = Channel::connect(address) else { return };
    let req = Request {
        line: "POST /lohu930/2f".into(),
        id: request_id(n),
        key: KEY,
        deadline: DEADLINE,
        headers: format!(
            "Tidetrack-Model: daka510000\r\nTidetrack-Token-Usage: {},384\r\n\
             Tidetrack-Prompt-Prefix: {n:08x}:{SHARED_TOKENS},{:08x}:{OWN_TOKENS}\r\n",
            SHARED_TOKENS + OWN_TOKENS,
            n + 4_096
        ),
        body: format!("{n}").repeat(500).into_bytes(),
    };
    record.line(&format!("requester {n}: sends {}", req.id));
    if channel.send(&req).is_err() {
        return;
    }
    stream.lock().expect("no holder of the lock panics").channel = channel.stream.try_clone().ok();
    let answer = channel.read_answer(DEADLINE, |data| {
        let text = String::from_utf8_lossy(data);
        let replica = text.lines().find_map(|line| line.strip_prefix("data: ")?.split(' ').next());
        let mut stream = stream.lock().expect("no holder of the lock panics");
        stream.events += text.matches("data: ").count() as u64;
        stream.replica = replica.map(str::to_string).or(stream.replica.take());
        true
    });
    let events = stream.lock().expect("no holder of the lock panics").events;
    match answer {
        Some(a) => record.line(&format!("requester {n}: status {}, {events} events, complete: {}", a.status(), a.complete)),
        None => record.line(&format!("requester {n}: no answer")),
    }
}

fn request_id(n: usize) -> String {
    format!("9c41d07be2a3{n:04x}")
}

fn wait_for_events(streams: &[Mutex<Stream>], events: u64) -> std::io::Result<()> {
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        let has_begun = |s: &Mutex<Stream>| s.lock().expect("no holder of the lock panics").events >= events;
        if streams.iter().all(has_begun) {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(std::io::Error::other("not all streams have begun"))
}

fn streams_by_replica(streams: &[Mutex<Stream>]) -> BTreeMap<String, Vec<usize>> {
    let mut by_replica: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    for (n, stream) in streams.iter().enumerate() {
        let replica = stream.lock().expect("no holder of the lock panics").replica.clone();
        by_replica.entry(replica.unwrap_or_default()).or_default().push(n);
    }
    by_replica
}

/// Reports whether a replica was at work on a request at an instant, by its reports.
fn is_at_work(reports: &[String], id: &str, at_ms: u64) -> bool {
    let mut is_running = false;
    for line in reports {
        let mut words = line.split(' ');
        let (Some(ms), Some(event), Some(of)) = (words.next(), words.next(), words.next()) else { continue };
        if of != id || ms.parse().unwrap_or(u64::MAX) > at_ms {
            continue;
        }
        match event {
            "running" => is_running = true,
            "done" | "dropped" => is_running = false,
            _ => {}
        }
    }
    is_running
}

fn judge(deployment: &Deployment, leaving: &[usize], left_ms: u64, record: &Record) -> Option<String> {
    let at_ms = left_ms + GRACE_MS;
    let mut at_work = 0;
    let mut arrived_late = 0;
    for n in leaving {
        let id = request_id(*n);
        for replica in deployment.replicas.iter().filter(|r| r.is_running()) {
            let reports = replica.reports();
            if is_at_work(&reports, &id, at_ms) {
                at_work += 1;
                record.line_at(at_ms, &format!("replica {} is at work on {id}, whose requester left {GRACE_MS} ms ago", replica.id));
            }
            let is_late = |line: &&String| {
                let mut words = line.split(' ');
                words.next().and_then(|ms| ms.parse().ok()).is_some_and(|ms: u64| ms > at_ms)
                    && words.next() == Some("arrived")
                    && words.next() == Some(id.as_str())
            };
            arrived_late += reports.iter().filter(is_late).count();
        }
    }
    let text = format!(
        "{} requesters left; {GRACE_MS} ms later replicas were at work on {at_work} of their requests; \
         {arrived_late} requests arrived at a replica after that",
        leaving.len()
    );
    record.line(&text);
    (at_work * 4 > leaving.len()).then_some(format!("GONE: {text}"))
}
