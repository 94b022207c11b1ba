//! Where an instance stores requests for a queue that has moved to another pool, and when an owner
//! admits its jobs.

mod ports;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use oriole_fleet::settings::Settings;
use oriolewall::inquiry::Holding;
use oriolewall::rpc::{Call, Reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const JOB: &str = r#"{"spec":"x","phases":[{"count":1,"cpu":500,"memMb":100,"estimateMs":900}]}"#;

/// An HTTP request: its method and target, and its body.
type HttpRequest = (String, Vec<u8>);

/// A log that keeps operators' records and notes the appends of instances.
#[derive(Debug, Default)]
struct FakeLog {
    configs: Mutex<Vec<String>>,
    /// Rows of partition and member that own partitions.
    owners: Mutex<Vec<(u32, String)>>,
    /// Partitions to which requests were appended.
    appends: Mutex<Vec<u32>>,
    /// Appended requests by partition, as they are encoded.
    requests: Mutex<BTreeMap<u32, Vec<Vec<u8>>>>,
    /// Bodies of the appends by owners.
    commits: Mutex<Vec<Vec<u8>>>,
    /// Whether reads of earlier configurations fail.
    fails_history: AtomicBool,
    /// Partitions that any member of the group gets.
    assigned: Mutex<Vec<u32>>,
    /// Number of appends by owners.
    owner_appends: AtomicUsize,
    /// Whether joins and appends are not answered.
    is_silent: AtomicBool,
}

impl FakeLog {
    fn answer(&self, target: &str, request_body: &[u8]) -> Vec<u8> {
        let parameter = |name: &str| {
            let (_, rest) = target.split_once(&format!("{name}="))?;
            Some(rest.split(['&', ' ']).next().unwrap().to_owned())
        };
        let configs = self.configs.lock().unwrap().clone();
        let is_config = parameter("topic").as_deref() == Some("keyed.op");
        if target.contains("/log-newest") {
            let newest = configs.last().filter(|_| is_config);
            let items: Vec<_> = newest
                .map(|it| serde_json::json!({ "key": "config", "value": base64(it.as_bytes()), "offset": configs.len() - 1 }))
                .into_iter()
                .collect();
            let end = if is_config { configs.len() } else { 0 };
            return serde_json::json!({ "items": items, "hasMore": false, "endOffset": end })
                .to_string()
                .into_bytes();
        }
        if target.contains("/log-read") {
            if is_config && parameter("waitMs").as_deref() == Some("0") && self.fails_history.load(Ordering::SeqCst) {
                return Vec::new();
            }
            let from: usize = parameter("from").unwrap().parse().unwrap();
            let mut body = vec![0; 16];
            if parameter("topic").as_deref() == Some("keyed.requests") {
                let requests = self.requests.lock().unwrap();
                let records = requests.get(&parameter("part").unwrap().parse().unwrap());
                body.extend(records.into_iter().flatten().skip(from).flatten());
                return body;
            }
            for config in configs.iter().skip(from).filter(|_| is_config) {
                let length = 1 + "config".len() + config.len();
                body.extend((length as u32).to_be_bytes());
                body.push("config".len() as u8);
                body.extend(b"config");
                body.extend(config.as_bytes());
            }
            return body;
        }
        if target.contains("/log-owners") {
            let owners = self.owners.lock().unwrap();
            let rows: Vec<_> = owners.iter().map(|(part, member)| ("keyed.jobs", part, member, 0)).collect();
            return serde_json::to_vec(&rows).unwrap();
        }
        if target.contains("/log-append") && parameter("topic").as_deref() == Some("keyed.requests") {
            let part = parameter("part").unwrap().parse().unwrap();
            self.appends.lock().unwrap().push(part);
            let mut rest = request_body;
            while let Some((length, _)) = rest.split_first_chunk() {
                let (record, following) = rest.split_at(4 + u32::from_be_bytes(*length) as usize);
                self.requests.lock().unwrap().entry(part).or_default().push(record.to_vec());
                rest = following;
            }
        }
        if target.contains("/log-append") && parameter("topic").as_deref() == Some("keyed.jobs") {
            self.owner_appends.fetch_add(1, Ordering::SeqCst);
            self.commits.lock().unwrap().push(request_body.to_vec());
        }
        let assigned = self.assigned.lock().unwrap();
        let rows: Vec<_> = assigned.iter().map(|part| ("keyed.jobs", part, 0)).collect();
        serde_json::json!({ "generation": 1, "parts": rows }).to_string().into_bytes()
    }

    /// Returns the partitions of the appends since the last call.
    fn take_appends(&self) -> Vec<u32> {
        std::mem::take(&mut *self.appends.lock().unwrap())
    }

    /// Whether an owner has recorded a job.
    fn has_recorded(&self, id: &str) -> bool {
        let commits = self.commits.lock().unwrap();
        commits.iter().any(|it| it.windows(id.len()).any(|part| part == id.as_bytes()))
    }

    /// Returns the partition of the only append since the last call.
    fn take_append(&self) -> u32 {
        let appends = self.take_appends();
        assert_eq!(appends.len(), 1, "{appends:?}");
        appends[0]
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, it| group << 8 | u32::from(*it)) << (8 * (3 - chunk.len()));
        for digit in 0..=chunk.len() {
            text.push(char::from(DIGITS[(group >> (18 - 6 * digit)) as usize & 63]));
        }
        text += &"==="[..3 - chunk.len()];
    }
    text
}

/// Starts an HTTP server that answers with the body that `answer` returns, or not at all.
async fn serve<F>(answer: F) -> SocketAddr
where
    F: Fn(HttpRequest) -> Option<Vec<u8>> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = answer.clone();
            tokio::spawn(async move {
                while let Some(request) = read_message(&mut stream).await {
                    // Keeps reads that wait for new records from becoming a busy loop.
                    let waits = request.0.contains("waitMs=") && !request.0.contains("waitMs=0");
                    if waits {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                    let Some(body) = answer(request) else {
                        return std::future::pending().await;
                    };
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                    if stream.write_all(&[head.as_bytes(), &body].concat()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Reads an HTTP message. Returns its first line and its body.
async fn read_message(stream: &mut TcpStream) -> Option<HttpRequest> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
            let length = head.lines().find_map(|it| it.strip_prefix("content-length:"));
            let length: usize = length.map_or(0, |it| it.trim().parse().unwrap());
            if end + 4 + length <= bytes.len() {
                let first = String::from_utf8_lossy(&bytes[..end]).lines().next().unwrap().to_owned();
                return Some((first, bytes[end + 4..end + 4 + length].to_vec()));
            }
        }
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) => bytes.extend(&buffer[..count]),
            _ => return None,
        }
    }
}

/// A version of the configuration that assigns the queue to a pool.
fn config(version: u64, pool: &str) -> String {
    let route = |name: &str, pool: &str| serde_json::json!({ "name": name, "host": "h.example", "pathPrefix": format!("/{name}/"), "service": pool, "public": true });
    serde_json::json!({
        "version": version,
        "routes": [route("queue", pool), route(&format!("since-{version}"), pool)],
        "services": [{ "name": "pool" }, { "name": "next" }],
    })
    .to_string()
}

/// Starts an instance and returns its address for callers.
async fn start_instance(log_addr: SocketAddr) -> SocketAddr {
    start_instance_with_readiness(log_addr).await.0
}

/// Starts an instance and returns its addresses for callers and for the check of its readiness.
async fn start_instance_with_readiness(log_addr: SocketAddr) -> (SocketAddr, SocketAddr) {
    let [callers, ready, _] = start_instance_with_addrs(log_addr).await;
    (callers, ready)
}

/// Starts an instance and returns its addresses for callers, for the check of its readiness and
/// for other instances.
async fn start_instance_with_addrs(log_addr: SocketAddr) -> [SocketAddr; 3] {
    let addrs = [(); 4].map(|()| SocketAddr::from(([127, 0, 0, 1], ports::free_port())));
    let text = include_str!("../../examples/fleet.ini")
        .replace("127.0.0.1:7801", &addrs[0].to_string())
        .replace("127.0.0.1:7802", &addrs[1].to_string())
        .replace("127.0.0.1:7803", &addrs[2].to_string())
        .replace("127.0.0.1:7804", &addrs[3].to_string())
        .replace("log = 127.0.0.1:7700", &format!("log = {log_addr}"));
    let settings = Settings::parse("fleet.ini", &text).unwrap();
    let readiness_addr = settings.readiness_addr;
    tokio::spawn(async move {
        let ended = oriole_fleet::run(settings, PathBuf::from("fleet.ini").into()).await;
        ended.expect("the instance runs");
    });
    [addrs[0], readiness_addr, addrs[2]]
}

/// Asks the owner of a partition in an instance for a job that it does not have.
async fn ask_owner(peer_addr: SocketAddr, part: u32) -> Reply {
    let call = Call::Inquire {
        part,
        version: 1,
        jobs: vec![Arc::from("00000000000000f1")],
    };
    let body = Bytes::from(rmp_serde::to_vec(&call).unwrap());
    let call = oriole_daemon::client::Call::post(peer_addr, "/peer", body, Duration::from_secs(2));
    let response = oriole_daemon::client::Client::new().call(call).await.unwrap();
    rmp_serde::from_slice(&response.body).unwrap()
}

/// Sends a request to an instance and returns the status of the response.
async fn send(addr: SocketAddr, method: &str, path: &str, body: &str) -> u16 {
    exchange(addr, method, path, body).await.0
}

/// Sends a request to an instance and returns the status and the body of the response.
async fn exchange(addr: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return (0, String::new());
    };
    let length = body.len();
    let request = format!("{method} {path} HTTP/1.1\r\nhost: h.example\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).await.unwrap();
    let (first, body) = read_message(&mut stream).await.unwrap();
    let status = first.split(' ').nth(1).unwrap().parse().unwrap();
    (status, String::from_utf8(body).unwrap())
}

/// Waits until a version of the configuration is in effect at an instance.
async fn wait_for_version(addr: SocketAddr, version: u64) {
    for _ in 0..200 {
        // Anything but a read is not allowed on the path of a queue, if there is such a queue.
        if send(addr, "POST", &format!("/since-{version}/"), "").await == 405 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("version {version} is not in effect");
}

/// Submits a job and returns the partition to which its submission was appended.
async fn submit(log: &FakeLog, addr: SocketAddr, id: &str) -> u32 {
    assert_eq!(send(addr, "POST", &format!("/queue/{id}"), JOB).await, 200);
    log.take_append()
}

/// Starts a log with one version of the configuration.
async fn start_log() -> (Arc<FakeLog>, SocketAddr) {
    let log = Arc::new(FakeLog::default());
    log.configs.lock().unwrap().push(config(1, "pool"));
    let server = log.clone();
    let addr = serve(move |(target, body)| {
        let is_lost = server.is_silent.load(Ordering::SeqCst) && (target.contains("/log-join") || target.contains("/log-append"));
        (!is_lost).then(|| server.answer(&target, &body))
    })
    .await;
    (log, addr)
}

/// Moves the queue while an instance owns all partitions but that of the former pool, submits a job
/// to it there and cancels it. Returns the partition of the former pool.
async fn submit_after_move(log: &FakeLog, log_addr: SocketAddr, id: &str) -> u32 {
    let addr = start_instance(log_addr).await;
    wait_for_version(addr, 1).await;
    let former = submit(log, addr, "00000000000000a1").await;
    log.assigned.lock().unwrap().extend((0..16).filter(|it| *it != former));
    log.configs.lock().unwrap().push(config(2, "next"));
    wait_for_version(addr, 2).await;
    assert_ne!(submit(log, addr, id).await, former);
    // A job that is admitted is recorded as it is cancelled.
    assert_eq!(send(addr, "DELETE", &format!("/queue/{id}"), "").await, 200);
    former
}

/// Starts an owner of a partition in another instance that answers inquiries.
async fn start_owner(log: &FakeLog, part: u32, holding: Holding) {
    let owner = serve(move |(_, body)| {
        let reply = match rmp_serde::from_slice::<Call>(&body) {
            Ok(Call::Inquire { jobs, .. }) => Reply::Holdings(vec![holding; jobs.len()]),
            _ => Reply::Unavailable,
        };
        Some(rmp_serde::to_vec(&reply).unwrap())
    })
    .await;
    log.owners.lock().unwrap().push((part, format!("{owner}@1")));
}

/// Returns whether a condition holds within some seconds.
async fn soon<F>(condition: F) -> bool
where
    F: Fn() -> bool,
{
    for _ in 0..100 {
        if condition() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_of_a_moved_queue_is_not_admitted_while_the_former_owner_is_silent() {
    // If the former pool had the job already, both owners ran it.
    let (log, log_addr) = start_log().await;
    let id = "00000000000000a2";
    let former = submit_after_move(&log, log_addr, id).await;
    assert!(soon(|| log.owner_appends.load(Ordering::SeqCst) != 0).await);
    tokio::time::sleep(Duration::from_millis(1000)).await;
    assert!(!log.has_recorded(id));
    start_owner(&log, former, Holding::NotHeld).await;
    assert!(soon(|| log.has_recorded(id)).await, "the job is new, and is not admitted");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_the_former_owner_has_is_left_to_it() {
    let (log, log_addr) = start_log().await;
    let id = "00000000000000b2";
    let former = submit_after_move(&log, log_addr, id).await;
    log.take_appends();
    start_owner(&log, former, Holding::Held).await;
    // The cancel follows.
    assert!(soon(|| log.appends.lock().unwrap().contains(&former)).await);
    assert!(!log.has_recorded(id));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_started_after_the_move_knows_the_former_pool() {
    // Only the newest configuration was read, so that the former owner was not asked.
    let (log, log_addr) = start_log().await;
    let earlier = start_instance(log_addr).await;
    wait_for_version(earlier, 1).await;
    let former = submit(&log, earlier, "00000000000000c1").await;
    log.configs.lock().unwrap().push(config(2, "next"));
    let later = start_instance(log_addr).await;
    wait_for_version(later, 2).await;
    assert_eq!(send(later, "DELETE", "/queue/00000000000000c1", "").await, 200);
    let appends = log.take_appends();
    assert!(appends.contains(&former), "{appends:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancel_reaches_the_former_pool_whose_owner_is_silent() {
    // It was stored for the current pool only and answered with 200, and the job ran on.
    let (log, log_addr) = start_log().await;
    let addr = start_instance(log_addr).await;
    wait_for_version(addr, 1).await;
    let former = submit(&log, addr, "00000000000000d1").await;
    let owner = serve(|_| Some(rmp_serde::to_vec(&Reply::Status(None)).unwrap())).await;
    log.configs.lock().unwrap().push(config(2, "next"));
    wait_for_version(addr, 2).await;
    // The owner of the current pool answers that it does not have the job.
    let members = (0..16).filter(|it| *it != former).map(|it| (it, format!("{owner}@1")));
    log.owners.lock().unwrap().extend(members);
    tokio::time::sleep(Duration::from_millis(2500)).await;
    assert_eq!(send(addr, "DELETE", "/queue/00000000000000d1", "").await, 200);
    let appends = log.take_appends();
    assert!(appends.contains(&former), "{appends:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_knows_no_former_pools_refuses_requests() {
    // It stored submissions for the current pool without asking the former owner, and both ran
    // the job. Its cancels did not reach the former pool.
    let (log, log_addr) = start_log().await;
    let earlier = start_instance(log_addr).await;
    wait_for_version(earlier, 1).await;
    let former = submit(&log, earlier, "00000000000000e1").await;
    log.fails_history.store(true, Ordering::SeqCst);
    log.configs.lock().unwrap().push(config(2, "next"));
    let (later, readiness) = start_instance_with_readiness(log_addr).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    for method in ["POST", "DELETE", "GET"] {
        let (status, body) = exchange(later, method, "/queue/00000000000000e1", JOB).await;
        assert_eq!((status, body.contains("no_configuration_history")), (503, true), "{method}: {body}");
    }
    assert!(log.take_appends().is_empty());
    assert_eq!(send(readiness, "GET", "/readyz", "").await, 503);
    // It serves soon after the log answers.
    log.fails_history.store(false, Ordering::SeqCst);
    tokio::time::timeout(Duration::from_secs(2), wait_for_version(later, 2))
        .await
        .unwrap();
    assert_eq!(send(readiness, "GET", "/readyz", "").await, 200);
    assert_eq!(send(later, "DELETE", "/queue/00000000000000e1", "").await, 200);
    assert!(log.take_appends().contains(&former));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_knows_no_former_pools_does_not_take_over() {
    // It admitted submissions of queues that had moved to other pools.
    let (log, log_addr) = start_log().await;
    log.fails_history.store(true, Ordering::SeqCst);
    log.assigned.lock().unwrap().push(3);
    let addr = start_instance(log_addr).await;
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert_eq!(log.owner_appends.load(Ordering::SeqCst), 0);
    log.fails_history.store(false, Ordering::SeqCst);
    wait_for_version(addr, 1).await;
    for _ in 0..40 {
        if log.owner_appends.load(Ordering::SeqCst) != 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the owner does not take over");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_owner_that_may_have_been_replaced_does_not_deny_a_job() {
    // Its membership had expired, so a later owner might have admitted the job meanwhile.
    let (log, log_addr) = start_log().await;
    log.assigned.lock().unwrap().push(3);
    let [addr, _, peer_addr] = start_instance_with_addrs(log_addr).await;
    wait_for_version(addr, 1).await;
    assert!(soon(|| log.owner_appends.load(Ordering::SeqCst) != 0).await);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(ask_owner(peer_addr, 3).await, Reply::Holdings(vec![Holding::NotHeld]));
    log.is_silent.store(true, Ordering::SeqCst);
    // Later than the membership is certain, and sooner than runs are no longer started.
    tokio::time::sleep(Duration::from_millis(1600)).await;
    assert_eq!(ask_owner(peer_addr, 3).await, Reply::Unavailable);
}
