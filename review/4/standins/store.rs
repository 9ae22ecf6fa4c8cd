//! The platform's store: objects with revisions, lists and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_message, write_response, Message};

struct Change {
    revision: u64,
    kind: String,
    object: String,
    is_deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    changes: Vec<Change>,
}

/// A running store; clones share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: String,
}

impl Store {
    pub fn start() -> std::io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let store = Store { state: Arc::default(), address };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes the spec of an object, given as JSON text.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"created":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
        );
        state.objects.insert((kind.into(), name.into()), object.clone());
        state.changes.push(Change { revision, kind: kind.into(), object, is_deleted: false });
        self.state.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.0.lock().unwrap();
        if let Some(object) = state.objects.remove(&(kind.to_string(), name.to_string())) {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push(Change { revision, kind: kind.into(), object, is_deleted: true });
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(req) = read_message(&mut reader) {
            let (status, body) = self.respond(&req);
            let headers = [("Content-Type", "application/json")];
            if write_response(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, req: &Message) -> (u16, String) {
        let target = req.target().to_string();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let Some(path) = path.strip_prefix("/-/objects/") else { return (404, "{}".into()) };
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        if req.method() != "GET" {
            // No case has objects that hosts write.
            return (404, "{}".into());
        }
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok());
        match number("watch") {
            Some(after) => self.watch(path, after, number("wait-ms").unwrap_or(0)),
            None => self.list(path),
        }
    }

    fn list(&self, path: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        if let Some((kind, name)) = path.split_once('/') {
            return match state.objects.get(&(kind.to_string(), name.to_string())) {
                Some(object) => (200, object.clone()),
                None => (404, "{}".into()),
            };
        }
        let items: Vec<&str> = state
            .objects
            .iter()
            .filter(|((kind, _), _)| kind == path)
            .map(|(_, object)| object.as_str())
            .collect();
        let (items, revision) = (items.join(","), state.revision);
        (200, format!(r#"{{"items":[{items}],"truncated":false,"store-revision":{revision}}}"#))
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .changes
                .iter()
                .filter(|c| c.revision > after && c.kind == kind)
                .map(|c| format!(r#"{{"object":{},"deleted":{}}}"#, c.object, c.is_deleted))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (200, format!(r#"{{"events":[{events}],"store-revision":{revision}}}"#));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
