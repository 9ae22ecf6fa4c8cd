//! HTTP server shared by the stand-ins, which runs each request on its own thread.

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

/// Stack size of the thread that runs a request, in bytes.
const REQUEST_STACK_BYTES: usize = 256 * 1024;

/// Handle of a running HTTP server, which stops when the handle is dropped.
pub struct RunningServer {
    server: Arc<Server>,
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RunningServer {
    /// Returns the address on which the server listens, as `ip:port`.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Blocks until the accept loop of the server ends.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            // The thread itself has already printed a panic of the accept loop.
            let _ = thread.join();
        }
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Release);
        self.server.unblock();
    }
}

/// Opens a listener on `address` with TCP_NODELAY set, so that small writes are not delayed.
pub fn listen(address: &str) -> Result<TcpListener> {
    let listener =
        TcpListener::bind(address).with_context(|| format!("cannot listen on {address}"))?;
    // Accepted sockets inherit the option. Without it, Nagle's algorithm would delay streams of
    // small events.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    Ok(listener)
}

/// Starts a server on `address` that passes each request to `handler`. Port 0 selects a free port.
pub fn serve<Handler>(address: &str, handler: Handler) -> Result<RunningServer>
where
    Handler: Fn(Request) + Send + Sync + 'static,
{
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    let server = Server::from_listener(listener, None).map_err(|e| anyhow!("{e}"))?;
    let server = Arc::new(server);
    let is_stopped = Arc::new(AtomicBool::new(false));
    let (accept_server, stop_flag) = (server.clone(), is_stopped.clone());
    let handler = Arc::new(handler);
    let thread = Builder::new().name("standin".into()).spawn(move || {
        while !stop_flag.load(Ordering::Acquire) {
            let Ok(request) = accept_server.recv() else { continue };
            let handler = handler.clone();
            let spawned =
                Builder::new().stack_size(REQUEST_STACK_BYTES).spawn(move || handler(request));
            if spawned.is_err() {
                break;
            }
        }
    })?;
    Ok(RunningServer { server, address, is_stopped, thread: Some(thread) })
}

/// Reads the complete body of a request, or the part received before the connection is lost.
pub fn read_body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    // If the body is truncated, the received part is returned, and JSON parsing rejects it.
    let _ = request.as_reader().read_to_end(&mut body);
    body
}

/// Parses the body of a request as JSON.
pub fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T> {
    Ok(serde_json::from_slice(&read_body(request))?)
}

/// Returns the value of a request header, or `None` if it is absent. Ignores the case of the name.
pub fn header(request: &Request, name: &str) -> Option<String> {
    let found = request.headers().iter().find(|h| h.field.to_string().eq_ignore_ascii_case(name));
    found.map(|h| h.value.to_string())
}

/// Creates a response header from text that is known to be valid.
///
/// Panics on an invalid name or value.
pub fn make_header(name: &str, value: &str) -> Header {
    Header::from_bytes(name.as_bytes(), value.as_bytes()).expect("the header is valid ASCII")
}

/// Sends `value` as a JSON response.
pub fn reply_json<T: Serialize>(request: Request, status: u16, value: &T) {
    let text = serde_json::to_string(value).expect("all map keys of the message are strings");
    send_response(request, text_response(status, text));
}

/// Creates a response from text that is already JSON.
pub fn text_response(status: u16, text: String) -> Response<Cursor<Vec<u8>>> {
    Response::from_string(text)
        .with_status_code(status)
        .with_header(make_header("Content-Type", "application/json"))
}

/// Sends a response. Errors are ignored because the caller may have disconnected.
pub fn send_response<R: Read>(request: Request, response: Response<R>) {
    let _ = request.respond(response);
}

/// Closes the connection without sending a response.
pub fn close_connection(request: Request) {
    drop(request.into_writer());
}

/// Splits a URL into its path and its query parameters.
pub fn split_url(url: &str) -> (String, HashMap<String, String>) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let parameters = query.split('&').filter_map(|parameter| parameter.split_once('='));
    (path.to_string(), parameters.map(|(k, v)| (k.to_string(), v.to_string())).collect())
}
