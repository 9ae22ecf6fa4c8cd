//! How requests, answers and stored objects are spelled, as plain functions given by an adapter.
//!
//! The plane knows what these things mean; a dialect knows their names. No function here decides
//! anything.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response};

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::ids::{EndpointId, ModelId, ServiceId, WorkspaceId};
use tidetrack_core::traffic::canary::{ProgressWrite, RolloutOrder};
use tidetrack_core::traffic::cascade::GenerationSize;
use tidetrack_core::traffic::catalog::Catalog;
use tidetrack_core::traffic::endpoints::EndpointRecord;
pub use tidetrack_core::traffic::feeds::FeedKind;
use tidetrack_core::units::{Millis, Rate, Tokens};

/// What a request's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFacts {
    /// The caller's id of this attempt.
    pub attempt_id: Option<String>,
    /// How long the caller waits.
    pub time_left: Option<Millis>,
    /// The key.
    pub key: Option<String>,
    /// The session the request belongs to.
    pub session: Option<String>,
    /// Size, if it asks for a generation.
    pub size: Option<GenerationSize>,
    /// What to place the request by: the longest part of its prompt that others share.
    pub shared_prefix: Option<String>,
    /// Tokens of the prompt up to the end of that part.
    pub shared_tokens: Option<Tokens>,
    /// The model the caller names.
    pub model: Option<String>,
    /// The last event the caller holds of a stream that broke.
    pub last_event: Option<u64>,
}

/// What the system tells an endpoint with a request.
#[derive(Clone, Debug)]
pub struct EndpointRequestInfo<'a> {
    /// Time the endpoint has.
    pub time_left: Millis,
    /// The endpoint that is meant.
    pub endpoint: &'a EndpointId,
    /// The workspace whose key the request carried.
    pub workspace: Option<&'a WorkspaceId>,
    /// Urgency, 0 first; for engines only.
    pub rank: Option<u8>,
    /// The model chosen by the system.
    pub model: Option<&'a ModelId>,
    /// The last event that was passed on of a stream to be continued.
    pub last_event: Option<u64>,
    /// Address of another endpoint that keeps the prompt's shared part.
    pub prefix_from: Option<&'a str>,
}

/// Load that an endpoint tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests it works on.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseFacts {
    /// The attempt's id as the endpoint repeats it.
    pub attempt_id: Option<String>,
    /// Whether the endpoint vouches for the answer as its own.
    pub is_sealed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub did_not_run: bool,
    /// Load.
    pub load: Option<ReportedLoad>,
    /// Requests a second that the endpoint takes from all hosts together, where it names that.
    pub limit: Option<Rate>,
    /// How sure the model is of its answer, 0 to 100.
    pub confidence: Option<u8>,
    /// How long the connection may rest.
    pub idle_time: Option<Duration>,
    /// Whether the body is in an encoding that nobody asked for.
    pub is_encoded: bool,
}

/// How old a list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAge {
    /// It is the store's newest state.
    Newest,
    /// It may be some seconds old; changes after its revision tell the rest.
    Recent,
}

impl ListAge {
    /// Gets the word for it in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ListAge::Newest => "newest",
            ListAge::Recent => "of_late",
        }
    }
}

/// An object of the store, decoded.
#[derive(Clone, Debug)]
pub enum DecodedObject {
    /// The configuration.
    Catalog(Catalog),
    /// An endpoint.
    Endpoint(EndpointRecord),
    /// A roll-out.
    Rollout(RolloutOrder),
}

/// Characters of a name or a reason that are kept: no name of ours has as many.
const MAX_TEXT_CHARS: usize = 100;

/// An object that could not be read.
#[derive(Debug)]
pub struct UnreadableObject {
    /// Its name, or how that begins.
    pub name: String,
    /// Why.
    pub reason: Error,
}

impl UnreadableObject {
    /// Takes note of an object by its name and of what is wrong with it. A writer that goes wrong may write a
    /// megabyte into either, and each host keeps and logs them.
    pub fn new(kind: FeedKind, name: &str, reason: &dyn fmt::Display) -> UnreadableObject {
        let name = truncate(name);
        let reason = truncate(&reason.to_string());
        let reason = Error::new(Code::BadDeclaration, format!("{kind:?}/{name}: {reason}"));
        UnreadableObject { name, reason }
    }
}

/// Gets how a text begins; where that is not all, it ends with a mark that no name has.
fn truncate(text: &str) -> String {
    match text.char_indices().nth(MAX_TEXT_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_string(),
    }
}

/// One page of a list.
#[derive(Debug, Default)]
pub struct Page {
    /// The objects that could be read.
    pub objects: Vec<DecodedObject>,
    /// Objects that could not be read.
    pub unreadable: Vec<UnreadableObject>,
    /// Name of the last object, if the list goes on after it.
    pub next_after: Option<String>,
    /// The store's revision.
    pub revision: u64,
    /// Revision of the newest change of an object that is listed.
    pub newest_change: u64,
}

/// One change of a watched kind.
#[derive(Debug)]
pub enum Change {
    /// An object is new or changed.
    Put(DecodedObject),
    /// An endpoint is gone.
    EndpointRemoved(EndpointId),
    /// A roll-out is gone.
    RolloutRemoved(ServiceId),
    /// The object could not be read.
    Unreadable(UnreadableObject),
}

/// What a watch gave.
#[derive(Debug, Default)]
pub struct ChangeSet {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// The store's revision up to which they are told.
    pub revision: u64,
    /// Revision of the newest of the changes, where the store tells it.
    pub newest_change: Option<u64>,
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// The method.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// How the store is spoken to.
#[derive(Clone, Copy)]
pub struct StoreDialect {
    /// Lists a kind, from the start or after a name, as it is now or, cheaper, as it was of late.
    pub list: fn(FeedKind, Option<&str>, ListAge) -> StoreCall,
    /// Waits for changes of a kind after a revision.
    pub watch: fn(FeedKind, u64, Millis) -> StoreCall,
    /// Reads a page.
    pub read_page: fn(FeedKind, &[u8]) -> Result<Page>,
    /// Reads what a watch gave.
    pub read_changes: fn(FeedKind, &[u8]) -> Result<ChangeSet>,
    /// Leaves of what a watch gave the last change only.
    pub last_change: fn(&[u8]) -> Result<Vec<u8>>,
    /// Writes a roll-out's progress.
    pub write_progress: fn(&ProgressWrite) -> StoreCall,
}

/// How callers, endpoints and the store are spoken to.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Reads a request's head.
    pub read_request: fn(&HeaderMap) -> Result<RequestFacts>,
    /// Makes the head that an endpoint gets from the caller's.
    pub endpoint_head: fn(&HeaderMap, &EndpointRequestInfo<'_>) -> HeaderMap,
    /// Reads the head of an answer.
    pub read_answer: fn(&HeaderMap) -> ResponseFacts,
    /// Makes the head that a caller gets from the endpoint's.
    pub caller_head: fn(HeaderMap) -> HeaderMap,
    /// Makes the answer for a request that was not served.
    pub refusal: fn(&Error, Option<&str>) -> Response<Bytes>,
    /// The path at which readiness is asked.
    pub readiness_path: &'static str,
    /// The store.
    pub store: StoreDialect,
}
