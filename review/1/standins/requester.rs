//! A requester: one channel to a host, one request at a time.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::http::{read_body, read_head, Message};

/// Host name of the routes.
pub const HOSTNAME: &str = "ficu95.example";

/// Key of the first tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Key of the second tenant.
pub const OTHER_KEY: &str = "anfqasnmgkcuyj8pjbvk";

/// A request.
pub struct Request {
    /// Method and path, separated by a blank.
    pub line: String,
    /// Attempt id.
    pub id: String,
    /// API key.
    pub key: &'static str,
    /// How long the requester waits.
    pub deadline: Duration,
    /// Further headers, each with its line end.
    pub headers: String,
    /// Body.
    pub body: Vec<u8>,
}

/// A channel of a requester.
pub struct Channel {
    /// The socket, by which the requester leaves.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    /// Connects to a host.
    pub fn connect(address: &str) -> std::io::Result<Channel> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Channel { stream, reader })
    }

    /// Sends a request.
    pub fn send(&mut self, req: &Request) -> std::io::Result<()> {
        let head = format!(
            "{} HTTP/1.1\r\nHost: {HOSTNAME}\r\nTidetrack-Attempt-Id: {}\r\nTidetrack-Deadline-Ms: {}\r\n\
             X-Api-Key: {}\r\n{}Content-Length: {}\r\n\r\n",
            req.line,
            req.id,
            req.deadline.as_millis(),
            req.key,
            req.headers,
            req.body.len()
        );
        self.stream.write_all(head.as_bytes())?;
        self.stream.write_all(&req.body)
    }

    /// Reads an answer; `on_data` gets the body as it comes. `None` if no complete head comes in time.
    pub fn read_answer(
        &mut self,
        within: Duration,
        on_data: impl FnMut(&[u8]) -> bool,
    ) -> Option<Message> {
        self.stream.set_read_timeout(Some(within)).ok()?;
        let mut answer = read_head(&mut self.reader)?;
        read_body(&mut self.reader, &mut answer, true, on_data);
        Some(answer)
    }
}
