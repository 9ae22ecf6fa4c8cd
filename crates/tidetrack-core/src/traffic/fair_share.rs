//! Fair shares of the workspaces in a contended service.
//!
//! Each host counts the work that workspaces request, with a decay of some seconds, and reports its
//! largest ones to the other hosts. While a service is contended, its capacity is divided by max-min
//! fairness: a workspace that requests less than its share gets all of it, and the rest is divided
//! among the others. What a workspace requests beyond that gives way first, beginning with its least
//! urgent requests. A workspace that requests no more than a typical one is never above its share:
//! if all request the same, the ranks alone decide. With spare capacity, nobody is held back.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::str::FromStr;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::errors::{bad_value, Error};
use crate::ids::{ServiceId, WorkspaceId};
use crate::units::Millis;

/// Time over which usage is averaged. Surges of a workspace last for seconds.
const AVERAGING_TIME: Millis = Millis(4_000);

/// Time over which reports of other hosts lose their weight. It exceeds the time in which hosts of a
/// fleet of 300 hear each other.
const REPORT_AVERAGING_TIME: Millis = Millis(8_000);

/// Maximum number of workspaces in the reports of one message. Each takes about 8 bytes.
const MAX_REPORTED_WORKSPACES: usize = 6;

/// Multiple of the fair share up to which a workspace counts as within it. Counts of few requests
/// deviate by chance.
const TOLERANCE: f64 = 1.5;

/// Usage in response tokens below which a workspace is forgotten.
const MIN_USAGE: f64 = 1.0;

/// Time for which a computed level of fair shares is used. It follows from averages over seconds.
const LEVEL_LIFETIME: Millis = Millis(100);

/// Identifies a workspace in messages between hosts. It is a hash, so that reports are small.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WorkspaceKey(u32);

impl From<&WorkspaceId> for WorkspaceKey {
    fn from(id: &WorkspaceId) -> WorkspaceKey {
        // A hash collision adds up two workspaces' usage; no guarantee depends on the keys being unique.
        WorkspaceKey(xxh3_64(id.as_str().as_bytes()) as u32)
    }
}

impl fmt::Display for WorkspaceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for WorkspaceKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let key = u32::from_str_radix(text, 16);
        key.map(WorkspaceKey).map_err(|_| bad_value("workspace key", text, "a hexadecimal number"))
    }
}

/// What a host's callers lately requested of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The service.
    pub service: ServiceId,
    /// Decayed work of all workspaces, in response tokens.
    pub total: u32,
    /// The workspaces with the largest decayed work, in response tokens.
    pub largest: Vec<(WorkspaceKey, u32)>,
}

/// Usage that the other hosts reported for one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RemoteUsage {
    /// Work by workspace.
    workspaces: HashMap<WorkspaceKey, f64>,
    /// Work of workspaces that are too small to be reported.
    unlisted: f64,
}

/// Sums the reports of other hosts by service. Reports lose weight with their age.
pub fn sum_reports<'a>(
    reports: impl Iterator<Item = (&'a UsageReport, Millis)>,
) -> HashMap<ServiceId, RemoteUsage> {
    let mut services: HashMap<ServiceId, RemoteUsage> = HashMap::new();
    for (report, age) in reports {
        let weight = decay(age, REPORT_AVERAGING_TIME);
        let usage = services.entry(report.service.clone()).or_default();
        let mut listed = 0.0;
        for (key, work) in report.largest.iter().take(MAX_REPORTED_WORKSPACES) {
            listed += f64::from(*work);
            *usage.workspaces.entry(*key).or_default() += f64::from(*work) * weight;
        }
        usage.unlisted += (f64::from(report.total) - listed).max(0.0) * weight;
    }
    services
}

/// Work that one workspace has requested at this host.
#[derive(Clone, Debug)]
struct OwnUsage {
    by_rank: BTreeMap<u8, f64>,
    updated_at: Millis,
}

impl OwnUsage {
    fn total(&self, now: Millis) -> f64 {
        let factor = decay(now - self.updated_at, AVERAGING_TIME);
        self.by_rank.values().sum::<f64>() * factor
    }

    fn add(&mut self, now: Millis, rank: u8, work: f64) {
        let factor = decay(now - self.updated_at, AVERAGING_TIME);
        self.by_rank.values_mut().for_each(|w| *w *= factor);
        *self.by_rank.entry(rank).or_default() += work;
        self.updated_at = now;
    }

    /// Returns the fraction of the requests of a rank that belongs to the given excess, if the
    /// least urgent requests give way first.
    fn excess_of_rank(&self, rank: u8, excess_fraction: f64) -> f64 {
        let all: f64 = self.by_rank.values().sum();
        let less_urgent: f64 =
            self.by_rank.iter().filter(|(r, _)| **r > rank).map(|(_, w)| w).sum();
        let own = self.by_rank.get(&rank).copied().unwrap_or(0.0);
        if own <= 0.0 {
            return 0.0;
        }
        ((excess_fraction * all - less_urgent) / own).clamp(0.0, 1.0)
    }
}

/// Level up to which workspaces get what they request.
#[derive(Clone, Copy, Debug)]
struct Level {
    computed_at: Millis,
    admissible: f64,
    level: f64,
}

#[derive(Clone, Debug, Default)]
struct ServiceUsage {
    own: HashMap<WorkspaceKey, OwnUsage>,
    remote: RemoteUsage,
    remote_at: Millis,
    level: Option<Level>,
}

/// A workspace's usage of a service, as a multiple of its fair share, and what follows for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareEstimate {
    /// Usage divided by the fair share.
    pub multiple: f64,
    /// Probability with which a request of the asked rank belongs to the usage beyond the share.
    pub excess: f64,
}

impl ShareEstimate {
    /// Estimate for a request that is within its share.
    pub const WITHIN: ShareEstimate = ShareEstimate { multiple: 0.0, excess: 0.0 };

    /// Reports whether the workspace is above its fair share.
    pub fn is_above(&self) -> bool {
        self.multiple > TOLERANCE
    }
}

/// Usage of all services under load control, by workspace.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    services: HashMap<ServiceId, ServiceUsage>,
}

impl FairShares {
    /// Records a caller's request with its work in response tokens.
    pub fn record(
        &mut self,
        now: Millis,
        service: &ServiceId,
        workspace: WorkspaceKey,
        rank: u8,
        work: f64,
    ) {
        let usage = self.services.entry(service.clone()).or_default();
        let new = || OwnUsage { by_rank: BTreeMap::new(), updated_at: now };
        usage.own.entry(workspace).or_insert_with(new).add(now, rank, work);
    }

    /// Stores what the other hosts reported. Services that they do not report lose what was stored.
    /// `remote` is called only if this host has counted any usage.
    pub fn set_remote(
        &mut self,
        now: Millis,
        remote: impl FnOnce() -> HashMap<ServiceId, RemoteUsage>,
    ) {
        if self.services.is_empty() {
            return;
        }
        let mut remote = remote();
        for (service, usage) in &mut self.services {
            usage.remote = remote.remove(service).unwrap_or_default();
            usage.remote_at = now;
        }
    }

    /// Returns the reports for other hosts: the largest workspaces of all services, at most a fixed
    /// number. Forgets workspaces without recent requests.
    pub fn reports(&mut self, now: Millis) -> Vec<UsageReport> {
        for usage in self.services.values_mut() {
            usage.own.retain(|_, own| own.total(now) >= MIN_USAGE);
        }
        self.services.retain(|_, usage| !usage.own.is_empty());
        let per_service = MAX_REPORTED_WORKSPACES / self.services.len().max(1);
        let mut reports: Vec<UsageReport> = Vec::new();
        for (service, usage) in &self.services {
            let mut all: Vec<(WorkspaceKey, f64)> =
                usage.own.iter().map(|(key, own)| (*key, own.total(now))).collect();
            let total = all.iter().map(|(_, work)| work).sum::<f64>() as u32;
            all.sort_unstable_by(|a, b| b.1.total_cmp(&a.1));
            let largest = all.iter().take(per_service).map(|(k, work)| (*k, *work as u32));
            reports.push(UsageReport {
                service: service.clone(),
                total,
                largest: largest.collect(),
            });
        }
        reports.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        reports.truncate(MAX_REPORTED_WORKSPACES);
        reports
    }

    /// Estimates a workspace's usage relative to its fair share. `admissible` is the fraction of the
    /// requested work that the service can do; with 1 nobody is above a share.
    pub fn estimate(
        &mut self,
        now: Millis,
        service: &ServiceId,
        workspace: WorkspaceKey,
        rank: u8,
        admissible: f64,
    ) -> ShareEstimate {
        if admissible >= 1.0 {
            return ShareEstimate::WITHIN;
        }
        let Some(usage) = self.services.get_mut(service) else { return ShareEstimate::WITHIN };
        let level = usage.level(now, admissible);
        let Some(own) = usage.own.get(&workspace) else { return ShareEstimate::WITHIN };
        let total = usage.fleet_usage(now, workspace, own);
        let multiple = total / level.max(MIN_USAGE);
        if multiple <= TOLERANCE {
            return ShareEstimate { multiple, excess: 0.0 };
        }
        let excess = own.excess_of_rank(rank, 1.0 - 1.0 / multiple);
        ShareEstimate { multiple, excess }
    }
}

/// The fair shares of a host, shared by its threads.
#[derive(Clone, Debug, Default)]
pub struct SharedFairShares(Arc<Mutex<FairShares>>);

impl SharedFairShares {
    /// Calls `f` with the fair shares, which no other thread uses meanwhile.
    pub fn with<T>(&self, f: impl FnOnce(&mut FairShares) -> T) -> T {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl ServiceUsage {
    /// Estimates a workspace's work at all hosts, from below: hosts list only their largest ones.
    fn fleet_usage(&self, now: Millis, key: WorkspaceKey, own: &OwnUsage) -> f64 {
        let weight = decay(now - self.remote_at, REPORT_AVERAGING_TIME);
        let remote = self.remote.workspaces.get(&key).copied().unwrap_or(0.0);
        own.total(now) + remote * weight
    }

    /// Returns the work per workspace up to which requests are within the fair share.
    fn level(&mut self, now: Millis, admissible: f64) -> f64 {
        // The admissible fraction is an average too; small changes of it do not matter.
        const MAX_ADMISSIBLE_CHANGE: f64 = 0.05;
        let is_valid = |l: &Level| {
            now < l.computed_at + LEVEL_LIFETIME
                && (l.admissible - admissible).abs() < MAX_ADMISSIBLE_CHANGE
        };
        if let Some(level) = self.level.filter(is_valid) {
            return level.level;
        }
        let weight = decay(now - self.remote_at, REPORT_AVERAGING_TIME);
        let own = self.own.iter().map(|(key, own)| self.fleet_usage(now, *key, own));
        let is_foreign = |key: &&WorkspaceKey| !self.own.contains_key(*key);
        let foreign = self.remote.workspaces.keys().filter(is_foreign);
        let foreign = foreign.filter_map(|key| self.remote.workspaces.get(key)).map(|w| w * weight);
        let mut usages: Vec<f64> = own.chain(foreign).filter(|u| *u >= MIN_USAGE).collect();
        usages.sort_unstable_by(f64::total_cmp);
        // Workspaces that no host lists are small and get what they request.
        let unlisted = self.remote.unlisted * weight;
        let listed: f64 = usages.iter().sum();
        let capacity = ((listed + unlisted) * admissible - unlisted).max(0.0);
        let median = usages.get(usages.len() / 2).copied().unwrap_or(0.0);
        let level = max_min_level(&usages, capacity).max(median);
        self.level = Some(Level { computed_at: now, admissible, level });
        level
    }
}

/// Returns the level at which the sum of all usages, each limited to the level, equals the capacity.
/// The usages are sorted.
fn max_min_level(sorted_usages: &[f64], capacity: f64) -> f64 {
    let mut left = capacity;
    for (i, usage) in sorted_usages.iter().enumerate() {
        let level = left / (sorted_usages.len() - i) as f64;
        if *usage > level {
            return level;
        }
        left -= usage;
    }
    sorted_usages.last().copied().unwrap_or(0.0)
}

/// Returns the weight of a count of this age.
fn decay(age: Millis, averaging_time: Millis) -> f64 {
    (-(age.0 as f64) / averaging_time.0 as f64).exp()
}
