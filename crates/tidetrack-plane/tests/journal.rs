//! Flushing of the log writer.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tidetrack_core::events::Event;
use tidetrack_plane::journal::Journal;

/// A log output whose every write takes 50 ms.
#[derive(Clone, Default)]
struct SlowWriter(Arc<Mutex<Vec<u8>>>);

impl Write for SlowWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(50));
        self.0.lock().expect("no thread panics while holding the lock").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_flush_waits_until_the_last_line_is_written() {
    let out = SlowWriter::default();
    let journal = Journal::start_to("h1", out.clone()).expect("the writer thread starts");

    journal.log(Event::Stopped, &[("cut", &0)]);
    journal.flush(Duration::from_secs(20));

    let text = out.0.lock().expect("no thread panics while holding the lock").clone();
    assert!(String::from_utf8_lossy(&text).contains("\"cut\":\"0\""), "{text:?}");
}
