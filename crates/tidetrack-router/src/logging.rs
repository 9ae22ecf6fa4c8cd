//! Logs: JSON lines with numbered events.

use slog::{o, Drain, Level, Logger};

use tidetrack_core::events::Event;

/// The levels that settings may name.
pub const LEVELS: [&str; 4] = ["debug", "info", "warning", "error"];

/// Lines that may wait to be written; more are dropped and counted by the drain.
const QUEUE_CAPACITY: usize = 4096;

/// Makes a logger that writes JSON lines of `level` and above to standard error.
pub fn logger(level: &str, host: &str) -> Logger {
    let level = match level {
        "debug" => Level::Debug,
        "warning" => Level::Warning,
        "error" => Level::Error,
        _ => Level::Info,
    };
    let json = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog_async::Async::new(json).chan_size(QUEUE_CAPACITY).build();
    let drain = drain.filter_level(level).fuse();
    Logger::root(drain, o!("host" => host.to_string()))
}

/// Makes a logger that writes nothing.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Writes one event.
pub fn log(logger: &Logger, event: Event, detail: &str) {
    let number = event.to_string();
    match event {
        Event::RequestDone | Event::PolicyObserved => {
            slog::debug!(logger, "{}", event.text(); "event" => number, "detail" => detail);
        }
        Event::ThreadPanicked | Event::ConfigRejected | Event::SegmentFailed => {
            slog::error!(logger, "{}", event.text(); "event" => number, "detail" => detail);
        }
        Event::PlatformLost | Event::AttemptFailed | Event::AnswerMismatch => {
            slog::warn!(logger, "{}", event.text(); "event" => number, "detail" => detail);
        }
        _ => slog::info!(logger, "{}", event.text(); "event" => number, "detail" => detail),
    }
}
