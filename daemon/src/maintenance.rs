//! Runs the maintenance process.
//!
//! One loop owns the state machine ([`Maintainer`]). Each of its actions is executed by a task
//! of its own, which sends the result back as an event. An HTTP service exposes health checks,
//! metrics and events.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriolewall::event::Page;
use oriolewall::log_sync::LogRequest;
use oriolewall::maintain::{Action, Event, Maintainer, Settings};
use oriolewall::platform::{InstanceList as _, Log as _, Worker as _};
use oriolewall::replica::Replica;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use warp::Filter;
use warp::filters::BoxedFilter;
use warp::http::StatusCode;
use warp::reply::Response;

use crate::client::Client;
use crate::node::Clock;
use crate::platform::{InstanceListClient, LogClient, WorkerClient};
use crate::routes::{handle_rejection, json_response, text_response};
use crate::server;

/// Interval between two ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of concurrent connections to the HTTP service.
const MAX_CONNECTIONS: usize = 64;

/// Configuration of a maintenance process.
#[derive(Clone, Debug)]
pub struct MaintenanceConfig {
    /// Settings of the state machine.
    pub settings: Settings,
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
}

impl MaintenanceConfig {
    /// Reads the configuration from a settings file that was checked against
    /// [`MAINTAIN`](crate::settings::MAINTAIN).
    ///
    /// Creates the id of a new incarnation from the name and the current time. The seed of the
    /// state machine is random.
    pub fn from_settings(settings: &crate::settings::Settings) -> MaintenanceConfig {
        let name = settings.text("maintain", "name");
        let id = format!("{name}@{:x}", Clock::new().now().wall_ms());
        let maintainer_settings = Settings {
            id: id.as_str().into(),
            zone: settings.text("maintain", "zone").into(),
            snapshot_every: settings.number("maintain", "snapshot_every"),
            seed: rand::random(),
        };
        MaintenanceConfig {
            settings: maintainer_settings,
            log: settings.addr("platform", "log"),
            list: settings.addr("platform", "list"),
        }
    }
}

/// Status of the state machine that the HTTP service reads.
#[derive(Debug, Default)]
struct PublishedStatus {
    /// Offset of the next log entry that the replica will apply.
    next_offset: u64,
    /// Number of disruption permits in force.
    permits: usize,
    /// All events in the buffer of the process; `None` before the first event was processed.
    page: Option<Page>,
}

#[derive(Clone, Copy, Debug, serde::Deserialize)]
struct AfterQuery {
    /// Sequence number after which events are returned.
    #[serde(default)]
    after: u64,
}

/// Runs a maintenance process until `stop` becomes true. Nothing is handed over, because the log
/// records the progress of every drain.
pub async fn run(config: MaintenanceConfig, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let clock = Clock::new();
    let client = Client::new();
    let (events, mut inbox) = mpsc::unbounded_channel();
    let published = Arc::new(Mutex::new(PublishedStatus::default()));
    let service = tokio::spawn(server::serve(listener, routes(published.clone()), MAX_CONNECTIONS, stop.clone()));
    let executor = ActionExecutor {
        log: LogClient::new(client.clone(), config.log),
        list: InstanceListClient::new(client.clone(), config.list),
        worker: WorkerClient::new(client),
        events,
        clock,
    };
    let mut maintainer = Maintainer::new(config.settings, Replica::default(), clock.now());
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    loop {
        let event = tokio::select! {
            _ = ticks.tick() => Event::Tick,
            Some(event) = inbox.recv() => event,
            _ = stop.wait_for(|it| *it) => break,
        };
        for action in maintainer.step(clock.now(), event) {
            executor.execute(action);
        }
        publish_status(&published, &maintainer);
    }
    let _ = service.await;
}

/// Replaces the published status by the current one.
fn publish_status(published: &Mutex<PublishedStatus>, maintainer: &Maintainer) {
    let state = maintainer.state();
    let mut published = published.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    published.next_offset = state.next_offset();
    published.permits = state.fleet.iter().filter(|(_, it)| it.permit.is_some()).count();
    published.page = Some(maintainer.events().page_after(0));
}

/// Executes the actions of the state machine without blocking its loop.
struct ActionExecutor {
    log: LogClient,
    list: InstanceListClient,
    worker: WorkerClient,
    events: mpsc::UnboundedSender<Event>,
    clock: Clock,
}

impl ActionExecutor {
    /// Starts a task that executes an action and sends the result back as an event.
    fn execute(&self, action: Action) {
        let events = self.events.clone();
        match action {
            Action::Log(LogRequest::Read { from, wait }) => {
                let (log, sent) = (self.log.clone(), self.clock.now().mono);
                tokio::spawn(async move {
                    let result = log.read(from, wait).await;
                    let _ = events.send(Event::Read { sent, result });
                });
            }
            Action::Log(LogRequest::Append(entry)) => {
                let log = self.log.clone();
                tokio::spawn(async move {
                    let _ = events.send(Event::Appended(log.append(entry).await));
                });
            }
            Action::List => {
                let list = self.list.clone();
                tokio::spawn(async move {
                    let _ = events.send(Event::Listed(list.list().await));
                });
            }
            Action::Call { instance, addr, request } => {
                let worker = self.worker.clone();
                tokio::spawn(async move {
                    let result = worker.call(addr, request).await;
                    let _ = events.send(Event::Called { instance, result });
                });
            }
        }
    }
}

/// Routes of the HTTP service. It is ready once the replica has applied a log entry.
fn routes(published: Arc<Mutex<PublishedStatus>>) -> BoxedFilter<(Response,)> {
    let with_published = warp::any().map(move || published.clone());
    let healthz = warp::path!("healthz")
        .and(warp::get())
        .map(|| text_response(StatusCode::OK, "ok\n"));
    let readyz = warp::path!("readyz")
        .and(warp::get())
        .and(with_published.clone())
        .map(|published: Arc<Mutex<PublishedStatus>>| {
            let code = if lock(&published).next_offset == 0 {
                StatusCode::SERVICE_UNAVAILABLE
            } else {
                StatusCode::OK
            };
            text_response(code, "")
        });
    let metrics = warp::path!("metrics")
        .and(warp::get())
        .and(with_published.clone())
        .map(|published: Arc<Mutex<PublishedStatus>>| {
            let published = lock(&published);
            text_response(StatusCode::OK, &render_metrics(published.next_offset, published.permits))
        });
    let events = warp::path!("events")
        .and(warp::get())
        .and(with_published)
        .and(warp::query::<AfterQuery>())
        .map(|published: Arc<Mutex<PublishedStatus>>, query: AfterQuery| {
            let mut page = lock(&published).page.clone();
            if let Some(page) = &mut page {
                page.events.retain(|it| query.after < it.seq);
            }
            json_response(StatusCode::OK, &page)
        });
    healthz
        .or(readyz)
        .unify()
        .or(metrics)
        .unify()
        .or(events)
        .unify()
        .recover(handle_rejection)
        .unify()
        .boxed()
}

/// Locks the status, even if a thread panicked while it held the lock.
fn lock(published: &Mutex<PublishedStatus>) -> std::sync::MutexGuard<'_, PublishedStatus> {
    published.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Renders the metrics in the Prometheus text format.
fn render_metrics(next_offset: u64, permits: usize) -> String {
    use prometheus::{Encoder, IntGauge, Registry, TextEncoder};
    let registry = Registry::new();
    for (name, help, value) in [
        ("oriole_offset", "Next offset of the replica", next_offset as i64),
        ("oriole_permits", "Disruption permits in force", permits as i64),
    ] {
        let gauge = IntGauge::new(name, help).expect("metric names are valid");
        gauge.set(value);
        registry.register(Box::new(gauge)).expect("metric names differ");
    }
    let mut buffer = Vec::new();
    let _ = TextEncoder::new().encode(&registry.gather(), &mut buffer);
    String::from_utf8(buffer).unwrap_or_default()
}
