//! Index of the endpoints that hold a prompt prefix in their cache.
//!
//! A large model takes about a second to read a long shared prefix, and an endpoint that has read
//! one for a model caches it for a while. Each host remembers where its requests used which prefix,
//! and hosts report new entries to each other, so that requests go to endpoints that already hold
//! their prefix. Reports and memory are bounded and entries expire. The index only guides
//! placement: a wrong entry costs one additional read.

use std::collections::HashMap;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{EndpointKey, ModelId};
use crate::units::Millis;

/// Time for which an endpoint is assumed to cache a prefix after its last use.
const CACHE_LIFETIME: Millis = Millis(20_000);

/// Maximum number of prefixes in the index; they take a few hundred KB.
const MAX_PREFIXES: usize = 8_192;

/// Maximum number of endpoints per prefix. The most recently used ones are kept.
const MAX_ENDPOINTS_PER_PREFIX: usize = 8;

/// Maximum number of reports in one message, 160 bytes; the newest are sent. A host sends 32
/// messages per second regardless of the fleet's size, and control traffic may use 8 KB per second
/// for reports.
const MAX_REPORTS_PER_MESSAGE: usize = 16;

/// Minimum time between two reports of the same entry.
const REPORT_INTERVAL: Millis = Millis(5_000);

/// Identifies a prompt prefix that is cached for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PrefixKey(u32);

impl PrefixKey {
    /// Creates the key of a prefix for `model`. The name `prefix` identifies everything in the
    /// prompt up to its end.
    pub fn new(prefix: &str, model: Option<&ModelId>) -> PrefixKey {
        let seed = model.map_or(0, |m| xxh3_64(m.as_str().as_bytes()));
        // A collision only causes an occasional poor placement.
        PrefixKey(xxh3_64_with_seed(prefix.as_bytes(), seed) as u32)
    }
}

/// Report that an endpoint holds a prefix, as sent between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixReport {
    /// Prefix that was read.
    pub prefix: PrefixKey,
    /// Endpoint that read it.
    pub endpoint: EndpointKey,
}

/// Cache entry of a prefix at one endpoint.
#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    endpoint: EndpointKey,
    used_at: Millis,
    /// Time since which this host reports the use; `None` if it only knows it from another host.
    reported_since: Option<Millis>,
    /// Time from which a further use is reported again.
    next_report_at: Millis,
}

/// Prefix locations of one service as known to one host.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    prefixes: Mutex<HashMap<PrefixKey, Vec<CachedPrefix>>>,
}

impl PrefixIndex {
    /// Returns the endpoints that are assumed to hold a prefix.
    pub fn endpoints_with(&self, now: Millis, prefix: PrefixKey) -> Vec<EndpointKey> {
        let prefixes = self.prefixes.lock().expect("no holder of the lock panics");
        let Some(entries) = prefixes.get(&prefix) else { return Vec::new() };
        entries.iter().filter(|e| now < e.used_at + CACHE_LIFETIME).map(|e| e.endpoint).collect()
    }

    /// Records that a request of this host uses a prefix at an endpoint.
    pub fn record_use(&self, now: Millis, prefix: PrefixKey, endpoint: EndpointKey) {
        self.update_entry(now, prefix, endpoint, |entry| {
            if now >= entry.next_report_at {
                entry.reported_since = Some(now);
                entry.next_report_at = now + REPORT_INTERVAL;
            }
        });
    }

    /// Records the reports of another host.
    pub fn record_reports(&self, now: Millis, reports: &[PrefixReport]) {
        for report in reports {
            let next_report_at = now + REPORT_INTERVAL;
            self.update_entry(now, report.prefix, report.endpoint, |entry| {
                entry.next_report_at = next_report_at
            });
        }
    }

    /// Returns the entries to report. Each entry is included for `round_time`, the time after which
    /// all hosts have received it. Removes expired entries.
    pub fn reports(&self, now: Millis, round_time: Millis) -> Vec<PrefixReport> {
        let mut prefixes = self.prefixes.lock().expect("no holder of the lock panics");
        prefixes.retain(|_, entries| {
            entries.retain(|e| now < e.used_at + CACHE_LIFETIME);
            !entries.is_empty()
        });
        let mut reports = Vec::new();
        for (prefix, entries) in prefixes.iter() {
            for entry in entries {
                if let Some(since) = entry.reported_since.filter(|since| now < *since + round_time)
                {
                    reports
                        .push((since, PrefixReport { prefix: *prefix, endpoint: entry.endpoint }));
                }
            }
        }
        reports.sort_by_key(|(since, _)| std::cmp::Reverse(*since));
        reports.truncate(MAX_REPORTS_PER_MESSAGE);
        reports.into_iter().map(|(_, report)| report).collect()
    }

    fn update_entry(
        &self,
        now: Millis,
        prefix: PrefixKey,
        endpoint: EndpointKey,
        update: impl FnOnce(&mut CachedPrefix),
    ) {
        let mut prefixes = self.prefixes.lock().expect("no holder of the lock panics");
        if prefixes.len() >= MAX_PREFIXES && !prefixes.contains_key(&prefix) {
            return;
        }
        let entries = prefixes.entry(prefix).or_default();
        let position = entries.iter().position(|e| e.endpoint == endpoint);
        let index = position.unwrap_or_else(|| {
            if entries.len() >= MAX_ENDPOINTS_PER_PREFIX {
                let oldest = entries.iter().enumerate().min_by_key(|(_, e)| e.used_at);
                if let Some((index, _)) = oldest {
                    entries.swap_remove(index);
                }
            }
            entries.push(CachedPrefix {
                endpoint,
                used_at: now,
                reported_since: None,
                next_report_at: now,
            });
            entries.len() - 1
        });
        entries[index].used_at = now;
        update(&mut entries[index]);
    }
}
