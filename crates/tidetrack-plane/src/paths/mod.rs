//! Probes of endpoints that decide whether this host has lost its network paths to a service, and the
//! effects of that decision on what the host believes about the endpoints.

mod probe;
mod rounds;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use tidetrack_core::events::Event;
use tidetrack_core::ids::{EndpointId, EndpointKey, ServiceId};
use tidetrack_core::placement::{EndpointState, PoolEndpoint};
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::endpoint_paths::{EndpointPaths, PathState};
use tidetrack_core::traffic::probe_rounds::{is_slow, RoundCause};
use tidetrack_core::units::Millis;

use crate::job::{ChosenEndpoint, Traffic};
use crate::stall_aware_sleep::stall_aware_sleep;

use probe::{probe, ProbePurpose, ProbeSlots};
use rounds::{probe_round, probe_until_decided, recheck_unreached, request_probe_order};

/// How long a failure is withheld if no response on another connection decides earlier.
const WITHHOLD_TIME: Duration = Duration::from_millis(700);

/// Maximum time for which a crash report waits for the decision about the paths.
const MAX_DECISION_TIME: Duration = Duration::from_millis(1_500);

/// Maximum time for which an attempt waits for the decision about the paths. A round of probes
/// takes less.
const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(600);

/// Interval at which it is checked whether an endpoint that is only connected to has responded to a request.
const CONTACT_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// A failure that is not yet held against its endpoint.
struct WithheldFailure {
    endpoint: EndpointId,
    state: Arc<EndpointState>,
    failed_at: Instant,
    /// Whether no connection to the endpoint was established.
    is_unreachable: bool,
}

/// The network paths to the endpoints, and what depends on their state.
#[derive(Default)]
pub struct PathMonitor {
    paths: RefCell<EndpointPaths>,
    withheld: RefCell<HashMap<ServiceId, Vec<WithheldFailure>>>,
    /// Endpoint and time of the last response on a new connection.
    last_contacts: RefCell<HashMap<ServiceId, (EndpointId, Instant)>>,
    /// When an established connection to an endpoint of each service last carried a response.
    last_reused_responses: RefCell<HashMap<ServiceId, Millis>>,
    /// Services of which an endpoint is probed to decide about withheld failures.
    undecided: RefCell<HashSet<ServiceId>>,
    /// Services whose probes have to start.
    suspected: RefCell<Vec<ServiceId>>,
    /// Services whose endpoints have to be probed, each for its own sake, and when.
    scheduled: RefCell<Vec<(ServiceId, Millis)>>,
    /// Endpoints that have to be probed because a request to them takes long, with their services.
    doubted: RefCell<Vec<(ServiceId, PoolEndpoint)>>,
    /// Endpoints for which such a probe is pending or under way, so that each has one at a time.
    under_check: RefCell<HashSet<EndpointId>>,
    /// Bounds the probes under way.
    probe_slots: ProbeSlots,
    changed: Notify,
    /// Notified when the paths to a service turn out to work or to be lost.
    decided: Notify,
}

impl PathMonitor {
    /// Reports whether the paths to a service are lost.
    pub fn is_lost(&self, service: &ServiceId) -> bool {
        self.paths.borrow().is_lost(service)
    }

    /// Returns the state of the paths to a service.
    pub fn state(&self, service: &ServiceId) -> PathState {
        self.paths.borrow().state(service)
    }

    /// Returns the time since the first of the failures that raised the present suspicion or showed the present loss
    /// of the paths to a service; zero if they work.
    pub fn lost_for(&self, traffic: &Traffic, service: &ServiceId) -> Duration {
        let since = self.suspicious_since(service);
        since
            .map_or(Duration::ZERO, |since| Duration::from_millis((traffic.shared.now() - since).0))
    }

    /// Starts probes unless an endpoint of the service has responded on a new connection for `time`.
    /// A host that forwards requests has lost its paths since then, and this host may have lost its own
    /// with them.
    pub fn probe_unless_contacted_within(
        &self,
        traffic: &Traffic,
        service: &ServiceId,
        time: Duration,
    ) {
        let contact = self.last_contacts.borrow().get(service).map(|(_, at)| at.elapsed());
        let is_confirmed = contact.is_some_and(|age| age <= time);
        if !is_confirmed && self.paths.borrow_mut().suspect(traffic.shared.now(), service) {
            self.start_probes(service);
        }
    }

    /// Waits while probes decide whether the paths to a service are lost. Otherwise a request could use
    /// up its attempts on endpoints that are out of reach, before it can be forwarded.
    pub async fn wait_for_decision(&self, service: &ServiceId, deadline: Instant) {
        let deadline = deadline.min(Instant::now() + MAX_ATTEMPT_DELAY);
        self.wait_while(PathState::Suspected, service, deadline).await;
    }

    /// Waits while the paths to a service are lost, as long as that may be a short interruption. Reports
    /// whether they work again.
    pub async fn wait_for_return(
        &self,
        traffic: &Traffic,
        service: &ServiceId,
        deadline: Instant,
    ) -> bool {
        let now = traffic.shared.now();
        let interruption_end = self.paths.borrow().interruption_end(service);
        let Some(end) = interruption_end.filter(|end| *end > now) else { return false };
        let time_left = Duration::from_millis((end - now).0);
        self.wait_while(PathState::Lost, service, deadline.min(Instant::now() + time_left)).await;
        !self.is_lost(service)
    }

    async fn wait_while(&self, state: PathState, service: &ServiceId, deadline: Instant) {
        let is_pending = || self.state(service) == state && Instant::now() < deadline;
        while is_pending() {
            tokio::select! {
                () = self.decided.notified() => {}
                () = tokio::time::sleep_until(deadline.into()) => {}
            }
        }
    }

    /// Records that an endpoint was silent. This is evidence about the path, but says nothing about
    /// the endpoint that other hosts should hear.
    pub fn record_silence(&self, traffic: &Traffic, service: &ServiceId, chosen: &ChosenEndpoint) {
        self.record_unresponsive(traffic, service, &chosen.id, &chosen.state);
    }

    /// Probes an endpoint that this host has not reached yet if an attempt at it gets no response within `delay`,
    /// since the endpoint may have ended, and others with it. Never returns.
    pub async fn watch_first_response(
        &self,
        traffic: &Traffic,
        service: &ServiceId,
        endpoint: &EndpointId,
        delay: Duration,
    ) -> Infallible {
        let is_reached = || self.paths.borrow().is_reached(service, endpoint.into());
        if !is_reached() {
            stall_aware_sleep(delay).await;
            if !is_reached() && self.state(service) == PathState::Up {
                self.schedule_check(traffic, service, endpoint);
            }
        }
        std::future::pending().await
    }

    /// Records that a connection to an endpoint failed, which counts against the endpoint once it
    /// is clear that the path is not the cause.
    pub fn record_failure(
        &self,
        traffic: &Traffic,
        service: &ServiceId,
        chosen: &ChosenEndpoint,
        is_unreachable: bool,
    ) {
        if chosen.state.guard().is_active() {
            // The stand-in may reach the endpoint, so the failure concerns only this host.
            traffic.shared.send_input(Input::EndpointLost(chosen.id.clone()));
            if is_unreachable {
                traffic.pool.close_idle(chosen.id.as_str());
                self.paths.borrow_mut().record_unreached(service, (&chosen.id).into());
            }
            return self.schedule_round(traffic, service);
        }
        if !self.is_lost(service) {
            let failure = WithheldFailure {
                endpoint: chosen.id.clone(),
                state: chosen.state.clone(),
                failed_at: Instant::now(),
                is_unreachable,
            };
            self.withheld.borrow_mut().entry(service.clone()).or_default().push(failure);
            self.changed.notify_one();
        }
        self.record_silence(traffic, service, chosen);
    }

    /// Records a response, on a new connection or on an established one.
    pub fn record_response(
        &self,
        traffic: &Traffic,
        service: &ServiceId,
        endpoint: &EndpointId,
        is_reused: bool,
    ) {
        if is_reused {
            let now = traffic.shared.now();
            self.last_reused_responses.borrow_mut().insert(service.clone(), now);
            return;
        }
        let contact = (endpoint.clone(), Instant::now());
        self.last_contacts.borrow_mut().insert(service.clone(), contact);
        self.record_contact(traffic, service, endpoint);
    }

    /// Records that a new connection to an endpoint works, which decides about withheld failures.
    fn record_contact(&self, traffic: &Traffic, service: &ServiceId, endpoint: &EndpointId) {
        let lost_for = self.lost_for(traffic, service);
        let unanswered = self.paths.borrow().unanswered_probes(service);
        let withheld = self.withheld.borrow_mut().remove(service).unwrap_or_default();
        if !self.is_lost(service) {
            withheld.iter().for_each(|failure| self.count_failure(traffic, service, failure));
        }
        let ended = self.paths.borrow_mut().record_contact(service, endpoint.into());
        self.decided.notify_waiters();
        if ended.state != PathState::Lost {
            return;
        }
        clear_ejections(traffic, service, &ended.failed);
        traffic.shared.journal.log(
            Event::PathsRestored,
            &[
                ("service", service),
                ("endpoint", endpoint),
                ("endpoints", &endpoints_of(traffic, service).len()),
                ("unanswered", &unanswered),
                ("lost_ms", &lost_for.as_millis()),
            ],
        );
        self.publish(traffic);
        self.schedule_round(traffic, service);
    }

    /// Counts a failure against its endpoint.
    fn count_failure(&self, traffic: &Traffic, service: &ServiceId, failure: &WithheldFailure) {
        failure.state.report_failure();
        traffic.shared.send_input(Input::EndpointLost(failure.endpoint.clone()));
        if failure.is_unreachable {
            traffic.pool.close_idle(failure.endpoint.as_str());
            self.paths.borrow_mut().record_unreached(service, (&failure.endpoint).into());
        }
    }

    /// Starts a round of probes that decides about single endpoints, later if one was started a moment ago.
    fn schedule_round(&self, traffic: &Traffic, service: &ServiceId) {
        let start_at = self.paths.borrow_mut().schedule_round(traffic.shared.now(), service);
        if let Some(start_at) = start_at {
            self.scheduled.borrow_mut().push((service.clone(), start_at));
            self.changed.notify_one();
        }
    }

    /// Starts a probe of an endpoint, unless one is under way.
    fn schedule_check(&self, traffic: &Traffic, service: &ServiceId, endpoint: &EndpointId) {
        let mut endpoints = endpoints_of(traffic, service).into_iter();
        let Some(endpoint) = endpoints.find(|e| e.id == *endpoint) else { return };
        if self.under_check.borrow_mut().insert(endpoint.id.clone()) {
            self.doubted.borrow_mut().push((service.clone(), endpoint));
            self.changed.notify_one();
        }
    }

    /// Probes an endpoint, and the others of its service if it does not respond.
    async fn check_endpoint(
        &self,
        traffic: &Traffic,
        service: &ServiceId,
        endpoint: &PoolEndpoint,
    ) {
        let (outcome, _) = probe(traffic, service, endpoint, ProbePurpose::Decision).await;
        self.under_check.borrow_mut().remove(&endpoint.id);
        if is_slow(traffic.shared.now(), outcome, &endpoint.state) {
            self.paths.borrow_mut().record_slow(service, (&endpoint.id).into());
        } else if !outcome.is_answered() && self.state(service) == PathState::Up {
            self.schedule_round(traffic, service);
        }
    }

    fn start_probes(&self, service: &ServiceId) {
        self.suspected.borrow_mut().push(service.clone());
        self.changed.notify_one();
    }

    /// Returns the services with failures that nothing has decided about in time.
    fn overdue_services(&self) -> Vec<ServiceId> {
        let paths = self.paths.borrow();
        let withheld = self.withheld.borrow();
        let is_overdue = |(service, failures): &(&ServiceId, &Vec<WithheldFailure>)| {
            paths.state(service) == PathState::Up
                && failures.iter().any(|f| f.failed_at.elapsed() >= WITHHOLD_TIME)
        };
        withheld.iter().filter(is_overdue).map(|(service, _)| service.clone()).collect()
    }

    /// Counts the withheld failures of a service if another endpoint responds on a new connection.
    /// Otherwise that one has failed as well, which may raise a suspicion.
    async fn decide_overdue_failures(&self, traffic: &Traffic, service: &ServiceId) {
        let is_withheld = |endpoint: &EndpointId| {
            let withheld = self.withheld.borrow();
            withheld.get(service).is_some_and(|all| all.iter().any(|f| f.endpoint == *endpoint))
        };
        let endpoints = request_probe_order(traffic, service);
        match endpoints.iter().find(|e| !is_withheld(&e.id)) {
            Some(other) => {
                let (outcome, _) = probe(traffic, service, other, ProbePurpose::Decision).await;
                if !outcome.is_answered() {
                    self.record_unresponsive(traffic, service, &other.id, &other.state);
                }
            }
            None => {
                let withheld = self.withheld.borrow_mut().remove(service).unwrap_or_default();
                withheld.iter().for_each(|failure| self.count_failure(traffic, service, failure));
            }
        }
    }

    /// Records that an endpoint could not be reached or did not respond. One that falls over from refusing
    /// requests says nothing about the paths.
    fn record_unresponsive(
        &self,
        traffic: &Traffic,
        service: &ServiceId,
        endpoint: &EndpointId,
        state: &EndpointState,
    ) {
        if state.guard().is_active() {
            return self.schedule_round(traffic, service);
        }
        let (now, key) = (traffic.shared.now(), EndpointKey::from(endpoint));
        if self.paths.borrow_mut().record_failure(now, service, key) {
            self.start_probes(service);
        }
    }

    /// Returns since when the paths to a service have been suspicious; `None` if they are not.
    fn suspicious_since(&self, service: &ServiceId) -> Option<Millis> {
        self.paths.borrow().suspicious_since(service)
    }

    /// Forgets a service that has no endpoints any more.
    fn forget_service(&self, traffic: &Traffic, service: &ServiceId) {
        self.paths.borrow_mut().forget(service);
        self.publish(traffic);
        self.decided.notify_waiters();
    }

    fn log_suspicion(&self, traffic: &Traffic, service: &ServiceId) {
        let endpoints = endpoints_of(traffic, service);
        let now = traffic.shared.now();
        let paths = self.paths.borrow();
        let failed = endpoints.iter().filter(|e| paths.has_failed(service, (&e.id).into()));
        let failed: Vec<&str> = failed.map(|e| e.id.as_str()).collect();
        let ejected = endpoints.iter().filter(|e| e.state.is_ejected(now)).count();
        traffic.shared.journal.log(
            Event::PathSuspected,
            &[
                ("service", service),
                ("endpoints", &endpoints.len()),
                ("ejected", &ejected),
                ("failed", &failed.join(",")),
            ],
        );
    }

    /// Tells the control thread, and thus the other hosts, which services are not reached.
    fn publish(&self, traffic: &Traffic) {
        let services = self.paths.borrow().lost_services();
        traffic.shared.metrics.record_lost_paths(services.len());
        traffic.shared.send_input(Input::LostServices(services));
    }

    fn record_loss(&self, traffic: &Traffic, service: &ServiceId) {
        let suspicious_since = self.suspicious_since(service);
        let responded_at = self.last_reused_responses.borrow().get(service).copied();
        let are_established_usable =
            responded_at.zip(suspicious_since).is_some_and(|(at, since)| at > since);
        let endpoints = endpoints_of(traffic, service);
        self.withheld.borrow_mut().remove(service);
        let failed = self.paths.borrow().failed_endpoints(service);
        clear_ejections(traffic, service, &failed);
        if !are_established_usable {
            endpoints.iter().for_each(|e| traffic.pool.close_idle(e.id.as_str()));
        }
        traffic.shared.journal.log(
            Event::PathsLost,
            &[
                ("service", service),
                ("endpoints", &endpoints.len()),
                ("unanswered", &self.paths.borrow().unanswered_probes(service)),
                ("established_usable", &are_established_usable),
            ],
        );
        self.publish(traffic);
        self.decided.notify_waiters();
        // A partition rarely affects a single service.
        let view = traffic.shared.view.load();
        for other in view.services.keys().filter(|other| *other != service) {
            if self.paths.borrow_mut().suspect(traffic.shared.now(), other) {
                self.start_probes(other);
            }
        }
    }

    /// Reports whether an endpoint that refuses connections has ended, which is not certain if this
    /// host may have lost its paths: another endpoint of the service has to respond.
    pub async fn confirm_end(
        &self,
        traffic: &Traffic,
        service: &ServiceId,
        ended: &EndpointId,
        since: Instant,
    ) -> bool {
        let deadline = Instant::now() + MAX_DECISION_TIME;
        loop {
            let contact = self.last_contacts.borrow().get(service).cloned();
            if contact.is_some_and(|(endpoint, at)| endpoint != *ended && at >= since) {
                return true;
            }
            match self.state(service) {
                PathState::Lost => return false,
                PathState::Suspected if Instant::now() < deadline => {
                    self.wait_while(PathState::Suspected, service, deadline).await;
                }
                PathState::Suspected => return false,
                PathState::Up => {
                    let others = request_probe_order(traffic, service);
                    let Some(other) = others.into_iter().find(|e| e.id != *ended) else {
                        if !has_guarded(traffic, service) {
                            return true;
                        }
                        if Instant::now() >= deadline {
                            return false;
                        }
                        tokio::time::sleep(CONTACT_POLL_INTERVAL).await;
                        continue;
                    };
                    let (outcome, _) =
                        probe(traffic, service, &other, ProbePurpose::Decision).await;
                    if outcome.is_answered() {
                        return true;
                    }
                    self.record_unresponsive(traffic, service, &other.id, &other.state);
                    if Instant::now() >= deadline {
                        return false;
                    }
                }
            }
        }
    }
}

/// Starts the probes of suspected services, and those that decide about overdue failures, until the
/// process ends.
pub async fn run_path_monitor(traffic: Rc<Traffic>) {
    let monitor = &traffic.paths;
    tokio::task::spawn_local(recheck_unreached(traffic.clone()));
    loop {
        let has_withheld = !monitor.withheld.borrow().is_empty();
        tokio::select! {
            () = monitor.changed.notified() => {}
            () = tokio::time::sleep(WITHHOLD_TIME / 2), if has_withheld => {}
        }
        for service in monitor.overdue_services() {
            if monitor.undecided.borrow_mut().insert(service.clone()) {
                let traffic = traffic.clone();
                tokio::task::spawn_local(async move {
                    let monitor = &traffic.paths;
                    monitor.decide_overdue_failures(&traffic, &service).await;
                    monitor.undecided.borrow_mut().remove(&service);
                });
            }
        }
        for service in monitor.suspected.take() {
            tokio::task::spawn_local(probe_until_decided(traffic.clone(), service));
        }
        for (service, endpoint) in monitor.doubted.take() {
            let traffic = traffic.clone();
            tokio::task::spawn_local(async move {
                traffic.paths.check_endpoint(&traffic, &service, &endpoint).await;
            });
        }
        for (service, start_at) in monitor.scheduled.take() {
            let traffic = traffic.clone();
            tokio::task::spawn_local(async move {
                let pause = start_at - traffic.shared.now();
                tokio::time::sleep(Duration::from_millis(pause.0)).await;
                probe_round(&traffic, &service, RoundCause::Endpoints).await;
            });
        }
    }
}

/// Reports whether a service has endpoints that are only connected to.
fn has_guarded(traffic: &Traffic, service: &ServiceId) -> bool {
    endpoints_of(traffic, service).iter().any(|e| e.state.guard().is_active())
}

/// Returns the endpoints of a service that requests may be sent to.
fn endpoints_of(traffic: &Traffic, service: &ServiceId) -> Vec<PoolEndpoint> {
    let view = traffic.shared.view.load();
    let Some(service) = view.services.get(service) else { return Vec::new() };
    let pools = [&service.stable_pool, &service.canary_pool];
    let endpoints = pools.into_iter().flat_map(|pool| pool.endpoints());
    endpoints.filter(|e| e.state.is_open()).cloned().collect()
}

/// Ends the ejections of endpoints whose failures the lost paths may have caused.
fn clear_ejections(traffic: &Traffic, service: &ServiceId, failed: &BTreeSet<EndpointKey>) {
    let endpoints = endpoints_of(traffic, service);
    let has_failed = |e: &&PoolEndpoint| failed.contains(&EndpointKey::from(&e.id));
    endpoints.iter().filter(has_failed).for_each(|e| e.state.clear_ejection());
}
