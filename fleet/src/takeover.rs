//! Taking a partition over from the log, and reading callers' requests along.

use std::sync::Arc;
use std::time::Duration;

use oriole_platform::log::{AppendPosition, Error, JOBS, Partition, REQUESTS, ReadResult};
use oriolewall::exchange::PartId;
use oriolewall::id::InstanceId;
use oriolewall::job_record::{JobKey, JobRecord, Request};
use oriolewall::scheduler::{Bounds, Scheduler};
use oriolewall::silence::{SILENCE_PREFIX, Silence};
use serde_json::json;
use tokio::sync::mpsc;

use crate::node::Node;
use crate::owner::{CALL_TIMEOUT, Event, RETRY_PAUSE};
use crate::{clock, watch};

/// Time after the last proof of ownership during which leases are renewed.
/// A member's time to live is 2 s; after that there may be a later owner.
const RENEWAL_WINDOW: Duration = Duration::from_millis(2200);
/// Lease as a part of the longest that workers grant.
const LEASE_FRACTION: f64 = 0.6;
/// Longest lease. With the term it outlasts an outage of the log of 6 s; a
/// silent worker's tasks start elsewhere when it has ended.
const MAX_LEASE: Duration = Duration::from_millis(4500);
/// Time for which a read of requests waits.
const REQUEST_READ_WAIT: Duration = Duration::from_secs(2);
/// Age of the list of workers with which an owner may begin; it is read every 200 ms.
const MAX_WORKER_LIST_AGE: Duration = Duration::from_millis(400);
/// Suffix of the key of a request to cancel.
const CANCEL_SUFFIX: char = '!';

/// The key of a request to cancel a job.
pub(crate) fn cancel_key(id: &JobKey) -> String {
    format!("{id}{CANCEL_SUFFIX}")
}

/// Sets the epoch, reads the jobs and requests, and waits for a list of workers of
/// this time; `None` if a later owner is there.
pub(crate) async fn take_over(node: &Node, part: PartId, epoch: u64) -> Option<(Scheduler, u64)> {
    let started = clock::now().mono;
    let jobs = Partition { topic: JOBS, number: part };
    let requests = Partition {
        topic: REQUESTS,
        number: part,
    };
    let writer = AppendPosition { epoch, sequence: 0 };
    while let Err(err) = node.log.append(jobs, Some(writer), &[], CALL_TIMEOUT).await {
        // The number of an empty append is not checked against those before it.
        match err {
            Error::OutOfSequence { .. } => break,
            Error::Fenced => return None,
            err => watch::report_log_error(node, "epoch", &err),
        }
        if !still_owned(node, part, epoch) {
            return None;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    let now = clock::now();
    let lease_max = node.bounds.load().lease_max;
    let bounds = Bounds {
        lease: lease_max.mul_f64(LEASE_FRACTION).min(MAX_LEASE),
        lease_max,
        term: RENEWAL_WINDOW,
        stop: node.bounds.load().stop_max,
    };
    let mut scheduler = Scheduler::new(bounds, now);
    for entry in read_newest(node, jobs, epoch).await?.entries {
        let Some(value) = entry.value else {
            continue;
        };
        if let Some(worker) = entry.key.strip_prefix(SILENCE_PREFIX) {
            match rmp_serde::from_slice::<Silence>(&value) {
                Ok(silence) => scheduler.load_silence(now, InstanceId::from(worker), silence),
                Err(err) => log_skipped_record(node, part, &entry.key, &err),
            }
            continue;
        }
        match rmp_serde::from_slice::<JobRecord>(&value) {
            Ok(record) => scheduler.load(JobKey::from(entry.key), record),
            Err(err) => log_skipped_record(node, part, &entry.key, &err),
        }
    }
    let tail = read_newest(node, requests, epoch).await?;
    let next = tail.next;
    apply_requests(node, part, &mut scheduler, tail);
    // The list may date from before, when nothing here needed it.
    let mut list = node.worker_list_read_at.subscribe();
    while *list.borrow_and_update() + MAX_WORKER_LIST_AGE < started {
        if tokio::time::timeout(CALL_TIMEOUT, list.changed()).await.is_err() && !still_owned(node, part, epoch) {
            return None;
        }
    }
    Some((scheduler, next))
}

pub(crate) fn still_owned(node: &Node, part: PartId, epoch: u64) -> bool {
    node.owned_partition(part).is_some_and(|it| it.epoch == epoch)
}

async fn read_newest(node: &Node, part: Partition, epoch: u64) -> Option<ReadResult> {
    loop {
        match node.log.read_newest(part, CALL_TIMEOUT).await {
            Ok(tail) => return Some(tail),
            Err(err) => watch::report_log_error(node, "newest", &err),
        }
        if !still_owned(node, part.number, epoch) {
            return None;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn log_skipped_record(node: &Node, part: PartId, key: &str, err: &rmp_serde::decode::Error) {
    node.decision_log
        .write("record_skipped", json!({ "part": part, "key": key, "error": err.to_string() }));
}

pub(crate) fn apply_requests(node: &Node, part: PartId, scheduler: &mut Scheduler, tail: ReadResult) {
    let now = clock::now();
    for entry in tail.entries {
        let Some(value) = entry.value else {
            continue;
        };
        let id = JobKey::from(entry.key.trim_end_matches(CANCEL_SUFFIX));
        match rmp_serde::from_slice::<Request>(&value) {
            Ok(request) => scheduler.request(now, id, request),
            Err(err) => log_skipped_record(node, part, &entry.key, &err),
        }
    }
}

/// Follows callers' requests.
pub(crate) async fn follow_requests(node: Arc<Node>, part: PartId, mut next: u64, events: mpsc::UnboundedSender<Event>) {
    let requests = Partition {
        topic: REQUESTS,
        number: part,
    };
    loop {
        let read = match node.log.read(requests, next, REQUEST_READ_WAIT, CALL_TIMEOUT).await {
            // What expired stands among the newest records unless it was removed.
            Err(Error::Expired { .. }) => node.log.read_newest(requests, CALL_TIMEOUT).await,
            read => read,
        };
        match read {
            Ok(tail) => {
                next = tail.next;
                if events.send(Event::Requests(tail)).is_err() {
                    return;
                }
            }
            Err(err) => {
                watch::report_log_error(&node, "requests", &err);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
