//! HTTP server with a maximum number of connections, a timeout for slow clients, and graceful
//! shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::sync::watch;
use warp::filters::BoxedFilter;
use warp::reply::Response;

/// Maximum time for a client to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time for open requests to finish after the stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(40);

/// Binds a listener to an address.
pub async fn bind(addr: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("cannot listen on {addr}"))
}

/// Serves requests until `stop` becomes true, then waits for open requests to finish.
///
/// A connection beyond `max_connections` is answered with status 503 and closed.
pub async fn serve(listener: TcpListener, routes: BoxedFilter<(Response,)>, max_connections: usize, mut stop: watch::Receiver<bool>) {
    let permits = Arc::new(Semaphore::new(max_connections));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|it| *it) => break,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            tokio::spawn(refuse(stream));
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(warp::service(routes.clone()));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // An error ends this connection only; its client notices it.
            let _ = connection.await;
            drop(permit);
        });
    }
    drop(listener);
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, graceful.shutdown()).await;
}

/// Answers with status 503 without reading the request, and closes the connection.
async fn refuse(mut stream: TcpStream) {
    use tokio::io::AsyncWriteExt;
    const BODY: &str = r#"{"error":"too_many_connections","message":"too many connections; try another entry"}"#;
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{BODY}",
        BODY.len()
    );
    let _ = tokio::time::timeout(HEAD_TIMEOUT, stream.write_all(text.as_bytes())).await;
}
