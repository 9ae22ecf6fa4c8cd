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
use crate::control::Msg;
use crate::logging;
use crate::metrics::Metrics;
use crate::rating::RatingJob;
use crate::settings::Settings;
use crate::timers::Timers;

/// A gap between two ticks of the control thread that shows that the process was paused.
const PAUSE: Millis = Millis(1_000);

/// A configuration confirmed since a pause counts if it is no older than this: the time within which
/// a change is in force everywhere.
const CONFIRMED: Millis = Millis(4_000);

/// How long traffic waits after a pause for the configuration to be confirmed.
const CONFIRM_WAIT: Millis = Millis(2_000);

/// What traffic asks before work leaves the host.
#[derive(Debug, Default)]
pub struct Gate {
    ticked_at: AtomicU64,
    fresh_at: AtomicU64,
    /// When the question was asked whose answer gave `fresh_at`, or a later one.
    asked_at: AtomicU64,
    /// When the last pause of the process was noticed; 0 if there was none.
    paused_at: AtomicU64,
    ready: AtomicBool,
    draining: AtomicBool,
    watcher: AtomicBool,
    poll: AtomicBool,
    alone: AtomicBool,
    complete_to: AtomicU64,
}

/// What the thread that talks with the platform should do, as the control thread sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformDuty {
    /// Keep a watch.
    pub watcher: bool,
    /// Read once now.
    pub poll: bool,
    /// No other host is known.
    pub alone: bool,
    /// What is there already.
    pub complete_to: u64,
}

impl PlatformDuty {
    /// Tells whether a read waits for a change; one that is wanted now does not.
    pub fn is_watch(&self) -> bool {
        self.watcher && !self.poll
    }
}

impl Gate {
    /// Takes note of a tick of the control thread.
    pub fn tick(&self, now: Millis, confirmed: Option<ConfigConfirmation>, ready: bool) {
        let last = self.ticked_at.load(Ordering::Acquire);
        let confirmed = confirmed.unwrap_or_default();
        self.fresh_at.store(confirmed.confirmed_at.0, Ordering::Release);
        self.asked_at.store(confirmed.requested_at.0, Ordering::Release);
        if last > 0 && now - Millis(last) >= PAUSE {
            self.paused_at.store(now.0, Ordering::Release);
        }
        // Traffic looks at this first: it must not seem ticked before the pause is noted.
        self.ticked_at.store(now.0, Ordering::Release);
        self.ready.store(ready, Ordering::Release);
    }

    /// Sets what the thread that talks with the platform should do.
    pub fn set_duty(&self, duty: PlatformDuty) {
        self.watcher.store(duty.watcher, Ordering::Release);
        self.poll.store(duty.poll, Ordering::Release);
        self.alone.store(duty.alone, Ordering::Release);
        self.complete_to.store(duty.complete_to, Ordering::Release);
    }

    /// Gets what the thread that talks with the platform should do.
    pub fn duty(&self) -> PlatformDuty {
        PlatformDuty {
            watcher: self.watcher.load(Ordering::Acquire),
            poll: self.poll.load(Ordering::Acquire),
            alone: self.alone.load(Ordering::Acquire),
            complete_to: self.complete_to.load(Ordering::Acquire),
        }
    }

    /// Gets how old the configuration may be.
    pub fn freshness(&self, now: Millis) -> Freshness {
        Freshness { age: now - Millis(self.fresh_at.load(Ordering::Acquire)) }
    }

    /// Tells whether the process was paused and has not confirmed its configuration since.
    pub fn is_unconfirmed(&self, now: Millis) -> bool {
        let ticked_at = Millis(self.ticked_at.load(Ordering::Acquire));
        let fresh_at = Millis(self.fresh_at.load(Ordering::Acquire));
        let paused_at = self.paused_at.load(Ordering::Acquire);
        // An answer that waited in a socket through the pause says nothing of the time since it was given.
        let is_asked_since = self.asked_at.load(Ordering::Acquire) >= paused_at;
        let heard = is_asked_since && now - fresh_at <= CONFIRMED;
        // In an outage no confirmation comes: what is declared for a stale host holds from then on.
        let of_late = paused_at > 0 && now - Millis(paused_at) < CONFIRM_WAIT;
        now - ticked_at >= PAUSE || (of_late && !heard)
    }

    /// Tells whether requests may be taken at all.
    pub fn check(&self) -> Result<()> {
        if self.draining.load(Ordering::Acquire) {
            let message = "the host is leaving; ask another";
            return Err(Error::new(Code::Draining, message).with_retry_after(0));
        }
        match self.ready.load(Ordering::Acquire) {
            true => Ok(()),
            false => {
                let message = "the host has no configuration yet";
                Err(Error::new(Code::NotReady, message).with_retry_after(1_000))
            }
        }
    }

    /// Refuses new requests from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }
}

/// What the threads of one router share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// This life of the host.
    pub own: Incarnation,
    /// The clock.
    pub clock: Clock,
    /// The configuration, compiled.
    pub view: ArcSwap<View>,
    /// What traffic asks before work leaves.
    pub gate: Gate,
    /// Whether a planned stop is under way; readiness says no from then on.
    pub leaving: AtomicBool,
    /// Shares of the workspaces' limits.
    pub limits: Arc<Mutex<Limits>>,
    /// Requests under which endpoints crashed.
    pub suspects: Arc<Suspects>,
    /// This incarnation's tickets.
    pub tickets: Mutex<TicketRegistry>,
    /// The budget of retries.
    pub retries: Mutex<RetryBudget>,
    /// The control thread.
    pub control: Sender<Msg>,
    /// The keeper of the bills.
    pub billing: Billing,
    /// The raters.
    pub ratings: Sender<RatingJob>,
    /// The timer service.
    pub timers: Timers,
    /// The platform.
    pub platform: PlatformClient,
    /// Metrics.
    pub metrics: Metrics,
    /// The log.
    pub logger: Logger,
    /// Requests taken so far.
    pub numbers: AtomicU64,
    /// Requests in flight.
    pub in_flight: AtomicU64,
    /// Requests whose body is being read.
    pub reading: AtomicU64,
}

impl Shared {
    /// Gets the time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Writes a log line.
    pub fn log(&self, event: Event, text: &str) {
        logging::log(&self.logger, event, text);
    }

    /// Makes a request's id.
    pub fn next_id(&self) -> RequestId {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed) + 1;
        RequestId { incarnation: self.own.clone(), number }
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
    pub fn count(
        &self,
        version: &VersionRef,
        generation: u64,
        unproven: bool,
        counts: VersionCounts,
    ) {
        let version = version.clone();
        // The control thread is gone only when the process ends.
        let _ = self.control.send(Msg::Count { version, generation, unproven, counts });
    }

    /// Waits, after a pause of the process, until the configuration is confirmed or a while has
    /// passed; gets how old it may be.
    pub fn confirm(&self) -> Freshness {
        let until = self.now() + CONFIRM_WAIT;
        while self.gate.is_unconfirmed(self.now()) && self.now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.gate.freshness(self.now())
    }
}
