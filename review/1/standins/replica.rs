//! A stand-in of a replica, as its own process.
//!
//! A plain replica works on `slots` requests at once and rejects what does not fit its queue. With `hang=SHARE` it is
//! faulty while the file `hang_file` exists: it turns that share of its requests away and gets stuck in the middle of
//! the answer, whose head it has sent; its health answers stay good. A model replica (`engine=1`) reads the prompts of
//! its requests at the same time, at `read` tokens a ms together, sends the head with the first token and then an event
//! every `gap_ms`. With `spoil=SHARE` it spoils that share of its streams while `spoil_file` exists: it sends one event
//! twice, and goes on. Both drop a request whose channel closes.
//!
//! It reports on standard output, with the time: `arrived`, `running`, `rejected`, `done`, `dropped`.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{is_closed, read_body, read_head, Message};
use crate::record::now_ms;

/// Interval at which a replica looks whether the channel of a request has closed.
const TICK: Duration = Duration::from_millis(5);

/// The event of a spoiled stream that is sent twice.
const SPOILED_EVENT: u64 = 5;

struct Options {
    id: String,
    is_engine: bool,
    slots: usize,
    queue: usize,
    work: Duration,
    hang_percent: usize,
    hang_file: Option<PathBuf>,
    spoil_percent: u64,
    spoil_file: Option<PathBuf>,
    read_per_ms: f64,
    gap: Duration,
    events: u64,
}

struct Replica {
    options: Options,
    running: AtomicUsize,
    waiting: AtomicUsize,
    reading: AtomicUsize,
    faulty_count: AtomicUsize,
}

/// Runs a replica until it is killed.
pub fn run(options: &[&str]) -> i32 {
    let value = |name: &str| {
        options.iter().find_map(|o| o.split_once('=').filter(|(n, _)| *n == name)).map(|(_, v)| v)
    };
    let number =
        |name: &str, default: f64| value(name).and_then(|v| v.parse().ok()).unwrap_or(default);
    let ms = |name: &str, default: f64| Duration::from_secs_f64(number(name, default) / 1_000.0);
    let Ok(listener) = TcpListener::bind(format!("{}:0", value("ip").unwrap_or("127.0.0.1")))
    else {
        return 2;
    };
    let Ok(address) = listener.local_addr() else { return 2 };
    println!("listening {address}");
    let options = Options {
        id: value("id").unwrap_or("i-0").to_string(),
        is_engine: value("engine").is_some(),
        slots: number("slots", 6.0) as usize,
        queue: number("queue", 24.0) as usize,
        work: ms("work_ms", 15.0),
        hang_percent: (number("hang", 0.0) * 100.0) as usize,
        hang_file: value("hang_file").map(PathBuf::from),
        spoil_percent: (number("spoil", 0.0) * 100.0) as u64,
        spoil_file: value("spoil_file").map(PathBuf::from),
        read_per_ms: number("read", 61.2),
        gap: ms("gap_ms", 150.0),
        events: number("events", 64.0) as u64,
    };
    let replica = Arc::new(Replica {
        options,
        running: AtomicUsize::new(0),
        waiting: AtomicUsize::new(0),
        reading: AtomicUsize::new(0),
        faulty_count: AtomicUsize::new(0),
    });
    for stream in listener.incoming().flatten() {
        let replica = replica.clone();
        std::thread::spawn(move || replica.serve(stream));
    }
    0
}

fn report(event: &str, id: &str, more: &str) {
    let line = format!("{} {event} {id} {more}\n", now_ms());
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(line.as_bytes()).and_then(|()| out.flush());
}

impl Replica {
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(mut req) = read_head(&mut reader) {
            read_body(&mut reader, &mut req, false, |_| true);
            if !req.complete || self.answer(&req, &mut stream).is_none() {
                return;
            }
        }
    }

    /// Answers a request; `None` closes the channel.
    fn answer(&self, req: &Message, to: &mut TcpStream) -> Option<()> {
        let load = format!(
            "Tidetrack-Replica-Load: {},{},{}\r\n",
            self.running.load(Ordering::Relaxed),
            self.waiting.load(Ordering::Relaxed),
            self.options.slots
        );
        if req.target() == "/healthz" {
            let id = format!("Tidetrack-Replica-Id: {}\r\n", self.options.id);
            return write(to, &format!("HTTP/1.1 200 OK\r\n{id}{load}Content-Length: 0\r\n\r\n"));
        }
        let Some(id) = req.header("tidetrack-attempt-id").map(str::to_string) else {
            return write(
                to,
                "HTTP/1.1 400 X\r\nTidetrack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            );
        };
        let echo = format!("Tidetrack-Attempt-Id: {id}\r\n");
        if req
            .header("tidetrack-expect-replica")
            .is_some_and(|expected| expected != self.options.id)
        {
            return write(to, &format!("HTTP/1.1 421 X\r\n{echo}Content-Length: 0\r\n\r\n"));
        }
        report(
            "arrived",
            &id,
            &format!("deadline-ms={}", req.header("tidetrack-deadline-ms").unwrap_or("-")),
        );
        let is_faulty = self.options.hang_file.as_ref().is_some_and(|file| file.exists());
        if is_faulty && self.hits_fault() {
            return self.hang(&id, &echo, to);
        }
        let sealed =
            format!("{echo}Tidetrack-Response-Seal: 3e1b.07.5a2.{}\r\n{load}", self.options.id);
        match self.options.is_engine {
            true => self.generate(req, &id, &sealed, to),
            false => self.work(&id, &echo, &sealed, to),
        }
    }

    /// Spreads the faulty requests evenly.
    fn hits_fault(&self) -> bool {
        let n = self.faulty_count.fetch_add(1, Ordering::Relaxed);
        let percent = self.options.hang_percent;
        (n + 1) * percent / 100 > n * percent / 100
    }

    /// Turns a request away and gets stuck after the head of the answer, until the channel closes.
    fn hang(&self, id: &str, echo: &str, to: &mut TcpStream) -> Option<()> {
        report("rejected", id, "and stuck after the head of the answer");
        let head = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{echo}Tidetrack-Not-Executed: 1\r\nContent-Length: 12\r\n\r\n"
        );
        write(to, &head)?;
        while !is_closed(to) {
            std::thread::sleep(TICK);
        }
        report("dropped", id, "its channel closed");
        None
    }

    fn work(&self, id: &str, echo: &str, sealed: &str, to: &mut TcpStream) -> Option<()> {
        if self.running.load(Ordering::Relaxed) + self.waiting.load(Ordering::Relaxed)
            >= self.options.slots + self.options.queue
        {
            report("rejected", id, "full");
            let text = format!(
                "HTTP/1.1 503 X\r\n{echo}Tidetrack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return write(to, &text);
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        while !self.try_take_slot() {
            std::thread::sleep(TICK);
        }
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        report("running", id, "");
        std::thread::sleep(self.options.work);
        self.running.fetch_sub(1, Ordering::Relaxed);
        report("done", id, "");
        write(to, &format!("HTTP/1.1 200 OK\r\n{sealed}Content-Length: 4\r\n\r\ndone"))
    }

    fn try_take_slot(&self) -> bool {
        let running = self.running.load(Ordering::Relaxed);
        let take = || {
            self.running.compare_exchange(running, running + 1, Ordering::SeqCst, Ordering::Relaxed)
        };
        running < self.options.slots && take().is_ok()
    }

    fn generate(&self, req: &Message, id: &str, sealed: &str, to: &mut TcpStream) -> Option<()> {
        let after: u64 = req.header("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0);
        let usage = req.header("tidetrack-token-usage").unwrap_or("0,0");
        let mut left: f64 =
            usage.split(',').next().and_then(|n| n.trim().parse().ok()).unwrap_or(0.0);
        report("running", id, &format!("reads {left} tokens, after event {after}"));
        self.running.fetch_add(1, Ordering::Relaxed);
        self.reading.fetch_add(1, Ordering::Relaxed);
        let mut at = Instant::now();
        let is_read = loop {
            std::thread::sleep(TICK);
            if is_closed(to) {
                break false;
            }
            let readers = self.reading.load(Ordering::Relaxed).max(1) as f64;
            left -= at.elapsed().as_secs_f64() * 1_000.0 * self.options.read_per_ms / readers;
            at = Instant::now();
            if left <= 0.0 {
                break true;
            }
        };
        self.reading.fetch_sub(1, Ordering::Relaxed);
        let ended = if is_read { self.send_events(after, sealed, id, to) } else { None };
        self.running.fetch_sub(1, Ordering::Relaxed);
        match ended {
            Some(()) => report("done", id, ""),
            None => report(
                "dropped",
                id,
                if is_read { "while it was sent" } else { "while its prompt was read" },
            ),
        }
        ended
    }

    /// Reports whether a stream is to be spoiled, by a hash of its id.
    fn is_spoiled(&self, id: &str) -> bool {
        let is_faulty = self.options.spoil_file.as_ref().is_some_and(|file| file.exists());
        let mut hasher = DefaultHasher::new();
        (id, &self.options.id).hash(&mut hasher);
        is_faulty && hasher.finish() % 100 < self.options.spoil_percent
    }

    fn send_events(&self, after: u64, sealed: &str, id: &str, to: &mut TcpStream) -> Option<()> {
        report("first-token", id, "");
        let head = format!(
            "HTTP/1.1 200 OK\r\n{sealed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        write(to, &head)?;
        let is_spoiled = self.is_spoiled(id);
        for n in after + 1..=self.options.events {
            let event = format!("id: {n}\ndata: {} piece-{n}\n\n", self.options.id);
            write(to, &format!("{:x}\r\n{event}\r\n", event.len()))?;
            if is_spoiled && n == after + SPOILED_EVENT {
                report("spoiled", id, &format!("event {n} is sent twice"));
                write(to, &format!("{:x}\r\n{event}\r\n", event.len()))?;
            }
            let until = Instant::now() + self.options.gap;
            while Instant::now() < until {
                if is_closed(to) {
                    return None;
                }
                std::thread::sleep(TICK);
            }
        }
        write(to, "0\r\n\r\n")
    }
}

fn write(to: &mut TcpStream, text: &str) -> Option<()> {
    to.write_all(text.as_bytes()).ok()
}
