//! One HTTP call on a kept connection: to the store, or to another host.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;

use tidetrack_core::codes::{Code, Ran};
use tidetrack_core::errors::{Error, Result};

use crate::pool::Pool;

/// Largest reply, in bytes: a page of the store is about 1 MB.
const MOST_REPLY: usize = 8 << 20;

/// Makes the error of a call that led to no usable reply.
pub fn down(text: impl Into<String>) -> Error {
    Error::new(Code::PlatformDown, text).with_ran(Ran::Unknown)
}

/// How long a call may stand still.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Until the head of the reply.
    pub head: Duration,
    /// Until each next part of its body. A large reply that comes slowly, because many ask at once, is
    /// waited for: asking anew would only add to the crowd.
    pub part: Duration,
}

/// A reply that came as a whole.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
    /// Time from its head to the end of its body: long on a crowded way.
    pub body_time: Duration,
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
    patience: Patience,
) -> Result<Reply> {
    let until = tokio::time::Instant::now() + patience.head;
    let late = |_| down("no reply in time");
    let taken = tokio::time::timeout_at(until, pool.take(name, address, Duration::MAX));
    let mut lease = taken.await.map_err(late)?.map_err(|e| down(e.message))?;
    let host = http::HeaderValue::from_str(address).map_err(|e| down(e.to_string()))?;
    req.headers_mut().insert(http::header::HOST, host);
    let sent = tokio::time::timeout_at(until, lease.sender.send_request(req));
    let (head, body) = sent.await.map_err(late)?.map_err(|e| down(e.to_string()))?.into_parts();
    let head_came = tokio::time::Instant::now();
    let body = collect(body, patience.part).await?;
    pool.keep(name, lease, None);
    Ok(Reply { status: head.status, body, body_time: head_came.elapsed() })
}

/// Collects a body whose parts follow each other within `part`.
async fn collect(body: Incoming, part: Duration) -> Result<Bytes> {
    let mut body = std::pin::pin!(Limited::new(body, MOST_REPLY));
    let mut all = BytesMut::new();
    loop {
        let frame = tokio::time::timeout(part, body.frame()).await;
        match frame.map_err(|_| down("the reply stopped in the middle"))? {
            Some(Ok(frame)) => all.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Some(Err(e)) => return Err(down(e.to_string())),
            None => return Ok(all.freeze()),
        }
    }
}
