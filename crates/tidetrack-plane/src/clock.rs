//! The clock by which ages are computed.
//!
//! A machine may be suspended. The monotonic clock of the standard library does not advance during
//! that time, so a configuration, a key or a promise would look as young afterwards as before. This
//! clock includes suspended time. The timers of the runtime do not and fire late by it, so whatever
//! they guard must also check an age by this clock.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

use tidetrack_core::units::Millis;

/// Time of the clock at the start of the process. It is longer than any roll-out.
const CLOCK_START: Millis = Millis(7 * 24 * 3_600 * 1_000);

/// Returns the time since the machine was booted, including suspended time.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // The clock counts up from zero, so neither part is negative.
    let (secs, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    Duration::new(secs, u32::try_from(nanos).unwrap_or(0))
}

/// An instant of a clock that includes the time in which the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Returns the current instant.
    pub fn now() -> BootInstant {
        BootInstant(time_since_boot())
    }

    /// Returns the time since this instant.
    pub fn elapsed(self) -> Duration {
        time_since_boot().saturating_sub(self.0)
    }

    /// Returns the time until this instant, or zero if it has passed.
    pub fn remaining(self) -> Duration {
        self.0.saturating_sub(time_since_boot())
    }

    /// Returns this instant plus a duration.
    pub fn saturating_add(self, time: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(time))
    }
}

/// The clock of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: fn() -> Duration,
    start: Duration,
}

impl Clock {
    /// Starts the clock. Its initial value is large enough to represent instants before the start
    /// of the process, such as the start of a roll-out or a read at another host.
    pub fn start() -> Clock {
        Clock::with_source(time_since_boot)
    }

    /// Starts a clock with another time source.
    pub fn with_source(source: fn() -> Duration) -> Clock {
        Clock { source, start: source() }
    }

    /// Returns the current time in milliseconds.
    pub fn now(&self) -> Millis {
        CLOCK_START + self.since_start()
    }

    /// Returns the time since the process started, in milliseconds.
    pub fn since_start(&self) -> Millis {
        Millis((self.source)().saturating_sub(self.start).as_millis() as u64)
    }
}

/// Minimum difference that counts as a suspension. The two clocks are read one after the other, and
/// a thread with a fraction of a core may be preempted in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(250);

/// Detects suspensions of the machine by comparing two clocks, of which only one advances during a
/// suspension.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionDetector {
    /// Difference between the boot clock and the monotonic clock at the previous update.
    offset: Option<Duration>,
}

impl SuspensionDetector {
    /// Updates the detector with the current time of both clocks. Returns the duration of a
    /// suspension since the previous update, if there was one.
    pub fn update(&mut self, boot_time: Duration, monotonic_time: Duration) -> Option<Duration> {
        let offset = boot_time.saturating_sub(monotonic_time);
        let suspended_for = offset.saturating_sub(self.offset.replace(offset).unwrap_or(offset));
        (suspended_for >= MIN_SUSPENSION).then_some(suspended_for)
    }
}
