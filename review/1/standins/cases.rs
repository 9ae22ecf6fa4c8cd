//! What the cases have in common, and their scenarios.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use crate::host::{loopback, Host, HostAddresses, Replica, ADDRESSES, ZONES};
use crate::platform::Store;
use crate::record::Record;
use crate::requester::{HOSTNAME, KEY, OTHER_KEY};

#[path = "../../2/burst.rs"]
mod burst;
#[path = "../hang.rs"]
mod hang;
#[path = "../../3/twice.rs"]
mod twice;

/// The rule held.
const HELD: i32 = 0;

/// The rule was broken.
const BROKEN: i32 = 1;

/// The case could not be run.
const NOT_RUN: i32 = 2;

/// Name of the plain service.
const DESK: &str = "lending-desk";

/// Name of the model replicas' service.
const LLM: &str = "anbabi-llm";

/// Runs a case with its record in a folder. Returns the exit code of the script.
pub fn run(name: &str, dir: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(dir) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            return NOT_RUN;
        }
    };
    record.line(&format!(
        "case {name}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let result = match name {
        "hang" => hang::run(&record, has_trouble),
        "burst" => burst::run(&record, has_trouble),
        "twice" => twice::run(&record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let (code, text) = match result {
        Ok(Some(text)) => (BROKEN, format!("RULE BROKEN: {text}")),
        Ok(None) => (HELD, "the rule held".into()),
        Err(e) => (NOT_RUN, format!("the case could not run: {e}")),
    };
    record.line(&text);
    println!("{name}: {text}");
    code
}

/// A deployment on loopback addresses. Dropping it ends its processes.
struct Deployment {
    store: Store,
    hosts: Vec<Host>,
    replicas: Vec<Replica>,
    temp: PathBuf,
}

impl Deployment {
    /// Starts the store with a manifest of one route, the replicas and the hosts, and waits until the hosts are ready.
    fn start(
        route: &str,
        service: &str,
        host_count: usize,
        replica_options: Vec<Vec<String>>,
    ) -> std::io::Result<Deployment> {
        let temp = std::env::temp_dir().join(format!("tidetrack-review-{}", std::process::id()));
        std::fs::create_dir_all(&temp)?;
        let store = Store::start(&loopback(ADDRESSES - 1))?;
        let mut deployment = Deployment { store, hosts: Vec::new(), replicas: Vec::new(), temp };
        deployment.store.put("config", "main", manifest(route));
        for (n, options) in replica_options.iter().enumerate() {
            let ip = loopback(16 + n as u32);
            let replica = Replica::start(&format!("i-7f3a9{n:02x}c"), &ip, options)?;
            deployment.register(&replica, service, ZONES[n % ZONES.len()]);
            deployment.replicas.push(replica);
        }
        let addresses: std::io::Result<Vec<HostAddresses>> =
            (0..host_count).map(|n| HostAddresses::choose(n as u32)).collect();
        let addresses = addresses?;
        let seeds: Vec<String> = addresses.iter().take(3).map(|a| a.peers().to_string()).collect();
        let store = deployment.store.address.clone();
        for (n, address) in addresses.into_iter().enumerate() {
            deployment.hosts.push(Host::start(n, address, &seeds, &store, &deployment.temp)?);
        }
        for host in &deployment.hosts {
            if !host.wait_ready(Duration::from_secs(15)) {
                return Err(std::io::Error::other(format!(
                    "host {} is not ready: {}",
                    host.name,
                    host.last_log_line()
                )));
            }
        }
        // The hosts have heard each other by then.
        std::thread::sleep(Duration::from_secs(2));
        Ok(deployment)
    }

    fn register(&self, replica: &Replica, service: &str, zone: &str) {
        let (slots, address) = (if service == LLM { 64 } else { 6 }, &replica.address);
        let spec = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","cold-left-ms":0,"sequence":1}}"#
        );
        self.store.put("servers", &replica.id, spec);
    }

    /// Writes what the replicas have reported, and the hosts' log lines with one of these words, to the record.
    fn record_reports(&self, record: &Record, words: &[&str]) {
        for replica in &self.replicas {
            for line in replica.reports() {
                if let Some((at, event)) = line.split_once(' ') {
                    record.line_at(
                        at.parse().unwrap_or(0),
                        &format!("replica {}: {event}", replica.id),
                    );
                }
            }
        }
        for host in &self.hosts {
            for line in host.log_lines(words) {
                record.line(&format!("log of {}: {line}", host.name));
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.clear();
        self.replicas.clear();
        let _ = std::fs::remove_dir_all(&self.temp);
    }
}

/// Returns a manifest with one route, whose fields after the host name are given.
fn manifest(route: &str) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-6y7z5k6","hostname":"{HOSTNAME}","public":false,{route}}}],
        "services":[{{"name":"{LLM}","health-path":"/healthz","max-conns":370,"protocol":"h1","tls":false,
        "engine":{{"slots":64,"kv-capacity":431395,"models":[{{"name":"daka510000","cost":0.023}}]}}}},
        {{"name":"{DESK}","health-path":"/healthz","max-conns":110,"protocol":"h1","tls":false}}],
        "limits":{{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},
        "tenants":[{{"name":"hule930","api-keys":["{KEY}"],"priority":1}},
        {{"name":"fida11","api-keys":["{OTHER_KEY}"],"priority":1}}]}}"#
    )
}
