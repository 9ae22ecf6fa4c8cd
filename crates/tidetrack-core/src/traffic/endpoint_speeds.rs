//! Exchange of measured endpoint speeds between hosts.
//!
//! One host of many sends an endpoint a request every few seconds, too few to tell a slow endpoint
//! from slow requests. Each host therefore reports its own measurements of some endpoints with the
//! messages of a round, chosen at random anew each time, and adds up the newest report of each other
//! host, which fades with age like a measurement. Reports contain what a host measured itself and
//! nothing that it heard. The weight and the deviation that one host can report are bounded, so that a
//! host with faulty figures changes little where others measure too.
//!
//! A report names the incarnation of its endpoint: what was measured of an earlier one doesn't count.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::events::Event;
use crate::ids::{EndpointId, EndpointKey, HostId, ServiceId, VersionName};
use crate::placement::{EndpointState, RelativeTimes, Slowdown, MAX_RELATIVE_LOG};
use crate::traffic::endpoints::EndpointRecord;
use crate::traffic::fair_share::UsageReport;
use crate::traffic::peers::ROUND_INTERVAL;
use crate::traffic::samples::CallTimes;
use crate::units::Millis;

/// Maximum number of endpoints in a message. At 8 bytes each and 32 messages per second, the reports
/// of a host take 4.1 KB/s, half of what load control may add to the traffic between hosts.
pub const REPORTS_PER_MESSAGE: usize = 16;

/// Steps of a reported mean logarithm per unit: `MAX_RELATIVE_LOG` has to fit in an `i8`.
const STEPS_PER_LOG: f64 = 80.0;

/// Steps of a reported weight per response.
const STEPS_PER_WEIGHT: f64 = 16.0;

/// Largest weight, in responses, of another host's measurements of an endpoint.
const MAX_HOST_WEIGHT: f64 = 4.0;

/// Smallest weight, in responses, that is reported: a single one is reported for one half-life.
const MIN_REPORTED_WEIGHT: f64 = 0.5;

/// Weight, in responses, below which a host's report is dropped.
const MIN_RETAINED_WEIGHT: f64 = 0.05;

/// Interval at which faded reports are dropped.
const SWEEP_INTERVAL: Millis = Millis(5_000);

/// Smallest weight, in responses, with which an endpoint counts in the median of its service.
const MIN_COMPARED_WEIGHT: f64 = 2.0;

/// Persistent slowdowns at which an endpoint is logged as slow, and as no longer slow.
const SLOW_FROM: f64 = 1.6;
const SLOW_UNTIL: f64 = 1.3;

/// Smallest weight, in responses, with which an endpoint is logged as slow.
const MIN_LOGGED_WEIGHT: f64 = 12.0;

/// Hash of an endpoint's incarnation. A collision lets the measurements of the previous incarnation
/// fade instead of dropping them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IncarnationHash(u8);

impl IncarnationHash {
    /// Returns the hash of the incarnation that an entry describes.
    pub fn of(record: &EndpointRecord) -> IncarnationHash {
        IncarnationHash(record.started.map_or(0, |at| xxh3_64(&at.0.to_le_bytes()) as u8))
    }
}

/// One host's own measurements of an endpoint's speed, in 8 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its incarnation.
    pub incarnation: IncarnationHash,
    /// Mean logarithm of the relative response times, in steps.
    mean_log: i8,
    /// Decayed number of responses, in steps.
    weight: u8,
}

impl SpeedReport {
    /// Creates a report, limited to what a host may report.
    pub fn new(
        endpoint: EndpointKey,
        incarnation: IncarnationHash,
        times: RelativeTimes,
    ) -> SpeedReport {
        SpeedReport {
            endpoint,
            incarnation,
            mean_log: (times.mean_log() * STEPS_PER_LOG).round() as i8,
            weight: (times.weight().min(MAX_HOST_WEIGHT) * STEPS_PER_WEIGHT).round() as u8,
        }
    }

    /// Returns the reported measurements as of `now`, limited to what a host may report.
    fn times(self, now: Millis) -> RelativeTimes {
        let mean_log = f64::from(self.mean_log) / STEPS_PER_LOG;
        let weight = f64::from(self.weight) / STEPS_PER_WEIGHT;
        let mean_log = mean_log.clamp(-MAX_RELATIVE_LOG, MAX_RELATIVE_LOG);
        RelativeTimes::new(now, mean_log, weight.min(MAX_HOST_WEIGHT))
    }
}

/// What a host reports for load control, and the response times of its tallies. It is the last part
/// of a message and takes no bytes where there is nothing to report, so that such messages are those
/// of hosts without load control.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadControlReport {
    /// The sender's own measurements of some endpoints.
    pub speeds: Vec<SpeedReport>,
    /// Usage of services by workspace, at the sender.
    pub usage: Vec<UsageReport>,
    /// Response times of versions under roll-out. They belong to the sender's tallies and stand here
    /// because hosts that do not know them ignore what follows the usage.
    pub call_times: Vec<CallTimesReport>,
}

/// Response times of plain calls that a host observed during a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallTimesReport {
    /// Service under roll-out.
    pub service: ServiceId,
    /// The version under roll-out.
    pub version: VersionName,
    /// Counts of the sender.
    pub times: CallTimes,
}

/// Reports at the end of a message, which some senders do not add.
#[derive(Default)]
struct OptionalEnd(Vec<CallTimesReport>);

impl<'de> Deserialize<'de> for OptionalEnd {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(OptionalEnd(Deserialize::deserialize(deserializer).unwrap_or_default()))
    }
}

impl Serialize for LoadControlReport {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let is_empty = self.speeds.is_empty() && self.usage.is_empty();
        match (is_empty, self.call_times.is_empty()) {
            (true, true) => serializer.serialize_unit(),
            (false, true) => (&self.speeds, &self.usage).serialize(serializer),
            (_, false) => (&self.speeds, &self.usage, &self.call_times).serialize(serializer),
        }
    }
}

impl<'de> Deserialize<'de> for LoadControlReport {
    /// Reads a report. At the end of a message, and from anything unreadable, it is empty: nothing
    /// follows it, and it is only a hint.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let (speeds, usage, OptionalEnd(call_times)) =
            Deserialize::deserialize(deserializer).unwrap_or_default();
        Ok(LoadControlReport { speeds, usage, call_times })
    }
}

/// An endpoint that is persistently slower than others of its service, or no longer is.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceId,
    /// Whether it is slow now.
    pub is_slow: bool,
    /// Its persistent slowdown.
    pub slowdown: Slowdown,
    /// Decayed number of measured responses, of all hosts.
    pub weight: f64,
}

impl SpeedChange {
    /// Returns the event under which the change is logged.
    pub fn event(&self) -> Event {
        Event::EndpointSlow
    }
}

impl fmt::Display for SpeedChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "endpoint={} service={} slow={} slowdown={} responses={:.0}",
            self.endpoint, self.service, self.is_slow, self.slowdown, self.weight
        )
    }
}

/// An incarnation of an endpoint.
type IncarnationKey = (EndpointKey, IncarnationHash);

/// What the other hosts measured.
#[derive(Clone, Debug, Default)]
pub struct EndpointSpeeds {
    /// Newest report of each host.
    reports: HashMap<HostId, HashMap<EndpointKey, (IncarnationHash, RelativeTimes)>>,
    /// Sums of `reports`.
    totals: HashMap<IncarnationKey, RelativeTimes>,
    swept_at: Millis,
    reported_at: Millis,
    /// Number of rounds with reports; each chooses other endpoints.
    round: u64,
    /// Endpoints that were logged as slow.
    slow: BTreeSet<EndpointId>,
}

impl EndpointSpeeds {
    /// Replaces what a host reported earlier of the same endpoints.
    pub fn receive(&mut self, now: Millis, from: &HostId, reports: &[SpeedReport]) {
        if reports.is_empty() {
            return;
        }
        let known = self.reports.entry(from.clone()).or_default();
        for report in reports.iter().take(REPORTS_PER_MESSAGE) {
            let times = report.times(now);
            let previous = known.insert(report.endpoint, (report.incarnation, times));
            if let Some((incarnation, previous)) = previous {
                if let Some(total) = self.totals.get_mut(&(report.endpoint, incarnation)) {
                    *total = total.minus(now, previous);
                }
            }
            let total = self.totals.entry((report.endpoint, report.incarnation)).or_default();
            *total = total.plus(now, times);
        }
    }

    /// Passes the other hosts' measurements on to the states of the endpoints. Returns the endpoints
    /// that have become slow or usual.
    pub fn update_states(
        &mut self,
        now: Millis,
        endpoints: &[(&EndpointRecord, &EndpointState)],
    ) -> Vec<SpeedChange> {
        self.drop_faded(now);
        let mut services: BTreeMap<&ServiceId, Vec<MeasuredEndpoint<'_>>> = BTreeMap::new();
        for (record, state) in endpoints {
            let total =
                self.totals.get(&(EndpointKey::from(&record.id), IncarnationHash::of(record)));
            let own = state.own_relative_times(now);
            if total.is_none() && own.is_none() {
                continue;
            }
            let others = total.copied().unwrap_or_default().at(now);
            let all = others.plus(now, own.unwrap_or_default());
            let measured = MeasuredEndpoint { id: &record.id, state, others, all };
            services.entry(&record.service).or_default().push(measured);
        }
        let mut changes = Vec::new();
        let mut listed = HashSet::new();
        for (service, measured) in services {
            let usual_log = median_log(&measured);
            for endpoint in &measured {
                endpoint.state.set_other_relative_times(now, endpoint.others, usual_log);
                listed.insert(endpoint.id);
                changes.extend(self.log_change(service, endpoint));
            }
        }
        self.slow.retain(|id| listed.contains(id));
        changes
    }

    /// Returns the change if an endpoint has become slow or usual.
    fn log_change(&mut self, service: &ServiceId, e: &MeasuredEndpoint<'_>) -> Option<SpeedChange> {
        let slowdown = e.state.persistent_slowdown();
        let was_slow = self.slow.contains(e.id);
        let is_slow = match was_slow {
            true => slowdown.multiple() >= SLOW_UNTIL,
            false => slowdown.multiple() >= SLOW_FROM && e.all.weight() >= MIN_LOGGED_WEIGHT,
        };
        if is_slow == was_slow {
            return None;
        }
        match is_slow {
            true => self.slow.insert(e.id.clone()),
            false => self.slow.remove(e.id),
        };
        let (endpoint, service, weight) = (e.id.clone(), service.clone(), e.all.weight());
        Some(SpeedChange { endpoint, service, is_slow, slowdown, weight })
    }

    /// Returns this host's own measurements for the messages of a round, at most
    /// `REPORTS_PER_MESSAGE`, and none in rounds that follow each other sooner than usual.
    pub fn reports_for_round(
        &mut self,
        now: Millis,
        host: &HostId,
        endpoints: &[(&EndpointRecord, &EndpointState)],
    ) -> Vec<SpeedReport> {
        if self.round > 0 && now < self.reported_at + ROUND_INTERVAL {
            return Vec::new();
        }
        let report = |(record, state): &(&EndpointRecord, &EndpointState)| {
            let own = state.own_relative_times(now)?;
            let key = EndpointKey::from(&record.id);
            let is_reported = own.weight() >= MIN_REPORTED_WEIGHT;
            is_reported.then(|| SpeedReport::new(key, IncarnationHash::of(record), own))
        };
        let mut reports: Vec<SpeedReport> = endpoints.iter().filter_map(report).collect();
        if reports.is_empty() {
            return reports;
        }
        (self.reported_at, self.round) = (now, self.round + 1);
        if reports.len() > REPORTS_PER_MESSAGE {
            // A fixed rotation could stay in step with that of the receivers, who would then hear of
            // the same endpoints each time.
            let seed = xxh3_64_with_seed(host.as_str().as_bytes(), self.round);
            let rank = |r: &SpeedReport| xxh3_64_with_seed(&r.endpoint.get().to_le_bytes(), seed);
            reports.select_nth_unstable_by_key(REPORTS_PER_MESSAGE, rank);
            reports.truncate(REPORTS_PER_MESSAGE);
        }
        reports
    }

    /// Drops reports that have lost their weight.
    fn drop_faded(&mut self, now: Millis) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        for reports in self.reports.values_mut() {
            reports.retain(|_, (_, times)| times.at(now).weight() >= MIN_RETAINED_WEIGHT);
        }
        self.reports.retain(|_, reports| !reports.is_empty());
        // The sums are formed anew, so that neither dropped reports nor rounding errors remain.
        self.totals.clear();
        for reports in self.reports.values() {
            for (endpoint, (incarnation, times)) in reports {
                let total = self.totals.entry((*endpoint, *incarnation)).or_default();
                *total = total.plus(now, *times);
            }
        }
    }
}

/// An endpoint that any host has measured.
struct MeasuredEndpoint<'a> {
    id: &'a EndpointId,
    state: &'a EndpointState,
    /// Measurements of the other hosts.
    others: RelativeTimes,
    /// Measurements of all hosts.
    all: RelativeTimes,
}

/// Returns the median of the mean logarithms; 0 if no endpoint was measured often enough.
fn median_log(measured: &[MeasuredEndpoint<'_>]) -> f64 {
    let compared = measured.iter().filter(|e| e.all.weight() >= MIN_COMPARED_WEIGHT);
    let mut logs: Vec<f64> = compared.map(|e| e.all.mean_log()).collect();
    logs.sort_by(f64::total_cmp);
    match logs.len() {
        0 => 0.0,
        n => (logs[(n - 1) / 2] + logs[n / 2]) / 2.0,
    }
}
