//! The work of attempts in progress, as the load of their endpoints and in the windows of those that fall over from
//! refusing requests.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Instant;

use tidetrack_core::placement::{EndpointState, RefusalWindow, WindowTicket};
use tidetrack_core::units::Millis;

use crate::job::{ChosenEndpoint, Job, Traffic};
use crate::shared::SharedRef;

/// Guard that counts an attempt and its work in the load of its endpoint until it is dropped.
pub struct PendingWork {
    state: Arc<EndpointState>,
    started_at: Instant,
    work: u64,
    generation_work: u64,
    /// Ticket in the endpoint's window, if the access to the endpoint is restricted.
    ticket: Option<WindowTicket>,
    is_accepted: Cell<bool>,
    shared: SharedRef,
}

impl PendingWork {
    /// Adds the work of a request to the load of an endpoint. `weight` is the weight of the model.
    pub fn new(traffic: &Traffic, chosen: &ChosenEndpoint, job: &Job, weight: f64) -> PendingWork {
        let work = job.work(weight, chosen.prefix.is_available());
        chosen.state.begin_work(work);
        chosen.state.begin_request();
        PendingWork {
            state: chosen.state.clone(),
            started_at: Instant::now(),
            work,
            generation_work: job.generation_work(weight),
            ticket: chosen.state.guard().begin(),
            is_accepted: Cell::new(false),
            shared: traffic.shared.clone(),
        }
    }

    /// Records that the request is written to the endpoint.
    pub fn record_written(&self, now: Millis) {
        self.with_window(|window, _, ticket| window.record_written(now, ticket));
    }

    /// Records that the endpoint has responded to the request and has not refused it.
    pub fn record_accepted(&self, now: Millis) {
        self.is_accepted.set(true);
        self.with_window(|window, _, ticket| window.record_accepted(now, ticket));
    }

    /// Records that the request was not written, or that its connection has ended.
    pub fn record_closed(&self) {
        self.with_window(|window, _, ticket| window.record_closed(ticket));
    }

    /// Records that the endpoint has refused the request.
    pub fn record_refused(&self, now: Millis) {
        self.with_window(|window, share, ticket| window.record_refused(now, share, ticket));
    }

    fn with_window(&self, f: impl FnOnce(&mut RefusalWindow, u32, WindowTicket)) {
        if let Some(ticket) = self.ticket {
            self.state.guard().with_window(|window, share| f(window, share, ticket));
        }
    }

    /// Replaces the work by the generation work, since the start of the response shows that the prompt has
    /// been read.
    pub fn record_response_start(&mut self) {
        self.state.begin_work(self.generation_work);
        self.state.end_work(self.work);
        self.work = self.generation_work;
    }
}

impl Drop for PendingWork {
    fn drop(&mut self) {
        self.state.end_work(self.work);
        self.state.end_request();
        let took = Millis(self.started_at.elapsed().as_millis() as u64);
        let took = Some(took).filter(|_| self.is_accepted.get());
        let now = self.shared.now();
        self.with_window(|window, _, ticket| window.end(now, ticket, took));
    }
}
