//! A TCP proxy that forwards, delays, rate-limits, freezes or cuts its connections.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use anyhow::Result;

/// Fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Forwards all data unchanged.
    #[default]
    None,
    /// Forwards each read of data after the given number of milliseconds.
    Delay(u64),
    /// Limits responses to the given number of bytes per second, shared by all connections.
    SharedResponseRate(u64),
    /// Limits each direction of each connection to the given number of bytes per second.
    ConnectionRate(u64),
    /// Holds all data back until another fault is set.
    Freeze,
    /// Forwards requests and holds responses back until another fault is set.
    FreezeResponses,
    /// Closes all connections, and new ones as soon as they are accepted.
    Cut,
    /// Closes a connection after it has forwarded the given number of response bytes.
    CutAfterResponseBytes(u64),
}

/// Interval at which a held-back connection checks whether the fault has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Number of bytes that a connection sends over a rate-limited link before another connection can
/// send: a few packets of 1,460 bytes, which take 3 ms on a link of 10 Mbit/s.
const CHUNK_BYTES: usize = 4 << 10;

struct Shared {
    target: Mutex<Option<String>>,
    fault: Mutex<Fault>,
    /// Client and server streams of the open connections by connection ID, which a cut closes. A
    /// connection that ends is removed to release its descriptors, because a caller that sends each
    /// request right after the last response opens about 500 connections per second.
    open_connections: Mutex<HashMap<u64, [TcpStream; 2]>>,
    /// Number of connections so far, which is also the ID of the next one.
    connection_count: AtomicU64,
    is_stopped: AtomicBool,
    transferred_bytes: AtomicU64,
    /// When the rate-limited link will have sent all the data queued for it.
    link_free_at: Mutex<Instant>,
}

/// A running proxy, which stops when it is dropped.
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
            open_connections: Mutex::default(),
            connection_count: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            transferred_bytes: AtomicU64::new(0),
            link_free_at: Mutex::new(Instant::now()),
        });
        let acceptor = shared.clone();
        std::thread::spawn(move || {
            for source in listener.incoming().flatten() {
                if acceptor.is_stopped.load(Ordering::Acquire) {
                    return;
                }
                acceptor.connect(source);
            }
        });
        Ok(Proxy { address, shared })
    }

    /// Starts a proxy that forwards to `target`.
    pub fn with_target(target: &str) -> Result<Proxy> {
        let proxy = Proxy::start()?;
        proxy.set_target(target);
        Ok(proxy)
    }

    /// Returns the address on which the proxy listens, as `ip:port`.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Sets the address to which new connections are forwarded.
    pub fn set_target(&self, target: &str) {
        *lock(&self.shared.target) = Some(target.to_string());
    }

    /// Sets the fault that applies from now on. [`Fault::Cut`] closes the open connections.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.shared.fault) = fault;
        *lock(&self.shared.link_free_at) = Instant::now();
        if fault == Fault::Cut {
            for stream in
                lock(&self.shared.open_connections).drain().flat_map(|(_, streams)| streams)
            {
                // The peer may have closed the connection already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Returns the number of bytes forwarded so far in both directions.
    pub fn transferred_bytes(&self) -> u64 {
        self.shared.transferred_bytes.load(Ordering::Relaxed)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Release);
        self.set_fault(Fault::Cut);
        // This connection wakes the accept loop, which then ends because the proxy is stopped.
        let _ = TcpStream::connect(self.address);
    }
}

impl Shared {
    fn connect(self: &Arc<Self>, source: TcpStream) {
        let target = lock(&self.target).clone();
        if *lock(&self.fault) == Fault::Cut {
            return;
        }
        let Some(destination) = target.and_then(|t| TcpStream::connect(t).ok()) else { return };
        let clones = (
            source.try_clone(),
            destination.try_clone(),
            source.try_clone(),
            destination.try_clone(),
        );
        let (Ok(client), Ok(server), Ok(client_copy), Ok(server_copy)) = clones else { return };
        for stream in [&source, &destination] {
            // The call fails only on a closed socket, which does not need the option.
            let _ = stream.set_nodelay(true);
        }
        let connection_id = self.connection_count.fetch_add(1, Ordering::Relaxed);
        lock(&self.open_connections).insert(connection_id, [client_copy, server_copy]);
        let (request_side, response_side) = (self.clone(), self.clone());
        std::thread::spawn(move || request_side.forward(connection_id, source, destination, false));
        std::thread::spawn(move || response_side.forward(connection_id, server, client, true));
    }

    /// Copies one direction of a connection until it ends, which also closes the other direction.
    fn forward(
        &self,
        connection_id: u64,
        source: TcpStream,
        destination: TcpStream,
        is_response: bool,
    ) {
        self.copy_direction(source, destination, is_response);
        lock(&self.open_connections).remove(&connection_id);
    }

    fn copy_direction(&self, mut source: TcpStream, mut destination: TcpStream, is_response: bool) {
        let mut buf = [0; 16 * 1024];
        let mut forwarded_bytes = 0u64;
        while let Ok(received) = source.read(&mut buf) {
            let allowed = self.allowed_bytes(received, forwarded_bytes, is_response);
            forwarded_bytes += allowed as u64;
            self.transferred_bytes.fetch_add(allowed as u64, Ordering::Relaxed);
            let is_sent = buf[..allowed]
                .chunks(CHUNK_BYTES)
                .all(|chunk| self.send(chunk, &mut destination, is_response));
            if received == 0 || allowed < received || !is_sent {
                break;
            }
        }
        // Both streams may be closed already.
        let _ = (source.shutdown(Shutdown::Both), destination.shutdown(Shutdown::Both));
    }

    /// Writes a chunk, delayed by the time that a rate-limited link takes to send it. Reports whether
    /// the write succeeded.
    fn send(&self, chunk: &[u8], destination: &mut TcpStream, is_response: bool) -> bool {
        let fault = *lock(&self.fault);
        if let (Fault::SharedResponseRate(rate), true) = (fault, is_response) {
            let send_time = Duration::from_secs_f64(chunk.len() as f64 / rate.max(1) as f64);
            let sent_at = {
                let mut link_free_at = lock(&self.link_free_at);
                *link_free_at = Instant::now().max(*link_free_at) + send_time;
                *link_free_at
            };
            // At a very low rate, sending a chunk may take longer than the fault is set.
            while *lock(&self.fault) == fault {
                let remaining = sent_at.saturating_duration_since(Instant::now());
                if remaining.is_zero() {
                    break;
                }
                std::thread::sleep(remaining.min(POLL_INTERVAL));
            }
        }
        destination.write_all(chunk).is_ok()
    }

    /// Waits for as long as the fault requires. Returns how many of the received bytes may be forwarded;
    /// fewer than received means that the connection is closed after them.
    fn allowed_bytes(
        &self,
        received_bytes: usize,
        forwarded_bytes: u64,
        is_response: bool,
    ) -> usize {
        loop {
            let fault = *lock(&self.fault);
            match fault {
                Fault::None | Fault::SharedResponseRate(_) => return received_bytes,
                Fault::Delay(ms) => {
                    std::thread::sleep(Duration::from_millis(ms));
                    return received_bytes;
                }
                Fault::ConnectionRate(rate) => {
                    let micros = received_bytes as u64 * 1_000_000 / rate.max(1);
                    std::thread::sleep(Duration::from_micros(micros));
                    return received_bytes;
                }
                Fault::FreezeResponses if !is_response => return received_bytes,
                Fault::Freeze | Fault::FreezeResponses
                    if self.is_stopped.load(Ordering::Acquire) =>
                {
                    return 0
                }
                Fault::Freeze | Fault::FreezeResponses => std::thread::sleep(POLL_INTERVAL),
                Fault::Cut => return 0,
                Fault::CutAfterResponseBytes(_) if !is_response => return received_bytes,
                // One read can exceed the limit, because a proxy thread that is scheduled late receives
                // more bytes at once. The bytes up to the limit are still forwarded.
                Fault::CutAfterResponseBytes(max_bytes) => {
                    let remaining = usize::try_from(max_bytes.saturating_sub(forwarded_bytes));
                    return received_bytes.min(remaining.unwrap_or(usize::MAX));
                }
            }
        }
    }
}
