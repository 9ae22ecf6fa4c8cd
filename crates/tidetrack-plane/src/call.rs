//! One HTTP call on a kept connection: to the store, or to another host.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};

use tidetrack_core::codes::{Code, Ran};
use tidetrack_core::errors::{Error, Result};

use crate::pool::Pool;

/// Largest reply, in bytes: a page of the store is about 1 MB.
const MOST_REPLY: usize = 8 << 20;

/// Makes the error of a call that led to no usable reply.
pub fn down(text: impl Into<String>) -> Error {
    Error::new(Code::PlatformDown, text).with_ran(Ran::Unknown)
}

/// Makes a call to `address`; `name` is what its connections are kept under.
///
/// The connection is kept after a whole reply. In every other case it is closed, for nothing more can
/// be expected on it.
pub async fn call(
    pool: &Pool,
    name: &str,
    address: &str,
    mut req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes)> {
    let mut lease = pool.take(name, address, Duration::MAX).await.map_err(|e| down(e.message))?;
    let host = http::HeaderValue::from_str(address).map_err(|e| down(e.to_string()))?;
    req.headers_mut().insert(http::header::HOST, host);
    let sent = lease.sender.send_request(req).await;
    let (head, body) = sent.map_err(|e| down(e.to_string()))?.into_parts();
    let body = Limited::new(body, MOST_REPLY).collect().await;
    let body = body.map_err(|e| down(e.to_string()))?.to_bytes();
    pool.keep(name, lease, None);
    Ok((head.status, body))
}
