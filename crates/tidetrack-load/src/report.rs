//! What came of a load, and how two of them compare.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};

/// Quantiles of a time in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// 95 in 100.
    pub p95: f64,
    /// 99 in 100.
    pub p99: f64,
}

/// What came of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Requests sent.
    pub requests: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Answered requests a second.
    pub per_second: f64,
    /// Time to the first event of a stream.
    pub first: Quantiles,
    /// Time to the end.
    pub whole: Quantiles,
    /// Answers by version.
    pub versions: BTreeMap<String, u64>,
    /// Refusals and failures by code.
    pub codes: BTreeMap<String, u64>,
    /// Broken promises, by name. Must be empty.
    pub broken: BTreeMap<String, u64>,
}

impl Report {
    /// Renders the report for a person.
    pub fn render(&self) -> String {
        let mut out = String::new();
        let Report { seed, requests, answered, per_second, first, whole, .. } = self;
        // Writing to a string does not fail.
        let _ = writeln!(
            out,
            "seed {seed}: {requests} requests, {answered} answered, {per_second:.1}/s"
        );
        for (name, quantiles) in [("first event", first), ("whole answer", whole)] {
            let _ = writeln!(
                out,
                "{name:<13} p50 {:.1}  p95 {:.1}  p99 {:.1} ms",
                quantiles.p50, quantiles.p95, quantiles.p99
            );
        }
        for (label, counts) in
            [("version", &self.versions), ("code", &self.codes), ("BROKEN", &self.broken)]
        {
            counts
                .iter()
                .for_each(|(name, count)| out.push_str(&format!("{label} {name}: {count}\n")));
        }
        out
    }
}

/// Renders two reports side by side.
pub fn compare(before: &Report, after: &Report) -> String {
    let mut out = String::from("                     before      after   change\n");
    let mut row = |name: &str, before_value: f64, after_value: f64| {
        let change =
            if before_value > 0.0 { (after_value / before_value - 1.0) * 100.0 } else { 0.0 };
        // Writing to a string does not fail.
        let _ =
            writeln!(out, "{name:<16} {before_value:>10.1} {after_value:>10.1} {change:>+7.1}%");
    };
    row("answered", before.answered as f64, after.answered as f64);
    row("answered a s", before.per_second, after.per_second);
    row("first p50 ms", before.first.p50, after.first.p50);
    row("first p95 ms", before.first.p95, after.first.p95);
    row("first p99 ms", before.first.p99, after.first.p99);
    row("whole p50 ms", before.whole.p50, after.whole.p50);
    row("whole p99 ms", before.whole.p99, after.whole.p99);
    row("broken", sum(&before.broken), sum(&after.broken));
    out
}

fn sum(counts: &BTreeMap<String, u64>) -> f64 {
    counts.values().sum::<u64>() as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn violated_guarantees_are_rendered() {
        let broken = [("a session moved".to_string(), 2)].into();
        let text = Report { broken, ..Report::default() }.render();
        assert!(text.contains("BROKEN a session moved: 2"), "{text}");
    }
}
