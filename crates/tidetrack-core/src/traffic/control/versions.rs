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
use crate::traffic::peers::Barred;
use crate::units::Millis;

/// How long an unproven version is kept in mind after its last endpoint was listed: longer than endpoints
/// stay away through an outage of the store.
const WITHHELD_RETENTION: Millis = Millis(60_000);

/// How long a version is held that another host's last word of a roll-out names: several rounds.
const REPORT_RETENTION: Millis = Millis(3_000);

/// How long a version is held for want of news. A host that for so long neither read the roll-outs nor heard
/// of one is cut off from both the store and the others, and serves by what it has.
const MAX_ROLLOUT_WAIT: Millis = Millis(5_000);

/// Why a version is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithholdReason {
    /// It was bad, or its roll-out was replaced by another one.
    Bad,
    /// Its order was removed before the end.
    OrderRemoved,
    /// Another host told of its roll-out, at this time.
    Reported(Millis),
}

/// A version that is listed.
#[derive(Clone, Copy, Debug)]
struct ListedVersion {
    first_listed_at: Millis,
    /// Revision of the store up to which the endpoints were known when it was first listed.
    endpoints_revision: Option<u64>,
    /// Whether no roll-out is wanted any more to let it serve.
    is_released: bool,
}

/// Versions by name.
type ByVersion<T> = BTreeMap<Barred, T>;

/// What a host knows of its services' versions outside of their trials.
#[derive(Debug, Default)]
pub struct Versions {
    listed: ByVersion<ListedVersion>,
    /// Versions that are held, with the time at which each was listed last.
    withheld: ByVersion<(WithholdReason, Millis)>,
    /// Services whose order cannot be read: it may name any of their versions.
    unreadable: BTreeSet<ServiceId>,
}

/// What came of a look at versions that are held for want of news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReleaseResult {
    /// Whether some may serve from now on.
    pub has_released: bool,
    /// Revision up to which the roll-outs have to be read for the others.
    pub wanted_revision: Option<u64>,
}

fn version_key(record: &EndpointRecord) -> Barred {
    Barred { service: record.service.clone(), version: record.version.clone() }
}

impl Versions {
    /// Takes note of a listed endpoint.
    pub fn add_endpoint(&mut self, now: Millis, record: &EndpointRecord) {
        let first =
            ListedVersion { first_listed_at: now, endpoints_revision: None, is_released: false };
        self.listed.entry(version_key(record)).or_insert(first);
    }

    /// Takes note of the revision up to which the endpoints are known.
    pub fn set_endpoints_revision(&mut self, endpoints_revision: u64) {
        for listed in self.listed.values_mut() {
            listed.endpoints_revision.get_or_insert(endpoints_revision);
        }
    }

    /// Lets all versions serve that are listed of a service when an order of it comes: the order tells which of
    /// them is under roll-out. One that is listed later may have its own.
    pub fn release_for_order(&mut self, service: &ServiceId) {
        for (_, listed) in self.listed.iter_mut().filter(|(key, _)| key.service == *service) {
            listed.is_released = true;
        }
    }

    /// Lets versions serve that need no roll-out any more; `rollouts_revision` is the revision up to which these are
    /// known.
    pub fn release_ready(&mut self, now: Millis, rollouts_revision: u64) -> ReleaseResult {
        let mut result = ReleaseResult::default();
        if self.listed.values().all(|listed| listed.is_released) {
            return result;
        }
        let version_counts = self.version_counts();
        for (key, listed) in self.listed.iter_mut().filter(|(_, listed)| !listed.is_released) {
            let is_covered = listed
                .endpoints_revision
                .is_some_and(|endpoints_revision| endpoints_revision <= rollouts_revision);
            let has_timed_out = now >= listed.first_listed_at + MAX_ROLLOUT_WAIT;
            let is_not_under_rollout =
                (is_covered || has_timed_out) && !self.unreadable.contains(&key.service);
            let is_only_version = version_counts.get(&key.service) == Some(&1);
            if is_not_under_rollout || is_only_version {
                listed.is_released = true;
                result.has_released = true;
            } else {
                result.wanted_revision = result.wanted_revision.max(listed.endpoints_revision);
            }
        }
        result
    }

    /// Takes note that a service's order cannot be read.
    pub fn mark_order_unreadable(&mut self, service: ServiceId) {
        self.unreadable.insert(service);
    }

    /// Takes note that a service's order can be read, or is gone.
    pub fn mark_order_readable(&mut self, service: &ServiceId) {
        self.unreadable.remove(service);
    }

    /// Holds a version.
    pub fn withhold(&mut self, now: Millis, version: Barred, reason: WithholdReason) {
        self.withheld.insert(version, (reason, now));
    }

    /// Takes another host's word that a version is under roll-out; tells whether it is held by that.
    pub fn handle_report(&mut self, now: Millis, version: Barred) -> bool {
        match self.withheld.get(&version) {
            Some((WithholdReason::Bad | WithholdReason::OrderRemoved, _)) => false,
            before => {
                let is_new = before.is_none();
                self.withhold(now, version, WithholdReason::Reported(now));
                is_new
            }
        }
    }

    /// Holds a version no longer: it is under roll-out again.
    pub fn stop_withholding(&mut self, version: &Barred) {
        self.withheld.remove(version);
    }

    /// Tells whether a version is held bad.
    pub fn is_bad(&self, version: &Barred) -> bool {
        self.withheld.get(version).is_some_and(|(reason, _)| *reason == WithholdReason::Bad)
    }

    /// Lists the versions that are held bad.
    pub fn bad_versions(&self) -> impl Iterator<Item = &Barred> {
        self.withheld
            .iter()
            .filter(|(_, (reason, _))| *reason == WithholdReason::Bad)
            .map(|(key, _)| key)
    }

    /// Tells whether an endpoint's version may serve, if it is not under roll-out. Where a service has no
    /// other version, nothing is gained by holding one that was not found bad.
    pub fn may_serve(&self, record: &EndpointRecord) -> bool {
        let key = version_key(record);
        match self.withheld.get(&key) {
            Some((WithholdReason::Bad, _)) => false,
            Some(_) => self.is_only_version(&key.service),
            None => self.listed.get(&key).is_some_and(|listed| listed.is_released),
        }
    }

    /// Lists services that have a version which is held for want of news.
    pub fn awaiting_rollouts(&self) -> BTreeSet<ServiceId> {
        let pending = self.listed.iter().filter(|(_, listed)| !listed.is_released);
        pending.map(|(key, _)| key.service.clone()).collect()
    }

    /// Forgets what no endpoint runs any more; tells whether that lets another version serve.
    pub fn sweep<'a>(
        &mut self,
        now: Millis,
        records: impl Iterator<Item = &'a EndpointRecord>,
    ) -> bool {
        let running: BTreeSet<(&ServiceId, &VersionName)> =
            records.map(|r| (&r.service, &r.version)).collect();
        let is_running = |key: &Barred| running.contains(&(&key.service, &key.version));
        let before = (self.listed.len(), self.withheld.len());
        self.listed.retain(|key, _| is_running(key));
        self.withheld.retain(|key, (reason, listed_at)| {
            if is_running(key) {
                *listed_at = now;
            }
            let is_still_reported = match reason {
                WithholdReason::Reported(at) => now < *at + REPORT_RETENTION,
                WithholdReason::Bad | WithholdReason::OrderRemoved => true,
            };
            is_still_reported && now < *listed_at + WITHHELD_RETENTION
        });
        before != (self.listed.len(), self.withheld.len())
    }

    /// Counts the versions of each service.
    fn version_counts(&self) -> BTreeMap<ServiceId, usize> {
        let mut version_counts = BTreeMap::new();
        for key in self.listed.keys() {
            *version_counts.entry(key.service.clone()).or_default() += 1;
        }
        version_counts
    }

    fn is_only_version(&self, service: &ServiceId) -> bool {
        self.listed.keys().filter(|key| key.service == *service).count() == 1
    }
}
