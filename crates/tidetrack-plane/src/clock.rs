//! The clock by which ages are told.
//!
//! A machine may be suspended, and the steady clock of the standard library stands still meanwhile: after it, a
//! configuration, a key or a promise would look as young as before. This one counts that time. Timers of the
//! runtime do not, and fire late by it; what they guard has to look at an age of this clock as well.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

use tidetrack_core::units::Millis;

/// What the clock shows at the process's start: longer than any roll-out lasts.
const CLOCK_BEGINS: Millis = Millis(7 * 24 * 3_600 * 1_000);

/// Reads the time since the machine's start, suspended time included.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // It counts up from zero, so neither part is negative.
    let (secs, nanos) = (time.tv_sec.unsigned_abs(), time.tv_nsec.unsigned_abs());
    Duration::new(secs, u32::try_from(nanos).unwrap_or(0))
}

/// An instant of a clock that counts the time in which the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// Gets the present one.
    pub fn now() -> Moment {
        Moment(since_boot())
    }

    /// Gets the time since.
    pub fn elapsed(self) -> Duration {
        since_boot().saturating_sub(self.0)
    }

    /// Gets the time until then, or nothing once it is over.
    pub fn left(self) -> Duration {
        self.0.saturating_sub(since_boot())
    }

    /// Gets the one that is later by a time.
    pub fn after(self, time: Duration) -> Moment {
        Moment(self.0.saturating_add(time))
    }
}

/// The process's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    read: fn() -> Duration,
    start: Duration,
}

impl Clock {
    /// Starts the clock. It begins late enough that instants before the process's start can be told:
    /// when a roll-out began, or a read at another host.
    pub fn start() -> Clock {
        Clock::reading(since_boot)
    }

    /// Starts a clock that reads the time from elsewhere.
    pub fn reading(read: fn() -> Duration) -> Clock {
        Clock { read, start: read() }
    }

    /// Gets the time.
    pub fn now(&self) -> Millis {
        CLOCK_BEGINS + self.since_start()
    }

    /// Gets the time since the process started.
    pub fn since_start(&self) -> Millis {
        Millis((self.read)().saturating_sub(self.start).as_millis() as u64)
    }
}

/// Least time that counts as a suspension: the two clocks are read one after the other, and a thread on a part of a
/// core may stand still in between.
const LEAST_SUSPENSION: Duration = Duration::from_millis(250);

/// Notices that the machine was suspended, by two clocks of which one stands still meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct Suspensions {
    /// By how much the counting clock was ahead of the steady one at the last look.
    ahead: Option<Duration>,
}

impl Suspensions {
    /// Takes in what both clocks show; gets how long the machine was suspended since the last look, if it was.
    pub fn look(&mut self, counting: Duration, steady: Duration) -> Option<Duration> {
        let ahead = counting.saturating_sub(steady);
        let grown = ahead.saturating_sub(self.ahead.replace(ahead).unwrap_or(ahead));
        (grown >= LEAST_SUSPENSION).then_some(grown)
    }
}
