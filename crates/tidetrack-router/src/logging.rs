//! Logging of numbered events as JSON lines.

use slog::{o, Drain, Level, Logger};

use tidetrack_core::events::Event;

/// Log levels accepted in the settings.
pub const LEVELS: [&str; 4] = ["debug", "info", "warning", "error"];

/// Maximum number of queued log lines. When the queue is full, lines are dropped and the drain
/// reports their number.
const QUEUE_CAPACITY: usize = 4096;

/// Creates a logger that writes JSON lines of `level` and above to standard error. An unknown level
/// counts as `info`.
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

/// Creates a logger that discards all lines.
pub fn discarding_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Writes an event to the log; its level depends on the event.
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
