//! The instance under test, its log, and the checks.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use oriole_daemon::client::Call;
use oriole_daemon::connection_pool::ConnectionPool;
use serde_json::json;
use tokio::sync::{MutexGuard, watch};

use crate::http::{self, Answer, Request};
use crate::log::{self, Log, OPERATORS};
use crate::ports::free_port;
use crate::process::{self, Instance};

/// Time within which the instance gets ready, and within which a request is answered.
const PATIENCE: Duration = Duration::from_secs(10);
/// Number of times that a caller sends a refused request.
const ATTEMPTS: usize = 5;
/// Number of checks, ten a second, without more memory after which a process counts as steady.
const STEADY_CHECKS: usize = 10;
/// Time that the log takes for an append.
const APPEND_TIME: Duration = Duration::from_millis(3);

/// Tests of memory run one at a time.
static RUNNING: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Listener of the instance.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Port {
    Callers,
    Readiness,
    Peers,
    Metrics,
}

/// What the instance may use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Machine {
    pub(crate) memory_mb: u64,
    pub(crate) descriptors: usize,
}

pub(crate) struct Site {
    instance: Instance,
    peer_port: u16,
    metrics_port: u16,
    folder: PathBuf,
    machine: Machine,
    requests_sent: u64,
    _running: MutexGuard<'static, ()>,
}

impl Site {
    /// Starts the log and an instance, and waits until it is ready.
    pub(crate) async fn start(machine: Machine) -> Site {
        let running = RUNNING.lock().await;
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("clients-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let log_port = start_log().await;
        let (peer_port, metrics_port) = (free_port(), free_port());
        let changes = [
            ("peers", format!("127.0.0.1:{peer_port}")),
            ("metrics", format!("127.0.0.1:{metrics_port}")),
            ("memory_mb", machine.memory_mb.to_string()),
            ("descriptors", machine.descriptors.to_string()),
        ];
        let mut instance = Instance::with_changes(&folder, 0, log_port, log::PARTS, &changes);
        instance.start();
        process::wait_until_ready(instance.ready_port, PATIENCE).await;
        Site {
            instance,
            peer_port,
            metrics_port,
            folder,
            machine,
            requests_sent: 0,
            _running: running,
        }
    }

    pub(crate) fn address(&self, port: Port) -> SocketAddr {
        let port = match port {
            Port::Callers => self.instance.caller_port,
            Port::Readiness => self.instance.ready_port,
            Port::Peers => self.peer_port,
            Port::Metrics => self.metrics_port,
        };
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    /// Opens a connection of an ordinary caller, which stays open after its first request.
    pub(crate) async fn open_connection(&mut self) -> ConnectionPool {
        let connection = ConnectionPool::new(self.address(Port::Callers), 1);
        assert_eq!(self.submit(&connection).await, 200);
        connection
    }

    async fn submit(&mut self, connection: &ConnectionPool) -> u16 {
        let body = json!({ "spec": "x".repeat(1000), "phases": [{ "count": 1, "cpu": 1, "memMb": 1 }] });
        self.submit_body(connection, Bytes::from(body.to_string())).await
    }

    /// Submits a job. Returns the status of the answer, 0 if there is none.
    pub(crate) async fn submit_body(&mut self, connection: &ConnectionPool, body: Bytes) -> u16 {
        self.requests_sent += 1;
        let path = format!("/q/{:016x}", self.requests_sent);
        let call = Call::post(connection.addr(), path, body, PATIENCE);
        connection.call(call).await.map_or(0, |it| it.status.as_u16())
    }

    /// Checks that ordinary requests are answered on all listeners, and those of callers also on a
    /// connection that was open before.
    pub(crate) async fn check_ordinary_requests(&mut self, before: ConnectionPool) {
        let opened = ConnectionPool::total_opened();
        self.check_submission(&before).await;
        assert_eq!(
            ConnectionPool::total_opened(),
            opened,
            "the connection of an ordinary caller was closed"
        );
        let new = ConnectionPool::new(self.address(Port::Callers), 1);
        self.check_submission(&new).await;
        for port in [Port::Readiness, Port::Metrics] {
            let connection = ConnectionPool::new(self.address(port), 1);
            let answer = connection.call(Call::get(connection.addr(), "/", PATIENCE)).await;
            assert_eq!(answer.map_or(0, |it| it.status.as_u16()), 200, "{port:?}");
        }
        let peers = ConnectionPool::new(self.address(Port::Peers), 1);
        let call = Call::post(peers.addr(), "/peer", Bytes::from_static(b"\xc1"), PATIENCE);
        let answer = peers.call(call).await.map_or(0, |it| it.status.as_u16());
        assert_eq!(answer, 400, "a call that cannot be read is answered");
    }

    /// Submits a job, again if it is refused.
    async fn check_submission(&mut self, connection: &ConnectionPool) {
        let mut statuses = Vec::new();
        for _ in 0..ATTEMPTS {
            statuses.push(self.submit(connection).await);
            if statuses.last() != Some(&503) {
                break;
            }
        }
        assert_eq!(statuses.last(), Some(&200), "answers to an ordinary caller: {statuses:?}");
    }

    /// Waits until the process has read what it will read, as seen from its peak memory.
    pub(crate) async fn wait_until_steady(&self) {
        let (mut last, mut unchanged) = (self.peak_memory_kb(), 0);
        for _ in 0..STEADY_CHECKS * 10 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            let peak = self.peak_memory_kb();
            unchanged = if peak == last { unchanged + 1 } else { 0 };
            last = peak;
            if unchanged == STEADY_CHECKS {
                return;
            }
        }
    }

    /// Checks that the process runs within its memory and its descriptors.
    pub(crate) fn check_process(&mut self) {
        assert!(self.instance.is_running(), "the process has ended");
        let id = self.instance.process_id().expect("the process was started");
        let peak_kb = peak_memory_kb(id);
        let Machine {
            memory_mb,
            descriptors: limit,
        } = self.machine;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        println!("peak memory {peak_kb} KB, {descriptors} descriptors");
        assert!(
            peak_kb <= memory_mb * 1024,
            "peak memory {peak_kb} KB, the machine has {memory_mb} MiB"
        );
        assert!(descriptors <= limit, "{descriptors} descriptors are open, the limit is {limit}");
        self.check_panics();
    }

    /// Returns the highest resident memory of the process so far.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        self.instance.process_id().map_or(0, peak_memory_kb)
    }

    fn check_panics(&self) {
        let panics = self.instance.lines_with("\"panic\"");
        assert!(panics.is_empty(), "{panics:?}");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.instance.kill();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Highest resident memory of a process so far.
fn peak_memory_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmHWM:"));
    let number = line.and_then(|it| it.split_whitespace().next()?.parse().ok());
    // A process that has ended has no memory; the caller checks that it runs.
    number.unwrap_or(0)
}

/// Starts the log with a configuration of one public queue. Returns its port.
async fn start_log() -> u16 {
    let config = json!({
        "version": 1, "limits": {}, "services": [{ "name": "pool", "enforceLimits": false }], "tenants": [],
        "routes": [{
            "name": "q", "host": "127.0.0.1", "pathPrefix": "/q/", "service": "pool",
            "maxAttempts": 3, "priority": 1, "slackFactor": 2.0, "targetLatencyMs": 2000, "public": true,
        }],
    });
    let mut log = Log::default();
    log.put(OPERATORS, "config", Some(config));
    let (log, appended, began) = (Arc::new(Mutex::new(log)), watch::Sender::new(0), std::time::Instant::now());
    http::serve(move |request| answer(log.clone(), appended.clone(), began.elapsed(), request)).await
}

async fn answer(log: Arc<Mutex<Log>>, appended: watch::Sender<u64>, now: Duration, request: Request) -> Answer {
    let lock = || log.lock().unwrap_or_else(|it| it.into_inner());
    match request.path.as_str() {
        "/log-newest" => Ok(lock().newest(&request, Bytes::clone)),
        "/log-read" => {
            let deadline = tokio::time::Instant::now() + Duration::from_millis(request.number("waitMs"));
            let mut changes = appended.subscribe();
            loop {
                changes.mark_unchanged();
                let records = lock().read(&request, Bytes::clone);
                if let Some(records) = records {
                    return Ok(records);
                }
                if tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
                    return Ok(log::no_records(&request));
                }
            }
        }
        path => {
            if path == "/log-append" {
                tokio::time::sleep(APPEND_TIME).await;
            }
            let (status, body) = lock().call(now, &request);
            appended.send_modify(|it| *it += 1);
            Ok(http::json(status, body))
        }
    }
}
