//! The endpoints listed in the store, retained through outages and restorations of the store.
//!
//! An endpoint renews its entry in the store periodically, so entries lapse during an outage of the
//! store although the endpoints are running. These endpoints are listed again soon after the store
//! returns. Until then an entry that disappeared across an outage is retained; it is dropped if it
//! is not listed again in time.
//!
//! A host may lose its own connection to the store while other hosts still reach it. The proofs of
//! the configuration that other hosts pass on show that the store is up: while such reads continue,
//! no entry lapses, and an entry that disappears belongs to an endpoint that ended.
//!
//! A store that was restored from an older copy lists endpoints that have ended since, and lacks what
//! endpoints wrote since: that they started, or that they leave. Running endpoints write it again
//! within a short time, and the store removes the entries of the others. Until then what was known
//! stays in force; after that what the store lists does, as an endpoint may have written its entry
//! before the list was read.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use crate::errors::{bad_value, Result};
use crate::ids::{EndpointId, FailureDomain, ServiceId, VersionName};
use crate::units::Millis;

/// How long lapsed entries are retained after the store returns. Running endpoints are listed again
/// within two seconds; the rest covers the delivery through the watch.
const LAPSED_RETENTION: Millis = Millis(2_300);

/// Longest interval between two answered reads during which no entry can lapse. An endpoint renews
/// its entry about every 1.2 s and loses it after three missed renewals, so the shortest outage in
/// which an entry lapses is 2.4 s.
const MAX_READ_INTERVAL: Millis = Millis(2_300);

/// How long the state known before a restoration stays in force against the list of the restored store.
/// The store removes the entry of an endpoint that has ended after three missed renewals; the rest
/// covers a renewal just before the copy was made, and the delivery through the watch.
const RESTORED_RETENTION: Millis = Millis(6_000);

/// How long an ended endpoint is remembered, in case that a restored store lists it again.
const ENDED_RETENTION: Millis = Millis(60_000);

/// Maximum number of ended endpoints that are remembered.
const MAX_ENDED: usize = 1_024;

/// Checks that an address can be that of an endpoint. Fails for port 0 and for addresses that do not
/// belong to one machine; a connection to the unspecified address would reach the own machine.
pub fn check_address(address: SocketAddr) -> Result<SocketAddr> {
    let ip = address.ip().to_canonical();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
        let expected = "the address and port of one machine";
        return Err(bad_value("the address", &address.to_string(), expected));
    }
    Ok(address)
}

/// An endpoint's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Id of the endpoint. A restarted endpoint keeps its id but no state of its previous
    /// incarnation.
    pub id: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address that the endpoint listens on.
    pub address: SocketAddr,
    /// Failure domain that the endpoint runs in.
    pub failure_domain: FailureDomain,
    /// Version that the endpoint runs.
    pub version: VersionName,
    /// Number of requests that the endpoint processes concurrently.
    pub slots: u32,
    /// Start of the endpoint's incarnation in milliseconds since 1970, by its own clock; `None` if
    /// endpoints do not report it. Only values of the same endpoint are compared.
    pub started: Option<Millis>,
    /// Whether the endpoint accepts no new requests.
    pub is_leaving: bool,
    /// How long the endpoint stays cold after it wrote the entry; 0 if it is warm.
    pub cold_for: Millis,
}

impl EndpointRecord {
    /// Reports whether this record is from a later incarnation than `other`.
    fn is_later_incarnation_than(&self, other: &EndpointRecord) -> bool {
        self.started.zip(other.started).is_some_and(|(this, other)| this > other)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    record: EndpointRecord,
    /// Whether the entry disappeared across an outage of the store.
    is_lapsed: bool,
}

/// A sequence of answered reads, by any host, without an interval in which entries could lapse.
#[derive(Clone, Copy, Debug)]
struct RecentReads {
    first_at: Millis,
    last_at: Millis,
}

/// All endpoints that this host considers as existing.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    entries: BTreeMap<EndpointId, Entry>,
    is_store_unreachable: bool,
    store_reachable_since: Option<Millis>,
    /// When the store was last found to be restored from a copy.
    restored_at: Option<Millis>,
    /// Entries that a restored store lists as ready although the endpoint was known to leave or to
    /// have ended, and entries of an earlier incarnation than the known one.
    unconfirmed: BTreeMap<EndpointId, EndpointRecord>,
    /// Endpoints whose entries were removed: when, and the start of their last incarnation.
    ended: BTreeMap<EndpointId, (Millis, Option<Millis>)>,
    recent_reads: Option<RecentReads>,
}

impl EndpointTable {
    /// Records that the store does not respond to this host.
    pub fn mark_store_unreachable(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Records that the store responds to this host again.
    pub fn mark_store_reachable(&mut self, now: Millis) {
        if self.is_store_unreachable {
            self.is_store_unreachable = false;
            self.store_reachable_since = Some(now);
            // While the store was away, endpoints could not write that they leave, and entries of ended
            // ones were not removed.
            if !self.unconfirmed.is_empty() && !self.has_steady_reads(now) {
                self.restored_at = Some(now);
            }
        }
    }

    /// Records that the store answered a read which some host began at `began`.
    pub fn record_store_read(&mut self, began: Millis) {
        self.recent_reads = match self.recent_reads {
            Some(reads) if began <= reads.last_at + MAX_READ_INTERVAL => {
                Some(RecentReads { last_at: began.max(reads.last_at), ..reads })
            }
            _ => Some(RecentReads { first_at: began, last_at: began }),
        };
    }

    /// Records that the store was restored from an older copy, whose list follows.
    pub fn mark_restored(&mut self, now: Millis) {
        self.restored_at = Some(now);
    }

    /// Replaces all entries by a complete list.
    pub fn replace(&mut self, now: Millis, records: Vec<EndpointRecord>) {
        let retains_missing = self.is_restored(now) || self.retains_lapsed(now);
        let retains_known = self.retains_known(now);
        let mut previous = std::mem::take(&mut self.entries);
        self.unconfirmed.clear();
        for record in records {
            let known = previous.remove(&record.id).map(|entry| entry.record);
            if !retains_known || self.agrees_with_known(&record, known.as_ref()) {
                self.upsert(record);
                continue;
            }
            match known {
                Some(known) if known.is_later_incarnation_than(&record) => self.upsert(known),
                Some(_) => self.upsert(EndpointRecord { is_leaving: true, ..record.clone() }),
                None => {}
            }
            self.unconfirmed.insert(record.id.clone(), record);
        }
        for (id, entry) in previous {
            if retains_missing && !entry.record.is_leaving {
                self.entries.insert(id, Entry { is_lapsed: true, ..entry });
            } else {
                self.record_end(now, &entry.record);
            }
        }
    }

    /// Reports whether a listed record contradicts nothing that is known of the endpoint: that its
    /// incarnation leaves or has ended, or that a later one has started.
    fn agrees_with_known(&self, record: &EndpointRecord, known: Option<&EndpointRecord>) -> bool {
        match known {
            Some(known) if known.is_later_incarnation_than(record) => false,
            Some(known) => {
                !known.is_leaving || record.is_leaving || record.is_later_incarnation_than(known)
            }
            None => !self.has_ended(record),
        }
    }

    /// Returns the entries that a restored store lists against what was known, once endpoints that
    /// leave have had the time to write theirs again, and the store to remove those of ended ones.
    /// The caller applies them like changes.
    pub fn take_confirmed(&mut self, now: Millis) -> Vec<EndpointRecord> {
        if self.retains_known(now) || self.retains_lapsed(now) {
            return Vec::new();
        }
        std::mem::take(&mut self.unconfirmed).into_values().collect()
    }

    /// Returns the entries that a restored store lists against what is known.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.unconfirmed.values()
    }

    /// Remembers that the entry of an endpoint was removed.
    fn record_end(&mut self, now: Millis, record: &EndpointRecord) {
        self.ended.retain(|_, (at, _)| now < *at + ENDED_RETENTION);
        if self.ended.len() < MAX_ENDED {
            self.ended.insert(record.id.clone(), (now, record.started));
        }
    }

    /// Reports whether a record is of an incarnation whose entry was removed.
    fn has_ended(&self, record: &EndpointRecord) -> bool {
        self.ended.get(&record.id).is_some_and(|(_, started)| {
            record.started.zip(*started).is_none_or(|(this, ended)| this <= ended)
        })
    }

    /// Reports whether a record is from an earlier incarnation than the known one, so that it
    /// arrived late.
    pub fn is_outdated(&self, record: &EndpointRecord) -> bool {
        self.get(&record.id).is_some_and(|known| known.is_later_incarnation_than(record))
    }

    /// Reports whether a record is from a later incarnation than the known one.
    pub fn is_new_incarnation(&self, record: &EndpointRecord) -> bool {
        self.get(&record.id).is_some_and(|known| record.is_later_incarnation_than(known))
    }

    /// Inserts or replaces an entry.
    pub fn upsert(&mut self, record: EndpointRecord) {
        self.ended.remove(&record.id);
        self.unconfirmed.remove(&record.id);
        self.entries.insert(record.id.clone(), Entry { record, is_lapsed: false });
    }

    /// Handles the removal of an entry from the store. The entry is retained as lapsed if an outage
    /// may have caused the removal.
    pub fn remove(&mut self, now: Millis, id: &EndpointId) {
        let retains = self.retains_lapsed(now);
        self.unconfirmed.remove(id);
        match self.entries.get_mut(id) {
            Some(entry) if retains && !entry.record.is_leaving => entry.is_lapsed = true,
            _ => {
                let removed = self.entries.remove(id);
                removed.into_iter().for_each(|entry| self.record_end(now, &entry.record));
            }
        }
    }

    /// Drops an entry at once, without retaining it.
    pub fn remove_now(&mut self, id: &EndpointId) {
        self.unconfirmed.remove(id);
        self.entries.remove(id);
    }

    /// Drops lapsed entries that were not listed again in time. Returns whether any was dropped.
    pub fn sweep(&mut self, now: Millis) -> bool {
        if self.is_restored(now) || self.retains_lapsed(now) {
            return false;
        }
        let before = self.entries.len();
        self.entries.retain(|_, e| !e.is_lapsed);
        self.entries.len() < before
    }

    /// Reports whether an endpoint has an entry, lapsed ones included.
    pub fn contains(&self, id: &EndpointId) -> bool {
        self.entries.contains_key(id)
    }

    /// Returns the record of an endpoint, if it has an entry.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        self.entries.get(id).map(|e| &e.record)
    }

    /// Reports whether any endpoint of a service runs a version.
    pub fn has_version(&self, service: &ServiceId, version: &VersionName) -> bool {
        self.records().any(|r| r.service == *service && r.version == *version)
    }

    /// Returns all records, those of lapsed entries included.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().map(|e| &e.record)
    }

    /// Reports whether the store was restored so recently that endpoints may not have written their
    /// entries again.
    fn is_restored(&self, now: Millis) -> bool {
        self.restored_at.is_some_and(|at| now < at + LAPSED_RETENTION)
    }

    /// Reports whether what was known before the store was restored stays in force.
    fn retains_known(&self, now: Millis) -> bool {
        self.restored_at.is_some_and(|at| now < at + RESTORED_RETENTION)
    }

    /// Reports whether an entry that disappears now may have lapsed. If only this host cannot reach
    /// the store, an entry that disappears belongs to an endpoint that ended.
    fn retains_lapsed(&self, now: Millis) -> bool {
        let may_have_lapsed = self.is_store_unreachable
            || self.store_reachable_since.is_some_and(|at| now < at + LAPSED_RETENTION);
        may_have_lapsed && !self.has_steady_reads(now)
    }

    /// Reports whether the store has answered reads long enough for entries that lapsed before to
    /// be listed again.
    fn has_steady_reads(&self, now: Millis) -> bool {
        let is_steady = |reads: &RecentReads| {
            now <= reads.last_at + MAX_READ_INTERVAL && now >= reads.first_at + LAPSED_RETENTION
        };
        self.recent_reads.as_ref().is_some_and(is_steady)
    }
}
