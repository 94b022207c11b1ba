//! HTTP service: one loop for each address.

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
use crate::{front, metrics, peer};

/// Time for a client to send its request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Descriptors kept for the log, workers, peers and files.
const RESERVED_DESCRIPTORS: usize = 1200;
/// Fewest connections that are taken at once.
const MIN_CONNECTIONS: usize = 64;

/// A response with its whole body.
pub(crate) type Answer = Response<Full<Bytes>>;

/// Who is served at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Callers.
    Callers,
    /// The platform's readiness checks.
    Ready,
    /// Other entry instances.
    Peers,
    /// Whoever reads metrics.
    Metrics,
}

/// Serves an address until the process ends.
pub(crate) async fn run(listener: TcpListener, node: Arc<Node>, kind: Kind) {
    let limit = node.settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_CONNECTIONS);
    let permits = Arc::new(Semaphore::new(limit));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors; some will be closed.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        // Without it answers wait for the peer's acknowledgement, no more.
        let _ = stream.set_nodelay(true);
        let node = node.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| answer(node.clone(), kind, request));
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // A broken connection concerns its client only.
            let _ = connection.await;
            drop(permit);
        });
    }
}

async fn answer(node: Arc<Node>, kind: Kind, request: Request<Incoming>) -> Result<Answer, Infallible> {
    let mut answer = match kind {
        Kind::Callers => front::answer(&node, request).await,
        Kind::Ready => ready(&node),
        Kind::Peers => peer::answer(&node, request).await,
        Kind::Metrics => metrics::answer(&node),
    };
    if node.is_stopping() && kind == Kind::Callers {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

fn ready(node: &Node) -> Answer {
    match node.is_ready() {
        true => text(StatusCode::OK, "ready"),
        false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

/// A response in JSON.
pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Answer {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// A response in plain text.
pub(crate) fn text(status: StatusCode, body: &str) -> Answer {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(body.as_bytes())));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
