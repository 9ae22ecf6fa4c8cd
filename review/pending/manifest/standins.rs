//! Stand-ins for scripts: the platform's store, replicas, requesters and host processes, on loopback addresses.
//! Only the standard library is used.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A parsed HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads bytes with a buffer that outlives one message.
pub struct Reader {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buf: Vec::new() }
    }
    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0u8; 16384];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n)
    }
    /// Reads a head; `None` at a regular end of the connection before one.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..at + 4).collect();
                let text = String::from_utf8_lossy(&head).to_string();
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_string();
                let headers = lines
                    .filter_map(|l| l.split_once(':'))
                    .map(|(n, v)| (n.trim().to_string(), v.trim().to_string()))
                    .collect();
                return Ok(Some(Message { start, headers, body: Vec::new() }));
            }
            if self.fill()? == 0 {
                return if self.buf.is_empty() { Ok(None) } else { Err(eof()) };
            }
        }
    }
    /// Reads up to `n` bytes that are available, at least one; empty at the end.
    pub fn some(&mut self) -> io::Result<Vec<u8>> {
        if self.buf.is_empty() {
            self.fill()?;
        }
        Ok(std::mem::take(&mut self.buf))
    }
    pub fn exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            if self.fill()? == 0 {
                return Err(eof());
            }
        }
        Ok(self.buf.drain(..n).collect())
    }
    pub fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).to_string());
            }
            if self.fill()? == 0 {
                return Err(eof());
            }
        }
    }
    /// Reads the body of a message by its length or its chunks.
    pub fn body(&mut self, head: &Message, is_response: bool) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = usize::from_str_radix(self.line()?.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| eof())?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exact(size)?);
                self.exact(2)?;
            }
        }
        match head.header("content-length").and_then(|v| v.parse().ok()) {
            Some(n) => self.exact(n),
            None if is_response => {
                let mut body = std::mem::take(&mut self.buf);
                self.stream.read_to_end(&mut body)?;
                Ok(body)
            }
            None => Ok(Vec::new()),
        }
    }
}

fn eof() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended")
}

pub fn find(haystack: &[u8], needle: &[u8]) -> Option<usize> {
    haystack.windows(needle.len()).position(|w| w == needle)
}

/// Common clock of a script, and its record.
pub struct Record {
    pub start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { start: Instant::now(), lines: Mutex::default() })
    }
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}", self.ms(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }
    pub fn write(&self, path: &str) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        fs::write(path, text).expect("the record can be written");
    }
}

#[derive(Clone)]
struct Object {
    spec: String,
    status: String,
    revision: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, whether it was deleted, and the object as JSON.
    log: Vec<(u64, String, bool, String)>,
}

/// How the store treats its callers.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum StoreMode {
    Up,
    Busy,
    Silent,
}

/// The platform's store, as its page describes it: lists, watches, conditional writes.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    mode: Mutex<StoreMode>,
    pub delay_ms: AtomicU64,
    pub address: SocketAddr,
    record: Arc<Record>,
}

fn object_json(name: &str, o: &Object) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{},"created":1,"finalizers":[],"deleting":false}},"spec":{},"status":{}}}"#,
        o.revision, o.spec, o.status
    )
}

impl Store {
    pub fn start(record: &Arc<Record>) -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            mode: Mutex::new(StoreMode::Up),
            delay_ms: AtomicU64::new(4),
            address: listener.local_addr().unwrap(),
            record: record.clone(),
        });
        let server = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                std::thread::spawn(move || drop(store.serve(stream)));
            }
        });
        store
    }
    pub fn set_mode(&self, mode: StoreMode) {
        *self.mode.lock().unwrap() = mode;
        self.changed.notify_all();
    }
    /// Writes an object as the operator or a replica does. Returns its revision, which is the ack.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let mut s = self.state.lock().unwrap();
        s.revision += 1;
        let revision = s.revision;
        let key = (kind.to_string(), name.to_string());
        let status = s.objects.get(&key).map_or("null".into(), |o| o.status.clone());
        let o = Object { spec: spec.into(), status, revision };
        s.log.push((revision, kind.into(), false, object_json(name, &o)));
        s.objects.insert(key, o);
        self.changed.notify_all();
        revision
    }
    pub fn delete(&self, kind: &str, name: &str) {
        let mut s = self.state.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        if let Some(o) = s.objects.remove(&key) {
            s.revision += 1;
            let revision = s.revision;
            let o = Object { revision, ..o };
            s.log.push((revision, kind.into(), true, object_json(name, &o)));
            self.changed.notify_all();
        }
    }
    pub fn status(&self, kind: &str, name: &str) -> Option<String> {
        let s = self.state.lock().unwrap();
        s.objects.get(&(kind.to_string(), name.to_string())).map(|o| o.status.clone())
    }
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(mut req) = reader.head()? {
            req.body = reader.body(&req, false)?;
            let mode = *self.mode.lock().unwrap();
            std::thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
            let (status, body) = match mode {
                StoreMode::Silent => {
                    // This channel says nothing any more.
                    std::thread::sleep(Duration::from_secs(3_600));
                    return Ok(());
                }
                StoreMode::Busy => (503, "{}".to_string()),
                StoreMode::Up => self.answer(&req),
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(head.as_bytes())?;
            writer.write_all(body.as_bytes())?;
        }
        Ok(())
    }
    fn answer(&self, req: &Message) -> (u16, String) {
        let (path, query) = req.path().split_once('?').unwrap_or((req.path(), ""));
        let query: BTreeMap<&str, &str> = query.split('&').filter_map(|p| p.split_once('=')).collect();
        let rest = path.strip_prefix("/-/objects/").unwrap_or("");
        let parts: Vec<&str> = rest.split('/').collect();
        match (req.method(), parts.as_slice()) {
            ("GET", [kind]) => match query.get("watch").and_then(|v| v.parse::<u64>().ok()) {
                None => self.list(kind, query.get("after-revision").copied()),
                Some(after) => {
                    let wait = query.get("wait-ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                    self.watch(kind, after, Duration::from_millis(wait))
                }
            },
            ("GET", [kind, name]) => {
                let s = self.state.lock().unwrap();
                match s.objects.get(&(kind.to_string(), name.to_string())) {
                    Some(o) => (200, object_json(name, o)),
                    None => (404, "{}".into()),
                }
            }
            ("PUT", [kind, name, "status"]) => self.put_status(kind, name, &req.body),
            _ => (404, "{}".into()),
        }
    }
    fn list(&self, kind: &str, after: Option<&str>) -> (u16, String) {
        let s = self.state.lock().unwrap();
        let items: Vec<String> = s
            .objects
            .iter()
            .filter(|((k, n), _)| k == kind && after.is_none_or(|a| n.as_str() > a))
            .map(|((_, n), o)| object_json(n, o))
            .collect();
        (200, format!(r#"{{"items":[{}],"truncated":false,"store-revision":{}}}"#, items.join(","), s.revision.max(1)))
    }
    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut s = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = s
                .log
                .iter()
                .filter(|(r, k, _, _)| *r > after && k == kind)
                .map(|(_, _, deleted, json)| format!(r#"{{"deleted":{deleted},"object":{json}}}"#))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!(r#"{{"events":[{}],"store-revision":{}}}"#, events.join(","), s.revision.max(after)));
            }
            if *self.mode.lock().unwrap() == StoreMode::Busy {
                return (503, "{}".into());
            }
            s = self.changed.wait_timeout(s, left.min(Duration::from_millis(200))).unwrap().0;
        }
    }
    fn put_status(&self, kind: &str, name: &str, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body).to_string();
        let expected = number_after(&text, "\"revision\":");
        let Some(status) = object_after(&text, "\"status\":") else { return (400, "{}".into()) };
        let mut s = self.state.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        let Some(o) = s.objects.get(&key).cloned() else { return (404, "{}".into()) };
        if expected.is_some_and(|r| r != o.revision) {
            return (409, object_json(name, &o));
        }
        self.record.add(format!("store: status of {kind}/{name} := {status}"));
        if o.status == status {
            return (200, object_json(name, &o));
        }
        s.revision += 1;
        let o = Object { status, revision: s.revision, ..o };
        let json = object_json(name, &o);
        let revision = s.revision;
        s.log.push((revision, kind.into(), false, json.clone()));
        s.objects.insert(key, o);
        self.changed.notify_all();
        (200, json)
    }
}

fn number_after(text: &str, mark: &str) -> Option<u64> {
    let rest = &text[text.find(mark)? + mark.len()..];
    let digits: String = rest.chars().skip_while(|c| *c == ' ').take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn object_after(text: &str, mark: &str) -> Option<String> {
    let rest = text[text.find(mark)? + mark.len()..].trim_start();
    let mut depth = 0;
    for (i, c) in rest.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => {
                depth -= 1;
                if depth == 0 {
                    return Some(rest[..=i].to_string());
                }
            }
            _ => {}
        }
    }
    None
}

/// A request that a replica has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at_ms: u64,
    pub id: String,
    pub path: String,
    pub tenant: Option<String>,
    pub head: Message,
}

/// Handles one request on a connection of a replica. Returns whether the connection stays open.
pub type Handler = dyn Fn(&Replica, &Message, &mut TcpStream, &mut Reader) -> io::Result<bool> + Send + Sync;

/// A replica.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    pub record: Arc<Record>,
    pub is_up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    handler: Box<Handler>,
}

impl Replica {
    pub fn start(
        record: &Arc<Record>,
        id: &str,
        service: &str,
        handler: impl Fn(&Replica, &Message, &mut TcpStream, &mut Reader) -> io::Result<bool> + Send + Sync + 'static,
    ) -> Arc<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let replica = Arc::new(Replica {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr().unwrap(),
            runs: Mutex::default(),
            record: record.clone(),
            is_up: AtomicBool::new(true),
            connections: Mutex::default(),
            handler: Box::new(handler),
        });
        let server = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !server.is_up.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                server.connections.lock().unwrap().push(stream.try_clone().unwrap());
                let replica = server.clone();
                std::thread::spawn(move || drop(replica.serve(stream)));
            }
        });
        replica
    }
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(mut req) = reader.head()? {
            if req.path() == "/-/report" || req.path() == "/healthz" {
                let body = r#"{"stage":"unified","models":[],"utilization":false,"sequence":1,"waiting":0,"running":0,"kv-in-use":0,"kv-limit":90000,"kv-handles":0}"#;
                write!(writer, "HTTP/1.1 200 OK\r\nTidetrack-Replica-Id: {}\r\nContent-Length: {}\r\n\r\n{body}", self.id, body.len())?;
                continue;
            }
            let expected = req.header("tidetrack-expect-replica").unwrap_or(&self.id).to_string();
            if expected != self.id {
                req.body = reader.body(&req, false)?;
                let id = req.header("tidetrack-attempt-id").unwrap_or("").to_string();
                write!(writer, "HTTP/1.1 421 X\r\nTidetrack-Attempt-Id: {id}\r\nTidetrack-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id)?;
                continue;
            }
            req.body = reader.body(&req, false)?;
            self.ran(&req);
            if !(self.handler)(self, &req, &mut writer, &mut reader)? {
                let _ = writer.shutdown(Shutdown::Both);
                return Ok(());
            }
        }
        Ok(())
    }
    pub fn ran(&self, req: &Message) {
        let run = Run {
            at_ms: self.record.ms(),
            id: req.header("tidetrack-attempt-id").unwrap_or("").into(),
            path: req.path().into(),
            tenant: req.header("tidetrack-tenant").map(str::to_string),
            head: Message { body: Vec::new(), ..req.clone() },
        };
        self.record.add(format!("replica {}: runs {} {} tenant={:?}", self.id, run.id, run.path, run.tenant));
        self.runs.lock().unwrap().push(run);
    }
    /// Ends the replica as a crash does: its listener and connections are closed.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        // Wakes the accept loop, which then drops the listener.
        let _ = TcpStream::connect(self.address);
        for c in self.connections.lock().unwrap().drain(..) {
            let _ = c.shutdown(Shutdown::Both);
        }
    }
    pub fn spec(&self, zone: &str, version: &str, state: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{zone}","version":"{version}","slots":8,"state":"{state}","cold-left-ms":0,"sequence":1}}"#,
            self.service, self.address
        )
    }
}

/// Writes a whole answer with a length.
pub fn answer(w: &mut TcpStream, req: &Message, status: u16, body: &str) -> io::Result<bool> {
    let id = req.header("tidetrack-attempt-id").unwrap_or("");
    write!(
        w,
        "HTTP/1.1 {status} X\r\nTidetrack-Attempt-Id: {id}\r\nTidetrack-Response-Seal: 3e1b.07.5a2\r\nTidetrack-Replica-Load: 0,0,8\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )?;
    Ok(true)
}

/// Writes the head of a stream in chunks.
pub fn stream_head(w: &mut TcpStream, req: &Message) -> io::Result<()> {
    let id = req.header("tidetrack-attempt-id").unwrap_or("");
    write!(
        w,
        "HTTP/1.1 200 OK\r\nTidetrack-Attempt-Id: {id}\r\nTidetrack-Response-Seal: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

pub fn chunk(w: &mut TcpStream, text: &str) -> io::Result<()> {
    w.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

/// A host process.
pub struct Host {
    pub child: Child,
    pub caller: SocketAddr,
    pub readiness: SocketAddr,
    pub peer: SocketAddr,
    pub log: PathBuf,
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub struct HostPlan {
    pub name: String,
    pub zone: String,
    pub addresses: [SocketAddr; 3],
}

impl HostPlan {
    pub fn new(name: &str, zone: &str) -> HostPlan {
        HostPlan { name: name.into(), zone: zone.into(), addresses: [free_address(), free_address(), free_address()] }
    }
    pub fn settings(&self, store: SocketAddr, seeds: &[SocketAddr], contracts: &str) -> String {
        let [caller, ready, peer] = self.addresses;
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        format!(
            "node-name={}\nrole=host\nmachine-class=edge\nserves=edge,control_plane\nzone={}\nregion=r\n\
             listen.frontend={caller}\nlisten.readiness={ready}\nlisten.control-plane={peer}\nseed-nodes={}\nbootstrap=true\n\
             limits.cpu-quota=0.25\nlimits.cpu-cores=1\nlimits.memory-mb=110\nlimits.max-fds=4100\nlimits.link-mbps=1000.0\nlimits.disk-mb=0\n\
             heartbeat-ms=1200\ncontracts={contracts}\nbounds.contact-ms=3000\nbounds.ack-ms=4000\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
             bounds.config-apply-ms=2000\nbounds.strict-revocation=true\nbounds.revoke-ms=5000\nbounds.retry-ratio=0.9\n\
             bounds.retry-window-s=10\nbounds.retry-allowance=58\nbounds.exposure-share=0.15\nbounds.exposure-allowance=30\n\
             bounds.rollback-ms=5000\nbounds.session-s=5\nplatform.address={store}\nplatform.form=objects\n",
            self.name, self.zone, seeds.join(",")
        )
    }
    pub fn start(&self, dir: &PathBuf, binary: &str, store: SocketAddr, seeds: &[SocketAddr], contracts: &str) -> Host {
        let file = dir.join(format!("{}.conf", self.name));
        fs::write(&file, self.settings(store, seeds, contracts)).unwrap();
        let log = dir.join(format!("{}.log", self.name));
        let out = fs::OpenOptions::new().create(true).append(true).open(&log).unwrap();
        let err = out.try_clone().unwrap();
        let child = Command::new(binary)
            .env("TIDETRACK_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .expect("the host program starts");
        let [caller, readiness, peer] = self.addresses;
        Host { child, caller, readiness, peer, log }
    }
}

impl Host {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }
    pub fn is_ready(&self) -> bool {
        let req = "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        matches!(exchange(self.readiness, req.as_bytes(), Duration::from_secs(1)), Ok(m) if m.status() == 200)
    }
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends one request on a new channel and reads the whole answer.
pub fn exchange(to: SocketAddr, req: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(req)?;
    let mut reader = Reader::new(stream);
    let mut m = reader.head()?.ok_or_else(eof)?;
    m.body = reader.body(&m, true)?;
    Ok(m)
}

/// Builds a requester's request.
pub fn request(method: &str, path: &str, id: &str, key: Option<&str>, deadline_ms: u64, extra: &str, body: &str) -> Vec<u8> {
    let key = key.map_or(String::new(), |k| format!("X-Api-Key: {k}\r\n"));
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nTidetrack-Attempt-Id: {id}\r\nTidetrack-Deadline-Ms: {deadline_ms}\r\n{key}{extra}{length}\r\n{body}"
    )
    .into_bytes()
}

pub fn temp_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("tidetrack-review-{name}-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    dir
}

pub const CONTRACTS: &str = "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout";
