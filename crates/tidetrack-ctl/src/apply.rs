//! `diff` and `apply`: make the object API match a folder of declarations.
//!
//! Each object is only written if it still has the version that the diff was computed from, so that
//! two operators cannot overwrite each other's changes unnoticed. Applying the same folder a second
//! time writes nothing.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;
use tidetrack_core::codes::Code;
use tidetrack_core::config::{Object, ObjectKey, ObjectKind};
use tidetrack_core::declare::DeclaredObjects;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::store::Entry;
use tidetrack_wire::platform::{config_object_name, PlatformClient};

/// Maximum number of attempts to write one object while the object API's rate limit is exceeded.
const MAX_BUSY_ATTEMPTS: u32 = 20;

/// Change to be made to an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// The object does not exist.
    Create,
    /// The object exists and differs.
    Update,
    /// The object exists and is not declared.
    Delete,
}

/// The change of one object.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DiffLine {
    /// The object to change.
    pub key: ObjectKey,
    /// The change to make.
    pub change: Change,
    /// Version that the diff was computed from; 0 if the object does not exist.
    pub version: u64,
    /// Body to write; `None` for a deletion.
    pub body: Option<String>,
    /// Names of the members that differ.
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

/// Order of creation: an object comes before the kinds of objects that refer to it, so that no host
/// sees a reference to a missing object.
const APPLY_ORDER: [ObjectKind; 9] = [
    ObjectKind::KeyRing,
    ObjectKind::Pool,
    ObjectKind::Version,
    ObjectKind::Model,
    ObjectKind::Workspace,
    ObjectKind::Service,
    ObjectKind::Policy,
    ObjectKind::Rollout,
    ObjectKind::Objective,
];

fn apply_order(kind: ObjectKind) -> usize {
    APPLY_ORDER.iter().position(|k| *k == kind).unwrap_or(APPLY_ORDER.len())
}

/// Compares the declarations with the stored objects. With `prune`, stored objects of declared
/// kinds that are not declared are deleted.
pub fn diff(
    platform: &PlatformClient,
    declared: &DeclaredObjects,
    prune: bool,
) -> Result<Vec<DiffLine>> {
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
        // Objects are deleted before the objects that they refer to.
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

/// Result of an apply.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ApplyReport {
    /// Objects written or deleted.
    pub done: Vec<ObjectKey>,
    /// Objects that were not changed, with the error.
    pub failed: Vec<(ObjectKey, Error)>,
}

impl ApplyReport {
    /// Returns the first error, with the object's key in front of its message.
    pub fn first_failure(&self) -> Option<Error> {
        let (key, e) = self.failed.first()?;
        Some(Error { message: format!("{key}: {}", e.message), ..e.clone() })
    }
}

/// Applies a diff and calls `progress` with the number and content of each line applied.
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
                let message = "the object was changed since the diff was computed; run diff again";
                return Err(Error::new(Code::Conflict, message));
            }
            other => return other.map(|_| ()),
        }
    }
    Err(Error::new(
        Code::PlatformBusy,
        "the rate limit of the object API is still exceeded after all attempts",
    ))
}
