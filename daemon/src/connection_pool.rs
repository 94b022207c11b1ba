//! HTTP calls to one server over a limited number of persistent connections.
//!
//! Opening a connection is expensive on the platform, so a call waits for a free
//! connection when the maximum number is in use. A connection on which a call
//! fails or times out is closed, because it may no longer deliver anything.
//!
//! Open connections to a server may fall silent together, without a reset: they take requests and
//! never answer, while new connections work. A call that times out is therefore taken as a sign for
//! all connections that have answered nothing since it was sent. Those that no call uses are closed,
//! or each of them would cost one more call its whole timeout.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use oriolewall::platform::Error;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::client::{Call, Connection, Response};

/// Maximum size of a response body in bytes. A page of the log service holds up to 1 MiB of
/// values, encoded in base64.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Maximum time to open a connection. It leaves time for a lost SYN packet to be sent again, which
/// happens after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Number of connections that all pools of this process have opened.
static TOTAL_OPENED: AtomicU64 = AtomicU64::new(0);

/// Number of calls of this process that were not answered within their timeout.
static TOTAL_UNANSWERED: AtomicU64 = AtomicU64::new(0);

/// Connections to one server, with a maximum number of concurrent calls.
#[derive(Debug)]
pub struct ConnectionPool {
    addr: SocketAddr,
    /// One permit for each call that may be in progress.
    permits: Semaphore,
    /// Open connections that no call uses, the one that answered last at the end.
    idle: Mutex<Vec<IdleConnection>>,
}

/// An open connection that no call uses.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    /// When it last answered.
    answered: Instant,
}

impl ConnectionPool {
    /// Creates a pool of at most `max_connections` connections. They are opened on demand.
    pub fn new(addr: SocketAddr, max_connections: usize) -> ConnectionPool {
        ConnectionPool {
            addr,
            permits: Semaphore::new(max_connections),
            idle: Mutex::new(Vec::new()),
        }
    }

    /// Address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of connections that all pools of this process have opened since it started.
    pub fn total_opened() -> u64 {
        TOTAL_OPENED.load(Ordering::Relaxed)
    }

    /// Number of calls that were sent over all pools of this process and not answered within their
    /// timeout. The connection of each of them was closed.
    pub fn total_unanswered() -> u64 {
        TOTAL_UNANSWERED.load(Ordering::Relaxed)
    }

    /// Sends a request and returns the response, with any status.
    ///
    /// The timeout of the call includes the wait for a free connection.
    /// [`Error::Undelivered`] means that the call had no effect; after [`Error::Lost`] it may have
    /// taken effect.
    pub async fn call(&self, call: Call) -> Result<Response, Error> {
        let deadline = tokio::time::Instant::now() + call.timeout;
        let permit = tokio::time::timeout_at(deadline, self.permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else {
            return Err(Error::Undelivered);
        };
        let reused = match call.connection {
            Connection::Any => self.take_idle(),
            Connection::New => None,
        };
        let mut sender = match reused {
            Some(sender) => sender,
            None => tokio::time::timeout_at(deadline, self.connect())
                .await
                .map_err(|_| Error::Undelivered)??,
        };
        let sent = Instant::now();
        let request = send(&mut sender, self.addr, call);
        let Ok(response) = tokio::time::timeout_at(deadline, request).await else {
            TOTAL_UNANSWERED.fetch_add(1, Ordering::Relaxed);
            self.close_idle_since(sent);
            return Err(Error::Lost);
        };
        let response = response?;
        if let Ok(mut idle) = self.idle.lock()
            && !sender.is_closed()
        {
            let answered = Instant::now();
            idle.push(IdleConnection { sender, answered });
        }
        Ok(response)
    }

    /// Closes the idle connections that have answered nothing since this time, when a call was sent
    /// that has found another connection silent.
    pub fn close_idle_since(&self, sent: Instant) {
        if let Ok(mut idle) = self.idle.lock() {
            idle.retain(|it| sent < it.answered);
        }
    }

    /// Removes and returns an idle connection that the server has not closed.
    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().ok()?;
        while let Some(connection) = idle.pop() {
            if !connection.sender.is_closed() {
                return Some(connection.sender);
            }
        }
        None
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, Error> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let stream = stream.map_err(|_| Error::Undelivered)?.map_err(|_| Error::Undelivered)?;
        stream.set_nodelay(true).map_err(|_| Error::Undelivered)?;
        TOTAL_OPENED.fetch_add(1, Ordering::Relaxed);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|_| Error::Undelivered)?;
        tokio::spawn(async move {
            // The calls on a broken connection fail, so its error is not needed here.
            let _ = connection.await;
        });
        Ok(sender)
    }
}

async fn send(sender: &mut SendRequest<Full<Bytes>>, addr: SocketAddr, call: Call) -> Result<Response, Error> {
    // If the connection closes before it is ready, nothing of the request has been sent.
    sender.ready().await.map_err(|_| Error::Undelivered)?;
    // The process may have been paused, or the call withdrawn, since it was made.
    if !call.may_be_sent() {
        return Err(Error::Undelivered);
    }
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
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|_| Error::Lost)?;
    Ok(Response {
        status,
        body: body.to_bytes(),
    })
}
