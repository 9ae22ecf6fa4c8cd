//! Burn rates over several windows, and the remaining budget of each objective.
//!
//! A burn rate of 1 uses up the error budget in exactly the number of days that the objective
//! covers. A short window shows a sudden fault, a long one a lasting fault. An alarm is only raised
//! if the burn rate is high in both.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use tidetrack_core::config::Object;
use tidetrack_core::declare::DeclaredObjects;

use crate::scrape::{deltas, Snapshot};

/// Length of each window in seconds, with the burn rate from which it counts as high.
pub const WINDOWS: [(u64, f64); 4] = [(300, 14.4), (3_600, 14.4), (21_600, 6.0), (259_200, 1.0)];

/// Number of requests that met an objective, and of those that did not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RequestCounts {
    /// Requests that met the objective.
    pub good: f64,
    /// Requests that did not meet the objective.
    pub bad: f64,
}

impl RequestCounts {
    fn add(&mut self, is_good: bool, count: f64) {
        if is_good {
            self.good += count;
        } else {
            self.bad += count;
        }
    }

    /// Returns the burn rate for a target share of good requests; 0 if there were no requests.
    pub fn burn_rate(&self, target: f64) -> f64 {
        let all = self.good + self.bad;
        if all > 0.0 {
            self.bad / all / (1.0 - target)
        } else {
            0.0
        }
    }
}

/// Burn rate over one window.
#[derive(Clone, Debug, Serialize)]
pub struct Window {
    /// Length of the window in seconds.
    pub seconds: u64,
    /// Whether the snapshots cover the entire window.
    #[serde(rename = "covered")]
    pub is_covered: bool,
    /// Burn rate over the window.
    pub rate: f64,
    /// Whether the burn rate has reached the window's limit.
    #[serde(rename = "high")]
    pub is_high: bool,
}

/// Burn rates and remaining budget of one objective.
#[derive(Clone, Debug, Serialize)]
pub struct ObjectiveReport {
    /// Name of the objective, `workspace/route`.
    pub objective: String,
    /// Share of requests that must be good, from 0 to 1.
    pub target: f64,
    /// Requests in all snapshots.
    #[serde(rename = "met")]
    pub counts: RequestCounts,
    /// Remaining share of the error budget of all requests in the snapshots; negative if it is
    /// exceeded.
    pub budget_left: f64,
    /// Burn rates by window, shortest window first.
    pub windows: Vec<Window>,
    /// Whether the burn rate is high in both of the two shortest windows.
    #[serde(rename = "alarm")]
    pub is_alarm: bool,
    /// Burn rates by version.
    pub versions: BTreeMap<String, f64>,
    /// Burn rates by failure domain.
    pub failure_domains: BTreeMap<String, f64>,
    /// Burn rate between consecutive snapshots, with the time of the later one in seconds.
    #[serde(rename = "steps")]
    pub interval_rates: Vec<(u64, f64)>,
}

/// Computes the burn rates of all declared objectives.
pub fn report(snapshots: &[Snapshot], declared: &DeclaredObjects) -> Vec<ObjectiveReport> {
    let deltas = deltas(snapshots);
    let objectives = declared.values().filter_map(|object| match object {
        Object::Objective(o) => Some((format!("{}/{}", o.workspace, o.route), o.target)),
        _ => None,
    });
    objectives.map(|(name, target)| objective_report(&name, target, &deltas)).collect()
}

fn objective_report(name: &str, target: f64, deltas: &[Snapshot]) -> ObjectiveReport {
    let end = deltas.last().map_or(0, |s| s.at);
    let start = deltas.first().map_or(0, |s| s.at);
    let mut counts = RequestCounts::default();
    let mut by_version: BTreeMap<String, RequestCounts> = BTreeMap::new();
    let mut by_domain: BTreeMap<String, RequestCounts> = BTreeMap::new();
    let mut by_interval: Vec<(u64, RequestCounts)> = Vec::new();
    for delta in deltas {
        let mut in_interval = RequestCounts::default();
        for row in delta.rows.iter().filter(|r| r.objective == name) {
            counts.add(row.is_good, row.count);
            in_interval.add(row.is_good, row.count);
            by_version.entry(row.version.clone()).or_default().add(row.is_good, row.count);
            by_domain.entry(row.failure_domain.clone()).or_default().add(row.is_good, row.count);
        }
        by_interval.push((delta.at, in_interval));
    }
    let windows: Vec<Window> = WINDOWS
        .iter()
        .map(|(seconds, limit)| {
            let mut in_window = RequestCounts::default();
            for (_, m) in by_interval.iter().filter(|(at, _)| at + seconds >= end) {
                in_window.good += m.good;
                in_window.bad += m.bad;
            }
            let rate = in_window.burn_rate(target);
            Window {
                seconds: *seconds,
                is_covered: end - start >= *seconds,
                rate,
                is_high: rate >= *limit,
            }
        })
        .collect();
    let rates = |by: BTreeMap<String, RequestCounts>| {
        by.into_iter().map(|(name, m)| (name, m.burn_rate(target))).collect()
    };
    ObjectiveReport {
        objective: name.to_string(),
        target,
        counts,
        budget_left: 1.0 - counts.burn_rate(target),
        is_alarm: windows[0].is_high && windows[1].is_high,
        windows,
        versions: rates(by_version),
        failure_domains: rates(by_domain),
        interval_rates: by_interval.iter().map(|(at, m)| (*at, m.burn_rate(target))).collect(),
    }
}

/// Formats the report as text.
pub fn render(report: &[ObjectiveReport]) -> String {
    let mut out = String::new();
    for b in report {
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "{}: target {:.3}; {:.0} of {:.0} met; budget left {:.0}%{}",
            b.objective,
            b.target,
            b.counts.good,
            b.counts.good + b.counts.bad,
            b.budget_left * 100.0,
            if b.is_alarm { "; ALARM" } else { "" }
        );
        for w in &b.windows {
            let note = if w.is_covered { "" } else { " (not covered yet)" };
            let high_note = if w.is_high { " HIGH" } else { "" };
            let _ = writeln!(
                out,
                "  last {:>6} s: burn rate {:.2}{high_note}{note}",
                w.seconds, w.rate
            );
        }
        for (what, rates) in [("version", &b.versions), ("failure domain", &b.failure_domains)] {
            for (name, rate) in rates {
                let name = if name.is_empty() { "none" } else { name };
                let _ = writeln!(out, "  {what} {name}: burn rate {rate:.2}");
            }
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scrape::Row;

    fn snapshot(at: u64, good: f64, bad: f64) -> Snapshot {
        let row = |is_good: bool, count: f64| Row {
            host: "h".into(),
            objective: "w/r".into(),
            version: "m@1".into(),
            failure_domain: "d".into(),
            is_good,
            count,
        };
        Snapshot { at, rows: vec![row(true, good), row(false, bad)] }
    }

    #[test]
    fn short_error_burst_raises_short_window_only() {
        let mut all = vec![snapshot(0, 0.0, 0.0), snapshot(10_000, 100_000.0, 0.0)];
        all.push(snapshot(10_100, 100_500.0, 500.0));
        let objective = objective_report("w/r", 0.95, &deltas(&all));
        assert!(
            (objective.windows[0].rate - 10.0).abs() < 11.0 && objective.windows[0].rate > 0.05
        );
        assert!(objective.windows[2].rate < 1.0);
        assert!(!objective.is_alarm);
        assert!((objective.budget_left - (1.0 - 500.0 / 101_000.0 / 0.05)).abs() < 1e-9);
    }
}
