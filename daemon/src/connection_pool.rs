//! Calls to one server over few connections that are kept open.
//!
//! New connections are dear on the platform, so calls wait for a connection
//! rather than open one more. A connection on which a call got no answer in
//! time is closed: it may have gone silent.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use oriolewall::platform::Error;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::client::{Call, Response};

/// Longest response body, bytes; the store's pages hold at most 1 MiB of values, in base64.
const BODY_LIMIT: usize = 8 * 1024 * 1024;
/// Time to open a connection; a lost opening packet is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Connections opened by this process.
static OPENED: AtomicU64 = AtomicU64::new(0);

/// Connections to one server.
#[derive(Debug)]
pub struct ConnectionPool {
    addr: SocketAddr,
    permits: Semaphore,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl ConnectionPool {
    /// A lane of at most `width` connections, none of them open yet.
    pub fn new(addr: SocketAddr, width: usize) -> ConnectionPool {
        ConnectionPool {
            addr,
            permits: Semaphore::new(width),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// The server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Connections opened by this process so far.
    pub fn total_opened() -> u64 {
        OPENED.load(Ordering::Relaxed)
    }

    /// Makes a call. The error says whether it can have taken effect.
    pub async fn call(&self, call: Call) -> Result<Response, Error> {
        let deadline = tokio::time::Instant::now() + call.timeout;
        let permit = tokio::time::timeout_at(deadline, self.permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(Error::Undelivered);
        };
        let taken = self.take();
        let mut sender = match taken {
            Some(sender) => sender,
            None => tokio::time::timeout_at(deadline, self.connect())
                .await
                .map_err(|_| Error::Undelivered)??,
        };
        let exchange = exchange(&mut sender, self.addr, call);
        let response = tokio::time::timeout_at(deadline, exchange).await.map_err(|_| Error::Lost)??;
        if let Ok(mut idle) = self.idle.lock()
            && !sender.is_closed()
        {
            idle.push(sender);
        }
        Ok(response)
    }

    fn take(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().ok()?;
        while let Some(sender) = idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, Error> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let stream = stream.map_err(|_| Error::Undelivered)?.map_err(|_| Error::Undelivered)?;
        stream.set_nodelay(true).map_err(|_| Error::Undelivered)?;
        OPENED.fetch_add(1, Ordering::Relaxed);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|_| Error::Undelivered)?;
        tokio::spawn(async move {
            // Its end shows in the calls that use it.
            let _ = connection.await;
        });
        Ok(sender)
    }
}

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, addr: SocketAddr, call: Call) -> Result<Response, Error> {
    // A connection that closes before the request is written has delivered nothing.
    sender.ready().await.map_err(|_| Error::Undelivered)?;
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(hyper::header::HOST, addr.to_string());
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    let request = request.body(Full::new(call.body)).map_err(|_| Error::Undelivered)?;
    let response = sender.send_request(request).await;
    let response = response.map_err(|err| if err.is_canceled() { Error::Undelivered } else { Error::Lost })?;
    let status: StatusCode = response.status();
    let body = Limited::new(response.into_body(), BODY_LIMIT)
        .collect()
        .await
        .map_err(|_| Error::Lost)?;
    Ok(Response {
        status,
        body: body.to_bytes(),
    })
}
