//! The endpoints that the store lists, kept through its outages.
//!
//! An endpoint renews its entry in the store, so entries lapse while the store is away although the
//! endpoints live. Those are back soon after the store is; until then an entry that went missing
//! across an outage is kept, and dropped if it has not come back in time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::ids::{EndpointId, FailureDomain, ServiceId, VersionName};
use crate::units::Millis;

/// How long entries that lapsed in an outage are kept after the store's return. Endpoints that live
/// are listed again within two seconds; the rest is the watch's way.
const LAPSED_KEPT: Millis = Millis(2_300);

/// What an endpoint says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// Its id; a restart brings a new one.
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
    /// Whether it takes no new requests.
    pub is_leaving: bool,
}

#[derive(Clone, Debug)]
struct Entry {
    record: EndpointRecord,
    /// Whether the entry was missing when the store came back.
    is_lapsed: bool,
}

/// All endpoints this host believes in.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    entries: BTreeMap<EndpointId, Entry>,
    is_store_away: bool,
    store_back_at: Option<Millis>,
}

impl EndpointTable {
    /// Takes note that the store does not answer.
    pub fn store_lost(&mut self) {
        self.is_store_away = true;
    }

    /// Takes note that the store answers again.
    pub fn store_back(&mut self, now: Millis) {
        if self.is_store_away {
            self.is_store_away = false;
            self.store_back_at = Some(now);
        }
    }

    /// Takes a whole list.
    pub fn replace(&mut self, now: Millis, records: Vec<EndpointRecord>) {
        let keeps_missing = self.forgives_lapses(now);
        let mut old = std::mem::take(&mut self.entries);
        for record in records {
            old.remove(&record.id);
            self.upsert(record);
        }
        for (id, entry) in old {
            if keeps_missing && !entry.record.is_leaving {
                self.entries.insert(id, Entry { is_lapsed: true, ..entry });
            }
        }
    }

    /// Takes a new or changed entry.
    pub fn upsert(&mut self, record: EndpointRecord) {
        self.entries.insert(record.id.clone(), Entry { record, is_lapsed: false });
    }

    /// Takes a removal.
    pub fn remove(&mut self, now: Millis, id: &EndpointId) {
        let keeps = self.forgives_lapses(now);
        match self.entries.get_mut(id) {
            Some(entry) if keeps && !entry.record.is_leaving => entry.is_lapsed = true,
            _ => {
                self.entries.remove(id);
            }
        }
    }

    /// Drops entries that lapsed and have not come back; tells whether there were any.
    pub fn sweep(&mut self, now: Millis) -> bool {
        if self.forgives_lapses(now) {
            return false;
        }
        let before = self.entries.len();
        self.entries.retain(|_, e| !e.is_lapsed);
        self.entries.len() < before
    }

    /// Tells whether an endpoint is believed in.
    pub fn has(&self, id: &EndpointId) -> bool {
        self.entries.contains_key(id)
    }

    /// Gets the record of an endpoint that is believed in.
    pub fn get(&self, id: &EndpointId) -> Option<&EndpointRecord> {
        self.entries.get(id).map(|e| &e.record)
    }

    /// Tells whether any endpoint of a service runs a version.
    pub fn runs(&self, service: &ServiceId, version: &VersionName) -> bool {
        self.records().any(|r| r.service == *service && r.version == *version)
    }

    /// Lists the records.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.entries.values().map(|e| &e.record)
    }

    fn forgives_lapses(&self, now: Millis) -> bool {
        self.is_store_away || self.store_back_at.is_some_and(|at| now < at + LAPSED_KEPT)
    }
}
