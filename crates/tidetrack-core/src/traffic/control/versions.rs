//! Which versions of a service may serve.
//!
//! A version under roll-out is the trial's matter. This is about the others, and about hosts that don't know
//! of a roll-out: an order may be heard of later than the endpoints that it brings, be removed, or not be
//! readable, and a version that was held bad may run on for a while. So a version is not taken for proven
//! because no order names it. It has to have been there alone, or when a known roll-out of another one came,
//! or be older than the newest state of the roll-outs that this host has read.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{ServiceId, VersionName};
use crate::traffic::endpoints::EndpointRecord;
use crate::traffic::peers::BarredVersion;
use crate::units::Millis;

/// How long an unproven version is kept in mind after its last endpoint was listed: longer than endpoints
/// stay away through an outage of the store.
const UNPROVEN_KEPT: Millis = Millis(60_000);

/// How long a version is held that another host's last word of a roll-out names: several rounds.
const WORD_KEPT: Millis = Millis(3_000);

/// How long a version is held for want of news. A host that for so long neither read the roll-outs nor heard
/// of one is cut off from both the store and the others, and serves by what it has.
const HELD_FOR: Millis = Millis(5_000);

/// Why a version is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// It was bad, or its roll-out was replaced by another one.
    Bad,
    /// Its order was removed before the end.
    Removed,
    /// Another host told of its roll-out, at this time.
    Told(Millis),
}

/// A version that is listed.
#[derive(Clone, Copy, Debug)]
struct Listed {
    first_at: Millis,
    /// Revision of the store up to which the endpoints were known when it was first listed.
    revision: Option<u64>,
    /// Whether no roll-out is wanted any more to let it serve.
    is_clear: bool,
}

/// Versions by name.
type ByVersion<T> = BTreeMap<BarredVersion, T>;

/// What a host knows of its services' versions outside of their trials.
#[derive(Debug, Default)]
pub struct Versions {
    listed: ByVersion<Listed>,
    /// Versions that are held, with the time at which each was listed last.
    unproven: ByVersion<(Doubt, Millis)>,
    /// Services whose order cannot be read: it may name any of their versions.
    unreadable: BTreeSet<ServiceId>,
}

/// What came of a look at versions that are held for want of news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cleared {
    /// Whether some may serve from now on.
    pub any: bool,
    /// Revision up to which the roll-outs have to be read for the others.
    pub wanted: Option<u64>,
}

fn name_of(record: &EndpointRecord) -> BarredVersion {
    BarredVersion { service: record.service.clone(), version: record.version.clone() }
}

impl Versions {
    /// Takes note of a listed endpoint.
    pub fn list(&mut self, now: Millis, record: &EndpointRecord) {
        let first = Listed { first_at: now, revision: None, is_clear: false };
        self.listed.entry(name_of(record)).or_insert(first);
    }

    /// Takes note of the revision up to which the endpoints are known.
    pub fn listed_up_to(&mut self, revision: u64) {
        for listed in self.listed.values_mut() {
            listed.revision.get_or_insert(revision);
        }
    }

    /// Lets all versions serve that are listed of a service when an order of it comes: the order tells which of
    /// them is under roll-out. One that is listed later may have its own.
    pub fn ordered(&mut self, service: &ServiceId) {
        for (_, listed) in self.listed.iter_mut().filter(|(name, _)| name.service == *service) {
            listed.is_clear = true;
        }
    }

    /// Lets versions serve that need no roll-out any more; `rollouts` is the revision up to which these are
    /// known.
    pub fn clear(&mut self, now: Millis, rollouts: u64) -> Cleared {
        let mut cleared = Cleared::default();
        if self.listed.values().all(|listed| listed.is_clear) {
            return cleared;
        }
        let counts = self.counts();
        for (name, listed) in self.listed.iter_mut().filter(|(_, listed)| !listed.is_clear) {
            let is_old = listed.revision.is_some_and(|revision| revision <= rollouts);
            let is_out_of_time = now >= listed.first_at + HELD_FOR;
            let is_unnamed = (is_old || is_out_of_time) && !self.unreadable.contains(&name.service);
            let is_alone = counts.get(&name.service) == Some(&1);
            if is_unnamed || is_alone {
                listed.is_clear = true;
                cleared.any = true;
            } else {
                cleared.wanted = cleared.wanted.max(listed.revision);
            }
        }
        cleared
    }

    /// Takes note that a service's order cannot be read.
    pub fn set_unreadable(&mut self, service: ServiceId) {
        self.unreadable.insert(service);
    }

    /// Takes note that a service's order can be read, or is gone.
    pub fn set_readable(&mut self, service: &ServiceId) {
        self.unreadable.remove(service);
    }

    /// Holds a version.
    pub fn hold(&mut self, now: Millis, version: BarredVersion, doubt: Doubt) {
        self.unproven.insert(version, (doubt, now));
    }

    /// Takes another host's word that a version is under roll-out; tells whether it is held by that.
    pub fn told(&mut self, now: Millis, version: BarredVersion) -> bool {
        match self.unproven.get(&version) {
            Some((Doubt::Bad | Doubt::Removed, _)) => false,
            before => {
                let is_news = before.is_none();
                self.hold(now, version, Doubt::Told(now));
                is_news
            }
        }
    }

    /// Holds a version no longer: it is under roll-out again.
    pub fn release(&mut self, version: &BarredVersion) {
        self.unproven.remove(version);
    }

    /// Tells whether a version is held bad.
    pub fn is_bad(&self, version: &BarredVersion) -> bool {
        self.unproven.get(version).is_some_and(|(doubt, _)| *doubt == Doubt::Bad)
    }

    /// Lists the versions that are held bad.
    pub fn bad(&self) -> impl Iterator<Item = &BarredVersion> {
        self.unproven.iter().filter(|(_, (doubt, _))| *doubt == Doubt::Bad).map(|(name, _)| name)
    }

    /// Tells whether an endpoint's version may serve, if it is not under roll-out. Where a service has no
    /// other version, nothing is gained by holding one that was not found bad.
    pub fn may_serve(&self, record: &EndpointRecord) -> bool {
        let name = name_of(record);
        match self.unproven.get(&name) {
            Some((Doubt::Bad, _)) => false,
            Some(_) => self.is_alone(&name.service),
            None => self.listed.get(&name).is_some_and(|listed| listed.is_clear),
        }
    }

    /// Lists services that have a version which is held for want of news.
    pub fn untold(&self) -> BTreeSet<ServiceId> {
        let held = self.listed.iter().filter(|(_, listed)| !listed.is_clear);
        held.map(|(name, _)| name.service.clone()).collect()
    }

    /// Forgets what no endpoint runs any more; tells whether that lets another version serve.
    pub fn sweep<'a>(
        &mut self,
        now: Millis,
        records: impl Iterator<Item = &'a EndpointRecord>,
    ) -> bool {
        let run: BTreeSet<(&ServiceId, &VersionName)> =
            records.map(|r| (&r.service, &r.version)).collect();
        let is_run = |name: &BarredVersion| run.contains(&(&name.service, &name.version));
        let before = (self.listed.len(), self.unproven.len());
        self.listed.retain(|name, _| is_run(name));
        self.unproven.retain(|name, (doubt, listed_at)| {
            if is_run(name) {
                *listed_at = now;
            }
            let is_told = match doubt {
                Doubt::Told(at) => now < *at + WORD_KEPT,
                Doubt::Bad | Doubt::Removed => true,
            };
            is_told && now < *listed_at + UNPROVEN_KEPT
        });
        before != (self.listed.len(), self.unproven.len())
    }

    /// Counts the versions of each service.
    fn counts(&self) -> BTreeMap<ServiceId, usize> {
        let mut counts = BTreeMap::new();
        for name in self.listed.keys() {
            *counts.entry(name.service.clone()).or_default() += 1;
        }
        counts
    }

    fn is_alone(&self, service: &ServiceId) -> bool {
        self.listed.keys().filter(|name| name.service == *service).count() == 1
    }
}
