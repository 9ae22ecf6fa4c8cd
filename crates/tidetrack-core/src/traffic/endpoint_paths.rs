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
//!
//! The list of endpoints may name many that have ended, even most of them, so no sample of it decides:
//! the paths count as lost only once every listed endpoint has left a probe unanswered. Which endpoints
//! were reached and which were not while others were is remembered until it is refuted or the paths
//! are lost. The former are probed first; the latter are probed again from time to time, so that callers'
//! requests need not find out.
//!
//! In what follows, an endpoint has *failed* if a connection or request did lately, whatever the cause; a
//! probe is *unanswered* while the paths are in doubt, which says nothing about its endpoint alone; and an
//! endpoint is *unreached* if it failed or left a probe unanswered while others of its service answered.

use std::collections::{BTreeSet, HashMap, HashSet};

use crate::ids::{EndpointKey, ServiceId};
use crate::units::Millis;

/// Time within which failures at several endpoints may have one cause. It is longer than the time
/// after which an unacknowledged request fails.
const CORRELATION_WINDOW: Millis = Millis(1_500);

/// Number of endpoints that have to fail before the paths to a service are suspected. The failure of
/// an only endpoint says nothing about the paths.
const MIN_FAILED_ENDPOINTS: usize = 2;

/// Shortest interval between two rounds of probes of a service that nothing waits for.
const MIN_ROUND_INTERVAL: Millis = Millis(1_000);

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

/// Order in which endpoints are probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ProbeRank {
    /// The endpoint was reached and has not failed since.
    Reached,
    /// The endpoint has neither been reached nor failed.
    Unknown,
    /// The endpoint failed.
    Failed,
}

/// What a response on a new connection ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndedState {
    /// State of the paths before the response.
    pub state: PathState,
    /// Endpoints that failed while the paths were suspected or lost.
    pub failed: BTreeSet<EndpointKey>,
}

#[derive(Debug, Default)]
struct ServicePaths {
    state: PathState,
    /// When the first of the failures that raised the suspicion occurred.
    suspicious_since: Option<Millis>,
    /// Recent failures since the last response on a new connection.
    failures: Vec<(EndpointKey, Millis)>,
    /// Endpoints that failed since the first of the failures that raised the suspicion.
    failed: BTreeSet<EndpointKey>,
    /// Endpoints that left a probe unanswered since the suspicion began.
    unanswered: BTreeSet<EndpointKey>,
    /// When endpoints were last probed since the suspicion began.
    probed_at: HashMap<EndpointKey, Millis>,
    /// Endpoints that responded on a new connection and have not failed since.
    reached: HashSet<EndpointKey>,
    /// Endpoints that were not reached while others were, and have not been since.
    unreached: HashSet<EndpointKey>,
}

/// The paths from this host to the endpoints, by service.
#[derive(Debug, Default)]
pub struct EndpointPaths {
    services: HashMap<ServiceId, ServicePaths>,
    /// When the last round of probes that nothing waits for was or will be started, by service.
    last_rounds: HashMap<ServiceId, Millis>,
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
        paths.reached.remove(&endpoint);
        paths.failures.retain(|(key, at)| *key != endpoint && now < *at + CORRELATION_WINDOW);
        paths.failures.push((endpoint, now));
        if paths.state != PathState::Up {
            paths.failed.insert(endpoint);
        }
        paths.failures.len() >= MIN_FAILED_ENDPOINTS && paths.suspect(now)
    }

    /// Raises a suspicion without failures, as another service or another host has lost its paths. Returns
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

    /// Records that a new connection to an endpoint works. Returns what this ends.
    pub fn record_contact(&mut self, service: &ServiceId, endpoint: EndpointKey) -> EndedState {
        let paths = self.services.entry(service.clone()).or_default();
        let ended = EndedState { state: paths.state, failed: std::mem::take(&mut paths.failed) };
        let (reached, unreached) = match paths.state {
            // What was known before the loss may have changed meanwhile.
            PathState::Lost => (HashSet::new(), HashSet::new()),
            _ => (std::mem::take(&mut paths.reached), std::mem::take(&mut paths.unreached)),
        };
        *paths = ServicePaths { reached, unreached, ..ServicePaths::default() };
        paths.unreached.remove(&endpoint);
        paths.reached.insert(endpoint);
        ended
    }

    /// Records that an endpoint was not reached while others were.
    pub fn record_unreached(&mut self, service: &ServiceId, endpoint: EndpointKey) {
        let paths = self.services.entry(service.clone()).or_default();
        paths.reached.remove(&endpoint);
        paths.unreached.insert(endpoint);
    }

    /// Records that an endpoint responds to requests although it left a probe unanswered, so that it is only slow.
    pub fn record_slow(&mut self, service: &ServiceId, endpoint: EndpointKey) {
        let paths = self.services.entry(service.clone()).or_default();
        paths.unreached.remove(&endpoint);
        paths.reached.insert(endpoint);
    }

    /// Reports whether an endpoint was not reached while others were, and has not been since.
    pub fn is_unreached(&self, service: &ServiceId, endpoint: EndpointKey) -> bool {
        self.services.get(service).is_some_and(|paths| paths.unreached.contains(&endpoint))
    }

    /// Reports whether an endpoint has responded on a new connection and not failed since.
    pub fn is_reached(&self, service: &ServiceId, endpoint: EndpointKey) -> bool {
        self.services.get(service).is_some_and(|paths| paths.reached.contains(&endpoint))
    }

    /// Returns the services that have paths, but not to all endpoints.
    pub fn services_with_unreached(&self) -> impl Iterator<Item = &ServiceId> {
        let is_partial =
            |paths: &ServicePaths| paths.state == PathState::Up && !paths.unreached.is_empty();
        self.services.iter().filter(move |(_, p)| is_partial(p)).map(|(service, _)| service)
    }

    /// Returns when a round of probes that nothing waits for has to start; `None` if one will start anyway.
    pub fn schedule_round(&mut self, now: Millis, service: &ServiceId) -> Option<Millis> {
        let last = self.last_rounds.get(service).copied();
        if last.is_some_and(|at| at > now) {
            return None;
        }
        let start_at = last.map_or(now, |at| now.max(at + MIN_ROUND_INTERVAL));
        self.last_rounds.insert(service.clone(), start_at);
        Some(start_at)
    }

    /// Records that an endpoint is probed while the paths are suspected or lost.
    pub fn record_probe(&mut self, now: Millis, service: &ServiceId, endpoint: EndpointKey) {
        if let Some(paths) = self.services.get_mut(service).filter(|p| p.state != PathState::Up) {
            paths.probed_at.insert(endpoint, now);
        }
    }

    /// Records that a probe got no response. `listed` are all endpoints of the service that may be probed.
    /// Returns whether the paths count as lost from now on.
    pub fn record_unanswered_probe(
        &mut self,
        service: &ServiceId,
        endpoint: EndpointKey,
        listed: &[EndpointKey],
    ) -> bool {
        let Some(paths) = self.services.get_mut(service) else { return false };
        if paths.state == PathState::Up {
            return false;
        }
        paths.unanswered.insert(endpoint);
        let is_lost = paths.state == PathState::Suspected
            && !listed.is_empty()
            && listed.iter().all(|key| paths.unanswered.contains(key));
        if is_lost {
            paths.state = PathState::Lost;
        }
        is_lost
    }

    /// Returns the number of endpoints that left a probe unanswered since the suspicion began.
    pub fn unanswered_probes(&self, service: &ServiceId) -> usize {
        self.services.get(service).map_or(0, |paths| paths.unanswered.len())
    }

    /// Returns the endpoints that failed since the suspicion began.
    pub fn failed_endpoints(&self, service: &ServiceId) -> BTreeSet<EndpointKey> {
        self.services.get(service).map_or_else(BTreeSet::new, |paths| paths.failed.clone())
    }

    /// Forgets a service that has no endpoints any more.
    pub fn forget(&mut self, service: &ServiceId) {
        self.services.remove(service);
    }

    /// Forgets what is known of endpoints that are not listed any more.
    pub fn retain_listed(&mut self, service: &ServiceId, listed: &[EndpointKey]) {
        if let Some(paths) = self.services.get_mut(service) {
            let listed: HashSet<&EndpointKey> = listed.iter().collect();
            paths.reached.retain(|key| listed.contains(key));
            paths.unreached.retain(|key| listed.contains(key));
        }
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

    /// Reports whether an endpoint failed lately or left a probe of the present suspicion unanswered.
    pub fn has_failed(&self, service: &ServiceId, endpoint: EndpointKey) -> bool {
        self.services.get(service).is_some_and(|paths| paths.has_failed(endpoint))
    }

    /// Returns how early an endpoint is probed, compared to the others of its service.
    pub fn probe_rank(&self, service: &ServiceId, endpoint: EndpointKey) -> ProbeRank {
        let Some(paths) = self.services.get(service) else { return ProbeRank::Unknown };
        match paths.has_failed(endpoint) || paths.unreached.contains(&endpoint) {
            true => ProbeRank::Failed,
            false if paths.reached.contains(&endpoint) => ProbeRank::Reached,
            false => ProbeRank::Unknown,
        }
    }

    /// Returns when an endpoint was last probed since the suspicion began; `None` if it was not.
    pub fn probed_at(&self, service: &ServiceId, endpoint: EndpointKey) -> Option<Millis> {
        self.services.get(service)?.probed_at.get(&endpoint).copied()
    }
}

impl ServicePaths {
    fn suspect(&mut self, now: Millis) -> bool {
        let is_new = self.state == PathState::Up;
        if is_new {
            self.state = PathState::Suspected;
            let first_failure = self.failures.iter().map(|(_, at)| *at).min();
            self.suspicious_since = Some(first_failure.unwrap_or(now));
            self.failed = self.failures.iter().map(|(key, _)| *key).collect();
        }
        is_new
    }

    fn has_failed(&self, endpoint: EndpointKey) -> bool {
        self.failures.iter().any(|(key, _)| *key == endpoint) || self.unanswered.contains(&endpoint)
    }
}
