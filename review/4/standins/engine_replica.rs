//! A model replica that answers with a stream of events, as a process of its own.
//!
//! `engine ID ADDRESS EVENTS PAUSE_MS PROMPT_MS UNFRAMED_SHARE SPOILED_SHARE SPOILED_BY` reads each prompt for
//! PROMPT_MS, then sends the head and EVENTS events, one each PAUSE_MS, after the request's `Last-Event-Id`. For
//! 5 of each 8 seconds, UNFRAMED_SHARE of its answers have no length and end with their channel, and
//! SPOILED_SHARE have wrong bytes where the id of the event in the middle stands: a number that differs by
//! SPOILED_BY. It drops a request whose channel closes. It writes a line when it begins, ends and drops the work
//! on a request.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{read_message, response_bytes, Message};
use crate::plain_replica::{end_with_parent, is_faulty, log};
use crate::rig::Random;

/// Interval at which it is checked whether the channel of a request has closed.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Clone)]
struct Engine {
    id: String,
    events: u64,
    pause: Duration,
    prompt_time: Duration,
    unframed_share: f64,
    spoiled_share: f64,
    spoiled_by: i64,
    started_at: Instant,
}

pub fn run(args: &[&str]) -> i32 {
    let [id, address, events, pause_ms, prompt_ms, unframed_share, spoiled_share, spoiled_by] =
        args
    else {
        return 2;
    };
    let Ok(listener) = TcpListener::bind(address) else { return 2 };
    end_with_parent();
    let number = |text: &str| text.parse::<u64>().unwrap_or(0);
    let engine = Engine {
        id: id.to_string(),
        events: number(events),
        pause: Duration::from_millis(number(pause_ms)),
        prompt_time: Duration::from_millis(number(prompt_ms)),
        unframed_share: unframed_share.parse().unwrap_or(0.0),
        spoiled_share: spoiled_share.parse().unwrap_or(0.0),
        spoiled_by: spoiled_by.parse().unwrap_or(0),
        started_at: Instant::now(),
    };
    for stream in listener.incoming().flatten() {
        let engine = engine.clone();
        std::thread::spawn(move || engine.serve(stream));
    }
    0
}

impl Engine {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut random = Random::new(self.started_at.elapsed().as_nanos() as u64);
        while let Some(req) = read_message(&mut reader) {
            let id = req.header("tidetrack-attempt-id").unwrap_or_default().to_string();
            let refusal = match &req {
                _ if id.is_empty() => {
                    Some(response_bytes(400, &[("Tidetrack-Not-Executed", "1")], b""))
                }
                req if self.is_for_other(req) => {
                    let headers = [("Tidetrack-Attempt-Id", id.as_str())];
                    Some(response_bytes(421, &headers, b""))
                }
                _ => None,
            };
            if let Some(refusal) = refusal {
                if writer.write_all(&refusal).is_err() {
                    return;
                }
                continue;
            }
            let is_faulty = is_faulty(self.started_at);
            let is_framed = !(is_faulty && random.fraction() < self.unframed_share);
            let is_spoiled = is_faulty && random.fraction() < self.spoiled_share;
            let note = if is_framed { "" } else { " without a length" };
            log(&format!("begins {id}{note}"));
            if !self.answer(&req, &id, &mut writer, is_framed, is_spoiled) {
                return log(&format!("drops {id}"));
            }
            log(&format!("ends {id}"));
            if !is_framed {
                return;
            }
        }
    }

    fn is_for_other(&self, req: &Message) -> bool {
        req.header("tidetrack-expect-replica").is_some_and(|expected| expected != self.id)
    }

    /// Answers a request. Returns false if its channel closes meanwhile.
    fn answer(
        &self,
        req: &Message,
        id: &str,
        writer: &mut TcpStream,
        is_framed: bool,
        is_spoiled: bool,
    ) -> bool {
        if !wait_while_open(writer, self.prompt_time) {
            return false;
        }
        let framing = if is_framed { "Transfer-Encoding: chunked" } else { "Connection: close" };
        let head = format!(
            "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n{framing}\r\n\
             Tidetrack-Attempt-Id: {id}\r\nTidetrack-Response-Seal: seal.{id}\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let last: u64 = req.header("last-event-id").and_then(|v| v.parse().ok()).unwrap_or(0);
        let spoiled = (is_spoiled && last == 0).then_some(self.events / 2);
        for n in last + 1..=self.events {
            if spoiled == Some(n) {
                log(&format!("spoils {id}"));
            }
            let by = if spoiled == Some(n) { self.spoiled_by } else { 0 };
            let shown = (n as i64).saturating_add(by);
            let event = format!("id: {shown}\ndata: piece {n} of {id}\n\n");
            let bytes = match is_framed {
                true => format!("{:x}\r\n{event}\r\n", event.len()),
                false => event,
            };
            if writer.write_all(bytes.as_bytes()).is_err() || !wait_while_open(writer, self.pause) {
                return false;
            }
        }
        !is_framed || writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Waits for a time. Returns false as soon as the channel is closed.
fn wait_while_open(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    loop {
        if stream.set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = stream.peek(&mut [0; 1]);
        if stream.set_nonblocking(false).is_err() {
            return false;
        }
        match peeked {
            Ok(0) => return false,
            Err(e) if e.kind() != ErrorKind::WouldBlock => return false,
            _ => {}
        }
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        std::thread::sleep(left.min(POLL_INTERVAL));
    }
}
