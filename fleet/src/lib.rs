//! An entry instance on the users' platform.
//!
//! - [`settings`]: what the platform tells the process.
//! - `clock`: readings of the clocks.
//! - `node`: what all parts of the process share.
//! - `watch`: operators' configuration and the list of workers.
//! - `group`: which partitions this instance owns.
//! - `owner`: runs the scheduler of a partition.
//! - `takeover`: takes a partition over from the log.
//! - `front`: callers' requests.
//! - `peer`: calls between entry instances.
//! - `duty`: caps divided, and instances moved between pools.
//! - `upkeep`: upkeep of instances in waves.
//! - `decision`: the decision log.
//! - `metrics`: counters and latencies.
//! - `serve`: HTTP service.

mod caller_api;
mod clock;
mod coordinator;
mod decision_log;
mod group;
mod maintenance;
mod metrics;
mod node;
mod owner;
mod peer;
mod server;
pub mod settings;
mod takeover;
mod watch;

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::node::Node;
use crate::settings::Settings;

/// Time for which requests are still taken after SIGTERM.
/// The platform takes an instance out of rotation after two checks, one a second.
const DRAIN_PERIOD: Duration = Duration::from_millis(3500);
/// Time left for the last answers before the platform kills the process.
const FINAL_RESPONSES: Duration = Duration::from_millis(800);

/// Runs an entry instance until SIGTERM.
pub async fn run(settings: Settings, path: PathBuf) -> anyhow::Result<()> {
    let callers = bind(settings.caller_addr).await?;
    let ready = bind(settings.readiness_addr).await?;
    let peers = bind(settings.peer_addr).await?;
    let metrics = bind(settings.metrics_addr).await?;
    let node = Arc::new(Node::new(settings));
    node.decision_log.write(
        "start",
        serde_json::json!({ "zone": node.settings.zone, "member": node.member, "version": env!("CARGO_PKG_VERSION") }),
    );
    let reporter = node.clone();
    std::panic::set_hook(Box::new(move |info| {
        reporter
            .decision_log
            .write("panic", serde_json::json!({ "message": info.to_string() }));
        reporter.decision_log.flush();
    }));
    tokio::spawn(server::run(callers, node.clone(), server::Endpoint::Callers));
    tokio::spawn(server::run(ready, node.clone(), server::Endpoint::Ready));
    tokio::spawn(server::run(peers, node.clone(), server::Endpoint::Peers));
    tokio::spawn(server::run(metrics, node.clone(), server::Endpoint::Metrics));
    tokio::spawn(watch::follow_configuration(node.clone()));
    tokio::spawn(watch::follow_workers(node.clone()));
    tokio::spawn(watch::follow_settings(node.clone(), path));
    tokio::spawn(coordinator::run(node.clone()));
    let group = tokio::spawn(group::run(node.clone()));
    let logger = node.clone();
    tokio::spawn(async move { logger.decision_log.flush_periodically().await });
    let mut sigterm = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    sigterm.recv().await;
    node.decision_log.write("stop", serde_json::json!({ "reason": "SIGTERM" }));
    node.stop();
    // Pools go first, so that their next owners start while callers are still served here.
    group.abort();
    group::leave(&node).await;
    let grace = node.bounds.load().shutdown_grace;
    let drain = DRAIN_PERIOD.min(grace.saturating_sub(FINAL_RESPONSES));
    tokio::time::sleep(drain).await;
    node.wait_idle(grace.saturating_sub(drain + FINAL_RESPONSES / 2)).await;
    node.decision_log
        .write("stopped", serde_json::json!({ "open_requests": node.open_requests() }));
    node.decision_log.flush();
    tokio::time::sleep(Duration::from_millis(50)).await;
    Ok(())
}

async fn bind(addr: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("cannot listen on {addr}"))
}
