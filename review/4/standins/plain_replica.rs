//! A replica of a plain service, as a process of its own.
//!
//! `replica ID ADDRESS SLOTS QUEUE WORK_MS SURPLUS_SHARE SURPLUS_LATE_MS` works on SLOTS requests at once,
//! queues QUEUE more and refuses further ones. For 5 of each 8 seconds it sends SURPLUS_SHARE of its answers
//! twice, the second time up to SURPLUS_LATE_MS later. It writes a line for each request that it runs or refuses.

use std::io::{BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_message, response_bytes, Message};
use crate::rig::{now_ms, Random};

/// Time of the way to a replica in another zone and back.
const ROUND_TRIP: Duration = Duration::from_micros(2_800);

/// The faulty periods: how long each is, and the time from the start of one to the next.
const FAULTY_TIME: Duration = Duration::from_millis(5_000);
const FAULTY_INTERVAL: Duration = Duration::from_millis(8_000);

struct Replica {
    started_at: Instant,
    id: String,
    slots: usize,
    queue: usize,
    work_ms: f64,
    surplus_share: f64,
    surplus_late_ms: f64,
    taken: Mutex<usize>,
    slot_freed: Condvar,
    waiting: AtomicUsize,
    random: Mutex<Random>,
}

pub fn run(args: &[&str]) -> i32 {
    let [id, address, slots, queue, work_ms, surplus_share, surplus_late_ms] = args else {
        return 2;
    };
    let Ok(listener) = TcpListener::bind(address) else { return 2 };
    end_with_parent();
    let number = |text: &str| text.parse::<f64>().unwrap_or(0.0);
    let replica = Arc::new(Replica {
        started_at: Instant::now(),
        id: id.to_string(),
        slots: number(slots) as usize,
        queue: number(queue) as usize,
        work_ms: number(work_ms),
        surplus_share: number(surplus_share),
        surplus_late_ms: number(surplus_late_ms),
        taken: Mutex::new(0),
        slot_freed: Condvar::new(),
        waiting: AtomicUsize::new(0),
        random: Mutex::new(Random::new(now_ms() ^ u64::from(std::process::id()))),
    });
    for stream in listener.incoming().flatten() {
        let replica = replica.clone();
        std::thread::spawn(move || replica.serve(stream));
    }
    0
}

/// Reports whether a replica that was started then is in a faulty period.
pub fn is_faulty(started_at: Instant) -> bool {
    let time = started_at.elapsed().as_millis() % FAULTY_INTERVAL.as_millis();
    time < FAULTY_TIME.as_millis()
}

/// Ends the process when the one that started it has ended.
pub fn end_with_parent() {
    std::thread::spawn(|| {
        let _ = std::io::stdin().read(&mut [0; 1]);
        std::process::exit(0);
    });
}

pub fn log(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {text}", now_ms());
    let _ = out.flush();
}

impl Replica {
    fn random(&self) -> f64 {
        self.random.lock().unwrap().fraction()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let writer = Arc::new(Mutex::new(writer));
        let mut reader = BufReader::new(stream);
        while let Some(req) = read_message(&mut reader) {
            let answer = self.answer(&req);
            std::thread::sleep(ROUND_TRIP);
            if writer.lock().unwrap().write_all(&answer).is_err() {
                return;
            }
            if is_faulty(self.started_at) && self.random() < self.surplus_share {
                let late = Duration::from_secs_f64(self.random() * self.surplus_late_ms / 1e3);
                let (writer, id) = (writer.clone(), attempt_id(&req).to_string());
                std::thread::spawn(move || {
                    std::thread::sleep(late);
                    let is_sent = writer.lock().unwrap().write_all(&answer).is_ok();
                    log(&format!("sent its answer to {id} a second time: {is_sent}"));
                });
            }
        }
    }

    fn answer(&self, req: &Message) -> Vec<u8> {
        let id = attempt_id(req);
        if id.is_empty() {
            return response_bytes(400, &[("Tidetrack-Not-Executed", "1")], b"");
        }
        let echo = ("Tidetrack-Attempt-Id", id);
        if req.header("tidetrack-expect-replica").is_some_and(|expected| expected != self.id) {
            return response_bytes(421, &[echo, ("Tidetrack-Not-Executed", "1")], b"");
        }
        let mut taken = self.taken.lock().unwrap();
        if *taken >= self.slots {
            if self.waiting.load(Ordering::SeqCst) >= self.queue {
                let load = self.load(*taken);
                drop(taken);
                log(&format!("refused {id}"));
                let load = ("Tidetrack-Replica-Load", load.as_str());
                return response_bytes(503, &[echo, ("Tidetrack-Not-Executed", "1"), load], b"");
            }
            self.waiting.fetch_add(1, Ordering::SeqCst);
            while *taken >= self.slots {
                taken = self.slot_freed.wait(taken).unwrap();
            }
            self.waiting.fetch_sub(1, Ordering::SeqCst);
        }
        *taken += 1;
        drop(taken);
        log(&format!("runs {id}"));
        std::thread::sleep(Duration::from_secs_f64(self.work_ms * (0.5 + self.random()) / 1e3));
        let mut taken = self.taken.lock().unwrap();
        *taken -= 1;
        let load = self.load(*taken);
        drop(taken);
        self.slot_freed.notify_one();
        let seal = format!("seal.{id}");
        let headers = [
            echo,
            ("Tidetrack-Response-Seal", seal.as_str()),
            ("Tidetrack-Replica-Load", load.as_str()),
        ];
        response_bytes(200, &headers, format!("loan {id}").as_bytes())
    }

    fn load(&self, taken: usize) -> String {
        format!("{taken},{},{}", self.waiting.load(Ordering::SeqCst), self.slots)
    }
}

fn attempt_id(req: &Message) -> &str {
    req.header("tidetrack-attempt-id").unwrap_or_default()
}
