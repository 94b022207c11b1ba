//! Follows operators' records, the list of workers, and the settings file.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use oriole_platform::config::OperatorConfig;
use oriole_platform::list::WorkerList;
use oriole_platform::log::{Error, OPERATORS, Partition, ReadResult, WORKERS};
use serde_json::json;

use crate::clock;
use crate::node::Node;
use crate::settings::Settings;

/// Time for which a read of the configuration waits for a change.
const CONFIG_WAIT: Duration = Duration::from_secs(2);
/// Time between two reads of the list of workers.
/// A worker that joins a pool is waited for; 400 ms cost 0.01 of worth, 100 ms gained nothing.
const LIST_INTERVAL: Duration = Duration::from_millis(200);
/// Time for a call that does not wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// First and longest pause after a failed call.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// Time between two looks at the settings file.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Follows operators' records.
pub(crate) async fn follow_configuration(node: Arc<Node>) {
    let mut records = OperatorConfig::default();
    let mut next = None;
    let mut pause = BACKOFF.0;
    loop {
        let result = match next {
            None => read_newest(&node, OPERATORS).await,
            Some(from) => node.log.read(OPERATORS, from, CONFIG_WAIT, CALL_TIMEOUT).await,
        };
        match result {
            Ok(tail) => {
                note_log_answer(&node, true);
                pause = BACKOFF.0;
                let changed = match next {
                    None => records.replace_all(tail.entries),
                    Some(_) => records.apply(tail.entries),
                };
                next = Some(tail.next);
                if changed && records.is_loaded() {
                    publish_catalog(&node, &records);
                }
            }
            Err(Error::Expired { .. }) => next = None,
            Err(err) => {
                report_log_error(&node, "configuration", &err);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(BACKOFF.1);
            }
        }
    }
}

fn publish_catalog(node: &Node, records: &OperatorConfig) {
    let catalog = records.catalog();
    node.decision_log.write(
        "configuration",
        json!({
            "version": catalog.version,
            "queues": catalog.queues.len(),
            "teams": catalog.teams.len(),
            "zones_out": catalog.evacuated_zones,
            "waves": catalog.waves.keys().collect::<Vec<_>>(),
        }),
    );
    node.catalog.store(catalog);
    node.catalog_changes.send_modify(|it| *it += 1);
}

/// Follows the list of workers while this instance owns a partition; nobody else needs it.
pub(crate) async fn follow_workers(node: Arc<Node>) {
    let mut workers = WorkerList::default();
    let mut next = None;
    let mut pause = BACKOFF.0;
    loop {
        if !node.owns_any() {
            node.partition_acquired.notified().await;
        }
        let sent = clock::now().mono;
        let result = match next {
            None => read_newest(&node, WORKERS).await,
            Some(from) => node.log.read(WORKERS, from, Duration::ZERO, CALL_TIMEOUT).await,
        };
        match result {
            Ok(tail) => {
                note_log_answer(&node, true);
                pause = BACKOFF.0;
                let changed = match next {
                    None => workers.replace_all(tail.entries),
                    Some(_) => workers.apply(tail.entries),
                };
                next = Some(tail.next);
                if changed {
                    node.workers.store(Arc::new(workers.all().clone()));
                    node.worker_list_changes.send_modify(|it| *it += 1);
                }
                node.worker_list_read_at.send_replace(sent);
                // An owner that has just begun waits for a list of its own time.
                let _ = tokio::time::timeout(LIST_INTERVAL, node.partition_acquired.notified()).await;
            }
            Err(Error::Expired { .. }) => next = None,
            Err(err) => {
                report_log_error(&node, "workers", &err);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(BACKOFF.1);
            }
        }
    }
}

async fn read_newest(node: &Node, part: Partition) -> Result<ReadResult, Error> {
    node.log.read_newest(part, CALL_TIMEOUT).await
}

/// Writes a line when the log is lost or regained.
pub(crate) fn note_log_answer(node: &Node, answered: bool) {
    if answered && !node.is_log_reachable() {
        node.decision_log.write("dependency", json!({ "name": "log", "state": "regained" }));
    }
    if answered {
        node.record_log_answer();
    }
}

/// Writes a line for a failed call to the log.
pub(crate) fn report_log_error(node: &Node, what: &'static str, err: &Error) {
    node.metrics.log_errors.inc();
    node.decision_log.write(
        "dependency",
        json!({ "name": "log", "state": "failing", "call": what, "error": err.to_string() }),
    );
}

/// Follows the settings file. A bad file leaves the settings in force; what
/// cannot be changed while the process runs is only reported.
pub(crate) async fn follow_settings(node: Arc<Node>, path: PathBuf) {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    let mut last_text = std::fs::read(&path).ok();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_INTERVAL) => false,
        };
        let text = std::fs::read(&path).ok();
        if text == last_text && !signalled {
            continue;
        }
        last_text = text;
        match Settings::load(&path) {
            Ok(new) => {
                node.bounds.store(Arc::new(new.bounds));
                let needs_restart = Settings {
                    bounds: node.settings.bounds,
                    ..new
                } != node.settings;
                node.decision_log.write(
                    "reload",
                    json!({ "signal": signalled, "outcome": "applied", "needs_restart": needs_restart }),
                );
            }
            Err(err) => node.decision_log.write(
                "reload",
                json!({ "signal": signalled, "outcome": "refused", "error": err.to_string() }),
            ),
        }
    }
}
