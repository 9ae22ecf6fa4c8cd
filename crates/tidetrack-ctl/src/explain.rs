//! `explain`: a request's story from the logs of several hosts, or that of all copies of a request, by its
//! fingerprint.
//!
//! Lines of the request come in order of their time, with the inputs that decided. Between them stand
//! the changes of belief that the same hosts logged shortly before and meanwhile: a lost store, an
//! endpoint that left, a version that was barred.

use std::collections::BTreeSet;
use std::fmt::Write;

use serde_json::{Map, Value};

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::traffic::fingerprint::Fingerprint;

/// Beliefs that changed so long before the request still belong to its story, in seconds: a lost
/// store matters once its last proof is too old.
const BEFORE_S: f64 = 6.0;

/// Fields that are printed in front or not at all.
const OWN_PLACE: [&str; 7] = ["time", "host", "msg", "event", "level", "left_out", "request"];

struct Line {
    time: f64,
    host: String,
    event: String,
    request: Option<String>,
    fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; whatever stands before its opening brace is another program's.
    fn read(text: &str) -> Option<Line> {
        let fields: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
        let string = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_string);
        Some(Line {
            time: fields.get("time").and_then(Value::as_f64).unwrap_or(0.0),
            host: string("host")?,
            event: string("event")?,
            request: string("request"),
            fields,
        })
    }

    /// Tells whether the line is about what the host believes of others.
    fn is_belief(&self) -> bool {
        self.event.starts_with("E2") || self.event.starts_with("E1")
    }

    /// Tells whether a text names something the line is about.
    fn names(&self, text: &str) -> bool {
        self.fields.values().filter_map(Value::as_str).any(|value| value.contains(text))
    }

    fn render(&self, began: f64, out: &mut String) {
        let msg = self.fields.get("msg").and_then(Value::as_str).unwrap_or_default();
        let mark = if self.request.is_some() { ' ' } else { '~' };
        // Writing to a string does not fail.
        let _ = write!(
            out,
            "{:>+9.3}s {mark} {:<20} {} {msg}",
            self.time - began,
            self.host,
            self.event
        );
        for (name, value) in self.fields.iter().filter(|(n, _)| !OWN_PLACE.contains(&n.as_str())) {
            let _ = match value {
                Value::String(text) => write!(out, " {name}={text}"),
                other => write!(out, " {name}={other}"),
            };
        }
        out.push('\n');
    }
}

/// Tells the story of a request from the texts of logs.
pub fn explain(id: &str, logs: &[String]) -> Result<String> {
    let lines = logs.iter().flat_map(|text| text.lines()).filter_map(Line::read);
    let mut lines: Vec<Line> = lines.collect();
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let is_print = id.parse::<Fingerprint>().is_ok();
    let has_print = |l: &&Line| l.fields.get("fingerprint").and_then(Value::as_str) == Some(id);
    let copies: BTreeSet<String> =
        lines.iter().filter(has_print).filter_map(|l| l.request.clone()).collect();
    let own = |l: &&Line| {
        let is_copy = l.request.as_deref().is_some_and(|r| r == id || copies.contains(r));
        is_copy || (is_print && l.names(id))
    };
    let times: Vec<f64> = lines.iter().filter(own).map(|l| l.time).collect();
    let (Some(began), Some(ended)) = (times.first().copied(), times.last().copied()) else {
        return Err(Error::new(
            Code::ObjectGone,
            format!("no line of the logs names request {id}"),
        ));
    };
    let hosts: BTreeSet<String> = lines.iter().filter(own).map(|l| l.host.clone()).collect();
    let belongs = |l: &&Line| {
        let meanwhile = l.time >= began - BEFORE_S && l.time <= ended;
        own(l) || (l.request.is_none() && l.is_belief() && meanwhile && hosts.contains(&l.host))
    };
    let mut out = format!("request {id}: {} lines of {} host(s)\n", times.len(), hosts.len());
    lines.iter().filter(belongs).for_each(|l| l.render(began, &mut out));
    Ok(out)
}
