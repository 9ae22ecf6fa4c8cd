//! Free places at endpoints that refuse requests when full.
//!
//! An endpoint's load report tells how many of its slots are taken, and a refusal that all are. Both
//! become outdated within the time for which requests hold their places: after it, some have ended.

use std::collections::HashMap;

use crate::ids::EndpointId;
use crate::units::Millis;

/// Age from which a load report says nothing about free places.
const MAX_REPORT_AGE: Millis = Millis(500);

/// Longest time for which an endpoint is taken to be full after a refusal.
const MAX_FULL_TIME: Millis = Millis(250);

/// Time for which a refusal shows that an endpoint refuses requests when full.
const REFUSAL_RETENTION: Millis = Millis(60_000);

/// Shortest interval at which endpoints are forgotten.
const PRUNE_INTERVAL: Millis = Millis(1_000);

/// Number of endpoints above which those without recent news are forgotten.
const MAX_ENDPOINTS: usize = 1_024;

/// Free places of endpoints with recent news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FreePlaces {
    /// Number of free places.
    pub free: u64,
    /// Number of all places.
    pub slots: u64,
}

impl FreePlaces {
    /// Returns the places of two sets of endpoints.
    pub fn plus(self, other: FreePlaces) -> FreePlaces {
        FreePlaces { free: self.free + other.free, slots: self.slots + other.slots }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct EndpointPlaces {
    slots: Option<u64>,
    /// Free places by the last report, less the requests that were sent since.
    free: u64,
    reported_at: Option<Millis>,
    refused_at: Option<Millis>,
    refusals_in_a_row: u32,
    full_until: Millis,
}

/// Places at endpoints, as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct Places {
    endpoints: HashMap<EndpointId, EndpointPlaces>,
    pruned_at: Millis,
    /// When an endpoint last refused a request because it was full.
    refused_at: Option<Millis>,
}

impl Places {
    /// Records an endpoint's report of its running and waiting requests.
    pub fn record_report(&mut self, now: Millis, id: &EndpointId, slots: u64, taken: u64) {
        let places = self.entry(now, id);
        places.slots = Some(slots);
        places.free = slots.saturating_sub(taken);
        places.reported_at = Some(now);
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_send(&mut self, id: &EndpointId) {
        if let Some(places) = self.endpoints.get_mut(id) {
            places.free = places.free.saturating_sub(1);
        }
    }

    /// Records that an endpoint has accepted a request.
    pub fn record_accepted(&mut self, id: &EndpointId) {
        if let Some(places) = self.endpoints.get_mut(id) {
            places.refusals_in_a_row = 0;
            places.full_until = Millis(0);
        }
    }

    /// Records that an endpoint has refused a request because it is full. It is taken to be full until
    /// the next of its requests is expected to end, and longer if it refuses again.
    pub fn record_refused(&mut self, now: Millis, id: &EndpointId, hold: Millis) {
        self.refused_at = Some(now);
        let places = self.entry(now, id);
        let next_end = hold.0 / places.slots.unwrap_or(1).max(1);
        let time = next_end.max(1) << places.refusals_in_a_row.min(8);
        let max_time = hold.0.clamp(1, MAX_FULL_TIME.0);
        places.full_until = now + Millis(time.min(max_time));
        places.refusals_in_a_row += 1;
        places.refused_at = Some(now);
        places.free = 0;
        places.reported_at = Some(now);
    }

    /// Returns when an endpoint may have a free place again; `None` if it may have one now.
    pub fn full_until(&self, now: Millis, id: &EndpointId) -> Option<Millis> {
        self.endpoints.get(id).map(|p| p.full_until).filter(|until| now < *until)
    }

    /// Reports whether any endpoint has lately refused a request because it was full.
    pub fn has_refusals(&self, now: Millis) -> bool {
        self.refused_at.is_some_and(|at| now < at + REFUSAL_RETENTION)
    }

    /// Reports whether an endpoint has lately refused a request because it was full.
    pub fn refuses_when_full(&self, now: Millis, id: &EndpointId) -> bool {
        let refused_at = self.endpoints.get(id).and_then(|p| p.refused_at);
        refused_at.is_some_and(|at| now < at + REFUSAL_RETENTION)
    }

    /// Returns the known free places of an endpoint.
    pub fn free(&self, now: Millis, id: &EndpointId) -> FreePlaces {
        let is_recent =
            |p: &&EndpointPlaces| p.reported_at.is_some_and(|at| now < at + MAX_REPORT_AGE);
        let recent = self.endpoints.get(id).filter(is_recent);
        let known = recent.and_then(|p| p.slots.map(|slots| (p.free, slots)));
        known.map_or(FreePlaces::default(), |(free, slots)| FreePlaces { free, slots })
    }

    fn entry(&mut self, now: Millis, id: &EndpointId) -> &mut EndpointPlaces {
        let is_known = self.endpoints.contains_key(id);
        if !is_known
            && self.endpoints.len() >= MAX_ENDPOINTS
            && now >= self.pruned_at + PRUNE_INTERVAL
        {
            self.pruned_at = now;
            let is_recent = |at: Option<Millis>| at.is_some_and(|at| now < at + REFUSAL_RETENTION);
            self.endpoints.retain(|_, p| is_recent(p.reported_at) || is_recent(p.refused_at));
        }
        self.endpoints.entry(id.clone()).or_default()
    }
}
