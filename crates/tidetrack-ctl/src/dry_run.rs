//! `dry-run`: runs a policy on recorded requests and compares it with what an old script chose.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use tidetrack_core::codes::Code;
use tidetrack_core::config::{Object, ObjectKey, ObjectKind};
use tidetrack_core::declare::DeclaredObjects;
use tidetrack_core::errors::{unknown_name, Error, Result};
use tidetrack_core::ids::RouteId;
use tidetrack_core::policy::{Features, Program};

/// One recorded request, a line of JSON.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recorded {
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
pub struct DryRun {
    /// Requests run.
    pub requests: u64,
    /// Requests for which the policy's first rung is the script's choice.
    pub same: u64,
    /// Requests for which the policy failed.
    pub failed: u64,
    /// How often the script chose one model and the policy another.
    pub moved: BTreeMap<String, u64>,
}

/// Runs a route's policy on recorded lines; a line that does not read is an error that names it.
pub fn run(declared: &DeclaredObjects, route: &RouteId, file: &str, lines: &str) -> Result<DryRun> {
    let key = ObjectKey::new(ObjectKind::Policy, route);
    let Some(Object::Policy(policy)) = declared.get(&key) else {
        return Err(unknown_name(Code::UnknownRoute, "route", route));
    };
    let program = Program::compile(policy)?;
    let mut out = DryRun::default();
    for (i, line) in lines.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
        let recorded: Recorded = serde_json::from_str(line)
            .map_err(|e| Error::new(Code::BadValue, format!("{file}:{}: {e}", i + 1)))?;
        out.requests += 1;
        match program.decide(&features_of(&recorded, route), &[]) {
            Err(_) => out.failed += 1,
            Ok(plan) if plan.rungs[0].as_str() == recorded.choice => out.same += 1,
            Ok(plan) => {
                let moved = format!("{} -> {}", recorded.choice, plan.rungs[0]);
                *out.moved.entry(moved).or_default() += 1;
            }
        }
    }
    Ok(out)
}

fn features_of(r: &Recorded, route: &RouteId) -> Features {
    Features {
        workspace: r.workspace.clone(),
        route: route.to_string(),
        tags: r.tags.clone(),
        prompt_chars: r.prompt_chars,
        priority: r.priority,
    }
}
