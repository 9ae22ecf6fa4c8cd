//! Short waits of requests for endpoints that fall over from refusing requests, or whose paths are interrupted.
//!
//! The holder of such an endpoint sends it few requests at once, so a burst of callers finds no place although one is
//! about to be free. Waiting for it takes less time than another request of the caller. The wait is bounded: no more
//! requests wait than places become free, the most urgent ones go first, and all others are refused at once, with
//! a time to return at which a place is likely to be free.
//! A request that no other host can take waits for its paths while their loss may be a short interruption.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::ids::{ModelId, ServiceId};
use tidetrack_core::placement::{EndpointAccess, PoolEndpoint, RefusalWindow};
use tidetrack_core::units::Millis;

use crate::choose::{choose, overloaded_error};
use crate::job::{AttemptHistory, ChosenEndpoint, Job, Traffic};

/// Maximum time for which a request waits.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Maximum fraction of a request's remaining time for which it waits.
const MAX_TIME_LEFT_FRACTION: f64 = 0.25;

/// Interval at which a waiting request looks for an endpoint: requests may end earlier than usual.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Ranks of the waiting requests, by service. The lowest rank is the most urgent.
#[derive(Default)]
pub struct WaitingRequests(RefCell<HashMap<ServiceId, Vec<u8>>>);

/// Counts a waiting request until it is dropped.
struct WaitingGuard<'a> {
    waiting: &'a WaitingRequests,
    service: &'a ServiceId,
    rank: u8,
}

impl WaitingRequests {
    /// Adds a request unless `max` requests that are as urgent are waiting already.
    fn try_add<'a>(
        &'a self,
        service: &'a ServiceId,
        rank: u8,
        max: usize,
    ) -> Option<WaitingGuard<'a>> {
        let mut services = self.0.borrow_mut();
        let ranks = services.entry(service.clone()).or_default();
        if ranks.iter().filter(|other| **other <= rank).count() >= max {
            return None;
        }
        ranks.push(rank);
        Some(WaitingGuard { waiting: self, service, rank })
    }

    /// Reports whether a more urgent request is waiting.
    fn has_more_urgent(&self, service: &ServiceId, rank: u8) -> bool {
        self.0.borrow().get(service).is_some_and(|ranks| ranks.iter().any(|other| *other < rank))
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        if let Some(ranks) = self.waiting.0.borrow_mut().get_mut(self.service) {
            if let Some(at) = ranks.iter().position(|rank| *rank == self.rank) {
                ranks.swap_remove(at);
            }
        }
    }
}

/// Chooses the endpoint or host of the next attempt, after a short wait if that is enough for an
/// endpoint to take it.
pub async fn choose_or_wait(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    model: Option<&ModelId>,
) -> Result<ChosenEndpoint> {
    let max_wait = MAX_WAIT.min(job.time_left().mul_f64(MAX_TIME_LEFT_FRACTION));
    let deadline = Instant::now() + max_wait;
    let rank = job.admitted.rank();
    let mut guard = None;
    loop {
        let chosen = match traffic.waiting.has_more_urgent(&job.service, rank) {
            true => Err(overloaded_error("more urgent requests wait for the endpoints")),
            false => choose(traffic, job, attempts, model),
        };
        let e = match chosen {
            Ok(chosen) => return Ok(chosen),
            Err(e) => e,
        };
        if e.code == Code::NoPath && !job.is_forwarded {
            match traffic.paths.wait_for_return(traffic, &job.service, job.deadline).await {
                true => continue,
                false => return Err(e),
            }
        }
        if e.code != Code::Overloaded {
            return Err(e);
        }
        if is_for_stand_in(traffic, job) {
            return Err(e);
        }
        let wait_left = deadline.saturating_duration_since(Instant::now());
        let places = places_free_within(traffic, job, attempts, wait_left);
        if guard.is_none() {
            guard = traffic.waiting.try_add(&job.service, rank, places);
        }
        if guard.is_none() || places == 0 || wait_left.is_zero() {
            return Err(book_return(traffic, job, e));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Reports whether the stand-in may send a forwarded request to the endpoint that this host was asked for at once.
fn is_for_stand_in(traffic: &Traffic, job: &Job) -> bool {
    let Some(asked) = job.asked_endpoint.as_ref().filter(|_| !job.is_last_host) else {
        return false;
    };
    let now = traffic.shared.now();
    let mut is_for_stand_in = false;
    for_held_endpoints(traffic, job, |e| {
        is_for_stand_in |= e.id == *asked
            && e.state.guard().is_share_in_use(now)
            && e.state.max_refusals().is_some_and(|n| n > 1);
    });
    is_for_stand_in
}

/// Returns how many places are likely to become free within a time at the endpoints that this host holds, except the
/// one that the request was sent to last.
fn places_free_within(
    traffic: &Traffic,
    job: &Job,
    attempts: &AttemptHistory,
    time: Duration,
) -> usize {
    let now = traffic.shared.now();
    let time = Millis(time.as_millis() as u64);
    let places = |window: &mut RefusalWindow, share| {
        let is_free_soon = window.next_send_at(now, share) <= now + time;
        if is_free_soon {
            window.ends_within(time).max(1)
        } else {
            0
        }
    };
    let mut sum = 0;
    for_held_endpoints(traffic, job, |e| {
        if attempts.tried.last() != Some(&e.id) && !e.state.is_ejected(now) {
            sum += e.state.guard().with_window(places);
        }
    });
    sum
}

/// Adds to an error when a place is likely to be free, if this host holds endpoints of the request's service.
fn book_return(traffic: &Traffic, job: &Job, e: Error) -> Error {
    let now = traffic.shared.now();
    let mut first: Option<(Millis, PoolEndpoint)> = None;
    for_held_endpoints(traffic, job, |e| {
        let Some(at) = e.state.next_send_at(now) else { return };
        let at = if e.state.is_ejected(now) { at.max(e.state.ejected_until()) } else { at };
        if first.as_ref().is_none_or(|(first_at, _)| at < *first_at) {
            first = Some((at, e.clone()));
        }
    });
    match first {
        None => e,
        Some((at, endpoint)) => {
            let guard = endpoint.state.guard();
            let time = guard.with_window(|window, share| window.book_return(now, at, share));
            e.with_retry_after(time.0)
        }
    }
}

/// Calls `f` with each endpoint of a request's service that only its holders may send to and this host holds.
fn for_held_endpoints(traffic: &Traffic, job: &Job, mut f: impl FnMut(&PoolEndpoint)) {
    let view = traffic.shared.view.load();
    let Some(service) = view.services.get(&job.service) else { return };
    let pools = [&service.stable_pool, &service.canary_pool];
    for e in pools.into_iter().flat_map(|pool| pool.endpoints()).filter(|e| e.state.is_open()) {
        match e.state.guard().access() {
            EndpointAccess::Holder(_) => f(e),
            EndpointAccess::StandIn(_) if job.is_forwarded => f(e),
            _ => {}
        }
    }
}
