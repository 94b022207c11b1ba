//! Entry instance of the fleet: serves callers and schedules their jobs.
//!
//! Every instance accepts callers' requests and stores them in the log. The
//! partitions of the log are divided among the instances; the owner of a
//! partition schedules the jobs of its pools. The owner of one fixed partition
//! is also the fleet coordinator.
//!
//! - [`settings`]: the settings file.
//! - `clock`: reads the system clocks.
//! - `node`: state shared by all tasks of the process.
//! - `assignments`: keeps the assignments of queues to pools in the log.
//! - `overdue`: answers that are overdue.
//! - `worker_status`: status requests to workers, sent again if an answer is overdue.
//! - `watch`: follows operators' configuration, the list of workers and the settings file.
//! - `group`: group membership, which decides the partitions that this instance owns.
//! - `owner`: runs the scheduler of an owned partition.
//! - `actions`: carries out the actions of the scheduler.
//! - `takeover`: restores the scheduler of a partition from the log.
//! - [`log`]: calls to the log, sent again when an answer is overdue.
//! - `request_log`: appends callers' requests to the log, many in one append.
//! - `caller_api`: HTTP API for callers.
//! - `peer`: calls between entry instances.
//! - `caps`: divides teams' caps among owners, on the coordinator.
//! - `coordinator`: moves instances between pools.
//! - `peaks`: forecasts the demand peaks of pools for the coordinator.
//! - `maintenance`: runs maintenance waves.
//! - `decision_log`: structured log on standard output.
//! - `metrics`: Prometheus metrics.
//! - `server`: HTTP listeners.
//! - `clients`: admits and closes connections of clients.
//! - `client_stream`: stream of a client's connection.
//! - `body`: reads bodies of requests.
//! - [`supervisor`]: restarts tasks that must not end.

mod actions;
mod assignments;
mod body;
mod caller_api;
mod caps;
mod client_stream;
mod clients;
mod clock;
mod coordinator;
mod decision_log;
mod group;
pub mod log;
mod maintenance;
mod metrics;
mod node;
mod overdue;
mod owner;
mod peaks;
mod peer;
mod request_log;
mod server;
pub mod settings;
pub mod supervisor;
mod takeover;
mod watch;
mod worker_status;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use oriolewall::client_budget::Listener;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;

use crate::node::Node;
use crate::settings::{Settings, Source};

/// Time during which new requests are still accepted after SIGTERM. The platform
/// takes an instance out of rotation after two failed checks, one per second.
const DRAIN_PERIOD: Duration = Duration::from_millis(3500);
/// Time reserved at the end of the grace period for the last responses.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(800);

/// Runs an entry instance until SIGTERM, then hands its partitions over and
/// finishes open requests.
///
/// `source` is where the settings come from; the file is checked for changes meanwhile.
pub async fn run(settings: Settings, source: Source) -> anyhow::Result<()> {
    let caller_listener = bind(settings.caller_addr).await?;
    let readiness_listener = bind(settings.readiness_addr).await?;
    let peer_listener = bind(settings.peer_addr).await?;
    let metrics_listener = bind(settings.metrics_addr).await?;
    let node = Arc::new(Node::new(settings));
    node.decision_log.write(
        "start",
        serde_json::json!({ "zone": node.settings.zone, "member": node.member, "version": env!("CARGO_PKG_VERSION") }),
    );
    let panic_node = node.clone();
    std::panic::set_hook(Box::new(move |info| {
        panic_node
            .decision_log
            .write("panic", serde_json::json!({ "message": info.to_string() }));
        panic_node.decision_log.flush();
    }));
    tokio::spawn(server::run(caller_listener, node.clone(), Listener::Callers));
    tokio::spawn(server::run(readiness_listener, node.clone(), Listener::Readiness));
    tokio::spawn(server::run(peer_listener, node.clone(), Listener::Peers));
    tokio::spawn(server::run(metrics_listener, node.clone(), Listener::Metrics));
    spawn_supervised(&node, "configuration", watch::follow_configuration);
    spawn_supervised(&node, "workers", watch::follow_workers);
    spawn_supervised(&node, "settings", move |node| watch::follow_settings(node, source.clone()));
    spawn_supervised(&node, "coordinator", coordinator::run);
    spawn_supervised(&node, "assignments", assignments::run);
    spawn_supervised(&node, "owners", group::follow_owners);
    let group_task = spawn_supervised(&node, "group", group::run);
    spawn_supervised(
        &node,
        "decision_log",
        |node| async move { node.decision_log.flush_periodically().await },
    );
    spawn_supervised(&node, "clients", |node| async move {
        node.clients.check_periodically(&node.decision_log).await
    });
    let mut sigterm = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    sigterm.recv().await;
    node.decision_log.write("stop", serde_json::json!({ "reason": "SIGTERM" }));
    node.set_stopping();
    // Release the partitions first: their next owners can take over while this
    // instance still serves callers.
    group_task.abort();
    group::leave(&node).await;
    let grace = node.bounds.load().shutdown_grace;
    let drain = DRAIN_PERIOD.min(grace.saturating_sub(FINAL_RESPONSE_TIME));
    tokio::time::sleep(drain).await;
    node.wait_idle(grace.saturating_sub(drain + FINAL_RESPONSE_TIME / 2)).await;
    node.decision_log
        .write("stopped", serde_json::json!({ "open_requests": node.open_requests() }));
    node.decision_log.flush();
    tokio::time::sleep(Duration::from_millis(50)).await;
    Ok(())
}

/// Runs a task of the process that starts again after a panic, with a line in the decision log.
fn spawn_supervised<S, T>(node: &Arc<Node>, name: &'static str, mut start: S) -> JoinHandle<()>
where
    S: FnMut(Arc<Node>) -> T + Send + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    let (task_node, log_node) = (node.clone(), node.clone());
    let panicked = move || log_node.decision_log.write("task_restarted", serde_json::json!({ "task": name }));
    tokio::spawn(supervisor::run(move || start(task_node.clone()), panicked))
}

async fn bind(addr: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("cannot listen on {addr}"))
}
