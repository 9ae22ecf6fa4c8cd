//! Admission control of a contended service.
//!
//! A host rejects a request at once if its response cannot start before its deadline, or if the
//! service has lately turned away work and more urgent requests need what it can do. The share of
//! the work that finds a place is measured: the work of accepted requests divided by that of all
//! requests whose outcome is known. It is given to the ranks in the order of their urgency, with a
//! small margin by which the hosts notice that there is spare capacity again.
//!
//! Endpoints of plain services refuse requests when all their places are taken. Their refusals and
//! load reports tell which of them have free places; see [`places`](super::places).

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use crate::ids::ServiceId;
use crate::traffic::fair_share::ShareEstimate;
use crate::traffic::places::FreePlaces;
use crate::traffic::service_times::StartEstimate;
use crate::units::Millis;

/// Time over which outcomes are averaged.
const AVERAGING_TIME: Millis = Millis(2_000);

/// Multiple of the accepted work that is admitted. The surplus is refused by the endpoints while they
/// are full, and accepted as soon as there is capacity.
const ADMISSION_MARGIN: f64 = 1.1;

/// Number of accepted requests after the last refusal that show that a service is not contended.
const ACCEPTED_IN_A_ROW: f64 = 25.0;

/// Shortest and longest time after the last refusal for which a service counts as contended.
const MIN_CONTENTION_TIME: Millis = Millis(500);
const MAX_CONTENTION_TIME: Millis = Millis(2_000);

/// Part of the places that recent reports show as free if a service is not contended. A report is made
/// when a request ends, so a full endpoint of six places reports one as free.
const ROOM_FRACTION: f64 = 0.3;

/// Weight of the newest report in the mean part of free places. Several reports have to show them: a
/// single endpoint may be idle because it has just come back.
const ROOM_WEIGHT: f64 = 0.25;

/// Part of its remaining time that a request may need for itself in the check of its deadline. A large
/// request is not rejected for its size, only for what it would wait for.
const MAX_OWN_TIME_FRACTION: f64 = 0.5;

/// Shortest remaining time of a request whose rejection makes less urgent ones give way. With less,
/// its own lateness and not the backlog may be the reason.
const MIN_TIME_TO_YIELD_TO: Millis = Millis(500);

/// Longest time for which less urgent requests give way to one that was rejected for its deadline.
const MAX_YIELD_TIME: Millis = Millis(1_000);

/// Time that requests are assumed to hold a place before the first one has ended.
const ASSUMED_HOLD_MS: f64 = 100.0;

/// Weight of the newest request in the mean time for which requests hold their places.
const HOLD_WEIGHT: f64 = 0.1;

/// Shortest time over which returning callers are spread, as a multiple of the time for which a
/// request holds its place.
const MIN_SPREAD_HOLDS: f64 = 2.0;

/// Fraction of the caller's remaining time after which it returns at the earliest if the backlog lasts
/// longer than that time.
const LATE_RETURN_FRACTION: f64 = 0.5;

/// Longest time that a caller is asked to wait.
const MAX_RETRY_AFTER: Millis = Millis(10_000);

/// Share of the budget of further attempts that is left to the least urgent requests under contention.
const LEAST_URGENT_BUDGET_SHARE: f64 = 0.5;

/// Request about which load control decides.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Work in response tokens.
    pub work: f64,
    /// Time until the request's deadline.
    pub time_left: Millis,
    /// Estimated start of the response at the best endpoint; `None` if no endpoint is known.
    pub start: Option<StartEstimate>,
    /// Places of the service's endpoints, as far as known.
    pub places: FreePlaces,
    /// Usage of the request's workspace relative to its fair share.
    pub share: ShareEstimate,
    /// Uniform random numbers in `[0, 1)`: for the admission, and for the spread of the retry delay.
    pub draws: [f64; 2],
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its response is not expected to start before its deadline.
    Deadline,
    /// The service is contended, and more urgent requests use what it can do.
    Contended,
    /// The service is contended, and the request's workspace uses more than its fair share.
    FairShare,
}

impl RejectReason {
    /// Returns the value for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            RejectReason::Deadline => "deadline",
            RejectReason::Contended => "contended",
            RejectReason::FairShare => "fair_share",
        }
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The request is sent to an endpoint.
    Admit,
    /// The request is rejected.
    Refuse {
        /// Why it is rejected.
        reason: RejectReason,
        /// When the caller may retry.
        retry_after: Millis,
    },
}

/// A sum that decays with time.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    updated_at: Millis,
}

impl DecayingSum {
    fn get(&self, now: Millis) -> f64 {
        self.sum * (-((now - self.updated_at).0 as f64) / AVERAGING_TIME.0 as f64).exp()
    }

    fn add(&mut self, now: Millis, value: f64) {
        *self = DecayingSum { sum: self.get(now) + value, updated_at: now };
    }
}

/// Less urgent requests give way until a time.
#[derive(Clone, Copy, Debug)]
struct Yield {
    rank: u8,
    until: Millis,
}

/// What a host knows about the load of one service.
#[derive(Clone, Debug)]
struct ServiceLoad {
    /// Work of requests whose outcome is known, without those beyond a fair share, by rank.
    demand: BTreeMap<u8, DecayingSum>,
    /// Work beyond fair shares that was rejected.
    beyond_shares: DecayingSum,
    accepted: DecayingSum,
    /// Number of accepted requests.
    accepted_count: DecayingSum,
    /// Number of requests that were turned away.
    turned_away_count: DecayingSum,
    last_refusal: Option<Millis>,
    yields: Option<Yield>,
    hold_ms: f64,
    /// Mean part of free places in recent reports; a refusal counts as a report of none.
    room: f64,
}

impl Default for ServiceLoad {
    fn default() -> Self {
        ServiceLoad {
            demand: BTreeMap::new(),
            beyond_shares: DecayingSum::default(),
            accepted: DecayingSum::default(),
            accepted_count: DecayingSum::default(),
            turned_away_count: DecayingSum::default(),
            last_refusal: None,
            yields: None,
            hold_ms: ASSUMED_HOLD_MS,
            room: 0.0,
        }
    }
}

impl ServiceLoad {
    fn record_outcome(&mut self, now: Millis, rank: u8, work: f64, is_accepted: bool) {
        self.demand.entry(rank).or_default().add(now, work);
        match is_accepted {
            true => {
                self.accepted.add(now, work);
                self.accepted_count.add(now, 1.0);
            }
            false => self.turned_away_count.add(now, 1.0),
        }
    }

    /// Returns the number of requests that are accepted per millisecond.
    fn accepted_per_ms(&self, now: Millis) -> f64 {
        self.accepted_count.get(now) / AVERAGING_TIME.0 as f64
    }

    fn is_contended(&self, now: Millis) -> bool {
        let Some(last_refusal) = self.last_refusal else { return false };
        let time = ACCEPTED_IN_A_ROW / self.accepted_per_ms(now).max(f64::EPSILON);
        let (min, max) = (MIN_CONTENTION_TIME.0 as f64, MAX_CONTENTION_TIME.0 as f64);
        now < last_refusal + Millis(time.clamp(min, max) as u64)
    }

    /// Returns the fraction of the requested work that the service can do; 1 if it is not contended.
    fn admissible(&self, now: Millis) -> f64 {
        if !self.is_contended(now) {
            return 1.0;
        }
        let ranked: f64 = self.demand.values().map(|d| d.get(now)).sum();
        let all = ranked + self.beyond_shares.get(now);
        (ADMISSION_MARGIN * self.accepted.get(now) / all.max(f64::EPSILON)).min(1.0)
    }

    /// Returns the probability with which a request is rejected for its rank.
    fn rejection_probability(&self, now: Millis, rank: u8, work: f64) -> f64 {
        if !self.is_contended(now) {
            return 0.0;
        }
        let up_to_rank: f64 = self.demand.range(..=rank).map(|(_, d)| d.get(now)).sum();
        let own = self.demand.get(&rank).map_or(0.0, |d| d.get(now));
        // The work of one request is within the error of measurement.
        let excess = up_to_rank - ADMISSION_MARGIN * self.accepted.get(now) - work;
        (excess / own.max(work)).clamp(0.0, 1.0)
    }

    /// Returns the delay after which a rejected caller may return. The callers that were turned away
    /// lately are spread over the time in which the service accepts as many requests.
    fn retry_after(&self, now: Millis, drain_ms: f64, arrival: &Arrival) -> Millis {
        let turned_away = self.turned_away_count.get(now) + 1.0;
        let min_spread = self.hold_ms * MIN_SPREAD_HOLDS;
        let spread = turned_away / self.accepted_per_ms(now).max(f64::EPSILON);
        let max = MAX_RETRY_AFTER.0 as f64;
        let drain = drain_ms.clamp(1.0, max);
        let latest = (drain + spread.max(min_spread)).min(max);
        // A return that leaves no time for the request is useless to its caller.
        let last_useful = arrival.time_left.0 as f64 - self.hold_ms * MIN_SPREAD_HOLDS;
        let (earliest, latest) = match drain < last_useful && last_useful < latest {
            // The backlog lasts beyond the deadline: an early return would be one more rejection.
            true => (drain.max(last_useful * LATE_RETURN_FRACTION), last_useful),
            false => (drain, latest),
        };
        Millis((earliest + arrival.draws[1] * (latest - earliest)).ceil() as u64)
    }

    fn refuse(
        &self,
        now: Millis,
        reason: RejectReason,
        drain: f64,
        arrival: &Arrival,
    ) -> Admission {
        Admission::Refuse { reason, retry_after: self.retry_after(now, drain, arrival) }
    }

    fn yields_to(&self, now: Millis, rank: u8) -> Option<Millis> {
        let active = self.yields.filter(|y| rank > y.rank && now < y.until)?;
        Some(active.until - now)
    }
}

/// Returns by how many milliseconds the expected start of a response lies beyond its deadline.
fn lateness_ms(arrival: &Arrival) -> Option<f64> {
    const US_PER_MS: f64 = 1e3;
    let start = arrival.start?;
    let time_left = arrival.time_left.0 as f64;
    let own_ms = (start.start_us - start.wait_us) / US_PER_MS;
    let late =
        start.wait_us / US_PER_MS + own_ms.min(time_left * MAX_OWN_TIME_FRACTION) - time_left;
    (late > 0.0).then_some(late)
}

/// Load of the services under load control, as one host knows it.
#[derive(Clone, Debug, Default)]
pub struct Overload {
    services: HashMap<ServiceId, ServiceLoad>,
}

impl Overload {
    /// Decides whether a request is sent to an endpoint, and records it if it is not. The outcome of
    /// an admitted request has to be recorded with `record_accepted` or `record_turned_away`.
    pub fn decide(&mut self, now: Millis, service: &ServiceId, arrival: &Arrival) -> Admission {
        let load = self.load_mut(service);
        let has_room = arrival.places.free as f64 > ROOM_FRACTION * arrival.places.slots as f64;
        if !has_room && load.is_contended(now) && arrival.draws[0] < arrival.share.excess {
            load.beyond_shares.add(now, arrival.work);
            load.turned_away_count.add(now, 1.0);
            return load.refuse(now, RejectReason::FairShare, load.hold_ms, arrival);
        }
        let has_free_place = arrival.places.free > 0;
        if let Some(late) = lateness_ms(arrival).filter(|_| !has_free_place) {
            if arrival.time_left >= MIN_TIME_TO_YIELD_TO {
                load.last_refusal = Some(now);
                let until = now + Millis((late as u64).min(MAX_YIELD_TIME.0));
                if load.yields.is_none_or(|y| now >= y.until || arrival.rank <= y.rank) {
                    load.yields = Some(Yield { rank: arrival.rank, until });
                }
            }
            load.record_outcome(now, arrival.rank, arrival.work, false);
            return load.refuse(now, RejectReason::Deadline, late, arrival);
        }
        let yield_time = load.yields_to(now, arrival.rank);
        let probability = load.rejection_probability(now, arrival.rank, arrival.work);
        if !has_room && (yield_time.is_some() || arrival.draws[0] < probability) {
            let drain = yield_time.map_or(load.hold_ms, |t| t.0 as f64);
            load.record_outcome(now, arrival.rank, arrival.work, false);
            return load.refuse(now, RejectReason::Contended, drain, arrival);
        }
        Admission::Admit
    }

    /// Returns when the caller of an admitted request that found no place may retry.
    pub fn retry_after(&mut self, now: Millis, service: &ServiceId, arrival: &Arrival) -> Millis {
        let load = self.load_mut(service);
        load.retry_after(now, load.hold_ms, arrival)
    }

    /// Records that an endpoint has accepted a request.
    pub fn record_accepted(&mut self, now: Millis, service: &ServiceId, rank: u8, work: f64) {
        self.load_mut(service).record_outcome(now, rank, work, true);
    }

    /// Records that a request was admitted and found no place.
    pub fn record_turned_away(&mut self, now: Millis, service: &ServiceId, rank: u8, work: f64) {
        let load = self.load_mut(service);
        load.last_refusal = Some(now);
        load.record_outcome(now, rank, work, false);
    }

    /// Records that an endpoint refused an attempt because its places are taken.
    pub fn record_refused_attempt(&mut self, now: Millis, service: &ServiceId) {
        let load = self.load_mut(service);
        load.last_refusal = Some(now);
        load.room -= load.room * ROOM_WEIGHT;
    }

    /// Reports whether a request that an endpoint refused may ask another one. Under contention only
    /// ranks that are admitted in full do: the others would take the places that these need.
    pub fn may_ask_another(&self, now: Millis, service: &ServiceId, rank: u8, work: f64) -> bool {
        let load = self.services.get(service);
        load.is_none_or(|l| l.rejection_probability(now, rank, work) <= 0.0)
    }

    /// Records an endpoint's report of its free places. Once several show enough of them, the service no
    /// longer counts as contended.
    pub fn record_room(&mut self, service: &ServiceId, slots: u64, taken: u64) {
        let load = self.load_mut(service);
        let free = slots.saturating_sub(taken) as f64 / slots.max(1) as f64;
        load.room += (free - load.room) * ROOM_WEIGHT;
        if load.room >= ROOM_FRACTION {
            load.last_refusal = None;
            load.yields = None;
        }
    }

    /// Records for how long a request held a place at its endpoint.
    pub fn record_hold(&mut self, service: &ServiceId, held: Millis) {
        let load = self.load_mut(service);
        load.hold_ms += (held.0 as f64 - load.hold_ms) * HOLD_WEIGHT;
    }

    /// Returns the mean time for which a request holds a place.
    pub fn hold_time(&self, service: &ServiceId) -> Millis {
        Millis(self.services.get(service).map_or(ASSUMED_HOLD_MS, |l| l.hold_ms) as u64)
    }

    /// Returns the fraction of the requested work that a service can do; 1 if it is not contended.
    pub fn admissible(&self, now: Millis, service: &ServiceId) -> f64 {
        self.services.get(service).map_or(1.0, |l| l.admissible(now))
    }

    /// Reports whether a service has lately turned away requests for lack of capacity.
    pub fn is_contended(&self, now: Millis, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(|l| l.is_contended(now))
    }

    /// Returns the share of the budget of further attempts that requests of a rank may use: all of it
    /// without contention, and less for less urgent ones under contention.
    pub fn budget_share(&self, now: Millis, service: &ServiceId, rank: u8) -> f64 {
        let Some(load) = self.services.get(service).filter(|l| l.is_contended(now)) else {
            return 1.0;
        };
        let sum: f64 = load.demand.values().map(|d| d.get(now)).sum();
        let more_urgent: f64 = load.demand.range(..rank).map(|(_, d)| d.get(now)).sum();
        1.0 - (1.0 - LEAST_URGENT_BUDGET_SHARE) * more_urgent / sum.max(f64::EPSILON)
    }

    fn load_mut(&mut self, service: &ServiceId) -> &mut ServiceLoad {
        self.services.entry(service.clone()).or_default()
    }
}

/// Reports whether an attempt at an endpoint that is busy but alive is given up for another one:
/// only if the response is expected to start sooner there, and the service is not contended.
/// `present_us` is the expected time until the present attempt's response starts, from now.
pub fn abandons_busy_endpoint(is_contended: bool, present_us: f64, other_us: f64) -> bool {
    !is_contended && other_us < present_us
}

/// Estimates the remaining time, in microseconds, until the response of an attempt starts. The longer
/// an attempt is overdue, the longer it is expected to take.
pub fn remaining_us(start: StartEstimate, elapsed_us: f64) -> f64 {
    match elapsed_us < start.start_us {
        true => start.start_us - elapsed_us,
        false => start.own_us + elapsed_us - start.start_us,
    }
}
