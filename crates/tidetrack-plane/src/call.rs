//! One HTTP call to the store or to another host, on a pooled connection.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::Instant;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::disconnect::format_error_chain;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::traffic::feeds::LARGE_REPLY_BYTES;

use crate::pool::{Pool, UsedConnections};
use crate::reply_memory::{ReplyHold, Segments};

/// Interval of reports that a reply is arriving: half of the time after which a request without any
/// sign of a reply is repeated.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Rate in bytes per second below which a large reply is slow: a third of a link of 10 Mbit/s. At
/// this rate a configuration of 1 MB takes 2.5 s, and it must reach the whole fleet within 3 s.
const MIN_RATE: f64 = 400_000.0;

/// Time in which a reply may reach its full rate, before the rate is evaluated.
const RATE_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// Minimum ratio between the rate of a second slow reply and that of the first one for both to
/// continue. A smaller ratio does not save enough time to justify blocking other replies.
const MIN_SPEEDUP: f64 = 2.0;

/// Returns the error for a reply that exceeds the maximum size.
fn too_large_error(max_bytes: usize) -> Error {
    let text = format!("the reply is larger than {max_bytes} bytes");
    Error::new(Code::ReplyTooLarge, text).with_executed(Executed::Unknown)
}

/// Returns the error for a call that produced no usable reply.
pub fn unavailable_error(text: impl Into<String>) -> Error {
    Error::new(Code::PlatformDown, text).with_executed(Executed::Unknown)
}

/// Returns the error for a reply that became obsolete before it was complete.
pub fn not_needed_error() -> Error {
    Error::new(Code::ReplyNotNeeded, "the reply is obsolete: another one delivered the changes")
}

/// Returns the error for a reply that was abandoned because another one is about as fast.
fn too_slow_error() -> Error {
    Error::new(Code::ReplyNotNeeded, "the reply is too slow: another slow one is about as fast")
}

/// How long a call may make no progress.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Maximum time until the head of the reply is received.
    pub head: Duration,
    /// Maximum time between two parts of the body.
    pub part: Duration,
}

/// Limits concurrent large replies with the same content to one. Two copies of the same bytes share
/// the link: each takes twice as long, and small urgent messages wait behind both. On a link of 10
/// Mbit/s six copies of a configuration of 1 MB delay them by more than four seconds.
///
/// A reply that is too slow admits another one next to it: often only the link of its sender is
/// congested, and another sender can deliver the same bytes at once. If the second reply is slow
/// too, it is abandoned and a third one is admitted. The first reply always continues, so one of
/// them always completes.
pub struct LargeReplyLimiter {
    permits: Semaphore,
    /// Rate in bytes per second of the reply that admitted another one; `None` if there is no such
    /// reply.
    slow_rate: Cell<Option<f64>>,
}

impl Default for LargeReplyLimiter {
    fn default() -> LargeReplyLimiter {
        LargeReplyLimiter { permits: Semaphore::new(1), slow_rate: Cell::new(None) }
    }
}

/// Rate of a large reply compared with the minimum rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RateClass {
    /// At least the minimum rate.
    Fast,
    /// Below the minimum rate.
    Slow,
    /// Below the minimum rate, and not much faster than another slow reply.
    TooSlow,
}

impl LargeReplyLimiter {
    /// Reports whether a large reply is arriving and no other one would be admitted.
    pub fn is_busy(&self) -> bool {
        self.permits.available_permits() == 0
    }

    /// Waits until a large reply would be admitted.
    pub async fn wait_until_free(&self) {
        // The semaphore is never closed.
        drop(self.permits.acquire().await);
    }

    async fn acquire(&self) -> ReplyPermit<'_> {
        let permit = self.permits.acquire().await.ok();
        ReplyPermit {
            limiter: self,
            permit,
            started_at: Instant::now(),
            has_admitted_another: false,
        }
    }
}

/// Permission for one large reply to be received.
struct ReplyPermit<'a> {
    limiter: &'a LargeReplyLimiter,
    permit: Option<SemaphorePermit<'a>>,
    started_at: Instant,
    /// Whether this reply has admitted another one.
    has_admitted_another: bool,
}

impl ReplyPermit<'_> {
    /// Records the number of bytes received since the permit was acquired, and returns the class of
    /// their rate. Admits another reply if this one is the first slow one.
    fn record_progress(&mut self, bytes: usize) -> RateClass {
        let elapsed = self.started_at.elapsed();
        let rate = bytes as f64 / elapsed.as_secs_f64();
        if self.has_admitted_another {
            self.limiter.slow_rate.set(Some(rate));
        }
        if elapsed < RATE_GRACE_PERIOD || rate >= MIN_RATE {
            return RateClass::Fast;
        }
        match self.limiter.slow_rate.get() {
            Some(first_rate) if !self.has_admitted_another && rate < first_rate * MIN_SPEEDUP => {
                RateClass::TooSlow
            }
            Some(_) => RateClass::Slow,
            None => {
                self.has_admitted_another = true;
                self.limiter.slow_rate.set(Some(rate));
                self.limiter.permits.add_permits(1);
                RateClass::Slow
            }
        }
    }
}

impl Drop for ReplyPermit<'_> {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take().filter(|_| self.has_admitted_another) {
            // The permit was already passed on to another reply.
            self.limiter.slow_rate.set(None);
            permit.forget();
        }
    }
}

/// How a call treats a large reply.
pub struct LargeReplyControl<'a> {
    /// Limits how many large replies are received at once.
    pub limiter: &'a LargeReplyLimiter,
    /// Reports whether the reply has become obsolete because another one delivered its changes.
    pub is_obsolete: Box<dyn Fn() -> bool + 'a>,
    /// Called at most once per `PROGRESS_INTERVAL` while the reply arrives and is not slow.
    pub on_progress: Box<dyn Fn() + 'a>,
}

/// A reply that was received completely.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers, by which a store reports its era.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time from the head of the reply to the end of its body; long if the network path is
    /// congested.
    pub body_time: Duration,
}

/// Sends a request to `address` and returns the complete reply. `name` is the key of the
/// connections in the pool. A large reply is subject to `control` if there is one. The memory of the
/// body is reserved in `hold`, which the caller keeps until the body is dropped.
///
/// The connection returns to the pool after a complete reply. Otherwise it is closed, because
/// unread data may still arrive on it.
pub async fn call(
    pool: &Pool,
    name: &str,
    address: &str,
    mut req: Request<Full<Bytes>>,
    timeouts: CallTimeouts,
    control: Option<&LargeReplyControl<'_>>,
    hold: &mut ReplyHold<'_>,
) -> Result<Reply> {
    let deadline = Instant::now() + timeouts.head;
    let timeout_error = |_| unavailable_error("no reply within the time limit");
    let used = UsedConnections::default();
    let acquired = pool.acquire(name, address, Duration::MAX, &used);
    let acquired = tokio::time::timeout_at(deadline, acquired);
    let mut lease =
        acquired.await.map_err(timeout_error)?.map_err(|e| unavailable_error(e.message))?;
    let host_header =
        http::HeaderValue::from_str(address).map_err(|e| unavailable_error(e.to_string()))?;
    req.headers_mut().insert(http::header::HOST, host_header);
    let response =
        tokio::time::timeout_at(deadline, lease.sender.send_request(req.map(Into::into)));
    let (head, body) = response
        .await
        .map_err(timeout_error)?
        .map_err(|e| unavailable_error(format_error_chain(&e)))?
        .into_parts();
    let head_received_at = Instant::now();
    let body = collect(body, timeouts.part, control, hold).await?;
    pool.release(name, lease, None);
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body,
        body_time: head_received_at.elapsed(),
    })
}

/// Reads a body whose parts arrive within `part_timeout` of each other. A large body waits for a
/// permit.
async fn collect(
    body: Incoming,
    part_timeout: Duration,
    control: Option<&LargeReplyControl<'_>>,
    hold: &mut ReplyHold<'_>,
) -> Result<Bytes> {
    let min_len = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let max_len = hold.max_reply_bytes();
    if min_len > max_len {
        return Err(too_large_error(max_len));
    }
    let mut body = std::pin::pin!(Limited::new(body, max_len));
    let mut collected = Segments::default();
    let mut permit: Option<ReplyPermit<'_>> = None;
    let mut permit_start_len = 0;
    let mut last_progress_at = Instant::now();
    loop {
        if let Some(control) = control
            .filter(|_| permit.is_none() && collected.len().max(min_len) >= LARGE_REPLY_BYTES)
        {
            permit = Some(control.limiter.acquire().await);
            permit_start_len = collected.len();
            if (control.is_obsolete)() {
                // Returning drops the body, which closes the connection and stops the transfer.
                return Err(not_needed_error());
            }
        }
        let rate_class = permit
            .as_mut()
            .map(|permit| permit.record_progress(collected.len() - permit_start_len));
        if control
            .is_some_and(|control| rate_class == Some(RateClass::Slow) && (control.is_obsolete)())
        {
            return Err(not_needed_error());
        }
        if rate_class == Some(RateClass::TooSlow) {
            return Err(too_slow_error());
        }
        // A small reply at a normal rate arrives before another request is due. A slow one must not
        // be reported as arriving, because that would prevent its changes from being requested
        // elsewhere.
        let is_progress_due =
            rate_class == Some(RateClass::Fast) && last_progress_at.elapsed() >= PROGRESS_INTERVAL;
        if let Some(control) = control.filter(|_| is_progress_due) {
            last_progress_at = Instant::now();
            (control.on_progress)();
        }
        let frame = tokio::time::timeout(part_timeout, body.frame()).await;
        match frame.map_err(|_| {
            unavailable_error("the body of the reply stalled for longer than the time limit")
        })? {
            Some(Ok(frame)) => {
                let data = frame.data_ref().map_or(&[][..], |data| data);
                collected.append(data, hold).await?;
            }
            Some(Err(e)) if e.is::<LengthLimitError>() => return Err(too_large_error(max_len)),
            Some(Err(e)) => return Err(unavailable_error(format_error_chain(e.as_ref()))),
            None => return Ok(collected.finish()),
        }
    }
}
