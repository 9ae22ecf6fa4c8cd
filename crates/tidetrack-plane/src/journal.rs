//! Log output: one JSON line per numbered event, on standard output.
//!
//! Lines are passed to a writer thread over a bounded queue, and the sender never waits. When the
//! queue is more than half full, lines about successful requests are dropped, which leaves room for
//! those about failed ones. The number of dropped lines is included in the next line that is
//! written.

use std::fmt::Display;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use slog::{Drain, OwnedKVList, Record, KV};

use tidetrack_core::events::Event;

/// Maximum number of lines in the queue.
const QUEUE_CAPACITY: usize = 2_048;

/// Queue length from which lines about successful requests are dropped.
const ROUTINE_QUEUE_LIMIT: usize = QUEUE_CAPACITY / 2;

/// Name and value of a field of a line.
pub type Field<'a> = (&'static str, &'a dyn Display);

/// The log of a process.
#[derive(Clone)]
pub struct Journal {
    logger: slog::Logger,
    queue: flume::Sender<Vec<u8>>,
    pending_lines: Arc<AtomicU64>,
}

/// Formats records as lines and puts them into the queue.
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
        let serialize_result = json.build().log(record, values);
        self.pending_lines.fetch_add(1, Ordering::AcqRel);
        let is_queued = serialize_result.is_ok() && self.queue.try_send(line).is_ok();
        match is_queued {
            true => drop(self.dropped_count.fetch_sub(dropped_count, Ordering::Relaxed)),
            false => {
                self.pending_lines.fetch_sub(1, Ordering::AcqRel);
                self.dropped_count.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }
}

/// Adapter that passes the fields of a line to the logging library.
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

    /// Starts the log of a host, with a thread that writes to `out`. Fails if the thread cannot be
    /// started.
    pub fn start_to(host: &str, out: impl Write + Send + 'static) -> std::io::Result<Journal> {
        let (queue, lines) = flume::bounded::<Vec<u8>>(QUEUE_CAPACITY);
        let journal = Journal::to_queue(host, queue);
        let pending_lines = journal.pending_lines.clone();
        let thread = std::thread::Builder::new().name("journal".into()).stack_size(64 * 1024);
        thread.spawn(move || write_lines(&lines, out, &pending_lines))?;
        Ok(journal)
    }

    /// Creates a log that puts its lines into a queue.
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

    /// Logs an event.
    pub fn log(&self, event: Event, fields: &[Field<'_>]) {
        slog::info!(self.logger, "{}", event.text(); "event" => event.to_string(), Fields(fields));
    }

    /// Logs an event of a successful request. These are the first lines to be dropped when the
    /// queue fills up.
    pub fn log_routine(&self, event: Event, fields: &[Field<'_>]) {
        if self.queue.len() < ROUTINE_QUEUE_LIMIT {
            self.log(event, fields);
        }
    }

    /// Waits until all lines are written, or until `timeout` has passed.
    pub fn flush(&self, timeout: std::time::Duration) {
        let deadline = std::time::Instant::now() + timeout;
        while self.pending_lines.load(Ordering::Acquire) > 0 && std::time::Instant::now() < deadline
        {
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
    }
}

/// Returns the Unix time in seconds, with millisecond precision. It serves to order the lines of
/// several hosts and is not used for decisions.
fn unix_time_seconds() -> f64 {
    let elapsed = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    elapsed.as_millis() as f64 / 1_000.0
}

/// Writes queued lines until the process ends, combining all that are queued into one write.
fn write_lines(lines: &flume::Receiver<Vec<u8>>, mut out: impl Write, pending_lines: &AtomicU64) {
    while let Ok(mut text) = lines.recv() {
        let mut line_count = 1;
        for line in lines.drain() {
            text.extend_from_slice(&line);
            line_count += 1;
        }
        // If the output is closed, there is no place left to report the error to.
        if out.write_all(&text).and_then(|()| out.flush()).is_err() {
            return;
        }
        pending_lines.fetch_sub(line_count, Ordering::AcqRel);
    }
}
