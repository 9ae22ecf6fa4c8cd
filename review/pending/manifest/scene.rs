//! A key is taken away by a manifest that also holds a number with a fraction of zero. Usage: `scene HOST_BINARY`.
//! Exits with 1 if a request with the key ran that was sent too long after the ack, 0 if none did, 2 if the case
//! could not run. `TROUBLE=0` leaves the change of the idle time-out out and takes the key away all the same.

#[path = "standins.rs"]
mod standins;

use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use standins::*;

/// `bounds.revoke-ms` of the settings.
const REVOKE_MS: u64 = 5_000;
/// How long requests are sent after the ack.
const AFTER_MS: u64 = 15_000;

fn manifest(version: u64, keys: &str, idle_timeout_ms: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-co","hostname":"shop.example","path-prefix":"/checkout/","route-kind":"non_idempotent","timeout-ms":1500,"objective-ms":100,"priority":0,"service":"desk","max-attempts":1,"public":false}}],"services":[{{"name":"desk","health-path":"/healthz","max-conns":110,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":{idle_timeout_ms}}},"tenants":[{{"name":"hule930","api-keys":[{keys}],"priority":1}}]}}"#
    )
}

fn main() {
    let binary = std::env::args().nth(1).unwrap_or_else(|| exit(2));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::new();
    let store = Store::start(&record);
    let dir = temp_dir("manifest");
    let replicas: Vec<Arc<Replica>> = (0..4)
        .map(|i| {
            Replica::start(&record, &format!("i-{i}"), "desk", |_, req, w, _| {
                std::thread::sleep(Duration::from_millis(15));
                answer(w, req, 200, "done")
            })
        })
        .collect();
    for r in &replicas {
        store.put("servers", &r.id, &r.spec("hall", "v1", "ready"));
    }
    store.put("config", "main", &manifest(7, r#""key-taken-away","key-kept""#, "15000"));
    let plans: Vec<HostPlan> = (1..=3).map(|i| HostPlan::new(&format!("edge-hall-{i}"), "hall")).collect();
    let seeds = [plans[0].addresses[2], plans[1].addresses[2]];
    let hosts: Vec<Host> =
        plans.iter().map(|p| p.start(&dir, &binary, store.address, &seeds, CONTRACTS)).collect();
    let mut is_sound = hosts.iter().all(|h| h.wait_ready(Duration::from_secs(15)));
    record.add(format!("hosts ready: {is_sound}"));
    let mut count = 0;
    let mut send = |record: &Record, key: &str| {
        let mut statuses = Vec::new();
        for host in &hosts {
            count += 1;
            let (id, sent) = (format!("q{count:04}"), record.ms());
            let req = request("POST", "/checkout/1", &id, Some(key), 1_500, "", "a loan");
            let status = exchange(host.caller, &req, Duration::from_secs(3)).map_or(0, |m| m.status());
            record.add(format!("requester: {id} with {key} sent at {sent} ms, answered {status}"));
            statuses.push((id, sent, status));
        }
        statuses
    };
    is_sound &= send(&record, "key-taken-away").iter().all(|(_, _, status)| *status == 200);
    std::thread::sleep(Duration::from_secs(2));
    // The manifest changes (its idle time-out), and the same manifest takes a key away.
    let idle_timeout_ms = if has_trouble { "12000.0" } else { "15000" };
    store.put("config", "main", &manifest(9, r#""key-kept""#, idle_timeout_ms));
    let ack = record.ms();
    record.add(format!("operator: ack of manifest 9 without key-taken-away, idle-timeout-ms {idle_timeout_ms}"));
    let mut late = Vec::new();
    while record.ms() < ack + AFTER_MS {
        let sent = send(&record, "key-taken-away");
        late.extend(sent.into_iter().filter(|(_, sent, _)| *sent > ack + REVOKE_MS));
        is_sound &= send(&record, "key-kept").iter().all(|(_, _, status)| *status == 200);
        std::thread::sleep(Duration::from_millis(500));
    }
    let has_run = |id: &str| replicas.iter().any(|r| r.runs.lock().unwrap().iter().any(|run| run.id == id));
    let broken: Vec<&(String, u64, u16)> = late.iter().filter(|(id, _, _)| has_run(id)).collect();
    record.add(format!(
        "check: {} of {} requests with the key that were sent more than {REVOKE_MS} ms after the ack have run",
        broken.len(),
        late.len()
    ));
    record.write("record.txt");
    drop(hosts);
    let _ = std::fs::remove_dir_all(&dir);
    println!("trouble={has_trouble} late={} ran={} sound={is_sound}", late.len(), broken.len());
    exit(match (is_sound && !late.is_empty(), broken.is_empty()) {
        (_, false) => 1,
        (true, true) => 0,
        (false, true) => 2,
    });
}
