//! Burn rates over several windows, and what is left of each budget.
//!
//! A burn rate of 1 uses a budget up in just the objective's days. A fast window shows a sudden fault;
//! a slow one shows what goes on for long. Both must be high before anyone is woken.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use tidetrack_core::config::Object;
use tidetrack_core::declare::DeclaredObjects;

use crate::scrape::{steps, Snapshot};

/// Windows in seconds, with the burn rate above which each counts as high.
pub const WINDOWS: [(u64, f64); 4] = [(300, 14.4), (3_600, 14.4), (21_600, 6.0), (259_200, 1.0)];

/// Requests that met an objective and requests that did not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Met {
    /// They did.
    pub good: f64,
    /// They did not.
    pub bad: f64,
}

impl Met {
    fn add(&mut self, good: bool, count: f64) {
        if good {
            self.good += count;
        } else {
            self.bad += count;
        }
    }

    /// Gets the burn rate against a target.
    pub fn rate(&self, target: f64) -> f64 {
        let all = self.good + self.bad;
        if all > 0.0 {
            self.bad / all / (1.0 - target)
        } else {
            0.0
        }
    }
}

/// The burn rate over one window.
#[derive(Clone, Debug, Serialize)]
pub struct Window {
    /// Its length in seconds.
    pub seconds: u64,
    /// Whether the snapshots reach back that far.
    pub covered: bool,
    /// The burn rate.
    pub rate: f64,
    /// Whether that is high.
    pub high: bool,
}

/// The burn of one objective.
#[derive(Clone, Debug, Serialize)]
pub struct Burn {
    /// `workspace/route`.
    pub objective: String,
    /// Share that must be met.
    pub target: f64,
    /// Over all snapshots.
    pub met: Met,
    /// Share of the budget of what was seen that is left; below 0 it is overdrawn.
    pub budget_left: f64,
    /// By window.
    pub windows: Vec<Window>,
    /// Fast and slow windows are both high.
    pub alarm: bool,
    /// Burn rate by version.
    pub versions: BTreeMap<String, f64>,
    /// Burn rate by failure domain.
    pub failure_domains: BTreeMap<String, f64>,
    /// Burn rate of each step between snapshots: seconds and rate.
    pub steps: Vec<(u64, f64)>,
}

/// Works out the burn of every declared objective.
pub fn report(snapshots: &[Snapshot], declared: &DeclaredObjects) -> Vec<Burn> {
    let steps = steps(snapshots);
    let objectives = declared.values().filter_map(|object| match object {
        Object::Objective(o) => Some((format!("{}/{}", o.workspace, o.route), o.target)),
        _ => None,
    });
    objectives.map(|(name, target)| burn_of(&name, target, &steps)).collect()
}

fn burn_of(name: &str, target: f64, steps: &[Snapshot]) -> Burn {
    let end = steps.last().map_or(0, |s| s.at);
    let begin = steps.first().map_or(0, |s| s.at);
    let mut met = Met::default();
    let mut by_version: BTreeMap<String, Met> = BTreeMap::new();
    let mut by_domain: BTreeMap<String, Met> = BTreeMap::new();
    let mut by_step: Vec<(u64, Met)> = Vec::new();
    for step in steps {
        let mut in_step = Met::default();
        for row in step.rows.iter().filter(|r| r.objective == name) {
            met.add(row.good, row.count);
            in_step.add(row.good, row.count);
            by_version.entry(row.version.clone()).or_default().add(row.good, row.count);
            by_domain.entry(row.failure_domain.clone()).or_default().add(row.good, row.count);
        }
        by_step.push((step.at, in_step));
    }
    let windows: Vec<Window> = WINDOWS
        .iter()
        .map(|(seconds, limit)| {
            let mut in_window = Met::default();
            for (_, m) in by_step.iter().filter(|(at, _)| at + seconds >= end) {
                in_window.good += m.good;
                in_window.bad += m.bad;
            }
            let rate = in_window.rate(target);
            Window {
                seconds: *seconds,
                covered: end - begin >= *seconds,
                rate,
                high: rate >= *limit,
            }
        })
        .collect();
    let rates = |by: BTreeMap<String, Met>| {
        by.into_iter().map(|(name, m)| (name, m.rate(target))).collect()
    };
    Burn {
        objective: name.to_string(),
        target,
        met,
        budget_left: 1.0 - met.rate(target),
        alarm: windows[0].high && windows[1].high,
        windows,
        versions: rates(by_version),
        failure_domains: rates(by_domain),
        steps: by_step.iter().map(|(at, m)| (*at, m.rate(target))).collect(),
    }
}

/// Renders the report for a person.
pub fn render(report: &[Burn]) -> String {
    let mut out = String::new();
    for b in report {
        // Writing to a string does not fail.
        let _ = writeln!(
            out,
            "{}: target {:.3}; {:.0} of {:.0} met; budget left {:.0}%{}",
            b.objective,
            b.target,
            b.met.good,
            b.met.good + b.met.bad,
            b.budget_left * 100.0,
            if b.alarm { "; ALARM" } else { "" }
        );
        for w in &b.windows {
            let note = if w.covered { "" } else { " (not covered yet)" };
            let high = if w.high { " HIGH" } else { "" };
            let _ = writeln!(out, "  last {:>6} s: burn rate {:.2}{high}{note}", w.seconds, w.rate);
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
        let row = |good: bool, count: f64| Row {
            host: "h".into(),
            objective: "w/r".into(),
            version: "m@1".into(),
            failure_domain: "d".into(),
            good,
            count,
        };
        Snapshot { at, rows: vec![row(true, good), row(false, bad)] }
    }

    #[test]
    fn a_sudden_fault_raises_the_fast_window_only() {
        let mut all = vec![snapshot(0, 0.0, 0.0), snapshot(10_000, 100_000.0, 0.0)];
        all.push(snapshot(10_100, 100_500.0, 500.0));
        let burn = burn_of("w/r", 0.95, &steps(&all));
        assert!((burn.windows[0].rate - 10.0).abs() < 11.0 && burn.windows[0].rate > 0.05);
        assert!(burn.windows[2].rate < 1.0);
        assert!(!burn.alarm);
        assert!((burn.budget_left - (1.0 - 500.0 / 101_000.0 / 0.05)).abs() < 1e-9);
    }
}
