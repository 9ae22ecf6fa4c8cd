//! Logs: one JSON line for each numbered event, on standard output.
//!
//! Lines go to a writer thread over a bounded queue and never wait for it. When the queue is more
//! than half full, lines about requests that went well are left out, so that those of failed ones
//! find room; what was left out is counted and told with the next line that is written.

use std::fmt::Display;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use slog::{Drain, OwnedKVList, Record, KV};

use tidetrack_core::events::Event;

/// Lines that may wait for the writer.
const QUEUE_CAPACITY: usize = 2_048;

/// Lines above which those of requests that went well are left out.
const ROUTINE_QUEUE_LIMIT: usize = QUEUE_CAPACITY / 2;

/// A value of a line, by name.
pub type Field<'a> = (&'static str, &'a dyn Display);

/// The log of a process.
#[derive(Clone)]
pub struct Journal {
    logger: slog::Logger,
    queue: flume::Sender<Vec<u8>>,
    pending_lines: Arc<AtomicU64>,
}

/// Turns records into lines and queues them.
struct QueueDrain {
    queue: flume::Sender<Vec<u8>>,
    dropped_count: Arc<AtomicU64>,
    pending_lines: Arc<AtomicU64>,
}

impl Drain for QueueDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let mut line = Vec::with_capacity(256);
        let dropped_count = self.dropped_count.load(Ordering::Relaxed);
        let json = slog_json::Json::new(&mut line);
        let json = json.add_key_value(slog::o!(
            "level" => slog::FnValue(|r: &Record<'_>| r.level().as_short_str()),
            "msg" => slog::PushFnValue(|r: &Record<'_>, ser| ser.emit(r.msg())),
        ));
        let written = json.build().log(record, values);
        self.pending_lines.fetch_add(1, Ordering::AcqRel);
        let queued = written.is_ok() && self.queue.try_send(line).is_ok();
        match queued {
            true => drop(self.dropped_count.fetch_sub(dropped_count, Ordering::Relaxed)),
            false => {
                self.pending_lines.fetch_sub(1, Ordering::AcqRel);
                self.dropped_count.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }
}

/// The fields of a line, for the logging library.
struct Fields<'a>(&'a [Field<'a>]);

impl KV for Fields<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn slog::Serializer) -> slog::Result {
        for (name, value) in self.0 {
            serializer.emit_arguments(name, &format_args!("{value}"))?;
        }
        Ok(())
    }
}

impl Journal {
    /// Starts the log of a host, with a thread that writes to standard output.
    pub fn start(host: &str) -> std::io::Result<Journal> {
        Journal::start_to(host, std::io::stdout())
    }

    /// Starts the log of a host, with a thread that writes to `out`.
    pub fn start_to(host: &str, out: impl Write + Send + 'static) -> std::io::Result<Journal> {
        let (queue, lines) = flume::bounded::<Vec<u8>>(QUEUE_CAPACITY);
        let journal = Journal::to_queue(host, queue);
        let pending_lines = journal.pending_lines.clone();
        let thread = std::thread::Builder::new().name("journal".into()).stack_size(64 * 1024);
        thread.spawn(move || write_lines(&lines, out, &pending_lines))?;
        Ok(journal)
    }

    /// Makes a log whose lines go to a queue.
    fn to_queue(host: &str, queue: flume::Sender<Vec<u8>>) -> Journal {
        let dropped_count = Arc::new(AtomicU64::new(0));
        let pending_lines = Arc::new(AtomicU64::new(0));
        let drain = QueueDrain {
            queue: queue.clone(),
            dropped_count: dropped_count.clone(),
            pending_lines: pending_lines.clone(),
        };
        let logger = slog::Logger::root(
            drain.fuse(),
            slog::o!(
                "time" => slog::FnValue(|_: &Record<'_>| unix_time_seconds()),
                "host" => host.to_string(),
                "left_out" => slog::FnValue(move |_: &Record<'_>| dropped_count.load(Ordering::Relaxed)),
            ),
        );
        Journal { logger, queue, pending_lines }
    }

    /// Writes an event.
    pub fn log(&self, event: Event, fields: &[Field<'_>]) {
        slog::info!(self.logger, "{}", event.text(); "event" => event.to_string(), Fields(fields));
    }

    /// Writes an event of a request that goes well; left out first when lines pile up.
    pub fn log_routine(&self, event: Event, fields: &[Field<'_>]) {
        if self.queue.len() < ROUTINE_QUEUE_LIMIT {
            self.log(event, fields);
        }
    }

    /// Waits until all lines are written, for as long as `timeout`.
    pub fn flush(&self, timeout: std::time::Duration) {
        let deadline = std::time::Instant::now() + timeout;
        while self.pending_lines.load(Ordering::Acquire) > 0 && std::time::Instant::now() < deadline
        {
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
    }
}

/// Gets the time of day in seconds, to the millisecond. It orders lines of several hosts; nothing is
/// decided by it.
fn unix_time_seconds() -> f64 {
    let elapsed = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    elapsed.as_millis() as f64 / 1_000.0
}

/// Writes lines until the process ends, several at a time where several wait.
fn write_lines(lines: &flume::Receiver<Vec<u8>>, mut out: impl Write, pending_lines: &AtomicU64) {
    while let Ok(mut text) = lines.recv() {
        let mut line_count = 1;
        for line in lines.drain() {
            text.extend_from_slice(&line);
            line_count += 1;
        }
        // Without a reader of the log there is nobody left to tell.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
        pending_lines.fetch_sub(line_count, Ordering::AcqRel);
    }
}
