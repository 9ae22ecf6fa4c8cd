//! `calls`: number of calls to the store by purpose, summed over hosts.

use std::collections::BTreeMap;

use serde::Serialize;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};

/// Timeout of a request to a host, in seconds.
const TIMEOUT_SECONDS: u64 = 3;

/// Start of a sample of the counter of store calls on the metrics page.
const COUNTER_PREFIX: &str = "tidetrack_store_calls_total{";

/// Purpose and result of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct CallPurpose {
    /// Kind of the objects that were read.
    pub kind: String,
    /// Why the store was called.
    pub cause: String,
    /// Maximum age that was allowed for the reply.
    pub age: String,
    /// Result of the call.
    pub result: String,
}

/// Number of calls of one purpose and result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallCount {
    /// Purpose and result.
    #[serde(flatten)]
    pub purpose: CallPurpose,
    /// Number of calls.
    pub calls: u64,
}

/// Reads a host's metrics page.
pub fn fetch_metrics(host: &str) -> Result<String> {
    let error = |reason: String| Error::new(Code::EndpointFailed, format!("{host}: {reason}"));
    let request = minreq::get(format!("http://{host}/metrics")).with_timeout(TIMEOUT_SECONDS);
    let response = request.send().map_err(|e| error(e.to_string()))?;
    if response.status_code != 200 {
        return Err(error(format!("status {}", response.status_code)));
    }
    response.as_str().map(str::to_string).map_err(|e| error(e.to_string()))
}

/// Sums the calls on the given metrics pages, most frequent first. Lines of other metrics or in
/// another format are skipped, because hosts of other releases may report other metrics.
pub fn sum_calls<'a>(pages: impl IntoIterator<Item = &'a str>) -> Vec<CallCount> {
    let mut sums: BTreeMap<CallPurpose, u64> = BTreeMap::new();
    for (purpose, calls) in pages.into_iter().flat_map(str::lines).filter_map(parse_line) {
        *sums.entry(purpose).or_default() += calls;
    }
    let mut counts: Vec<CallCount> =
        sums.into_iter().map(|(purpose, calls)| CallCount { purpose, calls }).collect();
    counts.sort_by_key(|count| std::cmp::Reverse(count.calls));
    counts
}

fn parse_line(line: &str) -> Option<(CallPurpose, u64)> {
    let (labels, value) = line.strip_prefix(COUNTER_PREFIX)?.split_once("} ")?;
    let mut purpose = CallPurpose::default();
    for label in labels.split(',') {
        let (name, text) = label.split_once('=')?;
        let text = text.trim_matches('"').to_string();
        match name {
            "kind" => purpose.kind = text,
            "cause" => purpose.cause = text,
            "age" => purpose.age = text,
            "result" => purpose.result = text,
            _ => {}
        }
    }
    let value: f64 = value.split_whitespace().next()?.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some((purpose, value as u64))
}

/// Formats the sums as a table.
pub fn render(counts: &[CallCount]) -> String {
    let mut out = String::from("   calls  kind       cause         age      result\n");
    for CallCount { purpose, calls } in counts {
        let CallPurpose { kind, cause, age, result } = purpose;
        out.push_str(&format!("{calls:>8}  {kind:<9}  {cause:<12}  {age:<7}  {result}\n"));
    }
    out
}
