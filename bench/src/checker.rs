//! Checks of a history for violations of the guarantees of the system.
//!
//! Each [`Guarantee`] has one check. A check reads only the history, so the same
//! checks apply to simulations and to runs of real processes.

use std::collections::{BTreeMap, BTreeSet};

use oriolewall::id::JobId;

use crate::history::{EventKind, HistoryEvent};

/// Time for which tasks may still start in a zone after its zone-out was accepted, milliseconds.
pub const MAX_ZONE_OUT_DELAY_MS: u64 = 3_000;
/// Time for which jobs of a key may still start after its withdrawal was accepted, milliseconds.
pub const MAX_WITHDRAWAL_DELAY_MS: u64 = 5_000;
/// Time for which tasks may still start on an instance that began to leave service, milliseconds.
pub const MAX_DEPARTURE_DELAY_MS: u64 = 5_000;
/// Time within which a reachable process must apply an accepted change, milliseconds.
pub const MAX_CONFIG_DELAY_MS: u64 = 7_000;
/// Time for which the previous cap may still apply after a change was accepted, milliseconds.
pub const MAX_CAP_DELAY_MS: u64 = 3_000;

/// A violation of a guarantee found in a history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Guarantee that was violated.
    pub guarantee: Guarantee,
    /// Time of the event that violated it, milliseconds on the clock of the history.
    pub at_ms: u64,
    /// Description of the violation, printed with it.
    pub details: String,
}

/// Guarantees that the system gives to callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// No permit takes a pool over its availability budget.
    Budget,
    /// Every instance is in exactly one pool.
    OnePool,
    /// A job runs only for a team that submitted it, and not after its key was withdrawn.
    Key,
    /// No task starts that takes its team over its cap.
    Cap,
    /// No task starts in a zone that was taken out of service.
    ZoneOut,
    /// A caller receives the complete answer of its own job.
    WholeAnswer,
    /// A job whose outcome is "not run" was never started.
    NotRun,
    /// A job that must not be repeated is started at most once.
    Once,
    /// No task starts on an upstream instance that is leaving service.
    Departing,
    /// A graceful stop of an entry instance breaks no request.
    PlannedStop,
    /// Processes apply accepted configuration within seconds and never revert it.
    Config,
}

/// Runs all checks on a history in time order.
pub fn find_violations(events: &[HistoryEvent]) -> Vec<Violation> {
    let checks = [
        check_budget,
        check_one_pool,
        check_key,
        check_cap,
        check_zone_out,
        check_whole_answer,
        check_not_run,
        check_once,
        check_departing,
        check_planned_stop,
        check_config,
    ];
    checks.iter().flat_map(|it| it(events)).collect()
}

fn violation(guarantee: Guarantee, event: &HistoryEvent, details: String) -> Violation {
    Violation {
        guarantee,
        at_ms: event.at_ms,
        details,
    }
}

/// Checks that no pool exceeds its budget after a permit was granted. Failures
/// need no permit, so they may exceed the budget while none is granted.
pub fn check_budget(events: &[HistoryEvent]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for event in events {
        let EventKind::Budget {
            pool,
            disrupted,
            budget,
            granted,
            ..
        } = &event.kind
        else {
            continue;
        };
        if *granted && budget < disrupted {
            let details = format!("pool {pool}: {disrupted} disrupted with budget {budget} after a grant");
            violations.push(violation(Guarantee::Budget, event, details));
        }
    }
    violations
}

/// Checks that every instance is recorded in exactly one pool.
pub fn check_one_pool(events: &[HistoryEvent]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for event in events {
        if let EventKind::Pools { worker, pools } = &event.kind
            && pools.len() != 1
        {
            let details = format!("instance {worker} is in pools {pools:?}");
            violations.push(violation(Guarantee::OnePool, event, details));
        }
    }
    violations
}

/// Checks that jobs start only for a team that submitted them and not after the
/// withdrawal of all keys that they were submitted with.
pub fn check_key(events: &[HistoryEvent]) -> Vec<Violation> {
    let mut submitted_by: BTreeMap<JobId, Vec<(&str, &str)>> = BTreeMap::new();
    let mut withdrawn_at: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in events {
        match (&event.kind, event.job) {
            (EventKind::Invoke { team, key, .. }, Some(job)) => submitted_by.entry(job).or_default().push((team, key)),
            (EventKind::Withdraw { key }, _) => {
                withdrawn_at.entry(key).or_insert(event.at_ms);
            }
            (EventKind::Start { team, .. }, Some(job)) => {
                let submitters = submitted_by.get(&job).map_or(&[][..], |it| it.as_slice());
                if !submitters.iter().any(|(it, _)| it == team) {
                    violations.push(violation(
                        Guarantee::Key,
                        event,
                        format!("job {job} started for {team}, which did not submit it"),
                    ));
                }
                let is_withdrawn = |key: &str| withdrawn_at.get(key).is_some_and(|at| at + MAX_WITHDRAWAL_DELAY_MS < event.at_ms);
                if !submitters.is_empty() && submitters.iter().all(|(_, key)| is_withdrawn(key)) {
                    violations.push(violation(
                        Guarantee::Key,
                        event,
                        format!("job {job} started after its key was withdrawn"),
                    ));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Checks at each start that the running tasks of the team do not exceed its cap.
/// After a cap was lowered, running tasks may continue, but none may start.
pub fn check_cap(events: &[HistoryEvent]) -> Vec<Violation> {
    let mut caps: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
    let mut running: BTreeMap<&str, BTreeSet<(JobId, u32)>> = BTreeMap::new();
    let mut team_of: BTreeMap<(JobId, u32), &str> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in events {
        match (&event.kind, event.job) {
            (EventKind::Cap { team, slots }, _) => caps.entry(team).or_default().push((event.at_ms, *slots)),
            (EventKind::Start { team, .. }, Some(job)) => {
                let tasks = running.entry(team).or_default();
                tasks.insert((job, event.attempt));
                team_of.insert((job, event.attempt), team);
                let allowed = max_cap_at(caps.get(team.as_str()), event.at_ms);
                if allowed < tasks.len() as u64 {
                    let details = format!("team {team}: {} running with cap {allowed}", tasks.len());
                    violations.push(violation(Guarantee::Cap, event, details));
                }
            }
            (EventKind::End { .. }, Some(job)) => {
                let team = team_of.get(&(job, event.attempt));
                if let Some(tasks) = team.and_then(|it| running.get_mut(it)) {
                    tasks.remove(&(job, event.attempt));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Largest cap that may be in effect, given the changes and their times. A replaced
/// cap stays allowed for `MAX_CAP_DELAY_MS`; without changes the cap is zero.
fn max_cap_at(caps: Option<&Vec<(u64, u64)>>, at_ms: u64) -> u64 {
    let Some(caps) = caps else {
        return 0;
    };
    let mut allowed = 0;
    for (index, (_, slots)) in caps.iter().enumerate() {
        let replaced_at = caps.get(index + 1).map(|(at, _)| *at);
        if replaced_at.is_none_or(|at| at_ms <= at + MAX_CAP_DELAY_MS) {
            allowed = allowed.max(*slots);
        }
    }
    allowed
}

/// Checks that no task starts in a zone later than `MAX_ZONE_OUT_DELAY_MS` after
/// its zone-out was accepted.
pub fn check_zone_out(events: &[HistoryEvent]) -> Vec<Violation> {
    let mut out_since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in events {
        match &event.kind {
            EventKind::Zone { zone, open: false } => {
                out_since.entry(zone).or_insert(event.at_ms);
            }
            EventKind::Zone { zone, open: true } => {
                out_since.remove(zone.as_str());
            }
            EventKind::Start { zone, .. } => {
                if let Some(at) = out_since.get(zone.as_str())
                    && at + MAX_ZONE_OUT_DELAY_MS < event.at_ms
                {
                    let details = format!("start in zone {zone} {} ms after it was taken out", event.at_ms - at);
                    violations.push(violation(Guarantee::ZoneOut, event, details));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Checks that each successful answer is the complete answer of its own job.
pub fn check_whole_answer(events: &[HistoryEvent]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for event in events {
        let (EventKind::Answer { outcome, body }, Some(job)) = (&event.kind, event.job) else {
            continue;
        };
        let expected = format!("answer of {job}");
        if outcome == "done" && *body != expected {
            violations.push(violation(Guarantee::WholeAnswer, event, format!("job {job} was answered {body:?}")));
        }
    }
    violations
}

/// Checks that a job whose outcome is "not run" was not started at any time.
pub fn check_not_run(events: &[HistoryEvent]) -> Vec<Violation> {
    let started_jobs: BTreeSet<JobId> = start_events(events).filter_map(|it| it.job).collect();
    let mut violations = Vec::new();
    for event in events {
        if let (EventKind::Answer { outcome, .. }, Some(job)) = (&event.kind, event.job)
            && outcome == "not_run"
            && started_jobs.contains(&job)
        {
            violations.push(violation(
                Guarantee::NotRun,
                event,
                format!("job {job} was answered \"not run\" but was started"),
            ));
        }
    }
    violations
}

/// Checks that a job that must not be repeated is started at most once.
pub fn check_once(events: &[HistoryEvent]) -> Vec<Violation> {
    let mut started_jobs = BTreeSet::new();
    let mut violations = Vec::new();
    for event in start_events(events) {
        let (EventKind::Start { once: true, worker, .. }, Some(job)) = (&event.kind, event.job) else {
            continue;
        };
        if !started_jobs.insert(job) {
            violations.push(violation(
                Guarantee::Once,
                event,
                format!("job {job} was started again on {worker}"),
            ));
        }
    }
    violations
}

/// Checks that no task starts on an instance later than `MAX_DEPARTURE_DELAY_MS`
/// after it began to leave service.
pub fn check_departing(events: &[HistoryEvent]) -> Vec<Violation> {
    let mut leaving_since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for event in events {
        match &event.kind {
            EventKind::Depart { worker } => {
                leaving_since.entry(worker).or_insert(event.at_ms);
            }
            EventKind::Return { worker } => {
                leaving_since.remove(worker.as_str());
            }
            EventKind::Start { worker, .. } => {
                if let Some(at) = leaving_since.get(worker.as_str())
                    && at + MAX_DEPARTURE_DELAY_MS < event.at_ms
                {
                    let details = format!("start on {worker} {} ms after it began to leave service", event.at_ms - at);
                    violations.push(violation(Guarantee::Departing, event, details));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Checks that no graceful stop breaks a request.
pub fn check_planned_stop(events: &[HistoryEvent]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for event in events {
        if let EventKind::Cut { planned: true } = event.kind {
            violations.push(violation(
                Guarantee::PlannedStop,
                event,
                format!("request for job {:?} was broken by a graceful stop", event.job),
            ));
        }
    }
    violations
}

/// Checks that no process reverts to an earlier offset, and that a process that
/// stays reachable applies a change within `MAX_CONFIG_DELAY_MS` of its acceptance,
/// or of becoming reachable if that is later.
pub fn check_config(events: &[HistoryEvent]) -> Vec<Violation> {
    let mut latest_offsets: BTreeMap<&str, u64> = BTreeMap::new();
    let mut reachable_since: BTreeMap<&str, u64> = BTreeMap::new();
    let mut accepted: Vec<(u64, u64)> = Vec::new();
    let mut violations = Vec::new();
    for event in events {
        match &event.kind {
            EventKind::Accepted { offset } => accepted.push((event.at_ms, *offset)),
            EventKind::Seen {
                process,
                offset,
                reachable,
            } => {
                let previous = latest_offsets.insert(process, *offset).unwrap_or(0);
                if *offset < previous {
                    violations.push(violation(
                        Guarantee::Config,
                        event,
                        format!("{process} reverted from offset {previous} to {offset}"),
                    ));
                }
                if !reachable {
                    reachable_since.remove(process.as_str());
                    continue;
                }
                let since = *reachable_since.entry(process).or_insert(event.at_ms);
                let overdue = accepted
                    .iter()
                    .rev()
                    .find(|(at, _)| (*at).max(since) + MAX_CONFIG_DELAY_MS < event.at_ms);
                if let Some((at, accepted_offset)) = overdue
                    && offset <= accepted_offset
                {
                    let details = format!(
                        "{process} is at offset {offset}; {accepted_offset} was accepted {} ms ago",
                        event.at_ms - at
                    );
                    violations.push(violation(Guarantee::Config, event, details));
                }
            }
            _ => {}
        }
    }
    violations
}

/// Events in which a worker started a task.
fn start_events(events: &[HistoryEvent]) -> impl Iterator<Item = &HistoryEvent> {
    events.iter().filter(|it| matches!(it.kind, EventKind::Start { .. }))
}
