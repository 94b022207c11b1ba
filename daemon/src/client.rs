//! HTTP calls with a timeout, and what is known of their effect when they fail.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client as Legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use oriolewall::platform::Error;

/// Longest response body, bytes.
const BODY_LIMIT: usize = 64 * 1024 * 1024;
/// Time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A pooled HTTP/1.1 client.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Legacy<HttpConnector, Full<Bytes>>,
}

/// A call to be made.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Request headers.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: Bytes,
    /// Time for the whole call.
    pub timeout: Duration,
}

/// What a server answered.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: StatusCode,
    /// Body, whole.
    pub body: Bytes,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Call {
    /// A GET.
    pub fn get(addr: SocketAddr, path: impl Into<String>, timeout: Duration) -> Call {
        Call {
            method: Method::GET,
            addr,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout,
        }
    }

    /// A POST.
    pub fn post(addr: SocketAddr, path: impl Into<String>, body: Bytes, timeout: Duration) -> Call {
        Call {
            method: Method::POST,
            body,
            ..Call::get(addr, path, timeout)
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Call {
        self.headers.push((name, value.into()));
        self
    }
}

impl Client {
    /// A client with its own connections.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Legacy::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .build(connector);
        Client { inner }
    }

    /// Makes a call. The error says whether it can have taken effect.
    pub async fn call(&self, call: Call) -> Result<Response, Error> {
        let timeout = call.timeout;
        match tokio::time::timeout(timeout, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Lost),
        }
    }

    async fn exchange(&self, call: Call) -> Result<Response, Error> {
        let uri = format!("http://{}{}", call.addr, call.path);
        let mut request = Request::builder().method(call.method).uri(uri);
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(call.body)).map_err(|_| Error::Undelivered)?;
        let response = self.inner.request(request).await;
        let response = response.map_err(|err| if err.is_connect() { Error::Undelivered } else { Error::Lost })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), BODY_LIMIT)
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
