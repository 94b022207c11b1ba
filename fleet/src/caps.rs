//! Division of teams' caps: owners' reports to the coordinator, and its answers.

use std::sync::Arc;
use std::time::Duration;

use oriolewall::catalog::Catalog;
use oriolewall::quota::{QuotaAllocator, Shortage};
use oriolewall::rpc::{Allowance, Call, DemandReport, PartitionId, Reply, UsageReport};
use oriolewall::team_cap::TurnChange;
use serde_json::json;

use crate::coordinator::{COORDINATOR_PART, CoordinatorState};
use crate::node::{Node, OwnedPartition};
use crate::{clock, peer};

/// Time between two logs of the teams whose caps are short.
const SHORTAGE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Reports an owner's use and demand to the coordinator. Returns what it may use; `None` if there was
/// no answer. A coordinator of an earlier build gets a report in the form that it knows.
pub(crate) async fn report(node: &Arc<Node>, report: DemandReport) -> Option<Allowance> {
    let usage = report.usage.clone();
    let reply = match peer::call(node, COORDINATOR_PART, Call::ReportDemand(report)).await {
        Reply::Unavailable => peer::call(node, COORDINATOR_PART, Call::Report(usage)).await,
        reply => reply,
    };
    match reply {
        Reply::Allowance(allowance) => Some(allowance),
        Reply::Grants(grants) => Some(Allowance {
            grants,
            ..Allowance::default()
        }),
        _ => None,
    }
}

/// Processes the report of an owner of an earlier build. Replies with what each team may have
/// running there.
pub(crate) fn handle_report(node: &Node, report: UsageReport) -> Reply {
    with_allocator(node, report, |now, allocator, catalog, parts, report| {
        match allocator.handle_report(now, catalog, parts, report) {
            // Every team gets a grant, unless the report is outdated. No answer leaves its sender what it
            // holds.
            grants if grants.is_empty() && !catalog.teams.is_empty() => Reply::Unknown,
            grants => Reply::Grants(grants),
        }
    })
}

/// Processes a partition owner's report on its use and its pools. Replies with what each team may
/// have running there.
pub(crate) fn handle_demand(node: &Node, report: DemandReport) -> Reply {
    let DemandReport { sequence, usage, details } = report;
    with_allocator(node, usage, |now, allocator, catalog, parts, usage| {
        let report = DemandReport { sequence, usage, details };
        match allocator.handle_demand(now, catalog, parts, report) {
            Some(allowance) => Reply::Allowance(allowance),
            None => Reply::Unknown,
        }
    })
}

/// Stores the loads of an owner's report and passes it to the allocator, with the partitions that
/// have pools, if this instance is the coordinator.
fn with_allocator<F>(node: &Node, report: UsageReport, handle: F) -> Reply
where
    F: FnOnce(Duration, &mut QuotaAllocator, &Catalog, &[PartitionId], UsageReport) -> Reply,
{
    // After a pause, or after a panic of the owner, another coordinator may have divided the caps.
    let is_coordinator = |it: &OwnedPartition| node.is_member() && !it.events.is_closed();
    let Some(owned) = node.owned_partition(COORDINATOR_PART).filter(is_coordinator) else {
        return Reply::NotOwner;
    };
    let now = clock::now().mono;
    let catalog = node.catalog();
    let mut parts: Vec<PartitionId> = catalog.pools.keys().map(|it| node.partition_of(it)).collect();
    parts.sort_unstable();
    parts.dedup();
    let mut state = node.lock_coordinator_state();
    // Another coordinator may have granted caps since the end of an earlier tenure.
    let epoch = owned.tenure.since();
    if state.allocator.as_ref().is_none_or(|(it, _)| *it != epoch) {
        state.allocator = Some((epoch, QuotaAllocator::new(now)));
    }
    state.store_loads(now, &report);
    let CoordinatorState {
        allocator: Some((_, allocator)),
        shortages_logged_at,
        ..
    } = &mut *state
    else {
        return Reply::Unavailable;
    };
    let reply = handle(now, allocator, &catalog, &parts, report);
    log_turns(node, allocator);
    if *shortages_logged_at + SHORTAGE_LOG_INTERVAL <= now {
        *shortages_logged_at = now;
        log_shortages(node, allocator.shortages(now, &catalog));
    }
    reply
}

/// Logs which owners have got and lost the turn to use a team's cap.
fn log_turns(node: &Node, allocator: &mut QuotaAllocator) {
    for (team, change) in allocator.take_changes() {
        if let TurnChange::Ended { outcome, .. } = change {
            node.metrics.cap_turns.with_label_values(&[outcome.name()]).inc();
        }
        node.decision_log.write("cap_turn", json!({ "team": team, "turn": change }));
    }
}

/// Logs the teams of which an owner waits for its part of the cap.
fn log_shortages(node: &Node, shortages: Vec<Shortage>) {
    let waits = shortages.iter().flat_map(|it| &it.parts).filter_map(|it| it.waits_ms);
    node.metrics.cap_longest_wait_ms.set(waits.max().unwrap_or(0) as i64);
    node.metrics.cap_short_teams.set(shortages.len() as i64);
    for shortage in shortages {
        node.decision_log.write("cap_short", shortage);
    }
}
