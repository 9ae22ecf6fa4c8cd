//! A request on its way: what it is, what it has led to so far, and what the traffic thread keeps
//! beside it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::sync::Notify;

use tidetrack_core::codes::Executed;
use tidetrack_core::ids::{EndpointId, FailureDomain, ModelId, ServiceId, VersionName};
use tidetrack_core::placement::{request_work, EndpointState};
use tidetrack_core::traffic::admission::AdmittedRequest;
use tidetrack_core::traffic::budget::AttemptBudget;
use tidetrack_core::traffic::exposure::SessionHash;
use tidetrack_core::traffic::fingerprint::Fingerprint;
use tidetrack_core::traffic::latency_estimate::LatencyEstimator;
use tidetrack_core::traffic::prefix_index::PrefixKey;
use tidetrack_core::traffic::reachability::ReachabilityTracker;
use tidetrack_core::traffic::suspects::RunningRequest;
use tidetrack_core::units::{Millis, Tokens};

use crate::clock::Moment;
use crate::crash::Looks;
use crate::dialect::RequestFacts;
use crate::pool::Pool;
use crate::shared::SharedRef;

/// Work that a plain call counts as, in answer tokens.
const PLAIN_REQUEST_WORK: u64 = 400;

/// Multiple of its work that reading a shared part again counts as: it costs its price, delays what
/// runs there, and drives other parts from the endpoint's memory.
const REREAD_WORK_FACTOR: f64 = 4.0;

/// Part of the generated tokens that counts as work once the prompt has been read.
const GENERATED_WORK_FRACTION: f64 = 0.1;

/// What the traffic thread owns.
pub struct Traffic {
    /// What the threads share.
    pub shared: SharedRef,
    /// Connections to endpoints.
    pub pool: Pool,
    budgets: RefCell<HashMap<ServiceId, AttemptBudget>>,
    /// What is expected of second runs.
    pub latency_estimator: RefCell<LatencyEstimator>,
    /// Connects of late that gave no sign of life.
    pub reachability: RefCell<ReachabilityTracker>,
    /// Whether endpoints ended whose connections broke.
    pub crash_checks: Looks,
    /// Requests that are not answered in full yet.
    pub in_flight: Cell<usize>,
    /// Whether new requests are refused because the host stops.
    pub is_refusing: Cell<bool>,
    last_request_number: Cell<u64>,
}

impl Traffic {
    /// Makes the state of the traffic thread.
    pub fn new(shared: SharedRef) -> Traffic {
        let reachability =
            RefCell::new(ReachabilityTracker::new(shared.settings.failure_domain.clone()));
        Traffic {
            reachability,
            shared,
            pool: Pool::to_endpoints(),
            budgets: RefCell::default(),
            latency_estimator: RefCell::default(),
            crash_checks: Looks::default(),
            in_flight: Cell::new(0),
            is_refusing: Cell::new(false),
            last_request_number: Cell::new(0),
        }
    }

    /// Numbers a request that brings no id.
    pub fn next_request_number(&self) -> u64 {
        self.last_request_number.set(self.last_request_number.get() + 1);
        self.last_request_number.get()
    }

    /// Does something with the budget of further sends to a service.
    pub fn with_budget<T>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&mut AttemptBudget) -> T,
    ) -> T {
        let bounds = &self.shared.settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let new_budget = || AttemptBudget::new(bounds.resend_ratio, bounds.resend_window);
        f(budgets.entry(service.clone()).or_insert_with(new_budget))
    }
}

/// Counts a request as in flight for as long as it lives.
pub struct InFlight(Rc<Traffic>);

impl InFlight {
    /// Counts a request.
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

/// A request that was admitted, as its attempts need it.
pub struct Job {
    /// Its id in the log: the caller's, or this host's number.
    pub id: String,
    /// What its head says.
    pub facts: RequestFacts,
    /// Its route and workspace.
    pub admitted: AdmittedRequest,
    /// Method of the request.
    pub method: Method,
    /// Whether an endpoint failed for it.
    pub has_failed: Cell<bool>,
    /// Path and query, unaltered.
    pub uri: Uri,
    /// What stays the same when the caller sends it again.
    pub fingerprint: Fingerprint,
    /// Its place among the requests that are being served.
    pub running_request: RunningRequest,
    /// The caller's head.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When its head had been read.
    pub started_at: Instant,
    /// When it is given up, as timers tell the time.
    pub deadline: Instant,
    /// The same, with time in which the machine is suspended.
    pub suspend_aware_deadline: Moment,
    /// The service it goes to.
    pub service: ServiceId,
}

impl Job {
    /// Tells whether it asks for a generation.
    pub fn is_generation(&self) -> bool {
        self.facts.size.is_some()
    }

    /// Gets the time that is left for it.
    pub fn time_left(&self) -> Duration {
        self.suspend_aware_deadline
            .left()
            .min(self.deadline.saturating_duration_since(Instant::now()))
    }

    /// Tells whether its time is up.
    pub fn is_expired(&self) -> bool {
        self.time_left().is_zero()
    }

    /// Gets its draw of versions.
    pub fn session_hash(&self) -> SessionHash {
        SessionHash::new(self.facts.session.as_deref(), &self.id)
    }

    /// Names the shared part of its prompt, as read for a model.
    pub fn prefix_key(&self, model: Option<&ModelId>) -> Option<PrefixKey> {
        let prefix = self.facts.shared_prefix.as_deref()?;
        Some(PrefixKey::new(prefix, model))
    }

    /// Gets the work that an endpoint without the request's shared prefix does in addition.
    pub fn reread_work(&self, weight: f64) -> u64 {
        let shared = self.facts.shared_tokens.unwrap_or(Tokens(0));
        let work = request_work(shared, Tokens(0)) as f64 * weight * REREAD_WORK_FACTOR;
        (work as u64).max(1)
    }

    /// Gets the time within which an answer earns its full credit.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.admitted.route.objective.0)
    }

    /// Gets the work the request counts as at an endpoint; `weight` is the model's.
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

    /// Gets the work that is left once the prompt has been read.
    pub fn generation_work(&self, weight: f64) -> u64 {
        let size = self.facts.size.as_ref();
        size.map_or(0, |s| {
            (s.estimated_generated_tokens() * GENERATED_WORK_FRACTION * weight) as u64
        })
    }
}

/// An endpoint that was chosen for an attempt.
#[derive(Clone)]
pub struct ChosenEndpoint {
    /// Its id.
    pub id: EndpointId,
    /// Its address.
    pub address: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Its load and health.
    pub state: Arc<EndpointState>,
    /// Where the request's shared part is.
    pub prefix: PrefixLocation,
    /// The version under roll-out, if the endpoint runs it.
    pub canary_version: Option<VersionName>,
    /// Whether it is given more of the new version's sample than its part.
    pub is_loaded: bool,
}

/// Where a request's shared part is when its endpoint has been chosen, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrefixLocation {
    /// The request has none.
    None,
    /// The endpoint keeps it.
    Cached,
    /// The endpoint fetches it from another one, at this address.
    Fetched(String),
    /// Another endpoint of the domain keeps it, but has more to do.
    OnBusyEndpoint,
    /// Only endpoints of other domains keep it.
    InOtherDomain,
    /// No endpoint is known to keep it.
    Unknown,
}

impl PrefixLocation {
    /// Tells whether the endpoint needs not read it.
    pub fn is_available(&self) -> bool {
        matches!(self, PrefixLocation::Cached | PrefixLocation::Fetched(_))
    }

    /// Gets the word for it in logs and metrics.
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

    /// Gets the address that it is fetched from.
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

/// Work handed to an endpoint, until dropped.
pub struct PendingWork {
    state: Arc<EndpointState>,
    work: u64,
    generation_work: u64,
}

impl PendingWork {
    /// Counts a job's work at an endpoint.
    pub fn new(chosen: &ChosenEndpoint, job: &Job, weight: f64) -> PendingWork {
        let work = job.work(weight, chosen.prefix.is_available());
        chosen.state.begin_work(work);
        PendingWork {
            state: chosen.state.clone(),
            work,
            generation_work: job.generation_work(weight),
        }
    }

    /// Takes note that the endpoint has begun to answer: the prompt is read.
    pub fn record_response_start(&mut self) {
        self.state.begin_work(self.generation_work);
        self.state.end_work(self.work);
        self.work = self.generation_work;
    }
}

impl Drop for PendingWork {
    fn drop(&mut self) {
        self.state.end_work(self.work);
    }
}

/// A silent endpoint that is listened to while another one is asked to go on in its place.
pub struct SilentEndpoint {
    id: EndpointId,
    is_listening: Cell<bool>,
    /// Whether the attempt under way has no connection yet.
    is_connecting: Cell<bool>,
    /// Since when another endpoint may work on the answer too.
    shared_since: Cell<Option<Instant>>,
    sharing_started: Notify,
}

impl SilentEndpoint {
    /// Listens to an endpoint.
    pub fn new(id: EndpointId) -> SilentEndpoint {
        SilentEndpoint {
            id,
            is_listening: Cell::new(true),
            is_connecting: Cell::new(false),
            shared_since: Cell::new(None),
            sharing_started: Notify::new(),
        }
    }

    /// Takes note that it is not listened to any more.
    pub fn stop_listening(&self) {
        self.is_listening.set(false);
    }

    /// Tells whether it is still listened to.
    pub fn is_listening(&self) -> bool {
        self.is_listening.get()
    }

    /// Takes note that a connection to another endpoint is sought.
    pub fn record_connect_start(&self) {
        self.is_connecting.set(true);
    }

    /// Tells whether the attempt under way has no connection yet.
    pub fn is_connecting(&self) -> bool {
        self.is_connecting.get()
    }

    /// Takes note that the request is about to be written to another endpoint.
    pub fn record_write_start(&self) {
        self.is_connecting.set(false);
        if self.shared_since.get().is_none() {
            self.shared_since.set(Some(Instant::now()));
            self.sharing_started.notify_one();
        }
    }

    /// Takes note that the other endpoint has ended its work.
    pub fn record_replacement_failure(&self) {
        self.shared_since.set(None);
    }

    /// Waits until another endpoint may have worked on the answer for so long too.
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

/// What the attempts of a request have led to so far.
#[derive(Clone, Default)]
pub struct AttemptHistory {
    /// Endpoints that were tried.
    pub tried: Vec<EndpointId>,
    /// Endpoints that the request was sent to.
    pub sent_count: u32,
    /// When the last attempt began.
    pub last_sent_at: Millis,
    /// Attempts that reached no endpoint, of the present search for one.
    pub connect_failures: u32,
    /// Endpoints that were not reached.
    pub unreachable: Vec<EndpointId>,
    /// Whether the request has run, as far as is known.
    pub executed: Option<Executed>,
    /// Whether the next send was taken from the budget already: what is at hand is given up only once
    /// the next send is sure to be allowed.
    pub is_next_charged: bool,
    /// The endpoint in whose place another one is asked to go on.
    pub silent_endpoint: Option<Rc<SilentEndpoint>>,
}

impl AttemptHistory {
    /// Gets which endpoints the next attempt avoids, in the order of preference: where all were tried,
    /// all but the last are tried again, first those that were reached. One that is still listened to is
    /// avoided always.
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

    /// Takes note of whether an attempt ran.
    pub fn record_executed(&mut self, executed: Executed) {
        let worst = match (self.executed, executed) {
            (Some(Executed::Yes), _) | (_, Executed::Yes) => Executed::Yes,
            (Some(Executed::Unknown), _) | (_, Executed::Unknown) => Executed::Unknown,
            _ => Executed::No,
        };
        self.executed = Some(worst);
    }
}
