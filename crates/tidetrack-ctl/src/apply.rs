//! `diff` and `apply`: brings the object API to what a folder declares.
//!
//! Each object is written only if it still has the version that the diff was made from, so two
//! operators cannot overwrite each other unseen. Applying twice writes nothing the second time.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::Serialize;
use tidetrack_core::codes::Code;
use tidetrack_core::config::{Object, ObjectKey, ObjectKind};
use tidetrack_core::declare::DeclaredObjects;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::store::Entry;
use tidetrack_wire::platform::{config_name, PlatformClient};

/// Tries at one object while the object API is over its rate.
const BUSY_TRIES: u32 = 20;

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
const ORDER: [ObjectKind; 9] = [
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

fn order_of(kind: ObjectKind) -> usize {
    ORDER.iter().position(|k| *k == kind).unwrap_or(ORDER.len())
}

/// Compares what is declared with what is there.
pub fn diff(
    platform: &PlatformClient,
    declared: &DeclaredObjects,
    prune: bool,
) -> Result<Vec<DiffLine>> {
    let (_, entries) = platform.list_config()?;
    let there: BTreeMap<ObjectKey, Entry> =
        entries.into_iter().map(|e| (e.key.clone(), e)).collect();
    let mut lines: Vec<DiffLine> =
        declared.iter().filter_map(|(key, object)| diff_one(key, object, there.get(key))).collect();
    lines.sort_by_key(|l| order_of(l.key.kind));
    if prune {
        let stray = |k: &&ObjectKey| k.kind.is_declared() && !declared.contains_key(k);
        let mut gone: Vec<DiffLine> = there
            .keys()
            .filter(stray)
            .map(|key| DiffLine {
                key: key.clone(),
                change: Change::Delete,
                version: there[key].version,
                body: None,
                members: Vec::new(),
            })
            .collect();
        // What names others goes before what it names.
        gone.sort_by_key(|l| std::cmp::Reverse(order_of(l.key.kind)));
        lines.extend(gone);
    }
    Ok(lines)
}

fn diff_one(key: &ObjectKey, object: &Object, there: Option<&Entry>) -> Option<DiffLine> {
    let body = object.to_json();
    let old = there.and_then(|e| e.body.as_deref());
    let members = old.map(|old| differing_members(old, &body)).unwrap_or_default();
    let change = match old {
        None => Change::Create,
        Some(_) if members.is_empty() => return None,
        Some(_) => Change::Update,
    };
    let version = there.map_or(0, |e| e.version);
    Some(DiffLine { key: key.clone(), change, version, body: Some(body), members })
}

fn differing_members(old: &str, new: &str) -> Vec<String> {
    type Members = BTreeMap<String, serde_json::Value>;
    let read = |text: &str| serde_json::from_str::<Members>(text).unwrap_or_default();
    let (old, new) = (read(old), read(new));
    let names = old.keys().chain(new.keys()).filter(|name| old.get(*name) != new.get(*name));
    let mut names: Vec<String> = names.cloned().collect();
    names.sort();
    names.dedup();
    names
}

/// What came of an apply.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Applied {
    /// Objects written or deleted.
    pub done: Vec<ObjectKey>,
    /// Objects that were left as they are, and why.
    pub failed: Vec<(ObjectKey, Error)>,
}

impl Applied {
    /// Gets the first failure.
    pub fn failure(&self) -> Option<Error> {
        let (key, e) = self.failed.first()?;
        Some(Error { message: format!("{key}: {}", e.message), ..e.clone() })
    }
}

/// Carries out a diff, telling `progress` of each line that is done.
pub fn apply(
    platform: &PlatformClient,
    lines: &[DiffLine],
    progress: &mut dyn FnMut(usize, &DiffLine),
) -> Applied {
    let mut applied = Applied::default();
    for (i, line) in lines.iter().enumerate() {
        match apply_one(platform, line) {
            Ok(()) => {
                progress(i + 1, line);
                applied.done.push(line.key.clone());
            }
            Err(e) => applied.failed.push((line.key.clone(), e)),
        }
    }
    applied
}

fn apply_one(platform: &PlatformClient, line: &DiffLine) -> Result<()> {
    let name = config_name(&line.key);
    for _ in 0..BUSY_TRIES {
        let result = match &line.body {
            Some(body) => platform.write_settled(&name, line.version, body),
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
