//! The platform's API: objects with versions, conditional updates and watches, and a list of hosts.
//!
//! A write whose reply is lost is settled by reading back and comparing the body, which its writer
//! made distinct; it is never blindly written again. The time for a call takes account of its size: a
//! write's body is known, and a read whose answer was cut by time while it came gets more the next time,
//! lest it be begun again from nothing for good. An API that gives no answer gets no more.

use std::io::Read;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use tidetrack_core::codes::{Code, Ran};
use tidetrack_core::config::ObjectKey;
use tidetrack_core::errors::{Error, Result};
use tidetrack_core::store::{Delta, Entry};

use crate::headers;

/// Where configuration objects stand.
pub const CONFIG_PREFIX: &str = "config/";
/// Where segments of the ledger stand.
pub const LEDGER_PREFIX: &str = "ledger/";
/// Where claims on callers' keys stand.
pub const CLAIM_PREFIX: &str = "claim/";

/// Seconds that one call to the platform may take, besides what its size takes.
const BASE_TIMEOUT_SECONDS: u64 = 2;

/// A body gets a second more for so many bytes: half of what a link of 1 Mbit/s carries.
const BODY_BYTES_PER_SECOND: u64 = 64 * 1024;

/// Most seconds more for a read: 7.5 MB over a link of 1 Mbit/s, past any list of the size aimed at.
const MAX_EXTRA_SECONDS: u64 = 60;

/// When to come back to an object API that is over its rate, in milliseconds.
const BUSY_RETRY_MS: u64 = 1_000;

/// Tries to settle a write whose reply was lost.
const MAX_WRITE_ATTEMPTS: usize = 5;

/// An object as the platform gives it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredObject {
    /// The full name.
    pub name: String,
    /// The revision that wrote it.
    pub version: u64,
    /// The body; absent where a watch tells of a deletion.
    pub body: Option<String>,
}

/// A list of objects at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectList {
    /// The revision.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<StoredObject>,
}

/// What a watch gives: all changes after `from` up to `to`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// After this revision.
    pub from: u64,
    /// Up to this one.
    pub to: u64,
    /// The changed objects.
    pub objects: Vec<StoredObject>,
}

/// The reply to a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteReply {
    /// The object's new version.
    pub version: u64,
}

/// Whether a listed host or endpoint stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It stays.
    Live,
    /// It leaves.
    Leaving,
}

/// One line of the platform's list of hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// The host's or endpoint's name.
    pub name: String,
    /// `router` or `endpoint`.
    pub role: String,
    /// `ip:port`; for a router its port for other hosts.
    pub address: String,
    /// Whether it stays.
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

/// Seconds more for a read that may be large, after one was cut by time while its answer came.
#[derive(Clone, Debug, Default)]
struct AdaptiveTimeout(Arc<AtomicU64>);

impl AdaptiveTimeout {
    /// Reads JSON within `seconds` and what there is more.
    fn read<T: DeserializeOwned>(&self, request: minreq::Request, seconds: u64) -> Result<T> {
        let extra = self.0.load(Ordering::Relaxed);
        let started_at = Instant::now();
        let mut response =
            request.with_timeout(seconds + extra).send_lazy().map_err(unavailable)?;
        check_status(response.status_code)?;
        let mut body = Vec::new();
        if let Err(e) = response.read_to_end(&mut body) {
            let is_timed_out = started_at.elapsed() >= Duration::from_secs(seconds + extra);
            if is_timed_out && !body.is_empty() {
                let next_extra = (seconds + extra * 2).min(MAX_EXTRA_SECONDS);
                self.0.store(next_extra, Ordering::Relaxed);
            }
            let message = format!("an answer was cut after {} bytes: {e}", body.len());
            return Err(Error::new(Code::PlatformDown, message).with_ran(Ran::Unknown));
        }
        if started_at.elapsed() < Duration::from_secs(seconds) {
            self.0.store(0, Ordering::Relaxed);
        }
        parse_json(&body)
    }
}

fn unavailable(e: minreq::Error) -> Error {
    Error::new(Code::PlatformDown, e.to_string()).with_ran(Ran::Unknown)
}

fn check_status(status: u16) -> Result<()> {
    match status {
        200 => Ok(()),
        404 => Err(Error::new(Code::ObjectGone, "no such object")),
        409 => Err(Error::new(Code::Conflict, "the object has another version")),
        429 => Err(Error::new(Code::PlatformBusy, "over its rate").with_retry_after(BUSY_RETRY_MS)),
        status => {
            let message = format!("the object API answered {status}");
            Err(Error::new(Code::PlatformDown, message).with_ran(Ran::Unknown))
        }
    }
}

/// Gets the seconds that a call with a body of this size may take.
fn write_timeout_seconds(body: &str) -> u64 {
    BASE_TIMEOUT_SECONDS + body.len() as u64 / BODY_BYTES_PER_SECOND
}

fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body)
        .map_err(|e| Error::new(Code::PlatformDown, e.to_string()).with_ran(Ran::Unknown))
}

impl PlatformClient {
    /// Makes a client of the API at `ip:port`.
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
        let response = request.with_timeout(seconds).send().map_err(unavailable)?;
        check_status(response.status_code)?;
        parse_json(response.as_bytes())
    }

    /// Gets one object.
    pub fn fetch(&self, name: &str) -> Result<StoredObject> {
        self.fetch_within(name, BASE_TIMEOUT_SECONDS)
    }

    fn fetch_within(&self, name: &str, seconds: u64) -> Result<StoredObject> {
        self.fetch_timeout.read(minreq::get(format!("{}/objects/{name}", self.base_url)), seconds)
    }

    /// Lists the objects whose names begin with `prefix`.
    pub fn list(&self, prefix: &str) -> Result<ObjectList> {
        let url = format!("{}/list?prefix={prefix}", self.base_url);
        self.list_timeout.read(minreq::get(url), BASE_TIMEOUT_SECONDS * 5)
    }

    /// Waits up to `wait_ms` for changes after a revision. `ObjectGone` asks for a new list.
    pub fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<Changes> {
        let base_url = &self.base_url;
        let url = format!("{base_url}/watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        self.watch_timeout.read(minreq::get(url), BASE_TIMEOUT_SECONDS + wait_ms.div_ceil(1000))
    }

    /// Writes an object if its version is `if_version`; 0 creates it if absent.
    pub fn write(&self, name: &str, if_version: u64, body: &str) -> Result<WriteReply> {
        let request = minreq::put(format!("{}/objects/{name}", self.base_url))
            .with_header(headers::IF_VERSION, if_version.to_string())
            .with_body(body);
        self.read(request, write_timeout_seconds(body))
    }

    /// Writes like `write` and settles a lost reply by reading back.
    ///
    /// The body must be one that no other writer would write.
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
                    // If it is ours it is as large.
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
        Err(last_error.unwrap_or_else(|| Error::new(Code::PlatformDown, "not settled")))
    }

    /// Deletes an object if its version is `if_version`.
    pub fn delete(&self, name: &str, if_version: u64) -> Result<WriteReply> {
        let request = minreq::delete(format!("{}/objects/{name}", self.base_url))
            .with_header(headers::IF_VERSION, if_version.to_string());
        self.read(request, BASE_TIMEOUT_SECONDS)
    }

    /// Gets the list of hosts.
    pub fn hosts(&self) -> Result<Vec<ListedHost>> {
        self.hosts_timeout
            .read(minreq::get(format!("{}/hosts", self.base_url)), BASE_TIMEOUT_SECONDS)
    }

    /// Lists the configuration as entries of a store.
    pub fn list_config(&self) -> Result<(u64, Vec<Entry>)> {
        let list = self.list(CONFIG_PREFIX)?;
        Ok((list.revision, list.objects.into_iter().filter_map(to_entry).collect()))
    }

    /// Waits for changes of the configuration.
    pub fn watch_config(&self, after: u64, wait_ms: u64) -> Result<Delta> {
        let changes = self.watch(CONFIG_PREFIX, after, wait_ms)?;
        let entries = changes.objects.into_iter().filter_map(to_entry).collect();
        Ok(Delta { from: changes.from, to: changes.to, entries })
    }
}

/// Gets the name under which a configuration object stands.
pub fn config_object_name(key: &ObjectKey) -> String {
    format!("{CONFIG_PREFIX}{key}")
}

/// Reads a configuration object's entry; `None` for a kind that this version does not know.
fn to_entry(object: StoredObject) -> Option<Entry> {
    let key = object.name.strip_prefix(CONFIG_PREFIX)?.parse().ok()?;
    Some(Entry { key, version: object.version, body: object.body.map(Into::into) })
}
