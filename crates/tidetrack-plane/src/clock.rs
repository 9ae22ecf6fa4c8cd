//! The clock by which ages are told.
//!
//! A machine may be suspended, and the steady clock of the standard library stands still meanwhile: after it, a
//! configuration, a key or a promise would look as young as before. This one counts that time. Timers of the
//! runtime do not, and fire late by it; what they guard has to look at an age of this clock as well.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

use tidetrack_core::units::Millis;

/// What the clock shows at the process's start: longer than any roll-out lasts.
const CLOCK_START: Millis = Millis(7 * 24 * 3_600 * 1_000);

/// Reads the time since the machine's start, suspended time included.
fn time_since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // It counts up from zero, so neither part is negative.
    let (secs, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    Duration::new(secs, u32::try_from(nanos).unwrap_or(0))
}

/// An instant of a clock that counts the time in which the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// Gets the present one.
    pub fn now() -> BootInstant {
        BootInstant(time_since_boot())
    }

    /// Gets the time since.
    pub fn elapsed(self) -> Duration {
        time_since_boot().saturating_sub(self.0)
    }

    /// Gets the time until then, or nothing once it is over.
    pub fn remaining(self) -> Duration {
        self.0.saturating_sub(time_since_boot())
    }

    /// Gets the one that is later by a time.
    pub fn saturating_add(self, time: Duration) -> BootInstant {
        BootInstant(self.0.saturating_add(time))
    }
}

/// The process's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: fn() -> Duration,
    start: Duration,
}

impl Clock {
    /// Starts the clock. It begins late enough that instants before the process's start can be told:
    /// when a roll-out began, or a read at another host.
    pub fn start() -> Clock {
        Clock::with_source(time_since_boot)
    }

    /// Starts a clock that reads the time from elsewhere.
    pub fn with_source(source: fn() -> Duration) -> Clock {
        Clock { source, start: source() }
    }

    /// Gets the time.
    pub fn now(&self) -> Millis {
        CLOCK_START + self.since_start()
    }

    /// Gets the time since the process started.
    pub fn since_start(&self) -> Millis {
        Millis((self.source)().saturating_sub(self.start).as_millis() as u64)
    }
}

/// Least time that counts as a suspension: the two clocks are read one after the other, and a thread on a part of a
/// core may stand still in between.
const MIN_SUSPENSION: Duration = Duration::from_millis(250);

/// Notices that the machine was suspended, by two clocks of which one stands still meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionDetector {
    /// By how much the counting clock was ahead of the steady one at the last look.
    offset: Option<Duration>,
}

impl SuspensionDetector {
    /// Takes in what both clocks show; gets how long the machine was suspended since the last look, if it was.
    pub fn update(&mut self, boot_time: Duration, monotonic_time: Duration) -> Option<Duration> {
        let offset = boot_time.saturating_sub(monotonic_time);
        let suspended_for = offset.saturating_sub(self.offset.replace(offset).unwrap_or(offset));
        (suspended_for >= MIN_SUSPENSION).then_some(suspended_for)
    }
}
