//! The stand-ins over HTTP, with a control path for faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use oriole_daemon::node::Clock;
use oriole_daemon::routes::{json_response, text_response};
use oriole_daemon::server;
use oriolewall::platform::{Presence, WorkerRequest, WorkerResponse as Answer};
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

/// Connections of the log and the list.
const CONNECTIONS: usize = 1_024;
/// Connections of one worker.
pub const MAX_WORKER_CONNECTIONS: usize = 64;
/// Pause between two looks at a task that a call waits for.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// Time for which an unanswered request is held open.
const SILENCE: Duration = Duration::from_secs(30);
/// Largest body, bytes.
const BODY_BYTES: u64 = 64 * 1024 * 1024;

/// The log over HTTP.
#[derive(Clone)]
pub struct LogServer {
    /// The entries.
    pub log: Arc<Mutex<InMemoryLog>>,
    grown: Arc<Notify>,
    clock: Clock,
}

/// The instance list over HTTP.
#[derive(Clone)]
pub struct InstanceListServer {
    /// The list.
    pub list: Arc<Mutex<DelayedInstanceList>>,
    clock: Clock,
}

/// One worker over HTTP.
#[derive(Clone)]
pub struct WorkerServer {
    /// The worker.
    pub worker: Arc<Mutex<Worker>>,
    clock: Clock,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct ReadQuery {
    from: u64,
    wait_ms: u64,
}

/// A change of the instance list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PresenceChange {
    /// The instance.
    pub id: String,
    /// Its new state; `None` if it is gone.
    pub presence: Option<Presence>,
}

impl LogServer {
    /// Serves a store.
    pub fn new(log: InMemoryLog, clock: Clock) -> LogServer {
        LogServer {
            log: Arc::new(Mutex::new(log)),
            grown: Arc::new(Notify::new()),
            clock,
        }
    }

    /// Serves until `stop`.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let with = warp::any().map(move || self.clone());
        let read = warp::path!("log")
            .and(warp::get())
            .and(with.clone())
            .and(warp::query::<ReadQuery>())
            .then(on_read);
        let append = warp::path!("log").and(warp::post()).and(with.clone()).and(body()).then(on_append);
        let fault = warp::path!("fault").and(warp::post()).and(with).and(body()).then(on_log_fault);
        let routes = read.or(append).unify().or(fault).unify().boxed();
        server::serve(listener, routes, CONNECTIONS, stop).await;
    }

    async fn delay(&self) {
        let mode = lock(&self.log).mode;
        if let Mode::Slow { ms } = mode {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }
}

async fn on_read(log: LogServer, query: ReadQuery) -> Response {
    log.delay().await;
    let grown = log.grown.notified();
    tokio::pin!(grown);
    grown.as_mut().enable();
    let tail = lock(&log.log).tail();
    if tail <= query.from {
        let _ = tokio::time::timeout(Duration::from_millis(query.wait_ms), grown).await;
    }
    match lock(&log.log).read(query.from) {
        Ok(read) => pack(&read),
        Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n"),
    }
}

async fn on_append(log: LogServer, entry: Bytes) -> Response {
    log.delay().await;
    let now = log.clock.now().mono;
    let result = lock(&log.log).append(now, entry);
    log.grown.notify_waiters();
    match result {
        Ok(offset) => pack(&offset),
        Err(oriolewall::platform::Error::Lost) => silence().await,
        Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "down\n"),
    }
}

async fn on_log_fault(log: LogServer, body: Bytes) -> Response {
    let Ok(mode) = serde_json::from_slice::<Mode>(&body) else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "modes: \"up\", \"down\", {\"slow\":{\"ms\":500}}, \"lose-answers\"\n",
        );
    };
    lock(&log.log).mode = mode;
    json_response(StatusCode::OK, &mode)
}

impl InstanceListServer {
    /// Serves a list.
    pub fn new(list: DelayedInstanceList, clock: Clock) -> InstanceListServer {
        InstanceListServer {
            list: Arc::new(Mutex::new(list)),
            clock,
        }
    }

    /// Notes a true change.
    pub fn set_presence(&self, id: &str, presence: Option<Presence>) {
        let now = self.clock.now().mono;
        lock(&self.list).set_presence(now, id, presence);
    }

    /// Serves until `stop`.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let with = warp::any().map(move || self.clone());
        let read = warp::path!("instances")
            .and(warp::get())
            .and(with.clone())
            .map(|list: InstanceListServer| {
                let now = list.clock.now().mono;
                json_response(StatusCode::OK, &lock(&list.list).read(now))
            });
        let change = warp::path!("fault")
            .and(warp::post())
            .and(with)
            .and(body())
            .map(|list: InstanceListServer, body: Bytes| {
                let Ok(change) = serde_json::from_slice::<PresenceChange>(&body) else {
                    return text_response(StatusCode::BAD_REQUEST, "send {\"id\":\"w1\",\"presence\":\"leaving\"}\n");
                };
                list.set_presence(&change.id, change.presence);
                json_response(StatusCode::OK, &change)
            });
        server::serve(listener, read.or(change).unify().boxed(), CONNECTIONS, stop).await;
    }
}

impl WorkerServer {
    /// Serves a worker.
    pub fn new(worker: Worker, clock: Clock) -> WorkerServer {
        WorkerServer {
            worker: Arc::new(Mutex::new(worker)),
            clock,
        }
    }

    /// Sets faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.worker).faults = faults;
    }

    /// Serves until `stop`.
    pub async fn run(self, listener: TcpListener, stop: watch::Receiver<bool>) {
        let with = warp::any().map(move || self.clone());
        let call = warp::path!("tasks").and(warp::post()).and(with.clone()).and(body()).then(on_task);
        let fault = warp::path!("fault")
            .and(warp::post())
            .and(with)
            .and(body())
            .map(|server: WorkerServer, body: Bytes| {
                let Ok(faults) = serde_json::from_slice::<Faults>(&body) else {
                    return text_response(StatusCode::BAD_REQUEST, "send {\"fail_all\":true} or other faults\n");
                };
                server.set_faults(faults);
                json_response(StatusCode::OK, &faults)
            });
        server::serve(listener, call.or(fault).unify().boxed(), MAX_WORKER_CONNECTIONS, stop).await;
    }

    fn handle(&self, request: &WorkerRequest) -> Option<Answer> {
        let now_ms = self.clock.now().wall_ms();
        lock(&self.worker).handle(now_ms, request)
    }
}

async fn on_task(server: WorkerServer, body: Bytes) -> Response {
    let Ok(request) = rmp_serde::from_slice::<WorkerRequest>(&body) else {
        return text_response(StatusCode::BAD_REQUEST, "cannot read the request\n");
    };
    let wait_ms = match &request {
        WorkerRequest::Wait { wait_ms, .. } => *wait_ms,
        _ => 0,
    };
    let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let Some(answer) = server.handle(&request) else {
            return silence().await;
        };
        if answer != Answer::Pending || until <= tokio::time::Instant::now() {
            return pack(&answer);
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Workers of one process by name.
pub type Workers = BTreeMap<String, WorkerServer>;

/// Binds a loopback port chosen by the system.
pub async fn bind_loopback() -> anyhow::Result<(TcpListener, SocketAddr)> {
    let listener = server::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

async fn silence() -> Response {
    tokio::time::sleep(SILENCE).await;
    text_response(StatusCode::SERVICE_UNAVAILABLE, "")
}

fn body() -> BoxedFilter<(Bytes,)> {
    warp::body::content_length_limit(BODY_BYTES).and(warp::body::bytes()).boxed()
}

fn pack<T>(value: &T) -> Response
where
    T: Serialize,
{
    let bytes = rmp_serde::to_vec(value).unwrap_or_default();
    Bytes::from(bytes).into_response_body()
}

trait IntoBody {
    fn into_response_body(self) -> Response;
}

impl IntoBody for Bytes {
    fn into_response_body(self) -> Response {
        warp::http::Response::new(self).into_response()
    }
}

/// A panic elsewhere leaves the stand-in usable.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
