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

use crate::clock::BootInstant;
use crate::crash::Looks;
use crate::dialect::RequestFacts;
use crate::pool::Pool;
use crate::shared::SharedRef;

/// Work that a plain call counts as, in answer tokens.
const PLAIN_WORK: u64 = 400;

/// Multiple of its work that reading a shared part again counts as: it costs its price, delays what
/// runs there, and drives other parts from the endpoint's memory.
const REREAD_TIMES: f64 = 4.0;

/// Part of the generated tokens that counts as work once the prompt has been read.
const GENERATED_PART: f64 = 0.1;

/// What the traffic thread owns.
pub struct Traffic {
    /// What the threads share.
    pub shared: SharedRef,
    /// Connections to endpoints.
    pub pool: Pool,
    budgets: RefCell<HashMap<ServiceId, AttemptBudget>>,
    /// What is expected of second runs.
    pub outlook: RefCell<LatencyEstimator>,
    /// Connects of late that gave no sign of life.
    pub reach: RefCell<ReachabilityTracker>,
    /// Whether endpoints ended whose connections broke.
    pub looks: Looks,
    /// Requests that are not answered in full yet.
    pub in_flight: Cell<usize>,
    /// Whether new requests are refused because the host stops.
    pub refuses: Cell<bool>,
    numbers: Cell<u64>,
}

impl Traffic {
    /// Makes the state of the traffic thread.
    pub fn new(shared: SharedRef) -> Traffic {
        let reach = RefCell::new(ReachabilityTracker::new(shared.settings.failure_domain.clone()));
        Traffic {
            reach,
            shared,
            pool: Pool::to_endpoints(),
            budgets: RefCell::default(),
            outlook: RefCell::default(),
            looks: Looks::default(),
            in_flight: Cell::new(0),
            refuses: Cell::new(false),
            numbers: Cell::new(0),
        }
    }

    /// Numbers a request that brings no id.
    pub fn next_number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    /// Does something with the budget of further sends to a service.
    pub fn with_budget<T>(
        &self,
        service: &ServiceId,
        f: impl FnOnce(&mut AttemptBudget) -> T,
    ) -> T {
        let bounds = &self.shared.settings.bounds;
        let mut budgets = self.budgets.borrow_mut();
        let new = || AttemptBudget::new(bounds.retry_ratio, bounds.retry_window);
        f(budgets.entry(service.clone()).or_insert_with(new))
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
    pub running: RunningRequest,
    /// The caller's head.
    pub head: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When its head had been read.
    pub began: Instant,
    /// When it is given up, as timers tell the time.
    pub until: Instant,
    /// The same, with time in which the machine is suspended.
    pub due: BootInstant,
    /// The service it goes to.
    pub service: ServiceId,
}

impl Job {
    /// Tells whether it asks for a generation.
    pub fn is_engine(&self) -> bool {
        self.facts.size.is_some()
    }

    /// Gets the time that is left for it.
    pub fn time_left(&self) -> Duration {
        self.due.remaining().min(self.until.saturating_duration_since(Instant::now()))
    }

    /// Tells whether its time is up.
    pub fn is_over(&self) -> bool {
        self.time_left().is_zero()
    }

    /// Gets its draw of versions.
    pub fn version_draw(&self) -> SessionHash {
        SessionHash::new(self.facts.session.as_deref(), &self.id)
    }

    /// Names the shared part of its prompt, as read for a model.
    pub fn part(&self, model: Option<&ModelId>) -> Option<PrefixKey> {
        let prefix = self.facts.shared_prefix.as_deref()?;
        Some(PrefixKey::new(prefix, model))
    }

    /// Gets the work that an endpoint without the request's shared prefix does in addition.
    pub fn reread(&self, weight: f64) -> u64 {
        let shared = self.facts.shared_tokens.unwrap_or(Tokens(0));
        let work = request_work(shared, Tokens(0)) as f64 * weight * REREAD_TIMES;
        (work as u64).max(1)
    }

    /// Gets the time within which an answer earns its full credit.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.admitted.route.objective.0)
    }

    /// Gets the work the request counts as at an endpoint; `weight` is the model's.
    pub fn work(&self, weight: f64, has_prefix: bool) -> u64 {
        let kept = self.facts.shared_tokens.filter(|_| has_prefix).unwrap_or(Tokens(0));
        let full = match &self.facts.size {
            Some(size) => {
                request_work(Tokens(size.prompt_tokens.0.saturating_sub(kept.0)), Tokens(0))
            }
            None => PLAIN_WORK,
        };
        ((full as f64 * weight) as u64).max(1)
    }

    /// Gets the work that is left once the prompt has been read.
    pub fn work_left(&self, weight: f64) -> u64 {
        let of_size = self.facts.size.as_ref();
        of_size.map_or(0, |s| (s.estimated_generated_tokens() * GENERATED_PART * weight) as u64)
    }
}

/// An endpoint that was chosen for an attempt.
#[derive(Clone)]
pub struct Chosen {
    /// Its id.
    pub id: EndpointId,
    /// Its address.
    pub address: String,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Its load and health.
    pub live: Arc<EndpointState>,
    /// Where the request's shared part is.
    pub prefix: PrefixAt,
    /// The version under roll-out, if the endpoint runs it.
    pub new_version: Option<VersionName>,
    /// Whether it is given more of the new version's sample than its part.
    pub is_loaded: bool,
}

/// Where a request's shared part is when its endpoint has been chosen, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PrefixAt {
    /// The request has none.
    None,
    /// The endpoint keeps it.
    Kept,
    /// The endpoint fetches it from another one, at this address.
    Fetched(String),
    /// Another endpoint of the domain keeps it, but has more to do.
    Moved,
    /// Only endpoints of other domains keep it.
    Far,
    /// No endpoint is known to keep it.
    Unknown,
}

impl PrefixAt {
    /// Tells whether the endpoint needs not read it.
    pub fn is_at_hand(&self) -> bool {
        matches!(self, PrefixAt::Kept | PrefixAt::Fetched(_))
    }

    /// Gets the word for it in logs and metrics.
    pub fn as_str(&self) -> &'static str {
        match self {
            PrefixAt::None => "-",
            PrefixAt::Kept => "kept",
            PrefixAt::Fetched(_) => "fetched",
            PrefixAt::Moved => "moved",
            PrefixAt::Far => "far",
            PrefixAt::Unknown => "unknown",
        }
    }

    /// Gets the address that it is fetched from.
    pub fn source(&self) -> Option<&str> {
        match self {
            PrefixAt::Fetched(address) => Some(address),
            _ => None,
        }
    }
}

impl fmt::Display for PrefixAt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Work handed to an endpoint, until dropped.
pub struct WorkShare {
    live: Arc<EndpointState>,
    work: u64,
    work_left: u64,
}

impl WorkShare {
    /// Counts a job's work at an endpoint.
    pub fn new(chosen: &Chosen, job: &Job, weight: f64) -> WorkShare {
        let work = job.work(weight, chosen.prefix.is_at_hand());
        chosen.live.begin_work(work);
        WorkShare { live: chosen.live.clone(), work, work_left: job.work_left(weight) }
    }

    /// Takes note that the endpoint has begun to answer: the prompt is read.
    pub fn answer_began(&mut self) {
        self.live.begin_work(self.work_left);
        self.live.end_work(self.work);
        self.work = self.work_left;
    }
}

impl Drop for WorkShare {
    fn drop(&mut self) {
        self.live.end_work(self.work);
    }
}

/// A silent endpoint that is listened to while another one is asked to go on in its place.
pub struct Held {
    id: EndpointId,
    is_heard: Cell<bool>,
    /// Whether the attempt under way has no connection yet.
    is_connecting: Cell<bool>,
    /// Since when another endpoint may work on the answer too.
    shared_since: Cell<Option<Instant>>,
    began_to_share: Notify,
}

impl Held {
    /// Listens to an endpoint.
    pub fn new(id: EndpointId) -> Held {
        Held {
            id,
            is_heard: Cell::new(true),
            is_connecting: Cell::new(false),
            shared_since: Cell::new(None),
            began_to_share: Notify::new(),
        }
    }

    /// Takes note that it is not listened to any more.
    pub fn let_go(&self) {
        self.is_heard.set(false);
    }

    /// Tells whether it is still listened to.
    pub fn is_heard(&self) -> bool {
        self.is_heard.get()
    }

    /// Takes note that a connection to another endpoint is sought.
    pub fn connects(&self) {
        self.is_connecting.set(true);
    }

    /// Tells whether the attempt under way has no connection yet.
    pub fn is_connecting(&self) -> bool {
        self.is_connecting.get()
    }

    /// Takes note that the request is about to be written to another endpoint.
    pub fn writes(&self) {
        self.is_connecting.set(false);
        if self.shared_since.get().is_none() {
            self.shared_since.set(Some(Instant::now()));
            self.began_to_share.notify_one();
        }
    }

    /// Takes note that the other endpoint has ended its work.
    pub fn other_failed(&self) {
        self.shared_since.set(None);
    }

    /// Waits until another endpoint may have worked on the answer for so long too.
    pub async fn shared_for(&self, time: Duration) {
        loop {
            let Some(since) = self.shared_since.get() else {
                self.began_to_share.notified().await;
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
pub struct Tries {
    /// Endpoints that were tried.
    pub tried: Vec<EndpointId>,
    /// Endpoints that the request was sent to.
    pub sent: u32,
    /// When the last attempt began.
    pub sent_at: Millis,
    /// Attempts that reached no endpoint, of the present search for one.
    pub unreached: u32,
    /// Endpoints that were not reached.
    pub not_reached: Vec<EndpointId>,
    /// Whether the request has run, as far as is known.
    pub ran: Option<Executed>,
    /// Whether the next send was taken from the budget already: what is at hand is given up only once
    /// the next send is sure to be allowed.
    pub is_paid: bool,
    /// The endpoint in whose place another one is asked to go on.
    pub held: Option<Rc<Held>>,
}

impl Tries {
    /// Gets which endpoints the next attempt avoids, in the order of preference: where all were tried,
    /// all but the last are tried again, first those that were reached. One that is still listened to is
    /// avoided always.
    pub fn avoided(&self) -> [Vec<EndpointId>; 3] {
        let tried = self.tried.as_slice();
        let last = &tried[tried.len().saturating_sub(1)..];
        let not_reached = [self.not_reached.as_slice(), last].concat();
        let held = self.held.as_ref().filter(|held| held.is_heard());
        [tried, &not_reached, last].map(|avoided| {
            let mut avoided = avoided.to_vec();
            avoided.extend(held.map(|h| &h.id).filter(|id| !avoided.contains(id)).cloned());
            avoided
        })
    }

    /// Takes note of whether an attempt ran.
    pub fn note_ran(&mut self, ran: Executed) {
        let worst = match (self.ran, ran) {
            (Some(Executed::Yes), _) | (_, Executed::Yes) => Executed::Yes,
            (Some(Executed::Unknown), _) | (_, Executed::Unknown) => Executed::Unknown,
            _ => Executed::No,
        };
        self.ran = Some(worst);
    }
}
