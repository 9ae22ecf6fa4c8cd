//! Placement of a request on one endpoint of a pool.
//!
//! The endpoints of a pool are placed on a consistent-hash ring that is the same on every host. The
//! hash of a request's prefix or session gives its position on the ring, so requests with the same
//! prefix reach the same cache from every host. The endpoint at that position, the home endpoint,
//! is picked unless its load exceeds a bound. Otherwise the pick is the least loaded of a few
//! endpoints that are chosen at random per request, so that many hosts with the same outdated load
//! report do not all pick the same endpoint.
//!
//! If the work of reading the prefix again is known, the pick is the endpoint that is expected to
//! finish first. Its expected work includes the prefix, unless the endpoint is known to hold it,
//! and a surcharge if it is in another failure domain. Of the endpoints that are not known to hold
//! the prefix, the home endpoints on the ring in the host's own domain are preferred.
//!
//! A pick examines a bounded number of endpoints, unless these offer no choice; then it scans the whole pool.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::codes::Code;
use crate::errors::{Error, Result};
use crate::ids::{EndpointId, EndpointKey, FailureDomain};
use crate::units::{Millis, Tokens};

mod ejection;
mod endpoint_state;
mod moved;
pub mod probing;
mod refusal_guard;
mod refusal_window;
mod separation;
mod slowdown;
mod speed;
mod timing;

pub use endpoint_state::{EndpointState, Outcomes, SendAllowance};
pub use moved::SharedAddress;
pub use refusal_guard::{EndpointAccess, RefusalGuard};
pub use refusal_window::{RefusalWindow, WindowTicket};
pub use separation::{AttemptLength, LengthMix, SentWork, Separation};
pub use slowdown::Slowdown;
pub use speed::{RelativeTimes, MAX_RELATIVE_LOG};
pub use timing::PlacementTiming;

/// `Retry-After` in milliseconds of a refusal because all endpoints are evacuated. Evacuations last for
/// seconds at least.
const RETRY_EVACUATED_MS: u64 = 2_000;

/// Number of points on the ring per endpoint.
const RING_POINTS_PER_ENDPOINT: u64 = 16;

/// Number of ring points examined to find a usable endpoint.
const MAX_RING_STEPS: usize = 32;

/// Number of ring points examined if long and short attempts are separated, so that an endpoint of
/// the preferred set in the host's own failure domain is found.
const MAX_RING_STEPS_SEPARATED: usize = 128;

/// Number of endpoints chosen at random in addition to the home endpoint.
const RANDOM_CANDIDATES: usize = 4;

/// Number of endpoints of the host's failure domain chosen at random in addition: random choices
/// from the whole of a large pool may contain none of them.
const RANDOM_LOCAL_CANDIDATES: usize = 8;

/// Largest pool of which all endpoints are compared if the reread work is known.
const MAX_FULL_SCAN_POOL: usize = 32;

/// Fraction of the reread work that the second endpoint on the ring is charged with: it often holds
/// the prefix too.
const SECOND_HOME_REREAD_SHARE: f64 = 0.5;

/// The home endpoint is picked while its cost is at most this multiple of the mean cost of the
/// random candidates.
const MAX_HOME_COST_RATIO: f64 = 1.25;

/// Work, in answer tokens, that is added to every endpoint's load when reread work is counted. It is
/// smaller than the value for other requests, because the reread work itself already keeps a prefix
/// in place.
const BASE_WORK_WITH_PREFIX: f64 = 50.0;

/// If no usable endpoint is found, ejections are ignored once one endpoint in this number is
/// ejected.
const EJECTED_DIVISOR: u32 = 2;

/// Largest work, running and queued, per slot in answer tokens. Requests beyond it are refused
/// early.
const MAX_WORK_PER_SLOT: f64 = 512.0;

/// Multiple of the work limit at which requests with a priority above 0 are refused.
const URGENT_FACTOR: f64 = 1.5;

/// When a caller should retry if a pool is overloaded or has no usable endpoint, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Prompt tokens that cost an endpoint as much as one answer token.
const PROMPT_TOKENS_PER_ANSWER_TOKEN: u64 = 8;

/// Returns the weight of `name` for `hash_key` in rendezvous hashing.
pub fn rendezvous(hash_key: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64(hash_key.as_bytes()))
}

/// Returns a uniform hash value in `[0, 1)` for `name`, independent between hash keys.
pub fn hash_fraction(hash_key: &str, name: &str) -> f64 {
    // An `f64` represents integers of up to 53 bits exactly.
    (rendezvous(hash_key, name) >> 11) as f64 / (1u64 << 53) as f64
}

/// Returns the ring position of a prefix or session.
pub fn ring_position_of(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the work of a request in answer tokens.
pub fn request_work(prompt: Tokens, answer: Tokens) -> u64 {
    prompt.0 / PROMPT_TOKENS_PER_ANSWER_TOKEN + answer.0
}

/// An endpoint of a pool.
#[derive(Clone, Debug)]
pub struct PoolEndpoint {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Address in the form `ip:port`.
    pub address: String,
    /// Failure domain that the endpoint runs in.
    pub failure_domain: FailureDomain,
    /// Load and health of the endpoint.
    pub state: Arc<EndpointState>,
}

/// The endpoints of a pool with the indexes that picks need.
#[derive(Clone, Debug, Default)]
pub struct PoolView {
    endpoints: Vec<PoolEndpoint>,
    ring: Vec<(u64, u32)>,
    /// Indexes into `endpoints` by endpoint key, sorted by key.
    keys: Vec<(EndpointKey, u32)>,
    /// Indexes into `endpoints` by failure domain.
    domains: HashMap<FailureDomain, Vec<u32>>,
    /// Position of each endpoint in its failure domain, which assigns it to long or short attempts.
    positions: Vec<f64>,
    max_work: f64,
}

/// Preference for endpoints in the host's own failure domain.
#[derive(Clone, Copy, Debug)]
pub struct Locality<'a> {
    /// Failure domain of this host.
    pub failure_domain: &'a FailureDomain,
    /// Work, in answer tokens, that is added to the load of endpoints in other failure domains.
    pub crossing_work: u64,
}

/// Properties of a request that determine the pick.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest<'a> {
    /// Position on the ring, from `ring_position_of`.
    pub ring_position: u64,
    /// Seed of the random choice of candidates.
    pub salt: u64,
    /// Length of the prompt plus the longest possible answer.
    pub required_tokens: Tokens,
    /// Endpoints that were tried before and are not picked again.
    pub tried: &'a [EndpointId],
    /// Priority of the request; requests above 0 are urgent.
    pub priority: i64,
    /// Work, in answer tokens, that an endpoint without the request's prefix has to do in addition.
    /// With 0 the home endpoint is picked up to a bound on its load instead.
    pub reread_work: u64,
    /// Endpoints that are known to hold the request's prefix.
    pub prefix_holders: &'a [EndpointKey],
    /// Location of this host; `None` if failure domains do not matter for the pick.
    pub locality: Option<Locality<'a>>,
    /// Whether another host has forwarded the request, which is then not forwarded again.
    pub is_forwarded: bool,
    /// How the time that endpoints take counts; `None` if all endpoints count as equally fast.
    pub timing: Option<PlacementTiming>,
}

impl PoolView {
    /// Creates a pool whose endpoints process `slots` requests concurrently; 0 disables the limit
    /// on their work.
    pub fn new(endpoints: Vec<PoolEndpoint>, slots: u32) -> PoolView {
        let mut ring = Vec::with_capacity(endpoints.len() * RING_POINTS_PER_ENDPOINT as usize);
        for (i, endpoint) in endpoints.iter().enumerate() {
            for point in 0..RING_POINTS_PER_ENDPOINT {
                ring.push((xxh3_64_with_seed(endpoint.id.as_str().as_bytes(), point), i as u32));
            }
        }
        ring.sort_unstable();
        let key = |(i, e): (usize, &PoolEndpoint)| (EndpointKey::from(&e.id), i as u32);
        let mut keys: Vec<_> = endpoints.iter().enumerate().map(key).collect();
        keys.sort_unstable();
        let mut domains: HashMap<FailureDomain, Vec<u32>> = HashMap::new();
        for (i, endpoint) in endpoints.iter().enumerate() {
            domains.entry(endpoint.failure_domain.clone()).or_default().push(i as u32);
        }
        let max_work = match slots {
            0 => f64::INFINITY,
            slots => f64::from(slots) * MAX_WORK_PER_SLOT,
        };
        let positions = separation::domain_positions(&endpoints, &domains);
        PoolView { endpoints, ring, keys, domains, positions, max_work }
    }

    /// Returns all endpoints of the pool.
    pub fn endpoints(&self) -> &[PoolEndpoint] {
        &self.endpoints
    }

    /// Reports whether all healthy endpoints could take a request but for this host's shares of their
    /// limits, so that another host may have shares left. Requests to endpoints that fall over from
    /// refusing are forwarded to their holders anyway.
    pub fn is_held_back_by_shares(&self, now: Millis) -> bool {
        let is_healthy = |e: &&PoolEndpoint| e.state.is_open() && !e.state.is_ejected(now);
        let mut healthy = self.endpoints.iter().filter(is_healthy).peekable();
        let is_limited = |PoolEndpoint { state, .. }: &PoolEndpoint| {
            !state.can_send(now) && !state.is_resting(now) && !state.guard().is_active()
        };
        healthy.peek().is_some() && healthy.all(is_limited)
    }

    /// Returns an endpoint by its id if it can be used for a request now.
    pub fn find_usable(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
        id: &EndpointId,
    ) -> Option<&PoolEndpoint> {
        let key = EndpointKey::from(id);
        let at = self.keys.binary_search_by_key(&key, |(key, _)| *key).ok()?;
        let endpoint = &self.endpoints[self.keys[at].1 as usize];
        is_usable(endpoint, now, request).then_some(endpoint)
    }

    /// Picks an endpoint for a request.
    ///
    /// Returns an error with a retry delay if no endpoint is usable or the best candidate has too
    /// much work, and an error without one if no endpoint has the capacity for a request of this
    /// size.
    pub fn pick(&self, now: Millis, request: &PlacementRequest<'_>) -> Result<&PoolEndpoint> {
        let (picked, fastest_pace) = self.find_best(now, request)?;
        let urgency_factor = if request.priority > 0 { URGENT_FACTOR } else { 1.0 };
        // A slow endpoint reaches the work limit earlier than the fastest candidate.
        let slowdown = (picked.state.pace() / fastest_pace).max(1.0);
        match picked.state.load(now) * slowdown <= self.max_work * urgency_factor {
            true => Ok(picked),
            false => Err(Error::new(
                Code::Overloaded,
                "the best endpoint of the pool has too much work queued",
            )
            .with_retry_after(RETRY_AFTER_MS)),
        }
    }

    /// Picks one of the `count` usable endpoints that rank first for `hash_key`, which are the same
    /// on every host: the less loaded of two random ones. The ring position is not used, because
    /// many requests may share one and the endpoints are meant to be equally busy.
    pub fn pick_among_ranked(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
        hash_key: &str,
        count: usize,
    ) -> Option<&PoolEndpoint> {
        let usable = self.endpoints.iter().filter(|e| is_usable(e, now, request));
        let mut ranked: Vec<(u64, &PoolEndpoint)> =
            usable.map(|e| (rendezvous(hash_key, e.id.as_str()), e)).collect();
        ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        ranked.truncate(count);
        let candidates =
            (0..2).filter_map(|i| ranked.get(random_index(request.salt, i, ranked.len())));
        candidates.map(|(_, e)| *e).min_by(|a, b| a.state.load(now).total_cmp(&b.state.load(now)))
    }

    /// Returns the best endpoint, and the fastest pace among the candidates in microseconds per
    /// token.
    fn find_best(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
    ) -> Result<(&PoolEndpoint, f64)> {
        let home_endpoint = self.home_endpoint(now, request);
        let candidates = self.candidates(now, request);
        if let (true, Some(home_endpoint)) = (request.reread_work > 0, home_endpoint) {
            let fastest_pace = candidates
                .iter()
                .map(|e| e.state.pace())
                .fold(home_endpoint.state.pace(), f64::min);
            return Ok((self.cheapest(now, request, home_endpoint, &candidates), fastest_pace));
        }
        let fastest_pace = candidates.iter().map(|e| e.state.pace()).fold(f64::INFINITY, f64::min);
        let least_loaded = self.least_loaded(now, &candidates);
        let (Some(home_endpoint), Some(least_loaded)) = (home_endpoint, least_loaded) else {
            let only = home_endpoint
                .or(least_loaded)
                .ok_or_else(|| self.no_endpoint_error(now, request))?;
            return Ok((only, only.state.pace()));
        };
        let mean =
            candidates.iter().map(|e| e.state.cost(now)).sum::<f64>() / candidates.len() as f64;
        let cost = home_endpoint.state.cost(now);
        // With few candidates the mean is hardly below the cost of a home endpoint that is full.
        let has_room = home_endpoint.state.load(now) <= self.max_work;
        let keeps_home =
            has_room && cost <= mean * MAX_HOME_COST_RATIO || cost <= least_loaded.state.cost(now);
        Ok((
            if keeps_home { home_endpoint } else { least_loaded },
            fastest_pace.min(home_endpoint.state.pace()),
        ))
    }

    /// Returns the candidates for comparison: all usable endpoints of a small pool if the reread
    /// work is known, otherwise the usable ones among a few random endpoints.
    fn candidates(&self, now: Millis, request: &PlacementRequest<'_>) -> Vec<&PoolEndpoint> {
        if request.reread_work > 0 && self.endpoints.len() <= MAX_FULL_SCAN_POOL {
            return self.endpoints.iter().filter(|e| is_usable(e, now, request)).collect();
        }
        let anywhere = (0..RANDOM_CANDIDATES as u64)
            .map(|i| random_index(request.salt, i, self.endpoints.len()));
        let domain_indices =
            request.locality.and_then(|locality| self.domains.get(locality.failure_domain));
        let local = domain_indices.into_iter().flat_map(|domain_indices| {
            let sequence =
                RANDOM_CANDIDATES as u64..(RANDOM_CANDIDATES + RANDOM_LOCAL_CANDIDATES) as u64;
            sequence.map(|i| {
                domain_indices[random_index(request.salt, i, domain_indices.len())] as usize
            })
        });
        let candidates = anywhere.chain(local).filter_map(|at| self.endpoints.get(at));
        let usable: Vec<&PoolEndpoint> =
            candidates.filter(|e| is_usable(e, now, request)).collect();
        let has_choice = usable.iter().any(|e| e.id != usable[0].id);
        if has_choice {
            return usable;
        }
        self.usable_candidates(now, request)
    }

    /// Returns a few random ones of the usable endpoints, for pools most of whose endpoints are not.
    fn usable_candidates(&self, now: Millis, request: &PlacementRequest<'_>) -> Vec<&PoolEndpoint> {
        let usable: Vec<&PoolEndpoint> =
            self.endpoints.iter().filter(|e| is_usable(e, now, request)).collect();
        if usable.len() <= RANDOM_CANDIDATES {
            return usable;
        }
        let random = |i| usable[random_index(request.salt, i, usable.len())];
        (0..RANDOM_CANDIDATES as u64).map(random).collect()
    }

    /// Returns the endpoint that is expected to finish the request first, including the work of
    /// reading the prefix again on endpoints that do not hold it.
    fn cheapest<'a>(
        &'a self,
        now: Millis,
        request: &PlacementRequest<'_>,
        home_endpoint: &'a PoolEndpoint,
        candidates: &[&'a PoolEndpoint],
    ) -> &'a PoolEndpoint {
        let holders = self.usable_prefix_holders(now, request);
        let is_held_locally = holders.iter().any(|e| is_local(e, request));
        let second_home = self.second_home(now, request, home_endpoint);
        let reread_cost = |fraction: f64| request.reread_work as f64 * fraction;
        let cost = |e: &PoolEndpoint, extra: f64| self.finish_cost(now, request, e, extra);
        // A prefix that no local endpoint is known to hold is assumed to be on its home endpoint.
        let (home_share, second_home_share) = match is_held_locally {
            true => (1.0, 1.0),
            false => (0.0, SECOND_HOME_REREAD_SHARE),
        };
        let homes = [
            Some((home_endpoint, reread_cost(home_share))),
            second_home.map(|e| (e, reread_cost(second_home_share))),
        ];
        let others = candidates.iter().map(|e| (*e, reread_cost(1.0)));
        let holders = holders.into_iter().map(|e| (e, 0.0));
        let candidates = holders.chain(homes.into_iter().flatten()).chain(others);
        let best = candidates.min_by(|(a, x), (b, y)| cost(a, *x).total_cmp(&cost(b, *y)));
        best.map_or(home_endpoint, |(e, _)| e)
    }

    /// Returns an endpoint other than `picked` from which the request's prefix can be copied,
    /// preferably one in the host's failure domain.
    pub fn prefix_source(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
        picked: &PoolEndpoint,
    ) -> Option<&PoolEndpoint> {
        let holders =
            self.usable_prefix_holders(now, request).into_iter().filter(|e| e.id != picked.id);
        holders.min_by_key(|e| !is_local(e, request))
    }

    /// Returns the usable endpoints that are known to hold the request's prefix.
    fn usable_prefix_holders(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
    ) -> Vec<&PoolEndpoint> {
        let find = |key: &EndpointKey| self.keys.binary_search_by_key(key, |(key, _)| *key).ok();
        let positions = request.prefix_holders.iter().filter_map(find);
        let holders = positions.map(|at| &self.endpoints[self.keys[at].1 as usize]);
        holders.filter(|e| is_usable(e, now, request)).collect()
    }

    /// Returns the usable endpoint that follows the home endpoint on the ring. It is the same for
    /// all hosts, so that a prefix with too many requests for one endpoint is held by two rather
    /// than by all.
    fn second_home(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
        home_endpoint: &PoolEndpoint,
    ) -> Option<&PoolEndpoint> {
        self.walk_ring(request).find(|e| {
            e.id != home_endpoint.id
                && is_local(e, request)
                && self.is_preferred(request, e)
                && is_usable(e, now, request)
        })
    }

    /// Returns the first usable endpoint on the ring from the request's position, preferably one in
    /// the host's failure domain.
    fn home_endpoint(&self, now: Millis, request: &PlacementRequest<'_>) -> Option<&PoolEndpoint> {
        let is_usable_locally =
            |e: &&PoolEndpoint| is_local(e, request) && is_usable(e, now, request);
        let preferred = || {
            self.walk_ring(request).find(|e| self.is_preferred(request, e) && is_usable_locally(e))
        };
        let local = preferred().or_else(|| self.walk_ring(request).find(is_usable_locally));
        let anywhere = || self.walk_ring(request).find(|e| is_usable(e, now, request));
        let rest = || self.find_on_whole_ring(now, request);
        local.or_else(anywhere).or_else(rest).or_else(|| self.fallback_to_ejected(now, request))
    }

    /// Returns the first usable endpoint on the whole ring, preferably one in the host's failure domain. The
    /// points examined otherwise may all belong to endpoints that have ended.
    fn find_on_whole_ring(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
    ) -> Option<&PoolEndpoint> {
        let usable = self.endpoints.iter().filter(|e| is_usable(e, now, request));
        let has_local = usable.map(|e| is_local(e, request)).max()?;
        let is_match =
            |e: &&PoolEndpoint| is_usable(e, now, request) && is_local(e, request) == has_local;
        self.walk_ring_steps(request, self.ring.len()).find(is_match)
    }

    /// Iterates over endpoints along the ring from the request's position.
    fn walk_ring<'a>(
        &'a self,
        request: &PlacementRequest<'_>,
    ) -> impl Iterator<Item = &'a PoolEndpoint> {
        let is_separated = request.timing.is_some_and(|timing| timing.separation.is_some());
        let max_steps = if is_separated { MAX_RING_STEPS_SEPARATED } else { MAX_RING_STEPS };
        self.walk_ring_steps(request, max_steps)
    }

    fn walk_ring_steps<'a>(
        &'a self,
        request: &PlacementRequest<'_>,
        max_steps: usize,
    ) -> impl Iterator<Item = &'a PoolEndpoint> {
        let start =
            self.ring.partition_point(|(ring_position, _)| *ring_position < request.ring_position);
        let steps = self.ring.len().min(max_steps);
        let at = move |step: usize| self.ring[(start + step) % self.ring.len()].1 as usize;
        (0..steps).map(move |step| &self.endpoints[at(step)])
    }

    /// Returns an endpoint regardless of its ejection if too large a part of the pool is ejected.
    fn fallback_to_ejected(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
    ) -> Option<&PoolEndpoint> {
        let ejected = self.endpoints.iter().filter(|e| e.state.is_ejected(now)).count() as u32;
        if ejected * EJECTED_DIVISOR < self.endpoints.len() as u32 {
            return None;
        }
        let can_serve_now = |e: &PoolEndpoint| can_serve(e, request) && e.state.is_open();
        let is_healthy = |e: &PoolEndpoint| can_serve_now(e) && !e.state.is_ejected(now);
        // One that is full for a moment is better than one that cannot be connected to.
        let has_healthy = self.endpoints.iter().any(is_healthy);
        let can_accept = |e: &&PoolEndpoint| {
            can_serve_now(e)
                && !e.state.guard().is_active()
                && !(has_healthy && e.state.has_failed_connection())
        };
        self.walk_ring(request).find(|e| can_accept(e) && e.state.can_send(now))
    }

    fn least_loaded<'a>(
        &self,
        now: Millis,
        endpoints: &[&'a PoolEndpoint],
    ) -> Option<&'a PoolEndpoint> {
        endpoints.iter().min_by(|a, b| a.state.cost(now).total_cmp(&b.state.cost(now))).copied()
    }

    fn no_endpoint_error(&self, now: Millis, request: &PlacementRequest<'_>) -> Error {
        if !self.endpoints.is_empty() && self.endpoints.iter().all(|e| e.state.is_evacuated()) {
            return evacuated_error();
        }
        let next_send = |e: &PoolEndpoint| {
            let next = e.state.next_send_at(now).filter(|_| e.state.is_open())?;
            let next = match e.state.is_ejected(now) {
                // Its holder tries it again as soon as the ejection has ended.
                true if e.state.guard().is_active() => next.max(e.state.ejected_until()),
                true => return None,
                false => next,
            };
            (next > now).then_some(next)
        };
        if let Some(from) = self.endpoints.iter().filter_map(next_send).min() {
            let text = "endpoints of the pool take no more for now";
            return Error::new(Code::Overloaded, text).with_retry_after((from - now).0);
        }
        let has_any_capacity =
            self.endpoints.iter().any(|e| e.state.has_capacity_for(request.required_tokens));
        match has_any_capacity || self.endpoints.is_empty() {
            true => Error::new(Code::Overloaded, "no endpoint of the pool is usable now")
                .with_retry_after(RETRY_AFTER_MS),
            false => Error::new(
                Code::TooLong,
                format!(
                    "no endpoint of the pool has capacity for {} tokens",
                    request.required_tokens.0
                ),
            ),
        }
    }
}

/// Builds the error for a request whose possible endpoints are all in evacuated failure domains.
pub fn evacuated_error() -> Error {
    let text = "all endpoints of the service are in evacuated failure domains";
    Error::new(Code::Evacuated, text).with_retry_after(RETRY_EVACUATED_MS)
}

/// Returns the `i`-th random index of a request into a list of length `len`.
fn random_index(salt: u64, i: u64, len: usize) -> usize {
    (xxh3_64_with_seed(&salt.to_le_bytes(), i) % len.max(1) as u64) as usize
}

/// Reports whether an endpoint is in the host's failure domain. Always true if failure domains do
/// not matter for the request.
fn is_local(e: &PoolEndpoint, request: &PlacementRequest<'_>) -> bool {
    request.locality.is_none_or(|locality| *locality.failure_domain == e.failure_domain)
}

/// Returns the work that is added to the load of an endpoint in another failure domain.
fn crossing_work(e: &PoolEndpoint, request: &PlacementRequest<'_>) -> f64 {
    match request.locality {
        Some(locality) if !is_local(e, request) => locality.crossing_work as f64,
        _ => 0.0,
    }
}

fn can_serve(e: &PoolEndpoint, request: &PlacementRequest<'_>) -> bool {
    e.state.has_capacity_for(request.required_tokens) && !request.tried.contains(&e.id)
}

fn is_usable(e: &PoolEndpoint, now: Millis, request: &PlacementRequest<'_>) -> bool {
    can_serve(e, request)
        && e.state.is_open()
        && !e.state.is_ejected(now)
        && e.state.can_be_picked(now, request.is_forwarded)
}
