//! HTTP servers for the log, the instance list and the workers.
//!
//! Each server also accepts `POST /fault` with a JSON body, which sets a fault
//! or, on the instance list, the presence of an instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use oriole_daemon::node::Clock;
use oriole_daemon::routes::{json_response, text_response};
use oriole_daemon::server;
use oriolewall::platform::{Presence, WorkerRequest, WorkerResponse};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use warp::filters::BoxedFilter;
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::standin::list::DelayedInstanceList;
use crate::standin::log::{InMemoryLog, Mode};
use crate::standin::worker::{Faults, Worker};

/// Upper bound of open connections to the log and to the instance list.
const MAX_CONNECTIONS: usize = 1_024;
/// Upper bound of open connections to one worker.
pub const MAX_WORKER_CONNECTIONS: usize = 64;
/// Interval at which a waiting call checks whether its task has finished.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which the connection of an unanswered request stays open.
const UNANSWERED_TIME: Duration = Duration::from_secs(30);
/// Upper bound of the length of a request body.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Serves the log.
///
/// Clones share the same log.
#[derive(Clone)]
pub struct LogServer {
    /// Log that is served.
    pub log: Arc<Mutex<InMemoryLog>>,
    /// Wakes reads that wait for the next entry.
    appended: Arc<Notify>,
    clock: Clock,
}

/// Serves the instance list.
///
/// Clones share the same list.
#[derive(Clone)]
pub struct InstanceListServer {
    /// List that is served.
    pub list: Arc<Mutex<DelayedInstanceList>>,
    clock: Clock,
}

/// Serves one worker.
///
/// Clones share the same worker.
#[derive(Clone)]
pub struct WorkerServer {
    /// Worker that is served.
    pub worker: Arc<Mutex<Worker>>,
    clock: Clock,
}

/// Query of a read of the log.
#[derive(Clone, Copy, Debug, Deserialize)]
struct ReadQuery {
    /// Offset of the first entry wanted.
    from: u64,
    /// Time to wait if there is no such entry yet.
    wait_ms: u64,
}

/// Body of a request that sets the presence of an instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PresenceChange {
    /// Id of the instance.
    pub id: String,
    /// New presence; `None` removes the instance from the list.
    pub presence: Option<Presence>,
}

impl LogServer {
    /// A server for a log; `clock` times the rate limit of appends.
    pub fn new(log: InMemoryLog, clock: Clock) -> LogServer {
        LogServer {
            log: Arc::new(Mutex::new(log)),
            appended: Arc::new(Notify::new()),
            clock,
        }
    }

    /// Serves reads, appends and faults until `stop` turns true.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let with_server = warp::any().map(move || self.clone());
        let read = warp::path!("log")
            .and(warp::get())
            .and(with_server.clone())
            .and(warp::query::<ReadQuery>())
            .then(on_read);
        let append = warp::path!("log")
            .and(warp::post())
            .and(with_server.clone())
            .and(body())
            .then(on_append);
        let fault = warp::path!("fault")
            .and(warp::post())
            .and(with_server)
            .and(body())
            .then(on_log_fault);
        let routes = read.or(append).unify().or(fault).unify().boxed();
        server::serve(listener, routes, MAX_CONNECTIONS, stop).await;
    }

    /// Waits for the delay of [`Mode::Slow`].
    async fn delay(&self) {
        let mode = lock(&self.log).mode;
        if let Mode::Slow { ms } = mode {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }
}

/// Returns entries from an offset on, and waits up to `wait_ms` if there are none yet.
async fn on_read(server: LogServer, query: ReadQuery) -> Response {
    server.delay().await;
    let appended = server.appended.notified();
    tokio::pin!(appended);
    // Registers before the tail is read, so that an append in between wakes the call.
    appended.as_mut().enable();
    let tail = lock(&server.log).tail();
    if tail <= query.from {
        let _ = tokio::time::timeout(Duration::from_millis(query.wait_ms), appended).await;
    }
    match lock(&server.log).read(query.from) {
        Ok(read) => msgpack_response(&read),
        Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n"),
    }
}

/// Appends the body as one entry and returns its offset.
async fn on_append(server: LogServer, entry: Bytes) -> Response {
    server.delay().await;
    let now = server.clock.now().mono;
    let result = lock(&server.log).append(now, entry);
    server.appended.notify_waiters();
    match result {
        Ok(offset) => msgpack_response(&offset),
        Err(oriolewall::platform::Error::Lost) => leave_unanswered().await,
        Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n"),
    }
}

async fn on_log_fault(server: LogServer, body: Bytes) -> Response {
    let Ok(mode) = serde_json::from_slice::<Mode>(&body) else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "modes: \"up\", \"down\", {\"slow\":{\"ms\":500}}, \"lose-answers\"\n",
        );
    };
    lock(&server.log).mode = mode;
    json_response(StatusCode::OK, &mode)
}

impl InstanceListServer {
    /// A server for a list; `clock` times its lag.
    pub fn new(list: DelayedInstanceList, clock: Clock) -> InstanceListServer {
        InstanceListServer {
            list: Arc::new(Mutex::new(list)),
            clock,
        }
    }

    /// Sets the presence of an instance now; `None` removes it. The list reports
    /// the change after its lag.
    pub fn set_presence(&self, id: &str, presence: Option<Presence>) {
        let now = self.clock.now().mono;
        lock(&self.list).set_presence(now, id, presence);
    }

    /// Serves the list and changes of it until `stop` turns true.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let with_server = warp::any().map(move || self.clone());
        let read = warp::path!("instances")
            .and(warp::get())
            .and(with_server.clone())
            .map(|server: InstanceListServer| {
                let now = server.clock.now().mono;
                json_response(StatusCode::OK, &lock(&server.list).read(now))
            });
        let change = warp::path!("fault")
            .and(warp::post())
            .and(with_server)
            .and(body())
            .map(|server: InstanceListServer, body: Bytes| {
                let Ok(change) = serde_json::from_slice::<PresenceChange>(&body) else {
                    return text_response(StatusCode::BAD_REQUEST, "send {\"id\":\"w1\",\"presence\":\"leaving\"}\n");
                };
                server.set_presence(&change.id, change.presence);
                json_response(StatusCode::OK, &change)
            });
        server::serve(listener, read.or(change).unify().boxed(), MAX_CONNECTIONS, stop).await;
    }
}

impl WorkerServer {
    /// A server for a worker; `clock` times its tasks and leases.
    pub fn new(worker: Worker, clock: Clock) -> WorkerServer {
        WorkerServer {
            worker: Arc::new(Mutex::new(worker)),
            clock,
        }
    }

    /// Replaces the faults of the worker.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.worker).faults = faults;
    }

    /// Serves requests to the worker and changes of its faults until `stop` turns true.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let with_server = warp::any().map(move || self.clone());
        let request = warp::path!("tasks")
            .and(warp::post())
            .and(with_server.clone())
            .and(body())
            .then(on_worker_request);
        let fault = warp::path!("fault")
            .and(warp::post())
            .and(with_server)
            .and(body())
            .map(|server: WorkerServer, body: Bytes| {
                let Ok(faults) = serde_json::from_slice::<Faults>(&body) else {
                    return text_response(StatusCode::BAD_REQUEST, "send {\"fail_all\":true} or other faults\n");
                };
                server.set_faults(faults);
                json_response(StatusCode::OK, &faults)
            });
        server::serve(listener, request.or(fault).unify().boxed(), MAX_WORKER_CONNECTIONS, stop).await;
    }

    /// Passes a request to the worker; `None` if the worker sends no answer.
    fn handle(&self, request: &WorkerRequest) -> Option<WorkerResponse> {
        let now_ms = self.clock.now().wall_ms();
        lock(&self.worker).handle(now_ms, request)
    }
}

/// Answers a request to the worker. A request to wait is repeated until the task
/// has finished or `wait_ms` has passed; a request that gets no answer keeps its
/// connection open.
async fn on_worker_request(server: WorkerServer, body: Bytes) -> Response {
    let Ok(request) = rmp_serde::from_slice::<WorkerRequest>(&body) else {
        return text_response(StatusCode::BAD_REQUEST, "cannot read the request\n");
    };
    let wait_ms = match &request {
        WorkerRequest::Wait { wait_ms, .. } => *wait_ms,
        _ => 0,
    };
    let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let Some(response) = server.handle(&request) else {
            return leave_unanswered().await;
        };
        if response != WorkerResponse::Pending || deadline <= tokio::time::Instant::now() {
            return msgpack_response(&response);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Servers of the workers in one process, by worker id.
pub type Workers = BTreeMap<String, WorkerServer>;

/// Binds a port of the loopback interface that the system chooses.
pub async fn bind_loopback() -> anyhow::Result<(TcpListener, SocketAddr)> {
    let listener = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

/// Keeps the connection open without an answer, for longer than clients wait.
async fn leave_unanswered() -> Response {
    tokio::time::sleep(UNANSWERED_TIME).await;
    text_response(StatusCode::SERVICE_UNAVAILABLE, "")
}

/// The whole request body, if it is at most [`MAX_BODY_BYTES`] long.
fn body() -> BoxedFilter<(Bytes,)> {
    warp::body::content_length_limit(MAX_BODY_BYTES).and(warp::body::bytes()).boxed()
}

/// A response with a MessagePack body.
fn msgpack_response<T>(value: &T) -> Response
where
    T: Serialize,
{
    let bytes = rmp_serde::to_vec(value).unwrap_or_default();
    Bytes::from(bytes).into_raw_response()
}

trait IntoRawResponse {
    fn into_raw_response(self) -> Response;
}

impl IntoRawResponse for Bytes {
    fn into_raw_response(self) -> Response {
        warp::http::Response::new(self).into_response()
    }
}

/// Locks a mutex even if a thread panicked while it held the lock, so that the
/// servers stay usable after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
