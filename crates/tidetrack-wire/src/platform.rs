//! The platform's API: objects with versions, conditional updates and watches, and a list of hosts.
//!
//! A write whose reply is lost is repeated with the same expected version. If that conflicts, the
//! stored object is read back and its body, which is unique to the writer, is compared; no write is
//! ever applied twice. The timeout of a call depends on its size: the body of a write is known in
//! advance, and a read that timed out while its response was arriving gets more time on the next
//! try, as it would otherwise start over and time out forever. The timeout is not raised if the API
//! sends nothing.

use std::io::Read;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use tidetrack_core::codes::{Code, Executed};
use tidetrack_core::config::ObjectKey;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::store::{Delta, Entry};

use crate::headers;

/// Prefix of the names of configuration objects.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of the names of ledger segments.
pub const LEDGER_PREFIX: &str = "ledger/";
/// Prefix of the names of claims on callers' idempotency keys.
pub const CLAIM_PREFIX: &str = "claim/";

/// Timeout of a call to the platform before its size is taken into account, in seconds.
const BASE_TIMEOUT_SECONDS: u64 = 2;

/// Bytes of a body for which the timeout grows by one second: half of the throughput of a 1 Mbit/s
/// link.
const BODY_BYTES_PER_SECOND: u64 = 64 * 1024;

/// Maximum extension of a read's timeout, in seconds. It allows 7.5 MB over a 1 Mbit/s link, more
/// than any list of the target size.
const MAX_EXTRA_SECONDS: u64 = 60;

/// Time after which to retry when the object API's rate limit is exceeded, in milliseconds.
const BUSY_RETRY_MS: u64 = 1_000;

/// Maximum number of attempts at a write whose replies are lost.
const MAX_WRITE_ATTEMPTS: usize = 5;

/// An object as returned by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Full name, including the prefix.
    pub name: String,
    /// Revision of the write that created this version.
    pub version: u64,
    /// Body; `None` if a watch reports a deletion.
    pub body: Option<String>,
}

/// A list of objects at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// Revision at which the list was read.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<StoredObject>,
}

/// Result of a watch: all changes after `from` up to and including `to`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision after which the changes begin.
    pub from: u64,
    /// Revision of the last change included.
    pub to: u64,
    /// The changed objects.
    pub objects: Vec<StoredObject>,
}

/// Reply to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteReply {
    /// New version of the object.
    pub version: u64,
}

/// State of a host or endpoint in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// In service.
    Live,
    /// Leaving.
    Leaving,
}

/// An entry of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host or endpoint.
    pub name: String,
    /// `router` or `endpoint`.
    pub role: String,
    /// Address as `ip:port`; for a router, that of its port for other hosts.
    pub address: String,
    /// Whether the host or endpoint is leaving.
    pub state: ListedState,
}

/// A client of the platform's API.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base_url: String,
    fetch_timeout: AdaptiveTimeout,
    list_timeout: AdaptiveTimeout,
    watch_timeout: AdaptiveTimeout,
    hosts_timeout: AdaptiveTimeout,
}

/// Extension of a read's timeout in seconds. It grows when a read times out while its response is
/// arriving, and is reset by a read that completes within the base timeout.
#[derive(Clone, Debug, Default)]
struct AdaptiveTimeout(Arc<AtomicU64>);

impl AdaptiveTimeout {
    /// Sends a request and parses the JSON response within `seconds` plus the current extension.
    fn read<T: DeserializeOwned>(&self, request: minreq::Request, seconds: u64) -> Result<T> {
        let extra = self.0.load(Ordering::Relaxed);
        let started_at = Instant::now();
        let mut response =
            request.with_timeout(seconds + extra).send_lazy().map_err(unavailable_error)?;
        check_status(response.status_code)?;
        let mut body = Vec::new();
        if let Err(e) = response.read_to_end(&mut body) {
            let is_timed_out = started_at.elapsed() >= Duration::from_secs(seconds + extra);
            if is_timed_out && !body.is_empty() {
                let next_extra = (seconds + extra * 2).min(MAX_EXTRA_SECONDS);
                self.0.store(next_extra, Ordering::Relaxed);
            }
            let message = format!("the response was cut off after {} bytes: {e}", body.len());
            return Err(Error::new(Code::PlatformDown, message).with_executed(Executed::Unknown));
        }
        if started_at.elapsed() < Duration::from_secs(seconds) {
            self.0.store(0, Ordering::Relaxed);
        }
        parse_json(&body)
    }
}

fn unavailable_error(e: minreq::Error) -> Error {
    Error::new(Code::PlatformDown, e.to_string()).with_executed(Executed::Unknown)
}

fn check_status(status: u16) -> Result<()> {
    match status {
        200 => Ok(()),
        404 => Err(Error::new(Code::ObjectGone, "the object does not exist")),
        409 => Err(Error::new(Code::Conflict, "the object does not have the expected version")),
        429 => Err(Error::new(Code::PlatformBusy, "the rate limit of the object API is exceeded")
            .with_retry_after(BUSY_RETRY_MS)),
        status => {
            let message = format!("the object API returned status {status}");
            Err(Error::new(Code::PlatformDown, message).with_executed(Executed::Unknown))
        }
    }
}

/// Returns the timeout in seconds of a write with this body.
fn write_timeout_seconds(body: &str) -> u64 {
    BASE_TIMEOUT_SECONDS + body.len() as u64 / BODY_BYTES_PER_SECOND
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|e| Error::new(Code::PlatformDown, e.to_string()).with_executed(Executed::Unknown))
}

impl PlatformClient {
    /// Creates a client of the API at `address`, given as `ip:port`.
    pub fn new(address: &str) -> PlatformClient {
        PlatformClient {
            base_url: format!("http://{address}/v1"),
            fetch_timeout: AdaptiveTimeout::default(),
            list_timeout: AdaptiveTimeout::default(),
            watch_timeout: AdaptiveTimeout::default(),
            hosts_timeout: AdaptiveTimeout::default(),
        }
    }

    fn read<T: DeserializeOwned>(&self, request: minreq::Request, seconds: u64) -> Result<T> {
        let response = request.with_timeout(seconds).send().map_err(unavailable_error)?;
        check_status(response.status_code)?;
        parse_json(response.as_bytes())
    }

    /// Reads an object. Returns `ObjectGone` if it does not exist.
    pub fn fetch(&self, name: &str) -> Result<StoredObject> {
        self.fetch_within(name, BASE_TIMEOUT_SECONDS)
    }

    fn fetch_within(&self, name: &str, seconds: u64) -> Result<StoredObject> {
        self.fetch_timeout.read(minreq::get(format!("{}/objects/{name}", self.base_url)), seconds)
    }

    /// Lists the objects whose names start with `prefix`.
    pub fn list(&self, prefix: &str) -> Result<ObjectList> {
        let url = format!("{}/list?prefix={prefix}", self.base_url);
        self.list_timeout.read(minreq::get(url), BASE_TIMEOUT_SECONDS * 5)
    }

    /// Waits up to `wait_ms` for changes after the revision `after`. Returns `ObjectGone` if the
    /// history is no longer available and a new list must be read.
    pub fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<Changes> {
        let base_url = &self.base_url;
        let url = format!("{base_url}/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        self.watch_timeout.read(minreq::get(url), BASE_TIMEOUT_SECONDS + wait_ms.div_ceil(1000))
    }

    /// Writes an object if its version is `if_version`, where 0 creates it if absent. Returns
    /// `Conflict` if it has another version.
    pub fn write(&self, name: &str, if_version: u64, body: &str) -> Result<WriteReply> {
        let request = minreq::put(format!("{}/objects/{name}", self.base_url))
            .with_header(headers::IF_VERSION, if_version.to_string())
            .with_body(body);
        self.read(request, write_timeout_seconds(body))
    }

    /// Writes like `write`, and repeats the write if its reply is lost. If a repetition conflicts,
    /// the stored body is compared with `body` to find out whether an earlier attempt succeeded.
    ///
    /// The body must differ from that of any other writer.
    pub fn write_confirmed(&self, name: &str, if_version: u64, body: &str) -> Result<WriteReply> {
        let mut is_outcome_unknown = false;
        let mut last_error = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match self.write(name, if_version, body) {
                Err(e) if e.code == Code::PlatformDown => {
                    is_outcome_unknown = true;
                    last_error = Some(e);
                }
                Err(e) if e.code == Code::Conflict && is_outcome_unknown => {
                    // If the stored object is the own one, it has the same size.
                    let stored = self.fetch_within(name, write_timeout_seconds(body))?;
                    let is_own_write = stored.body.as_deref() == Some(body);
                    return if is_own_write {
                        Ok(WriteReply { version: stored.version })
                    } else {
                        Err(e)
                    };
                }
                other => return other,
            }
        }
        Err(last_error.unwrap_or_else(|| {
            Error::new(Code::PlatformDown, "the outcome of the write is unknown")
        }))
    }

    /// Deletes an object if its version is `if_version`.
    pub fn delete(&self, name: &str, if_version: u64) -> Result<WriteReply> {
        let request = minreq::delete(format!("{}/objects/{name}", self.base_url))
            .with_header(headers::IF_VERSION, if_version.to_string());
        self.read(request, BASE_TIMEOUT_SECONDS)
    }

    /// Reads the list of hosts and endpoints.
    pub fn hosts(&self) -> Result<Vec<ListedHost>> {
        self.hosts_timeout
            .read(minreq::get(format!("{}/hosts", self.base_url)), BASE_TIMEOUT_SECONDS)
    }

    /// Lists the configuration. Returns the revision and the entries.
    pub fn list_config(&self) -> Result<(u64, Vec<Entry>)> {
        let list = self.list(CONFIG_PREFIX)?;
        Ok((list.revision, list.objects.into_iter().filter_map(to_entry).collect()))
    }

    /// Waits up to `wait_ms` for changes of the configuration after the revision `after`.
    pub fn watch_config(&self, after: u64, wait_ms: u64) -> Result<Delta> {
        let changes = self.watch(CONFIG_PREFIX, after, wait_ms)?;
        let entries = changes.objects.into_iter().filter_map(to_entry).collect();
        Ok(Delta { from: changes.from, to: changes.to, entries })
    }
}

/// Returns the name of the object that stores a configuration object.
pub fn config_object_name(key: &ObjectKey) -> String {
    format!("{CONFIG_PREFIX}{key}")
}

/// Converts a stored object into an entry. Returns `None` if this release does not know its kind.
fn to_entry(object: StoredObject) -> Option<Entry> {
    let key = object.name.strip_prefix(CONFIG_PREFIX)?.parse().ok()?;
    Some(Entry { key, version: object.version, body: object.body.map(Into::into) })
}
