//! Endpoints that are cold: they were started a short time ago, so they can process fewer requests
//! than usual and crash if they receive far more.
//!
//! All hosts learn of a cold endpoint at the same time, and it is empty, so each host would consider
//! it the best one for its next requests. While an endpoint is cold, the hosts therefore share out
//! the rate that its service declares, in the same way as a limit that the endpoint itself declares
//! (see `endpoint_limits`).
//!
//! An endpoint's entry states for how long it stays cold. Until a newer entry arrives, an endpoint is
//! also assumed to be cold if it may have been restarted unnoticed: after it refused connections or
//! closed them, and after the evacuation of its failure domain.

use std::collections::HashMap;

use crate::ids::EndpointId;
use crate::units::{Millis, Rate};

/// Time for which an endpoint's entry outlasts the endpoint. An endpoint that returns later has a
/// new entry, which states that it is cold.
const ENTRY_LIFETIME: Millis = Millis(4_000);

/// How the endpoints of a service behave after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time after the start for which an endpoint stays cold.
    pub duration: Millis,
    /// Requests per second that a cold endpoint can process, from all hosts together.
    pub rate: Rate,
}

/// The cold endpoints, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct ColdEndpoints {
    /// When each endpoint ceases to be cold.
    cold_until: HashMap<EndpointId, Millis>,
}

impl ColdEndpoints {
    /// Records that an endpoint's entry, received now, states that it stays cold for `remaining`.
    /// The entry may have been written some time ago, in which case the endpoint is treated as cold
    /// for longer than necessary.
    pub fn record_entry(&mut self, now: Millis, id: &EndpointId, remaining: Millis) {
        if remaining > Millis(0) {
            self.extend(id, now + remaining);
        }
    }

    /// Records that an endpoint may have been restarted at any time up to now.
    pub fn record_possible_restart(&mut self, now: Millis, id: &EndpointId, service: &ColdStart) {
        self.extend(id, now + service.duration);
    }

    /// Records that an endpoint was lost at `now`, and that this host sends nothing to it before
    /// `retry_at`. It may be restarted before its entry expires, or shortly before the next attempt.
    pub fn record_loss(
        &mut self,
        now: Millis,
        id: &EndpointId,
        retry_at: Millis,
        service: &ColdStart,
    ) {
        self.extend(id, retry_at.max(now + ENTRY_LIFETIME) + service.duration);
    }

    fn extend(&mut self, id: &EndpointId, until: Millis) {
        let cold_until = self.cold_until.entry(id.clone()).or_default();
        *cold_until = until.max(*cold_until);
    }

    /// Reports whether an endpoint is cold.
    pub fn is_cold(&self, now: Millis, id: &EndpointId) -> bool {
        self.cold_until.get(id).is_some_and(|until| now < *until)
    }

    /// Reports whether no endpoint is known to be cold.
    pub fn is_empty(&self) -> bool {
        self.cold_until.is_empty()
    }

    /// Removes the endpoints that are no longer cold and returns them.
    pub fn remove_warm(&mut self, now: Millis) -> Vec<EndpointId> {
        let is_warm = |until: &Millis| now >= *until;
        let warm: Vec<EndpointId> =
            self.cold_until.iter().filter(|(_, u)| is_warm(u)).map(|(id, _)| id.clone()).collect();
        self.cold_until.retain(|_, until| !is_warm(until));
        warm
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SERVICE: ColdStart = ColdStart { duration: Millis(3_000), rate: Rate(8.0) };

    fn endpoint() -> EndpointId {
        "e1".parse().expect("the id parses")
    }

    /// Returns the first time, in steps of 100 ms, at which the endpoint is not cold.
    fn warm_at(cold: &ColdEndpoints) -> Millis {
        let mut times = (0..1_000).map(|step| Millis(step * 100));
        times.find(|now| !cold.is_cold(*now, &endpoint())).expect("the endpoint becomes warm")
    }

    #[test]
    fn an_endpoint_is_cold_for_as_long_as_its_entry_states() {
        let mut cold = ColdEndpoints::default();

        cold.record_entry(Millis(0), &endpoint(), Millis(2_500));
        cold.record_entry(Millis(1_000), &endpoint(), Millis(600));

        assert_eq!(warm_at(&cold), Millis(2_500));
    }

    #[test]
    fn an_entry_of_a_warm_endpoint_does_not_end_an_assumed_restart() {
        let mut cold = ColdEndpoints::default();
        cold.record_possible_restart(Millis(0), &endpoint(), &SERVICE);

        cold.record_entry(Millis(100), &endpoint(), Millis(0));

        assert_eq!(warm_at(&cold), Millis(3_000));
    }

    /// Guards against hosts that all send again at the end of a long ejection.
    #[test]
    fn a_lost_endpoint_is_cold_when_it_is_tried_again() {
        let mut cold = ColdEndpoints::default();

        cold.record_loss(Millis(0), &endpoint(), Millis(8_000), &SERVICE);

        assert_eq!(warm_at(&cold), Millis(11_000));
    }

    #[test]
    fn an_endpoint_that_became_warm_is_returned_once() {
        let mut cold = ColdEndpoints::default();
        cold.record_possible_restart(Millis(0), &endpoint(), &SERVICE);

        let at_once = cold.remove_warm(Millis(2_999));
        let later = cold.remove_warm(Millis(3_000));

        assert!(at_once.is_empty());
        assert_eq!(later, [endpoint()]);
        assert!(cold.is_empty() && cold.remove_warm(Millis(3_000)).is_empty());
    }
}
