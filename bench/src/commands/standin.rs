//! `oriole-bench standin`: serves the log, the instance list or workers for local use.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use oriole_bench::history::History;
use oriole_bench::standin::list::DelayedInstanceList;
use oriole_bench::standin::log::InMemoryLog;
use oriole_bench::standin::serve::{InstanceListServer, LogServer, WorkerServer};
use oriole_bench::standin::worker::Worker;
use oriole_daemon::node::Clock;
use oriole_daemon::server;
use oriole_daemon::settings::{SettingSpec, Settings, ValueKind};
use oriolewall::platform::Presence;
use tokio::sync::watch;

/// Serve one stand-in for a platform service until interrupted.
///
/// Example: oriole-bench standin log --config examples/standin.ini
#[derive(FromArgs)]
#[argh(subcommand, name = "standin")]
pub(crate) struct Args {
    /// service to stand in for: log, list or workers
    #[argh(positional)]
    what: String,
    /// settings file
    #[argh(option)]
    config: PathBuf,
}

/// Settings of all stand-ins; each uses its own sections.
const SPECS: &[SettingSpec] = &[
    SettingSpec {
        section: "log",
        key: "listen",
        default: Some("127.0.0.1:7700"),
        kind: ValueKind::Addr,
        help: "address on which the log listens",
    },
    SettingSpec {
        section: "log",
        key: "kept",
        default: Some("100000"),
        kind: ValueKind::Number(1, 10_000_000),
        help: "number of latest entries that the log keeps",
    },
    SettingSpec {
        section: "log",
        key: "appends_per_second",
        default: Some("400"),
        kind: ValueKind::Number(1, 100_000),
        help: "maximum number of appends per second",
    },
    SettingSpec {
        section: "list",
        key: "listen",
        default: Some("127.0.0.1:7701"),
        kind: ValueKind::Addr,
        help: "address on which the instance list listens",
    },
    SettingSpec {
        section: "list",
        key: "lag_ms",
        default: Some("1000"),
        kind: ValueKind::Number(0, 600_000),
        help: "time after which the list reports a change, milliseconds",
    },
    SettingSpec {
        section: "workers",
        key: "zone",
        default: Some("za"),
        kind: ValueKind::Name,
        help: "zone of the workers",
    },
    SettingSpec {
        section: "workers",
        key: "first",
        default: Some("127.0.0.1:7710"),
        kind: ValueKind::Addr,
        help: "address of the first worker; the others listen on the following ports",
    },
    SettingSpec {
        section: "workers",
        key: "count",
        default: Some("4"),
        kind: ValueKind::Number(1, 500),
        help: "number of workers",
    },
    SettingSpec {
        section: "workers",
        key: "slots",
        default: Some("8"),
        kind: ValueKind::Number(1, 1_000),
        help: "number of slots of each worker",
    },
];

/// Loads the settings and serves the stand-in that `args` names.
pub(super) fn run(args: Args) -> anyhow::Result<ExitCode> {
    let settings = Settings::load(Path::new(&args.config), SPECS)?;
    super::runtime()?.block_on(serve(&args.what, &settings))
}

/// Serves until the process receives a signal, then finishes open requests.
async fn serve(what: &str, settings: &Settings) -> anyhow::Result<ExitCode> {
    let clock = Clock::new();
    let (stop, stopped) = watch::channel(false);
    let mut tasks = tokio::task::JoinSet::new();
    match what {
        "log" => {
            let log = InMemoryLog::new(
                settings.number("log", "kept") as usize,
                settings.number("log", "appends_per_second") as u32,
            );
            let listener = server::bind(settings.addr("log", "listen")).await?;
            tasks.spawn(LogServer::new(log, clock).run(listener, stopped));
        }
        "list" => {
            let list_server = InstanceListServer::new(DelayedInstanceList::new(settings.millis("list", "lag_ms")), clock);
            for id in worker_ids(settings) {
                list_server.set_presence(&id, Some(Presence::Live));
            }
            let listener = server::bind(settings.addr("list", "listen")).await?;
            tasks.spawn(list_server.run(listener, stopped));
        }
        "workers" => {
            let mut addr = settings.addr("workers", "first");
            let zone = settings.text("workers", "zone");
            for id in worker_ids(settings) {
                let worker = Worker::new(&id, zone, settings.number("workers", "slots") as usize, History::default());
                let listener = server::bind(addr).await?;
                tasks.spawn(WorkerServer::new(worker, clock).run(listener, stopped.clone()));
                println!("worker {id} at {addr}");
                addr.set_port(addr.port() + 1);
            }
        }
        other => anyhow::bail!("unknown stand-in {other:?}; known: log, list, workers"),
    }
    println!("stand-in {what} is up");
    oriole_daemon::shutdown::wait_for_signal().await;
    let _ = stop.send(true);
    while tasks.join_next().await.is_some() {}
    Ok(ExitCode::SUCCESS)
}

/// Ids of the workers: the zone and a number from 1 on.
fn worker_ids(settings: &Settings) -> Vec<String> {
    let zone = settings.text("workers", "zone");
    let count = settings.number("workers", "count");
    (1..=count).map(|it| format!("{zone}-w{it}")).collect()
}
