//! Which endpoints have read the shared part of a prompt.
//!
//! Reading a long shared part takes a large model a second; an endpoint that has read it for a model
//! keeps it for a while. Each host remembers where it had what read, and hosts tell each other what
//! is new, so that a part goes where some host's request has brought it already. What is told and
//! remembered is bounded, forgets by itself, and only guides placement: a false memory costs one
//! more read.

use std::collections::HashMap;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::ids::{EndpointKey, ModelId};
use crate::units::Millis;

/// How long an endpoint is taken to keep a part that no request used there.
const CACHE_LIFETIME: Millis = Millis(20_000);

/// Parts that are remembered: some hundred KB.
const MAX_PREFIXES: usize = 8_192;

/// Endpoints remembered for one part, those that used it last.
const MAX_ENDPOINTS_PER_PREFIX: usize = 8;

/// Reads that one message tells at most, the newest: 160 bytes. A host sends 32 messages a second whatever
/// the fleet's size, and control may take 8 KB a second of it.
const MAX_REPORTS_PER_MESSAGE: usize = 16;

/// A use is told again when that many milliseconds have passed since it was told.
const REPORT_INTERVAL: Millis = Millis(5_000);

/// Names a shared part read for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PrefixKey(u32);

impl PrefixKey {
    /// Names the part `prefix`, which stands for all before it, as report for `model`.
    pub fn new(prefix: &str, model: Option<&ModelId>) -> PrefixKey {
        let seed = model.map_or(0, |m| xxh3_64(m.as_str().as_bytes()));
        // A collision misplaces a request now and then; nothing else depends on it.
        PrefixKey(xxh3_64_with_seed(prefix.as_bytes(), seed) as u32)
    }
}

/// An endpoint that has read a part, as hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixReport {
    /// The part.
    pub prefix: PrefixKey,
    /// The endpoint.
    pub endpoint: EndpointKey,
}

/// One endpoint's use of a part.
#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    endpoint: EndpointKey,
    used_at: Millis,
    /// Since when this host tells of the use; `None` if it only heard of it.
    reported_since: Option<Millis>,
    /// Until when further uses are no news to the others.
    next_report_at: Millis,
}

/// The memory of one service at one host.
#[derive(Debug, Default)]
pub struct PrefixIndex {
    prefixes: Mutex<HashMap<PrefixKey, Vec<CachedPrefix>>>,
}

impl PrefixIndex {
    /// Lists the endpoints that keep a part as far as is known.
    pub fn endpoints_with(&self, now: Millis, prefix: PrefixKey) -> Vec<EndpointKey> {
        let prefixes = self.prefixes.lock().expect("no holder of the lock panics");
        let Some(entries) = prefixes.get(&prefix) else { return Vec::new() };
        entries.iter().filter(|r| now < r.used_at + CACHE_LIFETIME).map(|r| r.endpoint).collect()
    }

    /// Takes note that a request of this host has an endpoint use a part.
    pub fn record_use(&self, now: Millis, prefix: PrefixKey, endpoint: EndpointKey) {
        self.update_entry(now, prefix, endpoint, |entry| {
            if now >= entry.next_report_at {
                entry.reported_since = Some(now);
                entry.next_report_at = now + REPORT_INTERVAL;
            }
        });
    }

    /// Takes what another host tells.
    pub fn record_reports(&self, now: Millis, reports: &[PrefixReport]) {
        for report in reports {
            let next_report_at = now + REPORT_INTERVAL;
            self.update_entry(now, report.prefix, report.endpoint, |entry| {
                entry.next_report_at = next_report_at
            });
        }
    }

    /// Lists what is to be told in messages until all hosts were told, which takes `round_time`; forgets
    /// what is old.
    pub fn reports(&self, now: Millis, round_time: Millis) -> Vec<PrefixReport> {
        let mut prefixes = self.prefixes.lock().expect("no holder of the lock panics");
        prefixes.retain(|_, entries| {
            entries.retain(|r| now < r.used_at + CACHE_LIFETIME);
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
        let position = entries.iter().position(|r| r.endpoint == endpoint);
        let at = position.unwrap_or_else(|| {
            if entries.len() >= MAX_ENDPOINTS_PER_PREFIX {
                let oldest = entries.iter().enumerate().min_by_key(|(_, r)| r.used_at);
                if let Some((at, _)) = oldest {
                    entries.swap_remove(at);
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
        entries[at].used_at = now;
        update(&mut entries[at]);
    }
}
