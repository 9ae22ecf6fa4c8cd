//! Whether an attempt was cut by the end of its endpoint.
//!
//! A connection that breaks says little: it may have been reset on its way, or closed by an endpoint that goes on.
//! A new connection tells. Where nobody listens any more, the endpoint has ended; otherwise the connection that
//! came up is kept for the next request.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::OnceCell;

use tidetrack_core::broke::Broke;
use tidetrack_core::codes::Ran;
use tidetrack_core::errors::Error;
use tidetrack_core::events::Event;
use tidetrack_core::ids::EndpointId;
use tidetrack_core::traffic::control::Input;
use tidetrack_core::units::Millis;

use crate::job::{Chosen, Job, Traffic};

/// Longest wait for the outcome of a new connection. Nobody answers in less than a way and back; an endpoint that
/// gives no sign is not known to have ended.
const LOOK_WITHIN: Duration = Duration::from_millis(150);

/// How long the outcome counts for other attempts that were cut at the same endpoint.
const LOOK_KEPT: Duration = Duration::from_millis(500);

/// A look whether an endpoint has ended.
struct Look {
    began: Instant,
    has_ended: OnceCell<bool>,
    /// When that was known.
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
            has_ended: OnceCell::new(),
            known_at: Cell::new(None),
        };
        looks.entry(endpoint.clone()).or_insert_with(|| Rc::new(new())).clone()
    }
}

/// Finds out whether an attempt that failed was cut by its endpoint's end, and takes note of that.
pub async fn note_crash(
    traffic: &Traffic,
    job: &Job,
    chosen: &Chosen,
    e: &Error,
    sent_at: Instant,
) {
    let is_cut = matches!(e.broke, Some(Broke::Closed | Broke::Reset));
    if !is_cut || e.ran == Ran::No {
        return;
    }
    let look = traffic.looks.at(&chosen.id);
    // What was sent to an endpoint that had ended already was not run there.
    if look.known_at.get().is_some_and(|at| sent_at >= at) {
        return;
    }
    let has_ended = *look.has_ended.get_or_init(|| has_ended(traffic, chosen)).await;
    look.known_at.set(look.known_at.get().or_else(|| Some(Instant::now())));
    traffic.shared.metrics.cut(has_ended);
    if !has_ended {
        return;
    }
    let now = traffic.shared.now();
    chosen.live.note_unreachable(now);
    let (endpoint, domain) = (&chosen.id, &chosen.failure_domain);
    let sent = Millis(now.0.saturating_sub(sent_at.elapsed().as_millis() as u64));
    let crashes = traffic.shared.suspects.crashed(now, job.fingerprint, endpoint, domain, sent);
    // Other hosts are told within a tenth of a second.
    traffic.shared.tell(Input::Tick);
    traffic.shared.journal.line(
        Event::EndpointCrashed,
        &[
            ("request", &job.id),
            ("fingerprint", &job.fingerprint),
            ("endpoint", endpoint),
            ("domain", domain),
            ("crashes", &crashes),
        ],
    );
}

/// Tells whether nobody listens at an endpoint's address any more.
async fn has_ended(traffic: &Traffic, chosen: &Chosen) -> bool {
    let opened = traffic.pool.prepare(chosen.id.as_str(), &chosen.address, Duration::ZERO);
    match tokio::time::timeout(LOOK_WITHIN, opened).await {
        Ok(Err(e)) => e.broke == Some(Broke::Refused),
        Ok(Ok(())) | Err(_) => false,
    }
}
