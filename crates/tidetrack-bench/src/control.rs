//! Measures the control-plane cost per host with real router processes and the real transport.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};

use tidetrack_core::config::{Object, ObjectKey, ObjectKind};
use tidetrack_testkit::fleet::{Fleet, FleetOptions};
use tidetrack_wire::platform::config_object_name;

use crate::record::{SeriesByName, SeriesCollector};

const COMMAND: &str = "tidetrack-bench control";

/// Time for a started fleet to become idle.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);

/// Number of configuration changes whose propagation is timed.
const TIMED_CHANGES: usize = 12;

/// Pause between changes while their bytes and CPU time are measured.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Clock ticks per second of CPU time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the path of the router binary in the directory of the current executable.
///
/// Returns an error if the router has not been built.
pub fn router_binary() -> Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let path = executable
        .parent()
        .context("the executable has no parent directory")?
        .join("tidetrack-router");
    anyhow::ensure!(path.exists(), "build tidetrack-router first: {}", path.display());
    Ok(path)
}

/// Returns the number of bytes that the loopback device has sent.
fn loopback_bytes() -> Result<u64> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find(|l| l.trim_start().starts_with("lo:")).context("lo")?;
    let fields: Vec<&str> = line.split_whitespace().collect();
    // Field 0 is the name, fields 1 to 8 count received data, and field 9 is the bytes sent.
    Ok(fields[9].parse()?)
}

struct ResourceSample {
    cpu_ticks: u64,
    bytes: u64,
    reads: u64,
    taken_at: Instant,
}

fn take_sample(fleet: &Fleet) -> Result<ResourceSample> {
    let cpu_ticks: Result<Vec<u64>> = fleet.hosts.iter().map(|h| h.process().cpu_ticks()).collect();
    let counts = fleet.platform_standin.counts();
    Ok(ResourceSample {
        cpu_ticks: cpu_ticks?.iter().sum(),
        bytes: loopback_bytes()?,
        reads: counts.reads + counts.watches,
        taken_at: Instant::now(),
    })
}

struct ResourceRates {
    core_percent: f64,
    bytes: f64,
    reads: f64,
}

/// Computes the average resource use between two samples: per host for CPU and bytes, in total for
/// object API reads.
fn resource_rates(hosts: usize, from: &ResourceSample, to: &ResourceSample) -> ResourceRates {
    let seconds = (to.taken_at - from.taken_at).as_secs_f64();
    let host_seconds = seconds * hosts as f64;
    ResourceRates {
        core_percent: (to.cpu_ticks - from.cpu_ticks) as f64 / TICKS_PER_SECOND / host_seconds
            * 100.0,
        // Every loopback byte counts twice: once for its sender and once for its receiver.
        bytes: (to.bytes - from.bytes) as f64 * 2.0 / host_seconds,
        reads: (to.reads - from.reads) as f64 / seconds,
    }
}

/// Changes the description of a model, which affects no routing decision, and returns the new
/// revision.
fn write_change(fleet: &Fleet, text: &str) -> Result<u64> {
    let key = ObjectKey::new(ObjectKind::Model, "model");
    let there = fleet.platform_client.fetch(&config_object_name(&key))?;
    let mut object = Object::from_json(ObjectKind::Model, &there.body.unwrap_or_default())?;
    if let Object::Model(model) = &mut object {
        model.description = text.to_string();
    }
    Ok(fleet
        .platform_client
        .write(&config_object_name(&key), there.version, &object.to_json())?
        .version)
}

/// Writes one change and returns the milliseconds until it is in force on each host.
fn measure_propagation(fleet: &Fleet, text: &str) -> Result<Vec<f64>> {
    let from = Instant::now();
    let revision = write_change(fleet, text)?;
    let mut pending_hosts: Vec<usize> = (0..fleet.hosts.len()).collect();
    let mut times = Vec::new();
    while !pending_hosts.is_empty() {
        anyhow::ensure!(
            from.elapsed() < Duration::from_secs(30),
            "a configuration change is not in force on all hosts after 30 s"
        );
        pending_hosts.retain(|h| {
            let there = fleet.hosts[*h].status().is_some_and(|s| s.applied_revision >= revision);
            if there {
                times.push(from.elapsed().as_secs_f64() * 1_000.0);
            }
            !there
        });
    }
    Ok(times)
}

/// Measures one fleet for each of the given numbers of hosts.
pub fn run(sizes: &[usize]) -> Result<SeriesByName> {
    let binary = router_binary()?;
    let mut collector = SeriesCollector::default();
    for hosts in sizes {
        eprintln!("control: measuring {hosts} hosts");
        let options = FleetOptions {
            hosts: *hosts,
            domains: 4,
            threads: 16,
            bypasses_proxies: true,
            ..FleetOptions::default()
        };
        let fleet = Fleet::start(&binary, options)?;
        measure(&fleet, &mut collector)?;
    }
    Ok(collector.into_series())
}

fn measure(fleet: &Fleet, collector: &mut SeriesCollector) -> Result<()> {
    let hosts = fleet.hosts.len();
    let n = hosts as f64;
    std::thread::sleep(SETTLE_TIME);
    let from = take_sample(fleet)?;
    std::thread::sleep(MEASUREMENT_TIME);
    let to = take_sample(fleet)?;
    let idle_rates = resource_rates(hosts, &from, &to);
    let resident: Result<Vec<u64>> =
        fleet.hosts.iter().map(|h| h.process().resident_kib()).collect();
    let resident = resident?.iter().sum::<u64>() as f64 / n / 1024.0;

    let from = take_sample(fleet)?;
    let mut changes = 0;
    while from.taken_at.elapsed() < MEASUREMENT_TIME {
        write_change(fleet, &format!("change {changes}"))?;
        changes += 1;
        std::thread::sleep(CHANGE_INTERVAL);
    }
    let to = take_sample(fleet)?;
    let changing_rates = resource_rates(hosts, &from, &to);
    let per_second = f64::from(changes) / (to.taken_at - from.taken_at).as_secs_f64();

    let mut times = Vec::new();
    for i in 0..TIMED_CHANGES {
        times.extend(measure_propagation(fleet, &format!("timed {i}"))?);
    }
    times.sort_by(f64::total_cmp);
    let mut add_point = |name: &str, unit: &str, value: f64| {
        collector.add_point(name, (unit, "hosts", COMMAND), n, value);
    };
    add_point("rest-core", "% of a core", idle_rates.core_percent);
    add_point("rest-bytes", "bytes/s a host", idle_rates.bytes);
    add_point("rest-reads", "object API reads/s in all", idle_rates.reads);
    add_point("resident", "MiB", resident);
    add_point(
        "change-bytes",
        "bytes a host and change",
        (changing_rates.bytes - idle_rates.bytes) / per_second,
    );
    add_point(
        "change-core",
        "core ms a host and change",
        (changing_rates.core_percent - idle_rates.core_percent) / per_second * 10.0,
    );
    add_point(
        "change-reads",
        "object API reads a change",
        (changing_rates.reads - idle_rates.reads) / per_second,
    );
    add_point("in-force-median", "ms", times[times.len() / 2]);
    add_point("in-force-worst", "ms", times[times.len() - 1]);
    Ok(())
}
