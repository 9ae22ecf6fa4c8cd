//! Placement of a request on one endpoint of a pool.
//!
//! The pool's endpoints stand on a ring that every host computes alike; a request's prefix or
//! session gives the place on the ring, so that the same prefix meets the same cache from every
//! host. The endpoint there is taken unless its load is above a bound; then the least loaded of a few
//! others is, drawn at random per request so that many hosts with the same old report do not herd.
//! The cost of a pick grows with the logarithm of the pool only.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::codes::Code;
use crate::errors::{Error, Result};
use crate::ids::{EndpointId, FailureDomain};
use crate::units::{Millis, Tokens};

/// Places of one endpoint on the ring.
const PLACES: u64 = 16;

/// Steps along the ring in search of an endpoint that may be used.
const MOST_STEPS: usize = 32;

/// Endpoints drawn besides the one on the ring.
const DRAWN: usize = 4;

/// Pools up to this size are compared as a whole.
const SMALL_POOL: usize = 32;

/// Part of the work of reading again that the second endpoint on the ring is charged with: it often
/// keeps the prefix too.
const NEXT_HOME_PART: f64 = 0.5;

/// The ring's endpoint is kept up to this multiple of the drawn ones' mean load.
const BOUND: f64 = 1.25;

/// Work that every endpoint counts as having besides, so that small differences do not drive a prefix
/// from its cache.
const IDLE_WORK: f64 = 400.0;

/// The same where the work of reading a prefix again is counted, which keeps a prefix where it is.
const IDLE_WORK_BESIDE_PREFIX: f64 = 50.0;

/// A report's weight halves every so many milliseconds.
const REPORT_HALF_MS: f64 = 8_000.0;

/// What the other hosts tell of their work counts for this time.
const HOSTS_TOLD_KEPT: Millis = Millis(1_000);

/// Weight of the newest answer in an endpoint's pace.
const PACE_WEIGHT: f64 = 0.2;

/// Pace assumed before the first answer, in microseconds for one token of work.
const ASSUMED_PACE_US: f64 = 20_000.0;

/// Failures in a row after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// First span of an ejection; it doubles up to a limit.
const EJECTED_FOR_MS: u64 = 1_000;

/// Doublings of the ejection's span.
const MOST_DOUBLINGS: u32 = 5;

/// At most this share of a pool is ejected, one endpoint in so many.
const EJECTED_ONE_IN: u32 = 2;

/// Work that a slot runs and has waiting at most, in answer tokens; past it a request is refused early.
const MOST_WORK_A_SLOT: f64 = 512.0;

/// A request of higher priority is refused at this multiple of the bound.
const URGENT_FACTOR: f64 = 1.5;

/// When to come back to a pool that is full.
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

/// What this host knows of an endpoint's load and health. Shared by all traffic threads.
#[derive(Debug, Default)]
pub struct EndpointLive {
    own_work: AtomicU64,
    reported_others: AtomicU64,
    reported_at: AtomicU64,
    capacity_tokens: AtomicU64,
    failures: AtomicU32,
    ejected_until: AtomicU64,
    leaving: AtomicBool,
    /// Microseconds that a token of work took of late; 0 before the first answer.
    pace_us: AtomicU64,
    /// When anything was last heard from the endpoint.
    heard_at: AtomicU64,
    /// Work that the other hosts said they have there.
    hosts_work: AtomicU64,
    /// When that was summed; 0 if never.
    hosts_told_at: AtomicU64,
    /// Requests that went well and that failed since they were taken in last; given up ones are not
    /// counted.
    good: AtomicU32,
    failed: AtomicU32,
    /// Until when it is avoided because it fails more than its pool.
    outlier_until: AtomicU64,
}

/// How many requests at an endpoint went well, and how many failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcomes {
    /// Those that went well.
    pub good: u32,
    /// Those that failed.
    pub failed: u32,
}

impl EndpointLive {
    /// Counts work handed to the endpoint.
    pub fn begin(&self, work: u64) {
        self.own_work.fetch_add(work, Ordering::Relaxed);
    }

    /// Counts work as ended.
    pub fn end(&self, work: u64) {
        self.own_work.fetch_sub(work, Ordering::Relaxed);
    }

    /// Takes a report of the endpoint's whole work and room.
    ///
    /// The part of it that is this host's own is taken off, so that later only the others' part is
    /// old.
    pub fn report(&self, now: Millis, work: u64, capacity: Tokens) {
        let own = self.own_work.load(Ordering::Relaxed);
        self.reported_others.store(work.saturating_sub(own), Ordering::Relaxed);
        self.reported_at.store(now.0, Ordering::Relaxed);
        self.capacity_tokens.store(capacity.0, Ordering::Relaxed);
    }

    /// Gets the instant of the last report.
    pub fn reported_at(&self) -> Millis {
        Millis(self.reported_at.load(Ordering::Relaxed))
    }

    /// Estimates the endpoint's work in answer tokens.
    pub fn load(&self, now: Millis) -> f64 {
        self.own_work() as f64 + self.others_work(now)
    }

    /// Gets this host's own work at the endpoint.
    pub fn own_work(&self) -> u64 {
        self.own_work.load(Ordering::Relaxed)
    }

    /// Takes the work that the other hosts say they have at the endpoint.
    pub fn told_by_hosts(&self, now: Millis, work: u64) {
        self.hosts_work.store(work, Ordering::Relaxed);
        self.hosts_told_at.store(now.0.max(1), Ordering::Relaxed);
    }

    /// Estimates the other hosts' work: as they tell it, else from the endpoint's last report.
    fn others_work(&self, now: Millis) -> f64 {
        let told_at = self.hosts_told_at.load(Ordering::Relaxed);
        if told_at > 0 && now < Millis(told_at) + HOSTS_TOLD_KEPT {
            return self.hosts_work.load(Ordering::Relaxed) as f64;
        }
        let others = self.reported_others.load(Ordering::Relaxed) as f64;
        let age = (now - self.reported_at()).0 as f64;
        others * (-age / REPORT_HALF_MS).exp2()
    }

    /// Takes note that something came from the endpoint.
    pub fn heard(&self, now: Millis) {
        self.heard_at.fetch_max(now.0, Ordering::Relaxed);
    }

    /// Tells whether anything came from the endpoint since an instant.
    pub fn was_heard_since(&self, instant: Millis) -> bool {
        self.heard_at.load(Ordering::Relaxed) > instant.0
    }

    /// Takes note of how long an answer took.
    pub fn took(&self, work: u64, us: u64) {
        let newest = us as f64 / work.max(1) as f64;
        let old = self.pace();
        let known = self.pace_us.load(Ordering::Relaxed) > 0;
        let pace = if known { old + (newest - old) * PACE_WEIGHT } else { newest };
        self.pace_us.store(pace.max(1.0) as u64, Ordering::Relaxed);
    }

    /// Gets the microseconds that a token of work took of late.
    pub fn pace(&self) -> f64 {
        match self.pace_us.load(Ordering::Relaxed) {
            0 => ASSUMED_PACE_US,
            pace => pace as f64,
        }
    }

    /// Estimates what a request would meet here: work before it, by the time that work takes.
    fn cost(&self, now: Millis) -> f64 {
        (self.load(now) + IDLE_WORK) * self.pace()
    }

    /// Tells whether a request of so many tokens can be held at all, as far as is known.
    pub fn can_hold(&self, need: Tokens) -> bool {
        let capacity = self.capacity_tokens.load(Ordering::Relaxed);
        capacity == 0 || need.0 <= capacity
    }

    /// Records how an attempt went.
    pub fn note(&self, now: Millis, went_well: bool) {
        if went_well {
            self.good.fetch_add(1, Ordering::Relaxed);
            self.failures.store(0, Ordering::Relaxed);
            self.ejected_until.store(0, Ordering::Relaxed);
            return;
        }
        self.failed.fetch_add(1, Ordering::Relaxed);
        self.eject_after_failures(now);
    }

    /// Records that an attempt was given up because the endpoint kept silent. That may be the work's
    /// doing, so other hosts are not told of it.
    pub fn note_silent(&self, now: Millis) {
        self.eject_after_failures(now);
    }

    fn eject_after_failures(&self, now: Millis) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures >= FAILURES_TO_EJECT {
            let doublings = (failures - FAILURES_TO_EJECT).min(MOST_DOUBLINGS);
            let until = now.0 + (EJECTED_FOR_MS << doublings);
            self.ejected_until.store(until, Ordering::Relaxed);
        }
    }

    /// Records that the endpoint could not be reached: unlike a failed answer, one is enough.
    pub fn note_unreachable(&self, now: Millis) {
        self.failures.fetch_max(FAILURES_TO_EJECT - 1, Ordering::Relaxed);
        self.note(now, false);
    }

    /// Gets how requests went since the last call.
    pub fn take_outcomes(&self) -> Outcomes {
        let take = |count: &AtomicU32| match count.load(Ordering::Relaxed) {
            0 => 0,
            _ => count.swap(0, Ordering::Relaxed),
        };
        Outcomes { good: take(&self.good), failed: take(&self.failed) }
    }

    /// Avoids the endpoint for a while because it fails more than its pool, by all hosts' counts. One
    /// answer of its that goes well does not end that.
    pub fn avoid_until(&self, until: Millis) {
        self.outlier_until.fetch_max(until.0, Ordering::Relaxed);
    }

    /// Tells whether the endpoint is ejected for its failures.
    pub fn is_ejected(&self, now: Millis) -> bool {
        let until = |at: &AtomicU64| at.load(Ordering::Relaxed);
        until(&self.ejected_until).max(until(&self.outlier_until)) > now.0
    }

    /// Marks the endpoint as leaving or not.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Release);
    }

    /// Tells whether the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }
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
    most_work: f64,
}

/// What a pick is made for.
#[derive(Clone, Debug)]
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
        let most_work = match slots {
            0 => f64::INFINITY,
            slots => f64::from(slots) * MOST_WORK_A_SLOT,
        };
        PoolView { endpoints, ring, most_work }
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
            let only = home.or(least).ok_or_else(|| self.refusal(ask))?;
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
        let mut drawn = Vec::with_capacity(DRAWN);
        for i in 0..DRAWN as u64 {
            let place = xxh3_64_with_seed(&ask.salt.to_le_bytes(), i);
            let at = (place % self.endpoints.len().max(1) as u64) as usize;
            drawn.extend(self.endpoints.get(at).filter(|e| usable(e, now, ask)));
        }
        drawn
    }

    /// Finds where the request is done first, counting what has to be read again away from home.
    fn cheapest<'a>(
        &'a self,
        now: Millis,
        ask: &Ask<'_>,
        home: &'a PoolEndpoint,
        drawn: &[&'a PoolEndpoint],
    ) -> &'a PoolEndpoint {
        let next = self.next_home(now, ask, home);
        let again = |part: f64| ask.reread as f64 * part;
        let cost = |e: &PoolEndpoint, extra: f64| {
            (e.live.load(now) + IDLE_WORK_BESIDE_PREFIX + extra) * e.live.pace()
        };
        let homes = [Some((home, 0.0)), next.map(|e| (e, again(NEXT_HOME_PART)))];
        let others = drawn.iter().map(|e| (*e, again(1.0)));
        let all = homes.into_iter().flatten().chain(others);
        let best = all.min_by(|(a, x), (b, y)| cost(a, *x).total_cmp(&cost(b, *y)));
        best.map_or(home, |(e, _)| e)
    }

    /// Finds the endpoint on the ring after the request's home: the same for every host, so that a
    /// prefix that is too much for one endpoint is kept by two rather than by all.
    fn next_home(&self, now: Millis, ask: &Ask<'_>, home: &PoolEndpoint) -> Option<&PoolEndpoint> {
        let start = self.ring.partition_point(|(place, _)| *place < ask.place);
        let steps = self.ring.len().min(MOST_STEPS);
        let at =
            |step: usize| &self.endpoints[self.ring[(start + step) % self.ring.len()].1 as usize];
        (0..steps).map(at).find(|e| e.id != home.id && usable(e, now, ask))
    }

    /// Finds the first usable endpoint from the request's place on the ring.
    fn home(&self, now: Millis, ask: &Ask<'_>) -> Option<&PoolEndpoint> {
        let start = self.ring.partition_point(|(place, _)| *place < ask.place);
        let steps = self.ring.len().min(MOST_STEPS);
        let at =
            |step: usize| &self.endpoints[self.ring[(start + step) % self.ring.len()].1 as usize];
        (0..steps).map(at).find(|e| usable(e, now, ask)).or_else(|| self.floor(now, ask, steps))
    }

    /// Falls back on ejected endpoints when too many are: the floor of ejection.
    fn floor(&self, now: Millis, ask: &Ask<'_>, steps: usize) -> Option<&PoolEndpoint> {
        let ejected = self.endpoints.iter().filter(|e| e.live.is_ejected(now)).count() as u32;
        if ejected * EJECTED_ONE_IN < self.endpoints.len() as u32 {
            return None;
        }
        let start = self.ring.partition_point(|(place, _)| *place < ask.place);
        let at =
            |step: usize| &self.endpoints[self.ring[(start + step) % self.ring.len()].1 as usize];
        (0..steps).map(at).find(|e| holds(e, ask) && !e.live.is_leaving())
    }

    fn least<'a>(&self, now: Millis, of: &[&'a PoolEndpoint]) -> Option<&'a PoolEndpoint> {
        of.iter().min_by(|a, b| a.live.cost(now).total_cmp(&b.live.cost(now))).copied()
    }

    fn refusal(&self, ask: &Ask<'_>) -> Error {
        let fits = self.endpoints.iter().any(|e| e.live.can_hold(ask.need));
        match fits || self.endpoints.is_empty() {
            true => Error::new(Code::Overloaded, "no endpoint of the pool can be used")
                .with_retry_after(1_000),
            false => {
                Error::new(Code::TooLong, format!("no endpoint can hold {} tokens", ask.need.0))
            }
        }
    }
}

fn holds(e: &PoolEndpoint, ask: &Ask<'_>) -> bool {
    e.live.can_hold(ask.need) && !ask.tried.contains(&e.id)
}

fn usable(e: &PoolEndpoint, now: Millis, ask: &Ask<'_>) -> bool {
    holds(e, ask) && !e.live.is_leaving() && !e.live.is_ejected(now)
}
