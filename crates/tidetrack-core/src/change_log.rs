//! A map that records the order in which its entries last changed.
//!
//! Hosts send each other only what has changed since the last acknowledgement of the receiver. Each
//! entry has the local sequence number of its last change, so the position of a peer is a single
//! number, its cursor.

use std::collections::BTreeMap;

use crate::ids::Incarnation;

#[derive(Clone, Debug)]
struct LogEntry<V> {
    seq: u64,
    /// Incarnation that reported the change; it is not sent back there.
    source: Option<Incarnation>,
    value: V,
}

/// A map whose entries can be listed by their last change.
#[derive(Clone, Debug)]
pub struct ChangeLog<K, V> {
    entries: BTreeMap<K, LogEntry<V>>,
    by_seq: BTreeMap<u64, K>,
    seq: u64,
}

impl<K: Ord + Clone, V> Default for ChangeLog<K, V> {
    fn default() -> Self {
        ChangeLog { entries: BTreeMap::new(), by_seq: BTreeMap::new(), seq: 0 }
    }
}

impl<K: Ord + Clone, V> ChangeLog<K, V> {
    /// Returns the sequence number of the last change, or 0 if there was none.
    pub fn seq(&self) -> u64 {
        self.seq
    }

    /// Returns the value of a key.
    pub fn lookup(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Sets a value and records the change as local.
    pub fn put(&mut self, key: K, value: V) {
        self.put_from(key, value, None);
    }

    /// Sets a value and records the change, along with the host that reported it, if any.
    pub fn put_from(&mut self, key: K, value: V, source: Option<Incarnation>) {
        self.seq += 1;
        let entry = LogEntry { seq: self.seq, source, value };
        if let Some(old) = self.entries.insert(key.clone(), entry) {
            self.by_seq.remove(&old.seq);
        }
        self.by_seq.insert(self.seq, key);
    }

    /// Removes a key and returns its value. Removals are not recorded as changes.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let entry = self.entries.remove(key)?;
        self.by_seq.remove(&entry.seq);
        Some(entry.value)
    }

    /// Iterates over the entries that changed after `cursor`, oldest change first.
    pub fn since(&self, cursor: u64) -> impl Iterator<Item = (u64, &K, &V)> {
        self.by_seq.range(cursor + 1..).filter_map(|(seq, key)| {
            let entry = self.entries.get(key)?;
            Some((*seq, key, &entry.value))
        })
    }

    /// Iterates over the entries that changed after `cursor`, except those that `peer` itself
    /// reported.
    ///
    /// Another incarnation of the same host counts as another peer, because it knows nothing of
    /// what the previous one reported.
    pub fn changes_for<'a>(
        &'a self,
        peer: Option<&'a Incarnation>,
        cursor: u64,
    ) -> impl Iterator<Item = (u64, &'a V)> {
        self.by_seq.range(cursor + 1..).filter_map(move |(seq, key)| {
            let entry = self
                .entries
                .get(key)
                .filter(|k| k.source.is_none() || k.source.as_ref() != peer)?;
            Some((*seq, &entry.value))
        })
    }

    /// Iterates over all entries in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(k, entry)| (k, &entry.value))
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_are_not_sent_back_to_their_source_incarnation() {
        let incarnation =
            |n: u64| Incarnation { host: "h".parse().expect("the host name parses"), nonce: n };
        let mut log = ChangeLog::default();
        log.put_from("a", 1, Some(incarnation(1)));
        assert_eq!(log.changes_for(Some(&incarnation(1)), 0).count(), 0);
        assert_eq!(log.changes_for(Some(&incarnation(2)), 0).count(), 1);
        assert_eq!(log.changes_for(None, 0).count(), 1);
    }

    #[test]
    fn since_returns_each_changed_key_once_with_latest_value() {
        let mut log = ChangeLog::default();
        log.put("a", 1);
        let cursor = log.seq();
        log.put("b", 1);
        log.put("b", 2);
        let seen: Vec<(&str, i32)> = log.since(cursor).map(|(_, k, v)| (*k, *v)).collect();
        assert_eq!(seen, [("b", 2)]);
    }
}
