//! What a coordinator does with the demand peaks that an earlier one recorded.

mod ports;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use oriole_daemon::client;
use oriole_fleet::settings::{ClientLimits, PlatformBounds, Settings};
use oriolewall::balance::PoolLoad;
use oriolewall::commit_size::CommitLimits;
use oriolewall::demand_pattern::{Interval, Pattern};
use oriolewall::id::PoolId;
use oriolewall::order::TokenForm;
use oriolewall::rpc::{Call, Reply, UsageReport};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// CPU that the pool needs in a peak, millicores.
const HEIGHT: u64 = 20_000;

/// A log, and a service that manages instances, which has three of them in a pool and six in standby.
#[derive(Debug, Default)]
struct FakePlatform {
    /// Record of the pool's peaks that an earlier coordinator left.
    record: Vec<u8>,
    /// Bodies of the coordinator's appends.
    appends: Mutex<Vec<Vec<u8>>>,
    /// Bodies of the ordered moves.
    moves: Mutex<Vec<String>>,
}

impl FakePlatform {
    async fn start(record: Vec<u8>) -> (Arc<FakePlatform>, SocketAddr) {
        let platform = Arc::new(FakePlatform {
            record,
            ..FakePlatform::default()
        });
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = platform.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(server.clone(), stream));
            }
        });
        (platform, addr)
    }

    async fn answer(&self, head: &str, body: &[u8]) -> Vec<u8> {
        let newest = |key: &str, value: &[u8]| json!({ "items": [{ "key": key, "value": STANDARD.encode(value) }], "endOffset": 1 });
        let answer = if head.contains("/log-join") {
            json!({ "generation": 1, "parts": [["keyed.jobs", 0, 0]] })
        } else if head.contains("/log-read") {
            // Keeps reads that wait for new records from becoming a busy loop.
            tokio::time::sleep(Duration::from_millis(20)).await;
            return vec![0; 16];
        } else if head.contains("/log-owners") {
            json!([])
        } else if head.contains("/log-newest") && head.contains("topic=keyed.op&") {
            let config = json!({ "version": 1, "services": [{ "name": "pool" }, { "name": "spare", "standby": true }] });
            newest("config", config.to_string().as_bytes())
        } else if head.contains("/log-newest") && head.contains("topic=keyed.duties") {
            newest("peak/pool", &self.record)
        } else if head.contains("/machines") {
            let pool = |it: u32| if it < 3 { "pool" } else { "spare" };
            let machine = |it: u32| json!({ "hostMachine": format!("m{it}"), "pool": pool(it), "state": "up", "capacity": { "cpu": 4000, "memMb": 1000 } });
            json!({ "machines": (0..9).map(machine).collect::<Vec<_>>() })
        } else {
            if head.contains("/machine-move") {
                self.moves.lock().unwrap().push(String::from_utf8_lossy(body).into_owned());
            } else if head.contains("/log-append") && head.contains("topic=keyed.duties") && !body.is_empty() {
                self.appends.lock().unwrap().push(body.to_vec());
            }
            json!({ "items": [], "offset": 0, "endOffset": 0 })
        };
        answer.to_string().into_bytes()
    }

    /// Number of appends with a pattern of peaks.
    fn recorded_patterns(&self) -> usize {
        let appends = self.appends.lock().unwrap();
        appends.iter().filter(|it| it.windows(9).any(|it| it == b"peak/pool")).count()
    }
}

/// Answers the calls on a connection.
async fn serve(platform: Arc<FakePlatform>, mut stream: TcpStream) {
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
        let call: Vec<u8> = received.drain(..total).collect();
        let body = platform.answer(&head, &call[head.len()..]).await;
        let answer = format!("HTTP/1.1 200 X\r\ncontent-length: {}\r\n\r\n", body.len());
        if stream.write_all(&[answer.as_bytes(), &body].concat()).await.is_err() {
            return;
        }
    }
}

/// Starts an instance. Returns the address for other instances.
async fn start_instance(platform_addr: SocketAddr, forecasts_peaks: bool) -> SocketAddr {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let peer_addr = SocketAddr::from(([127, 0, 0, 1], ports::free_port()));
    let settings = Settings {
        name: "entry".to_owned(),
        zone: Arc::from("za"),
        caller_addr: any,
        readiness_addr: any,
        peer_addr,
        metrics_addr: any,
        log_addr: platform_addr,
        machines_addr: Some(platform_addr),
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
        forecasts_peaks,
        move_time: Duration::from_secs(2),
        learns: true,
    };
    tokio::spawn(async move {
        let ended = oriole_fleet::run(settings, PathBuf::from("none").into()).await;
        ended.expect("the instance runs");
    });
    peer_addr
}

/// Reports the demand on the pool every 100 ms until a time.
async fn report(peer_addr: SocketAddr, demand: u64, until: Instant) {
    let load = PoolLoad {
        used: demand,
        arriving: demand,
        ..PoolLoad::default()
    };
    let report = UsageReport {
        part: 0,
        epoch: 1,
        teams: Default::default(),
        held: Default::default(),
        loads: BTreeMap::from([(PoolId::from("pool"), load)]),
    };
    let body = rmp_serde::to_vec(&Call::Report(report)).unwrap();
    let client = client::Client::new();
    while Instant::now() < until {
        let call = client::Call::post(peer_addr, "/peer", body.clone().into(), Duration::from_secs(1));
        if let Ok(answer) = client.call(call).await {
            let _: Reply = rmp_serde::from_slice(&answer.body).unwrap();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Encodes the pattern of a pool whose next peak starts after some time.
fn pattern(next_in: Duration) -> Vec<u8> {
    let next = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() + next_in;
    let last = next.as_millis() as u64 - 20_000;
    let pattern = Pattern {
        heights: [HEIGHT; 3].into_iter().collect(),
        length_ms: 5000,
        rise_ms: 1000,
        phase: last,
        seen_start: last,
        period: Some(Interval {
            mean_ms: 20_000,
            error_ms: 100,
            count: 3,
        }),
        follows: None,
        was_right: Some(true),
        missed: 0,
    };
    pattern.encode()
}

#[tokio::test]
async fn a_new_coordinator_moves_instances_before_a_recorded_peak_and_records_it_once() {
    // Each new coordinator and each power-off lost the pattern, and the next peak found its pool
    // with a third of the workers that it needed.
    let peak = Instant::now() + Duration::from_secs(8);
    let (platform, addr) = FakePlatform::start(pattern(Duration::from_secs(8))).await;
    let peer_addr = start_instance(addr, true).await;
    report(peer_addr, 10, peak - Duration::from_millis(4500)).await;
    assert!(platform.moves.lock().unwrap().is_empty(), "the peak is not due yet");
    report(peer_addr, 10, peak - Duration::from_millis(100)).await;
    // 20 cores with the planner's headroom of a tenth are six instances of four.
    let moved = platform.moves.lock().unwrap().clone();
    assert!(moved.iter().all(|it| it.contains(r#""pool":"pool""#)), "{moved:?}");
    assert!(3 <= moved.len(), "{moved:?}");
    assert_eq!(platform.recorded_patterns(), 0);
    report(peer_addr, HEIGHT, peak + Duration::from_millis(2500)).await;
    report(peer_addr, 10, peak + Duration::from_millis(4000)).await;
    assert_eq!(platform.recorded_patterns(), 1, "a peak is one append");
}

#[tokio::test]
async fn without_forecasts_a_recorded_peak_moves_nothing() {
    let (platform, addr) = FakePlatform::start(pattern(Duration::from_millis(2500))).await;
    let peer_addr = start_instance(addr, false).await;
    report(peer_addr, 10, Instant::now() + Duration::from_millis(3000)).await;
    assert!(platform.moves.lock().unwrap().is_empty());
    assert_eq!(platform.recorded_patterns(), 0);
}
