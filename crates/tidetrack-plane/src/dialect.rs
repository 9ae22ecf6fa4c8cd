//! Encoding of requests, responses and stored objects, as plain functions supplied by an adapter.
//!
//! The plane defines the meaning of these values, and a dialect defines their names on the wire.
//! The functions here make no decisions.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response};

use tidetrack_core::codes::Code;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::ids::{EndpointId, FailureDomain, ModelId, PartId, ServiceId, WorkspaceId};
use tidetrack_core::placement::Slowdown;
use tidetrack_core::traffic::canary::{ProgressWrite, RolloutOrder};
use tidetrack_core::traffic::cascade::GenerationSize;
use tidetrack_core::traffic::catalog::Catalog;
use tidetrack_core::traffic::endpoints::EndpointRecord;
pub use tidetrack_core::traffic::feeds::FeedKind;
pub use tidetrack_core::traffic::list_progress::NextPage;
use tidetrack_core::traffic::store_position::StorePosition;
use tidetrack_core::units::{Millis, Rate, Tokens};

/// Contents of the head of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFacts {
    /// The caller's id of this attempt.
    pub attempt_id: Option<String>,
    /// Time for which the caller waits, in milliseconds.
    pub time_left: Option<Millis>,
    /// The API key.
    pub key: Option<String>,
    /// The session that the request belongs to.
    pub session: Option<String>,
    /// Size of the generation. `None` if the request does not ask for one.
    pub size: Option<GenerationSize>,
    /// Key for prefix-aware routing: the longest part of the prompt that other requests share.
    pub shared_prefix: Option<String>,
    /// Number of prompt tokens up to the end of the shared prefix.
    pub shared_tokens: Option<Tokens>,
    /// The parts of the prompt in order, which other requests may share except for the last one. Empty if the
    /// request names none.
    pub prompt_parts: Vec<PartId>,
    /// The model requested by the caller.
    pub model: Option<String>,
    /// Id of the last event that the caller received of an interrupted stream.
    pub last_event: Option<u64>,
}

/// Maximum number of parts that are listed for a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 16;

impl RequestFacts {
    /// Returns the ids of the prompt's parts for the log, separated by commas; `-` if there are none.
    pub fn logged_parts(&self) -> String {
        match self.prompt_parts.as_slice() {
            [] => "-".to_string(),
            parts => {
                let names: Vec<&str> =
                    parts.iter().take(MAX_LOGGED_PARTS).map(PartId::as_str).collect();
                names.join(",")
            }
        }
    }
}

/// Values passed to an endpoint in the head of a request.
#[derive(Clone, Debug)]
pub struct EndpointRequestInfo<'a> {
    /// Time that the endpoint has for the request, in milliseconds.
    pub time_left: Millis,
    /// The endpoint that the request is addressed to.
    pub endpoint: &'a EndpointId,
    /// The workspace that the request's key belongs to.
    pub workspace: Option<&'a WorkspaceId>,
    /// Priority, 0 being the most urgent. Only set for inference engines.
    pub rank: Option<u8>,
    /// The model chosen for the request.
    pub model: Option<&'a ModelId>,
    /// Id of the last event relayed to the caller, if a stream is to be resumed.
    pub last_event: Option<u64>,
    /// Address of another endpoint that has the shared prefix cached.
    pub prefix_cache_address: Option<&'a str>,
}

/// Load reported by an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLoad {
    /// Number of requests being executed.
    pub running: u64,
    /// Number of queued requests.
    pub waiting: u64,
    /// Number of requests that the endpoint executes concurrently, if reported.
    pub slots: Option<u64>,
    /// How long work takes at the endpoint now, as a multiple of the usual time, if reported.
    pub slowdown: Option<Slowdown>,
}

/// Contents of the head of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseFacts {
    /// The attempt id as repeated by the endpoint.
    pub attempt_id: Option<String>,
    /// Whether the endpoint marks the response as its own, so that it does not come from an
    /// intermediary.
    pub has_response_seal: bool,
    /// Whether the endpoint reports that it did not execute the request.
    pub has_not_executed: bool,
    /// The endpoint's load, if reported.
    pub load: Option<ReportedLoad>,
    /// Requests per second that the endpoint accepts from all hosts together, if reported.
    pub limit: Option<Rate>,
    /// Whether the endpoint says that it is leaving.
    pub is_leaving: bool,
    /// Time for which the endpoint asks the host to send nothing, in a refusal; as an error the value
    /// that is no such time.
    pub rest: Option<std::result::Result<Millis, String>>,
    /// Refusals per second that the endpoint bears before it falls over, if reported; as an error the
    /// value that is no such number.
    pub max_refusals: Option<std::result::Result<u32, String>>,
    /// Confidence of the model in its response, from 0 to 100.
    pub confidence: Option<u8>,
    /// Time for which the endpoint keeps the idle connection open.
    pub idle_time: Option<Duration>,
    /// Whether the body has a content encoding that was not requested.
    pub is_encoded: bool,
}

/// How old a list may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAge {
    /// The list contains the newest state of the store.
    Newest,
    /// The list may be some seconds old. The changes after its revision complete it.
    Recent,
}

impl ListAge {
    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            ListAge::Newest => "newest",
            ListAge::Recent => "of_late",
        }
    }
}

/// A decoded object of the store.
#[derive(Clone, Debug)]
pub enum DecodedObject {
    /// The configuration.
    Catalog(Catalog),
    /// A registered endpoint.
    Endpoint(EndpointRecord),
    /// The order and progress of a roll-out.
    Rollout(RolloutOrder),
    /// The order to evacuate a failure domain.
    Evacuation(FailureDomain),
}

/// Maximum number of characters kept of a name or an error message. Valid names are shorter.
const MAX_TEXT_CHARS: usize = 100;

/// An object that could not be decoded.
#[derive(Debug)]
pub struct UnreadableObject {
    /// The name of the object, truncated if too long.
    pub name: String,
    /// The decoding error.
    pub reason: Error,
}

impl UnreadableObject {
    /// Creates the record of an object that could not be decoded. The name and the reason are
    /// truncated, because a faulty writer may put a megabyte into either, and each host keeps and
    /// logs them.
    pub fn new(kind: FeedKind, name: &str, reason: &dyn fmt::Display) -> UnreadableObject {
        let name = truncate(name);
        let reason = truncate(&reason.to_string());
        let reason = Error::new(Code::BadDeclaration, format!("{kind:?}/{name}: {reason}"));
        UnreadableObject { name, reason }
    }
}

/// Truncates a text to the maximum length. A truncated text ends with a character that valid names
/// cannot contain.
fn truncate(text: &str) -> String {
    match text.char_indices().nth(MAX_TEXT_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_string(),
    }
}

/// One page of a list.
#[derive(Debug, Default)]
pub struct Page {
    /// The objects that could be decoded.
    pub objects: Vec<DecodedObject>,
    /// The objects that could not be decoded.
    pub unreadable: Vec<UnreadableObject>,
    /// Where the list continues.
    pub next: NextPage,
    /// The store's revision.
    pub revision: u64,
    /// Revision of the newest change among the listed objects.
    pub newest_change: u64,
}

impl Page {
    /// Returns the page of a store that reports an era, with the revisions as packed positions.
    pub fn in_era(self, era: u64) -> Page {
        Page {
            objects: self.objects.into_iter().map(|object| object.in_era(era)).collect(),
            revision: StorePosition { era, revision: self.revision }.packed(),
            newest_change: StorePosition { era, revision: self.newest_change }.packed(),
            ..self
        }
    }
}

impl DecodedObject {
    fn in_era(self, era: u64) -> DecodedObject {
        match self {
            DecodedObject::Rollout(order) => {
                let revision = StorePosition { era, revision: order.revision }.packed();
                DecodedObject::Rollout(RolloutOrder { revision, ..order })
            }
            object => object,
        }
    }
}

/// One change of a watched kind.
#[derive(Debug)]
pub enum Change {
    /// An object was created or modified.
    Put(DecodedObject),
    /// An endpoint was removed.
    EndpointRemoved(EndpointId),
    /// A roll-out was removed.
    RolloutRemoved(ServiceId),
    /// The order to evacuate a failure domain was removed.
    EvacuationRemoved(FailureDomain),
    /// The new state of an object could not be decoded.
    Unreadable(UnreadableObject),
}

/// Changes returned by a watch.
#[derive(Debug, Default)]
pub struct ChangeSet {
    /// The changes, in order of revision.
    pub changes: Vec<Change>,
    /// Store revision up to which the changes are complete.
    pub revision: u64,
    /// Revision of the newest change in the set, if the store reports it.
    pub newest_change: Option<u64>,
}

impl ChangeSet {
    /// Returns the changes of a store that reports an era, with the revisions as packed positions.
    pub fn in_era(self, era: u64) -> ChangeSet {
        let packed = |revision| StorePosition { era, revision }.packed();
        let in_era = |change| match change {
            Change::Put(object) => Change::Put(object.in_era(era)),
            change => change,
        };
        ChangeSet {
            changes: self.changes.into_iter().map(in_era).collect(),
            revision: packed(self.revision),
            newest_change: self.newest_change.map(packed),
        }
    }
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreCall {
    /// The HTTP method.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// The body. Empty if there is none.
    pub body: Bytes,
}

/// Encoding of calls to the store and of its replies.
#[derive(Clone, Copy)]
pub struct StoreDialect {
    /// Decodes the era of the store from the head of a reply; 0 if the store does not report one.
    pub read_era: fn(&HeaderMap) -> u64,
    /// Builds the call that lists a kind, starting after a name if one is given. A list that may be
    /// slightly old is cheaper for the store than the newest one.
    pub list: fn(FeedKind, Option<&str>, ListAge) -> StoreCall,
    /// Builds the call that waits for changes of a kind after a revision, for a maximum time.
    pub watch: fn(FeedKind, u64, Millis) -> StoreCall,
    /// Decodes a page of a list.
    pub read_page: fn(FeedKind, &[u8]) -> Result<Page>,
    /// Decodes the changes returned by a watch.
    pub read_changes: fn(FeedKind, &[u8]) -> Result<ChangeSet>,
    /// Reduces the encoded changes returned by a watch to the last one.
    pub last_change: fn(&[u8]) -> Result<Vec<u8>>,
    /// Builds the call that writes the progress of a roll-out.
    pub write_progress: fn(&ProgressWrite) -> StoreCall,
}

/// Encoding used with callers, endpoints and the store.
#[derive(Clone, Copy)]
pub struct Dialect {
    /// Decodes the head of a caller's request.
    pub parse_request_head: fn(&HeaderMap) -> Result<RequestFacts>,
    /// Builds the head sent to the endpoint from the caller's.
    pub build_endpoint_head: fn(&HeaderMap, &EndpointRequestInfo<'_>) -> HeaderMap,
    /// Decodes the head of an endpoint's response.
    pub parse_response_head: fn(&HeaderMap) -> ResponseFacts,
    /// Builds the head sent to the caller from the endpoint's.
    pub build_caller_head: fn(HeaderMap) -> HeaderMap,
    /// Builds the error response for a request that was not served, with the id of the attempt if
    /// it is known.
    pub build_error_response: fn(&Error, Option<&str>) -> Response<Bytes>,
    /// Path of a request without an id, which endpoints answer at once and without running anything.
    pub probe_path: &'static str,
    /// Path of the readiness check.
    pub readiness_path: &'static str,
    /// Encoding used with the store.
    pub store: StoreDialect,
}
