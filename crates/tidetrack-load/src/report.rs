//! Report of a load and the comparison of two reports.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::{Deserialize, Serialize};

/// Quantiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// Results of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Seed of the random requests.
    pub seed: u64,
    /// Requests sent.
    pub requests: u64,
    /// Requests with a complete, successful response.
    pub answered: u64,
    /// Successful responses per second.
    pub per_second: f64,
    /// Time from the request to the first bytes of the response body of chat requests.
    pub first: Quantiles,
    /// Time from the request to the end of the response of chat requests.
    pub whole: Quantiles,
    /// Number of successful chat responses by version.
    pub versions: BTreeMap<String, u64>,
    /// Number of refused and failed requests by result code.
    pub codes: BTreeMap<String, u64>,
    /// Number of violations by guarantee. Empty if all guarantees held.
    pub broken: BTreeMap<String, u64>,
}

impl Report {
    /// Renders the report as human-readable text.
    pub fn render(&self) -> String {
        let mut out = String::new();
        let Report { seed, requests, answered, per_second, first, whole, .. } = self;
        // Writing to a string does not fail.
        let _ = writeln!(
            out,
            "seed {seed}: {requests} requests, {answered} answered, {per_second:.1}/s"
        );
        for (name, quantiles) in [("first bytes", first), ("full response", whole)] {
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

/// Renders two reports side by side, with the relative change of each figure.
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
    row("answered per s", before.per_second, after.per_second);
    row("first p50 ms", before.first.p50, after.first.p50);
    row("first p95 ms", before.first.p95, after.first.p95);
    row("first p99 ms", before.first.p99, after.first.p99);
    row("complete p50 ms", before.whole.p50, after.whole.p50);
    row("complete p99 ms", before.whole.p99, after.whole.p99);
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
