//! Pages for operators and load balancers: health, readiness, metrics, status and facts that bar
//! versions or endpoints.

use std::sync::atomic::Ordering;

use serde::{Deserialize, Serialize};

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::facts::Fact;
use tidetrack_core::message_auth::digest;

use crate::callers::Request;
use crate::control::{ControlMsg, Status};
use crate::outcome::{self, header_value, ResponseHeaders};
use crate::shared::Shared;

/// A plain-text response: HTTP status code and body.
pub struct TextPage(pub u16, pub Vec<u8>);

/// Returns the health page. Its response shows that the process runs.
pub fn health() -> TextPage {
    TextPage(200, b"ok\n".to_vec())
}

/// Returns the readiness page: status 200 if the host accepts requests, otherwise 503 with the
/// reason.
pub fn readiness(shared: &Shared) -> TextPage {
    let is_leaving = shared.is_leaving.load(Ordering::Acquire);
    let readiness_check = match is_leaving {
        true => Err(Error::new(Code::Draining, "the host is shutting down")),
        false => shared.admission.check().and_then(|()| shared.billing.check()),
    };
    match readiness_check {
        Ok(()) => TextPage(200, b"ready\n".to_vec()),
        Err(err) => TextPage(503, format!("{err}\n").into_bytes()),
    }
}

/// Renders the metrics page; status 500 if rendering fails.
pub fn metrics(shared: &Shared) -> TextPage {
    match shared.metrics.render() {
        Ok(text) => TextPage(200, text),
        Err(err) => TextPage(500, format!("{err}\n").into_bytes()),
    }
}

/// Sends a page as the response to a request.
pub fn send_page(request: Request, page: TextPage) {
    let headers = ResponseHeaders::default();
    // A client that disconnected can repeat the request.
    drop(outcome::send_response(request, &headers, page.0, "text/plain; version=0.0.4", page.1));
}

/// Checks that a request carries the operator key. Returns `NoKey` otherwise.
pub fn check_operator(shared: &Shared, request: &Request) -> Result<()> {
    let key = bearer_key(request).unwrap_or_default();
    match digest(key.as_bytes()) == shared.settings.operator_key_digest {
        true => Ok(()),
        false => Err(Error::new(Code::NoKey, "the request does not carry the operator key")),
    }
}

/// Returns the bearer key of a request, or `None` if it has none.
pub fn bearer_key(request: &Request) -> Option<&str> {
    let value = header_value(request, "Authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

/// Returns the status of this host. Returns `Draining` if the control thread has ended.
pub fn status(shared: &Shared) -> Result<Status> {
    let host_stopping = || Error::new(Code::Draining, "the host is shutting down");
    let (reply_sender, reply_receiver) = flume::bounded(1);
    shared.control.send(ControlMsg::Status(reply_sender)).map_err(|_| host_stopping())?;
    reply_receiver.recv().map_err(|_| host_stopping())
}

/// Response to a fact submitted by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactResponse {
    /// Whether the fact was queued for the control thread, which applies it and sends it to the
    /// other hosts.
    #[serde(rename = "taken")]
    pub is_accepted: bool,
}

/// Adds a fact submitted by an operator, so that versions and endpoints can be barred while the
/// object API is down.
pub fn add_fact(shared: &Shared, body: &[u8]) -> Result<FactResponse> {
    let fact: Fact = serde_json::from_slice(body).map_err(outcome::bad_body)?;
    let host_stopping = |_| Error::new(Code::Draining, "the host is shutting down");
    shared.control.send(ControlMsg::AddFact(fact)).map_err(host_stopping)?;
    Ok(FactResponse { is_accepted: true })
}
