//! Placement of a request on one endpoint of a pool.
//!
//! The pool's endpoints stand on a ring that every host computes alike; a request's prefix or
//! session gives the place on the ring, so that the same prefix meets the same cache from every
//! host. The endpoint there is taken unless its load is above a bound; then the least loaded of a few
//! others is, drawn at random per request so that many hosts with the same old report do not herd.
//!
//! Where reading the prefix again is counted, the pick is the endpoint that is done first: its work,
//! the prefix unless it is known to keep it, and what crossing to another failure domain counts as.
//! Of the endpoints that are not known to keep it, the ring's in the host's domain go first.
//!
//! The cost of a pick grows with the logarithm of the pool only.

use std::collections::HashMap;
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::codes::Code;
use crate::errors::{Error, Result};
use crate::ids::{EndpointId, EndpointKey, FailureDomain};
use crate::units::{Millis, Tokens};

mod endpoint_state;

pub use endpoint_state::{EndpointState, Outcomes, SendAllowance};

/// Places of one endpoint on the ring.
const RING_POINTS_PER_ENDPOINT: u64 = 16;

/// Steps along the ring in search of an endpoint that may be used.
const MAX_RING_STEPS: usize = 32;

/// Endpoints drawn besides the one on the ring.
const RANDOM_CANDIDATES: usize = 4;

/// Endpoints of the host's failure domain that are drawn besides: draws from the whole of a large pool may find
/// none of them.
const RANDOM_LOCAL_CANDIDATES: usize = 8;

/// Pools up to this size are compared as a whole.
const MAX_FULL_SCAN_POOL: usize = 32;

/// Part of the work of reading again that the second endpoint on the ring is charged with: it often
/// keeps the prefix too.
const SECOND_HOME_REREAD_SHARE: f64 = 0.5;

/// The ring's endpoint is kept up to this multiple of the drawn ones' mean load.
const MAX_HOME_LOAD_RATIO: f64 = 1.25;

/// Work, in answer tokens, that every endpoint counts as having besides, where the work of reading a prefix
/// again is counted, which keeps a prefix where it is.
const BASE_WORK_WITH_PREFIX: f64 = 50.0;

/// At most this share of a pool is ejected, one endpoint in so many.
const EJECTED_DIVISOR: u32 = 2;

/// Work that a slot runs and has waiting at most, in answer tokens; past it a request is refused early.
const MAX_WORK_PER_SLOT: f64 = 512.0;

/// A request of higher priority is refused at this multiple of the bound.
const URGENT_FACTOR: f64 = 1.5;

/// When to come back to a pool that is full or has no endpoint to be used, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Prompt tokens that cost an endpoint as much as one answer token.
const PROMPT_TOKENS_PER_ANSWER_TOKEN: u64 = 8;

/// Gets the weight of `name` for `hash_key` in rendezvous hashing.
pub fn rendezvous(hash_key: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64(hash_key.as_bytes()))
}

/// Draws a number from 0 up to 1 for `name`, independent of the draws for other jobs.
pub fn hash_fraction(hash_key: &str, name: &str) -> f64 {
    // The upper 53 bits are as many as a float holds.
    (rendezvous(hash_key, name) >> 11) as f64 / (1u64 << 53) as f64
}

/// Gets the place on the ring of a prefix or session.
pub fn ring_position_of(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Gets the work of a request in answer tokens.
pub fn request_work(prompt: Tokens, answer: Tokens) -> u64 {
    prompt.0 / PROMPT_TOKENS_PER_ANSWER_TOKEN + answer.0
}

/// An endpoint of a pool.
#[derive(Clone, Debug)]
pub struct PoolEndpoint {
    /// Its name.
    pub id: EndpointId,
    /// `ip:port`.
    pub address: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Its load and health.
    pub state: Arc<EndpointState>,
}

/// A pool, ready for picks.
#[derive(Clone, Debug, Default)]
pub struct PoolView {
    endpoints: Vec<PoolEndpoint>,
    ring: Vec<(u64, u32)>,
    /// The endpoints' places in the list, by key in ascending order.
    keys: Vec<(EndpointKey, u32)>,
    /// The endpoints' places in the list by failure domain.
    domains: HashMap<FailureDomain, Vec<u32>>,
    max_work: f64,
}

/// Where the asking host stands.
#[derive(Clone, Copy, Debug)]
pub struct Locality<'a> {
    /// Its failure domain.
    pub failure_domain: &'a FailureDomain,
    /// Work that an endpoint of another domain counts as having besides.
    pub crossing_work: u64,
}

/// What a pick is made for.
#[derive(Clone, Debug, Default)]
pub struct PlacementRequest<'a> {
    /// Place on the ring.
    pub ring_position: u64,
    /// Draws the others.
    pub salt: u64,
    /// Prompt and longest answer together.
    pub required_tokens: Tokens,
    /// Endpoints that were tried before.
    pub tried: &'a [EndpointId],
    /// The request's priority; above 0 it is urgent.
    pub priority: i64,
    /// Work that an endpoint which does not keep the request's prefix has to do in addition; 0 keeps
    /// to the ring by a bound on the load instead.
    pub reread_work: u64,
    /// Endpoints that are known to keep the request's prefix.
    pub prefix_holders: &'a [EndpointKey],
    /// Where the host stands, if that bears on the pick.
    pub locality: Option<Locality<'a>>,
}

impl PoolView {
    /// Makes a pool whose endpoints run `slots` requests at a time; 0 sets no bound.
    pub fn new(endpoints: Vec<PoolEndpoint>, slots: u32) -> PoolView {
        let mut ring = Vec::with_capacity(endpoints.len() * RING_POINTS_PER_ENDPOINT as usize);
        for (i, endpoint) in endpoints.iter().enumerate() {
            for ring_position in 0..RING_POINTS_PER_ENDPOINT {
                ring.push((
                    xxh3_64_with_seed(endpoint.id.as_str().as_bytes(), ring_position),
                    i as u32,
                ));
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
        PoolView { endpoints, ring, keys, domains, max_work }
    }

    /// Lists the endpoints.
    pub fn endpoints(&self) -> &[PoolEndpoint] {
        &self.endpoints
    }

    /// Picks an endpoint; refuses early when the best that was looked at has too much to do.
    pub fn pick(&self, now: Millis, request: &PlacementRequest<'_>) -> Result<&PoolEndpoint> {
        let (picked, typical_pace) = self.find_best(now, request)?;
        let urgency_factor = if request.priority > 0 { URGENT_FACTOR } else { 1.0 };
        // A slow endpoint has too much to do sooner than its like.
        let slowdown = (picked.state.pace() / typical_pace).max(1.0);
        match picked.state.load(now) * slowdown <= self.max_work * urgency_factor {
            true => Ok(picked),
            false => Err(Error::new(Code::Overloaded, "the pool has too much to do")
                .with_retry_after(RETRY_AFTER_MS)),
        }
    }

    /// Picks one of the `count` usable endpoints that come first for `hash_key`, the same ones at every host: of two
    /// drawn ones the less loaded. Many requests may have one place, and all of them shall have as much to do.
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

    /// Finds the best endpoint, and the pace that is usual among those looked at.
    fn find_best(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
    ) -> Result<(&PoolEndpoint, f64)> {
        let home_endpoint = self.home_endpoint(now, request);
        let candidates = self.candidates(now, request);
        if let (true, Some(home_endpoint)) = (request.reread_work > 0, home_endpoint) {
            let typical_pace = candidates
                .iter()
                .map(|e| e.state.pace())
                .fold(home_endpoint.state.pace(), f64::min);
            return Ok((self.cheapest(now, request, home_endpoint, &candidates), typical_pace));
        }
        let typical_pace = candidates.iter().map(|e| e.state.pace()).fold(f64::INFINITY, f64::min);
        let least_loaded = self.least_loaded(now, &candidates);
        let (Some(home_endpoint), Some(least_loaded)) = (home_endpoint, least_loaded) else {
            let only = home_endpoint.or(least_loaded).ok_or_else(|| self.refusal(now, request))?;
            return Ok((only, only.state.pace()));
        };
        let mean =
            candidates.iter().map(|e| e.state.cost(now)).sum::<f64>() / candidates.len() as f64;
        let cost = home_endpoint.state.cost(now);
        let keeps_home = cost <= mean * MAX_HOME_LOAD_RATIO || cost <= least_loaded.state.cost(now);
        Ok((
            if keeps_home { home_endpoint } else { least_loaded },
            typical_pace.min(home_endpoint.state.pace()),
        ))
    }

    /// Gets the endpoints that are compared: all of a small pool, else a few drawn ones.
    fn candidates(&self, now: Millis, request: &PlacementRequest<'_>) -> Vec<&PoolEndpoint> {
        if request.reread_work > 0 && self.endpoints.len() <= MAX_FULL_SCAN_POOL {
            return self.endpoints.iter().filter(|e| is_usable(e, now, request)).collect();
        }
        let any = (0..RANDOM_CANDIDATES as u64)
            .map(|i| random_index(request.salt, i, self.endpoints.len()));
        let domain_indices =
            request.locality.and_then(|locality| self.domains.get(locality.failure_domain));
        let locality = domain_indices.into_iter().flat_map(|domain_indices| {
            let draws =
                RANDOM_CANDIDATES as u64..(RANDOM_CANDIDATES + RANDOM_LOCAL_CANDIDATES) as u64;
            draws.map(|i| {
                domain_indices[random_index(request.salt, i, domain_indices.len())] as usize
            })
        });
        let candidates = any.chain(locality).filter_map(|at| self.endpoints.get(at));
        candidates.filter(|e| is_usable(e, now, request)).collect()
    }

    /// Finds where the request is done first, counting what has to be read again away from home.
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
        let reread_cost = |part: f64| request.reread_work as f64 * part;
        let cost = |e: &PoolEndpoint, extra: f64| {
            let work =
                e.state.load(now) + BASE_WORK_WITH_PREFIX + extra + crossing_work(e, request);
            work * e.state.pace()
        };
        // A prefix that nobody near is known to keep is taken to be where the ring places it.
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

    /// Gets an endpoint other than the picked one from which the request's prefix can be had, a near one
    /// first.
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

    /// Lists the usable endpoints that are known to keep the request's prefix.
    fn usable_prefix_holders(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
    ) -> Vec<&PoolEndpoint> {
        let find = |key: &EndpointKey| self.keys.binary_search_by_key(key, |(key, _)| *key).ok();
        let at = request.prefix_holders.iter().filter_map(find);
        let kept = at.map(|at| &self.endpoints[self.keys[at].1 as usize]);
        kept.filter(|e| is_usable(e, now, request)).collect()
    }

    /// Finds the endpoint on the ring after the request's home: the same for every host, so that a
    /// prefix that is too much for one endpoint is kept by two rather than by all.
    fn second_home(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
        home_endpoint: &PoolEndpoint,
    ) -> Option<&PoolEndpoint> {
        self.walk_ring(request).find(|e| {
            e.id != home_endpoint.id && is_local(e, request) && is_usable(e, now, request)
        })
    }

    /// Finds the first usable endpoint from the request's place on the ring.
    fn home_endpoint(&self, now: Millis, request: &PlacementRequest<'_>) -> Option<&PoolEndpoint> {
        let locality =
            self.walk_ring(request).find(|e| is_local(e, request) && is_usable(e, now, request));
        let any = || self.walk_ring(request).find(|e| is_usable(e, now, request));
        locality.or_else(any).or_else(|| self.fallback_to_ejected(now, request))
    }

    /// Walks along the ring from the request's place.
    fn walk_ring<'a>(
        &'a self,
        request: &PlacementRequest<'_>,
    ) -> impl Iterator<Item = &'a PoolEndpoint> {
        let start =
            self.ring.partition_point(|(ring_position, _)| *ring_position < request.ring_position);
        let steps = self.ring.len().min(MAX_RING_STEPS);
        let at = move |step: usize| self.ring[(start + step) % self.ring.len()].1 as usize;
        (0..steps).map(move |step| &self.endpoints[at(step)])
    }

    /// Falls back on ejected endpoints when too many are: the floor of ejection.
    fn fallback_to_ejected(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
    ) -> Option<&PoolEndpoint> {
        let ejected = self.endpoints.iter().filter(|e| e.state.is_ejected(now)).count() as u32;
        if ejected * EJECTED_DIVISOR < self.endpoints.len() as u32 {
            return None;
        }
        let can_accept = |e: &&PoolEndpoint| can_serve(e, request) && !e.state.is_leaving();
        self.walk_ring(request).find(|e| can_accept(e) && e.state.can_send(now))
    }

    fn least_loaded<'a>(&self, now: Millis, of: &[&'a PoolEndpoint]) -> Option<&'a PoolEndpoint> {
        of.iter().min_by(|a, b| a.state.cost(now).total_cmp(&b.state.cost(now))).copied()
    }

    fn refusal(&self, now: Millis, request: &PlacementRequest<'_>) -> Error {
        let next_send = |e: &PoolEndpoint| {
            let is_healthy = !e.state.is_leaving() && !e.state.is_ejected(now);
            e.state.next_send_at(now).filter(|from| is_healthy && *from > now)
        };
        if let Some(from) = self.endpoints.iter().filter_map(next_send).min() {
            let text = "endpoints of the pool take no more for now";
            return Error::new(Code::Overloaded, text).with_retry_after((from - now).0);
        }
        let has_any_capacity =
            self.endpoints.iter().any(|e| e.state.has_capacity_for(request.required_tokens));
        match has_any_capacity || self.endpoints.is_empty() {
            true => Error::new(Code::Overloaded, "no endpoint of the pool can be used")
                .with_retry_after(RETRY_AFTER_MS),
            false => Error::new(
                Code::TooLong,
                format!("no endpoint can hold {} tokens", request.required_tokens.0),
            ),
        }
    }
}

/// Draws a place in a list of so many, the `i`-th of a request.
fn random_index(salt: u64, i: u64, len: usize) -> usize {
    (xxh3_64_with_seed(&salt.to_le_bytes(), i) % len.max(1) as u64) as usize
}

/// Tells whether an endpoint stands in the host's failure domain, where that matters.
fn is_local(e: &PoolEndpoint, request: &PlacementRequest<'_>) -> bool {
    request.locality.is_none_or(|locality| *locality.failure_domain == e.failure_domain)
}

/// Gets the work that asking an endpoint of another failure domain counts as.
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
        && !e.state.is_leaving()
        && !e.state.is_ejected(now)
        && e.state.can_send(now)
}
