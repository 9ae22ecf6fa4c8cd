//! Detects whether an attempt was interrupted because its endpoint crashed.
//!
//! A lost connection alone does not show this: it may have been reset on the network path, or
//! closed by an endpoint that keeps running. A new connection does: if it is refused, and the lost
//! one was closed regularly or another endpoint responds, the endpoint's process has ended.
//! Otherwise the established connection is kept for the next request. A process that is ending may
//! still accept connections for a moment after its own were closed, so an endpoint that accepted is
//! probed once more a little later. Only a request that was interrupted before waits for the second
//! probe: it may be the cause, and would run at the next endpoint already when the crash is
//! detected.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{oneshot, OnceCell};

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::disconnect::DisconnectCause;
use tidetrack_core::errors::Error;
use tidetrack_core::events::Event;
use tidetrack_core::ids::{EndpointId, ServiceId};
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::fingerprint::RequestFingerprints;
use tidetrack_core::units::Millis;

use crate::job::{ChosenEndpoint, Job, Traffic};
use crate::pool::Pool;

/// Maximum time to wait for the result of a new connection. A result takes at least one round trip;
/// an endpoint that does not respond is not known to have ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay before the second probe of an endpoint that accepted the new connection.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(30);

/// How long the result of a probe is used for other attempts that were interrupted at the same
/// endpoint.
const PROBE_RESULT_TTL: Duration = Duration::from_millis(500);

/// Interval at which an attempt that waits for crash reports checks whether it may start earlier.
const CLEARANCE_POLL_INTERVAL: Duration = Duration::from_millis(30);

/// A check whether an endpoint has ended.
struct EndpointProbe {
    started_at: Instant,
    /// Whether the endpoint had ended at the first probe.
    first_result: OnceCell<bool>,
    /// Whether the endpoint had ended at the second probe.
    second_result: OnceCell<bool>,
    /// When the end of the endpoint was detected; `None` if it was not.
    end_detected_at: Cell<Option<Instant>>,
}

/// Probes of endpoints whose connections were lost, at most one at a time for each endpoint.
#[derive(Default)]
pub struct EndpointProbes(RefCell<HashMap<EndpointId, Rc<EndpointProbe>>>);

impl EndpointProbes {
    /// Returns the probe of an endpoint that is running or recent, or starts one.
    fn get_or_start(&self, endpoint: &EndpointId) -> Rc<EndpointProbe> {
        let mut probes = self.0.borrow_mut();
        probes.retain(|_, probe| probe.started_at.elapsed() < PROBE_RESULT_TTL);
        let new_probe = || EndpointProbe {
            started_at: Instant::now(),
            first_result: OnceCell::new(),
            second_result: OnceCell::new(),
            end_detected_at: Cell::new(None),
        };
        probes.entry(endpoint.clone()).or_insert_with(|| Rc::new(new_probe())).clone()
    }
}

/// An attempt whose connection was lost.
struct InterruptedAttempt {
    request: String,
    service: ServiceId,
    fingerprints: RequestFingerprints,
    /// The parts of the request's prompt, for the log.
    parts: String,
    chosen: ChosenEndpoint,
    sent_at: Instant,
    interrupted_at: Millis,
    /// Whether the connection ended regularly, as the operating system of a crashed process ends it.
    /// The end of a network path does not.
    is_regular_end: bool,
}

/// Checks whether a failed attempt was interrupted by the end of its endpoint, and records a crash
/// if so. Waits for the first probe, and for the second one if the request was interrupted before;
/// the rest continues in a task, even if the caller disconnects.
pub async fn detect_crash(
    traffic: &Rc<Traffic>,
    job: &Job,
    chosen: &ChosenEndpoint,
    e: &Error,
    sent_at: Instant,
) {
    let is_interrupted =
        matches!(e.disconnect_cause, Some(DisconnectCause::Closed | DisconnectCause::Reset));
    if !is_interrupted || e.executed == Executed::No || chosen.forwarded_to.is_some() {
        return;
    }
    let probe = traffic.crash_checks.get_or_start(&chosen.id);
    // A request that was sent after the endpoint had ended was not executed there.
    if probe.end_detected_at.get().is_some_and(|at| sent_at >= at) {
        return;
    }
    let (request, fingerprints) = (job.id.clone(), job.fingerprints.clone());
    let interrupted_at = traffic.shared.now();
    let attempt = InterruptedAttempt {
        request,
        service: job.service.clone(),
        fingerprints,
        parts: job.facts.logged_parts(),
        chosen: chosen.clone(),
        sent_at,
        interrupted_at,
        is_regular_end: e.disconnect_cause == Some(DisconnectCause::Closed),
    };
    let (tx, rx) = oneshot::channel();
    let waits_for_both = job.was_interrupted.replace(true);
    tokio::task::spawn_local(attempt.probe(traffic.clone(), probe, waits_for_both, tx));
    // The sender is dropped without a value when the probes to wait for are done.
    let _ = tokio::time::timeout_at(job.deadline.into(), rx).await;
}

/// Reports whether an endpoint has ended just now. Asked when a response ends with its connection, which
/// looks the same whether the response is complete or its endpoint crashed. Leaves a connection in the pool
/// otherwise.
pub async fn has_endpoint_ended(pool: &Pool, endpoint: &str, address: &str) -> bool {
    if refuses_connections(pool, endpoint, address, Duration::ZERO).await {
        return true;
    }
    tokio::time::sleep(SECOND_PROBE_DELAY).await;
    refuses_connections(pool, endpoint, address, Duration::MAX).await
}

/// Returns the error of a response that ended with its connection when its endpoint ended.
pub fn ended_endpoint_error() -> Error {
    Error::new(
        Code::EndpointFailed,
        "the endpoint ended before the end of its response was certain",
    )
    .with_executed(Executed::Unknown)
    .with_disconnect_cause(DisconnectCause::Closed)
}

/// Waits before an attempt of a request that several endpoints crashed on, until other hosts know of
/// the last crash or its parts are cleared. Returns at once for all other requests.
pub async fn wait_for_crash_reports(traffic: &Traffic, job: &Job) {
    let shared = &traffic.shared;
    let delay = || shared.suspects.attempt_delay(shared.now(), &job.fingerprints);
    // Crashes of other requests with the same parts may extend the delay meanwhile.
    let end = Instant::now() + Duration::from_millis(delay().0).min(job.time_left());
    while delay() > Millis(0) && Instant::now() < end {
        let left = end.saturating_duration_since(Instant::now());
        tokio::time::sleep(left.min(CLEARANCE_POLL_INTERVAL)).await;
    }
}

impl InterruptedAttempt {
    /// Probes the endpoint. `done` is dropped once the first probe, or both if `waits_for_both`, are
    /// finished and a crash that they detected is recorded.
    async fn probe(
        self,
        traffic: Rc<Traffic>,
        probe: Rc<EndpointProbe>,
        waits_for_both: bool,
        done: oneshot::Sender<()>,
    ) {
        let mut done = Some(done);
        let ChosenEndpoint { id, address, .. } = &self.chosen;
        let has_ended =
            |max_idle| refuses_connections(&traffic.pool, id.as_str(), address, max_idle);
        let mut is_ended = *probe.first_result.get_or_init(|| has_ended(Duration::ZERO)).await;
        if !is_ended {
            if !waits_for_both {
                done = None;
            }
            tokio::time::sleep(SECOND_PROBE_DELAY).await;
            is_ended = *probe.second_result.get_or_init(|| has_ended(Duration::MAX)).await;
        }
        if is_ended && !self.is_regular_end {
            // A broken network path refuses connections as well.
            let monitor = &traffic.paths;
            is_ended =
                monitor.confirm_end(&traffic, &self.service, &self.chosen.id, self.sent_at).await;
        }
        traffic.shared.metrics.record_interrupted_attempt(is_ended);
        if is_ended {
            probe.end_detected_at.set(probe.end_detected_at.get().or_else(|| Some(Instant::now())));
            self.record_crash(&traffic);
        }
        drop(done);
    }

    /// Records that the endpoint crashed.
    fn record_crash(&self, traffic: &Traffic) {
        let shared = &traffic.shared;
        let now = shared.now();
        let ChosenEndpoint { id, failure_domain, state, .. } = &self.chosen;
        state.record_unreachable(now);
        let sent_at = Millis(now.0.saturating_sub(self.sent_at.elapsed().as_millis() as u64));
        // The crash is dated back to the interruption. At the time of its detection, the next
        // attempt may have been sent already, so that the two crashes would appear to overlap and
        // count as one.
        let crashed_at = self.interrupted_at;
        let crashes = shared.suspects.record_crash(
            crashed_at,
            &self.fingerprints,
            id,
            failure_domain,
            sent_at,
        );
        // Makes the control thread report the crash to other hosts, within 100 ms.
        shared.send_input(Input::Tick);
        shared.journal.log(
            Event::EndpointCrashed,
            &[
                ("request", &self.request),
                ("fingerprint", &self.fingerprints.request()),
                ("parts", &self.parts),
                ("part_hashes", &self.fingerprints.part_hashes()),
                ("endpoint", id),
                ("domain", failure_domain),
                ("crashes", &crashes),
            ],
        );
    }
}

/// Reports whether an endpoint's address refuses connections. A pooled connection that was idle for at most
/// `max_idle` counts as accepted.
async fn refuses_connections(
    pool: &Pool,
    endpoint: &str,
    address: &str,
    max_idle: Duration,
) -> bool {
    let connect = pool.ensure_idle_connection(endpoint, address, max_idle);
    match tokio::time::timeout(PROBE_TIMEOUT, connect).await {
        Ok(Err(e)) => e.disconnect_cause == Some(DisconnectCause::Refused),
        Ok(Ok(())) | Err(_) => false,
    }
}
