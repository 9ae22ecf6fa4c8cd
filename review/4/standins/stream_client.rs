//! A client of a streaming route.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::http::{read_chunk, read_head};
use crate::rig::KEY;

/// A stream whose head has been received.
pub struct Stream {
    reader: BufReader<TcpStream>,
    received: String,
}

/// What a client reads next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Some events.
    Events,
    /// The proper end of the answer.
    End,
    /// Nothing for the read time-out.
    Silence,
    /// The end of the channel in the middle of the answer.
    Broken,
}

/// Sends a request on a new channel. Returns the channel.
pub fn send(frontend: &str, id: &str, body: &[u8]) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(frontend)?;
    stream.set_nodelay(true)?;
    let head = format!(
        "POST /story/1 HTTP/1.1\r\nHost: desk.example\r\nTidetrack-Attempt-Id: {id}\r\n\
         Tidetrack-Model: small\r\nTidetrack-Token-Usage: 54600,80\r\n\
         Tidetrack-Prompt-Prefix: 5c1e07a2:800,{}:53800\r\nTidetrack-Deadline-Ms: 25000\r\n\
         X-Api-Key: {KEY}\r\nContent-Length: {}\r\n\r\n",
        &id[id.len() - 8..],
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    Ok(stream)
}

impl Stream {
    /// Reads the head of the answer. Returns its status, 0 if the channel ends, and the stream.
    pub fn open(channel: TcpStream) -> (u16, Option<Stream>) {
        let mut reader = BufReader::new(channel);
        match read_head(&mut reader) {
            None => (0, None),
            Some(head) => {
                let is_chunked = head.header("transfer-encoding").is_some();
                (head.status(), is_chunked.then_some(Stream { reader, received: String::new() }))
            }
        }
    }

    /// Reads the next part of the answer, for which it waits `timeout` at most.
    pub fn next(&mut self, timeout: Duration) -> Next {
        let _ = self.reader.get_ref().set_read_timeout(Some(timeout));
        if self.reader.buffer().is_empty() {
            match self.reader.get_ref().peek(&mut [0; 1]) {
                Ok(0) => return Next::Broken,
                Ok(_) => {}
                Err(_) => return Next::Silence,
            }
        }
        let _ = self.reader.get_ref().set_read_timeout(Some(Duration::from_secs(5)));
        match read_chunk(&mut self.reader) {
            None => Next::Broken,
            Some(chunk) if chunk.is_empty() => Next::End,
            Some(chunk) => {
                self.received += &String::from_utf8_lossy(&chunk);
                Next::Events
            }
        }
    }

    /// Returns what was received so far.
    pub fn received(&self) -> &str {
        &self.received
    }
}

/// Returns the configuration with the streaming route.
pub fn config() -> String {
    let route = r#"{"name":"story","hostname":"desk.example","path-prefix":"/story/","route-kind":"streaming","timeout-ms":25000,"objective-ms":3000,"priority":0,"service":"llm","max-attempts":3,"public":false,"sticky":true,"resumable":true,"gap-target-ms":1200}"#;
    let service = r#"{"name":"llm","health-path":"/healthz","max-conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity":431395,"models":[{"name":"small","cost":0.35}]}}"#;
    let limits = r#"{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}"#;
    format!(
        r#"{{"version":7,"routes":[{route}],"services":[{service}],"limits":{limits},"tenants":[{{"name":"north","api-keys":["{KEY}"]}}]}}"#
    )
}
