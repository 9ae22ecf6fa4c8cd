//! Rounds of probes that decide about the paths to a service, and which of its endpoints are reached.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{timeout_at, Instant};

use tidetrack_core::ids::{EndpointId, EndpointKey, ServiceId};
use tidetrack_core::placement::PoolEndpoint;
use tidetrack_core::traffic::endpoint_paths::{PathState, ProbeRank};
use tidetrack_core::traffic::probe_rounds::{
    is_slow, probe_order, recheck_lead_time, restoring_batch_size, wave_sizes, ProbeOutcome,
    RoundCause, RoundProgress,
};
use tidetrack_core::units::Millis;

use crate::job::Traffic;

use super::endpoints_of;
use super::probe::{probe, ProbePurpose};

/// Shortest pause between two probes of lost paths. The pause is random, up to twice as long, so that
/// the hosts of a partition do not all return at the same instant.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time from one wave of a round to the next.
const WAVE_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which it is checked which endpoints that were not reached have to be probed again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Probes the endpoints of a service until one responds: all in one round while the paths are suspected,
/// then some at a time with pauses.
pub(super) async fn probe_until_decided(traffic: Rc<Traffic>, service: ServiceId) {
    let monitor = &traffic.paths;
    monitor.log_suspicion(&traffic, &service);
    let listed: Vec<EndpointKey> =
        endpoints_of(&traffic, &service).iter().map(|e| (&e.id).into()).collect();
    monitor.paths.borrow_mut().retain_listed(&service, &listed);
    let suspicious_since = monitor.suspicious_since(&service);
    let mut restoring = RestoringProbes::default();
    // A later suspicion has probes of its own.
    while suspicious_since.is_some() && monitor.suspicious_since(&service) == suspicious_since {
        if !endpoints_of(&traffic, &service).iter().any(is_probed_by_request) {
            return monitor.forget_service(&traffic, &service);
        }
        match monitor.state(&service) {
            PathState::Lost => restoring.start_next(&traffic, &service),
            _ => probe_round(&traffic, &service, RoundCause::Suspicion).await,
        }
        let pause = MIN_PROBE_INTERVAL.mul_f64(1.0 + rand::random::<f64>());
        tokio::time::sleep(pause).await;
    }
}

/// Probes that are sent while the paths to a service are lost.
#[derive(Default)]
struct RestoringProbes {
    probes: JoinSet<EndpointKey>,
    under_way: HashSet<EndpointKey>,
}

impl RestoringProbes {
    /// Starts the next probes, of the endpoints whose last probe is the longest ago.
    fn start_next(&mut self, traffic: &Rc<Traffic>, service: &ServiceId) {
        while let Some(ended) = self.probes.try_join_next() {
            if let Ok(key) = ended {
                self.under_way.remove(&key);
            }
        }
        let mut endpoints = endpoints_of(traffic, service);
        let count = restoring_batch_size(endpoints.len());
        {
            let paths = traffic.paths.paths.borrow();
            endpoints.sort_by_cached_key(|e| {
                (paths.probed_at(service, (&e.id).into()), rand::random::<u32>())
            });
        }
        endpoints.retain(|e| !self.under_way.contains(&(&e.id).into()));
        for endpoint in endpoints.into_iter().take(count) {
            let key = EndpointKey::from(&endpoint.id);
            self.under_way.insert(key);
            let (traffic, service) = (traffic.clone(), service.clone());
            self.probes.spawn_local(async move {
                probe(&traffic, &service, &endpoint, ProbePurpose::Recovery).await;
                key
            });
        }
    }
}

/// A probe of a round that has ended.
struct EndedProbe {
    endpoint: PoolEndpoint,
    rank: ProbeRank,
    outcome: ProbeOutcome,
    took: Duration,
}

/// A probe that was not answered.
struct FailedProbe {
    endpoint: PoolEndpoint,
    outcome: ProbeOutcome,
}

/// A round of probes. Once one is answered, the others tell which endpoints are not reached.
struct Round {
    cause: RoundCause,
    probes: JoinSet<EndedProbe>,
    failed: Vec<FailedProbe>,
    progress: RoundProgress,
}

/// Probes the endpoints of a service, in waves. If one responds, the round ends with those that are not
/// known and those that are ejected: the paths work, so that each one's probe decides about it alone. If
/// none responds, the paths are lost.
pub(super) async fn probe_round(traffic: &Rc<Traffic>, service: &ServiceId, cause: RoundCause) {
    let mut waiting = shuffled_probe_order(traffic, service);
    let mut round = Round::new(cause);
    for size in wave_sizes() {
        let now = traffic.shared.now();
        waiting.retain(|(e, rank)| round.progress.needs_probe(*rank, e.state.is_ejected(now)));
        if waiting.is_empty() {
            break;
        }
        let wave = waiting.drain(..size.min(waiting.len()));
        wave.for_each(|(endpoint, rank)| round.start(traffic, service, endpoint, rank));
        let next_wave_at = Instant::now() + WAVE_INTERVAL;
        while let Ok(Some(Ok(ended))) = timeout_at(next_wave_at, round.probes.join_next()).await {
            round.record(traffic, service, ended);
        }
    }
    while let Some(Ok(ended)) = round.probes.join_next().await {
        round.record(traffic, service, ended);
    }
    if cause == RoundCause::Suspicion && !round.progress.has_answer() {
        let keys = round.failed.iter().map(|failed| EndpointKey::from(&failed.endpoint.id));
        record_unanswered(traffic, service, keys);
    }
}

impl Round {
    fn new(cause: RoundCause) -> Round {
        let (probes, failed) = (JoinSet::new(), Vec::new());
        Round { cause, probes, failed, progress: RoundProgress::default() }
    }

    fn start(
        &mut self,
        traffic: &Rc<Traffic>,
        service: &ServiceId,
        endpoint: PoolEndpoint,
        rank: ProbeRank,
    ) {
        self.progress.record_start(rank);
        let (traffic, service) = (traffic.clone(), service.clone());
        self.probes.spawn_local(async move {
            let (outcome, took) =
                probe(&traffic, &service, &endpoint, ProbePurpose::Decision).await;
            EndedProbe { endpoint, rank, outcome, took }
        });
    }

    fn record(&mut self, traffic: &Traffic, service: &ServiceId, ended: EndedProbe) {
        let EndedProbe { endpoint, rank, outcome, took } = ended;
        match outcome.is_answered() {
            true => {
                let took = Millis(took.as_millis() as u64);
                self.progress.record_answer(rank, &endpoint.address, took);
            }
            false
                if self.cause == RoundCause::Endpoints
                    && is_slow(traffic.shared.now(), outcome, &endpoint.state) =>
            {
                traffic.paths.paths.borrow_mut().record_slow(service, (&endpoint.id).into());
            }
            false if self.cause.counts_failure(rank, outcome) => {
                self.failed.push(FailedProbe { endpoint, outcome });
            }
            false => {}
        }
        if self.progress.blames_endpoints() {
            self.failed.drain(..).for_each(|failed| failed.record_unreached(traffic, service));
        }
    }
}

impl FailedProbe {
    /// Records that the endpoint is not reached, while others of the service are.
    fn record_unreached(&self, traffic: &Traffic, service: &ServiceId) {
        let now = traffic.shared.now();
        let state = &self.endpoint.state;
        if self.outcome.is_conclusive() && !state.is_ejected(now) {
            state.record_withheld_failure(now, true);
        }
        traffic.paths.paths.borrow_mut().record_unreached(service, (&self.endpoint.id).into());
    }
}

/// Probes the endpoints that were not reached while others were, before their ejections end, so that no
/// caller's request has to find out. Runs until the process ends.
pub(super) async fn recheck_unreached(traffic: Rc<Traffic>) {
    let mut probes = JoinSet::new();
    let under_way: Rc<RefCell<HashSet<EndpointId>>> = Rc::default();
    loop {
        tokio::time::sleep(RECHECK_INTERVAL).await;
        while probes.try_join_next().is_some() {}
        for (service, endpoint) in due_rechecks(&traffic) {
            if !under_way.borrow_mut().insert(endpoint.id.clone()) {
                continue;
            }
            let (traffic, under_way) = (traffic.clone(), under_way.clone());
            probes.spawn_local(async move {
                recheck(&traffic, &service, &endpoint).await;
                under_way.borrow_mut().remove(&endpoint.id);
            });
        }
    }
}

/// Returns the endpoints that have to be probed now, with their services.
fn due_rechecks(traffic: &Traffic) -> Vec<(ServiceId, PoolEndpoint)> {
    let now = traffic.shared.now();
    let paths = traffic.paths.paths.borrow();
    let view = traffic.shared.view.load();
    let mut due = Vec::new();
    for (id, service) in
        paths.services_with_unreached().filter_map(|s| Some((s, view.services.get(s)?)))
    {
        let pools = [&service.stable_pool, &service.canary_pool];
        let is_due = |e: &&PoolEndpoint| {
            paths.is_unreached(id, (&e.id).into())
                && e.state.ejected_until() <= now + recheck_lead_time(rand::random())
                && e.state.is_open()
        };
        let endpoints = pools.into_iter().flat_map(|pool| pool.endpoints()).filter(is_due);
        due.extend(endpoints.map(|e| (id.clone(), e.clone())));
    }
    due
}

async fn recheck(traffic: &Traffic, service: &ServiceId, endpoint: &PoolEndpoint) {
    let (outcome, _) = probe(traffic, service, endpoint, ProbePurpose::Recovery).await;
    let (now, key) = (traffic.shared.now(), EndpointKey::from(&endpoint.id));
    let mut paths = traffic.paths.paths.borrow_mut();
    if is_slow(now, outcome, &endpoint.state) {
        return paths.record_slow(service, key);
    }
    // A request may have been answered meanwhile.
    let is_unreached = paths.is_unreached(service, key);
    if !outcome.is_answered() && is_unreached && paths.state(service) == PathState::Up {
        endpoint.state.record_withheld_failure(now, true);
    }
}

/// Records that probes were not answered, which decides that the paths are lost once this holds for all
/// listed endpoints.
fn record_unanswered(
    traffic: &Traffic,
    service: &ServiceId,
    keys: impl IntoIterator<Item = EndpointKey>,
) {
    let listed: Vec<EndpointKey> =
        endpoints_of(traffic, service).iter().map(|e| EndpointKey::from(&e.id)).collect();
    let monitor = &traffic.paths;
    for key in keys {
        let is_lost = monitor.paths.borrow_mut().record_unanswered_probe(service, key, &listed);
        if is_lost {
            monitor.record_loss(traffic, service);
        }
    }
}

/// Returns the endpoints of a service in the order in which they are probed.
fn shuffled_probe_order(traffic: &Traffic, service: &ServiceId) -> Vec<(PoolEndpoint, ProbeRank)> {
    let mut endpoints = endpoints_of(traffic, service);
    endpoints.sort_by_cached_key(|_| rand::random::<u32>());
    probe_order(&traffic.paths.paths.borrow(), service, endpoints)
}

/// Returns, in the same order, the endpoints that are probed with a request.
pub(super) fn request_probe_order(traffic: &Traffic, service: &ServiceId) -> Vec<PoolEndpoint> {
    let ordered = shuffled_probe_order(traffic, service).into_iter().map(|(endpoint, _)| endpoint);
    ordered.filter(is_probed_by_request).collect()
}

/// Reports whether a probe of an endpoint is a request. Those that fall over from refusing requests are only
/// connected to.
fn is_probed_by_request(endpoint: &PoolEndpoint) -> bool {
    !endpoint.state.guard().is_active()
}
