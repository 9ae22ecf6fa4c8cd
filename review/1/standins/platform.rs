//! A stand-in of the platform's metadata store, as far as a host without roll-outs uses it: lists, watches and reads.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head, Message};

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    spec: String,
}

impl Object {
    fn text(&self) -> String {
        format!(
            r#"{{"metadata":{{"name":"{}","revision":{},"created":1,"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
            self.name, self.revision, self.spec
        )
    }
}

struct Event {
    revision: u64,
    kind: String,
    object: Object,
}

struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Address at which the store listens.
    pub address: String,
}

impl Store {
    /// Starts an empty store on a loopback address.
    pub fn start(ip: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let address = listener.local_addr()?.to_string();
        let state = State { revision: 100, objects: BTreeMap::new(), events: Vec::new() };
        let store = Store { shared: Arc::new((Mutex::new(state), Condvar::new())), address };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object, as the operator or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: String) {
        let mut state = self.shared.0.lock().expect("no holder of the lock panics");
        state.revision += 1;
        let object = Object { name: name.into(), revision: state.revision, spec };
        state.objects.insert((kind.into(), name.into()), object.clone());
        let revision = state.revision;
        state.events.push(Event { revision, kind: kind.into(), object });
        drop(state);
        self.shared.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(mut req) = read_head(&mut reader) {
            read_body(&mut reader, &mut req, false, |_| true);
            let (status, body) = self.answer(&req);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, String) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let Some(rest) = path.strip_prefix("/-/objects/") else { return (404, "{}".into()) };
        let param = |name: &str| {
            query
                .split('&')
                .find_map(|p| p.split_once('=').filter(|(n, _)| *n == name))
                .map(|(_, v)| v)
        };
        if req.method() != "GET" {
            // These cases have no object whose status a host may write.
            return (404, "{}".into());
        }
        let kind = match rest.split_once('/') {
            Some((kind, name)) => {
                let state = self.shared.0.lock().expect("no holder of the lock panics");
                let object = state.objects.get(&(kind.into(), name.into()));
                return object.map_or((404, "{}".into()), |o| (200, o.text()));
            }
            None => rest,
        };
        match param("watch").and_then(|revision| revision.parse().ok()) {
            Some(after) => {
                let wait = param("wait-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                (200, self.watch(kind, after, Duration::from_millis(wait)))
            }
            None => {
                let state = self.shared.0.lock().expect("no holder of the lock panics");
                let after = param("after-revision").unwrap_or("");
                let items = state
                    .objects
                    .iter()
                    .filter(|((k, name), _)| k == kind && name.as_str() > after);
                let items: Vec<String> = items.map(|(_, object)| object.text()).collect();
                let (items, revision) = (items.join(","), state.revision);
                (
                    200,
                    format!(
                        r#"{{"items":[{items}],"truncated":false,"store-revision":{revision}}}"#
                    ),
                )
            }
        }
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let deadline = Instant::now() + wait;
        let mut state = self.shared.0.lock().expect("no holder of the lock panics");
        loop {
            let events = state.events.iter().filter(|e| e.kind == kind && e.revision > after);
            let events: Vec<String> = events
                .map(|e| format!(r#"{{"deleted":false,"object":{}}}"#, e.object.text()))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!(r#"{{"events":[{events}],"store-revision":{revision}}}"#);
            }
            state =
                self.shared.1.wait_timeout(state, left).expect("no holder of the lock panics").0;
        }
    }
}
