//! The client of the platform's store: one call at a time on a kept connection.
//!
//! A call that fails or takes too long closes its connection, for nothing more can be expected on
//! it. Whether a write whose reply was lost was done is found out by whoever reads the object next;
//! writes are made under a revision, so one that is made again changes nothing twice.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::events::Event;
use tidetrack_core::units::Millis;

use crate::call::{self, down, Gate, Patience, Reply};
use crate::dialect::{DecodedObject, FeedKind, ListAge, Page, StoreCall, UnreadableObject};
use crate::pool::Pool;
use crate::shared::SharedRef;

/// Longest time for the head of a reply, and between parts of its body; the store answers in milliseconds,
/// and a slow one in some hundred.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Unreadable objects of one reply that are logged.
const MAX_LOGGED_OBJECTS: usize = 20;

/// Name of the store in the pool of connections.
const POOL_KEY: &str = "store";

/// Why the store is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReason {
    /// This host starts, and was given nothing.
    Start,
    /// It watches for others.
    Watch,
    /// It proves that the configuration is the newest.
    Proof,
    /// Another host told of a change, or one is wanted, and nobody gave it.
    Reported,
    /// The store answers again.
    Recovery,
    /// The store has forgotten the changes that were asked for.
    HistoryGone,
    /// A roll-out's progress is written.
    Write,
}

impl CallReason {
    /// Gets the word for it in metrics.
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

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallPurpose {
    /// The kind it is about.
    pub kind: FeedKind,
    /// Why it is made.
    pub reason: CallReason,
    /// How old the reply may be.
    pub age: ListAge,
}

/// A client of the store.
pub struct StoreClient {
    shared: SharedRef,
    pool: Pool,
    address: String,
}

/// A kind as it stood at one revision.
pub struct Listing {
    /// The objects.
    pub objects: Vec<DecodedObject>,
    /// Names of those that could not be read.
    pub unreadable: Vec<String>,
    /// The store's replies that told them.
    pub pages: Vec<Bytes>,
    /// The revision of the first page: a watch goes on from there.
    pub revision: u64,
    /// Revision of the newest change of a listed object.
    pub newest_change: u64,
    /// When the read began.
    pub started_at: Millis,
    /// Time in which the bodies of the replies came.
    pub body_time: Duration,
}

impl Listing {
    fn new(started_at: Millis) -> Listing {
        Listing {
            objects: Vec::new(),
            unreadable: Vec::new(),
            pages: Vec::new(),
            revision: 0,
            newest_change: 0,
            started_at,
            body_time: Duration::ZERO,
        }
    }
}

impl StoreClient {
    /// Makes a client.
    pub fn new(shared: SharedRef) -> StoreClient {
        let address = shared.settings.store_address.to_string();
        StoreClient { shared, pool: Pool::default(), address }
    }

    /// Makes a call; `wait` is how long the store may hold it back.
    pub async fn call(
        &self,
        call: &StoreCall,
        purpose: CallPurpose,
        wait: Duration,
        gate: Option<&Gate<'_>>,
    ) -> Result<Reply> {
        let result = self.call_uncounted(call, wait, gate).await;
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
        gate: Option<&Gate<'_>>,
    ) -> Result<Reply> {
        let patience = Patience { head: wait + CALL_TIMEOUT, part: CALL_TIMEOUT };
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.path.parse().map_err(|e| down(format!("{}: {e}", call.path)))?;
        if !call.body.is_empty() {
            let json_type = http::HeaderValue::from_static("application/json");
            req.headers_mut().insert(http::header::CONTENT_TYPE, json_type);
        }
        let reply = call::call(&self.pool, POOL_KEY, &self.address, req, patience, gate).await?;
        match reply.status {
            StatusCode::OK | StatusCode::CREATED => Ok(reply),
            StatusCode::NOT_FOUND => Err(Error::new(Code::ObjectGone, "no such object")),
            StatusCode::CONFLICT => Err(Error::new(Code::Conflict, "it was changed meanwhile")),
            StatusCode::GONE => Err(Error::new(Code::HistoryGone, "the history is gone")),
            StatusCode::TOO_MANY_REQUESTS => {
                Err(Error::new(Code::PlatformBusy, "the store is over its rate"))
            }
            status => Err(down(format!("the store answered {status}"))),
        }
    }

    /// Lists a kind, page by page.
    pub async fn list(&self, purpose: CallPurpose, gate: &Gate<'_>) -> Result<Listing> {
        let CallPurpose { kind, age, .. } = purpose;
        let dialect = &self.shared.dialect.store;
        let started_at = self.shared.now();
        let mut listing = Listing::new(started_at);
        let mut after: Option<String> = None;
        loop {
            let call = (dialect.list)(kind, after.as_deref(), age);
            let reply = self.call(&call, purpose, Duration::ZERO, Some(gate)).await?;
            let page: Page = (dialect.read_page)(kind, &reply.body)?;
            self.log_unreadable(&page.unreadable);
            listing.objects.extend(page.objects);
            listing.unreadable.extend(page.unreadable.into_iter().map(|object| object.name));
            listing.newest_change = listing.newest_change.max(page.newest_change);
            listing.pages.push(reply.body);
            listing.body_time += reply.body_time;
            if after.is_none() {
                listing.revision = page.revision;
            }
            match page.next_after {
                Some(name) => after = Some(name),
                None => return Ok(listing),
            }
        }
    }

    /// Logs objects that could not be read, as many as do not drown other lines.
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
