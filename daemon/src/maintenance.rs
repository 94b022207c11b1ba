//! Runs the maintenance process.

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

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(100);
/// Most connections of its own service.
const CONNECTIONS: usize = 64;

/// Everything a maintenance process needs to run.
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
    /// Takes a maintenance process's settings file.
    pub fn from_settings(settings: &crate::settings::Settings) -> MaintenanceConfig {
        let name = settings.text("maintain", "name");
        let id = format!("{name}@{:x}", Clock::new().now().wall_ms());
        let core = Settings {
            id: id.as_str().into(),
            zone: settings.text("maintain", "zone").into(),
            snapshot_every: settings.number("maintain", "snapshot_every"),
            seed: rand::random(),
        };
        MaintenanceConfig {
            settings: core,
            log: settings.addr("platform", "log"),
            list: settings.addr("platform", "list"),
        }
    }
}

/// What its own service shows.
#[derive(Debug, Default)]
struct Shown {
    next: u64,
    permits: usize,
    page: Option<Page>,
}

#[derive(Clone, Copy, Debug, serde::Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

/// Runs until `stop` turns true. Nothing needs to be handed over: every drain
/// stands in the log.
pub async fn run(config: MaintenanceConfig, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let clock = Clock::new();
    let client = Client::new();
    let (events, mut inbox) = mpsc::unbounded_channel();
    let shown = Arc::new(Mutex::new(Shown::default()));
    let service = tokio::spawn(server::serve(listener, routes(shown.clone()), CONNECTIONS, stop.clone()));
    let hands = Hands {
        log: LogClient::new(client.clone(), config.log),
        list: InstanceListClient::new(client.clone(), config.list),
        worker: WorkerClient::new(client),
        events,
        clock,
    };
    let mut maintainer = Maintainer::new(config.settings, Replica::default(), clock.now());
    let mut ticks = tokio::time::interval(TICK);
    loop {
        let event = tokio::select! {
            _ = ticks.tick() => Event::Tick,
            Some(event) = inbox.recv() => event,
            _ = stop.wait_for(|it| *it) => break,
        };
        for action in maintainer.step(clock.now(), event) {
            hands.carry_out(action);
        }
        show(&shown, &maintainer);
    }
    let _ = service.await;
}

fn show(shown: &Mutex<Shown>, maintainer: &Maintainer) {
    let state = maintainer.state();
    let mut shown = shown.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    shown.next = state.next_offset();
    shown.permits = state.fleet.iter().filter(|(_, it)| it.permit.is_some()).count();
    shown.page = Some(maintainer.events().page_after(0));
}

struct Hands {
    log: LogClient,
    list: InstanceListClient,
    worker: WorkerClient,
    events: mpsc::UnboundedSender<Event>,
    clock: Clock,
}

impl Hands {
    fn carry_out(&self, action: Action) {
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

fn routes(shown: Arc<Mutex<Shown>>) -> BoxedFilter<(Response,)> {
    let with = warp::any().map(move || shown.clone());
    let healthz = warp::path!("healthz")
        .and(warp::get())
        .map(|| text_response(StatusCode::OK, "ok\n"));
    let readyz = warp::path!("readyz")
        .and(warp::get())
        .and(with.clone())
        .map(|shown: Arc<Mutex<Shown>>| {
            let code = if read(&shown).next == 0 {
                StatusCode::SERVICE_UNAVAILABLE
            } else {
                StatusCode::OK
            };
            text_response(code, "")
        });
    let metrics = warp::path!("metrics")
        .and(warp::get())
        .and(with.clone())
        .map(|shown: Arc<Mutex<Shown>>| {
            let shown = read(&shown);
            text_response(StatusCode::OK, &render(shown.next, shown.permits))
        });
    let events = warp::path!("events")
        .and(warp::get())
        .and(with)
        .and(warp::query::<AfterQuery>())
        .map(|shown: Arc<Mutex<Shown>>, query: AfterQuery| {
            let mut page = read(&shown).page.clone();
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

fn read(shown: &Mutex<Shown>) -> std::sync::MutexGuard<'_, Shown> {
    shown.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn render(next: u64, permits: usize) -> String {
    use prometheus::{Encoder, IntGauge, Registry, TextEncoder};
    let registry = Registry::new();
    for (name, help, value) in [
        ("oriole_offset", "Next offset of the replica", next as i64),
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
