//! Detects that this host has lost its network paths to the endpoints of a service.
//!
//! From one host, an endpoint that has crashed and an endpoint behind a broken path look the same. A
//! host that cannot tell them apart retries its callers' requests on one unreachable endpoint after
//! another, blames the endpoints and delays every request. Failures at several endpoints without a
//! response on a new connection in between therefore only raise a suspicion, and probes of other
//! endpoints decide: a single response ends it, and if none comes, the paths count as lost until a
//! probe is answered. Responses on established connections are no evidence, because connections may
//! live on while new ones fail.
//!
//! Until a suspicion is decided, failures are withheld: they are not reported to other hosts, which
//! would add them up against healthy endpoints.

use std::collections::{BTreeSet, HashMap};

use crate::ids::{EndpointKey, ServiceId};
use crate::units::Millis;

/// Time within which failures at several endpoints may have one cause. It is longer than the time
/// after which an unacknowledged request fails.
const CORRELATION_WINDOW: Millis = Millis(1_500);

/// Number of endpoints that have to fail before the paths to a service are suspected. The failure of
/// an only endpoint says nothing about the paths.
const MIN_FAILED_ENDPOINTS: usize = 2;

/// Maximum number of endpoints that have to leave a probe unanswered. Even if half of a pool has ended
/// at once, it is unlikely that all of this many probed endpoints have.
const MAX_DECIDING_PROBES: usize = 6;

/// Longest time from the first failure to the end of an interruption that is not a partition: endpoints or
/// links may stand still for a second and a half, and the next probe may be due a moment later.
const MAX_INTERRUPTION: Millis = Millis(2_000);

/// Whether this host reaches the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathState {
    /// No recent failures suggest that it does not.
    #[default]
    Up,
    /// Several endpoints failed, and probes have to decide.
    Suspected,
    /// No new connection to any endpoint works.
    Lost,
}

/// Returns the number of endpoints that have to leave a probe unanswered before the paths to a service with
/// `pool_size` endpoints count as lost. They are probed together, so that one round decides.
pub fn deciding_probes(pool_size: usize) -> usize {
    pool_size.min(MAX_DECIDING_PROBES)
}

#[derive(Debug, Default)]
struct ServicePaths {
    state: PathState,
    /// When the first of the failures that raised the suspicion occurred.
    suspicious_since: Option<Millis>,
    /// Recent failures since the last response on a new connection.
    failures: Vec<(EndpointKey, Millis)>,
    /// Endpoints that left a probe unanswered since the suspicion began.
    unanswered: BTreeSet<EndpointKey>,
}

/// The paths from this host to the endpoints, by service.
#[derive(Debug, Default)]
pub struct EndpointPaths {
    services: HashMap<ServiceId, ServicePaths>,
}

impl EndpointPaths {
    /// Records that an endpoint could not be reached, or that its connection broke or fell silent.
    /// Returns whether probes have to start.
    pub fn record_failure(
        &mut self,
        now: Millis,
        service: &ServiceId,
        endpoint: EndpointKey,
    ) -> bool {
        let paths = self.services.entry(service.clone()).or_default();
        paths.failures.retain(|(key, at)| *key != endpoint && now < *at + CORRELATION_WINDOW);
        paths.failures.push((endpoint, now));
        let is_suspicious = paths.failures.len() >= MIN_FAILED_ENDPOINTS;
        is_suspicious && paths.suspect(now)
    }

    /// Raises a suspicion without failures, because the paths to another service are lost. Returns
    /// whether probes have to start.
    pub fn suspect(&mut self, now: Millis, service: &ServiceId) -> bool {
        self.services.entry(service.clone()).or_default().suspect(now)
    }

    /// Returns since when the paths to a service have been suspicious; `None` if they are not.
    pub fn suspicious_since(&self, service: &ServiceId) -> Option<Millis> {
        self.services.get(service)?.suspicious_since
    }

    /// Returns the time until which the loss of the paths to a service may still turn out to be a short
    /// interruption; `None` if the paths are not lost.
    pub fn interruption_end(&self, service: &ServiceId) -> Option<Millis> {
        let since = self.suspicious_since(service).filter(|_| self.is_lost(service))?;
        Some(since + MAX_INTERRUPTION)
    }

    /// Records a response on a connection that was opened for it. Returns the state that it ends.
    pub fn record_contact(&mut self, service: &ServiceId) -> PathState {
        self.services.remove(service).map_or(PathState::Up, |paths| paths.state)
    }

    /// Records that a probe got no response. `pool_size` is the number of endpoints of the service.
    /// Returns whether the paths count as lost from now on.
    pub fn record_unanswered_probe(
        &mut self,
        service: &ServiceId,
        endpoint: EndpointKey,
        pool_size: usize,
    ) -> bool {
        let Some(paths) = self.services.get_mut(service) else { return false };
        paths.unanswered.insert(endpoint);
        let is_decided = paths.unanswered.len() >= deciding_probes(pool_size);
        if paths.state != PathState::Suspected || !is_decided {
            return false;
        }
        paths.state = PathState::Lost;
        true
    }

    /// Returns the number of endpoints that left a probe unanswered since the suspicion began.
    pub fn unanswered_probes(&self, service: &ServiceId) -> usize {
        self.services.get(service).map_or(0, |paths| paths.unanswered.len())
    }

    /// Forgets a service that has no endpoints any more.
    pub fn remove(&mut self, service: &ServiceId) {
        self.services.remove(service);
    }

    /// Returns the state of the paths to a service.
    pub fn state(&self, service: &ServiceId) -> PathState {
        self.services.get(service).map_or(PathState::Up, |paths| paths.state)
    }

    /// Reports whether the paths to a service are lost.
    pub fn is_lost(&self, service: &ServiceId) -> bool {
        self.state(service) == PathState::Lost
    }

    /// Returns the services whose paths are lost, in order.
    pub fn lost_services(&self) -> Vec<ServiceId> {
        let lost = self.services.iter().filter(|(_, paths)| paths.state == PathState::Lost);
        let mut services: Vec<ServiceId> = lost.map(|(service, _)| service.clone()).collect();
        services.sort_unstable();
        services
    }

    /// Reports whether an endpoint failed recently, so that other endpoints are better probed first.
    pub fn has_failed(&self, service: &ServiceId, endpoint: EndpointKey) -> bool {
        self.services.get(service).is_some_and(|paths| {
            paths.failures.iter().any(|(key, _)| *key == endpoint)
                || paths.unanswered.contains(&endpoint)
        })
    }
}

impl ServicePaths {
    fn suspect(&mut self, now: Millis) -> bool {
        let is_new = self.state == PathState::Up;
        if is_new {
            self.state = PathState::Suspected;
            let first_failure = self.failures.iter().map(|(_, at)| *at).min();
            self.suspicious_since = Some(first_failure.unwrap_or(now));
            self.unanswered.clear();
        }
        is_new
    }
}
