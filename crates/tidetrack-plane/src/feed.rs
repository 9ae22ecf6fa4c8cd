//! Changes of the store, passed from host to host.
//!
//! Each host keeps the newest changes it got, as the store told them, and gives them to hosts that
//! ask. The question is a plain HTTP request on a kept connection: the reply is bytes of the store,
//! which a remote procedure call would only wrap once more.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use serde::{Deserialize, Serialize};

use tidetrack_core::errors::Result;
use tidetrack_core::events::Event;
use tidetrack_core::traffic::feeds::{FeedKind, ReplyLimiter};
use tidetrack_core::units::Millis;

use crate::call::{call, down, Gate, Patience, Reply};
use crate::pool::Pool;
use crate::server::{listen, serve_pages};
use crate::shared::{Shared, SharedRef};

/// Bytes of changes kept of a kind. A configuration of some hundred routes is about 100 KB; the memory
/// of a host is priced.
const MAX_LOG_BYTES: usize = 256 << 10;

/// Longest time that an answer of another host stands still, in which the change can still be got elsewhere.
const REPLY_STALL_TIMEOUT: Duration = Duration::from_millis(350);

/// Bytes of a reply that go out at a time.
const MAX_FRAME_BYTES: usize = 32 << 10;

/// Some changes, as the store told them at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// All changes up to this revision are told with it and those before it.
    pub newest_revision: u64,
    /// The store's reply.
    pub bytes: Vec<u8>,
}

/// A list of a kind, as the store told it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListSnapshot {
    /// The revision it was taken at.
    pub revision: u64,
    /// The store's replies, page by page.
    pub pages: Vec<Vec<u8>>,
}

/// The newest changes of a kind.
#[derive(Clone, Debug, Default)]
pub struct FeedLog {
    /// Whether the newest change tells all of the kind.
    is_single_object: bool,
    /// The list that the changes follow, until the oldest of them have been dropped.
    list: Option<ListSnapshot>,
    /// Changes after this revision are kept.
    base_revision: u64,
    /// All changes up to this revision are known.
    newest_revision: u64,
    batches: VecDeque<ChangeBatch>,
    bytes: usize,
}

impl FeedLog {
    /// Makes the log of a kind of which nothing is known.
    pub fn new(kind: FeedKind) -> FeedLog {
        FeedLog { is_single_object: kind.is_single_object(), ..FeedLog::default() }
    }

    /// Gets the revision up to which all changes are known; 0 if the kind was never listed.
    pub fn position(&self) -> u64 {
        self.newest_revision
    }

    /// Begins anew after a list; tells whether it is as new as what is known.
    pub fn reset_to_list(&mut self, list: ListSnapshot) -> bool {
        if list.revision < self.newest_revision {
            return false;
        }
        let (revision, is_single_object) = (list.revision, self.is_single_object);
        *self = FeedLog {
            is_single_object,
            base_revision: revision,
            newest_revision: revision,
            list: Some(list),
            ..FeedLog::default()
        };
        true
    }

    /// Takes note that nothing else changed up to `newest_revision`.
    pub fn advance(&mut self, newest_revision: u64) {
        self.newest_revision = self.newest_revision.max(newest_revision);
    }

    /// Keeps changes; tells whether they are new. Old ones must not be applied, for they would undo
    /// later ones.
    pub fn push(&mut self, batch: ChangeBatch) -> bool {
        if batch.newest_revision <= self.newest_revision {
            return false;
        }
        if self.is_single_object {
            // What came before is of no use to anybody, and may be a megabyte.
            *self = FeedLog { is_single_object: true, ..FeedLog::default() };
        }
        self.newest_revision = batch.newest_revision;
        self.bytes += batch.bytes.len();
        self.batches.push_back(batch);
        while self.bytes > MAX_LOG_BYTES && self.batches.len() > 1 {
            if let Some(oldest) = self.batches.pop_front() {
                self.bytes -= oldest.bytes.len();
                self.base_revision = oldest.newest_revision;
                self.list = None;
            }
        }
        true
    }

    /// Gets what brings another host from a revision to the newest one, or `None` if that is not kept.
    pub fn changes_after(&self, revision: u64) -> Option<FeedReply> {
        let list = self.list.as_ref().filter(|_| revision < self.base_revision);
        if revision < self.base_revision && list.is_none() {
            return None;
        }
        let batches =
            self.batches.iter().filter(|c| c.newest_revision > revision).cloned().collect();
        Some(FeedReply {
            complete_to: self.newest_revision,
            list: list.cloned(),
            batches,
            proof_age: None,
        })
    }
}

/// What one host tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReply {
    /// All changes up to this revision are told.
    pub complete_to: u64,
    /// A list that comes first, where the changes alone are not enough.
    pub list: Option<ListSnapshot>,
    /// The changes, in order.
    pub batches: Vec<ChangeBatch>,
    /// Age of the teller's proof that it knows the newest configuration, where that is asked for.
    pub proof_age: Option<Millis>,
}

/// Gets the changes of a kind after a revision that another host knows.
pub async fn fetch_changes(
    pool: &Pool,
    address: SocketAddr,
    kind: FeedKind,
    after: u64,
    gate: &Gate<'_>,
) -> Result<(FeedReply, Reply)> {
    let mut req = Request::new(Full::new(Bytes::new()));
    let path = format!("/changes/{kind:?}/{after}");
    *req.uri_mut() = path.parse().map_err(|e| down(format!("{path}: {e}")))?;
    let address = address.to_string();
    let patience = Patience { head: REPLY_STALL_TIMEOUT, part: REPLY_STALL_TIMEOUT };
    let response = call(pool, &address, &address, req, patience, Some(gate)).await?;
    if response.status != StatusCode::OK {
        return Err(down(format!("the host answered {}", response.status)));
    }
    let reply = postcard::from_bytes(&response.body);
    Ok((reply.map_err(|e| down(format!("changes that cannot be read: {e}")))?, response))
}

/// Gives this host's changes to others, until the process ends; `reply` looks them up.
pub async fn serve(
    shared: SharedRef,
    address: SocketAddr,
    lookup: impl Fn(FeedKind, u64) -> Option<FeedReply> + 'static,
) {
    let listener = match listen(address) {
        Ok(listener) => listener,
        Err(e) => {
            shared.journal.log(Event::PeerSocketFailed, &[("why", &e)]);
            return;
        }
    };
    let reply_limiter = Rc::new(RefCell::new(ReplyLimiter::new(shared.settings.link)));
    let shared_for_replies = shared.clone();
    serve_pages(shared, listener, move |req| {
        respond(&shared_for_replies, &reply_limiter, req, &lookup)
    })
    .await;
}

fn respond(
    shared: &Shared,
    reply_limiter: &Rc<RefCell<ReplyLimiter>>,
    req: &Request<Incoming>,
    lookup: &impl Fn(FeedKind, u64) -> Option<FeedReply>,
) -> Response<ReplyBody> {
    let requested = parse_changes_path(req.uri().path());
    let changes = requested.and_then(|(kind, after)| Some((kind, lookup(kind, after)?)));
    let bytes = changes.and_then(|(kind, reply)| Some((kind, postcard::to_allocvec(&reply).ok()?)));
    let Some((kind, bytes)) = bytes else { return empty_response(StatusCode::NOT_FOUND) };
    let len = bytes.len() as u64;
    if !reply_limiter.borrow_mut().try_begin(len) {
        shared.metrics.record_feed_reply(kind.as_str(), "declined", len);
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    shared.metrics.record_feed_reply(kind.as_str(), "given", len);
    let permit = ReplyPermit { reply_limiter: reply_limiter.clone(), bytes: len };
    Response::new(ReplyBody { remaining: Bytes::from(bytes), _permit: Some(permit) })
}

fn empty_response(status: StatusCode) -> Response<ReplyBody> {
    let mut resp = Response::new(ReplyBody { remaining: Bytes::new(), _permit: None });
    *resp.status_mut() = status;
    resp
}

/// A reply's part in what the host gives, until dropped.
struct ReplyPermit {
    reply_limiter: Rc<RefCell<ReplyLimiter>>,
    bytes: u64,
}

impl Drop for ReplyPermit {
    fn drop(&mut self) {
        self.reply_limiter.borrow_mut().end(self.bytes);
    }
}

/// A body that goes out in pieces, so that it lives about as long as its reply is under way.
struct ReplyBody {
    remaining: Bytes,
    _permit: Option<ReplyPermit>,
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        let len = self.remaining.len().min(MAX_FRAME_BYTES);
        let frame = self.remaining.split_to(len);
        Poll::Ready((len > 0).then(|| Ok(Frame::data(frame))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}

/// Reads which changes are asked for.
pub fn parse_changes_path(path: &str) -> Option<(FeedKind, u64)> {
    let (kind, after) = path.strip_prefix("/changes/")?.split_once('/')?;
    let kind = FeedKind::ALL.into_iter().find(|k| format!("{k:?}") == kind)?;
    Some((kind, after.parse().ok()?))
}
