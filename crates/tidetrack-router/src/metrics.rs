//! Metrics of the router, recorded with OpenTelemetry and rendered as Prometheus text.

use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;

use tidetrack_plane::metrics;

/// Bucket boundaries of the histograms in milliseconds.
const HISTOGRAM_BOUNDS_MS: [f64; 14] = [
    1.0, 2.5, 5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 380.0, 500.0, 1_000.0, 2_500.0, 10_000.0,
    30_000.0,
];

/// The metric instruments of one router.
pub struct Metrics {
    registry: Registry,
    /// Dropping the provider would disconnect the instruments from the registry.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    objective: Counter<u64>,
    tokens: Counter<u64>,
    cost: Counter<u64>,
    first_token: Histogram<f64>,
    bill_wait: Histogram<f64>,
    events: Counter<u64>,
}

/// Labels under which a finished request is counted.
#[derive(Clone, Debug, Default)]
pub struct RequestLabels {
    /// Workspace of the caller; empty if the caller was not identified.
    pub workspace: String,
    /// Route or service of the request.
    pub route: String,
    /// Version that responded; empty if none did.
    pub version: String,
    /// Failure domain of the endpoint that responded; empty if none did.
    pub failure_domain: String,
}

impl RequestLabels {
    fn key_values(&self) -> Vec<KeyValue> {
        vec![
            KeyValue::new("workspace", self.workspace.clone()),
            KeyValue::new("route", self.route.clone()),
            KeyValue::new("version", self.version.clone()),
            KeyValue::new("failure_domain", self.failure_domain.clone()),
        ]
    }
}

impl Metrics {
    /// Creates the instruments and their registry.
    pub fn new() -> anyhow::Result<Metrics> {
        let (registry, provider) = metrics::registry()?;
        let meter = provider.meter("tidetrack");
        let histogram = |name: &'static str| {
            meter.f64_histogram(name).with_boundaries(HISTOGRAM_BOUNDS_MS.to_vec()).build()
        };
        Ok(Metrics {
            requests: meter.u64_counter("tidetrack_requests").build(),
            objective: meter.u64_counter("tidetrack_objective").build(),
            tokens: meter.u64_counter("tidetrack_tokens").build(),
            cost: meter.u64_counter("tidetrack_cost_micros").build(),
            first_token: histogram("tidetrack_first_token_ms"),
            bill_wait: histogram("tidetrack_bill_wait_ms"),
            events: meter.u64_counter("tidetrack_events").build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a finished request under its result code; `TT-0` means success.
    pub fn record_request(&self, labels: &RequestLabels, code: &str) {
        let mut key_values = labels.key_values();
        key_values.push(KeyValue::new("code", code.to_string()));
        self.requests.add(1, &key_values);
    }

    /// Counts a request that met or missed an objective.
    pub fn record_objective(&self, labels: &RequestLabels, objective: &str, is_met: bool) {
        let mut key_values = labels.key_values();
        key_values.push(KeyValue::new("objective", objective.to_string()));
        key_values.push(KeyValue::new("good", is_met));
        self.objective.add(1, &key_values);
    }

    /// Adds the tokens and the cost of a request; the cost is in millionths of the currency unit.
    pub fn record_usage(&self, labels: &RequestLabels, tokens: u64, cost: u64) {
        let key_values = labels.key_values();
        self.tokens.add(tokens, &key_values);
        self.cost.add(cost, &key_values);
    }

    /// Records the time to the first token in milliseconds.
    pub fn record_first_token(&self, labels: &RequestLabels, ms: f64) {
        self.first_token.record(ms, &[KeyValue::new("route", labels.route.clone())]);
    }

    /// Records the time in milliseconds until a bill was stored in a second place.
    pub fn record_bill_wait(&self, ms: f64) {
        self.bill_wait.record(ms, &[]);
    }

    /// Counts an event by name.
    pub fn count_event(&self, name: &'static str) {
        self.events.add(1, &[KeyValue::new("event", name)]);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> anyhow::Result<Vec<u8>> {
        metrics::render(&self.registry)
    }
}
