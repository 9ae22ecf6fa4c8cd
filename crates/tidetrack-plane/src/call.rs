//! One HTTP call on a kept connection: to the store, or to another host.

use std::cell::Cell;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::Instant;

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::disconnect::format_error_chain;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::traffic::feeds::LARGE_REPLY_BYTES;

use crate::pool::Pool;

/// Largest reply, in bytes: a page of the store is about 1 MB.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// Pause between words that a reply is coming in: half of the time after which a try of which nothing
/// is heard is made again.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Rate below which a large reply is slow, in bytes a second: a third of a link of 10 Mbit/s. A
/// configuration of 1 MB is then 2.5 s on its way, and a fleet's bound on it is 3 s.
const MIN_RATE: f64 = 400_000.0;

/// Time in which a reply may gather pace.
const RATE_GRACE_PERIOD: Duration = Duration::from_millis(500);

/// How many times as fast as the first slow reply a second one is that goes on beside it: less saves no
/// time that is worth keeping others out.
const MIN_SPEEDUP: f64 = 2.0;

/// Makes the error of a reply that is not read to its end.
fn too_large_error() -> Error {
    let text = format!("the reply is larger than {MAX_REPLY_BYTES} bytes");
    Error::new(Code::ReplyTooLarge, text).with_executed(Executed::Unknown)
}

/// Makes the error of a call that led to no usable reply.
pub fn unavailable_error(text: impl Into<String>) -> Error {
    Error::new(Code::PlatformDown, text).with_executed(Executed::Unknown)
}

/// Makes the error of a reply that became needless before it had come.
pub fn not_needed_error() -> Error {
    Error::new(Code::ReplyNotNeeded, "another reply brought the changes")
}

/// Makes the error of a reply that was given up for one that comes about as fast.
fn too_slow_error() -> Error {
    Error::new(Code::ReplyNotNeeded, "another slow reply comes about as fast")
}

/// How long a call may stand still.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Until the head of the reply.
    pub head: Duration,
    /// Until each next part of its body.
    pub part: Duration,
}

/// Lets large replies about one matter in one at a time. Two copies of the same bytes share the way:
/// each takes twice as long, and what is small and urgent waits behind both: on a link of 10 Mbit/s six
/// copies of a configuration of 1 MB hold it up for over four seconds.
///
/// A reply that comes too slowly lets another one in beside it: it is often its giver's way that is
/// crowded, and elsewhere the same bytes may be had at once. So may they when the other one is slow too;
/// it gives way to a third then, and the first one goes on, so that one of them always ends.
pub struct LargeReplyLimiter {
    permits: Semaphore,
    /// Rate of the reply that has let another one in, in bytes a second.
    slow_rate: Cell<Option<f64>>,
}

impl Default for LargeReplyLimiter {
    fn default() -> LargeReplyLimiter {
        LargeReplyLimiter { permits: Semaphore::new(1), slow_rate: Cell::new(None) }
    }
}

/// How fast a large reply comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RateClass {
    /// At the least rate or more.
    Fast,
    /// Below it.
    Slow,
    /// Below it, and not much faster than another slow one.
    TooSlow,
}

impl LargeReplyLimiter {
    /// Tells whether a large reply is coming in, and another one would not be let in.
    pub fn is_busy(&self) -> bool {
        self.permits.available_permits() == 0
    }

    /// Waits until a large reply would be let in.
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

/// The turn of one large reply.
struct ReplyPermit<'a> {
    limiter: &'a LargeReplyLimiter,
    permit: Option<SemaphorePermit<'a>>,
    started_at: Instant,
    /// Whether it is this reply that has let another one in.
    has_admitted_another: bool,
}

impl ReplyPermit<'_> {
    /// Takes note that so many bytes have come in this turn; tells how fast that is.
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
            // The turn was given to another reply already.
            self.limiter.slow_rate.set(None);
            permit.forget();
        }
    }
}

/// What a call does about a large reply.
pub struct LargeReplyControl<'a> {
    /// Where large replies wait for each other.
    pub limiter: &'a LargeReplyLimiter,
    /// Tells whether the reply has become needless while it waited.
    pub is_obsolete: Box<dyn Fn() -> bool + 'a>,
    /// Is called now and then while the reply comes in.
    pub on_progress: Box<dyn Fn() + 'a>,
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

/// Makes a call to `address`; `name` is what its connections are kept under. A large reply passes the
/// gate, where there is one.
///
/// The connection is kept after a whole reply. In every other case it is closed, for nothing more can
/// be expected on it.
pub async fn call(
    pool: &Pool,
    name: &str,
    address: &str,
    mut req: Request<Full<Bytes>>,
    timeouts: CallTimeouts,
    control: Option<&LargeReplyControl<'_>>,
) -> Result<Reply> {
    let until = Instant::now() + timeouts.head;
    let timeout_error = |_| unavailable_error("no reply in time");
    let acquired = tokio::time::timeout_at(until, pool.acquire(name, address, Duration::MAX));
    let mut lease =
        acquired.await.map_err(timeout_error)?.map_err(|e| unavailable_error(e.message))?;
    let host_header =
        http::HeaderValue::from_str(address).map_err(|e| unavailable_error(e.to_string()))?;
    req.headers_mut().insert(http::header::HOST, host_header);
    let response = tokio::time::timeout_at(until, lease.sender.send_request(req));
    let (head, body) = response
        .await
        .map_err(timeout_error)?
        .map_err(|e| unavailable_error(format_error_chain(&e)))?
        .into_parts();
    let head_at = Instant::now();
    let body = collect(body, timeouts.part, control).await?;
    pool.release(name, lease, None);
    Ok(Reply { status: head.status, body, body_time: head_at.elapsed() })
}

/// Collects a body whose parts follow each other within `part`; a large one waits for its turn.
async fn collect(
    body: Incoming,
    part_timeout: Duration,
    control: Option<&LargeReplyControl<'_>>,
) -> Result<Bytes> {
    let min_len = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut body = std::pin::pin!(Limited::new(body, MAX_REPLY_BYTES));
    let mut collected = BytesMut::new();
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
                // Dropped, its connection is closed, and nothing more of it comes.
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
        // A small reply that is no slower than a large one may be has come before anybody asks again; one
        // that drips must not keep its change from being got elsewhere.
        let is_progress_due =
            rate_class == Some(RateClass::Fast) && last_progress_at.elapsed() >= PROGRESS_INTERVAL;
        if let Some(control) = control.filter(|_| is_progress_due) {
            last_progress_at = Instant::now();
            (control.on_progress)();
        }
        let frame = tokio::time::timeout(part_timeout, body.frame()).await;
        match frame.map_err(|_| unavailable_error("the reply stopped in the middle"))? {
            Some(Ok(frame)) => {
                collected.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()))
            }
            Some(Err(e)) if e.is::<LengthLimitError>() => return Err(too_large_error()),
            Some(Err(e)) => return Err(unavailable_error(format_error_chain(e.as_ref()))),
            None => return Ok(collected.freeze()),
        }
    }
}
