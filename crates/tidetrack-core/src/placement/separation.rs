//! Separation of long and short attempts.
//!
//! An engine reads a long prompt in pieces between the tokens of the other requests, so everything
//! beside it is delayed. If each endpoint receives attempts of all lengths, most short ones are
//! delayed by a long one at times. Long and short attempts therefore prefer disjoint sets of
//! endpoints. The sets follow from a hash of the endpoints' ids within each failure domain, so all
//! hosts agree on them without messages. Their sizes follow from the work of both kinds. Hosts whose
//! estimates differ disagree only about the endpoints at the boundary.
//!
//! The sets are a preference: an attempt goes to the other set if its own one is busier by about one
//! long attempt, and a prefix that is cached there counts as usual.

use std::collections::HashMap;

use crate::ids::FailureDomain;
use crate::units::Millis;

use super::{rendezvous, PoolEndpoint};

/// Hash key of the order in which endpoints are assigned to long attempts.
const HASH_KEY: &str = "long attempts";

/// Time over which the work of both kinds is averaged. The sets should not follow short bursts,
/// because each change moves cached prefixes.
const AVERAGING_TIME: Millis = Millis(10_000);

/// Largest fraction of the endpoints that long attempts prefer, whatever their work.
const MAX_LONG_SHARE: f64 = 0.75;

/// Work of a kind, in seconds, below which the endpoints are not separated.
const MIN_WORK_S: f64 = 0.05;

/// Length of an attempt relative to the objectives of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptLength {
    /// Others hardly notice the attempt.
    Short,
    /// The attempt delays those beside it noticeably.
    Long,
}

/// Preference of an attempt for endpoints of one set.
#[derive(Clone, Copy, Debug)]
pub struct Separation {
    /// Length of the attempt.
    pub length: AttemptLength,
    /// Fraction of the endpoints of each failure domain that long attempts prefer.
    pub long_share: f64,
    /// Work, in answer tokens, that an endpoint of the other set counts as more.
    pub surcharge: f64,
}

impl Separation {
    /// Reports whether an endpoint at this position of its failure domain is of the preferred set.
    pub fn prefers(&self, position: f64) -> bool {
        (position < self.long_share) == (self.length == AttemptLength::Long)
    }
}

/// Work of one kind of attempts, in seconds of an endpoint's time and in answer tokens.
#[derive(Clone, Copy, Debug, Default)]
struct KindWork {
    count: f64,
    seconds: f64,
    /// Seconds, each weighted by the rank of its request.
    weighted: f64,
    tokens: f64,
}

/// Work of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct SentWork {
    /// Length of the attempt.
    pub length: AttemptLength,
    /// Time that it occupies its endpoint, in seconds.
    pub seconds: f64,
    /// The same in answer tokens.
    pub tokens: f64,
    /// How much a wait of its request counts, by its rank.
    pub weight: f64,
}

/// Work that a host has sent lately to the endpoints of one service, by length.
#[derive(Clone, Debug, Default)]
pub struct LengthMix {
    short: KindWork,
    long: KindWork,
    updated_at: Millis,
}

impl LengthMix {
    /// Records an attempt.
    pub fn record(&mut self, now: Millis, work: SentWork) {
        let age = (now - self.updated_at).0 as f64 / AVERAGING_TIME.0 as f64;
        let factor = (-age).exp();
        for kind in [&mut self.short, &mut self.long] {
            kind.count *= factor;
            kind.seconds *= factor;
            kind.weighted *= factor;
            kind.tokens *= factor;
        }
        self.updated_at = now;
        let kind = match work.length {
            AttemptLength::Short => &mut self.short,
            AttemptLength::Long => &mut self.long,
        };
        kind.count += 1.0;
        kind.seconds += work.seconds;
        kind.weighted += work.seconds * work.weight;
        kind.tokens += work.tokens;
    }

    /// Returns the preference of an attempt; `None` while one of the kinds hardly occurs.
    pub fn separation(&self, length: AttemptLength) -> Option<Separation> {
        let has_both = self.long.seconds >= MIN_WORK_S && self.short.seconds >= MIN_WORK_S;
        if !has_both {
            return None;
        }
        // Shares in proportion to the square roots minimise the weighted sum of the waits.
        let (long, short) = (self.long.weighted.sqrt(), self.short.weighted.sqrt());
        let long_share = long / (long + short);
        Some(Separation {
            length,
            long_share: long_share.min(MAX_LONG_SHARE),
            surcharge: self.long.tokens / self.long.count.max(1.0),
        })
    }
}

/// Returns the position of each endpoint among those of its failure domain, in `[0, 1)`. It is the
/// same on every host that knows the same endpoints.
pub(super) fn domain_positions(
    endpoints: &[PoolEndpoint],
    domains: &HashMap<FailureDomain, Vec<u32>>,
) -> Vec<f64> {
    let mut positions = vec![0.0; endpoints.len()];
    for members in domains.values() {
        let mut ranked: Vec<(u64, u32)> = members
            .iter()
            .map(|i| (rendezvous(HASH_KEY, endpoints[*i as usize].id.as_str()), *i))
            .collect();
        ranked.sort_unstable();
        for (rank, (_, i)) in ranked.iter().enumerate() {
            positions[*i as usize] = rank as f64 / ranked.len() as f64;
        }
    }
    positions
}
