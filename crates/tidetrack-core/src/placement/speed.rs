//! How fast an endpoint works, as measured and as reported by itself.
//!
//! The *persistent* slowdown is learned from response times relative to the times that the service's
//! model expects of a usual endpoint: a decaying geometric mean, shrunk towards 1 while few responses
//! are known. It combines this host's own measurements with those of the other hosts, and is relative
//! to the median of the endpoints of the service. The *present* slowdown is what the endpoint last
//! reported; it decays towards usual, because it changes within a second.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::units::Millis;

use super::endpoint_state::EndpointState;
use super::slowdown::Slowdown;

/// Half-life, in milliseconds, of the weight of a measured response time. An endpoint receives a few
/// requests per second from all hosts together, and tens of them are needed to tell its speed.
const RELATIVE_TIME_HALF_LIFE_MS: f64 = 10_000.0;

/// Half-life, in milliseconds, of the logarithm of a reported slowdown. An endpoint is slow for about
/// 600 ms at a time, and a report arrives at any time within these.
const REPORTED_SLOWDOWN_HALF_LIFE_MS: f64 = 250.0;

/// Weight, in responses, of the assumption that an endpoint is as fast as usual. Single responses
/// deviate from the expected time about as much as endpoints differ from each other.
const USUAL_WEIGHT: f64 = 3.0;

/// Largest deviation from the expected time, as a logarithm, that a single response or another host's
/// report may teach. It is above a factor of 4, and endpoints differ by factors of 2 to 3.
pub const MAX_RELATIVE_LOG: f64 = 1.5;

/// Units of a reported slowdown per multiple of the usual time.
const UNITS_PER_MULTIPLE: f64 = 100.0;

/// Bits that hold a reported slowdown, below the time at which it was reported.
const REPORTED_BITS: u32 = 16;

/// Decaying sums over measured response times: of the logarithms of their ratios to the expected
/// times, and of their weights.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RelativeTimes {
    log_sum: f64,
    weight: f64,
    updated_at: Millis,
}

impl RelativeTimes {
    /// Creates sums from a mean logarithm and its weight in responses, as of `now`.
    pub fn new(now: Millis, mean_log: f64, weight: f64) -> RelativeTimes {
        RelativeTimes { log_sum: mean_log * weight, weight, updated_at: now }
    }

    /// Returns the sums as they have decayed until `now`.
    pub fn at(self, now: Millis) -> RelativeTimes {
        let age = (now - self.updated_at).0 as f64;
        let factor = (-age / RELATIVE_TIME_HALF_LIFE_MS).exp2();
        RelativeTimes {
            log_sum: self.log_sum * factor,
            weight: self.weight * factor,
            updated_at: self.updated_at.max(now),
        }
    }

    /// Returns the sum of both as of `now`.
    pub fn plus(self, now: Millis, other: RelativeTimes) -> RelativeTimes {
        let (this, other) = (self.at(now), other.at(now));
        RelativeTimes {
            log_sum: this.log_sum + other.log_sum,
            weight: this.weight + other.weight,
            updated_at: now,
        }
    }

    /// Returns these sums without `other`, which they contain, as of `now`.
    pub fn minus(self, now: Millis, other: RelativeTimes) -> RelativeTimes {
        let (this, other) = (self.at(now), other.at(now));
        RelativeTimes {
            log_sum: this.log_sum - other.log_sum,
            weight: (this.weight - other.weight).max(0.0),
            updated_at: now,
        }
    }

    /// Returns the decayed number of responses, as of the last update.
    pub fn weight(self) -> f64 {
        self.weight
    }

    /// Returns the mean logarithm; 0 if nothing was measured.
    pub fn mean_log(self) -> f64 {
        match self.weight > 0.0 {
            true => (self.log_sum / self.weight).clamp(-MAX_RELATIVE_LOG, MAX_RELATIVE_LOG),
            false => 0.0,
        }
    }

    /// Returns the logarithm of the persistent slowdown relative to endpoints with a mean logarithm of
    /// `usual_log`, shrunk towards usual.
    fn persistent_log(self, usual_log: f64) -> f64 {
        (self.mean_log() - usual_log) * self.weight / (self.weight + USUAL_WEIGHT)
    }
}

/// Measurements from which the persistent slowdown follows.
#[derive(Debug, Default)]
struct Measurements {
    own: RelativeTimes,
    others: RelativeTimes,
    /// Mean logarithm of a usual endpoint of the same service.
    usual_log: f64,
}

/// Speed of one endpoint, shared by all traffic threads.
#[derive(Debug, Default)]
pub(super) struct EndpointSpeed {
    measurements: Mutex<Measurements>,
    /// Whether any response time was measured, by this host or another one.
    is_measured: AtomicBool,
    /// Logarithm of the persistent slowdown, as the bits of an `f32`.
    persistent_log: AtomicU32,
    /// The endpoint's last report and its time; 0 if there was none.
    reported: AtomicU64,
}

impl EndpointSpeed {
    fn lock(&self) -> MutexGuard<'_, Measurements> {
        // The sums stay usable if a thread panicked while it held the lock.
        self.measurements.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the slowdown that the endpoint reports of itself.
    pub fn record_reported(&self, now: Millis, slowdown: Slowdown) {
        let units = (slowdown.multiple() * UNITS_PER_MULTIPLE).round() as u64;
        self.reported.store(now.0 << REPORTED_BITS | units, Ordering::Relaxed);
    }

    /// Records a response time as a ratio to the time expected of a usual endpoint. A ratio that is
    /// not a positive number is ignored.
    pub fn record_relative_time(&self, now: Millis, ratio: f64) {
        if ratio.is_nan() || ratio <= 0.0 {
            return;
        }
        let log = ratio.ln().clamp(-MAX_RELATIVE_LOG, MAX_RELATIVE_LOG);
        let mut measurements = self.lock();
        measurements.own = measurements.own.plus(now, RelativeTimes::new(now, log, 1.0));
        self.store_persistent(now, &measurements);
    }

    /// Sets what the other hosts measured and the mean logarithm of a usual endpoint.
    pub fn set_others(&self, now: Millis, others: RelativeTimes, usual_log: f64) {
        let mut measurements = self.lock();
        (measurements.others, measurements.usual_log) = (others, usual_log);
        self.store_persistent(now, &measurements);
    }

    fn store_persistent(&self, now: Millis, measurements: &Measurements) {
        let all = measurements.own.plus(now, measurements.others);
        let log = all.persistent_log(measurements.usual_log) as f32;
        self.persistent_log.store(log.to_bits(), Ordering::Relaxed);
        self.is_measured.store(true, Ordering::Relaxed);
    }

    /// Returns this host's own measurements; `None` if no host has measured anything.
    pub fn own(&self, now: Millis) -> Option<RelativeTimes> {
        self.is_measured.load(Ordering::Relaxed).then(|| self.lock().own.at(now))
    }

    pub fn persistent(&self) -> Slowdown {
        Slowdown::new(self.persistent_log().exp())
    }

    pub fn present(&self, now: Millis) -> Slowdown {
        Slowdown::new(self.present_log(now).exp())
    }

    /// Returns the persistent slowdown times the present one.
    pub fn slowdown(&self, now: Millis) -> Slowdown {
        Slowdown::new((self.persistent_log() + self.present_log(now)).exp())
    }

    fn persistent_log(&self) -> f64 {
        f64::from(f32::from_bits(self.persistent_log.load(Ordering::Relaxed)))
    }

    fn present_log(&self, now: Millis) -> f64 {
        let reported = self.reported.load(Ordering::Relaxed);
        if reported == 0 {
            return 0.0;
        }
        let units = reported & ((1 << REPORTED_BITS) - 1);
        let age = (now - Millis(reported >> REPORTED_BITS)).0 as f64;
        let log = (units as f64 / UNITS_PER_MULTIPLE).ln();
        log * (-age / REPORTED_SLOWDOWN_HALF_LIFE_MS).exp2()
    }
}

impl EndpointState {
    /// Returns how long work takes at the endpoint now, as a multiple of the usual time: the
    /// persistent slowdown times the present one.
    pub fn slowdown(&self, now: Millis) -> Slowdown {
        self.speed.slowdown(now)
    }

    /// Returns the present slowdown: what the endpoint last reported, decayed towards usual.
    pub fn present_slowdown(&self, now: Millis) -> Slowdown {
        self.speed.present(now)
    }

    /// Returns the persistent slowdown, which all hosts measured.
    pub fn persistent_slowdown(&self) -> Slowdown {
        self.speed.persistent()
    }

    /// Records the slowdown that the endpoint reports of itself. From then on its fresh load reports
    /// are preferred to the other hosts' work.
    pub fn record_reported_slowdown(&self, now: Millis, slowdown: Slowdown) {
        self.speed.record_reported(now, slowdown);
        self.prefer_reports();
    }

    /// Records a measured response time as a ratio to the time that is expected of a usual endpoint
    /// under the same present slowdown.
    pub fn record_relative_time(&self, now: Millis, ratio: f64) {
        self.speed.record_relative_time(now, ratio);
    }

    /// Returns this host's own measurements of the endpoint's speed; `None` if no host has any.
    pub fn own_relative_times(&self, now: Millis) -> Option<RelativeTimes> {
        self.speed.own(now)
    }

    /// Sets the other hosts' measurements of the endpoint's speed, and the mean logarithm of a usual
    /// endpoint of the service.
    pub fn set_other_relative_times(&self, now: Millis, others: RelativeTimes, usual_log: f64) {
        self.speed.set_others(now, others, usual_log);
    }
}
