//! Computes the tables of `docs/CAPACITY.md` from the recorded series.
//!
//! The prose of the page is written by hand. This module renders the part between the markers, and a
//! test checks that the page is up to date.

use anyhow::{Context, Result};

use crate::record::{docs_dir, Series, SeriesByName};

/// Markers around the rendered part of the page.
const MARKERS: (&str, &str) = ("<!-- measured: begin -->\n", "<!-- measured: end -->");

/// Control-plane budget of one host, as required by the users.
pub const CONTROL_BUDGET: ResourceUse =
    ResourceUse { core_percent: 1.7, bytes_per_second: 8_000.0, memory_mib: 32.0 };

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSize {
    /// Name of the deployment in the tables.
    pub name: &'static str,
    /// Number of router hosts.
    pub hosts: f64,
    /// Number of model replicas.
    pub replicas: f64,
    /// Requests per second over all hosts.
    pub requests_per_second: f64,
    /// Configuration changes per day.
    pub changes_per_day: f64,
    /// Interval between two ledger segments that a host writes, in seconds.
    pub flush_interval_s: f64,
}

/// The two present deployments and the target. The request and change rates of the present
/// deployments are assumptions.
pub const SIZES: [DeploymentSize; 3] = [
    DeploymentSize {
        name: "present, larger",
        hosts: 9.0,
        replicas: 24.0,
        requests_per_second: 100.0,
        changes_per_day: 100.0,
        flush_interval_s: 5.0,
    },
    DeploymentSize {
        name: "present, smaller",
        hosts: 7.0,
        replicas: 16.0,
        requests_per_second: 60.0,
        changes_per_day: 100.0,
        flush_interval_s: 5.0,
    },
    DeploymentSize {
        name: "target",
        hosts: 540.0,
        replicas: 4_200.0,
        requests_per_second: 26_000.0,
        changes_per_day: 9_500.0,
        flush_interval_s: 60.0,
    },
];

/// Resource use on one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUse {
    /// CPU use, in percent of one core.
    pub core_percent: f64,
    /// Bytes sent and received per second.
    pub bytes_per_second: f64,
    /// Memory, in MiB.
    pub memory_mib: f64,
}

/// A function of a host with its resource use; `is_control` tells whether the use counts against the
/// control-plane budget.
struct Role {
    name: &'static str,
    is_control: bool,
    resource_use: fn(&RecordedSlopes<'_>, &DeploymentSize) -> ResourceUse,
}

/// Number of bytes per MiB.
const MIB: f64 = 1_048_576.0;

/// Assumed ratio of the memory of a stored item to the size of its JSON.
const JSON_MEMORY_FACTOR: f64 = 4.0;

/// Assumed memory of a pending or held bill, in bytes: three small allocations.
const PENDING_BILL_BYTES: f64 = 400.0;

/// Fraction of the hosts that hold credits in a roll-out stage with half of the traffic.
const ROLLOUT_HOST_SHARE: f64 = 0.5;

/// Interval between two reports of an evidence entry, in milliseconds per host of the fleet
/// (`evidence_ms_a_host`).
const EVIDENCE_INTERVAL_PER_HOST_MS: f64 = 150.0;

/// Factor by which the report interval is longer for evidence entries of the stable version.
const STABLE_INTERVAL_FACTOR: f64 = 3.0;

/// Number of peer connections of a host: three outgoing and about three incoming.
const CONNECTIONS_PER_HOST: f64 = 6.0;

struct RecordedSlopes<'a>(&'a SeriesByName);

impl RecordedSlopes<'_> {
    fn series(&self, name: &str) -> &Series {
        self.0.get(name).unwrap_or_else(|| panic!("series {name} is not recorded"))
    }

    fn estimate_at(&self, name: &str, size: f64) -> f64 {
        self.series(name).estimate_at(size)
    }

    /// Returns the mean of the points, for a series that does not depend on the size.
    fn mean(&self, name: &str) -> f64 {
        let points = &self.series(name).points;
        points.iter().map(|p| p.1).sum::<f64>() / points.len() as f64
    }

    /// Estimates the value at a size, but returns at least the value at the largest measured size. A
    /// decrease within the measured range is not extrapolated.
    fn at_least_last_measured(&self, name: &str, size: f64) -> f64 {
        self.estimate_at(name, size).max(self.last_measured(name))
    }

    /// Returns the value at the largest measured size.
    fn last_measured(&self, name: &str) -> f64 {
        self.series(name).points.last().map_or(0.0, |p| p.1)
    }
}

fn changes_per_second(size: &DeploymentSize) -> f64 {
    size.changes_per_day / 86_400.0
}

fn requests_per_host(size: &DeploymentSize) -> f64 {
    size.requests_per_second / size.hosts
}

/// Functions of a host with their resource use.
const ROLES: [Role; 8] = [
    Role {
        name: "membership, beats, watch, load reads (measured together at rest)",
        is_control: true,
        resource_use: |slopes, size| ResourceUse {
            core_percent: slopes.at_least_last_measured("rest-core", size.hosts),
            bytes_per_second: slopes.at_least_last_measured("rest-bytes", size.hosts),
            memory_mib: slopes.estimate_at("members-bytes", size.hosts) * JSON_MEMORY_FACTOR / MIB,
        },
    },
    Role {
        name: "configuration: spread, copy and view",
        is_control: true,
        resource_use: |slopes, size| ResourceUse {
            core_percent: (slopes.at_least_last_measured("change-core", size.hosts) / 1_000.0
                + slopes.estimate_at("view-build", size.replicas) / 1e6)
                * changes_per_second(size)
                * 100.0,
            bytes_per_second: slopes.at_least_last_measured("change-bytes", size.hosts)
                * changes_per_second(size),
            memory_mib: slopes.estimate_at("config-memory", size.replicas) / MIB,
        },
    },
    Role {
        name: "evidence of one running roll-out",
        is_control: true,
        resource_use: |slopes, size| {
            let bytes_per_entry = slopes.series("evidence-bytes").fit().slope;
            let report_interval_s = EVIDENCE_INTERVAL_PER_HOST_MS * size.hosts / 1_000.0;
            let entries_per_second = size.hosts
                * (ROLLOUT_HOST_SHARE + 1.0 / STABLE_INTERVAL_FACTOR)
                / report_interval_s;
            ResourceUse {
                core_percent: 0.0,
                bytes_per_second: entries_per_second * bytes_per_entry * CONNECTIONS_PER_HOST,
                memory_mib: size.hosts * 2.0 * bytes_per_entry * JSON_MEMORY_FACTOR / MIB,
            }
        },
    },
    Role {
        name: "process at rest: program, threads, libraries",
        is_control: true,
        resource_use: |slopes, size| ResourceUse {
            memory_mib: slopes.estimate_at("resident", size.hosts),
            ..ResourceUse::default()
        },
    },
    Role {
        name: "ledger: copies sent and held, segments",
        is_control: false,
        resource_use: |slopes, size| ResourceUse {
            core_percent: 0.0,
            bytes_per_second: requests_per_host(size)
                * (2.0 * slopes.series("hold-bytes").fit().slope
                    + slopes.series("segment-bytes").fit().slope),
            memory_mib: requests_per_host(size) * size.flush_interval_s * 2.0 * PENDING_BILL_BYTES
                / MIB,
        },
    },
    Role {
        name: "session tokens",
        is_control: false,
        resource_use: |slopes, size| ResourceUse {
            core_percent: requests_per_host(size) * slopes.mean("session-read") / 1e6 * 100.0,
            ..ResourceUse::default()
        },
    },
    Role {
        name: "placement",
        is_control: false,
        resource_use: |slopes, size| ResourceUse {
            core_percent: requests_per_host(size) * slopes.estimate_at("pick", size.replicas) / 1e6
                * 100.0,
            ..ResourceUse::default()
        },
    },
    Role {
        name: "requests themselves: callers' and endpoints' side, 20 events each",
        is_control: false,
        resource_use: |slopes, size| ResourceUse {
            core_percent: requests_per_host(size) * slopes.mean("path-core") / 1_000.0 * 100.0,
            ..ResourceUse::default()
        },
    },
];

/// Computes the total control-plane resource use on one host of a deployment.
pub fn total_control_use(record: &SeriesByName, size: &DeploymentSize) -> ResourceUse {
    let slopes = RecordedSlopes(record);
    let mut total = ResourceUse::default();
    for role in ROLES.iter().filter(|r| r.is_control) {
        let resource_use = (role.resource_use)(&slopes, size);
        total.core_percent += resource_use.core_percent;
        total.bytes_per_second += resource_use.bytes_per_second;
        total.memory_mib += resource_use.memory_mib;
    }
    total
}

/// Estimates the object API reads and writes per second over all hosts, for each load case.
pub fn object_api_calls(
    record: &SeriesByName,
    size: &DeploymentSize,
) -> [(&'static str, f64, f64); 4] {
    let slopes = RecordedSlopes(record);
    let domains = 4.0;
    // The series is measured with four failure domains and does not grow with the number of hosts.
    let idle_reads = slopes.last_measured("rest-reads");
    let writes = size.hosts / size.flush_interval_s;
    let burst_reads = slopes.last_measured("change-reads").max(0.0) * 10.0;
    let failed_hosts = size.hosts / domains;
    [
        ("at rest", idle_reads, writes),
        ("in a burst of 10 changes a second", idle_reads + burst_reads, writes + 10.0),
        (
            "a failure domain lost: its segments written by holders within a flush",
            idle_reads,
            writes + failed_hosts / size.flush_interval_s,
        ),
        (
            "after a long outage, all flush at once (bounded by retry with jitter)",
            idle_reads,
            size.hosts,
        ),
    ]
}

/// Renders the part of the page between the markers.
pub fn render(record: &SeriesByName) -> String {
    let slopes = RecordedSlopes(record);
    let mut out = String::from("\n### Use on one host\n\n");
    for size in &SIZES {
        let DeploymentSize { name, hosts, replicas, requests_per_second, changes_per_day, .. } =
            size;
        out.push_str(&format!(
            "**{name}**: {hosts} hosts, {replicas} replicas, {requests_per_second} requests/s, {changes_per_day} changes a day\n\n\
             | role | core % | bytes/s | MiB |\n|---|---|---|---|\n"
        ));
        for role in &ROLES {
            let resource_use = (role.resource_use)(&slopes, size);
            let suffix = if role.is_control { "" } else { " (traffic)" };
            out.push_str(&format!(
                "| {}{suffix} | {:.3} | {:.0} | {:.2} |\n",
                role.name,
                resource_use.core_percent,
                resource_use.bytes_per_second,
                resource_use.memory_mib
            ));
        }
        let total = total_control_use(record, size);
        out.push_str(&format!(
            "| **control in all** | **{:.2}** of {} | **{:.0}** of {:.0} | **{:.1}** of {} |\n\n",
            total.core_percent,
            CONTROL_BUDGET.core_percent,
            total.bytes_per_second,
            CONTROL_BUDGET.bytes_per_second,
            total.memory_mib,
            CONTROL_BUDGET.memory_mib
        ));
    }
    out.push_str("### Calls on the object API, all hosts, a second\n\n| case | deployment | reads | writes |\n|---|---|---|---|\n");
    for size in &SIZES {
        for (case, reads, writes) in object_api_calls(record, size) {
            out.push_str(&format!("| {case} | {} | {reads:.1} | {writes:.1} |\n", size.name));
        }
    }
    out.push_str("\n### Slopes\n\n| series | unit | over | points | fit | target past the last point |\n|---|---|---|---|---|---|\n");
    for (name, s) in record {
        let points: Vec<String> = s.points.iter().map(|(x, y)| format!("{x}: {y:.3}")).collect();
        let line = s.fit();
        let target = match s.size.as_str() {
            "hosts" => SIZES[2].hosts,
            "replicas" => SIZES[2].replicas,
            _ => s.max_size(),
        };
        out.push_str(&format!(
            "| `{name}` (`{}`) | {} | {} | {} | {:.4} + {:.6} x | {:.1} times |\n",
            s.command,
            s.unit,
            s.size,
            points.join(", "),
            line.intercept,
            line.slope,
            target / s.max_size()
        ));
    }
    out.push('\n');
    out
}

/// Returns the page text with the part between the markers rendered again.
///
/// Returns an error if a marker is missing.
pub fn render_page(text: &str, record: &SeriesByName) -> Result<String> {
    let (before, rest) = text.split_once(MARKERS.0).context("the page has no begin marker")?;
    let (_, after) = rest.split_once(MARKERS.1).context("the page has no end marker")?;
    Ok(format!("{before}{}{}{}{after}", MARKERS.0, render(record), MARKERS.1))
}

/// Reads `docs/CAPACITY.md`.
pub fn read_page() -> Result<String> {
    Ok(std::fs::read_to_string(docs_dir().join("CAPACITY.md"))?)
}

/// Updates the part of `docs/CAPACITY.md` between the markers.
pub fn write_page(record: &SeriesByName) -> Result<()> {
    let text = render_page(&read_page()?, record)?;
    Ok(std::fs::write(docs_dir().join("CAPACITY.md"), text)?)
}
