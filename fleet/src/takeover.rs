//! Restores the scheduler of a partition from the log, and follows callers' requests.
//!
//! A new owner first sets its epoch in the log, which fences earlier owners. It then
//! reads the jobs and the requests, and waits for a recent list of workers.

use std::sync::Arc;
use std::time::Duration;

use oriole_platform::log::{AppendPosition, Error, JOBS, OPERATORS, Partition, REQUESTS, ReadResult};
use oriolewall::catalog::Catalog;
use oriolewall::id::InstanceId;
use oriolewall::job_record::{self, JobKey, JobRecord, Request};
use oriolewall::log_view::View;
use oriolewall::quarantine::QUARANTINE_PREFIX;
use oriolewall::rpc::PartitionId;
use oriolewall::scheduler::Scheduler;
use oriolewall::silent_worker::{SILENT_WORKER_PREFIX, SilentWorker};
use oriolewall::spec;
use oriolewall::time_limits::TimeLimits;
use serde_json::json;
use tokio::sync::mpsc;

use crate::node::{Configuration, Node};
use crate::owner::{CALL_TIMEOUT, Event, RETRY_DELAY};
use crate::{clock, watch};

/// Time after the last confirmation of ownership during which an owner renews leases.
/// A member's time to live is 2 s; after it there may be a later owner.
const RENEWAL_WINDOW: Duration = Duration::from_millis(2200);
/// Length of a lease as a fraction of the longest that workers grant.
const LEASE_FRACTION: f64 = 0.6;
/// Upper limit for the length of a lease. Together with [`RENEWAL_WINDOW`] it lets
/// tasks run on through an outage of the log of 6 s. A longer lease would delay the
/// restart of a silent worker's tasks elsewhere, which waits until the lease has ended.
const MAX_LEASE: Duration = Duration::from_millis(4500);
/// How much older than the start of the takeover the list of workers may be. It is
/// read every 200 ms.
const MAX_WORKER_LIST_AGE: Duration = Duration::from_millis(400);

/// Takes a partition over under an epoch. Returns its scheduler, which knows the requests up to the
/// offset that is returned as well, or `None` if there is a later owner.
pub(crate) async fn take_over(node: &Node, part: PartitionId, epoch: u64) -> Option<(Scheduler, u64)> {
    let started = clock::now().mono;
    wait_for_configuration(node, part, epoch).await?;
    let jobs = Partition { topic: JOBS, number: part };
    let requests = Partition {
        topic: REQUESTS,
        number: part,
    };
    let confirmed_at = loop {
        match set_epoch(node, part, epoch).await {
            Ok(sent) => break sent,
            Err(Error::Fenced) => return None,
            Err(err) => watch::report_log_error(node, "epoch", &err),
        }
        if !still_owned(node, part, epoch) {
            return None;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    };
    let now = clock::now();
    let lease_max = node.bounds.load().lease_max;
    let limits = TimeLimits {
        lease: lease_max.mul_f64(LEASE_FRACTION).min(MAX_LEASE),
        lease_max,
        renewal_window: RENEWAL_WINDOW,
        stop_time: node.bounds.load().stop_max,
    };
    // An earlier owner may have answered other owners by a later configuration.
    let (catalog, job_records) = tokio::join!(read_latest_catalog(node, part, epoch), read_newest_with_retry(node, jobs, epoch));
    let mut scheduler = Scheduler::new(limits, now, confirmed_at)
        .with_token_form(node.settings.token_form)
        .with_learning(node.settings.learns);
    scheduler.set_commit_limits(node.settings.commit_limits);
    scheduler.set_cancel_time(node.bounds.load().cancel);
    // Requests of queues that have moved to another pool are handed on.
    scheduler.set_catalog(catalog?);
    let (job_records, _) = job_records?;
    for entry in job_records.entries {
        let Some(value) = entry.value else {
            continue;
        };
        if let Some(id) = entry.key.strip_prefix(QUARANTINE_PREFIX) {
            scheduler.quarantine(&JobKey::from(id));
            continue;
        }
        if let Some(worker) = entry.key.strip_prefix(SILENT_WORKER_PREFIX) {
            match rmp_serde::from_slice::<SilentWorker>(&value) {
                Ok(silent_worker) => scheduler.load_silent_worker(now, InstanceId::from(worker), silent_worker),
                Err(err) => log_skipped_record(node, part, &entry.key, &err.to_string()),
            }
            continue;
        }
        let id = JobKey::from(entry.key);
        if scheduler.is_quarantined(&id) {
            continue;
        }
        let loaded = match rmp_serde::from_slice::<JobRecord>(&value) {
            Ok(record) if record.is_valid() => scheduler.try_apply(&id, |it| it.load_job(id.clone(), record)),
            Ok(_) => Err("the tasks do not match the specification".to_owned()),
            Err(err) => Err(err.to_string()),
        };
        if let Err(err) = loaded {
            scheduler.quarantine(&id);
            log_skipped_record(node, part, &id, &err);
        }
    }
    let (batch, sent) = read_newest_with_retry(node, requests, epoch).await?;
    let next = batch.next;
    scheduler.requests_read(sent);
    apply_requests(node, part, &mut scheduler, batch, |scheduler, id, request| {
        scheduler.load_request(clock::now(), id, request);
    });
    // The list may be outdated, as it is not read while no partition is owned.
    let mut list_read_at = node.worker_list_read_at.subscribe();
    while *list_read_at.borrow_and_update() + MAX_WORKER_LIST_AGE < started {
        if tokio::time::timeout(CALL_TIMEOUT, list_read_at.changed()).await.is_err() && !still_owned(node, part, epoch) {
            return None;
        }
    }
    Some((scheduler, next))
}

/// Sets the epoch of an owner in the log, and returns the monotonic time at which the call was
/// sent. Changes nothing if the epoch is set, and fails with [`Error::Fenced`] if a later owner has
/// set its own.
pub(crate) async fn set_epoch(node: &Node, part: PartitionId, epoch: u64) -> Result<Duration, Error> {
    let sent = clock::now().mono;
    let jobs = Partition { topic: JOBS, number: part };
    let position = AppendPosition { epoch, sequence: 0 };
    match node.log.append(jobs, Some(position), &[], CALL_TIMEOUT).await {
        // The sequence number does not matter here: an empty append only sets the epoch,
        // which has happened even if the log expects another number.
        Ok(()) | Err(Error::OutOfSequence { .. }) => Ok(sent),
        Err(err) => Err(err),
    }
}

/// Waits until it is known from which pools queues have moved: without that an owner would admit
/// their jobs. Returns `None` if this instance no longer owns the partition.
async fn wait_for_configuration(node: &Node, part: PartitionId, epoch: u64) -> Option<()> {
    let mut changes = node.catalog_changes.subscribe();
    loop {
        if matches!(**node.configuration.load(), Configuration::Known(_)) {
            return Some(());
        }
        if !still_owned(node, part, epoch) {
            return None;
        }
        // The ownership may end without a change.
        let _ = tokio::time::timeout(CALL_TIMEOUT, changes.changed()).await;
    }
}

/// Waits until this instance has read the operators' records that the log holds now, and returns
/// the configuration in effect. Returns `None` if this instance no longer owns the partition.
async fn read_latest_catalog(node: &Node, part: PartitionId, epoch: u64) -> Option<Arc<Catalog>> {
    let mut read_up_to = node.operator_records_read.subscribe();
    loop {
        let from = *read_up_to.borrow_and_update();
        let read = node.log.read(OPERATORS, from, CALL_TIMEOUT).await;
        let is_behind = match read {
            Ok(batch) if batch.end.unwrap_or(batch.next) <= *read_up_to.borrow() => return Some(node.catalog()),
            // The other read finds out as well that the records have expired.
            Ok(_) | Err(Error::Expired { .. }) => true,
            Err(err) => {
                watch::report_log_error(node, "configuration", &err);
                false
            }
        };
        if !still_owned(node, part, epoch) {
            return None;
        }
        let is_late = tokio::time::timeout(RETRY_DELAY, read_up_to.changed()).await.is_err();
        if is_behind && is_late {
            node.refresh_configuration.notify_one();
        }
    }
}

/// Returns whether this instance still owns a partition under an epoch.
pub(crate) fn still_owned(node: &Node, part: PartitionId, epoch: u64) -> bool {
    node.owned_partition(part).is_some_and(|it| it.epoch == epoch)
}

/// Reads the newest records of a partition, retrying until it succeeds. Returns them with the
/// monotonic time at which the read was sent, or `None` if this instance no longer owns the
/// partition.
async fn read_newest_with_retry(node: &Node, part: Partition, epoch: u64) -> Option<(ReadResult, Duration)> {
    loop {
        let sent = clock::now().mono;
        match node.log.read_newest(part, CALL_TIMEOUT).await {
            Ok(batch) => return Some((batch, sent)),
            Err(err) => watch::report_log_error(node, "newest", &err),
        }
        if !still_owned(node, part.number, epoch) {
            return None;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Writes a line for a record that cannot be used and is therefore ignored.
fn log_skipped_record(node: &Node, part: PartitionId, key: &str, err: &str) {
    node.metrics.records_skipped.inc();
    node.decision_log
        .write("record_skipped", json!({ "part": part, "key": key, "error": err }));
}

/// Passes callers' requests to a scheduler. Those that cannot be read or handled are logged and
/// skipped, and a job that is known by nothing else is quarantined.
pub(crate) fn apply_requests<F>(node: &Node, part: PartitionId, scheduler: &mut Scheduler, batch: ReadResult, apply: F)
where
    F: Fn(&mut Scheduler, JobKey, Request),
{
    for entry in batch.entries {
        let Some(value) = entry.value else {
            continue;
        };
        let id = job_record::job_of_record_key(&entry.key);
        let request = match rmp_serde::from_slice::<Request>(&value) {
            Ok(request) => validate(&request).map(|()| request).map_err(|it| it.to_string()),
            Err(err) => Err(err.to_string()),
        };
        let applied = match request {
            Ok(request) => scheduler.try_apply(&id, |it| apply(it, id.clone(), request)),
            Err(err) => {
                if !scheduler.has_job(&id) {
                    scheduler.quarantine(&id);
                }
                Err(err)
            }
        };
        if let Err(err) = applied {
            log_skipped_record(node, part, &entry.key, &err);
        }
    }
}

/// Checks the job of a request, so that one that no owner can handle does not end all of them.
fn validate(request: &Request) -> Result<(), spec::Error> {
    match request {
        Request::Submit(submission) => submission.spec.validate(),
        Request::Cancel { .. } => Ok(()),
    }
}

/// Reads callers' requests from an offset on and sends them to the owner, until the
/// owner has ended. `view` tells how current the requests are that were read before.
pub(crate) async fn follow_requests(
    node: Arc<Node>,
    part: PartitionId,
    mut next: u64,
    mut view: View,
    events: mpsc::UnboundedSender<Event>,
) {
    let requests = Partition {
        topic: REQUESTS,
        number: part,
    };
    loop {
        let bounds = node.bounds.load();
        let limits = view.read_limits(clock::now().mono, bounds.visible.min(bounds.cancel));
        let mut read = node.log.follow(requests, next, limits).await;
        watch::report_silent_read(&node, "requests", requests, &read);
        // Expired records are among the newest ones, unless they were removed since.
        if matches!(read.result, Err(Error::Expired { .. })) {
            read.as_of = clock::now().mono;
            read.result = node.log.read_newest(requests, CALL_TIMEOUT).await;
        }
        match read.result {
            Ok(batch) => {
                next = batch.next;
                view.add_read(read.as_of, next, batch.end.unwrap_or(next));
                if events.send(Event::RequestsRead(batch, view.as_of())).is_err() {
                    return;
                }
            }
            Err(err) => {
                watch::report_log_error(&node, "requests", &err);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
