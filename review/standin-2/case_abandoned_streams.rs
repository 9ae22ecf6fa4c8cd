//! Callers leave while their streams are being resumed after the crash of a replica.

use std::collections::{HashMap, HashSet};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::rig::{
    case_ip, free_address, has_trouble, now_ms, start_hosts, start_replica, work_dir, Record,
    ReplicaEvents,
};
use crate::store::Store;
use crate::stream_client::{config, send, Next, Stream};

/// Callers, each with one stream in progress.
const CALLERS: usize = 48;
/// Share of the callers that leave: `give_up`.
const MAX_LEAVING: usize = CALLERS * 3 / 10;
/// Silence after which a caller leaves.
const PATIENCE: Duration = Duration::from_millis(400);
const CRASH_AT: Duration = Duration::from_secs(4);
/// Time after a caller has left from which work on its request counts.
const WORK_BOUND_MS: u64 = 500;

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
    for id in ["i-0000000a", "i-0000000b", "i-0000000c", "i-0000000d"] {
        let address = free_address(&case_ip(100));
        let options = ["120", "100", "1500"].map(str::to_string);
        replicas.push(start_replica("engine", id, &address, &options, &events, &record)?);
        let spec = format!(
            r#"{{"service":"llm","address":"{address}","zone":"hall","version":"v1","slots":64,"state":"ready","cold-left-ms":0,"sequence":1}}"#
        );
        store.put("servers", id, &spec);
    }
    let hosts = start_hosts(program, &work_dir, &store.address, 2)?;
    if !hosts.iter().all(|host| host.wait_ready()) {
        record.write("a host did not become ready");
        return Ok(2);
    }
    record.write("all hosts are ready");
    // The time at which each caller left, by the id of its request.
    let left: Arc<Mutex<HashMap<String, u64>>> = Arc::default();
    let start = Instant::now();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let frontend = hosts[n % hosts.len()].frontend.clone();
            let (left, record) = (left.clone(), record.clone());
            std::thread::spawn(move || read_story(n, &frontend, &left, &record))
        })
        .collect();
    std::thread::sleep(CRASH_AT.saturating_sub(start.elapsed()));
    if has_trouble() {
        record.write("replica i-0000000a crashes");
        replicas[0].kill();
    }
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop(hosts);
    drop(replicas);
    std::thread::sleep(Duration::from_millis(200));
    let code = judge(&left.lock().unwrap(), &events, &record);
    let _ = std::fs::remove_dir_all(work_dir);
    Ok(code)
}

/// Reads a story; leaves if it is silent for longer than `PATIENCE` after its first event.
fn read_story(n: usize, frontend: &str, left: &Mutex<HashMap<String, u64>>, record: &Record) {
    let id = format!("{n:08x}{n:08x}");
    record.write(&format!("caller sends {id}"));
    let Ok(channel) = send(frontend, &id, b"{}") else { return };
    let _ = channel.set_read_timeout(Some(Duration::from_secs(20)));
    let (status, stream) = Stream::open(channel);
    record.write(&format!("caller of {id}: status {status}"));
    let Some(mut stream) = stream else { return };
    loop {
        match stream.next(PATIENCE) {
            Next::Events => {}
            Next::Silence => {
                let mut left = left.lock().unwrap();
                if left.len() < MAX_LEAVING {
                    left.insert(id.clone(), now_ms());
                    drop(stream);
                    return record.write(&format!("caller of {id} leaves"));
                }
            }
            end => return record.write(&format!("caller of {id}: {end:?}")),
        }
    }
}

fn judge(left: &HashMap<String, u64>, events: &ReplicaEvents, record: &Record) -> i32 {
    let mut working: HashMap<(String, String), u64> = HashMap::new();
    let mut late: HashSet<String> = HashSet::new();
    for event in events.lock().unwrap().iter() {
        let [word, id, ..] = event.words.as_slice() else { continue };
        let run = (id.clone(), event.replica.clone());
        if word == "begins" {
            working.insert(run, event.at_ms);
        } else if let (Some(_), Some(left_at)) = (working.remove(&run), left.get(id)) {
            if event.at_ms > left_at + WORK_BOUND_MS {
                let ms = event.at_ms - left_at;
                record.write(&format!("GONE: {} worked on {id} for {ms} ms after its caller had left", event.replica));
                late.insert(id.clone());
            }
        }
    }
    let text = format!("{} callers left; replicas were at work on {} of their requests over {WORK_BOUND_MS} ms later", left.len(), late.len());
    record.write(&text);
    println!("{text}");
    // A few callers that leave say nothing.
    i32::from(late.len() > 4 && late.len() * 4 > left.len())
}
