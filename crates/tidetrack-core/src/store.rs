//! A host's copy of the configuration.
//!
//! The copy maps each object to the highest version seen. Merging takes the higher version per object, so
//! an older value cannot return by any network path. A deletion is stored as a version as well.
//! `complete_to` is the revision of the platform up to which no change is missing.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::config::{Object, ObjectKey};

/// One version of one object, or its deletion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Key of the object.
    pub key: ObjectKey,
    /// Revision of the platform that wrote this version.
    pub version: u64,
    /// The object as JSON text; `None` for a deletion.
    pub body: Option<Arc<str>>,
}

/// The complete changes of a range of revisions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision after which the range starts.
    pub from: u64,
    /// Last revision of the range.
    pub to: u64,
    /// The changed objects in their latest versions, ordered by version.
    pub entries: Vec<Entry>,
}

/// A parsed object with its key and version.
pub type ParsedObject = (ObjectKey, u64, Object);

/// Key of an object that cannot be parsed, with the error.
pub type InvalidObject = (ObjectKey, String);

impl Delta {
    /// Returns the total size of the bodies in bytes.
    pub fn body_bytes(&self) -> usize {
        self.entries.iter().filter_map(|e| e.body.as_ref()).map(|b| b.len()).sum()
    }
}

/// A host's copy of the configuration; changes may be merged in any order.
#[derive(Clone, Debug, Default)]
pub struct Store {
    objects: BTreeMap<ObjectKey, Entry>,
    /// Keys of all objects, ordered by version.
    by_version: BTreeMap<(u64, ObjectKey), ()>,
    complete_to: u64,
}

impl Store {
    /// Returns the revision up to which no change is missing; 0 before the first list was merged.
    pub fn complete_to(&self) -> u64 {
        self.complete_to
    }

    /// Reports whether the copy is complete up to any revision.
    pub fn is_ready(&self) -> bool {
        self.complete_to > 0
    }

    /// Merges one object and reports whether it was newer than the stored one.
    fn merge_entry(&mut self, entry: Entry) -> bool {
        if let Some(old) = self.objects.get(&entry.key) {
            if old.version >= entry.version {
                return false;
            }
            self.by_version.remove(&(old.version, old.key.clone()));
        }
        self.by_version.insert((entry.version, entry.key.clone()), ());
        self.objects.insert(entry.key.clone(), entry);
        true
    }

    /// Merges a range of changes and reports whether the copy changed.
    ///
    /// `complete_to` advances only if the range starts at or before it, so that it leaves no gap.
    pub fn merge(&mut self, delta: Delta) -> bool {
        let mut changed = false;
        for entry in delta.entries {
            changed |= self.merge_entry(entry);
        }
        if delta.from <= self.complete_to && delta.to > self.complete_to {
            self.complete_to = delta.to;
            changed = true;
        }
        changed
    }

    /// Merges the full list of objects at `revision` and reports whether the copy changed. An object that
    /// is not in the list was deleted by that revision.
    pub fn merge_list(&mut self, revision: u64, entries: Vec<Entry>) -> bool {
        let listed: std::collections::BTreeSet<ObjectKey> =
            entries.iter().map(|e| e.key.clone()).collect();
        let deleted: Vec<ObjectKey> = self
            .objects
            .values()
            .filter(|e| e.body.is_some() && e.version <= revision && !listed.contains(&e.key))
            .map(|e| e.key.clone())
            .collect();
        let mut changed = self.merge(Delta { from: 0, to: revision, entries });
        for key in deleted {
            changed |= self.merge_entry(Entry { key, version: revision, body: None });
        }
        changed
    }

    /// Returns the changes after revision `from`: at most `max_objects`, ending with the one that exceeds
    /// `max_bytes`. Each object counts as its body plus 64 bytes.
    pub fn changes_since(&self, from: u64, max_objects: usize, max_bytes: usize) -> Delta {
        let mut entries: Vec<Entry> = Vec::new();
        let mut bytes = 0;
        let mut to = self.complete_to;
        for (version, key) in self.by_version.range((from + 1, min_key())..).map(|(k, _)| k) {
            if entries.len() >= max_objects || (bytes > max_bytes && !entries.is_empty()) {
                to = to.min(entries.last().map_or(from, |e| e.version));
                break;
            }
            let entry = &self.objects[key];
            bytes += entry.body.as_ref().map_or(0, |b| b.len()) + 64;
            debug_assert_eq!(entry.version, *version);
            entries.push(entry.clone());
        }
        Delta { from, to, entries }
    }

    /// Returns the entry of an object, or `None` if the object is unknown.
    pub fn lookup(&self, key: &ObjectKey) -> Option<&Entry> {
        self.objects.get(key)
    }

    /// Iterates over all entries, deletions included.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.objects.values()
    }

    /// Parses all objects that are not deleted. Those that cannot be parsed are returned separately, with
    /// the errors.
    pub fn objects(&self) -> (Vec<ParsedObject>, Vec<InvalidObject>) {
        let mut parsed = Vec::new();
        let mut invalid = Vec::new();
        for entry in self.objects.values() {
            let Some(body) = &entry.body else { continue };
            match Object::from_json(entry.key.kind, body) {
                Ok(object) => parsed.push((entry.key.clone(), entry.version, object)),
                Err(e) => invalid.push((entry.key.clone(), e.to_string())),
            }
        }
        (parsed, invalid)
    }
}

/// Returns a key that sorts before all keys of objects.
fn min_key() -> ObjectKey {
    ObjectKey::new(crate::config::ObjectKind::Workspace, "")
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::ObjectKind;

    fn entry(name: &str, version: u64, body: Option<&str>) -> Entry {
        Entry { key: ObjectKey::new(ObjectKind::Model, name), version, body: body.map(Arc::from) }
    }

    fn delta(from: u64, to: u64, entries: Vec<Entry>) -> Delta {
        Delta { from, to, entries }
    }

    #[test]
    fn an_older_version_never_comes_back() {
        let mut store = Store::default();
        store.merge(delta(0, 5, vec![entry("m", 5, None)]));
        assert!(!store.merge(delta(0, 4, vec![entry("m", 4, Some("{}"))])));
        let key = ObjectKey::new(ObjectKind::Model, "m");
        assert_eq!(store.lookup(&key).expect("the entry is in the store").version, 5);
    }

    #[test]
    fn a_gap_does_not_count_as_complete() {
        let mut store = Store::default();
        store.merge(delta(0, 5, vec![]));
        store.merge(delta(7, 9, vec![entry("m", 9, Some("{}"))]));
        assert_eq!(store.complete_to(), 5);
        store.merge(delta(5, 9, vec![]));
        assert_eq!(store.complete_to(), 9);
    }

    #[test]
    fn a_list_implies_deletions() {
        let mut store = Store::default();
        store.merge_list(5, vec![entry("a", 3, Some("{}")), entry("b", 5, Some("{}"))]);
        store.merge_list(8, vec![entry("b", 5, Some("{}"))]);
        let key = ObjectKey::new(ObjectKind::Model, "a");
        assert_eq!(store.lookup(&key).expect("the entry is in the store").body, None);
    }

    #[test]
    fn partial_deltas_add_up() {
        let mut full = Store::default();
        let entries = (1..=10).map(|v| entry(&format!("m{v}"), v, Some("{}"))).collect();
        full.merge(delta(0, 10, entries));
        let mut copy = Store::default();
        while copy.complete_to() < 10 {
            copy.merge(full.changes_since(copy.complete_to(), 3, 1 << 20));
        }
        assert_eq!(copy.iter().count(), 10);
    }
}
