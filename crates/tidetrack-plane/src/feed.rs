//! Changes of the store, passed from host to host.
//!
//! Each host keeps the newest changes it got, as the store told them, and gives them to hosts that
//! ask. The question is a plain HTTP request on a kept connection: the reply is bytes of the store,
//! which a remote procedure call would only wrap once more.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use serde::{Deserialize, Serialize};

use tidetrack_core::errors::Result;
use tidetrack_core::events::Event;
use tidetrack_core::traffic::feeds::Kind;

use crate::call::{call, down, Gate, Patience, Reply};
use crate::pool::Pool;
use crate::server::{listen, serve_pages};
use crate::shared::SharedRef;

/// Bytes of changes kept of a kind. A configuration of some hundred routes is about 100 KB; the memory
/// of a host is priced.
const MOST_KEPT: usize = 256 << 10;

/// Longest time that an answer of another host stands still, in which the change can still be got elsewhere.
const ANSWER_WITHIN: Duration = Duration::from_millis(350);

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
    /// Gets the revision up to which all changes are known; 0 if the kind was never listed.
    pub fn position(&self) -> u64 {
        self.to
    }

    /// Begins anew after a list; tells whether it is as new as what is known.
    pub fn listed(&mut self, list: ListChunk) -> bool {
        if list.at < self.to {
            return false;
        }
        *self = FeedLog { base: list.at, to: list.at, list: Some(list), ..FeedLog::default() };
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
        Some(Told { complete: self.to, list: list.cloned(), chunks })
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
}

/// Gets the changes of a kind after a revision that another host knows.
pub async fn ask(
    pool: &Pool,
    address: SocketAddr,
    kind: Kind,
    after: u64,
    gate: &Gate<'_>,
) -> Result<(Told, Reply)> {
    let mut req = Request::new(Full::new(Bytes::new()));
    let path = format!("/changes/{kind:?}/{after}");
    *req.uri_mut() = path.parse().map_err(|e| down(format!("{path}: {e}")))?;
    let address = address.to_string();
    let patience = Patience { head: ANSWER_WITHIN, part: ANSWER_WITHIN };
    let reply = call(pool, &address, &address, req, patience, Some(gate)).await?;
    if reply.status != StatusCode::OK {
        return Err(down(format!("the host answered {}", reply.status)));
    }
    let told = postcard::from_bytes(&reply.body);
    Ok((told.map_err(|e| down(format!("changes that cannot be read: {e}")))?, reply))
}

/// Gives this host's changes to others, until the process ends; `told` looks them up.
pub async fn serve(
    shared: SharedRef,
    address: SocketAddr,
    told: impl Fn(Kind, u64) -> Option<Told> + 'static,
) {
    let listener = match listen(address) {
        Ok(listener) => listener,
        Err(e) => {
            shared.journal.line(Event::PeerSocketFailed, &[("why", &e)]);
            return;
        }
    };
    let counted = shared.clone();
    serve_pages(shared, listener, move |req| {
        let (kind, resp) = answer(req, &told);
        let bytes = resp.body().size_hint().exact().unwrap_or(0);
        counted.metrics.feed_given(kind.map_or("-", Kind::as_str), bytes);
        resp
    })
    .await;
}

fn answer(
    req: &Request<Incoming>,
    told: &impl Fn(Kind, u64) -> Option<Told>,
) -> (Option<Kind>, Response<Full<Bytes>>) {
    let asked = question(req.uri().path());
    let found = asked.and_then(|(kind, after)| told(kind, after));
    let bytes = found.and_then(|told| postcard::to_allocvec(&told).ok());
    let mut resp = Response::new(Full::new(Bytes::new()));
    match bytes {
        Some(bytes) => *resp.body_mut() = Full::new(Bytes::from(bytes)),
        None => *resp.status_mut() = StatusCode::NOT_FOUND,
    }
    (asked.map(|(kind, _)| kind), resp)
}

/// Reads which changes are asked for.
pub fn question(path: &str) -> Option<(Kind, u64)> {
    let (kind, after) = path.strip_prefix("/changes/")?.split_once('/')?;
    let kind = Kind::ALL.into_iter().find(|k| format!("{k:?}") == kind)?;
    Some((kind, after.parse().ok()?))
}
