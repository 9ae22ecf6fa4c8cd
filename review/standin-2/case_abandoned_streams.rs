//! Callers leave while their streams are being resumed after the crash of a replica. A second replica crashes
//! a second later.

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
const CALLERS: usize = 96;
/// Share of the callers that leave: `give_up`.
const MAX_LEAVING: usize = CALLERS * 3 / 10;
/// Silence after which a caller leaves.
const PATIENCE: Duration = Duration::from_millis(400);
const CRASH_AT: Duration = Duration::from_secs(4);
const SECOND_CRASH_AT: Duration = Duration::from_millis(5_300);
/// Time after a caller has left from which work on its request, and its arrival at a replica, counts.
const WORK_BOUND_MS: u64 = 500;
/// Requests that may reach a replica so late.
const A_FEW: usize = 4;

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
        let options = ["120", "100", "1500", "0"].map(str::to_string);
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
        std::thread::sleep(SECOND_CRASH_AT.saturating_sub(start.elapsed()));
        record.write("replica i-0000000b crashes");
        replicas[1].kill();
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
    let mut reached: HashSet<String> = HashSet::new();
    for event in events.lock().unwrap().iter() {
        let [word, id, ..] = event.words.as_slice() else { continue };
        let Some(left_at) = left.get(id) else { continue };
        let (replica, late_by) = (&event.replica, event.at_ms.saturating_sub(*left_at));
        let run = (id.clone(), replica.clone());
        if word == "begins" {
            working.insert(run, event.at_ms);
            if late_by > WORK_BOUND_MS {
                record.write(&format!(
                    "GONE: {id} reached {replica} {late_by} ms after its caller had left"
                ));
                reached.insert(id.clone());
            }
        } else if working.remove(&run).is_some() && late_by > WORK_BOUND_MS {
            record.write(&format!(
                "GONE: {replica} worked on {id} until {late_by} ms after its caller had left"
            ));
            late.insert(id.clone());
        }
    }
    let text = format!(
        "{} callers left; over {WORK_BOUND_MS} ms later {} of their requests reached a replica, and replicas were at work on {}",
        left.len(),
        reached.len(),
        late.len()
    );
    record.write(&text);
    println!("{text}");
    i32::from(reached.len() > A_FEW || late.len() > A_FEW && late.len() * 4 > left.len())
}
