//! An endpoint that crashes: all of its connections are closed, nothing listens on its address for a
//! while, and then it starts again as a new incarnation.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Body of a request that crashes each endpoint that runs it.
pub const CRASHING_BODY: &str = "deadly";

/// Id of a prompt part that crashes each endpoint that runs a request with it.
pub const CRASHING_PART: &str = "dead01";

/// Time from the arrival of a crashing request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// Run time of a request that does not crash the endpoint.
const RESPONSE_DELAY: Duration = Duration::from_millis(5);

/// Time from a crash to the start of the next incarnation.
const DOWNTIME: Duration = Duration::from_millis(900);

/// Maximum time to retry binding an address that is in use.
const BIND_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between attempts to accept a connection or to bind the address.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Sequence number of an endpoint's incarnation, starting at 1.
pub type Incarnation = usize;

/// A request that reached an endpoint.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Headers by name, in lower case.
    pub headers: HashMap<String, String>,
    /// The body; requests without a `content-length` header have an empty one.
    pub body: String,
}

impl Request {
    /// Returns the value of a header, or an empty string if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

type ResponseFn = dyn Fn(&Request, Incarnation) -> String + Send + Sync;
type IncarnationCallback = dyn Fn(Incarnation) + Send + Sync;

/// Configurable behavior of a crashing endpoint.
pub struct EndpointBehavior {
    /// Creates the complete HTTP response to a request, including the status line and the headers.
    pub respond: Box<ResponseFn>,
    /// Called when an incarnation starts.
    pub on_start: Box<IncarnationCallback>,
    /// How long the listener stays open after a crash has closed the connections.
    pub listener_linger: Duration,
    /// Whether the endpoint answers crashing requests instead of crashing.
    pub survives_crashing_requests: bool,
    /// Called with the incarnation that crashed, just before the next one starts.
    pub on_end: Box<IncarnationCallback>,
}

/// Record of a request that reached the endpoint.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The ID of the attempt, or an empty string if the request has none.
    pub attempt_id: String,
    /// When the request was received.
    pub received_at: Instant,
    /// Whether the request crashes endpoints.
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

/// Handle of a running endpoint; clones share its state.
#[derive(Clone)]
pub struct CrashingEndpoint {
    address: String,
    behavior: Arc<EndpointBehavior>,
    state: Arc<Mutex<State>>,
}

impl CrashingEndpoint {
    /// Starts an endpoint that listens on `address`.
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

    /// Returns the address of the endpoint.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns the requests that reached the endpoint, in order of arrival.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Returns when the endpoint crashed because of a crashing request.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state().crashes.clone()
    }

    /// Returns the current incarnation, or `None` while the endpoint is down.
    pub fn incarnation(&self) -> Option<Incarnation> {
        let state = self.state();
        state.is_up.then_some(state.incarnation)
    }

    fn start_incarnation(&self) {
        let listener = bind_with_retry(&self.address);
        listener.set_nonblocking(true).expect("the socket accepts the option");
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
            stream.set_nonblocking(false).expect("the socket accepts the option");
            let stored_stream = stream.try_clone().expect("the socket can be duplicated");
            {
                // A crash closes the connections in this list, so a connection is added before it is
                // served.
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

    /// Closes all connections and starts the next incarnation after `DOWNTIME`. Does nothing if the
    /// endpoint is already down.
    pub fn crash(&self) {
        let incarnation = {
            let mut state = self.state();
            if !state.is_up {
                return;
            }
            state.is_up = false;
            for connection in std::mem::take(&mut state.connections) {
                // The peer may have closed the connection already.
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
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be duplicated"));
        let mut writer = stream;
        while let Some(request) = read_request(&mut reader) {
            if !self.is_current_incarnation(incarnation) {
                return;
            }
            let prompt_parts = request.header("tidetrack-prompt-prefix");
            let is_crashing = request.body == CRASHING_BODY
                || prompt_parts.split(',').any(|part| part.starts_with(CRASHING_PART));
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

/// Binds the address that is reserved for the endpoint and retries while it is in use. A child
/// process that is being started briefly holds a copy of every open socket, including the one that
/// was used to find the free address.
fn bind_with_retry(address: &str) -> TcpListener {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                std::thread::sleep(POLL_INTERVAL);
            }
            Err(e) => panic!("cannot listen on {address}: {e}"),
        }
    }
}

/// Reads a request. Returns `None` if the connection ends or fails, or the body is not UTF-8.
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
