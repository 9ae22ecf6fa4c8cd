//! Counters and latency histograms of the traffic plane, in the Prometheus text format.

use std::time::Duration;

use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use tidetrack_core::disconnect::DisconnectCause;

use crate::store::CallPurpose;

/// Bucket bounds of the histograms in milliseconds. They are densest around the objectives of
/// interactive clients (100 to 150 ms) and of streams (1,500 to 3,000 ms).
const HISTOGRAM_BOUNDS_MS: [f64; 12] =
    [5.0, 10.0, 25.0, 50.0, 100.0, 150.0, 300.0, 750.0, 1_500.0, 3_000.0, 8_000.0, 25_000.0];

/// Creates a registry and the meter provider that exports to it.
pub fn registry() -> anyhow::Result<(Registry, SdkMeterProvider)> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_target_info()
        .build()?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    Ok((registry, provider))
}

/// Encodes a registry in the Prometheus text format.
pub fn render(registry: &Registry) -> anyhow::Result<Vec<u8>> {
    let mut text = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut text)?;
    Ok(text)
}

/// The instruments of a host.
pub struct Metrics {
    registry: Registry,
    /// Keeps the instruments connected to the registry.
    _meter_provider: SdkMeterProvider,
    requests: Counter<u64>,
    objective: Counter<u64>,
    attempts: Counter<u64>,
    disconnects: Counter<u64>,
    closed_connections: Counter<u64>,
    silent_connects: Counter<u64>,
    interrupted_attempts: Counter<u64>,
    suspended_ms: Counter<u64>,
    store_calls: Counter<u64>,
    peer_messages: Counter<u64>,
    feed_calls: Counter<u64>,
    feed_bytes: Counter<u64>,
    feed_reply_bytes: Counter<u64>,
    shared_tokens: Counter<u64>,
    second_runs: Counter<u64>,
    load_probes: Counter<u64>,
    version_sends: Counter<u64>,
    version_attempts: Counter<u64>,
    evacuated_endpoints: Gauge<u64>,
    lost_paths: Gauge<u64>,
    path_probes: Counter<u64>,
    forwards: Counter<u64>,
    refusals: Counter<u64>,
    held_bytes: Gauge<u64>,
    request_body_bytes: Gauge<u64>,
    shed_streams: Counter<u64>,
    load_rejections: Counter<u64>,
    first_byte: Histogram<f64>,
}

impl Metrics {
    /// Creates the instruments.
    pub fn new() -> anyhow::Result<Metrics> {
        let (registry, provider) = registry()?;
        let meter = provider.meter("tidetrack");
        let histogram = meter.f64_histogram("tidetrack_first_byte_ms");
        Ok(Metrics {
            requests: meter.u64_counter("tidetrack_requests").build(),
            objective: meter.u64_counter("tidetrack_objective").build(),
            attempts: meter.u64_counter("tidetrack_attempts").build(),
            disconnects: meter.u64_counter("tidetrack_broke").build(),
            closed_connections: meter.u64_counter("tidetrack_closed").build(),
            silent_connects: meter.u64_counter("tidetrack_no_sign").build(),
            interrupted_attempts: meter.u64_counter("tidetrack_cut_attempts").build(),
            suspended_ms: meter.u64_counter("tidetrack_suspended_ms").build(),
            store_calls: meter.u64_counter("tidetrack_store_calls").build(),
            peer_messages: meter.u64_counter("tidetrack_peer_messages").build(),
            feed_calls: meter.u64_counter("tidetrack_feed_calls").build(),
            feed_bytes: meter.u64_counter("tidetrack_feed_bytes").build(),
            feed_reply_bytes: meter.u64_counter("tidetrack_feed_given_bytes").build(),
            shared_tokens: meter.u64_counter("tidetrack_shared_tokens").build(),
            second_runs: meter.u64_counter("tidetrack_second_runs").build(),
            load_probes: meter.u64_counter("tidetrack_load_probes").build(),
            version_sends: meter.u64_counter("tidetrack_version_sends").build(),
            version_attempts: meter.u64_counter("tidetrack_version_attempts").build(),
            evacuated_endpoints: meter.u64_gauge("tidetrack_evacuated_endpoints").build(),
            lost_paths: meter.u64_gauge("tidetrack_lost_paths").build(),
            path_probes: meter.u64_counter("tidetrack_path_probes").build(),
            forwards: meter.u64_counter("tidetrack_forwarded_requests").build(),
            load_rejections: meter.u64_counter("tidetrack_load_rejections").build(),
            refusals: meter.u64_counter("tidetrack_endpoint_refusals").build(),
            held_bytes: meter.u64_gauge("tidetrack_held_bytes").build(),
            request_body_bytes: meter.u64_gauge("tidetrack_request_body_bytes").build(),
            shed_streams: meter.u64_counter("tidetrack_shed_streams").build(),
            first_byte: histogram.with_boundaries(HISTOGRAM_BOUNDS_MS.to_vec()).build(),
            registry,
            _meter_provider: provider,
        })
    }

    /// Counts a finished request by route and result code.
    pub fn record_request(&self, route: &str, result: &str) {
        let labels =
            [KeyValue::new("route", route.to_string()), KeyValue::new("code", result.to_string())];
        self.requests.add(1, &labels);
    }

    /// Counts a request by whether it met the objective of its route.
    pub fn record_objective(&self, route: &str, is_met: bool) {
        let labels = [KeyValue::new("route", route.to_string()), KeyValue::new("good", is_met)];
        self.objective.add(1, &labels);
    }

    /// Counts an attempt at an endpoint by result.
    pub fn record_attempt(&self, result: &'static str) {
        self.attempts.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a connection to an endpoint that was lost during an attempt or could not be
    /// established, by cause.
    pub fn record_disconnect(&self, cause: DisconnectCause) {
        self.disconnects.add(1, &[KeyValue::new("how", cause.as_str())]);
    }

    /// Counts a caller's connection closed by the host, by reason and by whether bytes were left
    /// unread.
    pub fn record_closed_connection(&self, reason: &'static str, has_unread: bool) {
        self.closed_connections
            .add(1, &[KeyValue::new("why", reason), KeyValue::new("unread", has_unread)]);
    }

    /// Counts a connection attempt without any response, by suspected cause.
    pub fn record_silent_connect(&self, suspected_cause: &'static str) {
        self.silent_connects.add(1, &[KeyValue::new("blame", suspected_cause)]);
    }

    /// Counts an attempt whose connection was lost while the endpoint may have been executing it,
    /// by whether the endpoint's process had ended.
    pub fn record_interrupted_attempt(&self, has_ended: bool) {
        self.interrupted_attempts.add(1, &[KeyValue::new("endpoint_ended", has_ended)]);
    }

    /// Adds the time for which the machine was suspended.
    pub fn record_suspension(&self, time: Duration) {
        self.suspended_ms.add(time.as_millis() as u64, &[]);
    }

    /// Counts a call to the store by purpose and result.
    pub fn record_store_call(&self, purpose: CallPurpose, result: &'static str) {
        let labels = [
            KeyValue::new("kind", purpose.kind.as_str()),
            KeyValue::new("cause", purpose.reason.as_str()),
            KeyValue::new("age", purpose.age.as_str()),
            KeyValue::new("result", result),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Counts a message between hosts by result.
    pub fn record_peer_message(&self, result: &'static str) {
        self.peer_messages.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a request for store changes by source and result.
    pub fn record_feed_call(&self, result: &'static str) {
        self.feed_calls.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts the bytes of replies with store changes, by kind, source and whether they contained
    /// anything new.
    pub fn record_feed_bytes(
        &self,
        kind: &'static str,
        source: &'static str,
        is_new: bool,
        bytes: usize,
    ) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("source", source),
            KeyValue::new("news", is_new),
        ];
        self.feed_bytes.add(bytes as u64, &labels);
    }

    /// Counts the bytes of store changes that other hosts requested, by kind and whether they were
    /// sent or declined.
    pub fn record_feed_reply(&self, kind: &'static str, outcome: &'static str, bytes: u64) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("outcome", outcome)];
        self.feed_reply_bytes.add(bytes, &labels);
    }

    /// Counts the tokens of shared prompt prefixes sent to endpoints, by where the prefix was
    /// cached.
    pub fn record_shared_tokens(&self, prefix: &'static str, tokens: u64) {
        self.shared_tokens.add(tokens, &[KeyValue::new("prefix", prefix)]);
    }

    /// Counts responses eligible for a second opinion by a larger model, by the reason for keeping
    /// them or as queried again.
    pub fn record_second_run(&self, outcome: &'static str) {
        self.second_runs.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a pair of probes of candidates, by whether they were answered in time and whether the
    /// alternative was picked.
    pub fn record_load_probe(&self, is_answered: bool, is_alternative_picked: bool) {
        let labels = [
            KeyValue::new("answered", is_answered),
            KeyValue::new("alternative", is_alternative_picked),
        ];
        self.load_probes.add(1, &labels);
    }

    /// Counts an attempt at a service under roll-out, by release track.
    pub fn record_version_send(&self, service: &str, side: &'static str) {
        let labels = [KeyValue::new("service", service.to_string()), KeyValue::new("side", side)];
        self.version_sends.add(1, &labels);
    }

    /// Counts a finished attempt at a version under roll-out, by outcome.
    pub fn record_version_attempt(&self, service: &str, end: &'static str) {
        let labels = [KeyValue::new("service", service.to_string()), KeyValue::new("end", end)];
        self.version_attempts.add(1, &labels);
    }

    /// Records the number of endpoints that are passed over because their failure domain is
    /// evacuated.
    pub fn record_evacuated_endpoints(&self, domain: &str, endpoints: usize) {
        let labels = [KeyValue::new("domain", domain.to_string())];
        self.evacuated_endpoints.record(endpoints as u64, &labels);
    }

    /// Records the number of services to whose endpoints this host has no network path.
    pub fn record_lost_paths(&self, services: usize) {
        self.lost_paths.record(services as u64, &[]);
    }

    /// Counts a probe of an endpoint by its outcome.
    pub fn record_path_probe(&self, outcome: &'static str, is_answered: bool) {
        let labels = [KeyValue::new("answered", is_answered), KeyValue::new("outcome", outcome)];
        self.path_probes.add(1, &labels);
    }

    /// Counts a request that was forwarded to another host, by outcome.
    pub fn record_forward(&self, outcome: &'static str) {
        self.forwards.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request that an endpoint refused, by whether the endpoint falls over from refusing
    /// requests.
    pub fn record_refusal(&self, is_brittle: bool) {
        self.refusals.add(1, &[KeyValue::new("brittle", is_brittle)]);
    }

    /// Records the number of bytes reserved for request bodies.
    pub fn record_request_body_bytes(&self, bytes: u64) {
        self.request_body_bytes.record(bytes, &[]);
    }

    /// Records the number of bytes held for callers.
    pub fn record_held_bytes(&self, bytes: u64) {
        self.held_bytes.record(bytes, &[]);
    }

    /// Counts a response that was aborted because of its slow caller, by reason.
    pub fn record_shed_stream(&self, reason: &'static str) {
        self.shed_streams.add(1, &[KeyValue::new("why", reason)]);
    }

    /// Counts a request that load control rejected, by service and reason.
    pub fn record_load_rejection(&self, service: &str, reason: &'static str) {
        let labels = [KeyValue::new("service", service.to_string()), KeyValue::new("why", reason)];
        self.load_rejections.add(1, &labels);
    }

    /// Counts messages sent to other hosts.
    pub fn record_sent_peer_messages(&self, n: usize) {
        self.peer_messages.add(n as u64, &[KeyValue::new("result", "sent")]);
    }

    /// Records the time to the first byte of a response, in milliseconds.
    pub fn record_first_byte(&self, route: &str, ms: f64) {
        self.first_byte.record(ms, &[KeyValue::new("route", route.to_string())]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn to_text(&self) -> anyhow::Result<Vec<u8>> {
        render(&self.registry)
    }
}
