//! Client of the platform's store, with one call at a time per persistent connection.
//!
//! A call that fails or times out closes its connection, since the state of that connection is
//! unknown. Whether a write with a lost reply was executed becomes known with the next read of the
//! object. Writes are conditional on a revision, so a repeated write has no further effect.

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::traffic::list_progress::ListProgress;
use tidetrack_core::traffic::store_position::era_of;
use tidetrack_core::units::Millis;

use crate::call::{self, unavailable_error, CallTimeouts, LargeReplyControl, Reply};
use crate::dialect::{DecodedObject, FeedKind, ListAge, Page, StoreCall, UnreadableObject};
use crate::pool::Pool;
use crate::reply_memory::{ReplyHold, ReplyMemory};
use crate::shared::SharedRef;

/// Timeout for the head of a reply, and between two parts of its body. The store normally responds
/// within milliseconds, and within a few hundred when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum number of unreadable objects logged per reply.
const MAX_LOGGED_OBJECTS: usize = 20;

/// Key of the store in the connection pool.
const POOL_KEY: &str = "store";

/// Why the store is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReason {
    /// This host is starting and received no list from another host.
    Start,
    /// This host watches the store for other hosts.
    Watch,
    /// This host confirms that its configuration is the newest.
    Proof,
    /// Another host reported a change, or a change is required, and no host delivered it.
    Reported,
    /// The store is reachable again after an outage.
    Recovery,
    /// The store does not keep the requested changes any more.
    HistoryGone,
    /// The progress of a roll-out is written.
    Write,
}

impl CallReason {
    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CallReason::Start => "start",
            CallReason::Watch => "watch",
            CallReason::Proof => "proof",
            CallReason::Reported => "told",
            CallReason::Recovery => "return",
            CallReason::HistoryGone => "history_gone",
            CallReason::Write => "write",
        }
    }
}

/// What a call is made for, as counted in metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallPurpose {
    /// Kind of the objects that are read or written.
    pub kind: FeedKind,
    /// Why the call is made.
    pub reason: CallReason,
    /// How old the state in the reply may be.
    pub age: ListAge,
}

/// A client of the store.
pub struct StoreClient {
    shared: SharedRef,
    pool: Pool,
    address: String,
    /// Memory for replies of the store, and of other hosts in its place.
    pub reply_memory: ReplyMemory,
    /// Latest era that the store has reported; `None` before its first reply.
    era: Cell<Option<u64>>,
}

/// All objects of a kind at one revision.
pub struct Listing<'a> {
    /// The objects that could be decoded.
    pub objects: Vec<DecodedObject>,
    /// Names of the objects that could not be decoded.
    pub unreadable: Vec<String>,
    /// The encoded replies of the store, one per page.
    pub pages: Vec<Bytes>,
    /// Position of the first page, from which a watch continues.
    pub revision: u64,
    /// Revision of the newest change among the listed objects.
    pub newest_change: u64,
    /// Time at which the read started, by the host's clock.
    pub started_at: Millis,
    /// Total time in which the bodies of the replies were received.
    pub body_time: Duration,
    /// Memory of the pages.
    pub hold: ReplyHold<'a>,
}

impl<'a> Listing<'a> {
    fn new(started_at: Millis, hold: ReplyHold<'a>) -> Listing<'a> {
        Listing {
            objects: Vec::new(),
            unreadable: Vec::new(),
            pages: Vec::new(),
            revision: 0,
            newest_change: 0,
            started_at,
            body_time: Duration::ZERO,
            hold,
        }
    }
}

impl StoreClient {
    /// Creates a client for the store address of the settings.
    pub fn new(shared: SharedRef) -> StoreClient {
        let address = shared.settings.store_address.to_string();
        let reply_memory = ReplyMemory::new(shared.settings.memory);
        let (pool, era) = (Pool::default(), Cell::new(None));
        StoreClient { shared, pool, address, reply_memory, era }
    }

    /// Calls the store and counts the result. `wait` is the time for which the store may hold back
    /// its reply, and `hold` the reservation of its memory. Fails if the store is unreachable or returns an
    /// error status.
    pub async fn call(
        &self,
        call: &StoreCall,
        purpose: CallPurpose,
        wait: Duration,
        gate: Option<&LargeReplyControl<'_>>,
        hold: &mut ReplyHold<'_>,
    ) -> Result<Reply> {
        let result = self.call_uncounted(call, wait, gate, hold).await;
        let outcome = match &result {
            Ok(_) => "answered",
            Err(e) if e.code == Code::PlatformDown => "failed",
            Err(e) if e.code == Code::ReplyNotNeeded => "dropped",
            Err(_) => "refused",
        };
        self.shared.metrics.record_store_call(purpose, outcome);
        result
    }

    async fn call_uncounted(
        &self,
        call: &StoreCall,
        wait: Duration,
        gate: Option<&LargeReplyControl<'_>>,
        hold: &mut ReplyHold<'_>,
    ) -> Result<Reply> {
        let timeouts = CallTimeouts { head: wait + CALL_TIMEOUT, part: CALL_TIMEOUT };
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call
            .path
            .parse()
            .map_err(|e| unavailable_error(format!("invalid path {}: {e}", call.path)))?;
        if !call.body.is_empty() {
            let json_type = http::HeaderValue::from_static("application/json");
            req.headers_mut().insert(http::header::CONTENT_TYPE, json_type);
        }
        let reply =
            call::call(&self.pool, POOL_KEY, &self.address, req, timeouts, gate, hold).await?;
        self.record_era((self.shared.dialect.store.read_era)(&reply.headers));
        match reply.status {
            StatusCode::OK | StatusCode::CREATED => Ok(reply),
            StatusCode::NOT_FOUND => {
                Err(Error::new(Code::ObjectGone, "the object does not exist in the store"))
            }
            StatusCode::CONFLICT => {
                Err(Error::new(Code::Conflict, "the object was changed by another writer"))
            }
            StatusCode::GONE => Err(Error::new(
                Code::HistoryGone,
                "the store does not keep the requested changes any more",
            )),
            StatusCode::TOO_MANY_REQUESTS => {
                Err(Error::new(Code::PlatformBusy, "the rate limit of the store is exceeded"))
            }
            status => Err(unavailable_error(format!("the store returned status {status}"))),
        }
    }

    /// Returns the latest era that the store has reported; 0 if none.
    pub fn era(&self) -> u64 {
        self.era.get().unwrap_or(0)
    }

    /// Records the era that a reply reports, also one that refuses the call.
    fn record_era(&self, era: u64) {
        let known = self.era.get();
        if known.is_none_or(|known| era > known) {
            self.era.set(Some(era));
        }
        if let Some(known) = known.filter(|known| era > *known) {
            let fields: [(&'static str, &dyn std::fmt::Display); 2] =
                [("era", &era), ("previous", &known)];
            self.shared.journal.log(Event::StoreRestored, &fields);
        }
    }

    /// Lists all objects of a kind, page by page. Fails if the list does not advance or is too large.
    pub async fn list(
        &self,
        purpose: CallPurpose,
        gate: &LargeReplyControl<'_>,
    ) -> Result<Listing<'_>> {
        let CallPurpose { kind, age, .. } = purpose;
        let dialect = &self.shared.dialect.store;
        let started_at = self.shared.now();
        let mut listing = Listing::new(started_at, self.reply_memory.open());
        let mut progress = ListProgress::new(self.shared.settings.memory);
        let mut after: Option<String> = None;
        loop {
            let call = (dialect.list)(kind, after.as_deref(), age);
            let hold = &mut listing.hold;
            let reply = self.call(&call, purpose, Duration::ZERO, Some(gate), hold).await?;
            let era = (dialect.read_era)(&reply.headers);
            if after.is_some() && era != era_of(listing.revision) {
                return Err(unavailable_error("the store was restored while it was listed"));
            }
            let page: Page = (dialect.read_page)(kind, &reply.body)?.in_era(era);
            self.log_unreadable(&page.unreadable);
            listing.objects.extend(page.objects);
            listing.unreadable.extend(page.unreadable.into_iter().map(|object| object.name));
            listing.newest_change = listing.newest_change.max(page.newest_change);
            let next = progress.record_page(reply.body.len(), page.next)?;
            listing.pages.push(reply.body);
            listing.body_time += reply.body_time;
            if after.is_none() {
                listing.revision = page.revision;
            }
            match next {
                Some(name) => after = Some(name),
                None => return Ok(listing),
            }
        }
    }

    /// Logs objects that could not be decoded, up to a maximum that keeps them from crowding out
    /// other lines.
    pub fn log_unreadable(&self, unreadable: &[UnreadableObject]) {
        for (i, object) in unreadable.iter().take(MAX_LOGGED_OBJECTS).enumerate() {
            let omitted_count = match i + 1 {
                MAX_LOGGED_OBJECTS => unreadable.len() - MAX_LOGGED_OBJECTS,
                _ => 0,
            };
            let fields: [(&'static str, &dyn std::fmt::Display); 3] =
                [("name", &object.name), ("why", &object.reason), ("others", &omitted_count)];
            self.shared.journal.log(Event::ConfigRejected, &fields);
        }
    }
}
