//! Reads of endpoints' loads, one endpoint at a time at a bounded rate.
//!
//! Answers carry a load of their own; a read is for endpoints that have not answered of late. The
//! rate of reads does not depend on the number of endpoints.

use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError};

use tidetrack_core::placement::PoolEndpoint;
use tidetrack_core::units::{Millis, Tokens};
use tidetrack_wire::endpoint::LoadReport;

use crate::control::ControlMsg;
use crate::shared::Shared;

/// Seconds that a read may take.
const READ_SECONDS: u64 = 1;

/// A report younger than this is not asked for again.
const YOUNG: Millis = Millis(5_000);

/// Reads loads until `stop` is closed.
pub fn run(shared: Arc<Shared>, stop: Receiver<()>) {
    let every = Duration::from_millis(shared.settings.times.load_read_interval_ms.max(1));
    let mut turn = 0usize;
    while stop.recv_timeout(every) != Err(RecvTimeoutError::Disconnected) {
        let view = shared.view.load();
        let endpoints: Vec<&PoolEndpoint> = view.pool_endpoints().collect();
        if endpoints.is_empty() {
            continue;
        }
        turn = (turn + 1) % endpoints.len();
        let endpoint = endpoints[turn];
        let now = shared.now();
        let young = now - endpoint.state.reported_at() < YOUNG;
        if !young && !endpoint.state.is_leaving() {
            read(&shared, endpoint);
        }
    }
}

fn read(shared: &Shared, endpoint: &PoolEndpoint) {
    let url = format!("http://{}/v1/load", endpoint.address);
    let Ok(response) = minreq::get(url).with_timeout(READ_SECONDS).send() else { return };
    let Ok(report) = serde_json::from_slice::<LoadReport>(response.as_bytes()) else { return };
    let capacity = Tokens(report.capacity_tokens);
    endpoint.state.record_load_report(shared.now(), report.work, capacity);
    if report.leaving {
        let _ = shared.control.send(ControlMsg::EndpointLeaving(endpoint.id.to_string()));
    }
}
