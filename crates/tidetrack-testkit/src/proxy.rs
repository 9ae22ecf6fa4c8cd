//! A TCP proxy that passes, delays, narrows, freezes or cuts what flows through it.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use anyhow::Result;

/// What a proxy does with what flows through it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Passes it on.
    #[default]
    None,
    /// Passes it on after so many milliseconds.
    Delay(u64),
    /// Passes answers on at so many bytes a second, which all connections share.
    Narrow(u64),
    /// Passes on so many bytes a second, each connection and way by itself.
    Rate(u64),
    /// Holds it back until told otherwise.
    Freeze,
    /// Passes requests on and holds answers back until told otherwise.
    FreezeAnswers,
    /// Closes connections and refuses new ones.
    Cut,
    /// Closes a connection once so many bytes came back from the target.
    CutAfter(u64),
}

/// How often a frozen connection looks whether it may go on.
const LOOK: Duration = Duration::from_millis(5);

/// Bytes that a connection sends over a narrow link before the next one has its turn: some packets of
/// 1,460 bytes, 3 ms of a link of 10 Mbit/s.
const TURN: usize = 4 << 10;

struct Shared {
    target: Mutex<Option<String>>,
    fault: Mutex<Fault>,
    /// Both sides of the connections under way, for a cut. One that ended gives its descriptors back: a
    /// caller that sends as fast as it is answered opens some 500 a second.
    open: Mutex<HashMap<u64, [TcpStream; 2]>>,
    /// Connections carried so far.
    connections: AtomicU64,
    stopped: AtomicBool,
    bytes: AtomicU64,
    /// When the narrow link has sent all that was given to it.
    is_free_at: Mutex<Instant>,
}

/// A running proxy; it stops when dropped.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl Proxy {
    /// Starts a proxy whose target is set later.
    pub fn start() -> Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: Mutex::default(),
            fault: Mutex::default(),
            open: Mutex::default(),
            connections: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            bytes: AtomicU64::new(0),
            is_free_at: Mutex::new(Instant::now()),
        });
        let accept = shared.clone();
        std::thread::spawn(move || {
            for from in listener.incoming().flatten() {
                if accept.stopped.load(Ordering::Acquire) {
                    return;
                }
                accept.connect(from);
            }
        });
        Ok(Proxy { address, shared })
    }

    /// Starts a proxy before `target`.
    pub fn before(target: &str) -> Result<Proxy> {
        let proxy = Proxy::start()?;
        proxy.set_target(target);
        Ok(proxy)
    }

    /// Gets the address that it serves.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Sets where connections go.
    pub fn set_target(&self, target: &str) {
        *lock(&self.shared.target) = Some(target.to_string());
    }

    /// Sets what it does from now on; a cut closes what is open.
    pub fn set(&self, fault: Fault) {
        *lock(&self.shared.fault) = fault;
        *lock(&self.shared.is_free_at) = Instant::now();
        if fault == Fault::Cut {
            for stream in lock(&self.shared.open).drain().flat_map(|(_, sides)| sides) {
                // The other side may have closed it already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Gets the bytes that went through, both ways.
    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        self.set(Fault::Cut);
        // The accept loop wakes up, sees that it is over, and ends.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn connect(self: &Arc<Self>, from: TcpStream) {
        let target = lock(&self.target).clone();
        if *lock(&self.fault) == Fault::Cut {
            return;
        }
        let Some(to) = target.and_then(|t| TcpStream::connect(t).ok()) else { return };
        let copies = (from.try_clone(), to.try_clone(), from.try_clone(), to.try_clone());
        let (Ok(from2), Ok(to2), Ok(from3), Ok(to3)) = copies else { return };
        for stream in [&from, &to] {
            // A socket that is closed already needs no option.
            let _ = stream.set_nodelay(true);
        }
        let number = self.connections.fetch_add(1, Ordering::Relaxed);
        lock(&self.open).insert(number, [from3, to3]);
        let (forth, back) = (self.clone(), self.clone());
        std::thread::spawn(move || forth.carry(number, from, to, false));
        std::thread::spawn(move || back.carry(number, to2, from2, true));
    }

    /// Copies one way of a connection until either way has ended.
    fn carry(&self, number: u64, from: TcpStream, to: TcpStream, is_answer: bool) {
        self.copy(from, to, is_answer);
        lock(&self.open).remove(&number);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, is_answer: bool) {
        let mut buf = [0; 16 * 1024];
        let mut answered = 0u64;
        while let Ok(n) = from.read(&mut buf) {
            let passed = self.pass(n, answered, is_answer);
            answered += passed as u64;
            self.bytes.fetch_add(passed as u64, Ordering::Relaxed);
            let is_sent =
                buf[..passed].chunks(TURN).all(|turn| self.send(turn, &mut to, is_answer));
            if n == 0 || passed < n || !is_sent {
                break;
            }
        }
        // Both may be closed already.
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }

    /// Sends bytes when their turn on the link has passed; tells whether they were taken.
    fn send(&self, bytes: &[u8], to: &mut TcpStream, is_answer: bool) -> bool {
        let fault = *lock(&self.fault);
        if let (Fault::Narrow(rate), true) = (fault, is_answer) {
            let takes = Duration::from_secs_f64(bytes.len() as f64 / rate.max(1) as f64);
            let sent_at = {
                let mut is_free_at = lock(&self.is_free_at);
                *is_free_at = Instant::now().max(*is_free_at) + takes;
                *is_free_at
            };
            // A turn of a very narrow link may be longer than the fault lasts.
            while *lock(&self.fault) == fault {
                let left = sent_at.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                std::thread::sleep(left.min(LOOK));
            }
        }
        to.write_all(bytes).is_ok()
    }

    /// Waits as the fault says; gets how many of the bytes that came may pass before the connection ends.
    fn pass(&self, bytes: usize, answered: u64, is_answer: bool) -> usize {
        loop {
            let fault = *lock(&self.fault);
            match fault {
                Fault::None | Fault::Narrow(_) => return bytes,
                Fault::Delay(ms) => {
                    std::thread::sleep(Duration::from_millis(ms));
                    return bytes;
                }
                Fault::Rate(rate) => {
                    let micros = bytes as u64 * 1_000_000 / rate.max(1);
                    std::thread::sleep(Duration::from_micros(micros));
                    return bytes;
                }
                Fault::FreezeAnswers if !is_answer => return bytes,
                Fault::Freeze | Fault::FreezeAnswers if self.stopped.load(Ordering::Acquire) => {
                    return 0
                }
                Fault::Freeze | Fault::FreezeAnswers => std::thread::sleep(LOOK),
                Fault::Cut => return 0,
                Fault::CutAfter(_) if !is_answer => return bytes,
                // However much comes at once: a late reader finds more than the bound at its first look.
                Fault::CutAfter(most) => {
                    let left = usize::try_from(most.saturating_sub(answered));
                    return bytes.min(left.unwrap_or(usize::MAX));
                }
            }
        }
    }
}
