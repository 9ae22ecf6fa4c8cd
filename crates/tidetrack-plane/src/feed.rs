//! Relays store changes between hosts.
//!
//! Each host keeps the latest changes it received, as the encoded replies of the store, and serves
//! them to other hosts on request. The protocol is plain HTTP on persistent connections: the
//! payload consists of bytes of the store, to which a remote procedure call would only add another
//! envelope.

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
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use tidetrack_core::errors::Result;
use tidetrack_core::events::Event;
use tidetrack_core::traffic::feeds::{FeedKind, ReplyLimiter};
use tidetrack_core::units::Millis;

use crate::bind::bind_when_available;
use crate::call::{call, unavailable_error, CallTimeouts, LargeReplyControl, Reply};
use crate::forward::CONNECTION_PREAMBLE;
use crate::pages::{accept, limit_unsent_bytes, serve_page_connection};
use crate::pool::Pool;
use crate::reply_memory::ReplyHold;
use crate::server::listen_with_buffer;
use crate::shared::{Shared, SharedRef};

/// Maximum bytes of changes kept per kind. A configuration with a few hundred routes takes about
/// 100 KB; the limit is low because the memory of a host has a cost.
const MAX_LOG_BYTES: usize = 256 << 10;

/// Time without data after which a reply of another host is given up. It leaves enough time to
/// fetch the change from another source.
const REPLY_STALL_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum time from the start of a connection to its first byte.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(2);

/// Size in bytes of the receive buffers of other hosts' connections, which also carry forwarded requests.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Maximum size of one body frame, in bytes.
const MAX_FRAME_BYTES: usize = 32 << 10;

/// Changes that the store returned in one reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Revision up to which this batch, together with all earlier ones, contains every change.
    pub newest_revision: u64,
    /// The encoded reply of the store.
    pub bytes: Vec<u8>,
}

/// All objects of a kind at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListSnapshot {
    /// The store revision of the list.
    pub revision: u64,
    /// The encoded replies of the store, one per page.
    pub pages: Vec<Vec<u8>>,
}

impl ListSnapshot {
    /// Returns the number of bytes of its pages.
    pub fn len_bytes(&self) -> usize {
        self.pages.iter().map(Vec::len).sum()
    }
}

/// The latest changes of a kind, with the list that they follow if it is still kept.
#[derive(Clone, Debug, Default)]
pub struct FeedLog {
    /// Whether the kind has a single object, so that its newest change replaces all earlier ones.
    is_single_object: bool,
    /// The list that the batches follow. `None` once the oldest batch has been dropped.
    list: Option<ListSnapshot>,
    /// Revision after which all changes are kept.
    base_revision: u64,
    /// Revision up to which all changes are known.
    newest_revision: u64,
    batches: VecDeque<ChangeBatch>,
    total_bytes: usize,
}

impl FeedLog {
    /// Creates an empty log for a kind.
    pub fn new(kind: FeedKind) -> FeedLog {
        FeedLog { is_single_object: kind.is_single_object(), ..FeedLog::default() }
    }

    /// Returns the revision up to which all changes are known, or 0 if nothing of the kind has been
    /// received.
    pub fn position(&self) -> u64 {
        self.newest_revision
    }

    /// Replaces the log by a list. Returns false, without replacing it, if the list is older than
    /// the log.
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

    /// Returns the number of bytes of the list that the batches follow, if it is still kept.
    pub fn list_bytes(&self) -> usize {
        self.list.as_ref().map_or(0, ListSnapshot::len_bytes)
    }

    /// Drops the list that the batches follow. Hosts that need it read it from the store.
    pub fn drop_list(&mut self) {
        self.list = None;
    }

    /// Records that there are no further changes up to `newest_revision`.
    pub fn advance(&mut self, newest_revision: u64) {
        self.newest_revision = self.newest_revision.max(newest_revision);
    }

    /// Appends a batch. Returns false if its changes are known already; the caller must not apply
    /// them then, since they would undo later ones.
    pub fn push(&mut self, batch: ChangeBatch) -> bool {
        if batch.newest_revision <= self.newest_revision {
            return false;
        }
        if self.is_single_object {
            // Earlier versions of the single object are not needed any more, and may take a
            // megabyte.
            *self = FeedLog { is_single_object: true, ..FeedLog::default() };
        }
        self.newest_revision = batch.newest_revision;
        self.total_bytes += batch.bytes.len();
        self.batches.push_back(batch);
        while self.total_bytes > MAX_LOG_BYTES && self.batches.len() > 1 {
            if let Some(oldest) = self.batches.pop_front() {
                self.total_bytes -= oldest.bytes.len();
                self.base_revision = oldest.newest_revision;
                self.list = None;
            }
        }
        true
    }

    /// Returns what another host needs to get from `revision` to the newest one, or `None` if the
    /// log does not reach back that far.
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

/// Reply of one host to another host's request for changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReply {
    /// Revision up to which the reply contains all changes.
    pub complete_to: u64,
    /// List to apply before the batches, if the log does not reach back to the requested revision.
    pub list: Option<ListSnapshot>,
    /// The batches, in order of revision.
    pub batches: Vec<ChangeBatch>,
    /// Age of the sender's proof that it knows the newest configuration, in milliseconds. `None`
    /// for other kinds, or if the sender has no proof.
    pub proof_age: Option<Millis>,
}

/// Fetches the changes of a kind after revision `after` from another host. Fails if the host does
/// not answer in time, declines or sends an unreadable reply.
pub async fn fetch_changes(
    pool: &Pool,
    address: SocketAddr,
    kind: FeedKind,
    after: u64,
    gate: &LargeReplyControl<'_>,
    hold: &mut ReplyHold<'_>,
) -> Result<(FeedReply, Reply)> {
    let mut req = Request::new(Full::new(Bytes::new()));
    let path = format!("/changes/{kind:?}/{after}");
    *req.uri_mut() =
        path.parse().map_err(|e| unavailable_error(format!("invalid path {path}: {e}")))?;
    let address = address.to_string();
    let timeouts = CallTimeouts { head: REPLY_STALL_TIMEOUT, part: REPLY_STALL_TIMEOUT };
    let response = call(pool, &address, &address, req, timeouts, Some(gate), hold).await?;
    if response.status != StatusCode::OK {
        return Err(unavailable_error(format!("the host returned status {}", response.status)));
    }
    let reply = postcard::from_bytes(&response.body);
    Ok((
        reply.map_err(|e| {
            unavailable_error(format!("the changes from the host cannot be decoded: {e}"))
        })?,
        response,
    ))
}

/// Serves this host's changes to other hosts until the process ends. `lookup` returns the changes
/// of a kind after a revision.
pub async fn serve(
    shared: SharedRef,
    address: SocketAddr,
    lookup: impl Fn(FeedKind, u64) -> Option<FeedReply> + 'static,
) {
    let bind = async || listen_with_buffer(address, RECEIVE_BUFFER_BYTES);
    let listener = match bind_when_available(&shared.journal, address, bind).await {
        Ok(listener) => listener,
        Err(e) => {
            shared.journal.log(Event::PeerSocketFailed, &[("why", &e)]);
            return;
        }
    };
    let reply_limiter = Rc::new(RefCell::new(ReplyLimiter::new(shared.settings.link)));
    let shared_for_replies = shared.clone();
    let make_page = Rc::new(move |req: &Request<Incoming>| {
        respond(&shared_for_replies, &reply_limiter, req, &lookup)
    });
    loop {
        let stream = accept(&shared, &listener).await;
        let (shared, make_page) = (shared.clone(), make_page.clone());
        tokio::task::spawn_local(async move {
            serve_connection(&shared, stream, &*make_page).await;
        });
    }
}

/// Serves changes on a connection, or passes it to the traffic thread if it begins with the preamble
/// of forwarded requests.
async fn serve_connection(
    shared: &Shared,
    mut stream: TcpStream,
    make_page: &impl Fn(&Request<Incoming>) -> Response<ReplyBody>,
) {
    let mut first = [0; 1];
    let read = tokio::time::timeout(FIRST_BYTE_TIMEOUT, stream.read_exact(&mut first)).await;
    if !matches!(read, Ok(Ok(_))) {
        return;
    }
    if first[0] != CONNECTION_PREAMBLE {
        if limit_unsent_bytes(shared, &stream) {
            let (reader, writer) = stream.into_split();
            let io = tokio::io::join(std::io::Cursor::new(first).chain(reader), writer);
            serve_page_connection(io, make_page).await;
        }
        return;
    }
    match stream.into_std() {
        // The receiver is dropped only at the end of the process.
        Ok(stream) => drop(shared.forwarded_connections.send(stream)),
        Err(e) => shared.journal.log(Event::AcceptFailed, &[("why", &e)]),
    }
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

/// A reply's entry in the limiter, removed on drop.
struct ReplyPermit {
    reply_limiter: Rc<RefCell<ReplyLimiter>>,
    bytes: u64,
}

impl Drop for ReplyPermit {
    fn drop(&mut self) {
        self.reply_limiter.borrow_mut().end(self.bytes);
    }
}

/// A response body sent in frames of limited size, so that it, and with it the permit, exists for
/// about as long as the reply is being sent.
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

/// Parses the path of a request for changes. Returns `None` if it is invalid.
pub fn parse_changes_path(path: &str) -> Option<(FeedKind, u64)> {
    let (kind, after) = path.strip_prefix("/changes/")?.split_once('/')?;
    let kind = FeedKind::ALL.into_iter().find(|k| format!("{k:?}") == kind)?;
    Some((kind, after.parse().ok()?))
}
