//! Stand-in for the platform. It stores versioned objects with conditional updates and watches, and
//! serves a list of hosts that can be out of date. Rate limits, outages and lost replies can be
//! injected.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use anyhow::Result;
use serde::{Deserialize, Serialize};
use tiny_http::{Method, Request};

use tidetrack_wire::headers;
use tidetrack_wire::platform::{Changes, ListedHost, ObjectList, StoredObject, WriteReply};

use crate::http::{self, RunningServer};

/// Maximum size of an object's body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Maximum number of recent changes that are retained for watches.
const MAX_WATCH_CHANGES: usize = 100_000;

/// Faults that the stand-in injects.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Whether every call fails with status 503.
    pub down: bool,
    /// Delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming writes that take effect, but whose connection is closed without a reply.
    pub lose_replies: u32,
    /// Body that a conflicting write stores in an object just before the next conditional update.
    pub write_first: Option<String>,
    /// Maximum writes per second; 0 means no limit.
    pub writes_per_second: u32,
    /// Maximum reads per second, including watches; 0 means no limit.
    pub reads_per_second: u32,
    /// Age of the list of hosts that is served, in milliseconds.
    pub hosts_lag_ms: u64,
}

/// Counts of the calls that the stand-in received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformCounts {
    /// Reads other than watches: of objects, object lists and the list of hosts.
    pub reads: u64,
    /// Watch requests.
    pub watches: u64,
    /// Writes and deletions, including writes of the list of hosts.
    pub writes: u64,
    /// Conditional updates refused because the object had another version.
    pub conflicts: u64,
    /// Calls refused because they exceeded the rate limit.
    pub busy: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<String, (u64, String)>,
    changes: VecDeque<StoredObject>,
    host_lists: Vec<(Instant, Vec<ListedHost>)>,
    faults: PlatformFaults,
    counts: PlatformCounts,
    rate_window_start: Option<Instant>,
    calls_in_window: (u32, u32),
}

/// Handle of the platform; clones share its state.
#[derive(Clone, Default)]
pub struct Platform {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Platform {
    /// Starts serving the platform on `address`.
    pub fn serve(&self, address: &str) -> Result<RunningServer> {
        let platform = self.clone();
        http::serve(address, move |request| platform.handle(request))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("no holder of the lock panics")
    }

    /// Replaces the faults that the platform injects.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
        self.shared.1.notify_all();
    }

    /// Returns the call counts so far.
    pub fn counts(&self) -> PlatformCounts {
        self.lock().counts
    }

    /// Returns the names of the objects that begin with `prefix`, in sorted order.
    pub fn names(&self, prefix: &str) -> Vec<String> {
        self.lock().objects.keys().filter(|n| n.starts_with(prefix)).cloned().collect()
    }

    /// Sets the list of hosts, which is served once it is as old as the configured lag.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.lock().host_lists.push((Instant::now(), hosts));
    }

    fn handle(&self, mut request: Request) {
        let (path, query) = http::split_url(request.url());
        if path == "/v1/faults" {
            match http::read_json(&mut request) {
                Ok(faults) => self.set_faults(faults),
                Err(e) => return http::reply_json(request, 400, &e.to_string()),
            }
            return http::reply_json(request, 200, &"ok");
        }
        if path == "/v1/counts" {
            return http::reply_json(request, 200, &self.counts());
        }
        let is_write = matches!(request.method(), Method::Put | Method::Delete);
        if let Err(status) = self.admit(is_write, path == "/v1/watch") {
            return http::reply_json(request, status, &"refused");
        }
        let query_number = |key: &str| query.get(key).and_then(|v| v.parse().ok()).unwrap_or(0u64);
        let prefix = query.get("prefix").cloned().unwrap_or_default();
        match (request.method().clone(), path.strip_prefix("/v1/objects/")) {
            (Method::Get, Some(name)) => self.get_object(request, name),
            (Method::Put | Method::Delete, Some(name)) => self.write(request, name),
            (Method::Get, None) if path == "/v1/list" => self.list(request, &prefix),
            (Method::Get, None) if path == "/v1/watch" => {
                self.watch(request, &prefix, query_number("after"), query_number("wait_ms"));
            }
            (Method::Get, None) if path == "/v1/hosts" => self.list_hosts(request),
            (Method::Put, None) if path == "/v1/hosts" => match http::read_json(&mut request) {
                Ok(hosts) => {
                    self.set_hosts(hosts);
                    http::reply_json(request, 200, &"ok");
                }
                Err(e) => http::reply_json(request, 400, &e.to_string()),
            },
            _ => http::reply_json(request, 404, &"no such path"),
        }
    }

    /// Counts a call and applies the configured delay. Returns the HTTP status of the refusal if the
    /// platform is down or the rate limit is exceeded.
    fn admit(&self, is_write: bool, is_watch: bool) -> Result<(), u16> {
        let delay = self.lock().faults.delay_ms;
        if delay > 0 {
            std::thread::sleep(Duration::from_millis(delay));
        }
        let mut state = self.lock();
        match (is_write, is_watch) {
            (true, _) => state.counts.writes += 1,
            (false, true) => state.counts.watches += 1,
            (false, false) => state.counts.reads += 1,
        }
        if state.faults.down {
            return Err(503);
        }
        let now = Instant::now();
        if state.rate_window_start.is_none_or(|s| now - s >= Duration::from_secs(1)) {
            state.rate_window_start = Some(now);
            state.calls_in_window = (0, 0);
        }
        let limits = (state.faults.writes_per_second, state.faults.reads_per_second);
        let (used, limit) = match is_write {
            true => (&mut state.calls_in_window.0, limits.0),
            false => (&mut state.calls_in_window.1, limits.1),
        };
        *used += 1;
        if limit > 0 && *used > limit {
            state.counts.busy += 1;
            return Err(429);
        }
        Ok(())
    }

    fn get_object(&self, request: Request, name: &str) {
        let found = self.lock().objects.get(name).cloned();
        match found {
            Some((version, body)) => {
                let object = StoredObject { name: name.to_string(), version, body: Some(body) };
                http::reply_json(request, 200, &object);
            }
            None => http::reply_json(request, 404, &"no such object"),
        }
    }

    fn write(&self, mut request: Request, name: &str) {
        let expected = http::header(&request, headers::IF_VERSION).and_then(|v| v.parse().ok());
        let body = match request.method() {
            Method::Put => Some(http::read_body(&mut request)),
            _ => None,
        };
        if body.as_ref().is_some_and(|b| b.len() > MAX_BODY_BYTES) {
            return http::reply_json(request, 413, &"too large");
        }
        let body = match body.map(String::from_utf8).transpose() {
            Ok(body) => body,
            Err(_) => return http::reply_json(request, 400, &"not UTF-8"),
        };
        let Some(expected) = expected else {
            return http::reply_json(request, 400, &"a write must name the version it expects");
        };
        let (outcome, is_reply_lost) = self.write_object(name, expected, body);
        match outcome {
            _ if is_reply_lost => http::close_connection(request),
            Some(version) => http::reply_json(request, 200, &WriteReply { version }),
            None => http::reply_json(request, 409, &"another version"),
        }
    }

    /// Writes an object, or deletes it if `body` is `None`. Returns its new version, or `None` if the
    /// object does not have the expected version, and whether the reply has to be dropped.
    fn write_object(&self, name: &str, expected: u64, body: Option<String>) -> (Option<u64>, bool) {
        let mut state = self.lock();
        if let Some(conflicting_body) = state.faults.write_first.take() {
            state.revision += 1;
            let version = state.revision;
            state.objects.insert(name.to_string(), (version, conflicting_body.clone()));
            let body = Some(conflicting_body);
            state.changes.push_back(StoredObject { name: name.to_string(), version, body });
        }
        let current_version = state.objects.get(name).map_or(0, |(version, _)| *version);
        if current_version != expected {
            state.counts.conflicts += 1;
            return (None, false);
        }
        state.revision += 1;
        let version = state.revision;
        match &body {
            Some(body) => state.objects.insert(name.to_string(), (version, body.clone())),
            None => state.objects.remove(name),
        };
        state.changes.push_back(StoredObject { name: name.to_string(), version, body });
        if state.changes.len() > MAX_WATCH_CHANGES {
            state.changes.pop_front();
        }
        let is_reply_lost = state.faults.lose_replies > 0;
        state.faults.lose_replies -= u32::from(is_reply_lost);
        self.shared.1.notify_all();
        (Some(version), is_reply_lost)
    }

    fn list(&self, request: Request, prefix: &str) {
        let state = self.lock();
        let to_stored_object = |(name, (version, body)): (&String, &(u64, String))| StoredObject {
            name: name.clone(),
            version: *version,
            body: Some(body.clone()),
        };
        let matching = state.objects.iter().filter(|(n, _)| n.starts_with(prefix));
        // Revision 0 means that nothing has been read yet, so an empty list also gets a revision
        // above 0.
        let revision = state.revision.max(1);
        let list = ObjectList { revision, objects: matching.map(to_stored_object).collect() };
        drop(state);
        http::reply_json(request, 200, &list);
    }

    fn watch(&self, request: Request, prefix: &str, after: u64, wait_ms: u64) {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            if state.faults.down {
                drop(state);
                return http::reply_json(request, 503, &"down");
            }
            let oldest = state.changes.front().map_or(1, |c| c.version);
            if after + 1 < oldest {
                drop(state);
                return http::reply_json(request, 404, &"too old; list again");
            }
            let is_new_change = |c: &&StoredObject| c.version > after && c.name.starts_with(prefix);
            let objects: Vec<StoredObject> =
                state.changes.iter().filter(is_new_change).cloned().collect();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !objects.is_empty() || remaining.is_zero() {
                let changes = Changes { from: after, to: state.revision.max(after), objects };
                drop(state);
                return http::reply_json(request, 200, &changes);
            }
            let wait_result = self.shared.1.wait_timeout(state, remaining);
            state = wait_result.expect("no holder of the lock panics").0;
        }
    }

    fn list_hosts(&self, request: Request) {
        let state = self.lock();
        let lag = Duration::from_millis(state.faults.hosts_lag_ms);
        let visible_list = state.host_lists.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let hosts = visible_list.map(|(_, hosts)| hosts.clone()).unwrap_or_default();
        drop(state);
        http::reply_json(request, 200, &hosts);
    }
}
