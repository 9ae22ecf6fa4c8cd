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
const LOOK_WITHIN: Duration = Duration::from_millis(150);

/// Pause before the second look at an endpoint that took the new connection.
const LOOK_AGAIN_AFTER: Duration = Duration::from_millis(30);

/// How long the outcome counts for other attempts that were cut at the same endpoint.
const LOOK_KEPT: Duration = Duration::from_millis(500);

/// A look whether an endpoint has ended.
struct Look {
    began: Instant,
    /// Whether nobody listened at once, and whether nobody did a little later.
    at_once: OnceCell<bool>,
    later: OnceCell<bool>,
    /// When its end was known.
    known_at: Cell<Option<Instant>>,
}

/// Looks at endpoints whose connections broke, one at a time for each.
#[derive(Default)]
pub struct Looks(RefCell<HashMap<EndpointId, Rc<Look>>>);

impl Looks {
    /// Gets the look at an endpoint that is under way or not long over, or begins one.
    fn at(&self, endpoint: &EndpointId) -> Rc<Look> {
        let mut looks = self.0.borrow_mut();
        looks.retain(|_, look| look.began.elapsed() < LOOK_KEPT);
        let new = || Look {
            began: Instant::now(),
            at_once: OnceCell::new(),
            later: OnceCell::new(),
            known_at: Cell::new(None),
        };
        looks.entry(endpoint.clone()).or_insert_with(|| Rc::new(new())).clone()
    }
}

/// An attempt that was cut.
struct Cut {
    request: String,
    fingerprint: Fingerprint,
    chosen: Chosen,
    sent_at: Instant,
}

/// Finds out whether an attempt that failed was cut by its endpoint's end, and takes note of that. Waits for the
/// first look only; the rest goes on by itself, also where the caller leaves.
pub async fn note_crash(
    traffic: &Rc<Traffic>,
    job: &Job,
    chosen: &Chosen,
    e: &Error,
    sent_at: Instant,
) {
    let is_cut =
        matches!(e.disconnect_cause, Some(DisconnectCause::Closed | DisconnectCause::Reset));
    if !is_cut || e.executed == Executed::No {
        return;
    }
    let look = traffic.looks.at(&chosen.id);
    // What was sent to an endpoint that had ended already was not run there.
    if look.known_at.get().is_some_and(|at| sent_at >= at) {
        return;
    }
    let (request, fingerprint) = (job.id.clone(), job.fingerprint);
    let cut = Cut { request, fingerprint, chosen: chosen.clone(), sent_at };
    let (tx, rx) = oneshot::channel();
    tokio::task::spawn_local(cut.look(traffic.clone(), look, tx));
    // The other end is dropped without a word.
    let _ = rx.await;
}

impl Cut {
    /// Looks at the endpoint; `first_look` is dropped once the first look is over and noted.
    async fn look(self, traffic: Rc<Traffic>, look: Rc<Look>, first_look: oneshot::Sender<()>) {
        let has_ended = |rest| has_ended(&traffic, &self.chosen, rest);
        let mut is_over = *look.at_once.get_or_init(|| has_ended(Duration::ZERO)).await;
        if !is_over {
            drop(first_look);
            tokio::time::sleep(LOOK_AGAIN_AFTER).await;
            is_over = *look.later.get_or_init(|| has_ended(Duration::MAX)).await;
        }
        traffic.shared.metrics.record_interrupted_attempt(is_over);
        if is_over {
            look.known_at.set(look.known_at.get().or_else(|| Some(Instant::now())));
            self.note(&traffic);
        }
    }

    /// Takes note of the endpoint's end.
    fn note(&self, traffic: &Traffic) {
        let shared = &traffic.shared;
        let now = shared.now();
        let Chosen { id, failure_domain, live, .. } = &self.chosen;
        live.record_unreachable(now);
        let sent_at = Millis(now.0.saturating_sub(self.sent_at.elapsed().as_millis() as u64));
        let crashes =
            shared.suspects.record_crash(now, self.fingerprint, id, failure_domain, sent_at);
        // Other hosts are told within a tenth of a second.
        shared.send_input(Input::Tick);
        shared.journal.log(
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
/// than `most_rest` tells that somebody does.
async fn has_ended(traffic: &Traffic, chosen: &Chosen, most_rest: Duration) -> bool {
    let opened = traffic.pool.prepare(chosen.id.as_str(), &chosen.address, most_rest);
    match tokio::time::timeout(LOOK_WITHIN, opened).await {
        Ok(Err(e)) => e.disconnect_cause == Some(DisconnectCause::Refused),
        Ok(Ok(())) | Err(_) => false,
    }
}
