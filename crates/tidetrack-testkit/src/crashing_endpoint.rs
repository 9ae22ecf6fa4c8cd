//! An endpoint that crashes: all of its connections are closed, nobody listens at its address for a while, and it
//! comes back as another life.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Body of a request that crashes the endpoints which run it.
pub const CRASHING_BODY: &str = "deadly";

/// How long such a request runs before that.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// How long a usual request runs.
const RESPONSE_DELAY: Duration = Duration::from_millis(5);

/// How long an endpoint is away after a crash.
const DOWNTIME: Duration = Duration::from_millis(900);

/// Longest time until its address can be bound.
const BIND_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between looks for a new connection.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Number of an endpoint's life, from 1.
pub type Incarnation = usize;

/// A request that reached an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Headers, names in lower case.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: String,
}

impl Request {
    /// Gets a header, or nothing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

type ResponseFn = dyn Fn(&Request, Incarnation) -> String + Send + Sync;
type IncarnationCallback = dyn Fn(Incarnation) + Send + Sync;

/// What an endpoint does beside crashing.
pub struct EndpointBehavior {
    /// Makes the whole answer to a request.
    pub respond: Box<ResponseFn>,
    /// Is told that a life begins.
    pub on_start: Box<IncarnationCallback>,
    /// How long it listens on after its connections were closed.
    pub listener_linger: Duration,
    /// Whether it answers deadly requests like others.
    pub survives_crashing_requests: bool,
    /// Is told that a life has ended, when the next one is about to begin.
    pub on_end: Box<IncarnationCallback>,
}

/// A request that came, and when.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The attempt's id, where it has one.
    pub attempt_id: String,
    /// When.
    pub received_at: Instant,
    /// Whether it is one that crashes endpoints.
    pub is_crashing: bool,
}

#[derive(Default)]
struct State {
    incarnation: Incarnation,
    is_up: bool,
    connections: Vec<TcpStream>,
    arrivals: Vec<Arrival>,
    crashes: Vec<Instant>,
}

/// A running endpoint.
#[derive(Clone)]
pub struct CrashingEndpoint {
    address: String,
    behavior: Arc<EndpointBehavior>,
    state: Arc<Mutex<State>>,
}

impl CrashingEndpoint {
    /// Starts an endpoint at an address.
    pub fn start(address: &str, behavior: EndpointBehavior) -> CrashingEndpoint {
        let behavior = Arc::new(behavior);
        let endpoint =
            CrashingEndpoint { address: address.into(), behavior, state: Arc::default() };
        endpoint.start_incarnation();
        endpoint
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Gets its address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Gets what reached it.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Gets when it crashed under a deadly request.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state().crashes.clone()
    }

    fn start_incarnation(&self) {
        let listener = bind_with_retry(&self.address);
        listener.set_nonblocking(true).expect("an option");
        let incarnation = {
            let mut state = self.state();
            state.incarnation += 1;
            state.is_up = true;
            state.incarnation
        };
        (self.behavior.on_start)(incarnation);
        let endpoint = self.clone();
        std::thread::spawn(move || {
            endpoint.accept(&listener, incarnation);
            std::thread::sleep(endpoint.behavior.listener_linger);
        });
    }

    fn is_current_incarnation(&self, incarnation: Incarnation) -> bool {
        let state = self.state();
        state.is_up && state.incarnation == incarnation
    }

    fn accept(&self, listener: &TcpListener, incarnation: Incarnation) {
        while self.is_current_incarnation(incarnation) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            };
            stream.set_nonblocking(false).expect("an option");
            let stored_stream = stream.try_clone().expect("a second handle");
            {
                // A crash closes what it finds here, so a connection is added before it is served.
                let mut state = self.state();
                if !state.is_up || state.incarnation != incarnation {
                    return;
                }
                state.connections.push(stored_stream);
            }
            let endpoint = self.clone();
            std::thread::spawn(move || endpoint.serve(stream, incarnation));
        }
    }

    /// Crashes, and comes back after a while.
    pub fn crash(&self) {
        let incarnation = {
            let mut state = self.state();
            if !state.is_up {
                return;
            }
            state.is_up = false;
            for connection in std::mem::take(&mut state.connections) {
                // Its other end may have closed it.
                drop(connection.shutdown(Shutdown::Both));
            }
            state.incarnation
        };
        let endpoint = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(DOWNTIME);
            (endpoint.behavior.on_end)(incarnation);
            endpoint.start_incarnation();
        });
    }

    fn serve(&self, stream: TcpStream, incarnation: Incarnation) {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut writer = stream;
        while let Some(request) = read_request(&mut reader) {
            if !self.is_current_incarnation(incarnation) {
                return;
            }
            let is_crashing = request.body == CRASHING_BODY;
            let attempt_id = request.header("tidetrack-attempt-id").to_string();
            self.state().arrivals.push(Arrival {
                attempt_id,
                received_at: Instant::now(),
                is_crashing,
            });
            std::thread::sleep(if is_crashing { CRASH_DELAY } else { RESPONSE_DELAY });
            if !self.is_current_incarnation(incarnation) {
                return;
            }
            if is_crashing && !self.behavior.survives_crashing_requests {
                self.state().crashes.push(Instant::now());
                return self.crash();
            }
            let response = (self.behavior.respond)(&request, incarnation);
            if writer.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Binds an address that is ours. A process that is being started holds a copy of each open socket for a moment, also of
/// the one by which the address was found.
fn bind_with_retry(address: &str) -> TcpListener {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                std::thread::sleep(POLL_INTERVAL);
            }
            Err(e) => panic!("{address}: {e}"),
        }
    }
}

/// Reads a request; `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut request = Request::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            request.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let mut body = vec![0; request.header("content-length").parse().unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    request.body = String::from_utf8(body).ok()?;
    Some(request)
}
