//! Clients that send more than the limits allow, or never finish a request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Size of a head that is over the limit, and of what clients without end send.
const HEAD_BYTES: usize = 370 * 1024;
/// Largest legal body of a caller.
const BODY_BYTES: usize = 262_144;
/// Largest legal body of a call between instances.
const PEER_BODY_BYTES: usize = 2 * 1024 * 1024;
/// Bytes that are missing at the end of most bodies.
const MISSING_BYTES: usize = 10;
/// One of so many clients sends its body to the end.
const COMPLETE: usize = 8;
/// One-byte chunks of a client.
const SMALL_CHUNKS: usize = 20_000;
const LARGE_CHUNK: usize = 16 * 1024;
/// Time after which a client whose connection takes no more bytes stops sending and waits.
const SEND_TIME: Duration = Duration::from_secs(2);

/// What a client sends.
#[derive(Clone, Debug)]
pub(crate) enum Kind {
    ManyHeaders,
    EndlessHeader,
    EmptyLines,
    WholeBody,
    BodyInPieces,
    LargeChunks,
    SmallChunks,
    PeerBody,
    PartialHead,
    /// Sends, and connects again as soon as the connection is closed.
    Reconnecting(Box<Kind>),
}

impl Kind {
    pub(crate) fn reconnecting(kind: Kind) -> Kind {
        Kind::Reconnecting(Box::new(kind))
    }

    /// Returns what a client sends, in pieces that are sent one at a time.
    fn pieces(&self, is_complete: bool) -> Vec<Vec<u8>> {
        let head = |length: String| format!("POST /q/00000000000f4240 HTTP/1.1\r\nhost: 127.0.0.1\r\n{length}\r\n\r\n").into_bytes();
        let chunked = || head("transfer-encoding: chunked".to_owned());
        match self {
            Kind::ManyHeaders => {
                let mut text = b"POST /q/0000000000000001 HTTP/1.1\r\nhost: 127.0.0.1\r\n".to_vec();
                let line = format!("x-filler: {}\r\n", "x".repeat(4000));
                text.extend(line.as_bytes().iter().cycle().take(HEAD_BYTES));
                vec![text]
            }
            Kind::EndlessHeader => {
                let mut text = b"GET /q/0000000000000001 HTTP/1.1\r\nhost: 127.0.0.1\r\nx-filler: ".to_vec();
                text.resize(HEAD_BYTES, b'x');
                vec![text]
            }
            Kind::EmptyLines => vec![b"\r\n".repeat(HEAD_BYTES / 2)],
            Kind::WholeBody => {
                let length = format!("content-length: {BODY_BYTES}");
                vec![[head(length), body(BODY_BYTES, is_complete)].concat()]
            }
            Kind::BodyInPieces => {
                let length = format!("content-length: {BODY_BYTES}");
                let body = body(BODY_BYTES, is_complete);
                let pieces = body.chunks(LARGE_CHUNK).map(<[u8]>::to_vec);
                std::iter::once(head(length)).chain(pieces).collect()
            }
            Kind::LargeChunks => {
                let body = body(BODY_BYTES, true);
                let chunk = |it: &[u8]| [format!("{:x}\r\n", it.len()).as_bytes(), it, b"\r\n"].concat();
                let mut text = [chunked(), body.chunks(LARGE_CHUNK).flat_map(chunk).collect(), b"0\r\n\r\n".to_vec()].concat();
                text.truncate(text.len() - if is_complete { 0 } else { MISSING_BYTES });
                vec![text]
            }
            Kind::SmallChunks => vec![[chunked(), b"1\r\n \r\n".repeat(SMALL_CHUNKS)].concat()],
            Kind::PeerBody => {
                let length = format!("content-length: {PEER_BODY_BYTES}");
                vec![[head(length), body(PEER_BODY_BYTES, is_complete)].concat()]
            }
            Kind::PartialHead => vec![b"POST /q/".to_vec()],
            Kind::Reconnecting(kind) => kind.pieces(is_complete),
        }
    }
}

/// Returns a job of the largest legal size.
pub(crate) fn largest_job() -> Vec<u8> {
    body(BODY_BYTES, true)
}

/// Returns a job that is filled up to a size. All but the complete ones lack their end.
fn body(size: usize, is_complete: bool) -> Vec<u8> {
    let (begin, end) = (r#"{"phases":[{"count":1,"cpu":1,"memMb":1}],"filler":""#, "\"}");
    let mut body = begin.as_bytes().to_vec();
    body.resize(size - end.len(), b'x');
    body.extend_from_slice(end.as_bytes());
    body.truncate(size - if is_complete { 0 } else { MISSING_BYTES });
    body
}

/// Connected clients, until they are dropped.
#[derive(Default)]
pub(crate) struct Crowd {
    clients: JoinSet<()>,
    sent: Vec<watch::Receiver<bool>>,
}

impl Crowd {
    pub(crate) fn add(&mut self, addr: SocketAddr, kind: &Kind, count: usize) {
        // The clients share what they send, so that the test itself needs little memory.
        let variants = [false, true].map(|is_complete| Arc::new(kind.pieces(is_complete)));
        let repeats = matches!(kind, Kind::Reconnecting(_));
        for number in 0..count {
            let (done, receiver) = watch::channel(false);
            self.sent.push(receiver);
            let pieces = variants[usize::from(number.is_multiple_of(COMPLETE))].clone();
            self.clients.spawn(run(addr, pieces, repeats, done));
        }
    }

    /// Waits until each client has sent what it can, or its connection has been closed.
    pub(crate) async fn settle(&mut self) {
        for sent in &mut self.sent {
            // A client that has ended has sent what it could.
            let _ = sent.wait_for(|it| *it).await;
        }
    }
}

async fn run(addr: SocketAddr, pieces: Arc<Vec<Vec<u8>>>, repeats: bool, done: watch::Sender<bool>) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(addr).await {
            for piece in pieces.iter() {
                let is_sent = tokio::time::timeout(SEND_TIME, stream.write_all(piece)).await;
                if !matches!(is_sent, Ok(Ok(()))) {
                    break;
                }
                tokio::task::yield_now().await;
            }
            done.send_replace(true);
            wait_until_closed(&mut stream).await;
        }
        done.send_replace(true);
        if !repeats {
            return;
        }
        // A client that is refused at once must not keep the test's own threads busy.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn wait_until_closed(stream: &mut TcpStream) {
    let mut buffer = [0; 1024];
    while stream.read(&mut buffer).await.is_ok_and(|it| it != 0) {}
}
