//! Splits a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Largest event that is waited for, in bytes; an engine's events are some hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The name of the line that carries an event's id.
const ID_PREFIX: &[u8] = b"id:";

/// One event, as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// All its bytes, with the blank line that ends it.
    pub bytes: Bytes,
}

/// Collects bytes and gives back whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    searched_len: usize,
}

impl EventSplitter {
    /// Takes bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes out the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.searched_len = 0;
        let bytes = self.buf.split_to(end).freeze();
        Some(StreamEvent { id: parse_event_id(&bytes), bytes })
    }

    /// Tells whether a part of an event is left.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Tells whether more than an event can hold is waiting.
    pub fn is_overlong(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Finds the end of the first event: a line end followed by an empty line.
    fn find_end(&mut self) -> Option<usize> {
        let start = self.searched_len.saturating_sub(3);
        for i in start..self.buf.len() {
            if self.buf[i] != b'\n' {
                continue;
            }
            let rest = &self.buf[i + 1..];
            if rest.starts_with(b"\n") {
                return Some(i + 2);
            }
            if rest.starts_with(b"\r\n") {
                return Some(i + 3);
            }
        }
        self.searched_len = self.buf.len();
        None
    }
}

fn parse_event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|b| *b == b'\n').find_map(|line| line.strip_prefix(ID_PREFIX))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
