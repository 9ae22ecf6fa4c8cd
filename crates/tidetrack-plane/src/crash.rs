//! Whether an attempt was cut by the end of its endpoint.
//!
//! A connection that breaks says little: it may have been reset on its way, or closed by an endpoint that goes on.
//! A new connection tells. Where nobody listens any more, the endpoint has ended; otherwise the connection that
//! came up is kept for the next request. A process that ends may still listen for a moment after its connections
//! have been closed, so one that came up is looked at once more a little later; nobody waits for that.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::{oneshot, OnceCell};

use tidetrack_core::codes::Executed;
use tidetrack_core::disconnect::DisconnectCause;
use tidetrack_core::errors::Error;
use tidetrack_core::events::Event;
use tidetrack_core::ids::EndpointId;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::traffic::fingerprint::Fingerprint;
use tidetrack_core::units::Millis;

use crate::job::{Chosen, Job, Traffic};

/// Longest wait for the outcome of a new connection. Nobody answers in less than a way and back; an endpoint that
/// gives no sign is not known to have ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Pause before the second look at an endpoint that took the new connection.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(30);

/// How long the outcome counts for other attempts that were cut at the same endpoint.
const PROBE_RESULT_TTL: Duration = Duration::from_millis(500);

/// A look whether an endpoint has ended.
struct EndpointProbe {
    started_at: Instant,
    /// Whether nobody listened at once, and whether nobody did a little later.
    first_result: OnceCell<bool>,
    second_result: OnceCell<bool>,
    /// When its end was known.
    end_detected_at: Cell<Option<Instant>>,
}

/// Looks at endpoints whose connections broke, one at a time for each.
#[derive(Default)]
pub struct EndpointProbes(RefCell<HashMap<EndpointId, Rc<EndpointProbe>>>);

impl EndpointProbes {
    /// Gets the look at an endpoint that is under way or not long over, or begins one.
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

/// An attempt that was cut.
struct InterruptedAttempt {
    request: String,
    fingerprint: Fingerprint,
    chosen: Chosen,
    sent_at: Instant,
}

/// Finds out whether an attempt that failed was cut by its endpoint's end, and takes note of that. Waits for the
/// first look only; the rest goes on by itself, also where the caller leaves.
pub async fn detect_crash(
    traffic: &Rc<Traffic>,
    job: &Job,
    chosen: &Chosen,
    e: &Error,
    sent_at: Instant,
) {
    let is_interrupted =
        matches!(e.disconnect_cause, Some(DisconnectCause::Closed | DisconnectCause::Reset));
    if !is_interrupted || e.executed == Executed::No {
        return;
    }
    let probe = traffic.looks.get_or_start(&chosen.id);
    // What was sent to an endpoint that had ended already was not run there.
    if probe.end_detected_at.get().is_some_and(|at| sent_at >= at) {
        return;
    }
    let (request, fingerprint) = (job.id.clone(), job.fingerprint);
    let attempt = InterruptedAttempt { request, fingerprint, chosen: chosen.clone(), sent_at };
    let (tx, rx) = oneshot::channel();
    tokio::task::spawn_local(attempt.probe(traffic.clone(), probe, tx));
    // The other end is dropped without a word.
    let _ = rx.await;
}

impl InterruptedAttempt {
    /// Looks at the endpoint; `first_done` is dropped once the first look is over and noted.
    async fn probe(
        self,
        traffic: Rc<Traffic>,
        probe: Rc<EndpointProbe>,
        first_done: oneshot::Sender<()>,
    ) {
        let has_ended = |max_idle| refuses_connections(&traffic, &self.chosen, max_idle);
        let mut is_ended = *probe.first_result.get_or_init(|| has_ended(Duration::ZERO)).await;
        if !is_ended {
            drop(first_done);
            tokio::time::sleep(SECOND_PROBE_DELAY).await;
            is_ended = *probe.second_result.get_or_init(|| has_ended(Duration::MAX)).await;
        }
        traffic.shared.metrics.cut(is_ended);
        if is_ended {
            probe.end_detected_at.set(probe.end_detected_at.get().or_else(|| Some(Instant::now())));
            self.record_crash(&traffic);
        }
    }

    /// Takes note of the endpoint's end.
    fn record_crash(&self, traffic: &Traffic) {
        let shared = &traffic.shared;
        let now = shared.now();
        let Chosen { id, failure_domain, live, .. } = &self.chosen;
        live.record_unreachable(now);
        let sent_at = Millis(now.0.saturating_sub(self.sent_at.elapsed().as_millis() as u64));
        let crashes =
            shared.suspects.record_crash(now, self.fingerprint, id, failure_domain, sent_at);
        // Other hosts are told within a tenth of a second.
        shared.tell(Input::Tick);
        shared.journal.line(
            Event::EndpointCrashed,
            &[
                ("request", &self.request),
                ("fingerprint", &self.fingerprint),
                ("endpoint", id),
                ("domain", failure_domain),
                ("crashes", &crashes),
            ],
        );
    }
}

/// Tells whether nobody listens at an endpoint's address any more. A connection to it that is kept and rested no longer
/// than `max_idle` tells that somebody does.
async fn refuses_connections(traffic: &Traffic, chosen: &Chosen, max_idle: Duration) -> bool {
    let connect = traffic.pool.prepare(chosen.id.as_str(), &chosen.address, max_idle);
    match tokio::time::timeout(PROBE_TIMEOUT, connect).await {
        Ok(Err(e)) => e.disconnect_cause == Some(DisconnectCause::Refused),
        Ok(Ok(())) | Err(_) => false,
    }
}
