//! Reading and checking a folder of declarations.
//!
//! All faults are reported, not only the first: a file is read again with the faulty line blanked
//! until it reads or the rest makes no sense. Unknown names are answered with the nearest known.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::codes::Code;
use crate::config::{
    Kind, Model, Object, ObjectKey, Objective, Policy, Pool, Rollout, Service, Version, Workspace,
};
use crate::errors::Error;
use crate::ids::{ModelId, PoolId, RolloutId, RouteId, ServiceId, VersionRef, WorkspaceId};
use crate::message_auth::KeyRing;
use crate::policy;

/// Most faults reported for one file.
const MAX_FAULTS: usize = 50;

/// One fault of a declaration or a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 if the fault is in no one line.
    pub line: usize,
    /// What is wrong.
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

/// A file of declarations.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
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

impl File {
    fn into_objects(self) -> Vec<(ObjectKey, Object)> {
        let mut out = Vec::new();
        collect(&mut out, Kind::Workspace, self.workspace, Object::Workspace);
        collect(&mut out, Kind::Model, self.model, Object::Model);
        collect(&mut out, Kind::Version, self.version, Object::Version);
        collect(&mut out, Kind::Pool, self.pool, Object::Pool);
        collect(&mut out, Kind::Service, self.service, Object::Service);
        collect(&mut out, Kind::Policy, self.policy, Object::Policy);
        collect(&mut out, Kind::Rollout, self.rollout, Object::Rollout);
        collect(&mut out, Kind::Objective, self.objective, Object::Objective);
        collect(&mut out, Kind::KeyRing, self.keyring, Object::KeyRing);
        out
    }
}

fn collect<K: fmt::Display, V>(
    out: &mut Vec<(ObjectKey, Object)>,
    kind: Kind,
    from: BTreeMap<K, V>,
    wrap: fn(V) -> Object,
) {
    out.extend(from.into_iter().map(|(name, v)| (ObjectKey::new(kind, name), wrap(v))));
}

/// Reads TOML text into `T`, reporting every fault that can be told apart.
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
        let told = faults.iter().any(|f: &Fault| f.line == line);
        let missing = err.message().starts_with("missing field");
        if !(told && missing) {
            let message = with_nearest(err.message());
            faults.push(Fault { file: file.to_string(), line, message });
        }
        if missing || faults.len() >= MAX_FAULTS || !blank_line(&mut text, &span) {
            return Err(faults);
        }
    }
}

/// Blanks the line where `span` starts; tells whether anything was there to blank.
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

/// Adds the nearest known name to a message about an unknown one.
fn with_nearest(message: &str) -> String {
    let mut quoted = message.split('`').skip(1).step_by(2);
    let given = quoted.next().unwrap_or_default();
    let nearest = quoted
        .max_by(|a, b| strsim::jaro_winkler(a, given).total_cmp(&strsim::jaro_winkler(b, given)));
    match nearest {
        Some(name) if message.starts_with("unknown field") => {
            format!("unknown name `{given}`; the nearest known is `{name}`")
        }
        _ => message.trim().to_string(),
    }
}

/// The objects of a folder, by key.
pub type Declared = BTreeMap<ObjectKey, Object>;

/// Reads and checks the files of a folder, given as names and texts.
pub fn read_folder(files: &[(String, String)]) -> Result<Declared, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut all: BTreeMap<ObjectKey, (String, Object)> = BTreeMap::new();
    for (name, text) in files {
        match read_toml::<File>(name, text) {
            Ok(file) => {
                for (key, object) in file.into_objects() {
                    if let Some((other, _)) = all.insert(key.clone(), (name.clone(), object)) {
                        let message = format!("{key} is declared in {other} too");
                        faults.push(Fault { file: name.clone(), line: 0, message });
                    }
                }
            }
            Err(mut found) => faults.append(&mut found),
        }
    }
    if faults.is_empty() {
        faults = check_references(&all);
    }
    match faults.is_empty() {
        true => Ok(all.into_iter().map(|(key, (_, object))| (key, object)).collect()),
        false => Err(faults),
    }
}

/// Checks the names that objects use of each other, and the policies' programs and cases.
fn check_references(all: &BTreeMap<ObjectKey, (String, Object)>) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (key, (file, object)) in all {
        let mut say = |message: String| {
            let message = format!("{key}: {message}");
            faults.push(Fault { file: file.clone(), line: 0, message });
        };
        let has = |kind: Kind, name: String| all.contains_key(&ObjectKey { kind, name });
        let mut need = |kind: Kind, name: String| {
            if !has(kind, name.clone()) {
                say(format!("names {} {name}, which is not declared", kind.as_str()));
            }
        };
        match object {
            Object::Workspace(w) => {
                w.allow.iter().for_each(|v| need(Kind::Version, v.to_string()));
            }
            Object::Model(m) => need(Kind::Version, m.serving.to_string()),
            Object::Version(v) => need(Kind::Pool, v.pool.to_string()),
            Object::Service(s) => {
                s.workspaces.iter().for_each(|w| need(Kind::Workspace, w.to_string()));
            }
            Object::Policy(p) => {
                p.fallback.iter().for_each(|m| need(Kind::Model, m.to_string()));
                let models = |m: &ModelId| has(Kind::Model, m.to_string());
                policy::check(p, &models).into_iter().for_each(&mut say);
            }
            Object::Rollout(r) => {
                need(Kind::Version, r.from.to_string());
                need(Kind::Version, r.to.to_string());
                check_rollout(r).into_iter().for_each(&mut say);
            }
            Object::Objective(o) => {
                need(Kind::Workspace, o.workspace.to_string());
                need(Kind::Policy, o.route.to_string());
                if !(0.0..1.0).contains(&o.target) {
                    say(format!("target {} is not from 0 up to, but not, 1", o.target));
                }
            }
            Object::KeyRing(k) => {
                if k.current.secret.len() < MIN_SECRET_LEN {
                    say(format!("the secret is shorter than {MIN_SECRET_LEN} characters"));
                }
            }
            Object::Pool(_) | Object::Withdrawal(_) | Object::RolloutState(_) => {}
        }
    }
    faults
}

/// Least characters of a secret.
const MIN_SECRET_LEN: usize = 16;

fn check_rollout(r: &Rollout) -> Vec<String> {
    let mut out = Vec::new();
    if r.from.model != r.to.model {
        out.push(format!("{} and {} are of different models", r.from, r.to));
    }
    if r.stages.is_empty() {
        out.push("has no stages".to_string());
    }
    for (i, stage) in r.stages.iter().enumerate() {
        if !(stage.share > 0.0 && stage.share <= 1.0) {
            out.push(format!("stage {i}: share {} is not above 0 and up to 1", stage.share));
        }
        if stage.cap == 0 {
            out.push(format!("stage {i}: a cap of 0 lets nothing through"));
        }
    }
    out
}

/// Makes one coded error of many faults.
pub fn faults_error(code: Code, faults: &[Fault]) -> Error {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    Error::new(code, lines.join("\n"))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn faults_of(text: &str) -> Vec<Fault> {
        read_folder(&[("a.toml".to_string(), text.to_string())]).expect_err("faults")
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
        assert_eq!(messages.len(), 2, "{messages:?}");
    }

    #[test]
    fn garbage_is_a_fault_and_no_panic() {
        for text in ["[", "a", "= =", "[workspace.\"bad name\"]\nallow=[]\n", "\u{0}"] {
            assert!(!faults_of(text).is_empty());
        }
    }
}
