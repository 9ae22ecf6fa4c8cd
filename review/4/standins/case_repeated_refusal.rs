//! A full replica's refusal arrives a second time, late.
//!
//! The host asks the same replica again for the same request, on the same connection, and takes the second
//! copy of the first refusal for the answer to the second attempt, which the replica runs.

use std::collections::HashMap;
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::rig::{
    ask, case_ip, free_address, has_trouble, start_hosts, start_replica, work_dir, Random, Record,
    ReplicaEvents, KEY,
};
use crate::store::Store;

const RUN_TIME: Duration = Duration::from_secs(70);
const CLIENTS: usize = 10;
/// Share of its answers that the faulty replica sends twice, and how late at most.
const SURPLUS_SHARE: &str = "0.03";
const SURPLUS_LATE_MS: &str = "25";

struct Answer {
    id: String,
    status: u16,
}

pub fn play(dir: &Path, program: &Path) -> i32 {
    match try_play(dir, program) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            2
        }
    }
}

fn try_play(dir: &Path, program: &Path) -> std::io::Result<i32> {
    let record = Record::create(dir)?;
    let work_dir = work_dir()?;
    let store = Store::start()?;
    store.put("config", "main", &config());
    let events = ReplicaEvents::default();
    let mut replicas = Vec::new();
    // One of two replicas is faulty: a share of 0.6 at most.
    for (id, is_faulty) in [("i-0000000a", has_trouble()), ("i-0000000b", false)] {
        let surplus_share = if is_faulty { SURPLUS_SHARE } else { "0" };
        let options: Vec<String> =
            ["2", "1", "20", surplus_share, SURPLUS_LATE_MS].map(str::to_string).to_vec();
        let address = free_address(&case_ip(100));
        replicas.push(start_replica("replica", id, &address, &options, &events, &record)?);
        let spec = format!(
            r#"{{"service":"desk","address":"{address}","zone":"hall","version":"v1","slots":2,"state":"ready","cold-left-ms":0,"sequence":1}}"#
        );
        store.put("servers", id, &spec);
    }
    let hosts = start_hosts(program, &work_dir, &store.address, 2)?;
    if !hosts.iter().all(|host| host.wait_ready()) {
        record.write("a host did not become ready");
        return Ok(2);
    }
    record.write("all hosts are ready");
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let end = Instant::now() + RUN_TIME;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let frontend = hosts[n % hosts.len()].frontend.clone();
            let (answers, record) = (answers.clone(), record.clone());
            std::thread::spawn(move || run_client(n, &frontend, end, &answers, &record))
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    // What replicas still work on ends.
    std::thread::sleep(Duration::from_millis(500));
    drop(hosts);
    drop(replicas);
    std::thread::sleep(Duration::from_millis(200));
    let code = judge(&answers.lock().unwrap(), &events, &record);
    let _ = std::fs::remove_dir_all(work_dir);
    Ok(code)
}

fn config() -> String {
    let route = r#"{"name":"checkout","hostname":"desk.example","path-prefix":"/checkout/","route-kind":"non_idempotent","timeout-ms":1500,"objective-ms":100,"priority":0,"service":"desk","max-attempts":3,"public":false}"#;
    let service =
        r#"{"name":"desk","health-path":"/healthz","max-conns":110,"protocol":"h1","tls":false}"#;
    let limits = r#"{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}"#;
    format!(
        r#"{{"version":7,"routes":[{route}],"services":[{service}],"limits":{limits},"tenants":[{{"name":"north","api-keys":["{KEY}"]}}]}}"#
    )
}

/// Sends one request after the other on a kept connection, each with an id of its own.
fn run_client(
    n: usize,
    frontend: &str,
    end: Instant,
    answers: &Mutex<Vec<Answer>>,
    record: &Record,
) {
    let mut random = Random::new(n as u64 + 1);
    let mut stream: Option<TcpStream> = None;
    for i in 0.. {
        if Instant::now() >= end {
            return;
        }
        let id = format!("{n:04x}{i:08x}");
        let body = "isbn=9780000000000";
        let request = format!(
            "POST /checkout/1 HTTP/1.1\r\nHost: desk.example\r\nTidetrack-Attempt-Id: {id}\r\n\
             Tidetrack-Deadline-Ms: 1500\r\nX-Api-Key: {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let connected = stream.take().or_else(|| TcpStream::connect(frontend).ok());
        let Some(mut connected) = connected else { continue };
        let _ = connected.set_nodelay(true);
        let _ = connected.set_read_timeout(Some(Duration::from_secs(3)));
        record.write(&format!("client {n}: sends {id}"));
        let answer = ask(&mut connected, request.as_bytes());
        let status = answer.as_ref().map_or(0, |a| a.status());
        record.write(&format!("client {n}: {id} is answered {status}"));
        if answer.is_some() {
            stream = Some(connected);
        }
        answers.lock().unwrap().push(Answer { id, status });
        std::thread::sleep(Duration::from_secs_f64(random.fraction() * 0.02));
    }
}

fn judge(answers: &[Answer], events: &ReplicaEvents, record: &Record) -> i32 {
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for event in events.lock().unwrap().iter() {
        if let [word, id, ..] = event.words.as_slice() {
            if word == "runs" {
                runs.entry(id.clone()).or_default().push(event.replica.clone());
            }
        }
    }
    let count = |status: u16| answers.iter().filter(|a| a.status == status).count();
    record.write(&format!(
        "{} requests: {} answered 200, {} 503, {} 502, {} 504, {} without an answer",
        answers.len(),
        count(200),
        count(503),
        count(502),
        count(504),
        count(0)
    ));
    let twice: Vec<_> = runs.iter().filter(|(_, replicas)| replicas.len() > 1).collect();
    for (id, replicas) in &twice {
        record.write(&format!("TWICE: {id} ran at {}", replicas.join(" and ")));
    }
    let refused: Vec<&Answer> = answers
        .iter()
        .filter(|a| matches!(a.status, 408 | 421 | 429 | 503) && runs.contains_key(&a.id))
        .collect();
    for answer in &refused {
        let (id, status) = (&answer.id, answer.status);
        record.write(&format!(
            "REFUSED: {id} is answered {status} and ran at {}",
            runs[id].join(" and ")
        ));
    }
    record.write(&format!("TWICE {}, REFUSED {}", twice.len(), refused.len()));
    println!("TWICE {}, REFUSED {}", twice.len(), refused.len());
    if answers.iter().all(|a| a.status != 200) {
        return 2;
    }
    i32::from(!twice.is_empty() || !refused.is_empty())
}
