//! Splits a byte stream into complete server-sent events.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes; events of engines have a few hundred bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Prefix of the line that contains the id of an event.
const ID_PREFIX: &[u8] = b"id:";

/// Prefix of the lines that contain the data of an event.
const DATA_PREFIX: &[u8] = b"data";

/// One event, with its bytes as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Numeric id; `None` if the event has none.
    pub id: Option<u64>,
    /// Whether this is an event. Comments and other fields alone are none, and have no place in the order of events.
    pub is_event: bool,
    /// All bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
}

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    searched_len: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event; `None` if more bytes are needed.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        self.searched_len = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id_line = find_id_line(&bytes);
        let is_event = id_line.is_some() || lines(&bytes).any(|line| line.starts_with(DATA_PREFIX));
        Some(StreamEvent { id: id_line.and_then(parse_event_id), is_event, bytes })
    }

    /// Reports whether bytes of an incomplete event are buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Reports whether more bytes are buffered than an event may have.
    pub fn is_overlong(&self) -> bool {
        self.buf.len() > MAX_EVENT_BYTES
    }

    /// Returns the length of the first event: up to the end of a line that is followed by an empty
    /// line.
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

fn lines(event: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    event.split(|b| *b == b'\n')
}

/// Returns the value of the last id line, which is the one that counts.
fn find_id_line(event: &[u8]) -> Option<&[u8]> {
    lines(event).rev().find_map(|line| line.strip_prefix(ID_PREFIX))
}

fn parse_event_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
