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

use crate::call::{self, unavailable_error, CallTimeouts, LargeReplyControl, Reply};
use crate::dialect::{Age, FeedKind, Page, StoreCall, Stored, Unreadable};
use crate::pool::Pool;
use crate::shared::SharedRef;

/// Longest time for the head of a reply, and between parts of its body; the store answers in milliseconds,
/// and a slow one in some hundred.
const CALL_WITHIN: Duration = Duration::from_millis(1_200);

/// Unreadable objects of one reply that are logged.
const MOST_LOGGED: usize = 20;

/// Name of the store in the pool of connections.
const STORE: &str = "store";

/// Why the store is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// This host starts, and was given nothing.
    Start,
    /// It watches for others.
    Watch,
    /// It proves that the configuration is the newest.
    Proof,
    /// Another host told of a change, or one is wanted, and nobody gave it.
    Told,
    /// The store answers again.
    Return,
    /// The store has forgotten the changes that were asked for.
    HistoryGone,
    /// A roll-out's progress is written.
    Write,
}

impl Cause {
    /// Gets the word for it in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Start => "start",
            Cause::Watch => "watch",
            Cause::Proof => "proof",
            Cause::Told => "told",
            Cause::Return => "return",
            Cause::HistoryGone => "history_gone",
            Cause::Write => "write",
        }
    }
}

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purpose {
    /// The kind it is about.
    pub kind: FeedKind,
    /// Why it is made.
    pub cause: Cause,
    /// How old the reply may be.
    pub age: Age,
}

/// A client of the store.
pub struct Store {
    shared: SharedRef,
    pool: Pool,
    address: String,
}

/// A kind as it stood at one revision.
pub struct Listed {
    /// The objects.
    pub objects: Vec<Stored>,
    /// Names of those that could not be read.
    pub unreadable: Vec<String>,
    /// The store's replies that told them.
    pub pages: Vec<Bytes>,
    /// The revision of the first page: a watch goes on from there.
    pub revision: u64,
    /// Revision of the newest change of a listed object.
    pub newest: u64,
    /// When the read began.
    pub began: Millis,
    /// Time in which the bodies of the replies came.
    pub body_time: Duration,
}

impl Listed {
    fn new(began: Millis) -> Listed {
        Listed {
            objects: Vec::new(),
            unreadable: Vec::new(),
            pages: Vec::new(),
            revision: 0,
            newest: 0,
            began,
            body_time: Duration::ZERO,
        }
    }
}

impl Store {
    /// Makes a client.
    pub fn new(shared: SharedRef) -> Store {
        let address = shared.settings.store_address.to_string();
        Store { shared, pool: Pool::default(), address }
    }

    /// Makes a call; `wait` is how long the store may hold it back.
    pub async fn call(
        &self,
        call: &StoreCall,
        purpose: Purpose,
        wait: Duration,
        gate: Option<&LargeReplyControl<'_>>,
    ) -> Result<Reply> {
        let result = self.call_uncounted(call, wait, gate).await;
        let outcome = match &result {
            Ok(_) => "answered",
            Err(e) if e.code == Code::PlatformDown => "failed",
            Err(e) if e.code == Code::ReplyNotNeeded => "dropped",
            Err(_) => "refused",
        };
        self.shared.metrics.store_call(purpose, outcome);
        result
    }

    async fn call_uncounted(
        &self,
        call: &StoreCall,
        wait: Duration,
        gate: Option<&LargeReplyControl<'_>>,
    ) -> Result<Reply> {
        let patience = CallTimeouts { head: wait + CALL_WITHIN, part: CALL_WITHIN };
        let mut req = Request::new(Full::new(call.body.clone()));
        *req.method_mut() = call.method.clone();
        *req.uri_mut() =
            call.path.parse().map_err(|e| unavailable_error(format!("{}: {e}", call.path)))?;
        if !call.body.is_empty() {
            let json = http::HeaderValue::from_static("application/json");
            req.headers_mut().insert(http::header::CONTENT_TYPE, json);
        }
        let reply = call::call(&self.pool, STORE, &self.address, req, patience, gate).await?;
        match reply.status {
            StatusCode::OK | StatusCode::CREATED => Ok(reply),
            StatusCode::NOT_FOUND => Err(Error::new(Code::ObjectGone, "no such object")),
            StatusCode::CONFLICT => Err(Error::new(Code::Conflict, "it was changed meanwhile")),
            StatusCode::GONE => Err(Error::new(Code::HistoryGone, "the history is gone")),
            StatusCode::TOO_MANY_REQUESTS => {
                Err(Error::new(Code::PlatformBusy, "the store is over its rate"))
            }
            status => Err(unavailable_error(format!("the store answered {status}"))),
        }
    }

    /// Lists a kind, page by page.
    pub async fn list(&self, purpose: Purpose, gate: &LargeReplyControl<'_>) -> Result<Listed> {
        let Purpose { kind, age, .. } = purpose;
        let dialect = &self.shared.dialect.store;
        let began = self.shared.now();
        let mut listed = Listed::new(began);
        let mut after: Option<String> = None;
        loop {
            let call = (dialect.list)(kind, after.as_deref(), age);
            let reply = self.call(&call, purpose, Duration::ZERO, Some(gate)).await?;
            let page: Page = (dialect.read_page)(kind, &reply.body)?;
            self.note_unreadable(&page.unreadable);
            listed.objects.extend(page.objects);
            listed.unreadable.extend(page.unreadable.into_iter().map(|object| object.name));
            listed.newest = listed.newest.max(page.newest);
            listed.pages.push(reply.body);
            listed.body_time += reply.body_time;
            if after.is_none() {
                listed.revision = page.revision;
            }
            match page.continues_after {
                Some(name) => after = Some(name),
                None => return Ok(listed),
            }
        }
    }

    /// Logs objects that could not be read, as many as do not drown other lines.
    pub fn note_unreadable(&self, unreadable: &[Unreadable]) {
        for (i, object) in unreadable.iter().take(MOST_LOGGED).enumerate() {
            let others = match i + 1 {
                MOST_LOGGED => unreadable.len() - MOST_LOGGED,
                _ => 0,
            };
            let fields: [(&'static str, &dyn std::fmt::Display); 3] =
                [("name", &object.name), ("why", &object.why), ("others", &others)];
            self.shared.journal.line(Event::ConfigRejected, &fields);
        }
    }
}
