//! Stand-in for a plain service that counts how often each request ran.
//!
//! A `GET` request is counted under `GET` and its path, every other request under the text of its
//! body. `GET /v1/counts` returns the counts.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::{Method, Request};

use tidetrack_wire::headers;

use crate::http::{self, make_header, RunningServer};

/// Faults that the service injects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Number of upcoming calls that run, but whose connection is closed without a response.
    pub lose_next: u32,
    /// Number of upcoming calls that are refused before they run.
    pub refuse_next: u32,
    /// Duration of every call, in milliseconds.
    pub delay_ms: u64,
}

#[derive(Default)]
struct State {
    run_counts: BTreeMap<String, u64>,
    faults: ServiceFaults,
}

/// Handle of the service; clones share its state.
#[derive(Clone, Default)]
pub struct Service {
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts serving on `address`.
    pub fn serve(&self, address: &str) -> Result<RunningServer> {
        let service = self.clone();
        http::serve(address, move |request| service.handle(request))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Replaces the faults that the service injects.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.lock().faults = faults;
    }

    /// Returns how often each request ran, by the text of its body or by `GET` and its path.
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
        self.lock().run_counts.clone()
    }

    fn handle(&self, mut request: Request) {
        let (path, _) = http::split_url(request.url());
        let body = String::from_utf8_lossy(&http::read_body(&mut request)).to_string();
        match path.as_str() {
            "/v1/faults" => match serde_json::from_str(&body) {
                Ok(faults) => {
                    self.set_faults(faults);
                    http::reply_json(request, 200, &"ok");
                }
                Err(e) => http::reply_json(request, 400, &e.to_string()),
            },
            "/v1/counts" => http::reply_json(request, 200, &self.run_counts()),
            _ => self.handle_call(request, &path, body),
        }
    }

    fn handle_call(&self, request: Request, path: &str, body: String) {
        let attempt = http::header(&request, headers::ATTEMPT).unwrap_or_default();
        let is_get = *request.method() == Method::Get;
        let (loses_response, delay_ms, count) = {
            let mut state = self.lock();
            if state.faults.refuse_next > 0 {
                state.faults.refuse_next -= 1;
                drop(state);
                let response = http::text_response(503, "\"refused\"".into())
                    .with_header(make_header(headers::NOT_RUN, "1"))
                    .with_header(make_header(headers::ATTEMPT, &attempt));
                return http::send_response(request, response);
            }
            let key = if is_get { format!("GET {path}") } else { body.clone() };
            let count = state.run_counts.entry(key).or_default();
            *count += 1;
            let count = *count;
            let loses_response = state.faults.lose_next > 0;
            state.faults.lose_next = state.faults.lose_next.saturating_sub(1);
            (loses_response, state.faults.delay_ms, count)
        };
        std::thread::sleep(Duration::from_millis(delay_ms));
        if loses_response {
            return http::close_connection(request);
        }
        let response_body = json!({"path": path, "body": body, "times": count}).to_string();
        let response = http::text_response(200, response_body)
            .with_header(make_header(headers::ATTEMPT, &attempt));
        http::send_response(request, response);
    }
}
