//! State of admitted requests: the request itself, the history of its attempts, and the state of the traffic
//! thread that all requests share.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Method, Uri};
use tokio::sync::{watch, Notify};

use tidetrack_core::codes::Executed;
use tidetrack_core::errors::Result;
use tidetrack_core::ids::{EndpointId, FailureDomain, HostId, ModelId, ServiceId, VersionName};
use tidetrack_core::placement::{request_work, EndpointState, LengthMix};
use tidetrack_core::traffic::admission::AdmittedRequest;
use tidetrack_core::traffic::budget::AttemptBudget;
use tidetrack_core::traffic::event_numbering::EventNumbering;
use tidetrack_core::traffic::exposure::SessionHash;
use tidetrack_core::traffic::fingerprint::RequestFingerprints;
use tidetrack_core::traffic::forwarding::ForwardedRequest;
use tidetrack_core::traffic::idle_shares::IdleShares;
use tidetrack_core::traffic::latency_estimate::LatencyEstimator;
use tidetrack_core::traffic::overload::Overload;
use tidetrack_core::traffic::places::Places;
use tidetrack_core::traffic::prefix_index::PrefixKey;
use tidetrack_core::traffic::reachability::ReachabilityTracker;
use tidetrack_core::traffic::response_times::ResponseTimes;
use tidetrack_core::traffic::scarcity::DemandTracker;
use tidetrack_core::traffic::service_times::ServiceTimes;
use tidetrack_core::traffic::stop::{StopSchedule, StopStage};
use tidetrack_core::traffic::suspects::RunningRequest;
use tidetrack_core::units::{Millis, Tokens};

use crate::backlog::{HeldBody, HostBacklog};
use crate::clock::BootInstant;
use crate::crash::EndpointProbes;
use crate::dialect::RequestFacts;
use crate::forward::OutstandingForwards;
use crate::paths::PathMonitor;
use crate::pool::{Pool, UsedConnections};
use crate::request_body::{BodyHold, BodyMemory, RequestBody};
use crate::response_memory::ResponseMemory;
use crate::room::WaitingRequests;
use crate::shared::SharedRef;

/// Work of a request without token counts, in answer tokens.
const PLAIN_REQUEST_WORK: u64 = 400;

/// Factor applied to the work of rereading a shared prefix. Besides its price, rereading delays the requests
/// that run on the endpoint and evicts other prefixes from the endpoint's memory.
const REREAD_WORK_FACTOR: f64 = 4.0;

/// Fraction of the generated tokens that counts as work after the prompt has been read.
const GENERATED_WORK_FRACTION: f64 = 0.1;

/// State owned by the traffic thread.
pub struct Traffic {
    /// State shared by all threads of the host.
    pub shared: SharedRef,
    /// Pool of connections to endpoints.
    pub pool: Rc<Pool>,
    budgets: RefCell<HashMap<ServiceId, AttemptBudget>>,
    /// Estimates the latency of attempts, for the decision on another attempt on a larger model.
    pub latency_estimator: RefCell<LatencyEstimator>,
    /// Response times of services under load control.
    pub service_times: RefCell<ServiceTimes>,
    /// Bytes held for callers under load control.
    pub backlog: Rc<HostBacklog>,
    /// Memory for the bodies of requests.
    pub body_memory: Rc<BodyMemory>,
    /// Memory for whole responses while they are collected.
    pub response_memory: ResponseMemory,
    /// Load of services under load control.
    pub overload: RefCell<Overload>,
    /// Places at endpoints of services under load control.
    pub places: RefCell<Places>,
    demands: RefCell<HashMap<ServiceId, DemandTracker>>,
    lengths: RefCell<HashMap<ServiceId, LengthMix>>,
    /// Services whose endpoints report their present speed.
    services_with_reported_speed: RefCell<HashSet<ServiceId>>,
    /// How services number the events of their streams.
    pub event_numberings: RefCell<HashMap<ServiceId, EventNumbering>>,
    /// Recent connection attempts that got no reply, by endpoint and failure domain.
    pub reachability: RefCell<ReachabilityTracker>,
    /// Whether the network paths to the endpoints work.
    pub paths: PathMonitor,
    /// Pool of connections to other hosts, for forwarded requests.
    pub host_pool: Rc<Pool>,
    /// Requests that were forwarded and are not finished.
    pub outstanding_forwards: RefCell<OutstandingForwards>,
    /// Hosts that have no share of the endpoints' limits left.
    pub idle_shares: RefCell<IdleShares>,
    /// Requests that wait for an endpoint with a limited rate.
    pub waiting: WaitingRequests,
    /// Checks whether endpoints whose connections broke have crashed.
    pub crash_checks: EndpointProbes,
    /// Number of requests whose responses are not complete.
    pub in_flight: Cell<usize>,
    /// Usual times of complete responses.
    pub response_times: RefCell<ResponseTimes>,
    /// Schedule and start of the planned stop; `None` before it.
    pub stop: Cell<Option<(StopSchedule, Instant)>>,
    /// Stage of the planned stop.
    pub stop_stage: watch::Sender<StopStage>,
    last_request_number: Cell<u64>,
}

impl Traffic {
    /// Creates the state of the traffic thread.
    pub fn new(shared: SharedRef) -> Traffic {
        let reachability =
            RefCell::new(ReachabilityTracker::new(shared.settings.failure_domain.clone()));
        Traffic {
            reachability,
            backlog: HostBacklog::new(&shared),
            body_memory: BodyMemory::new(&shared),
            response_memory: ResponseMemory::new(shared.settings.memory),
            shared,
            pool: Rc::new(Pool::for_endpoints()),
            paths: PathMonitor::default(),
            host_pool: Rc::new(Pool::for_forwarding()),
            outstanding_forwards: RefCell::default(),
            idle_shares: RefCell::default(),
            waiting: WaitingRequests::default(),
            budgets: RefCell::default(),
            latency_estimator: RefCell::default(),
            service_times: RefCell::default(),
            overload: RefCell::default(),
            places: RefCell::default(),
            demands: RefCell::default(),
            lengths: RefCell::default(),
            event_numberings: RefCell::default(),
            services_with_reported_speed: RefCell::default(),
            crash_checks: EndpointProbes::default(),
            in_flight: Cell::new(0),
            response_times: RefCell::default(),
            stop: Cell::new(None),
            stop_stage: watch::Sender::new(StopStage::Serving),
            last_request_number: Cell::new(0),
        }
    }

    /// Returns the pool that the connections to a chosen endpoint or host belong to.
    pub fn pool_of(&self, chosen: &ChosenEndpoint) -> &Pool {
        match chosen.forwarded_to {
            Some(_) => &self.host_pool,
            None => &self.pool,
        }
    }

    /// Fails with `Draining` if a request that is about to be sent usually takes longer than a planned stop leaves it.
    pub fn check_stop_time(&self, job: &Job) -> Result<()> {
        let Some((schedule, started_at)) = self.stop.get() else { return Ok(()) };
        let elapsed = Millis(started_at.elapsed().as_millis() as u64);
        let usual_time = self.response_times.borrow().usual(&job.admitted.route.name);
        schedule.check_time(elapsed, usual_time, Millis(job.time_left().as_millis() as u64))
    }

    /// Records how long a complete response took.
    pub fn record_response_time(&self, job: &Job) {
        self.response_times.borrow_mut().record(&job.admitted.route.name, job.elapsed());
    }

    /// Waits until a planned stop interrupts the requests that are not complete.
    pub async fn wait_for_interruption(&self) {
        let mut stage = self.stop_stage.subscribe();
        // The wait fails only if the sender was dropped, which this borrow excludes.
        let _ = stage.wait_for(|stage| *stage == StopStage::Interrupting).await;
    }

    /// Returns a new number for a request without an id, starting at 1.
    pub fn next_request_number(&self) -> u64 {
        self.last_request_number.set(self.last_request_number.get() + 1);
        self.last_request_number.get()
    }

    /// Reports whether load control applies to a service: the settings call for it, or the service's
    /// endpoints report their present speed.
    pub fn has_load_control(&self, service: &ServiceId) -> bool {
        self.shared.settings.load_control || self.has_reported_speed(service)
    }

    /// Reports whether endpoints of a service report their present speed.
    pub fn has_reported_speed(&self, service: &ServiceId) -> bool {
        self.services_with_reported_speed.borrow().contains(service)
    }

    /// Records that an endpoint of a service has reported its present speed.
    pub fn record_reported_speed(&self, service: &ServiceId) {
        let mut services = self.services_with_reported_speed.borrow_mut();
        if !services.contains(service) {
            services.insert(service.clone());
        }
    }

    /// Calls `f` with the recent demand of a service.
    pub fn with_demand<T>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&mut DemandTracker) -> T,
    ) -> T {
        f(self.demands.borrow_mut().entry(service.clone()).or_default())
    }

    /// Calls `f` with the work that was sent to a service lately, by the length of the attempts.
    pub fn with_lengths<T>(&self, service: &ServiceId, f: impl FnOnce(&mut LengthMix) -> T) -> T {
        f(self.lengths.borrow_mut().entry(service.clone()).or_default())
    }

    /// Calls `f` with the retry budget of a service, which is created on first use.
    pub fn with_budget<T>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&mut AttemptBudget) -> T,
    ) -> T {
        let bounds = &self.shared.settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let new_budget = || AttemptBudget::new(bounds.retry_ratio, bounds.retry_window);
        f(budgets.entry(service.clone()).or_insert_with(new_budget))
    }
}

/// Guard that counts a request as in flight until it is dropped.
pub struct InFlight(Rc<Traffic>);

impl InFlight {
    /// Adds a request to the count.
    pub fn new(traffic: &Rc<Traffic>) -> InFlight {
        traffic.in_flight.set(traffic.in_flight.get() + 1);
        InFlight(traffic.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// An admitted request with everything that its attempts need.
pub struct Job {
    /// Id in the log: the caller's attempt id, or `#` and a number of this host.
    pub id: String,
    /// Values decoded from the request head.
    pub facts: RequestFacts,
    /// Route and workspace of the request.
    pub admitted: AdmittedRequest,
    /// Version of the configuration by which the request was admitted.
    pub config: u64,
    /// Whether another host forwarded the request.
    pub is_forwarded: bool,
    /// The endpoint that the forwarding host asks for; `None` if this host chooses among all.
    pub asked_endpoint: Option<EndpointId>,
    /// Whether the forwarding host asks no further host.
    pub is_last_host: bool,
    /// The model of an interrupted response that another host asks to resume.
    pub resumed_model: Option<ModelId>,
    /// HTTP method.
    pub method: Method,
    /// Whether an endpoint has failed while serving the request.
    pub has_failed: Cell<bool>,
    /// Whether an attempt's connection was lost while its endpoint may have been executing it.
    pub was_interrupted: Cell<bool>,
    /// Path and query, unchanged from the caller's request.
    pub uri: Uri,
    /// Fingerprints that are the same when the caller sends the request again, or another one whose prompt
    /// has the same parts.
    pub fingerprints: RequestFingerprints,
    /// Guard that counts this request as a running copy, for the limits on suspects.
    pub running_request: RunningRequest,
    /// Headers of the caller's request.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: RequestBody,
    /// Guard of the memory that the body takes.
    pub body_hold: Option<BodyHold>,
    /// Guard that counts the body against the memory bound of the host, under load control.
    pub held_body: Option<HeldBody>,
    /// When the request head had been read.
    pub started_at: Instant,
    /// When the request times out, on the clock of the timers, which stops while the machine is suspended.
    pub deadline: Instant,
    /// The same deadline on a clock that includes time in which the machine is suspended.
    pub suspend_aware_deadline: BootInstant,
    /// Service that was selected from the targets of the route.
    pub service: ServiceId,
}

impl Job {
    /// Reports whether the request asks an engine to generate tokens.
    pub fn is_generation(&self) -> bool {
        self.facts.size.is_some()
    }

    /// Returns the time until the earlier of the two deadlines, or zero after it.
    pub fn time_left(&self) -> Duration {
        self.suspend_aware_deadline
            .remaining()
            .min(self.deadline.saturating_duration_since(Instant::now()))
    }

    /// Reports whether the deadline has passed.
    pub fn is_expired(&self) -> bool {
        self.time_left().is_zero()
    }

    /// Returns the hash that assigns the request's session, or the request itself, to a release track.
    pub fn session_hash(&self) -> SessionHash {
        SessionHash::new(self.facts.session.as_deref(), &self.id)
    }

    /// Returns the key of the shared prompt prefix for a model, or `None` if the prompt has no shared prefix.
    pub fn prefix_key(&self, model: Option<&ModelId>) -> Option<PrefixKey> {
        let prefix = self.facts.shared_prefix.as_deref()?;
        Some(PrefixKey::new(prefix, model))
    }

    /// Returns the additional work of an endpoint that doesn't hold the shared prefix, in answer tokens.
    pub fn reread_work(&self, weight: f64) -> u64 {
        let shared = self.facts.shared_tokens.unwrap_or(Tokens(0));
        let work = request_work(shared, Tokens(0)) as f64 * weight * REREAD_WORK_FACTOR;
        (work as u64).max(1)
    }

    /// Returns the time since the request head had been read.
    pub fn elapsed(&self) -> Millis {
        Millis(self.started_at.elapsed().as_millis() as u64)
    }

    /// Returns the latency objective of the route.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.admitted.route.objective.0)
    }

    /// Returns the work of the request until its prompt has been read, in answer tokens. `weight` is the
    /// weight of the model, and `has_prefix` says whether the endpoint has the shared prefix.
    pub fn work(&self, weight: f64, has_prefix: bool) -> u64 {
        let cached_tokens = self.facts.shared_tokens.filter(|_| has_prefix).unwrap_or(Tokens(0));
        let unscaled_work = match &self.facts.size {
            Some(size) => request_work(
                Tokens(size.prompt_tokens.0.saturating_sub(cached_tokens.0)),
                Tokens(0),
            ),
            None => PLAIN_REQUEST_WORK,
        };
        ((unscaled_work as f64 * weight) as u64).max(1)
    }

    /// Returns the work that remains after the prompt has been read, in answer tokens.
    pub fn generation_work(&self, weight: f64) -> u64 {
        let size = self.facts.size.as_ref();
        size.map_or(0, |s| {
            (s.estimated_generated_tokens() * GENERATED_WORK_FRACTION * weight) as u64
        })
    }
}

/// Endpoint that was chosen for an attempt.
#[derive(Clone)]
pub struct ChosenEndpoint {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Address of the endpoint, as `IP:PORT`.
    pub address: String,
    /// Failure domain of the endpoint.
    pub failure_domain: FailureDomain,
    /// Load and health of the endpoint, shared with all users of it.
    pub state: Arc<EndpointState>,
    /// Where the request's shared prefix is held, relative to this endpoint.
    pub prefix: PrefixLocation,
    /// The canary version, if the endpoint runs it; `None` for the stable track.
    pub canary_version: Option<VersionName>,
    /// Whether the endpoint receives more than its share of the canary sample.
    pub is_loaded: bool,
    /// The host that the request is forwarded to: the holder of the endpoint, or any host, which then
    /// chooses the endpoint.
    pub forwarded_to: Option<HostId>,
}

impl ChosenEndpoint {
    /// Returns the name under which connections for the attempt are pooled: that of the host which the
    /// request is forwarded to, or of the endpoint.
    pub fn peer_name(&self) -> &str {
        self.forwarded_to.as_ref().map_or(self.id.as_str(), HostId::as_str)
    }

    /// Returns the endpoint that a host is asked for because it holds it; `None` if the request is not
    /// forwarded, or the host chooses among all endpoints.
    pub fn asked_endpoint(&self) -> Option<&EndpointId> {
        let host = self.forwarded_to.as_ref()?;
        (host.as_str() != self.id.as_str()).then_some(&self.id)
    }
}

/// Where a request's shared prefix is held, relative to the chosen endpoint, as far as this host knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrefixLocation {
    /// The request has no shared prefix.
    None,
    /// The endpoint holds the prefix.
    Cached,
    /// The endpoint fetches the prefix from another endpoint, at this address.
    Fetched(String),
    /// Another endpoint of the same failure domain holds the prefix, but was not chosen because of its load.
    OnBusyEndpoint,
    /// Only endpoints of other failure domains hold the prefix.
    InOtherDomain,
    /// No endpoint is known to hold the prefix.
    Unknown,
}

impl PrefixLocation {
    /// Reports whether the endpoint has the prefix or fetches it, so that it needn't read it.
    pub fn is_available(&self) -> bool {
        matches!(self, PrefixLocation::Cached | PrefixLocation::Fetched(_))
    }

    /// Returns the value for logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            PrefixLocation::None => "-",
            PrefixLocation::Cached => "kept",
            PrefixLocation::Fetched(_) => "fetched",
            PrefixLocation::OnBusyEndpoint => "moved",
            PrefixLocation::InOtherDomain => "far",
            PrefixLocation::Unknown => "unknown",
        }
    }

    /// Returns the address from which the endpoint fetches the prefix, if it does.
    pub fn source_address(&self) -> Option<&str> {
        match self {
            PrefixLocation::Fetched(address) => Some(address),
            _ => None,
        }
    }
}

impl fmt::Display for PrefixLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Endpoint that has stopped sending a stream. Its connection is still read while another endpoint is asked
/// to continue the stream.
pub struct SilentEndpoint {
    id: EndpointId,
    is_listening: Cell<bool>,
    /// Whether the attempt on the other endpoint has no connection yet.
    is_connecting: Cell<bool>,
    /// Since when the other endpoint may be working on the response as well; `None` if it is not.
    shared_since: Cell<Option<Instant>>,
    sharing_started: Notify,
}

impl SilentEndpoint {
    /// Creates the state of a silent endpoint whose connection is still read.
    pub fn new(id: EndpointId) -> SilentEndpoint {
        SilentEndpoint {
            id,
            is_listening: Cell::new(true),
            is_connecting: Cell::new(false),
            shared_since: Cell::new(None),
            sharing_started: Notify::new(),
        }
    }

    /// Records that the endpoint's connection is no longer read.
    pub fn stop_listening(&self) {
        self.is_listening.set(false);
    }

    /// Reports whether the endpoint's connection is still read.
    pub fn is_listening(&self) -> bool {
        self.is_listening.get()
    }

    /// Records that a connection to another endpoint is being established.
    pub fn record_connect_start(&self) {
        self.is_connecting.set(true);
    }

    /// Reports whether the attempt on the other endpoint has no connection yet.
    pub fn is_connecting(&self) -> bool {
        self.is_connecting.get()
    }

    /// Records that the request is about to be written to another endpoint.
    pub fn record_write_start(&self) {
        self.is_connecting.set(false);
        if self.shared_since.get().is_none() {
            self.shared_since.set(Some(Instant::now()));
            self.sharing_started.notify_one();
        }
    }

    /// Records that the attempt on the other endpoint has failed, so that it no longer works on the response.
    pub fn record_replacement_failure(&self) {
        self.shared_since.set(None);
    }

    /// Waits until another endpoint may have worked on the response for the given time.
    pub async fn wait_until_shared_for(&self, time: Duration) {
        loop {
            let Some(since) = self.shared_since.get() else {
                self.sharing_started.notified().await;
                continue;
            };
            if since.elapsed() >= time {
                return;
            }
            tokio::time::sleep_until(tokio::time::Instant::from_std(since + time)).await;
        }
    }
}

/// History of the attempts of one request.
#[derive(Clone, Default)]
pub struct AttemptHistory {
    /// Endpoints that were tried, in order.
    pub tried: Vec<EndpointId>,
    /// Number of attempts that count against the route's maximum, without those that reached no endpoint.
    pub sent_count: u32,
    /// When the last attempt was started.
    pub last_sent_at: Millis,
    /// Number of attempts that reached no endpoint, in the present search for one.
    pub connect_failures: u32,
    /// Number of hosts that the request was forwarded to.
    pub forward_count: u32,
    /// Hosts that the request was forwarded to.
    pub tried_hosts: Vec<HostId>,
    /// Endpoints that could not be reached.
    pub unreachable: Vec<EndpointId>,
    /// Whether the request was executed, as far as is known; `None` before the first attempt has ended.
    pub executed: Option<Executed>,
    /// Whether an attempt was written and it is not recorded yet whether it was executed.
    pub is_open: Rc<Cell<bool>>,
    /// Whether the next attempt is already charged to the retry budget. An attempt in progress is only
    /// abandoned once the next one is certain to be allowed.
    pub is_next_charged: bool,
    /// Silent endpoint whose stream another endpoint is asked to continue.
    pub silent_endpoint: Option<Rc<SilentEndpoint>>,
    /// Connections that carried the attempts.
    pub used_connections: UsedConnections,
}

impl AttemptHistory {
    /// Creates the history of a request, with the attempts of the host that forwarded it.
    pub fn of_forwarded(envelope: Option<&ForwardedRequest>) -> AttemptHistory {
        let Some(envelope) = envelope else { return AttemptHistory::default() };
        AttemptHistory {
            sent_count: envelope.attempts,
            executed: envelope.executed,
            is_next_charged: envelope.is_next_charged,
            ..AttemptHistory::default()
        }
    }

    /// Reports whether the request was forwarded to a host.
    pub fn has_tried_host(&self, host: &HostId) -> bool {
        self.tried_hosts.contains(host)
    }

    /// Returns the sets of endpoints that the next attempt avoids, in order of preference: all tried ones,
    /// then the unreachable ones and the last one, then only the last one. If all endpoints were tried, this
    /// tries all but the last again, first those that were reached. A silent endpoint whose connection is
    /// still read is always avoided.
    pub fn avoided_endpoints(&self) -> [Vec<EndpointId>; 3] {
        let tried = self.tried.as_slice();
        let last_tried = &tried[tried.len().saturating_sub(1)..];
        let unreachable = [self.unreachable.as_slice(), last_tried].concat();
        let silent_endpoint =
            self.silent_endpoint.as_ref().filter(|silent_endpoint| silent_endpoint.is_listening());
        [tried, &unreachable, last_tried].map(|avoided| {
            let mut avoided = avoided.to_vec();
            avoided
                .extend(silent_endpoint.map(|h| &h.id).filter(|id| !avoided.contains(id)).cloned());
            avoided
        })
    }

    /// Returns whether the request has been executed so far, by an attempt in progress or before.
    pub fn executed_so_far(&self) -> Executed {
        match self.executed {
            Some(Executed::Yes) => Executed::Yes,
            Some(Executed::Unknown) => Executed::Unknown,
            _ if self.is_open.get() => Executed::Unknown,
            _ => Executed::No,
        }
    }

    /// Merges whether an attempt was executed: `Yes` outweighs `Unknown`, which outweighs `No`.
    pub fn record_executed(&mut self, executed: Executed) {
        self.is_open.set(false);
        let worst = match (self.executed, executed) {
            (Some(Executed::Yes), _) | (_, Executed::Yes) => Executed::Yes,
            (Some(Executed::Unknown), _) | (_, Executed::Unknown) => Executed::Unknown,
            _ => Executed::No,
        };
        self.executed = Some(worst);
    }
}
