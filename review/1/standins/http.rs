//! Reading and writing of HTTP/1.1 messages.

use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::net::TcpStream;

/// A received request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Headers in order, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body as far as it was received.
    pub body: Vec<u8>,
    /// Whether the body was received to the end that its framing defines.
    pub complete: bool,
}

impl Message {
    /// Returns the first header with this name, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a head; `None` if the connection ends or fails before the head is complete.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        match line.split_once(':') {
            _ if line.is_empty() && message.start.is_empty() => continue,
            _ if line.is_empty() => return Some(message),
            Some((name, value)) if !message.start.is_empty() => {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
            }
            _ => message.start = line.to_string(),
        }
    }
}

/// Reads the body of a message, chunk by chunk. `on_data` gets the bytes as they come and returns whether to go on.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    until_close: bool,
    mut on_data: impl FnMut(&[u8]) -> bool,
) {
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return;
            }
            if size == 0 {
                message.complete = true;
                return;
            }
            message.body.extend_from_slice(&chunk[..size]);
            if !on_data(&chunk[..size]) {
                return;
            }
        }
    }
    let length: Option<usize> = message.header("content-length").and_then(|n| n.parse().ok());
    if let Some(length) = length {
        let mut body = vec![0; length];
        message.complete = reader.read_exact(&mut body).is_ok();
        message.body = body;
    } else if until_close {
        message.complete = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.complete = true;
    }
}

/// Reports whether the other end has closed or reset a connection that nothing is expected on.
pub fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0; 1]);
    let restored = stream.set_nonblocking(false).is_ok();
    match peeked {
        Ok(n) => n == 0 || !restored,
        Err(e) => e.kind() != ErrorKind::WouldBlock || !restored,
    }
}
