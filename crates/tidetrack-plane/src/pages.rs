//! Servers of pages: readiness, metrics, and the store changes that other hosts request.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

use tidetrack_core::events::Event;

use crate::body::ResponseBody;
use crate::server::ACCEPT_RETRY_DELAY;
use crate::shared::{Shared, SharedRef};

/// Time after which a connection of a page server is dropped if the client has not acknowledged sent bytes.
/// Such a client is stalled or cut off, and it uses up part of the limit on data that a host serves to all clients
/// at the same time.
const PAGE_UNACKED_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Maximum size in bytes of the HTTP library's write buffer for a page, in addition to one part of its body.
/// With the default of 417 KB, a whole configuration would count as served before any of it is sent.
const PAGE_BUFFER_BYTES: usize = 32 << 10;

/// Maximum number of unsent bytes of a page in the kernel's socket buffer, which would otherwise accept
/// megabytes. About 10 KB (one window) are sent at a time.
const PAGE_MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Builds a response with the given status and text.
fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut resp = Response::new(ResponseBody::from_bytes(text.into()));
    *resp.status_mut() = status;
    resp
}

/// Serves pages on a listener of their own until the process ends. `make_page` builds a page without waiting.
pub async fn serve_pages<B>(
    shared: SharedRef,
    listener: TcpListener,
    make_page: impl Fn(&Request<Incoming>) -> Response<B> + 'static,
) where
    B: Body + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let make_page = Rc::new(make_page);
    loop {
        let stream = accept(&shared, &listener).await;
        let (shared, make_page) = (shared.clone(), make_page.clone());
        tokio::task::spawn_local(async move {
            if limit_unsent_bytes(&shared, &stream) {
                serve_page_connection(stream, &*make_page).await;
            }
        });
    }
}

/// Accepts a connection. Logs failures and tries again.
pub async fn accept(shared: &Shared, listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                shared.journal.log(Event::AcceptFailed, &[("why", &e)]);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Limits how long and how much a client of a page server may leave unacknowledged. Reports whether the
/// connection can be served.
pub fn limit_unsent_bytes(shared: &Shared, stream: &TcpStream) -> bool {
    let socket = socket2::SockRef::from(stream);
    if let Err(e) = socket.set_tcp_notsent_lowat(PAGE_MAX_UNSENT_BYTES) {
        // The page is served without this bound on unsent bytes.
        shared.journal.log(Event::AcceptFailed, &[("why", &e)]);
    }
    match socket.set_tcp_user_timeout(Some(PAGE_UNACKED_TIMEOUT)) {
        Ok(()) => true,
        Err(e) => {
            shared.journal.log(Event::AcceptFailed, &[("why", &e)]);
            false
        }
    }
}

/// Serves pages on one connection until the client closes it.
pub async fn serve_page_connection<B>(
    io: impl AsyncRead + AsyncWrite + Unpin,
    make_page: &impl Fn(&Request<Incoming>) -> Response<B>,
) where
    B: Body + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    let service = service_fn(|req| {
        let resp = make_page(&req);
        async move { Ok::<_, Infallible>(resp) }
    });
    // A client whose connection breaks is expected to retry, so the error is ignored.
    let mut builder = Builder::new();
    builder.max_buf_size(PAGE_BUFFER_BYTES);
    drop(builder.serve_connection(TokioIo::new(io), service).await);
}

/// Serves the readiness and metrics pages on a listener of their own until the process ends.
pub async fn serve_readiness_and_metrics(shared: SharedRef, listener: TcpListener) {
    let page_shared = shared.clone();
    serve_pages(shared, listener, move |req| readiness_or_metrics_page(&page_shared, req)).await;
}

/// Builds the readiness or metrics page, or an error page for any other path.
fn readiness_or_metrics_page(shared: &Shared, req: &Request<Incoming>) -> Response<ResponseBody> {
    match req.uri().path() {
        path if path == shared.dialect.readiness_path => match shared.is_ready() {
            true => text_response(StatusCode::OK, "ready\n"),
            false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        METRICS_PATH => match shared.metrics.to_text() {
            Ok(text) => text_response(StatusCode::OK, text),
            Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        },
        _ => text_response(StatusCode::NOT_FOUND, "page not found\n"),
    }
}

/// Path of the metrics page.
pub const METRICS_PATH: &str = "/metrics";
