//! `bill`: totals of the ledger.

use std::fmt::Write;

use tidetrack_core::errors::Result;
use tidetrack_core::ledger::{sum_segments, LedgerTotals};
use tidetrack_router::billing::read_ledger;
use tidetrack_wire::platform::PlatformClient;

/// Reads the ledger and sums it up.
pub fn totals(platform: &PlatformClient) -> Result<LedgerTotals> {
    let segments = read_ledger(platform)?;
    Ok(sum_segments(segments.values()))
}

/// Formats totals as a table.
pub fn render(totals: &LedgerTotals) -> String {
    let mut out = String::from(
        "workspace        version              requests   tokens in  tokens out        cost\n",
    );
    let mut cost = 0;
    for ((workspace, version), t) in &totals.by_version {
        cost += t.cost.0;
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "{:<16} {:<20} {:>8}  {:>10}  {:>10}  {:>10}",
            workspace.as_str(),
            version.to_string(),
            t.requests,
            t.tokens_in,
            t.tokens_out,
            t.cost.0
        );
    }
    let LedgerTotals { requests, duplicates, truncated, .. } = totals;
    let _ = writeln!(
        out,
        "{requests} requests, {truncated} cut off, {duplicates} duplicates; cost {cost} micros"
    );
    out
}

/// Converts totals to JSON.
pub fn to_json(totals: &LedgerTotals) -> serde_json::Value {
    let rows = totals.by_version.iter().map(|((workspace, version), t)| {
        serde_json::json!({"workspace": workspace, "version": version, "total": t})
    });
    serde_json::json!({
        "requests": totals.requests,
        "repeats": totals.duplicates,
        "broken": totals.truncated,
        "rows": rows.collect::<Vec<_>>(),
    })
}
