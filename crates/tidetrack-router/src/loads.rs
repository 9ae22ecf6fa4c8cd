//! Requests the loads of endpoints, one endpoint at a time at a bounded rate.
//!
//! Responses report the load of their endpoint too, so only endpoints without a recent report are
//! queried. The request rate does not depend on the number of endpoints.

use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError};

use tidetrack_core::placement::PoolEndpoint;
use tidetrack_core::units::{Millis, Tokens};
use tidetrack_wire::endpoint::LoadReport;

use crate::control::ControlMsg;
use crate::shared::Shared;

/// Timeout in seconds of a load request.
const READ_TIMEOUT_SECONDS: u64 = 1;

/// Minimum age of an endpoint's last load report before its load is requested.
const MIN_REPORT_AGE: Millis = Millis(5_000);

/// Requests the load of one endpoint per interval, in rotation, until `stop` is closed.
pub fn run(shared: Arc<Shared>, stop: Receiver<()>) {
    let interval = Duration::from_millis(shared.settings.times.load_read_interval_ms.max(1));
    let mut endpoint_index = 0usize;
    while stop.recv_timeout(interval) != Err(RecvTimeoutError::Disconnected) {
        let view = shared.view.load();
        let endpoints: Vec<&PoolEndpoint> = view.pool_endpoints().collect();
        if endpoints.is_empty() {
            continue;
        }
        endpoint_index = (endpoint_index + 1) % endpoints.len();
        let endpoint = endpoints[endpoint_index];
        let now = shared.now();
        let is_recent = now - endpoint.state.reported_at() < MIN_REPORT_AGE;
        if !is_recent && !endpoint.state.is_leaving() {
            read_load(&shared, endpoint);
        }
    }
}

/// Requests the load of an endpoint and records it. A failed request is ignored; the endpoint is
/// tried again in the next rotation.
fn read_load(shared: &Shared, endpoint: &PoolEndpoint) {
    let url = format!("http://{}/v1/load", endpoint.address);
    let Ok(response) = minreq::get(url).with_timeout(READ_TIMEOUT_SECONDS).send() else { return };
    let Ok(report) = serde_json::from_slice::<LoadReport>(response.as_bytes()) else { return };
    let capacity = Tokens(report.capacity_tokens);
    endpoint.state.record_load_report(shared.now(), report.work, capacity);
    if report.leaving {
        let _ = shared.control.send(ControlMsg::EndpointLeaving(endpoint.id.to_string()));
    }
}
