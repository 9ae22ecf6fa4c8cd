//! The record of a run, and its clock.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since 1970, which all processes of a run share.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// The file `record.txt` of a case.
pub struct Record {
    file: Mutex<File>,
    start_ms: u64,
}

impl Record {
    /// Creates or replaces the record in a folder.
    pub fn create(dir: &str) -> std::io::Result<Record> {
        let file = Mutex::new(File::create(format!("{dir}/record.txt"))?);
        Ok(Record { file, start_ms: now_ms() })
    }

    /// Returns the milliseconds from the start of the record to an instant of the common clock.
    pub fn since_start(&self, at_ms: u64) -> i64 {
        at_ms as i64 - self.start_ms as i64
    }

    /// Adds a line with the present time.
    pub fn line(&self, text: &str) {
        self.line_at(now_ms(), text);
    }

    /// Adds a line about an instant of the common clock.
    pub fn line_at(&self, at_ms: u64, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.since_start(at_ms));
        // A record that cannot be written shows in the result, not here.
        let _ = self.file.lock().map(|mut file| file.write_all(line.as_bytes()));
    }
}
