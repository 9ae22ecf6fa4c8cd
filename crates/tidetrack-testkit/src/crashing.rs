//! An endpoint that crashes: all of its connections are closed, nobody listens at its address for a while, and it
//! comes back as another life.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Body of a request that crashes the endpoints which run it.
pub const DEADLY: &str = "deadly";

/// How long such a request runs before that.
const DEADLY_AFTER: Duration = Duration::from_millis(30);

/// How long a usual request runs.
const USUAL_RUN: Duration = Duration::from_millis(5);

/// How long an endpoint is away after a crash.
const AWAY: Duration = Duration::from_millis(900);

/// Longest time until its address can be bound.
const BOUND_WITHIN: Duration = Duration::from_secs(1);

/// Pause between looks for a new connection.
const LOOK: Duration = Duration::from_millis(1);

/// Number of an endpoint's life, from 1.
pub type Life = usize;

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

type Answer = dyn Fn(&Request, Life) -> String + Send + Sync;
type Told = dyn Fn(Life) + Send + Sync;

/// What an endpoint does beside crashing.
pub struct Manners {
    /// Makes the whole answer to a request.
    pub answer: Box<Answer>,
    /// Is told that a life begins.
    pub comes_up: Box<Told>,
    /// How long it listens on after its connections were closed.
    pub listens_on: Duration,
    /// Whether it answers deadly requests like others.
    pub survives: bool,
    /// Is told that a life has ended, when the next one is about to begin.
    pub has_gone: Box<Told>,
}

/// A request that came, and when.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The attempt's id, where it has one.
    pub id: String,
    /// When.
    pub at: Instant,
    /// Whether it is one that crashes endpoints.
    pub is_deadly: bool,
}

#[derive(Default)]
struct State {
    life: Life,
    is_up: bool,
    connections: Vec<TcpStream>,
    arrivals: Vec<Arrival>,
    crashes: Vec<Instant>,
}

/// A running endpoint.
#[derive(Clone)]
pub struct Crashing {
    address: String,
    manners: Arc<Manners>,
    state: Arc<Mutex<State>>,
}

impl Crashing {
    /// Starts an endpoint at an address.
    pub fn start(address: &str, manners: Manners) -> Crashing {
        let manners = Arc::new(manners);
        let endpoint = Crashing { address: address.into(), manners, state: Arc::default() };
        endpoint.come_up();
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

    fn come_up(&self) {
        let listener = bind(&self.address);
        listener.set_nonblocking(true).expect("an option");
        let life = {
            let mut state = self.state();
            state.life += 1;
            state.is_up = true;
            state.life
        };
        (self.manners.comes_up)(life);
        let endpoint = self.clone();
        std::thread::spawn(move || {
            endpoint.accept(&listener, life);
            std::thread::sleep(endpoint.manners.listens_on);
        });
    }

    fn is_life(&self, life: Life) -> bool {
        let state = self.state();
        state.is_up && state.life == life
    }

    fn accept(&self, listener: &TcpListener, life: Life) {
        while self.is_life(life) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(LOOK);
                continue;
            };
            stream.set_nonblocking(false).expect("an option");
            let kept = stream.try_clone().expect("a second handle");
            {
                // A crash closes what it finds here, so a connection is added before it is served.
                let mut state = self.state();
                if !state.is_up || state.life != life {
                    return;
                }
                state.connections.push(kept);
            }
            let endpoint = self.clone();
            std::thread::spawn(move || endpoint.serve(stream, life));
        }
    }

    /// Crashes, and comes back after a while.
    pub fn crash(&self) {
        let life = {
            let mut state = self.state();
            if !state.is_up {
                return;
            }
            state.is_up = false;
            for connection in std::mem::take(&mut state.connections) {
                // Its other end may have closed it.
                drop(connection.shutdown(Shutdown::Both));
            }
            state.life
        };
        let endpoint = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(AWAY);
            (endpoint.manners.has_gone)(life);
            endpoint.come_up();
        });
    }

    fn serve(&self, stream: TcpStream, life: Life) {
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut writer = stream;
        while let Some(req) = read(&mut reader) {
            if !self.is_life(life) {
                return;
            }
            let is_deadly = req.body == DEADLY;
            let id = req.header("tidetrack-attempt-id").to_string();
            self.state().arrivals.push(Arrival { id, at: Instant::now(), is_deadly });
            std::thread::sleep(if is_deadly { DEADLY_AFTER } else { USUAL_RUN });
            if !self.is_life(life) {
                return;
            }
            if is_deadly && !self.manners.survives {
                self.state().crashes.push(Instant::now());
                return self.crash();
            }
            let answer = (self.manners.answer)(&req, life);
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Binds an address that is ours. A process that is being started holds a copy of each open socket for a moment, also of
/// the one by which the address was found.
fn bind(address: &str) -> TcpListener {
    let until = Instant::now() + BOUND_WITHIN;
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                std::thread::sleep(LOOK);
            }
            Err(e) => panic!("{address}: {e}"),
        }
    }
}

/// Reads a request; `None` at the end of the connection.
fn read(from: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut req = Request::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            req.headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let mut body = vec![0; req.header("content-length").parse().unwrap_or(0)];
    from.read_exact(&mut body).ok()?;
    req.body = String::from_utf8(body).ok()?;
    Some(req)
}
