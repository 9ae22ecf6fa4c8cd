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

use crate::call::{call, unavailable_error, CallTimeouts, LargeReplyControl, Reply};
use crate::pool::Pool;
use crate::server::{listen, serve_pages};
use crate::shared::{Shared, SharedRef};

/// Bytes of changes kept of a kind. A configuration of some hundred routes is about 100 KB; the memory
/// of a host is priced.
const MOST_KEPT: usize = 256 << 10;

/// Longest time that an answer of another host stands still, in which the change can still be got elsewhere.
const ANSWER_WITHIN: Duration = Duration::from_millis(350);

/// Bytes of a reply that go out at a time.
const PIECE: usize = 32 << 10;

/// Some changes, as the store told them at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// All changes up to this revision are told with it and those before it.
    pub to: u64,
    /// The store's reply.
    pub bytes: Vec<u8>,
}

/// A list of a kind, as the store told it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChunk {
    /// The revision it was taken at.
    pub at: u64,
    /// The store's replies, page by page.
    pub pages: Vec<Vec<u8>>,
}

/// The newest changes of a kind.
#[derive(Clone, Debug, Default)]
pub struct FeedLog {
    /// Whether the newest change tells all of the kind.
    is_one_object: bool,
    /// The list that the changes follow, until the oldest of them have been dropped.
    list: Option<ListChunk>,
    /// Changes after this revision are kept.
    base: u64,
    /// All changes up to this revision are known.
    to: u64,
    chunks: VecDeque<Chunk>,
    bytes: usize,
}

impl FeedLog {
    /// Makes the log of a kind of which nothing is known.
    pub fn of(kind: FeedKind) -> FeedLog {
        FeedLog { is_one_object: kind.is_single_object(), ..FeedLog::default() }
    }

    /// Gets the revision up to which all changes are known; 0 if the kind was never listed.
    pub fn position(&self) -> u64 {
        self.to
    }

    /// Begins anew after a list; tells whether it is as new as what is known.
    pub fn listed(&mut self, list: ListChunk) -> bool {
        if list.at < self.to {
            return false;
        }
        let (at, is_one_object) = (list.at, self.is_one_object);
        *self = FeedLog { is_one_object, base: at, to: at, list: Some(list), ..FeedLog::default() };
        true
    }

    /// Takes note that nothing else changed up to `to`.
    pub fn advance(&mut self, to: u64) {
        self.to = self.to.max(to);
    }

    /// Keeps changes; tells whether they are new. Old ones must not be applied, for they would undo
    /// later ones.
    pub fn push(&mut self, chunk: Chunk) -> bool {
        if chunk.to <= self.to {
            return false;
        }
        if self.is_one_object {
            // What came before is of no use to anybody, and may be a megabyte.
            *self = FeedLog { is_one_object: true, ..FeedLog::default() };
        }
        self.to = chunk.to;
        self.bytes += chunk.bytes.len();
        self.chunks.push_back(chunk);
        while self.bytes > MOST_KEPT && self.chunks.len() > 1 {
            if let Some(oldest) = self.chunks.pop_front() {
                self.bytes -= oldest.bytes.len();
                self.base = oldest.to;
                self.list = None;
            }
        }
        true
    }

    /// Gets what brings another host from a revision to the newest one, or `None` if that is not kept.
    pub fn after(&self, revision: u64) -> Option<Told> {
        let list = self.list.as_ref().filter(|_| revision < self.base);
        if revision < self.base && list.is_none() {
            return None;
        }
        let chunks = self.chunks.iter().filter(|c| c.to > revision).cloned().collect();
        Some(Told { complete: self.to, list: list.cloned(), chunks, proof_age: None })
    }
}

/// What one host tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// All changes up to this revision are told.
    pub complete: u64,
    /// A list that comes first, where the changes alone are not enough.
    pub list: Option<ListChunk>,
    /// The changes, in order.
    pub chunks: Vec<Chunk>,
    /// Age of the teller's proof that it knows the newest configuration, where that is asked for.
    pub proof_age: Option<Millis>,
}

/// Gets the changes of a kind after a revision that another host knows.
pub async fn ask(
    pool: &Pool,
    address: SocketAddr,
    kind: FeedKind,
    after: u64,
    gate: &LargeReplyControl<'_>,
) -> Result<(Told, Reply)> {
    let mut req = Request::new(Full::new(Bytes::new()));
    let path = format!("/changes/{kind:?}/{after}");
    *req.uri_mut() = path.parse().map_err(|e| unavailable_error(format!("{path}: {e}")))?;
    let address = address.to_string();
    let patience = CallTimeouts { head: ANSWER_WITHIN, part: ANSWER_WITHIN };
    let reply = call(pool, &address, &address, req, patience, Some(gate)).await?;
    if reply.status != StatusCode::OK {
        return Err(unavailable_error(format!("the host answered {}", reply.status)));
    }
    let told = postcard::from_bytes(&reply.body);
    Ok((told.map_err(|e| unavailable_error(format!("changes that cannot be read: {e}")))?, reply))
}

/// Gives this host's changes to others, until the process ends; `told` looks them up.
pub async fn serve(
    shared: SharedRef,
    address: SocketAddr,
    told: impl Fn(FeedKind, u64) -> Option<Told> + 'static,
) {
    let listener = match listen(address) {
        Ok(listener) => listener,
        Err(e) => {
            shared.journal.line(Event::PeerSocketFailed, &[("why", &e)]);
            return;
        }
    };
    let giving = Rc::new(RefCell::new(ReplyLimiter::new(shared.settings.link)));
    let answering = shared.clone();
    serve_pages(shared, listener, move |req| answer(&answering, &giving, req, &told)).await;
}

fn answer(
    shared: &Shared,
    giving: &Rc<RefCell<ReplyLimiter>>,
    req: &Request<Incoming>,
    told: &impl Fn(FeedKind, u64) -> Option<Told>,
) -> Response<GivenBody> {
    let asked = question(req.uri().path());
    let found = asked.and_then(|(kind, after)| Some((kind, told(kind, after)?)));
    let bytes = found.and_then(|(kind, told)| Some((kind, postcard::to_allocvec(&told).ok()?)));
    let Some((kind, bytes)) = bytes else { return refusal(StatusCode::NOT_FOUND) };
    let len = bytes.len() as u64;
    if !giving.borrow_mut().try_begin(len) {
        shared.metrics.feed_given(kind.as_str(), "declined", len);
        return refusal(StatusCode::SERVICE_UNAVAILABLE);
    }
    shared.metrics.feed_given(kind.as_str(), "given", len);
    let share = Share { giving: giving.clone(), bytes: len };
    Response::new(GivenBody { left: Bytes::from(bytes), _share: Some(share) })
}

fn refusal(status: StatusCode) -> Response<GivenBody> {
    let mut resp = Response::new(GivenBody { left: Bytes::new(), _share: None });
    *resp.status_mut() = status;
    resp
}

/// A reply's part in what the host gives, until dropped.
struct Share {
    giving: Rc<RefCell<ReplyLimiter>>,
    bytes: u64,
}

impl Drop for Share {
    fn drop(&mut self) {
        self.giving.borrow_mut().end(self.bytes);
    }
}

/// A body that goes out in pieces, so that it lives about as long as its reply is under way.
struct GivenBody {
    left: Bytes,
    _share: Option<Share>,
}

impl Body for GivenBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        let len = self.left.len().min(PIECE);
        let piece = self.left.split_to(len);
        Poll::Ready((len > 0).then(|| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.len() as u64)
    }
}

/// Reads which changes are asked for.
pub fn question(path: &str) -> Option<(FeedKind, u64)> {
    let (kind, after) = path.strip_prefix("/changes/")?.split_once('/')?;
    let kind = FeedKind::ALL.into_iter().find(|k| format!("{k:?}") == kind)?;
    Some((kind, after.parse().ok()?))
}
