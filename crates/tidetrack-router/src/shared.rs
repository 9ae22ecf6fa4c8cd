//! State shared by the threads of a router.

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
use crate::rating::RatingJob;
use crate::settings::Settings;
use crate::timers::Timers;

/// A gap of at least this length between two ticks of the control thread means that the process was
/// paused.
const MIN_PAUSE: Millis = Millis(1_000);

/// Maximum age of a confirmation that counts after a pause. It is the time within which a change
/// takes effect on every host.
const MAX_CONFIRMATION_AGE: Millis = Millis(4_000);

/// Maximum time that requests wait after a pause for the configuration to be confirmed.
const CONFIRMATION_TIMEOUT: Millis = Millis(2_000);

/// Decides whether requests are admitted and whether the configuration is recent enough to dispatch
/// them. Written by the control thread, read by the request threads and the threads that read the
/// object API.
#[derive(Debug, Default)]
pub struct AdmissionState {
    ticked_at: AtomicU64,
    confirmed_at: AtomicU64,
    /// Time of the request whose response set `confirmed_at`, or of a later request.
    requested_at: AtomicU64,
    /// Time at which the last pause of the process was detected; 0 if there was none.
    paused_at: AtomicU64,
    is_ready: AtomicBool,
    is_draining: AtomicBool,
    is_watcher: AtomicBool,
    needs_poll: AtomicBool,
    is_alone: AtomicBool,
    complete_to: AtomicU64,
}

/// What the threads that read the object API should do, set by the control thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadPlan {
    /// Watch the object API for this host's failure domain.
    pub is_watcher: bool,
    /// Read the configuration now, without waiting for a change.
    pub needs_poll: bool,
    /// No other live host is known.
    pub is_alone: bool,
    /// Revision up to which this host's configuration is complete; 0 before the first list.
    pub complete_to: u64,
}

impl ReadPlan {
    /// Reports whether a read waits at the object API for a change. A read that is needed now does
    /// not wait.
    pub fn is_long_poll(&self) -> bool {
        self.is_watcher && !self.needs_poll
    }
}

impl AdmissionState {
    /// Records a tick of the control thread with the latest confirmation of the configuration, and
    /// detects pauses of the process. `is_ready` reports whether a configuration was applied.
    pub fn tick(&self, now: Millis, confirmation: Option<ConfigConfirmation>, is_ready: bool) {
        let last_tick = self.ticked_at.load(Ordering::Acquire);
        let confirmation = confirmation.unwrap_or_default();
        self.confirmed_at.store(confirmation.confirmed_at.0, Ordering::Release);
        self.requested_at.store(confirmation.requested_at.0, Ordering::Release);
        if last_tick > 0 && now - Millis(last_tick) >= MIN_PAUSE {
            self.paused_at.store(now.0, Ordering::Release);
        }
        // `is_unconfirmed` reads `ticked_at` first, so the pause must be stored before the new
        // tick.
        self.ticked_at.store(now.0, Ordering::Release);
        self.is_ready.store(is_ready, Ordering::Release);
    }

    /// Sets what the threads that read the object API should do.
    pub fn set_read_plan(&self, read_plan: ReadPlan) {
        self.is_watcher.store(read_plan.is_watcher, Ordering::Release);
        self.needs_poll.store(read_plan.needs_poll, Ordering::Release);
        self.is_alone.store(read_plan.is_alone, Ordering::Release);
        self.complete_to.store(read_plan.complete_to, Ordering::Release);
    }

    /// Returns what the threads that read the object API should do.
    pub fn read_plan(&self) -> ReadPlan {
        ReadPlan {
            is_watcher: self.is_watcher.load(Ordering::Acquire),
            needs_poll: self.needs_poll.load(Ordering::Acquire),
            is_alone: self.is_alone.load(Ordering::Acquire),
            complete_to: self.complete_to.load(Ordering::Acquire),
        }
    }

    /// Returns the time since the configuration was last confirmed to be the newest.
    pub fn freshness(&self, now: Millis) -> Freshness {
        Freshness { age: now - Millis(self.confirmed_at.load(Ordering::Acquire)) }
    }

    /// Reports whether the process was paused and its configuration has not been confirmed since.
    ///
    /// Also returns `true` while the control thread has not ticked for `MIN_PAUSE`. Otherwise the
    /// result is `false` once `CONFIRMATION_TIMEOUT` has passed since the pause was detected.
    pub fn is_unconfirmed(&self, now: Millis) -> bool {
        let ticked_at = Millis(self.ticked_at.load(Ordering::Acquire));
        let confirmed_at = Millis(self.confirmed_at.load(Ordering::Acquire));
        let paused_at = self.paused_at.load(Ordering::Acquire);
        // A response that was in a socket buffer during the pause says nothing about the time after
        // it was sent.
        let is_requested_since_pause = self.requested_at.load(Ordering::Acquire) >= paused_at;
        let is_confirmed = is_requested_since_pause && now - confirmed_at <= MAX_CONFIRMATION_AGE;
        // During an outage of the object API no confirmation arrives. After the timeout, the
        // declared rules for hosts with a stale configuration apply.
        let was_recently_paused = paused_at > 0 && now - Millis(paused_at) < CONFIRMATION_TIMEOUT;
        now - ticked_at >= MIN_PAUSE || (was_recently_paused && !is_confirmed)
    }

    /// Checks whether the host accepts requests. Returns `Draining` during a shutdown and
    /// `NotReady` before the first configuration.
    pub fn check(&self) -> Result<()> {
        if self.is_draining.load(Ordering::Acquire) {
            let message = "the host is shutting down; send the request to another host";
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

    /// Rejects all new requests from now on.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Release);
    }
}

/// State shared by the threads of a router.
pub struct Shared {
    /// Settings of the router.
    pub settings: Settings,
    /// Incarnation of this host.
    pub incarnation: Incarnation,
    /// Clock of the process, which also counts time during which the machine is suspended.
    pub clock: Clock,
    /// The compiled configuration that requests are routed by.
    pub view: ArcSwap<View>,
    /// Whether requests are admitted and the configuration is confirmed.
    pub admission: AdmissionState,
    /// Whether a shutdown has started; from then on the host reports that it is not ready.
    pub is_leaving: AtomicBool,
    /// This host's shares of the workspace limits.
    pub limits: Arc<Mutex<Limits>>,
    /// Requests that may have crashed endpoints.
    pub suspects: Arc<Suspects>,
    /// Tickets issued by this incarnation.
    pub tickets: Mutex<TicketRegistry>,
    /// Retry budget of this host, increased by each admitted request.
    pub retry_budget: Mutex<RetryBudget>,
    /// Channel to the control thread.
    pub control: Sender<ControlMsg>,
    /// Handle of the bill replicator.
    pub billing: Billing,
    /// Queue of responses to be rated.
    pub rating_jobs: Sender<RatingJob>,
    /// Timer service of the process.
    pub timers: Timers,
    /// Client of the object API.
    pub platform: PlatformClient,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Logger of the process.
    pub logger: Logger,
    /// Number of request IDs issued.
    pub request_count: AtomicU64,
    /// Number of requests in flight.
    pub in_flight: AtomicU64,
    /// Number of requests whose body is being read.
    pub body_reads: AtomicU64,
}

impl Shared {
    /// Returns the current time of the router's clock.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Writes an event to the log.
    pub fn log(&self, event: Event, detail: &str) {
        logging::log(&self.logger, event, detail);
    }

    /// Returns a new request ID, unique across hosts and incarnations.
    pub fn next_id(&self) -> RequestId {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId { incarnation: self.incarnation.clone(), number }
    }

    /// Locks the workspace limits.
    pub fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().expect("no holder of the lock panics")
    }

    /// Locks the ticket registry.
    pub fn tickets(&self) -> MutexGuard<'_, TicketRegistry> {
        self.tickets.lock().expect("no holder of the lock panics")
    }

    /// Sends the outcomes observed for a version to the control thread. `is_canary` marks the
    /// canary of an unfinished roll-out.
    pub fn record_counts(
        &self,
        version: &VersionRef,
        generation: u64,
        is_canary: bool,
        counts: VersionCounts,
    ) {
        let version = version.clone();
        // The control thread ends only with the process.
        let _ =
            self.control.send(ControlMsg::RecordCounts { version, generation, is_canary, counts });
    }

    /// Waits, after a pause of the process, until the configuration is confirmed or
    /// `CONFIRMATION_TIMEOUT` has passed. Returns the age of the configuration.
    pub fn wait_for_confirmation(&self) -> Freshness {
        let deadline = self.now() + CONFIRMATION_TIMEOUT;
        while self.admission.is_unconfirmed(self.now()) && self.now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.admission.freshness(self.now())
    }
}
