//! Calls to a log whose answers are lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use oriole_fleet::log::Log;
use oriole_platform::log::{AppendPosition, Entry, Error, JOBS, LogClient, Partition};
use oriolewall::platform;
use prometheus::{IntCounterVec, Opts};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const PART: Partition = Partition { topic: JOBS, number: 0 };

/// Starts a log that takes every call but sends no answer to those that `loses` selects by
/// their number. Returns its address and the number of calls.
async fn start_log(loses: fn(usize) -> bool) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicUsize::new(0));
    let counter = calls.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counter = counter.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4096];
                // The calls of these tests fit into one read.
                while let Ok(1..) = stream.read(&mut buffer).await {
                    if loses(counter.fetch_add(1, Ordering::SeqCst)) {
                        // Nothing more arrives on a connection that lost an answer.
                        std::future::pending::<()>().await;
                    }
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}").await;
                }
            });
        }
    });
    (addr, calls)
}

fn log(addr: SocketAddr) -> Log {
    let resends = IntCounterVec::new(Opts::new("resends", "resends"), &["outcome"]).unwrap();
    Log::new(LogClient::new(addr), resends)
}

async fn append(log: &Log, sequence: u64, timeout: Duration) -> Result<(), Error> {
    let entry = Entry {
        key: "job".to_owned(),
        value: None,
    };
    let position = AppendPosition { epoch: 1, sequence };
    log.append(PART, Some(position), &[entry], timeout).await
}

#[tokio::test]
async fn a_commit_whose_answer_is_lost_is_sent_again_soon() {
    // An owner has one commit in flight, so a lost answer stopped its pool for 1.5 s.
    let (addr, calls) = start_log(|call| call % 3 == 0).await;
    let log = log(addr);
    let started = Instant::now();
    for sequence in 0..6 {
        append(&log, sequence, Duration::from_millis(1500)).await.unwrap();
    }
    assert!(started.elapsed() < Duration::from_millis(1500), "took {:?}", started.elapsed());
    assert_eq!(calls.load(Ordering::SeqCst), 9);
}

#[tokio::test]
async fn a_call_without_any_answer_may_have_taken_effect() {
    let (addr, calls) = start_log(|_| true).await;
    let log = log(addr);
    let result = append(&log, 0, Duration::from_millis(400)).await;
    assert_eq!(result, Err(Error::Call(platform::Error::Lost)));
    assert!((2..=4).contains(&calls.load(Ordering::SeqCst)), "attempts are limited");
}

#[tokio::test]
async fn a_call_that_was_never_sent_had_no_effect() {
    let addr = {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        listener.local_addr().unwrap()
    };
    let result = append(&log(addr), 0, Duration::from_millis(400)).await;
    assert_eq!(result, Err(Error::Call(platform::Error::Undelivered)));
}

#[tokio::test]
async fn a_join_is_sent_once() {
    // A log that carries out a lost join seconds late makes a process that has ended a member
    // again, which holds partitions until its time to live is over.
    let (addr, calls) = start_log(|_| true).await;
    let joined = log(addr)
        .join("owners", "member", Duration::from_secs(2), 0, Duration::from_millis(400))
        .await;
    assert_eq!(joined, Err(Error::Call(platform::Error::Lost)));
    assert_eq!(calls.load(Ordering::SeqCst), 1);
}
