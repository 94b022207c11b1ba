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

mod clock;
mod decision;
mod duty;
mod front;
mod group;
mod metrics;
mod node;
mod owner;
mod peer;
mod serve;
pub mod settings;
mod takeover;
mod upkeep;
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
const LINGER: Duration = Duration::from_millis(3500);
/// Time left for the last answers before the platform kills the process.
const LAST_ANSWERS: Duration = Duration::from_millis(800);

/// Runs an entry instance until SIGTERM.
pub async fn run(settings: Settings, path: PathBuf) -> anyhow::Result<()> {
    let callers = bind(settings.callers).await?;
    let ready = bind(settings.ready).await?;
    let peers = bind(settings.peers).await?;
    let metrics = bind(settings.metrics).await?;
    let node = Arc::new(Node::new(settings));
    node.decisions.line(
        "start",
        serde_json::json!({ "zone": node.settings.zone, "member": node.member, "version": env!("CARGO_PKG_VERSION") }),
    );
    let reporter = node.clone();
    std::panic::set_hook(Box::new(move |info| {
        reporter.decisions.line("panic", serde_json::json!({ "message": info.to_string() }));
        reporter.decisions.flush();
    }));
    tokio::spawn(serve::run(callers, node.clone(), serve::Kind::Callers));
    tokio::spawn(serve::run(ready, node.clone(), serve::Kind::Ready));
    tokio::spawn(serve::run(peers, node.clone(), serve::Kind::Peers));
    tokio::spawn(serve::run(metrics, node.clone(), serve::Kind::Metrics));
    tokio::spawn(watch::configuration(node.clone()));
    tokio::spawn(watch::workers(node.clone()));
    tokio::spawn(watch::settings(node.clone(), path));
    tokio::spawn(duty::run(node.clone()));
    let group = tokio::spawn(group::run(node.clone()));
    let logger = node.clone();
    tokio::spawn(async move { logger.decisions.run().await });
    let mut term = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    term.recv().await;
    node.decisions.line("stop", serde_json::json!({ "reason": "SIGTERM" }));
    node.stop();
    // Pools go first, so that their next owners start while callers are still served here.
    group.abort();
    group::leave(&node).await;
    let grace = node.bounds.load().grace;
    let linger = LINGER.min(grace.saturating_sub(LAST_ANSWERS));
    tokio::time::sleep(linger).await;
    node.wait_idle(grace.saturating_sub(linger + LAST_ANSWERS / 2)).await;
    node.decisions
        .line("stopped", serde_json::json!({ "open_requests": node.open_requests() }));
    node.decisions.flush();
    tokio::time::sleep(Duration::from_millis(50)).await;
    Ok(())
}

async fn bind(addr: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(addr).await.with_context(|| format!("cannot listen on {addr}"))
}
