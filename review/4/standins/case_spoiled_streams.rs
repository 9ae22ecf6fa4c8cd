//! Some replicas spoil the id of an event of a stream, which then goes on at another replica after the wrong id.

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
const SPOILED_SHARE: &str = "0.02";
const RUN_TIME: Duration = Duration::from_secs(45);

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
    let spoiled_by = "7";
    let mut replicas = Vec::new();
    // Two of four replicas are faulty: a share of 0.6 at most.
    for (id, may_be_faulty) in
        [("i-0000000a", true), ("i-0000000b", false), ("i-0000000c", true), ("i-0000000d", false)]
    {
        let address = free_address(&case_ip(100));
        let share = if may_be_faulty && has_trouble() { SPOILED_SHARE } else { "0" };
        let options = [
            EVENTS.to_string(),
            "50".into(),
            "900".into(),
            "0".into(),
            share.into(),
            spoiled_by.into(),
        ];
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
    let (whole, short) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let frontend = hosts[n % hosts.len()].frontend.clone();
            let (whole, short, record) = (whole.clone(), short.clone(), record.clone());
            std::thread::spawn(move || {
                for i in 0.. {
                    if Instant::now() >= end {
                        return;
                    }
                    let id = format!("{n:08x}{i:08x}");
                    match read_story(&frontend, &id, &record) {
                        Outcome::Whole => whole.fetch_add(1, Ordering::Relaxed),
                        Outcome::Short => short.fetch_add(1, Ordering::Relaxed),
                        Outcome::Broken => 0,
                    };
                }
            })
        })
        .collect();
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop(hosts);
    std::thread::sleep(Duration::from_millis(500));
    drop(replicas);
    std::thread::sleep(Duration::from_millis(200));
    let (whole, short) = (whole.load(Ordering::Relaxed), short.load(Ordering::Relaxed));
    let text =
        format!("{whole} streams whole; {short} ended as complete without some of their pieces");
    record.write(&text);
    println!("{text}");
    let code = if whole == 0 { 2 } else { i32::from(short > 0) };
    let _ = std::fs::remove_dir_all(work_dir);
    Ok(code)
}

/// How a stream ended.
enum Outcome {
    Whole,
    /// It ended as complete, and pieces are missing.
    Short,
    Broken,
}

fn read_story(frontend: &str, id: &str, record: &Record) -> Outcome {
    record.write(&format!("caller sends {id}"));
    let Ok(channel) = send(frontend, id, b"{}") else { return Outcome::Broken };
    let _ = channel.set_read_timeout(Some(Duration::from_secs(20)));
    let (status, stream) = Stream::open(channel);
    let Some(mut stream) = stream else {
        record.write(&format!("caller of {id}: status {status}"));
        return Outcome::Broken;
    };
    let end = loop {
        match stream.next(Duration::from_secs(12)) {
            Next::Events => {}
            end => break end,
        }
    };
    let is_missing = |n: &usize| !stream.received().contains(&format!("data: piece {n} of"));
    let missing: Vec<String> = (1..=EVENTS).filter(is_missing).map(|n| n.to_string()).collect();
    let (outcome, rule) = match end {
        Next::End if missing.is_empty() => (Outcome::Whole, ""),
        Next::End => (Outcome::Short, "ORDER: "),
        _ => (Outcome::Broken, ""),
    };
    let missing = missing.join(" ");
    record.write(&format!(
        "{rule}caller of {id}: status {status}, {end:?}, missing pieces: {missing}"
    ));
    outcome
}
