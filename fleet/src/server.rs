//! HTTP listeners of an entry instance, one for each [`Endpoint`].

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::node::Node;
use crate::{caller_api, metrics, peer};

/// Time within which a client has to send its request headers.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// File descriptors reserved for connections to the log, workers and peers, and for files.
const RESERVED_DESCRIPTORS: usize = 1200;
/// Lower limit for the number of connections that are accepted at once.
const MIN_CONNECTIONS: usize = 64;

/// HTTP response whose body is held in memory.
pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Listener of an entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Endpoint {
    /// API for callers.
    Callers,
    /// The platform's readiness checks.
    Readiness,
    /// Calls from other entry instances.
    Peers,
    /// Prometheus metrics.
    Metrics,
}

/// Accepts and serves connections; never returns. The number of open connections is
/// limited by the file descriptors that remain after [`RESERVED_DESCRIPTORS`].
pub(crate) async fn run(listener: TcpListener, node: Arc<Node>, endpoint: Endpoint) {
    let limit = node.settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTIONS);
    let connection_permits = Arc::new(Semaphore::new(limit));
    loop {
        let Ok(permit) = connection_permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // Accepting fails when the process is out of descriptors. Wait until some are closed.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        // If this fails, responses may only be delayed until the client acknowledges earlier
        // data.
        let _ = stream.set_nodelay(true);
        let node = node.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| handle_request(node.clone(), endpoint, request));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // An error on a connection affects its client only.
            let _ = connection.await;
            drop(permit);
        });
    }
}

async fn handle_request(node: Arc<Node>, endpoint: Endpoint, request: Request<Incoming>) -> Result<HttpResponse, Infallible> {
    let mut response = match endpoint {
        Endpoint::Callers => caller_api::handle_request(&node, request).await,
        Endpoint::Readiness => readiness(&node),
        Endpoint::Peers => peer::handle_request(&node, request).await,
        Endpoint::Metrics => metrics::handle_request(&node),
    };
    if node.is_stopping() && endpoint == Endpoint::Callers {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

fn readiness(node: &Node) -> HttpResponse {
    match node.is_ready() {
        true => text_response(StatusCode::OK, "ready"),
        false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

/// Creates a response with the content type of JSON.
pub(crate) fn json_response(status: StatusCode, body: Vec<u8>) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Creates a plain-text response.
pub(crate) fn text_response(status: StatusCode, body: &str) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
