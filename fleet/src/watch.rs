//! Follows operators' configuration, the list of workers and the settings file,
//! and publishes their changes to the rest of the process.

use std::sync::Arc;
use std::time::Duration;

use oriole_platform::config::{self, OperatorConfig};
use oriole_platform::list::WorkerList;
use oriole_platform::log::{Entry, Error, OPERATORS, Partition, ReadResult, WORKERS};
use oriolewall::platform;
use serde_json::json;

use crate::log::Followed;
use crate::node::{Configuration, Node};
use crate::settings::{Settings, Source};
use crate::{assignments, clock};

/// Number of operators' records before the newest ones that are read at the start: those that may
/// not be among the recorded assignments yet.
const HISTORY_RECORDS: u64 = 8;
/// Time between two reads of the list of workers. A longer interval delays jobs that
/// wait for a worker which has joined a pool.
const LIST_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of a call that does not wait for records.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// First and longest delay of the exponential backoff after failed calls.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// Time between two checks of the settings file.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Follows operators' records in the log and publishes each new configuration.
pub(crate) async fn follow_configuration(node: Arc<Node>) {
    let mut config = OperatorConfig::default();
    let mut next = None;
    let mut backoff = BACKOFF.0;
    loop {
        let sent = clock::now().mono;
        let (as_of, result) = match next {
            None => (sent, read_configuration(&node, &mut config).await),
            Some(from) => tokio::select! {
                read = node.log.follow(OPERATORS, from, node.configuration_read_limits()) => {
                    report_silent_read(&node, "configuration", OPERATORS, &read);
                    (read.as_of, read.result)
                }
                () = node.refresh_configuration.notified() => {
                    let sent = clock::now().mono;
                    (sent, node.log.read(OPERATORS, from, CALL_TIMEOUT).await)
                }
            },
        };
        match result {
            Ok(batch) => {
                report_log_answer(&node, true);
                backoff = BACKOFF.0;
                let changed = match next {
                    None => config.replace_all(batch.entries),
                    Some(_) => config.apply(batch.entries),
                };
                next = Some(batch.next);
                if changed && config.is_loaded() {
                    publish_catalog(&node, &config);
                } else if !matches!(**node.configuration.load(), Configuration::Known(_)) {
                    store_configuration(&node, Configuration::Known(config.catalog()));
                }
                node.add_configuration_read(as_of, batch.next, batch.end.unwrap_or(batch.next));
                node.operator_records_read.send_replace(batch.next);
            }
            Err(Error::Expired { .. }) if next.is_some() => next = None,
            Err(err) => {
                report_log_error(&node, "configuration", &err);
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF.1);
            }
        }
    }
}

/// Logs a new configuration, stores it in the node and notifies the owners.
fn publish_catalog(node: &Node, config: &OperatorConfig) {
    let catalog = config.catalog();
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
    store_configuration(node, Configuration::Known(catalog));
}

/// Stores what is known of the configuration in the node and notifies the owners.
fn store_configuration(node: &Node, configuration: Configuration) {
    node.configuration.store(Arc::new(configuration));
    node.catalog_changes.send_modify(|it| *it += 1);
}

/// Follows the list of workers while this instance owns a partition. Only owners
/// and the coordinator, which is one of them, need it.
pub(crate) async fn follow_workers(node: Arc<Node>) {
    let mut workers = WorkerList::default();
    let mut unusable = 0;
    let mut next = None;
    let mut backoff = BACKOFF.0;
    loop {
        if !node.owns_any() {
            node.partition_acquired.notified().await;
        }
        let sent = clock::now().mono;
        let result = match next {
            None => read_newest(&node, WORKERS).await,
            Some(from) => node.log.read(WORKERS, from, CALL_TIMEOUT).await,
        };
        match result {
            Ok(batch) => {
                report_log_answer(&node, true);
                backoff = BACKOFF.0;
                let is_cut = batch.is_cut();
                let changed = match next {
                    None => workers.replace_all(batch.entries),
                    Some(_) => workers.apply(batch.entries),
                };
                next = Some(batch.next);
                if workers.unusable != unusable {
                    unusable = workers.unusable;
                    node.decision_log
                        .write("entries_unusable", json!({ "list": "workers", "total": unusable }));
                }
                if changed {
                    node.workers.store(Arc::new(workers.all().clone()));
                    node.worker_list_changes.send_modify(|it| *it += 1);
                }
                if is_cut {
                    continue;
                }
                node.worker_list_read_at.send_replace(sent);
                // Read again at once when a partition is acquired: its owner waits for a
                // recent list.
                let _ = tokio::time::timeout(LIST_INTERVAL, node.partition_acquired.notified()).await;
            }
            Err(Error::Expired { .. }) => next = None,
            Err(err) => {
                report_log_error(&node, "workers", &err);
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF.1);
            }
        }
    }
}

/// Reads the newest operators' records, and before them the last records that the log retains and
/// the recorded assignments, which tell from which pools queues have moved.
async fn read_configuration(node: &Node, config: &mut OperatorConfig) -> Result<ReadResult, Error> {
    let mut newest = read_newest(node, OPERATORS).await?;
    if matches!(**node.configuration.load(), Configuration::Unread) {
        store_configuration(node, Configuration::WithoutHistory);
    }
    let ((first, mut history), recorded) = tokio::try_join!(read_history(node, newest.next), assignments::read(node))?;
    let is_contiguous = first <= *node.operator_records_read.borrow();
    config.restore_history(recorded.version, recorded.assignments, is_contiguous);
    // The newest records of the other keys are complete by themselves.
    history.retain(config::is_configuration);
    newest.entries.splice(0..0, history);
    Ok(newest)
}

/// Reads the last operators' records before an offset, from the first one that is retained on.
/// Returns them with the offset of the first one.
async fn read_history(node: &Node, end: u64) -> Result<(u64, Vec<Entry>), Error> {
    let mut entries = Vec::new();
    let mut from = end.saturating_sub(HISTORY_RECORDS);
    let mut first_read = from;
    while from < end {
        match node.log.read(OPERATORS, from, CALL_TIMEOUT).await {
            Ok(batch) if batch.next == from => break,
            Ok(batch) => {
                from = batch.next;
                entries.extend(batch.entries);
            }
            Err(Error::Expired { first }) if from < first => (from, first_read) = (first, first),
            Err(err) => return Err(err),
        }
    }
    Ok((first_read, entries))
}

async fn read_newest(node: &Node, part: Partition) -> Result<ReadResult, Error> {
    node.log.read_newest(part, CALL_TIMEOUT).await
}

/// Counts a read that waited for records and whose connection fell silent, and writes a line that
/// tells for how long it had no answer and what another read returned instead.
pub(crate) fn report_silent_read(node: &Node, call: &'static str, part: Partition, read: &Followed) {
    let Some(silent_for) = read.silent_for else {
        return;
    };
    let is_answered = matches!(read.result, Ok(_) | Err(Error::Expired { .. }));
    let outcome = if is_answered { "read anew" } else { "failed" };
    node.metrics.silent_reads.with_label_values(&[call, outcome]).inc();
    node.decision_log.write(
        "silent_read",
        json!({
            "name": "log",
            "call": call,
            "topic": part.topic,
            "part": part.number,
            "silent_ms": silent_for.as_millis() as u64,
            "records": read.result.as_ref().map_or(0, |it| it.entries.len()),
            "outcome": outcome,
        }),
    );
}

/// Records the outcome of a call to the log. Writes a line when the log answers for
/// the first time after it was unreachable.
pub(crate) fn report_log_answer(node: &Node, answered: bool) {
    if answered && !node.is_log_reachable() {
        node.decision_log.write("dependency", json!({ "name": "log", "state": "regained" }));
    }
    if answered {
        node.record_log_answer();
    }
}

/// Name of appends of callers' requests in [`report_log_error`]. The log refuses them also while
/// the queue of their partition is full.
pub(crate) const REQUEST_APPEND: &str = "append";

/// Counts a failed call to the log and writes a line with its name and error.
pub(crate) fn report_log_error(node: &Node, call: &'static str, err: &Error) {
    node.metrics.log_errors.inc();
    if call != REQUEST_APPEND && *err == Error::Call(platform::Error::Unavailable) {
        node.record_log_refusal();
    }
    node.decision_log.write(
        "dependency",
        json!({ "name": "log", "state": "failing", "call": call, "error": err.to_string() }),
    );
}

/// Reloads the settings file when it changes and on SIGHUP. An invalid file is
/// rejected and the current settings stay. Of a valid one the platform's limits are
/// applied; the log line reports whether other settings differ, which need a restart.
pub(crate) async fn follow_settings(node: Arc<Node>, source: Source) {
    use tokio::signal::unix::{SignalKind, signal};
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        return;
    };
    let mut last_text = std::fs::read(&source.path).ok();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_INTERVAL) => false,
        };
        let text = std::fs::read(&source.path).ok();
        if text == last_text && !signalled {
            continue;
        }
        last_text = text;
        match Settings::load(&source) {
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
