//! Decides which versions of a service may serve.
//!
//! A version under a known roll-out is controlled by its canary. This module covers the other
//! versions, and hosts that do not know about a roll-out: an order may arrive later than the
//! endpoints that it concerns, it may be removed or unparsable, and a version that was found bad
//! may keep running for a while. A version is therefore not assumed to be stable just because no
//! order names it. It is released if it is the only version of its service, if it was listed when
//! an order for the service arrived, or if the host has read the roll-outs up to a store revision
//! at least as new as the list of endpoints that contained it first.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{ServiceId, VersionName};
use crate::traffic::endpoints::EndpointRecord;
use crate::traffic::peers::BarredVersion;
use crate::units::Millis;

/// How long a withheld version is remembered after its last endpoint was listed. This is longer
/// than endpoints stay unlisted during an outage of the store.
const WITHHELD_RETENTION: Millis = Millis(60_000);

/// How long a version is withheld after the last report of its roll-out from another host. This
/// spans several rounds.
const REPORT_RETENTION: Millis = Millis(3_000);

/// How long a version is withheld while the roll-outs are unknown. A host that for this time
/// neither read the roll-outs nor received a report of one is cut off from both the store and the
/// other hosts, and continues with the data it has.
const MAX_ROLLOUT_WAIT: Millis = Millis(5_000);

/// Why a version is withheld.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithholdReason {
    /// The version was found bad, or its roll-out was replaced by one of another version.
    Bad,
    /// The order of its roll-out was removed before the roll-out ended.
    OrderRemoved,
    /// Another host reported its roll-out, most recently at this time.
    Reported(Millis),
}

/// A version that at least one listed endpoint runs.
#[derive(Clone, Copy, Debug)]
struct ListedVersion {
    first_listed_at: Millis,
    /// Store revision up to which the endpoints were known when the version was first listed;
    /// `None` if that revision is not known yet.
    endpoints_revision: Option<u64>,
    /// Whether the version may serve without further knowledge of roll-outs.
    is_released: bool,
}

/// Values by service and version.
type ByVersion<T> = BTreeMap<BarredVersion, T>;

/// What a host knows about its services' versions outside of known roll-outs.
#[derive(Debug, Default)]
pub struct Versions {
    listed: ByVersion<ListedVersion>,
    /// Withheld versions: the reason, and when an endpoint of the version was last listed.
    withheld: ByVersion<(WithholdReason, Millis)>,
    /// Services whose order cannot be parsed; such an order may name any of the service's versions.
    unreadable: BTreeSet<ServiceId>,
}

/// Result of checking the versions that wait for roll-outs to be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReleaseResult {
    /// Whether any version was released.
    pub has_released: bool,
    /// Store revision up to which the roll-outs have to be read before the remaining versions can
    /// be released; `None` if none needs it.
    pub wanted_revision: Option<u64>,
}

fn version_key(record: &EndpointRecord) -> BarredVersion {
    BarredVersion { service: record.service.clone(), version: record.version.clone() }
}

impl Versions {
    /// Records the version of a listed endpoint.
    pub fn add_endpoint(&mut self, now: Millis, record: &EndpointRecord) {
        let first =
            ListedVersion { first_listed_at: now, endpoints_revision: None, is_released: false };
        self.listed.entry(version_key(record)).or_insert(first);
    }

    /// Records the store revision up to which the endpoints are known, for versions that have none
    /// yet.
    pub fn set_endpoints_revision(&mut self, endpoints_revision: u64) {
        for listed in self.listed.values_mut() {
            listed.endpoints_revision.get_or_insert(endpoints_revision);
        }
    }

    /// Releases all listed versions of a service when an order for the service arrives: the order
    /// tells which of them is under roll-out. A version that is listed later may have a roll-out of
    /// its own.
    pub fn release_for_order(&mut self, service: &ServiceId) {
        for (_, listed) in self.listed.iter_mut().filter(|(key, _)| key.service == *service) {
            listed.is_released = true;
        }
    }

    /// Releases versions that no unread roll-out can concern. `rollouts_revision` is the store
    /// revision up to which the roll-outs are known.
    pub fn release_ready(&mut self, now: Millis, rollouts_revision: u64) -> ReleaseResult {
        let mut result = ReleaseResult::default();
        if self.listed.values().all(|listed| listed.is_released) {
            return result;
        }
        let version_counts = self.version_counts();
        let released = self.listed.iter().filter(|(_, listed)| listed.is_released);
        let served: BTreeSet<ServiceId> = released.map(|(key, _)| key.service.clone()).collect();
        for (key, listed) in self.listed.iter_mut().filter(|(_, listed)| !listed.is_released) {
            let is_covered = listed
                .endpoints_revision
                .is_some_and(|endpoints_revision| endpoints_revision <= rollouts_revision);
            let has_timed_out = now >= listed.first_listed_at + MAX_ROLLOUT_WAIT;
            let is_not_under_rollout = match self.unreadable.contains(&key.service) {
                false => is_covered || has_timed_out,
                // No version is known to be stable, and the order may stay as it is.
                true => has_timed_out && !served.contains(&key.service),
            };
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

    /// Records that a service's order cannot be parsed.
    pub fn mark_order_unreadable(&mut self, service: ServiceId) {
        self.unreadable.insert(service);
    }

    /// Records that a service's order can be parsed again or was removed.
    pub fn mark_order_readable(&mut self, service: &ServiceId) {
        self.unreadable.remove(service);
    }

    /// Forgets the unreadable orders of services that a complete list of orders lacks.
    pub fn retain_unreadable(&mut self, is_in_list: impl FnMut(&ServiceId) -> bool) {
        self.unreadable.retain(is_in_list);
    }

    /// Withholds a version from serving.
    pub fn withhold(&mut self, now: Millis, version: BarredVersion, reason: WithholdReason) {
        self.withheld.insert(version, (reason, now));
    }

    /// Handles another host's report that a version is under roll-out. Returns whether the version
    /// is newly withheld.
    pub fn handle_report(&mut self, now: Millis, version: BarredVersion) -> bool {
        match self.withheld.get(&version) {
            Some((WithholdReason::Bad | WithholdReason::OrderRemoved, _)) => false,
            before => {
                let is_new = before.is_none();
                self.withhold(now, version, WithholdReason::Reported(now));
                is_new
            }
        }
    }

    /// Stops withholding a version because it is under roll-out again.
    pub fn stop_withholding(&mut self, version: &BarredVersion) {
        self.withheld.remove(version);
    }

    /// Reports whether a version is withheld as bad.
    pub fn is_bad(&self, version: &BarredVersion) -> bool {
        self.withheld.get(version).is_some_and(|(reason, _)| *reason == WithholdReason::Bad)
    }

    /// Returns the versions that are withheld as bad.
    pub fn bad_versions(&self) -> impl Iterator<Item = &BarredVersion> {
        self.withheld
            .iter()
            .filter(|(_, (reason, _))| *reason == WithholdReason::Bad)
            .map(|(key, _)| key)
    }

    /// Reports whether an endpoint's version may serve if it is not under roll-out. If a service
    /// has only one version, that version serves unless it was found bad: withholding it would
    /// leave the service without endpoints.
    pub fn may_serve(&self, record: &EndpointRecord) -> bool {
        let key = version_key(record);
        match self.withheld.get(&key) {
            Some((WithholdReason::Bad, _)) => false,
            Some(_) => self.is_only_version(&key.service),
            None => self.listed.get(&key).is_some_and(|listed| listed.is_released),
        }
    }

    /// Returns the services with a version that waits for roll-outs to be read.
    pub fn awaiting_rollouts(&self) -> BTreeSet<ServiceId> {
        let pending = self.listed.iter().filter(|(_, listed)| !listed.is_released);
        pending.map(|(key, _)| key.service.clone()).collect()
    }

    /// Removes versions that no endpoint runs any more and reports that have expired. Returns
    /// whether any entry was removed, which may allow other versions to serve.
    pub fn sweep<'a>(
        &mut self,
        now: Millis,
        records: impl Iterator<Item = &'a EndpointRecord>,
    ) -> bool {
        let running: BTreeSet<(&ServiceId, &VersionName)> =
            records.map(|r| (&r.service, &r.version)).collect();
        let is_running = |key: &BarredVersion| running.contains(&(&key.service, &key.version));
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

    /// Returns the number of listed versions of each service.
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
