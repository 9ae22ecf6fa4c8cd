//! What the stand-ins share: a server that runs each request on a thread of its own.

use std::collections::HashMap;
use std::io::{Cursor, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

use anyhow::{anyhow, Context, Result};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

/// Stack of a request's thread, in bytes.
const STACK: usize = 256 * 1024;

/// A running server; it stops when dropped.
pub struct Running {
    server: Arc<Server>,
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Running {
    /// Gets the address that it serves, as `ip:port`.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Waits until the server ends.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of the accept loop was printed by its thread; there is nothing to add.
            let _ = thread.join();
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Release);
        self.server.unblock();
    }
}

/// Listens on `address` without delaying small writes.
pub fn listen(address: &str) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).with_context(|| format!("listen on {address}"))?;
    // Accepted sockets inherit the option; streams of small events would wait for it otherwise.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

/// Serves `handle` on `address`; port 0 takes a free one.
pub fn serve<H>(address: &str, handle: H) -> Result<Running>
where
    H: Fn(Request) + Send + Sync + 'static,
{
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    let server = Server::from_listener(listener, None).map_err(|e| anyhow!("{e}"))?;
    let server = Arc::new(server);
    let stopped = Arc::new(AtomicBool::new(false));
    let (accept, ended) = (server.clone(), stopped.clone());
    let handle = Arc::new(handle);
    let thread = Builder::new().name("standin".into()).spawn(move || {
        while !ended.load(Ordering::Acquire) {
            let Ok(request) = accept.recv() else { continue };
            let handle = handle.clone();
            let spawned = Builder::new().stack_size(STACK).spawn(move || handle(request));
            if spawned.is_err() {
                break;
            }
        }
    })?;
    Ok(Running { server, address, stopped, thread: Some(thread) })
}

/// Reads a request's whole body.
pub fn body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    // A cut body is seen as what came of it; the parser then refuses it.
    let _ = request.as_reader().read_to_end(&mut body);
    body
}

/// Reads a request's body as JSON.
pub fn json<T: DeserializeOwned>(request: &mut Request) -> Result<T> {
    Ok(serde_json::from_slice(&body(request))?)
}

/// Gets a request's header.
pub fn header(request: &Request, name: &str) -> Option<String> {
    let found = request.headers().iter().find(|h| h.field.to_string().eq_ignore_ascii_case(name));
    found.map(|h| h.value.to_string())
}

/// Makes a response header from text that is known to be valid.
pub fn make_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).expect("a header in ASCII")
}

/// Answers with JSON.
pub fn reply<T: Serialize>(request: Request, status: u16, value: &T) {
    let text = serde_json::to_string(value).expect("stand-in messages have text keys");
    send(request, text_response(status, text));
}

/// Makes a JSON response from text.
pub fn text_response(status: u16, text: String) -> Response<Cursor<Vec<u8>>> {
    Response::from_string(text)
        .with_status_code(status)
        .with_header(make_header("Content-Type", "application/json"))
}

/// Sends a response; a caller that has left is no fault of ours.
pub fn send<R: Read>(request: Request, response: Response<R>) {
    let _ = request.respond(response);
}

/// Closes the connection without an answer.
pub fn hang_up(request: Request) {
    drop(request.into_writer());
}

/// Splits a URL into its path and its query's members.
pub fn split_url(url: &str) -> (String, HashMap<String, String>) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let members = query.split('&').filter_map(|m| m.split_once('='));
    (path.to_string(), members.map(|(k, v)| (k.to_string(), v.to_string())).collect())
}
