//! Decisions within a round of probes of a service's endpoints: which are probed, in which order, and what the
//! outcomes say about them.

use std::collections::{HashMap, HashSet};

use crate::disconnect::DisconnectCause;
use crate::ids::{EndpointKey, FailureDomain, ServiceId};
use crate::placement::{EndpointState, PoolEndpoint};
use crate::units::Millis;

use super::endpoint_paths::{EndpointPaths, ProbeRank};

/// Number of endpoints that are probed first in a round, which usually end a suspicion that the paths
/// did not cause.
const FIRST_WAVE: usize = 6;

/// Number of batches in which all listed endpoints are probed once while the paths to them are lost.
const BATCHES_PER_CYCLE: usize = 8;

/// Time within which an answer shows that silent endpoints were given enough time: half of the longest time that
/// a probe takes.
const MAX_PROMPT_ANSWER: Millis = Millis(200);

/// Time before the end of an endpoint's ejection at which it is probed again: the longest time that a probe
/// and the wait for it take.
const MIN_RECHECK_LEAD_TIME: Millis = Millis(550);

/// Age up to which a response shows that an endpoint still runs.
const MAX_ACTIVITY_AGE: Millis = Millis(1_500);

/// Bound on the time that is added to it at random.
const MAX_RECHECK_JITTER: Millis = Millis(400);

/// Returns the numbers of endpoints that are probed at the same time in a round. Each wave is twice as
/// large as the one before, so that a few waves reach all endpoints of any list.
pub fn wave_sizes() -> impl Iterator<Item = usize> {
    std::iter::successors(Some(FIRST_WAVE), |size| Some(size.saturating_mul(2)))
}

/// Returns how many endpoints of a list are probed at the same time while the paths to all of them are
/// lost, so that one that is back is found soon in a list of any length.
pub fn restoring_batch_size(listed: usize) -> usize {
    listed.div_ceil(BATCHES_PER_CYCLE).max(1)
}

/// Returns the endpoints of a service with their ranks, in the order in which they are probed: those that were
/// reached first and those that failed last, and each next one in another failure domain where possible. The
/// order of the endpoints that are passed decides among equals.
pub fn probe_order(
    paths: &EndpointPaths,
    service: &ServiceId,
    endpoints: Vec<PoolEndpoint>,
) -> Vec<(PoolEndpoint, ProbeRank)> {
    let mut seen: HashMap<(ProbeRank, FailureDomain), usize> = HashMap::new();
    let mut ranked: Vec<(usize, PoolEndpoint, ProbeRank)> = Vec::with_capacity(endpoints.len());
    for endpoint in endpoints {
        let rank = paths.probe_rank(service, EndpointKey::from(&endpoint.id));
        let domain_rank = seen.entry((rank, endpoint.failure_domain.clone())).or_default();
        ranked.push((*domain_rank, endpoint, rank));
        *domain_rank += 1;
    }
    ranked.sort_by_key(|(domain_rank, _, rank)| (*rank, *domain_rank));
    ranked.into_iter().map(|(_, endpoint, rank)| (endpoint, rank)).collect()
}

/// Reports whether an endpoint that left a probe unanswered is only slow: it accepted the connection and has responded
/// to a request lately.
pub fn is_slow(now: Millis, outcome: ProbeOutcome, state: &EndpointState) -> bool {
    outcome == ProbeOutcome::Mute && state.was_active_since(now - MAX_ACTIVITY_AGE)
}

/// Returns the time before the end of an ejection at which an endpoint that was not reached is probed again.
/// `random` is between 0 and 1: the ejections of all hosts may have one cause and end at the same time.
pub fn recheck_lead_time(random: f64) -> Millis {
    MIN_RECHECK_LEAD_TIME + Millis((MAX_RECHECK_JITTER.0 as f64 * random) as u64)
}

/// What became of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The endpoint responded, or accepted the connection if it is only connected to.
    Answered,
    /// The connection was refused.
    Refused,
    /// No connection was established in time.
    Silent,
    /// The connection broke.
    Broken,
    /// A connection was established, but no response arrived on it in time.
    Mute,
}

impl ProbeOutcome {
    /// Reports whether the endpoint was reached.
    pub fn is_answered(self) -> bool {
        self == ProbeOutcome::Answered
    }

    /// Reports whether the probe alone counts against its endpoint while others of the service are reached. An
    /// endpoint that was mute may be busy, so the next probe decides about it.
    pub fn is_conclusive(self) -> bool {
        !matches!(self, ProbeOutcome::Answered | ProbeOutcome::Mute)
    }

    /// Returns the label used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ProbeOutcome::Answered => "answered",
            ProbeOutcome::Refused => "refused",
            ProbeOutcome::Silent => "silent",
            ProbeOutcome::Broken => "broken",
            ProbeOutcome::Mute => "mute",
        }
    }
}

impl From<DisconnectCause> for ProbeOutcome {
    fn from(cause: DisconnectCause) -> ProbeOutcome {
        match cause {
            DisconnectCause::Refused => ProbeOutcome::Refused,
            DisconnectCause::TimedOut => ProbeOutcome::Silent,
            _ => ProbeOutcome::Broken,
        }
    }
}

/// Why a round of probes was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundCause {
    /// The paths to the service are suspected to be lost.
    Suspicion,
    /// Single endpoints may have ended.
    Endpoints,
}

impl RoundCause {
    /// Reports whether a probe that failed says anything about its endpoint, beside others that are reached. One that
    /// was reached before and is mute is slow, unless requests fail too.
    pub fn counts_failure(self, rank: ProbeRank, outcome: ProbeOutcome) -> bool {
        let is_slow = rank == ProbeRank::Reached && outcome == ProbeOutcome::Mute;
        self == RoundCause::Suspicion || !is_slow
    }
}

/// What the probes of a round have shown so far.
#[derive(Clone, Debug, Default)]
pub struct RoundProgress {
    has_answer: bool,
    has_prompt_answer: bool,
    /// Number of probes of endpoints of which nothing was known.
    unknown_started: usize,
    /// Addresses at which such probes were answered. One endpoint may answer for several entries.
    unknown_answered: HashSet<String>,
}

impl RoundProgress {
    /// Records that an endpoint is probed.
    pub fn record_start(&mut self, rank: ProbeRank) {
        self.unknown_started += usize::from(rank == ProbeRank::Unknown);
    }

    /// Records an answer from an address, `took` after the probe was started.
    pub fn record_answer(&mut self, rank: ProbeRank, address: &str, took: Millis) {
        self.has_answer = true;
        self.has_prompt_answer |= took <= MAX_PROMPT_ANSWER;
        if rank == ProbeRank::Unknown {
            self.unknown_answered.insert(address.to_string());
        }
    }

    /// Reports whether an endpoint has answered, so that the paths work.
    pub fn has_answer(&self) -> bool {
        self.has_answer
    }

    /// Reports whether probes that fail concern their endpoints alone: an answer was so fast that silent
    /// endpoints are not waiting for a saturated link.
    pub fn blames_endpoints(&self) -> bool {
        self.has_prompt_answer
    }

    /// Reports whether an endpoint that is not probed yet has to be. After an answer, only ejected endpoints have to
    /// be, and unknown ones while some of those that were probed have not answered.
    pub fn needs_probe(&self, rank: ProbeRank, is_ejected: bool) -> bool {
        !self.has_answer || is_ejected || rank == ProbeRank::Unknown && !self.are_unknown_reached()
    }

    fn are_unknown_reached(&self) -> bool {
        self.unknown_started > 0 && self.unknown_answered.len() >= self.unknown_started
    }
}
