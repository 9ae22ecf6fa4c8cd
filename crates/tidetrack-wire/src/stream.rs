//! Streamed response bodies over `tiny_http`, with each event sent at once.
//!
//! The server's writer buffers about 1 KB and its chunked encoder 8 KB. Here every chunk is
//! flushed, including the last one.

use std::io::{ErrorKind, Read, Result, Write};

use chunked_transfer::Encoder;
use tiny_http::{HTTPVersion, Request, Response};

/// A writer that flushes after each write.
pub struct FlushingWriter {
    inner: Box<dyn Write + Send>,
    is_aborted: bool,
}

impl FlushingWriter {
    /// Makes all later writes fail, including that of the end of the body.
    pub fn abort(&mut self) {
        self.is_aborted = true;
    }
}

impl Write for FlushingWriter {
    fn write(&mut self, buf: &[u8]) -> Result<usize> {
        if self.is_aborted {
            return Err(ErrorKind::BrokenPipe.into());
        }
        let n = self.inner.write(buf)?;
        self.inner.flush()?;
        Ok(n)
    }

    fn flush(&mut self) -> Result<()> {
        self.inner.flush()
    }
}

/// A response body in progress. Dropping it ends the body properly, unless it was aborted.
pub type Body = Encoder<FlushingWriter>;

/// Sends the head of a response to `request` and returns the writer of its body.
pub fn begin<R: Read>(request: Request, head: Response<R>) -> Result<Body> {
    let head = head.with_data(std::io::empty(), None).with_chunked_threshold(0);
    let mut bytes = Vec::new();
    head.raw_print(&mut bytes, HTTPVersion(1, 1), &[], true, None)?;
    let mut writer = FlushingWriter { inner: request.into_writer(), is_aborted: false };
    writer.write_all(&bytes)?;
    Ok(Encoder::with_flush_after_write(writer))
}
