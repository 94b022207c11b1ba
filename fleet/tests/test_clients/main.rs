//! Clients that send more than the limits allow, or never finish a request, against one instance
//! that runs as a process with a small memory limit.
//!
//! Each test checks that the process stays alive, within its memory and its descriptors, and that
//! ordinary callers are answered on a new connection and on one that was open before. No test
//! checks a time or a share of served requests. They run one at a time.
//!
//! - `crowd`: the clients.
//! - `site`: the instance under test and its log.
//! - `http`, `log`, `process`: shared with the soak.

mod crowd;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../test_soak/http.rs"]
mod http;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../test_soak/log.rs"]
mod log;
#[path = "../ports/mod.rs"]
mod ports;
#[allow(dead_code, reason = "the soak uses the rest")]
#[path = "../test_soak/process.rs"]
mod process;
mod site;

use bytes::Bytes;
use oriole_daemon::connection_pool::ConnectionPool;

use crate::crowd::{Crowd, Kind};
use crate::site::{Machine, Port, Site};

/// Clients that send heads over the limit or without end.
const HEAD_CLIENTS: usize = 120;
/// Clients that send bodies; those of callers have the largest legal size.
const BODY_CLIENTS: usize = 160;
/// Clients that send bodies in one-byte chunks.
const CHUNK_CLIENTS: usize = 60;
/// Clients that send calls of the largest legal size to the listener for peers.
const PEER_CLIENTS: usize = 24;
/// The instance: little memory, and the descriptors that the platform gives to the smallest ones.
const SMALL: Machine = Machine {
    memory_mb: 32,
    descriptors: 4100,
};
/// Silent clients of each listener in the test of descriptors.
const SILENT_CLIENTS: usize = 150;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_over_the_limit_do_not_exhaust_the_memory() {
    // Each connection buffered up to 417,792 bytes of a head.
    check(&[(Port::Callers, Kind::ManyHeaders, HEAD_CLIENTS)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_header_line_without_end_does_not_exhaust_the_memory() {
    check(&[(Port::Callers, Kind::EndlessHeader, HEAD_CLIENTS)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_lines_without_end_do_not_exhaust_the_memory() {
    // Empty lines before a request were buffered like a head.
    check(&[(Port::Callers, Kind::EmptyLines, HEAD_CLIENTS)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_that_do_not_end_do_not_exhaust_the_memory() {
    // Bodies were collected without a bound over all connections and without a time limit.
    check(&[(Port::Callers, Kind::WholeBody, BODY_CLIENTS)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_in_pieces_do_not_exhaust_the_memory() {
    check(&[(Port::Callers, Kind::BodyInPieces, BODY_CLIENTS)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_do_not_exhaust_the_memory() {
    check(&[(Port::Callers, Kind::LargeChunks, BODY_CLIENTS)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_byte_chunks_do_not_exhaust_the_memory() {
    // Each chunk was kept as a buffer of its own.
    check(&[(Port::Callers, Kind::SmallChunks, CHUNK_CLIENTS)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_sent_to_the_listener_for_peers_do_not_exhaust_the_memory() {
    check(&[(Port::Peers, Kind::PeerBody, PEER_CLIENTS)]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_sent_to_the_listener_for_peers_do_not_exhaust_the_memory() {
    check(&[
        (Port::Peers, Kind::ManyHeaders, HEAD_CLIENTS),
        (Port::Peers, Kind::EmptyLines, HEAD_CLIENTS / 2),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_sent_to_the_listener_for_readiness_do_not_exhaust_the_memory() {
    check(&[
        (Port::Readiness, Kind::ManyHeaders, HEAD_CLIENTS),
        (Port::Readiness, Kind::EmptyLines, HEAD_CLIENTS / 2),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_sent_to_the_listener_for_metrics_do_not_exhaust_the_memory() {
    check(&[
        (Port::Metrics, Kind::EndlessHeader, HEAD_CLIENTS),
        (Port::Metrics, Kind::EmptyLines, HEAD_CLIENTS / 2),
    ])
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn clients_that_reconnect_at_once_do_not_exhaust_the_memory() {
    let kinds = [Kind::WholeBody, Kind::LargeChunks, Kind::EmptyLines];
    let parts = kinds.map(|it| (Port::Callers, Kind::reconnecting(it), BODY_CLIENTS / 2));
    check(&parts).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_clients_of_all_listeners_do_not_exhaust_the_descriptors() {
    // Each listener admitted as many connections as there were descriptors for all of them, and no
    // further ones until a time limit had passed.
    let ports = [Port::Callers, Port::Peers, Port::Readiness, Port::Metrics];
    let parts = ports.map(|it| (it, Kind::PartialHead, SILENT_CLIENTS));
    check_with(Machine { descriptors: 400, ..SMALL }, &parts).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_largest_legal_requests_are_served_without_load() {
    // A budget that is too small for one request would refuse it for ever.
    let mut site = Site::start(SMALL).await;
    let callers = ConnectionPool::new(site.address(Port::Callers), 1);
    let job = crowd::largest_job();
    assert_eq!(site.submit_body(&callers, Bytes::from(job.clone())).await, 200);
    assert_eq!(site.submit_body(&callers, Bytes::from([&job[..], b" "].concat())).await, 413);
    let peers = ConnectionPool::new(site.address(Port::Peers), 1);
    // It is read completely and is no call.
    let body = Bytes::from(vec![0xc1; 2 * 1024 * 1024]);
    assert_eq!(site.submit_body(&peers, body).await, 400);
    site.check_process();
}

/// Measures the peak memory of an instance of 160 MiB, see docs/MEASUREMENTS.md.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "a measurement with up to 2,900 connections"]
async fn peak_memory_with_many_clients() {
    let machine = Machine { memory_mb: 160, ..SMALL };
    let kinds = [
        Kind::ManyHeaders,
        Kind::EndlessHeader,
        Kind::EmptyLines,
        Kind::WholeBody,
        Kind::LargeChunks,
        Kind::SmallChunks,
    ];
    for count in [0, 300, 2900] {
        for kind in kinds.iter().take(if count == 0 { 1 } else { kinds.len() }) {
            let mut site = Site::start(machine).await;
            let before = site.open_connection().await;
            let mut crowd = Crowd::default();
            crowd.add(site.address(Port::Callers), kind, count);
            crowd.settle().await;
            site.wait_until_steady().await;
            site.check_ordinary_requests(before).await;
            println!("{count} {kind:?}: {} KB", site.peak_memory_kb());
        }
    }
}

/// Has clients send to an instance, and checks it while they are connected.
async fn check(parts: &[(Port, Kind, usize)]) {
    check_with(SMALL, parts).await;
}

/// Does the same with an instance of another size.
async fn check_with(machine: Machine, parts: &[(Port, Kind, usize)]) {
    let mut site = Site::start(machine).await;
    let before = site.open_connection().await;
    let mut crowd = Crowd::default();
    for (port, kind, count) in parts {
        crowd.add(site.address(*port), kind, *count);
    }
    crowd.settle().await;
    site.wait_until_steady().await;
    site.check_process();
    site.check_ordinary_requests(before).await;
    site.check_process();
    drop(crowd);
}
