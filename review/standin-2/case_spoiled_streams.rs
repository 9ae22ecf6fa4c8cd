//! Some replicas spoil an event of a stream. The stream goes on at another replica while the first one still
//! works on it.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::rig::{
    case_ip, free_address, has_trouble, start_hosts, start_replica, work_dir, Record, ReplicaEvents,
};
use crate::store::Store;
use crate::stream_client::{config, send, Next, Stream};

const CALLERS: usize = 60;
const EVENTS: usize = 60;
/// Share of the faulty replicas' answers in which an event is spoiled: `garble`.
const SPOILED_SHARE: &str = "0.05";
const RUN_TIME: Duration = Duration::from_secs(45);
/// Time for which the replica before may still work on a request that continues at another one.
const WORK_BOUND_MS: u64 = 400;

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
    // Two of four replicas are faulty: a share of 0.6 at most.
    for (id, may_be_faulty) in
        [("i-0000000a", true), ("i-0000000b", false), ("i-0000000c", true), ("i-0000000d", false)]
    {
        let address = free_address(&case_ip(100));
        let share = if may_be_faulty && has_trouble() { SPOILED_SHARE } else { "0" };
        let options = [EVENTS.to_string(), "50".into(), "900".into(), "0".into(), share.into()];
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
    let end = Instant::now() + RUN_TIME;
    let whole = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let frontend = hosts[n % hosts.len()].frontend.clone();
            let (whole, record) = (whole.clone(), record.clone());
            std::thread::spawn(move || {
                for i in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let id = format!("{n:08x}{i:08x}");
                    if read_story(&frontend, &id, &record) {
                        whole.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop(hosts);
    std::thread::sleep(Duration::from_millis(500));
    drop(replicas);
    std::thread::sleep(Duration::from_millis(200));
    let code = judge(&events, whole.load(Ordering::Relaxed), &record);
    let _ = std::fs::remove_dir_all(work_dir);
    Ok(code)
}

/// Reads one story. Returns whether its answer is whole.
fn read_story(frontend: &str, id: &str, record: &Record) -> bool {
    record.write(&format!("caller sends {id}"));
    let Ok(channel) = send(frontend, id, b"{}") else { return false };
    let _ = channel.set_read_timeout(Some(Duration::from_secs(20)));
    let (status, stream) = Stream::open(channel);
    let Some(mut stream) = stream else {
        record.write(&format!("caller of {id}: status {status}"));
        return false;
    };
    let end = loop {
        match stream.next(Duration::from_secs(12)) {
            Next::Events => {}
            end => break end,
        }
    };
    let pieces = stream.received().matches("data: ").count();
    record.write(&format!(
        "caller of {id}: status {status}, {end:?} after {pieces} of {EVENTS} pieces"
    ));
    end == Next::End && pieces == EVENTS
}

/// One replica's work on a request.
struct Work {
    replica: String,
    began_ms: u64,
    ended_ms: Option<u64>,
}

fn judge(events: &ReplicaEvents, whole: usize, record: &Record) -> i32 {
    let mut works: HashMap<String, Vec<Work>> = HashMap::new();
    for event in events.lock().unwrap().iter() {
        let [word, id, ..] = event.words.as_slice() else { continue };
        let works = works.entry(id.clone()).or_default();
        match word.as_str() {
            "begins" => works.push(Work {
                replica: event.replica.clone(),
                began_ms: event.at_ms,
                ended_ms: None,
            }),
            "ends" | "drops" => {
                let is_open = |w: &&mut Work| w.replica == event.replica && w.ended_ms.is_none();
                if let Some(work) = works.iter_mut().rev().find(is_open) {
                    work.ended_ms = Some(event.at_ms);
                }
            }
            _ => {}
        }
    }
    let (mut continued, mut twice) = (0, 0);
    for (id, works) in &mut works {
        works.sort_by_key(|work| work.began_ms);
        for pair in works.windows(2) {
            continued += 1;
            let ended_ms = pair[0].ended_ms.unwrap_or(u64::MAX);
            let shared_ms = ended_ms.saturating_sub(pair[1].began_ms);
            if shared_ms > WORK_BOUND_MS {
                twice += 1;
                record.write(&format!(
                    "TWICE: {id} continues at {}, and {} still works on it {shared_ms} ms later",
                    pair[1].replica, pair[0].replica
                ));
            }
        }
    }
    let text = format!(
        "{} streams, {whole} whole; {continued} continued at another replica, and at {twice} of these the one before still worked {WORK_BOUND_MS} ms later",
        works.len()
    );
    record.write(&text);
    println!("{text}");
    if whole == 0 {
        return 2;
    }
    i32::from(twice > 0)
}
