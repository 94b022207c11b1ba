//! HTTP/1.1 over TCP: a server with one thread for each connection, whose connections can be made
//! to go silent, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn parameter(&self, name: &str) -> &str {
        self.query.iter().find(|(it, _)| it == name).map_or("", |(_, it)| it)
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name).parse().ok()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

pub fn response(status: u16, body: impl Into<Vec<u8>>) -> Response {
    Response { status, body: body.into() }
}

/// An open connection of a server.
pub struct Connection {
    /// It carries nothing any more in either direction, and stays open.
    silent: AtomicBool,
    closed: AtomicBool,
    /// Path and query of the request in progress.
    request: Mutex<String>,
}

/// Server of one machine's path to a service.
#[derive(Clone)]
pub struct Server {
    pub addr: SocketAddr,
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
}

impl Server {
    pub fn start<H>(handler: H) -> Server
    where
        H: Fn(&Request) -> Response + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let server = Server {
            addr: listener.local_addr().expect("the listener is bound"),
            connections: Arc::default(),
        };
        let connections = server.connections.clone();
        let handler = Arc::new(handler);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let connection = Arc::new(Connection {
                    silent: AtomicBool::new(false),
                    closed: AtomicBool::new(false),
                    request: Mutex::default(),
                });
                connections.lock().unwrap().push(connection.clone());
                let handler = handler.clone();
                std::thread::spawn(move || {
                    serve(stream, &connection, &*handler);
                    connection.closed.store(true, Ordering::SeqCst);
                });
            }
        });
        server
    }

    /// Number of open connections, without those that are silent.
    pub fn open(&self) -> usize {
        let mut connections = self.connections.lock().unwrap();
        connections.retain(|it| !it.closed.load(Ordering::SeqCst));
        connections.iter().filter(|it| !it.silent.load(Ordering::SeqCst)).count()
    }

    /// Makes up to `count` open connections go silent for good: those first on which a request is
    /// waiting for its answer that contains `first`, then others on which one waits. Returns what
    /// waits on them.
    pub fn silence(&self, count: usize, first: &str) -> Vec<String> {
        let mut connections = self.connections.lock().unwrap();
        connections.retain(|it| !it.closed.load(Ordering::SeqCst));
        let mut open: Vec<_> = connections.iter().filter(|it| !it.silent.load(Ordering::SeqCst)).collect();
        open.sort_by_key(|it| {
            let request = it.request.lock().unwrap();
            (!request.contains(first), request.is_empty())
        });
        open.truncate(count);
        let silenced = open.iter().map(|it| {
            it.silent.store(true, Ordering::SeqCst);
            let request = it.request.lock().unwrap();
            if request.is_empty() { "idle".to_owned() } else { request.clone() }
        });
        silenced.collect()
    }
}

fn serve(stream: TcpStream, connection: &Connection, handler: &dyn Fn(&Request) -> Response) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        if connection.silent.load(Ordering::SeqCst) {
            continue;
        }
        *connection.request.lock().unwrap() = format!("{} {}", request.path, query_text(&request));
        let response = handler(&request);
        connection.request.lock().unwrap().clear();
        if connection.silent.load(Ordering::SeqCst) {
            continue;
        }
        let head = format!(
            "HTTP/1.1 {} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend(response.body);
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

fn query_text(request: &Request) -> String {
    let pairs: Vec<String> = request.query.iter().map(|(name, value)| format!("{name}={value}")).collect();
    format!("{}&", pairs.join("&"))
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pair = |it: &str| {
        let (name, value) = it.split_once('=').unwrap_or((it, ""));
        (name.to_owned(), decode(value))
    };
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.split('&').filter(|it| !it.is_empty()).map(pair).collect(),
        headers,
        body,
    })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn content_length(headers: &[(String, String)]) -> usize {
    let header = headers.iter().find(|(name, _)| name == "content-length");
    header.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = value.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends a request on a connection of its own. Returns status and body; `None` if there was no
/// complete answer in time.
pub fn call(addr: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &str, limit: Duration) -> Option<(u16, String)> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    let _ = stream.set_nodelay(true);
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\nconnection: close\r\n",
        body.len()
    );
    if !headers.iter().any(|(name, _)| *name == "host") {
        head += &format!("host: {addr}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all(format!("{head}\r\n{body}").as_bytes()).ok()?;
    let left = until.checked_duration_since(Instant::now()).filter(|it| !it.is_zero())?;
    stream.set_read_timeout(Some(left)).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
