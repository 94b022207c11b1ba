//! HTTP/1.1 client with a timeout per call.
//!
//! Errors distinguish calls that had no effect from calls that may have taken effect.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as HyperClient;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use oriolewall::platform::Error;
use oriolewall::withdrawal;

use crate::clock;

/// Maximum size of a response body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// HTTP/1.1 client that reuses connections. Clones share them.
#[derive(Clone, Debug)]
pub struct Client {
    inner: HyperClient<HttpConnector, Full<Bytes>>,
}

/// Connection on which a call is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Connection {
    /// An idle one, or a new one if there is none.
    #[default]
    Any,
    /// A new one, as open ones may have fallen silent.
    New,
}

/// HTTP request with its timeout.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Path and query string.
    pub path: String,
    /// Request headers.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Bytes,
    /// Maximum time from connecting until the whole response body has arrived.
    pub timeout: Duration,
    /// Reading of [`clock::monotonic`] after which the request must not be sent.
    pub send_by: Duration,
    /// Tells whether the request was withdrawn, after which it must not be sent; `None` if it cannot be.
    pub withdrawal: Option<withdrawal::Watch>,
    /// Connection on which a [`ConnectionPool`](crate::connection_pool::ConnectionPool) sends it.
    pub connection: Connection,
}

/// Response of a server.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: StatusCode,
    /// Complete body.
    pub body: Bytes,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Call {
    /// Creates a GET request. It is not sent later than its timeout from now on, even if the
    /// process is paused meanwhile.
    pub fn get(addr: SocketAddr, path: impl Into<String>, timeout: Duration) -> Call {
        Call {
            method: Method::GET,
            addr,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout,
            send_by: clock::monotonic() + timeout,
            withdrawal: None,
            connection: Connection::Any,
        }
    }

    /// Creates a POST request.
    pub fn post(addr: SocketAddr, path: impl Into<String>, body: Bytes, timeout: Duration) -> Call {
        Call {
            method: Method::POST,
            body,
            ..Call::get(addr, path, timeout)
        }
    }

    /// Sets an earlier reading of [`clock::monotonic`] after which the request must not be sent.
    pub fn send_by(mut self, time: Duration) -> Call {
        self.send_by = self.send_by.min(time);
        self
    }

    /// Sets what tells whether the request was withdrawn.
    pub fn unless_withdrawn(mut self, withdrawal: withdrawal::Watch) -> Call {
        self.withdrawal = Some(withdrawal);
        self
    }

    /// Sets on which connection the call is sent.
    pub fn on(mut self, connection: Connection) -> Call {
        self.connection = connection;
        self
    }

    /// Whether the request may be sent now.
    pub(crate) fn may_be_sent(&self) -> bool {
        clock::monotonic() < self.send_by && !self.withdrawal.as_ref().is_some_and(withdrawal::Watch::is_withdrawn)
    }

    /// Adds a request header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Call {
        self.headers.push((name, value.into()));
        self
    }
}

impl Client {
    /// Creates a client that shares no connections with others.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = HyperClient::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .build(connector);
        Client { inner }
    }

    /// Sends a request and returns the response, unless its status is 503.
    ///
    /// [`Error::Undelivered`] and [`Error::Unavailable`] (status 503) mean that the call had no
    /// effect. After [`Error::Lost`] it may have taken effect.
    pub async fn call(&self, call: Call) -> Result<Response, Error> {
        let timeout = call.timeout;
        match tokio::time::timeout(timeout, self.send(call)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Lost),
        }
    }

    async fn send(&self, call: Call) -> Result<Response, Error> {
        if !call.may_be_sent() {
            return Err(Error::Undelivered);
        }
        let uri = format!("http://{}{}", call.addr, call.path);
        let mut request = Request::builder().method(call.method).uri(uri);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(call.body)).map_err(|_| Error::Undelivered)?;
        let response = self.inner.request(request).await;
        let response = response.map_err(|err| if err.is_connect() { Error::Undelivered } else { Error::Lost })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|_| Error::Lost)?;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(Error::Unavailable);
        }
        Ok(Response {
            status,
            body: body.to_bytes(),
        })
    }
}
