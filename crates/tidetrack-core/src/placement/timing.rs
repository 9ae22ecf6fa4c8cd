//! Costs of endpoints by the time that they are expected to take.

use crate::ids::EndpointKey;
use crate::units::Millis;

use super::separation::Separation;
use super::{crossing_work, PlacementRequest, PoolEndpoint, PoolView, BASE_WORK_WITH_PREFIX};

/// How the time that endpoints take counts in the choice between them.
#[derive(Clone, Copy, Debug)]
pub struct PlacementTiming {
    /// Work of the request itself, in answer tokens, which a slow endpoint takes longer for.
    pub own_work: f64,
    /// Preference for the endpoints of long or short attempts; `None` if they are not separated.
    pub separation: Option<Separation>,
}

impl PoolView {
    /// Reports whether the second of two endpoints of the pool is the cheaper one for a request, by
    /// what is known now. Each is given with the work that it has to do in addition.
    pub fn is_second_cheaper(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
        first: (&PoolEndpoint, f64),
        second: (&PoolEndpoint, f64),
    ) -> bool {
        let cost = |(e, extra): (&PoolEndpoint, f64)| self.finish_cost(now, request, e, extra);
        cost(second) < cost(first)
    }

    /// Returns the cost of an endpoint that has to do `extra` work: the work until it finishes the
    /// request, by the time that it takes, and what its place costs beyond that. Costs are compared
    /// with each other only; they are in answer tokens at the usual speed if the request has a timing,
    /// and in microseconds otherwise.
    pub(super) fn finish_cost(
        &self,
        now: Millis,
        request: &PlacementRequest<'_>,
        e: &PoolEndpoint,
        extra: f64,
    ) -> f64 {
        let work = e.state.load(now) + BASE_WORK_WITH_PREFIX + extra;
        let Some(timing) = &request.timing else {
            return (work + crossing_work(e, request)) * e.state.pace();
        };
        let is_preferred = self.is_preferred(request, e);
        let surcharge = timing.separation.filter(|_| !is_preferred).map_or(0.0, |s| s.surcharge);
        let slowdown = e.state.slowdown(now).multiple();
        (work + timing.own_work) * slowdown + crossing_work(e, request) + surcharge
    }

    /// Reports whether an endpoint is of the set that the request's attempt prefers by its length.
    pub(super) fn is_preferred(&self, request: &PlacementRequest<'_>, e: &PoolEndpoint) -> bool {
        let separation = request.timing.and_then(|timing| timing.separation);
        separation.is_none_or(|separation| {
            let key = EndpointKey::from(&e.id);
            let found = self.keys.binary_search_by_key(&key, |(key, _)| *key);
            found.is_ok_and(|at| separation.prefers(self.positions[self.keys[at].1 as usize]))
        })
    }
}
