//! The endpoints that the store lists, kept through its outages.
//!
//! An endpoint renews its entry in the store, so entries lapse while the store is away although the
//! endpoints live. Those are back soon after the store is; until then an entry that went missing
//! across an outage is kept, and dropped if it has not come back in time.
//!
//! A host may lose the store alone. Reads that it hears of tell the two apart: while they go on, no entry
//! lapses, and one that went is gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::{EndpointId, FailureDomain, ServiceId, VersionName};
use crate::units::Millis;

/// How long entries that lapsed in an outage are kept after the store's return. Endpoints that live
/// are listed again within two seconds; the rest is the watch's way.
const LAPSED_RETENTION: Millis = Millis(2_300);

/// Longest time between two reads that the store answered in which no entry lapses. An endpoint renews
/// its entry about each 1.2 s and loses it after three missed ones: an outage of 2.4 s is the shortest that
/// makes an entry lapse.
const MAX_READ_INTERVAL: Millis = Millis(2_300);

/// What an endpoint says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Its id. It may start again under it, and then knows nothing of before.
    pub id: EndpointId,
    /// The service it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The version it runs.
    pub version: VersionName,
    /// Requests it works on at a time.
    pub slots: u32,
    /// When it started, by its own clock, in milliseconds since 1970; `None` where endpoints don't tell. Only
    /// starts of the same endpoint are compared.
    pub started: Option<Millis>,
    /// Whether it takes no new requests.
    pub is_leaving: bool,
}

impl EndpointRecord {
    /// Tells whether this is of a later start of the endpoint than another record.
    fn is_later_incarnation_than(&self, other: &EndpointRecord) -> bool {
        self.started.zip(other.started).is_some_and(|(this, other)| this > other)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    record: EndpointRecord,
    /// Whether the entry was missing when the store came back.
    is_lapsed: bool,
}

/// Reads that the store answered, to whatever host, without a time between them in which entries lapse.
#[derive(Clone, Copy, Debug)]
struct RecentReads {
    first_at: Millis,
    last_at: Millis,
}

/// All endpoints this host believes in.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    entries: BTreeMap<EndpointId, Entry>,
    is_store_unreachable: bool,
    store_reachable_since: Option<Millis>,
    recent_reads: Option<RecentReads>,
}

impl EndpointTable {
    /// Takes note that the store does not answer.
    pub fn mark_store_unreachable(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Takes note that the store answers again.
    pub fn mark_store_reachable(&mut self, now: Millis) {
        if self.is_store_unreachable {
            self.is_store_unreachable = false;
            self.store_reachable_since = Some(now);
        }
    }

    /// Takes note that the store answered a read which some host began at `began`.
    pub fn record_store_read(&mut self, began: Millis) {
        self.recent_reads = match self.recent_reads {
            Some(reads) if began <= reads.last_at + MAX_READ_INTERVAL => {
                Some(RecentReads { last_at: began.max(reads.last_at), ..reads })
            }
            _ => Some(RecentReads { first_at: began, last_at: began }),
        };
    }

    /// Takes a whole list.
    pub fn replace(&mut self, now: Millis, records: Vec<EndpointRecord>) {
        let retains_missing = self.retains_lapsed(now);
        let mut previous = std::mem::take(&mut self.entries);
        for record in records {
            previous.remove(&record.id);
            self.upsert(record);
        }
        for (id, entry) in previous {
            if retains_missing && !entry.record.is_leaving {
                self.entries.insert(id, Entry { is_lapsed: true, ..entry });
            }
        }
    }

    /// Tells whether a record is of a start before the one that is known: it comes late.
    pub fn is_outdated(&self, record: &EndpointRecord) -> bool {
        self.get(&record.id).is_some_and(|known| known.is_later_incarnation_than(record))
    }

    /// Tells whether a record is of a start after the one that is known.
    pub fn is_new_incarnation(&self, record: &EndpointRecord) -> bool {
        self.get(&record.id).is_some_and(|known| record.is_later_incarnation_than(known))
    }

    /// Takes a new or changed entry.
    pub fn upsert(&mut self, record: EndpointRecord) {
        self.entries.insert(record.id.clone(), Entry { record, is_lapsed: false });
    }

    /// Takes a removal.
    pub fn remove(&mut self, now: Millis, id: &EndpointId) {
        let retains = self.retains_lapsed(now);
        match self.entries.get_mut(id) {
            Some(entry) if retains && !entry.record.is_leaving => entry.is_lapsed = true,
            _ => {
                self.entries.remove(id);
            }
        }
    }

    /// Drops an entry at once.
    pub fn remove_now(&mut self, id: &EndpointId) {
        self.entries.remove(id);
    }

    /// Drops entries that lapsed and have not come back; tells whether there were any.
    pub fn sweep(&mut self, now: Millis) -> bool {
        if self.retains_lapsed(now) {
            return false;
        }
        let before = self.entries.len();
        self.entries.retain(|_, e| !e.is_lapsed);
        self.entries.len() < before
    }

    /// Tells whether an endpoint is believed in.
    pub fn contains(&self, id: &EndpointId) -> bool {
        self.entries.contains_key(id)
    }

    /// Gets the record of an endpoint that is believed in.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        self.entries.get(id).map(|e| &e.record)
    }

    /// Tells whether any endpoint of a service runs a version.
    pub fn has_version(&self, service: &ServiceId, version: &VersionName) -> bool {
        self.records().any(|r| r.service == *service && r.version == *version)
    }

    /// Lists the records.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().map(|e| &e.record)
    }

    /// Tells whether an entry that goes may have lapsed. To this host the store may be away while the
    /// others reach it: an entry that goes then is of an endpoint that left.
    fn retains_lapsed(&self, now: Millis) -> bool {
        let may_have_lapsed = self.is_store_unreachable
            || self.store_reachable_since.is_some_and(|at| now < at + LAPSED_RETENTION);
        may_have_lapsed && !self.has_steady_reads(now)
    }

    /// Tells whether the store has answered for so long that entries which had lapsed before are back.
    fn has_steady_reads(&self, now: Millis) -> bool {
        let is_steady = |reads: &RecentReads| {
            now <= reads.last_at + MAX_READ_INTERVAL && now >= reads.first_at + LAPSED_RETENTION
        };
        self.recent_reads.as_ref().is_some_and(is_steady)
    }
}
