//! What the threads of one router share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use flume::Sender;
use slog::Logger;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::evidence::VersionCounts;
use tidetrack_core::ids::{Incarnation, RequestId, VersionRef};
use tidetrack_core::limits::Limits;
use tidetrack_core::retry::RetryBudget;
use tidetrack_core::tickets::TicketRegistry;
use tidetrack_core::traffic::suspects::Suspects;
use tidetrack_core::units::Millis;
use tidetrack_core::view::{ConfigConfirmation, Freshness, View};
pub use tidetrack_plane::clock::Clock;
use tidetrack_wire::platform::PlatformClient;

use crate::billing::Billing;
use crate::control::ControlMsg;
use crate::logging;
use crate::metrics::Metrics;
use crate::rating::RateJob;
use crate::settings::Settings;
use crate::timers::Timers;

/// A gap between two ticks of the control thread that shows that the process was paused.
const MIN_PAUSE: Millis = Millis(1_000);

/// A configuration confirmed since a pause counts if it is no older than this: the time within which
/// a change is in force everywhere.
const MAX_CONFIRMATION_AGE: Millis = Millis(4_000);

/// How long traffic waits after a pause for the configuration to be confirmed.
const CONFIRMATION_TIMEOUT: Millis = Millis(2_000);

/// What traffic asks before work leaves the host.
#[derive(Debug, Default)]
pub struct AdmissionState {
    ticked_at: AtomicU64,
    confirmed_at: AtomicU64,
    /// When the question was asked whose answer gave `confirmed_at`, or a later one.
    requested_at: AtomicU64,
    /// When the last pause of the process was noticed; 0 if there was none.
    paused_at: AtomicU64,
    is_ready: AtomicBool,
    is_draining: AtomicBool,
    is_watcher: AtomicBool,
    needs_poll: AtomicBool,
    is_alone: AtomicBool,
    complete_to: AtomicU64,
}

/// What the thread that talks with the platform should do, as the control thread sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPlan {
    /// Keep a watch.
    pub is_watcher: bool,
    /// Read once now.
    pub needs_poll: bool,
    /// No other host is known.
    pub is_alone: bool,
    /// What is there already.
    pub complete_to: u64,
}

impl ReadPlan {
    /// Tells whether a read waits for a change; one that is wanted now does not.
    pub fn is_long_poll(&self) -> bool {
        self.is_watcher && !self.needs_poll
    }
}

impl AdmissionState {
    /// Takes note of a tick of the control thread.
    pub fn tick(&self, now: Millis, confirmation: Option<ConfigConfirmation>, is_ready: bool) {
        let last_tick = self.ticked_at.load(Ordering::Acquire);
        let confirmation = confirmation.unwrap_or_default();
        self.confirmed_at.store(confirmation.confirmed_at.0, Ordering::Release);
        self.requested_at.store(confirmation.requested_at.0, Ordering::Release);
        if last_tick > 0 && now - Millis(last_tick) >= MIN_PAUSE {
            self.paused_at.store(now.0, Ordering::Release);
        }
        // Traffic looks at this first: it must not seem ticked before the pause is noted.
        self.ticked_at.store(now.0, Ordering::Release);
        self.is_ready.store(is_ready, Ordering::Release);
    }

    /// Sets what the thread that talks with the platform should do.
    pub fn set_read_plan(&self, read_plan: ReadPlan) {
        self.is_watcher.store(read_plan.is_watcher, Ordering::Release);
        self.needs_poll.store(read_plan.needs_poll, Ordering::Release);
        self.is_alone.store(read_plan.is_alone, Ordering::Release);
        self.complete_to.store(read_plan.complete_to, Ordering::Release);
    }

    /// Gets what the thread that talks with the platform should do.
    pub fn read_plan(&self) -> ReadPlan {
        ReadPlan {
            is_watcher: self.is_watcher.load(Ordering::Acquire),
            needs_poll: self.needs_poll.load(Ordering::Acquire),
            is_alone: self.is_alone.load(Ordering::Acquire),
            complete_to: self.complete_to.load(Ordering::Acquire),
        }
    }

    /// Gets how old the configuration may be.
    pub fn freshness(&self, now: Millis) -> Freshness {
        Freshness { age: now - Millis(self.confirmed_at.load(Ordering::Acquire)) }
    }

    /// Tells whether the process was paused and has not confirmed its configuration since.
    pub fn is_unconfirmed(&self, now: Millis) -> bool {
        let ticked_at = Millis(self.ticked_at.load(Ordering::Acquire));
        let confirmed_at = Millis(self.confirmed_at.load(Ordering::Acquire));
        let paused_at = self.paused_at.load(Ordering::Acquire);
        // An answer that waited in a socket through the pause says nothing of the time since it was given.
        let is_requested_since_pause = self.requested_at.load(Ordering::Acquire) >= paused_at;
        let is_confirmed = is_requested_since_pause && now - confirmed_at <= MAX_CONFIRMATION_AGE;
        // In an outage no confirmation comes: what is declared for a stale host holds from then on.
        let was_recently_paused = paused_at > 0 && now - Millis(paused_at) < CONFIRMATION_TIMEOUT;
        now - ticked_at >= MIN_PAUSE || (was_recently_paused && !is_confirmed)
    }

    /// Tells whether requests may be taken at all.
    pub fn check(&self) -> Result<()> {
        if self.is_draining.load(Ordering::Acquire) {
            let message = "the host is leaving; ask another";
            return Err(Error::new(Code::Draining, message).with_retry_after(0));
        }
        match self.is_ready.load(Ordering::Acquire) {
            true => Ok(()),
            false => {
                let message = "the host has no configuration yet";
                Err(Error::new(Code::NotReady, message).with_retry_after(1_000))
            }
        }
    }

    /// Refuses new requests from now on.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
    }
}

/// What the threads of one router share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// This life of the host.
    pub incarnation: Incarnation,
    /// The clock.
    pub clock: Clock,
    /// The configuration, compiled.
    pub view: ArcSwap<View>,
    /// What traffic asks before work leaves.
    pub admission: AdmissionState,
    /// Whether a planned stop is under way; readiness says no from then on.
    pub is_leaving: AtomicBool,
    /// Shares of the workspaces' limits.
    pub limits: Arc<Mutex<Limits>>,
    /// Requests under which endpoints crashed.
    pub suspects: Arc<Suspects>,
    /// This incarnation's tickets.
    pub tickets: Mutex<TicketRegistry>,
    /// The budget of retries.
    pub retry_budget: Mutex<RetryBudget>,
    /// The control thread.
    pub control: Sender<ControlMsg>,
    /// The keeper of the bills.
    pub billing: Billing,
    /// The raters.
    pub rating_jobs: Sender<RateJob>,
    /// The timer service.
    pub timers: Timers,
    /// The platform.
    pub platform: PlatformClient,
    /// Metrics.
    pub metrics: Metrics,
    /// The log.
    pub logger: Logger,
    /// Requests taken so far.
    pub request_count: AtomicU64,
    /// Requests in flight.
    pub in_flight: AtomicU64,
    /// Requests whose body is being read.
    pub body_reads: AtomicU64,
}

impl Shared {
    /// Gets the time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Writes a log line.
    pub fn log(&self, event: Event, detail: &str) {
        logging::log(&self.logger, event, detail);
    }

    /// Makes a request's id.
    pub fn next_id(&self) -> RequestId {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId { incarnation: self.incarnation.clone(), number }
    }

    /// Locks the limits.
    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().expect("no holder of the lock panics")
    }

    /// Locks the tickets.
    pub fn tickets(&self) -> MutexGuard<'_, TicketRegistry> {
        self.tickets.lock().expect("no holder of the lock panics")
    }

    /// Counts what was seen of a version.
    pub fn record_counts(
        &self,
        version: &VersionRef,
        generation: u64,
        is_canary: bool,
        counts: VersionCounts,
    ) {
        let version = version.clone();
        // The control thread is gone only when the process ends.
        let _ =
            self.control.send(ControlMsg::RecordCounts { version, generation, is_canary, counts });
    }

    /// Waits, after a pause of the process, until the configuration is confirmed or a while has
    /// passed; gets how old it may be.
    pub fn wait_for_confirmation(&self) -> Freshness {
        let deadline = self.now() + CONFIRMATION_TIMEOUT;
        while self.admission.is_unconfirmed(self.now()) && self.now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.admission.freshness(self.now())
    }
}
