//! Pages for operators and balancers: health, readiness, metrics, status and narrowing facts.

use std::sync::atomic::Ordering;

use serde::{Deserialize, Serialize};

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::facts::Fact;
use tidetrack_core::message_auth::digest;

use crate::callers::Request;
use crate::control::{Msg, Status};
use crate::outcome::{self, header_value, ResponseHeaders};
use crate::shared::Shared;

/// A page of plain text: status and body.
pub struct Page(pub u16, pub Vec<u8>);

/// Answers whether the process runs.
pub fn health() -> Page {
    Page(200, b"ok\n".to_vec())
}

/// Answers whether the host takes requests, and if not, why.
pub fn readiness(shared: &Shared) -> Page {
    let leaving = shared.leaving.load(Ordering::Acquire);
    let ready = match leaving {
        true => Err(Error::new(Code::Draining, "the host is leaving")),
        false => shared.gate.check().and_then(|()| shared.billing.check()),
    };
    match ready {
        Ok(()) => Page(200, b"ready\n".to_vec()),
        Err(e) => Page(503, format!("{e}\n").into_bytes()),
    }
}

/// Renders the metrics.
pub fn metrics(shared: &Shared) -> Page {
    match shared.metrics.text() {
        Ok(text) => Page(200, text),
        Err(e) => Page(500, format!("{e}\n").into_bytes()),
    }
}

/// Sends a page.
pub fn send(request: Request, page: Page) {
    let headers = ResponseHeaders::default();
    // Whoever asked and left will ask again.
    drop(outcome::send_response(request, &headers, page.0, "text/plain; version=0.0.4", page.1));
}

/// Checks that a request carries the operators' key.
pub fn check_operator(shared: &Shared, request: &Request) -> Result<()> {
    let key = bearer(request).unwrap_or_default();
    match digest(key.as_bytes()) == shared.settings.operator_key_digest {
        true => Ok(()),
        false => Err(Error::new(Code::NoKey, "the operators' key is needed")),
    }
}

/// Gets the key that a request carries.
pub fn bearer(request: &Request) -> Option<&str> {
    let value = header_value(request, "Authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
}

/// Gets the host's state.
pub fn status(shared: &Shared) -> Result<Status> {
    let ends = || Error::new(Code::Draining, "the host ends");
    let (tx, rx) = flume::bounded(1);
    shared.control.send(Msg::Status(tx)).map_err(|_| ends())?;
    rx.recv().map_err(|_| ends())
}

/// The answer to a fact that was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FactTaken {
    /// The host knows it now and passes it on.
    pub taken: bool,
}

/// Takes a narrowing fact from an operator, for when the object API is down.
pub fn take_fact(shared: &Shared, body: &[u8]) -> Result<FactTaken> {
    let fact: Fact = serde_json::from_slice(body).map_err(outcome::bad_body)?;
    let ends = |_| Error::new(Code::Draining, "the host ends");
    shared.control.send(Msg::Learn(fact)).map_err(ends)?;
    Ok(FactTaken { taken: true })
}
