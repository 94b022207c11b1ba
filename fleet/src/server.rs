//! HTTP listeners of an entry instance, one for each [`Listener`].

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
use hyper_util::rt::TokioIo;
use oriolewall::client_budget::{Listener, Reason};
use tokio::net::{TcpListener, TcpStream};

use crate::client_stream::ClientStream;
use crate::clients::Connection;
use crate::node::Node;
use crate::{caller_api, metrics, peer};

/// Time in which a connection that is closed while a request is read gets a last response.
const LAST_RESPONSE_TIME: Duration = Duration::from_secs(1);

/// HTTP response whose body is held in memory.
pub(crate) type HttpResponse = Response<Full<Bytes>>;

/// Accepts and serves connections; never returns.
pub(crate) async fn run(listener: TcpListener, node: Arc<Node>, endpoint: Listener) {
    loop {
        let Ok((stream, client)) = listener.accept().await else {
            // Accepting fails when the process is out of descriptors. Wait until some are closed.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let connection = node.clients.admit(endpoint, client).await;
        // If this fails, responses may only be delayed until the client acknowledges earlier
        // data.
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve(stream, node.clone(), endpoint, Arc::new(connection)));
        // The request that has arrived with the connection is read before the next connection takes
        // its place.
        tokio::task::yield_now().await;
    }
}

/// Serves a connection until the client closes it or it has to be closed.
async fn serve(stream: TcpStream, node: Arc<Node>, endpoint: Listener, connection: Arc<Connection>) {
    // A client that sends nothing costs no buffers.
    let readable = tokio::select! {
        biased;
        reason = connection.closed() => Err(reason),
        result = stream.readable() => Ok(result),
    };
    if let Err(reason) = readable {
        connection.record_closed(reason);
        return;
    }
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(connection.clone());
        // The future is boxed so that a connection holds its memory only during a request.
        Box::pin(handle_request(node.clone(), endpoint, connection.clone(), request))
    });
    let served = http1::Builder::new()
        .max_buf_size(node.settings.clients.head_bytes)
        .serve_connection(TokioIo::new(ClientStream::new(stream, connection.clone())), service);
    let mut served = std::pin::pin!(served);
    let result = tokio::select! {
        biased;
        reason = connection.closed() => Err(reason),
        result = &mut served => Ok(result),
    };
    match result {
        // An error on a connection affects its client only.
        Ok(Err(err)) if err.is_parse_too_large() => connection.record_closed(Reason::HeadLarge),
        Ok(_) => {}
        Err(_) if connection.is_reading_body() => {
            // The request is refused as soon as it is polled again, which also counts it.
            let _ = tokio::time::timeout(LAST_RESPONSE_TIME, served).await;
        }
        Err(reason) => connection.record_closed(reason),
    }
}

async fn handle_request(
    node: Arc<Node>,
    endpoint: Listener,
    connection: Arc<Connection>,
    request: Request<Incoming>,
) -> Result<HttpResponse, Infallible> {
    let mut response = match connection.record_complete() {
        Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "the connection is to be closed"),
        Ok(()) => match endpoint {
            Listener::Callers => caller_api::handle_request(&node, request).await,
            Listener::Readiness => readiness(&node),
            Listener::Peers => peer::handle_request(&node, request).await,
            Listener::Metrics => metrics::handle_request(&node),
        },
    };
    connection.record_response();
    if connection.closing().is_some() || node.is_stopping() && endpoint == Listener::Callers {
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
