//! `explain`: shows the log lines of one request from several hosts, or of all requests with the
//! same fingerprint.
//!
//! The lines are sorted by time and include the inputs of each decision. In between are changes of
//! state that the same hosts logged during the request or shortly before: for example a lost
//! connection to the store, an endpoint that left, or a barred version.

use std::collections::BTreeSet;
use std::fmt::Write;

use serde_json::{Map, Value};

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::traffic::fingerprint::Fingerprint;

/// Time before the request, in seconds, from which changes of state are included: a lost store
/// affects requests only once its last proof is too old.
const CONTEXT_SECONDS: f64 = 6.0;

/// Fields that are printed at the start of the line or omitted.
const OMITTED_FIELDS: [&str; 7] = ["time", "host", "msg", "event", "level", "left_out", "request"];

struct LogLine {
    time: f64,
    host: String,
    event: String,
    request: Option<String>,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line. Text before the opening brace is a prefix added by another program and is
    /// ignored. Returns `None` for other lines.
    fn parse(text: &str) -> Option<LogLine> {
        let fields: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let string = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_string);
        Some(LogLine {
            time: fields.get("time").and_then(Value::as_f64).unwrap_or(0.0),
            host: string("host")?,
            event: string("event")?,
            request: string("request"),
            fields,
        })
    }

    /// Reports whether the line is about the state of the store, of other hosts or of endpoints
    /// rather than about a request.
    fn is_state_change(&self) -> bool {
        self.event.starts_with("E2") || self.event.starts_with("E1")
    }

    /// Reports whether a field of the line contains `text`.
    fn mentions(&self, text: &str) -> bool {
        self.fields.values().filter_map(Value::as_str).any(|value| value.contains(text))
    }

    fn render(&self, start_time: f64, out: &mut String) {
        let msg = self.fields.get("msg").and_then(Value::as_str).unwrap_or_default();
        let marker = if self.request.is_some() { ' ' } else { '~' };
        // Writing to a string cannot fail.
        let _ = write!(
            out,
            "{:>+9.3}s {marker} {:<20} {} {msg}",
            self.time - start_time,
            self.host,
            self.event
        );
        for (name, value) in
            self.fields.iter().filter(|(n, _)| !OMITTED_FIELDS.contains(&n.as_str()))
        {
            let _ = match value {
                Value::String(text) => write!(out, " {name}={text}"),
                other => write!(out, " {name}={other}"),
            };
        }
        out.push('\n');
    }
}

/// Formats the log lines that belong to a request id or fingerprint. Returns `ObjectGone` if there
/// are none.
pub fn explain(id: &str, logs: &[String]) -> Result<String> {
    let lines = logs.iter().flat_map(|text| text.lines()).filter_map(LogLine::parse);
    let mut lines: Vec<LogLine> = lines.collect();
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let is_fingerprint = id.parse::<Fingerprint>().is_ok();
    let has_fingerprint =
        |l: &&LogLine| l.fields.get("fingerprint").and_then(Value::as_str) == Some(id);
    let copy_ids: BTreeSet<String> =
        lines.iter().filter(has_fingerprint).filter_map(|l| l.request.clone()).collect();
    let is_own = |l: &&LogLine| {
        let is_copy = l.request.as_deref().is_some_and(|r| r == id || copy_ids.contains(r));
        is_copy || (is_fingerprint && l.mentions(id))
    };
    let times: Vec<f64> = lines.iter().filter(is_own).map(|l| l.time).collect();
    let (Some(start_time), Some(end_time)) = (times.first().copied(), times.last().copied()) else {
        return Err(Error::new(
            Code::ObjectGone,
            format!("no log line belongs to request or fingerprint {id}"),
        ));
    };
    let hosts: BTreeSet<String> = lines.iter().filter(is_own).map(|l| l.host.clone()).collect();
    let is_relevant = |l: &&LogLine| {
        let is_in_window = l.time >= start_time - CONTEXT_SECONDS && l.time <= end_time;
        is_own(l)
            || (l.request.is_none()
                && l.is_state_change()
                && is_in_window
                && hosts.contains(&l.host))
    };
    let mut out = format!("request {id}: {} lines of {} host(s)\n", times.len(), hosts.len());
    lines.iter().filter(is_relevant).for_each(|l| l.render(start_time, &mut out));
    Ok(out)
}
