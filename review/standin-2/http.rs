//! A small HTTP/1.1 server with one thread for each connection, and a client.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::Json;

#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn param(&self, name: &str) -> &str {
        self.query.iter().find(|(it, _)| it == name).map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        header.map_or("", |(_, value)| value)
    }

    pub fn json(&self) -> Json {
        Json::parse(&self.body).unwrap_or(Json::Null)
    }
}

#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

pub fn json(status: u16, body: Json) -> Response {
    Response {
        status,
        body: body.to_string().into_bytes(),
    }
}

/// Makes the connections of a server that are open at a time go silent for good: they stay open,
/// and nothing that comes on them is read as a request or answered. New ones work.
#[derive(Clone, Debug, Default)]
pub struct Silence(Arc<Mutex<Option<Instant>>>);

impl Silence {
    pub fn begin(&self) {
        *self.0.lock().unwrap() = Some(Instant::now());
    }

    fn covers(&self, opened: Instant) -> bool {
        self.0.lock().unwrap().is_some_and(|it| opened < it)
    }
}

/// Serves requests on an address until the process ends.
pub fn serve<F>(addr: SocketAddr, silence: Silence, handler: F)
where
    F: Fn(Request) -> Response + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr).unwrap_or_else(|err| crate::cannot_run(&format!("cannot listen on {addr}: {err}")));
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (handler, silence) = (handler.clone(), silence.clone());
            thread::spawn(move || serve_connection(stream, &silence, &*handler));
        }
    });
}

fn serve_connection<F>(mut stream: TcpStream, silence: &Silence, handler: &F)
where
    F: Fn(Request) -> Response,
{
    let opened = Instant::now();
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let Ok(Some(request)) = read_request(&mut stream, &mut buffer) else {
            return;
        };
        if silence.covers(opened) {
            return discard(stream);
        }
        let response = handler(request);
        if silence.covers(opened) {
            return discard(stream);
        }
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut out = head.into_bytes();
        out.extend(response.body);
        if stream.write_all(&out).is_err() {
            return;
        }
    }
}

/// Keeps a connection open without answering, until the peer closes it.
fn discard(mut stream: TcpStream) {
    let mut chunk = [0; 4096];
    while stream.read(&mut chunk).is_ok_and(|it| it != 0) {}
}

/// Reads up to the end of a head. Returns the head, and leaves what follows in the buffer.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    let mut chunk = [0; 16384];
    loop {
        if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            return Ok(Some(head));
        }
        match stream.read(&mut chunk)? {
            0 => return Ok(None),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
    let mut chunk = [0; 16384];
    while buffer.len() < length {
        match stream.read(&mut chunk)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
    Ok(buffer.drain(..length).collect())
}

fn headers_of(head: &str) -> Vec<(String, String)> {
    let lines = head.split("\r\n").skip(1);
    lines
        .filter_map(|it| it.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect()
}

fn length_of(headers: &[(String, String)]) -> usize {
    let length = headers.iter().find(|(it, _)| it == "content-length");
    length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let Some(head) = read_head(stream, buffer)? else {
        return Ok(None);
    };
    let headers = headers_of(&head);
    let body = read_body(stream, buffer, length_of(&headers))?;
    let mut first = head.split("\r\n").next().unwrap_or_default().split(' ');
    let target = first.nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|it| it.split_once('='));
    Ok(Some(Request {
        path: path.to_owned(),
        query: query.map(|(name, value)| (name.to_owned(), decode_percent(value))).collect(),
        headers,
        body,
    }))
}

fn decode_percent(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let code = value.get(index + 1..index + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[index], code) {
            (b'%', Some(code)) => {
                out.push(code);
                index += 3;
            }
            (byte, _) => {
                out.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes one call on a connection of its own. Returns the status and the body.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let deadline = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_nodelay(true)?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    request += &format!("content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(request.as_bytes())?;
    let left = deadline.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut buffer = Vec::new();
    let Some(head) = read_head(&mut stream, &mut buffer)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok());
    let body = read_body(&mut stream, &mut buffer, length_of(&headers_of(&head)))?;
    Ok((status.ok_or(io::ErrorKind::InvalidData)?, body))
}
