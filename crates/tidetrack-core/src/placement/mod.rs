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

mod live;

pub use live::{Allotted, EndpointLive, Outcomes};

/// Places of one endpoint on the ring.
const PLACES: u64 = 16;

/// Steps along the ring in search of an endpoint that may be used.
const MOST_STEPS: usize = 32;

/// Endpoints drawn besides the one on the ring.
const DRAWN: usize = 4;

/// Endpoints of the host's failure domain that are drawn besides: draws from the whole of a large pool may find
/// none of them.
const DRAWN_NEAR: usize = 8;

/// Pools up to this size are compared as a whole.
const SMALL_POOL: usize = 32;

/// Part of the work of reading again that the second endpoint on the ring is charged with: it often
/// keeps the prefix too.
const NEXT_HOME_PART: f64 = 0.5;

/// The ring's endpoint is kept up to this multiple of the drawn ones' mean load.
const BOUND: f64 = 1.25;

/// Work, in answer tokens, that every endpoint counts as having besides, where the work of reading a prefix
/// again is counted, which keeps a prefix where it is.
const IDLE_WORK_BESIDE_PREFIX: f64 = 50.0;

/// At most this share of a pool is ejected, one endpoint in so many.
const EJECTED_ONE_IN: u32 = 2;

/// Work that a slot runs and has waiting at most, in answer tokens; past it a request is refused early.
const MOST_WORK_A_SLOT: f64 = 512.0;

/// A request of higher priority is refused at this multiple of the bound.
const URGENT_FACTOR: f64 = 1.5;

/// When to come back to a pool that is full or has no endpoint to be used, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

/// Prompt tokens that cost an endpoint as much as one answer token.
const PROMPT_PER_ANSWER: u64 = 8;

/// Gets the weight of `name` for `job` in rendezvous hashing.
pub fn rendezvous(job: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64(job.as_bytes()))
}

/// Draws a number from 0 up to 1 for `name`, independent of the draws for other jobs.
pub fn draw(job: &str, name: &str) -> f64 {
    // The upper 53 bits are as many as a float holds.
    (rendezvous(job, name) >> 11) as f64 / (1u64 << 53) as f64
}

/// Gets the place on the ring of a prefix or session.
pub fn place_of(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Gets the work of a request in answer tokens.
pub fn work_of(prompt: Tokens, answer: Tokens) -> u64 {
    prompt.0 / PROMPT_PER_ANSWER + answer.0
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
    pub live: Arc<EndpointLive>,
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
    most_work: f64,
}

/// Where the asking host stands.
#[derive(Clone, Copy, Debug)]
pub struct Near<'a> {
    /// Its failure domain.
    pub failure_domain: &'a FailureDomain,
    /// Work that an endpoint of another domain counts as having besides.
    pub crossing: u64,
}

/// What a pick is made for.
#[derive(Clone, Debug, Default)]
pub struct Ask<'a> {
    /// Place on the ring.
    pub place: u64,
    /// Draws the others.
    pub salt: u64,
    /// Prompt and longest answer together.
    pub need: Tokens,
    /// Endpoints that were tried before.
    pub tried: &'a [EndpointId],
    /// The request's priority; above 0 it is urgent.
    pub priority: i64,
    /// Work that an endpoint which does not keep the request's prefix has to do in addition; 0 keeps
    /// to the ring by a bound on the load instead.
    pub reread: u64,
    /// Endpoints that are known to keep the request's prefix.
    pub kept_at: &'a [EndpointKey],
    /// Where the host stands, if that bears on the pick.
    pub near: Option<Near<'a>>,
}

impl PoolView {
    /// Makes a pool whose endpoints run `slots` requests at a time; 0 sets no bound.
    pub fn new(endpoints: Vec<PoolEndpoint>, slots: u32) -> PoolView {
        let mut ring = Vec::with_capacity(endpoints.len() * PLACES as usize);
        for (i, endpoint) in endpoints.iter().enumerate() {
            for place in 0..PLACES {
                ring.push((xxh3_64_with_seed(endpoint.id.as_str().as_bytes(), place), i as u32));
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
        let most_work = match slots {
            0 => f64::INFINITY,
            slots => f64::from(slots) * MOST_WORK_A_SLOT,
        };
        PoolView { endpoints, ring, keys, domains, most_work }
    }

    /// Lists the endpoints.
    pub fn endpoints(&self) -> &[PoolEndpoint] {
        &self.endpoints
    }

    /// Picks an endpoint; refuses early when the best that was looked at has too much to do.
    pub fn pick(&self, now: Millis, ask: &Ask<'_>) -> Result<&PoolEndpoint> {
        let (picked, usual_pace) = self.best(now, ask)?;
        let urgent = if ask.priority > 0 { URGENT_FACTOR } else { 1.0 };
        // A slow endpoint has too much to do sooner than its like.
        let slower = (picked.live.pace() / usual_pace).max(1.0);
        match picked.live.load(now) * slower <= self.most_work * urgent {
            true => Ok(picked),
            false => Err(Error::new(Code::Overloaded, "the pool has too much to do")
                .with_retry_after(FULL_RETRY_MS)),
        }
    }

    /// Picks one of the `count` usable endpoints that come first for `job`, the same ones at every host: of two
    /// drawn ones the less loaded. Many requests may have one place, and all of them shall have as much to do.
    pub fn pick_of_first(
        &self,
        now: Millis,
        ask: &Ask<'_>,
        job: &str,
        count: usize,
    ) -> Option<&PoolEndpoint> {
        let usable = self.endpoints.iter().filter(|e| usable(e, now, ask));
        let mut all: Vec<(u64, &PoolEndpoint)> =
            usable.map(|e| (rendezvous(job, e.id.as_str()), e)).collect();
        all.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
        all.truncate(count);
        let drawn = (0..2).filter_map(|i| all.get(draw_at(ask.salt, i, all.len())));
        drawn.map(|(_, e)| *e).min_by(|a, b| a.live.load(now).total_cmp(&b.live.load(now)))
    }

    /// Finds the best endpoint, and the pace that is usual among those looked at.
    fn best(&self, now: Millis, ask: &Ask<'_>) -> Result<(&PoolEndpoint, f64)> {
        let home = self.home(now, ask);
        let drawn = self.drawn(now, ask);
        if let (true, Some(home)) = (ask.reread > 0, home) {
            let usual = drawn.iter().map(|e| e.live.pace()).fold(home.live.pace(), f64::min);
            return Ok((self.cheapest(now, ask, home, &drawn), usual));
        }
        let usual = drawn.iter().map(|e| e.live.pace()).fold(f64::INFINITY, f64::min);
        let least = self.least(now, &drawn);
        let (Some(home), Some(least)) = (home, least) else {
            let only = home.or(least).ok_or_else(|| self.refusal(now, ask))?;
            return Ok((only, only.live.pace()));
        };
        let mean = drawn.iter().map(|e| e.live.cost(now)).sum::<f64>() / drawn.len() as f64;
        let cost = home.live.cost(now);
        let stays = cost <= mean * BOUND || cost <= least.live.cost(now);
        Ok((if stays { home } else { least }, usual.min(home.live.pace())))
    }

    /// Gets the endpoints that are compared: all of a small pool, else a few drawn ones.
    fn drawn(&self, now: Millis, ask: &Ask<'_>) -> Vec<&PoolEndpoint> {
        if ask.reread > 0 && self.endpoints.len() <= SMALL_POOL {
            return self.endpoints.iter().filter(|e| usable(e, now, ask)).collect();
        }
        let any = (0..DRAWN as u64).map(|i| draw_at(ask.salt, i, self.endpoints.len()));
        let of_domain = ask.near.and_then(|near| self.domains.get(near.failure_domain));
        let near = of_domain.into_iter().flat_map(|of_domain| {
            let draws = DRAWN as u64..(DRAWN + DRAWN_NEAR) as u64;
            draws.map(|i| of_domain[draw_at(ask.salt, i, of_domain.len())] as usize)
        });
        let drawn = any.chain(near).filter_map(|at| self.endpoints.get(at));
        drawn.filter(|e| usable(e, now, ask)).collect()
    }

    /// Finds where the request is done first, counting what has to be read again away from home.
    fn cheapest<'a>(
        &'a self,
        now: Millis,
        ask: &Ask<'_>,
        home: &'a PoolEndpoint,
        drawn: &[&'a PoolEndpoint],
    ) -> &'a PoolEndpoint {
        let keepers = self.keepers(now, ask);
        let is_kept_near = keepers.iter().any(|e| is_near(e, ask));
        let next = self.next_home(now, ask, home);
        let again = |part: f64| ask.reread as f64 * part;
        let cost = |e: &PoolEndpoint, extra: f64| {
            let work = e.live.load(now) + IDLE_WORK_BESIDE_PREFIX + extra + crossing(e, ask);
            work * e.live.pace()
        };
        // A prefix that nobody near is known to keep is taken to be where the ring places it.
        let (at_home, at_next) = match is_kept_near {
            true => (1.0, 1.0),
            false => (0.0, NEXT_HOME_PART),
        };
        let homes = [Some((home, again(at_home))), next.map(|e| (e, again(at_next)))];
        let others = drawn.iter().map(|e| (*e, again(1.0)));
        let keepers = keepers.into_iter().map(|e| (e, 0.0));
        let all = keepers.chain(homes.into_iter().flatten()).chain(others);
        let best = all.min_by(|(a, x), (b, y)| cost(a, *x).total_cmp(&cost(b, *y)));
        best.map_or(home, |(e, _)| e)
    }

    /// Gets an endpoint other than the picked one from which the request's prefix can be had, a near one
    /// first.
    pub fn keeper(
        &self,
        now: Millis,
        ask: &Ask<'_>,
        picked: &PoolEndpoint,
    ) -> Option<&PoolEndpoint> {
        let keepers = self.keepers(now, ask).into_iter().filter(|e| e.id != picked.id);
        keepers.min_by_key(|e| !is_near(e, ask))
    }

    /// Lists the usable endpoints that are known to keep the request's prefix.
    fn keepers(&self, now: Millis, ask: &Ask<'_>) -> Vec<&PoolEndpoint> {
        let find = |key: &EndpointKey| self.keys.binary_search_by_key(key, |(key, _)| *key).ok();
        let at = ask.kept_at.iter().filter_map(find);
        let kept = at.map(|at| &self.endpoints[self.keys[at].1 as usize]);
        kept.filter(|e| usable(e, now, ask)).collect()
    }

    /// Finds the endpoint on the ring after the request's home: the same for every host, so that a
    /// prefix that is too much for one endpoint is kept by two rather than by all.
    fn next_home(&self, now: Millis, ask: &Ask<'_>, home: &PoolEndpoint) -> Option<&PoolEndpoint> {
        self.along(ask).find(|e| e.id != home.id && is_near(e, ask) && usable(e, now, ask))
    }

    /// Finds the first usable endpoint from the request's place on the ring.
    fn home(&self, now: Millis, ask: &Ask<'_>) -> Option<&PoolEndpoint> {
        let near = self.along(ask).find(|e| is_near(e, ask) && usable(e, now, ask));
        let any = || self.along(ask).find(|e| usable(e, now, ask));
        near.or_else(any).or_else(|| self.floor(now, ask))
    }

    /// Walks along the ring from the request's place.
    fn along<'a>(&'a self, ask: &Ask<'_>) -> impl Iterator<Item = &'a PoolEndpoint> {
        let start = self.ring.partition_point(|(place, _)| *place < ask.place);
        let steps = self.ring.len().min(MOST_STEPS);
        let at = move |step: usize| self.ring[(start + step) % self.ring.len()].1 as usize;
        (0..steps).map(move |step| &self.endpoints[at(step)])
    }

    /// Falls back on ejected endpoints when too many are: the floor of ejection.
    fn floor(&self, now: Millis, ask: &Ask<'_>) -> Option<&PoolEndpoint> {
        let ejected = self.endpoints.iter().filter(|e| e.live.is_ejected(now)).count() as u32;
        if ejected * EJECTED_ONE_IN < self.endpoints.len() as u32 {
            return None;
        }
        let is_open = |e: &&PoolEndpoint| holds(e, ask) && !e.live.is_leaving();
        self.along(ask).find(|e| is_open(e) && e.live.may_send(now))
    }

    fn least<'a>(&self, now: Millis, of: &[&'a PoolEndpoint]) -> Option<&'a PoolEndpoint> {
        of.iter().min_by(|a, b| a.live.cost(now).total_cmp(&b.live.cost(now))).copied()
    }

    fn refusal(&self, now: Millis, ask: &Ask<'_>) -> Error {
        let waits = |e: &PoolEndpoint| {
            let is_sound = !e.live.is_leaving() && !e.live.is_ejected(now);
            e.live.sends_from(now).filter(|from| is_sound && *from > now)
        };
        if let Some(from) = self.endpoints.iter().filter_map(waits).min() {
            let text = "endpoints of the pool take no more for now";
            return Error::new(Code::Overloaded, text).with_retry_after((from - now).0);
        }
        let fits = self.endpoints.iter().any(|e| e.live.can_hold(ask.need));
        match fits || self.endpoints.is_empty() {
            true => Error::new(Code::Overloaded, "no endpoint of the pool can be used")
                .with_retry_after(FULL_RETRY_MS),
            false => {
                Error::new(Code::TooLong, format!("no endpoint can hold {} tokens", ask.need.0))
            }
        }
    }
}

/// Draws a place in a list of so many, the `i`-th of a request.
fn draw_at(salt: u64, i: u64, len: usize) -> usize {
    (xxh3_64_with_seed(&salt.to_le_bytes(), i) % len.max(1) as u64) as usize
}

/// Tells whether an endpoint stands in the host's failure domain, where that matters.
fn is_near(e: &PoolEndpoint, ask: &Ask<'_>) -> bool {
    ask.near.is_none_or(|near| *near.failure_domain == e.failure_domain)
}

/// Gets the work that asking an endpoint of another failure domain counts as.
fn crossing(e: &PoolEndpoint, ask: &Ask<'_>) -> f64 {
    match ask.near {
        Some(near) if !is_near(e, ask) => near.crossing as f64,
        _ => 0.0,
    }
}

fn holds(e: &PoolEndpoint, ask: &Ask<'_>) -> bool {
    e.live.can_hold(ask.need) && !ask.tried.contains(&e.id)
}

fn usable(e: &PoolEndpoint, now: Millis, ask: &Ask<'_>) -> bool {
    holds(e, ask) && !e.live.is_leaving() && !e.live.is_ejected(now) && e.live.may_send(now)
}
