//! Tests of calls that wait for a connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use oriole_daemon::client::{Call, Connection};
use oriole_daemon::clock;
use oriole_daemon::connection_pool::ConnectionPool;
use oriolewall::platform::Error;
use oriolewall::withdrawal::Guard;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// Answers each request after a delay and reports its path.
async fn serve(listener: TcpListener, delay: Duration, paths: mpsc::UnboundedSender<String>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let paths = paths.clone();
        tokio::spawn(async move {
            let mut buffer = [0; 4096];
            while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                let request = String::from_utf8_lossy(&buffer[..length]).into_owned();
                let path = request.split(' ').nth(1).unwrap().to_owned();
                paths.send(path).unwrap();
                tokio::time::sleep(delay).await;
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
            }
        });
    }
}

fn call(addr: SocketAddr, path: &str) -> Call {
    Call::post(addr, path, Bytes::new(), Duration::from_secs(5))
}

#[tokio::test]
async fn a_call_that_waits_past_its_time_for_a_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (paths, mut received) = mpsc::unbounded_channel();
    tokio::spawn(serve(listener, Duration::from_millis(300), paths));
    let pool = ConnectionPool::new(addr, 1);
    let late = call(addr, "/late").send_by(clock::monotonic() + Duration::from_millis(100));
    let in_time = call(addr, "/in-time").send_by(clock::monotonic() + Duration::from_secs(4));
    let (first, late) = tokio::join!(pool.call(call(addr, "/first")), pool.call(late));
    assert!(first.is_ok());
    assert_eq!(late.err(), Some(Error::Undelivered));
    assert!(pool.call(in_time).await.is_ok());
    assert_eq!(received.recv().await.unwrap(), "/first");
    assert_eq!(received.recv().await.unwrap(), "/in-time");
}

/// Answers requests until it is told to fall silent on the connections that are open then. Counts
/// the connections.
async fn serve_until_silent(listener: TcpListener, silent: watch::Receiver<bool>, opened: Arc<AtomicUsize>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        opened.fetch_add(1, Ordering::SeqCst);
        let (silent, was_silent) = (silent.clone(), *silent.borrow());
        tokio::spawn(async move {
            let mut buffer = [0; 4096];
            while let Ok(1..) = stream.read(&mut buffer).await {
                // The calls of a test are open together, so that each takes a connection.
                tokio::time::sleep(Duration::from_millis(20)).await;
                if *silent.borrow() == was_silent {
                    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
                }
            }
        });
    }
}

#[tokio::test]
async fn one_call_finds_out_that_all_open_connections_are_silent() {
    // Each call took another silent connection, and waited for its whole timeout.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (silence, silent) = watch::channel(false);
    let opened = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve_until_silent(listener, silent, opened.clone()));
    let pool = ConnectionPool::new(addr, 4);
    let (a, b, c, d) = tokio::join!(
        pool.call(call(addr, "/")),
        pool.call(call(addr, "/")),
        pool.call(call(addr, "/")),
        pool.call(call(addr, "/"))
    );
    assert!([a, b, c, d].iter().all(Result::is_ok));
    silence.send(true).unwrap();
    let short = || Call::post(addr, "/", Bytes::new(), Duration::from_millis(200));
    assert_eq!(pool.call(short()).await.err(), Some(Error::Lost));
    assert!(pool.call(short()).await.is_ok(), "the next call uses a new connection");
    assert_eq!(opened.load(Ordering::SeqCst), 5);
}

#[tokio::test]
async fn a_connection_that_has_answered_since_a_lost_call_was_sent_is_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (silence, silent) = watch::channel(false);
    let opened = Arc::new(AtomicUsize::new(0));
    tokio::spawn(serve_until_silent(listener, silent, opened.clone()));
    let pool = ConnectionPool::new(addr, 2);
    assert!(pool.call(call(addr, "/")).await.is_ok());
    silence.send(true).unwrap();
    let lost = Call::post(addr, "/", Bytes::new(), Duration::from_millis(300));
    let later = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        pool.call(call(addr, "/").on(Connection::New)).await
    };
    let (lost, answered) = tokio::join!(pool.call(lost), later);
    assert_eq!(lost.err(), Some(Error::Lost));
    assert!(answered.is_ok());
    assert!(pool.call(call(addr, "/")).await.is_ok());
    assert_eq!(opened.load(Ordering::SeqCst), 2, "the third call needs no new connection");
}

#[tokio::test]
async fn a_call_that_is_withdrawn_while_it_waits_for_a_connection_is_not_sent() {
    // TWICE: a start order was sent after the contact with its worker had ended, and the next
    // incarnation of the worker carried it out.
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let (paths, mut received) = mpsc::unbounded_channel();
    tokio::spawn(serve(listener, Duration::from_millis(200), paths));
    let pool = ConnectionPool::new(addr, 1);
    let (kept, ended) = (Guard::default(), Guard::default());
    let withdrawn = call(addr, "/withdrawn").unless_withdrawn(ended.watch());
    let valid = call(addr, "/valid").unless_withdrawn(kept.watch());
    let end = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(ended);
    };
    let (first, withdrawn, valid, ()) = tokio::join!(pool.call(call(addr, "/first")), pool.call(withdrawn), pool.call(valid), end);
    assert!(first.is_ok());
    assert_eq!(withdrawn.err(), Some(Error::Undelivered));
    assert!(valid.is_ok());
    assert_eq!(received.recv().await.unwrap(), "/first");
    assert_eq!(received.recv().await.unwrap(), "/valid");
}
