//! A small HTTP/1.1 server and client over blocking sockets.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request as a service sees it.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }
}

/// What a service does with a request.
pub enum Answer {
    /// Sends a status and a body.
    Send(u16, Vec<u8>),
    /// Never answers on this connection, and does not close it.
    Silence,
    /// Closes the connection.
    Close,
}

/// A listener that can be ended together with its connections.
pub struct Server {
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Listens at an address and has each request handled in the thread of its connection.
    pub fn start<F>(addr: SocketAddr, handle: F) -> io::Result<Server>
    where
        F: Fn(&Request) -> Answer + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let server = Server {
            ended: Arc::default(),
            streams: Arc::default(),
        };
        let (ended, streams, handle) = (server.ended.clone(), server.streams.clone(), Arc::new(handle));
        thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().unwrap().push(copy);
                }
                let (handle, ended) = (handle.clone(), ended.clone());
                thread::spawn(move || serve(stream, &*handle, &ended));
            }
        });
        Ok(server)
    }

    /// Ends the listener and all its connections.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The listener's thread drops it within a millisecond.
        thread::sleep(Duration::from_millis(5));
    }
}

fn serve<F>(stream: TcpStream, handle: &F, ended: &AtomicBool)
where
    F: Fn(&Request) -> Answer,
{
    let Ok(copy) = stream.try_clone() else {
        return;
    };
    let (mut reader, mut writer) = (BufReader::new(copy), stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        if ended.load(Ordering::SeqCst) {
            return;
        }
        match handle(&request) {
            Answer::Send(status, body) => {
                let kind = if body.first() == Some(&b'{') {
                    "application/json"
                } else {
                    "application/octet-stream"
                };
                let mut out = format!(
                    "HTTP/1.1 {status} -\r\ncontent-type: {kind}\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                )
                .into_bytes();
                out.extend(body);
                if ended.load(Ordering::SeqCst) || writer.write_all(&out).is_err() {
                    return;
                }
            }
            Answer::Silence => {
                // Whatever still arrives is read, so that the sender notices nothing.
                let _ = io::copy(&mut reader, &mut io::sink());
                return;
            }
            Answer::Close => {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let target = line.split(' ').nth(1).unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    Ok(Some(Request {
        path: path.to_owned(),
        query: pairs.map(|(key, value)| (key.to_owned(), decode_percent(value))).collect(),
        headers,
        body,
    }))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(headers);
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let escaped = text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], escaped) {
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

/// A client's connection to one server, kept open between calls.
pub struct Client {
    addr: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
    /// Connections whose answers were given up. They are closed with the client.
    abandoned: Vec<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client {
            addr,
            connection: None,
            abandoned: Vec::new(),
        }
    }

    /// Makes a call and returns status and body. After any error the next call opens a connection.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        timeout: Duration,
    ) -> io::Result<(u16, Vec<u8>)> {
        let result = self.try_call(method, path, headers, body, timeout);
        if result.is_err() {
            self.abandoned.extend(self.connection.take());
        }
        result
    }

    fn try_call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        timeout: Duration,
    ) -> io::Result<(u16, Vec<u8>)> {
        if self.connection.is_none() {
            let stream = TcpStream::connect_timeout(&self.addr, timeout)?;
            stream.set_nodelay(true)?;
            self.connection = Some(BufReader::new(stream));
        }
        let reader = self.connection.as_mut().expect("it was opened");
        reader.get_ref().set_read_timeout(Some(timeout))?;
        let mut out = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            out += &format!("{name}: {value}\r\n");
        }
        out += "\r\n";
        out += body;
        reader.get_mut().write_all(out.as_bytes())?;
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        let headers = read_headers(reader)?;
        let length = headers.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        if headers.get("connection").is_some_and(|it| it == "close") {
            self.connection = None;
        }
        Ok((status, body))
    }
}
