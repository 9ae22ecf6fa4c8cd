//! `dry-run`: runs a policy on recorded requests and compares it with what an old script chose.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use tidetrack_core::codes::Code;
use tidetrack_core::config::{Kind, Object, ObjectKey};
use tidetrack_core::declare::Declared;
use tidetrack_core::errors::{unknown, Error, Result};
use tidetrack_core::ids::RouteId;
use tidetrack_core::policy::{Features, Program};

/// One recorded request, a line of JSON.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordedRequest {
    /// The workspace.
    #[serde(default)]
    pub workspace: String,
    /// The tags.
    #[serde(default)]
    pub tags: Vec<String>,
    /// Characters of the prompt.
    #[serde(default)]
    pub prompt_chars: i64,
    /// The priority.
    #[serde(default)]
    pub priority: i64,
    /// The model that the script chose.
    pub choice: String,
}

/// What came of a dry run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DryRunReport {
    /// Requests run.
    pub requests: u64,
    /// Requests for which the policy's first rung is the script's choice.
    #[serde(rename = "same")]
    pub matched: u64,
    /// Requests for which the policy failed.
    pub failed: u64,
    /// How often the script chose one model and the policy another.
    #[serde(rename = "moved")]
    pub changed: BTreeMap<String, u64>,
}

/// Runs a route's policy on recorded lines; a line that does not read is an error that names it.
pub fn run(declared: &Declared, route: &RouteId, file: &str, lines: &str) -> Result<DryRunReport> {
    let key = ObjectKey::new(Kind::Policy, route);
    let Some(Object::Policy(policy)) = declared.get(&key) else {
        return Err(unknown(Code::UnknownRoute, "route", route));
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
