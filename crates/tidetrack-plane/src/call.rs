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
const MOST_REPLY: usize = 8 << 20;

/// Pause between words that a reply is coming in: half of the time after which a try of which nothing
/// is heard is made again.
const WORD_EVERY: Duration = Duration::from_millis(200);

/// Rate below which a large reply is slow, in bytes a second: a third of a link of 10 Mbit/s. A
/// configuration of 1 MB is then 2.5 s on its way, and a fleet's bound on it is 3 s.
const LEAST_RATE: f64 = 400_000.0;

/// Time in which a reply may gather pace.
const SLOW_AFTER: Duration = Duration::from_millis(500);

/// How many times as fast as the first slow reply a second one is that goes on beside it: less saves no
/// time that is worth keeping others out.
const FASTER_BY: f64 = 2.0;

/// Makes the error of a reply that is not read to its end.
fn too_large() -> Error {
    let text = format!("the reply is larger than {MOST_REPLY} bytes");
    Error::new(Code::ReplyTooLarge, text).with_executed(Executed::Unknown)
}

/// Makes the error of a call that led to no usable reply.
pub fn down(text: impl Into<String>) -> Error {
    Error::new(Code::PlatformDown, text).with_executed(Executed::Unknown)
}

/// Makes the error of a reply that became needless before it had come.
pub fn needless() -> Error {
    Error::new(Code::ReplyNotNeeded, "another reply brought the changes")
}

/// Makes the error of a reply that was given up for one that comes about as fast.
fn too_slow() -> Error {
    Error::new(Code::ReplyNotNeeded, "another slow reply comes about as fast")
}

/// How long a call may stand still.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
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
pub struct OneAtATime {
    turns: Semaphore,
    /// Rate of the reply that has let another one in, in bytes a second.
    slow: Cell<Option<f64>>,
}

impl Default for OneAtATime {
    fn default() -> OneAtATime {
        OneAtATime { turns: Semaphore::new(1), slow: Cell::new(None) }
    }
}

/// How fast a large reply comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    /// At the least rate or more.
    Fast,
    /// Below it.
    Slow,
    /// Below it, and not much faster than another slow one.
    TooSlow,
}

impl OneAtATime {
    /// Tells whether a large reply is coming in, and another one would not be let in.
    pub fn is_taken(&self) -> bool {
        self.turns.available_permits() == 0
    }

    /// Waits until a large reply would be let in.
    pub async fn is_free(&self) {
        // The semaphore is never closed.
        drop(self.turns.acquire().await);
    }

    async fn turn(&self) -> Turn<'_> {
        let permit = self.turns.acquire().await.ok();
        Turn { turns: self, permit, began: Instant::now(), has_let_in: false }
    }
}

/// The turn of one large reply.
struct Turn<'a> {
    turns: &'a OneAtATime,
    permit: Option<SemaphorePermit<'a>>,
    began: Instant,
    /// Whether it is this reply that has let another one in.
    has_let_in: bool,
}

impl Turn<'_> {
    /// Takes note that so many bytes have come in this turn; tells how fast that is.
    fn has_come(&mut self, bytes: usize) -> Pace {
        let took = self.began.elapsed();
        let rate = bytes as f64 / took.as_secs_f64();
        if self.has_let_in {
            self.turns.slow.set(Some(rate));
        }
        if took < SLOW_AFTER || rate >= LEAST_RATE {
            return Pace::Fast;
        }
        match self.turns.slow.get() {
            Some(first) if !self.has_let_in && rate < first * FASTER_BY => Pace::TooSlow,
            Some(_) => Pace::Slow,
            None => {
                self.has_let_in = true;
                self.turns.slow.set(Some(rate));
                self.turns.turns.add_permits(1);
                Pace::Slow
            }
        }
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take().filter(|_| self.has_let_in) {
            // The turn was given to another reply already.
            self.turns.slow.set(None);
            permit.forget();
        }
    }
}

/// What a call does about a large reply.
pub struct Gate<'a> {
    /// Where large replies wait for each other.
    pub turns: &'a OneAtATime,
    /// Tells whether the reply has become needless while it waited.
    pub is_needless: Box<dyn Fn() -> bool + 'a>,
    /// Is called now and then while the reply comes in.
    pub is_coming: Box<dyn Fn() + 'a>,
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
    patience: Patience,
    gate: Option<&Gate<'_>>,
) -> Result<Reply> {
    let until = Instant::now() + patience.head;
    let late = |_| down("no reply in time");
    let taken = tokio::time::timeout_at(until, pool.take(name, address, Duration::MAX));
    let mut lease = taken.await.map_err(late)?.map_err(|e| down(e.message))?;
    let host = http::HeaderValue::from_str(address).map_err(|e| down(e.to_string()))?;
    req.headers_mut().insert(http::header::HOST, host);
    let sent = tokio::time::timeout_at(until, lease.sender.send_request(req));
    let (head, body) =
        sent.await.map_err(late)?.map_err(|e| down(format_error_chain(&e)))?.into_parts();
    let head_came = Instant::now();
    let body = collect(body, patience.part, gate).await?;
    pool.keep(name, lease, None);
    Ok(Reply { status: head.status, body, body_time: head_came.elapsed() })
}

/// Collects a body whose parts follow each other within `part`; a large one waits for its turn.
async fn collect(body: Incoming, part: Duration, gate: Option<&Gate<'_>>) -> Result<Bytes> {
    let least = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut body = std::pin::pin!(Limited::new(body, MOST_REPLY));
    let mut all = BytesMut::new();
    let mut turn: Option<Turn<'_>> = None;
    let mut before = 0;
    let mut told_at = Instant::now();
    loop {
        if let Some(gate) =
            gate.filter(|_| turn.is_none() && all.len().max(least) >= LARGE_REPLY_BYTES)
        {
            turn = Some(gate.turns.turn().await);
            before = all.len();
            if (gate.is_needless)() {
                // Dropped, its connection is closed, and nothing more of it comes.
                return Err(needless());
            }
        }
        let pace = turn.as_mut().map(|turn| turn.has_come(all.len() - before));
        if gate.is_some_and(|gate| pace == Some(Pace::Slow) && (gate.is_needless)()) {
            return Err(needless());
        }
        if pace == Some(Pace::TooSlow) {
            return Err(too_slow());
        }
        // A small reply that is no slower than a large one may be has come before anybody asks again; one
        // that drips must not keep its change from being got elsewhere.
        let is_word_due = pace == Some(Pace::Fast) && told_at.elapsed() >= WORD_EVERY;
        if let Some(gate) = gate.filter(|_| is_word_due) {
            told_at = Instant::now();
            (gate.is_coming)();
        }
        let frame = tokio::time::timeout(part, body.frame()).await;
        match frame.map_err(|_| down("the reply stopped in the middle"))? {
            Some(Ok(frame)) => all.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
            Some(Err(e)) if e.is::<LengthLimitError>() => return Err(too_large()),
            Some(Err(e)) => return Err(down(format_error_chain(e.as_ref()))),
            None => return Ok(all.freeze()),
        }
    }
}
