//! `calls`: how often hosts called the store, by what for, summed over them.

use std::collections::BTreeMap;

use serde::Serialize;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};

/// Seconds that a host may take to answer.
const TIMEOUT_SECONDS: u64 = 3;

/// The counter of calls, as the metrics page names it.
const COUNTER_PREFIX: &str = "tidetrack_store_calls_total{";

/// What a call was for and how it went.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct CallPurpose {
    /// The kind of objects.
    pub kind: String,
    /// Why the store was called.
    pub cause: String,
    /// How old the reply might be.
    pub age: String,
    /// How the call went.
    pub result: String,
}

/// A purpose with its calls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CallCount {
    /// What for.
    #[serde(flatten)]
    pub purpose: CallPurpose,
    /// How many.
    pub calls: u64,
}

/// Gets one host's metrics page.
pub fn fetch_metrics(host: &str) -> Result<String> {
    let error = |reason: String| Error::new(Code::EndpointFailed, format!("{host}: {reason}"));
    let request = minreq::get(format!("http://{host}/metrics")).with_timeout(TIMEOUT_SECONDS);
    let response = request.send().map_err(|e| error(e.to_string()))?;
    if response.status_code != 200 {
        return Err(error(format!("status {}", response.status_code)));
    }
    response.as_str().map(str::to_string).map_err(|e| error(e.to_string()))
}

/// Sums the calls that metrics pages tell, the most frequent first. Other lines, and such of another form, are passed
/// over: a host of another release may tell more.
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

/// Renders sums for a person.
pub fn render(counts: &[CallCount]) -> String {
    let mut out = String::from("   calls  kind       cause         age      result\n");
    for CallCount { purpose, calls } in counts {
        let CallPurpose { kind, cause, age, result } = purpose;
        out.push_str(&format!("{calls:>8}  {kind:<9}  {cause:<12}  {age:<7}  {result}\n"));
    }
    out
}
