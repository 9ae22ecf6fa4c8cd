//! Course of a planned stop of a host.
//!
//! The platform kills the process some time after its stop signal. The host accepts requests until
//! load balancers have noticed that it is not ready, except those that usually take longer than the
//! time that remains: another host can serve them from the start. It finishes what it has accepted.
//! What is not complete shortly before the end is interrupted, early enough for its caller to be
//! told.

use crate::codes::{Code, Executed};
use crate::errors::{Error, Result};
use crate::units::Millis;

/// Time from the stop signal in which requests are accepted. A load balancer checks readiness once
/// a second and removes the host after the second failed check.
const ACCEPT_TIME: Millis = Millis(2_300);

/// Minimum time from the stop signal to the end of the process.
const MIN_STOP_TIME: Millis = Millis(3_000);

/// Time reserved before the moment at which the process would be killed.
const FORCED_STOP_MARGIN: Millis = Millis(350);

/// Time for the answers to interrupted requests to be written.
const INTERRUPTION_TIME: Millis = Millis(250);

/// Maximum share of a stop that is used for the answers to interrupted requests.
const MAX_INTERRUPTION_SHARE: u64 = 8;

/// `Retry-After` in milliseconds of a refusal by a stopping host. It is short because other hosts
/// can accept the request immediately.
const RETRY_AFTER_MS: u64 = 50;

/// Stages of a planned stop, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// Requests are accepted.
    Serving,
    /// Requests are refused and idle connections are closed.
    Closing,
    /// Requests that are not complete are interrupted.
    Interrupting,
}

/// Times of a planned stop, counted from the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    interrupt_at: Millis,
    end_at: Millis,
}

impl StopSchedule {
    /// Creates the schedule of a stop whose process is killed after `stop_timeout`.
    pub fn new(stop_timeout: Millis) -> StopSchedule {
        let end_at = Millis(stop_timeout.0.saturating_sub(FORCED_STOP_MARGIN.0));
        let interruption_time = INTERRUPTION_TIME.0.min(end_at.0 / MAX_INTERRUPTION_SHARE);
        StopSchedule { interrupt_at: Millis(end_at.0 - interruption_time), end_at }
    }

    /// Returns the stage after the given time.
    pub fn stage(&self, elapsed: Millis) -> StopStage {
        if elapsed >= self.interrupt_at {
            StopStage::Interrupting
        } else if elapsed >= ACCEPT_TIME {
            StopStage::Closing
        } else {
            StopStage::Serving
        }
    }

    /// Fails with `Draining` if a request that is about to be sent will be interrupted. `usual_time` is how long
    /// such requests usually take, if it is known, and `time_left` the time until the deadline.
    pub fn check_time(
        &self,
        elapsed: Millis,
        usual_time: Option<Millis>,
        time_left: Millis,
    ) -> Result<()> {
        let end_after = usual_time.map_or(Millis(0), |usual| usual.min(time_left));
        match elapsed + end_after > self.interrupt_at {
            true => Err(refusal()),
            false => Ok(()),
        }
    }

    /// Reports whether the process ends now. `is_idle` says that no request and no connection is
    /// left.
    pub fn is_over(&self, elapsed: Millis, is_idle: bool) -> bool {
        elapsed >= self.end_at || is_idle && elapsed >= MIN_STOP_TIME
    }
}

/// Returns the error of a request that a stopping host does not accept.
pub fn refusal() -> Error {
    Error::new(Code::Draining, "the host is stopping; send the request to another host")
        .with_retry_after(RETRY_AFTER_MS)
}

/// Returns the error of a request that is interrupted, by whether it has been executed so far.
pub fn interruption(executed: Executed) -> Error {
    match executed {
        Executed::No => refusal(),
        _ => Error::new(Code::HostStopped, "the host stopped before the response was complete")
            .with_executed(executed),
    }
}
