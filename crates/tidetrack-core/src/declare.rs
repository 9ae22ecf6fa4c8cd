//! Parses and checks a folder of declaration files.
//!
//! All faults are reported, not only the first one: a file is parsed again with the faulty line blanked
//! until it parses or no line is left to blank. For an unknown field, the most similar known one is
//! suggested.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::codes::Code;
use crate::config::{
    Model, Object, ObjectKey, ObjectKind, Objective, Policy, Pool, Rollout, Service, Version,
    Workspace,
};
use crate::errors::Error;
use crate::ids::{ModelId, PoolId, RolloutId, RouteId, ServiceId, VersionRef, WorkspaceId};
use crate::message_auth::KeyRing;
use crate::policy;

/// Maximum number of faults reported for one file.
const MAX_FAULTS: usize = 50;

/// One fault in a declaration or settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Name of the file.
    pub file: String,
    /// Line number from 1, or 0 if the fault does not belong to a single line.
    pub line: usize,
    /// Description of the fault.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.file, self.message),
            line => write!(f, "{}:{line}: {}", self.file, self.message),
        }
    }
}

/// The contents of one declaration file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct DeclarationFile {
    #[serde(default)]
    workspace: BTreeMap<WorkspaceId, Workspace>,
    #[serde(default)]
    model: BTreeMap<ModelId, Model>,
    #[serde(default)]
    version: BTreeMap<VersionRef, Version>,
    #[serde(default)]
    pool: BTreeMap<PoolId, Pool>,
    #[serde(default)]
    service: BTreeMap<ServiceId, Service>,
    #[serde(default)]
    policy: BTreeMap<RouteId, Policy>,
    #[serde(default)]
    rollout: BTreeMap<RolloutId, Rollout>,
    #[serde(default)]
    objective: BTreeMap<String, Objective>,
    #[serde(default)]
    keyring: BTreeMap<String, KeyRing>,
}

impl DeclarationFile {
    /// Returns all objects of the file with their keys.
    fn into_objects(self) -> Vec<(ObjectKey, Object)> {
        let mut objects = Vec::new();
        collect_objects(&mut objects, ObjectKind::Workspace, self.workspace, Object::Workspace);
        collect_objects(&mut objects, ObjectKind::Model, self.model, Object::Model);
        collect_objects(&mut objects, ObjectKind::Version, self.version, Object::Version);
        collect_objects(&mut objects, ObjectKind::Pool, self.pool, Object::Pool);
        collect_objects(&mut objects, ObjectKind::Service, self.service, Object::Service);
        collect_objects(&mut objects, ObjectKind::Policy, self.policy, Object::Policy);
        collect_objects(&mut objects, ObjectKind::Rollout, self.rollout, Object::Rollout);
        collect_objects(&mut objects, ObjectKind::Objective, self.objective, Object::Objective);
        collect_objects(&mut objects, ObjectKind::KeyRing, self.keyring, Object::KeyRing);
        objects
    }
}

/// Appends the objects of one kind with their keys.
fn collect_objects<K: fmt::Display, V>(
    objects: &mut Vec<(ObjectKey, Object)>,
    kind: ObjectKind,
    from: BTreeMap<K, V>,
    wrap: fn(V) -> Object,
) {
    objects.extend(from.into_iter().map(|(name, v)| (ObjectKey::new(kind, name), wrap(v))));
}

/// Parses TOML text into `T`, or returns all faults that can be found.
pub fn read_toml<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, Vec<Fault>> {
    let mut text = text.to_string();
    let mut faults = Vec::new();
    loop {
        let err = match toml::from_str::<T>(&text) {
            Ok(value) if faults.is_empty() => return Ok(value),
            Ok(_) => return Err(faults),
            Err(err) => err,
        };
        let span = err.span().unwrap_or(0..0);
        let line = text[..span.start.min(text.len())].matches('\n').count() + 1;
        let is_reported = faults.iter().any(|f: &Fault| f.line == line);
        let is_missing = err.message().starts_with("missing field");
        if !(is_reported && is_missing) {
            let message = with_suggestion(err.message());
            faults.push(Fault { file: file.to_string(), line, message });
        }
        if is_missing || faults.len() >= MAX_FAULTS || !blank_line(&mut text, &span) {
            return Err(faults);
        }
    }
}

/// Blanks the line in which `span` starts if it is a `key = value` line; reports whether it did.
fn blank_line(text: &mut String, span: &Range<usize>) -> bool {
    let start = text[..span.start.min(text.len())].rfind('\n').map_or(0, |i| i + 1);
    let end = text[start..].find('\n').map_or(text.len(), |i| start + i);
    let line = &text[start..end];
    let is_entry = line.contains('=') && !line.trim().is_empty();
    if is_entry {
        text.replace_range(start..end, "");
    }
    is_entry
}

/// Adds the most similar known field to a message about an unknown field; other messages are returned
/// unchanged.
fn with_suggestion(message: &str) -> String {
    let mut quoted = message.split('`').skip(1).step_by(2);
    let unknown = quoted.next().unwrap_or_default();
    let nearest = quoted.max_by(|a, b| {
        strsim::jaro_winkler(a, unknown).total_cmp(&strsim::jaro_winkler(b, unknown))
    });
    match nearest {
        Some(name) if message.starts_with("unknown field") => {
            format!("unknown name `{unknown}`; the nearest known is `{name}`")
        }
        _ => message.trim().to_string(),
    }
}

/// The declared objects of a folder by key.
pub type DeclaredObjects = BTreeMap<ObjectKey, Object>;

/// Parses and checks the files of a folder, given as pairs of name and text.
pub fn read_folder(files: &[(String, String)]) -> Result<DeclaredObjects, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut declared: BTreeMap<ObjectKey, (String, Object)> = BTreeMap::new();
    for (name, text) in files {
        match read_toml::<DeclarationFile>(name, text) {
            Ok(file) => {
                for (key, object) in file.into_objects() {
                    if let Some((other, _)) = declared.insert(key.clone(), (name.clone(), object)) {
                        let message = format!("{key} is already declared in {other}");
                        faults.push(Fault { file: name.clone(), line: 0, message });
                    }
                }
            }
            Err(mut found) => faults.append(&mut found),
        }
    }
    if faults.is_empty() {
        faults = check_references(&declared);
    }
    match faults.is_empty() {
        true => Ok(declared.into_iter().map(|(key, (_, object))| (key, object)).collect()),
        false => Err(faults),
    }
}

/// Checks that the objects refer only to declared objects, and checks roll-outs, objectives, secrets, and
/// the programs and test cases of policies.
fn check_references(declared: &BTreeMap<ObjectKey, (String, Object)>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (key, (file, object)) in declared {
        let mut report = |message: String| {
            let message = format!("{key}: {message}");
            faults.push(Fault { file: file.clone(), line: 0, message });
        };
        let is_declared =
            |kind: ObjectKind, name: String| declared.contains_key(&ObjectKey { kind, name });
        let mut require = |kind: ObjectKind, name: String| {
            if !is_declared(kind, name.clone()) {
                report(format!("names {} {name}, which is not declared", kind.as_str()));
            }
        };
        match object {
            Object::Workspace(w) => {
                w.allow.iter().for_each(|v| require(ObjectKind::Version, v.to_string()));
            }
            Object::Model(m) => require(ObjectKind::Version, m.serving.to_string()),
            Object::Version(v) => require(ObjectKind::Pool, v.pool.to_string()),
            Object::Service(s) => {
                s.workspaces.iter().for_each(|w| require(ObjectKind::Workspace, w.to_string()));
            }
            Object::Policy(p) => {
                p.fallback.iter().for_each(|m| require(ObjectKind::Model, m.to_string()));
                let models = |m: &ModelId| is_declared(ObjectKind::Model, m.to_string());
                policy::check(p, &models).into_iter().for_each(&mut report);
            }
            Object::Rollout(r) => {
                require(ObjectKind::Version, r.from.to_string());
                require(ObjectKind::Version, r.to.to_string());
                check_rollout(r).into_iter().for_each(&mut report);
            }
            Object::Objective(o) => {
                require(ObjectKind::Workspace, o.workspace.to_string());
                require(ObjectKind::Policy, o.route.to_string());
                if !(0.0..1.0).contains(&o.target) {
                    report(format!(
                        "target {} is not in the range from 0 up to but excluding 1",
                        o.target
                    ));
                }
            }
            Object::KeyRing(k) => {
                if k.current.secret.len() < MIN_SECRET_LEN {
                    report(format!(
                        "the secret of the current key is shorter than {MIN_SECRET_LEN} bytes"
                    ));
                }
            }
            Object::Pool(_)
            | Object::Withdrawal(_)
            | Object::RolloutState(_)
            | Object::Evacuation(_) => {}
        }
    }
    faults
}

/// Minimum length of a secret, in bytes.
const MIN_SECRET_LEN: usize = 16;

/// Returns the faults of a roll-out's versions and stages.
fn check_rollout(r: &Rollout) -> Vec<String> {
    let mut messages = Vec::new();
    if r.from.model != r.to.model {
        messages.push(format!("{} and {} are of different models", r.from, r.to));
    }
    if r.stages.is_empty() {
        messages.push("the roll-out has no stages".to_string());
    }
    for (i, stage) in r.stages.iter().enumerate() {
        if !(stage.share > 0.0 && stage.share <= 1.0) {
            messages.push(format!(
                "stage {i}: share {} is not greater than 0 and at most 1",
                stage.share
            ));
        }
        if stage.cap == 0 {
            messages.push(format!(
                "stage {i}: cap is 0, which allows no requests on the canary version"
            ));
        }
    }
    messages
}

/// Combines faults into one error with the given code, one fault per line.
pub fn faults_error(code: Code, faults: &[Fault]) -> Error {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    Error::new(code, lines.join("\n"))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn faults_of(text: &str) -> Vec<Fault> {
        read_folder(&[("a.toml".to_string(), text.to_string())])
            .expect_err("the declarations have faults")
    }

    #[test]
    fn every_unknown_name_is_reported_with_line_and_nearest() {
        let text = "[pool.p]\nslotz = 3\nendpoints = {}\n[pool.q]\nendpoints = {}\nfencd = true\n";
        let faults = faults_of(text);
        assert_eq!(faults.iter().map(|f| f.line).collect::<Vec<_>>(), [2, 6]);
        assert!(faults[0].message.contains("`slots`"), "{}", faults[0]);
        assert!(faults[1].message.contains("`fenced`"), "{}", faults[1]);
    }

    #[test]
    fn references_are_checked_all_at_once() {
        let text = "[version.\"m@1\"]\npool = \"gone\"\nprice_in = 1\nprice_out = 1\n\
                    [model.m]\nserving = \"m@2\"\n";
        let messages: Vec<String> = faults_of(text).into_iter().map(|f| f.message).collect();
        assert_eq!(messages.len(), 2, "faults reported: {messages:?}");
    }

    #[test]
    fn garbage_is_a_fault_and_no_panic() {
        for text in ["[", "a", "= =", "[workspace.\"bad name\"]\nallow=[]\n", "\u{0}"] {
            assert!(!faults_of(text).is_empty());
        }
    }
}
