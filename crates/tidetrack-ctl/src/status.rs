//! `status`: shows the state of several hosts side by side.

use std::fmt::Write;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::facts::Fact;
use tidetrack_core::membership::MemberState;
use tidetrack_router::control::Status;

/// Timeout of a request to a host, in seconds.
const TIMEOUT_SECONDS: u64 = 3;

fn request_json<T: serde::de::DeserializeOwned>(request: minreq::Request, host: &str) -> Result<T> {
    let error = |reason: String| Error::new(Code::EndpointFailed, format!("{host}: {reason}"));
    let response =
        request.with_timeout(TIMEOUT_SECONDS).send().map_err(|e| error(e.to_string()))?;
    if response.status_code != 200 {
        return Err(error(response.as_str().unwrap_or("the response is not text").to_string()));
    }
    serde_json::from_slice(response.as_bytes()).map_err(|e| error(e.to_string()))
}

/// Reads the state of a host.
pub fn fetch_status(host: &str, key: &str) -> Result<Status> {
    let request = minreq::get(format!("http://{host}/admin/status"));
    request_json(request.with_header("Authorization", format!("Bearer {key}")), host)
}

/// Sends a fact to one host, which passes it on to all others. Facts only restrict what hosts may
/// use.
pub fn send_fact(host: &str, key: &str, fact: &Fact) -> Result<()> {
    let body = serde_json::to_string(fact).expect("a fact serializes to JSON");
    let request = minreq::post(format!("http://{host}/admin/facts")).with_body(body);
    let request = request.with_header("Authorization", format!("Bearer {key}"));
    request_json::<serde_json::Value>(request, host).map(|_| ())
}

/// Formats the states of hosts as a table.
pub fn render(all: &[(String, Result<Status>)]) -> String {
    let mut out = String::from(
        "host                 in force  confirmed  live/known  in flight  bills  watcher\n",
    );
    for (address, status) in all {
        match status {
            Ok(s) => render_host(&mut out, s),
            Err(e) => out.push_str(&format!("{address:<20} {e}\n")),
        }
    }
    let newest = all.iter().filter_map(|(_, s)| s.as_ref().ok()).max_by_key(|s| s.applied_revision);
    if let Some(s) = newest {
        for r in &s.rollouts {
            let state = r.state.as_ref().map_or("not started".to_string(), |st| {
                format!("{:?} stage {}", st.phase, st.stage)
            });
            let line = format!(
                "rollout {} to {}: {state}; {} answered, {} rated at {:.3} (stable {:.3})\n",
                r.name,
                r.to,
                r.canary.answered,
                r.canary.rated,
                r.canary.mean_score(),
                r.stable.mean_score()
            );
            out.push_str(&line);
        }
        for fact in &s.facts {
            out.push_str(&format!(
                "barred {:?} up to generation {}\n",
                fact.subject, fact.generation
            ));
        }
    }
    out
}

fn render_host(out: &mut String, s: &Status) {
    let live = s.members.iter().filter(|m| m.state == MemberState::Alive).count();
    let confirmed = s.confirmation_age_ms.map_or("never".to_string(), |ms| format!("{ms} ms"));
    // Writing to a string cannot fail.
    let _ = writeln!(
        out,
        "{:<20} {:>8}  {:>9}  {:>10}  {:>9}  {:>5}  {}",
        s.incarnation.host.as_str(),
        s.applied_revision,
        confirmed,
        format!("{live}/{}", s.members.len()),
        s.in_flight,
        s.pending_bills,
        if s.is_watcher { "yes" } else { "no" }
    );
}
