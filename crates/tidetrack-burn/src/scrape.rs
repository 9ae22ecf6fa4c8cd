//! Snapshots of the objective counters of routers.

use std::collections::HashMap;
use std::io::Write;
use std::path::Path;

use anyhow::{ensure, Context, Result};
use prometheus_parse::{Scrape, Value};
use serde::{Deserialize, Serialize};

/// Counter of requests by objective and result, exported by routers.
const COUNTER_NAME: &str = "tidetrack_objective_total";

/// Timeout of a request to a host, in seconds.
const TIMEOUT_SECONDS: u64 = 5;

/// A counter of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Host that exported the counter.
    pub host: String,
    /// Name of the objective, `workspace/route`.
    pub objective: String,
    /// Version that served the requests; empty if there was none.
    pub version: String,
    /// Failure domain of the endpoint; empty if no endpoint was chosen.
    pub failure_domain: String,
    /// Whether the counted requests met the objective.
    #[serde(rename = "good")]
    pub is_good: bool,
    /// Number of requests since the host was started.
    pub count: f64,
}

/// Counters of all hosts at one time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Seconds since the first snapshot of the same run.
    pub at: u64,
    /// The counters.
    pub rows: Vec<Row>,
}

/// Parses the objective counters on a host's metrics page.
pub fn parse_rows(host: &str, text: &str) -> Result<Vec<Row>> {
    let lines = text.lines().map(|l| Ok(l.to_string()));
    let scrape =
        Scrape::parse(lines).context("the metrics page is not in the Prometheus text format")?;
    let samples = scrape.samples.into_iter().filter(|s| s.metric == COUNTER_NAME);
    Ok(samples
        .filter_map(|s| {
            let label = |name| s.labels.get(name).unwrap_or_default().to_string();
            let (Value::Counter(count) | Value::Gauge(count) | Value::Untyped(count)) = s.value
            else {
                return None;
            };
            Some(Row {
                host: host.to_string(),
                objective: label("objective"),
                version: label("version"),
                failure_domain: label("failure_domain"),
                is_good: label("good") == "true",
                count,
            })
        })
        .collect())
}

/// Takes a snapshot of all hosts. A host that does not respond is reported on standard error and
/// left out.
pub fn take_snapshot(hosts: &[String], at: u64) -> Result<Snapshot> {
    ensure!(!hosts.is_empty(), "--host is required");
    let mut snapshot = Snapshot { at, rows: Vec::new() };
    for host in hosts {
        let response =
            minreq::get(format!("http://{host}/metrics")).with_timeout(TIMEOUT_SECONDS).send();
        match response {
            Ok(response) => snapshot.rows.extend(parse_rows(host, response.as_str()?)?),
            Err(e) => eprintln!("{host}: {e}"),
        }
    }
    Ok(snapshot)
}

/// Appends a snapshot to a file as a line of JSON.
pub fn append_snapshot(file: &Path, snapshot: &Snapshot) -> Result<()> {
    let mut f = std::fs::OpenOptions::new().create(true).append(true).open(file)?;
    Ok(writeln!(f, "{}", serde_json::to_string(snapshot)?)?)
}

/// Parses a file of snapshots. An error names the line that cannot be parsed.
pub fn read_snapshots(file: &str, text: &str) -> Result<Vec<Snapshot>> {
    let lines = text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty());
    lines
        .map(|(i, line)| serde_json::from_str(line).with_context(|| format!("{file}:{}", i + 1)))
        .collect()
}

/// Computes the increase of each counter from one snapshot to the next. A counter that has
/// decreased was reset to 0 by a restart. The first snapshot counts in full.
pub fn deltas(snapshots: &[Snapshot]) -> Vec<Snapshot> {
    type Key = (String, String, String, String, bool);
    let mut last: HashMap<Key, f64> = HashMap::new();
    let mut deltas = Vec::new();
    for snapshot in snapshots {
        let mut delta = Snapshot { at: snapshot.at, rows: Vec::new() };
        for row in &snapshot.rows {
            let Row { host, objective, version, failure_domain, is_good, count } = row.clone();
            let key = (host, objective, version, failure_domain, is_good);
            let previous = last.insert(key, count).unwrap_or(0.0);
            let added = if count >= previous { count - previous } else { count };
            delta.rows.push(Row { count: added, ..row.clone() });
        }
        deltas.push(delta);
    }
    deltas
}

#[cfg(test)]
mod tests {
    use super::*;

    const TEXT: &str = "# TYPE tidetrack_objective_total counter\n\
        tidetrack_objective_total{good=\"true\",objective=\"w/r\",version=\"m@1\",failure_domain=\"d\"} 9\n\
        tidetrack_objective_total{good=\"false\",objective=\"w/r\",version=\"m@1\",failure_domain=\"d\"} 1\n";

    #[test]
    fn counter_that_restarts_counts_from_zero() {
        let rows = parse_rows("h", TEXT).expect("the metrics rows parse");
        let again = parse_rows("h", &TEXT.replace("} 9", "} 4")).expect("the metrics rows parse");
        let deltas = deltas(&[Snapshot { at: 0, rows }, Snapshot { at: 10, rows: again }]);
        let good_counts: Vec<f64> =
            deltas.iter().flat_map(|s| &s.rows).filter(|r| r.is_good).map(|r| r.count).collect();
        assert_eq!(good_counts, [9.0, 4.0]);
    }
}
