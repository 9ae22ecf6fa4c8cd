//! `dry-run`: runs a policy on recorded requests and compares the result with the choices of the
//! routing script that it replaces.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use tidetrack_core::codes::Code;
use tidetrack_core::config::{Object, ObjectKey, ObjectKind};
use tidetrack_core::declare::DeclaredObjects;
use tidetrack_core::errors::{unknown_name, Error, Result};
use tidetrack_core::ids::RouteId;
use tidetrack_core::policy::{Features, Program};

/// A recorded request, one line of JSON.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedRequest {
    /// Workspace of the request.
    #[serde(default)]
    pub workspace: String,
    /// Tags of the request.
    #[serde(default)]
    pub tags: Vec<String>,
    /// Number of characters of the prompt.
    #[serde(default)]
    pub prompt_chars: i64,
    /// Priority of the request; higher is more urgent.
    #[serde(default)]
    pub priority: i64,
    /// Model that the script chose.
    pub choice: String,
}

/// Result of a dry run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DryRunReport {
    /// Number of requests evaluated.
    pub requests: u64,
    /// Number of requests for which the policy's first rung is the script's choice.
    #[serde(rename = "same")]
    pub matched: u64,
    /// Number of requests for which the policy failed.
    pub failed: u64,
    /// Number of differing choices by pair, as `SCRIPT -> POLICY`.
    #[serde(rename = "moved")]
    pub changed: BTreeMap<String, u64>,
}

/// Runs a route's policy on recorded requests. Returns `UnknownRoute` if the route has no policy,
/// and `BadValue` with the file and line number if a line cannot be parsed.
pub fn run(
    declared: &DeclaredObjects,
    route: &RouteId,
    file: &str,
    lines: &str,
) -> Result<DryRunReport> {
    let key = ObjectKey::new(ObjectKind::Policy, route);
    let Some(Object::Policy(policy)) = declared.get(&key) else {
        return Err(unknown_name(Code::UnknownRoute, "route", route));
    };
    let program = Program::compile(policy)?;
    let mut report = DryRunReport::default();
    for (i, line) in lines.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        let recorded: RecordedRequest = serde_json::from_str(line)
            .map_err(|e| Error::new(Code::BadValue, format!("{file}:{}: {e}", i + 1)))?;
        report.requests += 1;
        match program.decide(&request_features(&recorded, route), &[]) {
            Err(_) => report.failed += 1,
            Ok(plan) if plan.rungs[0].as_str() == recorded.choice => report.matched += 1,
            Ok(plan) => {
                let changed = format!("{} -> {}", recorded.choice, plan.rungs[0]);
                *report.changed.entry(changed).or_default() += 1;
            }
        }
    }
    Ok(report)
}

fn request_features(r: &RecordedRequest, route: &RouteId) -> Features {
    Features {
        workspace: r.workspace.clone(),
        route: route.to_string(),
        tags: r.tags.clone(),
        prompt_chars: r.prompt_chars,
        priority: r.priority,
    }
}
