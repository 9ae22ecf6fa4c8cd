//! The operator raises the limit on request heads. Kept channels stay at the old limit.

use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::rig::{
    ask, case_ip, free_address, has_trouble, start_hosts, start_replica, work_dir, Record,
    ReplicaEvents, KEY,
};
use crate::store::Store;

const CALLERS: usize = 40;
const OLD_LIMIT: usize = 8_192;
const NEW_LIMIT: usize = 16_384;
/// Size of the large header that callers send once the new limit holds.
const LARGE_HEADER: usize = 12_000;
const CHANGE_AT: Duration = Duration::from_secs(4);
/// `config-apply-ms` of 2,000 and half a second more.
const APPLY_TIME: Duration = Duration::from_millis(2_500);
const RUN_TIME: Duration = Duration::from_secs(12);
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

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
    let first_limit = if has_trouble() { OLD_LIMIT } else { NEW_LIMIT };
    store.put("config", "main", &config(7, first_limit));
    let events = ReplicaEvents::default();
    let mut replicas = Vec::new();
    for id in ["i-0000000a", "i-0000000b"] {
        let address = free_address(&case_ip(100));
        let options = ["20", "40", "15", "0", "0"].map(str::to_string);
        replicas.push(start_replica("replica", id, &address, &options, &events, &record)?);
        let spec = format!(
            r#"{{"service":"desk","address":"{address}","zone":"hall","version":"v1","slots":20,"state":"ready","cold-left-ms":0,"sequence":1}}"#
        );
        store.put("servers", id, &spec);
    }
    let hosts = start_hosts(program, &work_dir, &store.address, 2)?;
    if !hosts.iter().all(|host| host.wait_ready()) {
        record.write("a host did not become ready");
        return Ok(2);
    }
    record.write("all hosts are ready");
    let start = Instant::now();
    let statuses: Arc<Mutex<Vec<(bool, u16)>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let frontend = hosts[n % hosts.len()].frontend.clone();
            let (statuses, record) = (statuses.clone(), record.clone());
            std::thread::spawn(move || run_caller(n, &frontend, start, &statuses, &record))
        })
        .collect();
    std::thread::sleep(CHANGE_AT);
    store.put("config", "main", &config(8, NEW_LIMIT));
    record.write(&format!("manifest 8 is acknowledged: max-header-bytes {NEW_LIMIT}"));
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop(hosts);
    drop(replicas);
    let statuses = statuses.lock().unwrap();
    let large = statuses.iter().filter(|(is_large, _)| *is_large).count();
    let served = statuses.iter().filter(|(_, status)| *status == 200).count();
    let denied = statuses.iter().filter(|(_, status)| *status == 431).count();
    let allowed = 5 + statuses.len() / 500;
    let text = format!(
        "{} requests, {large} of them with a large head; {served} served, {denied} answered 431, {allowed} allowed",
        statuses.len()
    );
    record.write(&text);
    println!("{text}");
    let _ = std::fs::remove_dir_all(work_dir);
    if served == 0 {
        return Ok(2);
    }
    Ok(i32::from(denied > allowed))
}

fn config(version: u32, max_header_bytes: usize) -> String {
    let route = r#"{"name":"checkout","hostname":"desk.example","path-prefix":"/checkout/","route-kind":"non_idempotent","timeout-ms":1500,"objective-ms":100,"priority":0,"service":"desk","max-attempts":1,"public":false}"#;
    let service =
        r#"{"name":"desk","health-path":"/healthz","max-conns":110,"protocol":"h1","tls":false}"#;
    let limits = format!(
        r#"{{"max-header-bytes":{max_header_bytes},"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#
    );
    format!(
        r#"{{"version":{version},"routes":[{route}],"services":[{service}],"limits":{limits},"tenants":[{{"name":"north","api-keys":["{KEY}"]}}]}}"#
    )
}

/// Sends a request every 250 ms on a kept channel; each sixth has a large head once that is allowed.
fn run_caller(
    n: usize,
    frontend: &str,
    start: Instant,
    statuses: &Mutex<Vec<(bool, u16)>>,
    record: &Record,
) {
    let mut channel: Option<TcpStream> = None;
    for i in 0.. {
        if start.elapsed() >= RUN_TIME {
            return;
        }
        let is_large = start.elapsed() > CHANGE_AT + APPLY_TIME && i % 6 == 0;
        let filler = if is_large { "x".repeat(LARGE_HEADER) } else { "x".into() };
        let id = format!("{n:04x}{i:08x}");
        let request = format!(
            "POST /checkout/1 HTTP/1.1\r\nHost: desk.example\r\nTidetrack-Attempt-Id: {id}\r\n\
             Tidetrack-Deadline-Ms: 1500\r\nX-Api-Key: {KEY}\r\nCookie: {filler}\r\nContent-Length: 4\r\n\r\nbook"
        );
        let connected = channel.take().or_else(|| TcpStream::connect(frontend).ok());
        let Some(mut connected) = connected else { continue };
        let _ = connected.set_nodelay(true);
        let _ = connected.set_read_timeout(Some(Duration::from_secs(3)));
        let answer = ask(&mut connected, request.as_bytes());
        let status = answer.as_ref().map_or(0, |a| a.status());
        let size = if is_large { "large" } else { "small" };
        record.write(&format!("caller {n}: {id}, {size} head, is answered {status}"));
        if status == 200 {
            channel = Some(connected);
        }
        statuses.lock().unwrap().push((is_large, status));
        std::thread::sleep(REQUEST_INTERVAL);
    }
}
