//! Calls to appenders, and what an appender does for other instances.

use std::sync::Arc;
use std::time::Duration;

use oriolewall::acceptance::{self, Route};
use oriolewall::rpc::{AppendReport, Call, PartitionId, Reply, RequestRecord};
use tokio::time::Instant;

use super::{Outcome, accepts, append, lock, pick_appender, ranked_appenders};
use crate::node::Node;
use crate::{clock, peer};

/// Time limit of a call to an appender of the previous build, and of one that such an instance
/// makes.
const PREVIOUS_BUILD_TIMEOUT: Duration = Duration::from_millis(500);
/// Time within which an appender that is alive reports its pace.
const PACE_TIMEOUT: Duration = Duration::from_millis(300);
/// Most time reserved for the reply of an appender, so that one that says that nothing was stored arrives
/// before the callers stop waiting.
const REPLY_MARGIN: Duration = Duration::from_millis(60);

/// Sends requests through an appender. While it does not answer, it is asked whether it is alive,
/// so that one that waits for a slow log is told from one that is gone. If the call `insists`, the
/// instance appends even if it takes others for better appenders.
pub(super) async fn call_appender(
    node: &Node,
    part: PartitionId,
    records: Vec<RequestRecord>,
    deadline: Instant,
    insists: bool,
) -> Outcome {
    let ranked = ranked_appenders(node, part);
    let pace = node.request_log.pace(part);
    let Some(addr) = pick_appender(node, &ranked, pace.appenders()) else {
        return Outcome::Unavailable;
    };
    let left = deadline.saturating_duration_since(Instant::now());
    let is_substitute = insists || acceptance::place(&ranked, addr).is_some_and(|it| pace.appenders() <= it);
    let call = Call::Store {
        part,
        records: records.clone(),
        wait_ms: (left - REPLY_MARGIN.min(left / 4)).as_millis() as u64,
        is_substitute,
    };
    let mut call = std::pin::pin!(peer::call_instance(node, addr, call, left));
    let check_after = pace.check_after();
    let reply = loop {
        match tokio::time::timeout(check_after, &mut call).await {
            Ok(reply) => break reply,
            Err(_) => {
                let check = peer::call_instance(node, addr, Call::AppendPace { part }, PACE_TIMEOUT);
                let pace = tokio::select! {
                    reply = &mut call => break reply,
                    pace = check => pace,
                };
                let Reply::Pace(report) = pace else {
                    break Reply::Unknown;
                };
                record_report(node, part, &report);
            }
        }
    };
    let reply = match reply {
        // The call did not arrive, or the instance is of the previous build and cannot read it.
        Reply::Unavailable => {
            let timeout = PREVIOUS_BUILD_TIMEOUT.min(deadline.saturating_duration_since(Instant::now()));
            peer::call_instance(node, addr, Call::AppendRecords { part, records }, timeout).await
        }
        reply => reply,
    };
    let now = clock::now().mono;
    let (outcome, report) = match reply {
        Reply::Stored(report) => (Outcome::Stored, Some(report)),
        Reply::Busy(report) => (Outcome::Busy(Duration::from_millis(report.drain_ms)), Some(report)),
        Reply::Moved(report) => {
            // The instances may know different owners.
            node.refresh_owners.notify_one();
            (Outcome::Moved, Some(report))
        }
        Reply::Appended(_) => (Outcome::Stored, None),
        Reply::LogSilent => {
            lock(&node.request_log.avoided).record_silent_log(now, addr);
            return Outcome::Unavailable;
        }
        reply => {
            lock(&node.request_log.avoided).record_failure(now, addr);
            return match reply {
                Reply::Unavailable => Outcome::Unavailable,
                _ => Outcome::Unknown,
            };
        }
    };
    lock(&node.request_log.avoided).record_answer(addr);
    if let Some(report) = report {
        record_report(node, part, &report);
    }
    outcome
}

fn record_report(node: &Node, part: PartitionId, report: &AppendReport) {
    let now = clock::now().mono;
    node.request_log.with_partition(part, |it| it.pace.record_report(now, report));
}

/// Handles the call of an instance for which this one is an appender.
pub(crate) async fn handle_store(
    node: &Arc<Node>,
    part: PartitionId,
    records: Vec<RequestRecord>,
    wait: Duration,
    is_substitute: bool,
) -> Reply {
    let outcome = match node.is_log_reachable() {
        true if is_substitute || accepts(node, part) => {
            append(node, part, Route::Direct, records, Instant::now() + wait, is_substitute).await
        }
        true => Outcome::Moved,
        false => Outcome::Unavailable,
    };
    match outcome {
        Outcome::Stored => Reply::Stored(report(node, part)),
        Outcome::Busy(_) => Reply::Busy(report(node, part)),
        Outcome::Moved => Reply::Moved(report(node, part)),
        Outcome::Unavailable => Reply::LogSilent,
        Outcome::Unknown => Reply::Unknown,
    }
}

/// Handles the same call of an instance of the previous build.
pub(crate) async fn handle_append(node: &Arc<Node>, part: PartitionId, records: Vec<RequestRecord>) -> Reply {
    match handle_store(node, part, records, PREVIOUS_BUILD_TIMEOUT, true).await {
        Reply::Stored(_) => {
            let rate = node.request_log.with_partition(part, |it| it.rate);
            Reply::Appended(rate.rate(clock::now().mono))
        }
        Reply::Busy(_) | Reply::Moved(_) | Reply::LogSilent => Reply::Unavailable,
        reply => reply,
    }
}

/// Returns the pace of this instance's appends to a partition.
pub(crate) fn report(node: &Node, part: PartitionId) -> AppendReport {
    let pace = node.request_log.pace(part);
    AppendReport {
        answer_ms: pace.answer().as_millis() as u64,
        drain_ms: node.request_log.drain(part).as_millis() as u64,
        appenders: pace.appenders() as u8,
    }
}
