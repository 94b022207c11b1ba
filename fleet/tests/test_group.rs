//! What an owner does when the group's answers leave open whether another member has owned its
//! partition meanwhile.

mod ports;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriole_daemon::client;
use oriole_fleet::settings::{ClientLimits, PlatformBounds, Settings};
use oriolewall::commit_size::CommitLimits;
use oriolewall::order::TokenForm;
use oriolewall::rpc::{Call, Reply, UsageReport};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A log whose group has one member, which holds the only partition.
#[derive(Debug, Default)]
struct FakeLog {
    generation: Mutex<u64>,
    /// Epochs of the appends of owners that were carried out.
    appends: Mutex<Vec<u64>>,
    /// Epoch of another owner, below which appends are refused.
    fence: Mutex<u64>,
    /// Number of joins.
    joins: Mutex<usize>,
    /// Whether joins get no answer.
    joins_are_lost: Mutex<bool>,
    /// Whether reads of operators' records are refused.
    refuses_operators: Mutex<bool>,
}

impl FakeLog {
    /// Starts a log at generation 1.
    async fn start() -> (Arc<FakeLog>, SocketAddr) {
        let log = Arc::new(FakeLog::default());
        *log.generation.lock().unwrap() = 1;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = log.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(server.clone(), stream));
            }
        });
        (log, addr)
    }

    async fn answer(&self, head: &str) -> (u16, Vec<u8>) {
        if head.contains("topic=keyed.op") && *self.refuses_operators.lock().unwrap() {
            return (503, b"{}".to_vec());
        }
        if head.contains("/log-join") {
            *self.joins.lock().unwrap() += 1;
            if *self.joins_are_lost.lock().unwrap() {
                std::future::pending::<()>().await;
            }
            let generation = *self.generation.lock().unwrap();
            return (
                200,
                format!(r#"{{"generation":{generation},"parts":[["keyed.jobs",0,0]]}}"#).into_bytes(),
            );
        }
        if head.contains("/log-read") {
            // Keeps reads that wait for new records from becoming a busy loop.
            tokio::time::sleep(Duration::from_millis(20)).await;
            return (200, vec![0; 16]);
        }
        if head.contains("/log-owners") {
            return (200, b"[]".to_vec());
        }
        if head.contains("/log-append") && head.contains("topic=keyed.jobs") {
            let (_, rest) = head.split_once("epoch=").unwrap();
            let epoch = rest.split(['&', ' ']).next().unwrap().parse().unwrap();
            if epoch < *self.fence.lock().unwrap() {
                return (409, br#"{"reason":"fenced"}"#.to_vec());
            }
            self.appends.lock().unwrap().push(epoch);
        }
        (200, br#"{"items":[],"offset":0,"endOffset":0}"#.to_vec())
    }

    /// Waits until owners have made this many appends, and returns their epochs.
    async fn wait_for_appends(&self, count: usize) -> Vec<u64> {
        let mut appends = Vec::new();
        for _ in 0..100 {
            appends = self.appends.lock().unwrap().clone();
            if count <= appends.len() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        appends
    }
}

/// Answers the calls on a connection, whose bodies are not needed.
async fn serve(log: Arc<FakeLog>, mut stream: TcpStream) {
    let mut received = Vec::new();
    loop {
        let end = received.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4);
        let head = end.map(|it| String::from_utf8_lossy(&received[..it]).to_ascii_lowercase());
        let length = head
            .as_deref()
            .and_then(|it| it.lines().find_map(|it| it.strip_prefix("content-length: ")));
        let total = end.map(|it| it + length.map_or(0, |it| it.parse::<usize>().unwrap()));
        let (Some(head), Some(total)) = (head, total.filter(|it| *it <= received.len())) else {
            match stream.read_buf(&mut received).await {
                Ok(1..) => continue,
                _ => return,
            }
        };
        received.drain(..total);
        let (status, body) = log.answer(&head).await;
        let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n", body.len());
        if stream.write_all(&[answer.as_bytes(), &body].concat()).await.is_err() {
            return;
        }
    }
}

fn settings(log_addr: SocketAddr) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Settings {
        name: "entry".to_owned(),
        zone: Arc::from("za"),
        caller_addr: any,
        readiness_addr: any,
        peer_addr: any,
        metrics_addr: any,
        log_addr,
        machines_addr: None,
        advice_addr: None,
        partitions: 1,
        member_ttl: Duration::from_secs(1),
        commit_limits: CommitLimits::default(),
        bounds: PlatformBounds {
            lease_max: Duration::from_secs(10),
            stop_max: Duration::from_millis(200),
            shutdown_grace: Duration::from_secs(6),
            coordinator_lease: Duration::from_secs(3),
            visible: Duration::from_secs(3),
            cancel: Duration::from_secs(3),
            config_apply: Duration::from_secs(2),
        },
        cpu_millis: 1000,
        descriptors: 4100,
        memory_bytes: 260 << 20,
        clients: ClientLimits::default(),
        token_form: TokenForm::Contact,
        forecasts_peaks: true,
        move_time: Duration::from_secs(2),
        learns: true,
    }
}

#[tokio::test]
async fn an_owner_does_not_go_on_after_another_one_had_its_partition_between_two_joins() {
    // The second join confirmed the earlier ownership, as it listed the partition again.
    let (log, addr) = FakeLog::start().await;
    let instance = tokio::spawn(oriole_fleet::run(settings(addr), PathBuf::from("none").into()));
    assert_eq!(log.wait_for_appends(1).await, [1]);
    *log.fence.lock().unwrap() = 2;
    *log.generation.lock().unwrap() = 3;
    assert_eq!(log.wait_for_appends(2).await, [1, 3], "the partition is taken over again");
    instance.abort();
}

#[tokio::test]
async fn an_owner_asks_the_log_at_each_join_once_another_one_may_have_had_its_partition() {
    let (log, addr) = FakeLog::start().await;
    let instance = tokio::spawn(oriole_fleet::run(settings(addr), PathBuf::from("none").into()));
    assert_eq!(log.wait_for_appends(1).await, [1]);
    // One change of the group cannot take the partition away and give it back.
    *log.generation.lock().unwrap() = 2;
    tokio::time::sleep(Duration::from_millis(1000)).await;
    assert_eq!(log.wait_for_appends(1).await, [1]);
    *log.generation.lock().unwrap() = 4;
    // The joins are 400 ms apart.
    tokio::time::sleep(Duration::from_millis(2000)).await;
    let appends = log.wait_for_appends(4).await;
    assert!(appends.iter().all(|it| *it == 1), "{appends:?}");
    assert!((4..=7).contains(&appends.len()), "{appends:?}");
    instance.abort();
}

#[tokio::test]
async fn an_instance_owns_no_partition_before_it_knows_the_configuration() {
    // It held the partitions that it was given, and could not take them over.
    let (log, addr) = FakeLog::start().await;
    *log.refuses_operators.lock().unwrap() = true;
    let instance = tokio::spawn(oriole_fleet::run(settings(addr), PathBuf::from("none").into()));
    tokio::time::sleep(Duration::from_millis(1000)).await;
    assert_eq!(*log.joins.lock().unwrap(), 0);
    *log.refuses_operators.lock().unwrap() = false;
    assert_eq!(log.wait_for_appends(1).await, [1]);
    instance.abort();
}

/// Reports to an instance as the owner of its only partition, and returns the reply.
async fn report(peer_addr: SocketAddr) -> Reply {
    let report = UsageReport {
        part: 0,
        epoch: 1,
        teams: Default::default(),
        held: Default::default(),
        loads: Default::default(),
    };
    let body = rmp_serde::to_vec(&Call::Report(report)).unwrap();
    let call = client::Call::post(peer_addr, "/peer", body.into(), Duration::from_secs(1));
    let answer = client::Client::new().call(call).await.unwrap();
    rmp_serde::from_slice(&answer.body).unwrap()
}

#[tokio::test]
async fn a_coordinator_whose_membership_may_have_lapsed_grants_no_caps() {
    // Another coordinator may have granted the same share of a cap.
    let (log, addr) = FakeLog::start().await;
    let mut settings = settings(addr);
    settings.peer_addr = SocketAddr::from(([127, 0, 0, 1], ports::free_port()));
    let peer_addr = settings.peer_addr;
    let instance = tokio::spawn(oriole_fleet::run(settings, PathBuf::from("none").into()));
    assert_eq!(log.wait_for_appends(1).await, [1]);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(matches!(report(peer_addr).await, Reply::Grants(_)));
    *log.joins_are_lost.lock().unwrap() = true;
    tokio::time::sleep(Duration::from_millis(2200)).await;
    assert_eq!(report(peer_addr).await, Reply::NotOwner);
    instance.abort();
}
