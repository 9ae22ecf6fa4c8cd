//! `diff` and `apply`: brings the object API to what a folder declares.
//!
//! Each object is written only if it still has the version that the diff was made from, so two
//! operators cannot overwrite each other unseen. Applying twice writes nothing the second time.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;
use tidetrack_core::codes::Code;
use tidetrack_core::config::{Kind, Object, ObjectKey};
use tidetrack_core::declare::Declared;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::store::Entry;
use tidetrack_wire::platform::{config_object_name, PlatformClient};

/// Tries at one object while the object API is over its rate.
const MAX_BUSY_ATTEMPTS: u32 = 20;

/// What is to be done with an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// It is not there yet.
    Create,
    /// It is there and differs.
    Update,
    /// It is there and not declared.
    Delete,
}

/// One line of a diff.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DiffLine {
    /// The object.
    pub key: ObjectKey,
    /// What is to be done.
    pub change: Change,
    /// The version that the diff was made from; 0 if the object is not there.
    pub version: u64,
    /// The body to write.
    pub body: Option<String>,
    /// The members that differ.
    pub members: Vec<String>,
}

impl fmt::Display for DiffLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.change {
            Change::Create => '+',
            Change::Update => '~',
            Change::Delete => '-',
        };
        write!(f, "{sign} {}", self.key)?;
        match self.members.is_empty() {
            true => Ok(()),
            false => write!(f, ": {}", self.members.join(", ")),
        }
    }
}

/// Objects that others name come first, so that no host sees a name without its object.
const APPLY_ORDER: [Kind; 9] = [
    Kind::KeyRing,
    Kind::Pool,
    Kind::Version,
    Kind::Model,
    Kind::Workspace,
    Kind::Service,
    Kind::Policy,
    Kind::Rollout,
    Kind::Objective,
];

fn apply_order(kind: Kind) -> usize {
    APPLY_ORDER.iter().position(|k| *k == kind).unwrap_or(APPLY_ORDER.len())
}

/// Compares what is declared with what is there.
pub fn diff(platform: &PlatformClient, declared: &Declared, prune: bool) -> Result<Vec<DiffLine>> {
    let (_, entries) = platform.list_config()?;
    let stored: BTreeMap<ObjectKey, Entry> =
        entries.into_iter().map(|e| (e.key.clone(), e)).collect();
    let mut lines: Vec<DiffLine> = declared
        .iter()
        .filter_map(|(key, object)| diff_object(key, object, stored.get(key)))
        .collect();
    lines.sort_by_key(|l| apply_order(l.key.kind));
    if prune {
        let is_undeclared = |k: &&ObjectKey| k.kind.is_declared() && !declared.contains_key(k);
        let mut deletions: Vec<DiffLine> = stored
            .keys()
            .filter(is_undeclared)
            .map(|key| DiffLine {
                key: key.clone(),
                change: Change::Delete,
                version: stored[key].version,
                body: None,
                members: Vec::new(),
            })
            .collect();
        // What names others goes before what it names.
        deletions.sort_by_key(|l| std::cmp::Reverse(apply_order(l.key.kind)));
        lines.extend(deletions);
    }
    Ok(lines)
}

fn diff_object(key: &ObjectKey, object: &Object, stored: Option<&Entry>) -> Option<DiffLine> {
    let body = object.to_json();
    let current = stored.and_then(|e| e.body.as_deref());
    let members = current.map(|current| differing_members(current, &body)).unwrap_or_default();
    let change = match current {
        None => Change::Create,
        Some(_) if members.is_empty() => return None,
        Some(_) => Change::Update,
    };
    let version = stored.map_or(0, |e| e.version);
    Some(DiffLine { key: key.clone(), change, version, body: Some(body), members })
}

fn differing_members(current: &str, new: &str) -> Vec<String> {
    type Members = BTreeMap<String, serde_json::Value>;
    let read = |text: &str| serde_json::from_str::<Members>(text).unwrap_or_default();
    let (current, new) = (read(current), read(new));
    let names =
        current.keys().chain(new.keys()).filter(|name| current.get(*name) != new.get(*name));
    let mut names: Vec<String> = names.cloned().collect();
    names.sort();
    names.dedup();
    names
}

/// What came of an apply.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ApplyReport {
    /// Objects written or deleted.
    pub done: Vec<ObjectKey>,
    /// Objects that were left as they are, and why.
    pub failed: Vec<(ObjectKey, Error)>,
}

impl ApplyReport {
    /// Gets the first failure.
    pub fn first_failure(&self) -> Option<Error> {
        let (key, e) = self.failed.first()?;
        Some(Error { message: format!("{key}: {}", e.message), ..e.clone() })
    }
}

/// Carries out a diff, telling `progress` of each line that is done.
pub fn apply(
    platform: &PlatformClient,
    lines: &[DiffLine],
    progress: &mut dyn FnMut(usize, &DiffLine),
) -> ApplyReport {
    let mut applied = ApplyReport::default();
    for (i, line) in lines.iter().enumerate() {
        match apply_line(platform, line) {
            Ok(()) => {
                progress(i + 1, line);
                applied.done.push(line.key.clone());
            }
            Err(e) => applied.failed.push((line.key.clone(), e)),
        }
    }
    applied
}

fn apply_line(platform: &PlatformClient, line: &DiffLine) -> Result<()> {
    let name = config_object_name(&line.key);
    for _ in 0..MAX_BUSY_ATTEMPTS {
        let result = match &line.body {
            Some(body) => platform.write_confirmed(&name, line.version, body),
            None => platform.delete(&name, line.version),
        };
        match result {
            Err(e) if e.code == Code::PlatformBusy => {
                std::thread::sleep(Duration::from_millis(e.retry_after_ms.unwrap_or(500)));
            }
            Err(e) if e.code == Code::Conflict => {
                let message = "changed by someone else since the diff was made; look again";
                return Err(Error::new(Code::Conflict, message));
            }
            other => return other.map(|_| ()),
        }
    }
    Err(Error::new(Code::PlatformBusy, "the object API stays over its rate"))
}
