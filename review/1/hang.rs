//! A faulty replica turns requests away and gets stuck in the middle of that answer.
//!
//! Requesters send requests that may run once, at the rate of the sheet, on kept channels to nine hosts. One replica
//! of eight turns faulty four times, for 6.5 s each: it gets stuck in 45 of 100 requests. Checked: how many of the requests that still
//! await an answer at the route's `timeout-ms` have none half a second later.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{Deployment, DESK};
use crate::record::{now_ms, Record};
use crate::requester::{Channel, Request, KEY};

/// Fields of the route, as in the sheet's `loan-checkout`.
const ROUTE: &str = r#""path-prefix":"/puxa403/","route-kind":"non_idempotent","timeout-ms":800,"objective-ms":100,"priority":2,"service":"lending-desk","max-attempts":1"#;

const TIMEOUT_MS: u64 = 800;
const GRACE_MS: u64 = 500;
const DEADLINE: Duration = Duration::from_millis(1_500);
const HOSTS: usize = 9;
const REPLICAS: usize = 8;
const REQUESTERS: usize = 27;
const PAUSE: Duration = Duration::from_millis(800);
/// How often the replica turns faulty, and for how long.
const TIMES: u32 = 4;
const TROUBLE: Duration = Duration::from_millis(6_500);
const BETWEEN: Duration = Duration::from_secs(2);

struct Outcome {
    id: String,
    host: usize,
    sent_ms: u64,
    /// Status, and when the whole answer was there; `None` without an answer.
    answered: Option<(u16, u64)>,
}

pub fn run(record: &Arc<Record>, has_trouble: bool) -> std::io::Result<Option<String>> {
    let hang_file =
        std::env::temp_dir().join(format!("tidetrack-review-hang-{}", std::process::id()));
    let _ = std::fs::remove_file(&hang_file);
    let mut options = vec![vec!["work_ms=15".to_string()]; REPLICAS];
    options[0].extend(["hang=0.45".into(), format!("hang_file={}", hang_file.display())]);
    let deployment = Deployment::start(ROUTE, DESK, HOSTS, options)?;
    record.line("all hosts are ready; requests begin");
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let end = Instant::now() + (BETWEEN + TROUBLE) * TIMES + BETWEEN;
    let threads: Vec<_> = (0..REQUESTERS)
        .map(|n| {
            let (outcomes, record) = (outcomes.clone(), record.clone());
            let host = n % HOSTS;
            let address = deployment.hosts[host].frontend.clone();
            std::thread::spawn(move || send_until(n, host, &address, end, &outcomes, &record))
        })
        .collect();
    for _ in 0..TIMES {
        std::thread::sleep(BETWEEN);
        if has_trouble {
            record.line("replica i-7f3a900c turns faulty: it gets stuck in 45 of 100 requests");
            std::fs::write(&hang_file, "")?;
        }
        std::thread::sleep(TROUBLE);
        if has_trouble {
            record.line("replica i-7f3a900c is sound again");
        }
        let _ = std::fs::remove_file(&hang_file);
    }
    for thread in threads {
        let _ = thread.join();
    }
    deployment.record_reports(record, &["\"AttemptFailed\"", "attempt-failed"]);
    let outcomes = outcomes.lock().expect("no holder of the lock panics");
    Ok(judge(&outcomes, record))
}

/// Sends requests one after another, on a kept channel as long as it is answered.
fn send_until(
    n: usize,
    host: usize,
    address: &str,
    end: Instant,
    outcomes: &Mutex<Vec<Outcome>>,
    record: &Record,
) {
    let mut channel: Option<Channel> = None;
    std::thread::sleep(PAUSE.mul_f64(n as f64 / REQUESTERS as f64));
    for k in 0.. {
        if Instant::now() >= end {
            return;
        }
        let next = Instant::now() + PAUSE;
        let id = format!("{n:02x}{k:04x}");
        let req = Request {
            line: "POST /puxa403/2f".into(),
            id: id.clone(),
            key: KEY,
            deadline: DEADLINE,
            headers: String::new(),
            body: vec![b'x'; 600],
        };
        if channel.is_none() {
            channel = Channel::connect(address).ok();
        }
        let Some(open) = channel.as_mut() else { continue };
        let sent_ms = now_ms();
        record.line_at(sent_ms, &format!("requester {n}: sends {id} to host {host}"));
        let answer = open.send(&req).ok().and_then(|()| open.read_answer(DEADLINE, |_| true));
        let answered = answer.filter(|a| a.complete).map(|a| (a.status(), now_ms()));
        match answered {
            Some((status, at)) => record.line(&format!(
                "requester {n}: {id} is answered {status} after {} ms",
                at - sent_ms
            )),
            None => {
                record.line(&format!(
                    "requester {n}: {id} has no answer after {} ms; leaves",
                    now_ms() - sent_ms
                ));
                channel = None;
            }
        }
        outcomes.lock().expect("no holder of the lock panics").push(Outcome {
            id,
            host,
            sent_ms,
            answered,
        });
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn judge(outcomes: &[Outcome], record: &Record) -> Option<String> {
    let is_awaited = |o: &&Outcome, ms: u64| o.answered.is_none_or(|(_, at)| at > o.sent_ms + ms);
    let late: Vec<&Outcome> = outcomes.iter().filter(|o| is_awaited(o, TIMEOUT_MS)).collect();
    let open: Vec<&Outcome> =
        outcomes.iter().filter(|o| is_awaited(o, TIMEOUT_MS + GRACE_MS)).collect();
    for o in &open {
        record.line_at(
            o.sent_ms,
            &format!(
                "{} (host {}) has no answer {} ms after it was sent",
                o.id,
                o.host,
                TIMEOUT_MS + GRACE_MS
            ),
        );
    }
    let hosts: std::collections::BTreeSet<usize> = open.iter().map(|o| o.host).collect();
    let text = format!(
        "{} requests; {} awaited an answer at timeout-ms = {TIMEOUT_MS}, of which {} had none {GRACE_MS} ms later, \
         at {} of {HOSTS} hosts",
        outcomes.len(),
        late.len(),
        open.len(),
        hosts.len()
    );
    record.line(&text);
    // The second form of the rule (eight or more, and over a quarter) is the stricter one.
    let is_broken = open.len() >= 8 && open.len() * 2 > late.len();
    is_broken.then_some(format!("CONFIG: {text}"))
}
